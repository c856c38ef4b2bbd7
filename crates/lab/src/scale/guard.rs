//! A process that outlives the run for a moment and ends what the run could not: its processes, and its directory.
//!
//! It is told of each process in a line on its standard input, `+ID` once it was started and `-ID` once it has ended. When
//! its input ends, which it does whichever way the run ends, it kills those that are left.

use rustix::process::{kill_process, Pid, Signal};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};

/// The run's end of the guard.
#[derive(Clone)]
pub struct Guard {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    child: Child,
    input: Option<ChildStdin>,
}

impl Guard {
    /// Starts it, for a directory that goes with the run.
    pub fn start(lab: &Path, directory: &Path) -> io::Result<Guard> {
        let mut command = Command::new(lab);
        command
            .args(["scale", "guard"])
            .arg(directory)
            .stdin(Stdio::piped());
        let mut child = command.stdout(Stdio::null()).spawn()?;
        let input = child.stdin.take();
        Ok(Guard {
            inner: Arc::new(Mutex::new(Inner { child, input })),
        })
    }

    /// A process was started.
    pub fn started(&self, id: u32) -> Guarded {
        self.say('+', id);
        Guarded {
            guard: self.clone(),
            id,
        }
    }

    fn say(&self, sign: char, id: u32) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(input) = &mut inner.input {
            // Without a guard the run still ends what it started, on any way out of its own.
            let _ = writeln!(input, "{sign}{id}");
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        drop(self.input.take());
        let _ = self.child.wait();
    }
}

/// A process that the guard ends when this run cannot; to be dropped once it has ended.
pub struct Guarded {
    guard: Guard,
    id: u32,
}

impl Drop for Guarded {
    fn drop(&mut self) {
        self.guard.say('-', self.id);
    }
}

/// The guard's own process: see the module's text.
pub fn run(directory: &PathBuf) -> io::Result<()> {
    // A key that ends the run from a terminal is sent to this process, too: it has to stay until the run has ended.
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::new(AtomicBool::new(false)))?;
    }
    let mut left = BTreeSet::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        match line
            .split_at_checked(1)
            .map(|(sign, id)| (sign, id.parse::<i32>()))
        {
            Some(("+", Ok(id))) => _ = left.insert(id),
            Some(("-", Ok(id))) => _ = left.remove(&id),
            _ => {}
        }
    }
    for id in left.into_iter().filter_map(Pid::from_raw) {
        let _ = kill_process(id, Signal::Kill);
    }
    match std::fs::remove_dir_all(directory) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
