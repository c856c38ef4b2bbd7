//! Probes: `STATS` on a connection of its own, when the decisions ask for one, as a machine that never waits.

use crate::config::Names;
use crate::decisions::api::{EndpointId, Micros, Outcome};
use crate::protocol::buffer::{trim_line_end, Buffer};
use crate::protocol::line::messages::parse_load_report;
use crate::sys::timed_out;
use std::io::Write;
use std::net::TcpStream;

/// The longest wait for each step of a probe, in microseconds: a server that needs longer is told nothing of in time.
pub const STEP_TIMEOUT_US: Micros = 250_000;

/// Probes that may be out at a time: the descriptors set aside for them. A zone that is lost and says nothing holds
/// each of them for [`STEP_TIMEOUT_US`]; eight are 32 a second, more than a relay of a fleet may ask for.
pub const MAX_HEALTH_CHECKS: usize = 8;

/// How a probe has ended, and the report.
pub type HealthCheckResult = (Outcome, Vec<f32>);

fn failed(outcome: Outcome) -> Option<HealthCheckResult> {
    Some((outcome, Vec::new()))
}

/// A probe that is out.
pub struct HealthCheck {
    /// The server that it asks.
    pub endpoint: EndpointId,
    /// Whether it is made for the fleet's load watch, not for this relay's decisions.
    pub for_load_watch: bool,
    /// Its socket; the dial was begun when the probe was.
    pub stream: TcpStream,
    /// When the step that it is at has taken too long.
    pub step_deadline: Micros,
    asked: bool,
    buffer: Buffer,
    limit: Micros,
}

impl HealthCheck {
    /// A probe whose dial has begun.
    pub fn new(
        endpoint: EndpointId,
        for_load_watch: bool,
        stream: TcpStream,
        now: Micros,
        limit: Micros,
    ) -> HealthCheck {
        HealthCheck {
            endpoint,
            for_load_watch,
            stream,
            step_deadline: now + limit,
            asked: false,
            buffer: Buffer::default(),
            limit,
        }
    }

    /// Whether it waits for its dial.
    pub fn is_connecting(&self) -> bool {
        !self.asked
    }

    /// Goes on as far as is possible now; `ready` says that its socket is. None while it is out.
    pub fn advance(
        &mut self,
        now: Micros,
        ready: bool,
        names: &Names,
    ) -> Option<HealthCheckResult> {
        if !self.asked {
            match (ready, self.stream.take_error()) {
                (true, Ok(None)) => {}
                (true, _) => return failed(Outcome::ConnectFailed),
                (false, _) if now >= self.step_deadline => return failed(Outcome::ConnectFailed),
                (false, _) => return None,
            }
            // A new connection takes so few bytes at once or is none.
            if self.stream.write_all(b"STATS\r\n").is_err() {
                return failed(Outcome::ConnectFailed);
            }
            (self.asked, self.step_deadline) = (true, now + self.limit);
        }
        loop {
            match self.buffer.fill(&mut self.stream) {
                Ok(0) => return failed(Outcome::Reset),
                Ok(_) => {}
                Err(e) if timed_out(&e) && now >= self.step_deadline => {
                    return failed(Outcome::Timeout)
                }
                Err(e) if timed_out(&e) => return None,
                Err(_) => return failed(Outcome::Reset),
            }
            match self.buffer.take_line() {
                Ok(None) => {}
                Ok(Some(line)) => {
                    return Some(answer(trim_line_end(self.buffer.slice(line)), names))
                }
                Err(_) => return failed(Outcome::Error),
            }
        }
    }
}

/// Reads a backend's answer to `STATS`.
pub fn answer(line: &[u8], names: &Names) -> (Outcome, Vec<f32>) {
    let text = String::from_utf8_lossy(line);
    let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
    let outcome = if word == "PONG" {
        Outcome::Success
    } else {
        Outcome::Error
    };
    (outcome, parse_load_report(rest, names))
}
