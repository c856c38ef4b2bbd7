//! Manual ejections: the backends that operators have taken out of use, shared by all processes of
//! this relay as empty files, one per backend, in a directory of their own.
//!
//! The file system creates and removes a file atomically, so that two processes that get orders at
//! the same time can neither lose an ejection nor read a partial one.

use crate::log::log;
use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};
use std::collections::BTreeSet;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::PathBuf;

/// The name of the directory below the shared directory.
const DIRECTORY_NAME: &str = "jaspermoor-offline";

/// The manual ejections that this process knows of.
pub struct ManualEjections {
    dir: Option<PathBuf>,
    ejected: BTreeSet<String>,
    /// Those of them that could not be stored for other processes.
    unshared: BTreeSet<String>,
    /// The problem of the last read, so that it is logged once; empty if there was none.
    problem: String,
}

impl ManualEjections {
    /// Shares ejections in this directory; without one they are known to this process alone.
    pub fn new(shared_directory: Option<PathBuf>) -> ManualEjections {
        let dir = shared_directory.map(|dir| dir.join(DIRECTORY_NAME));
        ManualEjections {
            dir,
            ejected: BTreeSet::new(),
            unshared: BTreeSet::new(),
            problem: String::new(),
        }
    }

    /// Whether a backend is ejected.
    pub fn contains(&self, id: &str) -> bool {
        self.ejected.contains(id)
    }

    /// Ejects a backend, or ends its ejection, in all processes.
    ///
    /// # Errors
    ///
    /// If the file cannot be written, the ejection applies to this process alone; if it cannot be
    /// removed, the ejection stays.
    pub fn set(&mut self, id: &str, ejected: bool) -> io::Result<()> {
        if ejected {
            self.ejected.insert(id.to_string());
            self.unshared.insert(id.to_string());
        }
        if let Some(dir) = &self.dir {
            let file = dir.join(utf8_percent_encode(id, NON_ALPHANUMERIC).to_string());
            if ejected {
                fs::create_dir_all(dir)?;
                fs::write(file, b"")?;
            } else {
                fs::remove_file(file).or_else(|e| {
                    if e.kind() == ErrorKind::NotFound {
                        Ok(())
                    } else {
                        Err(e)
                    }
                })?;
            }
        }
        self.unshared.remove(id);
        if !ejected {
            self.ejected.remove(id);
        }
        Ok(())
    }

    /// Returns what other processes have changed since the last call: each backend with whether it
    /// is ejected now.
    pub fn take_changes(&mut self) -> Vec<(String, bool)> {
        let now = match self.read() {
            Ok(shared) => &shared | &self.unshared,
            Err(problem) => {
                self.log_problem(problem);
                return Vec::new();
            }
        };
        let removed = self.ejected.difference(&now).map(|id| (id.clone(), false));
        let added = now.difference(&self.ejected).map(|id| (id.clone(), true));
        let changes = removed.chain(added).collect();
        self.ejected = now;
        changes
    }

    /// Reads the ejected backends from the files.
    fn read(&mut self) -> Result<BTreeSet<String>, String> {
        let Some(dir) = &self.dir else {
            return Ok(self.ejected.clone());
        };
        let files = match fs::read_dir(dir) {
            Ok(files) => files,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(BTreeSet::new()),
            Err(e) => return Err(format!("{} cannot be read: {e}", dir.display())),
        };
        let (mut ejected, mut problem) = (BTreeSet::new(), String::new());
        for file in files {
            let name = file
                .map_err(|e| format!("a file cannot be read: {e}"))?
                .file_name();
            let id = name
                .to_str()
                .and_then(|name| percent_decode_str(name).decode_utf8().ok());
            match id.filter(|id| !id.is_empty()) {
                Some(id) => drop(ejected.insert(id.into_owned())),
                None => problem = format!("the file {name:?} names no backend"),
            }
        }
        self.log_problem(problem);
        Ok(ejected)
    }

    /// Logs a problem unless it is the same as at the last read; an empty text is none.
    fn log_problem(&mut self, problem: String) {
        if !problem.is_empty() && problem != self.problem {
            log(&format!("manual ejections: {problem}"));
        }
        self.problem = problem;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::ffi::OsStrExt;

    #[test]
    fn an_ejection_applies_to_every_process_until_any_of_them_ends_it() {
        let shared =
            std::env::temp_dir().join(format!("jaspermoor-ejections-{}", std::process::id()));
        let _ = fs::remove_dir_all(&shared);
        fs::create_dir(&shared).unwrap();
        let (mut old, mut new) = (
            ManualEjections::new(Some(shared.clone())),
            ManualEjections::new(Some(shared.clone())),
        );
        assert_eq!(old.take_changes(), []);
        old.set("s-1", true).unwrap();
        new.set("../s/2", true).unwrap();
        assert_eq!(new.take_changes(), [("s-1".to_string(), true)]);
        assert_eq!(old.take_changes(), [("../s/2".to_string(), true)]);
        // A file whose name is no backend id is ignored; the others are read.
        let broken = std::ffi::OsStr::from_bytes(b"\xff");
        fs::write(shared.join(DIRECTORY_NAME).join(broken), b"x").unwrap();
        assert_eq!(old.take_changes(), []);
        // Ended at the other process, twice.
        (0..2).for_each(|_| new.set("s-1", false).unwrap());
        assert!(!new.contains("s-1"));
        assert_eq!(old.take_changes(), [("s-1".to_string(), false)]);
        // A process that starts later reads the ejections in force.
        assert_eq!(
            ManualEjections::new(Some(shared.clone())).take_changes(),
            [("../s/2".to_string(), true)]
        );
        fs::remove_dir_all(shared).unwrap();
    }

    #[test]
    fn an_ejection_that_cannot_be_shared_applies_to_this_process_and_is_an_error() {
        let mut ejections = ManualEjections::new(Some("/proc/none".into()));
        assert!(ejections.set("s-1", true).is_err());
        assert!(ejections.take_changes().is_empty() && ejections.contains("s-1"));
        let mut ejections = ManualEjections::new(None);
        ejections.set("s-1", true).unwrap();
        assert!(ejections.take_changes().is_empty() && ejections.contains("s-1"));
    }
}
