//! Requests of an unsafe class through the XMPP front, while a server that has taken a request begins
//! to drain and sends its client away.

use review_2::discovery::{Discovery, Entry};
use review_2::relay::{Class, Folder, Relay, Setup};
use review_2::xmpp::{self, Manner, Server, Session};
use review_2::{trouble, Outcome, Record, Verdict};
use std::thread;
use std::time::Duration;

/// How long a server takes to check who asks.
const CHECK: Duration = Duration::from_millis(150);
/// When the server begins to drain, after the clients have begun to ask.
const DRAINS_AFTER: Duration = Duration::from_millis(80);
/// How late the list is.
const LIST_IS_LATE: Duration = Duration::from_millis(1500);
const UNSAFE: Class = Class {
    name: "shift-fix",
    deadline_ms: 3000,
    goal_ms: 500,
    idempotency: "unsafe",
    window_ms: 5000,
};
/// Users, as PLAIN names them: `\0u0\0u0` and so on, in base64.
const USERS: [&str; 10] = [
    "AHUwAHUw", "AHUxAHUx", "AHUyAHUy", "AHUzAHUz", "AHU0AHU0", "AHU1AHU1", "AHU2AHU2", "AHU3AHU3",
    "AHU4AHU4", "AHU5AHU5",
];

pub fn run(record: &Record) -> Outcome {
    let servers = [
        Server::start("s-1", Manner::Checks(CHECK), record)?,
        Server::start("s-2", Manner::Checks(CHECK), record)?,
    ];
    let entries: Vec<Entry> = servers
        .iter()
        .map(|server| Entry::active(&server.name, server.addr))
        .collect();
    let discovery = Discovery::start(entries.clone(), record)?;
    let folder = Folder::new("sent-away")?;
    let setup = Setup {
        discovery: discovery.addr,
        known: entries,
        classes: vec![UNSAFE],
        max_attempts: 6,
        memory_mb: 192,
        me: 0,
        peers: 3,
        operator: Some(xmpp::operator(&folder, UNSAFE.name)?),
    };
    let relay = Relay::start(&setup, &folder, record)?;
    let front = relay.address(xmpp::LOG_WORDS).ok_or("no XMPP address")?;
    thread::sleep(Duration::from_secs(1));
    // The first client shows which server is the home of the group.
    let mut first = Session::connect(front)?;
    first.authenticate(USERS[0], Duration::from_secs(5))?;
    let home = usize::from(servers[1].runs().len() > servers[0].runs().len());
    let before = [servers[0].runs().len(), servers[1].runs().len()];
    let mut sessions = Vec::new();
    for _ in &USERS[1..] {
        sessions.push(Session::connect(front)?);
    }
    let clients: Vec<_> = sessions
        .into_iter()
        .zip(&USERS[1..])
        .enumerate()
        .map(|(n, (mut session, user))| {
            let record = record.clone();
            thread::spawn(move || {
                record.note(format!("client {n}: asks for a session"));
                let answer = session.authenticate(user, Duration::from_secs(5));
                record.note(format!("client {n}: {answer:?}"));
                answer.is_ok_and(|answer| answer.contains("<success"))
            })
        })
        .collect();
    if trouble() {
        thread::sleep(DRAINS_AFTER);
        servers[home].drain();
        thread::sleep(LIST_IS_LATE);
        discovery.set_state(&servers[home].name, "leaving");
    }
    let asked = clients.len();
    let served = clients.into_iter().filter_map(|client| client.join().ok());
    let served = served.filter(|served| *served).count();
    let runs = [0, 1].map(|server| servers[server].runs().len() - before[server]);
    record.say(format!(
        "{asked} requests, {served} of them served; {} have come whole to s-1, {} to s-2",
        runs[0], runs[1]
    ));
    Ok(match (served, runs[0] + runs[1] > asked) {
        (_, true) => Verdict::Broken,
        (0, _) if !trouble() => Verdict::CouldNotRun,
        _ => Verdict::Held,
    })
}
