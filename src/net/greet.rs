//! The first words of a connection, and its last ones: up to the request, and an answer that reaches the
//! client although it may still be sending.

use crate::api::Micros;
use crate::front::buffer::Buffer;
use crate::front::{Greeter, Next, Order, Short};
use crate::net::admit::Guest;
use crate::net::core::Core;
use crate::net::link::Link;
use crate::sys::timed_out;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The longest wait for a client to take its answer.
const ANSWER: Duration = Duration::from_secs(1);
/// How long a client that has had its last word may go on before it is cut off.
pub const LINGER: Duration = Duration::from_secs(1);
/// Wait between two full reads of what is thrown away: a client that sends at full speed must not take
/// the processor from the others.
const PACE: Duration = Duration::from_millis(2);

/// Hears a client up to its request; what is left in the buffer came after it. An error is the reason for the
/// log; none where the log need not know.
pub fn hear(
    guest: &Guest,
    link: &mut Link,
    greeter: &mut dyn Greeter,
    core: &Core,
) -> Result<(Box<dyn Order>, Buffer), &'static str> {
    let client = &*guest.stream;
    let set = client.set_nodelay(true).and_then(|()| client.set_write_timeout(Some(ANSWER)));
    set.map_err(|_| "socket-error")?;
    let mut inbox = Buffer::default();
    loop {
        let now = core.decisions.now();
        match greeter.next(&mut inbox, now, &core.terms().rules) {
            Next::Read => {}
            Next::Say(bytes) => {
                guest.asked();
                link.write_all(&bytes).map_err(|_| "")?;
                continue;
            }
            Next::Secure(domain) => {
                secure(link, core, Some(&domain), greeter.until())?;
                greeter.secured(core.decisions.now());
                continue;
            }
            Next::Place(order) => return Ok((order, inbox)),
            Next::End(last, reason) => {
                say(link, &last);
                part(client);
                return Err(reason);
            }
        }
        let left = core.decisions.left(greeter.until());
        if left.is_zero() {
            let (last, reason) = greeter.cut_short(&inbox, Short::Late);
            if !last.is_empty() {
                say(link, &last);
                part(client);
            }
            return Err(reason);
        }
        match link.set_read_timeout(left).and_then(|()| link.fill(&mut inbox)) {
            Ok(n) if n > 0 => {}
            Err(e) if timed_out(&e) => {}
            _ => return Err(greeter.cut_short(&inbox, Short::Ended).1),
        }
    }
}

/// Puts a client's link under TLS, up to that time.
pub fn secure(link: &mut Link, core: &Core, domain: Option<&str>, until: Micros) -> Result<(), &'static str> {
    let tls = core.xmpp().and_then(|xmpp| xmpp.tls.server(domain)).ok_or("no-tls")?;
    let done = link.secure(tls, || core.decisions.left(until));
    let _ = link.socket.set_write_timeout(Some(ANSWER));
    done.map_err(|e| {
        core.metrics.xmpp.tls_failures.fetch_add(1, Relaxed);
        if timed_out(&e) {
            "tls-late"
        } else {
            "tls-failed"
        }
    })
}

/// Gives the client its last word.
pub fn say(link: &mut Link, words: &[u8]) {
    let _ = link.socket.set_write_timeout(Some(ANSWER));
    let _ = link.write_all(words);
    link.end_sending();
}

/// Waits for the client to end its side, for a bounded time. To close a socket with input unread would
/// reset the connection, and the reset can destroy an answer that the client has not read yet.
pub fn part(client: &TcpStream) {
    let end = Instant::now() + LINGER;
    let mut piece = [0; 8192];
    while let Some(left) = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
        match client.set_read_timeout(Some(left)).and_then(|()| (&*client).read(&mut piece)) {
            Ok(n) if n == piece.len() => sleep(PACE),
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
