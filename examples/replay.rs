//! Feeds a balancer a few seconds of a proxy's life and prints what it asks for.

use jaspermoor::api::*;
use jaspermoor::Balancer;

fn main() -> Result<(), Unknown> {
    let mut balancer = Balancer::new(
        Settings {
            balancers: 4,
            ..Settings::default()
        },
        2026,
    );
    let mut step = |now: Micros, event: Event| -> Result<Vec<Action>, Unknown> {
        let mut actions = Vec::new();
        println!("{now:>9} us  {event:?}");
        balancer.handle(now, event, &mut actions)?;
        for action in &actions {
            println!("              -> {action:?}");
        }
        Ok(actions)
    };
    let member = |n: u64, state| Member {
        server: ServerId(n),
        zone: 0,
        cell: 0,
        state,
        size: 1.0,
        started: None,
    };
    let members = (1..=3).map(|n| member(n, MemberState::Ready)).collect();
    step(
        0,
        Event::Members {
            kind: ListKind::Full,
            members,
        },
    )?;

    let id = RequestId(1);
    let request = Request {
        id,
        key: 42,
        group: 7,
        left: SECOND,
        ..Request::default()
    };
    let actions = step(10_000, Event::Request(request))?;
    let Some(server) = actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    }) else {
        return Ok(());
    };
    step(
        25_000,
        Event::First {
            id,
            server,
            took: 15_000,
        },
    )?;
    step(900_000, Event::DelayNote(id, server, 400_000))?;
    let drains = vec![member(server.0, MemberState::Draining)];
    step(
        1_000_000,
        Event::Members {
            kind: ListKind::Delta,
            members: drains,
        },
    )?;
    let end = Event::Outcome {
        id,
        server,
        outcome: Outcome::Ok,
        last: true,
        report: Vec::new(),
    };
    step(1_500_000, end)?;
    Ok(())
}
