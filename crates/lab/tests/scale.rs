//! Runs of a whole fleet as a program: its last line, its results, what it refuses, and that nothing outlives it.

use jaspermoor_lab::scale::record::{read, Record};
use jaspermoor_lab::until;
use procfs::process::{all_processes, Process};
use rustix::process::{kill_process, Pid, Signal};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

fn scale(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jaspermoor-lab"));
    command
        .arg("scale")
        .args(words)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).to_string()
}

fn call(words: &[&str]) -> Output {
    scale(words).output().unwrap()
}

#[test]
fn a_small_run_keeps_its_rules_and_ends_with_its_line() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("runs.jsonl").display().to_string();
    let size = [
        "--relays",
        "8",
        "--voters",
        "3",
        "--real",
        "1",
        "--jobs",
        "1",
        "--changes",
        "2",
        "--seconds",
        "1",
    ];
    let output = call(&[&["run"], &size[..], &["--label", "small", "--json", &file]].concat());
    let (said, errors) = (text(&output.stdout), text(&output.stderr));
    assert!(output.status.success(), "{said}{errors}");
    let line = said.lines().last().unwrap();
    assert!(
        line.starts_with("scale: relays 8, relay ") && line.ends_with(", rules broken 0"),
        "{line}"
    );
    let parts = [
        " KB/s ",
        "% core ",
        " MB, voter ",
        ", in force p50 ",
        " s worst ",
        ", closed p50 ",
    ];
    assert!(parts.iter().all(|part| line.contains(part)), "{line}");
    let records = read(Path::new(&file)).unwrap();
    let [Record::Scale(run)] = &records[..] else {
        panic!("{records:?}")
    };
    assert_eq!(
        (
            run.plan.hollow(),
            run.changes.len(),
            run.steady.voters.len()
        ),
        (4, 2, 3)
    );
    let relay = &run.steady.hollow_mean.per_second;
    assert!(
        relay.sent["renew"].messages > 0.0 && relay.received["reply"].bytes > 0.0,
        "{relay:?}"
    );
    assert!(
        run.steady
            .voters
            .iter()
            .all(|voter| voter.per_second.bytes() > 0.0),
        "{:?}",
        run.steady.voters
    );
    // Both changes closed each of the eight for a moment.
    assert!(
        run.closed.p50_ms > 0.0 && run.in_force.worst_ms >= run.closed.p50_ms,
        "{run:?}"
    );
    let fitted = call(&["fit", &file]);
    assert!(
        text(&fitted.stdout).contains("### Runs: small"),
        "{}",
        text(&fitted.stdout)
    );
}

#[test]
fn what_cannot_be_run_is_named_in_one_sentence() {
    let dir = tempfile::tempdir().unwrap();
    let other = dir.path().join("other.txt");
    std::fs::write(&other, "not a result\n").unwrap();
    let (other, missing) = (
        other.display().to_string(),
        dir.path().join("none").display().to_string(),
    );
    let cases: [(&[&str], &str); 14] = [
        (
            &["run", "--relays", "8"],
            "--relays: is 8, below 5 voters and 4 real relays together",
        ),
        (
            &["run", "--relays", "2001"],
            "--relays: is 2001, above 2000",
        ),
        (&["run", "--voters", "0"], "--voters: is 0, outside 1 to 7"),
        (&["run", "--real", "51"], "--real: is 51, above 50"),
        (&["run", "--jobs", "7"], "--jobs: is 7, above 6"),
        (&["run", "--changes", "101"], "--changes: is 101, above 100"),
        (
            &["run", "--seconds", "0"],
            "--seconds: is 0, outside 1 to 600",
        ),
        (
            &["run", "--backends", "4"],
            "--backends: is 4, outside 5 to 1000",
        ),
        (
            &["run", "--faults", "fire"],
            "--faults: 'fire' is none of none, leader-killed",
        ),
        (
            &["run", "--relays", "9", "--faults", "zone-lost"],
            "--faults: 'zone-lost' wants at least 5 hollow",
        ),
        (
            &["run", "--json", &other],
            "other.txt:1: is not a result of a run",
        ),
        (&["fit", &missing], "none: cannot be read"),
        (&["fit"], "FILE: at least one file with results is wanted"),
        (&["run", "--relays", "many"], "many"),
    ];
    for (words, says) in cases {
        let output = call(words);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{words:?}: {said}");
        assert!(
            said.contains(says) && output.stdout.is_empty(),
            "{words:?}: {said}"
        );
    }
}

#[test]
fn a_page_that_differs_from_the_results_is_found() {
    let dir = tempfile::tempdir().unwrap();
    let (page, results) = (dir.path().join("page.md"), dir.path().join("results.jsonl"));
    let record = jaspermoor_lab::scale::record::StandingRecord {
        connections: 7,
        ..Default::default()
    };
    jaspermoor_lab::scale::record::append(&results, &Record::Standing(record)).unwrap();
    std::fs::write(
        &page,
        "<!-- scale fit: begin -->\n<!-- scale fit: end -->\n",
    )
    .unwrap();
    let (page, results) = (page.display().to_string(), results.display().to_string());
    let check = || {
        call(&["fit", &results, "--page", &page, "--check"])
            .status
            .code()
    };
    assert_eq!(check(), Some(1));
    assert!(call(&["fit", &results, "--page", &page]).status.success());
    assert_eq!(check(), Some(0));
}

/// A run that goes on for long, and the processes that it has started.
struct Long {
    run: Child,
    started: Vec<Process>,
    directory: PathBuf,
}

impl Long {
    /// Starts it, and waits until all its processes are there: three voters, a relay, five processes of hollow relays and
    /// the guard.
    fn start() -> Long {
        let size = [
            "--relays",
            "9",
            "--voters",
            "3",
            "--real",
            "1",
            "--jobs",
            "0",
            "--seconds",
            "600",
        ];
        let run = scale(&[&["run"], &size[..]].concat()).spawn().unwrap();
        let started = until("all processes of the run", || {
            let started = children(run.id());
            let hosts = started
                .iter()
                .filter(|process| words(process).contains(&"host".to_string()))
                .count();
            (hosts == 5).then_some(started)
        });
        let directory = started.iter().find_map(|process| {
            let words = words(process);
            words
                .iter()
                .any(|word| word == "guard")
                .then(|| PathBuf::from(words.last().unwrap()))
        });
        Long {
            run,
            started,
            directory: directory.unwrap(),
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.run.id() as i32).unwrap(), signal).unwrap();
    }

    fn all_have_ended(&self) {
        until("the end of all processes", || {
            self.started
                .iter()
                .all(|process| !runs(process))
                .then_some(())
        });
        until("the end of the directory", || {
            (!self.directory.exists()).then_some(())
        });
    }
}

fn children(of: u32) -> Vec<Process> {
    let own = |process: &Process| process.stat().is_ok_and(|stat| stat.ppid == of as i32);
    all_processes().unwrap().flatten().filter(own).collect()
}

/// Whether it still runs: one that nobody has taken note of yet does not.
fn runs(process: &Process) -> bool {
    process.stat().is_ok_and(|stat| stat.state != 'Z')
}

fn words(process: &Process) -> Vec<String> {
    process.cmdline().unwrap_or_default()
}

#[test]
fn an_interrupted_run_ends_all_that_it_started() {
    for signal in [Signal::Int, Signal::Term] {
        let mut long = Long::start();
        long.signal(signal);
        let status = long.run.wait().unwrap();
        assert_eq!(status.code(), Some(1));
        // They have ended before the run has, and so has its directory.
        assert!(long.started.iter().all(|process| !runs(process)));
        long.all_have_ended();
    }
}

#[test]
fn nothing_outlives_a_run_that_was_killed() {
    let mut long = Long::start();
    long.signal(Signal::Kill);
    long.run.wait().unwrap();
    long.all_have_ended();
}
