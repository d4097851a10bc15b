//! Tests of how often usage is reported.

use std::time::Duration;

use fulmarford_lib::usage::report_period;
use googletest::prelude::*;

/// Few entries report with each poll, so that little is lost with a machine; many do not fill the log.
#[gtest]
fn report_period_by_entries() {
    expect_that!(report_period(0), eq(Duration::from_millis(250)));
    expect_that!(report_period(60), eq(Duration::from_millis(250)));
    expect_that!(report_period(500), eq(Duration::from_secs(1)));
    for entries in [1, 125, 1_300, 10_000] {
        let rate = f64::from(entries) / report_period(entries).as_secs_f64();
        expect_that!(rate, le(500.1), "{entries}");
    }
}
