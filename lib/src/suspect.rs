//! Replicated records of the requests, and of the parts of their prompts, that were in flight when endpoints
//! crashed.
//!
//! A crash makes each request in flight a suspect; a second crash quarantines it. A suspect that
//! completes is cleared. Records are kept for one hour (`docs/design.md`, section 6).

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::command::CrashReport;
use crate::command::Timestamp;
use crate::control::Suspicion;
use crate::ids::EndpointId;

/// Time for which a record is kept after its last crash, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;

/// Time in milliseconds within which crashes of one endpoint count as one crash.
///
/// Several instances report the same crash within seconds, and an engine takes longer to restart.
pub const SAME_CRASH_WINDOW_MS: u64 = 10_000;

/// Maximum number of records; beyond it suspects are evicted before quarantined requests, the oldest first.
pub const MAX_SUSPECTS: usize = 16_384;

/// Maximum number of fingerprints accepted from one crash report.
pub const MAX_REPORTED_FINGERPRINTS: usize = 1_024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    endpoint: EndpointId,
    at: Timestamp,
    quarantined: bool,
}

/// All suspects and quarantined requests, by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspects {
    records: BTreeMap<u64, Record>,
    /// Number of changes, by which instances detect that their copy is outdated.
    revision: u64,
    /// Earliest time at which a record may expire.
    next_expiry: Timestamp,
}

impl Suspects {
    /// Returns the number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all fingerprints with their suspicion, ordered by fingerprint.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Suspicion)> {
        self.records.iter().map(|(f, r)| (*f, r.suspicion()))
    }

    /// Returns the suspicion against a request.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        self.records
            .get(&fingerprint)
            .map_or(Suspicion::None, Record::suspicion)
    }

    /// Records the requests in flight at a crash.
    pub fn report(&mut self, now: Timestamp, report: &CrashReport) {
        for fingerprint in report.fingerprints.iter().take(MAX_REPORTED_FINGERPRINTS) {
            self.mark(now, *fingerprint, &report.endpoint);
        }
        self.evict(self.records.len().saturating_sub(MAX_SUSPECTS));
        self.revision += 1;
        self.plan_expiry();
    }

    fn mark(&mut self, now: Timestamp, fingerprint: u64, endpoint: &EndpointId) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            let record = Record {
                endpoint: endpoint.clone(),
                at: now,
                quarantined: false,
            };
            self.records.insert(fingerprint, record);
            return;
        };
        let repeated = record.endpoint == *endpoint && now.0 - record.at.0 < SAME_CRASH_WINDOW_MS;
        if !repeated {
            record.quarantined = true;
            record.endpoint = endpoint.clone();
            record.at = now;
        }
    }

    /// Quarantines a request or a prompt part, unless it is quarantined already.
    pub fn quarantine(&mut self, now: Timestamp, fingerprint: u64) {
        if self.suspicion(fingerprint) != Suspicion::Quarantined {
            self.insert(now, fingerprint, true);
        }
    }

    /// Makes prompt parts suspects, unless they are suspects or quarantined already.
    pub fn add_parts(&mut self, now: Timestamp, fingerprints: &[u64]) {
        for fingerprint in fingerprints.iter().take(MAX_REPORTED_FINGERPRINTS) {
            if self.suspicion(*fingerprint) == Suspicion::None {
                self.insert(now, *fingerprint, false);
            }
        }
    }

    fn insert(&mut self, now: Timestamp, fingerprint: u64, quarantined: bool) {
        let record = Record {
            // Several endpoints have crashed, so a report about any endpoint is another crash.
            endpoint: EndpointId::from(""),
            at: now,
            quarantined,
        };
        self.records.insert(fingerprint, record);
        self.evict(self.records.len().saturating_sub(MAX_SUSPECTS));
        self.revision += 1;
        self.plan_expiry();
    }

    /// Clears a request, whether it is a suspect or quarantined.
    pub fn release(&mut self, fingerprint: u64) {
        if self.records.remove(&fingerprint).is_some() {
            self.revision += 1;
        }
    }

    /// Clears a suspect that completed; a quarantined request stays quarantined until its record expires.
    pub fn clear(&mut self, fingerprint: u64) {
        if self.suspicion(fingerprint) == Suspicion::Suspect {
            self.records.remove(&fingerprint);
            self.revision += 1;
        }
    }

    /// Removes records older than [`RETENTION_MS`].
    pub fn expire(&mut self, now: Timestamp) {
        if self.records.is_empty() || now < self.next_expiry {
            return;
        }
        let before = self.records.len();
        self.records.retain(|_, r| r.at.0 + RETENTION_MS > now.0);
        if self.records.len() != before {
            self.revision += 1;
        }
        self.plan_expiry();
    }

    fn evict(&mut self, surplus: usize) {
        if surplus == 0 {
            return;
        }
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(fingerprint, r)| (r.quarantined, r.at, *fingerprint))
            .collect();
        order.sort_unstable();
        for (_, _, fingerprint) in order.into_iter().take(surplus) {
            self.records.remove(&fingerprint);
        }
    }

    fn plan_expiry(&mut self) {
        let oldest = self.records.values().map(|r| r.at.0).min().unwrap_or(0);
        self.next_expiry = Timestamp(oldest + RETENTION_MS);
    }
}

impl Record {
    fn suspicion(&self) -> Suspicion {
        if self.quarantined {
            Suspicion::Quarantined
        } else {
            Suspicion::Suspect
        }
    }
}
