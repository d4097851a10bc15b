//! Tests of the metrics of requests.

use cadence::SpyMetricSink;
use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::metrics::Metrics;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::Faults;
use fulmarford_testutils::fixture::Fixture;
use fulmarford_testutils::fixture::KEY;
use fulmarford_testutils::fixture::chat_body;
use googletest::prelude::*;

/// Guards against metrics that omit a request or count a failed one as completed.
#[gtest]
fn counts_of_requests() {
    let (received, sink) = SpyMetricSink::new();
    let metrics = Metrics::new(sink);
    let fixture =
        Fixture::with_settings(1, EngineSettings::default(), Timeouts::default(), metrics);
    fixture.stream("a", 3);
    fixture.engines[0].set_faults(Faults {
        close_after: Some(2),
        ..Faults::default()
    });
    fixture.stream("b", 3);
    fixture.chat("fk-unknown", &chat_body("c", 1));
    fixture.chat(KEY, &serde_json::json!({"model": "x", "messages": []}));
    drop(fixture);
    let lines: Vec<_> = received
        .try_iter()
        .map(|line| String::from_utf8_lossy(&line).into_owned())
        .collect();
    let count = |prefix: &str| lines.iter().filter(|l| l.starts_with(prefix)).count();
    expect_that!(count("fulmarford.requests.offered:1|c|#class:c"), eq(2));
    expect_that!(count("fulmarford.requests.completed:1|c|#class:c"), eq(1));
    expect_that!(count("fulmarford.requests.attained:1|c|#class:c"), eq(1));
    expect_that!(count("fulmarford.requests.first:"), eq(2));
    expect_that!(count("fulmarford.tokens.wasted:2|c|#class:c"), eq(1));
    expect_that!(count("fulmarford.requests.refused:1|c|#code:1101"), eq(1));
    expect_that!(count("fulmarford.requests.refused:1|c|#code:1006"), eq(1));
}
