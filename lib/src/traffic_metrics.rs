//! Counters and latency histograms of forwarded requests, in the Prometheus text format.

use std::time::Duration;

use prometheus::Encoder as _;
use prometheus::Gauge;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::code::ResultCode;
use crate::hand_over::MoveOutcome;
use crate::ids::ServiceId;

/// Upper bounds of the latency buckets in seconds, three for each power of ten.
const LATENCY_BUCKETS: [f64; 11] = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

/// Metrics of forwarded requests.
#[derive(Clone, Debug)]
pub struct TrafficMetrics {
    registry: Registry,
    served: IntCounterVec,
    refused: IntCounterVec,
    moved: IntCounterVec,
    ends: IntCounterVec,
    crashes: IntCounterVec,
    limited: IntCounterVec,
    view_age: Gauge,
    lease_ends: IntGauge,
    total: HistogramVec,
    first: HistogramVec,
    waiting: IntGaugeVec,
    waited: HistogramVec,
}

impl TrafficMetrics {
    /// Creates the metrics of a process.
    pub fn new() -> prometheus::Result<Self> {
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            HistogramVec::new(options, &["service"])
        };
        let metrics = Self {
            registry: Registry::new(),
            served: IntCounterVec::new(
                Opts::new("fulmarford_answers", "Answers of endpoints passed on"),
                &["service", "status"],
            )?,
            refused: IntCounterVec::new(
                Opts::new("fulmarford_own_failures", "Own refusals and failures"),
                &["code"],
            )?,
            moved: IntCounterVec::new(
                Opts::new("fulmarford_moved_runs", "Runs at engines that left"),
                &["outcome"],
            )?,
            ends: IntCounterVec::new(
                Opts::new(
                    "fulmarford_call_ends",
                    "Calls at endpoints without a usable answer",
                ),
                &["service", "end"],
            )?,
            crashes: IntCounterVec::new(
                Opts::new("fulmarford_crashes", "Endpoints that ended under requests"),
                &["service"],
            )?,
            limited: IntCounterVec::new(
                Opts::new(
                    "fulmarford_limited_answers",
                    "Answers in which endpoints named a limit",
                ),
                &["service"],
            )?,
            view_age: Gauge::new(
                "fulmarford_view_age_seconds",
                "Time since the configuration was known to be up to date",
            )?,
            lease_ends: IntGauge::new(
                "fulmarford_view_lease_ends",
                "Times that the configuration was not known to be up to date for two seconds",
            )?,
            total: latency(
                "fulmarford_answer_seconds",
                "Arrival to the end of an answer",
            )?,
            first: latency("fulmarford_first_seconds", "Sending to the first byte")?,
            waiting: IntGaugeVec::new(
                Opts::new(
                    "fulmarford_waiting_requests",
                    "Requests that wait for their turn",
                ),
                &["service"],
            )?,
            waited: HistogramVec::new(
                HistogramOpts::new(
                    "fulmarford_waited_seconds",
                    "Time that requests waited for their turn, by what became of them",
                )
                .buckets(LATENCY_BUCKETS.to_vec()),
                &["service", "outcome"],
            )?,
        };
        metrics
            .registry
            .register(Box::new(metrics.served.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.refused.clone()))?;
        metrics.registry.register(Box::new(metrics.moved.clone()))?;
        metrics.registry.register(Box::new(metrics.ends.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.crashes.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.limited.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.view_age.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.lease_ends.clone()))?;
        metrics.registry.register(Box::new(metrics.total.clone()))?;
        metrics.registry.register(Box::new(metrics.first.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.waiting.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.waited.clone()))?;
        Ok(metrics)
    }

    /// Counts a response that was forwarded completely, and records its latency.
    pub fn served(&self, service: &ServiceId, status: u16, took: Duration) {
        let labels = [service.as_str(), &status.to_string()];
        self.served.with_label_values(&labels).inc();
        let total = self.total.with_label_values(&[service.as_str()]);
        total.observe(took.as_secs_f64());
    }

    /// Records the time from sending a request to the first byte of its response.
    pub fn first(&self, service: &ServiceId, took: Duration) {
        let first = self.first.with_label_values(&[service.as_str()]);
        first.observe(took.as_secs_f64());
    }

    /// Records the number of requests that wait for their turn.
    pub fn waiting(&self, service: &ServiceId, count: usize) {
        let gauge = self.waiting.with_label_values(&[service.as_str()]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records how long a request waited for its turn, and whether it `starts` or was `refused`.
    pub fn waited(&self, service: &ServiceId, outcome: &str, waited: Duration) {
        let labels = [service.as_str(), outcome];
        let histogram = self.waited.with_label_values(&labels);
        histogram.observe(waited.as_secs_f64());
    }

    /// Counts a refusal or failure that this instance generated itself.
    pub fn refused(&self, code: ResultCode) {
        let code = code.number().to_string();
        self.refused.with_label_values(&[code.as_str()]).inc();
    }

    /// Counts a call that ended without a usable response; `end` states how.
    pub fn ended(&self, service: &ServiceId, end: &str) {
        let labels = [service.as_str(), end];
        self.ends.with_label_values(&labels).inc();
    }

    /// Counts an endpoint that crashed while it executed requests of this instance.
    pub fn crashed(&self, service: &ServiceId) {
        self.crashes.with_label_values(&[service.as_str()]).inc();
    }

    /// Counts a response in which an endpoint stated a limit.
    pub fn limited(&self, service: &ServiceId) {
        self.limited.with_label_values(&[service.as_str()]).inc();
    }

    /// Counts a run whose engine shut down, by what became of the run.
    pub fn moved(&self, outcome: MoveOutcome) {
        let outcome = outcome.to_string();
        self.moved.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Records the age of the view, and how often its lease has ended.
    pub fn view(&self, age: Option<Duration>, lease_ends: u64) {
        // Before the first view the age is unknown, which is not the age 0 of a fresh one.
        self.view_age
            .set(age.map_or(f64::NAN, |age| age.as_secs_f64()));
        self.lease_ends
            .set(i64::try_from(lease_ends).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::error!(%error, "cannot encode the metrics");
        }
        text
    }
}
