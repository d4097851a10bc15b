//! Tests of `fulmarctl check`: exit codes, JSON and the comparison with another version.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

/// Runs `fulmarctl check` and returns its exit code and its output.
fn check(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarctl"))
        .arg("check")
        .args(arguments)
        .output()
        .expect("fulmarctl runs");
    let text = String::from_utf8(output.stdout).expect("output is text");
    (output.status.code(), text)
}

fn write(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("file is written");
    path.display().to_string()
}

/// Returns a document with a route that has an objective of 6,000 ms and this timeout.
fn document(timeout: u32) -> String {
    let text = include_str!("../../platform/tests/small_document.json");
    text.replace("7000", &timeout.to_string())
}

#[gtest]
fn check_exit_codes() {
    let directory = tempfile::tempdir().expect("directory");
    let clean = include_str!("../../examples/quito.rules");
    let warning = format!("{clean}class c tier=1 idempotent=yes # a\n");
    let error = format!("{warning}clas c # a\n");
    for (text, code) in [(clean, 0), (&warning, 1), (&error, 2)] {
        let file = write(directory.path(), "a.rules", text);
        expect_that!(check(&[&file]).0, some(eq(code)));
    }
    for (timeout, code) in [(6000, 0), (5999, 1), (0, 2)] {
        let file = write(directory.path(), "a.json", &document(timeout));
        expect_that!(check(&[&file, "--adapter", "platform"]).0, some(eq(code)));
    }
    expect_that!(check(&["/nonexistent/rules"]).0, some(eq(2)));
}

#[gtest]
fn check_json_lines() {
    let directory = tempfile::tempdir().expect("directory");
    let rules = write(
        directory.path(),
        "a.rules",
        "class c tier=1 idempotent=yes # a\nx\n",
    );
    let file = write(directory.path(), "a.json", &document(10));
    let rows = |arguments: &[&str]| -> Vec<Value> {
        let (_, text) = check(arguments);
        let rows = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON"));
        rows.collect()
    };
    let rows_of_rules = rows(&[&rules, "--json"]);
    expect_that!(rows_of_rules[0]["severity"], eq(&json!("warning")));
    expect_that!(rows_of_rules[0]["line"], eq(&json!(1)));
    expect_that!(rows_of_rules[1]["severity"], eq(&json!("error")));
    expect_that!(rows_of_rules[2], eq(&json!({"errors": 1, "warnings": 1})));
    let rows_of_document = rows(&[&file, "--json", "--adapter", "platform", "--against", &file]);
    expect_that!(
        rows_of_document[0]["field"],
        eq(&json!("routes[0].objective_ms"))
    );
    expect_that!(rows_of_document.len(), eq(2));
}

#[gtest]
fn check_against_file() {
    let directory = tempfile::tempdir().expect("directory");
    let old = include_str!("../../examples/quito.rules");
    let new = old.replace("limit norte requests=30/s", "limit norte requests=20/s");
    let old = write(directory.path(), "old.rules", old);
    let new = write(directory.path(), "new.rules", &new);
    let (code, text) = check(&[&new, "--against", &old]);
    expect_that!(code, some(eq(0)));
    expect_that!(text, contains_substring("limits: changed 1 (norte)"));
    expect_that!(
        check(&[&old, "--against", &old]).1,
        contains_substring("no differences")
    );
}

#[gtest]
fn check_against_document_in_force() {
    let directory = tempfile::tempdir().expect("directory");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound").to_string();
    let instance = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a head");
            head.push(byte[0]);
        }
        let body = document(7000);
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .expect("the response is sent");
        String::from_utf8(head).expect("a text")
    });
    let file = write(directory.path(), "a.json", &document(8000));
    let (code, text) = check(&[&file, "--adapter", "platform", "--address", &address]);
    let head = instance.join().expect("the instance ends");
    expect_that!(head, starts_with("GET "));
    expect_that!(code, some(eq(0)));
    expect_that!(text, contains_substring("routes: changed 1 (r)"));
}

/// Guards against a required flag that only the refusal names.
#[gtest]
fn apply_help_names_author() {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarctl"))
        .args(["apply", "--help"])
        .output()
        .expect("fulmarctl runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("output is text");
    let author = text.lines().find(|line| line.contains("--author"));
    expect_that!(author, some(contains_substring("required")));
}
