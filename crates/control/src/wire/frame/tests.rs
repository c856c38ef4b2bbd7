use super::*;

fn keys(of: &[&str]) -> Vec<Vec<u8>> {
    of.iter().map(|key| key.as_bytes().to_vec()).collect()
}

fn pair(dials: &[&str], accepts: &[&str]) -> (FrameSession, FrameSession) {
    (
        FrameSession::new(true, keys(dials), 7, [1; 16]),
        FrameSession::new(false, keys(accepts), 7, [2; 16]),
    )
}

fn transfer(from: &mut FrameSession, to: &mut FrameSession) -> Result<Vec<Vec<u8>>, FrameError> {
    let bytes = std::mem::take(from.outgoing());
    to.feed(&bytes)
}

fn establish(a: &mut FrameSession, b: &mut FrameSession) -> Result<(), FrameError> {
    transfer(a, b)?;
    transfer(b, a).map(drop)
}

#[test]
fn messages_pass_both_ways_in_pieces_and_with_keys_in_another_order() {
    for (dials, accepts) in [
        (&["a"][..], &["a"][..]),
        (&["new", "old"], &["old", "new"]),
        (&["old"], &["new", "old"]),
    ] {
        let (mut a, mut b) = pair(dials, accepts);
        assert!(!a.send(b"too early"));
        establish(&mut a, &mut b).unwrap();
        assert!(
            a.is_established()
                && b.is_established()
                && a.send(b"one")
                && a.send(b"two")
                && b.send(b"")
        );
        let mut received = Vec::new();
        for byte in std::mem::take(a.outgoing()) {
            received.extend(b.feed(&[byte]).unwrap());
        }
        assert_eq!(received, [b"one", b"two"]);
        assert_eq!(transfer(&mut b, &mut a).unwrap(), [b""]);
    }
}

#[test]
fn each_kind_of_wrong_peer_has_its_own_error() {
    let (mut a, mut b) = pair(&["a"], &["b"]);
    assert_eq!(transfer(&mut a, &mut b), Err(FrameError::WrongKey));
    let mut other = FrameSession::new(false, keys(&["a"]), 8, [2; 16]);
    let (mut a, _) = pair(&["a"], &["a"]);
    assert_eq!(transfer(&mut a, &mut other), Err(FrameError::WrongFleet));
    let (mut a, mut b) = pair(&["a"], &["a"]);
    a.outgoing()[3] = 9;
    assert_eq!(transfer(&mut a, &mut b), Err(FrameError::WrongFormat(9)));
    let (_, mut b) = pair(&["a"], &["a"]);
    assert_eq!(b.feed(b"GET / HTTP"), Err(FrameError::WrongProtocol));
    let (mut a, mut b) = pair(&["a"], &["a"]);
    establish(&mut a, &mut b).unwrap();
    assert_eq!(
        b.feed(&u32::MAX.to_be_bytes()),
        Err(FrameError::InvalidLength)
    );
}

#[test]
fn replayed_and_reflected_frames_are_rejected() {
    let (mut a, mut b) = pair(&["a"], &["a"]);
    establish(&mut a, &mut b).unwrap();
    a.send(b"one");
    let frame = std::mem::take(a.outgoing());
    assert_eq!(b.feed(&frame).unwrap(), [b"one"]);
    assert_eq!(
        b.feed(&frame),
        Err(FrameError::WrongKey),
        "a replayed frame"
    );
    // Replayed on another connection, after the same hello.
    let mut c = FrameSession::new(false, keys(&["a"]), 7, [3; 16]);
    let (mut d, _) = pair(&["a"], &["a"]);
    transfer(&mut d, &mut c).unwrap();
    assert_eq!(c.feed(&frame), Err(FrameError::WrongKey));
    // A frame that is reflected to its sender.
    let (mut a, mut b) = pair(&["a"], &["a"]);
    establish(&mut a, &mut b).unwrap();
    a.send(b"one");
    let frame = std::mem::take(a.outgoing());
    assert_eq!(a.feed(&frame), Err(FrameError::WrongKey));
}
