//! The platform's side: starts a relay with the deploy file's command, and ends it.

use crate::discovery::{object, Entry};
use crate::{lock, Numbers, Record};
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The processes that this one has started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that could not run if it takes too long, with all that it has started.
pub fn watch_the_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case takes longer than {limit:?}");
        for child in lock(&CHILDREN).iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &child.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}

/// A private folder of a case, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// A folder in this one.
    pub fn inner(&self, name: &str) -> io::Result<Folder> {
        let path = self.0.join(name);
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    pub fn new(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A class of requests, as the settings name it.
pub struct Class {
    pub name: &'static str,
    pub deadline_ms: u32,
    pub goal_ms: u32,
    pub idempotency: &'static str,
    pub window_ms: u32,
}

/// The settings of a small deployment.
pub struct Setup {
    pub discovery: SocketAddr,
    pub known: Vec<Entry>,
    pub classes: Vec<Class>,
    pub max_attempts: u32,
    pub memory_mb: u32,
    /// Which relay of the fleet it is, and how many there are.
    pub me: u32,
    pub peers: u32,
    /// The text of an operator file, for a front that the platform's file does not have.
    pub operator: Option<String>,
}

/// The usual class of a small deployment.
pub const CHAT: Class = Class {
    name: "chat",
    deadline_ms: 2000,
    goal_ms: 500,
    idempotency: "safe",
    window_ms: 5000,
};

impl Setup {
    fn config(&self) -> String {
        let class = |class: &Class| {
            format!(
                "{{\"deadline\":{}.0,\"goal_time\":{}.0,\"group\":\"all\",\"idempotency\":\"{}\",\
                 \"late_worth\":0.0,\"name\":\"{}\",\"streamed\":true,\"window\":{}.0,\"worth\":1.0}}",
                class.deadline_ms, class.goal_ms, class.idempotency, class.name, class.window_ms
            )
        };
        let grades: Vec<String> = self.classes.iter().map(class).collect();
        let aims: Vec<&str> = self.classes.iter().map(|_| "100.0").collect();
        format!(
            "{{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\
             \"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory},\"sockets\":1024}},\
             \"known\":{known},\
             \"settings\":{{\"az\":0,\"client_habits\":{{\"marks_retry\":true}},\"domain_type\":\"conn\",\
             \"family_info\":{{\"groups\":true,\"hint\":\"usual load\",\"message_aim\":[{aims}],\
             \"mode\":\"proxy\",\"notes\":\"1 load, 2 delay\",\"park\":0.0,\"report_x0\":\"load over capacity\",\
             \"report_x1\":\"seconds piled up\",\"tells_delay\":true,\"tells_load\":false,\
             \"tenant_quota_connections\":[]}},\
             \"grades\":[{grades}],\
             \"limits\":{{\"cancel\":true,\"conn_idle\":10000.0,\"cpu_us_per_request\":10.0,\
             \"cpu_us_per_s\":8000,\"dial_timeout\":200.0,\"max_attempts\":{attempts},\"max_open\":1000000,\
             \"max_retry_after\":1500.0,\"may_tell\":false,\"probes\":false,\"retry_after\":true,\
             \"second_copies\":false,\"streams_per_conn\":1048576}},\
             \"machine_types\":[\"a\"],\"me\":{me},\"membership_mode\":\"on_request\",\"over_share_worth\":0.1,\
             \"peers_total\":{peers},\"report\":{{\"columns\":[],\"via\":\"none\"}},\
             \"rules\":{{\"answer_slack\":16.0,\"ask_within\":10000.0,\"drain_grace\":250.0,\"fall\":3000.0,\
             \"overload_factor\":2.5,\"start_capacity\":0.13,\"warm_within\":23000.0}},\
             \"stage\":0,\"stages\":[\"nodes\"],\"tenants\":[],\"tick\":4.0,\"weights\":\"nominal\",\
             \"worth_by\":\"request\",\"zones\":[\"a\"]}}}}",
            discovery = self.discovery,
            memory = self.memory_mb,
            known = object(1, true, &self.known),
            aims = aims.join(","),
            grades = grades.join(","),
            attempts = self.max_attempts,
            me = self.me,
            seed = Numbers(u64::from(self.me)).draw(),
            peers = self.peers,
        )
    }
}

/// The command of this key in the deploy file.
fn deploy_command(root: &Path, key: &str) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    let command = line.and_then(|rest| rest.split('"').next());
    command
        .map(String::from)
        .ok_or_else(|| io::Error::other(format!("deploy/balancer.toml has no {key}")))
}

/// A running relay; killed when dropped.
pub struct Relay {
    pub child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Relay {
    /// Starts a relay from the repository's root, which is the current folder, and waits until it
    /// serves.
    pub fn start(setup: &Setup, folder: &Folder, record: &Record) -> io::Result<Relay> {
        let root = std::env::current_dir()?;
        let config = folder.0.join("config.json");
        fs::write(&config, setup.config())?;
        let mut command = deploy_command(&root, "run")?;
        if let Some(text) = &setup.operator {
            let operator = folder.0.join("operator.toml");
            fs::write(&operator, text)?;
            command += &format!(" --operator {}", operator.display());
        }
        let temporary = folder.0.join("tmp");
        fs::create_dir_all(&temporary)?;
        record.note(format!("platform: starts '{command}'"));
        let mut child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(&root)
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .env("BALANCER_ADMIN", "127.0.0.1:0")
            .env_remove("BALANCER_ACCEPT_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        lock(&CHILDREN).push(child.id());
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            let (log, record) = (log.clone(), record.clone());
            thread::spawn(move || {
                for (n, line) in BufReader::new(stderr)
                    .lines()
                    .map_while(Result::ok)
                    .enumerate()
                {
                    if n < 2000 {
                        record.note(format!("relay: {line}"));
                        lock(&log).push(line);
                    }
                }
            });
        }
        // Dropped, and so killed, where it does not serve.
        let relay = Relay { child, log };
        let start = Instant::now();
        while relay.address("serves on ").is_none() {
            if start.elapsed() > Duration::from_secs(20) {
                return Err(io::Error::other("the relay does not serve"));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(relay)
    }

    /// The address behind these words in its log.
    pub fn address(&self, words: &str) -> Option<SocketAddr> {
        let log = lock(&self.log);
        log.iter()
            .find_map(|line| line.split_once(words)?.1.trim().parse().ok())
    }

    /// Where clients of the line protocol connect.
    pub fn line(&self) -> io::Result<SocketAddr> {
        self.address("serves on ")
            .ok_or_else(|| io::Error::other("no address"))
    }

    /// Calls the second address (HTTP/1.1, one call a connection); the status.
    pub fn call(&self, method: &str, path: &str) -> io::Result<u16> {
        let admin = self.address("answers operators on ");
        let admin = admin.ok_or_else(|| io::Error::other("no second address"))?;
        let mut stream = TcpStream::connect(admin)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let request =
            format!("{method} {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        let status = answer
            .split_whitespace()
            .nth(1)
            .and_then(|s| s.parse().ok());
        status.ok_or_else(|| io::Error::other(format!("an answer that is none: {answer}")))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its memory now, in MB.
    pub fn memory_mb(&self) -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1024.0)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        lock(&CHILDREN).retain(|child| *child != id);
    }
}
