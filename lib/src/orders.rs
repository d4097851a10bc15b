//! Driver of endpoint and engine orders: holds the order lease, plans, records, sends, reconciles.
//!
//! [`OrderDriver::step`] is pure. The caller submits the commands, makes the calls with [`run`] on a
//! thread that may block, and hands the results back.
//!
//! An order is sent only after it is seen recorded in the state. When its answer is lost, the
//! platform's list decides: an order that the list shows is closed as accepted; one that a list
//! from well after the call does not show is sent again under the same number, by which the
//! platform recognises it.

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
use crate::order::Place;
use crate::placement::Engine;
use crate::placement::EngineChange;
use crate::placement::KvMove;
use crate::placement::ModelDemand;
use crate::placement::Placement;
use crate::placement::StoreLimit;
use crate::platform::InstanceList;
use crate::platform::InstanceState;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::scaler::Change;
use crate::scaler::ClassDemand;
use crate::scaler::HOLD;
use crate::scaler::Inputs as ScalerInputs;
use crate::scaler::LIST_LAG;
use crate::scaler::PlaceState;
use crate::scaler::Plan;
use crate::scaler::Scaler;
use crate::state::State;

/// Interval at which the list is fetched.
pub const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Oldest list that is planned from.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(60);

/// Interval at which endpoints are planned.
pub const PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// Age after the call at which a list that does not show an order proves that it was not executed.
pub const SETTLE: Duration = Duration::from_secs(10);

/// Interval at which models are placed.
pub const PLACE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a place is left alone after the platform refused an order for it.
pub const REFUSED_WAIT: Duration = Duration::from_secs(60);

/// How long more endpoints than ordered may run before the order is repeated under a new number.
///
/// An order whose answer was lost can be taken for executed when endpoints were reclaimed meanwhile.
pub const DRIFT: Duration = Duration::from_secs(60);

/// Wait before an order is sent again that no connection was made for.
pub const RETRY: Duration = Duration::from_secs(2);

/// Time after which a command whose effect is not seen is submitted again.
pub const RESUBMIT: Duration = Duration::from_secs(2);

/// What the driver decides from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// Demand by class.
    pub demand: &'a [ClassDemand],
    /// Requests that one endpoint processes at once.
    pub slots: u32,
    /// The engines.
    pub engines: &'a [Engine],
    /// Demand by model.
    pub models: &'a [ModelDemand],
}

/// What the caller must do after a step.
#[derive(Clone, Debug)]
pub enum Action {
    /// Submit a lease request and hand its reply to [`OrderDriver::lease_reply`] with `asked`.
    Lease {
        /// When the request was made.
        asked: Instant,
        /// The request.
        command: Command,
    },
    /// Submit a command; its effect is seen in the state.
    Submit(Command),
    /// Make a call with [`run`] and hand the result to [`OrderDriver::called`].
    Call(Call),
    /// Write one line to the decision log.
    Log(Record),
}

/// A call to the platform or to an engine.
#[derive(Clone, Debug)]
pub enum Call {
    /// Fetch the list.
    List {
        /// When the call was decided.
        asked: Instant,
    },
    /// Send a recorded order.
    Order {
        /// The order.
        order: Order,
        /// Permission to send.
        guard: Guard,
    },
    /// Send an order to an engine.
    Engine {
        /// The order.
        change: EngineChange,
        /// Permission to send.
        guard: Guard,
    },
    /// Move the KV cache of a leaving engine.
    MoveKv {
        /// The move.
        kv: KvMove,
        /// Permission to send.
        guard: Guard,
    },
}

/// Result of a call: the list, or nothing for a write.
pub type CallResult = Result<Option<InstanceList>, PlatformError>;

/// Makes a call. A write blocks for at most the remaining time of the lease.
pub fn run(platform: &Platform, call: &Call) -> CallResult {
    let done = |()| None;
    match call {
        Call::List { .. } => platform.instances().map(Some),
        Call::Order { order, guard } => platform.order(*guard, order).map(done),
        Call::Engine { change, guard } => platform
            .engine(*guard, change.address, &change.action)
            .map(done),
        Call::MoveKv { kv, guard } => platform
            .move_kv(*guard, kv.source_address, kv.target_address)
            .map(done),
    }
}

/// One decision with its reason, for the decision log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// A plan that changes something.
    Plan(Plan),
    /// A step of one order, or a call to an engine.
    Step {
        /// Kind of the record.
        kind: &'static str,
        /// Short name of the rule that decided.
        reason: &'static str,
        /// The order, the engine or the engines.
        subject: String,
        /// Fencing number of the order lease.
        fence: u64,
        /// The error of the call, if it failed.
        #[serde(skip_serializing_if = "Option::is_none")]
        error: Option<String>,
    },
}

/// How far an open order is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Progress {
    /// Not sent, and not to be sent before this time.
    Unsent(Instant),
    InFlight {
        uncertain: Option<Instant>,
    },
    /// May have been executed, at this time at the latest.
    Unknown(Instant),
    /// Ended like this; the state does not show it yet.
    Ended(OrderState, Option<Instant>),
}

/// Holds the order lease and carries out what the scaler and the placement plan.
pub struct OrderDriver {
    holder: LeaseHolder,
    scaler: Box<dyn Scaler>,
    placement: Placement,
    fence: Option<u64>,
    /// Since when this grant is held.
    since: Option<Instant>,
    list: Option<Listed>,
    list_asked: Option<Instant>,
    fetching: bool,
    planned: Option<Instant>,
    /// Orders submitted for recording and not seen in the state.
    recording: BTreeMap<u64, (Order, Instant)>,
    progress: BTreeMap<u64, Progress>,
    /// Until when a place is left alone.
    refused: BTreeMap<Place, Instant>,
    /// Since when more endpoints than ordered run.
    drift: BTreeMap<Place, Instant>,
    placed: Option<Instant>,
    calls: usize,
    records: Vec<Record>,
    stopping: bool,
}

impl OrderDriver {
    /// Creates the driver of a process that does not hold the lease.
    pub fn new(me: Incarnation, scaler: Box<dyn Scaler>, limit: StoreLimit) -> Self {
        Self {
            holder: LeaseHolder::new(LeaseKind::Orders, me),
            scaler,
            placement: Placement::new(limit),
            fence: None,
            since: None,
            list: None,
            list_asked: None,
            fetching: false,
            planned: None,
            recording: BTreeMap::new(),
            progress: BTreeMap::new(),
            refused: BTreeMap::new(),
            drift: BTreeMap::new(),
            placed: None,
            calls: 0,
            records: Vec::new(),
            stopping: false,
        }
    }

    /// Returns the platform's list, if this process has fetched it under its lease.
    pub fn list(&self) -> Option<&InstanceList> {
        self.list.as_ref().map(|listed| &listed.list)
    }

    /// Takes in the reply to a lease request.
    pub fn lease_reply(&mut self, asked: Instant, reply: &Reply) {
        self.holder.reply(asked, reply);
    }

    /// Stops starting calls; the lease is given up once none is in flight.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Tells whether the driver was stopped, has no call in flight and has given the lease up.
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.calls == 0 && self.holder.is_released()
    }

    /// Decides what to do now; called several times a second.
    pub fn step(&mut self, now: Instant, wall: SystemTime, inputs: &Inputs<'_>) -> Vec<Action> {
        let mut actions: Vec<_> = self.records.drain(..).map(Action::Log).collect();
        if self.stopping {
            if self.calls == 0 {
                actions.extend(self.holder.release(now).map(Action::Submit));
            }
            return actions;
        }
        if let Some(command) = self.holder.step(now, wall) {
            actions.push(Action::Lease {
                asked: now,
                command,
            });
        }
        if let Some(guard) = self.holder.guard(now, wall) {
            self.work(now, inputs, guard, &mut actions);
        }
        actions.extend(self.records.drain(..).map(Action::Log));
        actions
    }

    fn work(&mut self, now: Instant, inputs: &Inputs<'_>, guard: Guard, actions: &mut Vec<Action>) {
        if self.fence != Some(guard.fence()) {
            self.take_over(now, guard);
        }
        self.fetch(now, actions);
        self.record_again(now, inputs.state, actions);
        self.advance(now, inputs.state, guard, actions);
        self.plan(now, inputs, guard, actions);
        self.place(now, inputs, guard, actions);
    }

    /// Starts from the recorded state alone: what an earlier holder sent is unknown.
    fn take_over(&mut self, now: Instant, guard: Guard) {
        self.fence = Some(guard.fence());
        self.since = Some(now);
        self.list = None;
        self.planned = None;
        self.recording.clear();
        self.progress.clear();
    }

    fn fetch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let recent = self.list_asked.is_some_and(|t| now - t < LIST_INTERVAL);
        if self.fetching || recent {
            return;
        }
        self.fetching = true;
        self.list_asked = Some(now);
        self.call(Call::List { asked: now }, actions);
    }

    fn call(&mut self, call: Call, actions: &mut Vec<Action>) {
        self.calls += 1;
        actions.push(Action::Call(call));
    }

    fn record_again(&mut self, now: Instant, state: &State, actions: &mut Vec<Action>) {
        let orders = state.orders();
        let next = orders.next_id();
        self.recording.retain(|id, _| *id >= next);
        for (order, at) in self.recording.values_mut() {
            if now - *at >= RESUBMIT {
                *at = now;
                actions.push(Action::Submit(Command::PlaceOrder(order.clone())));
            }
        }
    }

    /// Takes each open order one step further.
    fn advance(&mut self, now: Instant, state: &State, guard: Guard, actions: &mut Vec<Action>) {
        let open: Vec<_> = state.orders().open().map(|r| r.order.clone()).collect();
        self.progress
            .retain(|id, _| open.iter().any(|o| o.id == *id));
        for order in open {
            // An order of an earlier holder may have been sent until now.
            let first = match order.fence == guard.fence() {
                true => Progress::Unsent(now),
                false => Progress::Unknown(now),
            };
            let progress = *self.progress.entry(order.id).or_insert(first);
            let next = self.next(now, &order, progress, guard, actions);
            self.progress.insert(order.id, next);
        }
    }

    fn next(
        &mut self,
        now: Instant,
        order: &Order,
        progress: Progress,
        guard: Guard,
        actions: &mut Vec<Action>,
    ) -> Progress {
        match progress {
            Progress::Unsent(at) if now >= at => self.send(order, guard, None, "recorded", actions),
            Progress::Unknown(at) => match self.listed(order, at) {
                Some(true) => {
                    self.log("order", "listed", order.id, None);
                    Progress::Ended(OrderState::Accepted, None)
                }
                Some(false) => self.send(order, guard, Some(at), "not_listed", actions),
                None => progress,
            },
            Progress::Ended(state, at) if at.is_none_or(|t| now - t >= RESUBMIT) => {
                let order = order.id;
                actions.push(Action::Submit(Command::CloseOrder { order, state }));
                Progress::Ended(state, Some(now))
            }
            other => other,
        }
    }

    fn send(
        &mut self,
        order: &Order,
        guard: Guard,
        uncertain: Option<Instant>,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) -> Progress {
        self.log("order", reason, order.id, None);
        let order = order.clone();
        self.call(Call::Order { order, guard }, actions);
        Progress::InFlight { uncertain }
    }

    /// Tells whether the list shows an order that was sent at this time at the latest, if it can.
    fn listed(&self, order: &Order, sent: Instant) -> Option<bool> {
        let listed = self.list.as_ref()?;
        let counts = listed.counts(&Place::from(order));
        let shown = counts.ready + counts.starting == order.count;
        if shown && listed.time >= sent {
            Some(true)
        } else if listed.time >= sent + SETTLE {
            Some(false)
        } else {
            None
        }
    }

    fn plan(&mut self, now: Instant, inputs: &Inputs<'_>, guard: Guard, actions: &mut Vec<Action>) {
        let recent = self.planned.is_some_and(|t| now - t < PLAN_INTERVAL);
        let Some(listed) = &self.list else {
            return;
        };
        if recent || now.saturating_duration_since(listed.time) > MAX_LIST_AGE {
            return;
        }
        self.planned = Some(now);
        let places = listed.places(inputs.state);
        let mut plan = self.scaler.plan(
            now,
            &ScalerInputs {
                demand: inputs.demand,
                places: &places,
                slots: inputs.slots,
            },
        );
        // The scaler of a new holder has not seen the demand of the last minutes.
        let new = self.since.is_none_or(|t| now - t < HOLD);
        let busy = |place: &Place| {
            let open = inputs.state.orders().open().map(|r| &r.order);
            let recording = self.recording.values().map(|(order, _)| order);
            open.chain(recording).any(|o| Place::from(o) == *place)
        };
        plan.changes.retain(|c| c.to > c.from || !new);
        let drifted = drifted(&mut self.drift, now, &places, &plan.changes);
        plan.changes.extend(drifted);
        self.refused.retain(|_, until| now < *until);
        plan.changes
            .retain(|c| !busy(&c.place) && !self.refused.contains_key(&c.place));
        if plan.changes.is_empty() {
            return;
        }
        let mut id = inputs.state.orders().next_id();
        if let Some((last, _)) = self.recording.last_key_value() {
            id = id.max(last + 1);
        }
        for change in &plan.changes {
            let order = order(id, guard, change);
            id += 1;
            self.recording.insert(order.id, (order.clone(), now));
            actions.push(Action::Submit(Command::PlaceOrder(order)));
        }
        self.records.push(Record::Plan(plan));
    }

    fn place(
        &mut self,
        now: Instant,
        inputs: &Inputs<'_>,
        guard: Guard,
        actions: &mut Vec<Action>,
    ) {
        if self.placed.is_none_or(|t| now - t >= PLACE_INTERVAL) {
            self.placed = Some(now);
            for change in self.placement.plan(now, inputs.engines, inputs.models) {
                self.log("engine_order", change.reason, &change.engine, None);
                self.call(Call::Engine { change, guard }, actions);
            }
        }
        for kv in self.placement.plan_moves(inputs.engines) {
            let subject = format!("{} to {}", kv.from, kv.to);
            self.log("kv_move", "leaving", subject, None);
            self.call(Call::MoveKv { kv, guard }, actions);
        }
    }

    /// Takes in the result of a call.
    pub fn called(&mut self, now: Instant, call: &Call, result: &CallResult) {
        self.calls = self.calls.saturating_sub(1);
        if matches!(result, Err(PlatformError::Unknown(_))) && !matches!(call, Call::List { .. }) {
            self.holder.note_unknown(now);
        }
        let error = result.as_ref().err();
        match call {
            Call::List { asked } => {
                self.fetching = false;
                match result {
                    Ok(Some(list)) => self.take_list(*asked, list),
                    Ok(None) => {}
                    Err(error) => self.log("list", "failed", "", Some(error)),
                }
            }
            Call::Order { order, .. } => self.order_called(now, order, error),
            Call::Engine { change, .. } => {
                if let Some(error) = error {
                    self.placement.failed(&change.engine);
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

    fn take_list(&mut self, asked: Instant, list: &InstanceList) {
        let age = Duration::from_millis(list.age_ms);
        // A list older than this machine's clock can express is of no use.
        let Some(time) = asked.checked_sub(age) else {
            return;
        };
        if self.list.as_ref().is_none_or(|listed| time >= listed.time) {
            self.list = Some(Listed::new(time, list));
        }
    }

    fn order_called(&mut self, now: Instant, order: &Order, error: Option<&PlatformError>) {
        let Some(Progress::InFlight { uncertain }) = self.progress.get(&order.id).copied() else {
            return;
        };
        let (reason, next) = match error {
            None => ("accepted", Progress::Ended(OrderState::Accepted, None)),
            Some(PlatformError::Unknown(_)) => ("outcome_unknown", Progress::Unknown(now)),
            Some(PlatformError::Refused { status: 409, .. }) => {
                // The platform has seen a newer fencing number, so this lease has ended.
                ("fenced", Progress::Unknown(now))
            }
            // The platform knows the numbers it has executed, so this one was not executed before.
            Some(PlatformError::Refused { .. }) => {
                ("refused", Progress::Ended(OrderState::Refused, None))
            }
            Some(PlatformError::Unreachable(_) | PlatformError::LeaseLost) => {
                let again = Progress::Unsent(now + RETRY);
                ("not_sent", uncertain.map_or(again, Progress::Unknown))
            }
        };
        if reason == "refused" {
            let until = now + REFUSED_WAIT;
            self.refused.insert(Place::from(order), until);
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

/// Returns orders that repeat the last one of places where more runs than ordered for too long.
fn drifted(
    since: &mut BTreeMap<Place, Instant>,
    now: Instant,
    places: &[PlaceState],
    changes: &[Change],
) -> Vec<Change> {
    since.retain(|place, _| {
        let surplus = |p: &&PlaceState| p.place == *place && p.ready + p.starting > p.ordered;
        places.iter().any(|p| surplus(&p))
    });
    let mut repeats = Vec::new();
    for state in places {
        if state.ready + state.starting <= state.ordered {
            continue;
        }
        let first = *since.entry(state.place.clone()).or_insert(now);
        let planned = changes.iter().any(|c| c.place == state.place);
        if now - first >= DRIFT && !planned {
            since.insert(state.place.clone(), now);
            repeats.push(Change {
                place: state.place.clone(),
                from: state.ready + state.starting,
                to: state.ordered,
                reason: "drift",
            });
        }
    }
    repeats
}

fn order(id: u64, guard: Guard, change: &Change) -> Order {
    Order {
        id,
        fence: guard.fence(),
        zone: change.place.zone.clone(),
        count: change.to,
        reclaimable: change.place.reclaimable,
        reason: change.reason.to_owned(),
    }
}

/// Endpoints of one place in the list.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    ready: u32,
    starting: u32,
}

/// The platform's list, counted once when it arrives.
struct Listed {
    /// The moment that it describes, at the latest.
    time: Instant,
    list: InstanceList,
    counts: BTreeMap<Place, Counts>,
}

impl Listed {
    fn new(time: Instant, list: &InstanceList) -> Self {
        let mut counts: BTreeMap<Place, Counts> = BTreeMap::new();
        for instance in &list.instances {
            let place = Place {
                zone: instance.zone.clone(),
                reclaimable: instance.reclaimable,
            };
            let counts = counts.entry(place).or_default();
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

    fn counts(&self, place: &Place) -> Counts {
        self.counts.get(place).copied().unwrap_or_default()
    }

    /// Returns what is known of each place that the platform offers.
    fn places(&self, state: &State) -> Vec<PlaceState> {
        let mut places: BTreeMap<Place, PlaceState> = BTreeMap::new();
        for offer in &self.list.offers {
            let place = Place {
                zone: offer.zone.clone(),
                reclaimable: offer.reclaimable,
            };
            let counts = self.counts(&place);
            let entry = PlaceState {
                price: offer.price,
                limit: offer.limit,
                ready: counts.ready,
                starting: counts.starting,
                ordered: 0,
                place: place.clone(),
            };
            places.insert(place, entry);
        }
        // An open order replaces the accepted one before it.
        for record in state.orders().accepted().chain(state.orders().open()) {
            if let Some(entry) = places.get_mut(&Place::from(&record.order)) {
                entry.ordered = record.order.count;
            }
        }
        places.into_values().collect()
    }
}

const _: () = assert!(SETTLE.as_secs() < LIST_LAG.as_secs());
