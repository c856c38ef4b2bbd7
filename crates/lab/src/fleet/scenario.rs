//! What a seed draws from a day: a deployment with its figures fixed, and the troubles at their times.

use super::days::{Day, Kind, Range, Trouble};
use jaspermoor::decisions::api::{
    Class, EndpointWeights, Idempotency, Micros, ReportColumn, Settings, SECOND,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Normal};

/// Seconds as microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round().max(0.0) as Micros
}

/// A lognormal with mean 1.
pub fn spread(sigma: f64, rng: &mut ChaCha8Rng) -> f64 {
    LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(rng))
}

/// A kind of machine as drawn.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Share of the fleet.
    pub share: f64,
    /// Cores, and their speed against the yardstick.
    pub cores: f64,
    /// See `cores`.
    pub speed: f64,
    /// How much machines of the kind differ.
    pub speed_cv: f64,
    /// New connections that may wait for each core.
    pub queue: f64,
    /// Share of the capacity at the start, and seconds until all of it.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold_s: f64,
}

/// A class as drawn.
#[derive(Clone, Debug)]
pub struct Sort {
    /// Share of the clients.
    pub share: f64,
    /// Work of a set-up, in seconds of a core.
    pub work: f64,
    /// See the day's file.
    pub aim: Micros,
    /// See `aim`.
    pub deadline: Micros,
    /// Worth of a second.
    pub worth: f64,
    /// Mean load, in mean loads of the first class.
    pub load: f64,
    /// Life against the mean.
    pub life: f64,
    /// Spread of loads, and of their changes.
    pub load_sigma: f64,
    /// See `load_sigma`.
    pub swing_sigma: f64,
    /// Seconds between changes.
    pub change_s: f64,
    /// Aim of a message.
    pub message_aim: f64,
}

/// A trouble with its figures drawn; times in microseconds from the start.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum Event {
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
        leave: Micros,
    },
    RollRelays {
        every: Micros,
        share: f64,
    },
    KillRelays {
        share: f64,
        back: (Micros, Micros),
    },
    BusyDiscovery {
        until: Micros,
        factor: f64,
    },
    Sick {
        until: Micros,
        share: f64,
        slow: f64,
        errors: f64,
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

/// A deployment and its day.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Scene {
    pub seed: u64,
    pub length: Micros,
    pub relays: usize,
    pub backends: usize,
    pub zones: usize,
    /// The zones' shares of clients.
    pub zone_share: Vec<f64>,
    /// Each relay's share within its zone.
    pub relay_weight: Vec<f64>,
    pub asked: f64,
    pub swing: f64,
    pub groups: usize,
    pub group_zipf: f64,
    pub packed: f64,
    pub same: f64,
    pub cross: f64,
    pub client: f64,
    pub jitter: f64,
    pub notice: Micros,
    pub life_s: f64,
    pub honour: f64,
    pub backoff: Micros,
    pub rejoin: (Micros, Micros),
    pub list_notice: Micros,
    pub list_silent: Micros,
    pub list_add: Micros,
    pub list_spread: Micros,
    pub calls_per_s: f64,
    pub call_timeout: Micros,
    pub report_period: Micros,
    pub report_delay: Micros,
    pub report_noise: f64,
    pub probe_work: f64,
    pub probe_timeout: Micros,
    pub per_core: f64,
    pub cap: f64,
    pub group_cost: f64,
    pub rtts: f64,
    pub handshake: f64,
    pub dial_timeout: Micros,
    pub message: f64,
    pub buffer: f64,
    pub machines: Vec<Machine>,
    pub sorts: Vec<Sort>,
    pub troubles: Vec<(Micros, Event)>,
    pub site: super::days::Site,
}

impl Scene {
    /// What this seed draws.
    pub fn draw(day: &Day, seed: u64) -> Scene {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let r = &mut rng;
        let site = &day.site;
        let whole = |range: Range, r: &mut ChaCha8Rng| range.draw(r).round() as usize;
        let relays = whole(site.scale.relays, r).max(1);
        let backends = whole(site.scale.backends, r);
        let zones = whole(site.scale.zones, r).clamp(1, relays);
        let skew = site.scale.zone_skew.draw(r);
        let mut zone_share: Vec<f64> = (0..zones)
            .map(|_| 1.0 + skew * r.random_range(-1.0..1.0))
            .collect();
        let all: f64 = zone_share.iter().sum();
        zone_share.iter_mut().for_each(|share| *share /= all);
        let sigma = site.scale.relay_skew.draw(r);
        let relay_weight = (0..relays).map(|_| spread(sigma, r)).collect();
        let seconds = |range: Range, r: &mut ChaCha8Rng| micros(range.draw(r));
        let millis = |range: Range, r: &mut ChaCha8Rng| range.draw(r) / 1_000.0;
        let machines = site.kind.iter().map(|kind| machine(kind, r)).collect();
        let sorts = site
            .class
            .iter()
            .map(|c| Sort {
                share: c.share.draw(r),
                work: millis(c.work_ms, r),
                aim: micros(c.aim_ms / 1_000.0),
                deadline: micros(c.deadline_ms / 1_000.0),
                worth: c.worth,
                load: c.load.draw(r),
                life: c.life.draw(r),
                load_sigma: c.load_sigma.draw(r),
                swing_sigma: c.swing_sigma.draw(r),
                change_s: c.change_s.draw(r),
                message_aim: c.message_aim_ms / 1_000.0,
            })
            .collect();
        let mut troubles: Vec<_> = day
            .troubles
            .iter()
            .map(|trouble| event(trouble, r))
            .collect();
        troubles.sort_by_key(|(at, _)| *at);
        Scene {
            seed,
            length: seconds(day.length_s, r),
            relays,
            backends,
            zones,
            zone_share,
            relay_weight,
            asked: site.load.asked.draw(r),
            swing: site.load.swing.draw(r),
            groups: ((site.load.groups_per_backend.draw(r) * backends as f64).round() as usize)
                .max(1),
            group_zipf: site.load.group_zipf.draw(r),
            packed: site.load.packed.draw(r),
            same: millis(site.net.same_ms, r),
            cross: millis(site.net.cross_ms, r),
            client: millis(site.net.client_ms, r),
            jitter: site.net.jitter.draw(r),
            notice: seconds(site.front.notice_s, r),
            life_s: site.clients.life_s.draw(r),
            honour: site.clients.honour.draw(r),
            backoff: micros(millis(site.clients.backoff_ms, r)),
            rejoin: (
                micros(site.clients.rejoin_ms.0 / 1_000.0),
                micros(site.clients.rejoin_ms.1 / 1_000.0),
            ),
            list_notice: seconds(site.discovery.notice_s, r),
            list_silent: seconds(site.discovery.silent_notice_s, r),
            list_add: seconds(site.discovery.add_s, r),
            list_spread: micros(millis(site.discovery.spread_ms, r)),
            calls_per_s: site.discovery.calls_per_s.draw(r),
            call_timeout: seconds(site.discovery.timeout_s, r),
            report_period: seconds(site.report.period_s, r),
            report_delay: seconds(site.report.delay_s, r),
            report_noise: site.report.noise.draw(r),
            probe_work: millis(site.report.probe_work_ms, r),
            probe_timeout: micros(millis(site.report.probe_timeout_ms, r)),
            per_core: site.conn.per_core.draw(r),
            cap: site.conn.cap.draw(r),
            group_cost: site.conn.group_cost.draw(r),
            rtts: site.conn.handshake_rtts.draw(r),
            handshake: millis(site.conn.handshake_ms, r),
            dial_timeout: micros(millis(site.conn.dial_timeout_ms, r)),
            message: millis(site.conn.message_ms, r),
            buffer: site.conn.buffer_s.draw(r),
            machines,
            sorts,
            troubles,
            site: site.clone(),
        }
    }

    /// The settings of a relay of that zone.
    pub fn settings(&self, zone: usize) -> Settings {
        let rules = &self.site.rules;
        let class = |s: &Sort| Class {
            setup_objective: s.aim,
            deadline: s.deadline,
            idempotency: Idempotency::Idempotent,
            message_objective: micros(s.message_aim),
        };
        Settings {
            balancer_count: self.relays as u32,
            zone: zone as u16,
            tick: 4_000,
            classes: self.sorts.iter().map(class).collect(),
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

fn machine(kind: &Kind, r: &mut ChaCha8Rng) -> Machine {
    Machine {
        share: kind.share.draw(r),
        cores: kind.cores.draw(r),
        speed: kind.speed.draw(r),
        speed_cv: kind.speed_cv.draw(r),
        queue: kind.queue_per_core.draw(r),
        cold_from: kind.cold_from.draw(r),
        cold_s: kind.cold_s.draw(r),
    }
}

/// The speed of one machine of a kind.
pub fn speed(machine: &Machine, r: &mut ChaCha8Rng) -> f64 {
    let around = Normal::new(1.0, machine.speed_cv).map_or(1.0, |d| d.sample(r));
    machine.speed * around.clamp(0.5, 1.6)
}

fn event(trouble: &Trouble, r: &mut ChaCha8Rng) -> (Micros, Event) {
    let s = |range: &Range, r: &mut ChaCha8Rng| micros(range.draw(r));
    let begin = |at: &Range, length: &Range, r: &mut ChaCha8Rng| {
        let at = s(at, r);
        (at, at + s(length, r))
    };
    match trouble {
        Trouble::Burst {
            at_s,
            length_s,
            factor,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::Burst {
                    until,
                    factor: factor.draw(r),
                },
            )
        }
        Trouble::Shift {
            at_s,
            length_s,
            share,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::Shift {
                    until,
                    share: share.draw(r),
                },
            )
        }
        Trouble::Reconnect {
            at_s,
            length_s,
            share,
        } => (
            s(at_s, r),
            Event::Reconnect {
                within: s(length_s, r),
                share: share.draw(r),
            },
        ),
        Trouble::HotCaller {
            at_s,
            length_s,
            factor,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::HotCaller {
                    until,
                    factor: factor.draw(r),
                },
            )
        }
        Trouble::Replace {
            at_s,
            within_s,
            share,
            leave_s,
        } => {
            let (within, leave) = (s(within_s, r), s(leave_s, r));
            (
                s(at_s, r),
                Event::Replace {
                    within,
                    share: share.draw(r),
                    leave,
                },
            )
        }
        Trouble::RollRelays {
            at_s,
            every_s,
            share,
        } => (
            s(at_s, r),
            Event::RollRelays {
                every: s(every_s, r),
                share: share.draw(r),
            },
        ),
        Trouble::KillRelays {
            at_s,
            share,
            back_s,
        } => {
            let back = (micros(back_s.0), micros(back_s.1));
            (
                s(at_s, r),
                Event::KillRelays {
                    share: share.draw(r),
                    back,
                },
            )
        }
        Trouble::BusyDiscovery {
            at_s,
            length_s,
            factor,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::BusyDiscovery {
                    until,
                    factor: factor.draw(r),
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
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::Sick {
                    until,
                    share: share.draw(r),
                    slow: slow.draw(r),
                    errors: errors.draw(r),
                },
            )
        }
        Trouble::LoseZone {
            at_s,
            length_s,
            silent,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            let odds = silent.draw(r).min(1.0);
            (
                at,
                Event::LoseZone {
                    until,
                    silent: r.random_bool(odds),
                },
            )
        }
        Trouble::CutZone { at_s, length_s } => {
            let (at, until) = begin(at_s, length_s, r);
            (at, Event::CutZone { until })
        }
        Trouble::LateLists { at_s, length_s } => {
            let (at, until) = begin(at_s, length_s, r);
            (at, Event::LateLists { until })
        }
        Trouble::LoseAnswers {
            at_s,
            length_s,
            share,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::LoseAnswers {
                    until,
                    share: share.draw(r),
                },
            )
        }
        Trouble::Crash {
            at_s,
            length_s,
            share,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::Crash {
                    until,
                    share: share.draw(r),
                },
            )
        }
        Trouble::Heavy {
            at_s,
            length_s,
            share,
            factor,
        } => {
            let (at, until) = begin(at_s, length_s, r);
            (
                at,
                Event::Heavy {
                    until,
                    share: share.draw(r),
                    factor: factor.draw(r),
                },
            )
        }
    }
}
