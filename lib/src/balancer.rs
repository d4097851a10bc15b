//! Choice of an endpoint for a request.
//!
//! Several entries choose among the same endpoints from late reports, so the least loaded one by
//! report would be flooded by all of them at once. The choice is therefore the better of two drawn
//! at random (power of two choices). An entry deals with at most [`SUBSET`] endpoints per pool,
//! chosen by rendezvous hashing so that the subsets of all entries cover the endpoints evenly.

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
use crate::queue::TIERS;
use crate::rules::Endpoint;
use crate::view::View;

/// Endpoints of a pool that one entry deals with at most.
pub const SUBSET: usize = 96;

/// Share of the subset that is taken from near zones when there are enough.
const NEAR_SHARE: f64 = 0.75;

/// Distance up to which a zone counts as near, one way.
const NEAR: Duration = Duration::from_millis(5);

/// Distance of a zone that the settings do not name, one way.
const DEFAULT_DISTANCE: Duration = Duration::from_millis(1);

/// Share of the slots that each tier may fill.
///
/// Slots kept free for higher tiers let their requests start at once while long requests of lower
/// tiers hold the rest.
const SLOT_SHARE: [f64; TIERS] = [1.0, 1.0, 1.0, 0.95, 0.95];

/// Share of the slots that tier 1 may have waiting at an engine, which serves it first.
const HEADROOM: f64 = 0.125;

/// Load up to which a tier keeps to the endpoints that it prefers.
const PREFERRED_LOAD: f64 = 0.7;

/// Delay in milliseconds that an endpoint with a nearly full KV cache is expected to add.
const FULL_CACHE_DELAY: f64 = 500.0;

/// Delay in milliseconds of loading a model.
const MODEL_LOAD_DELAY: f64 = 5_000.0;

/// Delay in milliseconds that a tier accepts to save the whole price, by tier.
const PRICE_DELAY: [f64; TIERS] = [0.0, 20.0, 100.0, 500.0, 1_000.0];

/// Number of entries that share an endpoint at most.
const MAX_FAN_IN: f64 = 64.0;

/// Weight of a new sample in the estimated number of entries.
const FAN_IN_WEIGHT: f64 = 0.3;

/// Part of the load guessed from own requests that is used when reports show less.
const OWN_INFERENCE: f64 = 0.7;

/// Weight of the equal part against the share of all requests in the division of slots.
const EQUAL_PART: f64 = 2.0;

/// Weight of a new sample in the averages of a pool.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Endpoints with their state and the pools that requests choose from.
pub struct Balancer {
    nodes: Vec<Node>,
    free: Vec<usize>,
    index: HashMap<EndpointId, usize>,
    pools: Vec<Pool>,
    routes: HashMap<(RouteId, Option<ModelId>), usize>,
    affinity: Affinity,
    zone: ZoneId,
    distances: BTreeMap<ZoneId, Duration>,
    salt: u64,
    fan_in: f64,
    entries: Option<f64>,
}

/// Slots of a pool and their division among entries.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Usable slots.
    pub slots: f64,
    /// Estimated requests of all entries.
    pub total: f64,
    /// Entries that share the endpoints.
    pub entries: f64,
    /// Part of the slots that this entry may plan with.
    pub part: f64,
}

/// One endpoint.
pub struct Node {
    /// Its rule.
    pub rule: Arc<Endpoint>,
    /// Its estimated load.
    pub load: LoadEstimate,
    /// Its health.
    pub health: Health,
    /// Own suspects that run there.
    pub suspects: u32,
    distance: f64,
    hash: u64,
}

/// Endpoints that serve the same requests.
pub struct Pool {
    /// Indexes of the endpoints.
    pub nodes: Vec<usize>,
    /// Average time to the first token in seconds.
    pub first: f64,
    /// Average time between tokens in seconds.
    pub between: f64,
    model: Option<ModelId>,
    price: f64,
    /// Endpoints before the subset was taken.
    all: usize,
}

impl Pool {
    /// Returns the expected time in a slot for a number of output tokens, in seconds.
    pub fn time(&self, output: f64) -> f64 {
        self.first + self.between * output
    }

    /// Learns from a finished request and returns its time relative to what was expected.
    pub fn learn(&mut self, first: Option<Duration>, total: f64, output: u32) -> f64 {
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

/// What a request needs from an endpoint.
pub struct Ask<'a> {
    /// The pool.
    pub pool: usize,
    /// Index of the tier.
    pub tier: usize,
    /// A low tier takes its turn, for which it has as much room as tier 1.
    pub turn: bool,
    /// A turn is due, so tier 1 must not fill the engine queues in front of it.
    pub held: bool,
    /// The request may crash endpoints and runs apart from others of its kind.
    pub suspect: bool,
    /// Endpoints that failed the request.
    pub excluded: &'a [EndpointId],
    /// Hashes of prompt prefixes.
    pub prefixes: &'a [u64],
}

/// Why there is no endpoint for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// No endpoint has room for the tier.
    Full,
    /// There is room, but not for this request.
    Restricted,
    /// No endpoint can ever serve it.
    Nowhere,
}

impl Balancer {
    /// Creates a balancer without endpoints; `salt` differs between entries.
    pub fn new(zone: ZoneId, distances: BTreeMap<ZoneId, Duration>, salt: u64) -> Self {
        Self {
            nodes: Vec::new(),
            free: Vec::new(),
            index: HashMap::new(),
            pools: Vec::new(),
            routes: HashMap::new(),
            affinity: Affinity::default(),
            zone,
            distances,
            salt,
            fan_in: 1.0,
            entries: None,
        }
    }

    /// Takes over the endpoints of a view; what is known of those that stay is kept.
    pub fn install(&mut self, view: &View) {
        self.drop_nodes(view);
        for rule in view.endpoints() {
            if let Some(&node) = self.index.get(&rule.id) {
                self.nodes[node].rule = rule.clone();
            } else {
                self.add_node(rule);
            }
        }
        let mut claimed = vec![false; self.pools.len()];
        let mut routes: Vec<_> = std::mem::take(&mut self.routes).into_iter().collect();
        routes.sort();
        for (key, pool) in routes {
            let Some((nodes, all)) = self.candidates(view, &key.0, key.1.as_ref()) else {
                continue;
            };
            if !claimed[pool] {
                claimed[pool] = true;
                self.set_nodes(pool, nodes, all);
                self.routes.insert(key, pool);
            } else if self.pools[pool].nodes == nodes {
                self.routes.insert(key, pool);
            }
        }
        for (pool, _) in claimed.iter().enumerate().filter(|(_, c)| !**c) {
            self.pools[pool].nodes.clear();
        }
    }

    fn drop_nodes(&mut self, view: &View) {
        for (n, node) in self.nodes.iter().enumerate() {
            let known = self.index.get(&node.rule.id) == Some(&n);
            if known && node.load.in_flight() == 0 && view.endpoint(node.rule.id.as_str()).is_none()
            {
                self.index.remove(&node.rule.id);
                self.affinity.forget(n);
                self.free.push(n);
            }
        }
    }

    fn add_node(&mut self, rule: &Arc<Endpoint>) {
        let node = Node {
            rule: rule.clone(),
            load: LoadEstimate::new(rule.slots),
            health: Health::default(),
            suspects: 0,
            distance: self.distance(&rule.zone).as_secs_f64() * 1000.0,
            hash: affinity::hash_name(rule.id.as_str()),
        };
        let n = self.free.pop().unwrap_or(self.nodes.len());
        if n == self.nodes.len() {
            self.nodes.push(node);
        } else {
            self.nodes[n] = node;
        }
        self.index.insert(rule.id.clone(), n);
    }

    /// Returns the pool of a route and model, or `None` if the route has no endpoint for it.
    pub fn pool(&mut self, view: &View, route: &RouteId, model: Option<&ModelId>) -> Option<usize> {
        let key = (route.clone(), model.cloned());
        if let Some(&pool) = self.routes.get(&key) {
            return Some(pool);
        }
        let (nodes, all) = self.candidates(view, route, model)?;
        let same = |p: &Pool| p.nodes == nodes && p.model.as_ref() == model;
        let pool = match self.pools.iter().position(same) {
            Some(pool) => pool,
            None => self.add_pool(nodes, all, model),
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

    fn add_pool(&mut self, nodes: Vec<usize>, all: usize, model: Option<&ModelId>) -> usize {
        let pool = Pool {
            nodes: Vec::new(),
            first: 0.2,
            between: 0.03,
            model: model.cloned(),
            price: 0.0,
            all: 0,
        };
        let unused = self.pools.iter().position(|p| p.nodes.is_empty());
        let index = unused.unwrap_or(self.pools.len());
        if index == self.pools.len() {
            self.pools.push(pool);
        } else {
            self.pools[index] = pool;
        }
        self.set_nodes(index, nodes, all);
        index
    }

    fn set_nodes(&mut self, pool: usize, nodes: Vec<usize>, all: usize) {
        self.pools[pool].all = all;
        let price: f64 = nodes.iter().map(|n| self.nodes[*n].rule.price).sum();
        self.pools[pool].price = price / nodes.len() as f64;
        self.pools[pool].nodes = nodes;
    }

    /// Returns the pools that an endpoint belongs to.
    pub fn pools_of(&self, node: usize) -> Vec<usize> {
        let has = |pool: &usize| self.pools[*pool].nodes.binary_search(&node).is_ok();
        (0..self.pools.len()).filter(has).collect()
    }

    /// Returns the number of pools, unused ones included.
    pub fn pools(&self) -> usize {
        self.pools.len()
    }

    /// Returns a pool.
    pub fn get(&self, pool: usize) -> &Pool {
        &self.pools[pool]
    }

    /// Returns a pool to change its averages.
    pub fn get_mut(&mut self, pool: usize) -> Option<&mut Pool> {
        self.pools.get_mut(pool)
    }

    /// Returns an endpoint.
    pub fn node(&self, node: usize) -> &Node {
        &self.nodes[node]
    }

    /// Returns an endpoint to change its state.
    pub fn node_mut(&mut self, node: usize) -> &mut Node {
        &mut self.nodes[node]
    }

    /// Returns the number of records that requests leave behind.
    pub fn records(&self) -> usize {
        let changes: usize = self.nodes.iter().map(|n| n.load.history_len()).sum();
        self.affinity.len() + changes
    }

    /// Returns the number of endpoints, unused places included.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the index of an endpoint.
    pub fn find(&self, endpoint: &EndpointId) -> Option<usize> {
        self.index.get(endpoint).copied()
    }

    /// Returns the memory of prompt prefixes.
    pub fn affinity(&mut self) -> &mut Affinity {
        &mut self.affinity
    }

    /// Returns the own requests in flight on the endpoints of a pool.
    pub fn own(&self, pool: usize) -> u32 {
        let nodes = &self.pools[pool].nodes;
        nodes.iter().map(|n| self.nodes[*n].load.in_flight()).sum()
    }

    /// Takes over how many entries there are.
    pub fn set_entries(&mut self, count: u32) {
        self.entries = Some(f64::from(count.max(1)));
    }

    /// Returns the usable slots of a pool and how entries divide them.
    ///
    /// The part of an entry lies between its share of all requests, which follows demand, and an
    /// equal one. Without the equal one, an entry with long requests would keep its part for good
    /// while others have requests of higher tiers waiting.
    pub fn capacity(&self, now: Instant, pool: usize) -> Capacity {
        let pool = &self.pools[pool];
        let mut slots = 0.0;
        let mut own = 0.0;
        let mut total = 0.0;
        for n in &pool.nodes {
            let node = &self.nodes[*n];
            slots += f64::from(node.load.slots()) * node.health.share(now);
            own += f64::from(node.load.in_flight());
            total += node.load.estimate(self.fan_in);
        }
        let entries = match self.entries {
            Some(count) => (count * pool.nodes.len() as f64 / pool.all.max(1) as f64).max(1.0),
            None => self.fan_in,
        };
        let share = if total > 0.0 { own / total } else { 1.0 };
        Capacity {
            slots,
            total,
            entries,
            part: (share + EQUAL_PART / entries) / (1.0 + EQUAL_PART),
        }
    }

    /// Compares the pace of all endpoints; `overdue` tells which have late requests.
    pub fn compare(&mut self, overdue: &[bool]) {
        let mut paces: Vec<f64> = self
            .nodes
            .iter()
            .filter_map(|n| n.health.latency_ratio())
            .collect();
        paces.sort_by(f64::total_cmp);
        let typical = paces.get(paces.len() / 2).copied().unwrap_or(1.0);
        let mut own = 0.0;
        let mut total = 0.0;
        for (node, overdue) in self.nodes.iter_mut().zip(overdue) {
            node.health.compare(typical, *overdue);
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

    /// Chooses an endpoint.
    pub fn choose(
        &self,
        now: Instant,
        ask: &Ask<'_>,
        rng: &mut StdRng,
    ) -> Result<(usize, Decision), NoChoice> {
        let open = self.open(now, ask)?;
        if let Some(node) = self.cached(ask, &open) {
            return Ok((node, self.decision("affinity", ask, &[node])));
        }
        let preferred: Vec<usize> = open
            .iter()
            .copied()
            .filter(|n| self.prefers(ask, &self.nodes[*n]))
            .collect();
        let free: Vec<usize> = open
            .iter()
            .copied()
            .filter(|n| self.is_free(now, ask, &self.nodes[*n]))
            .collect();
        let sets = [&preferred, &free, &open];
        let set = sets.into_iter().find(|s| !s.is_empty()).unwrap_or(&open);
        let first = set[rng.random_range(0..set.len())];
        let second = set[rng.random_range(0..set.len())];
        let better = if self.score(ask, second) < self.score(ask, first) {
            second
        } else {
            first
        };
        let reason = if ask.turn {
            "minimum_share"
        } else {
            "two_choices"
        };
        Ok((better, self.decision(reason, ask, &[first, second])))
    }

    /// Returns the endpoints with room for the request.
    fn open(&self, now: Instant, ask: &Ask<'_>) -> Result<Vec<usize>, NoChoice> {
        let pool = &self.pools[ask.pool];
        let doubtful = |node: &Node| node.health.is_slow() || node.load.is_silent(now);
        let usable = |n: &&usize| {
            let node = &self.nodes[**n];
            node.health.share(now) > 0.0 && !doubtful(node)
        };
        let usable = pool.nodes.iter().filter(usable).count();
        let keep_all = (usable as f64) < pool.nodes.len() as f64 * MIN_HEALTHY_FRACTION;
        let mut open = Vec::with_capacity(pool.nodes.len());
        let mut restricted = 0;
        let mut excluded = 0;
        for &n in &pool.nodes {
            let node = &self.nodes[n];
            if ask.excluded.contains(&node.rule.id) {
                excluded += 1;
                restricted += usize::from(self.has_room(now, node, ask));
            } else if (keep_all || !doubtful(node)) && self.has_room(now, node, ask) {
                if ask.suspect && node.suspects > 0 {
                    restricted += 1;
                } else {
                    open.push(n);
                }
            }
        }
        match open.is_empty() {
            false => Ok(open),
            true if excluded == pool.nodes.len() => Err(NoChoice::Nowhere),
            true if restricted > 0 => Err(NoChoice::Restricted),
            true => Err(NoChoice::Full),
        }
    }

    fn has_room(&self, now: Instant, node: &Node, ask: &Ask<'_>) -> bool {
        let share = node.health.share(now);
        if share == 0.0 {
            return false;
        }
        let slots = f64::from(node.load.slots());
        if ask.tier > 0 && !ask.turn {
            return node
                .load
                .may_claim(slots * SLOT_SHARE[ask.tier] * share, self.fan_in);
        }
        // A turn may wait at an engine as well: under load, other entries fill every slot first.
        let headroom = if ask.held {
            0.0
        } else {
            (slots * HEADROOM).max(1.0)
        };
        node.load.estimate(self.fan_in) < (slots + headroom) * share
    }

    fn is_free(&self, now: Instant, ask: &Ask<'_>, node: &Node) -> bool {
        if ask.tier == 0 && node.load.is_distrusted() {
            return false;
        }
        let slots = f64::from(node.load.slots()) * node.health.share(now);
        node.load.may_claim(slots, self.fan_in)
    }

    fn prefers(&self, ask: &Ask<'_>, node: &Node) -> bool {
        if ask.tier == 0 && node.load.is_distrusted() {
            return false;
        }
        let limit = f64::from(node.load.slots()) * PREFERRED_LOAD;
        if !node.load.may_claim(limit, self.fan_in) {
            return false;
        }
        match ask.tier {
            0 | 1 => !node.rule.reclaimable,
            2 => true,
            _ => node.rule.reclaimable || node.rule.price < self.pools[ask.pool].price,
        }
    }

    /// Returns the endpoint that likely holds the prompt prefix, unless it has too much load.
    fn cached(&self, ask: &Ask<'_>, open: &[usize]) -> Option<usize> {
        let shortest = *ask.prefixes.first()?;
        let hashes = open.iter().map(|n| self.nodes[*n].hash);
        let known = self.affinity.holder(ask.prefixes);
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

    /// Returns the expected delay and the penalties in milliseconds.
    fn score(&self, ask: &Ask<'_>, n: usize) -> f64 {
        let node = &self.nodes[n];
        let pool = &self.pools[ask.pool];
        let slots = f64::from(node.load.slots());
        // Own requests there tell of those of others even when its reports are late or false.
        let inferred = f64::from(node.load.in_flight()) * self.fan_in * OWN_INFERENCE;
        let load = node.load.estimate(self.fan_in).max(inferred) + 1.0;
        let mut score = pool.first * 1000.0 * (1.0 + load / slots);
        score += (load - slots).max(0.0) / slots * 1000.0;
        score *= node.health.slowness();
        score += 2.0 * node.distance;
        if node.load.kv() > 0.95 {
            score += FULL_CACHE_DELAY;
        }
        if !node.load.has_loaded(pool.model.as_ref()) {
            score += MODEL_LOAD_DELAY;
        }
        if pool.price > 0.0 {
            score += PRICE_DELAY[ask.tier] * node.rule.price / pool.price;
        }
        score
    }

    fn decision(&self, reason: &'static str, ask: &Ask<'_>, nodes: &[usize]) -> Decision {
        let candidate = |n: &usize| Candidate {
            endpoint: self.nodes[*n].rule.id.clone(),
            score: self.score(ask, *n),
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
        let near_limit = NEAR.as_secs_f64() * 1000.0;
        let (near, far): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|n| self.nodes[*n].distance <= near_limit);
        let wanted = (SUBSET as f64 * NEAR_SHARE) as usize;
        let from_near = near.len().min(wanted.max(SUBSET.saturating_sub(far.len())));
        let mut nodes: Vec<_> = near.into_iter().take(from_near).collect();
        nodes.extend(far.into_iter().take(SUBSET - nodes.len()));
        nodes.sort_unstable();
        nodes
    }

    fn distance(&self, zone: &ZoneId) -> Duration {
        if *zone == self.zone {
            return Duration::ZERO;
        }
        self.distances
            .get(zone)
            .copied()
            .unwrap_or(DEFAULT_DISTANCE)
    }
}
