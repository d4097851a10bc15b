//! Estimation of the demand for endpoints and models, from load reports that the leader polls.
//!
//! Engines report their load from all instances, so the polls of a single instance cover the whole
//! demand that has reached the engines. `docs/orders-and-usage.md` states what this leaves out.

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

/// Input for the planning of orders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Demand by class.
    pub classes: Vec<ClassDemand>,
    /// Demand by model.
    pub models: Vec<ModelDemand>,
    /// Engines that have a load report.
    pub engines: Vec<Engine>,
    /// Mean number of requests that an engine processes concurrently.
    pub slots: u32,
}

impl Demand {
    /// Estimates the demand from load reports and the recent output tokens of each class.
    ///
    /// Engines without a report are left out, so that they get no orders: their loaded models are
    /// unknown.
    pub fn new(
        view: &View,
        reports: &BTreeMap<EndpointId, LoadReport>,
        output: &BTreeMap<ClassId, u64>,
        list: Option<&InstanceList>,
    ) -> Self {
        let mut engines = engines(view, reports, list);
        engines.retain(|engine| reports.contains_key(&engine.id));
        let busy_slots: f64 = engines.iter().map(|e| requests_at(&reports[&e.id])).sum();
        Self {
            classes: class_demand(view, busy_slots, output),
            models: model_demand(view, &engines, reports),
            engines,
            slots: mean_slots(view),
        }
    }
}

/// Returns the number of running and waiting requests at an engine.
fn requests_at(report: &LoadReport) -> f64 {
    f64::from(report.running) + f64::from(report.waiting)
}

/// Divides the requests at engines among classes in proportion to their output tokens.
///
/// Without any output, all count for the highest tier, so that its reserve is not too small.
fn class_demand(view: &View, busy_slots: f64, output: &BTreeMap<ClassId, u64>) -> Vec<ClassDemand> {
    let tokens = |id: &ClassId| output.get(id).copied().unwrap_or(0) as f64;
    let total: f64 = view.classes().map(|class| tokens(&class.id)).sum();
    let highest = view.classes().min_by_key(|class| class.tier);
    view.classes()
        .map(|class| {
            let share = if total > 0.0 {
                tokens(&class.id) / total
            } else {
                f64::from(u8::from(
                    highest.is_some_and(|highest| highest.id == class.id),
                ))
            };
            ClassDemand {
                class: class.id.clone(),
                tier: class.tier,
                target: class.first.or(class.complete),
                busy_slots: share * busy_slots,
            }
        })
        .collect()
}

/// Divides the requests at each engine equally among its loaded models.
fn model_demand(
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
            top_tier: false,
            busy: 0.0,
        });
        demand.top_tier |= class.is_some_and(|class| class.tier <= MAX_TOP_TIER);
    }
    for engine in engines {
        let share = requests_at(&reports[&engine.id]) / engine.loaded.len().max(1) as f64;
        for model in &engine.loaded {
            if let Some(demand) = models.get_mut(model) {
                demand.busy += share;
            }
        }
    }
    models.into_values().collect()
}

fn mean_slots(view: &View) -> u32 {
    let engines = view.endpoints().filter(|e| e.kind == EndpointKind::Engine);
    let (count, sum) = engines.fold((0, 0_u32), |(n, s), e| (n + 1, s.saturating_add(e.slots)));
    sum.checked_div(count).unwrap_or(1).max(1)
}
