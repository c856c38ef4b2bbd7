use super::*;

fn relay(n: usize) -> RelayId {
    RelayId {
        name: format!("n{n}"),
        incarnation: 9,
    }
}

fn says(mover: &mut MigrationPacer, at: Micros, n: usize, waiting: u64, made: u64, permitted: u64) {
    mover.handle_report(
        at,
        relay(n),
        &MigrationStatus {
            waiting,
            completed: made,
            permitted,
        }
        .encode(),
    );
}

#[test]
fn permitted_migrations_stay_below_the_rate_also_when_the_owner_changes() {
    let (mut mover, mut permitted) = (MigrationPacer::default(), [0u64; 3]);
    let mut total = 0;
    for turn in 0..40u64 {
        let now = turn * TURN;
        // Half-way another owner goes on, by what the relays say and the checkpoint.
        if turn == 20 {
            mover = MigrationPacer::resume(&mover.checkpoint());
        }
        for (n, permitted) in permitted.iter().enumerate() {
            says(&mut mover, now, n, 100 - permitted, *permitted, *permitted);
        }
        if let Some(permits) = mover.tick(now, 8) {
            let permits = MigrationPermits::decode(&permits.encode()).unwrap();
            for (n, permitted) in permitted.iter_mut().enumerate() {
                *permitted = permits.for_relay(&relay(n)).unwrap_or(0).max(*permitted);
            }
        }
        total = permitted.iter().sum();
        assert!(
            total <= turn * 2,
            "{total} after {turn} turns of a quarter second, at 8 a second"
        );
    }
    assert!(total >= 74, "{total}");
    assert_eq!(mover.permitted_total(), total);
    assert!(
        permitted.iter().max().unwrap() - permitted.iter().min().unwrap() <= 1,
        "{permitted:?}"
    );
}

#[test]
fn idle_or_silent_relays_get_no_permits_and_tokens_are_capped() {
    let mut mover = MigrationPacer::default();
    says(&mut mover, 0, 0, 0, 5, 5);
    mover.tick(0, 100);
    for turn in 1..40 {
        says(&mut mover, turn * TURN, 0, 0, 5, 5);
        assert_eq!(mover.tick(turn * TURN, 100), None);
    }
    says(&mut mover, 40 * TURN, 0, 1_000, 5, 5);
    let permits = mover.tick(40 * TURN, 100).unwrap();
    assert_eq!(
        permits.for_relay(&relay(0)),
        Some(5 + 100),
        "a second's worth"
    );
    // Late words of before change nothing.
    says(&mut mover, 30 * TURN, 0, 9_000, 2, 0);
    assert_eq!(
        mover.tick(41 * TURN + SILENT + 40 * TURN, 100),
        None,
        "it fell silent"
    );
    mover.handle_report(0, relay(1), b"what is this");
}
