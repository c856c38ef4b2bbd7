//! The exchange of an attempt on its connection: TLS, the messages of the protocol, and the request,
//! up to the backend's answer.
//!
//! Guards against a byte of the request that is written once the reasons for the attempt have gone:
//! they are looked at right before each write, with the clock at that moment.

use super::{
    failed, Attempt, AttemptContext, AttemptResult, AttemptState, EstablishedBackend,
    MAX_READS_PER_TURN,
};
use crate::decisions::api::{Micros, Outcome};
use crate::decisions::send_check::SendRefusal;
use crate::log::log;
use crate::protocol::AttemptAction;
use crate::sys::timed_out;
use std::ops::ControlFlow;
use std::sync::atomic::Ordering::Relaxed;

/// What follows a step that does not end the turn.
enum NextStep {
    /// The next step, at once.
    Continue,
    /// The protocol needs more bytes of the backend.
    Read,
}

/// A step of the exchange. It ends the turn with the attempt's result, or none where the socket has to
/// be ready first.
type Step = ControlFlow<Option<AttemptResult>, NextStep>;

const CONTINUE: Step = ControlFlow::Continue(NextStep::Continue);
const WAIT: Step = ControlFlow::Break(None);

fn end(result: Option<AttemptResult>) -> Step {
    ControlFlow::Break(result)
}

impl Attempt {
    /// Exchanges messages as far as is possible without blocking; the result once there is one.
    pub(super) fn exchange(&mut self, context: AttemptContext<'_>) -> Option<AttemptResult> {
        let mut reads = 0;
        loop {
            match self.step(context) {
                ControlFlow::Break(result) => return result,
                ControlFlow::Continue(NextStep::Continue) => continue,
                ControlFlow::Continue(NextStep::Read) if reads == MAX_READS_PER_TURN => {
                    return None
                }
                ControlFlow::Continue(NextStep::Read) => reads += 1,
            }
            match self.link.as_mut()?.read_into(&mut self.inbox) {
                Ok(n) if n > 0 => {}
                Err(e) if timed_out(&e) => return None,
                _ => return self.link_broken(context),
            }
        }
    }

    fn step(&mut self, context: AttemptContext<'_>) -> Step {
        let now = context.shared.decisions.now();
        if now >= self.deadline {
            return end(failed(match (self.request_sent, self.anything_sent) {
                (true, _) => Outcome::Timeout,
                (false, true) => Outcome::ConnectFailed,
                (false, false) => Outcome::NotAttempted,
            }));
        }
        if self.state == AttemptState::TlsHandshake {
            return self.continue_tls_handshake(context);
        }
        if !self.unsent.is_empty() || self.blocked {
            return self.write_unsent(context);
        }
        let Some(protocol) = &mut self.protocol else {
            return WAIT;
        };
        let action = protocol.next_action(&mut self.inbox, self.deadline - now);
        self.carry_out(context, action)
    }

    fn continue_tls_handshake(&mut self, context: AttemptContext<'_>) -> Step {
        let Some(link) = &mut self.link else {
            return WAIT;
        };
        match link.continue_tls_handshake() {
            Ok(true) => {
                self.state = AttemptState::Exchanging;
                CONTINUE
            }
            Ok(false) => WAIT,
            Err(e) => {
                log(&format!("backend {}: no TLS: {e}", self.backend_name()));
                end(self.link_broken(context))
            }
        }
    }

    /// Writes as much of the message in progress as the socket accepts.
    fn write_unsent(&mut self, context: AttemptContext<'_>) -> Step {
        if !self.request_sent {
            if let Err(refusal) = self.check_send(context) {
                return end(self.refuse_to_send(context, refusal));
            }
        }
        let Some(link) = &mut self.link else {
            return WAIT;
        };
        let Ok((written, blocked)) = link.write_available(&self.unsent) else {
            return end(self.link_broken(context));
        };
        self.anything_sent |= written > 0;
        self.unsent.drain(..written);
        self.blocked = blocked;
        if blocked {
            return WAIT;
        }
        if std::mem::take(&mut self.sending_request) {
            context.shared.metrics.attempts.fetch_add(1, Relaxed);
            self.request_sent = true;
            let (id, attempt) = (context.session.connection_id(), self.number);
            tracing::debug!(%id, attempt, "request sent");
        }
        CONTINUE
    }

    fn carry_out(&mut self, context: AttemptContext<'_>, action: AttemptAction) -> Step {
        match action {
            AttemptAction::Read => ControlFlow::Continue(NextStep::Read),
            AttemptAction::Send(bytes) => {
                self.unsent = bytes;
                CONTINUE
            }
            AttemptAction::SendRequest(bytes) => {
                (self.sending_request, self.unsent) = (true, bytes);
                CONTINUE
            }
            AttemptAction::StartTls(domain) => self.start_tls(context, &domain),
            AttemptAction::Established => end(self.established()),
            AttemptAction::Failed(Outcome::Error | Outcome::Reset, _) if !self.request_sent => {
                end(self.link_broken(context))
            }
            AttemptAction::Failed(outcome, report) => end(Some(Err((outcome, report)))),
            AttemptAction::UnexpectedReply(what) => {
                log(&format!(
                    "backend {}: {what} in place of an answer",
                    self.backend_name()
                ));
                end(failed(if self.request_sent {
                    Outcome::Error
                } else {
                    Outcome::ConnectFailed
                }))
            }
        }
    }

    fn start_tls(&mut self, context: AttemptContext<'_>, domain: &str) -> Step {
        if let Err(refusal) = self.check_send(context) {
            return end(self.refuse_to_send(context, refusal));
        }
        let xmpp = context.shared.xmpp();
        let tls = xmpp.and_then(|xmpp| xmpp.tls.client_connection(domain));
        let (Some(tls), Some(link)) = (tls, &mut self.link) else {
            return end(failed(Outcome::NotAttempted));
        };
        link.start_tls(tls);
        self.anything_sent = true;
        self.state = AttemptState::TlsHandshake;
        CONTINUE
    }

    fn established(&mut self) -> Option<AttemptResult> {
        let (link, protocol) = (self.link.take()?, self.protocol.take()?);
        Some(Ok(EstablishedBackend {
            link,
            inbox: std::mem::take(&mut self.inbox),
            forwarder: protocol.into_forwarder(),
        }))
    }

    /// Whether the time in which the request may be sent has ended before its last byte was.
    pub(super) fn window_has_ended(&mut self, context: AttemptContext<'_>, now: Micros) -> bool {
        if self.request_sent || self.state == AttemptState::Over {
            return false;
        }
        let decisions = &context.shared.decisions;
        let decided = decisions.send_deadline(context.id);
        // The decisions know nothing of attempts at the backend of an adopted connection.
        let until = context.session.deduplicated_until();
        self.send_deadline = decided.or_else(|| Some(decisions.time_of(until?)));
        self.send_deadline.is_some_and(|deadline| now >= deadline)
    }

    /// Whether bytes may be written to the backend now. Asked right before each write up to the last
    /// byte of the request: what the decision rested on may have changed during a dial, a
    /// negotiation, or while the socket accepted nothing.
    fn check_send(&self, context: AttemptContext<'_>) -> Result<(), SendRefusal> {
        let AttemptContext {
            shared,
            client_request,
            id,
            ..
        } = context;
        if client_request.adopted_backend().is_some() {
            // Such a connection can go to no other backend, and the decisions did not choose this one.
            let now = shared.decisions.now();
            let ended = self.send_deadline.is_some_and(|deadline| now >= deadline);
            return if ended {
                Err(SendRefusal::WindowEnded)
            } else {
                Ok(())
            };
        }
        if !shared.directory.is_available(self.endpoint_id) {
            return Err(SendRefusal::EndpointUnavailable);
        }
        shared.decisions.check_send(id)
    }

    /// Ends the attempt before its request was sent. The backend has not failed, so the outcome does
    /// not count against it. The retry budget gets its token back, unless the window ended while the
    /// backend worked on the attempt: a slow one would be sent ever more of them.
    pub(super) fn refuse_to_send(
        &self,
        context: AttemptContext<'_>,
        refusal: SendRefusal,
    ) -> Option<AttemptResult> {
        let (id, attempt) = (context.session.connection_id(), self.number);
        let server = self.endpoint_id.0;
        tracing::debug!(%id, server, attempt, ?refusal, "request not sent");
        failed(match refusal {
            SendRefusal::WindowEnded if self.anything_sent => Outcome::NotSent,
            _ => Outcome::NotAttempted,
        })
    }
}
