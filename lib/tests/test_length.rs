//! Tests of learned output lengths.

use fulmarford_lib::length::Lengths;
use googletest::prelude::*;

/// Guards against a prediction that ignores the prior, the class, the workspace or the limit.
#[gtest]
fn predict_learned() {
    let mut lengths = Lengths::default();
    expect_that!(lengths.predict(0, 0, 256, None), eq(256.0));
    expect_that!(lengths.predict(0, 0, 256, Some(20)), eq(20.0));
    for _ in 0..500 {
        lengths.observe(0, 0, 1000);
        lengths.observe(0, 1, 100);
    }
    expect_that!(lengths.predict(0, 0, 256, None), ge(900.0));
    expect_that!(lengths.predict(0, 1, 256, None), le(200.0));
    // A new workspace gets the mean of the class.
    expect_that!(lengths.predict(0, 2, 256, None), all!(ge(400.0), le(700.0)));
    expect_that!(lengths.predict(1, 0, 256, None), eq(256.0));
}

/// Guards against a prediction dominated by one long answer or by outdated ones.
#[gtest]
fn observe_drift() {
    let mut lengths = Lengths::default();
    lengths.observe(0, 0, 10_000);
    expect_that!(lengths.predict(0, 0, 100, None), le(2_500.0));
    for _ in 0..1000 {
        lengths.observe(0, 0, 50);
    }
    expect_that!(lengths.predict(0, 0, 100, None), le(100.0));
}
