//! Decision of this instance whether a request may be sent, or is blocked because it crashes endpoints.
//!
//! It combines what the instance observed itself ([`crate::crash_detector`], [`crate::crash_records`]) with the
//! decisions of the leader from the notes of all instances. While the instance is cut off from the others,
//! its own notes suffice.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::control::Suspicion;
use crate::crash_detector::BreakAction;
use crate::crash_detector::CrashDetector;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_records::CRASH_LIMIT;
use crate::crash_records::CrashRecords;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointId;

/// Time for which a response is remembered, so that it can clear a request that is quarantined afterwards; a
/// quarantine reaches all instances within a second.
pub const ANSWER_TTL: Duration = Duration::from_secs(10);

/// Maximum number of remembered responses: 45 requests per second, the target for an instance, for
/// [`ANSWER_TTL`].
const MAX_ANSWERS: usize = 512;

/// Requests and endpoint crashes as seen by this instance.
#[derive(Debug, Default)]
pub struct CrashTracker {
    detector: CrashDetector,
    records: CrashRecords,
    answers: HashMap<Fingerprint, Instant>,
    answer_order: VecDeque<(Instant, Fingerprint)>,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// The request must not be sent. A note about a response that clears it is to be shared, if there is one.
    Denied(Option<CrashNote>),
}

impl CrashTracker {
    /// Records an interrupted call and returns the action to take.
    pub fn record_break(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        print: Fingerprint,
    ) -> BreakAction {
        let after = self.detector.record_break(now, endpoint, print);
        if let BreakAction::Report(note) = &after {
            self.records.add(now, note);
        }
        after
    }

    /// Records the crash of an endpoint and returns the notes to share.
    pub fn record_crash(&mut self, now: Instant, endpoint: &EndpointId) -> Vec<CrashNote> {
        let notes = self.detector.record_crash(now, endpoint);
        for note in &notes {
            self.records.add(now, note);
        }
        notes
    }

    /// Records that an endpoint is still running after calls to it were interrupted.
    pub fn record_alive(&mut self, endpoint: &EndpointId) {
        self.detector.record_alive(endpoint);
    }

    /// Returns whether interrupted calls of an endpoint wait for evidence of a crash.
    pub fn awaits_evidence(&self, endpoint: &EndpointId) -> bool {
        self.detector.awaits_evidence(endpoint)
    }

    /// Records that an endpoint answered a request and kept running; returns the note to share.
    pub fn answered(&mut self, now: Instant, print: Fingerprint) -> Option<CrashNote> {
        self.remember_answer(now, print);
        if self.records.ends(now, print) == 0 {
            return None;
        }
        let note = answer_note(print, Duration::ZERO);
        self.records.add(now, &note);
        Some(note)
    }

    /// Returns whether a request may be sent to an endpoint; `suspicion` is the leader's decision.
    pub fn permit(&self, now: Instant, print: Fingerprint, suspicion: Suspicion) -> Permit {
        if self.records.ends(now, print) >= CRASH_LIMIT {
            return Permit::Denied(None);
        }
        if suspicion != Suspicion::Quarantined {
            return Permit::Granted;
        }
        let answered = self.answers.get(&print);
        let age = answered.map(|at| now.saturating_duration_since(*at));
        let recent = age.filter(|age| *age < ANSWER_TTL);
        Permit::Denied(recent.map(|age| answer_note(print, age)))
    }

    fn remember_answer(&mut self, now: Instant, print: Fingerprint) {
        self.answers.insert(print, now);
        self.answer_order.push_back((now, print));
        while let Some((at, print)) = self.answer_order.front().copied() {
            let is_expired = now.saturating_duration_since(at) >= ANSWER_TTL;
            if !is_expired && self.answer_order.len() <= MAX_ANSWERS {
                break;
            }
            self.answer_order.pop_front();
            if self.answers.get(&print) == Some(&at) {
                self.answers.remove(&print);
            }
        }
    }
}

fn answer_note(print: Fingerprint, age: Duration) -> CrashNote {
    CrashNote {
        print,
        event: CrashEvent::Answer,
        age,
    }
}
