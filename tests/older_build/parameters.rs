//! `[parameters]` and `[cells]` of operator files and policies: all names that an older build knew
//! are still accepted.

use super::peers;
use jaspermoor::config::policy;
use std::net::SocketAddr;
use std::path::Path;

const PARAMETERS: &str = include_str!("../data/older_build/parameters.toml");
/// Every key of `[cells]`.
const CELLS: &str =
    "[cells]\nno_server = \"refuse\"\nretry_after_ms = 700\nmoves_per_second = 20\n\
    [[cells.cell]]\nname = \"a\"\nservers = [\"s-1\", \"s-2\"]\n\
    [[cells.cell]]\nname = \"b\"\nservers = [\"s-3\"]\n\
    [[cells.site]]\nkey = \"5\"\ncell = \"a\"\n";

/// Runs `check` on an operator file. Returns its output, and whether it succeeded.
fn check(operator: &str) -> (String, bool) {
    let unused: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let config = peers::file(&peers::config(unused, &[]));
    let operator = peers::file(operator);
    let output = peers::program("check", &config)
        .arg("--operator")
        .arg(&operator)
        .output()
        .unwrap();
    std::fs::remove_file(config).unwrap();
    std::fs::remove_file(operator).unwrap();
    let text = [output.stdout, output.stderr].concat();
    (String::from_utf8(text).unwrap(), output.status.success())
}

fn assert_policy_accepted(text: &str) {
    let parsed = policy::parse(Path::new("policy.toml"), text);
    assert!(parsed.is_ok(), "{:?}", parsed.err().map(|e| e.to_string()));
}

/// The parsed contents of a policy as text, to compare policies.
fn rules(text: &str) -> String {
    let parsed = policy::parse(Path::new("policy.toml"), text);
    format!("{:?}", parsed.unwrap_or_else(|error| panic!("{error}")))
}

fn assignments() -> impl Iterator<Item = &'static str> {
    PARAMETERS.lines().filter(|line| line.contains(" = "))
}

#[test]
fn an_operator_file_with_all_parameters_and_cells_of_an_older_build_is_accepted() {
    let (output, accepted) = check(&format!("{PARAMETERS}{CELLS}"));
    assert!(accepted, "{output}");
    assert!(output.contains("2 cells"), "{output}");
}

#[test]
fn a_policy_with_all_parameters_and_cells_of_an_older_build_is_accepted() {
    assert_policy_accepted(&format!("{PARAMETERS}{CELLS}"));
}

#[test]
fn each_parameter_of_an_older_build_is_accepted_by_itself() {
    assert_eq!(assignments().count(), PARAMETER_COUNT);
    for assignment in assignments() {
        assert_policy_accepted(&format!("[parameters]\n{assignment}\n"));
    }
}

/// A written default must change nothing. It would if this build read it in another unit.
#[test]
fn defaults_of_an_older_build_are_the_defaults() {
    let explicit = rules(PARAMETERS);
    let empty = rules("");
    assert_eq!(explicit, empty);
    for assignment in assignments() {
        let text = format!("[parameters]\n{assignment}\n");
        let one = rules(&text);
        assert_eq!(one, empty, "{assignment}");
    }
}

#[test]
fn each_parameter_of_an_older_build_has_an_effect_when_it_is_changed() {
    let empty = rules("");
    for assignment in assignments() {
        let (name, value) = assignment.split_once(" = ").unwrap();
        let another = value.parse::<f64>().unwrap() * 1.5 + 1.0;
        let text = format!("[parameters]\n{name} = {another:?}\n");
        let changed = rules(&text);
        assert_ne!(changed, empty, "{name}");
    }
}

#[test]
fn names_that_an_older_build_did_not_know_are_refused() {
    for text in [
        "[parameters]\nepsilom = 1\n",
        "[parameters]\nno_such_parameter = 1\n",
        "[cells]\nno_such_key = 1\n",
        "[no_such_table]\n",
    ] {
        assert!(
            policy::parse(Path::new("policy.toml"), text).is_err(),
            "{text}"
        );
        let (output, accepted) = check(text);
        assert!(!accepted, "{text}: {output}");
    }
    let (output, _) = check("[parameters]\nepsilom = 1\n");
    assert!(
        output.contains("parameters.epsilom: no parameter has this name"),
        "{output}"
    );
}

/// How many parameters the older build had.
const PARAMETER_COUNT: usize = 46;
