//! Configuration: reads and checks the environment and the configuration file, and fills in
//! defaults. An error names the full path of its key.

pub mod endpoint_list;
pub mod operator;
pub mod policy;

use crate::decisions::api::{Class, ListedEndpoint, Micros, Settings};
use crate::wire;
use endpoint_list::BackendAddress;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The error of an unusable configuration; its text begins with the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

fn error<T>(key: &str, message: impl fmt::Display) -> Result<T, ConfigError> {
    Err(ConfigError(format!("{key}: {message}")))
}

/// Resource limits that the platform sets for the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// CPU cores.
    pub cores: f64,
    /// Memory; the process is killed if it uses more.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

/// Names in the protocol of what the decisions know by index. They are fixed while a process runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// The zones, by their index.
    pub zones: Vec<String>,
    /// The columns of a load report, by their index.
    pub columns: Vec<String>,
}

/// A class of requests: its name in the protocol, and its deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NamedClass {
    name: String,
    deadline: Micros,
    /// Whether the current settings have it.
    available: bool,
}

/// The classes of requests, by the index that the decisions use. A class keeps its index for ever,
/// even when it is removed from the settings, because requests and connections refer to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Classes(Vec<NamedClass>);

impl Classes {
    /// Classes with these names and deadlines, in order.
    pub fn new(list: impl IntoIterator<Item = (String, Micros)>) -> Classes {
        Classes(
            list.into_iter()
                .map(|(name, deadline)| NamedClass {
                    name,
                    deadline,
                    available: true,
                })
                .collect(),
        )
    }

    /// The index of a class of the current settings.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|c| c.available && c.name == name)
    }

    /// The index of a class, even if it was removed from the settings.
    pub fn find_including_removed(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|c| c.name == name)
    }

    /// The deadline of a class, for requests that give none.
    pub fn deadline(&self, class: usize) -> Micros {
        self.0.get(class).map_or(0, |c| c.deadline)
    }

    /// The longest deadline of the current classes.
    pub fn longest_deadline(&self) -> Micros {
        self.0
            .iter()
            .filter(|c| c.available)
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0)
    }

    /// The name of a class.
    pub fn name(&self, class: usize) -> &str {
        self.0.get(class).map_or("", |c| &c.name)
    }

    /// Merges the classes of new settings into these. `new_settings` has the settings of the `new`
    /// classes, in the same order; they are merged into `settings`, which has those of these
    /// classes by index.
    fn merge(&self, new: &Classes, new_settings: &[Class], settings: &mut Vec<Class>) -> Classes {
        let mut merged = self.clone();
        merged.0.iter_mut().for_each(|c| c.available = false);
        for (class, class_settings) in new.0.iter().zip(new_settings) {
            let index = merged.0.iter().position(|c| c.name == class.name);
            match index {
                Some(i) => (merged.0[i], settings[i]) = (class.clone(), *class_settings),
                None => {
                    merged.0.push(class.clone());
                    settings.push(*class_settings);
                }
            }
        }
        merged
    }

    /// The names of the classes of the current settings.
    pub fn names(&self) -> Vec<String> {
        self.0
            .iter()
            .filter(|c| c.available)
            .map(|c| c.name.clone())
            .collect()
    }
}

/// The checked configuration of the relay.
#[derive(Clone, Debug)]
pub struct Config {
    /// The relay's name, the same after a restart.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The file descriptor of an inherited listening socket, if the platform holds one for clients.
    pub accept_fd: Option<u16>,
    /// The admin address, for operators and scrapers; none on platforms without one.
    pub admin: Option<SocketAddr>,
    /// The directory for files that all processes of this relay share.
    pub shared_directory: Option<PathBuf>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// The resource limits.
    pub limits: Limits,
    /// The version of the last known endpoint list.
    pub known_version: u64,
    /// The last known endpoint list.
    pub known: Vec<(BackendAddress, ListedEndpoint)>,
    /// The problems of its invalid entries. They are left out and do not make the file unusable,
    /// since the list is not written by hand.
    pub known_problems: Vec<String>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names of the zones and columns in `settings`.
    pub names: Names,
    /// The names of the classes in `settings`.
    pub classes: Classes,
    /// The file without the endpoint list. A file that is read later must have the same keys.
    template: Value,
}

/// Looks up an environment variable.
pub type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names. Other variables take precedence over its keys.
    pub fn load(env: Env<'_>) -> Result<Config, ConfigError> {
        let Some(path) = env("BALANCER_CONFIG") else {
            return error("BALANCER_CONFIG", "is not set");
        };
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(e) => return error("BALANCER_CONFIG", format!("cannot read {path}: {e}")),
        };
        Config::parse(text, env)
    }

    /// Reads the file again while the process runs. Its discovery address takes precedence over the
    /// variable, which is as old as the process. A file that lacks a key of the current one is
    /// refused as malformed.
    ///
    /// Returns the new configuration and the keys whose change needs a restart; these keep their
    /// old values. Classes keep their indexes, and removed ones become unavailable.
    pub fn reload(&self, env: Env<'_>) -> Result<(Config, Vec<&'static str>), ConfigError> {
        let mut new = Config::load(&|key| {
            if key == "BALANCER_DISCOVERY" {
                None
            } else {
                env(key)
            }
        })?;
        if let Some(key) = missing_key(&self.template, &new.template, "") {
            return error(&key, "is missing");
        }
        let (old, current) = (&self.settings, &mut new.settings);
        let unchanged = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("admin", self.admin == new.admin),
            ("limits", self.limits == new.limits),
            ("settings.zones", self.names.zones == new.names.zones),
            (
                "settings.report.columns",
                self.names.columns == new.names.columns,
            ),
            ("settings.az", old.zone == current.zone),
            (
                "settings.membership_mode",
                old.polls_endpoint_list == current.polls_endpoint_list,
            ),
            (
                "settings.family_info.mode",
                old.forwards_packets == current.forwards_packets,
            ),
        ];
        let needs_restart = unchanged
            .iter()
            .filter(|(_, unchanged)| !unchanged)
            .map(|&(key, _)| key)
            .collect();
        (current.zone, current.polls_endpoint_list) = (old.zone, old.polls_endpoint_list);
        (current.forwards_packets, current.report_columns) =
            (old.forwards_packets, old.report_columns.clone());
        let new_class_settings = std::mem::replace(&mut current.classes, old.classes.clone());
        new.classes = self
            .classes
            .merge(&new.classes, &new_class_settings, &mut current.classes);
        (new.name, new.listen, new.admin) = (self.name.clone(), self.listen, self.admin);
        (new.limits, new.names) = (self.limits, self.names.clone());
        Ok((new, needs_restart))
    }

    /// The discovery address of the file, which may differ from the one that a variable has given.
    pub fn discovery_of_file(&self) -> Option<SocketAddr> {
        self.template.get("discovery")?.as_str()?.parse().ok()
    }

    /// Parses the text of a configuration file.
    pub fn parse(mut text: Vec<u8>, env: Env<'_>) -> Result<Config, ConfigError> {
        endpoint_list::check_nesting(&text)
            .map_err(|e| ConfigError(format!("BALANCER_CONFIG: {e}")))?;
        let mut top = match simd_json::to_owned_value(&mut text) {
            Ok(top) if top.is_object() => top,
            Ok(_) => return error("BALANCER_CONFIG", "is not a JSON object"),
            Err(e) => return error("BALANCER_CONFIG", format!("is not valid JSON: {e}")),
        };
        let Some(settings_value) = top.get("settings") else {
            return error("settings", "is missing");
        };
        let settings = match wire::settings_from_value(settings_value) {
            Ok(settings) => settings,
            Err(e) if e.key == "profile_data" => return error("settings", e.problem),
            Err(e) => return error(&format!("settings.{}", e.key), e.problem),
        };
        let class_names = texts(settings_value, "settings.grades", Some("name"))?;
        for (i, name) in class_names.iter().enumerate() {
            if class_names[..i].contains(name) {
                return error(
                    &format!("settings.grades[{i}].name"),
                    format!("'{name}' is there twice"),
                );
            }
        }
        let classes = Classes::new(
            class_names
                .into_iter()
                .zip(settings.classes.iter().map(|c| c.deadline)),
        );
        let names = Names {
            zones: texts(settings_value, "settings.zones", None)?,
            columns: match settings_value.get("report") {
                Some(report) => texts(report, "settings.report.columns", None)?,
                None => Vec::new(),
            },
        };
        let (known_version, known, known_problems) = match top.get("known") {
            None => (0, Vec::new(), Vec::new()),
            Some(known) => match endpoint_list::parse_list_update(known, &names.zones) {
                Ok(list) => (list.version, list.entries, list.problems),
                Err(e) => return Err(ConfigError(format!("known.{e}"))),
            },
        };
        let name = text_of(&top, "name", env("BALANCER_NAME"))?.unwrap_or_else(|| "relay".into());
        let seed = match text_of(&top, "seed", None)? {
            None => return error("seed", "is missing"),
            Some(seed) => match u64::from_str_radix(&seed, 16) {
                Ok(seed) => seed,
                Err(_) => return error("seed", "is not a hexadecimal number of at most 16 digits"),
            },
        };
        let admin = match (env("BALANCER_ADMIN"), top.get("admin")) {
            (None, None) => None,
            (admin, _) => Some(address(&top, "admin", admin)?),
        };
        let accept_fd = match env("BALANCER_ACCEPT_FD").map(|fd| fd.parse()) {
            None => None,
            Some(Ok(fd)) => Some(fd),
            Some(Err(_)) => {
                return error("BALANCER_ACCEPT_FD", "is not the number of a descriptor")
            }
        };
        Ok(Config {
            name,
            listen: address(&top, "listen", env("BALANCER_LISTEN"))?,
            accept_fd,
            admin,
            shared_directory: env("TMPDIR")
                .filter(|dir| !dir.is_empty())
                .map(PathBuf::from),
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
            classes,
            template: {
                // The endpoint list may change between two reads.
                top.insert("known", Value::null()).ok();
                top
            },
        })
    }
}

/// The path of the first key of `old` that `new` lacks. In a list, each new object must have the
/// keys that all old objects of the list have.
fn missing_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    if let (Some(old), Some(new)) = (old.as_object(), new.as_object()) {
        let mut keys: Vec<_> = old.iter().filter(|(key, _)| *key != OPTIONAL_KEY).collect();
        keys.sort_by_key(|(key, _)| *key);
        return keys.into_iter().find_map(|(key, value)| {
            let path = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            match new.get(key) {
                Some(new_value) => missing_key(value, new_value, &path),
                None => Some(path),
            }
        });
    }
    let (old, new) = (old.as_array()?, new.as_array()?);
    let first = old.first()?.as_object()?;
    let mut common: Vec<_> = first.keys().filter(|key| *key != OPTIONAL_KEY).collect();
    common.retain(|key| old.iter().all(|v| v.get(key.as_str()).is_some()));
    common.sort();
    new.iter().enumerate().find_map(|(i, value)| {
        let missing = common
            .iter()
            .find(|key| value.get(key.as_str()).is_none())?;
        Some(format!("{path}[{i}].{missing}"))
    })
}

/// The key of a class that may be absent.
const OPTIONAL_KEY: &str = "aim_stretch";

/// The strings of a list, whose key in `from` is the last part of `path`. If the list has objects,
/// the strings under their key `inner`.
fn texts(from: &Value, path: &str, inner: Option<&str>) -> Result<Vec<String>, ConfigError> {
    let key = path.rsplit('.').next().unwrap_or(path);
    let Some(list) = from.get(key).and_then(|l| l.as_array()) else {
        return error(path, "is not a list");
    };
    let text = |(i, v): (usize, &Value)| {
        let v = inner.map_or(Some(v), |inner| v.get(inner));
        let suffix = inner.map(|inner| format!(".{inner}")).unwrap_or_default();
        match v.and_then(|v| v.as_str()) {
            Some(text) => Ok(text.to_string()),
            None => error(&format!("{path}[{i}]{suffix}"), "is not a text"),
        }
    };
    list.iter().enumerate().map(text).collect()
}

/// The string of a key; the value of its environment variable, if set, takes precedence.
fn text_of(top: &Value, key: &str, env: Option<String>) -> Result<Option<String>, ConfigError> {
    match (env, top.get(key)) {
        (Some(text), _) => Ok(Some(text)),
        (None, None) => Ok(None),
        (None, Some(value)) => match value.as_str() {
            Some(text) => Ok(Some(text.to_string())),
            None => error(key, "is not a text"),
        },
    }
}

fn address(top: &Value, key: &str, env: Option<String>) -> Result<SocketAddr, ConfigError> {
    let source = if env.is_some() {
        format!("BALANCER_{}", key.to_uppercase())
    } else {
        key.to_string()
    };
    let Some(text) = text_of(top, key, env)? else {
        return error(key, "is missing");
    };
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => error(&source, format!("'{text}' is not an address and a port")),
    }
}

fn limit(top: &Value, key: &str, default: f64, min: f64, max: f64) -> Result<f64, ConfigError> {
    let path = format!("limits.{key}");
    let limits = top.get("limits");
    if limits.is_some_and(|l| !l.is_object()) {
        return error("limits", "is not an object");
    }
    match limits.and_then(|l| l.get(key)) {
        None => Ok(default),
        Some(value) => match value.cast_f64() {
            Some(n) if (min..=max).contains(&n) => Ok(n),
            Some(n) => error(&path, format!("is {n}, outside {min} to {max}")),
            None => error(&path, "is not a number"),
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NEW_CLASS: &str = r#"{"deadline": 900.0, "goal_time": 80.0, "group": "all", "idempotency": "unsafe", "late_worth": 0.0, "name": "new", "streamed": true, "window": 5000.0, "worth": 5.0}"#;

    fn text() -> String {
        format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{{"cores":1.0}},"settings":{}}}"#,
            include_str!("../../tests/data/settings.json")
        )
    }

    /// Reloads a configuration from a file with this text.
    fn reload(old: &Config, text: &str) -> Result<(Config, Vec<&'static str>), ConfigError> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("jaspermoor-reload-{}-{n}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        let result =
            old.reload(&|key| (key == "BALANCER_CONFIG").then(|| path.display().to_string()));
        std::fs::remove_file(&path).unwrap();
        result
    }

    fn parse(text: &str) -> Config {
        Config::parse(text.as_bytes().to_vec(), &|_| None).unwrap()
    }

    #[test]
    fn a_malformed_file_is_refused_as_a_whole() {
        let (text, mut cases) = (text(), vec![(String::new(), "BALANCER_CONFIG: ")]);
        cases.push((
            text[..text.len() / 2].to_string(),
            "BALANCER_CONFIG: is not valid JSON",
        ));
        // (replaced text, replacement, start of the error)
        for (from, to, expected) in [
            (
                "\"deadline\": 1200.0",
                "\"deadline\": 0",
                "settings.grades[0].deadline",
            ),
            (
                "\"deadline\": 3200.0",
                "\"deadline\": -5.0",
                "settings.grades[1].deadline",
            ),
            (
                "\"max_attempts\": 6",
                "\"max_attempts\": 0",
                "settings.limits.max_attempts",
            ),
            (
                "\"max_attempts\": 6",
                "\"max_attempts\": -1",
                "settings.limits.max_attempts",
            ),
            (
                "\"worth\": 3.0",
                "\"other\": 3.0",
                "settings.grades[1].worth: is missing",
            ),
            (
                "\"late_worth\": 0.0, \"name\": \"one\"",
                "\"name\": \"one\"",
                "settings.grades[0].late_worth",
            ),
            (
                "\"worth_by\"",
                "\"worth_of\"",
                "settings.worth_by: is missing",
            ),
            (
                "\"max_open\"",
                "\"most_open\"",
                "settings.limits.max_open: is missing",
            ),
            (
                "\"limits\":{\"cores\":1.0}",
                "\"limits\":{}",
                "limits.cores: is missing",
            ),
            ("\"seed\"", "\"seeds\"", "seed: is missing"),
            (
                "\"name\": \"two\"",
                "\"name\": \"one\"",
                "settings.grades[1].name: 'one' is there twice",
            ),
        ] {
            assert!(text.contains(from), "{from}");
            cases.push((text.replace(from, to), expected));
        }
        let old = parse(&text);
        for (text, expected) in cases {
            let message = reload(&old, &text).unwrap_err().0;
            assert!(
                message.starts_with(expected),
                "{message} in place of {expected}"
            );
        }
        assert!(reload(&old, &text).unwrap().1.is_empty());
    }

    /// The positions of classes in the file change; their indexes in the decisions must not.
    #[test]
    fn classes_keep_their_index_when_their_order_changes() {
        let text = text();
        let first = parse(&text);
        // "one" is removed, and a new class comes first.
        let (from, to) = (
            text.find("{\"deadline\": 1200.0").unwrap(),
            text.find("{\"deadline\": 3200.0").unwrap(),
        );
        let reordered = format!("{}{NEW_CLASS},\n  {}", &text[..from], &text[to..]);
        let reordered = reordered.replace("\"max_attempts\": 6", "\"max_attempts\": 2");
        let (second, _) = reload(&first, &reordered).unwrap();
        let found = ["one", "two", "new"].map(|name| second.classes.find(name));
        assert_eq!(found, [None, Some(1), Some(2)]);
        assert_eq!(second.classes.name(0), "one");
        assert_eq!(second.settings.max_attempts, 2);
        let deadlines: Vec<_> = second.settings.classes.iter().map(|c| c.deadline).collect();
        assert_eq!(deadlines, [1_200_000, 3_200_000, 900_000]);
        assert_eq!(second.classes.longest_deadline(), 3_200_000);
        // Back to the first file: "one" has its old index, and "new" is unavailable.
        let (third, _) = reload(&second, &text).unwrap();
        assert_eq!(
            ["one", "two", "new"].map(|name| third.classes.find(name)),
            [Some(0), Some(1), None]
        );
    }

    #[test]
    fn values_that_need_a_restart_are_kept_and_named() {
        let old = parse(&text());
        let new = text().replace(
            "\"zones\": [\"x\", \"y\"]",
            "\"zones\": [\"y\", \"x\", \"z\"]",
        );
        let (new, needs_restart) =
            reload(&old, &new.replace("\"cores\":1.0", "\"cores\":0.5")).unwrap();
        assert_eq!(needs_restart, ["limits", "settings.zones"]);
        assert_eq!((new.names, new.limits), (old.names, old.limits));
    }
}
