//! Fleets of real processes with faults: the fleet's guarantees hold, and the checker finds
//! injected bugs.

use jaspermoor_lab::discovery::{Discovery, Entry};
use jaspermoor_lab::faults::harness::{play, Ground, Played};
use jaspermoor_lab::faults::history::Fact;
use jaspermoor_lab::faults::scenario::{Harm, Scenario, NAMED};
use jaspermoor_lab::line::Backend;
use jaspermoor_lab::relay::{Relay, Setup};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};

fn run(scenario: &Scenario, bug: Option<&str>) -> Played {
    let dir = tempfile::tempdir().unwrap();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_jaspermoor"));
    play(
        &Ground {
            program,
            dir: dir.path().into(),
            bug: bug.map(String::from),
        },
        scenario,
    )
    .unwrap()
}

fn named(name: &str) -> Scenario {
    Scenario::read(NAMED.iter().find(|(n, _)| *n == name).unwrap().1).unwrap()
}

fn assert_no_rule_broken(name: &str) -> Played {
    let played = run(&named(name), None);
    assert!(played.broken.is_empty(), "{name}: {}", played.broken[0]);
    played
}

#[test]
fn a_policy_change_takes_effect_at_all_relays_or_none() {
    let played = assert_no_rule_broken("change");
    // Two of the five proposals are refused: one of two at the same time, and one that no relay
    // understands.
    assert!(played.admitted > 0 && !played.took.is_empty());
}

#[test]
fn a_leader_that_continues_after_a_stop_does_no_harm() {
    assert_no_rule_broken("leader-stopped");
}

#[test]
fn a_majority_that_was_killed_during_a_change_restarts_with_it() {
    assert_no_rule_broken("majority-killed");
}

#[test]
fn a_relay_that_was_offline_admits_no_client_before_it_knows_the_policy() {
    assert_no_rule_broken("observer-away");
}

#[test]
fn with_a_link_cut_one_way_no_relay_admits_clients_under_an_old_policy() {
    assert_no_rule_broken("one-way");
}

/// Asserts that a relay's log contains a text: without it the fault did not happen, and the test
/// shows nothing.
fn assert_logged(played: &Played, relay: usize, text: &str) {
    let mut lines = played
        .logs
        .iter()
        .filter(|(of, _)| *of == relay)
        .flat_map(|(_, lines)| lines);
    assert!(
        lines.any(|line| line.contains(text)),
        "n{relay} never logged: {text}"
    );
}

#[test]
fn a_voter_with_a_lost_disk_is_replaced_and_a_removed_voter_does_no_harm() {
    let played = assert_no_rule_broken("voter-replaced");
    assert_logged(&played, 0, "there is no ledger of voter 1");
    assert_logged(&played, 1, "this voter was removed");
}

#[test]
fn voters_with_new_ledgers_found_no_second_fleet() {
    let played = assert_no_rule_broken("voter-remade");
    assert_logged(&played, 0, "or its ledger made anew");
    assert_logged(&played, 1, "or its ledger made anew");
}

#[test]
fn a_relay_with_a_full_or_damaged_disk_stops_voting_and_continues_to_serve() {
    let played = assert_no_rule_broken("disk-full");
    assert_logged(&played, 0, "no space left on device");
    assert_logged(&played, 3, "no space left on device");
    assert_logged(
        &assert_no_rule_broken("torn-tail"),
        1,
        "is damaged, and is left as it is; this relay does not vote",
    );
}

#[test]
fn processes_that_end_between_two_durable_steps_restart_under_one_policy() {
    let played = assert_no_rule_broken("between-steps");
    for (relay, point) in [
        (3, "before-prepare"),
        (0, "after-store"),
        (1, "after-adopt"),
        (3, "after-prepare"),
    ] {
        assert_logged(&played, relay, &format!("ends at the fail point {point}"));
    }
}

#[test]
fn with_links_slower_than_a_lease_and_with_a_key_change_there_is_one_policy() {
    assert_no_rule_broken("bad-network");
    assert_no_rule_broken("key-change");
}

#[test]
fn a_change_during_an_upgrade_that_hands_over_sockets_takes_effect() {
    assert_no_rule_broken("upgrades");
}

#[test]
fn relays_of_three_builds_agree_and_the_oldest_refuses_unknown_settings_by_name() {
    let played = assert_no_rule_broken("two-builds");
    let count = |part: &str| {
        played
            .history
            .iter()
            .filter(|l| matches!(&l.fact, Fact::Fault { text } if text.contains(part)))
            .count()
    };
    assert_eq!(
        (count(": refused after"), count(": in-force after")),
        (1, 3),
        "{:?}",
        played.history.last()
    );
}

#[test]
fn a_job_that_its_owner_lost_gets_another_and_no_earlier_order_is_obeyed() {
    let played = assert_no_rule_broken("owners-harmed");
    let harmed: Vec<Harm> = played.taken.iter().map(|(harm, _)| *harm).collect();
    assert_eq!(harmed, Harm::ALL, "a fault hit a relay that owned no job");
}

#[test]
fn an_owner_stopped_between_its_lease_check_and_its_order_is_refused_by_voters_and_relays() {
    let asleep = named("owner-asleep");
    let played = run(&asleep, None);
    assert!(played.broken.is_empty(), "{}", played.broken[0]);
    let refused = |(_, lines): &(usize, Vec<String>)| {
        lines
            .iter()
            .any(|line| line.contains(": this relay no longer acts on it"))
    };
    assert!(
        played.logs.iter().any(refused),
        "no voter has answered the order with a newer token"
    );
    let played = run(&asleep, Some("no-fence"));
    assert!(
        played.broken.iter().any(|b| b.rule == "fenced"),
        "{:?}",
        played.broken
    );
}

#[test]
fn a_group_migrates_once_at_the_fleets_pace_although_the_pacing_relay_is_killed_and_stopped() {
    let played = assert_no_rule_broken("paced-moves");
    let moves = played
        .history
        .iter()
        .filter(|line| matches!(line.fact, Fact::Moved { .. }))
        .count();
    assert!(moves >= 60, "{moves} of 60 clients and two changes");
}

/// A relay is cut off during a whole change. Each injected bug removes one of the rules that keep
/// it from admitting clients under the old policy, and the checker must find that.
#[test]
fn injected_bugs_are_found_in_the_histories_of_real_processes() {
    let scenario = |restart: &str| {
        let text = format!(
            "about = 'a relay is cut off through a change'\nvoters = 3\nobservers = 1\n\
             [[step]]\nat_ms = 300\ndo = 'cut'\nrelay = 3\nout = true\nback = true\nheld = true\nfor_ms = 5000\n\
             [[step]]\nat_ms = 400\ndo = 'propose'\n[[step]]\nat_ms = 400\ndo = 'await'\n{restart}"
        );
        Scenario::read(&text).unwrap()
    };
    let restart = "[[step]]\nat_ms = 500\ndo = 'kill'\nrelay = 3\nfor_ms = 100\n";
    assert!(run(&scenario(restart), None).broken.is_empty());
    for (bug, steps) in [("ignore-lease", ""), ("lease-survives-restart", restart)] {
        let played = run(&scenario(steps), Some(bug));
        assert!(
            played.broken.iter().any(|b| b.rule == "one policy"),
            "{bug}: {:?}",
            played.broken
        );
    }
}

/// A relay of a fleet whose voters cannot be reached, with this value of the setting `alone`.
fn relay_without_voters(dir: &Path, discovery: &Discovery, alone: &str) -> Relay {
    std::fs::write(
        dir.join("fleet.key"),
        "a key of a test, and long enough to be one of a fleet",
    )
    .unwrap();
    // Nothing listens on port 1 of the loopback addresses.
    let fleet = format!(
        "[fleet]\nid = 'f'\ndirectory = 'ledger'\nkeys = 'fleet.key'\nalone = '{alone}'\n\
         [[fleet.voters]]\nnumber = 1\naddress = '127.0.0.1:1'\n"
    );
    let setup = Setup {
        program: PathBuf::from(env!("CARGO_BIN_EXE_jaspermoor")),
        dir: dir.into(),
        name: format!("alone-{alone}"),
        discovery: discovery.addr,
        known: discovery.entries(),
        operator: Some(fleet),
        sockets: 1024,
        replace: Vec::new(),
        listen: None,
        core: None,
        held: None,
        bug: None,
        build: None,
        fail_points: None,
    };
    Relay::start(&setup).unwrap()
}

/// The answer to a client's request.
fn request_connection(relay: &Relay) -> String {
    let mut client = TcpStream::connect(relay.addr).unwrap();
    client.write_all(b"OPEN 1 7f c=chat,d=1000\r\n").unwrap();
    let mut answer = String::new();
    BufReader::new(client).read_line(&mut answer).unwrap();
    answer.trim_end().into()
}

#[test]
fn without_voters_a_relay_rejects_clients_and_is_not_ready_or_serves_as_configured() {
    let dir = tempfile::tempdir().unwrap();
    let backend = Backend::start(None).unwrap();
    let discovery = Discovery::start(None, &[Entry::active("s-1", backend.addr)]).unwrap();
    let refusing = relay_without_voters(dir.path(), &discovery, "refuse");
    assert_eq!(request_connection(&refusing), "BUSY 250");
    assert_eq!(refusing.call("GET", "/control/ready").unwrap().0, 503);
    drop(refusing);
    let serving = relay_without_voters(dir.path(), &discovery, "serve");
    assert_eq!(request_connection(&serving), "UP lab-1");
    assert_eq!(serving.call("GET", "/control/ready").unwrap().0, 200);
}
