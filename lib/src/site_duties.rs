//! Leader tasks that make exclusive calls to a platform behind an adapter: usage reports and orders.
//!
//! Steps without I/O run on the leader's control thread and calls on threads of their own, so that an
//! unresponsive platform delays no lease renewal.

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
use rand::Rng;

use crate::call_thread::CallThread;
use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::command::Command;
use crate::command::LeaseKind;
use crate::command::Reply;
use crate::command::UsageTerms;
use crate::control::Control;
use crate::control::SubmitError;
use crate::dialect::Dialect;
use crate::dialect::EndpointOrder;
use crate::dialect::FencedCaller;
use crate::dialect::ListedEndpoint;
use crate::discovery;
use crate::discovery::SkipLog;
use crate::endpoint_planner::EndpointPlanner;
use crate::ids::InstanceId;
use crate::ids::WorkspaceId;
use crate::lease::Guard;
use crate::lease::LeaseHolder;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::reporter;
use crate::reporter::Reporter;
use crate::route_table::RouteTable;
use crate::route_table::Service;
use crate::supervision;
use crate::usage::WindowReport;

/// Interval between two steps of the tasks.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between the starts of two reads of the endpoint list for orders.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a command to the control state; the tasks submit it again.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration of the leader tasks.
pub struct Config {
    /// Address of the platform interface.
    pub platform: SocketAddr,
    /// The platform's wire format.
    pub dialect: Arc<dyn Dialect>,
    /// Handle to the control thread.
    pub control: ClusterControl,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Length of usage windows.
    pub terms: UsageTerms,
    /// Whether usage is reported.
    pub reports: bool,
    /// Whether endpoints are ordered.
    pub orders: bool,
}

/// Handle to the running leader tasks.
#[derive(Debug)]
pub struct SiteDuties {
    stop: Sender<Instant>,
    thread: JoinHandle<()>,
}

impl SiteDuties {
    /// Starts the threads of the leader tasks.
    pub fn start(config: Config) -> std::io::Result<Self> {
        let (stop, stop_signal) = bounded(1);
        let incarnation = config.control.incarnation().clone();
        let caller = |name: &str| {
            let caller = ExclusiveCaller {
                platform: PlatformClient::new(config.platform, config.clock.clone()),
                dialect: config.dialect.clone(),
                instance: incarnation.instance.clone(),
            };
            CallThread::start(name, move |call| caller.send(call))
        };
        let epoch = rand::rng().random_range(1..u64::MAX);
        let runner = Runner {
            reporter: Arc::new(Mutex::new(Reporter::new(incarnation.clone()))),
            report_calls: caller("usage-reports")?,
            orderer: Orderer {
                holder: LeaseHolder::new(LeaseKind::Orders, incarnation.clone()),
                planner: EndpointPlanner::new(config.clock.now()),
                planner_fence: 0,
                pending_orders: 0,
                listed: None,
                list_reader: start_list_reader(&config, epoch)?,
                last_read: None,
                table: None,
            },
            order_calls: caller("orders")?,
            lease_replies: Vec::new(),
            release_replies: Vec::new(),
            config,
        };
        let thread = thread::Builder::new()
            .name("duties".to_owned())
            .spawn(move || supervision::run_vital("duties", || runner.run(&stop_signal)))?;
        Ok(Self { stop, thread })
    }

    /// Waits for calls in flight, releases the leases and ends the threads, all within `limit`.
    pub fn stop(self, limit: Duration) {
        if self.stop.send(Instant::now() + limit).is_err() || self.thread.join().is_err() {
            tracing::error!("the leader tasks ended before they were stopped");
        }
    }
}

/// A call that only the holder of a lease may make.
#[derive(Debug)]
enum ExclusiveCall {
    Report(reporter::Report),
    Order(EndpointOrder, Guard),
}

/// Sends exclusive calls to the platform.
struct ExclusiveCaller {
    platform: PlatformClient,
    dialect: Arc<dyn Dialect>,
    instance: InstanceId,
}

impl ExclusiveCaller {
    fn send(&self, call: &ExclusiveCall) -> Result<(), PlatformError> {
        let guard = match call {
            ExclusiveCall::Report(report) => report.guard,
            ExclusiveCall::Order(_, guard) => *guard,
        };
        let holder = FencedCaller {
            instance: &self.instance,
            fence: guard.fence(),
        };
        let call = match call {
            ExclusiveCall::Report(report) => {
                let counts = request_counts(&report.bytes)?;
                self.dialect.usage_call(holder, report.window, &counts)
            }
            ExclusiveCall::Order(order, _) => self.dialect.order_call(holder, order),
        };
        self.platform.exclusive(guard, &call).map(drop)
    }
}

/// Sums up the requests of a serialized report by workspace, without late rows, which no longer
/// belong to a window.
fn request_counts(report: &[u8]) -> Result<BTreeMap<WorkspaceId, u64>, PlatformError> {
    let report: WindowReport = serde_json::from_slice(report)
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    let mut counts = BTreeMap::new();
    for row in report.rows.iter().filter(|row| !row.late) {
        *counts.entry(row.workspace.clone()).or_default() += row.counts.requests;
    }
    Ok(counts)
}

/// State of the task that orders endpoints while this process holds the orders lease.
struct Orderer {
    holder: LeaseHolder,
    planner: EndpointPlanner,
    /// Fencing number of the lease under which the planner recorded its sent orders.
    planner_fence: u64,
    /// Number of orders without a result.
    pending_orders: usize,
    listed: Option<(Instant, Vec<ListedEndpoint>)>,
    /// Reads the endpoint list on its own thread, since a long list takes seconds.
    list_reader: CallThread<Instant, Result<Vec<ListedEndpoint>, String>>,
    /// When the last read started, and whether it has ended.
    last_read: Option<(Instant, bool)>,
    table: Option<(u64, Arc<RouteTable>)>,
}

type ExclusiveCalls = CallThread<ExclusiveCall, Result<(), PlatformError>>;

type PendingReply = Receiver<Result<Reply, SubmitError>>;

struct Runner {
    config: Config,
    reporter: Arc<Mutex<Reporter>>,
    report_calls: ExclusiveCalls,
    orderer: Orderer,
    order_calls: ExclusiveCalls,
    lease_replies: Vec<(LeaseKind, Instant, PendingReply)>,
    release_replies: Vec<PendingReply>,
}

/// Starts the thread that reads the endpoint list and publishes it to the other instances; `epoch`
/// identifies this process among those that number changes of the list.
fn start_list_reader(
    config: &Config,
    epoch: u64,
) -> std::io::Result<CallThread<Instant, Result<Vec<ListedEndpoint>, String>>> {
    let platform = PlatformClient::new(config.platform, config.clock.clone());
    let (dialect, control) = (config.dialect.clone(), config.control.clone());
    let clock = config.clock.clone();
    let skip_log = SkipLog::default();
    CallThread::start("endpoint-list", move |started_at: &Instant| {
        let publish = |page: &[ListedEndpoint]| control.endpoint_list().publish_page(epoch, page);
        let reading = discovery::read_list(dialect.as_ref(), &platform, publish);
        let reading = reading.map_err(|error| error.to_string())?;
        skip_log.record(reading.skipped);
        // The age of a list counts from the end of the read. Counted from the start, a long list would
        // be stale when it is complete, and every instance would read it itself.
        tracing::debug!(took = ?started_at.elapsed(), pages = reading.pages, "read the endpoint list");
        control
            .endpoint_list()
            .publish(clock.now(), epoch, &reading.list);
        Ok(reading.list)
    })
}

impl Runner {
    fn run(mut self, stop_signal: &Receiver<Instant>) {
        loop {
            match stop_signal.recv_timeout(STEP_INTERVAL) {
                Ok(deadline) => return self.finish(deadline),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.collect_results();
            if let Some(actions) = self.step() {
                self.execute(actions);
                self.read_list(self.config.clock.now());
                if self.config.orders {
                    self.order_endpoints();
                }
            }
        }
    }

    /// Orders endpoints; called on the leader only.
    fn order_endpoints(&mut self) {
        let clock = self.config.clock.clone();
        let (now, wall) = (clock.now(), clock.wall());
        if let Some(command) = self.orderer.holder.step(now, wall) {
            let reply = self.config.control.start_submit(command, SUBMIT_TIMEOUT);
            self.lease_replies.push((LeaseKind::Orders, now, reply));
        }
        self.update_table();
        let total = self.config.control.total_work();
        let load = |service: &Service| {
            total
                .by_service
                .get(&service.id)
                .copied()
                .unwrap_or_default()
        };
        let guard = self.orderer.holder.guard(now, wall);
        let Some(guard) = guard else {
            if let Some((_, table)) = &self.orderer.table {
                for service in table.services() {
                    self.orderer.planner.observe(now, service, &load(service));
                }
            }
            return;
        };
        if self.orderer.planner_fence != guard.fence() {
            self.orderer.planner_fence = guard.fence();
            self.orderer.planner.forget_orders();
        }
        // New orders wait for the results of the previous ones, so that none overtakes an earlier one.
        if self.orderer.pending_orders > 0 {
            return;
        }
        let Some((_, list)) = &self.orderer.listed else {
            return;
        };
        let Some((_, table)) = &self.orderer.table else {
            return;
        };
        if let Some(view) = self.config.control.latest_view() {
            let evacuated = view.evacuated_zones().clone();
            self.orderer.planner.set_evacuated(evacuated);
        }
        for service in table.services() {
            let load = load(service);
            for order in self.orderer.planner.plan(now, service, &load, list) {
                tracing::info!(
                    service = %order.service,
                    zone = %order.zone,
                    count = order.count,
                    reclaimable = order.reclaimable,
                    fence = guard.fence(),
                    long = load.long as u64,
                    short = load.short as u64,
                    calls = load.calls as u64,
                    rate = load.rate as u64,
                    "orders endpoints"
                );
                self.orderer.pending_orders += 1;
                self.order_calls.send(ExclusiveCall::Order(order, guard));
            }
        }
    }

    fn read_list(&mut self, now: Instant) {
        let orderer = &mut self.orderer;
        for (started_at, result) in orderer.list_reader.results() {
            orderer.last_read = Some((started_at, true));
            orderer.listed = match result {
                Ok(list) => Some((started_at, list)),
                Err(error) => {
                    // A stale list would lead to orders based on endpoints that no longer exist.
                    tracing::warn!(%error, "cannot read the endpoint list; orders are suspended");
                    None
                }
            };
        }
        let is_due = |(started_at, ended): (Instant, bool)| {
            ended && now.saturating_duration_since(started_at) >= LIST_INTERVAL
        };
        if orderer.last_read.is_none_or(is_due) {
            orderer.last_read = Some((now, false));
            orderer.list_reader.send(now);
        }
    }

    fn update_table(&mut self) {
        let view = self.config.control.latest_view();
        let Some(document) = view.as_ref().and_then(|view| view.document()) else {
            return;
        };
        let held_revision = self.orderer.table.as_ref().map(|(revision, _)| *revision);
        if held_revision == Some(document.revision) {
            return;
        }
        match self.config.dialect.route_table(&document.text) {
            Ok(table) => self.orderer.table = Some((document.revision, Arc::new(table))),
            Err(error) => tracing::error!(%error, "cannot parse the configuration document"),
        }
    }

    fn handle_order_result(&mut self, order: &EndpointOrder, result: &Result<(), PlatformError>) {
        self.orderer.pending_orders -= 1;
        let now = self.config.clock.now();
        let Err(error) = result else { return };
        tracing::info!(service = %order.service, zone = %order.zone, %error, "order failed");
        match error {
            PlatformError::Refused { .. } => self.orderer.planner.record_refusal(now, order),
            _ => self.orderer.planner.record_unknown_outcome(order),
        }
        if matches!(error, PlatformError::Unknown(_)) {
            self.orderer.holder.record_unknown_outcome(now);
        }
    }

    /// Runs a step of the usage reporter on the control thread, if this process is the leader.
    fn step(&self) -> Option<Vec<reporter::Action>> {
        let reporter = self.reporter.clone();
        let clock = self.config.clock.clone();
        let (terms, reports) = (self.config.terms, self.config.reports);
        let actions = self.config.control.inspect(move |state| {
            if state.usage().terms() != terms {
                return vec![reporter::Action::Submit(Command::SetUsageTerms(terms))];
            }
            if !reports {
                return Vec::new();
            }
            let mut reporter = reporter.lock().expect("reporter lock poisoned");
            reporter.step(clock.now(), clock.wall(), state)
        });
        // The channel is closed without a value if this process is not the leader.
        actions.recv().ok()
    }

    fn collect_results(&mut self) {
        let orders: Vec<_> = self.order_calls.results().collect();
        for (call, result) in orders {
            if let ExclusiveCall::Order(order, _) = call {
                self.handle_order_result(&order, &result);
            }
        }
        let mut reporter = self.reporter.lock().expect("reporter lock poisoned");
        let now = self.config.clock.now();
        for (call, result) in self.report_calls.results() {
            if let ExclusiveCall::Report(report) = call {
                reporter.handle_result(now, &report, &result);
            }
        }
        let holder = &mut self.orderer.holder;
        self.lease_replies
            .retain(|(kind, requested_at, pending)| match pending.try_recv() {
                Ok(Ok(reply)) => {
                    match kind {
                        LeaseKind::Usage => reporter.handle_lease_reply(*requested_at, &reply),
                        LeaseKind::Orders => holder.handle_reply(*requested_at, &reply),
                    }
                    false
                }
                Ok(Err(_)) => false,
                Err(error) => error.is_empty(),
            });
    }

    fn execute(&mut self, actions: Vec<reporter::Action>) {
        let control = &self.config.control;
        for action in actions {
            match action {
                reporter::Action::Lease {
                    requested_at,
                    command,
                } => {
                    let reply = control.start_submit(command, SUBMIT_TIMEOUT);
                    self.lease_replies
                        .push((LeaseKind::Usage, requested_at, reply));
                }
                reporter::Action::Submit(command) => {
                    let is_release = matches!(command, Command::ReleaseLease { .. });
                    let reply = control.start_submit(command, SUBMIT_TIMEOUT);
                    if is_release {
                        self.release_replies.push(reply);
                    }
                }
                reporter::Action::Report(report) => {
                    self.report_calls.send(ExclusiveCall::Report(report));
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

    /// Releases the leases: waits for pending replies and calls, then sends the releases and waits for
    /// their replies.
    fn finish(mut self, deadline: Instant) {
        while !self.lease_replies.is_empty() && Instant::now() < deadline {
            thread::sleep(STEP_INTERVAL / 10);
            self.collect_results();
        }
        self.reporter.lock().expect("reporter lock poisoned").stop();
        while Instant::now() < deadline {
            self.collect_results();
            let (actions, stopped) = {
                let mut reporter = self.reporter.lock().expect("reporter lock poisoned");
                let clock = &self.config.clock;
                // A stopped reporter reads no state.
                let state = crate::state::State::default();
                let actions = reporter.step(clock.now(), clock.wall(), &state);
                (actions, reporter.is_stopped())
            };
            self.execute(actions);
            let now = self.config.clock.now();
            if self.orderer.pending_orders == 0
                && let Some(command) = self.orderer.holder.release(now)
            {
                let reply = self.config.control.start_submit(command, SUBMIT_TIMEOUT);
                self.release_replies.push(reply);
            }
            self.release_replies
                .retain(|reply| reply.try_recv().is_err_and(|error| error.is_empty()));
            if stopped && self.orderer.holder.is_released() && self.release_replies.is_empty() {
                return;
            }
            thread::sleep(STEP_INTERVAL / 10);
        }
        tracing::warn!("leases were not released within the time limit");
    }
}
