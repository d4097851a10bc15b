//! Tests of where a run goes on after an engine that leaves was asked for a copy.

use fulmarford_lib::dialect::CopyAnswer;
use fulmarford_lib::hand_over::MoveOutcome;
use fulmarford_lib::hand_over::place;
use googletest::prelude::*;

fn made() -> CopyAnswer {
    CopyAnswer::Made {
        handle: "h".to_owned(),
    }
}

/// Most engines of a zone leave at once and the others have no room: the run stays where it is.
#[gtest]
fn place_without_room() {
    let full = CopyAnswer::NoRoom { handle: None };
    expect_that!(place(&full, None), eq(MoveOutcome::InPlace));
    expect_that!(place(&CopyAnswer::NoRun, None), eq(MoveOutcome::InPlace));
}

/// The room is gone between the two calls: the engine that stopped the run still holds it.
#[gtest]
fn place_room_lost_after_stop() {
    let held = CopyAnswer::NoRoom {
        handle: Some("h".to_owned()),
    };
    expect_that!(place(&made(), Some(&held)), eq(MoveOutcome::Resumed));
    let lost = CopyAnswer::NoRoom { handle: None };
    expect_that!(place(&made(), Some(&lost)), eq(MoveOutcome::InPlace));
}

/// The run ends between the two calls, so that there is nothing to go on with.
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
