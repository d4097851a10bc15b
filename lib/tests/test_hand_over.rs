//! Tests of where a run continues after an engine that is about to stop was asked to copy it.

use fulmarford_lib::dialect::CopyAnswer;
use fulmarford_lib::hand_over::MoveOutcome;
use fulmarford_lib::hand_over::place;
use googletest::prelude::*;

fn made() -> CopyAnswer {
    CopyAnswer::Made {
        handle: "h".to_owned(),
    }
}

/// Guards against a run that is given up when no engine has room for it, as when most engines of a zone are
/// reclaimed at once: the run stays at its engine.
#[gtest]
fn place_without_room() {
    let full = CopyAnswer::NoRoom { handle: None };
    expect_that!(place(&full, None), eq(MoveOutcome::InPlace));
    expect_that!(place(&CopyAnswer::NoRun, None), eq(MoveOutcome::InPlace));
}

/// Guards against the loss of a run whose target runs out of room between the two calls: the engine that
/// stopped the run resumes it.
#[gtest]
fn place_room_lost_after_stop() {
    let held = CopyAnswer::NoRoom {
        handle: Some("h".to_owned()),
    };
    expect_that!(place(&made(), Some(&held)), eq(MoveOutcome::Resumed));
    let lost = CopyAnswer::NoRoom { handle: None };
    expect_that!(place(&made(), Some(&lost)), eq(MoveOutcome::Unknown));
}

/// Guards against a move of a run that ended between the two calls.
#[gtest]
fn place_ended_meanwhile() {
    expect_that!(
        place(&made(), Some(&CopyAnswer::NoRun)),
        eq(MoveOutcome::InPlace)
    );
}

#[gtest]
fn place_copied() {
    expect_that!(place(&made(), Some(&made())), eq(MoveOutcome::Elsewhere));
}
