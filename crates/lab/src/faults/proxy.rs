//! A link between two processes that a scenario can spoil: bytes late, held back, lost, or the connection reset, either
//! way by itself.
//!
//! Guards against: a fault that no network has. A connection that has lost bytes is never mended, it is ended once the
//! link is; bytes never change their order on a connection; what is held back comes later, as from a stalled machine.

use crate::discovery::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often a pump looks at what the scenario wants.
const LOOK: Duration = Duration::from_millis(5);
/// Bytes that a link holds at most: then it reads no more, as a full pipe.
const MOST: usize = 1024 * 1024;

/// What is done to one way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// Nothing.
    #[default]
    Pass,
    /// Bytes come so much later.
    Late(Duration),
    /// Bytes go at this rate a second.
    Narrow(u64),
    /// Of a thousand pieces so many are lost and sent again, as TCP does; all come so much later.
    Lossy(u32, Duration),
    /// Bytes wait until the link is mended.
    Hold,
    /// Bytes are lost; the connection ends once the link is mended.
    Lose,
}

#[derive(Default)]
struct Shared {
    target: Option<SocketAddr>,
    /// From whoever dials, and back to it.
    ways: [Way; 2],
    /// Connections from before this number are reset.
    resets: u64,
    /// Pieces that were lost.
    lost: u64,
}

/// A link; it listens until it is dropped.
pub struct Proxy {
    /// Where whoever uses the link dials.
    pub addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    stop: Arc<AtomicBool>,
}

impl Proxy {
    /// A link to nowhere yet.
    pub fn start() -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let (shared, stop): (Arc<Mutex<Shared>>, Arc<AtomicBool>) = Default::default();
        let (of, ended) = (shared.clone(), stop.clone());
        thread::spawn(move || {
            for socket in listener.incoming() {
                if ended.load(Relaxed) {
                    return;
                }
                let target = lock(&of).target;
                let (Ok(socket), Some(target)) = (socket, target) else {
                    continue;
                };
                let Ok(onward) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                    continue;
                };
                let _ = join(socket, onward, &of, &ended);
            }
        });
        Ok(Proxy { addr, shared, stop })
    }

    /// Where it leads from now on.
    pub fn lead_to(&self, target: Option<SocketAddr>) {
        lock(&self.shared).target = target;
    }

    /// What is done to its two ways from now on.
    pub fn set(&self, ways: [Way; 2]) {
        lock(&self.shared).ways = ways;
    }

    /// How many pieces have been lost on it so far.
    pub fn lost(&self) -> u64 {
        lock(&self.shared).lost
    }

    /// Resets what goes through it now.
    pub fn reset(&self) {
        lock(&self.shared).resets += 1;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        let _ = TcpStream::connect(self.addr);
    }
}

fn join(
    a: TcpStream,
    b: TcpStream,
    shared: &Arc<Mutex<Shared>>,
    stop: &Arc<AtomicBool>,
) -> io::Result<()> {
    let over = Arc::new(AtomicBool::new(false));
    for socket in [&a, &b] {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(LOOK))?;
        socket.set_write_timeout(Some(Duration::from_secs(1)))?;
    }
    for (way, from, to) in [(0, a.try_clone()?, b.try_clone()?), (1, b, a)] {
        let (shared, stop, over) = (shared.clone(), stop.clone(), over.clone());
        thread::spawn(move || {
            pump(&from, &to, way, &shared, &stop, &over);
            over.store(true, Relaxed);
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
        });
    }
    Ok(())
}

/// How much later a piece comes that may be lost several times over: TCP waits 200 ms, then twice as long each time.
fn resent(rng: &mut ChaCha8Rng, lost: u32) -> Duration {
    let times = (0..4)
        .take_while(|_| rng.random_range(0..1_000) < lost)
        .count();
    Duration::from_millis(200 * ((1 << times) - 1))
}

fn pump(
    mut from: &TcpStream,
    mut to: &TcpStream,
    way: usize,
    shared: &Mutex<Shared>,
    stop: &AtomicBool,
    over: &AtomicBool,
) {
    let resets = lock(shared).resets;
    let mut queue: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let (mut held, mut lost, mut piece) = (0, false, vec![0; 16 * 1024]);
    let (mut narrow, mut rng) = (Instant::now(), ChaCha8Rng::seed_from_u64(way as u64));
    loop {
        let (now, spoilt) = {
            let shared = lock(shared);
            (shared.ways[way], shared.resets != resets)
        };
        if spoilt || stop.load(Relaxed) || over.load(Relaxed) || (lost && now != Way::Lose) {
            return;
        }
        if held < MOST {
            let read = from.read(&mut piece);
            // What is wanted now, not when the read began: it may have waited for these bytes.
            let now = lock(shared).ways[way];
            match read {
                Ok(0) => return,
                Ok(_) if now == Way::Lose => {
                    lost = true;
                    lock(shared).lost += 1;
                }
                Ok(n) => {
                    let late = match now {
                        Way::Late(by) => by,
                        Way::Narrow(rate) => {
                            let from = narrow.max(Instant::now());
                            narrow =
                                from + Duration::from_micros(n as u64 * 1_000_000 / rate.max(1));
                            narrow - Instant::now()
                        }
                        Way::Lossy(lost, by) => by + resent(&mut rng, lost),
                        _ => Duration::ZERO,
                    };
                    queue.push_back((Instant::now() + late, piece[..n].to_vec()));
                    held += n;
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        } else {
            thread::sleep(LOOK);
        }
        while !matches!(now, Way::Hold | Way::Lose)
            && queue.front().is_some_and(|(due, _)| *due <= Instant::now())
        {
            let Some((_, bytes)) = queue.pop_front() else {
                break;
            };
            held -= bytes.len();
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pair() -> (Proxy, TcpStream, TcpStream) {
        let end = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Proxy::start().unwrap();
        proxy.lead_to(Some(end.local_addr().unwrap()));
        let near = TcpStream::connect(proxy.addr).unwrap();
        let far = end.accept().unwrap().0;
        near.set_read_timeout(Some(crate::PATIENCE)).unwrap();
        far.set_read_timeout(Some(crate::PATIENCE)).unwrap();
        (proxy, near, far)
    }

    fn hears(socket: &mut TcpStream, what: &[u8]) {
        let mut heard = vec![0; what.len()];
        socket.read_exact(&mut heard).unwrap();
        assert_eq!(heard, what);
    }

    #[test]
    fn what_is_held_comes_later_and_the_other_way_goes_on() {
        let (proxy, mut near, mut far) = pair();
        proxy.set([Way::Hold, Way::Pass]);
        near.write_all(b"held").unwrap();
        far.write_all(b"back").unwrap();
        hears(&mut near, b"back");
        proxy.set([Way::Pass, Way::Pass]);
        hears(&mut far, b"held");
    }

    #[test]
    fn what_is_lost_and_sent_again_and_what_goes_slowly_comes_whole_and_in_order() {
        for way in [
            Way::Lossy(300, Duration::from_millis(3)),
            Way::Narrow(200_000),
        ] {
            let (proxy, mut near, mut far) = pair();
            proxy.set([way, Way::Pass]);
            for n in 0..30 {
                near.write_all(&[n; 100]).unwrap();
            }
            hears(
                &mut far,
                &(0..30).flat_map(|n| [n; 100]).collect::<Vec<u8>>(),
            );
        }
    }

    #[test]
    fn a_connection_that_has_lost_bytes_ends_with_the_fault_and_a_reset_at_once() {
        let (proxy, mut near, mut far) = pair();
        proxy.set([Way::Lose, Way::Pass]);
        near.write_all(b"lost").unwrap();
        // The other way still works: it is one way that is cut.
        far.write_all(b"back").unwrap();
        hears(&mut near, b"back");
        crate::until("the loss", || (proxy.lost() > 0).then_some(()));
        proxy.set([Way::Pass, Way::Pass]);
        assert_eq!(far.read(&mut [0; 8]).unwrap(), 0);
        let (proxy, mut near, mut far) = pair();
        // It goes through: the link has taken the connection up.
        near.write_all(b"there").unwrap();
        hears(&mut far, b"there");
        proxy.reset();
        assert_eq!(far.read(&mut [0; 8]).unwrap(), 0);
    }
}
