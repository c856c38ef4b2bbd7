//! Tests of the decision service alone: decisions, final answers that overtake an attempt, and
//! calls to requests in flight.

use crossbeam_channel::{unbounded, Receiver, Sender};
use jaspermoor::cells::Cells;
use jaspermoor::config::endpoint_list::endpoint_id;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::decision_service::{
    ConnectionSample, Decision, DecisionService, Hooks, PendingDecision, RequestHandle,
};
use jaspermoor::decisions::api::*;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A call of the service to a request or connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    CancelAttempt(u16),
    Migrate,
}

struct RecordingHandle(Sender<Call>);

impl RequestHandle for RecordingHandle {
    fn cancel_attempt(&self, attempt: u16) {
        self.0.send(Call::CancelAttempt(attempt)).unwrap();
    }

    fn migrate(&self) {
        self.0.send(Call::Migrate).unwrap();
    }
}

struct Bench {
    service: Arc<DecisionService>,
    handle: Arc<RecordingHandle>,
    /// Calls to `handle`.
    calls: Receiver<Call>,
    /// Calls to the hook that subscribes to the endpoint list.
    subscriptions: Receiver<bool>,
}

impl Bench {
    /// A service with this many ready endpoints. A thread fires its timers, as in the program.
    fn with_endpoints(count: u64) -> Bench {
        let (subscribe, subscriptions) = unbounded();
        let (check_health, _) = unbounded();
        let settings = Settings {
            polls_endpoint_list: true,
            max_retry_after: SECOND,
            ..Settings::default()
        };
        let cached = (1..=count)
            .map(|id| listed(EndpointId(id), EndpointState::Ready))
            .collect();
        let hooks = Hooks {
            watch_endpoint_list: Box::new(move |watch| subscribe.send(watch).unwrap()),
            check_health,
        };
        let service = DecisionService::new(settings, 7, cached, hooks);
        let weak_service = Arc::downgrade(&service);
        thread::spawn(move || {
            while let Some(service) = weak_service.upgrade() {
                service.fire_timers_and_sleep();
            }
        });
        let (call, calls) = unbounded();
        Bench {
            service,
            handle: Arc::new(RecordingHandle(call)),
            calls,
            subscriptions,
        }
    }

    fn submit(&self, request: Request) -> PendingDecision {
        self.service.submit(request, self.handle.clone(), |_| {})
    }

    fn adopt(&self, request: Request, endpoint: EndpointId) -> RequestId {
        self.service
            .adopt_connection(request, endpoint, self.handle.clone())
    }
}

fn listed(id: EndpointId, state: EndpointState) -> ListedEndpoint {
    ListedEndpoint {
        id,
        zone: 0,
        cell: 0,
        state,
        size: 1.0,
        started_at: None,
    }
}

fn request(time_left: Micros) -> Request {
    Request {
        client_key: 42,
        time_left,
        ..Request::default()
    }
}

/// The next call of the service to a request or connection. The limit is far longer than any test
/// takes.
fn next_call(bench: &Bench) -> Call {
    bench.calls.recv_timeout(Duration::from_secs(30)).unwrap()
}

/// The endpoint and the number of the attempt that is to be made.
fn expect_attempt(decision: Decision) -> (EndpointId, u16) {
    match decision {
        Decision::Attempt {
            endpoint, number, ..
        } => (endpoint, number),
        other => panic!("{other:?} instead of an attempt"),
    }
}

#[test]
fn a_failed_attempt_is_followed_by_the_next_one_and_the_last_by_a_rejection() {
    let bench = Bench::with_endpoints(2);
    let pending = bench.submit(request(60 * SECOND));
    let (first, number) = expect_attempt(pending.wait());
    assert_eq!(number, 0);
    bench
        .service
        .attempt_failed(pending.id, Outcome::Rejected, vec![]);
    let (second, number) = expect_attempt(pending.wait());
    assert!(number == 1 && second != first);
    bench
        .service
        .attempt_failed(pending.id, Outcome::Rejected, vec![]);
    assert!(matches!(pending.wait(), Decision::Reject(wait) if wait > 0 && wait <= SECOND));
    assert!(!bench.service.awaits_answer(pending.id));
}

#[test]
fn the_deadline_cancels_an_attempt_and_one_that_connects_later_is_too_late() {
    let bench = Bench::with_endpoints(1);
    let pending = bench.submit(request(SECOND / 20));
    expect_attempt(pending.wait());
    assert_eq!(bench.calls.recv().unwrap(), Call::CancelAttempt(0));
    assert!(matches!(pending.wait(), Decision::Reject(_)));
    assert!(!bench.service.connected(pending.id, SECOND));
}

#[test]
fn a_client_that_disconnects_ends_the_wait() {
    let bench = Bench::with_endpoints(0);
    let service = bench.service.clone();
    // No endpoint is known: the request waits until its client disconnects.
    let pending = bench
        .service
        .submit(request(60 * SECOND), bench.handle.clone(), move |id| {
            thread::spawn(move || service.client_disconnected(id));
        });
    assert_eq!(pending.wait(), Decision::Withdrawn);
}

#[test]
fn connections_of_a_draining_or_slow_endpoint_are_migrated() {
    let bench = Bench::with_endpoints(2);
    let pending = bench.submit(request(60 * SECOND));
    let (endpoint, _) = expect_attempt(pending.wait());
    assert!(bench.service.connected(pending.id, 1_000));
    bench.service.update_endpoints(
        EndpointListKind::Delta,
        vec![listed(endpoint, EndpointState::Draining)],
    );
    assert_eq!(next_call(&bench), Call::Migrate);
    bench
        .service
        .connection_ended(pending.id, Outcome::Cancelled, vec![]);

    let id = bench.adopt(request(SECOND), EndpointId(3 - endpoint.0));
    bench.service.record_sample(id, ConnectionSample::Load(5.0));
    assert!(bench.calls.is_empty());
    bench
        .service
        .record_sample(id, ConnectionSample::Delay(60 * SECOND));
    assert_eq!(next_call(&bench), Call::Migrate);
}

#[test]
fn a_failed_subscription_to_the_endpoint_list_is_retried() {
    let bench = Bench::with_endpoints(1);
    assert_eq!(bench.subscriptions.recv(), Ok(true));
    bench
        .service
        .update_endpoints(EndpointListKind::WatchFailed, vec![]);
    assert_eq!(bench.subscriptions.recv(), Ok(true));
}

/// Cells `a` with endpoint `s-1` and `b` with `s-2`. Group 2a (42) is pinned to one of them.
fn cells_with_group_in(cell: &str) -> Cells {
    let text = format!(
        "[cells]\nmoves_per_second = 1000\n[[cells.cell]]\nname = 'a'\nservers = ['s-1']\n\
         [[cells.cell]]\nname = 'b'\nservers = ['s-2']\n[[cells.site]]\nkey = '2a'\ncell = '{cell}'\n"
    );
    Cells::from_operator_file(&OperatorFile::parse(Path::new("cells"), text).unwrap()).unwrap()
}

/// One cell `a` with both endpoints, and group 2a; cell `b` is empty.
fn both_endpoints_in_a() -> Cells {
    let text = "[cells]\nmoves_per_second = 1000\n[[cells.cell]]\nname = 'a'\n\
        servers = ['s-1', 's-2']\n[[cells.cell]]\nname = 'b'\nservers = ['s-3']\n\
        [[cells.site]]\nkey = '2a'\ncell = 'a'\n";
    Cells::from_operator_file(&OperatorFile::parse(Path::new("cells"), text.into()).unwrap())
        .unwrap()
}

fn request_of_group_42() -> Request {
    Request {
        group: 42,
        ..request(SECOND)
    }
}

fn ready(name: &str) -> ListedEndpoint {
    listed(endpoint_id(name), EndpointState::Ready)
}

/// The numbers of connections in flight in each cell, and of connections that wait for migration.
fn in_flight(bench: &Bench) -> (Vec<u32>, usize) {
    let (cells, waiting) = bench.service.cell_metrics();
    (cells.iter().map(|cell| cell.in_flight).collect(), waiting)
}

/// A process that takes connections over before it knows the fleet's cells must not migrate those
/// that are at an endpoint of their group's own cell.
#[test]
fn a_connection_whose_endpoint_is_in_its_groups_new_cell_stays_and_is_counted_there() {
    let bench = Bench::with_endpoints(0);
    let endpoints = ["s-1", "s-2"].map(|name| listed(endpoint_id(name), EndpointState::Ready));
    bench
        .service
        .update_endpoints(EndpointListKind::Full, endpoints.to_vec());
    let id = bench.adopt(request_of_group_42(), endpoint_id("s-1"));
    bench.service.update_cells(cells_with_group_in("a"));
    assert_eq!(in_flight(&bench), (vec![1, 0], 0));
    assert!(
        bench.calls.is_empty(),
        "migrated out of its group's own cell"
    );
    // Its new balancer knows the connection: it is migrated when its group gets another cell, and
    // no longer counted when it ends.
    bench.service.update_cells(cells_with_group_in("b"));
    assert_eq!(next_call(&bench), Call::Migrate);
    bench
        .service
        .connection_ended(id, Outcome::Success, Vec::new());
    assert_eq!(in_flight(&bench), (vec![0, 0], 0));
}

/// Guards against connections that stay in the cell that their group has left: only those that
/// were up at the change of the map were migrated.
#[test]
fn a_connection_that_comes_up_after_its_group_changed_its_cell_is_migrated() {
    let bench = Bench::with_endpoints(0);
    bench
        .service
        .update_endpoints(EndpointListKind::Full, ["s-1", "s-2"].map(ready).to_vec());
    bench.service.update_cells(cells_with_group_in("a"));
    let pending = bench.submit(request_of_group_42());
    let (endpoint, _) = expect_attempt(pending.wait());
    assert_eq!(endpoint, endpoint_id("s-1"));
    bench.service.update_cells(cells_with_group_in("b"));
    assert!(bench.calls.is_empty(), "it is not up yet");
    assert!(bench.service.connected(pending.id, 0));
    assert_eq!(next_call(&bench), Call::Migrate);
}

/// Guards against connections that are migrated although they are in their group's cell: they were
/// taken over before a list named their endpoint, and before the process knew the cells.
#[test]
fn a_connection_stays_if_the_cells_are_known_before_the_list_that_names_its_endpoint() {
    let bench = Bench::with_endpoints(0);
    let id = bench.adopt(request_of_group_42(), endpoint_id("s-2"));
    bench.service.update_cells(cells_with_group_in("b"));
    bench
        .service
        .update_endpoints(EndpointListKind::Full, ["s-1", "s-2"].map(ready).to_vec());
    // The connection was queued while its endpoint was unknown; the queue is empty once it has been
    // looked at.
    while in_flight(&bench).1 > 0 {
        thread::yield_now();
    }
    assert_eq!(in_flight(&bench), (vec![0, 1], 0));
    assert!(bench.calls.is_empty(), "migrated out of its group's cell");
    bench
        .service
        .connection_ended(id, Outcome::Success, Vec::new());
    assert_eq!(in_flight(&bench), (vec![0, 0], 0));
}

/// Guards against connections that are never migrated from an endpoint that now belongs to another
/// cell: the list named it only after the change of the map.
#[test]
fn a_connection_is_migrated_if_its_endpoint_is_listed_after_it_changed_its_cell() {
    let bench = Bench::with_endpoints(0);
    bench.service.update_cells(both_endpoints_in_a());
    bench.adopt(request_of_group_42(), endpoint_id("s-2"));
    bench.service.update_cells(cells_with_group_in("a"));
    assert!(bench.calls.is_empty(), "nothing is known of its endpoint");
    bench
        .service
        .update_endpoints(EndpointListKind::Delta, vec![ready("s-1"), ready("s-2")]);
    assert_eq!(next_call(&bench), Call::Migrate);
}

/// Guards against a backend that stays out of use after its manual ejection has ended: the ejection
/// was left in a cell to which the backend was assigned before a list named it.
#[test]
fn an_ejection_from_before_the_list_does_not_stay_in_the_cell_that_the_endpoint_left() {
    let bench = Bench::with_endpoints(0);
    bench.service.update_cells(both_endpoints_in_a());
    bench.service.set_manual_ejection(endpoint_id("s-2"), true);
    bench.service.update_cells(cells_with_group_in("a"));
    bench
        .service
        .update_endpoints(EndpointListKind::Full, ["s-1", "s-2"].map(ready).to_vec());
    assert_eq!(bench.service.unavailable_endpoints(), 1);
    bench.service.set_manual_ejection(endpoint_id("s-2"), false);
    bench.service.update_cells(both_endpoints_in_a());
    assert_eq!(bench.service.unavailable_endpoints(), 0);
}
