//! Stream negotiation with a client up to its `<auth/>`: stream header, STARTTLS, stream restart,
//! choice of a SASL mechanism (RFC 6120, 4.3, 5.4 and 6.4).
//!
//! Guards against: clear text that a third party injects after `<starttls/>` and that would be
//! treated as protected by TLS; a client that sends each step one byte at a time; bytes sent after
//! `<auth/>` without waiting for the reply.

use super::frame::{Condition, Element, Framer, Header, Unit, NS_CLIENT, NS_SASL, NS_TLS};
use super::jid::{self, Jid};
use super::server_negotiation::ServerNegotiation;
use super::settings::XmppSettings;
use super::{stream_error, stream_error_with, stream_header, NS_RELAY, STREAM_TAG};
use crate::decisions::api::{Micros, Request};
use crate::protocol::buffer::Buffer;
use crate::protocol::{
    AttemptProtocol, ClientRequest, FailureCause, FinalAnswer, FrontSettings, Interruption,
    ReaderAction, RequestReader,
};
use base64::prelude::{Engine, BASE64_STANDARD};
use std::sync::Arc;

/// The number of SASL failures after which the stream is closed (RFC 6120, 6.4.5): mechanisms that
/// are not offered, and aborted exchanges.
const MAX_SASL_FAILURES: u32 = 3;
/// The longest element during negotiation, in bytes: the size that RFC 6120, 13.12, requires to be
/// accepted.
pub(super) const MAX_NEGOTIATION_ELEMENT: usize = 10_000;

/// The stream error of a client that does not wait for the reply to `<starttls/>` or `<auth/>`, so
/// that clear text is never read as protected by TLS. White space is not allowed there either (RFC
/// 6120, 6.3.5).
const EARLY_INPUT: Condition = Condition::PolicyViolation;

/// The most elements and attributes of such an element or of a stream header. `<auth/>` has three.
pub(super) const MAX_NEGOTIATION_PARTS: usize = 128;

/// Three unpredictable numbers: the ids of the two streams, and the id of the session.
pub type SessionIds = [u64; 3];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for the stream header before TLS.
    AwaitInitialHeader,
    /// Waits for `<starttls/>`.
    AwaitStartTls,
    /// `<proceed/>` is sent: the TLS handshake is next.
    ProceedSent,
    /// Waits for the stream header under TLS.
    AwaitHeader,
    /// Waits for `<auth/>`.
    AwaitAuth,
    /// Waits for the initial response of a mechanism whose `<auth/>` had none.
    AwaitInitialResponse,
}

/// Negotiates a stream with a client up to its request.
pub struct ClientNegotiation {
    settings: Arc<XmppSettings>,
    ids: SessionIds,
    state: State,
    framer: Framer,
    /// Whether the relay has sent its header of the current stream.
    header_sent: bool,
    step_deadline: Micros,
    /// The deadline of the whole negotiation.
    negotiation_deadline: Micros,
    domain: String,
    /// The JID in the `from` of the header under TLS.
    from: Option<Jid>,
    mechanism: String,
    sasl_failures: u32,
}

impl ClientNegotiation {
    /// Negotiation with a client that has connected at `now`. `direct` says that TLS is used from
    /// the first byte (XEP-0368).
    pub fn new(
        settings: Arc<XmppSettings>,
        ids: SessionIds,
        direct: bool,
        now: Micros,
    ) -> ClientNegotiation {
        let state = if direct {
            State::AwaitHeader
        } else {
            State::AwaitInitialHeader
        };
        ClientNegotiation {
            framer: new_framer(&settings),
            ids,
            state,
            header_sent: false,
            step_deadline: now + settings.step_timeout,
            negotiation_deadline: now + settings.negotiation_timeout,
            domain: String::new(),
            from: None,
            mechanism: String::new(),
            sasl_failures: 0,
            settings,
        }
    }

    /// Enters a state and starts the timeout of its step.
    fn enter(&mut self, state: State, now: Micros) {
        self.state = state;
        self.step_deadline = (now + self.settings.step_timeout).min(self.negotiation_deadline);
    }

    /// Closes the stream with this stream error.
    fn close_with_error(&mut self, condition: Condition) -> ReaderAction {
        ReaderAction::Close(
            self.within_stream(&stream_error(STREAM_TAG, condition)),
            condition.reason(),
        )
    }

    /// A message within the relay's stream: after its header if that is not sent yet, also if the
    /// client's header is not valid (RFC 6120, 4.9.1.2).
    fn within_stream(&mut self, message: &str) -> Vec<u8> {
        let header = if self.header_sent {
            String::new()
        } else {
            self.response_header()
        };
        (header + message).into_bytes()
    }

    /// The relay's header of the current stream (RFC 6120, 4.7).
    fn response_header(&mut self) -> String {
        self.header_sent = true;
        let id = format!(
            "{:016x}",
            if self.state == State::AwaitInitialHeader {
                self.ids[0]
            } else {
                self.ids[1]
            }
        );
        let mut attributes = vec![("id", id.as_str()), ("xml:lang", "en")];
        if !self.domain.is_empty() {
            attributes.push(("from", &self.domain));
        }
        let to = self.from.as_ref().map(Jid::bare);
        if let Some(to) = &to {
            attributes.push(("to", to));
        }
        stream_header(&attributes)
    }

    /// Checks the client's header and takes its domain, and under TLS its JID.
    fn check_header(&mut self, header: &Header) -> Result<(), Condition> {
        if header.default_namespace.as_deref() != Some(NS_CLIENT) {
            return Err(Condition::InvalidNamespace);
        }
        let version = header.version.as_deref().and_then(|v| v.split_once('.'));
        if version
            .and_then(|(major, _)| major.parse::<u32>().ok())
            .is_none_or(|major| major < 1)
        {
            return Err(Condition::UnsupportedVersion);
        }
        let to = header
            .to
            .as_deref()
            .and_then(jid::prepare_domain)
            .ok_or(Condition::ImproperAddressing)?;
        if !self.settings.domains.contains(&to) {
            return Err(Condition::HostUnknown);
        }
        if !self.domain.is_empty() && self.domain != to {
            // The certificate was chosen for the domain of the first header, so the second must
            // name the same.
            return Err(Condition::HostUnknown);
        }
        self.domain = to;
        self.from = None;
        // A JID sent in clear is neither confidential nor authentic, so it is ignored before TLS.
        if let (State::AwaitHeader, Some(from)) = (self.state, &header.from) {
            let from =
                Jid::parse(from).filter(|jid| jid.local.is_some() && jid.domain == self.domain);
            self.from = Some(from.ok_or(Condition::ImproperAddressing)?);
        }
        Ok(())
    }

    /// Handles a unit from the client; `None` if there is nothing to do.
    fn on_unit(
        &mut self,
        unit: Unit,
        now: Micros,
        front_settings: &Arc<FrontSettings>,
    ) -> Option<ReaderAction> {
        match (self.state, unit) {
            (_, Unit::Whitespace) => None,
            (_, Unit::End) => {
                let message = if self.header_sent {
                    format!("</{STREAM_TAG}>")
                } else {
                    String::new()
                };
                Some(ReaderAction::Close(message.into_bytes(), "client-left"))
            }
            (State::AwaitInitialHeader, Unit::Header(client_header)) => {
                Some(match self.check_header(&client_header) {
                    Ok(()) => {
                        let features =
                        format!("<stream:features><starttls xmlns='{NS_TLS}'><required/></starttls></stream:features>");
                        let message = self.response_header() + &features;
                        self.enter(State::AwaitStartTls, now);
                        ReaderAction::Send(message.into_bytes())
                    }
                    Err(condition) => self.close_with_error(condition),
                })
            }
            (State::AwaitHeader, Unit::Header(client_header)) => {
                Some(match self.check_header(&client_header) {
                    Ok(()) => {
                        let list: String = self
                            .settings
                            .mechanisms
                            .iter()
                            .map(|m| format!("<mechanism>{m}</mechanism>"))
                            .collect();
                        let features = format!(
                        "<stream:features><mechanisms xmlns='{NS_SASL}'>{list}</mechanisms></stream:features>"
                    );
                        let message = self.response_header() + &features;
                        self.enter(State::AwaitAuth, now);
                        ReaderAction::Send(message.into_bytes())
                    }
                    Err(condition) => self.close_with_error(condition),
                })
            }
            (State::AwaitStartTls, Unit::Element(e)) if e.is(NS_TLS, "starttls") => {
                self.enter(State::ProceedSent, now);
                Some(ReaderAction::Send(
                    format!("<proceed xmlns='{NS_TLS}'/>").into_bytes(),
                ))
            }
            (State::AwaitAuth, Unit::Element(e)) if e.is(NS_SASL, "auth") => {
                Some(self.on_auth(&e, now, front_settings))
            }
            (State::AwaitInitialResponse, Unit::Element(e)) if e.is(NS_SASL, "response") => {
                Some(self.request_session(e.text.trim(), front_settings))
            }
            (State::AwaitAuth | State::AwaitInitialResponse, Unit::Element(e))
                if e.is(NS_SASL, "abort") =>
            {
                Some(self.reject_sasl("aborted", now))
            }
            // A stanza or another element that is not allowed in this state.
            (..) => Some(self.close_with_error(Condition::PolicyViolation)),
        }
    }

    /// Handles `<auth/>`.
    fn on_auth(
        &mut self,
        e: &Element,
        now: Micros,
        front_settings: &Arc<FrontSettings>,
    ) -> ReaderAction {
        let mechanism = e.get("mechanism").unwrap_or_default();
        if !self.settings.mechanisms.iter().any(|m| m == mechanism) {
            return self.reject_sasl("invalid-mechanism", now);
        }
        self.mechanism = mechanism.to_string();
        match e.text.trim() {
            // All mechanisms offered are client-first: an empty challenge asks for the initial
            // response (RFC 6120, 6.4.2).
            "" => {
                self.enter(State::AwaitInitialResponse, now);
                ReaderAction::Send(format!("<challenge xmlns='{NS_SASL}'/>").into_bytes())
            }
            payload => self.request_session(payload, front_settings),
        }
    }

    /// Answers with a SASL failure. The client may try again, until failure number
    /// [`MAX_SASL_FAILURES`] closes the stream.
    fn reject_sasl(&mut self, condition: &str, now: Micros) -> ReaderAction {
        self.sasl_failures += 1;
        let message = format!("<failure xmlns='{NS_SASL}'><{condition}/></failure>");
        if self.sasl_failures >= MAX_SASL_FAILURES {
            return ReaderAction::Close(
                (message + &stream_error(STREAM_TAG, Condition::PolicyViolation)).into_bytes(),
                "sasl-failure",
            );
        }
        self.enter(State::AwaitAuth, now);
        ReaderAction::Send(message.into_bytes())
    }

    /// Requests a session with the initial response `payload`: the client's `from`, or else the
    /// user that the response names, is its JID.
    fn request_session(
        &mut self,
        payload: &str,
        front_settings: &Arc<FrontSettings>,
    ) -> ReaderAction {
        let Some(user) = sasl_user(&self.mechanism, payload) else {
            let message =
                format!("<failure xmlns='{NS_SASL}'><malformed-request/></failure></{STREAM_TAG}>");
            return ReaderAction::Close(message.into_bytes(), "sasl-failure");
        };
        let sasl_jid = || {
            Some(Jid {
                local: Some(jid::prepare_local(&user)?),
                domain: self.domain.clone(),
                resource: None,
            })
        };
        let Some(jid) = self.from.clone().or_else(sasl_jid) else {
            let message =
                format!("<failure xmlns='{NS_SASL}'><not-authorized/></failure></{STREAM_TAG}>");
            return ReaderAction::Close(message.into_bytes(), "sasl-failure");
        };
        let Some(request) = self.settings.request(&jid, &front_settings.classes) else {
            return self.close_with_error(Condition::InternalServerError);
        };
        ReaderAction::Request(Box::new(SessionRequest {
            connection_id: format!("{:016x}", self.ids[2]),
            request,
            domain: self.domain.clone(),
            jid,
            auth: format!(
                "<auth xmlns='{NS_SASL}' mechanism='{}'>{payload}</auth>",
                self.mechanism
            ),
            settings: self.settings.clone(),
        }))
    }
}

fn new_framer(settings: &XmppSettings) -> Framer {
    Framer::new(
        super::frame::Bounds {
            stanza: MAX_NEGOTIATION_ELEMENT.min(settings.bounds.stanza),
            kept_parts: MAX_NEGOTIATION_PARTS,
            ..settings.bounds
        },
        true,
    )
}

/// The user that an initial response names (PLAIN: RFC 4616, SCRAM: RFC 5802). `None` if it is
/// malformed, or if it asks for channel binding, which is not possible because TLS ends at the
/// relay.
fn sasl_user(mechanism: &str, payload: &str) -> Option<String> {
    let bytes = if payload == "=" {
        Vec::new()
    } else {
        BASE64_STANDARD.decode(payload).ok()?
    };
    let text = String::from_utf8(bytes).ok()?;
    if mechanism == "PLAIN" {
        let mut parts = text.split('\0');
        let (_, user, _) = (parts.next()?, parts.next()?, parts.next()?);
        return (parts.next().is_none() && !user.is_empty()).then(|| user.to_string());
    }
    let rest = text
        .strip_prefix("n,")
        .or_else(|| text.strip_prefix("y,"))?;
    let (_, bare) = rest.split_once(',')?;
    let name = bare.split(',').next()?.strip_prefix("n=")?;
    // `=2C` and `=3D` encode a comma and an equals sign; another equals sign is an error (RFC 5802,
    // 5.1).
    let name = name.replace("=2C", ",").replace("=3D", "\0");
    (!name.is_empty() && !name.contains('=')).then(|| name.replace('\0', "="))
}

impl RequestReader for ClientNegotiation {
    fn next_action(
        &mut self,
        inbox: &mut Buffer,
        now: Micros,
        front_settings: &Arc<FrontSettings>,
    ) -> ReaderAction {
        if self.state == State::ProceedSent {
            return ReaderAction::StartTls(self.domain.clone());
        }
        loop {
            let (n, unit) = match self.framer.feed(inbox.unread()) {
                Ok(read) => read,
                Err(condition) => return self.close_with_error(condition),
            };
            inbox.consume(n);
            let Some(unit) = unit else {
                return ReaderAction::Read;
            };
            let Some(next) = self.on_unit(unit, now, front_settings) else {
                continue;
            };
            let has_data_after = !inbox.unread().is_empty();
            if has_data_after
                && (self.state == State::ProceedSent || matches!(next, ReaderAction::Request(_)))
            {
                return self.close_with_error(EARLY_INPUT);
            }
            return next;
        }
    }

    fn tls_established(&mut self, now: Micros) {
        (self.framer, self.header_sent) = (new_framer(&self.settings), false);
        self.enter(State::AwaitHeader, now);
    }

    fn deadline(&self) -> Micros {
        self.step_deadline
    }

    fn buffered_bytes(&self) -> usize {
        self.framer.buffered_bytes()
    }

    fn interrupt(&mut self, _inbox: &Buffer, why: Interruption) -> (Vec<u8>, &'static str) {
        let silent = !self.header_sent
            && self.framer.at_unit_boundary()
            && self.state == State::AwaitInitialHeader;
        match why {
            // A client that has sent nothing is a health check.
            _ if silent => (Vec::new(), ""),
            Interruption::Dismissed => (
                self.within_stream(&stream_error(STREAM_TAG, Condition::SystemShutdown)),
                "dismissed",
            ),
            Interruption::TimedOut => (
                self.within_stream(&stream_error(STREAM_TAG, Condition::ConnectionTimeout)),
                "negotiation-late",
            ),
            Interruption::Disconnected => (Vec::new(), "client-left"),
        }
    }
}

/// A request for a session.
pub struct SessionRequest {
    connection_id: String,
    request: Request,
    domain: String,
    jid: Jid,
    auth: String,
    settings: Arc<XmppSettings>,
}

impl ClientRequest for SessionRequest {
    fn front(&self) -> &'static str {
        "xmpp"
    }

    fn connection_id(&self) -> &str {
        &self.connection_id
    }

    fn request(&self) -> &Request {
        &self.request
    }

    fn adopted_backend(&self) -> Option<&str> {
        None
    }

    fn backend_finishes_first(&self) -> bool {
        true
    }

    fn start_attempt(&self) -> Box<dyn AttemptProtocol> {
        Box::new(ServerNegotiation::new(
            self.settings.clone(),
            &self.domain,
            &self.jid,
            self.auth.clone().into_bytes(),
        ))
    }

    fn encode_answer(&self, answer: FinalAnswer) -> Vec<u8> {
        let condition = match answer {
            FinalAnswer::Rejected(wait) => {
                let more = if wait == 0 {
                    String::new()
                } else {
                    format!(
                        "<retry xmlns='{NS_RELAY}' after-ms='{}'/>",
                        wait.div_ceil(1000)
                    )
                };
                let name = Condition::ResourceConstraint.name();
                return stream_error_with(STREAM_TAG, name, "", &more).into_bytes();
            }
            FinalAnswer::Failed(FailureCause::Timeout) => Condition::ConnectionTimeout,
            FinalAnswer::Failed(FailureCause::BackendFailed) => Condition::RemoteConnectionFailed,
            FinalAnswer::IdInUse => Condition::InternalServerError,
            FinalAnswer::EarlyInput => EARLY_INPUT,
        };
        stream_error(STREAM_TAG, condition).into_bytes()
    }

    fn early_input_reason(&self) -> &'static str {
        EARLY_INPUT.reason()
    }
}

#[cfg(test)]
mod tests {
    use super::super::settings::ClassRule;
    use super::*;
    use crate::config::{Classes, Names};

    fn settings() -> Arc<XmppSettings> {
        let rule = ClassRule {
            domain: None,
            local: None,
            resource: None,
            class: "view".into(),
            deadline: None,
        };
        Arc::new(XmppSettings {
            domains: vec!["a.example".into()],
            class_rules: vec![rule],
            ..XmppSettings::default()
        })
    }

    fn rules() -> Arc<FrontSettings> {
        let classes = Classes::new([("view".to_string(), 3_000_000)]);
        Arc::new(FrontSettings {
            classes,
            names: Names::default(),
        })
    }

    fn header_with(more: &str) -> String {
        super::super::stream_header(&[("to", "a.example")])
            .replace(" version='1.0'>", &format!("{more} version='1.0'>"))
    }

    /// What a negotiation sends for these inputs, each in chunks of `step` bytes; `!` for the TLS
    /// handshake, `+` for the request of a session, and the reason in brackets for a close.
    fn run(direct: bool, inputs: &[&str], step: usize) -> (String, Option<Box<dyn ClientRequest>>) {
        let (mut negotiation, front_settings) = (
            ClientNegotiation::new(settings(), [1, 2, 3], direct, 0),
            rules(),
        );
        let (mut output, mut inbox) = (String::new(), Buffer::default());
        for input in inputs {
            for mut chunk in input.as_bytes().chunks(step) {
                while !chunk.is_empty() {
                    inbox.fill(&mut chunk).unwrap();
                }
                loop {
                    match negotiation.next_action(&mut inbox, 0, &front_settings) {
                        ReaderAction::Read => break,
                        ReaderAction::Send(message) => {
                            output += &String::from_utf8(message).unwrap()
                        }
                        ReaderAction::StartTls(domain) => {
                            assert!(domain == "a.example" && inbox.unread().is_empty());
                            output.push('!');
                            negotiation.tls_established(0);
                        }
                        ReaderAction::Request(request) => return (output + "+", Some(request)),
                        ReaderAction::Close(message, reason) => {
                            output += &String::from_utf8(message).unwrap();
                            return (format!("{output}[{reason}]"), None);
                        }
                    }
                }
            }
        }
        (output, None)
    }

    const STARTTLS: &str = "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>";

    fn auth(mechanism: &str, payload: &str) -> String {
        let payload = BASE64_STANDARD.encode(payload);
        format!("<auth xmlns='{NS_SASL}' mechanism='{mechanism}'>{payload}</auth>")
    }

    #[test]
    fn a_session_is_negotiated_for_every_split_of_the_input() {
        let (clear, secure) = (header_with(""), header_with(" from='Ali@a.example'"));
        let auth = auth("SCRAM-SHA-256", "n,,n=someone,r=nonce");
        let inputs = [clear.as_str(), STARTTLS, &secure, &auth];
        let (whole, _) = run(false, &inputs, 4096);
        assert!(
            whole.contains("<required/>") && whole.contains("<proceed ") && whole.ends_with("+"),
            "{whole}"
        );
        let (before, after) = whole.split_once('!').unwrap();
        assert!(
            !before.contains("mechanism") && after.contains("<mechanism>SCRAM-SHA-1</mechanism>")
        );
        assert!(!after.contains("PLUS") && after.contains("to='ali@a.example'"));
        for step in 1..clear.len() {
            let (output, request) = run(false, &inputs, step);
            assert_eq!(output, whole, "chunks of {step} bytes");
            // The home is that of the JID in the header.
            let home = Jid::parse("ali@a.example").unwrap();
            let expected = settings().request(&home, &rules().classes);
            assert_eq!(Some(request.unwrap().request().clone()), expected);
        }
        assert_eq!(run(true, &inputs[2..], 64).0, after);
    }

    #[test]
    fn without_a_jid_in_the_header_the_sasl_user_chooses_the_home() {
        let client_header = header_with("");
        for (mechanism, payload) in [
            ("PLAIN", "\0ali\0secret"),
            ("SCRAM-SHA-1", "y,a=zia,n=ali,r=x"),
        ] {
            let (_, request) = run(true, &[&client_header, &auth(mechanism, payload)], 4096);
            let home = Jid::parse("ali@a.example").unwrap();
            assert_eq!(
                Some(request.unwrap().request().clone()),
                settings().request(&home, &rules().classes)
            );
        }
        // The initial response may follow in an element of its own.
        let alone = format!(
            "<response xmlns='{NS_SASL}'>{}</response>",
            BASE64_STANDARD.encode("\0ali\0x")
        );
        let (output, request) = run(true, &[&client_header, &auth("PLAIN", ""), &alone], 4096);
        assert!(
            output.contains("<challenge ") && request.is_some(),
            "{output}"
        );
    }

    #[test]
    fn input_out_of_order_is_answered_with_its_condition() {
        let (clear, from) = (header_with(""), header_with(" from='ali@b.example'"));
        let (other, old) = (
            clear.replace("a.example", "b.example"),
            clear.replace("version='1.0'>", ">"),
        );
        let server = clear.replace("jabber:client", "jabber:server");
        let behind = format!("{STARTTLS}<message/>");
        let on = auth("PLAIN", "\0a\0b") + "<presence/>";
        let bound = auth("SCRAM-SHA-256", "p=tls-exporter,,n=a,r=b");
        let wrong = auth("EXTERNAL", "x");
        // (TLS from the first byte, the client's input, the end of the relay's output)
        let cases: &[(bool, &[&str], &str)] = &[
            (false, &[&other], "[host-unknown]"),
            (false, &[&old], "[unsupported-version]"),
            (false, &[&server], "[invalid-namespace]"),
            (false, &["<stream>"], "[invalid-namespace]"),
            (false, &["OPEN 1 7f c=view\r\n"], "[not-well-formed]"),
            (false, &[&clear, "<message/>"], "[policy-violation]"),
            (false, &[&clear, &on], "[policy-violation]"),
            (false, &[&clear, &behind], "[policy-violation]"),
            (
                false,
                &[&clear, "</stream:stream>"],
                "</stream:stream>[client-left]",
            ),
            (true, &[&from], "[improper-addressing]"),
            (true, &[&clear, &on], "[policy-violation]"),
            (
                true,
                &[&clear, "<iq type='set' id='1'/>"],
                "[policy-violation]",
            ),
            (
                true,
                &[&clear, &bound],
                "<malformed-request/></failure></stream:stream>[sasl-failure]",
            ),
            (true, &[&clear, &wrong, &wrong, &wrong], "[sasl-failure]"),
        ];
        for (direct, inputs, ending) in cases {
            let (output, request) = run(*direct, inputs, 4096);
            assert!(
                output.ends_with(ending) && request.is_none(),
                "{inputs:?}: {output}"
            );
            // Each answer is a complete stream, with a header and a closing tag.
            assert!(
                output.contains("<stream:stream ") && output.contains("</stream:stream>["),
                "{output}"
            );
        }
        assert!(!run(false, &[&clear, &behind], 4096).0.contains("proceed"));
    }

    #[test]
    fn each_step_and_the_whole_negotiation_have_a_timeout() {
        let settings = settings();
        let mut negotiation = ClientNegotiation::new(settings.clone(), [1, 2, 3], false, 100);
        assert_eq!(negotiation.deadline(), 100 + settings.step_timeout);
        assert_eq!(
            negotiation.interrupt(&Buffer::default(), Interruption::TimedOut),
            (Vec::new(), "")
        );
        let mut inbox = Buffer::from_bytes(header_with("").into_bytes());
        let now = settings.negotiation_timeout - 10;
        assert!(matches!(
            negotiation.next_action(&mut inbox, now, &rules()),
            ReaderAction::Send(_)
        ));
        assert_eq!(negotiation.deadline(), 100 + settings.negotiation_timeout);
        let (message, reason) = negotiation.interrupt(&inbox, Interruption::TimedOut);
        assert!(
            String::from_utf8(message)
                .unwrap()
                .contains("connection-timeout")
                && reason == "negotiation-late"
        );
    }

    #[test]
    fn a_rejection_says_when_to_retry() {
        let (_, request) = run(true, &[&header_with(""), &auth("PLAIN", "\0ali\0x")], 4096);
        let request = request.unwrap();
        let message = |answer| String::from_utf8(request.encode_answer(answer)).unwrap();
        let refused = message(FinalAnswer::Rejected(400_000));
        assert!(
            refused.contains("<resource-constraint ") && refused.contains("after-ms='400'"),
            "{refused}"
        );
        assert!(
            message(FinalAnswer::Failed(FailureCause::Timeout)).contains("<connection-timeout ")
        );
        assert!(message(FinalAnswer::Failed(FailureCause::BackendFailed))
            .contains("<remote-connection-failed "));
    }
}
