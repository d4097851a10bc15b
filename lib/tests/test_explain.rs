//! Tests of the extraction of a request's decisions from logs.

use fulmarford_lib::explain;
use googletest::prelude::*;

const LOG: &str = r#"
{"time":2,"request":"00000000000000aa","choice":"e2","candidates":[{"endpoint":"e2","score":3.0}]}
{"time":1,"request":"00000000000000aa","choice":"e1","candidates":[]}
{"time":1,"request":"00000000000000ab","choice":"e9"}
{"time":1,"request":"00000000000000aa","cho
"#;

/// Guards against attempts that are out of order or belong to another request.
#[gtest]
fn explain_two_attempts() {
    let records = explain::explain(LOG.as_bytes(), "00000000000000aa").expect("request is found");
    let text: Vec<_> = records.iter().map(explain::LogRecord::describe).collect();
    expect_that!(text.len(), eq(2));
    expect_that!(text[0], contains_substring("choice=e1"));
    expect_that!(text[1], contains_substring("candidate e2 score 3.0 ms"));
}

/// Guards against a missing error when no log contains the request.
#[gtest]
fn explain_unknown_request() {
    let result = explain::explain(LOG.as_bytes(), "00000000000000ff");
    expect_that!(result.is_err(), is_true());
}
