//! Drives the lease client: persists its state, puts policies in force, and hands the admission
//! lease to the decisions.
//!
//! Guards against: clients that are admitted after the lease has ended (the decisions get the lease
//! before any other effect of an answer), agreement to a proposal that a crash could undo, and a
//! policy that this build does not understand.

use super::{Fleet, POLICY_NAME};
use crate::config::operator::OperatorError;
use crate::config::policy::{self, PolicyRules};
use crate::decisions::api::Micros;
use crate::log::log;
use crate::sys::boottime;
use jaspermoor_control::lease::client::LeaseAction;
use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::log::state::{Policy, Proposal};
use jaspermoor_control::wire::message::{Message, RenewResponse};
use std::path::Path;

impl Fleet {
    /// The time until which clients may be admitted; 0 where they may not.
    pub(super) fn admit_until(&self, now: Micros) -> Micros {
        if self.policy_unsupported {
            0
        } else {
            self.lease_client.admit_until(now)
        }
    }

    /// Hands the admission lease to the decisions, which check it before each placement.
    pub(super) fn publish_admission_lease(&self) {
        let admit_until = self.admit_until(boottime());
        self.decisions.set_admission_lease(admit_until);
    }

    /// Handles a leader's answer to a renewal request.
    pub(super) fn handle_renew_response(&mut self, response: RenewResponse) {
        let check_policy = |text: &str| {
            policy::parse(Path::new(POLICY_NAME), text)
                .map(drop)
                .map_err(|e| e.to_string())
        };
        let actions = self
            .lease_client
            .handle_response(boottime(), response, check_policy);
        self.apply_lease_actions(actions);
        self.publish_status();
    }

    /// Carries out actions of the lease client, in their order.
    pub(super) fn apply_lease_actions(&mut self, actions: impl IntoIterator<Item = LeaseAction>) {
        // The lease first: where it has ended, no client may be admitted after a message that says
        // so.
        self.publish_admission_lease();
        for action in actions {
            self.apply_lease_action(action);
        }
    }

    fn apply_lease_action(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::SendRenew(voter, request) => {
                self.send_to_voter(voter, Message::RenewRequest(*request))
            }
            LeaseAction::AdoptPolicy(policy) => self.adopt_policy(&policy),
            LeaseAction::PersistMembership(membership) => self.update_membership(membership),
            LeaseAction::PersistProposal(proposal) => self.prepare_proposal(proposal),
        }
    }

    /// Stores a proposal that the lease client has checked, then answers that this relay is
    /// prepared for it.
    fn prepare_proposal(&mut self, proposal: Proposal) {
        // Durable before the answer: after a restart the relay must still know what it agreed to.
        if let Some(ledger) = &self.ledger {
            if let Err(e) = ledger.save_prepared(&proposal) {
                // Without an answer the proposal times out, and the policy in force stays.
                log(&format!("fleet: a proposal cannot be stored: {e}"));
                return;
            }
        }
        let answer = self.lease_client.proposal_persisted(boottime(), proposal);
        self.apply_lease_actions([answer]);
    }

    /// Stores a new membership and uses it.
    ///
    /// A voter stores it too, although its log has it: at its next start it may no longer be a
    /// voter, and its operator file may name none of the voters of that time.
    pub(super) fn update_membership(&mut self, membership: Membership) {
        if let Some(ledger) = &self.ledger {
            if let Err(e) = ledger.save_membership(&membership) {
                log(&format!("fleet: the voters cannot be stored: {e}"));
            }
        }
        self.membership = membership;
    }

    /// Stores a policy, then puts it in force.
    pub(super) fn adopt_policy(&mut self, policy: &Policy) {
        if let Some(ledger) = &self.ledger {
            if let Err(e) = ledger.save_policy(policy) {
                // Not fatal: after a restart the relay needs a lease before it admits clients, and
                // gets this policy with it.
                log(&format!("fleet: the policy cannot be stored: {e}"));
            }
        }
        let rules = match self.rules_of(policy) {
            Ok(rules) => rules,
            Err(e) => {
                // Relays of a later build have agreed on it. This relay must not admit clients
                // under any other policy either.
                log(&format!(
                    "fleet: the policy of epoch {} is not understood, clients are refused: {e}",
                    policy.epoch
                ));
                self.policy_unsupported = true;
                self.decisions.set_admission_lease(0);
                return;
            }
        };
        self.policy_unsupported = false;
        self.decisions.apply_policy(rules.cells, rules.parameters);
        log(&format!(
            "fleet: policy of epoch {} ({}) in force, by {}: {}",
            policy.epoch,
            policy::digest(&policy.text),
            policy.author,
            policy.reason
        ));
    }

    /// The rules of a policy. Epoch 0 means that the fleet has no policy, so the relay's own rules
    /// are in force.
    fn rules_of(&self, policy: &Policy) -> Result<PolicyRules, OperatorError> {
        if policy.epoch == 0 {
            return Ok(self.local_rules.clone());
        }
        policy::parse(Path::new(POLICY_NAME), &policy.text)
    }
}
