//! Delay samples: what follows from the time that messages of established connections take.
//!
//! Inputs: a message's delay, the shortest latency objective of messages. Outputs: a cut cap, a
//! count for load shedding, a migration. Guards against overload that shows in delays before it
//! shows in failures.

use super::api::{Action, EndpointId, Micros, RequestId, UnknownId, SECOND};
use super::endpoints::EndpointIndex;
use super::Balancer;

/// Latency objective of messages where no class states one.
const DEFAULT_MESSAGE_OBJECTIVE: Micros = SECOND / 10;
/// Delay over objective from which a message is late.
const LATE: f32 = 1.0;

impl Balancer {
    /// A message took this long: cuts the cap, counts for load shedding, and may migrate.
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
        if relative_delay >= LATE {
            self.load_shedding.record_late_message();
        }
        self.relieve(index, id, relative_delay, actions);
        Ok(())
    }

    /// The shortest message objective of all classes.
    fn message_objective(&self) -> Micros {
        let objectives = self.settings.classes.iter().map(|c| c.message_objective);
        let stated = objectives.filter(|&objective| objective > 0);
        stated.min().unwrap_or(DEFAULT_MESSAGE_OBJECTIVE)
    }

    /// Delay over objective from which an endpoint counts as overloaded. Some are slow without much
    /// to do: while an endpoint is known to have spare capacity, only late messages count.
    fn overload_threshold(&self, index: EndpointIndex) -> f32 {
        if self.has_spare_capacity(&self.endpoints[index]) {
            LATE
        } else {
            self.parameters.delay_cap_threshold
        }
    }

    /// Migrates one connection with a probability that grows with the delay.
    fn relieve(
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
            if let Some(connection) = self.connection_to_relieve(index, late) {
                self.migrate(connection, actions);
            }
        }
    }
}
