//! One attempt: a stream of the relay's own to a server, up to the server's first answer to `<auth/>`.
//!
//! That answer, a challenge, a success or a failure, is what `UP` is on the line: the server has taken the
//! session, and it alone can go on with it, since a challenge holds for the server that made it. All before the
//! last byte of `<auth/>` never ran; what a server says in refusal at that point is its `BUSY`.

use super::frame::{Bounds, Condition, Element, Framer, Unit, NS_SASL, NS_STREAMS, NS_TLS};
use super::header;
use super::jid::Jid;
use super::settings::{Security, XmppSettings};
use super::stanza_forwarder::StanzaForwarder;
use crate::decisions::api::{Micros, Outcome};
use crate::protocol::buffer::Buffer;
use crate::protocol::{AttemptAction, AttemptProtocol, Forwarder};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// Nothing is said yet.
    Start,
    /// The server's header and features before TLS.
    Clear,
    /// `<proceed/>`.
    Proceed,
    /// TLS stands; nothing is said on it yet.
    Secured,
    /// The server's header and features.
    Features,
    /// The answer to `<auth/>`.
    AwaitSaslReply,
}

/// The machine of one attempt.
pub struct ServerNegotiation {
    terms: Arc<XmppSettings>,
    domain: String,
    from: String,
    auth: Vec<u8>,
    at: At,
    framer: Framer,
    /// Bytes of the answer, which stays in the buffer: it is for the client.
    answer: usize,
    answered: Element,
}

impl ServerNegotiation {
    /// An attempt at a session of that address, with this `<auth/>`.
    pub fn new(
        terms: Arc<XmppSettings>,
        domain: &str,
        from: &Jid,
        auth: Vec<u8>,
    ) -> ServerNegotiation {
        let at = if terms.security == Security::Direct {
            At::Start
        } else {
            At::Secured
        };
        let at = if terms.security == Security::StartTls {
            At::Start
        } else {
            at
        };
        let (domain, from) = (domain.to_string(), from.bare());
        ServerNegotiation {
            framer: fresh(&terms),
            terms,
            domain,
            from,
            auth,
            at,
            answer: 0,
            answered: Element::default(),
        }
    }

    fn hello(&mut self, at: At) -> AttemptAction {
        self.at = at;
        self.framer = fresh(&self.terms);
        // In clear the address is nobody's business.
        let from = (at == At::Features).then_some(("from", self.from.as_str()));
        let attributes: Vec<_> = from
            .into_iter()
            .chain([("to", self.domain.as_str())])
            .collect();
        AttemptAction::Send(header(&attributes).into_bytes())
    }

    fn hear(&mut self, e: &Element) -> AttemptAction {
        if e.is(NS_STREAMS, "error") {
            return turned_away(e);
        }
        match self.at {
            At::Clear if e.is(NS_STREAMS, "features") => {
                if e.child(NS_TLS, "starttls").is_none() {
                    return AttemptAction::UnexpectedReply(
                        "a server that offers no STARTTLS".into(),
                    );
                }
                self.at = At::Proceed;
                AttemptAction::Send(format!("<starttls xmlns='{NS_TLS}'/>").into_bytes())
            }
            At::Proceed if e.is(NS_TLS, "proceed") => {
                self.at = At::Secured;
                AttemptAction::StartTls(self.domain.clone())
            }
            At::Features if e.is(NS_STREAMS, "features") => {
                if e.child(NS_SASL, "mechanisms").is_none() {
                    return AttemptAction::UnexpectedReply("a server that offers no SASL".into());
                }
                self.at = At::AwaitSaslReply;
                AttemptAction::SendRequest(self.auth.clone())
            }
            At::AwaitSaslReply if e.ns == NS_SASL => match e.name.as_str() {
                // "Try again later", RFC 6120, 6.5.13: the server did not look at it, so another may.
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

/// What a stream error says of an attempt.
fn turned_away(e: &Element) -> AttemptAction {
    let condition = e.children.first().map_or("", |c| c.name.as_str());
    match condition {
        "resource-constraint" | "system-shutdown" | "see-other-host" => {
            AttemptAction::Failed(Outcome::Rejected, Vec::new())
        }
        _ => AttemptAction::Failed(Outcome::Error, Vec::new()),
    }
}

fn fresh(terms: &XmppSettings) -> Framer {
    // Features are a list of anything; a server is trusted with as much as a stanza may have.
    Framer::new(
        Bounds {
            header: terms.bounds.header,
            ..terms.bounds
        },
        true,
    )
}

impl AttemptProtocol for ServerNegotiation {
    fn next_action(&mut self, inbox: &mut Buffer, _left: Micros) -> AttemptAction {
        match (self.at, self.terms.security) {
            (At::Start, Security::Direct) => {
                self.at = At::Secured;
                return AttemptAction::StartTls(self.domain.clone());
            }
            (At::Start, _) => return self.hello(At::Clear),
            (At::Secured, _) => return self.hello(At::Features),
            _ => {}
        }
        loop {
            let (n, unit) = match self.framer.feed(&inbox.unread()[self.answer..]) {
                Ok(read) => read,
                Err(condition) => return AttemptAction::UnexpectedReply(condition.name().into()),
            };
            if self.at == At::AwaitSaslReply {
                self.answer += n;
            } else {
                inbox.consume(n);
            }
            let step = match unit {
                None => return AttemptAction::Read,
                Some(Unit::Whitespace | Unit::Header(_)) => {
                    if self.at == At::AwaitSaslReply {
                        // White space before the answer is for nobody.
                        inbox.consume(std::mem::take(&mut self.answer));
                    }
                    continue;
                }
                Some(Unit::End) => return AttemptAction::Failed(Outcome::Reset, Vec::new()),
                Some(Unit::Element(e)) => {
                    let step = self.hear(&e);
                    self.answered = e;
                    step
                }
            };
            if matches!(step, AttemptAction::StartTls(_)) && !inbox.unread().is_empty() {
                return AttemptAction::UnexpectedReply("clear text behind <proceed/>".into());
            }
            return step;
        }
    }

    fn into_forwarder(self: Box<Self>) -> Box<dyn Forwarder> {
        Box::new(StanzaForwarder::new(
            self.terms,
            self.framer,
            self.answer,
            self.answered,
        ))
    }
}

/// The condition by which a session that was up is ended by its server: what it means for the decisions.
pub(super) fn ended_by(condition: &str) -> (Outcome, &'static str) {
    match condition {
        "system-shutdown" | "see-other-host" | "resource-constraint" => {
            (Outcome::Cancelled, "sent-away")
        }
        c if c == Condition::InternalServerError.name() => (Outcome::Error, "server-error"),
        // A second session of the same address, a policy, ...: the server has served it as it meant to.
        _ => (Outcome::Success, "served"),
    }
}

#[cfg(test)]
mod tests {
    use super::super::header;
    use super::*;

    fn attempt(security: Security) -> ServerNegotiation {
        let terms = Arc::new(XmppSettings {
            security,
            ..XmppSettings::default()
        });
        ServerNegotiation::new(
            terms,
            "a.example",
            &Jid::parse("ali@a.example").unwrap(),
            b"<auth>x</auth>".to_vec(),
        )
    }

    /// What an attempt says when its server says these, each in pieces of that many bytes.
    fn talk(security: Security, inputs: &[&str], step: usize) -> Vec<AttemptAction> {
        let (mut attempt, mut inbox, mut steps) =
            (attempt(security), Buffer::default(), Vec::new());
        let mut go_on = |inbox: &mut Buffer| loop {
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
        let mut over = go_on(&mut inbox);
        for input in inputs {
            for mut piece in input.as_bytes().chunks(step) {
                while !piece.is_empty() && !over {
                    inbox.fill(&mut piece).unwrap();
                }
                over = over || go_on(&mut inbox);
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
    fn auth_goes_out_once_the_server_offers_sasl_and_its_first_answer_is_up() {
        let head = header(&[("id", "7")]);
        let challenge = sasl("challenge|eA==</challenge>");
        for step in 1..head.len() {
            let steps = talk(Security::Plain, &[&head, OFFER, " ", &challenge], step);
            let [AttemptAction::Send(hello), AttemptAction::SendRequest(auth), AttemptAction::Established] =
                &steps[..]
            else {
                panic!("{steps:?}")
            };
            let hello = String::from_utf8(hello.clone()).unwrap();
            assert!(
                hello.contains(" to='a.example'") && hello.contains(" from='ali@a.example'"),
                "{hello}"
            );
            assert_eq!(auth, b"<auth>x</auth>");
        }
        let steps = talk(
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
        let steps = talk(Security::Direct, &[&head, OFFER, &challenge], 4096);
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

    #[test]
    fn only_a_server_s_own_refusal_counts_as_never_run() {
        let head = header(&[]);
        let error = |c: &str| super::super::stream_error("stream:stream", c, "", "");
        let (full, later, wrong) = (
            AttemptAction::Failed(Outcome::Rejected, Vec::new()),
            sasl("failure|<temporary-auth-failure/></failure>"),
            sasl("failure|<not-authorized/></failure>"),
        );
        let cases: Vec<(Vec<String>, AttemptAction)> = vec![
            (vec![head.clone() + &error("resource-constraint")], full),
            (
                vec![head.clone() + OFFER, error("system-shutdown")],
                AttemptAction::Failed(Outcome::Rejected, Vec::new()),
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
                AttemptAction::UnexpectedReply("a server that offers no SASL".into()),
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
                talk(Security::Plain, &inputs, 5).pop(),
                Some(expected),
                "{inputs:?}"
            );
        }
        let behind = format!("{PROCEED}<message/>");
        let steps = talk(Security::StartTls, &[&header(&[]), TLS, &behind], 4096);
        assert!(
            matches!(steps.last(), Some(AttemptAction::UnexpectedReply(_))),
            "{steps:?}"
        );
    }
}
