//! The line protocol: lines of text, one request per connection, and `MOVE` between two lines to
//! migrate.

pub mod load_samples;
pub mod messages;

use crate::decisions::api::{Micros, Outcome, Request};
use crate::protocol::buffer::{trim_line_end, Buffer, TooLong, MAX_LINE};
use crate::protocol::{
    AttemptAction, AttemptProtocol, BackendEvent, ClientRequest, CloseReason, FinalAnswer,
    Forwardable, Forwarder, FrontSettings, Interruption, ProtocolViolation, ReaderAction,
    RequestReader,
};
use messages::{parse_backend_line, parse_first_line, BackendLine, FirstLine, OpenRequest};
use std::sync::Arc;

/// The longest wait for a client's request, and for the end of a line that has begun. Less than the
/// three seconds within which a client must have an answer, so that the answer also arrives.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// The longest wait for the next line of a client that has sent a `PING`.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// A backend that leaves a client's line unanswered for longer is lost: an overloaded backend may
/// take about 3 s.
const RESPONSE_TIMEOUT: Micros = 5_000_000;
/// A backend that has sent no response for longer is lost, too, once a line has been unanswered for
/// [`SILENCE_MIN_UNANSWERED`]. Clients give up on a connection after 7 s without a response, and
/// they send a line every 2 s: if a backend stops right after a response, the next line follows
/// only 2 s later, and `RESPONSE_TIMEOUT` alone closed the connection at 7.2 s. This is 7 s less
/// two of the periodic checks of established connections and the transit time of the final message.
const SILENCE_TIMEOUT: Micros = 6_400_000;
/// How long a line must have been unanswered before [`SILENCE_TIMEOUT`] applies: the backend may
/// have been silent only because the client was.
const SILENCE_MIN_UNANSWERED: Micros = 4_000_000;
/// The error, and the reason in the log, of a client that sends more before it has its answer. Such
/// data does not come from a proper client, and no backend expects it.
const SENT_ON: &str = "sent-on";
/// The final message to a client that is asked to reconnect.
const MOVE: &[u8] = b"MOVE\r\n";

fn encode_line(text: &str) -> Vec<u8> {
    format!("{text}\r\n").into_bytes()
}

/// Reads a client's lines up to its request.
pub struct LineRequestReader {
    deadline: Micros,
    /// Whether part of a line has been received.
    line_started: bool,
}

impl LineRequestReader {
    /// A reader for a client that has connected at `now`.
    pub fn new(now: Micros) -> LineRequestReader {
        LineRequestReader {
            deadline: now + REQUEST_TIMEOUT,
            line_started: false,
        }
    }
}

impl RequestReader for LineRequestReader {
    fn next_action(
        &mut self,
        inbox: &mut Buffer,
        now: Micros,
        settings: &Arc<FrontSettings>,
    ) -> ReaderAction {
        let error = match inbox.take_line() {
            Ok(Some(range)) => {
                match parse_first_line(trim_line_end(inbox.slice(range)), &settings.classes) {
                    Ok(FirstLine::Open(_)) if !inbox.unread().is_empty() => SENT_ON,
                    Ok(FirstLine::Open(open)) => {
                        return ReaderAction::Request(Box::new(LineRequest {
                            open,
                            settings: settings.clone(),
                        }))
                    }
                    Ok(FirstLine::Ping) => {
                        (self.deadline, self.line_started) = (now + IDLE_TIMEOUT, false);
                        return ReaderAction::Send(encode_line("PONG"));
                    }
                    Err(error) => error,
                }
            }
            Ok(None) => {
                // A line that begins later has the same time as the first one.
                if !self.line_started && !inbox.unread().is_empty() {
                    (self.deadline, self.line_started) =
                        (self.deadline.min(now + REQUEST_TIMEOUT), true);
                }
                return ReaderAction::Read;
            }
            Err(TooLong) => "line-too-long",
        };
        ReaderAction::Close(encode_line(&format!("ERR {error}")), error)
    }

    fn deadline(&self) -> Micros {
        self.deadline
    }

    fn interrupt(&mut self, inbox: &Buffer, why: Interruption) -> (Vec<u8>, &'static str) {
        match (inbox.unread().is_empty(), why) {
            (_, Interruption::Dismissed) => (encode_line("BUSY"), ""),
            // Health checks of the front connect and disconnect without a request: not logged.
            (true, _) => (Vec::new(), ""),
            (false, Interruption::TimedOut) => (encode_line("ERR half-a-line"), "half-a-line"),
            (false, Interruption::Disconnected) => (Vec::new(), "half-a-line"),
        }
    }
}

/// A complete request.
struct LineRequest {
    open: OpenRequest,
    settings: Arc<FrontSettings>,
}

impl ClientRequest for LineRequest {
    fn front(&self) -> &'static str {
        "line"
    }

    fn connection_id(&self) -> &str {
        &self.open.connection_id
    }

    fn request(&self) -> &Request {
        &self.open.request
    }

    fn adopted_backend(&self) -> Option<&str> {
        self.open.adopted_backend.as_deref()
    }

    fn start_attempt(&self) -> Box<dyn AttemptProtocol> {
        Box::new(LineAttempt {
            open: self.open.clone(),
            settings: self.settings.clone(),
            request_sent: false,
        })
    }

    fn encode_answer(&self, answer: FinalAnswer) -> Vec<u8> {
        match answer {
            FinalAnswer::Rejected(0) => encode_line("BUSY"),
            FinalAnswer::Rejected(wait) => encode_line(&format!("BUSY {}", wait.div_ceil(1000))),
            FinalAnswer::Failed(_) => encode_line("FAILED"),
            FinalAnswer::IdInUse => encode_line("ERR id-in-use"),
            FinalAnswer::EarlyInput => encode_line(&format!("ERR {SENT_ON}")),
        }
    }

    fn early_input_reason(&self) -> &'static str {
        SENT_ON
    }
}

/// One attempt: sends the request line and reads the backend's reply to it.
struct LineAttempt {
    open: OpenRequest,
    settings: Arc<FrontSettings>,
    request_sent: bool,
}

impl AttemptProtocol for LineAttempt {
    fn next_action(&mut self, inbox: &mut Buffer, left: Micros) -> AttemptAction {
        if !std::mem::replace(&mut self.request_sent, true) {
            // A connection that was open before this process started keeps the deadline in its
            // line: it may take longer than the client's deadline at that time.
            let time_left = self.open.adopted_backend.is_none().then_some(left);
            return AttemptAction::SendRequest(self.open.for_backend(time_left).into_bytes());
        }
        let Ok(reply) = inbox.peek_line() else {
            return AttemptAction::Failed(Outcome::Error, Vec::new());
        };
        let Some(reply) = reply else {
            return AttemptAction::Read;
        };
        match parse_backend_line(trim_line_end(reply), &self.settings.names) {
            BackendLine::Up => AttemptAction::Established,
            BackendLine::Busy(report) => AttemptAction::Failed(Outcome::Rejected, report),
            BackendLine::Err(report) => AttemptAction::Failed(Outcome::Error, report),
            BackendLine::Move => AttemptAction::Failed(Outcome::Cancelled, Vec::new()),
            other => AttemptAction::UnexpectedReply(format!("{other:?}")),
        }
    }

    fn into_forwarder(self: Box<Self>) -> Box<dyn Forwarder> {
        Box::new(LineForwarder)
    }
}

/// An established connection: forwards complete lines in both directions.
pub struct LineForwarder;

/// The length of the complete lines at the front, line ends included. Lines before one that is too
/// long count; it is an error only as the first.
fn complete_lines_len(bytes: &[u8]) -> Result<usize, TooLong> {
    let mut len = 0;
    loop {
        match bytes[len..].iter().position(|&b| b == b'\n') {
            Some(at) if at < MAX_LINE => len += at + 1,
            None if bytes.len() - len < MAX_LINE => return Ok(len),
            _ if len > 0 => return Ok(len),
            _ => return Err(TooLong),
        }
    }
}

impl Forwarder for LineForwarder {
    fn on_client_data(&mut self, data: &[u8]) -> Result<Forwardable, ProtocolViolation> {
        match complete_lines_len(data) {
            Ok(bytes) => Ok(Forwardable {
                bytes,
                expects_response: bytes > 0,
            }),
            // Later reads may begin in the middle of this line, so nothing more may reach the
            // backend.
            Err(TooLong) => Err(ProtocolViolation {
                description: "a line is longer than allowed",
                reason: "moved",
                closing_message: MOVE.to_vec(),
            }),
        }
    }

    fn on_backend_data(
        &mut self,
        data: &[u8],
        settings: &FrontSettings,
        events: &mut Vec<BackendEvent>,
    ) -> Result<usize, ProtocolViolation> {
        let Ok(len) = complete_lines_len(data) else {
            let description = "the backend's line is longer than allowed";
            return Err(ProtocolViolation {
                description,
                reason: "line-too-long",
                closing_message: MOVE.to_vec(),
            });
        };
        let mut has_response = false;
        for line in data[..len].split_inclusive(|&b| b == b'\n') {
            let message = parse_backend_line(trim_line_end(line), &settings.names);
            // A load sample is no response: a backend whose connections hang may still send them.
            has_response |= !matches!(message, BackendLine::Load(_));
            match message {
                BackendLine::Load(value) => events.push(BackendEvent::LoadSample(value)),
                BackendLine::Bye(report) => events.push(BackendEvent::EndAnnounced(
                    Outcome::Success,
                    report,
                    "served",
                )),
                BackendLine::Move => events.push(BackendEvent::EndAnnounced(
                    Outcome::Cancelled,
                    Vec::new(),
                    "sent-away",
                )),
                _ => {}
            }
        }
        events.extend(has_response.then_some(BackendEvent::Response));
        Ok(len)
    }

    fn closing_message(&self, _why: CloseReason) -> Vec<u8> {
        MOVE.to_vec()
    }

    fn is_backend_lost(&self, unanswered: Micros, since_response: Micros) -> bool {
        unanswered > RESPONSE_TIMEOUT
            || (unanswered > SILENCE_MIN_UNANSWERED && since_response > SILENCE_TIMEOUT)
    }

    fn reports_responses(&self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn complete_lines_are_forwarded_and_a_line_that_is_too_long_is_not() {
        let text = [b"sound\r\n".to_vec(), vec![b'x'; MAX_LINE]].concat();
        let mut forwarder = LineForwarder;
        assert_eq!(
            forwarder.on_client_data(&text),
            Ok(Forwardable {
                bytes: 7,
                expects_response: true
            })
        );
        assert_eq!(
            forwarder
                .on_client_data(&text[7..])
                .unwrap_err()
                .closing_message,
            MOVE
        );
        assert_eq!(
            forwarder.on_client_data(b"half"),
            Ok(Forwardable::default())
        );
    }

    /// Guards against a loss that is noticed too late: the connection of a backend that stopped
    /// right after a response was closed 7.2 s later, after its client had given up at 7 s.
    #[test]
    fn a_backend_that_stops_is_lost_before_its_client_gives_up_and_a_slow_one_is_not() {
        let ms = |x: u64| x * 1_000;
        // (time since the oldest unanswered line, time since the last response, whether the backend
        // is lost)
        let cases = [
            (ms(0), ms(60_000), false),
            // A line every 2 s, the first of them 2 s after the last response.
            (ms(4_300), ms(6_300), false),
            (ms(4_500), ms(6_500), true),
            (ms(4_800), ms(4_900), false),
            (ms(5_100), ms(5_100), true),
            // A client that was silent, and an overloaded backend.
            (ms(3_000), ms(40_000), false),
            (ms(4_100), ms(40_000), true),
        ];
        for (unanswered, since_response, lost) in cases {
            assert_eq!(
                LineForwarder.is_backend_lost(unanswered, since_response),
                lost,
                "{unanswered} {since_response}"
            );
        }
    }

    /// Guards against load samples that count as responses: a connection that hung was kept for as
    /// long as samples came.
    #[test]
    fn a_load_sample_is_no_response() {
        let events = |text: &str| {
            let mut events = Vec::new();
            LineForwarder
                .on_backend_data(text.as_bytes(), &FrontSettings::default(), &mut events)
                .unwrap();
            events
        };
        assert_eq!(events("LOAD 2.5\r\n"), [BackendEvent::LoadSample(2.5)]);
        assert_eq!(
            events("LOAD 2.5\r\nany line\r\n"),
            [BackendEvent::LoadSample(2.5), BackendEvent::Response]
        );
        assert_eq!(events("half a li"), []);
    }

    /// Guards against a partial line that is waited for as long as an idle client after its `PING`.
    #[test]
    fn a_line_that_has_begun_must_end_soon() {
        let settings = Arc::new(FrontSettings::default());
        let mut reader = LineRequestReader::new(0);
        let mut inbox = Buffer::from_bytes(b"PING\r\nOPE".to_vec());
        assert!(
            matches!(reader.next_action(&mut inbox, 5, &settings), ReaderAction::Send(pong) if pong == b"PONG\r\n")
        );
        assert_eq!(reader.deadline(), 5 + IDLE_TIMEOUT);
        assert!(matches!(
            reader.next_action(&mut inbox, 6, &settings),
            ReaderAction::Read
        ));
        assert_eq!(reader.deadline(), 6 + REQUEST_TIMEOUT);
        assert_eq!(
            reader.interrupt(&inbox, Interruption::TimedOut).0,
            b"ERR half-a-line\r\n"
        );
        assert_eq!(
            reader.interrupt(&Buffer::default(), Interruption::TimedOut),
            (Vec::new(), "")
        );
    }
}
