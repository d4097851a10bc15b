//! Requests of all tiers that wait for one endpoint pool, with their arrival and start rates.

use std::time::Duration;
use std::time::Instant;

use crate::admission;
use crate::admission::Backlog;
use crate::admission::Rate;
use crate::balancer::Capacity;
use crate::queue::MINIMUM_SHARE;
use crate::queue::MinimumShare;
use crate::queue::Queue;
use crate::queue::TIERS;

/// Multiple of the average slot time up to which the time to a deadline is tight.
///
/// Requests with more time can wait until a slot is released, so no slots are reserved for them.
const TIGHT_DEADLINE_FACTOR: f64 = 2.0;

/// Fraction of the slots not reserved for higher tiers, above which instances use no more slots
/// than they are assigned.
const DIVISION_LOAD: f64 = 0.7;

/// Number of standard deviations of higher-tier work that are reserved in addition to its mean.
const RESERVED_DEVIATIONS: f64 = 2.0;

/// Weight of a new sample in moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Queues of one endpoint pool, and the state from which its limits are computed.
pub struct PoolQueue {
    /// Queues by tier.
    pub queues: [Queue; TIERS],
    /// Slot time of arriving requests by tier, including refused ones.
    arriving_work: [Rate; TIERS],
    /// Started requests by tier.
    start_rates: [Rate; TIERS],
    /// Credit of low tiers towards their minimum share.
    pub share: MinimumShare,
    /// Average slot time of a request in seconds.
    pub average_cost: f64,
    /// Number of own running requests by tier.
    pub running: [u32; TIERS],
    /// Limit of own running requests of each tier together with lower ones.
    running_limits: [f64; TIERS],
    /// Average time from arrival to deadline in seconds, by tier.
    average_slack: [f64; TIERS],
}

impl Default for PoolQueue {
    fn default() -> Self {
        Self {
            queues: Default::default(),
            arriving_work: [Rate::new(admission::ARRIVAL_WINDOW_SECONDS); TIERS],
            start_rates: [Rate::new(admission::START_WINDOW_SECONDS); TIERS],
            share: MinimumShare::default(),
            average_cost: 0.0,
            running: [0; TIERS],
            running_limits: [0.0; TIERS],
            average_slack: [0.0; TIERS],
        }
    }
}

impl PoolQueue {
    /// Returns whether one more request of a tier stays within its limit and those of higher tiers.
    pub fn has_room(&self, tier: usize) -> bool {
        (0..=tier).all(|t| {
            let running: u32 = self.running[t..].iter().sum();
            f64::from(running) + 0.5 < self.running_limits[t]
        })
    }

    /// Returns for each tier whether it has waiting requests.
    pub fn waiting_tiers(&self) -> [bool; TIERS] {
        std::array::from_fn(|tier| !self.queues[tier].is_empty())
    }

    /// Records the arrival of a request with its slot time and its time to the deadline.
    ///
    /// Requests that are refused later count as well. Otherwise refusals would reduce the slots
    /// reserved for their tier.
    pub fn record_arrival(&mut self, now: Instant, tier: usize, cost: f64, slack: Duration) {
        self.arriving_work[tier].add(now, cost);
        update_average(&mut self.average_slack[tier], slack.as_secs_f64());
    }

    /// Records the start of a request that was already removed from its queue.
    pub fn record_start(&mut self, now: Instant, tier: usize, cost: f64) {
        update_average(&mut self.average_cost, cost);
        self.running[tier] += 1;
        self.start_rates[tier].add(now, 1.0);
        let waits = self.waiting_tiers();
        self.share.record_dispatch(tier, cost, waits);
    }

    /// Returns the backlog before a request that has `same` requests of its own tier before it.
    ///
    /// `own` is the number of own requests in flight on the endpoints of the pool.
    pub fn backlog(&self, now: Instant, tier: usize, same: f64, own: u32) -> Backlog {
        let higher: usize = self.queues[..tier].iter().map(Queue::len).sum();
        let starts = self.start_rates.map(|s| s.rate(now));
        // Requests can start faster than slots are released only while slots are free, so the rate
        // of starts is limited to that of releases.
        let releases = f64::from(own) / self.average_cost.max(1e-3);
        let scale = (releases / starts.iter().sum::<f64>().max(1e-3)).min(1.0);
        Backlog {
            requests_ahead: higher as f64 + same,
            starts_per_second: starts[tier..].iter().sum::<f64>() * scale,
        }
    }

    /// Updates the limits of running requests of each tier together with lower ones.
    ///
    /// Requests of low tiers occupy their slots for a long time, so slots are reserved for higher
    /// tiers with tight deadlines: the mean of their arriving work plus
    /// `RESERVED_DEVIATIONS` standard deviations.
    pub fn set_limits(&mut self, now: Instant, capacity: &Capacity) {
        let mut higher = 0.0;
        self.running_limits[0] = f64::INFINITY;
        for tier in 1..TIERS {
            if self.average_slack[tier - 1] < self.average_cost * TIGHT_DEADLINE_FACTOR {
                higher += self.arriving_work[tier - 1].rate(now) * capacity.instance_count;
            }
            let reserve = higher + RESERVED_DEVIATIONS * higher.sqrt();
            let least = capacity.slots * MINIMUM_SHARE;
            let slots = (capacity.slots - reserve).max(least);
            // While slots are free, an instance may use more of them than it is assigned.
            let free = slots * DIVISION_LOAD - (capacity.in_flight - higher).max(0.0);
            let running: u32 = self.running[tier..].iter().sum();
            let claim = f64::from(running) + free / capacity.instance_count;
            let own_slots = slots * capacity.own_share;
            self.running_limits[tier] = if free > 0.0 {
                own_slots.max(claim)
            } else {
                own_slots
            }
            .max(1.0);
        }
    }
}

/// Adds a sample to a moving average, where zero means that there is no sample yet.
fn update_average(mean: &mut f64, sample: f64) {
    let weight = if *mean == 0.0 { 1.0 } else { SAMPLE_WEIGHT };
    *mean += (sample - *mean) * weight;
}
