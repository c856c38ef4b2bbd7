//! The module's size, its line width and what it may not do.

use std::fs;

fn module() -> String {
    fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/logic.rs")).unwrap()
}

#[test]
fn the_module_can_be_read_aloud() {
    let text = module();
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 850, "{lines} lines; 850 at most");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", n + 1);
    }
}

#[test]
fn the_module_names_its_interface_first() {
    assert!(module().lines().take(3).any(|line| line.contains("src/api.rs")));
}

#[test]
fn the_module_does_no_io_and_reads_no_clock() {
    let text = module();
    for word in
        ["std::io", "std::time", "std::thread", "std::env", "HashMap", "HashSet", "static ", "println"]
    {
        assert!(!text.contains(word), "{word}");
    }
}

#[test]
fn the_deploy_file_names_what_is_built() {
    let deploy = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/balancer.toml")).unwrap();
    assert!(deploy.contains("policy = [\"src/logic.rs\"]"));
    assert!(deploy.contains("sim = \"exec target/release/jaspermoor-simhost\""));
}
