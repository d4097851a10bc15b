//! Which requests this instance sends to no endpoint, because endpoints end under them.
//!
//! It joins what the instance saw itself ([`crate::crash_detector`], [`crate::crash_records`]) with what the leader
//! decided from the notes of all. Its own notes suffice while it is cut off from the others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::control::Suspicion;
use crate::crash_detector::AfterBreak;
use crate::crash_detector::CrashDetector;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_records::CONVICTING;
use crate::crash_records::CrashRecords;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointId;

/// Time for which an answer is remembered, so that it can clear a request that was quarantined after it;
/// news of a quarantine takes a second at most.
pub const ANSWER_LIFE: Duration = Duration::from_secs(10);

/// Answers that are remembered at most: 45 requests a second, the target for an instance, in that time.
const MAX_ANSWERS: usize = 512;

/// What this instance knows about requests and the ends of endpoints.
#[derive(Debug, Default)]
pub struct CrashTracker {
    watch: CrashDetector,
    book: CrashRecords,
    answers: HashMap<Fingerprint, Instant>,
    order: VecDeque<(Instant, Fingerprint)>,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may.
    Granted,
    /// It may not; the others are to be told of an answer that clears it.
    Withheld(Option<CrashNote>),
}

impl CrashTracker {
    /// Records a call that broke at an endpoint.
    pub fn broke(&mut self, now: Instant, endpoint: &EndpointId, print: Fingerprint) -> AfterBreak {
        let after = self.watch.broke(now, endpoint, print);
        if let AfterBreak::Ended(note) = &after {
            self.book.add(now, note);
        }
        after
    }

    /// Records that an endpoint has ended; returns what to tell the others.
    pub fn ended(&mut self, now: Instant, endpoint: &EndpointId) -> Vec<CrashNote> {
        let notes = self.watch.ended(now, endpoint);
        for note in &notes {
            self.book.add(now, note);
        }
        notes
    }

    /// Records that an endpoint goes on after calls broke there.
    pub fn goes_on(&mut self, endpoint: &EndpointId) {
        self.watch.goes_on(endpoint);
    }

    /// Tells whether calls that broke at an endpoint wait for evidence of its end.
    pub fn waits(&self, endpoint: &EndpointId) -> bool {
        self.watch.waits(endpoint)
    }

    /// Records that an endpoint answered a request and went on; returns what to tell the others.
    pub fn answered(&mut self, now: Instant, print: Fingerprint) -> Option<CrashNote> {
        self.remember(now, print);
        if self.book.ends(now, print) == 0 {
            return None;
        }
        let note = answer(print, Duration::ZERO);
        self.book.add(now, &note);
        Some(note)
    }

    /// Tells whether a request may be sent to an endpoint; `known` is what the leader decided.
    pub fn permit(&self, now: Instant, print: Fingerprint, known: Suspicion) -> Permit {
        if self.book.ends(now, print) >= CONVICTING {
            return Permit::Withheld(None);
        }
        if known != Suspicion::Quarantined {
            return Permit::Granted;
        }
        let answered = self.answers.get(&print);
        let age = answered.map(|at| now.saturating_duration_since(*at));
        let recent = age.filter(|age| *age < ANSWER_LIFE);
        Permit::Withheld(recent.map(|age| answer(print, age)))
    }

    fn remember(&mut self, now: Instant, print: Fingerprint) {
        self.answers.insert(print, now);
        self.order.push_back((now, print));
        while let Some((at, print)) = self.order.front().copied() {
            let is_over = now.saturating_duration_since(at) >= ANSWER_LIFE;
            if !is_over && self.order.len() <= MAX_ANSWERS {
                break;
            }
            self.order.pop_front();
            if self.answers.get(&print) == Some(&at) {
                self.answers.remove(&print);
            }
        }
    }
}

fn answer(print: Fingerprint, age: Duration) -> CrashNote {
    CrashNote {
        print,
        event: CrashEvent::Answer,
        age,
    }
}
