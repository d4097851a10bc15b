//! Admission control by predicted time to the first token.
//!
//! The prediction counts only work of the same or a higher tier, so a request is never refused
//! because of lower tiers, which are refused first. The predicted wait is based on the rate at
//! which requests of the same and lower tiers were started: while a tier has requests waiting, it
//! gets all slots that its own and lower tiers would get. Slots taken by higher tiers are not part
//! of this rate.

use std::time::Duration;
use std::time::Instant;

/// Minimum delay that a refused caller is told to wait before a retry.
pub const MIN_RETRY_HINT: Duration = Duration::from_millis(250);

/// Maximum delay that a refused caller is told to wait before a retry.
pub const MAX_RETRY_HINT: Duration = Duration::from_secs(60);

/// Time constant of the arrival rate, which is short so that bursts are detected quickly.
pub const ARRIVAL_WINDOW_SECONDS: f64 = 3.0;

/// Time constant of the start rate, which is longer because low tiers start few requests.
pub const START_WINDOW_SECONDS: f64 = 10.0;

/// Minimum time over which a rate is averaged.
const MIN_COVERED_SECONDS: f64 = 0.5;

/// Minimum start rate assumed in predictions, so that an idle instance accepts requests.
const MIN_STARTS_PER_SECOND: f64 = 0.2;

/// Exponentially decaying average of a rate of events, or of slot time, per second.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Time constant in seconds.
    window: f64,
    sum: f64,
    last: Option<Instant>,
    first: Option<Instant>,
}

impl Rate {
    /// Creates a rate with a time constant of `window` seconds.
    pub fn new(window: f64) -> Self {
        Self {
            window,
            sum: 0.0,
            last: None,
            first: None,
        }
    }

    /// Adds an event of a size, for example 1 or its slot time.
    pub fn add(&mut self, now: Instant, size: f64) {
        self.sum = self.decayed(now) + size;
        self.last = Some(now);
        self.first.get_or_insert(now);
    }

    /// Returns the average sum of event sizes per second.
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        let age = now.saturating_duration_since(first).as_secs_f64();
        // Shortly after the first event, the sum covers less than the whole window. Without this
        // correction, the rate would be too low at the start of a burst.
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

/// Backlog from which the wait of a request is predicted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Number of requests that are started before the request.
    pub requests_ahead: f64,
    /// Rate at which this instance starts requests of the same and lower tiers.
    pub starts_per_second: f64,
}

impl Backlog {
    /// Returns the predicted time in the queue, at most 1,000,000 s.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(
            (self.requests_ahead / self.starts_per_second.max(MIN_STARTS_PER_SECOND)).min(1e6),
        )
    }
}

/// Returns the delay after which to retry a request that is predicted to miss its deadline, or
/// `None` if the request is to be admitted.
///
/// The delay is the time by which the predicted wait has to become shorter.
pub fn refuse(predicted: Duration, remaining: Duration) -> Option<Duration> {
    if predicted <= remaining {
        return None;
    }
    let excess = predicted.saturating_sub(remaining);
    Some(excess.clamp(MIN_RETRY_HINT, MAX_RETRY_HINT))
}
