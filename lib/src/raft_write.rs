//! Writes of a member that are under way, and the messages that wait for them.
//!
//! Batches of writes are numbered and complete in order. A message that is sent in a term must not
//! leave before that term and the vote in it are durable; all others need not wait. An
//! acknowledgement states only what is durable when it is sent (`docs/replication.md`).

use std::collections::VecDeque;
use std::time::Instant;

use crate::raft::Raft;
use crate::raft::RoleState;
use crate::raft_message::AppendReply;
use crate::raft_message::AppendResult;
use crate::raft_message::Body;
use crate::raft_message::HardState;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Outgoing;
use crate::raft_message::Term;
use crate::storage::Write;

/// Largest number of messages that wait for a write. Further ones are dropped like messages that the
/// network loses.
const MAX_HELD_MESSAGES: usize = 1_024;

/// Writes that must become durable together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteBatch {
    /// Number with which [`Raft::finish_write`] is called once the writes are durable.
    pub number: u64,
    /// The writes in order.
    pub writes: Vec<Write>,
}

/// The writes that were handed to the caller.
#[derive(Clone, Debug)]
pub(crate) struct WriteTracker {
    /// Number of the newest batch.
    newest: u64,
    /// Number up to which all batches are durable.
    finished: u64,
    /// The term and vote that were handed over last, and the number of their batch.
    hard: (HardState, u64),
    /// Messages and the number of the batch for which each waits.
    held: VecDeque<(u64, Outgoing)>,
}

impl WriteTracker {
    /// Returns a tracker for a member whose `hard` state is durable.
    pub(crate) fn new(hard: HardState) -> Self {
        Self {
            newest: 0,
            finished: 0,
            hard: (hard, 0),
            held: VecDeque::new(),
        }
    }

    /// Returns whether this term and vote are durable.
    fn is_durable(&self, hard: HardState) -> bool {
        self.hard.0 == hard && self.hard.1 <= self.finished
    }

    /// Returns the messages that may be sent now, and holds the others.
    fn filter(&mut self, messages: Vec<Outgoing>) -> Vec<Outgoing> {
        let number = self.hard.1;
        if number <= self.finished {
            return messages;
        }
        let space = MAX_HELD_MESSAGES.saturating_sub(self.held.len());
        if messages.len() > space {
            tracing::debug!(count = messages.len() - space, "dropped held messages");
        }
        let held = messages.into_iter().take(space);
        self.held.extend(held.map(|message| (number, message)));
        Vec::new()
    }

    /// Returns the messages that no longer wait for a write.
    fn release(&mut self) -> Vec<Outgoing> {
        let finished = self.finished;
        let count = self.held.partition_point(|(number, _)| *number <= finished);
        self.held.drain(..count).map(|(_, m)| m).collect()
    }
}

/// What a follower has told the leader of its term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Following {
    leader: MemberId,
    term: Term,
    /// Newest heartbeat round of the leader that arrived.
    round: u64,
    /// Highest index up to which the log is known to match the leader's.
    matched: Index,
    /// Highest index that was acknowledged.
    acknowledged: Index,
}

impl Raft {
    /// Records that the batch with this number, and thereby all earlier ones, is durable.
    ///
    /// The next [`Raft::ready`] returns what waited for it.
    pub fn finish_write(&mut self, now: Instant, number: u64) {
        let was_durable = self.is_hard_durable();
        self.writes.finished = self.writes.finished.max(number);
        self.log.finish_write(number);
        if let RoleState::Candidate(_) = self.state
            && !was_durable
            && self.is_hard_durable()
        {
            // The requests for votes leave only now.
            self.wait_for_vote(now);
        }
        self.acknowledge_durable();
    }

    /// Returns whether the current term and vote are durable.
    pub(crate) fn is_hard_durable(&self) -> bool {
        self.writes.is_durable(self.hard_state())
    }

    /// Returns the number of messages that wait for a write.
    pub fn held_messages(&self) -> usize {
        self.writes.held.len()
    }

    fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
        }
    }

    /// Returns the writes that resulted from the calls since the previous call of this function.
    pub(crate) fn take_writes(&mut self) -> Option<WriteBatch> {
        let number = self.writes.newest + 1;
        let hard = self.hard_state();
        let mut writes = Vec::new();
        if hard != self.writes.hard.0 {
            self.writes.hard = (hard, number);
            writes.push(Write::Hard(hard));
        }
        writes.append(&mut self.snapshot_writes);
        let entries = self.log.take_unwritten();
        if !entries.is_empty() {
            writes.push(Write::Entries(entries));
        }
        if writes.is_empty() {
            return None;
        }
        let last = writes.iter().filter_map(Write::last_index).max();
        self.log.start_write(number, last);
        self.writes.newest = number;
        Some(WriteBatch { number, writes })
    }

    /// Returns the messages that may be sent before any write that is under way completes.
    pub(crate) fn take_messages(&mut self) -> Vec<Outgoing> {
        let mut messages = self.writes.release();
        let new = std::mem::take(&mut self.messages);
        messages.extend(self.writes.filter(new));
        messages
    }

    /// Answers a message of the leader, up to whose index `last` the log matches the leader's.
    ///
    /// The answer counts as one to the heartbeat in any case. It acknowledges only the entries that
    /// are durable; the others are acknowledged by [`Raft::finish_write`].
    pub(crate) fn acknowledge(&mut self, leader: MemberId, round: u64, last: Index) {
        let index = last.min(self.log.durable());
        let known = self.following.filter(|f| f.term == self.term);
        let mut following = known.unwrap_or(Following {
            leader,
            term: self.term,
            round,
            matched: last,
            acknowledged: index,
        });
        following.round = following.round.max(round);
        following.matched = following.matched.max(last);
        following.acknowledged = following.acknowledged.max(index);
        self.following = Some(following);
        self.send_matched(leader, round, index);
    }

    /// Acknowledges the entries that have become durable since the last acknowledgement.
    fn acknowledge_durable(&mut self) {
        let term = self.term;
        let is_following = matches!(self.state, RoleState::Follower);
        let durable = self.log.durable();
        let Some(following) = self.following.as_mut().filter(|f| f.term == term) else {
            return;
        };
        let index = following.matched.min(durable);
        if is_following && index > following.acknowledged {
            following.acknowledged = index;
            let (leader, round) = (following.leader, following.round);
            self.send_matched(leader, round, index);
        }
    }

    fn send_matched(&mut self, leader: MemberId, round: u64, index: Index) {
        let result = AppendResult::Matched(index);
        let reply = AppendReply { round, result };
        self.send(leader, self.term, Body::AppendReply(reply));
    }
}
