//! Packets by which the processes of a relay tell each other the ids of their requests.
//!
//! During an upgrade two processes serve, and an id that is open at one of them must not be admitted
//! by the other. A process that starts sends an empty packet to the one that serves; both then send
//! what is open, and each change. A process of an earlier build logs the packet and does not reply.
//!
//! A keyed request that has ended may be repeated until its deduplication window ends. Such changes
//! have packets of their own, because a build that does not know them drops a packet as a whole.

use crate::decisions::api::Micros;

/// The first line of a packet.
const HEADER: &[u8] = b"{\"ids\":true}\n";
/// Changes in one packet: with the longest ids it stays below the longest packet.
const MAX_CHANGES_PER_PACKET: usize = 400;

/// A change of the ids of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdChange {
    /// A request with this id is open.
    Opened(String),
    /// The request has ended, and its id is free.
    Ended(String),
    /// The request has ended, and must not be executed again.
    EndedForGood(String),
    /// The request has ended, and must not be executed again from this time of
    /// [`monotonic`](crate::sys::monotonic) on.
    EndedUntil(String, Micros),
}

impl IdChange {
    fn encode(&self) -> String {
        match self {
            IdChange::Opened(id) => format!("+{id}\n"),
            IdChange::Ended(id) => format!("-{id}\n"),
            IdChange::EndedForGood(id) => format!("!{id}\n"),
            IdChange::EndedUntil(id, time) => format!("~{time} {id}\n"),
        }
    }

    fn parse(line: &str) -> Result<IdChange, String> {
        let mut chars = line.chars();
        let sign = chars.next();
        let id = chars.as_str().to_string();
        match sign {
            Some('+') => Ok(IdChange::Opened(id)),
            Some('-') => Ok(IdChange::Ended(id)),
            Some('!') => Ok(IdChange::EndedForGood(id)),
            Some('~') => IdChange::parse_ended_until(&id),
            _ => Err(format!("'{line}' is no change of an id")),
        }
    }

    fn parse_ended_until(text: &str) -> Result<IdChange, String> {
        let parts = text.split_once(' ');
        let parsed = parts.and_then(|(time, id)| Some((time.parse().ok()?, id.to_string())));
        let (time, id) = parsed.ok_or_else(|| format!("'{text}' is no time and id"))?;
        Ok(IdChange::EndedUntil(id, time))
    }

    fn is_known_to_earlier_builds(&self) -> bool {
        !matches!(self, IdChange::EndedUntil(..))
    }
}

/// Encodes changes as packets; one without changes if there are none.
pub fn encode(changes: &[IdChange]) -> Vec<Vec<u8>> {
    let packet = |changes: &[&IdChange]| {
        let lines = changes
            .iter()
            .flat_map(|change| change.encode().into_bytes());
        HEADER.iter().copied().chain(lines).collect()
    };
    if changes.is_empty() {
        return vec![packet(&[])];
    }
    let (known, new): (Vec<&IdChange>, Vec<&IdChange>) = changes
        .iter()
        .partition(|change| change.is_known_to_earlier_builds());
    [known, new]
        .iter()
        .flat_map(|changes| changes.chunks(MAX_CHANGES_PER_PACKET))
        .map(packet)
        .collect()
}

/// Decodes a packet; none if it is of another kind. The error tells what is wrong with it.
pub fn decode(packet: &[u8]) -> Option<Result<Vec<IdChange>, String>> {
    let changes = packet.strip_prefix(HEADER)?;
    let text = std::str::from_utf8(changes).map_err(|e| e.to_string());
    Some(text.and_then(|text| text.lines().map(IdChange::parse).collect()))
}

#[cfg(test)]
mod tests;
