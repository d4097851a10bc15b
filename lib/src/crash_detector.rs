//! Detection of endpoint crashes, from the interrupted calls of this instance.
//!
//! An interrupted call alone is no evidence of a crash: links fail, responses are lost, and endpoints abort
//! single calls. Evidence is that the endpoint refuses connections afterwards, that another endpoint has
//! its address, or that the platform's list drops it without having marked it as leaving. Until there is
//! evidence, the call is kept for up to [`EVIDENCE_TIMEOUT`]; if the endpoint accepts a connection, the call is
//! discarded. A failed link and a frozen endpoint give no such evidence.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::fingerprint::RequestPrints;
use crate::ids::EndpointId;

/// Time for which an interrupted call waits for evidence; the platform's list drops an endpoint some seconds
/// after its crash.
pub const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after a crash during which interrupted calls are attributed to it; a connection that is not reset
/// fails only after its data has been unacknowledged for that long ([`crate::upstream`]).
const LATE_INTERRUPTION_WINDOW: Duration = Duration::from_millis(2_500);

/// Maximum number of calls that wait for evidence, for each endpoint; more than an endpoint has slots.
const MAX_PENDING_CALLS: usize = 1_024;

/// Interrupted calls of one endpoint.
#[derive(Debug)]
struct Interruptions {
    /// Time of the first interrupted call.
    first_at: Instant,
    /// Fingerprints of the calls and the times of their interruption.
    calls: Vec<(RequestPrints, Instant)>,
    /// Time at which the crash was detected, if there was one.
    crashed_at: Option<Instant>,
}

/// Action to take after an interrupted call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InterruptionAction {
    /// Probe the endpoint.
    Probe,
    /// Do nothing, since the endpoint is being probed already.
    Wait,
    /// Report the notes, since the endpoint is known to have crashed.
    Report(Vec<CrashNote>),
}

/// Interrupted calls by endpoint.
#[derive(Debug, Default)]
pub struct CrashDetector {
    interruptions: HashMap<EndpointId, Interruptions>,
}

impl CrashDetector {
    /// Records an interrupted call.
    pub fn record_interruption(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        prints: &RequestPrints,
    ) -> InterruptionAction {
        self.expire(now);
        if let Some(known) = self.interruptions.get_mut(endpoint) {
            if known.crashed_at.is_some() {
                return InterruptionAction::Report(notes(endpoint, prints, Duration::ZERO));
            }
            if known.calls.len() < MAX_PENDING_CALLS {
                known.calls.push((prints.clone(), now));
            }
            return InterruptionAction::Wait;
        }
        let first = Interruptions {
            first_at: now,
            calls: vec![(prints.clone(), now)],
            crashed_at: None,
        };
        self.interruptions.insert(endpoint.clone(), first);
        InterruptionAction::Probe
    }

    /// Records the crash of an endpoint and returns the notes about its interrupted calls.
    pub fn record_crash(&mut self, now: Instant, endpoint: &EndpointId) -> Vec<CrashNote> {
        let Some(known) = self.interruptions.get_mut(endpoint) else {
            return Vec::new();
        };
        known.crashed_at.get_or_insert(now);
        let calls = std::mem::take(&mut known.calls);
        let mut notes: Vec<_> = calls
            .iter()
            .flat_map(|(prints, at)| notes(endpoint, prints, now.saturating_duration_since(*at)))
            .collect();
        notes.sort_by_key(|note| note.fingerprint);
        notes.dedup_by_key(|note| note.fingerprint);
        notes
    }

    /// Records that an endpoint is still running, so that its calls were interrupted for another reason.
    pub fn record_alive(&mut self, endpoint: &EndpointId) {
        self.interruptions.remove(endpoint);
    }

    /// Returns whether interrupted calls of an endpoint wait for evidence of a crash.
    pub fn awaits_evidence(&self, endpoint: &EndpointId) -> bool {
        let known = self.interruptions.get(endpoint);
        known.is_some_and(|known| known.crashed_at.is_none())
    }

    fn expire(&mut self, now: Instant) {
        self.interruptions
            .retain(|_, known| match known.crashed_at {
                Some(at) => now.saturating_duration_since(at) < LATE_INTERRUPTION_WINDOW,
                None => now.saturating_duration_since(known.first_at) < EVIDENCE_TIMEOUT,
            });
    }
}

/// Returns the notes about a request that was in flight at a crash, and about the parts of its prompt.
fn notes(endpoint: &EndpointId, prints: &RequestPrints, age: Duration) -> Vec<CrashNote> {
    let endpoint = affinity::hash_name(endpoint.as_str());
    let request = (prints.request, CrashEvent::Crash { endpoint });
    let parts = prints.parts.iter();
    let parts = parts.map(|part| (*part, CrashEvent::PartCrash { endpoint }));
    std::iter::once(request)
        .chain(parts)
        .map(|(fingerprint, event)| CrashNote {
            fingerprint,
            event,
            age,
        })
        .collect()
}
