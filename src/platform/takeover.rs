//! Standing connections pass from a process that stops to the one that takes over: both sockets and one
//! packet with what is known of them. The process that has started last listens at one place in the
//! directory that all processes of a relay share; one that stops looks there for its successor.

use crate::log::log;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::net::sockopt::get_socket_peercred;
use rustix::net::{
    accept_with, bind_unix, connect_unix, listen, recvmsg, sendmsg, socket_with, AddressFamily,
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType,
};
use simd_json::prelude::*;
use std::fs;
use std::io::{self, IoSlice, IoSliceMut};
use std::net::TcpStream;
use std::path::Path;

/// The name of the socket. Its number is the form of the packets: a release with another form listens at
/// another name, so neither finds the other, and what stands is moved.
const NAME: &str = "jaspermoor-takeover-1";
/// The longest packet.
const MAX_PACKET: usize = 64 * 1024;
/// The most bytes on their way that a connection may have to be sent; one with more has a client that takes
/// nothing, and is moved in the end.
pub const MAX_BUFFERED_BYTES: usize = MAX_PACKET - 8 * 1024;

/// A standing connection as another process needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Handover {
    /// The connection's own id.
    pub name: String,
    /// The name of its class.
    pub class: String,
    /// The id of its backend.
    pub backend: String,
    /// The key of its client.
    pub key: u64,
    /// The key of its group.
    pub group: u64,
    /// Attempts made for it.
    pub attempts: u16,
    /// How long ago it began.
    pub age_ms: u64,
    /// How long ago its oldest unanswered line was passed on.
    pub asked_ms: Option<u64>,
    /// How much of `down` has been read for its meaning.
    pub seen: usize,
    /// What has come from the client and not gone on yet.
    pub up: Vec<u8>,
    /// What has come from the backend and not gone on yet.
    pub down: Vec<u8>,
}

impl Handover {
    /// The packet: a line of JSON, then the bytes of both ways.
    pub fn encode(&self) -> Vec<u8> {
        let head = simd_json::json!({
            "name": self.name.clone(), "class": self.class.clone(), "backend": self.backend.clone(),
            "key": self.key, "group": self.group,
            "attempts": self.attempts, "age_ms": self.age_ms, "asked_ms": self.asked_ms,
            "seen": self.seen as u64, "up": self.up.len() as u64
        });
        [head.encode().as_bytes(), b"\n", &self.up, &self.down].concat()
    }

    /// Reads a packet; what is wrong with it is one sentence.
    pub fn decode(packet: &[u8]) -> Result<Handover, String> {
        let end = packet
            .iter()
            .position(|&b| b == b'\n')
            .ok_or("a packet without a head")?;
        let head =
            simd_json::to_owned_value(&mut packet[..end].to_vec()).map_err(|e| e.to_string())?;
        let number = |key: &str| {
            head.get(key)
                .and_then(|v| v.as_u64())
                .ok_or(format!("no {key}"))
        };
        let word = |key: &str| {
            head.get(key)
                .and_then(|v| v.as_str())
                .map(String::from)
                .ok_or(format!("no {key}"))
        };
        let bytes = &packet[end + 1..];
        let (up, seen) = (number("up")? as usize, number("seen")? as usize);
        if up > bytes.len() || seen > bytes.len() - up {
            return Err("a packet that is shorter than it says".into());
        }
        Ok(Handover {
            name: word("name")?,
            class: word("class")?,
            backend: word("backend")?,
            key: number("key")?,
            group: number("group")?,
            attempts: number("attempts")? as u16,
            age_ms: number("age_ms")?,
            asked_ms: number("asked_ms").ok(),
            seen,
            up: bytes[..up].to_vec(),
            down: bytes[up..].to_vec(),
        })
    }
}

fn socket(flags: SocketFlags) -> io::Result<OwnedFd> {
    Ok(socket_with(
        AddressFamily::UNIX,
        SocketType::SEQPACKET,
        flags | SocketFlags::CLOEXEC,
        None,
    )?)
}

/// The link to the process that takes over.
pub struct Successor(OwnedFd);

impl Successor {
    /// The process that has started last, if it is another one and there.
    pub fn find(dir: &Path) -> Option<Successor> {
        let link = socket(SocketFlags::NONBLOCK).ok()?;
        connect_unix(&link, &SocketAddrUnix::new(dir.join(NAME)).ok()?).ok()?;
        let pid = get_socket_peercred(&link).ok()?.pid.as_raw_nonzero().get();
        (pid as u32 != std::process::id()).then_some(Successor(link))
    }

    /// Sends a connection whole, or not at all.
    pub fn send(
        &self,
        handover: &Handover,
        client: &TcpStream,
        backend: &TcpStream,
    ) -> io::Result<()> {
        let fds = [client.as_fd(), backend.as_fd()];
        let mut space = [0; rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&fds));
        let packet = handover.encode();
        sendmsg(
            &self.0,
            &[IoSlice::new(&packet)],
            &mut control,
            SendFlags::NOSIGNAL,
        )?;
        Ok(())
    }
}

/// A connection that is passed on: what is known of it, the client's socket, the backend's.
pub type HandedOver = (Handover, TcpStream, TcpStream);

/// The place where older processes of this relay find this one.
pub struct HandoverListener(OwnedFd);

impl HandoverListener {
    /// Listens in this directory, in place of whichever process did before.
    pub fn open(dir: &Path) -> io::Result<HandoverListener> {
        let own = dir.join(format!("{NAME}-{}", std::process::id()));
        let _ = fs::remove_file(&own);
        let listener = socket(SocketFlags::NONBLOCK)?;
        bind_unix(&listener, &SocketAddrUnix::new(&own)?)?;
        listen(&listener, 4)?;
        fs::rename(&own, dir.join(NAME))?;
        Ok(HandoverListener(listener))
    }

    /// An older process that has come; none where none waits.
    pub fn accept(&self) -> io::Result<Predecessor> {
        Ok(Predecessor {
            link: accept_with(&self.0, SocketFlags::CLOEXEC | SocketFlags::NONBLOCK)?,
            count: 0,
        })
    }
}

impl AsFd for HandoverListener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// The link from an older process.
pub struct Predecessor {
    link: OwnedFd,
    count: usize,
}

impl AsFd for Predecessor {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.link.as_fd()
    }
}

/// What is to be expected of an older process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// More may come later.
    Open,
    /// It is done.
    Closed,
}

impl Predecessor {
    /// Receives connections as far as they have come, at most so many.
    pub fn receive(&mut self, most: usize, take: &mut dyn FnMut(HandedOver)) -> LinkState {
        let mut packet = vec![0; MAX_PACKET];
        for _ in 0..most {
            let mut space = [0; rustix::cmsg_space!(ScmRights(2))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut packet)];
            let n = match recvmsg(
                &self.link,
                &mut parts,
                &mut control,
                RecvFlags::CMSG_CLOEXEC,
            ) {
                Ok(message) => message.bytes,
                Err(rustix::io::Errno::INTR) => continue,
                Err(rustix::io::Errno::AGAIN) => return LinkState::Open,
                Err(e) => {
                    log(&format!("takeover: {e}"));
                    0
                }
            };
            if n == 0 {
                // A process that stops also looks here, and finds itself, where it has no successor.
                if self.count > 0 {
                    log(&format!("takeover: {} connections taken over", self.count));
                }
                return LinkState::Closed;
            }
            let mut fds = Vec::new();
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(rights) = message {
                    fds.extend(rights.map(TcpStream::from));
                }
            }
            match (Handover::decode(&packet[..n]), fds.pop(), fds.pop()) {
                (Ok(handover), Some(backend), Some(client)) => {
                    self.count += 1;
                    take((handover, client, backend));
                }
                (Ok(_), ..) => {
                    log("takeover: a packet without its sockets: no descriptors are left")
                }
                (Err(e), ..) => log(&format!("takeover: {e}")),
            }
        }
        LinkState::Open
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rustix::net::socketpair;

    /// Both sockets arrive with their packet, and a successor that takes nothing is not waited for.
    #[test]
    fn connections_pass_whole_and_a_full_queue_is_said() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let end = || TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (client, backend) = (end(), end());
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let (to, link) =
            socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None).unwrap();
        let (to, handover) = (
            Successor(to),
            Handover {
                name: "9b".into(),
                ..Handover::default()
            },
        );
        let mut sent = 0;
        let refused = loop {
            match to.send(&handover, &client, &backend) {
                Ok(()) => sent += 1,
                Err(e) => break e,
            }
        };
        assert!(
            sent > 0 && crate::sys::timed_out(&refused),
            "{sent}: {refused}"
        );
        drop(to);
        let (mut received, mut older) = (0, Predecessor { link, count: 0 });
        let mut take = |(got, its_client, its_backend): HandedOver| {
            assert_eq!(got, handover);
            assert_eq!(
                its_client.local_addr().unwrap(),
                client.local_addr().unwrap()
            );
            assert_eq!(
                its_backend.local_addr().unwrap(),
                backend.local_addr().unwrap()
            );
            received += 1;
        };
        // A turn takes some; the others wait for the next.
        assert_eq!(older.receive(1, &mut take), LinkState::Open);
        assert_eq!(older.receive(usize::MAX, &mut take), LinkState::Closed);
        assert_eq!(received, sent);
    }

    #[test]
    fn a_parcel_is_read_as_it_was_written_or_refused() {
        let handover = Handover {
            name: "9b".into(),
            class: "a \"class\"\n".into(),
            backend: "s-1".into(),
            key: u64::MAX,
            group: 5,
            attempts: 2,
            age_ms: 7,
            asked_ms: Some(3),
            seen: 2,
            up: b"half\xff\n".to_vec(),
            down: b"M\r\n\n".to_vec(),
        };
        assert_eq!(Handover::decode(&handover.encode()), Ok(handover.clone()));
        let never_asked = Handover {
            asked_ms: None,
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
