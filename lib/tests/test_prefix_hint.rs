//! Tests of what instances tell each other about prompt parts.

use fulmarford_lib::dialect::PromptPart;
use fulmarford_lib::prefix_hint::MAX_HINTS;
use fulmarford_lib::prefix_hint::PrefixHint;
use fulmarford_lib::prefix_hint::PrefixHintLog;
use googletest::prelude::*;

fn sighting(endpoint: u64) -> PrefixHint {
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
fn unseen_of_others_once() {
    let mut board = PrefixHintLog::default();
    board.add(&"a".into(), vec![sighting(1)]);
    board.add(&"b".into(), vec![sighting(2)]);
    expect_that!(endpoints(board.unseen(&"a".into())), eq(&vec![2]));
    expect_that!(endpoints(board.unseen(&"a".into())), is_empty());
    board.add(&"c".into(), vec![sighting(3)]);
    expect_that!(endpoints(board.unseen(&"a".into())), eq(&vec![3]));
    expect_that!(endpoints(board.unseen(&"b".into())), eq(&vec![1, 3]));
}

/// A burst of new sessions, and an instance that was cut off meanwhile: messages and memory stay bounded.
#[gtest]
fn unseen_bounded() {
    let mut board = PrefixHintLog::default();
    for n in 0..5_000 {
        board.add(&"a".into(), vec![sighting(n)]);
    }
    let news = endpoints(board.unseen(&"b".into()));
    let newest: Vec<u64> = (5_000 - MAX_HINTS as u64..5_000).collect();
    expect_that!(news, eq(&newest));
    let flood = (0..1_000).map(sighting).collect();
    board.add(&"b".into(), flood);
    expect_that!(endpoints(board.unseen(&"c".into())).len(), eq(MAX_HINTS));
}
