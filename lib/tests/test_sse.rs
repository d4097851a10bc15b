//! Tests of the event parser and writer.

use fulmarford_lib::sse;
use fulmarford_lib::sse::MAX_EVENT_BYTES;
use fulmarford_lib::sse::ParseError;
use fulmarford_lib::sse::Parser;
use googletest::prelude::*;
use proptest::prelude::*;

fn parse(chunks: &[&[u8]]) -> Vec<String> {
    let mut parser = Parser::default();
    let mut events = Vec::new();
    for chunk in chunks {
        parser
            .push(chunk, |data| events.push(data.to_owned()))
            .expect("valid events");
    }
    events
}

/// Guards against misparsing events whose lines end in CR LF or hold other fields.
#[gtest]
fn push_line_endings_and_fields() {
    let text = b": ping\r\n\r\nevent: x\r\nid: 1\r\ndata: a\r\n\r\ndata:b\ndata: c\n\n";
    expect_that!(parse(&[text]), elements_are![eq("a"), eq("b\nc")]);
}

/// Guards against an incomplete event that grows without bound.
#[gtest]
fn push_too_large() {
    let mut parser = Parser::default();
    let chunk = vec![b'x'; MAX_EVENT_BYTES / 2 + 1];
    expect_that!(parser.push(&chunk, |_| {}), ok(anything()));
    expect_that!(parser.push(&chunk, |_| {}), err(eq(ParseError::TooLarge)));
}

/// Guards against passing bytes that are not UTF-8 to a JSON parser.
#[gtest]
fn push_not_utf8() {
    let mut parser = Parser::default();
    let pushed = parser.push(b"data: \xff\xfe\n\n", |_| {});
    expect_that!(pushed, err(eq(ParseError::NotUtf8)));
}

/// Guards against treating an incomplete event as complete.
#[gtest]
fn is_partial_incomplete_event() {
    let mut parser = Parser::default();
    parser.push(b"data: a\n\ndata: b\n", |_| {}).expect("valid");
    expect_that!(parser.is_partial(), eq(true));
    parser.push(b"\n", |_| {}).expect("valid");
    expect_that!(parser.is_partial(), eq(false));
}

proptest! {
    /// Guards against events that depend on the chunks in which the bytes arrive.
    #[test]
    fn push_any_chunks(
        events in prop::collection::vec("[^\r\n]{0,20}(\n[^\r\n]{0,20}){0,2}", 0..6),
        cuts in prop::collection::vec(0_usize..200, 0..8),
    ) {
        let mut bytes = Vec::new();
        for event in &events {
            sse::write_event(&mut bytes, event);
        }
        let mut cuts: Vec<_> = cuts.into_iter().map(|c| c.min(bytes.len())).collect();
        cuts.push(0);
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let chunks: Vec<_> = cuts.windows(2).map(|w| &bytes[w[0]..w[1]]).collect();
        prop_assert_eq!(parse(&chunks), events);
    }

    /// Guards against panics on arbitrary bytes.
    #[test]
    fn push_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Parser::default().push(&bytes, |_| {});
    }
}
