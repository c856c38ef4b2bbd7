//! Framing of an XML stream: finds the ends of its header, of its stanzas and of the stream.
//!
//! The parser is `rxml`, made for XMPP's restricted XML (RFC 6120, 11.1): it refuses DTDs,
//! entities, comments and processing instructions, checks names and namespaces, and limits the
//! length of a token. The framer adds the bounds that RFC 6120 leaves to the deployment (13.12):
//! depth, attributes, kept parts, and the sizes of a header and of a stanza. All of them are checked as bytes
//! arrive, so that nothing large is buffered before it is refused.
//!
//! Guards against: a unit cut in the middle, a peer that nests elements without end or sends an
//! attribute of 60 MB, and text where none is allowed.

use super::fast_path;
use super::markup::MarkupCounter;
use rxml::error::EndOrError;
use rxml::parser::WithOptions;
use rxml::{Event, Options, Parse, Parser, RawEvent, RawParser};

/// The namespace of streams.
pub const NS_STREAMS: &str = "http://etherx.jabber.org/streams";
/// The namespace of stanzas between clients and servers.
pub const NS_CLIENT: &str = "jabber:client";
/// The namespace of the conditions of stream errors.
pub const NS_ERRORS: &str = "urn:ietf:params:xml:ns:xmpp-streams";
/// The namespace of STARTTLS.
pub const NS_TLS: &str = "urn:ietf:params:xml:ns:xmpp-tls";
/// The namespace of SASL.
pub const NS_SASL: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
/// The namespace of stream management, XEP-0198.
pub const NS_SM: &str = "urn:xmpp:sm:3";

/// The bounds of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The longest header, in bytes: the XML declaration and the stream's start tag.
    pub header: usize,
    /// The longest child element of the stream, in bytes: a stanza, for example.
    pub stanza: usize,
    /// The deepest nesting, the stream element included.
    pub depth: usize,
    /// The most attributes of an element.
    pub attributes: usize,
    /// The longest name or attribute value, in bytes.
    pub token: usize,
    /// The most elements and attributes of a unit whose content is kept, namespace declarations
    /// included. Each costs far more memory than its bytes.
    pub kept_parts: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        // Header and stanza: the sizes that the operators gave. RFC 6120, 13.12, requires that
        // stanzas of up to 10,000 bytes are accepted. Avatars and file offers are the longest
        // attributes and texts in use; text is limited by the stanza's size only, so 8 KiB is
        // enough for a token.
        Bounds {
            header: 4 * 1024,
            stanza: 256 * 1024,
            depth: 64,
            attributes: 64,
            token: 8 * 1024,
            kept_parts: 1024,
        }
    }
}

/// The most attributes and namespace declarations of a start tag that is not complete, as a multiple
/// of [`Bounds::attributes`], which counts attributes alone.
const INCOMPLETE_TAG_FACTOR: usize = 2;

/// The stream error conditions that the relay sends (RFC 6120, 4.9.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Not XML, or not namespace-well-formed.
    NotWellFormed,
    /// XML that is not allowed in streams: comments, DTDs, entities, processing instructions.
    RestrictedXml,
    /// The namespace of the stream or of its content is not the expected one.
    InvalidNamespace,
    /// The version of the stream is not 1.x.
    UnsupportedVersion,
    /// The domain is not served by this relay.
    HostUnknown,
    /// `to` is missing, or `to` or `from` is not a valid JID.
    ImproperAddressing,
    /// A bound of this relay is exceeded, or a step is out of order.
    PolicyViolation,
    /// An element that is not supported at this point.
    UnsupportedStanzaType,
    /// The peer, or a server, has not responded in time.
    ConnectionTimeout,
    /// No server could be reached, or the connection to it is lost.
    RemoteConnectionFailed,
    /// Rejected for now, because of overload or missing memory.
    ResourceConstraint,
    /// The server or this relay shuts down, or the session migrates.
    SystemShutdown,
    /// A fault of the relay's own settings or state.
    InternalServerError,
}

impl Condition {
    /// The name of its element.
    pub fn name(self) -> &'static str {
        match self {
            Condition::NotWellFormed => "not-well-formed",
            Condition::RestrictedXml => "restricted-xml",
            Condition::InvalidNamespace => "invalid-namespace",
            Condition::UnsupportedVersion => "unsupported-version",
            Condition::HostUnknown => "host-unknown",
            Condition::ImproperAddressing => "improper-addressing",
            Condition::PolicyViolation => "policy-violation",
            Condition::UnsupportedStanzaType => "unsupported-stanza-type",
            Condition::ConnectionTimeout => "connection-timeout",
            Condition::RemoteConnectionFailed => "remote-connection-failed",
            Condition::ResourceConstraint => "resource-constraint",
            Condition::SystemShutdown => "system-shutdown",
            Condition::InternalServerError => "internal-server-error",
        }
    }

    /// The reason in the log of a connection that ends with this condition.
    pub fn reason(self) -> &'static str {
        self.name()
    }
}

/// Memory of an element or attribute that is kept, in bytes, beside its names and values.
const BYTES_PER_PART: usize = 150;

/// An XML element, as far as stream negotiation needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Element {
    /// Its namespace.
    pub ns: String,
    /// Its local name.
    pub name: String,
    /// Its attributes without a namespace, in the order of their names.
    pub attributes: Vec<(String, String)>,
    /// Its text, without that of its children.
    pub text: String,
    /// Its children; empty if the framer does not keep content.
    pub children: Vec<Element>,
}

impl Element {
    /// Whether it has this namespace and name.
    pub fn is(&self, ns: &str, name: &str) -> bool {
        self.ns == ns && self.name == name
    }

    /// The value of an attribute.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// The first child with this namespace and name.
    pub fn child(&self, ns: &str, name: &str) -> Option<&Element> {
        self.children.iter().find(|c| c.is(ns, name))
    }
}

/// A stream header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The `to` attribute.
    pub to: Option<String>,
    /// The `from` attribute.
    pub from: Option<String>,
    /// The `version` attribute.
    pub version: Option<String>,
    /// The qualified name of its tag as received: the closing tag must have the same prefix.
    pub tag: String,
    /// The default namespace that it declares.
    pub default_namespace: Option<String>,
}

/// A part of a stream that must not be cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unit {
    /// The stream header.
    Header(Header),
    /// A complete child element of the stream. If the framer does not keep content, it has its name
    /// and attributes only, and a stanza of `jabber:client` not even those.
    Element(Element),
    /// White space between elements, used as a keepalive (RFC 6120, 4.6.1).
    Whitespace,
    /// The closing stream tag.
    End,
}

/// Finds the units of one direction of a stream.
pub struct Framer {
    parser: Parser,
    bounds: Bounds,
    /// Whether elements are returned with their content.
    keep_content: bool,
    depth: usize,
    /// Bytes of the current unit so far.
    unit_bytes: usize,
    /// Bytes that the parser has consumed since its last event, and beyond that event.
    parser_ahead: usize,
    /// Bytes of the next call that the parser has already consumed: after text it consumes the `<`,
    /// too.
    already_parsed: usize,
    /// The bytes of the header until it is complete: its namespace declarations are read from them.
    header_bytes: Vec<u8>,
    /// The open elements, outermost first, without the stream.
    open_elements: Vec<Element>,
    /// Whether the content of the current child of the stream is kept. That of elements in the
    /// namespace of streams always is, because it has the condition of a stream error.
    keeping: bool,
    /// Whether the fast path may be used for plain stanzas: the default namespace is
    /// `jabber:client`.
    use_fast_path: bool,
    /// Whether the parser has consumed a tag and nothing after it: text that follows can skip the
    /// parser.
    after_tag: bool,
    /// The last byte that the parser has consumed.
    last_byte: u8,
    /// Counts the elements and attributes that the parser has consumed.
    markup: MarkupCounter,
    /// The first bytes of a character in such text whose other bytes have not arrived.
    partial_char: Vec<u8>,
    /// The error that has ended the framing.
    error: Option<Condition>,
    /// Whether the closing stream tag was read.
    ended: bool,
}

impl std::fmt::Debug for Framer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "Framer at depth {}, {} bytes of a unit",
            self.depth, self.unit_bytes
        )
    }
}

impl Framer {
    /// A framer for a stream that has not begun. With `keep_content`, elements are returned with
    /// their content.
    pub fn new(bounds: Bounds, keep_content: bool) -> Framer {
        let options = Options {
            max_token_length: bounds.token,
            ..Options::default()
        };
        let mut parser = Parser::with_options(options);
        // A white space keepalive must be forwarded at once, not with the next stanza.
        parser.set_text_buffering(false);
        Framer {
            parser,
            bounds,
            keep_content,
            depth: 0,
            unit_bytes: 0,
            parser_ahead: 0,
            already_parsed: 0,
            header_bytes: Vec::new(),
            open_elements: Vec::new(),
            keeping: keep_content,
            use_fast_path: false,
            after_tag: false,
            last_byte: 0,
            markup: MarkupCounter::new(),
            partial_char: Vec::new(),
            error: None,
            ended: false,
        }
    }

    /// Whether all bytes read so far belong to complete units.
    pub fn at_unit_boundary(&self) -> bool {
        self.unit_bytes == 0
    }

    /// The memory in which the unit so far is kept, in bytes: its text, the parser's token, and its
    /// elements and attributes. Nothing where the unit stays in the caller's buffer only.
    pub fn buffered_bytes(&self) -> usize {
        if !self.keeping || self.unit_bytes == 0 {
            return 0;
        }
        let token = self.unit_bytes.min(self.bounds.token);
        self.unit_bytes + token + BYTES_PER_PART * self.markup.parts()
    }

    /// Reads up to the end of the next unit. Returns the number of bytes read, and the unit if it
    /// is complete; if it is not, all bytes were read. The next call takes the bytes that follow.
    /// After an error, each call returns the same error.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(usize, Option<Unit>), Condition> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let result = self.read_unit(bytes);
        if let Err(condition) = result {
            self.error = Some(condition);
            self.open_elements = Vec::new();
        }
        result
    }

    fn read_unit(&mut self, bytes: &[u8]) -> Result<(usize, Option<Unit>), Condition> {
        if bytes.is_empty() {
            return Ok((0, None));
        }
        if self.ended {
            // Only white space is allowed after the closing stream tag.
            let space = bytes.iter().all(|b| b.is_ascii_whitespace());
            return if space {
                Ok((bytes.len(), Some(Unit::Whitespace)))
            } else {
                Err(Condition::NotWellFormed)
            };
        }
        let plain_stanza_possible =
            self.use_fast_path && self.depth == 1 && self.unit_bytes == 0 && bytes[0] == b'<';
        if let Some(n) = plain_stanza_possible
            .then(|| fast_path::element_len(bytes, &self.bounds))
            .flatten()
        {
            return Ok((n, Some(Unit::Element(Element::default()))));
        }
        let skip = std::mem::take(&mut self.already_parsed).min(bytes.len());
        let mut rest = &bytes[skip..];
        loop {
            if self.after_tag && self.depth > 1 && !self.keeping {
                let n = self.plain_text_len(rest)?;
                self.unit_bytes += n;
                rest = &rest[n..];
                if self.unit_bytes > self.bounds.stanza {
                    return Err(Condition::PolicyViolation);
                }
                if rest.is_empty() {
                    return Ok((bytes.len(), None));
                }
            }
            let before = rest.len();
            let event = self.parser.parse(&mut rest, false);
            let consumed = before - rest.len();
            let start = bytes.len() - before;
            let empty_tag = self.ends_empty_tag(&bytes[start..start + consumed]);
            (self.unit_bytes, self.parser_ahead) =
                (self.unit_bytes + consumed, self.parser_ahead + consumed);
            if self.depth == 0 {
                self.header_bytes
                    .extend_from_slice(&bytes[start..start + consumed]);
            }
            let limit = if self.depth == 0 {
                self.bounds.header
            } else {
                self.bounds.stanza
            };
            self.markup.read(&bytes[start..start + consumed]);
            if self.unit_bytes > limit || self.has_too_much_markup() {
                return Err(Condition::PolicyViolation);
            }
            let unit = match event {
                Ok(Some(event)) => {
                    // The event of a tag comes with its last byte. Text between units is white
                    // space, one byte per character, so the lengths that the parser reports are
                    // exact there; in other text it counts too few bytes for a character that
                    // arrived in two parts.
                    self.parser_ahead = match &event {
                        Event::Text(metrics, _) if self.depth == 1 => {
                            self.parser_ahead.saturating_sub(metrics.len())
                        }
                        _ => 0,
                    };
                    // After `<a/>` the parser still has to report the end of the element.
                    self.after_tag = match &event {
                        Event::StartElement(..) => !empty_tag,
                        Event::EndElement(_) => true,
                        _ => false,
                    };
                    self.on_event(event)?
                }
                Ok(None) => return Err(Condition::NotWellFormed),
                Err(EndOrError::NeedMoreData) if rest.is_empty() => return Ok((bytes.len(), None)),
                Err(EndOrError::NeedMoreData) if consumed == 0 => {
                    return Err(Condition::NotWellFormed)
                }
                Err(EndOrError::NeedMoreData) => continue,
                Err(EndOrError::Error(e)) => return Err(condition_for(&e)),
            };
            if let Some(unit) = unit {
                // The parser may have consumed bytes of the next unit already.
                (self.unit_bytes, self.already_parsed) = (self.parser_ahead, self.parser_ahead);
                self.markup.begin_unit();
                return Ok((bytes.len() - rest.len() - self.parser_ahead, Some(unit)));
            }
        }
    }

    /// Whether the present unit, complete or not, has more elements and attributes than the bounds
    /// allow.
    fn has_too_much_markup(&self) -> bool {
        let keeps_too_much = self.keeping && self.markup.parts() > self.bounds.kept_parts;
        let max_attributes = self.bounds.attributes * INCOMPLETE_TAG_FACTOR;
        keeps_too_much || self.markup.attributes_of_tag() > max_attributes
    }

    /// Frees memory that is needed only while a unit is being read.
    pub fn release_idle_memory(&mut self) {
        if self.unit_bytes == 0 {
            self.parser.release_temporaries();
        }
    }

    /// Whether the bytes that the parser has just consumed end with an empty-element tag (`<a/>`).
    fn ends_empty_tag(&mut self, consumed: &[u8]) -> bool {
        let [.., last] = consumed else { return false };
        let before = if let [.., before, _] = consumed {
            *before
        } else {
            self.last_byte
        };
        self.last_byte = *last;
        (before, *last) == (b'/', b'>')
    }

    /// The length of the plain text at the front, which can skip the parser: all bytes up to a `<`,
    /// or up to a character that only the parser can check (`&`, and `]`, which may begin `]]>`).
    /// Most bytes of long stanzas are plain text.
    fn plain_text_len(&mut self, bytes: &[u8]) -> Result<usize, Condition> {
        let found = memchr::memchr3(b'<', b'&', b']', bytes);
        let text = &bytes[..found.unwrap_or(bytes.len())];
        let not_well_formed = Err(Condition::NotWellFormed);
        if !has_no_control_chars(text) {
            return not_well_formed;
        }
        let mut rest = text;
        while !self.partial_char.is_empty() && !rest.is_empty() {
            self.partial_char.push(rest[0]);
            rest = &rest[1..];
            match std::str::from_utf8(&self.partial_char) {
                Ok(c) if !has_no_noncharacters(c) => return not_well_formed,
                Ok(_) => self.partial_char.clear(),
                Err(e) if e.error_len().is_some() => return not_well_formed,
                Err(_) => {}
            }
        }
        match std::str::from_utf8(rest) {
            Ok(text) if has_no_noncharacters(text) => {}
            Ok(_) => return not_well_formed,
            Err(e) if e.error_len().is_some() => return not_well_formed,
            Err(e) => {
                let (whole, split) = rest.split_at(e.valid_up_to());
                if !std::str::from_utf8(whole).is_ok_and(has_no_noncharacters) {
                    return not_well_formed;
                }
                self.partial_char.extend_from_slice(split);
            }
        }
        match found {
            // A character that is incomplete before a tag stays incomplete.
            Some(_) if !self.partial_char.is_empty() => not_well_formed,
            Some(at) => {
                // The parser continues from here up to the next tag.
                self.after_tag = false;
                Ok(at)
            }
            None => Ok(text.len()),
        }
    }

    fn on_event(&mut self, event: Event) -> Result<Option<Unit>, Condition> {
        match event {
            Event::XmlDeclaration(..) => Ok(None),
            Event::StartElement(_, (ns, name), attributes) => {
                self.depth += 1;
                if self.depth > self.bounds.depth || attributes.len() > self.bounds.attributes {
                    return Err(Condition::PolicyViolation);
                }
                if self.depth == 1 {
                    if ns.as_str() != NS_STREAMS || name.as_str() != "stream" {
                        return Err(Condition::InvalidNamespace);
                    }
                    let get = |key: &str| {
                        let mut all = attributes.iter();
                        all.find(|((ns, name), _)| ns.is_empty() && name.as_str() == key)
                            .map(|(_, v)| v.to_string())
                    };
                    let (tag, default_namespace) = header_declarations(
                        &std::mem::take(&mut self.header_bytes),
                        self.bounds.token,
                    );
                    self.use_fast_path =
                        !self.keep_content && default_namespace.as_deref() == Some(NS_CLIENT);
                    let header = Header {
                        to: get("to"),
                        from: get("from"),
                        version: get("version"),
                        tag,
                        default_namespace,
                    };
                    return Ok(Some(Unit::Header(header)));
                }
                if self.depth == 2 {
                    self.keeping = self.keep_content || ns.as_str() == NS_STREAMS;
                }
                if self.depth == 2 && !self.keeping && ns.as_str() == NS_CLIENT {
                    // A stanza: only its boundaries are needed.
                    self.open_elements.push(Element::default());
                } else if self.depth == 2 || self.keeping {
                    let plain = attributes.iter().filter(|((ns, _), _)| ns.is_empty());
                    let attributes = plain
                        .map(|((_, n), v)| (n.to_string(), v.to_string()))
                        .collect();
                    let (ns, name) = (ns.to_string(), name.to_string());
                    self.open_elements.push(Element {
                        ns,
                        name,
                        attributes,
                        ..Element::default()
                    });
                }
                Ok(None)
            }
            Event::EndElement(_) => {
                self.depth -= 1;
                match self.depth {
                    0 => {
                        self.ended = true;
                        Ok(Some(Unit::End))
                    }
                    1 => Ok(self.open_elements.pop().map(Unit::Element)),
                    _ if self.keeping => {
                        if let (Some(child), Some(parent)) =
                            (self.open_elements.pop(), self.open_elements.last_mut())
                        {
                            parent.children.push(child);
                        }
                        Ok(None)
                    }
                    _ => Ok(None),
                }
            }
            Event::Text(_, text) => {
                if self.depth == 1 {
                    let space = text.bytes().all(|b| b.is_ascii_whitespace());
                    return if space {
                        Ok(Some(Unit::Whitespace))
                    } else {
                        Err(Condition::NotWellFormed)
                    };
                }
                if let (true, Some(element)) = (self.keeping, self.open_elements.last_mut()) {
                    element.text.push_str(&text);
                }
                Ok(None)
            }
        }
    }
}

/// Whether a text is free of the control characters that XML forbids.
pub(super) fn has_no_control_chars(text: &[u8]) -> bool {
    !text.iter().fold(false, |bad, &b| {
        bad | (b < b' ' && b != b'\t' && b != b'\n' && b != b'\r')
    })
}

/// Whether a text is free of the other two characters that XML forbids, U+FFFE and U+FFFF.
pub(super) fn has_no_noncharacters(text: &str) -> bool {
    memchr::memchr(0xef, text.as_bytes()).is_none() || !text.contains(['\u{fffe}', '\u{ffff}'])
}

/// The stream error condition for an error of the parser.
fn condition_for(e: &rxml::Error) -> Condition {
    match e {
        rxml::Error::RestrictedXml(what) if what.contains("long") => Condition::PolicyViolation,
        rxml::Error::RestrictedXml(_) | rxml::Error::UndeclaredEntity => Condition::RestrictedXml,
        // `<!` that begins neither CDATA nor a comment: a DTD.
        rxml::Error::InvalidSyntax(what) if what.contains("section start") => {
            Condition::RestrictedXml
        }
        _ => Condition::NotWellFormed,
    }
}

/// The qualified name of a header's tag as received, and the default namespace that it declares.
/// `rxml` resolves names and keeps neither.
fn header_declarations(mut header: &[u8], token: usize) -> (String, Option<String>) {
    let options = Options {
        max_token_length: token,
        ..Options::default()
    };
    let mut parser = RawParser::with_options(options);
    let (mut tag, mut default_namespace) = (String::new(), None);
    while let Ok(Some(event)) = parser.parse(&mut header, false) {
        match event {
            RawEvent::ElementHeadOpen(_, (prefix, name)) => {
                tag = prefix.map(|p| format!("{p}:")).unwrap_or_default() + &name;
            }
            RawEvent::Attribute(_, (None, name), value) if name.as_str() == "xmlns" => {
                default_namespace = Some(value)
            }
            RawEvent::ElementHeadClose(_) => break,
            _ => {}
        }
    }
    (tag, default_namespace)
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEADER: &str = "<?xml version='1.0'?><stream:stream xmlns='jabber:client' \
        xmlns:stream='http://etherx.jabber.org/streams' to='a.example' version='1.0'>";

    /// All units of a text that arrives in chunks of `step` bytes, each with the offset of its end.
    fn units(text: &[u8], step: usize, bounds: Bounds) -> Result<Vec<(usize, Unit)>, Condition> {
        let (mut framer, mut units, mut at) = (Framer::new(bounds, true), Vec::new(), 0);
        for chunk in text.chunks(step.max(1)) {
            let mut chunk = chunk;
            while !chunk.is_empty() {
                let (n, unit) = framer.feed(chunk)?;
                at += n;
                units.extend(unit.map(|unit| (at, unit)));
                chunk = &chunk[n..];
            }
        }
        Ok(units)
    }

    #[test]
    fn units_end_at_the_same_bytes_for_every_split_of_the_stream() {
        let text = format!(
            "{HEADER} \n<message to='b'><body>x &lt; y<![CDATA[</message>]]></body></message><r xmlns='{NS_SM}'/>\
             <iq id='é'><a><b c=\">\"/></a></iq></stream:stream>"
        );
        let whole = units(text.as_bytes(), text.len(), Bounds::default()).unwrap();
        let ends: Vec<&str> = whole.iter().map(|(at, _)| &text[..*at]).collect();
        for end in [
            "version='1.0'>",
            "</message>",
            "<r xmlns='urn:xmpp:sm:3'/>",
            "</iq>",
            "</stream:stream>",
        ] {
            assert!(
                ends.iter().any(|e| e.ends_with(end)),
                "no unit ends after {end}: {ends:?}"
            );
        }
        let without_whitespace = |all: Vec<(usize, Unit)>| -> Vec<(usize, Unit)> {
            all.into_iter()
                .filter(|(_, unit)| *unit != Unit::Whitespace)
                .collect()
        };
        let whole = without_whitespace(whole);
        assert_eq!(whole.len(), 5);
        for step in 1..text.len() {
            let cut = units(text.as_bytes(), step, Bounds::default()).unwrap();
            assert_eq!(without_whitespace(cut), whole, "chunks of {step} bytes");
        }
        let (_, Unit::Header(header)) = &whole[0] else {
            panic!()
        };
        assert_eq!(
            (header.tag.as_str(), header.to.as_deref()),
            ("stream:stream", Some("a.example"))
        );
        assert_eq!(header.default_namespace.as_deref(), Some(NS_CLIENT));
        let (_, Unit::Element(message)) = &whole[1] else {
            panic!()
        };
        assert_eq!(message.children[0].text, "x < y</message>");
    }

    #[test]
    fn input_that_streams_may_not_have_is_refused_with_its_condition() {
        let deep = "<a>".repeat(100);
        let wide: String = (0..100).map(|n| format!(" a{n}=''")).collect();
        let long = format!("<a b='{}", "x".repeat(9_000));
        let text = format!("<a>{}", "x".repeat(300 * 1024));
        let entity_bomb = "<!DOCTYPE a [<!ENTITY b 'ha'>]>";
        use Condition::*;
        let cases: &[(&str, &str, Condition)] = &[
            (HEADER, "<!-- a -->", RestrictedXml),
            (HEADER, "<?php ?>", RestrictedXml),
            (HEADER, "<a>&lol;</a>", RestrictedXml),
            ("", entity_bomb, RestrictedXml),
            (HEADER, entity_bomb, RestrictedXml),
            (HEADER, "<a><b></a>", NotWellFormed),
            (HEADER, "text", NotWellFormed),
            (HEADER, "<a b='\0'/>", NotWellFormed),
            (HEADER, "<p:a/>", NotWellFormed),
            (HEADER, "</stream:stream><a/>", NotWellFormed),
            (HEADER, &deep, PolicyViolation),
            (HEADER, &format!("<a{wide}/>"), PolicyViolation),
            (HEADER, &long, PolicyViolation),
            (HEADER, &text, PolicyViolation),
            ("", "<html>", InvalidNamespace),
            ("", "<stream xmlns='other'>", InvalidNamespace),
            (
                "",
                &format!("<?xml version='1.0'?>{}", " ".repeat(5_000)),
                PolicyViolation,
            ),
            ("", "GET / HTTP/1.1", NotWellFormed),
        ];
        for (head, text, expected) in cases {
            let text = format!("{head}{text}");
            for step in [1, 7, text.len()] {
                let read = units(text.as_bytes(), step, Bounds::default());
                assert_eq!(
                    read,
                    Err(*expected),
                    "{}",
                    &text[text.len().saturating_sub(60)..]
                );
            }
        }
    }

    /// Text that skips the parser must be accepted and refused as by the parser.
    #[test]
    fn text_that_skips_the_parser_is_held_to_the_same_rules() {
        let read = |text: &str, tail: &[u8], keep: bool, step: usize| {
            let all = [HEADER.as_bytes(), text.as_bytes(), tail].concat();
            let (mut framer, mut ends, mut at) =
                (Framer::new(Bounds::default(), keep), Vec::new(), 0);
            while at < all.len() {
                let end = (at + step).min(all.len());
                match framer.feed(&all[at..end]) {
                    Ok((n, unit)) => {
                        at += n;
                        ends.extend(unit.filter(|u| *u != Unit::Whitespace).map(|_| at));
                    }
                    Err(condition) => return (ends, Some(condition)),
                }
            }
            (ends, None)
        };
        let cases: [(&str, &[u8]); 14] = [
            ("<a>plain é 😀 text</a><b/>x", b""),
            ("<a><b/>text<c></c>text</a><d/>", b""),
            ("<a>x &amp; y ]] > z<b/>x</a><c/>", b""),
            ("<a>x ]]> y</a>", b""),
            ("<a>\t\r\n</a>", b""),
            ("<a>\u{1}</a>", b""),
            ("<a><b/>\u{fffe}</a>", b""),
            ("<a>\u{feff}\u{fffd}</a>", b""),
            ("<a b='/'>x</a><c d='>'/>", b""),
            ("<a>", b"\xff</a>"),
            ("<a>", b"\xc3</a>"),
            ("<a>", b"\xe2\x82\xac</a>"),
            ("<a>", b"\xed\xa0\x80</a>"),
            ("<a>x<!-- --></a>", b""),
        ];
        for (text, tail) in cases {
            let by_parser = read(text, tail, true, 1 << 20);
            for step in 1..40 {
                assert_eq!(
                    read(text, tail, false, step),
                    by_parser,
                    "{text} {tail:?} in chunks of {step} bytes"
                );
            }
        }
    }

    /// An attribute of 60 MB is refused long before all of it has arrived.
    #[test]
    fn nothing_large_is_buffered_before_it_is_refused() {
        let mut framer = Framer::new(Bounds::default(), false);
        assert!(framer.feed(HEADER.as_bytes()).is_ok() && framer.feed(b"<a b='").is_ok());
        let chunk = [b'x'; 1024];
        let taken = (0..60 * 1024)
            .take_while(|_| framer.feed(&chunk).is_ok())
            .count();
        assert!(taken <= 8, "{taken} KiB");
        assert_eq!(framer.feed(b"'/>"), Err(Condition::PolicyViolation));
    }
}
