//! What the lease client wants done: policies and voters that are stored, leases that the decisions are told of.

use super::Fleet;
use crate::config::policy;
use crate::decisions::api::Micros;
use crate::log::log;
use crate::sys::boottime;
use jaspermoor_control::lease::client::LeaseAction;
use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::log::state::Policy;
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::Message;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;

impl Fleet {
    /// Tells the decisions up to when clients may be admitted. Always before anything is said that rests on it.
    pub(super) fn publish(&mut self) {
        let now = boottime();
        let until = self.until(now);
        self.decisions.set_admission_lease(until);
        let admits = now < until;
        if std::mem::replace(&mut self.admits, admits) != admits {
            let epoch = self.lease_client.policy().epoch;
            let what = if admits {
                "clients are admitted"
            } else {
                "no lease: new clients are refused"
            };
            log(&format!("fleet: {what}, policy of epoch {epoch}"));
        }
        let missing = self
            .voter
            .as_ref()
            .map(Voter::missing_founders)
            .unwrap_or_default();
        if missing != self.missing {
            if !missing.is_empty() {
                let names: Vec<String> = missing.iter().map(u64::to_string).collect();
                log(&format!(
                    "fleet: founders {} have not been heard yet",
                    names.join(", ")
                ));
            }
            self.missing = missing;
        }
        let leads = self.voter.as_ref().and_then(Voter::leader_term);
        let figures = &self.metrics.control;
        figures
            .epoch
            .store(self.lease_client.policy().epoch, Relaxed);
        figures
            .votes
            .store(self.voter.is_some() && self.missing.is_empty(), Relaxed);
        figures.leads.store(leads.unwrap_or(0), Relaxed);
        if figures.admits.swap(admits, Relaxed) && !admits {
            figures.stops.fetch_add(1, Relaxed);
        }
        if std::mem::replace(&mut self.leads, leads) != leads {
            match leads {
                Some(term) => log(&format!("fleet: leads in term {term}")),
                None => log("fleet: leads no more"),
            }
        }
    }

    /// Up to when clients may be admitted.
    pub(super) fn until(&self, now: Micros) -> Micros {
        if self.foreign {
            0
        } else {
            self.lease_client.admit_until(now)
        }
    }

    pub(super) fn carry_out(&mut self, effects: Vec<LeaseAction>) {
        // A lease that has ended ends before the words that say so.
        self.decisions.set_admission_lease(self.until(boottime()));
        for effect in effects {
            match effect {
                LeaseAction::SendRenew(voter, renew) => {
                    self.send_to_voter(voter, Message::RenewRequest(*renew))
                }
                LeaseAction::AdoptPolicy(policy) => self.adopt(&policy),
                LeaseAction::PersistMembership(membership) => self.seat(membership),
                LeaseAction::PersistProposal(proposal) => {
                    let stored = self
                        .ledger
                        .as_ref()
                        .map_or(Ok(()), |ledger| ledger.save_prepared(&proposal));
                    if let Err(e) = stored {
                        // Unanswered, it will be given up, and the fleet keeps what it has.
                        log(&format!("fleet: a proposal cannot be stored: {e}"));
                        continue;
                    }
                    let effect = self.lease_client.proposal_persisted(boottime(), proposal);
                    self.carry_out(vec![effect]);
                }
            }
        }
    }

    /// These vote now. Stored also where its own log says so: it may vote no more when it starts again, and then its
    /// operator file may name nobody who does (seed 2147 of the virtual fleet).
    pub(super) fn seat(&mut self, membership: Membership) {
        if let Some(Err(e)) = self
            .ledger
            .as_ref()
            .map(|ledger| ledger.save_membership(&membership))
        {
            log(&format!("fleet: the voters cannot be stored: {e}"));
        }
        self.membership = membership;
    }

    pub(super) fn adopt(&mut self, policy: &Policy) {
        if let Some(Err(e)) = self
            .ledger
            .as_ref()
            .map(|ledger| ledger.save_policy(policy))
        {
            // After a restart it asks for the policy before it admits anybody.
            log(&format!("fleet: the policy cannot be stored: {e}"));
        }
        let rules = match (
            policy.epoch,
            policy::read(Path::new("policy"), &policy.text),
        ) {
            (0, _) => self.own.clone(),
            (_, Ok(rules)) => rules,
            (epoch, Err(e)) => {
                // It came up after the others had agreed. It must serve nobody: not under this policy, and not under
                // another.
                log(&format!(
                    "fleet: the policy of epoch {epoch} is not understood, clients are refused: {e}"
                ));
                self.foreign = true;
                return self.decisions.set_admission_lease(0);
            }
        };
        self.foreign = false;
        self.decisions.apply_policy(rules.cells, rules.tuning);
        log(&format!(
            "fleet: policy of epoch {} ({}) in force, by {}: {}",
            policy.epoch,
            policy::digest(&policy.text),
            policy.author,
            policy.reason
        ));
    }
}
