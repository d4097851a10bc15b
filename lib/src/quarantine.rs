//! Local records of the requests that may crash endpoints, by fingerprint.
//!
//! All requests in flight at a crash become suspects. A suspect never shares an endpoint with another
//! suspect, so at most one suspect is in flight at the second crash, and that one is quarantined. The other
//! suspects are cleared when they complete. Suspects of other instances arrive through the control state
//! (`docs/design.md`, section 6).

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::control::Suspicion;
use crate::ids::EndpointId;

/// Time for which suspects and quarantined fingerprints are kept.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// Time within which failed connections to one endpoint count as one crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of records; the oldest suspect is evicted first.
pub const MAX_RECORDS: usize = 4096;

#[derive(Clone, Debug)]
struct Record {
    since: Instant,
    quarantined: bool,
    /// Crash that made the request a suspect, so that a late report of it does not count as a second crash.
    crash: Option<(EndpointId, Instant)>,
}

/// Suspects and quarantined requests known to this instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<u64, Record>,
}

impl Quarantine {
    /// Records that a request was in flight when an endpoint crashed.
    pub fn crashed(&mut self, now: Instant, endpoint: &EndpointId, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            let same = record.crash.as_ref().is_some_and(|(e, at)| {
                e == endpoint && now.saturating_duration_since(*at) < CRASH_WINDOW
            });
            record.quarantined |= !same;
            return;
        }
        let crash = Some((endpoint.clone(), now));
        self.insert(now, fingerprint, false, crash);
    }

    /// Adopts the suspicion recorded in the control state.
    pub fn learn(&mut self, now: Instant, fingerprint: u64, suspicion: Suspicion) {
        match suspicion {
            Suspicion::None => {}
            Suspicion::Suspect => {
                if !self.records.contains_key(&fingerprint) {
                    self.insert(now, fingerprint, false, None);
                }
            }
            Suspicion::Quarantined => self.insert(now, fingerprint, true, None),
        }
    }

    /// Clears a suspect that completed; a quarantined request stays quarantined.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get(&fingerprint)
            && !record.quarantined
        {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns the suspicion against a request.
    pub fn suspicion(&self, now: Instant, fingerprint: u64) -> Suspicion {
        match self.records.get(&fingerprint) {
            Some(r) if now.saturating_duration_since(r.since) >= RETENTION => Suspicion::None,
            Some(r) if r.quarantined => Suspicion::Quarantined,
            Some(_) => Suspicion::Suspect,
            None => Suspicion::None,
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes records older than [`RETENTION`].
    pub fn expire(&mut self, now: Instant) {
        self.records
            .retain(|_, r| now.saturating_duration_since(r.since) < RETENTION);
    }

    fn insert(
        &mut self,
        now: Instant,
        fingerprint: u64,
        quarantined: bool,
        crash: Option<(EndpointId, Instant)>,
    ) {
        if self.records.len() >= MAX_RECORDS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.quarantined, r.since));
            if let Some(fingerprint) = oldest.map(|(f, _)| *f) {
                self.records.remove(&fingerprint);
            }
        }
        let record = Record {
            since: now,
            quarantined,
            crash,
        };
        self.records.insert(fingerprint, record);
    }
}
