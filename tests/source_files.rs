//! Checks of the source files of the decisions: their size, their width, and forbidden words; and
//! of the names of the parameters.

use jaspermoor::decisions::parameters::ParameterError;
use jaspermoor::Parameters;
use std::fs;
use std::path::PathBuf;

/// The directory of the decisions, from the root of the repository.
const DIRECTORY: &str = "src/decisions";
/// The file with the documentation of the whole module.
const ROOT_FILE: &str = "src/decisions/mod.rs";
/// The most lines of a file without blank ones, so that a file has one concern.
const MAX_FILE_LINES: usize = 400;
/// The most columns of a line, comments included.
const MAX_COLUMNS: usize = 100;

fn read(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(path)).unwrap()
}

/// All files of the decisions, the root file first, the others by name.
fn files() -> Vec<String> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let entries = fs::read_dir(root.join(DIRECTORY)).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let mut files: Vec<String> = names.map(|name| format!("{DIRECTORY}/{name}")).collect();
    files.sort_by_key(|file| (file != ROOT_FILE, file.clone()));
    files
}

#[test]
fn files_of_the_decisions_do_not_exceed_the_most_lines_and_columns() {
    for file in files() {
        let text = read(&file);
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{file}: {lines} lines; {MAX_FILE_LINES} allowed"
        );
        for (n, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{file}: line {} has {columns} columns",
                n + 1
            );
        }
    }
}

#[test]
fn the_documentation_of_the_decisions_begins_with_the_file_of_their_interface() {
    let text = read(ROOT_FILE);
    assert!(text
        .lines()
        .take(3)
        .any(|line| line.contains("src/decisions/api.rs")));
}

#[test]
fn the_decisions_do_no_io_and_read_no_clock() {
    for file in files() {
        let text = read(&file);
        for word in [
            "std::io",
            "std::time",
            "std::thread",
            "std::env",
            "HashMap",
            "HashSet",
            "static ",
            "println",
        ] {
            assert!(!text.contains(word), "{file}: {word}");
        }
    }
}

#[test]
fn the_deploy_file_lists_the_files_of_the_decisions() {
    let deploy = read("deploy/balancer.toml");
    assert!(deploy.contains(&format!("policy = {:?}", files())));
    assert!(deploy.contains("sim = \"exec target/release/jaspermoor-simhost\""));
}

/// An experiment with an unknown name, or with values that are changed on the way, would measure
/// nothing.
#[test]
fn an_unknown_parameter_or_an_invalid_value_is_an_error() {
    let mut parameters = Parameters::default();
    for name in Parameters::NAMES {
        let value = parameters.get(name).unwrap();
        assert_eq!(parameters.set(name, value), Ok(()), "{name}");
        assert_eq!(parameters, Parameters::default(), "{name}");
    }
    assert_eq!(parameters.set("hash_band_width", 0.45), Ok(()));
    assert_eq!(parameters.hash_band_width, 0.45);
    assert!(parameters.get("hash_band_width").is_some());
    for (name, value) in [("HASH_BAND_WIDTH", 1.0), ("SOFT", 1.0), ("", 1.0)] {
        let error = Err(ParameterError::UnknownName);
        assert_eq!(parameters.set(name, value), error, "{name} {value}");
    }
    for (name, value) in [
        ("lookup_candidates", -3.0),
        ("hash_band_width", f64::NAN),
        ("max_jumps", 1e12),
    ] {
        let error = Err(ParameterError::InvalidValue);
        assert_eq!(parameters.set(name, value), error, "{name} {value}");
    }
}

/// Operator files, stored policies and experiments of earlier builds contain the former names.
#[test]
fn a_parameter_is_found_by_its_former_name() {
    let pairs = Parameters::FORMER_NAMES.iter().zip(Parameters::NAMES);
    for (former, name) in pairs {
        let mut by_former_name = Parameters::default();
        let mut by_name = Parameters::default();
        let value = by_name.get(name).unwrap() + 1.0;
        assert_eq!(by_former_name.set(former, value), Ok(()), "{former}");
        assert_eq!(by_name.set(name, value), Ok(()), "{name}");
        assert_ne!(by_name, Parameters::default(), "{name}");
        assert_eq!(by_former_name, by_name, "{former} is {name}");
    }
    let mut parameters = Parameters::default();
    assert_eq!(parameters.set("soft", 0.45), Ok(()));
    assert_eq!(parameters.hash_band_width, 0.45);
    for (former, value) in [("look_at", -3.0), ("soft", f64::NAN), ("jumps", 1e12)] {
        let error = Err(ParameterError::InvalidValue);
        assert_eq!(parameters.set(former, value), error, "{former} {value}");
    }
}
