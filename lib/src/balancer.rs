//! Selection of an endpoint for a request.
//!
//! Several instances select among the same endpoints from delayed load reports. If each took the
//! endpoint with the lowest reported load, all of them would overload it at once. The balancer
//! therefore takes the better of two random candidates (power of two choices).
//!
//! An instance uses at most [`SUBSET`] endpoints per pool. They are selected by rendezvous hashing,
//! so that the subsets of all instances cover the endpoints evenly.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;

use crate::affinity;
use crate::affinity::Affinity;
use crate::health::Health;
use crate::health::MIN_HEALTHY_FRACTION;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::RouteId;
use crate::ids::ZoneId;
use crate::load::LoadEstimate;
use crate::policy::Candidate;
use crate::policy::Decision;
use crate::rules::Endpoint;
use crate::view::View;

/// Maximum number of endpoints that one instance uses in a pool.
pub const SUBSET: usize = 96;

/// Fraction of the subset taken from near zones, if they have enough endpoints.
const NEAR_ZONE_SHARE: f64 = 0.75;

/// One-way latency up to which a zone is near.
const NEAR_ZONE_LATENCY: Duration = Duration::from_millis(5);

/// One-way latency to a zone for which none is configured.
const DEFAULT_ZONE_LATENCY: Duration = Duration::from_millis(1);

/// Number of requests that tier 1 may have queued at an engine, as a fraction of its slots.
///
/// The engine serves tier 1 first.
const ENGINE_QUEUE_SHARE: f64 = 0.125;

/// Fraction of the slots up to which a tier selects only among its preferred endpoints.
const PREFERRED_LOAD: f64 = 0.7;

/// Expected additional delay at an endpoint whose KV cache is nearly full.
const FULL_CACHE_DELAY_MS: f64 = 500.0;

/// Expected delay of loading a model.
const MODEL_LOAD_DELAY_MS: f64 = 5_000.0;

/// Upper bound of the estimated number of instances that share an endpoint.
const MAX_FAN_IN: f64 = 64.0;

/// Weight of a new sample in the estimated number of instances that share an endpoint.
const FAN_IN_WEIGHT: f64 = 0.3;

/// Fraction of the load extrapolated from requests of this instance that counts if reports show a lower
/// load.
const INFERRED_LOAD_WEIGHT: f64 = 0.7;

/// Weight of an equal division of slots among instances, relative to a division by demand.
const EQUAL_SHARE_WEIGHT: f64 = 2.0;

/// Weight of a new sample in the moving averages of a pool.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Endpoints with their state, and the pools from which endpoints are selected.
pub struct Balancer {
    nodes: Vec<Node>,
    free_nodes: Vec<usize>,
    index: HashMap<EndpointId, usize>,
    pools: Vec<Pool>,
    routes: HashMap<(RouteId, Option<ModelId>), usize>,
    affinity: Affinity,
    zone: ZoneId,
    zone_latencies: BTreeMap<ZoneId, Duration>,
    salt: u64,
    /// Estimated number of instances that share an endpoint.
    fan_in: f64,
    /// Number of instances, if it is known.
    instance_count: Option<f64>,
}

/// Slots of a pool and their division among instances.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Number of usable slots.
    pub slots: f64,
    /// Estimated number of requests in flight from all instances.
    pub in_flight: f64,
    /// Number of instances that share the endpoints.
    pub instance_count: f64,
    /// Fraction of the slots that is assigned to this instance.
    pub own_share: f64,
}

/// State of one endpoint.
pub struct Node {
    /// Rule that declares the endpoint.
    pub rule: Arc<Endpoint>,
    /// Estimated load.
    pub load: LoadEstimate,
    /// Estimated health.
    pub health: Health,
    /// Number of suspect requests of this instance that run on the endpoint.
    pub suspects: u32,
    /// One-way latency in milliseconds.
    latency_ms: f64,
    /// Hash of the endpoint name for rendezvous hashing.
    hash: u64,
}

/// Endpoints that serve the same route and model.
pub struct Pool {
    /// Indices of the endpoints in the balancer, sorted.
    pub nodes: Vec<usize>,
    /// Average time to the first token in seconds.
    pub first: f64,
    /// Average time between tokens in seconds.
    pub between: f64,
    model: Option<ModelId>,
    /// Average price of the endpoints.
    price: f64,
    /// Number of eligible endpoints before the subset was selected.
    total: usize,
}

impl Pool {
    /// Returns the expected slot time for a number of output tokens, in seconds.
    pub fn time(&self, output: f64) -> f64 {
        self.first + self.between * output
    }

    /// Updates the averages from a finished request and returns its pace: the ratio of its
    /// duration to the expected one.
    pub fn update_averages(&mut self, first: Option<Duration>, total: f64, output: u32) -> f64 {
        let pace = total / self.time(f64::from(output)).max(1e-3);
        let first = first.map_or(total, |f| f.as_secs_f64());
        self.first += (first - self.first) * SAMPLE_WEIGHT;
        if output > 1 {
            let between = (total - first).max(0.0) / f64::from(output - 1);
            self.between += (between - self.between) * SAMPLE_WEIGHT;
        }
        pace
    }
}

/// Requirements of a request for the selection of an endpoint.
pub struct Requirements<'a> {
    /// Index of the pool.
    pub pool: usize,
    /// Index of the tier.
    pub tier: usize,
    /// Whether this is a minimum-share turn of a low tier, which has as much room as tier 1.
    pub turn: bool,
    /// Whether a minimum-share turn is due, so that tier 1 must not fill engine queues before it.
    pub turn_due: bool,
    /// Whether the request is suspected of crashing endpoints, so that it must not share an
    /// endpoint with another suspect.
    pub suspect: bool,
    /// Endpoints that already failed the request.
    pub excluded: &'a [EndpointId],
    /// Hashes of prompt prefixes, the shortest first.
    pub prefixes: &'a [u64],
    /// Time that the request has for its first token.
    pub time_left: Duration,
}

/// Reason why no endpoint could be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No endpoint has room for the tier.
    Full,
    /// Some endpoint has room, but must not run this request.
    Restricted,
    /// All endpoints of the pool are excluded for this request.
    Nowhere,
}

impl Balancer {
    /// Creates a balancer without endpoints.
    ///
    /// `salt` selects the subset of endpoints and has to differ between instances.
    pub fn new(zone: ZoneId, zone_latencies: BTreeMap<ZoneId, Duration>, salt: u64) -> Self {
        Self {
            nodes: Vec::new(),
            free_nodes: Vec::new(),
            index: HashMap::new(),
            pools: Vec::new(),
            routes: HashMap::new(),
            affinity: Affinity::default(),
            zone,
            zone_latencies,
            salt,
            fan_in: 1.0,
            instance_count: None,
        }
    }

    /// Replaces the endpoints by those of a view and keeps the state of endpoints that remain.
    pub fn install(&mut self, view: &View) {
        self.remove_nodes(view);
        for rule in view.endpoints() {
            if let Some(&node) = self.index.get(&rule.id) {
                self.nodes[node].rule = rule.clone();
            } else {
                self.add_node(rule);
            }
        }
        let mut kept = vec![false; self.pools.len()];
        let mut routes: Vec<_> = std::mem::take(&mut self.routes).into_iter().collect();
        routes.sort();
        for (key, pool) in routes {
            let Some((nodes, total)) = self.candidates(view, &key.0, key.1.as_ref()) else {
                continue;
            };
            if !kept[pool] {
                kept[pool] = true;
                self.set_nodes(pool, nodes, total);
                self.routes.insert(key, pool);
            } else if self.pools[pool].nodes == nodes {
                self.routes.insert(key, pool);
            }
        }
        for (pool, _) in kept.iter().enumerate().filter(|(_, c)| !**c) {
            self.pools[pool].nodes.clear();
        }
    }

    fn remove_nodes(&mut self, view: &View) {
        for (n, node) in self.nodes.iter().enumerate() {
            let known = self.index.get(&node.rule.id) == Some(&n);
            if known && node.load.in_flight() == 0 && view.endpoint(node.rule.id.as_str()).is_none()
            {
                self.index.remove(&node.rule.id);
                self.affinity.invalidate(n);
                self.free_nodes.push(n);
            }
        }
    }

    fn add_node(&mut self, rule: &Arc<Endpoint>) {
        let node = Node {
            rule: rule.clone(),
            load: LoadEstimate::new(rule.slots),
            health: Health::default(),
            suspects: 0,
            latency_ms: self.zone_latency(&rule.zone).as_secs_f64() * 1000.0,
            hash: affinity::hash_name(rule.id.as_str()),
        };
        let n = self.free_nodes.pop().unwrap_or(self.nodes.len());
        if n == self.nodes.len() {
            self.nodes.push(node);
        } else {
            self.nodes[n] = node;
        }
        self.index.insert(rule.id.clone(), n);
    }

    /// Returns the pool of a route and model, or `None` if the route has no endpoint for the model.
    ///
    /// The pool is created if it does not exist.
    pub fn pool(&mut self, view: &View, route: &RouteId, model: Option<&ModelId>) -> Option<usize> {
        let key = (route.clone(), model.cloned());
        if let Some(&pool) = self.routes.get(&key) {
            return Some(pool);
        }
        let (nodes, total) = self.candidates(view, route, model)?;
        let is_same = |p: &Pool| p.nodes == nodes && p.model.as_ref() == model;
        let pool = match self.pools.iter().position(is_same) {
            Some(pool) => pool,
            None => self.add_pool(nodes, total, model),
        };
        self.routes.insert(key, pool);
        Some(pool)
    }

    fn candidates(
        &self,
        view: &View,
        route: &RouteId,
        model: Option<&ModelId>,
    ) -> Option<(Vec<usize>, usize)> {
        let rule = view.route(route.as_str())?;
        let mut all: Vec<usize> = view
            .candidates(rule, model)
            .filter_map(|e| self.index.get(&e.id).copied())
            .collect();
        all.sort_unstable();
        let count = all.len();
        (count > 0).then(|| (self.subset(all), count))
    }

    fn add_pool(&mut self, nodes: Vec<usize>, total: usize, model: Option<&ModelId>) -> usize {
        let pool = Pool {
            nodes: Vec::new(),
            first: 0.2,
            between: 0.03,
            model: model.cloned(),
            price: 0.0,
            total: 0,
        };
        let unused = self.pools.iter().position(|p| p.nodes.is_empty());
        let index = unused.unwrap_or(self.pools.len());
        if index == self.pools.len() {
            self.pools.push(pool);
        } else {
            self.pools[index] = pool;
        }
        self.set_nodes(index, nodes, total);
        index
    }

    fn set_nodes(&mut self, pool: usize, nodes: Vec<usize>, total: usize) {
        self.pools[pool].total = total;
        let price: f64 = nodes.iter().map(|n| self.nodes[*n].rule.price).sum();
        self.pools[pool].price = price / nodes.len() as f64;
        self.pools[pool].nodes = nodes;
    }

    /// Returns the indices of the pools that contain an endpoint.
    pub fn pools_of(&self, node: usize) -> Vec<usize> {
        let contains_node = |pool: &usize| self.pools[*pool].nodes.binary_search(&node).is_ok();
        (0..self.pools.len()).filter(contains_node).collect()
    }

    /// Returns the number of pools, including unused ones.
    pub fn pools(&self) -> usize {
        self.pools.len()
    }

    /// Returns a pool.
    pub fn get(&self, pool: usize) -> &Pool {
        &self.pools[pool]
    }

    /// Returns a mutable reference to a pool, or `None` if the index is out of range.
    pub fn get_mut(&mut self, pool: usize) -> Option<&mut Pool> {
        self.pools.get_mut(pool)
    }

    /// Returns an endpoint.
    pub fn node(&self, node: usize) -> &Node {
        &self.nodes[node]
    }

    /// Returns a mutable reference to an endpoint.
    pub fn node_mut(&mut self, node: usize) -> &mut Node {
        &mut self.nodes[node]
    }

    /// Returns the number of records kept after requests end.
    pub fn record_count(&self) -> usize {
        let history: usize = self.nodes.iter().map(|n| n.load.history_len()).sum();
        self.affinity.len() + history
    }

    /// Returns the number of endpoint indices, including unused ones.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the index of an endpoint, or `None` if it is unknown.
    pub fn find(&self, endpoint: &EndpointId) -> Option<usize> {
        self.index.get(endpoint).copied()
    }

    /// Returns the record of prompt prefixes and the endpoints that cache them.
    pub fn affinity(&mut self) -> &mut Affinity {
        &mut self.affinity
    }

    /// Returns the number of requests of this instance in flight on the endpoints of a pool.
    pub fn own_in_flight(&self, pool: usize) -> u32 {
        let nodes = &self.pools[pool].nodes;
        nodes.iter().map(|n| self.nodes[*n].load.in_flight()).sum()
    }

    /// Sets the number of instances, which replaces the estimate from load reports.
    pub fn set_instance_count(&mut self, count: u32) {
        self.instance_count = Some(f64::from(count.max(1)));
    }

    /// Returns the usable slots of a pool and their division among instances.
    ///
    /// The share of an instance lies between its fraction of all requests, which follows demand,
    /// and an equal one. With a division by demand alone, an instance with long requests would keep
    /// its slots indefinitely while others have requests of higher tiers waiting.
    pub fn capacity(&self, now: Instant, pool: usize) -> Capacity {
        let pool = &self.pools[pool];
        let mut slots = 0.0;
        let mut own = 0.0;
        let mut in_flight = 0.0;
        for n in &pool.nodes {
            let node = &self.nodes[*n];
            slots += f64::from(node.load.slots()) * node.health.share(now);
            own += f64::from(node.load.in_flight());
            in_flight += node.load.estimate(self.fan_in);
        }
        let instance_count = match self.instance_count {
            Some(count) => (count * pool.nodes.len() as f64 / pool.total.max(1) as f64).max(1.0),
            None => self.fan_in,
        };
        let request_share = if in_flight > 0.0 {
            own / in_flight
        } else {
            1.0
        };
        Capacity {
            slots,
            in_flight,
            instance_count,
            own_share: (request_share + EQUAL_SHARE_WEIGHT / instance_count)
                / (1.0 + EQUAL_SHARE_WEIGHT),
        }
    }

    /// Compares the pace of each endpoint with the median, and estimates the fan-in.
    ///
    /// `overdue` holds for each endpoint whether too many of its running requests are overdue.
    pub fn compare_endpoints(&mut self, overdue: &[bool]) {
        let mut paces: Vec<f64> = self
            .nodes
            .iter()
            .filter_map(|n| n.health.latency_ratio())
            .collect();
        paces.sort_by(f64::total_cmp);
        let median = paces.get(paces.len() / 2).copied().unwrap_or(1.0);
        let mut own = 0.0;
        let mut total = 0.0;
        for (node, overdue) in self.nodes.iter_mut().zip(overdue) {
            node.health.compare(median, *overdue);
            if !node.load.is_distrusted() {
                own += f64::from(node.load.in_flight());
                total += node.load.estimate(1.0);
            }
        }
        if own > 0.0 {
            let fan_in = (total / own).clamp(1.0, MAX_FAN_IN);
            let weight = if self.fan_in == 1.0 {
                1.0
            } else {
                FAN_IN_WEIGHT
            };
            self.fan_in += (fan_in - self.fan_in) * weight;
        }
    }

    /// Selects an endpoint, and returns its index with the reason for the selection.
    pub fn choose(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
        rng: &mut StdRng,
    ) -> Result<(usize, Decision), SelectionError> {
        let open = self.endpoints_with_room(now, requirements)?;
        if let Some(node) = self.likely_cache_holder(requirements, &open) {
            return Ok((node, self.decision("affinity", requirements, &[node])));
        }
        let preferred: Vec<usize> = open
            .iter()
            .copied()
            .filter(|n| self.prefers(requirements, &self.nodes[*n]))
            .collect();
        let free: Vec<usize> = open
            .iter()
            .copied()
            .filter(|n| self.is_free(now, requirements, &self.nodes[*n]))
            .collect();
        let sets = [&preferred, &free, &open];
        let set = sets.into_iter().find(|s| !s.is_empty()).unwrap_or(&open);
        let first = set[rng.random_range(0..set.len())];
        let second = set[rng.random_range(0..set.len())];
        let chosen = match self.is_better(requirements, second, first) {
            true => second,
            false => first,
        };
        let reason = if requirements.turn {
            "minimum_share"
        } else {
            "two_choices"
        };
        Ok((
            chosen,
            self.decision(reason, requirements, &[first, second]),
        ))
    }

    /// Returns the endpoints with room for the request.
    fn endpoints_with_room(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
    ) -> Result<Vec<usize>, SelectionError> {
        let pool = &self.pools[requirements.pool];
        let unreliable = |node: &Node| node.health.is_slow() || node.load.is_silent(now);
        let usable = |n: &&usize| {
            let node = &self.nodes[**n];
            node.health.share(now) > 0.0 && !unreliable(node)
        };
        let usable = pool.nodes.iter().filter(usable).count();
        let keep_all = (usable as f64) < pool.nodes.len() as f64 * MIN_HEALTHY_FRACTION;
        let mut open = Vec::with_capacity(pool.nodes.len());
        let mut restricted = 0;
        let mut excluded = 0;
        for &n in &pool.nodes {
            let node = &self.nodes[n];
            if requirements.excluded.contains(&node.rule.id) {
                excluded += 1;
                restricted += usize::from(self.has_room(now, node, requirements));
            } else if (keep_all || !unreliable(node)) && self.has_room(now, node, requirements) {
                if requirements.suspect && node.suspects > 0 {
                    restricted += 1;
                } else {
                    open.push(n);
                }
            }
        }
        match open.is_empty() {
            false => Ok(open),
            true if excluded == pool.nodes.len() => Err(SelectionError::Nowhere),
            true if restricted > 0 => Err(SelectionError::Restricted),
            true => Err(SelectionError::Full),
        }
    }

    fn has_room(&self, now: Instant, node: &Node, requirements: &Requirements<'_>) -> bool {
        let share = node.health.share(now);
        if share == 0.0 {
            return false;
        }
        let slots = f64::from(node.load.slots());
        if requirements.tier > 0 && !requirements.turn {
            return node.load.may_claim(slots * share, self.fan_in);
        }
        // A minimum-share turn may queue at an engine like tier 1: under load, other instances fill
        // every slot that becomes free.
        let engine_queue = if requirements.turn_due {
            0.0
        } else {
            (slots * ENGINE_QUEUE_SHARE).max(1.0)
        };
        node.load.estimate(self.fan_in) < (slots + engine_queue) * share
    }

    fn is_free(&self, now: Instant, requirements: &Requirements<'_>, node: &Node) -> bool {
        if requirements.tier == 0 && node.load.is_distrusted() {
            return false;
        }
        let slots = f64::from(node.load.slots()) * node.health.share(now);
        node.load.may_claim(slots, self.fan_in)
    }

    fn prefers(&self, requirements: &Requirements<'_>, node: &Node) -> bool {
        if requirements.tier == 0 && node.load.is_distrusted() {
            return false;
        }
        let limit = f64::from(node.load.slots()) * PREFERRED_LOAD;
        if !node.load.may_claim(limit, self.fan_in) {
            return false;
        }
        match requirements.tier {
            0 | 1 => !node.rule.reclaimable,
            2 => true,
            _ => node.rule.reclaimable || node.rule.price < self.pools[requirements.pool].price,
        }
    }

    /// Returns the endpoint that likely caches the prompt prefix, unless its load is too high.
    fn likely_cache_holder(
        &self,
        requirements: &Requirements<'_>,
        open: &[usize],
    ) -> Option<usize> {
        let shortest = *requirements.prefixes.first()?;
        let hashes = open.iter().map(|n| self.nodes[*n].hash);
        let known = self.affinity.holder(requirements.prefixes);
        let node = known
            .filter(|n| open.contains(n))
            .or_else(|| affinity::rendezvous(shortest, hashes).map(|i| open[i]))?;
        let loads = open
            .iter()
            .map(|n| self.nodes[*n].load.estimate(self.fan_in));
        let mean = loads.sum::<f64>() / open.len() as f64;
        let load = self.nodes[node].load.estimate(self.fan_in);
        let slots = f64::from(self.nodes[node].load.slots());
        let free = self.nodes[node].load.may_claim(slots, self.fan_in);
        (free && load + 1.0 <= affinity::LOAD_BOUND * (mean + 1.0)).then_some(node)
    }

    /// Returns whether one endpoint is better for a request than another: cheaper if the request is in time
    /// at both, and else the one with the lower expected delay.
    fn is_better(&self, requirements: &Requirements<'_>, one: usize, other: usize) -> bool {
        let (delay, other_delay) = (
            self.score(requirements, one),
            self.score(requirements, other),
        );
        let price = |n: usize| self.nodes[n].rule.price;
        let time_ms = requirements.time_left.as_secs_f64() * 1000.0;
        if delay.max(other_delay) <= time_ms && price(one) != price(other) {
            return price(one) < price(other);
        }
        delay < other_delay
    }

    /// Returns the score of an endpoint: expected delay and penalties in milliseconds.
    fn score(&self, requirements: &Requirements<'_>, n: usize) -> f64 {
        let node = &self.nodes[n];
        let pool = &self.pools[requirements.pool];
        let slots = f64::from(node.load.slots());
        // Other instances are assumed to send about as many requests as this one, which limits the
        // effect of delayed or false reports.
        let inferred = f64::from(node.load.in_flight()) * self.fan_in * INFERRED_LOAD_WEIGHT;
        let load = node.load.estimate(self.fan_in).max(inferred) + 1.0;
        let mut score = pool.first * 1000.0 * (1.0 + load / slots);
        score += (load - slots).max(0.0) / slots * 1000.0;
        score *= node.health.slowness();
        score += 2.0 * node.latency_ms;
        if node.load.kv() > 0.95 {
            score += FULL_CACHE_DELAY_MS;
        }
        if !node.load.has_loaded(pool.model.as_ref()) {
            score += MODEL_LOAD_DELAY_MS;
        }
        score
    }

    fn decision(
        &self,
        reason: &'static str,
        requirements: &Requirements<'_>,
        nodes: &[usize],
    ) -> Decision {
        let candidate = |n: &usize| Candidate {
            endpoint: self.nodes[*n].rule.id.clone(),
            score: self.score(requirements, *n),
        };
        Decision {
            reason,
            candidates: nodes.iter().map(candidate).collect(),
            predicted: None,
        }
    }

    fn subset(&self, mut all: Vec<usize>) -> Vec<usize> {
        if all.len() <= SUBSET {
            return all;
        }
        all.sort_by_key(|n| affinity::mix(self.salt, self.nodes[*n].hash));
        let near_limit_ms = NEAR_ZONE_LATENCY.as_secs_f64() * 1000.0;
        let (near, far): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|n| self.nodes[*n].latency_ms <= near_limit_ms);
        let wanted = (SUBSET as f64 * NEAR_ZONE_SHARE) as usize;
        let from_near = near.len().min(wanted.max(SUBSET.saturating_sub(far.len())));
        let mut nodes: Vec<_> = near.into_iter().take(from_near).collect();
        nodes.extend(far.into_iter().take(SUBSET - nodes.len()));
        nodes.sort_unstable();
        nodes
    }

    fn zone_latency(&self, zone: &ZoneId) -> Duration {
        if *zone == self.zone {
            return Duration::ZERO;
        }
        self.zone_latencies
            .get(zone)
            .copied()
            .unwrap_or(DEFAULT_ZONE_LATENCY)
    }
}
