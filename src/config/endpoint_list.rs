//! The list of backends as discovery and the configuration write it.

use crate::decisions::api::{EndpointId, EndpointState, ListedEndpoint, Micros};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use std::net::SocketAddr;

/// The deepest nesting of JSON that is read: a deeper one could overflow a thread's stack.
const MAX_DEPTH: usize = 32;

/// A backend as the network knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendAddress {
    /// Its id in words.
    pub name: String,
    /// Where this relay reaches it.
    pub addr: SocketAddr,
}

/// One object of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version of the list with these entries.
    pub version: u64,
    /// Whether it names all backends, or the changed ones only.
    pub full: bool,
    /// The entries that could be read.
    pub servers: Vec<(BackendAddress, ListedEndpoint)>,
    /// What is wrong with the others.
    pub problems: Vec<String>,
}

/// The number of a backend: the same at every relay, for the same id (FNV-1a).
pub fn endpoint_id(name: &str) -> EndpointId {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    EndpointId(hash)
}

/// Refuses JSON that is nested too deeply.
pub fn check_nesting(text: &[u8]) -> Result<(), String> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for &b in text {
        match b {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(format!("JSON is nested more than {MAX_DEPTH} deep"));
        }
    }
    Ok(())
}

/// Reads one object of discovery. An entry that cannot be read is left out and named.
pub fn parse_list_update(value: &Value, zones: &[String]) -> Result<ListUpdate, String> {
    let version = value
        .get("version")
        .and_then(|v| v.as_u64())
        .ok_or("version: is not a whole number")?;
    let full = value
        .get("full")
        .and_then(|v| v.as_bool())
        .ok_or("full: is not true or false")?;
    let list = value
        .get("servers")
        .and_then(|v| v.as_array())
        .ok_or("servers: is not a list")?;
    let mut listing = ListUpdate {
        version,
        full,
        servers: Vec::new(),
        problems: Vec::new(),
    };
    for (i, value) in list.iter().enumerate() {
        match entry(value, zones) {
            Ok(entry) => listing.servers.push(entry),
            Err(e) => listing.problems.push(format!("servers[{i}].{e}")),
        }
    }
    Ok(listing)
}

fn entry(value: &Value, zones: &[String]) -> Result<(BackendAddress, ListedEndpoint), String> {
    let word = |key: &str| {
        value
            .get(key)
            .and_then(|v| v.as_str())
            .ok_or(format!("{key}: is not a text"))
    };
    let name = word("id")?.to_string();
    let state = match word("state")? {
        "active" => EndpointState::Ready,
        "leaving" => EndpointState::Draining,
        "left" => EndpointState::Removed,
        other => return Err(format!("state: '{other}' is not known")),
    };
    let addr = word("addr")?
        .parse()
        .map_err(|_| "addr: is not an address and a port".to_string())?;
    let zone = word("zone")?;
    let zone = zones
        .iter()
        .position(|z| z == zone)
        .ok_or(format!("zone: '{zone}' is not known"))?;
    let started = value
        .get("started_ms")
        .and_then(|v| v.cast_f64())
        .unwrap_or(0.0);
    let started: Micros =
        crate::wire::micros_from_millis(started).ok_or("started_ms: is not a time")?;
    let member = ListedEndpoint {
        id: endpoint_id(&name),
        zone: zone as u16,
        cell: value.get("cell").and_then(|v| v.as_u64()).unwrap_or(0) as u16,
        state,
        size: value
            .get("weight")
            .and_then(|v| v.cast_f64())
            .unwrap_or(1.0) as f32,
        started_at: (started > 0).then_some(started),
    };
    Ok((BackendAddress { name, addr }, member))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<ListUpdate, String> {
        let value =
            simd_json::to_owned_value(&mut text.as_bytes().to_vec()).map_err(|e| e.to_string())?;
        parse_list_update(&value, &["a".to_string(), "b".to_string()])
    }

    #[test]
    fn entries_that_cannot_be_read_are_left_out_and_named() {
        let sound = r#"{"id":"s-1","addr":"10.1.0.18:8080","zone":"b","kind":"m2","cell":3,"state":"active","weight":1.5,"started_ms":7}"#;
        let cases = [
            (
                "\"active\"",
                "\"asleep\"",
                "servers[1].state: 'asleep' is not known",
            ),
            (
                "10.1.0.18:8080",
                "nowhere",
                "servers[1].addr: is not an address and a port",
            ),
            ("\"b\"", "\"z\"", "servers[1].zone: 'z' is not known"),
            ("\"s-1\"", "5", "servers[1].id: is not a text"),
            ("7}", "-7}", "servers[1].started_ms: is not a time"),
        ];
        for (from, to, problem) in cases {
            let text = format!(
                r#"{{"version":4,"full":true,"servers":[{sound},{}]}}"#,
                sound.replace(from, to)
            );
            let listing = read(&text).unwrap();
            assert_eq!(listing.problems, [problem]);
            let (endpoint, member) = &listing.servers[0];
            assert_eq!((listing.servers.len(), endpoint.name.as_str()), (1, "s-1"));
            assert_eq!(
                (member.zone, member.cell, member.started_at),
                (1, 3, Some(7_000))
            );
        }
    }

    #[test]
    fn what_is_no_listing_is_refused() {
        for text in [
            "{}",
            "[]",
            "7",
            r#"{"version":1,"full":true,"servers":{}}"#,
            r#"{"version":-1}"#,
            "{",
        ] {
            assert!(read(text).is_err(), "{text}");
        }
        assert!(check_nesting("[".repeat(MAX_DEPTH + 1).as_bytes()).is_err());
        assert!(
            check_nesting(br#"["[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[[["]"#).is_ok()
        );
    }
}
