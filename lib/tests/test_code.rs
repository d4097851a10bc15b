//! Tests of the numbered result codes.

use std::collections::HashSet;

use fulmarford_lib::code::ResultCode;
use googletest::prelude::*;

const TABLE: &str = include_str!("../../docs/result-codes.md");

/// Guards against a documented table that differs from the codes that callers get.
#[gtest]
fn result_code_documented() {
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {code:?} | {} | `{}` | {} |",
            code.number(),
            code.status(),
            code.kind(),
            code.text()
        );
        expect_that!(TABLE, contains_substring(row.as_str()));
    }
    let rows = TABLE
        .lines()
        .filter(|l| l.starts_with("| ") && !l.starts_with("| Code") && !l.starts_with("| ---"));
    expect_that!(rows.count(), eq(ResultCode::ALL.len()));
}

/// Guards against a number that is used for two codes.
#[gtest]
fn result_code_unique() {
    let numbers: HashSet<_> = ResultCode::ALL.iter().map(|c| c.number()).collect();
    expect_that!(numbers.len(), eq(ResultCode::ALL.len()));
}
