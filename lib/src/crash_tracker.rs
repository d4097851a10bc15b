//! Decision of this instance whether a request may be sent to endpoints or is refused because it crashes
//! them.
//!
//! It combines what the instance observed itself ([`crate::crash_detector`], [`crate::crash_records`]) with the
//! decisions that the leader derives from the notes of all instances. While the instance has no contact to
//! the others, it decides from its own notes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::answer_memory::AnswerMemory;
use crate::control::Suspicion;
use crate::crash_detector::CrashDetector;
use crate::crash_detector::InterruptionAction;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_note::NOTE_TTL;
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

/// Maximum number of remembered answers to prompt parts: 45 requests per second with two shared parts, for
/// [`NOTE_TTL`].
const MAX_PART_ANSWERS: usize = 5_400;

/// Requests and endpoint crashes as seen by this instance.
#[derive(Debug)]
pub struct CrashTracker {
    detector: CrashDetector,
    records: CrashRecords,
    /// Remembered responses to requests.
    answers: AnswerMemory,
    /// Remembered complete responses by the parts of the prompts.
    part_answers: AnswerMemory,
    /// Suspects about whose answers the leader was told.
    known_suspects: Arc<HashMap<u64, Suspicion>>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            detector: CrashDetector::default(),
            records: CrashRecords::default(),
            answers: AnswerMemory::new(ANSWER_TTL, MAX_ANSWERS),
            part_answers: AnswerMemory::new(NOTE_TTL, MAX_PART_ANSWERS),
            known_suspects: Arc::default(),
        }
    }
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
        self.answers.add(now, fingerprint);
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
        let age = self.answers.age(now, fingerprint);
        Permit::Denied(age.map(|age| answer_note(fingerprint, age)))
    }

    /// Records that an endpoint answered a request with this part completely and kept running; returns the note to
    /// share, if the part is a suspect.
    pub fn part_answered(
        &mut self,
        now: Instant,
        part: Fingerprint,
        suspicion: Suspicion,
    ) -> Option<CrashNote> {
        self.part_answers.add(now, part);
        (suspicion != Suspicion::None).then(|| part_note(part, Duration::ZERO))
    }

    /// Returns whether a request with this part may be sent to an endpoint; `suspicion` is the leader's decision.
    pub fn part_permit(&self, now: Instant, part: Fingerprint, suspicion: Suspicion) -> Permit {
        match suspicion {
            Suspicion::None | Suspicion::Suspect => Permit::Granted,
            Suspicion::Quarantined => {
                let age = self.part_answers.age(now, part);
                Permit::Denied(age.map(|age| part_note(part, age)))
            }
        }
    }

    /// Returns notes about the remembered answers to new suspects; `suspects` are all suspects and their suspicion.
    pub fn answers_to_suspects(
        &mut self,
        now: Instant,
        suspects: &Arc<HashMap<u64, Suspicion>>,
    ) -> Vec<CrashNote> {
        if Arc::ptr_eq(&self.known_suspects, suspects) {
            return Vec::new();
        }
        let known = std::mem::replace(&mut self.known_suspects, suspects.clone());
        let new = suspects.keys().filter(|part| !known.contains_key(part));
        let parts = new.map(|part| Fingerprint(*part));
        parts
            .filter_map(|part| Some(part_note(part, self.part_answers.age(now, part)?)))
            .collect()
    }
}

fn part_note(fingerprint: Fingerprint, age: Duration) -> CrashNote {
    CrashNote {
        fingerprint,
        event: CrashEvent::PartAnswer,
        age,
    }
}

fn answer_note(fingerprint: Fingerprint, age: Duration) -> CrashNote {
    CrashNote {
        fingerprint,
        event: CrashEvent::Answer,
        age,
    }
}
