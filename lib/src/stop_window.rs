//! Decision whether a request is still passed on to an endpoint while this process is stopping.
//!
//! A process that was told to stop still reads requests for some seconds, and longer if their bodies arrive slowly, if
//! they are repeated, or if the process was paused. At the end of the grace time it cuts what is not complete, so a
//! request is passed on only if it is likely to be complete by then. Otherwise it is refused as not run, and its
//! caller repeats it elsewhere. The decision does no I/O.

use std::time::Duration;
use std::time::Instant;

/// Weight of a sample in the mean, as a divisor (RFC 6298).
const MEAN_DIVISOR: f64 = 8.0;

/// Weight of a sample in the mean deviation, as a divisor.
const DEVIATION_DIVISOR: f64 = 4.0;

/// Time that an own answer has to reach its caller before the connections are closed.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Longest time that is told apart; no process has that long to stop.
const MAX_TIME: f64 = 3_600.0;

/// Number of mean deviations above the mean within which most responses are complete.
const DEVIATIONS: f64 = 4.0;

/// The time between the signal to stop and the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopWindow {
    /// Time from which load balancers send no new requests.
    pub deregistered: Instant,
    /// Time at which open requests are cut.
    pub end: Instant,
}

impl StopWindow {
    /// Returns whether a request may be passed on at `now`, given the time that responses to its kind took so far.
    ///
    /// As long as load balancers send new requests, a response of mean length must fit, and later nearly all of
    /// them. If no time is known, the time after deregistration counts as long enough, but no part of it.
    pub fn allows(&self, now: Instant, time: Option<&ResponseTime>) -> bool {
        let is_late = now > self.deregistered;
        match time {
            Some(time) if is_late => now + time.usual() <= self.end,
            Some(time) => now + time.mean() <= self.end,
            None => !is_late,
        }
    }

    /// Returns the time at which a request that has no answer by then gets an own one, which arrives before
    /// the end.
    pub fn answer_time(&self) -> Instant {
        self.end.checked_sub(ANSWER_TIME).unwrap_or(self.end)
    }
}

/// Time from sending a request to an endpoint until its response is complete.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime {
    /// Mean in seconds.
    mean: f64,
    /// Mean deviation in seconds.
    deviation: f64,
}

impl ResponseTime {
    /// Starts with a first sample.
    pub fn new(first: Duration) -> Self {
        let mean = first.as_secs_f64();
        Self {
            mean,
            deviation: mean / 2.0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let error = sample.as_secs_f64() - self.mean;
        self.deviation += (error.abs() - self.deviation) / DEVIATION_DIVISOR;
        self.mean += error / MEAN_DIVISOR;
    }

    /// Returns the mean time.
    pub fn mean(&self) -> Duration {
        to_duration(self.mean)
    }

    /// Returns the time within which nearly all responses are complete.
    pub fn usual(&self) -> Duration {
        to_duration(self.mean + DEVIATIONS * self.deviation)
    }
}

fn to_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIME))
}
