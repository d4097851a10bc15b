//! Model of an engine's prompt cache, derived from the requests that were sent to it.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::dialect::PromptPart;
use crate::prompt_source::total_tokens;

/// Prompt parts that an engine presumably has cached, evicted in least-recently-used order.
#[derive(Debug, Default)]
pub struct PromptCache {
    tokens_by_part: HashMap<u64, u32>,
    use_order: VecDeque<u64>,
    tokens: u64,
}

impl PromptCache {
    /// Returns the number of tokens in the longest cached prefix of `parts`.
    pub fn cached(&self, parts: &[PromptPart]) -> u32 {
        let is_cached = |part: &&PromptPart| self.tokens_by_part.contains_key(&part.id);
        total_tokens(parts.iter().take_while(is_cached))
    }

    /// Adds the parts of a prompt that the engine reads, and evicts the least recently used parts beyond
    /// `limit` tokens.
    pub fn add(&mut self, parts: &[PromptPart], limit: u64) {
        for part in parts {
            // Requests may state different lengths for the same part; the latest one counts.
            if let Some(previous) = self.tokens_by_part.insert(part.id, part.tokens) {
                self.tokens -= u64::from(previous);
            }
            self.tokens += u64::from(part.tokens);
            self.use_order.push_back(part.id);
        }
        // A part is in the queue once for each use, and only its last position counts. Bounding the
        // length of the queue removes outdated positions.
        while self.tokens > limit || self.use_order.len() > 4 * self.tokens_by_part.len() + 64 {
            let Some(oldest) = self.use_order.pop_front() else {
                break;
            };
            if !self.use_order.contains(&oldest)
                && let Some(tokens) = self.tokens_by_part.remove(&oldest)
            {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}
