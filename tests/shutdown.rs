//! The end of a process, and of connections that rest, on real sockets: whoever has asked has an answer.

#[allow(dead_code)]
mod peers;

use peers::*;
use std::time::{Duration, Instant};

/// A request whose client waits for longer than the platform does before it kills was once dropped without a word:
/// its backend had stopped, and the process ended (hobart-exchange, roll+term+brink, seed 3).
#[test]
fn whoever_waits_when_the_process_is_told_to_end_has_its_answer_before_that() {
    let fleet = Fleet::new(&["s-1"]);
    let mut relay = fleet.relay();
    let (mut standing, mut backend) = fleet.pair(&relay, "standing");
    let mut early = relay.client();
    early.send("OPEN early 7f c=chat,d=60000");
    let mut mute = fleet.backend("s-1").accept();
    mute.line();
    let mut rests = relay.client();
    rests.send("PING");
    assert_eq!(rests.line(), "PONG");
    let mut half = relay.client();
    half.write(b"OPEN half 7f c=ch");
    // Told twice, and to read its settings again meanwhile.
    let since = Instant::now();
    ["TERM", "HUP", "TERM"].iter().for_each(|name| relay.signal(name));
    relay.wait_for_log("signal 15");
    // Read after the signal: it is sent on, with no more time than there is.
    let mut late = relay.client();
    late.send("OPEN late 8f c=chat,d=60000");
    let mut second = fleet.backend("s-1").accept();
    let line = second.line();
    let d: u64 = line.strip_prefix("OPEN late 8f c=chat,d=").unwrap().parse().unwrap();
    assert!(d < 3_700, "{line}");
    assert_eq!((standing.line().as_str(), standing.ended(), backend.ended()), ("MOVE", true, true));
    // An attempt that comes up when all that stood has been moved is moved in its turn.
    let mut up = relay.client();
    up.send("OPEN up 9f c=chat,d=60000");
    let mut third = fleet.backend("s-1").accept();
    third.line();
    third.send("UP r");
    assert_eq!((up.line().as_str(), up.line().as_str(), third.ended()), ("UP r", "MOVE", true));
    for (name, client) in
        [("rests", &mut rests), ("half", &mut half), ("early", &mut early), ("late", &mut late)]
    {
        let rest = client.rest();
        assert!(rest.starts_with("BUSY") && rest.ends_with("\r\n"), "{name}: {rest:?}");
    }
    assert!(mute.ended() && second.ended());
    assert!(relay.exit().success());
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
}

/// A resting connection was once shut both ways: a request that came at this moment was taken by the machine, and
/// lost. Its client had no answer, or a reset.
#[test]
fn a_request_that_comes_as_its_resting_connection_is_ended_has_an_answer_and_goes_nowhere() {
    let fleet = Fleet::new(&["s-1"]);
    let few = fleet.config(fleet.discovery.addr()).replace("\"sockets\":1024", "\"sockets\":128");
    let relay = Relay::start(&few, None);
    let mut rests = relay.client();
    rests.send("PING");
    assert_eq!(rests.line(), "PONG");
    // A crowd takes its room. Whoever is sent away has read nothing of it yet when its request comes.
    let mut crowd: Vec<Peer> = Vec::new();
    let mut sent = rests.stream.try_clone().unwrap();
    sent.set_nonblocking(true).unwrap();
    until("the end of the resting one", || {
        crowd.push(relay.client());
        let mut byte = [0];
        matches!(sent.peek(&mut byte), Ok(1)).then_some(())
    });
    sent.set_nonblocking(false).unwrap();
    std::io::Write::write_all(&mut sent, b"OPEN 01 7f c=chat,d=60000\r\n").unwrap();
    assert_eq!(rests.rest(), "BUSY\r\n");
    drop(crowd);
    // The next one to come there is another's.
    let mut client = relay.client();
    client.send("OPEN 02 7f c=chat,d=60000");
    assert!(fleet.backend("s-1").accept().line().starts_with("OPEN 02 "));
}

/// One that floods while its connection ends cannot keep it open.
#[test]
fn a_flood_does_not_hold_up_the_end() {
    let fleet = Fleet::new(&["s-1"]);
    let mut relay = fleet.relay();
    let client = relay.client();
    let mut flood = client.stream.try_clone().unwrap();
    let flooding = std::thread::spawn(move || {
        let piece = [b'x'; 64 * 1024];
        while std::io::Write::write_all(&mut flood, &piece).is_ok() {}
    });
    relay.signal("TERM");
    assert!(relay.exit().success());
    flooding.join().unwrap();
}
