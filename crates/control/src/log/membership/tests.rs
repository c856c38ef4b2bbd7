use super::*;

#[test]
fn a_number_is_given_once_and_a_lost_disk_does_not_come_back_under_it() {
    let mut membership = Membership::for_new_fleet(&[1, 2, 3]);
    let add = |number, incarnation| MembershipChange::Add(number, "host:1".into(), incarnation);
    assert!(membership.is_founding());
    membership.founders_met(&BTreeMap::from([(1, 10), (2, 20), (3, 30)]));
    assert!(!membership.is_founding());
    assert!(!membership.is_replaced(3, 30) && membership.is_replaced(3, 31));
    assert!(
        !membership.is_replaced(9, 1),
        "it may have been added by entries that are on their way"
    );
    assert_eq!(
        membership.check(&add(4, 40), &[1, 2]),
        ChangeDecision::Allowed
    );
    membership.apply(&add(4, 40));
    assert!(matches!(
        membership.check(&add(4, 40), &[1, 2]),
        ChangeDecision::InProgress(_)
    ));
    assert!(
        matches!(
            membership.check(&add(5, 50), &[1, 2]),
            ChangeDecision::Rejected(_)
        ),
        "one at a time"
    );
    membership.apply(&MembershipChange::Promote(4));
    assert_eq!(membership.check(&add(4, 40), &[1, 2]), ChangeDecision::Done);
    assert!(matches!(
        membership.check(&add(4, 41), &[1, 2]),
        ChangeDecision::Rejected(_)
    ));
    assert_eq!(
        membership.check(&MembershipChange::Remove(3), &[1, 2]),
        ChangeDecision::Allowed
    );
    membership.apply(&MembershipChange::Remove(3));
    assert!(membership.is_replaced(3, 30));
    assert_eq!(
        membership.check(&MembershipChange::Remove(3), &[1, 2]),
        ChangeDecision::Done
    );
    assert!(
        matches!(membership.check(&add(3, 32), &[1, 2]), ChangeDecision::Rejected(why) if why.ends_with("the next is 5"))
    );
}

#[test]
fn no_voter_is_removed_whose_loss_would_leave_no_majority() {
    let mut membership = Membership::for_new_fleet(&[1, 2, 3]);
    assert!(
        matches!(
            membership.check(&MembershipChange::Remove(1), &[1, 2]),
            ChangeDecision::Rejected(_)
        ),
        "2 alone of 2 and 3"
    );
    assert_eq!(
        membership.check(&MembershipChange::Remove(3), &[1, 2]),
        ChangeDecision::Allowed
    );
    // A newcomer that never caught up can go at any time: it has no vote.
    membership.apply(&MembershipChange::Add(4, "host:1".into(), 4));
    assert_eq!(
        membership.check(&MembershipChange::Remove(4), &[1]),
        ChangeDecision::Allowed
    );
}
