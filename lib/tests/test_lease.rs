//! Tests of exclusive leases, with simulated holders, leaders, clocks and pauses.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fulmarford_lib::command::Command;
use fulmarford_lib::command::LeaseKind;
use fulmarford_lib::command::Reply;
use fulmarford_lib::lease::CLOCK_JUMP;
use fulmarford_lib::lease::Guard;
use fulmarford_lib::lease::IN_FLIGHT_TIMEOUT;
use fulmarford_lib::lease::LEASE_DURATION;
use fulmarford_lib::lease::LeaseGate;
use fulmarford_lib::lease::LeaseHolder;
use fulmarford_lib::lease::Leases;
use fulmarford_lib::lease::STOP_MARGIN;
use fulmarford_testutils::harness::incarnation;
use googletest::prelude::*;
use proptest::prelude::any;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const KIND: LeaseKind = LeaseKind::Orders;
/// One second in microseconds.
const SECOND: u64 = 1_000_000;
/// Maximum time in microseconds from the check of a guard to the arrival of the write.
const MAX_TRANSIT: u64 = 2_300_000;
/// Duration of a simulation in microseconds.
const RUN: u64 = 120 * SECOND;

#[derive(Debug)]
enum Event {
    Tick(usize),
    Propose(usize, Instant, Command, usize),
    Commit(u64),
    HandleReply(usize, Instant, Reply),
    Check(usize, Guard),
    Deliver(u64),
    Elect,
}

struct Node {
    /// Rate of the clocks relative to true time.
    rate: f64,
    /// Time in microseconds that the monotonic clock missed while it was suspended.
    missed_time: u64,
    /// Time in microseconds at which a paused process resumes.
    resumes_at: u64,
    /// Whether the last pause stopped the monotonic clock.
    suspended: bool,
    /// Time in microseconds until which the leader is unreachable, while the write target is not.
    reconnects_at: u64,
    holder: LeaseHolder,
}

struct Proposal {
    number: u64,
    node: usize,
    requested_at: Instant,
    command: Command,
}

/// Simulation of three candidates, one leader at a time and a target that ignores fencing numbers.
struct Simulation {
    rng: StdRng,
    base: Instant,
    /// Current true time in microseconds.
    time: u64,
    /// Number of scheduled events, which orders events at the same time.
    scheduled: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    nodes: Vec<Node>,
    leases: Leases,
    leader: usize,
    leader_rate: f64,
    gate: LeaseGate,
    log: Vec<Proposal>,
    committed: u64,
    delivered: Vec<u64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = Instant::now() + Duration::from_secs(1_000);
        let node = |n| Node {
            rate: 1.0 + rng.random_range(-0.01..0.01),
            missed_time: 0,
            resumes_at: 0,
            suspended: false,
            reconnects_at: 0,
            holder: LeaseHolder::new(KIND, incarnation(n, 0)),
        };
        let nodes = (0..3).map(node).collect();
        let mut simulation = Self {
            rng,
            base,
            time: 0,
            scheduled: 0,
            queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            nodes,
            leases: Leases::default(),
            leader: 0,
            leader_rate: 1.0,
            gate: LeaseGate::new(base),
            log: Vec::new(),
            committed: 0,
            delivered: Vec::new(),
        };
        (0..3).for_each(|n| simulation.schedule(n as u64, Event::Tick(n)));
        simulation.schedule(0, Event::Elect);
        simulation
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.scheduled += 1;
        self.queue
            .push(Reverse((self.time + delay, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn clocks(&self, n: usize) -> (Instant, SystemTime) {
        let node = &self.nodes[n];
        let scaled = |t: u64| Duration::from_micros((t as f64 * node.rate) as u64);
        let wall = SystemTime::UNIX_EPOCH + scaled(self.time);
        (
            self.base + scaled(self.time.saturating_sub(node.missed_time)),
            wall,
        )
    }

    fn leader_now(&self) -> Instant {
        let micros = (self.time as f64 * self.leader_rate) as u64;
        self.base + Duration::from_micros(micros)
    }

    /// Returns a random delay; each bound is as likely as all values between them, because faults
    /// show at the bounds.
    fn random_delay(&mut self, limit: u64) -> u64 {
        match self.rng.random_range(0..3) {
            0 => 0,
            1 => limit,
            _ => self.rng.random_range(0..=limit),
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((time, number))) = self.queue.pop() {
            self.time = time;
            if time > RUN {
                return;
            }
            let event = self
                .events
                .remove(&number)
                .expect("each event is handled once");
            self.handle(event);
            self.check_exclusive();
        }
    }

    fn check_exclusive(&self) {
        let has_guard = |n: &usize| {
            let (now, wall) = self.clocks(*n);
            let paused = self.nodes[*n].suspended && self.nodes[*n].resumes_at > self.time;
            !paused && self.nodes[*n].holder.guard(now, wall).is_some()
        };
        let holders: Vec<_> = (0..self.nodes.len()).filter(has_guard).collect();
        assert!(
            holders.len() <= 1,
            "{holders:?} hold a guard at {}",
            self.time
        );
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(n) => self.tick(n),
            Event::Propose(n, requested_at, command, leader) => {
                self.propose(n, requested_at, command, leader)
            }
            Event::Commit(number) => self.commit(number),
            Event::HandleReply(n, requested_at, reply) => {
                self.nodes[n].holder.handle_reply(requested_at, &reply)
            }
            Event::Check(n, guard) => self.check(n, guard),
            Event::Deliver(fence) => {
                let last = self.delivered.last().copied().unwrap_or(0);
                assert!(
                    fence >= last,
                    "fencing number {fence} arrived after {last} at {}",
                    self.time
                );
                self.delivered.push(fence);
            }
            Event::Elect => self.elect(),
        }
    }

    fn tick(&mut self, n: usize) {
        let (now, wall) = self.clocks(n);
        if let Some(command) = self.nodes[n].holder.step(now, wall)
            && self.nodes[n].reconnects_at <= self.time
            && self.rng.random_bool(0.9)
        {
            let stale = self.rng.random_bool(0.05);
            let leader = self.leader.saturating_sub(usize::from(stale));
            let delay = self.random_delay(SECOND);
            self.schedule(delay, Event::Propose(n, now, command, leader));
        }
        if let Some(guard) = self.nodes[n].holder.guard(now, wall) {
            let delay = self.random_delay(3_900_000);
            self.schedule(delay, Event::Check(n, guard));
        }
        if self.rng.random_bool(0.01) {
            self.nodes[n].reconnects_at = self.time + self.random_delay(15 * SECOND);
        }
        let mut delay = 50_000 + self.random_delay(100_000);
        if self.rng.random_bool(0.01) {
            delay = self.random_delay(12 * SECOND);
            self.nodes[n].resumes_at = self.time + delay;
            self.nodes[n].suspended = self.rng.random_bool(0.5);
            if self.nodes[n].suspended {
                self.nodes[n].missed_time += delay;
            }
        }
        self.schedule(delay, Event::Tick(n));
    }

    fn propose(&mut self, node: usize, requested_at: Instant, command: Command, leader: usize) {
        if leader != self.leader {
            return;
        }
        let now = self.leader_now();
        let command = self.gate.prepare(now, &self.leases, command);
        let number = self.scheduled;
        self.log.push(Proposal {
            number,
            node,
            requested_at,
            command,
        });
        let stall = if self.rng.random_bool(0.05) { 9 } else { 1 };
        let delay = self.random_delay(stall * SECOND);
        self.schedule(delay, Event::Commit(number));
    }

    /// Commits all proposals up to and including `number`, in log order.
    fn commit(&mut self, number: u64) {
        while self.log.first().is_some_and(|p| p.number <= number) {
            let proposal = self.log.remove(0);
            let Command::HoldLease {
                holder, replaces, ..
            } = &proposal.command
            else {
                panic!("only lease commands are proposed");
            };
            let reply = self.leases.hold(KIND, holder, *replaces);
            self.committed += 1;
            if self.rng.random_bool(0.9) {
                let delay = self.random_delay(2 * SECOND);
                self.schedule(
                    delay,
                    Event::HandleReply(proposal.node, proposal.requested_at, reply),
                );
            }
        }
    }

    fn check(&mut self, n: usize, guard: Guard) {
        let resumes_at = self.nodes[n].resumes_at;
        if resumes_at > self.time {
            self.schedule(resumes_at - self.time, Event::Check(n, guard));
            return;
        }
        let (now, wall) = self.clocks(n);
        if guard.remaining(now, wall).is_ok() {
            let delay = self.random_delay(MAX_TRANSIT);
            self.schedule(delay, Event::Deliver(guard.fence()));
        }
    }

    /// Elects a leader whose log has a random prefix of the uncommitted proposals.
    fn elect(&mut self) {
        let carried = self.rng.random_range(0..=self.log.len());
        self.log.truncate(carried);
        if let Some(last) = self.log.last().map(|p| p.number) {
            self.commit(last);
        }
        self.leader += 1;
        self.leader_rate = 1.0 + self.rng.random_range(-0.01..0.01);
        self.gate = LeaseGate::new(self.leader_now());
        let delay = 5 * SECOND + self.random_delay(40 * SECOND);
        self.schedule(delay, Event::Elect);
    }
}

proptest! {
    /// Guards against two processes that hold a valid guard at the same time, and against a write of
    /// an old holder that arrives after one of its successor at a target that ignores fencing numbers.
    #[test]
    fn hold_exclusive(seed in any::<u64>()) {
        Simulation::new(seed).run();
    }
}

/// Guards against a simulation that tests nothing because the lease never changes holders.
#[gtest]
fn lease_changes_holders() {
    let mut writes = 0;
    let mut grants = 0;
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        writes += simulation.delivered.len();
        grants += simulation.leases.fence(KIND);
    }
    expect_that!(grants, ge(100));
    expect_that!(writes, ge(5_000));
}

/// Guards against changing one timing constant without the others that the safety depends on.
#[gtest]
fn margins_cover_clock_rates() {
    let holder = (LEASE_DURATION - STOP_MARGIN).as_secs_f64() / 0.99 + CLOCK_JUMP.as_secs_f64();
    let granter = (LEASE_DURATION + IN_FLIGHT_TIMEOUT).as_secs_f64() / 1.01;
    let transit = Duration::from_micros(MAX_TRANSIT).as_secs_f64();
    expect_that!(granter - holder, ge(transit));
    expect_that!(transit, ge(IN_FLIGHT_TIMEOUT.as_secs_f64()));
}

fn acquire(holder: &mut LeaseHolder, now: Instant, wall: SystemTime) {
    holder.step(now, wall).expect("a renewal is due");
    holder.handle_reply(now, &Reply::LeaseHeld { fence: 1 });
}

/// Guards against a holder that keeps writing after a pause, including one that its monotonic clock
/// missed.
#[gtest]
fn guard_after_pause() {
    let now = Instant::now();
    let wall = SystemTime::UNIX_EPOCH;
    let mut holder = LeaseHolder::new(KIND, incarnation(1, 0));
    acquire(&mut holder, now, wall);
    let second = Duration::from_secs(1);
    let guard = holder.guard(now, wall).expect("the lease is held");
    expect_that!(
        guard.remaining(now + second, wall + second),
        ok(eq(3 * second))
    );
    expect_that!(
        guard.remaining(now + 4 * second, wall + 4 * second),
        err(anything())
    );
    expect_that!(guard.remaining(now, wall + second), err(anything()));
    let (later, wall) = (now + 2 * second, wall + 2 * second);
    expect_that!(holder.step(later, wall), some(anything()));
    expect_that!(holder.guard(later, wall), none());
}

/// Guards against a reply to an old request that extends the lease too far or replaces the reply to
/// a newer request.
#[gtest]
fn reply_to_old_request() {
    let now = Instant::now();
    let wall = SystemTime::UNIX_EPOCH;
    let step = Duration::from_millis(1_200);
    let mut holder = LeaseHolder::new(KIND, incarnation(1, 0));
    holder.step(now, wall).expect("the first request is due");
    let (later, wall) = (now + step, wall + step);
    holder.step(later, wall).expect("a renewal is due");
    holder.handle_reply(now, &Reply::LeaseHeld { fence: 1 });
    let guard = holder.guard(later, wall).expect("the first request counts");
    expect_that!(
        guard.remaining(later, wall),
        ok(eq(LEASE_DURATION - STOP_MARGIN - step))
    );
    holder.handle_reply(later, &Reply::LeaseHeld { fence: 1 });
    holder.handle_reply(now, &Reply::LeaseHeld { fence: 1 });
    let guard = holder.guard(later, wall).expect("the renewal counts");
    expect_that!(
        guard.remaining(later, wall),
        ok(eq(LEASE_DURATION - STOP_MARGIN))
    );
}

/// Guards against releasing a lease while a call may still arrive.
#[gtest]
fn release_with_call_in_flight() {
    let now = Instant::now();
    let wall = SystemTime::UNIX_EPOCH;
    let mut holder = LeaseHolder::new(KIND, incarnation(1, 0));
    acquire(&mut holder, now, wall);
    holder.record_unknown_outcome(now);
    expect_that!(holder.release(now + IN_FLIGHT_TIMEOUT / 2), none());
    expect_that!(holder.release(now + IN_FLIGHT_TIMEOUT), some(anything()));
    expect_that!(holder.guard(now, wall), none());
}
