//! Tests of load estimates from late reports.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::load::LoadEstimate;
use fulmarford_lib::load::REPORT_AGE;
use fulmarford_lib::load::REPORT_EXPIRY;
use fulmarford_lib::policy::LoadReport;
use googletest::prelude::*;

fn report(running: u32, sequence: u64) -> LoadReport {
    LoadReport {
        endpoint: "e".into(),
        running,
        waiting: 0,
        slots: 8,
        kv: 0.0,
        leaving: false,
        models: Vec::new(),
        sequence,
    }
}

/// Guards against own requests that are counted twice or not at all while reports lag.
#[gtest]
fn estimate_own_after_report() {
    let start = Instant::now();
    let mut load = LoadEstimate::new(8);
    load.started(start);
    let now = start + REPORT_AGE;
    load.report(now, &report(4, 1), 0.5);
    expect_that!(load.estimate(1.0), eq(4.0));
    load.started(now);
    load.started(now);
    expect_that!(load.estimate(1.0), eq(6.0));
    load.ended(now);
    expect_that!(load.estimate(1.0), eq(5.0));
}

/// Guards against a reordered report that replaces a newer one.
#[gtest]
fn report_reordered() {
    let now = Instant::now();
    let mut load = LoadEstimate::new(8);
    expect_that!(load.report(now, &report(4, 7), 0.5), eq(true));
    expect_that!(load.report(now, &report(0, 6), 0.5), eq(false));
    expect_that!(load.estimate(1.0), eq(4.0));
    // A restarted endpoint counts from the start again.
    let later = now + REPORT_EXPIRY;
    expect_that!(load.report(later, &report(1, 1), 0.5), eq(true));
}

/// Guards against a flood on an endpoint that reports no load whatever runs there.
#[gtest]
fn report_implausible() {
    let start = Instant::now();
    let mut load = LoadEstimate::new(8);
    load.started(start);
    load.started(start);
    for i in 0..30u32 {
        load.report(
            start + Duration::from_millis(200) * i,
            &report(0, u64::from(i) + 1),
            0.0,
        );
    }
    expect_that!(load.is_distrusted(), eq(true));
    expect_that!(load.estimate(5.0), ge(10.0));
    expect_that!(load.may_claim(8.0, 5.0), eq(false));
}

/// Guards against several entries that all take the same free slots.
#[gtest]
fn may_claim_between_entries() {
    let start = Instant::now();
    let mut claimed = 0;
    for entry in 0..8u32 {
        let mut load = LoadEstimate::new(8);
        load.report(start, &report(4, 1), (f64::from(entry) + 0.5) / 8.0);
        while load.may_claim(8.0, 8.0) {
            load.started(start);
            claimed += 1;
        }
    }
    expect_that!(claimed, eq(4));
}
