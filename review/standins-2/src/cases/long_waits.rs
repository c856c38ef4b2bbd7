//! Clients that would wait for an hour and leave at once: the memory of the relay.

use review_2::discovery::{Discovery, Entry};
use review_2::relay::{Folder, Relay, Setup, CHAT};
use review_2::xmpp::{self, Manner, Server};
use review_2::{ping, trouble, Numbers, Outcome, Record, Verdict};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 32;
/// Usual sessions at the XMPP front.
const SESSIONS: usize = 300;
const SENDERS: u64 = 6;
const PLAYED: Duration = Duration::from_secs(100);
/// The wait that the bad clients ask for, in milliseconds: an hour, and that of usual clients.
const HOUR: u32 = 3_600_000;

pub fn run(record: &Record) -> Outcome {
    let servers = [
        Server::start("s-1", Manner::Sound, record)?,
        Server::start("s-2", Manner::Sound, record)?,
    ];
    let entries: Vec<Entry> = servers
        .iter()
        .map(|server| Entry::active(&server.name, server.addr))
        .collect();
    let discovery = Discovery::start(entries.clone(), record)?;
    let folder = Folder::new("long-waits")?;
    let setup = Setup {
        discovery: discovery.addr,
        known: entries,
        classes: vec![CHAT],
        max_attempts: 6,
        memory_mb: MEMORY_MB,
        me: 0,
        peers: 3,
        operator: Some(xmpp::operator(&folder, CHAT.name)?),
    };
    let mut relay = Relay::start(&setup, &folder, record)?;
    let line = relay.line()?;
    let front = relay.address(xmpp::LOG_WORDS).ok_or("no XMPP address")?;
    thread::sleep(Duration::from_secs(1));
    let sessions = xmpp::usual_sessions(front, SESSIONS, record)?;
    if sessions.len() < SESSIONS * 9 / 10 {
        return Ok(Verdict::CouldNotRun);
    }
    let usual = relay.memory_mb().unwrap_or(0.0);
    record.say(format!(
        "{} usual sessions: the relay holds {usual:.1} MB",
        sessions.len()
    ));
    let wait = if trouble() { HOUR } else { CHAT.deadline_ms };
    let (done, count) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    for n in 0..SENDERS {
        let (done, count) = (done.clone(), count.clone());
        thread::spawn(move || send_and_leave(line, n, wait, &done, &count));
    }
    let start = Instant::now();
    let mut most: f64 = 0.0;
    let mut broken = false;
    while start.elapsed() < PLAYED && !broken {
        thread::sleep(Duration::from_secs(1));
        let memory = relay.memory_mb().unwrap_or(0.0);
        most = most.max(memory);
        let answered = ping(line, Duration::from_secs(5));
        record.note(format!(
            "{} requests sent; the relay holds {memory:.1} MB; PING answered: {answered:?}",
            count.load(Relaxed)
        ));
        broken = relay.has_ended() || memory > f64::from(MEMORY_MB);
    }
    done.store(true, Relaxed);
    record.say(format!(
        "{} requests that wait {wait} ms; at most {most:.1} MB of {MEMORY_MB} MB",
        count.load(Relaxed)
    ));
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests at full speed and leaves at once, without reading.
fn send_and_leave(relay: SocketAddr, n: u64, wait: u32, done: &AtomicBool, count: &AtomicU64) {
    let mut numbers = Numbers(n << 40);
    while !done.load(Relaxed) {
        let id = numbers.draw();
        let Ok(mut stream) = TcpStream::connect(relay) else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let line = format!("OPEN {id:016x} {:016x} c=chat,d={wait}\r\n", numbers.draw());
        if stream.write_all(line.as_bytes()).is_ok() {
            count.fetch_add(1, Relaxed);
        }
        // It leaves, and sees the relay close before it comes again.
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let _ = stream.read(&mut [0; 64]);
    }
}
