//! Tests of the model of an engine's prompt cache.

use fulmarford_lib::dialect::PromptPart;
use fulmarford_lib::prompt_cache::PromptCache;
use googletest::prelude::*;
use proptest::prelude::*;

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[gtest]
fn cached_prefix_only() {
    let mut cache = PromptCache::default();
    cache.add(&[part(1, 100), part(2, 50)], 1_000);
    expect_that!(
        cache.cached(&[part(1, 100), part(2, 50), part(3, 9)]),
        eq(150)
    );
    expect_that!(cache.cached(&[part(4, 100), part(2, 50)]), eq(0));
}

#[gtest]
fn add_evicts_least_recently_used() {
    let mut cache = PromptCache::default();
    cache.add(&[part(1, 400)], 1_000);
    cache.add(&[part(2, 400)], 1_000);
    cache.add(&[part(1, 400)], 1_000);
    cache.add(&[part(3, 400)], 1_000);
    expect_that!(cache.cached(&[part(1, 400)]), eq(400));
    expect_that!(cache.cached(&[part(2, 400)]), eq(0));
}

proptest! {
    #[test]
    fn add_stays_within_limit(ids in proptest::collection::vec(0..50_u64, 1..300)) {
        let mut cache = PromptCache::default();
        for id in &ids {
            cache.add(&[part(*id, 100)], 1_000);
        }
        let held = (0..50).filter(|id| cache.cached(&[part(*id, 100)]) > 0).count();
        prop_assert!(held <= 10);
        prop_assert!(cache.cached(&[part(ids[ids.len() - 1], 100)]) > 0);
    }
}
