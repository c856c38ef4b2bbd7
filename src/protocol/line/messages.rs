//! The words of the line protocol: what is read from lines and written into them.

use crate::config::{Classes, Names};
use crate::decision_service::MAX_REQUEST_DEADLINE;
use crate::decisions::api::{Micros, Request};
use std::ops::Range;

/// The longest id of a connection.
const LONGEST_ID: usize = 64;
/// The longest wait that is believed, in milliseconds: what 32 bits hold. Connections from before the
/// start ask for more than an hour.
const LONGEST_WAIT: f64 = u32::MAX as f64;
/// What a connection's first line asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum FirstLine {
    /// Whether the relay is there.
    Ping,
    /// A connection.
    Open(OpenRequest),
}

/// A client's request for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    /// The connection's own id, for the log.
    pub connection_id: String,
    /// The request as the decisions see it.
    pub request: Request,
    /// The backend at which it was open before.
    pub adopted_backend: Option<String>,
    /// Where in the line the value of `d` stands.
    deadline_range: Option<Range<usize>>,
    /// The line without its end.
    line: String,
}

impl OpenRequest {
    /// The line for a backend: unchanged, but for how long it will be waited for.
    pub fn forward(&self, left: Option<Micros>) -> String {
        match (&self.deadline_range, left) {
            (Some(d), Some(left)) => {
                format!(
                    "{}{}{}\r\n",
                    &self.line[..d.start],
                    left / 1000,
                    &self.line[d.end..]
                )
            }
            _ => format!("{}\r\n", self.line),
        }
    }
}

/// Reads a connection's first line (without its end); what is wrong with it is one word.
pub fn parse_first_line(line: &[u8], classes: &Classes) -> Result<FirstLine, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "not-utf8")?;
    if line.chars().any(char::is_control) {
        return Err("control-character");
    }
    if line == "PING" {
        return Ok(FirstLine::Ping);
    }
    let rest = line.strip_prefix("OPEN ").ok_or("unknown-command")?;
    let mut words = rest.split(' ');
    let (Some(name), Some(key), Some(list), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err("wrong-number-of-words");
    };
    if name.is_empty() {
        return Err("no-id");
    }
    if name.len() > LONGEST_ID
        || !name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    {
        return Err("bad-id");
    }
    let mut open = OpenRequest {
        connection_id: name.to_string(),
        request: Request {
            client_key: word64(key).ok_or("bad-key")?,
            ..Request::default()
        },
        adopted_backend: None,
        deadline_range: None,
        line: line.to_string(),
    };
    let q = &mut open.request;
    let mut class = None;
    let mut at = line.len() - list.len();
    let mut keys = Vec::new();
    for field in list.split(',') {
        let (key, value) = field.split_once('=').ok_or("bad-field")?;
        if keys.contains(&key) {
            return Err("doubled-field");
        }
        keys.push(key);
        match key {
            "c" => class = Some(classes.find(value).ok_or("unknown-class")?),
            "d" => {
                let ms = decimal(value)
                    .filter(|ms| *ms <= LONGEST_WAIT)
                    .ok_or("bad-wait")?;
                q.time_left = crate::wire::micros_from_millis(ms)
                    .ok_or("bad-wait")?
                    .min(MAX_REQUEST_DEADLINE);
                open.deadline_range = Some(at + 2..at + field.len());
            }
            "g" => q.group = word64(value).ok_or("bad-group")?,
            "r" | "again" => match value {
                "0" => {}
                "1" => q.returning = true,
                _ => return Err("bad-flag"),
            },
            "h" if decimal(value).is_none() => return Err("bad-hint"),
            "at" if value.is_empty() => return Err("bad-backend"),
            "at" => open.adopted_backend = Some(value.to_string()),
            _ => {}
        }
        at += field.len() + 1;
    }
    q.class = class.ok_or("no-class")?;
    if open.deadline_range.is_none() {
        q.time_left = classes.deadline(q.class);
    }
    Ok(FirstLine::Open(open))
}

fn word64(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|_| text.len() <= 16 && !text.starts_with('+'))
}

/// A plain number without a sign or an exponent, as clients write them: what a backend could read
/// otherwise than the relay does must not be passed on.
fn decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 32 && text.starts_with(|c: char| c.is_ascii_digit());
    let plain = plain && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|x: &f64| plain && x.is_finite())
}

/// What a backend's line means to the relay.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendLine {
    /// The connection stands.
    Up,
    /// Served to its end.
    Bye(Vec<f32>),
    /// The client is sent away.
    Move,
    /// An error.
    Err(Vec<f32>),
    /// Turned away unseen.
    Busy(Vec<f32>),
    /// The connection's load, or how long messages take: see [`super::note`].
    Load(f32),
    /// Anything else: a line for the client alone.
    Other,
}

/// Reads a backend's line (without its end).
pub fn parse_backend_line(line: &[u8], names: &Names) -> BackendLine {
    let Ok(text) = std::str::from_utf8(line) else {
        return BackendLine::Other;
    };
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    match word {
        "UP" if !rest.is_empty() => BackendLine::Up,
        "BYE" => BackendLine::Bye(parse_load_report(rest, names)),
        "MOVE" => BackendLine::Move,
        "ERR" => BackendLine::Err(parse_load_report(rest, names)),
        "BUSY" => BackendLine::Busy(parse_load_report(rest, names)),
        "LOAD" => match rest.parse::<f32>() {
            Ok(x) if x.is_finite() && x >= 0.0 => BackendLine::Load(x),
            _ => BackendLine::Other,
        },
        _ => BackendLine::Other,
    }
}

/// Reads a load report, in the order of the settings' columns; empty if a column is missing.
pub fn parse_load_report(text: &str, names: &Names) -> Vec<f32> {
    let value = |column: &String| {
        let field = text
            .split(',')
            .find_map(|f| f.split_once('=').filter(|(key, _)| key == column));
        field
            .and_then(|(_, v)| v.parse::<f32>().ok())
            .filter(|v| v.is_finite())
    };
    names
        .columns
        .iter()
        .map(value)
        .collect::<Option<Vec<f32>>>()
        .unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        let texts = |list: &[&str]| list.iter().map(|t| t.to_string()).collect();
        Names {
            zones: texts(&["a"]),
            columns: texts(&["active", "x0"]),
        }
    }

    fn classes() -> Classes {
        Classes::new([
            ("chat".to_string(), 2_000_000),
            ("call".to_string(), 3_000_000),
        ])
    }

    #[test]
    fn a_first_line_is_read_or_refused_with_a_word() {
        let request = |class, key, group, left, again| {
            Ok(Request {
                class,
                client_key: key,
                group,
                time_left: left,
                returning: again,
                ..Request::default()
            })
        };
        let cases: &[(&[u8], Result<Request, &str>)] = &[
            (
                b"OPEN 9b 7f c=chat,d=2000,g=5c",
                request(0, 0x7f, 0x5c, 2_000_000, false),
            ),
            (b"OPEN 9b 7f d=0.5,c=call", request(1, 0x7f, 0, 500, false)),
            (b"OPEN 9b 7f c=call", request(1, 0x7f, 0, 3_000_000, false)),
            (
                b"OPEN 9b 7f c=chat,d=5,r=1",
                request(0, 0x7f, 0, 5_000, true),
            ),
            (
                b"OPEN 9b 7f c=chat,d=4294967295,again=0",
                request(0, 0x7f, 0, MAX_REQUEST_DEADLINE, false),
            ),
            (
                b"OPEN 9b 7f c=chat,d=5,again=1,h=12.5,new=x",
                request(0, 0x7f, 0, 5_000, true),
            ),
            (
                b"OPEN 9b 7f c=chat,d=5,r=0",
                request(0, 0x7f, 0, 5_000, false),
            ),
            (
                b"OPEN 9b ffffffffffffffff c=chat,d=4294967",
                request(0, u64::MAX, 0, MAX_REQUEST_DEADLINE, false),
            ),
            (b"OPEN 9b 7f c=chat,d=4294967296", Err("bad-wait")),
            (
                b"OPEN 9b 7f c=chat,d=99999999999999999999999",
                Err("bad-wait"),
            ),
            (b"OPEN 9b 7f c=chat,d=1e3", Err("bad-wait")),
            (b"OPEN 9b 7f c=chat,d=+5", Err("bad-wait")),
            (b"OPEN 9b 7f c=chat,d=inf", Err("bad-wait")),
            (b"OPEN 9b 7f c=chat,d=", Err("bad-wait")),
            (b"OPEN 9b 7f c=chat,d=5,d=6", Err("doubled-field")),
            (b"OPEN 9b 7f c=chat,d=5,h=-1", Err("bad-hint")),
            (b"OPEN 9b 7f c=chat,d=5,again=2", Err("bad-flag")),
            (
                b"OPEN 9b 7f c=chat,d=5,g=00000000000000001",
                Err("bad-group"),
            ),
            (b"OPEN 9/b 7f c=chat", Err("bad-id")),
            (b"OPEN 9b 7f c=chat,x=\0", Err("control-character")),
            (b"OPEN 9b 7f c=chat,d=-1", Err("bad-wait")),
            (b"OPEN 9b 7f c=chat,d=NaN", Err("bad-wait")),
            (b"OPEN 9b 7f c=chat,d=soon", Err("bad-wait")),
            (b"OPEN 9b 7f c=chat,g=xyz", Err("bad-group")),
            (b"OPEN 9b 7f c=chat,at=", Err("bad-backend")),
            (b"OPEN 9b 7f c=chat,", Err("bad-field")),
            (b"OPEN 9b 7f d=5", Err("no-class")),
            (b"OPEN 9b 7f c=none", Err("unknown-class")),
            (b"OPEN 9b 10000000000000000 c=chat", Err("bad-key")),
            (b"OPEN 9b +7 c=chat", Err("bad-key")),
            (b"OPEN  7f c=chat", Err("no-id")),
            (b"OPEN 9b 7f c=chat more", Err("wrong-number-of-words")),
            (b"OPEN", Err("unknown-command")),
            (b"open 9b 7f c=chat", Err("unknown-command")),
            (b"\xff\xfe", Err("not-utf8")),
        ];
        for (line, expected) in cases {
            let read = parse_first_line(line, &classes()).map(|o| match o {
                FirstLine::Open(open) => open.request,
                FirstLine::Ping => panic!("a ping"),
            });
            assert_eq!(&read, expected, "{}", String::from_utf8_lossy(line));
        }
        assert_eq!(parse_first_line(b"PING", &classes()), Ok(FirstLine::Ping));
    }

    #[test]
    fn a_line_goes_on_unchanged_but_for_the_wait() {
        let cases = [
            (
                "OPEN 9b 7f c=chat,d=2000,g=5",
                "OPEN 9b 7f c=chat,d=1499,g=5\r\n",
            ),
            ("OPEN 9b 7f d=2000,c=chat", "OPEN 9b 7f d=1499,c=chat\r\n"),
            (
                "OPEN 9b 7f c=chat,x=d=9,d=1",
                "OPEN 9b 7f c=chat,x=d=9,d=1499\r\n",
            ),
            ("OPEN 9b 7f c=chat", "OPEN 9b 7f c=chat\r\n"),
        ];
        for (line, forwarded) in cases {
            let Ok(FirstLine::Open(open)) = parse_first_line(line.as_bytes(), &classes()) else {
                panic!("{line}")
            };
            assert_eq!(open.forward(Some(1_499_999)), forwarded);
            assert_eq!(open.forward(None), format!("{line}\r\n"));
        }
    }

    #[test]
    fn a_backend_s_lines_are_told_apart() {
        let report = vec![7.0, 0.5];
        let cases: &[(&[u8], BackendLine)] = &[
            (b"UP r1", BackendLine::Up),
            (b"UP", BackendLine::Other),
            (b"BYE", BackendLine::Bye(vec![])),
            (
                b"BYE x0=0.5,active=7,new=1",
                BackendLine::Bye(report.clone()),
            ),
            (b"BYE x0=0.5", BackendLine::Bye(vec![])),
            (b"BYE x0=inf,active=7", BackendLine::Bye(vec![])),
            (b"MOVE", BackendLine::Move),
            (b"ERR active=7,x0=0.5", BackendLine::Err(report.clone())),
            (b"BUSY active=7,x0=0.5", BackendLine::Busy(report)),
            (b"LOAD 17.25", BackendLine::Load(17.25)),
            (b"LOAD", BackendLine::Other),
            (b"LOAD -1", BackendLine::Other),
            (b"LOAD NaN", BackendLine::Other),
            (b"M 1 abc", BackendLine::Other),
            (b"\xff", BackendLine::Other),
            (b"", BackendLine::Other),
        ];
        for (line, expected) in cases {
            assert_eq!(
                &parse_backend_line(line, &names()),
                expected,
                "{}",
                String::from_utf8_lossy(line)
            );
        }
    }
}
