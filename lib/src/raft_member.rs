//! Group membership: voters, learners, and the replacement of a failed voter.
//!
//! Each change affects one member, so that any majority before a change and any majority after it
//! have a member in common.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::InstanceId;
use crate::raft_message::Entry;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Payload;

/// A member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance that holds the data folder.
    pub instance: InstanceId,
    /// Its peer address.
    pub address: String,
    /// Whether it votes and counts towards a majority, unlike a learner.
    pub voting: bool,
}

/// A membership change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a member that only receives the log.
    AddLearner {
        /// The new member.
        id: MemberId,
        /// The instance that holds its data folder.
        instance: InstanceId,
        /// Its peer address.
        address: String,
    },
    /// Makes a learner a voter.
    Promote(MemberId),
    /// Removes a voter or a learner.
    Remove(MemberId),
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership(BTreeMap<MemberId, Member>);

impl Membership {
    /// Returns a membership of voters, given by id, instance and peer address.
    pub fn from_voters(voters: impl IntoIterator<Item = (MemberId, InstanceId, String)>) -> Self {
        let member = |(id, instance, address)| {
            let voting = true;
            let member = Member {
                instance,
                address,
                voting,
            };
            (id, member)
        };
        Self(voters.into_iter().map(member).collect())
    }

    /// Returns a member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.0.get(&id)
    }

    /// Returns all members in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.0.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the ids of all voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.iter().filter(|(_, m)| m.voting).map(|(id, _)| id)
    }

    /// Returns whether a member votes.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|member| member.voting)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the membership after a change, or `None` if the change does not apply.
    pub fn with_change(&self, change: &MemberChange) -> Option<Self> {
        let mut members = self.0.clone();
        match change {
            MemberChange::AddLearner {
                id,
                instance,
                address,
            } => {
                let member = Member {
                    instance: instance.clone(),
                    address: address.clone(),
                    voting: false,
                };
                if members.insert(*id, member).is_some() {
                    return None;
                }
            }
            MemberChange::Promote(id) => {
                let member = members.get_mut(id).filter(|member| !member.voting)?;
                member.voting = true;
            }
            MemberChange::Remove(id) => {
                members.remove(id)?;
            }
        }
        let members = Self(members);
        (members.voters().next().is_some() || self.0.is_empty()).then_some(members)
    }

    /// Returns the largest value that a majority of voters has reached, or `None` without voters.
    ///
    /// With the last index of each voter's log, this is the index up to which a majority holds the
    /// log.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable();
        let position = values.len().checked_sub(self.majority())?;
        Some(values[position])
    }
}

/// The membership at each index of the log that is still in memory.
///
/// A change takes effect when its entry is appended, and is reverted if that entry is replaced.
#[derive(Clone, Debug, Default)]
pub struct MembershipHistory {
    base: Membership,
    changes: Vec<(Index, Membership)>,
}

impl MembershipHistory {
    /// Returns a history that starts with the membership `base`.
    pub fn new(base: Membership) -> Self {
        let changes = Vec::new();
        Self { base, changes }
    }

    /// Returns the newest membership.
    pub fn current(&self) -> &Membership {
        self.changes.last().map_or(&self.base, |(_, m)| m)
    }

    /// Returns the membership after the entry at `index`.
    pub fn at(&self, index: Index) -> &Membership {
        let change = self.changes.iter().rev().find(|(at, _)| *at <= index);
        change.map_or(&self.base, |(_, m)| m)
    }

    /// Returns the index of the newest change.
    pub fn last_change(&self) -> Option<Index> {
        self.changes.last().map(|(index, _)| *index)
    }

    /// Records the membership change that an appended entry carries, if any.
    pub fn append(&mut self, entry: &Entry) {
        let Payload::Change(change) = &entry.payload else {
            return;
        };
        // The leader checks a change before appending it, so a change that does not apply here does
        // not apply at any other member either.
        if let Some(members) = self.current().with_change(change) {
            self.changes.push((entry.index, members));
        }
    }

    /// Removes the changes at and after `index`.
    pub fn truncate(&mut self, index: Index) {
        self.changes.retain(|(at, _)| *at < index);
    }

    /// Makes `index` the start of the history.
    pub fn compact(&mut self, index: Index) {
        self.base = self.at(index).clone();
        self.changes.retain(|(at, _)| *at > index);
    }
}

/// The health of a member, as observed by the leader.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{instance} for {} ms", silent.as_millis())]
pub struct MemberHealth {
    /// The member.
    pub id: MemberId,
    /// Its instance.
    pub instance: InstanceId,
    /// Whether it votes.
    pub voting: bool,
    /// Time since its last response.
    pub silent: Duration,
    /// Number of entries that it lacks.
    pub behind: u64,
}

/// The rules by which learners are promoted and failed members are removed.
///
/// The leader applies them, and so do the fault schedules of the tests. They are pure: all they know of
/// the members is what the leader has observed (`docs/replication.md`, "Replacement").
#[derive(Clone, Copy, Debug)]
pub struct ReplacementPolicy {
    /// Whether silent members are removed, as in a group whose instances come and go under new names.
    ///
    /// Where all voters are configured, a silent one is expected to return.
    pub removes_silent: bool,
    /// Minimum number of responsive voters without which no silent voter is removed.
    ///
    /// With fewer voters, an acknowledged entry would be stored on too few disks.
    pub min_responsive: usize,
    /// Time within which a responsive member has responded last.
    pub responsive_within: Duration,
    /// Time without a response after which a voter is removed if that lowers the majority.
    ///
    /// It is longer than the restart of a process, and shorter than the time that a new instance is given
    /// before the next one is replaced.
    pub surplus_after: Duration,
    /// Time without a response after which any member counts as failed.
    pub failed_after: Duration,
    /// Maximum number of entries that a learner may lack when it is promoted.
    pub max_learner_lag: u64,
}

impl Default for ReplacementPolicy {
    fn default() -> Self {
        Self {
            removes_silent: true,
            min_responsive: 3,
            responsive_within: Duration::from_millis(500),
            surplus_after: Duration::from_millis(1_500),
            failed_after: Duration::from_secs(10),
            max_learner_lag: 64,
        }
    }
}

impl ReplacementPolicy {
    /// Returns the next change towards a group of responsive voters.
    ///
    /// No change is proposed after which the responsive voters would not be a majority, nor one that
    /// reduces the number of voters that may fail.
    pub fn plan(&self, members: &[MemberHealth]) -> Option<MemberChange> {
        if let Some(lost) = self.find_lost(members) {
            return self.if_majority_responsive(MemberChange::Remove(lost), members);
        }
        let voters = members.iter().filter(|m| m.voting).count();
        let silent = self.find_silent_voter(members);
        let silent = silent.filter(|_| self.may_remove_voter(members));
        // With an even number of voters, one that is silent only raises the majority. Another voter beside it
        // would let silent ones add up while instances are replaced in turn.
        if let Some(silent) = silent.filter(|_| voters.is_multiple_of(2)) {
            let is_due = silent.silent >= self.surplus_after;
            let change = is_due.then_some(MemberChange::Remove(silent.id))?;
            return self.if_majority_responsive(change, members);
        }
        if let Some(learner) = members.iter().find(|m| self.is_ready(m)) {
            return self.if_majority_responsive(MemberChange::Promote(learner.id), members);
        }
        if let Some(failed) = silent.filter(|m| m.silent >= self.failed_after) {
            return self.if_majority_responsive(MemberChange::Remove(failed.id), members);
        }
        let is_stale = |m: &&MemberHealth| !m.voting && m.silent >= self.failed_after;
        let stale = members.iter().find(is_stale);
        let stale = stale.filter(|_| self.removes_silent);
        stale.map(|m| MemberChange::Remove(m.id))
    }

    /// Returns the member whose instance lost its data and came back as a learner that has caught up.
    ///
    /// It never returns. It is removed before the learner is promoted: if it remained a voter, a majority
    /// would need the promoted learner right away.
    fn find_lost(&self, members: &[MemberHealth]) -> Option<MemberId> {
        let has_returned = |lost: &&MemberHealth| {
            let is_successor = |m: &MemberHealth| m.id != lost.id && m.instance == lost.instance;
            members.iter().any(|m| self.is_ready(m) && is_successor(m))
        };
        members.iter().find(has_returned).map(|m| m.id)
    }

    /// Returns the voter that has been silent for the longest time, if any is silent.
    fn find_silent_voter<'a>(&self, members: &'a [MemberHealth]) -> Option<&'a MemberHealth> {
        let silent = members
            .iter()
            .filter(|m| m.voting && !self.is_responsive(m));
        silent.max_by_key(|m| m.silent)
    }

    fn may_remove_voter(&self, members: &[MemberHealth]) -> bool {
        let responsive = members.iter().filter(|m| m.voting && self.is_responsive(m));
        self.removes_silent && responsive.count() >= self.min_responsive
    }

    fn is_responsive(&self, member: &MemberHealth) -> bool {
        member.silent < self.responsive_within
    }

    fn is_ready(&self, member: &MemberHealth) -> bool {
        !member.voting && self.is_responsive(member) && member.behind <= self.max_learner_lag
    }

    /// Returns `change` if a majority of the voters after it is responsive.
    fn if_majority_responsive(
        &self,
        change: MemberChange,
        members: &[MemberHealth],
    ) -> Option<MemberChange> {
        let votes_after = |m: &&MemberHealth| match change {
            MemberChange::Promote(id) => m.voting || m.id == id,
            MemberChange::Remove(id) => m.voting && m.id != id,
            MemberChange::AddLearner { .. } => m.voting,
        };
        let voters = members.iter().filter(votes_after).count();
        let working = members
            .iter()
            .filter(votes_after)
            .filter(|m| self.is_responsive(m))
            .count();
        (working > voters / 2).then_some(change)
    }
}
