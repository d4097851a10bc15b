//! Measurement of the time between the events of a stream.

use std::time::Duration;
use std::time::Instant;

use super::report::PaceSum;

/// Measures a stream from its first bytes on, without the time for which its caller did not read.
///
/// A caller that reads slowly makes the engine's events arrive late, which says nothing about the engine.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimer {
    began: Instant,
    last: Instant,
    held: Duration,
    events: u32,
}

impl StreamTimer {
    /// Begins to measure a stream of which the first bytes have arrived.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            last: now,
            held: Duration::ZERO,
            events: 0,
        }
    }

    /// Records that bytes have arrived, with which the stream has this many whole events.
    pub fn arrive(&mut self, now: Instant, events: u32) {
        if events > self.events {
            (self.last, self.events) = (now, events);
        }
    }

    /// Records that the caller did not take bytes for this time.
    pub fn hold(&mut self, time: Duration) {
        self.held += time;
    }

    /// Returns the number of whole events.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns the events after the first one, and the time between them.
    pub fn sample(&self) -> PaceSum {
        let passed = self.last.saturating_duration_since(self.began);
        let time = passed.saturating_sub(self.held);
        PaceSum {
            events: self.events.saturating_sub(1),
            time_ms: u32::try_from(time.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
