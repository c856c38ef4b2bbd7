//! A proxy in miniature for tests: feeds events to one balancer and keeps what it asked for.
#![allow(dead_code)]

use jaspermoor::decisions::api::*;
use jaspermoor::Balancer;

pub const MS: Micros = 1_000;

pub struct BalancerHarness {
    pub balancer: Balancer,
    pub now: Micros,
    pub out: Vec<Action>,
}

impl BalancerHarness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        BalancerHarness {
            balancer: Balancer::new(settings, seed),
            now: 1_000 * SECOND,
            out: Vec::new(),
        }
    }

    /// A proxy with `n` ready servers of the same size, numbered from 1.
    pub fn with_endpoints(settings: Settings, n: u64) -> Self {
        let mut proxy = BalancerHarness::new(settings, 7);
        proxy.update_endpoints(
            EndpointListKind::Full,
            (1..=n).map(ready_endpoint).collect(),
        );
        proxy
    }

    /// Feeds an event; returns the actions it brought.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.out.clear();
        self.balancer
            .handle(self.now, event, &mut self.out)
            .expect("the event names only known things");
        self.out.clone()
    }

    pub fn update_endpoints(
        &mut self,
        kind: EndpointListKind,
        members: Vec<ListedEndpoint>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointList {
            kind,
            endpoints: members,
        })
    }

    /// Feeds a request. Probes that it waits for are left unanswered, so it is placed when that wait is over.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let mut actions = self.handle(Event::Request(request));
        if actions.iter().any(|a| matches!(a, Action::CheckHealth(_))) {
            let (at, token) = *timers(&actions).last().expect("it waits for a time");
            self.now = at;
            actions.extend(self.fire_timer(token));
        }
        actions
    }

    /// Sends a request and brings it up; returns its server.
    pub fn connect(&mut self, request: Request) -> Option<EndpointId> {
        let id = request.id;
        let server = attempted_endpoint(&self.submit(request))?;
        self.handle(Event::Connected {
            id,
            endpoint: server,
            elapsed: MS,
        });
        Some(server)
    }

    pub fn end_attempt(
        &mut self,
        id: u32,
        server: EndpointId,
        outcome: Outcome,
        last: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            id: RequestId(id),
            endpoint: server,
            outcome,
            request_finished: last,
            report: Vec::new(),
        })
    }

    pub fn fire_timer(&mut self, token: u64) -> Vec<Action> {
        self.handle(Event::Timer(token))
    }
}

pub fn ready_endpoint(n: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: EndpointId(n),
        zone: 0,
        cell: 0,
        state: EndpointState::Ready,
        size: 1.0,
        started_at: None,
    }
}

pub fn endpoint_in_state(n: u64, state: EndpointState) -> ListedEndpoint {
    ListedEndpoint {
        state,
        ..ready_endpoint(n)
    }
}

/// A request of a group (0 for none) with a second to spare.
pub fn request(id: u32, key: u64, group: u64) -> Request {
    Request {
        id: RequestId(id),
        client_key: key,
        group,
        time_left: SECOND,
        ..Request::default()
    }
}

/// Settings with one class of that effect.
pub fn settings_with_idempotency(effect: Idempotency) -> Settings {
    let mut settings = Settings::default();
    settings.classes[0].idempotency = effect;
    settings
}

/// The server of the one send among the actions, if there is one.
pub fn attempted_endpoint(actions: &[Action]) -> Option<EndpointId> {
    let mut sends = actions.iter().filter_map(|a| match a {
        Action::Attempt {
            endpoint: server, ..
        } => Some(*server),
        _ => None,
    });
    let first = sends.next();
    assert!(sends.next().is_none(), "one attempt at a time: {actions:?}");
    first
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(..)))
}

pub fn migrated_connections(actions: &[Action]) -> Vec<RequestId> {
    let id = |a: &Action| {
        if let Action::Migrate(id) = a {
            Some(*id)
        } else {
            None
        }
    };
    actions.iter().filter_map(id).collect()
}

/// The timers asked for: when, and the token.
pub fn timers(actions: &[Action]) -> Vec<(Micros, u64)> {
    let timer = |a: &Action| {
        if let Action::SetTimer { at, token } = a {
            Some((*at, *token))
        } else {
            None
        }
    };
    actions.iter().filter_map(timer).collect()
}

/// The share of its capacity that a server of this age has at least.
pub fn capacity_fraction(settings: &Settings, age: Micros) -> f32 {
    let start = settings.initial_capacity;
    (start + (1.0 - start) * age as f32 / settings.warm_up_time as f32).min(1.0)
}

/// How many connections the rule lets all relays together send to a cold server of this age within `fall`. The pages
/// give N + 2 x root of N + 2. What N is they leave open: the rate here, which fills a server over a warm-up that rises
/// evenly, was inferred from four falls. The decisions reckon with the same, so tests by it cannot show it to be wrong.
pub fn max_requests_while_warming(settings: &Settings, filling: f32, age: Micros) -> f32 {
    let fills_in = settings.warm_up_time as f32 * (1.0 + settings.initial_capacity) / 2.0;
    let capacity = filling * capacity_fraction(settings, age) / fills_in;
    let allowed = settings.overload_factor * capacity * settings.overload_window as f32;
    allowed + 2.0 * allowed.sqrt() + 2.0
}
