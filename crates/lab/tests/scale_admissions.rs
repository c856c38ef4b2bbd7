//! What a run takes for a broken rule, and what for a time without admission, on made-up histories.

use jaspermoor_lab::scale::admissions::{broken_rules, AdmissionLog, RelayHistory, Tenure};

fn admitting(name: &str, admissions: &[(u64, u64, u64)]) -> RelayHistory {
    let mut history = RelayHistory {
        name: name.into(),
        ..RelayHistory::default()
    };
    for (epoch, asked, answered) in admissions {
        history.admissions.admitted(*epoch, *asked, *answered);
    }
    history
}

fn owning(name: &str, tenures: &[(&str, u64, u64)]) -> RelayHistory {
    let tenure = |(job, token, from): &(&str, u64, u64)| Tenure {
        job: job.to_string(),
        token: *token,
        from: *from,
    };
    RelayHistory {
        name: name.into(),
        tenures: tenures.iter().map(tenure).collect(),
        ..RelayHistory::default()
    }
}

#[test]
fn an_admission_under_an_older_policy_after_one_under_a_newer_is_found() {
    let newer = admitting("a", &[(1, 100, 110), (2, 500, 510)]);
    assert_eq!(
        broken_rules(&[
            newer.clone(),
            admitting("b", &[(1, 400, 410), (2, 600, 610)])
        ]),
        [""; 0]
    );
    // One that was asked for before the first under the newer was answered may have been admitted before it.
    assert_eq!(
        broken_rules(&[newer.clone(), admitting("b", &[(1, 509, 700)])]),
        [""; 0]
    );
    assert_eq!(
        broken_rules(&[newer, admitting("b", &[(1, 90, 95), (1, 511, 520)])]),
        ["b admitted under epoch 1 1 us after a had under epoch 2"]
    );
}

#[test]
fn two_owners_of_a_job_are_found() {
    let moved = [
        owning("a", &[("load/a", 3, 10)]),
        owning("b", &[("load/a", 5, 20), ("moves", 4, 5)]),
    ];
    assert_eq!(broken_rules(&moved), [""; 0]);
    let same = [
        owning("a", &[("moves", 3, 10)]),
        owning("b", &[("moves", 3, 20)]),
    ];
    assert_eq!(
        broken_rules(&same),
        ["a and b both act on moves under token 3"]
    );
    let late = [
        owning("a", &[("moves", 3, 30)]),
        owning("b", &[("moves", 5, 20)]),
    ];
    assert_eq!(
        broken_rules(&late),
        ["a began to act on moves under token 3 after b had under 5"]
    );
}

#[test]
fn times_without_admission_lie_between_the_last_and_the_first() {
    let mut log = AdmissionLog::default();
    for (epoch, at) in [
        (0, 1_000),
        (0, 3_000),
        (1, 403_000),
        (1, 405_000),
        (1, 905_000),
    ] {
        log.admitted(epoch, at, at + 100);
    }
    assert_eq!(log.closed_before(1), Some(400.1));
    assert_eq!((log.closed_before(0), log.closed_before(2)), (None, None));
    assert_eq!(log.longest_gap(0, 1_000_000), 500.0);
    assert_eq!(log.longest_gap(0, 300_000), 400.0, "it touches the span");
    assert_eq!(log.first_since(10_000), Some(403_100));
    assert_eq!(log.first_since(0), Some(1_100));
    assert_eq!(log.first_since(2_000_000), None);
}

#[test]
fn cells_are_renumbered_as_epochs_and_what_has_none_is_left_out() {
    let mut log = AdmissionLog::default();
    log.admitted(0, 10, 11);
    log.admitted(7, 20, 21);
    let renumbered = log.renumbered(&[(7, 3)].into());
    assert_eq!(renumbered.spans.keys().copied().collect::<Vec<_>>(), [3]);
}
