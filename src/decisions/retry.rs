//! Retries: whether a request may have another attempt, how long an attempt may take, and the final
//! answer.
//!
//! Inputs: the number of attempts, the retry budget, the idempotency of the class, the deadline.
//! The budget limits retries to a fraction of the requests, so that retries do not overload
//! endpoints that fail already. The final answer is "rejected" only if the client may safely send
//! the request again, and "failed" otherwise.

use super::api::{Action, Micros};
use super::idempotency;
use super::parameters::Parameters;
use super::requests::PendingRequest;
use super::ring::{client_key, fraction};
use super::Balancer;

/// Tokens that a retry takes.
const RETRY_COST: f32 = 1.0;
/// Lower bound of the factor that jitters the Retry-After; the upper bound is 1 more. The factor is
/// between 0.5 and 1.5.
const MIN_RETRY_AFTER_FACTOR: f32 = 0.5;

/// Token bucket of the retries: each request adds a fraction of a token, each retry takes one.
#[derive(Default)]
pub(super) struct RetryBudget {
    tokens: f32,
}

impl RetryBudget {
    /// A full bucket.
    pub(super) fn full(parameters: &Parameters) -> RetryBudget {
        RetryBudget {
            tokens: parameters.max_retry_tokens,
        }
    }

    /// Records an attempt. The first one of a request adds tokens; a later one takes a token,
    /// unless none of those before it began.
    pub(super) fn record_attempt(&mut self, pending: &PendingRequest, parameters: &Parameters) {
        let earned = if pending.attempted.is_empty() {
            parameters.retry_budget_ratio
        } else {
            -cost_of_next_attempt(pending)
        };
        self.add(earned, parameters);
    }

    /// Gives back the token of an attempt that never began.
    pub(super) fn refund(&mut self, pending: &PendingRequest, parameters: &Parameters) {
        self.add(cost_of_next_attempt(pending), parameters);
    }

    fn add(&mut self, tokens: f32, parameters: &Parameters) {
        self.tokens = (self.tokens + tokens).min(parameters.max_retry_tokens);
    }
}

fn cost_of_next_attempt(pending: &PendingRequest) -> f32 {
    if pending.has_begun {
        RETRY_COST
    } else {
        0.0
    }
}

impl Balancer {
    /// Whether a request may have an attempt now: there is time, the number of attempts and the
    /// retry budget allow it, and it would not be executed twice.
    pub(super) fn may_attempt(&self, pending: &PendingRequest) -> bool {
        let last_moment = pending.deadline.saturating_sub(self.settings.tick);
        let attempts = pending.attempted.len() as u32;
        let has_budget = !pending.has_begun || self.retry_budget.tokens >= RETRY_COST;
        self.now < last_moment
            && attempts < self.settings.max_attempts
            && has_budget
            && idempotency::permits_send_at(pending, self.latest_first_byte_at())
    }

    /// The latest time at which an attempt that begins now sends its first byte if it does so once
    /// it is connected. An estimate, by which an attempt that would come too late is not begun; the
    /// rule itself is [`Balancer::check_send`], which the network code asks before each write.
    fn latest_first_byte_at(&self) -> Micros {
        self.now + self.settings.tick + self.settings.connect_timeout
    }

    /// When to stop waiting for an attempt. While another one is possible it gets a fraction of the
    /// set-up objective. The last one gets the time until the request's deadline: giving it up
    /// earlier would waste work that the endpoint has begun.
    pub(super) fn attempt_deadline(&self, pending: &PendingRequest) -> Micros {
        let attempts = pending.attempted.len() as u32 + 1;
        let another_is_possible =
            attempts < self.settings.max_attempts && self.retry_budget.tokens >= 2.0 * RETRY_COST;
        if !another_is_possible {
            return pending.deadline;
        }
        let objective = pending.class.setup_objective as f32;
        let timeout = (objective * self.parameters.attempt_objective_fraction) as Micros;
        pending
            .deadline
            .min(self.now + timeout.max(self.settings.tick))
    }

    /// Gives the final answer, unless there was one: rejected where the client may safely send the
    /// request again, else failed.
    pub(super) fn answer(&self, pending: &mut PendingRequest, actions: &mut Vec<Action>) {
        if pending.answered {
            return;
        }
        pending.answered = true;
        let id = pending.request.id;
        actions.push(if idempotency::is_harmless_for_client(pending) {
            let retry_after = self.retry_after(pending);
            Action::Reject { id, retry_after }
        } else {
            Action::Fail(id)
        });
    }

    /// Advised wait of a rejected client, jittered by its hash. The time is the salt, so that a
    /// client does not get a long wait each time. A repetition that waits for that long is still
    /// sent within the deduplication window; no advice once that is not possible.
    fn retry_after(&self, pending: &PendingRequest) -> Micros {
        let jitter = MIN_RETRY_AFTER_FACTOR + fraction(client_key(&pending.request), self.now);
        let wait = (self.parameters.retry_after_us as f32 * jitter) as Micros;
        let wait = wait.min(self.settings.max_retry_after);
        match idempotency::repetition_deadline(pending) {
            Some(deadline) => wait.min(deadline.saturating_sub(self.latest_first_byte_at())),
            None => wait,
        }
    }
}
