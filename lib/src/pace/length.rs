//! Expected number of events of a response, learned by route.
//!
//! It answers responses of which callers state much more output than they get: a request that could not end in
//! time at its stated length mostly does at its usual one.

use std::collections::HashMap;

use crate::ids::RouteId;

/// Number of responses from which older ones are discounted exponentially.
const MEMORY_RESPONSES: f64 = 200.0;

/// Number of responses from which the length of a route is known.
const MIN_RESPONSES: f64 = 5.0;

/// Maximum number of routes whose lengths are kept; routes come and go with configurations.
const MAX_ROUTES: usize = 10_000;

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    responses: f64,
    stated: f64,
    events: f64,
}

/// Ratio of events to the tokens that callers expect, by route.
///
/// Engines put several tokens into an event, and nobody states how many, so the ratio is learned as a whole.
#[derive(Debug, Default)]
pub struct ResponseLengths {
    routes: HashMap<RouteId, Sums>,
}

impl ResponseLengths {
    /// Records a complete response of a request for this many tokens.
    pub fn record(&mut self, route: &RouteId, stated: u32, events: u32) {
        if stated == 0 || events == 0 {
            return;
        }
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let sums = self.routes.entry(route.clone()).or_default();
        if sums.responses >= MEMORY_RESPONSES {
            let keep = 1.0 - 1.0 / MEMORY_RESPONSES;
            sums.responses *= keep;
            sums.stated *= keep;
            sums.events *= keep;
        }
        sums.responses += 1.0;
        sums.stated += f64::from(stated);
        sums.events += f64::from(events);
    }

    /// Returns the expected number of events of a response, or `None` if too few of the route were seen.
    pub fn expected_events(&self, route: &RouteId, stated: u32) -> Option<f64> {
        let sums = self.routes.get(route)?;
        let is_known = sums.responses >= MIN_RESPONSES && stated > 0;
        is_known.then(|| f64::from(stated) * sums.events / sums.stated)
    }
}
