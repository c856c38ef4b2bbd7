//! Messages of the control plane. Names on the wire that differ from the names in the code are
//! those that earlier builds use; `tests/wire_names.rs` checks them.

pub use super::operator::{FleetStatus, OperatorRequest, OperatorResponse};
pub use super::renewal::{AssignedJobs, RenewRequest, RenewResponse};
pub use super::updates::{Publish, Report, Subscribe, Update, Updates};
pub use crate::broadcast::message::{Delivery, Poll, Receipt, Submission};
use crate::jobs::assignment::FencingToken;
use crate::log::membership::VoterId;
pub use crate::relay::{job_kind, JobCapabilities, RelayId};
use crate::wire;
use serde::{Deserialize, Serialize};

/// Identifies the connection from which a request arrived. The driver sends the reply there.
pub type ReplyAddress = u64;

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Number of the sender's disk, and a message of the raft library in its own encoding.
    Log(u64, #[serde(with = "serde_bytes")] Vec<u8>),
    /// Introduction of a founder: its number and the number of its disk. Founders vote once each
    /// knows all others.
    Founding(VoterId, u64),
    /// The voter with this number and this disk is not a member.
    #[serde(rename = "Gone")]
    NotAMember(VoterId, u64),
    /// See [`RenewRequest`].
    #[serde(rename = "Renew")]
    RenewRequest(RenewRequest),
    /// See [`RenewResponse`].
    #[serde(rename = "Reply")]
    RenewResponse(RenewResponse),
    /// See [`OperatorRequest`]; the response repeats the number.
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
    /// The current token of a job, sent to an owner that published under an older one and must
    /// stop.
    #[serde(rename = "Stale")]
    StaleToken(String, FencingToken),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        #[cfg(feature = "injected-bugs")]
        if wire::ENCODE_AS_LATER_BUILD.load(std::sync::atomic::Ordering::Relaxed) {
            return wire::encode_as_later_build(self);
        }
        wire::encode(self)
    }

    /// Decodes a message. Returns `None` if the bytes are not a message that this build knows.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        wire::decode(bytes)
    }

    /// Name of the message's type in metrics.
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

    /// Whether the sender repeats or replaces the message later, so that a full queue may drop it.
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
