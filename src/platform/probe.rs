//! Probes: `STATS` on a connection of its own, when the decisions ask for one.

use crate::api::{Outcome, ServerId};
use crate::config::Names;
use crate::decide::Decisions;
use crate::front::buffer::{trim, Buffer};
use crate::front::line::words::report;
use crate::platform::directory::Directory;
use crate::sys::timed_out;
use crossbeam_channel::Receiver;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// The longest wait for each step of a probe.
const LIMIT: Duration = Duration::from_millis(250);

/// Threads that probe: a zone that is lost and says nothing must not hold up the probes of the living.
pub const PROBERS: usize = 6;

/// Carries out probes, one after another.
pub fn run(orders: &Receiver<ServerId>, directory: &Directory, decisions: &Decisions, names: &Names) {
    for server in orders {
        let (outcome, report) = probe(server, directory, names);
        tracing::debug!(server = server.0, ?outcome, ?report, "probe");
        decisions.probed(server, outcome, report);
    }
}

fn probe(server: ServerId, directory: &Directory, names: &Names) -> (Outcome, Vec<f32>) {
    let failed = |outcome| (outcome, Vec::new());
    // It may have been told to leave since the probe was asked for.
    let endpoint = directory.endpoint(server).filter(|_| directory.takes_new(server));
    let Some(endpoint) = endpoint else { return failed(Outcome::Moot) };
    let Ok(mut stream) = TcpStream::connect_timeout(&endpoint.addr, LIMIT) else {
        return failed(Outcome::ConnectFailed);
    };
    let set = stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(LIMIT)));
    if set.and_then(|()| stream.write_all(b"STATS\r\n")).is_err() {
        return failed(Outcome::ConnectFailed);
    }
    let mut buffer = Buffer::default();
    loop {
        match buffer.fill(&mut stream) {
            Ok(0) => return failed(Outcome::Reset),
            Ok(_) => {}
            Err(e) if timed_out(&e) => return failed(Outcome::Timeout),
            Err(_) => return failed(Outcome::Reset),
        }
        match buffer.line() {
            Ok(None) => {}
            Ok(Some(line)) => return answer(trim(buffer.at(line)), names),
            Err(_) => return failed(Outcome::Error),
        }
    }
}

/// Reads a backend's answer to `STATS`.
pub fn answer(line: &[u8], names: &Names) -> (Outcome, Vec<f32>) {
    let text = String::from_utf8_lossy(line);
    let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
    let outcome = if word == "PONG" { Outcome::Ok } else { Outcome::Error };
    (outcome, report(rest, names))
}
