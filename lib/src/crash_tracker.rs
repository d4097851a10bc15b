//! Decision of this instance whether a request may be sent to endpoints or is refused because it crashes
//! them.
//!
//! It combines what the instance observed itself ([`crate::crash_detector`], [`crate::crash_records`]) with the
//! decisions that the leader derives from the notes of all instances. While the instance has no contact to
//! the others, it decides from its own notes.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::control::Suspicion;
use crate::crash_detector::CrashDetector;
use crate::crash_detector::InterruptionAction;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_records::CRASH_LIMIT;
use crate::crash_records::CrashRecords;
use crate::fingerprint::Fingerprint;
use crate::fingerprint::RequestPrints;
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
    /// Time of the newest remembered response to each request.
    answers: HashMap<Fingerprint, Instant>,
    /// Remembered responses, oldest first.
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
    pub fn record_interruption(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        prints: &RequestPrints,
    ) -> InterruptionAction {
        let action = self.detector.record_interruption(now, endpoint, prints);
        if let InterruptionAction::Report(notes) = &action {
            for note in notes {
                self.records.add(now, note);
            }
        }
        action
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
    pub fn answered(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<CrashNote> {
        self.remember_answer(now, fingerprint);
        if self.records.crash_count(now, fingerprint) == 0 {
            return None;
        }
        let note = answer_note(fingerprint, Duration::ZERO);
        self.records.add(now, &note);
        Some(note)
    }

    /// Returns whether a request may be sent to an endpoint; `suspicion` is the leader's decision.
    pub fn permit(&self, now: Instant, fingerprint: Fingerprint, suspicion: Suspicion) -> Permit {
        if self.records.crash_count(now, fingerprint) >= CRASH_LIMIT {
            return Permit::Denied(None);
        }
        if suspicion != Suspicion::Quarantined {
            return Permit::Granted;
        }
        let answered = self.answers.get(&fingerprint);
        let age = answered.map(|at| now.saturating_duration_since(*at));
        let recent_age = age.filter(|age| *age < ANSWER_TTL);
        Permit::Denied(recent_age.map(|age| answer_note(fingerprint, age)))
    }

    fn remember_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.answers.insert(fingerprint, now);
        self.answer_order.push_back((now, fingerprint));
        while let Some((at, fingerprint)) = self.answer_order.front().copied() {
            let is_expired = now.saturating_duration_since(at) >= ANSWER_TTL;
            if !is_expired && self.answer_order.len() <= MAX_ANSWERS {
                break;
            }
            self.answer_order.pop_front();
            if self.answers.get(&fingerprint) == Some(&at) {
                self.answers.remove(&fingerprint);
            }
        }
    }
}

fn answer_note(fingerprint: Fingerprint, age: Duration) -> CrashNote {
    CrashNote {
        fingerprint,
        event: CrashEvent::Answer,
        age,
    }
}
