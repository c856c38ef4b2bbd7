//! Handling of what a worker receives: updates of owners, reports of relays, receipts of voters,
//! and results of health checks.

use super::load_job::{full_update_loads, table_loads};
use super::{JobState, WorkContext, Worker, WorkerCommand};
use crate::broadcast::message::{Delivery, Receipt};
use crate::broadcast::subscriber::{CommandBody, OwnerCommand, ReceivedUpdates, RelayReports};
use crate::jobs::assignment::FencingToken;
use crate::jobs::load_watch::{self, LoadReports};
use crate::jobs::moves::{self, MigrationPermits};
use crate::lease::client::LeaseClient;
use crate::relay::job_kind;
use crate::wire::message::Updates;
use crate::Micros;

impl Worker {
    /// Handles a voter's response to a subscription, or full updates of a voter of an older build.
    pub fn handle_updates(
        &mut self,
        now: Micros,
        voter: u64,
        lease_client: &LeaseClient,
        context: WorkContext<'_>,
        updates: Updates,
    ) -> Vec<WorkerCommand> {
        let (voters, _) = lease_client.voters();
        let last_token = lease_client.last_token();
        let received = self
            .subscriber
            .handle_updates(now, voter, voters, last_token, updates);
        self.handle_received(lease_client, context, received)
    }

    /// Handles a voter's delivery.
    pub fn handle_delivery(
        &mut self,
        now: Micros,
        voter: u64,
        lease_client: &LeaseClient,
        context: WorkContext<'_>,
        delivery: Delivery,
    ) -> Vec<WorkerCommand> {
        let (voters, _) = lease_client.voters();
        let last_token = lease_client.last_token();
        let received = self
            .subscriber
            .handle_delivery(now, voter, voters, last_token, delivery);
        self.handle_received(lease_client, context, received)
    }

    /// Handles a voter's receipt for a submission of this owner.
    pub fn handle_receipt(&mut self, now: Micros, voter: u64, receipt: Receipt) {
        if !self.subscriber.handle_receipt(now, voter, &receipt) {
            return;
        }
        match self.job_state(&receipt.job) {
            Some(JobState::LoadWatch(load_job)) => {
                load_job.handle_receipt(voter, receipt.version);
            }
            Some(JobState::Migrations(migration_job)) => {
                if let Some(summary) = receipt.migrations {
                    migration_job.handle_summary(now, voter, summary);
                }
            }
            _ => {}
        }
    }

    fn job_state(&mut self, name: &str) -> Option<&mut JobState> {
        self.jobs.get_mut(name).map(|job| &mut job.state)
    }

    fn handle_received(
        &mut self,
        lease_client: &LeaseClient,
        context: WorkContext<'_>,
        received: ReceivedUpdates,
    ) -> Vec<WorkerCommand> {
        self.updates_rejected += received.rejected as u64;
        for job in received.unknown_tokens {
            self.unknown_tokens.entry(job).or_insert(0);
        }
        for relay_reports in received.reports {
            self.handle_reports(relay_reports);
        }
        let mut commands = Vec::new();
        for command in received.commands {
            self.execute(lease_client, context, command, &mut commands);
        }
        commands
    }

    /// Passes a relay's reports to the jobs that this relay owns. A report's kind is the name of
    /// its job.
    fn handle_reports(&mut self, relay_reports: RelayReports) {
        for report in relay_reports.reports {
            if let Some(JobState::Migrations(migration_job)) = self.job_state(&report.kind) {
                migration_job.handle_report(
                    relay_reports.valid_since,
                    relay_reports.relay.clone(),
                    &report.payload,
                );
            }
        }
    }

    /// Executes an update of an owner. Kinds of jobs and contents that this build does not know are
    /// ignored.
    fn execute(
        &mut self,
        lease_client: &LeaseClient,
        context: WorkContext<'_>,
        command: OwnerCommand,
        commands: &mut Vec<WorkerCommand>,
    ) {
        self.updates_accepted += 1;
        if command.is_first {
            commands.push(WorkerCommand::Log(format!(
                "fleet: obeys {} under token {}",
                command.job, command.token
            )));
        }
        match (job_kind(&command.job), &command.payload) {
            (load_watch::KIND, CommandBody::Table) => {
                if let Some(table) = self.subscriber.table(&command.job) {
                    commands.extend(table_loads(table, context.report_columns));
                }
            }
            (load_watch::KIND, CommandBody::Full(payload)) => {
                let reports = LoadReports::decode(payload).unwrap_or_default();
                let columns = context.report_columns;
                commands.extend(full_update_loads(&reports, command.valid_since, columns));
            }
            (moves::KIND, CommandBody::PermittedMigrations(permitted)) => {
                commands.push(WorkerCommand::PermitMigrations(*permitted));
            }
            (moves::KIND, CommandBody::Full(payload)) => {
                let permits = MigrationPermits::decode(payload).unwrap_or_default();
                let own = permits.for_relay(lease_client.relay());
                commands.extend(own.map(WorkerCommand::PermitMigrations));
            }
            _ => {}
        }
    }

    /// Handles the end of a health check that [`WorkerCommand::CheckHealth`] requested; `report` is
    /// `None` if it failed.
    pub fn health_checked(&mut self, now: Micros, endpoint: u64, report: Option<Vec<f32>>) {
        for job in self.jobs.values_mut() {
            if let JobState::LoadWatch(load_job) = &mut job.state {
                load_job.health_checked(now, endpoint, report.clone());
            }
        }
    }

    /// Records the current token of a job, as the leader answered.
    pub fn learn_token(&mut self, job: &str, token: FencingToken) {
        self.unknown_tokens.remove(job);
        self.subscriber.learn_token(job, token);
    }
}
