//! What deliveries to the listeners of a topic cost the relay, and how long they take.

use super::listeners::Listeners;
use super::{Failure, Rig, DELIVERIES, LISTENERS, MEASURED};
use crate::scale::record::{DeliveryRecord, Record};
use std::thread;
use std::time::{Duration, Instant};

/// How long the last deliveries are waited for.
const LAST: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(10);

/// Measures each rate, one after the other.
pub fn run(
    rig: &Rig,
    _most: u64,
    keep: &mut dyn FnMut(Record) -> Result<(), Failure>,
) -> Result<(), Failure> {
    let listeners = Listeners::start(rig.relay.addr, LISTENERS)?;
    for rate in DELIVERIES {
        keep(Record::Deliveries(measure(rig, &listeners, rate)?))?;
    }
    Ok(())
}

fn measure(rig: &Rig, listeners: &Listeners, rate: u64) -> Result<DeliveryRecord, Failure> {
    let pause = Duration::from_secs_f64(LISTENERS as f64 / rate as f64);
    listeners.take()?;
    let before = rig.sample()?;
    let (begin, mut published) = (Instant::now(), 0u32);
    while begin.elapsed() < MEASURED {
        rig.topic.publish();
        published += 1;
        let next = begin + pause * published;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let after = rig.sample()?;
    let seconds = begin.elapsed().as_secs_f64();
    let last = Instant::now() + LAST;
    let all = u64::from(published) * LISTENERS;
    while listeners.deliveries() < all && Instant::now() < last {
        thread::sleep(LOOK);
    }
    let received = listeners.take()?;
    let ms = |quantile| received.ages.value_at_quantile(quantile) as f64 / 1e3;
    Ok(DeliveryRecord {
        origin: rig.origin.clone(),
        listeners: LISTENERS,
        asked_per_second: rate as f64,
        delivered_per_second: received.deliveries as f64 / seconds,
        lost: all.saturating_sub(received.deliveries),
        core: after.core_since(&before),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
    })
}
