//! A backend that joined after the relay's start begins to drain, and the relay is upgraded.

use crate::kit::*;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 40;
/// How long discovery takes to answer a call.
const SLOW_MS: u64 = 500;
/// How long the draining backend keeps its connections.
const DRAIN: Duration = Duration::from_secs(10);

/// What a client has seen.
#[derive(Clone, Debug, Default)]
struct Seen {
    backend: String,
    moved_at: Option<f64>,
    ended_at: Option<f64>,
}

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let scratch = scratch()?;
    let backends = [
        Backend::start(&record, "s-1")?,
        Backend::start(&record, "s-2")?,
        Backend::start(&record, "s-3")?,
    ];
    let known = backends[..2].iter().map(|b| b.entry("active")).collect();
    let discovery = Discovery::start(&record, known)?;
    let file = scratch.join("config.json");
    std::fs::write(&file, config(&discovery, 512, &discovery.known()))?;
    let held = TcpListener::bind("127.0.0.1:0")?;
    let mut old = Relay::start(&record, "old", &file, &scratch, Some(&held), "")?;
    old.await_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_millis(500));
    discovery.change(backends[2].entry("active"));
    thread::sleep(Duration::from_millis(500));
    // From now on discovery is slow: it answers a call after this time.
    discovery.answers_after.store(SLOW_MS, SeqCst);

    let over = Arc::new(AtomicBool::new(false));
    let seen = Arc::new(Mutex::new(BTreeMap::<usize, Seen>::new()));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (over, seen, record, addr) = (over.clone(), seen.clone(), record.clone(), old.clients);
        clients.push(thread::spawn(move || {
            let Ok(mut client) = Client::connect(addr, Duration::from_secs(2)) else {
                return;
            };
            let id = format!("c{n}");
            let line = format!("OPEN {id} {:x} c=check-in,d=2000", 0x9e37_79b9 * (n + 1));
            if client.send(&line).is_err() {
                return;
            }
            let Got::Line(up) = client.line(Instant::now() + Duration::from_secs(3)) else {
                return;
            };
            record.line(format!("{id}: {up}"));
            if let Some(receipt) = up.strip_prefix("UP ") {
                let backend = receipt[..3].to_string();
                seen.lock().unwrap().insert(
                    n,
                    Seen {
                        backend,
                        ..Seen::default()
                    },
                );
            }
            while !over.load(SeqCst) {
                // A line every 2 s, which comes back at once.
                let sent = client.send(&format!("M {n}")).is_ok();
                let next = Instant::now() + Duration::from_secs(2);
                loop {
                    match client.line(next) {
                        Got::Line(line) if line == "MOVE" => {
                            record.line(format!("{id}: MOVE"));
                            seen.lock().unwrap().entry(n).or_default().moved_at =
                                Some(record.now());
                        }
                        Got::Line(_) => {}
                        Got::Nothing => break,
                        Got::End => {
                            record.line(format!("{id}: end of the connection"));
                            seen.lock().unwrap().entry(n).or_default().ended_at =
                                Some(record.now());
                            return;
                        }
                    }
                    if over.load(SeqCst) {
                        return;
                    }
                }
                if !sent {
                    return;
                }
            }
        }));
    }
    thread::sleep(Duration::from_millis(1500));
    let at_s3 = seen
        .lock()
        .unwrap()
        .values()
        .filter(|s| s.backend == "s-3")
        .count();
    record.say(format!("{at_s3} of {CLIENTS} connections stand at s-3"));
    if at_s3 < 3 {
        return Err(io::Error::other("too few connections stand at s-3"));
    }

    // The drain, told on the open watch; then the upgrade.
    discovery.change(backends[2].entry("leaving"));
    let told = Instant::now();
    thread::sleep(Duration::from_millis(100));
    let mut new = None;
    if trouble {
        let process = Relay::start(&record, "new", &file, &scratch, Some(&held), "")?;
        process.await_ready(Duration::from_secs(6))?;
        old.signal("TERM");
        new = Some(process);
    }
    thread::sleep((told + DRAIN).saturating_duration_since(Instant::now()));
    let standing = {
        let seen = seen.lock().unwrap();
        let still = seen
            .iter()
            .filter(|(_, s)| s.backend == "s-3" && s.moved_at.is_none());
        still.map(|(n, _)| format!("c{n}")).collect::<Vec<_>>()
    };
    record.line("s-3: leaves and ends what it still has");
    backends[2].end_all();
    thread::sleep(Duration::from_millis(500));
    over.store(true, SeqCst);
    if trouble && !old.ended(Instant::now()) {
        record.line("old: has not ended");
    }
    for process in [Some(&old), new.as_ref()].into_iter().flatten() {
        let text = process.log_text();
        let lines = text
            .lines()
            .filter(|l| l.contains("discovery: version") || l.contains("taken over"));
        lines.for_each(|line| record.line(format!("log: {line}")));
    }
    record.say(format!(
        "{} of {at_s3} clients of s-3 were not told to move in {} s: {standing:?}",
        standing.len(),
        DRAIN.as_secs()
    ));
    Ok(standing.is_empty())
}
