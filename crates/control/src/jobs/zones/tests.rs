use super::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// A fleet of nine relays in three zones, and what each sees.
struct Fleet {
    zones: ZoneFailover,
    now: Micros,
    rooms: BTreeMap<String, ZoneCapacity>,
    /// Each change, with when it was.
    log: Vec<(Micros, String, ZoneState, u8)>,
}

impl Fleet {
    fn new(load: f64) -> Fleet {
        let mut zones = ZoneFailover::default();
        zones.add_zones(ZONES);
        let room = |zone: &str| {
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
            rooms: ZONES.map(room).into(),
            log: Vec::new(),
        }
    }

    /// So many seconds, in each quarter of which every relay says what it sees: the failures of ten tries in a zone.
    fn play(&mut self, seconds: u64, sees: impl Fn(usize, &str, &str) -> u32) {
        for _ in 0..seconds * 4 {
            self.now += SECOND / 4;
            for relay in 0..9 {
                let own = ZONES[relay % 3];
                let sight = |zone: &&str| ZoneObservation {
                    zone: zone.to_string(),
                    attempts: 10,
                    failed: sees(relay, own, zone),
                };
                let seen = ZoneObservations {
                    observer_zone: own.into(),
                    zones: ZONES.iter().map(sight).collect(),
                };
                let seen = ZoneObservations::decode(&seen.encode()).unwrap();
                self.zones
                    .handle_observations(self.now, &format!("n{relay}"), seen);
            }
            let before = self.zones.status();
            for (name, zone) in self.zones.tick(self.now, &self.rooms).into_iter().flatten() {
                if before
                    .get(&name)
                    .is_none_or(|b| (b.state, b.share) != (zone.state, zone.share))
                {
                    self.log.push((self.now, name, zone.state, zone.share));
                }
            }
        }
    }

    fn zone(&self, name: &str) -> ZoneStatus {
        self.zones.status()[name].clone()
    }
}

fn dead(zone: &'static str) -> impl Fn(usize, &str, &str) -> u32 {
    move |_, _, of| if of == zone { 10 } else { 0 }
}

#[test]
fn a_dead_zone_is_ejected_within_two_seconds_and_returns_in_steps_without_relapse() {
    let mut fleet = Fleet::new(4.0);
    fleet.play(3, |_, _, _| 0);
    fleet.play(2, dead("b"));
    assert_eq!(
        (fleet.zone("b").state, fleet.zone("b").share),
        (ZoneState::Ejected, 0)
    );
    assert!(fleet.log.iter().all(|(at, ..)| *at <= 5 * SECOND));
    fleet.play(8, dead("b"));
    assert_eq!(
        fleet.zone("b").state,
        ZoneState::Ejected,
        "not before its least time"
    );
    fleet.play(60, |_, _, _| 0);
    let shares: Vec<u8> = fleet.log.iter().map(|(.., share)| *share).collect();
    assert_eq!(shares, [100, 0, 1, 5, 10, 25, 50, 100], "{:?}", fleet.log);
    assert_eq!(fleet.zone("b").state, ZoneState::Healthy);
}

#[test]
fn a_minority_of_relays_or_a_single_zone_ejects_no_zone() {
    let mut fleet = Fleet::new(4.0);
    fleet.play(
        20,
        |relay, _, of| if relay < 3 && of == "b" { 10 } else { 0 },
    );
    assert_eq!(fleet.log, [], "three of nine, of three zones");
    fleet.play(
        20,
        |_, own, of| if own == "a" && of == "b" { 10 } else { 0 },
    );
    assert_eq!(fleet.log, [], "cut off from one zone only");
    // Relays that see nothing work are ill, however many of a zone there are.
    fleet.play(20, |_, own, _| if own == "c" { 10 } else { 0 });
    assert_eq!(fleet.log, []);
}

#[test]
fn a_fault_of_all_zones_ejects_none_and_only_one_zone_is_ejected_at_a_time() {
    let mut fleet = Fleet::new(2.0);
    fleet.play(20, |_, _, _| 8);
    assert!(
        ZONES.iter().all(|zone| fleet.zone(zone).share == 100),
        "{:?}",
        fleet.log
    );
    assert!(fleet.zone("a").reason.contains("nobody leaves"));
    let mut fleet = Fleet::new(2.0);
    fleet.play(3, dead("a"));
    fleet.play(10, |_, _, of| if of == "c" { 0 } else { 10 });
    assert_eq!((fleet.zone("a").share, fleet.zone("b").share), (0, 100));
}

#[test]
fn load_beyond_the_capacity_of_the_other_zones_stays() {
    // Of 10 each can do, the others have room for 1 each beyond 8.
    let mut fleet = Fleet::new(8.0);
    fleet.play(5, dead("b"));
    let b = fleet.zone("b");
    assert_eq!((b.state, b.share), (ZoneState::Ejected, 75), "{}", b.reason);
    assert!(b.reason.contains("a part only"));
    let mut fleet = Fleet::new(9.5);
    fleet.play(5, dead("b"));
    assert_eq!(fleet.zone("b").share, 100);
    assert!(
        fleet.zone("b").reason.contains("no room"),
        "{}",
        fleet.zone("b").reason
    );
}

#[test]
fn a_zone_that_fails_again_goes_back_a_step_and_waits_longer_each_time() {
    let mut fleet = Fleet::new(4.0);
    fleet.play(3, dead("b"));
    // Bad from a tenth of its traffic on: two of ten tries fail there.
    for _ in 0..200 {
        let share = fleet.zone("b").share;
        fleet.play(
            1,
            move |_, _, of| if of == "b" && share >= 10 { 2 } else { 0 },
        );
    }
    let steps: Vec<(Micros, u8)> = fleet
        .log
        .iter()
        .map(|(at, .., share)| (*at, *share))
        .collect();
    let tenths: Vec<Micros> = steps
        .iter()
        .filter(|(_, share)| *share == 10)
        .map(|(at, _)| *at)
        .collect();
    assert!(tenths.len() >= 2, "{steps:?}");
    let pauses: Vec<Micros> = tenths.windows(2).map(|pair| pair[1] - pair[0]).collect();
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
    fleet.play(30, |_, _, _| 0);
    assert_eq!(
        (fleet.zone("b").state, fleet.zone("b").share),
        (ZoneState::Manual, 0)
    );
    assert!(fleet
        .zones
        .set_manual_share(0, "x", None)
        .unwrap_err()
        .contains("there are a, b, c"));
    fleet.zones.set_manual_share(fleet.now, "b", None).unwrap();
    fleet.rooms.values_mut().for_each(|room| room.load = 9.0);
    fleet.play(30, |_, _, _| 0);
    assert_eq!(fleet.zone("b").share, 0, "{}", fleet.zone("b").reason);
    fleet.rooms.values_mut().for_each(|room| room.load = 4.0);
    fleet.play(40, |_, _, _| 0);
    assert_eq!(fleet.zone("b").state, ZoneState::Healthy);
}

#[test]
fn a_new_owner_resumes_the_states_and_returns_no_faster() {
    let mut fleet = Fleet::new(4.0);
    fleet.play(3, dead("b"));
    let told = fleet.zones.status();
    let mut next = ZoneFailover::default();
    next.resume(fleet.now, &told);
    fleet.zones = next;
    let since = fleet.now;
    fleet.play(9, |_, _, _| 0);
    assert_eq!(fleet.zone("b").state, ZoneState::Ejected);
    fleet.play(60, |_, _, _| 0);
    assert_eq!(fleet.zone("b").state, ZoneState::Healthy);
    assert!(fleet
        .log
        .iter()
        .filter(|(at, ..)| *at > since)
        .all(|(_, name, ..)| name == "b"));
}
