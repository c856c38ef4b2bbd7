//! One growing buffer for each way of a connection, compacted in place; and the lines in it.

use std::io::{self, Read};
use std::ops::Range;

/// The longest line, its end included.
pub const MAX_LINE: usize = 4096;
/// Bytes that a buffer makes room for at a time.
const CHUNK: usize = 512;

/// The room that is made for what may be long: what one record of TLS holds.
const LARGE: usize = 16 * 1024;
/// The longest room that an empty buffer keeps: what any line needs.
const KEPT: usize = MAX_LINE + 2 * CHUNK;

/// Bytes that have come and are not yet used up.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    /// Whether it makes more room at a time than a line needs.
    roomy: bool,
}

/// A line is longer than the protocol allows.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

impl Buffer {
    /// A buffer in which this has come.
    pub fn from_bytes(bytes: Vec<u8>) -> Buffer {
        Buffer {
            start: 0,
            end: bytes.len(),
            bytes,
            roomy: false,
        }
    }

    /// What has come and is not used up.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// From now on it makes room for what may be long, and reads it in fewer calls.
    pub fn enable_large_reads(&mut self) {
        self.roomy = true;
    }

    /// Reads once; 0 is the end of the stream.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        let room = if self.roomy { LARGE } else { CHUNK };
        if self.bytes.len() < self.end + room {
            self.bytes.resize(self.end + room, 0);
        }
        loop {
            match from.read(&mut self.bytes[self.end..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(n) => {
                    self.end += n;
                    return Ok(n);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// The next whole line, its end included; it is not used up.
    pub fn peek_line(&self) -> Result<Option<&[u8]>, TooLong> {
        let rest = self.unread();
        match rest.iter().position(|&b| b == b'\n') {
            Some(at) if at < MAX_LINE => Ok(Some(&rest[..=at])),
            None if rest.len() < MAX_LINE => Ok(None),
            _ => Err(TooLong),
        }
    }

    /// Takes the next whole line, its end included.
    pub fn take_line(&mut self) -> Result<Option<Range<usize>>, TooLong> {
        let Some(length) = self.peek_line()?.map(|line| line.len()) else {
            return Ok(None);
        };
        let from = self.start;
        self.start += length;
        Ok(Some(from..self.start))
    }

    /// Drops all that has come.
    pub fn clear(&mut self) {
        (self.start, self.end) = (0, 0);
    }

    /// Uses up bytes at the front.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
    }

    /// How much memory it holds.
    pub fn allocated(&self) -> usize {
        self.bytes.len()
    }

    /// Lets go of room that only a long unit has needed, where nothing is held now: one such must not cost its
    /// memory for as long as the connection lives.
    pub fn shrink_if_empty(&mut self) {
        if self.start == self.end && self.bytes.len() > KEPT {
            self.bytes = Vec::new();
            (self.start, self.end) = (0, 0);
        }
    }

    /// Leaves the first so many bytes of what has come, and puts these behind them.
    pub fn truncate_and_append(&mut self, from: usize, with: &[u8]) {
        let from = (self.start + from).min(self.end);
        self.bytes.truncate(from);
        self.bytes.extend_from_slice(with);
        self.end = self.bytes.len();
    }

    /// The bytes of a range that was just taken.
    pub fn slice(&self, range: Range<usize>) -> &[u8] {
        &self.bytes[range]
    }
}

/// A line without its end.
pub fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_buffer_takes_lines_however_they_are_cut() {
        let text = b"one\r\ntwo\nthree\r\nrest";
        for step in 1..=text.len() {
            let (mut buffer, mut lines) = (Buffer::default(), Vec::new());
            for mut piece in text.chunks(step) {
                while !piece.is_empty() {
                    buffer.fill(&mut piece).unwrap();
                    while let Some(line) = buffer.take_line().unwrap() {
                        lines.push(
                            String::from_utf8(trim_line_end(buffer.slice(line)).to_vec()).unwrap(),
                        );
                    }
                }
            }
            assert_eq!(lines, ["one", "two", "three"], "step {step}");
            assert_eq!(buffer.unread(), b"rest");
        }
    }

    #[test]
    fn a_line_may_be_as_long_as_the_protocol_says_and_no_longer() {
        for (length, good) in [
            (MAX_LINE - 1, true),
            (MAX_LINE, false),
            (3 * MAX_LINE, false),
        ] {
            let text = [vec![b'x'; length], b"\n".to_vec()].concat();
            let (mut buffer, mut from) = (Buffer::default(), &text[..]);
            while !from.is_empty() {
                buffer.fill(&mut from).unwrap();
            }
            assert_eq!(buffer.take_line().is_ok(), good, "{length}");
        }
    }
}
