//! The estimate of each engine's pace, from the streams of all instances.
//!
//! It answers engines of unstated, unequal speed: with one rate for all, half of the requests go to engines on
//! which long responses miss their deadlines, while engines of twice the speed have room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceId;

use super::report::PaceKey;
use super::report::PaceReport;
use super::report::PaceSum;

/// Time constant of the exponential decay of an instance's sums. A large fleet sees hundreds of events of each
/// engine in this time, and an engine that was replaced or turned slow is known again after it.
const MEMORY: Duration = Duration::from_secs(20);

/// Weight of the assumption that an engine is as quick as the others, in events.
const PRIOR_EVENTS: f64 = 30.0;

/// Number of events from which the time of an engine's events is certain enough to refuse a request.
const CERTAIN_EVENTS: u32 = 200;

/// Bounds of the factor on the time of work, so that no sample takes an engine out of use.
const FACTOR_BOUNDS: std::ops::RangeInclusive<f64> = 0.2..=5.0;

/// Half-life of a stated pace, which changes several times a second.
const STATED_HALF_LIFE: Duration = Duration::from_millis(300);

/// Age from which a stated pace says nothing.
const STATED_EXPIRY: Duration = Duration::from_secs(1);

/// A pace that an endpoint stated in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedPace {
    /// Time that work takes at the endpoint, in percent of its usual time.
    percent: u32,
    /// When the response arrived.
    at: Instant,
}

impl StatedPace {
    /// Creates a pace stated in a response that arrived at `now`.
    pub fn new(now: Instant, percent: u32) -> Self {
        Self { percent, at: now }
    }

    /// Returns the factor on the usual time of work; it returns to 1 within a second.
    pub fn factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        if age >= STATED_EXPIRY.as_secs_f64() {
            return 1.0;
        }
        let weight = 0.5_f64.powf(age / STATED_HALF_LIFE.as_secs_f64());
        let stated =
            (f64::from(self.percent) / 100.0).clamp(*FACTOR_BOUNDS.start(), *FACTOR_BOUNDS.end());
        1.0 + (stated - 1.0) * weight
    }
}

/// Decaying sums of one engine, as seen by this instance.
#[derive(Clone, Copy, Debug)]
struct OwnSum {
    events: f64,
    time_ms: f64,
    at: Instant,
}

impl OwnSum {
    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let keep = (-age / MEMORY.as_secs_f64()).exp();
        self.events *= keep;
        self.time_ms *= keep;
        self.at = now;
    }
}

/// Time of an engine's events, and its factor on the usual time of work.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pace {
    event_ms: f64,
    factor: f64,
    is_certain: bool,
}

/// The pace of all engines, as known to this instance.
#[derive(Debug, Default)]
pub struct PaceTable {
    /// Services of which an endpoint stated a pace, here or elsewhere.
    services: BTreeSet<ServiceId>,
    /// Services of which an endpoint stated a pace in a response to this instance.
    stated: BTreeSet<ServiceId>,
    own: BTreeMap<PaceKey, OwnSum>,
    paces: BTreeMap<PaceKey, Pace>,
}

impl PaceTable {
    /// Returns whether an endpoint of the service has stated a pace to any instance.
    pub fn is_paced(&self, service: &ServiceId) -> bool {
        !self.services.is_empty() && self.services.contains(service)
    }

    /// Records that an endpoint of the service stated a pace.
    pub fn record_stated(&mut self, service: &ServiceId) {
        if !self.stated.contains(service) {
            self.stated.insert(service.clone());
            self.services.insert(service.clone());
        }
    }

    /// Records events of a stream and the time between them.
    pub fn record(&mut self, now: Instant, engine: PaceKey, sample: PaceSum) {
        if sample.events == 0 {
            return;
        }
        let sum = self.own.entry(engine).or_insert(OwnSum {
            events: 0.0,
            time_ms: 0.0,
            at: now,
        });
        sum.decay(now);
        sum.events += f64::from(sample.events);
        sum.time_ms += f64::from(sample.time_ms);
    }

    /// Forgets an engine that has ended; one of the same name is learned from the start.
    pub fn forget(&mut self, engine: PaceKey) {
        self.own.remove(&engine);
        self.paces.remove(&engine);
    }

    /// Returns what this instance has seen, to report it to the others.
    pub fn report(&mut self, now: Instant) -> PaceReport {
        if self.stated.is_empty() && self.services.is_empty() {
            return PaceReport::default();
        }
        self.own.retain(|_, sum| {
            sum.decay(now);
            sum.events >= 0.5
        });
        let round = |value: f64| value.round() as u32;
        let engines = self.own.iter().map(|(engine, sum)| {
            let sum = PaceSum {
                events: round(sum.events),
                time_ms: round(sum.time_ms),
            };
            (*engine, sum)
        });
        let mut report = PaceReport {
            services: self.stated.clone(),
            engines: engines.collect(),
        };
        report.truncate();
        report
    }

    /// Applies the sums of all instances, and estimates the pace of a service's engines from them.
    ///
    /// The speeds of a service's engines have the mean 1, so that their slots times their speeds sum up to their
    /// slots. All instances compute the same from the same sums.
    pub fn apply(&mut self, total: &PaceReport, services: &[(ServiceId, Vec<PaceKey>)]) {
        self.services = total.services.union(&self.stated).cloned().collect();
        self.paces.clear();
        for (service, engines) in services {
            if self.is_paced(service) {
                self.estimate(total, engines);
            }
        }
    }

    fn estimate(&mut self, total: &PaceReport, engines: &[PaceKey]) {
        let sums = engines.iter().filter_map(|engine| {
            let sum = total.engines.get(engine).filter(|sum| sum.events > 0)?;
            Some((*engine, *sum))
        });
        let sums: Vec<_> = sums.collect();
        let speed = |sum: &PaceSum| f64::from(sum.events) / f64::from(sum.time_ms.max(1));
        let count = sums.len() as f64;
        let mean_speed = sums.iter().map(|(_, sum)| speed(sum)).sum::<f64>() / count;
        let usual_ms = 1.0 / mean_speed;
        if !usual_ms.is_finite() {
            return;
        }
        // A few events say little about an engine, so it is assumed to be close to the others.
        let shrunk = |sum: &PaceSum| {
            (f64::from(sum.time_ms) + PRIOR_EVENTS * usual_ms)
                / (f64::from(sum.events) + PRIOR_EVENTS)
        };
        let mean_speed = sums.iter().map(|(_, sum)| 1.0 / shrunk(sum)).sum::<f64>() / count;
        for (engine, sum) in sums {
            let event_ms = shrunk(&sum);
            let factor =
                (event_ms * mean_speed).clamp(*FACTOR_BOUNDS.start(), *FACTOR_BOUNDS.end());
            let pace = Pace {
                event_ms,
                factor,
                is_certain: sum.events >= CERTAIN_EVENTS,
            };
            self.paces.insert(engine, pace);
        }
    }

    /// Returns the factor on the usual time of work at an engine, 1 if nothing is known about it.
    pub fn factor(&self, engine: PaceKey) -> f64 {
        self.paces.get(&engine).map_or(1.0, |pace| pace.factor)
    }

    /// Returns the expected milliseconds between two events of an engine's stream, and whether enough were seen
    /// to refuse a request by them.
    pub fn event_time(&self, engine: PaceKey) -> Option<(f64, bool)> {
        let pace = self.paces.get(&engine)?;
        Some((pace.event_ms, pace.is_certain))
    }
}
