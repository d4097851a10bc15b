//! Load of one endpoint, estimated from late reports and own requests in flight.
//!
//! A report describes the past. Own requests that were in flight at that time are subtracted from
//! it, which leaves the load of other entries, and the own requests of now are added. So an entry
//! sees its own dispatches at once, and those of others after one report.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ModelId;
use crate::policy::LoadReport;

/// Assumed age of a report when it arrives: one poll interval of 200 ms and its transport.
pub const REPORT_AGE: Duration = Duration::from_millis(300);

/// Age of the oldest own requests that a claim starts from.
///
/// A shorter time lets an entry claim the same free slots again while reports lag by a second.
const CLAIM_WINDOW: Duration = Duration::from_millis(1500);

/// Time after which a report is no longer used to judge whether the endpoint answers.
pub const REPORT_EXPIRY: Duration = Duration::from_secs(2);

/// Time over which a report may not show fewer requests than this entry had throughout.
const PLAUSIBLE_WINDOW: Duration = Duration::from_secs(2);

/// Implausible reports in a row after which reports of the endpoint are ignored.
const DISTRUST_AFTER: u32 = 3;

/// Estimated load of one endpoint.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    in_flight: u32,
    history: VecDeque<(Instant, u32)>,
    others: f64,
    total: f64,
    own_at_report: f64,
    jitter: f64,
    reported: Option<Instant>,
    sequence: u64,
    slots: u32,
    kv: f64,
    models: Vec<ModelId>,
    implausible_reports: u32,
}

impl LoadEstimate {
    /// Creates the estimate of an endpoint without reports.
    pub fn new(slots: u32) -> Self {
        Self {
            in_flight: 0,
            history: VecDeque::new(),
            others: 0.0,
            total: 0.0,
            own_at_report: 0.0,
            jitter: 0.5,
            reported: None,
            sequence: 0,
            slots: slots.max(1),
            kv: 0.0,
            models: Vec::new(),
            implausible_reports: 0,
        }
    }

    /// Records the dispatch of an own request.
    pub fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.record_in_flight(now);
    }

    /// Records the end of an own request.
    pub fn ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_in_flight(now);
    }

    /// Takes in a report and tells whether it was newer than those before.
    ///
    /// `jitter` is drawn from 0 to 1 and decides who may use the fraction of a slot.
    pub fn report(&mut self, now: Instant, report: &LoadReport, jitter: f64) -> bool {
        let silent = self
            .reported
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_EXPIRY);
        // An endpoint that restarted counts from the start again, which shows after a silence.
        if report.sequence <= self.sequence && !silent {
            return false;
        }
        self.sequence = report.sequence;
        self.jitter = jitter;
        self.reported = Some(now);
        let total = report.running + report.waiting;
        let least = self.min_in_flight(now - PLAUSIBLE_WINDOW, now);
        if total < least {
            self.implausible_reports = (self.implausible_reports + 1).min(2 * DISTRUST_AFTER);
        } else if least > 0 {
            self.implausible_reports = self.implausible_reports.saturating_sub(1);
        }
        self.slots = report.slots.max(1);
        self.kv = report.kv.clamp(0.0, 1.0);
        self.models.clone_from(&report.models);
        if !self.is_distrusted() {
            let own = self.in_flight_at(now - REPORT_AGE);
            self.others = f64::from(total.saturating_sub(own));
            self.total = f64::from(total);
            self.own_at_report = self
                .mean_in_flight(now - CLAIM_WINDOW, now - REPORT_AGE)
                .min(self.total);
        }
        true
    }

    /// Returns the requests at the endpoint, those of other entries included.
    pub fn estimate(&self, fan_in: f64) -> f64 {
        if self.is_distrusted() {
            // Half a request more keeps entries without requests there from all sending one.
            return (f64::from(self.in_flight) + 0.5) * fan_in;
        }
        f64::from(self.in_flight) + self.others
    }

    /// Tells whether this entry may start one more request below `limit` requests in all.
    ///
    /// All entries see the same free slots at once. Each takes its part of what the last report
    /// left free, or gives up its part of what is over the limit, so that together they arrive at
    /// the limit. `fan_in` is the number of entries, as estimated from their loads.
    pub fn may_claim(&self, limit: f64, fan_in: f64) -> bool {
        let part = if self.reported.is_none() {
            limit
        } else if self.is_distrusted() {
            limit / fan_in
        } else {
            self.own_at_report + (limit - self.total) / fan_in
        };
        f64::from(self.in_flight) < (part + self.jitter).floor()
    }

    /// Returns the own requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of remembered changes of the own requests in flight.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Returns the requests of other entries by the last report.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Returns how many requests the endpoint processes at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the share of KV cache in use.
    pub fn kv(&self) -> f64 {
        self.kv
    }

    /// Returns whether its reports contradict the requests that this entry has there.
    pub fn is_distrusted(&self) -> bool {
        self.implausible_reports >= DISTRUST_AFTER
    }

    /// Returns whether reports came in and then stopped.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.reported
            .is_some_and(|at| now.saturating_duration_since(at) >= REPORT_EXPIRY)
    }

    /// Returns whether the endpoint has the model in memory, as far as is known.
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
        before.map_or(0, |(_, own)| *own)
    }

    fn mean_in_flight(&self, from: Instant, to: Instant) -> f64 {
        let mut sum = 0.0;
        let mut at = from;
        let mut own = self.in_flight_at(from);
        for (time, next) in self.history.iter().filter(|(t, _)| *t > from && *t <= to) {
            sum += f64::from(own) * (*time - at).as_secs_f64();
            at = *time;
            own = *next;
        }
        sum += f64::from(own) * (to - at).as_secs_f64();
        sum / (to - from).as_secs_f64()
    }

    fn min_in_flight(&self, from: Instant, to: Instant) -> u32 {
        let inside = self
            .history
            .iter()
            .filter(|(at, _)| *at > from && *at <= to);
        let least = inside.map(|(_, own)| *own).min().unwrap_or(self.in_flight);
        least.min(self.in_flight_at(from))
    }
}
