//! How sub-commands write their results: as text or JSON, with progress on the standard error output.

/// The form of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line, for programs.
    Json,
}

impl OutputFormat {
    /// The format that a `--json` switch asks for.
    pub fn from_switch(json: bool) -> OutputFormat {
        if json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }

    /// Whether it is JSON.
    pub fn is_json(self) -> bool {
        self == OutputFormat::Json
    }
}

/// A JSON object of strings, with its fields in this order.
pub fn json_object(fields: &[(&str, String)]) -> String {
    let quoted = |text: &str| simd_json::to_string(&text).unwrap_or_default();
    let fields: Vec<String> = fields
        .iter()
        .map(|(key, value)| format!("{}:{}", quoted(key), quoted(value)))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// The progress of a change: each new state is written once. JSON output has no progress.
pub struct Progress {
    subject: String,
    format: OutputFormat,
    state: String,
}

impl Progress {
    /// Progress of that subject, with the state that holds before the first report; that one is not written.
    pub fn new(subject: String, format: OutputFormat, state: &str) -> Progress {
        Progress {
            subject,
            format,
            state: state.to_string(),
        }
    }

    /// Takes a new state, and writes it if it differs from the last one.
    pub fn report(&mut self, state: String) {
        if state != self.state && !self.format.is_json() {
            eprintln!("{}: {state}", self.subject);
        }
        self.state = state;
    }

    /// The last state.
    pub fn state(&self) -> &str {
        &self.state
    }
}
