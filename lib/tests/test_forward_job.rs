//! Tests of what may follow a failed attempt.

use fulmarford_lib::fleet::CallOutcome;
use fulmarford_lib::forward_job::Next;
use fulmarford_lib::forward_job::after_failure;
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

/// A request that may run once is sent again only if it has certainly not run.
#[gtest]
fn after_failure_runs_once() {
    for repeat in [RetryPolicy::Never, RetryPolicy::Stream { resumable: false }] {
        for end in ENDS {
            let certain = matches!(
                end,
                CallOutcome::Refused | CallOutcome::Unreachable | CallOutcome::Replaced
            );
            let next = if certain { Next::Again } else { Next::GiveUp };
            expect_that!(
                after_failure(repeat, end, 1, 2),
                eq(next),
                "{repeat:?} {end:?}"
            );
        }
    }
}

#[gtest]
fn after_failure_bounded() {
    for repeat in [
        RetryPolicy::Idempotent,
        RetryPolicy::Stream { resumable: true },
    ] {
        for end in ENDS {
            expect_that!(after_failure(repeat, end, 1, 2), eq(Next::Again), "{end:?}");
            expect_that!(
                after_failure(repeat, end, 2, 2),
                eq(Next::GiveUp),
                "{end:?}"
            );
        }
    }
}
