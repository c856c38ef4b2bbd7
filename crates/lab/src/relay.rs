//! A relay's process, started with files of its own and ended with this value.

use crate::discovery::Entry;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a relay is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// A directory for its files.
    pub dir: PathBuf,
    /// Its name.
    pub name: String,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The list as it knows it at the start.
    pub known: Vec<Entry>,
    /// The operator file's text, where it has one.
    pub operator: Option<String>,
    /// Descriptors that it may use.
    pub sockets: u64,
    /// What is replaced in the text of its configuration.
    pub replace: Vec<(String, String)>,
    /// Where clients come; a free port where none is said.
    pub listen: Option<SocketAddr>,
    /// The one processor it runs on, as on the platform; any where none is said.
    pub core: Option<usize>,
    /// A listening socket that the platform holds and all processes of the relay inherit.
    pub held: Option<Arc<TcpListener>>,
    /// A fault of the fleet's control that is injected in it; builds that serve know none.
    pub bug: Option<String>,
    /// Which build of a fleet it stands for: `older` or `later` than this one.
    pub build: Option<String>,
    /// Where it ends or its disk fails, as the library `fail` writes it.
    pub fail_points: Option<String>,
}

impl Setup {
    /// The configuration, as the platform writes it.
    pub fn config(&self) -> String {
        let example = include_str!("../../../deploy/example.json");
        // The example is sound: a test of the relay's reads it.
        let mut config: serde_json::Value = serde_json::from_str(example).unwrap_or_default();
        let listen = self.listen.unwrap_or_else(|| ([127, 0, 0, 1], 0).into());
        config["name"] = self.name.clone().into();
        config["listen"] = listen.to_string().into();
        config["admin"] = "127.0.0.1:0".into();
        config["discovery"] = self.discovery.to_string().into();
        config["limits"] =
            serde_json::json!({ "cores": 1.0, "memory_mb": 192, "sockets": self.sockets });
        let known: Vec<_> = self.known.iter().map(Entry::json).collect();
        config["known"] = serde_json::json!({ "version": 1, "full": true, "servers": known });
        // One zone, and no probes: the stand-ins of an XMPP fleet do not answer them.
        config["settings"]["zones"] = serde_json::json!(["a"]);
        let mut text = serde_json::to_string_pretty(&config).unwrap_or_default();
        for (from, to) in &self.replace {
            text = text.replace(from, to);
        }
        text
    }
}

/// A running relay.
pub struct Relay {
    child: Child,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
    /// Reads its log to the end.
    reader: Option<JoinHandle<()>>,
    config: PathBuf,
    operator: PathBuf,
    /// Where line clients come.
    pub addr: SocketAddr,
}

/// Starts a process on that processor alone: it inherits where this thread may run.
fn on_core<T>(core: Option<usize>, start: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
    use rustix::process::{sched_getaffinity, sched_setaffinity, CpuSet};
    let Some(core) = core else { return start() };
    let all = sched_getaffinity(None)?;
    let mut one = CpuSet::new();
    one.set(core);
    sched_setaffinity(None, &one)?;
    let started = start();
    sched_setaffinity(None, &all)?;
    started
}

impl Relay {
    /// Starts one and waits until it serves; what it said where it does not.
    pub fn start(setup: &Setup) -> io::Result<Relay> {
        std::fs::create_dir_all(&setup.dir)?;
        let config = setup.dir.join(format!("{}.json", setup.name));
        let operator = setup.dir.join(format!("{}.toml", setup.name));
        std::fs::write(&config, setup.config())?;
        // Where a socket is held the shell puts it where the platform does.
        let mut command = match &setup.held {
            None => Command::new(&setup.program),
            Some(_) => {
                let mut shell = Command::new("sh");
                shell
                    .args(["-c", "exec 5<&0 0</dev/null; exec \"$0\" \"$@\""])
                    .arg(&setup.program);
                shell
            }
        };
        command
            .arg("serve")
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &setup.dir);
        match &setup.bug {
            Some(bug) => command.env("JASPERMOOR_INJECTED_BUG", bug),
            None => command.env_remove("JASPERMOOR_INJECTED_BUG"),
        };
        match &setup.build {
            Some(build) => command.env("JASPERMOOR_BUILD", build),
            None => command.env_remove("JASPERMOOR_BUILD"),
        };
        match &setup.fail_points {
            Some(points) => command.env("FAILPOINTS", points),
            None => command.env_remove("FAILPOINTS"),
        };
        for key in ["NAME", "LISTEN", "DISCOVERY", "ADMIN", "ACCEPT_FD"] {
            command.env_remove(format!("BALANCER_{key}"));
        }
        if let Some(text) = &setup.operator {
            std::fs::write(&operator, text)?;
            command.arg("--operator").arg(&operator);
        }
        match &setup.held {
            None => command.stdin(Stdio::null()),
            Some(held) => command
                .env("BALANCER_ACCEPT_FD", "5")
                .stdin(OwnedFd::from(held.try_clone()?)),
        };
        let mut child = on_core(setup.core, || command.stderr(Stdio::piped()).spawn())?;
        let log: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let reader = child.stderr.take().map(|said| {
            let lines = log.clone();
            thread::spawn(move || {
                for line in BufReader::new(said).lines().map_while(Result::ok) {
                    lines
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push((Instant::now(), line));
                }
            })
        });
        let addr = ([127, 0, 0, 1], 0).into();
        let mut relay = Relay {
            child,
            log,
            reader,
            config,
            operator,
            addr,
        };
        for _ in 0..2_000 {
            if let Some(addr) = relay.said_addr("serves on ") {
                relay.addr = addr;
                return Ok(relay);
            }
            if relay.child.try_wait()?.is_some() {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!(
            "the relay does not serve: {}",
            relay.lines().join("; ")
        )))
    }

    /// Its log so far.
    pub fn lines(&self) -> Vec<String> {
        self.stamped().into_iter().map(|(_, line)| line).collect()
    }

    /// The same, with when each line was read.
    pub fn stamped(&self) -> Vec<(Instant, String)> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The address behind these words in its log.
    pub fn said_addr(&self, words: &str) -> Option<SocketAddr> {
        self.lines()
            .iter()
            .find_map(|l| l.split_once(words)?.1.parse().ok())
    }

    /// Where XMPP clients come that use STARTTLS.
    pub fn xmpp(&self) -> SocketAddr {
        crate::until("the relay's XMPP", || {
            self.said_addr("speaks XMPP under STARTTLS on ")
        })
    }

    /// Where XMPP clients come that begin with TLS.
    pub fn xmpp_tls(&self) -> SocketAddr {
        crate::until("the relay's XMPP under TLS", || {
            self.said_addr("speaks XMPP under TLS on ")
        })
    }

    /// Waits for a line of its log.
    pub fn wait_for(&self, part: &str) {
        crate::until(part, || {
            self.lines().iter().any(|l| l.contains(part)).then_some(())
        });
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Its memory in KiB, as the system counts what it holds now.
    pub fn memory_kib(&self) -> u64 {
        self.status_kib("VmRSS:")
    }

    /// The most memory in KiB that it has held at once.
    pub fn peak_memory_kib(&self) -> u64 {
        self.status_kib("VmHWM:")
    }

    /// A size in the system's status of its process, in KiB.
    fn status_kib(&self, key: &str) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix(key));
        line.and_then(|l| l.trim().split(' ').next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Its threads.
    pub fn threads(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.pid())).map_or(0, |tasks| tasks.count())
    }

    /// Sends it a signal by name, such as `HUP`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.pid()))
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("no such process"))
        }
    }

    /// Replaces its operator file as a whole and signals a reload.
    pub fn reload_operator(&self, text: &str) -> io::Result<()> {
        let new = self.operator.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, &self.operator)?;
        self.signal("HUP")
    }

    /// Its configuration.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// Calls its second address: the status, and what it says.
    pub fn call(&self, method: &str, path: &str) -> io::Result<(u16, String)> {
        let addr = crate::until("the second address", || {
            self.said_addr("answers operators on ")
        });
        let mut caller = TcpStream::connect(addr)?;
        caller.set_read_timeout(Some(crate::PATIENCE))?;
        write!(caller, "{method} {path} HTTP/1.1\r\nHost: relay\r\n\r\n")?;
        let mut text = String::new();
        caller.read_to_string(&mut text)?;
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        Ok((
            status,
            text.split_once("\r\n\r\n")
                .map(|(_, body)| body.to_string())
                .unwrap_or_default(),
        ))
    }

    /// One of its figures.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let (_, text) = self.call("GET", "/control/counters").ok()?;
        let key = format!("edge_balancer_{name} ");
        text.lines()
            .find_map(|l| l.strip_prefix(&key))
            .and_then(|n| n.parse().ok())
    }

    /// Ends it at once: all that it has logged, to the last line. Its words may still be on their way when it has ended.
    pub fn end(mut self) -> Vec<(Instant, String)> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        self.stamped()
    }

    /// Waits for its end.
    pub fn exit(&mut self) -> ExitStatus {
        crate::until("the relay's end", || self.child.try_wait().ok().flatten())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The relay's program, beside this one or in the folder above, where a build puts them.
pub fn program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let near = own
        .parent()
        .into_iter()
        .chain(own.parent().and_then(Path::parent));
    let found = near
        .map(|dir| dir.join("jaspermoor"))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::other("no relay beside this program: run `cargo build --workspace --release`")
    })
}
