//! What is done to a fleet of processes, and when: written down, or drawn from a seed, and shortened to its cause.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What happens at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do", deny_unknown_fields)]
pub enum Action {
    /// A policy is proposed, which pins the site to the next cell. Nobody waits for it.
    Propose,
    /// A policy is proposed that no relay of this build understands.
    ProposeBad,
    /// A policy is proposed with a parameter that an older build does not know.
    ProposeLater,
    /// A relay is killed and started as this build, whichever it was before.
    Rebuild {
        /// Which one.
        relay: usize,
    },
    /// Two policies are proposed at once.
    ProposeTwo,
    /// A relay is killed, and started again with its disk after so long.
    Kill {
        /// Which one, from 0; voters come first.
        relay: usize,
        /// In milliseconds.
        for_ms: u64,
    },
    /// All relays are killed at once, and started again.
    KillAll {
        /// In milliseconds.
        for_ms: u64,
    },
    /// A relay is stopped (SIGSTOP) and goes on after so long.
    Stop {
        /// Which one.
        relay: usize,
        /// In milliseconds.
        for_ms: u64,
    },
    /// The voter that leads is stopped.
    StopLeader {
        /// In milliseconds.
        for_ms: u64,
    },
    /// A relay's links to the voters, and of the others to it, are spoilt.
    Cut {
        /// Which one.
        relay: usize,
        /// What it says is not heard.
        out: bool,
        /// What is said to it is not heard.
        back: bool,
        /// Bytes wait for the end of the fault; else they are lost.
        held: bool,
        /// In milliseconds.
        for_ms: u64,
    },
    /// All links between processes are slow.
    Slow {
        /// By so much, in milliseconds.
        by_ms: u64,
        /// In milliseconds.
        for_ms: u64,
    },
    /// All links between processes carry so many bytes a second.
    Narrow {
        /// See there.
        bytes_per_s: u64,
        /// In milliseconds.
        for_ms: u64,
    },
    /// All links lose pieces, which are sent again, and are slow.
    Lossy {
        /// Of a thousand pieces.
        permille: u32,
        /// In milliseconds.
        by_ms: u64,
        /// In milliseconds.
        for_ms: u64,
    },
    /// A relay is killed and started at once with fail points (`before-store=3*off->return`, and so on), at which it ends
    /// or its disk fails; after so long it is started anew without them.
    Arm {
        /// Which one.
        relay: usize,
        /// As the library `fail` reads them.
        points: String,
        /// In milliseconds.
        for_ms: u64,
    },
    /// A relay is killed and started at once with fail points, and changes are proposed one after the other until it says
    /// these words: the fault has come. It stays as it is then, ended or without its disk.
    Reach {
        /// Which one.
        relay: usize,
        /// As the library `fail` reads them.
        points: String,
        /// A part of a line of its log.
        says: String,
    },
    /// A relay is killed, if it runs, and started anew, without fail points.
    Restart {
        /// Which one.
        relay: usize,
    },
    /// Nothing goes on before a relay, in any of its processes, has said these words.
    Said {
        /// Which one.
        relay: usize,
        /// A part of a line of its log.
        says: String,
    },
    /// A relay is killed, the last bytes of its ledger are cut off, and it is started anew.
    Tear {
        /// Which one.
        relay: usize,
        /// How many.
        bytes: u64,
        /// In milliseconds.
        for_ms: u64,
    },
    /// A voter's place is taken by a relay that had no vote.
    Replace {
        /// Which one goes.
        relay: usize,
        /// Which one comes. Numbers are given once: of several, the lower comes first.
        by: usize,
        /// What has become of the one that goes.
        disk: Disk,
    },
    /// A relay is upgraded: a second process takes clients at the socket that the platform holds, then the first is told to
    /// go, hands over what stands, and ends.
    Upgrade {
        /// Which one.
        relay: usize,
    },
    /// The key file has these lines from now on; a relay reads them when it is started anew.
    Keys {
        /// See there.
        keys: Vec<String>,
    },
    /// Something is done to the relay that has a job, whichever it is then.
    Owner {
        /// The job.
        job: String,
        /// What.
        harm: Harm,
        /// In milliseconds.
        for_ms: u64,
    },
    /// Nothing goes on before a relay other than the job's last owner has been obeyed by all that run.
    Taken {
        /// The job.
        job: String,
    },
    /// All connections between processes are reset.
    Reset,
    /// Nothing goes on before every change so far has its outcome and every relay that runs has had some clients since.
    Await,
    /// Nothing goes on before every relay that runs has admitted some clients since: each has a lease.
    Admitted,
}

/// What is done to a job's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Harm {
    /// Its process is killed, and started again.
    Kill,
    /// Its process is stopped, and goes on.
    Stop,
    /// It is not heard: what it says is held back, and let go at the end.
    Mute,
    /// It does not hear.
    Deaf,
    /// Both, and what was said is lost.
    Cut,
    /// Operators give its job to another.
    HandOver,
    /// It is upgraded: a second process takes over.
    Upgrade,
}

impl Harm {
    /// All of them.
    pub const ALL: [Harm; 7] = [
        Harm::Kill,
        Harm::Stop,
        Harm::Mute,
        Harm::Deaf,
        Harm::Cut,
        Harm::HandOver,
        Harm::Upgrade,
    ];
}

/// What has become of a voter that is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disk {
    /// It runs on, and is removed.
    Whole,
    /// Its disk was lost.
    Lost,
    /// Its disk was lost, and made anew as if the fleet were: what the pages say that nobody should do.
    Remade,
}

/// A action and when it is done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds from the begin.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub action: Action,
}

/// A whole play.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows.
    pub about: String,
    /// How many voters, and relays beside them.
    pub voters: usize,
    /// See `voters`.
    #[serde(default)]
    pub observers: usize,
    /// How long a lease is, in milliseconds.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// Whether the relays take jobs of the fleet.
    #[serde(default)]
    pub jobs: bool,
    /// Relays that are of an older build, and of a later one, until they are rebuilt.
    #[serde(default)]
    pub older: Vec<usize>,
    /// See `older`.
    #[serde(default)]
    pub later: Vec<usize>,
    /// Whether relays may probe backends, also without jobs.
    #[serde(default)]
    pub probes: bool,
    /// Clients that stay until they are moved.
    #[serde(default)]
    pub standing: usize,
    /// Moves of standing clients that each policy allows a second.
    #[serde(default = "moves_per_second")]
    pub moves_per_second: u64,
    /// Fail points that each relay's first process is started with.
    #[serde(default)]
    pub points: String,
    /// What is done, in the order of time.
    #[serde(default)]
    pub step: Vec<Step>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            about: String::new(),
            voters: 3,
            observers: 0,
            lease_ms: lease_ms(),
            jobs: false,
            older: Vec::new(),
            later: Vec::new(),
            probes: false,
            standing: 0,
            moves_per_second: moves_per_second(),
            points: String::new(),
            step: Vec::new(),
        }
    }
}

/// Fail points of the relay: before and after each of its durable steps.
pub const POINTS: [&str; 8] = [
    "before-store",
    "after-store",
    "before-prepare",
    "after-prepare",
    "before-adopt",
    "after-adopt",
    "before-seat",
    "after-seat",
];

fn moves_per_second() -> u64 {
    1_000
}

fn lease_ms() -> u64 {
    600
}

/// Scenarios that come with the program: name and text.
pub const NAMED: [(&str, &str); 19] = [
    ("change", include_str!("../../faults/change.toml")),
    (
        "majority-killed",
        include_str!("../../faults/majority-killed.toml"),
    ),
    (
        "leader-stopped",
        include_str!("../../faults/leader-stopped.toml"),
    ),
    (
        "observer-away",
        include_str!("../../faults/observer-away.toml"),
    ),
    ("one-way", include_str!("../../faults/one-way.toml")),
    (
        "all-restarted",
        include_str!("../../faults/all-restarted.toml"),
    ),
    (
        "voter-replaced",
        include_str!("../../faults/voter-replaced.toml"),
    ),
    (
        "voter-remade",
        include_str!("../../faults/voter-remade.toml"),
    ),
    ("disk-full", include_str!("../../faults/disk-full.toml")),
    ("torn-tail", include_str!("../../faults/torn-tail.toml")),
    (
        "between-steps",
        include_str!("../../faults/between-steps.toml"),
    ),
    ("bad-network", include_str!("../../faults/bad-network.toml")),
    ("key-change", include_str!("../../faults/key-change.toml")),
    ("upgrades", include_str!("../../faults/upgrades.toml")),
    (
        "never-answers",
        include_str!("../../faults/never-answers.toml"),
    ),
    ("two-builds", include_str!("../../faults/two-builds.toml")),
    (
        "owners-harmed",
        include_str!("../../faults/owners-harmed.toml"),
    ),
    (
        "owner-asleep",
        include_str!("../../faults/owner-asleep.toml"),
    ),
    ("paced-moves", include_str!("../../faults/paced-moves.toml")),
];

impl Scenario {
    /// Reads one; an error names line and key.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        if scenario.voters == 0 || scenario.voters > 7 || scenario.observers > 43 {
            return Err(
                "voters must be 1 to 7, observers 0 to 43: each is a process of its own".into(),
            );
        }
        let relays = scenario.voters + scenario.observers;
        for (n, step) in scenario.step.iter().enumerate() {
            let named = match step.action {
                Action::Kill { relay, .. }
                | Action::Stop { relay, .. }
                | Action::Cut { relay, .. } => relay,
                Action::Arm { relay, .. }
                | Action::Tear { relay, .. }
                | Action::Upgrade { relay } => relay,
                Action::Reach { relay, .. }
                | Action::Restart { relay }
                | Action::Said { relay, .. } => relay,
                Action::Rebuild { relay } => relay,
                Action::Replace { relay, by, .. } if by < scenario.voters || relay == by => {
                    return Err(format!("step[{n}].by: is {by}, which votes already"));
                }
                Action::Replace { relay, by, .. } => relay.max(by),
                _ => 0,
            };
            if named >= relays {
                return Err(format!(
                    "step[{n}].relay: is {named}; there are {relays}, from 0"
                ));
            }
            if n > 0 && step.at_ms < scenario.step[n - 1].at_ms {
                return Err(format!(
                    "step[{n}].at_ms: is before that of the step in front of it"
                ));
            }
        }
        Ok(scenario)
    }

    /// As it is written.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// A play drawn from a seed: changes of policy all along, and faults among them.
    pub fn random(seed: u64) -> Scenario {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let voters = if rng.random_bool(0.3) { 5 } else { 3 };
        let observers = rng.random_range(2..=4);
        let relays = voters + observers;
        let mut step = Vec::new();
        let (mut at_ms, mut replaced) = (300, false);
        while at_ms < 5_000 {
            let relay = rng.random_range(0..relays);
            let for_ms = if rng.random_bool(0.7) {
                rng.random_range(50..900)
            } else {
                rng.random_range(900..2_500)
            };
            let action = match rng.random_range(0..22) {
                0..=5 => Action::Propose,
                6 => Action::ProposeBad,
                7 => Action::ProposeTwo,
                8 | 9 => Action::Kill { relay, for_ms },
                10 | 11 => Action::Stop { relay, for_ms },
                12 => Action::StopLeader { for_ms },
                13 => {
                    let (out, back) = *[(true, true), (true, false), (false, true)]
                        .get(rng.random_range(0..3))
                        .unwrap_or(&(true, true));
                    Action::Cut {
                        relay,
                        out,
                        back,
                        held: rng.random_bool(0.5),
                        for_ms,
                    }
                }
                14 => Action::Slow {
                    by_ms: rng.random_range(5..200),
                    for_ms,
                },
                15 => Action::Lossy {
                    permille: rng.random_range(0..300),
                    by_ms: rng.random_range(1..100),
                    for_ms,
                },
                16 => Action::Narrow {
                    bytes_per_s: rng.random_range(1_000..50_000),
                    for_ms,
                },
                17 | 18 => {
                    let point = POINTS[rng.random_range(0..POINTS.len())];
                    let points = format!("{point}={}*off->return", rng.random_range(0..12));
                    Action::Arm {
                        relay,
                        points,
                        for_ms,
                    }
                }
                20 => Action::Upgrade { relay },
                // One voter's disk at most, so that the others bear it.
                19 if !replaced => {
                    replaced = true;
                    let disk = [Disk::Whole, Disk::Lost, Disk::Remade][rng.random_range(0..3)];
                    Action::Replace {
                        relay: rng.random_range(0..voters),
                        by: voters,
                        disk,
                    }
                }
                _ if rng.random_bool(0.3) => Action::KillAll { for_ms: 100 },
                _ => Action::Reset,
            };
            step.push(Step { at_ms, action });
            at_ms += rng.random_range(50..600);
        }
        let about = format!("drawn from seed {seed}");
        Scenario {
            about,
            voters,
            observers,
            step,
            ..Scenario::default()
        }
    }

    /// A play drawn from a seed in which owners of jobs come to harm, one after the other and all at once, while policies
    /// change.
    pub fn random_owners(seed: u64) -> Scenario {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let voters = if rng.random_bool(0.3) { 5 } else { 3 };
        let observers = rng.random_range(2..=4);
        let (mut step, mut at_ms) = (Vec::new(), 300);
        while at_ms < 6_000 {
            let relay = rng.random_range(0..voters + observers);
            // Over a lease and under one.
            let for_ms = if rng.random_bool(0.6) {
                rng.random_range(700..2_500)
            } else {
                rng.random_range(50..500)
            };
            let job = ["load/a", "moves"][usize::from(rng.random_bool(0.3))].to_string();
            let action = match rng.random_range(0..14) {
                0..=6 => Action::Owner {
                    job,
                    harm: Harm::ALL[rng.random_range(0..Harm::ALL.len())],
                    for_ms,
                },
                7 | 8 => Action::Propose,
                9 => Action::Stop { relay, for_ms },
                10 => Action::StopLeader { for_ms },
                11 => Action::Lossy {
                    permille: rng.random_range(0..300),
                    by_ms: rng.random_range(1..100),
                    for_ms,
                },
                12 => Action::Slow {
                    by_ms: rng.random_range(5..300),
                    for_ms,
                },
                _ if rng.random_bool(0.3) => Action::KillAll { for_ms: 100 },
                _ => Action::Reset,
            };
            step.push(Step { at_ms, action });
            at_ms += rng.random_range(50..800);
        }
        // Half of the plays with an owner that sleeps between the look at its lease and its order.
        let sleep = rng.random_range(700..3_000);
        let points = format!(
            "before-order={}*off->1*sleep({sleep})->off",
            rng.random_range(1..8)
        );
        let points = if rng.random_bool(0.5) {
            points
        } else {
            String::new()
        };
        let about = format!("owners, drawn from seed {seed}");
        Scenario {
            about,
            voters,
            observers,
            jobs: true,
            standing: 6,
            points,
            step,
            ..Scenario::default()
        }
    }

    /// The fewest steps with which `broken` still holds: parts are left out, halves first, then single ones.
    pub fn shrink(&self, mut broken: impl FnMut(&Scenario) -> bool) -> Scenario {
        let mut best = self.clone();
        let mut size = best.step.len().div_ceil(2);
        while size > 0 {
            let mut at = 0;
            while at < best.step.len() {
                let mut less = best.clone();
                less.step.drain(at..(at + size).min(best.step.len()));
                if broken(&less) {
                    best = less;
                } else {
                    at += size;
                }
            }
            size = if size == 1 { 0 } else { size.div_ceil(2) };
        }
        best
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scenarios_are_read_as_they_are_written_and_wrong_ones_are_named() {
        for (name, text) in NAMED {
            Scenario::read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
        }
        for seed in 0..50 {
            for draw in [Scenario::random, Scenario::random_owners] {
                let drawn = draw(seed);
                assert_eq!(Scenario::read(&drawn.text()).unwrap(), drawn);
                assert_eq!(draw(seed), drawn);
            }
        }
        let wrong =
            |steps: &str| Scenario::read(&format!("about = 'x'\nvoters = 3\n{steps}")).unwrap_err();
        assert!(
            wrong("[[step]]\nat_ms = 1\ndo = 'kill'\nrelay = 3\nfor_ms = 1")
                .contains("step[0].relay: is 3")
        );
        assert!(wrong("[[step]]\nat_ms = 1\ndo = 'kil'").contains("unknown variant `kil`"));
        assert!(
            wrong("[[step]]\nat_ms = 2\ndo = 'reset'\n[[step]]\nat_ms = 1\ndo = 'reset'")
                .contains("step[1].at_ms")
        );
    }

    #[test]
    fn what_is_left_is_the_cause() {
        let all = Scenario::random(5);
        let cause = |s: &Scenario| {
            s.step.iter().any(|step| step == &all.step[3])
                && s.step.iter().any(|step| step == &all.step[7])
        };
        let least = all.shrink(cause);
        assert_eq!(least.step, [all.step[3].clone(), all.step[7].clone()]);
    }
}
