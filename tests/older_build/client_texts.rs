//! The texts that clients of the line protocol receive: they are those of an older build, word for
//! word. Digits are masked, since waits and loads differ from run to run.

use super::process::{endpoint, free_address, read_to_end, RelayProcess};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener};
use std::thread;

const EXPECTED_TEXTS: &str = include_str!("../data/older_build/client_texts.txt");
const OPEN: &str = "OPEN 9b 7f c=chat,d=2000";

/// First lines that the relay answers without a backend.
const FIRST_LINES: [&str; 27] = [
    "PING",
    "HELLO",
    "OPEN",
    "OPEN  7f c=chat",
    "OPEN 9b 7f",
    "OPEN 9b 7f c=chat more",
    "OPEN 9/b 7f c=chat",
    "OPEN 9b zz c=chat",
    "OPEN 9b 11112222333344445 c=chat",
    "OPEN 9b 7f c",
    "OPEN 9b 7f c=chat,c=chat",
    "OPEN 9b 7f c=none",
    "OPEN 9b 7f d=5",
    "OPEN 9b 7f c=chat,d=-5",
    "OPEN 9b 7f c=chat,d=1e3",
    "OPEN 9b 7f c=chat,d=99999999999",
    "OPEN 9b 7f c=chat,g=x",
    "OPEN 9b 7f c=chat,r=2",
    "OPEN 9b 7f c=chat,again=yes",
    "OPEN 9b 7f c=chat,h=much",
    "OPEN 9b 7f c=chat,at=",
    "OPEN \u{7} 7f c=chat",
    "open 9b 7f c=chat",
    "ping",
    "PING ",
    "",
    " OPEN 9b 7f c=chat",
];

/// Behaviour of a backend: a name, and what it sends after the first line of its connection.
const BACKENDS: [(&str, &str); 9] = [
    ("busy", "BUSY active=1,x0=0.5\r\n"),
    ("error", "ERR active=1,x0=0.5\r\n"),
    ("nothing", ""),
    ("served", "UP r\r\nM 1\r\nBYE active=1,x0=0.5\r\n"),
    ("migrated", "UP r\r\nM 1\r\nMOVE\r\n"),
    ("failed later", "UP r\r\nM 1\r\nERR active=1,x0=0.5\r\n"),
    ("closed later", "UP r\r\nM 1\r\n"),
    ("half a line", "UP r\r\nM 1"),
    ("load", "UP r\r\nLOAD 5.0\r\nM 1\r\nBYE\r\n"),
];

/// Replaces each run of digits by one `#`.
fn masked(text: &str) -> String {
    let mut masked = String::new();
    for letter in text.chars() {
        match letter {
            '0'..='9' if masked.ends_with('#') => {}
            '0'..='9' => masked.push('#'),
            _ => masked.push(letter),
        }
    }
    masked
}

/// Starts a backend that answers the first line of each connection with `answer` and closes it.
/// Returns its entry for the endpoint list.
fn backend(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            let _ = stream.write_all(answer.as_bytes());
            let _ = stream.shutdown(Shutdown::Write);
        }
    });
    endpoint("s-1", address)
}

fn record(texts: &mut String, case: &str, received: &str) {
    writeln!(texts, "{case:?} -> {:?}", masked(received)).unwrap();
}

fn record_first_lines(texts: &mut String) {
    let relay = RelayProcess::start(&[endpoint("s-1", free_address())], "");
    for line in FIRST_LINES {
        let mut client = relay.client();
        client.write_all(format!("{line}\r\n").as_bytes()).unwrap();
        client.shutdown(Shutdown::Write).unwrap();
        record(texts, line, &read_to_end(client));
    }
    let too_long = format!("OPEN {}\r\n", "x".repeat(100_000));
    record(
        texts,
        "too long",
        &relay.response_to_client(too_long.as_bytes()),
    );
    record(
        texts,
        "not utf8",
        &relay.response_to_client(b"OPEN \xff 7f c=chat\r\n"),
    );
    let sent_on = format!("{OPEN}\r\nmore\r\n");
    record(
        texts,
        "sent on",
        &relay.response_to_client(sent_on.as_bytes()),
    );
    record(texts, "half a line", &relay.response_to_client(b"OPEN 9b"));
}

fn record_outcomes(texts: &mut String) {
    for (name, answer) in BACKENDS {
        let relay = RelayProcess::start(&[backend(answer)], "");
        let received = relay.response_to_client(format!("{OPEN}\r\n").as_bytes());
        record(texts, &format!("backend: {name}"), &received);
    }
    let relay = RelayProcess::start(&[endpoint("s-1", free_address())], "");
    let received = relay.response_to_client(format!("{OPEN}\r\n").as_bytes());
    record(texts, "backend: unreachable", &received);
    let relay = RelayProcess::start(&[], "");
    let received = relay.response_to_client(format!("{OPEN}\r\n").as_bytes());
    record(texts, "no backend", &received);
}

/// An established connection while its relay stops, and a second request with its id.
fn record_stop(texts: &mut String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let relay = RelayProcess::start(&[endpoint("s-1", address)], "");
    let mut client = relay.client();
    client.write_all(format!("{OPEN}\r\n").as_bytes()).unwrap();
    let (mut backend, _) = listener.accept().unwrap();
    backend.write_all(b"UP r\r\n").unwrap();
    let mut reader = BufReader::new(client);
    let mut up_line = String::new();
    reader.read_line(&mut up_line).unwrap();
    let received = relay.response_to_client(format!("{OPEN}\r\n").as_bytes());
    record(texts, "an id in use", &received);
    relay.terminate();
    let mut last_line = String::new();
    reader.read_line(&mut last_line).unwrap();
    record(texts, "the relay stops", &last_line);
}

#[test]
fn clients_receive_the_texts_of_an_older_build() {
    let mut texts = String::new();
    record_first_lines(&mut texts);
    record_outcomes(&mut texts);
    record_stop(&mut texts);
    assert_eq!(texts, EXPECTED_TEXTS);
}
