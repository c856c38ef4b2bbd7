//! The drain of a process that stops: hands over or migrates its connections at a limited pace.

use super::accept::ListenerEntry;
use super::{EventLoop, ListenerProtocol};
use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::connection::{Connection, Phase};
use crate::platform::takeover::Successor;
use crate::sys::timed_out;
use std::sync::atomic::Ordering::Relaxed;

/// How long new clients may still arrive after the signal to stop, in microseconds: the platform's
/// front end takes 0.4 s to stop sending them.
const LATE_CLIENT_TIME: Micros = 450_000;
/// The platform kills a process that was told to stop after the longest deadline of its classes,
/// but at most this, plus [`KILL_DELAY`]. In microseconds.
const MAX_KILL_DEADLINE: Micros = 3_000_000;
/// The time that the platform adds to that deadline, in microseconds.
const KILL_DELAY: Micros = 700_000;
/// The interval between two steps of a drain, in microseconds.
const DRAIN_INTERVAL: Micros = 25_000;
/// A drain ends this long before the kill, in microseconds.
const KILL_MARGIN: Micros = 200_000;
/// All pending requests are answered this long before the end of the drain, in microseconds, also
/// those whose clients would wait longer. The time is for the answers to arrive, for the
/// connections that were established last to be migrated, and for clients to close.
const ANSWER_MARGIN: Micros = 300_000;
/// Established connections are migrated this long before the end of the drain, in microseconds, also
/// those whose backend has not finished. The time is for the last message to arrive.
const MIGRATION_MARGIN: Micros = 100_000;
/// From this long after the start of a drain, in microseconds, clients that have begun to send a
/// request are dismissed too. Those that have sent nothing are dismissed earlier.
const HANDSHAKE_DRAIN_TIME: Micros = 2 * LATE_CLIENT_TIME;

/// The state of a relay that stops. `migrated_by`, `kill_after` and `late_client_time` are relative
/// to `started_at`.
pub(super) struct Drain {
    pub(super) started_at: Micros,
    /// When all established connections have been told to migrate.
    pub(super) migrated_by: Micros,
    /// When the platform kills the process.
    pub(super) kill_after: Micros,
    /// How long new clients may still arrive; until then nothing is migrated.
    pub(super) late_client_time: Micros,
    /// The time of the next step.
    pub(super) next_step: Micros,
    /// The process that takes over the established connections, if there is one.
    pub(super) successor: Option<Successor>,
}

impl Drain {
    /// The time after its start from which nobody is admitted and clients without a request have an
    /// answer: pending requests must have theirs by then, too.
    fn admits_until(&self) -> Micros {
        let answers_until = self.kill_after.saturating_sub(KILL_MARGIN + ANSWER_MARGIN);
        answers_until.max(self.late_client_time)
    }

    /// The time after its start from which no connection may stay established.
    fn migrates_until(&self) -> Micros {
        let migrates_until = self
            .kill_after
            .saturating_sub(KILL_MARGIN + MIGRATION_MARGIN);
        migrates_until.max(self.late_client_time)
    }
}

impl EventLoop {
    /// Hands over or migrates the established connections at a limited pace. True once none is
    /// left, or when the platform is about to kill the process. Where the listening socket is
    /// inherited from the platform, new clients are left to the successor; elsewhere they are
    /// served as long as they arrive.
    pub(super) fn advance_drain(&mut self, now: Micros) -> bool {
        let Some(mut drain) = self.drain.take() else {
            self.drain = Some(self.begin_drain(now));
            return false;
        };
        if now < drain.next_step {
            self.drain = Some(drain);
            return false;
        }
        drain.next_step = now + DRAIN_INTERVAL;
        let over = self.drain_step(&mut drain, now);
        self.drain = Some(drain);
        over
    }

    fn begin_drain(&mut self, now: Micros) -> Drain {
        let inherited = self.listeners.iter().any(ListenerEntry::is_inherited);
        for n in 0..self.listeners.len() {
            let is_line = self.listeners[n].protocol == ListenerProtocol::Line;
            // Elsewhere clients of the line protocol are served as long as they arrive.
            if !is_line || inherited {
                self.close_listener(n);
            }
            if is_line && inherited {
                self.shared.accepting.store(false, Relaxed);
            }
        }
        let longest = self.shared.settings().rules.classes.longest_deadline();
        let kill_after = longest.min(MAX_KILL_DEADLINE) + KILL_DELAY;
        let answer_deadline = now + kill_after - KILL_MARGIN - ANSWER_MARGIN;
        self.shared.answer_deadline.store(answer_deadline, Relaxed);
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        numbers.into_iter().for_each(|number| {
            self.update_connection(number, |conn| conn.shorten_deadline(answer_deadline))
        });
        let late_client_time = if inherited { 0 } else { LATE_CLIENT_TIME };
        Drain {
            started_at: now,
            // Leaves time for the migrated connections to end, and for pending requests.
            migrated_by: (kill_after * 3 / 5).max(late_client_time + DRAIN_INTERVAL),
            kill_after,
            late_client_time,
            next_step: now + DRAIN_INTERVAL,
            successor: self
                .takeover_dir
                .as_deref()
                .filter(|_| inherited)
                .and_then(Successor::find),
        }
    }

    /// Ends the admission of clients: those that wait at a listener of this process, or have sent no
    /// request, are read once more and get an answer.
    fn answer_unadmitted_clients(&mut self) {
        (0..self.listeners.len()).for_each(|n| self.close_listener(n));
        self.update_connections(|conn| conn.phase == Phase::Handshake, Connection::dismiss);
    }

    /// Calls all connections that are selected.
    fn update_connections(
        &mut self,
        is_selected: impl Fn(&Connection) -> bool,
        work: impl Fn(&mut Connection),
    ) {
        let selected = self.connections.values().filter(|conn| is_selected(conn));
        let numbers: Vec<u64> = selected.map(|conn| conn.number).collect();
        numbers
            .into_iter()
            .for_each(|number| self.update_connection(number, &work));
    }

    /// Migrates all established connections at once.
    fn migrate_established_connections(&mut self) {
        self.update_connections(
            |conn| conn.phase == Phase::Established,
            Connection::migrate_now,
        );
    }

    fn drain_step(&mut self, drain: &mut Drain, time: Micros) -> bool {
        let now = time.saturating_sub(drain.started_at);
        if now >= drain.admits_until() {
            self.answer_unadmitted_clients();
        }
        if now >= drain.migrates_until() {
            self.migrate_established_connections();
        }
        if now + KILL_MARGIN >= drain.kill_after {
            self.connections
                .values_mut()
                .for_each(|conn| conn.log_cut_off());
            return true;
        }
        let session_to_migrate = |conn: &Connection| {
            let session = conn
                .session
                .as_ref()
                .filter(|s| conn.phase == Phase::Established && s.may_migrate());
            session.map(|s| (conn.number, s.clone()))
        };
        let established = self
            .connections
            .values()
            .filter_map(|conn| session_to_migrate(conn));
        // Connections that cannot be handed over are migrated even if there is a successor.
        let (mut established, not_portable): (Vec<_>, Vec<_>) =
            established.partition(|(_, s)| s.is_portable());
        if let Some(to) = &drain.successor {
            let mut result = Ok(());
            for (number, _) in &established {
                self.update_connection(*number, |conn| result = conn.hand_over(to));
                if result.is_err() {
                    break;
                }
            }
            match result {
                // Connections that could not be handed over now are tried again in the next step,
                // for half of the time. After that they are migrated.
                Ok(()) if now < drain.kill_after / 2 => established.clear(),
                Ok(()) => {}
                Err(e) if timed_out(&e) && now < drain.kill_after / 2 => established.clear(),
                Err(e) => {
                    log(&format!("takeover: the successor takes no more: {e}"));
                    drain.successor = None;
                }
            }
        }
        if now < drain.late_client_time {
            return false;
        }
        let steps = (drain.migrated_by.saturating_sub(now) as f32 / DRAIN_INTERVAL as f32).max(1.0);
        established.extend(not_portable);
        let share = (established.len() as f32 / steps).ceil() as usize;
        established
            .iter()
            .take(share)
            .for_each(|(_, session)| crate::decision_service::RequestHandle::migrate(&**session));
        // Connections without a request are dismissed. Clients that have begun to send one have
        // some time to finish, because no other process can read the rest.
        let is_dismissible = |conn: &Connection| {
            conn.may_be_dismissed()
                || (now > HANDSHAKE_DRAIN_TIME && conn.phase == Phase::Handshake)
        };
        self.update_connections(is_dismissible, Connection::dismiss);
        if !self.connections.is_empty() {
            return false;
        }
        (0..self.listeners.len()).for_each(|n| self.close_listener(n));
        self.connections.is_empty()
    }
}
