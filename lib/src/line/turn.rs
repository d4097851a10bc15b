//! Carries out the decisions of the line for forwarded requests: a request waits here for its turn before an
//! endpoint is chosen for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http::header;
use rand::Rng as _;
use tokio::sync::oneshot;

use crate::affinity;
use crate::code::ResultCode;
use crate::fleet::Fleet;
use crate::forward::Forwarder;
use crate::forward_job::Job;
use crate::forward_job::MAX_RETURN_SPREAD;
use crate::forward_job::Refusal;
use crate::ids::ServiceId;
use crate::line::demand::Work;
use crate::line::portion;
use crate::line::portion::EngineCapacity;
use crate::line::portion::Kind;
use crate::line::queue::Entry;
use crate::line::queue::Flow;
use crate::line::queue::Line;
use crate::line::queue::Ticket;
use crate::line::queue::Turn;
use crate::refused_callers::Need;
use crate::return_time::MIN_RETRY_AFTER;
use crate::service_load::REPORT_EXPIRY;
use crate::supervision;

/// A request that waits for its turn.
struct Waiter {
    kind: Kind,
    work: Work,
    turn: oneshot::Sender<Turn>,
}

/// The line of one service.
#[derive(Default)]
struct ServiceLine {
    line: Line,
    waiters: HashMap<Ticket, Waiter>,
    /// Whether a task looks after the line.
    is_attended: bool,
}

#[derive(Default)]
struct State {
    last: u64,
    by_service: HashMap<ServiceId, ServiceLine>,
}

/// The lines of all services.
#[derive(Default)]
pub(crate) struct Lines(Mutex<State>);

impl Lines {
    fn lock(&self) -> MutexGuard<'_, State> {
        supervision::lock(&self.0)
    }
}

/// Removes a request from the line if its caller leaves.
struct Place<'a> {
    forwarder: &'a Forwarder,
    lines: &'a Lines,
    service: &'a ServiceId,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.lines.lock();
        let Some(known) = state.by_service.get_mut(self.service) else {
            return;
        };
        if let Some(waiter) = known.waiters.remove(&self.ticket) {
            known.line.leave(self.ticket);
            let now = self.forwarder.settings.clock.now();
            let mut fleet = self.forwarder.fleet();
            known.record_waiting(now, &mut fleet, self.service, waiter.kind);
            drop(fleet);
            known.record_gauge(self.forwarder, self.service);
            tracing::info!(service = %self.service, "caller leaves the line");
        }
    }
}

impl ServiceLine {
    fn record_waiting(&self, now: Instant, fleet: &mut Fleet, service: &ServiceId, kind: Kind) {
        let Some(demands) = fleet.demands_mut() else {
            return;
        };
        let mut sum = Work::default();
        for waiter in self.waiters.values().filter(|waiter| waiter.kind == kind) {
            sum.read += waiter.work.read;
            sum.run += waiter.work.run;
        }
        demands.set_waiting(now, service, kind, sum);
    }

    fn record_gauge(&self, forwarder: &Forwarder, service: &ServiceId) {
        let metrics = &forwarder.settings.metrics;
        metrics.waiting(service, self.waiters.len());
    }
}

impl Forwarder {
    /// Derives from the sums over all instances how fast requests may start here.
    fn update_flows(
        &self,
        now: Instant,
        fleet: &mut Fleet,
        service: &ServiceId,
        line: &mut Line,
        kinds: &[Kind],
    ) -> Option<EngineCapacity> {
        let control = &self.settings.control;
        let total = control.total_work();
        // With old sums nothing is known of the others, and a process that stops holds nobody back.
        let is_current = control.view_age(now).is_some_and(|age| age < REPORT_EXPIRY);
        let rate = total.by_service.get(service).map_or(0.0, |load| load.rate);
        let capacity = fleet.capacity(now, service, rate);
        let loads = total.kinds.get(service);
        let division = match (capacity, loads) {
            (Some((engines, engine)), Some(loads)) if is_current && !self.is_leaving() => {
                portion::divide(loads, engines, engine)
            }
            _ => portion::Division::default(),
        };
        let engine = capacity.map(|(_, engine)| engine);
        let demands = fleet.demands_mut()?;
        for kind in kinds {
            let portion = division.portion(*kind);
            let flow = match engine {
                Some(engine) if portion < 1.0 => {
                    let (arrivals, all) = demands.own_load(now, service, *kind);
                    Flow::Paced {
                        rate: portion * all.need(engine),
                        arrivals: arrivals.need(engine),
                    }
                }
                _ => Flow::Open,
            };
            line.set_flow(now, *kind, flow);
        }
        demands.set_division(service, division);
        engine
    }

    /// Looks after the line of a service until nothing waits there.
    async fn attend_line(self: Arc<Self>, service: ServiceId) {
        while let Some(pause) = self.pump_line(&service) {
            tokio::time::sleep(pause).await;
        }
    }

    fn pump_line(&self, service: &ServiceId) -> Option<Duration> {
        let mut state = self.lines.as_ref()?.lock();
        let known = state.by_service.get_mut(service)?;
        let now = self.settings.clock.now();
        let mut kinds: Vec<_> = known.line.entries().map(|entry| entry.kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        let mut fleet = self.fleet();
        self.update_flows(now, &mut fleet, service, &mut known.line, &kinds);
        for (entry, turn) in known.line.pump(now) {
            if let Some(waiter) = known.waiters.remove(&entry.ticket) {
                // The caller may have left meanwhile.
                let _ = waiter.turn.send(turn);
            }
        }
        for kind in kinds {
            known.record_waiting(now, &mut fleet, service, kind);
        }
        drop(fleet);
        known.record_gauge(self, service);
        let pause = known.line.pause();
        known.is_attended = pause.is_some();
        pause
    }
}

impl Job {
    fn kind(&self) -> Kind {
        Kind::of(self.rank, self.info.prompt)
    }

    /// Waits until the request may start, or returns the refusal of one that would not start in time.
    pub(crate) async fn wait_turn(&self) -> Result<(), Refusal> {
        let Some(lines) = &self.forwarder.lines else {
            return Ok(());
        };
        if self.engine.is_none() || self.may_have_run {
            return Ok(());
        }
        let began = self.now();
        let (receiver, ticket) = match self.join(lines, began) {
            Ok(Some(waiting)) => waiting,
            Ok(None) => return Ok(()),
            Err(room) => return Err(self.refuse_turn(began, room)),
        };
        let place = Place {
            forwarder: &self.forwarder,
            lines,
            service: &self.service,
            ticket,
        };
        let turn = receiver.await;
        drop(place);
        match turn {
            // The task that looks after the line ends only with the process.
            Ok(Turn::Start) | Err(_) => {
                self.log_turn(began, "starts");
                self.check_access()
            }
            Ok(Turn::Refuse { room }) => Err(self.refuse_turn(began, room)),
        }
    }

    /// Joins the line of the service; returns `None` if the request may start at once, or the time until there
    /// is room if it would not start in time.
    #[allow(clippy::type_complexity)]
    fn join(
        &self,
        lines: &Lines,
        now: Instant,
    ) -> Result<Option<(oneshot::Receiver<Turn>, Ticket)>, Duration> {
        let kind = self.kind();
        let mut state = lines.lock();
        state.last += 1;
        let ticket = Ticket(state.last);
        let known = state.by_service.entry(self.service.clone()).or_default();
        let mut fleet = self.forwarder.fleet();
        let Some(demands) = fleet.demands_mut() else {
            return Ok(None);
        };
        let work = demands.work(&self.service, kind, self.info.prompt);
        if self.attempts == 0 && self.connect_failures == 0 {
            demands.arrive(now, &self.service, kind, work);
        }
        let forwarder = &self.forwarder;
        let engine =
            forwarder.update_flows(now, &mut fleet, &self.service, &mut known.line, &[kind]);
        let Some(engine) = engine else {
            return Ok(None);
        };
        let end = now + self.answer_time_left();
        let objective = self.arrived + self.route.objective;
        let back = |at: Instant, time| at.checked_sub(time).unwrap_or(now);
        let entry = Entry {
            ticket,
            kind,
            workspace: self.workspace.as_ref().map_or(0, |workspace| {
                affinity::hash_name(workspace.as_str()) as u32
            }),
            cost: work.cost(engine),
            on_time: back(objective, work.read_time(engine)),
            latest: back(end, work.total_time(engine)),
            size: self.body.len(),
        };
        match known.line.join(now, entry) {
            Some(Turn::Start) => return Ok(None),
            Some(Turn::Refuse { room }) => return Err(room),
            None => {}
        }
        let (turn, receiver) = oneshot::channel();
        known.waiters.insert(ticket, Waiter { kind, work, turn });
        known.record_waiting(now, &mut fleet, &self.service, kind);
        forwarder.settings.control.set_work(fleet.report_load(now));
        drop(fleet);
        known.record_gauge(forwarder, &self.service);
        tracing::info!(
            request = self.info.id,
            service = %self.service,
            urgency = self.rank,
            ahead = known.waiters.len() - 1,
            left_ms = entry.latest.saturating_duration_since(now).as_millis() as u64,
            "waits"
        );
        if !std::mem::replace(&mut known.is_attended, true) {
            tokio::spawn(forwarder.clone().attend_line(self.service.clone()));
        }
        Ok(Some((receiver, ticket)))
    }

    fn log_turn(&self, began: Instant, outcome: &'static str) {
        let waited = self.now().saturating_duration_since(began);
        let metrics = &self.forwarder.settings.metrics;
        metrics.waited(&self.service, outcome, waited);
        let fleet = self.forwarder.fleet();
        let division = fleet.demands().and_then(|d| d.division(&self.service));
        let portion = division.map_or(1.0, |division| division.portion(self.kind()));
        drop(fleet);
        tracing::info!(
            request = self.info.id,
            service = %self.service,
            urgency = self.rank,
            wait_ms = waited.as_millis() as u64,
            portion,
            outcome,
            "leaves the line"
        );
    }

    /// Returns the refusal of a request that would not start in time, and reports it to the fleet.
    fn refuse_turn(&self, began: Instant, room: Duration) -> Refusal {
        self.log_turn(began, "refused");
        let now = self.now();
        let spread = rand::rng().random_range(1.0..MAX_RETURN_SPREAD);
        let retry = room.max(MIN_RETRY_AFTER).mul_f64(spread);
        let mut fleet = self.forwarder.fleet();
        fleet.record_unserved_prompt(now, &self.service, self.info.prompt, &self.info.parts);
        fleet.record_refusal(now, &self.service, self.rank, Need::Place, now + retry);
        let control = &self.forwarder.settings.control;
        control.set_work(fleet.report_load(now));
        Refusal {
            code: ResultCode::Overloaded,
            retry: Some(retry),
        }
    }

    /// Refuses a request whose route or key a newer configuration has withdrawn while it waited. Its caller
    /// comes back and gets the answer of that configuration.
    fn check_access(&self) -> Result<(), Refusal> {
        let Some(table) = self.forwarder.table() else {
            return Ok(());
        };
        if table.revision == self.revision {
            return Ok(());
        }
        let host = self.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let path = self.target.split('?').next().unwrap_or_default();
        let is_allowed = table.route(host, path).is_some_and(|route| {
            let caller = self.info.key.as_deref().and_then(|key| table.caller(key));
            let workspace = caller.map(|caller| &caller.workspace);
            let has_access = !table.needs_key(route) || workspace == self.workspace.as_ref();
            let mut targets = route.targets.iter();
            has_access && targets.any(|target| target.service == self.service)
        });
        match is_allowed {
            true => Ok(()),
            false => Err(Refusal {
                code: ResultCode::ViewExpired,
                retry: Some(MIN_RETRY_AFTER),
            }),
        }
    }
}
