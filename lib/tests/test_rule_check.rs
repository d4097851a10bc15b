//! Tests of the validation of rules files and of the difference between two files.

use std::sync::Arc;

use fulmarford_lib::rule_check;
use fulmarford_lib::rule_diff;
use fulmarford_lib::view::View;
use googletest::prelude::*;
use proptest::prelude::*;

/// Guards against invalid examples.
#[gtest]
fn check_examples() {
    for text in [
        include_str!("../../examples/quito.rules"),
        include_str!("../../examples/dakar.rules"),
    ] {
        let result = rule_check::check(text);
        expect_that!(result.err(), none());
    }
}

/// Guards against reporting only the first error, and against wrong positions.
#[gtest]
fn check_every_error() {
    let text = "workspace w # a\n\
                clas c tier=1 idempotent=yes # a\n\
                class d tier=6 idempotent=yes # a\n\
                class e teir=1 idempotent=yes # a\n\
                workspace w # a\n";
    let errors = rule_check::check(text).expect_err("the file has errors");
    let places: Vec<_> = errors.iter().map(|e| (e.line, e.column)).collect();
    expect_that!(places, eq(&vec![(2, 1), (3, 14), (4, 9), (5, 11)]));
    expect_that!(errors[0].suggestion, contains_substring("`class`"));
    expect_that!(errors[2].suggestion, contains_substring("`tier`"));
}

/// Guards against references to missing rules, which would reject every request at run time.
#[gtest]
fn check_missing_reference() {
    let text = "workspace norte # a\n\
                class c tier=1 idempotent=yes # a\n\
                route r workspace=nort class=c model=m endpoints=x* # a\n";
    let errors = rule_check::check(text).expect_err("the file has errors");
    let shown: Vec<_> = errors.iter().map(ToString::to_string).collect();
    expect_that!(shown.len(), eq(2));
    expect_that!(shown[0], contains_substring("did you mean `norte`?"));
    expect_that!(shown[1], contains_substring("no endpoint matches `x*`"));
}

fn view(weights: &[Option<u32>]) -> Arc<View> {
    let lines: String = weights
        .iter()
        .enumerate()
        .filter_map(|(i, weight)| weight.map(|w| format!("workspace w{i} weight={w} # t\n")))
        .collect();
    rule_check::check(&lines).expect("rules are valid")
}

proptest! {
    /// Guards against differences that do not result in the submitted file.
    #[test]
    fn edits_any_two_files(
        from in prop::collection::vec(prop::option::of(1..4u32), 6),
        to in prop::collection::vec(prop::option::of(1..4u32), 6),
    ) {
        let (from, to) = (view(&from), view(&to));
        let mut transaction = from.transaction();
        for edit in rule_diff::edits(&from, &to) {
            transaction.edit(&edit).expect("edit applies");
        }
        let result = transaction.commit().expect("change is valid");
        prop_assert!(result.rules().eq(to.rules()));
    }
}
