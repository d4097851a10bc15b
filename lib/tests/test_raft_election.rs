//! Exhaustive check of all orders of events in small groups.
//!
//! Every order of deliveries, time-outs, crashes and proposals up to the budgets is tried. A message
//! that is never delivered is a lost one, so losses need no event of their own.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::raft::Config;
use fulmarford_lib::raft::Raft;
use fulmarford_lib::raft::Role;
use fulmarford_lib::raft_member::Membership;
use fulmarford_lib::raft_message::Body;
use fulmarford_lib::raft_message::Entry;
use fulmarford_lib::raft_message::HardState;
use fulmarford_lib::raft_message::Index;
use fulmarford_lib::raft_message::MemberId;
use fulmarford_lib::raft_message::Message;
use fulmarford_lib::raft_message::Payload;
use fulmarford_lib::raft_message::Term;
use fulmarford_lib::storage;
use fulmarford_lib::storage::DurableState;

/// Longer than the check-quorum window and the spread of election time-outs.
const SILENCE: Duration = Duration::from_millis(1300);

#[derive(Clone, Copy, Hash)]
struct Budget {
    timeouts: usize,
    crashes: usize,
    proposals: usize,
}

#[derive(Clone)]
struct World {
    rafts: Vec<Raft>,
    durable: Vec<DurableState>,
    clocks: Vec<Instant>,
    messages: Vec<(MemberId, MemberId, Message)>,
    /// Committed entries, and the term of the member that applied each first.
    committed: BTreeMap<Index, (Entry, Term)>,
    leaders: BTreeMap<Term, MemberId>,
    budget: Budget,
    /// Whether the first and the last voter do not reach each other.
    is_cut: bool,
}

impl World {
    /// Starts voters whose logs hold an entry of each given term.
    fn new(logs: &[&[u64]], term: u64, budget: Budget) -> Self {
        let base = Instant::now();
        let ids = 0..logs.len() as u64;
        let voter = |id| (MemberId(id), InstanceId::from("i"), String::new());
        let members = Membership::of_voters(ids.clone().map(voter));
        let mut durable = Vec::new();
        for (id, log) in ids.zip(logs) {
            let mut one = DurableState::default();
            let writes = storage::bootstrap(MemberId(id), members.clone(), Vec::new());
            writes.iter().for_each(|write| one.apply(write));
            let hard = HardState {
                term: Term(term),
                vote: None,
            };
            one.apply(&storage::Write::Hard(hard));
            let entry = |(place, term): (usize, &u64)| Entry {
                term: Term(*term),
                index: Index(place as u64 + 2),
                payload: Payload::Noop,
            };
            one.entries = log.iter().enumerate().map(entry).collect();
            durable.push(one);
        }
        let mut world = Self {
            rafts: Vec::new(),
            clocks: vec![base + SILENCE; logs.len()],
            durable,
            messages: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            budget,
            is_cut: false,
        };
        for place in 0..logs.len() {
            let raft = world.restarted(place, base);
            world.rafts.push(raft);
        }
        world
    }

    fn restarted(&self, place: usize, now: Instant) -> Raft {
        // One entry in a message, so that commits at every position occur.
        let config = Config {
            append_bytes: 1,
            ..Config::default()
        };
        let id = MemberId(place as u64);
        Raft::new(id, config, self.durable[place].clone(), 1, now)
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (raft, durable) in self.rafts.iter().zip(&self.durable) {
            (raft.role(), raft.term(), raft.leader(), raft.commit()).hash(&mut hasher);
            (durable.hard, &durable.entries).hash(&mut hasher);
        }
        self.budget.hash(&mut hasher);
        // The sum does not depend on the order of the messages.
        let messages = self.messages.iter().map(|message| {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            hasher.finish()
        });
        messages.fold(hasher.finish(), u64::wrapping_add)
    }

    /// Loses messages that the receiver would ignore or only answer with its newer term.
    fn drop_stale(&mut self) {
        let rafts = &self.rafts;
        let is_cut = self.is_cut;
        self.messages.retain(|(from, to, message)| {
            if is_cut && from.0.abs_diff(to.0) == 2 {
                return false;
            }
            let raft = &rafts[to.0 as usize];
            match message.body {
                Body::PreVote(_) => message.term > raft.term(),
                Body::PreVoteReply { granted: true } => raft.role() == Role::PreCandidate,
                Body::PreVoteReply { granted: false } => message.term > raft.term(),
                Body::VoteReply { .. } => raft.role() == Role::Candidate,
                _ => message.term >= raft.term(),
            }
        });
    }

    /// Returns the worlds after each possible event.
    fn successors(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        for number in 0..self.messages.len() {
            let mut world = self.clone();
            let (from, to, message) = world.messages.swap_remove(number);
            let place = to.0 as usize;
            world.rafts[place].step(self.clocks[place], from, message);
            worlds.push(world.settled(place));
        }
        for place in 0..self.rafts.len() {
            if let Some(timeouts) = self.budget.timeouts.checked_sub(1) {
                let mut world = self.clone();
                world.budget.timeouts = timeouts;
                world.clocks[place] += SILENCE;
                world.rafts[place].tick(world.clocks[place]);
                worlds.push(world.settled(place));
            }
            if let Some(crashes) = self.budget.crashes.checked_sub(1) {
                let mut world = self.clone();
                world.budget.crashes = crashes;
                world.rafts[place] = world.restarted(place, world.clocks[place]);
                world.clocks[place] += SILENCE;
                worlds.push(world.settled(place));
            }
            let is_leader = self.rafts[place].role() == Role::Leader;
            if let Some(proposals) = self.budget.proposals.checked_sub(1).filter(|_| is_leader) {
                let mut world = self.clone();
                world.budget.proposals = proposals;
                let proposed = world.rafts[place].propose(world.clocks[place], vec![1]);
                proposed.expect("a leader accepts");
                worlds.push(world.settled(place));
            }
        }
        worlds
    }

    fn settled(mut self, place: usize) -> Self {
        let id = MemberId(place as u64);
        loop {
            let ready = self.rafts[place].ready();
            if ready.is_empty() {
                break;
            }
            for write in &ready.writes {
                self.durable[place].apply(write);
            }
            let sent = ready.messages.into_iter();
            self.messages
                .extend(sent.map(|out| (id, out.to, out.message)));
            let term = self.rafts[place].term();
            for entry in ready.committed {
                let known = self.committed.entry(entry.index);
                let (known, _) = known.or_insert_with(|| (entry.clone(), term));
                assert_eq!(*known, entry, "a committed entry changed");
            }
        }
        self.drop_stale();
        let raft = &self.rafts[place];
        if raft.role() == Role::Leader {
            let leader = *self.leaders.entry(raft.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in one term");
            for (index, (entry, term)) in &self.committed {
                let own = raft.log().term(*index);
                let is_held = own == Some(entry.term) || *term >= raft.term();
                assert!(is_held, "a leader lacks a committed entry");
            }
        }
        self
    }
}

/// Visits all worlds that are reached in at most `steps` events, and returns how many there are.
fn explore(start: World, steps: usize) -> usize {
    let mut seen = HashSet::from([start.digest()]);
    let mut worlds = vec![start];
    for _ in 0..steps {
        let successors = worlds.iter().flat_map(World::successors);
        worlds = successors
            .filter(|next| seen.insert(next.digest()))
            .collect();
    }
    seen.len()
}

fn check(start: World, steps: usize) {
    let worlds = explore(start, steps);
    println!("{worlds} worlds in {steps} steps");
}

/// Guards against votes that are forgotten and elections won without a majority.
#[test]
fn raft_two_voters_exhaustive() {
    let budget = Budget {
        timeouts: 3,
        crashes: 2,
        proposals: 1,
    };
    check(World::new(&[&[], &[]], 1, budget), 60);
}

/// Guards against two leaders in one term of three voters.
#[test]
fn raft_three_voters_exhaustive() {
    let budget = Budget {
        timeouts: 2,
        crashes: 1,
        proposals: 0,
    };
    check(World::new(&[&[], &[], &[]], 1, budget), 14);
}

/// Guards against committing an entry of an earlier term that a majority holds and a later leader
/// can still replace.
#[test]
fn raft_older_term_exhaustive() {
    let budget = Budget {
        timeouts: 4,
        crashes: 0,
        proposals: 0,
    };
    let mut world = World::new(&[&[2], &[], &[3]], 3, budget);
    world.is_cut = true;
    check(world, 18);
}
