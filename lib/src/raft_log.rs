//! The part of the log that is held in memory, behind the newest snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::raft_member::MemberHistory;
use crate::raft_member::Membership;
use crate::raft_message::Entry;
use crate::raft_message::Index;
use crate::raft_message::Snapshot;
use crate::raft_message::Term;
use crate::storage::DurableState;

/// Entries from `base` on, exclusive.
#[derive(Clone, Debug)]
pub struct RaftLog {
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    history: MemberHistory,
    /// First entry that has not been handed out for writing.
    unwritten: Index,
}

impl RaftLog {
    /// Returns the log that was read from storage.
    pub fn new(durable: DurableState) -> Self {
        let snapshot = durable.snapshot;
        let base = snapshot.as_ref().map_or(Index(0), |s| s.index);
        let base_term = snapshot.as_ref().map_or(Term(0), |s| s.term);
        let members = snapshot.as_ref().map(|s| s.members.clone());
        let mut history = MemberHistory::new(members.unwrap_or_default());
        durable.entries.iter().for_each(|e| history.append(e));
        let entries = VecDeque::from(durable.entries);
        let mut log = Self {
            base,
            base_term,
            entries,
            snapshot,
            history,
            unwritten: Index(0),
        };
        log.unwritten = log.last().next();
        log
    }

    /// Returns the position before the first entry in memory.
    pub fn base(&self) -> Index {
        self.base
    }

    /// Returns the position of the last entry.
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

    /// Returns the position of the newest membership change in memory.
    pub fn last_change(&self) -> Option<Index> {
        self.history.last_change()
    }

    /// Returns the term of an entry, unless it is compacted or does not exist.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entries from `from` to `to`, both inclusive, up to about `bytes` bytes but at
    /// least one.
    pub fn slice(&self, from: Index, to: Index, bytes: usize) -> Vec<Entry> {
        let Some(start) = self.place(from) else {
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

    /// Returns the newest position at or before `index` whose term is at most `term`.
    ///
    /// Both sides skip whole terms with it when their logs disagree, so that finding the point of
    /// agreement takes one message per term instead of one per entry. A position before the first
    /// entry in memory stands for a disagreement that only a snapshot settles.
    pub fn candidate(&self, index: Index, term: Term) -> Index {
        let mut index = index.min(self.last());
        while index > Index(0) && self.term(index).is_some_and(|t| t > term) {
            index = index.prev();
        }
        index
    }

    /// Adds an entry at the end.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().next());
        self.history.append(&entry);
        self.entries.push_back(entry);
    }

    /// Adds entries of a leader and replaces those that conflict.
    ///
    /// Entries that are already there are kept, because an older message may arrive late and must
    /// not remove what followed it.
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

    /// Returns the entries that have not been written yet, and counts them as written.
    pub fn take_unwritten(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.unwritten, self.last(), usize::MAX);
        self.unwritten = self.last().next();
        entries
    }

    /// Replaces entries by a snapshot of the state after `index`; `retain` entries before it stay
    /// in memory for followers that are a little behind.
    ///
    /// Returns the snapshot, or `None` when there is already a newer one.
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

    /// Replaces the whole log by a snapshot.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.history = MemberHistory::new(snapshot.members.clone());
        self.unwritten = snapshot.index.next();
        self.snapshot = Some(snapshot);
    }

    fn place(&self, index: Index) -> Option<usize> {
        let place = index.0.checked_sub(self.base.0 + 1)?;
        Some(place as usize)
    }

    fn entry(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.place(index)?)
    }

    fn truncate(&mut self, index: Index) {
        if let Some(place) = self.place(index) {
            self.entries.truncate(place);
            self.history.truncate(index);
            self.unwritten = self.unwritten.min(index);
        }
    }
}
