//! Even load over engines of unequal speed, among many instances that know the same old news.
//!
//! Job: every report of an engine's load is a little old, and all instances that rank by the same news choose
//! the same engines at the same moment, which are overrun in turns while others idle. Each request considers a
//! few engines, drawn at random in proportion to what they can do, and takes the best of them; the share of an
//! engine in all draws is then never far from its share of the work, whatever the news says.
//!
//! Inputs: slots and speed of each engine, the requests known to be there, the age of that knowledge, a random
//! number of the request. Outputs: the engines that the request considers ([`Sample`]), the delay that an
//! engine's load causes ([`load_delay_ms`]).
//!
//! The part does no I/O. It depends on [`crate::affinity`] only; [`crate::fleet`] depends on it
//! (`docs/design/even-load.md`).

use std::time::Duration;

use crate::affinity;

/// How the endpoints of a service are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Balance {
    /// By what this instance knows of each endpoint, all of which it considers.
    Usual,
    /// By utilization relative to the endpoint's speed, among a few endpoints drawn at random.
    Even,
}

/// Number of endpoints that a request considers.
///
/// With one, a request that draws a busy one waits; with more than two, all instances find the same best ones
/// again (`docs/design/even-load.md`).
pub const SAMPLE_SIZE: usize = 2;

/// Delay that a fully used endpoint adds to a request, in milliseconds.
const FULL_LOAD_DELAY_MS: f64 = 400.0;

/// Delay that each request beyond the slots adds at an endpoint of usual speed, in milliseconds.
const QUEUED_REQUEST_DELAY_MS: f64 = 25.0;

/// Delay by which an endpoint outside the sample must be better than all in it, in milliseconds; a queue, a
/// failure or a prompt that must be read again are worse than this.
pub const UNSAMPLED_PENALTY_MS: f64 = 250.0;

/// The endpoints that one request considers.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Keys and hashes, the lowest key first.
    drawn: [(f64, u64); SAMPLE_SIZE],
}

impl Sample {
    /// Draws endpoints by their hashes, each with a probability in proportion to its weight.
    ///
    /// The draw depends on `seed` alone, which is a random number of the request.
    pub fn draw(seed: u64, endpoints: impl Iterator<Item = (u64, f64)>) -> Self {
        let mut drawn = [(f64::INFINITY, 0); SAMPLE_SIZE];
        for (hash, weight) in endpoints {
            // The lowest of exponentially distributed keys belong to a sample with these weights.
            let uniform = (affinity::mix(seed, hash) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            let mut entry = (-uniform.ln() / weight.max(f64::MIN_POSITIVE), hash);
            for slot in &mut drawn {
                if entry.0 < slot.0 {
                    std::mem::swap(slot, &mut entry);
                }
            }
        }
        Self { drawn }
    }

    /// Returns whether the request considers the endpoint.
    pub fn contains(&self, hash: u64) -> bool {
        self.drawn
            .iter()
            .any(|(key, drawn)| key.is_finite() && *drawn == hash)
    }
}

/// Returns the delay, in milliseconds, that the requests at an endpoint cause.
///
/// `factor` is the time that work takes there relative to the service's usual. The delay grows with the square of
/// the utilization, since an engine with many requests is usually one that reads prompts without pause, and
/// further with each request beyond the slots, which waits for another to end.
pub fn load_delay_ms(requests: f64, slots: u32, factor: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    let utilization = utilization(requests, slots, factor);
    let queued = (requests - slots).max(0.0);
    FULL_LOAD_DELAY_MS * utilization * utilization + QUEUED_REQUEST_DELAY_MS * queued * factor
}

/// Returns the share of an endpoint's capacity that requests take, by its slots and its speed.
pub fn utilization(requests: f64, slots: f64, factor: f64) -> f64 {
    requests.max(0.0) * factor / slots.max(1.0)
}

/// Time in which the requests at an endpoint become others: what is known of them says nothing after that.
const CHANGE_TIME: Duration = Duration::from_secs(1);

/// Age of the load of all instances at its arrival: one poll of each instance and one of this one.
const NEWS_AGE: Duration = Duration::from_millis(300);

/// Returns the number of requests at an endpoint, given those that this instance knows of from itself and the
/// endpoint, and those of all instances by news that arrived `age` ago.
///
/// News that all instances share moves all of them at once, so the older it is the less it counts against what
/// this one knows alone.
pub fn estimated_requests(local: f64, all: f64, age: Duration) -> f64 {
    let age = (age + NEWS_AGE).as_secs_f64();
    let weight = (-age / CHANGE_TIME.as_secs_f64()).exp();
    local + (all - local).max(0.0) * weight
}

/// Returns the prompt tokens that remain to be read of those that were reported `age` ago.
pub fn remaining_tokens(tokens: f64, age: Duration, rate: f64) -> f64 {
    (tokens - age.as_secs_f64() * 1_000.0 * rate).max(0.0)
}
