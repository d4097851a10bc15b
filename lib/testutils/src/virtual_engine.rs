//! Engines in virtual time: slots, batching slow-down, prefix cache, lagging reports and faults.
//!
//! It is a fake at the interface of [`fulmarford_lib::policy`], which the differential tests of
//! policies drive; it models one queue per engine and nothing of the network or the platform.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::EndpointId;
use fulmarford_lib::ids::ModelId;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::policy::Ending;
use fulmarford_lib::policy::LoadReport;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Requests processed at once.
    pub slots: u32,
    /// Prompt tokens per second of a request that runs alone.
    pub prefill_rate: f64,
    /// Output tokens per second of a request that runs alone.
    pub decode_rate: f64,
    /// Slow-down of all requests that each further one causes.
    pub slowdown_per_request: f64,
    /// Prompt prefixes held in the cache.
    pub cached_prefixes: usize,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill_rate: 6_000.0,
            decode_rate: 60.0,
            slowdown_per_request: 0.06,
            cached_prefixes: 64,
        }
    }
}

impl EngineSpec {
    /// Returns the time a request takes when every slot is in use, in seconds.
    pub fn saturated_seconds(&self, prompt: f64, output: f64) -> f64 {
        (prompt / self.prefill_rate + output / self.decode_rate)
            * self.batch_slowdown(self.slots as usize)
    }

    fn batch_slowdown(&self, running: usize) -> f64 {
        1.0 + self.slowdown_per_request * running.saturating_sub(1) as f64
    }
}

/// Faults of an engine that last until they are changed.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Speed relative to a sound engine.
    pub speed: f64,
    /// Age of load reports at their arrival.
    pub report_lag: Duration,
    /// Reports say that nothing runs.
    pub reports_idle: bool,
    /// Reports say that the engine leaves.
    pub leaving: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            speed: 1.0,
            report_lag: Duration::from_millis(100),
            reports_idle: false,
            leaving: false,
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// Prompt tokens.
    pub prompt: f64,
    /// Output tokens that will be generated.
    pub output: f64,
    /// Lower is served first.
    pub priority: u8,
    /// Hash of the prompt prefix, which covers half of the prompt.
    pub prefix: Option<u64>,
    /// The engine crashes when it starts this request.
    pub crashes_engine: bool,
    /// Time of dispatch.
    pub started: Instant,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    generated: f64,
    prefilled: f64,
}

impl Job {
    /// Creates a job that has not started.
    pub fn new(id: RequestId, prompt: f64, output: f64, priority: u8, started: Instant) -> Self {
        Self {
            id,
            prompt,
            output,
            priority,
            prefix: None,
            crashes_engine: false,
            started,
            first_token: None,
            generated: 0.0,
            prefilled: 0.0,
        }
    }

    /// Returns the output tokens generated so far.
    pub fn done(&self) -> u32 {
        self.generated as u32
    }
}

/// One engine.
#[derive(Debug)]
pub struct VirtualEngine {
    /// Its name.
    pub id: EndpointId,
    /// Its present faults.
    pub faults: Faults,
    spec: EngineSpec,
    models: Vec<ModelId>,
    running: Vec<Job>,
    waiting: Vec<Job>,
    cache: VecDeque<u64>,
    down_until: Option<Instant>,
    sequence: u64,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl VirtualEngine {
    /// Creates an idle engine.
    pub fn new(id: EndpointId, spec: EngineSpec, models: Vec<ModelId>) -> Self {
        Self {
            id,
            spec,
            models,
            faults: Faults::default(),
            running: Vec::new(),
            waiting: Vec::new(),
            cache: VecDeque::new(),
            down_until: None,
            sequence: 0,
            reports: VecDeque::new(),
        }
    }

    /// Returns whether the engine is down.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Returns the number of requests being processed.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Accepts a request, unless the engine is down.
    pub fn submit(&mut self, now: Instant, job: Job) -> Result<(), Ending> {
        if self.is_down(now) {
            return Err(Ending::Unreachable);
        }
        let index = self
            .waiting
            .partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(index, job);
        Ok(())
    }

    /// Drops all requests and stays down for a time.
    pub fn crash(&mut self, now: Instant, downtime: Duration) -> Vec<Job> {
        self.down_until = Some(now + downtime);
        self.cache.clear();
        self.sequence = 0;
        self.reports.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.append(&mut self.waiting);
        lost
    }

    /// Processes requests for a time step and returns how requests ended.
    pub fn step(&mut self, now: Instant, step: Duration) -> Vec<(Job, Ending)> {
        self.start_waiting();
        if self.running.iter().any(|j| j.crashes_engine) {
            let lost = self.crash(now, Duration::from_secs(3));
            return lost.into_iter().map(|j| (j, Ending::Crashed)).collect();
        }
        let speed = self.faults.speed / self.spec.batch_slowdown(self.running.len());
        let time = step.as_secs_f64() * speed;
        for job in &mut self.running {
            let prefill_time =
                ((job.prompt - job.prefilled) / self.spec.prefill_rate).clamp(0.0, time);
            job.prefilled += prefill_time * self.spec.prefill_rate;
            job.generated += (time - prefill_time) * self.spec.decode_rate;
            if job.generated >= 1.0 && job.first_token.is_none() {
                job.first_token = Some(now + step - job.started);
            }
        }
        let (done, rest) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|j| j.generated >= j.output);
        self.running = rest;
        let done: Vec<Job> = done;
        done.into_iter().map(|j| (j, Ending::Finished)).collect()
    }

    /// Publishes a report, which arrives after the lag.
    pub fn publish(&mut self, now: Instant) {
        if self.is_down(now) {
            return;
        }
        self.sequence += 1;
        let count = |jobs: &[Job]| {
            if self.faults.reports_idle {
                return 0;
            }
            u32::try_from(jobs.len()).unwrap_or(u32::MAX)
        };
        let report = LoadReport {
            endpoint: self.id.clone(),
            running: count(&self.running),
            waiting: count(&self.waiting),
            slots: self.spec.slots,
            kv: self.running.len() as f64 / f64::from(self.spec.slots) * 0.9,
            leaving: self.faults.leaving,
            models: self.models.clone(),
            sequence: self.sequence,
        };
        self.reports
            .push_back((now + self.faults.report_lag, report));
    }

    /// Returns the reports that have arrived.
    pub fn take_reports(&mut self, now: Instant) -> Vec<LoadReport> {
        let mut arrived = Vec::new();
        while self.reports.front().is_some_and(|(at, _)| *at <= now) {
            arrived.extend(self.reports.pop_front().map(|(_, report)| report));
        }
        arrived
    }

    fn start_waiting(&mut self) {
        while self.running.len() < self.spec.slots as usize && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            if let Some(prefix) = job.prefix {
                if self.cache.contains(&prefix) {
                    job.prefilled = job.prompt / 2.0;
                    self.cache.retain(|p| *p != prefix);
                }
                self.cache.push_back(prefix);
                if self.cache.len() > self.spec.cached_prefixes {
                    self.cache.pop_front();
                }
            }
            self.running.push(job);
        }
    }
}
