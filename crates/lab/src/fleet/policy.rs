//! Balancing policy of the simulated relays: the production `Balancer`, or random placement as the
//! baseline for a day's scores.

use jaspermoor::decisions::api::{
    Action, EndpointId, EndpointListKind, EndpointState, Event, Micros, Outcome, RequestId,
    Settings,
};
use jaspermoor::{Balancer, Parameters};
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Balancing policy of a variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Policy {
    /// The relay's `Balancer` with these parameters (`own` in an experiment's file).
    Relay(Box<Parameters>),
    /// A random ready backend for each attempt, with at most three attempts (`chance` in the
    /// file).
    Random,
}

/// Balancer of one simulated relay.
pub enum Decider {
    /// See [`Policy::Relay`].
    Relay(Box<Balancer>),
    /// See [`Policy::Random`].
    Random(Box<RandomBalancer>),
}

impl Decider {
    /// Creates the balancer of a relay that has just started.
    pub fn new(policy: &Policy, settings: Settings, seed: u64) -> Decider {
        match policy {
            Policy::Relay(parameters) => Decider::Relay(Box::new(
                Balancer::new(settings, seed).with_parameters(**parameters),
            )),
            Policy::Random => Decider::Random(Box::new(RandomBalancer {
                settings,
                rng: ChaCha8Rng::seed_from_u64(seed),
                ready: BTreeSet::new(),
                pending: BTreeMap::new(),
                watch_started: false,
            })),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match self {
            // Errors are ignored: they concern requests that have already ended.
            Decider::Relay(balancer) => drop(balancer.handle(now, event, out)),
            Decider::Random(random) => random.handle(now, event, out),
        }
    }
}

/// Balancer that picks ready backends at random.
pub struct RandomBalancer {
    settings: Settings,
    rng: ChaCha8Rng,
    ready: BTreeSet<EndpointId>,
    /// Pending requests with their deadlines and numbers of attempts.
    pending: BTreeMap<RequestId, (Micros, u32)>,
    watch_started: bool,
}

impl RandomBalancer {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, endpoints } => {
                if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
                    self.ready.clear();
                }
                for endpoint in endpoints {
                    match endpoint.state {
                        EndpointState::Ready => self.ready.insert(endpoint.id),
                        _ => self.ready.remove(&endpoint.id),
                    };
                }
                if kind == EndpointListKind::WatchFailed
                    || !std::mem::replace(&mut self.watch_started, true)
                {
                    out.push(Action::SetTimer {
                        at: now + 500_000,
                        token: 0,
                    });
                }
            }
            Event::Timer(0) => out.push(Action::WatchEndpointList(true)),
            Event::Timer(token) => {
                let id = RequestId(token as u32);
                if self.pending.remove(&id).is_some() {
                    out.push(Action::Reject { id, retry_after: 0 });
                }
            }
            Event::Request(request) => {
                let deadline = now + request.time_left;
                self.pending.insert(request.id, (deadline, 0));
                let reject_at = deadline.saturating_sub(self.settings.tick);
                out.push(Action::SetTimer {
                    at: reject_at.max(now + 1),
                    token: 1 << 32 | u64::from(request.id.0),
                });
                self.start_attempt(request.id, out);
            }
            Event::Connected { id, .. } | Event::ClientDisconnected(id) => {
                self.pending.remove(&id);
            }
            Event::AttemptEnded {
                id,
                outcome,
                request_finished,
                ..
            } if !request_finished => match outcome {
                Outcome::Reset => {
                    self.pending.remove(&id);
                    out.push(Action::Fail(id));
                }
                _ => self.start_attempt(id, out),
            },
            _ => {}
        }
    }

    fn start_attempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some((deadline, attempts)) = self.pending.get_mut(&id) else {
            return;
        };
        let ready: Vec<EndpointId> = self.ready.iter().copied().collect();
        match ready.choose(&mut self.rng) {
            Some(&endpoint) if *attempts < 3 => {
                *attempts += 1;
                out.push(Action::Attempt {
                    id,
                    endpoint,
                    give_up_at: *deadline,
                });
            }
            _ => {
                self.pending.remove(&id);
                out.push(Action::Reject { id, retry_after: 0 });
            }
        }
    }
}
