//! Tests of limits held by leased quota chunks.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::limit::Chunk;
use fulmarford_lib::limit::HOLD;
use fulmarford_lib::limit::LIFETIME;
use fulmarford_lib::limit::POLL_INTERVAL;
use fulmarford_lib::limit::Pool;
use fulmarford_lib::limit::Share;
use fulmarford_lib::rules::Limit;
use googletest::prelude::*;
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(50);
const REQUEST_TOKENS: u32 = 400;
const VIEW_LEASE: Duration = Duration::from_secs(2);

fn limit(requests: Option<f64>, tokens: Option<f64>, concurrency: Option<u32>) -> Limit {
    Limit {
        workspace: "w".into(),
        requests,
        tokens,
        concurrency,
    }
}

struct Entry {
    id: InstanceId,
    share: Share,
    polled: Instant,
    contact: Instant,
    /// Ends of running requests.
    running: Vec<Instant>,
    /// A chunk under way, with the time at which it was asked for and at which it arrives.
    late: Option<(Instant, Instant, Chunk)>,
}

impl Entry {
    fn new(now: Instant, n: usize, limit: &Limit) -> Self {
        Self {
            id: format!("e{n}").into(),
            share: Share::new(limit.clone()),
            polled: now - POLL_INTERVAL,
            contact: now,
            running: Vec::new(),
            late: None,
        }
    }
}

/// What happens at one step: entry, attempts, and an event.
type Step = (usize, u8, u8);

struct World {
    limit: Limit,
    pool: Pool,
    entries: Vec<Entry>,
    cut: Vec<bool>,
    admitted: Vec<(Instant, u32)>,
    epoch: u64,
}

impl World {
    fn new(now: Instant, limit: Limit, entries: usize) -> Self {
        Self {
            pool: Pool::new(now, limit.clone()),
            entries: (0..entries).map(|n| Entry::new(now, n, &limit)).collect(),
            cut: vec![false; entries],
            admitted: Vec::new(),
            limit,
            epoch: 1,
        }
    }

    fn event(&mut self, now: Instant, n: usize, event: u8) {
        match event {
            0..=2 => self.cut[n] = true,
            3..=9 => self.cut[n] = false,
            // A restarted entry has lost its requests and its share.
            10 => self.entries[n] = Entry::new(now, n + self.entries.len(), &self.limit),
            11 => {
                self.epoch += 1 << 32;
                self.pool = Pool::new(now, self.limit.clone());
            }
            _ => {}
        }
    }

    fn step(&mut self, now: Instant) {
        for (n, entry) in self.entries.iter_mut().enumerate() {
            // The view lease ends all requests of an entry that lost contact.
            if now >= entry.contact + VIEW_LEASE {
                for _ in entry.running.drain(..) {
                    entry.share.settle(now, REQUEST_TOKENS, REQUEST_TOKENS);
                }
            }
            let before = entry.running.len();
            entry.running.retain(|end| *end > now);
            for _ in entry.running.len()..before {
                entry.share.settle(now, REQUEST_TOKENS, REQUEST_TOKENS);
            }
            if let Some((asked, at, chunk)) = entry.late
                && at <= now
            {
                entry.share.receive(asked, &chunk);
                entry.late = None;
                entry.contact = asked;
            }
            if !self.cut[n] && entry.late.is_none() && now >= entry.polled + POLL_INTERVAL {
                entry.polled = now;
                let demand = entry.share.demand(now);
                let chunk = self.pool.grant(now, &entry.id, demand, self.epoch);
                entry.late = Some((now, now + STEP * (n as u32 % 3), chunk));
            }
        }
    }

    fn attempt(&mut self, now: Instant, n: usize, run: Duration) -> bool {
        let entry = &mut self.entries[n];
        if now >= entry.contact + VIEW_LEASE || entry.share.admit(now, REQUEST_TOKENS).is_err() {
            return false;
        }
        entry.running.push(now + run);
        self.admitted.push((now, REQUEST_TOKENS));
        true
    }

    /// Returns the largest number admitted in any window of a length.
    fn most(&self, length: Duration) -> usize {
        let count = |from: Instant| {
            let inside = self.admitted.iter().filter(|(t, _)| *t >= from);
            inside.take_while(|(t, _)| *t < from + length).count()
        };
        self.admitted
            .iter()
            .map(|(t, _)| count(*t))
            .max()
            .unwrap_or(0)
    }

    fn running(&self) -> u32 {
        self.entries.iter().map(|e| e.share.running()).sum()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((0usize..5, 0u8..12, 0u8..60), 100..300)
}

fn drive(
    world: &mut World,
    start: Instant,
    steps: &[Step],
    mut check: impl FnMut(&World, Instant),
) {
    let mut now = start;
    for (n, attempts, event) in steps {
        now += STEP;
        world.event(now, *n, *event);
        world.step(now);
        for _ in 0..*attempts {
            world.attempt(now, *n, Duration::from_millis(100 * u64::from(*attempts)));
        }
        check(world, now);
    }
}

proptest! {
    /// Guards against request overshoot while entries come, go and lose contact, and the leader
    /// moves.
    #[test]
    fn grant_request_bound(steps in steps(), rate in 0.5f64..60.0) {
        let start = Instant::now();
        let mut world = World::new(start, limit(Some(rate), None, None), 5);
        drive(&mut world, start, &steps, |_, _| {});
        for seconds in [1u32, 2, 4] {
            let bound = rate * (f64::from(seconds) + 2.0 * LIFETIME.as_secs_f64()) + 1.0;
            let most = world.most(Duration::from_secs(seconds.into()));
            prop_assert!(most as f64 <= bound, "{most} in {seconds} s, bound {bound}");
        }
    }

    /// Guards against token overshoot under the same events.
    #[test]
    fn grant_token_bound(steps in steps(), rate in 500.0f64..20_000.0) {
        let start = Instant::now();
        let mut world = World::new(start, limit(None, Some(rate), None), 5);
        drive(&mut world, start, &steps, |_, _| {});
        // An entry that restarted is one entry more, and its debt is lost.
        let restarts = steps.iter().filter(|s| s.2 == 10).count();
        let entries = (5 + restarts) as f64;
        for seconds in [1u32, 2, 4] {
            let bound = rate * (f64::from(seconds) + 2.0) + entries * f64::from(REQUEST_TOKENS);
            let most = world.most(Duration::from_secs(seconds.into())) as f64 * f64::from(REQUEST_TOKENS);
            prop_assert!(most <= bound, "{most} tokens in {seconds} s, bound {bound}");
        }
    }

    /// Guards against more requests at once than the limit while entries lose contact.
    #[test]
    fn grant_concurrency_bound(steps in steps(), places in 1u32..40) {
        // Restarts and leader moves lose knowledge of what runs; their bound is tested below.
        let calm: Vec<_> = steps.into_iter().filter(|s| s.2 != 10 && s.2 != 11).collect();
        let start = Instant::now();
        let mut world = World::new(start, limit(None, None, Some(places)), 5);
        let mut most = 0;
        drive(&mut world, start, &calm, |world, _| most = most.max(world.running()));
        prop_assert!(most <= places, "{most} at once, limit {places}");
    }

    /// Guards against overshoot after a leader move beyond what runs at entries out of contact.
    #[test]
    fn grant_concurrency_after_move(steps in steps(), places in 1u32..40) {
        let start = Instant::now();
        let mut world = World::new(start, limit(None, None, Some(places)), 5);
        let mut failure = None;
        drive(&mut world, start, &steps, |world, now| {
            let reached = |e: &&Entry| now < e.contact + LIFETIME;
            let inside: u32 = world.entries.iter().filter(reached).map(|e| e.share.running()).sum();
            if inside > places {
                failure = Some(inside);
            }
        });
        prop_assert_eq!(failure, None, "limit {}", places);
    }
}

/// Guards against a small workspace that gets only a fraction of its limit through one entry.
#[gtest]
fn grant_whole_limit_through_one_entry() {
    let start = Instant::now();
    for (rate, entries) in [(2.0, 7), (10.0, 7), (50.0, 40)] {
        let mut world = World::new(start, limit(Some(rate), None, None), entries);
        let mut now = start;
        while now < start + Duration::from_secs(25) {
            now += STEP;
            world.step(now);
            for _ in 0..4 {
                world.attempt(now, 0, STEP);
            }
        }
        let from = start + Duration::from_secs(5);
        let admitted = world.admitted.iter().filter(|(t, _)| *t >= from).count();
        expect_that!(admitted as f64, ge(rate * 20.0 * 0.9), "rate {rate}");
        expect_that!(admitted as f64, le(rate * 22.0), "rate {rate}");
    }
}

/// Guards against a chunk that is spent after the pool has granted it to somebody else.
#[gtest]
fn admit_expired_chunk() {
    let start = Instant::now();
    let mut share = Share::new(limit(Some(10.0), None, Some(10)));
    let chunk = Chunk {
        number: 1,
        requests: Some(5.0),
        tokens: None,
        places: Some(5),
    };
    share.receive(start, &chunk);
    expect_that!(share.admit(start + LIFETIME - STEP, 1), ok(anything()));
    expect_that!(share.admit(start + LIFETIME, 1), err(anything()));
}

/// Guards against places that stay with idle entries.
#[gtest]
fn grant_all_places_to_one_entry() {
    let start = Instant::now();
    let mut world = World::new(start, limit(None, None, Some(20)), 7);
    let mut now = start;
    while now < start + Duration::from_secs(6) {
        now += STEP;
        world.step(now);
        while world.attempt(now, 3, Duration::from_secs(60)) {}
    }
    expect_that!(world.running(), eq(20));
    expect_that!(HOLD, gt(VIEW_LEASE));
}

/// Guards against a division that does not follow demand.
#[gtest]
fn grant_division_by_demand() {
    let start = Instant::now();
    let mut world = World::new(start, limit(Some(40.0), None, None), 4);
    let mut counts = [0u32; 4];
    let mut now = start;
    while now < start + Duration::from_secs(30) {
        now += STEP;
        world.step(now);
        for (n, attempts) in [(0, 6), (1, 2)] {
            for _ in 0..attempts {
                counts[n] += u32::from(world.attempt(now, n, STEP));
            }
        }
    }
    let ratio = f64::from(counts[0]) / f64::from(counts[1]);
    expect_that!(ratio, all!(ge(2.2), le(4.0)));
}

/// Guards against refusals at almost no load: every idle entry must hold a first request.
#[gtest]
fn grant_first_request_everywhere() {
    let start = Instant::now();
    for limit in [8.0, 10.0, 30.0, 200.0] {
        let limit = Limit {
            workspace: "w".into(),
            requests: Some(limit),
            tokens: Some(1_000.0 * limit),
            concurrency: None,
        };
        let mut pool = Pool::new(start, limit.clone());
        let mut shares: Vec<_> = (0..8).map(|_| Share::new(limit.clone())).collect();
        let mut now = start;
        for _ in 0..16 {
            now += POLL_INTERVAL;
            for (number, share) in shares.iter_mut().enumerate() {
                let entry = format!("e{number}").as_str().into();
                let demand = share.demand(now);
                let chunk = pool.grant(now, &entry, demand, 0);
                share.receive(now, &chunk);
            }
        }
        for share in &mut shares {
            expect_that!(share.admit(now, 100), ok(anything()));
        }
    }
}
