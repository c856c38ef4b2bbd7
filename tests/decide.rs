//! The facade alone: verdicts, what overtakes an attempt, and calls to what is under way.

use crossbeam_channel::{unbounded, Receiver, Sender};
use jaspermoor::decision_service::{
    ConnectionSample, Decision, DecisionService, Hooks, RequestHandle,
};
use jaspermoor::decisions::api::*;
use std::sync::Arc;
use std::thread;

/// Keeps what it was asked: an attempt to give up, or (none) to move.
struct Asked(Sender<Option<u16>>);

impl RequestHandle for Asked {
    fn cancel_attempt(&self, attempt: u16) {
        self.0.send(Some(attempt)).unwrap();
    }

    fn migrate(&self) {
        self.0.send(None).unwrap();
    }
}

struct Bench {
    decisions: Arc<DecisionService>,
    flow: Arc<Asked>,
    asked: Receiver<Option<u16>>,
    watch: Receiver<bool>,
}

fn member(n: u64, state: EndpointState) -> ListedEndpoint {
    ListedEndpoint {
        id: EndpointId(n),
        zone: 0,
        cell: 0,
        state,
        size: 1.0,
        started_at: None,
    }
}

/// Decisions over `n` servers, whose timers run as in the program.
fn bench(n: u64) -> Bench {
    let (watch, orders) = unbounded();
    let (probe, _) = unbounded();
    let settings = Settings {
        polls_endpoint_list: true,
        max_retry_after: SECOND,
        ..Settings::default()
    };
    let cached = (1..=n).map(|n| member(n, EndpointState::Ready)).collect();
    let decisions = DecisionService::new(
        settings,
        7,
        cached,
        Hooks {
            watch_endpoint_list: Box::new(move |on| watch.send(on).unwrap()),
            check_health: probe,
        },
    );
    let ticker = Arc::downgrade(&decisions);
    thread::spawn(move || {
        while let Some(decisions) = ticker.upgrade() {
            decisions.fire_timers_and_sleep();
        }
    });
    let (asks, asked) = unbounded();
    Bench {
        decisions,
        flow: Arc::new(Asked(asks)),
        asked,
        watch: orders,
    }
}

fn request(left: Micros) -> Request {
    Request {
        client_key: 42,
        time_left: left,
        ..Request::default()
    }
}

fn attempt(verdict: Decision) -> (EndpointId, u16) {
    match verdict {
        Decision::Attempt {
            endpoint: server,
            number,
            ..
        } => (server, number),
        other => panic!("{other:?} in place of an attempt"),
    }
}

#[test]
fn a_report_brings_the_next_attempt_and_then_the_refusal() {
    let b = bench(2);
    let pick = b
        .decisions
        .submit(request(60 * SECOND), b.flow.clone(), |_| {});
    let (first, number) = attempt(pick.wait());
    assert_eq!(number, 0);
    b.decisions
        .attempt_failed(pick.id, Outcome::Rejected, vec![]);
    let (second, number) = attempt(pick.wait());
    assert!(number == 1 && second != first);
    b.decisions
        .attempt_failed(pick.id, Outcome::Rejected, vec![]);
    assert!(matches!(pick.wait(), Decision::Reject(wait) if wait > 0 && wait <= SECOND));
    assert!(!b.decisions.awaits_answer(pick.id));
}

/// At the deadline the attempt is given up and answered; one that comes up after that is too late.
#[test]
fn the_deadline_overtakes_an_attempt() {
    let b = bench(1);
    let pick = b
        .decisions
        .submit(request(SECOND / 20), b.flow.clone(), |_| {});
    attempt(pick.wait());
    assert_eq!(b.asked.recv().unwrap(), Some(0));
    assert!(matches!(pick.wait(), Decision::Reject(_)));
    assert!(!b.decisions.connected(pick.id, SECOND));
}

#[test]
fn a_client_that_leaves_ends_the_wait() {
    let b = bench(0);
    let decisions = b.decisions.clone();
    // No server is known: the request is held until its client leaves.
    let pick = b
        .decisions
        .submit(request(60 * SECOND), b.flow.clone(), move |id| {
            thread::spawn(move || decisions.client_disconnected(id));
        });
    assert_eq!(pick.wait(), Decision::Withdrawn);
}

#[test]
fn a_drain_and_a_late_server_move_what_stands_there() {
    let b = bench(2);
    let pick = b
        .decisions
        .submit(request(60 * SECOND), b.flow.clone(), |_| {});
    let (server, _) = attempt(pick.wait());
    assert!(b.decisions.connected(pick.id, 1_000));
    b.decisions.update_endpoints(
        EndpointListKind::Delta,
        vec![member(server.0, EndpointState::Draining)],
    );
    assert_eq!(b.asked.recv().unwrap(), None);
    b.decisions
        .connection_ended(pick.id, Outcome::Cancelled, vec![]);

    let id =
        b.decisions
            .adopt_connection(request(SECOND), EndpointId(3 - server.0), b.flow.clone());
    b.decisions.record_sample(id, ConnectionSample::Load(5.0));
    assert!(b.asked.is_empty());
    b.decisions
        .record_sample(id, ConnectionSample::Delay(60 * SECOND));
    assert_eq!(b.asked.recv().unwrap(), None);
}

#[test]
fn a_failed_watch_is_asked_for_again() {
    let b = bench(1);
    assert_eq!(b.watch.recv(), Ok(true));
    b.decisions
        .update_endpoints(EndpointListKind::WatchFailed, vec![]);
    assert_eq!(b.watch.recv(), Ok(true));
}

/// A process that takes connections over before it knows the fleet's cells once moved every one of them, though each
/// stood at a server of its site's own cell.
#[test]
fn a_connection_whose_server_is_of_its_sites_new_cell_stays_and_counts_there() {
    use jaspermoor::cells::Cells;
    use jaspermoor::config::listing::server_id;
    use jaspermoor::config::operator::OperatorFile;
    let bench = bench(0);
    let listed = |name: &str| ListedEndpoint {
        id: server_id(name),
        ..member(0, EndpointState::Ready)
    };
    bench
        .decisions
        .update_endpoints(EndpointListKind::Full, vec![listed("s-1"), listed("s-2")]);
    let open = Request {
        group: 42,
        ..request(SECOND)
    };
    let id = bench
        .decisions
        .adopt_connection(open, server_id("s-1"), bench.flow.clone());
    let cells = |cell: &str| {
        let text = format!(
            "[cells]\nmoves_per_second = 1000\n[[cells.cell]]\nname = 'a'\nservers = ['s-1']\n\
             [[cells.cell]]\nname = 'b'\nservers = ['s-2']\n[[cells.site]]\nkey = '2a'\ncell = '{cell}'\n"
        );
        Cells::of(&OperatorFile::parse(std::path::Path::new("cells"), text).unwrap()).unwrap()
    };
    let holds = || {
        let (figures, waiting) = bench.decisions.cell_metrics();
        (
            figures
                .iter()
                .map(|cell| cell.in_flight)
                .collect::<Vec<_>>(),
            waiting,
        )
    };
    bench.decisions.update_cells(cells("a"));
    assert_eq!(holds(), (vec![1, 0], 0));
    assert!(
        bench.asked.is_empty(),
        "it was moved though it stands where it belongs"
    );
    // Its new balancer knows it: it is moved when its site leaves, and forgotten when it ends.
    bench.decisions.update_cells(cells("b"));
    assert_eq!(bench.asked.recv().unwrap(), None);
    bench
        .decisions
        .connection_ended(id, Outcome::Success, Vec::new());
    assert_eq!(holds(), (vec![0, 0], 0));
}
