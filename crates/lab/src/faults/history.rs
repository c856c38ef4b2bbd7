//! Books of a play, and what must hold in them. A checker sees the history only: it asks no relay whether it is well, and
//! knows neither harness nor network.

use std::collections::BTreeMap;
use std::fmt;

/// A moment of a play, in microseconds since its begin.
pub type Moment = u64;

/// What was seen.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Fact {
    /// A relay admitted a client under this epoch, some time between when the client asked and when it had its answer,
    /// which is when the line was written.
    Admitted {
        /// Which relay.
        relay: String,
        /// See there.
        epoch: u64,
        /// When the client asked.
        asked: Moment,
    },
    /// A client had no answer of a relay, though nothing was done to that relay while it waited.
    Unanswered {
        /// Which relay.
        relay: String,
        /// Its request.
        id: String,
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
    /// Operators read the epoch in force, or were told that a change brought it into force; they asked at that time, and had
    /// the answer when the line was written.
    Epoch {
        /// See there.
        epoch: u64,
        /// Whether it is the outcome of a change, not a look.
        change: bool,
        /// When they asked.
        asked: Moment,
    },
    /// A relay acted as the owner of a job: it sent an order, or would have.
    Acted {
        /// Which relay.
        relay: String,
        /// Which job.
        job: String,
        /// With this token.
        token: u64,
    },
    /// A receiver obeyed an order.
    Obeyed {
        /// Which receiver; one that has lost what it knew goes on under its name.
        receiver: String,
        /// Which job.
        job: String,
        /// With this token.
        token: u64,
    },
    /// A client that stays was moved away from a cell, at most so many a second of all of them.
    Moved {
        /// Which client.
        client: usize,
        /// Which cell. Each policy of a play has another, so it leaves a cell once.
        from: usize,
        /// See there.
        rate: u64,
    },
    /// Something is done to a relay's process or links up to then.
    Spoilt {
        /// Which relay.
        relay: String,
        /// See there.
        until: Moment,
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
        write!(
            f,
            "{} at {:.3} s: {}",
            self.rule,
            self.at as f64 / 1e6,
            self.text
        )
    }
}

/// The job and token that a relay says in its log to obey: its history as a receiver.
pub fn obeyed(line: &str) -> Option<(String, u64)> {
    let (job, token) = line
        .split_once("fleet: obeys ")?
        .1
        .split_once(" under token ")?;
    Some((job.into(), token.trim().parse().ok()?))
}

/// All that must hold, in the order in which it is looked at.
pub fn check(history: &[Line]) -> Vec<Broken> {
    let all = [
        one_policy(history),
        one_text(history),
        one_leader(history),
        one_outcome(history),
        one_answer(history),
        one_log(history),
        one_owner(history),
        fenced(history),
        moved_once(history),
        paced(history),
    ];
    all.into_iter().flatten().collect()
}

/// No client that asks once another has been admitted under a policy is admitted under an older one. Two that wait at
/// the same time say nothing of each other, so no clock of ours decides.
pub fn one_policy(history: &[Line]) -> Option<Broken> {
    let admitted = history.iter().filter_map(|line| match &line.fact {
        Fact::Admitted {
            relay,
            epoch,
            asked,
        } => Some((*asked, line.at, *epoch, relay.as_str())),
        _ => None,
    });
    let mut asked: Vec<_> = admitted.collect();
    let mut answered = asked.clone();
    asked.sort_by_key(|(asked, ..)| *asked);
    answered.sort_by_key(|(_, at, ..)| *at);
    let mut answered = answered.into_iter().peekable();
    let mut newest: Option<(Moment, u64, &str)> = None;
    for (began, at, epoch, relay) in asked {
        while let Some((_, at, epoch, by)) = answered.next_if(|(_, at, ..)| *at < began) {
            if newest.is_none_or(|(_, highest, _)| epoch > highest) {
                newest = Some((at, epoch, by));
            }
        }
        if let Some((since, highest, by)) = newest.filter(|(_, highest, _)| epoch < *highest) {
            let text = format!(
                "{relay} admitted under epoch {epoch} a client that asked at {:.3} s; {by} had admitted under {highest} by {:.3} s",
                began as f64 / 1e6,
                since as f64 / 1e6
            );
            return Some(Broken {
                rule: "one policy",
                at,
                text,
            });
        }
    }
    None
}

/// Changes and looks at the log are linearizable. Its epochs only grow, so that is the case where no answer is older than one
/// that was there before it was asked for, and no epoch is seen before the change that made it was asked for.
pub fn one_log(history: &[Line]) -> Option<Broken> {
    let mut seen: Vec<(Moment, Moment, u64, bool)> = Vec::new();
    for line in history {
        let Fact::Epoch {
            epoch,
            change,
            asked,
        } = line.fact
        else {
            continue;
        };
        let broken = |text: String| {
            Some(Broken {
                rule: "one log",
                at: line.at,
                text,
            })
        };
        if let Some((_, at, newer, _)) = seen
            .iter()
            .find(|(_, at, newer, _)| *at < asked && *newer > epoch)
        {
            return broken(format!(
                "epoch {epoch}, asked for at {asked} us; {newer} was known at {at} us"
            ));
        }
        seen.push((asked, line.at, epoch, change));
    }
    for (asked, _, epoch, _) in seen.iter().filter(|(.., change)| *change) {
        if let Some((_, at, ..)) = seen
            .iter()
            .find(|(_, at, seen, _)| *seen >= *epoch && at < asked)
        {
            let text =
                format!("epoch {epoch} or later was seen at {at} us, asked for at {asked} us only");
            return Some(Broken {
                rule: "one log",
                at: *asked,
                text,
            });
        }
    }
    None
}

/// A job has one owner at a time: nobody acts on it once another has acted with a later token.
pub fn one_owner(history: &[Line]) -> Option<Broken> {
    let mut newest: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    for Line { at, fact } in history {
        let Fact::Acted { relay, job, token } = fact else {
            continue;
        };
        let (highest, by) = newest.entry(job).or_insert((*token, relay));
        if token < highest {
            let text =
                format!("{relay} acted on {job} with token {token}, {by} had with {highest}");
            return Some(Broken {
                rule: "one owner",
                at: *at,
                text,
            });
        }
        (*highest, *by) = (*token, relay);
    }
    None
}

/// No receiver obeys an older token of a job after a newer one.
pub fn fenced(history: &[Line]) -> Option<Broken> {
    let mut newest: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for Line { at, fact } in history {
        let Fact::Obeyed {
            receiver,
            job,
            token,
        } = fact
        else {
            continue;
        };
        let highest = newest.entry((receiver, job)).or_insert(*token);
        if token < highest {
            let text = format!("{receiver} obeyed token {token} of {job} after {highest}");
            return Some(Broken {
                rule: "fenced",
                at: *at,
                text,
            });
        }
        *highest = *token;
    }
    None
}

/// A client is moved away from a cell once.
pub fn moved_once(history: &[Line]) -> Option<Broken> {
    let mut before: BTreeMap<(usize, usize), Moment> = BTreeMap::new();
    history.iter().find_map(|line| {
        let Fact::Moved { client, from, .. } = line.fact else {
            return None;
        };
        let first = before.insert((client, from), line.at)?;
        let text = format!(
            "client {client} was moved away from cell {from}, as at {:.3} s",
            first as f64 / 1e6
        );
        Some(Broken {
            rule: "moved once",
            at: line.at,
            text,
        })
    })
}

/// All relays together move no more clients than the policy allows: never more since any moment that a move was seen than
/// the rate for the time since, two seconds' worth of credit besides. A client that hears late only lowers the count.
pub fn paced(history: &[Line]) -> Option<Broken> {
    let mut moves: Vec<(Moment, u64)> = Vec::new();
    for line in history {
        if let Fact::Moved { rate, .. } = line.fact {
            moves.push((line.at, rate));
        }
    }
    let (first, rate) = *moves.first()?;
    moves.iter().enumerate().find_map(|(n, (at, _))| {
        let most = rate * (at - first) / 1_000_000 + 2 * rate + 1;
        let text = || {
            format!(
                "{} moves within {:.3} s, at {rate} a second",
                n + 1,
                (at - first) as f64 / 1e6
            )
        };
        (n as u64 + 1 > most).then(|| Broken {
            rule: "paced",
            at: *at,
            text: text(),
        })
    })
}

/// Each client that a sound relay has taken has its answer.
pub fn one_answer(history: &[Line]) -> Option<Broken> {
    history.iter().find_map(|line| {
        let Fact::Unanswered { relay, id } = &line.fact else {
            return None;
        };
        Some(Broken {
            rule: "one answer",
            at: line.at,
            text: format!("{relay} left {id} without an answer"),
        })
    })
}

/// An epoch means one text, for all and for good.
pub fn one_text(history: &[Line]) -> Option<Broken> {
    let mut texts: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for Line { at, fact } in history {
        let Fact::Holds { relay, epoch, text } = fact else {
            continue;
        };
        let (first, other) = *texts.entry(*epoch).or_insert((text, relay));
        if first != text {
            let text = format!("epoch {epoch} is {text:?} at {relay} and {first:?} at {other}");
            return Some(Broken {
                rule: "one text",
                at: *at,
                text,
            });
        }
    }
    None
}

/// A term has one leader.
pub fn one_leader(history: &[Line]) -> Option<Broken> {
    let mut leaders: BTreeMap<u64, u64> = BTreeMap::new();
    for Line { at, fact } in history {
        let Fact::Leads { voter, term } = fact else {
            continue;
        };
        let first = *leaders.entry(*term).or_insert(*voter);
        if first != *voter {
            let text = format!("in term {term} both {first} and {voter} lead");
            return Some(Broken {
                rule: "one leader",
                at: *at,
                text,
            });
        }
    }
    None
}

/// A proposal has one outcome, whoever asks and however often.
pub fn one_outcome(history: &[Line]) -> Option<Broken> {
    let mut outcomes: BTreeMap<&str, &str> = BTreeMap::new();
    for Line { at, fact } in history {
        let Fact::Told { proposal, outcome } = fact else {
            continue;
        };
        let first = *outcomes.entry(proposal).or_insert(outcome);
        if first != outcome {
            let text = format!("proposal {proposal} was told to be {first:?}, then {outcome:?}");
            return Some(Broken {
                rule: "one outcome",
                at: *at,
                text,
            });
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn history(facts: Vec<Fact>) -> Vec<Line> {
        let line = |(n, fact): (usize, Fact)| {
            let at = 10 * n as u64 + 10;
            let fact = match fact {
                Fact::Admitted { relay, epoch, .. } => Fact::Admitted {
                    relay,
                    epoch,
                    asked: at - 1,
                },
                fact => fact,
            };
            Line { at, fact }
        };
        facts.into_iter().enumerate().map(line).collect()
    }

    fn admitted(relay: &str, epoch: u64) -> Fact {
        // Asked right before; `history` writes a line each microsecond.
        Fact::Admitted {
            relay: relay.into(),
            epoch,
            asked: 0,
        }
    }

    #[test]
    fn each_checker_finds_what_it_is_for_and_nothing_in_a_sound_book() {
        let holds = |relay: &str, text: &str| Fact::Holds {
            relay: relay.into(),
            epoch: 2,
            text: text.into(),
        };
        let leads = |voter| Fact::Leads { voter, term: 5 };
        let told = |outcome: &str| Fact::Told {
            proposal: "a".into(),
            outcome: outcome.into(),
        };
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
        assert_eq!(check(&history(sound)), []);
        let rule = |facts| check(&history(facts)).first().map(|broken| broken.rule);
        assert_eq!(
            rule(vec![admitted("a", 2), admitted("b", 1)]),
            Some("one policy")
        );
        // Two that wait at the same time.
        let mut both = history(vec![admitted("a", 2), admitted("b", 1)]);
        both[1].fact = Fact::Admitted {
            relay: "b".into(),
            epoch: 1,
            asked: 5,
        };
        assert_eq!(check(&both), []);
        // A look after a look, or after a change, that shows less; one that shows what nobody had asked for yet.
        let look = |epoch, change, asked, at| Line {
            at,
            fact: Fact::Epoch {
                epoch,
                change,
                asked,
            },
        };
        let sound = [
            look(1, true, 10, 30),
            look(0, false, 12, 20),
            look(1, false, 15, 25),
            look(1, false, 40, 50),
        ];
        assert_eq!(check(&sound), []);
        for wrong in [
            [look(2, false, 10, 20), look(1, false, 21, 30)],
            [look(2, true, 10, 20), look(1, false, 21, 30)],
            [look(1, false, 5, 8), look(1, true, 10, 20)],
        ] {
            assert_eq!(
                check(&wrong).first().map(|broken| broken.rule),
                Some("one log")
            );
        }
        assert_eq!(
            rule(vec![Fact::Unanswered {
                relay: "a".into(),
                id: "7".into()
            }]),
            Some("one answer")
        );
        assert_eq!(
            rule(vec![holds("a", "x"), holds("b", "y")]),
            Some("one text")
        );
        assert_eq!(rule(vec![leads(1), leads(2)]), Some("one leader"));
        let acted = |relay: &str, token| Fact::Acted {
            relay: relay.into(),
            job: "j".into(),
            token,
        };
        let obeyed = |token| Fact::Obeyed {
            receiver: "r".into(),
            job: "j".into(),
            token,
        };
        assert_eq!(
            check(&history(vec![
                acted("a", 1),
                obeyed(1),
                acted("b", 2),
                obeyed(1),
                obeyed(2)
            ])),
            []
        );
        assert_eq!(
            rule(vec![acted("a", 1), acted("b", 2), acted("a", 1)]),
            Some("one owner")
        );
        assert_eq!(rule(vec![obeyed(2), obeyed(1)]), Some("fenced"));
        let moved = |client, from| Fact::Moved {
            client,
            from,
            rate: 2,
        };
        assert_eq!(
            check(&history(vec![moved(1, 0), moved(2, 0), moved(1, 1)])),
            []
        );
        assert_eq!(
            rule(vec![moved(1, 0), moved(1, 1), moved(1, 0)]),
            Some("moved once")
        );
        // All within a moment: two seconds' worth and one.
        assert_eq!(rule((0..5).map(|client| moved(client, 0)).collect()), None);
        assert_eq!(
            rule((0..6).map(|client| moved(client, 0)).collect()),
            Some("paced")
        );
        assert_eq!(
            rule(vec![told("in force"), told("refused")]),
            Some("one outcome")
        );
    }
}
