//! Model of the lease protocol (prepare, seal, commit), and an exhaustive search of its states:
//! three relays, two proposals, and any order of requests, responses, losses, restarts and changes
//! of the leader. Time advances in steps. A lease lasts `LEASE` steps, and the leader waits for
//! `WAIT` steps, one more, to account for clock drift.
//!
//! The replicated log is assumed to be correct. Each safeguard that the proof in
//! `docs/design/control.md` names is left out once, and the search must then find that clients are
//! admitted under two policies at once.

use stateright::{Checker, Model, Property};

const RELAYS: usize = 3;
const LEASE: u8 = 1;
const WAIT: u8 = LEASE + 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Idle,
    Preparing,
    Sealed,
}

/// A request in flight, or the response to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    None,
    Request {
        /// Age in steps.
        age: u8,
        /// Epoch of the relay.
        epoch: u8,
        /// Whether the relay has prepared the proposal.
        prepared: bool,
        /// Whether the relay has stopped admitting clients for the proposal.
        has_stopped: bool,
    },
    Response {
        /// Age of the request in steps.
        age: u8,
        grant: bool,
        epoch: u8,
        prepare: bool,
        sealed: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Relay {
    epoch: u8,
    /// Number of steps for which the relay may still admit clients.
    lease: u8,
    prepared: bool,
    has_stopped: bool,
    message: Message,
    /// Number of steps for which the relay may still hold a lease, as the leader knows it.
    granted: u8,
    /// Whether the relay has reported to the leader that it prepared the proposal.
    reported_prepared: bool,
    /// Whether the relay has reported to the leader that it stopped admitting clients.
    reported_stop: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    epoch: u8,
    phase: Phase,
    proposals: u8,
    /// Number of steps for which leases of an earlier leader may still be valid.
    predecessor_lease: u8,
    /// Number of changes of the leader so far.
    leader_changes: u8,
    /// Number of steps since the proposal was sealed, up to `WAIT`.
    sealed_for: u8,
    /// Newest epoch under which any client was admitted.
    admitted_epoch: u8,
    relays: [Relay; RELAYS],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Propose,
    Seal,
    Commit,
    ChangeLeader,
    AdvanceTime,
    SendRequest(usize),
    Respond(usize),
    ReceiveResponse(usize),
    LoseMessage(usize),
    RestartRelay(usize),
}

/// The safeguard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The leader commits without waiting for leases.
    LeaseWait,
    /// A new leader does not wait for leases of its predecessor to expire.
    PredecessorWait,
    /// A lease starts with its grant instead of with the request.
    LeaseFromRequest,
    /// A relay that reports that it stopped keeps its lease.
    EndLeaseOnStop,
    /// A restarted relay keeps its lease.
    NoLeaseAfterRestart,
    /// Leases are granted on the old policy after the proposal is sealed.
    NoGrantWhenSealed,
}

struct Protocol(Without);

impl Protocol {
    fn may_hold_lease(fleet: &Fleet, done: impl Fn(&Relay) -> bool) -> bool {
        fleet.predecessor_lease > 0
            || fleet
                .relays
                .iter()
                .any(|relay| relay.granted > 0 && !done(relay))
    }
}

impl Model for Protocol {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let relay = Relay {
            epoch: 0,
            lease: 0,
            prepared: false,
            has_stopped: false,
            message: Message::None,
            granted: 0,
            reported_prepared: false,
            reported_stop: false,
        };
        let relays = [relay; RELAYS];
        let phase = Phase::Idle;
        vec![Fleet {
            epoch: 0,
            phase,
            proposals: 0,
            predecessor_lease: 0,
            leader_changes: 0,
            sealed_for: 0,
            admitted_epoch: 0,
            relays,
        }]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        match fleet.phase {
            Phase::Idle if fleet.proposals < 2 => steps.push(Step::Propose),
            Phase::Preparing if !Self::may_hold_lease(fleet, |relay| relay.reported_prepared) => {
                steps.push(Step::Seal)
            }
            Phase::Sealed
                if self.0 == Without::LeaseWait
                    || fleet.sealed_for >= WAIT
                    || !Self::may_hold_lease(fleet, |relay| relay.reported_stop) =>
            {
                steps.push(Step::Commit)
            }
            _ => {}
        }
        if fleet.leader_changes < 1 {
            steps.push(Step::ChangeLeader);
        }
        steps.push(Step::AdvanceTime);
        for (n, relay) in fleet.relays.iter().enumerate() {
            match relay.message {
                Message::None => steps.push(Step::SendRequest(n)),
                Message::Request { .. } => steps.extend([Step::Respond(n), Step::LoseMessage(n)]),
                Message::Response { .. } => {
                    steps.extend([Step::ReceiveResponse(n), Step::LoseMessage(n)])
                }
            }
            if relay.lease > 0 || relay.prepared {
                steps.push(Step::RestartRelay(n));
            }
        }
    }

    fn next_state(&self, fleet: &Fleet, step: Step) -> Option<Fleet> {
        let mut next = fleet.clone();
        match step {
            Step::Propose => (next.phase, next.proposals) = (Phase::Preparing, fleet.proposals + 1),
            Step::Seal => (next.phase, next.sealed_for) = (Phase::Sealed, 0),
            Step::Commit => {
                (next.phase, next.epoch) = (Phase::Idle, fleet.epoch + 1);
                for relay in &mut next.relays {
                    (relay.reported_prepared, relay.reported_stop) = (false, false);
                }
            }
            Step::ChangeLeader => {
                next.leader_changes += 1;
                next.predecessor_lease = if self.0 == Without::PredecessorWait {
                    0
                } else {
                    WAIT
                };
                // The new leader counts the time since the seal only from its own election.
                next.sealed_for = 0;
                for relay in &mut next.relays {
                    (relay.granted, relay.reported_prepared, relay.reported_stop) =
                        (0, false, false);
                }
            }
            Step::AdvanceTime => {
                next.predecessor_lease = fleet.predecessor_lease.saturating_sub(1);
                if fleet.phase == Phase::Sealed {
                    next.sealed_for = (fleet.sealed_for + 1).min(WAIT);
                }
                for relay in &mut next.relays {
                    relay.lease = relay.lease.saturating_sub(1);
                    relay.granted = relay.granted.saturating_sub(1);
                    match &mut relay.message {
                        Message::Request { age, .. } | Message::Response { age, .. } => {
                            *age = (*age + 1).min(LEASE)
                        }
                        Message::None => {}
                    }
                }
            }
            Step::SendRequest(n) => {
                let Relay {
                    epoch,
                    prepared,
                    has_stopped,
                    ..
                } = fleet.relays[n];
                next.relays[n].message = Message::Request {
                    age: 0,
                    epoch,
                    prepared,
                    has_stopped,
                };
            }
            Step::Respond(n) => {
                let Message::Request {
                    age,
                    epoch,
                    prepared,
                    has_stopped,
                } = fleet.relays[n].message
                else {
                    return None;
                };
                let current = epoch == fleet.epoch;
                let sealed = fleet.phase == Phase::Sealed && self.0 != Without::NoGrantWhenSealed;
                let prepare = fleet.phase == Phase::Preparing && current;
                let grant = current && !sealed;
                let relay = &mut next.relays[n];
                // A report about an earlier proposal does not count for a later one.
                relay.reported_prepared = prepared && current;
                relay.reported_stop = has_stopped && current;
                if grant {
                    relay.granted = WAIT;
                }
                relay.message = Message::Response {
                    age,
                    grant,
                    epoch: fleet.epoch,
                    prepare,
                    sealed,
                };
            }
            Step::ReceiveResponse(n) => {
                let Message::Response {
                    age,
                    grant,
                    epoch,
                    prepare,
                    sealed,
                } = fleet.relays[n].message
                else {
                    return None;
                };
                let relay = &mut next.relays[n];
                relay.message = Message::None;
                if epoch > relay.epoch {
                    (relay.epoch, relay.lease, relay.prepared, relay.has_stopped) =
                        (epoch, 0, false, false);
                } else if grant && epoch == relay.epoch {
                    let age = if self.0 == Without::LeaseFromRequest {
                        0
                    } else {
                        age
                    };
                    relay.lease = relay.lease.max(LEASE - age.min(LEASE));
                    if relay.lease > 0 {
                        next.admitted_epoch = fleet.admitted_epoch.max(epoch);
                    }
                }
                let relay = &mut next.relays[n];
                if prepare && epoch == relay.epoch {
                    relay.prepared = true;
                }
                if sealed && epoch == relay.epoch {
                    relay.has_stopped = true;
                    if self.0 != Without::EndLeaseOnStop {
                        relay.lease = 0;
                    }
                }
            }
            Step::LoseMessage(n) => next.relays[n].message = Message::None,
            Step::RestartRelay(n) => {
                let relay = &mut next.relays[n];
                if self.0 != Without::NoLeaseAfterRestart {
                    relay.lease = 0;
                } else {
                    relay.lease = LEASE;
                }
                (relay.prepared, relay.has_stopped, relay.message) = (false, false, Message::None);
            }
        }
        // Relays are interchangeable, so states that differ only in their order are equal.
        next.relays.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one policy", |_, fleet: &Fleet| {
                fleet
                    .relays
                    .iter()
                    .all(|relay| relay.lease == 0 || relay.epoch >= fleet.admitted_epoch)
            }),
            Property::sometimes(
                "two proposals take force and are served",
                |_, fleet: &Fleet| {
                    fleet.admitted_epoch == 2 && fleet.relays.iter().all(|relay| relay.lease > 0)
                },
            ),
        ]
    }
}

fn search(without: Without) -> (usize, bool, bool) {
    let checker = Protocol(without).checker().threads(2).spawn_bfs().join();
    let broken = checker.discovery("one policy").is_some();
    let completes = checker
        .discovery("two proposals take force and are served")
        .is_some();
    (checker.unique_state_count(), broken, completes)
}

#[test]
fn no_order_of_events_lets_relays_admit_clients_under_two_policies_at_once() {
    let (states, broken, completes) = search(Without::Nothing);
    println!("{states} states");
    assert!(
        !broken && completes,
        "{states} states: broken {broken}, completes {completes}"
    );
    // With few states the search would not be meaningful.
    assert!(states > 10_000, "{states} states");
}

#[test]
fn leaving_out_any_safeguard_lets_relays_admit_clients_under_two_policies() {
    let safeguards = [
        Without::LeaseWait,
        Without::PredecessorWait,
        Without::LeaseFromRequest,
        Without::EndLeaseOnStop,
        Without::NoLeaseAfterRestart,
        Without::NoGrantWhenSealed,
    ];
    for without in safeguards {
        assert!(
            search(without).1,
            "{without:?} is not needed, or the model lacks the situations in which it is"
        );
    }
}
