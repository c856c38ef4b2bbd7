//! The command line, and what is said of a configuration that cannot be used.

#[allow(dead_code)]
mod peers;

use peers::{config, file, program};

/// Runs a sub-command; what it wrote, and whether it succeeded.
fn run(command: &str, text: &str) -> (String, bool) {
    let path = file(text);
    let output = program(command, &path).output().unwrap();
    std::fs::remove_file(path).unwrap();
    let all = [output.stdout, output.stderr].concat();
    (String::from_utf8(all).unwrap(), output.status.success())
}

#[test]
fn a_sound_configuration_is_described() {
    let (said, good) = run("check", &config("127.0.0.1:9".parse().unwrap(), &[]));
    assert!(good && said.contains("discovery at 127.0.0.1:9"), "{said}");
}

#[test]
fn the_example_of_the_readme_is_sound() {
    let (said, good) = run("check", include_str!("../deploy/example.json"));
    assert!(good && said.contains("1 backends known"), "{said}");
}

#[test]
fn the_version_is_told() {
    let (said, good) = run("version", "");
    assert!(good && said == format!("jaspermoor {}\n", env!("CARGO_PKG_VERSION")), "{said}");
}

#[test]
fn a_faulty_configuration_ends_the_start_and_names_its_key() {
    // (what is replaced, by what, what must be named)
    let cases = [
        ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"none\"", "seed: "),
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "listen: 'here'"),
        ("\"listen\":\"127.0.0.1:0\",", "", "listen: is missing"),
        ("\"sockets\":1024", "\"sockets\":\"many\"", "limits.sockets: is not a number"),
        ("\"sockets\":1024", "\"sockets\":3", "limits.sockets: is 3, outside"),
        ("\"memory_mb\":192", "\"memory_mb\":-1", "limits.memory_mb: is -1, outside"),
        ("\"limits\":{", "\"limits\":7,\"spare\":{", "limits: is not an object"),
        ("\"known\":{\"version\":1", "\"known\":{\"version\":\"x\"", "known.version: "),
        ("\"max_attempts\": 6", "\"max_attempts\": 0", "settings.limits.max_attempts"),
        ("\"name\": \"chat\"", "\"name\": 5", "settings.grades[0].name: is not a text"),
        ("\"zones\": [\"x\", \"y\"]", "\"zones\": [\"x\", 1]", "settings.zones[1]: is not a text"),
        ("\"settings\":{", "\"other\":{", "settings: is missing"),
        ("{\"name\":\"n1\"", "{\"name\":", "BALANCER_CONFIG: is not valid JSON"),
    ];
    let sound = config("127.0.0.1:9".parse().unwrap(), &[]);
    for (from, to, named) in cases {
        assert!(sound.contains(from), "{from}");
        for command in ["check", "serve"] {
            let (said, good) = run(command, &sound.replace(from, to));
            assert!(!good && said.contains(named), "{command} with {to}: {said}");
        }
    }
}
