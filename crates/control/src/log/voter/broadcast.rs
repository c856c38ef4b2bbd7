//! Broadcast of updates of job owners: passes requests to the [`Broadcaster`], and queues its
//! messages as replies.
//!
//! [`Broadcaster`]: crate::broadcast::broadcaster::Broadcaster

use super::{ReplyAddress, Voter};
use crate::wire::message::{Message, Poll, Publish, Submission, Subscribe};
use crate::Micros;

impl Voter {
    /// Handles the subscription of a relay to this voter's updates.
    pub fn handle_subscribe(&mut self, now: Micros, from: ReplyAddress, request: Subscribe) {
        self.now = now;
        let messages = self
            .broadcaster
            .handle_subscribe(now, from, request, &self.state.jobs);
        self.replies
            .extend(messages.into_iter().map(|message| (from, message)));
    }

    /// Handles the poll of a relay, which acknowledges received updates and requests new ones.
    pub fn handle_poll(&mut self, now: Micros, from: ReplyAddress, poll: Poll) {
        self.now = now;
        let delivery = self
            .broadcaster
            .handle_poll(now, from, poll, &self.state.jobs);
        self.replies
            .extend(delivery.map(|delivery| (from, Message::Delivery(delivery))));
    }

    /// Handles an update for all relays that an owner of an older build publishes.
    pub fn handle_publish(&mut self, now: Micros, from: ReplyAddress, publish: Publish) {
        self.now = now;
        let messages: Vec<(ReplyAddress, Message)> =
            self.broadcaster
                .handle_publish(now, from, publish, &self.state.jobs);
        self.replies.extend(messages);
    }

    /// Handles an update for all relays that an owner submits.
    pub fn handle_submission(&mut self, now: Micros, from: ReplyAddress, submission: Submission) {
        self.now = now;
        let messages: Vec<(ReplyAddress, Message)> =
            self.broadcaster
                .handle_submission(now, from, submission, &self.state.jobs);
        self.replies.extend(messages);
    }

    /// Ends the subscription of a connection that was closed.
    pub fn disconnected(&mut self, from: ReplyAddress) {
        self.broadcaster.disconnected(from);
    }
}
