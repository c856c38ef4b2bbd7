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

fn after(commands: &[Command]) -> FleetState {
    let mut state = FleetState::default();
    commands
        .iter()
        .for_each(|command| state.apply(command.clone()));
    state
}

#[test]
fn each_proposal_has_one_outcome_whatever_entries_are_repeated_or_late() {
    let (one, two) = (
        Command::Propose(proposal(1, 0)),
        Command::Propose(proposal(2, 0)),
    );
    let whole = [one.clone(), Command::Seal(1), Command::Commit(1)];
    assert_eq!(after(&whole).outcome(1), Some(&ProposalOutcome::InForce(1)));
    // A repeated entry changes nothing.
    assert_eq!(after(&[&whole[..], &whole[..]].concat()), after(&whole));
    // The second of two at once is rejected; the first continues.
    let both = after(&[
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
    assert!(matches!(after(&late).phase, ProposalPhase::Sealed(_)));
    let refused = [
        one.clone(),
        Command::Reject(1, "n1".into(), "no".into()),
        Command::Seal(1),
    ];
    assert_eq!(after(&refused).phase, ProposalPhase::Idle);
    assert_eq!(
        after(&[one.clone(), Command::Commit(1)]).policy.epoch,
        0,
        "not before it is sealed"
    );
    // Made for another epoch.
    let stale = [&whole[..], &[Command::Propose(proposal(3, 7))]].concat();
    assert!(matches!(
        after(&stale).outcome(3),
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
