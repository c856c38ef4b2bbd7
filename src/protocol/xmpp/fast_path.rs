//! A quick look at stanzas of the plainest form, which most are: whole, ASCII names without prefixes, no references,
//! no sections. The parser need not read one that passes, since it is balanced and leaves no state behind.
//!
//! What is accepted here is a strict part of what the parser accepts, within the same bounds; anything else, sound
//! or not, is left to the parser, whose word alone refuses. The tests hold both against each other on damaged input.

use super::frame::{allowed, plain, Bounds};

/// The deepest nesting and the most attributes that are looked at; more is the parser's.
const MOST: usize = 16;
/// Namespaces that may not be declared begin with this; the parser knows which.
const RESERVED: &[u8] = b"http://www.w3.org/";

fn name(bytes: &[u8]) -> Option<usize> {
    let first = bytes
        .first()
        .is_some_and(|b| b.is_ascii_alphabetic() || *b == b'_');
    let more = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
    first.then(|| bytes.iter().position(|b| !more(b)).unwrap_or(bytes.len()))
}

/// How many bytes the whole element at the front has; none where that is for the parser to say.
pub fn element(bytes: &[u8], bounds: &Bounds) -> Option<usize> {
    let mut open: [&[u8]; MOST] = [&[]; MOST];
    let (mut depth, mut at) = (0, 0);
    loop {
        // Behind a `<`.
        at += 1;
        if bytes.get(at)? == &b'/' {
            let tag = bytes.get(at + 1..)?;
            let n = name(tag)?;
            if depth == 0 || open[depth - 1] != &tag[..n] || tag.get(n)? != &b'>' {
                return None;
            }
            (depth, at) = (depth - 1, at + n + 2);
        } else {
            let n = name(&bytes[at..]).filter(|n| *n <= bounds.token)?;
            let tag = &bytes[at..at + n];
            at = attributes(bytes, at + n, depth == 0, bounds)?;
            if depth + 2 > bounds.depth {
                return None;
            }
            match bytes.get(at)? {
                b'/' if bytes.get(at + 1)? == &b'>' => at += 2,
                b'>' if depth < MOST => {
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
        if !plain(&text[..n]) {
            return None;
        }
        at += n;
    }
    let sound = at <= bounds.stanza && std::str::from_utf8(&bytes[..at]).is_ok_and(allowed);
    sound.then_some(at)
}

/// Where the attributes end that begin here.
fn attributes(bytes: &[u8], mut at: usize, top: bool, bounds: &Bounds) -> Option<usize> {
    let mut names: [&[u8]; MOST] = [&[]; MOST];
    for count in 0.. {
        let space = bytes[at..].iter().position(|b| *b != b' ')?;
        at += space;
        if matches!(bytes[at], b'>' | b'/') {
            return Some(at);
        }
        let n = name(&bytes[at..]).filter(|n| *n <= bounds.token)?;
        let key = &bytes[at..at + n];
        if space == 0
            || count >= MOST
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
        let n2 =
            memchr::memchr3(*quote, b'<', b'&', &rest[2..]).filter(|n| rest[2 + n] == *quote)?;
        let value = &rest[2..2 + n2];
        // A stanza in a namespace of its own is looked at by its name, which the parser gives.
        let declares = key == b"xmlns" && (top || value.is_empty() || value.starts_with(RESERVED));
        if declares || n2 > bounds.token || value.iter().any(|b| *b < b' ') {
            return None;
        }
        at += n + 2 + n2 + 1;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn plain_stanzas_pass_and_all_else_is_left_to_the_parser() {
        let b = Bounds::default();
        for text in [
            "<message/>",
            "<message to='a' id=\"1\"><body>x é</body><x xmlns='jabber:x'/></message>",
            "<iq  type='set' ><query xmlns='q'><item a='>'/> </query></iq>",
        ] {
            assert_eq!(
                element(format!("{text}<more").as_bytes(), &b),
                Some(text.len()),
                "{text}"
            );
            for cut in 1..text.len() {
                assert_eq!(
                    element(&text.as_bytes()[..cut], &b),
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
            assert_eq!(element(text.as_bytes(), &b), None, "{text}");
        }
        assert_eq!(element(b"<a>\xff</a>", &b), None);
    }
}
