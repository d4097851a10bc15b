//! Tests of splitting event streams at event boundaries.

use bytes::Bytes;
use fulmarford_lib::event_framer::EventFramer;
use fulmarford_lib::event_framer::FramingError;
use fulmarford_lib::event_framer::MAX_EVENT_BYTES;
use googletest::prelude::*;
use proptest::prelude::*;

fn push(framer: &mut EventFramer, text: &str) -> String {
    let complete = framer.push(Bytes::copy_from_slice(text.as_bytes()));
    let complete = complete.expect("an event of usual length");
    String::from_utf8(complete.to_vec()).expect("text")
}

#[gtest]
fn push_complete_events_only() {
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

/// Guards against a resumed stream that contains a part of the event during which the engine failed.
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

/// Guards against text in the middle of a stream that another endpoint sent instead of its continuation.
#[gtest]
fn push_after_restart_not_continued() {
    let resumed = |last: &str| {
        let mut framer = EventFramer::default();
        push(&mut framer, &format!("id: {last}\ndata: a\n\n"));
        framer.restart();
        framer
    };
    let not_continued = [
        ("7", "busy\n\n"),
        ("7", "HTTP/1.1 503 Full\n\nid: 8\ndata: b\n\n"),
        ("7", "{\"error\":{}}\n\n"),
        ("7", "id: x\ndata: b\n\n"),
        ("7", ": comment\n\nbusy\n\n"),
        ("x", "busy\n\n"),
    ];
    for (last, text) in not_continued {
        expect_that!(
            resumed(last).push(Bytes::copy_from_slice(text.as_bytes())),
            err(eq(&FramingError::NotContinued)),
            "{text}"
        );
    }
    let continued = [
        ("7", "id: 8\ndata: b\n\n", "id: 8\ndata: b\n\n"),
        ("7", ": c\n\nid: 7\n\nid: 9\n\n", "id: 9\n\n"),
        ("x", "id: x\n\nid: y\n\n", "id: y\n\n"),
        (
            "7",
            "weight-versions: 3\nid: 8\n\n",
            "weight-versions: 3\nid: 8\n\n",
        ),
    ];
    for (last, text, forwarded) in continued {
        expect_that!(push(&mut resumed(last), text), eq(forwarded), "{text}");
    }
    // Only the first event tells whether the stream continues.
    let mut framer = resumed("7");
    push(&mut framer, "id: 8\n\n");
    expect_that!(push(&mut framer, "data: end\n\n"), eq("data: end\n\n"));
}

/// Guards against a stream that repeats events because the position at which it broke off has no name.
#[gtest]
fn is_resumable_needs_id() {
    let cases = [
        ("", true),
        ("id: 1\n\n", true),
        ("id: 1\n\n: comment\n\n", true),
        (": comment\n\n", true),
        ("data: a\n\n", false),
        ("id: 1\n\ndata: a\n\n", false),
        ("data: a\n\nid: 2\n\n", true),
        ("id: 1\n\ndata: half", true),
    ];
    for (text, resumable) in cases {
        let mut framer = EventFramer::default();
        push(&mut framer, text);
        expect_that!(framer.is_resumable(), eq(resumable), "{text}");
    }
}

/// Guards against losing the end of a stream that ends without an empty line and is not resumed.
#[gtest]
fn take_partial_of_ended_stream() {
    let mut framer = EventFramer::default();
    push(&mut framer, "id: 1\ndata: a\n\nid: 2\ndata: b\n");
    expect_that!(framer.take_partial().as_ref(), eq(b"id: 2\ndata: b\n"));
    expect_that!(framer.is_partial(), eq(false));
}

/// Guards against unbounded memory use if an engine never ends an event, at any chunk size.
#[gtest]
fn push_unbounded_event() {
    for size in [1, 7, 16 << 10] {
        let mut framer = EventFramer::default();
        let chunks = MAX_EVENT_BYTES / size + 2;
        let taken = (0..chunks).take_while(|_| framer.push(vec![b'x'; size].into()).is_ok());
        let bytes = taken.count() * size;
        expect_that!(bytes, all![gt(MAX_EVENT_BYTES - size), le(MAX_EVENT_BYTES)]);
        expect_that!(
            framer.push(Bytes::from_static(b"x")),
            err(eq(&FramingError::TooLong))
        );
    }
    let mut framer = EventFramer::default();
    let long = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES / 2));
    for _ in 0..8 {
        expect_that!(push(&mut framer, &long), eq(&long));
    }
}

/// Guards against a stream of which no event is forwarded, and one that continues at the wrong event, because its
/// lines end with CR or CRLF.
#[gtest]
fn push_line_ends() {
    for end in ["\n", "\r", "\r\n"] {
        let text =
            format!("id: 1{end}data: a{end}{end}: ping{end}{end}id: 2{end}data: b{end}{end}");
        let mut framer = EventFramer::default();
        expect_that!(push(&mut framer, &text), eq(&text), "{end:?}");
        expect_that!(framer.last(), some(eq("2")), "{end:?}");
        expect_that!(framer.is_resumable(), eq(true), "{end:?}");
        expect_that!(push(&mut framer, &format!("id: 3{end}da")), eq(""));
        expect_that!(framer.is_partial(), eq(true), "{end:?}");
        framer.restart();
        let next = format!("id: 3{end}data: c{end}{end}");
        expect_that!(
            push(&mut framer, &format!("{text}{next}")),
            eq(&next),
            "{end:?}"
        );
    }
    let mut framer = EventFramer::default();
    expect_that!(
        push(&mut framer, "id: 1\r\n\nid: 2\n\r\nid: 3\r\rid: 4\r\n"),
        eq("id: 1\r\n\nid: 2\n\r\nid: 3\r\r")
    );
}

/// Guards against a sound stream that counts as broken off because of what may follow its last event.
#[gtest]
fn is_partial_only_within_event() {
    let cases = [
        ("", false),
        ("id: 1\n\n", false),
        ("id: 1\r\n\r\n", false),
        ("id: 1\r\r", false),
        ("id: 1\n\n\n", false),
        ("id: 1\n\n: ping\n", false),
        ("id: 1\n\n: pi", true),
        ("id: 1\n\nid: 2", true),
        ("id: 1\n\nid: 2\n", true),
        ("id: 1\n\nid: 2\n: ping\n", true),
    ];
    for (text, is_partial) in cases {
        for size in [1, 2, 3, 64] {
            let mut framer = EventFramer::default();
            for chunk in text.as_bytes().chunks(size) {
                framer
                    .push(Bytes::copy_from_slice(chunk))
                    .expect("short events");
            }
            expect_that!(framer.is_partial(), eq(is_partial), "{text:?} by {size}");
        }
    }
}

/// Guards against missing an event's end that arrives in two chunks.
#[gtest]
fn push_split_delimiter() {
    let mut framer = EventFramer::default();
    expect_that!(push(&mut framer, "id: 1\n"), eq(""));
    expect_that!(push(&mut framer, "\n"), eq("id: 1\n\n"));
}

proptest! {
    #[test]
    fn push_any_chunks(
        cuts in proptest::collection::vec(1..20_usize, 0..40),
        end in proptest::sample::select(vec!["\n", "\r", "\r\n"]),
    ) {
        let event = |n: usize| format!("id: {n}{end}data: {}{end}{end}", "x".repeat(n));
        let text: String = (1..=10).map(event).collect();
        let mut framer = EventFramer::default();
        let mut rest = text.as_str();
        let mut forwarded = String::new();
        for cut in cuts {
            let (chunk, tail) = rest.split_at(cut.min(rest.len()));
            forwarded += &push(&mut framer, chunk);
            // The LF of a CRLF may follow later.
            let complete = forwarded.trim_end_matches(['\r', '\n']);
            prop_assert!(complete.is_empty() || complete.ends_with('x'));
            prop_assert!(text.starts_with(&forwarded));
            rest = tail;
        }
        forwarded += &push(&mut framer, rest);
        prop_assert_eq!(forwarded, text);
        prop_assert_eq!(framer.last(), Some("10"));
        prop_assert!(!framer.is_partial());
    }
}
