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
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointId;

/// Time for which an interrupted call waits for evidence; the platform's list drops an endpoint some seconds
/// after its crash.
pub const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after a crash during which interrupted calls are attributed to it; a connection that is not reset
/// fails only after its data has been unacknowledged for that long ([`crate::upstream`]).
const LATE_BREAK_WINDOW: Duration = Duration::from_millis(2_500);

/// Maximum number of calls that wait for evidence, for each endpoint; more than an endpoint has slots.
const MAX_PENDING_CALLS: usize = 1_024;

#[derive(Debug)]
struct Break {
    since: Instant,
    calls: Vec<(Fingerprint, Instant)>,
    /// Time at which the crash became known.
    ended: Option<Instant>,
}

/// Action to take after an interrupted call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakAction {
    /// Probe the endpoint.
    Probe,
    /// Do nothing, since the endpoint is being probed already.
    Wait,
    /// Report the note, since the endpoint is known to have crashed.
    Report(CrashNote),
}

/// Interrupted calls by endpoint.
#[derive(Debug, Default)]
pub struct CrashDetector {
    breaks: HashMap<EndpointId, Break>,
}

impl CrashDetector {
    /// Records an interrupted call.
    pub fn record_break(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        print: Fingerprint,
    ) -> BreakAction {
        self.expire(now);
        if let Some(known) = self.breaks.get_mut(endpoint) {
            if known.ended.is_some() {
                return BreakAction::Report(note(now, now, endpoint, print));
            }
            if known.calls.len() < MAX_PENDING_CALLS {
                known.calls.push((print, now));
            }
            return BreakAction::Wait;
        }
        let first = Break {
            since: now,
            calls: vec![(print, now)],
            ended: None,
        };
        self.breaks.insert(endpoint.clone(), first);
        BreakAction::Probe
    }

    /// Records the crash of an endpoint and returns the notes about its interrupted calls.
    pub fn record_crash(&mut self, now: Instant, endpoint: &EndpointId) -> Vec<CrashNote> {
        let Some(known) = self.breaks.get_mut(endpoint) else {
            return Vec::new();
        };
        known.ended.get_or_insert(now);
        let mut calls = std::mem::take(&mut known.calls);
        calls.sort_by_key(|(print, _)| *print);
        calls.dedup_by_key(|(print, _)| *print);
        let notes = calls.into_iter();
        notes
            .map(|(print, at)| note(now, at, endpoint, print))
            .collect()
    }

    /// Records that an endpoint is still running, so that its calls were interrupted for another reason.
    pub fn record_alive(&mut self, endpoint: &EndpointId) {
        self.breaks.remove(endpoint);
    }

    /// Returns whether interrupted calls of an endpoint wait for evidence of a crash.
    pub fn awaits_evidence(&self, endpoint: &EndpointId) -> bool {
        let known = self.breaks.get(endpoint);
        known.is_some_and(|known| known.ended.is_none())
    }

    fn expire(&mut self, now: Instant) {
        self.breaks.retain(|_, known| match known.ended {
            Some(at) => now.saturating_duration_since(at) < LATE_BREAK_WINDOW,
            None => now.saturating_duration_since(known.since) < EVIDENCE_TIMEOUT,
        });
    }
}

fn note(now: Instant, at: Instant, endpoint: &EndpointId, print: Fingerprint) -> CrashNote {
    CrashNote {
        print,
        event: CrashEvent::Crash {
            endpoint: affinity::hash_name(endpoint.as_str()),
        },
        age: now.saturating_duration_since(at),
    }
}
