//! Tests of the gateway's interface to callers: validation, responses and keys.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_testutils::caller;
use fulmarford_testutils::caller::Caller;
use fulmarford_testutils::fake_service;
use fulmarford_testutils::fixture::CHAT;
use fulmarford_testutils::fixture::Fixture;
use fulmarford_testutils::fixture::KEY;
use fulmarford_testutils::fixture::OTHER_KEY;
use fulmarford_testutils::fixture::chat_body;
use fulmarford_testutils::fixture::expected_answer;
use fulmarford_testutils::fixture::messages;
use fulmarford_testutils::fixture::post;
use fulmarford_testutils::fixture::wait_until;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

/// Guards against a streamed response that is truncated or changed.
#[gtest]
fn handle_streamed_answer() {
    let fixture = Fixture::new(1);
    let reply = fixture.stream("hello", 5);
    expect_that!(reply.status, eq(200));
    expect_that!(reply.stream_text(), eq(&expected_answer("hello", 5)));
    expect_that!(reply.events().last(), some(eq(&"[DONE]")));
    expect_that!(reply.header("content-type"), some(eq("text/event-stream")));
    expect_that!(reply.header("x-request-id"), some(anything()));
    expect_that!(fixture.usage("w"), eq((1, 5)));
}

/// Guards against a response without streaming that is truncated or changed.
#[gtest]
fn handle_plain_answer() {
    let fixture = Fixture::new(1);
    let body = json!({"model": "m", "max_tokens": 4, "messages": messages("a")});
    let reply = fixture.chat(KEY, &body);
    expect_that!(reply.status, eq(200));
    let value = reply.json();
    let text = value["choices"][0]["message"]["content"].as_str();
    expect_that!(text, some(eq(expected_answer("a", 4).as_str())));
    expect_that!(fixture.usage("w"), eq((1, 4)));
}

/// Guards against requests that are served without a valid key.
#[gtest]
fn handle_unknown_key() {
    let fixture = Fixture::new(1);
    let reply = fixture.chat("fk-unknown", &chat_body("a", 1));
    expect_that!(reply.status, eq(401));
    expect_that!(reply.code(), eq(1101));
    expect_that!(reply.execution(), eq("not run"));
    expect_that!(
        reply.json()["error"]["type"].as_str(),
        some(eq("authentication_error"))
    );
    expect_that!(fixture.engines[0].counts().calls, eq(0));
}

/// Guards against responses that reach another caller when many streams are open.
#[gtest]
fn handle_concurrent_streams_isolated() {
    let fixture = Arc::new(Fixture::new(3));
    let callers: Vec<_> = (0..120)
        .map(|i| {
            let fixture = fixture.clone();
            thread::spawn(move || {
                let prompt = format!("prompt {i}");
                let reply = fixture.stream(&prompt, 10 + i % 7);
                (reply.stream_text(), expected_answer(&prompt, 10 + i % 7))
            })
        })
        .collect();
    for caller in callers {
        let (streamed, expected) = caller.join().expect("caller ends");
        assert_that!(streamed, eq(&expected));
    }
    expect_that!(fixture.usage("w").0, eq(120));
}

/// Guards against credentials and caller identities that reach an endpoint or the log.
#[gtest]
fn handle_key_never_forwarded() {
    let fixture = Fixture::new(1);
    let headers = [
        ("cookie", "session=secret-cookie"),
        ("proxy-authorization", "Basic secret-proxy"),
        ("x-api-key", "secret-api-key"),
        ("x-forwarded-for", "203.0.113.9"),
        ("forwarded", "for=203.0.113.9"),
        ("x-real-ip", "203.0.113.9"),
        ("x-user", "203.0.113.9"),
        ("connection", "keep-alive, x-secret-hop"),
        ("x-secret-hop", "secret-hop"),
        ("te", "trailers"),
    ];
    let body = chat_body("a", 2).to_string();
    let reply = post(fixture.stack.address(), KEY, CHAT, &headers, &body);
    assert_that!(reply.status, eq(200));
    let status = post(fixture.stack.address(), KEY, "/status", &headers, "{}");
    assert_that!(status.status, eq(200));
    let mut seen = format!("{:?}", fixture.engines[0].requests());
    seen.push_str(&format!("{:?}", fixture.service.requests()));
    seen.push_str(&fixture.stack.log.text());
    for secret in [KEY, "secret-", "203.0.113.9", "authorization", "Bearer"] {
        expect_that!(seen, not(contains_substring(secret)));
    }
}

/// Guards against a priority that is set by the caller or not passed to the engine.
#[gtest]
fn handle_priority_of_class() {
    let fixture = Fixture::new(1);
    let mut body = chat_body("a", 1);
    body["priority"] = json!(0);
    body["resume_text"] = json!("forged");
    body["temperature"] = json!(0.25);
    let headers = [("x-fulmarford-class", "d")];
    let address = fixture.stack.address();
    let reply = post(address, KEY, CHAT, &headers, &body.to_string());
    assert_that!(reply.status, eq(200));
    let seen: Value = serde_json::from_str(&fixture.engines[0].requests()[0].body).expect("JSON");
    expect_that!(seen["priority"], eq(&json!(4)));
    expect_that!(seen["resume_text"], eq(&Value::Null));
    expect_that!(seen["temperature"], eq(&json!(0.25)));
}

/// Method, path, headers, body, and the expected status and code.
type BadInput<'a> = (
    &'a str,
    &'a str,
    &'a [(&'a str, &'a str)],
    &'a str,
    u16,
    u64,
);

/// Guards against invalid requests that reach an endpoint or are refused without a result code.
#[gtest]
fn handle_bad_input() {
    let fixture = Fixture::new(1);
    let address = fixture.stack.address();
    let deep = format!(
        "{{\"model\":\"m\",\"messages\":{}{}}}",
        "[".repeat(5000),
        "]".repeat(5000)
    );
    let large = "x".repeat(5 << 20);
    let huge_header = "h".repeat(40 << 10);
    let class = [("x-fulmarford-class", "nope")];
    let header = [("x-large", huge_header.as_str())];
    let good = chat_body("a", 1).to_string();
    let cases: [BadInput<'_>; 17] = [
        ("POST", CHAT, &[], "{", 400, 1001),
        ("POST", CHAT, &[], "[]", 400, 1001),
        ("POST", CHAT, &[], "{\"model\":\"m\"}", 400, 1001),
        (
            "POST",
            CHAT,
            &[],
            "{\"model\":7,\"messages\":[]}",
            400,
            1001,
        ),
        ("POST", CHAT, &[], &deep, 400, 1001),
        ("POST", CHAT, &[], &large, 413, 1002),
        (
            "POST",
            CHAT,
            &[],
            "{\"model\":\"x\",\"messages\":[]}",
            404,
            1006,
        ),
        ("POST", CHAT, &class, &good, 400, 1007),
        ("POST", CHAT, &header, &good, 400, 1001),
        ("GET", CHAT, &[], "", 405, 1004),
        ("DELETE", "/v1/models", &[], "", 405, 1004),
        ("GET", "/v1/models/x", &[], "", 404, 1006),
        ("GET", "/nothing", &[], "", 404, 1005),
        ("GET", "/orders", &[], "", 405, 1004),
        ("POST", "/status/../orders", &[], "", 400, 1001),
        ("POST", "/status/%2E%2e/orders", &[], "", 400, 1001),
        ("POST", "/status%2f..%2forders", &[], "", 400, 1001),
    ];
    for (method, path, headers, body, status, code) in cases {
        let bearer = format!("Bearer {KEY}");
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        let reply = caller::call(address, method, path, &all, body).expect("an answer");
        let what = format!("{method} {path} {}", &body[..body.len().min(40)]);
        expect_that!((reply.status, reply.code()), eq((status, code)), "{what}");
        expect_that!(reply.execution(), eq("not run"), "{what}");
    }
    expect_that!(fixture.engines[0].counts().calls, eq(0));
    expect_that!(fixture.service.requests().len(), eq(0));
}

/// Guards against malformed request heads that get no response or one without an error body.
#[gtest]
fn handle_malformed_head() {
    let fixture = Fixture::new(1);
    let oversized = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(200 << 10));
    let heads: [(&[u8], u16); 4] = [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n", 400),
        (oversized.as_bytes(), 431),
    ];
    for (head, status) in heads {
        let mut caller = Caller::connect(fixture.stack.address()).expect("connects");
        // The gateway may close the connection before it has read an oversized head.
        let _ = caller.write(head);
        let reply = caller.read_reply().expect("an answer");
        expect_that!((reply.status, reply.code()), eq((status, 1001)));
    }
}

/// Guards against a slow request body that occupies its connection indefinitely.
#[gtest]
fn handle_slow_body() {
    let fixture = Fixture::new(1);
    let mut caller = Caller::connect(fixture.stack.address()).expect("connects");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: g\r\nauthorization: Bearer {KEY}\r\ncontent-length: 100\r\n\r\n{{"
    );
    caller.write(head.as_bytes()).expect("sends");
    let start = Instant::now();
    let reply = caller.read_reply().expect("an answer");
    expect_that!((reply.status, reply.code()), eq((408, 1003)));
    expect_that!(start.elapsed(), lt(Duration::from_secs(13)));
    expect_that!(fixture.engines[0].counts().calls, eq(0));
}

/// Guards against a list of models that contains models the workspace may not use.
#[gtest]
fn handle_models() {
    let fixture = Fixture::new(1);
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let get = |path: &str, headers: &[(&str, &str)]| {
        caller::call(fixture.stack.address(), "GET", path, headers, "").expect("an answer")
    };
    let list = get("/v1/models", &headers).json();
    let ids: Option<Vec<_>> = list["data"]
        .as_array()
        .map(|d| d.iter().map(|m| m["id"].clone()).collect());
    expect_that!(ids, some(eq(&vec![json!("m"), json!("open")])));
    expect_that!(
        get("/v1/models/m", &headers).json()["object"],
        eq(&json!("model"))
    );
    let open = get("/v1/models", &[]).json();
    expect_that!(open["data"].as_array().map(Vec::len), some(eq(1)));
}

/// Guards against an open route that is refused, or charged to a workspace other than its owner.
#[gtest]
fn handle_open_route() {
    let fixture = Fixture::new(1);
    let mut body = chat_body("a", 3);
    body["model"] = json!("open");
    let address = fixture.stack.address();
    let reply = caller::call(address, "POST", CHAT, &[], &body.to_string()).expect("an answer");
    expect_that!(reply.status, eq(200));
    expect_that!(fixture.usage("w"), eq((1, 3)));
    let closed = chat_body("a", 3).to_string();
    let reply = caller::call(address, "POST", CHAT, &[], &closed).expect("an answer");
    expect_that!(reply.code(), eq(1101));
}

/// Guards against requests that are served under an expired view.
#[gtest]
fn handle_expired_view() {
    let fixture = Fixture::new(1);
    fixture.control.set_expired(true);
    let reply = fixture.stream("a", 1);
    expect_that!((reply.status, reply.code()), eq((503, 1402)));
    expect_that!(reply.execution(), eq("not run"));
    let ready = caller::call(fixture.stack.address(), "GET", "/ready", &[], "").expect("answer");
    expect_that!(ready.status, eq(503));
    fixture.control.set_expired(false);
    expect_that!(fixture.stream("a", 1).status, eq(200));
}

/// Guards against the truncation of an idempotent service's response that is too large to store.
#[gtest]
fn handle_large_service_answer() {
    let fixture = Fixture::new(1);
    fixture.service.set_faults(fake_service::Faults {
        size: 12 << 20,
        ..fake_service::Faults::default()
    });
    let reply = post(fixture.stack.address(), KEY, "/status", &[], "");
    expect_that!((reply.status, reply.body.len()), eq((200, 12 << 20)));
}

/// Guards against the refusal of null parameters, which client libraries send, and against a lost
/// usage event.
#[gtest]
fn handle_client_library_parameters() {
    let fixture = Fixture::new(1);
    let mut body = chat_body("a", 3);
    body["max_completion_tokens"] = Value::Null;
    body["n"] = Value::Null;
    body["stream_options"] = json!({"include_usage": true});
    let reply = fixture.chat(KEY, &body);
    expect_that!(reply.stream_text(), eq(&expected_answer("a", 3)));
    let events = reply.events();
    let usage: Value = serde_json::from_str(events[events.len() - 2]).expect("JSON");
    expect_that!(usage["usage"]["completion_tokens"], eq(&json!(3)));
    expect_that!(fixture.usage("w"), eq((1, 3)));
}

/// Guards against an error response of an endpoint that is hidden, retried or charged.
#[gtest]
fn handle_service_error() {
    let fixture = Fixture::new(1);
    fixture.service.set_faults(fake_service::Faults {
        status: Some(404),
        ..fake_service::Faults::default()
    });
    let reply = post(
        fixture.stack.address(),
        KEY,
        "/status",
        &[],
        "{\"id\":\"x\"}",
    );
    expect_that!(reply.status, eq(404));
    expect_that!(reply.json()["execution"], eq(&json!(1)));
    for _ in 0..2 {
        expect_that!(fixture.order("y", "{}").status, eq(404));
    }
    expect_that!(fixture.service.requests().len(), eq(2));
    expect_that!(fixture.usage("w"), eq((0, 0)));
}

/// Guards against a refusal by a limit that is not logged.
#[gtest]
fn decision_line_of_limit() {
    let fixture = Fixture::new(1);
    let mut first = fixture.send_chat(OTHER_KEY, &chat_body("a", 40));
    first.read_head().expect("head");
    fixture.chat(OTHER_KEY, &chat_body("b", 1));
    let lines = &fixture.stack.log;
    wait_until(Duration::from_secs(1), "decision line", || {
        lines.text().contains("\"code\":1203") && lines.text().contains("\"reason\":\"limit\"")
    });
}

/// Guards against a decision that is logged incompletely or not at all.
#[gtest]
fn decision_lines() {
    let fixture = Fixture::new(1);
    fixture.stream("a secret prompt", 2);
    let lines = &fixture.stack.log;
    wait_until(Duration::from_secs(1), "decision line", || {
        !lines.text().is_empty()
    });
    let line: Value = serde_json::from_str(lines.text().trim()).expect("one JSON line");
    expect_that!(line["workspace"], eq(&json!("w")));
    expect_that!(line["class"], eq(&json!("c")));
    expect_that!(line["choice"], eq(&json!("e0")));
    expect_that!(line["reason"], eq(&json!("round_robin")));
    expect_that!(lines.text(), not(contains_substring("secret prompt")));
}
