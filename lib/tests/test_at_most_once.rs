//! Tests of non-idempotent calls, which run at most once.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::metrics::Metrics;
use fulmarford_lib::rules;
use fulmarford_lib::view::Edit;
use fulmarford_testutils::caller::Caller;
use fulmarford_testutils::fake_service;
use fulmarford_testutils::fake_service::FakeService;
use fulmarford_testutils::fixture::Fixture;
use fulmarford_testutils::fixture::KEY;
use fulmarford_testutils::fixture::SHORT_TIMEOUTS;
use fulmarford_testutils::fixture::post;
use fulmarford_testutils::fixture::rule_text;
use fulmarford_testutils::fixture::wait_until;
use fulmarford_testutils::stack;
use fulmarford_testutils::stack::Stack;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

/// Guards against a non-idempotent call without the header that identifies a resend.
#[gtest]
fn run_without_key() {
    let fixture = Fixture::new(1);
    let reply = post(fixture.stack.address(), KEY, "/orders", &[], "{}");
    expect_that!((reply.status, reply.code()), eq((400, 1008)));
    expect_that!(fixture.service.requests().len(), eq(0));
}

/// Guards against a second execution when a call is sent again.
#[gtest]
fn run_resent() {
    let fixture = Fixture::new(1);
    let first = fixture.order("cut-1", "{\"blind\":1}");
    let again = fixture.order("cut-1", "{\"blind\":1}");
    expect_that!(first.status, eq(200));
    expect_that!(again.body, eq(&first.body));
    expect_that!(again.header("idempotent-replayed"), some(eq("true")));
    let other = fixture.order("cut-1", "{\"blind\":2}");
    expect_that!((other.status, other.code()), eq((422, 1009)));
    expect_that!(fixture.service.executions()["cut-1"], eq(1));
    expect_that!(fixture.usage("w").0, eq(1));
}

/// Guards against double execution when two gateways receive the same call at the same time.
#[gtest]
fn run_through_two_gateways() {
    let fixture = Fixture::new(1);
    fixture.service.set_faults(fake_service::Faults {
        delay_ms: 20,
        ..fake_service::Faults::default()
    });
    let second = Stack::start(&fixture.control, Timeouts::default(), Metrics::default());
    let addresses = [fixture.stack.address(), second.address()];
    let callers: Vec<_> = (0..40)
        .map(|i| {
            let address = addresses[i % 2];
            thread::spawn(move || {
                let id = format!("order-{}", i / 4);
                let headers = [("idempotency-key", id.as_str())];
                post(address, KEY, "/orders", &headers, "{}")
            })
        })
        .collect();
    let replies: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().expect("ends"))
        .collect();
    let executions = fixture.service.executions();
    expect_that!(executions.len(), eq(10));
    expect_that!(
        executions.values().all(|n| *n == 1),
        eq(true),
        "{executions:?}"
    );
    for reply in replies {
        expect_that!([200, 409].contains(&reply.status), eq(true), "{reply:?}");
    }
    expect_that!(fixture.usage("w").0, eq(10));
}

/// Guards against a call with an unknown outcome that is reported as not run, or is run again.
#[gtest]
fn run_outcome_unknown() {
    let faults = [
        fake_service::Faults {
            close_before: true,
            ..fake_service::Faults::default()
        },
        fake_service::Faults {
            close_after: true,
            ..fake_service::Faults::default()
        },
        fake_service::Faults {
            hang: true,
            ..fake_service::Faults::default()
        },
    ];
    for (i, fault) in faults.into_iter().enumerate() {
        let short = Timeouts {
            total: Duration::from_millis(500),
            ..SHORT_TIMEOUTS
        };
        let service = FakeService::start().expect("service starts");
        let text = rule_text(&[], &service).replace("complete=10s", "complete=100ms");
        let control = stack::control(&text);
        let stack = Stack::start(&control, short, Metrics::default());
        service.set_faults(fault);
        let id = format!("pay-{i}");
        let headers = [("idempotency-key", id.as_str())];
        let send = || post(stack.address(), KEY, "/orders", &headers, "{}");
        for _ in 0..2 {
            let reply = send();
            expect_that!((reply.status, reply.code()), eq((409, 1504)));
            expect_that!(reply.execution(), eq("unknown"));
            expect_that!(reply.header("x-should-retry"), some(eq("false")));
        }
        service.set_faults(fake_service::Faults::default());
        expect_that!(send().code(), eq(1504));
        expect_that!(service.requests().len(), eq(1));
        expect_that!(control.usage().len(), eq(0));
    }
}

/// Guards against a refused connection that is reported as unknown, or that blocks a resend.
#[gtest]
fn run_not_run() {
    let fixture = Fixture::new(1);
    fixture.service.crash();
    let reply = fixture.order("pay", "{}");
    expect_that!((reply.status, reply.code()), eq((503, 1302)));
    expect_that!(reply.execution(), eq("not run"));
    let service = FakeService::start().expect("service starts");
    let line = format!("endpoint s1 address={} zone=z # test", service.address());
    fixture.edit(&Edit::Set(rules::parse_line(&line).expect("rule")));
    expect_that!(fixture.order("pay", "{}").status, eq(200));
    expect_that!(service.executions()["pay"], eq(1));
}

/// Guards against an outcome that is lost because the caller disconnected before the response.
#[gtest]
fn run_caller_disconnects() {
    let fixture = Fixture::new(1);
    fixture.service.set_faults(fake_service::Faults {
        delay_ms: 200,
        ..fake_service::Faults::default()
    });
    let mut caller = Caller::connect(fixture.stack.address()).expect("connects");
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "late"),
    ];
    caller
        .send("POST", "/orders", &headers, "{}")
        .expect("sends");
    wait_until(Duration::from_secs(2), "execution", || {
        fixture.service.executions().contains_key("late")
    });
    drop(caller);
    expect_that!(fixture.order("late", "{}").code(), eq(1504));
    wait_until(Duration::from_secs(2), "outcome", || {
        fixture.order("late", "{}").status == 200
    });
    expect_that!(fixture.service.executions()["late"], eq(1));
}

/// Guards against a call whose response is too large to store and is truncated, or that runs again.
#[gtest]
fn run_large_answer() {
    let fixture = Fixture::new(1);
    for (id, size) in [("large", 100 << 10), ("huge", 10 << 20)] {
        fixture.service.set_faults(fake_service::Faults {
            size,
            ..fake_service::Faults::default()
        });
        let reply = fixture.order(id, "{}");
        expect_that!((reply.status, reply.body.len()), eq((200, size)));
        let again = fixture.order(id, "{}");
        expect_that!(
            (again.code(), again.execution().as_str()),
            eq((1505, "ran"))
        );
        expect_that!(fixture.service.executions()[id], eq(1));
    }
}

/// Guards against double execution, and against responses that misreport whether the call ran, while
/// a service fails at random and callers resend through two gateways.
#[gtest]
fn run_under_random_faults() {
    let short = Timeouts {
        total: Duration::from_millis(300),
        ..SHORT_TIMEOUTS
    };
    let service = FakeService::start().expect("service starts");
    let text = rule_text(&[], &service).replace("complete=10s", "complete=50ms");
    let control = stack::control(&text);
    let stacks = [(); 2].map(|()| Stack::start(&control, short, Metrics::default()));
    let addresses = [stacks[0].address(), stacks[1].address()];
    let stop = Arc::new(AtomicBool::new(false));
    let fault_injector = {
        let (service, stop) = (service.clone(), stop.clone());
        thread::spawn(move || {
            let mut rng = StdRng::seed_from_u64(11);
            while !stop.load(Ordering::Relaxed) {
                service.set_faults(fake_service::Faults {
                    delay_ms: rng.random_range(0..10),
                    close_before: rng.random_bool(0.2),
                    close_after: rng.random_bool(0.2),
                    hang: rng.random_bool(0.1),
                    status: rng.random_bool(0.1).then_some(503),
                    ..fake_service::Faults::default()
                });
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let service = service.clone();
            thread::spawn(move || {
                for call in 0..25 {
                    let id = format!("call-{caller}-{call}");
                    let headers = [("idempotency-key", id.as_str())];
                    for address in addresses {
                        let reply = post(address, KEY, "/orders", &headers, "{}");
                        let ran = service.executions().get(&id).copied().unwrap_or(0);
                        let stated = reply.execution();
                        match (reply.status, stated.as_str()) {
                            (_, "not run") => assert_eq!(ran, 0, "{}", reply.body),
                            (409, "unknown") => assert!(ran <= 1, "{}", reply.body),
                            (200 | 503, "") => assert_eq!(ran, 1, "{}", reply.body),
                            _ => panic!("unexpected response {reply:?}"),
                        }
                    }
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("caller ends");
    }
    stop.store(true, Ordering::Relaxed);
    fault_injector.join().expect("fault injector ends");
    let executions = service.executions();
    expect_that!(executions.values().all(|n| *n == 1), eq(true));
    expect_that!(executions.len(), gt(100));
}
