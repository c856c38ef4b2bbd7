//! The one place where the environment and the configuration file are read, checked and given
//! defaults. What is wrong is said with the full path of its key.

use crate::api::{Member, Micros, Settings};
use crate::net::discovery::{self, Endpoint};
use crate::wire;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration that cannot be used: one sentence that names the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

fn bad<T>(key: &str, what: impl fmt::Display) -> Result<T, ConfigError> {
    Err(ConfigError(format!("{key}: {what}")))
}

/// What the platform allows the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Cores.
    pub cores: f64,
    /// Memory, beyond which it is killed.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

/// The names that the protocol uses for what the decisions know by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// How long a client of each class waits.
    pub deadlines: Vec<Micros>,
    /// Zones.
    pub zones: Vec<String>,
    /// Columns of a load report.
    pub columns: Vec<String>,
}

impl Names {
    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c == name)
    }

    /// How long a client of a class waits that does not say.
    pub fn deadline(&self, class: usize) -> Micros {
        self.deadlines.get(class).copied().unwrap_or(0)
    }
}

/// All that the relay is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The listening socket of the clients that the platform holds: the descriptor that was inherited.
    pub accept_fd: Option<u16>,
    /// The second address, for staff and scrapers; none on platforms that have none.
    pub admin: Option<SocketAddr>,
    /// The directory for files that all processes of this relay share.
    pub shared: Option<PathBuf>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The version of the list as it was last known.
    pub known_version: u64,
    /// The list as it was last known.
    pub known: Vec<(Endpoint, Member)>,
    /// What is wrong with entries of it that were left out: it was not written by hand.
    pub known_problems: Vec<String>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names that go with them.
    pub names: Names,
}

/// The environment: the value of a variable, if it is set.
pub type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names, and the other variables, which win over it.
    pub fn load(env: Env) -> Result<Config, ConfigError> {
        let Some(path) = env("BALANCER_CONFIG") else { return bad("BALANCER_CONFIG", "is not set") };
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(e) => return bad("BALANCER_CONFIG", format!("cannot read {path}: {e}")),
        };
        Config::parse(text, env)
    }

    /// Reads the file once more, while the program runs. What the file now says of discovery has to win
    /// over the variable, which is as old as the process.
    pub fn reload(env: Env) -> Result<Config, ConfigError> {
        Config::load(&|key| if key == "BALANCER_DISCOVERY" { None } else { env(key) })
    }

    /// The keys whose new values need a restart.
    pub fn fixed_changes(&self, new: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("admin", self.admin == new.admin),
            ("limits", self.limits == new.limits),
            ("settings", self.settings == new.settings && self.names == new.names),
        ];
        same.iter().filter(|(_, same)| !same).map(|&(key, _)| key).collect()
    }

    /// Reads the text of a configuration.
    pub fn parse(mut text: Vec<u8>, env: Env) -> Result<Config, ConfigError> {
        discovery::shallow(&text).map_err(|e| ConfigError(format!("BALANCER_CONFIG: {e}")))?;
        let top = match simd_json::to_owned_value(&mut text) {
            Ok(top) if top.is_object() => top,
            Ok(_) => return bad("BALANCER_CONFIG", "is not a JSON object"),
            Err(e) => return bad("BALANCER_CONFIG", format!("is not valid JSON: {e}")),
        };
        let Some(settings_value) = top.get("settings") else { return bad("settings", "is missing") };
        let settings = match wire::settings_of(settings_value) {
            Ok(settings) => settings,
            Err(e) if e.key == "profile_data" => return bad("settings", e.what),
            Err(e) => return bad(&format!("settings.{}", e.key), e.what),
        };
        let names = Names {
            classes: words(settings_value, "settings.grades", Some("name"))?,
            deadlines: settings.classes.iter().map(|c| c.deadline).collect(),
            zones: words(settings_value, "settings.zones", None)?,
            columns: match settings_value.get("report") {
                Some(report) => words(report, "settings.report.columns", None)?,
                None => Vec::new(),
            },
        };
        let (known_version, known, known_problems) = match top.get("known") {
            None => (0, Vec::new(), Vec::new()),
            Some(known) => match discovery::listing(known, &names.zones) {
                Ok(listing) => (listing.version, listing.servers, listing.problems),
                Err(e) => return Err(ConfigError(format!("known.{e}"))),
            },
        };
        let name = text_of(&top, "name", env("BALANCER_NAME"))?.unwrap_or_else(|| "relay".into());
        let seed = match text_of(&top, "seed", None)? {
            None => return bad("seed", "is missing"),
            Some(seed) => match u64::from_str_radix(&seed, 16) {
                Ok(seed) => seed,
                Err(_) => return bad("seed", "is not a hexadecimal number of at most 16 digits"),
            },
        };
        let admin = match (env("BALANCER_ADMIN"), top.get("admin")) {
            (None, None) => None,
            (admin, _) => Some(address(&top, "admin", admin)?),
        };
        let accept_fd = match env("BALANCER_ACCEPT_FD").map(|fd| fd.parse()) {
            None => None,
            Some(Ok(fd)) => Some(fd),
            Some(Err(_)) => return bad("BALANCER_ACCEPT_FD", "is not the number of a descriptor"),
        };
        Ok(Config {
            name,
            listen: address(&top, "listen", env("BALANCER_LISTEN"))?,
            accept_fd,
            admin,
            shared: env("TMPDIR").filter(|dir| !dir.is_empty()).map(PathBuf::from),
            discovery: address(&top, "discovery", env("BALANCER_DISCOVERY"))?,
            seed,
            limits: Limits {
                cores: limit(&top, "cores", 1.0, 0.01, 1024.0)?,
                memory_mb: limit(&top, "memory_mb", 192.0, 16.0, 1e7)? as u64,
                sockets: limit(&top, "sockets", 1024.0, 128.0, 1e7)? as u64,
            },
            known_version,
            known,
            known_problems,
            settings,
            names,
        })
    }
}

/// The texts of a list that stands under the last part of a path; of its objects, the text under `inner`.
fn words(from: &Value, path: &str, inner: Option<&str>) -> Result<Vec<String>, ConfigError> {
    let key = path.rsplit('.').next().unwrap_or(path);
    let Some(list) = from.get(key).and_then(|l| l.as_array()) else { return bad(path, "is not a list") };
    let word = |(i, v): (usize, &Value)| {
        let v = inner.map_or(Some(v), |inner| v.get(inner));
        let suffix = inner.map(|inner| format!(".{inner}")).unwrap_or_default();
        match v.and_then(|v| v.as_str()) {
            Some(word) => Ok(word.to_string()),
            None => bad(&format!("{path}[{i}]{suffix}"), "is not a text"),
        }
    };
    list.iter().enumerate().map(word).collect()
}

fn text_of(top: &Value, key: &str, env: Option<String>) -> Result<Option<String>, ConfigError> {
    match (env, top.get(key)) {
        (Some(text), _) => Ok(Some(text)),
        (None, None) => Ok(None),
        (None, Some(value)) => match value.as_str() {
            Some(text) => Ok(Some(text.to_string())),
            None => bad(key, "is not a text"),
        },
    }
}

fn address(top: &Value, key: &str, env: Option<String>) -> Result<SocketAddr, ConfigError> {
    let named = if env.is_some() { format!("BALANCER_{}", key.to_uppercase()) } else { key.to_string() };
    let Some(text) = text_of(top, key, env)? else { return bad(key, "is missing") };
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => bad(&named, format!("'{text}' is not an address and a port")),
    }
}

fn limit(top: &Value, key: &str, default: f64, least: f64, most: f64) -> Result<f64, ConfigError> {
    let path = format!("limits.{key}");
    let limits = top.get("limits");
    if limits.is_some_and(|l| !l.is_object()) {
        return bad("limits", "is not an object");
    }
    match limits.and_then(|l| l.get(key)) {
        None => Ok(default),
        Some(value) => match value.cast_f64() {
            Some(n) if (least..=most).contains(&n) => Ok(n),
            Some(n) => bad(&path, format!("is {n}, outside {least} to {most}")),
            None => bad(&path, "is not a number"),
        },
    }
}
