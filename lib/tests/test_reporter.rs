//! Tests of usage reporting from completed requests to accepted reports, with injected faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fulmarford_lib::clock::Clock;
use fulmarford_lib::clock::ManualClock;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::command::LeaseKind;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::UsageRow;
use fulmarford_lib::platform::PlatformError;
use fulmarford_lib::reporter::Action;
use fulmarford_lib::reporter::Report;
use fulmarford_lib::reporter::Reporter;
use fulmarford_lib::usage::UsageCounter;
use fulmarford_lib::usage::UsageSender;
use fulmarford_lib::usage::WindowReport;
use fulmarford_testutils::fake_platform::PlatformModel;
use fulmarford_testutils::harness::Harness;
use fulmarford_testutils::harness::incarnation;
use googletest::prelude::*;
use proptest::prelude::any;
use proptest::proptest;
use rand::Rng;

const STEP: Duration = Duration::from_millis(250);

fn row(workspace: &str, requests: u64) -> UsageRow {
    UsageRow {
        workspace: workspace.into(),
        class: "c".into(),
        requests,
        prompt: 10 * requests,
        output: 100 * requests,
    }
}

struct SimulatedInstance {
    counter: UsageCounter,
    sender: UsageSender,
    reporter: Reporter,
    /// Requests by workspace that were recorded and not yet applied, which a crash loses.
    unsent: BTreeMap<String, u64>,
    /// Sequence number of the last applied report.
    applied: u64,
    /// Number of steps for which the state machine stays unreachable.
    unreachable_steps: u32,
}

impl SimulatedInstance {
    fn new(me: &Incarnation) -> Self {
        Self {
            counter: UsageCounter::default(),
            sender: UsageSender::new(me.clone()),
            reporter: Reporter::new(me.clone()),
            unsent: BTreeMap::new(),
            applied: 0,
            unreachable_steps: 0,
        }
    }
}

/// Simulation of three instances, one state machine and one platform with random message loss.
struct Simulation {
    harness: Harness,
    platform: PlatformModel,
    instances: Vec<SimulatedInstance>,
    completed: BTreeMap<String, u64>,
    restarts: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let instance = |n| SimulatedInstance::new(&incarnation(n, 0));
        Self {
            harness: Harness::new(seed),
            platform: PlatformModel::new(Vec::new()),
            instances: (0..3).map(instance).collect(),
            completed: BTreeMap::new(),
            restarts: 0,
        }
    }

    fn step(&mut self) {
        self.harness.clock.advance(STEP);
        if self.harness.draw_fault(0.005) {
            self.harness.change_leader();
        }
        for n in 0..self.instances.len() {
            if self.harness.draw_fault(0.002) {
                self.crash(n);
            }
            self.complete_requests(n);
            self.send_usage(n);
            self.step_reporter(n);
        }
    }

    fn crash(&mut self, n: usize) {
        self.restarts += 1;
        let instance = SimulatedInstance::new(&incarnation(n, self.restarts));
        let lost = std::mem::replace(&mut self.instances[n], instance).unsent;
        for (workspace, requests) in lost {
            *self.completed.entry(workspace).or_default() -= requests;
        }
    }

    fn complete_requests(&mut self, n: usize) {
        if !self.harness.faults {
            return;
        }
        let workspace = format!("w{}", self.harness.rng.random_range(0..4));
        let requests = self.harness.rng.random_range(0..3);
        let instance = &mut self.instances[n];
        instance
            .counter
            .record(self.harness.clock.wall(), &row(&workspace, requests));
        *instance.unsent.entry(workspace.clone()).or_default() += requests;
        *self.completed.entry(workspace).or_default() += requests;
    }

    fn send_usage(&mut self, n: usize) {
        if self.harness.draw_fault(0.003) {
            self.instances[n].unreachable_steps = self.harness.rng.random_range(0..400);
        }
        if self.instances[n].unreachable_steps > 0 {
            self.instances[n].unreachable_steps -= 1;
            return;
        }
        let SimulatedInstance {
            counter, sender, ..
        } = &mut self.instances[n];
        let Some(report) = sender.next(self.harness.clock.now(), counter).cloned() else {
            return;
        };
        let before = self.harness.state.index();
        let reply = self.harness.submit(Command::AddUsage(report.clone()));
        let instance = &mut self.instances[n];
        if self.harness.state.index() > before && report.sequence > instance.applied {
            instance.applied = report.sequence;
            // An applied report survives a crash, even if its reply was lost.
            let applied = |r: &UsageRow| (r.workspace.to_string(), r.requests);
            for (workspace, requests) in report.rows.iter().map(applied) {
                let unsent = instance.unsent.entry(workspace).or_default();
                *unsent = unsent.saturating_sub(requests);
            }
        }
        if reply == Some(Reply::Done) {
            instance.sender.accepted(report.sequence);
        }
    }

    fn step_reporter(&mut self, n: usize) {
        let (now, wall) = self.harness.now();
        for action in self.instances[n]
            .reporter
            .step(now, wall, &self.harness.state)
        {
            match action {
                Action::Lease {
                    requested_at,
                    command,
                } => {
                    if let Some(reply) = self.harness.submit(command) {
                        self.instances[n]
                            .reporter
                            .handle_lease_reply(requested_at, &reply);
                    }
                }
                Action::Submit(command) => {
                    self.harness.submit(command);
                }
                Action::Report(report) => {
                    let result = self.call(&report);
                    self.instances[n]
                        .reporter
                        .handle_result(now, &report, &result);
                }
                Action::Log(record) => assert!(!record.reason.is_empty()),
            }
        }
    }

    fn call(&mut self, report: &Report) -> std::result::Result<(), PlatformError> {
        if self.harness.draw_fault(0.1) {
            return Err(PlatformError::Unreachable("refused".to_owned()));
        }
        let fence = report.guard.fence();
        let (status, message) = self.platform.report(report.window.0, fence, &report.bytes);
        assert_ne!(message, "the window has other figures");
        if self.harness.draw_fault(0.2) {
            return Err(PlatformError::Unknown("lost".to_owned()));
        }
        match status {
            200 => Ok(()),
            _ => Err(PlatformError::Refused { status, message }),
        }
    }

    fn reported(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for bytes in self.platform.usage().values() {
            let report: WindowReport = serde_json::from_slice(bytes).expect("valid JSON");
            for row in report.rows {
                let sum = sums.entry(row.workspace.to_string()).or_default();
                *sum += row.counts.requests;
            }
        }
        sums
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(64))]

    /// Guards against usage that is lost, counted twice, charged to another workspace or reported
    /// with different counts after lost messages, crashes, snapshot restores and changes of the lease
    /// holder.
    #[test]
    fn reports_match_completed_requests(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);
        (0..1_200).for_each(|_| simulation.step());
        simulation.harness.faults = false;
        (0..800).for_each(|_| simulation.step());
        let completed = simulation.completed.clone();
        proptest::prop_assert_eq!(simulation.reported(), completed);
        proptest::prop_assert_eq!(simulation.harness.state.usage().frozen().count(), 0);
    }
}

/// Guards against a driver that keeps reporting after it was stopped, or keeps its lease, so that the
/// next holder has to wait for the lease to expire.
#[gtest]
fn stop_releases_lease() {
    let mut simulation = Simulation::new(1);
    simulation.harness.faults = false;
    (0..8).for_each(|_| simulation.step());
    let holder = |s: &Simulation| s.harness.state.leases().holder(LeaseKind::Usage).cloned();
    expect_that!(holder(&simulation), some(eq(&incarnation(0, 0))));
    simulation.instances[0].reporter.stop();
    expect_that!(simulation.instances[0].reporter.is_stopped(), eq(false));
    (0..8).for_each(|_| simulation.step());
    expect_that!(simulation.instances[0].reporter.is_stopped(), eq(true));
    expect_that!(holder(&simulation), some(not(eq(&incarnation(0, 0)))));
}

/// Guards against counts that are lost when several threads record concurrently.
#[gtest]
fn record_from_many_threads() {
    let counter = Arc::new(UsageCounter::default());
    let clock = ManualClock::default();
    let wall = clock.wall();
    let threads: Vec<_> = (0..4)
        .map(|n| {
            let counter = counter.clone();
            thread::spawn(move || {
                (0..1_000).for_each(|_| counter.record(wall, &row(&format!("w{n}"), 1)));
            })
        })
        .collect();
    threads
        .into_iter()
        .for_each(|t| t.join().expect("no panic"));
    let mut sender = UsageSender::new(incarnation(1, 1));
    let report = sender
        .next(clock.now(), &counter)
        .expect("there are counts");
    expect_that!(
        report.rows.iter().map(|r| r.requests).sum::<u64>(),
        eq(4_000)
    );
    expect_that!(report.rows.len(), eq(4));
}

/// Guards against reports that are refused for ever after the state machine expired the sequence
/// number of the instance.
#[gtest]
fn refused_report_restarts_sequence() {
    let counter = UsageCounter::default();
    let clock = ManualClock::default();
    let mut sender = UsageSender::new(incarnation(1, 1));
    for _ in 0..3 {
        counter.record(clock.wall(), &row("w", 1));
        let sequence = sender.next(clock.now(), &counter).expect("counts").sequence;
        sender.accepted(sequence);
    }
    counter.record(clock.wall(), &row("w", 1));
    let sequence = sender.next(clock.now(), &counter).expect("counts").sequence;
    expect_that!(sequence, eq(4));
    sender.refused(sequence);
    expect_that!(sender.is_empty(), eq(true));
    counter.record(clock.wall(), &row("w", 1));
    expect_that!(
        sender.next(clock.now(), &counter).expect("counts").sequence,
        eq(1)
    );
}
