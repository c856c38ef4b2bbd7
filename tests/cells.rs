//! Cells of a relay over simulated backends: the confinement of groups to their cells, migrations
//! between cells, invalid files, and the command `cells`.

use jaspermoor_lab::demo::setup;
use jaspermoor_lab::discovery::{Discovery, Entry};
use jaspermoor_lab::line::Backend;
use jaspermoor_lab::relay::{Relay, Setup};
use jaspermoor_lab::until;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Cells `a` and `b` with two endpoints each, by name. Group 5 is pinned to `a` and group 6 to `b`.
const OPERATOR_FILE: &str =
    "[cells]\nno_server = \"refuse\"\nretry_after_ms = 700\nmoves_per_second = 20\n\
    [[cells.cell]]\nname = \"a\"\nservers = [\"s-1\", \"s-2\"]\n\
    [[cells.cell]]\nname = \"b\"\nservers = [\"s-3\", \"s-4\"]\n\
    [[cells.site]]\nkey = \"5\"\ncell = \"a\"\n\
    [[cells.site]]\nkey = \"6\"\ncell = \"b\"\n";
const GROUP_IN_A: u64 = 5;
const GROUP_IN_B: u64 = 6;
const ENDPOINTS_OF_A: [&str; 2] = ["s-1", "s-2"];
const ENDPOINTS_OF_B: [&str; 2] = ["s-3", "s-4"];
/// The answer of a relay that has no cell for a client, with `retry_after_ms` of the operator file.
const REJECTED: &str = "BUSY 700";

/// The operator file with its first pin changed: group 5 belongs to cell `b`.
fn with_group_5_in_b(file: &str) -> String {
    file.replace("key = \"5\"\ncell = \"a\"", "key = \"5\"\ncell = \"b\"")
}

/// A relay over four backends, `s-1` to `s-4`.
struct Fleet {
    backends: Vec<Backend>,
    /// Stops when it is dropped.
    _discovery: Discovery,
    relay: Relay,
    directory: PathBuf,
}

/// A client's connection.
struct Client {
    socket: BufReader<TcpStream>,
    /// The first line with which the client was answered.
    answer: String,
}

impl Client {
    fn is_up(&self) -> bool {
        self.answer.starts_with("UP ")
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.socket.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }
}

impl Fleet {
    fn start(name: &str, operator_file: &str) -> Fleet {
        Fleet::start_with(name, operator_file, |_| {})
    }

    fn start_with(name: &str, operator_file: &str, change: impl FnOnce(&mut Setup)) -> Fleet {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("cells-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        let backends: Vec<Backend> = (0..4).map(|_| Backend::start(None).unwrap()).collect();
        let entries: Vec<Entry> = backends
            .iter()
            .enumerate()
            .map(|(index, backend)| Entry::active(&format!("s-{}", index + 1), backend.addr))
            .collect();
        let discovery = Discovery::start(None, &entries).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_jaspermoor"));
        let mut setup = setup(program, &directory, &discovery);
        setup.operator = Some(operator_file.into());
        change(&mut setup);
        let relay = Relay::start(&setup).unwrap();
        Fleet {
            backends,
            _discovery: discovery,
            relay,
            directory,
        }
    }

    fn open(&self, id: &str, group: u64) -> Client {
        let mut socket = TcpStream::connect(self.relay.addr).unwrap();
        socket
            .set_read_timeout(Some(jaspermoor_lab::PATIENCE))
            .unwrap();
        let client_key = group * 1000 + id.len() as u64;
        write!(
            socket,
            "OPEN {id} {client_key:x} c=chat,d=2000,g={group:x}\r\n"
        )
        .unwrap();
        let mut client = Client {
            socket: BufReader::new(socket),
            answer: String::new(),
        };
        client.answer = client.read_line();
        client
    }

    /// The number of requests at each backend whose ids begin with this prefix.
    fn requests_by_backend(&self, id_prefix: &str) -> Vec<usize> {
        let count = |backend: &Backend| {
            backend.book(|book| {
                book.opened
                    .iter()
                    .filter(|(_, id)| id.starts_with(id_prefix))
                    .count()
            })
        };
        self.backends.iter().map(count).collect()
    }

    /// A metric of a cell.
    fn cell_metric(&self, name: &str, cell: &str) -> Option<u64> {
        self.relay
            .figure(&format!("cell_{name}{{cell=\"{cell}\"}}"))
    }

    fn eject_manually(&self, endpoints: &[&str]) {
        for id in endpoints {
            self.post(&format!("/control/backends/{id}/offline"));
        }
    }

    fn readmit(&self, endpoints: &[&str]) {
        for id in endpoints {
            self.post(&format!("/control/backends/{id}/online"));
        }
    }

    fn post(&self, path: &str) {
        assert_eq!(self.relay.call("POST", path).unwrap().0, 200);
    }

    /// Replaces the operator file and waits until the relay has loaded this many files since its
    /// start.
    fn reload(&self, operator_file: &str, loads: u64) {
        self.relay.reload_operator(operator_file).unwrap();
        until("the reload", || {
            (self.relay.figure("loads_total") == Some(loads)).then_some(())
        });
    }
}

#[test]
fn a_group_stays_in_its_cell_and_the_loss_of_a_cell_does_not_affect_another() {
    let fleet = Fleet::start("confined", OPERATOR_FILE);
    let mut connections = Vec::new();
    for n in 0..12 {
        let client = fleet.open(&format!("a{n}"), GROUP_IN_A);
        assert!(client.is_up(), "{}", client.answer);
        connections.push(client);
        connections.push(fleet.open(&format!("b{n}"), GROUP_IN_B));
    }
    let a = fleet.requests_by_backend("a");
    let b = fleet.requests_by_backend("b");
    assert_eq!([a[0] + a[1], a[2] + a[3]], [12, 0], "{a:?}");
    assert_eq!([b[0] + b[1], b[2] + b[3]], [0, 12], "{b:?}");
    assert_eq!(fleet.cell_metric("in_progress", "a"), Some(12));
    assert_eq!(fleet.cell_metric("in_progress", "b"), Some(12));
    // A whole cell is ejected: its group is rejected at once, with a Retry-After. The other cell is
    // not affected.
    fleet.eject_manually(&ENDPOINTS_OF_A);
    for n in 0..6 {
        let submitted = Instant::now();
        let rejected = fleet.open(&format!("ax{n}"), GROUP_IN_A);
        assert_eq!(rejected.answer, REJECTED);
        assert!(submitted.elapsed() < Duration::from_millis(1500));
        assert!(fleet.open(&format!("bx{n}"), GROUP_IN_B).is_up());
    }
    assert_eq!(fleet.requests_by_backend("ax"), [0, 0, 0, 0]);
    assert_eq!(fleet.cell_metric("refused_total", "a"), Some(6));
    assert_eq!(fleet.cell_metric("refused_total", "b"), Some(0));
    // Established connections of the other cell still pass lines.
    let established = &mut connections[1];
    established.socket.get_mut().write_all(b"M 1\r\n").unwrap();
    assert_eq!(established.read_line(), "M 1");
}

#[test]
fn a_group_without_a_usable_endpoint_borrows_up_to_the_limit_of_the_file() {
    let file = OPERATOR_FILE.replace("\"refuse\"", "\"borrow\"\nborrow_most = 3");
    let fleet = Fleet::start("borrow", &file);
    fleet.eject_manually(&ENDPOINTS_OF_A);
    let connections: Vec<Client> = (0..5)
        .map(|n| fleet.open(&format!("a{n}"), GROUP_IN_A))
        .collect();
    let up = connections.iter().filter(|client| client.is_up()).count();
    assert_eq!(up, 3);
    assert_eq!(connections[4].answer, REJECTED);
    assert_eq!(fleet.cell_metric("borrowed", "b"), Some(3));
    drop(connections);
    until("the borrowed connections to end", || {
        (fleet.cell_metric("borrowed", "b") == Some(0)).then_some(())
    });
}

/// A group gets another cell: new connections go there at once, established ones are migrated one
/// by one, each once.
#[test]
fn migrations_are_paced_and_wait_while_the_new_cell_has_no_usable_endpoint() {
    let fleet = Fleet::start("move", OPERATOR_FILE);
    let mut connections: Vec<Client> = (0..20)
        .map(|n| fleet.open(&format!("a{n}"), GROUP_IN_A))
        .collect();
    fleet.eject_manually(&ENDPOINTS_OF_B);
    fleet.reload(&with_group_5_in_b(OPERATOR_FILE), 1);
    assert_eq!(fleet.open("ax", GROUP_IN_A).answer, REJECTED);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(
        fleet.relay.figure("cell_moves_waiting"),
        Some(20),
        "nothing is migrated to a cell without a usable endpoint"
    );
    let readmitted = Instant::now();
    fleet.readmit(&ENDPOINTS_OF_B);
    for client in &mut connections {
        assert_eq!(client.read_line(), "MOVE");
    }
    // 20 connections at 20 per second take about a second.
    let elapsed = readmitted.elapsed();
    assert!(elapsed > Duration::from_millis(700), "{elapsed:?}");
    until("the migrations to end", || {
        (fleet.relay.figure("cell_moves_waiting") == Some(0)).then_some(())
    });
    assert!(fleet.open("ay", GROUP_IN_A).is_up());
    let requests = fleet.requests_by_backend("ay");
    assert_eq!(requests[0] + requests[1], 0, "{requests:?}");
}

/// The new process continues with the connections that have not been migrated, and migrates each
/// once.
#[test]
fn an_upgrade_continues_the_migrations() {
    let shared_listener = Arc::new(TcpListener::bind("127.0.0.1:0").unwrap());
    shared_listener.set_nonblocking(true).unwrap();
    let slow = OPERATOR_FILE.replace("moves_per_second = 20", "moves_per_second = 1");
    let mut first_setup = None;
    let mut fleet = Fleet::start_with("upgrade", &slow, |setup| {
        setup.held = Some(shared_listener.clone());
        first_setup = Some(setup.clone());
    });
    fleet.relay.addr = shared_listener.local_addr().unwrap();
    let mut connections: Vec<Client> = (0..10)
        .map(|n| fleet.open(&format!("a{n}"), GROUP_IN_A))
        .collect();
    let moved = with_group_5_in_b(&slow);
    fleet.relay.reload_operator(&moved).unwrap();
    until("the first migrations", || {
        (fleet.relay.figure("cell_moves_waiting")? < 10).then_some(())
    });
    let mut second_setup = first_setup.unwrap();
    second_setup.name = "second".into();
    second_setup.operator = Some(moved.replace("moves_per_second = 1", "moves_per_second = 50"));
    let second = Relay::start(&second_setup).unwrap();
    fleet.relay.signal("TERM").unwrap();
    fleet.relay.wait_for("reason=handed-over");
    for client in &mut connections {
        assert_eq!(client.read_line(), "MOVE");
        let mut next_line = String::new();
        assert_eq!(
            client.socket.read_line(&mut next_line).unwrap(),
            0,
            "{next_line}"
        );
    }
    until("the migrations to end", || {
        (second.figure("cell_moves_waiting") == Some(0)).then_some(())
    });
    let migrated = |relay: &Relay| {
        relay
            .lines()
            .iter()
            .filter(|line| line.contains("reason=moved"))
            .count()
    };
    until("ten migrations in all", || {
        (migrated(&second) + migrated(&fleet.relay) == 10).then_some(())
    });
    assert!(migrated(&second) > 0);
}

#[test]
fn an_endpoint_that_changes_its_cell_drains_in_the_old_one_and_serves_the_new_one() {
    let fleet = Fleet::start("server", OPERATOR_FILE);
    let mut connections: Vec<Client> = (0..16)
        .map(|n| fleet.open(&format!("a{n}"), GROUP_IN_A))
        .collect();
    // The endpoint with most of the group's connections is assigned to cell `b`.
    let requests = fleet.requests_by_backend("a");
    let moved = if requests[0] > requests[1] { 0 } else { 1 };
    let staying = 1 - moved;
    let moved_name = format!("s-{}", moved + 1);
    let staying_name = format!("s-{}", staying + 1);
    let file = OPERATOR_FILE
        .replace("\"s-1\", \"s-2\"", &format!("\"{staying_name}\""))
        .replace(
            "\"s-3\", \"s-4\"",
            &format!("\"{moved_name}\", \"s-3\", \"s-4\""),
        );
    fleet.reload(&file, 1);
    let drained = requests[moved];
    assert!(drained > 0);
    until("the drain", || {
        (fleet.cell_metric("in_progress", "a") == Some(16 - drained as u64)).then_some(())
    });
    let mut migrated = 0;
    for client in &mut connections {
        let socket = client.socket.get_ref();
        socket
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let mut line = String::new();
        let _ = client.socket.read_line(&mut line);
        migrated += usize::from(line == "MOVE\r\n");
    }
    assert_eq!(migrated, drained);
    for n in 0..6 {
        assert!(fleet.open(&format!("n{n}"), GROUP_IN_A).is_up());
    }
    let requests = fleet.requests_by_backend("n");
    assert_eq!(requests[staying], 6, "{requests:?}");
}

/// A change that makes the operator file invalid.
struct InvalidChange {
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

const INVALID_CHANGES: [InvalidChange; 7] = [
    InvalidChange {
        from: "cell = \"a\"",
        to: "cell = \"none\"",
        error: "cells.site[0].cell: 'none' is no cell",
    },
    InvalidChange {
        from: "name = \"b\"",
        to: "name = \"a\"",
        error: "cells.cell[1].name: 'a' is empty or there twice",
    },
    InvalidChange {
        from: "key = \"6\"",
        to: "key = \"5\"",
        error: "cells.site[1].key: '5' is there twice",
    },
    InvalidChange {
        from: "\"s-3\"",
        to: "\"s-1\"",
        error: "cells.cell[1].servers[0]: 's-1' is named for two cells",
    },
    InvalidChange {
        from: "moves_per_second = 20",
        to: "moves_per_second = 0",
        error: "cells.moves_per_second: is 0",
    },
    InvalidChange {
        from: "name = \"a\"",
        to: "name = \"a\"\nweight = 99",
        error: "cells.cell[0].weight: is 99, outside 1 to 16",
    },
    InvalidChange {
        from: "name = \"a\"",
        to: "name = \"a\"\ncolour = 1",
        error: "unknown field `colour`",
    },
];

#[test]
fn an_invalid_file_changes_no_cell_and_its_error_names_the_key() {
    let fleet = Fleet::start("bad", OPERATOR_FILE);
    for InvalidChange { from, to, error } in INVALID_CHANGES {
        assert!(OPERATOR_FILE.contains(from), "{from}");
        fleet
            .relay
            .reload_operator(&OPERATOR_FILE.replacen(from, to, 1))
            .unwrap();
        fleet.relay.wait_for(error);
    }
    assert_eq!(fleet.relay.figure("load_errors_total"), Some(7));
    assert!(fleet.open("a", GROUP_IN_A).is_up());
    assert_eq!(fleet.requests_by_backend("a")[2..], [0, 0]);
}

#[test]
fn the_cells_command_shows_explains_and_plans() {
    let fleet = Fleet::start("ask", OPERATOR_FILE);
    let write_file = |name: &str, text: &str| {
        let path = fleet.directory.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let old = write_file("old.toml", OPERATOR_FILE);
    let new = write_file(
        "new.toml",
        &OPERATOR_FILE.replace("cell = \"a\"", "cell = \"b\""),
    );
    let config = fleet.relay.config().display().to_string();
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_jaspermoor"))
            .args(["cells", "--operator", &old, "--config", &config])
            .args(arguments)
            .output()
            .unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        String::from_utf8(output.stdout).unwrap()
    };
    let shown = run(&["show"]);
    assert!(
        shown.contains("1 pinned, 2 servers: s-1 s-2") && shown.contains("cell b: "),
        "{shown}"
    );
    assert!(run(&["explain", "5"]).contains("is in cell a: the operator file pins it there"));
    assert!(run(&["explain", "site7@hazri1.example.org"]).contains("its slot "));
    let plan = run(&["plan", &new]);
    assert!(
        plan.contains("site 0000000000000005: a to b") && plan.contains("sites: 0.0%"),
        "{plan}"
    );
}

/// A manual ejection stays with its endpoint: one that ended while the endpoint was in another cell
/// is not in force when the endpoint is assigned to the first cell again.
#[test]
fn a_manual_ejection_does_not_stay_in_the_cell_that_its_endpoint_left() {
    let fleet = Fleet::start("ejection", OPERATOR_FILE);
    let all_in_b = OPERATOR_FILE
        .replace("\"s-1\", \"s-2\"", "")
        .replace("\"s-3\"", "\"s-1\", \"s-2\", \"s-3\"");
    fleet.eject_manually(&ENDPOINTS_OF_A);
    fleet.reload(&all_in_b, 1);
    fleet.readmit(&ENDPOINTS_OF_A);
    fleet.reload(OPERATOR_FILE, 2);
    let client = fleet.open("home", GROUP_IN_A);
    assert!(client.is_up(), "{}", client.answer);
}
