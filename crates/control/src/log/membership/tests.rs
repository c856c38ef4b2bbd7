use super::*;

#[test]
fn a_number_is_never_reused_and_a_replaced_disk_is_not_a_member() {
    let mut membership = Membership::for_new_fleet(&[1, 2, 3]);
    let add = |number, disk_id| MembershipChange::Add(number, "host:1".into(), disk_id);
    assert!(membership.is_founding());
    membership.record_founders(&BTreeMap::from([(1, 10), (2, 20), (3, 30)]));
    assert!(!membership.is_founding());
    assert!(!membership.is_removed_or_replaced(3, 30) && membership.is_removed_or_replaced(3, 31));
    assert!(
        !membership.is_removed_or_replaced(9, 1),
        "a higher number may have been added by entries that are not applied yet"
    );
    assert_eq!(
        membership.check(&add(4, 40), &[1, 2]),
        ChangeDecision::Allowed
    );
    membership.apply(&add(4, 40));
    assert!(matches!(
        membership.check(&add(4, 40), &[1, 2]),
        ChangeDecision::Learning(4)
    ));
    assert!(
        matches!(
            membership.check(&add(5, 50), &[1, 2]),
            ChangeDecision::Rejected(_)
        ),
        "only one learner at a time"
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
    assert!(membership.is_removed_or_replaced(3, 30));
    assert_eq!(
        membership.check(&MembershipChange::Remove(3), &[1, 2]),
        ChangeDecision::Done
    );
    assert!(
        matches!(membership.check(&add(3, 32), &[1, 2]), ChangeDecision::Rejected(error) if error.to_string().ends_with("the next is 5"))
    );
}

#[test]
fn a_voter_is_not_removed_where_no_active_majority_would_remain() {
    let mut membership = Membership::for_new_fleet(&[1, 2, 3]);
    assert!(
        matches!(
            membership.check(&MembershipChange::Remove(1), &[1, 2]),
            ChangeDecision::Rejected(_)
        ),
        "of voters 2 and 3, only 2 is active"
    );
    assert_eq!(
        membership.check(&MembershipChange::Remove(3), &[1, 2]),
        ChangeDecision::Allowed
    );
    // A learner can be removed at any time.
    membership.apply(&MembershipChange::Add(4, "host:1".into(), 4));
    assert_eq!(
        membership.check(&MembershipChange::Remove(4), &[1]),
        ChangeDecision::Allowed
    );
}
