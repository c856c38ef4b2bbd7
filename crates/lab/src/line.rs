//! A stand-in backend of the line protocol, and a scripted client.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What a backend has seen.
#[derive(Debug, Default)]
pub struct Book {
    /// When each request's line came, and its id.
    pub opened: Vec<(Instant, String)>,
    /// How often each line of clients came.
    pub received: BTreeMap<String, u32>,
    /// How often it was probed.
    pub probes: usize,
    /// Connections that stand.
    pub standing: usize,
}

/// A backend that serves until it is dropped: `UP`, and every line back.
pub struct Backend {
    /// Where it listens.
    pub addr: SocketAddr,
    book: Arc<Mutex<Book>>,
    stop: Arc<AtomicBool>,
}

impl Backend {
    /// Starts one.
    pub fn start(listen: Option<SocketAddr>) -> io::Result<Backend> {
        Backend::named(listen, "lab-")
    }

    /// Starts one that puts this before the id of each connection that it takes.
    pub fn named(listen: Option<SocketAddr>, name: &str) -> io::Result<Backend> {
        let listener = TcpListener::bind(listen.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()))?;
        let backend = Backend {
            addr: listener.local_addr()?,
            book: Arc::default(),
            stop: Arc::default(),
        };
        let (book, stop) = (backend.book.clone(), backend.stop.clone());
        let name: Arc<str> = name.into();
        thread::spawn(move || {
            for socket in listener.incoming() {
                if stop.load(Relaxed) {
                    return;
                }
                let (book, name, Ok(socket)) = (book.clone(), name.clone(), socket) else {
                    continue;
                };
                thread::spawn(move || {
                    let mut up = false;
                    let _ = serve(&socket, &book, &name, &mut up);
                    book.lock().unwrap_or_else(PoisonError::into_inner).standing -= usize::from(up);
                });
            }
        });
        Ok(backend)
    }

    /// Looks into its books.
    pub fn book<T>(&self, look: impl FnOnce(&Book) -> T) -> T {
        look(&self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        let _ = TcpStream::connect(self.addr);
    }
}

/// Connections that fill a backend: what it says of its load follows from those that stand.
const FULL: f64 = 1_000.0;

fn serve(mut socket: &TcpStream, book: &Mutex<Book>, name: &str, up: &mut bool) -> io::Result<()> {
    socket.set_nodelay(true)?;
    for line in BufReader::new(socket).lines() {
        let line = line?;
        let mut book = book.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = match line.split(' ').collect::<Vec<_>>()[..] {
            ["PING"] => "PONG".to_string(),
            ["STATS"] => {
                book.probes += 1;
                let (standing, load) = (book.standing, book.standing as f64 / FULL);
                format!("PONG active={standing},inflight={standing},x0={load},qps=1,eps=0")
            }
            ["OPEN", id, ..] if !*up => {
                *up = true;
                book.standing += 1;
                book.opened.push((Instant::now(), id.to_string()));
                format!("UP {name}{id}")
            }
            _ if *up => {
                *book.received.entry(line.clone()).or_default() += 1;
                line
            }
            _ => "SYNTAX".to_string(),
        };
        drop(book);
        socket.write_all(format!("{answer}\r\n").as_bytes())?;
    }
    Ok(())
}

/// What a client of a script has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Each answer's first word, and how long it took.
    pub answers: Vec<(String, Duration)>,
    /// How often each line came back.
    pub echoes: BTreeMap<String, u32>,
    /// How often it was moved.
    pub moved: u32,
    /// Ends without a word, or in the middle of a line.
    pub cut: Vec<String>,
    /// Whether all came back.
    pub done: bool,
}

/// Sends numbered lines, one after the other's echo, and comes again when it is moved.
#[derive(Clone, Debug)]
pub struct Script {
    /// The relay.
    pub addr: SocketAddr,
    /// Its name, which makes its ids and its key.
    pub name: u32,
    /// The class.
    pub class: String,
    /// How many lines.
    pub lines: u64,
    /// The pause between two.
    pub pause: Duration,
    /// When it gives up.
    pub limit: Duration,
}

impl Script {
    /// Runs it to its end.
    pub fn run(&self) -> Seen {
        let end = Instant::now() + self.limit;
        let (mut seen, mut next, mut tries) = (Seen::default(), 1, 0);
        while Instant::now() < end && !seen.done {
            tries += 1;
            if let Err(e) = self.talk(&mut seen, &mut next, tries, end) {
                seen.cut.push(e.to_string());
                thread::sleep(Duration::from_millis(50));
            }
        }
        seen
    }

    fn talk(&self, seen: &mut Seen, next: &mut u64, tries: u32, end: Instant) -> io::Result<()> {
        let mut socket = TcpStream::connect_timeout(&self.addr, Duration::from_secs(5))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(crate::PATIENCE))?;
        let mut lines = BufReader::new(socket.try_clone()?);
        let mut hear = || -> io::Result<String> {
            let mut line = String::new();
            lines.read_line(&mut line)?;
            line.strip_suffix("\r\n")
                .map(String::from)
                .ok_or(ErrorKind::UnexpectedEof.into())
        };
        let (name, class) = (self.name, &self.class);
        let asked = Instant::now();
        let again = if tries > 1 { ",again=1" } else { "" };
        write!(
            socket,
            "OPEN {name:x}-{tries} {:x} c={class},d=2000,g={:x}{again}\r\n",
            name + 1,
            name / 8 + 1
        )?;
        let answer = hear()?;
        let word = answer.split(' ').next().unwrap_or_default().to_string();
        seen.answers.push((word.clone(), asked.elapsed()));
        if word != "UP" {
            let wait = answer
                .split(' ')
                .nth(1)
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(50);
            thread::sleep(Duration::from_millis(wait));
            return Ok(());
        }
        while Instant::now() < end && *next <= self.lines {
            let line = format!("M {name} {next}");
            write!(socket, "{line}\r\n")?;
            // Behind a move the line's echo has not come: it is sent again on the next connection.
            match hear()? {
                moved if moved == "MOVE" => {
                    seen.moved += 1;
                    return Ok(());
                }
                echo => *seen.echoes.entry(echo).or_default() += 1,
            }
            *next += 1;
            thread::sleep(self.pause);
        }
        seen.done = *next > self.lines;
        socket.shutdown(Shutdown::Both)
    }
}
