//! Runs one case: `review-2 NAME RECORD`. Its exit code is the verdict.

use review_2::{relay, Record, Verdict};
use std::time::Duration;

mod cases;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE RECORD");
        std::process::exit(Verdict::CouldNotRun as i32);
    };
    relay::watch_the_time(Duration::from_secs(117));
    let outcome = Record::create(&path)
        .map_err(Into::into)
        .and_then(|record| cases::run(&name, &record));
    let verdict = outcome.unwrap_or_else(|e| {
        eprintln!("{name}: could not run: {e}");
        Verdict::CouldNotRun
    });
    std::process::exit(verdict as i32);
}
