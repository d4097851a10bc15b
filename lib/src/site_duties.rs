//! Exclusive calls to a platform that is reached through an adapter: usage reports.
//!
//! The pure steps run on the control thread of the leader, the calls on a thread of their own, so
//! that a silent platform delays no lease renewal.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use crossbeam::channel::unbounded;

use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::command::Command;
use crate::command::Reply;
use crate::command::UsageTerms;
use crate::control::Control;
use crate::control::SubmitError;
use crate::dialect::Dialect;
use crate::dialect::Holder;
use crate::ids::InstanceId;
use crate::ids::WorkspaceId;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::reporter;
use crate::reporter::Reporter;
use crate::usage::WindowReport;

/// Interval between two steps of the drivers.
const STEP: Duration = Duration::from_millis(250);

/// Time after which a command of the drivers is given up; they submit it again.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// What the duties need to start.
pub struct Config {
    /// Address of the platform interface.
    pub platform: SocketAddr,
    /// The platform's wire.
    pub dialect: Arc<dyn Dialect>,
    /// Access to the control thread.
    pub control: ClusterControl,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Length of usage windows.
    pub terms: UsageTerms,
}

/// Running duties.
#[derive(Debug)]
pub struct SiteDuties {
    stop: Sender<Instant>,
    thread: JoinHandle<()>,
}

impl SiteDuties {
    /// Starts the threads.
    pub fn start(config: Config) -> std::io::Result<Self> {
        let (stop, stopped) = bounded(1);
        let me = config.control.incarnation().clone();
        let (calls, queue) = unbounded::<reporter::Report>();
        let (done, results) = unbounded();
        let caller = ReportCaller {
            platform: Platform::new(config.platform, config.clock.clone()),
            dialect: config.dialect.clone(),
            instance: me.instance.clone(),
        };
        thread::Builder::new()
            .name("usage-reports".to_owned())
            .spawn(move || {
                for report in queue {
                    let result = caller.send(&report);
                    if done.send((report, result)).is_err() {
                        return;
                    }
                }
            })?;
        let runner = Runner {
            reporter: Arc::new(Mutex::new(Reporter::new(me))),
            calls,
            results,
            leases: Vec::new(),
            releases: Vec::new(),
            config,
        };
        let thread = thread::Builder::new()
            .name("duties".to_owned())
            .spawn(move || runner.run(&stopped))?;
        Ok(Self { stop, thread })
    }

    /// Waits for the call in flight, gives the lease up and ends, all within the limit.
    pub fn stop(self, limit: Duration) {
        if self.stop.send(Instant::now() + limit).is_err() || self.thread.join().is_err() {
            tracing::error!("the duties ended early");
        }
    }
}

/// Makes the calls of usage reports.
struct ReportCaller {
    platform: Platform,
    dialect: Arc<dyn Dialect>,
    instance: InstanceId,
}

impl ReportCaller {
    fn send(&self, report: &reporter::Report) -> Result<(), PlatformError> {
        let frozen: WindowReport = serde_json::from_slice(&report.bytes)
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let mut counts: BTreeMap<WorkspaceId, u64> = BTreeMap::new();
        for row in frozen.rows.iter().filter(|row| !row.late) {
            *counts.entry(row.workspace.clone()).or_default() += row.counts.requests;
        }
        let holder = Holder {
            instance: &self.instance,
            fence: report.guard.fence(),
        };
        let call = self.dialect.usage_call(holder, report.window, &counts);
        self.platform.exclusive(report.guard, &call).map(drop)
    }
}

type Answer = Receiver<Result<Reply, SubmitError>>;

struct Runner {
    config: Config,
    reporter: Arc<Mutex<Reporter>>,
    calls: Sender<reporter::Report>,
    results: Receiver<(reporter::Report, Result<(), PlatformError>)>,
    leases: Vec<(Instant, Answer)>,
    releases: Vec<Answer>,
}

impl Runner {
    fn run(mut self, stopped: &Receiver<Instant>) {
        loop {
            match stopped.recv_timeout(STEP) {
                Ok(deadline) => return self.finish(deadline),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.collect();
            if let Some(actions) = self.step() {
                self.carry_out(actions);
            }
        }
    }

    /// Steps the driver on the control thread, if this process leads.
    fn step(&self) -> Option<Vec<reporter::Action>> {
        let reporter = self.reporter.clone();
        let clock = self.config.clock.clone();
        let terms = self.config.terms;
        let actions = self.config.control.inspect(move |state| {
            if state.usage().terms() != terms {
                return vec![reporter::Action::Submit(Command::SetUsageTerms(terms))];
            }
            let mut reporter = reporter.lock().expect("reporter lock poisoned");
            reporter.step(clock.now(), clock.wall(), state)
        });
        // The channel is closed without a value where this process does not lead.
        actions.recv().ok()
    }

    fn collect(&mut self) {
        let mut reporter = self.reporter.lock().expect("reporter lock poisoned");
        let now = self.config.clock.now();
        for (report, result) in self.results.try_iter() {
            reporter.reported(now, &report, &result);
        }
        self.leases
            .retain(|(asked, answer)| match answer.try_recv() {
                Ok(Ok(reply)) => {
                    reporter.lease_reply(*asked, &reply);
                    false
                }
                Ok(Err(_)) => false,
                Err(error) => error.is_empty(),
            });
    }

    fn carry_out(&mut self, actions: Vec<reporter::Action>) {
        let control = &self.config.control;
        for action in actions {
            match action {
                reporter::Action::Lease { asked, command } => {
                    let answer = control.submit_later(command, SUBMIT_TIMEOUT);
                    self.leases.push((asked, answer));
                }
                reporter::Action::Submit(command) => {
                    let releases = matches!(command, Command::ReleaseLease { .. });
                    let answer = control.submit_later(command, SUBMIT_TIMEOUT);
                    if releases {
                        self.releases.push(answer);
                    }
                }
                reporter::Action::Report(report) => {
                    if self.calls.send(report).is_err() {
                        tracing::error!("the thread of usage reports has ended");
                    }
                }
                reporter::Action::Log(record) => tracing::info!(
                    kind = record.kind,
                    reason = record.reason,
                    window = %record.window,
                    fence = record.fence,
                    error = record.error,
                    "duty"
                ),
            }
        }
    }

    /// Gives the lease up in order: replies and calls first, then the release, then its reply.
    fn finish(mut self, deadline: Instant) {
        while !self.leases.is_empty() && Instant::now() < deadline {
            thread::sleep(STEP / 10);
            self.collect();
        }
        self.reporter.lock().expect("reporter lock poisoned").stop();
        while Instant::now() < deadline {
            self.collect();
            let (actions, stopped) = {
                let mut reporter = self.reporter.lock().expect("reporter lock poisoned");
                let clock = &self.config.clock;
                // A stopped driver looks at no state.
                let state = crate::state::State::default();
                let actions = reporter.step(clock.now(), clock.wall(), &state);
                (actions, reporter.is_stopped())
            };
            self.carry_out(actions);
            self.releases
                .retain(|answer| answer.try_recv().is_err_and(|error| error.is_empty()));
            if stopped && self.releases.is_empty() {
                return;
            }
            thread::sleep(STEP / 10);
        }
        tracing::warn!("did not give up the leases in time");
    }
}
