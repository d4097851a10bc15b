//! Memory of what was answered recently, by which this instance clears what is suspected afterwards.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::fingerprint::Fingerprint;

/// Times of the newest answers, for a limited time and a limited number of them.
#[derive(Debug)]
pub(crate) struct AnswerMemory {
    /// Time for which an answer is remembered.
    ttl: Duration,
    /// Maximum number of answers that are remembered.
    limit: usize,
    /// Time of the newest answer to each request or part.
    newest: HashMap<Fingerprint, Instant>,
    /// All remembered answers, oldest first.
    order: VecDeque<(Instant, Fingerprint)>,
}

impl AnswerMemory {
    pub(crate) fn new(ttl: Duration, limit: usize) -> Self {
        Self {
            ttl,
            limit,
            newest: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Remembers an answer.
    pub(crate) fn add(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.newest.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some((at, fingerprint)) = self.order.front().copied() {
            let is_expired = now.saturating_duration_since(at) >= self.ttl;
            if !is_expired && self.order.len() <= self.limit {
                break;
            }
            self.order.pop_front();
            if self.newest.get(&fingerprint) == Some(&at) {
                self.newest.remove(&fingerprint);
            }
        }
    }

    /// Returns the age of the newest answer that is remembered.
    pub(crate) fn age(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let at = self.newest.get(&fingerprint)?;
        let age = now.saturating_duration_since(*at);
        (age < self.ttl).then_some(age)
    }
}
