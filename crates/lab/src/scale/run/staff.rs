//! The program's own commands, as staff call them.

use super::control::Control;
use crate::scale::error::ScaleError;
use crate::scale::guard::Guard;
use jaspermoor::sys::boottime;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;

/// How long a command may wait for its outcome, in seconds.
const WAIT: &str = "30";
/// How much longer it may take.
const LIMIT: Duration = Duration::from_secs(40);

/// See the module's text.
pub struct Staff {
    /// The program.
    pub program: PathBuf,
    /// The operator file, which says where the voters are.
    pub operator: PathBuf,
    /// A directory for policies.
    pub directory: PathBuf,
    /// See there.
    pub control: Control,
    /// See there.
    pub guard: Guard,
}

/// What became of a proposal.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it was proposed, and when its outcome was known.
    pub proposed: u64,
    /// See `proposed`.
    pub known: u64,
    /// Its epoch, where it came into force.
    pub epoch: Option<u64>,
    /// What the command said on its standard error.
    pub said: String,
}

impl Staff {
    /// Proposes a policy, and waits for its outcome.
    pub fn propose(&self, text: &str) -> Result<Outcome, ScaleError> {
        let file = self.directory.join("policy.toml");
        std::fs::write(&file, text)?;
        let mut command = Command::new(&self.program);
        command
            .arg("policy")
            .arg("--operator")
            .arg(&self.operator)
            .args(["--json", "--wait", WAIT]);
        command
            .arg("propose")
            .arg(&file)
            .args(["--why", "a run", "--who", "the laboratory"]);
        let proposed = boottime();
        let output = self.call(command)?;
        let known = boottime();
        let value = object(&output);
        let said = String::from_utf8_lossy(&output.stderr).trim().to_string();
        let text = value["text"].as_str().unwrap_or_default();
        let epoch = text
            .strip_prefix("in force, epoch ")
            .and_then(|epoch| epoch.parse().ok());
        Ok(Outcome {
            proposed,
            known,
            epoch,
            said,
        })
    }

    /// The number of the voter that leads, where one does.
    pub fn leader(&self) -> Result<Option<u64>, ScaleError> {
        let mut command = Command::new(&self.program);
        command
            .arg("policy")
            .arg("--operator")
            .arg(&self.operator)
            .args(["--json", "--wait", WAIT, "status"]);
        let value = object(&self.call(command)?);
        Ok(value["leader"]
            .as_str()
            .and_then(|leader| leader.parse().ok()))
    }

    /// Jobs that somebody may act on.
    pub fn owned_jobs(&self) -> Result<usize, ScaleError> {
        let mut command = Command::new(&self.program);
        command
            .arg("fleet")
            .arg("--operator")
            .arg(&self.operator)
            .args(["--json", "--wait", WAIT, "jobs"]);
        let output = self.call(command)?;
        let owned = |line: &&str| {
            let job: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            let word = |key: &str| job[key].as_str().unwrap_or_default().to_string();
            !word("owner").is_empty() && word("why").is_empty()
        };
        Ok(String::from_utf8_lossy(&output.stdout)
            .lines()
            .filter(owned)
            .count())
    }

    /// Makes a voter's ledger.
    pub fn found(&self, operator: &Path) -> Result<(), ScaleError> {
        let mut command = Command::new(&self.program);
        command
            .args(["fleet", "--operator"])
            .arg(operator)
            .arg("init");
        let output = self.call(command)?;
        let said = || ScaleError::Run(String::from_utf8_lossy(&output.stderr).trim().to_string());
        output.status.success().then_some(()).ok_or_else(said)
    }

    /// Calls a command until it has ended. What it could not do is for the caller to see.
    fn call(&self, mut command: Command) -> Result<Output, ScaleError> {
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let _guarded = self.guard.started(child.id());
        // What it writes fits into its pipes: it is read once it has ended.
        let ended = self
            .control
            .wait("the program's command", LIMIT, || Ok(child.try_wait()?));
        if ended.is_err() {
            let _ = child.kill();
        }
        let output = child.wait_with_output()?;
        ended.map(|_| output)
    }
}

/// What a command wrote on its standard output, as one JSON object; an empty one where it is none.
fn object(output: &Output) -> serde_json::Value {
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}
