//! Which models and adapters each engine has loaded, and where the KV cache of a leaving engine goes.
//!
//! Loads go through the weight store, which limits their rate, so the most urgent load goes first:
//! a model that no engine has, then a top-tier model in one zone only, then a lack of replicas.

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

/// Time after which a load that the engine does not report is ordered again.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Share of an engine's slots that is planned to be busy.
pub const TARGET_UTILIZATION: f64 = 0.8;

/// Replicas above the wanted number that are kept, so that varying demand causes no reloads.
pub const SPARE_REPLICAS: usize = 1;

/// Time that a draining engine is taken to have left when it states none.
pub const DRAIN_NOTICE: Duration = Duration::from_secs(30);

/// Shortest notice in which a KV cache can be moved.
pub const MIN_NOTICE: Duration = Duration::from_millis(500);

/// One engine as its load report, the rules and the platform's list describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its name.
    pub id: EndpointId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Time until it stops, if it is leaving.
    pub leaving: Option<Duration>,
    /// Models that the rules let it serve.
    pub allowed: Vec<ModelId>,
    /// Models that it reports as loaded.
    pub loaded: Vec<ModelId>,
    /// Models that it can hold at once.
    pub max_models: usize,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Share of its KV cache in use.
    pub kv: f64,
}

impl Engine {
    /// Returns an engine of the rules with its last load report and its notice, if it is leaving.
    ///
    /// An engine that only reports that it drains gets [`DRAIN_NOTICE`]. One that has not reported
    /// is taken to have nothing loaded.
    pub fn new(endpoint: &Endpoint, report: Option<&LoadReport>, notice: Option<Duration>) -> Self {
        let drains = report.is_some_and(|r| r.leaving).then_some(DRAIN_NOTICE);
        Self {
            id: endpoint.id.clone(),
            address: endpoint.address,
            zone: endpoint.zone.clone(),
            leaving: notice.or(drains),
            allowed: endpoint.models.clone(),
            loaded: report.map(|r| r.models.clone()).unwrap_or_default(),
            max_models: endpoint.models.len(),
            slots: endpoint.slots,
            kv: report.map_or(0.0, |r| r.kv),
        }
    }
}

/// Returns the engines of the rules, with their load reports and the platform's list.
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
    /// Whether a class of the top tiers uses it.
    pub top_tier: bool,
    /// Slots that its requests would occupy on average.
    pub busy: f64,
}

/// An order to an engine with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChange {
    /// The engine.
    pub engine: EndpointId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// What to do.
    pub action: EngineAction,
    /// Short name of the rule that decided.
    pub reason: &'static str,
}

/// A move of the KV cache of a leaving engine.
#[derive(Clone, Debug, PartialEq)]
pub struct KvMove {
    /// The leaving engine.
    pub from: EndpointId,
    /// Where it listens.
    pub source_address: SocketAddr,
    /// The engine that takes over.
    pub to: EndpointId,
    /// Where that one listens.
    pub target_address: SocketAddr,
}

/// How often the weight store may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimit {
    /// Loads in a minute.
    pub loads_per_minute: f64,
    /// Loads at once after a quiet time.
    pub burst: f64,
}

/// Plans orders to engines.
#[derive(Debug)]
pub struct Placement {
    limit: StoreLimit,
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Orders whose effect the engine does not report yet.
    pending: BTreeMap<EndpointId, (EngineAction, Instant)>,
    moved: BTreeSet<EndpointId>,
}

impl Placement {
    /// Creates a planner that keeps below a limit of the weight store.
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
            let change = change(engine, EngineAction::Load { model }, reason);
            self.record_pending(now, &change);
            changes.push(change);
        }
        if changes.is_empty()
            && let Some(change) = self.unload(engines, demand)
        {
            self.record_pending(now, &change);
            changes.push(change);
        }
        changes
    }

    /// Records that an order to an engine was not carried out, so that it may be planned again.
    pub fn failed(&mut self, engine: &EndpointId) {
        self.pending.remove(engine);
    }

    fn record_pending(&mut self, now: Instant, change: &EngineChange) {
        let order = (change.action.clone(), now);
        self.pending.insert(change.engine.clone(), order);
    }

    fn refill(&mut self, now: Instant) {
        let passed = self.refilled_at.map_or(Duration::ZERO, |t| now - t);
        let gained = self.limit.loads_per_minute * passed.as_secs_f64() / 60.0;
        self.tokens = (self.tokens + gained).min(self.limit.burst.max(1.0));
        self.refilled_at = Some(now);
    }

    fn drop_settled(&mut self, now: Instant, engines: &[Engine]) {
        self.pending.retain(|id, (action, at)| {
            let engine = engines.iter().find(|e| e.id == *id);
            engine.is_some_and(|e| !is_done(e, action)) && now - *at < LOAD_TIMEOUT
        });
        self.moved.retain(|id| engines.iter().any(|e| e.id == *id));
    }

    /// Returns the engines that have a model, or will have it.
    fn replicas<'a>(&self, engines: &'a [Engine], model: &ModelId) -> Vec<&'a Engine> {
        let has = |e: &&Engine| {
            let has = match self.pending.get(&e.id) {
                Some((EngineAction::Load { model: m }, _)) if m == model => true,
                Some((EngineAction::Unload { model: m }, _)) if m == model => false,
                _ => e.loaded.contains(model),
            };
            has && e.leaving.is_none()
        };
        engines.iter().filter(has).collect()
    }

    fn next_load<'a>(
        &self,
        engines: &'a [Engine],
        demand: &[ModelDemand],
    ) -> Option<(&'a Engine, ModelId, &'static str)> {
        let mut lacks: Vec<_> = demand
            .iter()
            .filter_map(|d| self.shortage(engines, d).map(|lack| (lack, d)))
            .collect();
        lacks.sort_by(|(a, x), (b, y)| {
            a.rank()
                .total_cmp(&b.rank())
                .then(y.top_tier.cmp(&x.top_tier))
        });
        lacks.into_iter().find_map(|(lack, demand)| {
            let engine = self.candidate(engines, demand, lack)?;
            Some((engine, demand.model.clone(), lack.reason()))
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

    fn candidate<'a>(
        &self,
        engines: &'a [Engine],
        demand: &ModelDemand,
        lack: Shortage,
    ) -> Option<&'a Engine> {
        let replicas = self.replicas(engines, &demand.model);
        let in_zone = |e: &Engine| replicas.iter().filter(|r| r.zone == e.zone).count();
        engines
            .iter()
            .filter(|e| self.can_load(e, &demand.model))
            .filter(|e| !matches!(lack, Shortage::Zone) || in_zone(e) == 0)
            .min_by_key(|e| (in_zone(e), e.loaded.len(), e.id.clone()))
    }

    fn can_load(&self, engine: &Engine, model: &ModelId) -> bool {
        engine.leaving.is_none()
            && engine.allowed.contains(model)
            && !engine.loaded.contains(model)
            && engine.loaded.len() < engine.max_models
            && !self.pending.contains_key(&engine.id)
    }

    /// Unloads a surplus replica from a full engine that another model needs.
    fn unload(&self, engines: &[Engine], demand: &[ModelDemand]) -> Option<EngineChange> {
        // One engine at a time, because the room that it makes is not used yet.
        let unloads =
            |(action, _): &(EngineAction, Instant)| matches!(action, EngineAction::Unload { .. });
        if self.pending.values().any(unloads) {
            return None;
        }
        let lacking = demand
            .iter()
            .find(|d| self.shortage(engines, d).is_some_and(|l| l.rank() < 1.0))?;
        let full = |e: &&Engine| e.leaving.is_none() && e.loaded.len() >= e.max_models;
        let useful = |e: &&Engine| {
            let allowed = e.allowed.contains(&lacking.model);
            allowed && !e.loaded.contains(&lacking.model) && !self.pending.contains_key(&e.id)
        };
        engines.iter().filter(full).filter(useful).find_map(|e| {
            let surplus = |m: &&ModelId| self.is_surplus(engines, demand, m, e);
            let model = e.loaded.iter().find(surplus)?.clone();
            Some(change(e, EngineAction::Unload { model }, "surplus_replica"))
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

    /// Returns the KV caches to move now, each engine's once.
    ///
    /// The target has a model in common, is preferably in another zone, because zones are reclaimed
    /// as a whole, and has the emptiest cache.
    pub fn plan_moves(&mut self, engines: &[Engine]) -> Vec<KvMove> {
        let mut moves = Vec::new();
        for engine in engines {
            let leaves = engine.leaving.is_some_and(|notice| notice >= MIN_NOTICE);
            if !leaves || self.moved.contains(&engine.id) {
                continue;
            }
            let shares = |e: &&Engine| {
                e.leaving.is_none() && e.loaded.iter().any(|m| engine.loaded.contains(m))
            };
            let target = engines.iter().filter(shares).min_by(|a, b| {
                let near = |e: &Engine| e.zone == engine.zone;
                near(a).cmp(&near(b)).then(a.kv.total_cmp(&b.kv))
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

/// What a model lacks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shortage {
    Model,
    Zone,
    /// Present share of the wanted replicas.
    Replicas(f64),
}

impl Shortage {
    /// Returns the order of urgency; the least is the most urgent.
    fn rank(self) -> f64 {
        match self {
            Shortage::Model => -2.0,
            Shortage::Zone => -1.0,
            Shortage::Replicas(share) => share,
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

/// Tells whether the engine's report shows the effect of an order.
fn is_done(engine: &Engine, action: &EngineAction) -> bool {
    match action {
        EngineAction::Load { model } => engine.loaded.contains(model),
        EngineAction::Unload { model } => !engine.loaded.contains(model),
        EngineAction::Role { .. } => true,
    }
}

fn wanted_replicas(engines: &[Engine], demand: &ModelDemand) -> usize {
    let able = engines
        .iter()
        .filter(|e| e.leaving.is_none() && e.allowed.contains(&demand.model));
    let (count, slots) = able.fold((0, 0), |(n, s), e| (n + 1, s + e.slots));
    if count == 0 {
        return 0;
    }
    let slots = f64::from(slots) / count as f64;
    let replicas = (demand.busy / (TARGET_UTILIZATION * slots.max(1.0))).ceil() as usize;
    replicas.clamp(1, count)
}

fn change(engine: &Engine, action: EngineAction, reason: &'static str) -> EngineChange {
    EngineChange {
        engine: engine.id.clone(),
        address: engine.address,
        action,
        reason,
    }
}
