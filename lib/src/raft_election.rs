//! Leader election: pre-votes, votes and leadership transfer.
//!
//! A voter that heard from a leader within the check-quorum window neither grants a vote nor starts
//! an election. A leader whose last confirmed heartbeat round is younger than that window can
//! therefore rely on no other leader having been elected. Only a leader that has stepped down may
//! shorten this wait, by sending [`Body::TimeoutNow`].

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::raft::Raft;
use crate::raft::RoleState;
use crate::raft_member::Membership;
use crate::raft_message::Body;
use crate::raft_message::MemberId;
use crate::raft_message::Payload;
use crate::raft_message::Term;
use crate::raft_message::VoteRequest;
use crate::raft_progress::LeaderState;

/// Votes received in one election; the latest response of each member counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoteTally(BTreeMap<MemberId, bool>);

impl VoteTally {
    fn record(&mut self, id: MemberId, granted: bool) {
        self.0.insert(id, granted);
    }

    fn is_won(&self, members: &Membership) -> bool {
        let has_granted = |id: &MemberId| self.0.get(id).copied().unwrap_or(false);
        members.voters().filter(has_granted).count() >= members.majority()
    }
}

impl Raft {
    pub(crate) fn tick_election(&mut self, now: Instant) {
        if now < self.election_blocked_until {
            return self.wait_for_leader();
        }
        if !self.members().is_voter(self.id) {
            self.leader = None;
            self.election_deadline = now + self.config.election_timeout_max;
            return;
        }
        if !self.is_hard_durable() {
            // Nothing that this member sends leaves before the write completes.
            self.election_deadline = now + self.config.heartbeat_interval;
            return;
        }
        self.request_pre_votes(now);
    }

    /// Becomes a follower in `term`, whose leader is not known yet.
    ///
    /// `election_blocked_until` stays, because the leader of the earlier term may rely on it until
    /// it steps down.
    pub(crate) fn become_follower(&mut self, term: Term, now: Instant) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.incoming = None;
        }
        self.state = RoleState::Follower;
        self.leader = None;
        self.wait_for_vote(now);
    }

    /// Becomes a follower of `leader`, from which a message of the current term has arrived.
    pub(crate) fn accept_leader(&mut self, leader: MemberId, now: Instant) {
        self.state = RoleState::Follower;
        self.leader = Some(leader);
        self.election_blocked_until = now + self.config.check_quorum_window;
        self.wait_for_leader();
    }

    /// Sets the time at which this member requests pre-votes unless it hears from a leader first.
    pub(crate) fn wait_for_leader(&mut self) {
        let spread = self.config.election_timeout_max - self.config.election_timeout_min;
        self.election_deadline = self.election_blocked_until + self.jitter(Duration::ZERO, spread);
    }

    pub(crate) fn wait_for_vote(&mut self, now: Instant) {
        let wait = self.jitter(
            self.config.election_timeout_min,
            self.config.election_timeout_max,
        );
        self.election_deadline = now + wait;
    }

    fn vote_request(&self, transfer: bool) -> VoteRequest {
        VoteRequest {
            last: self.log.last(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    /// Requests pre-votes, and schedules the next requests after about one heartbeat interval.
    ///
    /// A pre-vote changes neither the term nor the vote of any member.
    fn request_pre_votes(&mut self, now: Instant) {
        self.leader = None;
        if !matches!(self.state, RoleState::PreCandidate(..)) {
            let mut tally = VoteTally::default();
            tally.record(self.id, true);
            // A voter with a slow disk may still grant its vote in the current term.
            let votes = match std::mem::replace(&mut self.state, RoleState::Follower) {
                RoleState::Candidate(votes) => Some(votes),
                _ => None,
            };
            self.state = RoleState::PreCandidate(tally, votes);
        }
        let heartbeat = self.config.heartbeat_interval;
        self.election_deadline = now + self.jitter(heartbeat / 2, heartbeat * 3 / 2);
        let body = Body::PreVote(self.vote_request(false));
        self.send_to_voters(self.term.next(), &body);
        self.count_pre_votes(now);
    }

    fn send_to_voters(&mut self, term: Term, body: &Body) {
        let own_id = self.id;
        let others = self.members().voters().filter(|id| *id != own_id);
        for id in others.collect::<Vec<_>>() {
            self.send(id, term, body.clone());
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        if let RoleState::PreCandidate(tally, _) = &self.state
            && tally.is_won(self.log.members())
        {
            self.become_candidate(now, false);
        }
    }

    fn become_candidate(&mut self, now: Instant, transfer: bool) {
        self.become_follower(self.term.next(), now);
        self.vote = Some(self.id);
        let mut tally = VoteTally::default();
        tally.record(self.id, true);
        self.state = RoleState::Candidate(tally);
        let body = Body::Vote(self.vote_request(transfer));
        self.send_to_voters(self.term, &body);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Instant) {
        if let RoleState::Candidate(tally) | RoleState::PreCandidate(_, Some(tally)) = &self.state
            && tally.is_won(self.log.members())
        {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Instant) {
        let first = self.append(Payload::Noop);
        self.leader = Some(self.id);
        self.incoming = None;
        self.state = RoleState::Leader(LeaderState::new(first, now));
        self.sync_progress(now);
        self.tick_leader(now);
    }

    /// Returns whether a leader may rely on this member not to grant a vote to another one.
    fn is_election_blocked(&self, now: Instant) -> bool {
        let RoleState::Leader(leader) = &self.state else {
            return now < self.election_blocked_until;
        };
        let start = leader.rounds.confirmed().unwrap_or(leader.elected_at);
        now < start + self.config.check_quorum_window
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own_log = (self.log.last_term(), self.log.last());
        (request.last_term, request.last) >= own_log
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: MemberId,
        term: Term,
        request: VoteRequest,
    ) {
        let may_grant = term > self.term && !self.is_election_blocked(now);
        let granted = may_grant && self.is_up_to_date(&request);
        // A rejection carries this member's term, so that a candidate in an older term catches up.
        let term = if granted { term } else { self.term };
        self.send(from, term, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Instant,
        from: MemberId,
        term: Term,
        request: VoteRequest,
    ) {
        if term < self.term {
            return self.send(from, self.term, Body::VoteReply { granted: false });
        }
        if self.is_election_blocked(now) && !request.transfer {
            return;
        }
        if term > self.term {
            self.become_follower(term, now);
        }
        let can_vote = self.vote.is_none_or(|id| id == from);
        let granted = can_vote && self.is_up_to_date(&request);
        if granted {
            self.vote = Some(from);
            self.wait_for_vote(now);
        }
        self.send(from, self.term, Body::VoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        from: MemberId,
        term: Term,
        granted: bool,
    ) {
        if !granted && term > self.term {
            return self.become_follower(term, now);
        }
        let is_valid = !granted || term == self.term.next();
        if let RoleState::PreCandidate(tally, _) = &mut self.state
            && is_valid
        {
            tally.record(from, granted);
            self.count_pre_votes(now);
        }
    }

    pub(crate) fn on_vote_reply(&mut self, now: Instant, from: MemberId, granted: bool) {
        if let RoleState::Candidate(tally) | RoleState::PreCandidate(_, Some(tally)) =
            &mut self.state
        {
            tally.record(from, granted);
            self.count_votes(now);
        }
    }

    /// Starts an election at once, because the leader has stepped down in favor of this member.
    pub(crate) fn on_timeout_now(&mut self, now: Instant, from: MemberId) {
        let is_follower = matches!(self.state, RoleState::Follower);
        let is_voter = self.members().is_voter(self.id);
        if is_follower && is_voter && self.leader == Some(from) {
            self.become_candidate(now, true);
        }
    }
}
