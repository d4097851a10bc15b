//! What instances tell each other about requests and the ends of endpoints.
//!
//! Each instance keeps its own notes for [`NOTE_LIFE`] and tells them to whom it polls, until a poll that
//! carried them was answered, and all of them again when that is another instance or another leader. So
//! no note is lost with a relay or a leader, and the leader need not write each one to its log. A note
//! that is told twice counts once ([`crate::crash_records`]). `docs/design.md`, section 6.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::fingerprint::Fingerprint;

/// Time for which a note counts: callers that come again do so within their deadlines, which are seconds.
pub const NOTE_LIFE: Duration = Duration::from_secs(60);

/// Notes in a message at most; each takes about 25 bytes.
pub const MAX_TOLD: usize = 256;

/// Notes that an instance keeps at most, the newest ones. A relay keeps those of the instances below it,
/// an eighth of a fleet: a quarter of the 64 places of each of 500 engines.
const MAX_KEPT: usize = 8_192;

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CrashEvent {
    /// It was at an endpoint when that ended; the hash of the endpoint's name tells ends apart.
    Crash {
        /// Hash of the endpoint's name.
        endpoint: u64,
    },
    /// An endpoint answered it and went on.
    Answer,
}

/// What happened to a request, and how long ago.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// Recognises the request.
    pub print: Fingerprint,
    /// What happened.
    pub event: CrashEvent,
    /// Time since then, since clocks differ from instance to instance.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Whom notes are told to: the polled instance, and the term of the leader that it answers for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Address of the instance.
    pub address: SocketAddr,
    /// Term of the leader.
    pub epoch: u64,
}

/// Notes on their way to the leader.
#[derive(Debug, Default)]
pub struct NoteOutbox {
    kept: VecDeque<(Instant, Fingerprint, CrashEvent)>,
    known: HashSet<(Fingerprint, CrashEvent)>,
    /// Number of the first note that is kept.
    first: u64,
    /// Who was told, and the number of the next note for it.
    told: Option<(Upstream, u64)>,
}

impl NoteOutbox {
    /// Keeps a note; returns whether it is new.
    pub fn push(&mut self, now: Instant, note: &CrashNote) -> bool {
        self.expire(now);
        if !self.known.insert((note.print, note.event)) {
            return false;
        }
        let at = now.checked_sub(note.age).unwrap_or(now);
        self.kept.push_back((at, note.print, note.event));
        while self.kept.len() > MAX_KEPT {
            self.drop_first();
        }
        true
    }

    /// Returns the notes that an upstream has not been told, and the number to accept them by.
    pub fn due(&self, now: Instant, upstream: Upstream) -> (Vec<CrashNote>, u64) {
        let known = self.told.filter(|(told, _)| *told == upstream);
        let start = known.map_or(self.first, |(_, next)| next.max(self.first));
        let notes = self.kept.iter().skip((start - self.first) as usize);
        let notes: Vec<_> = notes
            .take(MAX_TOLD)
            .map(|(at, print, event)| CrashNote {
                print: *print,
                event: *event,
                age: now.saturating_duration_since(*at),
            })
            .collect();
        let next = start + notes.len() as u64;
        (notes, next)
    }

    /// Records that an upstream has taken the notes up to a number.
    pub fn accepted(&mut self, upstream: Upstream, next: u64) {
        self.told = Some((upstream, next));
    }

    /// Records that the upstream may have lost what it was told.
    pub fn forget_upstream(&mut self) {
        self.told = None;
    }

    fn expire(&mut self, now: Instant) {
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= NOTE_LIFE;
        while self.kept.front().is_some_and(|(at, ..)| is_over(at)) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, print, event)) = self.kept.pop_front() {
            self.known.remove(&(print, event));
            self.first += 1;
        }
    }
}
