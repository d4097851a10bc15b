//! Tests of the check of rules files and of the summary of differences.

use fulmarford_lib::config_check;
use fulmarford_lib::config_check::Place;
use fulmarford_lib::config_check::Severity;
use fulmarford_lib::rule_check;
use googletest::prelude::*;

/// A rules file with one mistake or more on most lines.
const MISTAKES: &str = include_str!("mistakes.rules");

/// Guards against warnings about rules that work, which would teach operators to ignore them.
#[gtest]
fn check_rules_examples() {
    for text in [
        include_str!("../../examples/quito.rules"),
        include_str!("../../examples/dakar.rules"),
    ] {
        let (view, findings) = config_check::check_rules(text);
        expect_that!(view, some(anything()));
        expect_that!(findings, is_empty());
    }
}

/// Guards against errors across lines that appear only once the errors of form are corrected, and against a
/// warning that an error hides.
#[gtest]
fn check_rules_all_mistakes() {
    let (view, findings) = config_check::check_rules(MISTAKES);
    expect_that!(view, none());
    let found: Vec<_> = findings
        .iter()
        .map(|finding| match finding.place {
            Place::Line { line, .. } => (line, finding.severity),
            Place::Field { .. } => (0, finding.severity),
        })
        .collect();
    // The comment of each line says what is expected.
    let mut expected = Vec::new();
    for (number, line) in (1..).zip(MISTAKES.lines()) {
        let (_, comment) = line.rsplit_once('#').unwrap_or((line, "E"));
        let severities = comment.chars().filter_map(|c| match c {
            'E' => Some(Severity::Error),
            'W' => Some(Severity::Warning),
            _ => None,
        });
        expected.extend(severities.map(|severity| (number, severity)));
    }
    expect_that!(expected.len(), ge(30));
    expect_that!(found, eq(&expected));
}

/// Guards against a report that shows a key which was written in place of its hash.
#[gtest]
fn check_rules_no_keys_shown() {
    let text = "workspace w # a\nkey k workspace=w hash=fk-secret-1 # a\n";
    let (_, findings) = config_check::check_rules(text);
    expect_that!(findings, not(is_empty()));
    for finding in findings {
        expect_that!(finding.to_string(), not(contains_substring("fk-secret")));
    }
}

/// Guards against references to a broken line that are reported as errors of their own.
#[gtest]
fn check_rules_one_error_for_broken_line() {
    let text = include_str!("../../examples/quito.rules").replace("tier=1 first", "tier=9 first");
    let (_, findings) = config_check::check_rules(&text);
    let errors: Vec<_> = findings.iter().map(|f| f.severity).collect();
    expect_that!(errors, elements_are![eq(&Severity::Error)]);
}

/// Guards against routes of other classes, methods or callers that are said to be hidden.
#[gtest]
fn check_rules_not_hidden() {
    let text = "workspace w # a\nworkspace v # a\n\
        key w-1 workspace=w hash=0000000000000000000000000000000000000000000000000000000000000001 # a\n\
        key v-1 workspace=v hash=0000000000000000000000000000000000000000000000000000000000000002 # a\n\
        class c tier=1 idempotent=yes # a\nclass d tier=1 idempotent=yes # a\n\
        route a workspace=w class=c path=/p methods=GET endpoints=e # a\n\
        route b workspace=w class=c path=/p endpoints=e # a\n\
        route c workspace=v class=c path=/p methods=GET endpoints=e # a\n\
        route d workspace=w class=d path=/p methods=GET endpoints=e # a\n\
        route e workspace=w class=c path=/p/q methods=GET endpoints=e # a\n\
        endpoint e address=127.0.0.1:1 zone=z # a\n";
    let (_, findings) = config_check::check_rules(text);
    expect_that!(findings, is_empty());
}

#[gtest]
fn rule_differences_by_subject() {
    let old = include_str!("../../examples/quito.rules");
    let new = old
        .replace("limit norte requests=30/s", "limit norte requests=20/s")
        .replace("endpoint uio-s4 ", "endpoint uio-s5 ")
        + "class extra tier=5 idempotent=yes # Ana, platform\n";
    let view = |text: &str| rule_check::check(text).expect("rules are valid");
    let found = config_check::rule_differences(&view(old), &view(&new));
    let shown: Vec<_> = found.iter().map(ToString::to_string).collect();
    let expected = [
        "endpoints: added 1 (uio-s5) removed 1 (uio-s4)",
        "classes: added 1 (extra)",
        "limits: changed 1 (norte)",
    ];
    expect_that!(shown, eq(&expected.map(str::to_owned)));
    let same = config_check::rule_differences(&view(old), &view(old));
    expect_that!(same, is_empty());
}
