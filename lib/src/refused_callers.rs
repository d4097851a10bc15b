//! Callers that were refused and have not come back yet.
//!
//! No request of a higher tier is shed in favour of a lower one. A caller that was refused comes back
//! after the time that it was told; until then, a less urgent request that would take what the caller
//! needs gives way. Once the caller has come back, or had the time to, its own time decides again.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceId;

/// Maximum number of callers that are remembered for a service; the least urgent one is dropped.
const MAX_CALLERS: usize = 256;

/// What a refused caller lacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// An endpoint that begins its request by this time, so that it ends within the caller's time.
    Start(Instant),
    /// A free place at an endpoint, which all that were asked refused.
    Place,
    /// A permit of an endpoint with a limit.
    Permit,
}

/// A caller that was refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller {
    /// Urgency of its request, 0 for the most urgent.
    pub urgency: u8,
    /// What it lacked.
    pub need: Need,
    /// Time at which it comes back.
    pub returns: Instant,
}

/// Refused callers of all services.
#[derive(Debug, Default)]
pub struct RefusedCallers {
    by_service: HashMap<ServiceId, Vec<RefusedCaller>>,
}

impl RefusedCallers {
    /// Records that a caller was refused.
    pub fn record(&mut self, now: Instant, service: &ServiceId, caller: RefusedCaller) {
        let callers = self.by_service.entry(service.clone()).or_default();
        callers.retain(|caller| now < caller.returns);
        callers.push(caller);
        if callers.len() > MAX_CALLERS {
            let least = (0..callers.len()).max_by_key(|i| callers[*i].urgency);
            least.map(|i| callers.swap_remove(i));
        }
    }

    /// Returns the time until all callers have come back that are more urgent and lack something that
    /// `is_taken` from them, or `None` if there are none.
    pub fn wait(
        &self,
        now: Instant,
        service: &ServiceId,
        urgency: u8,
        is_taken: impl Fn(Need) -> bool,
    ) -> Option<Duration> {
        let callers = self.by_service.get(service)?;
        let affected = callers
            .iter()
            .filter(|caller| caller.urgency < urgency && is_taken(caller.need));
        let last = affected.map(|caller| caller.returns).max()?;
        let wait = last.saturating_duration_since(now);
        (!wait.is_zero()).then_some(wait)
    }
}
