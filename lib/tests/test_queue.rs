//! Tests of the queue of one tier and of the minimum share of low tiers.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::fairness::Fairness;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::queue::Item;
use fulmarford_lib::queue::MINIMUM_SHARE;
use fulmarford_lib::queue::MinimumShare;
use fulmarford_lib::queue::Queue;
use googletest::prelude::*;

fn item(workspace: u32, id: u64, due: Instant) -> Item {
    Item {
        workspace,
        deadline: due,
        id: RequestId(id),
        cost: 1.0,
        tokens: 100.0,
    }
}

/// Guards against a request that is dispatched before another with an earlier deadline.
#[gtest]
fn next_by_deadline() {
    let mut fairness = Fairness::default();
    let now = Instant::now();
    let mut queue = Queue::default();
    for (workspace, id, seconds) in [(0, 1, 9), (1, 2, 3), (0, 3, 1), (1, 4, 5)] {
        fairness.set_weight(workspace, 1.0);
        fairness.enter(workspace);
        queue.push(
            item(workspace, id, now + Duration::from_secs(seconds)),
            &fairness,
        );
    }
    let mut order = Vec::new();
    while let Some(next) = queue.next(&fairness).first().copied() {
        queue.remove(&next);
        order.push(next.id.0);
    }
    expect_that!(order, elements_are![eq(&3), eq(&2), eq(&4), eq(&1)]);
    expect_that!(queue.is_empty(), eq(true));
}

/// Guards against a wait prediction that counts the backlog of another workspace in full.
#[gtest]
fn requests_ahead_large_backlog() {
    let mut fairness = Fairness::default();
    let now = Instant::now();
    let mut queue = Queue::default();
    for workspace in 0..2 {
        fairness.set_weight(workspace, 1.0);
    }
    for id in 0..50 {
        fairness.enter(0);
        queue.push(item(0, id, now), &fairness);
    }
    fairness.enter(1);
    queue.push(item(1, 50, now), &fairness);
    expect_that!(queue.requests_ahead(1, &fairness), le(1.0));
    expect_that!(queue.requests_ahead(0, &fairness), ge(49.0));
}

/// Guards against turns that do not add up to the minimum share.
#[gtest]
fn due_tiers_share() {
    let now = Instant::now();
    let mut share = MinimumShare::default();
    let waiting = [true, false, false, false, true];
    let mut turns = 0.0;
    for _ in 0..10_000 {
        if share.due_tiers(now, waiting).is_empty() {
            share.record_dispatch(0, 1.0, waiting);
        } else {
            share.record_dispatch(4, 1.0, waiting);
            turns += 1.0;
        }
    }
    expect_that!(turns / 10_000.0, near(MINIMUM_SHARE, 0.002));
}
