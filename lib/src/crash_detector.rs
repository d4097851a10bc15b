//! Calls of this instance that broke, and which of them were at an endpoint that ended.
//!
//! A broken call alone is no evidence: links are cut, answers are lost, and endpoints break off single ones.
//! What tells an end is that the endpoint refuses connections afterwards, that another one has its
//! address, or that the platform's list drops it without having called it leaving. Until one of these
//! shows, the call waits here ([`EVIDENCE_TIME`]); an endpoint that takes connections clears it. A cut
//! link and a frozen endpoint show none of them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointId;

/// Time for which a broken call waits for evidence: the platform's list drops an endpoint some seconds after
/// its end.
pub const EVIDENCE_TIME: Duration = Duration::from_secs(10);

/// Time after an end in which calls that break are counted to it; connections that are not reset break
/// only when their bytes stay unacknowledged for that long ([`crate::upstream`]).
const LATE_BREAKS: Duration = Duration::from_millis(2_500);

/// Calls that wait for evidence at most, for each endpoint; more than an endpoint has places.
const MAX_WAITING: usize = 1_024;

#[derive(Debug)]
struct Break {
    since: Instant,
    calls: Vec<(Fingerprint, Instant)>,
    /// When the endpoint was known to have ended.
    ended: Option<Instant>,
}

/// What follows a call that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterBreak {
    /// Look whether the endpoint has ended.
    Look,
    /// Somebody is looking already.
    Wait,
    /// It is known to have ended.
    Ended(CrashNote),
}

/// Broken calls by endpoint.
#[derive(Debug, Default)]
pub struct CrashDetector {
    breaks: HashMap<EndpointId, Break>,
}

impl CrashDetector {
    /// Records a call that broke.
    pub fn broke(&mut self, now: Instant, endpoint: &EndpointId, print: Fingerprint) -> AfterBreak {
        self.expire(now);
        if let Some(known) = self.breaks.get_mut(endpoint) {
            if known.ended.is_some() {
                return AfterBreak::Ended(note(now, now, endpoint, print));
            }
            if known.calls.len() < MAX_WAITING {
                known.calls.push((print, now));
            }
            return AfterBreak::Wait;
        }
        let first = Break {
            since: now,
            calls: vec![(print, now)],
            ended: None,
        };
        self.breaks.insert(endpoint.clone(), first);
        AfterBreak::Look
    }

    /// Records that an endpoint has ended; returns the notes about the calls that broke there.
    pub fn ended(&mut self, now: Instant, endpoint: &EndpointId) -> Vec<CrashNote> {
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

    /// Records that an endpoint goes on, so that the calls broke for another reason.
    pub fn goes_on(&mut self, endpoint: &EndpointId) {
        self.breaks.remove(endpoint);
    }

    /// Tells whether calls that broke at an endpoint wait for evidence.
    pub fn waits(&self, endpoint: &EndpointId) -> bool {
        let known = self.breaks.get(endpoint);
        known.is_some_and(|known| known.ended.is_none())
    }

    fn expire(&mut self, now: Instant) {
        self.breaks.retain(|_, known| match known.ended {
            Some(at) => now.saturating_duration_since(at) < LATE_BREAKS,
            None => now.saturating_duration_since(known.since) < EVIDENCE_TIME,
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
