//! The service that the control thread offers to peers: polls, Raft messages, commands and joins.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::command::Command;
use crate::command::Incarnation;
use crate::command::Reply;
use crate::command::UsageReport;
use crate::control::SubmitError;
use crate::control::Suspicion;
use crate::control_core::Core;
use crate::control_core::MAX_SUBMIT_TIMEOUT;
use crate::control_core::POLL_HOLD;
use crate::control_core::known_leader;
use crate::control_shared::remaining;
use crate::crash_note::CrashNote;
use crate::crash_records::Verdict;
use crate::dissemination::Publisher;
use crate::fingerprint::Fingerprint;
use crate::ids::InstanceId;
use crate::part_records::PartVerdict;
use crate::peer::ResponseFuture;
use crate::peer::Service;
use crate::peer_message::Delivery;
use crate::peer_message::JoinRequest;
use crate::peer_message::JoinResponse;
use crate::peer_message::LeaderRequest;
use crate::peer_message::LeaderResponse;
use crate::peer_message::PollRequest;
use crate::peer_message::PollResponse;
use crate::peer_message::PollUpdate;
use crate::peer_message::Suspects;
use crate::peer_message::UsageOutcome;
use crate::peer_message::decode;
use crate::peer_message::encode;
use crate::quota::ChunkRow;
use crate::quota::DemandRow;
use crate::quota::MAX_QUORUM_AGE;
use crate::quota::QuotaPools;
use crate::raft_member::MemberChange;

impl Core {
    /// Answers a poll once there is something new or the hold time has passed.
    async fn answer_poll(&self, mut request: PollRequest) -> PollResponse {
        let deadline = Instant::now() + POLL_HOLD;
        let mut usage = Vec::new();
        if self.is_leader() {
            self.process_crash_notes(&request.crash_notes);
            let reports = std::mem::take(&mut request.usage);
            usage.extend(
                reports
                    .into_iter()
                    .map(|report| self.propose_usage_report(report)),
            );
        } else {
            self.collect_from_poller(&request);
        }
        self.collect_limits(&request);
        let sightings = std::mem::take(&mut request.sightings);
        let poller = &request.poll.poller.instance;
        self.sightings.borrow_mut().add(poller, sightings);
        loop {
            let state_changed = self.state_changed.notified();
            let is_due = Instant::now() >= deadline;
            let answer = match self.is_leader() {
                true => self.try_answer_as_leader(&request, is_due, &mut usage),
                false => self.try_answer_as_relay(&request, is_due),
            };
            match answer {
                Ok(Some(response)) => return response,
                Ok(None) => {}
                // No other instance can answer either, so the poller had better wait here.
                Err(CannotAnswer) if !is_due && self.awaits_leader(&request) => {}
                Err(CannotAnswer) => {
                    return PollResponse::Redirect {
                        leader: self.leader(),
                    };
                }
            }
            let _ = tokio::time::timeout(remaining(deadline), state_changed).await;
        }
    }

    /// Returns whether this instance may be able to answer a poll as soon as a leader is established.
    fn awaits_leader(&self, request: &PollRequest) -> bool {
        let voter = self.voter.borrow();
        let is_elected = voter
            .as_ref()
            .is_some_and(|voter| voter.raft().leader() == Some(voter.id()));
        // A relay is told of the new leader by its own Raft member.
        is_elected || (request.downstream_count.is_none() && self.awaits_election())
    }

    /// Adds crash notes to the records and proposes the verdicts that follow from them.
    pub(crate) fn process_crash_notes(&self, notes: &[CrashNote]) {
        let now = self.clock.now();
        let mut records = self.crash_records.borrow_mut();
        let mut part_records = self.part_records.borrow_mut();
        for note in notes {
            records.add(now, note);
            part_records.add(now, note);
        }
        let (verdicts, part_verdicts) = {
            let voter = self.voter.borrow();
            let Some(voter) = voter.as_ref() else { return };
            let suspects = voter.state().suspects();
            let suspicion = |fingerprint: Fingerprint| suspects.suspicion(fingerprint.0);
            let is_quarantined =
                |fingerprint: Fingerprint| suspicion(fingerprint) == Suspicion::Quarantined;
            (
                records.verdicts(now, is_quarantined),
                part_records.verdicts(now, suspicion),
            )
        };
        for verdict in part_verdicts {
            self.propose_part_verdict(verdict);
        }
        for verdict in verdicts {
            let command = match verdict {
                Verdict::Quarantine {
                    fingerprint,
                    crash_count,
                } => {
                    tracing::warn!(print = %fingerprint, ends = crash_count, "quarantines a request under which endpoints ended");
                    Command::Quarantine {
                        fingerprint: fingerprint.0,
                    }
                }
                Verdict::Release { fingerprint } => {
                    tracing::info!(print = %fingerprint, "acquits a request that was answered");
                    Command::LiftQuarantine {
                        fingerprint: fingerprint.0,
                    }
                }
            };
            // The reply is not needed: the records return the verdict again until it is applied.
            drop(self.propose(command));
        }
    }

    /// Proposes a verdict about prompt parts; the records return it again until it is applied.
    fn propose_part_verdict(&self, verdict: PartVerdict) {
        let command = match verdict {
            PartVerdict::Suspect { fingerprints } => {
                let prints: Vec<_> = fingerprints.iter().map(Fingerprint::to_string).collect();
                tracing::info!(
                    parts = prints.join(" "),
                    "suspects parts under which endpoints ended"
                );
                Command::SuspectParts {
                    fingerprints: fingerprints.iter().map(|part| part.0).collect(),
                }
            }
            PartVerdict::Quarantine {
                fingerprint,
                crash_count,
            } => {
                tracing::warn!(part = %fingerprint, ends = crash_count, "quarantines a part under which endpoints ended");
                Command::Quarantine {
                    fingerprint: fingerprint.0,
                }
            }
            PartVerdict::Clear { fingerprints } => {
                tracing::info!(parts = fingerprints.len(), "clears parts of suspicion");
                Command::ClearParts {
                    fingerprints: fingerprints.iter().map(|part| part.0).collect(),
                }
            }
            PartVerdict::Release { fingerprint } => {
                tracing::info!(part = %fingerprint, "acquits a part that was answered");
                Command::LiftQuarantine {
                    fingerprint: fingerprint.0,
                }
            }
        };
        drop(self.propose(command));
    }

    /// Proposes a usage report without waiting for its outcome, which is read while the poll is held.
    fn propose_usage_report(&self, report: UsageReport) -> PendingUsage {
        let (incarnation, sequence) = (report.entry.clone(), report.sequence);
        let receiver = self.propose(Command::AddUsage(report));
        PendingUsage {
            incarnation,
            sequence,
            receiver,
            outcome: None,
        }
    }

    /// Answers a poll as the leader, or returns `None` if there is nothing new and the poll is not due.
    fn try_answer_as_leader(
        &self,
        request: &PollRequest,
        is_due: bool,
        usage: &mut [PendingUsage],
    ) -> Result<Option<PollResponse>, CannotAnswer> {
        let now = self.clock.now();
        let poll = &request.poll;
        let mut voter = self.voter.borrow_mut();
        let voter = voter.as_mut().ok_or(CannotAnswer)?;
        let age = voter.view_age(now).ok_or(CannotAnswer)?;
        let revision = voter.state().suspects().revision();
        let publisher = voter.publisher().ok_or(CannotAnswer)?;
        let settled_before = publisher.settled(now);
        publisher.observe(poll);
        let settled = publisher.settled(now);
        if settled > settled_before {
            self.drive_requested.notify_one();
        }
        let is_awaited = request
            .awaited_version
            .is_some_and(|version| settled >= version);
        let suspects_changed = revision != request.suspects_revision;
        let list_changed = self
            .shared
            .endpoint_list
            .has_delta(now, request.list_revision);
        let limits_changed = self.endpoint_limits().revision() != request.limits_revision;
        if !is_due
            && !is_awaited
            && !suspects_changed
            && !list_changed
            && !limits_changed
            && !publisher.has_news(poll)
        {
            return Ok(None);
        }
        if let Some(count) = request.downstream_count {
            let name = poll.poller.instance.clone();
            self.downstream_counts.borrow_mut().insert(name, count);
        }
        let update = publisher.answer(now, poll, age).map_err(|_| CannotAnswer)?;
        let chunks = self.grant_quota(publisher, now, age, &poll.poller.instance, &request.demand);
        let leader = Some((publisher.epoch(), age));
        let (permits, limits_revision) = self.answer_limits(now, leader, request);
        let instance_count = self.count_instances(publisher, now);
        let mut work_sum = self.work_sum.borrow_mut();
        work_sum.set(now, &poll.poller.instance, request.work.clone());
        let work = work_sum.sum(now);
        self.shared.set_total_work(work.clone());
        let members = voter.raft().members().iter();
        let members = members.map(|(_, member)| member.address.clone()).collect();
        Ok(Some(PollResponse::Update(Box::new(PollUpdate {
            update,
            suspects: suspects_changed.then(|| Suspects::from_state(voter.state().suspects())),
            usage: usage
                .iter_mut()
                .filter_map(|report| report.outcome())
                .collect(),
            chunks,
            instance_count,
            members,
            leader: known_leader(voter),
            work,
            list_delta: self.shared.endpoint_list.delta(now, request.list_revision),
            sightings: self.sightings.borrow_mut().unseen(&poll.poller.instance),
            permits,
            limits_revision,
        }))))
    }

    /// Grants quota to an instance, unless another leader might be granting quota as well.
    fn grant_quota(
        &self,
        publisher: &Publisher,
        now: Instant,
        age: Duration,
        instance: &InstanceId,
        demand: &[DemandRow],
    ) -> Vec<ChunkRow> {
        let mut held = self.quota_pools.borrow_mut();
        let epoch = publisher.epoch();
        if held
            .as_ref()
            .is_none_or(|(pool_epoch, _)| *pool_epoch != epoch)
        {
            *held = Some((epoch, QuotaPools::new(epoch)));
        }
        let Some((_, pools)) = held.as_mut() else {
            return Vec::new();
        };
        pools.install(now, publisher.view());
        match age < MAX_QUORUM_AGE {
            true => pools.grant(now, instance, demand),
            false => Vec::new(),
        }
    }

    /// Grants quota to the instance of the leader.
    pub(crate) fn grant_own_quota(&self) {
        let now = self.clock.now();
        let demand = self.shared.shares.demand(now);
        let mut voter = self.voter.borrow_mut();
        let Some(voter) = voter.as_mut() else { return };
        let Some(age) = voter.view_age(now) else {
            return;
        };
        let Some(publisher) = voter.publisher() else {
            return;
        };
        let chunks = self.grant_quota(publisher, now, age, &self.incarnation.instance, &demand);
        self.shared.shares.receive(now, &chunks);
        let instance_count = self.count_instances(publisher, now);
        self.shared.set_instance_count(instance_count);
        if age < MAX_QUORUM_AGE {
            let term = publisher.epoch();
            self.endpoint_limits().grant_own(now, term, instance_count);
        }
    }

    /// Answers a request that only the leader can handle.
    async fn answer_leader_request(&self, request: LeaderRequest) -> LeaderResponse {
        match request {
            LeaderRequest::Submit { command, timeout } => {
                let deadline = Instant::now() + timeout.min(MAX_SUBMIT_TIMEOUT);
                match self.submit_local(command, deadline).await {
                    Ok(reply) => LeaderResponse::Applied(reply),
                    Err(SubmitError::NotProposed) => LeaderResponse::NotProposed,
                    Err(SubmitError::Unknown) => LeaderResponse::Unknown,
                }
            }
            LeaderRequest::History { count } => self
                .local_history(count)
                .map_or(LeaderResponse::NotProposed, LeaderResponse::History),
        }
    }

    /// Answers a join request; the leader adds an unknown member as a learner.
    fn answer_join(&self, request: &JoinRequest) -> JoinResponse {
        if let Some(folder) = self.unused_folder.borrow().as_ref() {
            return JoinResponse::Unused {
                id: folder.id,
                instance: self.incarnation.instance.clone(),
            };
        }
        let mut voter = self.voter.borrow_mut();
        let Some(voter) = voter.as_mut() else {
            return JoinResponse::NotVoter;
        };
        let known = voter.raft().members().get(request.id).is_some();
        if voter.is_leader() && !known {
            let change = MemberChange::AddLearner {
                id: request.id,
                instance: request.instance.clone(),
                address: request.address.clone(),
            };
            match voter.propose_change(self.clock.now(), change) {
                Ok(_) => tracing::info!(instance = %request.instance, "adds a learner"),
                Err(error) => tracing::debug!(%error, "cannot add a learner yet"),
            }
            self.drive_requested.notify_one();
        }
        JoinResponse::Grouped {
            member: voter.raft().members().get(request.id).is_some(),
            leader: known_leader(voter),
            initial_voters: voter.initial_voters(),
        }
    }
}

/// Error if this instance can answer neither as a leader with a confirmed majority nor as a relay.
pub(crate) struct CannotAnswer;

/// A usage report whose command was proposed.
struct PendingUsage {
    incarnation: Incarnation,
    sequence: u64,
    receiver: Option<oneshot::Receiver<Result<Reply, SubmitError>>>,
    outcome: Option<UsageOutcome>,
}

impl PendingUsage {
    /// Returns the outcome once it is known, and the same outcome on later calls.
    fn outcome(&mut self) -> Option<UsageOutcome> {
        if self.outcome.is_none() {
            let accepted = match self.receiver.as_mut()?.try_recv().ok()?.ok()? {
                Reply::Done => true,
                Reply::Refused { .. } => false,
                _ => return None,
            };
            self.outcome = Some(UsageOutcome {
                incarnation: self.incarnation.clone(),
                sequence: self.sequence,
                accepted,
            });
        }
        self.outcome.clone()
    }
}

impl Service for Core {
    fn poll(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture {
        Box::pin(async move {
            let request: PollRequest = decode(&request)?;
            if request.poll.poller.instance != peer {
                return None;
            }
            Some(encode(&self.answer_poll(request).await))
        })
    }

    fn deliver(&self, peer: &InstanceId, message: &[u8]) {
        let Some(delivery) = decode::<Delivery>(message) else {
            tracing::warn!(%peer, "dropped a malformed message of a peer");
            return;
        };
        let known = self.peers.iter().find(|known| known.name == *peer);
        let advertised = || {
            delivery
                .address
                .parse()
                .ok()
                .filter(|_| self.discovers_members())
        };
        if let Some(address) = known.map(|known| known.address).or_else(advertised) {
            self.sender_addresses
                .borrow_mut()
                .insert(delivery.from, address);
        }
        let now = self.clock.now();
        let mut voter = self.voter.borrow_mut();
        if let Some(voter) = voter.as_mut().filter(|voter| voter.id() == delivery.to) {
            voter.step(now, delivery.from, delivery.message);
            self.drive_requested.notify_one();
        }
    }

    fn submit(self: Rc<Self>, _: InstanceId, request: Vec<u8>) -> ResponseFuture {
        Box::pin(async move {
            let request = decode(&request)?;
            Some(encode(&self.answer_leader_request(request).await))
        })
    }

    fn join(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture {
        Box::pin(async move {
            let request: JoinRequest = decode(&request)?;
            if request.instance != peer {
                return None;
            }
            Some(encode(&self.answer_join(&request)))
        })
    }
}
