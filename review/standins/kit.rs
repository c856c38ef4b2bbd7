//! Stand-ins for the platform, discovery, backends and clients of the line protocol, and the
//! processes of the relay. Everything is on loopback addresses and on the real clock.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Prints a line; a reader that has gone is no reason to stop.
pub fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// What was sent, answered and run, with the time since the start in milliseconds.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Record>> {
        let file = Mutex::new(File::create(path)?);
        Ok(Arc::new(Record {
            file,
            start: Instant::now(),
        }))
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {}", self.now(), text.as_ref());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        print_line(text.as_ref());
        self.line(text);
    }
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub state: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"korangi","kind":"std-4","cell":0,"state":"{}","weight":1.0,"started_ms":0}}"#,
            self.id, self.addr, self.state
        )
    }
}

fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let servers: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    )
}

#[derive(Default)]
struct List {
    version: u64,
    /// The list without entries that have left.
    entries: Vec<Entry>,
    /// Each change with its version.
    changes: Vec<(u64, Entry)>,
}

/// Discovery: the whole list, or a watch.
pub struct Discovery {
    pub addr: SocketAddr,
    list: Mutex<List>,
    changed: Condvar,
    /// How long it takes to answer a call, in milliseconds.
    pub answers_after: AtomicU64,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, entries: Vec<Entry>) -> io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let list = List {
            version: 41,
            entries,
            changes: Vec::new(),
        };
        let discovery = Arc::new(Discovery {
            addr: listener.local_addr()?,
            list: Mutex::new(list),
            changed: Condvar::new(),
            answers_after: AtomicU64::new(0),
            record: record.clone(),
        });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Ok(discovery)
    }

    /// Changes the state of a backend, or adds it.
    pub fn change(&self, entry: Entry) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        let version = list.version;
        list.entries.retain(|e| e.id != entry.id);
        if entry.state != "left" {
            list.entries.push(entry.clone());
        }
        self.record.line(format!(
            "discovery: version {version}: {} {}",
            entry.id, entry.state
        ));
        list.changes.push((version, entry));
        drop(list);
        self.changed.notify_all();
    }

    /// The list as a configuration's `known`.
    pub fn known(&self) -> String {
        let list = self.list.lock().unwrap();
        list_json(list.version, true, &list.entries)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut request = String::new();
        reader.read_line(&mut request)?;
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? <= 2 {
                break;
            }
        }
        thread::sleep(Duration::from_millis(self.answers_after.load(SeqCst)));
        let mut out = &stream;
        let target = request.split(' ').nth(1).unwrap_or_default().to_string();
        if !target.contains("watch=1") {
            let body = {
                let list = self.list.lock().unwrap();
                list_json(list.version, true, &list.entries)
            };
            self.record.line("discovery: whole list asked for");
            return write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
        }
        let after: Option<u64> = target
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("after=")?.parse().ok());
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let mut list = self.list.lock().unwrap();
        let first = match after {
            Some(after) => list_json(list.version, false, &changes_after(&list, after)),
            None => list_json(list.version, true, &list.entries),
        };
        let mut told = list.version;
        self.record.line(format!(
            "discovery: watch after {after:?}, told version {told}"
        ));
        out.write_all(chunk(&(first + "\n")).as_bytes())?;
        loop {
            let (held, timeout) = self
                .changed
                .wait_timeout_while(list, Duration::from_secs(2), |list| list.version == told)
                .unwrap();
            list = held;
            let text = if timeout.timed_out() {
                "\n".to_string()
            } else {
                list_json(list.version, false, &changes_after(&list, told)) + "\n"
            };
            told = list.version;
            out.write_all(chunk(&text).as_bytes())?;
        }
    }
}

/// Each backend that has changed after a version, once, as it is now.
fn changes_after(list: &List, after: u64) -> Vec<Entry> {
    let mut latest: BTreeMap<&str, &Entry> = BTreeMap::new();
    let changes = list.changes.iter().filter(|(version, _)| *version > after);
    for (_, entry) in changes {
        latest.insert(&entry.id, entry);
    }
    latest.into_values().cloned().collect()
}

/// A backend of the line protocol: `UP`, then every line back.
pub struct Backend {
    pub id: String,
    pub addr: SocketAddr,
    /// While set, it reads and answers nothing on connections that are up.
    pub silent: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Backend {
    pub fn start(record: &Arc<Record>, id: &str) -> io::Result<Arc<Backend>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let backend = Arc::new(Backend {
            id: id.to_string(),
            addr: listener.local_addr()?,
            silent: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
        });
        let shared = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Ok(backend)
    }

    pub fn entry(&self, state: &'static str) -> Entry {
        Entry {
            id: self.id.clone(),
            addr: self.addr,
            state,
        }
    }

    /// Ends all connections, as a backend that stops does.
    pub fn end_all(&self) -> usize {
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        for stream in &open {
            let _ = stream.shutdown(Shutdown::Both);
        }
        open.len()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = &stream;
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = first.trim_end().split(' ').collect();
        let ["OPEN", id, ..] = words[..] else {
            self.record
                .line(format!("{}: SYNTAX for {first:?}", self.id));
            return out.write_all(b"SYNTAX\r\n");
        };
        let id = id.to_string();
        self.record.line(format!("{}: runs {id}", self.id));
        self.open.lock().unwrap().push(stream.try_clone()?);
        out.write_all(format!("UP {}-{id}\r\n", self.id).as_bytes())?;
        loop {
            let mut line = Vec::new();
            if reader.read_until(b'\n', &mut line)? == 0 {
                self.record
                    .line(format!("{}: {id} was ended by the relay", self.id));
                return Ok(());
            }
            if !self.silent.load(SeqCst) {
                out.write_all(&line)?;
            }
        }
    }
}

/// A client's connection that reads lines up to a deadline.
pub struct Client {
    pub stream: TcpStream,
    received: Vec<u8>,
}

/// What came within the time.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    Line(String),
    /// The other side ended or reset the connection.
    End,
    /// Nothing.
    Nothing,
}

impl Client {
    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            received: Vec::new(),
        })
    }

    pub fn send(&mut self, line: &str) -> io::Result<()> {
        self.stream.write_all(format!("{line}\r\n").as_bytes())
    }

    /// The next line, the end, or nothing by this time.
    pub fn line(&mut self, by: Instant) -> Got {
        loop {
            if let Some(at) = self.received.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.received.drain(..=at).collect();
                return Got::Line(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Got::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Got::End,
                Ok(n) => self.received.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Got::End,
            }
        }
    }
}

/// The temporary directory of this play, which `run-play.sh` makes and removes.
pub fn scratch() -> io::Result<PathBuf> {
    let dir = std::env::var("REVIEW_SCRATCH").map_err(io::Error::other)?;
    Ok(PathBuf::from(dir))
}

/// A seed for a process of the relay: new with each start.
fn seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = now.map_or(0, |now| now.as_nanos() as u64);
    nanos.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id())
}

/// The settings of a small deployment: three relays, three classes, one zone; no probes, no load
/// reports; the list is asked for.
pub fn settings() -> String {
    let grade = |name: &str, deadline: u32, goal: u32, worth: u32| {
        format!(
            r#"{{"name":"{name}","deadline":{deadline}.0,"goal_time":{goal}.0,"group":"all","idempotency":"safe",
            "late_worth":0.0,"streamed":true,"window":5000.0,"worth":{worth}.0}}"#
        )
    };
    let grades = [
        grade("check-in", 2000, 500, 1),
        grade("sheet-view", 3000, 500, 1),
        grade("shift-fix", 1800, 300, 2),
    ]
    .join(",");
    format!(
        r#"{{"az":0,"client_habits":{{"marks_retry":false}},"domain_type":"conn",
        "family_info":{{"groups":true,"hint":"none","message_aim":[100.0,250.0,100.0],"mode":"proxy","notes":"none",
          "park":0.0,"report_x0":"load over capacity","report_x1":"","tells_delay":false,"tells_load":false,
          "tenant_quota_connections":[]}},
        "grades":[{grades}],
        "limits":{{"cancel":true,"conn_idle":15000.0,"cpu_us_per_request":10.0,"cpu_us_per_s":800000,
          "dial_timeout":200.0,"max_attempts":6,"max_open":1000000,"max_retry_after":1500.0,"may_tell":false,
          "probes":false,"retry_after":true,"second_copies":false,"streams_per_conn":1}},
        "machine_types":["std-4"],"me":0,"membership_mode":"on_request","over_share_worth":0.2,"peers_total":3,
        "report":{{"columns":[],"via":"none"}},
        "rules":{{"answer_slack":8.0,"ask_within":10000.0,"drain_grace":250.0,"fall":3000.0,"overload_factor":2.5,
          "start_capacity":0.13,"warm_within":23000.0}},
        "stage":0,"stages":["hazri"],"tenants":[],"tick":2.0,"weights":"none","worth_by":"request",
        "zones":["korangi"]}}"#
    )
}

/// A relay's configuration as the platform writes it.
pub fn config(discovery: &Discovery, sockets: u32, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","admin":"127.0.0.1:0","discovery":"{}","seed":"{:016x}",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{known},"settings":{}}}"#,
        discovery.addr,
        seed(),
        settings()
    )
}

/// A process of the relay.
pub struct Relay {
    child: Child,
    log: PathBuf,
    name: String,
    record: Arc<Record>,
    /// There until the process is known to have ended.
    pid_file: PathBuf,
    pub clients: SocketAddr,
    pub admin: SocketAddr,
}

static NEXT_LOG: AtomicU64 = AtomicU64::new(0);

impl Relay {
    /// Starts the deploy file's `run` from the root of the repository, with this configuration
    /// file and this `$TMPDIR`. With `held` the platform holds the clients' listening socket, which
    /// the process inherits as descriptor 5.
    pub fn start(
        record: &Arc<Record>,
        name: &str,
        config: &Path,
        tmpdir: &Path,
        held: Option<&TcpListener>,
        more: &str,
    ) -> io::Result<Relay> {
        let root = std::env::var("JASPERMOOR_ROOT").map_err(io::Error::other)?;
        let deploy = std::fs::read_to_string(Path::new(&root).join("deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
            .ok_or(io::Error::other("the deploy file has no run"))?;
        let number = NEXT_LOG.fetch_add(1, SeqCst);
        let log = config.with_file_name(format!("{name}-{number}.log"));
        let output = File::create(&log)?;
        let mut command = Command::new("/bin/sh");
        let line = match held {
            Some(_) => format!("exec 5<&0 0</dev/null; {run} {more}"),
            None => format!("{run} {more}"),
        };
        command.args(["-c", &line]).current_dir(&root);
        for key in ["NAME", "LISTEN", "DISCOVERY", "ADMIN", "ACCEPT_FD"] {
            command.env_remove(format!("BALANCER_{key}"));
        }
        command
            .env("BALANCER_CONFIG", config)
            .env("TMPDIR", tmpdir)
            .stdout(output.try_clone()?)
            .stderr(output)
            .stdin(Stdio::null());
        if let Some(held) = held {
            command
                .env("BALANCER_ACCEPT_FD", "5")
                .stdin(Stdio::from(OwnedFd::from(held.try_clone()?)));
        }
        let child = command.spawn()?;
        let pid_file = scratch()?.join(format!("pid-{}", child.id()));
        std::fs::write(&pid_file, "")?;
        let mut relay = Relay {
            pid_file,
            child,
            log,
            name: name.to_string(),
            record: record.clone(),
            clients: ([127, 0, 0, 1], 0).into(),
            admin: ([127, 0, 0, 1], 0).into(),
        };
        let deadline = Instant::now() + Duration::from_secs(20);
        relay.clients = relay.address_in_log(" serves on ", deadline)?;
        relay.admin = relay.address_in_log(" answers operators on ", deadline)?;
        record.line(format!("{name}: started, process {}", relay.child.id()));
        Ok(relay)
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The address behind these words in the log.
    pub fn logged_address(&mut self, before: &str) -> io::Result<SocketAddr> {
        self.address_in_log(before, Instant::now() + Duration::from_secs(5))
    }

    fn address_in_log(&mut self, before: &str, by: Instant) -> io::Result<SocketAddr> {
        loop {
            let found = self.log_text().lines().find_map(|line| {
                let rest = line.split_once(before)?.1;
                rest.split(' ').next()?.trim().parse().ok()
            });
            if let Some(address) = found {
                return Ok(address);
            }
            if Instant::now() > by || self.child.try_wait()?.is_some() {
                return Err(io::Error::other(format!("no start: {}", self.log_text())));
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// How many descriptors the process has open.
    pub fn descriptors(&self) -> usize {
        let dir = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(dir).map_or(0, |entries| entries.count())
    }

    /// Sends a signal by name.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("{}: SIG{signal}", self.name));
        let line = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &line]).status();
    }

    /// Whether the process has ended by this time.
    pub fn ended(&mut self, by: Instant) -> bool {
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(format!("{}: ended, {status}", self.name));
                let _ = std::fs::remove_file(&self.pid_file);
                return true;
            }
            if Instant::now() > by {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// A call to the second address: its status.
    pub fn call(&self, method: &str, path: &str) -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&self.admin, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        let status = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
        status.ok_or(io::Error::other("no HTTP answer"))
    }

    /// Waits for the yes of the second address.
    pub fn await_ready(&self, within: Duration) -> io::Result<()> {
        let by = Instant::now() + within;
        while Instant::now() < by {
            if self
                .call("GET", "/control/ready")
                .is_ok_and(|status| status == 200)
            {
                self.record.line(format!("{}: says yes", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}
