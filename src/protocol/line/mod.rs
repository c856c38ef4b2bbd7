//! The line protocol: lines of text, one request a connection, `MOVE` between two lines.

pub mod note;
pub mod words;

use crate::decisions::api::{Micros, Outcome, Request};
use crate::protocol::buffer::{trim, Buffer, TooLong, MAX_LINE};
use crate::protocol::{
    Answer, Away, Exchange, Fault, Greeter, News, Next, Order, Passage, Passed, Rules, Short, Step,
};
use std::sync::Arc;
use words::{opening, told, Open, Opening, Told};

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
pub struct Greeting {
    until: Micros,
    /// Whether a line has begun.
    half: bool,
}

impl Greeting {
    /// For a client that has come at `now`.
    pub fn new(now: Micros) -> Greeting {
        Greeting {
            until: now + HEARD,
            half: false,
        }
    }
}

impl Greeter for Greeting {
    fn next(&mut self, inbox: &mut Buffer, now: Micros, rules: &Arc<Rules>) -> Next {
        let refused = match inbox.line() {
            Ok(Some(range)) => match opening(trim(inbox.at(range)), &rules.classes) {
                // A client waits for its answer: what sends on at once is no client's, and no backend
                // could make sense of it.
                Ok(Opening::Open(_)) if !inbox.rest().is_empty() => "sent-on",
                Ok(Opening::Open(open)) => {
                    return Next::Place(Box::new(Asked {
                        open,
                        rules: rules.clone(),
                    }))
                }
                Ok(Opening::Ping) => {
                    (self.until, self.half) = (now + IDLE, false);
                    return Next::Say(line("PONG"));
                }
                Err(what) => what,
            },
            Ok(None) => {
                // A line has begun: it has as long as one at the start has.
                if !self.half && !inbox.rest().is_empty() {
                    (self.until, self.half) = (self.until.min(now + HEARD), true);
                }
                return Next::Read;
            }
            Err(TooLong) => "line-too-long",
        };
        Next::End(line(&format!("ERR {refused}")), refused)
    }

    fn until(&self) -> Micros {
        self.until
    }

    fn cut_short(&mut self, inbox: &Buffer, why: Short) -> (Vec<u8>, &'static str) {
        match (inbox.rest().is_empty(), why) {
            (_, Short::Dismissed) => (line("BUSY"), ""),
            // The health checks of the front come and go; they are no connections.
            (true, _) => (Vec::new(), ""),
            (false, Short::Late) => (line("ERR half-a-line"), "half-a-line"),
            (false, Short::Ended) => (Vec::new(), "half-a-line"),
        }
    }
}

/// A request that was read.
struct Asked {
    open: Open,
    rules: Arc<Rules>,
}

impl Order for Asked {
    fn front(&self) -> &'static str {
        "line"
    }

    fn name(&self) -> &str {
        &self.open.name
    }

    fn request(&self) -> &Request {
        &self.open.request
    }

    fn at(&self) -> Option<&str> {
        self.open.at.as_deref()
    }

    fn exchange(&self) -> Box<dyn Exchange> {
        Box::new(Attempt {
            open: self.open.clone(),
            rules: self.rules.clone(),
            asked: false,
        })
    }

    fn words(&self, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Refused(0) => line("BUSY"),
            Answer::Refused(wait) => line(&format!("BUSY {}", wait.div_ceil(1000))),
            Answer::Failed(_) => line("FAILED"),
            Answer::IdInUse => line("ERR id-in-use"),
        }
    }
}

/// One attempt: the first line, and the line that answers it.
struct Attempt {
    open: Open,
    rules: Arc<Rules>,
    asked: bool,
}

impl Exchange for Attempt {
    fn step(&mut self, inbox: &mut Buffer, left: Micros) -> Step {
        if !std::mem::replace(&mut self.asked, true) {
            // One that was open before the start is waited for as long as it takes, not as long as its
            // client said then.
            let left = self.open.at.is_none().then_some(left);
            return Step::Ask(self.open.forward(left).into_bytes());
        }
        let Ok(answer) = inbox.peek() else {
            return Step::Not(Outcome::Error, Vec::new());
        };
        let Some(answer) = answer else {
            return Step::Read;
        };
        match told(trim(answer), &self.rules.names) {
            Told::Up => Step::Up,
            Told::Busy(report) => Step::Not(Outcome::Rejected, report),
            Told::Err(report) => Step::Not(Outcome::Error, report),
            Told::Move => Step::Not(Outcome::Cancelled, Vec::new()),
            other => Step::Nonsense(format!("{other:?}")),
        }
    }

    fn passage(self: Box<Self>) -> Box<dyn Passage> {
        Box::new(Lines)
    }
}

/// A connection that is up: whole lines, both ways.
pub struct Lines;

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

impl Passage for Lines {
    fn up(&mut self, fresh: &[u8]) -> Result<Passed, Fault> {
        match whole(fresh) {
            Ok(bytes) => Ok(Passed {
                bytes,
                asks: bytes > 0,
            }),
            // What follows may begin inside that line: none of it may reach the backend.
            Err(TooLong) => Err(Fault {
                what: "a line is longer than allowed",
                reason: "moved",
                words: MOVE.to_vec(),
            }),
        }
    }

    fn down(&mut self, fresh: &[u8], rules: &Rules, news: &mut Vec<News>) -> Result<usize, Fault> {
        let Ok(whole) = whole(fresh) else {
            let what = "the backend's line is longer than allowed";
            return Err(Fault {
                what,
                reason: "line-too-long",
                words: MOVE.to_vec(),
            });
        };
        let mut heard = false;
        for line in fresh[..whole].split_inclusive(|&b| b == b'\n') {
            let told = told(trim(line), &rules.names);
            // A note of the load answers nobody: a stream that has stopped may still bring them.
            heard |= !matches!(told, Told::Load(_));
            match told {
                Told::Load(x) => news.push(News::Load(x)),
                Told::Bye(report) => news.push(News::Farewell(Outcome::Success, report, "served")),
                Told::Move => {
                    news.push(News::Farewell(Outcome::Cancelled, Vec::new(), "sent-away"))
                }
                _ => {}
            }
        }
        news.extend(heard.then_some(News::Heard));
        Ok(whole)
    }

    fn words(&self, _why: Away) -> Vec<u8> {
        MOVE.to_vec()
    }

    fn lost(&self, unanswered: Micros, unheard: Micros) -> bool {
        unanswered > SILENT || (unanswered > ASKED_FOR && unheard > UNHEARD)
    }

    fn marks_answers(&self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sound_lines_go_on_and_one_that_is_too_long_does_not() {
        let text = [b"sound\r\n".to_vec(), vec![b'x'; MAX_LINE]].concat();
        let mut lines = Lines;
        assert_eq!(
            lines.up(&text),
            Ok(Passed {
                bytes: 7,
                asks: true
            })
        );
        assert_eq!(lines.up(&text[7..]).unwrap_err().words, MOVE);
        assert_eq!(lines.up(b"half"), Ok(Passed::default()));
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
                Lines.lost(unanswered, unheard),
                lost,
                "{unanswered} {unheard}"
            );
        }
    }

    /// Notes of the load once passed for answers: a stream that had stopped was kept for as long as they came.
    #[test]
    fn a_note_of_the_load_is_no_answer() {
        let told = |text: &str| {
            let mut news = Vec::new();
            Lines
                .down(text.as_bytes(), &Rules::default(), &mut news)
                .unwrap();
            news
        };
        assert_eq!(told("LOAD 2.5\r\n"), [News::Load(2.5)]);
        assert_eq!(
            told("LOAD 2.5\r\nany line\r\n"),
            [News::Load(2.5), News::Heard]
        );
        assert_eq!(told("half a li"), []);
    }

    /// A client that asked for a ping and then began a line once had the long wait of an idle one for it.
    #[test]
    fn a_line_that_has_begun_must_end_soon() {
        let rules = Arc::new(Rules::default());
        let mut greeting = Greeting::new(0);
        let mut inbox = Buffer::holding(b"PING\r\nOPE".to_vec());
        assert!(
            matches!(greeting.next(&mut inbox, 5, &rules), Next::Say(pong) if pong == b"PONG\r\n")
        );
        assert_eq!(greeting.until(), 5 + IDLE);
        assert!(matches!(greeting.next(&mut inbox, 6, &rules), Next::Read));
        assert_eq!(greeting.until(), 6 + HEARD);
        assert_eq!(
            greeting.cut_short(&inbox, Short::Late).0,
            b"ERR half-a-line\r\n"
        );
        assert_eq!(
            greeting.cut_short(&Buffer::default(), Short::Late),
            (Vec::new(), "")
        );
    }
}
