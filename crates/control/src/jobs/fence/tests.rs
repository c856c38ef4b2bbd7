use super::*;

#[test]
fn stale_tokens_are_rejected_also_by_a_receiver_that_just_started() {
    let mut fence = Fence::default();
    assert_eq!(
        fence.check("a", 5),
        FenceDecision::Unknown,
        "the fleet's latest token is not known yet"
    );
    fence.set_floor(5);
    fence.set_floor(9);
    assert_eq!(
        fence.check("a", 5),
        FenceDecision::Unknown,
        "the token may belong to a former owner"
    );
    assert_eq!(fence.check("a", 6), FenceDecision::Accept);
    assert_eq!(fence.check("a", 5), FenceDecision::Stale(6));
    assert_eq!(fence.check("a", 6), FenceDecision::Accept);
    fence.learn_token("b", 4);
    assert_eq!(
        (fence.check("b", 3), fence.check("b", 4)),
        (FenceDecision::Stale(4), FenceDecision::Accept)
    );
    fence.learn_token("b", 2);
    assert_eq!(
        fence.check("b", 3),
        FenceDecision::Stale(4),
        "a late answer changes nothing"
    );
}
