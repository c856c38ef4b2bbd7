//! Backends that fail an attempt in different ways, on real sockets. In each case the client gets
//! one answer that claims no more than the relay knows, and no retry that its class does not allow.

#[allow(dead_code)]
mod peers;

use peers::*;

/// The backend's action after it has received the whole request.
type BackendAction = fn(&mut Peer);

/// The request's class is not idempotent, and after any of these actions it may have run.
#[test]
fn a_request_that_may_have_run_fails_and_is_neither_rejected_nor_retried() {
    let cases: [(&str, BackendAction); 6] = [
        ("reset", |b| b.close_with_reset()),
        ("ended", |b| b.end()),
        ("half an answer, then the end", |b| {
            b.write(b"BUS");
            b.end();
        }),
        ("an error, then an answer too late", |b| {
            b.send("ERR");
            let _ = std::io::Write::write_all(&mut b.stream, b"UP r\r\n");
        }),
        ("an unknown command", |b| b.send("HELLO")),
        ("a line that is too long", |b| b.write(&[b'x'; 8192])),
    ];
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let unsafe_class = fleet
        .config(fleet.discovery.addr())
        .replace("\"safe\"", "\"unsafe\"");
    let relay = Relay::start(&unsafe_class, None);
    for (n, (name, act)) in cases.into_iter().enumerate() {
        let mut client = relay.client();
        client.send(&format!("OPEN 0{n} 7f c=chat,d=60000"));
        let (at, mut backend) = fleet.accept_any();
        backend.line();
        act(&mut backend);
        assert_eq!(client.line(), "FAILED", "{name}");
        assert!(client.ended(), "{name}: more than one answer");
        let other = if at == "s-1" { "s-2" } else { "s-1" };
        assert!(
            fleet.backend(other).has_no_new_connection()
                && fleet.backend(&at).has_no_new_connection(),
            "{name}: retried"
        );
    }
}

/// A request keeps the settings under which it was admitted, even if a reload changes them.
#[test]
fn a_reload_during_a_request_allows_no_retry_that_its_class_did_not() {
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
    // The next request is admitted under the new settings, and is retried.
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
    // Lines after the answer are forwarded unchanged.
    second.send("UP again");
    assert_eq!(client.line(), "UP again");
}
