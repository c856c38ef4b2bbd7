//! Usual sessions at the XMPP front, and bad clients that send half of a TLS handshake and stay: the
//! memory of the relay.

use review_2::discovery::{Discovery, Entry};
use review_2::relay::{Folder, Relay, Setup, CHAT};
use review_2::tls::{header, read_until};
use review_2::xmpp::{self, Manner, Server};
use review_2::{ping, trouble, Outcome, Record, Verdict};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 32;
/// Under a third of the descriptors.
const SESSIONS: usize = 335;
const BAD_CLIENTS: usize = 330;
/// A `ClientHello` as long as TLS allows a handshake message to be here, and how much of it is sent.
const HELLO_BYTES: usize = 65_500;
const SENT_BYTES: usize = 65_000;
const RECORD_BYTES: usize = 16_000;
const WATCHED: Duration = Duration::from_secs(8);

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
    let folder = Folder::new("half-handshakes")?;
    let setup = Setup {
        discovery: discovery.addr,
        known: entries,
        classes: vec![CHAT],
        max_attempts: 4,
        memory_mb: MEMORY_MB,
        me: 0,
        peers: 3,
        operator: Some(xmpp::operator(&folder, CHAT.name)?),
    };
    let mut relay = Relay::start(&setup, &folder, record)?;
    let (line, front) = (
        relay.line()?,
        relay.address(xmpp::LOG_WORDS).ok_or("no XMPP address")?,
    );
    thread::sleep(Duration::from_secs(1));
    record.note(format!("the relay holds {:?} MB", relay.memory_mb()));
    let sessions = xmpp::usual_sessions(front, SESSIONS, record)?;
    if sessions.len() < SESSIONS * 9 / 10 {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));
    let usual = relay.memory_mb().unwrap_or(0.0);
    record.say(format!(
        "{} sessions: the relay holds {usual:.1} MB",
        sessions.len()
    ));
    let mut bad = Vec::new();
    if trouble() {
        for n in 0..BAD_CLIENTS {
            let sent = half_handshake(front);
            record.note(format!(
                "bad client {n}: {:?}",
                sent.as_ref().map(|_| SENT_BYTES)
            ));
            bad.extend(sent.ok());
        }
    }
    let start = Instant::now();
    let mut most = usual;
    while start.elapsed() < WATCHED && !relay.has_ended() {
        most = most.max(relay.memory_mb().unwrap_or(0.0));
        thread::sleep(Duration::from_millis(100));
    }
    let ended = relay.has_ended();
    record.note(format!("PING: {:?}", ping(line, Duration::from_secs(2))));
    record.say(format!(
        "{} bad clients: the relay held {most:.1} MB of {MEMORY_MB} MB; it has ended: {ended}",
        bad.len()
    ));
    Ok(match ended || most > f64::from(MEMORY_MB) {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Asks for TLS and sends most of a handshake message, in records; the connection stays open.
fn half_handshake(front: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(header("").as_bytes())?;
    read_until(&mut stream, &["</stream:features>"])?;
    stream.write_all(b"<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>")?;
    read_until(&mut stream, &["<proceed"])?;
    let length = (HELLO_BYTES as u32).to_be_bytes();
    let mut hello = vec![1, length[1], length[2], length[3]];
    hello.resize(SENT_BYTES, 3);
    for part in hello.chunks(RECORD_BYTES) {
        let length = (part.len() as u16).to_be_bytes();
        stream.write_all(&[0x16, 3, 1, length[0], length[1]])?;
        stream.write_all(part)?;
    }
    Ok(stream)
}
