//! A fleet of thirty relays: operators take a server out by hand, restart it, and call it back.

use review_2::discovery::{Discovery, Entry};
use review_2::relay::{Folder, Relay, Setup, CHAT};
use review_2::server::Server;
use review_2::{lock, trouble, Client, Numbers, Outcome, Record, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RELAYS: u32 = 30;
const SERVERS: usize = 10;
/// The pause between two clients of a relay: 15 a second in all, of the 25 that ten servers take.
const PAUSE: Duration = Duration::from_millis(2000);
/// The settings' span, over which the calls of a cold server are counted.
const SPAN: Duration = Duration::from_millis(3000);
const FACTOR: f64 = 2.5;
const START: f64 = 0.13;
const WARM_S: f64 = 23.0;
/// New connections a second of mean work that the server can take once it is warm: that of the kind
/// `fast-4` in the middle of the brief's figures, 4 cores of speed 1.5, 17 connections to a core,
/// each of 40 s.
const FULL_PER_S: f64 = 4.0 * 1.5 * 17.0 / 40.0;
/// The same with the figure of each range that gives the most: told beside it, and not judged.
const MOST_PER_S: f64 = 4.0 * 1.7 * 22.0 / 28.0;
const WATCHED: Duration = Duration::from_secs(8);

pub fn run(record: &Record) -> Outcome {
    let servers = (1..=SERVERS)
        .map(|n| Server::start(&format!("s-{n}"), record))
        .collect::<Result<Vec<_>, _>>()?;
    let entries: Vec<Entry> = servers
        .iter()
        .map(|server| Entry::active(&server.name, server.addr))
        .collect();
    let discovery = Discovery::start(entries.clone(), record)?;
    let folder = Folder::new("called-back")?;
    let mut relays = Vec::new();
    for me in 0..RELAYS {
        let setup = Setup {
            discovery: discovery.addr,
            known: entries.clone(),
            classes: vec![CHAT],
            max_attempts: 6,
            memory_mb: 192,
            me,
            peers: RELAYS,
            operator: None,
        };
        let own = folder.inner(&format!("n{me}"))?;
        relays.push((Relay::start(&setup, &own, record)?, own));
    }
    let done = Arc::new(AtomicBool::new(false));
    let open: Arc<Mutex<Vec<Client>>> = Arc::default();
    for (n, (relay, _)) in relays.iter().enumerate() {
        let (line, done, open) = (relay.line()?, done.clone(), open.clone());
        thread::spawn(move || usual_clients(line, n as u64, &done, &open));
    }
    thread::sleep(Duration::from_secs(10));
    let returning = &servers[0];
    let path = |verb: &str| format!("/control/backends/{}/{verb}", returning.name);
    if trouble() {
        call_all(&relays, &path("offline"), record)?;
        thread::sleep(Duration::from_secs(3));
    }
    let restarted = match trouble() {
        true => returning.restart(),
        false => Instant::now(),
    };
    if trouble() {
        discovery.restarted(&returning.name);
        thread::sleep(Duration::from_millis(500));
        call_all(&relays, &path("online"), record)?;
    }
    thread::sleep(WATCHED);
    done.store(true, Relaxed);
    let ages: Vec<f64> = returning
        .arrivals()
        .iter()
        .filter(|arrival| arrival.at > restarted)
        .map(|arrival| (arrival.at - restarted).as_secs_f64())
        .collect();
    let all: usize = servers.iter().map(|server| server.arrivals().len()).sum();
    record.say(format!(
        "{all} requests in all, {} to {} in the {WATCHED:?} after it was called back",
        ages.len(),
        returning.name
    ));
    if !trouble() {
        // Nothing is cold.
        return Ok(if all > 0 {
            Verdict::Held
        } else {
            Verdict::CouldNotRun
        });
    }
    Ok(match most_above_budget(&ages, record) {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Whether some span has more requests than the budget at its end.
fn most_above_budget(ages: &[f64], record: &Record) -> bool {
    let span = SPAN.as_secs_f64();
    let mut broken = false;
    for (n, end) in ages.iter().enumerate() {
        let count = ages[..=n].iter().filter(|age| **age > end - span).count();
        let warm = (START + (1.0 - START) * end / WARM_S).min(1.0);
        let budget_of = |full_per_s: f64| {
            let allowed = FACTOR * full_per_s * warm * span;
            // Under 30 calls; with more the budget would be smaller than this.
            (allowed, allowed + 3.0 * allowed.sqrt() + 3.0)
        };
        let ((allowed, budget), (_, most)) = (budget_of(FULL_PER_S), budget_of(MOST_PER_S));
        record.note(format!(
            "{end:.3} s after its start: {count} requests within {span} s; N is {allowed:.1}, the \
             budget {budget:.1} (of the largest server {most:.1})"
        ));
        if count as f64 > budget && !std::mem::replace(&mut broken, true) {
            record.say(format!(
                "{end:.3} s after its start the server has been sent {count} requests within {span} s; the budget is {budget:.1}: it falls"
            ));
        }
    }
    broken
}

fn call_all(relays: &[(Relay, Folder)], path: &str, record: &Record) -> Outcome {
    for (n, (relay, _)) in relays.iter().enumerate() {
        let status = relay.call("POST", path)?;
        record.note(format!("operator: relay {n}: POST {path}: {status}"));
        if status != 200 {
            return Err(format!("POST {path}: {status}").into());
        }
    }
    Ok(Verdict::Held)
}

/// Opens connections through one relay, and keeps them.
fn usual_clients(relay: SocketAddr, n: u64, done: &AtomicBool, open: &Mutex<Vec<Client>>) {
    let mut numbers = Numbers(n << 32);
    thread::sleep(PAUSE * (n as u32) / RELAYS);
    while !done.load(Relaxed) {
        let (id, key) = (format!("{:016x}", numbers.draw()), numbers.draw());
        let fields = format!("c=chat,d=2000,g={:016x}", 1 + numbers.draw() % 40);
        if let Ok(mut client) = Client::open(relay, &id, key, &fields) {
            if client
                .line(Duration::from_secs(3))
                .is_ok_and(|line| line.starts_with("UP "))
            {
                lock(open).push(client);
            }
        }
        thread::sleep(PAUSE);
    }
}
