//! Placement of models and adapters on engines, and of the KV caches of leaving engines.
//!
//! The weight store limits the rate of loads, so they are ordered by urgency: first a model that no
//! engine has loaded, then a top-tier model in a single zone, then a model with too few replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::ZoneId;
use crate::platform::EngineAction;
use crate::platform::InstanceList;
use crate::policy::LoadReport;
use crate::rules::Endpoint;
use crate::rules::EndpointKind;
use crate::view::View;

/// Time after which a load that the engine does not report as done is ordered again.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Fraction of an engine's slots that is planned to be in use.
pub const TARGET_UTILIZATION: f64 = 0.8;

/// Replicas kept above the wanted number, so that fluctuating demand causes no unloads and reloads.
pub const SPARE_REPLICAS: usize = 1;

/// Assumed time until a draining engine stops, if it states none.
pub const DRAIN_NOTICE: Duration = Duration::from_secs(30);

/// Shortest notice within which a KV cache can be moved.
pub const MIN_NOTICE: Duration = Duration::from_millis(500);

/// State of one engine, from its load report, the rules and the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// ID of the engine.
    pub id: EndpointId,
    /// Address at which it accepts orders.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// Time until it stops, if it is leaving.
    pub leaving: Option<Duration>,
    /// Models that the rules allow it to serve.
    pub allowed: Vec<ModelId>,
    /// Models that it reports as loaded.
    pub loaded: Vec<ModelId>,
    /// Number of models that it can hold at once.
    pub max_models: usize,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Fraction of its KV cache in use, from 0 to 1.
    pub kv: f64,
}

impl Engine {
    /// Creates an engine from its rule, its last load report and, if it is leaving, its notice.
    ///
    /// An engine that reports draining but has no notice gets [`DRAIN_NOTICE`]. An engine without a
    /// report is assumed to have no models loaded.
    pub fn new(endpoint: &Endpoint, report: Option<&LoadReport>, notice: Option<Duration>) -> Self {
        let drain_notice = report.is_some_and(|r| r.leaving).then_some(DRAIN_NOTICE);
        Self {
            id: endpoint.id.clone(),
            address: endpoint.address,
            zone: endpoint.zone.clone(),
            leaving: notice.or(drain_notice),
            allowed: endpoint.models.clone(),
            loaded: report.map(|r| r.models.clone()).unwrap_or_default(),
            max_models: endpoint.models.len(),
            slots: endpoint.slots,
            kv: report.map_or(0.0, |r| r.kv),
        }
    }
}

/// Returns the engines that the rules define, with data from load reports and the platform's list.
pub fn engines(
    view: &View,
    reports: &BTreeMap<EndpointId, LoadReport>,
    list: Option<&InstanceList>,
) -> Vec<Engine> {
    let instances = list.into_iter().flat_map(|l| &l.instances);
    let notices: HashMap<_, _> = instances.map(|i| (&i.id, i.notice_ms)).collect();
    let notice = |id| {
        notices
            .get(id)
            .copied()
            .flatten()
            .map(Duration::from_millis)
    };
    view.endpoints()
        .filter(|e| e.kind == EndpointKind::Engine)
        .map(|e| Engine::new(e, reports.get(&e.id), notice(&e.id)))
        .collect()
}

/// Demand for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelId,
    /// Whether a class of a top tier uses it.
    pub top_tier: bool,
    /// Average number of slots that its requests occupy.
    pub busy: f64,
}

/// An order to an engine and the reason for it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChange {
    /// ID of the engine.
    pub engine: EndpointId,
    /// Address at which it accepts orders.
    pub address: SocketAddr,
    /// Action that it is to perform.
    pub action: EngineAction,
    /// Name of the rule behind the decision, for the log.
    pub reason: &'static str,
}

/// A move of the KV cache of a leaving engine.
#[derive(Clone, Debug, PartialEq)]
pub struct KvMove {
    /// The leaving engine.
    pub from: EndpointId,
    /// Address of the leaving engine.
    pub source_address: SocketAddr,
    /// The engine that receives the cache.
    pub to: EndpointId,
    /// Address of the receiving engine.
    pub target_address: SocketAddr,
}

/// Rate limit of the weight store, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimit {
    /// Sustained number of loads per minute.
    pub loads_per_minute: f64,
    /// Number of loads allowed at once after an idle period.
    pub burst: f64,
}

/// Plans loads and unloads of models and moves of KV caches.
#[derive(Debug)]
pub struct Placement {
    limit: StoreLimit,
    /// Number of loads that the token bucket allows now.
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Orders whose effect the engine has not reported yet.
    pending: BTreeMap<EndpointId, (EngineAction, Instant)>,
    /// Leaving engines whose KV cache move was planned.
    moved: BTreeSet<EndpointId>,
}

impl Placement {
    /// Creates a planner that respects a rate limit of the weight store.
    pub fn new(limit: StoreLimit) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            refilled_at: None,
            pending: BTreeMap::new(),
            moved: BTreeSet::new(),
        }
    }

    /// Plans the orders to send now.
    pub fn plan(
        &mut self,
        now: Instant,
        engines: &[Engine],
        demand: &[ModelDemand],
    ) -> Vec<EngineChange> {
        self.refill(now);
        self.drop_settled(now, engines);
        let mut changes = Vec::new();
        while self.tokens >= 1.0 {
            let Some((engine, model, reason)) = self.next_load(engines, demand) else {
                break;
            };
            self.tokens -= 1.0;
            let change = engine_change(engine, EngineAction::Load { model }, reason);
            self.record_pending(now, &change);
            changes.push(change);
        }
        if changes.is_empty()
            && let Some(change) = self.plan_unload(engines, demand)
        {
            self.record_pending(now, &change);
            changes.push(change);
        }
        changes
    }

    /// Records that an order to an engine was not executed, so that it may be planned again.
    pub fn record_failure(&mut self, engine: &EndpointId) {
        self.pending.remove(engine);
    }

    fn record_pending(&mut self, now: Instant, change: &EngineChange) {
        let order = (change.action.clone(), now);
        self.pending.insert(change.engine.clone(), order);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = self.refilled_at.map_or(Duration::ZERO, |t| now - t);
        let gained = self.limit.loads_per_minute * elapsed.as_secs_f64() / 60.0;
        self.tokens = (self.tokens + gained).min(self.limit.burst.max(1.0));
        self.refilled_at = Some(now);
    }

    fn drop_settled(&mut self, now: Instant, engines: &[Engine]) {
        self.pending.retain(|id, (action, at)| {
            let engine = engines.iter().find(|e| e.id == *id);
            engine.is_some_and(|e| !is_applied(e, action)) && now - *at < LOAD_TIMEOUT
        });
        self.moved.retain(|id| engines.iter().any(|e| e.id == *id));
    }

    /// Returns the engines that have a model loaded, pending orders included.
    fn replicas<'a>(&self, engines: &'a [Engine], model: &ModelId) -> Vec<&'a Engine> {
        let is_replica = |e: &&Engine| {
            let has_model = match self.pending.get(&e.id) {
                Some((EngineAction::Load { model: m }, _)) if m == model => true,
                Some((EngineAction::Unload { model: m }, _)) if m == model => false,
                _ => e.loaded.contains(model),
            };
            has_model && e.leaving.is_none()
        };
        engines.iter().filter(is_replica).collect()
    }

    fn next_load<'a>(
        &self,
        engines: &'a [Engine],
        demand: &[ModelDemand],
    ) -> Option<(&'a Engine, ModelId, &'static str)> {
        let mut shortages: Vec<_> = demand
            .iter()
            .filter_map(|d| self.shortage(engines, d).map(|shortage| (shortage, d)))
            .collect();
        shortages.sort_by(|(shortage_a, a), (shortage_b, b)| {
            shortage_a
                .rank()
                .total_cmp(&shortage_b.rank())
                .then(b.top_tier.cmp(&a.top_tier))
        });
        shortages.into_iter().find_map(|(shortage, demand)| {
            let engine = self.load_target(engines, demand, shortage)?;
            Some((engine, demand.model.clone(), shortage.reason()))
        })
    }

    fn shortage(&self, engines: &[Engine], demand: &ModelDemand) -> Option<Shortage> {
        let replicas = self.replicas(engines, &demand.model);
        let zones: BTreeSet<_> = replicas.iter().map(|e| &e.zone).collect();
        let wanted = wanted_replicas(engines, demand);
        if wanted > 0 && replicas.is_empty() {
            Some(Shortage::Model)
        } else if demand.top_tier && zones.len() < 2 {
            Some(Shortage::Zone)
        } else if replicas.len() < wanted {
            Some(Shortage::Replicas(replicas.len() as f64 / wanted as f64))
        } else {
            None
        }
    }

    fn load_target<'a>(
        &self,
        engines: &'a [Engine],
        demand: &ModelDemand,
        shortage: Shortage,
    ) -> Option<&'a Engine> {
        let replicas = self.replicas(engines, &demand.model);
        let replicas_in_zone = |e: &Engine| replicas.iter().filter(|r| r.zone == e.zone).count();
        engines
            .iter()
            .filter(|e| self.can_load(e, &demand.model))
            .filter(|e| !matches!(shortage, Shortage::Zone) || replicas_in_zone(e) == 0)
            .min_by_key(|e| (replicas_in_zone(e), e.loaded.len(), e.id.clone()))
    }

    fn can_load(&self, engine: &Engine, model: &ModelId) -> bool {
        engine.leaving.is_none()
            && engine.allowed.contains(model)
            && !engine.loaded.contains(model)
            && engine.loaded.len() < engine.max_models
            && !self.pending.contains_key(&engine.id)
    }

    /// Plans the unload of a surplus replica from a full engine that a model with a shortage needs.
    fn plan_unload(&self, engines: &[Engine], demand: &[ModelDemand]) -> Option<EngineChange> {
        // One unload at a time, because the capacity that a pending unload frees is not used yet.
        let is_unload =
            |(action, _): &(EngineAction, Instant)| matches!(action, EngineAction::Unload { .. });
        if self.pending.values().any(is_unload) {
            return None;
        }
        let short_demand = demand
            .iter()
            .find(|d| self.shortage(engines, d).is_some_and(|s| s.rank() < 1.0))?;
        let is_full = |e: &&Engine| e.leaving.is_none() && e.loaded.len() >= e.max_models;
        let is_candidate = |e: &&Engine| {
            let allowed = e.allowed.contains(&short_demand.model);
            allowed && !e.loaded.contains(&short_demand.model) && !self.pending.contains_key(&e.id)
        };
        engines
            .iter()
            .filter(is_full)
            .filter(is_candidate)
            .find_map(|e| {
                let is_surplus = |m: &&ModelId| self.is_surplus(engines, demand, m, e);
                let model = e.loaded.iter().find(is_surplus)?.clone();
                Some(engine_change(
                    e,
                    EngineAction::Unload { model },
                    "surplus_replica",
                ))
            })
    }

    fn is_surplus(
        &self,
        engines: &[Engine],
        demand: &[ModelDemand],
        model: &ModelId,
        engine: &Engine,
    ) -> bool {
        let Some(demand) = demand.iter().find(|d| d.model == *model) else {
            return true;
        };
        let replicas = self.replicas(engines, model);
        let others = replicas.iter().filter(|r| r.id != engine.id);
        let zones: BTreeSet<_> = others.map(|r| &r.zone).collect();
        replicas.len() > wanted_replicas(engines, demand) + SPARE_REPLICAS
            && (!demand.top_tier || zones.len() >= 2)
    }

    /// Returns the KV caches to move now; the cache of an engine is moved once.
    ///
    /// A target has a model in common with the leaving engine. Targets in other zones are preferred,
    /// because zones are reclaimed as a whole, then those with the emptiest cache.
    pub fn plan_moves(&mut self, engines: &[Engine]) -> Vec<KvMove> {
        let mut moves = Vec::new();
        for engine in engines {
            let can_move = engine.leaving.is_some_and(|notice| notice >= MIN_NOTICE);
            if !can_move || self.moved.contains(&engine.id) {
                continue;
            }
            let has_common_model = |e: &&Engine| {
                e.leaving.is_none() && e.loaded.iter().any(|m| engine.loaded.contains(m))
            };
            let target = engines.iter().filter(has_common_model).min_by(|a, b| {
                let is_same_zone = |e: &Engine| e.zone == engine.zone;
                is_same_zone(a)
                    .cmp(&is_same_zone(b))
                    .then(a.kv.total_cmp(&b.kv))
            });
            let Some(target) = target else {
                continue;
            };
            self.moved.insert(engine.id.clone());
            moves.push(KvMove {
                from: engine.id.clone(),
                source_address: engine.address,
                to: target.id.clone(),
                target_address: target.address,
            });
        }
        moves
    }
}

/// Shortage of replicas of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shortage {
    /// No engine has the model loaded.
    Model,
    /// A model of a top tier is loaded in fewer than two zones.
    Zone,
    /// The model has too few replicas; the value is the existing fraction of those wanted.
    Replicas(f64),
}

impl Shortage {
    /// Returns the sort key of urgency; the lowest is the most urgent.
    fn rank(self) -> f64 {
        match self {
            Shortage::Model => -2.0,
            Shortage::Zone => -1.0,
            Shortage::Replicas(fraction) => fraction,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Shortage::Model => "model_missing",
            Shortage::Zone => "single_zone",
            Shortage::Replicas(_) => "demand",
        }
    }
}

/// Returns whether the engine's report shows the effect of an order.
fn is_applied(engine: &Engine, action: &EngineAction) -> bool {
    match action {
        EngineAction::Load { model } => engine.loaded.contains(model),
        EngineAction::Unload { model } => !engine.loaded.contains(model),
        EngineAction::Role { .. } => true,
    }
}

fn wanted_replicas(engines: &[Engine], demand: &ModelDemand) -> usize {
    let eligible = engines
        .iter()
        .filter(|e| e.leaving.is_none() && e.allowed.contains(&demand.model));
    let (count, slots) = eligible.fold((0, 0), |(n, s), e| (n + 1, s + e.slots));
    if count == 0 {
        return 0;
    }
    let slots = f64::from(slots) / count as f64;
    let replicas = (demand.busy / (TARGET_UTILIZATION * slots.max(1.0))).ceil() as usize;
    replicas.clamp(1, count)
}

fn engine_change(engine: &Engine, action: EngineAction, reason: &'static str) -> EngineChange {
    EngineChange {
        engine: engine.id.clone(),
        address: engine.address,
        action,
        reason,
    }
}
