//! Tests of limits held by leased quota chunks.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::limit::CHUNK_LIFETIME;
use fulmarford_lib::limit::Chunk;
use fulmarford_lib::limit::DISCONNECT_HOLD;
use fulmarford_lib::limit::POLL_INTERVAL;
use fulmarford_lib::limit::QuotaPool;
use fulmarford_lib::limit::QuotaShare;
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

struct Instance {
    id: InstanceId,
    share: QuotaShare,
    last_polled: Instant,
    last_contact: Instant,
    /// Ends of running requests.
    running: Vec<Instant>,
    /// A chunk under way, with the time at which it was asked for and at which it arrives.
    in_transit: Option<(Instant, Instant, Chunk)>,
}

impl Instance {
    fn new(now: Instant, n: usize, limit: &Limit) -> Self {
        Self {
            id: format!("e{n}").into(),
            share: QuotaShare::new(limit.clone()),
            last_polled: now - POLL_INTERVAL,
            last_contact: now,
            running: Vec::new(),
            in_transit: None,
        }
    }
}

/// What happens at one step: entry, attempts, and an event.
type Step = (usize, u8, u8);

struct Cluster {
    limit: Limit,
    pool: QuotaPool,
    instances: Vec<Instance>,
    disconnected: Vec<bool>,
    admitted: Vec<(Instant, u32)>,
    first_chunk: u64,
}

impl Cluster {
    fn new(now: Instant, limit: Limit, entries: usize) -> Self {
        Self {
            pool: QuotaPool::new(now, limit.clone()),
            instances: (0..entries)
                .map(|n| Instance::new(now, n, &limit))
                .collect(),
            disconnected: vec![false; entries],
            admitted: Vec::new(),
            limit,
            first_chunk: 1,
        }
    }

    fn event(&mut self, now: Instant, n: usize, event: u8) {
        match event {
            0..=2 => self.disconnected[n] = true,
            3..=9 => self.disconnected[n] = false,
            // A restarted entry has lost its requests and its share.
            10 => self.instances[n] = Instance::new(now, n + self.instances.len(), &self.limit),
            11 => {
                self.first_chunk += 1 << 32;
                self.pool = QuotaPool::new(now, self.limit.clone());
            }
            _ => {}
        }
    }

    fn step(&mut self, now: Instant) {
        for (n, instance) in self.instances.iter_mut().enumerate() {
            // The view lease ends all requests of an entry that lost contact.
            if now >= instance.last_contact + VIEW_LEASE {
                for _ in instance.running.drain(..) {
                    instance.share.settle(now, REQUEST_TOKENS, REQUEST_TOKENS);
                }
            }
            let before = instance.running.len();
            instance.running.retain(|end| *end > now);
            for _ in instance.running.len()..before {
                instance.share.settle(now, REQUEST_TOKENS, REQUEST_TOKENS);
            }
            if let Some((requested_at, at, chunk)) = instance.in_transit
                && at <= now
            {
                instance.share.receive(requested_at, &chunk);
                instance.in_transit = None;
                instance.last_contact = requested_at;
            }
            if !self.disconnected[n]
                && instance.in_transit.is_none()
                && now >= instance.last_polled + POLL_INTERVAL
            {
                instance.last_polled = now;
                let demand = instance.share.demand(now);
                let chunk = self.pool.grant(now, &instance.id, demand, self.first_chunk);
                instance.in_transit = Some((now, now + STEP * (n as u32 % 3), chunk));
            }
        }
    }

    fn attempt(&mut self, now: Instant, n: usize, run: Duration) -> bool {
        let instance = &mut self.instances[n];
        if now >= instance.last_contact + VIEW_LEASE
            || instance.share.admit(now, REQUEST_TOKENS).is_err()
        {
            return false;
        }
        instance.running.push(now + run);
        self.admitted.push((now, REQUEST_TOKENS));
        true
    }

    /// Returns the largest number admitted in any window of a length.
    fn max_admitted(&self, length: Duration) -> usize {
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
        self.instances.iter().map(|e| e.share.running()).sum()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((0usize..5, 0u8..12, 0u8..60), 100..300)
}

fn run_steps(
    cluster: &mut Cluster,
    start: Instant,
    steps: &[Step],
    mut check: impl FnMut(&Cluster, Instant),
) {
    let mut now = start;
    for (n, attempts, event) in steps {
        now += STEP;
        cluster.event(now, *n, *event);
        cluster.step(now);
        for _ in 0..*attempts {
            cluster.attempt(now, *n, Duration::from_millis(100 * u64::from(*attempts)));
        }
        check(cluster, now);
    }
}

proptest! {
    /// Guards against request overshoot while entries come, go and lose contact, and the leader
    /// moves.
    #[test]
    fn grant_request_bound(steps in steps(), rate in 0.5f64..60.0) {
        let start = Instant::now();
        let mut cluster = Cluster::new(start, limit(Some(rate), None, None), 5);
        run_steps(&mut cluster, start, &steps, |_, _| {});
        for seconds in [1u32, 2, 4] {
            let bound = rate * (f64::from(seconds) + 2.0 * CHUNK_LIFETIME.as_secs_f64()) + 1.0;
            let most = cluster.max_admitted(Duration::from_secs(seconds.into()));
            prop_assert!(most as f64 <= bound, "{most} in {seconds} s, bound {bound}");
        }
    }

    /// Guards against token overshoot under the same events.
    #[test]
    fn grant_token_bound(steps in steps(), rate in 500.0f64..20_000.0) {
        let start = Instant::now();
        let mut cluster = Cluster::new(start, limit(None, Some(rate), None), 5);
        run_steps(&mut cluster, start, &steps, |_, _| {});
        // An entry that restarted is one entry more, and its debt is lost.
        let restarts = steps.iter().filter(|s| s.2 == 10).count();
        let entries = (5 + restarts) as f64;
        for seconds in [1u32, 2, 4] {
            let bound = rate * (f64::from(seconds) + 2.0) + entries * f64::from(REQUEST_TOKENS);
            let most = cluster.max_admitted(Duration::from_secs(seconds.into())) as f64 * f64::from(REQUEST_TOKENS);
            prop_assert!(most <= bound, "{most} tokens in {seconds} s, bound {bound}");
        }
    }

    /// Guards against more requests at once than the limit while entries lose contact.
    #[test]
    fn grant_concurrency_bound(steps in steps(), permits in 1u32..40) {
        // Restarts and leader moves lose knowledge of what runs; their bound is tested below.
        let steps_without_restarts: Vec<_> = steps.into_iter().filter(|s| s.2 != 10 && s.2 != 11).collect();
        let start = Instant::now();
        let mut cluster = Cluster::new(start, limit(None, None, Some(permits)), 5);
        let mut most = 0;
        run_steps(&mut cluster, start, &steps_without_restarts, |cluster, _| most = most.max(cluster.running()));
        prop_assert!(most <= permits, "{most} at once, limit {permits}");
    }

    /// Guards against overshoot after a leader move beyond what runs at entries out of contact.
    #[test]
    fn grant_concurrency_after_move(steps in steps(), permits in 1u32..40) {
        let start = Instant::now();
        let mut cluster = Cluster::new(start, limit(None, None, Some(permits)), 5);
        let mut failure = None;
        run_steps(&mut cluster, start, &steps, |cluster, now| {
            let reached = |e: &&Instance| now < e.last_contact + CHUNK_LIFETIME;
            let inside: u32 = cluster.instances.iter().filter(reached).map(|e| e.share.running()).sum();
            if inside > permits {
                failure = Some(inside);
            }
        });
        prop_assert_eq!(failure, None, "limit {}", permits);
    }
}

/// Guards against a small workspace that gets only a fraction of its limit through one entry.
#[gtest]
fn grant_whole_limit_through_one_entry() {
    let start = Instant::now();
    for (rate, entries) in [(2.0, 7), (10.0, 7), (50.0, 40)] {
        let mut cluster = Cluster::new(start, limit(Some(rate), None, None), entries);
        let mut now = start;
        while now < start + Duration::from_secs(25) {
            now += STEP;
            cluster.step(now);
            for _ in 0..4 {
                cluster.attempt(now, 0, STEP);
            }
        }
        let from = start + Duration::from_secs(5);
        let admitted = cluster.admitted.iter().filter(|(t, _)| *t >= from).count();
        expect_that!(admitted as f64, ge(rate * 20.0 * 0.9), "rate {rate}");
        expect_that!(admitted as f64, le(rate * 22.0), "rate {rate}");
    }
}

/// Guards against a chunk that is spent after the pool has granted it to somebody else.
#[gtest]
fn admit_expired_chunk() {
    let start = Instant::now();
    let mut share = QuotaShare::new(limit(Some(10.0), None, Some(10)));
    let chunk = Chunk {
        number: 1,
        requests: Some(5.0),
        tokens: None,
        permits: Some(5),
    };
    share.receive(start, &chunk);
    expect_that!(
        share.admit(start + CHUNK_LIFETIME - STEP, 1),
        ok(anything())
    );
    expect_that!(share.admit(start + CHUNK_LIFETIME, 1), err(anything()));
}

/// Guards against places that stay with idle entries.
#[gtest]
fn grant_all_places_to_one_entry() {
    let start = Instant::now();
    let mut cluster = Cluster::new(start, limit(None, None, Some(20)), 7);
    let mut now = start;
    while now < start + Duration::from_secs(6) {
        now += STEP;
        cluster.step(now);
        while cluster.attempt(now, 3, Duration::from_secs(60)) {}
    }
    expect_that!(cluster.running(), eq(20));
    expect_that!(DISCONNECT_HOLD, gt(VIEW_LEASE));
}

/// Guards against a division that does not follow demand.
#[gtest]
fn grant_division_by_demand() {
    let start = Instant::now();
    let mut cluster = Cluster::new(start, limit(Some(40.0), None, None), 4);
    let mut counts = [0u32; 4];
    let mut now = start;
    while now < start + Duration::from_secs(30) {
        now += STEP;
        cluster.step(now);
        for (n, attempts) in [(0, 6), (1, 2)] {
            for _ in 0..attempts {
                counts[n] += u32::from(cluster.attempt(now, n, STEP));
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
        let mut pool = QuotaPool::new(start, limit.clone());
        let mut shares: Vec<_> = (0..8).map(|_| QuotaShare::new(limit.clone())).collect();
        let mut now = start;
        for _ in 0..16 {
            now += POLL_INTERVAL;
            for (number, share) in shares.iter_mut().enumerate() {
                let instance = format!("e{number}").as_str().into();
                let demand = share.demand(now);
                let chunk = pool.grant(now, &instance, demand, 0);
                share.receive(now, &chunk);
            }
        }
        for share in &mut shares {
            expect_that!(share.admit(now, 100), ok(anything()));
        }
    }
}
