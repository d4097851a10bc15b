//! Tests of the placement of models on engines.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::placement;
use fulmarford_lib::placement::Engine;
use fulmarford_lib::placement::EngineChange;
use fulmarford_lib::placement::ModelDemand;
use fulmarford_lib::placement::Placement;
use fulmarford_lib::placement::StoreLimit;
use fulmarford_lib::platform::EngineAction;
use fulmarford_lib::platform::Instance;
use fulmarford_lib::platform::InstanceList;
use fulmarford_lib::platform::InstanceState;
use fulmarford_lib::policy::LoadReport;
use fulmarford_lib::rules;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::View;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;

const LIMIT: StoreLimit = StoreLimit {
    loads_per_minute: 2.0,
    burst: 2.0,
};

fn engine(n: usize, zone: usize, room: usize, loaded: &[&str]) -> Engine {
    Engine {
        id: format!("e{n}").into(),
        address: ([127, 0, 0, 1], 9_000 + n as u16).into(),
        zone: format!("z{zone}").into(),
        leaving: None,
        allowed: ["a", "b", "c"].map(Into::into).to_vec(),
        loaded: loaded.iter().map(|m| (*m).into()).collect(),
        max_models: room,
        slots: 8,
        kv: 0.1 * n as f64,
    }
}

fn demand(model: &str, top: bool, busy: f64) -> ModelDemand {
    ModelDemand {
        model: model.into(),
        top_tier: top,
        busy,
    }
}

fn apply_changes(engines: &mut [Engine], changes: &[EngineChange]) {
    for change in changes {
        let engine = engines.iter_mut().find(|e| e.id == change.engine);
        let engine = engine.expect("the engine exists");
        match &change.action {
            EngineAction::Load { model } => engine.loaded.push(model.clone()),
            EngineAction::Unload { model } => engine.loaded.retain(|m| m != model),
            EngineAction::Role { .. } => {}
        }
    }
}

/// Guards against loads above the rate limit of the weight store, and against a repeated order for a
/// load that the engine does not report yet.
#[gtest]
fn plan_store_limit() {
    let engines: Vec<_> = (0..6).map(|n| engine(n, n % 3, 2, &[])).collect();
    let demand = [demand("a", true, 40.0), demand("b", false, 4.0)];
    let mut placement = Placement::new(LIMIT);
    let start = Instant::now();
    let first = placement.plan(start, &engines, &demand);
    expect_that!(first.len(), eq(2));
    let reasons: Vec<_> = first.iter().map(|c| c.reason).collect();
    expect_that!(reasons, eq(&vec!["model_missing"; 2]));
    expect_that!(placement.plan(start, &engines, &demand), is_empty());
    let later = placement.plan(start + Duration::from_secs(30), &engines, &demand);
    expect_that!(later.len(), eq(1));
    expect_that!(later[0].reason, eq("single_zone"));
    expect_that!(first.iter().any(|c| c.engine == later[0].engine), eq(false));
}

/// Guards against a full engine that never unloads a surplus replica for a missing model, and against
/// unload orders that are repeated at every step.
#[gtest]
fn plan_unloads_surplus() {
    let mut engines: Vec<_> = (0..4).map(|n| engine(n, n % 2, 1, &["a"])).collect();
    let demand = [demand("a", true, 1.0), demand("b", false, 1.0)];
    let mut placement = Placement::new(LIMIT);
    let now = Instant::now();
    let changes = placement.plan(now, &engines, &demand);
    expect_that!(changes.len(), eq(1));
    expect_that!(
        changes[0].action,
        matches_pattern!(EngineAction::Unload { .. })
    );
    expect_that!(placement.plan(now, &engines, &demand), is_empty());
    apply_changes(&mut engines, &changes);
    let load = placement.plan(now, &engines, &demand);
    expect_that!(
        load[0].action,
        eq(&EngineAction::Load { model: "b".into() })
    );
}

/// Guards against a KV cache that is moved twice, to an engine that is leaving too, or within its
/// zone although an engine in another zone has the model.
#[gtest]
fn plan_moves_to_other_zone() {
    let mut engines = vec![
        engine(0, 0, 2, &["a"]),
        engine(1, 0, 2, &["a"]),
        engine(2, 1, 2, &["b"]),
        engine(3, 1, 2, &["a"]),
        engine(4, 1, 2, &["a"]),
    ];
    engines[0].leaving = Some(Duration::from_secs(5));
    engines[4].leaving = Some(Duration::from_millis(100));
    let mut placement = Placement::new(LIMIT);
    let moves = placement.plan_moves(&engines);
    expect_that!(moves.len(), eq(1));
    expect_that!(moves[0].from.as_str(), eq("e0"));
    expect_that!(moves[0].to.as_str(), eq("e3"));
    expect_that!(placement.plan_moves(&engines), is_empty());
}

/// Guards against services that are treated as engines, and against an ignored notice or drain.
#[gtest]
fn engines_from_rules() {
    let lines = "endpoint a address=127.0.0.1:1 zone=z models=m # t\n\
                 endpoint b address=127.0.0.1:2 zone=z models=m,n # t\n\
                 endpoint s address=127.0.0.1:3 zone=z # t";
    let base = View::default();
    let mut transaction = base.transaction();
    for rule in rules::parse_file(lines).expect("the rules are valid") {
        transaction
            .edit(&Edit::Set(rule))
            .expect("the edit applies");
    }
    let view = transaction.commit().expect("the view is valid");
    let report = LoadReport {
        endpoint: "b".into(),
        running: 0,
        waiting: 0,
        slots: 8,
        kv: 0.5,
        leaving: true,
        models: vec!["m".into()],
        sequence: 1,
    };
    let list = InstanceList {
        age_ms: 0,
        instances: vec![Instance {
            id: "a".into(),
            zone: "z".into(),
            reclaimable: true,
            state: InstanceState::Leaving,
            notice_ms: Some(5_000),
        }],
        offers: Vec::new(),
    };
    let reports = [("b".into(), report)].into();
    let engines = placement::engines(&view, &reports, Some(&list));
    expect_that!(engines.len(), eq(2));
    expect_that!(engines[0].leaving, some(eq(Duration::from_secs(5))));
    expect_that!(engines[1].leaving, some(eq(placement::DRAIN_NOTICE)));
    expect_that!(engines[1].loaded.len(), eq(1));
}

proptest! {
    /// Guards against placements that never converge, leave a model without a replica, keep a
    /// top-tier model in one zone, or load more models than an engine can hold.
    #[test]
    fn plan_converges(
        zones in vec(0..3_usize, 2..8),
        busy in vec(0.0..30.0_f64, 3),
        top in vec(any::<bool>(), 3),
        room in 3..4_usize,
    ) {
        let mut engines: Vec<_> = zones
            .iter()
            .enumerate()
            .map(|(n, zone)| engine(n, *zone, room, &[]))
            .collect();
        let demand: Vec<_> = ["a", "b", "c"]
            .iter()
            .enumerate()
            .map(|(i, model)| demand(model, top[i], busy[i]))
            .collect();
        let mut placement = Placement::new(LIMIT);
        let start = Instant::now();
        let mut loads = 0;
        for minute in 0..30 {
            let now = start + Duration::from_secs(60 * minute);
            let changes = placement.plan(now, &engines, &demand);
            proptest::prop_assert!(changes.len() <= 2);
            loads += changes.len();
            apply_changes(&mut engines, &changes);
        }
        proptest::prop_assert!(loads <= 3 * zones.len());
        let distinct = zones.iter().collect::<std::collections::BTreeSet<_>>().len();
        for d in &demand {
            let has = |e: &&Engine| e.loaded.contains(&d.model);
            let reached: std::collections::BTreeSet<_> =
                engines.iter().filter(has).map(|e| &e.zone).collect();
            let least = if d.top_tier { distinct.min(2) } else { 1 };
            proptest::prop_assert!(reached.len() >= least);
        }
        proptest::prop_assert!(engines.iter().all(|e| e.loaded.len() <= room));
    }
}
