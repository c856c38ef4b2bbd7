use super::*;

fn response_with_jobs(version: u64, jobs: &[(&str, FencingToken)]) -> RenewResponse {
    let assigned = jobs
        .iter()
        .map(|(name, token)| (name.to_string(), *token, 0, Vec::new()))
        .collect();
    RenewResponse {
        jobs: Some(AssignedJobs {
            version,
            jobs: assigned,
        }),
        last_token: Some(9),
        ..RenewResponse::default()
    }
}

#[test]
fn a_relay_acts_only_while_its_lease_is_valid_and_on_jobs_of_its_newest_list() {
    let mut owner = JobOwner::default();
    let timing = FleetTiming::default();
    owner.handle_response(1_000, &response_with_jobs(3, &[("a", 1), ("b", 2)]), timing);
    assert_eq!(
        owner
            .may_act(1_000 + timing.lease_duration - 1, "a")
            .map(|own| own.token),
        Some(1)
    );
    assert!(
        owner.may_act(1_000 + timing.lease_duration, "a").is_none(),
        "the lease starts with the request"
    );
    owner.handle_response(2_000, &response_with_jobs(5, &[("b", 2)]), timing);
    owner.handle_response(2_000, &response_with_jobs(4, &[("a", 1), ("b", 2)]), timing);
    assert!(
        owner.may_act(3_000, "a").is_none(),
        "an older list that arrives late is ignored"
    );
    // A redirect does not renew the lease.
    owner.handle_response(9_000, &RenewResponse::default(), timing);
    assert!(owner.may_act(2_000 + timing.lease_duration, "b").is_none());
}

#[test]
fn a_relinquished_job_is_accepted_again_only_under_a_new_token() {
    let mut owner = JobOwner::default();
    let timing = FleetTiming::default();
    owner.handle_response(0, &response_with_jobs(1, &[("a", 1)]), timing);
    owner.relinquish("a", "it reaches no endpoint");
    owner.handle_response(0, &response_with_jobs(2, &[("a", 1)]), timing);
    assert!(owner.may_act(1, "a").is_none());
    let mut renew = RenewRequest::default();
    owner.fill_request(&mut renew);
    assert_eq!(
        (renew.jobs_version, renew.relinquished),
        (
            Some(2),
            vec![("a".into(), 1, "it reaches no endpoint".into())]
        )
    );
    owner.handle_response(0, &response_with_jobs(4, &[("a", 7)]), timing);
    assert_eq!(owner.may_act(1, "a").map(|own| own.token), Some(7));
}

#[test]
fn a_checkpoint_is_repeated_until_the_log_contains_it() {
    let mut owner = JobOwner::default();
    let timing = FleetTiming::default();
    owner.handle_response(0, &response_with_jobs(1, &[("a", 1)]), timing);
    assert!(
        owner.checkpoint("a", vec![5]) && !owner.checkpoint("a", vec![6]),
        "only one pending checkpoint at a time"
    );
    for _ in 0..2 {
        let mut renew = RenewRequest::default();
        owner.fill_request(&mut renew);
        assert_eq!(renew.checkpoints, [("a".to_string(), 1, 1, vec![5])]);
    }
    owner.handle_response(
        0,
        &RenewResponse {
            checkpoint_steps: vec![("a".into(), 1)],
            last_token: Some(1),
            ..RenewResponse::default()
        },
        timing,
    );
    assert_eq!(
        owner
            .may_act(1, "a")
            .map(|own| (own.checkpoint_step, own.checkpoint.clone())),
        Some((1, vec![5]))
    );
    assert!(owner.checkpoint("a", vec![6]));
}
