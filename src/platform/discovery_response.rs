//! Discovery's answer as a state machine: bytes of HTTP go in, whole JSON objects and the beats between them come out.
//! No I/O and no clock.
//!
//! Guards against: objects that are written over several lines, an answer that has a length and stays open, and one
//! that never ends a head, a chunk or an object (all are bounded here; how long each may take is the driver's).

/// The longest head of an answer.
const MAX_HEAD: usize = 16 * 1024;
/// The longest object of a watch: a list of ten thousand backends has about 2 MB.
const MAX_OBJECT: usize = 4 << 20;

/// What an answer is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A whole JSON object.
    Object(Vec<u8>),
    /// An empty line: nothing has changed, and discovery is there.
    Beat,
}

/// An HTTP answer as it comes in: head, chunks, objects.
#[derive(Default)]
pub struct Answer {
    raw: Vec<u8>,
    body: Vec<u8>,
    part: Part,
    scan: Scan,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Part {
    #[default]
    Head,
    Size,
    Data(usize),
    DataEnd,
    /// No chunks: so many bytes are still to come; none where only the connection's end tells.
    Plain(Option<usize>),
    Ended,
}

/// How far the body has been looked at, and where in an object that is.
#[derive(Default)]
struct Scan {
    at: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// Whether anything of this line was an object's.
    line: bool,
}

impl Answer {
    /// Takes bytes off the wire.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.raw.extend_from_slice(bytes);
        loop {
            let used = match self.part {
                Part::Head => self.head()?,
                Part::Size => match httparse::parse_chunk_size(&self.raw) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        let size = usize::try_from(size).map_err(|_| "a chunk is too long")?;
                        self.part = if size == 0 {
                            Part::Ended
                        } else {
                            Part::Data(size)
                        };
                        used
                    }
                    Ok(httparse::Status::Partial) if self.raw.len() < MAX_HEAD => 0,
                    _ => return Err("malformed chunk".into()),
                },
                Part::Data(left) => {
                    let n = self.pass(left);
                    self.part = if n == left {
                        Part::DataEnd
                    } else {
                        Part::Data(left - n)
                    };
                    n
                }
                Part::DataEnd if self.raw.len() < 2 => 0,
                Part::DataEnd if self.raw.starts_with(b"\r\n") => {
                    self.part = Part::Size;
                    2
                }
                Part::DataEnd => return Err("malformed end of a chunk".into()),
                Part::Plain(None) => self.pass(usize::MAX),
                Part::Plain(Some(left)) => {
                    let n = self.pass(left);
                    self.part = if n == left {
                        Part::Ended
                    } else {
                        Part::Plain(Some(left - n))
                    };
                    n
                }
                Part::Ended => return Ok(()),
            };
            self.raw.drain(..used);
            if used == 0 {
                return Ok(());
            }
        }
    }

    /// Gives the body at most so many bytes.
    fn pass(&mut self, most: usize) -> usize {
        let n = most.min(self.raw.len());
        self.body.extend_from_slice(&self.raw[..n]);
        n
    }

    fn head(&mut self) -> Result<usize, String> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let used = match response.parse(&self.raw) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if self.raw.len() < MAX_HEAD => return Ok(0),
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
        self.part = match (chunked, length.ok_or("malformed Content-Length")?) {
            (true, _) => Part::Size,
            (false, Some(0)) => Part::Ended,
            (false, length) => Part::Plain(length),
        };
        Ok(used)
    }

    /// The next whole piece of the body. An object ends where its last brace does, however many lines it has.
    pub fn piece(&mut self) -> Result<Option<Piece>, String> {
        while let Some(&b) = self.body.get(self.scan.at) {
            let scan = &mut self.scan;
            scan.at += 1;
            match b {
                _ if scan.escaped => scan.escaped = false,
                b'\\' if scan.quoted => scan.escaped = true,
                b'"' if scan.depth > 0 => scan.quoted = !scan.quoted,
                _ if scan.quoted => {}
                b'{' => scan.depth += 1,
                b'[' if scan.depth > 0 => scan.depth += 1,
                b'}' | b']' if scan.depth > 1 => scan.depth -= 1,
                b'}' if scan.depth == 1 => {
                    let end = scan.at;
                    *scan = Scan {
                        line: true,
                        ..Scan::default()
                    };
                    return Ok(Some(Piece::Object(self.body.drain(..end).collect())));
                }
                _ if scan.depth > 0 => {}
                b'\n' => {
                    let beat = !std::mem::take(&mut scan.line);
                    scan.at = 0;
                    self.body.drain(
                        ..self
                            .body
                            .iter()
                            .position(|&b| b == b'\n')
                            .map_or(0, |at| at + 1),
                    );
                    if beat {
                        return Ok(Some(Piece::Beat));
                    }
                }
                b if b.is_ascii_whitespace() => {}
                _ => return Err("something that is no JSON object".into()),
            }
            if self.scan.at > MAX_OBJECT {
                return Err("an object is too long".into());
            }
        }
        Ok(None)
    }

    /// Whether it is over: nothing more will come on this connection.
    pub fn ended(&self) -> bool {
        self.part == Part::Ended
    }
}
