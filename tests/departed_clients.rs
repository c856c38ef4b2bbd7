//! Clients that leave, or send on, while they wait for their answer, on real sockets of the line
//! protocol. A request belongs to a client that is there and waits: nothing begins for another one.

#[allow(dead_code)]
mod peers;

use peers::*;
use std::io::{ErrorKind, Write};

/// The backend that is not this one.
fn other(name: &str) -> &'static str {
    if name == "s-1" {
        "s-2"
    } else {
        "s-1"
    }
}

/// Writes to a relay that reads no more until the sockets between them are full, or the relay has
/// closed the connection.
fn fill_sockets(client: &mut Peer) {
    const MAX_BYTES: usize = 64 * 1024 * 1024;
    let stream = &mut client.stream;
    stream.set_nonblocking(true).unwrap();
    let (mut written, mut full) = (0, 0);
    // The kernel moves bytes from one socket to the other for a while after the first refusal.
    while full < 20 && written < MAX_BYTES {
        match stream.write(&[b'x'; 64 * 1024]) {
            Ok(n) => (written, full) = (written + n, 0),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                full += 1;
                std::thread::sleep(std::time::Duration::from_millis(2));
            }
            Err(_) => return,
        }
    }
}

/// Guards against an attempt for a client that has left: the end of its stream is behind more bytes
/// than the sockets hold, which are not read while it waits for its answer.
#[test]
fn no_attempt_begins_for_a_client_that_sent_much_and_left() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let relay = fleet.relay();
    let mut client = relay.client();
    client.send("OPEN 01 7f c=chat,d=60000");
    let (first, mut backend) = fleet.accept_any();
    backend.line();
    fill_sockets(&mut client);
    drop(client);
    // The answer that makes the relay try elsewhere comes after the client has left.
    let _ = backend.stream.write_all(b"BUSY\r\n");
    let began_elsewhere = until("the end of the request, or a further attempt", || {
        let began = !fleet.backend(other(&first)).has_no_new_connection();
        (began || relay.logged("end id=01 ")).then_some(began)
    });
    assert!(
        !began_elsewhere,
        "an attempt began although its client had left"
    );
}

/// Guards against a client that is served in place of its error, as it does not wait for its answer:
/// whether it was refused depended on where the network cut its bytes.
#[test]
fn a_client_that_sends_on_before_its_answer_gets_its_error_however_its_bytes_are_cut() {
    let fleet = Fleet::new(&["s-1"]);
    let relay = fleet.relay();
    let mut whole = relay.client();
    whole.send("OPEN 01 7f c=chat,d=3000\r\nOPEN 02 7f c=chat,d=3000");
    assert_eq!(whole.rest(), "ERR sent-on\r\n");
    for more in ["OPEN 02 7f c=chat,d=3000\r\n", "O", "\r\n"] {
        let mut parted = relay.client();
        parted.send("OPEN 01 7f c=chat,d=3000");
        // The relay has read the first line, and nothing else.
        let mut backend = fleet.backend("s-1").accept();
        assert!(backend.line().starts_with("OPEN 01 "));
        parted.write(more.as_bytes());
        assert_eq!(parted.rest(), "ERR sent-on\r\n", "{more:?}");
        assert!(backend.ended(), "{more:?}: the attempt goes on");
    }
    // Nothing else was forwarded.
    let mut next = relay.client();
    next.send("OPEN 03 7f c=chat,d=60000");
    let mut backend = fleet.backend("s-1").accept();
    assert!(backend.line().starts_with("OPEN 03 "));
}

/// A client that names its earlier backend, whose port refuses connections.
fn client_of_a_backend_that_refuses() -> (Fleet, RefusingPort, Relay, Peer) {
    let mut fleet = Fleet::new(&["s-1"]);
    let port = RefusingPort::new();
    fleet.set_backend_addr("s-1", port.addr());
    let relay = fleet.relay();
    let mut client = relay.client();
    client.send("OPEN 01 7f c=chat,d=60000,at=s-1");
    (fleet, port, relay, client)
}

/// Guards against a connection from before the start that is lost although its backend is there: it
/// was given up after one dial that failed.
#[test]
fn a_connection_from_before_the_start_survives_a_dial_that_fails() {
    let (_fleet, port, relay, mut client) = client_of_a_backend_that_refuses();
    // Its end where it is given up, or the next dial.
    until("the first dial to fail", || {
        let failed = relay.logged("end id=01 ") || relay.logged("dialled again");
        failed.then_some(())
    });
    let backend = port.listen();
    let mut accepted = until("the next dial, or the end", || {
        let ended = relay.logged("end id=01 ");
        assert!(!ended, "the connection was given up after one dial");
        backend.try_accept()
    });
    assert!(accepted.line().starts_with("OPEN 01 7f c=chat,d=60000"));
    accepted.send("UP r");
    assert_eq!(client.line(), "UP r");
}

/// A request line of the length at which a read of the relay ends: what follows is in the next read.
fn request_of_one_read(fields: &str) -> String {
    const READ_BYTES: usize = 512;
    let line = format!("OPEN 01 7f c=chat,d=60000{fields},x=");
    let padding = READ_BYTES - line.len() - "\r\n".len();
    line + &"1".repeat(padding) + "\r\n"
}

/// Guards against a process that ends by a stack overflow: a client has sent more behind its request
/// than the sockets hold, and each read of it was nested in the one before.
#[test]
fn a_client_that_floods_behind_its_request_gets_its_error_and_the_relay_goes_on() {
    let fleet = Fleet::new(&["s-1"]);
    let relay = fleet.relay();
    // A new request; one of a client that names its earlier backend, which no list names yet.
    for fields in ["", ",at=s-9"] {
        relay.signal("STOP");
        let mut client = relay.client();
        client.write(request_of_one_read(fields).as_bytes());
        fill_sockets(&mut client);
        relay.signal("CONT");
        client.stream.set_nonblocking(false).unwrap();
        assert_eq!(client.line(), "ERR sent-on", "{fields:?}");
    }
    let _pair = fleet.pair(&relay, "02");
}

/// The same where the flood comes while the request waits for its next attempt.
#[test]
fn a_client_that_floods_while_it_waits_for_an_attempt_gets_its_error_and_the_relay_goes_on() {
    let (_fleet, _port, relay, mut client) = client_of_a_backend_that_refuses();
    relay.wait_for_log("dialled again");
    relay.signal("STOP");
    fill_sockets(&mut client);
    relay.signal("CONT");
    client.stream.set_nonblocking(false).unwrap();
    assert_eq!(client.line(), "ERR sent-on");
    let mut next = relay.client();
    next.send("PING");
    assert_eq!(next.line(), "PONG");
}

/// A site whose only class may not be run twice.
fn unsafe_class(fleet: &Fleet) -> String {
    let config = fleet.config(fleet.discovery.addr());
    config.replace("\"idempotency\": \"safe\"", "\"idempotency\": \"unsafe\"")
}

/// Guards against a request that runs twice: its client left while its attempt was out, or after it
/// was served, and came again under the same id.
#[test]
fn an_id_that_may_have_run_is_not_attempted_again_after_its_client_has_left() {
    let fleet = Fleet::new(&["s-1"]);
    let relay = Relay::start(&unsafe_class(&fleet), None);
    let mut attempted = relay.client();
    attempted.send("OPEN 01 7f c=chat,d=60000");
    let mut backend = fleet.backend("s-1").accept();
    backend.line();
    drop(attempted);
    assert!(backend.ended());
    relay.wait_for_log("end id=01 ");
    let (served, _backend) = fleet.pair(&relay, "02");
    drop(served);
    relay.wait_for_log("end id=02 ");
    // What its backend has rejected has not run.
    let mut rejected = relay.client();
    rejected.send("OPEN 03 7f c=chat,d=60000");
    fleet.backend("s-1").accept().answer("BUSY");
    assert!(rejected.rest().starts_with("BUSY"));
    for id in ["01", "02"] {
        let mut again = relay.client();
        again.send(&format!("OPEN {id} 7f c=chat,d=3000"));
        assert_eq!(again.rest(), "ERR id-in-use\r\n", "{id}");
    }
    let _pair = fleet.pair(&relay, "03");
}
