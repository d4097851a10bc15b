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

use crate::dialect::ListedEndpoint;
use crate::ids::EndpointId;

/// Age from which a shared list is not used: two missed readings of the leader.
const FRESH: Duration = Duration::from_millis(2_500);

/// Endpoints that are gone and remembered, for instances that have not heard; beyond it they get the
/// whole list.
const MAX_GONE: usize = 256;

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
pub struct ListNews {
    /// State of the list after it.
    pub revision: ListRevision,
    /// Time since the list was read.
    pub age: Duration,
    /// Whether it is the whole list.
    pub whole: bool,
    /// Endpoints that are new or changed.
    pub changed: Vec<ListedEndpoint>,
    /// Endpoints that are not on the list any more.
    pub gone: Vec<EndpointId>,
}

/// The list at the process that reads it.
#[derive(Debug, Default)]
pub struct ListBoard {
    revision: ListRevision,
    read: Option<Instant>,
    /// Endpoints with the number of their last change.
    entries: BTreeMap<EndpointId, (u64, ListedEndpoint)>,
    gone: BTreeMap<EndpointId, u64>,
    /// Changes up to this number are not remembered one by one.
    floor: u64,
    /// State of the own copy that this list was taken over from, if it was.
    relayed: Option<ListRevision>,
}

impl ListBoard {
    /// Takes in a list that was read now; `epoch` names this process.
    pub fn install(&mut self, now: Instant, epoch: u64, list: &[ListedEndpoint]) {
        let number = self.revision.number + 1;
        let mut changed = false;
        for listed in list {
            if self.entries.get(&listed.id).map(|(_, held)| held) != Some(listed) {
                self.entries
                    .insert(listed.id.clone(), (number, listed.clone()));
                self.gone.remove(&listed.id);
                changed = true;
            }
        }
        let known: std::collections::HashSet<_> = list.iter().map(|listed| &listed.id).collect();
        let gone = self.entries.keys().filter(|id| !known.contains(id));
        let gone: Vec<EndpointId> = gone.cloned().collect();
        for id in gone {
            self.entries.remove(&id);
            self.gone.insert(id, number);
            changed = true;
        }
        if self.gone.len() > MAX_GONE {
            self.gone.clear();
            self.floor = number;
        }
        self.read = Some(now);
        self.relayed = None;
        self.revision.epoch = epoch;
        if changed {
            self.revision.number = number;
        }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        let age = self.read.map(|read| now.saturating_duration_since(read));
        age.is_some_and(|age| age < FRESH)
    }

    /// Returns what a copy lacks, unless this list is too old itself.
    pub fn news(&self, now: Instant, held: ListRevision) -> Option<ListNews> {
        let age = now.saturating_duration_since(self.read?);
        if age >= FRESH {
            return None;
        }
        let whole = held.epoch != self.revision.epoch || held.number < self.floor;
        let since = if whole { 0 } else { held.number };
        let changed = self.entries.values().filter(|(at, _)| *at > since);
        let gone = self.gone.iter().filter(|(_, at)| !whole && **at > since);
        Some(ListNews {
            revision: self.revision,
            age,
            whole,
            changed: changed.map(|(_, listed)| listed.clone()).collect(),
            gone: gone.map(|(id, _)| id.clone()).collect(),
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
}

/// The list between the threads of an instance: what it read itself and what it was told.
#[derive(Debug, Default)]
pub struct SharedList {
    board: Mutex<ListBoard>,
    copy: Mutex<ListCopy>,
}

impl SharedList {
    /// Takes in a list that this instance read now, to tell others.
    pub fn publish(&self, now: Instant, epoch: u64, list: &[ListedEndpoint]) {
        let mut board = self.board.lock().expect("list lock poisoned");
        board.install(now, epoch, list);
    }

    /// Takes over the own copy, to tell others; `epoch` names this process.
    pub fn relay(&self, epoch: u64) {
        let copy = self.copy.lock().expect("list lock poisoned");
        let Some(read) = copy.read else { return };
        let mut board = self.board.lock().expect("list lock poisoned");
        if board.read.is_some_and(|held| held >= read) {
            return;
        }
        match board.relayed == Some(copy.revision) {
            true => board.read = Some(read),
            false => {
                let list: Vec<_> = copy.entries.values().cloned().collect();
                board.install(read, epoch, &list);
                board.relayed = Some(copy.revision);
            }
        }
    }

    /// Returns the state of the list that others are told.
    pub fn revision(&self) -> ListRevision {
        self.board.lock().expect("list lock poisoned").revision
    }

    /// Tells whether another instance lacks something of a list that is not too old.
    pub fn has_news(&self, now: Instant, held: ListRevision) -> bool {
        let board = self.board.lock().expect("list lock poisoned");
        board.revision != held && board.is_fresh(now)
    }

    /// Returns what another instance lacks.
    pub fn news(&self, now: Instant, held: ListRevision) -> Option<ListNews> {
        let board = self.board.lock().expect("list lock poisoned");
        board.news(now, held)
    }

    /// Returns the state of the own copy.
    pub fn held(&self) -> ListRevision {
        self.copy.lock().expect("list lock poisoned").revision
    }

    /// Takes in news that were asked for at `asked`.
    pub fn learn(&self, asked: Instant, news: ListNews) {
        let mut copy = self.copy.lock().expect("list lock poisoned");
        if news.whole {
            copy.entries.clear();
        } else if copy.revision.epoch != news.revision.epoch {
            tracing::debug!("changes of another list than the held one");
            return;
        }
        for listed in news.changed {
            copy.entries.insert(listed.id.clone(), listed);
        }
        for id in news.gone {
            copy.entries.remove(&id);
        }
        copy.revision = news.revision;
        copy.read = asked.checked_sub(news.age).or(Some(asked));
    }

    /// Returns the own copy and when it was read, unless it is too old.
    pub fn fresh(&self, now: Instant) -> Option<(Instant, ListRevision, Vec<ListedEndpoint>)> {
        let copy = self.copy.lock().expect("list lock poisoned");
        let read = copy.read?;
        let is_fresh = now.saturating_duration_since(read) < FRESH;
        is_fresh.then(|| {
            (
                read,
                copy.revision,
                copy.entries.values().cloned().collect(),
            )
        })
    }
}
