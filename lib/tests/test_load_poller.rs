//! Tests of load polling.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::control::Control as _;
use fulmarford_lib::decision_log::DecisionLog;
use fulmarford_lib::gateway::Gateway;
use fulmarford_lib::gateway::Settings;
use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::key::KeySecret;
use fulmarford_lib::load_poller::LoadPoller;
use fulmarford_lib::metrics::Metrics;
use fulmarford_lib::policy::Action;
use fulmarford_lib::policy::Arrival;
use fulmarford_lib::policy::Completion;
use fulmarford_lib::policy::LoadReport;
use fulmarford_lib::policy::Policy;
use fulmarford_lib::view::View;
use fulmarford_testutils::fake_engine::Faults;
use fulmarford_testutils::fixture::Fixture;
use fulmarford_testutils::fixture::wait_until;
use googletest::prelude::*;

/// A policy that only records load reports.
struct RecordingPolicy(Arc<Mutex<Vec<LoadReport>>>);

impl Policy for RecordingPolicy {
    fn install(&mut self, _: Instant, _: Arc<View>) {}
    fn submit(&mut self, _: Instant, _: Arrival, _: &mut Vec<Action>) {}
    fn complete(&mut self, _: Instant, _: RequestId, _: &Completion, _: &mut Vec<Action>) {}
    fn cancel(&mut self, _: Instant, _: RequestId, _: &mut Vec<Action>) {}
    fn report(&mut self, _: Instant, report: &LoadReport, _: &mut Vec<Action>) {
        self.0.lock().expect("reports lock").push(report.clone());
    }
    fn tick(&mut self, _: Instant, _: &mut Vec<Action>) {}
    fn queued(&self) -> usize {
        0
    }
}

/// Guards against reports that do not reach the policy, and against silent, leaving or removed
/// endpoints that still count as reporting.
#[gtest]
fn poll_reports_and_states() {
    let fixture = Fixture::new(2);
    let view = fixture.control.view(Instant::now()).expect("fresh");
    let reports = Arc::new(Mutex::new(Vec::new()));
    let gateway = Gateway::start(Settings {
        control: fixture.control.clone(),
        policy: Box::new(RecordingPolicy(reports.clone())),
        view_version: view.version(),
        key_secret: KeySecret::new("s"),
        clock: Arc::new(SystemClock),
        first_request_id: 1,
        timeouts: Timeouts::default(),
        decision_log: DecisionLog::default(),
        metrics: Metrics::default(),
    })
    .expect("gateway starts");
    let poller = LoadPoller::start(&gateway).expect("poller starts");
    let in_state = |name: &str, state: &str| poller.state(&name.into()).as_deref() == Some(state);
    let limit = Duration::from_secs(3);
    wait_until(limit, "reports", || {
        in_state("e0", "reporting") && in_state("s1", "reporting")
    });
    fixture.engines[0].set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    fixture.engines[1].crash();
    wait_until(limit, "leaving", || in_state("e0", "leaving"));
    wait_until(limit, "silence", || in_state("e1", "silent"));
    fixture.engines[1].restart().expect("restarts");
    wait_until(limit, "return", || in_state("e1", "reporting"));
    fixture.remove("endpoint e1 address=127.0.0.1:1 zone=z models=m # t");
    wait_until(limit, "removal", || poller.state(&"e1".into()).is_none());
    let reports = reports.lock().expect("reports lock");
    let last = reports
        .iter()
        .rfind(|r| r.endpoint.as_str() == "e0")
        .expect("a report");
    expect_that!(last.leaving, eq(true));
    expect_that!(last.slots, eq(64));
    expect_that!(last.sequence, gt(1));
}
