//! The fleet of a run: its processes, its list of backends, and what is asked of all of them at once.

use super::control::Control;
use super::host::Host;
use super::member::Member;
use super::policy::{backend, pinned};
use super::reading::Reading;
use super::staff::{Outcome, Staff};
use crate::discovery::{Discovery, Entry};
use crate::line::Backend;
use crate::relay::{self, Setup};
use crate::scale::admissions::RelayHistory;
use crate::scale::error::ScaleError;
use crate::scale::guard::Guard;
use crate::scale::hollow::protocol::FleetOptions;
use crate::scale::plan::{Plan, RELAYS_PER_HOST, ZONES};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The key of the fleet's links.
const KEY: &str = "a key of the laboratory, long enough to be one";
/// The fleet's id.
const ID: &str = "scale";
/// The defaults of an operator file, in milliseconds.
const LEASE_MS: u64 = 2_000;
const PATIENCE_MS: u64 = 10_000;
/// Descriptors that a relay is told it may use: room for a link of each other relay.
const SOCKETS: u64 = 4_096;
/// How long the fleet may take to come under one policy.
const UNDER: Duration = Duration::from_secs(60);
/// Tries of a change that was given up: on a busy machine a relay may be late once.
const TRIES: usize = 3;

/// A change that is in force everywhere: its outcome, and the cell that it pins the site to.
pub struct Change {
    /// See there.
    pub outcome: Outcome,
    /// Its epoch.
    pub epoch: u64,
}

/// See the module's text. Processes end when it is dropped; the guard goes last.
pub struct Fleet {
    /// What is to be done.
    pub plan: Plan,
    /// Processes of hollow relays.
    pub hosts: Vec<Host>,
    /// Voters, then relays with a process of their own.
    pub members: Vec<Member>,
    /// Histories of processes of hollow relays that were killed.
    pub past: Vec<RelayHistory>,
    /// The program's own commands.
    pub staff: Staff,
    /// See there.
    pub control: Control,
    options: FleetOptions,
    lab: PathBuf,
    cells: usize,
    next_cell: usize,
    /// Epochs by the cell that their policy pins the site to.
    epochs: BTreeMap<u64, u64>,
    _discovery: Discovery,
    _backends: Vec<Backend>,
    /// See there.
    pub guard: Guard,
    /// Where ledgers and files are; it goes with the fleet.
    pub directory: tempfile::TempDir,
}

impl Fleet {
    /// Starts all processes: voters first, then the others.
    pub fn start(plan: &Plan, control: &Control) -> Result<Fleet, ScaleError> {
        let (program, lab) = (relay::program()?, std::env::current_exe()?);
        let directory = directory()?;
        let guard = Guard::start(&lab, directory.path())?;
        let at = directory.path().to_path_buf();
        std::fs::write(at.join("fleet.key"), format!("{KEY}\n"))?;
        // A cell for the first policy, one for each change, and one for a change after a fault.
        let cells = plan.backends.max(plan.changes + 2);
        let zones = zones(plan);
        let backends: Vec<Backend> = (0..cells)
            .map(|cell| Backend::named(None, &format!("{}/", backend(cell))))
            .collect::<Result<_, _>>()?;
        let entry = |(cell, of): (usize, &Backend)| Entry {
            zone: zones[cell % zones.len()].into(),
            ..Entry::active(&backend(cell), of.addr)
        };
        let entries: Vec<Entry> = backends.iter().enumerate().map(entry).collect();
        let discovery = Discovery::start(None, &entries)?;
        let voters = voter_addresses(plan.voters)?;
        let options = FleetOptions {
            id: ID.into(),
            key: KEY.into(),
            directory: at.join("hollow"),
            voters: voters
                .iter()
                .enumerate()
                .map(|(n, address)| (n as u64 + 1, *address))
                .collect(),
            lease_ms: LEASE_MS,
            patience_ms: PATIENCE_MS,
            watched_zones: plan
                .watched_zones()
                .iter()
                .map(|zone| zone.to_string())
                .collect(),
            paced_moves: plan.paces_moves(),
            backends: entries
                .iter()
                .enumerate()
                .map(|(cell, entry)| (entry.id.clone(), entry.addr, (cell % zones.len()) as u16))
                .collect(),
        };
        let operator = at.join("staff.toml");
        std::fs::write(&operator, operator_text(&options, None, "none"))?;
        let staff = Staff {
            program: program.clone(),
            operator,
            directory: at.clone(),
            control: control.clone(),
            guard: guard.clone(),
        };
        let mut fleet = Fleet {
            plan: plan.clone(),
            hosts: Vec::new(),
            members: Vec::new(),
            past: Vec::new(),
            staff,
            control: control.clone(),
            options,
            lab,
            cells,
            next_cell: 0,
            epochs: BTreeMap::new(),
            _discovery: discovery,
            _backends: backends,
            guard,
            directory,
        };
        fleet.start_members(&program, &entries)?;
        fleet.start_hosts(&(0..ZONES.len() as u16).collect::<Vec<_>>())?;
        Ok(fleet)
    }

    fn start_members(&mut self, program: &Path, entries: &[Entry]) -> Result<(), ScaleError> {
        let at = self.directory.path().to_path_buf();
        for number in 0..self.plan.voters + self.plan.real {
            self.control.check("the start of relays")?;
            let voter = (number < self.plan.voters).then_some(number as u64 + 1);
            let name = if voter.is_some() {
                format!("voter-{number}")
            } else {
                format!("real-{number}")
            };
            let operator = operator_text(&self.options, voter, &format!("ledger-{number}"));
            if voter.is_some() {
                let file = at.join(format!("found-{number}.toml"));
                std::fs::write(&file, &operator)?;
                self.staff.found(&file)?;
            }
            let zone = (number % ZONES.len()) as u16;
            let setup = Setup {
                program: program.into(),
                dir: at.clone(),
                name,
                discovery: self._discovery.addr,
                known: entries.to_vec(),
                operator: Some(operator),
                sockets: SOCKETS,
                replace: settings(&self.plan, zone),
                listen: None,
                core: None,
                held: None,
                bug: None,
                build: None,
                fail_points: None,
            };
            self.members
                .push(Member::start(&self.guard, number, setup, zone)?);
        }
        Ok(())
    }

    /// Starts the processes of hollow relays of these zones, all at once, and waits until their relays are open.
    pub fn start_hosts(&mut self, zones: &[u16]) -> Result<(), ScaleError> {
        let already = self.hosts.len();
        for zone in zones {
            let own =
                (0..self.plan.hollow()).filter(|relay| relay % ZONES.len() == usize::from(*zone));
            let names: Vec<String> = own.map(|relay| format!("hollow-{relay}")).collect();
            for names in names.chunks(RELAYS_PER_HOST) {
                let host = Host::start(
                    &self.lab,
                    &self.guard,
                    &self.control,
                    &self.options,
                    names.to_vec(),
                    *zone,
                )?;
                self.hosts.push(host);
            }
        }
        self.hosts[already..].iter_mut().try_for_each(Host::opened)
    }

    /// Makes a change, and waits until all relays that are there admit clients under it.
    pub fn change(&mut self) -> Result<Change, ScaleError> {
        let cell = self.next_cell;
        self.next_cell += 1;
        self.members
            .iter()
            .for_each(|member| member.client.eager(true));
        let (outcome, epoch) = self.propose(&pinned(self.cells, cell))?;
        self.epochs.insert(cell as u64, epoch);
        self.members
            .iter()
            .for_each(|member| member.client.note_from_now());
        self.wait_until_all_admit(Some((epoch, cell)))?;
        Ok(Change { outcome, epoch })
    }

    fn propose(&self, text: &str) -> Result<(Outcome, u64), ScaleError> {
        let mut said = String::new();
        for _ in 0..TRIES {
            let outcome = self.staff.propose(text)?;
            if let Some(epoch) = outcome.epoch {
                return Ok((outcome, epoch));
            }
            said = outcome.said;
        }
        Err(ScaleError::Run(format!(
            "a change did not come into force: {said}"
        )))
    }

    /// Waits until all relays that are there admit clients, under one policy where it is said.
    pub fn wait_until_all_admit(&mut self, under: Option<(u64, usize)>) -> Result<(), ScaleError> {
        let control = self.control.clone();
        control.wait("all relays to admit clients", UNDER, || {
            for host in &mut self.hosts {
                let status = host.status()?;
                let admitting = match under {
                    Some((epoch, _)) => status.admitting.get(&epoch).copied().unwrap_or(0),
                    None => status.admitting.values().sum(),
                };
                if admitting < status.relays {
                    return Ok(None);
                }
            }
            let served = |member: &Member| match under {
                Some((_, cell)) => member.relay().is_none() || member.client.was_admitted_by(cell),
                None => true,
            };
            Ok(self.members.iter().all(served).then_some(()))
        })
    }

    /// Waits until each job has an owner.
    pub fn wait_for_owners(&self) -> Result<(), ScaleError> {
        self.control.wait("an owner of each job", UNDER, || {
            Ok((self.staff.owned_jobs()? >= self.plan.jobs).then_some(()))
        })
    }

    /// Looks at all processes.
    pub fn reading(&mut self) -> Result<Reading, ScaleError> {
        self.hosts.iter_mut().try_for_each(Host::ask_snapshot)?;
        let hosts = self
            .hosts
            .iter_mut()
            .map(Host::snapshot)
            .collect::<Result<Vec<_>, _>>()?;
        let members = self
            .members
            .iter()
            .map(|member| Ok((member.setup.name.clone(), member.reading()?)));
        Ok(Reading {
            at: Instant::now(),
            members: members.collect::<Result<Vec<_>, ScaleError>>()?,
            voters: self.plan.voters,
            hosts,
        })
    }

    /// What all relays have done so far, those that were killed, too.
    pub fn histories(&mut self) -> Result<Vec<RelayHistory>, ScaleError> {
        let reading = self.reading()?;
        let hollow = reading
            .hosts
            .into_iter()
            .flat_map(|host| host.relays)
            .map(|relay| relay.history);
        let members = self
            .members
            .iter()
            .map(|member| member.history(&self.epochs));
        Ok(self
            .past
            .iter()
            .cloned()
            .chain(hollow)
            .chain(members)
            .collect())
    }

    /// Where ledgers stand, for the record.
    pub fn ledgers(&self) -> String {
        let in_memory = self.directory.path().starts_with(IN_MEMORY);
        if in_memory {
            "memory (a sync waits for no disk)".into()
        } else {
            "files".into()
        }
    }
}

/// A directory in memory, where the machine has one.
const IN_MEMORY: &str = "/dev/shm";

fn directory() -> Result<tempfile::TempDir, ScaleError> {
    let mut builder = tempfile::Builder::new();
    let builder = builder.prefix("jaspermoor-scale-");
    Ok(builder
        .tempdir_in(IN_MEMORY)
        .or_else(|_| builder.tempdir())?)
}

/// The names of the zones as the relays' settings have them: those whose load is watched.
fn zones(plan: &Plan) -> &'static [&'static str] {
    match plan.watched_zones() {
        [] => &ZONES[..1],
        zones => zones,
    }
}

/// What is replaced in the text of a relay's configuration. It is told of no peers: each would leave them room at a cold
/// backend and refuse clients for want of room, which is not what is measured here.
fn settings(plan: &Plan, zone: u16) -> Vec<(String, String)> {
    let zones = zones(plan);
    let names = serde_json::json!(zones).to_string();
    let own = usize::from(zone) % zones.len();
    let replaced = [
        (
            "\"zones\": [\n      \"a\"\n    ]",
            format!("\"zones\": {names}"),
        ),
        (r#""az": 0"#, format!(r#""az": {own}"#)),
        (r#""probes": false"#, r#""probes": true"#.into()),
        (r#""columns": []"#, r#""columns": ["active", "x0"]"#.into()),
    ];
    replaced.map(|(from, to)| (from.to_string(), to)).into()
}

fn operator_text(options: &FleetOptions, voter: Option<u64>, ledger: &str) -> String {
    let mut text = format!(
        "[fleet]\nid = \"{}\"\ndirectory = \"{ledger}\"\nkeys = \"fleet.key\"\nlease_ms = {}\npatience_ms = {}\n",
        options.id, options.lease_ms, options.patience_ms
    );
    if let Some(voter) = voter {
        text += &format!("voter = {voter}\n");
    }
    for (number, address) in &options.voters {
        text += &format!("[[fleet.voters]]\nnumber = {number}\naddress = \"{address}\"\n");
    }
    let (load_watch, paced_moves) = (!options.watched_zones.is_empty(), options.paced_moves);
    if load_watch || paced_moves {
        text += &format!(
            "[fleet.jobs]\nload_watch = {load_watch}\npaced_moves = {paced_moves}\ncompact_updates = true\n"
        );
    }
    text
}

/// An address for each voter, whose port is free now. Each is of a loopback network of its own, which no outgoing
/// connection takes a port of before the voter does.
fn voter_addresses(voters: usize) -> Result<Vec<SocketAddr>, ScaleError> {
    let address = |voter: usize| -> Result<SocketAddr, ScaleError> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, voter as u8 + 1));
        Ok(TcpListener::bind((ip, 0))?.local_addr()?)
    };
    (0..voters).map(address).collect()
}
