//! Requests of all tiers that wait for one pool of endpoints, and what is known of their flow.

use std::time::Duration;
use std::time::Instant;

use crate::admission;
use crate::admission::Backlog;
use crate::admission::Rate;
use crate::balancer::Capacity;
use crate::fairness::Refusals;
use crate::queue::MINIMUM_SHARE;
use crate::queue::MinimumShare;
use crate::queue::Queue;
use crate::queue::TIERS;

/// Times the average slot time below which a deadline counts as tight.
///
/// Requests with more time than that can wait until a slot is released.
const TIGHT_DEADLINE_FACTOR: f64 = 2.0;

/// Share of the own part of the slots that each tier and those below it may use.
///
/// Entries do not see each other's queues. One with a higher tier waiting takes more than its
/// part, and one with only low tiers leaves it room.
const OWN_SHARE_FACTOR: [f64; TIERS] = [1.0, 1.1, 1.05, 1.0, 0.95];

/// Part of the slots left by higher tiers above which entries keep to their parts.
const DIVISION_LOAD: f64 = 0.7;

/// Standard deviations of the work of higher tiers that are kept free.
const RESERVED_DEVIATIONS: f64 = 2.0;

/// Weight of a new sample in averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Requests that wait for one pool.
pub struct PoolQueue {
    /// Queues by tier.
    pub queues: [Queue; TIERS],
    /// Slot time that arrives, refused requests included.
    arriving_work: [Rate; TIERS],
    /// Requests that start.
    start_rates: [Rate; TIERS],
    /// Recent refusals by tier.
    pub refusals: [Refusals; TIERS],
    /// Turns that low tiers have earned.
    pub share: MinimumShare,
    /// Average slot time of a request in seconds.
    pub average_cost: f64,
    /// Own requests that run, by tier.
    pub running: [u32; TIERS],
    /// Own requests of a tier and those below it that may run.
    running_limits: [f64; TIERS],
    /// Average time from arrival to deadline in seconds.
    pub average_slack: [f64; TIERS],
}

impl Default for PoolQueue {
    fn default() -> Self {
        Self {
            queues: Default::default(),
            arriving_work: [Rate::new(admission::ARRIVAL_WINDOW_SECONDS); TIERS],
            start_rates: [Rate::new(admission::START_WINDOW_SECONDS); TIERS],
            refusals: Default::default(),
            share: MinimumShare::default(),
            average_cost: 0.0,
            running: [0; TIERS],
            running_limits: [0.0; TIERS],
            average_slack: [0.0; TIERS],
        }
    }
}

impl PoolQueue {
    /// Tells whether one more request of the tier stays within the limit of its own and lower tiers.
    pub fn has_room(&self, tier: usize) -> bool {
        (0..=tier).all(|t| {
            let running: u32 = self.running[t..].iter().sum();
            f64::from(running) + 0.5 < self.running_limits[t]
        })
    }

    /// Tells which tiers have requests waiting.
    pub fn waiting_tiers(&self) -> [bool; TIERS] {
        std::array::from_fn(|tier| !self.queues[tier].is_empty())
    }

    /// Counts an arrival with its slot time and the time to its deadline.
    ///
    /// Refused work counts as well: otherwise refusals would shrink what is kept free for it.
    pub fn record_arrival(&mut self, now: Instant, tier: usize, cost: f64, slack: Duration) {
        self.arriving_work[tier].add(now, cost);
        update_average(&mut self.average_slack[tier], slack.as_secs_f64());
    }

    /// Counts the start of a request that no longer waits.
    pub fn record_start(&mut self, now: Instant, tier: usize, cost: f64) {
        update_average(&mut self.average_cost, cost);
        self.running[tier] += 1;
        self.start_rates[tier].add(now, 1.0);
        let waits = self.waiting_tiers();
        self.share.record_dispatch(tier, cost, waits);
    }

    /// Returns what a request waits for that has `same` requests of its tier before it.
    pub fn backlog(&self, now: Instant, tier: usize, same: f64, own: u32) -> Backlog {
        let higher: usize = self.queues[..tier].iter().map(Queue::len).sum();
        let starts = self.start_rates.map(|s| s.rate(now));
        // More starts than releases were only possible while slots were free.
        let releases = f64::from(own) / self.average_cost.max(1e-3);
        let scale = (releases / starts.iter().sum::<f64>().max(1e-3)).min(1.0);
        Backlog {
            requests_ahead: higher as f64 + same,
            starts_per_second: starts[tier..].iter().sum::<f64>() * scale,
        }
    }

    /// Sets how many requests of each tier and those below it this entry may have running.
    ///
    /// Requests of low tiers hold their slots for long, so slots that higher tiers with tight
    /// deadlines are about to need are kept free: the mean of their arriving work plus
    /// `RESERVED_DEVIATIONS` standard deviations.
    pub fn set_limits(&mut self, now: Instant, capacity: &Capacity) {
        let mut higher = 0.0;
        self.running_limits[0] = f64::INFINITY;
        for (tier, own_share_factor) in OWN_SHARE_FACTOR.iter().enumerate().skip(1) {
            if self.average_slack[tier - 1] < self.average_cost * TIGHT_DEADLINE_FACTOR {
                higher += self.arriving_work[tier - 1].rate(now) * capacity.instance_count;
            }
            let reserve = higher + RESERVED_DEVIATIONS * higher.sqrt();
            let least = capacity.slots * MINIMUM_SHARE;
            let slots = (capacity.slots - reserve).max(least);
            // While slots are left free, an entry may go beyond its part.
            let free = slots * DIVISION_LOAD - (capacity.in_flight - higher).max(0.0);
            let running: u32 = self.running[tier..].iter().sum();
            let claim = f64::from(running) + free / capacity.instance_count;
            let own_slots = slots * capacity.own_share * own_share_factor;
            self.running_limits[tier] = if free > 0.0 {
                own_slots.max(claim)
            } else {
                own_slots
            }
            .max(1.0);
        }
    }
}

/// Takes a sample into an average, of which zero means that there is none yet.
fn update_average(mean: &mut f64, sample: f64) {
    let weight = if *mean == 0.0 { 1.0 } else { SAMPLE_WEIGHT };
    *mean += (sample - *mean) * weight;
}
