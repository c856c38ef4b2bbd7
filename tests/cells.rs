//! Cells before stand-in backends: what is confined, what is moved, and what an operator can ask.

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

/// Cells `a` and `b` with two servers each, by name; sites 5 and 6 are pinned.
const FILE: &str = "[cells]\nno_server = \"refuse\"\nretry_after_ms = 700\nmoves_per_second = 20\n\
    [[cells.cell]]\nname = \"a\"\nservers = [\"s-1\", \"s-2\"]\n\
    [[cells.cell]]\nname = \"b\"\nservers = [\"s-3\", \"s-4\"]\n\
    [[cells.site]]\nkey = \"5\"\ncell = \"a\"\n\
    [[cells.site]]\nkey = \"6\"\ncell = \"b\"\n";

struct Fleet {
    backends: Vec<Backend>,
    discovery: Discovery,
    relay: Relay,
    dir: PathBuf,
}

fn fleet(name: &str, file: &str, change: impl FnOnce(&mut Setup)) -> Fleet {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("cells-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let backends: Vec<Backend> = (0..4).map(|_| Backend::start(None).unwrap()).collect();
    let entry = |(n, b): (usize, &Backend)| Entry::active(&format!("s-{}", n + 1), b.addr);
    let entries: Vec<Entry> = backends.iter().enumerate().map(entry).collect();
    let discovery = Discovery::start(None, &entries).unwrap();
    let mut setup = setup(
        Path::new(env!("CARGO_BIN_EXE_jaspermoor")),
        &dir,
        &discovery,
    );
    setup.operator = Some(file.into());
    change(&mut setup);
    let relay = Relay::start(&setup).unwrap();
    Fleet {
        backends,
        discovery,
        relay,
        dir,
    }
}

/// A client's connection and the first line that it was answered with.
struct Client(BufReader<TcpStream>, String);

impl Client {
    fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }
}

impl Fleet {
    fn open(&self, id: &str, site: u64) -> Client {
        let mut socket = TcpStream::connect(self.relay.addr).unwrap();
        socket
            .set_read_timeout(Some(jaspermoor_lab::PATIENCE))
            .unwrap();
        write!(
            socket,
            "OPEN {id} {:x} c=chat,d=2000,g={site:x}\r\n",
            site * 1000 + id.len() as u64
        )
        .unwrap();
        let mut client = Client(BufReader::new(socket), String::new());
        client.1 = client.line();
        client
    }

    /// Which backends have had requests whose ids begin with this.
    fn had(&self, prefix: &str) -> Vec<usize> {
        let count = |b: &Backend| {
            b.book(|b| {
                b.opened
                    .iter()
                    .filter(|(_, id)| id.starts_with(prefix))
                    .count()
            })
        };
        self.backends.iter().map(count).collect()
    }

    /// A figure of a cell.
    fn figure(&self, name: &str, cell: &str) -> Option<u64> {
        self.relay
            .figure(&format!("cell_{name}{{cell=\"{cell}\"}}"))
    }
}

#[test]
fn a_site_never_leaves_its_cell_and_its_harm_stays_there() {
    let fleet = fleet("confined", FILE, |_| {});
    let mut open = Vec::new();
    for n in 0..12 {
        let client = fleet.open(&format!("a{n}"), 5);
        assert!(client.1.starts_with("UP "), "{}", client.1);
        open.push(client);
        open.push(fleet.open(&format!("b{n}"), 6));
    }
    let (a, b) = (fleet.had("a"), fleet.had("b"));
    assert_eq!(
        (a[0] + a[1], a[2] + a[3], b[0] + b[1], b[2] + b[3]),
        (12, 0, 0, 12),
        "{a:?} {b:?}"
    );
    assert_eq!(
        (
            fleet.figure("in_progress", "a"),
            fleet.figure("in_progress", "b")
        ),
        (Some(12), Some(12))
    );
    // The poisoned site's whole cell is taken out: it is refused at once, with the time; the others notice nothing.
    for id in ["s-1", "s-2"] {
        assert_eq!(
            fleet
                .relay
                .call("POST", &format!("/control/backends/{id}/offline"))
                .unwrap()
                .0,
            200
        );
    }
    for n in 0..6 {
        let asked = Instant::now();
        let refused = fleet.open(&format!("ax{n}"), 5);
        assert_eq!(refused.1, "BUSY 700");
        assert!(asked.elapsed() < Duration::from_millis(1500));
        assert!(fleet.open(&format!("bx{n}"), 6).1.starts_with("UP "));
    }
    assert_eq!(fleet.had("ax"), [0, 0, 0, 0]);
    assert_eq!(fleet.figure("refused_total", "a"), Some(6));
    assert_eq!(fleet.figure("refused_total", "b"), Some(0));
    // Those that stand in the other cell still pass lines.
    let standing = &mut open[1];
    standing.0.get_mut().write_all(b"M 1\r\n").unwrap();
    assert_eq!(standing.line(), "M 1");
}

#[test]
fn a_site_without_a_server_borrows_within_the_bound_where_the_file_says_so() {
    let file = FILE.replace("\"refuse\"", "\"borrow\"\nborrow_most = 3");
    let fleet = fleet("borrow", &file, |_| {});
    for id in ["s-1", "s-2"] {
        assert_eq!(
            fleet
                .relay
                .call("POST", &format!("/control/backends/{id}/offline"))
                .unwrap()
                .0,
            200
        );
    }
    let open: Vec<Client> = (0..5).map(|n| fleet.open(&format!("a{n}"), 5)).collect();
    let up = open.iter().filter(|c| c.1.starts_with("UP ")).count();
    assert_eq!((up, open[4].1.as_str()), (3, "BUSY 700"));
    assert_eq!(fleet.figure("borrowed", "b"), Some(3));
    drop(open);
    until("the borrowed ones to end", || {
        (fleet.figure("borrowed", "b") == Some(0)).then_some(())
    });
}

/// A site is moved: new connections at once, standing ones little by little, each once; while the new cell has no
/// server they wait, and a second file in the middle is followed.
#[test]
fn a_site_moves_paced_and_waits_for_a_cell_that_is_down() {
    let fleet = fleet("move", FILE, |_| {});
    let mut open: Vec<Client> = (0..20).map(|n| fleet.open(&format!("a{n}"), 5)).collect();
    // Both servers of the new cell are out when the move begins.
    for id in ["s-3", "s-4"] {
        assert_eq!(
            fleet
                .relay
                .call("POST", &format!("/control/backends/{id}/offline"))
                .unwrap()
                .0,
            200
        );
    }
    let moved = FILE.replace("key = \"5\"\ncell = \"a\"", "key = \"5\"\ncell = \"b\"");
    fleet.relay.reload_operator(&moved).unwrap();
    until("the reload", || {
        (fleet.relay.figure("loads_total") == Some(1)).then_some(())
    });
    assert_eq!(fleet.open("ax", 5).1, "BUSY 700");
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(
        fleet.relay.figure("cell_moves_waiting"),
        Some(20),
        "nothing is moved to where nobody is"
    );
    let began = Instant::now();
    for id in ["s-3", "s-4"] {
        assert_eq!(
            fleet
                .relay
                .call("POST", &format!("/control/backends/{id}/online"))
                .unwrap()
                .0,
            200
        );
    }
    for client in &mut open {
        assert_eq!(client.line(), "MOVE");
    }
    // 20 a second, and so a second for 20: never all at once.
    assert!(
        began.elapsed() > Duration::from_millis(700),
        "{:?}",
        began.elapsed()
    );
    until("the moves to end", || {
        (fleet.relay.figure("cell_moves_waiting") == Some(0)).then_some(())
    });
    assert!(fleet.open("ay", 5).1.starts_with("UP "));
    let had = fleet.had("ay");
    assert_eq!(had[0] + had[1], 0, "{had:?}");
}

/// An upgrade in the middle of a move: the new process goes on with what has not been moved, and moves each once.
#[test]
fn an_upgrade_goes_on_with_a_move() {
    let held = Arc::new(TcpListener::bind("127.0.0.1:0").unwrap());
    held.set_nonblocking(true).unwrap();
    let slow = FILE.replace("moves_per_second = 20", "moves_per_second = 1");
    let mut second = None;
    let mut fleet = fleet("upgrade", &slow, |setup| {
        setup.held = Some(held.clone());
        second = Some(setup.clone());
    });
    fleet.relay.addr = held.local_addr().unwrap();
    let mut open: Vec<Client> = (0..10).map(|n| fleet.open(&format!("a{n}"), 5)).collect();
    let moved = slow.replace("key = \"5\"\ncell = \"a\"", "key = \"5\"\ncell = \"b\"");
    fleet.relay.reload_operator(&moved).unwrap();
    until("the first moves", || {
        (fleet.relay.figure("cell_moves_waiting")? < 10).then_some(())
    });
    let mut second = second.unwrap();
    second.name = "second".into();
    second.operator = Some(moved.replace("moves_per_second = 1", "moves_per_second = 50"));
    let new = Relay::start(&second).unwrap();
    fleet.relay.signal("TERM").unwrap();
    fleet.relay.wait_for("reason=handed-over");
    for client in &mut open {
        assert_eq!(client.line(), "MOVE");
        let mut rest = String::new();
        assert_eq!(client.0.read_line(&mut rest).unwrap(), 0, "{rest}");
    }
    until("the moves to end", || {
        (new.figure("cell_moves_waiting") == Some(0)).then_some(())
    });
    let ends = |relay: &Relay| {
        relay
            .lines()
            .iter()
            .filter(|l| l.contains("reason=moved"))
            .count()
    };
    until("ten moves in all", || {
        (ends(&new) + ends(&fleet.relay) == 10).then_some(())
    });
    assert!(ends(&new) > 0);
}

/// A server that is given to another cell drains in the old one, and is the other's.
#[test]
fn a_server_that_changes_its_cell_drains_in_the_old_one() {
    let fleet = fleet("server", FILE, |_| {});
    let mut open: Vec<Client> = (0..16).map(|n| fleet.open(&format!("a{n}"), 5)).collect();
    // The one that is the site's home.
    let had = fleet.had("a");
    let given = if had[0] > had[1] { 0 } else { 1 };
    let (name, kept) = (format!("s-{}", given + 1), format!("s-{}", 2 - given));
    let file = FILE
        .replace("\"s-1\", \"s-2\"", &format!("\"{kept}\""))
        .replace("\"s-3\", \"s-4\"", &format!("\"{name}\", \"s-3\", \"s-4\""));
    fleet.relay.reload_operator(&file).unwrap();
    until("the reload", || {
        (fleet.relay.figure("loads_total") == Some(1)).then_some(())
    });
    let at_given = had[given];
    assert!(at_given > 0);
    until("the drain", || {
        (fleet.figure("in_progress", "a") == Some(16 - at_given as u64)).then_some(())
    });
    let mut moved = 0;
    for client in &mut open {
        client
            .0
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let mut line = String::new();
        let _ = client.0.read_line(&mut line);
        moved += usize::from(line == "MOVE\r\n");
    }
    assert_eq!(moved, at_given);
    for n in 0..6 {
        assert!(fleet.open(&format!("n{n}"), 5).1.starts_with("UP "));
    }
    let had = fleet.had("n");
    assert_eq!(had[1 - given], 6, "{had:?}");
}

#[test]
fn a_bad_file_changes_no_cell_and_names_its_key() {
    let fleet = fleet("bad", FILE, |_| {});
    for (from, to, named) in [
        (
            "cell = \"a\"",
            "cell = \"none\"",
            "cells.site[0].cell: 'none' is no cell",
        ),
        (
            "name = \"b\"",
            "name = \"a\"",
            "cells.cell[1].name: 'a' is empty or there twice",
        ),
        (
            "key = \"6\"",
            "key = \"5\"",
            "cells.site[1].key: '5' is there twice",
        ),
        (
            "\"s-3\"",
            "\"s-1\"",
            "cells.cell[1].servers[0]: 's-1' is named for two cells",
        ),
        (
            "moves_per_second = 20",
            "moves_per_second = 0",
            "cells.moves_per_second: is 0",
        ),
        (
            "name = \"a\"",
            "name = \"a\"\nweight = 99",
            "cells.cell[0].weight: is 99, outside 1 to 16",
        ),
        (
            "name = \"a\"",
            "name = \"a\"\ncolour = 1",
            "unknown field `colour`",
        ),
    ] {
        assert!(FILE.contains(from), "{from}");
        fleet
            .relay
            .reload_operator(&FILE.replacen(from, to, 1))
            .unwrap();
        fleet.relay.wait_for(named);
    }
    assert_eq!(fleet.relay.figure("load_errors_total"), Some(7));
    assert!(fleet.open("a", 5).1.starts_with("UP "));
    assert_eq!(fleet.had("a")[2..], [0, 0]);
}

#[test]
fn the_command_line_shows_explains_and_plans() {
    let fleet = fleet("ask", FILE, |_| {});
    let write = |name: &str, text: &str| {
        let path = fleet.dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let (old, new) = (
        write("old.toml", FILE),
        write("new.toml", &FILE.replace("cell = \"a\"", "cell = \"b\"")),
    );
    let config = fleet.relay.config().display().to_string();
    let ask = |what: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jaspermoor"));
        let output = command
            .args(["cells", "--operator", &old, "--config", &config])
            .args(what)
            .output()
            .unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        String::from_utf8(output.stdout).unwrap()
    };
    let shown = ask(&["show"]);
    assert!(
        shown.contains("1 pinned, 2 servers: s-1 s-2") && shown.contains("cell b: "),
        "{shown}"
    );
    assert!(ask(&["explain", "5"]).contains("is in cell a: the operator file pins it there"));
    assert!(ask(&["explain", "site7@hazri1.example.org"]).contains("its slot "));
    let plan = ask(&["plan", &new]);
    assert!(
        plan.contains("site 0000000000000005: a to b") && plan.contains("sites: 0.0%"),
        "{plan}"
    );
    let _ = &fleet.discovery;
}

/// A ban goes with its server: called back in another cell, it may serve when it comes home again.
#[test]
fn a_ban_does_not_stay_behind_in_the_cell_that_its_server_left() {
    let fleet = fleet("ban", FILE, |_| {});
    let given = FILE
        .replace("\"s-1\", \"s-2\"", "")
        .replace("\"s-3\"", "\"s-1\", \"s-2\", \"s-3\"");
    let call = |id: &str, verb: &str| {
        assert_eq!(
            fleet
                .relay
                .call("POST", &format!("/control/backends/{id}/{verb}"))
                .unwrap()
                .0,
            200
        );
    };
    ["s-1", "s-2"].iter().for_each(|id| call(id, "offline"));
    for (n, (file, verb)) in [(given.as_str(), "online"), (FILE, "")]
        .into_iter()
        .enumerate()
    {
        fleet.relay.reload_operator(file).unwrap();
        until("the reload", || {
            (fleet.relay.figure("loads_total") == Some(n as u64 + 1)).then_some(())
        });
        if !verb.is_empty() {
            ["s-1", "s-2"].iter().for_each(|id| call(id, verb));
        }
    }
    let answer = fleet.open("home", 5).1;
    assert!(answer.starts_with("UP "), "{answer}");
}
