//! Permits to send single requests to an endpoint that limits the requests of all instances together.
//!
//! The leader takes permits from a [`PermitBucket`], which fills at the rate that the endpoint states. A
//! permit is valid for [`PERMIT_LIFETIME`] and travels, possibly through a relay, to an instance, which
//! keeps it in a [`PermitStock`] until it sends a request. Each holder counts the lifetime from before it
//! asked, so a permit expires nowhere later than where it was made.
//!
//! Bound, which `lib/tests/test_endpoint_limit.rs` checks: in any time `T`, all instances together send at
//! most `rate * (T + PERMIT_LIFETIME) + burst` requests, where `burst` is the larger of one request and what
//! the endpoint accepts in [`BURST_TIME`]. For 4 s this is less than one and a half times what the endpoint
//! accepts, and one request.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time for which a permit is valid. A poll takes up to 250 ms on each way through a relay; the rest is
/// left for a request to arrive.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time in which as many requests are accepted as may be permitted at once.
pub const BURST_TIME: Duration = Duration::from_millis(250);

/// Source of the permits for one endpoint, kept by the leader.
#[derive(Clone, Debug)]
pub struct PermitBucket {
    /// Permits per second.
    rate: f64,
    permits: f64,
    filled_at: Instant,
}

impl PermitBucket {
    /// Creates an empty bucket that fills at this number of permits per second.
    ///
    /// It begins empty because an earlier leader may just have given out a full one.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate,
            permits: 0.0,
            filled_at: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.permits = self.permits.min(self.capacity());
    }

    /// Takes up to `wanted` permits.
    pub fn take(&mut self, now: Instant, wanted: u32) -> u32 {
        self.fill(now);
        // The conversion saturates.
        let taken = wanted.min(self.permits as u32);
        self.permits -= f64::from(taken);
        taken
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.permits = (self.permits + self.rate * elapsed).min(self.capacity());
        self.filled_at = now;
    }
}

/// Permits for one endpoint that an instance may spend or pass on.
#[derive(Clone, Debug, Default)]
pub struct PermitStock {
    /// Numbers of permits with their expiry times.
    held: VecDeque<(Instant, u32)>,
    /// Requests that had to be sent without a permit, for which the next permits are withheld.
    debt: u32,
}

impl PermitStock {
    /// Adds permits that expire at this time.
    pub fn add(&mut self, expires: Instant, count: u32) {
        let paid = count.min(self.debt);
        self.debt -= paid;
        if count > paid {
            self.held.push_back((expires, count - paid));
        }
    }

    /// Returns the number of valid permits.
    pub fn count(&self, now: Instant) -> u32 {
        let valid = self.held.iter().filter(|(expires, _)| now < *expires);
        valid.map(|(_, count)| *count).fold(0, u32::saturating_add)
    }

    /// Takes a permit; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.split(now, 1).is_some()
    }

    /// Takes a permit for a request that is sent in any case.
    pub fn charge(&mut self, now: Instant) {
        if !self.take(now) {
            self.debt = self.debt.saturating_add(1);
        }
    }

    /// Takes up to `wanted` permits to pass on; returns their number and the time for which all of them are
    /// valid, or `None` if there are none.
    pub fn split(&mut self, now: Instant, wanted: u32) -> Option<(u32, Duration)> {
        self.held
            .retain(|(expires, count)| now < *expires && *count > 0);
        let (mut taken, mut valid_until) = (0, None);
        for (expires, count) in &mut self.held {
            let part = (*count).min(wanted - taken);
            if part == 0 {
                break;
            }
            *count -= part;
            taken += part;
            valid_until =
                valid_until.map_or(Some(*expires), |until: Instant| Some(until.min(*expires)));
        }
        valid_until.map(|until| (taken, until.saturating_duration_since(now)))
    }

    /// Drops all permits, because the rate at which they were made no longer applies.
    pub fn clear(&mut self) {
        self.held.clear();
    }
}
