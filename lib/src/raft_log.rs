//! The part of the log that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::raft_member::Membership;
use crate::raft_member::MembershipHistory;
use crate::raft_message::Entry;
use crate::raft_message::Index;
use crate::raft_message::Snapshot;
use crate::raft_message::Term;
use crate::storage::DurableState;

/// The newest snapshot and the entries after `base`, which is at most the snapshot's index.
#[derive(Clone, Debug)]
pub struct RaftLog {
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    history: MembershipHistory,
    /// First index that [`RaftLog::take_unwritten`] has not returned yet.
    unwritten: Index,
    /// Index up to which the entries are durable.
    durable: Index,
    /// Batches of writes that are under way: the number, and the index up to which the entries are
    /// durable once it completes.
    under_way: VecDeque<(u64, Index)>,
}

impl RaftLog {
    /// Returns the log that was read from storage.
    pub fn new(durable: DurableState) -> Self {
        let snapshot = durable.snapshot;
        let base = snapshot.as_ref().map_or(Index(0), |s| s.index);
        let base_term = snapshot.as_ref().map_or(Term(0), |s| s.term);
        let members = snapshot.as_ref().map(|s| s.members.clone());
        let mut history = MembershipHistory::new(members.unwrap_or_default());
        durable.entries.iter().for_each(|e| history.append(e));
        let entries = VecDeque::from(durable.entries);
        let mut log = Self {
            base,
            base_term,
            entries,
            snapshot,
            history,
            unwritten: Index(0),
            durable: Index(0),
            under_way: VecDeque::new(),
        };
        log.durable = log.last();
        log.unwritten = log.last().next();
        log
    }

    /// Returns the index before the first entry in memory.
    pub fn base(&self) -> Index {
        self.base
    }

    /// Returns the index of the last entry.
    pub fn last(&self) -> Index {
        Index(self.base.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the newest membership.
    pub fn members(&self) -> &Membership {
        self.history.current()
    }

    /// Returns the index of the newest membership change in memory.
    pub fn last_change(&self) -> Option<Index> {
        self.history.last_change()
    }

    /// Returns the term of the entry at `index`, or `None` if it is compacted or does not exist.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entries from `from` to `to`, both inclusive, limited to about `bytes` bytes but
    /// at least one.
    pub fn slice(&self, from: Index, to: Index, bytes: usize) -> Vec<Entry> {
        let Some(start) = self.offset(from) else {
            return Vec::new();
        };
        let count = (to.0 + 1).saturating_sub(from.0);
        let mut size = 0;
        let fits = |entry: &&Entry| {
            let is_first = size == 0;
            size += entry.size();
            is_first || size <= bytes
        };
        let range = self.entries.range(start.min(self.entries.len())..);
        range
            .take(count as usize)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Returns the highest index at or before `index` whose entry has a term of at most `term`.
    ///
    /// Leader and follower use it to skip whole terms when their logs conflict, so that finding the
    /// last matching entry takes one message per term instead of one per entry. A result below the
    /// base means that only a snapshot can resolve the conflict.
    pub fn find_conflict_by_term(&self, index: Index, term: Term) -> Index {
        let mut index = index.min(self.last());
        while index > Index(0) && self.term(index).is_some_and(|t| t > term) {
            index = index.prev();
        }
        index
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().next());
        self.history.append(&entry);
        self.entries.push_back(entry);
    }

    /// Appends the entries of a leader and replaces those that conflict with them.
    ///
    /// Entries that match are kept together with those after them, because a delayed message must
    /// not remove entries that were appended since it was sent.
    pub fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None if entry.index <= self.base => continue,
                None => {}
            }
            self.append(entry);
        }
    }

    /// Returns the entries that have not been written yet, and marks them as written.
    pub fn take_unwritten(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.unwritten, self.last(), usize::MAX);
        self.unwritten = self.last().next();
        entries
    }

    /// Returns the index up to which the entries are durable.
    pub fn durable(&self) -> Index {
        self.durable
    }

    /// Records that a batch of writes was started, with which the entries up to `last` are durable.
    pub fn start_write(&mut self, number: u64, last: Option<Index>) {
        self.under_way.extend(last.map(|last| (number, last)));
    }

    /// Records that the batches up to this number are durable.
    pub fn finish_write(&mut self, number: u64) {
        while let Some((_, last)) = self.under_way.pop_front_if(|(first, _)| *first <= number) {
            self.durable = self.durable.max(last);
        }
    }

    /// Limits what counts as durable now or after the writes under way, because later entries are
    /// replaced.
    fn limit_durable(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for (_, end) in &mut self.under_way {
            *end = last.min(*end);
        }
    }

    /// Compacts the log up to `index`, where `data` is the encoded state after that entry.
    ///
    /// The last `retain` entries up to `index` stay in memory for followers that lag slightly.
    /// Returns the snapshot, or `None` if `index` is not in memory or not above the last snapshot.
    pub fn compact(&mut self, index: Index, data: Vec<u8>, retain: u64) -> Option<Arc<Snapshot>> {
        let newest = self.snapshot.as_ref().map_or(Index(0), |s| s.index);
        let term = self.term(index).filter(|_| index > newest)?;
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            members: self.history.at(index).clone(),
            data,
        });
        self.snapshot = Some(Arc::clone(&snapshot));
        let base = Index(index.0.saturating_sub(retain)).max(self.base);
        self.base_term = self.term(base).unwrap_or(self.base_term);
        self.entries.drain(..(base.0 - self.base.0) as usize);
        self.base = base;
        self.history.compact(base);
        Some(snapshot)
    }

    /// Replaces the whole log by a snapshot of the leader.
    ///
    /// Nothing counts as durable until the snapshot is.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.limit_durable(Index(0));
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.history = MembershipHistory::new(snapshot.members.clone());
        self.unwritten = snapshot.index.next();
        self.snapshot = Some(snapshot);
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        Some(offset as usize)
    }

    fn entry(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    fn truncate(&mut self, index: Index) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
            self.history.truncate(index);
            self.unwritten = self.unwritten.min(index);
            self.limit_durable(index.prev());
        }
    }
}
