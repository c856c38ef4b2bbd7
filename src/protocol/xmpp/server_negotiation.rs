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
mod tests;
