//! Tests of the sum of work over instances.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::work::Rate;
use fulmarford_lib::work::Work;
use fulmarford_lib::work::WorkSum;
use fulmarford_lib::work::Works;
use googletest::prelude::*;

fn works(long: f64, rate: f64) -> Works {
    let work = Work {
        long,
        short: 1.0,
        calls: 2.0,
        rate,
    };
    [("llm".into(), work)].into()
}

#[gtest]
fn sum_adds_instances() {
    let now = Instant::now();
    let mut sum = WorkSum::default();
    sum.set(now, &"a".into(), works(10.0, 50.0));
    sum.set(now, &"b".into(), works(20.0, 60.0));
    sum.set(now, &"b".into(), works(30.0, 60.0));
    let total = sum.sum(now)["llm"];
    expect_that!((total.long, total.short, total.calls), eq((40.0, 2.0, 4.0)));
    // 11 tokens/s at 50 and 31 tokens/s at 60.
    expect_that!(total.rate, near(57.38, 0.01));
}

/// Instances that saw no prompt being read say nothing about the rate.
#[gtest]
fn sum_unseen_rate() {
    let now = Instant::now();
    let mut sum = WorkSum::default();
    sum.set(now, &"a".into(), works(1_000.0, 40.0));
    sum.set(now, &"b".into(), works(9_000.0, 0.0));
    expect_that!(sum.sum(now)["llm"].rate, eq(40.0));
}

/// One instance that is wrong about the reading rate does not decide how many endpoints are ordered.
#[gtest]
fn sum_outlier_rate() {
    let now = Instant::now();
    let mut sum = WorkSum::default();
    sum.set(
        now,
        &"idle".into(),
        [(
            "llm".into(),
            Work {
                rate: 900.0,
                ..Work::default()
            },
        )]
        .into(),
    );
    for name in ["a", "b", "c"] {
        sum.set(now, &name.into(), works(100.0, 60.0));
    }
    expect_that!(sum.sum(now)["llm"].rate, eq(60.0));
}

#[gtest]
fn sum_forgets_silent_instances() {
    let now = Instant::now();
    let mut sum = WorkSum::default();
    sum.set(now, &"a".into(), works(10.0, 50.0));
    expect_that!(sum.sum(now + Duration::from_secs(10)), is_empty());
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
