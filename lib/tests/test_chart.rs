//! Tests of the state charts.

use fulmarford_lib::chart::Chart;
use fulmarford_lib::chart::Charts;
use fulmarford_lib::chart::RequestEvent;
use fulmarford_lib::chart::RequestState;
use googletest::prelude::*;

const VALID_CHART: &str =
    "chart c\ninitial a\nevents x y\nstate a\n  x -> b\n  ignore y\nstate b final\n";

/// Guards against built-in charts that do not match the code.
#[gtest]
fn load_built_in() {
    expect_that!(Charts::load().is_ok(), eq(true));
}

/// Guards against accepting malformed or incomplete charts.
#[gtest]
fn parse_invalid() {
    expect_that!(Chart::parse(VALID_CHART), ok(anything()));
    let cases = [
        (
            VALID_CHART.replace("  ignore y\n", ""),
            "must be handled or ignored",
        ),
        (
            VALID_CHART.replace("ignore y", "ignore x y"),
            "must be handled or ignored",
        ),
        (VALID_CHART.replace("-> b", "-> c"), "does not exist"),
        (VALID_CHART.replace("-> b", "-> a"), "no way out"),
        (
            VALID_CHART.replace("initial a", "initial z"),
            "initial state",
        ),
        (
            VALID_CHART.replace("events x y", "events x"),
            "is not declared",
        ),
        (format!("{VALID_CHART}state d final\n"), "cannot be reached"),
        (format!("{VALID_CHART}state a final\n"), "given twice"),
        (
            VALID_CHART.replace("  x -> b", "  x -> b\n  x -> a"),
            "two targets",
        ),
        (
            VALID_CHART.replace("state a\n", "state a b c\n"),
            "cannot read",
        ),
        (format!("  x -> b\n{VALID_CHART}"), "belongs to no state"),
    ];
    for (text, message) in cases {
        let error = Chart::parse(&text).expect_err("the chart is invalid");
        expect_that!(error.to_string(), contains_substring(message));
    }
}

/// Guards against accepting a chart whose names differ from those of the code.
#[gtest]
fn expect_other_names() {
    let chart = Chart::parse(VALID_CHART).expect("the chart is valid");
    expect_that!(chart.expect(&["a", "b"], &["x", "y"]), ok(anything()));
    expect_that!(chart.expect(&["a"], &["x", "y"]), err(anything()));
    expect_that!(chart.expect(&["a", "b"], &["x"]), err(anything()));
}

/// Guards against transitions out of final states, by which a request could be charged twice or after it
/// failed.
#[gtest]
fn next_final_request_states() {
    let chart = Charts::load().expect("charts load").request;
    for state in RequestState::NAMES {
        for event in RequestEvent::NAMES {
            if chart.is_final(state) {
                expect_that!(chart.next(state, event), none());
            }
        }
    }
    expect_that!(chart.next("streaming", "finish"), some(eq("completed")));
}
