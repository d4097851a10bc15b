//! Admission by predicted time to the first token.
//!
//! The prediction counts only work of the same or a higher tier, so no request is refused because
//! of lower tiers: those are refused first. The wait follows from the rate at which requests of
//! the same and lower tiers have been started, because the tier takes all of those places while it
//! has requests waiting. Higher tiers have had their part of the places by then.

use std::time::Duration;
use std::time::Instant;

/// Shortest retry hint.
pub const MIN_RETRY_HINT: Duration = Duration::from_millis(250);

/// Longest retry hint.
pub const MAX_RETRY_HINT: Duration = Duration::from_secs(60);

/// Share of the remaining time that the predicted time may take; the rest covers its error.
pub const MAX_PREDICTED_SHARE: f64 = 0.8;

/// Time over which arrivals are averaged, in seconds; a burst must show soon.
pub const ARRIVAL_WINDOW_SECONDS: f64 = 3.0;

/// Time over which starts are averaged, in seconds; a low tier starts few requests.
pub const START_WINDOW_SECONDS: f64 = 10.0;

/// Time that a rate is averaged over at least, in seconds.
const MIN_COVERED_SECONDS: f64 = 0.5;

/// Starts per second that are assumed at least, so that an idle entry accepts requests.
const MIN_STARTS_PER_SECOND: f64 = 0.2;

/// Rate of events or of slot time per second, averaged over the last seconds.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    window: f64,
    sum: f64,
    last: Option<Instant>,
    first: Option<Instant>,
}

impl Rate {
    /// Creates a rate that is averaged over a number of seconds.
    pub fn new(window: f64) -> Self {
        Self {
            window,
            sum: 0.0,
            last: None,
            first: None,
        }
    }

    /// Counts an event of this size.
    pub fn add(&mut self, now: Instant, size: f64) {
        self.sum = self.decayed(now) + size;
        self.last = Some(now);
        self.first.get_or_insert(now);
    }

    /// Returns the sum of sizes per second.
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        let age = now.saturating_duration_since(first).as_secs_f64();
        // The sum covers only the time since the first request, which matters in a burst.
        let covered = self.window * (1.0 - (-age / self.window).exp());
        self.decayed(now) / covered.max(MIN_COVERED_SECONDS)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let age = now.saturating_duration_since(last).as_secs_f64();
        self.sum * (-age / self.window).exp()
    }
}

/// What the wait of a request depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Requests that are started before the request.
    pub requests_ahead: f64,
    /// Requests of the same and lower tiers that this entry starts per second.
    pub starts_per_second: f64,
}

impl Backlog {
    /// Returns the predicted time in the queue.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(
            (self.requests_ahead / self.starts_per_second.max(MIN_STARTS_PER_SECOND)).min(1e6),
        )
    }
}

/// Returns when a retry is worthwhile if the predicted time is too long, or `None` if it fits.
pub fn refuse(predicted: Duration, remaining: Duration) -> Option<Duration> {
    if predicted <= remaining.mul_f64(MAX_PREDICTED_SHARE) {
        return None;
    }
    let excess = predicted.saturating_sub(remaining.mul_f64(MAX_PREDICTED_SHARE));
    Some(excess.clamp(MIN_RETRY_HINT, MAX_RETRY_HINT))
}
