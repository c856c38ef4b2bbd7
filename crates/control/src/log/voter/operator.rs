//! Requests of operators: the fleet's status, proposals, and changes of the membership and the
//! jobs. A request may be repeated: one that is done or in progress is answered as such.

use super::leadership::RelayProgress;
use super::read_confirmation::PendingRequest;
use super::{ReplyAddress, Voter};
use crate::log::state::{Command, Proposal, ProposalId, ProposalPhase};
use crate::relay::RelayId;
use crate::wire::message::{FleetStatus, Message, OperatorRequest, OperatorResponse};
use crate::Micros;

impl Voter {
    /// Handles a request of an operator. The response repeats `number`. All requests except for the
    /// identity are answered by the leader only, in a later [`super::Ready`], once its leadership
    /// is confirmed.
    pub fn handle_operator_request(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        number: u64,
        request: OperatorRequest,
    ) {
        self.now = now;
        if request == OperatorRequest::Identity {
            let response = self.identity();
            self.reply(from, Message::OperatorResponse(number, response));
            return;
        }
        self.enqueue(PendingRequest::Operator {
            reply_to: from,
            number,
            request,
        });
    }

    /// Returns the leader's response to a request after the leadership was confirmed.
    pub(super) fn answer_operator(&mut self, request: OperatorRequest) -> OperatorResponse {
        match request {
            OperatorRequest::Status => OperatorResponse::Status(Box::new(self.status())),
            OperatorRequest::Identity => self.identity(),
            OperatorRequest::Token(name) => {
                let job = self.state.jobs.by_name.get(&name);
                let token = job.map_or(0, |job| job.token);
                OperatorResponse::Token(name, token)
            }
            OperatorRequest::Job(assignment) => self.change_jobs(assignment),
            OperatorRequest::Member(change) => self.change_membership(&change),
            OperatorRequest::Outcome(id) => self.proposal_progress(id),
            OperatorRequest::Propose(proposal) => self.begin_proposal(proposal),
        }
    }

    fn identity(&self) -> OperatorResponse {
        OperatorResponse::Identity(self.id(), self.disk_id)
    }

    fn status(&self) -> FleetStatus {
        let relay_status = |(relay, progress): (&RelayId, &RelayProgress)| {
            let may_hold_lease = progress.may_hold_lease(self.now, &self.timing);
            (relay.clone(), may_hold_lease, progress.epoch)
        };
        let relays = self
            .leadership
            .iter()
            .flat_map(|leadership| &leadership.relays)
            .map(relay_status)
            .collect();
        let voters = self
            .member_progress()
            .into_iter()
            .map(|member| (member.number, member.is_active, member.entries_behind))
            .collect();
        FleetStatus {
            leader: self.id(),
            term: self.node.raft.term,
            state: self.state.clone(),
            relays,
            voters,
            idle_jobs: self.idle_jobs(),
        }
    }

    /// Starts a proposal, unless it is known already.
    fn begin_proposal(&mut self, proposal: Proposal) -> OperatorResponse {
        let id = proposal.id;
        let is_pending = self
            .state
            .pending_proposal()
            .is_some_and(|pending| pending.id == id);
        if is_pending || self.state.outcome(id).is_some() {
            return self.proposal_progress(id);
        }
        self.propose(&Command::Propose(proposal));
        OperatorResponse::InProgress("proposed to the log".into(), Vec::new())
    }

    /// Outcome of a proposal, or its current step.
    fn proposal_progress(&self, id: ProposalId) -> OperatorResponse {
        if let Some(outcome) = self.state.outcome(id) {
            return OperatorResponse::Outcome(outcome.clone());
        }
        let step = match &self.state.phase {
            ProposalPhase::Preparing(proposal) if proposal.id == id => {
                "each relay checks and stores it"
            }
            ProposalPhase::Sealed(proposal) if proposal.id == id => "waits until no lease runs",
            _ => return OperatorResponse::Unknown,
        };
        OperatorResponse::InProgress(step.into(), self.unmet_conditions())
    }
}
