//! A session that its server has taken: the rest of SASL, then all bytes as they are, whole stanzas only.
//!
//! Guards against: half a stanza at a client or a server; a session with two final answers, or none; a stanza of
//! a client's that it believes lost while the server has it. Before a session is moved the server is asked for
//! its count (XEP-0198) and then told that the stream ends: it finishes what it sends and ends its own, so that
//! nothing on its way to the client is lost, and a client that counts knows to the stanza what has arrived.

use super::frame::{Bounds, Condition, Element, Framer, Unit, NS_SASL, NS_SM, NS_STREAMS};
use super::server_negotiation::ended_by;
use super::settings::XmppSettings;
use super::{error, header, stream_error, NS_RELAY, TAG};
use crate::decisions::api::{Micros, Outcome};
use crate::protocol::{
    BackendEvent, CloseReason, Forwardable, Forwarder, FrontSettings, MigrationReadiness,
    ProtocolViolation,
};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The server has not said whether the client may come in.
    Sasl,
    /// It may; both open a new stream.
    Open,
    /// The relay has ended the stream to the server, which finishes.
    ServerFinishing,
    /// Nothing more may go on.
    Closed,
}

/// What passes between a client and its server.
pub struct StanzaForwarder {
    terms: Arc<XmppSettings>,
    stage: Stage,
    up: Framer,
    down: Framer,
    /// How many bytes behind those let through the framers have read already.
    up_read: usize,
    down_read: usize,
    /// The server's first answer, which its attempt has read: how many bytes, and what.
    first: Option<(usize, Element)>,
    /// Whether something of the server's was held back: nothing behind it goes on.
    held: bool,
    /// The tags of both streams as they are written; none before their headers have passed.
    up_tag: Option<String>,
    down_tag: Option<String>,
    /// Whether the client counts stanzas (XEP-0198).
    counts: bool,
}

impl StanzaForwarder {
    /// Behind an attempt: its framer of the server's stream, and the server's first answer, whose bytes are the
    /// first that [`Forwarder::down`] is given.
    pub fn new(
        terms: Arc<XmppSettings>,
        down: Framer,
        bytes: usize,
        answer: Element,
    ) -> StanzaForwarder {
        // The client's stream stands; it goes on with elements below a header of the same form.
        let mut up = Framer::new(
            Bounds {
                stanza: 10_000,
                ..terms.bounds
            },
            true,
        );
        let _ = up.feed(header(&[]).as_bytes());
        StanzaForwarder {
            terms,
            stage: Stage::Sasl,
            up,
            down,
            up_read: 0,
            down_read: 0,
            first: Some((bytes, answer)),
            held: false,
            up_tag: None,
            down_tag: None,
            counts: false,
        }
    }

    fn fault(&self, condition: Condition, description: &'static str) -> ProtocolViolation {
        let words = self.with_header(|tag| error(tag, condition));
        ProtocolViolation {
            description,
            reason: condition.reason(),
            closing_message: words.into_bytes(),
        }
    }

    /// Words in the client's stream. Between the success and the server's header none stands: words need one.
    fn with_header(&self, words: impl Fn(&str) -> String) -> String {
        match (&self.down_tag, self.stage) {
            (Some(tag), _) => words(tag),
            (None, Stage::Sasl) => words(TAG),
            (None, _) => header(&[]) + &words(TAG),
        }
    }

    /// The server's word on SASL.
    fn sasl(
        &mut self,
        e: &Element,
        raw: &[u8],
        news: &mut Vec<BackendEvent>,
    ) -> Result<bool, ProtocolViolation> {
        // A prefix of the server's own stream means nothing in the client's.
        let plain = raw
            .trim_ascii_start()
            .strip_prefix(b"<")
            .is_some_and(|r| r.starts_with(e.name.as_bytes()));
        if e.ns != NS_SASL || !plain {
            // It ends here; its condition is told in words that hold in the client's stream.
            return Err(self.fault(
                Condition::RemoteConnectionFailed,
                "the server has ended the negotiation",
            ));
        }
        match e.name.as_str() {
            "challenge" => Ok(true),
            "success" => {
                self.stage = Stage::Open;
                (self.up, self.down) = (
                    Framer::new(self.terms.bounds, false),
                    Framer::new(self.terms.bounds, false),
                );
                news.push(BackendEvent::Answered(true));
                Ok(true)
            }
            "failure" => {
                self.stage = Stage::Closed;
                news.push(BackendEvent::Answered(false));
                news.push(BackendEvent::CloseAfterForwarding(
                    format!("</{TAG}>").into_bytes(),
                    Outcome::Success,
                    "sasl-failure",
                ));
                Ok(true)
            }
            _ => Err(self.fault(
                Condition::RemoteConnectionFailed,
                "the server's negotiation is out of order",
            )),
        }
    }

    /// A unit of the server's; whether it may go on.
    fn hear(
        &mut self,
        unit: Unit,
        raw: &[u8],
        news: &mut Vec<BackendEvent>,
    ) -> Result<bool, ProtocolViolation> {
        match unit {
            Unit::Whitespace => Ok(true),
            Unit::Element(e) if self.stage == Stage::Sasl => self.sasl(&e, raw, news),
            Unit::Header(header) => {
                self.down_tag = Some(header.tag);
                Ok(true)
            }
            Unit::Element(e) if e.is(NS_STREAMS, "error") => {
                let (outcome, reason) = match e.children.first() {
                    Some(c) => ended_by(&c.name),
                    None => (Outcome::Cancelled, "sent-away"),
                };
                news.push(BackendEvent::EndAnnounced(outcome, Vec::new(), reason));
                Ok(self.stage != Stage::ServerFinishing)
            }
            Unit::Element(e) => {
                self.counts |= e.is(NS_SM, "enabled") || e.is(NS_SM, "resumed");
                Ok(true)
            }
            Unit::End => {
                if self.stage == Stage::ServerFinishing {
                    // The client is told the reason first.
                    news.push(BackendEvent::Finished);
                    self.stage = Stage::Closed;
                    return Ok(false);
                }
                self.stage = Stage::Closed;
                news.push(BackendEvent::EndAnnounced(
                    Outcome::Success,
                    Vec::new(),
                    "served",
                ));
                Ok(true)
            }
        }
    }
}

impl Forwarder for StanzaForwarder {
    fn on_client_data(&mut self, fresh: &[u8]) -> Result<Forwardable, ProtocolViolation> {
        let mut passed = Forwardable::default();
        // What is still unread when the stream to the server has ended is not on its way: the client counts.
        if matches!(self.stage, Stage::ServerFinishing | Stage::Closed) {
            return Ok(passed);
        }
        loop {
            let unread = &fresh[passed.bytes + self.up_read..];
            let (n, unit) = match self.up.feed(unread) {
                Ok(read) => read,
                Err(_) if passed.bytes > 0 => return Ok(passed),
                Err(condition) => return Err(self.fault(condition, "the client's XML is refused")),
            };
            self.up_read += n;
            let Some(unit) = unit else { return Ok(passed) };
            match &unit {
                Unit::Element(e) if self.stage == Stage::Sasl => {
                    let known = e.ns == NS_SASL && matches!(e.name.as_str(), "response" | "abort");
                    if !known {
                        return Err(
                            self.fault(Condition::PolicyViolation, "a stanza before its time")
                        );
                    }
                    passed.expects_response = true;
                }
                // A request for acknowledgement is answered by the server itself, at once.
                Unit::Element(e) => passed.expects_response |= e.is(NS_SM, "r"),
                Unit::Header(header) => {
                    self.up_tag = Some(header.tag.clone());
                    passed.expects_response = true;
                }
                Unit::Whitespace | Unit::End => {}
            }
            passed.bytes += std::mem::take(&mut self.up_read);
        }
    }

    fn on_backend_data(
        &mut self,
        fresh: &[u8],
        _rules: &FrontSettings,
        news: &mut Vec<BackendEvent>,
    ) -> Result<usize, ProtocolViolation> {
        let mut passed = 0;
        if self
            .first
            .as_ref()
            .is_some_and(|(bytes, _)| *bytes > fresh.len())
        {
            return Ok(0);
        }
        if let Some((bytes, answer)) = self.first.take() {
            self.hear(Unit::Element(answer), &fresh[..bytes], news)?;
            passed = bytes;
        }
        while self.stage != Stage::Closed {
            let (n, unit) = match self.down.feed(&fresh[passed + self.down_read..]) {
                Ok(read) => read,
                Err(_) if passed > 0 => return Ok(passed),
                Err(_) => {
                    return Err(self.fault(
                        Condition::RemoteConnectionFailed,
                        "the server's XML is refused",
                    ))
                }
            };
            self.down_read += n;
            let Some(unit) = unit else { break };
            self.held |= !self.hear(unit, &fresh[passed..passed + self.down_read], news)?;
            if !self.held {
                passed += std::mem::take(&mut self.down_read);
            }
        }
        Ok(passed)
    }

    fn closing_message(&self, why: CloseReason) -> Vec<u8> {
        let condition = match why {
            CloseReason::Migrated => Condition::SystemShutdown,
            CloseReason::BackendLost => Condition::RemoteConnectionFailed,
            CloseReason::AnswerTimeout => Condition::ConnectionTimeout,
            CloseReason::OutOfMemory => Condition::ResourceConstraint,
        };
        let host = self
            .terms
            .see_other_host
            .as_deref()
            .filter(|_| why == CloseReason::Migrated);
        let text = self.with_header(|tag| match host {
            Some(host) => stream_error(tag, "see-other-host", host, ""),
            None => stream_error(
                tag,
                condition.name(),
                "",
                &format!("<again xmlns='{NS_RELAY}'/>"),
            ),
        });
        text.into_bytes()
    }

    fn established_is_final_answer(&self) -> bool {
        false
    }

    fn supports_takeover(&self) -> bool {
        false
    }

    fn mirrors_end(&self) -> bool {
        false
    }

    fn is_backend_lost(&self, unanswered: Micros, _unheard: Micros) -> bool {
        unanswered > self.terms.ack_timeout
    }

    fn prepare_migration(&mut self) -> MigrationReadiness {
        match (self.stage, &self.up_tag) {
            (Stage::Open, Some(tag)) => {
                self.stage = Stage::ServerFinishing;
                let count = if self.counts {
                    format!("<r xmlns='{NS_SM}'/>")
                } else {
                    String::new()
                };
                MigrationReadiness::AfterBackendFinishes {
                    message: format!("{count}</{tag}>").into_bytes(),
                    timeout: self.terms.finish_timeout,
                }
            }
            // SASL, or the first header: it has its answer soon.
            (Stage::Sasl | Stage::Open, _) => MigrationReadiness::Later(self.terms.finish_timeout),
            (Stage::ServerFinishing | Stage::Closed, _) => MigrationReadiness::Now,
        }
    }

    fn release_idle_memory(&mut self) {
        self.up.release_idle_memory();
        self.down.release_idle_memory();
    }

    fn has_partial_unit(&self) -> bool {
        !self.down.at_unit_boundary()
    }
}

#[cfg(test)]
mod tests {
    use super::super::jid::Jid;
    use super::super::server_negotiation::ServerNegotiation;
    use super::*;
    use crate::protocol::buffer::Buffer;
    use crate::protocol::{AttemptAction, AttemptProtocol};

    const OFFER: &str = "<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>\
        <mechanism>PLAIN</mechanism></mechanisms></stream:features>";
    const SUCCESS: &str = "<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>";
    const CHALLENGE: &str = "<challenge xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>eA==</challenge>";
    const RESPONSE: &str = "<response xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>eA==</response>";

    /// The passage behind a server whose first answer is this.
    fn passage(answer: &str) -> (Box<dyn Forwarder>, Vec<u8>) {
        let from = Jid::parse("ali@a.example").unwrap();
        let mut attempt = Box::new(ServerNegotiation::new(
            Arc::default(),
            "a.example",
            &from,
            b"<auth/>".to_vec(),
        ));
        let mut inbox = Buffer::from_bytes((header(&[("id", "1")]) + OFFER + answer).into_bytes());
        while attempt.next_action(&mut inbox, 1_000) != AttemptAction::Established {}
        (attempt.into_forwarder(), inbox.unread().to_vec())
    }

    /// What goes on of these bytes of the server's, in pieces; the words of a fault where there is one.
    fn down(
        p: &mut dyn Forwarder,
        text: &[u8],
        step: usize,
        news: &mut Vec<BackendEvent>,
    ) -> Result<String, String> {
        let (mut out, mut passed) = (Vec::new(), 0);
        for end in (0..text.len()).step_by(step).skip(1).chain([text.len()]) {
            let result = p.on_backend_data(&text[passed..end], &FrontSettings::default(), news);
            let n = result.map_err(|fault| String::from_utf8(fault.closing_message).unwrap())?;
            out.extend_from_slice(&text[passed..passed + n]);
            passed += n;
        }
        Ok(String::from_utf8(out).unwrap())
    }

    fn up(p: &mut dyn Forwarder, text: &str) -> Result<usize, String> {
        p.on_client_data(text.as_bytes())
            .map(|p| p.bytes)
            .map_err(|fault| String::from_utf8(fault.closing_message).unwrap())
    }

    /// A passage that is open, with streams that both sides have begun.
    fn open(step: usize) -> Box<dyn Forwarder> {
        let (mut p, answer) = passage(SUCCESS);
        let mut news = Vec::new();
        assert_eq!(
            down(&mut *p, &answer, answer.len(), &mut news).unwrap(),
            SUCCESS
        );
        assert_eq!(news, [BackendEvent::Answered(true)]);
        let head = header(&[])
            .replace("stream:", "s:")
            .replace("xmlns:stream", "xmlns:s");
        assert_eq!(up(&mut *p, &header(&[])), Ok(header(&[]).len()));
        assert_eq!(
            down(&mut *p, head.as_bytes(), step, &mut news).unwrap(),
            head
        );
        p
    }

    #[test]
    fn a_session_has_one_answer_the_success_or_the_server_s_own_failure() {
        let (mut p, answer) = passage(CHALLENGE);
        let mut news = Vec::new();
        assert_eq!(
            down(&mut *p, &answer, answer.len(), &mut news).unwrap(),
            CHALLENGE
        );
        assert!(news.is_empty() && !p.established_is_final_answer());
        assert_eq!(
            p.on_client_data(RESPONSE.as_bytes()),
            Ok(Forwardable {
                bytes: RESPONSE.len(),
                expects_response: true
            })
        );
        let failure =
            "<failure xmlns='urn:ietf:params:xml:ns:xmpp-sasl'><not-authorized/></failure>";
        let more = format!("{failure}<message/>");
        assert_eq!(
            down(&mut *p, more.as_bytes(), 9, &mut news).unwrap(),
            failure
        );
        assert!(matches!(
            &news[..],
            [
                BackendEvent::Answered(false),
                BackendEvent::CloseAfterForwarding(_, Outcome::Success, "sasl-failure")
            ]
        ));
        // A server that breaks the negotiation off has not answered: the relay does.
        for text in [
            "<message xmlns='jabber:client'/>",
            "<stream:error/>",
            "<!-- -->",
            "</stream:stream>",
        ] {
            let (mut p, answer) = passage(CHALLENGE);
            let mut news = Vec::new();
            let first = answer.len();
            let all = [answer, text.as_bytes().to_vec()].concat();
            let said = down(&mut *p, &all[..first], first, &mut news)
                .and_then(|_| down(&mut *p, &all[first..], 4, &mut news));
            if text.starts_with("</") {
                assert!(
                    matches!(&news[..], [BackendEvent::EndAnnounced(..)]),
                    "{news:?}"
                );
            } else {
                assert!(
                    said.unwrap_err().contains("<remote-connection-failed "),
                    "{text}"
                );
            }
            assert!(!news.iter().any(|n| matches!(n, BackendEvent::Answered(_))));
        }
        let (mut p, _) = passage(CHALLENGE);
        assert!(up(&mut *p, "<message xmlns='jabber:client'/>")
            .unwrap_err()
            .contains("policy-violation"));
    }

    #[test]
    fn only_whole_stanzas_go_on_and_all_of_their_bytes_do() {
        let text = "<a xmlns='x'/> \n<message><body>é</body></message><r xmlns='urn:xmpp:sm:3'/></s:stream>";
        for step in 1..text.len() {
            let (mut p, mut news) = (open(step), Vec::new());
            assert_eq!(
                down(&mut *p, text.as_bytes(), step, &mut news).unwrap(),
                text
            );
            assert_eq!(
                news,
                [BackendEvent::EndAnnounced(
                    Outcome::Success,
                    Vec::new(),
                    "served"
                )]
            );
        }
        for half in 1..text.find("</s:").unwrap() {
            let (mut p, mut news) = (open(7), Vec::new());
            let passed = down(&mut *p, &text.as_bytes()[..half], 5, &mut news).unwrap();
            let whole = ["", "<a xmlns='x'/>", " ", "\n", "</message>", "</r>", "/>"];
            assert!(whole.iter().any(|end| passed.ends_with(end)), "{passed}");
            assert!(
                passed.is_empty() || !passed.ends_with("</message"),
                "{passed}"
            );
            assert_eq!(
                p.has_partial_unit(),
                passed.len() < half,
                "{passed:?} of {half}"
            );
        }
        let mut p = open(9);
        assert_eq!(
            up(
                &mut *p,
                "<r xmlns='urn:xmpp:sm:3'/><message xmlns='jabber:cl"
            ),
            Ok(26)
        );
        assert!(up(&mut *p, "<message xmlns='jabber:cl'><!-- ").is_err());
    }

    #[test]
    fn a_server_finishes_before_its_client_is_moved() {
        let mut p = open(50);
        let mut news = Vec::new();
        let enabled = "<enabled xmlns='urn:xmpp:sm:3'/>";
        assert_eq!(
            down(&mut *p, enabled.as_bytes(), 7, &mut news).unwrap(),
            enabled
        );
        let half = "<message><body>x";
        assert_eq!(down(&mut *p, half.as_bytes(), 50, &mut news).unwrap(), "");
        assert!(p.has_partial_unit());
        let MigrationReadiness::AfterBackendFinishes { message, .. } = p.prepare_migration() else {
            panic!()
        };
        assert_eq!(
            String::from_utf8(message).unwrap(),
            "<r xmlns='urn:xmpp:sm:3'/></stream:stream>"
        );
        assert_eq!(up(&mut *p, "<message xmlns='jabber:client'/>"), Ok(0));
        let whole = format!("{half}</body></message><a xmlns='urn:xmpp:sm:3' h='7'/>");
        let n = p
            .on_backend_data(
                format!("{whole}</s:stream>").as_bytes(),
                &FrontSettings::default(),
                &mut news,
            )
            .unwrap();
        assert_eq!(n, whole.len());
        assert_eq!(news, [BackendEvent::Finished]);
        // In the words of the client's own stream, whose tag is the server's.
        let words = String::from_utf8(p.closing_message(CloseReason::Migrated)).unwrap();
        assert!(
            words.starts_with("<s:error xmlns:s=") && words.ends_with("</s:error></s:stream>"),
            "{words}"
        );
        assert!(words.contains("<system-shutdown "));
    }

    #[test]
    fn a_session_that_has_no_answer_yet_is_not_moved_at_once() {
        let (mut p, _) = passage(CHALLENGE);
        assert!(matches!(
            p.prepare_migration(),
            MigrationReadiness::Later(_)
        ));
        let host = Arc::new(XmppSettings {
            see_other_host: Some("b.example:5222".into()),
            ..XmppSettings::default()
        });
        let p = StanzaForwarder::new(
            host,
            Framer::new(Bounds::default(), true),
            0,
            Element::default(),
        );
        assert!(String::from_utf8(p.closing_message(CloseReason::Migrated))
            .unwrap()
            .contains(">b.example:5222</see-other-host>"));
        assert!(
            !String::from_utf8(p.closing_message(CloseReason::BackendLost))
                .unwrap()
                .contains("see-other-host")
        );
    }

    #[test]
    fn the_server_s_last_words_say_how_it_ended() {
        for (condition, outcome) in [
            ("system-shutdown", Outcome::Cancelled),
            ("conflict", Outcome::Success),
            ("internal-server-error", Outcome::Error),
        ] {
            let (mut p, mut news) = (open(30), Vec::new());
            let text = format!(
                "<s:error><{condition} xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></s:error>"
            );
            assert_eq!(down(&mut *p, text.as_bytes(), 11, &mut news).unwrap(), text);
            assert!(
                matches!(&news[..], [BackendEvent::EndAnnounced(o, ..)] if *o == outcome),
                "{condition}: {news:?}"
            );
        }
    }
}
