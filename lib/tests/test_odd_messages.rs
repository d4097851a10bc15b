//! Tests of what peers' messages do to the state of an instance, whatever figures they hold.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::dialect::PromptPart;
use fulmarford_lib::dialect::RequestRate;
use fulmarford_lib::endpoint_limit::LimitNews;
use fulmarford_lib::endpoint_limit::LimitRow;
use fulmarford_lib::endpoint_limit::LimitTable;
use fulmarford_lib::endpoint_limit::PermitRow;
use fulmarford_lib::fleet::EndpointQuery;
use fulmarford_lib::fleet::Fleet;
use fulmarford_lib::peer_message;
use fulmarford_lib::peer_message::Delivery;
use fulmarford_lib::peer_message::JoinRequest;
use fulmarford_lib::peer_message::JoinResponse;
use fulmarford_lib::peer_message::LeaderRequest;
use fulmarford_lib::peer_message::LeaderResponse;
use fulmarford_lib::peer_message::PollRequest;
use fulmarford_lib::peer_message::PollResponse;
use fulmarford_lib::prefix_hint::PrefixHint;
use fulmarford_lib::service_load::EngineBacklog;
use fulmarford_lib::service_load::LoadAggregator;
use fulmarford_lib::service_load::LoadSummary;
use fulmarford_lib::service_load::ServiceLoad;
use fulmarford_lib::shared_list::ListDelta;
use fulmarford_lib::shared_list::ListRevision;
use fulmarford_lib::shared_list::SharedList;
use proptest::prelude::*;

fn counts() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u32::MAX),
        Just(u32::MAX - 1),
        any::<u32>()
    ]
}

fn numbers() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX),
        Just(u64::MAX - 1),
        any::<u64>()
    ]
}

fn figures() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        any::<f64>(),
        Just(0.0)
    ]
}

fn ages() -> impl Strategy<Value = Duration> {
    prop_oneof![
        numbers().prop_map(Duration::from_millis),
        (0..3_000_u64).prop_map(Duration::from_millis),
    ]
}

fn endpoint(number: u8, slots: u32) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("i-{number}").into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots,
        leaving: false,
        reclaimable: false,
    }
}

fn revisions() -> impl Strategy<Value = ListRevision> {
    (numbers(), numbers()).prop_map(|(epoch, number)| ListRevision { epoch, number })
}

fn deltas() -> impl Strategy<Value = ListDelta> {
    (
        (
            revisions(),
            revisions(),
            prop_oneof![ages(), Just(Duration::MAX)],
        ),
        (any::<bool>(), any::<bool>()),
        proptest::collection::vec((0..4_u8, counts()), 0..4),
        proptest::collection::vec(0..4_u8, 0..4),
    )
        .prop_map(
            |((since, revision, age), (is_full, has_more), changed, removed)| ListDelta {
                since,
                revision,
                age,
                is_full,
                has_more,
                changed: changed.into_iter().map(|(n, s)| endpoint(n, s)).collect(),
                removed: removed.into_iter().map(|n| endpoint(n, 1).id).collect(),
            },
        )
}

fn news() -> impl Strategy<Value = LimitNews> {
    (0..3_u64, any::<bool>(), figures(), numbers(), ages()).prop_map(
        |(endpoint, has_rate, rate, observation, age)| LimitNews {
            endpoint,
            rate: RequestRate::from_per_second(rate).filter(|_| has_rate),
            observation,
            age,
        },
    )
}

/// Encodes and decodes a message, as it travels.
fn travel<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> Option<T> {
    peer_message::decode(&peer_message::encode(message))
}

proptest! {
    /// Guards against a delta of the list that ends the process.
    #[test]
    fn apply_any_deltas_with_any_figures(list in proptest::collection::vec(deltas(), 1..8)) {
        let now = Instant::now();
        let shared = SharedList::default();
        for (step, delta) in list.iter().enumerate() {
            let Some(delta) = travel(delta) else { continue };
            shared.relay(now, &delta);
            shared.apply(now, delta.clone());
            shared.publish_page(step as u64, &delta.changed);
            shared.publish(now, step as u64, &delta.changed);
            for held in [delta.since, delta.revision, ListRevision::default()] {
                let _ = shared.delta(now, held);
                let _ = shared.has_delta(now, held);
            }
            let _ = shared.fresh(now);
        }
    }

    /// Guards against limits and permits that end the process.
    #[test]
    fn limits_with_any_figures(
        rows in proptest::collection::vec((news(), counts(), counts(), ages()), 1..8),
        (term, count) in (numbers(), counts()),
    ) {
        let mut now = Instant::now();
        let mut table = LimitTable::new(now, 1);
        table.serve_callers();
        for (news, wanted, reserve, lifetime) in rows {
            let report = [LimitRow { news, wanted, reserve }];
            let answer = [PermitRow { news, permits: wanted, lifetime }];
            if let Some(report) = travel(&report[0]) {
                table.collect(now, &"a".into(), &[report.clone(), report.clone()]);
                let _ = table.answer(now, Some(term), &"a".into(), std::slice::from_ref(&report));
                let _ = table.answer(now, None, &"b".into(), &[report]);
            }
            if let Some(answer) = travel(&answer[0]) {
                table.receive(now, now, count, &[answer.clone(), answer]);
            }
            for endpoint in 0..3 {
                let _ = table.admission(now, endpoint);
                table.take(now, endpoint);
                table.want(now, endpoint);
            }
            table.grant_own(now, term, count);
            let _ = table.report(now);
            now += Duration::from_millis(700);
        }
    }

    /// Guards against loads and hints that end the process.
    #[test]
    fn loads_with_any_figures(
        loads in proptest::collection::vec((figures(), figures(), figures(), figures()), 1..4),
        backlogs in proptest::collection::vec((0..4_u8, counts(), counts()), 0..4),
        parts in proptest::collection::vec((0..4_u64, counts()), 0..5),
        (prompt, slots, draw) in (counts(), 1..=65_536_u32, 0.0..1.0),
    ) {
        let now = Instant::now();
        let mut fleet = Fleet::new("z".into());
        let list: Vec<_> = (0..4).map(|number| endpoint(number, slots)).collect();
        fleet.update_list(now, list);
        let parts: Vec<_> = parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect();
        let mut sum = LoadAggregator::default();
        for (number, (long, short, calls, rate)) in loads.into_iter().enumerate() {
            let load = ServiceLoad { long, short, calls, rate };
            let engines = backlogs.iter().map(|(number, calls, prefill_tokens)| {
                let backlog = EngineBacklog { calls: *calls, prefill_tokens: *prefill_tokens };
                (u64::from(*number), backlog)
            });
            let report = LoadSummary {
                by_service: [("llm".into(), load)].into(),
                engines: engines.collect(),
                ..LoadSummary::default()
            };
            if let Some(report) = travel(&report) {
                sum.set(now, &format!("i-{number}").as_str().into(), report);
            }
        }
        let total = sum.sum(now);
        fleet.apply_cluster_load(now, &Arc::new(total.clone()));
        let hint = PrefixHint { endpoint: 1, parts: parts.clone() };
        fleet.apply_prefix_hints(&[travel(&hint).expect("a hint")]);
        for is_large_cluster in [false, true] {
            let query = EndpointQuery {
                service: &"llm".into(),
                prompt,
                parts: &parts,
                excluded: &[],
                time_left: Duration::from_secs(10),
                total: total.by_service["llm"],
                urgency: 2,
                is_started: false,
                draw,
                tie_breaker: 7,
                is_large_cluster,
            };
            if let Ok(choice) = fleet.choose(now, &query) {
                fleet.start(now, &choice, &parts);
            }
            fleet.report_load(now);
        }
    }

    /// Guards against a message that makes its reader reserve memory for what it only announces.
    #[test]
    fn any_bytes_are_no_message(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let mut announced = vec![0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];
        announced.extend(&bytes);
        for bytes in [&bytes, &announced] {
            let _ = peer_message::decode::<PollRequest>(bytes);
            let _ = peer_message::decode::<PollResponse>(bytes);
            let _ = peer_message::decode::<LeaderRequest>(bytes);
            let _ = peer_message::decode::<LeaderResponse>(bytes);
            let _ = peer_message::decode::<JoinRequest>(bytes);
            let _ = peer_message::decode::<JoinResponse>(bytes);
            let _ = peer_message::decode::<Delivery>(bytes);
            let _ = peer_message::decode::<ListDelta>(bytes);
            let _ = peer_message::decode::<Vec<LimitRow>>(bytes);
        }
    }
}
