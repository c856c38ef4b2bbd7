//! Test harness of one balancer: passes events to it, at a time that the test sets, and returns the
//! actions. Helpers build settings, requests and endpoints, and select actions.
#![allow(dead_code)]

use jaspermoor::decisions::api::*;
use jaspermoor::Balancer;

pub const MS: Micros = 1_000;

pub struct BalancerHarness {
    pub balancer: Balancer,
    pub now: Micros,
    /// Actions of the last event.
    pub actions: Vec<Action>,
}

impl BalancerHarness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        BalancerHarness {
            balancer: Balancer::new(settings, seed),
            now: 1_000 * SECOND,
            actions: Vec::new(),
        }
    }

    /// A harness with `n` ready endpoints of the same size, with ids from 1.
    pub fn with_endpoints(settings: Settings, n: u64) -> Self {
        let mut harness = BalancerHarness::new(settings, 7);
        harness.update_endpoints(
            EndpointListKind::Full,
            (1..=n).map(ready_endpoint).collect(),
        );
        harness
    }

    /// Passes an event to the balancer and returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.balancer
            .handle(self.now, event, &mut self.actions)
            .expect("the event names known requests and endpoints");
        self.actions.clone()
    }

    pub fn update_endpoints(
        &mut self,
        kind: EndpointListKind,
        listed: Vec<ListedEndpoint>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointList {
            kind,
            endpoints: listed,
        })
    }

    /// Submits a request. If it waits for health checks, these are not answered: it is placed after
    /// the timeout of the load lookup.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let mut actions = self.handle(Event::Request(request));
        if actions.iter().any(|a| matches!(a, Action::CheckHealth(_))) {
            let (at, token) = *timers(&actions).last().expect("a timer of the lookup");
            self.now = at;
            actions.extend(self.fire_timer(token));
        }
        actions
    }

    /// Submits a request, connects its attempt, and returns its endpoint.
    pub fn connect(&mut self, request: Request) -> Option<EndpointId> {
        let id = request.id;
        let endpoint = attempted_endpoint(&self.submit(request))?;
        self.handle(Event::Connected {
            id,
            endpoint,
            elapsed: MS,
        });
        Some(endpoint)
    }

    pub fn end_attempt(
        &mut self,
        id: u32,
        endpoint: EndpointId,
        outcome: Outcome,
        request_finished: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            id: RequestId(id),
            endpoint,
            outcome,
            request_finished,
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

/// A request of a group (0 for none) whose client waits for a second.
pub fn request(id: u32, client_key: u64, group: u64) -> Request {
    Request {
        id: RequestId(id),
        client_key,
        group,
        time_left: SECOND,
        ..Request::default()
    }
}

/// Settings with one class of this idempotency.
pub fn settings_with_idempotency(idempotency: Idempotency) -> Settings {
    let mut settings = Settings::default();
    settings.classes[0].idempotency = idempotency;
    settings
}

/// The endpoint of the attempt among the actions, if there is one. Fails if there are several.
pub fn attempted_endpoint(actions: &[Action]) -> Option<EndpointId> {
    let mut attempts = actions.iter().filter_map(|a| match a {
        Action::Attempt { endpoint, .. } => Some(*endpoint),
        _ => None,
    });
    let first = attempts.next();
    assert!(
        attempts.next().is_none(),
        "several attempts at a time: {actions:?}"
    );
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

/// The times and tokens of the timers to set.
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

/// The least fraction of its capacity that an endpoint of this age has.
pub fn capacity_fraction(settings: &Settings, age: Micros) -> f32 {
    let start = settings.initial_capacity;
    (start + (1.0 - start) * age as f32 / settings.warm_up_time as f32).min(1.0)
}

/// The most requests that the platform's rule allows all relays together to send to a warming
/// endpoint of this age within the overload window; `connections_when_full` is the number that a
/// warm endpoint can serve. The platform's documentation gives the limit as N + 2·√N + 2 and leaves
/// N open. The rate here, which fills an endpoint during a warm-up with linear growth, was inferred
/// from four failures of warming endpoints. The decisions assume the same N, so a test with this
/// limit cannot show that N is wrong.
pub fn max_requests_while_warming(
    settings: &Settings,
    connections_when_full: f32,
    age: Micros,
) -> f32 {
    let time_to_fill = settings.warm_up_time as f32 * (1.0 + settings.initial_capacity) / 2.0;
    let capacity = connections_when_full * capacity_fraction(settings, age) / time_to_fill;
    let allowed = settings.overload_factor * capacity * settings.overload_window as f32;
    allowed + 2.0 * allowed.sqrt() + 2.0
}
