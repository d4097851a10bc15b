//! How many endpoints are wanted in which availability zone, and of which kind.
//!
//! The plan covers the demand of all classes, and the demand of the top tiers also after the loss
//! of any one zone, at the lowest price. It grows at once and shrinks slowly. The naive version is
//! [`crate::simple_scaler`]; `docs/orders-and-usage.md` explains the rules to operators.

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

/// Lowest of the top tiers, whose demand is covered also after the loss of a zone.
pub const MAX_TOP_TIER: u8 = 2;

/// Share of the top tiers' mean demand that is covered by on-demand endpoints.
///
/// Reclaimable endpoints of several zones can be taken back before new ones are ready.
pub const ON_DEMAND_SHARE: f64 = 0.25;

/// Standard deviations of demand above its mean that are covered for classes with a short target.
pub const TOP_DEVIATIONS: f64 = 2.33;

/// The same for lower tiers.
pub const LOW_DEVIATIONS: f64 = 1.0;

/// Target from which a class is not covered above its mean demand, because its requests can wait.
pub const LONG_TARGET: Duration = Duration::from_secs(60);

/// How long the highest need is remembered before endpoints are given back.
pub const SCALE_DOWN_WINDOW: Duration = Duration::from_secs(120);

/// Time that a new endpoint takes to become ready; demand is extrapolated this far.
pub const BOOT: Duration = Duration::from_secs(60);

/// Most by which growing demand is extrapolated, relative to the present demand.
pub const MAX_GROWTH: f64 = 0.5;

/// How long a pool that lost endpoints, or did not deliver, is not counted on.
pub const COOL_DOWN: Duration = Duration::from_secs(600);

/// Time after which ordered endpoints that did not appear are taken as not deliverable.
pub const DELIVERY: Duration = Duration::from_secs(180);

/// Longest time after which the platform's list shows the effect of an order.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// Price factor of endpoints that are already ordered, so that small price changes move nothing.
pub const STAY_FACTOR: f64 = 0.9;

/// Demand of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDemand {
    /// The class.
    pub class: ClassId,
    /// Its tier.
    pub tier: u8,
    /// Its tightest target.
    pub target: Option<Duration>,
    /// Slots that its requests would occupy on average, including requests that were refused:
    /// arrivals a second times the mean time on an endpoint in seconds.
    pub busy_slots: f64,
}

impl ClassDemand {
    /// Returns the demand of a class of the rules from its arrivals a second, including refused
    /// ones, and the mean time of a request on an endpoint.
    pub fn new(class: &Class, arrivals: f64, service: Duration) -> Self {
        Self {
            class: class.id.clone(),
            tier: class.tier,
            target: class.first.or(class.complete),
            busy_slots: arrivals * service.as_secs_f64(),
        }
    }
}

/// What is known of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolState {
    /// Zone and kind.
    pub pool: CapacityPool,
    /// Price per hour and endpoint.
    pub price: f64,
    /// Most endpoints that can be had.
    pub limit: u32,
    /// Endpoints that are ready and not leaving.
    pub ready: u32,
    /// Endpoints that are starting.
    pub starting: u32,
    /// Wanted number of the last order.
    pub ordered: u32,
}

impl PoolState {
    fn running(&self) -> u32 {
        self.ready + self.starting
    }
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Demand by class.
    pub demand: &'a [ClassDemand],
    /// All pools that the platform offers, in order.
    pub pools: &'a [PoolState],
    /// Requests that one endpoint processes at once.
    pub slots: u32,
}

/// Wanted number of endpoints of one pool, different from the last order.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The pool, as text.
    #[serde(rename = "place", serialize_with = "as_text")]
    pub pool: CapacityPool,
    /// Number of the last order.
    pub from: u32,
    /// Wanted number.
    pub to: u32,
    /// Short name of the rule that decided.
    pub reason: &'static str,
}

fn as_text<S: serde::Serializer>(pool: &CapacityPool, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(pool)
}

/// Endpoints that are needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Need {
    /// For the top tiers alone, after the loss of any one zone.
    pub top: u32,
    /// For all classes.
    pub all: u32,
    /// Of these, on-demand.
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

/// The decisions of one step, with their reasons, for the decision log.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// Kind of the record.
    pub kind: &'static str,
    /// Endpoints that are needed.
    pub need: Need,
    /// Whether the loss of any one zone is covered once the plan is carried out.
    pub reserve: bool,
    /// What to order.
    pub changes: Vec<Change>,
}

/// Plans orders to the platform.
pub trait Scaler: Send {
    /// Plans from the present demand and endpoints; called every few seconds.
    fn plan(&mut self, now: Instant, inputs: &Inputs<'_>) -> Plan;
}

#[derive(Clone, Debug, Default)]
struct Memory {
    running: u32,
    /// Orders that the list may reflect, the oldest first.
    orders: VecDeque<(Instant, u32)>,
    /// Since when fewer endpoints run than the list should show.
    short: Option<Instant>,
    /// Until when the pool is not counted on, and how many endpoints it still has.
    cooldown: Option<(Instant, u32)>,
}

/// The production scaler.
#[derive(Debug, Default)]
pub struct ZoneScaler {
    needs: VecDeque<(Instant, Need)>,
    loads: VecDeque<(Instant, f64)>,
    memory: BTreeMap<CapacityPool, Memory>,
}

impl Scaler for ZoneScaler {
    fn plan(&mut self, now: Instant, inputs: &Inputs<'_>) -> Plan {
        let growth = self.growth(now, inputs.demand);
        let present = need(inputs, growth);
        let need = self.remember(now, present);
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
        keep_ready(need, inputs.pools, &limits, &mut changes);
        Plan {
            kind: "scale",
            need,
            reserve,
            changes,
        }
    }
}

impl ZoneScaler {
    /// Returns the factor by which demand is expected to grow until a new endpoint is ready.
    fn growth(&mut self, now: Instant, demand: &[ClassDemand]) -> f64 {
        let load: f64 = demand.iter().map(|d| d.busy_slots).sum();
        self.loads.push_back((now, load));
        while self.loads.get(1).is_some_and(|(t, _)| now - *t >= BOOT) {
            self.loads.pop_front();
        }
        let Some((start, before)) = self.loads.front() else {
            return 1.0;
        };
        let span = now - *start;
        if span < BOOT / 2 || load <= 0.0 {
            return 1.0;
        }
        let slope = (load - before) / span.as_secs_f64();
        1.0 + (slope * BOOT.as_secs_f64() / load).clamp(0.0, MAX_GROWTH)
    }

    /// Returns the highest need of the last [`SCALE_DOWN_WINDOW`].
    fn remember(&mut self, now: Instant, need: Need) -> Need {
        // Equal needs in a row take one place, because only the newest of them matters.
        if self.needs.back().is_some_and(|(_, last)| *last == need) {
            self.needs.pop_back();
        }
        self.needs.push_back((now, need));
        while self
            .needs
            .front()
            .is_some_and(|(t, _)| now - *t > SCALE_DOWN_WINDOW)
        {
            self.needs.pop_front();
        }
        let needs = self.needs.iter().map(|(_, n)| *n);
        needs.fold(need, Need::max)
    }

    /// Returns how many endpoints each pool is expected to deliver.
    fn limits(&mut self, now: Instant, pools: &[PoolState]) -> Vec<u32> {
        pools.iter().map(|p| self.limit(now, p)).collect()
    }

    fn limit(&mut self, now: Instant, state: &PoolState) -> u32 {
        let memory = self.memory.entry(state.pool.clone()).or_default();
        let running = state.running();
        let expected = memory.expected(now, state.ordered);
        let short = running < expected;
        memory.short = short.then(|| memory.short.unwrap_or(now));
        let late = memory.short.is_some_and(|t| now - t >= DELIVERY);
        if short && (late || running < memory.running) {
            memory.cooldown = Some((now + COOL_DOWN, running));
            memory.short = None;
        }
        memory.running = running;
        match &mut memory.cooldown {
            Some((until, cap)) if now < *until => {
                *cap = running.min(*cap);
                state.limit.min(*cap)
            }
            _ => state.limit,
        }
    }
}

impl Memory {
    /// Returns the number that the list should show by now: the smallest order that it may reflect.
    fn expected(&mut self, now: Instant, ordered: u32) -> u32 {
        if self.orders.back().is_none_or(|(_, last)| *last != ordered) {
            self.orders.push_back((now, ordered));
        }
        // An order stays visible until its successor is older than the list can be.
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

/// Returns the endpoints that cover this demand if it grows by a factor.
fn need(inputs: &Inputs<'_>, growth: f64) -> Need {
    let slots = f64::from(inputs.slots.max(1));
    let top = inputs.demand.iter().filter(|d| d.tier <= MAX_TOP_TIER);
    let mean: f64 = top.clone().map(|d| d.busy_slots).sum();
    let endpoints = |slots_needed: f64| (slots_needed / slots).ceil() as u32;
    let top = endpoints(staffing(top, growth)).max(1);
    let floor = endpoints(ON_DEMAND_SHARE * mean);
    Need {
        top,
        all: endpoints(staffing(inputs.demand.iter(), growth)).max(top),
        floor,
    }
}

/// Returns the slots that cover the demand of classes and its random variation.
///
/// The number of busy slots varies by the square root of its mean, as with Poisson arrivals.
fn staffing<'a>(demand: impl Iterator<Item = &'a ClassDemand>, growth: f64) -> f64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for class in demand {
        let busy = class.busy_slots * growth;
        let deviations = match class.target {
            None => 0.0,
            Some(target) if target >= LONG_TARGET => 0.0,
            Some(_) if class.tier <= MAX_TOP_TIER => TOP_DEVIATIONS,
            Some(_) => LOW_DEVIATIONS,
        };
        mean += busy;
        variance += deviations * deviations * busy;
    }
    mean + variance.sqrt()
}

/// A number of endpoints that one pool delivers at one price.
struct Segment {
    index: usize,
    count: u32,
    price: f64,
}

/// Returns the cheapest counts that cover the need, and whether the loss of a zone is covered.
fn allocate(need: Need, pools: &[PoolState], limits: &[u32]) -> (Vec<u32>, bool) {
    let segments = segments(pools, limits);
    let supply: u32 = limits.iter().sum();
    let least = need.all.max(need.top + 1);
    // Twice the top need, half of it in each of two zones, always covers the loss of one.
    let most = least.max(2 * need.top).min(supply);
    let mut best: Option<(f64, Vec<u32>)> = None;
    for total in least..=most {
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
    let total = least.min(supply);
    let spread = (1..=total)
        .find_map(|cap| fill(total, cap, need.floor, pools, &segments))
        .map(|(_, counts)| counts);
    (spread.unwrap_or_else(|| vec![0; pools.len()]), false)
}

/// Returns what each pool delivers, the cheapest first.
fn segments(pools: &[PoolState], limits: &[u32]) -> Vec<Segment> {
    let mut segments = Vec::new();
    for (index, (state, limit)) in pools.iter().zip(limits).enumerate() {
        let stay = state.ordered.min(*limit);
        segments.push(Segment {
            index,
            count: stay,
            price: STAY_FACTOR * state.price,
        });
        segments.push(Segment {
            index,
            count: limit - stay,
            price: state.price,
        });
    }
    segments.sort_by(|a, b| a.price.total_cmp(&b.price));
    segments
}

/// Chooses `total` endpoints, at most `cap` in one zone and at least `floor` of them on-demand.
fn fill(
    total: u32,
    cap: u32,
    floor: u32,
    pools: &[PoolState],
    segments: &[Segment],
) -> Option<(f64, Vec<u32>)> {
    let mut chosen = Chosen {
        counts: vec![0; pools.len()],
        zones: BTreeMap::new(),
        left: total,
        cost: 0.0,
    };
    let mut used = vec![0; segments.len()];
    let on_demand = |s: &Segment| !pools[s.index].pool.reclaimable;
    let beyond = total - floor.min(total);
    for (segment, used) in segments.iter().zip(&mut used) {
        if on_demand(segment) {
            let most = chosen.left - beyond;
            *used = chosen.take(segment, segment.count.min(most), cap, pools);
        }
    }
    for (segment, used) in segments.iter().zip(&used) {
        let most = (segment.count - used).min(chosen.left);
        chosen.take(segment, most, cap, pools);
    }
    (chosen.left == 0).then_some((chosen.cost, chosen.counts))
}

struct Chosen<'a> {
    counts: Vec<u32>,
    zones: BTreeMap<&'a ZoneId, u32>,
    left: u32,
    cost: f64,
}

impl<'a> Chosen<'a> {
    fn take(&mut self, segment: &Segment, most: u32, cap: u32, pools: &'a [PoolState]) -> u32 {
        let zone = &pools[segment.index].pool.zone;
        let used = self.zones.entry(zone).or_default();
        let count = most.min(cap.saturating_sub(*used));
        *used += count;
        self.counts[segment.index] += count;
        self.left -= count;
        self.cost += f64::from(count) * segment.price;
        count
    }
}

/// Defers reductions that the endpoints that are ready elsewhere do not allow yet.
fn keep_ready(need: Need, pools: &[PoolState], limits: &[u32], changes: &mut Vec<Change>) {
    let mut ready: Vec<u32> = pools.iter().map(|p| p.ready).collect();
    for change in changes.iter_mut().filter(|c| c.to < c.from) {
        let Some(i) = pools.iter().position(|p| p.pool == change.pool) else {
            continue;
        };
        // Endpoints that are not delivered need no replacement before the order for them ends.
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

/// Tells whether these endpoints cover the need, also after the loss of any one zone.
fn covers(need: Need, pools: &[PoolState], ready: &[u32]) -> bool {
    let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
    for (state, count) in pools.iter().zip(ready) {
        *zones.entry(&state.pool.zone).or_default() += count;
    }
    let total: u32 = zones.values().sum();
    let largest = zones.values().copied().max().unwrap_or(0);
    total >= need.all && total - largest >= need.top
}
