//! Tests of the route table.

use std::time::Duration;

use fulmarford_lib::ids::ServiceId;
use fulmarford_lib::route_table::Caller;
use fulmarford_lib::route_table::Limits;
use fulmarford_lib::route_table::RetryPolicy;
use fulmarford_lib::route_table::Route;
use fulmarford_lib::route_table::RouteTable;
use fulmarford_lib::route_table::RouteTableConfig;
use fulmarford_lib::route_table::Service;
use fulmarford_lib::route_table::TableError;
use fulmarford_lib::route_table::URGENCY_LEVELS;
use fulmarford_lib::route_table::WeightedService;
use googletest::prelude::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        id: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        gap_objective: None,
        rank: 0,
        targets: vec![target("a", 1)],
        attempts: 1,
        open: false,
    }
}

fn target(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

fn service(name: &str) -> Service {
    Service {
        id: name.into(),
        engine: None,
        cold: None,
        scaling: None,
    }
}

fn caller(workspace: &str, rank: Option<u8>) -> Caller {
    Caller {
        workspace: workspace.into(),
        rank,
    }
}

fn config(routes: Vec<Route>) -> RouteTableConfig {
    RouteTableConfig {
        revision: 1,
        limits: Limits {
            max_head_bytes: 1 << 14,
            body: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        routes,
        services: vec![service("a"), service("b")],
        keys: Some(vec![("key".to_owned(), caller("w", None))]),
    }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.route(host, path).map(|route| route.id.to_string())
}

#[gtest]
fn route_longest_prefix() {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "g", "/a/"),
    ];
    let table = RouteTable::new(config(routes)).expect("the table is valid");
    expect_that!(found(&table, "h", "/a/b/c"), some(eq("long")));
    expect_that!(found(&table, "h", "/a/bc"), some(eq("short")));
    expect_that!(found(&table, "H:8080", "/a/"), some(eq("short")));
    expect_that!(found(&table, "g", "/a/b/c"), some(eq("other")));
    expect_that!(found(&table, "h", "/a"), none());
    expect_that!(found(&table, "x", "/a/"), none());
}

#[gtest]
fn new_invalid_routes() {
    let check = |change: fn(&mut Route)| {
        let mut changed = route("r", "h", "/a/");
        change(&mut changed);
        RouteTable::new(config(vec![changed])).map(|_| ())
    };
    expect_that!(check(|_| {}), ok(anything()));
    expect_that!(
        check(|r| r.timeout = Duration::ZERO),
        err(matches_pattern!(TableError::ZeroTimeout { .. }))
    );
    expect_that!(
        check(|r| r.targets = vec![target("a", 0), target("b", 0)]),
        err(matches_pattern!(TableError::ZeroWeight { .. }))
    );
    expect_that!(
        check(|r| r.targets = Vec::new()),
        err(matches_pattern!(TableError::ZeroWeight { .. }))
    );
    expect_that!(
        check(|r| r.targets = vec![target("none", 1)]),
        err(matches_pattern!(TableError::UnknownService { .. }))
    );
    let twice = vec![route("r", "h", "/a/"), route("s", "H", "/a/")];
    expect_that!(
        RouteTable::new(config(twice)).map(|_| ()),
        err(matches_pattern!(TableError::DuplicatePrefix { .. }))
    );
}

#[gtest]
fn new_duplicate_key() {
    let mut shared = config(Vec::new());
    shared.keys = Some(vec![
        ("key".to_owned(), caller("v", None)),
        ("key".to_owned(), caller("w", None)),
    ]);
    expect_that!(
        RouteTable::new(shared).map(|_| ()),
        err(matches_pattern!(TableError::DuplicateKey { .. }))
    );
}

#[gtest]
fn needs_key_by_route() {
    let mut open = route("open", "h", "/o/");
    open.open = true;
    let table = RouteTable::new(config(vec![open, route("protected", "h", "/s/")]))
        .expect("the table is valid");
    let needs = |path| table.route("h", path).is_some_and(|r| table.needs_key(r));
    expect_that!(needs("/o/"), eq(false));
    expect_that!(needs("/s/"), eq(true));
    expect_that!(table.caller("key").is_some(), eq(true));
    expect_that!(table.caller("other").is_some(), eq(false));
    let mut keyless = config(vec![route("protected", "h", "/s/")]);
    keyless.keys = None;
    let table = RouteTable::new(keyless).expect("the table is valid");
    let protected = table.route("h", "/s/").expect("the route exists");
    expect_that!(table.needs_key(protected), eq(false));
}

/// Requests of one caller must be ordered by their routes. Otherwise an engine that runs out of
/// slots would preempt a question while a summary of the same caller continues.
#[gtest]
fn urgency_caller_then_route() {
    let mut question = route("question", "h", "/q/");
    question.rank = 0;
    let mut summary = route("summary", "h", "/s/");
    summary.rank = 2;
    let mut config = config(vec![question.clone(), summary.clone()]);
    let (first, second) = (caller("v", Some(0)), caller("w", Some(1)));
    config.keys = Some(vec![
        ("k".to_owned(), first.clone()),
        ("l".to_owned(), second.clone()),
    ]);
    let table = RouteTable::new(config).expect("the table is valid");
    let urgency = |route: &Route, caller: &Caller| table.urgency(route, Some(caller));
    expect_that!(urgency(&question, &first), lt(urgency(&summary, &first)));
    expect_that!(urgency(&summary, &first), lt(urgency(&question, &second)));
    expect_that!(urgency(&question, &second), lt(urgency(&summary, &second)));
}

#[gtest]
fn pick_service_by_weight() {
    let mut split = route("r", "h", "/a/");
    split.targets = vec![target("a", 90), target("b", 10)];
    let mut rng = StdRng::seed_from_u64(1);
    let second = ServiceId::from("b");
    let hits = (0..10_000)
        .filter(|_| *split.pick_service(&mut rng) == second)
        .count();
    expect_that!(hits, all![ge(850), le(1_150)]);
    split.targets = vec![target("a", 0), target("b", 1)];
    expect_that!(split.pick_service(&mut rng), eq(&second));
}

proptest! {
    #[test]
    fn urgency_is_monotonic(
        routes in proptest::collection::vec(0..20_u8, 1..6),
        callers in proptest::collection::vec(proptest::option::of(0..20_u8), 1..6),
    ) {
        let named = routes.iter().enumerate().map(|(n, rank)| {
            let mut route = route(&format!("r{n}"), "h", &format!("/{n}/"));
            route.rank = *rank;
            route
        });
        let mut config = config(named.collect());
        let keys = callers.iter().enumerate().map(|(n, rank)| {
            (format!("k{n}"), caller(&format!("w{n}"), *rank))
        });
        config.keys = Some(keys.collect());
        let table = RouteTable::new(config).expect("the table is valid");
        let mut pairs = Vec::new();
        for route in table.routes() {
            for rank in &callers {
                let caller = caller("w", *rank);
                let place = table.urgency(route, Some(&caller));
                prop_assert!(place < URGENCY_LEVELS);
                pairs.push(((rank.unwrap_or(route.rank), route.rank), place));
            }
        }
        pairs.sort_unstable();
        prop_assert!(pairs.is_sorted_by_key(|(_, place)| *place));
    }
}

/// Guards against weights whose sum is out of range, which ended the request or divided requests wrongly.
#[gtest]
fn pick_service_largest_weights() {
    let mut route = route("r", "h", "/");
    route.targets = vec![target("a", u32::MAX), target("b", u32::MAX), target("c", 0)];
    let mut rng = StdRng::seed_from_u64(1);
    let picked = |_| route.pick_service(&mut rng).as_str().to_owned();
    let picks: Vec<String> = (0..1_000).map(picked).collect();
    let count = |name: &str| picks.iter().filter(|pick| *pick == name).count();
    expect_that!(count("a"), all![gt(400), lt(600)]);
    expect_that!(count("a") + count("b"), eq(1_000));
}
