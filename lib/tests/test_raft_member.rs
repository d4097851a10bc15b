//! Tests of the group membership and the replacement policy.

use std::time::Duration;

use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::raft_member::MemberChange;
use fulmarford_lib::raft_member::MemberHealth;
use fulmarford_lib::raft_member::Membership;
use fulmarford_lib::raft_member::ReplacementPolicy;
use fulmarford_lib::raft_message::MemberId;
use googletest::prelude::*;
use proptest::prelude::*;

fn health(id: u64, instance: u64, voting: bool, silent: u64, behind: u64) -> MemberHealth {
    MemberHealth {
        id: MemberId(id),
        instance: InstanceId::from(format!("i{instance}")),
        voting,
        silent: Duration::from_millis(silent),
        behind,
    }
}

fn voter(id: u64, silent: u64) -> MemberHealth {
    health(id, id, true, silent, 0)
}

fn learner(id: u64, instance: u64) -> MemberHealth {
    health(id, instance, false, 50, 1)
}

fn promote(id: u64) -> MemberChange {
    MemberChange::Promote(MemberId(id))
}

fn remove(id: u64) -> MemberChange {
    MemberChange::Remove(MemberId(id))
}

/// Guards against removing a failed voter of a small group before its replacement votes, which would leave the
/// group with two voters in the meantime.
#[gtest]
fn plan_promotes_before_removing() {
    let policy = ReplacementPolicy::default();
    let mut members = vec![voter(1, 0), voter(2, 50), voter(3, 20_000), learner(4, 4)];
    expect_that!(policy.plan(&members), some(eq(&promote(4))));
    members[3].voting = true;
    expect_that!(policy.plan(&members), some(eq(&remove(3))));
    members.remove(2);
    expect_that!(policy.plan(&members), none());
}

/// Guards against the removal of a voter that is only slow, and against a replacement by a learner that has not
/// caught up.
#[gtest]
fn plan_waits_for_failure_and_catch_up() {
    let policy = ReplacementPolicy::default();
    let voters = [voter(1, 0), voter(2, 50)];
    let plan = |others: &[MemberHealth]| policy.plan(&[&voters[..], others].concat());
    let lagging = health(5, 5, false, 50, 5000);
    expect_that!(plan(&[voter(3, 20_000), lagging.clone()]), none());
    expect_that!(plan(&[voter(3, 0), lagging]), none());
    // Neither an odd nor an even group removes a voter that restarts.
    expect_that!(plan(&[voter(3, 50), voter(4, 1_400)]), none());
    expect_that!(plan(&[voter(3, 50), voter(4, 50), voter(5, 9_000)]), none());
    let silent_learner = health(5, 5, false, 9_000, 0);
    expect_that!(plan(&[voter(3, 50), silent_learner]), none());
}

/// Guards against voters that add up while instances are replaced in turn: no voter is added to an even group
/// beside a silent one, which is removed first.
#[gtest]
fn plan_replaces_silent_voter_of_even_group() {
    let policy = ReplacementPolicy::default();
    let group = |silent| {
        let voters = [voter(1, 0), voter(2, 50), voter(3, 50), voter(4, 50)];
        let others = [voter(5, 50), voter(6, silent), learner(7, 7)];
        [&voters[..], &others[..]].concat()
    };
    expect_that!(policy.plan(&group(1_400)), none());
    expect_that!(policy.plan(&group(1_500)), some(eq(&remove(6))));
    expect_that!(policy.plan(&group(50)), some(eq(&promote(7))));
    // The one that was silent first goes first.
    let mut two = group(1_600);
    two[4] = voter(5, 5_000);
    expect_that!(policy.plan(&two), some(eq(&remove(5))));
}

/// Guards against a group that removes configured voters, which return under their names, or that waits for the
/// removal before it lets another one vote.
#[gtest]
fn plan_keeps_configured_voters() {
    let policy = ReplacementPolicy {
        removes_silent: false,
        ..ReplacementPolicy::default()
    };
    let voters = [voter(1, 0), voter(2, 50), voter(3, 50), voter(4, 20_000)];
    expect_that!(policy.plan(&voters), none());
    let with = |member| policy.plan(&[&voters[..], &[member]].concat());
    expect_that!(with(learner(5, 5)), some(eq(&promote(5))));
    expect_that!(with(health(5, 5, false, 20_000, 0)), none());
}

/// Guards against an instance that lost its disk and does not vote again, or votes beside its former self.
#[gtest]
fn plan_replaces_lost_disk() {
    let policy = ReplacementPolicy::default();
    let voters = [voter(1, 0), voter(2, 50)];
    let plan = |others: &[MemberHealth]| policy.plan(&[&voters[..], others].concat());
    let lost = [voter(3, 3_000), learner(9, 8), learner(4, 3)];
    expect_that!(plan(&lost), some(eq(&remove(3))));
    expect_that!(plan(&lost[1..]), some(eq(&promote(9))));
}

/// Guards against voters that failed for good but still count towards the majority, and against
/// removals that shrink the group below three responsive voters.
#[gtest]
fn plan_removal_needs_enough_voters() {
    let policy = ReplacementPolicy::default();
    let working = [voter(1, 0), voter(2, 50), voter(3, 50)];
    let with = |others: &[MemberHealth]| policy.plan(&[&working[..], others].concat());
    expect_that!(with(&[voter(4, 20_000)]), some(eq(&remove(4))));
    let two = [voter(4, 21_000), voter(5, 20_000)];
    expect_that!(with(&two), some(eq(&remove(4))));
    let slow = [voter(4, 3_000), voter(5, 50)];
    expect_that!(with(&slow), none());
    expect_that!(with(&[]), none());
    let few = [voter(1, 0), voter(2, 50), voter(3, 20_000)];
    expect_that!(policy.plan(&few), none());
    let few = [
        voter(1, 0),
        voter(2, 50),
        voter(3, 20_000),
        voter(4, 20_000),
    ];
    expect_that!(policy.plan(&few), none());
}

/// Guards against learners that ended before they were promoted, to which each leader goes on sending.
#[gtest]
fn plan_removes_failed_learner() {
    let policy = ReplacementPolicy::default();
    let members = [voter(1, 0), voter(2, 50), health(3, 3, false, 10_000, 0)];
    expect_that!(policy.plan(&members), some(eq(&remove(3))));
}

/// Generates the time since a member's last response in milliseconds: most members respond, a few
/// are slow or have failed.
fn silence() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0..700_u64, 1 => 900..9000_u64, 3 => 10_000..20_000_u64]
}

proptest! {
    /// Guards against a change after which the responsive voters are not a majority, or fewer of them may fail
    /// than before.
    #[test]
    fn plan_keeps_majority(members in prop::collection::vec((prop::bool::weighted(0.7), silence(), 0..100_u64), 3..8)) {
        let policy = ReplacementPolicy::default();
        let number = |(i, (voting, silent, behind)): (usize, (bool, u64, u64))| {
            health(i as u64, i as u64, voting, silent, behind)
        };
        let members: Vec<_> = members.into_iter().enumerate().map(number).collect();
        let change = policy.plan(&members);
        let changes_voters = match &change {
            Some(MemberChange::Remove(id)) => members.iter().any(|m| m.id == *id && m.voting),
            other => other.is_some(),
        };
        prop_assume!(changes_voters);
        let votes = |m: &&MemberHealth| match &change {
            Some(MemberChange::Remove(id)) => m.voting && m.id != *id,
            Some(MemberChange::Promote(id)) => m.voting || m.id == *id,
            _ => m.voting,
        };
        let margin = |voters: Vec<&MemberHealth>| {
            let working = voters.iter().filter(|m| m.silent < policy.responsive_within);
            working.count() as i64 - (voters.len() / 2 + 1) as i64
        };
        let after = margin(members.iter().filter(votes).collect());
        prop_assert!(after >= 0);
        prop_assert!(after >= margin(members.iter().filter(|m| m.voting).collect()));
    }
}

/// Guards against accepting the removal of the last voter, and promotions of a voter or an unknown
/// member.
#[gtest]
fn with_change_rejects_invalid() {
    let id = MemberId(1);
    let members = Membership::from_voters([(id, InstanceId::from("i"), String::new())]);
    expect_that!(members.with_change(&MemberChange::Remove(id)), none());
    expect_that!(members.with_change(&MemberChange::Promote(id)), none());
    expect_that!(
        members.with_change(&MemberChange::Promote(MemberId(2))),
        none()
    );
}
