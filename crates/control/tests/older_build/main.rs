//! This build must read what an older build wrote to the wire and to its log, and must write the
//! same bytes. The bytes are in `tests/data/older_build.txt`, the values that they encode in
//! `samples.rs`.

mod data;
mod samples;

use ciborium::Value;
use jaspermoor_control::broadcast::quantise::Level;
use jaspermoor_control::broadcast::table::Table;
use jaspermoor_control::log::state::FleetState;
use jaspermoor_control::wire::frame::FrameSession;
use jaspermoor_control::wire::message::Message;
use jaspermoor_control::wire::{decode, encode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

/// Asserts that each value is decoded from the older build's bytes, and encoded to the same bytes.
fn assert_same_on_the_wire<T>(group: &str, values: Vec<(String, T)>)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = data::of_group(group);
    let sampled: Vec<&String> = values.iter().map(|(name, _)| name).collect();
    assert!(
        written.keys().all(|name| sampled.contains(&name)),
        "a value of {group} has no sample"
    );
    for (name, value) in &values {
        let bytes = &written[name];
        assert_eq!(
            decode::<T>(bytes).as_ref(),
            Some(value),
            "{group}/{name} is read as another value"
        );
        assert_eq!(
            &encode(value),
            bytes,
            "{group}/{name} is written in another way"
        );
    }
}

fn assert_job_payload<T>(name: &str, value: T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let bytes = &data::of_group("job")[name];
    assert_eq!(decode::<T>(bytes).as_ref(), Some(&value), "{name}");
    assert_eq!(&encode(&value), bytes, "{name}");
}

#[test]
fn messages_of_an_older_build_are_read_and_written_alike() {
    let messages = samples::messages();
    for (name, message) in &messages {
        let bytes = &data::of_group("message")[name];
        assert_eq!(Message::decode(bytes).as_ref(), Some(message), "{name}");
        assert_eq!(&message.encode(), bytes, "{name}");
    }
    assert_same_on_the_wire("message", messages);
}

#[test]
fn log_entries_of_an_older_build_are_read_and_written_alike() {
    assert_same_on_the_wire("command", samples::commands());
}

#[test]
fn fleet_states_of_an_older_build_are_read_and_written_alike() {
    for (name, state) in samples::states() {
        let bytes = &data::of_group("state")[&name];
        assert_eq!(FleetState::decode(bytes), Some(state), "{name}");
    }
    assert_same_on_the_wire("state", samples::states());
}

#[test]
fn migration_payloads_of_an_older_build_are_read_and_written_alike() {
    assert_job_payload("migration-status", samples::migration_status());
    assert_job_payload("migration-permits", samples::migration_permits());
}

#[test]
fn load_reports_of_an_older_build_are_read_and_written_alike() {
    assert_job_payload("load-reports", samples::load_reports());
}

#[test]
fn zone_observations_of_an_older_build_are_read_and_written_alike() {
    assert_job_payload("zone-observations", samples::zone_observations());
}

#[test]
fn zone_statuses_of_an_older_build_are_read_and_written_alike() {
    assert_job_payload("zone-statuses", samples::zone_statuses());
}

#[test]
fn load_tables_of_an_older_build_are_applied_and_written_alike() {
    let written = data::of_group("table");
    let mut first = samples::first_table();
    let mut second = samples::second_table();
    assert_eq!(first.changes(0), written["first"]);
    assert_eq!(second.changes(0), written["whole"]);
    assert_eq!(second.changes(1), written["changes"]);

    let mut updated = Table::new(second.token());
    updated.apply(1_000_000, &written["first"]).unwrap();
    assert_eq!(levels(&updated), levels(&first));
    updated.apply(2_000_000, &written["changes"]).unwrap();
    assert_eq!(levels(&updated), levels(&second));

    let mut received = Table::new(second.token());
    received.apply(2_000_000, &written["whole"]).unwrap();
    assert_eq!(levels(&received), levels(&second));
    for table in [&updated, &received] {
        assert_eq!(table.version(), 2);
        assert_eq!(table.columns(), second.columns());
        assert_eq!(table.digest(), second.digest());
    }
}

fn levels(table: &Table) -> Vec<(u64, Vec<Level>)> {
    let rows = table.rows().iter();
    rows.map(|row| (row.endpoint, row.levels.clone())).collect()
}

#[test]
fn frames_of_an_older_build_are_authenticated_and_sealed_alike() {
    const FLEET: u64 = 0x0102_0304_0506_0708;
    let keys = || {
        vec![
            b"the first key of a fleet".to_vec(),
            b"the second key".to_vec(),
        ]
    };
    let written = data::of_group("frame");
    let mut dialler = FrameSession::new(true, keys(), FLEET, [0x11; 16]);
    let mut acceptor = FrameSession::new(false, keys(), FLEET, [0x22; 16]);

    assert_eq!(std::mem::take(dialler.outgoing()), written["dialler-hello"]);
    assert!(acceptor.feed(&written["dialler-hello"]).unwrap().is_empty());
    assert_eq!(
        std::mem::take(acceptor.outgoing()),
        written["answerer-hello"]
    );
    assert!(dialler.feed(&written["answerer-hello"]).unwrap().is_empty());

    assert!(dialler.send(b"first message") && dialler.send(b"second message"));
    assert!(acceptor.send(b"reply"));
    assert_eq!(*dialler.outgoing(), written["dialler-messages"]);
    assert_eq!(*acceptor.outgoing(), written["answerer-messages"]);
    assert_eq!(
        acceptor.feed(&written["dialler-messages"]).unwrap(),
        [&b"first message"[..], b"second message"]
    );
    assert_eq!(
        dialler.feed(&written["answerer-messages"]).unwrap(),
        [b"reply"]
    );
}

/// A field with its default value would be decoded as the same value even if its name had changed.
#[test]
fn no_field_in_the_data_is_at_its_default() {
    let groups = ["message", "command", "state", "job"];
    for group in groups {
        for (name, bytes) in data::of_group(group) {
            let value: Value = ciborium::from_reader(bytes.as_slice()).unwrap();
            assert_no_default_field(&format!("{group}/{name}"), &value);
        }
    }
}

fn assert_no_default_field(path: &str, value: &Value) {
    match value {
        Value::Array(values) => {
            for (index, value) in values.iter().enumerate() {
                assert_no_default_field(&format!("{path}/{index}"), value);
            }
        }
        Value::Map(fields) => {
            for (key, value) in fields {
                let path = format!("{path}/{key:?}");
                // The value of `Ok(())` is empty.
                let accepted = *key == Value::Text("Ok".into());
                assert!(accepted || !is_default(value), "{path} is at its default");
                assert_no_default_field(&path, value);
            }
        }
        _ => {}
    }
}

fn is_default(value: &Value) -> bool {
    match value {
        Value::Integer(number) => i128::from(*number) == 0,
        Value::Float(number) => *number == 0.0,
        Value::Bool(flag) => !flag,
        Value::Text(text) => text.is_empty(),
        Value::Bytes(bytes) => bytes.is_empty(),
        Value::Array(values) => values.is_empty(),
        Value::Map(fields) => fields.is_empty(),
        Value::Null => true,
        _ => false,
    }
}

/// The names of message types are labels of metrics.
#[test]
fn kinds_of_messages_are_named_as_in_an_older_build() {
    let kinds = [
        ("log", "log"),
        ("founding", "founding"),
        ("not-a-member", "gone"),
        ("renew-request", "renew"),
        ("renew-response", "reply"),
        ("subscribe", "subscribe"),
        ("updates", "updates"),
        ("publish", "publish"),
        ("poll", "poll"),
        ("delivery", "delivery"),
        ("submission", "submission"),
        ("receipt", "receipt"),
        ("stale-token", "stale"),
    ];
    for (name, message) in samples::messages() {
        let expected = kinds
            .iter()
            .find(|(of, _)| *of == name)
            .map(|(_, kind)| *kind);
        let expected = expected.unwrap_or(if name.starts_with("operator-request") {
            "ask"
        } else {
            "answer"
        });
        assert_eq!(message.kind(), expected, "{name}");
    }
}
