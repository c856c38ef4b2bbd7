use super::*;

fn proposal(id: ProposalId, base: u64) -> Proposal {
    Proposal {
        id,
        base_epoch: base,
        text: format!("# {id}"),
        author: "operators".into(),
        reason: "a test".into(),
    }
}

fn state_after(commands: &[Command]) -> FleetState {
    let mut state = FleetState::default();
    commands
        .iter()
        .for_each(|command| state.apply(command.clone()));
    state
}

#[test]
fn each_proposal_has_one_outcome_even_if_entries_are_repeated_or_late() {
    let (one, two) = (
        Command::Propose(proposal(1, 0)),
        Command::Propose(proposal(2, 0)),
    );
    let complete = [one.clone(), Command::Seal(1), Command::Commit(1)];
    assert_eq!(
        state_after(&complete).outcome(1),
        Some(&ProposalOutcome::InForce(1))
    );
    // A repeated entry changes nothing.
    assert_eq!(
        state_after(&[&complete[..], &complete[..]].concat()),
        state_after(&complete)
    );
    // Of two proposals at the same time the second is rejected, and the first continues.
    let both = state_after(&[
        one.clone(),
        two.clone(),
        Command::Seal(1),
        Command::Commit(1),
    ]);
    assert!(matches!(
        both.outcome(2),
        Some(ProposalOutcome::Rejected(..))
    ));
    assert_eq!(both.policy.epoch, 1);
    // A sealed proposal cannot be rejected, and a rejected one cannot be sealed.
    let late = [
        one.clone(),
        Command::Seal(1),
        Command::Reject(1, "n1".into(), "no".into()),
    ];
    assert!(matches!(state_after(&late).phase, ProposalPhase::Sealed(_)));
    let rejected = [
        one.clone(),
        Command::Reject(1, "n1".into(), "no".into()),
        Command::Seal(1),
    ];
    assert_eq!(state_after(&rejected).phase, ProposalPhase::Idle);
    assert_eq!(
        state_after(&[one.clone(), Command::Commit(1)]).policy.epoch,
        0,
        "a proposal is not committed before it is sealed"
    );
    // A proposal for another epoch is rejected.
    let stale = [&complete[..], &[Command::Propose(proposal(3, 7))]].concat();
    assert!(matches!(
        state_after(&stale).outcome(3),
        Some(ProposalOutcome::Rejected(..))
    ));
}

#[test]
fn kept_outcomes_and_policies_are_bounded() {
    let mut state = FleetState::default();
    for id in 1..200 {
        for command in [
            Command::Propose(proposal(id, 0)),
            Command::Seal(id),
            Command::Commit(id),
        ] {
            state.apply(command);
        }
    }
    assert_eq!(
        (
            state.history.len(),
            state.outcomes.len(),
            state.policy.epoch
        ),
        (64, 64, 199)
    );
    assert!(state.outcome(199).is_some() && state.outcome(1).is_none());
}
