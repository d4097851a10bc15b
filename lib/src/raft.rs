//! Pure replication core: messages and time in, messages and writes out.
//!
//! The core performs no I/O and reads no clock. The caller handles every [`Ready`] in this order:
//! sync the writes, send the messages, install the snapshot, apply the committed entries. When a
//! write fails, the caller drops the member and the `Ready` unsent. The protocol is explained in
//! `docs/replication.md`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::raft_election::Ballot;
use crate::raft_log::RaftLog;
use crate::raft_member::MemberChange;
use crate::raft_member::MemberHealth;
use crate::raft_member::Membership;
use crate::raft_message::Body;
use crate::raft_message::Entry;
use crate::raft_message::HardState;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Message;
use crate::raft_message::Outgoing;
use crate::raft_message::Payload;
use crate::raft_message::Snapshot;
use crate::raft_message::Term;
use crate::raft_progress::Leadership;
use crate::raft_progress::Progress;
use crate::raft_replicate::Incoming;
use crate::storage::DurableState;
use crate::storage::Write;

/// Timers and bounds of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval between heartbeat rounds.
    pub heartbeat: Duration,
    /// Shortest wait before an election is repeated.
    pub election_min: Duration,
    /// Longest wait before an election is repeated.
    pub election_max: Duration,
    /// A leader that no majority answered for this time steps down, and a voter that heard from a
    /// leader within this time neither starts nor supports an election.
    pub quorum_window: Duration,
    /// Most bytes of entries in one message.
    pub append_bytes: usize,
    /// Most unanswered messages with entries to one member.
    pub inflight: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries before a snapshot that stay in memory for members that are a little behind.
    pub retain: u64,
    /// A learner that lacks at most this many entries may be promoted.
    pub slack: u64,
    /// Most entries that are appended and not committed; further proposals are refused.
    pub uncommitted: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(250),
            election_max: Duration::from_millis(500),
            quorum_window: Duration::from_millis(500),
            append_bytes: 64 << 10,
            inflight: 16,
            chunk_bytes: 64 << 10,
            retain: 1024,
            slack: 64,
            uncommitted: 16_384,
        }
    }
}

/// What a member is doing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// Copies the log and does not vote.
    Learner,
    /// Copies the log of a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal was refused; nothing was appended.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// Another member leads, or none.
    #[display("this member does not lead")]
    NotLeader,
    /// Leadership is being handed over.
    #[display("leadership is being handed over")]
    Transferring,
    /// Too many entries wait for a majority.
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
    /// The learner lacks too many entries or does not answer.
    #[display("the learner has not caught up")]
    NotCaughtUp,
    /// The members that answer would not be a majority.
    #[display("the members that answer would not be a majority")]
    NoMajority,
    /// A leader cannot remove itself; it hands leadership over first.
    #[display("the leader cannot remove itself")]
    IsLeader,
}

/// Work for the caller, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// To be synced first.
    pub writes: Vec<Write>,
    /// To be sent after the writes are synced.
    pub messages: Vec<Outgoing>,
    /// State that replaces the state machine; empty data stands for the initial state.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries to apply, without gaps.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.snapshot.is_none()
            && self.committed.is_empty()
    }
}

#[derive(Clone, Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Leadership),
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
    pub(crate) state: State,
    pub(crate) leader: Option<MemberId>,
    /// Until then this member neither starts nor supports an election.
    pub(crate) hold: Instant,
    /// When a member that does not lead acts next.
    pub(crate) deadline: Instant,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) rng: StdRng,
    applied: Index,
    written: HardState,
    snapshots: Vec<Write>,
    install: Option<Arc<Snapshot>>,
    messages: Vec<Outgoing>,
}

impl Raft {
    /// Returns a member that continues from what storage holds.
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
        let written = durable.hard;
        let install = durable.snapshot.clone();
        let start = install.as_ref().map_or(Index(0), |s| s.index);
        let mut raft = Self {
            id,
            config,
            term: written.term,
            vote: written.vote,
            log: RaftLog::new(durable),
            commit: start,
            state: State::Follower,
            leader: None,
            hold: now + config.quorum_window,
            deadline: now,
            incoming: None,
            rng: StdRng::seed_from_u64(seed ^ id.0),
            applied: start,
            written,
            snapshots: Vec::new(),
            install,
            messages: Vec::new(),
        };
        if raft.members().voters().eq([id]) {
            // Nobody else can lead, so there is nothing to wait for.
            raft.hold = now;
        } else {
            raft.wait_for_leader();
        }
        raft
    }

    /// Follows the passage of time.
    pub fn tick(&mut self, now: Instant) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.deadline {
            self.tick_election(now);
        }
    }

    /// Returns when [`Raft::tick`] has something to do.
    pub fn wake_at(&self) -> Instant {
        match &self.state {
            State::Leader(lead) => lead.heartbeat,
            _ => self.deadline,
        }
    }

    /// Follows a message.
    ///
    /// The caller passes on only messages that were addressed to this member id.
    pub fn step(&mut self, now: Instant, from: MemberId, message: Message) {
        let term = message.term;
        match message.body {
            Body::PreVote(candidacy) => return self.on_pre_vote(now, from, term, candidacy),
            Body::Vote(candidacy) => return self.on_vote(now, from, term, candidacy),
            Body::PreVoteReply { granted } => {
                return self.on_pre_vote_reply(now, from, term, granted);
            }
            _ => {}
        }
        if term > self.term {
            self.follow(term, now);
        }
        if term < self.term {
            return self.answer_stale(from, &message.body);
        }
        match message.body {
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted),
            Body::Append(append) => self.on_append(now, from, append),
            Body::AppendReply(reply) => self.on_append_reply(now, from, reply),
            Body::Chunk(chunk) => self.on_chunk(now, from, chunk),
            Body::ChunkReply(reply) => self.on_chunk_reply(now, from, reply),
            Body::TransferNow => self.on_transfer(now, from),
            Body::PreVote(_) | Body::PreVoteReply { .. } | Body::Vote(_) => {}
        }
    }

    /// Appends a command of the state machine; it is accepted when it appears in
    /// [`Ready::committed`] with the returned index and the same term.
    pub fn propose(&mut self, _now: Instant, data: Vec<u8>) -> Result<Index, ProposeError> {
        self.check_proposal()?;
        Ok(self.append(Payload::Data(data.into())))
    }

    /// Appends a membership change.
    pub fn change(&mut self, now: Instant, change: MemberChange) -> Result<Index, ProposeError> {
        self.check_proposal()?;
        self.check_change(now, &change)?;
        let index = self.append(Payload::Change(change));
        self.follow_members();
        Ok(index)
    }

    /// Starts handing leadership to the voter that is most up to date, for a graceful stop.
    ///
    /// Proposals are refused until the attempt ends. It ends with this member as a follower, or
    /// after the longest election wait without effect.
    pub fn transfer(&mut self, now: Instant) -> Result<MemberId, ProposeError> {
        self.check_proposal()?;
        let window = self.config.quorum_window;
        let until = now + self.config.election_max;
        let State::Leader(lead) = &mut self.state else {
            return Err(ProposeError::NotLeader);
        };
        let members = self.log.members();
        let is_ready = |(id, p): &(&MemberId, &Progress)| {
            members.is_voter(**id) && p.answered.is_some_and(|at| now < at + window)
        };
        let ready = lead.progress.iter().filter(is_ready);
        let best = ready.max_by_key(|(_, progress)| progress.matched);
        let (id, _) = best.ok_or(ProposeError::NoMajority)?;
        let id = *id;
        lead.successor = Some((id, until));
        self.finish_transfer(now);
        Ok(id)
    }

    /// Returns the work that resulted from the calls since the last one.
    pub fn ready(&mut self) -> Ready {
        let writes = self.take_writes();
        self.replicate();
        let snapshot = self.install.take();
        let messages = std::mem::take(&mut self.messages);
        let from = self.applied.next();
        let committed = self.log.slice(from, self.commit, usize::MAX);
        self.applied = self.commit;
        Ready {
            writes,
            messages,
            snapshot,
            committed,
        }
    }

    /// Replaces the log up to `index` by a snapshot of the state machine after that entry.
    ///
    /// An index that is not applied yet, or that an earlier snapshot covers, has no effect.
    pub fn compact(&mut self, index: Index, snapshot: Vec<u8>) {
        if index > self.applied {
            return;
        }
        if let Some(snapshot) = self.log.compact(index, snapshot, self.config.retain) {
            self.snapshots.push(Write::Compact(snapshot));
        }
    }

    /// Returns the own id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns what this member is doing.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Follower if !self.members().is_voter(self.id) => Role::Learner,
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the membership, which includes a change that is not committed yet.
    pub fn members(&self) -> &Membership {
        self.log.members()
    }

    /// Returns the log.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// Returns the last position that is known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the time since the start of the last heartbeat round that a majority answered.
    ///
    /// No other member was elected before that start, so the state of an established leader was the
    /// newest one at that time. It is `None` on members that do not lead, on a leader that is not
    /// established, and while leadership is handed over.
    pub fn quorum_age(&self, now: Instant) -> Option<Duration> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        let start = lead.rounds.confirmed()?;
        let is_sure = self.is_established() && lead.successor.is_none();
        is_sure.then(|| now.saturating_duration_since(start))
    }

    /// Returns whether an entry of the own term is committed, so that the leader knows of every
    /// entry that earlier leaders committed.
    pub fn is_established(&self) -> bool {
        match &self.state {
            State::Leader(lead) => self.commit >= lead.first,
            _ => false,
        }
    }

    /// Returns how the members do; it is empty unless this member leads.
    ///
    /// A member that has not answered in this term counts as silent since before the election.
    pub fn health(&self, now: Instant) -> Vec<MemberHealth> {
        let State::Leader(lead) = &self.state else {
            return Vec::new();
        };
        let last = self.log.last().0;
        let unheard = now.saturating_duration_since(lead.elected) + self.config.quorum_window;
        let health = |(id, member): (MemberId, &crate::raft_member::Member)| {
            let progress = lead.progress.get(&id);
            let matched = progress.map_or(last, |p| p.matched.0);
            let silent = progress.map_or(Duration::ZERO, |p| {
                p.answered
                    .map_or(unheard, |at| now.saturating_duration_since(at))
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

    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(Arc::clone(&snapshot));
        self.snapshots.push(Write::Install(Arc::clone(&snapshot)));
        self.install = Some(snapshot);
    }

    /// Returns a random duration from `from` to `to`.
    pub(crate) fn jitter(&mut self, from: Duration, to: Duration) -> Duration {
        self.rng.random_range(from..=to.max(from))
    }

    fn take_writes(&mut self) -> Vec<Write> {
        let hard = HardState {
            term: self.term,
            vote: self.vote,
        };
        let mut writes = Vec::new();
        if hard != self.written {
            self.written = hard;
            writes.push(Write::Hard(hard));
        }
        writes.append(&mut self.snapshots);
        let entries = self.log.take_unwritten();
        if !entries.is_empty() {
            writes.push(Write::Entries(entries));
        }
        writes
    }

    fn check_proposal(&self) -> Result<(), ProposeError> {
        let State::Leader(lead) = &self.state else {
            return Err(ProposeError::NotLeader);
        };
        if lead.successor.is_some() {
            return Err(ProposeError::Transferring);
        }
        if self.log.last().0 - self.commit.0 >= self.config.uncommitted {
            return Err(ProposeError::Overloaded);
        }
        Ok(())
    }

    /// A change is refused until an entry of the own term is committed: otherwise two leaders in
    /// turn could each append a different change to the same membership, and the majorities after
    /// these two changes need not have a member in common.
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
        let after = self.members().after(change).ok_or(ProposeError::Invalid)?;
        let health = self.health(now);
        let is_working = |m: &&MemberHealth| m.silent < self.config.quorum_window;
        if let MemberChange::Promote(id) = change {
            let learner = health.iter().find(|m| m.id == *id).filter(is_working);
            learner
                .filter(|m| m.behind <= self.config.slack)
                .ok_or(ProposeError::NotCaughtUp)?;
        }
        let working = health.iter().filter(is_working);
        let working = working.filter(|m| after.is_voter(m.id)).count();
        let changes_voters = !matches!(change, MemberChange::AddLearner { .. });
        if changes_voters && working < after.majority() {
            return Err(ProposeError::NoMajority);
        }
        Ok(())
    }
}
