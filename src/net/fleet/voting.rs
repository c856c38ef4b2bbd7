//! This relay's vote: it begins with the ledger, and ends where the ledger can no longer be relied on.

use super::{Fleet, LISTEN};
use crate::config::operator::FleetVoter;
use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::poll::Interest;
use crate::platform::ledger::Ledger;
use crate::sys::boottime;
use jaspermoor_control::log::voter::Voter;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::TcpListener;

/// A ledger that another process has is asked for again so often: the older one of this relay, during an upgrade.
const LEDGER_RETRY: Micros = 500_000;
/// Links that wait to be accepted.
const BACKLOG: i32 = 128;

impl Fleet {
    /// Becomes the voter that the ledger says, and listens: not before, or links would lead to a process that cannot
    /// answer while the older one of this relay still votes.
    pub(super) fn take_vote(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let (Some(ledger), Some(number)) = (&self.ledger, self.setup.fleet.voter) else {
            return Ok(());
        };
        let kept = ledger.load_log()?;
        let voter = Voter::new(
            number,
            ledger.incarnation()?,
            &kept,
            self.setup.times(),
            boottime(),
        );
        let voter = match voter {
            Ok(voter) => voter,
            Err(damaged) => {
                let place = self.setup.directory.display();
                log(&format!(
                    "fleet: {place}: {}; it is left as it is, and this relay does not vote",
                    damaged.0
                ));
                return Ok(());
            }
        };
        #[cfg(feature = "injected-bugs")]
        let voter = voter.with_injected(super::injected());
        if let Some(why) = voter.fatal_error() {
            log(&format!("fleet: {}; voter {number} does not vote", why.0));
            return Ok(());
        }
        let own = self
            .setup
            .fleet
            .voters
            .iter()
            .find(|voter| voter.number == number);
        let listener = listen(own.ok_or("fleet.voter: no voter has this number")?)?;
        self.poller.watch(
            &listener,
            LISTEN,
            None,
            Some(Interest {
                read: true,
                write: false,
                end: false,
            }),
        )?;
        log(&format!(
            "{}: votes in its fleet on {}",
            self.name,
            listener.local_addr()?
        ));
        (self.voter, self.listener) = (Some(voter), Some(listener));
        Ok(())
    }

    /// The older process of this relay may have ended.
    pub(super) fn reopen(&mut self, now: Micros) {
        match Ledger::open(&self.setup.directory, &self.setup.owner()) {
            Ok(ledger) => {
                self.retry = None;
                // It has followed the fleet meanwhile: what it has is newer than what stands there.
                let policy = self.lease_client.policy().clone();
                let newer = ledger
                    .load_policy()
                    .is_ok_and(|kept| kept.epoch < policy.epoch);
                if let Err(e) = if newer {
                    ledger.save_policy(&policy)
                } else {
                    Ok(())
                } {
                    return log(&format!("fleet: {e}; this relay does not vote"));
                }
                self.ledger = Some(ledger);
                if let Err(e) = self.take_vote() {
                    log(&format!("fleet: {e}"));
                }
            }
            Err(e) if e.is_in_use() => self.retry = Some(now + LEDGER_RETRY),
            Err(e) => {
                self.retry = None;
                log(&format!("fleet: {e}; this relay does not vote"));
            }
        }
    }

    /// What it cannot store it must not say: it votes no more, and serves on.
    pub(super) fn give_up_vote(&mut self, e: &str) {
        log(&format!("fleet: {e}"));
        self.ledger = None;
        self.end_vote("its ledger is of no use");
    }

    /// It votes no more, and serves on like any relay that never did.
    pub(super) fn end_vote(&mut self, why: &str) {
        log(&format!("fleet: {why}; {} does not vote", self.name));
        self.voter = None;
        if let Some(listener) = self.listener.take() {
            let _ = self.poller.watch(
                &listener,
                LISTEN,
                Some(Interest {
                    read: true,
                    write: false,
                    end: false,
                }),
                None,
            );
        }
    }
}

fn listen(voter: &FleetVoter) -> Result<TcpListener, String> {
    let addr = voter.listen.unwrap_or(voter.address);
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    open().map_err(|e| format!("fleet.voters: cannot listen on {addr}: {e}"))
}
