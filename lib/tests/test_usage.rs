//! Tests of how often usage is reported.

use std::time::Duration;

use fulmarford_lib::usage::report_interval;
use googletest::prelude::*;

/// Few entries report with each poll, so that little is lost with a machine; many do not fill the log.
#[gtest]
fn report_interval_by_instances() {
    expect_that!(report_interval(0), eq(Duration::from_millis(250)));
    expect_that!(report_interval(60), eq(Duration::from_millis(250)));
    expect_that!(report_interval(500), eq(Duration::from_secs(1)));
    for entries in [1, 125, 1_300, 10_000] {
        let rate = f64::from(entries) / report_interval(entries).as_secs_f64();
        expect_that!(rate, le(500.1), "{entries}");
    }
}
