use super::encode::MAX_CACHED_CHANGES;
use super::update::LOST_ENDPOINT_TIMEOUT;
use super::*;

fn columns() -> Vec<String> {
    vec!["x0".into(), "active".into()]
}

fn report(endpoint: u64, age: Micros, load: f32) -> LoadReport {
    LoadReport {
        endpoint,
        age,
        values: vec![load, 3.0],
    }
}

fn round(table: &mut Table, now: Micros, reports: &[LoadReport]) {
    table.update(now, &columns(), reports);
}

fn loads(table: &Table) -> Vec<(u64, Option<f32>)> {
    table
        .rows()
        .iter()
        .map(|row| {
            (
                row.endpoint,
                row.loads().next().map(|load| (load * 1_000.0).round()),
            )
        })
        .collect()
}

#[test]
fn changes_bring_a_receiver_to_the_owners_table() {
    let (mut owner, mut receiver) = (Table::new(5), Table::new(5));
    round(
        &mut owner,
        1_000_000,
        &[report(70, 0, 0.5), report(80, 10_000, 0.2)],
    );
    receiver.apply(9_000_000, owner.changes(0)).unwrap();
    assert_eq!((receiver.version(), receiver.digest()), (1, owner.digest()));
    assert_eq!(loads(&receiver), [(70, Some(525.0)), (80, Some(225.0))]);
    assert_eq!(
        receiver
            .rows()
            .iter()
            .map(|row| row.seen_at)
            .collect::<Vec<_>>(),
        [9_000_000, 8_989_900]
    );
    // One row changes, one is unchanged, and one is added.
    round(
        &mut owner,
        1_500_000,
        &[
            report(90, 0, 0.1),
            report(80, 30_000, 0.21),
            report(70, 0, 0.9),
        ],
    );
    let changes = owner.changes(1).to_vec();
    assert!(changes.len() < owner.changes(0).len());
    receiver.apply(9_500_000, &changes).unwrap();
    assert_eq!(receiver.digest(), owner.digest());
    assert_eq!(receiver.rows()[1].seen_at, 9_500_000 - 30_300);
    // No row changes, and one endpoint does not answer: the time of its row stays.
    round(
        &mut owner,
        2_000_000,
        &[report(80, 0, 0.21), report(90, 0, 0.1)],
    );
    receiver.apply(10_000_000, owner.changes(2)).unwrap();
    let seen: Vec<Micros> = receiver.rows().iter().map(|row| row.seen_at).collect();
    assert_eq!(seen, [9_500_000, 10_000_000, 10_000_000]);
    assert_eq!(receiver.confirmed_rows().count(), 2);
}

#[test]
fn changes_with_a_gap_and_old_changes_are_rejected() {
    let (mut owner, mut receiver) = (Table::new(5), Table::new(5));
    for n in 1..=4 {
        round(&mut owner, n * 500_000, &[report(70, 0, n as f32 / 10.0)]);
    }
    let late = owner.changes(3).to_vec();
    assert_eq!(receiver.apply(0, &late), Err(TableError::Gap));
    receiver.apply(0, owner.changes(0)).unwrap();
    assert_eq!(receiver.apply(0, &late), Err(TableError::Old));
    // Changes from an older version than the receiver has contain more than it lacks, and can be
    // applied.
    round(&mut owner, 3_000_000, &[report(70, 0, 0.8)]);
    assert_eq!(receiver.apply(0, owner.changes(2)), Ok(()));
    assert_eq!(receiver.digest(), owner.digest());
}

#[test]
fn a_voter_forwards_the_table_and_ages_only_grow() {
    let (mut owner, mut voter, mut relay) = (Table::new(5), Table::new(5), Table::new(5));
    round(
        &mut owner,
        1_000_000,
        &[report(70, 100_000, 0.5), report(80, 0, 0.2)],
    );
    voter.apply(2_000_000, owner.changes(0)).unwrap();
    relay.apply(3_000_000, voter.changes(0)).unwrap();
    for (owner, relay) in owner.rows().iter().zip(relay.rows()) {
        assert!(
            3_000_000 - relay.seen_at >= 1_000_000 - owner.seen_at,
            "{owner:?} {relay:?}"
        );
    }
    round(&mut owner, 1_500_000, &[report(70, 0, 0.5)]);
    voter.apply(2_500_000, owner.changes(1)).unwrap();
    round(
        &mut owner,
        2_000_000,
        &[report(70, 0, 0.5), report(80, 0, 0.9)],
    );
    voter.apply(3_000_000, owner.changes(2)).unwrap();
    relay.apply(4_000_000, voter.changes(1)).unwrap();
    assert_eq!(relay.digest(), owner.digest());
    assert_eq!(relay.version(), 3);
}

#[test]
fn a_table_with_many_lost_endpoints_is_rebuilt() {
    let (mut owner, mut receiver) = (Table::new(5), Table::new(5));
    round(&mut owner, 0, &[report(70, 0, 0.5), report(80, 0, 0.2)]);
    receiver.apply(0, owner.changes(0)).unwrap();
    round(&mut owner, LOST_ENDPOINT_TIMEOUT, &[report(80, 0, 0.2)]);
    receiver
        .apply(LOST_ENDPOINT_TIMEOUT, owner.changes(1))
        .unwrap();
    assert_eq!(
        loads(&receiver),
        [(80, Some(225.0))],
        "the receiver gets the whole table, although it has a version"
    );
    round(
        &mut owner,
        LOST_ENDPOINT_TIMEOUT + 1,
        &[report(80, 0, 0.2), report(70, 0, 0.2)],
    );
    receiver
        .apply(LOST_ENDPOINT_TIMEOUT, owner.changes(2))
        .unwrap();
    assert_eq!(receiver.digest(), owner.digest());
    // Other columns start a new table.
    owner.update(
        LOST_ENDPOINT_TIMEOUT + 2,
        &["qps".to_string()],
        &[LoadReport {
            endpoint: 80,
            age: 0,
            values: vec![0.1],
        }],
    );
    receiver
        .apply(LOST_ENDPOINT_TIMEOUT, owner.changes(3))
        .unwrap();
    assert_eq!(
        (receiver.digest(), receiver.columns().len()),
        (owner.digest(), 1)
    );
}

#[test]
fn a_new_report_of_the_same_level_differs_from_a_repeated_one() {
    let (mut owner, mut receiver) = (Table::new(5), Table::new(5));
    let mut loads = Vec::new();
    for (n, load) in [0.51, 0.51, 0.52, 0.53, 0.53].into_iter().enumerate() {
        round(&mut owner, n as Micros, &[report(70, 0, load)]);
        receiver.apply(0, owner.changes(n as Version)).unwrap();
        loads.extend(receiver.rows()[0].loads().next());
    }
    let is_new: Vec<bool> = loads.windows(2).map(|pair| pair[0] != pair[1]).collect();
    assert_eq!(is_new, [false, true, true, false]);
}

#[test]
fn encoded_changes_are_shared_and_bounded() {
    let mut owner = Table::new(5);
    for n in 1..=100 {
        round(&mut owner, n, &[report(70, 0, 0.1), report(n, 0, 0.2)]);
    }
    for from in 0..=100 {
        let mut receiver = Table::new(5);
        receiver.version = from;
        let (first, to) = versions(owner.changes(from)).unwrap();
        assert!(first <= from && to == 100);
    }
    assert!(owner.encoded.len() <= MAX_CACHED_CHANGES + 1);
}

#[test]
fn damaged_changes_change_nothing() {
    let (mut owner, mut receiver) = (Table::new(5), Table::new(5));
    round(&mut owner, 0, &[report(70, 0, 0.5), report(80, 0, 0.2)]);
    let whole = owner.changes(0).to_vec();
    for cut in 0..whole.len() {
        assert_eq!(receiver.apply(0, &whole[..cut]), Err(TableError::Damaged));
    }
    for index in 0..whole.len() {
        for bits in 1..=255u8 {
            let mut bytes = whole.clone();
            bytes[index] ^= bits;
            let _ = Table::new(5).apply(0, &bytes);
        }
    }
    receiver.apply(0, &whole).unwrap();
    let before = receiver.digest();
    // Changes of another table have another endpoint at an index that is in use.
    let mut other = Table::new(5);
    round(&mut other, 0, &[report(70, 0, 0.5)]);
    round(&mut other, 0, &[report(99, 0, 0.5)]);
    assert_eq!(
        receiver.apply(0, other.changes(1)),
        Err(TableError::Damaged)
    );
    assert_eq!(receiver.digest(), before);
}
