//! Bad clients of the line protocol that send on at full speed behind their request, while usual
//! clients open connections.

use review_2::discovery::{Discovery, Entry};
use review_2::relay::{Folder, Relay, Setup, CHAT};
use review_2::server::Server;
use review_2::{lock, trouble, Client, Numbers, Outcome, Record, Verdict};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One bad client is enough; it comes again as soon as it is turned away.
const BAD_CLIENTS: u64 = 1;
/// What each sends behind its request: the size that the pages give for a value.
const BYTES: usize = 60 << 20;
const PLAYED: Duration = Duration::from_secs(30);
/// The usual clients: one after the other.
const PAUSE: Duration = Duration::from_millis(50);
/// The time of a request, and half a second and 50 ms after it.
const LOST_AFTER: Duration = Duration::from_millis(CHAT.deadline_ms as u64 + 550);

pub fn run(record: &Record) -> Outcome {
    let servers = [Server::start("s-1", record)?, Server::start("s-2", record)?];
    let entries: Vec<Entry> = servers
        .iter()
        .map(|server| Entry::active(&server.name, server.addr))
        .collect();
    let discovery = Discovery::start(entries.clone(), record)?;
    let folder = Folder::new("sent-on")?;
    let setup = Setup {
        discovery: discovery.addr,
        known: entries,
        classes: vec![CHAT],
        max_attempts: 6,
        memory_mb: 192,
        me: 0,
        peers: 3,
        operator: None,
    };
    let mut relay = Relay::start(&setup, &folder, record)?;
    let line = relay.line()?;
    thread::sleep(Duration::from_secs(1));
    let done = Arc::new(AtomicBool::new(false));
    // Connections that are up when the bad clients come.
    let mut standing = Vec::new();
    for n in 0..20u64 {
        let mut client = Client::open(line, &format!("standing{n}"), n + 1, "c=chat,d=2000")?;
        let answer = client.line(LOST_AFTER)?;
        record.note(format!("client standing{n}: {answer}"));
        standing.push(client);
    }
    let (answered, lost) = (
        Arc::new(AtomicU64::new(0)),
        Arc::<Mutex<Vec<String>>>::default(),
    );
    {
        let (done, answered, lost, record) =
            (done.clone(), answered.clone(), lost.clone(), record.clone());
        thread::spawn(move || usual_clients(line, &done, &answered, &lost, &record));
    }
    thread::sleep(Duration::from_secs(2));
    for n in 0..BAD_CLIENTS {
        let (done, record) = (done.clone(), record.clone());
        thread::spawn(move || bad_client(line, n, &done, &record));
    }
    let start = Instant::now();
    while start.elapsed() < PLAYED && !relay.has_ended() {
        thread::sleep(Duration::from_millis(20));
    }
    let ended = relay.has_ended();
    let after = start.elapsed();
    done.store(true, Relaxed);
    thread::sleep(LOST_AFTER);
    let mut cut_off = 0;
    for client in &mut standing {
        let alive = client.send("still there?").is_ok()
            && client
                .line(Duration::from_secs(2))
                .is_ok_and(|line| !line.is_empty());
        cut_off += usize::from(!alive);
    }
    let lost = lock(&lost);
    record.say(format!(
        "the relay has ended: {ended}, after {after:?}; {} usual requests answered, {} lost; {cut_off} of {} standing connections cut off",
        answered.load(Relaxed),
        lost.len(),
        standing.len()
    ));
    Ok(match ended || !lost.is_empty() || cut_off > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn usual_clients(
    relay: SocketAddr,
    done: &AtomicBool,
    answered: &AtomicU64,
    lost: &Mutex<Vec<String>>,
    record: &Record,
) {
    let mut numbers = Numbers(1);
    while !done.load(Relaxed) {
        let (id, key) = (format!("{:016x}", numbers.draw()), numbers.draw());
        let Ok(mut client) = Client::open(relay, &id, key, "c=chat,d=2000") else {
            // Refused: nothing was taken.
            thread::sleep(PAUSE);
            continue;
        };
        match client.line(LOST_AFTER) {
            Ok(answer) if !answer.is_empty() => drop(answered.fetch_add(1, Relaxed)),
            other => {
                record.note(format!("usual client {id}: lost: {other:?}"));
                lock(lost).push(id);
            }
        }
        client.close();
        thread::sleep(PAUSE);
    }
}

/// Sends a request and, behind it, lines without pause; reads what comes, and comes again.
fn bad_client(relay: SocketAddr, n: u64, done: &AtomicBool, record: &Record) {
    let mut numbers = Numbers((n + 1) << 40);
    let block = "a\r\n".repeat(40_000);
    let length = if trouble() { BYTES } else { 0 };
    while !done.load(Relaxed) {
        let Ok(mut stream) = TcpStream::connect(relay) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
        let line = format!("OPEN {:016x} 7f c=chat,d=1200,x=", numbers.draw());
        let padding = "y".repeat(510 - line.len());
        let mut text = format!("{line}{padding}\r\n");
        if length > 0 {
            text += &block;
        }
        if let Ok(mut input) = stream.try_clone() {
            let record = record.clone();
            thread::spawn(move || {
                let mut answer = [0; 64];
                let n = input.read(&mut answer).unwrap_or(0);
                record.note(format!(
                    "bad client: answered {:?}",
                    String::from_utf8_lossy(&answer[..n])
                ));
            });
        }
        let mut sent = 0;
        let mut result = stream.write_all(text.as_bytes());
        while sent < length && result.is_ok() && !done.load(Relaxed) {
            result = stream.write_all(block.as_bytes());
            sent += block.len();
        }
        if length == 0 {
            thread::sleep(Duration::from_millis(100));
        }
        let _ = stream.shutdown(Shutdown::Both);
    }
}
