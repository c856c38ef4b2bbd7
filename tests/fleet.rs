//! Many relays with the same endpoints: their balancers in virtual time, without messages between
//! them.

mod common;

use common::*;
use jaspermoor::decisions::api::*;
use jaspermoor::decisions::random::Random;
use std::collections::BTreeSet;

/// `n` balancers of one fleet, with the same endpoint list and different seeds.
fn fleet(n: u32, endpoints: u64, settings: &Settings) -> Vec<BalancerHarness> {
    let relay = |seed| {
        let number = seed as u32 - 1;
        let mut proxy = BalancerHarness::new(
            Settings {
                balancer_count: n,
                balancer_index: number,
                ..settings.clone()
            },
            seed,
        );
        proxy.update_endpoints(
            EndpointListKind::Full,
            (1..=endpoints).map(ready_endpoint).collect(),
        );
        proxy
    };
    (1..=u64::from(n)).map(relay).collect()
}

fn with_health_checks() -> Settings {
    Settings {
        may_check_health: true,
        report_columns: vec![ReportColumn::Active, ReportColumn::Load],
        ..Settings::default()
    }
}

/// The number of health checks that a balancer without requests makes within a time.
fn count_health_checks(settings: Settings, endpoints: u64, seed: u64, time: Micros) -> usize {
    let mut proxy = BalancerHarness::new(settings, seed);
    let mut actions = proxy.update_endpoints(
        EndpointListKind::Full,
        (1..=endpoints).map(ready_endpoint).collect(),
    );
    let (end, mut count) = (proxy.now + time, 0);
    loop {
        count += actions
            .iter()
            .filter(|a| matches!(a, Action::CheckHealth(_)))
            .count();
        // Each health check sets the timer of the next.
        let Some(&(at, token)) = timers(&actions).last() else {
            return count;
        };
        if at > end {
            return count;
        }
        proxy.now = at;
        actions = proxy.fire_timer(token);
    }
}

#[test]
fn a_hundred_relays_together_make_no_more_health_checks_than_three() {
    let total = |n: u32, endpoints: u64| -> usize {
        let settings = Settings {
            balancer_count: n,
            ..with_health_checks()
        };
        (1..=u64::from(n))
            .map(|seed| count_health_checks(settings.clone(), endpoints, seed, 60 * SECOND))
            .sum()
    };
    let few = total(3, 9);
    assert!(
        (950..1200).contains(&few),
        "each of 9 endpoints about twice a second, not {few}"
    );
    for (relays, endpoints) in [(100, 9), (100, 60)] {
        // In addition, each relay may make one health check at its start.
        let most = few * endpoints as usize / 9 * 5 / 4 + relays as usize;
        let many = total(relays, endpoints);
        assert!(
            (few / 2..most).contains(&many),
            "{relays} relays, {endpoints} endpoints: {many}, three {few}"
        );
    }
}

#[test]
fn relays_that_see_few_requests_agree_on_the_home_of_each_group() {
    let mut fleet = fleet(100, 9, &Settings::default());
    let mut homes = vec![BTreeSet::new(); 10];
    // Each relay sees four requests, of other groups than the next relay. The groups' shares of so
    // few requests are not meaningful.
    for (n, proxy) in fleet.iter_mut().enumerate() {
        for id in 0..4u32 {
            let group = (n * 7 + id as usize * id as usize) % 10;
            let endpoint = proxy.connect(request(
                id + 1,
                (n * 4) as u64 + u64::from(id),
                500 + group as u64,
            ));
            homes[group].insert(endpoint.unwrap());
            // The connection ends at once, so that the number of connections has no effect.
            proxy.end_attempt(id + 1, endpoint.unwrap(), Outcome::Success, true);
        }
    }
    assert!(
        homes.iter().all(|endpoints| endpoints.len() == 1),
        "homes of each group: {homes:?}"
    );
    // The groups do not all have the same home.
    assert!(homes.iter().flatten().collect::<BTreeSet<_>>().len() > 4);
}

/// A cold endpoint must get neither too many requests at once, which breaks the rule of slow start,
/// nor too few: with six in ten endpoints cold, those stayed idle while the warm ones were
/// overloaded.
#[test]
fn a_hundred_relays_fill_a_cold_endpoint_within_the_limit_and_not_too_slowly() {
    let settings = Settings {
        overload_factor: 2.5,
        overload_window: 3 * SECOND,
        ..with_health_checks()
    };
    for n in [3, 100] {
        let mut fleet = fleet(n, 2, &settings);
        let begin = fleet[0].now;
        let report_load = |proxy: &mut BalancerHarness, endpoint: u64, active: f32, load: f32| {
            let (endpoint, report) = (EndpointId(endpoint), vec![active, load]);
            proxy.handle(Event::HealthCheck {
                endpoint,
                outcome: Outcome::Success,
                report,
            })
        };
        for proxy in &mut fleet {
            proxy.update_endpoints(
                EndpointListKind::Delta,
                vec![ListedEndpoint {
                    started_at: Some(begin),
                    ..ready_endpoint(3)
                }],
            );
        }
        let mut sends = Vec::new();
        // The clients of the whole fleet send 200 requests per second, to the relays in turn.
        for step in 0..1_200u32 {
            let now = begin + u64::from(step) * SECOND / 200;
            let proxy = &mut fleet[(step % n) as usize];
            proxy.now = now;
            // A hundred connections fill a warm endpoint; the cold one always reports none.
            let mut actions = report_load(proxy, 1, 95.0, 0.95 + step as f32 / 1e6);
            actions.extend(report_load(proxy, 2, 95.0, 0.95 + step as f32 / 1e6));
            actions.extend(report_load(proxy, 3, 0.0, step as f32 / 1e9));
            actions.extend(proxy.submit(Request {
                time_left: SECOND / 4,
                ..request(step + 1, u64::from(step), 0)
            }));
            for action in actions {
                let Action::Attempt { id, endpoint, .. } = action else {
                    continue;
                };
                sends.extend((endpoint == EndpointId(3)).then_some(now));
                proxy.end_attempt(id.0, endpoint, Outcome::Success, true);
            }
        }
        let count_in_window = |from: Micros| {
            sends
                .iter()
                .filter(|&&at| (from..from + settings.overload_window).contains(&at))
                .count() as f32
        };
        for second in 0..4 {
            let (age, count) = (second * SECOND, count_in_window(begin + second * SECOND));
            // The limit is that of the lowest capacity within the window.
            let allowed = max_requests_while_warming(&settings, 100.0, age);
            assert!(
                count < 0.7 * allowed,
                "{n} relays: {count} in 3 s from second {second}, {allowed} allowed"
            );
            let least = 0.3 * allowed;
            assert!(
                count >= least,
                "{n} relays: {count} in 3 s from second {second}, {least} at least"
            );
        }
    }
}

fn slow_start_settings(relays: u32) -> Settings {
    Settings {
        overload_factor: 2.5,
        overload_window: 3 * SECOND,
        balancer_count: relays,
        ..with_health_checks()
    }
}

/// The times at which a fleet sends requests to an endpoint that has just started, by the decisions
/// of each relay in virtual time. `capacity` is the number of connections that fill a warm
/// endpoint. Relays learn of the endpoint at different times and have uneven traffic. There are no
/// requests for `quiet` seconds, then requests at all relays at once, which continue. In the middle
/// of that, seven in ten relays restart without their memory.
fn sent_to_a_cold_endpoint(relays: u32, capacity: f32, quiet: u64, seed: u64) -> Vec<Micros> {
    let settings = slow_start_settings(relays);
    let mut random = Random::new(seed);
    let begin = 1_000 * SECOND;
    let start = |now: Micros, number: u32, seed: u64| {
        let mut proxy = BalancerHarness::new(
            Settings {
                balancer_index: number,
                ..settings.clone()
            },
            seed,
        );
        proxy.now = now;
        let cold = ListedEndpoint {
            started_at: Some(begin),
            ..ready_endpoint(3)
        };
        proxy.update_endpoints(
            EndpointListKind::Full,
            vec![ready_endpoint(1), ready_endpoint(2), cold],
        );
        proxy
    };
    let mut fleet: Vec<BalancerHarness> = (0..relays)
        .map(|n| {
            start(
                begin + random.range(0..4 * SECOND),
                n,
                seed << 16 | u64::from(n),
            )
        })
        .collect();
    let (mut sends, mut next) = (Vec::new(), 0);
    // Two requests per second for each that the limit allows, in steps of 20 ms.
    let traffic_begin = begin + quiet * SECOND;
    for step in 0..300u64 {
        let now = traffic_begin + step * SECOND / 50;
        if step == 150 {
            for n in (0..relays as usize).filter(|n| n % 10 < 7) {
                fleet[n] = start(now, n as u32, random.range(0..u64::MAX));
            }
        }
        // First two requests at each relay at once; then some relays get far more than others.
        let requests = if step == 0 {
            2 * relays
        } else {
            (capacity / 4.0).ceil() as u32
        };
        for index in 0..requests {
            let share = random.float();
            let n = if step == 0 {
                index % relays
            } else {
                (share * share * relays as f32) as u32
            };
            let proxy = &mut fleet[n as usize];
            proxy.now = proxy.now.max(now);
            for (endpoint, active, load) in [
                (1, 0.95 * capacity, 0.95),
                (2, 0.95 * capacity, 0.95),
                (3, 0.0, 0.0),
            ] {
                let report = vec![active, load + step as f32 / 1e6];
                proxy.handle(Event::HealthCheck {
                    endpoint: EndpointId(endpoint),
                    outcome: Outcome::Success,
                    report,
                });
            }
            next += 1;
            let request = request(next, u64::from(next), 0);
            let Some(endpoint) = attempted_endpoint(&proxy.submit(request)) else {
                // A request that has to wait is withdrawn.
                proxy.handle(Event::ClientDisconnected(RequestId(next)));
                continue;
            };
            sends.extend((endpoint == EndpointId(3)).then_some(proxy.now));
            proxy.end_attempt(next, endpoint, Outcome::Success, true);
        }
    }
    sends.sort_unstable();
    sends
}

/// Guards against relays that each save up their share of a cold endpoint's capacity while they
/// have no requests: after some quiet seconds each of hundreds had saved a whole request, and all
/// were sent at once.
#[test]
fn the_requests_of_all_relays_stay_within_the_limit_after_a_quiet_time() {
    for (relays, capacity, seeds) in [
        (3, 12.0, 10),
        (20, 12.0, 10),
        (30, 12.0, 10),
        (300, 100.0, 2),
    ] {
        for (quiet, seed) in [1, 5, 9, 14]
            .into_iter()
            .flat_map(|quiet| (0..seeds).map(move |seed| (quiet, seed)))
        {
            let sends = sent_to_a_cold_endpoint(relays, capacity, quiet, seed);
            for (n, &from) in sends.iter().enumerate() {
                let count = sends[n..]
                    .iter()
                    .take_while(|&&at| at < from + 3 * SECOND)
                    .count() as f32;
                // The limit is that of the lowest capacity within the window.
                let (settings, age) = (slow_start_settings(relays), from - 1_000 * SECOND);
                let allowed = max_requests_while_warming(&settings, capacity, age);
                assert!(
                    age >= settings.warm_up_time || count <= allowed,
                    "{relays} relays, {quiet} s, seed {seed}: {count} in 3 s where {allowed} are allowed"
                );
            }
            assert!(
                !sends.is_empty(),
                "{relays} relays, {quiet} s, seed {seed}: the endpoint stayed idle"
            );
        }
    }
}

/// Guards against polls of all relays at once, which overload discovery permanently, so that most
/// relays never get a list again.
#[test]
fn a_hundred_relays_that_start_together_poll_for_the_list_in_turn() {
    let settings = Settings {
        balancer_count: 100,
        polls_endpoint_list: true,
        ..Settings::default()
    };
    let (mut first, mut again) = (Vec::new(), Vec::new());
    for seed in 0..100 {
        let mut proxy = BalancerHarness::new(settings.clone(), seed);
        let begin = proxy.now;
        let (at, token) =
            timers(&proxy.update_endpoints(EndpointListKind::Cached, vec![ready_endpoint(1)]))[0];
        proxy.now = at;
        assert_eq!(proxy.fire_timer(token), [Action::WatchEndpointList(true)]);
        first.push(at - begin);
        let (next, _) =
            timers(&proxy.update_endpoints(EndpointListKind::WatchFailed, Vec::new()))[0];
        again.push(next - at);
        // Requests are placed with the cached list before discovery has answered.
        assert_eq!(proxy.connect(request(1, seed, 0)), Some(EndpointId(1)));
    }
    let most = |times: &[Micros]| {
        (0..20)
            .map(|s| times.iter().filter(|&&t| t / SECOND == s).count())
            .max()
    };
    assert!(
        most(&first) <= Some(35),
        "first polls in one second: {:?}",
        most(&first)
    );
    assert!(
        most(&again) <= Some(35),
        "second polls in one second: {:?}",
        most(&again)
    );
}

/// With few requests per relay, its periodic load reports are out of date. Before it places a
/// request, the relay checks endpoints along the group's jumps until one has capacity.
#[test]
fn a_relay_checks_the_load_along_the_jumps_before_it_places_a_request() {
    let mut proxy = BalancerHarness::new(
        Settings {
            balancer_count: 100,
            ..with_health_checks()
        },
        5,
    );
    proxy.update_endpoints(
        EndpointListKind::Full,
        (1..=9).map(ready_endpoint).collect(),
    );
    let home = proxy.connect(request(1, 1, 7)).unwrap();
    proxy.now += 10 * SECOND;
    let health_checks = |actions: &[Action]| -> Vec<EndpointId> {
        actions
            .iter()
            .filter_map(|a| {
                if let Action::CheckHealth(s) = a {
                    Some(*s)
                } else {
                    None
                }
            })
            .collect()
    };
    let actions = proxy.handle(Event::Request(request(2, 2, 7)));
    let (mut checked, mut placed) = (health_checks(&actions), None);
    for n in 0..9 {
        let Some(&endpoint) = checked.get(n) else {
            break;
        };
        // All but the sixth endpoint that it checks are full.
        let report = vec![20.0, if n == 5 { 0.1 } else { 1.2 }];
        let actions = proxy.handle(Event::HealthCheck {
            endpoint,
            outcome: Outcome::Success,
            report,
        });
        checked.extend(health_checks(&actions));
        placed = placed.or(attempted_endpoint(&actions));
    }
    assert_eq!(checked[0], home, "the home is checked first");
    assert_eq!(placed, checked.get(5).copied(), "{checked:?}");
}

/// A relay that has not polled for `ask_within` counts as told of all changes. Guards against turns
/// that take longer than that in a very large fleet.
#[test]
fn no_relay_waits_for_its_turn_to_poll_longer_than_the_longest_poll_interval() {
    let settings = Settings {
        balancer_count: 5_000,
        polls_endpoint_list: true,
        ..Settings::default()
    };
    for (known, most) in [
        (vec![ready_endpoint(1)], settings.max_poll_interval / 2),
        (vec![], 0),
    ] {
        for seed in 0..50 {
            let mut proxy = BalancerHarness::new(settings.clone(), seed);
            let (first, _) =
                timers(&proxy.update_endpoints(EndpointListKind::Cached, known.clone()))[0];
            assert!(
                first <= proxy.now + most,
                "{} us, {} known",
                first - proxy.now,
                known.len()
            );
            // After a failure the wait may be four times as long.
            for _ in 0..8 {
                let (again, _) =
                    timers(&proxy.update_endpoints(EndpointListKind::WatchFailed, Vec::new()))[0];
                assert!(again < proxy.now + 4 * settings.max_poll_interval);
            }
        }
    }
}

/// Each answered health check re-evaluates the waiting requests. Guards against a new timer, never
/// removed, for each of these evaluations.
#[test]
fn a_waiting_request_has_one_timer_however_many_health_checks_are_answered() {
    let cold = ListedEndpoint {
        started_at: Some(1_000 * SECOND),
        ..ready_endpoint(1)
    };
    let mut proxy = BalancerHarness::new(
        Settings {
            balancer_count: 100,
            ..with_health_checks()
        },
        5,
    );
    proxy.update_endpoints(EndpointListKind::Full, vec![cold]);
    // No request may be sent yet to the only endpoint.
    let mut timer_count = 0;
    for n in 0..100u64 {
        let actions = match n {
            0 => proxy.handle(Event::Request(request(1, 1, 0))),
            _ => proxy.handle(Event::HealthCheck {
                endpoint: EndpointId(1),
                outcome: Outcome::Error,
                report: vec![],
            }),
        };
        timer_count += timers(&actions)
            .iter()
            .filter(|(_, token)| token >> 32 == 2)
            .count();
    }
    assert_eq!(timer_count, 1);
}
