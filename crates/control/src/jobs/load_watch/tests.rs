use super::*;

fn columns(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_round_checks_each_endpoint_once_with_bounded_concurrency_and_reports_the_answers() {
    let mut watch = LoadWatch::default();
    let columns = columns(&["x0"]);
    assert_eq!(watch.tick(0, || 0..6), [0, 1, 2, 3]);
    watch.health_checked(1_000, 0, Some(vec![0.5]));
    watch.health_checked(2_000, 1, None);
    assert_eq!(watch.tick(2_000, || 0..6), [4, 5]);
    assert_eq!(
        watch.take_reports(3_000, &columns),
        None,
        "four health checks are in flight"
    );
    for endpoint in 2..5 {
        watch.health_checked(4_000, endpoint, Some(vec![1.0]));
    }
    let published = watch.take_reports(ROUND_TIMEOUT, &columns).unwrap();
    assert_eq!(
        published
            .reports
            .iter()
            .map(|report| report.endpoint)
            .collect::<Vec<_>>(),
        [0, 2, 3, 4]
    );
    assert_eq!(published.reports[0].age, ROUND_TIMEOUT - 1_000);
    assert_eq!(
        watch.take_reports(ROUND_TIMEOUT + 1, &columns),
        None,
        "once per round"
    );
    assert_eq!(
        watch.tick(ROUND_INTERVAL, || 0..2),
        [0, 1],
        "the next round does not wait for health checks in flight"
    );
    // If no endpoint answers, the next tick is that of the next round and not in the past.
    assert_eq!(
        watch.take_reports(ROUND_INTERVAL + ROUND_TIMEOUT, &columns),
        None
    );
    assert_eq!(watch.next_tick(), 2 * ROUND_INTERVAL);
}

#[test]
fn a_watch_that_reaches_no_endpoint_fails_after_a_timeout() {
    let mut watch = LoadWatch::default();
    for n in 0..7 {
        let now = n * ROUND_INTERVAL;
        assert_eq!(watch.failure(now), None, "{n}");
        watch.tick(now, || 0..2);
        watch.health_checked(now, 0, None);
        watch.health_checked(now, 1, (n == 0).then(|| vec![1.0]));
    }
    assert!(watch.failure(7 * ROUND_INTERVAL).is_some());
    watch.tick(7 * ROUND_INTERVAL, || 0..2);
    watch.health_checked(7 * ROUND_INTERVAL, 5, Some(vec![0.1]));
    assert!(
        watch.failure(7 * ROUND_INTERVAL).is_some(),
        "that endpoint was not being checked"
    );
    watch.health_checked(7 * ROUND_INTERVAL, 0, Some(vec![0.1]));
    assert_eq!(watch.failure(20 * ROUND_INTERVAL), None);
}

#[test]
fn columns_are_matched_by_name_and_malformed_rows_are_skipped() {
    let report = |endpoint, values: &[f32]| LoadReport {
        endpoint,
        age: 5,
        values: values.to_vec(),
    };
    let loads = LoadReports {
        columns: columns(&["x0", "active"]),
        reports: vec![report(7, &[0.25, 3.0]), report(8, &[1.0])],
    };
    let loads = LoadReports::decode(&loads.encode()).unwrap();
    assert_eq!(
        loads.rows(&columns(&["active", "x0"])).collect::<Vec<_>>(),
        [report(7, &[3.0, 0.25])]
    );
    assert_eq!(loads.rows(&columns(&["qps"])).count(), 0);
    assert_eq!(LoadReports::decode(b"not a load report"), None);
}

#[test]
fn load_reports_have_the_encoding_of_older_builds() {
    #[derive(Serialize)]
    struct OlderLoadReports {
        columns: Vec<String>,
        of: Vec<(u64, Micros, Vec<f32>)>,
    }
    let older = OlderLoadReports {
        columns: columns(&["x0"]),
        of: vec![(7, 5, vec![0.25])],
    };
    let current = LoadReports {
        columns: columns(&["x0"]),
        reports: vec![LoadReport {
            endpoint: 7,
            age: 5,
            values: vec![0.25],
        }],
    };
    assert_eq!(current.encode(), wire::encode(&older));
    assert_eq!(LoadReports::decode(&wire::encode(&older)), Some(current));
}

/// Guards against an owner that ends: a health check that ended after the tick had read its clock
/// had a negative age.
#[test]
fn a_report_that_is_newer_than_the_tick_has_age_zero() {
    let mut watch = LoadWatch::default();
    assert_eq!(watch.tick(0, || 0..1), [0]);
    watch.health_checked(1_001, 0, Some(vec![0.5]));
    let published = watch.take_reports(1_000, &columns(&["x0"])).unwrap();
    assert_eq!(published.reports[0].age, 0);
}
