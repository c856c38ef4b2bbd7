use super::*;

fn relay(number: usize) -> RelayId {
    RelayId {
        name: format!("n{number}"),
        incarnation: 9,
    }
}

fn report(
    pacer: &mut MigrationPacer,
    at: Micros,
    n: usize,
    waiting: u64,
    completed: u64,
    permitted: u64,
) {
    pacer.handle_report(
        at,
        relay(n),
        &MigrationStatus {
            waiting,
            completed,
            permitted,
        }
        .encode(),
    );
}

#[test]
fn permitted_migrations_stay_below_the_rate_also_when_the_owner_changes() {
    let (mut pacer, mut permitted) = (MigrationPacer::default(), [0u64; 3]);
    let mut total = 0;
    for interval in 0..40u64 {
        let now = interval * PERMIT_INTERVAL;
        // After half of the intervals another owner continues from the checkpoint and the reports.
        if interval == 20 {
            pacer = MigrationPacer::resume(&pacer.checkpoint());
        }
        for (n, permitted) in permitted.iter().enumerate() {
            report(&mut pacer, now, n, 100 - permitted, *permitted, *permitted);
        }
        if let Some(permits) = pacer.tick(now, 8) {
            let permits = MigrationPermits::decode(&permits.encode()).unwrap();
            for (n, permitted) in permitted.iter_mut().enumerate() {
                *permitted = permits.for_relay(&relay(n)).unwrap_or(0).max(*permitted);
            }
        }
        total = permitted.iter().sum();
        assert!(
            total <= interval * 2,
            "{total} after {interval} intervals of 250 ms, at 8 per second"
        );
    }
    assert!(total >= 74, "{total}");
    assert_eq!(pacer.permitted_total(), total);
    assert!(
        permitted.iter().max().unwrap() - permitted.iter().min().unwrap() <= 1,
        "{permitted:?}"
    );
}

#[test]
fn idle_or_silent_relays_get_no_permits_and_tokens_are_bounded() {
    let mut pacer = MigrationPacer::default();
    report(&mut pacer, 0, 0, 0, 5, 5);
    pacer.tick(0, 100);
    for interval in 1..40 {
        report(&mut pacer, interval * PERMIT_INTERVAL, 0, 0, 5, 5);
        assert_eq!(pacer.tick(interval * PERMIT_INTERVAL, 100), None);
    }
    report(&mut pacer, 40 * PERMIT_INTERVAL, 0, 1_000, 5, 5);
    let permits = pacer.tick(40 * PERMIT_INTERVAL, 100).unwrap();
    assert_eq!(
        permits.for_relay(&relay(0)),
        Some(5 + 100),
        "the bucket holds one second of the rate"
    );
    // A late report changes nothing.
    report(&mut pacer, 30 * PERMIT_INTERVAL, 0, 9_000, 2, 0);
    assert_eq!(
        pacer.tick(
            41 * PERMIT_INTERVAL + REPORT_TIMEOUT + 40 * PERMIT_INTERVAL,
            100
        ),
        None,
        "the relay is silent"
    );
    pacer.handle_report(0, relay(1), b"not a report");
}
