//! Metrics by which an operator sees the pace of engines and how evenly they are loaded.

use prometheus::GaugeVec;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::ids::ServiceId;

/// Spread of pace and load over the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceStats {
    /// Smallest factor on the usual time of work, that of the quickest engine.
    pub quickest: f64,
    /// Largest factor, that of the slowest engine.
    pub slowest: f64,
    /// Utilization of the busiest engine relative to the mean, both by slots times speed.
    pub busiest: f64,
}

/// Metrics of services whose endpoints state a pace.
#[derive(Clone, Debug)]
pub struct PaceMetrics {
    factors: GaugeVec,
    busiest: GaugeVec,
    placed: IntCounterVec,
}

impl PaceMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            factors: GaugeVec::new(
                Opts::new(
                    "fulmarford_engine_pace",
                    "Factor on the usual time of work at the quickest and the slowest engine",
                ),
                &["service", "engine"],
            )?,
            busiest: GaugeVec::new(
                Opts::new(
                    "fulmarford_busiest_over_mean",
                    "Utilization of the busiest engine over the mean, by slots and speed",
                ),
                &["service"],
            )?,
            placed: IntCounterVec::new(
                Opts::new(
                    "fulmarford_placed_by_end",
                    "Requests sent to engines by whether they are expected to end in time",
                ),
                &["service", "end"],
            )?,
        };
        registry.register(Box::new(metrics.factors.clone()))?;
        registry.register(Box::new(metrics.busiest.clone()))?;
        registry.register(Box::new(metrics.placed.clone()))?;
        Ok(metrics)
    }

    /// Sets the spread over a service's engines.
    pub fn set(&self, service: &ServiceId, stats: &PaceStats) {
        let name = service.as_str();
        let set = |engine, value| self.factors.with_label_values(&[name, engine]).set(value);
        set("quickest", stats.quickest);
        set("slowest", stats.slowest);
        self.busiest.with_label_values(&[name]).set(stats.busiest);
    }

    /// Counts a request that was sent to an engine; `is_in_time` tells whether it is expected to end before its
    /// deadline, if that is known.
    pub fn placed(&self, service: &ServiceId, is_in_time: Option<bool>) {
        let end = match is_in_time {
            Some(true) => "in time",
            Some(false) => "late",
            None => "unknown",
        };
        self.placed
            .with_label_values(&[service.as_str(), end])
            .inc();
    }
}
