//! The one place where the environment and the configuration file are read, checked and given
//! defaults. What is wrong is said with the full path of its key.

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

/// The names that the protocol uses for what the decisions know by index, fixed while a process runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Columns of a load report.
    pub columns: Vec<String>,
}

/// A class of requests as clients know it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ClassName {
    name: String,
    deadline: Micros,
    /// Whether the settings in force have it.
    open: bool,
}

/// The classes of requests, by the index that the decisions know. A class keeps its index for good, also
/// when it has vanished from the settings: connections under way have it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Classes(Vec<ClassName>);

impl Classes {
    /// Classes with these names and deadlines, in order.
    pub fn new(list: impl IntoIterator<Item = (String, Micros)>) -> Classes {
        Classes(
            list.into_iter()
                .map(|(name, deadline)| ClassName {
                    name,
                    deadline,
                    open: true,
                })
                .collect(),
        )
    }

    /// The index of a class that clients may ask for.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|c| c.open && c.name == name)
    }

    /// The index of a class, also of one that has vanished.
    pub fn find_including_removed(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|c| c.name == name)
    }

    /// How long a client of a class waits that does not say.
    pub fn deadline(&self, class: usize) -> Micros {
        self.0.get(class).map_or(0, |c| c.deadline)
    }

    /// The longest that any client waits.
    pub fn longest_deadline(&self) -> Micros {
        self.0
            .iter()
            .filter(|c| c.open)
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0)
    }

    /// The name of a class.
    pub fn name(&self, class: usize) -> &str {
        self.0.get(class).map_or("", |c| &c.name)
    }

    /// These classes with those of new settings, whose terms come in the same order: they are put into
    /// `table`, which has the terms of these by index.
    fn follow(&self, new: &Classes, terms: &[Class], table: &mut Vec<Class>) -> Classes {
        let mut all = self.clone();
        all.0.iter_mut().for_each(|c| c.open = false);
        for (class, terms) in new.0.iter().zip(terms) {
            let known = all.0.iter().position(|c| c.name == class.name);
            match known {
                Some(i) => (all.0[i], table[i]) = (class.clone(), *terms),
                None => {
                    all.0.push(class.clone());
                    table.push(*terms);
                }
            }
        }
        all
    }

    /// The names that clients may ask for.
    pub fn names(&self) -> Vec<String> {
        self.0
            .iter()
            .filter(|c| c.open)
            .map(|c| c.name.clone())
            .collect()
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
    pub shared_directory: Option<PathBuf>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The version of the list as it was last known.
    pub known_version: u64,
    /// The list as it was last known.
    pub known: Vec<(BackendAddress, ListedEndpoint)>,
    /// What is wrong with entries of it that were left out: it was not written by hand.
    pub known_problems: Vec<String>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names that go with them.
    pub names: Names,
    /// The classes that go with them.
    pub classes: Classes,
    /// The file as it was read, without the list: a later one must have the same keys.
    shape: Value,
}

/// The environment: the value of a variable, if it is set.
pub type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names, and the other variables, which win over it.
    pub fn load(env: Env<'_>) -> Result<Config, ConfigError> {
        let Some(path) = env("BALANCER_CONFIG") else {
            return bad("BALANCER_CONFIG", "is not set");
        };
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(e) => return bad("BALANCER_CONFIG", format!("cannot read {path}: {e}")),
        };
        Config::parse(text, env)
    }

    /// Reads the file once more, while the program runs. What the file now says of discovery has to win
    /// over the variable, which is as old as the process. A file without a key that this one has is broken.
    ///
    /// What can change while the program runs is taken over: classes keep their indexes, and those that
    /// have vanished are shut. The rest stays as it is; the second value names its keys.
    pub fn reload(&self, env: Env<'_>) -> Result<(Config, Vec<&'static str>), ConfigError> {
        let mut new = Config::load(&|key| {
            if key == "BALANCER_DISCOVERY" {
                None
            } else {
                env(key)
            }
        })?;
        if let Some(key) = lacks(&self.shape, &new.shape, "") {
            return bad(&key, "is missing");
        }
        let (old, now) = (&self.settings, &mut new.settings);
        let same = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("admin", self.admin == new.admin),
            ("limits", self.limits == new.limits),
            ("settings.zones", self.names.zones == new.names.zones),
            (
                "settings.report.columns",
                self.names.columns == new.names.columns,
            ),
            ("settings.az", old.zone == now.zone),
            (
                "settings.membership_mode",
                old.polls_endpoint_list == now.polls_endpoint_list,
            ),
            (
                "settings.family_info.mode",
                old.forwards_packets == now.forwards_packets,
            ),
        ];
        let fixed = same
            .iter()
            .filter(|(_, same)| !same)
            .map(|&(key, _)| key)
            .collect();
        (now.zone, now.polls_endpoint_list) = (old.zone, old.polls_endpoint_list);
        (now.forwards_packets, now.report_columns) =
            (old.forwards_packets, old.report_columns.clone());
        let classes = std::mem::replace(&mut now.classes, old.classes.clone());
        new.classes = self
            .classes
            .follow(&new.classes, &classes, &mut now.classes);
        (new.name, new.listen, new.admin) = (self.name.clone(), self.listen, self.admin);
        (new.limits, new.names) = (self.limits, self.names.clone());
        Ok((new, fixed))
    }

    /// Reads the text of a configuration.
    pub fn parse(mut text: Vec<u8>, env: Env<'_>) -> Result<Config, ConfigError> {
        endpoint_list::check_nesting(&text)
            .map_err(|e| ConfigError(format!("BALANCER_CONFIG: {e}")))?;
        let mut top = match simd_json::to_owned_value(&mut text) {
            Ok(top) if top.is_object() => top,
            Ok(_) => return bad("BALANCER_CONFIG", "is not a JSON object"),
            Err(e) => return bad("BALANCER_CONFIG", format!("is not valid JSON: {e}")),
        };
        let Some(settings_value) = top.get("settings") else {
            return bad("settings", "is missing");
        };
        let settings = match wire::settings_from_value(settings_value) {
            Ok(settings) => settings,
            Err(e) if e.key == "profile_data" => return bad("settings", e.problem),
            Err(e) => return bad(&format!("settings.{}", e.key), e.problem),
        };
        let class_names = words(settings_value, "settings.grades", Some("name"))?;
        for (i, name) in class_names.iter().enumerate() {
            if class_names[..i].contains(name) {
                return bad(
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
            zones: words(settings_value, "settings.zones", None)?,
            columns: match settings_value.get("report") {
                Some(report) => words(report, "settings.report.columns", None)?,
                None => Vec::new(),
            },
        };
        let (known_version, known, known_problems) = match top.get("known") {
            None => (0, Vec::new(), Vec::new()),
            Some(known) => match endpoint_list::parse_list_update(known, &names.zones) {
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
            shape: {
                // Backends come and go.
                top.insert("known", Value::null()).ok();
                top
            },
        })
    }
}

/// The path of the first key that an object has and a later one has not. Of lists, each object must have
/// the keys that all the earlier ones have.
fn lacks(old: &Value, new: &Value, path: &str) -> Option<String> {
    if let (Some(old), Some(new)) = (old.as_object(), new.as_object()) {
        let mut keys: Vec<_> = old.iter().filter(|(key, _)| *key != OPTIONAL).collect();
        keys.sort_by_key(|(key, _)| *key);
        return keys.into_iter().find_map(|(key, value)| {
            let path = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            match new.get(key) {
                Some(now) => lacks(value, now, &path),
                None => Some(path),
            }
        });
    }
    let (old, new) = (old.as_array()?, new.as_array()?);
    let first = old.first()?.as_object()?;
    let mut common: Vec<_> = first.keys().filter(|key| *key != OPTIONAL).collect();
    common.retain(|key| old.iter().all(|v| v.get(key.as_str()).is_some()));
    common.sort();
    new.iter().enumerate().find_map(|(i, value)| {
        let missing = common
            .iter()
            .find(|key| value.get(key.as_str()).is_none())?;
        Some(format!("{path}[{i}].{missing}"))
    })
}

/// A key of a class that may be absent.
const OPTIONAL: &str = "aim_stretch";

/// The texts of a list that stands under the last part of a path; of its objects, the text under `inner`.
fn words(from: &Value, path: &str, inner: Option<&str>) -> Result<Vec<String>, ConfigError> {
    let key = path.rsplit('.').next().unwrap_or(path);
    let Some(list) = from.get(key).and_then(|l| l.as_array()) else {
        return bad(path, "is not a list");
    };
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
    let named = if env.is_some() {
        format!("BALANCER_{}", key.to_uppercase())
    } else {
        key.to_string()
    };
    let Some(text) = text_of(top, key, env)? else {
        return bad(key, "is missing");
    };
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

#[cfg(test)]
mod tests {
    use super::*;

    const GRADE: &str = r#"{"deadline": 900.0, "goal_time": 80.0, "group": "all", "idempotency": "unsafe", "late_worth": 0.0, "name": "new", "streamed": true, "window": 5000.0, "worth": 5.0}"#;

    fn text() -> String {
        format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{{"cores":1.0}},"settings":{}}}"#,
            include_str!("../../tests/data/settings.json")
        )
    }

    /// A configuration whose file is then replaced by that text.
    fn reloaded(old: &Config, text: &str) -> Result<(Config, Vec<&'static str>), ConfigError> {
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

    fn parsed(text: &str) -> Config {
        Config::parse(text.as_bytes().to_vec(), &|_| None).unwrap()
    }

    #[test]
    fn a_broken_file_is_refused_whole() {
        let (text, mut cases) = (text(), vec![(String::new(), "BALANCER_CONFIG: ")]);
        cases.push((
            text[..text.len() / 2].to_string(),
            "BALANCER_CONFIG: is not valid JSON",
        ));
        // (what is replaced, by what, what must be named)
        for (from, to, named) in [
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
            cases.push((text.replace(from, to), named));
        }
        let old = parsed(&text);
        for (text, named) in cases {
            let said = reloaded(&old, &text).unwrap_err().0;
            assert!(said.starts_with(named), "{said} in place of {named}");
        }
        assert!(reloaded(&old, &text).unwrap().1.is_empty());
    }

    /// The file's list of classes shifts; what a class's index means does not.
    #[test]
    fn classes_keep_their_index_when_the_list_shifts() {
        let text = text();
        let first = parsed(&text);
        // "one" vanishes, and a new class comes first.
        let (from, to) = (
            text.find("{\"deadline\": 1200.0").unwrap(),
            text.find("{\"deadline\": 3200.0").unwrap(),
        );
        let shifted = format!("{}{GRADE},\n  {}", &text[..from], &text[to..]);
        let shifted = shifted.replace("\"max_attempts\": 6", "\"max_attempts\": 2");
        let (second, _) = reloaded(&first, &shifted).unwrap();
        let found = ["one", "two", "new"].map(|name| second.classes.find(name));
        assert_eq!(found, [None, Some(1), Some(2)]);
        assert_eq!(second.classes.name(0), "one");
        assert_eq!(second.settings.max_attempts, 2);
        let deadlines: Vec<_> = second.settings.classes.iter().map(|c| c.deadline).collect();
        assert_eq!(deadlines, [1_200_000, 3_200_000, 900_000]);
        assert_eq!(second.classes.longest_deadline(), 3_200_000);
        // Back to the first file: "one" has its old index, "new" is shut.
        let (third, _) = reloaded(&second, &text).unwrap();
        assert_eq!(
            ["one", "two", "new"].map(|name| third.classes.find(name)),
            [Some(0), Some(1), None]
        );
    }

    #[test]
    fn what_is_fixed_stays_as_it_was_and_is_named() {
        let old = parsed(&text());
        let new = text().replace(
            "\"zones\": [\"x\", \"y\"]",
            "\"zones\": [\"y\", \"x\", \"z\"]",
        );
        let (new, fixed) = reloaded(&old, &new.replace("\"cores\":1.0", "\"cores\":0.5")).unwrap();
        assert_eq!(fixed, ["limits", "settings.zones"]);
        assert_eq!((new.names, new.limits), (old.names, old.limits));
    }
}
