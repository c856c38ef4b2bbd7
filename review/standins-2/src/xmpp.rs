//! XMPP: the operator file of a relay, a client up to its one answer, and a server.

use crate::relay::Folder;
use crate::tls::{self, header, read_until, CERTIFICATE, DOMAIN, KEY};
use crate::{lock, Record};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Writes the certificate and returns the operator file of a relay with an XMPP front.
pub fn operator(folder: &Folder, class: &str) -> io::Result<String> {
    fs::write(folder.0.join("relay.pem"), CERTIFICATE)?;
    fs::write(folder.0.join("relay.key"), KEY)?;
    Ok(format!(
        "[xmpp]\nlisten = \"127.0.0.1:0\"\n[[xmpp.domain]]\nname = \"{DOMAIN}\"\n\
         certificate = \"relay.pem\"\nkey = \"relay.key\"\n[[xmpp.class]]\nclass = \"{class}\"\n"
    ))
}

/// The words of a relay's log before the address of its XMPP front.
pub const LOG_WORDS: &str = "speaks XMPP under STARTTLS on ";

/// A session of a client.
pub struct Session {
    pub tls: rustls::StreamOwned<rustls::ClientConnection, TcpStream>,
}

impl Session {
    /// Negotiates up to the offer of SASL.
    pub fn connect(relay: SocketAddr) -> io::Result<Session> {
        let (stream, connection) = tls::start_tls(relay)?;
        let mut tls = rustls::StreamOwned::new(connection, stream);
        tls.write_all(header("").as_bytes())?;
        tls.flush()?;
        read_until(&mut tls, &["</stream:features>"])?;
        Ok(Session { tls })
    }

    /// Sends `<auth/>` for this user (PLAIN; the payload is given in base64) and waits for the one
    /// answer.
    pub fn authenticate(&mut self, payload: &str, within: Duration) -> io::Result<String> {
        self.send(&format!(
            "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>{payload}</auth>"
        ))?;
        self.tls.sock.set_read_timeout(Some(within))?;
        read_until(&mut self.tls, &["<success", "<failure", "</stream:stream>"])
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.tls.write_all(text.as_bytes())?;
        self.tls.flush()
    }

    /// What has come within this time; empty at the end of the stream.
    pub fn read(&mut self, within: Duration) -> io::Result<String> {
        self.tls.sock.set_read_timeout(Some(within))?;
        let mut buffer = [0; 4096];
        let n = self.tls.read(&mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer[..n]).into_owned())
    }
}

/// A user, as PLAIN names it, in base64.
const USER: &str = "AHUwAHUw";

/// So many usual sessions, let in and in the middle of a message: messages arrive cut at any byte,
/// and connections fall quiet. Fewer where one is not let in.
pub fn usual_sessions(
    front: SocketAddr,
    count: usize,
    record: &Record,
) -> io::Result<Vec<Session>> {
    let mut sessions = Vec::new();
    for n in 0..count {
        let mut session = Session::connect(front)?;
        let answer = session.authenticate(USER, Duration::from_secs(5))?;
        record.note(format!("client {n}: {answer}"));
        if !answer.contains("<success") {
            break;
        }
        session.send(&header(""))?;
        session.read(Duration::from_secs(2))?;
        session.send("<message to='u1@xmpp.example.org'><body>Half of a mess")?;
        sessions.push(session);
    }
    Ok(sessions)
}

/// How a server behaves.
#[derive(Clone, Copy, Debug)]
pub enum Manner {
    /// Like a sound server.
    Sound,
    /// It takes this long to offer its features.
    Slow(Duration),
    /// It hangs in the middle of its work: it takes the `<auth/>` and answers nothing more.
    Hangs,
    /// It takes this long to check who asks.
    Checks(Duration),
}

/// A server's stream header.
const OPEN: &str = "<?xml version='1.0'?><stream:stream xmlns='jabber:client' \
                    xmlns:stream='http://etherx.jabber.org/streams' id='1' version='1.0'>";
/// What a server that shuts down sends on all its streams (RFC 6120, 4.9.3.20).
const SENT_AWAY: &str =
    "<stream:error><system-shutdown xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>\
     </stream:error></stream:stream>";

/// A server of XMPP in clear, as in a trusted network. Runs until the process ends.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    /// When each `<auth/>` had come whole.
    runs: Arc<Mutex<Vec<Instant>>>,
    /// Whether it hangs: it runs, reads nothing more and answers nothing.
    hanging: Arc<AtomicBool>,
    /// Whether it drains.
    draining: Arc<AtomicBool>,
    record: Record,
}

impl Server {
    pub fn start(name: &str, manner: Manner, record: &Record) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            name: name.into(),
            addr: listener.local_addr()?,
            manner: Arc::new(Mutex::new(manner)),
            runs: Arc::default(),
            hanging: Arc::default(),
            draining: Arc::default(),
            record: record.clone(),
        };
        let own = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok(server)
    }

    /// How it behaves from now on.
    pub fn turn(&self, manner: Manner) {
        *lock(&self.manner) = manner;
        self.record
            .note(format!("server {}: from now on: {manner:?}", self.name));
    }

    /// From now on it drains: it takes nothing new, and sends its clients away.
    pub fn drain(&self) {
        self.draining.store(true, Relaxed);
        self.record.note(format!("server {}: drains", self.name));
    }

    /// From now on it hangs.
    pub fn hang(&self) {
        self.hanging.store(true, Relaxed);
        self.record
            .note(format!("server {}: hangs from now on", self.name));
    }

    /// When each request had come.
    pub fn runs(&self) -> Vec<Instant> {
        lock(&self.runs).clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let manner = *lock(&self.manner);
        let note = |text: &str| self.record.note(format!("server {}: {text}", self.name));
        stream.set_nodelay(true)?;
        read_until(&mut stream, &["version='1.0'>"])?;
        note("a stream is opened");
        if self.draining.load(Relaxed) {
            note("takes nothing new");
            return stream.write_all(format!("{OPEN}{SENT_AWAY}").as_bytes());
        }
        if let Manner::Slow(wait) = manner {
            thread::sleep(wait);
        }
        let mechanisms = "<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>\
                          <mechanism>PLAIN</mechanism></mechanisms></stream:features>";
        stream.write_all(format!("{OPEN}{mechanisms}").as_bytes())?;
        note("features are offered");
        read_until(&mut stream, &["</auth>"])?;
        lock(&self.runs).push(Instant::now());
        note("a request has come whole");
        if matches!(manner, Manner::Hangs) {
            let _ = io::copy(&mut stream, &mut io::sink());
            note("the relay has given the request up");
            return Ok(());
        }
        if let Manner::Checks(time) = manner {
            let start = Instant::now();
            while start.elapsed() < time && !self.draining.load(Relaxed) {
                thread::sleep(Duration::from_millis(1));
            }
            if self.draining.load(Relaxed) {
                note("sends the client away");
                return stream.write_all(SENT_AWAY.as_bytes());
            }
        }
        stream.write_all(b"<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>")?;
        read_until(&mut stream, &["version='1.0'>"])?;
        let bind =
            "<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></stream:features>";
        stream.write_all(format!("{OPEN}{bind}").as_bytes())?;
        self.answer_pings(stream)
    }

    /// Answers each whole `<iq/>` with its result (RFC 6120, 8.2.3; XEP-0199).
    fn answer_pings(&self, mut stream: TcpStream) -> io::Result<()> {
        let (mut text, mut buffer) = (String::new(), [0; 4096]);
        loop {
            let n = stream.read(&mut buffer)?;
            while self.hanging.load(Relaxed) {
                thread::sleep(Duration::from_millis(50));
            }
            if n == 0 {
                return Ok(());
            }
            text += &String::from_utf8_lossy(&buffer[..n]);
            while let Some((iq, rest)) = text.split_once("</iq>") {
                let id = iq
                    .split("id='")
                    .nth(1)
                    .and_then(|rest| rest.split('\'').next());
                let id = id.unwrap_or_default().to_string();
                text = rest.to_string();
                stream.write_all(format!("<iq type='result' id='{id}'/>").as_bytes())?;
                self.record
                    .note(format!("server {}: answers {id}", self.name));
            }
        }
    }
}
