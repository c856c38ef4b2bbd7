//! Framing of an XML stream: where its header, its stanzas and its end begin and stop.
//!
//! The parser is `rxml`, made for XMPP's restricted XML: no DTD, entity, comment or processing instruction gets
//! past it, names and namespaces are checked, and no token is longer than stated. What is added here are the
//! bounds that RFC 6120 leaves to the deployment: depth, attributes, the size of a header and of a stanza. All
//! of them are checked as bytes come, so that nothing large is held before it is refused.
//!
//! Guards against: a unit cut in the middle, a peer that nests without end or sends an attribute of 60 MB, text
//! where none may stand.

use super::fast_path;
use rxml::error::EndOrError;
use rxml::parser::WithOptions;
use rxml::{Event, Options, Parse, Parser, RawEvent, RawParser};

/// The namespace of streams.
pub const NS_STREAMS: &str = "http://etherx.jabber.org/streams";
/// The namespace of stanzas between clients and servers.
pub const NS_CLIENT: &str = "jabber:client";
/// The namespace of stream errors' conditions.
pub const NS_ERRORS: &str = "urn:ietf:params:xml:ns:xmpp-streams";
/// The namespace of STARTTLS.
pub const NS_TLS: &str = "urn:ietf:params:xml:ns:xmpp-tls";
/// The namespace of SASL.
pub const NS_SASL: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
/// The namespace of stream management, XEP-0198.
pub const NS_SM: &str = "urn:xmpp:sm:3";

/// Bounds of what is read of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The longest header, in bytes: the XML declaration and the stream's start tag.
    pub header: usize,
    /// The longest unit below the stream, in bytes.
    pub stanza: usize,
    /// The deepest nesting, the stream itself counted.
    pub depth: usize,
    /// The most attributes of an element.
    pub attributes: usize,
    /// The longest name or attribute value, in bytes.
    pub token: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        // Header and stanza: the figures that the operators gave. RFC 6120, 13.12, has 10,000 bytes as the
        // least that must be taken of a stanza. Avatars and file offers are the longest attributes and texts
        // in use; text is bounded by the stanza, so 8 KiB is enough for a token.
        Bounds {
            header: 4 * 1024,
            stanza: 256 * 1024,
            depth: 64,
            attributes: 64,
            token: 8 * 1024,
        }
    }
}

/// The conditions of stream errors in use here (RFC 6120, 4.9.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Not XML, or not namespace-well-formed.
    NotWellFormed,
    /// XML that streams may not have: comments, DTDs, entities, processing instructions.
    RestrictedXml,
    /// The stream's or its content's namespace is another.
    InvalidNamespace,
    /// The version of the stream is not 1.x.
    UnsupportedVersion,
    /// The domain is not served here.
    HostUnknown,
    /// `to` or `from` cannot be read.
    ImproperAddressing,
    /// A rule of this relay is broken: sizes, order of steps.
    PolicyViolation,
    /// Something that is not known at this point.
    UnsupportedStanzaType,
    /// The peer has taken too long.
    ConnectionTimeout,
    /// No server could be reached, or it has gone.
    RemoteConnectionFailed,
    /// Refused for now.
    ResourceConstraint,
    /// The server, or this relay, goes away.
    SystemShutdown,
    /// The relay's own settings do not allow an answer.
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

    /// The reason for the log of a connection that ends by it.
    pub fn reason(self) -> &'static str {
        self.name()
    }
}

/// An element, as far as negotiation needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Element {
    /// Its namespace.
    pub ns: String,
    /// Its local name.
    pub name: String,
    /// Its attributes that have no namespace, in order of their names.
    pub attributes: Vec<(String, String)>,
    /// Its text, that of its children left out.
    pub text: String,
    /// Its children; none are kept where the framer keeps no content.
    pub children: Vec<Element>,
}

impl Element {
    /// Whether it is that element.
    pub fn is(&self, ns: &str, name: &str) -> bool {
        self.ns == ns && self.name == name
    }

    /// An attribute's value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// The first child of that name.
    pub fn child(&self, ns: &str, name: &str) -> Option<&Element> {
        self.children.iter().find(|c| c.is(ns, name))
    }
}

/// A stream's header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Whom it is for.
    pub to: Option<String>,
    /// Whom it is from.
    pub from: Option<String>,
    /// The version that it says.
    pub version: Option<String>,
    /// The name of its tag as it is written: the closing tag has to be the same.
    pub tag: String,
    /// The default namespace that it declares.
    pub default_namespace: Option<String>,
}

/// A part of a stream that may not be cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unit {
    /// The stream's start.
    Header(Header),
    /// A whole element below it. Where no content is kept it has its names and attributes only, and a stanza of the
    /// client's namespace has not even those.
    Element(Element),
    /// White space between elements: a sign of life.
    Whitespace,
    /// The stream's end.
    End,
}

/// Reads one stream of one direction.
pub struct Framer {
    parser: Parser,
    bounds: Bounds,
    /// Whether elements are kept with what is in them.
    keep: bool,
    depth: usize,
    /// Bytes of the unit that is being read.
    unit: usize,
    /// Bytes that the parser has taken since its last event, and beyond it.
    taken: usize,
    /// Bytes of the next call that the parser has taken already: behind text it takes the `<` as well.
    skip: usize,
    /// The header's bytes, until it is whole: its namespaces are read from them.
    head: Vec<u8>,
    /// The elements that are open, outermost first, without the stream.
    open: Vec<Element>,
    /// Whether the content of the one below the stream is kept. That of the stream's own always is: an error's
    /// condition stands there.
    keeps: bool,
    /// Whether stanzas of the plainest form may pass the parser by: their namespace is known.
    quick: bool,
    /// Whether the parser has just taken a tag and nothing behind it: text may pass it by.
    fresh: bool,
    /// The last byte that the parser has taken.
    last: u8,
    /// The first bytes of a character of such text whose others have not come.
    split: Vec<u8>,
    /// What ended the reading.
    dead: Option<Condition>,
    over: bool,
}

impl std::fmt::Debug for Framer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "Framer at depth {}, {} bytes of a unit",
            self.depth, self.unit
        )
    }
}

impl Framer {
    /// For a stream that has not begun; `keep` has elements kept with what is in them.
    pub fn new(bounds: Bounds, keep: bool) -> Framer {
        let options = Options {
            max_token_length: bounds.token,
            ..Options::default()
        };
        let mut parser = Parser::with_options(options);
        // A sign of life must go on at once, not with the next stanza.
        parser.set_text_buffering(false);
        let (head, open) = (Vec::new(), Vec::new());
        Framer {
            parser,
            bounds,
            keep,
            depth: 0,
            unit: 0,
            taken: 0,
            skip: 0,
            head,
            open,
            keeps: keep,
            quick: false,
            fresh: false,
            last: 0,
            split: Vec::new(),
            dead: None,
            over: false,
        }
    }

    /// Whether no unit has begun that has not ended.
    pub fn at_unit_boundary(&self) -> bool {
        self.unit == 0
    }

    /// Reads on, up to the end of the next unit: how many bytes were read, and the unit if it is whole. All
    /// bytes are read where none is. The next call is given what follows. An error stays.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(usize, Option<Unit>), Condition> {
        if let Some(dead) = self.dead {
            return Err(dead);
        }
        let result = self.read(bytes);
        if let Err(condition) = result {
            self.dead = Some(condition);
            self.open = Vec::new();
        }
        result
    }

    fn read(&mut self, bytes: &[u8]) -> Result<(usize, Option<Unit>), Condition> {
        if bytes.is_empty() {
            return Ok((0, None));
        }
        if self.over {
            // Behind its end a stream has nothing but white space.
            let space = bytes.iter().all(|b| b.is_ascii_whitespace());
            return if space {
                Ok((bytes.len(), Some(Unit::Whitespace)))
            } else {
                Err(Condition::NotWellFormed)
            };
        }
        let ordinary = self.quick && self.depth == 1 && self.unit == 0 && bytes[0] == b'<';
        if let Some(n) = ordinary
            .then(|| fast_path::element(bytes, &self.bounds))
            .flatten()
        {
            return Ok((n, Some(Unit::Element(Element::default()))));
        }
        let skip = std::mem::take(&mut self.skip).min(bytes.len());
        let mut rest = &bytes[skip..];
        loop {
            if self.fresh && self.depth > 1 && !self.keeps {
                let n = self.plain(rest)?;
                self.unit += n;
                rest = &rest[n..];
                if self.unit > self.bounds.stanza {
                    return Err(Condition::PolicyViolation);
                }
                if rest.is_empty() {
                    return Ok((bytes.len(), None));
                }
            }
            let before = rest.len();
            let event = self.parser.parse(&mut rest, false);
            let used = before - rest.len();
            let at = bytes.len() - before;
            let empty = self.ends_empty(&bytes[at..at + used]);
            (self.unit, self.taken) = (self.unit + used, self.taken + used);
            if self.depth == 0 {
                self.head.extend_from_slice(&bytes[at..at + used]);
            }
            let most = if self.depth == 0 {
                self.bounds.header
            } else {
                self.bounds.stanza
            };
            if self.unit > most {
                return Err(Condition::PolicyViolation);
            }
            let unit = match event {
                Ok(Some(event)) => {
                    // Tags end with their last byte. Between units text is white space, a byte a character; of
                    // other text the parser counts a character that came in two parts too low.
                    self.taken = match &event {
                        Event::Text(metrics, _) if self.depth == 1 => {
                            self.taken.saturating_sub(metrics.len())
                        }
                        _ => 0,
                    };
                    // Behind `<a/>` the parser has the end still to tell.
                    self.fresh = match &event {
                        Event::StartElement(..) => !empty,
                        Event::EndElement(_) => true,
                        _ => false,
                    };
                    self.event(event)?
                }
                Ok(None) => return Err(Condition::NotWellFormed),
                Err(EndOrError::NeedMoreData) if rest.is_empty() => return Ok((bytes.len(), None)),
                Err(EndOrError::NeedMoreData) if used == 0 => return Err(Condition::NotWellFormed),
                Err(EndOrError::NeedMoreData) => continue,
                Err(EndOrError::Error(e)) => return Err(condition(&e)),
            };
            if let Some(unit) = unit {
                // What the parser has taken of the next unit is that one's.
                (self.unit, self.skip) = (self.taken, self.taken);
                return Ok((bytes.len() - rest.len() - self.taken, Some(unit)));
            }
        }
    }

    /// Lets go of memory that is needed only while units come.
    pub fn release_idle_memory(&mut self) {
        if self.unit == 0 {
            self.parser.release_temporaries();
        }
    }

    /// Whether the bytes that the parser has just taken end a tag that is its own end.
    fn ends_empty(&mut self, taken: &[u8]) -> bool {
        let [.., last] = taken else { return false };
        let before = if let [.., before, _] = taken {
            *before
        } else {
            self.last
        };
        self.last = *last;
        (before, *last) == (b'/', b'>')
    }

    /// How many bytes at the front are plain text, which needs no parser: all up to a `<`, or up to what only the
    /// parser can judge (`&`, and `]`, which may begin `]]>`). Most bytes of long stanzas are such.
    fn plain(&mut self, bytes: &[u8]) -> Result<usize, Condition> {
        let found = memchr::memchr3(b'<', b'&', b']', bytes);
        let text = &bytes[..found.unwrap_or(bytes.len())];
        let bad = Err(Condition::NotWellFormed);
        if !plain(text) {
            return bad;
        }
        let mut rest = text;
        while !self.split.is_empty() && !rest.is_empty() {
            self.split.push(rest[0]);
            rest = &rest[1..];
            match std::str::from_utf8(&self.split) {
                Ok(c) if !allowed(c) => return bad,
                Ok(_) => self.split.clear(),
                Err(e) if e.error_len().is_some() => return bad,
                Err(_) => {}
            }
        }
        match std::str::from_utf8(rest) {
            Ok(text) if allowed(text) => {}
            Ok(_) => return bad,
            Err(e) if e.error_len().is_some() => return bad,
            Err(e) => {
                let (whole, split) = rest.split_at(e.valid_up_to());
                if !std::str::from_utf8(whole).is_ok_and(allowed) {
                    return bad;
                }
                self.split.extend_from_slice(split);
            }
        }
        match found {
            // A character that does not end before a tag does not end.
            Some(_) if !self.split.is_empty() => bad,
            Some(at) => {
                // The parser reads on up to the next tag.
                self.fresh = false;
                Ok(at)
            }
            None => Ok(text.len()),
        }
    }

    fn event(&mut self, event: Event) -> Result<Option<Unit>, Condition> {
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
                    let (tag, default_namespace) =
                        declared(&std::mem::take(&mut self.head), self.bounds.token);
                    self.quick = !self.keep && default_namespace.as_deref() == Some(NS_CLIENT);
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
                    self.keeps = self.keep || ns.as_str() == NS_STREAMS;
                }
                if self.depth == 2 && !self.keeps && ns.as_str() == NS_CLIENT {
                    // An ordinary stanza: nobody asks more of it.
                    self.open.push(Element::default());
                } else if self.depth == 2 || self.keeps {
                    let plain = attributes.iter().filter(|((ns, _), _)| ns.is_empty());
                    let attributes = plain
                        .map(|((_, n), v)| (n.to_string(), v.to_string()))
                        .collect();
                    let (ns, name) = (ns.to_string(), name.to_string());
                    self.open.push(Element {
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
                        self.over = true;
                        Ok(Some(Unit::End))
                    }
                    1 => Ok(self.open.pop().map(Unit::Element)),
                    _ if self.keeps => {
                        if let (Some(child), Some(parent)) = (self.open.pop(), self.open.last_mut())
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
                if let (true, Some(element)) = (self.keeps, self.open.last_mut()) {
                    element.text.push_str(&text);
                }
                Ok(None)
            }
        }
    }
}

/// Whether a text has no control character that XML forbids.
pub(super) fn plain(text: &[u8]) -> bool {
    !text.iter().fold(false, |bad, &b| {
        bad | (b < b' ' && b != b'\t' && b != b'\n' && b != b'\r')
    })
}

/// Whether a text has none of the two characters beyond control characters that XML forbids.
pub(super) fn allowed(text: &str) -> bool {
    memchr::memchr(0xef, text.as_bytes()).is_none() || !text.contains(['\u{fffe}', '\u{ffff}'])
}

/// The stream error that a fault of the XML is answered with.
fn condition(e: &rxml::Error) -> Condition {
    match e {
        rxml::Error::RestrictedXml(what) if what.contains("long") => Condition::PolicyViolation,
        rxml::Error::RestrictedXml(_) | rxml::Error::UndeclaredEntity => Condition::RestrictedXml,
        // `<!` and neither CDATA nor a comment: a DTD.
        rxml::Error::InvalidSyntax(what) if what.contains("section start") => {
            Condition::RestrictedXml
        }
        _ => Condition::NotWellFormed,
    }
}

/// The tag of a header as it is written, and the default namespace that it declares. `rxml` resolves names and
/// keeps neither.
fn declared(mut head: &[u8], token: usize) -> (String, Option<String>) {
    let options = Options {
        max_token_length: token,
        ..Options::default()
    };
    let mut parser = RawParser::with_options(options);
    let (mut tag, mut content) = (String::new(), None);
    while let Ok(Some(event)) = parser.parse(&mut head, false) {
        match event {
            RawEvent::ElementHeadOpen(_, (prefix, name)) => {
                tag = prefix.map(|p| format!("{p}:")).unwrap_or_default() + &name;
            }
            RawEvent::Attribute(_, (None, name), value) if name.as_str() == "xmlns" => {
                content = Some(value)
            }
            RawEvent::ElementHeadClose(_) => break,
            _ => {}
        }
    }
    (tag, content)
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEADER: &str = "<?xml version='1.0'?><stream:stream xmlns='jabber:client' \
        xmlns:stream='http://etherx.jabber.org/streams' to='a.example' version='1.0'>";

    /// All units of a text that comes in pieces of that many bytes, each with the offset of its end.
    fn units(text: &[u8], step: usize, bounds: Bounds) -> Result<Vec<(usize, Unit)>, Condition> {
        let (mut framer, mut units, mut at) = (Framer::new(bounds, true), Vec::new(), 0);
        for piece in text.chunks(step.max(1)) {
            let mut piece = piece;
            while !piece.is_empty() {
                let (n, unit) = framer.feed(piece)?;
                at += n;
                units.extend(unit.map(|unit| (at, unit)));
                piece = &piece[n..];
            }
        }
        Ok(units)
    }

    #[test]
    fn units_end_at_the_same_bytes_however_the_stream_is_cut() {
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
                "nothing ends behind {end}: {ends:?}"
            );
        }
        let solid = |all: Vec<(usize, Unit)>| -> Vec<(usize, Unit)> {
            all.into_iter()
                .filter(|(_, unit)| *unit != Unit::Whitespace)
                .collect()
        };
        let whole = solid(whole);
        assert_eq!(whole.len(), 5);
        for step in 1..text.len() {
            let cut = units(text.as_bytes(), step, Bounds::default()).unwrap();
            assert_eq!(solid(cut), whole, "pieces of {step} bytes");
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
    fn what_streams_may_not_have_is_named() {
        let deep = "<a>".repeat(100);
        let wide: String = (0..100).map(|n| format!(" a{n}=''")).collect();
        let long = format!("<a b='{}", "x".repeat(9_000));
        let text = format!("<a>{}", "x".repeat(300 * 1024));
        let laughs = "<!DOCTYPE a [<!ENTITY b 'ha'>]>";
        use Condition::*;
        let cases: &[(&str, &str, Condition)] = &[
            (HEADER, "<!-- a -->", RestrictedXml),
            (HEADER, "<?php ?>", RestrictedXml),
            (HEADER, "<a>&lol;</a>", RestrictedXml),
            ("", laughs, RestrictedXml),
            (HEADER, laughs, RestrictedXml),
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

    /// Text that passes the parser by is judged as the parser would.
    #[test]
    fn plain_text_is_held_to_the_same_rules() {
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
            let judged = read(text, tail, true, 1 << 20);
            for step in 1..40 {
                assert_eq!(
                    read(text, tail, false, step),
                    judged,
                    "{text} {tail:?} in pieces of {step}"
                );
            }
        }
    }

    /// An attribute of 60 MB is refused long before it has come.
    #[test]
    fn nothing_large_is_held_before_it_is_refused() {
        let mut framer = Framer::new(Bounds::default(), false);
        assert!(framer.feed(HEADER.as_bytes()).is_ok() && framer.feed(b"<a b='").is_ok());
        let piece = [b'x'; 1024];
        let taken = (0..60 * 1024)
            .take_while(|_| framer.feed(&piece).is_ok())
            .count();
        assert!(taken <= 8, "{taken} KiB");
        assert_eq!(framer.feed(b"'/>"), Err(Condition::PolicyViolation));
    }
}
