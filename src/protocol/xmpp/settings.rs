//! The settings of the XMPP front in an operator file: domains, classes, bounds and timeouts. A
//! stream keeps the settings under which it was admitted.

use super::frame::Bounds;
use super::jid::{self, Jid};
use crate::cells::group_key;
use crate::config::operator::{self, OperatorError, OperatorFile, Xmpp};
use crate::config::Classes;
use crate::decisions::api::{Micros, Request, SECOND};

/// How a session's group is chosen. The sessions of one group are kept together, because a server
/// has a cost for each group of which it holds any session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// The domain is the group.
    #[default]
    Domain,
    /// No group: each session has its own home.
    None,
    /// The part of the localpart after the last such character, for example the site in
    /// `ali.site7`; all of it if there is no such character.
    LocalAfter(char),
    /// The part of the localpart before the first such character.
    LocalBefore(char),
}

/// A pattern in which `*` matches any number of characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern(pub String);

impl Pattern {
    /// Whether the whole text matches.
    pub fn matches(&self, text: &str) -> bool {
        let mut parts = self.0.split('*');
        let first = parts.next().unwrap_or_default();
        let Some(mut rest) = text.strip_prefix(first) else {
            return false;
        };
        let mut parts: Vec<&str> = parts.collect();
        let Some(last) = parts.pop() else {
            return rest.is_empty();
        };
        for part in parts {
            match rest.find(part) {
                Some(at) => rest = &rest[at + part.len()..],
                None => return false,
            }
        }
        rest.len() >= last.len() && rest.ends_with(last)
    }
}

/// The class and the deadline of the sessions of some JIDs. The first rule that matches applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// The domainpart; any if not set.
    pub domain: Option<String>,
    /// The localpart; any if not set.
    pub local: Option<Pattern>,
    /// The resourcepart, if the client names one in its stream header; any if not set.
    pub resource: Option<Pattern>,
    /// The name of the class.
    pub class: String,
    /// The deadline of the request; that of the class if not set.
    pub deadline: Option<Micros>,
}

impl ClassRule {
    fn matches(&self, jid: &Jid) -> bool {
        let part = |pattern: &Option<Pattern>, part: &Option<String>| {
            pattern
                .as_ref()
                .is_none_or(|p| part.as_ref().is_some_and(|part| p.matches(part)))
        };
        self.domain.as_ref().is_none_or(|d| *d == jid.domain)
            && part(&self.local, &jid.local)
            && part(&self.resource, &jid.resource)
    }
}

/// How connections to servers are secured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Security {
    /// Not at all: for servers within a trusted network.
    #[default]
    Plain,
    /// STARTTLS; nothing else is sent to a server that does not offer it.
    StartTls,
    /// TLS from the first byte (XEP-0368).
    Direct,
}

/// The settings of the XMPP front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct XmppSettings {
    /// The domains served, in prepared form.
    pub domains: Vec<String>,
    /// The SASL mechanisms offered, the preferred one first.
    pub mechanisms: Vec<String>,
    /// Bounds of the streams read.
    pub bounds: Bounds,
    /// The longest wait for one step of a client's stream negotiation.
    pub step_timeout: Micros,
    /// The longest time for a client's whole stream negotiation.
    pub negotiation_timeout: Micros,
    /// How long a server may take to finish its output before its session migrates.
    pub finish_timeout: Micros,
    /// A server is lost that leaves a request for acknowledgement (`<r/>`, XEP-0198), a SASL
    /// response or a stream header unanswered for longer.
    pub response_timeout: Micros,
    /// How a session's group is chosen.
    pub group: Group,
    /// Classes and deadlines of sessions.
    pub class_rules: Vec<ClassRule>,
    /// How connections to servers are secured.
    pub security: Security,
    /// The host in the `<see-other-host/>` that a client gets at a migration, in place of
    /// `<system-shutdown/>`.
    pub see_other_host: Option<String>,
}

impl Default for XmppSettings {
    fn default() -> Self {
        XmppSettings {
            domains: Vec::new(),
            mechanisms: ["SCRAM-SHA-256", "SCRAM-SHA-1", "PLAIN"]
                .map(String::from)
                .to_vec(),
            bounds: Bounds::default(),
            step_timeout: 5 * SECOND,
            negotiation_timeout: 15 * SECOND,
            finish_timeout: SECOND / 2,
            response_timeout: 10 * SECOND,
            group: Group::Domain,
            class_rules: Vec::new(),
            security: Security::Plain,
            see_other_host: None,
        }
    }
}

/// A number of the operator file, checked against its range.
fn check_range(
    file: &OperatorFile,
    key: &str,
    set: Option<u64>,
    least: u64,
    most: u64,
) -> Result<Option<u64>, OperatorError> {
    match set {
        Some(n) if !(least..=most).contains(&n) => Err(file.error(
            &format!("xmpp.{key}"),
            format!("is {n}, outside {least} to {most}"),
        )),
        set => Ok(set),
    }
}

/// Mechanisms whose credentials can be forwarded unchanged although TLS ends at the relay: none
/// with channel binding.
const SUPPORTED_MECHANISMS: [&str; 3] = ["SCRAM-SHA-256", "SCRAM-SHA-1", "PLAIN"];

impl XmppSettings {
    /// Checks `[xmpp]` of an operator file; `classes` are those of the platform's settings.
    pub fn from_operator_file(
        file: &OperatorFile,
        x: &Xmpp,
        classes: &Classes,
    ) -> Result<XmppSettings, OperatorError> {
        let mut settings = XmppSettings::default();
        let error = |key: &str, what: String| Err(file.error(&format!("xmpp.{key}"), what));
        if x.listen.is_none() && x.listen_tls.is_none() {
            return error(
                "listen",
                "there is no address to listen on: neither listen nor listen_tls is set".into(),
            );
        }
        for (n, domain) in x.domain.iter().enumerate() {
            match jid::prepare_domain(&domain.name) {
                None => {
                    return error(
                        &format!("domain[{n}].name"),
                        format!("'{}' is no domain", domain.name),
                    )
                }
                Some(name) if settings.domains.contains(&name) => {
                    return error(
                        &format!("domain[{n}].name"),
                        format!("'{name}' is there twice"),
                    )
                }
                Some(name) => settings.domains.push(name),
            }
        }
        if settings.domains.is_empty() {
            return error("domain", "no domain is served".into());
        }
        if let Some(list) = &x.mechanisms {
            if let Some(other) = list
                .iter()
                .find(|m| !SUPPORTED_MECHANISMS.contains(&m.as_str()))
            {
                let known = SUPPORTED_MECHANISMS.join(", ");
                return error(
                    "mechanisms",
                    format!("'{other}' cannot be forwarded; the mechanisms {known} can"),
                );
            }
            if list.is_empty() {
                return error("mechanisms", "is empty: nobody could log in".into());
            }
            settings.mechanisms.clone_from(list);
        }
        let separator = |text: &str| {
            let mut chars = text.chars();
            chars
                .next()
                .filter(|c| chars.next().is_none() && !c.is_whitespace() && !c.is_alphanumeric())
        };
        settings.group = match x.group.split_once(':') {
            None if x.group == "domain" => Group::Domain,
            None if x.group == "none" => Group::None,
            Some(("local-after", c)) if separator(c).is_some() => {
                Group::LocalAfter(separator(c).unwrap_or('.'))
            }
            Some(("local-before", c)) if separator(c).is_some() => {
                Group::LocalBefore(separator(c).unwrap_or('.'))
            }
            _ => {
                let known = "domain, none, local-after:C or local-before:C with one punctuation character for C";
                return error("group", format!("'{}' is none of {known}", x.group));
            }
        };
        if x.class.is_empty() {
            return error(
                "class",
                "no class is set: sessions would have no deadline".into(),
            );
        }
        for (n, rule) in x.class.iter().enumerate() {
            if classes.find(&rule.class).is_none() {
                let known = classes.names().join(", ");
                return error(
                    &format!("class[{n}].class"),
                    format!("'{}' is none of {known}", rule.class),
                );
            }
            let domain = rule.domain.as_deref().map(jid::prepare_domain);
            if domain
                .as_ref()
                .is_some_and(|d| d.as_ref().is_none_or(|d| !settings.domains.contains(d)))
            {
                return error(
                    &format!("class[{n}].domain"),
                    "is none of the domains served".into(),
                );
            }
            let key = format!("class[{n}].deadline_ms");
            settings.class_rules.push(ClassRule {
                domain: domain.flatten(),
                local: rule.local.clone().map(Pattern),
                resource: rule.resource.clone().map(Pattern),
                class: rule.class.clone(),
                deadline: check_range(file, &key, rule.deadline_ms, 1, 3_600_000)?
                    .map(|ms| ms * 1_000),
            });
        }
        let last = x.class.len() - 1;
        let rest = &x.class[last];
        if rest.domain.is_some() || rest.local.is_some() || rest.resource.is_some() {
            let what = "the last class fits some sessions only: the others would have none";
            return error(&format!("class[{last}]"), what.into());
        }
        let bound = |key: &str, set: Option<usize>, default: usize, least: u64, most: u64| {
            let set = check_range(
                file,
                &format!("limits.{key}"),
                set.map(|n| n as u64),
                least,
                most,
            )?;
            Ok::<usize, OperatorError>(set.map_or(default, |n| n as usize))
        };
        let d = Bounds::default();
        settings.bounds = Bounds {
            header: bound("header_bytes", x.limits.header_bytes, d.header, 512, 65_536)?,
            // RFC 6120, 13.12: stanzas of up to 10,000 bytes must be accepted.
            stanza: bound(
                "stanza_bytes",
                x.limits.stanza_bytes,
                d.stanza,
                10_000,
                16 << 20,
            )?,
            token: bound("token_bytes", x.limits.token_bytes, d.token, 1_024, 1 << 20)?,
            depth: bound("depth", x.limits.depth, d.depth, 4, 1_024)?,
            attributes: bound("attributes", x.limits.attributes, d.attributes, 4, 1_024)?,
            kept_parts: d.kept_parts,
        };
        let time = |key: &str, set: Option<u64>, default: Micros, most: u64| {
            let set = check_range(file, &format!("times.{key}"), set, 10, most)?;
            Ok::<Micros, OperatorError>(set.map_or(default, |ms| ms * 1_000))
        };
        settings.step_timeout = time("step_ms", x.times.step_ms, settings.step_timeout, 120_000)?;
        settings.negotiation_timeout = time(
            "negotiation_ms",
            x.times.negotiation_ms,
            settings.negotiation_timeout,
            600_000,
        )?;
        settings.finish_timeout = time(
            "finish_ms",
            x.times.finish_ms,
            settings.finish_timeout,
            60_000,
        )?;
        settings.response_timeout = time(
            "silent_ms",
            x.times.silent_ms,
            settings.response_timeout,
            600_000,
        )?;
        settings.security = match x.servers.security {
            operator::Security::Plain => Security::Plain,
            operator::Security::StartTls => Security::StartTls,
            operator::Security::Tls => Security::Direct,
        };
        settings.see_other_host.clone_from(&x.see_other_host);
        Ok(settings)
    }

    /// The request of a session of this JID; `None` if its class is not in force.
    pub fn request(&self, jid: &Jid, classes: &Classes) -> Option<Request> {
        let rule = self.class_rules.iter().find(|rule| rule.matches(jid))?;
        let class = classes.find(&rule.class)?;
        let local = jid.local.as_deref().unwrap_or_default();
        let group = match self.group {
            Group::None => None,
            Group::Domain => Some(jid.domain.clone()),
            // The same site in two domains is two groups.
            Group::LocalAfter(c) => Some(format!("{}@{}", local.rsplit(c).next()?, jid.domain)),
            Group::LocalBefore(c) => Some(format!("{}@{}", local.split(c).next()?, jid.domain)),
        };
        Some(Request {
            class,
            client_key: group_key(&jid.bare()),
            group: group.map_or(0, |group| group_key(&group)),
            time_left: rule
                .deadline
                .unwrap_or_else(|| classes.deadline(class))
                .min(crate::decision_service::MAX_REQUEST_DEADLINE),
            ..Request::default()
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn patterns_match_whole_texts() {
        for (pattern, text, matches) in [
            ("phone-*", "phone-7", true),
            ("phone-*", "a phone-7", false),
            ("*", "", true),
            ("a*b*c", "a-b-b-c", true),
            ("a*b*c", "a-c", false),
            ("ab*ba", "aba", false),
            ("exact", "exact", true),
            ("exact", "exactly", false),
        ] {
            assert_eq!(
                Pattern(pattern.into()).matches(text),
                matches,
                "{pattern} {text}"
            );
        }
    }

    #[test]
    fn the_first_rule_that_matches_gives_class_and_deadline() {
        let classes = Classes::new([
            ("view".to_string(), 3_000_000),
            ("fix".to_string(), 1_800_000),
        ]);
        let rule =
            |domain: Option<&str>, resource: Option<&str>, class: &str, deadline| ClassRule {
                domain: domain.map(String::from),
                local: None,
                resource: resource.map(|r| Pattern(r.into())),
                class: class.into(),
                deadline,
            };
        let settings = XmppSettings {
            class_rules: vec![
                rule(Some("b.example"), None, "none", None),
                rule(None, Some("fix*"), "fix", Some(900_000)),
                rule(None, None, "view", None),
            ],
            group: Group::LocalAfter('.'),
            ..XmppSettings::default()
        };
        let request = |jid: &str| settings.request(&Jid::parse(jid).unwrap(), &classes);
        let (one, two) = (
            request("ali.site7@a.example/fix1").unwrap(),
            request("zia.site7@A.example").unwrap(),
        );
        assert_eq!((one.class, one.time_left), (1, 900_000));
        assert_eq!((two.class, two.time_left), (0, 3_000_000));
        assert_eq!(one.group, two.group);
        assert_ne!(one.client_key, two.client_key);
        assert_ne!(request("ali.site7@c.example").unwrap().group, one.group);
        // A class that is not in force.
        assert_eq!(request("ali@b.example"), None);
    }
}
