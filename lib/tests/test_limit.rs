//! Tests of limits that are enforced by leased quota chunks.

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

/// A simulated instance with its quota share.
struct Instance {
    id: InstanceId,
    share: QuotaShare,
    last_polled: Instant,
    last_contact: Instant,
    /// End times of running requests.
    running: Vec<Instant>,
    /// A chunk in transit, with the time of its poll and the time at which it arrives.
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

/// One simulation step: index of an instance, number of request attempts, and event code.
type Step = (usize, u8, u8);

/// A simulated leader with its quota pool, and the instances that poll it.
struct Cluster {
    limit: Limit,
    pool: QuotaPool,
    instances: Vec<Instance>,
    /// Whether each instance is cut off from the leader.
    disconnected: Vec<bool>,
    /// Times and tokens of admitted requests.
    admitted: Vec<(Instant, u32)>,
    /// Base of the chunk numbers of the current leader.
    first_chunk: u64,
}

impl Cluster {
    fn new(now: Instant, limit: Limit, instance_count: usize) -> Self {
        Self {
            pool: QuotaPool::new(now, limit.clone()),
            instances: (0..instance_count)
                .map(|n| Instance::new(now, n, &limit))
                .collect(),
            disconnected: vec![false; instance_count],
            admitted: Vec::new(),
            limit,
            first_chunk: 1,
        }
    }

    fn event(&mut self, now: Instant, n: usize, event: u8) {
        match event {
            0..=2 => self.disconnected[n] = true,
            3..=9 => self.disconnected[n] = false,
            // A restarted instance has lost its requests and its share.
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
            // The view lease ends all requests of an instance that lost contact.
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

    /// Returns the maximum number of requests admitted in any window of a length.
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
        self.instances
            .iter()
            .map(|instance| instance.share.running())
            .sum()
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
    /// Guards against more requests than the bound while instances restart and lose contact, and
    /// the leader changes.
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

    /// Guards against more tokens than the bound under the same events.
    #[test]
    fn grant_token_bound(steps in steps(), rate in 500.0f64..20_000.0) {
        let start = Instant::now();
        let mut cluster = Cluster::new(start, limit(None, Some(rate), None), 5);
        run_steps(&mut cluster, start, &steps, |_, _| {});
        // A restarted instance counts as another instance, because its debt is lost.
        let restarts = steps.iter().filter(|s| s.2 == 10).count();
        let instance_count = (5 + restarts) as f64;
        for seconds in [1u32, 2, 4] {
            let bound = rate * (f64::from(seconds) + 2.0)
                + instance_count * f64::from(REQUEST_TOKENS);
            let most = cluster.max_admitted(Duration::from_secs(seconds.into())) as f64
                * f64::from(REQUEST_TOKENS);
            prop_assert!(most <= bound, "{most} tokens in {seconds} s, bound {bound}");
        }
    }

    /// Guards against more concurrent requests than the limit while instances lose contact.
    #[test]
    fn grant_concurrency_bound(steps in steps(), permits in 1u32..40) {
        // Restarts and leader changes lose track of running requests; the next test checks their
        // bound.
        let steps_without_restarts: Vec<_> =
            steps.into_iter().filter(|s| s.2 != 10 && s.2 != 11).collect();
        let start = Instant::now();
        let mut cluster = Cluster::new(start, limit(None, None, Some(permits)), 5);
        let mut most = 0;
        run_steps(&mut cluster, start, &steps_without_restarts, |cluster, _|
            most = most.max(cluster.running()));
        prop_assert!(most <= permits, "{most} concurrent requests, limit {permits}");
    }

    /// Guards against more concurrent requests than the limit after a leader change, apart from
    /// those of instances that lost contact.
    #[test]
    fn grant_concurrency_after_leader_change(steps in steps(), permits in 1u32..40) {
        let start = Instant::now();
        let mut cluster = Cluster::new(start, limit(None, None, Some(permits)), 5);
        let mut failure = None;
        run_steps(&mut cluster, start, &steps, |cluster, now| {
            let is_connected = |instance: &&Instance| now < instance.last_contact + CHUNK_LIFETIME;
            let inside: u32 = cluster.instances.iter().filter(is_connected).map(|instance| instance.share.running()).sum();
            if inside > permits {
                failure = Some(inside);
            }
        });
        prop_assert_eq!(failure, None, "limit {}", permits);
    }
}

/// Guards against a workspace that gets only a fraction of its limit if all of its requests arrive
/// at one instance.
#[gtest]
fn grant_whole_limit_through_one_instance() {
    let start = Instant::now();
    for (rate, instance_count) in [(2.0, 7), (10.0, 7), (50.0, 40)] {
        let mut cluster = Cluster::new(start, limit(Some(rate), None, None), instance_count);
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

/// Guards against the use of a chunk after its expiry, when the pool may have granted its quota to
/// another instance.
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

/// Guards against concurrency permits that stay with idle instances.
#[gtest]
fn grant_all_permits_to_one_instance() {
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

/// Guards against a division of requests among instances that does not follow demand.
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

/// Guards against refusals at low load: every idle instance must hold quota for a first request.
#[gtest]
fn grant_first_request_on_every_instance() {
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
