//! Prompt parts that an engine is taken to hold, from the requests that were sent to it.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::dialect::PromptPart;

/// Prompt parts that an engine has read, the least recently used first.
#[derive(Debug, Default)]
pub struct PromptCache {
    held: HashMap<u64, u32>,
    order: VecDeque<u64>,
    tokens: u64,
}

impl PromptCache {
    /// Returns the tokens of the first parts that are held; a part counts only if all before it do.
    pub fn cached(&self, parts: &[PromptPart]) -> u32 {
        parts
            .iter()
            .take_while(|part| self.held.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Adds the parts of a prompt that is read, and forgets the oldest beyond the limit in tokens.
    pub fn add(&mut self, parts: &[PromptPart], limit: u64) {
        for part in parts {
            if self.held.insert(part.id, part.tokens).is_none() {
                self.tokens += u64::from(part.tokens);
            }
            self.order.push_back(part.id);
        }
        // An identity stands in the order once for each use; only its newest place counts.
        while self.tokens > limit || self.order.len() > 4 * self.held.len() + 64 {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            if !self.order.contains(&oldest)
                && let Some(tokens) = self.held.remove(&oldest)
            {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}
