//! Measures memory usage and speed of the replicated state at the target size.

use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use criterion::Criterion;
use fulmarford_lib::command::*;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::intent::OUTCOME_RETENTION_MS;
use fulmarford_lib::order::CapacityPool;
use fulmarford_lib::rules;
use fulmarford_lib::scaler::ClassDemand;
use fulmarford_lib::scaler::Inputs;
use fulmarford_lib::scaler::PoolState;
use fulmarford_lib::scaler::Scaler;
use fulmarford_lib::scaler::ZoneScaler;
use fulmarford_lib::state::State;
use fulmarford_lib::usage::UsageCounter;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::Version;

const WORKSPACES: u64 = 20_000;
/// Time of the first command, in milliseconds after the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;

/// Returns the resident memory of this process in bytes, or 0 where it cannot be read.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}

struct StateBench {
    state: State,
    /// Log index of the last applied command.
    index: u64,
    /// Time of the next command, in milliseconds after the Unix epoch.
    now_ms: u64,
}

impl StateBench {
    fn apply(&mut self, command: Command) -> Reply {
        self.index += 1;
        let at = Timestamp(self.now_ms);
        self.state
            .apply(self.index, &StampedCommand { at, command })
    }

    /// Prints by how much `fill` grows the resident memory for each of the `count` records it adds.
    fn measure(&mut self, name: &str, count: u64, fill: impl FnOnce(&mut Self)) {
        let before = resident_bytes();
        fill(self);
        let growth = resident_bytes().saturating_sub(before);
        println!(
            "memory {name}: {} bytes each, {count} records",
            growth / count as usize
        );
    }
}

fn apply_command(version: u64, lines: impl Iterator<Item = String>) -> Command {
    let edit = |line: String| Edit::Set(rules::parse_line(&line).expect("the line is a rule"));
    Command::Apply(Change {
        id: format!("c{version}").into(),
        expected: Version(version),
        author: "bench".to_owned(),
        edits: lines.map(edit).collect(),
    })
}

fn begin_intent(n: u64) -> Command {
    Command::BeginIntent(IntentStart {
        key: IntentKey {
            workspace: format!("w{}", n % WORKSPACES).into(),
            key: format!("order-{n:032}"),
        },
        fingerprint: n,
        entry: Incarnation {
            instance: "entry-17".into(),
            number: 17,
        },
        attempt: RequestId(n),
    })
}

fn release_intent(n: u64) -> Command {
    let Command::BeginIntent(start) = begin_intent(n) else {
        unreachable!("begin_intent returned another command");
    };
    Command::ReleaseIntent(IntentRelease {
        key: start.key,
        entry: start.entry,
        attempt: start.attempt,
    })
}

fn usage_row(n: u64) -> UsageRow {
    UsageRow {
        workspace: format!("workspace-{n}").into(),
        class: "interactive".into(),
        requests: 1,
        prompt: 2,
        output: 3,
    }
}

fn add_usage(sequence: u64, rows: impl Iterator<Item = u64>) -> Command {
    Command::AddUsage(UsageReport {
        entry: Incarnation {
            instance: "entry-17".into(),
            number: 17,
        },
        sequence,
        window: Window(START_MS / 1_000),
        rows: rows.map(usage_row).collect(),
    })
}

fn fill_state() -> StateBench {
    let mut bench = StateBench {
        state: State::default(),
        index: 0,
        now_ms: START_MS,
    };
    // Records are measured before rules, because a change of the rules frees memory that later
    // records would reuse.
    bench.measure("open intent", 190_000, |bench| {
        (0..190_000).for_each(|n| drop(bench.apply(begin_intent(n))));
    });
    bench.measure("window row", 80_000, |bench| {
        for report in 0..40 {
            let rows = 2_000 * report..2_000 * (report + 1);
            bench.apply(add_usage(report + 1, rows));
        }
    });
    let workspaces =
        (0..WORKSPACES).map(|n| format!("workspace workspace-{n} weight=2 # operator"));
    let command = apply_command(0, workspaces);
    bench.measure("workspace", WORKSPACES, |bench| drop(bench.apply(command)));
    let keys = (0..WORKSPACES)
        .map(|n| format!("key key-{n} workspace=workspace-{n} hash={n:064x} # operator"));
    let command = apply_command(1, keys);
    bench.measure("key", WORKSPACES, |bench| drop(bench.apply(command)));
    bench
}

/// Measures a scaling plan for 10,000 endpoints in 17 zones.
fn bench_plan(criterion: &mut Criterion) {
    let state = |i: usize| PoolState {
        pool: CapacityPool {
            zone: format!("zone-{}", i / 2).into(),
            reclaimable: i % 2 == 1,
        },
        price: 1.0 + 0.01 * i as f64,
        limit: 2_000,
        ready: 300,
        starting: 0,
        ordered: 300,
    };
    let pools: Vec<_> = (0..34).map(state).collect();
    let class = |tier| ClassDemand {
        class: format!("c{tier}").into(),
        tier,
        target: Some(Duration::from_millis(730)),
        busy_slots: 16_000.0,
    };
    let demand: Vec<_> = (1..=5).map(class).collect();
    let inputs = Inputs {
        demand: &demand,
        pools: &pools,
        slots: 8,
    };
    let mut now = Instant::now();
    let mut scaler = ZoneScaler::default();
    criterion.bench_function("plan 10,000 endpoints in 17 zones", |b| {
        b.iter(|| {
            now += Duration::from_secs(5);
            scaler.plan(now, &inputs)
        });
    });
}

fn main() {
    let mut bench = fill_state();
    let bytes = bench.state.snapshot();
    println!("snapshot: {} bytes", bytes.len());
    let started = Instant::now();
    let restored = State::restore(&bytes).expect("the snapshot is valid");
    println!("restore: {:?}", started.elapsed());
    drop(restored);
    let mut criterion = Criterion::default().sample_size(10).configure_from_args();
    criterion.bench_function("snapshot", |b| b.iter(|| black_box(bench.state.snapshot())));
    let mut version = 2;
    criterion.bench_function("apply change of one rule", |b| {
        b.iter(|| {
            let line = format!("workspace workspace-1 weight={version} # operator");
            bench.apply(apply_command(version, std::iter::once(line)));
            version += 1;
        });
    });
    let mut next = 1_000_000;
    criterion.bench_function("begin and release intent", |b| {
        b.iter(|| {
            next += 1;
            bench.apply(begin_intent(next));
            bench.apply(release_intent(next))
        });
    });
    let mut sequence = 40;
    criterion.bench_function("add usage of 100 rows", |b| {
        b.iter(|| {
            sequence += 1;
            bench.apply(add_usage(sequence, 0..100))
        });
    });
    let counter = UsageCounter::default();
    let (wall, row) = (SystemTime::now(), usage_row(1));
    criterion.bench_function("record usage", |b| b.iter(|| counter.record(wall, &row)));
    bench_plan(&mut criterion);
    bench.now_ms += OUTCOME_RETENTION_MS;
    let before = Instant::now();
    bench.apply(Command::ClearSuspect { fingerprint: 1 });
    let count = bench.state.intents().len();
    println!("expire step with {count} intents: {:?}", before.elapsed());
}
