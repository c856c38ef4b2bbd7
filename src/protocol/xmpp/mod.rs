//! The XMPP front (RFC 6120), placed by the same decisions as the line protocol: a session is one
//! request, with the client's bare JID as its key, placed when the client authenticates. The SASL
//! exchange is forwarded to the chosen server unchanged, and after the server's `<success/>` all
//! bytes are. Only whole stanzas are forwarded, so that neither side ever receives part of one.
//!
//! - [`client_negotiation`]: stream negotiation with the client up to its `<auth/>`, STARTTLS and
//!   the stream restart included.
//! - [`server_negotiation`]: one attempt: a stream of the relay to a server, up to the first reply
//!   to `<auth/>`.
//! - [`stanza_forwarder`]: forwarding after that, and the stanza boundaries at which a session may
//!   end.
//!
//! [`frame`] finds the boundaries, and [`fast_path`] finds them sooner in plain stanzas.
//! `markup` counts elements and attributes. [`jid`] prepares addresses, and [`settings`] holds what the operator sets.

pub mod client_negotiation;
pub mod fast_path;
pub mod frame;
pub mod jid;
mod markup;
pub mod server_negotiation;
pub mod settings;
pub mod stanza_forwarder;

use frame::{Condition, NS_CLIENT, NS_ERRORS, NS_STREAMS};

/// The namespace of the relay's own elements.
pub const NS_RELAY: &str = "urn:jaspermoor:relay:0";
/// The tag of the streams that the relay opens, with its prefix.
const STREAM_TAG: &str = "stream:stream";

/// Escapes a text for use in an attribute.
fn escape(text: &str) -> String {
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

/// The relay's own stream header with these attributes.
fn stream_header(attributes: &[(&str, &str)]) -> String {
    let mut text = format!(
        "<?xml version='1.0'?><{STREAM_TAG} xmlns='{NS_CLIENT}' xmlns:stream='{NS_STREAMS}'"
    );
    for (name, value) in attributes {
        text.push_str(&format!(" {name}='{}'", escape(value)));
    }
    text + " version='1.0'>"
}

/// A stream error and the closing tag of a stream whose tag is `tag` (RFC 6120, 4.9). `value` is
/// the content of the condition's element, `more` an application-specific condition beside it.
fn stream_error_with(tag: &str, condition: &str, value: &str, more: &str) -> String {
    let prefix = tag.strip_suffix(":stream").unwrap_or("stream");
    // Declared here because the peer's header may use another prefix, or none.
    let declared = if tag == STREAM_TAG {
        String::new()
    } else {
        format!(" xmlns:{prefix}='{NS_STREAMS}'")
    };
    let value = escape(value);
    format!(
        "<{prefix}:error{declared}><{condition} xmlns='{NS_ERRORS}'>{value}</{condition}>{more}</{prefix}:error></{tag}>"
    )
}

/// A stream error that has only a condition, and the closing tag.
fn stream_error(tag: &str, condition: Condition) -> String {
    stream_error_with(tag, condition.name(), "", "")
}
