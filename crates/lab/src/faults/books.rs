//! Books of a play, and what must hold in them. A checker sees the books only: it asks no relay whether it is well, and
//! knows neither harness nor network.

use std::collections::BTreeMap;
use std::fmt;

/// A moment of a play, in microseconds since its begin.
pub type Moment = u64;

/// What was seen.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Fact {
    /// A relay admitted a client under this epoch.
    Admitted {
        /// Which relay.
        relay: String,
        /// See there.
        epoch: u64,
    },
    /// A relay has this policy under this epoch.
    Holds {
        /// Which relay.
        relay: String,
        /// See there.
        epoch: u64,
        /// The text, or its digest.
        text: String,
    },
    /// A voter leads in that term.
    Leads {
        /// Which voter.
        voter: u64,
        /// See there.
        term: u64,
    },
    /// Somebody was told what became of a proposal.
    Told {
        /// Which one.
        proposal: String,
        /// The outcome in words.
        outcome: String,
    },
    /// A fault, or its end, for those who read the timeline.
    Fault {
        /// What was done to what.
        text: String,
    },
}

/// A fact and when it was seen.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// When.
    pub at: Moment,
    /// What.
    #[serde(flatten)]
    pub fact: Fact,
}

/// A rule that did not hold, with the lines that show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Which rule.
    pub rule: &'static str,
    /// When it was seen.
    pub at: Moment,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.text)
    }
}

/// All that must hold, in the order in which it is looked at.
pub fn check(book: &[Line]) -> Vec<Broken> {
    [one_policy(book), one_text(book), one_leader(book), one_outcome(book)].into_iter().flatten().collect()
}

/// No client is admitted under an older policy than one that a client was admitted under before. What is seen at the
/// same moment must agree.
pub fn one_policy(book: &[Line]) -> Option<Broken> {
    let mut newest: Option<(Moment, u64, &str)> = None;
    for Line { at, fact } in book {
        let Fact::Admitted { relay, epoch } = fact else { continue };
        match newest {
            Some((since, highest, by)) if *epoch < highest => {
                let text = format!(
                    "{relay} admitted under epoch {epoch}; {by} had admitted under {highest} at {:.3} s",
                    since as f64 / 1e6
                );
                return Some(Broken { rule: "one policy", at: *at, text });
            }
            Some((_, highest, _)) if *epoch == highest => {}
            _ => newest = Some((*at, *epoch, relay)),
        }
    }
    None
}

/// An epoch means one text, for all and for good.
pub fn one_text(book: &[Line]) -> Option<Broken> {
    let mut texts: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for Line { at, fact } in book {
        let Fact::Holds { relay, epoch, text } = fact else { continue };
        let (first, other) = *texts.entry(*epoch).or_insert((text, relay));
        if first != text {
            let text = format!("epoch {epoch} is {text:?} at {relay} and {first:?} at {other}");
            return Some(Broken { rule: "one text", at: *at, text });
        }
    }
    None
}

/// A term has one leader.
pub fn one_leader(book: &[Line]) -> Option<Broken> {
    let mut leaders: BTreeMap<u64, u64> = BTreeMap::new();
    for Line { at, fact } in book {
        let Fact::Leads { voter, term } = fact else { continue };
        let first = *leaders.entry(*term).or_insert(*voter);
        if first != *voter {
            let text = format!("in term {term} both {first} and {voter} lead");
            return Some(Broken { rule: "one leader", at: *at, text });
        }
    }
    None
}

/// A proposal has one outcome, whoever asks and however often.
pub fn one_outcome(book: &[Line]) -> Option<Broken> {
    let mut outcomes: BTreeMap<&str, &str> = BTreeMap::new();
    for Line { at, fact } in book {
        let Fact::Told { proposal, outcome } = fact else { continue };
        let first = *outcomes.entry(proposal).or_insert(outcome);
        if first != outcome {
            let text = format!("proposal {proposal} was told to be {first:?}, then {outcome:?}");
            return Some(Broken { rule: "one outcome", at: *at, text });
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn book(facts: Vec<Fact>) -> Vec<Line> {
        facts.into_iter().enumerate().map(|(at, fact)| Line { at: at as u64, fact }).collect()
    }

    fn admitted(relay: &str, epoch: u64) -> Fact {
        Fact::Admitted { relay: relay.into(), epoch }
    }

    #[test]
    fn each_checker_finds_what_it_is_for_and_nothing_in_a_sound_book() {
        let holds =
            |relay: &str, text: &str| Fact::Holds { relay: relay.into(), epoch: 2, text: text.into() };
        let leads = |voter| Fact::Leads { voter, term: 5 };
        let told = |outcome: &str| Fact::Told { proposal: "a".into(), outcome: outcome.into() };
        let sound = vec![
            admitted("a", 1),
            admitted("b", 1),
            holds("a", "x"),
            holds("b", "x"),
            leads(1),
            leads(1),
            told("in force"),
            told("in force"),
            admitted("b", 2),
            admitted("a", 2),
        ];
        assert_eq!(check(&book(sound)), []);
        let rule = |facts| check(&book(facts)).first().map(|broken| broken.rule);
        assert_eq!(rule(vec![admitted("a", 2), admitted("b", 1)]), Some("one policy"));
        assert_eq!(rule(vec![holds("a", "x"), holds("b", "y")]), Some("one text"));
        assert_eq!(rule(vec![leads(1), leads(2)]), Some("one leader"));
        assert_eq!(rule(vec![told("in force"), told("refused")]), Some("one outcome"));
    }
}
