//! Tests of the distribution of views over lossy polls, with relays, restarts, clock drift, paused
//! processes and leaders that are not aware of their replacement.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::command::Incarnation;
use fulmarford_lib::dissemination::InstallError;
use fulmarford_lib::dissemination::MAX_HISTORY_EDITS;
use fulmarford_lib::dissemination::Poll;
use fulmarford_lib::dissemination::PollError;
use fulmarford_lib::dissemination::Publisher;
use fulmarford_lib::dissemination::Subscriber;
use fulmarford_lib::dissemination::Update;
use fulmarford_lib::rules;
use fulmarford_lib::rules::Rule;
use fulmarford_lib::rules::RuleKey;
use fulmarford_lib::rules::RuleKind;
use fulmarford_lib::simple_dissemination::SimplePublisher;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::Version;
use fulmarford_lib::view::View;
use fulmarford_lib::view_lease::LEASE_MARGIN;
use fulmarford_lib::view_lease::VIEW_LEASE;
use googletest::prelude::*;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MS: Duration = Duration::from_millis(1);

fn workspace(name: usize, weight: u64) -> Rule {
    rules::parse_line(&format!("workspace w{name} weight={} # test", weight + 1)).expect("valid")
}

fn remove(name: usize) -> Edit {
    Edit::Remove(RuleKey {
        kind: RuleKind::Workspace,
        name: format!("w{name}"),
    })
}

fn change(view: &View, edit: &Edit) -> Arc<View> {
    let mut transaction = view.transaction();
    transaction.edit(edit).expect("edit applies");
    transaction.commit().expect("view is valid")
}

fn incarnation(name: usize, number: u64) -> Incarnation {
    Incarnation {
        instance: format!("i{name}").into(),
        number,
    }
}

/// Returns the lines of all rules of a view.
fn rule_lines(view: &View) -> Vec<&str> {
    view.rules().map(|rule| rule.line.as_str()).collect()
}

/// A simulated process that polls, with its clock and its relay if it has one.
struct Node {
    name: usize,
    incarnation_number: u64,
    /// Rate of the local clock relative to true time.
    rate: f64,
    paused_until: u64,
    subscriber: Subscriber,
    relay: Option<Publisher>,
    poll_sent_at: Option<u64>,
    poll_serial: u64,
}

/// A simulated leader; a majority last confirmed its view at `confirmed_at`.
struct Leader {
    publisher: Publisher,
    rate: f64,
    paused_until: u64,
    confirmed_at: u64,
}

/// A message between nodes and leaders; times are in milliseconds of true time.
enum Message {
    Poll {
        from: usize,
        sent: u64,
        poll: Poll,
        poll_serial: u64,
    },
    Answer {
        sent: u64,
        incarnation_number: u64,
        poll_serial: u64,
        answer: std::result::Result<Update, PollError>,
    },
}

/// A message in transit, which arrives at `at`.
struct Envelope {
    at: u64,
    to: usize,
    message: Message,
}

/// Lowest address of a leader; lower addresses belong to nodes.
const LEADER_ADDRESS_BASE: usize = 100;

/// Number of nodes that act as relays; these have the lowest addresses.
const RELAY_COUNT: usize = 2;

/// Duration of a simulation step in milliseconds.
const STEP_MS: u64 = 5;

/// Simulated nodes, leaders and network; all times are in milliseconds of true time.
struct Simulation {
    rng: StdRng,
    base: Instant,
    now: u64,
    nodes: Vec<Node>,
    leaders: Vec<Leader>,
    network: Vec<Envelope>,
    view: Arc<View>,
    /// Time of the commit of each version; index 0 is the empty view.
    commits: Vec<u64>,
    /// Newest version that a leader acknowledged as in force.
    acknowledged: Version,
    /// Number of checks in which a node had a valid view.
    served: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = Instant::now();
        let view = Arc::new(View::default());
        let nodes = (0..7)
            .map(|name| Node {
                name,
                incarnation_number: 0,
                rate: rng.random_range(0.99..1.01),
                paused_until: 0,
                subscriber: Subscriber::default(),
                relay: None,
                poll_sent_at: None,
                poll_serial: 0,
            })
            .collect();
        let mut simulation = Self {
            rng,
            base,
            now: 0,
            nodes,
            leaders: Vec::new(),
            network: Vec::new(),
            view,
            commits: vec![0],
            acknowledged: Version(0),
            served: 0,
        };
        simulation.elect_leader();
        simulation
    }

    /// Converts true time to the time of a clock with the given rate.
    fn local_time(&self, rate: f64, at: u64) -> Instant {
        self.base + Duration::from_secs_f64(at as f64 * rate / 1000.0)
    }

    /// Adds a new leader; the earlier ones keep running.
    fn elect_leader(&mut self) {
        let rate = self.rng.random_range(0.99..1.01);
        let now = self.local_time(rate, self.now);
        let epoch = self.leaders.len() as u64 + 1;
        self.leaders.push(Leader {
            publisher: Publisher::leader(epoch, self.view.clone(), now),
            rate,
            paused_until: 0,
            confirmed_at: self.now,
        });
    }

    fn commit(&mut self) {
        let name = self.rng.random_range(0..6);
        let exists = self.view.workspace(&format!("w{name}")).is_some();
        let edit = if exists && self.rng.random_bool(0.5) {
            remove(name)
        } else {
            Edit::Set(workspace(name, self.commits.len() as u64))
        };
        self.view = change(&self.view, &edit);
        self.commits.push(self.now);
        let leader = self.leaders.last_mut().expect("a leader exists");
        leader.publisher.publish(self.view.clone(), [edit]);
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let last = self.leaders.len() - 1;
        if self.leaders[last].paused_until <= self.now {
            if self.rng.random_bool(0.05) {
                self.leaders[last].confirmed_at =
                    self.now - self.rng.random_range(0..60).min(self.now);
            }
            if self.rng.random_bool(0.01) {
                self.commit();
            }
        }
        if self.rng.random_bool(0.0008) {
            self.elect_leader();
        }
        if self.rng.random_bool(0.001) {
            let leader = self.rng.random_range(0..self.leaders.len());
            self.leaders[leader].paused_until = self.now + self.rng.random_range(100..4000);
        }
        self.acknowledge();
        self.deliver();
        for index in 0..self.nodes.len() {
            self.run_node(index);
        }
        self.check();
    }

    fn acknowledge(&mut self) {
        for index in 0..self.leaders.len() {
            let now = self.local_time(self.leaders[index].rate, self.now);
            let leader = &mut self.leaders[index];
            if leader.paused_until <= self.now {
                self.acknowledged = self.acknowledged.max(leader.publisher.settled(now));
                leader.publisher.purge(now);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|envelope| envelope.at <= now);
        self.network = rest;
        for envelope in due {
            let paused = match envelope.to {
                to if to >= LEADER_ADDRESS_BASE => {
                    self.leaders[to - LEADER_ADDRESS_BASE].paused_until
                }
                to => self.nodes[to].paused_until,
            };
            if paused > now {
                self.network.push(Envelope {
                    at: paused,
                    ..envelope
                });
                continue;
            }
            match envelope.message {
                Message::Poll {
                    from,
                    sent,
                    poll,
                    poll_serial,
                } => {
                    let incarnation_number = poll.poller.number;
                    if let Some(answer) = self.answer(envelope.to, &poll) {
                        self.send(
                            from,
                            Message::Answer {
                                sent,
                                incarnation_number,
                                poll_serial,
                                answer,
                            },
                        );
                    }
                }
                Message::Answer {
                    sent,
                    incarnation_number,
                    poll_serial,
                    answer,
                } => {
                    self.handle_answer(envelope.to, sent, incarnation_number, poll_serial, answer);
                }
            }
        }
    }

    fn answer(&mut self, to: usize, poll: &Poll) -> Option<std::result::Result<Update, PollError>> {
        if to >= LEADER_ADDRESS_BASE {
            let (rate, confirmed_at) = (
                self.leaders[to - LEADER_ADDRESS_BASE].rate,
                self.leaders[to - LEADER_ADDRESS_BASE].confirmed_at,
            );
            let now = self.local_time(rate, self.now);
            let age = now - self.local_time(rate, confirmed_at);
            let publisher = &mut self.leaders[to - LEADER_ADDRESS_BASE].publisher;
            publisher.observe(poll);
            return Some(publisher.answer(now, poll, age));
        }
        let now = self.local_time(self.nodes[to].rate, self.now);
        let node = &mut self.nodes[to];
        let age = node.subscriber.lease().age(now)?;
        let relay = node.relay.as_mut()?;
        relay.observe(poll);
        Some(relay.answer(now, poll, age))
    }

    fn handle_answer(
        &mut self,
        to: usize,
        sent: u64,
        incarnation_number: u64,
        poll_serial: u64,
        answer: std::result::Result<Update, PollError>,
    ) {
        let sent = self.local_time(self.nodes[to].rate, sent);
        let node = &mut self.nodes[to];
        if node.incarnation_number != incarnation_number {
            return;
        }
        if node.poll_serial == poll_serial {
            node.poll_sent_at = None;
        }
        let Ok(update) = answer else { return };
        let Ok(installed) = node.subscriber.install(sent, update) else {
            return;
        };
        if node.name >= RELAY_COUNT {
            return;
        }
        let view = node
            .subscriber
            .held()
            .expect("a view was installed")
            .clone();
        let epoch = node.subscriber.epoch();
        let settled = node.subscriber.settled();
        let relay = node
            .relay
            .get_or_insert_with(|| Publisher::relay(epoch, view.clone()));
        if let Some(delta) = installed {
            match delta.from {
                Some(_) => relay.publish(view, delta.edits),
                None => relay.replace(view),
            }
        }
        relay.set_upstream_state(epoch, settled);
    }

    fn send(&mut self, to: usize, message: Message) {
        if self.rng.random_bool(0.15) {
            return;
        }
        let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
        let slow = self.rng.random_bool(0.1);
        let delay = self.rng.random_range(0..if slow { 1500 } else { 300 });
        let at = self.now + delay;
        if let Message::Poll {
            from,
            sent,
            poll,
            poll_serial,
        } = &message
            && copies == 2
        {
            let copy = Message::Poll {
                from: *from,
                sent: *sent,
                poll: poll.clone(),
                poll_serial: *poll_serial,
            };
            self.network.push(Envelope {
                at: at + 400,
                to,
                message: copy,
            });
        }
        self.network.push(Envelope { at, to, message });
    }

    fn run_node(&mut self, index: usize) {
        if self.nodes[index].paused_until > self.now {
            return;
        }
        if self.rng.random_bool(0.0005) {
            self.nodes[index].paused_until = self.now + self.rng.random_range(100..4000);
            return;
        }
        if self.rng.random_bool(0.0003) {
            let node = &mut self.nodes[index];
            node.incarnation_number += 1;
            node.subscriber = Subscriber::default();
            node.relay = None;
            node.poll_sent_at = None;
        }
        if self.nodes[index]
            .poll_sent_at
            .is_some_and(|poll_sent_at| self.now < poll_sent_at + 500)
        {
            return;
        }
        let newest = LEADER_ADDRESS_BASE + self.leaders.len() - 1;
        let to = match self.rng.random_range(0..10) {
            0 => LEADER_ADDRESS_BASE + self.rng.random_range(0..self.leaders.len()),
            n if n < 6 && index >= RELAY_COUNT => self.rng.random_range(0..RELAY_COUNT),
            _ => newest,
        };
        let now = self.local_time(self.nodes[index].rate, self.now);
        let sent = self.now;
        let node = &mut self.nodes[index];
        let below = node.relay.as_mut().map(|relay| relay.settled(now));
        let poll = node
            .subscriber
            .poll(&incarnation(index, node.incarnation_number), below);
        node.poll_sent_at = Some(sent);
        node.poll_serial += 1;
        let poll_serial = node.poll_serial;
        self.send(
            to,
            Message::Poll {
                from: index,
                sent,
                poll,
                poll_serial,
            },
        );
    }

    /// Checks that no node serves from a view that lacks a change acknowledged as in force, or a
    /// change older than the time limit for revoked keys.
    fn check(&mut self) {
        let bound = (VIEW_LEASE + LEASE_MARGIN).as_millis() as u64;
        let due = self
            .commits
            .iter()
            .rposition(|at| at + bound < self.now)
            .unwrap_or(0) as u64;
        for node in &self.nodes {
            let now = self.local_time(node.rate, self.now);
            let Some(view) = node.subscriber.view(now) else {
                continue;
            };
            self.served += 1;
            assert!(
                view.version() >= self.acknowledged,
                "node {} serves version {} at {} ms after version {} was acknowledged",
                node.name,
                view.version(),
                self.now,
                self.acknowledged
            );
            assert!(
                view.version().0 >= due,
                "node {} serves version {} at {} ms, {bound} ms after the commit of {due}",
                node.name,
                view.version(),
                self.now
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against an instance that serves without a change acknowledged as in force, and against
    /// a revoked key that a partitioned instance accepts beyond the time limit.
    #[test]
    fn settled_over_lossy_polls(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);
        for _ in 0..4_000 {
            simulation.step();
        }
        // Ensures that the simulation serves views and makes progress, so that the check is not vacuous.
        prop_assert!(simulation.served > 4_000, "served {}", simulation.served);
        prop_assert!(simulation.acknowledged > Version(0) || simulation.leaders.len() > 4);
    }

    /// Guards against deltas that result in a view other than the leader's.
    #[test]
    fn delta_equals_full_state(steps in proptest::collection::vec((0_usize..8, any::<bool>(), 0_usize..4), 1..60)) {
        let now = Instant::now();
        let mut view = Arc::new(View::default());
        let mut publisher = Publisher::leader(1, view.clone(), now);
        let mut nodes = vec![Subscriber::default(); 4];
        for (number, (name, set, poller)) in steps.into_iter().enumerate() {
            let exists = view.workspace(&format!("w{name}")).is_some();
            let edit = if set || !exists { Edit::Set(workspace(name, number as u64)) } else { remove(name) };
            view = change(&view, &edit);
            publisher.publish(view.clone(), [edit]);
            let poll = nodes[poller].poll(&incarnation(poller, 0), None);
            let update = publisher.answer(now, &poll, Duration::ZERO).expect("answered");
            nodes[poller].install(now, update).expect("installed");
            prop_assert_eq!(nodes[poller].version(), Some(view.version()));
            prop_assert_eq!(rule_lines(nodes[poller].held().expect("held")), rule_lines(&view));
        }
    }
}

/// Guards against a view that goes back to an older version after a late response of an old leader.
#[gtest]
fn install_lower_version() {
    let now = Instant::now();
    let old = Arc::new(View::default());
    let new = change(&old, &Edit::Set(workspace(1, 1)));
    let mut subscriber = Subscriber::default();
    let poll = subscriber.poll(&incarnation(0, 0), None);
    let mut first = Publisher::leader(1, old, now);
    let late = first.answer(now, &poll, Duration::ZERO).expect("answered");
    let mut second = Publisher::leader(2, new.clone(), now);
    let update = second.answer(now, &poll, Duration::ZERO).expect("answered");
    subscriber.install(now, update).expect("installed");
    subscriber.install(now + MS, late).expect("taken in");
    expect_that!(subscriber.version(), some(eq(new.version())));
    let poll = subscriber.poll(&incarnation(0, 0), None);
    expect_that!(
        first.answer(now, &poll, Duration::ZERO),
        err(eq(&PollError::Behind))
    );
}

/// Guards against a lease that is renewed by an update that could not be installed.
#[gtest]
fn install_gap() {
    let now = Instant::now();
    let one = change(&View::default(), &Edit::Set(workspace(1, 1)));
    let mut publisher = Publisher::leader(1, one.clone(), now);
    let edit = Edit::Set(workspace(2, 1));
    publisher.publish(change(&one, &edit), [edit]);
    let poll = Poll {
        poller: incarnation(0, 0),
        version: Some(one.version()),
        settled: one.version(),
        epoch: 0,
    };
    let update = publisher
        .answer(now, &poll, Duration::ZERO)
        .expect("answered");
    let mut empty = Subscriber::default();
    expect_that!(empty.install(now, update), err(pat!(InstallError::Gap)));
    expect_that!(empty.view(now), none());
}

/// Guards against partial deltas after old edits were dropped from the history.
#[gtest]
fn answer_after_cut_history() {
    let now = Instant::now();
    let mut view = change(&View::default(), &Edit::Set(workspace(0, 0)));
    let mut publisher = Publisher::leader(1, view.clone(), now);
    let mut subscriber = Subscriber::default();
    let poll = subscriber.poll(&incarnation(0, 0), None);
    let update = publisher
        .answer(now, &poll, Duration::ZERO)
        .expect("answered");
    subscriber.install(now, update).expect("installed");
    for number in 0..MAX_HISTORY_EDITS as u64 + 10 {
        let edit = Edit::Set(workspace(number as usize % 5, number));
        view = change(&view, &edit);
        publisher.publish(view.clone(), [edit]);
    }
    let poll = subscriber.poll(&incarnation(0, 0), None);
    let update = publisher
        .answer(now, &poll, Duration::ZERO)
        .expect("answered");
    expect_that!(update.delta.from, none());
    subscriber.install(now, update).expect("installed");
    expect_that!(
        rule_lines(subscriber.held().expect("held")),
        eq(&rule_lines(&view))
    );
}

/// Guards against a new leader that acknowledges a change while leases granted by its predecessor may
/// be valid.
#[gtest]
fn settled_new_leader_waits() {
    let now = Instant::now();
    let view = change(&View::default(), &Edit::Set(workspace(1, 1)));
    let mut publisher = Publisher::leader(2, view.clone(), now);
    let early = now + VIEW_LEASE + LEASE_MARGIN - MS;
    expect_that!(publisher.settled(early), eq(Version(0)));
    expect_that!(publisher.settled(early + MS), eq(view.version()));
}

/// Guards against an acknowledgement before every instance with a valid lease has the change, and
/// against an unreachable instance that delays it for longer than its lease.
#[gtest]
fn settled_waits_for_lease() {
    let start = Instant::now();
    let now = start + VIEW_LEASE + LEASE_MARGIN;
    let old = change(&View::default(), &Edit::Set(workspace(1, 1)));
    let mut publisher = Publisher::leader(1, old.clone(), start);
    let subscriber = Subscriber::default();
    let poll = subscriber.poll(&incarnation(0, 0), None);
    publisher.answer(now, &poll, 100 * MS).expect("answered");
    let edit = Edit::Set(workspace(2, 1));
    let new = change(&old, &edit);
    publisher.publish(new.clone(), [edit]);
    let end = now + VIEW_LEASE - 100 * MS + LEASE_MARGIN;
    expect_that!(publisher.settled(end - MS), eq(old.version()));
    expect_that!(
        publisher.lagging_pollers(end - MS, new.version()).count(),
        eq(1)
    );
    expect_that!(publisher.settled(end), eq(new.version()));
}

/// Guards against deltas that differ from a broadcast of the whole view or that save less than 90 % of
/// its bytes. The measured sizes are in `docs/measurements.md`.
#[gtest]
fn answer_against_broadcast() {
    const INSTANCES: usize = 8;
    const SECONDS: u64 = 60;
    const RULES: usize = 1_000;
    let now = Instant::now();
    let base = View::default();
    let mut transaction = base.transaction();
    for name in 0..RULES {
        transaction
            .edit(&Edit::Set(workspace(name, 0)))
            .expect("edit applies");
    }
    let mut view = transaction.commit().expect("valid");
    let mut publisher = Publisher::leader(1, view.clone(), now);
    let mut simple = SimplePublisher::new(view.clone());
    let mut rng = StdRng::seed_from_u64(7);
    let mut nodes = vec![Subscriber::default(); INSTANCES];
    let mut naive = vec![Subscriber::default(); INSTANCES];
    let (mut messages, mut bytes) = (0, 0);
    let (mut naive_messages, mut naive_bytes) = (0, 0);
    for quarter in 0..SECONDS * 4 {
        let now = now + 250 * MS * quarter as u32;
        let changed = quarter % 12 == 1;
        if changed {
            let edit = Edit::Set(workspace(rng.random_range(0..RULES), quarter));
            view = change(&view, &edit);
            publisher.publish(view.clone(), [edit]);
            simple.publish(view.clone());
        }
        for index in 0..INSTANCES {
            let poll = nodes[index].poll(&incarnation(index, 0), None);
            publisher.observe(&poll);
            let update = publisher
                .answer(now, &poll, Duration::ZERO)
                .expect("answered");
            messages += 2;
            bytes += postcard::to_stdvec(&poll).expect("encodes").len();
            bytes += postcard::to_stdvec(&update).expect("encodes").len();
            nodes[index].install(now, update).expect("installed");
            let update = simple.broadcast();
            naive_messages += 1;
            naive_bytes += postcard::to_stdvec(&update).expect("encodes").len();
            naive[index].install(now, update).expect("installed");
            expect_that!(nodes[index].version(), eq(naive[index].version()));
        }
    }
    for (node, other) in nodes.iter().zip(&naive) {
        let held = rule_lines(node.held().expect("held"));
        expect_that!(held, eq(&rule_lines(other.held().expect("held"))));
        expect_that!(held, eq(&rule_lines(&view)));
    }
    let per_instance_and_second = |n: usize| n as f64 / INSTANCES as f64 / SECONDS as f64;
    println!(
        "per instance and second: polls {:.1} messages {:.0} bytes, broadcast {:.1} messages {:.0} bytes",
        per_instance_and_second(messages),
        per_instance_and_second(bytes),
        per_instance_and_second(naive_messages),
        per_instance_and_second(naive_bytes)
    );
    expect_that!(bytes * 10, lt(naive_bytes));
}
