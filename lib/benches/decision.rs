//! Measures the time of a scheduling decision over 600 endpoints and 20,000 workspaces; the limit
//! is 20 µs.
//!
//! The arrival of a request and the end of another one are measured separately, each with the
//! dispatch that follows from it. The tick, which acts on all pools every 10 ms, is measured too.

// The macros of criterion generate functions without doc comments.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Write;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::policy::Action;
use fulmarford_lib::policy::Arrival;
use fulmarford_lib::policy::Completion;
use fulmarford_lib::policy::Ending;
use fulmarford_lib::policy::LoadReport;
use fulmarford_lib::policy::Policy;
use fulmarford_lib::scheduler::Scheduler;
use fulmarford_lib::scheduler::Settings;
use fulmarford_lib::view::View;
use fulmarford_testutils::virtual_run;

const ENDPOINTS: usize = 600;
const WORKSPACES: usize = 20_000;
const MODELS: usize = 8;

fn rules() -> String {
    let mut text = String::new();
    let mut line = |args: std::fmt::Arguments<'_>| writeln!(text, "{args}").expect("text grows");
    for tier in 1..=5 {
        line(format_args!(
            "class c{tier} tier={tier} first=60s idempotent=yes output=300 # bench"
        ));
        for model in 0..MODELS {
            line(format_args!(
                "route r{tier}m{model} workspace=* class=c{tier} model=m{model} endpoints=e* # bench"
            ));
        }
    }
    for n in 0..WORKSPACES {
        line(format_args!("workspace w{n} # bench"));
    }
    for n in 0..ENDPOINTS {
        line(format_args!(
            "endpoint e{n} address=127.0.0.1:{} zone=z{} models=m{},m{} slots=16 price=2/h # bench",
            10_000 + n,
            n % 17,
            n % MODELS,
            (n + 1) % MODELS,
        ));
    }
    text
}

struct Bench {
    policy: Scheduler,
    now: Instant,
    next_id: u64,
    running: VecDeque<RequestId>,
    actions: Vec<Action>,
}

impl Bench {
    fn new(view: Arc<View>) -> Self {
        let settings = Settings {
            instance: "entry".into(),
            zone: "z1".into(),
            zone_latencies: BTreeMap::new(),
            seed: 1,
        };
        let mut bench = Self {
            policy: Scheduler::new(settings, view),
            now: Instant::now(),
            next_id: 0,
            running: VecDeque::new(),
            actions: Vec::new(),
        };
        for n in 0..ENDPOINTS {
            let report = LoadReport {
                endpoint: format!("e{n}").into(),
                running: 0,
                waiting: 0,
                slots: 16,
                kv: 0.5,
                leaving: false,
                models: Vec::new(),
                sequence: 1,
            };
            bench.policy.report(bench.now, &report, &mut bench.actions);
        }
        bench
    }

    fn next_arrival(&mut self) -> Arrival {
        self.next_id += 1;
        let n = self.next_id;
        let tier = n % 5 + 1;
        let model = n as usize % MODELS;
        Arrival {
            id: RequestId(n),
            workspace: format!("w{}", n.wrapping_mul(7_919) as usize % WORKSPACES).into(),
            class: format!("c{tier}").into(),
            route: format!("r{tier}m{model}").into(),
            model: Some(format!("m{model}").into()),
            prompt: 500,
            limit: Some(1_000),
            prefixes: vec![n % 100, n % 1_000 + 1_000, n + 1_000_000],
            fingerprint: n,
            deadline: self.now + Duration::from_secs(60),
            excluded: Vec::new(),
            resumed: 0,
        }
    }

    fn submit(&mut self, arrival: Arrival) {
        self.now += Duration::from_micros(100);
        self.policy.submit(self.now, arrival, &mut self.actions);
        self.apply_actions();
    }

    fn complete(&mut self) {
        let Some(id) = self.running.pop_front() else {
            return;
        };
        let completion = Completion {
            ending: Ending::Finished,
            prompt: 500,
            output: 300,
            first: Some(Duration::from_millis(100)),
            total: Duration::from_secs(9),
        };
        self.policy
            .complete(self.now, id, &completion, &mut self.actions);
        self.apply_actions();
    }

    /// Records the requests that the policy started.
    fn apply_actions(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Start { request, .. } = action {
                self.running.push_back(request);
            }
        }
    }
}

fn bench_decisions(criterion: &mut Criterion) {
    let view = virtual_run::view(&rules());
    for (name, waiting) in [("free", 0), ("saturated", 2_000)] {
        let mut bench = Bench::new(view.clone());
        let busy = if waiting == 0 { 700 } else { usize::MAX };
        while bench.running.len() < busy
            && bench.policy.queued() <= waiting
            && bench.next_id < 40_000
        {
            let arrival = bench.next_arrival();
            bench.submit(arrival);
        }
        println!(
            "{name}: {} running, {} queued",
            bench.running.len(),
            bench.policy.queued()
        );
        for part in ["arrival", "end"] {
            criterion.bench_function(&format!("{part}_{name}"), |bencher| {
                bencher.iter_custom(|iterations| {
                    let mut times = [Duration::ZERO; 2];
                    for _ in 0..iterations {
                        let arrival = bench.next_arrival();
                        let start = Instant::now();
                        bench.submit(black_box(arrival));
                        let middle = Instant::now();
                        bench.complete();
                        times[0] += middle - start;
                        times[1] += middle.elapsed();
                    }
                    times[usize::from(part == "end")]
                });
            });
        }
        criterion.bench_function(&format!("tick_{name}"), |bencher| {
            bencher.iter(|| {
                // The time does not advance, so that the length of the queue stays the same.
                bench.policy.tick(bench.now, &mut bench.actions);
                bench.apply_actions();
            });
        });
        println!(
            "{name}: {} running, {} queued",
            bench.running.len(),
            bench.policy.queued()
        );
    }
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
