//! Tests of the division of event streams into whole events.

use bytes::Bytes;
use fulmarford_lib::event_framer::EventFramer;
use fulmarford_lib::event_framer::EventTooLong;
use fulmarford_lib::event_framer::MAX_EVENT_BYTES;
use googletest::prelude::*;
use proptest::prelude::*;

fn push(framer: &mut EventFramer, text: &str) -> String {
    let whole = framer.push(Bytes::copy_from_slice(text.as_bytes()));
    let whole = whole.expect("an event of usual length");
    String::from_utf8(whole.to_vec()).expect("text")
}

#[gtest]
fn push_whole_events_only() {
    let mut framer = EventFramer::default();
    expect_that!(
        push(&mut framer, "id: 1\ndata: a\n\nid: 2\nda"),
        eq("id: 1\ndata: a\n\n")
    );
    expect_that!(framer.last(), some(eq("1")));
    expect_that!(framer.is_partial(), eq(true));
    expect_that!(push(&mut framer, "ta: b\n\n"), eq("id: 2\ndata: b\n\n"));
    expect_that!(framer.last(), some(eq("2")));
    expect_that!(framer.is_partial(), eq(false));
}

/// An engine may break off in the middle of an event; the stream goes on after the last whole one.
#[gtest]
fn restart_drops_partial_event() {
    let mut framer = EventFramer::default();
    push(&mut framer, "id: 1\ndata: a\n\nid: 2\ndata: half");
    framer.restart();
    expect_that!(framer.is_partial(), eq(false));
    expect_that!(
        push(&mut framer, "id: 2\ndata: b\n\n"),
        eq("id: 2\ndata: b\n\n")
    );
}

#[gtest]
fn restart_drops_repeated_events() {
    let mut framer = EventFramer::default();
    push(&mut framer, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    framer.restart();
    let again = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    expect_that!(push(&mut framer, again), eq("id: 3\ndata: c\n\n"));
}

/// A stream that ends without an empty line is passed on whole where nobody has to go on after it.
#[gtest]
fn rest_of_ended_stream() {
    let mut framer = EventFramer::default();
    push(&mut framer, "id: 1\ndata: a\n\nid: 2\ndata: b\n");
    expect_that!(framer.take_partial().as_ref(), eq(b"id: 2\ndata: b\n"));
    expect_that!(framer.is_partial(), eq(false));
}

/// An engine that sends bytes without end, fast or one at a time, is not held in memory.
#[gtest]
fn push_event_without_end() {
    for size in [1, 7, 16 << 10] {
        let mut framer = EventFramer::default();
        let pieces = MAX_EVENT_BYTES / size + 2;
        let taken = (0..pieces).take_while(|_| framer.push(vec![b'x'; size].into()).is_ok());
        let bytes = taken.count() * size;
        expect_that!(bytes, all![gt(MAX_EVENT_BYTES - size), le(MAX_EVENT_BYTES)]);
        expect_that!(
            framer.push(Bytes::from_static(b"x")),
            err(eq(&EventTooLong))
        );
    }
    let mut framer = EventFramer::default();
    let long = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES / 2));
    for _ in 0..8 {
        expect_that!(push(&mut framer, &long), eq(&long));
    }
}

/// The end of an event arrives in two pieces.
#[gtest]
fn push_divided_end() {
    let mut framer = EventFramer::default();
    expect_that!(push(&mut framer, "id: 1\n"), eq(""));
    expect_that!(push(&mut framer, "\n"), eq("id: 1\n\n"));
}

proptest! {
    #[test]
    fn push_any_division(cuts in proptest::collection::vec(1..20_usize, 0..40)) {
        let text: String = (1..=10).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n))).collect();
        let mut framer = EventFramer::default();
        let mut rest = text.as_str();
        let mut passed = String::new();
        for cut in cuts {
            let (piece, tail) = rest.split_at(cut.min(rest.len()));
            passed += &push(&mut framer, piece);
            prop_assert!(passed.is_empty() || passed.ends_with("\n\n"));
            rest = tail;
        }
        passed += &push(&mut framer, rest);
        prop_assert_eq!(passed, text);
        prop_assert_eq!(framer.last(), Some("10"));
    }
}
