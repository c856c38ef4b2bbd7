//! Accepting clients: the listeners, and the room that is made for new clients.

use super::{other_token, EventLoop, ListenerProtocol, FIRST_LISTENER, MAX_PER_TURN, READ};
use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::admission::Eviction;
use crate::net::connection::Connection;
use crate::net::listen::Listener;
use crate::sys::timed_out;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// The pause before a relay without capacity accepts clients again, in microseconds.
const FULL_PAUSE: Micros = 1_000;
/// The pause after an accept failed, as for lack of descriptors, in microseconds.
const ACCEPT_ERROR_PAUSE: Micros = 5_000;
/// A lack of capacity that lasts for this time is logged, in microseconds: clients that wait in the
/// queue of the listener notice it.
const LOGGED_STALL: Micros = 250_000;

/// A listener for clients.
pub(super) struct ListenerEntry {
    /// None once this process accepts no more clients from it.
    pub(super) listener: Option<Arc<Listener>>,
    pub(super) protocol: ListenerProtocol,
    /// Whether the poller watches the socket now.
    pub(super) watched: bool,
}

impl ListenerEntry {
    /// Whether clients are accepted from a socket that other processes of this relay share.
    pub(super) fn is_inherited(&self) -> bool {
        self.listener.as_ref().is_some_and(|l| l.inherited)
    }
}

impl EventLoop {
    /// Accepts clients that wait at a listener.
    pub(super) fn accept_clients(&mut self, n: usize) {
        for _ in 0..MAX_PER_TURN {
            let Some((listener, protocol)) = self.open_listener(n) else {
                return;
            };
            // Clients that cannot be accepted now wait in the listener's queue.
            if !self.make_room() {
                self.log_stall();
                return self.pause_accepting(FULL_PAUSE);
            }
            self.stalled = None;
            match listener.accept() {
                Ok(client) => {
                    self.accept_failed = false;
                    self.add_client(client, protocol);
                }
                Err(e) if timed_out(&e) => return,
                Err(e) => {
                    if !std::mem::replace(&mut self.accept_failed, true) {
                        log(&format!("accept: {e}"));
                    }
                    return self.pause_accepting(ACCEPT_ERROR_PAUSE);
                }
            }
        }
    }

    fn open_listener(&self, n: usize) -> Option<(Arc<Listener>, ListenerProtocol)> {
        let entry = self.listeners.get(n)?;
        Some((entry.listener.clone()?, entry.protocol))
    }

    /// Accepts no more clients from a listener. Those that wait at a socket of this process alone
    /// are accepted first, since its close would reset them. Closed it is, because the system would
    /// go on accepting clients at an open socket, and they would wait in vain.
    pub(super) fn close_listener(&mut self, n: usize) {
        let Some((listener, protocol)) = self.open_listener(n) else {
            return;
        };
        while !listener.inherited && self.make_room() {
            let Ok(client) = listener.accept() else {
                break;
            };
            self.add_client(client, protocol);
        }
        self.watch_listener(n, false);
        self.listeners[n].listener = None;
    }

    /// Whether one more client can be accepted. If not, some connections without a request are
    /// closed or dismissed first.
    pub(super) fn make_room(&mut self) -> bool {
        if self.shared.admission.has_capacity() {
            return true;
        }
        let Eviction { close, dismiss } = self.shared.admission.evict_waiting(Instant::now());
        self.end_lingering(close);
        dismiss
            .into_iter()
            .for_each(|number| self.update_connection(number, Connection::dismiss));
        self.shared.admission.has_capacity()
    }

    /// Closes connections that linger after a request, as far as the next requests need their
    /// descriptors.
    pub(super) fn make_room_for_requests(&mut self) {
        if self.shared.admission.is_short_of_request_descriptors() {
            let close = self.shared.admission.evict_after_requests(Instant::now());
            self.end_lingering(close);
        }
    }

    /// Ends the connections without a request that buffer the most, where all of them buffer more
    /// than they may. Called after each event that may have added to it, since one turn has hundreds.
    pub(super) fn make_room_in_memory(&mut self) {
        for number in self.shared.admission.evict_for_memory() {
            self.update_connection(number, Connection::end_for_memory);
        }
    }

    fn end_lingering(&mut self, numbers: Vec<u64>) {
        numbers
            .into_iter()
            .for_each(|number| self.update_connection(number, Connection::end_linger));
    }

    fn log_stall(&mut self) {
        let now = self.shared.decisions.now();
        self.stall_report(now).iter().for_each(|line| log(line));
    }

    /// The log line on what occupies the places of connections without a request, once for each
    /// stall that lasts.
    pub(super) fn stall_report(&mut self, now: Micros) -> Option<String> {
        let (since, logged) = *self.stalled.get_or_insert((now, false));
        if logged || now < since + LOGGED_STALL {
            return None;
        }
        self.stalled = Some((since, true));
        let admission = &self.shared.admission;
        let (waiting, closing) = (admission.waiting_count(), admission.closing_count());
        let (_, max_waiting) = admission.limits();
        let ms = (now - since) / 1_000;
        Some(format!(
            "accept: no capacity for {ms} ms: waiting={waiting} closing={closing} \
             limit={max_waiting}"
        ))
    }

    pub(super) fn add_client(&mut self, client: TcpStream, protocol: ListenerProtocol) {
        let waiting = self.shared.admission.register(client);
        if let Some(conn) = Connection::accept(&self.shared, waiting, protocol) {
            self.add_connection(conn);
            self.make_room_in_memory();
        }
    }

    /// Accepts no clients for this time.
    fn pause_accepting(&mut self, wait: Micros) {
        self.paused_until = Some(self.shared.decisions.now() + wait);
        self.watch_listeners(false);
    }

    pub(super) fn resume_accepting(&mut self, now: Micros) {
        if self.paused_until.is_some_and(|until| now >= until) {
            self.paused_until = None;
            self.watch_listeners(true);
        }
    }

    pub(super) fn watch_listeners(&mut self, on: bool) {
        (0..self.listeners.len()).for_each(|n| self.watch_listener(n, on));
    }

    fn watch_listener(&mut self, n: usize, on: bool) {
        let entry = &mut self.listeners[n];
        let Some(listener) = &entry.listener else {
            return;
        };
        let interest = |on: bool| on.then_some(READ);
        let token = other_token(FIRST_LISTENER + n as u64);
        let (before, after) = (interest(entry.watched), interest(on));
        match self.poller.watch(listener, token, before, after) {
            Ok(()) => entry.watched = on,
            Err(e) => log(&format!("accept: a listener is not watched: {e}")),
        }
    }
}
