//! Queue of one tier, and the minimum share of low tiers.
//!
//! Workspaces take turns by their fairness counter. Among workspaces whose counters are about
//! equal, and within a workspace, the earliest deadline goes first.
//!
//! A low tier that waits earns [`MINIMUM_SHARE`] of the slot time dispatched to higher tiers. The
//! turn it pays for comes before the higher tiers, but only while every waiting request of a
//! higher tier would still meet its deadline one slot release later, and admission does not count
//! it. With four lower tiers, a request of the highest tier waits at most
//! `4 * MINIMUM_SHARE / (1 - 4 * MINIMUM_SHARE)` = 13.7 % longer in the queue, plus one slot
//! release for each lower tier.
//!
//! When a higher tier alone exceeds capacity, its queue is at its deadlines all the time. A turn
//! that has been due for [`STARVATION_LIMIT`] is then taken all the same, because no class may
//! starve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::fairness::Fairness;
use crate::ids::RequestId;

/// Number of tiers; index 0 is tier 1.
pub const TIERS: usize = 5;

/// Share of slot time that a waiting low tier receives at least.
pub const MINIMUM_SHARE: f64 = 0.03;

/// Time after which a turn no longer waits until higher tiers have slack.
pub const STARVATION_LIMIT: Duration = Duration::from_secs(5);

/// Difference of counters below which the deadline decides, in counter units.
const COUNTER_TOLERANCE: u64 = 500_000;

/// Workspaces that a prediction takes into account.
const MAX_PREDICTED_WORKSPACES: usize = 64;

/// Workspaces compared by deadline in one decision.
const MAX_COMPARED_WORKSPACES: usize = 8;

/// A queued request as the queue sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// Index of the workspace.
    pub workspace: u32,
    /// Time by which it is due.
    pub deadline: Instant,
    /// The request.
    pub id: RequestId,
    /// Expected slot time in seconds.
    pub cost: f64,
    /// Expected tokens.
    pub tokens: f64,
}

#[derive(Debug, Default)]
struct Flow {
    items: BTreeMap<(Instant, RequestId), Item>,
    tokens: f64,
    key: u64,
}

/// Requests of one tier that wait for the same endpoints.
#[derive(Debug, Default)]
pub struct Queue {
    flows: HashMap<u32, Flow>,
    order: BTreeSet<(u64, u32)>,
    deadlines: BTreeMap<(Instant, RequestId), u32>,
}

impl Queue {
    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the earliest deadline.
    pub fn earliest_deadline(&self) -> Option<Instant> {
        self.deadlines.keys().next().map(|k| k.0)
    }

    /// Returns the request with the latest deadline.
    pub fn latest_request(&self) -> Option<RequestId> {
        self.deadlines.keys().next_back().map(|k| k.1)
    }

    /// Returns the requests due before a time, the earliest first.
    pub fn due_by(&self, time: Instant) -> Vec<RequestId> {
        let due = self.deadlines.keys().take_while(|k| k.0 <= time);
        due.map(|k| k.1).collect()
    }

    /// Adds a request.
    pub fn push(&mut self, item: Item, fairness: &Fairness) {
        let key = (item.deadline, item.id);
        let flow = self.flows.entry(item.workspace).or_default();
        if flow.items.is_empty() {
            flow.key = fairness.counter(item.workspace);
            self.order.insert((flow.key, item.workspace));
        }
        flow.items.insert(key, item);
        flow.tokens += item.tokens;
        self.deadlines.insert(key, item.workspace);
    }

    /// Removes a request.
    pub fn remove(&mut self, item: &Item) {
        let key = (item.deadline, item.id);
        if self.deadlines.remove(&key).is_none() {
            return;
        }
        let Some(flow) = self.flows.get_mut(&item.workspace) else {
            return;
        };
        flow.items.remove(&key);
        flow.tokens -= item.tokens;
        if flow.items.is_empty() {
            self.order.remove(&(flow.key, item.workspace));
            self.flows.remove(&item.workspace);
        }
    }

    /// Returns the next requests to dispatch, the best first.
    pub fn next(&mut self, fairness: &Fairness) -> Vec<Item> {
        self.refresh_order(fairness);
        let Some(&(lowest, _)) = self.order.first() else {
            return Vec::new();
        };
        let close = |key: &&(u64, u32)| key.0 <= lowest.saturating_add(COUNTER_TOLERANCE);
        let mut items: Vec<_> = self
            .order
            .iter()
            .take(MAX_COMPARED_WORKSPACES)
            .take_while(close)
            .filter_map(|(_, workspace)| self.first_item(*workspace))
            .collect();
        items.sort_by_key(|item| (item.deadline, item.id));
        items
    }

    /// Returns how many requests are started before a queued one of the workspace that came last.
    ///
    /// Until the counter of the workspace has passed its own backlog, each other workspace is
    /// served until its counter arrives at the same level.
    pub fn requests_ahead(&self, workspace: u32, fairness: &Fairness) -> f64 {
        let Some(own) = self.flows.get(&workspace) else {
            return 0.0;
        };
        let level = fairness.counter_after(workspace, own.tokens);
        let mut ahead = own.items.len() as f64 - 1.0;
        let below = self.order.iter().take_while(|(key, _)| *key < level);
        for (_, other) in below
            .take(MAX_PREDICTED_WORKSPACES)
            .filter(|(_, w)| *w != workspace)
        {
            let flow = &self.flows[other];
            let tokens = fairness.tokens_until(*other, level).min(flow.tokens);
            ahead += flow.items.len() as f64 * tokens / flow.tokens.max(1.0);
        }
        ahead
    }

    fn first_item(&self, workspace: u32) -> Option<Item> {
        self.flows.get(&workspace)?.items.values().next().copied()
    }

    /// Brings the first flows in the order of present counters; counters only ever grow.
    fn refresh_order(&mut self, fairness: &Fairness) {
        loop {
            let stale = |key: &&(u64, u32)| fairness.counter(key.1) != key.0;
            let Some(&(key, workspace)) =
                self.order.iter().take(MAX_COMPARED_WORKSPACES).find(stale)
            else {
                return;
            };
            self.order.remove(&(key, workspace));
            let counter = fairness.counter(workspace);
            self.order.insert((counter, workspace));
            if let Some(flow) = self.flows.get_mut(&workspace) {
                flow.key = counter;
            }
        }
    }
}

/// Slot time that waiting low tiers have earned, in seconds by tier.
#[derive(Clone, Copy, Debug, Default)]
pub struct MinimumShare {
    credit: [f64; TIERS],
    due_since: [Option<Instant>; TIERS],
}

impl MinimumShare {
    /// Records a dispatch from a tier; `waiting` tells which tiers have requests waiting.
    pub fn record_dispatch(&mut self, tier: usize, cost: f64, waiting: [bool; TIERS]) {
        for (lower, waits) in waiting.iter().enumerate().skip(tier + 1) {
            if *waits {
                // The cap keeps a tier that could not be placed from collecting many turns.
                self.credit[lower] = (self.credit[lower] + cost * MINIMUM_SHARE).min(cost);
            }
        }
        self.due_since[tier] = None;
        self.credit[tier] -= cost;
        self.credit[tier] = self.credit[tier].clamp(-cost, cost);
    }

    /// Returns the waiting tiers that have earned a turn before higher tiers, the lowest first.
    pub fn due_tiers(&mut self, now: Instant, waiting: [bool; TIERS]) -> Vec<usize> {
        let mut due = Vec::new();
        for tier in (1..TIERS).rev() {
            if waiting[tier] && self.credit[tier] > 0.0 {
                self.due_since[tier].get_or_insert(now);
                due.push(tier);
            } else {
                self.due_since[tier] = None;
            }
        }
        due
    }

    /// Tells whether the turn of a tier has been due for too long.
    pub fn is_starved(&self, now: Instant, tier: usize) -> bool {
        self.due_since[tier].is_some_and(|at| now.saturating_duration_since(at) >= STARVATION_LIMIT)
    }
}
