//! Tests of the order in which waiting requests start, and of refusals.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::line::portion::Kind;
use fulmarford_lib::line::queue::Entry;
use fulmarford_lib::line::queue::Flow;
use fulmarford_lib::line::queue::Line;
use fulmarford_lib::line::queue::MAX_WAITING;
use fulmarford_lib::line::queue::Ticket;
use fulmarford_lib::line::queue::Turn;
use googletest::prelude::*;

const KIND: Kind = Kind {
    urgency: 2,
    is_long: true,
};

/// Half of the load of one engine may start.
const PACED: Flow = Flow::Paced {
    rate: 0.5,
    arrivals: 1.0,
};

/// A request that takes 100 ms of an engine, is on time if it starts within 2 s and has 10 s.
fn entry(now: Instant, ticket: u64) -> Entry {
    Entry {
        ticket: Ticket(ticket),
        kind: KIND,
        workspace: 0,
        cost: 0.1,
        on_time: now + Duration::from_secs(2),
        latest: now + Duration::from_secs(10),
        size: 1_000,
    }
}

fn line(now: Instant) -> Line {
    let mut line = Line::default();
    line.set_flow(now, KIND, PACED);
    line
}

/// Returns the tickets of the requests that start within a time, in order.
fn starts(line: &mut Line, now: Instant, time: Duration) -> Vec<u64> {
    let steps = time.as_millis() as u64 / 10;
    let mut started = Vec::new();
    for step in 1..=steps {
        for (entry, turn) in line.pump(now + Duration::from_millis(step * 10)) {
            if turn == Turn::Start {
                started.push(entry.ticket.0);
            }
        }
    }
    started
}

#[gtest]
fn join_open_starts_at_once() {
    let now = Instant::now();
    let mut line = Line::default();
    line.set_flow(now, KIND, Flow::Open);
    expect_that!(line.join(now, entry(now, 1)), some(eq(Turn::Start)));
}

#[gtest]
fn pump_at_rate() {
    let now = Instant::now();
    let mut line = line(now);
    for ticket in 0..8 {
        line.join(now, entry(now, ticket));
    }
    // The first starts at once, the others one in 200 ms.
    expect_that!(starts(&mut line, now, Duration::from_secs(1)).len(), eq(5));
}

/// A burst of one workspace does not delay the callers of others.
#[gtest]
fn pump_workspaces_in_turn() {
    let now = Instant::now();
    let mut line = line(now);
    for ticket in 0..5 {
        line.join(now, entry(now, ticket));
    }
    let mut other = entry(now, 100);
    other.workspace = 1;
    line.join(now, other);
    let started = starts(&mut line, now, Duration::from_millis(500));
    expect_that!(started, contains(eq(&100)));
}

#[gtest]
fn pump_earliest_first() {
    let now = Instant::now();
    let mut line = line(now);
    line.join(now, entry(now, 0));
    line.join(now, entry(now, 1));
    let mut hurried = entry(now, 2);
    hurried.on_time = now + Duration::from_secs(1);
    line.join(now, hurried);
    let started = starts(&mut line, now, Duration::from_millis(250));
    expect_that!(started, elements_are![eq(&2)]);
}

/// What will not start in time is refused on arrival, with the time until it would.
#[gtest]
fn join_refuses_at_once() {
    let now = Instant::now();
    let mut line = line(now);
    let mut refused = Vec::new();
    for ticket in 0..40 {
        if let Some(Turn::Refuse { room }) = line.join(now, entry(now, ticket)) {
            refused.push((ticket, room));
        }
    }
    let (first, room) = *refused.first().expect("some are refused");
    expect_that!(first, gt(15));
    expect_that!(room, le(Duration::from_secs(2)));
    let mut later = entry(now + room, 100);
    let mut waiting = line;
    starts(&mut waiting, now, room);
    later.on_time = now;
    expect_that!(waiting.join(now + room, later), none());
}

/// Replays a burst of long prompts: nothing that was let into the line is refused later.
#[gtest]
fn pump_refuses_nothing_held() {
    let now = Instant::now();
    let mut line = line(now);
    let mut waiting = 0;
    for ms in (0..9_000).step_by(10) {
        let at = now + Duration::from_millis(ms);
        if ms % 100 == 0 {
            waiting += u32::from(line.join(at, entry(at, ms)).is_none());
        }
        for (entry, turn) in line.pump(at) {
            expect_that!(turn, eq(Turn::Start), "{entry:?}");
        }
    }
    expect_that!(waiting, gt(30));
}

/// Replays the same burst for both orders: more responses are on time than first come, first served, which
/// makes all late once the wait exceeds what callers accept.
#[gtest]
fn pump_keeps_some_on_time() {
    let now = Instant::now();
    let mut line = line(now);
    let mut on_time = 0;
    let mut first_come = 0;
    for ms in (0..9_000).step_by(10) {
        let at = now + Duration::from_millis(ms);
        if ms % 100 == 0 {
            let arrival = entry(at, ms);
            on_time += u32::from(line.join(at, arrival) == Some(Turn::Start));
            // Half of the arrivals start, so that the wait grows by half of the time.
            first_come += u32::from(at + Duration::from_millis(ms / 2) <= arrival.on_time);
        }
        let turns = line.pump(at);
        let started = turns.iter().filter(|(_, turn)| *turn == Turn::Start);
        on_time += started.filter(|(entry, _)| at <= entry.on_time).count() as u32;
    }
    expect_that!(on_time, ge(first_come * 4 / 5));
}

#[gtest]
fn leave_gives_place() {
    let now = Instant::now();
    let mut line = line(now);
    for ticket in 0..3 {
        line.join(now, entry(now, ticket));
    }
    line.leave(Ticket(1));
    let started = starts(&mut line, now, Duration::from_millis(250));
    expect_that!(started, elements_are![eq(&2)]);
}

/// Old sums, a stop or the lack of engines open the line: it holds nobody back without a reason.
#[gtest]
fn pump_opened() {
    let now = Instant::now();
    let mut line = line(now);
    for ticket in 0..5 {
        line.join(now, entry(now, ticket));
    }
    line.set_flow(now, KIND, Flow::Open);
    let started = line.pump(now).len();
    expect_that!((started, line.is_empty()), eq((4, true)));
}

/// A process that was suspended refuses those whose time has passed and starts the others.
#[gtest]
fn pump_after_suspension() {
    let now = Instant::now();
    let mut line = line(now);
    for ticket in 0..4 {
        line.join(now, entry(now, ticket));
    }
    let turns = line.pump(now + Duration::from_secs(20));
    expect_that!(
        turns
            .iter()
            .filter(|(_, turn)| *turn == Turn::Start)
            .count(),
        eq(0)
    );
    expect_that!(line.is_empty(), eq(true));
}

#[gtest]
fn join_no_rate() {
    let now = Instant::now();
    let mut line = line(now);
    line.set_flow(
        now,
        KIND,
        Flow::Paced {
            rate: 0.0,
            arrivals: 0.0,
        },
    );
    line.join(now, entry(now, 0));
    expect_that!(
        line.join(now, entry(now, 1)),
        some(matches_pattern!(Turn::Refuse { .. }))
    );
}

#[gtest]
fn join_bounded() {
    let now = Instant::now();
    let mut line = line(now);
    for ticket in 0..2 * MAX_WAITING as u64 {
        let mut small = entry(now, ticket);
        small.cost = 1e-6;
        line.join(now, small);
    }
    expect_that!(line.len(), le(MAX_WAITING));
}
