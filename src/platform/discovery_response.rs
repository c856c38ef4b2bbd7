//! Incremental parser of discovery's HTTP response: takes bytes, returns whole JSON objects and the
//! heartbeats between them. It does no I/O and reads no clock.
//!
//! Guards against: objects that span several lines; a response with a `Content-Length` on a
//! connection that stays open; and a header, chunk or object that never ends. Sizes are bounded
//! here; the caller bounds the time.

/// The longest status line and header fields, and the longest chunk header.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest JSON object. A list of ten thousand backends takes about 2 MB.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// An item of the response body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseItem {
    /// A whole JSON object.
    Object(Vec<u8>),
    /// An empty line: discovery is alive and nothing has changed.
    Heartbeat,
}

/// Parser of one HTTP response.
#[derive(Default)]
pub struct ResponseParser {
    /// Received bytes that are not parsed yet.
    raw: Vec<u8>,
    /// Decoded body that is not returned yet.
    body: Vec<u8>,
    state: ParserState,
    scan: BodyScan,
}

/// The part of the response that comes next.
#[derive(Clone, Copy, Default, PartialEq)]
enum ParserState {
    #[default]
    Head,
    ChunkSize,
    /// The number of bytes that the current chunk still has.
    ChunkData(usize),
    ChunkEnd,
    /// A body without chunks: the number of bytes left, or none if it ends with the connection.
    PlainBody(Option<usize>),
    Ended,
}

/// How far the body is scanned, and the position in the JSON structure there.
#[derive(Default)]
struct BodyScan {
    position: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// Whether the current line has contained an object.
    line_has_object: bool,
}

impl ResponseParser {
    /// Parses bytes received from discovery.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.raw.extend_from_slice(bytes);
        loop {
            let consumed = match self.state {
                ParserState::Head => self.parse_head()?,
                ParserState::ChunkSize => match httparse::parse_chunk_size(&self.raw) {
                    Ok(httparse::Status::Complete((consumed, size))) => {
                        let size = usize::try_from(size).map_err(|_| "a chunk is too long")?;
                        self.state = if size == 0 {
                            ParserState::Ended
                        } else {
                            ParserState::ChunkData(size)
                        };
                        consumed
                    }
                    Ok(httparse::Status::Partial) if self.raw.len() < MAX_HEAD_BYTES => 0,
                    _ => return Err("malformed chunk".into()),
                },
                ParserState::ChunkData(left) => {
                    let n = self.move_to_body(left);
                    self.state = if n == left {
                        ParserState::ChunkEnd
                    } else {
                        ParserState::ChunkData(left - n)
                    };
                    n
                }
                ParserState::ChunkEnd if self.raw.len() < 2 => 0,
                ParserState::ChunkEnd if self.raw.starts_with(b"\r\n") => {
                    self.state = ParserState::ChunkSize;
                    2
                }
                ParserState::ChunkEnd => return Err("malformed end of a chunk".into()),
                ParserState::PlainBody(None) => self.move_to_body(usize::MAX),
                ParserState::PlainBody(Some(left)) => {
                    let n = self.move_to_body(left);
                    self.state = if n == left {
                        ParserState::Ended
                    } else {
                        ParserState::PlainBody(Some(left - n))
                    };
                    n
                }
                ParserState::Ended => return Ok(()),
            };
            self.raw.drain(..consumed);
            if consumed == 0 {
                return Ok(());
            }
        }
    }

    /// Appends at most `limit` received bytes to the body; returns how many.
    fn move_to_body(&mut self, limit: usize) -> usize {
        let n = limit.min(self.raw.len());
        self.body.extend_from_slice(&self.raw[..n]);
        n
    }

    fn parse_head(&mut self) -> Result<usize, String> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let consumed = match response.parse(&self.raw) {
            Ok(httparse::Status::Complete(consumed)) => consumed,
            Ok(httparse::Status::Partial) if self.raw.len() < MAX_HEAD_BYTES => return Ok(0),
            Ok(httparse::Status::Partial) => return Err("the head is too long".into()),
            Err(e) => return Err(format!("malformed head: {e}")),
        };
        if response.code != Some(200) {
            return Err(format!("status {}", response.code.unwrap_or(0)));
        }
        let header = |name: &str| {
            response
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
        };
        let chunked = header("transfer-encoding").is_some_and(|h| {
            h.value
                .trim_ascii()
                .to_ascii_lowercase()
                .ends_with(b"chunked")
        });
        let length = match header("content-length") {
            Some(h) => std::str::from_utf8(h.value)
                .ok()
                .and_then(|text| text.trim().parse().ok())
                .map(Some),
            None => Some(None),
        };
        self.state = match (chunked, length.ok_or("malformed Content-Length")?) {
            (true, _) => ParserState::ChunkSize,
            (false, Some(0)) => ParserState::Ended,
            (false, length) => ParserState::PlainBody(length),
        };
        Ok(consumed)
    }

    /// Returns the next item of the body once it is complete. An object ends at its closing brace,
    /// whatever line breaks it contains.
    pub fn next_item(&mut self) -> Result<Option<ResponseItem>, String> {
        while let Some(&b) = self.body.get(self.scan.position) {
            let scan = &mut self.scan;
            scan.position += 1;
            match b {
                _ if scan.escaped => scan.escaped = false,
                b'\\' if scan.quoted => scan.escaped = true,
                b'"' if scan.depth > 0 => scan.quoted = !scan.quoted,
                _ if scan.quoted => {}
                b'{' => scan.depth += 1,
                b'[' if scan.depth > 0 => scan.depth += 1,
                b'}' | b']' if scan.depth > 1 => scan.depth -= 1,
                b'}' if scan.depth == 1 => {
                    let end = scan.position;
                    *scan = BodyScan {
                        line_has_object: true,
                        ..BodyScan::default()
                    };
                    return Ok(Some(ResponseItem::Object(self.body.drain(..end).collect())));
                }
                _ if scan.depth > 0 => {}
                b'\n' => {
                    let is_heartbeat = !std::mem::take(&mut scan.line_has_object);
                    scan.position = 0;
                    self.body.drain(
                        ..self
                            .body
                            .iter()
                            .position(|&b| b == b'\n')
                            .map_or(0, |at| at + 1),
                    );
                    if is_heartbeat {
                        return Ok(Some(ResponseItem::Heartbeat));
                    }
                }
                b if b.is_ascii_whitespace() => {}
                _ => return Err("the response body has something that is no JSON object".into()),
            }
            if self.scan.position > MAX_OBJECT_BYTES {
                return Err("an object is too long".into());
            }
        }
        Ok(None)
    }

    /// Whether the response is complete: nothing more will come on this connection.
    pub fn is_complete(&self) -> bool {
        self.state == ParserState::Ended
    }
}
