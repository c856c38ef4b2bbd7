//! Who decides in a relay of the model: the relay's own `Balancer`, the very code that serves, or chance, which is what
//! a day's scores are held against.

use jaspermoor::decisions::api::{
    Action, EndpointId, EndpointListKind, EndpointState, Event, Micros, Outcome, RequestId,
    Settings,
};
use jaspermoor::{Balancer, Parameters};
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Which decisions a variant has.
#[derive(Clone, Debug, PartialEq)]
pub enum Policy {
    /// The relay's, with these parameters.
    Own(Box<Parameters>),
    /// Any ready backend; another one after a failure, three times at most.
    Chance,
}

/// The decisions of one relay.
pub enum Decider {
    /// See [`Policy::Own`].
    Own(Box<Balancer>),
    /// See [`Policy::Chance`].
    Chance(Box<Chance>),
}

impl Decider {
    /// The decisions of a relay that has just started.
    pub fn new(policy: &Policy, settings: Settings, seed: u64) -> Decider {
        match policy {
            Policy::Own(tuning) => Decider::Own(Box::new(
                Balancer::new(settings, seed).with_parameters(**tuning),
            )),
            Policy::Chance => Decider::Chance(Box::new(Chance {
                settings,
                rng: ChaCha8Rng::seed_from_u64(seed),
                ready: BTreeSet::new(),
                pending: BTreeMap::new(),
                asked: false,
            })),
        }
    }

    /// Takes an event and adds what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match self {
            // What it does not know any more is of a request that has ended.
            Decider::Own(balancer) => drop(balancer.handle(now, event, out)),
            Decider::Chance(chance) => chance.handle(now, event, out),
        }
    }
}

/// Places anywhere.
pub struct Chance {
    settings: Settings,
    rng: ChaCha8Rng,
    ready: BTreeSet<EndpointId>,
    /// Requests that are owed an answer: until when, and how many attempts they had.
    pending: BTreeMap<RequestId, (Micros, u32)>,
    asked: bool,
}

impl Chance {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList {
                kind,
                endpoints: members,
            } => {
                if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
                    self.ready.clear();
                }
                for m in members {
                    match m.state {
                        EndpointState::Ready => self.ready.insert(m.id),
                        _ => self.ready.remove(&m.id),
                    };
                }
                if kind == EndpointListKind::WatchFailed
                    || !std::mem::replace(&mut self.asked, true)
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
                let by = now + request.time_left;
                self.pending.insert(request.id, (by, 0));
                let last = by.saturating_sub(self.settings.tick);
                out.push(Action::SetTimer {
                    at: last.max(now + 1),
                    token: 1 << 32 | u64::from(request.id.0),
                });
                self.send(request.id, out);
            }
            Event::Connected { id, .. } | Event::ClientDisconnected(id) => {
                self.pending.remove(&id);
            }
            Event::AttemptEnded {
                id,
                outcome,
                request_finished: last,
                ..
            } if !last => match outcome {
                Outcome::Reset => {
                    self.pending.remove(&id);
                    out.push(Action::Fail(id));
                }
                _ => self.send(id, out),
            },
            _ => {}
        }
    }

    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some((until, tries)) = self.pending.get_mut(&id) else {
            return;
        };
        let ready: Vec<EndpointId> = self.ready.iter().copied().collect();
        match ready.choose(&mut self.rng) {
            Some(&server) if *tries < 3 => {
                *tries += 1;
                out.push(Action::Attempt {
                    id,
                    endpoint: server,
                    give_up_at: *until,
                });
            }
            _ => {
                self.pending.remove(&id);
                out.push(Action::Reject { id, retry_after: 0 });
            }
        }
    }
}
