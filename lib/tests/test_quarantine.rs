//! Tests of the local records of crash suspects.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::control::Suspicion;
use fulmarford_lib::quarantine::MAX_RECORDS;
use fulmarford_lib::quarantine::Quarantine;
use fulmarford_lib::quarantine::RETENTION;
use googletest::prelude::*;

/// Guards against a request that crashes endpoints without being quarantined, and against an innocent request
/// that is never cleared.
#[gtest]
fn crashed_twice() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    let mut quarantine = Quarantine::default();
    quarantine.crashed(now, &"e1".into(), 1);
    quarantine.crashed(now, &"e1".into(), 2);
    // A repeated report of the same crash does not count as a second one.
    quarantine.crashed(now, &"e1".into(), 1);
    expect_that!(quarantine.suspicion(now, 1), eq(Suspicion::Suspect));
    quarantine.clear(2);
    expect_that!(quarantine.suspicion(later, 2), eq(Suspicion::None));
    quarantine.crashed(later, &"e2".into(), 1);
    quarantine.clear(1);
    expect_that!(quarantine.suspicion(later, 1), eq(Suspicion::Quarantined));
    expect_that!(
        quarantine.suspicion(later + RETENTION, 1),
        eq(Suspicion::None)
    );
}

/// Guards against memory use that grows with each crash.
#[gtest]
fn crashed_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.learn(now, 1, Suspicion::Quarantined);
    for fingerprint in 2..3 * MAX_RECORDS as u64 {
        quarantine.crashed(now, &"e".into(), fingerprint);
    }
    let kept = (0..3 * MAX_RECORDS as u64)
        .filter(|f| quarantine.suspicion(now, *f) != Suspicion::None)
        .count();
    expect_that!(kept, eq(MAX_RECORDS));
    expect_that!(quarantine.suspicion(now, 1), eq(Suspicion::Quarantined));
}
