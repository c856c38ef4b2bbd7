//! A stand-in for discovery: the list of backends over HTTP/1.1, whole or as a watch on what changes.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// An empty line comes at least so often.
const BEAT: Duration = Duration::from_millis(500);

/// A backend as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Where it is.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// `active` or `leaving`.
    pub state: String,
    /// When it started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

impl Entry {
    /// One that has served for long.
    pub fn active(id: &str, addr: SocketAddr) -> Entry {
        Entry {
            id: id.into(),
            addr,
            zone: "a".into(),
            state: "active".into(),
            started_ms: 0,
        }
    }

    /// As discovery writes it.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "id": self.id, "addr": self.addr.to_string(), "zone": self.zone, "kind": "lab", "cell": 0,
            "state": self.state, "weight": 1.0, "started_ms": self.started_ms,
        })
    }
}

#[derive(Default)]
struct List {
    version: u64,
    entries: BTreeMap<String, (Entry, u64)>,
    /// When each version was first written to a watch.
    told: BTreeMap<u64, Instant>,
}

struct Shared {
    list: Mutex<List>,
    changed: Condvar,
    stop: AtomicBool,
}

/// Discovery; it runs until it is dropped.
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl List {
    fn json(&self, after: u64) -> String {
        // A whole list says of none that it has left: it does not name it.
        let newer = self
            .entries
            .values()
            .filter(|(_, version)| *version > after);
        let newer = newer.filter(|(entry, _)| after > 0 || entry.state != "left");
        let servers: Vec<_> = newer.map(|(entry, _)| entry.json()).collect();
        let (version, full) = (self.version, after == 0);
        serde_json::json!({ "version": version, "full": full, "servers": servers }).to_string()
    }
}

impl Discovery {
    /// Starts it with this list.
    pub fn start(listen: Option<SocketAddr>, entries: &[Entry]) -> io::Result<Discovery> {
        let listener = TcpListener::bind(listen.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()))?;
        let addr = listener.local_addr()?;
        let list = Mutex::new(List {
            version: 1,
            ..List::default()
        });
        let shared = Arc::new(Shared {
            list,
            changed: Condvar::new(),
            stop: AtomicBool::new(false),
        });
        let discovery = Discovery {
            addr,
            shared: shared.clone(),
        };
        entries.iter().for_each(|entry| {
            discovery.set(entry.clone());
        });
        thread::spawn(move || {
            for socket in listener.incoming() {
                if shared.stop.load(Relaxed) {
                    return;
                }
                let (shared, Ok(socket)) = (shared.clone(), socket) else {
                    continue;
                };
                thread::spawn(move || drop(answer(&shared, &socket)));
            }
        });
        Ok(discovery)
    }

    /// Changes or adds an entry; the version of the list with it.
    pub fn set(&self, entry: Entry) -> u64 {
        let mut list = lock(&self.shared.list);
        list.version += 1;
        let version = list.version;
        list.entries.insert(entry.id.clone(), (entry, version));
        self.shared.changed.notify_all();
        version
    }

    /// Changes the state of an entry; the version of the list with it.
    pub fn state(&self, id: &str, state: &str) -> Option<u64> {
        let entry = lock(&self.shared.list)
            .entries
            .get(id)
            .map(|(entry, _)| entry.clone())?;
        Some(self.set(Entry {
            state: state.into(),
            ..entry
        }))
    }

    /// When a version was first told to a relay.
    pub fn told(&self, version: u64) -> Option<Instant> {
        let list = lock(&self.shared.list);
        list.told.range(version..).next().map(|(_, at)| *at)
    }

    /// All entries.
    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.shared.list)
            .entries
            .values()
            .map(|(entry, _)| entry.clone())
            .collect()
    }

    /// Follows a file, a JSON list of entries, whenever it changes; what cannot be read is said and changes
    /// nothing. Blocks for good.
    pub fn follow(&self, file: &Path) -> ! {
        let mut last = String::new();
        loop {
            match std::fs::read_to_string(file) {
                Ok(text) if text != last => {
                    match read_list(&text) {
                        Ok(entries) => {
                            let now = self.entries();
                            for old in now
                                .iter()
                                .filter(|old| !entries.iter().any(|e| e.id == old.id))
                            {
                                self.state(&old.id, "left");
                            }
                            for entry in entries.into_iter().filter(|e| !now.contains(e)) {
                                self.set(entry);
                            }
                        }
                        Err(e) => eprintln!("{}: {e}", file.display()),
                    }
                    last = text;
                }
                Ok(_) => {}
                Err(e) => eprintln!("{}: {e}", file.display()),
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Reads a list of entries: `id` and `addr`, and where they are not the usual ones `zone`, `state` and `started_ms`.
pub fn read_list(text: &str) -> Result<Vec<Entry>, String> {
    let value: serde_json::Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let list = value.as_array().ok_or("is not a list")?;
    let entry = |(n, v): (usize, &serde_json::Value)| {
        let word = |key: &str| v[key].as_str().ok_or(format!("[{n}].{key}: is not a text"));
        Ok(Entry {
            id: word("id")?.into(),
            addr: word("addr")?
                .parse()
                .map_err(|_| format!("[{n}].addr: is not an address and a port"))?,
            zone: v["zone"].as_str().unwrap_or("a").into(),
            state: v["state"].as_str().unwrap_or("active").into(),
            started_ms: v["started_ms"].as_u64().unwrap_or(0),
        })
    };
    list.iter().enumerate().map(entry).collect()
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.shared.stop.store(true, Relaxed);
        self.shared.changed.notify_all();
        let _ = TcpStream::connect(self.addr);
    }
}

fn answer(shared: &Shared, mut socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut lines = BufReader::new(socket).lines();
    let first = lines.next().unwrap_or_else(|| Ok(String::new()))?;
    while lines
        .next()
        .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
    {}
    let target = first.split(' ').nth(1).unwrap_or_default();
    if !target.starts_with("/v1/endpoints") {
        return socket.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    }
    if !target.contains("watch=1") {
        let body = lock(&shared.list).json(0);
        return write!(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
    }
    let after = target
        .split(['?', '&'])
        .find_map(|p| p.strip_prefix("after=")?.parse().ok())
        .unwrap_or(0);
    let mut after: u64 = after;
    socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut list = lock(&shared.list);
    while !shared.stop.load(Relaxed) {
        let text = if list.version > after {
            list.json(after)
        } else {
            String::new()
        };
        let version = list.version;
        drop(list);
        write!(socket, "{:x}\r\n{text}\n\r\n", text.len() + 1)?;
        list = lock(&shared.list);
        if version > after {
            list.told.entry(version).or_insert_with(Instant::now);
            after = version;
        }
        if list.version == after {
            list = shared
                .changed
                .wait_timeout(list, BEAT)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
    Ok(())
}
