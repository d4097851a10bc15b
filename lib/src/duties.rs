//! Runs the drivers of endpoint orders and usage reports beside the control thread.
//!
//! The pure steps run on the control thread of an established leader, where the replicated state is.
//! The calls run on a thread for each driver, so that neither a silent platform nor a silent engine
//! delays a lease renewal. A process that no longer leads starts nothing new: its leases run out, and
//! its successor waits for that.

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
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::reporter;
use crate::reporter::Reporter;
use crate::scaler::ZoneScaler;
use crate::state::State;

/// Interval between two steps of the drivers.
pub const STEP: Duration = Duration::from_millis(100);

/// Time after which a command of the drivers is given up; they submit it again.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit of the weight store.
pub const STORE_LIMIT: StoreLimit = StoreLimit {
    loads_per_minute: 6.0,
    burst: 2.0,
};

/// What the duties need to start.
pub struct Config {
    /// Address of the platform interface.
    pub platform: SocketAddr,
    /// Access to the control thread.
    pub control: ClusterControl,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Takes the decision records.
    pub log: DecisionLog,
    /// Load reports of the own entry.
    pub reports: LoadReports,
}

/// Running duties. Dropped without [`Duties::stop`], they end without giving their leases up.
pub struct Duties {
    stop: Sender<Instant>,
    thread: JoinHandle<()>,
}

impl Duties {
    /// Starts the threads.
    pub fn start(config: Config) -> io::Result<Self> {
        let (stop, stopped) = bounded(1);
        let me = config.control.incarnation().clone();
        let scaler = Box::<ZoneScaler>::default();
        let drivers = Drivers {
            orders: OrderDriver::new(me.clone(), scaler, STORE_LIMIT),
            reporter: Reporter::new(me),
        };
        let client = || Platform::new(config.platform, config.clock.clone());
        let (orders, reports) = (client(), client());
        let runner = Runner {
            drivers: Arc::new(Mutex::new(drivers)),
            orders: CallThread::start("orders", move |call| orders::run(&orders, call))?,
            reports: CallThread::start("usage-reports", move |r| reporter::run(&reports, r))?,
            pending: None,
            leases: Vec::new(),
            releases: Vec::new(),
            config,
        };
        let thread = thread::Builder::new()
            .name("duties".to_owned())
            .spawn(move || runner.run(&stopped))?;
        Ok(Self { stop, thread })
    }

    /// Waits for calls in flight, gives both leases up and ends, all within the limit.
    pub fn stop(self, limit: Duration) {
        let _ = self.stop.send(Instant::now() + limit);
        let _ = self.thread.join();
    }

    /// Ends without giving the leases up, as a crash does, for tests and measurements.
    pub fn halt(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

struct Drivers {
    orders: OrderDriver,
    reporter: Reporter,
}

/// What both drivers ask for in one step.
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

    fn lease_reply(&mut self, kind: LeaseKind, asked: Instant, reply: &Reply) {
        match kind {
            LeaseKind::Orders => self.orders.lease_reply(asked, reply),
            LeaseKind::Usage => self.reporter.lease_reply(asked, reply),
        }
    }
}

type Answer = Receiver<Result<Reply, SubmitError>>;

/// A lease request without a reply.
struct Waiting {
    kind: LeaseKind,
    asked: Instant,
    answer: Answer,
}

struct Runner {
    config: Config,
    drivers: Arc<Mutex<Drivers>>,
    orders: CallThread<orders::Call, orders::CallResult>,
    reports: CallThread<reporter::Report, Result<(), PlatformError>>,
    /// A step that the control thread has not taken yet.
    pending: Option<Receiver<Actions>>,
    leases: Vec<Waiting>,
    releases: Vec<Answer>,
}

/// A decision record with its time.
#[derive(Serialize)]
struct Line<'a, T> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    time: u64,
    #[serde(flatten)]
    record: &'a T,
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
            self.step();
        }
    }

    /// Steps the drivers on the control thread, if this process leads.
    ///
    /// A step that the control thread has not taken yet stays pending, because what the drivers ask
    /// for in it may not be lost.
    fn step(&mut self) {
        let pending = self.pending.take().unwrap_or_else(|| self.start_step());
        match pending.recv_timeout(STEP) {
            Ok(actions) => self.carry_out(actions),
            Err(RecvTimeoutError::Timeout) => self.pending = Some(pending),
            Err(RecvTimeoutError::Disconnected) => {}
        }
    }

    fn start_step(&self) -> Receiver<Actions> {
        let drivers = self.drivers.clone();
        let clock = self.config.clock.clone();
        let reports = self.config.reports.fresh(clock.now());
        self.config.control.inspect(move |state| {
            let mut drivers = drivers.lock().expect("drivers lock poisoned");
            let output = state.usage().output();
            let list = drivers.orders.list();
            let demand = Demand::new(state.view(), &reports, &output, list);
            drivers.step(clock.now(), clock.wall(), state, &demand)
        })
    }

    /// Hands results and replies back to the drivers.
    fn collect(&mut self) {
        let mut drivers = self.drivers.lock().expect("drivers lock poisoned");
        let now = self.config.clock.now();
        for (call, result) in self.orders.results() {
            drivers.orders.called(now, &call, &result);
        }
        for (report, result) in self.reports.results() {
            drivers.reporter.reported(now, &report, &result);
        }
        self.leases
            .retain(|waiting| match waiting.answer.try_recv() {
                Ok(Ok(reply)) => {
                    drivers.lease_reply(waiting.kind, waiting.asked, &reply);
                    false
                }
                Ok(Err(_)) => false,
                Err(error) => error.is_empty(),
            });
    }

    fn carry_out(&mut self, actions: Actions) {
        for action in actions.orders {
            match action {
                orders::Action::Lease { asked, command } => {
                    self.ask(LeaseKind::Orders, asked, command);
                }
                orders::Action::Submit(command) => self.submit(command),
                orders::Action::Call(call) => self.orders.send(call),
                orders::Action::Log(record) => self.log(&record),
            }
        }
        for action in actions.reports {
            match action {
                reporter::Action::Lease { asked, command } => {
                    self.ask(LeaseKind::Usage, asked, command);
                }
                reporter::Action::Submit(command) => self.submit(command),
                reporter::Action::Report(report) => self.reports.send(report),
                reporter::Action::Log(record) => self.log(&record),
            }
        }
    }

    fn ask(&mut self, kind: LeaseKind, asked: Instant, command: Command) {
        let answer = self.config.control.submit_later(command, SUBMIT_TIMEOUT);
        self.leases.push(Waiting {
            kind,
            asked,
            answer,
        });
    }

    /// Submits a command; its effect is seen in the state.
    fn submit(&mut self, command: Command) {
        let releases = matches!(command, Command::ReleaseLease { .. });
        let answer = self.config.control.submit_later(command, SUBMIT_TIMEOUT);
        if releases {
            self.releases.push(answer);
        }
    }

    fn log(&self, record: &impl Serialize) {
        let since = self
            .config
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        let time = since.unwrap_or_default().as_millis() as u64;
        self.config.log.write(&Line { time, record });
    }

    /// Gives the leases up in order: replies and calls first, then the release, then its reply.
    fn finish(mut self, deadline: Instant) {
        // A request that is applied after the release would take the lease again.
        while (self.pending.is_some() || !self.leases.is_empty()) && Instant::now() < deadline {
            if self.pending.is_some() {
                self.step();
            }
            thread::sleep(STEP / 10);
            self.collect();
        }
        {
            let mut drivers = self.drivers.lock().expect("drivers lock poisoned");
            drivers.orders.stop();
            drivers.reporter.stop();
        }
        while Instant::now() < deadline {
            self.collect();
            let (actions, stopped) = self.last_step();
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

    /// Steps stopped drivers, which look at no state.
    fn last_step(&self) -> (Actions, bool) {
        let mut drivers = self.drivers.lock().expect("drivers lock poisoned");
        let clock = &self.config.clock;
        let (now, wall) = (clock.now(), clock.wall());
        let actions = drivers.step(now, wall, &State::default(), &Demand::default());
        let stopped = drivers.orders.is_stopped() && drivers.reporter.is_stopped();
        (actions, stopped)
    }
}
