//! Discovery: HTTP/1.1, the whole list and watches on its changes.

use crate::{lock, Record};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub state: &'static str,
    /// When it last started, in Unix time in milliseconds; 0 for long ago.
    pub started_ms: u64,
}

impl Entry {
    pub fn active(id: &str, addr: SocketAddr) -> Entry {
        Entry {
            id: id.into(),
            addr,
            state: "active",
            started_ms: 0,
        }
    }

    pub fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"a\",\"kind\":\"a\",\"cell\":1,\
             \"state\":\"{}\",\"weight\":1.0,\"started_ms\":{}}}",
            self.id, self.addr, self.state, self.started_ms
        )
    }
}

/// What happens to a call.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    /// It is answered after this time.
    Answer(Duration),
    /// It has waited for this time and ends with 503.
    Unavailable(Duration),
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    /// The entries of each change, with its version.
    changes: Vec<(u64, Entry)>,
    /// What happens to the next calls, the first first; after them each is answered at once.
    calls: Vec<Call>,
    /// Watches that were opened before this are silent.
    silent_before: Option<Instant>,
    /// When the latest heartbeat was written.
    heartbeat: Option<Instant>,
    /// When a change was first written to a watch, by version.
    told: Vec<(u64, Instant)>,
}

/// The service. Runs until the process ends.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

const HEARTBEAT: Duration = Duration::from_secs(2);

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery {
            addr: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                version: 1,
                entries,
                changes: Vec::new(),
                calls: Vec::new(),
                silent_before: None,
                heartbeat: None,
                told: Vec::new(),
            })),
            record: record.clone(),
        };
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Changes the state of a server; the version of the change.
    pub fn set_state(&self, id: &str, state: &'static str) -> u64 {
        let mut inner = lock(&self.state);
        inner.version += 1;
        let version = inner.version;
        for entry in inner.entries.iter_mut().filter(|entry| entry.id == id) {
            entry.state = state;
        }
        let changed = inner.entries.iter().find(|entry| entry.id == id).cloned();
        inner.changes.extend(changed.map(|entry| (version, entry)));
        inner.entries.retain(|entry| entry.state != "left");
        drop(inner);
        self.record
            .note(format!("discovery: version {version}: {id} is {state}"));
        version
    }

    /// A server has just started anew.
    pub fn restarted(&self, id: &str) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_ms = now.map_or(0, |now| now.as_millis() as u64);
        for entry in lock(&self.state).entries.iter_mut() {
            if entry.id == id {
                entry.started_ms = started_ms;
            }
        }
        self.set_state(id, "active")
    }

    /// What happens to the next calls.
    pub fn order(&self, calls: &[Call]) {
        lock(&self.state).calls = calls.to_vec();
    }

    /// From now on the watches that are open say nothing.
    pub fn silence_open_watches(&self) -> Instant {
        let now = Instant::now();
        lock(&self.state).silent_before = Some(now);
        self.record.note("discovery: all open watches fall silent");
        now
    }

    pub fn last_heartbeat(&self) -> Option<Instant> {
        lock(&self.state).heartbeat
    }

    /// When a change was written to a relay.
    pub fn told(&self, version: u64) -> Option<Instant> {
        let state = lock(&self.state);
        let told = state.told.iter().find(|(told, _)| *told >= version);
        told.map(|(_, at)| *at)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let Err(e) = self.answer(&stream) {
            self.record.note(format!("discovery: a call ended: {e}"));
        }
    }

    fn answer(&self, mut stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let mut request = String::new();
        reader.read_line(&mut request)?;
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? == 0 || header.trim().is_empty() {
                break;
            }
        }
        let call = {
            let mut state = lock(&self.state);
            match state.calls.is_empty() {
                true => Call::Answer(Duration::ZERO),
                false => state.calls.remove(0),
            }
        };
        self.record
            .note(format!("discovery: call {}: {call:?}", request.trim()));
        match call {
            Call::Unavailable(wait) => {
                thread::sleep(wait);
                let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                return stream.write_all(head.as_bytes());
            }
            Call::Answer(wait) => thread::sleep(wait),
        }
        let target = request.split_whitespace().nth(1).unwrap_or_default();
        let after = target
            .split_once("after=")
            .and_then(|(_, version)| version.parse().ok());
        match target.contains("watch=1") {
            true => self.watch(stream, after),
            false => self.whole_list(stream),
        }
    }

    fn whole_list(&self, mut stream: &TcpStream) -> io::Result<()> {
        let (version, entries) = self.snapshot();
        let body = object(version, true, &entries);
        let length = body.len();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(format!("{head}{body}").as_bytes())
    }

    fn snapshot(&self) -> (u64, Vec<Entry>) {
        let state = lock(&self.state);
        (state.version, state.entries.clone())
    }

    fn watch(&self, mut stream: &TcpStream, after: Option<u64>) -> io::Result<()> {
        let opened = Instant::now();
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let (mut known, entries) = self.snapshot();
        let first = match after.filter(|after| *after <= known) {
            Some(after) => object(known, false, &self.changes_after(after)),
            None => object(known, true, &entries),
        };
        write_chunk(stream, &first)?;
        self.record_told(known);
        let mut last_item = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(5));
            let silent = lock(&self.state)
                .silent_before
                .is_some_and(|moment| opened < moment);
            if silent {
                // It stays open for as long as the relay keeps it.
                stream.set_read_timeout(None)?;
                let _ = io::copy(&mut BufReader::new(stream), &mut io::sink());
                return Ok(());
            }
            let version = lock(&self.state).version;
            if version > known {
                write_chunk(stream, &object(version, false, &self.changes_after(known)))?;
                (known, last_item) = (version, Instant::now());
                self.record_told(version);
            } else if last_item.elapsed() >= HEARTBEAT {
                write_chunk(stream, "")?;
                last_item = Instant::now();
                lock(&self.state).heartbeat = Some(last_item);
            }
        }
    }

    fn changes_after(&self, after: u64) -> Vec<Entry> {
        let state = lock(&self.state);
        let later = state.changes.iter().filter(|(version, _)| *version > after);
        later.map(|(_, entry)| entry.clone()).collect()
    }

    fn record_told(&self, version: u64) {
        lock(&self.state).told.push((version, Instant::now()));
        self.record
            .note(format!("discovery: version {version} written to a relay"));
    }
}

/// A list in discovery's form, without a line end.
pub fn object(version: u64, full: bool, entries: &[Entry]) -> String {
    let servers: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        "{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}",
        servers.join(",")
    )
}

fn write_chunk(mut stream: &TcpStream, line: &str) -> io::Result<()> {
    let size = line.len() + 1;
    stream.write_all(format!("{size:x}\r\n{line}\n\r\n").as_bytes())
}
