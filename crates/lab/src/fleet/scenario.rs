//! The scenario that a seed draws from a day: a deployment with all values fixed, and the start
//! times of the day's troubles.

use super::days::{Day, Kind, Range, Trouble};
use jaspermoor::decisions::api::{
    Class, EndpointWeights, Idempotency, Micros, ReportColumn, Settings, SECOND,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Normal};

/// Converts seconds to microseconds; negative values become 0.
pub fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round().max(0.0) as Micros
}

/// Draws from a lognormal distribution with mean 1.
pub fn spread(sigma: f64, rng: &mut ChaCha8Rng) -> f64 {
    LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(rng))
}

/// A machine kind with its values drawn.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Share of the fleet.
    pub share: f64,
    /// Number of cores, and their speed relative to the reference core.
    pub cores: f64,
    /// See `cores`.
    pub speed: f64,
    /// Coefficient of variation of the speed within the kind.
    pub speed_cv: f64,
    /// Connection set-ups that may wait per core.
    pub queue_per_core: f64,
    /// Share of the capacity available at the start, and seconds until all of it is.
    pub initial_warmth: f64,
    /// See `initial_warmth`.
    pub warm_up_s: f64,
}

/// A request class with its values drawn.
#[derive(Clone, Debug)]
pub struct DrawnClass {
    /// Share of the clients.
    pub share: f64,
    /// Work of a set-up, in core-seconds.
    pub setup_work_s: f64,
    /// Latency objective of a set-up, and deadline of a request.
    pub setup_objective: Micros,
    /// See `setup_objective`.
    pub deadline: Micros,
    /// Worth of a second of service.
    pub worth: f64,
    /// Mean load of a connection, relative to the first class.
    pub mean_load: f64,
    /// Mean lifetime of a client relative to `Scenario::mean_life_s`.
    pub life_factor: f64,
    /// Sigma of the loads, and of their changes.
    pub load_sigma: f64,
    /// See `load_sigma`.
    pub swing_sigma: f64,
    /// Seconds between load changes.
    pub load_change_s: f64,
    /// Latency objective of a message, in seconds.
    pub message_objective_s: f64,
}

/// A trouble with its values drawn; times are in microseconds from the start of the day.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum DrawnTrouble {
    Burst {
        until: Micros,
        factor: f64,
    },
    Shift {
        until: Micros,
        share: f64,
    },
    Reconnect {
        within: Micros,
        share: f64,
    },
    HotCaller {
        until: Micros,
        factor: f64,
    },
    Replace {
        within: Micros,
        share: f64,
        drain_time: Micros,
    },
    RollRelays {
        every: Micros,
        share: f64,
    },
    KillRelays {
        share: f64,
        downtime: (Micros, Micros),
    },
    BusyDiscovery {
        until: Micros,
        factor: f64,
    },
    Sick {
        until: Micros,
        share: f64,
        speed_factor: f64,
        error_rate: f64,
    },
    LoseZone {
        until: Micros,
        silent: bool,
    },
    CutZone {
        until: Micros,
    },
    LateLists {
        until: Micros,
    },
    LoseAnswers {
        until: Micros,
        share: f64,
    },
    Crash {
        until: Micros,
        share: f64,
    },
    Heavy {
        until: Micros,
        share: f64,
        factor: f64,
    },
}

/// A deployment and the troubles of its day, with all values drawn.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Scenario {
    pub seed: u64,
    pub length: Micros,
    pub relays: usize,
    pub backends: usize,
    pub zones: usize,
    /// Share of the clients by zone.
    pub zone_share: Vec<f64>,
    /// Relative share of its zone's clients by relay.
    pub relay_weight: Vec<f64>,
    pub utilization: f64,
    pub arrival_swing: f64,
    pub groups: usize,
    pub group_zipf: f64,
    pub packing_share: f64,
    pub same_zone_delay_s: f64,
    pub cross_zone_delay_s: f64,
    pub client_delay_s: f64,
    pub jitter: f64,
    pub front_detection_time: Micros,
    pub mean_life_s: f64,
    pub retry_after_compliance: f64,
    pub backoff: Micros,
    pub rejoin_range: (Micros, Micros),
    pub removal_delay: Micros,
    pub silent_removal_delay: Micros,
    pub list_add_delay: Micros,
    pub list_spread: Micros,
    pub list_calls_per_s: f64,
    pub list_call_timeout: Micros,
    pub report_period: Micros,
    pub report_delay: Micros,
    pub report_noise: f64,
    pub probe_work_s: f64,
    pub probe_timeout: Micros,
    pub load_per_core: f64,
    pub connection_cap_factor: f64,
    pub group_cost: f64,
    pub handshake_rtts: f64,
    pub handshake_work_s: f64,
    pub dial_timeout: Micros,
    pub idle_message_s: f64,
    pub backlog_limit_s: f64,
    pub machines: Vec<Machine>,
    pub classes: Vec<DrawnClass>,
    pub troubles: Vec<(Micros, DrawnTrouble)>,
    pub site: super::days::Site,
}

impl Scenario {
    /// Draws the scenario of a day for a seed.
    pub fn draw(day: &Day, seed: u64) -> Scenario {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let site = &day.site;
        let count = |range: Range, rng: &mut ChaCha8Rng| range.draw(rng).round() as usize;
        let relays = count(site.scale.relays, rng).max(1);
        let backends = count(site.scale.backends, rng);
        let zones = count(site.scale.zones, rng).clamp(1, relays);
        let skew = site.scale.zone_skew.draw(rng);
        let mut zone_share: Vec<f64> = (0..zones)
            .map(|_| 1.0 + skew * rng.random_range(-1.0..1.0))
            .collect();
        let total: f64 = zone_share.iter().sum();
        zone_share.iter_mut().for_each(|share| *share /= total);
        let sigma = site.scale.relay_skew.draw(rng);
        let relay_weight = (0..relays).map(|_| spread(sigma, rng)).collect();
        let seconds = |range: Range, rng: &mut ChaCha8Rng| micros(range.draw(rng));
        let millis = |range: Range, rng: &mut ChaCha8Rng| range.draw(rng) / 1_000.0;
        let machines = site
            .kind
            .iter()
            .map(|kind| draw_machine(kind, rng))
            .collect();
        let classes = site
            .class
            .iter()
            .map(|c| DrawnClass {
                share: c.share.draw(rng),
                setup_work_s: millis(c.work_ms, rng),
                setup_objective: micros(c.aim_ms / 1_000.0),
                deadline: micros(c.deadline_ms / 1_000.0),
                worth: c.worth,
                mean_load: c.load.draw(rng),
                life_factor: c.life.draw(rng),
                load_sigma: c.load_sigma.draw(rng),
                swing_sigma: c.swing_sigma.draw(rng),
                load_change_s: c.change_s.draw(rng),
                message_objective_s: c.message_aim_ms / 1_000.0,
            })
            .collect();
        let mut troubles: Vec<_> = day
            .troubles
            .iter()
            .map(|trouble| draw_trouble(trouble, rng))
            .collect();
        troubles.sort_by_key(|(at, _)| *at);
        Scenario {
            seed,
            length: seconds(day.length_s, rng),
            relays,
            backends,
            zones,
            zone_share,
            relay_weight,
            utilization: site.load.asked.draw(rng),
            arrival_swing: site.load.swing.draw(rng),
            groups: ((site.load.groups_per_backend.draw(rng) * backends as f64).round() as usize)
                .max(1),
            group_zipf: site.load.group_zipf.draw(rng),
            packing_share: site.load.packed.draw(rng),
            same_zone_delay_s: millis(site.net.same_ms, rng),
            cross_zone_delay_s: millis(site.net.cross_ms, rng),
            client_delay_s: millis(site.net.client_ms, rng),
            jitter: site.net.jitter.draw(rng),
            front_detection_time: seconds(site.front.notice_s, rng),
            mean_life_s: site.clients.life_s.draw(rng),
            retry_after_compliance: site.clients.honour.draw(rng),
            backoff: micros(millis(site.clients.backoff_ms, rng)),
            rejoin_range: (
                micros(site.clients.rejoin_ms.0 / 1_000.0),
                micros(site.clients.rejoin_ms.1 / 1_000.0),
            ),
            removal_delay: seconds(site.discovery.notice_s, rng),
            silent_removal_delay: seconds(site.discovery.silent_notice_s, rng),
            list_add_delay: seconds(site.discovery.add_s, rng),
            list_spread: micros(millis(site.discovery.spread_ms, rng)),
            list_calls_per_s: site.discovery.calls_per_s.draw(rng),
            list_call_timeout: seconds(site.discovery.timeout_s, rng),
            report_period: seconds(site.report.period_s, rng),
            report_delay: seconds(site.report.delay_s, rng),
            report_noise: site.report.noise.draw(rng),
            probe_work_s: millis(site.report.probe_work_ms, rng),
            probe_timeout: micros(millis(site.report.probe_timeout_ms, rng)),
            load_per_core: site.conn.per_core.draw(rng),
            connection_cap_factor: site.conn.cap.draw(rng),
            group_cost: site.conn.group_cost.draw(rng),
            handshake_rtts: site.conn.handshake_rtts.draw(rng),
            handshake_work_s: millis(site.conn.handshake_ms, rng),
            dial_timeout: micros(millis(site.conn.dial_timeout_ms, rng)),
            idle_message_s: millis(site.conn.message_ms, rng),
            backlog_limit_s: site.conn.buffer_s.draw(rng),
            machines,
            classes,
            troubles,
            site: site.clone(),
        }
    }

    /// The settings of a relay in `zone`.
    pub fn settings(&self, zone: usize) -> Settings {
        let rules = &self.site.rules;
        let class = |s: &DrawnClass| Class {
            setup_objective: s.setup_objective,
            deadline: s.deadline,
            idempotency: Idempotency::Idempotent,
            message_objective: micros(s.message_objective_s),
        };
        Settings {
            balancer_count: self.relays as u32,
            zone: zone as u16,
            tick: 4_000,
            classes: self.classes.iter().map(class).collect(),
            polls_endpoint_list: true,
            weights: EndpointWeights::Nominal,
            may_cancel: true,
            may_check_health: true,
            max_attempts: rules.max_attempts,
            connect_timeout: self.dial_timeout,
            max_retry_after: micros(rules.max_retry_after_ms / 1_000.0),
            report_columns: vec![
                ReportColumn::Other,
                ReportColumn::Active,
                ReportColumn::Other,
                ReportColumn::Load,
            ],
            drain_grace: micros(rules.drain_grace_ms / 1_000.0),
            initial_capacity: rules.start_share as f32,
            warm_up_time: micros(rules.warm_within_s),
            overload_factor: rules.fall_multiple as f32,
            overload_window: micros(rules.fall_s),
            max_poll_interval: micros(rules.ask_within_s),
            ..Settings::default()
        }
    }
}

fn draw_machine(kind: &Kind, rng: &mut ChaCha8Rng) -> Machine {
    Machine {
        share: kind.share.draw(rng),
        cores: kind.cores.draw(rng),
        speed: kind.speed.draw(rng),
        speed_cv: kind.speed_cv.draw(rng),
        queue_per_core: kind.queue_per_core.draw(rng),
        initial_warmth: kind.cold_from.draw(rng),
        warm_up_s: kind.cold_s.draw(rng),
    }
}

/// Draws the speed of one machine of a kind.
pub fn draw_speed(machine: &Machine, rng: &mut ChaCha8Rng) -> f64 {
    let factor = Normal::new(1.0, machine.speed_cv).map_or(1.0, |d| d.sample(rng));
    machine.speed * factor.clamp(0.5, 1.6)
}

fn draw_trouble(trouble: &Trouble, rng: &mut ChaCha8Rng) -> (Micros, DrawnTrouble) {
    let micros_of = |range: &Range, rng: &mut ChaCha8Rng| micros(range.draw(rng));
    let interval = |at: &Range, length: &Range, rng: &mut ChaCha8Rng| {
        let at = micros_of(at, rng);
        (at, at + micros_of(length, rng))
    };
    match trouble {
        Trouble::Burst {
            at_s,
            length_s,
            factor,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::Burst {
                    until,
                    factor: factor.draw(rng),
                },
            )
        }
        Trouble::Shift {
            at_s,
            length_s,
            share,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::Shift {
                    until,
                    share: share.draw(rng),
                },
            )
        }
        Trouble::Reconnect {
            at_s,
            length_s,
            share,
        } => (
            micros_of(at_s, rng),
            DrawnTrouble::Reconnect {
                within: micros_of(length_s, rng),
                share: share.draw(rng),
            },
        ),
        Trouble::HotCaller {
            at_s,
            length_s,
            factor,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::HotCaller {
                    until,
                    factor: factor.draw(rng),
                },
            )
        }
        Trouble::Replace {
            at_s,
            within_s,
            share,
            leave_s,
        } => {
            let (within, drain_time) = (micros_of(within_s, rng), micros_of(leave_s, rng));
            (
                micros_of(at_s, rng),
                DrawnTrouble::Replace {
                    within,
                    share: share.draw(rng),
                    drain_time,
                },
            )
        }
        Trouble::RollRelays {
            at_s,
            every_s,
            share,
        } => (
            micros_of(at_s, rng),
            DrawnTrouble::RollRelays {
                every: micros_of(every_s, rng),
                share: share.draw(rng),
            },
        ),
        Trouble::KillRelays {
            at_s,
            share,
            back_s,
        } => {
            let downtime = (micros(back_s.0), micros(back_s.1));
            (
                micros_of(at_s, rng),
                DrawnTrouble::KillRelays {
                    share: share.draw(rng),
                    downtime,
                },
            )
        }
        Trouble::BusyDiscovery {
            at_s,
            length_s,
            factor,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::BusyDiscovery {
                    until,
                    factor: factor.draw(rng),
                },
            )
        }
        Trouble::Sick {
            at_s,
            length_s,
            share,
            slow,
            errors,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::Sick {
                    until,
                    share: share.draw(rng),
                    speed_factor: slow.draw(rng),
                    error_rate: errors.draw(rng),
                },
            )
        }
        Trouble::LoseZone {
            at_s,
            length_s,
            silent,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            let probability = silent.draw(rng).min(1.0);
            (
                at,
                DrawnTrouble::LoseZone {
                    until,
                    silent: rng.random_bool(probability),
                },
            )
        }
        Trouble::CutZone { at_s, length_s } => {
            let (at, until) = interval(at_s, length_s, rng);
            (at, DrawnTrouble::CutZone { until })
        }
        Trouble::LateLists { at_s, length_s } => {
            let (at, until) = interval(at_s, length_s, rng);
            (at, DrawnTrouble::LateLists { until })
        }
        Trouble::LoseAnswers {
            at_s,
            length_s,
            share,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::LoseAnswers {
                    until,
                    share: share.draw(rng),
                },
            )
        }
        Trouble::Crash {
            at_s,
            length_s,
            share,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::Crash {
                    until,
                    share: share.draw(rng),
                },
            )
        }
        Trouble::Heavy {
            at_s,
            length_s,
            share,
            factor,
        } => {
            let (at, until) = interval(at_s, length_s, rng);
            (
                at,
                DrawnTrouble::Heavy {
                    until,
                    share: share.draw(rng),
                    factor: factor.draw(rng),
                },
            )
        }
    }
}
