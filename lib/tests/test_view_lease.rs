//! Tests of the view lease.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::view_lease::VIEW_LEASE;
use fulmarford_lib::view_lease::ViewLease;
use googletest::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// A view must not be used before the first successful poll.
#[gtest]
fn is_valid_before_first_poll() {
    expect_false!(ViewLease::default().is_valid(Instant::now()));
}

/// The lease must count from the sending of the poll and subtract the upstream's age.
#[gtest]
fn valid_until_counts_from_sending() {
    let sent = Instant::now();
    let mut lease = ViewLease::default();
    lease.renew(sent, 300 * MS);
    let end = sent + VIEW_LEASE - 300 * MS;
    expect_that!(lease.valid_until(), some(eq(end)));
    expect_true!(lease.is_valid(end - MS));
    expect_false!(lease.is_valid(end));
}

/// A reordered response must neither shorten nor extend the lease.
#[gtest]
fn renew_reordered_answers() {
    let sent = Instant::now();
    let mut lease = ViewLease::default();
    lease.renew(sent + 500 * MS, 100 * MS);
    let end = lease.valid_until();
    lease.renew(sent, Duration::ZERO);
    expect_that!(lease.valid_until(), eq(end));
}

/// A relay must report the age of the view that it passes on.
#[gtest]
fn age_adds_up() {
    let sent = Instant::now();
    let mut lease = ViewLease::default();
    lease.renew(sent, 300 * MS);
    expect_that!(lease.age(sent + 200 * MS), some(eq(500 * MS)));
    expect_that!(lease.age(sent + VIEW_LEASE), none());
}
