//! Tests of the count of what TLS buffers.

use super::*;

#[test]
fn the_part_of_a_record_that_has_come_is_known_for_every_split_of_the_input() {
    let record = |payload: usize| {
        let [high, low] = (payload as u16).to_be_bytes();
        [vec![23, 3, 3, high, low], vec![0; payload]].concat()
    };
    // An empty record, a short one, and 7 of the 305 bytes of a third.
    let input = [record(0), record(9), record(300)[..7].to_vec()].concat();
    for step in 1..=input.len() {
        let mut records = RecordBoundaries::default();
        input.chunks(step).for_each(|chunk| records.feed(chunk));
        assert_eq!(records.received, 7, "chunks of {step} bytes");
        assert_eq!(records.record_len(), Some(305), "chunks of {step} bytes");
    }
}
