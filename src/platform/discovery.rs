//! Discovery: the list of backends as it is written to this relay, and the watch that brings it.

use crate::api::{ListKind, Member};
use crate::config::listing::{listing, shallow, Endpoint};
use crate::config::Names;
use crate::decide::Decisions;
use crate::log::log;
use crate::platform::directory::Directory;
use crate::sys::{lock, timed_out};
use crossbeam_channel::Receiver;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The longest wait for a connection to discovery.
const DIAL: Duration = Duration::from_secs(1);
/// A watch that brings nothing for so long is dead: an empty line is due every 2 s.
const SILENT: Duration = Duration::from_millis(4_500);
/// The longest head of an answer.
const MAX_HEAD: usize = 16 * 1024;
/// The longest line of a watch.
const MAX_OBJECT: usize = 4 << 20;
/// Entries of a change that the log names.
const NAMED: usize = 16;

/// Where discovery is. It can move while a watch is open.
pub struct Source {
    place: Mutex<Place>,
}

struct Place {
    addr: SocketAddr,
    /// How often it has moved.
    moves: u64,
    /// The watch that is open there.
    open: Option<Arc<TcpStream>>,
}

impl Source {
    /// Discovery at this address.
    pub fn new(addr: SocketAddr) -> Arc<Source> {
        Arc::new(Source { place: Mutex::new(Place { addr, moves: 0, open: None }) })
    }

    fn lock(&self) -> MutexGuard<'_, Place> {
        lock(&self.place)
    }

    /// From now on discovery is at this address: a watch elsewhere is ended. False if it is there already.
    pub fn relocate(&self, addr: SocketAddr) -> bool {
        let mut place = self.lock();
        if place.addr == addr {
            return false;
        }
        (place.addr, place.moves) = (addr, place.moves + 1);
        if let Some(open) = place.open.take() {
            // Wakes the thread that reads there.
            let _ = open.shutdown(Shutdown::Both);
        }
        true
    }

    fn current(&self) -> (SocketAddr, u64) {
        let place = self.lock();
        (place.addr, place.moves)
    }

    /// Takes the socket of a watch; false if discovery has moved since the address was read.
    fn hold(&self, stream: &Arc<TcpStream>, moves: u64) -> bool {
        let mut place = self.lock();
        if place.moves == moves {
            place.open = Some(stream.clone());
        }
        place.moves == moves
    }
}

/// What the thread of the watch works with.
pub struct Watcher<'a> {
    /// Where discovery is.
    pub source: &'a Source,
    /// Names of the zones.
    pub names: &'a Names,
    /// What is told to the network.
    pub directory: &'a Directory,
    /// What is told to the decisions.
    pub decisions: &'a Decisions,
    /// The version of the list that is held; 0 where none is.
    pub version: u64,
}

impl Watcher<'_> {
    /// Watches whenever the decisions ask for it. A watch that fails is told to them: when to try
    /// again, and with what jitter, is theirs to say.
    pub fn run(mut self, orders: &Receiver<bool>) {
        let mut known = self.source.current().1;
        for mut on in orders {
            // Orders that have piled up: the last one counts.
            while let Ok(later) = orders.try_recv() {
                on = later;
            }
            if !on {
                continue;
            }
            // Read after the orders: a move that comes later than this ends the watch and brings an order.
            let (addr, moves) = self.source.current();
            if moves != known {
                // Versions of one place say nothing at another: its whole list is asked for.
                (known, self.version) = (moves, 0);
            }
            let result = self.watch(addr, moves, orders);
            self.source.lock().open = None;
            match result {
                Ok(()) => log("discovery: the watch was ended as asked"),
                // The decisions have asked for the new place already.
                Err(_) if self.source.current().1 != moves => log(&format!("discovery: moved from {addr}")),
                Err(e) => {
                    log(&format!("discovery: the watch failed: {e}"));
                    self.decisions.members(ListKind::Failed, Vec::new());
                }
            }
        }
    }

    fn watch(&mut self, addr: SocketAddr, moves: u64, orders: &Receiver<bool>) -> Result<(), String> {
        let said = |e: std::io::Error| if timed_out(&e) { "silent".to_string() } else { e.to_string() };
        let shared = Arc::new(TcpStream::connect_timeout(&addr, DIAL).map_err(said)?);
        if !self.source.hold(&shared, moves) {
            return Err("it moved".into());
        }
        let mut stream = &*shared;
        stream.set_nodelay(true).map_err(said)?;
        stream.set_read_timeout(Some(SILENT)).map_err(said)?;
        stream.set_write_timeout(Some(DIAL)).map_err(said)?;
        let after = if self.version > 0 { format!("&after={}", self.version) } else { String::new() };
        let request = format!("GET /v1/endpoints?watch=1{after} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        stream.write_all(request.as_bytes()).map_err(said)?;
        let mut answer = Answer::default();
        let mut piece = [0; 4096];
        loop {
            let n = match stream.read(&mut piece) {
                // A process that is stopped and goes on sees this, although nothing has failed.
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                read => read.map_err(said)?,
            };
            if n == 0 {
                return Err("it ended".into());
            }
            answer.take(&piece[..n])?;
            while let Some(mut line) = answer.line()? {
                if !line.trim_ascii().is_empty() {
                    self.object(&mut line)?;
                }
            }
            if answer.ended() {
                return Err("it ended".into());
            }
            if orders.try_recv() == Ok(false) {
                return Ok(());
            }
        }
    }

    fn object(&mut self, line: &mut [u8]) -> Result<(), String> {
        let read = shallow(line).and_then(|()| {
            let value = simd_json::to_owned_value(line).map_err(|e| format!("not JSON: {e}"))?;
            listing(&value, &self.names.zones)
        });
        let listing = read.inspect_err(|_| {
            // What this line would have changed is not known: the next watch begins with the whole list.
            self.version = 0;
        })?;
        for problem in &listing.problems {
            log(&format!("discovery: an entry was left out: {problem}"));
        }
        let (version, entries) = (listing.version, listing.servers.len());
        let said = |(endpoint, member): &(Endpoint, Member)| format!("{} {:?}", endpoint.name, member.state);
        let named: Vec<String> = listing.servers.iter().take(NAMED).map(said).collect();
        log(&format!("discovery: version {version}, {entries} entries: {}", named.join(", ")));
        self.version = listing.version;
        // The network first: it checks against this list once more, right before a first byte goes out.
        self.directory.update(listing.full, &listing.servers);
        let kind = if listing.full { ListKind::Full } else { ListKind::Delta };
        self.decisions.members(kind, listing.servers.into_iter().map(|(_, member)| member).collect());
        Ok(())
    }
}

/// An HTTP answer as it comes in: head, chunks, lines.
#[derive(Default)]
pub struct Answer {
    raw: Vec<u8>,
    body: Vec<u8>,
    part: Part,
    chunked: bool,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Part {
    #[default]
    Head,
    Size,
    Data(usize),
    DataEnd,
    Plain,
    Ended,
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
                        self.part = if size == 0 { Part::Ended } else { Part::Data(size) };
                        used
                    }
                    Ok(httparse::Status::Partial) if self.raw.len() < MAX_HEAD => 0,
                    _ => return Err("malformed chunk".into()),
                },
                Part::Data(left) => {
                    let n = left.min(self.raw.len());
                    self.body.extend_from_slice(&self.raw[..n]);
                    self.part = if n == left { Part::DataEnd } else { Part::Data(left - n) };
                    n
                }
                Part::DataEnd if self.raw.len() < 2 => 0,
                Part::DataEnd if self.raw.starts_with(b"\r\n") => {
                    self.part = Part::Size;
                    2
                }
                Part::DataEnd => return Err("malformed end of a chunk".into()),
                Part::Plain => {
                    self.body.extend_from_slice(&self.raw);
                    self.raw.len()
                }
                Part::Ended => return Ok(()),
            };
            self.raw.drain(..used);
            if used == 0 {
                return Ok(());
            }
        }
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
        let chunked = |h: &httparse::Header| {
            h.name.eq_ignore_ascii_case("transfer-encoding")
                && h.value.to_ascii_lowercase().ends_with(b"chunked")
        };
        self.chunked = response.headers.iter().any(chunked);
        self.part = if self.chunked { Part::Size } else { Part::Plain };
        Ok(used)
    }

    /// The next whole line of the body.
    pub fn line(&mut self) -> Result<Option<Vec<u8>>, String> {
        let end = self.body.iter().position(|&b| b == b'\n');
        match end {
            Some(at) => Ok(Some(self.body.drain(..=at).collect())),
            None if self.body.len() > MAX_OBJECT => Err("a line is too long".into()),
            None => Ok(None),
        }
    }

    /// Whether the last chunk has come.
    pub fn ended(&self) -> bool {
        self.part == Part::Ended
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_are_put_together_wherever_they_are_cut() {
        let wire = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\nc\n\r\n3;x=y\r\nde\n\r\n0\r\n\r\n";
        for step in 1..wire.len() {
            let (mut answer, mut lines) = (Answer::default(), Vec::new());
            for piece in wire.chunks(step) {
                answer.take(piece).unwrap();
                while let Some(line) = answer.line().unwrap() {
                    lines.push(String::from_utf8(line).unwrap());
                }
            }
            assert_eq!((lines.concat().as_str(), answer.ended()), ("ab\nc\nde\n", true), "step {step}");
        }
    }

    #[test]
    fn answers_that_are_none_are_refused() {
        let cases: &[&[u8]] = &[
            b"HTTP/1.1 503 Service Unavailable\r\n\r\n",
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
        ];
        for case in cases {
            assert!(Answer::default().take(case).is_err(), "{}", String::from_utf8_lossy(case));
        }
    }
}
