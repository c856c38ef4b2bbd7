//! The Unix socket between the processes of one relay: it keeps packet boundaries and passes
//! descriptors. Nothing here blocks.

use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::net::{
    connect_unix, recvmsg, sendmsg, socket_with, AddressFamily, RecvAncillaryBuffer,
    RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
    SocketAddrUnix, SocketFlags, SocketType,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::path::Path;

/// The file name of the socket. Its number is the version of the packet format: a release with
/// another format uses another name, so the two do not find each other, and established connections
/// are migrated instead.
pub(super) const SOCKET_NAME: &str = "jaspermoor-takeover-1";
/// The most descriptors of a packet: a client's socket and a backend's.
const MAX_DESCRIPTORS: usize = 2;

/// A Unix socket that keeps packet boundaries.
pub(super) fn seqpacket_socket(flags: SocketFlags) -> io::Result<OwnedFd> {
    Ok(socket_with(
        AddressFamily::UNIX,
        SocketType::SEQPACKET,
        flags | SocketFlags::CLOEXEC,
        None,
    )?)
}

/// Connects to the process of this directory that started last, if there is one.
pub(super) fn connect(dir: &Path) -> Option<OwnedFd> {
    let link = seqpacket_socket(SocketFlags::NONBLOCK).ok()?;
    connect_unix(&link, &SocketAddrUnix::new(dir.join(SOCKET_NAME)).ok()?).ok()?;
    Some(link)
}

/// Sends a packet with at most two descriptors: all of it, or nothing.
pub(super) fn send_packet(
    link: impl AsFd,
    packet: &[u8],
    descriptors: &[BorrowedFd<'_>],
) -> io::Result<()> {
    let mut space = [0; rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        control.push(SendAncillaryMessage::ScmRights(descriptors));
    }
    let parts = [IoSlice::new(packet)];
    sendmsg(link, &parts, &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Receives a packet: its length, and its descriptors.
pub(super) fn receive_packet(
    link: impl AsFd,
    packet: &mut [u8],
) -> rustix::io::Result<(usize, Vec<OwnedFd>)> {
    let mut space = [0; rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(packet)];
    let message = recvmsg(link, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptors = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    Ok((message.bytes, descriptors))
}
