//! A policy: what decides behaviour beyond the platform's settings, the same in all relays of a fleet. Its text is a
//! part of an operator file: `[cells]` and `[parameters]`, and nothing else.
//!
//! Guards against: a policy of which this build understands a part (a key that it does not know refuses the whole), and
//! a parameter that nobody reads.

use crate::cells::Cells;
use crate::config::operator::{OperatorError, OperatorFile};
use crate::decisions::Parameters;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// What a policy says, checked.
#[derive(Clone, Debug, Default)]
pub struct PolicyRules {
    /// Cells and pins.
    pub cells: Cells,
    /// Parameters of the decisions.
    pub parameters: Parameters,
}

/// Parameters of an operator file, or of a policy, checked.
pub fn parameters(file: &OperatorFile) -> Result<Parameters, OperatorError> {
    let mut parameters = Parameters::default();
    for (name, value) in &file.operator.parameters {
        let key = format!("parameters.{name}");
        if parameters.get(name).is_none() || of_a_later_build(name) {
            let known = Parameters::NAMES.join(", ");
            return Err(file.error(
                &key,
                format!("no parameter has this name; there are {known}"),
            ));
        }
        if parameters.set(name, *value).is_err() {
            return Err(file.error(&key, format!("cannot be {value}")));
        }
    }
    Ok(parameters)
}

/// Whether this process does as an older build, which does not know that parameter: for tests of fleets of two builds.
#[cfg(feature = "injected-bugs")]
fn of_a_later_build(name: &str) -> bool {
    ["lookup_parallelism", "look_both"].contains(&name)
        && std::env::var("JASPERMOOR_BUILD").is_ok_and(|build| build == "older")
}

#[cfg(not(feature = "injected-bugs"))]
fn of_a_later_build(_: &str) -> bool {
    false
}

/// Reads a policy's text; `path` is what errors call it.
pub fn parse(path: &Path, text: &str) -> Result<PolicyRules, OperatorError> {
    let file = OperatorFile::parse(path, text.to_string())?;
    for (key, there) in [
        ("xmpp", file.operator.xmpp.is_some()),
        ("fleet", file.operator.fleet.is_some()),
    ] {
        if there {
            return Err(file.error(
                key,
                "is each relay's own: a policy has [cells] and [parameters] only",
            ));
        }
    }
    Ok(PolicyRules {
        cells: Cells::from_operator_file(&file)?,
        parameters: parameters(&file)?,
    })
}

/// A short name of a text, to compare by eye.
pub fn digest(text: &str) -> String {
    format!("{:016x}", xxh3_64(text.as_bytes()))
}

/// Which lines another text takes away and adds: those in front and behind that both have are left out.
pub fn diff(old: &str, new: &str) -> Vec<String> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let same = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let most = old.len().min(new.len()) - same;
    let tail = old
        .iter()
        .rev()
        .zip(new.iter().rev())
        .take(most)
        .take_while(|(a, b)| a == b)
        .count();
    let gone = old[same..old.len() - tail]
        .iter()
        .map(|line| format!("- {line}"));
    let come = new[same..new.len() - tail]
        .iter()
        .map(|line| format!("+ {line}"));
    gone.chain(come).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_policy_is_understood_whole_or_refused_with_line_and_key() {
        let read = |text: &str| parse(Path::new("p.toml"), text);
        let rules = read("[parameters]\nepsilon = 1.5\n[[cells.cell]]\nname = 'a'\n").unwrap();
        assert_eq!(
            (
                rules.parameters.bounded_load_epsilon,
                rules.cells.map.cell_count()
            ),
            (1.5, 1)
        );
        for (text, says) in [
            (
                "[parameters]\nepsilom = 1",
                "p.toml:2: parameters.epsilom: no parameter",
            ),
            (
                "[parameters]\njumps = -1",
                "p.toml:2: parameters.jumps: cannot be -1",
            ),
            (
                "[fleet]\nid='f'\ndirectory='d'\nkeys='k'\nvoters=[]",
                "p.toml:1: fleet: is each relay's own",
            ),
            ("[of_a_later_build]", "unknown field `of_a_later_build`"),
        ] {
            let e = read(text).unwrap_err().to_string();
            assert!(e.contains(says), "{e}");
        }
    }

    #[test]
    fn a_diff_shows_what_changes() {
        assert_eq!(diff("a\nb\nc", "a\nx\nc"), ["- b", "+ x"]);
        assert_eq!(diff("a\na", "a"), ["- a"]);
        assert!(diff("a", "a").is_empty());
    }
}
