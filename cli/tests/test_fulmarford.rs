//! Tests of a single daemon process.

use std::io::Write as _;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use fulmarford_testutils::caller;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::FakeEngine;
use fulmarford_testutils::fixture::CHAT;
use fulmarford_testutils::fixture::KEY;
use fulmarford_testutils::fixture::chat_body;
use fulmarford_testutils::fixture::expected_answer;
use fulmarford_testutils::fixture::wait_until;
use fulmarford_testutils::ports;
use fulmarford_testutils::stack;
use googletest::prelude::*;

fn file(directory: &tempfile::TempDir, name: &str, text: &str) -> String {
    let path = directory.path().join(name);
    let mut file = std::fs::File::create(&path).expect("file is created");
    file.write_all(text.as_bytes()).expect("file is written");
    path.to_str().expect("path is text").to_owned()
}

fn terminate(child: &Child) {
    let status = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status();
    assert!(status.expect("kill runs").success());
}

/// Guards against a graceful shutdown that truncates a response.
#[gtest]
fn main_terminated_while_streaming() {
    let engine = FakeEngine::start(EngineSettings::default()).expect("engine starts");
    let directory = tempfile::tempdir().expect("directory is created");
    let rules = format!(
        "workspace w # test\n\
         key k workspace=w hash={} # test\n\
         class c tier=1 first=10s idempotent=yes # test\n\
         route r workspace=w class=c model=m endpoints=e # test\n\
         endpoint e address={} zone=z models=m # test\n",
        stack::key_hash(KEY),
        engine.address()
    );
    let listen = ports::free_address();
    let log = directory.path().join("decisions");
    let mut child = Command::new(env!("CARGO_BIN_EXE_fulmarford"))
        .args(["--rules", &file(&directory, "rules", &rules)])
        .args([
            "--key-secret-file",
            &file(&directory, "secret", stack::SECRET),
        ])
        .args(["--drain-timeout", "10"])
        .args(["--log", log.to_str().expect("path is text")])
        .env("FULMARFORD_LISTEN", listen.to_string())
        .spawn()
        .expect("the daemon starts");
    wait_until(Duration::from_secs(10), "readiness", || {
        caller::call(listen, "GET", "/ready", &[], "").is_ok_and(|r| r.status == 200)
    });
    let mut caller = caller::Caller::connect(listen).expect("connects");
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = chat_body("a", 100).to_string();
    caller.send("POST", CHAT, &headers, &body).expect("sends");
    let head = caller.read_head().expect("head");
    expect_that!(head.status, eq(200));
    terminate(&child);
    wait_until(Duration::from_secs(2), "draining", || {
        caller::call(listen, "GET", "/ready", &[], "").is_ok_and(|r| r.code() == 1401)
    });
    let reply = caller::Reply {
        body: caller.read_body().expect("the response is complete"),
        ..head
    };
    expect_that!(reply.stream_text(), eq(&expected_answer("a", 100)));
    let status = child.wait().expect("the daemon ends");
    expect_that!(status.success(), eq(true));
    let lines = std::fs::read_to_string(log).expect("decision log");
    expect_that!(lines.lines().count(), eq(1));
    expect_that!(lines, not(contains_substring(KEY)));
}
