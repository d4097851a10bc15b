//! Request queue of one tier, and the minimum share of low tiers.
//!
//! Within a workspace, the request with the earliest deadline goes first, and workspaces take turns
//! ([`crate::fairness`]). Turns only decide among requests that have the time: a request that would
//! be late if it waited for another slot goes before one that would not.
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

use crate::fairness;
use crate::fairness::VirtualClock;
use crate::ids::RequestId;

/// Number of tiers; index 0 is tier 1.
pub const TIERS: usize = 5;

/// Minimum fraction of slot time that a low tier with waiting requests receives.
pub const MINIMUM_SHARE: f64 = 0.03;

/// Time after which a due turn is taken even if higher tiers have no slack.
pub const STARVATION_LIMIT: Duration = Duration::from_secs(5);

/// Maximum number of workspaces that a wait prediction takes into account.
const MAX_PREDICTED_WORKSPACES: usize = 64;

/// Maximum number of requests that are counted to predict a wait.
const MAX_PREDICTED_REQUESTS: usize = 4_096;

/// Maximum number of candidates for one dispatch.
const MAX_CANDIDATES: usize = 8;

/// A request in a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// Index of the workspace.
    pub workspace: u32,
    /// Weight of the workspace.
    pub weight: f64,
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
#[derive(Debug)]
struct Flow {
    items: BTreeMap<ItemKey, Item>,
    /// Sum of the expected tokens of all items.
    tokens: f64,
    /// Virtual time of the next start.
    start: u64,
}

/// Deadline and identifier, the order of requests within a workspace.
type ItemKey = (Instant, RequestId);

/// Requests of one tier that wait for the same endpoint pool.
#[derive(Debug, Default)]
pub struct Queue {
    flows: HashMap<u32, Flow>,
    /// Next start, first item and index of each workspace with waiting requests.
    order: BTreeSet<(u64, ItemKey, u32)>,
    /// Workspace of each request, by deadline.
    deadlines: BTreeMap<ItemKey, u32>,
    clock: VirtualClock,
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
    pub fn push(&mut self, item: Item) {
        let start = self.clock.start(item.workspace);
        self.unlist(item.workspace);
        let flow = self.flows.entry(item.workspace).or_insert_with(|| Flow {
            items: BTreeMap::new(),
            tokens: 0.0,
            start,
        });
        flow.items.insert(key(&item), item);
        flow.tokens += item.tokens;
        self.deadlines.insert(key(&item), item.workspace);
        self.list(item.workspace);
    }

    /// Removes a request that is not dispatched, if it is waiting.
    pub fn remove(&mut self, item: &Item) {
        if self.deadlines.remove(&key(item)).is_none() {
            return;
        }
        self.unlist(item.workspace);
        if let Some(flow) = self.flows.get_mut(&item.workspace) {
            flow.items.remove(&key(item));
            flow.tokens -= item.tokens;
        }
        self.list(item.workspace);
    }

    /// Removes a request that is dispatched.
    pub fn take(&mut self, item: &Item) {
        let lowest = self.order.first().map_or(0, |entry| entry.0);
        let start = match self.flows.get(&item.workspace) {
            Some(flow) if self.deadlines.contains_key(&key(item)) => flow.start,
            _ => return,
        };
        let units = fairness::units(item.tokens, item.weight);
        let waiting = self.flows.len();
        let next = self
            .clock
            .serve(item.workspace, start, units, lowest, waiting);
        self.unlist(item.workspace);
        if let Some(flow) = self.flows.get_mut(&item.workspace) {
            flow.start = next;
        }
        self.list(item.workspace);
        self.remove(item);
    }

    /// Forgets which workspaces were served if nobody waits.
    pub fn forget_if_empty(&mut self) {
        if self.is_empty() {
            self.clock.reset();
        }
    }

    /// Returns candidates for the next dispatch, the best first.
    ///
    /// A request with a deadline before `min_deadline` is late unless it is started now.
    pub fn next(&self, min_deadline: Instant) -> Vec<Item> {
        let turns = self.order.iter().take(MAX_CANDIDATES);
        let mut items: Vec<_> = turns
            .filter_map(|(_, _, workspace)| self.first_item(*workspace))
            .collect();
        let urgent = self.deadlines.iter().next();
        let urgent = urgent.and_then(|(_, workspace)| self.first_item(*workspace));
        if let (Some(urgent), Some(first)) = (urgent, items.first())
            && urgent.deadline < min_deadline
            && first.deadline >= min_deadline
        {
            items.retain(|item| item.id != urgent.id);
            items.insert(0, urgent);
        }
        items
    }

    /// Returns the expected number of requests that are started before a queued one.
    ///
    /// By its turn, every other workspace has been served up to the same virtual time or its queue is
    /// empty. If fewer requests have earlier deadlines, those are counted, since a request that would
    /// be late at its turn is started before all that have more time.
    pub fn requests_ahead(&self, item: &Item) -> f64 {
        let Some(own) = self.flows.get(&item.workspace) else {
            return 0.0;
        };
        let (mut ahead, mut tokens) = (own.items.len() - 1, own.tokens - item.tokens);
        if own.items.keys().next_back() != Some(&key(item)) {
            let earlier = own.items.range(..key(item)).take(MAX_PREDICTED_REQUESTS);
            (ahead, tokens) = earlier.fold((0, 0.0), |(n, sum), (_, i)| (n + 1, sum + i.tokens));
        }
        let level = own
            .start
            .saturating_add(fairness::units(tokens, item.weight));
        let mut ahead = ahead as f64;
        let below = self.order.iter().take_while(|entry| entry.0 < level);
        for (start, _, other) in below
            .take(MAX_PREDICTED_WORKSPACES)
            .filter(|entry| entry.2 != item.workspace)
        {
            let flow = &self.flows[other];
            let weight = flow.items.values().next().map_or(1.0, |item| item.weight);
            let tokens = fairness::tokens(level - start, weight).min(flow.tokens);
            ahead += flow.items.len() as f64 * tokens / flow.tokens.max(1.0);
        }
        ahead.min(self.earlier_deadlines(item, ahead))
    }

    /// Returns the number of requests with an earlier deadline, or `enough` if it is at least that.
    fn earlier_deadlines(&self, item: &Item, enough: f64) -> f64 {
        if self.deadlines.keys().next_back() == Some(&key(item)) {
            return self.deadlines.len() as f64 - 1.0;
        }
        // The conversion saturates.
        let max = (enough.ceil() as usize).min(MAX_PREDICTED_REQUESTS);
        match self.deadlines.range(..key(item)).take(max).count() {
            count if count < max => count as f64,
            _ => enough,
        }
    }

    fn first_item(&self, workspace: u32) -> Option<Item> {
        self.flows.get(&workspace)?.items.values().next().copied()
    }

    /// Adds a workspace to the order, or drops it if it has no requests.
    fn list(&mut self, workspace: u32) {
        let Some(flow) = self.flows.get(&workspace) else {
            return;
        };
        match flow.items.keys().next() {
            Some(first) => drop(self.order.insert((flow.start, *first, workspace))),
            None => drop(self.flows.remove(&workspace)),
        }
    }

    /// Removes a workspace from the order, before its next start or its first request changes.
    fn unlist(&mut self, workspace: u32) {
        if let Some(flow) = self.flows.get(&workspace)
            && let Some(first) = flow.items.keys().next()
        {
            self.order.remove(&(flow.start, *first, workspace));
        }
    }
}

fn key(item: &Item) -> ItemKey {
    (item.deadline, item.id)
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
