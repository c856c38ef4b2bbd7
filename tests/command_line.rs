//! The command line: output of `check` and `version`, errors for invalid configurations and
//! operator files, and the log format.

#[allow(dead_code)]
mod peers;

use peers::{config, file, program};

/// Runs a sub-command with a configuration; returns its output, and whether it succeeded.
fn run(command: &str, config_text: &str) -> (String, bool) {
    let path = file(config_text);
    let output = program(command, &path).output().unwrap();
    std::fs::remove_file(path).unwrap();
    let all = [output.stdout, output.stderr].concat();
    (String::from_utf8(all).unwrap(), output.status.success())
}

#[test]
fn check_summarizes_a_valid_configuration() {
    let (output_text, success) = run("check", &config("127.0.0.1:9".parse().unwrap(), &[]));
    assert!(
        success && output_text.contains("discovery at 127.0.0.1:9"),
        "{output_text}"
    );
}

#[test]
fn the_example_configuration_is_valid() {
    let (output_text, success) = run("check", include_str!("../deploy/example.json"));
    assert!(
        success && output_text.contains("1 backends known"),
        "{output_text}"
    );
}

#[test]
fn version_prints_the_version() {
    let (output_text, success) = run("version", "");
    assert!(
        success && output_text == format!("jaspermoor {}\n", env!("CARGO_PKG_VERSION")),
        "{output_text}"
    );
}

#[test]
fn an_invalid_configuration_is_rejected_with_the_name_of_its_key() {
    // (original text, replacement, text that the error must contain)
    let cases = [
        (
            "\"seed\":\"8c1f30d27a5be964\"",
            "\"seed\":\"none\"",
            "seed: ",
        ),
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "listen: 'here'",
        ),
        ("\"listen\":\"127.0.0.1:0\",", "", "listen: is missing"),
        (
            "\"sockets\":1024",
            "\"sockets\":\"many\"",
            "limits.sockets: is not a number",
        ),
        (
            "\"sockets\":1024",
            "\"sockets\":3",
            "limits.sockets: is 3, outside",
        ),
        (
            "\"memory_mb\":192",
            "\"memory_mb\":-1",
            "limits.memory_mb: is -1, outside",
        ),
        (
            "\"limits\":{",
            "\"limits\":7,\"spare\":{",
            "limits: is not an object",
        ),
        (
            "\"known\":{\"version\":1",
            "\"known\":{\"version\":\"x\"",
            "known.version: ",
        ),
        (
            "\"max_attempts\": 6",
            "\"max_attempts\": 0",
            "settings.limits.max_attempts",
        ),
        (
            "\"name\": \"chat\"",
            "\"name\": 5",
            "settings.grades[0].name: is not a text",
        ),
        (
            "\"zones\": [\"x\", \"y\"]",
            "\"zones\": [\"x\", 1]",
            "settings.zones[1]: is not a text",
        ),
        ("\"settings\":{", "\"other\":{", "settings: is missing"),
        (
            "{\"name\":\"n1\"",
            "{\"name\":",
            "BALANCER_CONFIG: is not valid JSON",
        ),
    ];
    let valid = config("127.0.0.1:9".parse().unwrap(), &[]);
    for (from, to, expected_error) in cases {
        assert!(valid.contains(from), "{from}");
        for command in ["check", "serve"] {
            let (output_text, success) = run(command, &valid.replace(from, to));
            assert!(
                !success && output_text.contains(expected_error),
                "{command} with {to}: {output_text}"
            );
        }
    }
}

/// Runs a sub-command with an operator file; returns its output, and whether it succeeded.
fn run_with_operator_file(args: &[&str], operator: &str) -> (String, bool) {
    let (path, config) = (
        file(operator),
        file(&config("127.0.0.1:9".parse().unwrap(), &[])),
    );
    let mut command = program(args[0], &config);
    let output = command
        .args(&args[1..])
        .arg("--operator")
        .arg(&path)
        .output()
        .unwrap();
    let all = [output.stdout, output.stderr].concat();
    [path, config]
        .into_iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
    (String::from_utf8(all).unwrap(), output.status.success())
}

#[test]
fn an_invalid_operator_file_is_rejected_with_line_and_key() {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operator-check");
    let authority = jaspermoor_lab::certs::Authority::new(&dir).unwrap();
    let pair = authority
        .leaf("a", "a.example", jaspermoor_lab::certs::Valid::Long)
        .unwrap();
    let valid = jaspermoor_lab::demo::operator("a.example", &pair);
    let (output_text, success) = run_with_operator_file(&["check"], &valid);
    assert!(
        success && output_text.contains("XMPP for a.example"),
        "{output_text}"
    );
    assert!(run_with_operator_file(&["check"], "").1);
    let cases = [
        (
            "listen = \"127.0.0.1:0\"",
            "listen = 7",
            ":2: xmpp.listen: ",
        ),
        (
            "name = \"a.example\"",
            "name = \"a b\"",
            ":6: xmpp.domain[0].name: 'a b' is no domain",
        ),
        (
            "name = \"a.example\"",
            "name = \"b.example\"",
            ":7: xmpp.domain[0].certificate: ",
        ),
        ("a.key", "none.key", ":8: xmpp.domain[0].key: "),
        (
            "class = \"chat\"",
            "class = \"none\"",
            ":11: xmpp.class[0].class: 'none' is none of chat",
        ),
        (
            "deadline_ms = 5000",
            "deadline_ms = 0",
            ":12: xmpp.class[0].deadline_ms: is 0, outside 1",
        ),
        (
            "deadline_ms = 5000",
            "local = \"x*\"",
            "xmpp.class[0]: the last class fits some sessions only",
        ),
        (
            "[[xmpp.class]]",
            "[xmpp.times]\nstep_ms = 1\n[[xmpp.class]]",
            ":11: xmpp.times.step_ms: is 1, outside 10",
        ),
        (
            "[[xmpp.class]]",
            "[xmpp.servers]\nsecurity = \"tls\"\n[[xmpp.class]]",
            "xmpp.servers.ca: is missing",
        ),
        (
            "[xmpp]",
            "[xmpp]\nmechanisms = [\"EXTERNAL\"]",
            ":2: xmpp.mechanisms: 'EXTERNAL'",
        ),
        (
            "[xmpp]",
            "[xmpp]\ngroup = \"site\"",
            ":2: xmpp.group: 'site' is none of",
        ),
        ("[xmpp]", "[xmp]", ":1: xmp: unknown field `xmp`"),
        (
            "[xmpp]",
            "[parameters]\nepsilom = 1\n[xmpp]",
            ":2: parameters.epsilom: no parameter",
        ),
        (
            "[xmpp]",
            "[fleet]\nid = 'f'\ndirectory = 'd'\nkeys = 'none'\nvoters = []\n[xmpp]",
            ":5: fleet.voters: needs one to seven voters",
        ),
    ];
    for (from, to, expected_error) in cases {
        assert!(valid.contains(from), "{from}");
        for command in ["check", "serve"] {
            let (output_text, success) =
                run_with_operator_file(&[command], &valid.replace(from, to));
            assert!(
                !success && output_text.contains(expected_error),
                "{command} with {to}: {output_text}"
            );
        }
    }
}

#[test]
fn the_example_operator_file_is_valid_and_has_every_key() {
    let text = include_str!("../deploy/operator.example.toml");
    // The certificate does not exist: everything that is checked before it is valid.
    let (output_text, success) = run_with_operator_file(&["check"], text);
    assert!(
        !success && output_text.contains("xmpp.domain[0].certificate: "),
        "{output_text}"
    );
    // The keys that are commented out must be valid as well.
    let uncommented: String = text
        .lines()
        .map(|l| {
            l.strip_prefix("# ")
                .filter(|l| l.split(' ').nth(1) == Some("="))
                .unwrap_or(l)
                .to_string()
                + "\n"
        })
        .collect();
    let (output_text, _) = run_with_operator_file(&["check"], &uncommented);
    assert!(
        output_text.contains("xmpp.domain[0].certificate: "),
        "{output_text}"
    );
    for key in [
        "listen",
        "listen_tls",
        "mechanisms",
        "group",
        "see_other_host",
        "security",
        "ca",
        "port",
        "header_bytes",
        "stanza_bytes",
        "token_bytes",
        "depth",
        "attributes",
        "step_ms",
        "negotiation_ms",
        "finish_ms",
        "silent_ms",
        "domain",
        "local",
        "resource",
        "deadline_ms",
        "no_server",
        "borrow_most",
        "retry_after_ms",
        "moves_per_second",
        "least_servers",
        "most_servers",
        "weight",
        "servers",
        "quarantine",
        "key",
        "cell",
    ] {
        assert!(
            uncommented
                .lines()
                .any(|l| l.starts_with(&format!("{key} = "))),
            "{key} is missing"
        );
    }
}

#[test]
fn log_format_json_writes_json_lines() {
    let path = file(&config("127.0.0.1:9".parse().unwrap(), &[]));
    let mut child = program("serve", &path)
        .args(["--log-format", "json", "--log", "info"])
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    std::io::BufRead::read_line(
        &mut std::io::BufReader::new(child.stderr.take().unwrap()),
        &mut line,
    )
    .unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert!(
        value["message"].is_string() && value["level"] == "INFO" && value["timestamp"].is_string(),
        "{line}"
    );
    std::fs::remove_file(path).unwrap();
}
