//! Replays arrivals at many instances whose news of the engines is old, against the choice of an engine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::affinity;
use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::dialect::ReportedLoad;
use fulmarford_lib::dialect::ResponseInfo;
use fulmarford_lib::fleet::CallId;
use fulmarford_lib::fleet::CallOutcome;
use fulmarford_lib::fleet::EndpointQuery;
use fulmarford_lib::fleet::Fleet;
use fulmarford_lib::ids::ServiceId;
use fulmarford_lib::pace::PaceSum;
use fulmarford_lib::service_load::LoadAggregator;
use fulmarford_lib::service_load::LoadSummary;
use fulmarford_lib::service_load::ServiceLoad;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const INSTANCES: usize = 78;
const ENGINES: usize = 60;
const SLOTS: u32 = 16;
/// Time that a request takes on an engine of speed 1 without noise, on average.
const WORK_MS: f64 = 1_000.0;
/// Work of one event of a stream.
const EVENT_MS: f64 = 33.0;
/// Share of the capacity that is used; noise takes another fifth.
const LOAD: f64 = 0.6;
/// Time until the speeds are learned and the measurement begins, and until it ends.
const MEASURED_MS: std::ops::Range<u64> = 5_000..12_000;
const NOISE: f64 = 2.5;
const NOISE_SHARE: f64 = 0.15;
const NOISE_MS: u64 = 600;

/// What a replay showed.
#[derive(Debug)]
struct Outcome {
    /// Time for which the slots of the busiest engine are in use, over the mean.
    busiest: f64,
    /// Mean over time of the requests at the fullest engine over the mean, by speed.
    peak: f64,
    /// Time in milliseconds for which 1 in 100 requests waited for a slot.
    p99_wait: u64,
    /// Number of requests sent to engines; there are no other calls.
    calls: usize,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    End(usize),
    Arrival,
    Report,
    News,
}

/// A request at an engine.
struct Sent {
    instance: usize,
    engine: usize,
    call: CallId,
    events: u32,
    took: u64,
}

fn engine_name(number: usize) -> String {
    format!("e{number}")
}

struct Engine {
    speed: f64,
    /// When each slot is free again.
    slots: BinaryHeap<Reverse<u64>>,
    requests: u32,
    running: u32,
    work: f64,
    noise_seed: u64,
}

impl Engine {
    fn noise(&self, at: u64) -> f64 {
        let draw = affinity::mix(self.noise_seed, at / NOISE_MS) as f64 / u64::MAX as f64;
        if draw < NOISE_SHARE { NOISE } else { 1.0 }
    }
}

fn listed_engine(service: &ServiceId, number: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: engine_name(number).as_str().into(),
        service: service.clone(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        zone: "z".into(),
        slots: SLOTS,
        leaving: false,
        reclaimable: false,
        cold: false,
    }
}

fn query(service: &ServiceId, tie_breaker: u64, events: Option<f64>) -> EndpointQuery<'_> {
    EndpointQuery {
        service,
        prompt: 100,
        parts: &[],
        excluded: &[],
        time_left: Duration::from_secs(60),
        total: ServiceLoad::default(),
        urgency: 2,
        is_started: false,
        draw: 0.0,
        tie_breaker,
        is_large_cluster: true,
        events,
    }
}

/// Replays arrivals; engines state their pace if `is_paced`, which selects the new decision.
fn replay(speeds: [f64; 3], news_age: u64, is_paced: bool) -> Outcome {
    let origin = Instant::now();
    let service = ServiceId::from("llm");
    let mut rng = StdRng::seed_from_u64(5);
    let listed = |number: usize| listed_engine(&service, number);
    let engine = |number: usize| Engine {
        speed: speeds[number % 3],
        slots: (0..SLOTS).map(|_| Reverse(0)).collect(),
        requests: 0,
        running: 0,
        work: 0.0,
        noise_seed: number as u64,
    };
    let mut engines: Vec<_> = (0..ENGINES).map(engine).collect();
    let mut fleets: Vec<_> = (0..INSTANCES).map(|_| Fleet::new("z".into())).collect();
    for fleet in &mut fleets {
        fleet.update_list(origin, (0..ENGINES).map(listed).collect());
    }
    let capacity: f64 = engines
        .iter()
        .map(|e| e.speed * f64::from(SLOTS) / WORK_MS)
        .sum();
    let rate = capacity * LOAD / (1.0 + NOISE_SHARE * (NOISE - 1.0));
    let mut queue = BinaryHeap::from([Reverse((0, Event::Arrival)), Reverse((0, Event::Report))]);
    let mut sent = Vec::<Sent>::new();
    let mut news = Vec::<Arc<LoadSummary>>::new();
    let (mut waits, mut peaks) = (Vec::new(), Vec::new());
    while let Some(Reverse((time, event))) = queue.pop()
        && time < MEASURED_MS.end
    {
        let now = origin + Duration::from_millis(time);
        match event {
            Event::Report => {
                let mut sum = LoadAggregator::default();
                for (number, fleet) in fleets.iter_mut().enumerate() {
                    sum.set(
                        now,
                        &format!("i{number}").as_str().into(),
                        fleet.report_load(now),
                    );
                }
                news.push(Arc::new(sum.sum(now)));
                queue.push(Reverse((time + news_age, Event::News)));
                queue.push(Reverse((time + news_age, Event::Report)));
                let use_of = |e: &Engine| f64::from(e.requests) / e.speed;
                let mean = engines.iter().map(use_of).sum::<f64>() / ENGINES as f64;
                if MEASURED_MS.contains(&time) {
                    peaks.push(engines.iter().map(use_of).fold(0.0, f64::max) / mean);
                }
            }
            Event::News => {
                let total = news.remove(0);
                for fleet in &mut fleets {
                    fleet.apply_cluster_load(now, &total);
                }
            }
            Event::Arrival => {
                let wait = -rng.random_range(f64::EPSILON..1.0).ln() / rate;
                queue.push(Reverse((time + wait.round() as u64, Event::Arrival)));
                let instance = rng.random_range(0..INSTANCES);
                let query = query(&service, rng.random(), None);
                let fleet = &mut fleets[instance];
                let choice = fleet.choose(now, &query).expect("an engine");
                let call = fleet.start(now, &choice, &[]);
                let number: usize = choice.listed.id.as_str()[1..].parse().expect("a number");
                let engine = &mut engines[number];
                engine.requests += 1;
                let Reverse(free) = engine.slots.pop().expect("a slot");
                let start = free.max(time);
                let work = WORK_MS * rng.random_range(0.2..1.8);
                let took = (work / engine.speed * engine.noise(start)).round() as u64;
                engine.slots.push(Reverse(start + took));
                queue.push(Reverse((start, Event::Start(sent.len()))));
                sent.push(Sent {
                    instance,
                    engine: number,
                    call,
                    events: (work / EVENT_MS).round() as u32,
                    took,
                });
                if MEASURED_MS.contains(&time) {
                    waits.push(start - time);
                    engine.work += took as f64;
                }
            }
            Event::Start(index) => {
                let Sent {
                    instance,
                    engine: number,
                    call,
                    took,
                    ..
                } = sent[index];
                let engine = &mut engines[number];
                engine.running += 1;
                let info = ResponseInfo {
                    load: Some(ReportedLoad {
                        running: engine.running,
                        waiting: engine.requests - engine.running,
                        slots: SLOTS,
                    }),
                    pace: is_paced.then(|| (engine.noise(time) * 100.0) as u32),
                    ..ResponseInfo::default()
                };
                fleets[instance].record_response(now, call, &info, true);
                queue.push(Reverse((time + took, Event::End(index))));
            }
            Event::End(index) => {
                let Sent {
                    instance,
                    engine: number,
                    call,
                    events,
                    took,
                } = sent[index];
                let sample = PaceSum {
                    events,
                    time_ms: took as u32,
                };
                fleets[instance].record_stream(now, call, sample);
                fleets[instance].end(now, call, CallOutcome::Served);
                engines[number].requests -= 1;
                engines[number].running -= 1;
            }
        }
    }
    let shares = engines.iter().map(|e| e.work);
    let mean = shares.clone().sum::<f64>() / ENGINES as f64;
    waits.sort_unstable();
    Outcome {
        busiest: shares.fold(0.0, f64::max) / mean,
        peak: peaks.iter().sum::<f64>() / peaks.len() as f64,
        p99_wait: waits[waits.len() * 99 / 100],
        calls: waits.len(),
    }
}

/// Engines of 0.7, 0.7 and 1.7 times the usual speed, and news as old as polls through a leader bring it. What the
/// fullest engine holds and what a request waits must be less than with the decision for unpaced services, with no
/// call more.
#[gtest]
fn choose_unequal_engines_by_old_news() {
    let speeds = [0.7, 0.7, 1.7];
    let old = replay(speeds, 500, false);
    let new = replay(speeds, 500, true);
    expect_that!(new.peak, le(old.peak * 0.95));
    expect_that!(new.p99_wait as f64, le(old.p99_wait as f64 * 0.75));
    expect_that!(new.calls, eq(old.calls));
}

/// Measures the four cases of `docs/design/even-load.md`.
#[gtest]
#[ignore = "prints figures and checks nothing"]
fn measure_cases() {
    for speeds in [[1.0; 3], [0.7, 0.7, 1.7]] {
        for news_age in [100, 500] {
            for is_paced in [false, true] {
                let Outcome {
                    busiest,
                    peak,
                    p99_wait,
                    calls,
                } = replay(speeds, news_age, is_paced);
                println!(
                    "{speeds:?}, news of {news_age} ms, paced: {is_paced}: busiest {busiest:.2}, \
                     peak {peak:.2}, p99 of the wait {p99_wait} ms, {calls} calls"
                );
            }
        }
    }
}

/// Measures the time of a choice among 600 endpoints whose pace and load are known; run it with `--release`.
#[gtest]
#[ignore = "prints figures and checks nothing"]
fn measure_choice() {
    let service = ServiceId::from("llm");
    for is_paced in [false, true] {
        let now = Instant::now();
        let mut fleet = Fleet::new("z".into());
        let listed = |number: usize| listed_engine(&service, number);
        fleet.update_list(now, (0..600).map(listed).collect());
        let mut rng = StdRng::seed_from_u64(7);
        let mut choose = |fleet: &Fleet| {
            let query = query(&service, rng.random(), Some(30.0));
            fleet.choose(now, &query).expect("an engine")
        };
        for number in 0..6_000 {
            let choice = choose(&fleet);
            let call = fleet.start(now, &choice, &[]);
            let info = ResponseInfo {
                load: Some(ReportedLoad {
                    running: number % 16,
                    waiting: 0,
                    slots: SLOTS,
                }),
                pace: is_paced.then_some(100 + number % 3),
                ..ResponseInfo::default()
            };
            fleet.record_response(now, call, &info, true);
            let sample = PaceSum {
                events: 30,
                time_ms: 500 + number % 500,
            };
            fleet.record_stream(now, call, sample);
            if number % 100 > 0 {
                fleet.end(now, call, CallOutcome::Served);
            }
        }
        let news = Arc::new(fleet.report_load(now));
        fleet.apply_cluster_load(now, &news);
        let start = Instant::now();
        for _ in 0..20_000 {
            std::hint::black_box(choose(&fleet));
        }
        println!("paced: {is_paced}, {:?} a choice", start.elapsed() / 20_000);
    }
}
