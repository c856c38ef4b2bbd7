//! XMPP (RFC 6120) before the same decisions: a session is one request, placed by its bare address at the moment
//! its client authenticates; SASL goes through to the placed server unchanged, and from the server's success on
//! all bytes do. Whole stanzas only, both ways: neither side ever sees half of one.
//!
//! - [`client_negotiation`]: the client up to its `<auth/>`, STARTTLS and the restart of the stream included.
//! - [`server_negotiation`]: one attempt, a stream of the relay's own to a server, up to the first answer to `<auth/>`.
//! - [`stanza_forwarder`]: what passes then, and between which stanzas it may end.

pub mod client_negotiation;
pub mod fast_path;
pub mod frame;
pub mod jid;
pub mod server_negotiation;
pub mod settings;
pub mod stanza_forwarder;

use frame::{Condition, NS_CLIENT, NS_ERRORS, NS_STREAMS};

/// The namespace of the relay's own words.
pub const NS_RELAY: &str = "urn:jaspermoor:relay:0";
/// The tag of the streams that the relay opens.
const TAG: &str = "stream:stream";

/// A text as it may stand in an attribute.
fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '\'' => out.push_str("&apos;"),
            '"' => out.push_str("&quot;"),
            c => out.push(c),
        }
    }
    out
}

/// A header of the relay's own, with these attributes.
fn header(attributes: &[(&str, &str)]) -> String {
    let mut text =
        format!("<?xml version='1.0'?><{TAG} xmlns='{NS_CLIENT}' xmlns:stream='{NS_STREAMS}'");
    for (name, value) in attributes {
        text.push_str(&format!(" {name}='{}'", escaped(value)));
    }
    text + " version='1.0'>"
}

/// A stream error and the stream's end, as the stream's tag is written. `more` is what stands beside the
/// condition.
fn stream_error(tag: &str, condition: &str, value: &str, more: &str) -> String {
    let prefix = tag.strip_suffix(":stream").unwrap_or("stream");
    // Valid also where the stream's own header has another prefix, or none.
    let declared = if tag == TAG {
        String::new()
    } else {
        format!(" xmlns:{prefix}='{NS_STREAMS}'")
    };
    let value = escaped(value);
    format!(
        "<{prefix}:error{declared}><{condition} xmlns='{NS_ERRORS}'>{value}</{condition}>{more}</{prefix}:error></{tag}>"
    )
}

fn error(tag: &str, condition: Condition) -> String {
    stream_error(tag, condition.name(), "", "")
}
