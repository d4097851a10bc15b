//! Load estimate of one endpoint, from delayed reports and the requests of this instance in flight.
//!
//! A report describes the load of a past time. The requests that this instance had in flight at that
//! time are subtracted, which leaves the load from other instances, and its current requests are
//! added. The estimate thus includes its own dispatches at once, and those of others after a report.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ModelId;
use crate::policy::LoadReport;

/// Assumed age of a report at its arrival: one poll interval of 200 ms and the network delay.
pub const REPORT_AGE: Duration = Duration::from_millis(300);

/// Window over which the in-flight requests of this instance are averaged as the base of a claim.
///
/// With a shorter window, an instance would claim the same free slots again while reports lag by a
/// second.
const CLAIM_WINDOW: Duration = Duration::from_millis(1500);

/// Age at which a report expires; an endpoint without a newer one counts as silent.
pub const REPORT_EXPIRY: Duration = Duration::from_secs(2);

/// Window whose minimum of in-flight requests of this instance is a lower bound of a plausible report.
const PLAUSIBLE_WINDOW: Duration = Duration::from_secs(2);

/// Count of implausible reports, decremented by each plausible one, from which the reports of an
/// endpoint are ignored.
const DISTRUST_AFTER: u32 = 3;

/// Estimate of the load of one endpoint.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    in_flight: u32,
    history: VecDeque<(Instant, u32)>,
    others: f64,
    total: f64,
    recent_in_flight: f64,
    jitter: f64,
    reported_at: Option<Instant>,
    sequence: u64,
    slots: u32,
    kv: f64,
    models: Vec<ModelId>,
    implausible_reports: u32,
}

impl LoadEstimate {
    /// Creates the estimate of an endpoint that has not reported yet.
    pub fn new(slots: u32) -> Self {
        Self {
            in_flight: 0,
            history: VecDeque::new(),
            others: 0.0,
            total: 0.0,
            recent_in_flight: 0.0,
            jitter: 0.5,
            reported_at: None,
            sequence: 0,
            slots: slots.max(1),
            kv: 0.0,
            models: Vec::new(),
            implausible_reports: 0,
        }
    }

    /// Records the dispatch of a request by this instance.
    pub fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.record_in_flight(now);
    }

    /// Records the end of a request that this instance dispatched.
    pub fn ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_in_flight(now);
    }

    /// Applies a report and returns whether it was newer than those before.
    ///
    /// `jitter` is a random number from 0 to 1 that decides which instance may use a fractional slot.
    pub fn report(&mut self, now: Instant, report: &LoadReport, jitter: f64) -> bool {
        let is_silent = self
            .reported_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_EXPIRY);
        // A restarted endpoint numbers its reports from the start again; a lower number is accepted
        // after a period of silence.
        if report.sequence <= self.sequence && !is_silent {
            return false;
        }
        self.sequence = report.sequence;
        self.jitter = jitter;
        self.reported_at = Some(now);
        let total = report.running.saturating_add(report.waiting);
        let min_in_flight = self.min_in_flight(now - PLAUSIBLE_WINDOW, now);
        if total < min_in_flight {
            self.implausible_reports = (self.implausible_reports + 1).min(2 * DISTRUST_AFTER);
        } else if min_in_flight > 0 {
            self.implausible_reports = self.implausible_reports.saturating_sub(1);
        }
        self.slots = report.slots.max(1);
        self.kv = report.kv.clamp(0.0, 1.0);
        self.models.clone_from(&report.models);
        if !self.is_distrusted() {
            let in_flight = self.in_flight_at(now - REPORT_AGE);
            self.others = f64::from(total.saturating_sub(in_flight));
            self.total = f64::from(total);
            self.recent_in_flight = self
                .mean_in_flight(now - CLAIM_WINDOW, now - REPORT_AGE)
                .min(self.total);
        }
        true
    }

    /// Returns the estimated number of requests at the endpoint from all instances.
    pub fn estimate(&self, fan_in: f64) -> f64 {
        if self.is_distrusted() {
            // The additional half request keeps idle instances from all sending one at once.
            return (f64::from(self.in_flight) + 0.5) * fan_in;
        }
        f64::from(self.in_flight) + self.others
    }

    /// Returns whether this instance may start another request, given a `limit` for all instances.
    ///
    /// All instances see the same free slots at the same time. Each claims its share of the slots that
    /// were free in the last report, or gives up its share of the excess, so that the total converges
    /// to the limit. `fan_in` is the number of instances, as estimated from their loads.
    pub fn may_claim(&self, limit: f64, fan_in: f64) -> bool {
        let share = if self.reported_at.is_none() {
            limit
        } else if self.is_distrusted() {
            limit / fan_in
        } else {
            self.recent_in_flight + (limit - self.total) / fan_in
        };
        f64::from(self.in_flight) < (share + self.jitter).floor()
    }

    /// Returns the number of requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of recorded changes of the requests in flight.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Returns the number of requests from other instances, by the last report.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Returns the number of requests that the endpoint processes concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the share of the KV cache in use, from 0 to 1.
    pub fn kv(&self) -> f64 {
        self.kv
    }

    /// Returns whether the endpoint's reports contradict the requests of this instance in flight there.
    pub fn is_distrusted(&self) -> bool {
        self.implausible_reports >= DISTRUST_AFTER
    }

    /// Returns whether the endpoint has reported before but not within [`REPORT_EXPIRY`].
    pub fn is_silent(&self, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_duration_since(at) >= REPORT_EXPIRY)
    }

    /// Returns whether the endpoint has the model loaded, or may have because its models are unknown.
    pub fn has_loaded(&self, model: Option<&ModelId>) -> bool {
        model.is_none_or(|m| self.models.is_empty() || self.models.contains(m))
    }

    fn record_in_flight(&mut self, now: Instant) {
        while let Some((at, _)) = self.history.get(1)
            && now.saturating_duration_since(*at) > PLAUSIBLE_WINDOW
        {
            self.history.pop_front();
        }
        self.history.push_back((now, self.in_flight));
    }

    fn in_flight_at(&self, time: Instant) -> u32 {
        let before = self.history.iter().rev().find(|(at, _)| *at <= time);
        before.map_or(0, |(_, count)| *count)
    }

    fn mean_in_flight(&self, from: Instant, to: Instant) -> f64 {
        let mut sum = 0.0;
        let mut at = from;
        let mut in_flight = self.in_flight_at(from);
        for (time, next) in self.history.iter().filter(|(t, _)| *t > from && *t <= to) {
            sum += f64::from(in_flight) * (*time - at).as_secs_f64();
            at = *time;
            in_flight = *next;
        }
        sum += f64::from(in_flight) * (to - at).as_secs_f64();
        sum / (to - from).as_secs_f64()
    }

    fn min_in_flight(&self, from: Instant, to: Instant) -> u32 {
        let inside = self
            .history
            .iter()
            .filter(|(at, _)| *at > from && *at <= to);
        let minimum = inside
            .map(|(_, count)| *count)
            .min()
            .unwrap_or(self.in_flight);
        minimum.min(self.in_flight_at(from))
    }
}
