//! Statistics of a day in the operators' terms: worth served, prices, and metrics that explain
//! them. They only observe the simulation and have no effect on it.

use super::days::Site;
use jaspermoor::decisions::api::Micros;

/// Cause of a second of service that a client asked for and did not get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It was waiting for its first connection.
    New,
    /// It was waiting after its relay had migrated it.
    Moved,
    /// It was waiting after a draining backend had closed its connection, or it had disconnected.
    Left,
    /// It was waiting after its connection had broken or its relay had ended.
    Broken,
    /// It was waiting after its request had been rejected or had failed.
    Refused,
    /// It was connected to an overloaded backend.
    Jam,
    /// It was connected to a cold backend.
    Cold,
    /// It was connected, but its relay could not reach the backend.
    Cut,
}

/// All causes with the suffixes of their metrics, in the order of `METRIC_NAMES`.
pub const LOSSES: [(Loss, &str); 8] = [
    (Loss::New, "new"),
    (Loss::Moved, "moved"),
    (Loss::Left, "left"),
    (Loss::Broken, "broken"),
    (Loss::Refused, "refused"),
    (Loss::Jam, "jam"),
    (Loss::Cold, "cold"),
    (Loss::Cut, "cut"),
];

/// Totals of one step over all clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct Step {
    /// Worth-seconds asked and served.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// Attempts, rejections and migrations started in it.
    pub attempts: u32,
    /// See `attempts`.
    pub refused: u32,
    /// See `attempts`.
    pub moves: u32,
    /// Mean utilization and mean warmth of the backends in use.
    pub load: f64,
    /// See `load`.
    pub warmth: f64,
    /// Mean age of the relays' endpoint lists, in seconds.
    pub list_age: f64,
    /// Pairs of a group and a backend with at least one of its connections.
    pub pairs: u32,
    /// Clients that have or want a connection.
    pub wanting_clients: u32,
}

/// Counters of a day.
#[derive(Clone, Debug, Default)]
#[allow(missing_docs)]
pub struct Stats {
    pub steps: Vec<Step>,
    /// By class: worth-seconds asked and served.
    pub classes: Vec<(f64, f64)>,
    pub losses: [f64; 8],
    /// Worth-seconds of established connections, in total and across zones.
    pub established: f64,
    pub cross_zone: f64,
    /// All clients, and those of them that were connected at the start.
    pub requests: u64,
    pub standing: u64,
    /// Requests sent by clients, first ones and repeated ones.
    pub tries: u64,
    pub attempts: u64,
    pub placed: u64,
    pub same_zone: u64,
    pub at_home: u64,
    pub with_group: u64,
    pub moves: u64,
    pub probes: u64,
    pub refused: u64,
    pub failed: u64,
    /// Rejected requests and tries of classes with a worth above 1, and of the others.
    pub high_worth: (u64, u64),
    pub low_worth: (u64, u64),
    pub list_calls: u64,
    pub list_calls_failed: u64,
    pub list_calls_peak: u64,
    /// Work of all set-ups, and of those whose attempt had ended before, in core-seconds.
    pub setup_work: f64,
    pub wasted_work: f64,
    pub late: u64,
    pub late_failed: u64,
    pub falls: u64,
    pub dropped: u64,
    /// Times from the request line to `UP`, in microseconds.
    pub setup_times_us: Vec<u32>,
}

/// Names of a day's metrics, in the order of [`Stats::metrics`].
pub const METRIC_NAMES: [&str; 36] = [
    "G",
    "service",
    "whole",
    "worst",
    "class",
    "price_zone",
    "price_moves",
    "price_probes",
    "price_waste",
    "price_late",
    "loss_new",
    "loss_moved",
    "loss_left",
    "loss_broken",
    "loss_refused",
    "loss_jam",
    "loss_cold",
    "loss_cut",
    "same_zone_share",
    "attempts",
    "moves_per_try",
    "probes_per_try",
    "refused_share",
    "refused_high",
    "refused_low",
    "failed_share",
    "with_group_share",
    "pairs_per_group",
    "pairs_per_group_start",
    "list_calls_failed",
    "list_calls_peak_share",
    "falls",
    "dropped",
    "p50_ms",
    "p99_ms",
    "broken_rules",
];

impl Stats {
    /// Adds worth-seconds that were lost to a cause.
    pub fn add_loss(&mut self, loss: Loss, worth: f64) {
        if let Some(index) = LOSSES.iter().position(|(cause, _)| *cause == loss) {
            self.losses[index] += worth;
        }
    }

    /// Computes the day's metrics, in the order of [`METRIC_NAMES`].
    pub fn metrics(
        &mut self,
        site: &Site,
        step: Micros,
        relays: usize,
        groups: usize,
        violations: usize,
    ) -> Vec<f64> {
        let ratio = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let asked: f64 = self.steps.iter().map(|s| s.asked).sum();
        let served: f64 = self.steps.iter().map(|s| s.served).sum();
        let whole = ratio(served, asked);
        let window = ((site.goal.window_s * 1e6) as usize / step.max(1) as usize)
            .clamp(1, self.steps.len().max(1));
        let service_share = |steps: &[Step]| {
            let (a, s) = steps
                .iter()
                .fold((0.0, 0.0), |(a, s), step| (a + step.asked, s + step.served));
            if a > 0.0 {
                s / a
            } else {
                1.0
            }
        };
        let worst = self
            .steps
            .windows(window)
            .map(service_share)
            .fold(1.0, f64::min);
        let class = self
            .classes
            .iter()
            .map(|&(a, s)| if a > 0.0 { s / a } else { 1.0 })
            .fold(1.0, f64::min);
        let goal = &site.goal;
        let service = goal.whole * whole + goal.worst * worst + goal.class * class;
        let (requests, prices) = (self.requests.max(1) as f64, &site.prices);
        let deductions = [
            prices.cross_zone * ratio(self.cross_zone, self.established),
            prices.moves * self.moves as f64 / requests,
            prices.probe * self.probes as f64 / requests,
            prices.waste * ratio(self.wasted_work, self.setup_work),
            prices.late_fail * ratio(self.late_failed as f64, self.failed as f64),
        ];
        let max_pairs = self
            .steps
            .iter()
            .map(|s| f64::from(s.pairs))
            .fold(0.0, f64::max);
        let pairs_at_start = self.steps.first().map_or(0.0, |s| f64::from(s.pairs));
        self.setup_times_us.sort_unstable();
        let setup_ms = |q: f64| {
            let n = self.setup_times_us.len();
            self.setup_times_us
                .get(((n as f64 * q) as usize).min(n.saturating_sub(1)))
                .map_or(0.0, |&us| f64::from(us) / 1e3)
        };
        let share = |(part, all): (u64, u64)| ratio(part as f64, all as f64);
        // A connection that exists at the start counts as one try.
        let tries = (self.tries + self.standing).max(1) as f64;
        let mut metrics = vec![
            service - deductions.iter().sum::<f64>(),
            service,
            whole,
            worst,
            class,
        ];
        metrics.extend(deductions);
        metrics.extend(self.losses.map(|loss| ratio(loss, asked)));
        metrics.extend([
            ratio(self.same_zone as f64, self.placed as f64),
            self.attempts as f64 / requests,
            self.moves as f64 / tries,
            self.probes as f64 / tries,
            self.refused as f64 / tries,
            share(self.high_worth),
            share(self.low_worth),
            self.failed as f64 / tries,
            ratio(self.with_group as f64, self.placed as f64),
            max_pairs / groups.max(1) as f64,
            pairs_at_start / groups.max(1) as f64,
            ratio(self.list_calls_failed as f64, self.list_calls as f64),
            self.list_calls_peak as f64 / relays as f64,
            self.falls as f64,
            self.dropped as f64,
            setup_ms(0.5),
            setup_ms(0.99),
            violations as f64,
        ]);
        metrics
    }
}
