//! A session that its server has accepted: forwards the rest of the SASL exchange, then all bytes
//! unchanged, in whole stanzas only.
//!
//! Guards against: part of a stanza at a client or a server; a session with two final answers, or
//! none; a stanza that the client believes lost although the server has it. Before a session
//! migrates, the server gets a request for acknowledgement (`<r/>`, XEP-0198) and then the closing
//! stream tag. It finishes its output and closes its stream, so that nothing in flight to the
//! client is lost, and a client with stream management knows which of its stanzas have arrived.

use super::client_negotiation::{MAX_NEGOTIATION_ELEMENT, MAX_NEGOTIATION_PARTS};
use super::frame::{Bounds, Condition, Element, Framer, Unit, NS_SASL, NS_SM, NS_STREAMS};
use super::server_negotiation::session_outcome;
use super::settings::XmppSettings;
use super::{stream_error, stream_error_with, stream_header, NS_RELAY, STREAM_TAG};
use crate::decisions::api::{Micros, Outcome};
use crate::protocol::{
    BackendEvent, CloseReason, Forwardable, Forwarder, FrontSettings, MigrationReadiness,
    ProtocolViolation,
};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The SASL exchange: the client has no final answer yet.
    Sasl,
    /// SASL has succeeded; both sides restart the stream (RFC 6120, 6.4.6).
    Open,
    /// The relay has closed its stream to the server, and the server finishes its output.
    ServerFinishing,
    /// Nothing more is forwarded.
    Closed,
}

/// Forwards stanzas between a client and its server.
pub struct StanzaForwarder {
    settings: Arc<XmppSettings>,
    state: State,
    client_framer: Framer,
    server_framer: Framer,
    /// How many bytes after those allowed to be forwarded the framers have read already.
    client_framed: usize,
    server_framed: usize,
    /// The server's first reply to `<auth/>`, which the attempt has read: its length and the
    /// element.
    sasl_reply: Option<(usize, Element)>,
    /// Whether a unit from the server was withheld: nothing after it is forwarded.
    withheld: bool,
    /// The qualified names of both streams' tags; `None` until the header of the restarted stream
    /// is forwarded.
    client_tag: Option<String>,
    server_tag: Option<String>,
    /// Whether stream management is enabled (XEP-0198).
    acks_enabled: bool,
}

impl StanzaForwarder {
    /// Continues an attempt with its framer of the server's stream and the server's first reply to
    /// `<auth/>`. The bytes of the reply are the first that [`Forwarder::on_backend_data`] gets.
    pub fn new(
        settings: Arc<XmppSettings>,
        server_framer: Framer,
        reply_len: usize,
        reply: Element,
    ) -> StanzaForwarder {
        // The client's stream is already open: the framer gets a header of the same form, then the
        // elements.
        let mut client_framer = Framer::new(
            Bounds {
                stanza: MAX_NEGOTIATION_ELEMENT,
                kept_parts: MAX_NEGOTIATION_PARTS,
                ..settings.bounds
            },
            true,
        );
        let _ = client_framer.feed(stream_header(&[]).as_bytes());
        StanzaForwarder {
            settings,
            state: State::Sasl,
            client_framer,
            server_framer,
            client_framed: 0,
            server_framed: 0,
            sasl_reply: Some((reply_len, reply)),
            withheld: false,
            client_tag: None,
            server_tag: None,
            acks_enabled: false,
        }
    }

    fn violation(&self, condition: Condition, description: &'static str) -> ProtocolViolation {
        let message = self.within_stream(|tag| stream_error(tag, condition));
        ProtocolViolation {
            description,
            reason: condition.reason(),
            closing_message: message.into_bytes(),
        }
    }

    /// A message within the client's stream. Between `<success/>` and the server's header no stream
    /// is open, so the message needs a header of its own.
    fn within_stream(&self, message: impl Fn(&str) -> String) -> String {
        match (&self.server_tag, self.state) {
            (Some(tag), _) => message(tag),
            (None, State::Sasl) => message(STREAM_TAG),
            (None, _) => stream_header(&[]) + &message(STREAM_TAG),
        }
    }

    /// Handles an element from the server during SASL; returns whether it may be forwarded.
    fn on_sasl_element(
        &mut self,
        e: &Element,
        raw: &[u8],
        events: &mut Vec<BackendEvent>,
    ) -> Result<bool, ProtocolViolation> {
        // A namespace prefix declared in the server's stream header is not declared in the client's
        // stream.
        let unprefixed = raw
            .trim_ascii_start()
            .strip_prefix(b"<")
            .is_some_and(|r| r.starts_with(e.name.as_bytes()));
        if e.ns != NS_SASL || !unprefixed {
            // The session ends: the client gets a stream error that is valid in its own stream.
            return Err(self.violation(
                Condition::RemoteConnectionFailed,
                "the server has ended the negotiation",
            ));
        }
        match e.name.as_str() {
            "challenge" => Ok(true),
            "success" => {
                self.state = State::Open;
                (self.client_framer, self.server_framer) = (
                    Framer::new(self.settings.bounds, false),
                    Framer::new(self.settings.bounds, false),
                );
                events.push(BackendEvent::Answered(true));
                Ok(true)
            }
            "failure" => {
                self.state = State::Closed;
                events.push(BackendEvent::Answered(false));
                events.push(BackendEvent::CloseAfterForwarding(
                    format!("</{STREAM_TAG}>").into_bytes(),
                    Outcome::Success,
                    "sasl-failure",
                ));
                Ok(true)
            }
            _ => Err(self.violation(
                Condition::RemoteConnectionFailed,
                "unexpected SASL element from the server",
            )),
        }
    }

    /// Handles a unit from the server; returns whether it may be forwarded.
    fn on_server_unit(
        &mut self,
        unit: Unit,
        raw: &[u8],
        events: &mut Vec<BackendEvent>,
    ) -> Result<bool, ProtocolViolation> {
        match unit {
            Unit::Whitespace => Ok(true),
            Unit::Element(e) if self.state == State::Sasl => self.on_sasl_element(&e, raw, events),
            Unit::Header(header) => {
                self.server_tag = Some(header.tag);
                Ok(true)
            }
            Unit::Element(e) if e.is(NS_STREAMS, "error") => {
                let (outcome, reason) = match e.children.first() {
                    Some(c) => session_outcome(&c.name),
                    None => (Outcome::Cancelled, "sent-away"),
                };
                events.push(BackendEvent::EndAnnounced(outcome, Vec::new(), reason));
                Ok(self.state != State::ServerFinishing)
            }
            Unit::Element(e) => {
                self.acks_enabled |= e.is(NS_SM, "enabled") || e.is(NS_SM, "resumed");
                Ok(true)
            }
            // The client has no answer yet, and the server's tag may not close the client's stream.
            Unit::End if self.state == State::Sasl => Err(self.violation(
                Condition::RemoteConnectionFailed,
                "the server has ended its stream during the negotiation",
            )),
            Unit::End => {
                if self.state == State::ServerFinishing {
                    // Withheld: the client gets a stream error first.
                    events.push(BackendEvent::Finished);
                    self.state = State::Closed;
                    return Ok(false);
                }
                self.state = State::Closed;
                events.push(BackendEvent::EndAnnounced(
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
    fn on_client_data(&mut self, data: &[u8]) -> Result<Forwardable, ProtocolViolation> {
        let mut allowed = Forwardable::default();
        // After the stream to the server is closed, input is not forwarded: a client with stream
        // management learns that these stanzas have not arrived.
        if matches!(self.state, State::ServerFinishing | State::Closed) {
            return Ok(allowed);
        }
        loop {
            let unread = &data[allowed.bytes + self.client_framed..];
            let (n, unit) = match self.client_framer.feed(unread) {
                Ok(read) => read,
                Err(_) if allowed.bytes > 0 => return Ok(allowed),
                Err(condition) => {
                    return Err(self.violation(condition, "the client's XML is refused"))
                }
            };
            self.client_framed += n;
            let Some(unit) = unit else { return Ok(allowed) };
            match &unit {
                Unit::Element(e) if self.state == State::Sasl => {
                    let known = e.ns == NS_SASL && matches!(e.name.as_str(), "response" | "abort");
                    if !known {
                        return Err(self.violation(
                            Condition::PolicyViolation,
                            "a stanza before authentication",
                        ));
                    }
                    allowed.expects_response = true;
                }
                // The server answers a request for acknowledgement at once (XEP-0198).
                Unit::Element(e) => allowed.expects_response |= e.is(NS_SM, "r"),
                Unit::Header(header) => {
                    self.client_tag = Some(header.tag.clone());
                    allowed.expects_response = true;
                }
                Unit::Whitespace | Unit::End => {}
            }
            allowed.bytes += std::mem::take(&mut self.client_framed);
        }
    }

    fn on_backend_data(
        &mut self,
        data: &[u8],
        _settings: &FrontSettings,
        events: &mut Vec<BackendEvent>,
    ) -> Result<usize, ProtocolViolation> {
        let mut allowed = 0;
        if self
            .sasl_reply
            .as_ref()
            .is_some_and(|(len, _)| *len > data.len())
        {
            return Ok(0);
        }
        if let Some((len, reply)) = self.sasl_reply.take() {
            self.on_server_unit(Unit::Element(reply), &data[..len], events)?;
            allowed = len;
        }
        while self.state != State::Closed {
            let (n, unit) = match self
                .server_framer
                .feed(&data[allowed + self.server_framed..])
            {
                Ok(read) => read,
                Err(_) if allowed > 0 => return Ok(allowed),
                Err(_) => {
                    return Err(self.violation(
                        Condition::RemoteConnectionFailed,
                        "the server's XML is refused",
                    ))
                }
            };
            self.server_framed += n;
            let Some(unit) = unit else { break };
            self.withheld |=
                !self.on_server_unit(unit, &data[allowed..allowed + self.server_framed], events)?;
            if !self.withheld {
                allowed += std::mem::take(&mut self.server_framed);
            }
        }
        Ok(allowed)
    }

    fn closing_message(&self, why: CloseReason) -> Vec<u8> {
        let condition = match why {
            CloseReason::Migrated => Condition::SystemShutdown,
            CloseReason::BackendLost => Condition::RemoteConnectionFailed,
            CloseReason::AnswerTimeout => Condition::ConnectionTimeout,
            CloseReason::OutOfMemory => Condition::ResourceConstraint,
        };
        let host = self
            .settings
            .see_other_host
            .as_deref()
            .filter(|_| why == CloseReason::Migrated);
        let text = self.within_stream(|tag| match host {
            Some(host) => stream_error_with(tag, "see-other-host", host, ""),
            None => stream_error_with(
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

    fn is_backend_lost(&self, unanswered: Micros, _since_response: Micros) -> bool {
        unanswered > self.settings.response_timeout
    }

    fn prepare_migration(&mut self) -> MigrationReadiness {
        match (self.state, &self.client_tag) {
            (State::Open, Some(tag)) => {
                self.state = State::ServerFinishing;
                let ack_request = if self.acks_enabled {
                    format!("<r xmlns='{NS_SM}'/>")
                } else {
                    String::new()
                };
                MigrationReadiness::AfterBackendFinishes {
                    message: format!("{ack_request}</{tag}>").into_bytes(),
                    timeout: self.settings.finish_timeout,
                }
            }
            // During SASL, or before the header of the restarted stream: both end soon.
            (State::Sasl | State::Open, _) => {
                MigrationReadiness::Later(self.settings.finish_timeout)
            }
            (State::ServerFinishing | State::Closed, _) => MigrationReadiness::Now,
        }
    }

    fn release_idle_memory(&mut self) {
        self.client_framer.release_idle_memory();
        self.server_framer.release_idle_memory();
    }

    fn has_partial_unit(&self) -> bool {
        !self.server_framer.at_unit_boundary()
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

    /// The forwarder of a session whose server sends this as its first reply.
    fn session_forwarder(answer: &str) -> (Box<dyn Forwarder>, Vec<u8>) {
        let from = Jid::parse("ali@a.example").unwrap();
        let mut attempt = Box::new(ServerNegotiation::new(
            Arc::default(),
            "a.example",
            &from,
            b"<auth/>".to_vec(),
        ));
        let mut inbox =
            Buffer::from_bytes((stream_header(&[("id", "1")]) + OFFER + answer).into_bytes());
        while attempt.next_action(&mut inbox, 1_000) != AttemptAction::Established {}
        (attempt.into_forwarder(), inbox.unread().to_vec())
    }

    /// The part of the server's bytes that is forwarded, given in chunks of `step` bytes; the final
    /// message if they are a violation.
    fn to_client(
        forwarder: &mut dyn Forwarder,
        text: &[u8],
        step: usize,
        events: &mut Vec<BackendEvent>,
    ) -> Result<String, String> {
        let (mut out, mut forwarded) = (Vec::new(), 0);
        for end in (0..text.len()).step_by(step).skip(1).chain([text.len()]) {
            let result =
                forwarder.on_backend_data(&text[forwarded..end], &FrontSettings::default(), events);
            let n = result
                .map_err(|violation| String::from_utf8(violation.closing_message).unwrap())?;
            out.extend_from_slice(&text[forwarded..forwarded + n]);
            forwarded += n;
        }
        Ok(String::from_utf8(out).unwrap())
    }

    /// How many of the client's bytes are forwarded; the final message if they are a violation.
    fn to_server(forwarder: &mut dyn Forwarder, text: &str) -> Result<usize, String> {
        forwarder
            .on_client_data(text.as_bytes())
            .map(|allowed| allowed.bytes)
            .map_err(|violation| String::from_utf8(violation.closing_message).unwrap())
    }

    /// The forwarder of an open session, after both sides have restarted their streams.
    fn open(step: usize) -> Box<dyn Forwarder> {
        let (mut forwarder, answer) = session_forwarder(SUCCESS);
        let mut events = Vec::new();
        assert_eq!(
            to_client(&mut *forwarder, &answer, answer.len(), &mut events).unwrap(),
            SUCCESS
        );
        assert_eq!(events, [BackendEvent::Answered(true)]);
        let head = stream_header(&[])
            .replace("stream:", "s:")
            .replace("xmlns:stream", "xmlns:s");
        assert_eq!(
            to_server(&mut *forwarder, &stream_header(&[])),
            Ok(stream_header(&[]).len())
        );
        assert_eq!(
            to_client(&mut *forwarder, head.as_bytes(), step, &mut events).unwrap(),
            head
        );
        forwarder
    }

    #[test]
    fn a_session_has_one_final_answer_success_or_the_server_s_failure() {
        let (mut forwarder, answer) = session_forwarder(CHALLENGE);
        let mut events = Vec::new();
        assert_eq!(
            to_client(&mut *forwarder, &answer, answer.len(), &mut events).unwrap(),
            CHALLENGE
        );
        assert!(events.is_empty() && !forwarder.established_is_final_answer());
        assert_eq!(
            forwarder.on_client_data(RESPONSE.as_bytes()),
            Ok(Forwardable {
                bytes: RESPONSE.len(),
                expects_response: true
            })
        );
        let failure =
            "<failure xmlns='urn:ietf:params:xml:ns:xmpp-sasl'><not-authorized/></failure>";
        let more = format!("{failure}<message/>");
        assert_eq!(
            to_client(&mut *forwarder, more.as_bytes(), 9, &mut events).unwrap(),
            failure
        );
        assert!(matches!(
            &events[..],
            [
                BackendEvent::Answered(false),
                BackendEvent::CloseAfterForwarding(_, Outcome::Success, "sasl-failure")
            ]
        ));
        // If the server breaks off the SASL exchange, the relay gives the final answer.
        for text in [
            "<message xmlns='jabber:client'/>",
            "<stream:error/>",
            "<!-- -->",
            "</stream:stream>",
        ] {
            let (mut forwarder, answer) = session_forwarder(CHALLENGE);
            let mut events = Vec::new();
            let first = answer.len();
            let all = [answer, text.as_bytes().to_vec()].concat();
            let result = to_client(&mut *forwarder, &all[..first], first, &mut events)
                .and_then(|_| to_client(&mut *forwarder, &all[first..], 4, &mut events));
            assert!(
                result.unwrap_err().contains("<remote-connection-failed "),
                "{text}"
            );
            assert_eq!(events, [], "{text}");
        }
        let (mut forwarder, _) = session_forwarder(CHALLENGE);
        assert!(
            to_server(&mut *forwarder, "<message xmlns='jabber:client'/>")
                .unwrap_err()
                .contains("policy-violation")
        );
    }

    #[test]
    fn only_whole_stanzas_are_forwarded_and_all_their_bytes_are() {
        let text = "<a xmlns='x'/> \n<message><body>é</body></message><r xmlns='urn:xmpp:sm:3'/></s:stream>";
        for step in 1..text.len() {
            let (mut forwarder, mut events) = (open(step), Vec::new());
            assert_eq!(
                to_client(&mut *forwarder, text.as_bytes(), step, &mut events).unwrap(),
                text
            );
            assert_eq!(
                events,
                [BackendEvent::EndAnnounced(
                    Outcome::Success,
                    Vec::new(),
                    "served"
                )]
            );
        }
        for half in 1..text.find("</s:").unwrap() {
            let (mut forwarder, mut events) = (open(7), Vec::new());
            let forwarded =
                to_client(&mut *forwarder, &text.as_bytes()[..half], 5, &mut events).unwrap();
            let whole = ["", "<a xmlns='x'/>", " ", "\n", "</message>", "</r>", "/>"];
            assert!(
                whole.iter().any(|end| forwarded.ends_with(end)),
                "{forwarded}"
            );
            assert!(
                forwarded.is_empty() || !forwarded.ends_with("</message"),
                "{forwarded}"
            );
            assert_eq!(
                forwarder.has_partial_unit(),
                forwarded.len() < half,
                "{forwarded:?} of {half}"
            );
        }
        let mut forwarder = open(9);
        assert_eq!(
            to_server(
                &mut *forwarder,
                "<r xmlns='urn:xmpp:sm:3'/><message xmlns='jabber:cl"
            ),
            Ok(26)
        );
        assert!(to_server(&mut *forwarder, "<message xmlns='jabber:cl'><!-- ").is_err());
    }

    #[test]
    fn a_server_finishes_before_its_session_migrates() {
        let mut forwarder = open(50);
        let mut events = Vec::new();
        let enabled = "<enabled xmlns='urn:xmpp:sm:3'/>";
        assert_eq!(
            to_client(&mut *forwarder, enabled.as_bytes(), 7, &mut events).unwrap(),
            enabled
        );
        let half = "<message><body>x";
        assert_eq!(
            to_client(&mut *forwarder, half.as_bytes(), 50, &mut events).unwrap(),
            ""
        );
        assert!(forwarder.has_partial_unit());
        let MigrationReadiness::AfterBackendFinishes { message, .. } =
            forwarder.prepare_migration()
        else {
            panic!()
        };
        assert_eq!(
            String::from_utf8(message).unwrap(),
            "<r xmlns='urn:xmpp:sm:3'/></stream:stream>"
        );
        assert_eq!(
            to_server(&mut *forwarder, "<message xmlns='jabber:client'/>"),
            Ok(0)
        );
        let whole = format!("{half}</body></message><a xmlns='urn:xmpp:sm:3' h='7'/>");
        let n = forwarder
            .on_backend_data(
                format!("{whole}</s:stream>").as_bytes(),
                &FrontSettings::default(),
                &mut events,
            )
            .unwrap();
        assert_eq!(n, whole.len());
        assert_eq!(events, [BackendEvent::Finished]);
        // The message uses the tag of the stream that the client receives, which is the server's.
        let message = String::from_utf8(forwarder.closing_message(CloseReason::Migrated)).unwrap();
        assert!(
            message.starts_with("<s:error xmlns:s=") && message.ends_with("</s:error></s:stream>"),
            "{message}"
        );
        assert!(message.contains("<system-shutdown "));
    }

    #[test]
    fn a_session_without_a_final_answer_does_not_migrate_at_once() {
        let (mut forwarder, _) = session_forwarder(CHALLENGE);
        assert!(matches!(
            forwarder.prepare_migration(),
            MigrationReadiness::Later(_)
        ));
        let host = Arc::new(XmppSettings {
            see_other_host: Some("b.example:5222".into()),
            ..XmppSettings::default()
        });
        let forwarder = StanzaForwarder::new(
            host,
            Framer::new(Bounds::default(), true),
            0,
            Element::default(),
        );
        assert!(
            String::from_utf8(forwarder.closing_message(CloseReason::Migrated))
                .unwrap()
                .contains(">b.example:5222</see-other-host>")
        );
        assert!(
            !String::from_utf8(forwarder.closing_message(CloseReason::BackendLost))
                .unwrap()
                .contains("see-other-host")
        );
    }

    #[test]
    fn the_server_s_stream_error_gives_the_outcome() {
        for (condition, outcome) in [
            ("system-shutdown", Outcome::Cancelled),
            ("conflict", Outcome::Success),
            ("internal-server-error", Outcome::Error),
        ] {
            let (mut forwarder, mut events) = (open(30), Vec::new());
            let text = format!(
                "<s:error><{condition} xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></s:error>"
            );
            assert_eq!(
                to_client(&mut *forwarder, text.as_bytes(), 11, &mut events).unwrap(),
                text
            );
            assert!(
                matches!(&events[..], [BackendEvent::EndAnnounced(o, ..)] if *o == outcome),
                "{condition}: {events:?}"
            );
        }
    }
}
