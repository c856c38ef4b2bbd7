//! Feeds a balancer a few seconds of a proxy's life and prints what it asks for.

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
    let member = |n: u64, state| ListedEndpoint {
        id: EndpointId(n),
        zone: 0,
        cell: 0,
        state,
        size: 1.0,
        started_at: None,
    };
    let members = (1..=3).map(|n| member(n, EndpointState::Ready)).collect();
    step(
        0,
        Event::EndpointList {
            kind: EndpointListKind::Full,
            endpoints: members,
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
    let Some(server) = actions.iter().find_map(|a| match a {
        Action::Attempt {
            endpoint: server, ..
        } => Some(*server),
        _ => None,
    }) else {
        return Ok(());
    };
    step(
        25_000,
        Event::Connected {
            id,
            endpoint: server,
            elapsed: 15_000,
        },
    )?;
    step(
        900_000,
        Event::DelaySample {
            id,
            endpoint: server,
            delay: 400_000,
        },
    )?;
    let drains = vec![member(server.0, EndpointState::Draining)];
    step(
        1_000_000,
        Event::EndpointList {
            kind: EndpointListKind::Delta,
            endpoints: drains,
        },
    )?;
    let end = Event::AttemptEnded {
        id,
        endpoint: server,
        outcome: Outcome::Success,
        request_finished: true,
        report: Vec::new(),
    };
    step(1_500_000, end)?;
    Ok(())
}
