//! Ledgers: this build reads what an older build stored, and stores the same rows.

use super::data;
use jaspermoor::platform::ledger::{Ledger, Owner};
use jaspermoor_control::log::membership::{Member, Membership};
use jaspermoor_control::log::state::{Policy, Proposal, ProposalPhase};
use jaspermoor_control::log::storage::PersistBatch;
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::relay::RelayId;
use jaspermoor_control::FleetTiming;
use redb::{Database, ReadableTable, TableDefinition};
use std::collections::BTreeMap;
use std::path::Path;

const STORED_ROWS: &str = include_str!("../data/older_build/ledgers.txt");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const INCARNATION: u64 = 77;

/// All rows of a ledger's file.
#[derive(Debug, Default, PartialEq)]
struct Rows {
    facts: BTreeMap<String, Vec<u8>>,
    entries: BTreeMap<u64, Vec<u8>>,
}

impl Rows {
    fn of_older_build(ledger: &str) -> Rows {
        let mut rows = Rows::default();
        for fields in data::records(STORED_ROWS).filter(|fields| fields[0] == ledger) {
            let value = data::bytes(fields[3]);
            match fields[1] {
                "facts" => drop(rows.facts.insert(fields[2].into(), value)),
                "entries" => drop(rows.entries.insert(fields[2].parse().unwrap(), value)),
                table => panic!("table {table}"),
            }
        }
        rows
    }

    fn read(dir: &Path) -> Rows {
        let read = Database::open(dir.join("ledger.redb"))
            .unwrap()
            .begin_read()
            .unwrap();
        let mut rows = Rows::default();
        for row in read.open_table(FACTS).unwrap().iter().unwrap() {
            let (key, value) = row.unwrap();
            rows.facts.insert(key.value().into(), value.value().into());
        }
        for row in read.open_table(ENTRIES).unwrap().iter().unwrap() {
            let (key, value) = row.unwrap();
            rows.entries.insert(key.value(), value.value().into());
        }
        rows
    }

    fn write(&self, dir: &Path) {
        let database = Database::create(dir.join("ledger.redb")).unwrap();
        let write = database.begin_write().unwrap();
        {
            let mut facts = write.open_table(FACTS).unwrap();
            for (key, value) in &self.facts {
                facts.insert(key.as_str(), value.as_slice()).unwrap();
            }
            let mut entries = write.open_table(ENTRIES).unwrap();
            for (index, value) in &self.entries {
                entries.insert(index, value.as_slice()).unwrap();
            }
        }
        write.commit().unwrap();
    }
}

fn owner(voter: u64) -> Owner {
    Owner {
        fleet: "older-fleet".into(),
        voter,
    }
}

fn adopted_policy() -> Policy {
    Policy {
        epoch: 1,
        text: "# first\n".into(),
        author: "operations".into(),
        reason: "a new cell".into(),
        proposal: 101,
    }
}

fn prepared_proposal() -> Proposal {
    Proposal {
        id: 102,
        base_epoch: 1,
        text: "# second\n".into(),
        author: "operations".into(),
        reason: "a new cell".into(),
    }
}

fn saved_membership() -> Membership {
    let member = Member {
        address: "relay-3.example:7400".into(),
        disk_id: 903,
        is_voter: true,
    };
    Membership {
        version: 4,
        highest_id: 3,
        members: [(3, member)].into(),
    }
}

#[test]
fn a_voter_continues_with_the_ledger_of_an_older_build() {
    let dir = tempfile::tempdir().unwrap();
    Rows::of_older_build("voter").write(dir.path());
    let ledger = Ledger::open(dir.path(), &owner(1)).unwrap();
    assert_eq!(ledger.incarnation().unwrap(), INCARNATION);
    assert_eq!(ledger.load_policy().unwrap(), adopted_policy());
    assert_eq!(ledger.load_membership().unwrap(), Some(saved_membership()));

    let persisted = ledger.load_log().unwrap();
    let mut voter = Voter::new(1, INCARNATION, &persisted, FleetTiming::default(), 0).unwrap();
    // It applies the entries that were committed before it stopped, without becoming the leader.
    voter.ready(0);
    let state = voter.state();
    assert_eq!(state.policy, adopted_policy());
    assert_eq!(state.phase, ProposalPhase::Preparing(prepared_proposal()));
    assert_eq!(state.required_version, 1);
    assert_eq!(state.membership.members[&1].disk_id, INCARNATION);
    assert!(state.membership.members[&1].is_voter);
    assert_eq!((state.jobs.last_token, state.jobs.version), (2, 2));
    for (name, token) in [("load/zone-a", 1), ("moves", 2)] {
        let job = &state.jobs.by_name[name];
        let relay = RelayId {
            name: "relay-1".into(),
            incarnation: 6,
        };
        assert_eq!((job.token, job.owner.as_ref()), (token, Some(&relay)));
        assert_eq!(
            (job.checkpoint_step, &job.checkpoint[..]),
            (1, &[4, 5, 6][..])
        );
    }
}

#[test]
fn a_voters_ledger_has_the_rows_of_an_older_build() {
    let dir = tempfile::tempdir().unwrap();
    let older = Rows::of_older_build("voter");
    Ledger::create_for_new_fleet(dir.path(), &owner(1), &[1], INCARNATION).unwrap();
    let ledger = Ledger::open(dir.path(), &owner(1)).unwrap();
    let stored = PersistBatch {
        hard_state: older.facts.get("vote").cloned(),
        snapshot: older.facts.get("snapshot").cloned(),
        entries: older.entries.clone().into_iter().collect(),
        compact_to: None,
    };
    ledger.persist_log(&stored).unwrap();
    save_common_state(&ledger);
    drop(ledger);
    assert_eq!(Rows::read(dir.path()), older);
}

#[test]
fn a_relays_ledger_of_an_older_build_is_read() {
    let dir = tempfile::tempdir().unwrap();
    Rows::of_older_build("relay").write(dir.path());
    let ledger = Ledger::open(dir.path(), &owner(0)).unwrap();
    assert_eq!(ledger.load_policy().unwrap(), adopted_policy());
    assert_eq!(ledger.load_membership().unwrap(), Some(saved_membership()));
}

#[test]
fn a_relays_ledger_has_the_rows_of_an_older_build() {
    let dir = tempfile::tempdir().unwrap();
    let ledger = Ledger::open(dir.path(), &owner(0)).unwrap();
    save_common_state(&ledger);
    drop(ledger);
    assert_eq!(Rows::read(dir.path()), Rows::of_older_build("relay"));
}

#[test]
fn a_ledger_of_an_older_build_is_refused_to_another_fleet_or_voter() {
    let dir = tempfile::tempdir().unwrap();
    Rows::of_older_build("voter").write(dir.path());
    let another_fleet = Owner {
        fleet: "another-fleet".into(),
        voter: 1,
    };
    assert!(Ledger::open(dir.path(), &another_fleet).is_err());
    assert!(Ledger::open(dir.path(), &owner(2)).is_err());
}

fn save_common_state(ledger: &Ledger) {
    ledger.save_policy(&adopted_policy()).unwrap();
    ledger.save_prepared(&prepared_proposal()).unwrap();
    ledger.save_membership(&saved_membership()).unwrap();
}
