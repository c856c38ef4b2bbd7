//! A relay process at ports that the test chooses, so that it need not read log lines, which may
//! change.

use super::peers;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Ports that Linux assigns to nobody by itself (by default it assigns those from 32768 on), so that
/// no other socket of the machine gets one of them before the relay listens there.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;
/// Distance between the first ports of two processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 64;

/// A local address at which nothing listens, another one for each call.
pub fn free_address() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    let mut ports = (0..PORT_COUNT).map(|_| {
        let offset = first.wrapping_add(CALLS.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        (FIRST_PORT + offset) as u16
    });
    let is_free = |port: &u16| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_ok();
    let port = ports.find(is_free).expect("a free port");
    (Ipv4Addr::LOCALHOST, port).into()
}

/// An entry of the endpoint list.
pub fn endpoint(name: &str, address: SocketAddr) -> String {
    format!(
        "{{\"id\":\"{name}\",\"addr\":\"{address}\",\"zone\":\"x\",\"kind\":\"a\",\"cell\":0,\
         \"state\":\"active\",\"weight\":1.0,\"started_ms\":0}}"
    )
}

pub struct RelayProcess {
    child: Child,
    directory: PathBuf,
    pub clients: SocketAddr,
    admin: SocketAddr,
}

impl RelayProcess {
    /// Starts a relay with this endpoint list, in a new directory; with an operator file, unless
    /// its text is empty.
    pub fn start(endpoints: &[String], operator: &str) -> RelayProcess {
        let directory = peers::file("").with_extension("directory");
        fs::create_dir_all(&directory).unwrap();
        let (clients, admin) = (free_address(), free_address());
        let config = peers::config(free_address(), endpoints)
            .replace(
                "\"listen\":\"127.0.0.1:0\"",
                &format!("\"listen\":\"{clients}\""),
            )
            .replacen('{', &format!("{{\"admin\":\"{admin}\","), 1);
        let config_file = directory.join("config.json");
        fs::write(&config_file, config).unwrap();
        let mut command = peers::program("serve", &config_file);
        if !operator.is_empty() {
            let file = directory.join("operator.toml");
            fs::write(&file, operator).unwrap();
            prepare_fleet(&file, operator);
            command.arg("--operator").arg(file);
        }
        let child = command
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let relay = RelayProcess {
            child,
            directory,
            clients,
            admin,
        };
        peers::until("the relay", || (relay.ready()).then_some(()));
        relay
    }

    fn ready(&self) -> bool {
        TcpStream::connect(self.admin).is_ok() && self.get("/control/ready").0 == 200
    }

    /// Sends a GET request to the admin address.
    pub fn get(&self, path: &str) -> (u16, String) {
        let mut caller = TcpStream::connect(self.admin).unwrap();
        write!(caller, "GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n").unwrap();
        peers::read_answer(caller)
    }

    /// Connects as a client.
    pub fn client(&self) -> TcpStream {
        let client = TcpStream::connect(self.clients).unwrap();
        let timeout = Some(Duration::from_secs(30));
        client.set_read_timeout(timeout).unwrap();
        client
    }

    /// Sends `request` as a client and returns all that it receives.
    pub fn response_to_client(&self, request: &[u8]) -> String {
        let mut client = self.client();
        client.write_all(request).unwrap();
        read_to_end(client)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.unwrap().success());
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Reads a connection up to its end or a reset.
pub fn read_to_end(mut client: TcpStream) -> String {
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    String::from_utf8(received).unwrap()
}

/// Writes the key file and creates the voter's ledger if the operator file has a fleet.
fn prepare_fleet(operator_file: &Path, operator: &str) {
    if !operator.contains("[fleet]") {
        return;
    }
    let key = "a key of a fleet, for tests alone, 32 characters and more\n";
    fs::write(operator_file.with_file_name("fleet.key"), key).unwrap();
    let status = Command::new(env!("CARGO_BIN_EXE_jaspermoor"))
        .args(["fleet", "--operator"])
        .arg(operator_file)
        .arg("init")
        .stdout(Stdio::null())
        .status();
    assert!(status.unwrap().success());
}
