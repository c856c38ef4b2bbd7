//! Delay samples: reactions to the delays of messages on established connections.
//!
//! Inputs: a message's delay, the shortest latency objective of messages. Outputs: a cut cap, a
//! count for load shedding, a migration. Delays show overload before failures do.

use super::api::{Action, EndpointId, Micros, RequestId, UnknownId, SECOND};
use super::endpoints::EndpointIndex;
use super::Balancer;

/// Latency objective of messages if no class states one.
const DEFAULT_MESSAGE_OBJECTIVE: Micros = SECOND / 10;
/// Ratio of delay to objective from which a message is late.
const LATE_RATIO: f32 = 1.0;

impl Balancer {
    /// Reacts to the delay of a message: cuts the cap of a slow endpoint, counts a late message for
    /// load shedding, and may migrate a connection.
    pub(super) fn react_to_delay(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        delay: Micros,
        actions: &mut Vec<Action>,
    ) -> Result<(), UnknownId> {
        let found = self.endpoints.find(endpoint);
        let index = found.ok_or(UnknownId::Endpoint(endpoint))?;
        if !self.requests.contains_key(&id) {
            return Err(UnknownId::Request(id));
        }
        let relative_delay = delay as f32 / self.message_objective() as f32;
        if relative_delay < self.overload_threshold(index) {
            return Ok(());
        }
        self.endpoints[index].health.cut_cap(self.now);
        if relative_delay >= LATE_RATIO {
            self.load_shedding.record_late_message();
        }
        self.migrate_by_delay(index, id, relative_delay, actions);
        Ok(())
    }

    /// The shortest message objective of all classes.
    fn message_objective(&self) -> Micros {
        let objectives = self.settings.classes.iter().map(|c| c.message_objective);
        let stated = objectives.filter(|&objective| objective > 0);
        stated.min().unwrap_or(DEFAULT_MESSAGE_OBJECTIVE)
    }

    /// Ratio of delay to objective from which an endpoint counts as overloaded. Some endpoints are
    /// slow even under little load: while one is known to have spare capacity, only late messages
    /// count.
    fn overload_threshold(&self, index: EndpointIndex) -> f32 {
        if self.has_spare_capacity(&self.endpoints[index]) {
            LATE_RATIO
        } else {
            self.parameters.delay_cap_threshold
        }
    }

    /// Migrates one connection with a probability that grows with the delay.
    fn migrate_by_delay(
        &mut self,
        index: EndpointIndex,
        late: RequestId,
        relative_delay: f32,
        actions: &mut Vec<Action>,
    ) {
        if relative_delay < self.parameters.delay_migration_threshold {
            return;
        }
        let in_flight = self.endpoints[index].in_flight as f32;
        let expected = self.parameters.delay_migration_fraction * in_flight * relative_delay;
        if self.random.float() < expected {
            if let Some(connection) = self.connection_to_migrate(index, late) {
                self.migrate(connection, actions);
            }
        }
    }
}
