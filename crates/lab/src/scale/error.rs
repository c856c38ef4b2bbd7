//! What can be wrong with a run or its files, each in one sentence.

use std::fmt;
use std::path::PathBuf;

/// See the module's text.
#[derive(Debug)]
pub enum ScaleError {
    /// An option that cannot be used.
    Option {
        /// Its name.
        option: &'static str,
        /// What is wrong with it.
        what: String,
    },
    /// A file that cannot be used.
    File {
        /// The file.
        file: PathBuf,
        /// The line, where one is to blame.
        line: Option<usize>,
        /// What is wrong with it.
        what: String,
    },
    /// The run did not come to its end.
    Run(String),
    /// It was interrupted by a signal.
    Interrupted,
}

impl ScaleError {
    /// Whether whoever called has to call otherwise: another option or another file.
    pub fn is_input(&self) -> bool {
        matches!(self, ScaleError::Option { .. } | ScaleError::File { .. })
    }
}

impl fmt::Display for ScaleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScaleError::Option { option, what } => write!(f, "{option}: {what}"),
            ScaleError::File {
                file,
                line: Some(line),
                what,
            } => {
                write!(f, "{}:{line}: {what}", file.display())
            }
            ScaleError::File {
                file,
                line: None,
                what,
            } => write!(f, "{}: {what}", file.display()),
            ScaleError::Run(what) => write!(f, "the run has failed: {what}"),
            ScaleError::Interrupted => write!(f, "interrupted; all that was started has ended"),
        }
    }
}

impl std::error::Error for ScaleError {}

impl From<std::io::Error> for ScaleError {
    fn from(e: std::io::Error) -> ScaleError {
        ScaleError::Run(e.to_string())
    }
}
