//! Prompt parts that engines were sent, told by each instance to the others.
//!
//! An instance sees too few requests of a session to know from its own where the session's prompt is
//! held. Each tells the leader with its polls which shared parts it sent where, and gets what the others
//! told. Messages are bounded and may be lost: a part that nobody knows of is read again.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

use crate::dialect::PromptPart;
use crate::ids::InstanceId;

/// Fewest tokens of shared parts that are worth telling; reading fewer again takes a few milliseconds.
pub const MIN_HINT_TOKENS: u32 = 1_000;

/// Hints in a message at most, the newest ones; each takes about 40 bytes.
pub const MAX_HINTS: usize = 32;

/// PrefixHintBuffer that the leader keeps for instances that have not polled since.
const MAX_KEPT: usize = 1_024;

/// Shared parts of a prompt that an engine was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHint {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// The parts in order.
    pub parts: Vec<PromptPart>,
}

/// Adds sightings to a list for one message, and drops the oldest beyond its bound.
fn append(list: &mut Vec<PrefixHint>, more: Vec<PrefixHint>) {
    list.extend(more);
    let excess = list.len().saturating_sub(MAX_HINTS);
    list.drain(..excess);
}

/// PrefixHintBuffer on their way between the threads of an instance.
#[derive(Debug, Default)]
pub struct PrefixHintBuffer(Mutex<Vec<PrefixHint>>);

impl PrefixHintBuffer {
    /// Adds some.
    pub fn append(&self, more: Vec<PrefixHint>) {
        if !more.is_empty() {
            append(&mut self.0.lock().expect("sightings lock poisoned"), more);
        }
    }

    /// Takes all.
    pub fn take(&self) -> Vec<PrefixHint> {
        std::mem::take(&mut self.0.lock().expect("sightings lock poisoned"))
    }
}

/// PrefixHintBuffer of all instances, at the leader.
#[derive(Debug, Default)]
pub struct PrefixHintLog {
    kept: VecDeque<(InstanceId, PrefixHint)>,
    /// Number of the first one that is kept.
    first: u64,
    /// Number from which each instance has not been told.
    told: BTreeMap<InstanceId, u64>,
}

impl PrefixHintLog {
    /// Takes in what an instance tells.
    pub fn add(&mut self, from: &InstanceId, list: Vec<PrefixHint>) {
        let list = list.into_iter().take(MAX_HINTS);
        self.kept
            .extend(list.map(|sighting| (from.clone(), sighting)));
        while self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
            self.first += 1;
        }
        // Whoever is not remembered here is told from the first one on, as these would be.
        let first = self.first;
        self.told.retain(|_, next| *next > first);
    }

    /// Returns the newest that the others told since this instance asked last.
    pub fn unseen(&mut self, to: &InstanceId) -> Vec<PrefixHint> {
        let end = self.first + self.kept.len() as u64;
        let start = self.told.insert(to.clone(), end).unwrap_or(self.first);
        let skipped = start.saturating_sub(self.first) as usize;
        let news = self.kept.iter().skip(skipped);
        let mut list = Vec::new();
        let others = news.filter(|(from, _)| from != to);
        append(&mut list, others.map(|(_, s)| s.clone()).collect());
        list
    }
}
