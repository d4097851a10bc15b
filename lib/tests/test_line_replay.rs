//! Replay of a load beyond capacity for the decisions of the line: engines of a zone are taken back while long
//! prompts come in a burst beside short urgent requests, at 78 instances that know sums half a second old.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::ServiceId;
use fulmarford_lib::line::demand::Demands;
use fulmarford_lib::line::demand::Work;
use fulmarford_lib::line::portion::Division;
use fulmarford_lib::line::portion::EngineCapacity;
use fulmarford_lib::line::portion::Kind;
use fulmarford_lib::line::portion::KindLoads;
use fulmarford_lib::line::portion::divide;
use fulmarford_lib::line::queue::Entry;
use fulmarford_lib::line::queue::Flow;
use fulmarford_lib::line::queue::Line;
use fulmarford_lib::line::queue::Ticket;
use fulmarford_lib::line::queue::Turn;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const ENGINE: EngineCapacity = EngineCapacity {
    rate: 64.2,
    slots: 32.0,
};
const URGENT: Kind = Kind {
    urgency: 0,
    is_long: false,
};
const BATCH: Kind = Kind {
    urgency: 2,
    is_long: true,
};
const INSTANCES: usize = 78;
const STEP: Duration = Duration::from_millis(20);

/// What became of the requests of a kind that arrived within a second.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    arrived: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    /// Time of engines that the started requests take.
    cost: f64,
}

/// Requests per second and work of a kind after this many seconds.
fn arrivals(second: f64) -> [(Kind, f64, Work); 2] {
    let burst = |from, to, factor| match (from..to).contains(&second) {
        true => factor,
        false => 1.0,
    };
    let work = |read, run| Work { read, run };
    [
        (URGENT, 251.0 * burst(8.5, 17.6, 2.2), work(1_340.0, 0.86)),
        (BATCH, 53.8 * burst(2.0, 11.0, 2.3), work(8_000.0, 1.62)),
    ]
}

fn engines(second: f64) -> usize {
    match second {
        s if (2.8..6.4).contains(&s) => 32,
        s if (9.1..12.7).contains(&s) => 20,
        _ => 60,
    }
}

/// Plays 30 s and returns the outcomes of the long prompts by the second of their arrival.
fn play(seed: u64) -> Vec<Outcome> {
    let service = ServiceId::from("llm");
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut instances: Vec<_> = (0..INSTANCES)
        .map(|_| (Demands::default(), Line::default()))
        .collect();
    let mut outcomes = vec![Outcome::default(); 30];
    let mut total = KindLoads::new();
    let mut tickets: BTreeMap<u64, (usize, Work)> = BTreeMap::new();
    let mut last = 0;
    for step in 0..30_000 / STEP.as_millis() as u32 {
        let now = start + STEP * step;
        let second = f64::from(step) * STEP.as_secs_f64();
        if step % 25 == 0 {
            total = KindLoads::new();
            for (demands, _) in &instances {
                for (kind, load) in demands.loads(now).remove(&service).unwrap_or_default() {
                    total.entry(kind).or_default().add(&load);
                }
            }
        }
        let division = divide(&total, engines(second), ENGINE);
        for (demands, line) in &mut instances {
            for (kind, rate, work) in arrivals(second) {
                let chance = rate * STEP.as_secs_f64() / INSTANCES as f64;
                if rng.random_range(0.0..1.0) >= chance {
                    continue;
                }
                demands.arrive(now, &service, kind, work);
                if kind == URGENT {
                    continue;
                }
                set_flow(demands, line, now, &service, &division);
                last += 1;
                let outcome = &mut outcomes[second as usize];
                outcome.arrived += 1;
                let entry = Entry {
                    ticket: Ticket(last),
                    kind,
                    workspace: 0,
                    cost: work.cost(ENGINE),
                    on_time: now + Duration::from_millis(2_370),
                    latest: now + Duration::from_millis(13_200),
                    size: 12_000,
                };
                match line.join(now, entry) {
                    Some(Turn::Start) => {
                        outcome.on_time += 1;
                        outcome.cost += entry.cost;
                    }
                    Some(Turn::Refuse { .. }) => outcome.refused += 1,
                    None => {
                        tickets.insert(last, (second as usize, work));
                    }
                }
            }
            set_flow(demands, line, now, &service, &division);
            for (entry, turn) in line.pump(now) {
                let (second, _) = tickets.remove(&entry.ticket.0).expect("it waits");
                let outcome = &mut outcomes[second];
                match turn {
                    Turn::Start if now <= entry.on_time => outcome.on_time += 1,
                    Turn::Start => outcome.late += 1,
                    Turn::Refuse { .. } => outcome.refused += 1,
                }
                outcome.cost += if turn == Turn::Start { entry.cost } else { 0.0 };
            }
            let mut waiting = Work::default();
            for _ in line.entries() {
                waiting.read += 8_000.0;
                waiting.run += 1.62;
            }
            demands.set_waiting(now, &service, BATCH, waiting);
        }
    }
    outcomes
}

fn set_flow(
    demands: &Demands,
    line: &mut Line,
    now: Instant,
    service: &ServiceId,
    division: &Division,
) {
    let portion = division.portion(BATCH);
    let (arrivals, all) = demands.own_load(now, service, BATCH);
    let flow = match portion < 1.0 {
        true => Flow::Paced {
            rate: portion * all.need(ENGINE),
            arrivals: arrivals.need(ENGINE),
        },
        false => Flow::Open,
    };
    line.set_flow(now, BATCH, flow);
}

/// Sent at once, all 124 requests per second of the burst would queue at engines with time for 60.
#[gtest]
fn replay_lost_zone() {
    for seed in 0..3 {
        let outcomes = play(seed);
        let sum = |seconds: std::ops::Range<usize>, value: fn(&Outcome) -> u32| -> u32 {
            outcomes[seconds].iter().map(value).sum()
        };
        // Before and after the burst, nothing is held back.
        expect_that!(sum(0..2, |o| o.late + o.refused), eq(0), "{outcomes:#?}");
        expect_that!(sum(20..28, |o| o.late + o.refused), eq(0), "{outcomes:#?}");
        // Most of the burst is served, though a part of it late.
        let arrived = sum(2..13, |o| o.arrived);
        expect_that!(sum(2..13, |o| o.on_time), ge(arrived / 4), "{outcomes:#?}");
        expect_that!(sum(2..13, |o| o.refused), le(arrived / 3), "{outcomes:#?}");
    }
}
