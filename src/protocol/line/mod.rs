//! The line protocol: lines of text, one request a connection, `MOVE` between two lines.

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

/// A connection must ask for something within this, and a line that has begun must end. Less than the
/// three seconds that a client is owed, so that the answer also arrives.
const HEARD: Micros = 2_000_000;
/// One that has asked whether the relay is there, and then for nothing, is closed after this.
const IDLE: Micros = 60_000_000;
/// A backend that leaves a client's line unanswered for so long counts as lost: a crowded backend may take about
/// 3 s.
const SILENT: Micros = 5_000_000;
/// Clients give up on a connection that has brought nothing back for 7 s. They send a line every 2 s, so one that
/// stops right after an answer is asked only 2 s later, and `SILENT` alone ended it at 7.2 s. Less than 7 s by two
/// looks at what is up, and the way of the last words.
const UNHEARD: Micros = 6_400_000;
/// So long a line has been unanswered before `UNHEARD` counts: a client may have been quiet for longer than that.
const ASKED_FOR: Micros = 4_000_000;
/// The last words to a client that is asked to come again.
const MOVE: &[u8] = b"MOVE\r\n";

fn line(text: &str) -> Vec<u8> {
    format!("{text}\r\n").into_bytes()
}

/// Hears a client up to its first line that asks for something.
pub struct LineRequestReader {
    until: Micros,
    /// Whether a line has begun.
    half: bool,
}

impl LineRequestReader {
    /// For a client that has come at `now`.
    pub fn new(now: Micros) -> LineRequestReader {
        LineRequestReader {
            until: now + HEARD,
            half: false,
        }
    }
}

impl RequestReader for LineRequestReader {
    fn next_action(
        &mut self,
        inbox: &mut Buffer,
        now: Micros,
        rules: &Arc<FrontSettings>,
    ) -> ReaderAction {
        let refused = match inbox.take_line() {
            Ok(Some(range)) => {
                match parse_first_line(trim_line_end(inbox.slice(range)), &rules.classes) {
                    // A client waits for its answer: what sends on at once is no client's, and no backend
                    // could make sense of it.
                    Ok(FirstLine::Open(_)) if !inbox.unread().is_empty() => "sent-on",
                    Ok(FirstLine::Open(open)) => {
                        return ReaderAction::Request(Box::new(LineRequest {
                            open,
                            rules: rules.clone(),
                        }))
                    }
                    Ok(FirstLine::Ping) => {
                        (self.until, self.half) = (now + IDLE, false);
                        return ReaderAction::Send(line("PONG"));
                    }
                    Err(what) => what,
                }
            }
            Ok(None) => {
                // A line has begun: it has as long as one at the start has.
                if !self.half && !inbox.unread().is_empty() {
                    (self.until, self.half) = (self.until.min(now + HEARD), true);
                }
                return ReaderAction::Read;
            }
            Err(TooLong) => "line-too-long",
        };
        ReaderAction::Close(line(&format!("ERR {refused}")), refused)
    }

    fn deadline(&self) -> Micros {
        self.until
    }

    fn interrupt(&mut self, inbox: &Buffer, why: Interruption) -> (Vec<u8>, &'static str) {
        match (inbox.unread().is_empty(), why) {
            (_, Interruption::Dismissed) => (line("BUSY"), ""),
            // The health checks of the front come and go; they are no connections.
            (true, _) => (Vec::new(), ""),
            (false, Interruption::TimedOut) => (line("ERR half-a-line"), "half-a-line"),
            (false, Interruption::Disconnected) => (Vec::new(), "half-a-line"),
        }
    }
}

/// A request that was read.
struct LineRequest {
    open: OpenRequest,
    rules: Arc<FrontSettings>,
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
            rules: self.rules.clone(),
            asked: false,
        })
    }

    fn encode_answer(&self, answer: FinalAnswer) -> Vec<u8> {
        match answer {
            FinalAnswer::Rejected(0) => line("BUSY"),
            FinalAnswer::Rejected(wait) => line(&format!("BUSY {}", wait.div_ceil(1000))),
            FinalAnswer::Failed(_) => line("FAILED"),
            FinalAnswer::IdInUse => line("ERR id-in-use"),
        }
    }
}

/// One attempt: the first line, and the line that answers it.
struct LineAttempt {
    open: OpenRequest,
    rules: Arc<FrontSettings>,
    asked: bool,
}

impl AttemptProtocol for LineAttempt {
    fn next_action(&mut self, inbox: &mut Buffer, left: Micros) -> AttemptAction {
        if !std::mem::replace(&mut self.asked, true) {
            // One that was open before the start is waited for as long as it takes, not as long as its
            // client said then.
            let left = self.open.adopted_backend.is_none().then_some(left);
            return AttemptAction::SendRequest(self.open.forward(left).into_bytes());
        }
        let Ok(answer) = inbox.peek_line() else {
            return AttemptAction::Failed(Outcome::Error, Vec::new());
        };
        let Some(answer) = answer else {
            return AttemptAction::Read;
        };
        match parse_backend_line(trim_line_end(answer), &self.rules.names) {
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

/// A connection that is up: whole lines, both ways.
pub struct LineForwarder;

/// How many bytes the whole lines at the front have, their ends included. What comes before a line that is
/// too long is sound.
fn whole(bytes: &[u8]) -> Result<usize, TooLong> {
    let mut whole = 0;
    loop {
        match bytes[whole..].iter().position(|&b| b == b'\n') {
            Some(at) if at < MAX_LINE => whole += at + 1,
            None if bytes.len() - whole < MAX_LINE => return Ok(whole),
            _ if whole > 0 => return Ok(whole),
            _ => return Err(TooLong),
        }
    }
}

impl Forwarder for LineForwarder {
    fn on_client_data(&mut self, fresh: &[u8]) -> Result<Forwardable, ProtocolViolation> {
        match whole(fresh) {
            Ok(bytes) => Ok(Forwardable {
                bytes,
                expects_response: bytes > 0,
            }),
            // What follows may begin inside that line: none of it may reach the backend.
            Err(TooLong) => Err(ProtocolViolation {
                description: "a line is longer than allowed",
                reason: "moved",
                closing_message: MOVE.to_vec(),
            }),
        }
    }

    fn on_backend_data(
        &mut self,
        fresh: &[u8],
        rules: &FrontSettings,
        news: &mut Vec<BackendEvent>,
    ) -> Result<usize, ProtocolViolation> {
        let Ok(whole) = whole(fresh) else {
            let description = "the backend's line is longer than allowed";
            return Err(ProtocolViolation {
                description,
                reason: "line-too-long",
                closing_message: MOVE.to_vec(),
            });
        };
        let mut heard = false;
        for line in fresh[..whole].split_inclusive(|&b| b == b'\n') {
            let told = parse_backend_line(trim_line_end(line), &rules.names);
            // A note of the load answers nobody: a stream that has stopped may still bring them.
            heard |= !matches!(told, BackendLine::Load(_));
            match told {
                BackendLine::Load(x) => news.push(BackendEvent::LoadSample(x)),
                BackendLine::Bye(report) => news.push(BackendEvent::EndAnnounced(
                    Outcome::Success,
                    report,
                    "served",
                )),
                BackendLine::Move => news.push(BackendEvent::EndAnnounced(
                    Outcome::Cancelled,
                    Vec::new(),
                    "sent-away",
                )),
                _ => {}
            }
        }
        news.extend(heard.then_some(BackendEvent::Response));
        Ok(whole)
    }

    fn closing_message(&self, _why: CloseReason) -> Vec<u8> {
        MOVE.to_vec()
    }

    fn is_backend_lost(&self, unanswered: Micros, unheard: Micros) -> bool {
        unanswered > SILENT || (unanswered > ASKED_FOR && unheard > UNHEARD)
    }

    fn reports_responses(&self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sound_lines_go_on_and_one_that_is_too_long_does_not() {
        let text = [b"sound\r\n".to_vec(), vec![b'x'; MAX_LINE]].concat();
        let mut lines = LineForwarder;
        assert_eq!(
            lines.on_client_data(&text),
            Ok(Forwardable {
                bytes: 7,
                expects_response: true
            })
        );
        assert_eq!(
            lines
                .on_client_data(&text[7..])
                .unwrap_err()
                .closing_message,
            MOVE
        );
        assert_eq!(lines.on_client_data(b"half"), Ok(Forwardable::default()));
    }

    /// One that stopped right after an answer was once ended 7.2 s later, when its client had given up on it.
    #[test]
    fn a_backend_that_stops_is_lost_before_its_client_gives_up_and_a_slow_one_is_not() {
        let ms = |x: u64| x * 1_000;
        // (unanswered, unheard, whether it is lost)
        let cases = [
            (ms(0), ms(60_000), false),
            // A line each 2 s, the first of them 2 s after the last answer.
            (ms(4_300), ms(6_300), false),
            (ms(4_500), ms(6_500), true),
            (ms(4_800), ms(4_900), false),
            (ms(5_100), ms(5_100), true),
            // A client that was quiet, and a backend that is crowded.
            (ms(3_000), ms(40_000), false),
            (ms(4_100), ms(40_000), true),
        ];
        for (unanswered, unheard, lost) in cases {
            assert_eq!(
                LineForwarder.is_backend_lost(unanswered, unheard),
                lost,
                "{unanswered} {unheard}"
            );
        }
    }

    /// Notes of the load once passed for answers: a stream that had stopped was kept for as long as they came.
    #[test]
    fn a_note_of_the_load_is_no_answer() {
        let events = |text: &str| {
            let mut news = Vec::new();
            LineForwarder
                .on_backend_data(text.as_bytes(), &FrontSettings::default(), &mut news)
                .unwrap();
            news
        };
        assert_eq!(events("LOAD 2.5\r\n"), [BackendEvent::LoadSample(2.5)]);
        assert_eq!(
            events("LOAD 2.5\r\nany line\r\n"),
            [BackendEvent::LoadSample(2.5), BackendEvent::Response]
        );
        assert_eq!(events("half a li"), []);
    }

    /// A client that asked for a ping and then began a line once had the long wait of an idle one for it.
    #[test]
    fn a_line_that_has_begun_must_end_soon() {
        let rules = Arc::new(FrontSettings::default());
        let mut greeting = LineRequestReader::new(0);
        let mut inbox = Buffer::from_bytes(b"PING\r\nOPE".to_vec());
        assert!(
            matches!(greeting.next_action(&mut inbox, 5, &rules), ReaderAction::Send(pong) if pong == b"PONG\r\n")
        );
        assert_eq!(greeting.deadline(), 5 + IDLE);
        assert!(matches!(
            greeting.next_action(&mut inbox, 6, &rules),
            ReaderAction::Read
        ));
        assert_eq!(greeting.deadline(), 6 + HEARD);
        assert_eq!(
            greeting.interrupt(&inbox, Interruption::TimedOut).0,
            b"ERR half-a-line\r\n"
        );
        assert_eq!(
            greeting.interrupt(&Buffer::default(), Interruption::TimedOut),
            (Vec::new(), "")
        );
    }
}
