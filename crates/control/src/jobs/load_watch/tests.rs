use super::*;

fn columns(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_round_probes_each_endpoint_once_with_bounded_concurrency_and_reports_the_answers() {
    let (mut watch, of) = (LoadWatch::default(), columns(&["x0"]));
    assert_eq!(watch.tick(0, || 0..6), [0, 1, 2, 3]);
    watch.health_checked(1_000, 0, Some(vec![0.5]));
    watch.health_checked(2_000, 1, None);
    assert_eq!(watch.tick(2_000, || 0..6), [4, 5]);
    assert_eq!(watch.take_reports(3_000, &of), None, "four are out");
    for server in 2..5 {
        watch.health_checked(4_000, server, Some(vec![1.0]));
    }
    let told = watch.take_reports(ROUND_END, &of).unwrap();
    assert_eq!(
        told.reports.iter().map(|row| row.0).collect::<Vec<_>>(),
        [0, 2, 3, 4]
    );
    assert_eq!(told.reports[0].1, ROUND_END - 1_000);
    assert_eq!(watch.take_reports(ROUND_END + 1, &of), None, "once a round");
    assert_eq!(
        watch.tick(ROUND, || 0..2),
        [0, 1],
        "the next round waits for nobody"
    );
    // Nobody answers: it once asked to be called at a moment that had passed, again and again.
    assert_eq!(watch.take_reports(ROUND + ROUND_END, &of), None);
    assert_eq!(watch.next_tick(), 2 * ROUND);
}

#[test]
fn a_watch_that_reaches_no_endpoint_fails_after_a_while() {
    let mut watch = LoadWatch::default();
    for n in 0..7 {
        let now = n * ROUND;
        assert_eq!(watch.failure(now), None, "{n}");
        watch.tick(now, || 0..2);
        watch.health_checked(now, 0, None);
        watch.health_checked(now, 1, (n == 0).then(|| vec![1.0]));
    }
    assert!(watch.failure(7 * ROUND).is_some());
    watch.tick(7 * ROUND, || 0..2);
    watch.health_checked(7 * ROUND, 5, Some(vec![0.1]));
    assert!(watch.failure(7 * ROUND).is_some(), "that one was not asked");
    watch.health_checked(7 * ROUND, 0, Some(vec![0.1]));
    assert_eq!(watch.failure(20 * ROUND), None);
}

#[test]
fn columns_are_matched_by_name_and_malformed_rows_are_skipped() {
    let of = vec![(7, 5, vec![0.25, 3.0]), (8, 5, vec![1.0])];
    let loads = LoadReports {
        columns: columns(&["x0", "active"]),
        reports: of,
    };
    let loads = LoadReports::decode(&loads.encode()).unwrap();
    assert_eq!(
        loads.rows(&columns(&["active", "x0"])).collect::<Vec<_>>(),
        [(7, 5, vec![3.0, 0.25])]
    );
    assert_eq!(loads.rows(&columns(&["qps"])).count(), 0);
    assert_eq!(LoadReports::decode(b"what is this"), None);
}
