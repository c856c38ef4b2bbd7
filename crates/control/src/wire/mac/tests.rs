use super::*;

fn keys(of: &[&str]) -> Vec<Vec<u8>> {
    of.iter().map(|key| key.as_bytes().to_vec()).collect()
}

fn pair(dials: &[&str], answers: &[&str]) -> (FrameSession, FrameSession) {
    (
        FrameSession::new(true, keys(dials), 7, [1; 16]),
        FrameSession::new(false, keys(answers), 7, [2; 16]),
    )
}

fn pass(from: &mut FrameSession, to: &mut FrameSession) -> Result<Vec<Vec<u8>>, FrameError> {
    let bytes = std::mem::take(from.outgoing());
    to.feed(&bytes)
}

fn greet(a: &mut FrameSession, b: &mut FrameSession) -> Result<(), FrameError> {
    pass(a, b)?;
    pass(b, a).map(drop)
}

#[test]
fn messages_go_both_ways_in_pieces_and_a_change_of_keys_breaks_nothing() {
    for (dials, answers) in [
        (&["a"][..], &["a"][..]),
        (&["new", "old"], &["old", "new"]),
        (&["old"], &["new", "old"]),
    ] {
        let (mut a, mut b) = pair(dials, answers);
        assert!(!a.send(b"too early"));
        greet(&mut a, &mut b).unwrap();
        assert!(
            a.is_established()
                && b.is_established()
                && a.send(b"one")
                && a.send(b"two")
                && b.send(b"")
        );
        let mut heard = Vec::new();
        for byte in std::mem::take(a.outgoing()) {
            heard.extend(b.feed(&[byte]).unwrap());
        }
        assert_eq!(heard, [b"one", b"two"]);
        assert_eq!(pass(&mut b, &mut a).unwrap(), [b""]);
    }
}

#[test]
fn strangers_are_told_apart() {
    let (mut a, mut b) = pair(&["a"], &["b"]);
    assert_eq!(pass(&mut a, &mut b), Err(FrameError::WrongKey));
    let mut other = FrameSession::new(false, keys(&["a"]), 8, [2; 16]);
    let (mut a, _) = pair(&["a"], &["a"]);
    assert_eq!(pass(&mut a, &mut other), Err(FrameError::WrongFleet));
    let (mut a, mut b) = pair(&["a"], &["a"]);
    a.outgoing()[3] = 9;
    assert_eq!(pass(&mut a, &mut b), Err(FrameError::WrongFormat(9)));
    let (_, mut b) = pair(&["a"], &["a"]);
    assert_eq!(b.feed(b"GET / HTTP"), Err(FrameError::WrongProtocol));
    let (mut a, mut b) = pair(&["a"], &["a"]);
    greet(&mut a, &mut b).unwrap();
    assert_eq!(b.feed(&u32::MAX.to_be_bytes()), Err(FrameError::TooLong));
}

#[test]
fn what_is_replayed_or_changed_is_refused() {
    let (mut a, mut b) = pair(&["a"], &["a"]);
    greet(&mut a, &mut b).unwrap();
    a.send(b"one");
    let frame = std::mem::take(a.outgoing());
    assert_eq!(b.feed(&frame).unwrap(), [b"one"]);
    assert_eq!(b.feed(&frame), Err(FrameError::WrongKey), "the same again");
    // On another connection, with the same hello before it.
    let mut c = FrameSession::new(false, keys(&["a"]), 7, [3; 16]);
    let (mut d, _) = pair(&["a"], &["a"]);
    pass(&mut d, &mut c).unwrap();
    assert_eq!(c.feed(&frame), Err(FrameError::WrongKey));
    // One's own words sent back.
    let (mut a, mut b) = pair(&["a"], &["a"]);
    greet(&mut a, &mut b).unwrap();
    a.send(b"one");
    let frame = std::mem::take(a.outgoing());
    assert_eq!(a.feed(&frame), Err(FrameError::WrongKey));
}
