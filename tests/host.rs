//! The program `jaspermoor-simhost`: replies to batches, many instances, unknown records and
//! malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = include_str!("data/settings.json");

/// Runs the host with this input until it exits.
fn run_host(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jaspermoor-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the host rejects the input and exits early; the tests check its output.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn record(code: u16, fields: &[u8]) -> Vec<u8> {
    let mut r = code.to_be_bytes().to_vec();
    r.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    r.extend_from_slice(fields);
    r
}

fn batch(number: u32, ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut frame = (records.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&(body.len() as u32 + 12).to_be_bytes());
    frame.extend_from_slice(&ms.to_be_bytes());
    frame.extend_from_slice(&number.to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

fn create(instance: u32, settings: &str) -> Vec<u8> {
    let mut f = instance.to_be_bytes().to_vec();
    f.extend_from_slice(&(u64::from(instance) + 77).to_be_bytes());
    f.extend_from_slice(&(settings.len() as u32).to_be_bytes());
    f.extend_from_slice(settings.as_bytes());
    record(1000, &f)
}

fn endpoint_list(instance: u32, endpoints: u8) -> Vec<u8> {
    let mut f = instance.to_be_bytes().to_vec();
    f.extend_from_slice(&1u64.to_be_bytes());
    f.push(2);
    f.extend_from_slice(&u32::from(endpoints).to_be_bytes());
    for number in 1..=endpoints {
        f.extend_from_slice(&[10, 0, 0, number, 0x1f, 0x90, 0, 0, 0, 0, 0, 0, 1]);
        f.extend_from_slice(&1f32.to_be_bytes());
        f.extend_from_slice(&0f64.to_be_bytes());
    }
    record(1010, &f)
}

fn request(instance: u32, id: u32) -> Vec<u8> {
    let mut f = instance.to_be_bytes().to_vec();
    f.extend_from_slice(&id.to_be_bytes());
    f.push(0);
    f.extend_from_slice(&0u32.to_be_bytes());
    f.extend_from_slice(&u64::from(id).to_be_bytes());
    f.extend_from_slice(&1200f64.to_be_bytes());
    f.extend_from_slice(&0f64.to_be_bytes());
    f.extend_from_slice(&(u64::from(id) % 5).to_be_bytes());
    f.push(0);
    record(1020, &f)
}

/// The records of all replies: code, instance, and the body, which starts with the instance.
fn reply_records(output: &[u8]) -> Vec<(u16, u32, Vec<u8>)> {
    let word = |at: usize| u32::from_be_bytes(output[at..at + 4].try_into().unwrap()) as usize;
    let (mut at, mut records) = (0, Vec::new());
    while at < output.len() {
        let (count, end) = (word(at), at + 8 + word(at + 4));
        at += 12;
        for _ in 0..count {
            let code = u16::from_be_bytes([output[at], output[at + 1]]);
            let size = word(at + 2);
            records.push((
                code,
                word(at + 6) as u32,
                output[at + 6..at + 6 + size].to_vec(),
            ));
            at += 6 + size;
        }
        assert_eq!(at, end);
    }
    records
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn replies_to_each_batch_and_exits_at_the_end_of_input() {
    let mut input = batch(1, 1000.0, &[]);
    input.extend(batch(
        2,
        1001.0,
        &[create(3, SETTINGS), endpoint_list(3, 4)],
    ));
    input.extend(batch(3, 1002.0, &[request(3, 9)]));
    let output = run_host(&input);
    assert!(output.status.success());
    let codes: Vec<u16> = reply_records(&output.stdout).iter().map(|a| a.0).collect();
    assert_eq!(codes, [1030, 1000], "a timer and an attempt");
    assert_eq!(stderr(&output), "");
}

#[test]
fn instances_do_not_affect_each_other() {
    let rounds = |instances: &[u32]| {
        let for_each = |f: &dyn Fn(u32) -> Vec<u8>| -> Vec<Vec<u8>> {
            instances.iter().map(|&i| f(i)).collect()
        };
        let mut input = batch(
            1,
            1000.0,
            &for_each(&|i| [create(i, SETTINGS), endpoint_list(i, 9)].concat()),
        );
        // Each item holds two records, `create` and `endpoint_list`: the record count is corrected.
        input[..4].copy_from_slice(&(2 * instances.len() as u32).to_be_bytes());
        for n in 0..40 {
            input.extend(batch(
                2 + n,
                1001.0 + f64::from(n),
                &for_each(&|i| request(i, 100 * i + n)),
            ));
        }
        reply_records(&run_host(&input).stdout)
    };
    let together = rounds(&[1, 2, 3]);
    for i in 1..=3 {
        let of_instance: Vec<_> = together.iter().filter(|a| a.1 == i).cloned().collect();
        assert_eq!(of_instance, rounds(&[i]), "instance {i}");
        assert!(of_instance.len() >= 80);
    }
}

#[test]
fn a_batch_of_20_000_requests_is_accepted() {
    let mut records = vec![create(1, SETTINGS), endpoint_list(1, 200)];
    records.extend((0..20_000).map(|id| request(1, id)));
    let output = run_host(&batch(1, 1000.0, &records));
    assert!(output.status.success());
    assert_eq!(
        reply_records(&output.stdout)
            .iter()
            .filter(|a| a.0 == 1000)
            .count(),
        20_000
    );
}

#[test]
fn an_instance_starts_and_ends_within_a_batch() {
    let end = record(1090, &7u32.to_be_bytes());
    let input = batch(
        1,
        1.0,
        &[
            create(7, SETTINGS),
            end.clone(),
            create(7, SETTINGS),
            endpoint_list(7, 2),
            request(7, 1),
        ],
    );
    let output = run_host(&input);
    assert_eq!(reply_records(&output.stdout).len(), 2);
    assert!(stderr(&run_host(&batch(1, 1.0, &[end]))).contains("unknown instance 7"));
}

#[test]
fn invalid_settings_are_reported_for_their_instance_only() {
    let invalid_settings = SETTINGS.replace("\"tick\": 2.0", "\"tick\": 0");
    let output = run_host(&batch(
        1,
        1.0,
        &[
            create(7, &invalid_settings),
            create(8, SETTINGS),
            endpoint_list(8, 2),
            request(8, 1),
        ],
    ));
    assert!(output.status.success());
    let records = reply_records(&output.stdout);
    assert_eq!((records[0].0, records[0].1), (1010, 7));
    assert!(String::from_utf8_lossy(&records[0].2).contains("'tick'"));
    assert!(
        records[1..].iter().all(|record| record.1 == 8) && records.len() == 3,
        "other instances are not affected"
    );
}

#[test]
fn unknown_codes_requests_and_instances_are_logged_and_ignored() {
    let mut outcome = 1u32.to_be_bytes().to_vec();
    outcome.extend_from_slice(&55u32.to_be_bytes());
    outcome.extend_from_slice(&[0, 10, 0, 0, 1, 0x1f, 0x90, 0, 0, 1]);
    outcome.extend_from_slice(&0f64.to_be_bytes());
    outcome.push(0);
    let records = [
        create(1, SETTINGS),
        endpoint_list(1, 2),
        record(1040, &outcome),
        record(4321, &[1, 2]),
        request(2, 1),
    ];
    let output = run_host(&batch(1, 1.0, &records));
    assert!(output.status.success());
    let text = stderr(&output);
    assert!(
        text.contains("unknown code 4321") && text.contains("unknown request 55"),
        "{text}"
    );
    assert!(
        text.contains("unknown instance 2") && text.lines().count() == 3,
        "{text}"
    );
    assert!(reply_records(&output.stdout).is_empty());
}

#[test]
fn malformed_input_ends_the_host_with_one_line_on_standard_error() {
    let valid = batch(1, 1000.0, &[create(3, SETTINGS), endpoint_list(3, 4)]);
    let mut wrong_length = valid.clone();
    let valid_length = wrong_length.len();
    wrong_length[7] = wrong_length[7].wrapping_sub(1);
    let short_record = batch(1, 1000.0, &[record(1060, &[0, 0, 0, 1])]);
    let mut length_over_limit = batch(1, 1.0, &[]);
    length_over_limit[4..8].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut length_without_data = batch(1, 1.0, &[]);
    length_without_data[4..8].copy_from_slice(&(1u32 << 29).to_be_bytes());
    for input in [
        valid[..valid_length - 3].to_vec(),
        valid[..5].to_vec(),
        wrong_length,
        short_record,
        length_over_limit,
        length_without_data,
    ] {
        let output = run_host(&input);
        assert!(!output.status.success());
        assert!(output.stdout.is_empty(), "no partial reply");
        assert_eq!(stderr(&output).lines().count(), 1, "{}", stderr(&output));
    }
}
