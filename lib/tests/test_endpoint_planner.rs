//! Tests of the endpoint planner; each replays a load pattern that the planner must handle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::dialect::EndpointOrder;
use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::endpoint_planner::EndpointPlanner;
use fulmarford_lib::ids::ZoneId;
use fulmarford_lib::route_table::EngineSpec;
use fulmarford_lib::route_table::Scaling;
use fulmarford_lib::route_table::Service;
use fulmarford_lib::service_load::ServiceLoad;
use googletest::prelude::*;

const ZONES: [&str; 3] = ["x", "y", "z"];

fn service(reclaimable: Option<f64>) -> Service {
    let prices = [("x", 0.85), ("y", 1.2), ("z", 1.0)];
    Service {
        id: "llm".into(),
        engine: Some(EngineSpec {
            copy_rate: None,
            moves: false,
            slots: 64,
            memory: 600_000,
        }),
        cold: None,
        scaling: Some(Scaling {
            min: 1,
            max: 6,
            boot: Duration::from_secs(4),
            reclaimable,
            prices: prices.map(|(zone, price)| (zone.into(), price)).to_vec(),
        }),
    }
}

fn load(long: f64, short: f64) -> ServiceLoad {
    ServiceLoad {
        long,
        short,
        calls: if long > 0.0 { 20.0 } else { 0.0 },
        rate: 60.0,
    }
}

/// A planner with a simulated platform that executes every order at once.
struct Fixture {
    planner: EndpointPlanner,
    service: Service,
    held: BTreeMap<(String, bool), u32>,
    now: Instant,
    orders: Vec<EndpointOrder>,
}

impl Fixture {
    fn new(reclaimable: Option<f64>) -> Self {
        let now = Instant::now();
        Self {
            planner: EndpointPlanner::new(now),
            service: service(reclaimable),
            held: ZONES.map(|zone| ((zone.to_owned(), false), 3)).into(),
            now,
            orders: Vec::new(),
        }
    }

    fn list(&self) -> Vec<ListedEndpoint> {
        let mut list = Vec::new();
        for ((zone, reclaimable), count) in &self.held {
            list.extend((0..*count).map(|n| ListedEndpoint {
                id: format!("{zone}-{reclaimable}-{n}").into(),
                service: self.service.id.clone(),
                address: "127.0.0.1:9".parse().expect("an address"),
                zone: zone.as_str().into(),
                slots: 64,
                leaving: false,
                reclaimable: *reclaimable,
                cold: false,
            }));
        }
        list
    }

    fn step(&mut self, long: f64, short: f64) {
        self.now += Duration::from_secs(1);
        let load = load(long, short);
        let list = self.list();
        let orders = self.planner.plan(self.now, &self.service, &load, &list);
        for order in &orders {
            let key = (order.zone.to_string(), order.reclaimable);
            self.held.insert(key, order.count);
        }
        self.orders.extend(orders);
    }

    fn run(&mut self, seconds: u32, long: f64, short: f64) {
        for _ in 0..seconds {
            self.step(long, short);
        }
    }

    fn total(&self) -> u32 {
        self.held.values().sum()
    }

    fn count_of_kind(&self, reclaimable: bool) -> u32 {
        let kinds = self.held.iter().filter(|((_, r), _)| *r == reclaimable);
        kinds.map(|(_, count)| *count).sum()
    }
}

/// Guards against changes of capacity before the first request, other than the replacement of
/// on-demand endpoints by reclaimable ones.
#[gtest]
fn plan_before_load() {
    let mut f = Fixture::new(None);
    f.run(30, 0.0, 0.0);
    expect_that!(f.orders, is_empty());
    let mut f = Fixture::new(Some(0.2));
    f.run(30, 0.0, 0.0);
    // 1.5 times the initial 9, so that 9 or more remain after the loss of one of three zones.
    expect_that!((f.count_of_kind(true), f.count_of_kind(false)), eq((15, 0)));
}

#[gtest]
fn plan_reclaimable_replace_on_demand() {
    let mut f = Fixture::new(Some(0.2));
    f.run(20, 60_000.0, 10_000.0);
    expect_that!(f.count_of_kind(true), ge(4));
    expect_that!(f.count_of_kind(false), eq(0));
}

/// Guards against the release of on-demand endpoints while the reclaimable ones that are to replace
/// them are ordered but not on the list yet.
#[gtest]
fn plan_keeps_on_demand_until_replaced() {
    let mut f = Fixture::new(Some(0.2));
    f.held = ZONES.map(|zone| ((zone.to_owned(), false), 4)).into();
    let list = f.list();
    let load = load(120_000.0, 20_000.0);
    for second in 0..30 {
        let now = f.now + Duration::from_secs(second);
        for order in f.planner.plan(now, &f.service, &load, &list) {
            let least = if order.reclaimable { 0 } else { 2 };
            expect_that!(order.count, all![ge(least), le(6)]);
            if !order.reclaimable {
                let planned = 6 - order.count;
                expect_that!(planned, ge(0));
            }
        }
    }
}

#[gtest]
fn plan_without_reclaimable() {
    let mut f = Fixture::new(None);
    f.run(20, 60_000.0, 10_000.0);
    expect_that!(f.count_of_kind(true), eq(0));
    expect_that!(f.count_of_kind(false), all![ge(4), le(9)]);
}

/// Guards against the release of endpoints right after a burst, before the next one, and against
/// keeping them for good.
#[gtest]
fn plan_keeps_endpoints_between_bursts() {
    let mut f = Fixture::new(Some(0.2));
    f.run(15, 60_000.0, 10_000.0);
    let usual = f.total();
    f.run(5, 150_000.0, 10_000.0);
    let burst = f.total();
    expect_that!(burst, gt(usual));
    f.run(10, 60_000.0, 10_000.0);
    expect_that!(f.total(), eq(burst));
    f.run(20, 60_000.0, 10_000.0);
    expect_that!(f.total(), eq(usual));
}

/// Guards against a lack of capacity when all reclaimable endpoints of a zone are lost at once and the
/// platform refuses more: the other zones must cover the need, and an on-demand endpoint is ordered.
#[gtest]
fn plan_lost_zone() {
    let mut f = Fixture::new(Some(0.2));
    f.run(20, 100_000.0, 20_000.0);
    let before = f.total();
    let lost = f.held.insert(("x".to_owned(), true), 0).expect("held");
    let left = f.total();
    // 100,000 tokens/s keep less than two engines of 60 tokens/ms busy.
    expect_that!(left, ge(4));
    let order = EndpointOrder {
        service: "llm".into(),
        zone: "x".into(),
        count: lost,
        reclaimable: true,
    };
    f.planner.record_refusal(f.now, &order);
    f.step(100_000.0, 20_000.0);
    expect_that!(f.count_of_kind(false), ge(1));
    // On-demand endpoints, at the full price, replace what is required but not the reserve.
    expect_that!(before, ge(6));
    expect_that!(f.count_of_kind(false), eq(1));
    expect_that!(f.total(), ge(6));
}

/// Guards against a lack of capacity when two zones are lost one after the other: the shortfall of
/// the first must be ordered in the other zones before the second is lost.
#[gtest]
fn plan_lost_zones_in_turn() {
    let mut f = Fixture::new(Some(0.2));
    f.run(20, 60_000.0, 10_000.0);
    let key = |zone: &str| (zone.to_owned(), true);
    let before = f.held[&key("y")];
    f.held.insert(key("x"), 0);
    f.planner.record_refusal(
        f.now,
        &EndpointOrder {
            service: "llm".into(),
            zone: "x".into(),
            count: before,
            reclaimable: true,
        },
    );
    f.step(60_000.0, 10_000.0);
    expect_that!(f.held[&key("y")], gt(before));
    expect_that!(f.held[&key("z")], gt(before));
}

fn evacuated(names: &[&str]) -> Arc<BTreeSet<ZoneId>> {
    Arc::new(names.iter().map(|name| ZoneId::from(*name)).collect())
}

/// Guards against a lack of capacity while operators evacuate a zone: its endpoints are on the list, but the others
/// must cover the need, and nothing is ordered or released there.
#[gtest]
fn plan_evacuated_zone() {
    for reclaimable in [None, Some(0.2)] {
        let mut f = Fixture::new(reclaimable);
        // Surplus endpoints of the start have been released then.
        f.run(40, 60_000.0, 10_000.0);
        let before = f.held.clone();
        let in_zone = |held: &BTreeMap<(String, bool), u32>, zone: &str| {
            let kinds = [true, false].map(|kind| held.get(&(zone.to_owned(), kind)).copied());
            kinds.iter().flatten().sum::<u32>()
        };
        f.planner.set_evacuated(evacuated(&["x"]));
        f.orders.clear();
        f.run(5, 60_000.0, 10_000.0);
        expect_that!(
            f.orders.iter().filter(|o| o.zone == "x".into()).count(),
            eq(0)
        );
        expect_that!(in_zone(&f.held, "x"), eq(in_zone(&before, "x")));
        let others = in_zone(&f.held, "y") + in_zone(&f.held, "z");
        // Each kind is divided equally among zones and rounded.
        expect_that!(
            others + 1,
            ge(before.values().sum::<u32>()),
            "{reclaimable:?}"
        );
    }
}

/// Guards against an initial number of endpoints, kept until the need is known, that leaves out those of an evacuated
/// zone although their load goes to the others.
#[gtest]
fn plan_zone_evacuated_before_load() {
    let mut f = Fixture::new(None);
    f.planner.set_evacuated(evacuated(&["x"]));
    f.run(30, 0.0, 0.0);
    expect_that!(
        f.held[&("y".to_owned(), false)] + f.held[&("z".to_owned(), false)],
        eq(9)
    );
}

/// Guards against orders when no zone is left, and against a zone that gets none after its evacuation.
#[gtest]
fn plan_all_zones_evacuated() {
    let mut f = Fixture::new(None);
    f.run(20, 120_000.0, 30_000.0);
    f.planner.set_evacuated(evacuated(&ZONES));
    f.orders.clear();
    f.run(5, 400_000.0, 100_000.0);
    expect_that!(f.orders, is_empty());
    f.planner.set_evacuated(evacuated(&[]));
    f.run(1, 400_000.0, 100_000.0);
    expect_that!(
        f.orders.iter().filter(|o| o.zone == "x".into()).count(),
        eq(1)
    );
}

/// Guards against a late replacement when the platform reclaims a zone with some seconds of notice:
/// on-demand endpoints must be ordered at the notice, not after a refused order for reclaimable ones.
#[gtest]
fn plan_on_reclaim_notice() {
    let mut f = Fixture::new(Some(0.2));
    f.run(30, 200_000.0, 40_000.0);
    let mut list = f.list();
    for listed in &mut list {
        listed.leaving = listed.zone == "y".into() && listed.reclaimable;
    }
    let load = load(200_000.0, 40_000.0);
    f.now += Duration::from_secs(1);
    let orders = f.planner.plan(f.now, &f.service, &load, &list);
    let is_on_demand = |order: &&EndpointOrder| order.zone == "y".into() && !order.reclaimable;
    let on_demand = orders.iter().find(is_on_demand);
    expect_that!(on_demand.map(|order| order.count), some(ge(1)));
    let is_reclaimable = |order: &&EndpointOrder| order.zone == "y".into() && order.reclaimable;
    expect_that!(orders.iter().find(is_reclaimable), none());
}

/// Guards against late reclaimable endpoints and early releases while the endpoint list is still
/// filling: reclaimable endpoints must be ordered at once, and nothing may be released.
#[gtest]
fn plan_reclaimable_early() {
    let mut f = Fixture::new(Some(0.2));
    f.run(3, 0.0, 0.0);
    expect_that!(f.count_of_kind(true), ge(3));
    expect_that!(f.count_of_kind(false), eq(9));
    expect_that!(f.orders.iter().all(|order| order.reclaimable), eq(true));
}

/// Guards against a delay after a failover during a burst: the successor, which observed the need
/// before, must order the missing endpoints in its first step.
#[gtest]
fn plan_after_failover() {
    let mut f = Fixture::new(Some(0.2));
    let mut successor = EndpointPlanner::new(f.now);
    f.run(20, 60_000.0, 10_000.0);
    let before = f.total();
    let load = load(120_000.0, 20_000.0);
    for _ in 0..7 {
        f.now += Duration::from_secs(1);
        successor.observe(f.now, &f.service, &load);
    }
    for ((zone, _), count) in &mut f.held {
        if zone == "x" {
            *count = 0;
        }
    }
    successor.forget_orders();
    f.planner = successor;
    f.step(120_000.0, 20_000.0);
    expect_that!(f.total(), gt(before));
}

/// Guards against releases caused by a list that fills one zone at a time at the first start.
#[gtest]
fn plan_incomplete_list() {
    let mut f = Fixture::new(Some(0.2));
    let full = f.held.clone();
    for (index, zone) in ZONES.iter().enumerate() {
        f.held = full
            .iter()
            .take(index + 1)
            .map(|(k, v)| (k.clone(), *v))
            .collect();
        let before = f.held.clone();
        f.step(0.0, 0.0);
        for order in &f.orders {
            let key = (order.zone.to_string(), order.reclaimable);
            let held = before.get(&key).copied().unwrap_or(0);
            expect_that!(order.count, ge(held), "{zone}");
        }
        f.orders.clear();
    }
    for (key, count) in full {
        let held = f.held.entry(key).or_default();
        *held = count.max(*held);
    }
    f.run(20, 0.0, 0.0);
    expect_that!(f.total(), ge(9));
}

#[gtest]
fn plan_bounds() {
    let mut f = Fixture::new(Some(0.2));
    f.run(20, 10_000_000.0, 10_000_000.0);
    for zone in ZONES {
        let held = |reclaimable| {
            f.held
                .get(&(zone.to_owned(), reclaimable))
                .copied()
                .unwrap_or(0)
        };
        expect_that!(held(true) + held(false), le(6));
    }
    f.run(60, 1.0, 1.0);
    for zone in ZONES {
        let held = |reclaimable| {
            f.held
                .get(&(zone.to_owned(), reclaimable))
                .copied()
                .unwrap_or(0)
        };
        expect_that!(held(true) + held(false), ge(1));
    }
}

/// Guards against an order without effect that is never repeated or is repeated at every step.
#[gtest]
fn plan_repeats_order_without_effect() {
    let mut f = Fixture::new(Some(0.2));
    f.run(12, 60_000.0, 10_000.0);
    f.held = ZONES.map(|zone| ((zone.to_owned(), false), 3)).into();
    let list = f.list();
    f.orders.clear();
    let load = load(60_000.0, 10_000.0);
    let mut sent = Vec::new();
    for second in 0..12 {
        let now = f.now + Duration::from_secs(second);
        sent.push(f.planner.plan(now, &f.service, &load, &list).len());
    }
    expect_that!(sent.iter().filter(|n| **n > 0).count(), all![ge(1), le(4)]);
}

/// Guards against a document or a load that ends the thread which orders endpoints.
#[gtest]
fn plan_odd_scaling_and_load() {
    let mut scalings = Vec::new();
    for (min, max) in [(6, 1), (u32::MAX, 0), (0, 0), (u32::MAX, 4), (0, u32::MAX)] {
        for boot in [Duration::ZERO, Duration::MAX] {
            for price in [-1e308, f64::INFINITY, f64::NAN, 1e308] {
                scalings.push((min, max, boot, price));
            }
        }
    }
    let loads = [0.0, -1e308, 1e308, f64::INFINITY, f64::NAN];
    for (min, max, boot, price) in scalings {
        for load in loads {
            let mut fixture = Fixture::new(Some(0.2));
            let scaling = fixture.service.scaling.as_mut().expect("there");
            (scaling.min, scaling.max, scaling.boot) = (min, max, boot);
            scaling.prices.push(("w".into(), price));
            for _ in 0..10 {
                fixture.now += Duration::from_secs(1);
                let odd = ServiceLoad {
                    long: load,
                    short: load,
                    calls: load,
                    rate: load,
                };
                let list = fixture.list();
                let (now, service) = (fixture.now, &fixture.service);
                let orders = fixture.planner.plan(now, service, &odd, &list);
                for order in orders {
                    // The three endpoints that a zone has at the start may stay.
                    expect_that!(order.count, le(max.max(3)));
                }
            }
        }
    }
}
