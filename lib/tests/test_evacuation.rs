//! Tests of the evacuation of zones.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::evacuation;
use fulmarford_lib::evacuation::MAX_ZONE_BYTES;
use fulmarford_lib::evacuation::ZoneChange;
use fulmarford_lib::evacuation::ZoneNameError;
use fulmarford_lib::evacuation::ZoneStates;
use fulmarford_lib::ids::ZoneId;
use fulmarford_lib::rule_diff;
use fulmarford_lib::rules;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::View;
use googletest::prelude::*;

fn zones(names: &[&str]) -> Arc<BTreeSet<ZoneId>> {
    Arc::new(names.iter().map(|name| ZoneId::from(*name)).collect())
}

#[gtest]
fn check_zone_names() {
    expect_that!(evacuation::check_zone("z"), ok(eq(&ZoneId::from("z"))));
    expect_that!(evacuation::check_zone(""), err(eq(&ZoneNameError::Empty)));
    let longest = "z".repeat(MAX_ZONE_BYTES);
    expect_that!(evacuation::check_zone(&longest), ok(anything()));
    let error = evacuation::check_zone(&(longest + "z"));
    expect_that!(error, err(eq(&ZoneNameError::TooLong)));
}

/// Guards against a zone that comes back without a time from which its endpoints count as unknown, and against
/// one that is evacuated again and still counts as having come back.
#[gtest]
fn apply_start_and_end() {
    let mut states = ZoneStates::default();
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let zone = ZoneId::from("y");
    let change = |is_evacuated| {
        let zone = zone.clone();
        vec![ZoneChange { zone, is_evacuated }]
    };
    expect_that!(states.apply(at(0), &zones(&["y"])), eq(&change(true)));
    expect_that!(states.apply(at(1), &zones(&["y"])), is_empty());
    expect_that!(states.returned_at(&zone), none());
    expect_that!(states.apply(at(2), &zones(&[])), eq(&change(false)));
    expect_that!(states.is_evacuated(&zone), eq(false));
    states.apply(at(3), &zones(&["z"]));
    expect_that!(states.returned_at(&zone), some(eq(at(2))));
    states.apply(at(4), &zones(&["y", "z"]));
    expect_that!(states.returned_at(&zone), none());
}

/// Guards against a rules file that ends an evacuation, which it cannot list.
#[gtest]
fn edits_of_file_keep_evacuation() {
    let edit = |view: &View, edit: Edit| {
        let mut transaction = view.transaction();
        transaction.edit(&edit).expect("applies");
        transaction.commit().expect("valid")
    };
    let line = rules::parse_line("workspace w # t").expect("a rule");
    let from = edit(&View::default(), Edit::Set(line));
    let from = edit(&from, evacuation::edit(&"y".into(), true));
    let edits = rule_diff::edits(&from, &View::default());
    let removed: Vec<_> = edits
        .iter()
        .map(|edit| match edit {
            Edit::Remove(key) => key.to_string(),
            Edit::Set(rule) => rule.line.clone(),
        })
        .collect();
    expect_that!(removed, elements_are![eq("workspace w")]);
}

/// Guards against a rules file that starts an evacuation when an old listing is applied again.
#[gtest]
fn parse_line_evacuation() {
    expect_that!(rules::parse_line("evacuation y # t"), err(anything()));
}
