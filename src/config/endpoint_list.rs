//! Parser of the endpoint list, as discovery and the configuration file write it.

use crate::decisions::api::{EndpointId, EndpointState, ListedEndpoint, Micros};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use std::net::SocketAddr;

/// The deepest nesting of JSON that is parsed. Deeper nesting could overflow a thread's stack.
const MAX_DEPTH: usize = 32;

/// The name and address of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendAddress {
    /// Its id, as text.
    pub name: String,
    /// The address at which this relay reaches it.
    pub addr: SocketAddr,
}

/// One update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version of the list after this update.
    pub version: u64,
    /// Whether it has all backends; otherwise it has the changed ones only.
    pub full: bool,
    /// The valid entries.
    pub entries: Vec<(BackendAddress, ListedEndpoint)>,
    /// The problems of the invalid entries, which are left out.
    pub problems: Vec<String>,
}

/// The numeric id of an endpoint: a hash (FNV-1a) of its name, so that all relays use the same one.
pub fn endpoint_id(name: &str) -> EndpointId {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    EndpointId(hash)
}

/// Returns an error if the JSON text is nested more than `MAX_DEPTH` deep.
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

/// Parses one update. An invalid entry is left out, and its problem is reported.
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
    let mut update = ListUpdate {
        version,
        full,
        entries: Vec::new(),
        problems: Vec::new(),
    };
    for (i, value) in list.iter().enumerate() {
        match parse_entry(value, zones) {
            Ok(entry) => update.entries.push(entry),
            Err(e) => update.problems.push(format!("servers[{i}].{e}")),
        }
    }
    Ok(update)
}

/// Parses one entry of the list; the error begins with the entry's key.
fn parse_entry(
    value: &Value,
    zones: &[String],
) -> Result<(BackendAddress, ListedEndpoint), String> {
    let text = |key: &str| {
        value
            .get(key)
            .and_then(|v| v.as_str())
            .ok_or(format!("{key}: is not a text"))
    };
    let name = text("id")?.to_string();
    let state = match text("state")? {
        "active" => EndpointState::Ready,
        "leaving" => EndpointState::Draining,
        "left" => EndpointState::Removed,
        other => return Err(format!("state: '{other}' is not known")),
    };
    let addr = text("addr")?
        .parse()
        .map_err(|_| "addr: is not an address and a port".to_string())?;
    let zone = text("zone")?;
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
    let listed = ListedEndpoint {
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
    Ok((BackendAddress { name, addr }, listed))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<ListUpdate, String> {
        let value =
            simd_json::to_owned_value(&mut text.as_bytes().to_vec()).map_err(|e| e.to_string())?;
        parse_list_update(&value, &["a".to_string(), "b".to_string()])
    }

    #[test]
    fn invalid_entries_are_left_out_and_reported() {
        let valid = r#"{"id":"s-1","addr":"10.1.0.18:8080","zone":"b","kind":"m2","cell":3,"state":"active","weight":1.5,"started_ms":7}"#;
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
                r#"{{"version":4,"full":true,"servers":[{valid},{}]}}"#,
                valid.replace(from, to)
            );
            let update = parse(&text).unwrap();
            assert_eq!(update.problems, [problem]);
            let (address, listed) = &update.entries[0];
            assert_eq!((update.entries.len(), address.name.as_str()), (1, "s-1"));
            assert_eq!(
                (listed.zone, listed.cell, listed.started_at),
                (1, 3, Some(7_000))
            );
        }
    }

    #[test]
    fn malformed_updates_are_refused() {
        for text in [
            "{}",
            "[]",
            "7",
            r#"{"version":1,"full":true,"servers":{}}"#,
            r#"{"version":-1}"#,
            "{",
        ] {
            assert!(parse(text).is_err(), "{text}");
        }
        assert!(check_nesting("[".repeat(MAX_DEPTH + 1).as_bytes()).is_err());
        assert!(
            check_nesting(br#"["[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[[["]"#).is_ok()
        );
    }
}
