//! All watches fall silent, and discovery is crowded when the relay calls again: when it stops
//! sending to a server that drains.

use review_2::discovery::{Call, Discovery, Entry};
use review_2::relay::{Folder, Relay, Setup, CHAT};
use review_2::server::Server;
use review_2::{trouble, Client, Numbers, Outcome, Record, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a silent watch misses counts as told at the latest so long after it fell silent.
const TOLD_AFTER: Duration = Duration::from_millis(6000);
/// The grace of the settings, and 50 ms for sockets.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// A call that has waited too long ends with 503; the next one waits in turn and is answered.
const CROWD: [Call; 2] = [
    Call::Unavailable(Duration::from_millis(2200)),
    Call::Answer(Duration::from_millis(1200)),
];
const CLIENTS: u64 = 8;

pub fn run(record: &Record) -> Outcome {
    let servers = (1..=4)
        .map(|n| Server::start(&format!("s-{n}"), record))
        .collect::<Result<Vec<_>, _>>()?;
    let entries: Vec<Entry> = servers
        .iter()
        .map(|server| Entry::active(&server.name, server.addr))
        .collect();
    let discovery = Discovery::start(entries.clone(), record)?;
    let folder = Folder::new("silent-watch")?;
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
    let relay = Relay::start(&setup, &folder, record)?;
    let line = relay.line()?;
    let done = Arc::new(AtomicBool::new(false));
    for n in 0..CLIENTS {
        let done = done.clone();
        thread::spawn(move || usual_client(line, n, &done));
    }
    // It falls silent right after a heartbeat.
    let start = Instant::now();
    while discovery
        .last_heartbeat()
        .is_none_or(|at| at.elapsed() > Duration::from_millis(50))
    {
        thread::sleep(Duration::from_millis(5));
        if start.elapsed() > Duration::from_secs(10) {
            return Ok(Verdict::CouldNotRun);
        }
    }
    let silent = if trouble() {
        discovery.order(&CROWD);
        discovery.silence_open_watches()
    } else {
        Instant::now()
    };
    thread::sleep(Duration::from_millis(100));
    let drained = &servers[1];
    let version = discovery.set_state(&drained.name, "leaving");
    thread::sleep(Duration::from_secs(11));
    done.store(true, Relaxed);
    let written = discovery.told(version);
    let told = written.map_or(silent + TOLD_AFTER, |at| at.min(silent + TOLD_AFTER));
    let late: Vec<f64> = drained
        .arrivals()
        .iter()
        .filter(|arrival| arrival.at > told + GRACE)
        .map(|arrival| (arrival.at - told).as_secs_f64())
        .collect();
    record.say(format!(
        "the change was written {:?} s after the silence; {} requests to {} past the grace, the last {:?} s after it counted as told",
        written.map(|at| (at - silent).as_secs_f64()),
        late.len(),
        drained.name,
        late.last()
    ));
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

fn usual_client(relay: SocketAddr, n: u64, done: &AtomicBool) {
    let mut numbers = Numbers(n << 32);
    while !done.load(Relaxed) {
        let (id, key) = (format!("{:016x}", numbers.draw()), numbers.draw());
        let fields = format!("c=chat,d=2000,g={:016x}", numbers.draw());
        if let Ok(mut client) = Client::open(relay, &id, key, &fields) {
            let _ = client.line(Duration::from_secs(3));
            client.close();
        }
        thread::sleep(Duration::from_millis(100));
    }
}
