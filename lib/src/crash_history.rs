//! Crashes under one request or prompt part, and its newest answer.

use std::time::Duration;
use std::time::Instant;

/// Time within which crashes of one endpoint count as one crash, reported by several instances; an endpoint
/// takes longer to restart and receive the same request again.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// A crash: the hash of the endpoint's name, and when it happened.
pub(crate) type Crash = (u64, Instant);

/// Returns whether two reports are about the same crash.
pub(crate) fn is_same(a: Crash, b: Crash) -> bool {
    a.0 == b.0 && time_between(a.1, b.1) < SAME_CRASH_WINDOW
}

/// Returns the time between two instants, in whatever order.
pub(crate) fn time_between(a: Instant, b: Instant) -> Duration {
    a.max(b) - a.min(b)
}

/// The crashes under one request or part, and its newest answer.
#[derive(Debug, Default)]
pub(crate) struct CrashHistory {
    /// The crashes in the order in which they were reported.
    pub crashes: Vec<Crash>,
    /// Time of the newest answer.
    pub answered_at: Option<Instant>,
}

impl CrashHistory {
    /// Adds a crash, unless it is known or there are `limit` crashes already.
    pub(crate) fn add_crash(&mut self, crash: Crash, limit: usize) {
        let is_known = self.crashes.iter().any(|known| is_same(*known, crash));
        if self.crashes.len() < limit && !is_known {
            self.crashes.push(crash);
        }
    }

    /// Adds an answer.
    pub(crate) fn add_answer(&mut self, at: Instant) {
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Returns the time of the newest crash or answer.
    pub(crate) fn last_event(&self) -> Option<Instant> {
        let crash_times = self.crashes.iter().map(|(_, at)| *at);
        crash_times.chain(self.answered_at).max()
    }

    /// Returns the crashes after the newest answer.
    pub(crate) fn open_crashes(&self) -> impl Iterator<Item = Crash> {
        let is_open = |at: Instant| self.answered_at.is_none_or(|answered_at| at > answered_at);
        let crashes = self.crashes.iter().copied();
        crashes.filter(move |(_, at)| is_open(*at))
    }
}
