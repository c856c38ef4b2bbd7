//! Tunable constants of the decisions, each with its unit, what it bounds and its default.
//!
//! Operator files, policies and experiments set them by name. The former name of a parameter is
//! accepted too, because operator files and stored policies of earlier builds contain it. An
//! unknown name, or a value that the parameter's type cannot hold, is an error.

use super::api::{Micros, SECOND};
use std::fmt;

/// Why a parameter could not be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParameterError {
    /// No parameter has or had this name.
    UnknownName,
    /// The value is not finite, or outside the range of the parameter's type.
    InvalidValue,
}

impl fmt::Display for ParameterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ParameterError::UnknownName => "no parameter has this name",
            ParameterError::InvalidValue => "the parameter cannot have this value",
        })
    }
}

impl std::error::Error for ParameterError {}

/// Declares [`Parameters`]: each field with its documentation, type, default and former name.
macro_rules! parameters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty = $default:expr, formerly $former:literal;)*) => {
        /// Parameters of the decisions; those that nothing configures have their defaults.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct Parameters {
            $($(#[$doc])* pub $name: $kind,)*
        }

        impl Default for Parameters {
            fn default() -> Self {
                Parameters { $($name: $default,)* }
            }
        }

        impl Parameters {
            /// The names, in the order of their declaration.
            pub const NAMES: &[&str] = &[$(stringify!($name),)*];

            /// The former names, in the same order.
            pub const FORMER_NAMES: &[&str] = &[$($former,)*];

            /// Sets a parameter by its name or its former one; whole-number parameters round the
            /// value.
            pub fn set(&mut self, name: &str, value: f64) -> Result<(), ParameterError> {
                match name {
                    $(stringify!($name) | $former => {
                        let converted = value as $kind;
                        // The conversion saturates: a value out of range differs afterwards.
                        let difference = (converted as f64 - value).abs();
                        if !value.is_finite() || difference > 0.5 + value.abs() * 1e-6 {
                            return Err(ParameterError::InvalidValue);
                        }
                        self.$name = converted;
                        Ok(())
                    })*
                    _ => Err(ParameterError::UnknownName),
                }
            }

            /// Value of the parameter with this name or former name.
            pub fn get(&self, name: &str) -> Option<f64> {
                match name {
                    $(stringify!($name) | $former => Some(self.$name as f64),)*
                    _ => None,
                }
            }
        }
    };
}

parameters! {
    /// Points of an endpoint of usual size on the ring ("virtual bins"); with more points, the
    /// slots are distributed more evenly.
    ring_points: f32 = 48.0, formerly "points";
    /// ε of the bounded loads: headroom of an endpoint's cap over the mean number of connections,
    /// as a fraction. Large, because one balancer's counts are small and the connections of a group
    /// share endpoints.
    bounded_load_epsilon: f32 = 2.0, formerly "epsilon";
    /// Jumps that one placement may make along the ring.
    max_jumps: u32 = 16, formerly "jumps";

    /// Cost of a group to each endpoint that serves any of its connections, in connections.
    group_cost_connections: f32 = 2.0, formerly "group_cost";
    /// ε of the group plan: headroom of an endpoint over its share of all groups, as a fraction.
    group_plan_epsilon: f32 = 0.25, formerly "plan_epsilon";
    /// Arrivals from which the group plan is used. Fewer say nothing about the groups' fractions;
    /// until then all balancers place by the same jumps.
    group_plan_min_arrivals: u32 = 32, formerly "plan_least";
    /// Factor by which the number of arrivals grows until the group plan is made again.
    group_plan_growth_factor: f32 = 1.15, formerly "plan_growth";
    /// Number of counted arrivals at which the counts of all groups are halved.
    max_remembered_arrivals: u32 = 1024, formerly "seen_most";
    /// Arrivals outside any group that are added to the total, so that the first arrivals of a
    /// group do not give it a large fraction.
    prior_arrivals: f32 = 8.0, formerly "seen_prior";

    /// Capacity of an endpoint where no load report is known, as a multiple of what an endpoint of
    /// its size carries at present.
    slow_start_blind_factor: f32 = 1.5, formerly "slow_start";
    /// Fraction of the warm-up budget that all balancers together use.
    slow_start_budget_fraction: f32 = 0.8, formerly "slow_fill";

    /// Time in which a cap that was cut grows back to its full value (additive increase), in
    /// microseconds.
    cap_recovery_us: Micros = 12 * SECOND, formerly "recover";
    /// Consecutive failures after which an endpoint is ejected.
    ejection_failures: u32 = 3, formerly "strikes";
    /// Duration of the first ejection, in microseconds; doubled for each further one up to eight
    /// times this, and jittered.
    base_ejection_us: Micros = 4 * SECOND, formerly "eject";

    /// Ratio of message delay to the shortest message objective from which an endpoint's cap is
    /// cut.
    delay_cap_threshold: f32 = 0.4, formerly "delay_sign";
    /// Ratio of message delay to the shortest message objective from which connections are
    /// migrated.
    delay_migration_threshold: f32 = 0.6, formerly "delay_move";
    /// Expected migrations for each delay sample, as a fraction of the own connections at the
    /// endpoint; multiplied by the ratio of delay to objective.
    delay_migration_fraction: f32 = 0.25, formerly "move_share";

    /// Interval in which all balancers together check each endpoint once, in microseconds.
    health_check_interval_us: Micros = SECOND / 2, formerly "probe_every";
    /// Age at which a load report no longer counts, in microseconds.
    load_report_expiry_us: Micros = 5 * SECOND, formerly "report_stale";

    /// Number of candidates among which a load lookup searches for spare capacity; also the size of
    /// the sample of endpoints from which the fallback of placement chooses.
    lookup_candidates: usize = 8, formerly "look_at";
    /// Health checks that a load lookup waits for at the same time.
    lookup_parallelism: usize = 2, formerly "look_both";
    /// Age of the last health check from which a load lookup checks an endpoint again, in
    /// microseconds.
    lookup_max_report_age_us: Micros = 1_500_000, formerly "look_stale";
    /// The longest time that a request waits for a load lookup, in microseconds.
    lookup_timeout_us: Micros = SECOND / 10, formerly "look_wait";

    /// Load below which an endpoint has spare capacity. Endpoints in the balancer's own zone are
    /// preferred below it.
    spare_capacity_load: f32 = 0.6, formerly "near_load";
    /// Load below which an endpoint is under its cap, where the balancer has estimates of its own.
    max_load: f32 = 0.9, formerly "full_load";
    /// Load below which an endpoint is under its cap, where the balancer has no estimates of its
    /// own.
    max_load_without_estimates: f32 = 1.0, formerly "brim";
    /// Width of the band below `max_load_without_estimates` in which the cap of an endpoint differs
    /// by the hash of the client, so that balancers without estimates do not all fill the endpoint
    /// at once.
    hash_band_width: f32 = 0.3, formerly "soft";

    /// Load from which an endpoint's connections are migrated.
    migration_start_load: f32 = 0.9, formerly "move_from";
    /// Load down to which they are migrated.
    migration_target_load: f32 = 0.75, formerly "move_to";
    /// Mean load of all endpoints up to which connections are migrated; also the mean load above
    /// which load is shed.
    migration_max_mean_load: f32 = 0.7, formerly "move_room";
    /// Time over which the connections of a draining or overloaded endpoint are migrated, in
    /// microseconds.
    migration_spread_us: Micros = 2 * SECOND, formerly "move_span";

    /// Weight of a home endpoint in the balancer's own zone relative to one in another zone.
    local_zone_weight: f32 = 10.0, formerly "near";
    /// Late messages per second and endpoint in use from which a group stays with its first
    /// candidate.
    stay_late_messages: f32 = 0.15, formerly "stay_from";

    /// Late messages per second and endpoint in use above which load is shed.
    shedding_late_messages: f32 = 0.4, formerly "shed_from";
    /// Multiplicative decrease of the admitted fraction at each update (once a second, or later if
    /// no request arrives) where there is at least one late message per endpoint in use; less in
    /// proportion to fewer late messages.
    shedding_decrease: f32 = 0.3, formerly "shed_step";
    /// Lower bound of the admitted fraction.
    min_admitted_fraction: f32 = 0.3, formerly "shed_least";
    /// Additive increase of the admitted fraction for each second since the last update.
    shedding_increase: f32 = 0.06, formerly "shed_back";

    /// Fraction of the set-up objective that an attempt may take while further ones are allowed.
    attempt_objective_fraction: f32 = 0.6, formerly "attempt_share";
    /// Retry tokens that each request adds to the budget of all requests.
    retry_budget_ratio: f32 = 0.3, formerly "retry_share";
    /// Upper bound of the retry tokens.
    max_retry_tokens: f32 = 4.0, formerly "retry_saved";
    /// Mean Retry-After of a rejected client, in microseconds; jittered by half, and long enough
    /// that the client's next attempt meets other load.
    retry_after_us: Micros = SECOND * 2 / 5, formerly "retry_after";

    /// Backoff after a failed call to discovery, in microseconds; doubled up to eight times this,
    /// and jittered.
    discovery_backoff_us: Micros = SECOND / 4, formerly "ask_backoff";
    /// Time over which calls to discovery are spread, per balancer, in microseconds: discovery can
    /// answer only few calls a second.
    discovery_interval_us: Micros = SECOND / 20, formerly "ask_share";
    /// Upper bound of the backoff, in microseconds. The platform counts a change as notified 6 s
    /// after it became available.
    discovery_max_backoff_us: Micros = 4 * SECOND, formerly "ask_most";
    /// Upper bound of the backoff after a timeout, in microseconds. The timeout has taken the rest
    /// of the 6 s after which a change counts as notified.
    discovery_max_backoff_after_timeout_us: Micros = SECOND * 9 / 10, formerly "ask_soon";

    /// Time over which the balancers' first requests to an endpoint are spread after its manual
    /// ejection ended, where slow start would allow all of them at once, in microseconds.
    manual_return_spread_us: Micros = 3 * SECOND, formerly "back_within";
}
