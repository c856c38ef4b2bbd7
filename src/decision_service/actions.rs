//! Dispatches events to a cell's balancer and carries out the actions that it returns, in their
//! order.

use super::api::Decision;
use super::callbacks::Callback;
use super::state::ServiceState;
use super::timers::TimerOwner;
use crate::decisions::api::{Action, EndpointId, Event, Micros, RequestId};

impl ServiceState {
    /// Dispatches an event to a balancer and carries out its actions.
    pub(super) fn dispatch(
        &mut self,
        balancer: usize,
        now: Micros,
        event: Event,
        callbacks: &mut Vec<Callback>,
    ) {
        let mut actions = std::mem::take(&mut self.action_buffer);
        let handled = self.balancers[balancer]
            .balancer
            .handle(now, event, &mut actions);
        if let Err(unknown) = handled {
            callbacks.push(Callback::Log(format!("decide: {unknown}")));
        }
        for action in actions.drain(..) {
            self.carry_out(balancer, action, callbacks);
        }
        self.action_buffer = actions;
    }

    fn carry_out(&mut self, balancer: usize, action: Action, callbacks: &mut Vec<Callback>) {
        match action {
            Action::Attempt {
                id,
                endpoint,
                give_up_at,
            } => self.start_attempt(balancer, id, endpoint, give_up_at, callbacks),
            Action::Reject { id, retry_after } => {
                self.answer(id, Decision::Reject(retry_after), callbacks);
            }
            Action::Fail(id) => self.answer(id, Decision::Fail, callbacks),
            Action::CancelAttempt { id, attempt } => {
                if let Some(entry) = self.in_flight.get(id) {
                    callbacks.push(Callback::CancelAttempt(entry.handle.clone(), attempt));
                }
            }
            Action::Migrate(id) => {
                if let Some(entry) = self.in_flight.get(id) {
                    callbacks.push(Callback::Migrate(entry.handle.clone()));
                }
            }
            Action::SetTimer { at, token } => {
                self.timers
                    .set(at, TimerOwner::Balancer { balancer, token });
            }
            // All balancers get the updates of one subscription, which the first one controls.
            Action::WatchEndpointList(watch) if balancer == 0 => {
                (self.hooks.watch_endpoint_list)(watch);
            }
            Action::WatchEndpointList(_) => {}
            Action::CheckHealth(endpoint) => self.check_health(endpoint, callbacks),
            Action::Log(line) => callbacks.push(Callback::Log(line)),
        }
    }

    fn start_attempt(
        &mut self,
        balancer: usize,
        id: RequestId,
        endpoint: EndpointId,
        give_up_at: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        let cold_budget = self.balancers[balancer].balancer.warm_up_budget(endpoint);
        let listed = self.endpoints.get(&endpoint).map(|known| &known.listed);
        // The target is a field of the JSON log lines: it names the service, not this file.
        tracing::debug!(target: "jaspermoor::decision_service", server = endpoint.0, ?cold_budget, ?listed, "send");
        let Some(entry) = self.in_flight.get_mut(id) else {
            return;
        };
        let number = entry.attempts;
        entry.attempts += 1;
        entry.endpoint = endpoint;
        entry.send(Decision::Attempt {
            endpoint,
            give_up_at,
            number,
        });
        callbacks.push(Callback::DecisionReady(entry.handle.clone()));
    }

    fn check_health(&self, endpoint: EndpointId, callbacks: &mut Vec<Callback>) {
        // The check is dropped if the queue is full: waiting would block all decisions.
        if self.hooks.check_health.try_send(endpoint).is_err() {
            let line = "decide: a health check was dropped: the health checker is behind";
            callbacks.push(Callback::Log(line.into()));
        }
    }

    /// Gives a request its final answer, unless it has had one.
    pub(super) fn answer(
        &mut self,
        id: RequestId,
        decision: Decision,
        callbacks: &mut Vec<Callback>,
    ) {
        let Some(entry) = self.in_flight.unanswered_mut(id) else {
            return;
        };
        entry.answered = true;
        let metrics = &mut self.balancers[entry.balancer].metrics;
        match decision {
            Decision::Reject(_) => metrics.rejected += 1,
            Decision::Fail => metrics.failed += 1,
            Decision::Attempt { .. } | Decision::Withdrawn => {}
        }
        entry.send(decision);
        callbacks.push(Callback::DecisionReady(entry.handle.clone()));
    }
}
