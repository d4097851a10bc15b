//! Tests of what may follow a failed attempt.

use fulmarford_lib::fleet::CallEnd;
use fulmarford_lib::forward_job::Next;
use fulmarford_lib::forward_job::after_failure;
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

/// A request that may run once is sent again only if it has certainly not run.
#[gtest]
fn after_failure_runs_once() {
    for repeat in [Repeat::Never, Repeat::Stream { resumable: false }] {
        for end in ENDS {
            let certain = matches!(
                end,
                CallEnd::Refused | CallEnd::Unreachable | CallEnd::Replaced
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
    for repeat in [Repeat::Idempotent, Repeat::Stream { resumable: true }] {
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
