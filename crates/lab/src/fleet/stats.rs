//! The books of a day in the operators' terms: worth served, prices, and figures that show why. Nothing here decides
//! anything or changes the world.

use super::days::Site;
use jaspermoor::decisions::api::Micros;

/// Why a second that a client wanted was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It waited for its first connection.
    New,
    /// It had been moved by its relay, and waited.
    Moved,
    /// It had been sent away by a draining backend, or had dropped, and waited.
    Left,
    /// Its connection had broken, or its relay had died, and it waited.
    Broken,
    /// It had been refused or had failed, and waited.
    Refused,
    /// It was up at a backend with too much to do.
    Jam,
    /// The same at a cold one.
    Cold,
    /// It was up and cut off from its backend.
    Cut,
}

/// All causes, in the order of their figures.
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

/// What happened in a step, all clients together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Step {
    /// Worth-seconds asked and served.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// Attempts, refusals and moves begun in it.
    pub attempts: u32,
    /// See `attempts`.
    pub refused: u32,
    /// See `attempts`.
    pub moves: u32,
    /// Mean load of the backends in use over what they can do, and of their warmth.
    pub load: f64,
    /// See `load`.
    pub warmth: f64,
    /// Mean age of what relays know of the list, in seconds.
    pub list_age: f64,
    /// Pairs of a group and a backend that holds any of it.
    pub pairs: u32,
    /// Clients that want a connection.
    pub wanting: u32,
}

/// Counters of a day.
#[derive(Clone, Debug, Default)]
#[allow(missing_docs)]
pub struct Books {
    pub steps: Vec<Step>,
    /// By class: worth-seconds asked and served.
    pub classes: Vec<(f64, f64)>,
    pub losses: [f64; 8],
    /// Worth-seconds up, and those of them across zones.
    pub up: f64,
    pub across: f64,
    /// Clients that came: standing at the start, and new ones.
    pub requests: u64,
    pub standing: u64,
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
    pub high: (u64, u64),
    pub low: (u64, u64),
    pub calls: u64,
    pub calls_failed: u64,
    pub calls_peak: u64,
    /// Work of all set-ups, and of those that were for nothing, in seconds of a core.
    pub work: f64,
    pub waste: f64,
    pub late: u64,
    pub late_failed: u64,
    pub falls: u64,
    pub dropped: u64,
    /// Times from the first line to `UP`, in microseconds.
    pub set_up: Vec<u32>,
}

/// The names of a day's figures, in the order of [`Books::figures`].
pub const FIGURES: [&str; 36] = [
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

impl Books {
    /// Notes a loss.
    pub fn lose(&mut self, why: Loss, worth: f64) {
        if let Some(at) = LOSSES.iter().position(|(loss, _)| *loss == why) {
            self.losses[at] += worth;
        }
    }

    /// The day's figures, as [`FIGURES`] names them.
    pub fn figures(
        &mut self,
        site: &Site,
        step: Micros,
        relays: usize,
        groups: usize,
        broken: usize,
    ) -> Vec<f64> {
        let over = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let asked: f64 = self.steps.iter().map(|s| s.asked).sum();
        let served: f64 = self.steps.iter().map(|s| s.served).sum();
        let whole = over(served, asked);
        let window = ((site.goal.window_s * 1e6) as usize / step.max(1) as usize)
            .clamp(1, self.steps.len().max(1));
        let part = |steps: &[Step]| {
            let (a, s) = steps
                .iter()
                .fold((0.0, 0.0), |(a, s), step| (a + step.asked, s + step.served));
            if a > 0.0 {
                s / a
            } else {
                1.0
            }
        };
        let worst = self.steps.windows(window).map(part).fold(1.0, f64::min);
        let class = self
            .classes
            .iter()
            .map(|&(a, s)| if a > 0.0 { s / a } else { 1.0 })
            .fold(1.0, f64::min);
        let goal = &site.goal;
        let service = goal.whole * whole + goal.worst * worst + goal.class * class;
        let (requests, prices) = (self.requests.max(1) as f64, &site.prices);
        let price = [
            prices.cross_zone * over(self.across, self.up),
            prices.moves * self.moves as f64 / requests,
            prices.probe * self.probes as f64 / requests,
            prices.waste * over(self.waste, self.work),
            prices.late_fail * over(self.late_failed as f64, self.failed as f64),
        ];
        let pairs = self
            .steps
            .iter()
            .map(|s| f64::from(s.pairs))
            .fold(0.0, f64::max);
        let first = self.steps.first().map_or(0.0, |s| f64::from(s.pairs));
        self.set_up.sort_unstable();
        let at = |q: f64| {
            let n = self.set_up.len();
            self.set_up
                .get(((n as f64 * q) as usize).min(n.saturating_sub(1)))
                .map_or(0.0, |&us| f64::from(us) / 1e3)
        };
        let share = |(part, all): (u64, u64)| over(part as f64, all as f64);
        // A try is each time that a client comes, for the first time or again; one that stands at the start has come.
        let tries = (self.tries + self.standing).max(1) as f64;
        let mut out = vec![
            service - price.iter().sum::<f64>(),
            service,
            whole,
            worst,
            class,
        ];
        out.extend(price);
        out.extend(self.losses.map(|loss| over(loss, asked)));
        out.extend([
            over(self.same_zone as f64, self.placed as f64),
            self.attempts as f64 / requests,
            self.moves as f64 / tries,
            self.probes as f64 / tries,
            self.refused as f64 / tries,
            share(self.high),
            share(self.low),
            self.failed as f64 / tries,
            over(self.with_group as f64, self.placed as f64),
            pairs / groups.max(1) as f64,
            first / groups.max(1) as f64,
            over(self.calls_failed as f64, self.calls as f64),
            self.calls_peak as f64 / relays as f64,
            self.falls as f64,
            self.dropped as f64,
            at(0.5),
            at(0.99),
            broken as f64,
        ]);
        out
    }
}
