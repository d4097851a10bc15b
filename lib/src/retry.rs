//! Retry budget and jittered backoff.
//!
//! The budget is a share of ordinary requests, so that retries cannot multiply the load when many
//! endpoints fail at once. [`RetryBudget`] is that of one instance, [`SharedBudget`] the part of an
//! instance in one that all share.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

/// Retries earned by one ordinary request.
pub const DEFAULT_RETRY_RATIO: f64 = 0.2;

/// Retries that may be saved up; it lets a small entry retry all requests of one crashed endpoint.
pub const DEFAULT_RETRY_BURST: f64 = 20.0;

/// Backoff before the second retry; the first is immediate because it goes to another endpoint.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Retries that are allowed at present.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEFAULT_RETRY_RATIO, DEFAULT_RETRY_BURST)
    }
}

impl RetryBudget {
    /// Creates a full budget that earns `ratio` retries with each request and saves up to `burst`.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Counts an ordinary request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry and tells whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Repeats that a service bears from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudgetConfig {
    /// Repeats for each ordinary request.
    pub ratio: f64,
    /// Repeats beyond that in any window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Instances that are assumed until their number is known: the target size of a fleet.
const ASSUMED_INSTANCES: u32 = 1_300;

/// Part of the earned repeats that is spent; the rest covers requests that are counted in the window
/// before the one in which they are repeated.
const EARNED_FRACTION: f64 = 0.5;

/// Part of a share below one repeat that is held at most, and that comes back in a window; a draw decides,
/// so the sum over many instances is near its mean and half of the bound stays free.
const RANDOM_FRACTION: f64 = 0.25;

/// Time for which the larger number counts after instances have become fewer: those that are cut off
/// still spend by it.
const SHRINK_DELAY: Duration = Duration::from_secs(60);

/// What an attempt failed with, by what another one can mend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryChance {
    /// The endpoint refused, broke off or stayed silent, which another one seldom does as well.
    High,
    /// The endpoint answered with an error, which mostly belongs to the request.
    Low,
}

/// The part of one instance in a budget that all instances share without asking each other.
///
/// The share is the slack divided by the instances. In any window an instance spends what it held and
/// what came back in the window, which together are its share, besides what its own requests earn; so the
/// sum stays below the bound whatever happens at once. A share of one and more holds a whole repeat.
#[derive(Clone, Copy, Debug)]
pub struct SharedBudget {
    config: SharedBudgetConfig,
    /// Number of instances, 0 while it is unknown.
    instances: u32,
    /// When there were last that many instances.
    instances_updated: Instant,
    tokens: f64,
    refilled: Instant,
}

impl SharedBudget {
    /// Creates a full budget.
    pub fn new(now: Instant, config: SharedBudgetConfig, instances: u32) -> Self {
        let mut budget = Self {
            config,
            instances,
            instances_updated: now,
            tokens: 0.0,
            refilled: now,
        };
        budget.tokens = budget.burst();
        budget
    }

    fn share(&self) -> f64 {
        let instances = match self.instances {
            0 => ASSUMED_INSTANCES,
            instances => instances,
        };
        self.config.slack / f64::from(instances)
    }

    /// Returns the repeats that are held at most.
    fn burst(&self) -> f64 {
        match self.share() {
            share if share >= 2.0 => share / 2.0,
            share if share >= 1.0 => 1.0,
            share => share * RANDOM_FRACTION,
        }
    }

    /// Returns the repeats that come back in a window.
    fn refill(&self) -> f64 {
        match self.share() {
            share if share >= 1.0 => share - self.burst(),
            share => share * RANDOM_FRACTION,
        }
    }

    /// Counts an ordinary request; `entries` is the number of instances, 0 while it is unknown.
    pub fn earn(&mut self, now: Instant, instances: u32) {
        self.advance(now, instances);
        let earned = self.config.ratio * EARNED_FRACTION;
        self.tokens = (self.tokens + earned).min(self.burst().max(1.0));
    }

    fn advance(&mut self, now: Instant, instances: u32) {
        let is_stale = now.saturating_duration_since(self.instances_updated) >= SHRINK_DELAY;
        if instances >= self.instances || (is_stale && instances > 0) {
            (self.instances, self.instances_updated) = (instances, now);
        }
        let elapsed = now.saturating_duration_since(self.refilled);
        let windows = elapsed.as_secs_f64() / self.config.window.as_secs_f64();
        // What requests earned beyond the burst stays; time alone fills no further than it.
        let room = (self.burst() - self.tokens).max(0.0);
        self.tokens += (self.refill() * windows).min(room);
        self.refilled = now;
    }

    /// Takes one repeat and tells whether there was one; `draw` is a random number below 1.
    pub fn spend(&mut self, now: Instant, instances: u32, chance: RetryChance, draw: f64) -> bool {
        self.advance(now, instances);
        let min_tokens = match chance {
            RetryChance::High => 1.0,
            // Half is kept for those that another endpoint mends.
            RetryChance::Low => (self.burst() / 2.0).max(1.0),
        };
        if self.tokens >= min_tokens {
            self.tokens -= 1.0;
            return true;
        }
        if self.share() >= 1.0 || chance == RetryChance::Low {
            return false;
        }
        draw < std::mem::take(&mut self.tokens)
    }
}

/// Returns the wait before a retry, counted from 1, drawn evenly up to the doubled limit.
pub fn backoff(retry: u32, rng: &mut impl Rng) -> Duration {
    if retry <= 1 {
        return Duration::ZERO;
    }
    let factor = 1u32 << (retry - 2).min(16);
    let limit = (INITIAL_BACKOFF * factor).min(MAX_BACKOFF);
    limit.mul_f64(rng.random_range(0.5..=1.0))
}
