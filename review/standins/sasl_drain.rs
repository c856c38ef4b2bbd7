//! An XMPP server begins to drain and ends the streams that are in the middle of SASL.

use crate::kit::*;
use crate::xmpp::{Answer, Server, Session, DOMAIN};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 20;
/// How long a client takes to answer a challenge.
const THINKS: Duration = Duration::from_millis(400);
/// The deadline of the class, half a second in which an answer only earns nothing, and 50 ms.
const PATIENCE: Duration = Duration::from_millis(2_000 + 550);

/// The prefixes for the namespace of streams that the servers of the two parts use.
const PREFIXES: [&str; 2] = ["stream", "s"];

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    place_certificate(&scratch()?)?;
    let mut has_held = true;
    for prefix in PREFIXES {
        record.line(format!("== servers with the prefix '{prefix}'"));
        has_held &= play_part(prefix, &record, trouble)?;
    }
    Ok(has_held)
}

/// Plays one part: whether the rule held.
fn play_part(prefix: &'static str, record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let scratch = scratch()?;
    let servers = [
        Server::start(record, "x-1", prefix)?,
        Server::start(record, "x-2", prefix)?,
    ];
    let entries = servers.iter().map(|s| s.entry("active")).collect();
    let discovery = Discovery::start(record, entries)?;
    let file = scratch.join("config.json");
    std::fs::write(&file, config(&discovery, 512, &discovery.known()))?;
    let operator = scratch.join("operator.toml");
    let text = format!(
        "[xmpp]\nlisten_tls = \"127.0.0.1:0\"\n\n[[xmpp.domain]]\nname = \"{DOMAIN}\"\n\
         certificate = \"{DOMAIN}.pem\"\nkey = \"{DOMAIN}.key\"\n\n[[xmpp.class]]\nclass = \"check-in\"\n"
    );
    std::fs::write(&operator, text)?;
    let more = format!("--operator {}", operator.display());
    let mut relay = Relay::start(record, "n1", &file, &scratch, None, &more)?;
    relay.await_ready(Duration::from_secs(10))?;
    let address = relay.logged_address(" speaks XMPP under TLS on ")?;
    thread::sleep(Duration::from_millis(300));

    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (record, answers) = (record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let user = format!("c{n}");
            let answer = match Session::open(address, &user) {
                Ok(mut session) => {
                    record.line(format!("{user}: <auth/>"));
                    session.authenticate(&user, THINKS, PATIENCE)
                }
                Err(e) => return record.line(format!("{user}: no stream: {e}")),
            };
            record.line(format!("{user}: {answer:?}"));
            answers.lock().unwrap().push(answer);
        }));
    }
    thread::sleep(THINKS / 2);
    if trouble {
        discovery.change(servers[0].entry("leaving"));
        let ended = servers[0].end_negotiations();
        record.say(format!("x-1 drains and ends {ended} streams"));
        if ended == 0 {
            return Err(io::Error::other("no stream was in the middle of SASL"));
        }
    }
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    if relay.ended(std::time::Instant::now()) {
        record.say("the relay has ended");
        return Ok(false);
    }
    let text = relay.log_text();
    let ends = text.lines().filter(|line| line.contains("front=xmpp"));
    ends.for_each(|line| record.line(format!("log: {line}")));
    let answers = answers.lock().unwrap();
    let is_none = |answer: &&Answer| matches!(answer, Answer::NoAnswer(_) | Answer::Nothing);
    let without: Vec<&Answer> = answers.iter().filter(is_none).collect();
    let served = answers.iter().filter(|a| **a == Answer::Success).count();
    record.say(format!(
        "{} sessions asked for, {served} served, {} without an answer; the first of these: {:?}",
        answers.len(),
        without.len(),
        without.first()
    ));
    Ok(without.is_empty())
}

/// Puts the domain's certificate and key where the operator file looks for them. The pair is of no
/// use elsewhere: `jaspermoor-lab cert` made it for these plays.
fn place_certificate(dir: &Path) -> io::Result<()> {
    let certificate = include_str!("hazri1.example.org.pem");
    let key = include_str!("hazri1.example.org.key");
    std::fs::write(dir.join(format!("{DOMAIN}.pem")), certificate)?;
    std::fs::write(dir.join(format!("{DOMAIN}.key")), key)
}
