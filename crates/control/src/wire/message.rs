//! The messages of the control plane. Where a name on the wire differs from the code's, it is the one that earlier builds
//! understand; `tests/wire_names.rs` pins them.

pub use super::operator::{FleetStatus, OperatorRequest, OperatorResponse};
pub use super::renewal::{AssignedJobs, RenewRequest, RenewResponse};
pub use super::updates::{Publish, Report, Subscribe, Update, Updates};
pub use crate::broadcast::message::{Delivery, Poll, Receipt, Submission};
use crate::jobs::assignment::FencingToken;
use crate::log::membership::VoterId;
pub use crate::relay::{job_kind, JobCapabilities, RelayId};
use crate::wire;
use serde::{Deserialize, Serialize};

/// Identifies the sender of a request to the driver, which sends the reply there.
pub type ReplyAddress = u64;

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the raft library, in its encoding, with the incarnation of the sender's disk.
    Log(u64, #[serde(with = "serde_bytes")] Vec<u8>),
    /// A founder's number, and the incarnation of its disk. Founders vote once each knows all others.
    Founding(VoterId, u64),
    /// The voter of this number, with a disk of this incarnation, is no member.
    #[serde(rename = "Gone")]
    NotAMember(VoterId, u64),
    /// See [`RenewRequest`].
    #[serde(rename = "Renew")]
    RenewRequest(RenewRequest),
    /// See [`RenewResponse`].
    #[serde(rename = "Reply")]
    RenewResponse(RenewResponse),
    /// See [`OperatorRequest`]; the number returns with the response.
    #[serde(rename = "Ask")]
    OperatorRequest(u64, OperatorRequest),
    /// See [`OperatorResponse`].
    #[serde(rename = "Answer")]
    OperatorResponse(u64, OperatorResponse),
    /// See [`Subscribe`].
    #[serde(rename = "Follow")]
    Subscribe(Subscribe),
    /// See [`Updates`].
    #[serde(rename = "News")]
    Updates(Updates),
    /// See [`Publish`].
    Publish(Publish),
    /// See [`Poll`].
    #[serde(rename = "P")]
    Poll(Poll),
    /// See [`Delivery`].
    #[serde(rename = "D")]
    Delivery(Delivery),
    /// See [`Submission`].
    #[serde(rename = "S")]
    Submission(Submission),
    /// See [`Receipt`].
    #[serde(rename = "R")]
    Receipt(Receipt),
    /// The job has a newer token, this one: an owner that publishes under an older one must stop.
    #[serde(rename = "Stale")]
    StaleToken(String, FencingToken),
}

impl Message {
    /// The encoded message.
    pub fn encode(&self) -> Vec<u8> {
        #[cfg(feature = "injected-bugs")]
        if wire::ENCODE_AS_LATER_BUILD.load(std::sync::atomic::Ordering::Relaxed) {
            return wire::encode_as_later_build(self);
        }
        wire::encode(self)
    }

    /// The decoded message; none if the bytes are not a message that this build knows.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        wire::decode(bytes)
    }

    /// The name of its type in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Log(..) => "log",
            Message::Founding(..) => "founding",
            Message::NotAMember(..) => "gone",
            Message::RenewRequest(_) => "renew",
            Message::RenewResponse(_) => "reply",
            Message::OperatorRequest(..) => "ask",
            Message::OperatorResponse(..) => "answer",
            Message::Subscribe(_) => "subscribe",
            Message::Updates(_) => "updates",
            Message::Publish(_) => "publish",
            Message::StaleToken(..) => "stale",
            Message::Poll(_) => "poll",
            Message::Delivery(_) => "delivery",
            Message::Submission(_) => "submission",
            Message::Receipt(_) => "receipt",
        }
    }

    /// Whether a later message takes its place, so that a full queue may drop it.
    pub fn replaceable(&self) -> bool {
        matches!(
            self,
            Message::Log(..)
                | Message::RenewRequest(_)
                | Message::RenewResponse(_)
                | Message::Subscribe(_)
                | Message::Updates(_)
                | Message::Publish(_)
                | Message::Poll(_)
                | Message::Delivery(_)
                | Message::Submission(_)
                | Message::Receipt(_)
        )
    }
}
