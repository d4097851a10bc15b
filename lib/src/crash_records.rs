//! Which requests crash endpoints, from the notes of all instances.
//!
//! All requests at an endpoint that ended are suspects, and all but one are innocent. A request is to blame
//! when [`CONVICTING`] endpoints ended under it and none answered it in between. Two suffice unless
//! other endpoints ended at the same time without it, which has another cause. An innocent request
//! would have to be at two endpoints that end within a minute one by one, and be answered by none; a request
//! that many callers send alike is answered somewhere in between.
//!
//! The decision is pure. It answers these load patterns (`docs/design.md`, section 6):
//!
//! * One request that comes again at any instance under another id: the notes of all add up.
//! * Many endpoints that end at once for a reason of their own, while requests are sent on from one to the next:
//!   such ends convict only by the third, and what is dropped from a full book are requests with a
//!   single one, the oldest first.
//! * A popular request that was at two ends by chance: one answer clears it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_note::NOTE_LIFE;
use crate::fingerprint::Fingerprint;

/// Ends of endpoints, without an answer in between, after which a request is to blame in any case: the
/// users' bound is three, and three retries.
pub const CONVICTING: usize = 3;

/// Ends after which it is to blame if nothing else ended at the same time.
const CONVICTING_ALONE: usize = 2;

/// Other endpoints that ended at the time of an end from which it has another cause.
const MASS_ENDS: usize = 2;

/// Time between two ends that are taken to have one cause; a request that is sent on runs within it.
const MASS_TIME: Duration = Duration::from_millis(500);

/// Time after the newest end in which notes about other ends are waited for: a look and a few polls.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time in which ends of one endpoint are one end, told by several instances; an endpoint takes longer to
/// come back and to get the same request again.
pub const SAME_END: Duration = Duration::from_secs(2);

/// Requests that a book holds at most, at about 100 bytes each: twice the places of 500 engines.
pub const MAX_PRINTS: usize = 65_536;

/// Part of a full book that is dropped at a time.
const DROPPED_PART: usize = 8;

/// Ends of all endpoints that are kept at most: some times the engines of the largest fleet in a minute.
const MAX_ALL_ENDS: usize = 4_096;

/// Ends that are kept for a request at most.
const MAX_ENDS: usize = 8;

/// Time after which a verdict that is not in force is proposed again; a commit takes some milliseconds.
const PROPOSAL_TIME: Duration = Duration::from_millis(300);

/// What follows from the notes about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is to blame and must not be sent to endpoints.
    Quarantine {
        /// The request.
        print: Fingerprint,
        /// Endpoints that ended under it.
        ends: usize,
    },
    /// It was answered since the ends for which it was quarantined.
    Release {
        /// The request.
        print: Fingerprint,
    },
}

#[derive(Debug, Default)]
struct Record {
    /// Hashes of the endpoints that ended under it, and when.
    ends: Vec<(u64, Instant)>,
    /// When the newest answer came.
    answered: Option<Instant>,
    /// When the verdict was proposed.
    proposed: Option<Instant>,
}

impl Record {
    fn newest(&self) -> Option<Instant> {
        let ends = self.ends.iter().map(|(_, at)| *at);
        ends.chain(self.answered).max()
    }

    /// Returns the ends since the newest answer.
    fn open(&self) -> impl Iterator<Item = &(u64, Instant)> {
        let since = |at: Instant| self.answered.is_none_or(|answered| at > answered);
        self.ends.iter().filter(move |(_, at)| since(*at))
    }

    fn is_fresh(&self, now: Instant) -> bool {
        let newest = self.newest();
        newest.is_some_and(|at| now.saturating_duration_since(at) < 2 * SETTLE_TIME)
    }

    /// Tells whether it is to blame, by its own ends and those of all endpoints.
    fn convicts(&self, now: Instant, all: &[(u64, Instant)]) -> bool {
        let open = self.open().count();
        if open >= CONVICTING {
            return true;
        }
        if open < CONVICTING_ALONE {
            return false;
        }
        let is_settled = |at: &Instant| now.saturating_duration_since(*at) >= SETTLE_TIME;
        let is_own = |endpoint: u64| self.ends.iter().any(|(own, _)| *own == endpoint);
        let is_alone = |at: &Instant| {
            let others = all
                .iter()
                .filter(|(endpoint, other)| between(*at, *other) < MASS_TIME && !is_own(*endpoint));
            others.count() < MASS_ENDS
        };
        self.open().all(|(_, at)| is_settled(at) && is_alone(at))
    }
}

/// Notes by request.
#[derive(Debug, Default)]
pub struct CrashRecords {
    records: BTreeMap<Fingerprint, Record>,
    /// Hashes of the endpoints that ended lately, and when.
    ends: Vec<(u64, Instant)>,
    /// Requests about which there may be a verdict.
    doubtful: BTreeSet<Fingerprint>,
    expired: Option<Instant>,
}

impl CrashRecords {
    /// Takes in a note. An answer to a request under which nothing ended is no news.
    pub fn add(&mut self, now: Instant, note: &CrashNote) {
        self.expire(now);
        let at = now.checked_sub(note.age).unwrap_or(now);
        match note.event {
            CrashEvent::Answer => {
                if let Some(record) = self.records.get_mut(&note.print) {
                    record.answered = record.answered.max(Some(at));
                    self.doubtful.insert(note.print);
                }
            }
            CrashEvent::Crash { endpoint } => {
                let is_same = |(other, then): &(u64, Instant)| {
                    *other == endpoint && between(at, *then) < SAME_END
                };
                if self.ends.len() < MAX_ALL_ENDS && !self.ends.iter().any(is_same) {
                    self.ends.push((endpoint, at));
                }
                let record = self.records.entry(note.print).or_default();
                if record.ends.len() < MAX_ENDS && !record.ends.iter().any(is_same) {
                    record.ends.push((endpoint, at));
                }
                if record.ends.len() >= CONVICTING_ALONE {
                    self.doubtful.insert(note.print);
                }
                self.shrink();
            }
        }
    }

    /// Returns how many endpoints ended under a request since it was answered last.
    pub fn ends(&self, now: Instant, print: Fingerprint) -> usize {
        let record = self.records.get(&print).filter(|r| !is_over(now, r));
        record.map_or(0, |record| record.open().count())
    }

    /// Returns the verdicts that are not in force yet; `held` tells whether a request is quarantined.
    ///
    /// A verdict is returned again if it is not in force after [`PROPOSAL_TIME`].
    pub fn verdicts(&mut self, now: Instant, held: impl Fn(Fingerprint) -> bool) -> Vec<Verdict> {
        let mut due = Vec::new();
        self.doubtful.retain(|print| {
            let Some(record) = self.records.get_mut(print).filter(|r| !is_over(now, r)) else {
                return false;
            };
            let ends = record.open().count();
            let verdict = match (record.convicts(now, &self.ends), held(*print)) {
                (true, false) => Verdict::Quarantine {
                    print: *print,
                    ends,
                },
                (false, true) if ends < CONVICTING_ALONE => Verdict::Release { print: *print },
                // Notes about other ends are still on their way.
                (false, false) if ends >= CONVICTING_ALONE && record.is_fresh(now) => return true,
                _ => {
                    record.proposed = None;
                    return false;
                }
            };
            let waits = |at: Instant| now.saturating_duration_since(at) < PROPOSAL_TIME;
            if !record.proposed.is_some_and(waits) {
                record.proposed = Some(now);
                due.push(verdict);
            }
            true
        });
        due
    }

    /// Returns the number of requests that notes are kept for.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no notes.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SAME_END;
        if self.expired.is_none_or(is_due) {
            self.expired = Some(now);
            self.records.retain(|_, record| !is_over(now, record));
            let is_recent = |at: Instant| now.saturating_duration_since(at) < NOTE_LIFE;
            self.ends.retain(|(_, at)| is_recent(*at));
        }
    }

    /// Drops requests with a single end, the oldest first, from a full book.
    fn shrink(&mut self) {
        if self.records.len() <= MAX_PRINTS {
            return;
        }
        let mut order: Vec<_> = self.records.iter().collect();
        order.sort_by_key(|(_, record)| {
            (record.open().count() >= CONVICTING_ALONE, record.newest())
        });
        let count = self.records.len() / DROPPED_PART;
        let dropped: Vec<_> = order.iter().take(count).map(|(print, _)| **print).collect();
        for print in dropped {
            self.records.remove(&print);
        }
    }
}

fn between(one: Instant, other: Instant) -> Duration {
    one.max(other) - one.min(other)
}

fn is_over(now: Instant, record: &Record) -> bool {
    let newest = record.newest();
    newest.is_none_or(|at| now.saturating_duration_since(at) >= NOTE_LIFE)
}
