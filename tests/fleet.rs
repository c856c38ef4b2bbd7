//! What many relays do together: their balancers side by side, at virtual time, without a word between them.

mod common;

use common::*;
use jaspermoor::decisions::api::*;
use jaspermoor::decisions::random::Random;
use std::collections::BTreeSet;

/// So many balancers of one fleet, each with the same list and a seed of its own.
fn fleet(n: u32, servers: u64, settings: &Settings) -> Vec<BalancerHarness> {
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
            (1..=servers).map(ready_endpoint).collect(),
        );
        proxy
    };
    (1..=u64::from(n)).map(relay).collect()
}

fn with_probes() -> Settings {
    Settings {
        may_check_health: true,
        report_columns: vec![ReportColumn::Active, ReportColumn::Load],
        ..Settings::default()
    }
}

/// How many probes a balancer that nobody asks anything makes in a time.
fn probes(settings: Settings, servers: u64, seed: u64, time: Micros) -> usize {
    let mut proxy = BalancerHarness::new(settings, seed);
    let mut actions = proxy.update_endpoints(
        EndpointListKind::Full,
        (1..=servers).map(ready_endpoint).collect(),
    );
    let (end, mut count) = (proxy.now + time, 0);
    loop {
        count += actions
            .iter()
            .filter(|a| matches!(a, Action::CheckHealth(_)))
            .count();
        // Each probe asks for the timer of the next.
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
fn a_hundred_relays_probe_no_more_together_than_three() {
    let sum = |n: u32, servers: u64| -> usize {
        let settings = Settings {
            balancer_count: n,
            ..with_probes()
        };
        (1..=u64::from(n))
            .map(|seed| probes(settings.clone(), servers, seed, 60 * SECOND))
            .sum()
    };
    let few = sum(3, 9);
    assert!(
        (950..1200).contains(&few),
        "each of 9 servers about twice a second, not {few}"
    );
    for (relays, servers) in [(100, 9), (100, 60)] {
        // What a relay may probe at once at its start comes on top.
        let most = few * servers as usize / 9 * 5 / 4 + relays as usize;
        let many = sum(relays, servers);
        assert!(
            (few / 2..most).contains(&many),
            "{relays} relays, {servers} servers: {many}, three {few}"
        );
    }
}

#[test]
fn relays_that_see_a_handful_of_requests_agree_on_each_groups_server() {
    let mut fleet = fleet(100, 9, &Settings::default());
    let mut homes = vec![BTreeSet::new(); 10];
    // Each sees four requests, of other groups than its neighbour: shares of so few say nothing.
    for (n, proxy) in fleet.iter_mut().enumerate() {
        for id in 0..4u32 {
            let group = (n * 7 + id as usize * id as usize) % 10;
            let server = proxy.connect(request(
                id + 1,
                (n * 4) as u64 + u64::from(id),
                500 + group as u64,
            ));
            homes[group].insert(server.unwrap());
            // It ends at once: what is held is not what this is about.
            proxy.end_attempt(id + 1, server.unwrap(), Outcome::Success, true);
        }
    }
    assert!(
        homes.iter().all(|servers| servers.len() == 1),
        "homes of each group: {homes:?}"
    );
    // They do not agree by sending all to one.
    assert!(homes.iter().flatten().collect::<BTreeSet<_>>().len() > 4);
}

/// Six in ten servers cold at once were left idle while the warm ones jammed; too much at once breaks the rule.
#[test]
fn a_hundred_relays_fill_a_cold_server_within_the_rule_and_no_slower_than_need_be() {
    let settings = Settings {
        overload_factor: 2.5,
        overload_window: 3 * SECOND,
        ..with_probes()
    };
    for n in [3, 100] {
        let mut fleet = fleet(n, 2, &settings);
        let begin = fleet[0].now;
        let tell = |proxy: &mut BalancerHarness, server: u64, active: f32, load: f32| {
            let (server, report) = (EndpointId(server), vec![active, load]);
            proxy.handle(Event::HealthCheck {
                endpoint: server,
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
        // All clients of the fleet come again and again: 200 requests a second, whoever takes them.
        for step in 0..1_200u32 {
            let now = begin + u64::from(step) * SECOND / 200;
            let proxy = &mut fleet[(step % n) as usize];
            proxy.now = now;
            // A hundred connections fill a warm server; the cold one seems to hold nothing all the time.
            let mut actions = tell(proxy, 1, 95.0, 0.95 + step as f32 / 1e6);
            actions.extend(tell(proxy, 2, 95.0, 0.95 + step as f32 / 1e6));
            actions.extend(tell(proxy, 3, 0.0, step as f32 / 1e9));
            actions.extend(proxy.submit(Request {
                time_left: SECOND / 4,
                ..request(step + 1, u64::from(step), 0)
            }));
            for action in actions {
                let Action::Attempt {
                    id,
                    endpoint: server,
                    ..
                } = action
                else {
                    continue;
                };
                sends.extend((server == EndpointId(3)).then_some(now));
                proxy.end_attempt(id.0, server, Outcome::Success, true);
            }
        }
        let within = |from: Micros| {
            sends
                .iter()
                .filter(|&&at| (from..from + settings.overload_window).contains(&at))
                .count() as f32
        };
        for second in 0..4 {
            let (age, count) = (second * SECOND, within(begin + second * SECOND));
            // The least capacity in that time sets the most that the rule allows.
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

fn cold_rule(relays: u32) -> Settings {
    Settings {
        overload_factor: 2.5,
        overload_window: 3 * SECOND,
        balancer_count: relays,
        ..with_probes()
    }
}

/// What a fleet sends to a server that has just started, by the decisions of each relay, in virtual time. Relays hear of
/// it at different times and see uneven traffic; `quiet` seconds long nobody asks for anything, then everybody does at
/// once, and goes on. In the middle of that seven in ten start anew with empty memories.
fn sent_to_a_cold_server(relays: u32, fills: f32, quiet: u64, seed: u64) -> Vec<Micros> {
    let settings = cold_rule(relays);
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
    // Two requests a second for each that the rule allows, in steps of 20 ms.
    let again = begin + quiet * SECOND;
    for step in 0..300u64 {
        let now = again + step * SECOND / 50;
        if step == 150 {
            for n in (0..relays as usize).filter(|n| n % 10 < 7) {
                fleet[n] = start(now, n as u32, random.range(0..u64::MAX));
            }
        }
        // At once at first, each relay twice; then some relays far more often than others.
        let asks = if step == 0 {
            2 * relays
        } else {
            (fills / 4.0).ceil() as u32
        };
        for ask in 0..asks {
            let share = random.float();
            let n = if step == 0 {
                ask % relays
            } else {
                (share * share * relays as f32) as u32
            };
            let proxy = &mut fleet[n as usize];
            proxy.now = proxy.now.max(now);
            for (server, active, load) in [
                (1, 0.95 * fills, 0.95),
                (2, 0.95 * fills, 0.95),
                (3, 0.0, 0.0),
            ] {
                let report = vec![active, load + step as f32 / 1e6];
                proxy.handle(Event::HealthCheck {
                    endpoint: EndpointId(server),
                    outcome: Outcome::Success,
                    report,
                });
            }
            next += 1;
            let asked = request(next, u64::from(next), 0);
            let Some(server) = attempted_endpoint(&proxy.submit(asked)) else {
                // It has to wait, and goes away.
                proxy.handle(Event::ClientDisconnected(RequestId(next)));
                continue;
            };
            sends.extend((server == EndpointId(3)).then_some(proxy.now));
            proxy.end_attempt(next, server, Outcome::Success, true);
        }
    }
    sends.sort_unstable();
    sends
}

/// Each relay kept what it had earned of a cold server's room until it was asked for something: after some quiet
/// seconds each of hundreds had a whole call saved up, and all came at once.
#[test]
fn the_sum_of_all_relays_stays_within_the_rule_whatever_each_has_saved_up() {
    for (relays, fills, seeds) in [
        (3, 12.0, 10),
        (20, 12.0, 10),
        (30, 12.0, 10),
        (300, 100.0, 2),
    ] {
        for (quiet, seed) in [1, 5, 9, 14]
            .into_iter()
            .flat_map(|quiet| (0..seeds).map(move |seed| (quiet, seed)))
        {
            let sends = sent_to_a_cold_server(relays, fills, quiet, seed);
            for (n, &from) in sends.iter().enumerate() {
                let count = sends[n..]
                    .iter()
                    .take_while(|&&at| at < from + 3 * SECOND)
                    .count() as f32;
                // The least capacity in that time sets the most that the rule allows.
                let (settings, age) = (cold_rule(relays), from - 1_000 * SECOND);
                let allowed = max_requests_while_warming(&settings, fills, age);
                assert!(
                    age >= settings.warm_up_time || count <= allowed,
                    "{relays} relays, {quiet} s, seed {seed}: {count} in 3 s where {allowed} are allowed"
                );
            }
            assert!(
                !sends.is_empty(),
                "{relays} relays, {quiet} s, seed {seed}: left idle"
            );
        }
    }
}

/// Calls of all at once overbooked the service for good: most relays never had a list again.
#[test]
fn a_hundred_relays_that_start_together_call_for_the_list_in_turn() {
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
        // A request is served from the list that it has, before discovery has said anything.
        assert_eq!(proxy.connect(request(1, seed, 0)), Some(EndpointId(1)));
    }
    let most = |times: &[Micros]| {
        (0..20)
            .map(|s| times.iter().filter(|&&t| t / SECOND == s).count())
            .max()
    };
    assert!(
        most(&first) <= Some(35),
        "first calls in one second: {:?}",
        most(&first)
    );
    assert!(
        most(&again) <= Some(35),
        "second calls in one second: {:?}",
        most(&again)
    );
}

/// With a handful of requests each, a relay's periodic reports are older than the load of a server: before it
/// places a request it looks, and goes on along the same jumps until it finds room.
#[test]
fn a_relay_looks_along_the_jumps_for_room_before_it_places() {
    let mut proxy = BalancerHarness::new(
        Settings {
            balancer_count: 100,
            ..with_probes()
        },
        5,
    );
    proxy.update_endpoints(
        EndpointListKind::Full,
        (1..=9).map(ready_endpoint).collect(),
    );
    let home = proxy.connect(request(1, 1, 7)).unwrap();
    proxy.now += 10 * SECOND;
    let probes = |actions: &[Action]| -> Vec<EndpointId> {
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
    let (mut asked, mut placed) = (
        probes(&proxy.handle(Event::Request(request(2, 2, 7)))),
        None,
    );
    for n in 0..9 {
        let Some(&server) = asked.get(n) else { break };
        // All but the sixth that it asks are full.
        let report = vec![20.0, if n == 5 { 0.1 } else { 1.2 }];
        let actions = proxy.handle(Event::HealthCheck {
            endpoint: server,
            outcome: Outcome::Success,
            report,
        });
        asked.extend(probes(&actions));
        placed = placed.or(attempted_endpoint(&actions));
    }
    assert_eq!(asked[0], home, "the home comes first");
    assert_eq!(placed, asked.get(5).copied(), "{asked:?}");
}

/// Who has not asked for `ask_within` counts as told of all changes: in a very large fleet a turn took longer.
#[test]
fn no_relay_waits_for_its_turn_longer_than_it_may_go_unasked() {
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
            // After a failure four times as long is allowed.
            for _ in 0..8 {
                let (again, _) =
                    timers(&proxy.update_endpoints(EndpointListKind::WatchFailed, Vec::new()))[0];
                assert!(again < proxy.now + 4 * settings.max_poll_interval);
            }
        }
    }
}

/// Each answer to a probe lets the waiting requests look again; each such look once set a timer for good.
#[test]
fn a_held_request_has_one_timer_however_many_probes_are_answered() {
    let cold = ListedEndpoint {
        started_at: Some(1_000 * SECOND),
        ..ready_endpoint(1)
    };
    let mut proxy = BalancerHarness::new(
        Settings {
            balancer_count: 100,
            ..with_probes()
        },
        5,
    );
    proxy.update_endpoints(EndpointListKind::Full, vec![cold]);
    // Nothing may be sent yet to the one server there is.
    let mut held = 0;
    for n in 0..100u64 {
        let actions = match n {
            0 => proxy.handle(Event::Request(request(1, 1, 0))),
            _ => proxy.handle(Event::HealthCheck {
                endpoint: EndpointId(1),
                outcome: Outcome::Error,
                report: vec![],
            }),
        };
        held += timers(&actions)
            .iter()
            .filter(|(_, token)| token >> 32 == 2)
            .count();
    }
    assert_eq!(held, 1);
}
