//! Tests of the fake engine, on whose behaviour benchmarks and other tests rely.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_testutils::caller;
use fulmarford_testutils::fake_engine;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::FakeEngine;
use fulmarford_testutils::fixture::CHAT;
use fulmarford_testutils::fixture::messages;
use fulmarford_testutils::fixture::wait_until;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let reply =
        caller::call(address, "POST", path, &[], &body.to_string()).expect("the engine answers");
    (reply.status, reply.json())
}

fn get(address: SocketAddr, path: &str) -> Value {
    let reply = caller::call(address, "GET", path, &[], "").expect("the engine answers");
    reply.json()
}

fn body(prompt: &str, priority: u32) -> Value {
    json!({"model": "m", "max_tokens": 4, "priority": priority, "messages": messages(prompt)})
}

/// Guards against an engine that runs more calls than it has slots, or that does not order waiting
/// calls by priority and arrival.
#[gtest]
fn complete_by_priority() {
    let settings = EngineSettings {
        slots: 1,
        first_token: Duration::from_millis(100),
        ..EngineSettings::default()
    };
    let engine = FakeEngine::start(settings).expect("engine starts");
    let address = engine.address();
    let mut calls = Vec::new();
    for (i, priority) in [1, 5, 3, 1].into_iter().enumerate() {
        calls.push(thread::spawn(move || {
            post(address, CHAT, &body("a", priority));
            (Instant::now(), priority)
        }));
        wait_until(Duration::from_secs(2), "arrival of the call", || {
            engine.counts().calls == i as u64 + 1
        });
    }
    let load = get(address, "/load");
    expect_that!(load["running"], eq(&json!(1)));
    expect_that!(load["waiting"], eq(&json!(3)));
    expect_that!(load["slots"], eq(&json!(1)));
    let mut ended: Vec<_> = calls
        .into_iter()
        .map(|c| c.join().expect("the call ends"))
        .collect();
    ended.sort();
    let order: Vec<_> = ended.into_iter().map(|(_, priority)| priority).collect();
    expect_that!(order, eq(&vec![1, 1, 3, 5]));
}

/// Guards against a prefix cache that does not reduce the time to the first token, reports wrong
/// cache events, or is lost by an export and import.
#[gtest]
fn complete_cached_prefix() {
    let settings = EngineSettings {
        prefill_per_block: Duration::from_millis(20),
        ..EngineSettings::default()
    };
    let engine = FakeEngine::start(settings).expect("engine starts");
    let address = engine.address();
    let prompt = "p".repeat(4000);
    let call_time = || {
        let start = Instant::now();
        post(address, CHAT, &body(&prompt, 1));
        start.elapsed()
    };
    let (cold, warm) = (call_time(), call_time());
    expect_that!(cold, ge(Duration::from_millis(300)));
    expect_that!(warm, lt(cold / 2));
    let events = get(address, "/cache-events?after=0");
    let events = events["events"].as_array().map_or(0, Vec::len);
    expect_that!(events as u64, eq(engine.counts().misses));
    let (status, exported) = post(address, "/kv/export", &json!({"request": "r"}));
    expect_that!(status, eq(200));
    let importer = FakeEngine::start(EngineSettings::default()).expect("engine starts");
    let (status, _) = post(importer.address(), "/kv/import", &exported);
    expect_that!(status, eq(200));
    post(importer.address(), CHAT, &body(&prompt, 1));
    expect_that!(importer.counts().misses, eq(0));
}

/// Guards against an order with a stale fencing number that is accepted while fencing is enabled.
#[gtest]
fn order_fencing() {
    for fencing in [true, false] {
        let settings = EngineSettings {
            fencing,
            ..EngineSettings::default()
        };
        let engine = FakeEngine::start(settings).expect("engine starts");
        let order = |fence: u64| {
            post(
                engine.address(),
                "/admin/orders",
                &json!({"fence": fence, "load": "m"}),
            )
            .0
        };
        expect_that!(order(5), eq(200));
        expect_that!(order(4), eq(if fencing { 409 } else { 200 }));
        expect_that!(get(engine.address(), "/load")["models"], eq(&json!(["m"])));
    }
}

/// Guards against a resumed answer that repeats or skips tokens, or that continues a text of
/// another answer.
#[gtest]
fn complete_resumed() {
    let engine = FakeEngine::start(EngineSettings::default()).expect("engine starts");
    let text = fake_engine::answer(&messages("a").to_string(), 2);
    let mut call = body("a", 1);
    call["stream"] = json!(true);
    for (resume, status) in [(text.as_str(), 200), ("other", 400)] {
        call["resume_text"] = json!(resume);
        let headers = [("x-resume-tokens", "2")];
        let reply = caller::call(engine.address(), "POST", CHAT, &headers, &call.to_string())
            .expect("the engine answers");
        expect_that!(reply.status, eq(status));
        if status == 200 {
            let whole = fake_engine::answer(&messages("a").to_string(), 4);
            expect_that!(format!("{text}{}", reply.stream_text()), eq(&whole));
        }
    }
}
