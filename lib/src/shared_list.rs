//! The platform's list of endpoints, read by the leader and shared with all instances.
//!
//! The platform accepts few calls a second from all instances together, so most instances get the list
//! with their polls, as changes since the revision that they hold. An instance whose shared list is too
//! old reads the platform's itself ([`crate::discovery`]).

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::affinity;
use crate::dialect::ListedEndpoint;
use crate::ids::EndpointId;

/// Age from which a shared list is not used: two missed readings of the leader.
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Time added to that for each endpoint, since the leader reads a long list page by page, at the rate that
/// the platform accepts: 50 endpoints in a page, 30 pages a second.
const MAX_AGE_PER_ENDPOINT: Duration = Duration::from_micros(700);

/// Endpoints that are gone and remembered, for instances that have not heard; beyond it and beyond the
/// length of the list they get the whole list.
const MAX_REMOVED: usize = 256;

/// Changes in a message, beyond which the rest follows with the next poll: about 20 KB, which the link of a
/// small instance carries in a fraction of a poll's time.
const MAX_CHANGES_PER_MESSAGE: usize = 256;

/// Changed endpoints that share a number, so that a long list can be told in parts.
const CHANGES_PER_NUMBER: usize = 64;

/// Returns the age from which a list of this length is not used.
fn max_age(length: usize) -> Duration {
    MAX_AGE + MAX_AGE_PER_ENDPOINT * u32::try_from(length).unwrap_or(u32::MAX)
}

/// State of a copy of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRevision {
    /// Names the process that numbered it; 0 for a copy that holds nothing.
    pub epoch: u64,
    /// Number of changes.
    pub number: u64,
}

/// What brings a copy of the list up to date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta {
    /// State of the copy that it brings up to date.
    pub since: ListRevision,
    /// State of the list after it.
    pub revision: ListRevision,
    /// Time since the list was read.
    pub age: Duration,
    /// Whether it is the whole list.
    pub is_full: bool,
    /// Whether more changes follow with the next poll.
    pub has_more: bool,
    /// Endpoints that are new or changed.
    pub changed: Vec<ListedEndpoint>,
    /// Endpoints that are not on the list any more.
    pub removed: Vec<EndpointId>,
}

/// The list at the process that reads it.
#[derive(Debug, Default)]
pub struct PublishedList {
    revision: ListRevision,
    read: Option<Instant>,
    /// Endpoints with the number of their last change.
    entries: BTreeMap<EndpointId, (u64, ListedEndpoint)>,
    removed: BTreeMap<EndpointId, u64>,
    /// Changes up to this number are not remembered one by one.
    compacted_to: u64,
    /// State of another process's list that this one goes on from with the same numbers.
    previous: Option<ListRevision>,
    /// Whether the newest state was read here rather than told by another process.
    is_reader: bool,
    /// How often this process began to read.
    reader_terms: u64,
}

impl PublishedList {
    /// Takes in a list that was read now; `epoch` names this process.
    pub fn replace(&mut self, now: Instant, epoch: u64, list: &[ListedEndpoint]) {
        self.merge_page(epoch, list);
        let number = self.revision.number + 1;
        let mut changed = false;
        let known: std::collections::HashSet<_> = list.iter().map(|listed| &listed.id).collect();
        let removed = self.entries.keys().filter(|id| !known.contains(id));
        let removed: Vec<EndpointId> = removed.cloned().collect();
        for id in removed {
            self.entries.remove(&id);
            self.removed.insert(id, number);
            changed = true;
        }
        if changed {
            self.revision.number = number;
        }
        self.trim_removed();
        self.read = Some(now);
    }

    /// Takes in a page of a list that is being read, so that its changes are told at once.
    pub fn merge_page(&mut self, epoch: u64, page: &[ListedEndpoint]) {
        if !std::mem::replace(&mut self.is_reader, true) {
            self.previous = Some(self.revision).filter(|held| held.epoch != 0);
            // The numbers of an earlier turn may be taken by other states.
            self.revision.epoch = match self.reader_terms {
                0 => epoch,
                term => affinity::mix(epoch, term),
            };
            self.reader_terms += 1;
        }
        let held = |listed: &&ListedEndpoint| {
            self.entries.get(&listed.id).map(|(_, held)| held) == Some(*listed)
        };
        let changed: Vec<_> = page.iter().filter(|listed| !held(listed)).collect();
        for part in changed.chunks(CHANGES_PER_NUMBER) {
            self.revision.number += 1;
            for listed in part {
                let entry = (self.revision.number, (*listed).clone());
                self.entries.insert(listed.id.clone(), entry);
                self.removed.remove(&listed.id);
            }
        }
    }

    /// Takes in what another process told of its list, whose numbers are kept, so that copies may move
    /// between processes that tell the same list.
    pub fn apply(&mut self, read: Option<Instant>, delta: &ListDelta) {
        let number = delta.revision.number;
        self.is_reader = false;
        if delta.is_full || delta.since != self.revision {
            self.entries.clear();
            self.removed.clear();
            (self.compacted_to, self.previous) = (number, None);
        } else if delta.revision.epoch != self.revision.epoch {
            self.previous = Some(self.revision);
        }
        for listed in &delta.changed {
            self.removed.remove(&listed.id);
            let entry = (number, listed.clone());
            self.entries.insert(listed.id.clone(), entry);
        }
        for id in &delta.removed {
            self.entries.remove(id);
            self.removed.insert(id.clone(), number);
        }
        self.revision = delta.revision;
        self.trim_removed();
        self.read = match delta.has_more {
            // A part is not told on, and does not make the rest newer.
            true => self.read.filter(|_| !delta.is_full),
            false => read,
        };
    }

    fn trim_removed(&mut self) {
        if self.removed.len() > MAX_REMOVED.max(self.entries.len()) {
            self.removed.clear();
            self.compacted_to = self.revision.number;
        }
    }

    /// Tells whether changes since this state are known one by one.
    fn covers(&self, held: ListRevision) -> bool {
        let is_previous = self
            .previous
            .is_some_and(|previous| held.epoch == previous.epoch && held.number <= previous.number);
        let is_same = held.epoch == self.revision.epoch;
        (is_same || is_previous) && held.number >= self.compacted_to
    }

    fn is_fresh(&self, now: Instant) -> bool {
        let age = self.read.map(|read| now.saturating_duration_since(read));
        age.is_some_and(|age| age < max_age(self.entries.len()))
    }

    /// Returns what a copy lacks, unless this list is too old itself or behind the copy.
    pub fn delta(&self, now: Instant, held: ListRevision) -> Option<ListDelta> {
        let age = now.saturating_duration_since(self.read?);
        let is_ahead = held.epoch == self.revision.epoch && held.number > self.revision.number;
        if !self.is_fresh(now) || is_ahead {
            return None;
        }
        let is_full = !self.covers(held);
        let since = if is_full { 0 } else { held.number };
        let mut numbers: Vec<_> = self.entries.values().map(|(at, _)| *at).collect();
        numbers.retain(|at| *at > since);
        let mut end = self.revision.number;
        if numbers.len() > MAX_CHANGES_PER_MESSAGE {
            let (_, last, _) = numbers.select_nth_unstable(MAX_CHANGES_PER_MESSAGE - 1);
            end = *last;
        }
        let sent = since + 1..=end;
        let changed = self.entries.values().filter(|(at, _)| sent.contains(at));
        let removed = self
            .removed
            .iter()
            .filter(|(_, at)| !is_full && sent.contains(at));
        Some(ListDelta {
            since: held,
            revision: ListRevision {
                epoch: self.revision.epoch,
                number: end,
            },
            age,
            is_full,
            has_more: end < self.revision.number,
            changed: changed.map(|(_, listed)| listed.clone()).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
        })
    }
}

/// A copy of the list at an instance.
#[derive(Debug, Default)]
struct ListCopy {
    revision: ListRevision,
    /// When the list was read.
    read: Option<Instant>,
    entries: BTreeMap<EndpointId, ListedEndpoint>,
    /// A new list of which parts are still missing.
    next: Option<BTreeMap<EndpointId, ListedEndpoint>>,
}

/// The list between the threads of an instance: what it read itself and what it was told.
#[derive(Debug, Default)]
pub struct SharedList {
    published: Mutex<PublishedList>,
    copy: Mutex<ListCopy>,
}

impl SharedList {
    /// Takes in a list that this instance read now, to tell others.
    pub fn publish(&self, now: Instant, epoch: u64, list: &[ListedEndpoint]) {
        let mut published = self.published.lock().expect("list lock poisoned");
        published.replace(now, epoch, list);
    }

    /// Takes in a page of the list that this instance is reading, to tell others.
    pub fn publish_page(&self, epoch: u64, page: &[ListedEndpoint]) {
        let mut published = self.published.lock().expect("list lock poisoned");
        published.merge_page(epoch, page);
    }

    /// Takes in news that were asked for at `asked`, to tell others; those that follow another state
    /// than the held one are passed over.
    pub fn relay(&self, asked: Instant, delta: &ListDelta) {
        let mut published = self.published.lock().expect("list lock poisoned");
        if delta.is_full || delta.since == published.revision {
            published.apply(asked.checked_sub(delta.age).or(Some(asked)), delta);
        }
    }

    /// Returns the state of the list that others are told.
    pub fn revision(&self) -> ListRevision {
        self.published.lock().expect("list lock poisoned").revision
    }

    /// Tells whether another instance lacks something of a list that is not too old.
    pub fn has_delta(&self, now: Instant, held: ListRevision) -> bool {
        let published = self.published.lock().expect("list lock poisoned");
        let is_ahead =
            published.revision.epoch == held.epoch && published.revision.number < held.number;
        published.revision != held && !is_ahead && published.is_fresh(now)
    }

    /// Returns what another instance lacks.
    pub fn delta(&self, now: Instant, held: ListRevision) -> Option<ListDelta> {
        let published = self.published.lock().expect("list lock poisoned");
        published.delta(now, held)
    }

    /// Returns the state of the own copy.
    pub fn copy_revision(&self) -> ListRevision {
        self.copy.lock().expect("list lock poisoned").revision
    }

    /// Takes in news that were asked for at `asked`.
    pub fn apply(&self, asked: Instant, delta: ListDelta) {
        let mut copy = self.copy.lock().expect("list lock poisoned");
        if delta.is_full {
            copy.next = Some(BTreeMap::new());
        } else if copy.revision != delta.since {
            tracing::debug!("changes of another list than the held one");
            return;
        }
        let copy = &mut *copy;
        copy.revision = delta.revision;
        let list = copy.next.as_mut().unwrap_or(&mut copy.entries);
        for listed in delta.changed {
            list.insert(listed.id.clone(), listed);
        }
        for id in delta.removed {
            list.remove(&id);
        }
        if !delta.has_more {
            if let Some(next) = copy.next.take() {
                copy.entries = next;
            }
            copy.read = asked.checked_sub(delta.age).or(Some(asked));
        }
    }

    /// Returns the own copy and when it was read, unless it is too old.
    pub fn fresh(&self, now: Instant) -> Option<(Instant, ListRevision, Vec<ListedEndpoint>)> {
        let copy = self.copy.lock().expect("list lock poisoned");
        let read = copy.read?;
        let limit = max_age(copy.entries.len());
        let is_fresh = now.saturating_duration_since(read) < limit;
        is_fresh.then(|| {
            (
                read,
                copy.revision,
                copy.entries.values().cloned().collect(),
            )
        })
    }
}
