//! The stand-ins as programs: what they print, hear and serve.

use jaspermoor_lab::certs;
use jaspermoor_lab::until;
use jaspermoor_lab::xmpp_client::{Answer, Broke, Login};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

struct Program {
    child: Child,
    addr: SocketAddr,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(args: &[&str]) -> Program {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jaspermoor-lab"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let addr = line
        .trim()
        .strip_prefix("ready ")
        .unwrap_or_else(|| panic!("{line}"))
        .parse()
        .unwrap();
    Program { child, addr }
}

fn dir(name: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

#[test]
fn a_server_takes_its_users_and_its_faults() {
    let dir = dir("server");
    let at = dir.display().to_string();
    let made = Command::new(env!("CARGO_BIN_EXE_jaspermoor-lab"))
        .args(["cert", "--domain", "a.example", "--out", &at])
        .output()
        .unwrap();
    assert!(made.status.success());
    let (cert, key) = (format!("{at}/a.example.pem"), format!("{at}/a.example.key"));
    let control = format!("{at}/control");
    let mut server = start(&[
        "xmpp-server",
        "--listen",
        "127.0.0.1:0",
        "--domain",
        "a.example",
        "--user",
        "ali:secret",
        "--cert",
        &cert,
        "--key",
        &key,
        "--control",
        &control,
    ]);
    let tls = certs::client(&dir.join("ca.pem")).unwrap();
    let login = Login {
        password: "secret".into(),
        ..Login::new(server.addr, "a.example", "ali", Some(tls))
    };
    for mechanism in ["SCRAM-SHA-256", "SCRAM-SHA-1", "PLAIN"] {
        Login {
            mechanism: mechanism.into(),
            ..login.clone()
        }
        .open()
        .unwrap_or_else(|e| panic!("{e:?}"));
    }
    let refused = |what: &str| {
        until(what, || match login.open() {
            Err(Broke::Answered(Answer::Failure(c))) => {
                (c == "temporary-auth-failure").then_some(())
            }
            _ => None,
        });
    };
    writeln!(server.child.stdin.as_mut().unwrap(), "later").unwrap();
    refused("the fault of the standard input");
    writeln!(server.child.stdin.as_mut().unwrap(), "none").unwrap();
    until("its end", || login.open().ok());
    std::fs::write(&control, "none\nlater\n").unwrap();
    refused("the fault of the file");
}

#[test]
fn discovery_follows_its_file() {
    let dir = dir("discovery");
    let file = dir.join("list.json");
    let write = |text: &str| {
        std::fs::write(dir.join("new"), text).unwrap();
        std::fs::rename(dir.join("new"), &file).unwrap();
    };
    write(r#"[{"id":"s-1","addr":"127.0.0.1:1"},{"id":"s-2","addr":"127.0.0.1:2"}]"#);
    let discovery = start(&[
        "discovery",
        "--listen",
        "127.0.0.1:0",
        "--file",
        &file.display().to_string(),
    ]);
    let mut watch = TcpStream::connect(discovery.addr).unwrap();
    watch
        .set_read_timeout(Some(jaspermoor_lab::PATIENCE))
        .unwrap();
    watch
        .write_all(b"GET /v1/endpoints?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let mut lines = BufReader::new(watch)
        .lines()
        .map_while(Result::ok)
        .filter(|l| l.starts_with('{'));
    let mut next = || serde_json::from_str::<serde_json::Value>(&lines.next().unwrap()).unwrap();
    let first = next();
    assert!(
        first["full"] == true && first["servers"].as_array().unwrap().len() == 2,
        "{first}"
    );
    write("not a list");
    write(r#"[{"id":"s-1","addr":"127.0.0.1:1","state":"leaving"}]"#);
    let mut states = std::collections::BTreeMap::new();
    while states.len() < 2 {
        for server in next()["servers"].as_array().unwrap() {
            states.insert(server["id"].to_string(), server["state"].to_string());
        }
    }
    assert_eq!(
        states.into_values().collect::<Vec<_>>(),
        ["\"leaving\"", "\"left\""]
    );
    let mut whole = TcpStream::connect(discovery.addr).unwrap();
    whole
        .write_all(b"GET /v1/endpoints HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    let mut text = String::new();
    whole.read_to_string(&mut text).unwrap();
    assert!(text.contains("s-1") && !text.contains("s-2"), "{text}");
}

#[test]
fn a_backend_answers_what_the_line_protocol_asks() {
    let backend = start(&["backend", "--listen", "127.0.0.1:0"]);
    let mut peer = TcpStream::connect(backend.addr).unwrap();
    peer.write_all(b"PING\r\nOPEN 1 7f c=chat,d=5\r\nM 1\r\n")
        .unwrap();
    let lines: Vec<String> = BufReader::new(peer)
        .lines()
        .take(3)
        .map(Result::unwrap)
        .collect();
    assert_eq!(lines, ["PONG", "UP lab-1", "M 1"]);
}
