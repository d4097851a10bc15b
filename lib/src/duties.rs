//! Runs the drivers of endpoint orders and usage reports, which only the leader sends.
//!
//! The drivers are stepped on the control thread of an established leader, which owns the replicated
//! state. Their blocking calls run on one thread per driver, so an unresponsive platform or engine
//! does not delay lease renewals. A process that loses leadership starts no new calls: its leases
//! expire, and the next leader waits until they have.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use serde::Serialize;

use crate::call_thread::CallThread;
use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::command::Command;
use crate::command::LeaseKind;
use crate::command::Reply;
use crate::control::Control;
use crate::control::SubmitError;
use crate::decision_log::DecisionLog;
use crate::demand::Demand;
use crate::load_poller::LoadReports;
use crate::orders;
use crate::orders::OrderDriver;
use crate::placement::StoreLimit;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::reporter;
use crate::reporter::Reporter;
use crate::scaler::ZoneScaler;
use crate::state::State;
use crate::supervision;

/// Interval at which the drivers are stepped.
pub const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a submitted command; the drivers submit it again.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on loads from the weight store.
pub const WEIGHT_STORE_LIMIT: StoreLimit = StoreLimit {
    loads_per_minute: 6.0,
    burst: 2.0,
};

/// Configuration of [`Duties::start`].
pub struct Config {
    /// Address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Handle of the control thread.
    pub control: ClusterControl,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Log that the decision records are written to.
    pub log: DecisionLog,
    /// Load reports that this instance polls from the engines.
    pub reports: LoadReports,
}

/// Handle of the running drivers; if dropped without [`Duties::stop`], they end without releasing
/// their leases.
pub struct Duties {
    stop: Sender<Instant>,
    thread: JoinHandle<()>,
}

impl Duties {
    /// Starts the runner thread and a call thread per driver.
    pub fn start(config: Config) -> io::Result<Self> {
        let (stop, stop_signal) = bounded(1);
        let incarnation = config.control.incarnation().clone();
        let scaler = Box::<ZoneScaler>::default();
        let drivers = Drivers {
            orders: OrderDriver::new(incarnation.clone(), scaler, WEIGHT_STORE_LIMIT),
            reporter: Reporter::new(incarnation),
        };
        let client = || PlatformClient::new(config.platform, config.clock.clone());
        let (orders, reports) = (client(), client());
        let runner = Runner {
            drivers: Arc::new(Mutex::new(drivers)),
            orders: CallThread::start("orders", move |call| orders::run(&orders, call))?,
            reports: CallThread::start("usage-reports", move |call| reporter::run(&reports, call))?,
            pending_step: None,
            pending_leases: Vec::new(),
            pending_releases: Vec::new(),
            config,
        };
        let thread = thread::Builder::new()
            .name("duties".to_owned())
            .spawn(move || supervision::run_vital("duties", || runner.run(&stop_signal)))?;
        Ok(Self { stop, thread })
    }

    /// Waits for calls in flight, releases both leases and ends, all within `limit`.
    pub fn stop(self, limit: Duration) {
        let _ = self.stop.send(Instant::now() + limit);
        let _ = self.thread.join();
    }

    /// Ends without releasing the leases, as a crash does; for tests and measurements.
    pub fn halt(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

struct Drivers {
    orders: OrderDriver,
    reporter: Reporter,
}

/// Actions of both drivers from one step.
struct Actions {
    orders: Vec<orders::Action>,
    reports: Vec<reporter::Action>,
}

impl Drivers {
    fn step(&mut self, now: Instant, wall: SystemTime, state: &State, demand: &Demand) -> Actions {
        let inputs = orders::Inputs {
            state,
            demand: &demand.classes,
            slots: demand.slots,
            engines: &demand.engines,
            models: &demand.models,
        };
        Actions {
            orders: self.orders.step(now, wall, &inputs),
            reports: self.reporter.step(now, wall, state),
        }
    }

    fn handle_lease_reply(&mut self, kind: LeaseKind, requested_at: Instant, reply: &Reply) {
        match kind {
            LeaseKind::Orders => self.orders.handle_lease_reply(requested_at, reply),
            LeaseKind::Usage => self.reporter.handle_lease_reply(requested_at, reply),
        }
    }
}

type ReplyReceiver = Receiver<Result<Reply, SubmitError>>;

/// Lease request whose reply is outstanding.
struct PendingLease {
    kind: LeaseKind,
    requested_at: Instant,
    reply: ReplyReceiver,
}

struct Runner {
    config: Config,
    drivers: Arc<Mutex<Drivers>>,
    orders: CallThread<orders::Call, orders::CallResult>,
    reports: CallThread<reporter::Report, Result<(), PlatformError>>,
    /// Result of a step that the control thread has not run yet.
    pending_step: Option<Receiver<Actions>>,
    pending_leases: Vec<PendingLease>,
    pending_releases: Vec<ReplyReceiver>,
}

/// Decision record with its time.
#[derive(Serialize)]
struct TimedRecord<'a, T> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    time: u64,
    #[serde(flatten)]
    record: &'a T,
}

impl Runner {
    fn run(mut self, stop_signal: &Receiver<Instant>) {
        loop {
            match stop_signal.recv_timeout(STEP_INTERVAL) {
                Ok(deadline) => return self.shut_down(deadline),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.collect_results();
            self.step();
        }
    }

    /// Steps the drivers on the control thread if this process leads.
    ///
    /// A step that the control thread has not run yet stays pending, because its actions must not be
    /// lost.
    fn step(&mut self) {
        let pending = self
            .pending_step
            .take()
            .unwrap_or_else(|| self.start_step());
        match pending.recv_timeout(STEP_INTERVAL) {
            Ok(actions) => self.execute(actions),
            Err(RecvTimeoutError::Timeout) => self.pending_step = Some(pending),
            Err(RecvTimeoutError::Disconnected) => {}
        }
    }

    fn start_step(&self) -> Receiver<Actions> {
        let drivers = self.drivers.clone();
        let clock = self.config.clock.clone();
        let reports = self.config.reports.fresh(clock.now());
        self.config.control.inspect(move |state| {
            let mut drivers = drivers.lock().expect("drivers lock poisoned");
            let output = state.usage().output_tokens();
            let list = drivers.orders.list();
            let demand = Demand::new(state.view(), &reports, &output, list);
            drivers.step(clock.now(), clock.wall(), state, &demand)
        })
    }

    /// Passes call results and lease replies to the drivers.
    fn collect_results(&mut self) {
        let mut drivers = self.drivers.lock().expect("drivers lock poisoned");
        let now = self.config.clock.now();
        for (call, result) in self.orders.results() {
            drivers.orders.handle_result(now, &call, &result);
        }
        for (report, result) in self.reports.results() {
            drivers.reporter.handle_result(now, &report, &result);
        }
        self.pending_leases
            .retain(|pending| match pending.reply.try_recv() {
                Ok(Ok(reply)) => {
                    drivers.handle_lease_reply(pending.kind, pending.requested_at, &reply);
                    false
                }
                Ok(Err(_)) => false,
                Err(error) => error.is_empty(),
            });
    }

    fn execute(&mut self, actions: Actions) {
        for action in actions.orders {
            match action {
                orders::Action::Lease {
                    requested_at,
                    command,
                } => {
                    self.request_lease(LeaseKind::Orders, requested_at, command);
                }
                orders::Action::Submit(command) => self.submit(command),
                orders::Action::Call(call) => self.orders.send(call),
                orders::Action::Log(record) => self.log(&record),
            }
        }
        for action in actions.reports {
            match action {
                reporter::Action::Lease {
                    requested_at,
                    command,
                } => {
                    self.request_lease(LeaseKind::Usage, requested_at, command);
                }
                reporter::Action::Submit(command) => self.submit(command),
                reporter::Action::Report(report) => self.reports.send(report),
                reporter::Action::Log(record) => self.log(&record),
            }
        }
    }

    fn request_lease(&mut self, kind: LeaseKind, requested_at: Instant, command: Command) {
        let reply = self.config.control.start_submit(command, SUBMIT_TIMEOUT);
        self.pending_leases.push(PendingLease {
            kind,
            requested_at,
            reply,
        });
    }

    /// Submits a command, whose effect the replicated state shows.
    fn submit(&mut self, command: Command) {
        let is_release = matches!(command, Command::ReleaseLease { .. });
        let reply = self.config.control.start_submit(command, SUBMIT_TIMEOUT);
        if is_release {
            self.pending_releases.push(reply);
        }
    }

    fn log(&self, record: &impl Serialize) {
        let since_epoch = self
            .config
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        let time = since_epoch.unwrap_or_default().as_millis() as u64;
        self.config.log.write(&TimedRecord { time, record });
    }

    /// Shuts down in order: outstanding lease replies, calls in flight, lease releases, their replies.
    fn shut_down(mut self, deadline: Instant) {
        // A lease request that is applied after the release would acquire the lease again.
        while (self.pending_step.is_some() || !self.pending_leases.is_empty())
            && Instant::now() < deadline
        {
            if self.pending_step.is_some() {
                self.step();
            }
            thread::sleep(STEP_INTERVAL / 10);
            self.collect_results();
        }
        {
            let mut drivers = self.drivers.lock().expect("drivers lock poisoned");
            drivers.orders.stop();
            drivers.reporter.stop();
        }
        while Instant::now() < deadline {
            self.collect_results();
            let (actions, stopped) = self.step_stopped();
            self.execute(actions);
            self.pending_releases
                .retain(|reply| reply.try_recv().is_err_and(|error| error.is_empty()));
            if stopped && self.pending_releases.is_empty() {
                return;
            }
            thread::sleep(STEP_INTERVAL / 10);
        }
        tracing::warn!("leases were not released before the shutdown deadline");
    }

    /// Steps the stopped drivers, which read no state, and returns whether both have stopped.
    fn step_stopped(&self) -> (Actions, bool) {
        let mut drivers = self.drivers.lock().expect("drivers lock poisoned");
        let clock = &self.config.clock;
        let (now, wall) = (clock.now(), clock.wall());
        let actions = drivers.step(now, wall, &State::default(), &Demand::default());
        let stopped = drivers.orders.is_stopped() && drivers.reporter.is_stopped();
        (actions, stopped)
    }
}
