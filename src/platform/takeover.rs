//! Takeover of established connections by the next process of this relay.
//!
//! A process that stops sends its successor, for each connection, both sockets and one packet with
//! the connection's state. A process that starts asks the one before for its endpoint list
//! ([`list_transfer`]). All processes of a relay share a directory; the one that started last
//! listens on a Unix socket there, where a process that stops looks for its successor.

use super::id_exchange::{self, IdChange};
use super::list_transfer::{self, LIST_REQUEST};
use super::packet_socket::{connect, receive_packet, send_packet, seqpacket_socket, SOCKET_NAME};
use crate::log::log;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::net::sockopt::get_socket_peercred;
use rustix::net::{accept_with, bind_unix, listen, SocketAddrUnix, SocketFlags};
use simd_json::prelude::*;
use std::fs;
use std::io;
use std::net::TcpStream;
use std::path::Path;

/// The longest packet.
const MAX_PACKET_BYTES: usize = 64 * 1024;
/// The most buffered bytes with which a connection can be handed over. One with more has a client
/// that reads nothing; it is migrated at the end of the drain.
pub const MAX_BUFFERED_BYTES: usize = MAX_PACKET_BYTES - 8 * 1024;

/// The state of an established connection, as the successor needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Handover {
    /// The id that its client chose.
    pub name: String,
    /// The name of its class.
    pub class: String,
    /// The id of its backend.
    pub backend: String,
    /// The key of its client.
    pub key: u64,
    /// The key of its group.
    pub group: u64,
    /// How many attempts it took.
    pub attempts: u16,
    /// Its age in milliseconds.
    pub age_ms: u64,
    /// How long ago its oldest unanswered line was forwarded, in milliseconds.
    pub asked_ms: Option<u64>,
    /// How long ago its backend last sent something, in milliseconds; none from a build that does
    /// not tell.
    pub heard_ms: Option<u64>,
    /// How many bytes of `down` have been parsed.
    pub seen: usize,
    /// Bytes from the client that have not been forwarded yet.
    pub up: Vec<u8>,
    /// Bytes from the backend that have not been forwarded yet.
    pub down: Vec<u8>,
}

impl Handover {
    /// Encodes the packet: a line of JSON, then the bytes of both directions.
    pub fn encode(&self) -> Vec<u8> {
        let mut header = simd_json::json!({
            "name": self.name.clone(), "class": self.class.clone(), "backend": self.backend.clone(),
            "key": self.key, "group": self.group,
            "attempts": self.attempts, "age_ms": self.age_ms, "asked_ms": self.asked_ms,
            "seen": self.seen as u64, "up": self.up.len() as u64
        });
        if let Some(heard_ms) = self.heard_ms {
            let _ = header.insert("heard_ms", heard_ms);
        }
        [header.encode().as_bytes(), b"\n", &self.up, &self.down].concat()
    }

    /// Decodes a packet; the error tells what is wrong with it.
    pub fn decode(packet: &[u8]) -> Result<Handover, String> {
        let end = packet
            .iter()
            .position(|&b| b == b'\n')
            .ok_or("a packet without a header line")?;
        let header =
            simd_json::to_owned_value(&mut packet[..end].to_vec()).map_err(|e| e.to_string())?;
        let number = |key: &str| {
            header
                .get(key)
                .and_then(|v| v.as_u64())
                .ok_or(format!("no {key}"))
        };
        let text = |key: &str| {
            header
                .get(key)
                .and_then(|v| v.as_str())
                .map(String::from)
                .ok_or(format!("no {key}"))
        };
        let bytes = &packet[end + 1..];
        let (up, seen) = (number("up")? as usize, number("seen")? as usize);
        if up > bytes.len() || seen > bytes.len() - up {
            return Err("a packet that is shorter than its header says".into());
        }
        Ok(Handover {
            name: text("name")?,
            class: text("class")?,
            backend: text("backend")?,
            key: number("key")?,
            group: number("group")?,
            attempts: number("attempts")? as u16,
            age_ms: number("age_ms")?,
            asked_ms: number("asked_ms").ok(),
            heard_ms: number("heard_ms").ok(),
            seen,
            up: bytes[..up].to_vec(),
            down: bytes[up..].to_vec(),
        })
    }
}

/// The link to the process that takes over this one's connections.
pub struct Successor(OwnedFd);

impl Successor {
    /// Connects to the process that started last, unless it is gone or is this one.
    pub fn find(dir: &Path) -> Option<Successor> {
        let link = connect(dir)?;
        let pid = get_socket_peercred(&link).ok()?.pid.as_raw_nonzero().get();
        (pid as u32 != std::process::id()).then_some(Successor(link))
    }

    /// Sends a connection: all of it, or nothing.
    pub fn send(
        &self,
        handover: &Handover,
        client: &TcpStream,
        backend: &TcpStream,
    ) -> io::Result<()> {
        send_packet(
            &self.0,
            &handover.encode(),
            &[client.as_fd(), backend.as_fd()],
        )
    }
}

/// A connection that is handed over: its state, the client's socket and the backend's socket.
pub type HandedOver = (Handover, TcpStream, TcpStream);

/// The listening socket at which older processes of this relay find this one.
pub struct HandoverListener(OwnedFd);

impl HandoverListener {
    /// Listens in this directory, in place of the process that did so before.
    pub fn open(dir: &Path) -> io::Result<HandoverListener> {
        let own_path = dir.join(format!("{SOCKET_NAME}-{}", std::process::id()));
        let _ = fs::remove_file(&own_path);
        let listener = seqpacket_socket(SocketFlags::NONBLOCK)?;
        bind_unix(&listener, &SocketAddrUnix::new(&own_path)?)?;
        listen(&listener, 4)?;
        fs::rename(&own_path, dir.join(SOCKET_NAME))?;
        Ok(HandoverListener(listener))
    }

    /// Accepts the link of an older process; the error is `WouldBlock` if none waits.
    pub fn accept(&self) -> io::Result<Predecessor> {
        Ok(Predecessor {
            link: accept_with(&self.0, SocketFlags::CLOEXEC | SocketFlags::NONBLOCK)?,
            received: 0,
        })
    }
}

impl AsFd for HandoverListener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// The link from an older process that hands its connections over.
pub struct Predecessor {
    link: OwnedFd,
    /// How many connections it has handed over.
    received: usize,
}

impl AsFd for Predecessor {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.link.as_fd()
    }
}

/// Whether more may come from an older process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// More may come.
    Open,
    /// Nothing more will come.
    Closed,
}

/// A message of another process of this relay.
pub enum Message {
    /// A connection that it hands over.
    Connection(HandedOver),
    /// It asks for the endpoint list.
    ListRequest,
    /// The ids of its requests have changed. The first such message asks for those of this process.
    IdChanges(Vec<IdChange>),
}

impl Predecessor {
    /// Receives the messages that have arrived, at most `limit` of them.
    pub fn receive(&mut self, limit: usize, handle: &mut dyn FnMut(Message)) -> LinkState {
        let mut packet = vec![0; MAX_PACKET_BYTES];
        for _ in 0..limit {
            let (n, descriptors) = match receive_packet(&self.link, &mut packet) {
                Ok(received) => received,
                Err(rustix::io::Errno::INTR) => continue,
                Err(rustix::io::Errno::AGAIN) => return LinkState::Open,
                Err(e) => {
                    log(&format!("takeover: {e}"));
                    (0, Vec::new())
                }
            };
            if n == 0 {
                self.log_received();
                return LinkState::Closed;
            }
            match parse_message(&packet[..n], descriptors) {
                Ok(message) => {
                    self.received += usize::from(matches!(message, Message::Connection(_)));
                    handle(message);
                }
                Err(e) => log(&format!("takeover: {e}")),
            }
        }
        LinkState::Open
    }

    /// Connects to the process that serves in this directory, to exchange ids with it.
    pub fn connect(dir: &Path) -> Option<Predecessor> {
        let link = connect(dir)?;
        Some(Predecessor { link, received: 0 })
    }

    /// Sends changes of ids, encoded by [`id_exchange::encode`].
    pub fn send_ids(&self, packets: &[Vec<u8>]) -> io::Result<()> {
        packets
            .iter()
            .try_for_each(|packet| send_packet(&self.link, packet, &[]))
    }

    /// Waits for a packet for a limited time; false if none arrives.
    pub fn await_reply(&self) -> io::Result<bool> {
        list_transfer::await_packet(&self.link, list_transfer::REPLY_TIMEOUT)
    }

    /// Sends the endpoint list, encoded by [`list_transfer::encode`].
    pub fn send_list(&self, list: &[u8]) -> io::Result<()> {
        list_transfer::send(&self.link, list)
    }

    /// Logs how many connections were taken over. A process without a successor finds its own
    /// socket when it stops, and connects to itself: that is not worth a log line.
    fn log_received(&self) {
        if self.received > 0 {
            log(&format!(
                "takeover: {} connections taken over",
                self.received
            ));
        }
    }
}

/// Parses a packet with its descriptors; the error tells what is wrong with it.
fn parse_message(packet: &[u8], descriptors: Vec<OwnedFd>) -> Result<Message, String> {
    if packet == LIST_REQUEST {
        return Ok(Message::ListRequest);
    }
    if let Some(changes) = id_exchange::decode(packet) {
        return changes.map(Message::IdChanges);
    }
    let handover = Handover::decode(packet)?;
    let mut sockets = descriptors.into_iter().map(TcpStream::from);
    match (sockets.next(), sockets.next()) {
        (Some(client), Some(backend)) => Ok(Message::Connection((handover, client, backend))),
        _ => Err("a packet without its sockets: no file descriptors are left".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rustix::net::{socketpair, AddressFamily, SocketType};

    /// Both sockets arrive with their packet. A successor that reads nothing must not block the
    /// sender: a full queue is an error.
    #[test]
    fn connections_arrive_with_their_sockets_and_a_full_queue_is_an_error() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let connect = || TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (client, backend) = (connect(), connect());
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let (sender, link) =
            socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None).unwrap();
        let (successor, handover) = (
            Successor(sender),
            Handover {
                name: "9b".into(),
                ..Handover::default()
            },
        );
        let mut sent = 0;
        let error = loop {
            match successor.send(&handover, &client, &backend) {
                Ok(()) => sent += 1,
                Err(e) => break e,
            }
        };
        assert!(sent > 0 && crate::sys::timed_out(&error), "{sent}: {error}");
        drop(successor);
        let (mut adopted, mut predecessor) = (0, Predecessor { link, received: 0 });
        let mut adopt = |message: Message| {
            let Message::Connection((received, received_client, received_backend)) = message else {
                panic!("a list request")
            };
            assert_eq!(received, handover);
            assert_eq!(
                received_client.local_addr().unwrap(),
                client.local_addr().unwrap()
            );
            assert_eq!(
                received_backend.local_addr().unwrap(),
                backend.local_addr().unwrap()
            );
            adopted += 1;
        };
        // The first call takes one connection; the others wait for the second.
        assert_eq!(predecessor.receive(1, &mut adopt), LinkState::Open);
        assert_eq!(
            predecessor.receive(usize::MAX, &mut adopt),
            LinkState::Closed
        );
        assert_eq!(adopted, sent);
    }

    #[test]
    fn a_packet_is_decoded_as_it_was_encoded_and_a_malformed_one_is_refused() {
        let handover = Handover {
            name: "9b".into(),
            class: "a \"class\"\n".into(),
            backend: "s-1".into(),
            key: u64::MAX,
            group: 5,
            attempts: 2,
            age_ms: 7,
            asked_ms: Some(3),
            heard_ms: Some(4),
            seen: 2,
            up: b"half\xff\n".to_vec(),
            down: b"M\r\n\n".to_vec(),
        };
        assert_eq!(Handover::decode(&handover.encode()), Ok(handover.clone()));
        let never_asked = Handover {
            asked_ms: None,
            heard_ms: None,
            up: Vec::new(),
            down: Vec::new(),
            seen: 0,
            ..handover
        };
        let packet = never_asked.encode();
        assert_eq!(Handover::decode(&packet), Ok(never_asked));
        let text = String::from_utf8(packet).unwrap();
        for (from, to) in [
            ("\"up\":0", "\"up\":9"),
            ("\"seen\":0", "\"seen\":1"),
            ("\n", ""),
            ("\"name\"", "\"n\""),
        ] {
            assert!(text.contains(from), "{from}");
            assert!(
                Handover::decode(text.replace(from, to).as_bytes()).is_err(),
                "{to}"
            );
        }
    }
}
