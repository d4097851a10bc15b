//! Health of one endpoint as observed by this instance.
//!
//! A crashed or unreachable endpoint is ejected for an exponentially growing time, then probed with
//! one request, and its share of the load is restored gradually. An overloaded endpoint is paused
//! briefly and gets a smaller share. A slow endpoint gets a share in proportion to its speed; if it
//! is far slower than the others it is ejected, as long as [`MIN_HEALTHY_FRACTION`] of the
//! endpoints remain. An endpoint that shuts down gets no new requests.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::policy::Ending;

/// Fraction of a pool's endpoints that must remain when slow endpoints are ejected.
pub const MIN_HEALTHY_FRACTION: f64 = 0.5;

/// Duration of the first ejection; each further failure doubles it.
pub const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Pause after the endpoint refused a request because of overload.
pub const OVERLOAD_PAUSE: Duration = Duration::from_millis(250);

/// Time over which an endpoint that returns from an ejection regains its full share.
pub const RAMP_UP_TIME: Duration = Duration::from_secs(8);

/// Slowness relative to the other endpoints from which an endpoint is ejected.
pub const SLOW_EJECTION_RATIO: f64 = 4.0;

/// Smallest share of an endpoint that is not ejected.
const MIN_SHARE: f64 = 0.1;

/// Factor by which a refusal because of overload reduces the allowed share.
const OVERLOAD_BACKOFF: f64 = 0.7;

/// Amount by which each success raises the allowed share.
const RECOVERY_STEP: f64 = 0.02;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Number of samples before an endpoint is compared with others.
const MIN_SAMPLES: u32 = 3;

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    ejected_until: Option<Instant>,
    probing: bool,
    returned_at: Option<Instant>,
    paused_until: Option<Instant>,
    /// Fraction of the slots that remains after refusals because of overload.
    allowed: f64,
    /// Moving average of the time of attempts divided by the expected time.
    latency_ratio: f64,
    samples: u32,
    overdue: bool,
    /// How many times slower than the others the endpoint is, at least 1.
    slowness: f64,
    leaving: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            ejected_until: None,
            probing: false,
            returned_at: None,
            paused_until: None,
            allowed: 1.0,
            latency_ratio: 0.0,
            samples: 0,
            overdue: false,
            slowness: 1.0,
            leaving: false,
        }
    }
}

impl Health {
    /// Records how an attempt ended; `latency_ratio` is its time divided by the expected time.
    pub fn record_end(
        &mut self,
        now: Instant,
        ending: Ending,
        latency_ratio: Option<f64>,
        rng: &mut impl Rng,
    ) {
        match ending {
            Ending::Finished => self.succeed(now, latency_ratio),
            Ending::Unreachable | Ending::Crashed | Ending::TimedOut => self.fail(now, rng),
            Ending::Overloaded => {
                self.paused_until = Some(now + OVERLOAD_PAUSE);
                self.allowed = (self.allowed * OVERLOAD_BACKOFF).max(MIN_SHARE);
                self.probing = false;
            }
            // These say nothing about the endpoint, but a probe has ended.
            Ending::Cancelled | Ending::Rejected => self.probing = false,
        }
    }

    /// Records that a request was dispatched to the endpoint.
    pub fn record_start(&mut self, now: Instant) {
        self.probing |= self.ejected_until.is_some_and(|until| now >= until);
    }

    /// Sets whether the endpoint has announced its shutdown.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns whether the endpoint has announced its shutdown.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the average latency ratio, or `None` if there are too few samples.
    pub fn latency_ratio(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.latency_ratio)
    }

    /// Compares the endpoint with the typical latency ratio of its pool; `overdue` says whether any
    /// of its running requests is late.
    pub fn compare(&mut self, typical: f64, overdue: bool) {
        let ratio = self
            .latency_ratio()
            .map_or(1.0, |own| own / typical.max(1e-6));
        self.overdue = overdue;
        self.slowness = if overdue {
            ratio.max(SLOW_EJECTION_RATIO)
        } else {
            ratio.max(1.0)
        };
        if !overdue && self.samples > 0 {
            // Without new samples a slow endpoint would never be tried again.
            self.latency_ratio += (typical - self.latency_ratio) * 0.05;
        }
    }

    /// Returns how many times slower than the others the endpoint is, at least 1.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns whether the endpoint is slow enough to be ejected.
    pub fn is_slow(&self) -> bool {
        self.slowness >= SLOW_EJECTION_RATIO
    }

    /// Returns whether the endpoint is ejected or is being probed.
    pub fn is_down(&self, now: Instant) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.probing)
    }

    /// Returns the fraction of the endpoint's slots that may be used now.
    pub fn share(&self, now: Instant) -> f64 {
        if self.leaving || self.is_down(now) || self.paused_until.is_some_and(|until| now < until) {
            return 0.0;
        }
        let ramp = self.returned_at.map_or(1.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            (age / RAMP_UP_TIME.as_secs_f64()).clamp(MIN_SHARE, 1.0)
        });
        let speed = if self.slowness > 1.5 {
            1.0 / self.slowness
        } else {
            1.0
        };
        (self.allowed * ramp * speed).clamp(MIN_SHARE, 1.0)
    }

    fn succeed(&mut self, now: Instant, latency_ratio: Option<f64>) {
        self.failures = 0;
        self.probing = false;
        if self.ejected_until.take().is_some() {
            self.returned_at = Some(now);
        }
        self.allowed = (self.allowed + RECOVERY_STEP).min(1.0);
        if let Some(latency_ratio) = latency_ratio {
            self.samples = self.samples.saturating_add(1);
            let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
            self.latency_ratio += (latency_ratio - self.latency_ratio) * weight;
        }
    }

    fn fail(&mut self, now: Instant, rng: &mut impl Rng) {
        // Requests that broke in the same crash count as one failure.
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let factor = 1u32 << self.failures.min(5);
        let time = (FIRST_EJECTION * factor).min(MAX_EJECTION);
        self.failures += 1;
        self.ejected_until = Some(now + time.mul_f64(rng.random_range(0.8..=1.2)));
        self.probing = false;
    }
}
