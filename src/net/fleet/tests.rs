//! The part of a relay in its fleet, without sockets.

use super::setup::KEY_LEAST;
use super::*;
use crate::config::operator::FleetVoter;
use crate::decision_service::Hooks;
use crate::decisions::api::Settings;
use crossbeam_channel::bounded;
use std::path::PathBuf;

fn setup(dir: &Path, jobs: operator::Jobs) -> Setup {
    let voter = FleetVoter {
        number: 1,
        address: ([127, 0, 0, 1], 1).into(),
        listen: None,
    };
    let fleet = operator::Fleet {
        id: "f".into(),
        directory: dir.into(),
        keys: PathBuf::new(),
        voter: None,
        voters: vec![voter],
        alone: operator::LeaderlessMode::Serve,
        lease_ms: 2_000,
        patience_ms: 10_000,
        jobs,
    };
    Setup {
        fleet,
        keys: vec![vec![7; KEY_LEAST]],
        directory: dir.into(),
    }
}

/// One whose settings allow no probes, and that wants the load watch only, once could do jobs of every kind.
#[test]
fn a_relay_takes_the_jobs_that_its_file_and_settings_let_it_do_and_no_others() {
    let dir = tempfile::tempdir().unwrap();
    let kinds = |load_watch, paced_moves, probes| {
        let jobs = operator::Jobs {
            load_watch,
            paced_moves,
            compact_updates: false,
        };
        let (watch, (probe, _)) = (Box::new(|_| ()), bounded(1));
        let decisions = DecisionService::new(
            Settings::default(),
            1,
            Vec::new(),
            Hooks {
                watch_endpoint_list: watch,
                check_health: probe,
            },
        );
        let mut fleet =
            Fleet::open(setup(dir.path(), jobs), "n1", Rules::default(), decisions).unwrap();
        let (zones, columns) = (vec!["a".into(), "b".repeat(90)], vec!["x0".into()]);
        let (directory, book) = (Arc::default(), Arc::default());
        fleet.work_with(JobResources {
            directory,
            zones,
            columns,
            zone: 0,
            probes,
            book,
        });
        let mut renew = jaspermoor_control::wire::message::RenewRequest::default();
        fleet.lease_client.owner()?.fill_request(&mut renew);
        Some((
            renew.capabilities.kinds.join(" "),
            renew.capabilities.expected_jobs.join(" "),
        ))
    };
    let some = |kinds: &str, opens: &str| Some((kinds.to_string(), opens.to_string()));
    assert_eq!(kinds(false, false, true), None);
    assert_eq!(kinds(true, false, false), None, "it may not probe");
    assert_eq!(
        kinds(true, false, true),
        some("load", "load/a"),
        "the other zone's name is too long"
    );
    assert_eq!(kinds(true, true, false), some("moves", "moves"));
    assert_eq!(kinds(true, true, true), some("load moves", "load/a moves"));
}

/// A relay of an older build comes back to a policy that it does not know: it once logged that it refuses clients,
/// and served them under its own rules.
#[test]
fn nobody_is_admitted_under_a_policy_that_this_build_does_not_understand() {
    let dir = tempfile::tempdir().unwrap();
    let setup = setup(dir.path(), operator::Jobs::default());
    let (watch, (probe, _)) = (Box::new(|_| ()), bounded(1));
    let decisions = DecisionService::new(
        Settings::default(),
        1,
        Vec::new(),
        Hooks {
            watch_endpoint_list: watch,
            check_health: probe,
        },
    );
    let open = || Fleet::open(setup.clone(), "n1", Rules::default(), decisions.clone()).unwrap();
    let policy = |epoch, text: &str| Policy {
        epoch,
        text: text.into(),
        ..Policy::default()
    };
    let mut fleet = open();
    assert!(decisions.may_admit());
    fleet.adopt(&policy(1, "[of_a_later_build]"));
    fleet.publish();
    assert!(!decisions.may_admit());
    // Nor after a restart, with that policy on its disk.
    drop(fleet);
    let mut fleet = open();
    assert!(!decisions.may_admit());
    fleet.adopt(&policy(2, "[parameters]\nepsilon = 1.5"));
    fleet.publish();
    assert!(decisions.may_admit());
}
