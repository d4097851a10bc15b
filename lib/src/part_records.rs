//! Detection of prompt parts that crash endpoints, from the crash notes of all instances.
//!
//! A part may crash each endpoint that begins to answer a request which has it, whatever else the request holds.
//! [`crate::crash_records`] does not see this if no two requests are alike. All parts of all requests in flight
//! at a crash are suspects, and most of them are in use by sound requests. What distinguishes the culprit is that
//! it was in flight at every crash that it caused, and that no request with it was ever answered completely.
//!
//! * A part with [`SUSPECT_CRASHES`] crashes since its newest answer becomes a suspect. The instances tell answers
//!   to suspects, also earlier ones, so that the popular parts are cleared and the others are known to be in use.
//! * Of the parts that are not known to be in use, the one with the most crashes is to blame, from
//!   [`CRASH_LIMIT`] crashes on. If others come close, more evidence is awaited for [`DECISION_TIME`]; parts that
//!   are then still equal always went together, and all are to blame. A part that is known to be in use is to
//!   blame only after [`ANSWERED_CRASH_LIMIT`] crashes, and if there is no other.
//! * Crashes under a part that is to blame count against no other part.
//! * Endpoints that crash at the same moment have another cause, so the crashes must span
//!   [`MIN_CRASH_SPAN`].
//!
//! The decision does no I/O (`docs/design.md`, section 6.1).

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::control::Suspicion;
use crate::crash_history::Crash;
use crate::crash_history::CrashHistory;
use crate::crash_history::SAME_CRASH_WINDOW;
use crate::crash_history::is_same;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_note::NOTE_TTL;
use crate::fingerprint::Fingerprint;

/// Number of crashes from which the instances tell answers to a part.
pub const SUSPECT_CRASHES: usize = 2;

/// Number of crashes from which a part that is not known to be in use is to blame. Users accept five, and one of
/// them may go unnoticed.
pub const CRASH_LIMIT: usize = 4;

/// Number of crashes from which a part that was answered before them is to blame.
pub const ANSWERED_CRASH_LIMIT: usize = 8;

/// Minimum time from the first to the last crash of a part that is to blame.
pub const MIN_CRASH_SPAN: Duration = Duration::from_millis(500);

/// Time after a crash in which notes about it arrive.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time in which the instances tell earlier answers to a new suspect.
const OBJECTION_TIME: Duration = Duration::from_millis(500);

/// Time after the crash that reached the limit in which answers may still clear parts with almost as many crashes.
/// A culprit must be withheld within 3 s.
const DECISION_TIME: Duration = Duration::from_millis(1_500);

/// Time after the last crash of a suspect until its answers are no longer told.
const CLEAR_TIME: Duration = Duration::from_secs(10);

/// Minimum time between two evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two verdicts that make parts suspects: each change of the suspects is sent to all
/// instances.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two verdicts that clear suspects.
const CLEAR_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a verdict that is not in force is proposed again; a commit takes a few milliseconds.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of suspects at a time, which all instances keep.
pub const MAX_SUSPECTS: usize = 256;

/// Maximum number of recorded parts, at about 200 bytes each.
pub const MAX_PARTS: usize = 32_768;

/// Fraction of the records that is evicted at a time, as a divisor.
const EVICTION_DIVISOR: usize = 8;

/// Maximum number of crashes that are kept for each part.
const MAX_CRASHES_PER_PART: usize = 64;

/// Maximum number of recent crashes of all endpoints.
const MAX_RECENT_CRASHES: usize = 4_096;

/// Decision about prompt parts, based on their crash notes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// Answers to these parts are to be told.
    Suspect {
        /// Fingerprints of the parts.
        fingerprints: Vec<Fingerprint>,
    },
    /// The part is to blame, and requests with it must not be sent to endpoints.
    Quarantine {
        /// Fingerprint of the part.
        fingerprint: Fingerprint,
        /// Number of endpoints that crashed under it.
        crash_count: usize,
    },
    /// The parts are no longer suspects.
    Clear {
        /// Fingerprints of the parts.
        fingerprints: Vec<Fingerprint>,
    },
    /// The part was answered since the crashes for which it was quarantined.
    Release {
        /// Fingerprint of the part.
        fingerprint: Fingerprint,
    },
}

#[derive(Debug, Default)]
struct Record {
    history: CrashHistory,
    /// Time from which the part was known to all instances as a suspect.
    suspected_at: Option<Instant>,
    /// Time at which a verdict was last proposed.
    proposed_at: Option<Instant>,
}

impl Record {
    /// Returns whether a verdict may be proposed now, and records that it is.
    fn propose(&mut self, now: Instant) -> bool {
        let is_waiting = |at: Instant| now.saturating_duration_since(at) < PROPOSAL_INTERVAL;
        let may_propose = !self.proposed_at.is_some_and(is_waiting);
        if may_propose {
            self.proposed_at = Some(now);
        }
        may_propose
    }
}

/// A part that may be to blame.
#[derive(Debug)]
struct Candidate {
    fingerprint: Fingerprint,
    /// Times of the crashes that count against the part, oldest first.
    crashes: Vec<Instant>,
    /// Whether the part is known to have been answered, before the crashes.
    is_answered: bool,
    suspected_at: Option<Instant>,
}

impl Candidate {
    fn limit(&self) -> usize {
        match self.is_answered {
            true => ANSWERED_CRASH_LIMIT,
            false => CRASH_LIMIT,
        }
    }

    /// Returns whether the crashes suffice to blame the part, if it has the most; `stands_out` is whether no other
    /// part comes close.
    fn is_decided(&self, now: Instant, stands_out: bool) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let (Some(first), Some(last)) = (self.crashes.first(), self.crashes.last()) else {
            return false;
        };
        let Some(limiting) = self.crashes.get(self.limit() - 1) else {
            return false;
        };
        *last - *first >= MIN_CRASH_SPAN
            && self
                .suspected_at
                .is_some_and(|at| age(at) >= OBJECTION_TIME)
            && (stands_out || age(*limiting) >= DECISION_TIME)
    }
}

/// Crash records by prompt part.
#[derive(Debug, Default)]
pub struct PartRecords {
    records: BTreeMap<Fingerprint, Record>,
    /// Recent crashes of all endpoints, each with the time of its first note.
    crashes: Vec<Crash>,
    evaluated_at: Option<Instant>,
    expired_at: Option<Instant>,
    /// Time of the last verdict that made parts suspects.
    suspected_at: Option<Instant>,
    /// Time of the last verdict that cleared suspects.
    cleared_at: Option<Instant>,
}

impl PartRecords {
    /// Adds a note. An answer to a part without recorded crashes is ignored.
    pub fn add(&mut self, now: Instant, note: &CrashNote) {
        let at = now.checked_sub(note.age).unwrap_or(now);
        match note.event {
            CrashEvent::PartCrash { endpoint } => {
                self.expire(now);
                let crash = self.unify((endpoint, at));
                let record = self.records.entry(note.fingerprint).or_default();
                record.history.add_crash(crash, MAX_CRASHES_PER_PART);
                self.evict();
            }
            CrashEvent::PartAnswer => {
                if let Some(record) = self.records.get_mut(&note.fingerprint) {
                    record.history.add_answer(at);
                }
            }
            // See `crate::crash_records`.
            CrashEvent::Crash { .. } | CrashEvent::Answer => {}
        }
    }

    /// Returns a crash as it was first reported, so that reports of several instances are equal.
    fn unify(&mut self, crash: Crash) -> Crash {
        if let Some(known) = self.crashes.iter().find(|known| is_same(**known, crash)) {
            return *known;
        }
        if self.crashes.len() < MAX_RECENT_CRASHES {
            self.crashes.push(crash);
        }
        crash
    }

    /// Returns the verdicts that are not in force yet; `suspicion` returns the one that is.
    ///
    /// A verdict is returned again if it is not in force after [`PROPOSAL_INTERVAL`].
    pub fn verdicts(
        &mut self,
        now: Instant,
        suspicion: impl Fn(Fingerprint) -> Suspicion,
    ) -> Vec<PartVerdict> {
        let is_early = |at: Instant| now.saturating_duration_since(at) < EVALUATION_INTERVAL;
        if self.records.is_empty() || self.evaluated_at.is_some_and(is_early) {
            return Vec::new();
        }
        self.evaluated_at = Some(now);
        self.expire(now);
        let mut verdicts = Vec::new();
        let explained = self.explained_crashes(&suspicion);
        let mut suspect_count = 0;
        let mut suspects = Vec::new();
        let mut cleared = Vec::new();
        let mut candidates = Vec::new();
        for (fingerprint, record) in &mut self.records {
            let fingerprint = *fingerprint;
            let current = suspicion(fingerprint);
            // Most parts have met one crash only, after one of an endpoint with many requests.
            if current == Suspicion::None && record.history.crashes.len() < SUSPECT_CRASHES {
                continue;
            }
            match current {
                Suspicion::Quarantined => {
                    if record.history.open_crashes().next().is_none() && record.propose(now) {
                        verdicts.push(PartVerdict::Release { fingerprint });
                    }
                    continue;
                }
                Suspicion::Suspect => {
                    suspect_count += 1;
                    record.suspected_at.get_or_insert(now);
                    let newest = record.history.crashes.iter().map(|(_, at)| *at).max();
                    let is_over = |at: Instant| now.saturating_duration_since(at) >= CLEAR_TIME;
                    if newest.is_none_or(is_over) {
                        cleared.push(fingerprint);
                    }
                }
                Suspicion::None => record.suspected_at = None,
            }
            let crashes = counted_crashes(now, &record.history, &explained);
            if current == Suspicion::None && crashes.len() >= SUSPECT_CRASHES {
                suspects.push((crashes.len(), fingerprint));
            }
            candidates.push(Candidate {
                fingerprint,
                crashes,
                is_answered: record.history.answered_at.is_some(),
                suspected_at: record.suspected_at,
            });
        }
        if !cleared.is_empty() && is_due(now, &mut self.cleared_at, CLEAR_INTERVAL) {
            let fingerprints = cleared;
            verdicts.push(PartVerdict::Clear { fingerprints });
        }
        if !suspects.is_empty() && is_due(now, &mut self.suspected_at, SUSPECT_INTERVAL) {
            verdicts.extend(new_suspects(suspects, suspect_count));
        }
        for culprit in culprits(now, &candidates) {
            let fingerprint = culprit.fingerprint;
            let record = self.records.get_mut(&fingerprint);
            if record.is_some_and(|record| record.propose(now)) {
                verdicts.push(PartVerdict::Quarantine {
                    fingerprint,
                    crash_count: culprit.crashes.len(),
                });
            }
        }
        verdicts
    }

    /// Returns the crashes under parts that are to blame.
    fn explained_crashes(&self, suspicion: impl Fn(Fingerprint) -> Suspicion) -> HashSet<Crash> {
        let quarantined = self
            .records
            .iter()
            .filter(|(fingerprint, _)| suspicion(**fingerprint) == Suspicion::Quarantined);
        quarantined
            .flat_map(|(_, record)| record.history.crashes.iter().copied())
            .collect()
    }

    /// Returns the number of recorded parts.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no part is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records, at most once per [`SAME_CRASH_WINDOW`].
    fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < NOTE_TTL;
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SAME_CRASH_WINDOW;
        if self.expired_at.is_none_or(is_due) {
            self.expired_at = Some(now);
            self.records
                .retain(|_, record| record.history.last_event().is_some_and(is_recent));
            self.crashes.retain(|(_, at)| is_recent(*at));
        }
    }

    /// Evicts parts when there are too many, those with the fewest crashes and the oldest first.
    fn evict(&mut self) {
        if self.records.len() <= MAX_PARTS {
            return;
        }
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(fingerprint, record)| {
                let history = &record.history;
                (
                    history.open_crashes().count(),
                    history.last_event(),
                    *fingerprint,
                )
            })
            .collect();
        order.sort_unstable();
        for (.., fingerprint) in &order[..order.len() / EVICTION_DIVISOR] {
            self.records.remove(fingerprint);
        }
    }
}

/// Returns whether an interval has passed since the last time, which is set to `now` if so.
fn is_due(now: Instant, last: &mut Option<Instant>, interval: Duration) -> bool {
    let is_due = last.is_none_or(|last| now.saturating_duration_since(last) >= interval);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// Returns the verdict about parts that become suspects, those with the most crashes first, if there is room for
/// them.
fn new_suspects(
    mut suspects: Vec<(usize, Fingerprint)>,
    suspect_count: usize,
) -> Option<PartVerdict> {
    suspects.sort_unstable_by(|a, b| b.cmp(a));
    suspects.truncate(MAX_SUSPECTS.saturating_sub(suspect_count));
    let fingerprints: Vec<_> = suspects.into_iter().map(|(_, part)| part).collect();
    (!fingerprints.is_empty()).then_some(PartVerdict::Suspect { fingerprints })
}

/// Returns the times of the crashes that count against a part, oldest first.
fn counted_crashes(
    now: Instant,
    history: &CrashHistory,
    explained: &HashSet<Crash>,
) -> Vec<Instant> {
    let is_settled = |at: Instant| now.saturating_duration_since(at) >= SETTLE_TIME;
    let open = history.open_crashes();
    let counted = open.filter(|crash| is_settled(crash.1) && !explained.contains(crash));
    let mut times: Vec<_> = counted.map(|(_, at)| at).collect();
    times.sort_unstable();
    times
}

/// Returns the parts that are to blame.
fn culprits(now: Instant, candidates: &[Candidate]) -> Vec<&Candidate> {
    let most = |is_answered: bool| {
        let class = candidates.iter().filter(|c| c.is_answered == is_answered);
        class.map(|c| c.crashes.len()).max().unwrap_or_default()
    };
    // A part that is known to be in use is to blame only if there is no other.
    let is_answered = most(false) < CRASH_LIMIT;
    let most = most(is_answered);
    let mut class: Vec<_> = candidates
        .iter()
        .filter(|c| c.is_answered == is_answered)
        .collect();
    class.sort_by_key(|c| std::cmp::Reverse(c.crashes.len()));
    let stands_out = class
        .get(1)
        .is_none_or(|second| 2 * second.crashes.len() <= most);
    class.retain(|c| c.crashes.len() == most && c.is_decided(now, stands_out));
    class
}
