//! A fleet of real processes: relays with links between them that can be spoilt, backends that tell by whom a client is
//! served which policy it was admitted under, clients that request all the time, and the history of it all.
//!
//! Each policy pins the one site to a cell of its own, and each cell has one backend: so what a relay did, not what it
//! says, shows its policy.

use super::history::{check, obeyed, Broken, Fact, Line, Moment};
use super::proxy::{Proxy, Way};
use super::scenario::{Action, Disk, Harm, Scenario, Step};
use crate::discovery::{lock, Discovery, Entry};
use crate::line::Backend;
use crate::relay::{Relay, Setup};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Cells, and so policies that can be told apart in one play; the first is where the site is before any.
const CELLS: usize = 24;
/// The pause of a client between two requests, and how long it waits for an answer.
const KNOCK: Duration = Duration::from_millis(8);
const ANSWER: Duration = Duration::from_secs(10);
/// The pause between two looks at the epoch in force.
const LOOK: Duration = Duration::from_millis(100);
/// Clients that each relay must have had before a scenario that awaits them goes on.
const SOME: usize = 5;
/// A part of a policy that an older build does not know.
const LATER: &str = "[parameters]\nlook_both = 2\n";
/// Stands in a relay's log between two processes of it that ran at one time.
const SECOND_PROCESS: &str = "the laboratory: another process of this relay";
/// A relay that is not there is looked for again after so long.
const AWAY: Duration = Duration::from_millis(20);

/// What a play is run with.
#[derive(Clone, Debug)]
pub struct Ground {
    /// The relay's program.
    pub program: PathBuf,
    /// A directory for the files of this play.
    pub dir: PathBuf,
    /// The fault that is injected in every relay, by its name.
    pub bug: Option<String>,
}

/// What a play has shown.
#[derive(Debug)]
pub struct Played {
    /// Rules that did not hold.
    pub broken: Vec<Broken>,
    /// Everything, in the order of time.
    pub history: Vec<Line>,
    /// Proposals in force, and how long each took from propose to its outcome.
    pub took: Vec<Duration>,
    /// What each relay's processes have logged, the earlier first.
    pub logs: Vec<(usize, Vec<String>)>,
    /// How long after an owner came to harm the first order of another was obeyed.
    pub taken: Vec<(Harm, Duration)>,
    /// Probes that backends have seen.
    pub probes: usize,
    /// Clients that were admitted, and refused.
    pub admitted: usize,
    /// See `admitted`.
    pub refused: usize,
}

#[derive(Default)]
struct Spoilt {
    /// Until when something is done to each relay.
    until: BTreeMap<usize, Moment>,
    /// What is to be undone, and when.
    undo: Vec<(Moment, Undo)>,
}

#[derive(Clone, Copy, Debug)]
enum Undo {
    Start(usize),
    Restart(usize),
    Continue(usize),
    Mend(usize),
    MendAll,
}

/// One request as its client saw it.
struct Request {
    relay: usize,
    id: String,
    asked: Moment,
    at: Moment,
    word: String,
}

/// What became of a change, for whoever proposed it: a word, its epoch, and how long that took.
struct Told {
    word: String,
    epoch: Option<u64>,
    took: Duration,
    /// When the outcome was known, in microseconds since the play began.
    known_at: Moment,
}

/// What a client that stays has seen.
struct Stay {
    client: usize,
    id: String,
    at: Moment,
    moved: bool,
}

/// An owner that came to harm.
struct Harmed {
    harm: Harm,
    job: String,
    token: u64,
    at: Moment,
}

/// A job as operators see it.
struct Job {
    name: String,
    /// Its owner's place.
    owner: Option<usize>,
    token: u64,
    /// Why nobody may act on it; empty where somebody may.
    why: String,
}

/// A line of a relay's log.
type Said = (Instant, String);

/// A change that somebody waits for.
struct Change {
    text: String,
    asked: Moment,
    thread: JoinHandle<Told>,
}

struct Rig {
    ground: Ground,
    scenario: Scenario,
    begin: Instant,
    discovery: Discovery,
    backends: Vec<Backend>,
    entries: Vec<Entry>,
    relays: Vec<Option<Relay>>,
    /// The sockets that the platform holds for them.
    held: Vec<Arc<TcpListener>>,
    /// The links by which operators reach each voter, which no fault is done to.
    staff_ways: Vec<Proxy>,
    /// Where each relay's clients come; none while it is away.
    doors: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// Links by who dials and which voter.
    links: BTreeMap<(usize, usize), Proxy>,
    /// Logs of processes that have ended.
    logs: Vec<(usize, Vec<Said>)>,
    stays: Arc<Mutex<Vec<Stay>>>,
    harmed: Vec<Harmed>,
    spoilt: Spoilt,
    history: Vec<Line>,
    proposed: usize,
    changes: Vec<Change>,
    requests: Arc<Mutex<Vec<Request>>>,
    stopped: BTreeSet<usize>,
    /// The fail points that a relay is started with.
    armed: BTreeMap<usize, String>,
    /// Relays that have become voters, each with the one link by which all others reach it.
    joined: BTreeMap<usize, Proxy>,
    /// Replacements of voters that operators wait for.
    replacements: Vec<JoinHandle<Result<(), String>>>,
}

/// Plays it, and looks at its history.
pub fn play(ground: &Ground, scenario: &Scenario) -> io::Result<Played> {
    let mut rig = Rig::build(ground, scenario)?;
    let stop = Arc::new(AtomicBool::new(false));
    let requests = rig.requests.clone();
    let clients: Vec<JoinHandle<()>> = (0..rig.relays.len())
        .map(|relay| {
            let (doors, stop, requests, begin) =
                (rig.doors.clone(), stop.clone(), requests.clone(), rig.begin);
            thread::spawn(move || request(relay, &doors, &stop, &requests, begin))
        })
        .collect();
    let stayers: Vec<JoinHandle<()>> = (0..scenario.standing)
        .map(|client| {
            let (doors, stop, stays, begin) = (
                rig.doors.clone(),
                stop.clone(),
                rig.stays.clone(),
                rig.begin,
            );
            thread::spawn(move || stay(client, &doors, &stop, &stays, begin))
        })
        .collect();
    let looks: Arc<Mutex<Vec<Line>>> = Arc::default();
    let looker = {
        let (stop, looks, begin, program) = (
            stop.clone(),
            looks.clone(),
            rig.begin,
            ground.program.clone(),
        );
        let file = rig.operators()?;
        thread::spawn(move || look(&program, &file, &stop, &looks, begin))
    };
    let played = rig.all_stand().and_then(|()| rig.run());
    let together = played.and_then(|()| rig.come_together(&requests));
    stop.store(true, Relaxed);
    clients
        .into_iter()
        .chain(stayers)
        .chain([looker])
        .for_each(|thread| drop(thread.join()));
    rig.history.append(&mut lock(&looks));
    let together = together?;
    let requests = std::mem::take(&mut *lock(&requests));
    Ok(rig.end(requests, together))
}

/// A client that asks again and again, one request after the other.
fn request(
    relay: usize,
    doors: &Mutex<Vec<Option<SocketAddr>>>,
    stop: &AtomicBool,
    requests: &Mutex<Vec<Request>>,
    begin: Instant,
) {
    let now = || begin.elapsed().as_micros() as Moment;
    let mut n = 0;
    while !stop.load(Relaxed) {
        let Some(door) = lock(doors)[relay] else {
            thread::sleep(AWAY);
            continue;
        };
        n += 1;
        let id = format!("{relay:02x}{n:08x}");
        let Ok(mut socket) = TcpStream::connect_timeout(&door, ANSWER) else {
            thread::sleep(AWAY);
            continue;
        };
        let asked = now();
        let talk = |socket: &mut TcpStream| -> io::Result<String> {
            socket.set_nodelay(true)?;
            socket.set_read_timeout(Some(ANSWER))?;
            write!(socket, "OPEN {id} {n:x} c=chat,d=1000,g=1\r\n")?;
            let mut answer = String::new();
            BufReader::new(&*socket).read_line(&mut answer)?;
            Ok(answer)
        };
        let answer = talk(&mut socket).unwrap_or_default();
        let word = answer
            .split([' ', '\r'])
            .next()
            .unwrap_or_default()
            .to_string();
        lock(requests).push(Request {
            relay,
            id,
            asked,
            at: now(),
            word,
        });
        thread::sleep(KNOCK);
    }
}

/// A client that stays until it is moved or cut off, and comes again then, at the next relay.
fn stay(
    client: usize,
    doors: &Mutex<Vec<Option<SocketAddr>>>,
    stop: &AtomicBool,
    stays: &Mutex<Vec<Stay>>,
    begin: Instant,
) {
    let now = || begin.elapsed().as_micros() as Moment;
    let mut n = 0;
    while !stop.load(Relaxed) {
        n += 1;
        let door = {
            let doors = lock(doors);
            doors[(client + n) % doors.len()]
        };
        let id = format!("{:04x}{n:06x}", 0xf000 + client);
        let met = door.and_then(|door| TcpStream::connect_timeout(&door, ANSWER).ok());
        let Some(mut socket) = met else {
            thread::sleep(AWAY);
            continue;
        };
        let _ = socket.set_read_timeout(Some(LOOK));
        let asked = write!(socket, "OPEN {id} {client:x} c=chat,d=1000,g=1\r\n");
        let (mut reader, mut line, mut up) = (BufReader::new(socket), String::new(), false);
        while asked.is_ok() && !stop.load(Relaxed) {
            match reader.read_line(&mut line) {
                Ok(0) => break,
                Ok(_) => {
                    let word = line.split([' ', '\r']).next().unwrap_or_default();
                    if word == "UP" {
                        up = true;
                    }
                    if word == "UP" || word == "MOVE" {
                        let moved = word == "MOVE";
                        lock(stays).push(Stay {
                            client,
                            id: id.clone(),
                            at: now(),
                            moved,
                        });
                    }
                    if word != "UP" {
                        break;
                    }
                    line.clear();
                }
                // What has come of a line stays in it.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        if !up {
            thread::sleep(AWAY);
        }
    }
}

/// Operators who look again and again which epoch is in force.
fn look(program: &Path, file: &Path, stop: &AtomicBool, looks: &Mutex<Vec<Line>>, begin: Instant) {
    let now = || begin.elapsed().as_micros() as Moment;
    while !stop.load(Relaxed) {
        let asked = now();
        let mut command = Command::new(program);
        command
            .args(["policy", "--json", "--wait", "2", "--operator"])
            .arg(file)
            .arg("status");
        let said = command
            .stdin(Stdio::null())
            .output()
            .map(|output| output.stdout)
            .unwrap_or_default();
        let said: Option<serde_json::Value> = serde_json::from_slice(&said).ok();
        let epoch = said.and_then(|said| said["epoch"].as_str()?.parse().ok());
        if let Some(epoch) = epoch {
            lock(looks).push(Line {
                at: now(),
                fact: Fact::Epoch {
                    epoch,
                    change: false,
                    asked,
                },
            });
        }
        thread::sleep(LOOK);
    }
}

/// Voters as an operator file names them, by their places among the relays.
fn voters(at: impl Iterator<Item = (usize, SocketAddr)>) -> String {
    at.map(|(voter, address)| {
        let number = voter + 1;
        format!("[[fleet.voters]]\nnumber = {number}\naddress = \"{address}\"\nlisten = \"127.0.0.1:0\"\n")
    })
    .collect()
}

/// The text of the policy that pins the site to a cell.
fn policy(cell: usize, rate: u64) -> String {
    let mut text = format!("# change {cell}\n[cells]\nmoves_per_second = {rate}\n");
    for n in 0..CELLS {
        text += &format!("[[cells.cell]]\nname = \"c{n}\"\nservers = [\"s-{n}\"]\n");
    }
    text + &format!("[[cells.site]]\nkey = \"1\"\ncell = \"c{cell}\"\n")
}

impl Rig {
    fn build(ground: &Ground, scenario: &Scenario) -> io::Result<Rig> {
        std::fs::create_dir_all(&ground.dir)?;
        let backends = (0..CELLS)
            .map(|_| Backend::start(None))
            .collect::<io::Result<Vec<_>>>()?;
        let entries: Vec<Entry> = backends
            .iter()
            .enumerate()
            .map(|(n, backend)| Entry::active(&format!("s-{n}"), backend.addr))
            .collect();
        let discovery = Discovery::start(None, &entries)?;
        std::fs::write(
            ground.dir.join("fleet.key"),
            "a key of the laboratory, long enough to be one\n",
        )?;
        let relays = scenario.voters + scenario.observers;
        let mut links = BTreeMap::new();
        for relay in 0..relays {
            for voter in 0..scenario.voters {
                links.insert((relay, voter), Proxy::start()?);
            }
        }
        let held = (0..relays)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<Vec<_>>>()?;
        let mut rig = Rig {
            ground: ground.clone(),
            scenario: scenario.clone(),
            begin: Instant::now(),
            discovery,
            backends,
            entries,
            relays: (0..relays).map(|_| None).collect(),
            held: held.into_iter().map(Arc::new).collect(),
            staff_ways: (0..relays)
                .map(|_| Proxy::start())
                .collect::<io::Result<Vec<_>>>()?,
            doors: Arc::new(Mutex::new(vec![None; relays])),
            links,
            logs: Vec::new(),
            stays: Arc::default(),
            harmed: Vec::new(),
            spoilt: Spoilt::default(),
            history: Vec::new(),
            proposed: 0,
            changes: Vec::new(),
            requests: Arc::default(),
            stopped: BTreeSet::new(),
            armed: BTreeMap::new(),
            joined: BTreeMap::new(),
            replacements: Vec::new(),
        };
        for relay in 0..relays {
            let operator = rig.operator(relay);
            if relay < scenario.voters {
                let file = ground.dir.join(format!("init-{relay}.toml"));
                std::fs::write(&file, operator)?;
                rig.call(&["fleet", "--operator", &file.display().to_string(), "init"])?;
            }
            if !scenario.points.is_empty() {
                rig.armed.insert(relay, scenario.points.clone());
            }
            rig.start(relay)?;
        }
        rig.armed.clear();
        // The play begins when every relay admits clients under the first policy, which is proposed like any other.
        rig.begin = Instant::now();
        // On a machine that is busy it may be given up.
        let end = Instant::now() + crate::PATIENCE;
        while !rig
            .change(policy(0, rig.scenario.moves_per_second), crate::PATIENCE)?
            .join()
            .is_ok_and(|told| told.word == "in-force")
        {
            if Instant::now() > end {
                return Err(io::Error::other(format!(
                    "the fleet did not begin: {}",
                    rig.all_logs()
                )));
            }
        }
        for relay in rig.relays.iter().flatten() {
            relay.wait_for("clients are admitted, policy of epoch 1");
        }
        rig.begin = Instant::now();
        Ok(rig)
    }

    fn now(&self) -> Moment {
        self.begin.elapsed().as_micros() as Moment
    }

    fn write(&mut self, fact: Fact) {
        self.history.push(Line {
            at: self.now(),
            fact,
        });
    }

    fn all_logs(&self) -> String {
        let lines = self
            .relays
            .iter()
            .flatten()
            .flat_map(Relay::lines)
            .filter(|line| line.contains("fleet"));
        lines.collect::<Vec<_>>().join("; ")
    }

    fn operator(&self, relay: usize) -> String {
        let lease = self.scenario.lease_ms;
        let mut text = format!(
            "[fleet]\nid = \"lab\"\ndirectory = \"ledger-{relay}\"\nkeys = \"fleet.key\"\nlease_ms = {lease}\npatience_ms = {}\n",
            3 * lease
        );
        let jobs = "\n[fleet.jobs]\nload_watch = true\npaced_moves = true\n";
        if relay < self.scenario.voters || self.joined.contains_key(&relay) {
            text += &format!("voter = {}\n", relay + 1);
        }
        let own = (0..self.scenario.voters).map(|voter| (voter, self.links[&(relay, voter)].addr));
        let joined = self.joined.iter().map(|(voter, link)| (*voter, link.addr));
        text + &voters(own.chain(joined)) + if self.scenario.jobs { jobs } else { "" }
    }

    fn start(&mut self, relay: usize) -> io::Result<()> {
        if self.relays[relay].is_some() {
            return Ok(());
        }
        let started = Relay::start(&self.setup(relay))?;
        lock(&self.doors)[relay] = Some(started.addr);
        self.relays[relay] = Some(started);
        self.lead_to(relay);
        Ok(())
    }

    fn setup(&self, relay: usize) -> Setup {
        Setup {
            program: self.ground.program.clone(),
            dir: self.ground.dir.clone(),
            name: format!("n{relay}"),
            discovery: self.discovery.addr,
            known: self.entries.clone(),
            operator: Some(self.operator(relay)),
            sockets: 1024,
            replace: if self.scenario.jobs || self.scenario.probes {
                self.probed()
            } else {
                Vec::new()
            },
            listen: None,
            core: None,
            held: Some(self.held[relay].clone()),
            bug: self.ground.bug.clone(),
            build: match relay {
                of if self.scenario.older.contains(&of) => Some("older".into()),
                of if self.scenario.later.contains(&of) => Some("later".into()),
                _ => None,
            },
            fail_points: self.armed.get(&relay).cloned(),
        }
    }

    /// What lets relays probe, says in which columns backends tell their load, and how many relays there are.
    fn probed(&self) -> Vec<(String, String)> {
        let relays = format!(r#""peers_total": {}"#, self.relays.len());
        let replace = [
            (r#""probes": false"#, r#""probes": true"#),
            (r#""columns": []"#, r#""columns": ["active", "x0"]"#),
            (r#""peers_total": 1"#, &relays),
        ];
        replace
            .map(|(from, to)| (from.to_string(), to.to_string()))
            .into()
    }

    /// Leads the links to a voter to where it listens now.
    fn lead_to(&mut self, relay: usize) {
        let Some(started) = self.relays[relay].as_ref() else {
            return;
        };
        if relay >= self.scenario.voters && !self.joined.contains_key(&relay) {
            return;
        }
        // One whose disk was lost or torn, or that was removed, says so and listens no more.
        let at = crate::until("a voter's address, or why it has none", || {
            let at = started.said_addr("votes in its fleet on ").map(Some);
            let not = || {
                started
                    .lines()
                    .iter()
                    .any(|line| line.contains("does not vote"))
                    .then_some(None)
            };
            at.or_else(not)
        });
        let own = self
            .links
            .iter()
            .filter(|((_, voter), _)| *voter == relay)
            .map(|(_, link)| link);
        let own = own
            .chain(self.joined.get(&relay))
            .chain([&self.staff_ways[relay]]);
        own.for_each(|link| link.lead_to(at));
    }

    /// A second process of a relay takes over from the first, as the platform does it.
    fn upgrade(&mut self, relay: usize) -> io::Result<()> {
        // One that is stopped would not go; the platform would wait for it, too.
        if self.stopped.contains(&relay) || self.relays[relay].is_none() {
            return Ok(());
        }
        let new = Relay::start(&self.setup(relay))?;
        let Some(mut old) = self.relays[relay].replace(new) else {
            return Ok(());
        };
        old.signal("TERM")?;
        old.exit();
        self.logs.push((relay, old.end()));
        // The two ran at one time: what each obeyed is a row of its own.
        self.logs
            .push((relay, vec![(Instant::now(), SECOND_PROCESS.into())]));
        self.lead_to(relay);
        Ok(())
    }

    fn kill(&mut self, relay: usize) {
        lock(&self.doors)[relay] = None;
        if let Some(process) = self.relays[relay].take() {
            self.logs.push((relay, process.end()));
        }
    }

    /// Calls the program as operators do; what it cannot do ends the play.
    fn call(&self, words: &[&str]) -> io::Result<()> {
        let output = Command::new(&self.ground.program)
            .args(words)
            .stdin(Stdio::null())
            .output()?;
        let said = || io::Error::other(String::from_utf8_lossy(&output.stderr).to_string());
        output.status.success().then_some(()).ok_or_else(said)
    }

    /// The operator file of operators, who reach the voters by a way of their own, which no fault is done to.
    fn operators(&self) -> io::Result<PathBuf> {
        let numbers = (0..self.scenario.voters).chain(self.joined.keys().copied());
        let operators = "[fleet]\nid = \"lab\"\ndirectory = \"none\"\nkeys = \"fleet.key\"\n";
        let file = self.ground.dir.join("operators.toml");
        // As a whole: calls that are under way read it.
        let new = file.with_extension("new");
        std::fs::write(
            &new,
            operators.to_string() + &voters(numbers.map(|n| (n, self.staff_ways[n].addr))),
        )?;
        std::fs::rename(new, &file)?;
        Ok(file)
    }

    /// A voter's place is taken by a relay that had no vote, as the pages say.
    fn replace(&mut self, old: usize, new: usize, disk: Disk) -> io::Result<()> {
        if self.joined.contains_key(&new) {
            return Ok(());
        }
        if disk != Disk::Whole {
            self.spoil(old, 200, Undo::Start(old));
            self.kill(old);
            std::fs::remove_dir_all(self.ground.dir.join(format!("ledger-{old}")))?;
        }
        if disk == Disk::Remade {
            let file = self.ground.dir.join(format!("init-{old}.toml"));
            self.call(&["fleet", "--operator", &file.display().to_string(), "init"])?;
        }
        self.spoil(new, 200, Undo::Start(new));
        self.kill(new);
        let link = Proxy::start()?;
        let address = link.addr.to_string();
        self.joined.insert(new, link);
        let file = self.ground.dir.join(format!("join-{new}.toml"));
        std::fs::write(&file, self.operator(new))?;
        self.call(&["fleet", "--operator", &file.display().to_string(), "join"])?;
        self.start(new)?;
        let operator = self.operators()?;
        let (goes, comes) = ((old + 1).to_string(), (new + 1).to_string());
        let mut command = Command::new(&self.ground.program);
        command
            .args(["fleet", "--wait", "40", "--operator"])
            .arg(operator);
        command
            .args(["replace", &goes, "--by", &comes, "--address", &address])
            .stdin(Stdio::null());
        self.replacements.push(thread::spawn(move || {
            let output = command.output().map_err(|e| e.to_string())?;
            let said = String::from_utf8_lossy(&output.stderr).to_string();
            output.status.success().then_some(()).ok_or(said)
        }));
        Ok(())
    }

    /// Proposes a policy as operators do, and waits for its outcome in a thread.
    fn change(&mut self, text: String, wait: Duration) -> io::Result<JoinHandle<Told>> {
        self.proposed += 1;
        let file = self
            .ground
            .dir
            .join(format!("policy-{}.toml", self.proposed));
        std::fs::write(&file, &text)?;
        let operator = self.operators()?;
        let mut command = Command::new(&self.ground.program);
        command
            .arg("policy")
            .arg("--operator")
            .arg(operator)
            .arg("--json");
        command
            .args(["--wait", &wait.as_secs().to_string(), "propose"])
            .arg(file)
            .args(["--why", "a play"]);
        command
            .args(["--who", "the laboratory"])
            .stdin(Stdio::null());
        let play_begin = self.begin;
        Ok(thread::spawn(move || {
            let begin = Instant::now();
            let said = command
                .output()
                .map(|output| String::from_utf8_lossy(&output.stdout).to_string());
            let said: Option<serde_json::Value> =
                said.ok().and_then(|said| serde_json::from_str(&said).ok());
            let part = |name: &str| {
                said.as_ref()
                    .and_then(|said| said[name].as_str())
                    .unwrap_or("unknown")
            };
            let epoch = part("text")
                .strip_prefix("in force, epoch ")
                .and_then(|n| n.parse().ok());
            Told {
                word: part("outcome").into(),
                epoch,
                took: begin.elapsed(),
                known_at: play_begin.elapsed().as_micros() as Moment,
            }
        }))
    }

    fn propose(&mut self, text: Option<String>) -> io::Result<()> {
        // The last cell is for the change after all; with all others used up, no more can be told apart.
        if self.proposed + 1 >= CELLS {
            return Ok(());
        }
        let text = text.unwrap_or_else(|| policy(self.proposed, self.scenario.moves_per_second));
        let asked = self.now();
        let thread = self.change(text.clone(), Duration::from_secs(20))?;
        self.changes.push(Change {
            text,
            asked,
            thread,
        });
        Ok(())
    }

    fn run(&mut self) -> io::Result<()> {
        let steps = self.scenario.step.clone();
        let mut steps = steps.into_iter().peekable();
        loop {
            let step = steps.peek().map(|step| step.at_ms * 1_000);
            let undo = self.spoilt.undo.iter().map(|(at, _)| *at).min();
            let Some(next) = [step, undo].into_iter().flatten().min() else {
                return Ok(());
            };
            thread::sleep(Duration::from_micros(next.saturating_sub(self.now())));
            self.undo_until(next)?;
            if let Some(step) = steps.next_if(|step| step.at_ms * 1_000 <= next) {
                self.step(&step)?;
            }
        }
    }

    /// Something is done to a relay for so long.
    fn spoil(&mut self, relay: usize, for_ms: u64, undo: Undo) {
        let until = self.now() + for_ms * 1_000;
        self.spoilt.undo.push((until, undo));
        // A while longer, until what waited meanwhile has been served.
        self.mark(relay, until + 1_500_000);
    }

    fn mark(&mut self, relay: usize, until: Moment) {
        let now = self.now();
        self.write(Fact::Fault {
            text: format!("n{relay} until {:.3} s", until as f64 / 1e6),
        });
        let known = self.spoilt.until.entry(relay).or_default();
        *known = until.max(*known);
        self.history.push(Line {
            at: now,
            fact: Fact::Spoilt {
                relay: format!("n{relay}"),
                until,
            },
        });
    }

    fn step(&mut self, step: &Step) -> io::Result<()> {
        self.write(Fact::Fault {
            text: format!("{:?}", step.action),
        });
        match step.action {
            Action::Propose => self.propose(None)?,
            Action::ProposeBad => self.propose(Some("[of_a_later_build]\n".into()))?,
            Action::ProposeLater => {
                let text = policy(self.proposed, self.scenario.moves_per_second) + LATER;
                self.propose(Some(text))?;
            }
            Action::Rebuild { relay } => {
                self.scenario.older.retain(|of| *of != relay);
                self.scenario.later.retain(|of| *of != relay);
                self.mark(relay, self.now() + 1_500_000);
                self.kill(relay);
                self.start(relay)?;
            }
            Action::ProposeTwo => {
                self.propose(None)?;
                self.propose(None)?;
            }
            Action::Kill { relay, for_ms } => {
                self.spoil(relay, for_ms, Undo::Start(relay));
                self.kill(relay);
            }
            Action::KillAll { for_ms } => {
                for relay in 0..self.relays.len() {
                    self.spoil(relay, for_ms, Undo::Start(relay));
                    self.kill(relay);
                }
            }
            Action::Stop { relay, for_ms } => self.stop(relay, for_ms)?,
            Action::StopLeader { for_ms } => {
                let leads = |relay: &Option<Relay>| {
                    let lines = relay.as_ref().map(Relay::lines).unwrap_or_default();
                    let last = lines
                        .into_iter()
                        .rev()
                        .find(|line| line.contains("fleet: leads"));
                    last.is_some_and(|line| line.contains("leads in term"))
                };
                let leader = self.relays.iter().position(leads).unwrap_or(0);
                self.stop(leader, for_ms)?;
            }
            Action::Cut {
                relay,
                out,
                back,
                held,
                for_ms,
            } => self.cut(relay, [out, back], held, for_ms),
            Action::Slow { by_ms, for_ms } => {
                let late = Way::Late(Duration::from_millis(by_ms));
                self.links.values().for_each(|link| link.set([late, late]));
                let until = self.now() + for_ms * 1_000;
                self.spoilt.undo.push((until, Undo::MendAll));
            }
            Action::Narrow {
                bytes_per_s,
                for_ms,
            } => {
                let narrow = Way::Narrow(bytes_per_s);
                self.links
                    .values()
                    .for_each(|link| link.set([narrow, narrow]));
                self.spoilt
                    .undo
                    .push((self.now() + for_ms * 1_000, Undo::MendAll));
            }
            Action::Lossy {
                permille,
                by_ms,
                for_ms,
            } => {
                let lossy = Way::Lossy(permille, Duration::from_millis(by_ms));
                self.links
                    .values()
                    .for_each(|link| link.set([lossy, lossy]));
                self.spoilt
                    .undo
                    .push((self.now() + for_ms * 1_000, Undo::MendAll));
            }
            Action::Arm {
                relay,
                ref points,
                for_ms,
            } => {
                self.spoil(relay, for_ms, Undo::Restart(relay));
                self.kill(relay);
                self.armed.insert(relay, points.clone());
                // At some points it ends before it serves.
                if let Err(e) = self.start(relay) {
                    self.write(Fact::Fault {
                        text: format!("n{relay} does not start: {e}"),
                    });
                }
                self.armed.remove(&relay);
            }
            Action::Reach {
                relay,
                ref points,
                ref says,
            } => self.reach(relay, points, says)?,
            Action::Restart { relay } => {
                self.mark(relay, self.now() + 1_500_000);
                self.kill(relay);
                self.start(relay)?;
            }
            Action::Said { relay, ref says } => self.wait(says, |rig| rig.has_said(relay, says))?,
            Action::Tear {
                relay,
                bytes,
                for_ms,
            } => {
                self.spoil(relay, for_ms, Undo::Start(relay));
                self.kill(relay);
                let file = std::fs::OpenOptions::new()
                    .write(true)
                    .open(self.ground.dir.join(format!("ledger-{relay}/ledger.redb")))?;
                file.set_len(file.metadata()?.len().saturating_sub(bytes))?;
            }
            Action::Replace { relay, by, disk } => self.replace(relay, by, disk)?,
            Action::Upgrade { relay } => self.upgrade(relay)?,
            Action::Keys { ref keys } => {
                std::fs::write(self.ground.dir.join("fleet.key"), keys.join("\n") + "\n")?
            }
            Action::Owner {
                ref job,
                harm,
                for_ms,
            } => self.harm(job, harm, for_ms)?,
            Action::Taken { ref job } => self.taken(job)?,
            Action::Reset => self.links.values().for_each(Proxy::reset),
            Action::Await => self.settle(|_| true)?,
            Action::Admitted => self.settle(|word| word == "UP")?,
        }
        Ok(())
    }

    fn cut(&mut self, relay: usize, [out, back]: [bool; 2], held: bool, for_ms: u64) {
        let what = if held { Way::Hold } else { Way::Lose };
        let way = |on: bool| if on { what } else { Way::Pass };
        for ((from, to), link) in &self.links {
            if *from == relay {
                link.set([way(out), way(back)]);
            } else if *to == relay {
                link.set([way(back), way(out)]);
            }
        }
        self.spoil(relay, for_ms, Undo::Mend(relay));
    }

    /// The fleet's jobs as operators see them; none where nobody answers just now.
    fn jobs(&mut self) -> Option<Vec<Job>> {
        let operators = self.ground.dir.join("operators.toml");
        let mut command = Command::new(&self.ground.program);
        command
            .args(["fleet", "--json", "--wait", "1", "--operator"])
            .arg(operators)
            .arg("jobs");
        command
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(Stdio::piped());
        let mut call = command.spawn().ok()?;
        // It says a few lines, which fit into the pipe; and it waits for voters that may be stopped: what is due to be
        // undone meanwhile is undone.
        while call.try_wait().ok()?.is_none() {
            self.undo_until(self.now()).ok()?;
            thread::sleep(KNOCK);
        }
        let output = call.wait_with_output().ok()?;
        let said = String::from_utf8(output.stdout).ok()?;
        let job = |line: &str| {
            let said: serde_json::Value = serde_json::from_str(line).ok()?;
            let owner = said["owner"]
                .as_str()?
                .strip_prefix('n')
                .and_then(|n| n.parse().ok());
            let token = said["token"].as_str()?.parse().ok()?;
            let (name, why) = (
                said["job"].as_str()?.to_string(),
                said["why"].as_str()?.to_string(),
            );
            Some(Job {
                name,
                owner,
                token,
                why,
            })
        };
        output
            .status
            .success()
            .then(|| said.lines().filter_map(job).collect())
    }

    /// Whoever has the job, and its token.
    fn owner(&mut self, name: &str) -> Option<(usize, u64)> {
        let jobs = self.jobs()?;
        let job = jobs.into_iter().find(|job| job.name == name)?;
        Some((job.owner?, job.token))
    }

    /// Something is done to whoever has a job just now; nothing where that is nobody.
    fn harm(&mut self, job: &str, harm: Harm, for_ms: u64) -> io::Result<()> {
        let Some((relay, token)) = self.owner(job) else {
            return Ok(());
        };
        if self.relays.get(relay).is_none_or(Option::is_none) || self.stopped.contains(&relay) {
            return Ok(());
        }
        self.write(Fact::Fault {
            text: format!("n{relay} has {job} under token {token}: {harm:?}"),
        });
        self.harmed.push(Harmed {
            harm,
            job: job.into(),
            token,
            at: self.now(),
        });
        match harm {
            Harm::Kill => {
                self.spoil(relay, for_ms, Undo::Start(relay));
                self.kill(relay);
            }
            Harm::Stop => self.stop(relay, for_ms)?,
            Harm::Mute => self.cut(relay, [true, false], true, for_ms),
            Harm::Deaf => self.cut(relay, [false, true], true, for_ms),
            Harm::Cut => self.cut(relay, [true, true], false, for_ms),
            Harm::Upgrade => self.upgrade(relay)?,
            Harm::HandOver => {
                let mut command = Command::new(&self.ground.program);
                command
                    .args(["fleet", "--wait", "20", "--operator"])
                    .arg(self.operators()?);
                command.args(["hand-over", job]).stdin(Stdio::null());
                // A leader that changes meanwhile may make it fail; then the job stays where it is.
                self.replacements.push(thread::spawn(move || {
                    command.output().map(drop).map_err(|e| e.to_string())
                }));
            }
        }
        Ok(())
    }

    /// Another relay has the job than the one that came to harm last, and all that run have obeyed it.
    fn taken(&mut self, job: &str) -> io::Result<()> {
        let before = self
            .harmed
            .iter()
            .rev()
            .find(|harmed| harmed.job == job)
            .map_or(0, |harmed| harmed.token);
        self.wait("an owner that all obey", |rig| {
            thread::sleep(LOOK);
            let Some((_, token)) = rig.owner(job).filter(|(_, token)| *token > before) else {
                return false;
            };
            let runs = |relay: &usize| rig.relays[*relay].is_some() && !rig.stopped.contains(relay);
            let words = format!("fleet: obeys {job} under token {token}");
            (0..rig.relays.len())
                .filter(runs)
                .all(|relay| rig.has_said(relay, &words))
        })
    }

    /// Every client that stays stands, before anything is done.
    fn all_stand(&mut self) -> io::Result<()> {
        let all = self.scenario.standing;
        self.wait("all clients that stay", |rig| {
            let stays = lock(&rig.stays);
            stays
                .iter()
                .map(|stay| stay.client)
                .collect::<BTreeSet<_>>()
                .len()
                == all
        })
    }

    /// Whether a process of this relay has said these words.
    fn has_said(&self, relay: usize, words: &str) -> bool {
        let said = |lines: &[Said]| lines.iter().any(|(_, line)| line.contains(words));
        self.logs
            .iter()
            .any(|(of, lines)| *of == relay && said(lines))
            || self.relays[relay]
                .as_ref()
                .is_some_and(|process| said(&process.stamped()))
    }

    /// A fault that is awaited, not timed: one that did not come would prove nothing.
    fn reach(&mut self, relay: usize, points: &str, says: &str) -> io::Result<()> {
        self.wait_for_outcomes()?;
        self.mark(relay, self.now() + crate::PATIENCE.as_micros() as Moment);
        self.kill(relay);
        self.armed.insert(relay, points.to_string());
        // At some points it ends before it serves; what it said then is all there is of it.
        if let Err(e) = self.start(relay) {
            self.logs
                .push((relay, vec![(Instant::now(), e.to_string())]));
        }
        self.armed.remove(&relay);
        let end = Instant::now() + crate::PATIENCE;
        while !self.has_said(relay, says) {
            if Instant::now() > end {
                return Err(io::Error::other(format!("n{relay} never said: {says}")));
            }
            self.undo_until(self.now())?;
            if self
                .changes
                .iter()
                .all(|change| change.thread.is_finished())
            {
                self.propose(None)?;
            }
            thread::sleep(KNOCK);
        }
        if let (true, Some(process)) = (says.starts_with("ends at"), &mut self.relays[relay]) {
            process.exit();
            self.kill(relay);
        }
        Ok(())
    }

    /// Waits until something is there; what is due to be undone meanwhile is undone.
    fn wait(&mut self, what: &str, mut there: impl FnMut(&mut Rig) -> bool) -> io::Result<()> {
        let end = Instant::now() + crate::PATIENCE;
        while !there(self) {
            if Instant::now() > end {
                return Err(io::Error::other(format!(
                    "waited in vain for {what}: {}",
                    self.all_logs()
                )));
            }
            self.undo_until(self.now())?;
            thread::sleep(KNOCK);
        }
        Ok(())
    }

    fn undo_until(&mut self, moment: Moment) -> io::Result<()> {
        let due = |at: &Moment| *at <= moment;
        let undo: Vec<Undo> = self
            .spoilt
            .undo
            .iter()
            .filter(|(at, _)| due(at))
            .map(|(_, undo)| *undo)
            .collect();
        self.spoilt.undo.retain(|(at, _)| !due(at));
        undo.into_iter().try_for_each(|undo| self.undo(undo))
    }

    fn wait_for_outcomes(&mut self) -> io::Result<()> {
        self.wait("the outcomes of all changes", |rig| {
            rig.changes.iter().all(|change| change.thread.is_finished())
        })?;
        // Each ends by itself when its time to wait is up, and says what it waited for.
        while !self.replacements.iter().all(JoinHandle::is_finished) {
            self.undo_until(self.now())?;
            thread::sleep(KNOCK);
        }
        Ok(())
    }

    /// Every change so far has its outcome, and every relay that runs has had some clients since with such an answer.
    fn settle(&mut self, answer: fn(&str) -> bool) -> io::Result<()> {
        self.wait_for_outcomes()?;
        let since = self.now();
        self.wait("clients at every relay", |rig| {
            let requests = lock(&rig.requests);
            let runs = |relay: &usize| rig.relays[*relay].is_some() && !rig.stopped.contains(relay);
            let had = |relay: usize| {
                let of = |r: &&Request| r.relay == relay && r.asked > since && answer(&r.word);
                requests.iter().filter(of).count() >= SOME
            };
            (0..rig.relays.len()).filter(runs).all(had)
        })
    }

    fn stop(&mut self, relay: usize, for_ms: u64) -> io::Result<()> {
        if let Some(process) = &self.relays[relay] {
            process.signal("STOP")?;
            self.stopped.insert(relay);
            self.spoil(relay, for_ms, Undo::Continue(relay));
        }
        Ok(())
    }

    fn undo(&mut self, undo: Undo) -> io::Result<()> {
        self.write(Fact::Fault {
            text: format!("{undo:?}"),
        });
        match undo {
            Undo::Start(relay) => self.start(relay),
            Undo::Restart(relay) => {
                self.kill(relay);
                self.start(relay)
            }
            Undo::Continue(relay) => {
                self.stopped.remove(&relay);
                // It may have been killed meanwhile.
                self.relays[relay]
                    .as_ref()
                    .map_or(Ok(()), |process| process.signal("CONT"))
            }
            Undo::Mend(relay) => {
                let own = |(from, to): &(usize, usize)| *from == relay || *to == relay;
                self.links
                    .iter()
                    .filter(|(key, _)| own(key))
                    .for_each(|(_, link)| link.set([Way::Pass; 2]));
                Ok(())
            }
            Undo::MendAll => {
                self.links
                    .values()
                    .for_each(|link| link.set([Way::Pass; 2]));
                Ok(())
            }
        }
    }

    /// All is mended: every change has an outcome, one more takes hold, and every relay admits clients under it.
    fn come_together(&mut self, requests: &Mutex<Vec<Request>>) -> io::Result<Vec<Broken>> {
        self.links
            .values()
            .for_each(|link| link.set([Way::Pass; 2]));
        for relay in self.relays.iter().flatten() {
            relay.signal("CONT")?;
        }
        // One that was lost with its leader is proposed again by whoever waits for it: it must not come after the last.
        self.wait_for_outcomes()?;
        for replacement in std::mem::take(&mut self.replacements) {
            if let Err(text) = replacement
                .join()
                .unwrap_or_else(|_| Err("its thread ended".into()))
            {
                return Ok(vec![Broken {
                    rule: "a voter can be replaced",
                    at: self.now(),
                    text,
                }]);
            }
        }
        let last = self.now();
        let cell = CELLS - 1;
        // A change under way makes a new one be refused: it is proposed until it takes hold.
        let end = Instant::now() + crate::PATIENCE;
        let mut outcome = String::new();
        while outcome != "in-force" && Instant::now() < end {
            let thread = self.change(
                policy(cell, self.scenario.moves_per_second),
                Duration::from_secs(10),
            )?;
            outcome = thread
                .join()
                .map_or_else(|_| "unknown".into(), |told| told.word);
        }
        if outcome != "in-force" {
            let text = format!(
                "a change after all was mended is {outcome}: {}",
                self.all_logs()
            );
            return Ok(vec![Broken {
                rule: "the fleet comes together",
                at: self.now(),
                text,
            }]);
        }
        if let Some(broken) = self.jobs_are_done(cell)? {
            return Ok(vec![broken]);
        }
        let end = Instant::now() + crate::PATIENCE;
        let all: BTreeSet<usize> = (0..self.relays.len()).collect();
        loop {
            let here: BTreeSet<String> = self.backends[cell]
                .book(|book| book.opened.iter().map(|(_, id)| id.clone()).collect());
            let served = lock(requests)
                .iter()
                .filter(|r| r.asked > last && here.contains(&r.id))
                .map(|r| r.relay)
                .collect();
            if all == served {
                return Ok(Vec::new());
            }
            if Instant::now() > end {
                let missing: Vec<&usize> = all.difference(&served).collect();
                let requests = lock(requests);
                let words = requests
                    .iter()
                    .rev()
                    .filter(|r| missing.contains(&&r.relay))
                    .take(5);
                let words: Vec<_> = words
                    .map(|r| (r.id.as_str(), r.asked, r.at, r.word.as_str()))
                    .collect();
                let text =
                    format!("relays {missing:?} admit nobody after all was mended at {last}; their clients last {words:?}: {}", self.all_logs());
                return Ok(vec![Broken {
                    rule: "the fleet comes together",
                    at: self.now(),
                    text,
                }]);
            }
            thread::sleep(KNOCK);
        }
    }

    /// Each job has its owner, all relays obey the load watch's, and every client that stays stands in the last cell.
    fn jobs_are_done(&mut self, cell: usize) -> io::Result<Option<Broken>> {
        if !self.scenario.jobs {
            return Ok(None);
        }
        let owned = self.wait("an owner of each job", |rig| {
            let sound = |job: &Job| job.owner.is_some() && job.why.is_empty();
            thread::sleep(LOOK);
            rig.jobs()
                .is_some_and(|jobs| jobs.len() == 2 && jobs.iter().all(sound))
        });
        let obeyed = owned.and_then(|()| {
            self.wait("relays that all obey the load watch", |rig| {
                thread::sleep(LOOK);
                let Some((_, token)) = rig.owner("load/a") else {
                    return false;
                };
                let words = format!("fleet: obeys load/a under token {token}");
                (0..rig.relays.len()).all(|relay| rig.has_said(relay, &words))
            })
        });
        let moved = obeyed.and_then(|()| {
            self.wait("clients that all stand in the last cell", |rig| {
                let here: BTreeSet<String> = rig.backends[cell]
                    .book(|book| book.opened.iter().map(|(_, id)| id.clone()).collect());
                let mut last: BTreeMap<usize, bool> = BTreeMap::new();
                for stay in lock(&rig.stays).iter() {
                    last.insert(stay.client, !stay.moved && here.contains(&stay.id));
                }
                last.len() == rig.scenario.standing && last.values().all(|stands| *stands)
            })
        });
        let broken = |e: io::Error| Broken {
            rule: "each job has its owner",
            at: self.now(),
            text: e.to_string(),
        };
        Ok(moved.err().map(broken))
    }

    fn end(mut self, requests: Vec<Request>, mut broken: Vec<Broken>) -> Played {
        let mut cells: BTreeMap<String, usize> = BTreeMap::new();
        for (cell, backend) in self.backends.iter().enumerate() {
            backend.book(|book| cells.extend(book.opened.iter().map(|(_, id)| (id.clone(), cell))));
        }
        let mut took = Vec::new();
        for change in std::mem::take(&mut self.changes) {
            let Ok(told) = change.thread.join() else {
                continue;
            };
            if let Some(epoch) = told.epoch {
                took.push(told.took);
                let fact = Fact::Epoch {
                    epoch,
                    change: true,
                    asked: change.asked,
                };
                self.history.push(Line {
                    at: told.known_at,
                    fact,
                });
            }
            let first = change.text.lines().next().unwrap_or_default().to_string();
            let text = format!("{first}: {} after {} ms", told.word, told.took.as_millis());
            self.write(Fact::Fault { text });
        }
        // Which cell each epoch means, as the relays that took it said: by its text's digest.
        let texts = |cell| {
            let text = policy(cell, self.scenario.moves_per_second);
            [text.clone() + LATER, text]
                .map(|text| (jaspermoor::config::policy::digest(&text), cell))
        };
        let digests: BTreeMap<String, usize> = (0..CELLS).flat_map(texts).collect();
        let mut logs = std::mem::take(&mut self.logs);
        for (relay, process) in self.relays.iter().enumerate() {
            logs.extend(process.iter().map(|process| (relay, process.stamped())));
        }
        let mut epochs: BTreeMap<usize, u64> = BTreeMap::new();
        let mut second = vec![0; self.relays.len()];
        for (relay, (said, line)) in logs
            .iter()
            .flat_map(|(relay, lines)| lines.iter().map(move |line| (*relay, line)))
        {
            let at = said.saturating_duration_since(self.begin).as_micros() as Moment;
            let mut write = |fact| self.history.push(Line { at, fact });
            second[relay] += usize::from(line == SECOND_PROCESS);
            if let Some((epoch, digest)) = adopted(line) {
                write(Fact::Holds {
                    relay: format!("n{relay}"),
                    epoch,
                    text: digest.clone(),
                });
                if let Some(cell) = digests.get(&digest) {
                    epochs.insert(*cell, epoch);
                }
            }
            if let Some(term) = line
                .split_once("fleet: leads in term ")
                .and_then(|(_, n)| n.trim().parse().ok())
            {
                write(Fact::Leads {
                    voter: relay as u64 + 1,
                    term,
                });
            }
            if let Some((job, token)) = obeyed(line) {
                let receiver = format!("n{relay}{}", "'".repeat(second[relay]));
                write(Fact::Obeyed {
                    receiver,
                    job,
                    token,
                });
            }
            if line.contains("fleet: the ledger:") || line.contains("panicked") {
                let rule = "a voter keeps what it has answered for";
                broken.push(Broken {
                    rule,
                    at,
                    text: line.clone(),
                });
            }
        }
        let taken = self.harmed.iter().filter_map(|harmed| {
            let first = |line: &&Line| match &line.fact {
                Fact::Obeyed { job, token, .. } => *job == harmed.job && *token > harmed.token,
                _ => false,
            };
            let at = self
                .history
                .iter()
                .filter(first)
                .map(|line| line.at)
                .min()?;
            Some((
                harmed.harm,
                Duration::from_micros(at.saturating_sub(harmed.at)),
            ))
        });
        let taken = taken.collect();
        let rate = self.scenario.moves_per_second;
        for stay in std::mem::take(&mut *lock(&self.stays)) {
            if let (true, Some(cell)) = (stay.moved, cells.get(&stay.id)) {
                let fact = Fact::Moved {
                    client: stay.client,
                    from: *cell,
                    rate,
                };
                self.history.push(Line { at: stay.at, fact });
            }
        }
        let probes = self
            .backends
            .iter()
            .map(|backend| backend.book(|book| book.probes))
            .sum();
        let (mut admitted, mut refused) = (0, 0);
        for request in &requests {
            let relay = format!("n{}", request.relay);
            let epoch = cells.get(&request.id).and_then(|cell| epochs.get(cell));
            let fact = match (request.word.as_str(), epoch) {
                ("UP", Some(epoch)) => {
                    admitted += 1;
                    Fact::Admitted {
                        relay,
                        epoch: *epoch,
                        asked: request.asked,
                    }
                }
                ("", _) => Fact::Unanswered {
                    relay,
                    id: request.id.clone(),
                },
                _ => {
                    refused += 1;
                    continue;
                }
            };
            self.history.push(Line {
                at: request.at,
                fact,
            });
        }
        // Whoever was killed, stopped or restarted meanwhile owes no answer.
        let spoilt: Vec<(String, Moment, Moment)> = self
            .history
            .iter()
            .filter_map(|line| match &line.fact {
                Fact::Spoilt { relay, until } => Some((relay.clone(), line.at, *until)),
                _ => None,
            })
            .collect();
        let waits = ANSWER.as_micros() as Moment;
        self.history.retain(|line| match &line.fact {
            Fact::Unanswered { relay, .. } => !spoilt.iter().any(|(of, from, until)| {
                of == relay && line.at + 1 >= *from && line.at <= until + waits
            }),
            _ => true,
        });
        self.history.sort_by_key(|line| line.at);
        broken.extend(check(&self.history));
        let logs = logs
            .into_iter()
            .map(|(relay, said)| (relay, said.into_iter().map(|(_, line)| line).collect()));
        let (history, logs) = (std::mem::take(&mut self.history), logs.collect());
        Played {
            broken,
            history,
            took,
            logs,
            taken,
            probes,
            admitted,
            refused,
        }
    }
}

/// The epoch and digest of a policy that a relay says to have taken.
fn adopted(line: &str) -> Option<(u64, String)> {
    let (epoch, rest) = line
        .split_once("fleet: policy of epoch ")?
        .1
        .split_once(" (")?;
    Some((
        epoch.parse().ok()?,
        rest.split_once(") in force")?.0.to_string(),
    ))
}

/// Writes a history as lines of JSON, its scenario in front.
pub fn write_history(path: &Path, scenario: &Scenario, history: &[Line]) -> io::Result<()> {
    let mut file = io::BufWriter::new(std::fs::File::create(path)?);
    writeln!(file, "{}", serde_json::to_string(scenario)?)?;
    for line in history {
        writeln!(file, "{}", serde_json::to_string(line)?)?;
    }
    file.flush()
}
