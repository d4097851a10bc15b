//! Tests of endpoint selection. Most reproduce the load pattern that a rule of the selection
//! handles.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::affinity;
use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::dialect::PromptPart;
use fulmarford_lib::dialect::ReportedLoad;
use fulmarford_lib::dialect::RequestRate;
use fulmarford_lib::dialect::ResponseInfo;
use fulmarford_lib::endpoint_limit::LimitObservation;
use fulmarford_lib::endpoint_limit::LimitTable;
use fulmarford_lib::fleet::CallOutcome;
use fulmarford_lib::fleet::Choice;
use fulmarford_lib::fleet::EndpointQuery;
use fulmarford_lib::fleet::Fleet;
use fulmarford_lib::fleet::SelectionError;
use fulmarford_lib::fleet::is_large_cluster;
use fulmarford_lib::ids::EndpointId;
use fulmarford_lib::ids::ServiceId;
use fulmarford_lib::line::portion::Division;
use fulmarford_lib::refused_callers::Need;
use fulmarford_lib::route_table::EngineSpec;
use fulmarford_lib::service_load::EngineBacklog;
use fulmarford_lib::service_load::LoadSummary;
use fulmarford_lib::service_load::ServiceLoad;
use googletest::prelude::*;

/// Returns a distinct address for each one-letter name.
fn address(name: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::from(name.as_bytes()[0])))
}

fn engine(copy_rate: Option<f64>) -> EngineSpec {
    EngineSpec {
        slots: 64,
        memory: 600_000,
        copy_rate,
        moves: true,
    }
}

fn listed(name: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: name.into(),
        service: "llm".into(),
        address: address(name),
        zone: "z".into(),
        slots: 64,
        leaving: false,
        reclaimable: false,
    }
}

struct Fixture {
    fleet: Fleet,
    service: ServiceId,
    now: Instant,
    total: ServiceLoad,
    is_large_cluster: bool,
}

impl Fixture {
    fn new(names: &[&str]) -> Self {
        let now = Instant::now();
        let mut fleet = Fleet::new("z".into());
        fleet.update_list(now, names.iter().map(|name| listed(name)).collect());
        Self {
            fleet,
            service: "llm".into(),
            now,
            total: ServiceLoad::default(),
            is_large_cluster: false,
        }
    }

    fn try_choose(
        &self,
        prompt: u32,
        parts: &[PromptPart],
        excluded: &[EndpointId],
    ) -> Result<Choice, SelectionError> {
        let query = EndpointQuery {
            prompt,
            parts,
            excluded,
            ..self.query()
        };
        self.fleet.choose(self.now, &query)
    }

    fn query(&self) -> EndpointQuery<'_> {
        EndpointQuery {
            service: &self.service,
            prompt: 0,
            parts: &[],
            excluded: &[],
            time_left: Duration::from_secs(10),
            total: self.total,
            urgency: 2,
            is_started: false,
            draw: 0.0,
            tie_breaker: 0,
            is_large_cluster: self.is_large_cluster,
        }
    }

    fn choose(&self, prompt: u32) -> Choice {
        self.try_choose(prompt, &[], &[]).expect("an endpoint")
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }
}

/// Returns a prompt with a shared part of 5,000 tokens.
fn session() -> [PromptPart; 2] {
    let part = |id, tokens| PromptPart { id, tokens };
    [part(7, 5_000), part(8, 500)]
}

fn name(choice: &Choice) -> &str {
    choice.listed.id.as_str()
}

#[gtest]
fn choose_without_endpoints() {
    let mut f = Fixture::new(&[]);
    expect_that!(f.try_choose(1, &[], &[]), err(eq(&SelectionError::Nowhere)));
    let mut leaving = listed("a");
    leaving.leaving = true;
    f.fleet.update_list(f.now, vec![leaving]);
    expect_that!(f.try_choose(1, &[], &[]), err(eq(&SelectionError::Nowhere)));
}

#[gtest]
fn choose_not_excluded() {
    let f = Fixture::new(&["a", "b"]);
    let excluded = ["a".into()];
    expect_that!(
        f.try_choose(1, &[], &excluded).map(|c| c.listed.id),
        ok(eq(&"b".into()))
    );
    let excluded = ["a".into(), "b".into()];
    expect_that!(
        f.try_choose(1, &[], &excluded),
        err(eq(&SelectionError::Nowhere))
    );
}

/// In a large cluster, an engine that is busy with requests of other instances must not be chosen.
/// An outdated report must not count.
#[gtest]
fn choose_by_remote_load() {
    let mut f = Fixture::new(&["a", "b"]);
    f.is_large_cluster = true;
    let first = f.choose(500);
    let busy = EngineBacklog {
        calls: 20,
        prefill_tokens: 40_000,
    };
    let hash = affinity::hash_name(name(&first));
    let total = LoadSummary {
        engines: [(hash, busy)].into(),
        ..LoadSummary::default()
    };
    f.fleet.apply_cluster_load(f.now, &Arc::new(total));
    expect_that!(name(&f.choose(500)), not(eq(name(&first))));
    f.advance(Duration::from_secs(3));
    expect_that!(name(&f.choose(500)), eq(name(&first)));
    // Local calls, which the total includes, are counted once.
    let call_id = f.fleet.start(f.now, &first, &[]);
    let own = f.fleet.report_load(f.now);
    expect_that!(own.engines[&hash].prefill_tokens, eq(500));
    let before = f.try_choose(500, &[], &["b".into()]).map(|c| c.expected);
    f.fleet.apply_cluster_load(f.now, &Arc::new(own));
    let after = f.try_choose(500, &[], &["b".into()]).map(|c| c.expected);
    expect_that!(before, eq(after));
    f.fleet.end(f.now, call_id, CallOutcome::Served);
}

/// In a small cluster, reported load must not move a short request away from the engine that has
/// its prompt cached: a burst reported half a second ago is over at an engine that responds at
/// once.
#[gtest]
fn choose_ignores_remote_load_in_small_cluster() {
    let mut f = Fixture::new(&["a", "b"]);
    let parts = [
        PromptPart { id: 1, tokens: 500 },
        PromptPart { id: 2, tokens: 10 },
    ];
    let first = f.try_choose(510, &parts, &[]).expect("an endpoint");
    let call_id = f.fleet.start(f.now, &first, &parts);
    f.fleet.end(f.now, call_id, CallOutcome::Served);
    let burst = EngineBacklog {
        calls: 60,
        prefill_tokens: 60_000,
    };
    let total = LoadSummary {
        engines: [(affinity::hash_name(name(&first)), burst)].into(),
        ..LoadSummary::default()
    };
    f.fleet.apply_cluster_load(f.now, &Arc::new(total));
    for (is_large_cluster, stays) in [(false, true), (true, false)] {
        f.is_large_cluster = is_large_cluster;
        let next = f.try_choose(510, &parts, &[]).expect("an endpoint");
        expect_that!(
            name(&next) == name(&first),
            eq(stays),
            "large cluster: {is_large_cluster}"
        );
    }
    expect_that!(
        [0, 8, 32, 33, 1_270].map(is_large_cluster),
        eq([false, false, false, true, true])
    );
}

/// An engine announces its shutdown in a response while the list still has it as ready. It must get
/// no more requests, even after the list is read again, until the list shows that it returned under
/// its old name.
#[gtest]
fn choose_not_leaving_by_response() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.choose(500);
    let leaving = ResponseInfo {
        leaving: true,
        ..ResponseInfo::default()
    };
    let call_id = f.fleet.start(f.now, &first, &[]);
    f.fleet.record_response(f.now, call_id, &leaving, true);
    expect_that!(f.fleet.is_leaving(call_id), eq(true));
    f.fleet.end(f.now, call_id, CallOutcome::Served);
    for _ in 0..3 {
        let list = ["a", "b"].iter().map(|name| listed(name)).collect();
        f.fleet.update_list(f.now, list);
        f.advance(Duration::from_secs(5));
        expect_that!(name(&f.choose(500)), not(eq(name(&first))));
    }
    let (stays, left) = (listed(name(&f.choose(500))), listed(name(&first)));
    let drained = ListedEndpoint {
        leaving: true,
        ..left.clone()
    };
    f.fleet.update_list(f.now, vec![drained, stays.clone()]);
    f.fleet.update_list(f.now, vec![left, stays.clone()]);
    expect_that!(
        f.try_choose(500, &[], &[stays.id]).map(|c| c.listed.id),
        ok(eq(&first.listed.id))
    );
}

/// An engine without capacity asks for a pause. It must get no request until the pause ends, not
/// even as the last resort, and the remaining pause is reported if no other endpoint is available.
#[gtest]
fn choose_not_paused() {
    let mut f = Fixture::new(&["a", "b"]);
    let pause = ResponseInfo {
        refused: true,
        pause: Some(Duration::from_millis(2_500)),
        ..ResponseInfo::default()
    };
    let first = f.choose(500);
    let call_id = f.fleet.start(f.now, &first, &[]);
    f.fleet.record_response(f.now, call_id, &pause, false);
    f.fleet.end(f.now, call_id, CallOutcome::Refused);
    let other = f.choose(500);
    expect_that!(name(&other), not(eq(name(&first))));
    let excluded = [other.listed.id.clone()];
    f.advance(Duration::from_secs(1));
    expect_that!(
        f.try_choose(500, &[], &excluded),
        err(eq(&SelectionError::Paused {
            wait: Duration::from_millis(1_500)
        }))
    );
    f.advance(Duration::from_millis(1_500));
    expect_that!(
        f.try_choose(500, &[], &excluded).map(|c| c.listed.id),
        ok(eq(&first.listed.id))
    );
}

/// After a long prompt, a short request must go to an engine that has nothing to prefill.
#[gtest]
fn choose_avoids_pending_prefill() {
    let mut f = Fixture::new(&["a", "b"]);
    let long = f.choose(50_000);
    f.fleet.start(f.now, &long, &[]);
    let short = f.choose(500);
    expect_that!(name(&short), not(eq(name(&long))));
    expect_that!(short.expected, lt(Duration::from_millis(100)));
}

/// Requests that arrive at once must be spread evenly before any endpoint reports its load.
#[gtest]
fn choose_spreads_burst() {
    let mut f = Fixture::new(&["a", "b", "c", "d"]);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        let choice = f.choose(3_000);
        f.fleet.start(f.now, &choice, &[]);
        *counts.entry(name(&choice).to_owned()).or_insert(0) += 1;
    }
    expect_that!(counts.len(), eq(4));
    expect_that!(counts.values().copied().max(), some(le(12)));
}

/// All instances must choose the same engine for a shared part, so that it is prefilled only once.
#[gtest]
fn choose_shared_part_home() {
    let names = ["a", "b", "c", "d", "e"];
    let (one, two) = (Fixture::new(&names), Fixture::new(&names));
    for id in 1..50 {
        let parts = [
            PromptPart { id, tokens: 5_000 },
            PromptPart {
                id: id + 1_000,
                tokens: 500,
            },
        ];
        let first = one.try_choose(5_500, &parts, &[]).expect("an endpoint");
        let second = two.try_choose(5_500, &parts, &[]).expect("an endpoint");
        expect_that!(name(&first), eq(name(&second)));
    }
}

#[gtest]
fn choose_cached_part_costs_less() {
    let mut f = Fixture::new(&["a", "b"]);
    let parts = session();
    let first = f.try_choose(5_500, &parts, &[]).expect("an endpoint");
    let call_id = f.fleet.start(f.now, &first, &parts);
    f.fleet.end(f.now, call_id, CallOutcome::Served);
    let second = f.try_choose(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(name(&second), eq(name(&first)));
    expect_that!(second.prefill_tokens, lt(first.prefill_tokens));
}

/// If the engine with the shared part is busy, another engine must copy the part rather than
/// recompute it.
#[gtest]
fn choose_copies_cached_part() {
    let mut f = Fixture::new(&["a", "b", "c"]);
    f.fleet.set_engine_spec(&f.service, engine(Some(400.0)));
    let parts = session();
    let first = f.try_choose(5_500, &parts, &[]).expect("an endpoint");
    let call_id = f.fleet.start(f.now, &first, &parts);
    f.fleet.end(f.now, call_id, CallOutcome::Served);
    for _ in 0..3 {
        let busy = first.clone();
        let busy = Choice {
            prefill_tokens: 20_000,
            ..busy
        };
        f.fleet.start(f.now, &busy, &[]);
    }
    let second = f.try_choose(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(name(&second), not(eq(name(&first))));
    expect_that!(second.source, some(eq(first.listed.address)));
    expect_that!(second.prefill_tokens, eq(500));
}

/// After another instance reports where it sent a shared part, that engine must be chosen or copied
/// from.
#[gtest]
fn apply_prefix_hints_of_other_instances() {
    let names = ["a", "b", "c", "d"];
    let (mut one, mut two) = (Fixture::new(&names), Fixture::new(&names));
    let parts = session();
    let home = one.try_choose(5_500, &parts, &[]).expect("an endpoint");
    let away = one.try_choose(5_500, &parts, std::slice::from_ref(&home.listed.id));
    let away = away.expect("another endpoint");
    let call_id = one.fleet.start(one.now, &away, &parts);
    let prefix_hints = one.fleet.take_prefix_hints();
    expect_that!(prefix_hints.len(), eq(1));
    one.fleet.end(one.now, call_id, CallOutcome::Served);
    one.fleet.start(one.now, &away, &parts);
    // The hint was already taken.
    expect_that!(one.fleet.take_prefix_hints(), is_empty());
    two.fleet.set_engine_spec(&two.service, engine(Some(400.0)));
    two.fleet.apply_prefix_hints(&prefix_hints);
    let choice = two.try_choose(5_500, &parts, &[]).expect("an endpoint");
    let known = choice.listed.id == away.listed.id || choice.source == Some(away.listed.address);
    expect_that!(known, eq(true));
}

/// Without the ability to copy, or without shared parts, there must be no copy source.
#[gtest]
fn choose_without_source() {
    let mut f = Fixture::new(&["a", "b"]);
    let parts = session();
    let choice = f.try_choose(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(choice.source, none());
    f.fleet.set_engine_spec(&f.service, engine(None));
    let choice = f.try_choose(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(choice.source, none());
    f.fleet.set_engine_spec(&f.service, engine(Some(400.0)));
    expect_that!(f.choose(5_500).source, none());
}

/// When a new endpoint becomes the home of a shared part, the part must be copied from the former
/// home.
#[gtest]
fn choose_source_is_former_home() {
    let names = ["a", "b", "c", "d"];
    let mut copied = 0;
    for id in 1..40 {
        let parts = [
            PromptPart { id, tokens: 5_000 },
            PromptPart { id: 0, tokens: 10 },
        ];
        let mut f = Fixture::new(&names);
        f.fleet.set_engine_spec(&f.service, engine(Some(400.0)));
        let before = f.try_choose(5_010, &parts, &[]).expect("an endpoint");
        let mut list: Vec<_> = names.iter().map(|name| listed(name)).collect();
        list.push(listed("e"));
        f.fleet.update_list(f.now, list);
        let after = f.try_choose(5_010, &parts, &[]).expect("an endpoint");
        if name(&after) == "e" {
            expect_that!(after.source, some(eq(before.listed.address)));
            copied += 1;
        }
    }
    expect_that!(copied, gt(0));
}

/// With a mix of long and short prompts, some engines must be kept free of long ones.
#[gtest]
fn choose_separates_long_prompts() {
    let mut f = Fixture::new(&["a", "b", "c", "d"]);
    f.total = ServiceLoad {
        long: 60_000.0,
        short: 10_000.0,
        calls: 10.0,
        rate: 50.0,
    };
    let mut long = std::collections::BTreeSet::new();
    let mut short = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let choice = f.choose(10_000);
        let call_id = f.fleet.start(f.now, &choice, &[]);
        long.insert(name(&choice).to_owned());
        let choice = f.choose(500);
        short.insert(name(&choice).to_owned());
        f.fleet.end(f.now, call_id, CallOutcome::Served);
    }
    expect_that!(long.is_disjoint(&short), eq(true));
}

/// Guards against a request that is refused although an engine has the time for it: whatever the load of
/// all instances, the size of the prompt, the urgency and the number of attempts before, it is refused only
/// if the engine is expected to begin the answer after the caller's time.
#[gtest]
fn choose_refuses_only_late() {
    let loads = [
        ServiceLoad::default(),
        ServiceLoad {
            long: 500_000.0,
            short: 10_000.0,
            calls: 1_000.0,
            rate: 50.0,
        },
    ];
    let mut refused = 0;
    for (total, pending) in loads.iter().flat_map(|l| [0, 3, 30].map(|p| (l, p))) {
        let mut f = Fixture::new(&["a", "b"]);
        for _ in 0..pending {
            let choice = f.choose(10_000);
            f.fleet.start(f.now, &choice, &[]);
        }
        f.total = *total;
        for prompt in [100, 3_999, 4_000, 100_000] {
            let time_to_first = match f.try_choose(prompt, &[], &[]) {
                Ok(choice) => choice.expected,
                Err(error) => panic!("{prompt} tokens with 10 s left: {error:?}"),
            };
            for left_ms in [10, 500, 2_000, 120_000] {
                let answers = [0.0, 0.1, 0.5, 1.0].map(|draw| {
                    let query = EndpointQuery {
                        prompt,
                        time_left: Duration::from_millis(left_ms),
                        draw,
                        ..f.query()
                    };
                    f.fleet.choose(f.now, &query).map(|choice| choice.listed.id)
                });
                let is_late = Duration::from_millis(left_ms) < time_to_first;
                for answer in &answers {
                    expect_that!(
                        answer,
                        eq(&answers[0]),
                        "{prompt} tokens, {left_ms} ms left"
                    );
                    // What orders the engines may add to the expected time, and refuses nothing.
                    expect_that!(!is_late && answer.is_err(), eq(false));
                }
                refused += u32::from(answers[0].is_err());
            }
        }
    }
    expect_that!(refused, gt(0));
}

/// Guards against capacity that is not ordered because the requests that it is needed for were refused.
#[gtest]
fn record_unserved_counts_as_demand() {
    let f = Fixture::new(&["a"]);
    for (prompt, is_long) in [(10_000, true), (500, false)] {
        let mut fleet = Fleet::new("z".into());
        let query = EndpointQuery {
            prompt,
            ..f.query()
        };
        fleet.record_unserved(f.now, &query);
        let load = fleet.service_loads(f.now)[&f.service];
        expect_that!(load.long > 0.0, eq(is_long));
        expect_that!(load.short > 0.0, eq(!is_long));
    }
}

/// A failed engine must not be reused immediately, nor be excluded permanently.
#[gtest]
fn choose_failures_decay() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.choose(500);
    let failed = first.listed.id.clone();
    let call_id = f.fleet.start(f.now, &first, &[]);
    f.fleet.end(f.now, call_id, CallOutcome::Broken);
    for _ in 0..10 {
        let choice = f.choose(500);
        expect_that!(choice.listed.id, not(eq(&failed)));
        f.fleet.start(f.now, &choice, &[]);
    }
    f.advance(Duration::from_secs(15));
    let other = [if failed == "a".into() {
        "b".into()
    } else {
        "a".into()
    }];
    let again = f.try_choose(500, &[], &other).expect("an endpoint");
    expect_that!(again.expected, lt(Duration::from_millis(100)));
}

/// Requests must avoid an engine that does not respond, even though it reports no load.
#[gtest]
fn choose_not_silent() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.choose(500);
    f.fleet.start(f.now, &first, &[]);
    f.advance(Duration::from_secs(2));
    for _ in 0..20 {
        let choice = f.choose(500);
        expect_that!(name(&choice), not(eq(name(&first))));
        let call_id = f.fleet.start(f.now, &choice, &[]);
        f.fleet
            .record_response(f.now, call_id, &ResponseInfo::default(), true);
    }
}

/// The load that an engine reports in a response, which includes requests of other instances, must
/// count in addition to local calls.
#[gtest]
fn choose_by_reported_load() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.choose(500);
    let call_id = f.fleet.start(f.now, &first, &[]);
    let full = ReportedLoad {
        running: 64,
        waiting: 30,
        slots: 64,
    };
    let info = ResponseInfo {
        load: Some(full),
        ..ResponseInfo::default()
    };
    f.fleet.record_response(f.now, call_id, &info, true);
    f.fleet.end(f.now, call_id, CallOutcome::Served);
    for _ in 0..5 {
        expect_that!(name(&f.choose(500)), not(eq(name(&first))));
    }
}

/// When a zone is reclaimed, engines that close their connections must be avoided before the list
/// shows that they are shutting down.
#[gtest]
fn choose_not_closing() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.choose(500);
    for _ in 0..2 {
        let call_id = f.fleet.start(f.now, &first, &[]);
        f.fleet.record_close(f.now, call_id);
        f.fleet.end(f.now, call_id, CallOutcome::Served);
    }
    expect_that!(name(&f.choose(20_000)), not(eq(name(&first))));
    f.advance(Duration::from_secs(2));
    let other = f.choose(500).listed.id;
    let ids = [other];
    expect_that!(
        f.try_choose(500, &[], &ids).map(|c| c.expected),
        ok(lt(Duration::from_millis(100)))
    );
}

/// Guards against requests that are refused beside idle endpoints, because what orders endpoints counts as time
/// that their answers take.
#[gtest]
fn choose_preference_refuses_nothing() {
    // Both endpoints have closed several connections.
    let mut f = Fixture::new(&["a", "b"]);
    for (id, other) in [("a", "b"), ("b", "a")] {
        for _ in 0..4 {
            let choice = f.try_choose(500, &[], &[other.into()]);
            let choice = choice.expect("an endpoint");
            let call_id = f.fleet.start(f.now, &choice, &[]);
            f.fleet.record_close(f.now, call_id);
            f.fleet.end(f.now, call_id, CallOutcome::Served);
            expect_that!(choice.listed.id.as_str(), eq(id));
        }
    }
    let in_time = EndpointQuery {
        prompt: 500,
        time_left: Duration::from_secs(2),
        ..f.query()
    };
    expect_that!(f.fleet.choose(f.now, &in_time), ok(anything()));

    // A long prompt meets an engine that is kept for short ones, and a shared part that is not cached.
    let parts = [1, 2].map(|id| PromptPart { id, tokens: 4_000 });
    let mut f = Fixture::new(&["a", "b"]);
    f.total = ServiceLoad {
        long: 1_000.0,
        short: 1_000.0,
        ..ServiceLoad::default()
    };
    for excluded in ["a", "b"] {
        let excluded = [excluded.into()];
        let choice = f.try_choose(8_000, &parts, &excluded);
        let expected = choice.expect("an endpoint").expected;
        let query = EndpointQuery {
            prompt: 8_000,
            parts: &parts,
            excluded: &excluded,
            time_left: expected - Duration::from_millis(20),
            ..f.query()
        };
        expect_that!(f.fleet.choose(f.now, &query), ok(anything()));
    }
}

#[gtest]
fn choose_late_when_all_are_full() {
    let mut f = Fixture::new(&["a"]);
    let first = f.choose(50_000);
    expect_that!(first.expected, ge(Duration::from_millis(500)));
    f.fleet.start(f.now, &first, &[]);
    for _ in 0..20 {
        if let Ok(choice) = f.try_choose(50_000, &[], &[]) {
            f.fleet.start(f.now, &choice, &[]);
        }
    }
    expect_that!(
        f.try_choose(50_000, &[], &[]),
        err(matches_pattern!(SelectionError::Late { .. }))
    );
}

/// Guards against a request that is refused because the preferred engine has no time for it, although
/// another one has: here the only engine for long prompts is busy, and the others are kept for short ones.
#[gtest]
fn choose_any_engine_in_time() {
    for (left_ms, expected) in [(5_000, Some(true)), (500, Some(false)), (100, None)] {
        let mut f = Fixture::new(&["a", "b", "c", "d"]);
        f.total = ServiceLoad {
            long: 1_000.0,
            short: 1_000.0,
            ..ServiceLoad::default()
        };
        let preferred = f.choose(10_000);
        for _ in 0..3 {
            f.fleet.start(f.now, &preferred, &[]);
        }
        let query = EndpointQuery {
            prompt: 10_000,
            time_left: Duration::from_millis(left_ms),
            ..f.query()
        };
        let choice = f.fleet.choose(f.now, &query);
        let is_preferred = choice.as_ref().map(|c| c.listed.id == preferred.listed.id);
        expect_that!(
            is_preferred.ok(),
            eq(expected),
            "{left_ms} ms left: {choice:?}"
        );
    }
}

/// Guards against a request that is refused for lack of time because of less urgent prompts, which the
/// engine prefills after it.
#[gtest]
fn choose_late_by_more_urgent_only() {
    // Prompts of 2 s wait at the only engine, with this urgency.
    for (pending, is_late) in [(0, true), (2, true), (3, false), (9, false)] {
        let mut f = Fixture::new(&["a"]);
        for _ in 0..10 {
            let query = EndpointQuery {
                prompt: 10_000,
                urgency: pending,
                ..f.query()
            };
            let choice = f.fleet.choose(f.now, &query).expect("an endpoint");
            f.fleet.start(f.now, &choice, &[]);
        }
        for prompt in [500, 10_000] {
            let query = EndpointQuery {
                prompt,
                urgency: 2,
                time_left: Duration::from_millis(1_200),
                ..f.query()
            };
            let answer = f.fleet.choose(f.now, &query);
            let is_refused = matches!(answer, Err(SelectionError::Late { .. }));
            expect_that!(
                is_refused,
                eq(is_late),
                "{prompt} behind {pending}: {answer:?}"
            );
        }
    }
}

/// Guards against a more urgent caller that is refused again since a less urgent request took what it
/// lacked, and against less urgent requests that are refused although they take nothing from it: whatever
/// their size, they yield only while the caller may come back and would be late behind them.
#[gtest]
fn choose_yields_to_refused_caller() {
    let returns = Duration::from_millis(500);
    for (urgency, pending, prompt, is_started, yields) in [
        // Beside an idle engine, the caller is in time behind any of them.
        (2, 0, 500, false, false),
        (2, 0, 10_000, false, false),
        // Pending prompts of 1 s: the caller is late behind them and the request.
        (2, 5, 500, false, true),
        (2, 5, 10_000, false, true),
        (2, 5, 10_000, true, false),
        (1, 5, 10_000, false, false),
        (0, 5, 10_000, false, false),
    ] {
        let mut f = Fixture::new(&["a"]);
        for _ in 0..pending {
            let choice = f.choose(10_000);
            f.fleet.start(f.now, &choice, &[]);
        }
        let latest_start = f.now + Duration::from_millis(800);
        let need = Need::Start(latest_start);
        f.fleet
            .record_refusal(f.now, &f.service, 1, need, f.now + returns);
        for draw in [0.0, 0.5, 0.99] {
            let query = EndpointQuery {
                prompt,
                urgency,
                is_started,
                draw,
                ..f.query()
            };
            let answer = |now| f.fleet.choose(now, &query).map(|choice| choice.listed.id);
            let expected = match yields {
                true => Err(SelectionError::Yields { wait: returns }),
                false => Ok("a".into()),
            };
            expect_that!(
                answer(f.now),
                eq(&expected),
                "{prompt} of {urgency}, {pending} pending"
            );
            // The caller has come back.
            expect_that!(answer(f.now + returns), eq(&Ok("a".into())));
        }
    }
}

/// Guards against a less urgent request that takes the only place for which a more urgent caller, which all
/// endpoints refused, comes back, and against one that yields although there is a place for both.
#[gtest]
fn choose_yields_last_place() {
    for (running, yields) in [
        (Some(1), false),
        (Some(62), false),
        (Some(63), true),
        (Some(64), true),
        // Not known, so it may be the last one.
        (None, true),
    ] {
        let mut f = Fixture::new(&["a"]);
        let choice = f.choose(0);
        let call_id = f.fleet.start(f.now, &choice, &[]);
        let load = running.map(|running| ReportedLoad {
            running,
            waiting: 0,
            slots: 64,
        });
        let info = ResponseInfo {
            load,
            ..ResponseInfo::default()
        };
        f.fleet.record_response(f.now, call_id, &info, true);
        let returns = f.now + Duration::from_millis(200);
        f.fleet
            .record_refusal(f.now, &f.service, 1, Need::Place, returns);
        let answer = f.try_choose(500, &[], &[]);
        let is_yield = matches!(answer, Err(SelectionError::Yields { .. }));
        expect_that!(is_yield, eq(yields), "{running:?} running: {answer:?}");
    }
}

/// A prompt that the engine may have cached without this instance's knowledge must not count as an
/// observation of the prefill rate.
#[gtest]
fn record_response_rate_from_uncached_tokens() {
    let mut f = Fixture::new(&["a"]);
    let parts = [
        PromptPart {
            id: 7,
            tokens: 50_000,
        },
        PromptPart { id: 8, tokens: 100 },
    ];
    let choice = f.try_choose(50_100, &parts, &[]).expect("an endpoint");
    let call_id = f.fleet.start(f.now, &choice, &parts);
    f.advance(Duration::from_millis(10));
    f.fleet
        .record_response(f.now, call_id, &ResponseInfo::default(), true);
    // No rate was observed.
    expect_that!(f.fleet.service_loads(f.now)[&f.service].rate, eq(0.0));
    f.fleet.end(f.now, call_id, CallOutcome::Served);
    let choice = f.choose(50_000);
    let call_id = f.fleet.start(f.now, &choice, &[]);
    f.advance(Duration::from_millis(500));
    f.fleet
        .record_response(f.now, call_id, &ResponseInfo::default(), true);
    expect_that!(
        f.fleet.service_loads(f.now)[&f.service].rate,
        all![gt(60.0), le(100.0)]
    );
}

/// Engines that are shutting down or full refuse at once, which must not count as an observation of
/// the prefill rate.
#[gtest]
fn record_response_refusal_is_no_rate_sample() {
    let mut f = Fixture::new(&["a"]);
    for _ in 0..10 {
        let choice = f.choose(50_000);
        let call_id = f.fleet.start(f.now, &choice, &[]);
        f.advance(Duration::from_millis(2));
        f.fleet
            .record_response(f.now, call_id, &ResponseInfo::default(), false);
        f.fleet.end(f.now, call_id, CallOutcome::Refused);
    }
    // No rate was observed.
    expect_that!(f.fleet.service_loads(f.now)[&f.service].rate, eq(0.0));
}

/// An engine whose address was reused must not be chosen until the list has its new address.
#[gtest]
fn end_replaced_until_listed() {
    let mut f = Fixture::new(&["a"]);
    let choice = f.choose(500);
    let call_id = f.fleet.start(f.now, &choice, &[]);
    f.fleet.end(f.now, call_id, CallOutcome::Replaced);
    expect_that!(
        f.try_choose(500, &[], &[]),
        err(eq(&SelectionError::Nowhere))
    );
    let mut moved = listed("a");
    moved.address = "127.0.0.1:10".parse().expect("an address");
    f.fleet.update_list(f.now, vec![moved]);
    expect_that!(f.try_choose(500, &[], &[]), ok(anything()));
}

#[gtest]
fn end_twice_counts_once() {
    let mut f = Fixture::new(&["a"]);
    let choice = f.choose(500);
    let call_id = f.fleet.start(f.now, &choice, &[]);
    f.fleet.end(f.now, call_id, CallOutcome::Served);
    f.fleet.end(f.now, call_id, CallOutcome::Broken);
    expect_that!(f.choose(500).expected, lt(Duration::from_millis(100)));
    expect_that!(f.fleet.service_loads(f.now)[&f.service].calls, eq(0.0));
}

#[gtest]
fn service_loads_decay() {
    let mut f = Fixture::new(&["a"]);
    let choice = f.choose(10_000);
    f.fleet.start(f.now, &choice, &[]);
    let load = f.fleet.service_loads(f.now)[&f.service];
    expect_that!(load.long, gt(1_000.0));
    expect_that!(load.short, eq(0.0));
    expect_that!(load.calls, eq(1.0));
    f.advance(Duration::from_secs(20));
    expect_that!(f.fleet.service_loads(f.now)[&f.service].long, lt(1.0));
}

#[gtest]
fn update_list_reports_changes() {
    let mut f = Fixture::new(&["a", "b"]);
    let mut leaving = listed("a");
    leaving.leaving = true;
    let changes = f.fleet.update_list(f.now, vec![leaving, listed("c")]);
    let reported: Vec<_> = changes
        .iter()
        .map(|c| (c.endpoint.as_str(), c.state))
        .collect();
    expect_that!(
        reported,
        unordered_elements_are![
            eq(&("a", "leaving")),
            eq(&("c", "ready")),
            eq(&("b", "gone"))
        ]
    );
}

/// Returns limits of one request per second for these endpoints, as the leader's own instance knows them.
fn limits(f: &Fixture, names: &[&str]) -> LimitTable {
    let mut table = LimitTable::new(f.now, 1);
    for (id, name) in (0..).zip(names) {
        let observation = LimitObservation {
            rate: RequestRate::from_per_second(1.0),
            sent: f.now,
            received: f.now,
            id,
        };
        table.observe(affinity::hash_name(name), observation);
    }
    table
}

/// Guards against requests beyond the limit of an endpoint, and against a limit that takes it out of use.
#[gtest]
fn choose_limited_with_permit() {
    let mut f = Fixture::new(&["a", "b"]);
    let mut limits = limits(&f, &["a"]);
    // Without a limit, the first endpoint would be chosen.
    expect_that!(f.choose(100).listed.id.as_str(), eq("a"));
    f.fleet.apply_limits(f.now, &limits);
    expect_that!(f.choose(100).listed.id.as_str(), eq("b"));
    // A call at the other endpoint makes the limited one the better choice.
    let choice = f.choose(100);
    f.fleet.start(f.now, &choice, &[]);
    let passed_over = f.choose(100).passed_over;
    expect_that!(passed_over, some(eq(affinity::hash_name("a"))));
    limits.want(f.now, affinity::hash_name("a"));
    limits.grant_own(f.now, 1, 1);
    f.advance(Duration::from_secs(1));
    limits.want(f.now, affinity::hash_name("a"));
    limits.grant_own(f.now, 1, 1);
    f.fleet.apply_limits(f.now, &limits);
    expect_that!(f.choose(100).listed.id.as_str(), eq("a"));
    limits.take(f.now, affinity::hash_name("a"));
    f.fleet.apply_limits(f.now, &limits);
    expect_that!(f.choose(100).listed.id.as_str(), eq("b"));
}

/// Guards against demand for permits of one endpoint only when all have limits, which would leave the others
/// unused.
#[gtest]
fn choose_spreads_demand_for_permits() {
    let mut f = Fixture::new(&["a", "b", "c"]);
    let limits = limits(&f, &["a", "b", "c"]);
    f.fleet.apply_limits(f.now, &limits);
    let passed_over = |tie_breaker| {
        let query = EndpointQuery {
            tie_breaker,
            ..f.query()
        };
        match f.fleet.choose(f.now, &query) {
            Err(SelectionError::Limited { passed_over, rate }) => {
                expect_that!(rate.per_second(), eq(3.0));
                passed_over
            }
            other => panic!("not limited: {other:?}"),
        }
    };
    let endpoints: std::collections::HashSet<_> = (0..30).filter_map(passed_over).collect();
    expect_that!(endpoints.len(), eq(3));
}

/// Guards against permits that are used for less urgent requests while more urgent ones are rejected, and
/// against less urgent ones that get none.
#[gtest]
fn choose_yields_permit_to_more_urgent() {
    let mut f = Fixture::new(&["a"]);
    let mut limits = limits(&f, &["a"]);
    limits.grant_own(f.now, 1, 1);
    f.advance(Duration::from_secs(1));
    limits.want(f.now, affinity::hash_name("a"));
    limits.grant_own(f.now, 1, 1);
    f.fleet.apply_limits(f.now, &limits);
    let is_chosen = |f: &Fixture, urgency, draw, is_started| {
        let query = EndpointQuery {
            urgency,
            draw,
            is_started,
            ..f.query()
        };
        f.fleet.choose(f.now, &query).is_ok()
    };
    expect_that!(is_chosen(&f, 3, 0.9, false), eq(true));
    let returns = f.now + Duration::from_millis(700);
    f.fleet
        .record_refusal(f.now, &f.service, 2, Need::Permit, returns);
    expect_that!(is_chosen(&f, 3, 0.9, false), eq(false));
    expect_that!(is_chosen(&f, 3, 0.1, false), eq(true));
    expect_that!(is_chosen(&f, 2, 0.9, false), eq(true));
    // A caller that has a part of its answer keeps the permit.
    expect_that!(is_chosen(&f, 3, 0.9, true), eq(true));
    f.advance(Duration::from_millis(700));
    expect_that!(is_chosen(&f, 3, 0.9, false), eq(true));
}

/// Guards against two entries for one endpoint that replace each other with every list, which discards what is
/// known of the endpoint and sends the requests of one service to the endpoint of another.
#[gtest]
fn update_list_two_entries_of_one_id() {
    let mut fixture = Fixture::new(&["a"]);
    let mut other = listed("b");
    other.id = "a".into();
    other.service = "other".into();
    for _ in 0..2 {
        let list = vec![listed("a"), other.clone()];
        let changes = fixture.fleet.update_list(fixture.now, list);
        expect_that!(changes, is_empty());
        expect_that!(fixture.choose(100).listed.address, eq(address("a")));
    }
}

/// Guards against sums of prompt tokens that overflow while the fleet is locked, since callers state any
/// lengths: the panic ended every later request of the process.
#[gtest]
fn choose_largest_prompt_lengths() {
    let mut fixture = Fixture::new(&["a", "b"]);
    let spec = engine(Some(1e-6));
    fixture.fleet.set_engine_spec(&fixture.service, spec);
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = [
        part(1, u32::MAX),
        part(2, u32::MAX),
        part(3, u32::MAX),
        part(4, u32::MAX),
    ];
    for _ in 0..4 {
        let service = fixture.service.clone();
        let query = EndpointQuery {
            service: &service,
            prompt: u32::MAX,
            parts: &parts,
            time_left: Duration::MAX,
            is_large_cluster: true,
            excluded: &[],
            total: fixture.total,
            urgency: 2,
            is_started: false,
            draw: 0.0,
            tie_breaker: 0,
        };
        let choice = fixture.fleet.choose(fixture.now, &query);
        fixture.fleet.record_unserved(fixture.now, &query);
        let choice = choice.expect("an endpoint");
        fixture.fleet.start(fixture.now, &choice, &parts);
        fixture.fleet.report_load(fixture.now);
    }
}

/// Guards against an expected time beyond the range of the type, which a very slow link between engines gives.
#[gtest]
fn choose_slowest_copies() {
    for copy_rate in [1e-300, f64::MIN_POSITIVE, 0.0, f64::NAN] {
        let mut fixture = Fixture::new(&["a", "b"]);
        let spec = engine(Some(copy_rate));
        fixture.fleet.set_engine_spec(&fixture.service, spec);
        let parts = session();
        let first = fixture.try_choose(9_000, &parts, &[]).expect("an endpoint");
        fixture.fleet.start(fixture.now, &first, &parts);
        let excluded = [first.listed.id.clone()];
        let query = EndpointQuery {
            prompt: 9_000,
            parts: &parts,
            excluded: &excluded,
            time_left: Duration::MAX,
            ..fixture.query()
        };
        let choice = fixture.fleet.choose(fixture.now, &query);
        expect_that!(
            choice.map(|choice| choice.listed.id),
            ok(not(eq(&excluded[0])))
        );
    }
}

/// Guards against urgent requests that pay for a burst of long prompts: under overload, they get the
/// endpoints that they need and long prompts keep to the others.
#[gtest]
fn choose_leaves_endpoints_to_more_urgent() {
    let names = ["a", "b", "c", "d"];
    let mut f = Fixture::new(&names);
    f.fleet.enable_line();
    f.total = ServiceLoad {
        long: 400_000.0,
        short: 30_000.0,
        ..ServiceLoad::default()
    };
    let division = Division {
        long_engines: Some(1),
        is_short: true,
        ..Division::default()
    };
    let demands = f.fleet.demands_mut().expect("enabled");
    demands.set_division(&f.service, division);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let choice = f.choose(10_000);
        f.fleet.start(f.now, &choice, &[]);
        used.insert(choice.listed.id);
    }
    expect_that!(used.len(), eq(1));
}
