//! What backends may do to an attempt, on real sockets: whatever comes, the client has one answer that says no more
//! than is known, and no repeat that its class does not allow.

#[allow(dead_code)]
mod peers;

use peers::*;

/// What the backend does once it has the whole line.
type Does = fn(&mut Peer);

/// Its class may not simply be repeated: after any of these it may have run.
#[test]
fn what_may_have_run_is_failed_and_neither_refused_nor_repeated() {
    let cases: [(&str, Does); 6] = [
        ("reset", |b| b.close_with_reset()),
        ("ended", |b| b.end()),
        ("half an answer, then the end", |b| {
            b.write(b"BUS");
            b.end();
        }),
        ("an error, then an answer that comes too late", |b| {
            b.send("ERR");
            let _ = std::io::Write::write_all(&mut b.stream, b"UP r\r\n");
        }),
        ("no answer's word", |b| b.send("HELLO")),
        ("a line without end", |b| b.write(&[b'x'; 8192])),
    ];
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let unsafe_class = fleet
        .config(fleet.discovery.addr())
        .replace("\"safe\"", "\"unsafe\"");
    let relay = Relay::start(&unsafe_class, None);
    for (n, (name, does)) in cases.into_iter().enumerate() {
        let mut client = relay.client();
        client.send(&format!("OPEN 0{n} 7f c=chat,d=60000"));
        let (at, mut backend) = fleet.accept_any();
        backend.line();
        does(&mut backend);
        assert_eq!(client.line(), "FAILED", "{name}");
        assert!(client.ended(), "{name}: more than one answer");
        let other = if at == "s-1" { "s-2" } else { "s-1" };
        assert!(
            fleet.backend(other).has_no_new_connection()
                && fleet.backend(&at).has_no_new_connection(),
            "{name}: repeated"
        );
    }
}

/// Settings that change in the middle of a request: it goes by those that it came under.
#[test]
fn a_reload_in_the_middle_of_a_request_allows_no_repeat_that_its_class_did_not() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let safe = fleet.config(fleet.discovery.addr());
    let relay = Relay::start(&safe.replace("\"safe\"", "\"unsafe\""), None);
    let mut client = relay.client();
    client.send("OPEN 01 7f c=chat,d=60000");
    let (at, mut backend) = fleet.accept_any();
    backend.line();
    relay.reload(&safe);
    relay.wait_for_log("reload: discovery is still");
    backend.send("ERR");
    assert_eq!(client.line(), "FAILED");
    let other = if at == "s-1" { "s-2" } else { "s-1" };
    assert!(fleet.backend(other).has_no_new_connection());
    // The next one comes under the new ones, and is repeated.
    let mut client = relay.client();
    client.send("OPEN 02 7f c=chat,d=60000");
    let (at, mut backend) = fleet.accept_any();
    backend.line();
    backend.send("ERR");
    let other = if at == "s-1" { "s-2" } else { "s-1" };
    let mut second = fleet.backend(other).accept();
    second.line();
    second.send("UP r");
    assert_eq!(client.line(), "UP r");
    // What follows its answer is the backend's word, and passed on as it is.
    second.send("UP again");
    assert_eq!(client.line(), "UP again");
}
