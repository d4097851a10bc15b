//! Plans the number of endpoints in each capacity pool, that is, by availability zone and kind.
//!
//! A plan is the cheapest one that covers the demand of all classes, and the demand of the top
//! tiers even after the loss of any one zone. Scaling up is immediate, scaling down is delayed. The
//! baseline implementation is [`crate::simple_scaler`]; `docs/orders-and-usage.md` explains the
//! rules to operators.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::ids::ClassId;
use crate::ids::ZoneId;
use crate::order::CapacityPool;
use crate::rules::Class;

/// Largest tier number that counts as a top tier, whose demand is covered after the loss of a zone.
pub const MAX_TOP_TIER: u8 = 2;

/// Minimum share of the top tiers' mean demand that on-demand endpoints cover.
///
/// The platform can reclaim endpoints in several zones before replacements are ready.
pub const MIN_ON_DEMAND_SHARE: f64 = 0.25;

/// Standard deviations above the mean demand that are covered for top-tier classes with a target
/// shorter than [`LONG_TARGET`].
pub const TOP_TIER_DEVIATIONS: f64 = 2.33;

/// Standard deviations above the mean demand that are covered for such classes of lower tiers.
pub const LOW_TIER_DEVIATIONS: f64 = 1.0;

/// Target from which only the mean demand of a class is covered, because its requests can wait.
pub const LONG_TARGET: Duration = Duration::from_secs(60);

/// Window over which the highest need applies, which delays scaling down.
pub const SCALE_DOWN_WINDOW: Duration = Duration::from_secs(120);

/// Time that a new endpoint takes to become ready, over which demand is extrapolated.
pub const BOOT_TIME: Duration = Duration::from_secs(60);

/// Maximum extrapolated growth, relative to the current demand.
pub const MAX_GROWTH: f64 = 0.5;

/// How long the limit of a pool stays reduced after it lost endpoints or failed to deliver them.
pub const COOLDOWN: Duration = Duration::from_secs(600);

/// Time after which ordered endpoints that have not appeared are considered undeliverable.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_secs(180);

/// Maximum delay until the platform's instance list shows the effect of an order.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// Price factor of endpoints that are already ordered; it prevents moves for small price changes.
pub const ORDERED_PRICE_FACTOR: f64 = 0.9;

/// Largest number of endpoints that is considered in a pool or as a need, which bounds the time of a plan.
const MAX_ENDPOINTS: u32 = 10_000;

/// Demand of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDemand {
    /// The class.
    pub class: ClassId,
    /// Tier of the class, 1 for the highest.
    pub tier: u8,
    /// Time to the first token that the class allows, or else the time to completion.
    pub target: Option<Duration>,
    /// Mean number of slots that its requests occupy, refused requests included: the arrival rate
    /// multiplied by the mean service time.
    pub busy_slots: f64,
}

impl ClassDemand {
    /// Returns the demand of a class from its arrival rate per second, refused requests included,
    /// and the mean service time of a request on an endpoint.
    pub fn new(class: &Class, arrivals: f64, service: Duration) -> Self {
        Self {
            class: class.id.clone(),
            tier: class.tier,
            target: class.first.or(class.complete),
            busy_slots: arrivals * service.as_secs_f64(),
        }
    }
}

/// State of a capacity pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolState {
    /// The zone and kind of endpoint.
    pub pool: CapacityPool,
    /// Price per hour and endpoint.
    pub price: f64,
    /// Maximum number of endpoints that the platform offers.
    pub limit: u32,
    /// Number of endpoints that are ready and not leaving.
    pub ready: u32,
    /// Number of endpoints that are starting.
    pub starting: u32,
    /// Number of endpoints that the last order requested.
    pub ordered: u32,
}

impl PoolState {
    fn running(&self) -> u32 {
        self.ready + self.starting
    }
}

/// Inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Demand by class.
    pub demand: &'a [ClassDemand],
    /// All capacity pools that the platform offers, sorted by zone and kind.
    pub pools: &'a [PoolState],
    /// Number of requests that one endpoint processes concurrently.
    pub slots: u32,
}

/// Change of the number of endpoints to order in a capacity pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The pool, serialized as text.
    #[serde(rename = "place", serialize_with = "as_text")]
    pub pool: CapacityPool,
    /// Number of endpoints in the last order.
    pub from: u32,
    /// Number of endpoints to order.
    pub to: u32,
    /// Short name of the rule that caused the change.
    pub reason: &'static str,
}

fn as_text<S: serde::Serializer>(pool: &CapacityPool, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(pool)
}

/// Required numbers of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Need {
    /// Endpoints for the top tiers that must remain after the loss of any one zone.
    pub top: u32,
    /// Endpoints for all classes.
    pub all: u32,
    /// Minimum number of on-demand endpoints.
    pub floor: u32,
}

impl Need {
    fn max(self, other: Self) -> Self {
        Self {
            top: self.top.max(other.top),
            all: self.all.max(other.all),
            floor: self.floor.max(other.floor),
        }
    }
}

/// Result of planning, which is also a record of the decision log.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// Kind of the decision record.
    pub kind: &'static str,
    /// Required numbers of endpoints.
    pub need: Need,
    /// Whether the plan covers the loss of any one zone.
    pub reserve: bool,
    /// Orders to place.
    pub changes: Vec<Change>,
}

/// Strategy that plans how many endpoints to order.
pub trait Scaler: Send {
    /// Returns a plan for the current demand and endpoints; called every few seconds.
    fn plan(&mut self, now: Instant, inputs: &Inputs<'_>) -> Plan;
}

#[derive(Clone, Debug, Default)]
struct PoolHistory {
    last_running: u32,
    /// Orders that the instance list may reflect, oldest first.
    orders: VecDeque<(Instant, u32)>,
    /// Time since which the list shows fewer endpoints than expected.
    short_since: Option<Instant>,
    /// End of the cooldown, and the limit of the pool until then.
    cooldown: Option<(Instant, u32)>,
}

/// Scaler that plans for the loss of an availability zone.
#[derive(Debug, Default)]
pub struct ZoneScaler {
    recent_needs: VecDeque<(Instant, Need)>,
    recent_loads: VecDeque<(Instant, f64)>,
    history: BTreeMap<CapacityPool, PoolHistory>,
}

impl Scaler for ZoneScaler {
    fn plan(&mut self, now: Instant, inputs: &Inputs<'_>) -> Plan {
        let growth = self.growth(now, inputs.demand);
        let current = need(inputs, growth);
        let need = self.peak_need(now, current);
        let limits = self.limits(now, inputs.pools);
        let (counts, reserve) = allocate(need, inputs.pools, &limits);
        let mut changes = Vec::new();
        let mut states = inputs.pools.iter().zip(&limits);
        let lost = states.any(|(state, limit)| *limit < state.ordered);
        for (i, state) in inputs.pools.iter().enumerate() {
            let reason = match counts[i].cmp(&state.ordered) {
                Ordering::Equal => continue,
                Ordering::Greater if lost => "replace",
                Ordering::Greater => "demand",
                Ordering::Less if limits[i] < state.ordered => "lost",
                Ordering::Less => "surplus",
            };
            changes.push(Change {
                pool: state.pool.clone(),
                from: state.ordered,
                to: counts[i],
                reason,
            });
        }
        defer_reductions(need, inputs.pools, &limits, &mut changes);
        Plan {
            kind: "scale",
            need,
            reserve,
            changes,
        }
    }
}

impl ZoneScaler {
    /// Returns the expected growth factor of demand until a new endpoint is ready.
    fn growth(&mut self, now: Instant, demand: &[ClassDemand]) -> f64 {
        let load: f64 = demand.iter().map(|d| d.busy_slots).sum();
        self.recent_loads.push_back((now, load));
        while self
            .recent_loads
            .get(1)
            .is_some_and(|(t, _)| now - *t >= BOOT_TIME)
        {
            self.recent_loads.pop_front();
        }
        let Some((start, before)) = self.recent_loads.front() else {
            return 1.0;
        };
        let span = now - *start;
        if span < BOOT_TIME / 2 || load <= 0.0 {
            return 1.0;
        }
        let slope = (load - before) / span.as_secs_f64();
        1.0 + (slope * BOOT_TIME.as_secs_f64() / load).clamp(0.0, MAX_GROWTH)
    }

    /// Returns the highest need within the last [`SCALE_DOWN_WINDOW`].
    fn peak_need(&mut self, now: Instant, need: Need) -> Need {
        // Only the newest of consecutive equal needs is kept, because it expires last.
        if self
            .recent_needs
            .back()
            .is_some_and(|(_, last)| *last == need)
        {
            self.recent_needs.pop_back();
        }
        self.recent_needs.push_back((now, need));
        while self
            .recent_needs
            .front()
            .is_some_and(|(t, _)| now - *t > SCALE_DOWN_WINDOW)
        {
            self.recent_needs.pop_front();
        }
        let needs = self.recent_needs.iter().map(|(_, n)| *n);
        needs.fold(need, Need::max)
    }

    /// Returns the number of endpoints that each pool is expected to deliver.
    fn limits(&mut self, now: Instant, pools: &[PoolState]) -> Vec<u32> {
        pools.iter().map(|p| self.limit(now, p)).collect()
    }

    fn limit(&mut self, now: Instant, state: &PoolState) -> u32 {
        let history = self.history.entry(state.pool.clone()).or_default();
        let offered = state.limit.min(MAX_ENDPOINTS);
        let running = state.running();
        let expected = history.expected(now, state.ordered);
        let short = running < expected;
        history.short_since = short.then(|| history.short_since.unwrap_or(now));
        let overdue = history
            .short_since
            .is_some_and(|t| now - t >= DELIVERY_TIMEOUT);
        if short && (overdue || running < history.last_running) {
            history.cooldown = Some((now + COOLDOWN, running));
            history.short_since = None;
        }
        history.last_running = running;
        match &mut history.cooldown {
            Some((until, cap)) if now < *until => {
                *cap = running.min(*cap);
                offered.min(*cap)
            }
            _ => offered,
        }
    }
}

impl PoolHistory {
    /// Returns the number of endpoints that the list must show by now, which is the smallest order
    /// that it may reflect.
    fn expected(&mut self, now: Instant, ordered: u32) -> u32 {
        if self.orders.back().is_none_or(|(_, last)| *last != ordered) {
            self.orders.push_back((now, ordered));
        }
        // The list may reflect an order until the order after it is older than the list's lag.
        while self
            .orders
            .get(1)
            .is_some_and(|(t, _)| now - *t >= MAX_LIST_LAG)
        {
            self.orders.pop_front();
        }
        let orders = self.orders.iter().map(|(_, count)| *count);
        orders.min().unwrap_or(ordered)
    }
}

/// Returns the endpoints that cover the demand multiplied by the growth factor.
fn need(inputs: &Inputs<'_>, growth: f64) -> Need {
    let slots = f64::from(inputs.slots.max(1));
    let top = inputs.demand.iter().filter(|d| d.tier <= MAX_TOP_TIER);
    let mean: f64 = top.clone().map(|d| d.busy_slots).sum();
    // The conversion saturates.
    let endpoints = |slots_needed: f64| ((slots_needed / slots).ceil() as u32).min(MAX_ENDPOINTS);
    let top = endpoints(staffing(top, growth)).max(1);
    let floor = endpoints(MIN_ON_DEMAND_SHARE * mean);
    Need {
        top,
        all: endpoints(staffing(inputs.demand.iter(), growth)).max(top),
        floor,
    }
}

/// Returns the number of slots that cover the demand of the classes and its random variation.
///
/// For Poisson arrivals the variance of the number of busy slots equals its mean.
fn staffing<'a>(demand: impl Iterator<Item = &'a ClassDemand>, growth: f64) -> f64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for class in demand {
        let busy = class.busy_slots * growth;
        let deviations = match class.target {
            None => 0.0,
            Some(target) if target >= LONG_TARGET => 0.0,
            Some(_) if class.tier <= MAX_TOP_TIER => TOP_TIER_DEVIATIONS,
            Some(_) => LOW_TIER_DEVIATIONS,
        };
        mean += busy;
        variance += deviations * deviations * busy;
    }
    mean + variance.sqrt()
}

/// Endpoints of one pool that have the same price.
struct Segment {
    index: usize,
    count: u32,
    price: f64,
}

/// Returns the cheapest counts by pool that cover the need, and whether they survive a zone loss.
///
/// If the offers do not suffice, the available endpoints are spread over the zones.
fn allocate(need: Need, pools: &[PoolState], limits: &[u32]) -> (Vec<u32>, bool) {
    let segments = segments(pools, limits);
    let supply: u32 = limits.iter().sum();
    let min_total = need.all.max(need.top + 1);
    // Twice the need of the top tiers, half of it in each of two zones, covers the loss of one.
    let max_total = min_total.max(2 * need.top).min(supply);
    let mut best: Option<(f64, Vec<u32>)> = None;
    for total in min_total..=max_total {
        let cap = total - need.top;
        let Some((cost, counts)) = fill(total, cap, need.floor, pools, &segments) else {
            continue;
        };
        if best.as_ref().is_none_or(|(c, _)| cost < *c) {
            best = Some((cost, counts));
        }
    }
    if let Some((_, counts)) = best {
        return (counts, true);
    }
    let total = min_total.min(supply);
    let spread = (1..=total)
        .find_map(|cap| fill(total, cap, need.floor, pools, &segments))
        .map(|(_, counts)| counts);
    (spread.unwrap_or_else(|| vec![0; pools.len()]), false)
}

/// Returns the available endpoints of each pool, cheapest first.
fn segments(pools: &[PoolState], limits: &[u32]) -> Vec<Segment> {
    let mut segments = Vec::new();
    for (index, (state, limit)) in pools.iter().zip(limits).enumerate() {
        let already_ordered = state.ordered.min(*limit);
        segments.push(Segment {
            index,
            count: already_ordered,
            price: ORDERED_PRICE_FACTOR * state.price,
        });
        segments.push(Segment {
            index,
            count: limit - already_ordered,
            price: state.price,
        });
    }
    segments.sort_by(|a, b| a.price.total_cmp(&b.price));
    segments
}

/// Selects the cheapest `total` endpoints with at most `cap` per zone; `floor` of them are on-demand
/// if the platform offers as many.
///
/// Returns their cost and the counts by pool, or `None` if there are too few endpoints.
fn fill(
    total: u32,
    cap: u32,
    floor: u32,
    pools: &[PoolState],
    segments: &[Segment],
) -> Option<(f64, Vec<u32>)> {
    let mut selection = Selection {
        counts: vec![0; pools.len()],
        zones: BTreeMap::new(),
        remaining: total,
        cost: 0.0,
    };
    let mut used = vec![0; segments.len()];
    let on_demand = |s: &Segment| !pools[s.index].pool.reclaimable;
    let unreserved = total - floor.min(total);
    for (segment, used) in segments.iter().zip(&mut used) {
        if on_demand(segment) {
            let max_count = selection.remaining - unreserved;
            *used = selection.take(segment, segment.count.min(max_count), cap, pools);
        }
    }
    for (segment, used) in segments.iter().zip(&used) {
        let max_count = (segment.count - used).min(selection.remaining);
        selection.take(segment, max_count, cap, pools);
    }
    (selection.remaining == 0).then_some((selection.cost, selection.counts))
}

struct Selection<'a> {
    counts: Vec<u32>,
    zones: BTreeMap<&'a ZoneId, u32>,
    remaining: u32,
    cost: f64,
}

impl<'a> Selection<'a> {
    fn take(&mut self, segment: &Segment, max_count: u32, cap: u32, pools: &'a [PoolState]) -> u32 {
        let zone = &pools[segment.index].pool.zone;
        let used = self.zones.entry(zone).or_default();
        let count = max_count.min(cap.saturating_sub(*used));
        *used += count;
        self.counts[segment.index] += count;
        self.remaining -= count;
        self.cost += f64::from(count) * segment.price;
        count
    }
}

/// Limits reductions to what the remaining ready endpoints can cover.
fn defer_reductions(need: Need, pools: &[PoolState], limits: &[u32], changes: &mut Vec<Change>) {
    let mut ready: Vec<u32> = pools.iter().map(|p| p.ready).collect();
    for change in changes.iter_mut().filter(|c| c.to < c.from) {
        let Some(i) = pools.iter().position(|p| p.pool == change.pool) else {
            continue;
        };
        // Endpoints that are not expected to be delivered need no replacement.
        let floor = change.to;
        change.to = change.from.min(limits[i].max(floor));
        while change.to > floor {
            let after = ready[i].min(change.to - 1);
            let before = std::mem::replace(&mut ready[i], after);
            if before != after && !covers(need, pools, &ready) {
                ready[i] = before;
                break;
            }
            change.to -= 1;
        }
    }
    changes.retain(|c| c.to != c.from);
}

/// Returns whether the ready endpoints cover the need, including after the loss of any one zone.
fn covers(need: Need, pools: &[PoolState], ready: &[u32]) -> bool {
    let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
    for (state, count) in pools.iter().zip(ready) {
        *zones.entry(&state.pool.zone).or_default() += count;
    }
    let total: u32 = zones.values().sum();
    let largest = zones.values().copied().max().unwrap_or(0);
    total >= need.all && total - largest >= need.top
}
