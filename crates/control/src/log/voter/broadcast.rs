//! Updates of owners of jobs to all relays: hands requests to the [`Broadcaster`] and its messages to the driver.
//!
//! [`Broadcaster`]: crate::broadcast::broadcaster::Broadcaster

use super::{ReplyAddress, Voter};
use crate::wire::message::{Message, Poll, Publish, Submission, Subscribe};
use crate::Micros;

impl Voter {
    /// A relay subscribes to this voter's updates.
    pub fn handle_subscribe(&mut self, now: Micros, from: ReplyAddress, request: Subscribe) {
        self.now = now;
        let messages = self
            .broadcaster
            .handle_subscribe(now, from, request, &self.state.jobs);
        self.replies
            .extend(messages.into_iter().map(|message| (from, message)));
    }

    /// A subscriber acknowledges what it has and asks for what is new.
    pub fn handle_poll(&mut self, now: Micros, from: ReplyAddress, poll: Poll) {
        self.now = now;
        let delivery = self
            .broadcaster
            .handle_poll(now, from, poll, &self.state.jobs);
        self.replies
            .extend(delivery.map(|delivery| (from, Message::Delivery(delivery))));
    }

    /// An owner of an older build publishes an update for all relays.
    pub fn handle_publish(&mut self, now: Micros, from: ReplyAddress, publish: Publish) {
        self.now = now;
        let messages: Vec<(ReplyAddress, Message)> =
            self.broadcaster
                .handle_publish(now, from, publish, &self.state.jobs);
        self.replies.extend(messages);
    }

    /// An owner submits an update for all relays.
    pub fn handle_submission(&mut self, now: Micros, from: ReplyAddress, submission: Submission) {
        self.now = now;
        let messages: Vec<(ReplyAddress, Message)> =
            self.broadcaster
                .handle_submission(now, from, submission, &self.state.jobs);
        self.replies.extend(messages);
    }

    /// A connection has ended.
    pub fn disconnected(&mut self, from: ReplyAddress) {
        self.broadcaster.disconnected(from);
    }
}
