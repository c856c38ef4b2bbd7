//! Tests of the packets with ids.

use super::*;

#[test]
fn changes_are_decoded_as_they_were_encoded_in_packets_of_limited_length() {
    let opened = |n: usize| IdChange::Opened(format!("{n:0>128}"));
    let many: Vec<IdChange> = (0..1_000).map(opened).collect();
    let mixed = vec![
        IdChange::Opened("01".into()),
        IdChange::Ended("02".into()),
        IdChange::EndedForGood("-".into()),
    ];
    for changes in [Vec::new(), mixed, many] {
        let packets = encode(&changes);
        assert!(!packets.is_empty() && packets.iter().all(|p| p.len() < 56 * 1024));
        let decoded: Vec<IdChange> = packets
            .iter()
            .flat_map(|packet| decode(packet).unwrap().unwrap())
            .collect();
        assert_eq!(decoded, changes);
    }
}

/// An earlier build drops a packet with a line that it does not know as a whole.
#[test]
fn ends_of_windows_have_packets_of_their_own() {
    let until = |n: usize| IdChange::EndedUntil(format!("{n:0>120} spaces"), 1 << 60);
    let ended = |n: usize| IdChange::Ended(n.to_string());
    let changes: Vec<IdChange> = (0..450).flat_map(|n| [until(n), ended(n)]).collect();
    let packets = encode(&changes);
    let decoded = packets
        .iter()
        .map(|packet| decode(packet).unwrap().unwrap());
    let (with_windows, known): (Vec<_>, Vec<_>) = decoded.partition(|changes: &Vec<IdChange>| {
        changes
            .iter()
            .any(|change| !change.is_known_to_earlier_builds())
    });
    assert_eq!(
        with_windows.concat(),
        (0..450).map(until).collect::<Vec<_>>()
    );
    assert_eq!(known.concat(), (0..450).map(ended).collect::<Vec<_>>());
    assert!(packets.iter().all(|packet| packet.len() < 64 * 1024));
}

#[test]
fn packets_of_other_kinds_and_damaged_ones_are_told_apart() {
    assert!(decode(b"{\"list\":true}\n").is_none());
    assert!(decode(b"").is_none());
    for changes in ["01\n", "\n", "+01\n?\n", "~01\n", "~x 01\n"] {
        let packet = [HEADER, changes.as_bytes()].concat();
        assert!(decode(&packet).unwrap().is_err(), "{changes:?}");
    }
    assert!(decode(&[HEADER, &[0xff]].concat()).unwrap().is_err());
}
