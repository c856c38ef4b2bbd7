//! A request of a class with idempotency keys, through the XMPP front: one server hangs with the
//! request, the next one is slow to open its stream.

use review_2::discovery::{Discovery, Entry};
use review_2::relay::{Class, Folder, Relay, Setup};
use review_2::xmpp::{self, Manner, Server, Session};
use review_2::{trouble, Outcome, Record, Verdict};
use std::thread;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_millis(1000);
/// Every time limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
const SLOW: Duration = Duration::from_millis(1200);
const KEYED: Class = Class {
    name: "shift-fix",
    deadline_ms: 3000,
    goal_ms: 500,
    idempotency: "keyed",
    window_ms: 1000,
};
/// Users, as PLAIN names them: `\0u0\0u0` and so on, in base64.
const USERS: [&str; 10] = [
    "AHUwAHUw", "AHUxAHUx", "AHUyAHUy", "AHUzAHUz", "AHU0AHU0", "AHU1AHU1", "AHU2AHU2", "AHU3AHU3",
    "AHU4AHU4", "AHU5AHU5",
];

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
    let folder = Folder::new("keyed-window")?;
    let setup = Setup {
        discovery: discovery.addr,
        known: entries,
        classes: vec![KEYED],
        max_attempts: 2,
        memory_mb: 192,
        me: 0,
        peers: 3,
        operator: Some(xmpp::operator(&folder, KEYED.name)?),
    };
    let relay = Relay::start(&setup, &folder, record)?;
    let front = relay.address(xmpp::LOG_WORDS).ok_or("no XMPP address")?;
    thread::sleep(Duration::from_secs(1));
    // The first client shows which server is the home of the group.
    let mut first = Session::connect(front)?;
    first.authenticate(USERS[0], Duration::from_secs(5))?;
    let home = usize::from(servers[1].runs().len() > servers[0].runs().len());
    let (home, other) = (&servers[home], &servers[1 - home]);
    if trouble() {
        home.turn(Manner::Hangs);
        other.turn(Manner::Slow(SLOW));
    }
    let (mut served, mut repeated, mut late) = (0, 0, 0);
    for (n, user) in USERS[1..].iter().enumerate() {
        let before = (home.runs().len(), other.runs().len());
        let mut session = Session::connect(front)?;
        record.note(format!("client {n}: asks for a session"));
        let asked = Instant::now();
        let answer = session.authenticate(user, Duration::from_secs(5));
        record.note(format!(
            "client {n}: {answer:?} after {:?}",
            asked.elapsed()
        ));
        served += usize::from(answer.is_ok_and(|answer| answer.contains("<success")));
        drop(session);
        thread::sleep(Duration::from_millis(300));
        let first_send = home.runs().get(before.0).copied();
        let second_send = other.runs().get(before.1).copied();
        let (Some(first), Some(second)) = (first_send, second_send) else {
            continue;
        };
        // The other order, first to the slow server, is no repetition: it was given up unsent.
        if second < first {
            continue;
        }
        repeated += 1;
        let apart = second - first;
        let is_late = apart > WINDOW + SLACK;
        late += usize::from(is_late);
        record.say(format!(
            "client {n}: sent to {}, and {apart:?} later to {}; the window is {WINDOW:?}",
            home.name, other.name
        ));
    }
    record.say(format!(
        "{served} requests served, {repeated} sent twice, {late} of them past the window"
    ));
    Ok(match (served, late) {
        (0, 0) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}
