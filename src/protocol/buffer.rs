//! A growing receive buffer, one for each direction of a connection, compacted in place; and its
//! lines.

use std::io::{self, Read};
use std::ops::Range;

/// The longest line, line end included.
pub const MAX_LINE: usize = 4096;
/// The free space made for each read.
const CHUNK: usize = 512;

/// The free space made for each read of data that may be long: the size of a TLS record.
const LARGE_CHUNK: usize = 16 * 1024;
/// The largest allocation that an empty buffer keeps: enough for any line.
const MAX_IDLE_ALLOCATION: usize = MAX_LINE + 2 * CHUNK;

/// Bytes that were received and not yet consumed.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    /// Whether each read gets the larger space.
    large_reads: bool,
}

/// The error of a line longer than the protocol allows.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

impl Buffer {
    /// A buffer that holds these received bytes.
    pub fn from_bytes(bytes: Vec<u8>) -> Buffer {
        Buffer {
            start: 0,
            end: bytes.len(),
            bytes,
            large_reads: false,
        }
    }

    /// The bytes received and not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Makes more space for each read from now on, so that long units take fewer calls.
    pub fn enable_large_reads(&mut self) {
        self.large_reads = true;
    }

    /// Reads once; 0 means the end of the stream.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        let chunk = if self.large_reads { LARGE_CHUNK } else { CHUNK };
        if self.bytes.len() < self.end + chunk {
            self.bytes.resize(self.end + chunk, 0);
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

    /// The next complete line, line end included, without consuming it.
    pub fn peek_line(&self) -> Result<Option<&[u8]>, TooLong> {
        let rest = self.unread();
        match rest.iter().position(|&b| b == b'\n') {
            Some(at) if at < MAX_LINE => Ok(Some(&rest[..=at])),
            None if rest.len() < MAX_LINE => Ok(None),
            _ => Err(TooLong),
        }
    }

    /// Consumes the next complete line, line end included; its position is valid for
    /// [`slice`](Buffer::slice) until the next read.
    pub fn take_line(&mut self) -> Result<Option<Range<usize>>, TooLong> {
        let Some(length) = self.peek_line()?.map(|line| line.len()) else {
            return Ok(None);
        };
        let from = self.start;
        self.start += length;
        Ok(Some(from..self.start))
    }

    /// Drops all received bytes.
    pub fn clear(&mut self) {
        (self.start, self.end) = (0, 0);
    }

    /// Consumes bytes at the front.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
    }

    /// The bytes of memory allocated.
    pub fn allocated(&self) -> usize {
        self.bytes.len()
    }

    /// Frees an allocation that only a long unit needed, if the buffer is empty: one long unit must
    /// not cost its memory for as long as the connection lives.
    pub fn shrink_if_empty(&mut self) {
        if self.start == self.end && self.bytes.len() > MAX_IDLE_ALLOCATION {
            self.bytes = Vec::new();
            (self.start, self.end) = (0, 0);
        }
    }

    /// Keeps the first `keep` of the unread bytes and appends these to them.
    pub fn truncate_and_append(&mut self, keep: usize, bytes: &[u8]) {
        let end = (self.start + keep).min(self.end);
        self.bytes.truncate(end);
        self.bytes.extend_from_slice(bytes);
        self.end = self.bytes.len();
    }

    /// The bytes of a line that [`take_line`](Buffer::take_line) has just returned.
    pub fn slice(&self, range: Range<usize>) -> &[u8] {
        &self.bytes[range]
    }
}

/// A line without its line end.
pub fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_found_for_every_split_of_the_input() {
        let text = b"one\r\ntwo\nthree\r\nrest";
        for step in 1..=text.len() {
            let (mut buffer, mut lines) = (Buffer::default(), Vec::new());
            for mut chunk in text.chunks(step) {
                while !chunk.is_empty() {
                    buffer.fill(&mut chunk).unwrap();
                    while let Some(line) = buffer.take_line().unwrap() {
                        lines.push(
                            String::from_utf8(trim_line_end(buffer.slice(line)).to_vec()).unwrap(),
                        );
                    }
                }
            }
            assert_eq!(lines, ["one", "two", "three"], "chunks of {step} bytes");
            assert_eq!(buffer.unread(), b"rest");
        }
    }

    #[test]
    fn a_line_longer_than_the_limit_is_an_error() {
        for (length, allowed) in [
            (MAX_LINE - 1, true),
            (MAX_LINE, false),
            (3 * MAX_LINE, false),
        ] {
            let text = [vec![b'x'; length], b"\n".to_vec()].concat();
            let (mut buffer, mut from) = (Buffer::default(), &text[..]);
            while !from.is_empty() {
                buffer.fill(&mut from).unwrap();
            }
            assert_eq!(buffer.take_line().is_ok(), allowed, "{length}");
        }
    }
}
