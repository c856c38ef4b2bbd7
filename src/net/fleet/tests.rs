//! Tests of the fleet's state without sockets: the jobs that a relay can own, and when it may admit
//! clients.

use super::settings::MIN_KEY_BYTES;
use super::*;
use crate::config::operator::FleetVoter;
use crate::decision_service::Hooks;
use crate::decisions::api::Settings;
use crossbeam_channel::bounded;
use jaspermoor_control::wire::message::RenewRequest;
use std::path::PathBuf;

fn settings(dir: &Path, jobs: operator::Jobs) -> FleetSettings {
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
    FleetSettings {
        fleet,
        keys: vec![vec![7; MIN_KEY_BYTES]],
        directory: dir.into(),
    }
}

/// A decision service without a relay that uses it.
fn decisions() -> Arc<DecisionService> {
    let (check_health, _) = bounded(1);
    let hooks = Hooks {
        watch_endpoint_list: Box::new(|_| ()),
        check_health,
    };
    DecisionService::new(Settings::default(), 1, Vec::new(), hooks)
}

fn open(settings: FleetSettings, decisions: Arc<DecisionService>) -> Fleet {
    Fleet::open(settings, "n1", PolicyRules::default(), decisions).unwrap()
}

/// Kinds and names of the jobs that a relay offers to own, separated by spaces; none where it
/// offers none. The name of its second zone is too long for a job.
fn offered_jobs(jobs: operator::Jobs, may_check_health: bool) -> Option<(String, String)> {
    let dir = tempfile::tempdir().unwrap();
    let mut fleet = open(settings(dir.path(), jobs), decisions());
    fleet.enable_jobs(JobResources {
        directory: Arc::default(),
        zones: vec!["a".into(), "b".repeat(90)],
        report_columns: vec!["x0".into()],
        own_zone: 0,
        may_check_health,
        load_reports: Arc::default(),
    });
    let mut renewal = RenewRequest::default();
    fleet.lease_client.owner()?.fill_request(&mut renewal);
    let capabilities = renewal.capabilities;
    Some((
        capabilities.kinds.join(" "),
        capabilities.expected_jobs.join(" "),
    ))
}

#[test]
fn a_relay_offers_only_the_jobs_that_its_file_and_settings_allow() {
    let offered = |load_watch, paced_moves, may_check_health| {
        let jobs = operator::Jobs {
            load_watch,
            paced_moves,
            compact_updates: false,
        };
        offered_jobs(jobs, may_check_health)
    };
    let some = |kinds: &str, names: &str| Some((kinds.to_string(), names.to_string()));
    assert_eq!(offered(false, false, true), None);
    assert_eq!(offered(true, false, false), None, "it may not check health");
    assert_eq!(
        offered(true, false, true),
        some("load", "load/a"),
        "the other zone's name is too long"
    );
    assert_eq!(offered(true, true, false), some("moves", "moves"));
    assert_eq!(
        offered(true, true, true),
        some("load moves", "load/a moves")
    );
}

#[test]
fn no_client_is_admitted_under_a_policy_that_this_build_does_not_understand() {
    let dir = tempfile::tempdir().unwrap();
    let settings = settings(dir.path(), operator::Jobs::default());
    let decisions = decisions();
    let policy = |epoch, text: &str| Policy {
        epoch,
        text: text.into(),
        ..Policy::default()
    };
    let mut fleet = open(settings.clone(), decisions.clone());
    assert!(decisions.may_admit());
    fleet.adopt_policy(&policy(1, "[of_a_later_build]"));
    fleet.publish_status();
    assert!(!decisions.may_admit());

    // The same after a restart with that policy on the disk.
    drop(fleet);
    let mut fleet = open(settings, decisions.clone());
    assert!(!decisions.may_admit());

    fleet.adopt_policy(&policy(2, "[parameters]\nepsilon = 1.5"));
    fleet.publish_status();
    assert!(decisions.may_admit());
}
