//! Tests of endpoint selection.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::balancer::Balancer;
use fulmarford_lib::balancer::Requirements;
use fulmarford_lib::balancer::SUBSET;
use fulmarford_lib::evacuation;
use fulmarford_lib::policy::Ending;
use fulmarford_testutils::virtual_run;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn balancer(engines: usize, salt: u64) -> (Balancer, usize) {
    let mut rules = "class c tier=1 idempotent=yes # t\nworkspace w # t\n\
                     route r workspace=w class=c model=m endpoints=e* # t\n"
        .to_owned();
    for i in 0..engines {
        let (price, cheap) = if i % 2 == 0 { (1, "yes") } else { (3, "no") };
        let zone = if i % 4 < 2 { "near" } else { "far" };
        writeln!(
            rules,
            "endpoint e{i} address=127.0.0.1:{} zone={zone} models=m price={price}/h \
             reclaimable={cheap} # t",
            9000 + i
        )
        .expect("text grows");
    }
    let view = virtual_run::view(&rules);
    let zone_latencies = BTreeMap::from([("far".into(), Duration::from_millis(40))]);
    let mut balancer = Balancer::new("near".into(), zone_latencies, salt);
    balancer.install(&view);
    let pool = balancer
        .pool(&view, &"r".into(), Some(&"m".into()))
        .expect("the route has endpoints");
    (balancer, pool)
}

fn requirements<'a>(pool: usize, tier: usize, prefixes: &'a [u64]) -> Requirements<'a> {
    Requirements {
        pool,
        tier,
        turn: false,
        turn_due: false,
        suspect: false,
        excluded: &[],
        prefixes,
        time_left: Duration::from_secs(60),
    }
}

/// Guards against an instance that uses all endpoints of a large pool, and against endpoints that
/// no instance uses.
#[gtest]
fn pool_subsets() {
    let mut uses = HashMap::new();
    for salt in 0..130 {
        let (balancer, pool) = balancer(1000, salt * 7919);
        expect_that!(balancer.get(pool).nodes.len(), eq(SUBSET));
        for node in &balancer.get(pool).nodes {
            *uses.entry(*node).or_insert(0) += 1;
        }
    }
    expect_that!(uses.len(), eq(1000));
    expect_that!(uses.values().max(), some(le(&35)));
}

/// Guards against the use of expensive endpoints for low tiers, and of reclaimable endpoints for
/// high tiers.
#[gtest]
fn choose_by_class() {
    let (balancer, pool) = balancer(8, 1);
    let mut rng = StdRng::seed_from_u64(1);
    for (tier, reclaimable) in [(0, false), (4, true)] {
        for _ in 0..100 {
            let choice = balancer.choose(Instant::now(), &requirements(pool, tier, &[]), &mut rng);
            let (node, _) = choice.expect("there is room");
            expect_that!(balancer.node(node).rule.reclaimable, eq(reclaimable));
        }
    }
}

/// Guards against prefix affinity that overloads one endpoint.
#[gtest]
fn choose_affinity_bounded() {
    let (mut balancer, pool) = balancer(8, 1);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let mut reasons = Vec::new();
    let mut uses = HashMap::new();
    for _ in 0..24 {
        let choice = balancer.choose(now, &requirements(pool, 2, &[42]), &mut rng);
        let (node, decision) = choice.expect("there is room");
        balancer.node_mut(node).load.started(now);
        reasons.push(decision.reason);
        *uses.entry(node).or_insert(0) += 1;
    }
    expect_that!(reasons[0], eq("affinity"));
    expect_that!(uses.values().max(), some(le(&5)));
}

/// Guards against a cheaper endpoint that makes a request late, and against an expensive one for a request
/// that has the time for a cheaper one.
#[gtest]
fn choose_cheaper_in_time() {
    for (time_left, is_cheaper) in [(Duration::from_secs(60), true), (Duration::ZERO, false)] {
        let (mut balancer, pool) = balancer(2, 1);
        let mut rng = StdRng::seed_from_u64(1);
        let now = Instant::now();
        let cheap = balancer.find(&"e0".into()).expect("an endpoint");
        for _ in 0..3 {
            balancer.node_mut(cheap).load.started(now);
        }
        let requirements = Requirements {
            time_left,
            ..requirements(pool, 2, &[])
        };
        let choices = (0..100).filter(|_| {
            let choice = balancer.choose(now, &requirements, &mut rng);
            choice.expect("there is room").0 == cheap
        });
        // Of two random candidates, both are the same endpoint in half of the cases.
        let count = choices.count();
        expect_that!(
            count >= 60,
            eq(is_cheaper),
            "{count} of 100, {time_left:?} left"
        );
        expect_that!(
            count <= 40,
            eq(!is_cheaper),
            "{count} of 100, {time_left:?} left"
        );
    }
}

/// Guards against the ejection of so many slow endpoints that too few remain for the load.
///
/// A single slow or unreachable endpoint has to be avoided.
#[gtest]
fn compare_endpoints_keeps_healthy_share() {
    let (mut balancer, pool) = balancer(8, 1);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Instant::now();
    balancer.compare_endpoints(&[true; 8]);
    let choice = balancer.choose(now, &requirements(pool, 0, &[]), &mut rng);
    expect_that!(
        choice.is_ok(),
        eq(true),
        "all endpoints stay in use if all are slow"
    );
    let mut overdue = [false; 8];
    overdue[3] = true;
    balancer.compare_endpoints(&overdue);
    for _ in 0..100 {
        let choice = balancer.choose(now, &requirements(pool, 0, &[]), &mut rng);
        expect_that!(choice.expect("there is room").0, not(eq(3)));
    }
    balancer
        .node_mut(5)
        .health
        .record_end(now, Ending::Unreachable, None, &mut rng);
    for _ in 0..100 {
        let choice = balancer.choose(now, &requirements(pool, 0, &[]), &mut rng);
        expect_that!(choice.expect("there is room").0, not(eq(5)));
    }
}

/// Guards against a request to an evacuated zone, and against its endpoints being lost when it comes back.
#[gtest]
fn pool_outside_evacuated_zone() {
    let view = virtual_run::view(
        "class c tier=1 idempotent=yes # t\nworkspace w # t\n\
         route r workspace=w class=c model=m endpoints=e* # t\n\
         endpoint e0 address=127.0.0.1:9000 zone=y models=m # t\n\
         endpoint e1 address=127.0.0.1:9001 zone=z models=m # t\n",
    );
    let mut balancer = Balancer::new("z".into(), BTreeMap::new(), 1);
    let mut pool = |evacuated: &[&str]| {
        let mut transaction = view.transaction();
        for zone in evacuated {
            let edit = evacuation::edit(&(*zone).into(), true);
            transaction.edit(&edit).expect("applies");
        }
        let view = transaction.commit().expect("valid");
        balancer.install(&view);
        let pool = balancer.pool(&view, &"r".into(), Some(&"m".into()))?;
        let nodes = balancer.get(pool).nodes.iter();
        let names = nodes.map(|node| balancer.node(*node).rule.id.to_string());
        Some(names.collect::<Vec<_>>().join(" "))
    };
    expect_that!(pool(&[]).as_deref(), some(eq("e0 e1")));
    expect_that!(pool(&["y"]).as_deref(), some(eq("e1")));
    expect_that!(pool(&["y", "z"]), none());
    expect_that!(pool(&[]).as_deref(), some(eq("e0 e1")));
}
