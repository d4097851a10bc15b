//! Notes about requests and endpoint crashes, which instances send to the leader.
//!
//! Each instance keeps its own notes for [`NOTE_TTL`]. It sends them with its polls until a poll that carried
//! them was answered, and sends all of them again to another polled instance or under another leader. So
//! no note is lost with a relay or a leader, and the leader does not have to write each note to its log. A
//! note that is received twice counts once ([`crate::crash_records`]). See `docs/design.md`, section 6.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::fingerprint::Fingerprint;

/// Time for which a note is valid; callers retry within their deadlines, which are seconds.
pub const NOTE_TTL: Duration = Duration::from_secs(60);

/// Maximum number of notes in a message; each takes about 25 bytes.
pub const MAX_NOTES_PER_MESSAGE: usize = 256;

/// Maximum number of notes that an instance keeps; older ones are dropped. A relay keeps those of the instances
/// that poll it, an eighth of a fleet: a quarter of the 64 slots of each of 500 engines.
const MAX_KEPT_NOTES: usize = 8_192;

/// Minimum time between answers to one request or part that are told.
const ANSWER_INTERVAL: Duration = Duration::from_millis(250);

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CrashEvent {
    /// The request was in flight at an endpoint that crashed.
    Crash {
        /// Hash of the endpoint's name, which distinguishes crashes.
        endpoint: u64,
    },
    /// An endpoint answered the request and kept running.
    Answer,
    /// A request whose prompt has the part was in flight at an endpoint that crashed.
    PartCrash {
        /// Hash of the endpoint's name.
        endpoint: u64,
    },
    /// An endpoint answered a request whose prompt has the part completely.
    PartAnswer,
}

impl CrashEvent {
    /// Returns whether the event clears what it is about, so that the newest one counts.
    fn is_answer(self) -> bool {
        matches!(self, Self::Answer | Self::PartAnswer)
    }

    /// Returns whether a note about the event is to be sent at once; answers to parts are frequent, and go with the
    /// next poll.
    pub fn is_urgent(self) -> bool {
        self != Self::PartAnswer
    }
}

/// What happened to a request or a part of prompts, and how long ago.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// Fingerprint of the request or the part.
    pub fingerprint: Fingerprint,
    /// What happened.
    pub event: CrashEvent,
    /// Time since the event; a relative time, because the clocks of the instances differ.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Receiver of notes: the polled instance and the term of the leader for which it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Address of the polled instance.
    pub address: SocketAddr,
    /// Term of the leader.
    pub epoch: u64,
}

/// Queue of notes to send to the leader.
#[derive(Debug, Default)]
pub struct NoteOutbox {
    /// Notes with the times of their events, in the order in which they were added.
    kept: VecDeque<(Instant, Fingerprint, CrashEvent)>,
    /// Events of the notes that are kept, and the time of the newest one of each kind.
    known: HashMap<(Fingerprint, CrashEvent), Instant>,
    /// Sequence number of the first note that is kept.
    first: u64,
    /// Current upstream and the sequence number of the first note that it has not accepted.
    acknowledged: Option<(Upstream, u64)>,
}

impl NoteOutbox {
    /// Adds a note and returns whether it is new.
    pub fn push(&mut self, now: Instant, note: &CrashNote) -> bool {
        self.expire(now);
        let at = now.checked_sub(note.age).unwrap_or(now);
        let key = (note.fingerprint, note.event);
        let is_known = self.known.get(&key).is_some_and(|known| {
            let is_newer = at.saturating_duration_since(*known) >= ANSWER_INTERVAL;
            !(note.event.is_answer() && is_newer)
        });
        if is_known {
            return false;
        }
        self.known.insert(key, at);
        self.kept.push_back((at, note.fingerprint, note.event));
        while self.kept.len() > MAX_KEPT_NOTES {
            self.pop_oldest();
        }
        true
    }

    /// Returns the notes that an upstream has not accepted, and the sequence number to pass to
    /// [`Self::accepted`].
    pub fn due(&self, now: Instant, upstream: Upstream) -> (Vec<CrashNote>, u64) {
        let known = self.acknowledged.filter(|(known, _)| *known == upstream);
        let start = known.map_or(self.first, |(_, next)| next.max(self.first));
        let notes = self.kept.iter().skip((start - self.first) as usize);
        let notes: Vec<_> = notes
            .take(MAX_NOTES_PER_MESSAGE)
            .map(|(at, fingerprint, event)| CrashNote {
                fingerprint: *fingerprint,
                event: *event,
                age: now.saturating_duration_since(*at),
            })
            .collect();
        let next = start + notes.len() as u64;
        (notes, next)
    }

    /// Records that an upstream has accepted the notes before the sequence number `next`.
    pub fn accepted(&mut self, upstream: Upstream, next: u64) {
        self.acknowledged = Some((upstream, next));
    }

    /// Records that the upstream may have lost its notes, so that all are sent again.
    pub fn forget_upstream(&mut self) {
        self.acknowledged = None;
    }

    fn expire(&mut self, now: Instant) {
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) >= NOTE_TTL;
        while self.kept.front().is_some_and(|(at, ..)| is_expired(at)) {
            self.pop_oldest();
        }
    }

    fn pop_oldest(&mut self) {
        if let Some((at, fingerprint, event)) = self.kept.pop_front() {
            let key = (fingerprint, event);
            if self.known.get(&key) == Some(&at) {
                self.known.remove(&key);
            }
            self.first += 1;
        }
    }
}
