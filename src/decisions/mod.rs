//! The decisions of the relay: which endpoint gets a request, and what is shed, retried and
//! migrated. The interface (settings, events, actions) is in src/decisions/api.rs.
//!
//! Requests are placed by RJ-CH, "Revisiting Consistent Hashing with Bounded Loads" (Chen,
//! Coleman, Shrivastava): the slots h(key, 0), h(key, 1), and so on are tried in turn until the
//! owner of one is an endpoint under its cap. Each rule has a file of its own; this one holds the
//! state of a [`Balancer`] and passes each event to its rule. The module does no I/O, reads no
//! clock and knows no protocol.

#![warn(unreachable_pub, rust_2018_idioms)]
#![warn(clippy::too_many_lines, clippy::many_single_char_names)]

pub mod api;
mod connection_rate;
mod delay_samples;
mod discovery_backoff;
mod eligibility;
mod endpoints;
mod group_plan;
pub mod idempotency;
mod load_lookup;
mod load_reports;
mod load_shedding;
mod manual_ejection;
mod migration;
mod outlier;
pub mod parameters;
mod placement;
pub mod random;
mod requests;
mod retry;
pub mod ring;
pub mod send_check;
pub mod settings;
mod slow_start;
pub mod timers;

pub use parameters::Parameters;

use api::{Action, Event, Micros, RequestId, Settings, UnknownId};
use connection_rate::ConnectionRate;
use discovery_backoff::DiscoveryBackoff;
use endpoints::EndpointTable;
use group_plan::GroupPlan;
use load_reports::FleetLoad;
use load_shedding::LoadShedding;
use random::Random;
use requests::PendingRequest;
use retry::RetryBudget;
use std::collections::BTreeMap;
use timers::Timer;

/// A balancer: decides from its settings, its parameters and the events that it has received.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    parameters: Parameters,
    random: Random,
    /// Time of the event that is being handled.
    now: Micros,
    endpoints: EndpointTable,
    requests: BTreeMap<RequestId, PendingRequest>,
    group_plan: GroupPlan,
    fleet_load: FleetLoad,
    load_shedding: LoadShedding,
    retry_budget: RetryBudget,
    connection_rate: ConnectionRate,
    /// Processes of this relay that serve beside this one: one during an upgrade.
    other_processes: u32,
    discovery: DiscoveryBackoff,
    /// Turns of the periodic health checks so far. The remainder by the number of ready endpoints
    /// selects the next endpoint; 0 until the checks have started.
    health_checks_sent: usize,
}

impl Balancer {
    /// Creates a balancer without endpoints. `seed` is that of its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer {
            settings,
            random: Random::new(seed),
            ..Balancer::default()
        };
        balancer.with_parameters(Parameters::default())
    }

    /// Replaces the parameters and fills the retry budget.
    pub fn with_parameters(self, parameters: Parameters) -> Self {
        Balancer {
            retry_budget: RetryBudget::full(&parameters),
            parameters,
            ..self
        }
    }

    /// Replaces the parameters from now on; the retry tokens stay as they are.
    pub fn set_parameters(&mut self, parameters: Parameters) {
        self.parameters = parameters;
    }

    /// Sets the number of processes of this relay that serve beside this one. All of them count as
    /// one relay and share its part of the budget of an endpoint that warms up.
    pub fn set_other_processes(&mut self, count: u32) {
        self.other_processes = count;
    }

    /// Handles one event and appends the actions to carry out, in order. `now` must not be less
    /// than in earlier calls.
    ///
    /// # Errors
    ///
    /// An event about an unknown request or endpoint is ignored; if it concerns an attempt or a
    /// delay, the unknown id is returned.
    pub fn handle(
        &mut self,
        now: Micros,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), UnknownId> {
        self.now = now;
        match event {
            Event::EndpointList { kind, endpoints } => {
                self.update_endpoint_list(kind, endpoints, actions);
            }
            Event::Settings(settings) => self.settings = settings,
            Event::ManualEjection { endpoint, ejected } => {
                self.set_manual_ejection(endpoint, ejected, actions);
            }
            Event::Request(request) => self.request_arrived(request, None, actions),
            Event::RepeatedRequest {
                request,
                deduplicated_until,
            } => self.request_arrived(request, Some(deduplicated_until), actions),
            Event::Adopted { request, endpoint } => {
                self.adopt_connection(request, endpoint, actions);
            }
            Event::Connected { id, .. } => self.attempt_connected(id, actions)?,
            Event::DelaySample {
                id,
                endpoint,
                delay,
            } => self.react_to_delay(id, endpoint, delay, actions)?,
            Event::AttemptEnded {
                id,
                outcome,
                request_finished,
                ..
            } => self.attempt_ended(id, outcome, request_finished, actions)?,
            Event::ClientDisconnected(id) => self.client_disconnected(id),
            Event::ShortenDeadline { id, deadline } => {
                self.shorten_deadline(id, deadline, actions);
            }
            Event::Timer(token) => self.timer_fired(token, actions),
            Event::HealthCheck {
                endpoint,
                outcome,
                report,
            } => self.health_check_ended(endpoint, outcome, &report, actions),
            Event::LoadSample { .. } | Event::Gossip { .. } => {}
        }
        Ok(())
    }

    fn timer_fired(&mut self, token: u64, actions: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Deadline(id)) => self.deadline_reached(id, actions),
            Some(Timer::PlacementRetry(id)) => self.retry_placement(id, actions),
            Some(Timer::Migration(id)) => self.migrate(id, actions),
            Some(Timer::WatchEndpointList) => self.open_watch(actions),
            Some(Timer::HealthCheck) => self.check_next_endpoint(actions),
            None => {}
        }
    }

    fn set_timer(&self, at: Micros, timer: Timer, actions: &mut Vec<Action>) {
        let token = timer.token();
        actions.push(Action::SetTimer { at, token });
    }
}
