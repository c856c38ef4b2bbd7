//! Health checks of backends: `STATS` on a connection of its own, as a non-blocking state machine.

use crate::config::Names;
use crate::decisions::api::{EndpointId, Micros, Outcome};
use crate::protocol::buffer::{trim_line_end, Buffer};
use crate::protocol::line::messages::parse_load_report;
use crate::sys::timed_out;
use std::io::Write;
use std::net::TcpStream;

/// The time limit of each step of a health check, in microseconds. A load report that takes longer
/// comes too late to be of use.
pub const STEP_TIMEOUT_US: Micros = 250_000;

/// The most health checks at a time; file descriptors are reserved for them. When a zone is lost
/// and its backends do not answer, each check lasts [`STEP_TIMEOUT_US`]; eight at a time are 32
/// each second, more than a relay of a fleet may request.
pub const MAX_HEALTH_CHECKS: usize = 8;

/// The outcome of a health check, and the load report.
pub type HealthCheckResult = (Outcome, Vec<f32>);

fn failed(outcome: Outcome) -> Option<HealthCheckResult> {
    Some((outcome, Vec::new()))
}

/// A health check in progress.
pub struct HealthCheck {
    /// The endpoint that is checked.
    pub endpoint: EndpointId,
    /// Whether it is made for the fleet's load watch, not for this relay's decisions.
    pub for_load_watch: bool,
    /// The socket; its connection attempt started before the health check was created.
    pub stream: TcpStream,
    /// When the current step times out.
    pub step_deadline: Micros,
    request_sent: bool,
    buffer: Buffer,
    step_timeout: Micros,
}

impl HealthCheck {
    /// A health check on a socket whose connection attempt has started.
    pub fn new(
        endpoint: EndpointId,
        for_load_watch: bool,
        stream: TcpStream,
        now: Micros,
        step_timeout: Micros,
    ) -> HealthCheck {
        HealthCheck {
            endpoint,
            for_load_watch,
            stream,
            step_deadline: now + step_timeout,
            request_sent: false,
            buffer: Buffer::default(),
            step_timeout,
        }
    }

    /// Whether the connection is not established yet.
    pub fn is_connecting(&self) -> bool {
        !self.request_sent
    }

    /// Makes what progress is possible without blocking; `ready` tells whether the socket is ready.
    /// Returns none while the check is in progress.
    pub fn advance(
        &mut self,
        now: Micros,
        ready: bool,
        names: &Names,
    ) -> Option<HealthCheckResult> {
        if !self.request_sent {
            match (ready, self.stream.take_error()) {
                (true, Ok(None)) => {}
                (true, _) => return failed(Outcome::ConnectFailed),
                (false, _) if now >= self.step_deadline => return failed(Outcome::ConnectFailed),
                (false, _) => return None,
            }
            // The send buffer of a new connection has room for this; a failure means that the
            // connection is broken.
            if self.stream.write_all(b"STATS\r\n").is_err() {
                return failed(Outcome::ConnectFailed);
            }
            (self.request_sent, self.step_deadline) = (true, now + self.step_timeout);
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
                    return Some(parse_response(
                        trim_line_end(self.buffer.slice(line)),
                        names,
                    ));
                }
                Err(_) => return failed(Outcome::Error),
            }
        }
    }
}

/// Parses a backend's response to `STATS`.
pub fn parse_response(line: &[u8], names: &Names) -> HealthCheckResult {
    let text = String::from_utf8_lossy(line);
    let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
    let outcome = if word == "PONG" {
        Outcome::Success
    } else {
        Outcome::Error
    };
    (outcome, parse_load_report(rest, names))
}
