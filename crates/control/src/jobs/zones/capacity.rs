//! Spare capacity of the other zones for the traffic of a zone that is ejected or returns.

use super::ZoneCapacity;
use std::collections::BTreeMap;

/// Maximum utilization of the other zones after an ejection. The rest absorbs load
/// that is spread unevenly over the endpoints.
const MAX_UTILIZATION_AFTER_EJECTION: f64 = 0.9;
/// Utilization of the other zones above which a returning zone does not get a larger share. A zone
/// returns in steps.
const PEAK_UTILIZATION: f64 = 0.85;

/// Share of a zone's traffic, in percent, for which the other zones have no capacity; 0 if the
/// zone's load is not known. `shares` are the percentages of their usual traffic that the zones get
/// now; of each zone's capacity only this percentage is counted.
pub(super) fn required_share(
    zone: &str,
    capacities: &BTreeMap<String, ZoneCapacity>,
    shares: &BTreeMap<&str, u8>,
) -> u8 {
    let Some(own) = capacities.get(zone).filter(|own| own.load > 0.0) else {
        return 0;
    };
    let mut capacity = 0.0;
    let mut load = 0.0;
    for (name, other) in capacities {
        if name == zone {
            continue;
        }
        let share = shares
            .get(name.as_str())
            .map_or(1.0, |percent| f64::from(*percent) / 100.0);
        capacity += other.capacity * share;
        load += other.load;
    }
    let spare_capacity = (MAX_UTILIZATION_AFTER_EJECTION * capacity - load).max(0.0);
    let required_fraction = (1.0 - spare_capacity / own.load).clamp(0.0, 1.0);
    (required_fraction * 100.0).ceil() as u8
}

/// Whether the utilization of the zones other than this one exceeds [`PEAK_UTILIZATION`].
pub(super) fn is_peak_elsewhere(zone: &str, capacities: &BTreeMap<String, ZoneCapacity>) -> bool {
    let mut capacity = 0.0;
    let mut load = 0.0;
    for (name, other) in capacities {
        if name != zone {
            capacity += other.capacity;
            load += other.load;
        }
    }
    capacity > 0.0 && load > PEAK_UTILIZATION * capacity
}
