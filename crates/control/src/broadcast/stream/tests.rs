use super::*;

fn received(sequences: &[u64]) -> ReceivedSequences {
    let mut received = ReceivedSequences {
        stream: 3,
        ..ReceivedSequences::default()
    };
    sequences
        .iter()
        .for_each(|sequence| received.add(3, *sequence));
    received
}

fn send(stream: &mut Stream, now: Micros, version: u64) -> u64 {
    stream.send(now, vec![("a".into(), HeldVersion::new(1, version))])
}

#[test]
fn an_acknowledgement_records_sequence_numbers_in_any_order() {
    let acknowledgement = received(&[1, 2, 5, 4, 40, 38, 2]);
    let has: Vec<u64> = (1..=41)
        .filter(|sequence| acknowledgement.has(*sequence))
        .collect();
    assert_eq!(
        has,
        [38, 40],
        "numbers more than 32 below the highest count as lost"
    );
    let acknowledgement = received(&[2, 4, 3, 34]);
    let has: Vec<u64> = (1..=41)
        .filter(|sequence| acknowledgement.has(*sequence))
        .collect();
    assert_eq!(has, [2, 3, 4, 34]);
    let mut other = acknowledgement;
    other.add(2, 99);
    assert_eq!(other, acknowledgement, "another stream changes nothing");
}

#[test]
fn changes_start_from_the_sent_version_or_the_acknowledged_one_after_a_loss() {
    let mut stream = Stream::new(3, [("a".to_string(), HeldVersion::new(1, 4))]);
    assert!(
        !stream.lacks("a", HeldVersion::new(1, 4))
            && stream.lacks("a", HeldVersion::new(1, 5))
            && stream.lacks("b", HeldVersion::new(1, 1))
    );
    assert_eq!((send(&mut stream, 0, 5), send(&mut stream, 10, 6)), (1, 2));
    assert!(!stream.lacks("a", HeldVersion::new(1, 6)));
    stream.handle_acknowledgement(20, received(&[1]));
    assert_eq!(
        stream.sent("a"),
        HeldVersion::new(1, 6),
        "the delivery is in flight"
    );
    stream.handle_acknowledgement(ACKNOWLEDGEMENT_TIMEOUT + 10, received(&[1]));
    assert_eq!(
        stream.sent("a"),
        HeldVersion::new(1, 5),
        "the delivery is lost"
    );
    // A delivery that a later one has overtaken also counts as lost, until it arrives.
    send(&mut stream, ACKNOWLEDGEMENT_TIMEOUT + 20, 7);
    send(&mut stream, ACKNOWLEDGEMENT_TIMEOUT + 20, 7);
    stream.handle_acknowledgement(ACKNOWLEDGEMENT_TIMEOUT + 30, received(&[1, 4]));
    assert_eq!(stream.sent("a"), HeldVersion::new(1, 7));
    // An acknowledgement of another stream is ignored.
    send(&mut stream, ACKNOWLEDGEMENT_TIMEOUT + 40, 8);
    stream.handle_acknowledgement(
        ACKNOWLEDGEMENT_TIMEOUT + 50,
        ReceivedSequences {
            stream: 2,
            highest: 5,
            bitmap: u32::MAX,
        },
    );
    stream.handle_acknowledgement(2 * ACKNOWLEDGEMENT_TIMEOUT + 50, received(&[]));
    assert_eq!(stream.sent("a"), HeldVersion::new(1, 7));
}

#[test]
fn deliveries_in_flight_are_bounded_and_evicted_ones_are_sent_again() {
    let mut stream = Stream::new(3, []);
    stream.send(0, vec![("b".into(), HeldVersion::new(1, 1))]);
    for version in 1..=MAX_IN_FLIGHT as u64 {
        send(&mut stream, 0, version);
    }
    assert_eq!(stream.in_flight.len(), MAX_IN_FLIGHT);
    assert!(stream.lacks("b", HeldVersion::new(1, 1)));
}
