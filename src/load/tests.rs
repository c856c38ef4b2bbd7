use super::*;

fn report(endpoint: EndpointId, measured_at: Micros, load: f32) -> LoadReport {
    LoadReport {
        endpoint,
        measured_at,
        values: vec![load],
    }
}

#[test]
fn a_report_replaces_a_check_while_it_is_fresh_and_no_older_report_replaces_it() {
    let cache = LoadReportCache::default();
    let endpoint = EndpointId(7);
    assert_eq!(cache.fresh_report(endpoint, 0), None);
    cache.insert([report(endpoint, 1_000, 0.5)]);
    cache.insert([report(endpoint, 900, 0.9)]);
    assert_eq!(
        cache.fresh_report(endpoint, 1_000 + MAX_REPORT_AGE - 1),
        Some(vec![0.5])
    );
    assert_eq!(
        cache.fresh_report(endpoint, 1_000 + MAX_REPORT_AGE),
        None,
        "older than a check would be"
    );
    assert_eq!(cache.checks_avoided.load(Relaxed), 1);
    assert_eq!(cache.checks_sent.load(Relaxed), 2);
}

#[test]
fn reports_of_endpoints_that_are_not_listed_are_evicted() {
    let cache = LoadReportCache::default();
    let endpoint = EndpointId(7);
    cache.insert([report(endpoint, 1_000, 0.5)]);
    cache.insert([report(endpoint, 2_000, 0.7)]);
    cache.evict(2_000, |_| false);
    assert_eq!(cache.fresh_report(endpoint, 2_000), None);
}

#[test]
fn results_of_the_load_watch_are_cached_at_once_and_its_queues_are_bounded() {
    let cache = LoadReportCache::default();
    cache.request_checks((0..300).map(EndpointId));
    let queued = std::iter::from_fn(|| cache.next_check()).count();
    assert_eq!(queued, QUEUE_CAPACITY);
    assert_eq!(
        cache.take_results().len(),
        300 - QUEUE_CAPACITY,
        "reported as failed, so that the round ends"
    );
    cache.check_finished(EndpointId(1), 50, Some(vec![0.25]));
    cache.check_finished(EndpointId(2), 60, None);
    assert_eq!(cache.fresh_report(EndpointId(1), 60), Some(vec![0.25]));
    let succeeded = CheckResult {
        endpoint: EndpointId(1),
        checked_at: 50,
        report: Some(vec![0.25]),
    };
    let failed = CheckResult {
        endpoint: EndpointId(2),
        checked_at: 60,
        report: None,
    };
    assert_eq!(cache.take_results(), [succeeded, failed]);
}
