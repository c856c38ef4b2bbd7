//! Addresses (RFC 6122), as far as placement needs them: two spellings of one bare JID must find one home. The
//! relay grants nothing by an address; who may log in is the server's to say.

use std::fmt;

/// The longest part of an address, in bytes.
const LONGEST: usize = 1023;

/// An address in its prepared form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Jid {
    /// The local part; none in the address of a server.
    pub local: Option<String>,
    /// The domain.
    pub domain: String,
    /// The resource.
    pub resource: Option<String>,
}

fn bounded(part: &str) -> Option<&str> {
    (!part.is_empty() && part.len() <= LONGEST).then_some(part)
}

/// A domain in its prepared form: lower case, without the final dot. Internationalised names are taken as they
/// are written, ASCII or not, after `nameprep`.
pub fn domain(text: &str) -> Option<String> {
    let text = bounded(text.strip_suffix('.').unwrap_or(text))?;
    let name = stringprep::nameprep(text).ok()?.to_lowercase();
    let sound = |c: char| c.is_alphanumeric() || matches!(c, '.' | '-' | ':' | '[' | ']');
    (bounded(&name).is_some() && name.chars().all(sound)).then_some(name)
}

/// A local part in its prepared form.
pub fn local(text: &str) -> Option<String> {
    let name = stringprep::nodeprep(bounded(text)?).ok()?.into_owned();
    bounded(&name).is_some().then_some(name)
}

impl Jid {
    /// Reads an address; none where it is no address.
    pub fn parse(text: &str) -> Option<Jid> {
        let (bare, resource) = match text.split_once('/') {
            Some((bare, resource)) => (bare, Some(bounded(resource)?.to_string())),
            None => (text, None),
        };
        let (name, host) = match bare.split_once('@') {
            Some((name, host)) => (Some(local(name)?), host),
            None => (None, bare),
        };
        Some(Jid {
            local: name,
            domain: domain(host)?,
            resource,
        })
    }

    /// The address without its resource.
    pub fn bare(&self) -> String {
        match &self.local {
            Some(local) => format!("{local}@{}", self.domain),
            None => self.domain.clone(),
        }
    }
}

impl fmt::Display for Jid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.bare())?;
        self.resource.iter().try_for_each(|r| write!(f, "/{r}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_person_has_one_bare_address_however_it_is_written() {
        for text in [
            "Ali.Site7@HAZRI1.example.org",
            "ali.site7@hazri1.example.org./Phone",
            "ＡＬＩ.site7@hazri1.example.org",
        ] {
            assert_eq!(
                Jid::parse(text).unwrap().bare(),
                "ali.site7@hazri1.example.org",
                "{text}"
            );
        }
        assert_eq!(Jid::parse("a@b/c/d@e").unwrap().to_string(), "a@b/c/d@e");
        assert_eq!(Jid::parse("example.org").unwrap().local, None);
    }

    #[test]
    fn what_is_no_address_is_refused() {
        let long = format!("{}@b", "x".repeat(1024));
        for text in [
            "", "@b", "a@", "a@b/", "a b@c", "a@b c", "a\"@b", "a@b<c", "/r", &long,
        ] {
            assert_eq!(Jid::parse(text), None, "{text}");
        }
    }
}
