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

/// Guards against removing a failed voter before its replacement votes, which would leave the group
/// with two voters in the meantime.
#[gtest]
fn plan_promotes_before_removing() {
    let policy = ReplacementPolicy::default();
    let mut members = vec![
        health(1, 1, true, 0, 0),
        health(2, 2, true, 50, 0),
        health(3, 3, true, 20_000, 900),
        health(4, 4, false, 50, 1),
    ];
    let promote = MemberChange::Promote(MemberId(4));
    expect_that!(policy.plan(&members), some(eq(&promote)));
    members[3].voting = true;
    let remove = MemberChange::Remove(MemberId(3));
    expect_that!(policy.plan(&members), some(eq(&remove)));
    members.remove(2);
    expect_that!(policy.plan(&members), none());
}

/// Guards against the replacement of a voter that is only slow, and against a replacement by a
/// learner that has not caught up.
#[gtest]
fn plan_waits_for_failure_and_catch_up() {
    let policy = ReplacementPolicy::default();
    let voters = [health(1, 1, true, 0, 0), health(2, 2, true, 50, 0)];
    let plan = |third, learner| policy.plan(&[&voters[..], &[third, learner]].concat());
    let slow = health(3, 3, true, 3000, 0);
    let failed = health(3, 3, true, 20_000, 0);
    let ready = health(4, 4, false, 50, 0);
    let lagging = health(4, 4, false, 50, 5000);
    expect_that!(plan(slow.clone(), ready), none());
    expect_that!(plan(failed, lagging), none());
    // The instance of the slow voter came back with an empty data folder.
    let successor = health(4, 3, false, 50, 0);
    let promote = MemberChange::Promote(MemberId(4));
    expect_that!(plan(slow, successor), some(eq(&promote)));
}

/// Guards against voters that failed for good but still count towards the majority, and against
/// removals that shrink the group below the target number of voters.
#[gtest]
fn plan_removal_needs_enough_voters() {
    let policy = ReplacementPolicy::default();
    let voter = |id, silent| health(id, id, true, silent, 0);
    let working = [voter(1, 0), voter(2, 50), voter(3, 50)];
    let with = |others: &[MemberHealth]| policy.plan_removal(&[&working[..], others].concat());
    let remove = MemberChange::Remove(MemberId(4));
    expect_that!(with(&[voter(4, 20_000)]), some(eq(&remove)));
    expect_that!(
        with(&[voter(4, 20_000), voter(5, 20_000)]),
        some(eq(&remove))
    );
    expect_that!(with(&[voter(4, 3_000)]), none());
    expect_that!(with(&[]), none());
    let few = [voter(1, 0), voter(2, 50), voter(3, 20_000)];
    expect_that!(policy.plan_removal(&few), none());
}

/// Generates the time since a member's last response in milliseconds: most members respond, a few
/// are slow or have failed.
fn silence() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0..700_u64, 1 => 900..9000_u64, 3 => 10_000..20_000_u64]
}

proptest! {
    /// Guards against a change after which the responsive voters are not a majority.
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
        let voters = members.iter().filter(votes);
        let working = voters.clone().filter(|m| m.silent < policy.responsive_within).count();
        prop_assert!(working > voters.count() / 2);
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
