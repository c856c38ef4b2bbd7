//! Load watch that this relay owns: requests health checks of endpoints and publishes their loads
//! as a table.

use super::{EndpointLoad, JobTick, WorkerCommand};
use crate::broadcast::subscriber::UpdateId;
use crate::broadcast::table::{Row, Table, Version};
use crate::jobs::assignment::FencingToken;
use crate::jobs::load_watch::{column_indexes, select_values, LoadReports, LoadWatch};
use crate::Micros;
use std::collections::BTreeMap;

/// State of an owned load watch.
pub(super) struct LoadJob {
    watch: LoadWatch,
    table: Table,
    /// Version of the table that each voter has acknowledged.
    acknowledged: BTreeMap<u64, Version>,
}

impl LoadJob {
    /// Creates the state of a job that starts under this token. `last_sequence` is the last
    /// sequence number that this relay used as an owner.
    pub(super) fn new(token: FencingToken, last_sequence: u64) -> LoadJob {
        LoadJob {
            watch: LoadWatch::default(),
            table: Table::continuing_after(token, last_sequence),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Requests health checks, and publishes a round that has ended. Relinquishes the job if no
    /// endpoint can be reached.
    pub(super) fn tick(&mut self, mut tick: JobTick<'_>) {
        let zone = tick.name.split_once('/').map_or("", |(_, zone)| zone);
        let endpoints = self
            .watch
            .tick(tick.now, || (tick.context.endpoints_in_zone)(zone));
        tick.commands
            .extend(endpoints.into_iter().map(WorkerCommand::CheckHealth));
        if let Some(reason) = self.watch.failure(tick.now) {
            tick.owner.relinquish(tick.name, reason);
            tick.commands.push(WorkerCommand::Log(format!(
                "fleet: relinquishes {}, token {}: {reason}",
                tick.name, tick.token
            )));
            return;
        }
        let columns = tick.context.report_columns;
        if let Some(reports) = self.watch.take_reports(tick.now, columns) {
            self.publish(&mut tick, &reports);
        }
    }

    /// Updates the table, applies it on this relay at once, and sends each voter the changes that
    /// it lacks.
    fn publish(&mut self, tick: &mut JobTick<'_>, reports: &LoadReports) {
        self.table
            .update(tick.now, &reports.columns, &reports.reports);
        let loads = table_loads(&self.table, tick.context.report_columns);
        tick.commands.extend(loads);
        let id = UpdateId {
            job: tick.name,
            token: tick.token,
            sequence: self.table.version(),
        };
        tick.subscriber.reserve_sequence(id.sequence);
        let mut messages = tick.subscriber.submit(tick.now, id, |voter, submission| {
            let from = self.acknowledged.get(&voter).copied().unwrap_or(0);
            let changes = serde_bytes::ByteBuf::from(self.table.changes(from));
            submission.changes = Some(changes);
        });
        if tick.subscriber.has_older_voters(tick.now) {
            let full = reports.encode();
            messages.extend(tick.subscriber.publish(tick.now, id, &full));
        }
        tick.send_as_owner(messages);
    }

    /// Records the version that a voter has acknowledged.
    pub(super) fn handle_receipt(&mut self, voter: u64, version: Version) {
        self.acknowledged.insert(voter, version);
    }

    /// Handles the end of a health check; `report` is `None` if it failed.
    pub(super) fn health_checked(&mut self, now: Micros, endpoint: u64, report: Option<Vec<f32>>) {
        self.watch.health_checked(now, endpoint, report);
    }

    pub(super) fn next_tick(&self) -> Micros {
        self.watch.next_tick()
    }

    pub(super) fn table(&self) -> &Table {
        &self.table
    }
}

/// Command to store the loads in a table, with only these columns; `None` if a column is missing or
/// there are no rows.
pub(super) fn table_loads(table: &Table, columns: &[String]) -> Option<WorkerCommand> {
    let indexes = column_indexes(table.columns(), columns)?;
    let endpoint_load = |row: &Row| {
        let values: Vec<f32> = row.loads().collect();
        EndpointLoad {
            endpoint: row.endpoint,
            seen_at: row.seen_at,
            values: select_values(&values, &indexes),
        }
    };
    load_reports(table.rows().iter().map(endpoint_load).collect())
}

/// Command to store the loads in a full update, with only these columns; `None` if there are none.
/// `valid_since` is the earliest time at which the update was valid.
pub(super) fn full_update_loads(
    reports: &LoadReports,
    valid_since: Micros,
    columns: &[String],
) -> Option<WorkerCommand> {
    let loads = reports.rows(columns).map(|report| EndpointLoad {
        endpoint: report.endpoint,
        seen_at: valid_since.saturating_sub(report.age),
        values: report.values,
    });
    load_reports(loads.collect())
}

fn load_reports(loads: Vec<EndpointLoad>) -> Option<WorkerCommand> {
    (!loads.is_empty()).then_some(WorkerCommand::LoadReports(loads))
}
