//! Sums of events and times by engine, which instances report with their polls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceId;

/// Maximum number of engines in a report, which keeps those with the most events; each takes about 11 bytes.
pub const MAX_ENGINES_PER_REPORT: usize = 256;

/// Identifies an engine in a report: the upper half of the hash of its name.
///
/// Two of 600 engines share a key with a probability of 1 in 24,000, and then only their estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PaceKey(u32);

impl From<u64> for PaceKey {
    fn from(hash: u64) -> Self {
        Self((hash >> 32) as u32)
    }
}

/// Events that streams of an engine sent, and the time that passed between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSum {
    /// Number of events, without the first one of each stream.
    pub events: u32,
    /// Time between them in milliseconds.
    pub time_ms: u32,
}

impl PaceSum {
    fn add(&mut self, other: &Self) {
        self.events = self.events.saturating_add(other.events);
        self.time_ms = self.time_ms.saturating_add(other.time_ms);
    }
}

/// What one instance has seen of the pace of engines, or the sum over all instances.
///
/// It is empty as long as no endpoint of any service states a pace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Services of which an endpoint stated a pace.
    pub services: BTreeSet<ServiceId>,
    /// Sums by engine.
    pub engines: BTreeMap<PaceKey, PaceSum>,
}

impl PaceReport {
    /// Adds the report of another instance.
    pub fn add(&mut self, other: &Self) {
        self.services.extend(other.services.iter().cloned());
        for (engine, sum) in &other.engines {
            self.engines.entry(*engine).or_default().add(sum);
        }
    }

    /// Drops the engines with the fewest events beyond [`MAX_ENGINES_PER_REPORT`].
    pub fn truncate(&mut self) {
        if self.engines.len() > MAX_ENGINES_PER_REPORT {
            let mut sums: Vec<_> = std::mem::take(&mut self.engines).into_iter().collect();
            sums.sort_unstable_by_key(|(engine, sum)| (std::cmp::Reverse(sum.events), *engine));
            sums.truncate(MAX_ENGINES_PER_REPORT);
            self.engines = sums.into_iter().collect();
        }
    }
}
