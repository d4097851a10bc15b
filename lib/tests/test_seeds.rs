//! Tests of Raft groups whose members are configured with seed addresses only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::UsageTerms;
use fulmarford_lib::control::Control;
use fulmarford_lib::control_core::MAX_DIRECT_POLLERS;
use fulmarford_lib::control_core::PeerAddress;
use fulmarford_lib::control_thread;
use fulmarford_lib::control_thread::Config;
use fulmarford_lib::control_thread::ControlThread;
use fulmarford_lib::peer::Secrets;
use fulmarford_lib::rules::Document;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::storage::LogStore;
use fulmarford_testutils::ports;
use googletest::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a new instance runs before another one is replaced.
const CATCH_UP: Duration = Duration::from_secs(4);

struct Member {
    address: SocketAddr,
    store: Option<SimpleStorage>,
    thread: Option<ControlThread>,
}

struct Group {
    members: Vec<Member>,
    seeds: usize,
}

impl Group {
    /// Starts voters, the first of which are the seeds, and one instance without a data folder.
    fn start(voters: usize, seeds: usize) -> Self {
        let member = |store| Member {
            address: ports::free_address(),
            store,
            thread: None,
        };
        let mut members: Vec<_> = (0..voters)
            .map(|_| member(Some(SimpleStorage::default())))
            .collect();
        members.push(member(None));
        let mut group = Self { members, seeds };
        for index in 0..=voters {
            group.launch(index, &format!("i{index}"), true);
        }
        group
    }

    fn launch(&mut self, index: usize, name: &str, bootstrap: bool) {
        let seeds: Vec<usize> = (0..self.seeds).collect();
        self.launch_with(index, name, bootstrap, &seeds);
    }

    fn launch_with(&mut self, index: usize, name: &str, bootstrap: bool, seeds: &[usize]) {
        let seeds = seeds.iter().map(|seed| &self.members[*seed]);
        let seeds = seeds.map(|seed| PeerAddress {
            name: format!("seed {}", seed.address).into(),
            address: seed.address,
        });
        let seeds = seeds.collect();
        let member = &mut self.members[index];
        let store = member.store.clone();
        let config = Config {
            instance: name.into(),
            listener: control_thread::listen(member.address).expect("the port is free"),
            address: member.address,
            peers: seeds,
            discover: true,
            max_direct_pollers: MAX_DIRECT_POLLERS,
            terms: UsageTerms::default(),
            store: store.map(|store| -> Box<dyn LogStore + Send> { Box::new(store) }),
            bootstrap,
            rules: Vec::new(),
            secrets: Secrets::parse("secret-of-the-test-group").expect("valid"),
            secret_file: None,
            clock: Arc::new(SystemClock),
        };
        member.thread = Some(ControlThread::start(config).expect("the thread starts"));
    }

    fn halt(&mut self, index: usize) {
        if let Some(thread) = self.members[index].thread.take() {
            thread.halt();
        }
    }

    /// Starts an instance with an empty store at a new address.
    fn add(&mut self, name: &str) -> usize {
        let seeds: Vec<usize> = (0..self.seeds).collect();
        self.add_with(name, &seeds)
    }

    fn add_with(&mut self, name: &str, seeds: &[usize]) -> usize {
        self.members.push(Member {
            address: ports::free_address(),
            store: Some(SimpleStorage::default()),
            thread: None,
        });
        let index = self.members.len() - 1;
        self.launch_with(index, name, false, seeds);
        index
    }

    /// Starts an instance with an empty store that is told of instances which run now.
    fn add_successor(&mut self, name: &str) -> usize {
        let running = self.running();
        self.add_with(name, &running[..self.seeds])
    }

    fn submit(&self, index: usize, command: Command) -> Option<Reply> {
        let control = self.members[index].thread.as_ref()?.control();
        control.submit(command, CALL_TIMEOUT).ok()
    }

    fn replace(&self, index: usize, revision: u64) {
        let document = Document {
            revision,
            text: format!("revision {revision}").into(),
        };
        let command = Command::ReplaceDocument(document);
        wait_until(|| {
            matches!(
                self.submit(index, command.clone()),
                Some(Reply::Applied { .. })
            )
        });
    }

    fn read(&self, index: usize) -> Option<u64> {
        match self.submit(index, Command::ReadDocument)? {
            Reply::Document(document) => Some(document.map_or(0, |d| d.revision)),
            _ => None,
        }
    }

    fn voters(&self, index: usize) -> usize {
        let Some(thread) = &self.members[index].thread else {
            return 0;
        };
        let status = thread.control().status(CALL_TIMEOUT);
        status.members.iter().filter(|member| member.voting).count()
    }

    /// Returns the names of the voters as an instance knows them.
    fn voter_names(&self, index: usize) -> Vec<String> {
        let Some(thread) = &self.members[index].thread else {
            return Vec::new();
        };
        let members = thread.control().status(CALL_TIMEOUT).members;
        let voters = members.into_iter().filter(|member| member.voting);
        let mut names: Vec<_> = voters.map(|member| member.instance).collect();
        names.sort();
        names
    }

    /// Returns the name of a running instance.
    fn name(&self, index: usize) -> String {
        let thread = self.members[index].thread.as_ref().expect("runs");
        thread.control().status(CALL_TIMEOUT).instance
    }

    /// Returns the member that leads the group.
    fn leader(&self) -> usize {
        let leads = |index: &usize| {
            let thread = self.members[*index].thread.as_ref();
            thread.is_some_and(|t| t.control().status(CALL_TIMEOUT).role == "leader")
        };
        let mut leader = None;
        wait_until(|| {
            leader = (0..self.members.len()).find(leads);
            leader.is_some()
        });
        leader.expect("a leader")
    }

    /// Returns the indexes of the running instances, apart from the one without a data folder.
    fn running(&self) -> Vec<usize> {
        let runs = |index: &usize| {
            let member = &self.members[*index];
            member.thread.is_some() && member.store.is_some()
        };
        (0..self.members.len()).filter(runs).collect()
    }

    fn await_voters(&self, count: usize) {
        wait_until(|| (0..self.members.len()).any(|index| self.voters(index) == count));
    }
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "condition not met within {TIMEOUT:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against initial voters that never join because they are not seeds.
#[gtest]
fn seeds_all_voters_join() {
    let group = Group::start(5, 3);
    group.await_voters(5);
    group.replace(5, 7);
    for index in 0..=5 {
        expect_that!(group.read(index), some(eq(7)));
    }
}

/// Guards against a group that depends on its seeds: after both have failed, one after the other, the others
/// keep acknowledged documents and accept new ones.
#[gtest]
fn seeds_permanently_lost() {
    let mut group = Group::start(5, 2);
    group.await_voters(5);
    group.replace(5, 3);
    group.halt(0);
    wait_until(|| group.read(5) == Some(3));
    group.halt(1);
    wait_until(|| group.read(5) == Some(3));
    group.replace(4, 4);
    expect_that!(group.read(5), some(eq(4)));
}

/// Guards against the loss of an acknowledged document when a voter returns at the same address with an empty
/// disk.
#[gtest]
fn seeds_lost_disk_at_same_address() {
    let mut group = Group::start(5, 3);
    group.await_voters(5);
    group.replace(5, 3);
    group.halt(0);
    group.members[0].store = Some(SimpleStorage::default());
    group.launch(0, "i0", false);
    wait_until(|| group.read(0) == Some(3));
    group.await_voters(5);
    // The other voters restart simultaneously, with their disks intact.
    for index in 1..5 {
        group.halt(index);
    }
    for index in 1..5 {
        group.launch(index, &format!("i{index}"), false);
    }
    wait_until(|| group.read(5) == Some(3));
}

/// Guards against a failed voter that is not replaced by an empty instance at another address.
#[gtest]
fn voter_replaced_at_new_address() {
    let mut group = Group::start(3, 3);
    group.await_voters(3);
    group.replace(3, 2);
    group.halt(2);
    let new = group.add("j");
    wait_until(|| group.read(new) == Some(2));
    wait_until(|| group.voter_names(new) == ["i0", "i1", "j"]);
    group.replace(new, 3);
    expect_that!(group.read(3), some(eq(3)));
}

/// Replaces the member that leads a group six times, and checks that the group accepts changes all the time and
/// ends up with the members that run.
fn replace_leaders(is_planned: bool) {
    let mut group = Group::start(5, 3);
    group.await_voters(5);
    group.replace(5, 1);
    for turn in 0..6 {
        let planned = is_planned.then(|| group.add_successor(&format!("n{turn}")));
        if planned.is_some() {
            thread::sleep(CATCH_UP);
        }
        let leader = group.leader();
        if is_planned {
            let thread = group.members[leader].thread.take().expect("runs");
            thread.stop(CALL_TIMEOUT);
        } else {
            group.halt(leader);
        }
        let new = planned.unwrap_or_else(|| group.add_successor(&format!("n{turn}")));
        group.replace(new, turn + 2);
        if planned.is_none() {
            thread::sleep(CATCH_UP);
        }
    }
    let running = group.running();
    let last = running[running.len() - 1];
    // Which members are left depends on the elections, since a new one may have led as well.
    let mut names: Vec<_> = running.iter().map(|index| group.name(*index)).collect();
    names.sort();
    wait_until(|| group.voter_names(last) == names);
    for index in &running {
        expect_that!(group.read(*index), some(eq(7)));
    }
}

/// Guards against voters that were stopped for good and add up, because each new leader counts their silence
/// anew.
#[gtest]
fn leaders_replaced_in_turn() {
    replace_leaders(true);
}

/// The same without a word: each leader is killed before its successor starts.
#[gtest]
fn leaders_killed_in_turn() {
    replace_leaders(false);
}

/// Guards against an empty instance that bootstraps a group without permission, even if it is a seed.
#[gtest]
fn seeds_no_bootstrap_without_permission() {
    let mut group = Group {
        members: Vec::new(),
        seeds: 1,
    };
    group.members.push(Member {
        address: ports::free_address(),
        store: Some(SimpleStorage::default()),
        thread: None,
    });
    group.launch(0, "i0", false);
    thread::sleep(Duration::from_secs(2));
    expect_that!(group.read(0), none());
}
