//! Tests of the requests to the admin address, and of the places of its callers.

use super::*;
use crate::config::endpoint_list::BackendAddress;
use crate::config::Config;
use crate::decision_service::Hooks;
use crate::decisions::api::{EndpointState, ListedEndpoint};
use crossbeam_channel::bounded;
use std::path::Path;

#[test]
fn a_request_is_parsed_once_its_head_is_complete() {
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(65));
    let long = format!("GET / HTTP/1.1\r\na: {}", "b".repeat(MAX_HEAD_BYTES));
    // (head, request or status of the refusal)
    let cases: &[(&str, Result<AdminRequest, u16>)] = &[
        (
            "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n",
            Ok(AdminRequest::Ready),
        ),
        (
            "GET /control/counters?all=1 HTTP/1.1\r\n\r\n",
            Ok(AdminRequest::Metrics),
        ),
        (
            "POST /control/backends/s-1/offline HTTP/1.1\r\n\r\n",
            Ok(AdminRequest::EjectBackend("s-1".into())),
        ),
        (
            "POST /control/backends/s%2F1/online HTTP/1.1\r\n\r\n",
            Ok(AdminRequest::RestoreBackend("s/1".into())),
        ),
        (
            "GET /control/backends/s-1/offline HTTP/1.1\r\n\r\n",
            Err(405),
        ),
        ("POST /control/backends/s-1/away HTTP/1.1\r\n\r\n", Err(404)),
        ("POST /control/backends//online HTTP/1.1\r\n\r\n", Err(404)),
        (
            "POST /control/backends/%ff/online HTTP/1.1\r\n\r\n",
            Err(404),
        ),
        ("POST /control/ready HTTP/1.1\r\n\r\n", Err(405)),
        ("GET /control HTTP/1.1\r\n\r\n", Err(404)),
        ("GET /control/ready/ HTTP/1.1\r\n\r\n", Err(404)),
        ("nonsense\r\n\r\n", Err(400)),
        ("\u{0}\r\n", Err(400)),
        (&many, Err(431)),
        (&long, Err(431)),
    ];
    for (head, expected) in cases {
        let parsed = parse_request(head.as_bytes())
            .unwrap()
            .map_err(|(status, _)| status);
        assert_eq!(&parsed, expected, "{head}");
    }
    for part in [
        "",
        "GET",
        "GET /control/ready HTTP/1.1\r\n",
        "GET /control/ready HTTP/1.1\r\nHost: x\r\n",
    ] {
        assert_eq!(parse_request(part.as_bytes()), None, "{part}");
    }
}

/// Guards against callers that have their answers and stay: they took the places of callers that
/// still wait for theirs.
#[test]
fn an_answered_caller_makes_room_before_one_that_waits() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connect = || {
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (Caller::new(stream), listener.accept().unwrap().0)
    };
    let (mut callers, mut peers): (Vec<Caller>, Vec<TcpStream>) = (0..3).map(|_| connect()).unzip();
    assert_eq!(place_to_free(&callers), 0, "the oldest, if all wait");
    for n in [2, 1] {
        peers[n]
            .write_all(b"GET /control/ready HTTP/1.1\r\n\r\n")
            .unwrap();
        assert!(callers[n].advance(&mut |_| response(200, "ready")));
        assert_eq!(place_to_free(&callers), n, "the first that has its answer");
    }
}

/// The admin address of a process that shares its manual ejections in this directory.
fn admin_of_process(shared: &Path) -> Admin {
    let text = format!(
        r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","settings":{}}}"#,
        include_str!("../../../tests/data/settings.json")
    );
    let config = Config::parse(text.into_bytes(), &|_| None).unwrap();
    let hooks = Hooks {
        watch_endpoint_list: Box::new(|_| ()),
        check_health: bounded(1).0,
    };
    let directory = Arc::new(Directory::default());
    let backend = BackendAddress {
        name: "s-1".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
    };
    let listed = ListedEndpoint {
        id: endpoint_id("s-1"),
        zone: 0,
        cell: 0,
        state: EndpointState::Ready,
        size: 1.0,
        started_at: None,
    };
    directory.update(true, &[(backend, listed)]);
    let context = AdminContext {
        decisions: DecisionService::new(config.settings, 1, Vec::new(), hooks),
        directory,
        metrics: Arc::default(),
        open: Arc::default(),
    };
    let ejections = ManualEjections::new(Some(shared.to_path_buf()));
    Admin::open("127.0.0.1:0".parse().unwrap(), context, ejections).unwrap()
}

fn request(process: &mut Admin, ejected: bool) {
    assert_eq!(process.set_ejection("s-1", ejected).0, 200);
}

/// Whether each process has ejected the backend, once it has read what the other one has changed.
fn are_ejected(processes: &mut [Admin; 2]) -> [bool; 2] {
    processes.iter_mut().for_each(Admin::apply_shared_changes);
    let is_ejected = |admin: &Admin| !admin.context.directory.is_available(endpoint_id("s-1"));
    [is_ejected(&processes[0]), is_ejected(&processes[1])]
}

/// Guards against an ejection that is confirmed and does not last, and against one that stays
/// after its end was confirmed: a process that had not read yet what another one had changed took
/// the request for a repetition.
#[test]
fn requests_to_two_processes_take_effect_in_their_order() {
    let shared = tempfile::tempdir().unwrap();
    let mut processes = [(); 2].map(|()| admin_of_process(shared.path()));
    // No process reads the changes of the other between these requests.
    request(&mut processes[0], true);
    request(&mut processes[1], true);
    request(&mut processes[0], false);
    request(&mut processes[1], true);
    assert_eq!(are_ejected(&mut processes), [true, true], "out, back, out");
    request(&mut processes[0], false);
    request(&mut processes[1], true);
    request(&mut processes[0], false);
    assert_eq!(
        are_ejected(&mut processes),
        [false, false],
        "back, out, back"
    );
}
