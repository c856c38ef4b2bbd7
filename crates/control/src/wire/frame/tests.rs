use super::*;

fn keys(names: &[&str]) -> Vec<Vec<u8>> {
    names.iter().map(|key| key.as_bytes().to_vec()).collect()
}

fn session_pair(dialler_keys: &[&str], acceptor_keys: &[&str]) -> (FrameSession, FrameSession) {
    (
        FrameSession::new(true, keys(dialler_keys), 7, [1; 16]),
        FrameSession::new(false, keys(acceptor_keys), 7, [2; 16]),
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
fn messages_pass_in_both_directions_split_into_bytes_and_with_keys_in_another_order() {
    for (dialler_keys, acceptor_keys) in [
        (&["a"][..], &["a"][..]),
        (&["new", "old"], &["old", "new"]),
        (&["old"], &["new", "old"]),
    ] {
        let (mut a, mut b) = session_pair(dialler_keys, acceptor_keys);
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
    let (mut a, mut b) = session_pair(&["a"], &["b"]);
    assert_eq!(transfer(&mut a, &mut b), Err(FrameError::WrongKey));
    let mut other = FrameSession::new(false, keys(&["a"]), 8, [2; 16]);
    let (mut a, _) = session_pair(&["a"], &["a"]);
    assert_eq!(transfer(&mut a, &mut other), Err(FrameError::WrongFleet));
    let (mut a, mut b) = session_pair(&["a"], &["a"]);
    a.outgoing()[3] = 9;
    assert_eq!(transfer(&mut a, &mut b), Err(FrameError::WrongFormat(9)));
    let (_, mut b) = session_pair(&["a"], &["a"]);
    assert_eq!(b.feed(b"GET / HTTP"), Err(FrameError::WrongProtocol));
    let (mut a, mut b) = session_pair(&["a"], &["a"]);
    establish(&mut a, &mut b).unwrap();
    assert_eq!(
        b.feed(&u32::MAX.to_be_bytes()),
        Err(FrameError::InvalidLength)
    );
}

#[test]
fn replayed_and_reflected_frames_are_rejected() {
    let (mut a, mut b) = session_pair(&["a"], &["a"]);
    establish(&mut a, &mut b).unwrap();
    a.send(b"one");
    let frame = std::mem::take(a.outgoing());
    assert_eq!(b.feed(&frame).unwrap(), [b"one"]);
    assert_eq!(
        b.feed(&frame),
        Err(FrameError::WrongKey),
        "a replayed frame"
    );
    // The frame is replayed on another connection after the same hello.
    let mut c = FrameSession::new(false, keys(&["a"]), 7, [3; 16]);
    let (mut d, _) = session_pair(&["a"], &["a"]);
    transfer(&mut d, &mut c).unwrap();
    assert_eq!(c.feed(&frame), Err(FrameError::WrongKey));
    // The frame is reflected to its sender.
    let (mut a, mut b) = session_pair(&["a"], &["a"]);
    establish(&mut a, &mut b).unwrap();
    a.send(b"one");
    let frame = std::mem::take(a.outgoing());
    assert_eq!(a.feed(&frame), Err(FrameError::WrongKey));
}
