//! JIDs (RFC 6122), as far as placement needs them: all spellings of one bare JID must have the
//! same home. The relay grants no rights by a JID; the server authenticates the user.

use std::fmt;

/// The longest part of a JID, in bytes (RFC 6122, 2.1).
const MAX_PART_BYTES: usize = 1023;

/// A JID with its parts prepared by their stringprep profiles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Jid {
    /// The localpart; a server's JID has none.
    pub local: Option<String>,
    /// The domainpart.
    pub domain: String,
    /// The resourcepart, as received.
    pub resource: Option<String>,
}

/// The part, if it is not empty and not too long.
fn checked(part: &str) -> Option<&str> {
    (!part.is_empty() && part.len() <= MAX_PART_BYTES).then_some(part)
}

/// Prepares a domainpart: lower case, without the final dot. Internationalized names are kept in
/// the form received, ASCII-compatible or Unicode, after `nameprep`.
pub fn prepare_domain(text: &str) -> Option<String> {
    let text = checked(text.strip_suffix('.').unwrap_or(text))?;
    let name = stringprep::nameprep(text).ok()?.to_lowercase();
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '.' | '-' | ':' | '[' | ']');
    (checked(&name).is_some() && name.chars().all(allowed)).then_some(name)
}

/// Prepares a localpart with `nodeprep`.
pub fn prepare_local(text: &str) -> Option<String> {
    let name = stringprep::nodeprep(checked(text)?).ok()?.into_owned();
    checked(&name).is_some().then_some(name)
}

impl Jid {
    /// Parses a JID; `None` if it is not valid.
    pub fn parse(text: &str) -> Option<Jid> {
        let (bare, resource) = match text.split_once('/') {
            Some((bare, resource)) => (bare, Some(checked(resource)?.to_string())),
            None => (text, None),
        };
        let (local, domain) = match bare.split_once('@') {
            Some((local, domain)) => (Some(prepare_local(local)?), domain),
            None => (None, bare),
        };
        Some(Jid {
            local,
            domain: prepare_domain(domain)?,
            resource,
        })
    }

    /// The bare JID: without the resourcepart.
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
    fn all_spellings_of_a_jid_have_one_bare_form() {
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
    fn invalid_jids_are_refused() {
        let long = format!("{}@b", "x".repeat(1024));
        for text in [
            "", "@b", "a@", "a@b/", "a b@c", "a@b c", "a\"@b", "a@b<c", "/r", &long,
        ] {
            assert_eq!(Jid::parse(text), None, "{text}");
        }
    }
}
