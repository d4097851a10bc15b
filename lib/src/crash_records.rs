//! Detection of requests that crash endpoints, from the crash notes of all instances.
//!
//! When an endpoint crashes, all requests in flight there are suspects, and at most one of them is the cause.
//! A request is to blame when [`CRASH_LIMIT`] endpoints crashed under it and none answered it in between. Two
//! crashes suffice unless other endpoints crashed at the same time without it, which points to another
//! cause. To be blamed, an innocent request would have to be at two endpoints that crash one by one within
//! a minute, and be answered by none; a request that many callers send is answered somewhere in between.
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

use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_note::NOTE_TTL;
use crate::fingerprint::Fingerprint;

/// Number of crashes without a response in between after which a request is to blame in any case; the limit
/// of the users is three crashes and three retries.
pub const CRASH_LIMIT: usize = 3;

/// Number of crashes after which a request is to blame if no mass crash happened at the same time.
const ISOLATED_CRASH_LIMIT: usize = 2;

/// Number of other endpoints crashing at the same time from which a crash is part of a mass crash.
const MASS_CRASH_ENDPOINTS: usize = 2;

/// Maximum time between crashes of one mass crash; a request that is retried elsewhere runs again within it.
const MASS_CRASH_WINDOW: Duration = Duration::from_millis(500);

/// Time to wait after the newest crash for notes about other crashes, which take a probe and a few polls.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time within which crashes of one endpoint count as one crash, reported by several instances; an endpoint
/// takes longer to restart and receive the same request again.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

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
        print: Fingerprint,
        /// Number of endpoints that crashed under it.
        ends: usize,
    },
    /// The request was answered since the crashes for which it was quarantined.
    Release {
        /// Fingerprint of the request.
        print: Fingerprint,
    },
}

#[derive(Debug, Default)]
struct Record {
    /// Hashes and crash times of the endpoints that crashed under the request.
    ends: Vec<(u64, Instant)>,
    /// Time of the newest response.
    answered: Option<Instant>,
    /// Time at which the current verdict was last proposed.
    proposed: Option<Instant>,
}

impl Record {
    fn newest(&self) -> Option<Instant> {
        let ends = self.ends.iter().map(|(_, at)| *at);
        ends.chain(self.answered).max()
    }

    /// Returns the crashes since the newest response.
    fn open(&self) -> impl Iterator<Item = &(u64, Instant)> {
        let since = |at: Instant| self.answered.is_none_or(|answered| at > answered);
        self.ends.iter().filter(move |(_, at)| since(*at))
    }

    fn is_fresh(&self, now: Instant) -> bool {
        let newest = self.newest();
        newest.is_some_and(|at| now.saturating_duration_since(at) < 2 * SETTLE_TIME)
    }

    /// Returns whether the request is to blame, given its own crashes and those of all endpoints.
    fn is_to_blame(&self, now: Instant, all: &[(u64, Instant)]) -> bool {
        let open = self.open().count();
        if open >= CRASH_LIMIT {
            return true;
        }
        if open < ISOLATED_CRASH_LIMIT {
            return false;
        }
        let is_settled = |at: &Instant| now.saturating_duration_since(*at) >= SETTLE_TIME;
        let is_own = |endpoint: u64| self.ends.iter().any(|(own, _)| *own == endpoint);
        let is_alone = |at: &Instant| {
            let others = all.iter().filter(|(endpoint, other)| {
                between(*at, *other) < MASS_CRASH_WINDOW && !is_own(*endpoint)
            });
            others.count() < MASS_CRASH_ENDPOINTS
        };
        self.open().all(|(_, at)| is_settled(at) && is_alone(at))
    }
}

/// Crash records by request.
#[derive(Debug, Default)]
pub struct CrashRecords {
    records: BTreeMap<Fingerprint, Record>,
    /// Hashes and crash times of the endpoints that crashed recently.
    ends: Vec<(u64, Instant)>,
    /// Requests whose verdict may change.
    undecided: BTreeSet<Fingerprint>,
    last_expiry: Option<Instant>,
}

impl CrashRecords {
    /// Adds a note. A response to a request without recorded crashes is ignored.
    pub fn add(&mut self, now: Instant, note: &CrashNote) {
        self.expire(now);
        let at = now.checked_sub(note.age).unwrap_or(now);
        match note.event {
            CrashEvent::Answer => {
                if let Some(record) = self.records.get_mut(&note.print) {
                    record.answered = record.answered.max(Some(at));
                    self.undecided.insert(note.print);
                }
            }
            CrashEvent::Crash { endpoint } => {
                let is_same = |(other, then): &(u64, Instant)| {
                    *other == endpoint && between(at, *then) < SAME_CRASH_WINDOW
                };
                if self.ends.len() < MAX_RECENT_CRASHES && !self.ends.iter().any(is_same) {
                    self.ends.push((endpoint, at));
                }
                let record = self.records.entry(note.print).or_default();
                if record.ends.len() < MAX_CRASHES_PER_REQUEST && !record.ends.iter().any(is_same) {
                    record.ends.push((endpoint, at));
                }
                if record.ends.len() >= ISOLATED_CRASH_LIMIT {
                    self.undecided.insert(note.print);
                }
                self.evict();
            }
        }
    }

    /// Returns the number of endpoints that crashed under a request since its newest response.
    pub fn ends(&self, now: Instant, print: Fingerprint) -> usize {
        let record = self.records.get(&print).filter(|r| !is_expired(now, r));
        record.map_or(0, |record| record.open().count())
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
        self.undecided.retain(|print| {
            let Some(record) = self.records.get_mut(print).filter(|r| !is_expired(now, r)) else {
                return false;
            };
            let ends = record.open().count();
            let verdict = match (record.is_to_blame(now, &self.ends), is_quarantined(*print)) {
                (true, false) => Verdict::Quarantine {
                    print: *print,
                    ends,
                },
                (false, true) if ends < ISOLATED_CRASH_LIMIT => Verdict::Release { print: *print },
                // Notes about other crashes may still arrive.
                (false, false) if ends >= ISOLATED_CRASH_LIMIT && record.is_fresh(now) => {
                    return true;
                }
                _ => {
                    record.proposed = None;
                    return false;
                }
            };
            let waits = |at: Instant| now.saturating_duration_since(at) < PROPOSAL_INTERVAL;
            if !record.proposed.is_some_and(waits) {
                record.proposed = Some(now);
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

    fn expire(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SAME_CRASH_WINDOW;
        if self.last_expiry.is_none_or(is_due) {
            self.last_expiry = Some(now);
            self.records.retain(|_, record| !is_expired(now, record));
            let is_recent = |at: Instant| now.saturating_duration_since(at) < NOTE_TTL;
            self.ends.retain(|(_, at)| is_recent(*at));
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
                record.open().count() >= ISOLATED_CRASH_LIMIT,
                record.newest(),
            )
        });
        let count = self.records.len() / EVICTION_DIVISOR;
        let evicted: Vec<_> = order.iter().take(count).map(|(print, _)| **print).collect();
        for print in evicted {
            self.records.remove(&print);
        }
    }
}

fn between(one: Instant, other: Instant) -> Duration {
    one.max(other) - one.min(other)
}

fn is_expired(now: Instant, record: &Record) -> bool {
    let newest = record.newest();
    newest.is_none_or(|at| now.saturating_duration_since(at) >= NOTE_TTL)
}
