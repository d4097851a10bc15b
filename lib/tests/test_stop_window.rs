//! Tests of the decision whether a request is passed on while a process is stopping.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::stop_window::ResponseTime;
use fulmarford_lib::stop_window::StopWindow;
use googletest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn time(samples: &[u32]) -> ResponseTime {
    let mut time = ResponseTime::new(samples[0] * MS);
    for sample in &samples[1..] {
        time.add(*sample * MS);
    }
    time
}

/// Guards against a request that is passed on and cut at the end of the grace time, and against one that is refused
/// although there is time for it.
#[gtest]
fn allows_what_fits() {
    let signalled = Instant::now();
    let window = StopWindow {
        deregistered: signalled + 2_600 * MS,
        end: signalled + 7_600 * MS,
    };
    let short = time(&[30; 20]);
    let long = time(&[3_000; 20]);
    let varied = time(&[500, 3_000, 400, 2_800, 600, 3_100, 500]);
    let cases = [
        (100, None, true),
        (2_600, None, true),
        (2_700, None, false),
        (7_000, Some(&short), true),
        (7_580, Some(&short), false),
        (2_600, Some(&long), true),
        (4_000, Some(&long), true),
        (5_000, Some(&long), false),
        (2_000, Some(&varied), true),
        (3_000, Some(&varied), false),
        (1_000, Some(&time(&[7_000; 5])), false),
    ];
    for (after, time, is_allowed) in cases {
        let allowed = window.allows(signalled + after * MS, time);
        expect_that!(allowed, eq(is_allowed), "{after} ms, {time:?}");
    }
}

/// Guards against times out of range.
#[gtest]
fn response_time_bounded() {
    let mut time = ResponseTime::new(Duration::MAX);
    time.add(Duration::ZERO);
    expect_that!(time.usual(), le(Duration::from_secs(3_600)));
    expect_that!(
        ResponseTime::new(Duration::ZERO).usual(),
        eq(Duration::ZERO)
    );
}
