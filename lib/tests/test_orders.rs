//! Tests of the order driver against a simulated platform with lost messages and lease changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fulmarford_lib::clock::Clock;
use fulmarford_lib::clock::ManualClock;
use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::command::LeaseKind;
use fulmarford_lib::command::Order;
use fulmarford_lib::command::OrderState;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::StampedCommand;
use fulmarford_lib::command::Timestamp;
use fulmarford_lib::lease::LeaseHolder;
use fulmarford_lib::order::CapacityPool;
use fulmarford_lib::orders;
use fulmarford_lib::orders::Action;
use fulmarford_lib::orders::Call;
use fulmarford_lib::orders::CallResult;
use fulmarford_lib::orders::Inputs;
use fulmarford_lib::orders::OrderDriver;
use fulmarford_lib::orders::Record;
use fulmarford_lib::placement::StoreLimit;
use fulmarford_lib::platform::Offer;
use fulmarford_lib::platform::PlatformClient;
use fulmarford_lib::platform::PlatformError;
use fulmarford_lib::platform::PlatformOrder;
use fulmarford_lib::scaler::ClassDemand;
use fulmarford_lib::scaler::ZoneScaler;
use fulmarford_lib::state::State;
use fulmarford_testutils::fake_platform::FakePlatform;
use fulmarford_testutils::fake_platform::PlatformModel;
use fulmarford_testutils::harness::Harness;
use fulmarford_testutils::harness::incarnation;
use googletest::prelude::*;
use proptest::prelude::any;
use proptest::proptest;
use rand::Rng;

const STEP: Duration = Duration::from_millis(250);
const SLOTS: u32 = 8;
const LIMIT: StoreLimit = StoreLimit {
    loads_per_minute: 10.0,
    burst: 2.0,
};

fn offers() -> Vec<Offer> {
    let offer = |i: usize| Offer {
        zone: format!("z{}", i / 2).into(),
        reclaimable: i % 2 == 1,
        price: if i % 2 == 1 { 0.7 } else { 2.0 },
        limit: 20,
    };
    (0..6).map(offer).collect()
}

fn driver(me: Incarnation) -> OrderDriver {
    OrderDriver::new(me, Box::<ZoneScaler>::default(), LIMIT)
}

/// Simulation of two competing drivers, one state machine and a platform that ignores fencing.
struct Simulation {
    harness: Harness,
    platform: PlatformModel,
    drivers: Vec<OrderDriver>,
    /// Results in transit: the step of arrival, the index of the driver, the call and its result.
    results: VecDeque<(u64, usize, Call, CallResult)>,
    /// Executed orders by id.
    executed: BTreeMap<u64, PlatformOrder>,
    busy_slots: f64,
    steps: u64,
    restarts: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut platform = PlatformModel::new(offers());
        platform.fencing = false;
        platform.boot_time = Duration::from_secs(20);
        Self {
            harness: Harness::new(seed),
            platform,
            drivers: (0..2).map(|n| driver(incarnation(n, 0))).collect(),
            results: VecDeque::new(),
            executed: BTreeMap::new(),
            busy_slots: 40.0,
            steps: 0,
            restarts: 0,
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        self.harness.clock.advance(STEP);
        if self.harness.draw_fault(0.004) {
            self.harness.change_leader();
        }
        if self.harness.draw_fault(0.01) {
            self.busy_slots = self.harness.rng.random_range(0.0..120.0);
        }
        if self.harness.draw_fault(0.003) {
            let zone = self.harness.rng.random_range(0..3);
            let pool = CapacityPool {
                zone: format!("z{zone}").into(),
                reclaimable: true,
            };
            self.platform.reclaim(self.harness.elapsed(), &pool);
        }
        for n in 0..self.drivers.len() {
            if self.harness.draw_fault(0.003) {
                self.restarts += 1;
                self.drivers[n] = driver(incarnation(n, self.restarts));
                self.results.retain(|(_, owner, ..)| *owner != n);
            }
            self.drive(n);
        }
    }

    fn drive(&mut self, n: usize) {
        let (now, wall) = self.harness.now();
        let due =
            |(at, owner, ..): &(u64, usize, Call, CallResult)| *at <= self.steps && *owner == n;
        while let Some(i) = self.results.iter().position(due) {
            if let Some((_, _, call, result)) = self.results.remove(i) {
                self.drivers[n].handle_result(now, &call, &result);
            }
        }
        let demand = [ClassDemand {
            class: "c".into(),
            tier: 1,
            target: Some(Duration::from_millis(800)),
            busy_slots: self.busy_slots,
        }];
        let inputs = Inputs {
            state: &self.harness.state,
            demand: &demand,
            slots: SLOTS,
            engines: &[],
            models: &[],
        };
        for action in self.drivers[n].step(now, wall, &inputs) {
            match action {
                Action::Lease {
                    requested_at,
                    command,
                } => {
                    if let Some(reply) = self.harness.submit(command) {
                        self.drivers[n].handle_lease_reply(requested_at, &reply);
                    }
                }
                Action::Submit(command) => {
                    self.harness.submit(command);
                }
                Action::Call(call) => {
                    let result = self.call(&call);
                    let at = self.steps + self.harness.rng.random_range(0..8);
                    self.results.push_back((at, n, call, result));
                }
                Action::Log(record) => {
                    assert!(serde_json::to_string(&record).is_ok());
                }
            }
        }
    }

    fn call(&mut self, call: &Call) -> CallResult {
        if self.harness.draw_fault(0.05) {
            return Err(PlatformError::Unreachable("refused".to_owned()));
        }
        let now = self.harness.elapsed();
        let Call::Order { order, guard } = call else {
            return Ok(Some(self.platform.list(now)));
        };
        if self.harness.draw_fault(0.1) {
            return Err(PlatformError::Unknown("request lost".to_owned()));
        }
        self.execute(now, order, guard.fence());
        if self.harness.draw_fault(0.2) {
            return Err(PlatformError::Unknown("response lost".to_owned()));
        }
        Ok(None)
    }

    fn execute(&mut self, now: Duration, order: &Order, fence: u64) {
        let recorded = self
            .harness
            .state
            .orders()
            .open()
            .any(|r| r.order == *order);
        assert!(
            recorded,
            "order {} was sent before it was recorded as open",
            order.id
        );
        let last = self.platform.writes.last().map_or(0, |w| w.fence);
        assert!(
            fence >= last,
            "a write of an earlier holder arrived after one of its successor"
        );
        let body = PlatformOrder {
            id: order.id,
            fence: order.fence,
            zone: order.zone.clone(),
            count: order.count,
            reclaimable: order.reclaimable,
        };
        let before = self
            .executed
            .entry(order.id)
            .or_insert_with(|| body.clone());
        assert_eq!(*before, body, "two orders share one id");
        self.platform.order(now, &PlatformOrder { fence, ..body });
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(64))]

    /// Guards against sending an order before it is recorded, under the id of another order or after
    /// a write of the next lease holder, and against endpoints that never match the accepted orders.
    /// The simulation loses messages, reclaims endpoints, restarts drivers and elects leaders.
    #[test]
    fn step_through_faults(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);
        (0..1_600).for_each(|_| simulation.step());
        simulation.harness.faults = false;
        simulation.busy_slots = 60.0;
        (0..4_000).for_each(|_| simulation.step());
        let orders = simulation.harness.state.orders();
        proptest::prop_assert_eq!(orders.open().count(), 0);
        let ordered: u32 = orders.accepted().map(|r| r.order.count).sum();
        proptest::prop_assert_eq!(simulation.platform.ready(), ordered);
        proptest::prop_assert!(f64::from(ordered * SLOTS) >= 60.0);
    }
}

fn count_steps(reason: &str, records: &[Record]) -> usize {
    let matches = |r: &&Record| matches!(r, Record::Step { reason: r, .. } if *r == reason);
    records.iter().filter(matches).count()
}

/// Returns a driver and a state that has one open order of the previous lease holder.
fn take_over(clock: &ManualClock, count: u32) -> (OrderDriver, State, PlatformModel) {
    let mut state = State::default();
    let hold = |who: usize, replaces| Command::HoldLease {
        lease: LeaseKind::Orders,
        holder: incarnation(who, 0),
        replaces: Some(replaces),
    };
    let order = Order {
        id: 1,
        fence: 1,
        zone: "z0".into(),
        count,
        reclaimable: false,
        reason: "demand".to_owned(),
    };
    let commands = [hold(7, 0), Command::PlaceOrder(order), hold(1, 1)];
    for (index, command) in (1..).zip(commands) {
        let at = Timestamp(index);
        state.apply(index, &StampedCommand { at, command });
    }
    let mut driver = driver(incarnation(1, 0));
    driver.handle_lease_reply(clock.now(), &Reply::LeaseDenied);
    (driver, state, PlatformModel::new(offers()))
}

fn response_lost() -> PlatformError {
    PlatformError::Unknown("lost".to_owned())
}

/// Runs a driver while every order that it sends fails with `error`.
///
/// Returns its decision records, the number of orders sent and the final state. `sent_before` says
/// whether the platform has executed the order of the previous lease holder.
fn observe(
    count: u32,
    sent_before: bool,
    seconds: u64,
    error: &PlatformError,
) -> (Vec<Record>, usize, State) {
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(1_000));
    let (mut driver, mut state, mut platform) = take_over(&clock, count);
    let base = clock.now();
    if sent_before {
        let order = state
            .orders()
            .open()
            .next()
            .expect("one is open")
            .order
            .clone();
        platform.order(
            Duration::ZERO,
            &PlatformOrder {
                id: order.id,
                fence: 1,
                zone: order.zone,
                count: order.count,
                reclaimable: order.reclaimable,
            },
        );
    }
    let (mut records, mut sent) = (Vec::new(), 0);
    for _ in 0..4 * seconds {
        clock.advance(STEP);
        let (now, wall) = (clock.now(), clock.wall());
        let inputs = Inputs {
            state: &state,
            demand: &[],
            slots: SLOTS,
            engines: &[],
            models: &[],
        };
        for action in driver.step(now, wall, &inputs) {
            match action {
                Action::Lease { requested_at, .. } => {
                    driver.handle_lease_reply(requested_at, &Reply::LeaseHeld { fence: 2 });
                }
                // New orders are not recorded, because the test is about the open one.
                Action::Submit(command @ Command::CloseOrder { .. }) => {
                    let index = state.index() + 1;
                    let at = state.now();
                    state.apply(index, &StampedCommand { at, command });
                }
                Action::Submit(_) => {}
                Action::Call(call) => {
                    if matches!(call, Call::Order { .. }) {
                        sent += 1;
                    }
                    let result = match &call {
                        Call::Order { .. } => Err(error.clone()),
                        _ => Ok(Some(platform.list(now - base))),
                    };
                    driver.handle_result(now, &call, &result);
                }
                Action::Log(record) => records.push(record),
            }
        }
    }
    (records, sent, state)
}

/// Guards against resending an order that the lagging list shows as executed.
#[gtest]
fn reconcile_executed_order() {
    let (records, sent, state) = observe(3, true, 30, &response_lost());
    expect_that!(sent, eq(0));
    expect_that!(count_steps("listed", &records), eq(1));
    let closed: Vec<_> = state.orders().closed().map(|r| r.state).collect();
    expect_that!(closed, eq(&vec![OrderState::Accepted]));
}

/// Guards against resending an order before the list can show it, and against never resending a
/// lost one.
#[gtest]
fn reconcile_lost_order() {
    let (_, early, _) = observe(3, false, 12, &response_lost());
    expect_that!(early, eq(0));
    let (records, sent, _) = observe(3, false, 40, &response_lost());
    expect_that!(sent, all!(ge(1), le(3)));
    expect_that!(count_steps("not_listed", &records), eq(sent));
}

/// Guards against an order that stays open for ever after the platform refuses its resend.
#[gtest]
fn reconcile_refused_order() {
    let refused = PlatformError::Refused {
        status: 422,
        message: "no such offer".to_owned(),
    };
    let (_, sent, state) = observe(3, false, 40, &refused);
    expect_that!(sent, eq(1));
    let closed: Vec<_> = state.orders().closed().map(|r| r.state).collect();
    expect_that!(closed, eq(&vec![OrderState::Refused]));
}

/// Guards against accepting an order because a list from before it shows the ordered number.
#[gtest]
fn reconcile_old_list() {
    let (records, _, _) = observe(0, false, 4, &response_lost());
    expect_that!(count_steps("listed", &records), eq(0));
    let (records, _, _) = observe(0, false, 8, &response_lost());
    expect_that!(count_steps("listed", &records), eq(1));
}

/// Guards against endpoints that run for ever without an order. They are left over when an order
/// whose response was lost is wrongly considered executed.
#[gtest]
fn plan_repeats_after_drift() {
    let mut simulation = Simulation::new(1);
    simulation.harness.faults = false;
    (0..800).for_each(|_| simulation.step());
    let now = simulation.harness.elapsed();
    let ready = simulation.platform.ready();
    let record = simulation.harness.state.orders().accepted().next();
    let order = record.expect("an order was accepted").order.clone();
    let unknown = PlatformOrder {
        id: 1_000_000,
        fence: order.fence,
        zone: order.zone,
        count: order.count + 2,
        reclaimable: order.reclaimable,
    };
    simulation.platform.order(now, &unknown);
    (0..120).for_each(|_| simulation.step());
    expect_that!(simulation.platform.ready(), eq(ready + 2));
    (0..480).for_each(|_| simulation.step());
    expect_that!(simulation.platform.ready(), eq(ready));
    let mut orders = simulation.harness.state.orders().closed();
    expect_that!(orders.any(|r| r.order.reason == "drift"), eq(true));
}

/// Guards against calls that do not match the platform's HTTP interface.
#[gtest]
fn run_over_loopback() {
    let fake = FakePlatform::spawn(PlatformModel::new(offers())).expect("a port is free");
    let clock = Arc::new(SystemClock);
    let platform = PlatformClient::new(fake.address(), clock.clone());
    let (now, wall) = (clock.now(), clock.wall());
    let mut holder = LeaseHolder::new(LeaseKind::Orders, incarnation(1, 1));
    holder.step(now, wall).expect("a lease request is due");
    holder.handle_reply(now, &Reply::LeaseHeld { fence: 1 });
    let guard = holder.guard(now, wall).expect("the lease is held");
    let list = orders::run(&platform, &Call::List { requested_at: now });
    expect_that!(list, ok(some(anything())));
    let order = Order {
        id: 1,
        fence: 1,
        zone: "z9".into(),
        count: 1,
        reclaimable: false,
        reason: String::new(),
    };
    let refused = orders::run(&platform, &Call::Order { order, guard });
    let status = matches_pattern!(PlatformError::Refused { status: &422, .. });
    expect_that!(refused, err(status));
}
