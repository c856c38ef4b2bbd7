//! A server of the line protocol: answers `OPEN` with `UP`, and each further line with a line.

use crate::{lock, Record};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// A request that has come.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
}

/// A server. Runs until the process ends.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Server {
    pub fn start(name: &str, record: &Record) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            name: name.into(),
            addr: listener.local_addr()?,
            arrivals: Arc::default(),
            open: Arc::default(),
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

    /// Ends its connections, as a process that is restarted does.
    pub fn restart(&self) -> Instant {
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record
            .note(format!("server {}: is restarted", self.name));
        Instant::now()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(&stream);
        if reader.fill_buf()?.is_empty() {
            return Ok(());
        }
        // A send counts from its first byte.
        let at = Instant::now();
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let id = line
            .split_whitespace()
            .nth(1)
            .unwrap_or_default()
            .to_string();
        lock(&self.arrivals).push(Arrival { at, id: id.clone() });
        self.record
            .note(format!("server {}: {}", self.name, line.trim_end()));
        lock(&self.open).extend(stream.try_clone().ok());
        (&stream).write_all(format!("UP {}-{id}\r\n", self.name).as_bytes())?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return stream.shutdown(std::net::Shutdown::Both);
            }
            (&stream).write_all(format!("echo {}\r\n", line.trim_end()).as_bytes())?;
        }
    }
}
