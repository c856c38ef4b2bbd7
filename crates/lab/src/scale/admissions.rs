//! When each relay admitted clients and under which policy, and the rules that hold over all relays.
//!
//! All moments are microseconds of [`jaspermoor::sys::boottime`], which all processes of a machine share.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A moment in microseconds since the machine started.
pub type Moment = u64;
/// A pause between two admissions that is shorter is none: it lies within what is looked at.
const LEAST_GAP: Moment = 20_000;

/// Admissions under one policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// When the first one was answered.
    pub first_answered: Moment,
    /// When the last one was asked for.
    pub last_asked: Moment,
}

/// A time without admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The last admission before it.
    pub from: Moment,
    /// The first after it.
    pub until: Moment,
}

impl Gap {
    /// How long it was, in milliseconds.
    pub fn ms(&self) -> f64 {
        self.until.saturating_sub(self.from) as f64 / 1e3
    }
}

/// What one relay has admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionLog {
    /// By the epoch of the policy.
    pub spans: BTreeMap<u64, Span>,
    /// Times without admission.
    pub gaps: Vec<Gap>,
    /// The last admission.
    pub last: Option<Moment>,
}

impl AdmissionLog {
    /// A client was admitted under the policy of that epoch, between these moments.
    pub fn admitted(&mut self, epoch: u64, asked: Moment, answered: Moment) {
        let span = self.spans.entry(epoch).or_insert(Span {
            first_answered: answered,
            last_asked: asked,
        });
        span.last_asked = asked;
        if let Some(last) = self.last.filter(|last| answered > last + LEAST_GAP) {
            self.gaps.push(Gap {
                from: last,
                until: answered,
            });
        }
        self.last = Some(answered);
    }

    /// The first admission at or after a moment.
    pub fn first_since(&self, moment: Moment) -> Option<Moment> {
        let after_gap = self
            .gaps
            .iter()
            .map(|gap| gap.until)
            .find(|until| *until >= moment);
        let first = self
            .spans
            .values()
            .map(|span| span.first_answered)
            .min()
            .filter(|first| *first >= moment);
        first
            .or(after_gap)
            .or(self.last.filter(|last| *last >= moment).map(|_| moment))
    }

    /// The time without admission, in milliseconds, before the first admission under an epoch; none where nothing was
    /// admitted under it, or under an earlier one.
    pub fn closed_before(&self, epoch: u64) -> Option<f64> {
        let (_, before) = self.spans.range(..epoch).next_back()?;
        let span = self.spans.get(&epoch)?;
        Some(span.first_answered.saturating_sub(before.last_asked) as f64 / 1e3)
    }

    /// The longest time without admission that touches this span of time, in milliseconds.
    pub fn longest_gap(&self, from: Moment, until: Moment) -> f64 {
        let touching = self
            .gaps
            .iter()
            .filter(|gap| gap.until > from && gap.from < until);
        touching.map(Gap::ms).fold(0.0, f64::max)
    }

    /// The same with other numbers in place of its epochs; admissions under one that has none are left out.
    pub fn renumbered(&self, epochs: &BTreeMap<u64, u64>) -> AdmissionLog {
        let spans = self
            .spans
            .iter()
            .filter_map(|(of, span)| Some((*epochs.get(of)?, *span)));
        AdmissionLog {
            spans: spans.collect(),
            ..self.clone()
        }
    }
}

/// A time during which a relay acted on a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// The job.
    pub job: String,
    /// The token under which it did.
    pub token: u64,
    /// When it was first seen to.
    pub from: Moment,
}

/// What one process of a relay has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHistory {
    /// Its name.
    pub name: String,
    /// Whether its admission was looked at directly, and not through clients, which the data path may refuse, too.
    pub is_direct: bool,
    /// Its admissions.
    pub admissions: AdmissionLog,
    /// The jobs that it acted on.
    pub tenures: Vec<Tenure>,
    /// When its log said that it admits clients under the policy of each epoch; empty where it is looked at directly.
    pub logged: BTreeMap<u64, Moment>,
}

impl RelayHistory {
    /// When it was under the policy of that epoch: as it was seen directly, else as its log said.
    pub fn under(&self, epoch: u64) -> Option<Moment> {
        match self.is_direct {
            true => self
                .admissions
                .spans
                .get(&epoch)
                .map(|span| span.first_answered),
            false => self.logged.get(&epoch).copied(),
        }
    }
}

/// Rules that did not hold, each in a sentence.
pub fn broken_rules(histories: &[RelayHistory]) -> Vec<String> {
    let mut broken = two_policies(histories);
    broken.extend(two_owners(histories));
    broken
}

/// No admission under an older policy is asked for after one under a newer policy was answered, at any relay.
fn two_policies(histories: &[RelayHistory]) -> Vec<String> {
    let mut first: BTreeMap<u64, (Moment, &str)> = BTreeMap::new();
    let mut last: BTreeMap<u64, (Moment, &str)> = BTreeMap::new();
    for history in histories {
        for (epoch, span) in &history.admissions.spans {
            let earliest = first
                .entry(*epoch)
                .or_insert((span.first_answered, &history.name));
            *earliest = (*earliest).min((span.first_answered, &history.name));
            let latest = last
                .entry(*epoch)
                .or_insert((span.last_asked, &history.name));
            *latest = (*latest).max((span.last_asked, &history.name));
        }
    }
    let mut broken = Vec::new();
    for (older, (asked, late)) in &last {
        for (newer, (answered, early)) in first.range(older + 1..) {
            if asked > answered {
                let by = asked - answered;
                broken.push(format!(
                    "{late} admitted under epoch {older} {by} us after {early} had under epoch {newer}"
                ));
            }
        }
    }
    broken
}

/// Nobody acts on a job under a token that another relay has, and nobody begins to under an older token than another has
/// begun with.
fn two_owners(histories: &[RelayHistory]) -> Vec<String> {
    let mut begun: BTreeMap<&str, BTreeMap<u64, (Moment, &str)>> = BTreeMap::new();
    let mut broken = Vec::new();
    for history in histories {
        for Tenure { job, token, from } in &history.tenures {
            let tokens = begun.entry(job).or_default();
            let (own_from, own_name) = tokens.entry(*token).or_insert((*from, &history.name));
            if *own_name != history.name {
                broken.push(format!(
                    "{own_name} and {} both act on {job} under token {token}",
                    history.name
                ));
            }
            *own_from = (*own_from).min(*from);
        }
    }
    for (job, tokens) in &begun {
        for (older, newer) in tokens.iter().zip(tokens.iter().skip(1)) {
            let ((old_token, (old_from, old_name)), (new_token, (new_from, new_name))) =
                (older, newer);
            if old_from > new_from {
                broken.push(format!(
                    "{old_name} began to act on {job} under token {old_token} after {new_name} had under {new_token}"
                ));
            }
        }
    }
    broken
}
