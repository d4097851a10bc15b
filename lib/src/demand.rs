//! Demand for endpoints and models, estimated from what the leader's own entry sees.
//!
//! Engines report the load of all entries together, so one entry's polls show the whole demand that
//! has reached the engines. `docs/orders-and-usage.md` states what this leaves out.

use std::collections::BTreeMap;

use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::placement::Engine;
use crate::placement::ModelDemand;
use crate::placement::engines;
use crate::platform::InstanceList;
use crate::policy::LoadReport;
use crate::rules::EndpointKind;
use crate::rules::Target;
use crate::scaler::ClassDemand;
use crate::scaler::MAX_TOP_TIER;
use crate::view::View;

/// What the drivers plan from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Demand by class.
    pub classes: Vec<ClassDemand>,
    /// Demand by model.
    pub models: Vec<ModelDemand>,
    /// Engines with a load report.
    pub engines: Vec<Engine>,
    /// Mean number of requests that one engine processes at once.
    pub slots: u32,
}

impl Demand {
    /// Estimates the demand from load reports, and from the output tokens of each class lately.
    ///
    /// An engine without a report gets no orders, because what it has loaded is unknown.
    pub fn new(
        view: &View,
        reports: &BTreeMap<EndpointId, LoadReport>,
        output: &BTreeMap<ClassId, u64>,
        list: Option<&InstanceList>,
    ) -> Self {
        let mut engines = engines(view, reports, list);
        engines.retain(|engine| reports.contains_key(&engine.id));
        let busy: f64 = engines.iter().map(|e| load(&reports[&e.id])).sum();
        Self {
            classes: classes(view, busy, output),
            models: models(view, &engines, reports),
            engines,
            slots: slots(view),
        }
    }
}

/// Returns the requests at an engine, running or waiting.
fn load(report: &LoadReport) -> f64 {
    f64::from(report.running) + f64::from(report.waiting)
}

/// Divides the load in proportion to output tokens.
///
/// Without output it all counts for the highest tier, so that the reserve is not too small.
fn classes(view: &View, busy: f64, output: &BTreeMap<ClassId, u64>) -> Vec<ClassDemand> {
    let tokens = |id: &ClassId| output.get(id).copied().unwrap_or(0) as f64;
    let total: f64 = view.classes().map(|class| tokens(&class.id)).sum();
    let highest = view.classes().min_by_key(|class| class.tier);
    view.classes()
        .map(|class| {
            let share = if total > 0.0 {
                tokens(&class.id) / total
            } else {
                f64::from(u8::from(highest.is_some_and(|h| h.id == class.id)))
            };
            ClassDemand {
                class: class.id.clone(),
                tier: class.tier,
                target: class.first.or(class.complete),
                busy_slots: share * busy,
            }
        })
        .collect()
}

/// Divides the load of each engine equally between the models that it has loaded.
fn models(
    view: &View,
    engines: &[Engine],
    reports: &BTreeMap<EndpointId, LoadReport>,
) -> Vec<ModelDemand> {
    let mut models: BTreeMap<ModelId, ModelDemand> = BTreeMap::new();
    for route in view.routes() {
        let Target::Model(model) = &route.target else {
            continue;
        };
        let class = view.class(route.class.as_str());
        let demand = models.entry(model.clone()).or_insert(ModelDemand {
            model: model.clone(),
            top: false,
            busy: 0.0,
        });
        demand.top |= class.is_some_and(|class| class.tier <= MAX_TOP_TIER);
    }
    for engine in engines {
        let share = load(&reports[&engine.id]) / engine.loaded.len().max(1) as f64;
        for model in &engine.loaded {
            if let Some(demand) = models.get_mut(model) {
                demand.busy += share;
            }
        }
    }
    models.into_values().collect()
}

fn slots(view: &View) -> u32 {
    let engines = view.endpoints().filter(|e| e.kind == EndpointKind::Engine);
    let (count, sum) = engines.fold((0, 0_u32), |(n, s), e| (n + 1, s.saturating_add(e.slots)));
    sum.checked_div(count).unwrap_or(1).max(1)
}
