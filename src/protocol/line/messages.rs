//! The messages of the line protocol: parsing of a client's first line and of a backend's lines.

use crate::config::{Classes, Names};
use crate::decision_service::MAX_REQUEST_DEADLINE;
use crate::decisions::api::{Micros, Request};
use std::ops::Range;

/// The longest id of a connection.
const MAX_ID_LENGTH: usize = 64;
/// The largest deadline accepted, in milliseconds: the largest 32-bit number. Requests for
/// connections that were open before this process started have deadlines of more than an hour.
const MAX_DEADLINE_MS: f64 = u32::MAX as f64;

/// A client's first line.
#[derive(Clone, Debug, PartialEq)]
pub enum FirstLine {
    /// A health check: the relay answers `PONG`.
    Ping,
    /// A request for a connection.
    Open(OpenRequest),
}

/// A client's request for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    /// The id of the connection, for the log.
    pub connection_id: String,
    /// The request in the form of the decisions.
    pub request: Request,
    /// The backend at which the connection was open before this process started.
    pub adopted_backend: Option<String>,
    /// The position in the line of the value of `d`, the deadline.
    deadline_range: Option<Range<usize>>,
    /// The line without its line end.
    line: String,
}

impl OpenRequest {
    /// The line to forward to a backend: as received, with the deadline replaced by the time left,
    /// if given.
    pub fn for_backend(&self, time_left: Option<Micros>) -> String {
        match (&self.deadline_range, time_left) {
            (Some(deadline), Some(time_left)) => {
                format!(
                    "{}{}{}\r\n",
                    &self.line[..deadline.start],
                    time_left / 1000,
                    &self.line[deadline.end..]
                )
            }
            _ => format!("{}\r\n", self.line),
        }
    }
}

/// Parses a client's first line (without its line end). The error is a word that is sent to the
/// client after `ERR`.
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
    let (Some(id), Some(key), Some(fields), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err("wrong-number-of-words");
    };
    if id.is_empty() {
        return Err("no-id");
    }
    if id.len() > MAX_ID_LENGTH
        || !id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    {
        return Err("bad-id");
    }
    let mut open = OpenRequest {
        connection_id: id.to_string(),
        request: Request {
            client_key: parse_hex_u64(key).ok_or("bad-key")?,
            ..Request::default()
        },
        adopted_backend: None,
        deadline_range: None,
        line: line.to_string(),
    };
    let request = &mut open.request;
    let mut class = None;
    let mut position = line.len() - fields.len();
    let mut keys = Vec::new();
    for field in fields.split(',') {
        let (key, value) = field.split_once('=').ok_or("bad-field")?;
        if keys.contains(&key) {
            return Err("doubled-field");
        }
        keys.push(key);
        match key {
            "c" => class = Some(classes.find(value).ok_or("unknown-class")?),
            "d" => {
                let ms = parse_decimal(value)
                    .filter(|ms| *ms <= MAX_DEADLINE_MS)
                    .ok_or("bad-wait")?;
                request.time_left = crate::wire::micros_from_millis(ms)
                    .ok_or("bad-wait")?
                    .min(MAX_REQUEST_DEADLINE);
                open.deadline_range = Some(position + 2..position + field.len());
            }
            "g" => request.group = parse_hex_u64(value).ok_or("bad-group")?,
            "r" | "again" => match value {
                "0" => {}
                "1" => request.returning = true,
                _ => return Err("bad-flag"),
            },
            "h" if parse_decimal(value).is_none() => return Err("bad-hint"),
            "at" if value.is_empty() => return Err("bad-backend"),
            "at" => open.adopted_backend = Some(value.to_string()),
            _ => {}
        }
        position += field.len() + 1;
    }
    request.class = class.ok_or("no-class")?;
    if open.deadline_range.is_none() {
        request.time_left = classes.deadline(request.class);
    }
    Ok(FirstLine::Open(open))
}

fn parse_hex_u64(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|_| text.len() <= 16 && !text.starts_with('+'))
}

/// Parses a decimal number without a sign or an exponent. Other forms are refused because a backend
/// could read them differently than the relay does.
fn parse_decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 32 && text.starts_with(|c: char| c.is_ascii_digit());
    let plain = plain && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|x: &f64| plain && x.is_finite())
}

/// A backend's line.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendLine {
    /// `UP`: the connection is established.
    Up,
    /// `BYE`: the connection was served to its end, with a load report.
    Bye(Vec<f32>),
    /// `MOVE`: the client is asked to reconnect.
    Move,
    /// `ERR`: an error, with a load report.
    Err(Vec<f32>),
    /// `BUSY`: rejected without having run, with a load report.
    Busy(Vec<f32>),
    /// `LOAD`: the load of the connection or the message delay, see [`super::load_samples`].
    Load(f32),
    /// Any other line: only the client uses it.
    Other,
}

/// Parses a backend's line (without its line end).
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

/// Parses a load report into the order of the settings' columns; empty if a column is missing.
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
    fn a_first_line_is_parsed_or_refused_with_an_error_word() {
        let request = |class, key, group, time_left, returning| {
            Ok(Request {
                class,
                client_key: key,
                group,
                time_left,
                returning,
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
            let parsed = parse_first_line(line, &classes()).map(|first| match first {
                FirstLine::Open(open) => open.request,
                FirstLine::Ping => panic!("parsed as PING"),
            });
            assert_eq!(&parsed, expected, "{}", String::from_utf8_lossy(line));
        }
        assert_eq!(parse_first_line(b"PING", &classes()), Ok(FirstLine::Ping));
    }

    #[test]
    fn a_line_is_forwarded_unchanged_but_for_the_deadline() {
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
            assert_eq!(open.for_backend(Some(1_499_999)), forwarded);
            assert_eq!(open.for_backend(None), format!("{line}\r\n"));
        }
    }

    #[test]
    fn the_lines_of_a_backend_are_parsed() {
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
