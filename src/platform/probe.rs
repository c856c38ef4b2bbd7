//! Probes: `STATS` on a connection of its own, when the decisions ask for one.

use crate::api::{Outcome, ServerId};
use crate::config::Names;
use crate::decide::Decisions;
use crate::front::buffer::{trim, Buffer};
use crate::front::line::words::report;
use crate::platform::directory::Directory;
use crate::sys::{spawn, timed_out};
use crossbeam_channel::Receiver;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// The longest wait for each step of a probe.
pub const LIMIT: Duration = Duration::from_millis(250);

/// Threads that probe: more than one, since a server that says nothing must not hold up the probes of the living;
/// no more than two, since 300 relays on one machine, six days at a time, ran out of threads with six each.
pub const PROBERS: usize = 2;

/// What all probers work with.
#[derive(Clone)]
pub struct Prober {
    /// The probes that the decisions ask for.
    pub orders: Receiver<ServerId>,
    /// Where the backends are.
    pub directory: Arc<Directory>,
    /// Who hears what they say.
    pub decisions: Arc<Decisions>,
    /// Names of the columns of a report.
    pub names: Names,
    /// The longest wait for each step of a probe.
    pub limit: Duration,
}

impl Prober {
    /// Starts the threads; they end with the orders.
    pub fn start(&self) -> std::io::Result<()> {
        (0..PROBERS).try_for_each(|_| {
            let prober = self.clone();
            spawn("probe", move || prober.run())
        })
    }

    fn run(&self) {
        for server in &self.orders {
            let (outcome, report) = probe(server, &self.directory, &self.names, self.limit);
            tracing::debug!(server = server.0, ?outcome, ?report, "probe");
            self.decisions.probed(server, outcome, report);
        }
    }
}

fn probe(server: ServerId, directory: &Directory, names: &Names, limit: Duration) -> (Outcome, Vec<f32>) {
    let failed = |outcome| (outcome, Vec::new());
    // It may have been told to leave since the probe was asked for.
    let endpoint = directory.endpoint(server).filter(|_| directory.takes_new(server));
    let Some(endpoint) = endpoint else { return failed(Outcome::Moot) };
    let Ok(mut stream) = TcpStream::connect_timeout(&endpoint.addr, limit) else {
        return failed(Outcome::ConnectFailed);
    };
    let set = stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(limit)));
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{Member, MemberState, Settings};
    use crate::config::listing::Endpoint;
    use crate::decide::Orders;
    use crossbeam_channel::bounded;
    use std::net::TcpListener;
    use std::thread::sleep;
    use std::time::Instant;

    /// A lost zone once held up the probes of all others, 250 ms for each of its servers.
    #[test]
    fn silent_servers_do_not_hold_up_the_probes_of_the_others() {
        let doors: Vec<TcpListener> =
            (0..PROBERS).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let listed = |(n, door): (usize, &TcpListener)| {
            let server = ServerId(n as u64);
            let endpoint = Endpoint { name: format!("s-{n}"), addr: door.local_addr().unwrap() };
            let state = MemberState::Ready;
            (endpoint, Member { server, zone: 0, cell: 0, state, size: 1.0, started: None })
        };
        let (directory, names) = (Arc::new(Directory::default()), Names::default());
        directory.update(true, &doors.iter().enumerate().map(listed).collect::<Vec<_>>());
        let ((watch, _watch), (probe, _probe)) = (bounded(1), bounded(1));
        let decisions = Decisions::new(Settings::default(), 1, Vec::new(), Orders { watch, probe });
        let (order, orders) = bounded(PROBERS);
        // So long a limit that a prober which waited for the silent ones would never come to the last.
        let limit = Duration::from_secs(3600);
        Prober { orders, directory, decisions, names, limit }.start().unwrap();
        (0..PROBERS).for_each(|n| order.send(ServerId(n as u64)).unwrap());
        // The connections are kept, and nothing is ever answered on them.
        let (mut silent, end) = (Vec::new(), Instant::now() + Duration::from_secs(30));
        doors.iter().for_each(|door| door.set_nonblocking(true).unwrap());
        while silent.len() < PROBERS && Instant::now() < end {
            silent.extend(doors.iter().filter_map(|door| door.accept().ok()));
            sleep(Duration::from_millis(5));
        }
        assert_eq!(silent.len(), PROBERS, "each has its probe while all others are out");
    }
}
