//! The rules, checked against the stand-ins' own books, and the table that says so.

use std::fmt;

/// A rule's verdict.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The rule.
    pub rule: &'static str,
    /// What was counted.
    pub seen: String,
    /// Whether it held.
    pub held: bool,
}

/// The verdicts of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdicts(pub Vec<Decision>);

impl Verdicts {
    /// Adds a rule that holds where a count is 0.
    pub fn none(&mut self, rule: &'static str, count: usize, of: impl fmt::Display) {
        self.0.push(Decision {
            rule,
            seen: format!("{count} of {of}"),
            held: count == 0,
        });
    }

    /// Adds a rule.
    pub fn add(&mut self, rule: &'static str, seen: impl fmt::Display, held: bool) {
        self.0.push(Decision {
            rule,
            seen: seen.to_string(),
            held,
        });
    }

    /// Whether all held.
    pub fn all(&self) -> bool {
        self.0.iter().all(|v| v.held)
    }
}

impl fmt::Display for Verdicts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widest = self.0.iter().map(|v| v.rule.len()).max().unwrap_or(0);
        for v in &self.0 {
            let word = if v.held { "held" } else { "BROKEN" };
            writeln!(f, "{:widest$}  {word:6}  {}", v.rule, v.seen)?;
        }
        Ok(())
    }
}
