//! One attempt: stream negotiation of the relay with a server, up to the server's first reply to
//! `<auth/>` (RFC 6120, 5.4 and 6.4).
//!
//! That reply, a challenge, a success or a failure, corresponds to `UP` of the line protocol: the
//! server has accepted the session, and only this server can continue it, since a challenge is
//! valid only at the server that issued it. Before the last byte of `<auth/>` is sent nothing can
//! have run: a server that sends its clients away until then refuses, which corresponds to `BUSY`.
//! After that only its reply to `<auth/>` itself can refuse. A stream error says why the stream ends
//! and nothing about the request, so it corresponds to `MOVE` or `ERR`: the request may have run.

use super::frame::{Bounds, Condition, Element, Framer, Unit, NS_SASL, NS_STREAMS, NS_TLS};
use super::jid::Jid;
use super::settings::{Security, XmppSettings};
use super::stanza_forwarder::StanzaForwarder;
use super::stream_header;
use crate::decisions::api::{Micros, Outcome};
use crate::protocol::buffer::Buffer;
use crate::protocol::{AttemptAction, AttemptProtocol, Forwarder};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is sent yet.
    Start,
    /// The first stream is open; waits for the server's header and its features with STARTTLS.
    AwaitStartTlsFeature,
    /// Waits for `<proceed/>`.
    AwaitProceed,
    /// TLS is established, or not needed; the stream for SASL is not open yet.
    TlsEstablished,
    /// The stream is open; waits for the server's header and its features with SASL.
    AwaitSaslFeature,
    /// Waits for the reply to `<auth/>`.
    AwaitSaslReply,
}

/// The state machine of one attempt.
pub struct ServerNegotiation {
    settings: Arc<XmppSettings>,
    domain: String,
    from: String,
    auth: Vec<u8>,
    state: State,
    framer: Framer,
    /// The length of the reply to `<auth/>`, which stays in the buffer because it is for the
    /// client.
    sasl_reply_len: usize,
    sasl_reply: Element,
}

impl ServerNegotiation {
    /// An attempt at a session of this JID, with the client's `<auth/>`.
    pub fn new(
        settings: Arc<XmppSettings>,
        domain: &str,
        from: &Jid,
        auth: Vec<u8>,
    ) -> ServerNegotiation {
        let state = if settings.security == Security::Direct {
            State::Start
        } else {
            State::TlsEstablished
        };
        let state = if settings.security == Security::StartTls {
            State::Start
        } else {
            state
        };
        let (domain, from) = (domain.to_string(), from.bare());
        ServerNegotiation {
            framer: new_framer(&settings),
            settings,
            domain,
            from,
            auth,
            state,
            sasl_reply_len: 0,
            sasl_reply: Element::default(),
        }
    }

    /// Opens a stream to the server.
    fn open_stream(&mut self, state: State) -> AttemptAction {
        self.state = state;
        self.framer = new_framer(&self.settings);
        // The JID is not sent before STARTTLS (RFC 6120, 4.7.1).
        let from = (state == State::AwaitSaslFeature).then_some(("from", self.from.as_str()));
        let attributes: Vec<_> = from
            .into_iter()
            .chain([("to", self.domain.as_str())])
            .collect();
        AttemptAction::Send(stream_header(&attributes).into_bytes())
    }

    /// Handles a stream error (RFC 6120, 4.9.3), which ends the attempt.
    fn on_stream_error(&self, e: &Element) -> AttemptAction {
        let condition = e.children.first().map_or("", |c| c.name.as_str());
        let auth_sent = self.state == State::AwaitSaslReply;
        let outcome = match (sends_away(condition), auth_sent) {
            (true, false) => Outcome::Rejected,
            (true, true) => Outcome::Cancelled,
            (false, _) => Outcome::Error,
        };
        AttemptAction::Failed(outcome, Vec::new())
    }

    /// Handles an element from the server.
    fn on_element(&mut self, e: &Element) -> AttemptAction {
        if e.is(NS_STREAMS, "error") {
            return self.on_stream_error(e);
        }
        match self.state {
            State::AwaitStartTlsFeature if e.is(NS_STREAMS, "features") => {
                if e.child(NS_TLS, "starttls").is_none() {
                    return AttemptAction::UnexpectedReply(
                        "stream features without STARTTLS".into(),
                    );
                }
                self.state = State::AwaitProceed;
                AttemptAction::Send(format!("<starttls xmlns='{NS_TLS}'/>").into_bytes())
            }
            State::AwaitProceed if e.is(NS_TLS, "proceed") => {
                self.state = State::TlsEstablished;
                AttemptAction::StartTls(self.domain.clone())
            }
            State::AwaitSaslFeature if e.is(NS_STREAMS, "features") => {
                if e.child(NS_SASL, "mechanisms").is_none() {
                    return AttemptAction::UnexpectedReply("stream features without SASL".into());
                }
                self.state = State::AwaitSaslReply;
                AttemptAction::SendRequest(self.auth.clone())
            }
            State::AwaitSaslReply if e.ns == NS_SASL => match e.name.as_str() {
                // RFC 6120, 6.5.13: the server has not checked the credentials, so another server
                // can.
                "failure" if e.child(NS_SASL, "temporary-auth-failure").is_some() => {
                    AttemptAction::Failed(Outcome::Rejected, Vec::new())
                }
                "challenge" | "success" | "failure" => AttemptAction::Established,
                _ => AttemptAction::UnexpectedReply(format!("<{}/>", e.name)),
            },
            _ => AttemptAction::UnexpectedReply(format!("<{}/>", e.name)),
        }
    }
}

/// Whether a server that ends a stream with this condition sends its client away, since it drains or
/// is full (RFC 6120, 4.9.3.17, 4.9.3.19 and 4.9.3.20).
fn sends_away(condition: &str) -> bool {
    matches!(
        condition,
        "resource-constraint" | "system-shutdown" | "see-other-host"
    )
}

fn new_framer(settings: &XmppSettings) -> Framer {
    // Stream features can list anything, so a server may send as much as in a stanza.
    Framer::new(
        Bounds {
            header: settings.bounds.header,
            ..settings.bounds
        },
        true,
    )
}

impl AttemptProtocol for ServerNegotiation {
    fn next_action(&mut self, inbox: &mut Buffer, _left: Micros) -> AttemptAction {
        match (self.state, self.settings.security) {
            (State::Start, Security::Direct) => {
                self.state = State::TlsEstablished;
                return AttemptAction::StartTls(self.domain.clone());
            }
            (State::Start, _) => return self.open_stream(State::AwaitStartTlsFeature),
            (State::TlsEstablished, _) => return self.open_stream(State::AwaitSaslFeature),
            _ => {}
        }
        loop {
            let (n, unit) = match self.framer.feed(&inbox.unread()[self.sasl_reply_len..]) {
                Ok(read) => read,
                Err(condition) => return AttemptAction::UnexpectedReply(condition.name().into()),
            };
            if self.state == State::AwaitSaslReply {
                self.sasl_reply_len += n;
            } else {
                inbox.consume(n);
            }
            let step = match unit {
                None => return AttemptAction::Read,
                Some(Unit::Whitespace | Unit::Header(_)) => {
                    if self.state == State::AwaitSaslReply {
                        // White space before the reply is not forwarded.
                        inbox.consume(std::mem::take(&mut self.sasl_reply_len));
                    }
                    continue;
                }
                Some(Unit::End) => return AttemptAction::Failed(Outcome::Reset, Vec::new()),
                Some(Unit::Element(e)) => {
                    let step = self.on_element(&e);
                    self.sasl_reply = e;
                    step
                }
            };
            if matches!(step, AttemptAction::StartTls(_)) && !inbox.unread().is_empty() {
                return AttemptAction::UnexpectedReply("clear text after <proceed/>".into());
            }
            return step;
        }
    }

    fn buffered_bytes(&self) -> usize {
        self.framer.buffered_bytes()
    }

    fn into_forwarder(self: Box<Self>) -> Box<dyn Forwarder> {
        Box::new(StanzaForwarder::new(
            self.settings,
            self.framer,
            self.sasl_reply_len,
            self.sasl_reply,
        ))
    }
}

/// The outcome and the reason of an established session that its server ends with this stream error
/// condition.
pub(super) fn session_outcome(condition: &str) -> (Outcome, &'static str) {
    match condition {
        c if sends_away(c) => (Outcome::Cancelled, "sent-away"),
        c if c == Condition::InternalServerError.name() => (Outcome::Error, "server-error"),
        // `conflict`, `policy-violation` and others: the server has served the session as it
        // intended.
        _ => (Outcome::Success, "served"),
    }
}

#[cfg(test)]
mod tests {
    use super::super::stream_header;
    use super::*;

    fn attempt(security: Security) -> ServerNegotiation {
        let settings = Arc::new(XmppSettings {
            security,
            ..XmppSettings::default()
        });
        ServerNegotiation::new(
            settings,
            "a.example",
            &Jid::parse("ali@a.example").unwrap(),
            b"<auth>x</auth>".to_vec(),
        )
    }

    /// The actions of an attempt whose server sends these inputs, each in chunks of `step` bytes.
    fn run(security: Security, inputs: &[&str], step: usize) -> Vec<AttemptAction> {
        let (mut attempt, mut inbox, mut steps) =
            (attempt(security), Buffer::default(), Vec::new());
        let mut advance = |inbox: &mut Buffer| loop {
            match attempt.next_action(inbox, 1_000) {
                AttemptAction::Read => return false,
                done @ (AttemptAction::Established
                | AttemptAction::Failed(..)
                | AttemptAction::UnexpectedReply(_)) => {
                    steps.push(done);
                    return true;
                }
                step => steps.push(step),
            }
        };
        let mut over = advance(&mut inbox);
        for input in inputs {
            for mut chunk in input.as_bytes().chunks(step) {
                while !chunk.is_empty() && !over {
                    inbox.fill(&mut chunk).unwrap();
                }
                over = over || advance(&mut inbox);
            }
        }
        steps
    }

    const OFFER: &str = "<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>\
        <mechanism>PLAIN</mechanism></mechanisms></stream:features>";
    const TLS: &str =
        "<stream:features><starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/></stream:features>";
    const PROCEED: &str = "<proceed xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>";

    fn sasl(inner: &str) -> String {
        format!(
            "<{} xmlns='{NS_SASL}'>{}",
            inner.split('|').next().unwrap(),
            inner.split('|').nth(1).unwrap()
        )
    }

    #[test]
    fn auth_is_sent_once_sasl_is_offered_and_its_first_reply_establishes_the_session() {
        let head = stream_header(&[("id", "7")]);
        let challenge = sasl("challenge|eA==</challenge>");
        for step in 1..head.len() {
            let steps = run(Security::Plain, &[&head, OFFER, " ", &challenge], step);
            let [AttemptAction::Send(header), AttemptAction::SendRequest(auth), AttemptAction::Established] =
                &steps[..]
            else {
                panic!("{steps:?}")
            };
            let header = String::from_utf8(header.clone()).unwrap();
            assert!(
                header.contains(" to='a.example'") && header.contains(" from='ali@a.example'"),
                "{header}"
            );
            assert_eq!(auth, b"<auth>x</auth>");
        }
        let steps = run(
            Security::StartTls,
            &[&head, TLS, PROCEED, &head, OFFER, &challenge],
            4096,
        );
        let [AttemptAction::Send(clear), AttemptAction::Send(_), AttemptAction::StartTls(to), AttemptAction::Send(_), AttemptAction::SendRequest(_), AttemptAction::Established] =
            &steps[..]
        else {
            panic!("{steps:?}")
        };
        assert!(to == "a.example" && !String::from_utf8(clear.clone()).unwrap().contains("from="));
        let steps = run(Security::Direct, &[&head, OFFER, &challenge], 4096);
        assert!(
            matches!(
                &steps[..],
                [
                    AttemptAction::StartTls(_),
                    AttemptAction::Send(_),
                    AttemptAction::SendRequest(_),
                    AttemptAction::Established
                ]
            ),
            "{steps:?}"
        );
    }

    /// Guards against a request that runs twice: a stream error was taken for a refusal also where
    /// the server had the whole request.
    #[test]
    fn a_stream_error_is_a_rejection_only_before_the_request() {
        let head = stream_header(&[]);
        for (condition, before, after) in [
            ("system-shutdown", Outcome::Rejected, Outcome::Cancelled),
            ("see-other-host", Outcome::Rejected, Outcome::Cancelled),
            ("resource-constraint", Outcome::Rejected, Outcome::Cancelled),
            ("internal-server-error", Outcome::Error, Outcome::Error),
            ("undefined-condition", Outcome::Error, Outcome::Error),
        ] {
            let error = super::super::stream_error_with("stream:stream", condition, "", "");
            let outcome = |security, inputs: &[&str]| run(security, inputs, 5).pop();
            let failed = |outcome| Some(AttemptAction::Failed(outcome, Vec::new()));
            let unsecured = outcome(Security::StartTls, &[&head, &error]);
            assert_eq!(unsecured, failed(before), "{condition} before TLS");
            let not_sent = outcome(Security::Plain, &[&head, &error]);
            assert_eq!(not_sent, failed(before), "{condition} before the request");
            let offer = head.clone() + OFFER;
            let sent = outcome(Security::Plain, &[&offer, &error]);
            assert_eq!(sent, failed(after), "{condition} after the request");
        }
    }

    #[test]
    fn only_a_refusal_by_the_server_is_a_rejection() {
        let head = stream_header(&[]);
        let error = |c: &str| super::super::stream_error_with("stream:stream", c, "", "");
        let (full, later, wrong) = (
            AttemptAction::Failed(Outcome::Rejected, Vec::new()),
            sasl("failure|<temporary-auth-failure/></failure>"),
            sasl("failure|<not-authorized/></failure>"),
        );
        let cases: Vec<(Vec<String>, AttemptAction)> = vec![
            (vec![head.clone() + &error("resource-constraint")], full),
            (
                vec![head.clone() + OFFER, error("system-shutdown")],
                AttemptAction::Failed(Outcome::Cancelled, Vec::new()),
            ),
            (
                vec![head.clone() + OFFER, error("internal-server-error")],
                AttemptAction::Failed(Outcome::Error, Vec::new()),
            ),
            (
                vec![head.clone() + OFFER, later],
                AttemptAction::Failed(Outcome::Rejected, Vec::new()),
            ),
            (
                vec![head.clone() + OFFER, wrong],
                AttemptAction::Established,
            ),
            (
                vec![head.clone() + OFFER, "</stream:stream>".into()],
                AttemptAction::Failed(Outcome::Reset, Vec::new()),
            ),
            (
                vec![head.clone() + TLS],
                AttemptAction::UnexpectedReply("stream features without SASL".into()),
            ),
            (
                vec![head.clone() + "<!-- -->"],
                AttemptAction::UnexpectedReply("restricted-xml".into()),
            ),
            (
                vec![head + OFFER, "<message xmlns='jabber:client'/>".into()],
                AttemptAction::UnexpectedReply("<message/>".into()),
            ),
        ];
        for (inputs, expected) in cases {
            let inputs: Vec<&str> = inputs.iter().map(String::as_str).collect();
            assert_eq!(
                run(Security::Plain, &inputs, 5).pop(),
                Some(expected),
                "{inputs:?}"
            );
        }
        let behind = format!("{PROCEED}<message/>");
        let steps = run(
            Security::StartTls,
            &[&stream_header(&[]), TLS, &behind],
            4096,
        );
        assert!(
            matches!(steps.last(), Some(AttemptAction::UnexpectedReply(_))),
            "{steps:?}"
        );
    }
}
