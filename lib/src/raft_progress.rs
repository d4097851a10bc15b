//! The state that a leader keeps about the other members: replication progress and heartbeat
//! rounds.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::raft_member::Membership;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Snapshot;

/// The way in which entries are sent to one member.
#[derive(Clone, Debug)]
pub(crate) enum ProgressState {
    /// The last matching index is not known, so one message is sent at a time.
    Probe {
        /// Whether a probe has not been answered yet.
        waiting: bool,
    },
    /// Messages with entries are pipelined.
    Replicate {
        /// Last index of each message with entries that is not acknowledged yet.
        inflight: VecDeque<Index>,
    },
    /// The member needs compacted entries, so it receives a snapshot.
    Snapshot(SnapshotTransfer),
}

impl ProgressState {
    /// Returns the state of a member without unacknowledged messages.
    fn replicate() -> Self {
        Self::Replicate {
            inflight: VecDeque::new(),
        }
    }
}

/// A snapshot transfer to one member.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    /// The snapshot, which stays in memory until the transfer ends even if there is a newer one.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Offset of the next chunk, in bytes.
    pub(crate) offset: u64,
    /// Offset that the member requested last, in bytes.
    pub(crate) requested: u64,
    /// Whether a chunk has not been acknowledged yet.
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

/// The replication progress of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index up to which the member's log is known to match and to be durable.
    pub(crate) matched: Index,
    /// Index of the next entry to send.
    pub(crate) next: Index,
    /// Way in which entries are sent.
    pub(crate) state: ProgressState,
    /// Newest heartbeat round that the member acknowledged.
    pub(crate) acked_round: u64,
    /// Time from which the leader has sent to it in this term.
    pub(crate) since: Instant,
    /// Time of its last response in this term.
    pub(crate) last_reply: Option<Instant>,
}

impl Progress {
    pub(crate) fn new(next: Index, since: Instant) -> Self {
        Self {
            matched: Index(0),
            next,
            state: ProgressState::Probe { waiting: false },
            acked_round: 0,
            since,
            last_reply: None,
        }
    }

    /// Processes a response that the member's log matches up to `index`.
    pub(crate) fn accept(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        match &mut self.state {
            ProgressState::Probe { .. } => {
                self.next = self.matched.next();
                self.state = ProgressState::replicate();
            }
            // A member with a slow disk answers heartbeats without acknowledging entries, so only an
            // index frees the space of a message.
            ProgressState::Replicate { inflight } => {
                let count = inflight.partition_point(|last| *last <= self.matched);
                inflight.drain(..count);
            }
            ProgressState::Snapshot(transfer) if self.matched >= transfer.snapshot.index => {
                self.next = self.matched.next();
                self.state = ProgressState::replicate();
            }
            ProgressState::Snapshot(_) => {}
        }
        self.next = self.next.max(self.matched.next());
    }

    /// Processes a response that the member's log does not match at `prev`; `next` is the index to
    /// try next.
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

    /// Starts a snapshot transfer.
    pub(crate) fn start_snapshot(&mut self, snapshot: &Arc<Snapshot>) {
        self.next = snapshot.index.next();
        self.state = ProgressState::Snapshot(SnapshotTransfer::new(Arc::clone(snapshot)));
    }
}

/// Heartbeat rounds and the start times of those that no majority has acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatRounds {
    newest: u64,
    unconfirmed: VecDeque<(u64, Instant)>,
    /// Start of the newest round that a majority acknowledged.
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

    /// Returns the start of the newest round that a majority acknowledged.
    pub(crate) fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Starts a round, whose messages must be created after this call.
    pub(crate) fn start(&mut self, now: Instant) {
        self.newest += 1;
        self.unconfirmed.push_back((self.newest, now));
    }

    /// Records that a majority acknowledged `round` and thereby all earlier ones.
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

/// The state that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Progress of every other member.
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// Heartbeat rounds of this leader.
    pub(crate) rounds: HeartbeatRounds,
    /// Time at which the election was won.
    pub(crate) elected_at: Instant,
    /// Index of the first entry of the leader's term.
    pub(crate) first_index: Index,
    /// Index of the last entry that is durable in the leader's own log.
    pub(crate) durable_index: Index,
    /// Time of the next heartbeat round.
    pub(crate) next_heartbeat: Instant,
    /// Target of a leadership transfer, and the time at which the transfer is aborted.
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

    /// Adds and removes progress records so that they match the membership; entries are sent to new
    /// members from `next` on.
    pub(crate) fn sync_progress(
        &mut self,
        now: Instant,
        own_id: MemberId,
        members: &Membership,
        next: Index,
    ) {
        self.progress.retain(|id, _| members.get(*id).is_some());
        for (id, _) in members.iter().filter(|(id, _)| *id != own_id) {
            let new = || Progress::new(next, now);
            self.progress.entry(id).or_insert_with(new);
        }
    }

    /// Returns the highest index that a majority of voters holds.
    pub(crate) fn quorum_index(&self, own_id: MemberId, members: &Membership) -> Option<Index> {
        let matched = |id| match self.progress.get(&id) {
            Some(progress) => progress.matched,
            None if id == own_id => self.durable_index,
            None => Index(0),
        };
        members.quorum_value(matched)
    }

    /// Confirms the newest heartbeat round that a majority of voters acknowledged.
    pub(crate) fn confirm(&mut self, own_id: MemberId, members: &Membership) {
        let round = |id| match self.progress.get(&id) {
            Some(progress) => progress.acked_round,
            None if id == own_id => self.rounds.newest(),
            None => 0,
        };
        if let Some(round) = members.quorum_value(round) {
            self.rounds.confirm(round);
        }
    }
}
