//! Values whose encoding by an older build is in `tests/data/older_build.txt`. Every field has a
//! value other than its default, and every variant occurs, so that a name that differs from the
//! older build's is detected.

use jaspermoor_control::broadcast::message::{
    Allowance, DeliveredUpdate, Delivery, MigrationSummary, Poll, Receipt, Reports, Submission,
};
use jaspermoor_control::broadcast::table::{LoadReport, Table};
use jaspermoor_control::jobs::assignment::{Job, JobChange, Jobs};
use jaspermoor_control::jobs::load_watch::LoadReports;
use jaspermoor_control::jobs::moves::{MigrationPermits, MigrationStatus};
use jaspermoor_control::jobs::zones::{ZoneObservation, ZoneObservations, ZoneState, ZoneStatus};
use jaspermoor_control::log::membership::{Member, Membership, MembershipChange};
use jaspermoor_control::log::state::{
    Command, FleetState, Policy, Proposal, ProposalOutcome, ProposalPhase,
};
use jaspermoor_control::wire::message::{
    AssignedJobs, FleetStatus, Message, OperatorRequest, OperatorResponse, Publish, RenewRequest,
    RenewResponse, Report, Subscribe, Update, Updates,
};
use jaspermoor_control::wire::relay::{JobCapabilities, RelayId};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

fn relay(number: u64) -> RelayId {
    RelayId {
        name: format!("relay-{number}"),
        incarnation: 0x1_0000_0000 + number,
    }
}

fn proposal(id: u128) -> Proposal {
    Proposal {
        id,
        base_epoch: 41,
        text: "[parameters]\nwarm_seconds = 30\n".into(),
        author: "operations".into(),
        reason: "more connections".into(),
    }
}

fn policy(epoch: u64) -> Policy {
    Policy {
        epoch,
        text: format!("# epoch {epoch}\n"),
        author: "operations".into(),
        reason: "a new cell".into(),
        proposal: u128::MAX - u128::from(epoch),
    }
}

fn membership() -> Membership {
    let member = |number: u64| Member {
        address: format!("relay-{number}.example:7400"),
        disk_id: 900 + number,
        is_voter: true,
    };
    Membership {
        version: 12,
        highest_id: 7,
        members: [3, 5, 7].map(|n| (n, member(n))).into(),
    }
}

fn jobs() -> Jobs {
    let job = Job {
        token: 31,
        owner: Some(relay(2)),
        revoked_at: Some(17),
        is_held: true,
        last_revocation: Some(("relay-1".into(), "it reached no endpoint".into())),
        checkpoint_step: 6,
        checkpoint: vec![0, 0, 0, 0, 0, 0, 4, 210],
    };
    Jobs {
        last_token: 33,
        version: 19,
        by_name: BTreeMap::from([("load/zone-a".to_string(), job)]),
    }
}

fn state(phase: ProposalPhase) -> FleetState {
    FleetState {
        policy: policy(41),
        phase,
        outcomes: vec![
            (101, ProposalOutcome::InForce(40)),
            (
                102,
                ProposalOutcome::Rejected("relay-2".into(), "unknown parameter".into()),
            ),
            (
                103,
                ProposalOutcome::TimedOut(vec!["relay-3".into(), "relay-4".into()]),
            ),
        ],
        history: vec![policy(39), policy(40)],
        membership: membership(),
        jobs: jobs(),
        required_version: 1,
    }
}

fn update() -> Update {
    Update {
        job: "zones".into(),
        token: 29,
        sequence: 8,
        age: 150_000,
        payload: vec![161, 97, 97, 1],
    }
}

fn report() -> Report {
    Report {
        kind: "moves".into(),
        payload: vec![162, 1, 2],
    }
}

fn assignments() -> Vec<(&'static str, JobChange)> {
    vec![
        (
            "open",
            JobChange::Open(vec!["load/zone-a".into(), "moves".into()]),
        ),
        ("close", JobChange::Close("load/zone-b".into())),
        (
            "assign",
            JobChange::Assign(vec![("moves".into(), relay(3))]),
        ),
        (
            "revoke",
            JobChange::Revoke(vec![("moves".into(), 31, "it has too many".into())]),
        ),
        ("release", JobChange::Release(vec![("moves".into(), 31)])),
        (
            "checkpoint",
            JobChange::Checkpoint("moves".into(), 31, 7, vec![1, 2, 3]),
        ),
        ("hold", JobChange::Hold("zones".into(), true)),
    ]
}

fn requests() -> Vec<(&'static str, OperatorRequest)> {
    vec![
        ("propose", OperatorRequest::Propose(proposal(104))),
        ("outcome", OperatorRequest::Outcome(103)),
        ("status", OperatorRequest::Status),
        (
            "add",
            OperatorRequest::Member(MembershipChange::Add(8, "relay-8.example:7400".into(), 908)),
        ),
        (
            "promote",
            OperatorRequest::Member(MembershipChange::Promote(8)),
        ),
        (
            "remove",
            OperatorRequest::Member(MembershipChange::Remove(3)),
        ),
        (
            "job",
            OperatorRequest::Job(JobChange::Hold("zones".into(), true)),
        ),
        ("token", OperatorRequest::Token("moves".into())),
        ("identity", OperatorRequest::Identity),
    ]
}

fn responses() -> Vec<(&'static str, OperatorResponse)> {
    let status = FleetStatus {
        leader: 5,
        term: 14,
        state: state(ProposalPhase::Preparing(proposal(104))),
        relays: vec![(relay(1), true, 41), (relay(2), true, 40)],
        voters: vec![(3, true, 2), (5, true, 1)],
        idle_jobs: vec![("zones".into(), "no relay supports it".into())],
    };
    vec![
        (
            "redirect",
            OperatorResponse::Redirect(Some((5, "relay-5.example:7400".into()))),
        ),
        (
            "in-progress",
            OperatorResponse::InProgress("prepared by 2 of 3".into(), vec!["relay-3".into()]),
        ),
        (
            "in-force",
            OperatorResponse::Outcome(ProposalOutcome::InForce(42)),
        ),
        (
            "rejected",
            OperatorResponse::Outcome(ProposalOutcome::Rejected(
                "relay-2".into(),
                "unknown parameter".into(),
            )),
        ),
        (
            "timed-out",
            OperatorResponse::Outcome(ProposalOutcome::TimedOut(vec!["relay-3".into()])),
        ),
        ("unknown", OperatorResponse::Unknown),
        ("status", OperatorResponse::Status(Box::new(status))),
        ("member-accepted", OperatorResponse::Member(Ok(()))),
        (
            "member-rejected",
            OperatorResponse::Member(Err("it is the last voter".into())),
        ),
        ("identity", OperatorResponse::Identity(5, 905)),
        ("token", OperatorResponse::Token("moves".into(), 31)),
        ("job-accepted", OperatorResponse::Job(Ok(()))),
        (
            "job-rejected",
            OperatorResponse::Job(Err("there is no such job".into())),
        ),
    ]
}

fn renew_request() -> RenewRequest {
    RenewRequest {
        relay: relay(1),
        sequence: 21,
        last_seen_response: 20,
        epoch: 41,
        prepared: Some(104),
        rejected: Some((103, "unknown parameter".into())),
        stopped_for: Some(102),
        membership_version: 12,
        jobs_version: Some(19),
        relinquished: vec![("load/zone-a".into(), 31, "it reached no endpoint".into())],
        checkpoints: vec![("moves".into(), 32, 9, vec![4, 5, 6])],
        capabilities: JobCapabilities {
            kinds: vec!["load".into(), "moves".into()],
            expected_jobs: vec!["load/zone-a".into()],
            zone: "zone-a".into(),
        },
    }
}

fn renew_response() -> RenewResponse {
    RenewResponse {
        incarnation: 0x1_0000_0001,
        sequence: 21,
        redirect: Some(Some(5)),
        grant: Some(41),
        policy: Some(policy(41)),
        prepare: Some(proposal(104)),
        sealed: Some(105),
        membership: Some(membership()),
        jobs: Some(AssignedJobs {
            version: 19,
            jobs: vec![("moves".into(), 32, 9, vec![4, 5, 6])],
        }),
        checkpoint_steps: vec![("moves".into(), 9)],
        last_token: Some(33),
    }
}

fn subscribe() -> Subscribe {
    Subscribe {
        relay: relay(1),
        sequence: 22,
        known_updates: vec![("zones".into(), 29, 8)],
        reports: vec![report()],
        version: 1,
        zone: "zone-a".into(),
        tables: vec![("load/zone-a".into(), 31, 77)],
        reports_version: 5,
        clock_only: true,
    }
}

fn updates() -> Updates {
    Updates {
        incarnation: 0x1_0000_0001,
        sequence: 22,
        request_age: 40_000,
        stamp: 7_000_000,
        updates: vec![update()],
        reports: vec![(relay(2), 60_000, vec![report()])],
        version: 1,
    }
}

fn poll() -> Poll {
    Poll {
        incarnation: 0x1_0000_0001,
        sequence: 23,
        stream: 22,
        highest: 64,
        received_bitmap: 0x8000_0005,
        reports: Some(Reports {
            version: 5,
            reports: vec![("moves".into(), ByteBuf::from(vec![162, 1, 2]))],
        }),
    }
}

fn delivery() -> Delivery {
    Delivery {
        incarnation: 0x1_0000_0001,
        request_sequence: 23,
        request_age_ms: 45,
        stream: 22,
        sequence: 65,
        reports_version: 5,
        must_resubscribe: true,
        updates: vec![DeliveredUpdate {
            job: "load/zone-a".into(),
            token: 31,
            sequence: 8,
            age_ms: 150,
            changes: Some(ByteBuf::from(vec![1, 2, 3])),
            full: Some(ByteBuf::from(vec![4, 5])),
            permitted: 12,
        }],
    }
}

fn submission() -> Submission {
    Submission {
        incarnation: 0x1_0000_0002,
        sequence: 24,
        job: "moves".into(),
        token: 32,
        stamp: 7_000_000,
        stamp_age: 45_000,
        changes: Some(ByteBuf::from(vec![1, 2, 3])),
        allowance: Some(Allowance {
            incarnation: 77,
            permitted: 300,
        }),
    }
}

fn receipt() -> Receipt {
    Receipt {
        incarnation: 0x1_0000_0002,
        sequence: 24,
        job: "moves".into(),
        version: 78,
        stamp: 7_100_000,
        migrations: Some(MigrationSummary {
            incarnation: 77,
            allowed: 300,
            used: 280,
            relays: 4,
            waiting: 1_000,
            completed: 270,
            permitted: 285,
            unmet_demand: 715,
        }),
    }
}

pub fn messages() -> Vec<(String, Message)> {
    let publish = Publish {
        update: update(),
        stamp: 7_000_000,
        stamp_age: 45_000,
    };
    let mut messages = vec![
        ("log".to_string(), Message::Log(905, vec![8, 3, 16, 2])),
        ("founding".into(), Message::Founding(3, 903)),
        ("not-a-member".into(), Message::NotAMember(9, 909)),
        (
            "renew-request".into(),
            Message::RenewRequest(renew_request()),
        ),
        (
            "renew-response".into(),
            Message::RenewResponse(renew_response()),
        ),
        ("subscribe".into(), Message::Subscribe(subscribe())),
        ("updates".into(), Message::Updates(updates())),
        ("publish".into(), Message::Publish(publish)),
        ("poll".into(), Message::Poll(poll())),
        ("delivery".into(), Message::Delivery(delivery())),
        ("submission".into(), Message::Submission(submission())),
        ("receipt".into(), Message::Receipt(receipt())),
        (
            "stale-token".into(),
            Message::StaleToken("moves".into(), 33),
        ),
    ];
    for (name, request) in requests() {
        messages.push((
            format!("operator-request-{name}"),
            Message::OperatorRequest(51, request),
        ));
    }
    for (name, response) in responses() {
        messages.push((
            format!("operator-response-{name}"),
            Message::OperatorResponse(51, response),
        ));
    }
    messages
}

pub fn commands() -> Vec<(String, Command)> {
    let mut commands = vec![
        ("propose".to_string(), Command::Propose(proposal(104))),
        (
            "reject".into(),
            Command::Reject(104, "relay-2".into(), "unknown parameter".into()),
        ),
        (
            "time-out".into(),
            Command::TimeOut(104, vec!["relay-3".into()]),
        ),
        ("seal".into(), Command::Seal(104)),
        ("commit".into(), Command::Commit(104)),
    ];
    for (name, assignment) in assignments() {
        commands.push((
            format!("assignment-{name}"),
            Command::ChangeJobs(assignment),
        ));
    }
    commands
}

pub fn zone_statuses() -> BTreeMap<String, ZoneStatus> {
    let zone = |state, share: u8| ZoneStatus {
        state,
        share,
        reason: format!("{share} in a hundred"),
    };
    BTreeMap::from([
        ("zone-a".to_string(), zone(ZoneState::Healthy, 100)),
        ("zone-b".to_string(), zone(ZoneState::Suspect, 99)),
        ("zone-c".to_string(), zone(ZoneState::Ejected, 1)),
        ("zone-d".to_string(), zone(ZoneState::Returning, 25)),
        ("zone-e".to_string(), zone(ZoneState::Manual, 50)),
    ])
}

pub fn load_reports() -> LoadReports {
    LoadReports {
        columns: vec!["cpu".into(), "memory".into()],
        reports: vec![
            LoadReport {
                endpoint: 11,
                age: 120_000,
                values: vec![0.25, 0.5],
            },
            LoadReport {
                endpoint: 12,
                age: 90_000,
                values: vec![0.75, 1.5],
            },
        ],
    }
}

/// The owner's table after its first update.
pub fn first_table() -> Table {
    let mut table = Table::new(31);
    let reports = [
        load_report(11, 0.25),
        load_report(12, 0.5),
        load_report(13, 0.75),
    ];
    table.update(1_000_000, &table_columns(), &reports);
    table
}

/// The owner's table after its second update, with a row that has no new report, one that changed,
/// one whose endpoint did not answer, and a new one.
pub fn second_table() -> Table {
    let mut table = first_table();
    let reports = [
        load_report(11, 0.25),
        load_report(12, 0.9),
        load_report(14, 0.1),
    ];
    table.update(2_000_000, &table_columns(), &reports);
    table
}

fn table_columns() -> [String; 2] {
    ["cpu".into(), "memory".into()]
}

fn load_report(endpoint: u64, load: f32) -> LoadReport {
    LoadReport {
        endpoint,
        age: 20_000,
        values: vec![load, load / 2.0],
    }
}

pub fn migration_status() -> MigrationStatus {
    MigrationStatus {
        waiting: 9,
        completed: 5,
        permitted: 7,
    }
}

pub fn migration_permits() -> MigrationPermits {
    MigrationPermits {
        by_relay: vec![(relay(1), 7), (relay(2), 8)],
    }
}

pub fn zone_observations() -> ZoneObservations {
    ZoneObservations {
        observer_zone: "zone-a".into(),
        zones: vec![ZoneObservation {
            zone: "zone-b".into(),
            attempts: 40,
            failed: 3,
        }],
    }
}

pub fn states() -> Vec<(String, FleetState)> {
    vec![
        ("idle".to_string(), state(ProposalPhase::Idle)),
        (
            "preparing".into(),
            state(ProposalPhase::Preparing(proposal(104))),
        ),
        ("sealed".into(), state(ProposalPhase::Sealed(proposal(104)))),
    ]
}
