//! The platform's list of endpoints, read by the leader and shared with all instances.
//!
//! The platform limits the rate of calls of all instances together, so most instances receive the list in
//! responses to their polls, as changes since the revision that they hold. An instance whose shared list
//! is too old reads the list of the platform itself ([`crate::discovery`]).

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::affinity;
use crate::dialect::ListedEndpoint;
use crate::ids::EndpointId;
use crate::supervision;

/// Maximum age of a short shared list, reached when the leader misses two reads.
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Maximum age added per endpoint, because the leader reads a long list page by page at the rate that the
/// platform accepts: 50 endpoints per page, 30 pages per second.
const MAX_AGE_PER_ENDPOINT: Duration = Duration::from_micros(700);

/// Maximum number of removed endpoints that are kept for deltas, unless the list itself is longer. Beyond
/// that, copies with an older revision receive the full list.
const MAX_REMOVED: usize = 256;

/// Number of changes from which the rest of a delta follows with the next poll. They take about 20 KB,
/// which even a slow network link transmits in a fraction of the poll interval.
const MAX_CHANGES_PER_MESSAGE: usize = 256;

/// Maximum number of changed endpoints with the same revision number, so that a long list can be sent in
/// parts.
const CHANGES_PER_NUMBER: usize = 64;

/// Returns the age from which a list with `length` endpoints is not used.
fn max_age(length: usize) -> Duration {
    MAX_AGE + MAX_AGE_PER_ENDPOINT * u32::try_from(length).unwrap_or(u32::MAX)
}

/// Revision of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRevision {
    /// Identifies the process that assigned the number; 0 for a copy without a list.
    pub epoch: u64,
    /// Number of the latest change.
    pub number: u64,
}

/// Changes that bring a copy of the list up to date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Revision of the copy that the changes apply to.
    pub since: ListRevision,
    /// Revision of the copy after the changes.
    pub revision: ListRevision,
    /// Time since the list was read from the platform.
    pub age: Duration,
    /// Whether the delta starts a full list, which replaces the copy.
    pub is_full: bool,
    /// Whether further changes follow with the next poll.
    pub has_more: bool,
    /// New and changed endpoints.
    pub changed: Vec<ListedEndpoint>,
    /// Endpoints that are no longer on the list.
    pub removed: Vec<EndpointId>,
}

/// The list that a process sends to others: one that it reads from the platform, or one that it relays.
#[derive(Debug, Default)]
pub struct PublishedList {
    revision: ListRevision,
    /// When the list was read; `None` until a complete list is known.
    read_at: Option<Instant>,
    /// Endpoints with the number of their last change.
    entries: BTreeMap<EndpointId, (u64, ListedEndpoint)>,
    /// Removed endpoints with the number of their removal.
    removed: BTreeMap<EndpointId, u64>,
    /// Number up to which removals are not kept, so that no delta can start before it.
    compacted_to: u64,
    /// Revision of the list of another process that this list continues without renumbering.
    previous: Option<ListRevision>,
    /// Whether this process read the latest revision from the platform itself, rather than receiving it
    /// from another process.
    is_reader: bool,
    /// Number of times that this process became the reader.
    reader_terms: u64,
}

impl PublishedList {
    /// Replaces the list by one that was read at `now`; `epoch` identifies this process.
    pub fn replace(&mut self, now: Instant, epoch: u64, list: &[ListedEndpoint]) {
        self.merge_page(epoch, list);
        let number = self.revision.number.saturating_add(1);
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
        self.read_at = Some(now);
    }

    /// Merges a page of a list that is still being read, so that its changes are sent without delay.
    pub fn merge_page(&mut self, epoch: u64, page: &[ListedEndpoint]) {
        if !std::mem::replace(&mut self.is_reader, true) {
            self.previous = Some(self.revision).filter(|held| held.epoch != 0);
            // Numbers that this process assigned as an earlier reader may denote other states elsewhere.
            self.revision.epoch = match self.reader_terms {
                0 => epoch,
                term => affinity::mix(epoch, term),
            };
            self.reader_terms += 1;
        }
        let is_unchanged = |listed: &&ListedEndpoint| {
            self.entries.get(&listed.id).map(|(_, held)| held) == Some(*listed)
        };
        let changed: Vec<_> = page.iter().filter(|listed| !is_unchanged(listed)).collect();
        for part in changed.chunks(CHANGES_PER_NUMBER) {
            self.revision.number = self.revision.number.saturating_add(1);
            for listed in part {
                let entry = (self.revision.number, (*listed).clone());
                self.entries.insert(listed.id.clone(), entry);
                self.removed.remove(&listed.id);
            }
        }
    }

    /// Applies changes of another process's list. The revision numbers are kept, so that a copy can switch
    /// between processes that relay the same list.
    pub fn apply(&mut self, read_at: Option<Instant>, delta: &ListDelta) {
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
        self.read_at = match delta.has_more {
            // An incomplete full list is not sent to others, and a part of a delta does not make the rest of
            // the list newer.
            true => self.read_at.filter(|_| !delta.is_full),
            false => read_at,
        };
    }

    /// Discards the removed endpoints if there are too many.
    fn trim_removed(&mut self) {
        if self.removed.len() > MAX_REMOVED.max(self.entries.len()) {
            self.removed.clear();
            self.compacted_to = self.revision.number;
        }
    }

    /// Returns whether the changes since revision `held` are known.
    fn covers(&self, held: ListRevision) -> bool {
        let is_previous = self
            .previous
            .is_some_and(|previous| held.epoch == previous.epoch && held.number <= previous.number);
        let is_same = held.epoch == self.revision.epoch;
        (is_same || is_previous) && held.number >= self.compacted_to
    }

    fn is_fresh(&self, now: Instant) -> bool {
        let age = self
            .read_at
            .map(|read_at| now.saturating_duration_since(read_at));
        age.is_some_and(|age| age < max_age(self.entries.len()))
    }

    /// Returns the changes since revision `held` of a copy, or `None` if this list is too old or behind the
    /// copy.
    pub fn delta(&self, now: Instant, held: ListRevision) -> Option<ListDelta> {
        let age = now.saturating_duration_since(self.read_at?);
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
        let sent = since.saturating_add(1)..=end;
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
    /// When the list was read from the platform.
    read_at: Option<Instant>,
    entries: BTreeMap<EndpointId, ListedEndpoint>,
    /// A new full list that has not been received completely.
    pending: Option<BTreeMap<EndpointId, ListedEndpoint>>,
}

/// The list as shared by the threads of an instance: the list that it sends to others, and its own copy.
#[derive(Debug, Default)]
pub struct SharedList {
    published: Mutex<PublishedList>,
    copy: Mutex<ListCopy>,
    /// Whether the list tells which endpoints are cold.
    tells_cold: AtomicBool,
}

impl SharedList {
    /// Makes the lists that this instance reads tell which endpoints are cold. Otherwise an endpoint that turns warm
    /// is no change of the list.
    pub fn tell_cold(&self) {
        self.tells_cold.store(true, Ordering::Relaxed);
    }

    /// Returns the endpoints with what the list tells of them.
    fn told<'a>(&self, list: &'a [ListedEndpoint]) -> Cow<'a, [ListedEndpoint]> {
        if self.tells_cold.load(Ordering::Relaxed) || !list.iter().any(|listed| listed.cold) {
            return Cow::Borrowed(list);
        }
        let told = |listed: &ListedEndpoint| ListedEndpoint {
            cold: false,
            ..listed.clone()
        };
        Cow::Owned(list.iter().map(told).collect())
    }

    /// Publishes a list that this instance read from the platform at `now`.
    pub fn publish(&self, now: Instant, epoch: u64, list: &[ListedEndpoint]) {
        let mut published = supervision::lock(&self.published);
        published.replace(now, epoch, &self.told(list));
    }

    /// Publishes a page of the list that this instance is reading from the platform.
    pub fn publish_page(&self, epoch: u64, page: &[ListedEndpoint]) {
        let mut published = supervision::lock(&self.published);
        published.merge_page(epoch, &self.told(page));
    }

    /// Publishes changes that were requested from another instance at `requested_at`. Changes that do not
    /// apply to the published revision are ignored.
    pub fn relay(&self, requested_at: Instant, delta: &ListDelta) {
        let mut published = supervision::lock(&self.published);
        if delta.is_full || delta.since == published.revision {
            published.apply(
                requested_at.checked_sub(delta.age).or(Some(requested_at)),
                delta,
            );
        }
    }

    /// Returns the revision of the published list.
    pub fn revision(&self) -> ListRevision {
        supervision::lock(&self.published).revision
    }

    /// Returns whether there are changes since revision `held` and the published list is not too old.
    pub fn has_delta(&self, now: Instant, held: ListRevision) -> bool {
        let published = supervision::lock(&self.published);
        let is_ahead =
            published.revision.epoch == held.epoch && published.revision.number < held.number;
        published.revision != held && !is_ahead && published.is_fresh(now)
    }

    /// Returns the changes since revision `held`, as [`PublishedList::delta`] does.
    pub fn delta(&self, now: Instant, held: ListRevision) -> Option<ListDelta> {
        let published = supervision::lock(&self.published);
        published.delta(now, held)
    }

    /// Returns the revision of this instance's copy.
    pub fn copy_revision(&self) -> ListRevision {
        supervision::lock(&self.copy).revision
    }

    /// Applies changes that were requested at `requested_at` to this instance's copy.
    pub fn apply(&self, requested_at: Instant, delta: ListDelta) {
        let mut copy = supervision::lock(&self.copy);
        if delta.is_full {
            copy.pending = Some(BTreeMap::new());
        } else if copy.revision != delta.since {
            tracing::debug!("ignored changes of another revision of the endpoint list");
            return;
        }
        let copy = &mut *copy;
        copy.revision = delta.revision;
        let list = copy.pending.as_mut().unwrap_or(&mut copy.entries);
        for listed in delta.changed {
            list.insert(listed.id.clone(), listed);
        }
        for id in delta.removed {
            list.remove(&id);
        }
        if !delta.has_more {
            if let Some(pending) = copy.pending.take() {
                copy.entries = pending;
            }
            copy.read_at = requested_at.checked_sub(delta.age).or(Some(requested_at));
        }
    }

    /// Returns when the copy was read from the platform, its revision and its endpoints, or `None` if it is
    /// too old.
    pub fn fresh(&self, now: Instant) -> Option<(Instant, ListRevision, Vec<ListedEndpoint>)> {
        let copy = supervision::lock(&self.copy);
        let read_at = copy.read_at?;
        let limit = max_age(copy.entries.len());
        let is_fresh = now.saturating_duration_since(read_at) < limit;
        is_fresh.then(|| {
            (
                read_at,
                copy.revision,
                copy.entries.values().cloned().collect(),
            )
        })
    }
}
