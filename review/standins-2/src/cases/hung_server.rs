//! XMPP sessions whose server hangs: whether they are ended or moved.

use review_2::discovery::{Discovery, Entry};
use review_2::relay::{Folder, Relay, Setup, CHAT};
use review_2::tls::header;
use review_2::xmpp::{self, Manner, Server, Session};
use review_2::{lock, trouble, Outcome, Record, Verdict};
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;
/// Clients send every 2 s.
const PAUSE: Duration = Duration::from_secs(2);
/// A connection that brings nothing back for 7 s has to be ended or moved; sockets add 50 ms.
const LIMIT: Duration = Duration::from_millis(7_050);
const PLAYED: Duration = Duration::from_secs(45);
const HANGS_AFTER: Duration = Duration::from_secs(6);
/// A user, as PLAIN names it, in base64.
const USER: &str = "AHUwAHUw";

/// How a session went.
struct Seen {
    answers: usize,
    /// The longest time for which nothing came back while the session was kept.
    silent: Duration,
    ended: Option<Duration>,
}

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
    let folder = Folder::new("hung-server")?;
    let setup = Setup {
        discovery: discovery.addr,
        known: entries,
        classes: vec![CHAT],
        max_attempts: 4,
        memory_mb: 192,
        me: 0,
        peers: 3,
        operator: Some(xmpp::operator(&folder, CHAT.name)?),
    };
    let relay = Relay::start(&setup, &folder, record)?;
    let front = relay.address(xmpp::LOG_WORDS).ok_or("no XMPP address")?;
    thread::sleep(Duration::from_secs(1));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (seen, record) = (seen.clone(), record.clone());
            thread::spawn(move || match Session::connect(front) {
                Ok(session) => {
                    let played = play(session, n, start, &record);
                    lock(&seen).extend(played);
                }
                Err(e) => record.note(format!("client {n}: {e}")),
            })
        })
        .collect();
    thread::sleep(HANGS_AFTER);
    if trouble() {
        let most = servers.iter().max_by_key(|server| server.runs().len());
        most.iter().for_each(|server| server.hang());
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let seen = lock(&seen);
    let kept: Vec<&Seen> = seen.iter().filter(|seen| seen.silent > LIMIT).collect();
    for session in seen.iter() {
        let Seen {
            answers,
            silent,
            ended,
        } = session;
        record.note(format!(
            "{answers} answers, silent for {silent:?}, ended: {ended:?}"
        ));
    }
    let longest = kept
        .iter()
        .map(|seen| seen.silent)
        .max()
        .unwrap_or_default();
    record.say(format!(
        "{} sessions, {} of them kept for more than {LIMIT:?} without an answer, the longest for {longest:?}",
        seen.len(),
        kept.len()
    ));
    Ok(match (seen.len(), kept.len()) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// A client that sends a ping every 2 s.
fn play(mut session: Session, n: usize, start: Instant, record: &Record) -> Option<Seen> {
    let answer = session.authenticate(USER, Duration::from_secs(5)).ok()?;
    record.note(format!("client {n}: {answer}"));
    if !answer.contains("<success") {
        return None;
    }
    session.send(&header("")).ok()?;
    session.read(Duration::from_secs(2)).ok()?;
    let (mut seen, mut heard, mut sent) = (
        Seen {
            answers: 0,
            silent: Duration::ZERO,
            ended: None,
        },
        Instant::now(),
        0,
    );
    let mut next = Instant::now();
    while start.elapsed() < PLAYED {
        if Instant::now() >= next {
            next += PAUSE;
            sent += 1;
            let ping = format!("<iq type='get' id='{n}-{sent}'><ping xmlns='urn:xmpp:ping'/></iq>");
            record.note(format!("client {n}: sends {n}-{sent}"));
            if session.send(&ping).is_err() {
                break;
            }
        }
        match session.read(Duration::from_millis(100)) {
            Ok(text) if text.is_empty() || text.contains("</stream:stream>") => {
                record.note(format!("client {n}: the stream ends: {text}"));
                seen.ended = Some(heard.elapsed());
                break;
            }
            Ok(_) => {
                seen.silent = seen.silent.max(heard.elapsed());
                (heard, seen.answers) = (Instant::now(), seen.answers + 1);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => {
                record.note(format!("client {n}: {e}"));
                seen.ended = Some(heard.elapsed());
                break;
            }
        }
    }
    seen.silent = seen.silent.max(heard.elapsed());
    Some(seen)
}
