//! Bad clients that send lines without end at full speed, beside usual clients.

use crate::kit::*;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the relay may hold, the least that the pages name.
const SOCKETS: u32 = 256;
/// What a bad client sends in one line.
const ENDLESS: usize = 60_000_000;
const USUAL_CLIENTS: usize = 50;
const INTERVAL: Duration = Duration::from_millis(200);
/// Half a second in which an answer only earns nothing, and the 50 ms of limits on sockets.
const LATE: Duration = Duration::from_millis(550);

/// One of the two parts of the play.
struct Part {
    name: &'static str,
    /// Whether the platform holds the clients' listening socket.
    is_held: bool,
    bad_clients: usize,
    /// How long a usual client waits for its answer (`d`), in milliseconds.
    deadline_ms: u64,
}

const PARTS: [Part; 2] = [
    Part {
        name: "held socket",
        is_held: true,
        bad_clients: 64,
        deadline_ms: 2_000,
    },
    Part {
        name: "own socket",
        is_held: false,
        bad_clients: 160,
        deadline_ms: 1_200,
    },
];

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let mut has_held = true;
    for part in &PARTS {
        record.line(format!("== {}", part.name));
        has_held &= play_part(part, &record, trouble)?;
    }
    Ok(has_held)
}

/// Plays one part: whether the rule held.
fn play_part(part: &Part, record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let scratch = scratch()?;
    let backends = [
        Backend::start(record, "s-1")?,
        Backend::start(record, "s-2")?,
    ];
    let entries = backends.iter().map(|b| b.entry("active")).collect();
    let discovery = Discovery::start(record, entries)?;
    let file = scratch.join("config.json");
    std::fs::write(&file, config(&discovery, SOCKETS, &discovery.known()))?;
    let held = match part.is_held {
        true => Some(TcpListener::bind("127.0.0.1:0")?),
        false => None,
    };
    let mut relay = Relay::start(record, "n1", &file, &scratch, held.as_ref(), "")?;
    relay.await_ready(Duration::from_secs(10))?;

    let over = Arc::new(AtomicBool::new(false));
    let tries = Arc::new(AtomicUsize::new(0));
    let bad_clients = if trouble { part.bad_clients } else { 0 };
    for n in 0..bad_clients {
        let (over, tries, addr) = (over.clone(), tries.clone(), relay.clients);
        let record = record.clone();
        thread::spawn(move || {
            for turn in 0.. {
                if over.load(SeqCst) {
                    return;
                }
                let answer = endless_line(addr, &format!("bad{n}x{turn}"));
                tries.fetch_add(1, SeqCst);
                record.line(format!("bad{n}x{turn}: {answer}"));
            }
        });
    }
    thread::sleep(Duration::from_secs(4));

    let outcomes = Arc::new(Mutex::new(BTreeMap::<&str, usize>::new()));
    let mut usual = Vec::new();
    for n in 0..USUAL_CLIENTS {
        let (addr, shared, outcomes) = (relay.clients, record.clone(), outcomes.clone());
        let deadline = Duration::from_millis(part.deadline_ms);
        usual.push(thread::spawn(move || {
            let outcome = usual_client(addr, n, deadline, &shared);
            *outcomes.lock().unwrap().entry(outcome).or_default() += 1;
        }));
        thread::sleep(INTERVAL);
        if n % 10 == 0 {
            record.line(format!("n1: has {} descriptors open", relay.descriptors()));
        }
    }
    usual.into_iter().for_each(|client| client.join().unwrap());
    over.store(true, SeqCst);
    if relay.ended(Instant::now()) {
        record.say(format!("{}: the relay has ended", part.name));
        return Ok(false);
    }
    let outcomes = outcomes.lock().unwrap();
    record.say(format!(
        "{}, {bad_clients} bad clients ({} tries), {USUAL_CLIENTS} usual ones: {outcomes:?}",
        part.name,
        tries.load(SeqCst)
    ));
    Ok(!outcomes.contains_key("lost"))
}

/// Sends a line of 60 MB at full speed, and reads what it is sent, until the relay ends the
/// connection. Returns the answer.
fn endless_line(addr: SocketAddr, id: &str) -> String {
    let began = Instant::now();
    let Ok(mut client) = Client::connect(addr, Duration::from_secs(5)) else {
        return "could not connect".into();
    };
    let Ok(mut sending) = client.stream.try_clone() else {
        return "has no descriptor".into();
    };
    let first = format!("OPEN {id} 7f c=check-in,d=2000,g=");
    let sender = thread::spawn(move || {
        let chunk = vec![b'5'; 65_536];
        let mut sent = sending.write_all(first.as_bytes()).map_or(ENDLESS, |()| 0);
        while sent < ENDLESS && sending.write_all(&chunk).is_ok() {
            sent += chunk.len();
        }
    });
    let got = client.line(began + Duration::from_secs(20));
    let ms = began.elapsed().as_millis();
    let _ = sender.join();
    format!("{got:?} after {ms} ms")
}

/// One usual client: what became of its request.
fn usual_client(addr: SocketAddr, n: usize, deadline: Duration, record: &Record) -> &'static str {
    let id = format!("c{n}");
    let Ok(mut client) = Client::connect(addr, deadline) else {
        record.line(format!("{id}: could not connect"));
        return "could not connect";
    };
    let (key, group, d) = (0x9e37_79b9 + n, 1 + n % 5, deadline.as_millis());
    let line = format!("OPEN {id} {key:x} c=check-in,d={d},g={group:x}");
    if client.send(&line).is_err() {
        record.line(format!("{id}: its connection was closed unread"));
        return "closed unread";
    }
    let sent = Instant::now();
    record.line(format!("{id}: {line}"));
    let got = client.line(sent + deadline + LATE);
    let took = sent.elapsed();
    record.line(format!("{id}: {got:?} after {} ms", took.as_millis()));
    match got {
        Got::Line(_) if took <= deadline => "answered in time",
        Got::Line(_) => "answered up to half a second late",
        // New connections may be shut unread where clients fill the descriptors.
        Got::End => "closed unread",
        Got::Nothing => "lost",
    }
}
