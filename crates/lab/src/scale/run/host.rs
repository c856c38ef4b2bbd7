//! The run's end of a process of hollow relays.

use super::control::Control;
use crate::scale::error::ScaleError;
use crate::scale::guard::{Guard, Guarded};
use crate::scale::hollow::protocol::{Answer, Command, FleetOptions, Snapshot, Status};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;

/// How long an answer is waited for: a process of a hundred relays opens as many ledgers.
const ANSWER: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);

/// See the module's text. The process is killed when this is dropped.
pub struct Host {
    /// The relays in it.
    pub names: Vec<String>,
    /// The place of their zone.
    pub zone: u16,
    child: Child,
    input: Option<ChildStdin>,
    answers: Receiver<String>,
    control: Control,
    _guarded: Guarded,
}

impl Host {
    /// Starts the process and tells it what to open; [`Host::opened`] waits until it has.
    pub fn start(
        lab: &Path,
        guard: &Guard,
        control: &Control,
        options: &FleetOptions,
        names: Vec<String>,
        zone: u16,
    ) -> Result<Host, ScaleError> {
        let mut command = std::process::Command::new(lab);
        command
            .args(["scale", "host"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let _guarded = guard.started(child.id());
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (lines, answers) = channel();
        if let Some(output) = output {
            thread::spawn(move || {
                BufReader::new(output)
                    .lines()
                    .map_while(Result::ok)
                    .try_for_each(|line| lines.send(line))
            });
        }
        let control = control.clone();
        let mut host = Host {
            names,
            zone,
            child,
            input,
            answers,
            control,
            _guarded,
        };
        let names = host.names.clone();
        host.tell(&Command::Open {
            options: options.clone(),
            names,
            zone,
        })?;
        Ok(host)
    }

    /// Waits until its relays are open.
    pub fn opened(&mut self) -> Result<(), ScaleError> {
        self.answer().map(drop)
    }

    /// How many of its relays admit clients.
    pub fn status(&mut self) -> Result<Status, ScaleError> {
        self.tell(&Command::Status)?;
        match self.answer()? {
            Answer::Status(status) => Ok(status),
            other => Err(unexpected(&other)),
        }
    }

    /// Everything about it; in two steps, so that several processes are asked at one time.
    pub fn ask_snapshot(&mut self) -> Result<(), ScaleError> {
        self.tell(&Command::Snapshot)
    }

    /// See [`Host::ask_snapshot`].
    pub fn snapshot(&mut self) -> Result<Snapshot, ScaleError> {
        match self.answer()? {
            Answer::Snapshot(snapshot) => Ok(*snapshot),
            other => Err(unexpected(&other)),
        }
    }

    /// Ends one of its relays and opens it again; the moment between the two.
    pub fn restart(&mut self, name: &str) -> Result<u64, ScaleError> {
        self.tell(&Command::Restart { name: name.into() })?;
        match self.answer()? {
            Answer::Done { at } => Ok(at),
            other => Err(unexpected(&other)),
        }
    }

    fn tell(&mut self, command: &Command) -> Result<(), ScaleError> {
        let text = serde_json::to_string(command).map_err(|e| ScaleError::Run(e.to_string()))?;
        let input = self.input.as_mut().ok_or_else(gone)?;
        writeln!(input, "{text}").map_err(|_| gone())
    }

    fn answer(&mut self) -> Result<Answer, ScaleError> {
        let mut waited = Duration::ZERO;
        let line = loop {
            match self.answers.recv_timeout(LOOK) {
                Ok(line) => break line,
                Err(RecvTimeoutError::Disconnected) => return Err(gone()),
                Err(RecvTimeoutError::Timeout) => waited += LOOK,
            }
            self.control.check("an answer of hollow relays")?;
            if waited > ANSWER {
                return Err(ScaleError::Run(
                    "a process of hollow relays does not answer".into(),
                ));
            }
        };
        match serde_json::from_str(&line) {
            Ok(Answer::Failed { why }) => Err(ScaleError::Run(format!("hollow relays: {why}"))),
            Ok(answer) => Ok(answer),
            Err(e) => Err(ScaleError::Run(format!(
                "an answer of hollow relays cannot be read: {e}"
            ))),
        }
    }
}

fn gone() -> ScaleError {
    ScaleError::Run("a process of hollow relays has ended".into())
}

fn unexpected(answer: &Answer) -> ScaleError {
    ScaleError::Run(format!(
        "an answer of hollow relays to something else: {answer:?}"
    ))
}

impl Drop for Host {
    fn drop(&mut self) {
        drop(self.input.take());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
