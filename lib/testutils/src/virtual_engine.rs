//! Engines in virtual time with slots, slowdown by batching, a prefix cache, delayed load reports
//! and faults.
//!
//! They are fakes for the interface of [`fulmarford_lib::policy`], used to compare policies. Each
//! engine has one queue; neither the network nor the platform is simulated.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::EndpointId;
use fulmarford_lib::ids::ModelId;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::policy::Ending;
use fulmarford_lib::policy::LoadReport;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
    /// Prompt tokens per second of a request that runs alone.
    pub prefill_rate: f64,
    /// Output tokens per second of a request that runs alone.
    pub decode_rate: f64,
    /// Relative slowdown of all requests by each further one in the batch.
    pub slowdown_per_request: f64,
    /// Capacity of the prefix cache in prompt prefixes.
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
    /// Returns the processing time of a request in seconds while every slot is in use.
    pub fn saturated_seconds(&self, prompt: f64, output: f64) -> f64 {
        (prompt / self.prefill_rate + output / self.decode_rate)
            * self.batch_slowdown(self.slots as usize)
    }

    fn batch_slowdown(&self, running: usize) -> f64 {
        1.0 + self.slowdown_per_request * running.saturating_sub(1) as f64
    }
}

/// Faults of an engine that last until they are replaced.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Speed relative to an engine without faults.
    pub speed: f64,
    /// Delay from the publication of a load report to its arrival.
    pub report_lag: Duration,
    /// Load reports count no running and no waiting requests.
    pub reports_idle: bool,
    /// Load reports announce that the engine is leaving.
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
    /// Number of prompt tokens.
    pub prompt: f64,
    /// Number of output tokens to generate.
    pub output: f64,
    /// Priority; lower values are served first.
    pub priority: u8,
    /// Hash of the prompt prefix, which makes up half of the prompt.
    pub prefix: Option<u64>,
    /// Whether the engine crashes when it starts this request.
    pub crashes_engine: bool,
    /// Time of dispatch.
    pub started: Instant,
    /// Time from the dispatch to the first token.
    pub first_token: Option<Duration>,
    /// Number of output tokens generated, with a fraction for the next one.
    generated: f64,
    /// Number of prompt tokens processed or found in the cache.
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

    /// Returns the number of output tokens generated so far.
    pub fn done(&self) -> u32 {
        self.generated as u32
    }
}

/// An engine in virtual time.
#[derive(Debug)]
pub struct VirtualEngine {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Current faults.
    pub faults: Faults,
    spec: EngineSpec,
    models: Vec<ModelId>,
    running: Vec<Job>,
    waiting: Vec<Job>,
    /// Hashes of the cached prompt prefixes, least recently used first.
    cache: VecDeque<u64>,
    /// End of the downtime after the last crash.
    down_until: Option<Instant>,
    /// Number of the last load report since the last crash.
    sequence: u64,
    /// Published load reports with their time of arrival.
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

    /// Takes the engine down for a time and returns the requests that it lost.
    pub fn crash(&mut self, now: Instant, downtime: Duration) -> Vec<Job> {
        self.down_until = Some(now + downtime);
        self.cache.clear();
        self.sequence = 0;
        self.reports.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.append(&mut self.waiting);
        lost
    }

    /// Processes requests for a time step and returns those that ended.
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

    /// Publishes a load report, which arrives after [`Faults::report_lag`].
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

    /// Removes and returns the load reports that have arrived.
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
