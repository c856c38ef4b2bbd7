//! Drives this relay's voter: passes messages and ticks to it, persists its log, and sends its
//! messages.
//!
//! A relay votes only while its ledger is open and can be written.
//!
//! Guards against: a message that is sent before the state that it promises is durable, two
//! processes of one relay that vote at the same time (during an upgrade the older one has the
//! ledger open), and a damaged or lost log.

use super::dispatch::{Inbound, LOCAL};
use super::error::OpenError;
use super::link::{LISTENER, READ_ONLY};
use super::Fleet;
use crate::config::operator::FleetVoter;
use crate::decisions::api::Micros;
use crate::log::log;
use crate::platform::ledger::{Ledger, LedgerError};
use crate::sys::boottime;
use jaspermoor_control::log::storage::PersistBatch;
use jaspermoor_control::log::voter::{ReplyAddress, Voter};
use jaspermoor_control::wire::message::Message;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Pause between two attempts to open a ledger that another process has open.
const LEDGER_RETRY: Micros = 500_000;
/// Connections that the system queues before they are accepted.
const BACKLOG: i32 = 128;

impl Fleet {
    /// Starts voting and listening, if this relay is a voter and its ledger is open.
    ///
    /// It must not listen earlier: links would reach a process that cannot answer, while its
    /// predecessor still votes. With a log that is damaged, or of a voter that was removed, the
    /// relay does not vote; this is logged.
    pub(super) fn start_voting(&mut self) -> Result<(), OpenError> {
        let (Some(ledger), Some(number)) = (&self.ledger, self.settings.fleet.voter) else {
            return Ok(());
        };
        let Some(voter) = self.restore_voter(ledger, number)? else {
            return Ok(());
        };
        let own_entry = self
            .settings
            .fleet
            .voters
            .iter()
            .find(|voter| voter.number == number)
            .ok_or(OpenError::UnknownVoter)?;
        let listener = listen(own_entry)?;
        self.poller
            .watch(&listener, LISTENER, None, Some(READ_ONLY))?;
        log(&format!(
            "{}: votes in its fleet on {}",
            self.relay_name,
            listener.local_addr()?
        ));
        self.voter = Some(voter);
        self.listener = Some(listener);
        Ok(())
    }

    /// Restores the voter from its ledger; none if it cannot vote.
    fn restore_voter(&self, ledger: &Ledger, number: u64) -> Result<Option<Voter>, LedgerError> {
        let log_state = ledger.load_log()?;
        let disk_id = ledger.incarnation()?;
        let timing = self.settings.timing();
        let restored = Voter::new(number, disk_id, &log_state, timing, boottime());
        let voter = match restored {
            Ok(voter) => voter,
            Err(corrupt) => {
                let directory = self.settings.directory.display();
                log(&format!(
                    "fleet: {directory}: {}; it is left as it is, and this relay does not vote",
                    corrupt
                ));
                return Ok(None);
            }
        };
        #[cfg(feature = "injected-bugs")]
        let voter = voter.with_injected(super::injected_bugs());
        if let Some(reason) = voter.fatal_error() {
            log(&format!("fleet: {}; voter {number} does not vote", reason));
            return Ok(None);
        }
        Ok(Some(voter))
    }

    /// Tries again to open a ledger that this process's predecessor had open.
    pub(super) fn retry_ledger(&mut self, now: Micros) {
        match Ledger::open(&self.settings.directory, &self.settings.ledger_owner()) {
            Ok(ledger) => {
                self.ledger_retry_at = None;
                self.attach_ledger(ledger);
            }
            Err(e) if e.is_in_use() => self.ledger_retry_at = Some(now + LEDGER_RETRY),
            Err(e) => {
                self.ledger_retry_at = None;
                log(&format!("fleet: {e}; this relay does not vote"));
            }
        }
    }

    /// Uses a ledger that was opened after the start.
    fn attach_ledger(&mut self, ledger: Ledger) {
        // Meanwhile this process followed the fleet, so its policy may be newer than the stored
        // one.
        let policy = self.lease_client.policy();
        let stored_is_older = ledger
            .load_policy()
            .is_ok_and(|stored| stored.epoch < policy.epoch);
        if stored_is_older {
            if let Err(e) = ledger.save_policy(policy) {
                log(&format!("fleet: {e}; this relay does not vote"));
                return;
            }
        }
        self.ledger = Some(ledger);
        if let Err(e) = self.start_voting() {
            log(&format!("fleet: {e}"));
        }
    }

    /// Ticks the voter, and learns a membership that its log has committed.
    pub(super) fn tick_voter(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        voter.tick(now);
        let membership = &voter.state().membership;
        if self.lease_client.learn_membership(membership) {
            let membership = membership.clone();
            self.update_membership(membership);
        }
    }

    /// Passes a message to the voter. A relay that does not vote ignores it.
    pub(super) fn handle_voter_message(&mut self, from: ReplyAddress, message: Message) {
        let now = boottime();
        let Some(voter) = &mut self.voter else {
            return;
        };
        match message {
            Message::Founding(number, disk_id) => voter.handle_founding(now, from, number, disk_id),
            Message::NotAMember(number, disk_id)
                if number == voter.id() && disk_id == voter.disk_id() =>
            {
                let remedy = "another under a new number may take its place";
                self.stop_voting(&format!(
                    "this voter was removed, or its ledger made anew: {remedy}"
                ));
            }
            Message::Log(disk_id, bytes) => {
                if let Err(corrupt) = voter.step(now, from, disk_id, &bytes) {
                    let remedy =
                        "its disk must be replaced, and a voter of a new number take its place";
                    self.abandon_ledger(&format!("the ledger: {}: {remedy}", corrupt));
                }
            }
            Message::RenewRequest(request) => voter.handle_renew(now, from, request),
            Message::OperatorRequest(number, request) => {
                voter.handle_operator_request(now, from, number, request)
            }
            Message::Subscribe(subscribe) => voter.handle_subscribe(now, from, subscribe),
            Message::Publish(publish) => voter.handle_publish(now, from, publish),
            Message::Poll(poll) => voter.handle_poll(now, from, poll),
            Message::Submission(submission) => voter.handle_submission(now, from, submission),
            _ => {}
        }
    }

    /// Persists the voter's log, then sends its messages. False if there is nothing to do.
    pub(super) fn drive_voter(&mut self) -> bool {
        let Some(voter) = &mut self.voter else {
            return false;
        };
        let ready = voter.ready(boottime());
        if let Some(reason) = voter.fatal_error() {
            self.stop_voting(&reason.to_string());
            return false;
        }
        if ready.is_empty() {
            return false;
        }
        // Durable before any message: a vote that a crash undoes could be given twice in one term.
        if let Err(e) = self.persist(&ready.persist) {
            self.abandon_ledger(&e.to_string());
            return false;
        }
        for (voter, message) in ready.voter_messages {
            self.send_to_voter(voter, message);
        }
        for (to, message) in ready.replies {
            self.send_reply(to, message);
        }
        true
    }

    fn persist(&self, batch: &PersistBatch) -> Result<(), LedgerError> {
        #[cfg(feature = "injected-bugs")]
        if super::injected_bugs().is(jaspermoor_control::InjectedBug::SendBeforePersist) {
            return Ok(());
        }
        match &self.ledger {
            Some(ledger) if !batch.is_empty() => ledger.persist_log(batch),
            _ => Ok(()),
        }
    }

    fn send_reply(&mut self, to: ReplyAddress, message: Message) {
        if to == LOCAL {
            self.inbox.push_back(Inbound {
                from: LOCAL,
                message,
            });
        } else {
            self.send(to, message);
        }
    }

    /// Stops voting and closes a ledger that cannot be relied on: a voter must not promise state
    /// that it cannot store.
    fn abandon_ledger(&mut self, reason: &str) {
        log(&format!("fleet: {reason}"));
        self.ledger = None;
        self.stop_voting("its ledger cannot be used");
    }

    /// Stops voting and listening. The relay continues to serve, like one that is not a voter.
    fn stop_voting(&mut self, reason: &str) {
        log(&format!(
            "fleet: {reason}; {} does not vote",
            self.relay_name
        ));
        self.voter = None;
        if let Some(listener) = self.listener.take() {
            let _ = self
                .poller
                .watch(&listener, LISTENER, Some(READ_ONLY), None);
        }
    }
}

fn listen(voter: &FleetVoter) -> Result<TcpListener, OpenError> {
    let address = voter.listen.unwrap_or(voter.address);
    open_listener(address).map_err(|source| OpenError::Listen { address, source })
}

fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
