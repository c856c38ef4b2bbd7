//! Discovery: the list of backends as it is written to this relay, and the watch that brings it.

use crate::api::{ListKind, Member, MemberState, Micros, ServerId};
use crate::config::Names;
use crate::decide::Decisions;
use crate::net::{log, timed_out};
use crossbeam_channel::Receiver;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

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
/// The deepest nesting of JSON that is read: a deeper one could overflow a thread's stack.
const MAX_DEPTH: usize = 32;

/// A backend as the network knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id in words.
    pub name: String,
    /// Where this relay reaches it.
    pub addr: SocketAddr,
}

/// One object of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The version of the list with these entries.
    pub version: u64,
    /// Whether it names all backends, or the changed ones only.
    pub full: bool,
    /// The entries that could be read.
    pub servers: Vec<(Endpoint, Member)>,
    /// What is wrong with the others.
    pub problems: Vec<String>,
}

/// The number of a backend: the same at every relay, for the same id (FNV-1a).
pub fn server_id(name: &str) -> ServerId {
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3));
    ServerId(hash)
}

/// Refuses JSON that is nested too deeply.
pub fn shallow(text: &[u8]) -> Result<(), String> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for &b in text {
        match b {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(format!("JSON is nested more than {MAX_DEPTH} deep"));
        }
    }
    Ok(())
}

/// Reads one object of discovery. An entry that cannot be read is left out and named.
pub fn listing(value: &Value, zones: &[String]) -> Result<Listing, String> {
    let version = value.get("version").and_then(|v| v.as_u64()).ok_or("version: is not a whole number")?;
    let full = value.get("full").and_then(|v| v.as_bool()).ok_or("full: is not true or false")?;
    let list = value.get("servers").and_then(|v| v.as_array()).ok_or("servers: is not a list")?;
    let mut listing = Listing { version, full, servers: Vec::new(), problems: Vec::new() };
    for (i, value) in list.iter().enumerate() {
        match entry(value, zones) {
            Ok(entry) => listing.servers.push(entry),
            Err(e) => listing.problems.push(format!("servers[{i}].{e}")),
        }
    }
    Ok(listing)
}

fn entry(value: &Value, zones: &[String]) -> Result<(Endpoint, Member), String> {
    let word = |key: &str| value.get(key).and_then(|v| v.as_str()).ok_or(format!("{key}: is not a text"));
    let name = word("id")?.to_string();
    let state = match word("state")? {
        "active" => MemberState::Ready,
        "leaving" => MemberState::Draining,
        "left" => MemberState::Gone,
        other => return Err(format!("state: '{other}' is not known")),
    };
    let addr = word("addr")?.parse().map_err(|_| "addr: is not an address and a port".to_string())?;
    let zone = word("zone")?;
    let zone = zones.iter().position(|z| z == zone).ok_or(format!("zone: '{zone}' is not known"))?;
    let started = value.get("started_ms").and_then(|v| v.cast_f64()).unwrap_or(0.0);
    let started: Micros = crate::wire::micros(started).ok_or("started_ms: is not a time")?;
    let member = Member {
        server: server_id(&name),
        zone: zone as u16,
        cell: value.get("cell").and_then(|v| v.as_u64()).unwrap_or(0) as u16,
        state,
        size: value.get("weight").and_then(|v| v.cast_f64()).unwrap_or(1.0) as f32,
        started: (started > 0).then_some(started),
    };
    Ok((Endpoint { name, addr }, member))
}

/// Where the backends are, and which of them may be sent something new.
#[derive(Default)]
pub struct Directory {
    servers: Mutex<BTreeMap<ServerId, (Endpoint, MemberState)>>,
    /// Those that staff have taken out, listed or not.
    by_hand: Mutex<BTreeSet<ServerId>>,
    changed: Condvar,
}

impl Directory {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, (Endpoint, MemberState)>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bans(&self) -> MutexGuard<'_, BTreeSet<ServerId>> {
        self.by_hand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Staff have taken a backend out, or called it back.
    pub fn by_hand(&self, server: ServerId, out_of_use: bool) {
        if out_of_use {
            self.bans().insert(server);
        } else {
            self.bans().remove(&server);
        }
    }

    /// Takes over a list. What is gone is forgotten: machines that are replaced have new ids.
    pub fn update(&self, full: bool, servers: &[(Endpoint, Member)]) {
        let mut known = self.lock();
        if full {
            known.clear();
        }
        for (endpoint, member) in servers {
            match member.state {
                MemberState::Gone => drop(known.remove(&member.server)),
                state => drop(known.insert(member.server, (endpoint.clone(), state))),
            }
        }
        self.changed.notify_all();
    }

    /// A backend's name and address.
    pub fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        self.lock().get(&server).map(|(endpoint, _)| endpoint.clone())
    }

    /// How many backends the list has.
    pub fn known(&self) -> usize {
        self.lock().len()
    }

    /// Whether something new may go there.
    pub fn takes_new(&self, server: ServerId) -> bool {
        let ready = self.lock().get(&server).is_some_and(|&(_, state)| state == MemberState::Ready);
        ready && !self.bans().contains(&server)
    }

    /// Waits until a backend has been named; the list that a relay starts with may be stale.
    pub fn await_endpoint(&self, server: ServerId, limit: Duration) -> Option<Endpoint> {
        let end = Instant::now() + limit;
        let mut known = self.lock();
        loop {
            if let Some((endpoint, _)) = known.get(&server) {
                return Some(endpoint.clone());
            }
            let left = end.checked_duration_since(Instant::now())?;
            known = self.changed.wait_timeout(known, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

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
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
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

    fn read(text: &str) -> Result<Listing, String> {
        let value = simd_json::to_owned_value(&mut text.as_bytes().to_vec()).map_err(|e| e.to_string())?;
        listing(&value, &["a".to_string(), "b".to_string()])
    }

    #[test]
    fn entries_that_cannot_be_read_are_left_out_and_named() {
        let sound = r#"{"id":"s-1","addr":"10.1.0.18:8080","zone":"b","kind":"m2","cell":3,"state":"active","weight":1.5,"started_ms":7}"#;
        let cases = [
            ("\"active\"", "\"asleep\"", "servers[1].state: 'asleep' is not known"),
            ("10.1.0.18:8080", "nowhere", "servers[1].addr: is not an address and a port"),
            ("\"b\"", "\"z\"", "servers[1].zone: 'z' is not known"),
            ("\"s-1\"", "5", "servers[1].id: is not a text"),
            ("7}", "-7}", "servers[1].started_ms: is not a time"),
        ];
        for (from, to, problem) in cases {
            let text =
                format!(r#"{{"version":4,"full":true,"servers":[{sound},{}]}}"#, sound.replace(from, to));
            let listing = read(&text).unwrap();
            assert_eq!(listing.problems, [problem]);
            let (endpoint, member) = &listing.servers[0];
            assert_eq!((listing.servers.len(), endpoint.name.as_str()), (1, "s-1"));
            assert_eq!((member.zone, member.cell, member.started), (1, 3, Some(7_000)));
        }
    }

    #[test]
    fn what_is_no_listing_is_refused() {
        for text in ["{}", "[]", "7", r#"{"version":1,"full":true,"servers":{}}"#, r#"{"version":-1}"#, "{"] {
            assert!(read(text).is_err(), "{text}");
        }
        assert!(shallow("[".repeat(MAX_DEPTH + 1).as_bytes()).is_err());
        assert!(shallow(br#"["[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[[["]"#).is_ok());
    }

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
