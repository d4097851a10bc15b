//! Tests of the platform client against a fake platform on a loopback port.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fulmarford_lib::clock::Clock;
use fulmarford_lib::clock::ManualClock;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::command::LeaseKind;
use fulmarford_lib::command::Order;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::Window;
use fulmarford_lib::lease::Guard;
use fulmarford_lib::lease::LeaseHolder;
use fulmarford_lib::platform::EngineAction;
use fulmarford_lib::platform::Offer;
use fulmarford_lib::platform::PlatformClient;
use fulmarford_lib::platform::PlatformError;
use fulmarford_testutils::fake_platform::FakePlatform;
use fulmarford_testutils::fake_platform::Fault;
use fulmarford_testutils::fake_platform::PlatformModel;
use googletest::prelude::*;

fn guard(clock: &dyn Clock, fence: u64) -> Guard {
    let me = Incarnation {
        instance: "i".into(),
        number: 1,
    };
    let (now, wall) = (clock.now(), clock.wall());
    let mut holder = LeaseHolder::new(LeaseKind::Orders, me);
    holder.step(now, wall).expect("a lease request is due");
    holder.handle_reply(now, &Reply::LeaseHeld { fence });
    holder.guard(now, wall).expect("the lease is held")
}

fn order(id: u64) -> Order {
    Order {
        id,
        fence: 1,
        zone: "z".into(),
        count: 2,
        reclaimable: false,
        reason: String::new(),
    }
}

fn start() -> (FakePlatform, Arc<ManualClock>, PlatformClient) {
    let offer = Offer {
        zone: "z".into(),
        reclaimable: false,
        price: 1.0,
        limit: 10,
    };
    let fake = FakePlatform::spawn(PlatformModel::new(vec![offer])).expect("a port is free");
    let clock = Arc::new(ManualClock::default());
    let platform = PlatformClient::new(fake.address(), clock.clone());
    (fake, clock, platform)
}

/// Guards against executing an order twice after its response was lost, and against reporting the
/// rejection of an old fencing number as anything but refused.
#[gtest]
fn order_response_lost() {
    let (fake, clock, platform) = start();
    let guard_5 = guard(clock.as_ref(), 5);
    fake.inject(Fault::LoseResponse);
    let lost = platform.order(guard_5, &order(1));
    expect_that!(lost, err(matches_pattern!(PlatformError::Unknown(_))));
    expect_that!(platform.order(guard_5, &order(1)), ok(eq(&())));
    expect_that!(fake.with_model(|m| m.orders().len()), eq(1));
    let stale = platform.order(guard(clock.as_ref(), 4), &order(2));
    expect_that!(
        stale,
        err(matches_pattern!(PlatformError::Refused {
            status: &409,
            ..
        }))
    );
    let list = platform.list_instances().expect("the list is readable");
    expect_that!(list.offers.len(), eq(1));
}

/// Guards against a write after the lease has expired.
#[gtest]
fn order_after_lease() {
    let (fake, clock, platform) = start();
    let old = guard(clock.as_ref(), 1);
    clock.advance(Duration::from_secs(4));
    expect_that!(
        platform.order(old, &order(1)),
        err(eq(&PlatformError::LeaseLost))
    );
    expect_that!(fake.bodies(), is_empty());
}

/// Clock on which the lease expires after the first reading.
struct ExpiringClock {
    base: Instant,
    readings: AtomicU32,
}

impl Clock for ExpiringClock {
    fn now(&self) -> Instant {
        let readings = self.readings.fetch_add(1, Ordering::Relaxed);
        self.base + Duration::from_secs(if readings < 1 { 0 } else { 10 })
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Guards against sending the body of a call after a pause in which the lease expired, to a platform
/// that ignores fencing numbers.
#[gtest]
fn order_paused_before_body() {
    let (fake, clock, _) = start();
    fake.with_model(|m| m.fencing = false);
    let expiring = ExpiringClock {
        base: clock.now(),
        readings: AtomicU32::new(0),
    };
    let platform = PlatformClient::new(fake.address(), Arc::new(expiring));
    let result = platform.order(guard(clock.as_ref(), 1), &order(1));
    expect_that!(result, err(eq(&PlatformError::LeaseLost)));
    expect_that!(fake.bodies(), is_empty());
    expect_that!(fake.with_model(|m| m.orders().len()), eq(0));
}

/// Guards against a call that blocks for longer than its lease lasts.
#[gtest]
fn order_bounded_by_lease() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = unresponsive.local_addr().expect("the listener is bound");
    let clock = Arc::new(ManualClock::default());
    let platform = PlatformClient::new(address, clock.clone());
    let guard = guard(clock.as_ref(), 1);
    clock.advance(Duration::from_millis(3_700));
    let started = Instant::now();
    let result = platform.order(guard, &order(1));
    expect_that!(result, err(matches_pattern!(PlatformError::Unknown(_))));
    expect_that!(started.elapsed(), le(Duration::from_secs(1)));
}

/// Guards against reporting an unreachable platform as an unknown outcome.
#[gtest]
fn order_unreachable() {
    let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let clock = Arc::new(ManualClock::default());
    let platform = PlatformClient::new(free.expect("a port is free"), clock.clone());
    let result = platform.order(guard(clock.as_ref(), 1), &order(1));
    expect_that!(result, err(matches_pattern!(PlatformError::Unreachable(_))));
}

/// Guards against usage reports, engine orders and KV cache moves that do not match the HTTP interface.
#[gtest]
fn writes_arrive_whole() {
    let (fake, clock, platform) = start();
    let guard = guard(clock.as_ref(), 3);
    let engine = fake.address();
    let bytes = vec![b' '; 100_000];
    expect_that!(platform.report(guard, Window(60), &bytes), ok(eq(&())));
    let load = EngineAction::Load { model: "m".into() };
    expect_that!(platform.order_engine(guard, engine, &load), ok(eq(&())));
    expect_that!(platform.move_kv(guard, engine, engine), ok(eq(&())));
    let bodies = fake.bodies();
    let paths: Vec<_> = bodies.iter().map(|(path, _)| path.as_str()).collect();
    let expected = ["/v1/usage/60", "/admin/orders", "/kv/export", "/kv/import"];
    expect_that!(paths, eq(&expected.to_vec()));
    expect_that!(bodies[0].1.len(), eq(bytes.len()));
    let text = String::from_utf8_lossy(&bodies[1].1).into_owned();
    expect_that!(text, eq(r#"{"fence":3,"action":"load","model":"m"}"#));
    expect_that!(fake.engine_orders().len(), eq(1));
}
