//! Tests of the arrival schedules and of the report.

use std::time::Duration;

use fulmarford_lib::arrivals;
use fulmarford_lib::arrivals::Burst;
use fulmarford_lib::arrivals::Plan;
use fulmarford_lib::deployment::Deployment;
use fulmarford_lib::report;
use fulmarford_lib::workload::Sample;
use googletest::prelude::*;

fn plan(seed: u64) -> Plan {
    Plan {
        rate: 100.0,
        duration: Duration::from_secs(20),
        bursts: Vec::new(),
        seed,
    }
}

/// Guards against comparisons of policies on different arrivals, from schedules that vary for a seed.
#[gtest]
fn schedule_same_seed() {
    for deployment in Deployment::all() {
        let first = format!("{:?}", arrivals::schedule(&deployment, &plan(7)));
        let second = format!("{:?}", arrivals::schedule(&deployment, &plan(7)));
        expect_that!(first == second, is_true());
    }
}

/// Guards against an arrival rate that differs from the requested one, with and without a burst.
#[gtest]
fn schedule_rate() {
    let [quito, _] = Deployment::all();
    let mut plan = plan(1);
    let count = arrivals::schedule(&quito, &plan).len();
    expect_that!(count, all!(gt(1_800), lt(2_200)));
    plan.bursts.push(Burst {
        class: "fitter".to_owned(),
        start: Duration::from_secs(5),
        length: Duration::from_secs(5),
        factor: 4.0,
    });
    let burst = arrivals::schedule(&quito, &plan)
        .iter()
        .filter(|p| p.class == "fitter" && p.at.as_secs() / 5 == 1)
        .count();
    expect_that!(burst, all!(gt(500), lt(700)));
}

/// Guards against incomplete answers that count as attained.
#[gtest]
fn summarise_broken_answer() {
    let [quito, _] = Deployment::all();
    let schedule = arrivals::schedule(&quito, &plan(3));
    let samples: Vec<_> = schedule
        .iter()
        .map(|p| Sample {
            number: p.number,
            is_complete: p.number % 2 == 0,
            first: Some(Duration::from_millis(1)),
            tokens: 1,
            ..Sample::default()
        })
        .collect();
    let report = report::summarise(&quito.view(), &schedule, &samples, Duration::from_secs(20));
    let attained: u64 = report.classes.iter().map(|c| c.attained).sum();
    let wasted: u64 = report.classes.iter().map(|c| c.wasted).sum();
    expect_that!(attained, eq(schedule.len().div_ceil(2) as u64));
    expect_that!(wasted, eq(schedule.len() as u64 / 2));
}

/// Guards against times that are clamped to the range of an empty histogram, which meet every target.
#[gtest]
fn summarise_times() {
    let [quito, _] = Deployment::all();
    let schedule = arrivals::schedule(&quito, &plan(3));
    let slow = Duration::from_millis(500);
    let samples: Vec<_> = schedule
        .iter()
        .map(|p| Sample {
            number: p.number,
            is_complete: true,
            first: Some(slow),
            gaps: vec![slow],
            total: slow,
            ..Sample::default()
        })
        .collect();
    let report = report::summarise(&quito.view(), &schedule, &samples, Duration::from_secs(20));
    let fitter = report.classes.iter().find(|c| c.class == "fitter");
    let fitter = fitter.expect("the class has arrivals");
    expect_that!(fitter.median, near(500.0, 1.0));
    expect_that!(fitter.attained, eq(0));
}
