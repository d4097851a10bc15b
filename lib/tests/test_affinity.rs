//! Tests of prefix affinity.

use fulmarford_lib::affinity::Affinity;
use fulmarford_lib::affinity::MAX_PREFIXES;
use fulmarford_lib::affinity::rendezvous;
use fulmarford_lib::policy::CacheEvents;
use googletest::prelude::*;

fn stored(first: u64, prefixes: &[u64]) -> CacheEvents {
    CacheEvents {
        first,
        stored: prefixes.to_vec(),
        evicted: Vec::new(),
    }
}

/// Guards against the use of outdated cache records after events were missed.
#[gtest]
fn apply_events_gap() {
    let mut affinity = Affinity::default();
    affinity.apply_events(1, &stored(0, &[10, 11]));
    expect_that!(affinity.holder(&[10, 11]), some(eq(1)));
    // A repeated batch changes nothing.
    affinity.apply_events(1, &stored(0, &[10, 11]));
    expect_that!(affinity.holder(&[10]), some(eq(1)));
    affinity.apply_events(1, &stored(5, &[12]));
    expect_that!(affinity.holder(&[10]), none());
    expect_that!(affinity.holder(&[12]), some(eq(1)));
}

/// Guards against requests that are sent to an endpoint for a prefix that it has evicted.
#[gtest]
fn apply_events_evicted() {
    let mut affinity = Affinity::default();
    affinity.insert(&[10, 11], 2);
    let evicted = CacheEvents {
        first: 0,
        stored: Vec::new(),
        evicted: vec![11],
    };
    affinity.apply_events(2, &evicted);
    expect_that!(affinity.holder(&[10, 11]), some(eq(2)));
    expect_that!(affinity.holder(&[11]), none());
}

/// Guards against memory use that grows with the number of prefixes.
#[gtest]
fn insert_bounded() {
    let mut affinity = Affinity::default();
    for prefix in 0..3 * MAX_PREFIXES as u64 {
        affinity.insert(&[prefix], 0);
    }
    expect_that!(affinity.len(), le(MAX_PREFIXES));
}

/// Guards against hashing that reassigns prefixes of other endpoints when one endpoint is removed.
#[gtest]
fn rendezvous_stable() {
    let hashes: Vec<u64> = (0..10u64).map(|n| n * 7_919 + 1).collect();
    let moved = (0..1000u64)
        .filter(|key| {
            let all = rendezvous(*key, hashes.iter().copied());
            let fewer = rendezvous(*key, hashes[..9].iter().copied());
            all != Some(9) && all != fewer
        })
        .count();
    expect_that!(moved, eq(0));
}
