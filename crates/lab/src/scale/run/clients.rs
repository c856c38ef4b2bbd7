//! Clients of the relays that have a process of their own: each asks again and again, and notes under which policy it was
//! admitted, by the backend that answered.

use super::policy::backend;
use crate::scale::admissions::{AdmissionLog, Moment};
use jaspermoor::sys::{boottime, lock};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The pause between two requests while a change is awaited, and else.
const EAGER: u64 = 5;
const CALM: u64 = 250;
/// How long an answer is waited for.
const ANSWER: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    pause_ms: AtomicU64,
    /// Requests that were made before that moment are not noted: without a policy any backend may have answered them.
    noted_from: AtomicU64,
}

/// The client of one relay; it ends when it is dropped.
pub struct Client {
    door: Arc<Mutex<Option<SocketAddr>>>,
    /// By the cell that admitted it.
    seen: Arc<Mutex<AdmissionLog>>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    /// Starts it, at this relay.
    pub fn start(number: usize, addr: SocketAddr) -> Client {
        let door = Arc::new(Mutex::new(Some(addr)));
        let (seen, shared) = (
            Arc::<Mutex<AdmissionLog>>::default(),
            Arc::<Shared>::default(),
        );
        let (own_door, own_seen, own) = (door.clone(), seen.clone(), shared.clone());
        shared.pause_ms.store(EAGER, Relaxed);
        shared.noted_from.store(Moment::MAX, Relaxed);
        let thread = thread::spawn(move || ask_again_and_again(number, &own_door, &own_seen, &own));
        Client {
            door,
            seen,
            shared,
            thread: Some(thread),
        }
    }

    /// What it is answered from now on is noted: no relay admits without a policy any more.
    pub fn note_from_now(&self) {
        self.shared.noted_from.fetch_min(boottime(), Relaxed);
    }

    /// The relay is here from now on; nowhere while it is away.
    pub fn at(&self, addr: Option<SocketAddr>) {
        *lock(&self.door) = addr;
    }

    /// Whether it asks as often as it can.
    pub fn eager(&self, eager: bool) {
        self.shared
            .pause_ms
            .store(if eager { EAGER } else { CALM }, Relaxed);
    }

    /// What it has seen, by the cell that admitted it.
    pub fn seen(&self) -> AdmissionLog {
        lock(&self.seen).clone()
    }

    /// Whether it was admitted by this cell.
    pub fn was_admitted_by(&self, cell: usize) -> bool {
        lock(&self.seen).spans.contains_key(&(cell as u64))
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.shared.stop.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn ask_again_and_again(
    number: usize,
    door: &Mutex<Option<SocketAddr>>,
    seen: &Mutex<AdmissionLog>,
    shared: &Shared,
) {
    let mut requests = 0;
    while !shared.stop.load(Relaxed) {
        thread::sleep(Duration::from_millis(shared.pause_ms.load(Relaxed)));
        let Some(addr) = *lock(door) else { continue };
        requests += 1;
        let asked = boottime();
        let answer = ask(addr, number, requests);
        if asked < shared.noted_from.load(Relaxed) {
            continue;
        }
        if let Ok(Some(cell)) = answer {
            lock(seen).admitted(cell, asked, boottime());
        }
    }
}

/// Asks once; the cell whose backend has answered, where the relay admits.
fn ask(addr: SocketAddr, number: usize, request: u64) -> io::Result<Option<u64>> {
    let mut socket = TcpStream::connect_timeout(&addr, ANSWER)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(ANSWER))?;
    write!(
        socket,
        "OPEN {number:04x}{request:08x} {request:x} c=chat,d=1000,g=1\r\n"
    )?;
    let mut answer = String::new();
    BufReader::new(&socket).read_line(&mut answer)?;
    Ok(cell_of(&answer))
}

/// The cell of the backend that says so of itself.
fn cell_of(answer: &str) -> Option<u64> {
    let name = answer.strip_prefix("UP ")?.trim_end();
    let number = name.strip_prefix(backend(0).trim_end_matches('0'))?;
    number.split('/').next()?.parse().ok()
}
