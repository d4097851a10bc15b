//! Tests of the retry decision after a failed attempt.

use fulmarford_lib::fleet::CallEnd;
use fulmarford_lib::forward_job::RetryDecision;
use fulmarford_lib::forward_job::decide_retry;
use fulmarford_lib::route_table::Repeat;
use googletest::prelude::*;

const ENDS: [CallEnd; 7] = [
    CallEnd::Served,
    CallEnd::Refused,
    CallEnd::Failed,
    CallEnd::Broken,
    CallEnd::Unreachable,
    CallEnd::Replaced,
    CallEnd::Cancelled,
];

/// Guards against a second run of a request that is not repeatable: it is retried only if it certainly has
/// not run.
#[gtest]
fn decide_retry_runs_once() {
    for repeat in [Repeat::Never, Repeat::Stream { resumable: false }] {
        for end in ENDS {
            let has_not_run = matches!(
                end,
                CallEnd::Refused | CallEnd::Unreachable | CallEnd::Replaced
            );
            let next = if has_not_run {
                RetryDecision::Retry
            } else {
                RetryDecision::GiveUp
            };
            expect_that!(
                decide_retry(repeat, end, 1, 2),
                eq(next),
                "{repeat:?} {end:?}"
            );
        }
    }
}

/// Guards against retries beyond the number of attempts that the route allows.
#[gtest]
fn decide_retry_bounded() {
    for repeat in [Repeat::Idempotent, Repeat::Stream { resumable: true }] {
        for end in ENDS {
            expect_that!(
                decide_retry(repeat, end, 1, 2),
                eq(RetryDecision::Retry),
                "{end:?}"
            );
            expect_that!(
                decide_retry(repeat, end, 2, 2),
                eq(RetryDecision::GiveUp),
                "{end:?}"
            );
        }
    }
}
