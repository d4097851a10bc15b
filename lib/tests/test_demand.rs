//! Tests of the demand estimate that orders are planned from.

use std::collections::BTreeMap;
use std::sync::Arc;

use fulmarford_lib::demand::Demand;
use fulmarford_lib::ids::ClassId;
use fulmarford_lib::ids::EndpointId;
use fulmarford_lib::policy::LoadReport;
use fulmarford_lib::rules;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::View;
use googletest::prelude::*;

const RULES: &str = "\
workspace w # test
class top tier=1 first=1s idempotent=yes # test
class low tier=4 first=9s idempotent=yes # test
endpoint e1 address=127.0.0.1:1 zone=a models=m,n slots=8 # test
endpoint e2 address=127.0.0.1:2 zone=b models=m slots=16 # test
route r1 workspace=w class=top model=m endpoints=e* # test
route r2 workspace=w class=low model=n endpoints=e1 # test
";

fn view() -> Arc<View> {
    let rules = rules::parse_file(RULES).expect("valid");
    let view = View::default();
    let mut transaction = view.transaction();
    for rule in rules {
        transaction.edit(&Edit::Set(rule)).expect("valid");
    }
    transaction.commit().expect("valid")
}

fn reports(rows: &[(&str, u32, u32, &[&str])]) -> BTreeMap<EndpointId, LoadReport> {
    let report = |(id, running, waiting, models): &(&str, u32, u32, &[&str])| LoadReport {
        endpoint: (*id).into(),
        running: *running,
        waiting: *waiting,
        slots: 8,
        kv: 0.0,
        leaving: false,
        models: models.iter().map(|model| (*model).into()).collect(),
        sequence: 1,
    };
    rows.iter().map(|row| (row.0.into(), report(row))).collect()
}

fn busy(demand: &Demand) -> Vec<(&str, f64)> {
    let classes = demand.classes.iter();
    classes.map(|c| (c.class.as_str(), c.busy)).collect()
}

/// Guards against load that is lost, or counted twice, when it is divided between classes and models.
#[gtest]
fn demand_divides_load() {
    let reports = reports(&[("e1", 6, 2, &["m", "n"]), ("e2", 4, 0, &["m"])]);
    let output: BTreeMap<ClassId, u64> = [("top".into(), 300), ("low".into(), 100)].into();
    let demand = Demand::new(&view(), &reports, &output, None);
    expect_that!(
        busy(&demand),
        unordered_elements_are![eq(&("top", 9.0)), eq(&("low", 3.0))]
    );
    let models = demand.models.iter();
    let models: Vec<_> = models
        .map(|m| (m.model.as_str(), m.top_tier, m.busy))
        .collect();
    expect_that!(
        models,
        elements_are![eq(&("m", true, 8.0)), eq(&("n", false, 4.0))]
    );
    expect_that!(demand.slots, eq(12));
}

/// Guards against a reserve for the highest tier that is too small while no output is known.
#[gtest]
fn demand_without_output() {
    let reports = reports(&[("e2", 4, 1, &["m"])]);
    let demand = Demand::new(&view(), &reports, &BTreeMap::new(), None);
    expect_that!(
        busy(&demand),
        unordered_elements_are![eq(&("top", 5.0)), eq(&("low", 0.0))]
    );
}

/// Guards against orders to an engine whose loaded models are unknown.
#[gtest]
fn demand_without_report() {
    let reports = reports(&[("e2", 0, 0, &["m"])]);
    let demand = Demand::new(&view(), &reports, &BTreeMap::new(), None);
    let engines: Vec<_> = demand.engines.iter().map(|e| e.id.as_str()).collect();
    expect_that!(engines, elements_are![eq(&"e2")]);
}
