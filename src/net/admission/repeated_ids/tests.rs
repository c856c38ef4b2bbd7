//! Tests of the ids that are remembered after their requests have ended.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn is_harmful(ids: &mut RepeatedIds, id: &str, now: Instant) -> bool {
    ids.harmful_from(id, now).is_some_and(|from| now >= from)
}

#[test]
fn an_id_is_harmful_from_its_time_on_and_is_forgotten_after_a_minute() {
    let (start, mut ids) = (Instant::now(), RepeatedIds::default());
    ids.insert("unsafe", start, start);
    // The backends drop its duplicates for five seconds.
    ids.insert("keyed", start + 5 * SECOND, start);
    let mut harmful = |id, seconds| is_harmful(&mut ids, id, start + seconds * SECOND);
    assert!(harmful("unsafe", 0) && harmful("unsafe", 59));
    assert!(!harmful("keyed", 4) && harmful("keyed", 5));
    assert!(!harmful("other", 5));
    assert!(!harmful("unsafe", 60) && harmful("keyed", 64));
    assert!(!harmful("keyed", 65));
    assert!(ids.harmful_from.is_empty() && ids.expiries.is_empty());
}

/// Guards against memory that grows with every new name.
#[test]
fn the_number_of_remembered_ids_is_bounded_and_the_latest_stay() {
    let (start, mut ids) = (Instant::now(), RepeatedIds::default());
    for n in 0..=MAX_REMEMBERED {
        ids.insert(&n.to_string(), start, start);
        // An id that ends again is remembered once.
        ids.insert(&n.to_string(), start, start);
    }
    assert_eq!(ids.expiries.len(), ids.harmful_from.len());
    assert_eq!(ids.expiries.len(), MAX_REMEMBERED);
    assert!(!is_harmful(&mut ids, "0", start));
    let latest = MAX_REMEMBERED.to_string();
    assert!(is_harmful(&mut ids, "1", start) && is_harmful(&mut ids, &latest, start));
}
