//! Tests of graceful shutdown.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::chart::Charts;
use fulmarford_lib::drain::Drain;
use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::metrics::Metrics;
use fulmarford_testutils::caller;
use fulmarford_testutils::caller::Caller;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::Faults;
use fulmarford_testutils::fixture::CHAT;
use fulmarford_testutils::fixture::Fixture;
use fulmarford_testutils::fixture::KEY;
use fulmarford_testutils::fixture::chat_body;
use fulmarford_testutils::fixture::expected_answer;
use fulmarford_testutils::fixture::wait_until;
use googletest::prelude::*;

fn drain() -> Drain {
    Drain::new(Charts::load().expect("charts load").drain)
}

/// Guards against admitting a request after the shutdown began.
#[gtest]
fn enter_after_begin() {
    let drain = drain();
    let permit = drain.enter();
    expect_that!(permit.is_some(), eq(true));
    drain.begin();
    expect_that!(drain.enter().is_none(), eq(true));
    expect_that!(drain.open(), eq(1));
    drop(permit);
    expect_that!(drain.wait(Duration::from_secs(1)), eq(true));
    drain.closed();
    expect_that!(drain.state(), eq("stopped"));
}

/// Guards against a shutdown that never ends.
#[gtest]
fn wait_timeout() {
    let drain = drain();
    let _permit = drain.enter();
    drain.begin();
    let start = Instant::now();
    expect_that!(drain.wait(Duration::from_millis(50)), eq(false));
    expect_that!(start.elapsed(), lt(Duration::from_secs(1)));
    expect_that!(drain.state(), eq("closing"));
}

/// Guards against a planned shutdown that truncates an open response.
#[gtest]
fn shutdown_finishes_open_requests() {
    let fixture = Fixture::new(2);
    let address = fixture.stack.address();
    let streams: Vec<_> = (0..20)
        .map(|i| {
            let prompt = format!("p{i}");
            let caller = fixture.send_chat(KEY, &chat_body(&prompt, 80));
            (prompt, caller)
        })
        .collect();
    let mut idle = Caller::connect(address).expect("connects");
    let drain = fixture.stack.gateway.drain().clone();
    wait_until(Duration::from_secs(2), "start of the streams", || {
        drain.open() == 20
    });
    drain.begin();
    let ready = caller::call(address, "GET", "/ready", &[], "").expect("a response");
    expect_that!((ready.status, ready.code()), eq((503, 1401)));
    let health = caller::call(address, "GET", "/health", &[], "").expect("a response");
    expect_that!(health.status, eq(200));
    let body = chat_body("late", 1).to_string();
    idle.send("POST", CHAT, &[], &body).expect("sends");
    let refused = idle.read_reply().expect("a response");
    expect_that!((refused.status, refused.code()), eq((503, 1401)));
    expect_that!(refused.header("connection"), some(eq("close")));
    expect_that!(refused.execution(), eq("not run"));
    let readers: Vec<_> = streams
        .into_iter()
        .map(|(prompt, mut caller)| {
            thread::spawn(move || {
                // The reader is slow, so its last bytes are still unread when the engine has finished.
                thread::sleep(Duration::from_millis(300));
                let reply = caller.read_reply().expect("the response is complete");
                (reply.stream_text(), expected_answer(&prompt, 80))
            })
        })
        .collect();
    expect_that!(drain.wait(Duration::from_secs(10)), eq(true));
    expect_that!(
        fixture.stack.server.close(Duration::from_secs(10)),
        eq(true)
    );
    for reader in readers {
        let (streamed, expected) = reader.join().expect("reader ends");
        expect_that!(streamed, eq(&expected));
    }
    expect_that!(Caller::connect(address).is_err(), eq(true));
}

/// Guards against a shutdown that exceeds its time limit because of one hanging request.
#[gtest]
fn shutdown_aborts_after_timeout() {
    let fixture = Fixture::with_settings(
        1,
        EngineSettings::default(),
        Timeouts::default(),
        Metrics::default(),
    );
    fixture.engines[0].set_faults(Faults {
        hang_after: Some(2),
        ..Faults::default()
    });
    let mut caller = fixture.send_chat(KEY, &chat_body("a", 10));
    caller.read_head().expect("head");
    let drain = fixture.stack.gateway.drain().clone();
    let start = Instant::now();
    drain.begin();
    expect_that!(drain.wait(Duration::from_millis(200)), eq(false));
    expect_that!(
        fixture.stack.server.close(Duration::from_millis(100)),
        eq(false)
    );
    expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
    expect_that!(caller.read_body().is_err(), eq(true));
    let engine = Arc::clone(&fixture.engines[0]);
    wait_until(Duration::from_secs(2), "cancellation", || {
        engine.counts().cancelled == 1
    });
}
