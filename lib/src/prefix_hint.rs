//! Hints that instances exchange about which engines hold which prompt prefixes.
//!
//! The requests of a session are spread over instances, so a single one does not see enough of them
//! to know which engine has cached the session's prompt. Each instance reports to the leader with its
//! polls which shared prompt parts it sent to which engine, and receives the hints of the others.
//! Messages are bounded and may be lost; the cost of a lost hint is that a part is read again.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

use crate::dialect::PromptPart;
use crate::ids::InstanceId;
use crate::supervision;

/// Minimum tokens of shared parts for a hint; reading fewer again takes only some milliseconds.
pub const MIN_HINT_TOKENS: u32 = 1_000;

/// Maximum number of hints in a message, which keeps the newest; each takes about 40 bytes.
pub const MAX_HINTS: usize = 32;

/// Maximum number of hints that the leader retains for instances that have not polled yet.
const MAX_RETAINED_HINTS: usize = 1_024;

/// Shared parts of a prompt that were sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHint {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// The parts in order.
    pub parts: Vec<PromptPart>,
}

/// Appends hints to the list for one message and drops the oldest beyond [`MAX_HINTS`].
fn append(list: &mut Vec<PrefixHint>, more: Vec<PrefixHint>) {
    list.extend(more);
    let excess = list.len().saturating_sub(MAX_HINTS);
    list.drain(..excess);
}

/// Hints in transit between the threads of an instance.
#[derive(Debug, Default)]
pub struct PrefixHintBuffer(Mutex<Vec<PrefixHint>>);

impl PrefixHintBuffer {
    /// Appends hints; the oldest are dropped beyond [`MAX_HINTS`].
    pub fn append(&self, more: Vec<PrefixHint>) {
        if !more.is_empty() {
            append(&mut supervision::lock(&self.0), more);
        }
    }

    /// Removes and returns all hints.
    pub fn take(&self) -> Vec<PrefixHint> {
        std::mem::take(&mut supervision::lock(&self.0))
    }
}

/// Hints of all instances, kept by the leader.
#[derive(Debug, Default)]
pub struct PrefixHintLog {
    hints: VecDeque<(InstanceId, PrefixHint)>,
    /// Sequence number of the oldest retained hint.
    first_sequence: u64,
    /// Sequence number of the next hint to send to each instance.
    next_sequence: BTreeMap<InstanceId, u64>,
}

impl PrefixHintLog {
    /// Adds the hints of an instance.
    pub fn add(&mut self, from: &InstanceId, list: Vec<PrefixHint>) {
        let list = list.into_iter().take(MAX_HINTS);
        self.hints.extend(list.map(|hint| (from.clone(), hint)));
        while self.hints.len() > MAX_RETAINED_HINTS {
            self.hints.pop_front();
            self.first_sequence += 1;
        }
        // An instance without an entry gets all retained hints, so entries at the oldest one are
        // redundant.
        let first_sequence = self.first_sequence;
        self.next_sequence.retain(|_, next| *next > first_sequence);
    }

    /// Returns the newest hints of other instances that were added since the last call for `to`.
    pub fn unseen(&mut self, to: &InstanceId) -> Vec<PrefixHint> {
        let end = self.first_sequence + self.hints.len() as u64;
        let start = self
            .next_sequence
            .insert(to.clone(), end)
            .unwrap_or(self.first_sequence);
        let skipped = start.saturating_sub(self.first_sequence) as usize;
        let unseen = self.hints.iter().skip(skipped);
        let mut list = Vec::new();
        let others = unseen.filter(|(from, _)| from != to);
        append(&mut list, others.map(|(_, s)| s.clone()).collect());
        list
    }
}
