//! Retry budgets and jittered backoff.
//!
//! A budget is a token bucket filled in proportion to ordinary requests, so that retries cannot
//! multiply the load when many endpoints fail at once. [`RetryBudget`] limits the retries of one
//! instance, [`SharedBudget`] its share of a limit over all instances.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

/// Number of retries earned by one ordinary request.
pub const DEFAULT_RETRY_RATIO: f64 = 0.2;

/// Number of retries that may be saved up.
///
/// It lets a small instance retry all requests of one crashed endpoint.
pub const DEFAULT_RETRY_BURST: f64 = 20.0;

/// Upper limit of the backoff before the second retry.
///
/// The first retry is immediate because it goes to another endpoint.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Upper limit of any backoff.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The retry budget of one instance.
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

    /// Takes one retry from the budget and returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Limits on the retries that all instances together may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudgetConfig {
    /// Retries for each ordinary request.
    pub ratio: f64,
    /// Further retries in any window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Number of instances assumed until it is known: the target size of a fleet.
const ASSUMED_INSTANCES: u32 = 1_300;

/// Fraction of the earned retries that may be spent.
///
/// The rest covers requests that are retried in the window after the one in which they were counted.
const EARNED_FRACTION: f64 = 0.5;

/// Fraction of a share below one retry that an instance holds at most and regains in a window.
///
/// Such a fraction of a retry is spent with the probability that it stands for. The sum over many
/// instances is then near its mean, which leaves half of the bound as a margin.
const RANDOM_FRACTION: f64 = 0.25;

/// Delay before a smaller number of instances takes effect.
///
/// Instances that are cut off from the others still spend the share of the larger fleet.
const SHRINK_DELAY: Duration = Duration::from_secs(60);

/// Chance that a retry on another endpoint succeeds, judged by how the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryChance {
    /// The endpoint refused, closed the connection or timed out, which another one rarely does as well.
    High,
    /// The endpoint answered with an error, which is mostly caused by the request itself.
    Low,
}

/// The share of one instance in a retry budget of all instances, kept without coordination.
///
/// The share is the slack divided by the number of instances. Besides what its own requests earn, an
/// instance spends in any window at most what it held at the start and what was refilled in the
/// window, which together are at most its share. The sum therefore stays below the bound even if all
/// instances spend at once. A share of at least one holds a whole retry.
#[derive(Clone, Copy, Debug)]
pub struct SharedBudget {
    config: SharedBudgetConfig,
    /// The number of instances, 0 while it is unknown.
    instances: u32,
    /// Time at which `instances` was last confirmed.
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

    /// Returns the retries that this instance may spend in a window besides those that it earns.
    fn share(&self) -> f64 {
        let instances = match self.instances {
            0 => ASSUMED_INSTANCES,
            instances => instances,
        };
        self.config.slack / f64::from(instances)
    }

    /// Returns the capacity of the bucket in retries.
    fn burst(&self) -> f64 {
        match self.share() {
            share if share >= 2.0 => share / 2.0,
            share if share >= 1.0 => 1.0,
            share => share * RANDOM_FRACTION,
        }
    }

    /// Returns the retries that are refilled in a window.
    fn refill(&self) -> f64 {
        match self.share() {
            share if share >= 1.0 => share - self.burst(),
            share => share * RANDOM_FRACTION,
        }
    }

    /// Counts an ordinary request; `instances` is 0 while their number is unknown.
    pub fn earn(&mut self, now: Instant, instances: u32) {
        self.advance(now, instances);
        let earned = self.config.ratio * EARNED_FRACTION;
        self.tokens = (self.tokens + earned).min(self.burst().max(1.0));
    }

    /// Refills the bucket up to `now` and updates the number of instances.
    fn advance(&mut self, now: Instant, instances: u32) {
        let is_stale = now.saturating_duration_since(self.instances_updated) >= SHRINK_DELAY;
        if instances >= self.instances || (is_stale && instances > 0) {
            (self.instances, self.instances_updated) = (instances, now);
        }
        let elapsed = now.saturating_duration_since(self.refilled);
        let windows = elapsed.as_secs_f64() / self.config.window.as_secs_f64();
        // Time refills no further than the burst, but what requests earned beyond it is kept.
        let room = (self.burst() - self.tokens).max(0.0);
        self.tokens += (self.refill() * windows).min(room);
        self.refilled = now;
    }

    /// Takes one retry from the budget and returns whether there was one.
    ///
    /// `draw` is a random number from 0 to below 1. A share below one retry is spent at random: the
    /// bucket is emptied, and the retry is granted with the probability of what it held.
    pub fn spend(&mut self, now: Instant, instances: u32, chance: RetryChance, draw: f64) -> bool {
        self.advance(now, instances);
        let min_tokens = match chance {
            RetryChance::High => 1.0,
            // Half is reserved for failures that another endpoint probably does not repeat.
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

    /// Returns a retry that was taken and not sent.
    pub fn give_back(&mut self, now: Instant, instances: u32) {
        self.advance(now, instances);
        self.tokens = (self.tokens + 1.0).min(self.burst().max(1.0));
    }
}

/// Returns the delay before a retry; `retry` counts from 1.
///
/// The limit doubles with each retry from the second up to [`MAX_BACKOFF`]; the delay is drawn
/// uniformly from its upper half.
pub fn backoff(retry: u32, rng: &mut impl Rng) -> Duration {
    if retry <= 1 {
        return Duration::ZERO;
    }
    let factor = 1u32 << (retry - 2).min(16);
    let limit = (INITIAL_BACKOFF * factor).min(MAX_BACKOFF);
    limit.mul_f64(rng.random_range(0.5..=1.0))
}
