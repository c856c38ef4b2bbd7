//! Metrics of this process. Each is counted where its event happens, outside the lock of the
//! decisions; all are rendered here, in the Prometheus text format.

use super::traffic::{Direction, MessageCount, Traffic};
use crate::decision_service::CellMetrics;
use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The requests of one class, by their final answer.
#[derive(Default)]
struct ClassMetrics {
    name: String,
    connected: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

/// The counted metrics. They start at 0 with the process.
#[derive(Default)]
pub struct Metrics {
    classes: Mutex<Vec<Arc<ClassMetrics>>>,
    in_progress: AtomicU64,
    /// Attempts whose request was written to a backend completely.
    pub attempts: AtomicU64,
    /// Configurations applied at SIGHUP.
    pub reloads: AtomicU64,
    /// Configurations refused at SIGHUP.
    pub reload_errors: AtomicU64,
    /// Metrics of the XMPP front.
    pub xmpp: XmppMetrics,
    /// Metrics of this relay as a member of its fleet.
    pub fleet: FleetMetrics,
}

/// Metrics of a relay as a member of a fleet; rendered only if it is in one.
#[derive(Default)]
pub struct FleetMetrics {
    /// Whether the relay is in a fleet.
    pub enabled: AtomicBool,
    /// The epoch of the policy in force at this relay.
    pub epoch: AtomicU64,
    /// Whether clients may be admitted now.
    pub admitting: AtomicBool,
    /// How often the lease has expired, or was ended for a change of the policy.
    pub lease_losses: AtomicU64,
    /// Whether the relay votes.
    pub is_voting: AtomicBool,
    /// The term in which it is the leader; 0 while it is not.
    pub leader_term: AtomicU64,
    /// Whether the relay takes jobs of the fleet.
    pub takes_jobs: AtomicBool,
    /// The jobs that it owns, with their fencing tokens.
    pub owned_jobs: Mutex<Vec<(String, u64)>>,
    /// Updates of job owners that were accepted.
    pub updates_accepted: AtomicU64,
    /// Updates of former job owners that were rejected.
    pub updates_rejected: AtomicU64,
    /// Health checks avoided because a report of the load watch was recent enough.
    pub checks_avoided: AtomicU64,
    /// Health checks made for lack of a recent report.
    pub checks_sent: AtomicU64,
    /// Messages and bytes on the links to other relays.
    pub traffic: Traffic,
}

/// The most owned jobs that are rendered by name. `fleet_jobs` has the number of all of them.
const MAX_NAMED_JOBS: usize = 32;

/// Metrics of the XMPP front; rendered only if there is one.
#[derive(Default)]
pub struct XmppMetrics {
    /// Whether there is an XMPP front.
    pub enabled: AtomicBool,
    /// Sessions that an XMPP server has accepted and that have not ended.
    pub sessions: AtomicU64,
    /// Sessions whose XMPP server refused their credentials.
    pub sasl_failures: AtomicU64,
    /// Failed TLS handshakes.
    pub tls_failures: AtomicU64,
    /// Stanzas that were lost because their session was migrated before they were complete.
    pub truncated_stanzas: AtomicU64,
    /// Migrated sessions.
    pub migrated: AtomicU64,
}

/// Metrics that are not counted but read when a scraper asks.
pub struct Gauges {
    /// The number of listed backends.
    pub listed_backends: usize,
    /// How many of them get no new requests now: not ready, ejected manually, or ejected by the
    /// decisions.
    pub unavailable_backends: usize,
    /// The metrics of each cell; not rendered if there is only one.
    pub cells: Vec<CellMetrics>,
    /// Connections that wait for their migration to the cell of their group.
    pub waiting_migrations: usize,
}

impl Metrics {
    fn lock_classes(&self) -> MutexGuard<'_, Vec<Arc<ClassMetrics>>> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the metrics of these classes. A class that is removed from the settings keeps its
    /// metrics.
    pub fn add_classes(&self, names: &[String]) {
        let mut classes = self.lock_classes();
        for name in names {
            if !classes.iter().any(|c| c.name == *name) {
                classes.push(Arc::new(ClassMetrics {
                    name: name.clone(),
                    ..ClassMetrics::default()
                }));
            }
        }
    }

    /// Counts a request of this class as in progress until the counter is dropped.
    pub fn begin_request(self: &Arc<Self>, class: &str) -> RequestCounter {
        self.in_progress.fetch_add(1, Relaxed);
        let class = self
            .lock_classes()
            .iter()
            .find(|c| c.name == class)
            .cloned();
        RequestCounter {
            metrics: self.clone(),
            class: class.unwrap_or_default(),
        }
    }

    /// Renders all metrics as text.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        let classes = self.lock_classes().clone();
        type ClassCounter = fn(&ClassMetrics) -> &AtomicU64;
        let by_class: [(&str, ClassCounter); 3] = [
            ("passed_total", |c| &c.connected),
            ("dropped_total", |c| &c.rejected),
            ("bad_gateway_total", |c| &c.failed),
        ];
        // Writing to a `String` cannot fail.
        for (name, counter) in by_class {
            let _ = writeln!(text, "# TYPE edge_balancer_{name} counter");
            for class in &classes {
                let (label, n) = (escape_label(&class.name), counter(class).load(Relaxed));
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
            ("known_backends", "gauge", gauges.listed_backends as u64),
            (
                "skipped_backends",
                "gauge",
                gauges.unavailable_backends as u64,
            ),
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
        let owned_jobs = crate::sys::lock(&self.fleet.owned_jobs).clone();
        let jobs = [
            ("fleet_jobs", "gauge", owned_jobs.len() as u64),
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
        if !owned_jobs.is_empty() {
            text.push_str("# TYPE edge_balancer_fleet_job_token gauge\n");
        }
        for (name, token) in owned_jobs.iter().take(MAX_NAMED_JOBS) {
            let _ = writeln!(
                text,
                "edge_balancer_fleet_job_token{{job=\"{}\"}} {token}",
                escape_label(name)
            );
        }
        for (name, kind, n) in single.into_iter().chain(xmpp).chain(control).chain(jobs) {
            let _ = writeln!(
                text,
                "# TYPE edge_balancer_{name} {kind}\nedge_balancer_{name} {n}"
            );
        }
        if self.fleet.enabled.load(Relaxed) {
            render_traffic(&mut text, &self.fleet.traffic);
        }
        if gauges.cells.len() > 1 {
            render_cells(&mut text, gauges);
        }
        text
    }
}

/// Renders the messages and bytes on the links between relays, by direction and message type.
fn render_traffic(text: &mut String, traffic: &Traffic) {
    type Counter = fn(&MessageCount) -> u64;
    let counters: [(&str, Direction, Counter); 4] = [
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
    // Writing to a `String` cannot fail.
    for (name, direction, counter) in counters {
        let _ = writeln!(text, "# TYPE edge_balancer_{name} counter");
        for count in counts.iter().filter(|count| count.direction == direction) {
            let _ = writeln!(
                text,
                "edge_balancer_{name}{{type=\"{}\"}} {}",
                count.kind,
                counter(count)
            );
        }
    }
}

/// Renders the metrics of the cells. The number of cells limits the number of lines.
fn render_cells(text: &mut String, gauges: &Gauges) {
    type CellValue = fn(&CellMetrics) -> u64;
    let values: [(&str, &str, CellValue); 7] = [
        ("cell_servers", "gauge", |c| c.endpoints as u64),
        ("cell_usable", "gauge", |c| c.usable.into()),
        ("cell_in_progress", "gauge", |c| c.in_flight.into()),
        ("cell_borrowed", "gauge", |c| c.borrowed.into()),
        ("cell_up_total", "counter", |c| c.connected),
        ("cell_refused_total", "counter", |c| c.rejected),
        ("cell_failed_total", "counter", |c| c.failed),
    ];
    // Writing to a `String` cannot fail.
    for (name, kind, value) in values {
        let _ = writeln!(text, "# TYPE edge_balancer_{name} {kind}");
        for cell in &gauges.cells {
            let _ = writeln!(
                text,
                "edge_balancer_{name}{{cell=\"{}\"}} {}",
                escape_label(&cell.name),
                value(cell)
            );
        }
    }
    let _ = writeln!(text, "# TYPE edge_balancer_cell_moves_waiting gauge");
    let _ = writeln!(
        text,
        "edge_balancer_cell_moves_waiting {}",
        gauges.waiting_migrations
    );
}

/// Escapes the value of a label.
fn escape_label(label: &str) -> String {
    label
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

/// Counts the outcome of one request, which is in progress until this is dropped.
pub struct RequestCounter {
    metrics: Arc<Metrics>,
    class: Arc<ClassMetrics>,
}

impl RequestCounter {
    /// Counts the request as connected: its backend has accepted it.
    pub fn connected(&self) {
        self.class.connected.fetch_add(1, Relaxed);
    }

    /// Counts the request as rejected.
    pub fn rejected(&self) {
        self.class.rejected.fetch_add(1, Relaxed);
    }

    /// Counts the request as failed.
    pub fn failed(&self) {
        self.class.failed.fetch_add(1, Relaxed);
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
    fn metrics_start_at_zero_and_outlive_their_class() {
        let metrics = Arc::new(Metrics::default());
        metrics.add_classes(&names(&["chat", "a\"b\\c"]));
        let gauges = Gauges {
            listed_backends: 9,
            unavailable_backends: 2,
            cells: Vec::new(),
            waiting_migrations: 0,
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
            "rendered by a relay that is in no fleet"
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
