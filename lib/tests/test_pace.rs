//! Tests of the pace of engines.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::dialect::ResponseInfo;
use fulmarford_lib::fleet::CallOutcome;
use fulmarford_lib::fleet::Choice;
use fulmarford_lib::fleet::EndpointQuery;
use fulmarford_lib::fleet::Fleet;
use fulmarford_lib::fleet::SelectionError;
use fulmarford_lib::ids::RouteId;
use fulmarford_lib::ids::ServiceId;
use fulmarford_lib::pace::MAX_ENGINES_PER_REPORT;
use fulmarford_lib::pace::PaceKey;
use fulmarford_lib::pace::PaceReport;
use fulmarford_lib::pace::PaceSum;
use fulmarford_lib::pace::PaceTable;
use fulmarford_lib::pace::ResponseLengths;
use fulmarford_lib::pace::StatedPace;
use fulmarford_lib::pace::StreamTimer;
use fulmarford_lib::service_load::ServiceLoad;
use googletest::prelude::*;

fn key(number: u64) -> PaceKey {
    PaceKey::from(number << 32)
}

fn keys(count: u64) -> Vec<(ServiceId, Vec<PaceKey>)> {
    vec![("llm".into(), (0..count).map(key).collect())]
}

/// Each of 57 instances sees a stream of an engine every 10 s. All must learn the speeds of 112 engines from
/// their sums, and agree.
#[gtest]
fn apply_sums_of_instances() {
    let start = Instant::now();
    let event_ms = |engine: u64| [29.0, 29.0, 12.0][engine as usize % 3];
    let mut tables: Vec<_> = (0..57).map(|_| PaceTable::default()).collect();
    let mut total = PaceReport::default();
    for (number, table) in tables.iter_mut().enumerate() {
        table.record_stated(&"llm".into());
        for engine in (0..112).filter(|engine| (engine + number as u64).is_multiple_of(4)) {
            let sample = PaceSum {
                events: 30,
                time_ms: (30.0 * event_ms(engine)) as u32,
            };
            table.record(start, key(engine), sample);
        }
        total.add(&table.report(start));
    }
    let factors = tables.iter_mut().map(|table| {
        table.apply(&total, &keys(112));
        (0..112).map(|engine| table.factor(key(engine))).collect()
    });
    let factors: Vec<Vec<f64>> = factors.collect();
    expect_that!(factors, each(eq(&factors[0])));
    let ratio = factors[0][0] / factors[0][2];
    expect_that!(ratio, all![ge(2.0), le(2.5)]);
    let speeds: f64 = factors[0].iter().map(|factor| 1.0 / factor).sum();
    expect_that!(speeds / 112.0, near(1.0, 0.01));
}

/// An engine that turned slow, or was replaced under its name, must be known as such after some streams.
#[gtest]
fn report_forgets_with_time() {
    let start = Instant::now();
    let mut table = PaceTable::default();
    table.record_stated(&"llm".into());
    let quick = PaceSum {
        events: 1_000,
        time_ms: 10_000,
    };
    let slow = PaceSum {
        events: 300,
        time_ms: 15_000,
    };
    table.record(start, key(1), quick);
    let later = start + Duration::from_secs(60);
    table.record(later, key(1), slow);
    let sum = table.report(later).engines[&key(1)];
    expect_that!(sum.time_ms / sum.events, ge(40));
    table.forget(key(1));
    expect_that!(table.report(later).engines, is_empty());
}

/// Nothing may be reported of services whose endpoints state no pace, and nothing be assumed of their engines.
#[gtest]
fn report_unpaced_service() {
    let now = Instant::now();
    let mut table = PaceTable::default();
    table.record(
        now,
        key(1),
        PaceSum {
            events: 100,
            time_ms: 100,
        },
    );
    expect_that!(table.report(now), eq(&PaceReport::default()));
    expect_that!(table.is_paced(&"llm".into()), eq(false));
    expect_that!(table.factor(key(1)), eq(1.0));
}

/// Reports must stay bounded however many engines there are.
#[gtest]
fn truncate_bounded() {
    let sum = |n| PaceSum {
        events: n,
        time_ms: 3_000_000,
    };
    let mut report = PaceReport {
        services: ["llm".into()].into(),
        engines: (0..2_000)
            .map(|n| (key(u64::from(n) * 2_147_483), sum(n)))
            .collect(),
    };
    report.truncate();
    expect_that!(report.engines.len(), eq(MAX_ENGINES_PER_REPORT));
    expect_that!(
        report.engines.values().map(|sum| sum.events).min(),
        some(ge(2_000 - 256))
    );
    let bytes = postcard::to_allocvec(&report).expect("a report");
    expect_that!(bytes.len(), le(11 * MAX_ENGINES_PER_REPORT + 16));
    let empty = postcard::to_allocvec(&PaceReport::default()).expect("a report");
    expect_that!(empty.len(), eq(2));
}

/// A stated pace holds for some hundred milliseconds; an older one must not count.
#[gtest]
fn factor_fades() {
    let now = Instant::now();
    let stated = StatedPace::new(now, 250);
    let after = |ms| stated.factor(now + Duration::from_millis(ms));
    expect_that!(after(0), near(2.5, 0.001));
    expect_that!(after(300), near(1.75, 0.001));
    expect_that!(after(1_000), eq(1.0));
    expect_that!(StatedPace::new(now, u32::MAX).factor(now), le(5.0));
}

/// A caller that does not read must not make its engine look slow.
#[gtest]
fn sample_without_held_time() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut timer = StreamTimer::new(start);
    timer.arrive(start, 1);
    timer.hold(Duration::from_secs(3));
    timer.arrive(at(3_300), 11);
    // Bytes within an event end nothing.
    timer.arrive(at(9_000), 11);
    expect_that!(
        timer.sample(),
        eq(PaceSum {
            events: 10,
            time_ms: 300
        })
    );
}

/// Callers state more than they get; the usual share must be expected once it is known.
#[gtest]
fn expected_events_by_route() {
    let mut lengths = ResponseLengths::default();
    let route = RouteId::from("chat");
    for _ in 0..4 {
        lengths.record(&route, 400, 20);
    }
    expect_that!(lengths.expected_events(&route, 400), none());
    lengths.record(&route, 400, 20);
    expect_that!(lengths.expected_events(&route, 200), some(near(10.0, 0.01)));
    expect_that!(
        lengths.expected_events(&RouteId::from("other"), 200),
        none()
    );
}

/// A fleet of a slow, a usual and a quick engine, of which streams were seen if they state their pace.
struct Engines {
    fleet: Fleet,
    service: ServiceId,
    now: Instant,
}

impl Engines {
    fn new(is_paced: bool, events: u32) -> Self {
        let mut now = Instant::now();
        let service = ServiceId::from("llm");
        let mut fleet = Fleet::new("z".into());
        let listed = |name: &str| ListedEndpoint {
            id: name.into(),
            service: service.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "z".into(),
            slots: 16,
            leaving: false,
            reclaimable: false,
            cold: false,
        };
        fleet.update_list(now, ["slow", "usual", "quick"].map(listed).into());
        let mut engines = Self {
            fleet,
            service,
            now,
        };
        for number in 0..200_u32 {
            now += Duration::from_millis(5);
            engines.now = now;
            let choice = engines.choose(None, 60_000, u64::from(number));
            let choice = choice.expect("an engine");
            let call = engines.fleet.start(now, &choice, &[]);
            let info = ResponseInfo {
                pace: is_paced.then_some(100),
                ..ResponseInfo::default()
            };
            engines.fleet.record_response(now, call, &info, true);
            let event_ms = match choice.listed.id.as_str() {
                "slow" => 40,
                "usual" => 20,
                _ => 10,
            };
            let sample = PaceSum {
                events,
                time_ms: events * event_ms,
            };
            engines.fleet.record_stream(now, call, sample);
            engines.fleet.end(now, call, CallOutcome::Served);
        }
        let report = Arc::new(engines.fleet.report_load(now));
        engines.fleet.apply_cluster_load(now, &report);
        engines
    }

    fn choose(
        &self,
        events: Option<f64>,
        left_ms: u64,
        tie_breaker: u64,
    ) -> std::result::Result<Choice, SelectionError> {
        let query = EndpointQuery {
            service: &self.service,
            prompt: 100,
            parts: &[],
            excluded: &[],
            time_left: Duration::from_millis(left_ms),
            total: ServiceLoad::default(),
            urgency: 2,
            is_started: false,
            draw: 0.0,
            tie_breaker,
            is_large_cluster: true,
            events,
        };
        self.fleet.choose(self.now, &query)
    }

    /// Returns how many of 100 requests each engine gets.
    fn counts(&self, events: Option<f64>, left_ms: u64) -> [usize; 3] {
        let names = (0..100).map(|draw| {
            self.choose(events, left_ms, draw)
                .expect("an engine")
                .listed
                .id
        });
        let names: Vec<_> = names.collect();
        ["slow", "usual", "quick"].map(|name| names.iter().filter(|n| n.as_str() == name).count())
    }
}

/// A response that would end after its deadline on the slower engines must go to the quick one; a short one may
/// go anywhere.
#[gtest]
fn choose_by_expected_end() {
    let engines = Engines::new(true, 20);
    expect_that!(engines.counts(Some(300.0), 5_000), eq([0, 0, 100]));
    expect_that!(engines.counts(Some(300.0), 8_000)[0], eq(0));
    expect_that!(engines.counts(Some(5.0), 5_000)[1], gt(0));
}

/// What can end at no engine must be refused at once, but only by times that are certain.
#[gtest]
fn choose_refuses_what_cannot_end() {
    let certain = Engines::new(true, 20);
    let refused = err(matches_pattern!(SelectionError::Late { .. }));
    expect_that!(certain.choose(Some(1_000.0), 3_000, 1), refused);
    // Half of the expected time is in time, and lengths vary.
    expect_that!(certain.choose(Some(1_000.0), 7_000, 1), ok(anything()));
    let uncertain = Engines::new(true, 1);
    expect_that!(uncertain.choose(Some(1_000.0), 3_000, 1), ok(anything()));
}

/// Where no endpoint states its pace, the length of a response must change nothing.
#[gtest]
fn choose_unpaced_service_as_before() {
    let engines = Engines::new(false, 20);
    for draw in 0..100 {
        let choice = engines.choose(Some(1_000.0), 3_000, draw);
        expect_that!(choice, eq(&engines.choose(None, 3_000, draw)));
        expect_that!(choice.map(|choice| choice.pace), ok(none()));
    }
    expect_that!(engines.fleet.is_paced(&engines.service), eq(false));
}
