//! The rate of permits for a cold endpoint.
//!
//! It handles many instances that would each send a cold endpoint their usual share, or their first request at the
//! same moment.

use std::time::Duration;

use crate::dialect::RequestRate;
use crate::permit::BURST_TIME;
use crate::permit::PERMIT_LIFETIME;
use crate::route_table::ColdSpec;

/// Time for which the bound on the requests to a cold endpoint is stated.
const BOUND_TIME: Duration = Duration::from_secs(1);

/// Requests in that time that may be sent without a valid permit: one that continues a run at its endpoint, or one
/// whose process was suspended after it had taken the permit.
const RESERVED_REQUESTS: f64 = 1.0;

/// Bounds that the users state for cold endpoints, and how old their list of endpoints is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Factor on the rate that a service states.
    pub overrun: f64,
    /// Requests that may come on top of that in each second.
    pub slack: f64,
    /// Age of the state that the list shows, at the time of its reading.
    pub list_lag: Duration,
}

impl ColdTerms {
    /// Returns the rate at which permits are made for a cold endpoint, or `None` if the figures allow none.
    ///
    /// The bound for one second is `bound = rate * overrun + slack`. In any time `T`, all instances together send at
    /// most `permits * (T + PERMIT_LIFETIME) + burst` requests, where `burst` is the larger of one request and
    /// `permits * BURST_TIME` ([`crate::permit`]). With `T` of one second and the reserved request, the bound holds if
    ///
    /// * `permits * (1 s + PERMIT_LIFETIME + BURST_TIME) + 1 <= bound`, and
    /// * `permits * (1 s + PERMIT_LIFETIME) + 1 + 1 <= bound`.
    ///
    /// The result is the largest such rate, and at most the rate that the service states, since the bound for one
    /// second allows more than an endpoint accepts for several.
    pub fn permit_rate(&self, cold: &ColdSpec) -> Option<RequestRate> {
        let stated = cold.rate.per_second();
        let left = stated * self.overrun + self.slack - RESERVED_REQUESTS;
        let valid = (BOUND_TIME + PERMIT_LIFETIME).as_secs_f64();
        let with_burst = left / (valid + BURST_TIME.as_secs_f64());
        let with_one = (left - 1.0) / valid;
        RequestRate::from_per_second(with_burst.min(with_one).min(stated).max(0.0))
    }
}
