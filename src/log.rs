//! Logging to standard error, one line per event: text with `key=value` fields, or JSON.

use std::fmt::{self, Write};
use std::io;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// The message, followed by the fields as `key=value`.
    #[default]
    Text,
    /// JSON, with a timestamp.
    Json,
}

/// Formats events as text. Values are not quoted, so that operators can search for `key=value`.
struct TextFormat;

/// Collects an event's fields: the message is written to the first field, the others are appended
/// to the second.
struct FieldCollector<'a>(&'a mut dyn Write, String);

impl Visit for FieldCollector<'_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Writing to a `String` cannot fail.
        let _ = match field.name() {
            "message" => write!(self.0, "{value:?}"),
            name => write!(self.1, " {name}={value:?}"),
        };
    }
}

impl<S, N> FormatEvent<S, N> for TextFormat
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
        let mut collector = FieldCollector(&mut writer, String::new());
        event.record(&mut collector);
        let fields = collector.1;
        writeln!(writer, "{fields}")
    }
}

/// Initializes logging for the process. Write errors are ignored: an unwritable log must not stop
/// the relay. A second call has no effect.
pub fn init(format: Format, level: LevelFilter) {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(io::stderr)
        .with_ansi(false)
        .log_internal_errors(false);
    // Fails only if logging was initialized before; the first subscriber stays.
    let _ = match format {
        Format::Text => {
            tracing::subscriber::set_global_default(subscriber.event_format(TextFormat).finish())
        }
        Format::Json => {
            tracing::subscriber::set_global_default(subscriber.json().flatten_event(true).finish())
        }
    };
}

/// Logs a line at level `info`.
pub fn log(line: &str) {
    tracing::info!("{line}");
}
