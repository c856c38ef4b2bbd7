//! Message dispatch: each received message goes to the driver that it is for.

use super::Fleet;
use jaspermoor_control::log::voter::ReplyAddress;
use jaspermoor_control::wire::message::{Message, OperatorResponse};

/// The sender of a message that this process sent to its own voter; other senders are link ids.
pub(super) const LOCAL: ReplyAddress = u64::MAX;

/// A received message.
pub(super) struct Inbound {
    /// The link that it came from, or [`LOCAL`].
    pub(super) from: ReplyAddress,
    pub(super) message: Message,
}

impl Fleet {
    /// Dispatches received messages, and carries out what the voter wants done, until neither is
    /// left.
    pub(super) fn process_inbox(&mut self) {
        loop {
            match self.inbox.pop_front() {
                Some(inbound) => self.dispatch(inbound),
                None if self.drive_voter() => {}
                None => return,
            }
        }
    }

    fn dispatch(&mut self, Inbound { from, message }: Inbound) {
        match message {
            Message::RenewResponse(response) => self.handle_renew_response(response),
            Message::Updates(_) | Message::Delivery(_) | Message::Receipt(_) => {
                self.handle_job_message(from, message)
            }
            Message::StaleToken(job, token) => self.handle_stale_token(&job, token),
            Message::OperatorResponse(_, OperatorResponse::Token(job, token)) => {
                if let Some(jobs) = &mut self.jobs {
                    jobs.worker.learn_token(&job, token);
                }
            }
            message => self.handle_voter_message(from, message),
        }
    }
}
