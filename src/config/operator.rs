//! The operator file (TOML): settings of an installation beyond those of the platform. All of it is
//! optional: a relay without an operator file behaves as the platform specifies, and opens no
//! further sockets.
//!
//! Guards against: a misspelt key that would be ignored (unknown keys are refused); a guessed unit
//! (all times end in `_ms`, all sizes in `_bytes`); and a file that is applied in part. Errors name
//! the file, the line and the key.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The error of an unusable operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorError {
    /// The file.
    pub file: String,
    /// The line, counted from 1; none if the error is about the whole file.
    pub line: Option<usize>,
    /// The full path of the key; empty if the error is about no single key.
    pub key: String,
    /// The description of the error.
    pub message: String,
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        self.line.iter().try_for_each(|line| write!(f, ":{line}"))?;
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for OperatorError {}

/// The contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The XMPP front, if there is one.
    pub xmpp: Option<Xmpp>,
    /// The cells; by default a single cell has all endpoints and groups.
    pub cells: Option<Cells>,
    /// Parameters of the decisions by name, in place of their defaults.
    #[serde(default)]
    pub parameters: BTreeMap<String, f64>,
    /// The fleet whose policy this relay follows; without one it follows its own files alone.
    pub fleet: Option<Fleet>,
}

/// `[fleet]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name. Relays of another fleet are refused.
    pub id: String,
    /// The directory of this relay's ledger.
    pub directory: PathBuf,
    /// The file of the fleet's keys, one per line. Messages are authenticated with the first key
    /// and accepted with any of them.
    pub keys: PathBuf,
    /// This relay's voter number; a relay without one has no vote.
    pub voter: Option<u64>,
    /// `[[fleet.voters]]`
    pub voters: Vec<FleetVoter>,
    /// What the relay does while it has no contact with a leader.
    #[serde(default)]
    pub alone: LeaderlessMode,
    /// How long the relay may admit clients after it requested its lease.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// How long a relay with a lease may take to check and store a proposal.
    #[serde(default = "patience_ms")]
    pub patience_ms: u64,
    /// `[fleet.jobs]`
    #[serde(default)]
    pub jobs: Jobs,
}

/// `[fleet.jobs]`: work that one relay does for the whole fleet. Off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    /// One relay checks the load of a zone's backends and sends the reports to all others.
    #[serde(default)]
    pub load_watch: bool,
    /// One relay paces the migrations of the whole fleet to the new cells of groups.
    #[serde(default)]
    pub paced_moves: bool,
    /// Job owners send updates as changes of versioned tables, and reports as summaries, instead of
    /// whole tables and reports.
    #[serde(default)]
    pub compact_updates: bool,
}

impl Jobs {
    /// Whether any job is on.
    pub fn any(self) -> bool {
        self.load_watch || self.paced_moves
    }
}

fn lease_ms() -> u64 {
    2_000
}

fn patience_ms() -> u64 {
    10_000
}

/// `[[fleet.voters]]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetVoter {
    /// Its voter number, which never changes.
    pub number: u64,
    /// The address at which the others reach it. It listens there, too, unless `listen` is set.
    pub address: SocketAddr,
    /// The address at which it listens, if it is another one.
    pub listen: Option<SocketAddr>,
}

/// What a relay does while it has no contact with a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaderlessMode {
    /// It rejects new clients.
    #[default]
    Refuse,
    /// It admits clients under the last policy that it knows.
    Serve,
}

/// `[cells]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cells {
    /// `[[cells.cell]]`
    #[serde(default)]
    pub cell: Vec<Cell>,
    /// `[[cells.site]]`: groups that are pinned to a cell.
    #[serde(default)]
    pub site: Vec<SitePin>,
    /// The smallest number of endpoints of a cell; a smaller cell is reported as a fault.
    #[serde(default)]
    pub least_servers: usize,
    /// The largest number of endpoints of a cell; a larger cell is reported as a fault.
    #[serde(default = "any_number")]
    pub most_servers: usize,
    /// What happens to clients of a group whose cell has no usable endpoint.
    #[serde(default)]
    pub no_server: NoServer,
    /// The most connections that a cell accepts for groups of other cells.
    #[serde(default = "borrow_most")]
    pub borrow_most: u32,
    /// How long a client waits before it retries after a rejection for lack of a usable cell.
    #[serde(default = "retry_after_ms")]
    pub retry_after_ms: u64,
    /// How many established connections are migrated each second when their group has a new cell.
    #[serde(default = "moves_per_second")]
    pub moves_per_second: u32,
}

fn any_number() -> usize {
    usize::MAX
}

fn borrow_most() -> u32 {
    16
}

fn retry_after_ms() -> u64 {
    1_000
}

fn moves_per_second() -> u32 {
    5
}

/// `[[cells.cell]]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Its name. The groups and endpoints of the cell follow from a hash of it.
    pub name: String,
    /// Its share of groups and endpoints, relative to the other cells.
    #[serde(default = "one")]
    pub weight: u32,
    /// Endpoints that are assigned to it by name.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Whether it serves pinned groups only.
    #[serde(default)]
    pub quarantine: bool,
}

fn one() -> u32 {
    1
}

/// `[[cells.site]]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SitePin {
    /// The group key, in hexadecimal, as clients send it.
    pub key: String,
    /// The cell.
    pub cell: String,
}

/// What happens to clients of a group whose cell has no usable endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NoServer {
    /// They are rejected.
    #[default]
    Refuse,
    /// They use endpoints of another cell.
    Borrow,
}

/// `[xmpp]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Xmpp {
    /// The address for clients that start in plain text and use STARTTLS.
    pub listen: Option<SocketAddr>,
    /// The address for clients that start with TLS (XEP-0368).
    pub listen_tls: Option<SocketAddr>,
    /// The SASL mechanisms offered, the preferred one first.
    pub mechanisms: Option<Vec<String>>,
    /// How a session's group is derived: `domain`, `none`, `local-after:C` or `local-before:C`.
    #[serde(default = "domain")]
    pub group: String,
    /// The host to which clients are redirected when their session is migrated. Without it clients
    /// choose by themselves where to reconnect.
    pub see_other_host: Option<String>,
    /// `[[xmpp.domain]]`
    #[serde(default)]
    pub domain: Vec<Domain>,
    /// `[[xmpp.class]]`
    #[serde(default)]
    pub class: Vec<ClassRule>,
    /// `[xmpp.servers]`
    #[serde(default)]
    pub servers: Servers,
    /// `[xmpp.limits]`
    #[serde(default)]
    pub limits: Limits,
    /// `[xmpp.times]`
    #[serde(default)]
    pub times: Times,
}

fn domain() -> String {
    "domain".into()
}

/// `[[xmpp.domain]]`: a domain that the relay serves.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Its name.
    pub name: String,
    /// The certificate, followed by its chain, as PEM.
    pub certificate: PathBuf,
    /// The private key, as PEM.
    pub key: PathBuf,
}

/// `[[xmpp.class]]`: a rule that assigns a class to sessions. The first rule that matches applies.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// The name of the class in the platform's settings.
    pub class: String,
    /// The domain that it matches; any by default.
    pub domain: Option<String>,
    /// The pattern of local parts that it matches.
    pub local: Option<String>,
    /// The pattern of resources that it matches.
    pub resource: Option<String>,
    /// How long a client waits for its answer; by default the deadline of the class.
    pub deadline_ms: Option<u64>,
}

/// `[xmpp.servers]`: connections to XMPP servers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Servers {
    /// `plain`, `starttls` or `tls`.
    pub security: Security,
    /// The CA certificates by which the servers' certificates are verified, as PEM.
    pub ca: Option<PathBuf>,
    /// The port, if it is not the one that discovery gives.
    pub port: Option<u16>,
}

/// The security of connections to XMPP servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Security {
    /// Plain text.
    #[default]
    Plain,
    /// STARTTLS.
    StartTls,
    /// TLS from the first byte.
    Tls,
}

/// `[xmpp.limits]`: limits on input; the defaults are those of the front.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The longest stream header.
    pub header_bytes: Option<usize>,
    /// The longest stanza.
    pub stanza_bytes: Option<usize>,
    /// The longest name or attribute value.
    pub token_bytes: Option<usize>,
    /// The deepest nesting of elements.
    pub depth: Option<usize>,
    /// The most attributes of an element.
    pub attributes: Option<usize>,
}

/// `[xmpp.times]`: time limits; the defaults are those of the front.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// The limit of one step of the negotiation.
    pub step_ms: Option<u64>,
    /// The limit of all steps together.
    pub negotiation_ms: Option<u64>,
    /// How long a server may take to finish a stanza before its session is migrated.
    pub finish_ms: Option<u64>,
    /// How long a server may leave data unacknowledged before it counts as lost.
    pub silent_ms: Option<u64>,
}

/// A parsed operator file, with its path and text, so that errors can name a line.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// The parsed contents.
    pub operator: OperatorSettings,
    path: PathBuf,
    text: String,
}

/// The number of the line with this byte offset, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

impl OperatorFile {
    /// Reads and parses a file.
    pub fn load(path: &Path) -> Result<OperatorFile, OperatorError> {
        let text = std::fs::read_to_string(path).map_err(|e| OperatorError {
            file: path.display().to_string(),
            line: None,
            key: String::new(),
            message: format!("cannot be read: {e}"),
        })?;
        OperatorFile::parse(path, text)
    }

    /// Parses a text; errors name `path`.
    pub fn parse(path: &Path, text: String) -> Result<OperatorFile, OperatorError> {
        let error = |line, key: String, message: String| {
            let file = path.display().to_string();
            OperatorError {
                file,
                line,
                key,
                message,
            }
        };
        let parsed = toml::Deserializer::parse(&text).map_err(|e| {
            let line = e.span().map(|span| line_at(&text, span.start));
            error(line, String::new(), format!("is not TOML: {}", e.message()))
        })?;
        match serde_path_to_error::deserialize(parsed) {
            Ok(operator) => Ok(OperatorFile {
                operator,
                path: path.into(),
                text,
            }),
            Err(e) => {
                let line = e.inner().span().map(|span| line_at(&text, span.start));
                let key = if e.path().to_string() == "." {
                    String::new()
                } else {
                    e.path().to_string()
                };
                Err(error(line, key, e.inner().message().to_string()))
            }
        }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// An error at this key, such as `xmpp.domain[0].key`, with its line if the file has the key.
    pub fn error(&self, key: &str, message: impl fmt::Display) -> OperatorError {
        OperatorError {
            file: self.path.display().to_string(),
            line: self.line(key),
            key: key.to_string(),
            message: message.to_string(),
        }
    }

    /// Resolves a path in the file, which is relative to the file's directory.
    pub fn resolve(&self, path: &Path) -> PathBuf {
        self.path
            .parent()
            .map_or(path.to_path_buf(), |dir| dir.join(path))
    }

    /// The line of the longest prefix of a key's path that the file has.
    fn line(&self, key: &str) -> Option<usize> {
        let table = toml::de::DeTable::parse(&self.text).ok()?;
        let (mut offset, mut value) = (None, None::<&toml::de::DeValue<'_>>);
        for part in key.split('.') {
            let (name, index) = match part.split_once('[') {
                Some((name, index)) => (
                    name,
                    index
                        .strip_suffix(']')
                        .and_then(|i| i.parse::<usize>().ok()),
                ),
                None => (part, None),
            };
            let next = match value {
                None => table.get_ref().get(name),
                Some(toml::de::DeValue::Table(table)) => table.get(name),
                Some(_) => None,
            };
            let Some(mut next) = next else { break };
            if let (Some(index), toml::de::DeValue::Array(list)) = (index, next.get_ref()) {
                let Some(item) = list.get(index) else { break };
                next = item;
            }
            (offset, value) = (Some(next.span().start), Some(next.get_ref()));
        }
        offset.map(|offset| line_at(&self.text, offset))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load(text: &str) -> Result<OperatorFile, OperatorError> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!(
            "jaspermoor-operator-{}-{n}.toml",
            std::process::id()
        ));
        std::fs::write(&path, text).unwrap();
        let result = OperatorFile::load(&path);
        std::fs::remove_file(path).unwrap();
        result
    }

    #[test]
    fn errors_have_the_line_and_the_full_key() {
        // (text of the file, line, key, part of the message)
        for (text, line, key, message) in [
            (
                "[xmpp]\nlisten = 5",
                Some(2),
                "xmpp.listen",
                "socket address",
            ),
            (
                "[xmpp]\n\nlistne = '1.2.3.4:5'",
                Some(3),
                "xmpp.listne",
                "unknown field `listne`",
            ),
            (
                "[xmpp.times]\nstep = 5",
                Some(2),
                "xmpp.times.step",
                "unknown field `step`",
            ),
            (
                "[xmpp.times]\nstep_ms = -5",
                Some(2),
                "xmpp.times.step_ms",
                "-5",
            ),
            (
                "[xmpp.servers]\nsecurity = 'some'",
                Some(2),
                "xmpp.servers.security",
                "unknown variant",
            ),
            (
                "[[xmpp.domain]]\nname = 'a'\nkey = 'k'",
                Some(1),
                "xmpp.domain[0]",
                "missing field `certificate`",
            ),
            ("a = \n", Some(1), "", "is not TOML"),
        ] {
            let e = load(text).unwrap_err();
            assert_eq!((e.line, e.key.as_str()), (line, key), "{e}");
            assert!(e.to_string().contains(message), "{e}");
        }
        let file =
            load("[xmpp]\ngroup = 'x'\n[[xmpp.class]]\nclass = 'a'\n[[xmpp.class]]\nclass = 'b'\n")
                .unwrap();
        assert_eq!(file.error("xmpp.class[1].class", "is wrong").line, Some(6));
        assert_eq!(
            file.error("xmpp.class[1].local", "is missing").line,
            Some(5)
        );
        assert_eq!(file.error("xmpp.group", "is wrong").line, Some(2));
        assert_eq!(load("").unwrap().operator, OperatorSettings::default());
    }
}
