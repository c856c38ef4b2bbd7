//! Which backends staff have taken out, kept where every process of this relay finds it: an empty file for
//! each, in a directory of its own. The file system makes and removes a file whole, so that two processes
//! which are called at once can neither lose a ban nor read half of one.

use crate::log::log;
use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};
use std::collections::BTreeSet;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::PathBuf;

/// The name of the directory.
const NAME: &str = "jaspermoor-offline";

/// The bans that this process knows of; it has one owner.
pub struct ManualEjections {
    dir: Option<PathBuf>,
    held: BTreeSet<String>,
    /// Those of them that could not be noted for others.
    unnoted: BTreeSet<String>,
    /// What was wrong at the last look, so that it is logged once.
    problem: String,
}

impl ManualEjections {
    /// ManualEjections that are shared in this directory; without one they are this process's own.
    pub fn new(shared: Option<PathBuf>) -> ManualEjections {
        let dir = shared.map(|dir| dir.join(NAME));
        ManualEjections {
            dir,
            held: BTreeSet::new(),
            unnoted: BTreeSet::new(),
            problem: String::new(),
        }
    }

    /// Whether a backend is out.
    pub fn contains(&self, id: &str) -> bool {
        self.held.contains(id)
    }

    /// Notes that a backend is out, or back. After an error a ban holds here alone, and a call back has
    /// not been made.
    pub fn set(&mut self, id: &str, out_of_use: bool) -> io::Result<()> {
        if out_of_use {
            self.held.insert(id.to_string());
            self.unnoted.insert(id.to_string());
        }
        if let Some(dir) = &self.dir {
            let file = dir.join(utf8_percent_encode(id, NON_ALPHANUMERIC).to_string());
            if out_of_use {
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
        self.unnoted.remove(id);
        if !out_of_use {
            self.held.remove(id);
        }
        Ok(())
    }

    /// What other processes have noted since the last look: each backend that is out now, or back.
    pub fn take_changes(&mut self) -> Vec<(String, bool)> {
        let now = match self.read() {
            Ok(noted) => &noted | &self.unnoted,
            Err(problem) => {
                self.complain(problem);
                return Vec::new();
            }
        };
        let gone = self.held.difference(&now).map(|id| (id.clone(), false));
        let new = now.difference(&self.held).map(|id| (id.clone(), true));
        let news = gone.chain(new).collect();
        self.held = now;
        news
    }

    /// The backends that are out, as the files say.
    fn read(&mut self) -> Result<BTreeSet<String>, String> {
        let Some(dir) = &self.dir else {
            return Ok(self.held.clone());
        };
        let files = match fs::read_dir(dir) {
            Ok(files) => files,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(BTreeSet::new()),
            Err(e) => return Err(format!("{} cannot be read: {e}", dir.display())),
        };
        let (mut out, mut problem) = (BTreeSet::new(), String::new());
        for file in files {
            let name = file
                .map_err(|e| format!("a file cannot be read: {e}"))?
                .file_name();
            let id = name
                .to_str()
                .and_then(|name| percent_decode_str(name).decode_utf8().ok());
            match id.filter(|id| !id.is_empty()) {
                Some(id) => drop(out.insert(id.into_owned())),
                None => problem = format!("the file {name:?} names no backend"),
            }
        }
        self.complain(problem);
        Ok(out)
    }

    fn complain(&mut self, problem: String) {
        if !problem.is_empty() && problem != self.problem {
            log(&format!("bans: {problem}"));
        }
        self.problem = problem;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::ffi::OsStrExt;

    #[test]
    fn a_ban_binds_every_process_until_the_call_back_to_any() {
        let shared = std::env::temp_dir().join(format!("jaspermoor-bans-{}", std::process::id()));
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
        // A file that names no backend harms none of the others.
        let broken = std::ffi::OsStr::from_bytes(b"\xff");
        fs::write(shared.join(NAME).join(broken), b"x").unwrap();
        assert_eq!(old.take_changes(), []);
        // Called back at the other process, and once more.
        (0..2).for_each(|_| new.set("s-1", false).unwrap());
        assert!(!new.contains("s-1"));
        assert_eq!(old.take_changes(), [("s-1".to_string(), false)]);
        // A process that starts later knows what is in force.
        assert_eq!(
            ManualEjections::new(Some(shared.clone())).take_changes(),
            [("../s/2".to_string(), true)]
        );
        fs::remove_dir_all(shared).unwrap();
    }

    #[test]
    fn a_ban_that_cannot_be_shared_holds_here_and_is_said() {
        let mut bans = ManualEjections::new(Some("/proc/none".into()));
        assert!(bans.set("s-1", true).is_err());
        assert!(bans.take_changes().is_empty() && bans.contains("s-1"));
        let mut bans = ManualEjections::new(None);
        bans.set("s-1", true).unwrap();
        assert!(bans.take_changes().is_empty() && bans.contains("s-1"));
    }
}
