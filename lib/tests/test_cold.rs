//! Tests of the bound on requests to cold endpoints.
//!
//! A simulation runs entries that poll a leader through relays against one endpoint that turns cold.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::affinity;
use fulmarford_lib::cold::rate::ColdTerms;
use fulmarford_lib::cold::tracker::ColdTracker;
use fulmarford_lib::cold::tracker::ListState;
use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::dialect::RequestRate;
use fulmarford_lib::endpoint_limit::Admission;
use fulmarford_lib::endpoint_limit::LimitObservation;
use fulmarford_lib::endpoint_limit::LimitTable;
use fulmarford_lib::endpoint_limit::PermitRow;
use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::ids::ServiceId;
use fulmarford_lib::permit::BURST_TIME;
use fulmarford_lib::permit::PERMIT_LIFETIME;
use fulmarford_lib::route_table::ColdSpec;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

const TERMS: ColdTerms = ColdTerms {
    overrun: 1.5,
    slack: 5.0,
    list_lag: Duration::from_millis(800),
};

fn spec(per_second: f64) -> ColdSpec {
    ColdSpec {
        rate: RequestRate::from_per_second(per_second).expect("a valid rate"),
        time: Duration::from_secs(3),
    }
}

fn bound(per_second: f64) -> f64 {
    per_second * TERMS.overrun + TERMS.slack
}

fn listed(name: &str, zone: &str, cold: bool) -> ListedEndpoint {
    ListedEndpoint {
        id: name.into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 16,
        leaving: false,
        reclaimable: false,
        cold,
    }
}

fn hash(name: &str) -> u64 {
    affinity::hash_name(name)
}

/// The table and tracker of an instance.
struct Instance {
    table: LimitTable,
    tracker: ColdTracker,
}

impl Instance {
    fn new(now: Instant, seed: u64) -> Self {
        let mut table = LimitTable::new(now, seed);
        table.serve_callers();
        let mut tracker = ColdTracker::new(Some(TERMS));
        let service = (ServiceId::from("llm"), spec(7.9));
        tracker.set_services(now, [(&service.0, &service.1)].into_iter(), &mut table);
        Self { table, tracker }
    }

    fn read(&mut self, now: Instant, read_at: Instant, version: u64, list: &[ListedEndpoint]) {
        let list = ListState {
            read_at,
            version,
            endpoints: list,
        };
        self.tracker.update(now, list, &mut self.table);
    }

    fn is_cold(&self, name: &str) -> bool {
        self.table.is_cold(hash(name))
    }
}

/// An answer that arrives at an entry later.
struct Answer {
    entry: usize,
    sent: Instant,
    arrives: Instant,
    rows: Vec<PermitRow>,
}

/// A leader, relays and entries. All entries would send to the one endpoint, and learn within half a second that it
/// is cold.
struct World {
    rng: StdRng,
    /// The voters; one of them leads, the others relay.
    voters: Vec<LimitTable>,
    leader: usize,
    term: u64,
    entries: Vec<Instance>,
    next_poll: Vec<Instant>,
    voter_poll: Vec<Instant>,
    answers: Vec<Answer>,
    /// Entries that reach no voter.
    cut: BTreeSet<usize>,
    /// Until when an entry does nothing.
    frozen: Vec<Instant>,
    start: Instant,
    now: Instant,
    sent: Vec<Instant>,
}

impl World {
    fn new(seed: u64, entries: usize, voters: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let phase = |rng: &mut StdRng| start + Duration::from_millis(rng.random_range(0..250));
        Self {
            voters: (0..voters)
                .map(|n| LimitTable::new(start, n as u64))
                .collect(),
            leader: 0,
            term: 1,
            entries: (0..entries)
                .map(|_| Instance::new(start, rng.random()))
                .collect(),
            next_poll: (0..entries).map(|_| phase(&mut rng)).collect(),
            voter_poll: (0..voters).map(|_| phase(&mut rng)).collect(),
            answers: Vec::new(),
            cut: BTreeSet::new(),
            frozen: vec![start; entries],
            start,
            now: start,
            sent: Vec::new(),
            rng,
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Lets every entry know that the endpoint is cold, one after the other.
    fn read_lists(&mut self) {
        let list = [listed("a", "z", true)];
        let count = self.entries.len();
        let known = (count as f64 * self.elapsed().as_secs_f64() * 2.0) as usize;
        for (n, entry) in self.entries.iter_mut().enumerate().take(known) {
            if !entry.is_cold("a") && n < known {
                entry.read(self.now, self.now, 1, &list);
            }
        }
    }

    fn poll(&mut self, entry: usize) {
        let now = self.now;
        let count = self.voters.len();
        let mut relay = entry % count;
        if relay == self.leader && count > 1 {
            relay = (relay + 1) % count;
        }
        let rows = self.entries[entry].table.report(now);
        let name = InstanceId::from(format!("e{entry}"));
        let term = (relay == self.leader).then_some(self.term);
        self.voters[relay].collect(now, &name, &rows);
        let rows = self.voters[relay].answer(now, term, &name, &rows);
        let delay = Duration::from_millis(self.rng.random_range(5..250));
        let (sent, arrives) = (now, now + delay);
        self.answers.push(Answer {
            entry,
            sent,
            arrives,
            rows,
        });
        self.next_poll[entry] = arrives;
    }

    /// Lets the relays poll the leader.
    fn poll_leader(&mut self) {
        let (now, leader) = (self.now, self.leader);
        for relay in 0..self.voters.len() {
            if relay == leader || now < self.voter_poll[relay] {
                continue;
            }
            let rows = self.voters[relay].report(now);
            let name = InstanceId::from(format!("v{relay}"));
            self.voters[leader].collect(now, &name, &rows);
            let rows = self.voters[leader].answer(now, Some(self.term), &name, &rows);
            self.voters[relay].receive(now, now, self.entries.len() as u32, &rows);
            self.voter_poll[relay] = now + Duration::from_millis(self.rng.random_range(20..250));
        }
    }

    fn run(&mut self, seconds: f64, demand: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        let chance = (demand / self.entries.len() as f64 * STEP.as_secs_f64()).min(1.0);
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            self.read_lists();
            self.poll_leader();
            let (due, waiting) = self.answers.drain(..).partition(|a| a.arrives <= now);
            self.answers = waiting;
            for answer in Vec::from_iter::<Vec<Answer>>(due) {
                if !self.cut.contains(&answer.entry) {
                    let count = self.entries.len() as u32;
                    let table = &mut self.entries[answer.entry].table;
                    table.receive(now, answer.sent, count, &answer.rows);
                }
            }
            for entry in 0..self.entries.len() {
                if now < self.frozen[entry] {
                    continue;
                }
                if now >= self.next_poll[entry] && !self.cut.contains(&entry) {
                    self.poll(entry);
                }
                if self.rng.random_bool(chance) {
                    let table = &mut self.entries[entry].table;
                    match table.admission(now, hash("a")) {
                        Admission::Blocked(_) => table.want(now, hash("a")),
                        _ => {
                            table.take(now, hash("a"));
                            self.sent.push(now);
                        }
                    }
                }
            }
        }
    }

    /// Returns the largest number of requests in a second, from `from` seconds on.
    fn most(&self, from: f64) -> usize {
        let from = self.start + Duration::from_secs_f64(from);
        let late: Vec<_> = self.sent.iter().filter(|at| **at >= from).collect();
        let count = |at: &&Instant| {
            let in_second = |other: &&&Instant| ***other >= **at && ***other < **at + SECOND;
            late.iter().filter(in_second).count()
        };
        late.iter().map(count).max().unwrap_or(0)
    }
}

/// Guards against more requests in a second than a cold endpoint tolerates, for any number of entries, while the
/// leader moves and ends, and entries are cut off, frozen and restarted; and against an endpoint that is not used.
#[gtest]
fn cold_endpoint_bounded() {
    // Entries with few requests each let most of their permits expire.
    for (entries, voters, seeds, least) in [(3, 1, 12, 5), (60, 5, 8, 5), (1_270, 9, 1, 1)] {
        for seed in 0..seeds {
            let mut world = World::new(seed, entries, voters);
            world.run(2.0, 150.0);
            // All hold permits when the leader moves, and the old one ends.
            world.term += 1;
            world.voters[0] = LimitTable::new(world.now, seed);
            world.leader = voters / 2;
            world.run(0.5, 150.0);
            world.cut.extend((0..entries).step_by(3));
            let now = world.now;
            for entry in (1..entries).step_by(3) {
                world.frozen[entry] = now + Duration::from_millis(700);
            }
            let restarted = &mut world.entries[entries - 1];
            *restarted = Instance::new(now, seed);
            restarted.read(now, now, 1, &[listed("a", "z", true)]);
            // Far beyond the time without contact after which an entry would use slots.
            world.run(3.0, 150.0);
            world.cut.clear();
            world.run(1.5, 150.0);
            let case = format!("{entries} entries, seed {seed}");
            let most = world.most(0.6);
            expect_that!(most as f64, le(bound(7.9)), "{case}");
            expect_that!(most, ge(least), "{case}");
        }
    }
}

/// Guards against a rate of permits with which the bound of a second does not hold.
#[gtest]
fn permit_rate_within_bound() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..1_000 {
        let per_second = 10_f64.powf(rng.random_range(-2.0..3.0));
        let terms = ColdTerms {
            overrun: rng.random_range(1.0..3.0),
            slack: rng.random_range(2.0..20.0),
            ..TERMS
        };
        let rate = terms.permit_rate(&spec(per_second)).expect("a rate");
        let rate = rate.per_second();
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let most = rate * (SECOND + PERMIT_LIFETIME).as_secs_f64() + burst + 1.0;
        let rounding = 0.01;
        expect_that!(
            most,
            le(per_second * terms.overrun + terms.slack + rounding)
        );
        expect_that!(rate, le(per_second + rounding));
    }
}

/// Guards against endpoints that are flooded when they appear, and that stay limited when they are warm.
#[gtest]
fn update_follows_list() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut instance = Instance::new(start, 1);
    // Endpoints of the first list are not new.
    let first = [listed("a", "z", false), listed("b", "z", true)];
    instance.read(start, start, 1, &first);
    expect_that!(
        (instance.is_cold("a"), instance.is_cold("b")),
        eq((false, true))
    );
    let second = [
        listed("a", "z", true),
        listed("b", "z", false),
        listed("c", "z", false),
    ];
    instance.read(at(1_000), at(1_000), 2, &second);
    expect_that!(
        (instance.is_cold("a"), instance.is_cold("b")),
        eq((true, false))
    );
    // The list shows the time before its reading, in which a new endpoint may not have started yet.
    instance.read(at(1_250), at(1_000), 2, &second);
    expect_that!(instance.is_cold("c"), eq(true));
    instance.read(at(1_700), at(1_700), 2, &second);
    expect_that!(
        instance.is_cold("c"),
        eq(true),
        "read {:?} later",
        TERMS.list_lag
    );
    instance.read(at(3_000), at(3_000), 2, &second);
    expect_that!(
        (instance.is_cold("a"), instance.is_cold("c")),
        eq((true, false))
    );
}

/// Guards against an endpoint that ends and returns cold before the list shows it.
#[gtest]
fn suspect_until_list_is_newer() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let list = [listed("a", "z", false), listed("b", "y", false)];
    let mut instance = Instance::new(start, 1);
    let mut other = Instance::new(start, 2);
    for instance in [&mut instance, &mut other] {
        instance.read(start, start, 1, &list);
    }
    let change = instance
        .tracker
        .suspect(at(100), &list[0], 7, &mut instance.table);
    expect_that!(change, some(anything()));
    let changes = Vec::from_iter(change);
    let tracker = &mut instance.tracker;
    expect_that!(tracker.should_tell(at(100), &changes), eq(true));
    // Polls that are interrupted all the time are never answered.
    expect_that!(tracker.should_tell(at(400), &changes), eq(false));
    expect_that!(tracker.should_tell(at(600), &changes), eq(true));
    expect_that!(tracker.should_tell(at(2_000), &[]), eq(false));
    // Another instance is told with a poll.
    let mut leader = LimitTable::new(start, 3);
    leader.collect(at(110), &"e".into(), &instance.table.report(at(110)));
    let rows = leader.answer(at(120), Some(1), &"f".into(), &[]);
    other.table.receive(at(130), at(110), 2, &rows);
    for instance in [&mut instance, &mut other] {
        expect_that!(
            (instance.is_cold("a"), instance.is_cold("b")),
            eq((true, false))
        );
        // The list shows the endpoint as it was for some time, and it may be down for as long as it would be cold.
        instance.read(at(3_800), at(3_800), 1, &list);
        expect_that!(instance.is_cold("a"), eq(true));
        instance.read(at(4_100), at(4_100), 1, &list);
        expect_that!(instance.is_cold("a"), eq(false));
    }
}

/// Guards against a whole availability zone that is used again as if its endpoints were warm.
#[gtest]
fn suspect_zone_until_list_is_newer() {
    let start = Instant::now();
    let names: Vec<_> = (0..140).map(|n| format!("i-{n}")).collect();
    let zone = |n: usize| if n.is_multiple_of(4) { "y" } else { "z" };
    let endpoints = names.iter().enumerate();
    let list: Vec<_> = endpoints
        .map(|(n, name)| listed(name, zone(n), false))
        .collect();
    let mut instance = Instance::new(start, 1);
    instance.read(start, start, 1, &list);
    let table = &mut instance.table;
    let changes = instance
        .tracker
        .suspect_zone(start + STEP, &"y".into(), 9, table);
    expect_that!(changes.len(), eq(35));
    expect_that!(instance.tracker.cold_count(), eq(35));
    expect_that!(
        (instance.is_cold("i-4"), instance.is_cold("i-5")),
        eq((true, false))
    );
}

/// Guards against a stated limit that is lost or lifted because the endpoint is cold, and the other way round.
#[gtest]
fn smaller_limit_applies() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let state = |table: &mut LimitTable, ms: u64, rate: Option<f64>| {
        let observation = LimitObservation {
            rate: rate.and_then(RequestRate::from_per_second),
            sent: at(ms),
            received: at(ms + 10),
            id: ms,
        };
        table.observe(hash("a"), observation);
    };
    let rate = |instance: &Instance| match instance.table.admission(at(500), hash("a")) {
        Admission::Blocked(rate) => rate.per_second(),
        _ => f64::INFINITY,
    };
    let mut instance = Instance::new(start, 1);
    instance.read(start, start, 1, &[listed("a", "z", true)]);
    let cold = rate(&instance);
    expect_that!(cold, all![gt(3.0), lt(7.9)]);
    state(&mut instance.table, 100, Some(1.0));
    expect_that!(rate(&instance), eq(1.0));
    state(&mut instance.table, 200, Some(50.0));
    expect_that!(rate(&instance), eq(cold));
    state(&mut instance.table, 300, None);
    expect_that!(rate(&instance), eq(cold));
}

/// Guards against any effect where the users state no bound or the service no rate.
#[gtest]
fn update_without_terms() {
    let start = Instant::now();
    let list = [listed("a", "z", true)];
    for terms in [None, Some(TERMS)] {
        let mut table = LimitTable::new(start, 1);
        let mut tracker = ColdTracker::new(terms);
        let service = ServiceId::from(if terms.is_none() { "llm" } else { "other" });
        let cold = spec(7.9);
        tracker.set_services(start, [(&service, &cold)].into_iter(), &mut table);
        let state = ListState {
            read_at: start,
            version: 1,
            endpoints: &list,
        };
        tracker.update(start, state, &mut table);
        tracker.suspect(start, &list[0], 1, &mut table);
        tracker.suspect_zone(start, &"z".into(), 1, &mut table);
        expect_that!(table.is_empty(), eq(true), "{terms:?}");
    }
}
