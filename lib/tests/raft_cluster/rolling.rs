//! Schedules in which the nodes of a group are replaced in turn, each by an empty one under another name.

use fulmarford_lib::raft::Raft;
use fulmarford_lib::raft::Role;
use fulmarford_lib::raft_member::MemberChange;
use fulmarford_lib::raft_member::MemberHealth;
use fulmarford_lib::raft_member::ReplacementPolicy;
use fulmarford_lib::raft_message::Index;
use fulmarford_lib::raft_message::MemberId;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use rand::Rng;

use super::Check;
use super::Cluster;
use super::SLOW_WRITE_US;

/// Time for which a new node runs before another one may be ended.
const CATCH_UP_MS: u64 = 4_000;
/// Interval between membership checks, as in the control thread.
const MAINTAIN_MS: u64 = 250;
/// Interval between proposals.
const PROPOSE_MS: u64 = 100;
/// Time within which a write is acknowledged while no node is disturbed.
const ACK_MS: u64 = 4_000;
/// Time within which the group consists of the running nodes only, after the last replacement.
const REPAIR_MS: u64 = 30_000;

/// The node that is replaced.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Victim {
    Leader,
    Follower(usize),
    Oldest,
}

/// The way in which it ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Ending {
    /// It hands over the leadership first, as after SIGTERM.
    Stop,
    Kill,
    /// It is cut off for a time in milliseconds and then killed.
    CutOff(u16),
}

/// The start of its successor.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Successor {
    Before,
    With,
    /// A time in milliseconds after its end.
    After(u16),
}

/// What else happens after the replacement.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    None,
    /// All nodes are killed, and restart with their disks.
    RestartAll,
    /// The nodes are split for a time in milliseconds; each bit gives the side of one node.
    Split(u64, u16),
    /// The replaced node comes back with its disk.
    Return,
    /// The replaced node comes back under its name with an empty disk.
    ReturnEmpty,
    /// The disk of the successor is slow.
    SlowDisk,
    /// Another new node ends before it is promoted.
    LostLearner,
}

/// One replacement, and the time in milliseconds until the next one beyond the least.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) victim: Victim,
    pub(crate) ending: Ending,
    pub(crate) successor: Successor,
    pub(crate) trouble: Trouble,
    pub(crate) pause: u16,
}

/// Generates replacements, of which most follow each other as fast as possible.
pub(crate) fn turn() -> impl Strategy<Value = Turn> {
    let victim = prop_oneof![
        4 => Just(Victim::Leader),
        2 => (0..8_usize).prop_map(Victim::Follower),
        1 => Just(Victim::Oldest),
    ];
    let ending = prop_oneof![
        3 => Just(Ending::Stop),
        2 => Just(Ending::Kill),
        1 => (0..3_000_u16).prop_map(Ending::CutOff),
    ];
    let successor = prop_oneof![
        3 => Just(Successor::Before),
        1 => Just(Successor::With),
        1 => (0..2_000_u16).prop_map(Successor::After),
    ];
    let trouble = prop_oneof![
        8 => Just(Trouble::None),
        1 => Just(Trouble::RestartAll),
        1 => (any::<u64>(), 500..4_000_u16).prop_map(|(mask, ms)| Trouble::Split(mask, ms)),
        1 => Just(Trouble::Return),
        1 => Just(Trouble::ReturnEmpty),
        1 => Just(Trouble::SlowDisk),
        1 => Just(Trouble::LostLearner),
    ];
    let pause = prop_oneof![2 => Just(0), 1 => 0..1_000_u16, 1 => 0..12_000_u16];
    (victim, ending, successor, trouble, pause).prop_map(
        |(victim, ending, successor, trouble, pause)| Turn {
            victim,
            ending,
            successor,
            trouble,
            pause,
        },
    )
}

impl Cluster {
    /// Replaces a node and checks that the group can spare another one when its successor has had its time.
    pub(crate) fn replace_node(&mut self, turn: &Turn) -> Check {
        let new = match turn.successor {
            Successor::Before => {
                let new = self.add_running_node(turn.trouble);
                self.run_maintained(CATCH_UP_MS)?;
                Some(new)
            }
            Successor::With | Successor::After(_) => None,
        };
        let old = self.find_victim(turn.victim, new);
        self.end_node(old, turn.ending)?;
        if new.is_none() {
            if let Successor::After(ms) = turn.successor {
                self.run_maintained(u64::from(ms))?;
            }
            self.add_running_node(turn.trouble);
        }
        if matches!(turn.trouble, Trouble::None | Trouble::SlowDisk) {
            self.run_maintained(CATCH_UP_MS)?;
        } else {
            self.run_maintained(CATCH_UP_MS / 2)?;
            self.disturb(turn.trouble, old)?;
            // Nodes that were down or cut off count as lost for as long as new ones do.
            self.run_maintained(CATCH_UP_MS)?;
        }
        self.run_maintained(u64::from(turn.pause))?;
        self.check_spare()
    }

    /// Checks that the group ends up with the running nodes as its voters, and has lost no acknowledged write.
    pub(crate) fn finish_rolling(&mut self) -> Check {
        for _ in 0..REPAIR_MS / 500 {
            if self.has_running_members_only() {
                break;
            }
            self.run_maintained(500)?;
        }
        prop_assert!(
            self.has_running_members_only(),
            "the members differ from the running nodes: {}",
            self.describe_members()
        );
        let took = self.next_write(ACK_MS)?;
        prop_assert!(took.is_some(), "no write after the replacements");
        self.run(500)?;
        self.check_logs()?;
        self.check_acknowledged()
    }

    /// Advances the time, with proposals and with what the control threads do for the membership.
    fn run_maintained(&mut self, ms: u64) -> Check {
        let end = self.now + ms * 1000;
        while self.now < end {
            let slice = PROPOSE_MS.min((end - self.now).div_ceil(1000));
            if self.now >= self.maintain_at {
                self.maintain_at = self.now + MAINTAIN_MS * 1000;
                self.maintain()?;
            }
            self.propose();
            self.process_all_ready()?;
            self.run(slice)?;
        }
        Ok(())
    }

    /// Applies the replacement policy at each leader, and lets nodes join that are no members.
    fn maintain(&mut self) -> Check {
        let policy = ReplacementPolicy::default();
        let mut checks = Vec::new();
        self.for_each_leader(|raft, now| {
            let health = raft.health(now);
            if raft.is_established()
                && let Some(change) = policy.plan(&health)
                && raft.propose_change(now, change.clone()).is_ok()
            {
                checks.push((change, health));
            }
        });
        for (change, health) in checks {
            check_margin(&policy, &change, &health)?;
        }
        let joining: Vec<_> = (0..self.nodes.len())
            .filter(|n| self.must_join(*n))
            .collect();
        for node_idx in joining {
            let (id, side) = (self.nodes[node_idx].id, self.side(node_idx));
            let add = MemberChange::AddLearner {
                id,
                instance: self.nodes[node_idx].instance.clone(),
                address: String::new(),
            };
            let leaders: Vec<MemberId> = (0..self.nodes.len())
                .filter(|n| self.side(*n) == side)
                .map(|n| self.nodes[n].id)
                .collect();
            self.for_each_leader(|raft, now| {
                if leaders.contains(&raft.id()) && raft.members().get(id).is_none() {
                    let _ = raft.propose_change(now, add.clone());
                }
            });
        }
        self.process_all_ready()
    }

    /// Returns whether a node asks to join: it is no member as far as it knows, or hears from no leader.
    fn must_join(&self, node_idx: usize) -> bool {
        let node = &self.nodes[node_idx];
        node.raft
            .as_ref()
            .is_some_and(|raft| raft.leader().is_none() || raft.members().get(raft.id()).is_none())
    }

    pub(super) fn side(&self, node_idx: usize) -> u64 {
        self.partition.unwrap_or(0) >> node_idx & 1
    }

    /// Starts an empty node under a new name.
    fn add_running_node(&mut self, trouble: Trouble) -> usize {
        self.add_node();
        let node_idx = self.nodes.len() - 1;
        if matches!(trouble, Trouble::SlowDisk) {
            self.nodes[node_idx].write_us = SLOW_WRITE_US;
        }
        self.start(node_idx);
        node_idx
    }

    fn running(&self) -> Vec<usize> {
        let runs = |n: &usize| self.nodes[*n].raft.is_some();
        (0..self.nodes.len()).filter(runs).collect()
    }

    /// Returns the node to end, which is not the one that was just started.
    fn find_victim(&self, victim: Victim, new: Option<usize>) -> usize {
        let mut running = self.running();
        running.retain(|n| Some(*n) != new);
        let leads = |n: &&usize| {
            let raft = self.nodes[**n].raft.as_ref();
            raft.is_some_and(|raft| raft.role() == Role::Leader)
        };
        let newest_leader = running.iter().filter(leads).max_by_key(|n| {
            let raft = self.nodes[**n].raft.as_ref();
            raft.map(Raft::term)
        });
        match victim {
            Victim::Leader => newest_leader.copied().unwrap_or(running[0]),
            Victim::Oldest => running[0],
            Victim::Follower(n) => {
                let leader = newest_leader.copied();
                running.retain(|node| Some(*node) != leader);
                running[n % running.len()]
            }
        }
    }

    fn end_node(&mut self, node_idx: usize, ending: Ending) -> Check {
        match ending {
            Ending::Kill => {}
            Ending::Stop => {
                let now = self.clock(node_idx);
                if let Some(raft) = &mut self.nodes[node_idx].raft {
                    let _ = raft.transfer_leadership(now);
                }
                self.process_all_ready()?;
                self.run(100)?;
            }
            Ending::CutOff(ms) => {
                self.partition = Some(1 << node_idx);
                self.run_maintained(u64::from(ms))?;
                self.partition = None;
            }
        }
        self.crash(node_idx);
        Ok(())
    }

    fn disturb(&mut self, trouble: Trouble, old: usize) -> Check {
        match trouble {
            Trouble::None | Trouble::SlowDisk => {}
            Trouble::RestartAll => {
                let running = self.running();
                running.iter().for_each(|n| self.crash(*n));
                for node_idx in running {
                    let late = self.rng.random_range(0..300);
                    self.run(late)?;
                    self.start(node_idx);
                }
            }
            Trouble::Split(mask, ms) => {
                self.partition = Some(mask);
                self.run_maintained(u64::from(ms))?;
                self.partition = None;
            }
            Trouble::Return => self.start(old),
            Trouble::ReturnEmpty => {
                let disk = self.rng.random();
                let node = &mut self.nodes[old];
                node.id = MemberId(self.rng.random());
                node.disk = (self.new_disk)(disk);
                self.start(old);
            }
            Trouble::LostLearner => {
                let lost = self.add_running_node(trouble);
                let id = self.nodes[lost].id;
                for _ in 0..CATCH_UP_MS / 10 {
                    if self.is_learner(id) {
                        break;
                    }
                    self.run_maintained(10)?;
                }
                self.crash(lost);
            }
        }
        Ok(())
    }

    fn is_learner(&self, id: MemberId) -> bool {
        let rafts = self.nodes.iter().filter_map(|node| node.raft.as_ref());
        let mut leaders = rafts.filter(|raft| raft.is_established());
        leaders.any(|raft| raft.members().get(id).is_some_and(|m| !m.voting))
    }

    /// Checks that the running voters are a majority even without one of them, and that they acknowledge a
    /// write, which enough disks hold.
    fn check_spare(&mut self) -> Check {
        let took = self.next_write(ACK_MS)?;
        prop_assert!(
            took.is_some(),
            "no write within {ACK_MS} ms: {}",
            self.describe_members()
        );
        let Some((index, _)) = self.acknowledged.last().copied() else {
            return Ok(());
        };
        let holders = self.count_holders(index);
        prop_assert!(
            holders >= self.initial_majority,
            "{holders} disks hold entry {index}"
        );
        let rafts = self.nodes.iter().filter_map(|node| node.raft.as_ref());
        let Some(leader) = rafts.max_by_key(|raft| (raft.is_established(), raft.term())) else {
            return Err(TestCaseError::fail("no node runs"));
        };
        let members = leader.members();
        let live = members.voters().filter(|id| self.runs(*id)).count();
        prop_assert!(
            live > members.majority(),
            "no voter to spare: {}",
            self.describe_members()
        );
        Ok(())
    }

    fn runs(&self, id: MemberId) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|node| node.id == id && node.raft.is_some())
    }

    /// Returns the number of running nodes that hold an entry durably.
    fn count_holders(&self, index: Index) -> usize {
        let rafts = self.nodes.iter().filter_map(|node| node.raft.as_ref());
        rafts.filter(|raft| raft.log().durable() >= index).count()
    }

    fn has_running_members_only(&self) -> bool {
        let rafts = self.nodes.iter().filter_map(|node| node.raft.as_ref());
        let mut leaders = rafts.filter(|raft| raft.is_established());
        leaders.any(|raft| {
            let members = raft.members();
            members.iter().all(|(id, m)| m.voting && self.runs(id))
                && members.iter().count() == self.running().len()
        })
    }

    fn describe_members(&self) -> String {
        let describe = |raft: &Raft| {
            let member = |(id, m): (MemberId, &fulmarford_lib::raft_member::Member)| {
                let node_idx = self.nodes.iter().position(|node| node.id == id);
                let state = if self.runs(id) { "" } else { " gone" };
                let role = if m.voting { "" } else { " learner" };
                format!("{node_idx:?}{role}{state}")
            };
            let members: Vec<_> = raft.members().iter().map(member).collect();
            format!("{} {}: {}", raft.role(), raft.term(), members.join(", "))
        };
        let rafts = self.nodes.iter().filter_map(|node| node.raft.as_ref());
        rafts.map(describe).collect::<Vec<_>>().join("; ")
    }
}

/// Checks that a change leaves at least as many responsive voters beyond the majority as before.
fn check_margin(
    policy: &ReplacementPolicy,
    change: &MemberChange,
    health: &[MemberHealth],
) -> Check {
    let is_responsive = |m: &&&MemberHealth| m.silent < policy.responsive_within;
    let margin = |voters: &[&MemberHealth]| {
        let responsive = voters.iter().filter(is_responsive).count();
        responsive as i64 - (voters.len() / 2 + 1) as i64
    };
    let before: Vec<_> = health.iter().filter(|m| m.voting).collect();
    let mut after = before.clone();
    match change {
        MemberChange::Promote(id) => after.extend(health.iter().filter(|m| m.id == *id)),
        MemberChange::Remove(id) => after.retain(|m| m.id != *id),
        MemberChange::AddLearner { .. } => {}
    }
    prop_assert!(margin(&after) >= 0, "{change:?} leaves no majority");
    prop_assert!(
        margin(&after) >= margin(&before),
        "{change:?} reduces the margin"
    );
    Ok(())
}
