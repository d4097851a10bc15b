//! Tests of the choice of endpoints, each replaying the load pattern that a rule answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::affinity;
use fulmarford_lib::dialect::AnswerFacts;
use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::dialect::PromptPart;
use fulmarford_lib::dialect::StatedLoad;
use fulmarford_lib::fleet::CallEnd;
use fulmarford_lib::fleet::Choice;
use fulmarford_lib::fleet::Fleet;
use fulmarford_lib::fleet::NoChoice;
use fulmarford_lib::fleet::Want;
use fulmarford_lib::fleet::is_wide;
use fulmarford_lib::ids::EndpointId;
use fulmarford_lib::ids::ServiceId;
use fulmarford_lib::route_table::EngineKind;
use fulmarford_lib::work::EngineBacklog;
use fulmarford_lib::work::Work;
use fulmarford_lib::work::WorkReport;
use googletest::prelude::*;

/// Returns an address of its own for each name of one letter.
fn address(name: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::from(name.as_bytes()[0])))
}

fn engine(copied: Option<f64>) -> EngineKind {
    EngineKind {
        slots: 64,
        memory: 600_000,
        copied,
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
    total: Work,
    is_wide: bool,
}

impl Fixture {
    fn new(names: &[&str]) -> Self {
        let now = Instant::now();
        let mut fleet = Fleet::new("z".into());
        fleet.install(now, names.iter().map(|name| listed(name)).collect());
        Self {
            fleet,
            service: "llm".into(),
            now,
            total: Work::default(),
            is_wide: false,
        }
    }

    fn ask(
        &self,
        prompt: u32,
        parts: &[PromptPart],
        excluded: &[EndpointId],
    ) -> Result<Choice, NoChoice> {
        let want = Want {
            prompt,
            parts,
            excluded,
            ..self.want()
        };
        self.fleet.choose(self.now, &want)
    }

    fn want(&self) -> Want<'_> {
        Want {
            service: &self.service,
            prompt: 0,
            parts: &[],
            excluded: &[],
            left: Duration::from_secs(10),
            total: self.total,
            urgency: 2,
            draw: 0.0,
            spread: 0,
            is_wide: self.is_wide,
        }
    }

    fn place(&self, prompt: u32) -> Choice {
        self.ask(prompt, &[], &[]).expect("an endpoint")
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }
}

/// A prompt with a shared part of 5,000 tokens.
fn session() -> [PromptPart; 2] {
    let part = |id, tokens| PromptPart { id, tokens };
    [part(7, 5_000), part(8, 500)]
}

fn name(choice: &Choice) -> &str {
    choice.listed.id.as_str()
}

#[gtest]
fn choose_nowhere() {
    let mut f = Fixture::new(&[]);
    expect_that!(f.ask(1, &[], &[]), err(eq(&NoChoice::Nowhere)));
    let mut leaving = listed("a");
    leaving.leaving = true;
    f.fleet.install(f.now, vec![leaving]);
    expect_that!(f.ask(1, &[], &[]), err(eq(&NoChoice::Nowhere)));
}

#[gtest]
fn choose_not_excluded() {
    let f = Fixture::new(&["a", "b"]);
    let excluded = ["a".into()];
    expect_that!(
        f.ask(1, &[], &excluded).map(|c| c.listed.id),
        ok(eq(&"b".into()))
    );
    let excluded = ["a".into(), "b".into()];
    expect_that!(f.ask(1, &[], &excluded), err(eq(&NoChoice::Nowhere)));
}

/// A wide fleet: an engine is busy with the requests of other instances, which this one does not see but is
/// told, and so is not chosen; what was told long ago does not count.
#[gtest]
fn choose_past_requests_of_others() {
    let mut f = Fixture::new(&["a", "b"]);
    f.is_wide = true;
    let first = f.place(500);
    let busy = EngineBacklog {
        calls: 20,
        unread: 40_000,
    };
    let hash = affinity::hash_name(name(&first));
    let sum = WorkReport {
        engines: [(hash, busy)].into(),
        ..WorkReport::default()
    };
    f.fleet.hear(f.now, &Arc::new(sum));
    expect_that!(name(&f.place(500)), not(eq(name(&first))));
    f.pass(Duration::from_secs(3));
    expect_that!(name(&f.place(500)), eq(name(&first)));
    // The own requests, which the sum holds as well, count once.
    let ticket = f.fleet.start(f.now, &first, &[]);
    let own = f.fleet.tell(f.now);
    expect_that!(own.engines[&hash].unread, eq(500));
    let before = f.ask(500, &[], &["b".into()]).map(|c| c.expected);
    f.fleet.hear(f.now, &Arc::new(own));
    let after = f.ask(500, &[], &["b".into()]).map(|c| c.expected);
    expect_that!(before, eq(after));
    f.fleet.end(f.now, ticket, CallEnd::Served);
}

/// Few instances, each of which sees much itself: a burst that others told half a second ago is over at an engine
/// that answers at once, and does not drive a short request from the engine that holds its prompt.
#[gtest]
fn choose_by_own_knowledge_unless_wide() {
    let mut f = Fixture::new(&["a", "b"]);
    let parts = [
        PromptPart { id: 1, tokens: 500 },
        PromptPart { id: 2, tokens: 10 },
    ];
    let first = f.ask(510, &parts, &[]).expect("an endpoint");
    let ticket = f.fleet.start(f.now, &first, &parts);
    f.fleet.end(f.now, ticket, CallEnd::Served);
    let burst = EngineBacklog {
        calls: 60,
        unread: 60_000,
    };
    let sum = WorkReport {
        engines: [(affinity::hash_name(name(&first)), burst)].into(),
        ..WorkReport::default()
    };
    f.fleet.hear(f.now, &Arc::new(sum));
    for (is_wide, stays) in [(false, true), (true, false)] {
        f.is_wide = is_wide;
        let next = f.ask(510, &parts, &[]).expect("an endpoint");
        expect_that!(name(&next) == name(&first), eq(stays), "wide: {is_wide}");
    }
    expect_that!(
        [0, 8, 32, 33, 1_270].map(is_wide),
        eq([false, false, false, true, true])
    );
}

/// An engine says that it leaves while the list still calls it ready: nothing more goes there, also when
/// the list is read again, until the list shows that it came back under its name.
#[gtest]
fn choose_not_leaving_by_answer() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.place(500);
    let leaving = AnswerFacts {
        leaving: true,
        ..AnswerFacts::default()
    };
    let ticket = f.fleet.start(f.now, &first, &[]);
    f.fleet.answered(f.now, ticket, &leaving, true);
    expect_that!(f.fleet.leaves(ticket), eq(true));
    f.fleet.end(f.now, ticket, CallEnd::Served);
    for _ in 0..3 {
        let list = ["a", "b"].iter().map(|name| listed(name)).collect();
        f.fleet.install(f.now, list);
        f.pass(Duration::from_secs(5));
        expect_that!(name(&f.place(500)), not(eq(name(&first))));
    }
    let (stays, left) = (listed(name(&f.place(500))), listed(name(&first)));
    let drained = ListedEndpoint {
        leaving: true,
        ..left.clone()
    };
    f.fleet.install(f.now, vec![drained, stays.clone()]);
    f.fleet.install(f.now, vec![left, stays.clone()]);
    expect_that!(
        f.ask(500, &[], &[stays.id]).map(|c| c.listed.id),
        ok(eq(&first.listed.id))
    );
}

/// An engine without room names a time: nothing goes there until then, not even as a last resort, and
/// a caller whom nobody else can serve is told that time.
#[gtest]
fn choose_not_paused() {
    let mut f = Fixture::new(&["a", "b"]);
    let pause = AnswerFacts {
        refused: true,
        pause: Some(Duration::from_millis(2_500)),
        ..AnswerFacts::default()
    };
    let first = f.place(500);
    let ticket = f.fleet.start(f.now, &first, &[]);
    f.fleet.answered(f.now, ticket, &pause, false);
    f.fleet.end(f.now, ticket, CallEnd::Refused);
    let other = f.place(500);
    expect_that!(name(&other), not(eq(name(&first))));
    let excluded = [other.listed.id.clone()];
    f.pass(Duration::from_secs(1));
    expect_that!(
        f.ask(500, &[], &excluded),
        err(eq(&NoChoice::Paused {
            wait: Duration::from_millis(1_500)
        }))
    );
    f.pass(Duration::from_millis(1_500));
    expect_that!(
        f.ask(500, &[], &excluded).map(|c| c.listed.id),
        ok(eq(&first.listed.id))
    );
}

/// A burst of long prompts: a short request passes to an engine that has nothing to read.
#[gtest]
fn choose_past_unread_prompts() {
    let mut f = Fixture::new(&["a", "b"]);
    let long = f.place(50_000);
    f.fleet.start(f.now, &long, &[]);
    let short = f.place(500);
    expect_that!(name(&short), not(eq(name(&long))));
    expect_that!(short.expected, lt(Duration::from_millis(100)));
}

/// Requests that all arrive at once are spread evenly before any load is stated.
#[gtest]
fn choose_spreads_burst() {
    let mut f = Fixture::new(&["a", "b", "c", "d"]);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        let choice = f.place(3_000);
        f.fleet.start(f.now, &choice, &[]);
        *counts.entry(name(&choice).to_owned()).or_insert(0) += 1;
    }
    expect_that!(counts.len(), eq(4));
    expect_that!(counts.values().copied().max(), some(le(12)));
}

/// A session comes back: its shared part is read where it was read before, on any instance.
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
        let first = one.ask(5_500, &parts, &[]).expect("an endpoint");
        let second = two.ask(5_500, &parts, &[]).expect("an endpoint");
        expect_that!(name(&first), eq(name(&second)));
    }
}

#[gtest]
fn choose_known_part_costs_less() {
    let mut f = Fixture::new(&["a", "b"]);
    let parts = session();
    let first = f.ask(5_500, &parts, &[]).expect("an endpoint");
    let ticket = f.fleet.start(f.now, &first, &parts);
    f.fleet.end(f.now, ticket, CallEnd::Served);
    let second = f.ask(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(name(&second), eq(name(&first)));
    expect_that!(second.unread, lt(first.unread));
}

/// A shared part at an engine that is busy: another engine copies it instead of reading it again.
#[gtest]
fn choose_copies_known_part() {
    let mut f = Fixture::new(&["a", "b", "c"]);
    f.fleet.set_engine(&f.service, engine(Some(400.0)));
    let parts = session();
    let first = f.ask(5_500, &parts, &[]).expect("an endpoint");
    let ticket = f.fleet.start(f.now, &first, &parts);
    f.fleet.end(f.now, ticket, CallEnd::Served);
    for _ in 0..3 {
        let busy = first.clone();
        let busy = Choice {
            unread: 20_000,
            ..busy
        };
        f.fleet.start(f.now, &busy, &[]);
    }
    let second = f.ask(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(name(&second), not(eq(name(&first))));
    expect_that!(second.source, some(eq(first.listed.address)));
    expect_that!(second.unread, eq(500));
}

/// A session that another instance served before: the engine that it used is known from that instance.
#[gtest]
fn learn_parts_of_other_instances() {
    let names = ["a", "b", "c", "d"];
    let (mut one, mut two) = (Fixture::new(&names), Fixture::new(&names));
    let parts = session();
    let home = one.ask(5_500, &parts, &[]).expect("an endpoint");
    let away = one.ask(5_500, &parts, std::slice::from_ref(&home.listed.id));
    let away = away.expect("another endpoint");
    let ticket = one.fleet.start(one.now, &away, &parts);
    let sightings = one.fleet.take_sightings();
    expect_that!(sightings.len(), eq(1));
    one.fleet.end(one.now, ticket, CallEnd::Served);
    one.fleet.start(one.now, &away, &parts);
    // It was told already.
    expect_that!(one.fleet.take_sightings(), is_empty());
    two.fleet.set_engine(&two.service, engine(Some(400.0)));
    two.fleet.learn(&sightings);
    let choice = two.ask(5_500, &parts, &[]).expect("an endpoint");
    let known = choice.listed.id == away.listed.id || choice.source == Some(away.listed.address);
    expect_that!(known, eq(true));
}

/// Engines that cannot copy from each other, or prompts without shared parts, name no source.
#[gtest]
fn choose_without_source() {
    let mut f = Fixture::new(&["a", "b"]);
    let parts = session();
    let choice = f.ask(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(choice.source, none());
    f.fleet.set_engine(&f.service, engine(None));
    let choice = f.ask(5_500, &parts, &[]).expect("an endpoint");
    expect_that!(choice.source, none());
    f.fleet.set_engine(&f.service, engine(Some(400.0)));
    expect_that!(f.place(5_500).source, none());
}

/// An endpoint takes over the home of a part: the endpoint that was its home is copied from.
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
        f.fleet.set_engine(&f.service, engine(Some(400.0)));
        let before = f.ask(5_010, &parts, &[]).expect("an endpoint");
        let mut list: Vec<_> = names.iter().map(|name| listed(name)).collect();
        list.push(listed("e"));
        f.fleet.install(f.now, list);
        let after = f.ask(5_010, &parts, &[]).expect("an endpoint");
        if name(&after) == "e" {
            expect_that!(after.source, some(eq(before.listed.address)));
            copied += 1;
        }
    }
    expect_that!(copied, gt(0));
}

/// A mix of long and short prompts: some engines are kept free of long ones.
#[gtest]
fn choose_long_prompts_apart() {
    let mut f = Fixture::new(&["a", "b", "c", "d"]);
    f.total = Work {
        long: 60_000.0,
        short: 10_000.0,
        calls: 10.0,
        rate: 50.0,
    };
    let mut long = std::collections::BTreeSet::new();
    let mut short = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let choice = f.place(10_000);
        let ticket = f.fleet.start(f.now, &choice, &[]);
        long.insert(name(&choice).to_owned());
        let choice = f.place(500);
        short.insert(name(&choice).to_owned());
        f.fleet.end(f.now, ticket, CallEnd::Served);
    }
    expect_that!(long.is_disjoint(&short), eq(true));
}

/// Most of a service's engines are taken back during a burst: of the long requests, the part that the
/// others cannot read is turned away at once and counts as asked for; short and most urgent ones are not.
#[gtest]
fn choose_within_capacity() {
    let mut f = Fixture::new(&["a", "b"]);
    // Two engines read 50 tokens/ms each, half of the time.
    f.total = Work {
        long: 80_000.0,
        short: 10_000.0,
        calls: 100.0,
        rate: 50.0,
    };
    let refused = |f: &Fixture, prompt: u32, urgency: u8| {
        let ask = |draw: f64| Want {
            prompt,
            urgency,
            draw,
            ..f.want()
        };
        let draws = (0..100).map(|n| f64::from(n) / 100.0);
        let full = Err(NoChoice::Full);
        draws
            .filter(|draw| f.fleet.choose(f.now, &ask(*draw)) == full)
            .count()
    };
    // 40,000 of 80,000 tokens/s are too many.
    expect_that!(refused(&f, 10_000, 2), eq(50));
    expect_that!(refused(&f, 500, 2), eq(0));
    expect_that!(refused(&f, 10_000, 0), eq(0));
    f.total.long = 500_000.0;
    expect_that!(refused(&f, 10_000, 2), eq(60));
    // Nobody is turned away while half of the places are free.
    f.total.calls = 60.0;
    expect_that!(refused(&f, 10_000, 2), eq(0));
    let before = f.fleet.works(f.now).len();
    let want = Want {
        prompt: 10_000,
        ..f.want()
    };
    let now = f.now;
    let mut fleet = Fleet::new("z".into());
    fleet.missed(now, &want);
    expect_that!(before, eq(0));
    expect_that!(fleet.works(now)[&f.service].long, gt(0.0));
}

/// Engines that fail are not used at once, and are not lost for good.
#[gtest]
fn choose_failures_fade() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.place(500);
    let failed = first.listed.id.clone();
    let ticket = f.fleet.start(f.now, &first, &[]);
    f.fleet.end(f.now, ticket, CallEnd::Broken);
    for _ in 0..10 {
        let choice = f.place(500);
        expect_that!(choice.listed.id, not(eq(&failed)));
        f.fleet.start(f.now, &choice, &[]);
    }
    f.pass(Duration::from_secs(15));
    let other = [if failed == "a".into() {
        "b".into()
    } else {
        "a".into()
    }];
    let again = f.ask(500, &[], &other).expect("an endpoint");
    expect_that!(again.expected, lt(Duration::from_millis(100)));
}

/// An engine falls silent: requests pass to others although it states no load.
#[gtest]
fn choose_not_silent() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.place(500);
    f.fleet.start(f.now, &first, &[]);
    f.pass(Duration::from_secs(2));
    for _ in 0..20 {
        let choice = f.place(500);
        expect_that!(name(&choice), not(eq(name(&first))));
        let ticket = f.fleet.start(f.now, &choice, &[]);
        f.fleet
            .answered(f.now, ticket, &AnswerFacts::default(), true);
    }
}

/// Many instances send to the same engines: the load that an answer states counts beside the own.
#[gtest]
fn choose_by_stated_load() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.place(500);
    let ticket = f.fleet.start(f.now, &first, &[]);
    let full = StatedLoad {
        running: 64,
        waiting: 30,
        slots: 64,
    };
    let facts = AnswerFacts {
        load: Some(full),
        ..AnswerFacts::default()
    };
    f.fleet.answered(f.now, ticket, &facts, true);
    f.fleet.end(f.now, ticket, CallEnd::Served);
    for _ in 0..5 {
        expect_that!(name(&f.place(500)), not(eq(name(&first))));
    }
}

/// A zone is taken back: engines that close their connections are left before the list tells.
#[gtest]
fn choose_not_closing() {
    let mut f = Fixture::new(&["a", "b"]);
    let first = f.place(500);
    for _ in 0..2 {
        let ticket = f.fleet.start(f.now, &first, &[]);
        f.fleet.closes(f.now, ticket);
        f.fleet.end(f.now, ticket, CallEnd::Served);
    }
    expect_that!(name(&f.place(20_000)), not(eq(name(&first))));
    f.pass(Duration::from_secs(2));
    let other = f.place(500).listed.id;
    let ids = [other];
    expect_that!(
        f.ask(500, &[], &ids).map(|c| c.expected),
        ok(lt(Duration::from_millis(100)))
    );
}

#[gtest]
fn choose_late_when_all_are_full() {
    let mut f = Fixture::new(&["a"]);
    let first = f.place(50_000);
    expect_that!(first.expected, ge(Duration::from_millis(500)));
    f.fleet.start(f.now, &first, &[]);
    for _ in 0..20 {
        if let Ok(choice) = f.ask(50_000, &[], &[]) {
            f.fleet.start(f.now, &choice, &[]);
        }
    }
    expect_that!(
        f.ask(50_000, &[], &[]),
        err(matches_pattern!(NoChoice::Late { .. }))
    );
}

/// Load beyond capacity: a long request gives way to a more urgent one that found no room, and
/// only to such a one, and not for long.
#[gtest]
fn choose_yields_to_more_urgent() {
    let mut f = Fixture::new(&["a"]);
    f.fleet.turned_away(f.now, &f.service, 2);
    expect_that!(f.ask(10_000, &[], &[]), ok(anything()));
    f.fleet.turned_away(f.now, &f.service, 1);
    f.fleet.turned_away(f.now, &f.service, 3);
    expect_that!(f.ask(10_000, &[], &[]), err(eq(&NoChoice::Yields)));
    expect_that!(f.ask(500, &[], &[]), ok(anything()));
    f.pass(Duration::from_secs(2));
    expect_that!(f.ask(10_000, &[], &[]), ok(anything()));
}

/// A prompt that was cached unknown to this instance says nothing about how fast engines read.
#[gtest]
fn answered_rate_from_certain_tokens() {
    let mut f = Fixture::new(&["a"]);
    let parts = [
        PromptPart {
            id: 7,
            tokens: 50_000,
        },
        PromptPart { id: 8, tokens: 100 },
    ];
    let choice = f.ask(50_100, &parts, &[]).expect("an endpoint");
    let ticket = f.fleet.start(f.now, &choice, &parts);
    f.pass(Duration::from_millis(10));
    f.fleet
        .answered(f.now, ticket, &AnswerFacts::default(), true);
    // Nothing was seen.
    expect_that!(f.fleet.works(f.now)[&f.service].rate, eq(0.0));
    f.fleet.end(f.now, ticket, CallEnd::Served);
    let choice = f.place(50_000);
    let ticket = f.fleet.start(f.now, &choice, &[]);
    f.pass(Duration::from_millis(500));
    f.fleet
        .answered(f.now, ticket, &AnswerFacts::default(), true);
    expect_that!(
        f.fleet.works(f.now)[&f.service].rate,
        all![gt(60.0), le(100.0)]
    );
}

/// Engines that leave or are full refuse at once, which says nothing about how fast they read.
#[gtest]
fn answered_refusal_is_no_reading() {
    let mut f = Fixture::new(&["a"]);
    for _ in 0..10 {
        let choice = f.place(50_000);
        let ticket = f.fleet.start(f.now, &choice, &[]);
        f.pass(Duration::from_millis(2));
        f.fleet
            .answered(f.now, ticket, &AnswerFacts::default(), false);
        f.fleet.end(f.now, ticket, CallEnd::Refused);
    }
    // Nothing was seen.
    expect_that!(f.fleet.works(f.now)[&f.service].rate, eq(0.0));
}

/// The address of an engine that is gone may belong to another one.
#[gtest]
fn end_replaced_until_listed() {
    let mut f = Fixture::new(&["a"]);
    let choice = f.place(500);
    let ticket = f.fleet.start(f.now, &choice, &[]);
    f.fleet.end(f.now, ticket, CallEnd::Replaced);
    expect_that!(f.ask(500, &[], &[]), err(eq(&NoChoice::Nowhere)));
    let mut moved = listed("a");
    moved.address = "127.0.0.1:10".parse().expect("an address");
    f.fleet.install(f.now, vec![moved]);
    expect_that!(f.ask(500, &[], &[]), ok(anything()));
}

#[gtest]
fn end_twice_counts_once() {
    let mut f = Fixture::new(&["a"]);
    let choice = f.place(500);
    let ticket = f.fleet.start(f.now, &choice, &[]);
    f.fleet.end(f.now, ticket, CallEnd::Served);
    f.fleet.end(f.now, ticket, CallEnd::Broken);
    expect_that!(f.place(500).expected, lt(Duration::from_millis(100)));
    expect_that!(f.fleet.works(f.now)[&f.service].calls, eq(0.0));
}

#[gtest]
fn works_rates_fade() {
    let mut f = Fixture::new(&["a"]);
    let choice = f.place(10_000);
    f.fleet.start(f.now, &choice, &[]);
    let work = f.fleet.works(f.now)[&f.service];
    expect_that!(work.long, gt(1_000.0));
    expect_that!(work.short, eq(0.0));
    expect_that!(work.calls, eq(1.0));
    f.pass(Duration::from_secs(20));
    expect_that!(f.fleet.works(f.now)[&f.service].long, lt(1.0));
}

#[gtest]
fn install_changes() {
    let mut f = Fixture::new(&["a", "b"]);
    let mut leaving = listed("a");
    leaving.leaving = true;
    let changes = f.fleet.install(f.now, vec![leaving, listed("c")]);
    let told: Vec<_> = changes
        .iter()
        .map(|c| (c.endpoint.as_str(), c.state))
        .collect();
    expect_that!(
        told,
        unordered_elements_are![
            eq(&("a", "leaving")),
            eq(&("c", "ready")),
            eq(&("b", "gone"))
        ]
    );
}
