//! XMPP clients that leave, or send on, while they wait for their answer, with servers that the test
//! plays step by step. A session request belongs to a client that is there and waits: nothing begins
//! for another one.

#[allow(dead_code)]
mod scripted_xmpp;

use jaspermoor::protocol::xmpp::frame::{Unit, NS_SASL};
use jaspermoor_lab::stream::Stream;
use jaspermoor_lab::until;
use jaspermoor_lab::xmpp_client::{element, Answer, Broke};
use scripted_xmpp::{offer_of_sasl, Site};
use std::net::TcpStream;

/// Sends white space in short TLS records until the sockets are full, or the relay has closed the
/// connection.
fn fill_sockets(stream: &mut Stream) {
    let client: TcpStream = stream.socket().try_clone().unwrap();
    client.set_nonblocking(true).unwrap();
    let mut full = 0;
    while full < 20 {
        match stream.send_bytes(&[b' '; 512]) {
            Ok(()) => full = 0,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                full += 1;
                std::thread::sleep(std::time::Duration::from_millis(2));
            }
            Err(_) => break,
        }
    }
}

/// Guards against a request that is sent for a client that has left: the server's features and the
/// client's end are handled in one turn of a relay that was held up, the features first.
#[test]
fn no_session_is_requested_for_a_client_that_left_during_the_negotiation() {
    let mut site = Site::start("negotiation");
    site.request();
    let (_, mut attempt) = site.accept_attempt();
    site.stop_process();
    attempt.send(&offer_of_sasl()).unwrap();
    site.client
        .socket()
        .shutdown(std::net::Shutdown::Both)
        .unwrap();
    site.relay.signal("CONT").unwrap();
    if let Ok((unit, _)) = attempt.unit() {
        panic!("sent although the client had left: {unit:?}");
    }
    site.relay.wait_for("reason=client-gave-up front=xmpp");
}

/// Guards against an attempt for a client that has left: the end of its stream is behind more bytes
/// than the sockets hold, which are not read while it waits for its answer.
#[test]
fn no_attempt_at_a_session_begins_for_a_client_that_sent_much_and_left() {
    let mut site = Site::start("much");
    site.request();
    let (first, mut attempt) = site.accept_request();
    fill_sockets(&mut site.client);
    let client = site.client.socket();
    let _ = client.shutdown(std::net::Shutdown::Both);
    // The answer that makes the relay try elsewhere comes after the client has left.
    let failure = format!("<failure xmlns='{NS_SASL}'><temporary-auth-failure/></failure>");
    let _ = attempt.send(&failure);
    let began_elsewhere = until("the end of the request, or a further attempt", || {
        let began = site.servers[1 - first].try_accept().is_some();
        let ended = site.relay.lines().iter().any(|l| l.starts_with("end id="));
        (began || ended).then_some(began)
    });
    assert!(
        !began_elsewhere,
        "an attempt began although its client had left"
    );
}

/// Guards against a process that ends by a stack overflow: a client sends on at full speed while its
/// server negotiates, and each read of it was nested in the one before.
#[test]
fn an_xmpp_client_that_floods_during_the_negotiation_is_refused_and_the_relay_goes_on() {
    let mut site = Site::start("flood");
    site.request();
    let (_, mut attempt) = site.accept_attempt();
    site.stop_process();
    fill_sockets(&mut site.client);
    site.relay.signal("CONT").unwrap();
    site.relay.wait_for("reason=policy-violation front=xmpp");
    assert!(attempt.unit().is_err(), "the attempt goes on");
    let next = site.login.connect();
    assert!(next.is_ok(), "the relay has ended");
}

/// Guards against a client that is served in place of its error, as it does not wait for its answer:
/// whether it was refused depended on where the network cut its bytes.
#[test]
fn an_xmpp_client_that_sends_on_before_its_answer_gets_its_error_however_its_bytes_are_cut() {
    let mut site = Site::start("cut");
    site.request();
    let (_, mut attempt) = site.accept_request();
    site.client
        .send("<message to='ali@hazri1.example.org'/>")
        .unwrap();
    let answer = element(&mut site.client);
    let refused = Answer::Error("policy-violation".into(), None);
    assert!(
        matches!(&answer, Err(Broke::Answered(answer)) if *answer == refused),
        "{answer:?}"
    );
    assert!(matches!(site.client.unit().unwrap().0, Unit::End));
    assert!(attempt.unit().is_err(), "the attempt goes on");
    site.relay.wait_for("reason=policy-violation front=xmpp");
}
