//! Affinity of prompt prefixes to the endpoints that cache them.
//!
//! An instance records the endpoint to which it sent each prefix, and the cache events that
//! endpoints publish. For unknown prefixes, rendezvous hashing of the shortest prefix selects the
//! same endpoint on all instances without communication. The load bound is applied by
//! [`crate::balancer`].

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::policy::CacheEvents;

/// Maximum number of recorded prefixes; the oldest are dropped first.
pub const MAX_PREFIXES: usize = 16_384;

/// Load relative to the mean above which an endpoint is not preferred for its cache.
pub const LOAD_BOUND: f64 = 1.25;

/// Mixes two hashes into one.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a name to a value that is the same in every process.
pub fn hash_name(name: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325;
    let hash = name.bytes().fold(start, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash, 0)
}

/// Returns the position of the hash that rendezvous hashing selects for the key.
pub fn rendezvous(key: u64, hashes: impl Iterator<Item = u64>) -> Option<usize> {
    hashes
        .enumerate()
        .max_by_key(|(_, hash)| mix(key, *hash))
        .map(|(position, _)| position)
}

/// Sorts items by their rendezvous rank for the key, the selected item first.
///
/// If the first item is removed, the second one is selected.
pub fn rank<T>(key: u64, items: &mut [T], hash: impl Fn(&T) -> u64) {
    items.sort_unstable_by_key(|item| std::cmp::Reverse(mix(key, hash(item))));
}

/// Record of the endpoint that caches a prefix.
#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: usize,
    /// Epoch of the endpoint when the prefix was recorded.
    epoch: u32,
    /// Insertion number, which identifies the record in the eviction order.
    stamp: u64,
}

/// State of the cache events of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EventFeed {
    /// Number of the next expected event.
    next: u64,
    /// Number of times that all records of the endpoint were invalidated.
    epoch: u32,
}

/// Prefixes and the endpoints that cache them, identified by their index in the balancer.
#[derive(Debug, Default)]
pub struct Affinity {
    holders: HashMap<u64, Holder>,
    order: VecDeque<(u64, u64)>,
    feeds: HashMap<usize, EventFeed>,
    stamp: u64,
}

impl Affinity {
    /// Records that a request with these prefixes was sent to an endpoint.
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

    /// Returns the endpoint that caches the longest recorded prefix.
    pub fn holder(&self, prefixes: &[u64]) -> Option<usize> {
        prefixes.iter().rev().find_map(|prefix| {
            let holder = self.holders.get(prefix)?;
            (holder.epoch == self.epoch(holder.endpoint)).then_some(holder.endpoint)
        })
    }

    /// Applies cache events of an endpoint; after a gap, its earlier records are invalidated.
    pub fn apply_events(&mut self, endpoint: usize, events: &CacheEvents) {
        let feed = self.feeds.entry(endpoint).or_default();
        if events.first > feed.next || events.first + events.count() < feed.next {
            feed.epoch += 1;
        } else if events.first < feed.next {
            // A repeated batch could restore prefixes that were evicted in the meantime.
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

    /// Invalidates all records of an endpoint that has lost its cache.
    pub fn invalidate(&mut self, endpoint: usize) {
        self.feeds.entry(endpoint).or_default().epoch += 1;
    }

    /// Returns the number of recorded prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is recorded.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn epoch(&self, endpoint: usize) -> u32 {
        self.feeds.get(&endpoint).map_or(0, |f| f.epoch)
    }
}
