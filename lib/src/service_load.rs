//! Load per service and backlog per engine, summed over all instances.
//!
//! An instance sees only its own requests. It reports their load to the leader with its polls and
//! receives the sum over all instances. The sum lets all instances agree on how many endpoints are
//! needed and how they are divided, and avoid engines that are busy with requests of other
//! instances. The sum is about half a second old.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::line::portion::KindLoad;
use crate::line::portion::KindLoads;
use crate::route_table::URGENCY_LEVELS;

/// Prompt tokens from which a request counts as long. Engines commonly prefill in chunks of 4,096
/// tokens, and each chunk delays the output tokens of all other requests on the engine.
pub const LONG_PROMPT_TOKENS: u32 = 4_000;

/// Prefill rate in tokens per millisecond that is assumed before one was observed; typical of large
/// models.
pub const DEFAULT_PREFILL_RATE: f64 = 50.0;

/// Time constant of the exponential decay of a rate.
pub const DECAY_TIME: Duration = Duration::from_secs(2);

/// Age from which the report of an instance is ignored; several poll intervals.
pub const REPORT_EXPIRY: Duration = Duration::from_secs(3);

/// Load on one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Prompt tokens to prefill per second, of requests with long prompts.
    pub long: f64,
    /// Prompt tokens to prefill per second, of all other requests.
    pub short: f64,
    /// Number of requests at endpoints.
    pub calls: f64,
    /// Observed prefill rate of an engine in tokens per millisecond, or 0 if none was observed.
    pub rate: f64,
}

/// Largest value of a reported load; no instance reaches it, and sums of it remain finite.
const MAX_LOAD: f64 = 1e12;

fn bounded(value: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, MAX_LOAD),
    }
}

impl ServiceLoad {
    /// Returns the load with each value in its range, since one wrong report would spoil every sum.
    fn bounded(self) -> Self {
        Self {
            long: bounded(self.long),
            short: bounded(self.short),
            calls: bounded(self.calls),
            rate: bounded(self.rate),
        }
    }

    /// Adds the load from another instance.
    ///
    /// Prefill rates are averaged with tokens as weights, so that a wrong rate at a single instance
    /// does not decide how many endpoints are needed.
    fn add(&mut self, other: &Self) {
        let observed_tokens = |load: &Self| match load.rate > 0.0 {
            true => load.long + load.short,
            false => 0.0,
        };
        let (own_tokens, other_tokens) = (observed_tokens(self), observed_tokens(other));
        self.rate = match own_tokens + other_tokens > 0.0 {
            true => {
                (self.rate * own_tokens + other.rate * other_tokens) / (own_tokens + other_tokens)
            }
            false => self.rate.max(other.rate),
        };
        self.long += other.long;
        self.short += other.short;
        self.calls += other.calls;
    }
}

/// Load by service.
pub type LoadByService = BTreeMap<ServiceId, ServiceLoad>;

/// Maximum number of engines in a report, which keeps those with the most requests; each takes about
/// 14 bytes.
const MAX_ENGINES_PER_REPORT: usize = 128;

/// Requests in flight at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineBacklog {
    /// Number of requests.
    pub calls: u32,
    /// Prompt tokens of these requests that the engine has yet to prefill.
    pub prefill_tokens: u32,
}

/// Backlogs by the hash of the engine's name.
pub type EngineBacklogs = BTreeMap<u64, EngineBacklog>;

/// Load that one instance reports, or the sum over all instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Load by service.
    pub by_service: LoadByService,
    /// Backlogs of engines; only the busiest if there are too many for a report.
    pub engines: EngineBacklogs,
    /// Load by kind of request; empty unless requests wait at the entries (`docs/design/line.md`).
    pub kinds: BTreeMap<ServiceId, KindLoads>,
}

impl LoadSummary {
    fn add(&mut self, other: &Self) {
        for (service, load) in &other.by_service {
            self.by_service
                .entry(service.clone())
                .or_default()
                .add(load);
        }
        for (service, kinds) in &other.kinds {
            let sums = self.kinds.entry(service.clone()).or_default();
            for (kind, load) in kinds {
                sums.entry(*kind).or_default().add(load);
            }
        }
        for (engine, backlog) in &other.engines {
            let sum = self.engines.entry(*engine).or_default();
            sum.calls = sum.calls.saturating_add(backlog.calls);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(backlog.prefill_tokens);
        }
    }

    /// Drops kinds that do not exist and bounds the values of the others.
    fn bound(&mut self) {
        for load in self.by_service.values_mut() {
            *load = load.bounded();
        }
        for kinds in self.kinds.values_mut() {
            kinds.retain(|kind, _| kind.urgency < URGENCY_LEVELS);
            for load in kinds.values_mut() {
                *load = KindLoad {
                    read: bounded(load.read),
                    slots: bounded(load.slots),
                };
            }
        }
    }

    fn truncate(&mut self) {
        if self.engines.len() > MAX_ENGINES_PER_REPORT {
            let mut busiest: Vec<_> = std::mem::take(&mut self.engines).into_iter().collect();
            busiest.sort_unstable_by_key(|(_, backlog)| {
                std::cmp::Reverse((backlog.calls, backlog.prefill_tokens))
            });
            busiest.truncate(MAX_ENGINES_PER_REPORT);
            self.engines = busiest.into_iter().collect();
        }
    }
}

/// Exponentially decaying rate, in tokens per second.
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
        self.value = self.get(now) + tokens / DECAY_TIME.as_secs_f64();
        self.at = now;
    }

    /// Returns the rate now.
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Reports of all instances, kept by the leader.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    reports: BTreeMap<InstanceId, (Instant, LoadSummary)>,
}

impl LoadAggregator {
    /// Replaces the report of an instance.
    pub fn set(&mut self, now: Instant, instance: &InstanceId, mut report: LoadSummary) {
        report.bound();
        self.reports.insert(instance.clone(), (now, report));
    }

    /// Removes expired reports and returns the sum of the others.
    pub fn sum(&mut self, now: Instant) -> LoadSummary {
        self.reports
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < REPORT_EXPIRY);
        let mut sum = LoadSummary::default();
        for (_, report) in self.reports.values() {
            sum.add(report);
        }
        sum.truncate();
        sum
    }
}
