//! Output of the sub-commands: results as text or JSON, progress on standard error.

/// The format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Lines of text for operators.
    Text,
    /// One JSON object per line, for programs.
    Json,
}

impl OutputFormat {
    /// The format that the `--json` switch selects.
    pub fn from_switch(json: bool) -> OutputFormat {
        if json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }

    pub fn is_json(self) -> bool {
        self == OutputFormat::Json
    }
}

/// Formats a JSON object of strings; the fields keep their order.
pub fn json_object(fields: &[(&str, String)]) -> String {
    let quoted = |text: &str| simd_json::to_string(&text).unwrap_or_default();
    let fields: Vec<String> = fields
        .iter()
        .map(|(key, value)| format!("{}:{}", quoted(key), quoted(value)))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// Reports the progress of a change: each new state is written once. With JSON output nothing is
/// written.
pub struct Progress {
    subject: String,
    format: OutputFormat,
    state: String,
}

impl Progress {
    /// Creates a progress report for `subject`. The initial `state` is not written.
    pub fn new(subject: String, format: OutputFormat, state: &str) -> Progress {
        Progress {
            subject,
            format,
            state: state.to_string(),
        }
    }

    /// Records a new state, and writes it if it differs from the last one.
    pub fn report(&mut self, state: String) {
        if state != self.state && !self.format.is_json() {
            eprintln!("{}: {state}", self.subject);
        }
        self.state = state;
    }

    /// The last recorded state.
    pub fn state(&self) -> &str {
        &self.state
    }
}
