//! What a leader knows about the other members: replication progress and heartbeat rounds.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::raft_member::Membership;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Snapshot;

/// How entries are sent to one member.
#[derive(Clone, Debug)]
pub(crate) enum ProgressState {
    /// The point of agreement is not known; one message at a time.
    Probe {
        /// Whether a probe is unanswered.
        waiting: bool,
    },
    /// Entries are sent ahead of their answers.
    Replicate {
        /// Unanswered messages.
        inflight: usize,
    },
    /// The member needs entries that are compacted, so it receives a snapshot.
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way to one member.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    /// The snapshot; it stays in memory until the transfer ends, also when there is a newer one.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Offset of the next chunk.
    pub(crate) offset: u64,
    /// Offset that the member requested for last.
    pub(crate) requested: u64,
    /// Whether a chunk is unanswered.
    pub(crate) waiting: bool,
    /// Heartbeat round in which the last chunk was sent.
    pub(crate) sent_round: u64,
}

impl SnapshotTransfer {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            offset: 0,
            requested: 0,
            waiting: false,
            sent_round: 0,
        }
    }
}

/// Progress of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last position that is known to be durable at the member.
    pub(crate) matched: Index,
    /// Next position to send.
    pub(crate) next: Index,
    /// How entries are sent.
    pub(crate) state: ProgressState,
    /// Newest heartbeat round that the member answered.
    pub(crate) acked_round: u64,
    /// When it last answered in this term.
    pub(crate) last_reply: Option<Instant>,
}

impl Progress {
    pub(crate) fn new(next: Index) -> Self {
        Self {
            matched: Index(0),
            next,
            state: ProgressState::Probe { waiting: false },
            acked_round: 0,
            last_reply: None,
        }
    }

    /// Follows an answer in which the member agreed up to `index`.
    pub(crate) fn accept(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        let is_complete = self.matched.next() >= self.next;
        match &mut self.state {
            ProgressState::Probe { .. } => {
                self.next = self.matched.next();
                self.state = ProgressState::Replicate { inflight: 0 };
            }
            ProgressState::Replicate { inflight } if is_complete => *inflight = 0,
            ProgressState::Replicate { inflight } => *inflight = inflight.saturating_sub(1),
            ProgressState::Snapshot(transfer) if self.matched >= transfer.snapshot.index => {
                self.next = self.matched.next();
                self.state = ProgressState::Replicate { inflight: 0 };
            }
            ProgressState::Snapshot(_) => {}
        }
        self.next = self.next.max(self.matched.next());
    }

    /// Follows an answer in which the member did not agree at `prev`; `next` is the new guess.
    pub(crate) fn reject(&mut self, prev: Index, next: Index) {
        let is_stale = match self.state {
            ProgressState::Probe { .. } => prev.next() != self.next,
            ProgressState::Replicate { .. } => prev <= self.matched || prev >= self.next,
            ProgressState::Snapshot(_) => true,
        };
        if is_stale {
            return;
        }
        self.next = next.max(self.matched.next());
        self.state = ProgressState::Probe { waiting: false };
    }

    /// Starts the transfer of a snapshot.
    pub(crate) fn start_snapshot(&mut self, snapshot: &Arc<Snapshot>) {
        self.next = snapshot.index.next();
        self.state = ProgressState::Snapshot(SnapshotTransfer::new(Arc::clone(snapshot)));
    }
}

/// Start times of heartbeat rounds that no majority has answered yet.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatRounds {
    newest: u64,
    unconfirmed: VecDeque<(u64, Instant)>,
    /// Start of the newest round that a majority answered.
    confirmed: Option<Instant>,
}

impl HeartbeatRounds {
    pub(crate) fn new() -> Self {
        Self {
            newest: 0,
            unconfirmed: VecDeque::new(),
            confirmed: None,
        }
    }

    /// Returns the number of the newest round.
    pub(crate) fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the start of the newest round that a majority answered.
    pub(crate) fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Starts a round; its messages must be made after this.
    pub(crate) fn start(&mut self, now: Instant) {
        self.newest += 1;
        self.unconfirmed.push_back((self.newest, now));
    }

    /// Follows that a majority answered `round`.
    pub(crate) fn confirm(&mut self, round: u64) {
        while let Some((number, start)) = self.unconfirmed.front().copied() {
            if number > round {
                break;
            }
            self.confirmed = Some(start);
            self.unconfirmed.pop_front();
        }
    }
}

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Progress of every other member.
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// Heartbeat rounds.
    pub(crate) rounds: HeartbeatRounds,
    /// When the election was won.
    pub(crate) elected_at: Instant,
    /// First entry of the own term.
    pub(crate) first_index: Index,
    /// Last own entry that is durable.
    pub(crate) durable_index: Index,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: Instant,
    /// Member that leadership is handed to, and when the attempt is given up.
    pub(crate) successor: Option<(MemberId, Instant)>,
}

impl LeaderState {
    pub(crate) fn new(first_index: Index, now: Instant) -> Self {
        Self {
            progress: BTreeMap::new(),
            rounds: HeartbeatRounds::new(),
            elected_at: now,
            first_index,
            durable_index: Index(0),
            next_heartbeat: now,
            successor: None,
        }
    }

    /// Adds and removes progress records after the membership changed.
    pub(crate) fn sync_progress(&mut self, own: MemberId, members: &Membership, next: Index) {
        self.progress.retain(|id, _| members.get(*id).is_some());
        for (id, _) in members.iter().filter(|(id, _)| *id != own) {
            let new = || Progress::new(next);
            self.progress.entry(id).or_insert_with(new);
        }
    }

    /// Returns the newest position that a majority of voters holds.
    pub(crate) fn quorum_index(&self, own: MemberId, members: &Membership) -> Option<Index> {
        let matched = |id| match self.progress.get(&id) {
            Some(progress) => progress.matched,
            None if id == own => self.durable_index,
            None => Index(0),
        };
        members.quorum_value(matched)
    }

    /// Confirms the newest round that a majority of voters answered.
    pub(crate) fn confirm(&mut self, own: MemberId, members: &Membership) {
        let round = |id| match self.progress.get(&id) {
            Some(progress) => progress.acked_round,
            None if id == own => self.rounds.newest(),
            None => 0,
        };
        if let Some(round) = members.quorum_value(round) {
            self.rounds.confirm(round);
        }
    }
}
