//! The Raft core as a state machine without I/O: messages and time are its input, messages and
//! writes its output.
//!
//! The core reads no clock. The caller handles every [`Ready`] in this order: start the writes, send
//! the messages, install the snapshot, apply the committed entries. It does not wait for the writes;
//! what depends on them is returned after [`Raft::finish_write`]. If a write fails, the caller drops
//! the member. The protocol is explained in `docs/replication.md`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::raft_election::VoteTally;
use crate::raft_log::RaftLog;
use crate::raft_member::MemberChange;
use crate::raft_member::MemberHealth;
use crate::raft_member::Membership;
use crate::raft_message::Body;
use crate::raft_message::Entry;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Message;
use crate::raft_message::Outgoing;
use crate::raft_message::Payload;
use crate::raft_message::Snapshot;
use crate::raft_message::Term;
use crate::raft_progress::LeaderState;
use crate::raft_progress::Progress;
use crate::raft_replicate::IncomingSnapshot;
use crate::raft_write::Following;
use crate::raft_write::WriteBatch;
use crate::raft_write::WriteTracker;
use crate::storage::DurableState;
use crate::storage::Write;

/// Timeouts and limits of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval between heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Shortest randomized timeout after which an election is repeated.
    pub election_timeout_min: Duration,
    /// Longest randomized timeout after which an election is repeated.
    pub election_timeout_max: Duration,
    /// Check-quorum window: a leader without responses from a majority for this time steps down,
    /// and a voter that heard from a leader within this time neither starts an election nor grants
    /// a vote.
    pub check_quorum_window: Duration,
    /// Largest size of the entries in one append message, in bytes.
    pub max_append_bytes: usize,
    /// Largest number of unacknowledged append messages with entries to one member.
    pub max_inflight: usize,
    /// Size of a snapshot chunk, in bytes.
    pub chunk_bytes: usize,
    /// Number of entries before a snapshot that stay in memory, so that a member that lags slightly
    /// does not need the snapshot.
    pub retained_entries: u64,
    /// Largest number of entries that a learner may lack when it is promoted.
    pub max_learner_lag: u64,
    /// Largest number of entries that are not committed, or not durable at the leader itself, beyond
    /// which proposals are rejected.
    pub max_uncommitted: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(250),
            election_timeout_max: Duration::from_millis(500),
            check_quorum_window: Duration::from_millis(500),
            max_append_bytes: 64 << 10,
            max_inflight: 16,
            chunk_bytes: 64 << 10,
            retained_entries: 1024,
            max_learner_lag: 64,
            max_uncommitted: 16_384,
        }
    }
}

/// The role of a member.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// Receives the log and does not vote.
    Learner,
    /// Replicates the log of a leader, or waits for one.
    Follower,
    /// Requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// The reason why a proposal was rejected; nothing was appended.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// Another member is the leader, or there is none.
    #[display("this member does not lead")]
    NotLeader,
    /// A leadership transfer is in progress.
    #[display("leadership is being handed over")]
    Transferring,
    /// [`Config::max_uncommitted`] entries are not committed or not durable yet.
    #[display("too many entries wait for a majority")]
    Overloaded,
    /// No entry of the leader's term is committed yet, so an earlier change may be undecided.
    #[display("the leader is not established yet")]
    NotEstablished,
    /// An earlier membership change is not committed yet.
    #[display("an earlier membership change is pending")]
    Pending,
    /// The change does not apply to the current membership.
    #[display("the change does not apply to the current membership")]
    Invalid,
    /// The learner lacks too many entries or does not respond.
    #[display("the learner has not caught up")]
    NotCaughtUp,
    /// The voters that respond would not be a majority.
    #[display("the members that answer would not be a majority")]
    NoMajority,
    /// A leader cannot remove itself; it must transfer leadership first.
    #[display("the leader cannot remove itself")]
    IsLeader,
}

/// Work for the caller, to be done in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Writes to perform after those of all earlier batches.
    pub write: Option<WriteBatch>,
    /// Messages that depend on no write that is under way.
    pub messages: Vec<Outgoing>,
    /// Snapshot that replaces the state of the state machine; empty data stands for the initial
    /// state.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Committed entries to apply, without gaps.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.write.is_none()
            && self.messages.is_empty()
            && self.snapshot.is_none()
            && self.committed.is_empty()
    }
}

#[derive(Clone, Debug)]
pub(crate) enum RoleState {
    Follower,
    /// Holds the pre-votes, and the votes of an election in the current term that was not decided.
    PreCandidate(VoteTally, Option<VoteTally>),
    Candidate(VoteTally),
    Leader(LeaderState),
}

/// One member of a replication group.
#[derive(Clone, Debug)]
pub struct Raft {
    pub(crate) id: MemberId,
    pub(crate) config: Config,
    pub(crate) term: Term,
    pub(crate) vote: Option<MemberId>,
    pub(crate) log: RaftLog,
    pub(crate) commit: Index,
    pub(crate) state: RoleState,
    pub(crate) leader: Option<MemberId>,
    /// Time until which this member neither starts an election nor grants a vote.
    pub(crate) election_blocked_until: Instant,
    /// Next time at which a member that is not the leader checks whether to start an election.
    pub(crate) election_deadline: Instant,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) rng: StdRng,
    pub(crate) writes: WriteTracker,
    pub(crate) snapshot_writes: Vec<Write>,
    pub(crate) messages: Vec<Outgoing>,
    pub(crate) following: Option<Following>,
    applied: Index,
    pending_snapshot: Option<Arc<Snapshot>>,
}

impl Raft {
    /// Returns a member that continues from its durable state.
    ///
    /// A restarted member cannot know when it last heard from a leader, so it first waits for the
    /// whole check-quorum window.
    pub fn new(
        id: MemberId,
        config: Config,
        durable: DurableState,
        seed: u64,
        now: Instant,
    ) -> Self {
        let hard = durable.hard;
        let pending_snapshot = durable.snapshot.clone();
        let start = pending_snapshot.as_ref().map_or(Index(0), |s| s.index);
        let mut raft = Self {
            id,
            config,
            term: hard.term,
            vote: hard.vote,
            log: RaftLog::new(durable),
            commit: start,
            state: RoleState::Follower,
            leader: None,
            election_blocked_until: now + config.check_quorum_window,
            election_deadline: now,
            incoming: None,
            rng: StdRng::seed_from_u64(seed ^ id.0),
            writes: WriteTracker::new(hard),
            snapshot_writes: Vec::new(),
            messages: Vec::new(),
            following: None,
            applied: start,
            pending_snapshot,
        };
        if raft.members().voters().eq([id]) {
            // The only voter has no other leader to wait for.
            raft.election_blocked_until = now;
        } else {
            raft.wait_for_leader();
        }
        raft
    }

    /// Processes the timeouts that have expired at `now`.
    pub fn tick(&mut self, now: Instant) {
        if matches!(self.state, RoleState::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.tick_election(now);
        }
    }

    /// Returns the time of the next timeout, at which [`Raft::tick`] must be called.
    pub fn wake_at(&self) -> Instant {
        match &self.state {
            RoleState::Leader(leader) => leader.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    /// Processes a message from another member.
    ///
    /// The caller must pass only messages that are addressed to this member id.
    pub fn step(&mut self, now: Instant, from: MemberId, message: Message) {
        let term = message.term;
        match message.body {
            Body::PreVote(request) => return self.on_pre_vote(now, from, term, request),
            Body::Vote(request) => return self.on_vote(now, from, term, request),
            Body::PreVoteReply { granted } => {
                return self.on_pre_vote_reply(now, from, term, granted);
            }
            _ => {}
        }
        if term > self.term {
            self.become_follower(term, now);
        }
        if term < self.term {
            return self.reject_stale(from, &message.body);
        }
        match message.body {
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted),
            Body::Append(append) => self.on_append(now, from, append),
            Body::AppendReply(reply) => self.on_append_reply(now, from, reply),
            Body::Chunk(chunk) => self.on_chunk(now, from, chunk),
            Body::ChunkReply(reply) => self.on_chunk_reply(now, from, reply),
            Body::TimeoutNow => self.on_timeout_now(now, from),
            Body::PreVote(_) | Body::PreVoteReply { .. } | Body::Vote(_) => {}
        }
    }

    /// Appends a command of the state machine.
    ///
    /// The command is committed once it appears in [`Ready::committed`] with the returned index and
    /// the current term.
    pub fn propose(&mut self, _now: Instant, data: Vec<u8>) -> Result<Index, ProposeError> {
        self.check_proposal()?;
        Ok(self.append(Payload::Data(data.into())))
    }

    /// Appends a membership change.
    pub fn propose_change(
        &mut self,
        now: Instant,
        change: MemberChange,
    ) -> Result<Index, ProposeError> {
        self.check_proposal()?;
        self.check_change(now, &change)?;
        let index = self.append(Payload::Change(change));
        self.sync_progress(now);
        Ok(index)
    }

    /// Starts a leadership transfer to the responsive voter with the longest replicated log, for a
    /// graceful stop.
    ///
    /// Proposals are rejected until the transfer ends. Either this member becomes a follower, or
    /// the transfer is aborted after the longest election timeout.
    pub fn transfer_leadership(&mut self, now: Instant) -> Result<MemberId, ProposeError> {
        self.check_proposal()?;
        let window = self.config.check_quorum_window;
        let until = now + self.config.election_timeout_max;
        let RoleState::Leader(leader) = &mut self.state else {
            return Err(ProposeError::NotLeader);
        };
        let members = self.log.members();
        let is_ready = |(id, p): &(&MemberId, &Progress)| {
            members.is_voter(**id) && p.last_reply.is_some_and(|at| now < at + window)
        };
        let ready = leader.progress.iter().filter(is_ready);
        let best = ready.max_by_key(|(_, progress)| progress.matched);
        let (id, _) = best.ok_or(ProposeError::NoMajority)?;
        let id = *id;
        leader.successor = Some((id, until));
        self.try_finish_transfer(now);
        Ok(id)
    }

    /// Returns the work that resulted from the calls since the previous call of this function.
    pub fn ready(&mut self) -> Ready {
        let write = self.take_writes();
        self.replicate();
        let snapshot = self.pending_snapshot.take();
        let messages = self.take_messages();
        let from = self.applied.next();
        let committed = self.log.slice(from, self.commit, usize::MAX);
        self.applied = self.commit;
        Ready {
            write,
            messages,
            snapshot,
            committed,
        }
    }

    /// Compacts the log up to `index`, where `snapshot` is the state machine after that entry.
    ///
    /// An index that is not applied yet, or that an earlier snapshot covers, has no effect.
    pub fn compact(&mut self, index: Index, snapshot: Vec<u8>) {
        if index > self.applied {
            return;
        }
        if let Some(snapshot) = self
            .log
            .compact(index, snapshot, self.config.retained_entries)
        {
            self.snapshot_writes.push(Write::Compact(snapshot));
        }
    }

    /// Returns the id of this member.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the role of this member.
    pub fn role(&self) -> Role {
        match &self.state {
            RoleState::Follower if !self.members().is_voter(self.id) => Role::Learner,
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(..) => Role::PreCandidate,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the membership, including a change that is not committed yet.
    pub fn members(&self) -> &Membership {
        self.log.members()
    }

    /// Returns the log.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// Returns the commit index.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the time since the start of the last heartbeat round that a majority acknowledged.
    ///
    /// No newer leader had been elected at that start, so the state of an established leader was
    /// the newest one at that time. The age is `None` on members other than the leader, on a leader
    /// that is not established, and during a leadership transfer.
    pub fn quorum_age(&self, now: Instant) -> Option<Duration> {
        let RoleState::Leader(leader) = &self.state else {
            return None;
        };
        let start = leader.rounds.confirmed()?;
        let is_valid = self.is_established() && leader.successor.is_none();
        is_valid.then(|| now.saturating_duration_since(start))
    }

    /// Returns whether this member is a leader with a committed entry of its own term.
    ///
    /// Such a leader knows of every entry that earlier leaders committed.
    pub fn is_established(&self) -> bool {
        match &self.state {
            RoleState::Leader(leader) => self.commit >= leader.first_index,
            _ => false,
        }
    }

    /// Returns the health of all members, or nothing unless this member is the leader.
    ///
    /// A member that has not responded in this term counts as silent since one check-quorum window
    /// before the election, or before it was added.
    pub fn health(&self, now: Instant) -> Vec<MemberHealth> {
        let RoleState::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let last = self.log.last().0;
        let window = self.config.check_quorum_window;
        let health = |(id, member): (MemberId, &crate::raft_member::Member)| {
            let progress = leader.progress.get(&id);
            let matched = progress.map_or(last, |p| p.matched.0);
            let silent = progress.map_or(Duration::ZERO, |p| match p.last_reply {
                Some(at) => now.saturating_duration_since(at),
                None => now.saturating_duration_since(p.since) + window,
            });
            MemberHealth {
                id,
                instance: member.instance.clone(),
                voting: member.voting,
                silent,
                behind: last - matched.min(last),
            }
        };
        self.members().iter().map(health).collect()
    }

    pub(crate) fn send(&mut self, to: MemberId, term: Term, body: Body) {
        let message = Message { term, body };
        self.messages.push(Outgoing { to, message });
    }

    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last().next();
        let term = self.term;
        self.log.append(Entry {
            term,
            index,
            payload,
        });
        index
    }

    pub(crate) fn install_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(Arc::clone(&snapshot));
        self.snapshot_writes
            .push(Write::Install(Arc::clone(&snapshot)));
        self.pending_snapshot = Some(snapshot);
    }

    /// Returns a random duration from `from` to `to`.
    pub(crate) fn jitter(&mut self, from: Duration, to: Duration) -> Duration {
        self.rng.random_range(from..=to.max(from))
    }

    fn check_proposal(&self) -> Result<(), ProposeError> {
        let RoleState::Leader(leader) = &self.state else {
            return Err(ProposeError::NotLeader);
        };
        if leader.successor.is_some() {
            return Err(ProposeError::Transferring);
        }
        // The others may commit what this member's own disk has not stored yet.
        let stored = self.commit.min(self.log.durable());
        if self.log.last().0 - stored.0 >= self.config.max_uncommitted {
            return Err(ProposeError::Overloaded);
        }
        Ok(())
    }

    /// Checks whether a membership change may be appended.
    ///
    /// A change is rejected until an entry of the current term is committed. Otherwise two
    /// successive leaders could each append a different change to the same membership, and the
    /// majorities after the two changes need not have a member in common.
    fn check_change(&self, now: Instant, change: &MemberChange) -> Result<(), ProposeError> {
        if !self.is_established() {
            return Err(ProposeError::NotEstablished);
        }
        if self.log.last_change().is_some_and(|at| at > self.commit) {
            return Err(ProposeError::Pending);
        }
        if *change == MemberChange::Remove(self.id) {
            return Err(ProposeError::IsLeader);
        }
        let after = self
            .members()
            .with_change(change)
            .ok_or(ProposeError::Invalid)?;
        let health = self.health(now);
        let is_responsive = |m: &&MemberHealth| m.silent < self.config.check_quorum_window;
        if let MemberChange::Promote(id) = change {
            let learner = health.iter().find(|m| m.id == *id).filter(is_responsive);
            learner
                .filter(|m| m.behind <= self.config.max_learner_lag)
                .ok_or(ProposeError::NotCaughtUp)?;
        }
        let working = health.iter().filter(is_responsive);
        let working = working.filter(|m| after.is_voter(m.id)).count();
        let changes_voters = !matches!(change, MemberChange::AddLearner { .. });
        if changes_voters && working < after.majority() {
            return Err(ProposeError::NoMajority);
        }
        Ok(())
    }
}
