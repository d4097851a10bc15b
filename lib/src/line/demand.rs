//! Demand for each kind of request, as this instance observes it.
//!
//! It answers load beyond capacity, in which what runs at engines shows only what they admit: arrivals count
//! as demand when they arrive, and for as long as they wait. What a request will need is learned by kind: the
//! part of its prompt that engines have yet to read, and the time for which it holds a slot if nothing delays
//! it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceId;
use crate::line::portion::Division;
use crate::line::portion::EngineCapacity;
use crate::line::portion::Kind;
use crate::line::portion::KindLoad;
use crate::line::portion::KindLoads;
use crate::service_load::DECAY_TIME;
use crate::service_load::Rate;

/// Weight of a sample of the part of prompts that engines read.
const READ_WEIGHT: f64 = 0.1;

/// Weight of a run that was shorter than the mean, and of one that was longer: the latter are mostly delayed
/// by prompts of others.
const SHORTER_WEIGHT: f64 = 0.1;
const LONGER_WEIGHT: f64 = 0.02;

/// What one request needs from an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens to read.
    pub read: f64,
    /// Time for which it holds a slot if nothing delays it, in seconds.
    pub run: f64,
}

impl Work {
    /// Returns the time that it takes of an engine, in seconds.
    pub fn cost(&self, engine: EngineCapacity) -> f64 {
        self.read / (engine.rate * 1_000.0) + self.run / engine.slots
    }

    /// Returns the time until the first byte if an engine begins at once.
    pub fn read_time(&self, engine: EngineCapacity) -> Duration {
        seconds(self.read / (engine.rate * 1_000.0))
    }

    /// Returns the time until the response is complete if an engine begins at once and nothing delays it.
    pub fn total_time(&self, engine: EngineCapacity) -> Duration {
        self.read_time(engine) + seconds(self.run)
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
}

/// Demand for one kind of request.
#[derive(Debug)]
struct KindDemand {
    read: Rate,
    run: Rate,
    waiting: Work,
    /// Fraction of the prompt that an engine reads.
    read_fraction: f64,
    /// Time for which a request holds a slot, in seconds; `None` until one was observed.
    run_time: Option<f64>,
}

impl KindDemand {
    fn new(now: Instant) -> Self {
        Self {
            read: Rate::new(now),
            run: Rate::new(now),
            waiting: Work::default(),
            read_fraction: 1.0,
            run_time: None,
        }
    }

    fn arrivals(&self, now: Instant) -> KindLoad {
        KindLoad {
            read: self.read.get(now),
            slots: self.run.get(now),
        }
    }

    fn load(&self, now: Instant) -> KindLoad {
        let mut load = self.arrivals(now);
        // What waits is to start within the time over which arrivals are averaged.
        load.add(&KindLoad {
            read: self.waiting.read / DECAY_TIME.as_secs_f64(),
            slots: self.waiting.run / DECAY_TIME.as_secs_f64(),
        });
        load
    }
}

/// Demand for all services, and the divisions of their engines that follow from it.
#[derive(Debug, Default)]
pub struct Demands {
    by_service: BTreeMap<ServiceId, BTreeMap<Kind, KindDemand>>,
    divisions: BTreeMap<ServiceId, Division>,
}

impl Demands {
    fn kind(&mut self, now: Instant, service: &ServiceId, kind: Kind) -> &mut KindDemand {
        let kinds = self.by_service.entry(service.clone()).or_default();
        kinds.entry(kind).or_insert_with(|| KindDemand::new(now))
    }

    /// Returns the expected work of a request.
    pub fn work(&self, service: &ServiceId, kind: Kind, prompt: u32) -> Work {
        let kinds = self.by_service.get(service);
        let known = kinds.and_then(|kinds| kinds.get(&kind));
        Work {
            read: f64::from(prompt) * known.map_or(1.0, |known| known.read_fraction),
            run: known.and_then(|known| known.run_time).unwrap_or(0.0),
        }
    }

    /// Records the arrival of a request.
    pub fn arrive(&mut self, now: Instant, service: &ServiceId, kind: Kind, work: Work) {
        let demand = self.kind(now, service, kind);
        demand.read.add(now, work.read);
        demand.run.add(now, work.run);
    }

    /// Records the work of the requests of a kind that wait.
    pub fn set_waiting(&mut self, now: Instant, service: &ServiceId, kind: Kind, waiting: Work) {
        self.kind(now, service, kind).waiting = waiting;
    }

    /// Records how much of a prompt the chosen engine has to read.
    pub fn record_read(&mut self, now: Instant, service: &ServiceId, kind: Kind, fraction: f64) {
        let demand = self.kind(now, service, kind);
        demand.read_fraction += (fraction.clamp(0.0, 1.0) - demand.read_fraction) * READ_WEIGHT;
    }

    /// Records for how long a request held a slot.
    pub fn record_run(&mut self, now: Instant, service: &ServiceId, kind: Kind, time: Duration) {
        let demand = self.kind(now, service, kind);
        let time = time.as_secs_f64();
        let mean = demand.run_time.get_or_insert(time);
        let weight = match time < *mean {
            true => SHORTER_WEIGHT,
            false => LONGER_WEIGHT,
        };
        *mean += (time - *mean) * weight;
    }

    /// Returns the load of a kind that this instance adds: of arrivals alone, and with what waits.
    pub fn own_load(&self, now: Instant, service: &ServiceId, kind: Kind) -> (KindLoad, KindLoad) {
        let kinds = self.by_service.get(service);
        let known = kinds.and_then(|kinds| kinds.get(&kind));
        known.map_or_else(Default::default, |known| {
            (known.arrivals(now), known.load(now))
        })
    }

    /// Returns the loads of all services, to report them to the other instances.
    pub fn loads(&self, now: Instant) -> BTreeMap<ServiceId, KindLoads> {
        let loads = |kinds: &BTreeMap<Kind, KindDemand>| {
            let loads = kinds.iter().map(|(kind, demand)| (*kind, demand.load(now)));
            loads.collect()
        };
        let services = self.by_service.iter();
        services
            .map(|(service, kinds)| (service.clone(), loads(kinds)))
            .collect()
    }

    /// Returns the prompt tokens to read per second of all arrivals by service, those of long prompts first.
    pub fn arriving_tokens(&self, now: Instant) -> impl Iterator<Item = (&ServiceId, f64, f64)> {
        self.by_service.iter().map(move |(service, kinds)| {
            let tokens = |is_long| {
                let kinds = kinds.iter().filter(|(kind, _)| kind.is_long == is_long);
                kinds.map(|(_, demand)| demand.read.get(now)).sum()
            };
            (service, tokens(true), tokens(false))
        })
    }

    /// Sets the division of a service's engines.
    pub fn set_division(&mut self, service: &ServiceId, division: Division) {
        self.divisions.insert(service.clone(), division);
    }

    /// Returns the division of a service's engines, if there is one.
    pub fn division(&self, service: &ServiceId) -> Option<&Division> {
        self.divisions.get(service)
    }
}
