//! Days as TOML: the parameters of a site and the troubles of a day. Each value is a number or a
//! range, and each seed draws its own deployment from them.
//!
//! Unknown keys and ranges with the larger value first are errors.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::path::{Path, PathBuf};

/// A number, or a range from which each seed draws a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range(pub f64, pub f64);

impl Range {
    /// Draws a value. A range without width takes nothing from the random stream.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> f64 {
        if self.0 < self.1 {
            rng.random_range(self.0..=self.1)
        } else {
            self.0
        }
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Range, D::Error> {
        struct NumberOrRange;
        impl<'de> Visitor<'de> for NumberOrRange {
            type Value = Range;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number, or a range as [least, most]")
            }

            fn visit_f64<E: serde::de::Error>(self, x: f64) -> Result<Range, E> {
                check(Range(x, x))
            }

            fn visit_i64<E: serde::de::Error>(self, x: i64) -> Result<Range, E> {
                check(Range(x as f64, x as f64))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
                let mut next = || seq.next_element::<f64>();
                let (Some(least), Some(most), None) = (next()?, next()?, next()?) else {
                    return Err(A::Error::custom("a range has two numbers: [least, most]"));
                };
                check(Range(least, most))
            }
        }
        fn check<E: serde::de::Error>(r: Range) -> Result<Range, E> {
            let valid = r.0.is_finite() && r.1.is_finite() && 0.0 <= r.0 && r.0 <= r.1;
            if valid {
                return Ok(r);
            }
            Err(E::custom(format!(
                "[{}, {}] is no range: both numbers must be finite and not negative, the smaller one first",
                r.0, r.1
            )))
        }
        from.deserialize_any(NumberOrRange)
    }
}

macro_rules! table {
    ($(#[$doc:meta])* $name:ident { $($field:ident: $kind:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields, rename_all = "kebab-case")]
        #[allow(missing_docs)]
        pub struct $name { $(pub $field: $kind,)* }
    };
}

table!(/// Sizes of the fleet.
    Scale { relays: Range, backends: Range, zones: Range, relay_skew: Range, zone_skew: Range, });
table!(/// Demand.
    Load { asked: Range, swing: Range, groups_per_backend: Range, group_zipf: Range, packed: Range, });
table!(/// One-way network delays.
    Net { same_ms: Range, cross_ms: Range, client_ms: Range, jitter: Range, });
table!(/// The load balancer in front of the relays.
    Front { notice_s: Range, });
table!(/// Behavior of clients.
    Clients { life_s: Range, honour: Range, backoff_ms: Range, rejoin_ms: Range, });
table!(/// Discovery and its endpoint list.
Discovery {
    notice_s: Range, silent_notice_s: Range, add_s: Range, spread_ms: Range, calls_per_s: Range, timeout_s: Range,
});
table!(/// Load reports and health checks.
    Report { period_s: Range, delay_s: Range, noise: Range, probe_work_ms: Range, probe_timeout_ms: Range, });
table!(/// Costs and limits of connections at backends.
ConnSpec {
    per_core: Range, cap: Range, group_cost: Range, handshake_rtts: Range, handshake_ms: Range,
    dial_timeout_ms: Range, message_ms: Range, buffer_s: Range,
});
table!(/// Limits of the rules.
Rules {
    drain_grace_ms: f64, fall_multiple: f64, fall_s: f64, start_share: f64, warm_within_s: f64, ask_within_s: f64,
    answer_slack_ms: f64, max_attempts: u32, max_retry_after_ms: f64,
});
table!(/// Weights of the components of the service score.
    Goal { whole: f64, worst: f64, class: f64, window_s: f64, });
table!(/// Prices that are deducted from the score.
    Prices { cross_zone: f64, waste: f64, probe: f64, late_fail: f64, moves: f64, });
table!(/// A machine kind.
Kind {
    name: String, share: Range, cores: Range, speed: Range, speed_cv: Range, queue_per_core: Range,
    cold_from: Range, cold_s: Range,
});
table!(/// A request class.
ClassSpec {
    name: String, share: Range, work_ms: Range, aim_ms: f64, deadline_ms: f64, worth: f64, load: Range, life: Range,
    load_sigma: Range, swing_sigma: Range, change_s: Range, message_aim_ms: f64,
});
table!(/// Parameters of a site.
Site {
    scale: Scale, load: Load, net: Net, front: Front, clients: Clients, discovery: Discovery, report: Report,
    conn: ConnSpec, rules: Rules, goal: Goal, prices: Prices, kind: Vec<Kind>, class: Vec<ClassSpec>,
});

/// A disturbance. Each begins `at_s` seconds into the day.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    deny_unknown_fields,
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
#[allow(missing_docs)]
pub enum Trouble {
    /// New clients arrive at `factor` times the normal rate.
    Burst {
        at_s: Range,
        length_s: Range,
        factor: Range,
    },
    /// This share of the new clients goes to one zone.
    Shift {
        at_s: Range,
        length_s: Range,
        share: Range,
    },
    /// This share of the clients disconnects and reconnects at random times within the length.
    Reconnect {
        at_s: Range,
        length_s: Range,
        share: Range,
    },
    /// One group gets additional new clients, in proportion to `factor`.
    HotCaller {
        at_s: Range,
        length_s: Range,
        factor: Range,
    },
    /// Backends are replaced in turn: each drains for `leave_s` while a new one starts cold.
    Replace {
        at_s: Range,
        within_s: Range,
        share: Range,
        leave_s: Range,
    },
    /// Relays are drained and restarted in turn, this share at a time.
    RollRelays {
        at_s: Range,
        every_s: Range,
        share: Range,
    },
    /// Relays are killed at the same time without notice and start again after `back_s`.
    KillRelays {
        at_s: Range,
        share: Range,
        back_s: Range,
    },
    /// Discovery answers calls at `factor` times its normal rate.
    BusyDiscovery {
        at_s: Range,
        length_s: Range,
        factor: Range,
    },
    /// Backends run at `slow` times their speed and answer a share of the requests with an error.
    Sick {
        at_s: Range,
        length_s: Range,
        share: Range,
        slow: Range,
        errors: Range,
    },
    /// All backends of a zone stop and later restart cold. With probability `silent` their hosts
    /// do not respond meanwhile; otherwise connections are refused.
    LoseZone {
        at_s: Range,
        length_s: Range,
        silent: Range,
    },
    /// A zone is partitioned from the others.
    CutZone { at_s: Range, length_s: Range },
    /// Discovery holds back all changes of the endpoint list.
    LateLists { at_s: Range, length_s: Range },
    /// This share of the backends' answers is lost.
    LoseAnswers {
        at_s: Range,
        length_s: Range,
        share: Range,
    },
    /// Backends crash and restart cold after the length.
    Crash {
        at_s: Range,
        length_s: Range,
        share: Range,
    },
    /// The load of this share of the connections of the first class is multiplied by `factor`.
    Heavy {
        at_s: Range,
        length_s: Range,
        share: Range,
        factor: Range,
    },
}

/// The TOML file of a day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct File {
    about: String,
    site: PathBuf,
    length_s: Range,
    #[serde(default)]
    trouble: Vec<Trouble>,
}

/// A day: a site and the troubles during the day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its name: that of the file without the extension.
    pub name: String,
    /// Its purpose.
    pub about: String,
    /// Its length in seconds.
    pub length_s: Range,
    /// Its site parameters.
    pub site: Site,
    /// Its troubles.
    pub troubles: Vec<Trouble>,
}

/// An invalid day: the file and the error.
#[derive(Debug)]
pub struct DayError(String);

impl fmt::Display for DayError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DayError {}

fn read<T: for<'de> Deserialize<'de>>(path: &Path) -> Result<T, DayError> {
    let text =
        std::fs::read_to_string(path).map_err(|e| DayError(format!("{}: {e}", path.display())))?;
    // The parser's message has the line and the key.
    toml::from_str(&text).map_err(|e| DayError(format!("{}: {e}", path.display())))
}

/// Names of the built-in days.
pub const NAMES: [&str; 6] = ["calm", "roll", "herd", "zone", "split", "join"];

impl Day {
    /// Directory of the built-in days.
    pub fn folder() -> PathBuf {
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("days")
    }

    /// Loads a built-in day by name, or a day from a `.toml` file.
    pub fn load(name: &str) -> Result<Day, DayError> {
        let path = match name.ends_with(".toml") {
            true => PathBuf::from(name),
            false if NAMES.contains(&name) => Day::folder().join(format!("{name}.toml")),
            false => {
                let known = NAMES.join(", ");
                return Err(DayError(format!(
                    "'{name}' is not a day: use {known}, or the path of a .toml file"
                )));
            }
        };
        let file: File = read(&path)?;
        let site_path = path.parent().unwrap_or(Path::new(".")).join(&file.site);
        let site: Site = read(&site_path)?;
        for (what, empty) in [
            ("kind", site.kind.is_empty()),
            ("class", site.class.is_empty()),
        ] {
            if empty {
                return Err(DayError(format!(
                    "{}: {what}: at least one is needed",
                    site_path.display()
                )));
            }
        }
        if site.scale.relays.0 < 1.0 || site.scale.zones.0 < 1.0 {
            return Err(DayError(format!(
                "{}: scale: a fleet needs at least one relay and one zone",
                site_path.display()
            )));
        }
        let name = path
            .file_stem()
            .map_or(name.to_string(), |stem| stem.to_string_lossy().into_owned());
        Ok(Day {
            name,
            about: file.about,
            length_s: file.length_s,
            site,
            troubles: file.trouble,
        })
    }

    /// Sets the size of the fleet; `None` leaves a size to the seed.
    pub fn with_size(mut self, relays: Option<usize>, backends: Option<usize>) -> Day {
        if let Some(n) = relays {
            self.site.scale.relays = Range(n as f64, n as f64);
        }
        if let Some(n) = backends {
            self.site.scale.backends = Range(n as f64, n as f64);
        }
        self
    }
}
