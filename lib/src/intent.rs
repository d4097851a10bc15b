//! Replicated records of non-idempotent calls, which ensure that each call runs at most once.
//!
//! The call with the first committed intent for a workspace and idempotency key runs. Every later
//! one gets the stored outcome, or the reply that the outcome is unknown. See section 7 of
//! `docs/design.md`.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::code::ResultCode;
use crate::command::Incarnation;
use crate::command::IntentEnd;
use crate::command::IntentKey;
use crate::command::IntentRelease;
use crate::command::IntentStart;
use crate::command::Outcome;
use crate::command::Reply;
use crate::command::Timestamp;
use crate::ids::RequestId;
use crate::ids::WorkspaceId;

/// Largest response body that is stored with an outcome, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// Largest total size of stored bodies, in bytes; beyond it the oldest bodies are dropped.
pub const MAX_STORED_TOTAL_BYTES: usize = 16 << 20;

/// Largest number of records including tombstones; beyond it new calls are refused as not run.
///
/// A tombstone is never dropped early, because a late resend of its call would then run again.
pub const MAX_RECORDS: usize = 1_000_000;

/// Largest number of calls of all workspaces within [`OUTCOME_RETENTION_MS`].
///
/// The record of a call takes about 300 bytes.
pub const MAX_LIVE_RECORDS: usize = 200_000;

/// Largest number of calls of one workspace within [`OUTCOME_RETENTION_MS`].
///
/// It keeps one workspace from using up the records of all.
pub const MAX_LIVE_PER_WORKSPACE: u32 = 50_000;

/// Largest number of live records, and of tombstones, that one command expires.
///
/// A record whose expiry is delayed is still answered as before, which is safe: nothing runs.
pub const MAX_EXPIRED_PER_COMMAND: usize = 10_000;

/// Number by which stale queue entries must outnumber the others before the queue is compacted.
const MIN_COMPACT_ENTRIES: usize = 1_024;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Longest stored content type, in bytes; a longer one is stored as `application/octet-stream`.
const MAX_CONTENT_TYPE_BYTES: usize = 255;

/// Time for which an outcome is kept, in milliseconds from the start of the call.
pub const OUTCOME_RETENTION_MS: u64 = 24 * 3_600_000;

/// Time for which a tombstone is kept, in milliseconds from the start of the call.
pub const TOMBSTONE_RETENTION_MS: u64 = 7 * OUTCOME_RETENTION_MS;

/// Key of a record: the first half of the SHA-256 of workspace and idempotency key.
///
/// It has a fixed size however long the idempotency key is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct IntentId([u8; 16]);

impl IntentId {
    fn new(key: &IntentKey) -> Self {
        let workspace = key.workspace.as_str().as_bytes();
        let digest: [u8; 32] = Sha256::new()
            .chain_update((workspace.len() as u64).to_le_bytes())
            .chain_update(workspace)
            .chain_update(key.key.as_bytes())
            .finalize()
            .into();
        Self(digest[..16].try_into().expect("sixteen bytes"))
    }
}

/// A call whose record has not become a tombstone yet.
///
/// The outcome is `None` until it is recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Live {
    workspace: WorkspaceId,
    instance: Incarnation,
    attempt: RequestId,
    outcome: Option<Outcome>,
}

/// The state of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Status {
    Live(Box<Live>),
    /// A tombstone of a call that ran.
    Ran,
    /// A tombstone of a call that may have run.
    Unknown,
}

/// A call that was granted, identified by the fingerprint of its request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    fingerprint: u64,
    started: Timestamp,
    status: Status,
}

/// An entry of an expiry queue.
///
/// It is stale if its record was released, or has another start because the key was used again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct ExpiryEntry {
    started: Timestamp,
    id: IntentId,
}

/// The records of all non-idempotent calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Intents {
    records: BTreeMap<IntentId, Record>,
    /// Expiry queue of live records, ordered by start.
    live: VecDeque<ExpiryEntry>,
    /// Expiry queue of tombstones, ordered by start.
    tombstones: VecDeque<ExpiryEntry>,
    /// Records with a stored body, ordered by the end of their calls.
    stored: VecDeque<IntentId>,
    body_bytes: usize,
    /// Number of live records of each workspace.
    live_per_workspace: BTreeMap<WorkspaceId, u32>,
}

impl Intents {
    /// Returns the number of records including tombstones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the total size of all stored bodies in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Grants a call and records its start, or replies with what is known of an earlier one.
    pub fn begin(&mut self, now: Timestamp, start: &IntentStart) -> Reply {
        if start.key.key.len() > MAX_KEY_BYTES {
            return refused(ResultCode::BadRequest, "the idempotency key is too long");
        }
        let id = IntentId::new(&start.key);
        if let Some(record) = self.records.get(&id) {
            return record.answer(start);
        }
        if self.records.len() >= MAX_RECORDS || self.live_count() >= MAX_LIVE_RECORDS {
            return refused(ResultCode::ControlUnavailable, "too many intents");
        }
        let count = self.live_per_workspace.entry(start.key.workspace.clone());
        let count = count.or_default();
        if *count >= MAX_LIVE_PER_WORKSPACE {
            return refused(ResultCode::RequestLimit, "too many non-idempotent calls");
        }
        *count += 1;
        let live = Live {
            workspace: start.key.workspace.clone(),
            instance: start.entry.clone(),
            attempt: start.attempt,
            outcome: None,
        };
        let record = Record {
            fingerprint: start.fingerprint,
            started: now,
            status: Status::Live(Box::new(live)),
        };
        self.records.insert(id, record);
        self.live.push_back(ExpiryEntry { started: now, id });
        Reply::IntentGranted
    }

    /// Records the outcome of a call; a later outcome of the same call is ignored.
    pub fn finish(&mut self, end: &IntentEnd) -> Reply {
        let id = IntentId::new(&end.key);
        let Some(live) = self.find_owned(id, &end.entry, end.attempt) else {
            return refused(ResultCode::BadRequest, "the intent is not open here");
        };
        if live.outcome.is_some() {
            return Reply::Done;
        }
        let outcome = storable(&end.outcome);
        let size = body_size(&outcome);
        live.outcome = Some(outcome);
        if size > 0 {
            self.body_bytes += size;
            self.stored.push_back(id);
            self.evict_bodies();
        }
        Reply::Done
    }

    /// Removes the open intent of a call of which no byte was sent.
    pub fn release(&mut self, release: &IntentRelease) -> Reply {
        let id = IntentId::new(&release.key);
        let open = self
            .find_owned(id, &release.entry, release.attempt)
            .is_some_and(|live| live.outcome.is_none());
        if open {
            self.records.remove(&id);
            self.decrement_live(&release.key.workspace);
            self.compact();
        }
        Reply::Done
    }

    fn live_count(&self) -> usize {
        self.records.len() - self.tombstones.len()
    }

    /// Removes the stale entries of the queue of live records once they clearly outnumber the others.
    fn compact(&mut self) {
        if self.live.len() < 2 * self.live_count() + MIN_COMPACT_ENTRIES {
            return;
        }
        let records = &self.records;
        self.live.retain(|entry| {
            let record = records.get(&entry.id);
            record.is_some_and(|r| r.started == entry.started)
        });
    }

    /// Counts one live record less for a workspace.
    fn decrement_live(&mut self, workspace: &WorkspaceId) {
        if let Some(count) = self.live_per_workspace.get_mut(workspace) {
            *count -= 1;
            if *count == 0 {
                self.live_per_workspace.remove(workspace);
            }
        }
    }

    /// Returns the live record with this id if the given attempt of the instance holds it.
    fn find_owned(
        &mut self,
        id: IntentId,
        instance: &Incarnation,
        attempt: RequestId,
    ) -> Option<&mut Live> {
        match &mut self.records.get_mut(&id)?.status {
            Status::Live(live) if live.instance == *instance && live.attempt == attempt => {
                Some(live)
            }
            _ => None,
        }
    }

    /// Drops the oldest bodies until their total size is within [`MAX_STORED_TOTAL_BYTES`].
    fn evict_bodies(&mut self) {
        while self.body_bytes > MAX_STORED_TOTAL_BYTES {
            let Some(id) = self.stored.pop_front() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&id) {
                self.body_bytes -= record.drop_body();
            }
        }
    }

    /// Turns old records into tombstones and removes old tombstones.
    pub fn expire(&mut self, now: Timestamp) {
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            let Some(entry) = pop_expired(&mut self.live, now, OUTCOME_RETENTION_MS) else {
                break;
            };
            self.make_tombstone(entry);
        }
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            let Some(entry) = pop_expired(&mut self.tombstones, now, TOMBSTONE_RETENTION_MS) else {
                break;
            };
            self.records.remove(&entry.id);
        }
        while self.stored.front().is_some_and(|id| !self.has_body(id)) {
            self.stored.pop_front();
        }
    }

    fn has_body(&self, id: &IntentId) -> bool {
        self.records.get(id).is_some_and(|r| r.body_size() > 0)
    }

    /// Turns the record of a queue entry into a tombstone, unless the entry is stale.
    fn make_tombstone(&mut self, entry: ExpiryEntry) {
        let Some(record) = self.records.get_mut(&entry.id) else {
            return;
        };
        // The key was released and used again; the new call has a queue entry of its own.
        if record.started != entry.started {
            return;
        }
        self.body_bytes -= record.drop_body();
        let Status::Live(live) = &record.status else {
            return;
        };
        let workspace = live.workspace.clone();
        let ran = matches!(live.outcome, Some(Outcome::Answered { .. }));
        record.status = if ran { Status::Ran } else { Status::Unknown };
        self.decrement_live(&workspace);
        self.tombstones.push_back(entry);
    }
}

impl Record {
    /// Returns the reply to a call whose key already has this record.
    fn answer(&self, start: &IntentStart) -> Reply {
        if self.fingerprint != start.fingerprint {
            return refused(ResultCode::IdempotencyKeyReused, "");
        }
        let live = match &self.status {
            Status::Live(live) => live,
            Status::Ran => return refused(ResultCode::OutcomeNotStored, ""),
            Status::Unknown => return Reply::IntentUnknown,
        };
        match &live.outcome {
            // The same request submits again because the reply to its first submission was lost.
            None if live.instance == start.entry && live.attempt == start.attempt => {
                Reply::IntentGranted
            }
            None | Some(Outcome::Unknown) => Reply::IntentUnknown,
            Some(Outcome::Answered { body: None, .. }) => refused(ResultCode::OutcomeNotStored, ""),
            Some(outcome) => Reply::IntentDone(outcome.clone()),
        }
    }

    fn body_size(&self) -> usize {
        match &self.status {
            Status::Live(live) => live.outcome.as_ref().map_or(0, body_size),
            Status::Ran | Status::Unknown => 0,
        }
    }

    /// Drops the stored body and returns its size in bytes.
    fn drop_body(&mut self) -> usize {
        let size = self.body_size();
        if let Status::Live(live) = &mut self.status
            && let Some(Outcome::Answered { body, .. }) = &mut live.outcome
        {
            *body = None;
        }
        size
    }
}

/// Removes and returns the first entry if it started at least `age` milliseconds ago.
fn pop_expired(queue: &mut VecDeque<ExpiryEntry>, now: Timestamp, age: u64) -> Option<ExpiryEntry> {
    let is_due = queue.front()?.started.0.saturating_add(age) <= now.0;
    if is_due { queue.pop_front() } else { None }
}

/// Returns the outcome without what exceeds the limits of storage.
fn storable(outcome: &Outcome) -> Outcome {
    let mut outcome = outcome.clone();
    if let Outcome::Answered { kind, body, .. } = &mut outcome {
        if kind.len() > MAX_CONTENT_TYPE_BYTES {
            "application/octet-stream".clone_into(kind);
        }
        if body
            .as_ref()
            .is_some_and(|b| b.len() > MAX_STORED_BODY_BYTES)
        {
            *body = None;
        }
    }
    outcome
}

fn body_size(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered {
            body: Some(body), ..
        } => body.len(),
        _ => 0,
    }
}

fn refused(code: ResultCode, message: &str) -> Reply {
    let message = message.to_owned();
    Reply::Refused { code, message }
}
