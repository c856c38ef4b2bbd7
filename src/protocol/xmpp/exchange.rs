//! One attempt: a stream of the relay's own to a server, up to the server's first answer to `<auth/>`.
//!
//! That answer, a challenge, a success or a failure, is what `UP` is on the line: the server has taken the
//! session, and it alone can go on with it, since a challenge holds for the server that made it. All before the
//! last byte of `<auth/>` never ran; what a server says in refusal at that point is its `BUSY`.

use super::frame::{Bounds, Condition, Element, Framer, Unit, NS_SASL, NS_STREAMS, NS_TLS};
use super::header;
use super::jid::Jid;
use super::passage::Stanzas;
use super::terms::{Security, Terms};
use crate::decisions::api::{Micros, Outcome};
use crate::protocol::buffer::Buffer;
use crate::protocol::{Exchange, Passage, Step};
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
    Answer,
}

/// The machine of one attempt.
pub struct Attempt {
    terms: Arc<Terms>,
    domain: String,
    from: String,
    auth: Vec<u8>,
    at: At,
    framer: Framer,
    /// Bytes of the answer, which stays in the buffer: it is for the client.
    answer: usize,
    answered: Element,
}

impl Attempt {
    /// An attempt at a session of that address, with this `<auth/>`.
    pub fn new(terms: Arc<Terms>, domain: &str, from: &Jid, auth: Vec<u8>) -> Attempt {
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
        Attempt {
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

    fn hello(&mut self, at: At) -> Step {
        self.at = at;
        self.framer = fresh(&self.terms);
        // In clear the address is nobody's business.
        let from = (at == At::Features).then_some(("from", self.from.as_str()));
        let attributes: Vec<_> = from
            .into_iter()
            .chain([("to", self.domain.as_str())])
            .collect();
        Step::Say(header(&attributes).into_bytes())
    }

    fn hear(&mut self, e: &Element) -> Step {
        if e.is(NS_STREAMS, "error") {
            return turned_away(e);
        }
        match self.at {
            At::Clear if e.is(NS_STREAMS, "features") => {
                if e.child(NS_TLS, "starttls").is_none() {
                    return Step::Nonsense("a server that offers no STARTTLS".into());
                }
                self.at = At::Proceed;
                Step::Say(format!("<starttls xmlns='{NS_TLS}'/>").into_bytes())
            }
            At::Proceed if e.is(NS_TLS, "proceed") => {
                self.at = At::Secured;
                Step::Secure(self.domain.clone())
            }
            At::Features if e.is(NS_STREAMS, "features") => {
                if e.child(NS_SASL, "mechanisms").is_none() {
                    return Step::Nonsense("a server that offers no SASL".into());
                }
                self.at = At::Answer;
                Step::Ask(self.auth.clone())
            }
            At::Answer if e.ns == NS_SASL => match e.name.as_str() {
                // "Try again later", RFC 6120, 6.5.13: the server did not look at it, so another may.
                "failure" if e.child(NS_SASL, "temporary-auth-failure").is_some() => {
                    Step::Not(Outcome::Rejected, Vec::new())
                }
                "challenge" | "success" | "failure" => Step::Up,
                _ => Step::Nonsense(format!("<{}/>", e.name)),
            },
            _ => Step::Nonsense(format!("<{}/>", e.name)),
        }
    }
}

/// What a stream error says of an attempt.
fn turned_away(e: &Element) -> Step {
    let condition = e.children.first().map_or("", |c| c.name.as_str());
    match condition {
        "resource-constraint" | "system-shutdown" | "see-other-host" => {
            Step::Not(Outcome::Rejected, Vec::new())
        }
        _ => Step::Not(Outcome::Error, Vec::new()),
    }
}

fn fresh(terms: &Terms) -> Framer {
    // Features are a list of anything; a server is trusted with as much as a stanza may have.
    Framer::new(
        Bounds {
            header: terms.bounds.header,
            ..terms.bounds
        },
        true,
    )
}

impl Exchange for Attempt {
    fn step(&mut self, inbox: &mut Buffer, _left: Micros) -> Step {
        match (self.at, self.terms.security) {
            (At::Start, Security::Direct) => {
                self.at = At::Secured;
                return Step::Secure(self.domain.clone());
            }
            (At::Start, _) => return self.hello(At::Clear),
            (At::Secured, _) => return self.hello(At::Features),
            _ => {}
        }
        loop {
            let (n, unit) = match self.framer.feed(&inbox.rest()[self.answer..]) {
                Ok(read) => read,
                Err(condition) => return Step::Nonsense(condition.name().into()),
            };
            if self.at == At::Answer {
                self.answer += n;
            } else {
                inbox.consume(n);
            }
            let step = match unit {
                None => return Step::Read,
                Some(Unit::Space | Unit::Header(_)) => {
                    if self.at == At::Answer {
                        // White space before the answer is for nobody.
                        inbox.consume(std::mem::take(&mut self.answer));
                    }
                    continue;
                }
                Some(Unit::End) => return Step::Not(Outcome::Reset, Vec::new()),
                Some(Unit::Element(e)) => {
                    let step = self.hear(&e);
                    self.answered = e;
                    step
                }
            };
            if matches!(step, Step::Secure(_)) && !inbox.rest().is_empty() {
                return Step::Nonsense("clear text behind <proceed/>".into());
            }
            return step;
        }
    }

    fn passage(self: Box<Self>) -> Box<dyn Passage> {
        Box::new(Stanzas::new(
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

    fn attempt(security: Security) -> Attempt {
        let terms = Arc::new(Terms {
            security,
            ..Terms::default()
        });
        Attempt::new(
            terms,
            "a.example",
            &Jid::parse("ali@a.example").unwrap(),
            b"<auth>x</auth>".to_vec(),
        )
    }

    /// What an attempt says when its server says these, each in pieces of that many bytes.
    fn talk(security: Security, inputs: &[&str], step: usize) -> Vec<Step> {
        let (mut attempt, mut inbox, mut steps) =
            (attempt(security), Buffer::default(), Vec::new());
        let mut go_on = |inbox: &mut Buffer| loop {
            match attempt.step(inbox, 1_000) {
                Step::Read => return false,
                done @ (Step::Up | Step::Not(..) | Step::Nonsense(_)) => {
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
            let [Step::Say(hello), Step::Ask(auth), Step::Up] = &steps[..] else {
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
        let [Step::Say(clear), Step::Say(_), Step::Secure(to), Step::Say(_), Step::Ask(_), Step::Up] =
            &steps[..]
        else {
            panic!("{steps:?}")
        };
        assert!(to == "a.example" && !String::from_utf8(clear.clone()).unwrap().contains("from="));
        let steps = talk(Security::Direct, &[&head, OFFER, &challenge], 4096);
        assert!(
            matches!(
                &steps[..],
                [Step::Secure(_), Step::Say(_), Step::Ask(_), Step::Up]
            ),
            "{steps:?}"
        );
    }

    #[test]
    fn only_a_server_s_own_refusal_counts_as_never_run() {
        let head = header(&[]);
        let error = |c: &str| super::super::stream_error("stream:stream", c, "", "");
        let (full, later, wrong) = (
            Step::Not(Outcome::Rejected, Vec::new()),
            sasl("failure|<temporary-auth-failure/></failure>"),
            sasl("failure|<not-authorized/></failure>"),
        );
        let cases: Vec<(Vec<String>, Step)> = vec![
            (vec![head.clone() + &error("resource-constraint")], full),
            (
                vec![head.clone() + OFFER, error("system-shutdown")],
                Step::Not(Outcome::Rejected, Vec::new()),
            ),
            (
                vec![head.clone() + OFFER, error("internal-server-error")],
                Step::Not(Outcome::Error, Vec::new()),
            ),
            (
                vec![head.clone() + OFFER, later],
                Step::Not(Outcome::Rejected, Vec::new()),
            ),
            (vec![head.clone() + OFFER, wrong], Step::Up),
            (
                vec![head.clone() + OFFER, "</stream:stream>".into()],
                Step::Not(Outcome::Reset, Vec::new()),
            ),
            (
                vec![head.clone() + TLS],
                Step::Nonsense("a server that offers no SASL".into()),
            ),
            (
                vec![head.clone() + "<!-- -->"],
                Step::Nonsense("restricted-xml".into()),
            ),
            (
                vec![head + OFFER, "<message xmlns='jabber:client'/>".into()],
                Step::Nonsense("<message/>".into()),
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
        assert!(matches!(steps.last(), Some(Step::Nonsense(_))), "{steps:?}");
    }
}
