//! Tests of the decisions of a single balancer: placement, the limits of each rule, and the faults
//! that were found in operation.

mod common;

use common::*;
use jaspermoor::decisions::api::*;
use jaspermoor::decisions::ring::{hash, mix};
use jaspermoor::decisions::send_check::SendRefusal;
use jaspermoor::{Balancer, Parameters};
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints of `keys` clients without a group, each placed while no other connection exists.
fn homes(listed: Vec<ListedEndpoint>, keys: u64) -> Vec<EndpointId> {
    let mut harness = BalancerHarness::new(Settings::default(), 3);
    harness.update_endpoints(EndpointListKind::Full, listed);
    (1..=keys)
        .map(|key| {
            let endpoint = attempted_endpoint(&harness.submit(request(key as u32, key, 0)))
                .expect("an endpoint for the request");
            harness.end_attempt(key as u32, endpoint, Outcome::Success, true);
            endpoint
        })
        .collect()
}

// ---- Hashes and slots ----

#[test]
fn hashes_are_pinned() {
    // Other balancers, possibly of another release, must compute the same homes.
    assert_eq!(mix(0), 0xe220a8397b1dcdaf);
    assert_eq!(mix(1), 0x910a2dec89025cc1);
    assert_eq!(hash(42, 0), mix(mix(42)));
    assert_eq!(hash(42, 1), mix(mix(42) ^ 1));
    assert_ne!(hash(42, 0), hash(42, 1));
}

#[test]
fn homes_do_not_depend_on_the_order_of_the_list_or_on_the_seed() {
    let forward = homes((1..=20).map(ready_endpoint).collect(), 200);
    let backward = homes((1..=20).rev().map(ready_endpoint).collect(), 200);
    assert_eq!(forward, backward);
}

#[test]
fn an_additional_endpoint_takes_over_only_its_own_keys() {
    let before = homes((1..=20).map(ready_endpoint).collect(), 1000);
    let after = homes((1..=21).map(ready_endpoint).collect(), 1000);
    let changed: Vec<_> = before.iter().zip(&after).filter(|(b, a)| b != a).collect();
    assert!(
        changed.iter().all(|(_, a)| **a == EndpointId(21)),
        "keys changed between the old endpoints"
    );
    assert!(
        (10..120).contains(&changed.len()),
        "{} of 1000 keys changed, about a twenty-first expected",
        changed.len()
    );
}

#[test]
fn a_removed_endpoint_changes_the_homes_of_its_own_keys_only() {
    let before = homes((1..=20).map(ready_endpoint).collect(), 1000);
    let after = homes((1..=19).map(ready_endpoint).collect(), 1000);
    for (b, a) in before.iter().zip(&after) {
        assert!(b == a || *b == EndpointId(20));
    }
}

#[test]
fn a_larger_endpoint_is_home_to_more() {
    let mut listed: Vec<_> = (1..=10).map(ready_endpoint).collect();
    listed[0].size = 4.0;
    let mut harness = BalancerHarness::new(
        Settings {
            weights: EndpointWeights::Nominal,
            ..Settings::default()
        },
        3,
    );
    harness.update_endpoints(EndpointListKind::Full, listed);
    let mut of_first = 0;
    for key in 1..=1000 {
        let endpoint =
            attempted_endpoint(&harness.submit(request(key, u64::from(key), 0))).unwrap();
        harness.end_attempt(key, endpoint, Outcome::Success, true);
        of_first += u32::from(endpoint == EndpointId(1));
    }
    assert!(
        (200..450).contains(&of_first),
        "{of_first} of 1000 keys; the size is 4 of 13"
    );
}

#[test]
fn a_key_that_equals_an_endpoint_id_jumps_like_any_other() {
    // In an earlier version, the points of an endpoint were the slots on the jumps of an equal key.
    for key in 1..=10 {
        let mut harness = BalancerHarness::with_endpoints(Settings::default(), 10);
        let endpoints: BTreeSet<_> = (1..=8)
            .map(|id| harness.connect(request(id, key, 0)).unwrap())
            .collect();
        assert!(endpoints.len() > 1);
    }
}

// ---- Cap, jumps and fallback ----

#[test]
fn the_cap_is_at_least_one_and_the_overflow_of_a_key_is_spread() {
    // The same key without a group for all requests. 1 + ε is 3; the cap follows the mean.
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 10);
    let mut by_endpoint: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for id in 1..=60u32 {
        let endpoint = harness
            .connect(request(id, 99, 0))
            .expect("an endpoint under its cap");
        let n = by_endpoint.entry(endpoint).or_default();
        // As in the paper, n is the number of connections before this one.
        let cap = (3.0 * f64::from(id - 1) / 10.0).ceil().max(1.0);
        assert!(f64::from(*n) < cap, "{n} connections at a cap of {cap}");
        *n += 1;
    }
    assert!(
        by_endpoint.len() >= 4,
        "one key should overflow to several endpoints: {by_endpoint:?}"
    );
}

#[test]
fn two_keys_overflow_from_one_home_to_different_endpoints() {
    let list = homes((1..=30).map(ready_endpoint).collect(), 400);
    let mut overflow = BTreeSet::new();
    for (key, home) in (1u64..).zip(&list).filter(|(_, home)| **home == list[0]) {
        let mut harness = BalancerHarness::with_endpoints(Settings::default(), 30);
        assert_eq!(harness.connect(request(1, key, 0)), Some(*home));
        overflow.insert(harness.connect(request(2, key, 0)));
    }
    assert!(
        overflow.len() >= 3,
        "the overflow of one endpoint went to {overflow:?} only"
    );
}

#[test]
fn the_fallback_chooses_the_least_loaded_and_counts_a_new_endpoint_at_the_mean() {
    let mut harness = BalancerHarness::with_endpoints(
        Settings {
            initial_capacity: 1.0,
            ..Settings::default()
        },
        2,
    );
    for id in 1..=12 {
        harness.connect(request(id, u64::from(id), 0));
    }
    // All endpoints reject in turn, also endpoint 3, which has no connection yet.
    let new = ListedEndpoint {
        started_at: Some(harness.now),
        ..ready_endpoint(3)
    };
    harness.update_endpoints(EndpointListKind::Delta, vec![new]);
    let mut reached = BTreeSet::new();
    let mut endpoint = attempted_endpoint(&harness.submit(request(50, 5, 0))).unwrap();
    reached.insert(endpoint);
    for _ in 0..2 {
        endpoint = attempted_endpoint(&harness.end_attempt(50, endpoint, Outcome::Rejected, false))
            .expect("another endpoint is left");
        assert!(
            reached.insert(endpoint),
            "no second attempt at an endpoint that has rejected"
        );
    }
    assert_eq!(reached.len(), 3);
}

#[test]
fn requests_without_any_key_are_served() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 5);
    let endpoints: BTreeSet<_> = (1..=50)
        .map(|id| harness.connect(request(id, 0, 0)).unwrap())
        .collect();
    assert_eq!(endpoints.len(), 5);
}

// ---- Groups ----

#[test]
fn a_small_group_stays_at_one_or_two_endpoints() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 10);
    for id in 1..=60u32 {
        harness.connect(request(id, u64::from(id), 1000 + u64::from(id % 20)));
    }
    let mut endpoints = BTreeSet::new();
    for id in 100..106 {
        endpoints.insert(harness.connect(request(id, u64::from(id), 1000)).unwrap());
    }
    assert!(
        endpoints.len() <= 2,
        "each endpoint with connections of a group bears its cost: {endpoints:?}"
    );
}

#[test]
fn a_group_that_is_too_large_for_one_endpoint_gets_more_homes() {
    let mut harness = BalancerHarness::with_endpoints(
        Settings {
            balancer_count: 50,
            ..Settings::default()
        },
        20,
    );
    // Half of all arrivals here are of one group, which therefore needs ten endpoints for the whole
    // fleet, although the connections of this balancer are far below all caps.
    let mut endpoints = BTreeSet::new();
    for id in 1..=40u32 {
        let group = if id % 2 == 0 { 7 } else { 1000 + u64::from(id) };
        let endpoint = harness.connect(request(id, u64::from(id), group)).unwrap();
        if id % 2 == 0 && id > 20 {
            endpoints.insert(endpoint);
        }
    }
    assert!(
        (3..=12).contains(&endpoints.len()),
        "homes of the large group: {endpoints:?}"
    );
}

#[test]
fn two_balancers_compute_the_same_home_of_a_client_without_communication() {
    let mut agree = 0;
    let (mut a, mut b) = (
        BalancerHarness::with_endpoints(
            Settings {
                balancer_count: 2,
                ..Settings::default()
            },
            20,
        ),
        BalancerHarness::new(
            Settings {
                balancer_count: 2,
                ..Settings::default()
            },
            99,
        ),
    );
    b.update_endpoints(
        EndpointListKind::Full,
        (1..=20).rev().map(ready_endpoint).collect(),
    );
    // Each balancer has its own clients of the same eight groups.
    for id in 1..=80u32 {
        a.connect(request(id, u64::from(id), 500 + u64::from(id % 8)));
        b.connect(request(id, 10_000 + u64::from(id), 500 + u64::from(id % 8)));
    }
    for id in 101..=140u32 {
        let at_a = a.connect(request(id, u64::from(id), 500 + u64::from(id % 8)));
        agree += u32::from(at_a == b.connect(request(id, u64::from(id), 500 + u64::from(id % 8))));
    }
    assert!(
        agree >= 30,
        "{agree} of 40 clients were placed at the same endpoint by both"
    );
}

#[test]
fn a_home_in_the_own_zone_comes_first() {
    let mut harness = BalancerHarness::new(
        Settings {
            zone: 1,
            balancer_count: 20,
            ..Settings::default()
        },
        1,
    );
    harness.update_endpoints(
        EndpointListKind::Full,
        (1..=20)
            .map(|n| ListedEndpoint {
                zone: (n % 2) as u16,
                ..ready_endpoint(n)
            })
            .collect(),
    );
    let (mut in_own_zone, mut all) = (0, BTreeSet::new());
    for id in 1..=100 {
        let endpoint = harness.connect(request(id, u64::from(id), 7)).unwrap();
        in_own_zone += endpoint.0 % 2;
        all.insert(endpoint);
    }
    assert!(
        in_own_zone >= 70,
        "{in_own_zone} of 100 were placed in the zone"
    );
    assert!(all.len() <= 20);
}

// ---- Load reports ----

fn settings_with_health_checks() -> Settings {
    Settings {
        may_check_health: true,
        report_columns: vec![ReportColumn::Active, ReportColumn::Load],
        ..Settings::default()
    }
}

/// A harness of four endpoints with five connections each.
fn harness_with_connections(settings: Settings) -> BalancerHarness {
    let mut harness = BalancerHarness::with_endpoints(settings, 4);
    for n in 0..20 {
        harness.handle(Event::Adopted {
            request: request(100 + n, u64::from(n), 7),
            endpoint: EndpointId(u64::from(n % 4) + 1),
        });
    }
    harness
}

/// The harness after enough arrivals for estimates of its own.
fn with_own_estimates(mut harness: BalancerHarness) -> BalancerHarness {
    for id in 50_000..50_040 {
        if let Some(endpoint) = harness.connect(request(id, u64::from(id), 900)) {
            harness.end_attempt(id, endpoint, Outcome::Success, true);
        }
    }
    harness
}

fn report_load(harness: &mut BalancerHarness, endpoint: u64, load: f32) {
    harness.handle(Event::HealthCheck {
        endpoint: EndpointId(endpoint),
        outcome: Outcome::Success,
        report: vec![50.0, load],
    });
}

#[test]
fn endpoints_are_checked_in_turn_if_health_checks_report_loads() {
    let checked = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::CheckHealth(endpoint) => Some(*endpoint),
            _ => None,
        })
    };
    let mut harness = BalancerHarness::new(settings_with_health_checks(), 7);
    let mut actions = harness.update_endpoints(EndpointListKind::Full, Vec::new());
    let (mut seen, begin) = (BTreeMap::new(), harness.now);
    for n in 0..30 {
        let (at, token) = timers(&actions)[0];
        harness.now = at;
        if n == 5 {
            // The first list is empty: the checks continue when endpoints are added.
            harness.update_endpoints(
                EndpointListKind::Full,
                (1..=4).map(ready_endpoint).collect(),
            );
        }
        actions = harness.fire_timer(token);
        if let Some(endpoint) = checked(&actions) {
            *seen.entry(endpoint).or_insert(0) += 1;
        }
    }
    assert_eq!(seen.len(), 4);
    assert!(seen.values().all(|n| (5..=8).contains(n)), "{seen:?}");
    assert!(
        harness.now - begin < 30 * SECOND,
        "health checks are too rare"
    );
    for settings in [
        Settings {
            may_check_health: false,
            ..settings_with_health_checks()
        },
        Settings {
            report_columns: vec![],
            ..settings_with_health_checks()
        },
    ] {
        assert!(BalancerHarness::new(settings, 7)
            .update_endpoints(EndpointListKind::Full, vec![ready_endpoint(1)])
            .is_empty());
    }
}

/// Connection counts are those of one balancer only: by them, an endpoint that others had filled
/// kept its keys.
#[test]
fn an_endpoint_that_reports_to_be_full_gets_no_more_keys() {
    let mut harness = BalancerHarness::with_endpoints(settings_with_health_checks(), 4);
    let home = harness.connect(request(1, 1, 7)).unwrap();
    for endpoint in 1..=4 {
        report_load(
            &mut harness,
            endpoint,
            if endpoint == home.0 { 0.95 } else { 0.3 },
        );
    }
    for id in 2..=5 {
        assert_ne!(harness.connect(request(id, u64::from(id), 7)), Some(home));
    }
    report_load(&mut harness, home.0, 0.3);
    assert_eq!(
        harness.connect(request(6, 6, 7)),
        Some(home),
        "it has spare capacity again"
    );
    report_load(&mut harness, home.0, 0.95);
    harness.now += 10 * SECOND;
    assert_eq!(
        harness.connect(request(7, 7, 7)),
        Some(home),
        "the report has expired"
    );
}

/// Requests between two reports count. An endpoint that had reported no load got a hundred
/// connections within 1.5 s, because its own report did not show the work of a connection.
#[test]
fn requests_since_a_report_add_to_its_load() {
    let mut harness = BalancerHarness::with_endpoints(settings_with_health_checks(), 4);
    let home = harness.connect(request(1, 1, 7)).unwrap();
    let report = |load, active| vec![active, load];
    for endpoint in 1..=4 {
        let report = if home.0 == endpoint {
            report(0.0, 0.0)
        } else {
            report(0.5, 10.0)
        };
        harness.handle(Event::HealthCheck {
            endpoint: EndpointId(endpoint),
            outcome: Outcome::Success,
            report,
        });
    }
    // Each connection adds 0.05, as at the other endpoints, so 20 fill the endpoint.
    let to: Vec<_> = (2..=60)
        .map(|id| harness.connect(request(id, u64::from(id), 7)).unwrap())
        .collect();
    let at_home = to.iter().filter(|&&endpoint| endpoint == home).count();
    assert!((4..=20).contains(&at_home), "{at_home}");
}

/// An overloaded endpoint kept all of its connections until it failed and dropped them.
#[test]
fn an_overloaded_endpoint_loses_some_connections_once_per_report() {
    let mut harness = BalancerHarness::with_endpoints(settings_with_health_checks(), 4);
    let home = harness.connect(request(1, 1, 7)).unwrap();
    for id in 2..=40 {
        harness.handle(Event::Adopted {
            request: request(id, u64::from(id), 7),
            endpoint: home,
        });
    }
    let mut report = |load: f32, others: f32| {
        for endpoint in (1..=4).filter(|&endpoint| endpoint != home.0) {
            report_load(&mut harness, endpoint, others);
        }
        let report = vec![40.0, load];
        timers(&harness.handle(Event::HealthCheck {
            endpoint: home,
            outcome: Outcome::Success,
            report,
        }))
        .len()
    };
    assert_eq!(report(0.8, 0.3), 0);
    let migrated = report(1.5, 0.3);
    assert!(
        (10..=30).contains(&migrated),
        "{migrated} of 40 were migrated; half of the load is excess"
    );
    assert_eq!(
        report(1.5, 0.3),
        0,
        "the same report again causes no migration"
    );
    assert_eq!(report(1.6, 0.9), 0, "no spare capacity elsewhere");
}

/// Dropped connections show overload before the endpoint list or a report does.
#[test]
fn an_endpoint_that_drops_connections_gets_no_more_for_a_time() {
    let mut harness = harness_with_connections(Settings::default());
    let home = harness.connect(request(1, 1, 7)).unwrap();
    assert_eq!(harness.connect(request(2, 2, 7)), Some(home));
    harness.end_attempt(1, home, Outcome::Reset, true);
    assert_ne!(harness.connect(request(3, 3, 7)), Some(home));
}

/// A slow endpoint was never used again although it had little load.
#[test]
fn slow_messages_within_the_objective_do_not_cut_the_cap_of_an_endpoint_with_spare_capacity() {
    for (load, delay_ms, stays) in [(0.2, 60, true), (0.2, 150, false), (0.7, 60, false)] {
        let mut harness = harness_with_connections(settings_with_health_checks());
        let home = harness.connect(request(1, 1, 7)).unwrap();
        (1..=4).for_each(|endpoint| report_load(&mut harness, endpoint, load));
        harness.handle(Event::DelaySample {
            id: RequestId(1),
            endpoint: home,
            delay: delay_ms * MS,
        });
        assert_eq!(
            harness.connect(request(2, 2, 7)) == Some(home),
            stays,
            "load {load}, delay {delay_ms} ms"
        );
    }
}

#[test]
fn keys_stay_in_their_zone_while_its_endpoints_have_spare_capacity() {
    let mut harness = BalancerHarness::new(
        Settings {
            zone: 1,
            ..settings_with_health_checks()
        },
        1,
    );
    harness.update_endpoints(
        EndpointListKind::Full,
        (1..=6)
            .map(|n| ListedEndpoint {
                zone: (n % 2) as u16,
                ..ready_endpoint(n)
            })
            .collect(),
    );
    let mut harness = with_own_estimates(harness);
    for (own_zone_load, least, most) in [(0.3, 12, 12), (0.75, 0, 8)] {
        (1..=6).for_each(|n| {
            report_load(
                &mut harness,
                n,
                if n % 2 == 1 { own_zone_load } else { 0.2 },
            )
        });
        let place = |id: u32| {
            harness
                .connect(request(id, u64::from(id), u64::from(id)))
                .unwrap()
                .0
                % 2
        };
        let first = if own_zone_load < 0.5 { 1 } else { 101 };
        let in_own_zone: u64 = (first..first + 12).map(place).sum();
        assert!(
            (least..=most).contains(&in_own_zone),
            "{in_own_zone} of 12 were placed in the zone at a load of {own_zone_load}"
        );
    }
}

// ---- Rule 1: exactly one final answer ----

#[test]
fn without_endpoints_a_request_is_rejected_in_time() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 0);
    let actions = harness.submit(request(1, 5, 0));
    assert_eq!(attempted_endpoint(&actions), None);
    assert!(
        !is_rejected(&actions),
        "it waits, because an endpoint may be added"
    );
    let (at, token) = timers(&actions)[0];
    assert!(at < harness.now + SECOND);
    harness.now = at;
    assert!(is_rejected(&harness.fire_timer(token)));
    assert!(harness.fire_timer(token).is_empty(), "a second answer");
}

#[test]
fn a_waiting_request_is_attempted_when_an_endpoint_is_added() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 0);
    let actions = harness.submit(request(1, 5, 0));
    let (at, token) = *timers(&actions).last().unwrap();
    harness.update_endpoints(EndpointListKind::Delta, vec![ready_endpoint(1)]);
    harness.now = at;
    assert_eq!(
        attempted_endpoint(&harness.fire_timer(token)),
        Some(EndpointId(1))
    );
}

#[test]
fn at_the_deadline_a_request_is_answered_and_its_attempt_cancelled() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 3);
    let actions = harness.submit(request(1, 5, 0));
    let endpoint = attempted_endpoint(&actions).unwrap();
    let (at, token) = timers(&actions)[0];
    harness.now = at;
    let actions = harness.fire_timer(token);
    assert!(
        is_rejected(&actions)
            && actions.contains(&Action::CancelAttempt {
                id: RequestId(1),
                attempt: 0
            })
    );
    assert!(harness
        .end_attempt(1, endpoint, Outcome::Cancelled, true)
        .is_empty());
}

#[test]
fn late_events_of_a_finished_request_cause_no_action() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 3);
    let endpoint = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
    harness.handle(Event::ClientDisconnected(RequestId(1)));
    assert!(
        harness
            .end_attempt(1, endpoint, Outcome::Error, false)
            .is_empty(),
        "the client has disconnected"
    );
    let mut actions = Vec::new();
    let second_end = Event::AttemptEnded {
        id: RequestId(1),
        endpoint,
        outcome: Outcome::Error,
        request_finished: false,
        report: Vec::new(),
    };
    assert_eq!(
        harness
            .balancer
            .handle(harness.now, second_end, &mut actions),
        Err(UnknownId::Request(RequestId(1)))
    );
    assert!(actions.is_empty());
    harness.handle(Event::ClientDisconnected(RequestId(1)));
}

#[test]
fn a_request_has_no_more_than_the_maximum_of_attempts() {
    let mut harness = BalancerHarness::with_endpoints(
        Settings {
            max_attempts: 3,
            ..Settings::default()
        },
        9,
    );
    let mut endpoint = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
    for _ in 0..2 {
        endpoint = attempted_endpoint(&harness.end_attempt(1, endpoint, Outcome::Error, false))
            .expect("attempts are left");
    }
    assert!(is_rejected(&harness.end_attempt(
        1,
        endpoint,
        Outcome::Error,
        false
    )));
}

#[test]
fn the_last_attempt_may_take_until_the_deadline() {
    let mut harness = BalancerHarness::with_endpoints(
        Settings {
            max_attempts: 1,
            ..Settings::default()
        },
        3,
    );
    let deadline = harness.now + SECOND;
    let actions = harness.submit(request(1, 5, 0));
    assert!(actions
        .iter()
        .any(|a| matches!(a, Action::Attempt { give_up_at, .. } if *give_up_at == deadline)));
}

#[test]
fn without_retry_budget_an_attempt_is_the_last_and_may_take_until_the_deadline() {
    // Incident i056f18: attempts that were given up early and retried overloaded the endpoints.
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 200);
    let mut attempts = 0;
    for id in 1..=40 {
        harness.now += MS;
        let deadline = harness.now + SECOND;
        let mut actions = harness.submit(request(id, u64::from(id), 0));
        while let Some(endpoint) = attempted_endpoint(&actions) {
            attempts += 1;
            if id > 30 {
                let until_deadline = |a: &Action| matches!(a, Action::Attempt { give_up_at, .. } if *give_up_at == deadline);
                assert!(actions.iter().any(until_deadline), "{actions:?}");
            }
            actions = harness.end_attempt(id, endpoint, Outcome::Timeout, false);
        }
        assert!(is_rejected(&actions));
    }
    assert!(
        (42..=60).contains(&attempts),
        "{attempts} attempts for 40 requests: the budget is 4, and 0.3 for each request"
    );
}

/// Number of attempts of forty requests whose first attempts end with `first`, and all others with
/// `further`.
fn attempts_of_forty_requests(first: Outcome, further: Outcome) -> usize {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 200);
    let mut attempts = 0;
    for id in 1..=40 {
        harness.now += MS;
        let (mut actions, mut outcome) = (harness.submit(request(id, u64::from(id), 0)), first);
        while let Some(endpoint) = attempted_endpoint(&actions) {
            attempts += 1;
            actions = harness.end_attempt(id, endpoint, outcome, false);
            outcome = further;
        }
        assert!(is_rejected(&actions));
    }
    attempts
}

/// An attempt that never began (no file descriptor was left, or the endpoint was removed before)
/// took a token like one that had loaded an endpoint. The budget is 4 tokens, each request adds
/// 0.3, and a request has four attempts at most.
#[test]
fn only_an_attempt_that_began_takes_from_the_retry_budget() {
    use Outcome::{ConnectFailed, Error, NotAttempted, Rejected, Timeout};
    for outcome in [Rejected, ConnectFailed, Error, Timeout] {
        let attempts = attempts_of_forty_requests(Timeout, outcome);
        assert!(
            (50..=56).contains(&attempts),
            "{outcome:?}: {attempts} attempts"
        );
    }
    assert_eq!(
        attempts_of_forty_requests(Timeout, NotAttempted),
        160,
        "an attempt that never began gives its token back"
    );
    assert_eq!(
        attempts_of_forty_requests(NotAttempted, NotAttempted),
        160,
        "no token is taken until an attempt has begun"
    );
    // The second attempt is the first that begins: it takes no token, and the request has added its
    // tokens by then.
    let attempts = attempts_of_forty_requests(NotAttempted, Timeout);
    assert!((90..=96).contains(&attempts), "{attempts} attempts");
}

#[test]
fn a_reset_ends_the_request() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 3);
    let endpoint = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
    let actions = harness.end_attempt(1, endpoint, Outcome::Reset, false);
    assert!(is_failed(&actions) && attempted_endpoint(&actions).is_none());
}

// ---- Rule 2: no request is executed twice if that does harm ----

#[test]
fn a_request_that_was_not_executed_is_retried_whatever_its_class() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window: SECOND,
        },
    ] {
        for outcome in [
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::NotAttempted,
        ] {
            let mut harness =
                BalancerHarness::with_endpoints(settings_with_idempotency(idempotency), 3);
            let endpoint = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
            let next = attempted_endpoint(&harness.end_attempt(1, endpoint, outcome, false));
            assert!(
                next.is_some_and(|next| next != endpoint),
                "{idempotency:?} after {outcome:?}"
            );
        }
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_fails() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Cancelled,
        Outcome::Reset,
    ] {
        let mut harness = BalancerHarness::with_endpoints(
            settings_with_idempotency(Idempotency::NonIdempotent),
            3,
        );
        let endpoint = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
        let actions = harness.end_attempt(1, endpoint, outcome, false);
        assert!(
            is_failed(&actions) && !is_rejected(&actions) && attempted_endpoint(&actions).is_none(),
            "after {outcome:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_under_way_at_the_deadline_fails() {
    let mut harness =
        BalancerHarness::with_endpoints(settings_with_idempotency(Idempotency::NonIdempotent), 3);
    let actions = harness.submit(request(1, 5, 0));
    let (at, token) = timers(&actions)[0];
    harness.now = at;
    assert!(is_failed(&harness.fire_timer(token)));
}

#[test]
fn a_keyed_request_is_retried_only_within_its_scope_and_window() {
    let listed: Vec<_> = (1..=12)
        .map(|n| ListedEndpoint {
            zone: (n % 2) as u16,
            cell: (n % 4) as u16,
            ..ready_endpoint(n)
        })
        .collect();
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        let idempotency = Idempotency::Keyed {
            scope,
            window: SECOND / 2,
        };
        let mut harness = BalancerHarness::new(settings_with_idempotency(idempotency), 1);
        harness.update_endpoints(EndpointListKind::Full, listed.clone());
        let first = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
        let next = attempted_endpoint(&harness.end_attempt(1, first, Outcome::Error, false))
            .expect("the scope has other endpoints");
        match scope {
            DeduplicationScope::All => {}
            DeduplicationScope::Zone => assert_eq!(first.0 % 2, next.0 % 2),
            DeduplicationScope::Cell => assert_eq!(first.0 % 4, next.0 % 4),
        }
        harness.now += SECOND / 2;
        let actions = harness.end_attempt(1, next, Outcome::Error, false);
        assert_eq!(
            attempted_endpoint(&actions),
            None,
            "the endpoints no longer remember the key"
        );
        assert_eq!(
            is_rejected(&actions),
            scope == DeduplicationScope::All,
            "{scope:?}"
        );
        assert_eq!(
            is_failed(&actions),
            scope != DeduplicationScope::All,
            "{scope:?}"
        );
    }
}

/// The window was checked at the time of the decision only: the retry could connect, and send its
/// request, after the end of the window.
#[test]
fn a_retry_sends_within_the_window_even_if_connecting_takes_the_whole_timeout() {
    let idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: SECOND / 2,
    };
    let settings = Settings {
        connect_timeout: SECOND / 5,
        ..settings_with_idempotency(idempotency)
    };
    for (elapsed, is_retried) in [(SECOND / 4, true), (SECOND / 2 - SECOND / 5, false)] {
        let mut harness = BalancerHarness::with_endpoints(settings.clone(), 4);
        let first = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
        harness.now += elapsed;
        let next = attempted_endpoint(&harness.end_attempt(1, first, Outcome::Error, false));
        assert_eq!(next.is_some(), is_retried, "after {elapsed} us");
    }
}

/// A process that stops has to answer all requests sooner, also those with an attempt under way.
#[test]
fn a_shortened_deadline_is_kept_and_a_later_one_is_ignored() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 4);
    harness.handle(Event::Request(Request {
        time_left: 60 * SECOND,
        ..request(1, 5, 0)
    }));
    let deadline = harness.now + SECOND;
    let (at, token) = timers(&harness.handle(Event::ShortenDeadline {
        id: RequestId(1),
        deadline,
    }))[0];
    assert!(at < deadline, "{at}");
    assert!(
        harness
            .handle(Event::ShortenDeadline {
                id: RequestId(1),
                deadline: deadline + SECOND
            })
            .is_empty(),
        "a later deadline is ignored"
    );
    harness.now = at;
    let actions = harness.fire_timer(token);
    assert!(
        is_rejected(&actions)
            && actions.contains(&Action::CancelAttempt {
                id: RequestId(1),
                attempt: 0
            }),
        "{actions:?}"
    );
    assert!(
        harness
            .handle(Event::ShortenDeadline {
                id: RequestId(1),
                deadline
            })
            .is_empty(),
        "it has been answered"
    );
}

#[test]
fn a_keyed_request_without_another_endpoint_in_its_cell_fails() {
    let listed: Vec<_> = (1..=4)
        .map(|n| ListedEndpoint {
            cell: n as u16,
            ..ready_endpoint(n)
        })
        .collect();
    let idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::Cell,
        window: SECOND,
    };
    let mut harness = BalancerHarness::new(settings_with_idempotency(idempotency), 1);
    harness.update_endpoints(EndpointListKind::Full, listed);
    let first = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
    assert!(is_failed(&harness.end_attempt(
        1,
        first,
        Outcome::Timeout,
        false
    )));
}

// ---- Rule 3: drains ----

#[test]
fn a_draining_or_removed_endpoint_gets_no_new_requests() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = BalancerHarness::with_endpoints(Settings::default(), 4);
        harness.update_endpoints(EndpointListKind::Delta, vec![endpoint_in_state(2, state)]);
        for id in 1..=80 {
            assert_ne!(
                harness.connect(request(id, u64::from(id), u64::from(id % 7))),
                Some(EndpointId(2))
            );
        }
    }
}

#[test]
fn an_endpoint_that_is_missing_from_a_full_list_is_removed() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 4);
    harness.update_endpoints(
        EndpointListKind::Full,
        vec![ready_endpoint(1), ready_endpoint(3), ready_endpoint(4)],
    );
    for id in 1..=80 {
        assert_ne!(
            harness.connect(request(id, u64::from(id), 0)),
            Some(EndpointId(2))
        );
    }
}

#[test]
fn an_established_connection_stays_at_its_draining_endpoint_within_the_grace_time_only() {
    let mut harness = BalancerHarness::with_endpoints(
        Settings {
            forwards_packets: true,
            ..Settings::default()
        },
        6,
    );
    let endpoint = harness.connect(request(1, 77, 0)).unwrap();
    harness.end_attempt(1, endpoint, Outcome::Cancelled, true);
    harness.update_endpoints(
        EndpointListKind::Delta,
        vec![endpoint_in_state(endpoint.0, EndpointState::Draining)],
    );
    let established_request = |id| Request {
        established: true,
        ..request(id, 77, 0)
    };
    harness.now += SECOND - MS;
    assert_eq!(
        attempted_endpoint(&harness.submit(established_request(2))),
        Some(endpoint),
        "the connection continues there"
    );
    harness.now += MS;
    let late = attempted_endpoint(&harness.submit(established_request(3)));
    assert!(
        late.is_some_and(|other| other != endpoint),
        "after the grace time the endpoint gets nothing"
    );
}

#[test]
fn migrations_from_a_draining_endpoint_are_spread_over_time() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 1);
    for id in 1..=20 {
        harness.connect(request(id, u64::from(id), 0));
    }
    let actions = harness.update_endpoints(
        EndpointListKind::Delta,
        vec![
            endpoint_in_state(1, EndpointState::Draining),
            ready_endpoint(2),
        ],
    );
    let times: BTreeSet<_> = timers(&actions).iter().map(|t| t.0).collect();
    assert!(times.len() > 10, "migrations are not spread");
    harness.now = *times.last().unwrap();
    let migrated: Vec<_> = timers(&actions)
        .into_iter()
        .flat_map(|(_, token)| migrated_connections(&harness.fire_timer(token)))
        .collect();
    assert_eq!(migrated.len(), 20);
}

// ---- Rule 4: slow start ----

/// Number of requests, of `n` over `span`, that so many balancers send to an endpoint that has just
/// started.
fn requests_to_cold_endpoint(balancers: u32, span: Micros, n: u32) -> u32 {
    let settings = Settings {
        balancer_count: balancers,
        ..Settings::default()
    };
    let mut fleet: Vec<_> = (0..balancers)
        .map(|seed| {
            let mut harness = BalancerHarness::new(settings.clone(), u64::from(seed));
            harness.update_endpoints(
                EndpointListKind::Full,
                (1..=10).map(ready_endpoint).collect(),
            );
            for id in 1..=100 / balancers {
                harness.connect(request(id, u64::from(id), u64::from(id % 5)));
            }
            let cold = ListedEndpoint {
                started_at: Some(harness.now),
                ..ready_endpoint(99)
            };
            harness.update_endpoints(EndpointListKind::Delta, vec![cold]);
            harness
        })
        .collect();
    let mut to_cold = 0;
    for k in 0..n {
        let harness = &mut fleet[(k % balancers) as usize];
        harness.now = 1_000 * SECOND + span * u64::from(k) / u64::from(n);
        let endpoint = attempted_endpoint(&harness.submit(request(
            10_000 + k,
            u64::from(k),
            u64::from(k % 5),
        )));
        to_cold += u32::from(endpoint == Some(EndpointId(99)));
    }
    to_cold
}

#[test]
fn all_balancers_together_fill_a_cold_endpoint_slowly() {
    // A warm endpoint has 10 connections here. Of 500 requests in 2 s, the cold one may get one or
    // two.
    for balancers in [1, 5, 50] {
        let cold = requests_to_cold_endpoint(balancers, 2 * SECOND, 500);
        assert!(
            cold <= 3,
            "{balancers} balancers sent {cold} requests within 2 s after the start"
        );
    }
    // The endpoint gets its part over the whole warm-up.
    let cold = requests_to_cold_endpoint(1, 20 * SECOND, 500);
    assert!(
        (3..=20).contains(&cold),
        "{cold} requests in the whole warm-up"
    );
}

#[test]
fn a_restarted_endpoint_with_the_same_id_is_cold() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 1);
    for id in 1..=30 {
        harness.connect(request(id, u64::from(id), 0));
    }
    let again = ListedEndpoint {
        started_at: Some(harness.now),
        ..ready_endpoint(1)
    };
    harness.update_endpoints(EndpointListKind::Delta, vec![again]);
    let attempts = (100..150)
        .filter(|&id| attempted_endpoint(&harness.submit(request(id, 5, 0))).is_some())
        .count();
    assert!(
        attempts <= 1,
        "{attempts} requests sent right after the restart"
    );
}

#[test]
fn many_cold_endpoints_become_homes_of_few_groups_at_first() {
    // Incidents i8c48f9 and id5986d: new endpoints became homes of groups that they could not
    // serve, and the clients were placed at more and more other endpoints.
    let settings = Settings {
        initial_capacity: 0.05,
        ..Settings::default()
    };
    let mut harness = BalancerHarness::with_endpoints(settings, 12);
    let group = |id: u32| 1 + u64::from(id % 6);
    let mut homes = BTreeSet::new();
    for id in 1..=300 {
        homes.insert((
            group(id),
            harness
                .connect(request(id, u64::from(id), group(id)))
                .unwrap(),
        ));
    }
    let cold = |n| ListedEndpoint {
        started_at: Some(harness.now),
        ..ready_endpoint(n)
    };
    let new: Vec<_> = (101..=112).map(cold).collect();
    harness.update_endpoints(EndpointListKind::Delta, new);
    let mut elsewhere = 0;
    for id in 1_001..=1_060 {
        let returning = Request {
            returning: true,
            ..request(id, u64::from(id), group(id))
        };
        let endpoint = harness.connect(returning).unwrap();
        elsewhere += u32::from(!homes.contains(&(group(id), endpoint)));
    }
    // The new points own half of the slots. With the full sizes of the new endpoints, 37 clients
    // were placed elsewhere.
    assert!(
        elsewhere <= 32,
        "{elsewhere} of 60 clients were placed at an endpoint that was no home of their group"
    );
}

#[test]
fn established_connections_take_the_slow_start_tokens_of_a_cold_endpoint() {
    // Incident i50dec9: a relay stopped, and all of its connections arrived at a cold endpoint at
    // once.
    let mut harness = BalancerHarness::with_endpoints(
        Settings {
            forwards_packets: true,
            ..Settings::default()
        },
        3,
    );
    for id in 1..=30 {
        harness.connect(request(id, u64::from(id), 9));
    }
    let cold: Vec<_> = (1..=3)
        .map(|n| ListedEndpoint {
            started_at: Some(harness.now),
            ..ready_endpoint(n)
        })
        .collect();
    harness.update_endpoints(
        EndpointListKind::Full,
        cold.into_iter().chain([ready_endpoint(4)]).collect(),
    );
    let mut by_endpoint: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for id in 100..160 {
        let established_request = Request {
            established: true,
            returning: true,
            ..request(id, u64::from(id), 9)
        };
        if let Some(endpoint) = attempted_endpoint(&harness.submit(established_request)) {
            *by_endpoint.entry(endpoint).or_default() += 1;
        }
    }
    for n in 1..=3 {
        assert!(
            by_endpoint
                .get(&EndpointId(n))
                .is_none_or(|&attempts| attempts <= 1),
            "{by_endpoint:?}"
        );
    }
}

/// Guards against a burst at a cold endpoint that has just begun to drain: until its grace has
/// passed it takes established connections, of which most are new to it in a burst.
#[test]
fn established_connections_take_the_slow_start_tokens_of_a_cold_endpoint_that_drains() {
    let settings = Settings {
        forwards_packets: true,
        ..Settings::default()
    };
    let mut harness = BalancerHarness::with_endpoints(settings, 1);
    for state in [EndpointState::Ready, EndpointState::Draining] {
        let cold = ListedEndpoint {
            started_at: Some(harness.now),
            ..endpoint_in_state(1, state)
        };
        harness.update_endpoints(EndpointListKind::Delta, vec![cold, ready_endpoint(2)]);
    }
    let established = (0..60).map(|id| Request {
        established: true,
        returning: true,
        ..request(id, u64::from(id), 0)
    });
    let attempts = established
        .filter(|request| {
            attempted_endpoint(&harness.submit(request.clone())) == Some(EndpointId(1))
        })
        .count();
    assert!(attempts <= 1, "{attempts} requests to a cold endpoint");
}

// ---- Health ----

#[test]
fn consecutive_failures_eject_an_endpoint_for_a_time() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 8);
    let home = harness.connect(request(1, 5, 0)).unwrap();
    harness.end_attempt(1, home, Outcome::Success, true);
    for id in 2..=4 {
        assert_eq!(
            attempted_endpoint(&harness.submit(request(id, 5, 0))),
            Some(home)
        );
        let next =
            attempted_endpoint(&harness.end_attempt(id, home, Outcome::Error, false)).unwrap();
        harness.end_attempt(id, next, Outcome::Success, true);
    }
    assert_ne!(
        attempted_endpoint(&harness.submit(request(5, 5, 0))),
        Some(home),
        "ejected"
    );
    harness.now += 60 * SECOND;
    assert_eq!(
        attempted_endpoint(&harness.submit(request(6, 5, 0))),
        Some(home),
        "used again later"
    );
}

#[test]
fn a_request_is_attempted_even_if_all_endpoints_are_ejected() {
    let mut harness = BalancerHarness::with_endpoints(
        Settings {
            max_attempts: 9,
            ..Settings::default()
        },
        3,
    );
    let mut endpoint = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
    for _ in 0..2 {
        endpoint =
            attempted_endpoint(&harness.end_attempt(1, endpoint, Outcome::ConnectFailed, false))
                .unwrap();
    }
    harness.end_attempt(1, endpoint, Outcome::ConnectFailed, false);
    assert!(
        attempted_endpoint(&harness.submit(request(2, 6, 0))).is_some(),
        "no attempt although endpoints exist"
    );
}

#[test]
fn late_messages_cut_the_cap_and_migrate_a_connection() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 20);
    // A client without a group, so that its home is one endpoint.
    for id in 100..120 {
        harness.connect(request(id, u64::from(id), 0));
    }
    let home = harness.connect(request(1, 5, 0)).unwrap();
    let objective = Settings::default().classes[0].message_objective;
    harness.handle(Event::DelaySample {
        id: RequestId(1),
        endpoint: home,
        delay: objective / 10,
    });
    assert_eq!(
        harness.connect(request(2, 5, 0)),
        Some(home),
        "a short delay has no effect"
    );
    let actions = harness.handle(Event::DelaySample {
        id: RequestId(1),
        endpoint: home,
        delay: 30 * objective,
    });
    assert_eq!(migrated_connections(&actions), [RequestId(1)]);
    assert_ne!(harness.connect(request(3, 5, 0)), Some(home));
    let again = harness.handle(Event::DelaySample {
        id: RequestId(1),
        endpoint: home,
        delay: 30 * objective,
    });
    assert!(
        migrated_connections(&again).is_empty(),
        "a connection is migrated once"
    );
}

/// During a rolling restart of a fleet, 11,121 connections were migrated and only 1,477 ended
/// normally: the same clients were migrated from one overloaded endpoint to the next.
#[test]
fn a_returning_client_is_not_migrated_from_an_overloaded_endpoint() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 20);
    for id in 100..120 {
        harness.connect(request(id, u64::from(id), 0));
    }
    let home = harness
        .connect(Request {
            returning: true,
            ..request(1, 5, 0)
        })
        .unwrap();
    let objective = Settings::default().classes[0].message_objective;
    for _ in 0..50 {
        let actions = harness.handle(Event::DelaySample {
            id: RequestId(1),
            endpoint: home,
            delay: 30 * objective,
        });
        assert!(!migrated_connections(&actions).contains(&RequestId(1)));
    }
}

/// In small fleets, whose balancers have estimates of their own, the simulator's score was 0.024
/// lower when returning clients were not migrated.
#[test]
fn a_balancer_with_own_estimates_migrates_returning_clients_too() {
    let mut harness = with_own_estimates(BalancerHarness::with_endpoints(Settings::default(), 20));
    let home = harness
        .connect(Request {
            returning: true,
            ..request(9001, 5, 0)
        })
        .unwrap();
    let objective = Settings::default().classes[0].message_objective;
    let migrated = (0..50).flat_map(|_| {
        migrated_connections(&harness.handle(Event::DelaySample {
            id: RequestId(9001),
            endpoint: home,
            delay: 30 * objective,
        }))
    });
    assert!(migrated.collect::<Vec<_>>().contains(&RequestId(9001)));
}

#[test]
fn a_group_stays_at_its_homes_during_overload() {
    // Incidents ib6bc41 and i1599b2: requests went on along their jumps from overloaded homes,
    // until every endpoint bore the cost of every group, and the overload sustained itself.
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 20);
    let mut homes = BTreeSet::new();
    for id in 1..=400 {
        let (group, endpoint) = (
            1 + u64::from(id % 6),
            harness.connect(request(id, u64::from(id), 1 + u64::from(id % 6))),
        );
        homes.insert((group, endpoint.unwrap()));
    }
    let objective = Settings::default().classes[0].message_objective;
    for second in 0..2u32 {
        for n in 1..=20 {
            harness.handle(Event::DelaySample {
                id: RequestId(1),
                endpoint: EndpointId(n),
                delay: objective,
            });
        }
        harness.now += SECOND;
        harness.connect(request(900 + second, 1, 1));
    }
    let (mut rejected, mut connected) = (0, 0);
    for id in 1_000..1_060 {
        let group = 1 + u64::from(id % 6);
        let returning = Request {
            returning: true,
            ..request(id, u64::from(id), group)
        };
        match harness.connect(returning) {
            Some(endpoint) => {
                connected += 1;
                assert!(
                    homes.contains(&(group, endpoint)),
                    "endpoint {endpoint:?} is no home of group {group}"
                );
            }
            None => rejected += 1,
        }
    }
    assert!(connected > rejected);
}

#[test]
fn during_overload_all_balancers_shed_the_same_clients_and_admit_them_afterwards() {
    let rejected_clients = |seed: u64| {
        let mut harness = BalancerHarness::new(Settings::default(), seed);
        harness.update_endpoints(
            EndpointListKind::Full,
            (1..=5).map(ready_endpoint).collect(),
        );
        let objective = Settings::default().classes[0].message_objective;
        let endpoints: Vec<_> = (1..=40)
            .map(|id| {
                harness
                    .connect(request(id, u64::from(id), u64::from(id % 4)))
                    .unwrap()
            })
            .collect();
        for second in 1..=8u32 {
            harness.now += SECOND;
            for (n, &endpoint) in endpoints.iter().enumerate() {
                harness.handle(Event::DelaySample {
                    id: RequestId(n as u32 + 1),
                    endpoint,
                    delay: 2 * objective,
                });
            }
            harness.submit(request(1_000 + second, 1, 1));
        }
        let client = |id: u32| request(id, u64::from(id % 1_000), 1);
        let shed: BTreeSet<_> = (2_000..2_200)
            .filter(|&id| is_rejected(&harness.submit(client(id))))
            .collect();
        for second in 1..=60u32 {
            harness.now += SECOND;
            harness.submit(request(3_000 + second, 1, 1));
        }
        let shed_later = (4_000..4_200)
            .filter(|&id| is_rejected(&harness.submit(client(id))))
            .count();
        (shed, shed_later)
    };
    let (shed, shed_later) = rejected_clients(1);
    assert!(
        (60..=160).contains(&shed.len()),
        "{} of 200 rejected",
        shed.len()
    );
    assert_eq!(
        shed_later, 0,
        "all are admitted again once messages are in time"
    );
    assert_eq!(shed, rejected_clients(2).0);
}

// ---- The endpoint list ----

#[test]
fn a_polled_list_is_watched_soon_and_again_after_failures() {
    let mut harness = BalancerHarness::new(
        Settings {
            polls_endpoint_list: true,
            ..Settings::default()
        },
        1,
    );
    let (at, token) =
        timers(&harness.update_endpoints(EndpointListKind::Cached, vec![ready_endpoint(1)]))[0];
    assert!(at < harness.now + SECOND / 10);
    assert_eq!(harness.fire_timer(token), [Action::WatchEndpointList(true)]);
    assert!(
        harness
            .update_endpoints(EndpointListKind::Delta, vec![ready_endpoint(2)])
            .is_empty(),
        "requested a second time"
    );
    let mut waits = Vec::new();
    for _ in 0..6 {
        let (at, token) =
            timers(&harness.update_endpoints(EndpointListKind::WatchFailed, Vec::new()))[0];
        waits.push(at - harness.now);
        harness.now = at;
        assert_eq!(harness.fire_timer(token), [Action::WatchEndpointList(true)]);
    }
    assert!(
        waits[5] > waits[0] && waits[5] < 4 * SECOND,
        "the backoff should grow to its bound: {waits:?}"
    );
    let other = {
        let mut harness = BalancerHarness::new(
            Settings {
                polls_endpoint_list: true,
                ..Settings::default()
            },
            2,
        );
        harness.update_endpoints(EndpointListKind::Cached, vec![ready_endpoint(1)]);
        timers(&harness.update_endpoints(EndpointListKind::WatchFailed, Vec::new()))[0].0
            - harness.now
    };
    assert_ne!(
        waits[0], other,
        "balancers with different seeds should wait differently"
    );
}

/// A backoff because of failures at discovery's old address delayed the first call to the new one.
#[test]
fn a_relocated_list_is_requested_soon_and_once() {
    let mut harness = BalancerHarness::new(
        Settings {
            polls_endpoint_list: true,
            ..Settings::default()
        },
        1,
    );
    let next =
        |harness: &mut BalancerHarness, kind| timers(&harness.update_endpoints(kind, vec![]))[0];
    for before in [None, Some(EndpointListKind::WatchFailed)] {
        let old = before.map(|kind| next(&mut harness, kind));
        let (at, token) = next(&mut harness, EndpointListKind::Relocated);
        assert!(
            at < harness.now + SECOND / 10,
            "the backoff for the old address does not apply"
        );
        harness.now = at;
        assert_eq!(harness.fire_timer(token), [Action::WatchEndpointList(true)]);
        if let Some((at, token)) = old {
            harness.now = at;
            assert!(
                harness.fire_timer(token).is_empty(),
                "the old timer must not request the list again"
            );
        }
    }
}

#[test]
fn a_pushed_list_is_never_requested() {
    let mut harness = BalancerHarness::new(Settings::default(), 1);
    assert!(harness
        .update_endpoints(EndpointListKind::Cached, vec![ready_endpoint(1)])
        .is_empty());
}

#[test]
fn connections_from_before_the_start_are_counted() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 2);
    harness.handle(Event::Adopted {
        request: request(1, 5, 3),
        endpoint: EndpointId(2),
    });
    // So is a connection to an endpoint that no list has named yet.
    harness.handle(Event::Adopted {
        request: request(2, 6, 3),
        endpoint: EndpointId(77),
    });
    assert!(harness
        .end_attempt(2, EndpointId(77), Outcome::Reset, true)
        .is_empty());
    assert!(harness
        .end_attempt(1, EndpointId(2), Outcome::Success, true)
        .is_empty());
}

/// Clients that were rejected without a Retry-After came back at once and were rejected again.
#[test]
fn a_rejection_has_a_jittered_retry_after_within_the_bound() {
    for (bound, most) in [(0, 0), (50 * MS, 50 * MS), (1_500 * MS, 600 * MS)] {
        let mut harness = BalancerHarness::new(
            Settings {
                max_retry_after: bound,
                ..Settings::default()
            },
            7,
        );
        let mut advised = BTreeSet::new();
        for id in 1..=20 {
            let (at, token) = timers(&harness.submit(request(id, u64::from(id), 0)))[0];
            harness.now = at;
            let answer = harness.fire_timer(token);
            advised.extend(answer.iter().filter_map(|a| {
                if let Action::Reject {
                    id: _,
                    retry_after: wait,
                } = a
                {
                    Some(*wait)
                } else {
                    None
                }
            }));
        }
        let distinct_waits = if bound > 400 * MS { 10.. } else { 1.. };
        assert!(
            advised.iter().all(|wait| *wait <= most) && distinct_waits.contains(&advised.len()),
            "{advised:?}"
        );
    }
}

// ---- Manual ejection ----

#[test]
fn a_manually_ejected_endpoint_gets_no_requests_whatever_the_lists_say() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 2);
    let first = harness.connect(request(1, 1, 0)).unwrap();
    let other = EndpointId(3 - first.0);
    let actions = harness.handle(Event::ManualEjection {
        endpoint: first,
        ejected: true,
    });
    // Its connections are migrated, as for a drain. A second ejection changes nothing.
    let (at, token) = timers(&actions)[0];
    assert!(
        at < harness.now + 2 * SECOND
            && migrated_connections(&harness.fire_timer(token)) == [RequestId(1)]
    );
    assert!(harness
        .handle(Event::ManualEjection {
            endpoint: first,
            ejected: true
        })
        .is_empty());
    let lists = [
        (EndpointListKind::Delta, vec![ready_endpoint(first.0)]),
        (
            EndpointListKind::Full,
            vec![ready_endpoint(1), ready_endpoint(2)],
        ),
        (EndpointListKind::Full, vec![ready_endpoint(other.0)]),
        (
            EndpointListKind::Delta,
            vec![ListedEndpoint {
                started_at: Some(harness.now),
                ..ready_endpoint(first.0)
            }],
        ),
    ];
    for (n, (kind, listed)) in lists.into_iter().enumerate() {
        harness.update_endpoints(kind, listed);
        for id in 0..8 {
            let id = 10 * (n as u32 + 1) + id;
            assert_eq!(
                harness.connect(request(id, u64::from(id), 0)),
                Some(other),
                "after list {n}"
            );
        }
    }
    assert_eq!(harness.balancer.unavailable_endpoints(harness.now), 1);
    // An endpoint that is not listed yet can be ejected too.
    harness.handle(Event::ManualEjection {
        endpoint: EndpointId(9),
        ejected: true,
    });
    harness.update_endpoints(EndpointListKind::Delta, vec![ready_endpoint(9)]);
    assert_eq!(harness.balancer.unavailable_endpoints(harness.now), 2);
}

#[test]
fn a_connection_that_is_established_after_the_ejection_is_migrated_too() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 1);
    let endpoint = attempted_endpoint(&harness.submit(request(1, 1, 0))).unwrap();
    assert!(timers(&harness.handle(Event::ManualEjection {
        endpoint,
        ejected: true
    }))
    .is_empty());
    let actions = harness.handle(Event::Connected {
        id: RequestId(1),
        endpoint,
        elapsed: MS,
    });
    assert_eq!(
        migrated_connections(&harness.fire_timer(timers(&actions)[0].1)),
        [RequestId(1)]
    );
}

/// Operators restart an endpoint that they have ejected. An ejection for failures from before kept
/// it unused afterwards; and the list may not show the new start, so it has to count as cold.
#[test]
fn after_its_manual_ejection_an_endpoint_is_used_soon_as_a_cold_one_without_earlier_failures() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 4);
    let endpoints: Vec<_> = (0..40)
        .map(|id| harness.connect(request(id, u64::from(id), 0)).unwrap())
        .collect();
    let ejected = EndpointId(2);
    let failing = (100..).find(|&id| {
        attempted_endpoint(&harness.submit(request(id, u64::from(id), 0))) == Some(ejected)
    });
    harness.end_attempt(failing.unwrap(), ejected, Outcome::ConnectFailed, false);
    assert_eq!(harness.balancer.unavailable_endpoints(harness.now), 1);
    harness.handle(Event::ManualEjection {
        endpoint: ejected,
        ejected: true,
    });
    for id in (0..40).filter(|&id| endpoints[id as usize] == ejected) {
        harness.end_attempt(id, ejected, Outcome::Cancelled, true);
    }
    harness.handle(Event::ManualEjection {
        endpoint: ejected,
        ejected: false,
    });
    assert_eq!(harness.balancer.unavailable_endpoints(harness.now), 0);
    let (mut first, mut used) = (None, 0);
    for n in 0..60 {
        harness.now += SECOND / 10;
        if harness.connect(request(1_000 + n, u64::from(n), 0)) == Some(ejected) {
            first.get_or_insert(n);
            used += 1;
        }
    }
    assert!(
        first.is_some_and(|n| n <= 31),
        "first used after {first:?} tenths of a second"
    );
    assert!(
        used <= 6,
        "{used} of 60 requests went to a cold endpoint within 6 s"
    );
}

// ---- New settings ----

#[test]
fn new_settings_change_the_maximum_of_attempts_but_not_the_class_of_a_request() {
    let new_settings = Settings {
        max_attempts: 2,
        ..settings_with_idempotency(Idempotency::NonIdempotent)
    };
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 4);
    let mut endpoint = attempted_endpoint(&harness.submit(request(1, 1, 0))).unwrap();
    harness.handle(Event::Settings(new_settings));
    // It may have been executed, but its class is idempotent.
    endpoint =
        attempted_endpoint(&harness.end_attempt(1, endpoint, Outcome::Error, false)).unwrap();
    assert!(is_rejected(&harness.end_attempt(
        1,
        endpoint,
        Outcome::Error,
        false
    )));
    let endpoint = attempted_endpoint(&harness.submit(request(2, 1, 0))).unwrap();
    assert!(is_failed(&harness.end_attempt(
        2,
        endpoint,
        Outcome::Error,
        false
    )));
}

/// After a takeover, this process is the only one that can migrate the connections to endpoints
/// that began to drain before.
#[test]
fn a_connection_to_a_draining_endpoint_is_migrated_after_a_takeover() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 2);
    harness.update_endpoints(
        EndpointListKind::Delta,
        vec![endpoint_in_state(1, EndpointState::Draining)],
    );
    let actions = harness.handle(Event::Adopted {
        request: request(1, 1, 0),
        endpoint: EndpointId(1),
    });
    assert_eq!(
        migrated_connections(&harness.fire_timer(timers(&actions)[0].1)),
        [RequestId(1)]
    );
    assert!(timers(&harness.handle(Event::Adopted {
        request: request(2, 2, 0),
        endpoint: EndpointId(2)
    }))
    .is_empty());
    // The first list may be stale: an endpoint that it does not name may exist.
    assert!(timers(&harness.handle(Event::Adopted {
        request: request(3, 3, 0),
        endpoint: EndpointId(3)
    }))
    .is_empty());
}

/// Something that a process learns about endpoint 2 before or after it takes over a connection
/// there.
#[derive(Clone, Debug)]
enum Learned {
    List(EndpointListKind, Vec<ListedEndpoint>),
    ManualEjection,
}

impl Learned {
    fn event(&self) -> Event {
        match self.clone() {
            Learned::List(kind, endpoints) => Event::EndpointList { kind, endpoints },
            Learned::ManualEjection => Event::ManualEjection {
                endpoint: EndpointId(2),
                ejected: true,
            },
        }
    }
}

/// The connections that are migrated if a process whose list does not name endpoint 2 takes over
/// request 1 there after the first `before` of these events.
fn migrated_after_takeover(learned: &[Learned], before: usize) -> Vec<RequestId> {
    let mut harness = BalancerHarness::new(Settings::default(), 7);
    harness.update_endpoints(EndpointListKind::Cached, vec![ready_endpoint(1)]);
    let adopted = Event::Adopted {
        request: request(1, 1, 0),
        endpoint: EndpointId(2),
    };
    let mut events: Vec<Event> = learned.iter().map(Learned::event).collect();
    events.insert(before, adopted);
    let mut due = Vec::new();
    for event in events {
        due.extend(timers(&harness.handle(event)));
    }
    let migrated = due
        .iter()
        .flat_map(|(_, token)| migrated_connections(&harness.fire_timer(*token)));
    migrated.collect()
}

/// Guards against clients that are cut off because their process took them over before it learned
/// that their backend leaves: only connections to endpoints that were ready before were migrated.
#[test]
fn a_connection_is_migrated_whether_its_takeover_or_the_news_of_its_endpoint_comes_first() {
    use EndpointListKind::{Cached, Delta, Full};
    let draining = endpoint_in_state(2, EndpointState::Draining);
    let list = |kind, entry: &ListedEndpoint| Learned::List(kind, vec![entry.clone()]);
    let leaving = [
        vec![list(Full, &draining)],
        vec![list(Delta, &draining)],
        vec![list(Cached, &draining), list(Full, &draining)],
        vec![Learned::ManualEjection],
        vec![Learned::ManualEjection, list(Full, &ready_endpoint(2))],
        vec![list(Full, &ready_endpoint(2)), Learned::ManualEjection],
        vec![list(Delta, &ready_endpoint(2)), list(Delta, &draining)],
    ];
    for learned in leaving {
        for before in 0..=learned.len() {
            assert_eq!(
                migrated_after_takeover(&learned, before),
                [RequestId(1)],
                "{before} of {learned:?}"
            );
        }
    }
    // An endpoint that is absent from a complete list is removed; the cached list may be stale.
    let unlisted = |kind| [list(kind, &ready_endpoint(1))];
    assert_eq!(migrated_after_takeover(&unlisted(Full), 0), [RequestId(1)]);
    assert_eq!(migrated_after_takeover(&unlisted(Cached), 0), []);
    for before in 0..=1 {
        let ready = [list(Full, &ready_endpoint(2))];
        assert_eq!(migrated_after_takeover(&ready, before), []);
    }
}

/// Guards against a burst at a backend that was restarted while it was out of use: a process that
/// had learned of the ejection before the endpoint took it for one that started long ago.
#[test]
fn an_endpoint_that_was_ejected_before_it_was_listed_returns_as_a_cold_one() {
    const REQUESTS: u32 = 60;
    let endpoints = || {
        let started_at = Some(SECOND);
        [ready_endpoint(1), ready_endpoint(2)].map(|endpoint| ListedEndpoint {
            started_at,
            ..endpoint
        })
    };
    let list = || Learned::List(EndpointListKind::Full, endpoints().to_vec());
    // The requests that the endpoint gets in 600 ms after its return.
    let requests_after_return = |learned: [Learned; 2]| {
        let mut harness = BalancerHarness::new(Settings::default(), 7);
        for learned in learned {
            harness.handle(learned.event());
        }
        harness.now += SECOND;
        harness.handle(Event::ManualEjection {
            endpoint: EndpointId(2),
            ejected: false,
        });
        let mut place = |n: u32| {
            harness.now += 10 * MS;
            harness.connect(request(n, u64::from(n), 0))
        };
        (1..=REQUESTS)
            .filter(|n| place(*n) == Some(EndpointId(2)))
            .count()
    };
    let known_before = requests_after_return([list(), Learned::ManualEjection]);
    assert!(
        known_before < 10,
        "{known_before} requests to a cold endpoint"
    );
    let ejected_before = requests_after_return([Learned::ManualEjection, list()]);
    assert_eq!(ejected_before, known_before);
}

/// The number of endpoints, of forty, that get a request of this group if all others report to be
/// full and their own load is unknown. A request that is placed nowhere is rejected at its
/// deadline.
fn endpoints_used_with_unknown_load(group: u64) -> usize {
    let is_used = |unknown: &u64| {
        let mut harness = BalancerHarness::with_endpoints(settings_with_health_checks(), 40);
        (1..=40)
            .filter(|endpoint| endpoint != unknown)
            .for_each(|endpoint| report_load(&mut harness, endpoint, 1.5));
        let mut actions = harness.submit(request(1, 1, group));
        let deadline = timers(&actions)[0];
        while attempted_endpoint(&actions).is_none() {
            let retry = timers(&actions)
                .into_iter()
                .rfind(|timer| *timer != deadline);
            let (at, token) = retry.filter(|(at, _)| *at < deadline.0).unwrap_or(deadline);
            harness.now = at;
            actions = harness.fire_timer(token);
            if token == deadline.1 {
                assert!(is_rejected(&actions));
                return false;
            }
        }
        assert_eq!(attempted_endpoint(&actions), Some(EndpointId(*unknown)));
        true
    };
    (1..=40).filter(is_used).count()
}

/// Requests of groups without spare capacity went to endpoints of unknown load. Each of these had
/// to bear the cost of another group and was overloaded by the next report; in a large fleet, the
/// work of 2,300 connections more than doubled.
#[test]
fn a_group_without_spare_capacity_waits_and_is_not_placed_beyond_its_candidates() {
    let candidates = endpoints_used_with_unknown_load(9);
    assert!((8..=16).contains(&candidates), "{candidates} of 40");
    assert!(
        endpoints_used_with_unknown_load(0) > 30,
        "without a group, the cost is the same at any endpoint"
    );
    let mut harness = BalancerHarness::with_endpoints(settings_with_health_checks(), 3);
    (1..=3).for_each(|endpoint| report_load(&mut harness, endpoint, 1.5));
    assert_eq!(attempted_endpoint(&harness.submit(request(1, 1, 9))), None);
    let report = vec![50.0, 0.3];
    let checked = Event::HealthCheck {
        endpoint: EndpointId(2),
        outcome: Outcome::Success,
        report,
    };
    assert_eq!(
        attempted_endpoint(&harness.handle(checked)),
        Some(EndpointId(2)),
        "attempted as soon as an endpoint has spare capacity"
    );
}

/// Overload of one or two of five endpoints kept a group there although another one was known to be
/// idle.
#[test]
fn during_overload_a_group_goes_to_an_endpoint_that_is_known_to_have_spare_capacity() {
    // No endpoint is in the balancer's own zone, whose endpoints with spare capacity come first.
    let mut harness = with_own_estimates(BalancerHarness::with_endpoints(
        Settings {
            zone: 1,
            ..settings_with_health_checks()
        },
        3,
    ));
    let home = harness.connect(request(1, 1, 9)).unwrap();
    for endpoint in 1..=3 {
        report_load(
            &mut harness,
            endpoint,
            if EndpointId(endpoint) == home {
                0.95
            } else {
                0.93
            },
        );
    }
    for second in 1..=3 {
        harness.now += SECOND;
        harness.handle(Event::DelaySample {
            id: RequestId(1),
            endpoint: home,
            delay: SECOND,
        });
        harness.submit(Request {
            time_left: 1,
            ..request(100 + second, 2, 9)
        });
    }
    // Some clients are shed by now.
    let mut placed = |first: u32| {
        (first..first + 40)
            .find_map(|id| attempted_endpoint(&harness.submit(request(id, u64::from(id), 9))))
    };
    assert_eq!(
        placed(200),
        Some(home),
        "all are overloaded: the group stays"
    );
    let idle = (1..=3).find(|&n| EndpointId(n) != home).unwrap();
    report_load(&mut harness, idle, 0.1);
    let used = (300..340)
        .find_map(|id| attempted_endpoint(&harness.submit(request(id, u64::from(id), 9))));
    assert_eq!(used, Some(EndpointId(idle)));
}

/// The new process of an upgrade has no connections of its own yet: cold endpoints earned no tokens
/// from it.
#[test]
fn a_cold_endpoint_is_filled_by_load_reports_even_if_the_balancer_has_few_connections() {
    let mut harness = BalancerHarness::with_endpoints(settings_with_health_checks(), 2);
    let cold = ListedEndpoint {
        started_at: Some(harness.now),
        ..ready_endpoint(3)
    };
    harness.update_endpoints(EndpointListKind::Delta, vec![cold]);
    let mut to_cold = 0;
    for id in 0..200 {
        harness.now += SECOND / 10;
        if id % 10 == 0 {
            // Fifty connections are a load of 0.5. Each report differs, so that it counts as new.
            (1..=2).for_each(|n| report_load(&mut harness, n, 0.5 + id as f32 / 10_000.0));
            report_load(&mut harness, 3, 0.1);
        }
        let endpoint = attempted_endpoint(&harness.submit(request(id, u64::from(id), 0))).unwrap();
        to_cold += u32::from(endpoint == EndpointId(3));
        harness.end_attempt(id, endpoint, Outcome::Success, true);
    }
    assert!(
        (20..=120).contains(&to_cold),
        "{to_cold} of 200 requests went to the cold endpoint"
    );
}

/// An endpoint that failed some requests was ejected for seconds while the others were overloaded.
#[test]
fn a_failing_endpoint_with_spare_capacity_is_preferred_to_full_ones_unless_it_is_unreachable() {
    for (outcome, expected) in [(Outcome::Error, 1), (Outcome::ConnectFailed, 2)] {
        let settings = Settings {
            zone: 1,
            max_attempts: 9,
            ..settings_with_health_checks()
        };
        let mut harness = with_own_estimates(BalancerHarness::with_endpoints(settings, 2));
        report_load(&mut harness, 1, 0.1);
        let mut id = 0;
        while harness.balancer.unavailable_endpoints(harness.now) == 0 {
            id += 1;
            match attempted_endpoint(&harness.submit(request(id, u64::from(id), 0))).unwrap() {
                EndpointId(1) => harness.end_attempt(id, EndpointId(1), outcome, true),
                other => harness.end_attempt(id, other, Outcome::Success, true),
            };
        }
        report_load(&mut harness, 2, 1.1);
        let used = attempted_endpoint(&harness.submit(request(1_000, 5, 0)));
        assert_eq!(used, Some(EndpointId(expected)), "after {outcome:?}");
    }
}

/// Guards against a random delay that adds up with the wait for the next client: a relay alone has
/// nobody to take turns with.
#[test]
fn a_relay_alone_sends_a_returning_endpoint_its_next_request() {
    let late: Vec<u64> = (0..20)
        .filter(|&seed| {
            let mut harness = BalancerHarness::new(Settings::default(), seed);
            let listed = (1..=4).map(ready_endpoint).collect();
            harness.update_endpoints(EndpointListKind::Full, listed);
            for ejected in [true, false] {
                harness.handle(Event::ManualEjection {
                    endpoint: EndpointId(2),
                    ejected,
                });
            }
            // A client every 4 s: this one, or the next one after 6 s.
            harness.now += 2 * SECOND;
            harness.connect(request(1, seed, 0)) != Some(EndpointId(2))
        })
        .collect();
    assert!(late.is_empty(), "unused for 6 s with the seeds {late:?}");
}

/// The requests that the processes of one relay send to an endpoint within 6 s of the end of its
/// manual ejection, if they share the relay's traffic.
fn requests_to_returning_endpoint(processes: u32) -> usize {
    let mut relay: Vec<_> = (0..processes)
        .map(|_| {
            let mut process = BalancerHarness::with_endpoints(Settings::default(), 4);
            process.balancer.set_other_processes(processes - 1);
            let connections = 0..40 / processes;
            let endpoints: Vec<_> = connections
                .map(|id| process.connect(request(id, u64::from(id), 0)))
                .collect();
            for ejected in [true, false] {
                process.handle(Event::ManualEjection {
                    endpoint: EndpointId(2),
                    ejected,
                });
            }
            for (id, endpoint) in endpoints.into_iter().enumerate() {
                if endpoint == Some(EndpointId(2)) {
                    process.end_attempt(id as u32, EndpointId(2), Outcome::Cancelled, true);
                }
            }
            process
        })
        .collect();
    let returned_at = relay[0].now;
    let mut attempts = 0;
    for n in 0..600 {
        let process = &mut relay[n % processes as usize];
        process.now = returned_at + n as Micros * SECOND / 100;
        let id = 1_000 + n as u32;
        if let Some(endpoint) = attempted_endpoint(&process.submit(request(id, u64::from(id), 0))) {
            attempts += usize::from(endpoint == EndpointId(2));
            process.end_attempt(id, endpoint, Outcome::Cancelled, true);
        }
    }
    attempts
}

/// Guards against an upgrade during which a relay sends a cold endpoint twice its share: both
/// processes count as one relay.
#[test]
fn both_processes_of_an_upgrade_share_the_tokens_of_their_relay() {
    let (one, both) = (
        requests_to_returning_endpoint(1),
        requests_to_returning_endpoint(2),
    );
    // The buckets of both may hold a token at first.
    assert!(
        both <= one + 1,
        "{both} requests, {one} of a single process"
    );
}

/// If the list shows the new start, the endpoint does not count as cold from the end of the
/// ejection on.
#[test]
fn after_its_manual_ejection_an_endpoint_warms_up_from_its_listed_start() {
    let mut harness = BalancerHarness::with_endpoints(Settings::default(), 2);
    harness.handle(Event::ManualEjection {
        endpoint: EndpointId(2),
        ejected: true,
    });
    harness.now += SECOND;
    harness.update_endpoints(
        EndpointListKind::Delta,
        vec![ListedEndpoint {
            started_at: Some(harness.now),
            ..ready_endpoint(2)
        }],
    );
    harness.now += Settings::default().warm_up_time;
    harness.handle(Event::ManualEjection {
        endpoint: EndpointId(2),
        ejected: false,
    });
    let used = (0..40)
        .filter(|&id| harness.connect(request(id, u64::from(id), 0)) == Some(EndpointId(2)))
        .count();
    assert!(
        used >= 10,
        "{used} of 40 requests went to one of two warm endpoints"
    );
}

/// What a client may repeat under its id: never what must not run twice, and a keyed request while
/// all backends drop its duplicates.
#[test]
fn a_repetition_by_the_client_does_harm_as_its_class_says() {
    use jaspermoor::decisions::api::{DeduplicationScope, Idempotency};
    use jaspermoor::decisions::idempotency::harmful_repetition_after;
    let keyed = |scope| Idempotency::Keyed { scope, window: 5 };
    for (idempotency, after) in [
        (Idempotency::Idempotent, None),
        (Idempotency::NonIdempotent, Some(0)),
        (keyed(DeduplicationScope::All), Some(5)),
        (keyed(DeduplicationScope::Zone), Some(0)),
        (keyed(DeduplicationScope::Cell), Some(0)),
    ] {
        assert_eq!(
            harmful_repetition_after(idempotency),
            after,
            "{idempotency:?}"
        );
    }
}

/// A zone and a cell of their own for each of these endpoints, or the same for all.
fn listed_in_group(n: u64, group: u16) -> ListedEndpoint {
    ListedEndpoint {
        zone: group,
        cell: group,
        ..ready_endpoint(n)
    }
}

/// A keyed request with this scope, whose first attempt goes to one of these endpoints.
fn keyed_request(
    scope: DeduplicationScope,
    listed: Vec<ListedEndpoint>,
) -> (BalancerHarness, EndpointId) {
    let window = SECOND;
    let settings = settings_with_idempotency(Idempotency::Keyed { scope, window });
    let mut harness = BalancerHarness::new(settings, 1);
    harness.update_endpoints(EndpointListKind::Full, listed);
    let first = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
    (harness, first)
}

const SCOPES: [DeduplicationScope; 3] = [
    DeduplicationScope::All,
    DeduplicationScope::Zone,
    DeduplicationScope::Cell,
];

/// Guards against a keyed request that runs twice: the list moved the second server to a zone or cell
/// that has not seen the key, between the decision and the send, which looked at its state only.
#[test]
fn a_keyed_request_is_not_sent_to_an_endpoint_that_has_left_the_group_meanwhile() {
    let checks = SCOPES.map(|scope| {
        let listed = (1..=2).map(|n| listed_in_group(n, 1)).collect();
        let (mut harness, first) = keyed_request(scope, listed);
        let actions = harness.end_attempt(1, first, Outcome::Error, false);
        let second = attempted_endpoint(&actions).unwrap();
        assert_eq!(
            harness.balancer.check_send(harness.now, RequestId(1)),
            Ok(())
        );
        let moved = vec![listed_in_group(second.0, 2)];
        harness.update_endpoints(EndpointListKind::Delta, moved);
        harness.balancer.check_send(harness.now, RequestId(1))
    });
    let outside = Err(SendRefusal::OutsideGroup);
    assert_eq!(checks, [Ok(()), outside, outside], "{SCOPES:?}");
}

/// Guards against a keyed request that runs twice: the group was that of the first server when the
/// attempt ended, though another group has seen the key if the list moved the server meanwhile.
#[test]
fn the_group_of_a_keyed_request_is_that_of_its_server_when_the_attempt_was_issued() {
    let group = |endpoint: EndpointId| (endpoint.0 % 2) as u16;
    let same_group = SCOPES.map(|scope| {
        let listed = (1..=6).map(|n| listed_in_group(n, group(EndpointId(n))));
        let (mut harness, first) = keyed_request(scope, listed.collect());
        let moved = vec![listed_in_group(first.0, 1 - group(first))];
        harness.update_endpoints(EndpointListKind::Delta, moved);
        let actions = harness.end_attempt(1, first, Outcome::Error, false);
        let second = attempted_endpoint(&actions).expect("two others have seen the key");
        group(second) == group(first)
    });
    assert_eq!(same_group[1..], [true, true], "{SCOPES:?}");
}

/// Guards against a keyed request that runs twice, or is given up by its client: the advised wait
/// pointed past the window, within which clients repeat what all endpoints drop.
#[test]
fn a_client_is_not_advised_to_repeat_a_keyed_request_once_its_window_has_ended() {
    let connect_timeout = SECOND / 10;
    let settings = |window| Settings {
        connect_timeout,
        max_retry_after: 2 * SECOND,
        ..settings_with_idempotency(Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window,
        })
    };
    // The window, whether the first attempt has ended before the deadline, and whether the client is
    // advised to wait.
    let cases = [
        (SECOND / 2, true, false),
        (SECOND / 2, false, false),
        (SECOND, true, false),
        (SECOND, false, false),
        (SECOND + 2 * connect_timeout, true, true),
        (SECOND + 2 * connect_timeout, false, true),
        (60 * SECOND, true, true),
        (60 * SECOND, false, true),
    ];
    let results = cases.map(|(window, has_ended, _)| {
        let mut harness = BalancerHarness::with_endpoints(settings(window), 1);
        let start = harness.now;
        let actions = harness.submit(request(1, 5, 0));
        let (at, token) = timers(&actions)[0];
        harness.now = at;
        let answer = if has_ended {
            let endpoint = attempted_endpoint(&actions).unwrap();
            harness.end_attempt(1, endpoint, Outcome::Timeout, false)
        } else {
            harness.fire_timer(token)
        };
        let wait = answer.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let wait = wait.expect("all endpoints drop duplicates of the request");
        let sent_by = harness.now + wait + connect_timeout;
        let is_in_time = wait == 0 || sent_by < start + window;
        (wait > 0, is_in_time)
    });
    assert_eq!(
        results,
        cases.map(|(_, _, is_advised)| (is_advised, true)),
        "{cases:?}"
    );
}

/// Guards against a slow server that costs others: an attempt that ends with its window, after a part of
/// its negotiation, is no failure of its server, and its retry token is not given back. That of an
/// attempt that never began is.
#[test]
fn an_attempt_that_ends_unsent_counts_against_no_endpoint_and_costs_its_token_once_begun() {
    let results = [
        Outcome::NotSent,
        Outcome::NotAttempted,
        Outcome::ConnectFailed,
    ]
    .map(|outcome| {
        let parameters = Parameters {
            max_retry_tokens: 1.0,
            retry_budget_ratio: 0.0,
            ejection_failures: 1,
            ..Parameters::default()
        };
        let mut harness = BalancerHarness::new(Settings::default(), 7);
        harness.balancer = Balancer::new(Settings::default(), 7).with_parameters(parameters);
        harness.update_endpoints(
            EndpointListKind::Full,
            (1..=3).map(ready_endpoint).collect(),
        );
        let first = attempted_endpoint(&harness.submit(request(1, 5, 0))).unwrap();
        let actions = harness.end_attempt(1, first, Outcome::Rejected, false);
        let second = attempted_endpoint(&actions).expect("there is one token");
        let third = attempted_endpoint(&harness.end_attempt(1, second, outcome, false));
        let now = harness.now;
        (third.is_some(), harness.balancer.unavailable_endpoints(now))
    });
    assert_eq!(results, [(false, 0), (true, 0), (false, 1)]);
}
