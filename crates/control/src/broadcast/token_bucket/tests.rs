use super::*;

#[test]
fn a_token_bucket_fills_at_its_rate_and_its_debt_is_at_most_one_second() {
    let mut bucket = TokenBucket::new(0);
    assert!(!bucket.has_bytes());
    bucket.take(5_000, 1_000);
    assert!(
        !bucket.fill(1_000_000, 1_000),
        "one second of the rate only pays back the debt"
    );
    assert!(bucket.fill(1_001_000, 1_000));
    assert!(bucket.fill(900_000_000, 1_000));
    bucket.take(1_000, 1_000);
    assert!(
        !bucket.has_bytes(),
        "the level is at most one second of the rate"
    );
}
