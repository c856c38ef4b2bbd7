//! What connections that are set up and ended cost the relay, and how long a set-up takes.

use super::listeners::open_again;
use super::{Failure, Rig, MEASURED, SET_UPS};
use crate::scale::record::{Record, SetUpRecord};
use hdrhistogram::Histogram;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that set up at a time.
const CLIENTS: u32 = 8;

/// Measures each rate, one after the other.
pub fn run(
    rig: &Rig,
    _most: u64,
    keep: &mut dyn FnMut(Record) -> Result<(), Failure>,
) -> Result<(), Failure> {
    for rate in SET_UPS {
        keep(Record::SetUps(measure(rig, rate)?))?;
    }
    Ok(())
}

fn measure(rig: &Rig, rate: u64) -> Result<SetUpRecord, Failure> {
    let (addr, before, begin) = (rig.relay.addr, rig.sample()?, Instant::now());
    let pause = Duration::from_secs_f64(f64::from(CLIENTS) / rate as f64);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| thread::spawn(move || client(addr, begin + pause * n / CLIENTS, pause)))
        .collect();
    let mut times = Histogram::<u64>::new(3)?;
    for client in clients {
        times.add(client.join().map_err(|_| "a client failed")??)?;
    }
    let after = rig.sample()?;
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
    Ok(SetUpRecord {
        origin: rig.origin.clone(),
        asked_per_second: rate as f64,
        made_per_second: times.len() as f64 / begin.elapsed().as_secs_f64(),
        core: after.core_since(&before),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
    })
}

/// Sets up a connection at each of its moments, and ends it at once. A set-up that comes late is timed from its moment.
fn client(addr: SocketAddr, first: Instant, pause: Duration) -> io::Result<Histogram<u64>> {
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut next = first;
    while next < first + MEASURED {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let mut reader = open_again(addr)?;
        times
            .record(next.elapsed().as_micros() as u64)
            .map_err(io::Error::other)?;
        reader.get_ref().shutdown(Shutdown::Write)?;
        // Until the backend has ended it, too.
        while reader.read(&mut [0; 16])? > 0 {}
        next += pause;
    }
    Ok(times)
}
