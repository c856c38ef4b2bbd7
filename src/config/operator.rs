//! The operator file: what an install sets beyond what the platform gives, as TOML. Nothing in it is needed: a
//! relay without one opens nothing more and does as the platform's pages say.
//!
//! Guards against: a key that is misspelt and so means nothing; a unit that is guessed (all times end in `_ms`,
//! all sizes in `_bytes`); a file half of which is taken over. What is wrong is said with file, line and key.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An operator file that cannot be used: where, and one sentence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorError {
    /// The file.
    pub file: String,
    /// The line, from 1; none where the whole file is meant.
    pub line: Option<usize>,
    /// The full path of the key; empty where no one key is meant.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        self.line.iter().try_for_each(|line| write!(f, ":{line}"))?;
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for OperatorError {}

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The XMPP front; none where nothing is said of it.
    pub xmpp: Option<Xmpp>,
    /// Cells; one that has everything where nothing is said of them.
    pub cells: Option<Cells>,
    /// Parameters of the decisions by name, in place of their defaults.
    #[serde(default)]
    pub parameters: BTreeMap<String, f64>,
    /// The fleet whose policies this relay follows; none: it follows its own files alone.
    pub fleet: Option<Fleet>,
}

/// `[fleet]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Its name: relays of another fleet are not talked to.
    pub id: String,
    /// Where this relay keeps its ledger.
    pub directory: PathBuf,
    /// The file of its keys, one a line; the first one seals, each opens.
    pub keys: PathBuf,
    /// This relay's number among the voters; none has no vote.
    pub voter: Option<u64>,
    /// `[[fleet.voters]]`
    pub voters: Vec<FleetVoter>,
    /// What a relay does that hears from no leader.
    #[serde(default)]
    pub alone: LeaderlessMode,
    /// How long a relay may admit clients after it asked for its lease.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// How long a relay that serves may take to check and store a proposal.
    #[serde(default = "patience_ms")]
    pub patience_ms: u64,
    /// `[fleet.jobs]`
    #[serde(default)]
    pub jobs: Jobs,
}

/// `[fleet.jobs]`: work that one relay does for all. Off where nothing is said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    /// One relay probes a zone's backends and tells all others what they said.
    #[serde(default)]
    pub load_watch: bool,
    /// One relay paces the moves of standing connections to their sites' new cells, for all.
    #[serde(default)]
    pub paced_moves: bool,
    /// Owners' updates go as changes of versioned tables, and reports as summaries, in place of each one whole.
    #[serde(default)]
    pub compact_updates: bool,
}

impl Jobs {
    /// Whether there is any.
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
    /// Its number, for good.
    pub number: u64,
    /// Where the others reach it; it listens at the same port of its own.
    pub address: SocketAddr,
    /// Where it listens itself, where that is another address.
    pub listen: Option<SocketAddr>,
}

/// What a relay does that hears from no leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaderlessMode {
    /// It refuses new clients.
    #[default]
    Refuse,
    /// It serves them under the policy that it has.
    Serve,
}

/// `[cells]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cells {
    /// `[[cells.cell]]`
    #[serde(default)]
    pub cell: Vec<Cell>,
    /// `[[cells.site]]`: sites that have a cell by name.
    #[serde(default)]
    pub site: Vec<SitePin>,
    /// Cells with fewer servers are a fault.
    #[serde(default)]
    pub least_servers: usize,
    /// Cells with more servers are a fault.
    #[serde(default = "any_number")]
    pub most_servers: usize,
    /// What becomes of a site whose cell has no usable server.
    #[serde(default)]
    pub no_server: NoServer,
    /// The most sessions that a cell lends to others.
    #[serde(default = "borrow_most")]
    pub borrow_most: u32,
    /// When a client that is refused for want of a cell may come again.
    #[serde(default = "retry_after_ms")]
    pub retry_after_ms: u64,
    /// Standing connections that are moved a second once their site has another cell.
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
    /// Its name; what lives there follows from it.
    pub name: String,
    /// Its share of sites and servers against others.
    #[serde(default = "one")]
    pub weight: u32,
    /// Servers that are its own by name.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Whether only sites that are pinned to it live there.
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

/// What becomes of a site whose cell has no usable server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NoServer {
    /// It is refused.
    #[default]
    Refuse,
    /// It borrows.
    Borrow,
}

/// `[xmpp]`
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Xmpp {
    /// Where clients come that begin in clear and use STARTTLS.
    pub listen: Option<SocketAddr>,
    /// Where clients come that begin with TLS (XEP-0368).
    pub listen_tls: Option<SocketAddr>,
    /// The SASL mechanisms offered, the preferred one first.
    pub mechanisms: Option<Vec<String>>,
    /// What a session's group is: `domain`, `none`, `local-after:C` or `local-before:C`.
    #[serde(default = "domain")]
    pub group: String,
    /// Where clients that are moved are sent, in place of coming again by themselves.
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

/// `[[xmpp.domain]]`: a domain that is served here.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Its name.
    pub name: String,
    /// The certificate, its chain behind it, as PEM.
    pub certificate: PathBuf,
    /// Its key, as PEM.
    pub key: PathBuf,
}

/// `[[xmpp.class]]`: the class of some sessions. The first rule that fits counts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// The class, as the platform's settings name it.
    pub class: String,
    /// The domain; any where none is named.
    pub domain: Option<String>,
    /// A pattern of local parts.
    pub local: Option<String>,
    /// A pattern of resources.
    pub resource: Option<String>,
    /// How long a client waits for its answer; the class's own deadline where none is said.
    pub deadline_ms: Option<u64>,
}

/// `[xmpp.servers]`: how XMPP servers are reached.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Servers {
    /// `plain`, `starttls` or `tls`.
    pub security: Security,
    /// The certificates that servers' ones are checked against, as PEM.
    pub ca: Option<PathBuf>,
    /// The port, where it is not the one that discovery gives.
    pub port: Option<u16>,
}

/// How a server is spoken to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Security {
    /// In clear.
    #[default]
    Plain,
    /// STARTTLS.
    StartTls,
    /// TLS from the first byte.
    Tls,
}

/// `[xmpp.limits]`: bounds of what is read; the defaults are those of the front.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The longest stream header.
    pub header_bytes: Option<usize>,
    /// The longest stanza.
    pub stanza_bytes: Option<usize>,
    /// The longest name or attribute value.
    pub token_bytes: Option<usize>,
    /// The deepest nesting.
    pub depth: Option<usize>,
    /// The most attributes of an element.
    pub attributes: Option<usize>,
}

/// `[xmpp.times]`: limits of time; the defaults are those of the front.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// One step of a negotiation.
    pub step_ms: Option<u64>,
    /// All steps together.
    pub negotiation_ms: Option<u64>,
    /// What a server may take to finish before its session is moved.
    pub finish_ms: Option<u64>,
    /// After so long a server that does not acknowledge is lost.
    pub silent_ms: Option<u64>,
}

/// A file as it was read, with what is needed to name a line in it.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// What it says.
    pub operator: Operator,
    path: PathBuf,
    text: String,
}

fn line_at(text: &str, at: usize) -> usize {
    text[..at.min(text.len())].matches('\n').count() + 1
}

impl OperatorFile {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<OperatorFile, OperatorError> {
        let text = std::fs::read_to_string(path).map_err(|e| OperatorError {
            file: path.display().to_string(),
            line: None,
            key: String::new(),
            what: format!("cannot be read: {e}"),
        })?;
        OperatorFile::parse(path, text)
    }

    /// Reads a text as if it were the file's.
    pub fn parse(path: &Path, text: String) -> Result<OperatorFile, OperatorError> {
        let error = |line, key: String, what: String| {
            let file = path.display().to_string();
            OperatorError {
                file,
                line,
                key,
                what,
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

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// An error at this key, such as `xmpp.domain[0].key`, with its line where the file has it.
    pub fn error(&self, key: &str, what: impl fmt::Display) -> OperatorError {
        let (file, what) = (self.path.display().to_string(), what.to_string());
        OperatorError {
            file,
            line: self.line(key),
            key: key.to_string(),
            what,
        }
    }

    /// A path of the file's, which is relative to the file.
    pub fn resolve(&self, path: &Path) -> PathBuf {
        self.path
            .parent()
            .map_or(path.to_path_buf(), |dir| dir.join(path))
    }

    /// The line of the innermost part of a key's path that the file has.
    fn line(&self, key: &str) -> Option<usize> {
        let table = toml::de::DeTable::parse(&self.text).ok()?;
        let (mut found, mut value) = (None, None::<&toml::de::DeValue<'_>>);
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
            (found, value) = (Some(next.span().start), Some(next.get_ref()));
        }
        found.map(|at| line_at(&self.text, at))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<OperatorFile, OperatorError> {
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
    fn what_is_wrong_is_said_with_its_line_and_full_key() {
        // (the file, the line, the key, a part of the sentence)
        for (text, line, key, what) in [
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
            let e = read(text).unwrap_err();
            assert_eq!((e.line, e.key.as_str()), (line, key), "{e}");
            assert!(e.to_string().contains(what), "{e}");
        }
        let file =
            read("[xmpp]\ngroup = 'x'\n[[xmpp.class]]\nclass = 'a'\n[[xmpp.class]]\nclass = 'b'\n")
                .unwrap();
        assert_eq!(file.error("xmpp.class[1].class", "is wrong").line, Some(6));
        assert_eq!(
            file.error("xmpp.class[1].local", "is missing").line,
            Some(5)
        );
        assert_eq!(file.error("xmpp.group", "is wrong").line, Some(2));
        assert_eq!(read("").unwrap().operator, Operator::default());
    }
}
