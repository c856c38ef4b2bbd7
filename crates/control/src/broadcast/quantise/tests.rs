use super::*;

/// Thresholds of the decisions, as loads.
const THRESHOLDS: [f32; 8] = [0.3, 0.4, 0.6, 0.7, 0.75, 0.9, 1.0, 1.5];

#[test]
fn a_quantised_load_is_on_the_same_side_of_each_threshold() {
    for n in 0..160_000u32 {
        let measured = n as f32 / 100_000.0;
        let quantised = load(level(measured).unwrap());
        assert!(
            (quantised - measured).abs() <= 0.02501,
            "{measured} becomes {quantised}"
        );
        for threshold in THRESHOLDS
            .into_iter()
            .filter(|threshold| *threshold != measured)
        {
            assert_eq!(
                quantised < threshold,
                measured < threshold,
                "{measured} becomes {quantised}, at {threshold}"
            );
        }
    }
}

#[test]
fn quantised_counts_are_within_three_hundredths_and_keep_their_level() {
    for n in 2..100_000u32 {
        let quantised = load(level(n as f32).unwrap());
        assert!(
            (quantised / n as f32 - 1.0).abs() < 0.023,
            "{n} becomes {quantised}"
        );
    }
    for n in 0..400 {
        assert_eq!(level(load(n)), Some(n), "{n}");
    }
    assert!(
        level(100.0).unwrap() < 128,
        "the level of a hundred connections takes one byte"
    );
}

#[test]
fn invalid_loads_have_no_level() {
    for invalid in [-0.1, f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        assert_eq!(level(invalid), None);
    }
    assert!(level(f32::MAX).is_some());
}
