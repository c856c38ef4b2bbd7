use super::*;

fn relay(waiting: u64, completed: u64, permitted: u64) -> RelayMigrations {
    let mut relay = RelayMigrations::default();
    relay.report(MigrationStatus {
        waiting,
        completed,
        permitted,
    });
    relay
}

fn allow(pool: &mut AllowancePool, incarnation: u64, permitted: u64) {
    pool.allow(Allowance {
        incarnation,
        permitted,
    });
}

#[test]
fn a_pool_permits_at_most_its_allowance_and_serves_the_largest_demand_first() {
    let mut pool = AllowancePool::new(7);
    let (mut one, mut two) = (relay(10, 0, 0), relay(12, 5, 5));
    assert!(
        pool.distribute(&mut [&mut one, &mut two]).is_empty(),
        "there is no allowance"
    );
    allow(&mut pool, 6, 100);
    assert!(
        pool.distribute(&mut [&mut one, &mut two]).is_empty(),
        "the allowance is for the previous process"
    );
    allow(&mut pool, 7, 4);
    assert_eq!(pool.distribute(&mut [&mut one, &mut two]), [0, 1]);
    assert_eq!(
        (one.unreported_permits(), two.unreported_permits()),
        (Some(1), Some(8))
    );
    assert!(pool.distribute(&mut [&mut one, &mut two]).is_empty());
    allow(&mut pool, 7, 3);
    assert!(
        pool.distribute(&mut [&mut one, &mut two]).is_empty(),
        "a late allowance changes nothing"
    );
    let summary = pool.summary([one, two].iter());
    assert_eq!(
        (summary.allowed, summary.used, summary.unmet_demand),
        (4, 4, 9 + 9)
    );
    assert_eq!(
        (
            summary.relays,
            summary.waiting,
            summary.completed,
            summary.permitted
        ),
        (2, 22, 5, 9)
    );
}

#[test]
fn unused_allowance_expires_when_the_next_one_arrives() {
    let mut pool = AllowancePool::new(7);
    let mut one = relay(2, 0, 0);
    allow(&mut pool, 7, 10);
    pool.distribute(&mut [&mut one]);
    assert_eq!(one.unreported_permits(), Some(2));
    one.report(MigrationStatus {
        waiting: 100,
        completed: 2,
        permitted: 2,
    });
    allow(&mut pool, 7, 11);
    pool.distribute(&mut [&mut one]);
    assert_eq!(
        one.unreported_permits(),
        Some(3),
        "the unused eight of the first allowance have expired"
    );
}

#[test]
fn a_relay_keeps_permits_that_another_voter_gave() {
    let mut one = relay(5, 3, 9);
    assert_eq!((one.unreported_permits(), one.unmet_demand()), (None, 0));
    one.report(MigrationStatus {
        waiting: u64::MAX,
        completed: u64::MAX,
        permitted: 1,
    });
    assert_eq!(
        one.unreported_permits(),
        Some(9),
        "the permits are sent again"
    );
}
