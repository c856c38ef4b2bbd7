//! The first words of a connection, and its last ones: up to the line that asks for something, and an
//! answer that reaches the client although it may still be sending.

use crate::net::admit::Guest;
use crate::net::client::Relay;
use crate::net::line::{opening, trim, LineBuffer, Open, Opening};
use crate::net::timed_out;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A connection must ask for something within this, and a line that has begun must end. Less than the
/// three seconds that a client is owed, so that the answer also arrives.
const HEARD: Duration = Duration::from_secs(2);
/// One that has asked whether the relay is there, and then for nothing, is closed after this.
const IDLE: Duration = Duration::from_secs(60);
/// The longest wait for a client to take its answer.
const ANSWER: Duration = Duration::from_secs(1);
/// How long a client that has had its last word may go on before it is cut off.
pub const LINGER: Duration = Duration::from_secs(1);
/// Wait between two full reads of what is thrown away: a client that sends at full speed must not take
/// the processor from the others.
const PACE: Duration = Duration::from_millis(2);

/// Reads up to the line that asks for a connection. An error is the reason for the log; none where
/// the connection only asked whether the relay is there, or said nothing.
pub fn first_line(guest: &Guest, relay: &Relay) -> Result<(Open, LineBuffer), &'static str> {
    let client = &*guest.stream;
    let set = client.set_nodelay(true).and_then(|()| client.set_write_timeout(Some(ANSWER)));
    set.map_err(|_| "socket-error")?;
    let mut buffer = LineBuffer::default();
    let mut until = Instant::now() + HEARD;
    loop {
        let refused = match buffer.line() {
            Ok(Some(line)) => match opening(trim(buffer.at(line)), &relay.terms().classes) {
                // A client waits for its answer: what sends on at once is no client's, and no backend
                // could make sense of it.
                Ok(Opening::Open(_)) if !buffer.rest().is_empty() => Err("sent-on"),
                Ok(Opening::Open(open)) => return Ok((open, buffer)),
                Ok(Opening::Ping) => {
                    guest.asked();
                    until = Instant::now() + IDLE;
                    (&*client).write_all(b"PONG\r\n").map_err(|_| "")?;
                    continue;
                }
                Err(what) => Err(what),
            },
            Ok(None) => Ok(()),
            Err(_) => Err("line-too-long"),
        };
        if let Err(what) = refused {
            say(client, &format!("ERR {what}"));
            part(client);
            return Err(what);
        }
        let half = !buffer.rest().is_empty();
        let end = if half { "half-a-line" } else { "" };
        let Some(left) = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) else {
            if half {
                say(client, "ERR half-a-line");
                part(client);
            }
            return Err(end);
        };
        match client.set_read_timeout(Some(left)).and_then(|()| buffer.fill(&mut &*client)) {
            Ok(0) => return Err(end),
            // A line has begun: it has as long as one at the start has.
            Ok(_) if !half => until = until.min(Instant::now() + HEARD),
            Ok(_) => {}
            Err(e) if timed_out(&e) => {}
            Err(_) => return Err(end),
        }
    }
}

/// Gives the client its last word.
pub fn say(client: &TcpStream, answer: &str) {
    let _ = client.set_write_timeout(Some(ANSWER));
    let _ = (&*client).write_all(format!("{answer}\r\n").as_bytes());
    let _ = client.shutdown(Shutdown::Write);
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
