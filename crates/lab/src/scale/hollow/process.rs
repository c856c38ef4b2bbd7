//! The process that has the hollow relays: reads what it is told, does it, and answers.

use super::prober::Prober;
use super::protocol::{Answer, Command, FleetOptions, RelaySnapshot, Snapshot, Status};
use super::relay::{directory, HollowRelay};
use super::watch::{self, admits, Relays, Watched};
use crate::scale::admissions::RelayHistory;
use crate::scale::process::sample_own;
use jaspermoor::platform::directory::Directory;
use jaspermoor::sys::{boottime, lock};
use std::error::Error;
use std::io::{self, BufRead, Write};
use std::sync::Arc;

type Failure = Box<dyn Error + Send + Sync>;

/// Serves until its standard input ends, and ends the process then, whatever its relays do.
pub fn run() -> ! {
    let mut process = HostProcess::default();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let answer = match serde_json::from_str(&line) {
            Ok(command) => process
                .carry_out(command)
                .unwrap_or_else(|e| Answer::Failed { why: e.to_string() }),
            Err(e) => Answer::Failed {
                why: format!("cannot be read: {e}"),
            },
        };
        let text = serde_json::to_string(&answer).unwrap_or_default();
        if writeln!(io::stdout(), "{text}")
            .and_then(|()| io::stdout().flush())
            .is_err()
        {
            break;
        }
    }
    std::process::exit(0)
}

/// What the relays of the process share once they are open.
struct Shared {
    options: FleetOptions,
    zone: u16,
    directory: Arc<Directory>,
    prober: Prober,
}

#[derive(Default)]
struct HostProcess {
    shared: Option<Shared>,
    relays: Relays,
    memory_at_start: u64,
}

impl HostProcess {
    fn carry_out(&mut self, command: Command) -> Result<Answer, Failure> {
        match command {
            Command::Open {
                options,
                names,
                zone,
            } => self.open(options, &names, zone),
            Command::Status => Ok(Answer::Status(self.status())),
            Command::Snapshot => Ok(Answer::Snapshot(Box::new(self.snapshot()?))),
            Command::Restart { name } => self.restart(&name),
        }
    }

    fn open(
        &mut self,
        options: FleetOptions,
        names: &[String],
        zone: u16,
    ) -> Result<Answer, Failure> {
        self.memory_at_start = sample_own()?.memory_bytes;
        let directory = directory(&options);
        let shared = Shared {
            options,
            zone,
            directory,
            prober: Prober::start(),
        };
        for name in names {
            std::fs::create_dir_all(shared.options.directory.join(name))?;
            let relay = Some(shared.open(name)?);
            let history = RelayHistory {
                name: name.clone(),
                is_direct: true,
                ..RelayHistory::default()
            };
            lock(&self.relays).insert(name.clone(), Watched { relay, history });
        }
        self.shared = Some(shared);
        watch::start(&self.relays);
        Ok(Answer::Done { at: boottime() })
    }

    fn status(&self) -> Status {
        let relays = lock(&self.relays);
        let mut status = Status {
            relays: relays.len(),
            ..Status::default()
        };
        for epoch in relays
            .values()
            .filter_map(|watched| admits(watched.relay.as_ref()?))
        {
            *status.admitting.entry(epoch).or_default() += 1;
        }
        status
    }

    fn snapshot(&self) -> Result<Snapshot, Failure> {
        let sample = sample_own()?;
        let relays = lock(&self.relays);
        Ok(Snapshot {
            at: boottime(),
            cpu_ns: sample.on_processor.as_nanos() as u64,
            memory_bytes: sample.memory_bytes,
            memory_at_start: self.memory_at_start,
            threads: sample.threads,
            descriptors: sample.descriptors,
            relays: relays.values().map(relay_snapshot).collect(),
        })
    }

    fn restart(&mut self, name: &str) -> Result<Answer, Failure> {
        let shared = self.shared.as_ref().ok_or("no relay was opened yet")?;
        let relay = lock(&self.relays)
            .get_mut(name)
            .and_then(|watched| watched.relay.take());
        relay
            .ok_or_else(|| format!("no relay is called '{name}'"))?
            .end();
        let at = boottime();
        let opened = shared.open(name)?;
        if let Some(watched) = lock(&self.relays).get_mut(name) {
            watched.relay = Some(opened);
        }
        Ok(Answer::Done { at })
    }
}

impl Shared {
    fn open(&self, name: &str) -> Result<HollowRelay, Failure> {
        HollowRelay::open(
            name,
            self.zone,
            &self.options,
            &self.directory,
            &self.prober,
        )
    }
}

fn relay_snapshot(watched: &Watched) -> RelaySnapshot {
    let relay = watched.relay.as_ref();
    RelaySnapshot {
        cpu_ns: relay.map_or(0, HollowRelay::cpu_ns),
        traffic: relay.map(HollowRelay::traffic).unwrap_or_default(),
        history: watched.history.clone(),
    }
}
