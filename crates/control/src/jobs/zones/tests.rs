use super::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// A fleet of nine relays in three zones.
struct Fleet {
    zones: ZoneFailover,
    now: Micros,
    capacities: BTreeMap<String, ZoneCapacity>,
    /// Time, zone, state and share of each change.
    changes: Vec<(Micros, String, ZoneState, u8)>,
}

impl Fleet {
    fn new(load: f64) -> Fleet {
        let mut zones = ZoneFailover::default();
        zones.add_zones(ZONES);
        let capacity = |zone: &str| {
            (
                zone.to_string(),
                ZoneCapacity {
                    capacity: 10.0,
                    load,
                },
            )
        };
        Fleet {
            zones,
            now: 0,
            capacities: ZONES.map(capacity).into(),
            changes: Vec::new(),
        }
    }

    /// Runs for this many seconds. Every quarter second each relay reports its observations:
    /// `failures` returns the number of failed attempts out of ten, for the number of the relay,
    /// its zone and the observed zone.
    fn run(&mut self, seconds: u64, failures: impl Fn(usize, &str, &str) -> u32) {
        for _ in 0..seconds * 4 {
            self.now += SECOND / 4;
            for relay in 0..9 {
                let own = ZONES[relay % 3];
                let observation = |zone: &&str| ZoneObservation {
                    zone: zone.to_string(),
                    attempts: 10,
                    failed: failures(relay, own, zone),
                };
                let observations = ZoneObservations {
                    observer_zone: own.into(),
                    zones: ZONES.iter().map(observation).collect(),
                };
                let observations = ZoneObservations::decode(&observations.encode()).unwrap();
                self.zones
                    .handle_observations(self.now, &format!("n{relay}"), observations);
            }
            let before = self.zones.status();
            for (name, zone) in self
                .zones
                .tick(self.now, &self.capacities)
                .into_iter()
                .flatten()
            {
                if before
                    .get(&name)
                    .is_none_or(|b| (b.state, b.share) != (zone.state, zone.share))
                {
                    self.changes.push((self.now, name, zone.state, zone.share));
                }
            }
        }
    }

    fn zone(&self, name: &str) -> ZoneStatus {
        self.zones.status()[name].clone()
    }
}

fn all_attempts_fail(zone: &'static str) -> impl Fn(usize, &str, &str) -> u32 {
    move |_, _, observed| if observed == zone { 10 } else { 0 }
}

#[test]
fn a_failed_zone_is_ejected_within_two_seconds_and_returns_in_steps_without_relapse() {
    let mut fleet = Fleet::new(4.0);
    fleet.run(3, |_, _, _| 0);
    fleet.run(2, all_attempts_fail("b"));
    assert_eq!(
        (fleet.zone("b").state, fleet.zone("b").share),
        (ZoneState::Ejected, 0)
    );
    assert!(fleet.changes.iter().all(|(at, ..)| *at <= 5 * SECOND));
    fleet.run(8, all_attempts_fail("b"));
    assert_eq!(
        fleet.zone("b").state,
        ZoneState::Ejected,
        "the minimum duration has not passed"
    );
    fleet.run(60, |_, _, _| 0);
    let shares: Vec<u8> = fleet.changes.iter().map(|(.., share)| *share).collect();
    assert_eq!(
        shares,
        [100, 0, 1, 5, 10, 25, 50, 100],
        "{:?}",
        fleet.changes
    );
    assert_eq!(fleet.zone("b").state, ZoneState::Healthy);
}

#[test]
fn observations_of_a_minority_of_relays_or_of_a_single_zone_eject_no_zone() {
    let mut fleet = Fleet::new(4.0);
    fleet.run(
        20,
        |relay, _, of| if relay < 3 && of == "b" { 10 } else { 0 },
    );
    assert_eq!(
        fleet.changes,
        [],
        "only three of nine relays, in three zones, observe failures"
    );
    fleet.run(
        20,
        |_, own, of| if own == "a" && of == "b" { 10 } else { 0 },
    );
    assert_eq!(
        fleet.changes,
        [],
        "zone a is cut off from zone b, and zone c is not"
    );
    // Relays that observe only failures have a fault of their own, even all relays of a zone.
    fleet.run(20, |_, own, _| if own == "c" { 10 } else { 0 });
    assert_eq!(fleet.changes, []);
}

#[test]
fn a_fault_of_all_zones_ejects_none_and_only_one_zone_is_ejected_at_a_time() {
    let mut fleet = Fleet::new(2.0);
    fleet.run(20, |_, _, _| 8);
    assert!(
        ZONES.iter().all(|zone| fleet.zone(zone).share == 100),
        "{:?}",
        fleet.changes
    );
    assert!(fleet.zone("a").reason.contains("no zone is ejected"));
    let mut fleet = Fleet::new(2.0);
    fleet.run(3, all_attempts_fail("a"));
    fleet.run(10, |_, _, of| if of == "c" { 0 } else { 10 });
    assert_eq!((fleet.zone("a").share, fleet.zone("b").share), (0, 100));
}

#[test]
fn load_beyond_the_capacity_of_the_other_zones_stays() {
    // Each of the others has a capacity of 10 and may have a load of 9, which is 1 more than its
    // load of 8.
    let mut fleet = Fleet::new(8.0);
    fleet.run(5, all_attempts_fail("b"));
    let b = fleet.zone("b");
    assert_eq!((b.state, b.share), (ZoneState::Ejected, 75), "{}", b.reason);
    assert!(b.reason.contains("only a part"));
    let mut fleet = Fleet::new(9.5);
    fleet.run(5, all_attempts_fail("b"));
    assert_eq!(fleet.zone("b").share, 100);
    assert!(
        fleet.zone("b").reason.contains("no capacity"),
        "{}",
        fleet.zone("b").reason
    );
}

#[test]
fn a_zone_that_fails_again_goes_back_a_step_and_waits_longer_each_time() {
    let mut fleet = Fleet::new(4.0);
    fleet.run(3, all_attempts_fail("b"));
    // From 10% of its traffic on, two of ten attempts fail.
    for _ in 0..200 {
        let share = fleet.zone("b").share;
        fleet.run(
            1,
            move |_, _, of| if of == "b" && share >= 10 { 2 } else { 0 },
        );
    }
    let steps: Vec<(Micros, u8)> = fleet
        .changes
        .iter()
        .map(|(at, .., share)| (*at, *share))
        .collect();
    let times_at_ten_percent: Vec<Micros> = steps
        .iter()
        .filter(|(_, share)| *share == 10)
        .map(|(at, _)| *at)
        .collect();
    assert!(times_at_ten_percent.len() >= 2, "{steps:?}");
    let pauses: Vec<Micros> = times_at_ten_percent
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(
        pauses.windows(2).all(|pair| pair[1] >= pair[0]),
        "{pauses:?}"
    );
    assert!(
        steps.iter().skip(2).all(|(_, share)| *share <= 10),
        "{steps:?}"
    );
}

#[test]
fn operators_set_a_zones_share_and_a_load_peak_delays_a_return() {
    let mut fleet = Fleet::new(4.0);
    fleet.zones.set_manual_share(0, "b", Some(0)).unwrap();
    fleet.run(30, |_, _, _| 0);
    assert_eq!(
        (fleet.zone("b").state, fleet.zone("b").share),
        (ZoneState::Manual, 0)
    );
    assert!(fleet
        .zones
        .set_manual_share(0, "x", None)
        .unwrap_err()
        .to_string()
        .contains("the zones are a, b, c"));
    fleet.zones.set_manual_share(fleet.now, "b", None).unwrap();
    fleet
        .capacities
        .values_mut()
        .for_each(|zone| zone.load = 9.0);
    fleet.run(30, |_, _, _| 0);
    assert_eq!(fleet.zone("b").share, 0, "{}", fleet.zone("b").reason);
    fleet
        .capacities
        .values_mut()
        .for_each(|zone| zone.load = 4.0);
    fleet.run(40, |_, _, _| 0);
    assert_eq!(fleet.zone("b").state, ZoneState::Healthy);
}

#[test]
fn a_new_owner_resumes_the_states_and_returns_no_faster() {
    let mut fleet = Fleet::new(4.0);
    fleet.run(3, all_attempts_fail("b"));
    let statuses = fleet.zones.status();
    let mut next = ZoneFailover::default();
    next.resume(fleet.now, &statuses);
    fleet.zones = next;
    let since = fleet.now;
    fleet.run(9, |_, _, _| 0);
    assert_eq!(fleet.zone("b").state, ZoneState::Ejected);
    fleet.run(60, |_, _, _| 0);
    assert_eq!(fleet.zone("b").state, ZoneState::Healthy);
    assert!(fleet
        .changes
        .iter()
        .filter(|(at, ..)| *at > since)
        .all(|(_, name, ..)| name == "b"));
}
