//! Finds the end of a stanza without the XML parser, for stanzas of the plainest form, which most
//! are: complete, with ASCII names without prefixes, without references and CDATA sections. The
//! parser can skip a stanza accepted here, because it is balanced and leaves no parser state
//! behind.
//!
//! This accepts a strict subset of what the parser accepts, with the same bounds. Anything else,
//! valid or not, is left to the parser, and only the parser refuses input. The tests compare both
//! on damaged input.

use super::frame::{has_no_control_chars, has_no_noncharacters, Bounds};

/// The deepest nesting and the most attributes of an element handled here; more is left to the
/// parser.
const MAX_ENTRIES: usize = 16;
/// The prefix of the namespaces that must not be declared (Namespaces in XML, 3); the parser knows
/// which they are.
const RESERVED_PREFIX: &[u8] = b"http://www.w3.org/";

/// The length of the name at the front; `None` if there is none.
fn name_len(bytes: &[u8]) -> Option<usize> {
    let first = bytes
        .first()
        .is_some_and(|b| b.is_ascii_alphabetic() || *b == b'_');
    let more = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
    first.then(|| bytes.iter().position(|b| !more(b)).unwrap_or(bytes.len()))
}

/// The length of the complete element at the front; `None` if only the parser can tell.
pub fn element_len(bytes: &[u8], bounds: &Bounds) -> Option<usize> {
    let mut open: [&[u8]; MAX_ENTRIES] = [&[]; MAX_ENTRIES];
    let (mut depth, mut at) = (0, 0);
    loop {
        // Skips the `<`.
        at += 1;
        if bytes.get(at)? == &b'/' {
            let tag = bytes.get(at + 1..)?;
            let n = name_len(tag)?;
            if depth == 0 || open[depth - 1] != &tag[..n] || tag.get(n)? != &b'>' {
                return None;
            }
            (depth, at) = (depth - 1, at + n + 2);
        } else {
            let n = name_len(&bytes[at..]).filter(|n| *n <= bounds.token)?;
            let tag = &bytes[at..at + n];
            at = attributes_end(bytes, at + n, depth == 0, bounds)?;
            if depth + 2 > bounds.depth {
                return None;
            }
            match bytes.get(at)? {
                b'/' if bytes.get(at + 1)? == &b'>' => at += 2,
                b'>' if depth < MAX_ENTRIES => {
                    open[depth] = tag;
                    (depth, at) = (depth + 1, at + 1);
                }
                _ => return None,
            }
        }
        if depth == 0 {
            break;
        }
        let text = &bytes[at..];
        let n = memchr::memchr3(b'<', b'&', b']', text).filter(|n| text[*n] == b'<')?;
        if !has_no_control_chars(&text[..n]) {
            return None;
        }
        at += n;
    }
    let accepted =
        at <= bounds.stanza && std::str::from_utf8(&bytes[..at]).is_ok_and(has_no_noncharacters);
    accepted.then_some(at)
}

/// The position after the attributes that begin at `at`. `top` says that they belong to the stanza
/// itself.
fn attributes_end(bytes: &[u8], mut at: usize, top: bool, bounds: &Bounds) -> Option<usize> {
    let mut names: [&[u8]; MAX_ENTRIES] = [&[]; MAX_ENTRIES];
    for count in 0.. {
        let space = bytes[at..].iter().position(|b| *b != b' ')?;
        at += space;
        if matches!(bytes[at], b'>' | b'/') {
            return Some(at);
        }
        let n = name_len(&bytes[at..]).filter(|n| *n <= bounds.token)?;
        let key = &bytes[at..at + n];
        if space == 0
            || count >= MAX_ENTRIES
            || count >= bounds.attributes
            || names[..count].contains(&key)
        {
            return None;
        }
        names[count] = key;
        let rest = bytes.get(at + n..)?;
        let (Some(b'='), Some(quote @ (b'\'' | b'"'))) = (rest.first(), rest.get(1)) else {
            return None;
        };
        let value_len =
            memchr::memchr3(*quote, b'<', b'&', &rest[2..]).filter(|n| rest[2 + n] == *quote)?;
        let value = &rest[2..2 + value_len];
        // An element that declares its own namespace may be one that the caller needs by name (a
        // stream error, XEP-0198): only the parser gives the name.
        let declares =
            key == b"xmlns" && (top || value.is_empty() || value.starts_with(RESERVED_PREFIX));
        if declares || value_len > bounds.token || value.iter().any(|b| *b < b' ') {
            return None;
        }
        at += n + 2 + value_len + 1;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn plain_stanzas_are_accepted_and_all_others_are_left_to_the_parser() {
        let b = Bounds::default();
        for text in [
            "<message/>",
            "<message to='a' id=\"1\"><body>x é</body><x xmlns='jabber:x'/></message>",
            "<iq  type='set' ><query xmlns='q'><item a='>'/> </query></iq>",
        ] {
            assert_eq!(
                element_len(format!("{text}<more").as_bytes(), &b),
                Some(text.len()),
                "{text}"
            );
            for cut in 1..text.len() {
                assert_eq!(
                    element_len(&text.as_bytes()[..cut], &b),
                    None,
                    "{}",
                    &text[..cut.min(9)]
                );
            }
        }
        let deep = "<a>".repeat(20) + &"</a>".repeat(20);
        let (long, wide) = (
            format!("<a b='{}'/>", "x".repeat(9000)),
            "<a a='' b='' a=''/>",
        );
        for text in [
            "<a>&amp;</a>",
            "<a>]]></a>",
            "<a></b>",
            "<p:a/>",
            "<a xml:lang='en'/>",
            "<a xmlns='x'/>",
            "<a b='<'/>",
            "<a b=''c=''/>",
            "<a b/>",
            "<a><!-- --></a>",
            "<a>\u{1}</a>",
            "<a>\u{ffff}</a>",
            "<a b='\t'/>",
            "<1/>",
            "<a><b xmlns=''/></a>",
            "<a><b xmlns='http://www.w3.org/2000/xmlns/'/></a>",
            "<a / >",
            "</a>",
            wide,
            &deep,
            &long,
        ] {
            assert_eq!(element_len(text.as_bytes(), &b), None, "{text}");
        }
        assert_eq!(element_len(b"<a>\xff</a>", &b), None);
    }
}
