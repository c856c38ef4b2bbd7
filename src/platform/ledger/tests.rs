//! Ledgers in temporary directories: which state survives a restart, and which files are refused.

use super::schema::FORMAT;
use super::*;
use redb::{Database, ReadableTable, TableDefinition};

fn dir() -> tempfile::TempDir {
    tempfile::tempdir().unwrap()
}

fn owner(fleet: &str, voter: u64) -> Owner {
    Owner {
        fleet: fleet.into(),
        voter,
    }
}

#[test]
fn persisted_state_survives_a_restart() {
    let dir = dir();
    let one = owner("f", 1);
    Ledger::create_for_new_fleet(dir.path(), &one, &[1, 2, 3], 77).unwrap();
    {
        let ledger = Ledger::open(dir.path(), &one).unwrap();
        let entry = |n: u64| (n, vec![n as u8]);
        ledger
            .persist_log(&PersistBatch {
                entries: vec![entry(2), entry(3), entry(4)],
                ..PersistBatch::default()
            })
            .unwrap();
        // A new leader overwrites entries 3 and 4.
        let stored = PersistBatch {
            hard_state: Some(vec![9]),
            entries: vec![(3, vec![33])],
            ..PersistBatch::default()
        };
        ledger.persist_log(&stored).unwrap();
        ledger
            .save_policy(&Policy {
                epoch: 4,
                ..Policy::default()
            })
            .unwrap();
        assert!(
            Ledger::open(dir.path(), &one).is_err_and(|e| e.is_in_use()),
            "one process at a time"
        );
    }
    let ledger = Ledger::open(dir.path(), &one).unwrap();
    let log = ledger.load_log().unwrap();
    assert_eq!(
        (log.hard_state, log.entries),
        (Some(vec![9]), vec![vec![2], vec![33]])
    );
    assert_eq!(
        (
            ledger.load_policy().unwrap().epoch,
            ledger.incarnation().unwrap()
        ),
        (4, 77)
    );
    let stored = PersistBatch {
        snapshot: Some(vec![7]),
        compact_to: Some(2),
        ..PersistBatch::default()
    };
    ledger.persist_log(&stored).unwrap();
    assert_eq!(ledger.load_log().unwrap().entries, [[33]]);
}

#[test]
fn a_relay_without_a_vote_becomes_a_voter_once_and_keeps_its_policy() {
    let dir = dir();
    Ledger::open(dir.path(), &owner("f", 0))
        .unwrap()
        .save_policy(&Policy {
            epoch: 3,
            ..Policy::default()
        })
        .unwrap();
    Ledger::create_for_joining_voter(dir.path(), &owner("f", 4), 44).unwrap();
    assert!(Ledger::create_for_joining_voter(dir.path(), &owner("f", 4), 45).is_err());
    let ledger = Ledger::open(dir.path(), &owner("f", 4)).unwrap();
    assert_eq!(
        (
            ledger.incarnation().unwrap(),
            ledger.load_policy().unwrap().epoch
        ),
        (44, 3)
    );
    assert!(RaftLog::restore(&ledger.load_log().unwrap()).is_ok_and(|log| log.is_empty()));
    assert!(ledger.load_membership().unwrap().is_none());
    let membership = Membership::for_new_fleet(&[4]);
    ledger.save_membership(&membership).unwrap();
    assert_eq!(ledger.load_membership().unwrap(), Some(membership));
}

#[test]
fn a_missing_damaged_or_foreign_ledger_is_refused_and_left_unchanged() {
    let dir = dir();
    let error = |voter| {
        Ledger::open(dir.path(), &owner("f", voter))
            .err()
            .unwrap()
            .to_string()
    };
    assert!(
        error(2).contains("fleet init"),
        "a voter's ledger is missing: {}",
        error(2)
    );
    Ledger::create_for_new_fleet(dir.path(), &owner("f", 2), &[2], 7).unwrap();
    assert!(
        Ledger::create_for_new_fleet(dir.path(), &owner("f", 2), &[2], 8).is_err(),
        "an existing ledger is not replaced"
    );
    assert!(error(3).contains("another fleet or voter"));
    let file = dir.path().join(FILE_NAME);
    // The end of the file is missing.
    let intact = std::fs::read(&file).unwrap();
    std::fs::write(&file, &intact[..intact.len() - 8192]).unwrap();
    assert!(error(2).contains("damaged"), "{}", error(2));
    assert_eq!(std::fs::read(&file).unwrap(), intact[..intact.len() - 8192]);
    std::fs::write(
        &file,
        b"not a ledger, and longer than the head of one would be",
    )
    .unwrap();
    assert!(error(2).contains("left as it is"), "{}", error(2));
    assert_eq!(std::fs::read(&file).unwrap().len(), 54);
}

/// The names and values that released builds have on disk, written out so that a change of a
/// constant fails here.
#[test]
fn the_stored_names_are_those_of_released_builds() {
    let dir = dir();
    let values_table = TableDefinition::<&str, &[u8]>::new("facts");
    let entries_table = TableDefinition::<u64, &[u8]>::new("entries");
    let policy = Policy {
        epoch: 6,
        ..Policy::default()
    };
    let membership = Membership::for_new_fleet(&[1, 2, 3]);
    let database = Database::create(dir.path().join("ledger.redb")).unwrap();
    let transaction = database.begin_write().unwrap();
    {
        let mut values = transaction.open_table(values_table).unwrap();
        let incarnation = 77_u64.to_be_bytes();
        let (encoded_policy, encoded_membership) =
            (wire::encode(&policy), wire::encode(&membership));
        let stored: [(&str, &[u8]); 7] = [
            ("format", &[3]),
            ("owner", b"1\nf"),
            ("incarnation", &incarnation),
            ("vote", &[9]),
            ("snapshot", &[7]),
            ("policy", &encoded_policy),
            ("seats", &encoded_membership),
        ];
        for (key, value) in stored {
            values.insert(key, value).unwrap();
        }
        let mut entries = transaction.open_table(entries_table).unwrap();
        entries.insert(5, [55].as_slice()).unwrap();
    }
    transaction.commit().unwrap();
    drop(database);

    let ledger = Ledger::open(dir.path(), &owner("f", 1)).unwrap();
    let log = ledger.load_log().unwrap();
    assert_eq!(FORMAT, 3);
    assert_eq!(ledger.incarnation().unwrap(), 77);
    assert_eq!(log.hard_state, Some(vec![9]));
    assert_eq!(log.snapshot, Some(vec![7]));
    assert_eq!(log.entries, [[55]]);
    assert_eq!(ledger.load_policy().unwrap(), policy);
    assert_eq!(ledger.load_membership().unwrap(), Some(membership));

    let proposal = Proposal {
        text: "proposed".into(),
        ..Proposal::default()
    };
    ledger.save_prepared(&proposal).unwrap();
    drop(ledger);
    let database = Database::create(dir.path().join("ledger.redb")).unwrap();
    let transaction = database.begin_read().unwrap();
    let values = transaction.open_table(values_table).unwrap();
    let prepared = values.get("prepared").unwrap().unwrap();
    assert_eq!(prepared.value(), wire::encode(&proposal));
    assert_eq!(values.iter().unwrap().count(), 8);
}
