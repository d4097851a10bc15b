//! Detection of requests that crash endpoints, from the crash notes of all instances.
//!
//! When an endpoint crashes, all requests in flight there are suspects, and at most one of them is the cause.
//! A request is to blame when [`CRASH_LIMIT`] endpoints crashed under it and none answered it in between. Two
//! crashes suffice unless other endpoints crashed at the same time without it, which points to another
//! cause. To be blamed, an innocent request would have to be at two endpoints that crash independently
//! within a minute, and be answered by none; a request that many callers send is answered somewhere in between.
//!
//! The decision does no I/O. It covers these load patterns (`docs/design.md`, section 6):
//!
//! * One request that is sent again at any instance under another ID: the notes of all instances add up.
//! * Many endpoints that crash at once for another reason, while requests are retried from one to the next:
//!   a request is to blame only after three such crashes, and when the records are full, requests with a
//!   single crash are evicted first, beginning with the oldest.
//! * A popular request that was at two crashing endpoints by chance: one response clears it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::crash_history::CrashHistory;
use crate::crash_history::SAME_CRASH_WINDOW;
use crate::crash_history::is_same;
use crate::crash_history::time_between;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_note::NOTE_TTL;
use crate::fingerprint::Fingerprint;

/// Number of crashes without a response in between after which a request is to blame in any case; users
/// accept at most three crashes and three retries.
pub const CRASH_LIMIT: usize = 3;

/// Number of crashes after which a request is to blame if no mass crash happened at the same time.
const ISOLATED_CRASH_LIMIT: usize = 2;

/// Number of other endpoints crashing at the same time from which a crash is part of a mass crash.
const MASS_CRASH_ENDPOINTS: usize = 2;

/// Maximum time between crashes of one mass crash; a request that is retried elsewhere runs again within it.
const MASS_CRASH_WINDOW: Duration = Duration::from_millis(500);

/// Time to wait after the newest crash for notes about other crashes, which take a probe and a few polls.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Maximum number of recorded requests, at about 100 bytes each: twice the slots of 500 engines.
pub const MAX_REQUESTS: usize = 65_536;

/// Fraction of the records that is evicted at a time, as a divisor.
const EVICTION_DIVISOR: usize = 8;

/// Maximum number of recent crashes of all endpoints: a few per minute for each engine of the largest fleet.
const MAX_RECENT_CRASHES: usize = 4_096;

/// Maximum number of crashes kept for each request.
const MAX_CRASHES_PER_REQUEST: usize = 8;

/// Time after which a verdict that is not in force is proposed again; a commit takes a few milliseconds.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(300);

/// Decision about a request, based on its crash notes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is to blame and must not be sent to endpoints.
    Quarantine {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Number of endpoints that crashed under it.
        crash_count: usize,
    },
    /// The request was answered since the crashes for which it was quarantined.
    Release {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

#[derive(Debug, Default)]
struct Record {
    history: CrashHistory,
    /// Time at which the current verdict was last proposed.
    proposed_at: Option<Instant>,
}

impl Record {
    /// Returns whether notes about crashes at the same time may still arrive.
    fn is_fresh(&self, now: Instant) -> bool {
        let last_event = self.history.last_event();
        last_event.is_some_and(|at| now.saturating_duration_since(at) < 2 * SETTLE_TIME)
    }

    /// Returns whether the request is to blame, given its own crashes and those of all endpoints.
    fn is_to_blame(&self, now: Instant, all_crashes: &[(u64, Instant)]) -> bool {
        let open_crashes = self.history.open_crashes().count();
        if open_crashes >= CRASH_LIMIT {
            return true;
        }
        if open_crashes < ISOLATED_CRASH_LIMIT {
            return false;
        }
        let own_crashes = &self.history.crashes;
        let is_settled = |at: Instant| now.saturating_duration_since(at) >= SETTLE_TIME;
        let is_own = |endpoint: u64| own_crashes.iter().any(|(own, _)| *own == endpoint);
        let is_alone = |at: Instant| {
            let others = all_crashes.iter().filter(|(endpoint, other)| {
                time_between(at, *other) < MASS_CRASH_WINDOW && !is_own(*endpoint)
            });
            others.count() < MASS_CRASH_ENDPOINTS
        };
        let mut crashes = self.history.open_crashes();
        crashes.all(|(_, at)| is_settled(at) && is_alone(at))
    }
}

/// Crash records by request.
#[derive(Debug, Default)]
pub struct CrashRecords {
    records: BTreeMap<Fingerprint, Record>,
    /// Hashes and crash times of the endpoints that crashed recently.
    crashes: Vec<(u64, Instant)>,
    /// Requests whose verdict may change.
    undecided: BTreeSet<Fingerprint>,
    /// Time at which expired records were last removed.
    last_expiry: Option<Instant>,
}

impl CrashRecords {
    /// Adds a note. A response to a request without recorded crashes is ignored.
    pub fn add(&mut self, now: Instant, note: &CrashNote) {
        self.expire(now);
        let at = now.checked_sub(note.age).unwrap_or(now);
        match note.event {
            CrashEvent::Answer => {
                if let Some(record) = self.records.get_mut(&note.fingerprint) {
                    record.history.add_answer(at);
                    self.undecided.insert(note.fingerprint);
                }
            }
            CrashEvent::Crash { endpoint } => {
                let crash = (endpoint, at);
                let is_known = self.crashes.iter().any(|known| is_same(*known, crash));
                if self.crashes.len() < MAX_RECENT_CRASHES && !is_known {
                    self.crashes.push(crash);
                }
                let record = self.records.entry(note.fingerprint).or_default();
                record.history.add_crash(crash, MAX_CRASHES_PER_REQUEST);
                if record.history.crashes.len() >= ISOLATED_CRASH_LIMIT {
                    self.undecided.insert(note.fingerprint);
                }
                self.evict();
            }
            // See `crate::part_records`.
            CrashEvent::PartCrash { .. } | CrashEvent::PartAnswer => {}
        }
    }

    /// Returns the number of endpoints that crashed under a request since its newest response.
    pub fn crash_count(&self, now: Instant, fingerprint: Fingerprint) -> usize {
        let record = self
            .records
            .get(&fingerprint)
            .filter(|r| !is_expired(now, r));
        record.map_or(0, |record| record.history.open_crashes().count())
    }

    /// Returns the verdicts that are not in force yet; `is_quarantined` returns whether a request is
    /// quarantined now.
    ///
    /// A verdict is returned again if it is not in force after [`PROPOSAL_INTERVAL`].
    pub fn verdicts(
        &mut self,
        now: Instant,
        is_quarantined: impl Fn(Fingerprint) -> bool,
    ) -> Vec<Verdict> {
        let mut due = Vec::new();
        self.undecided.retain(|fingerprint| {
            let Some(record) = self
                .records
                .get_mut(fingerprint)
                .filter(|r| !is_expired(now, r))
            else {
                return false;
            };
            let crash_count = record.history.open_crashes().count();
            let verdict = match (
                record.is_to_blame(now, &self.crashes),
                is_quarantined(*fingerprint),
            ) {
                (true, false) => Verdict::Quarantine {
                    fingerprint: *fingerprint,
                    crash_count,
                },
                (false, true) if crash_count < ISOLATED_CRASH_LIMIT => Verdict::Release {
                    fingerprint: *fingerprint,
                },
                // Notes about other crashes may still arrive.
                (false, false) if crash_count >= ISOLATED_CRASH_LIMIT && record.is_fresh(now) => {
                    return true;
                }
                _ => {
                    record.proposed_at = None;
                    return false;
                }
            };
            let is_waiting = |at: Instant| now.saturating_duration_since(at) < PROPOSAL_INTERVAL;
            if !record.proposed_at.is_some_and(is_waiting) {
                record.proposed_at = Some(now);
                due.push(verdict);
            }
            true
        });
        due
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records, at most once per [`SAME_CRASH_WINDOW`].
    fn expire(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SAME_CRASH_WINDOW;
        if self.last_expiry.is_none_or(is_due) {
            self.last_expiry = Some(now);
            self.records.retain(|_, record| !is_expired(now, record));
            let is_recent = |at: Instant| now.saturating_duration_since(at) < NOTE_TTL;
            self.crashes.retain(|(_, at)| is_recent(*at));
        }
    }

    /// Evicts requests when there are too many, those with a single crash and the oldest first.
    fn evict(&mut self) {
        if self.records.len() <= MAX_REQUESTS {
            return;
        }
        let mut order: Vec<_> = self.records.iter().collect();
        order.sort_by_key(|(_, record)| {
            (
                record.history.open_crashes().count() >= ISOLATED_CRASH_LIMIT,
                record.history.last_event(),
            )
        });
        let count = self.records.len() / EVICTION_DIVISOR;
        let evicted: Vec<_> = order
            .iter()
            .take(count)
            .map(|(fingerprint, _)| **fingerprint)
            .collect();
        for fingerprint in evicted {
            self.records.remove(&fingerprint);
        }
    }
}

fn is_expired(now: Instant, record: &Record) -> bool {
    let last_event = record.history.last_event();
    last_event.is_none_or(|at| now.saturating_duration_since(at) >= NOTE_TTL)
}
