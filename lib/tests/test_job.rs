//! Tests of requests whose endpoint, key or caller fails while they run.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::metrics::Metrics;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::FakeEngine;
use fulmarford_testutils::fake_engine::Faults;
use fulmarford_testutils::fake_service::FakeService;
use fulmarford_testutils::fixture::CHAT;
use fulmarford_testutils::fixture::Fixture;
use fulmarford_testutils::fixture::KEY;
use fulmarford_testutils::fixture::OTHER_KEY;
use fulmarford_testutils::fixture::SHORT_TIMEOUTS;
use fulmarford_testutils::fixture::chat_body;
use fulmarford_testutils::fixture::expected_answer;
use fulmarford_testutils::fixture::post;
use fulmarford_testutils::fixture::rule_text;
use fulmarford_testutils::fixture::wait_until;
use fulmarford_testutils::stack;
use fulmarford_testutils::stack::Stack;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

/// Guards against a stream that continues after its key is revoked, even if the endpoint is silent.
#[gtest]
fn run_key_withdrawn_in_silent_stream() {
    let fixture = Fixture::new(1);
    fixture.engines[0].set_faults(Faults {
        hang_after: Some(3),
        ..Faults::default()
    });
    let mut caller = fixture.send_chat(KEY, &chat_body("a", 50));
    assert_that!(caller.read_head().expect("head").status, eq(200));
    let mut text = String::new();
    while fixture.engines[0].counts().tokens < 2 {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(50));
    let start = Instant::now();
    fixture.remove("key k workspace=w hash=0000000000000000000000000000000000000000000000000000000000000000 # t");
    text.push_str(
        &caller
            .read_body()
            .expect("the stream ends without a transport error"),
    );
    expect_that!(start.elapsed(), lt(Duration::from_secs(1)));
    expect_that!(text, contains_substring("\"code\":1103"));
    expect_that!(text, not(contains_substring("[DONE]")));
    let engine = &fixture.engines[0];
    wait_until(Duration::from_secs(1), "cancellation", || {
        engine.counts().cancelled == 1
    });
    expect_that!(fixture.usage("w"), eq((0, 0)));
    expect_that!(fixture.control.admissions(), eq((1, 1)));
    expect_that!(fixture.chat(KEY, &chat_body("a", 1)).code(), eq(1101));
}

/// Guards against streams that continue after the view expired; open routes are not affected.
#[gtest]
fn run_view_expired_in_stream() {
    let fixture = Fixture::new(1);
    let mut keyed = fixture.send_chat(KEY, &chat_body("a", 100));
    let mut body = chat_body("b", 100);
    body["model"] = json!("open");
    let mut open = fixture.send_chat(OTHER_KEY, &body);
    expect_that!(keyed.read_head().expect("head").status, eq(200));
    expect_that!(open.read_head().expect("head").status, eq(200));
    let start = Instant::now();
    fixture.control.set_expired(true);
    expect_that!(
        keyed.read_body().expect("stream"),
        contains_substring("\"code\":1402")
    );
    expect_that!(start.elapsed(), lt(Duration::from_secs(1)));
    expect_that!(
        open.read_body().expect("stream"),
        ends_with("data: [DONE]\n\n")
    );
}

/// Guards against calls that keep running on an endpoint after their caller disconnected, at any stage.
#[gtest]
fn run_caller_disconnects() {
    let fixture = Fixture::new(1);
    let engine = &fixture.engines[0];
    let mut streaming = fixture.send_chat(KEY, &chat_body("a", 10_000));
    streaming.read_head().expect("head");
    drop(streaming);
    wait_until(Duration::from_secs(2), "cancellation of a stream", || {
        engine.counts().cancelled == 1
    });
    engine.set_faults(Faults {
        hang: true,
        ..Faults::default()
    });
    for (calls, stream) in [(2, true), (3, false)] {
        let mut body = chat_body("a", 5);
        body["stream"] = json!(stream);
        let caller = fixture.send_chat(KEY, &body);
        wait_until(Duration::from_secs(2), "call", || {
            engine.counts().calls == calls
        });
        drop(caller);
        wait_until(
            Duration::from_secs(2),
            "cancellation of a silent call",
            || engine.counts().cancelled == calls,
        );
    }
    wait_until(Duration::from_secs(2), "settlement", || {
        fixture.control.admissions() == (3, 3)
    });
    expect_that!(fixture.usage("w"), eq((0, 0)));
}

/// Guards against a failure before the first token that is reported although a retry is safe.
#[gtest]
fn run_retry_before_first_token() {
    let faults = [
        Faults {
            overload: true,
            ..Faults::default()
        },
        Faults {
            error: true,
            ..Faults::default()
        },
        Faults {
            close_early: true,
            ..Faults::default()
        },
        Faults {
            close_after: Some(0),
            ..Faults::default()
        },
        Faults {
            hang: true,
            ..Faults::default()
        },
        Faults {
            hang_after: Some(0),
            ..Faults::default()
        },
    ];
    for fault in faults {
        for stream in [true, false] {
            let fixture = Fixture::with_settings(
                2,
                EngineSettings::default(),
                SHORT_TIMEOUTS,
                Metrics::default(),
            );
            fixture.engines[0].set_faults(fault.clone());
            let mut body = chat_body("a", 5);
            body["stream"] = json!(stream);
            // Round robin starts at either engine, so two requests reach both.
            for _ in 0..2 {
                let reply = fixture.chat(KEY, &body);
                expect_that!(reply.status, eq(200), "{fault:?} {stream}");
                if stream {
                    expect_that!(
                        reply.stream_text(),
                        eq(&expected_answer("a", 5)),
                        "{fault:?}"
                    );
                }
            }
            expect_that!(fixture.usage("w"), eq((2, 10)), "{fault:?} {stream}");
            expect_that!(fixture.control.admissions(), eq((2, 2)));
        }
    }
}

/// Guards against requests that are lost because their engine crashed.
#[gtest]
fn run_retry_unreachable() {
    let fixture = Fixture::new(2);
    fixture.engines[0].crash();
    for _ in 0..4 {
        expect_that!(
            fixture.stream("a", 3).stream_text(),
            eq(&expected_answer("a", 3))
        );
    }
    fixture.engines[1].crash();
    let reply = fixture.stream("a", 3);
    expect_that!(
        (reply.code(), reply.execution().as_str()),
        eq((1302, "not run"))
    );
    expect_that!(fixture.usage("w"), eq((4, 12)));
}

/// Guards against repeated or missing tokens when an interrupted stream is resumed.
#[gtest]
fn run_resume_every_token() {
    for cut in [1, 2, 7, 19, 20] {
        for hang in [false, true] {
            let fixture = Fixture::with_settings(
                2,
                EngineSettings::default(),
                SHORT_TIMEOUTS,
                Metrics::default(),
            );
            let fault = Faults {
                close_after: (!hang).then_some(cut),
                hang_after: hang.then_some(cut),
                ..Faults::default()
            };
            fixture.engines[0].set_faults(fault);
            for _ in 0..2 {
                let reply = fixture.stream("resume me", 20);
                expect_that!(
                    reply.stream_text(),
                    eq(&expected_answer("resume me", 20)),
                    "cut {cut}"
                );
                expect_that!(reply.events().last(), some(eq(&"[DONE]")));
                let ids: std::collections::BTreeSet<_> = reply
                    .events()
                    .into_iter()
                    .filter_map(|e| serde_json::from_str::<Value>(e).ok())
                    .map(|e| e["id"].to_string())
                    .collect();
                expect_that!(ids.len(), eq(1));
            }
            expect_that!(fixture.usage("w"), eq((2, 40)));
        }
    }
}

/// Guards against streams that are lost or mixed up when many are resumed after an engine crash.
#[gtest]
fn run_resume_many_after_crash() {
    let fixture = Arc::new(Fixture::new(2));
    let callers: Vec<_> = (0..40)
        .map(|i| {
            let fixture = fixture.clone();
            thread::spawn(move || {
                let prompt = format!("p{i}");
                (
                    fixture.stream(&prompt, 60).stream_text(),
                    expected_answer(&prompt, 60),
                )
            })
        })
        .collect();
    wait_until(Duration::from_secs(5), "tokens", || {
        fixture.engines[0].counts().tokens > 200
    });
    fixture.engines[0].crash();
    for caller in callers {
        let (streamed, expected) = caller.join().expect("caller ends");
        expect_that!(streamed, eq(&expected));
    }
    expect_that!(fixture.usage("w"), eq((40, 2400)));
}

/// Guards against an incomplete stream that ends without an error.
#[gtest]
fn run_unresumable_stream() {
    let fixture = Fixture::with_settings(
        1,
        EngineSettings::default(),
        SHORT_TIMEOUTS,
        Metrics::default(),
    );
    fixture.engines[0].set_faults(Faults {
        close_after: Some(4),
        ..Faults::default()
    });
    let reply = fixture.stream("a", 10);
    expect_that!(reply.stream_text(), eq(&expected_answer("a", 4)));
    let last = reply.events().last().map(|e| (*e).to_owned());
    expect_that!(last, some(contains_substring("\"code\":1503")));
    expect_that!(fixture.usage("w"), eq((0, 0)));
    expect_that!(fixture.control.admissions(), eq((1, 1)));
}

/// Guards against a request that crashes one endpoint after another.
#[gtest]
fn run_quarantine() {
    let fixture = Fixture::new(4);
    for engine in &fixture.engines {
        engine.set_faults(Faults {
            crash_text: Some("poison".to_owned()),
            ..Faults::default()
        });
    }
    let reply = fixture.stream("poison", 3);
    expect_that!(reply.code(), eq(1304));
    let again = fixture.stream("poison", 3);
    expect_that!(
        (again.code(), again.execution().as_str()),
        eq((1304, "not run"))
    );
    let down = fixture.engines.iter().filter(|e| !e.is_up()).count();
    expect_that!(down, eq(2));
    expect_that!(fixture.stream("harmless", 3).status, eq(200));
}

/// Guards against a concurrency slot that is not released, or released twice.
#[gtest]
fn run_concurrency_limit() {
    let fixture = Fixture::new(1);
    let mut first = fixture.send_chat(OTHER_KEY, &chat_body("a", 40));
    first.read_head().expect("head");
    let refused = fixture.chat(OTHER_KEY, &chat_body("b", 1));
    expect_that!((refused.status, refused.code()), eq((429, 1203)));
    expect_that!(refused.header("retry-after"), some(eq("1")));
    expect_that!(refused.execution(), eq("not run"));
    first.read_body().expect("stream");
    wait_until(Duration::from_secs(1), "settlement", || {
        fixture.control.admissions() == (1, 1)
    });
    expect_that!(fixture.chat(OTHER_KEY, &chat_body("b", 1)).status, eq(200));
    expect_that!(fixture.usage("v").0, eq(2));
}

/// Guards against an endless wait in the queue, and against queued requests of callers that disconnected.
#[gtest]
fn run_queue() {
    let service = FakeService::start().expect("service starts");
    let engine = FakeEngine::start(EngineSettings::default()).expect("engine starts");
    let text = rule_text(std::slice::from_ref(&engine), &service)
        .replace("slots=512", "slots=1")
        .replace("tier=4 first=10s", "tier=4 first=200ms");
    let control = stack::control(&text);
    let stack = Stack::start(&control, Timeouts::default(), Metrics::default());
    let fixture = Fixture {
        engines: vec![engine],
        service,
        control,
        stack,
    };
    let mut first = fixture.send_chat(KEY, &chat_body("a", 150));
    first.read_head().expect("head");
    let abandoned = fixture.send_chat(KEY, &chat_body("b", 5));
    let waiting = fixture.send_chat(KEY, &chat_body("c", 5));
    let dispatcher = fixture.stack.gateway.dispatcher();
    wait_until(Duration::from_secs(1), "two queued requests", || {
        dispatcher.queued() == 2
    });
    drop(abandoned);
    wait_until(Duration::from_secs(1), "dequeueing", || {
        dispatcher.queued() == 1
    });
    let headers = [("x-fulmarford-class", "d")];
    let body = chat_body("d", 5).to_string();
    let start = Instant::now();
    let late = post(fixture.stack.address(), KEY, CHAT, &headers, &body);
    expect_that!((late.status, late.code()), eq((503, 1303)));
    expect_that!(late.execution(), eq("not run"));
    expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
    drop(first);
    let mut waiting = waiting;
    expect_that!(
        waiting.read_reply().expect("reply").stream_text(),
        eq(&expected_answer("c", 5))
    );
    expect_that!(fixture.engines[0].counts().calls, eq(2));
}

/// Guards against a second end of a stream that is interrupted after its last token.
#[gtest]
fn run_cut_before_last_event() {
    let fixture = Fixture::new(2);
    for engine in &fixture.engines {
        engine.set_faults(Faults {
            close_before_done: true,
            ..Faults::default()
        });
    }
    let reply = fixture.stream("a", 5);
    expect_that!(reply.stream_text(), eq(&expected_answer("a", 5)));
    expect_that!(reply.events().last(), some(eq(&"[DONE]")));
    let ends = reply.body.matches("\"finish_reason\":\"stop\"").count();
    expect_that!(ends, eq(1));
    expect_that!(fixture.usage("w"), eq((1, 5)));
    let calls = fixture.engines.iter().map(|e| e.counts().calls);
    expect_that!(calls.sum::<u64>(), eq(1));
}

/// Guards against requests that are quarantined because their connections were closed although the
/// endpoint did not crash.
#[gtest]
fn run_cut_connections_not_suspect() {
    let fixture = Fixture::with_settings(
        2,
        EngineSettings::default(),
        SHORT_TIMEOUTS,
        Metrics::default(),
    );
    for engine in &fixture.engines {
        engine.set_faults(Faults {
            close_early: true,
            ..Faults::default()
        });
    }
    expect_that!(fixture.stream("a", 3).code(), eq(1501));
    for engine in &fixture.engines {
        engine.set_faults(Faults::default());
    }
    expect_that!(
        fixture.stream("a", 3).stream_text(),
        eq(&expected_answer("a", 3))
    );
}

/// Guards against a call that keeps running after the key of a caller that stopped reading is revoked.
#[gtest]
fn run_key_withdrawn_while_caller_stalls() {
    let settings = EngineSettings {
        token_interval: Duration::ZERO,
        ..EngineSettings::default()
    };
    let fixture = Fixture::with_settings(1, settings, Timeouts::default(), Metrics::default());
    let engine = &fixture.engines[0];
    let _caller = fixture.send_chat(KEY, &chat_body("a", 10_000_000));
    let mut tokens = 0;
    wait_until(Duration::from_secs(20), "stall", || {
        let before = std::mem::replace(&mut tokens, engine.counts().tokens);
        thread::sleep(Duration::from_millis(100));
        before > 0 && before == tokens
    });
    fixture.remove(
        "key k workspace=w hash=0000000000000000000000000000000000000000000000000000000000000000 # t",
    );
    wait_until(Duration::from_secs(1), "cancellation", || {
        engine.counts().cancelled == 1
    });
}

/// Guards against responses that are mixed up, repeated, truncated without an error or charged wrongly
/// while engines fail at random.
#[gtest]
fn run_under_random_faults() {
    let fixture = Arc::new(Fixture::with_settings(
        4,
        EngineSettings::default(),
        SHORT_TIMEOUTS,
        Metrics::default(),
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let fault_injector = {
        let (fixture, stop) = (fixture.clone(), stop.clone());
        thread::spawn(move || {
            let mut rng = StdRng::seed_from_u64(7);
            while !stop.load(Ordering::Relaxed) {
                let engine = &fixture.engines[rng.random_range(0..4)];
                let fault = match rng.random_range(0..6) {
                    0 => Faults {
                        close_after: Some(rng.random_range(0..30)),
                        ..Faults::default()
                    },
                    1 => Faults {
                        hang_after: Some(rng.random_range(0..30)),
                        ..Faults::default()
                    },
                    2 => Faults {
                        overload: true,
                        ..Faults::default()
                    },
                    3 => Faults {
                        close_early: true,
                        ..Faults::default()
                    },
                    4 => Faults {
                        slow: 3.0,
                        ..Faults::default()
                    },
                    _ => Faults::default(),
                };
                engine.set_faults(fault);
                if rng.random_bool(0.1) {
                    engine.crash();
                    thread::sleep(Duration::from_millis(20));
                    engine.restart().expect("restarts");
                }
                thread::sleep(Duration::from_millis(20));
                engine.set_faults(Faults::default());
            }
        })
    };
    let callers: Vec<_> = (0..24)
        .map(|i| {
            let fixture = fixture.clone();
            thread::spawn(move || {
                let mut completed = 0;
                for round in 0..10 {
                    let prompt = format!("caller {i} round {round}");
                    let reply = fixture.stream(&prompt, 30);
                    let text = expected_answer(&prompt, 30);
                    if reply.events().last() == Some(&"[DONE]") {
                        assert_eq!(reply.stream_text(), text);
                        completed += 1;
                    } else if reply.status == 200 {
                        assert!(text.starts_with(&reply.stream_text()), "{}", reply.body);
                        assert!(reply.body.contains("\"code\":1"), "{}", reply.body);
                    } else {
                        assert!(reply.code() > 1000, "{}", reply.body);
                    }
                }
                completed
            })
        })
        .collect();
    let completed: u64 = callers
        .into_iter()
        .map(|c| c.join().expect("caller ends"))
        .sum();
    stop.store(true, Ordering::Relaxed);
    fault_injector.join().expect("fault injector ends");
    wait_until(Duration::from_secs(2), "settlement", || {
        let (admitted, settled) = fixture.control.admissions();
        admitted == settled
    });
    expect_that!(fixture.usage("w"), eq((completed, completed * 30)));
    // One of four engines is faulty at a time, so almost every request succeeds.
    expect_that!(completed, ge(220));
}
