//! Tests of the retry decision after a failed attempt.

use fulmarford_lib::fleet::CallOutcome;
use fulmarford_lib::forward_job::RetryDecision;
use fulmarford_lib::forward_job::decide_retry;
use fulmarford_lib::route_table::RetryPolicy;
use googletest::prelude::*;

const ENDS: [CallOutcome; 7] = [
    CallOutcome::Served,
    CallOutcome::Refused,
    CallOutcome::Failed,
    CallOutcome::Broken,
    CallOutcome::Unreachable,
    CallOutcome::Replaced,
    CallOutcome::Cancelled,
];

/// Guards against a second run of a request that is not repeatable: it is retried only if it certainly has
/// not run.
#[gtest]
fn decide_retry_runs_once() {
    for repeat in [RetryPolicy::Never, RetryPolicy::Stream { resumable: false }] {
        for end in ENDS {
            let has_not_run = matches!(
                end,
                CallOutcome::Refused | CallOutcome::Unreachable | CallOutcome::Replaced
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
    for repeat in [
        RetryPolicy::Idempotent,
        RetryPolicy::Stream { resumable: true },
    ] {
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
