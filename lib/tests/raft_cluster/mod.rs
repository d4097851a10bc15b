//! A simulated cluster of Raft members, whose logs are compared with a reference log.

mod action;
mod disk;
mod rolling;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::raft::Config;
use fulmarford_lib::raft::Raft;
use fulmarford_lib::raft::Ready;
use fulmarford_lib::raft::Role;
use fulmarford_lib::raft_member::MemberChange;
use fulmarford_lib::raft_member::Membership;
use fulmarford_lib::raft_member::ReplacementPolicy;
use fulmarford_lib::raft_message::Entry;
use fulmarford_lib::raft_message::Index;
use fulmarford_lib::raft_message::MemberId;
use fulmarford_lib::raft_message::Message;
use fulmarford_lib::raft_message::Outgoing;
use fulmarford_lib::raft_message::Payload;
use fulmarford_lib::raft_message::Term;
use fulmarford_lib::raft_write::WriteBatch;
use fulmarford_lib::storage;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::storage::Write;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub(crate) use action::Action;
pub(crate) use action::action;
pub(crate) use action::member_action;
pub(crate) use disk::Disk;
pub(crate) use rolling::turn;

pub(crate) type Check = Result<(), TestCaseError>;

/// Largest relative deviation of a node's clock rate from simulated time.
const CLOCK_DRIFT: f64 = 0.02;
/// Longest time that a write takes on a disk that is not slow, in microseconds.
const WRITE_US: u64 = 1_000;
/// Longest time that a write takes on a slow disk, in microseconds.
const SLOW_WRITE_US: u64 = 300_000;
/// Time within which a group must converge after all faults have ended, in microseconds.
const SETTLE_US: u64 = 8_000_000;

struct Node {
    id: MemberId,
    instance: InstanceId,
    disk: Box<dyn Disk>,
    store: Option<Box<dyn LogStore>>,
    raft: Option<Raft>,
    clock_rate: f64,
    /// Simulated time until which the node is paused, in microseconds.
    paused_until: u64,
    /// Batches of writes that have not been started yet.
    queue: Vec<WriteBatch>,
    /// The write that is under way, and the time at which it completes in microseconds.
    under_way: Option<(u64, WriteBatch)>,
    /// Longest time that a write takes, in microseconds.
    write_us: u64,
    /// Number of units of the next write that become durable before the node crashes.
    torn_write_units: Option<usize>,
    state: Vec<u64>,
    applied: Index,
    proposed: Vec<(Index, Term, u64)>,
}

pub(crate) struct Cluster {
    nodes: Vec<Node>,
    new_disk: fn(u64) -> Box<dyn Disk>,
    base: Instant,
    /// Simulated time, in microseconds.
    now: u64,
    rng: StdRng,
    /// Delivery times in microseconds, and numbers of the messages in flight.
    deliveries: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, (MemberId, MemberId, Message)>,
    messages_sent: u64,
    /// Each bit gives the side of one node.
    partition: Option<u64>,
    /// Share of lost messages, in percent.
    loss: u8,
    /// Share of duplicated messages, in percent.
    duplication: u8,
    /// Longest delay of a message, in milliseconds.
    delay: u64,
    config: Config,
    /// The reference log: the entry that was first applied at each index.
    reference: BTreeMap<Index, Entry>,
    /// Term of the member that first applied the entry at each index.
    committed_term: BTreeMap<Index, Term>,
    acknowledged: Vec<(Index, u64)>,
    /// Leader of each term, and the time of its election in microseconds.
    leaders: BTreeMap<Term, (MemberId, u64)>,
    coverage: Coverage,
    /// Time of the next membership check in a rolling replacement, in microseconds.
    maintain_at: u64,
    /// Majority of the initial voters.
    initial_majority: usize,
}

/// How often the situations that the schedules are meant to test occurred.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Coverage {
    pub(crate) elections: usize,
    pub(crate) writes: usize,
    pub(crate) installs: usize,
    pub(crate) changes: usize,
    pub(crate) two_leaders: usize,
    /// Messages that were sent while a write of the sender was under way.
    pub(crate) early_messages: usize,
    /// Writes that a crash interrupted or discarded.
    pub(crate) lost_writes: usize,
}

/// The next event of a simulation, by the index of the node that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Delivery,
    Wake(usize),
    Written(usize),
}

impl Coverage {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            elections: self.elections + other.elections,
            writes: self.writes + other.writes,
            installs: self.installs + other.installs,
            changes: self.changes + other.changes,
            two_leaders: self.two_leaders + other.two_leaders,
            early_messages: self.early_messages + other.early_messages,
            lost_writes: self.lost_writes + other.lost_writes,
        }
    }
}

impl Cluster {
    /// Creates a group whose small limits make each message carry little.
    pub(crate) fn new(seed: u64, voters: usize, new_disk: fn(u64) -> Box<dyn Disk>) -> Self {
        let config = Config {
            chunk_bytes: 16,
            max_append_bytes: 40,
            max_inflight: 3,
            retained_entries: 1,
            max_learner_lag: 4,
            ..Config::default()
        };
        Self::with_config(seed, voters, new_disk, config)
    }

    pub(crate) fn with_config(
        seed: u64,
        voters: usize,
        new_disk: fn(u64) -> Box<dyn Disk>,
        config: Config,
    ) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            new_disk,
            base: Instant::now(),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            deliveries: BinaryHeap::new(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            partition: None,
            loss: 0,
            duplication: 0,
            delay: 2,
            config,
            reference: BTreeMap::new(),
            committed_term: BTreeMap::new(),
            acknowledged: Vec::new(),
            leaders: BTreeMap::new(),
            coverage: Coverage::default(),
            maintain_at: 0,
            initial_majority: voters / 2 + 1,
        };
        let ids: Vec<MemberId> = (0..voters).map(|_| cluster.add_node()).collect();
        let voter = |id: &MemberId| (*id, InstanceId::from(format!("i{id}")), String::new());
        let members = Membership::from_voters(ids.iter().map(voter));
        let state = postcard::to_stdvec(&Vec::<u64>::new()).expect("state cannot be encoded");
        for (node_idx, id) in ids.into_iter().enumerate() {
            let writes = storage::bootstrap(id, members.clone(), state.clone());
            let mut store = cluster.nodes[node_idx].disk.open();
            store.load().expect("an empty disk cannot be opened");
            store
                .write(&writes)
                .expect("write failed without an injected fault");
            drop(store);
            cluster.start(node_idx);
        }
        cluster
    }

    fn add_node(&mut self) -> MemberId {
        let id = MemberId(self.rng.random());
        let disk = (self.new_disk)(self.rng.random());
        let clock_rate = self.rng.random_range(1.0 - CLOCK_DRIFT..=1.0 + CLOCK_DRIFT);
        self.nodes.push(Node {
            id,
            instance: InstanceId::from(format!("i{id}")),
            disk,
            store: None,
            raft: None,
            clock_rate,
            paused_until: 0,
            queue: Vec::new(),
            under_way: None,
            write_us: WRITE_US,
            torn_write_units: None,
            state: Vec::new(),
            applied: Index(0),
            proposed: Vec::new(),
        });
        id
    }

    fn clock(&self, node_idx: usize) -> Instant {
        self.base
            + Duration::from_micros((self.now as f64 * self.nodes[node_idx].clock_rate) as u64)
    }

    fn start(&mut self, node_idx: usize) {
        let now = self.clock(node_idx);
        let seed = self.rng.random();
        let config = self.config;
        let node = &mut self.nodes[node_idx];
        let mut store = node.disk.open();
        let durable = store.load().expect("disk is unreadable after a crash");
        if durable.id.is_none() {
            let identity = Write::Identity(node.id);
            store
                .write(&[identity])
                .expect("write failed without an injected fault");
        }
        assert!(durable.id.is_none_or(|id| id == node.id));
        node.store = Some(store);
        node.raft = Some(Raft::new(node.id, config, durable, seed, now));
        node.state.clear();
        node.applied = Index(0);
    }

    fn crash(&mut self, node_idx: usize) {
        let node = &mut self.nodes[node_idx];
        self.coverage.lost_writes += node.queue.len() + usize::from(node.under_way.is_some());
        // Any part of the write that is under way may be durable, and nothing of those after it.
        let units = self.rng.random_range(0..6);
        if let Some((_, batch)) = node.under_way.take()
            && let Some(store) = &mut node.store
        {
            node.disk.write_torn(store.as_mut(), &batch.writes, units);
        }
        node.queue.clear();
        node.raft = None;
        node.store = None;
        node.disk.crash();
        node.proposed.clear();
        node.torn_write_units = None;
    }

    pub(crate) fn apply_action(&mut self, action: &Action) -> Check {
        let count = self.nodes.len();
        match action {
            Action::Propose => self.propose(),
            Action::Partition(mask) => self.partition = Some(u64::from(*mask)),
            Action::Heal => self.partition = None,
            Action::Crash(n, None) => self.crash(n % count),
            Action::Crash(n, units) => self.nodes[n % count].torn_write_units = *units,
            Action::CrashWriting(mask, ms) => self.crash_writing(*mask, *ms)?,
            Action::Restart(n) if self.nodes[n % count].raft.is_none() => self.start(n % count),
            Action::Restart(_) => {}
            Action::LoseDisk(n) => self.lose_disk(n % count),
            Action::Pause(n, ms) => {
                self.nodes[n % count].paused_until = self.now + u64::from(*ms) * 1000;
            }
            Action::SlowDisk(n, ms) => {
                self.nodes[n % count].write_us = WRITE_US + u64::from(*ms) * 1000;
            }
            Action::Network(loss, repeat, delay) => {
                self.loss = *loss;
                self.duplication = *repeat;
                self.delay = u64::from(*delay);
            }
            Action::Compact(n) => self.compact(n % count),
            Action::Transfer => self.for_each_leader(|raft, now| {
                let _ = raft.transfer_leadership(now);
            }),
            Action::AddLearner if count < 8 => {
                let id = self.add_node();
                self.start(count);
                self.add_learner(id, InstanceId::from(format!("i{id}")));
            }
            Action::AddLearner => {}
            Action::Promote(n) => self.change(&MemberChange::Promote(self.nodes[n % count].id)),
            Action::Remove(n) => self.change(&MemberChange::Remove(self.nodes[n % count].id)),
            Action::Replace => self.replace(),
        }
        self.process_all_ready()
    }

    /// Crashes the nodes of a mask while the writes of a proposal are under way.
    fn crash_writing(&mut self, mask: u8, ms: u16) -> Check {
        for node in &mut self.nodes {
            node.write_us = SLOW_WRITE_US;
        }
        self.propose();
        self.process_all_ready()?;
        self.run(u64::from(ms))?;
        for node_idx in (0..self.nodes.len()).filter(|n| mask >> n & 1 == 1) {
            self.crash(node_idx);
        }
        Ok(())
    }

    /// Replaces a disk by an empty one, after which the instance restarts as a new member.
    fn lose_disk(&mut self, node_idx: usize) {
        self.crash(node_idx);
        let name = self.nodes[node_idx].instance.clone();
        let id = MemberId(self.rng.random());
        self.nodes[node_idx].id = id;
        self.nodes[node_idx].disk = (self.new_disk)(self.rng.random());
        self.start(node_idx);
        self.add_learner(id, name);
    }

    fn add_learner(&mut self, id: MemberId, instance: InstanceId) {
        let address = String::new();
        let add = MemberChange::AddLearner {
            id,
            instance,
            address,
        };
        self.change(&add);
    }

    fn change(&mut self, change: &MemberChange) {
        self.for_each_leader(|raft, now| {
            let _ = raft.propose_change(now, change.clone());
        });
    }

    fn replace(&mut self) {
        let policy = ReplacementPolicy {
            failed_after: Duration::from_secs(2),
            max_learner_lag: self.config.max_learner_lag,
            ..ReplacementPolicy::default()
        };
        self.for_each_leader(|raft, now| {
            if let Some(change) = policy.plan(&raft.health(now)) {
                let _ = raft.propose_change(now, change);
            }
        });
    }

    fn for_each_leader(&mut self, mut f: impl FnMut(&mut Raft, Instant)) {
        for node_idx in 0..self.nodes.len() {
            let now = self.clock(node_idx);
            if self.nodes[node_idx].paused_until > self.now {
                continue;
            }
            if let Some(raft) = &mut self.nodes[node_idx].raft
                && raft.role() == Role::Leader
            {
                f(raft, now);
            }
        }
    }

    /// Proposes a value at every running member; only leaders accept it.
    fn propose(&mut self) {
        let value: u64 = self.rng.random();
        for node_idx in 0..self.nodes.len() {
            let now = self.clock(node_idx);
            let node = &mut self.nodes[node_idx];
            let Some(raft) = node.raft.as_mut().filter(|_| node.paused_until <= self.now) else {
                continue;
            };
            let value = value.wrapping_add(node_idx as u64);
            if let Ok(index) = raft.propose(now, value.to_le_bytes().to_vec()) {
                node.proposed.push((index, raft.term(), value));
            }
        }
    }

    fn compact(&mut self, node_idx: usize) {
        let node = &mut self.nodes[node_idx];
        let data = postcard::to_stdvec(&node.state).expect("state cannot be encoded");
        if let Some(raft) = &mut node.raft {
            raft.compact(node.applied, data);
        }
    }

    /// Advances the simulated time by `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) -> Check {
        let end = self.now + ms * 1000;
        let mut events = 0;
        while let Some((at, event)) = self.next_event().filter(|(at, _)| *at <= end) {
            self.now = self.now.max(at);
            events += 1;
            prop_assert!(events < 2000 + 10 * ms, "too many messages or ticks");
            match event {
                Event::Wake(node_idx) => self.wake(node_idx)?,
                Event::Written(node_idx) => self.finish_write(node_idx)?,
                Event::Delivery => self.deliver()?,
            }
        }
        self.now = end;
        self.check_leases()
    }

    fn next_event(&self) -> Option<(u64, Event)> {
        let delivery = self.deliveries.peek();
        let delivery = delivery.map(|Reverse((at, _))| (*at, Event::Delivery));
        let wake = |(node_idx, node): (usize, &Node)| {
            let local = node.raft.as_ref()?.wake_at() - self.base;
            // Three microseconds compensate for rounding down three times.
            let at = (local.as_micros() as f64 / node.clock_rate) as u64 + 3;
            let at = at.max(node.paused_until).max(self.now);
            Some((at, Event::Wake(node_idx)))
        };
        let written = |(node_idx, node): (usize, &Node)| {
            let (at, _) = node.under_way.as_ref()?;
            Some(((*at).max(node.paused_until), Event::Written(node_idx)))
        };
        let nodes = || self.nodes.iter().enumerate();
        let wakes = nodes().filter_map(wake);
        let writes = nodes().filter_map(written);
        delivery.into_iter().chain(wakes).chain(writes).min()
    }

    /// Starts the queued writes of a node together, unless a write is under way.
    fn start_write(&mut self, node_idx: usize) {
        let node = &mut self.nodes[node_idx];
        let Some(last) = node.queue.last().filter(|_| node.under_way.is_none()) else {
            return;
        };
        let number = last.number;
        let writes = node.queue.drain(..).flat_map(|b| b.writes).collect();
        let at = self.now + self.rng.random_range(0..=node.write_us);
        node.under_way = Some((at, WriteBatch { number, writes }));
    }

    /// Completes the write of a node that is under way.
    fn finish_write(&mut self, node_idx: usize) -> Check {
        let now = self.clock(node_idx);
        let node = &mut self.nodes[node_idx];
        if let Some(units) = node.torn_write_units.take() {
            let (_, batch) = node.under_way.take().expect("no write is under way");
            let store = node.store.as_mut().expect("running node has no store");
            node.disk.write_torn(store.as_mut(), &batch.writes, units);
            self.crash(node_idx);
            return Ok(());
        }
        let (_, batch) = node.under_way.take().expect("no write is under way");
        let store = node.store.as_mut().expect("running node has no store");
        store
            .write(&batch.writes)
            .expect("write failed without an injected fault");
        let is_install = |write: &&Write| matches!(write, Write::Install(_));
        self.coverage.installs += batch.writes.iter().filter(is_install).count();
        let raft = node.raft.as_mut().expect("a stopped node writes");
        raft.finish_write(now, batch.number);
        self.start_write(node_idx);
        self.process_ready(node_idx)
    }

    fn wake(&mut self, node_idx: usize) -> Check {
        let now = self.clock(node_idx);
        if let Some(raft) = &mut self.nodes[node_idx].raft {
            raft.tick(now);
        }
        self.process_ready(node_idx)
    }

    fn deliver(&mut self) -> Check {
        let Some(Reverse((_, number))) = self.deliveries.pop() else {
            return Ok(());
        };
        let Some((from, to, message)) = self.messages.remove(&number) else {
            return Ok(());
        };
        let Some(node_idx) = self.nodes.iter().position(|node| node.id == to) else {
            return Ok(());
        };
        if self.nodes[node_idx].paused_until > self.now {
            self.enqueue(self.nodes[node_idx].paused_until, from, to, message);
            return Ok(());
        }
        let now = self.clock(node_idx);
        if let Some(raft) = &mut self.nodes[node_idx].raft {
            raft.step(now, from, message);
        }
        self.process_ready(node_idx)
    }

    fn process_all_ready(&mut self) -> Check {
        (0..self.nodes.len()).try_for_each(|node_idx| self.process_ready(node_idx))
    }

    /// Handles the outstanding work of a node in the order that the core requires.
    fn process_ready(&mut self, node_idx: usize) -> Check {
        while let Some(raft) = &mut self.nodes[node_idx].raft {
            let ready = raft.ready();
            if ready.is_empty() {
                break;
            }
            self.handle_ready(node_idx, ready)?;
        }
        self.check_leader(node_idx)?;
        self.check_leases()
    }

    fn handle_ready(&mut self, node_idx: usize, ready: Ready) -> Check {
        let node = &mut self.nodes[node_idx];
        node.queue.extend(ready.write);
        self.start_write(node_idx);
        let node = &mut self.nodes[node_idx];
        if node.under_way.is_some() {
            self.coverage.early_messages += ready.messages.len();
        }
        let id = node.id;
        for outgoing in ready.messages {
            self.send(id, outgoing);
        }
        if let Some(snapshot) = ready.snapshot {
            let state: Vec<u64> =
                postcard::from_bytes(&snapshot.data).expect("snapshot cannot be decoded");
            let expected = self.reference_state(snapshot.index);
            prop_assert_eq!(&state, &expected, "snapshot differs from the reference log");
            self.nodes[node_idx].state = state;
            self.nodes[node_idx].applied = snapshot.index;
        }
        for entry in ready.committed {
            self.apply(node_idx, entry)?;
        }
        Ok(())
    }

    fn reference_state(&self, index: Index) -> Vec<u64> {
        let entries = self.reference.range(..=index);
        entries.filter_map(|(_, entry)| value_of(entry)).collect()
    }

    fn apply(&mut self, node_idx: usize, entry: Entry) -> Check {
        let node = &mut self.nodes[node_idx];
        prop_assert_eq!(
            entry.index,
            node.applied.next(),
            "gap in the applied entries"
        );
        node.applied = entry.index;
        node.state.extend(value_of(&entry));
        let is_change = matches!(entry.payload, Payload::Change(_));
        self.coverage.changes +=
            usize::from(is_change && !self.reference.contains_key(&entry.index));
        let term = node.raft.as_ref().map_or(Term(0), Raft::term);
        self.committed_term.entry(entry.index).or_insert(term);
        let committed = self
            .reference
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        prop_assert_eq!(&*committed, &entry, "a committed entry was replaced");
        let own = |(index, term, value): &(Index, Term, u64)| {
            (*index, *term, Some(*value)) == (entry.index, entry.term, value_of(&entry))
        };
        let acknowledged = node.proposed.iter().find(|p| own(p));
        self.acknowledged
            .extend(acknowledged.map(|(index, _, value)| (*index, *value)));
        Ok(())
    }

    fn send(&mut self, from: MemberId, outgoing: Outgoing) {
        let node_idx = |id| self.nodes.iter().position(|node| node.id == id);
        let side = |id| node_idx(id).map(|p| self.side(p));
        if side(from) != side(outgoing.to) || self.rng.random_range(0..100) < self.loss {
            return;
        }
        let at = self.now + 200 + self.rng.random_range(0..=self.delay * 1000);
        if self.rng.random_range(0..100) < self.duplication {
            let again = at + self.rng.random_range(0..1_000_000);
            self.enqueue(again, from, outgoing.to, outgoing.message.clone());
        }
        self.enqueue(at, from, outgoing.to, outgoing.message);
    }

    fn enqueue(&mut self, at: u64, from: MemberId, to: MemberId, message: Message) {
        self.messages_sent += 1;
        self.deliveries.push(Reverse((at, self.messages_sent)));
        self.messages
            .insert(self.messages_sent, (from, to, message));
    }

    /// Checks that a term has at most one leader, and that a new leader has every entry that was
    /// committed in earlier terms.
    fn check_leader(&mut self, node_idx: usize) -> Check {
        let node = &self.nodes[node_idx];
        let Some(raft) = node.raft.as_ref().filter(|r| r.role() == Role::Leader) else {
            return Ok(());
        };
        let known = self.leaders.len();
        let new = (node.id, self.now);
        let (leader, _) = *self.leaders.entry(raft.term()).or_insert(new);
        prop_assert_eq!(leader, node.id, "two leaders in term {}", raft.term());
        if self.leaders.len() == known {
            return Ok(());
        }
        let rafts = self.nodes.iter().filter_map(|node| node.raft.as_ref());
        let others = rafts.filter(|r| r.role() == Role::Leader).count();
        self.coverage.two_leaders += usize::from(others > 1);
        self.coverage.elections += 1;
        for (index, entry) in self.reference.range(raft.log().base()..) {
            let own = raft.log().term(*index);
            let is_older = self.committed_term[index] < raft.term();
            prop_assert!(
                !is_older || own == Some(entry.term),
                "a leader lacks entry {index}"
            );
        }
        Ok(())
    }

    pub(crate) fn coverage(&self) -> Coverage {
        let writes = self.acknowledged.len();
        Coverage {
            writes,
            ..self.coverage
        }
    }

    /// Checks that no newer leader was elected before the time that `quorum_age` refers to, and
    /// that none exists while the age is below the check-quorum window less the clock drift.
    fn check_leases(&self) -> Check {
        let margin = self.config.check_quorum_window.mul_f64(2.5 * CLOCK_DRIFT);
        let safe = self.config.check_quorum_window - margin;
        for (node_idx, node) in self.nodes.iter().enumerate() {
            let Some(raft) = &node.raft else { continue };
            let Some(age) = raft.quorum_age(self.clock(node_idx)) else {
                continue;
            };
            let confirmed_at = self.now as f64 - age.as_micros() as f64 / node.clock_rate;
            for (term, (_, elected)) in self.leaders.range(raft.term().next()..) {
                prop_assert!(
                    confirmed_at <= *elected as f64 + 2.0 && age >= safe,
                    "leader of term {} has quorum age {age:?} although term {term} has a leader",
                    raft.term()
                );
            }
        }
        Ok(())
    }

    /// Checks that two logs with the same term at an index are equal up to that index.
    fn check_logs(&self) -> Check {
        let rafts = || self.nodes.iter().filter_map(|node| node.raft.as_ref());
        for (a, b) in rafts().flat_map(|a| rafts().map(move |b| (a, b))) {
            let from = a.log().base().max(b.log().base()).next();
            let to = a.log().last().min(b.log().last());
            let agree = |i: &u64| a.log().term(Index(*i)) == b.log().term(Index(*i));
            let common = (from.0..=to.0).rev().find(agree).unwrap_or(0);
            let (a, b) = (a.log(), b.log());
            let length = usize::MAX;
            let left = a.slice(from, Index(common), length);
            prop_assert_eq!(left, b.slice(from, Index(common), length), "logs differ");
        }
        Ok(())
    }

    /// Proposes until a write is acknowledged, and returns the time that it took in milliseconds,
    /// or `None` if that does not happen within `ms` milliseconds.
    pub(crate) fn next_write(&mut self, ms: u64) -> Result<Option<u64>, TestCaseError> {
        let (start, known) = (self.now, self.acknowledged.len());
        while self.now < start + ms * 1000 {
            self.propose();
            self.process_all_ready()?;
            self.run(10)?;
            if self.acknowledged.len() > known {
                return Ok(Some((self.now - start) / 1000));
            }
        }
        Ok(None)
    }

    /// Returns whether the leader's membership has three voters, all of which are running.
    pub(crate) fn is_repaired(&self) -> bool {
        assert!(self.now < 60_000_000, "no repair within a minute");
        let rafts = || self.nodes.iter().filter_map(|node| node.raft.as_ref());
        let runs = |id| rafts().any(|raft| raft.id() == id);
        let leader = rafts().find(|r| r.is_established());
        leader.is_some_and(|r| {
            r.members().voters().filter(|id| runs(*id)).count() == 3
                && r.members().voters().count() == 3
        })
    }

    /// Crashes the leader, or the first follower unless `is_leader` is set; a learner is never
    /// crashed.
    pub(crate) fn crash_voter(&mut self, is_leader: bool) {
        let fits = |node: &Node| {
            let role = node.raft.as_ref().map(Raft::role);
            role == Some(if is_leader {
                Role::Leader
            } else {
                Role::Follower
            })
        };
        if let Some(node_idx) = self.nodes.iter().position(fits) {
            self.crash(node_idx);
        }
    }

    /// Ends all faults and checks that the group converges and has lost no acknowledged write.
    pub(crate) fn finish(&mut self, replace: bool) -> Check {
        self.check_logs()?;
        self.partition = None;
        (self.loss, self.duplication, self.delay) = (0, 0, 2);
        for node_idx in 0..self.nodes.len() {
            self.nodes[node_idx].paused_until = 0;
            self.nodes[node_idx].write_us = WRITE_US;
            self.nodes[node_idx].torn_write_units = None;
            if self.nodes[node_idx].raft.is_none() {
                self.start(node_idx);
            }
        }
        for _ in 0..SETTLE_US / 500_000 {
            self.run(500)?;
            if replace {
                self.replace();
                self.process_all_ready()?;
            }
        }
        self.check_logs()?;
        if !self.can_lead() {
            return Ok(());
        }
        let value = self.reference.len();
        self.propose();
        self.process_all_ready()?;
        self.run(1000)?;
        prop_assert!(
            self.reference.len() > value,
            "no progress after the faults ended"
        );
        self.check_acknowledged()
    }

    fn check_acknowledged(&self) -> Check {
        let last = self
            .reference
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default();
        let state = self.reference_state(last);
        let rafts = self.nodes.iter().filter_map(|n| n.raft.as_ref());
        let newest = rafts
            .max_by_key(|r| r.commit())
            .expect("no node is running");
        for (index, value) in &self.acknowledged {
            let entry = self.reference.get(index).and_then(value_of);
            prop_assert_eq!(entry, Some(*value), "an acknowledged write is lost");
        }
        for node in &self.nodes {
            if newest.members().get(node.id).is_some() {
                prop_assert_eq!(&node.state, &state, "member {} is behind", node.id);
            }
        }
        Ok(())
    }

    /// Returns whether the voters that did not lose their disks are a majority in the membership of
    /// every member.
    fn can_lead(&self) -> bool {
        let runs = |id: &MemberId| self.nodes.iter().any(|node| node.id == *id);
        let rafts = self.nodes.iter().filter_map(|node| node.raft.as_ref());
        let members = rafts.map(Raft::members);
        let views: Vec<_> = members.filter(|m| m.voters().next().is_some()).collect();
        let has_majority = |m: &&Membership| m.voters().filter(runs).count() >= m.majority();
        !views.is_empty() && views.iter().all(has_majority)
    }
}

fn value_of(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Data(data) => Some(u64::from_le_bytes(data[..].try_into().ok()?)),
        _ => None,
    }
}
