//! The figures of this process. They are counted where things happen, outside the decisions' lock, and
//! rendered in one place, in the text form that scrapers read.

use super::traffic::{Direction, MessageCount, Traffic};
use crate::decision_service::CellMetrics;
use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How the connections of one class were answered.
#[derive(Default)]
struct Class {
    name: String,
    passed: AtomicU64,
    dropped: AtomicU64,
    bad_gateway: AtomicU64,
}

/// All figures that are counted. They start at 0 with the process.
#[derive(Default)]
pub struct Metrics {
    classes: Mutex<Vec<Arc<Class>>>,
    in_progress: AtomicU64,
    /// Attempts written whole to backends.
    pub attempts: AtomicU64,
    /// Configurations taken at SIGHUP.
    pub reloads: AtomicU64,
    /// Configurations turned down at SIGHUP.
    pub reload_errors: AtomicU64,
    /// Of the XMPP front.
    pub xmpp: XmppMetrics,
    /// Of this relay's part in its fleet.
    pub fleet: FleetMetrics,
}

/// Figures of a relay's part in its fleet; they are shown where it is in one.
#[derive(Default)]
pub struct FleetMetrics {
    /// Whether it is in one.
    pub enabled: AtomicBool,
    /// The epoch of the policy that it serves under.
    pub epoch: AtomicU64,
    /// Whether clients may be admitted now.
    pub admitting: AtomicBool,
    /// How often its lease has run out or was ended for a change.
    pub lease_losses: AtomicU64,
    /// Whether it votes, and the term in which it leads; 0 while it does not.
    pub is_voting: AtomicBool,
    /// See `votes`.
    pub leader_term: AtomicU64,
    /// Whether it takes jobs of the fleet.
    pub takes_jobs: AtomicBool,
    /// The jobs that it acts on, with their tokens; as many as are told by name.
    pub owned_jobs: Mutex<Vec<(String, u64)>>,
    /// Words of owners that it has obeyed, and words of owners of before that it has refused.
    pub updates_accepted: AtomicU64,
    /// See `obeyed`.
    pub updates_rejected: AtomicU64,
    /// Probes for which a report of the load watch stood, and those that were made for want of one.
    pub checks_avoided: AtomicU64,
    /// See `spared`.
    pub checks_sent: AtomicU64,
    /// Messages and bytes of its links.
    pub traffic: Traffic,
}

/// Jobs that are told by name: a relay that has more tells how many.
const NAMED_JOBS: usize = 32;

/// Figures of the XMPP front; they are shown where there is one.
#[derive(Default)]
pub struct XmppMetrics {
    /// Whether there is one.
    pub enabled: AtomicBool,
    /// Sessions that their servers have taken and that have not ended.
    pub sessions: AtomicU64,
    /// Sessions whose server said no to their credentials.
    pub sasl_failures: AtomicU64,
    /// Handshakes that came to nothing.
    pub tls_failures: AtomicU64,
    /// Stanzas that were half received when their session was moved, and were lost.
    pub truncated_stanzas: AtomicU64,
    /// Sessions that were moved.
    pub migrated: AtomicU64,
}

/// What is not counted but looked up when the figures are asked for.
pub struct Gauges {
    /// Backends on the list.
    pub known: usize,
    /// Those of them that the relay avoids now, by hand or by choice.
    pub skipped: usize,
    /// Each cell; one alone is not shown.
    pub cells: Vec<CellMetrics>,
    /// Connections that wait to be moved to their site's cell.
    pub moves: usize,
}

impl Metrics {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Class>>> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Shows these classes from now on. One that has vanished from the settings keeps its figures.
    pub fn add_classes(&self, names: &[String]) {
        let mut classes = self.lock();
        for name in names {
            if !classes.iter().any(|c| c.name == *name) {
                classes.push(Arc::new(Class {
                    name: name.clone(),
                    ..Class::default()
                }));
            }
        }
    }

    /// Counts a connection of this class as in progress until its tally is dropped.
    pub fn begin_request(self: &Arc<Self>, class: &str) -> RequestCounter {
        self.in_progress.fetch_add(1, Relaxed);
        let class = self.lock().iter().find(|c| c.name == class).cloned();
        RequestCounter {
            metrics: self.clone(),
            class: class.unwrap_or_default(),
        }
    }

    /// The figures as text.
    pub fn render(&self, fleet: &Gauges) -> String {
        let mut text = String::new();
        let classes = self.lock().clone();
        type Figure = fn(&Class) -> &AtomicU64;
        let by_class: [(&str, Figure); 3] = [
            ("passed_total", |c| &c.passed),
            ("dropped_total", |c| &c.dropped),
            ("bad_gateway_total", |c| &c.bad_gateway),
        ];
        // Writing to a text cannot fail.
        for (name, figure) in by_class {
            let _ = writeln!(text, "# TYPE edge_balancer_{name} counter");
            for class in &classes {
                let (label, n) = (escaped(&class.name), figure(class).load(Relaxed));
                let _ = writeln!(text, "edge_balancer_{name}{{category=\"{label}\"}} {n}");
            }
        }
        let single = [
            (
                "upstream_tries_total",
                "counter",
                self.attempts.load(Relaxed),
            ),
            ("loads_total", "counter", self.reloads.load(Relaxed)),
            (
                "load_errors_total",
                "counter",
                self.reload_errors.load(Relaxed),
            ),
            ("in_progress", "gauge", self.in_progress.load(Relaxed)),
            ("known_backends", "gauge", fleet.known as u64),
            ("skipped_backends", "gauge", fleet.skipped as u64),
        ];
        let xmpp = [
            ("xmpp_sessions", "gauge", &self.xmpp.sessions),
            (
                "xmpp_sasl_failures_total",
                "counter",
                &self.xmpp.sasl_failures,
            ),
            (
                "xmpp_tls_failures_total",
                "counter",
                &self.xmpp.tls_failures,
            ),
            (
                "xmpp_cut_stanzas_total",
                "counter",
                &self.xmpp.truncated_stanzas,
            ),
            ("xmpp_moved_total", "counter", &self.xmpp.migrated),
        ];
        let xmpp = xmpp.iter().filter(|_| self.xmpp.enabled.load(Relaxed));
        let xmpp = xmpp.map(|(name, kind, n)| (*name, *kind, n.load(Relaxed)));
        let control = [
            ("fleet_epoch", "gauge", self.fleet.epoch.load(Relaxed)),
            (
                "fleet_admits",
                "gauge",
                self.fleet.admitting.load(Relaxed).into(),
            ),
            (
                "fleet_stops_total",
                "counter",
                self.fleet.lease_losses.load(Relaxed),
            ),
            (
                "fleet_votes",
                "gauge",
                self.fleet.is_voting.load(Relaxed).into(),
            ),
            (
                "fleet_leads_term",
                "gauge",
                self.fleet.leader_term.load(Relaxed),
            ),
        ];
        let control = control
            .into_iter()
            .filter(|_| self.fleet.enabled.load(Relaxed));
        let own = crate::sys::lock(&self.fleet.owned_jobs).clone();
        let jobs = [
            ("fleet_jobs", "gauge", own.len() as u64),
            (
                "fleet_words_obeyed_total",
                "counter",
                self.fleet.updates_accepted.load(Relaxed),
            ),
            (
                "fleet_words_refused_total",
                "counter",
                self.fleet.updates_rejected.load(Relaxed),
            ),
            (
                "fleet_probes_spared_total",
                "counter",
                self.fleet.checks_avoided.load(Relaxed),
            ),
            (
                "fleet_probes_made_total",
                "counter",
                self.fleet.checks_sent.load(Relaxed),
            ),
        ];
        let jobs = jobs
            .into_iter()
            .filter(|_| self.fleet.takes_jobs.load(Relaxed));
        if !own.is_empty() {
            text.push_str("# TYPE edge_balancer_fleet_job_token gauge\n");
        }
        for (name, token) in own.iter().take(NAMED_JOBS) {
            let _ = writeln!(
                text,
                "edge_balancer_fleet_job_token{{job=\"{}\"}} {token}",
                escaped(name)
            );
        }
        for (name, kind, n) in single.into_iter().chain(xmpp).chain(control).chain(jobs) {
            let _ = writeln!(
                text,
                "# TYPE edge_balancer_{name} {kind}\nedge_balancer_{name} {n}"
            );
        }
        if self.fleet.enabled.load(Relaxed) {
            by_message_type(&mut text, &self.fleet.traffic);
        }
        if fleet.cells.len() > 1 {
            by_cell(&mut text, fleet);
        }
        text
    }
}

/// Messages and bytes of the control's links, by direction and type of message.
fn by_message_type(text: &mut String, traffic: &Traffic) {
    type Figure = fn(&MessageCount) -> u64;
    let figures: [(&str, Direction, Figure); 4] = [
        ("fleet_messages_sent_total", Direction::Sent, |count| {
            count.messages
        }),
        ("fleet_bytes_sent_total", Direction::Sent, |count| {
            count.bytes
        }),
        (
            "fleet_messages_received_total",
            Direction::Received,
            |count| count.messages,
        ),
        ("fleet_bytes_received_total", Direction::Received, |count| {
            count.bytes
        }),
    ];
    let counts = traffic.counts();
    // Writing to a text cannot fail.
    for (name, direction, figure) in figures {
        let _ = writeln!(text, "# TYPE edge_balancer_{name} counter");
        for count in counts.iter().filter(|count| count.direction == direction) {
            let _ = writeln!(
                text,
                "edge_balancer_{name}{{type=\"{}\"}} {}",
                count.kind,
                figure(count)
            );
        }
    }
}

/// The figures of cells. Their number is bounded by that of cells.
fn by_cell(text: &mut String, fleet: &Gauges) {
    type Figure = fn(&CellMetrics) -> u64;
    let figures: [(&str, &str, Figure); 7] = [
        ("cell_servers", "gauge", |c| c.endpoints as u64),
        ("cell_usable", "gauge", |c| c.usable.into()),
        ("cell_in_progress", "gauge", |c| c.in_flight.into()),
        ("cell_borrowed", "gauge", |c| c.borrowed.into()),
        ("cell_up_total", "counter", |c| c.connected),
        ("cell_refused_total", "counter", |c| c.rejected),
        ("cell_failed_total", "counter", |c| c.failed),
    ];
    // Writing to a text cannot fail.
    for (name, kind, figure) in figures {
        let _ = writeln!(text, "# TYPE edge_balancer_{name} {kind}");
        for cell in &fleet.cells {
            let _ = writeln!(
                text,
                "edge_balancer_{name}{{cell=\"{}\"}} {}",
                escaped(&cell.name),
                figure(cell)
            );
        }
    }
    let _ = writeln!(text, "# TYPE edge_balancer_cell_moves_waiting gauge");
    let _ = writeln!(text, "edge_balancer_cell_moves_waiting {}", fleet.moves);
}

/// A label's value, as the text form wants it.
fn escaped(label: &str) -> String {
    label
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

/// One connection's part in the figures; it is in progress until this is dropped.
pub struct RequestCounter {
    metrics: Arc<Metrics>,
    class: Arc<Class>,
}

impl RequestCounter {
    /// Its backend has taken it.
    pub fn connected(&self) {
        self.class.passed.fetch_add(1, Relaxed);
    }

    /// It was refused.
    pub fn rejected(&self) {
        self.class.dropped.fetch_add(1, Relaxed);
    }

    /// It has failed.
    pub fn failed(&self) {
        self.class.bad_gateway.fetch_add(1, Relaxed);
    }
}

impl Drop for RequestCounter {
    fn drop(&mut self) {
        self.metrics.in_progress.fetch_sub(1, Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(list: &[&str]) -> Vec<String> {
        list.iter().map(|n| n.to_string()).collect()
    }

    #[test]
    fn figures_start_at_zero_and_outlive_their_class() {
        let metrics = Arc::new(Metrics::default());
        metrics.add_classes(&names(&["chat", "a\"b\\c"]));
        let gauges = Gauges {
            known: 9,
            skipped: 2,
            cells: Vec::new(),
            moves: 0,
        };
        let text = metrics.render(&gauges);
        for line in [
            "edge_balancer_passed_total{category=\"chat\"} 0",
            "edge_balancer_bad_gateway_total{category=\"a\\\"b\\\\c\"} 0",
            "edge_balancer_upstream_tries_total 0",
            "edge_balancer_in_progress 0",
            "edge_balancer_known_backends 9",
            "edge_balancer_skipped_backends 2",
            "edge_balancer_load_errors_total 0",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
        }
        assert!(
            !text.contains("fleet_"),
            "shown by a relay that is in no fleet"
        );
        metrics.fleet.enabled.store(true, Relaxed);
        metrics.fleet.epoch.store(7, Relaxed);
        assert!(metrics
            .render(&gauges)
            .contains("# TYPE edge_balancer_fleet_epoch gauge\nedge_balancer_fleet_epoch 7\n"));
        metrics
            .fleet
            .traffic
            .count(Direction::Received, "reply", 90);
        let text = metrics.render(&gauges);
        for line in [
            "edge_balancer_fleet_messages_received_total{type=\"reply\"} 1",
            "edge_balancer_fleet_bytes_received_total{type=\"reply\"} 90",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
        }
        assert!(!text.contains("fleet_bytes_sent_total{"), "none was sent");
        let (one, two) = (metrics.begin_request("chat"), metrics.begin_request("chat"));
        one.connected();
        two.rejected();
        metrics.add_classes(&names(&["new"]));
        drop(one);
        let text = metrics.render(&gauges);
        for line in [
            "edge_balancer_passed_total{category=\"chat\"} 1",
            "edge_balancer_dropped_total{category=\"chat\"} 1",
            "edge_balancer_dropped_total{category=\"new\"} 0",
            "edge_balancer_in_progress 1",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
        }
    }
}
