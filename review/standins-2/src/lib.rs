//! Stand-ins for the cases of the second review: clients, servers, discovery and the platform that
//! starts a relay. They use loopback addresses and the real clock only, and do what the pages allow
//! them to do; what a case orders otherwise is the disruption that its claim names.

pub mod discovery;
pub mod relay;
pub mod server;
pub mod tls;
pub mod xmpp;

use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How a case ended; the exit code of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// The result of a case: an error means that it could not run.
pub type Outcome = Result<Verdict, Box<dyn std::error::Error + Send + Sync>>;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            file,
            start: Instant::now(),
        })
    }

    pub fn note(&self, text: impl Display) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} {text}");
    }

    /// Like [`Record::note`], and on the script's output too.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.note(text);
    }

    /// Seconds from the start of the case until this moment.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// Whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Numbers that differ from each other; the same in every run.
pub struct Numbers(pub u64);

impl Numbers {
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let word = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        word ^ (word >> 31)
    }
}

/// A client of the line protocol that has sent its first line.
pub struct Client {
    pub id: String,
    pub sent: Instant,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects and sends `OPEN` with these fields.
    pub fn open(relay: SocketAddr, id: &str, key: u64, fields: &str) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&relay, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        stream.write_all(format!("OPEN {id} {key:016x} {fields}\r\n").as_bytes())?;
        Ok(Client {
            id: id.into(),
            sent: Instant::now(),
            reader: BufReader::new(stream),
        })
    }

    /// The next line without its end; an empty one where the relay has closed; an error where
    /// nothing comes within this time.
    pub fn line(&mut self, within: Duration) -> io::Result<String> {
        let within = within.max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(within))?;
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        Ok(line.trim_end().to_string())
    }

    pub fn send(&mut self, line: &str) -> io::Result<()> {
        let mut stream = self.reader.get_ref();
        stream.write_all(format!("{line}\r\n").as_bytes())
    }

    /// Closes, and waits until the relay has closed too.
    pub fn close(mut self) {
        let _ = self.reader.get_ref().shutdown(std::net::Shutdown::Write);
        let _ = self
            .reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_secs(2)));
        let _ = io::copy(&mut self.reader.by_ref().take(1 << 16), &mut io::sink());
    }
}

/// Asks a relay `PING` and returns how long `PONG` took; an error where it did not come in time.
pub fn ping(relay: SocketAddr, within: Duration) -> io::Result<Duration> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&relay, within)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(b"PING\r\n")?;
    let mut answer = [0; 6];
    stream.read_exact(&mut answer)?;
    match &answer {
        b"PONG\r\n" => Ok(start.elapsed()),
        _ => Err(io::Error::other("an answer that is not PONG")),
    }
}
