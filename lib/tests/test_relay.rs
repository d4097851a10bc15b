//! Tests of the relay of event streams.

use fulmarford_lib::relay::Relay;
use fulmarford_lib::relay::RelayError;
use googletest::prelude::*;
use serde_json::json;

fn chunk(id: &str, text: &str) -> String {
    let choices = json!([{"index": 0, "delta": {"content": text}, "finish_reason": null}]);
    format!("data: {}\n\n", json!({"id": id, "choices": choices}))
}

/// Guards against tokens that are counted as delivered but not sent to the caller, when an error
/// follows them in the same read.
#[gtest]
fn push_error_after_tokens() {
    for (tail, expected) in [
        (
            "data: {\"error\":{\"message\":\"x\"}}\n\n",
            RelayError::Engine,
        ),
        ("data: nonsense\n\n", RelayError::InvalidChunk),
    ] {
        let mut relay = Relay::new(1);
        let mut output = Vec::new();
        let input = format!("{}{}{tail}", chunk("a", "one "), chunk("a", "two "));
        let pushed = relay.push(input.as_bytes(), &mut output);
        expect_that!(pushed, err(eq(expected)));
        expect_that!(relay.tokens(), eq(2));
        expect_that!(relay.text(), eq("one two "));
        let text = String::from_utf8_lossy(&output);
        expect_that!(text.matches("data: ").count(), eq(2));
    }
}

/// Guards against a second role event and a second stream id after a resumption.
#[gtest]
fn push_after_reconnect() {
    let mut relay = Relay::new(1);
    let mut output = Vec::new();
    let role = "data: {\"id\":\"b\",\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n";
    relay
        .push(chunk("a", "one ").as_bytes(), &mut output)
        .expect("valid");
    relay
        .push(b"data: {\"id\":\"a\",\"cho", &mut output)
        .expect("valid");
    relay.reconnect();
    output.clear();
    relay.push(role.as_bytes(), &mut output).expect("valid");
    expect_that!(output.len(), eq(0));
    relay
        .push(chunk("b", "two ").as_bytes(), &mut output)
        .expect("valid");
    let text = String::from_utf8_lossy(&output).into_owned();
    expect_that!(text, contains_substring("\"id\":\"a\""));
    expect_that!(text, not(contains_substring("\"id\":\"b\"")));
    expect_that!(relay.text(), eq("one two "));
}

/// Guards against the resumption of responses that are not a single text.
#[gtest]
fn is_resumable_for_plain_text_only() {
    expect_that!(Relay::new(1).is_resumable(), eq(true));
    expect_that!(Relay::new(2).is_resumable(), eq(false));
    let mut relay = Relay::new(1);
    let tool = b"data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0}]}}]}\n\n";
    relay.push(tool, &mut Vec::new()).expect("valid");
    expect_that!(relay.is_resumable(), eq(false));
}

/// Guards against relaying events after the final one.
#[gtest]
fn push_after_done() {
    let mut relay = Relay::new(1);
    let mut output = Vec::new();
    let input = format!("data: [DONE]\n\n{}", chunk("a", "late"));
    relay.push(input.as_bytes(), &mut output).expect("valid");
    expect_that!(relay.is_done(), eq(true));
    expect_that!(relay.tokens(), eq(0));
    expect_that!(output, eq(b"data: [DONE]\n\n"));
}
