//! Tests of endpoint health.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::health::FIRST_EJECTION;
use fulmarford_lib::health::Health;
use fulmarford_lib::health::OVERLOAD_PAUSE;
use fulmarford_lib::health::RAMP_UP_TIME;
use fulmarford_lib::policy::Ending;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A crashed endpoint must not regain its full load at once.
#[gtest]
fn record_end_crash_and_return() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut health = Health::default();
    let start = Instant::now();
    health.record_end(start, Ending::Crashed, None, &mut rng);
    // Other requests that break in the same crash do not extend the ejection.
    health.record_end(start, Ending::Crashed, None, &mut rng);
    expect_that!(health.share(start), eq(0.0));
    let probe = start + FIRST_EJECTION.mul_f64(1.3);
    expect_that!(health.share(probe), gt(0.0));
    health.record_start(probe);
    expect_that!(health.share(probe), eq(0.0), "one probe at a time");
    health.record_end(probe, Ending::Finished, Some(1.0), &mut rng);
    expect_that!(health.share(probe), le(0.2));
    expect_that!(health.share(probe + RAMP_UP_TIME), eq(1.0));
}

/// A cancelled probe must not block the endpoint forever.
#[gtest]
fn record_end_cancelled_probe() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut health = Health::default();
    let start = Instant::now();
    health.record_end(start, Ending::Unreachable, None, &mut rng);
    let probe = start + FIRST_EJECTION.mul_f64(1.3);
    health.record_start(probe);
    health.record_end(probe, Ending::Cancelled, None, &mut rng);
    expect_that!(health.share(probe), gt(0.0));
}

/// Ejections must grow while an endpoint keeps failing.
#[gtest]
fn record_end_repeated_failure() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut health = Health::default();
    let mut now = Instant::now();
    let mut times = Vec::new();
    for _ in 0..4 {
        health.record_end(now, Ending::Unreachable, None, &mut rng);
        let from = now;
        while health.is_down(now) {
            now += Duration::from_millis(10);
        }
        times.push(now - from);
    }
    expect_that!(times.is_sorted(), eq(true));
    expect_that!(times[3], gt(times[0] * 4));
}

/// An endpoint that refuses requests because of overload must not keep its full share.
#[gtest]
fn record_end_overloaded() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut health = Health::default();
    let start = Instant::now();
    health.record_end(start, Ending::Overloaded, None, &mut rng);
    expect_that!(health.share(start), eq(0.0));
    expect_that!(health.share(start + OVERLOAD_PAUSE), all!(gt(0.0), lt(1.0)));
}

/// A slow endpoint must not keep its full share, and must be tried again after some time.
#[gtest]
fn compare_slow() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut health = Health::default();
    let now = Instant::now();
    for _ in 0..5 {
        health.record_end(now, Ending::Finished, Some(6.0), &mut rng);
    }
    health.compare(1.0, false);
    expect_that!(health.is_slow(), eq(true));
    for _ in 0..100 {
        health.compare(1.0, false);
    }
    expect_that!(health.is_slow(), eq(false));
}
