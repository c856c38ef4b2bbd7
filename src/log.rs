//! The log: one line an event on standard error, as words with `key=value` behind them, or as JSON.

use std::fmt::{self, Write};
use std::io;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Words with `key=value` behind them.
    #[default]
    Text,
    /// JSON, with the time.
    Json,
}

/// Words first, then the fields as they are, without quotes: what staff search for.
struct Plain;

struct Line<'a>(&'a mut dyn Write, String);

impl Visit for Line<'_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Writing to a text cannot fail.
        let _ = match field.name() {
            "message" => write!(self.0, "{value:?}"),
            name => write!(self.1, " {name}={value:?}"),
        };
    }
}

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = Line(&mut writer, String::new());
        event.record(&mut line);
        let fields = line.1;
        writeln!(writer, "{fields}")
    }
}

/// Starts the log; once a process. A log that cannot be written must not end the relay.
pub fn init(format: Format, level: LevelFilter) {
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(io::stderr)
        .with_ansi(false)
        .log_internal_errors(false);
    // An error says that a log was started before: it goes on.
    let _ = match format {
        Format::Text => tracing::subscriber::set_global_default(log.event_format(Plain).finish()),
        Format::Json => {
            tracing::subscriber::set_global_default(log.json().flatten_event(true).finish())
        }
    };
}

/// Writes one line to the log.
pub fn log(line: &str) {
    tracing::info!("{line}");
}
