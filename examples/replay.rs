//! Passes the events of 1.5 s at a relay to a balancer and prints the actions of each.

use jaspermoor::decisions::api::*;
use jaspermoor::Balancer;

fn main() -> Result<(), UnknownId> {
    let mut balancer = Balancer::new(
        Settings {
            balancer_count: 4,
            ..Settings::default()
        },
        2026,
    );
    let mut step = |now: Micros, event: Event| -> Result<Vec<Action>, UnknownId> {
        let mut actions = Vec::new();
        println!("{now:>9} us  {event:?}");
        balancer.handle(now, event, &mut actions)?;
        for action in &actions {
            println!("              -> {action:?}");
        }
        Ok(actions)
    };
    let listed = |n: u64, state| ListedEndpoint {
        id: EndpointId(n),
        zone: 0,
        cell: 0,
        state,
        size: 1.0,
        started_at: None,
    };
    let endpoints = (1..=3).map(|n| listed(n, EndpointState::Ready)).collect();
    step(
        0,
        Event::EndpointList {
            kind: EndpointListKind::Full,
            endpoints,
        },
    )?;

    let id = RequestId(1);
    let request = Request {
        id,
        client_key: 42,
        group: 7,
        time_left: SECOND,
        ..Request::default()
    };
    let actions = step(10_000, Event::Request(request))?;
    let Some(endpoint) = actions.iter().find_map(|a| match a {
        Action::Attempt { endpoint, .. } => Some(*endpoint),
        _ => None,
    }) else {
        return Ok(());
    };
    step(
        25_000,
        Event::Connected {
            id,
            endpoint,
            elapsed: 15_000,
        },
    )?;
    step(
        900_000,
        Event::DelaySample {
            id,
            endpoint,
            delay: 400_000,
        },
    )?;
    let draining = vec![listed(endpoint.0, EndpointState::Draining)];
    step(
        1_000_000,
        Event::EndpointList {
            kind: EndpointListKind::Delta,
            endpoints: draining,
        },
    )?;
    let end = Event::AttemptEnded {
        id,
        endpoint,
        outcome: Outcome::Success,
        request_finished: true,
        report: Vec::new(),
    };
    step(1_500_000, end)?;
    Ok(())
}
