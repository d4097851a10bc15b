//! Exclusive calls to a platform that is reached through an adapter: usage reports and orders.
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
use crate::ids::InstanceId;
use crate::ids::WorkspaceId;
use crate::lease::Guard;
use crate::lease::LeaseHolder;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::reporter;
use crate::reporter::Reporter;
use crate::route_table::RouteTable;
use crate::route_table::Service;
use crate::stock::Stock;
use crate::usage::WindowReport;

/// Interval between two steps of the drivers.
const STEP: Duration = Duration::from_millis(250);

/// Interval between two readings of the endpoint list for orders.
const LIST_PERIOD: Duration = Duration::from_secs(1);

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
    /// Whether usage is reported.
    pub reports: bool,
    /// Whether endpoints are ordered.
    pub orders: bool,
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
        let caller = |name: &str| {
            let caller = Caller {
                platform: Platform::new(config.platform, config.clock.clone()),
                dialect: config.dialect.clone(),
                instance: me.instance.clone(),
            };
            CallThread::start(name, move |call| caller.send(call))
        };
        let epoch = rand::rng().random_range(1..u64::MAX);
        let runner = Runner {
            reporter: Arc::new(Mutex::new(Reporter::new(me.clone()))),
            reports: caller("usage-reports")?,
            buyer: Buyer {
                holder: LeaseHolder::new(LeaseKind::Orders, me.clone()),
                stock: Stock::new(config.clock.now()),
                fence: 0,
                pending: 0,
                listed: None,
                reader: list_reader(&config, epoch)?,
                reading: None,
                table: None,
            },
            orders: caller("orders")?,
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

/// An exclusive call.
#[derive(Debug)]
enum Exclusive {
    Report(reporter::Report),
    Order(EndpointOrder, Guard),
}

/// Makes exclusive calls.
struct Caller {
    platform: Platform,
    dialect: Arc<dyn Dialect>,
    instance: InstanceId,
}

impl Caller {
    fn send(&self, call: &Exclusive) -> Result<(), PlatformError> {
        let guard = match call {
            Exclusive::Report(report) => report.guard,
            Exclusive::Order(_, guard) => *guard,
        };
        let holder = FencedCaller {
            instance: &self.instance,
            fence: guard.fence(),
        };
        let call = match call {
            Exclusive::Report(report) => {
                let counts = counts(&report.bytes)?;
                self.dialect.usage_call(holder, report.window, &counts)
            }
            Exclusive::Order(order, _) => self.dialect.order_call(holder, order),
        };
        self.platform.exclusive(guard, &call).map(drop)
    }
}

/// Adds the rows of a frozen report up by workspace; late rows belong to no window any more.
fn counts(frozen: &[u8]) -> Result<BTreeMap<WorkspaceId, u64>, PlatformError> {
    let frozen: WindowReport = serde_json::from_slice(frozen)
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    let mut counts = BTreeMap::new();
    for row in frozen.rows.iter().filter(|row| !row.late) {
        *counts.entry(row.workspace.clone()).or_default() += row.counts.requests;
    }
    Ok(counts)
}

/// Orders endpoints while it holds the lease for that.
struct Buyer {
    holder: LeaseHolder,
    stock: Stock,
    /// Fencing number under which the stock was planned.
    fence: u64,
    /// Orders without a result.
    pending: usize,
    listed: Option<(Instant, Vec<ListedEndpoint>)>,
    /// Reads the list, which takes seconds where it is long.
    reader: CallThread<Instant, Result<Vec<ListedEndpoint>, String>>,
    /// When the last reading began, and whether it has ended.
    reading: Option<(Instant, bool)>,
    table: Option<(u64, Arc<RouteTable>)>,
}

type ExclusiveCalls = CallThread<Exclusive, Result<(), PlatformError>>;

type Answer = Receiver<Result<Reply, SubmitError>>;

struct Runner {
    config: Config,
    reporter: Arc<Mutex<Reporter>>,
    reports: ExclusiveCalls,
    buyer: Buyer,
    orders: ExclusiveCalls,
    leases: Vec<(LeaseKind, Instant, Answer)>,
    releases: Vec<Answer>,
}

/// Starts the thread that reads the endpoint list and tells other instances; `epoch` names this process
/// among those that number changes of the list.
fn list_reader(
    config: &Config,
    epoch: u64,
) -> std::io::Result<CallThread<Instant, Result<Vec<ListedEndpoint>, String>>> {
    let platform = Platform::new(config.platform, config.clock.clone());
    let (dialect, control) = (config.dialect.clone(), config.control.clone());
    let clock = config.clock.clone();
    CallThread::start("endpoint-list", move |began: &Instant| {
        let publish = |page: &[ListedEndpoint]| control.endpoint_list().publish_page(epoch, page);
        let reading = discovery::read_list(dialect.as_ref(), &platform, publish);
        let reading = reading.map_err(|error| error.to_string())?;
        // A long list takes seconds to read; its age counts from the end, or it would be old when it is
        // whole, and all instances would read it themselves.
        tracing::debug!(took = ?began.elapsed(), pages = reading.pages, "read the endpoint list");
        control
            .endpoint_list()
            .publish(clock.now(), epoch, &reading.list);
        Ok(reading.list)
    })
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
                self.read_list(self.config.clock.now());
                if self.config.orders {
                    self.buy();
                }
            }
        }
    }

    /// Orders endpoints, on a process that leads.
    fn buy(&mut self) {
        let clock = self.config.clock.clone();
        let (now, wall) = (clock.now(), clock.wall());
        if let Some(command) = self.buyer.holder.step(now, wall) {
            let answer = self.config.control.start_submit(command, SUBMIT_TIMEOUT);
            self.leases.push((LeaseKind::Orders, now, answer));
        }
        self.read_table();
        let total = self.config.control.total_work();
        let work = |service: &Service| total.works.get(&service.id).copied().unwrap_or_default();
        let guard = self.buyer.holder.guard(now, wall);
        let Some(guard) = guard else {
            if let Some((_, table)) = &self.buyer.table {
                for service in table.services() {
                    self.buyer.stock.observe(now, service, &work(service));
                }
            }
            return;
        };
        if self.buyer.fence != guard.fence() {
            self.buyer.fence = guard.fence();
            self.buyer.stock.take_over();
        }
        // One round at a time, so that a later order never overtakes an earlier one.
        if self.buyer.pending > 0 {
            return;
        }
        let Some((_, list)) = &self.buyer.listed else {
            return;
        };
        let Some((_, table)) = &self.buyer.table else {
            return;
        };
        for service in table.services() {
            let work = work(service);
            for order in self.buyer.stock.plan(now, service, &work, list) {
                tracing::info!(
                    service = %order.service,
                    zone = %order.zone,
                    count = order.count,
                    reclaimable = order.reclaimable,
                    fence = guard.fence(),
                    long = work.long as u64,
                    short = work.short as u64,
                    calls = work.calls as u64,
                    rate = work.rate as u64,
                    "orders endpoints"
                );
                self.buyer.pending += 1;
                self.orders.send(Exclusive::Order(order, guard));
            }
        }
    }

    fn read_list(&mut self, now: Instant) {
        let buyer = &mut self.buyer;
        for (began, result) in buyer.reader.results() {
            buyer.reading = Some((began, true));
            buyer.listed = match result {
                Ok(list) => Some((began, list)),
                Err(error) => {
                    // An old list would lead to orders for a stock that is not there.
                    tracing::warn!(%error, "orders nothing without the endpoint list");
                    None
                }
            };
        }
        let is_due = |(began, ended): (Instant, bool)| {
            ended && now.saturating_duration_since(began) >= LIST_PERIOD
        };
        if buyer.reading.is_none_or(is_due) {
            buyer.reading = Some((now, false));
            buyer.reader.send(now);
        }
    }

    fn read_table(&mut self) {
        let view = self.config.control.latest_view();
        let Some(document) = view.as_ref().and_then(|view| view.document()) else {
            return;
        };
        let held = self.buyer.table.as_ref().map(|(revision, _)| *revision);
        if held == Some(document.revision) {
            return;
        }
        match self.config.dialect.route_table(&document.text) {
            Ok(table) => self.buyer.table = Some((document.revision, Arc::new(table))),
            Err(error) => tracing::error!(%error, "cannot read the document"),
        }
    }

    fn ordered(&mut self, order: &EndpointOrder, result: &Result<(), PlatformError>) {
        self.buyer.pending -= 1;
        let now = self.config.clock.now();
        let Err(error) = result else { return };
        tracing::info!(service = %order.service, zone = %order.zone, %error, "order failed");
        match error {
            PlatformError::Refused { .. } => self.buyer.stock.refused(now, order),
            _ => self.buyer.stock.lost(order),
        }
        if matches!(error, PlatformError::Unknown(_)) {
            self.buyer.holder.note_unknown(now);
        }
    }

    /// Steps the driver on the control thread, if this process leads.
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
        // The channel is closed without a value where this process does not lead.
        actions.recv().ok()
    }

    fn collect(&mut self) {
        let orders: Vec<_> = self.orders.results().collect();
        for (call, result) in orders {
            if let Exclusive::Order(order, _) = call {
                self.ordered(&order, &result);
            }
        }
        let mut reporter = self.reporter.lock().expect("reporter lock poisoned");
        let now = self.config.clock.now();
        for (call, result) in self.reports.results() {
            if let Exclusive::Report(report) = call {
                reporter.reported(now, &report, &result);
            }
        }
        let holder = &mut self.buyer.holder;
        self.leases
            .retain(|(kind, asked, answer)| match answer.try_recv() {
                Ok(Ok(reply)) => {
                    match kind {
                        LeaseKind::Usage => reporter.lease_reply(*asked, &reply),
                        LeaseKind::Orders => holder.reply(*asked, &reply),
                    }
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
                    let answer = control.start_submit(command, SUBMIT_TIMEOUT);
                    self.leases.push((LeaseKind::Usage, asked, answer));
                }
                reporter::Action::Submit(command) => {
                    let releases = matches!(command, Command::ReleaseLease { .. });
                    let answer = control.start_submit(command, SUBMIT_TIMEOUT);
                    if releases {
                        self.releases.push(answer);
                    }
                }
                reporter::Action::Report(report) => {
                    self.reports.send(Exclusive::Report(report));
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
            let now = self.config.clock.now();
            if self.buyer.pending == 0
                && let Some(command) = self.buyer.holder.release(now)
            {
                let answer = self.config.control.start_submit(command, SUBMIT_TIMEOUT);
                self.releases.push(answer);
            }
            self.releases
                .retain(|answer| answer.try_recv().is_err_and(|error| error.is_empty()));
            if stopped && self.buyer.holder.is_released() && self.releases.is_empty() {
                return;
            }
            thread::sleep(STEP / 10);
        }
        tracing::warn!("did not give up the leases in time");
    }
}
