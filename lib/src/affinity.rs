//! Endpoints that hold the cache of a prompt prefix.
//!
//! An entry remembers where it sent a prefix and what cache events told it. For unknown prefixes,
//! rendezvous hashing of the shortest one gives all entries the same endpoint without a message.
//! The load bound is applied by [`crate::balancer`].

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::policy::CacheEvents;

/// Prefixes remembered at most; the oldest are dropped first.
pub const MAX_PREFIXES: usize = 16_384;

/// Load relative to the mean above which an endpoint is passed over despite its cache.
pub const LOAD_BOUND: f64 = 1.25;

/// Mixes two hashes into one.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a name, the same in every process.
pub fn hash_name(name: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325;
    let hash = name.bytes().fold(start, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash, 0)
}

/// Returns the position of the hash that wins for the key.
pub fn rendezvous(key: u64, hashes: impl Iterator<Item = u64>) -> Option<usize> {
    hashes
        .enumerate()
        .max_by_key(|(_, hash)| mix(key, *hash))
        .map(|(position, _)| position)
}

/// Sorts items by how they win for the key; without the first one, the second one would win.
pub fn rank<T>(key: u64, items: &mut [T], hash: impl Fn(&T) -> u64) {
    items.sort_unstable_by_key(|item| std::cmp::Reverse(mix(key, hash(item))));
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: usize,
    /// The endpoint's count of forgotten events when this was learned.
    epoch: u32,
    stamp: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct EventFeed {
    next: u64,
    epoch: u32,
}

/// Prefixes and the endpoint that holds each, given by its index in the balancer.
#[derive(Debug, Default)]
pub struct Affinity {
    holders: HashMap<u64, Holder>,
    order: VecDeque<(u64, u64)>,
    feeds: HashMap<usize, EventFeed>,
    stamp: u64,
}

impl Affinity {
    /// Remembers that a request with these prefixes was sent to an endpoint.
    pub fn insert(&mut self, prefixes: &[u64], endpoint: usize) {
        let epoch = self.epoch(endpoint);
        for prefix in prefixes {
            self.stamp += 1;
            let holder = Holder {
                endpoint,
                epoch,
                stamp: self.stamp,
            };
            self.holders.insert(*prefix, holder);
            self.order.push_back((*prefix, self.stamp));
        }
        while self.order.len() > MAX_PREFIXES {
            let Some((prefix, stamp)) = self.order.pop_front() else {
                return;
            };
            if self.holders.get(&prefix).is_some_and(|h| h.stamp == stamp) {
                self.holders.remove(&prefix);
            }
        }
    }

    /// Returns the endpoint that holds the longest known prefix.
    pub fn holder(&self, prefixes: &[u64]) -> Option<usize> {
        prefixes.iter().rev().find_map(|prefix| {
            let holder = self.holders.get(prefix)?;
            (holder.epoch == self.epoch(holder.endpoint)).then_some(holder.endpoint)
        })
    }

    /// Takes in cache events; after a gap, all that was known of the endpoint is dropped.
    pub fn apply_events(&mut self, endpoint: usize, events: &CacheEvents) {
        let feed = self.feeds.entry(endpoint).or_default();
        if events.first > feed.next || events.first + events.count() < feed.next {
            feed.epoch += 1;
        } else if events.first < feed.next {
            // A repeated batch would bring back prefixes that were evicted since.
            return;
        }
        feed.next = events.first + events.count();
        for prefix in &events.evicted {
            if self
                .holders
                .get(prefix)
                .is_some_and(|h| h.endpoint == endpoint)
            {
                self.holders.remove(prefix);
            }
        }
        let unknown: Vec<_> = events
            .stored
            .iter()
            .filter(|p| !self.holders.contains_key(p))
            .copied()
            .collect();
        self.insert(&unknown, endpoint);
    }

    /// Drops all that is known of an endpoint, whose cache is lost.
    pub fn invalidate(&mut self, endpoint: usize) {
        self.feeds.entry(endpoint).or_default().epoch += 1;
    }

    /// Returns the number of remembered prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn epoch(&self, endpoint: usize) -> u32 {
        self.feeds.get(&endpoint).map_or(0, |f| f.epoch)
    }
}
