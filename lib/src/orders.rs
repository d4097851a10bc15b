//! Driver of endpoint and engine orders, which plans, records, sends and reconciles them.
//!
//! [`OrderDriver::step`] does no I/O. The caller submits the commands, makes the calls with [`run`]
//! on a thread that may block, and passes the results back.
//!
//! An order is sent only after the replicated state shows it. If its response is lost, the
//! platform's instance list decides: an order that the list shows is closed as accepted, and an
//! order that a list from [`LIST_SETTLE_TIME`] after the call does not show is sent again. The
//! resend has the same id, by which the platform recognises duplicates.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde::Serialize;

use crate::command::Command;
use crate::command::Incarnation;
use crate::command::LeaseKind;
use crate::command::Order;
use crate::command::OrderState;
use crate::command::Reply;
use crate::lease::Guard;
use crate::lease::LeaseHolder;
use crate::order::CapacityPool;
use crate::placement::Engine;
use crate::placement::EngineChange;
use crate::placement::KvMove;
use crate::placement::ModelDemand;
use crate::placement::Placement;
use crate::placement::StoreLimit;
use crate::platform::InstanceList;
use crate::platform::InstanceState;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::scaler::Change;
use crate::scaler::ClassDemand;
use crate::scaler::Inputs as ScalerInputs;
use crate::scaler::MAX_LIST_LAG;
use crate::scaler::Plan;
use crate::scaler::PoolState;
use crate::scaler::SCALE_DOWN_WINDOW;
use crate::scaler::Scaler;
use crate::state::State;

/// Interval at which the instance list is fetched.
pub const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum age of the list at planning.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(60);

/// Interval at which the number of endpoints is planned.
pub const PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// Time after a call from which a list that does not show the order proves it was not executed.
pub const LIST_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Interval at which the placement of models is planned.
pub const PLACEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Time during which no order for a pool is made after the platform refused one.
pub const REFUSAL_COOLDOWN: Duration = Duration::from_secs(60);

/// Time for which more endpoints than ordered may run before the order is repeated with a new id.
///
/// A list can match an order that was not executed if endpoints were reclaimed in the meantime.
pub const DRIFT_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay before an order is sent again after the connection failed.
pub const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time after which a command is submitted again if the state does not show its effect.
pub const RESUBMIT_INTERVAL: Duration = Duration::from_secs(2);

/// Inputs of [`OrderDriver::step`].
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// Demand by class.
    pub demand: &'a [ClassDemand],
    /// Number of requests that one endpoint processes concurrently.
    pub slots: u32,
    /// The engines.
    pub engines: &'a [Engine],
    /// Demand by model.
    pub models: &'a [ModelDemand],
}

/// Action that the caller must take after a step.
#[derive(Clone, Debug)]
pub enum Action {
    /// Submits a lease request, whose reply is passed to [`OrderDriver::handle_lease_reply`].
    Lease {
        /// Time of the request, which identifies it.
        requested_at: Instant,
        /// The lease request.
        command: Command,
    },
    /// Submits a command, whose effect the replicated state shows.
    Submit(Command),
    /// Makes a call with [`run`], whose result is passed to [`OrderDriver::handle_result`].
    Call(Call),
    /// Writes a record to the decision log.
    Log(Record),
}

/// A call to the platform or to an engine.
#[derive(Clone, Debug)]
pub enum Call {
    /// Fetches the instance list.
    List {
        /// Time of the request.
        requested_at: Instant,
    },
    /// Sends a recorded order to the platform.
    Order {
        /// The order.
        order: Order,
        /// Permission to write under the order lease.
        guard: Guard,
    },
    /// Sends an order to an engine.
    Engine {
        /// The order.
        change: EngineChange,
        /// Permission to write under the order lease.
        guard: Guard,
    },
    /// Moves the KV cache of a leaving engine.
    MoveKv {
        /// Source and target of the move.
        kv: KvMove,
        /// Permission to write under the order lease.
        guard: Guard,
    },
}

/// Result of a call: the instance list, or `None` for a write.
pub type CallResult = Result<Option<InstanceList>, PlatformError>;

/// Makes a call; a write blocks for no longer than the lease lasts.
pub fn run(platform: &PlatformClient, call: &Call) -> CallResult {
    let done = |()| None;
    match call {
        Call::List { .. } => platform.list_instances().map(Some),
        Call::Order { order, guard } => platform.order(*guard, order).map(done),
        Call::Engine { change, guard } => platform
            .order_engine(*guard, change.address, &change.action)
            .map(done),
        Call::MoveKv { kv, guard } => platform
            .move_kv(*guard, kv.source_address, kv.target_address)
            .map(done),
    }
}

/// Record of the decision log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// A plan with at least one change.
    Plan(Plan),
    /// A step of one order, a call to an engine, or a failed call.
    Step {
        /// Kind of the record.
        kind: &'static str,
        /// Short name of the rule or result that caused the record.
        reason: &'static str,
        /// Id of the order, or names of the engines.
        subject: String,
        /// Fencing number of the order lease.
        fence: u64,
        /// Error of the call, if it failed.
        #[serde(skip_serializing_if = "Option::is_none")]
        error: Option<String>,
    },
}

/// Progress of an open order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Progress {
    /// Not sent; may be sent from this time on.
    Unsent(Instant),
    /// Being sent.
    InFlight {
        /// Latest time at which an earlier attempt may have been executed.
        maybe_executed_by: Option<Instant>,
    },
    /// May have been executed, no later than at this time.
    Unknown(Instant),
    /// Ended in this state; the command that closes it was last submitted at this time, if at all.
    Closing(OrderState, Option<Instant>),
}

/// Holds the order lease and executes the plans of the scaler and the model placement.
pub struct OrderDriver {
    holder: LeaseHolder,
    scaler: Box<dyn Scaler>,
    placement: Placement,
    fence: Option<u64>,
    /// Time since which the driver holds the current grant.
    held_since: Option<Instant>,
    list: Option<ListSnapshot>,
    list_requested_at: Option<Instant>,
    is_fetching_list: bool,
    last_plan: Option<Instant>,
    /// Orders that were submitted for recording, with the time; the state does not show them yet.
    recording: BTreeMap<u64, (Order, Instant)>,
    progress: BTreeMap<u64, Progress>,
    /// Pools for which the platform refused an order, and the end of their cooldown.
    refused_until: BTreeMap<CapacityPool, Instant>,
    /// Pools that run more endpoints than ordered, and since when.
    surplus_since: BTreeMap<CapacityPool, Instant>,
    last_placement: Option<Instant>,
    calls_in_flight: usize,
    records: Vec<Record>,
    stopping: bool,
}

impl OrderDriver {
    /// Creates a driver that does not hold the lease yet.
    pub fn new(incarnation: Incarnation, scaler: Box<dyn Scaler>, limit: StoreLimit) -> Self {
        Self {
            holder: LeaseHolder::new(LeaseKind::Orders, incarnation),
            scaler,
            placement: Placement::new(limit),
            fence: None,
            held_since: None,
            list: None,
            list_requested_at: None,
            is_fetching_list: false,
            last_plan: None,
            recording: BTreeMap::new(),
            progress: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
            last_placement: None,
            calls_in_flight: 0,
            records: Vec::new(),
            stopping: false,
        }
    }

    /// Returns the platform's instance list, if it was fetched under the current lease.
    pub fn list(&self) -> Option<&InstanceList> {
        self.list.as_ref().map(|snapshot| &snapshot.list)
    }

    /// Handles the reply to the lease request that was made at `requested_at`.
    pub fn handle_lease_reply(&mut self, requested_at: Instant, reply: &Reply) {
        self.holder.handle_reply(requested_at, reply);
    }

    /// Stops starting calls; the lease is released once none is in flight.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether the driver was stopped, has no call in flight and has released the lease.
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.calls_in_flight == 0 && self.holder.is_released()
    }

    /// Returns the actions that are due; called several times a second.
    pub fn step(&mut self, now: Instant, wall: SystemTime, inputs: &Inputs<'_>) -> Vec<Action> {
        let mut actions: Vec<_> = self.records.drain(..).map(Action::Log).collect();
        if self.stopping {
            if self.calls_in_flight == 0 {
                actions.extend(self.holder.release(now).map(Action::Submit));
            }
            return actions;
        }
        if let Some(command) = self.holder.step(now, wall) {
            actions.push(Action::Lease {
                requested_at: now,
                command,
            });
        }
        if let Some(guard) = self.holder.guard(now, wall) {
            self.step_with_lease(now, inputs, guard, &mut actions);
        }
        actions.extend(self.records.drain(..).map(Action::Log));
        actions
    }

    fn step_with_lease(
        &mut self,
        now: Instant,
        inputs: &Inputs<'_>,
        guard: Guard,
        actions: &mut Vec<Action>,
    ) {
        if self.fence != Some(guard.fence()) {
            self.take_over(now, guard);
        }
        self.fetch_list(now, actions);
        self.resubmit_unrecorded(now, inputs.state, actions);
        self.advance_orders(now, inputs.state, guard, actions);
        self.plan(now, inputs, guard, actions);
        self.place_models(now, inputs, guard, actions);
    }

    /// Resets to the replicated state, since it is unknown what an earlier holder sent.
    fn take_over(&mut self, now: Instant, guard: Guard) {
        self.fence = Some(guard.fence());
        self.held_since = Some(now);
        self.list = None;
        self.last_plan = None;
        self.recording.clear();
        self.progress.clear();
    }

    fn fetch_list(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_recent = self
            .list_requested_at
            .is_some_and(|t| now - t < LIST_INTERVAL);
        if self.is_fetching_list || is_recent {
            return;
        }
        self.is_fetching_list = true;
        self.list_requested_at = Some(now);
        self.start_call(Call::List { requested_at: now }, actions);
    }

    fn start_call(&mut self, call: Call, actions: &mut Vec<Action>) {
        self.calls_in_flight += 1;
        actions.push(Action::Call(call));
    }

    fn resubmit_unrecorded(&mut self, now: Instant, state: &State, actions: &mut Vec<Action>) {
        let orders = state.orders();
        let next = orders.next_id();
        self.recording.retain(|id, _| *id >= next);
        for (order, at) in self.recording.values_mut() {
            if now - *at >= RESUBMIT_INTERVAL {
                *at = now;
                actions.push(Action::Submit(Command::PlaceOrder(order.clone())));
            }
        }
    }

    /// Advances each open order by one step.
    fn advance_orders(
        &mut self,
        now: Instant,
        state: &State,
        guard: Guard,
        actions: &mut Vec<Action>,
    ) {
        let open: Vec<_> = state.orders().open().map(|r| r.order.clone()).collect();
        self.progress
            .retain(|id, _| open.iter().any(|o| o.id == *id));
        for order in open {
            // An earlier holder may have sent its order at any time until now.
            let initial = match order.fence == guard.fence() {
                true => Progress::Unsent(now),
                false => Progress::Unknown(now),
            };
            let progress = *self.progress.entry(order.id).or_insert(initial);
            let next = self.advance_order(now, &order, progress, guard, actions);
            self.progress.insert(order.id, next);
        }
    }

    fn advance_order(
        &mut self,
        now: Instant,
        order: &Order,
        progress: Progress,
        guard: Guard,
        actions: &mut Vec<Action>,
    ) -> Progress {
        match progress {
            Progress::Unsent(at) if now >= at => self.send(order, guard, None, "recorded", actions),
            Progress::Unknown(at) => match self.is_listed(order, at) {
                Some(true) => {
                    self.log("order", "listed", order.id, None);
                    Progress::Closing(OrderState::Accepted, None)
                }
                Some(false) => self.send(order, guard, Some(at), "not_listed", actions),
                None => progress,
            },
            Progress::Closing(state, at) if at.is_none_or(|t| now - t >= RESUBMIT_INTERVAL) => {
                let order = order.id;
                actions.push(Action::Submit(Command::CloseOrder { order, state }));
                Progress::Closing(state, Some(now))
            }
            other => other,
        }
    }

    fn send(
        &mut self,
        order: &Order,
        guard: Guard,
        maybe_executed_by: Option<Instant>,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) -> Progress {
        self.log("order", reason, order.id, None);
        let order = order.clone();
        self.start_call(Call::Order { order, guard }, actions);
        Progress::InFlight { maybe_executed_by }
    }

    /// Returns whether the list shows an order that was sent no later than `sent`, or `None` if the
    /// list is too old to tell.
    fn is_listed(&self, order: &Order, sent: Instant) -> Option<bool> {
        let snapshot = self.list.as_ref()?;
        let counts = snapshot.counts(&CapacityPool::from(order));
        let matches = counts.ready + counts.starting == order.count;
        if matches && snapshot.time >= sent {
            Some(true)
        } else if snapshot.time >= sent + LIST_SETTLE_TIME {
            Some(false)
        } else {
            None
        }
    }

    fn plan(&mut self, now: Instant, inputs: &Inputs<'_>, guard: Guard, actions: &mut Vec<Action>) {
        let is_recent = self.last_plan.is_some_and(|t| now - t < PLAN_INTERVAL);
        let Some(snapshot) = &self.list else {
            return;
        };
        if is_recent || now.saturating_duration_since(snapshot.time) > MAX_LIST_AGE {
            return;
        }
        self.last_plan = Some(now);
        let pools = snapshot.pools(inputs.state);
        let mut plan = self.scaler.plan(
            now,
            &ScalerInputs {
                demand: inputs.demand,
                pools: &pools,
                slots: inputs.slots,
            },
        );
        // The scaler of a new holder has not seen earlier demand, so it may not scale down yet.
        let is_new_holder = self.held_since.is_none_or(|t| now - t < SCALE_DOWN_WINDOW);
        let has_open_order = |pool: &CapacityPool| {
            let open = inputs.state.orders().open().map(|r| &r.order);
            let recording = self.recording.values().map(|(order, _)| order);
            open.chain(recording)
                .any(|o| CapacityPool::from(o) == *pool)
        };
        plan.changes.retain(|c| c.to > c.from || !is_new_holder);
        let corrections = drift_corrections(&mut self.surplus_since, now, &pools, &plan.changes);
        plan.changes.extend(corrections);
        self.refused_until.retain(|_, until| now < *until);
        plan.changes
            .retain(|c| !has_open_order(&c.pool) && !self.refused_until.contains_key(&c.pool));
        if plan.changes.is_empty() {
            return;
        }
        let mut id = inputs.state.orders().next_id();
        if let Some((last, _)) = self.recording.last_key_value() {
            id = id.max(last + 1);
        }
        for change in &plan.changes {
            let order = new_order(id, guard, change);
            id += 1;
            self.recording.insert(order.id, (order.clone(), now));
            actions.push(Action::Submit(Command::PlaceOrder(order)));
        }
        self.records.push(Record::Plan(plan));
    }

    fn place_models(
        &mut self,
        now: Instant,
        inputs: &Inputs<'_>,
        guard: Guard,
        actions: &mut Vec<Action>,
    ) {
        if self
            .last_placement
            .is_none_or(|t| now - t >= PLACEMENT_INTERVAL)
        {
            self.last_placement = Some(now);
            for change in self.placement.plan(now, inputs.engines, inputs.models) {
                self.log("engine_order", change.reason, &change.engine, None);
                self.start_call(Call::Engine { change, guard }, actions);
            }
        }
        for kv in self.placement.plan_moves(inputs.engines) {
            let subject = format!("{} to {}", kv.from, kv.to);
            self.log("kv_move", "leaving", subject, None);
            self.start_call(Call::MoveKv { kv, guard }, actions);
        }
    }

    /// Handles the result of a call.
    pub fn handle_result(&mut self, now: Instant, call: &Call, result: &CallResult) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        if matches!(result, Err(PlatformError::Unknown(_))) && !matches!(call, Call::List { .. }) {
            self.holder.record_unknown_outcome(now);
        }
        let error = result.as_ref().err();
        match call {
            Call::List { requested_at } => {
                self.is_fetching_list = false;
                match result {
                    Ok(Some(list)) => self.update_list(*requested_at, list),
                    Ok(None) => {}
                    Err(error) => self.log("list", "failed", "", Some(error)),
                }
            }
            Call::Order { order, .. } => self.handle_order_result(now, order, error),
            Call::Engine { change, .. } => {
                if let Some(error) = error {
                    self.placement.record_failure(&change.engine);
                    self.log("engine_order", "failed", &change.engine, Some(error));
                }
            }
            Call::MoveKv { kv, .. } => {
                if let Some(error) = error {
                    self.log("kv_move", "failed", &kv.from, Some(error));
                }
            }
        }
    }

    fn update_list(&mut self, requested_at: Instant, list: &InstanceList) {
        let age = Duration::from_millis(list.age_ms);
        // The list is ignored if its time precedes the range of the monotonic clock.
        let Some(time) = requested_at.checked_sub(age) else {
            return;
        };
        if self
            .list
            .as_ref()
            .is_none_or(|snapshot| time >= snapshot.time)
        {
            self.list = Some(ListSnapshot::new(time, list));
        }
    }

    fn handle_order_result(&mut self, now: Instant, order: &Order, error: Option<&PlatformError>) {
        let Some(Progress::InFlight { maybe_executed_by }) = self.progress.get(&order.id).copied()
        else {
            return;
        };
        let (reason, next) = match error {
            None => ("accepted", Progress::Closing(OrderState::Accepted, None)),
            Some(PlatformError::Unknown(_)) => ("outcome_unknown", Progress::Unknown(now)),
            Some(PlatformError::Refused { status: 409, .. }) => {
                // The platform has seen a greater fencing number, so this lease has ended.
                ("fenced", Progress::Unknown(now))
            }
            // The platform accepts ids that it has executed, so no earlier attempt was executed.
            Some(PlatformError::Refused { .. }) => {
                ("refused", Progress::Closing(OrderState::Refused, None))
            }
            Some(PlatformError::Unreachable(_) | PlatformError::LeaseLost) => {
                let retry = Progress::Unsent(now + RETRY_DELAY);
                (
                    "not_sent",
                    maybe_executed_by.map_or(retry, Progress::Unknown),
                )
            }
        };
        if reason == "refused" {
            let until = now + REFUSAL_COOLDOWN;
            self.refused_until.insert(CapacityPool::from(order), until);
        }
        self.log("order", reason, order.id, error);
        self.progress.insert(order.id, next);
    }

    fn log(
        &mut self,
        kind: &'static str,
        reason: &'static str,
        subject: impl ToString,
        error: Option<&PlatformError>,
    ) {
        self.records.push(Record::Step {
            kind,
            reason,
            subject: subject.to_string(),
            fence: self.fence.unwrap_or(0),
            error: error.map(ToString::to_string),
        });
    }
}

/// Returns changes that repeat the last order of pools that run too many endpoints for too long.
fn drift_corrections(
    surplus_since: &mut BTreeMap<CapacityPool, Instant>,
    now: Instant,
    pools: &[PoolState],
    changes: &[Change],
) -> Vec<Change> {
    surplus_since.retain(|pool, _| {
        let has_surplus = |p: &&PoolState| p.pool == *pool && p.ready + p.starting > p.ordered;
        pools.iter().any(|p| has_surplus(&p))
    });
    let mut corrections = Vec::new();
    for state in pools {
        if state.ready + state.starting <= state.ordered {
            continue;
        }
        let since = *surplus_since.entry(state.pool.clone()).or_insert(now);
        let is_planned = changes.iter().any(|c| c.pool == state.pool);
        if now - since >= DRIFT_TIMEOUT && !is_planned {
            surplus_since.insert(state.pool.clone(), now);
            corrections.push(Change {
                pool: state.pool.clone(),
                from: state.ready + state.starting,
                to: state.ordered,
                reason: "drift",
            });
        }
    }
    corrections
}

fn new_order(id: u64, guard: Guard, change: &Change) -> Order {
    Order {
        id,
        fence: guard.fence(),
        zone: change.pool.zone.clone(),
        count: change.to,
        reclaimable: change.pool.reclaimable,
        reason: change.reason.to_owned(),
    }
}

/// Number of endpoints of one pool in the instance list.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    ready: u32,
    starting: u32,
}

/// The platform's instance list with its counts by pool.
struct ListSnapshot {
    /// Latest time that the list can describe.
    time: Instant,
    list: InstanceList,
    counts: BTreeMap<CapacityPool, Counts>,
}

impl ListSnapshot {
    fn new(time: Instant, list: &InstanceList) -> Self {
        let mut counts: BTreeMap<CapacityPool, Counts> = BTreeMap::new();
        for instance in &list.instances {
            let pool = CapacityPool {
                zone: instance.zone.clone(),
                reclaimable: instance.reclaimable,
            };
            let counts = counts.entry(pool).or_default();
            match instance.state {
                InstanceState::Live => counts.ready += 1,
                InstanceState::Starting => counts.starting += 1,
                InstanceState::Leaving => {}
            }
        }
        Self {
            time,
            list: list.clone(),
            counts,
        }
    }

    fn counts(&self, pool: &CapacityPool) -> Counts {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Returns the state of each pool that the platform offers.
    fn pools(&self, state: &State) -> Vec<PoolState> {
        let mut pools: BTreeMap<CapacityPool, PoolState> = BTreeMap::new();
        for offer in &self.list.offers {
            let pool = CapacityPool {
                zone: offer.zone.clone(),
                reclaimable: offer.reclaimable,
            };
            let counts = self.counts(&pool);
            let pool_state = PoolState {
                price: offer.price,
                limit: offer.limit,
                ready: counts.ready,
                starting: counts.starting,
                ordered: 0,
                pool: pool.clone(),
            };
            pools.insert(pool, pool_state);
        }
        // An open order overrides the accepted one.
        for record in state.orders().accepted().chain(state.orders().open()) {
            if let Some(pool_state) = pools.get_mut(&CapacityPool::from(&record.order)) {
                pool_state.ordered = record.order.count;
            }
        }
        pools.into_values().collect()
    }
}

const _: () = assert!(LIST_SETTLE_TIME.as_secs() < MAX_LIST_LAG.as_secs());
