use super::*;

fn relay(number: usize) -> RelayId {
    RelayId {
        name: format!("n{number}"),
        incarnation: 1,
    }
}

fn jobs(count: usize) -> Jobs {
    let mut jobs = Jobs::default();
    jobs.apply(JobChange::Open(
        (0..count).map(|number| format!("job-{number}")).collect(),
    ));
    jobs
}

fn assignments(jobs: &Jobs, relays: &[RelayId]) -> Vec<(String, RelayId)> {
    let workers: Vec<_> = relays
        .iter()
        .map(|relay| (relay.clone(), JobCapabilities::default()))
        .collect();
    jobs.assignments(&workers, |_| false)
}

fn assign_all(jobs: &mut Jobs, relays: &[RelayId]) {
    loop {
        let assignments = assignments(jobs, relays);
        if assignments.is_empty() {
            break;
        }
        jobs.apply(JobChange::Assign(assignments));
    }
}

#[test]
fn tokens_only_grow_and_entries_of_a_former_owner_are_ignored() {
    let mut jobs = jobs(1);
    let name = "job-0".to_string();
    let job_0 = |jobs: &Jobs| jobs.by_name["job-0"].clone();
    jobs.apply(JobChange::Assign(vec![(name.clone(), relay(1))]));
    jobs.apply(JobChange::Assign(vec![(name.clone(), relay(2))]));
    assert_eq!(
        (job_0(&jobs).owner, job_0(&jobs).token),
        (Some(relay(1)), 1),
        "one owner at a time"
    );
    jobs.apply(JobChange::Checkpoint(name.clone(), 1, 1, vec![7]));
    jobs.apply(JobChange::Checkpoint(name.clone(), 1, 3, vec![9]));
    jobs.apply(JobChange::Revoke(vec![(
        name.clone(),
        1,
        "operators".into(),
    )]));
    assert_eq!(jobs.owned_by(&relay(1)), []);
    jobs.apply(JobChange::Release(vec![(name.clone(), 1)]));
    assert_eq!(
        assignments(&jobs, &[relay(1), relay(2)]),
        [(name.clone(), relay(2))],
        "a relay other than the former owner is preferred"
    );
    jobs.apply(JobChange::Assign(vec![(name.clone(), relay(2))]));
    // Late entries that name the former owner's token.
    jobs.apply(JobChange::Release(vec![(name.clone(), 1)]));
    jobs.apply(JobChange::Checkpoint(name.clone(), 1, 2, vec![8]));
    let job = job_0(&jobs);
    assert_eq!(
        (job.owner, job.token, job.checkpoint_step, job.checkpoint),
        (Some(relay(2)), 2, 1, vec![7])
    );
    jobs.apply(JobChange::Hold(name.clone(), true));
    jobs.apply(JobChange::Release(vec![(name, 2)]));
    assert_eq!(assignments(&jobs, &[relay(1)]), []);
}

#[test]
fn no_relay_exceeds_its_share_and_few_jobs_move_when_a_relay_joins() {
    let mut jobs = jobs(1_000);
    let relays: Vec<RelayId> = (0..10).map(relay).collect();
    assign_all(&mut jobs, &relays[..9]);
    let before = jobs.clone();
    let max_per_relay = relays
        .iter()
        .map(|relay| jobs.owned_by(relay).len())
        .max()
        .unwrap();
    assert!(
        max_per_relay <= 139,
        "{max_per_relay} of 1,000 at one of 9 relays"
    );
    // A relay joins: only the jobs above the new share are revoked.
    let mut moved = 0;
    loop {
        let excess = jobs.excess_jobs(relays.len());
        if excess.is_empty() {
            break;
        }
        moved += excess.len();
        let releases = excess
            .iter()
            .map(|(name, token, _)| (name.clone(), *token))
            .collect();
        jobs.apply(JobChange::Revoke(excess));
        jobs.apply(JobChange::Release(releases));
        assign_all(&mut jobs, &relays);
    }
    assert!(moved < 200, "{moved} moved");
    assert!(relays.iter().all(|relay| jobs.owned_by(relay).len() <= 125));
    assert!(
        before
            .by_name
            .iter()
            .filter(|(name, job)| jobs.by_name[*name].owner == job.owner)
            .count()
            >= 800
    );
}

#[test]
fn a_job_goes_to_a_relay_that_supports_it_preferably_in_its_zone() {
    let mut jobs = Jobs::default();
    jobs.apply(JobChange::Open(vec![
        "load/a".into(),
        "load/b".into(),
        "moves".into(),
    ]));
    let capabilities = |kinds: &[&str], zone: &str| JobCapabilities {
        kinds: kinds.iter().map(|kind| kind.to_string()).collect(),
        expected_jobs: Vec::new(),
        zone: zone.into(),
    };
    let workers: Vec<_> = (0..8)
        .map(|n| {
            (
                relay(n),
                capabilities(&["load"], if n < 4 { "a" } else { "b" }),
            )
        })
        .collect();
    let assignments = jobs.assignments(&workers, |_| false);
    let is_in_its_zone = |name: &str, assignments: &[(String, RelayId)]| {
        let (_, owner) = assignments.iter().find(|(job, _)| job == name).unwrap();
        workers
            .iter()
            .any(|(relay, capabilities)| relay == owner && capabilities.is_local(name))
    };
    assert_eq!(assignments.len(), 2, "no relay supports moves");
    assert!(is_in_its_zone("load/a", &assignments) && is_in_its_zone("load/b", &assignments));
    // Without a relay in the job's zone, a relay of another zone is assigned. A job that is backing
    // off is not assigned.
    assert_eq!(
        jobs.assignments(&workers[..4], |name| name == "load/a")
            .len(),
        1
    );
}
