//! Request queue of one tier, and the minimum share of low tiers.
//!
//! The workspace with the lowest fairness counter is served first. Among workspaces whose counters
//! are about equal, and within a workspace, the request with the earliest deadline goes first.
//!
//! A low tier with waiting requests earns [`MINIMUM_SHARE`] of the slot time dispatched to higher
//! tiers as credit. A tier with credit has a turn: one of its requests is dispatched before the
//! higher tiers, but only while every waiting request of a higher tier would still meet its
//! deadline one slot release later. Admission does not account for turns. With four lower tiers, a
//! request of the highest tier waits at most
//! `4 * MINIMUM_SHARE / (1 - 4 * MINIMUM_SHARE)` = 13.7 % longer in the queue, plus one slot
//! release for each lower tier.
//!
//! While the load of a higher tier alone exceeds capacity, its requests are always close to their
//! deadlines. A turn that has been due for [`STARVATION_LIMIT`] is then taken regardless of the
//! deadlines of higher tiers, because no class may starve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::fairness::Fairness;
use crate::ids::RequestId;

/// Number of tiers; index 0 is tier 1.
pub const TIERS: usize = 5;

/// Minimum fraction of slot time that a low tier with waiting requests receives.
pub const MINIMUM_SHARE: f64 = 0.03;

/// Time after which a due turn is taken even if higher tiers have no slack.
pub const STARVATION_LIMIT: Duration = Duration::from_secs(5);

/// Difference of fairness counters up to which the deadline decides, in counter units.
const COUNTER_TOLERANCE: u64 = 500_000;

/// Maximum number of workspaces that a wait prediction takes into account.
const MAX_PREDICTED_WORKSPACES: usize = 64;

/// Maximum number of workspaces compared by deadline in one decision.
const MAX_COMPARED_WORKSPACES: usize = 8;

/// A request in a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// Index of the workspace.
    pub workspace: u32,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Request identifier.
    pub id: RequestId,
    /// Expected slot time in seconds.
    pub cost: f64,
    /// Expected number of prompt and output tokens.
    pub tokens: f64,
}

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
struct Flow {
    items: BTreeMap<(Instant, RequestId), Item>,
    /// Sum of the expected tokens of all items.
    tokens: f64,
    /// Fairness counter under which the workspace is listed in [`Queue::order`].
    key: u64,
}

/// Requests of one tier that wait for the same endpoint pool.
#[derive(Debug, Default)]
pub struct Queue {
    flows: HashMap<u32, Flow>,
    /// Fairness counter and index of each workspace with waiting requests.
    order: BTreeSet<(u64, u32)>,
    /// Workspace of each request, by deadline.
    deadlines: BTreeMap<(Instant, RequestId), u32>,
}

impl Queue {
    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the earliest deadline of all waiting requests.
    pub fn earliest_deadline(&self) -> Option<Instant> {
        self.deadlines.keys().next().map(|k| k.0)
    }

    /// Returns the request with the latest deadline.
    pub fn latest_request(&self) -> Option<RequestId> {
        self.deadlines.keys().next_back().map(|k| k.1)
    }

    /// Returns the requests with a deadline at or before `time`, the earliest first.
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

    /// Removes a request, if it is waiting.
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

    /// Returns candidates for the next dispatch, at most one per workspace and the best first.
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

    /// Returns the expected number of requests started before the last queued one of a workspace.
    ///
    /// By the time that the workspace has been served its own backlog, every other workspace has
    /// been served until its fairness counter reached the same level or its queue was empty.
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

    /// Reorders the first flows by their current counters, which never decrease.
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

/// Credit of waiting low tiers towards their minimum share, in seconds of slot time by tier.
#[derive(Clone, Copy, Debug, Default)]
pub struct MinimumShare {
    credit: [f64; TIERS],
    due_since: [Option<Instant>; TIERS],
}

impl MinimumShare {
    /// Records the dispatch of a request from a tier.
    ///
    /// `waiting` holds for each tier whether it has waiting requests.
    pub fn record_dispatch(&mut self, tier: usize, cost: f64, waiting: [bool; TIERS]) {
        for (lower, waits) in waiting.iter().enumerate().skip(tier + 1) {
            if *waits {
                // The cap prevents a tier that finds no free endpoint from accumulating many turns.
                self.credit[lower] = (self.credit[lower] + cost * MINIMUM_SHARE).min(cost);
            }
        }
        self.due_since[tier] = None;
        self.credit[tier] -= cost;
        self.credit[tier] = self.credit[tier].clamp(-cost, cost);
    }

    /// Returns the waiting tiers that have earned a turn, the lowest tier first.
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

    /// Returns whether the turn of a tier has been due for [`STARVATION_LIMIT`].
    pub fn is_starved(&self, now: Instant, tier: usize) -> bool {
        self.due_since[tier].is_some_and(|at| now.saturating_duration_since(at) >= STARVATION_LIMIT)
    }
}
