//! A client up to its `<auth/>`: header, STARTTLS, header again, the choice of a mechanism.
//!
//! Guards against: clear text that a third party puts behind `<starttls/>` and that would be taken for
//! protected; a client that says each step a byte at a time; bytes sent on behind `<auth/>`.

use super::frame::{Condition, Element, Framer, Header, Unit, NS_CLIENT, NS_SASL, NS_TLS};
use super::jid::{self, Jid};
use super::server_negotiation::ServerNegotiation;
use super::settings::XmppSettings;
use super::{error, header, stream_error, NS_RELAY, TAG};
use crate::decisions::api::{Micros, Request};
use crate::protocol::buffer::Buffer;
use crate::protocol::{
    AttemptProtocol, ClientRequest, FailureCause, FinalAnswer, FrontSettings, Interruption,
    ReaderAction, RequestReader,
};
use base64::prelude::{Engine, BASE64_STANDARD};
use std::sync::Arc;

/// The most `<auth/>` elements that name a mechanism which is not offered.
const MISTAKES: u32 = 3;
/// The longest unit of negotiation: what RFC 6120 has as the least for a stanza.
const NEGOTIATION: usize = 10_000;

/// Three numbers that nobody can guess: the ids of two streams, and the session's own.
pub type SessionIds = [u64; 3];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// Its first header.
    ClearHeader,
    /// `<starttls/>`.
    StartTls,
    /// `<proceed/>` has been said: the link is to be secured.
    Proceed,
    /// Its header under TLS.
    Header,
    /// `<auth/>`.
    Auth,
    /// The first response of a mechanism whose `<auth/>` came without one.
    Response,
}

/// Hears a client up to its request.
pub struct ClientNegotiation {
    terms: Arc<XmppSettings>,
    ids: SessionIds,
    at: At,
    framer: Framer,
    /// Whether a header of the relay's own stands.
    opened: bool,
    until: Micros,
    /// The end of all negotiation.
    end: Micros,
    domain: String,
    /// The address that the header under TLS names.
    from: Option<Jid>,
    mechanism: String,
    mistakes: u32,
}

impl ClientNegotiation {
    /// For a client that has come at `now`; `direct` where TLS stands from the first byte (XEP-0368).
    pub fn new(
        terms: Arc<XmppSettings>,
        ids: SessionIds,
        direct: bool,
        now: Micros,
    ) -> ClientNegotiation {
        let at = if direct { At::Header } else { At::ClearHeader };
        ClientNegotiation {
            framer: fresh(&terms),
            ids,
            at,
            opened: false,
            until: now + terms.step_timeout,
            end: now + terms.negotiation_timeout,
            domain: String::new(),
            from: None,
            mechanism: String::new(),
            mistakes: 0,
            terms,
        }
    }

    fn step(&mut self, at: At, now: Micros) {
        self.at = at;
        self.until = (now + self.terms.step_timeout).min(self.end);
    }

    fn fail(&mut self, condition: Condition) -> ReaderAction {
        ReaderAction::Close(self.words(&error(TAG, condition)), condition.reason())
    }

    /// An error stands inside a stream, also where the client's own header could not be read.
    fn words(&mut self, words: &str) -> Vec<u8> {
        let head = if self.opened {
            String::new()
        } else {
            self.own_header()
        };
        (head + words).into_bytes()
    }

    fn own_header(&mut self) -> String {
        self.opened = true;
        let id = format!(
            "{:016x}",
            if self.at == At::ClearHeader {
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
        header(&attributes)
    }

    /// The client's header: whom it is for, and whether that is here.
    fn hear_header(&mut self, header: &Header) -> Result<(), Condition> {
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
            .and_then(jid::domain)
            .ok_or(Condition::ImproperAddressing)?;
        if !self.terms.domains.contains(&to) {
            return Err(Condition::HostUnknown);
        }
        if !self.domain.is_empty() && self.domain != to {
            // The certificate was chosen for another: the stream goes on for the one it began with.
            return Err(Condition::HostUnknown);
        }
        self.domain = to;
        self.from = None;
        // In clear an address says who is there to whoever listens: it is not asked for and not believed.
        if let (At::Header, Some(from)) = (self.at, &header.from) {
            let from =
                Jid::parse(from).filter(|jid| jid.local.is_some() && jid.domain == self.domain);
            self.from = Some(from.ok_or(Condition::ImproperAddressing)?);
        }
        Ok(())
    }

    fn hear(
        &mut self,
        unit: Unit,
        now: Micros,
        rules: &Arc<FrontSettings>,
    ) -> Option<ReaderAction> {
        match (self.at, unit) {
            (_, Unit::Whitespace) => None,
            (_, Unit::End) => {
                let words = if self.opened {
                    format!("</{TAG}>")
                } else {
                    String::new()
                };
                Some(ReaderAction::Close(words.into_bytes(), "client-left"))
            }
            (At::ClearHeader, Unit::Header(head)) => Some(match self.hear_header(&head) {
                Ok(()) => {
                    let features =
                        format!("<stream:features><starttls xmlns='{NS_TLS}'><required/></starttls></stream:features>");
                    let words = self.own_header() + &features;
                    self.step(At::StartTls, now);
                    ReaderAction::Send(words.into_bytes())
                }
                Err(condition) => self.fail(condition),
            }),
            (At::Header, Unit::Header(head)) => Some(match self.hear_header(&head) {
                Ok(()) => {
                    let list: String = self
                        .terms
                        .mechanisms
                        .iter()
                        .map(|m| format!("<mechanism>{m}</mechanism>"))
                        .collect();
                    let features = format!(
                        "<stream:features><mechanisms xmlns='{NS_SASL}'>{list}</mechanisms></stream:features>"
                    );
                    let words = self.own_header() + &features;
                    self.step(At::Auth, now);
                    ReaderAction::Send(words.into_bytes())
                }
                Err(condition) => self.fail(condition),
            }),
            (At::StartTls, Unit::Element(e)) if e.is(NS_TLS, "starttls") => {
                self.step(At::Proceed, now);
                Some(ReaderAction::Send(
                    format!("<proceed xmlns='{NS_TLS}'/>").into_bytes(),
                ))
            }
            (At::Auth, Unit::Element(e)) if e.is(NS_SASL, "auth") => {
                Some(self.auth(&e, now, rules))
            }
            (At::Response, Unit::Element(e)) if e.is(NS_SASL, "response") => {
                Some(self.place(e.text.trim(), rules))
            }
            (At::Auth | At::Response, Unit::Element(e)) if e.is(NS_SASL, "abort") => {
                Some(self.sasl_failure("aborted", now))
            }
            // A stanza, or anything else, before its time.
            (..) => Some(self.fail(Condition::PolicyViolation)),
        }
    }

    fn auth(&mut self, e: &Element, now: Micros, rules: &Arc<FrontSettings>) -> ReaderAction {
        let mechanism = e.get("mechanism").unwrap_or_default();
        if !self.terms.mechanisms.iter().any(|m| m == mechanism) {
            return self.sasl_failure("invalid-mechanism", now);
        }
        self.mechanism = mechanism.to_string();
        match e.text.trim() {
            // All mechanisms offered begin with the client: an empty challenge asks for it.
            "" => {
                self.step(At::Response, now);
                ReaderAction::Send(format!("<challenge xmlns='{NS_SASL}'/>").into_bytes())
            }
            payload => self.place(payload, rules),
        }
    }

    /// A mistake of the client's, which may try once more.
    fn sasl_failure(&mut self, condition: &str, now: Micros) -> ReaderAction {
        self.mistakes += 1;
        let words = format!("<failure xmlns='{NS_SASL}'><{condition}/></failure>");
        if self.mistakes >= MISTAKES {
            return ReaderAction::Close(
                (words + &error(TAG, Condition::PolicyViolation)).into_bytes(),
                "sasl-failure",
            );
        }
        self.step(At::Auth, now);
        ReaderAction::Send(words.into_bytes())
    }

    fn place(&mut self, payload: &str, rules: &Arc<FrontSettings>) -> ReaderAction {
        let Some(user) = user(&self.mechanism, payload) else {
            let words =
                format!("<failure xmlns='{NS_SASL}'><malformed-request/></failure></{TAG}>");
            return ReaderAction::Close(words.into_bytes(), "sasl-failure");
        };
        let named = || {
            Some(Jid {
                local: Some(jid::local(&user)?),
                domain: self.domain.clone(),
                resource: None,
            })
        };
        let Some(jid) = self.from.clone().or_else(named) else {
            let words = format!("<failure xmlns='{NS_SASL}'><not-authorized/></failure></{TAG}>");
            return ReaderAction::Close(words.into_bytes(), "sasl-failure");
        };
        let Some(request) = self.terms.request(&jid, &rules.classes) else {
            return self.fail(Condition::InternalServerError);
        };
        ReaderAction::Request(Box::new(SessionRequest {
            name: format!("{:016x}", self.ids[2]),
            request,
            domain: self.domain.clone(),
            from: jid,
            auth: format!(
                "<auth xmlns='{NS_SASL}' mechanism='{}'>{payload}</auth>",
                self.mechanism
            ),
            terms: self.terms.clone(),
        }))
    }
}

fn fresh(terms: &XmppSettings) -> Framer {
    Framer::new(
        super::frame::Bounds {
            stanza: NEGOTIATION.min(terms.bounds.stanza),
            ..terms.bounds
        },
        true,
    )
}

/// The user whom an initial response names (RFC 4616, RFC 5802); none where it cannot be read, or asks for a
/// channel binding, which cannot reach through TLS that ends here.
fn user(mechanism: &str, payload: &str) -> Option<String> {
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
    // `=2C` and `=3D` stand for a comma and an equals sign; no other equals sign may be there.
    let name = name.replace("=2C", ",").replace("=3D", "\0");
    (!name.is_empty() && !name.contains('=')).then(|| name.replace('\0', "="))
}

impl RequestReader for ClientNegotiation {
    fn next_action(
        &mut self,
        inbox: &mut Buffer,
        now: Micros,
        rules: &Arc<FrontSettings>,
    ) -> ReaderAction {
        if self.at == At::Proceed {
            return ReaderAction::StartTls(self.domain.clone());
        }
        loop {
            let (n, unit) = match self.framer.feed(inbox.unread()) {
                Ok(read) => read,
                Err(condition) => return self.fail(condition),
            };
            inbox.consume(n);
            let Some(unit) = unit else {
                return ReaderAction::Read;
            };
            let Some(next) = self.hear(unit, now, rules) else {
                continue;
            };
            // Whoever waits for its answer has sent nothing behind what is answered: it is refused, and
            // nothing of it can be read as protected later.
            let sent_on = !inbox.unread().is_empty();
            if sent_on && (self.at == At::Proceed || matches!(next, ReaderAction::Request(_))) {
                return self.fail(Condition::PolicyViolation);
            }
            return next;
        }
    }

    fn tls_established(&mut self, now: Micros) {
        (self.framer, self.opened) = (fresh(&self.terms), false);
        self.step(At::Header, now);
    }

    fn deadline(&self) -> Micros {
        self.until
    }

    fn interrupt(&mut self, _inbox: &Buffer, why: Interruption) -> (Vec<u8>, &'static str) {
        let silent = !self.opened && self.framer.at_unit_boundary() && self.at == At::ClearHeader;
        match why {
            // Whoever has said nothing is a health check.
            _ if silent => (Vec::new(), ""),
            Interruption::Dismissed => (
                self.words(&error(TAG, Condition::SystemShutdown)),
                "dismissed",
            ),
            Interruption::TimedOut => (
                self.words(&error(TAG, Condition::ConnectionTimeout)),
                "negotiation-late",
            ),
            Interruption::Disconnected => (Vec::new(), "client-left"),
        }
    }
}

/// A session that was asked for.
pub struct SessionRequest {
    name: String,
    request: Request,
    domain: String,
    from: Jid,
    auth: String,
    terms: Arc<XmppSettings>,
}

impl ClientRequest for SessionRequest {
    fn front(&self) -> &'static str {
        "xmpp"
    }

    fn connection_id(&self) -> &str {
        &self.name
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
            self.terms.clone(),
            &self.domain,
            &self.from,
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
                return stream_error(TAG, name, "", &more).into_bytes();
            }
            FinalAnswer::Failed(FailureCause::Timeout) => Condition::ConnectionTimeout,
            FinalAnswer::Failed(FailureCause::BackendFailed) => Condition::RemoteConnectionFailed,
            FinalAnswer::IdInUse => Condition::InternalServerError,
        };
        error(TAG, condition).into_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::super::settings::ClassRule;
    use super::*;
    use crate::config::{Classes, Names};

    fn terms() -> Arc<XmppSettings> {
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

    fn head(more: &str) -> String {
        super::super::header(&[("to", "a.example")])
            .replace(" version='1.0'>", &format!("{more} version='1.0'>"))
    }

    /// What a greeting says to these inputs, each in pieces of that many bytes; `!` where the link is secured,
    /// `+` where the session is placed, and the reason where it ends.
    fn talk(
        direct: bool,
        inputs: &[&str],
        step: usize,
    ) -> (String, Option<Box<dyn ClientRequest>>) {
        let (mut greeting, rules) = (
            ClientNegotiation::new(terms(), [1, 2, 3], direct, 0),
            rules(),
        );
        let (mut said, mut inbox) = (String::new(), Buffer::default());
        for input in inputs {
            for mut piece in input.as_bytes().chunks(step) {
                while !piece.is_empty() {
                    inbox.fill(&mut piece).unwrap();
                }
                loop {
                    match greeting.next_action(&mut inbox, 0, &rules) {
                        ReaderAction::Read => break,
                        ReaderAction::Send(words) => said += &String::from_utf8(words).unwrap(),
                        ReaderAction::StartTls(domain) => {
                            assert!(domain == "a.example" && inbox.unread().is_empty());
                            said.push('!');
                            greeting.tls_established(0);
                        }
                        ReaderAction::Request(order) => return (said + "+", Some(order)),
                        ReaderAction::Close(words, reason) => {
                            said += &String::from_utf8(words).unwrap();
                            return (format!("{said}[{reason}]"), None);
                        }
                    }
                }
            }
        }
        (said, None)
    }

    const STARTTLS: &str = "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>";

    fn auth(mechanism: &str, payload: &str) -> String {
        let payload = BASE64_STANDARD.encode(payload);
        format!("<auth xmlns='{NS_SASL}' mechanism='{mechanism}'>{payload}</auth>")
    }

    #[test]
    fn a_session_is_negotiated_however_its_bytes_are_cut() {
        let (clear, secure) = (head(""), head(" from='Ali@a.example'"));
        let auth = auth("SCRAM-SHA-256", "n,,n=someone,r=nonce");
        let inputs = [clear.as_str(), STARTTLS, &secure, &auth];
        let (whole, _) = talk(false, &inputs, 4096);
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
            let (said, order) = talk(false, &inputs, step);
            assert_eq!(said, whole, "pieces of {step} bytes");
            // The home is that of the header's address.
            let home = Jid::parse("ali@a.example").unwrap();
            let expected = terms().request(&home, &rules().classes);
            assert_eq!(Some(order.unwrap().request().clone()), expected);
        }
        assert_eq!(talk(true, &inputs[2..], 64).0, after);
    }

    #[test]
    fn without_an_address_in_the_header_the_sasl_user_is_the_home() {
        let head = head("");
        for (mechanism, payload) in [
            ("PLAIN", "\0ali\0secret"),
            ("SCRAM-SHA-1", "y,a=zia,n=ali,r=x"),
        ] {
            let (_, order) = talk(true, &[&head, &auth(mechanism, payload)], 4096);
            let home = Jid::parse("ali@a.example").unwrap();
            assert_eq!(
                Some(order.unwrap().request().clone()),
                terms().request(&home, &rules().classes)
            );
        }
        // The initial response may come on its own.
        let alone = format!(
            "<response xmlns='{NS_SASL}'>{}</response>",
            BASE64_STANDARD.encode("\0ali\0x")
        );
        let (said, order) = talk(true, &[&head, &auth("PLAIN", ""), &alone], 4096);
        assert!(said.contains("<challenge ") && order.is_some(), "{said}");
    }

    #[test]
    fn what_is_out_of_order_is_answered_with_its_condition() {
        let (clear, from) = (head(""), head(" from='ali@b.example'"));
        let (other, old) = (
            clear.replace("a.example", "b.example"),
            clear.replace("version='1.0'>", ">"),
        );
        let server = clear.replace("jabber:client", "jabber:server");
        let behind = format!("{STARTTLS}<message/>");
        let on = auth("PLAIN", "\0a\0b") + "<presence/>";
        let bound = auth("SCRAM-SHA-256", "p=tls-exporter,,n=a,r=b");
        let wrong = auth("EXTERNAL", "x");
        // (TLS from the start, what is sent, what the answer ends with)
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
            let (said, order) = talk(*direct, inputs, 4096);
            assert!(
                said.ends_with(ending) && order.is_none(),
                "{inputs:?}: {said}"
            );
            // Each answer is a stream that ends, inside a header.
            assert!(
                said.contains("<stream:stream ") && said.contains("</stream:stream>["),
                "{said}"
            );
        }
        assert!(!talk(false, &[&clear, &behind], 4096).0.contains("proceed"));
    }

    #[test]
    fn a_step_has_its_time_and_all_of_them_have_theirs() {
        let terms = terms();
        let mut greeting = ClientNegotiation::new(terms.clone(), [1, 2, 3], false, 100);
        assert_eq!(greeting.deadline(), 100 + terms.step_timeout);
        assert_eq!(
            greeting.interrupt(&Buffer::default(), Interruption::TimedOut),
            (Vec::new(), "")
        );
        let mut inbox = Buffer::from_bytes(head("").into_bytes());
        let now = terms.negotiation_timeout - 10;
        assert!(matches!(
            greeting.next_action(&mut inbox, now, &rules()),
            ReaderAction::Send(_)
        ));
        assert_eq!(greeting.deadline(), 100 + terms.negotiation_timeout);
        let (words, reason) = greeting.interrupt(&inbox, Interruption::TimedOut);
        assert!(
            String::from_utf8(words)
                .unwrap()
                .contains("connection-timeout")
                && reason == "negotiation-late"
        );
    }

    #[test]
    fn refusals_say_when_to_come_again() {
        let (_, order) = talk(true, &[&head(""), &auth("PLAIN", "\0ali\0x")], 4096);
        let order = order.unwrap();
        let words = |answer| String::from_utf8(order.encode_answer(answer)).unwrap();
        let refused = words(FinalAnswer::Rejected(400_000));
        assert!(
            refused.contains("<resource-constraint ") && refused.contains("after-ms='400'"),
            "{refused}"
        );
        assert!(words(FinalAnswer::Failed(FailureCause::Timeout)).contains("<connection-timeout "));
        assert!(words(FinalAnswer::Failed(FailureCause::BackendFailed))
            .contains("<remote-connection-failed "));
    }
}
