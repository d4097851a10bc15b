//! Tests of the interval between usage reports.

use std::time::Duration;

use fulmarford_lib::usage::report_interval;
use googletest::prelude::*;

/// Guards against few instances that report less often than they poll, which loses more usage in a
/// crash, and against many instances that overload the replicated log.
#[gtest]
fn report_interval_by_instances() {
    expect_that!(report_interval(0), eq(Duration::from_millis(250)));
    expect_that!(report_interval(60), eq(Duration::from_millis(250)));
    expect_that!(report_interval(500), eq(Duration::from_secs(1)));
    for instances in [1, 125, 1_300, 10_000] {
        let rate = f64::from(instances) / report_interval(instances).as_secs_f64();
        expect_that!(rate, le(500.1), "{instances}");
    }
}
