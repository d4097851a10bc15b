//! Tests of the load summed over instances.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::line::portion::Kind;
use fulmarford_lib::line::portion::KindLoad;
use fulmarford_lib::service_load::EngineBacklog;
use fulmarford_lib::service_load::LoadAggregator;
use fulmarford_lib::service_load::LoadSummary;
use fulmarford_lib::service_load::Rate;
use fulmarford_lib::service_load::ServiceLoad;
use googletest::prelude::*;

fn report(long: f64, rate: f64) -> LoadSummary {
    let load = ServiceLoad {
        long,
        short: 1.0,
        calls: 2.0,
        rate,
    };
    LoadSummary {
        by_service: [("llm".into(), load)].into(),
        ..LoadSummary::default()
    }
}

#[gtest]
fn sum_adds_instances() {
    let now = Instant::now();
    let mut sum = LoadAggregator::default();
    sum.set(now, &"a".into(), report(10.0, 50.0));
    sum.set(now, &"b".into(), report(20.0, 60.0));
    sum.set(now, &"b".into(), report(30.0, 60.0));
    let total = sum.sum(now).by_service["llm"];
    expect_that!((total.long, total.short, total.calls), eq((40.0, 2.0, 4.0)));
    // 11 tokens/s at 50 and 31 tokens/s at 60.
    expect_that!(total.rate, near(57.38, 0.01));
}

/// Guards against a mean prefill rate that includes instances which observed none.
#[gtest]
fn sum_unobserved_rate() {
    let now = Instant::now();
    let mut sum = LoadAggregator::default();
    sum.set(now, &"a".into(), report(1_000.0, 40.0));
    sum.set(now, &"b".into(), report(9_000.0, 0.0));
    expect_that!(sum.sum(now).by_service["llm"].rate, eq(40.0));
}

/// Guards against one instance with a wrong prefill rate that decides how many endpoints are ordered.
#[gtest]
fn sum_outlier_rate() {
    let now = Instant::now();
    let mut sum = LoadAggregator::default();
    let idle = ServiceLoad {
        rate: 900.0,
        ..ServiceLoad::default()
    };
    let idle = LoadSummary {
        by_service: [("llm".into(), idle)].into(),
        ..LoadSummary::default()
    };
    sum.set(now, &"idle".into(), idle);
    for name in ["a", "b", "c"] {
        sum.set(now, &name.into(), report(100.0, 60.0));
    }
    expect_that!(sum.sum(now).by_service["llm"].rate, eq(60.0));
}

#[gtest]
fn sum_drops_expired_reports() {
    let now = Instant::now();
    let mut sum = LoadAggregator::default();
    sum.set(now, &"a".into(), report(10.0, 50.0));
    expect_that!(
        sum.sum(now + Duration::from_secs(10)),
        eq(&LoadSummary::default())
    );
}

#[gtest]
fn rate_of_steady_flow() {
    let start = Instant::now();
    let mut rate = Rate::new(start);
    for n in 0..200 {
        rate.add(start + Duration::from_millis(100) * n, 100.0);
    }
    let now = start + Duration::from_secs(20);
    expect_that!(rate.get(now), all![ge(900.0), le(1_100.0)]);
    expect_that!(rate.get(now + Duration::from_secs(20)), lt(1.0));
}

/// Guards against reports of unbounded size, and against reports that omit the busiest engines.
#[gtest]
fn sum_engines_bounded() {
    let now = Instant::now();
    let mut sum = LoadAggregator::default();
    for (instance, calls) in [("a", 1), ("b", 2)] {
        let at = |n: u64| EngineBacklog {
            calls: calls * n as u32,
            prefill_tokens: 7,
        };
        let report = LoadSummary {
            engines: (1..=1_000).map(|n| (n, at(n))).collect(),
            ..LoadSummary::default()
        };
        sum.set(now, &instance.into(), report);
    }
    let engines = sum.sum(now).engines;
    expect_that!(engines.len(), eq(128));
    let busiest = EngineBacklog {
        calls: 3_000,
        prefill_tokens: 14,
    };
    expect_that!(engines.get(&1_000), some(eq(&busiest)));
    expect_that!(engines.keys().min(), some(eq(&873)));
}

/// Guards against one report with an impossible value that spoils the sums of all instances.
#[gtest]
fn sum_impossible_values() {
    let now = Instant::now();
    for value in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, -1.0] {
        let mut sum = LoadAggregator::default();
        sum.set(now, &"a".into(), report(10.0, 50.0));
        sum.set(now, &"b".into(), report(value, value));
        let total = sum.sum(now).by_service["llm"];
        for part in [total.long, total.short, total.calls, total.rate] {
            expect_that!(part, all![ge(0.0), le(1e13)], "{value}");
        }
    }
}

/// All instances derive the portions from the same sums, in which no wrong report may stand.
#[gtest]
fn sum_kinds() {
    let now = Instant::now();
    let mut sum = LoadAggregator::default();
    let kind = Kind::of(1, 500);
    for (name, read) in [("a", 100.0), ("b", 50.0), ("odd", f64::NAN)] {
        let load = KindLoad { read, slots: 1.0 };
        let report = LoadSummary {
            kinds: [("llm".into(), [(kind, load)].into())].into(),
            ..LoadSummary::default()
        };
        sum.set(now, &name.into(), report);
    }
    let total = sum.sum(now).kinds["llm"][&kind];
    expect_that!((total.read, total.slots), eq((150.0, 3.0)));
}
