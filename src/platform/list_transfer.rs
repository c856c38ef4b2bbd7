//! Transfer of the endpoint list to the next process of this relay.
//!
//! A process that starts while another one serves asks that one for its list: the list of the
//! configuration may be older, and discovery may not answer. Guards against new connections to a
//! backend that the earlier process knows to drain. The request and the reply are packets on the
//! socket of [`packet_socket`](super::packet_socket); the reply carries the list in a memory file, in the form
//! of discovery, since it may be longer than a packet.

use super::directory::ListSnapshot;
use super::packet_socket::{connect, receive_packet, send_packet};
use crate::config::endpoint_list::{check_nesting, parse_list_update, ListUpdate};
use crate::decisions::api::EndpointState;
use crate::wire::millis_from_micros;
use rustix::event::{poll, PollFd, PollFlags};
use rustix::fd::{AsFd, OwnedFd};
use rustix::fs::{memfd_create, MemfdFlags};
use simd_json::prelude::*;
use std::fs::File;
use std::io::{self, Read, Seek, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The packet that requests the list. A process of an earlier build logs it and does not reply.
pub(super) const LIST_REQUEST: &[u8] = b"{\"list\":true}\n";
/// The packet of the reply, which has the descriptor of the list.
const LIST_REPLY: &[u8] = b"{\"list\":\"attached\"}\n";
/// The longest wait for the reply.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// The longest list that is read, in bytes.
const MAX_LIST_BYTES: u64 = 16 * 1024 * 1024;

/// The endpoint list of another process of this relay.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedList {
    /// The complete list.
    pub update: ListUpdate,
    /// The discovery address that its version is of.
    pub discovery: Option<SocketAddr>,
}

impl ReceivedList {
    /// The version with which this list replaces one of `known_version`, which is of this discovery
    /// address; none if it does not replace it. With version 0 the watch requests the whole list.
    pub fn replacing_version(&self, known_version: u64, discovery: SocketAddr) -> Option<u64> {
        if self.update.entries.is_empty() {
            return None;
        }
        // Versions of one address mean nothing at another, and 0 is that of a list from before a
        // move.
        let is_comparable = self.discovery == Some(discovery) && self.update.version > 0;
        match is_comparable {
            true if self.update.version < known_version => None,
            true => Some(self.update.version),
            false => Some(0),
        }
    }
}

/// Encodes a list in the form of discovery. `zones` are the names by which the indices of zones
/// stand.
pub fn encode(snapshot: &ListSnapshot, zones: &[String]) -> Vec<u8> {
    let servers: Vec<simd_json::OwnedValue> = snapshot
        .entries
        .iter()
        .map(|(address, listed)| {
            let zone = zones.get(usize::from(listed.zone));
            simd_json::json!({
                "id": address.name.clone(),
                "addr": address.addr.to_string(),
                "zone": zone.cloned().unwrap_or_default(),
                "cell": u64::from(listed.cell),
                "state": state_name(listed.state),
                "weight": f64::from(listed.size),
                "started_ms": millis_from_micros(listed.started_at.unwrap_or(0))
            })
        })
        .collect();
    let list = simd_json::json!({
        "version": snapshot.version,
        "full": true,
        "discovery": snapshot.discovery.map(|address| address.to_string()),
        "servers": servers
    });
    list.encode().into_bytes()
}

/// The name of a state in the form of discovery.
fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    }
}

/// Decodes a list; the error tells what is wrong with it.
pub fn decode(mut text: Vec<u8>, zones: &[String]) -> Result<ReceivedList, String> {
    check_nesting(&text)?;
    let value = simd_json::to_owned_value(&mut text).map_err(|e| format!("not JSON: {e}"))?;
    let discovery = value
        .get("discovery")
        .and_then(|v| v.as_str())
        .and_then(|address| address.parse().ok());
    Ok(ReceivedList {
        update: parse_list_update(&value, zones)?,
        discovery,
    })
}

/// Sends the list to the process at the other end of a link.
pub(super) fn send(link: impl AsFd, list: &[u8]) -> io::Result<()> {
    let mut file = File::from(memfd_create("endpoint-list", MemfdFlags::CLOEXEC)?);
    file.write_all(list)?;
    send_packet(link, LIST_REPLY, &[file.as_fd()])
}

/// Requests the list of the process that serves in this directory. None if there is no process, or
/// none that replies in time.
pub fn request(dir: &Path) -> io::Result<Option<Vec<u8>>> {
    let Some(link) = connect(dir) else {
        return Ok(None);
    };
    send_packet(&link, LIST_REQUEST, &[])?;
    if !await_packet(&link, REPLY_TIMEOUT)? {
        return Ok(None);
    }
    let mut packet = vec![0; LIST_REPLY.len()];
    let (_, mut descriptors) = receive_packet(&link, &mut packet)?;
    match descriptors.pop() {
        Some(descriptor) => read_list(descriptor).map(Some),
        None => Ok(None),
    }
}

/// Waits for a packet on a link; false if none arrives in time.
pub(super) fn await_packet(link: &OwnedFd, timeout: Duration) -> io::Result<bool> {
    let deadline = Instant::now() + timeout;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut fds = [PollFd::new(link, PollFlags::IN)];
        match poll(&mut fds, left.as_millis() as i32 + 1) {
            Err(rustix::io::Errno::INTR) => {}
            result => return Ok(result? > 0),
        }
    }
}

fn read_list(descriptor: OwnedFd) -> io::Result<Vec<u8>> {
    let mut file = File::from(descriptor);
    file.rewind()?;
    let mut list = Vec::new();
    file.take(MAX_LIST_BYTES).read_to_end(&mut list)?;
    Ok(list)
}

#[cfg(test)]
mod tests;
