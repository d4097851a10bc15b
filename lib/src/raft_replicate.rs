//! Log replication: append messages, the responses of followers, and snapshot transfer in chunks.

use std::sync::Arc;
use std::time::Instant;

use crate::raft::Raft;
use crate::raft::RoleState;
use crate::raft_message::Append;
use crate::raft_message::AppendReply;
use crate::raft_message::AppendResult;
use crate::raft_message::Body;
use crate::raft_message::Chunk;
use crate::raft_message::ChunkReply;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Snapshot;
use crate::raft_progress::LeaderState;
use crate::raft_progress::Progress;
use crate::raft_progress::ProgressState;
use crate::raft_progress::SnapshotTransfer;

/// Number of heartbeat rounds after which an unacknowledged chunk is sent again.
const CHUNK_RETRY_ROUNDS: u64 = 4;

/// A member counts as reachable if it acknowledged one of this many newest heartbeat rounds.
const REACHABLE_ROUNDS: u64 = 2;

/// A partially received snapshot.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    index: Index,
    total: u64,
    data: Vec<u8>,
}

impl Raft {
    pub(crate) fn tick_leader(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        let start = leader.rounds.confirmed().unwrap_or(leader.elected_at);
        if now >= start + self.config.check_quorum_window {
            let silent = self.silent_voters(now);
            tracing::warn!(term = self.term.0, %silent, "no majority answers, stepping down");
            return self.become_follower(self.term, now);
        }
        if leader.successor.is_some_and(|(_, until)| now >= until) {
            leader.successor = None;
        }
        if now >= leader.next_heartbeat {
            leader.next_heartbeat = now + self.config.heartbeat_interval;
            self.start_round(now);
        }
    }

    /// Returns the names of the other voters with the time since the last answer of each.
    fn silent_voters(&self, now: Instant) -> String {
        let health = self.health(now);
        let others = health.iter().filter(|m| m.voting && m.id != self.id);
        others
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join(", ")
    }

    fn start_round(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        leader.rounds.start(now);
        leader.confirm(self.id, self.log.members());
        let peers: Vec<MemberId> = leader.progress.keys().copied().collect();
        for id in peers {
            self.send_heartbeat(id);
        }
    }

    /// Adds and removes progress records so that they match the membership.
    pub(crate) fn sync_progress(&mut self, now: Instant) {
        if let RoleState::Leader(leader) = &mut self.state {
            leader.sync_progress(now, self.id, self.log.members(), self.log.last());
        }
    }

    /// Commits what a majority holds and sends the members the entries that they lack.
    ///
    /// The entries are sent while the leader's own write is under way, but it counts itself only up
    /// to its durable index.
    pub(crate) fn replicate(&mut self) {
        let durable = self.log.durable();
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        leader.durable_index = durable;
        let peers: Vec<MemberId> = leader.progress.keys().copied().collect();
        self.advance_commit();
        for id in peers {
            self.send_entries(id);
        }
    }

    /// Advances the commit index to the newest entry that a majority holds.
    ///
    /// An entry of an earlier term is only committed together with a later one of the current term,
    /// because a later leader can still replace it although a majority holds it.
    fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.state else {
            return;
        };
        let Some(index) = leader.quorum_index(self.id, self.log.members()) else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit = index;
        }
    }

    /// Starts a snapshot transfer to a member that needs compacted entries.
    fn start_snapshot_if_compacted(&mut self, id: MemberId) {
        let base = self.log.base();
        let Some(snapshot) = self.log.snapshot().map(Arc::clone) else {
            return;
        };
        if let Some(progress) = self.progress(id)
            && progress.next <= base
            && !matches!(progress.state, ProgressState::Snapshot(_))
        {
            progress.start_snapshot(&snapshot);
        }
    }

    fn send_heartbeat(&mut self, id: MemberId) {
        self.start_snapshot_if_compacted(id);
        let round = self.round();
        let Some(progress) = self.progress(id) else {
            return;
        };
        // An unreachable member does not get the same entries again in every round.
        let is_reachable = progress.acked_round + REACHABLE_ROUNDS >= round;
        match &mut progress.state {
            ProgressState::Probe { waiting } => {
                *waiting = true;
                self.send_append(id, is_reachable);
            }
            ProgressState::Replicate { .. } => {
                self.send_append(id, false);
            }
            ProgressState::Snapshot(transfer) => {
                let is_due = transfer.waiting && round >= transfer.sent_round + CHUNK_RETRY_ROUNDS;
                let is_lost = is_reachable && is_due;
                if is_lost {
                    transfer.offset = transfer.requested;
                }
                self.send_chunk(id, is_lost);
            }
        }
    }

    fn send_entries(&mut self, id: MemberId) {
        self.start_snapshot_if_compacted(id);
        let last = self.log.last();
        let limit = self.config.max_inflight;
        loop {
            let Some(progress) = self.progress(id) else {
                return;
            };
            let is_behind = progress.next <= last;
            match &mut progress.state {
                ProgressState::Probe { waiting } if is_behind && !*waiting => {
                    *waiting = true;
                    self.send_append(id, true);
                    return;
                }
                ProgressState::Replicate { inflight } if is_behind && inflight.len() < limit => {
                    let count = self.send_append(id, true);
                    self.advance_next(id, count);
                }
                ProgressState::Snapshot(transfer) if !transfer.waiting => {
                    return self.send_chunk(id, true);
                }
                _ => return,
            }
        }
    }

    fn advance_next(&mut self, id: MemberId, count: u64) {
        if let Some(progress) = self.progress(id) {
            let last = Index(progress.next.0 + count - 1);
            progress.next = last.next();
            if let ProgressState::Replicate { inflight } = &mut progress.state {
                inflight.push_back(last);
            }
        }
    }

    /// Sends entries from the member's next index on, and returns their number.
    fn send_append(&mut self, id: MemberId, with_entries: bool) -> u64 {
        let round = self.round();
        let Some(next) = self.progress(id).map(|progress| progress.next) else {
            return 0;
        };
        let prev = next.prev();
        let bytes = self.config.max_append_bytes;
        let entries = if with_entries {
            self.log.slice(next, self.log.last(), bytes)
        } else {
            Vec::new()
        };
        let count = entries.len() as u64;
        let append = Append {
            prev,
            prev_term: self.log.term(prev).unwrap_or_default(),
            entries,
            commit: self.commit,
            round,
        };
        self.send(id, self.term, Body::Append(append));
        count
    }

    fn send_chunk(&mut self, id: MemberId, with_data: bool) {
        let round = self.round();
        let bytes = self.config.chunk_bytes;
        let Some(Progress {
            state: ProgressState::Snapshot(transfer),
            ..
        }) = self.progress(id)
        else {
            return;
        };
        if with_data {
            transfer.waiting = true;
            transfer.sent_round = round;
        }
        let chunk = make_chunk(transfer, round, if with_data { bytes } else { 0 });
        self.send(id, self.term, Body::Chunk(chunk));
    }

    pub(crate) fn on_append(&mut self, now: Instant, from: MemberId, mut append: Append) {
        if matches!(self.state, RoleState::Leader(_)) {
            tracing::error!(term = self.term.0, %from, "two leaders in the same term");
            return;
        }
        if !is_contiguous(&append) {
            return;
        }
        self.accept_leader(from, now);
        let base = self.log.base();
        if append.prev < base {
            // Entries that the snapshot covers are committed, so both logs agree on them.
            append.entries.retain(|entry| entry.index > base);
            append.prev = base;
            append.prev_term = self.log.term(base).unwrap_or_default();
        }
        let round = append.round;
        match self.try_append(append) {
            Ok(last) => self.acknowledge(from, round, last),
            Err(result) => self.send(
                from,
                self.term,
                Body::AppendReply(AppendReply { round, result }),
            ),
        }
    }

    /// Appends the entries and returns the index up to which the logs match, or the conflict.
    fn try_append(&mut self, append: Append) -> Result<Index, AppendResult> {
        let prev = append.prev;
        if self.log.term(prev) != Some(append.prev_term) {
            let hint = self.log.find_conflict_by_term(prev, append.prev_term);
            let hint_term = self.log.term(hint).unwrap_or_default();
            return Err(AppendResult::Conflict {
                prev,
                hint,
                hint_term,
            });
        }
        let last = Index(prev.0 + append.entries.len() as u64);
        self.log.merge(append.entries);
        debug_assert!(
            self.log.last() >= self.commit,
            "a committed entry was removed"
        );
        self.commit = self.commit.max(append.commit.min(last));
        Ok(last)
    }

    pub(crate) fn on_append_reply(&mut self, now: Instant, from: MemberId, reply: AppendReply) {
        self.record_reply(now, from, reply.round);
        match reply.result {
            AppendResult::Matched(index) => {
                if let Some(progress) = self.progress(from) {
                    progress.accept(index);
                }
                self.advance_commit();
                self.try_finish_transfer(now);
            }
            AppendResult::Conflict {
                prev,
                hint,
                hint_term,
            } => {
                let next = self.log.find_conflict_by_term(hint, hint_term).next();
                if let Some(progress) = self.progress(from) {
                    progress.reject(prev, next);
                }
            }
        }
    }

    pub(crate) fn on_chunk(&mut self, now: Instant, from: MemberId, chunk: Chunk) {
        if matches!(self.state, RoleState::Leader(_)) {
            tracing::error!(term = self.term.0, %from, "two leaders in the same term");
            return;
        }
        self.accept_leader(from, now);
        let (index, round) = (chunk.index, chunk.round);
        match self.receive_chunk(chunk) {
            Some(offset) => {
                let reply = ChunkReply {
                    index,
                    offset,
                    round,
                };
                self.send(from, self.term, Body::ChunkReply(reply));
            }
            None => self.acknowledge(from, round, index),
        }
    }

    /// Stores a chunk and returns the offset of the next one, or `None` when the snapshot is
    /// complete or the log already contains its last entry.
    fn receive_chunk(&mut self, chunk: Chunk) -> Option<u64> {
        if chunk.index <= self.commit {
            return None;
        }
        if self.log.term(chunk.index) == Some(chunk.index_term) {
            self.commit = chunk.index;
            return None;
        }
        let is_same = |i: &IncomingSnapshot| i.index == chunk.index && i.total == chunk.total;
        let new = IncomingSnapshot {
            index: chunk.index,
            total: chunk.total,
            data: Vec::new(),
        };
        let mut incoming = self.incoming.take().filter(is_same).unwrap_or(new);
        let offset = incoming.data.len() as u64;
        if offset == chunk.offset {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let offset = incoming.data.len() as u64;
        if offset < chunk.total {
            self.incoming = Some(incoming);
            return Some(offset);
        }
        self.install_snapshot(Arc::new(Snapshot {
            index: chunk.index,
            term: chunk.index_term,
            members: chunk.members,
            data: incoming.data,
        }));
        None
    }

    pub(crate) fn on_chunk_reply(&mut self, now: Instant, from: MemberId, reply: ChunkReply) {
        self.record_reply(now, from, reply.round);
        let Some(Progress {
            state: ProgressState::Snapshot(transfer),
            ..
        }) = self.progress(from)
        else {
            return;
        };
        if transfer.snapshot.index != reply.index {
            return;
        }
        transfer.requested = reply.offset;
        if reply.offset > transfer.offset {
            transfer.offset = reply.offset;
            transfer.waiting = false;
        }
    }

    /// Informs the leader of an older term of the current term, so that it steps down.
    pub(crate) fn reject_stale(&mut self, from: MemberId, body: &Body) {
        if matches!(body, Body::Append(_) | Body::Chunk(_)) {
            self.send(from, self.term, Body::PreVoteReply { granted: false });
        }
    }

    /// Completes a leadership transfer once the successor holds the whole log.
    ///
    /// The leader steps down before the successor can start its election, so that it never relies
    /// on a majority that already follows another leader.
    pub(crate) fn try_finish_transfer(&mut self, now: Instant) {
        let last = self.log.last();
        let RoleState::Leader(leader) = &self.state else {
            return;
        };
        let Some((id, _)) = leader.successor else {
            return;
        };
        if leader.progress.get(&id).is_some_and(|p| p.matched == last) {
            self.send(id, self.term, Body::TimeoutNow);
            self.become_follower(self.term, now);
        }
    }

    fn record_reply(&mut self, now: Instant, from: MemberId, round: u64) {
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.last_reply = Some(now);
        progress.acked_round = progress.acked_round.max(round);
        leader.confirm(self.id, self.log.members());
    }

    fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.state {
            RoleState::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    fn progress(&mut self, id: MemberId) -> Option<&mut Progress> {
        self.leader_state()?.progress.get_mut(&id)
    }

    fn round(&self) -> u64 {
        match &self.state {
            RoleState::Leader(leader) => leader.rounds.newest(),
            _ => 0,
        }
    }
}

fn is_contiguous(append: &Append) -> bool {
    let expected = append.prev.0 + 1..;
    let indexes = append.entries.iter().map(|entry| entry.index.0);
    indexes.zip(expected).all(|(index, want)| index == want)
}

fn make_chunk(transfer: &SnapshotTransfer, round: u64, bytes: usize) -> Chunk {
    let snapshot = &transfer.snapshot;
    let start = (transfer.offset as usize).min(snapshot.data.len());
    let end = (start + bytes).min(snapshot.data.len());
    Chunk {
        index: snapshot.index,
        index_term: snapshot.term,
        members: snapshot.members.clone(),
        total: snapshot.data.len() as u64,
        offset: transfer.offset,
        data: snapshot.data[start..end].to_vec(),
        round,
    }
}
