//! How much work callers ask of each service, and what waits at each engine, added up over all instances.
//!
//! An instance sees its own requests only. Each tells the leader its part with its polls and gets
//! the sum back, so that all agree on how endpoints are divided and how many are needed, and none sends
//! more to an engine that is busy with the requests of others. The sum is half a second old.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::InstanceId;
use crate::ids::ServiceId;

/// Prompt tokens from which a request is long: engines commonly read prompts in chunks of 4,096
/// tokens, and each chunk delays the tokens of every request beside it.
pub const LONG_PROMPT_TOKENS: u32 = 4_000;

/// Prompt tokens that an engine reads in a millisecond, until it was observed; a usual figure for
/// large models.
pub const DEFAULT_READ_RATE: f64 = 50.0;

/// Time in which the memory of past requests fades to a part of 1/e.
const FADE: Duration = Duration::from_secs(2);

/// Age from which the part of an instance no longer counts; several polls.
const STALE: Duration = Duration::from_secs(3);

/// Work asked of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Unread prompt tokens a second of requests with long prompts.
    pub long: f64,
    /// Unread prompt tokens a second of all other requests.
    pub short: f64,
    /// Requests at endpoints.
    pub calls: f64,
    /// Prompt tokens that an engine was seen to read in a millisecond, 0 where none was seen.
    pub rate: f64,
}

impl Work {
    /// Adds the part of an instance; the rate is the mean by tokens, so that no single instance decides
    /// how many endpoints are needed.
    fn add(&mut self, other: &Self) {
        let seen = |work: &Self| match work.rate > 0.0 {
            true => work.long + work.short,
            false => 0.0,
        };
        let (own, more) = (seen(self), seen(other));
        self.rate = match own + more > 0.0 {
            true => (self.rate * own + other.rate * more) / (own + more),
            false => self.rate.max(other.rate),
        };
        self.long += other.long;
        self.short += other.short;
        self.calls += other.calls;
    }
}

/// Work by service.
pub type WorkByService = BTreeMap<ServiceId, Work>;

/// Engines in a message at most, those with the most requests; each takes about 14 bytes.
const MAX_ENGINES: usize = 128;

/// Requests that are at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineBacklog {
    /// Requests.
    pub calls: u32,
    /// Prompt tokens that it has still to read for them.
    pub unread: u32,
}

/// Requests at engines, by the hash of an engine's name.
pub type EngineBacklogs = BTreeMap<u64, EngineBacklog>;

/// What one instance tells about its callers' requests, or the sum over all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Work by service.
    pub by_service: WorkByService,
    /// Requests at engines, the busiest ones if there are too many.
    pub engines: EngineBacklogs,
}

impl WorkReport {
    fn add(&mut self, other: &Self) {
        for (service, work) in &other.by_service {
            self.by_service
                .entry(service.clone())
                .or_default()
                .add(work);
        }
        for (engine, more) in &other.engines {
            let sum = self.engines.entry(*engine).or_default();
            sum.calls = sum.calls.saturating_add(more.calls);
            sum.unread = sum.unread.saturating_add(more.unread);
        }
    }

    fn bound(&mut self) {
        if self.engines.len() > MAX_ENGINES {
            let mut busy: Vec<_> = std::mem::take(&mut self.engines).into_iter().collect();
            busy.sort_unstable_by_key(|(_, at)| std::cmp::Reverse((at.calls, at.unread)));
            busy.truncate(MAX_ENGINES);
            self.engines = busy.into_iter().collect();
        }
    }
}

/// Tokens a second, from single requests.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    value: f64,
    at: Instant,
}

impl Rate {
    /// Creates a rate of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    /// Adds the tokens of a request.
    pub fn add(&mut self, now: Instant, tokens: f64) {
        self.value = self.get(now) + tokens / FADE.as_secs_f64();
        self.at = now;
    }

    /// Returns the rate now.
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / FADE.as_secs_f64()).exp()
    }
}

/// The parts of all instances, at the leader.
#[derive(Debug, Default)]
pub struct WorkSum {
    parts: BTreeMap<InstanceId, (Instant, WorkReport)>,
}

impl WorkSum {
    /// Takes over the part of an instance.
    pub fn set(&mut self, now: Instant, instance: &InstanceId, told: WorkReport) {
        self.parts.insert(instance.clone(), (now, told));
    }

    /// Returns the sum of the parts that are not stale, which are forgotten.
    pub fn sum(&mut self, now: Instant) -> WorkReport {
        self.parts
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < STALE);
        let mut sum = WorkReport::default();
        for (_, told) in self.parts.values() {
            sum.add(told);
        }
        sum.bound();
        sum
    }
}
