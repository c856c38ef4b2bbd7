//! A policy: the cells and parameters that all relays of a fleet share, beyond the platform's
//! settings. Its text is the part `[cells]` and `[parameters]` of an operator file, and nothing
//! else.
//!
//! Guards against: a policy that this build understands in part only (an unknown key makes it
//! refuse the whole policy), and a misspelt parameter that would be ignored.

use crate::cells::Cells;
use crate::config::operator::{OperatorError, OperatorFile};
use crate::decisions::Parameters;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// The checked contents of a policy.
#[derive(Clone, Debug, Default)]
pub struct PolicyRules {
    /// Cells and pins.
    pub cells: Cells,
    /// Parameters of the decisions.
    pub parameters: Parameters,
}

/// Checks and returns the parameters of an operator file or a policy.
pub fn parameters(file: &OperatorFile) -> Result<Parameters, OperatorError> {
    let mut parameters = Parameters::default();
    for (name, value) in &file.operator.parameters {
        let key = format!("parameters.{name}");
        if parameters.get(name).is_none() || is_unknown_to_older_build(name) {
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

/// Whether this process imitates an older build that does not know this parameter; for tests of
/// fleets with two builds.
#[cfg(feature = "injected-bugs")]
fn is_unknown_to_older_build(name: &str) -> bool {
    ["lookup_parallelism", "look_both"].contains(&name)
        && std::env::var("JASPERMOOR_BUILD").is_ok_and(|build| build == "older")
}

#[cfg(not(feature = "injected-bugs"))]
fn is_unknown_to_older_build(_: &str) -> bool {
    false
}

/// Parses a policy; errors name `path`.
pub fn parse(path: &Path, text: &str) -> Result<PolicyRules, OperatorError> {
    let file = OperatorFile::parse(path, text.to_string())?;
    for (key, present) in [
        ("xmpp", file.operator.xmpp.is_some()),
        ("fleet", file.operator.fleet.is_some()),
    ] {
        if present {
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

/// A short hash of a policy's text, for operators to compare.
pub fn digest(text: &str) -> String {
    format!("{:016x}", xxh3_64(text.as_bytes()))
}

/// The removed and added lines between two texts. Common lines at the beginning and the end are
/// left out; lines between two changes are shown as removed and added.
pub fn diff(old: &str, new: &str) -> Vec<String> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let common_start = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let limit = old.len().min(new.len()) - common_start;
    let common_end = old
        .iter()
        .rev()
        .zip(new.iter().rev())
        .take(limit)
        .take_while(|(a, b)| a == b)
        .count();
    let removed = old[common_start..old.len() - common_end]
        .iter()
        .map(|line| format!("- {line}"));
    let added = new[common_start..new.len() - common_end]
        .iter()
        .map(|line| format!("+ {line}"));
    removed.chain(added).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_policy_is_accepted_as_a_whole_or_refused_with_line_and_key() {
        let parse = |text: &str| parse(Path::new("p.toml"), text);
        let rules = parse("[parameters]\nepsilon = 1.5\n[[cells.cell]]\nname = 'a'\n").unwrap();
        assert_eq!(
            (
                rules.parameters.bounded_load_epsilon,
                rules.cells.map.cell_count()
            ),
            (1.5, 1)
        );
        for (text, expected) in [
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
            let e = parse(text).unwrap_err().to_string();
            assert!(e.contains(expected), "{e}");
        }
    }

    #[test]
    fn a_diff_shows_what_changes() {
        assert_eq!(diff("a\nb\nc", "a\nx\nc"), ["- b", "+ x"]);
        assert_eq!(diff("a\na", "a"), ["- a"]);
        assert!(diff("a", "a").is_empty());
    }
}
