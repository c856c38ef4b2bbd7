//! The cases, by name.

mod called_back;
mod half_handshakes;
mod hung_server;
mod keyed_window;
mod long_waits;
mod sent_away;
mod sent_on;
mod silent_watch;

use review_2::{Outcome, Record};

pub fn run(name: &str, record: &Record) -> Outcome {
    match name {
        "called-back" => called_back::run(record),
        "half-handshakes" => half_handshakes::run(record),
        "hung-server" => hung_server::run(record),
        "keyed-window" => keyed_window::run(record),
        "long-waits" => long_waits::run(record),
        "sent-away" => sent_away::run(record),
        "sent-on" => sent_on::run(record),
        "silent-watch" => silent_watch::run(record),
        _ => Err(format!("there is no case {name}").into()),
    }
}
