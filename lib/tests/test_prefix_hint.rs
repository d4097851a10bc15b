//! Tests of the prefix hints that instances exchange.

use fulmarford_lib::dialect::PromptPart;
use fulmarford_lib::prefix_hint::MAX_HINTS;
use fulmarford_lib::prefix_hint::PrefixHint;
use fulmarford_lib::prefix_hint::PrefixHintLog;
use googletest::prelude::*;

fn hint(endpoint: u64) -> PrefixHint {
    PrefixHint {
        endpoint,
        parts: vec![PromptPart {
            id: 7,
            tokens: 5_000,
        }],
    }
}

fn endpoints(list: Vec<PrefixHint>) -> Vec<u64> {
    list.into_iter().map(|s| s.endpoint).collect()
}

#[gtest]
fn unseen_hints_of_others_once() {
    let mut log = PrefixHintLog::default();
    log.add(&"a".into(), vec![hint(1)]);
    log.add(&"b".into(), vec![hint(2)]);
    expect_that!(endpoints(log.unseen(&"a".into())), eq(&vec![2]));
    expect_that!(endpoints(log.unseen(&"a".into())), is_empty());
    log.add(&"c".into(), vec![hint(3)]);
    expect_that!(endpoints(log.unseen(&"a".into())), eq(&vec![3]));
    expect_that!(endpoints(log.unseen(&"b".into())), eq(&vec![1, 3]));
}

/// Guards against messages and memory that grow without bound during a burst of new sessions while an
/// instance is disconnected.
#[gtest]
fn unseen_bounded() {
    let mut log = PrefixHintLog::default();
    for n in 0..5_000 {
        log.add(&"a".into(), vec![hint(n)]);
    }
    let unseen = endpoints(log.unseen(&"b".into()));
    let newest: Vec<u64> = (5_000 - MAX_HINTS as u64..5_000).collect();
    expect_that!(unseen, eq(&newest));
    let flood = (0..1_000).map(hint).collect();
    log.add(&"b".into(), flood);
    expect_that!(endpoints(log.unseen(&"c".into())).len(), eq(MAX_HINTS));
}
