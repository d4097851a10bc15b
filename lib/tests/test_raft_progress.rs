//! Tests of one leader whose followers are played by the test.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::raft::Config;
use fulmarford_lib::raft::ProposeError;
use fulmarford_lib::raft::Raft;
use fulmarford_lib::raft::Role;
use fulmarford_lib::raft_member::MemberChange;
use fulmarford_lib::raft_member::Membership;
use fulmarford_lib::raft_message::AppendReply;
use fulmarford_lib::raft_message::AppendResult;
use fulmarford_lib::raft_message::Body;
use fulmarford_lib::raft_message::Index;
use fulmarford_lib::raft_message::MemberId;
use fulmarford_lib::raft_message::Message;
use fulmarford_lib::raft_message::Term;
use fulmarford_lib::storage;
use fulmarford_lib::storage::DurableState;
use googletest::prelude::*;

const OWN: MemberId = MemberId(1);
const PEER: MemberId = MemberId(2);
const SILENT: MemberId = MemberId(3);

/// Returns a leader of three voters in term 2, and the time of its election.
fn elected() -> (Raft, Instant) {
    let start = Instant::now();
    let voter = |id| (id, InstanceId::from("i"), String::new());
    let members = Membership::of_voters([OWN, PEER, SILENT].map(voter));
    let mut durable = DurableState::default();
    let writes = storage::bootstrap(OWN, members, Vec::new());
    writes.iter().for_each(|write| durable.apply(write));
    let config = Config {
        uncommitted: 3,
        ..Config::default()
    };
    let mut raft = Raft::new(OWN, config, durable, 1, start);
    let now = raft.wake_at();
    raft.tick(now);
    answer(&mut raft, now, Body::PreVoteReply { granted: true });
    answer(&mut raft, now, Body::VoteReply { granted: true });
    raft.ready();
    (raft, now)
}

fn answer(raft: &mut Raft, now: Instant, body: Body) {
    let term = Term(2);
    raft.step(now, PEER, Message { term, body });
    raft.ready();
}

fn matched(raft: &mut Raft, now: Instant, round: u64, index: u64) {
    let result = AppendResult::Matched(Index(index));
    answer(raft, now, Body::AppendReply(AppendReply { round, result }));
}

/// Guards against each change after which two majorities need not have a member in common.
#[gtest]
fn change_refused() {
    let (mut raft, now) = elected();
    let learner = MemberId(4);
    let add = MemberChange::AddLearner {
        id: learner,
        instance: InstanceId::from("n"),
        address: String::new(),
    };
    let early = raft.change(now, add.clone());
    expect_that!(early, err(eq(ProposeError::NotEstablished)));
    matched(&mut raft, now, 1, 2);
    let mut refused = |change, error| expect_that!(raft.change(now, change), err(eq(error)));
    refused(MemberChange::Remove(OWN), ProposeError::IsLeader);
    refused(MemberChange::Promote(PEER), ProposeError::Invalid);
    refused(MemberChange::Remove(PEER), ProposeError::NoMajority);
    expect_that!(raft.change(now, add), ok(eq(Index(3))));
    let pending = raft.change(now, MemberChange::Remove(SILENT));
    expect_that!(pending, err(eq(ProposeError::Pending)));
    matched(&mut raft, now, 1, 3);
    let promoted = raft.change(now, MemberChange::Promote(learner));
    expect_that!(promoted, err(eq(ProposeError::NotCaughtUp)));
    expect_that!(
        raft.change(now, MemberChange::Remove(SILENT)),
        ok(anything())
    );
}

/// Guards against an age that starts at the answer, and against a leader without a majority.
#[gtest]
fn quorum_age_from_round_start() {
    let (mut raft, now) = elected();
    let later = now + Duration::from_millis(50);
    expect_that!(raft.quorum_age(later), none());
    matched(&mut raft, later, 1, 2);
    let age = Duration::from_millis(50);
    expect_that!(raft.quorum_age(later), some(eq(age)));
    let window = Config::default().quorum_window;
    raft.tick(now + window - Duration::from_millis(1));
    expect_that!(raft.role(), eq(Role::Leader));
    raft.tick(now + window);
    expect_that!(raft.role(), eq(Role::Follower));
}

/// Guards against a log that grows without bound while no majority answers.
#[gtest]
fn propose_overloaded() {
    let (mut raft, now) = elected();
    expect_that!(raft.propose(now, vec![1]), ok(anything()));
    expect_that!(raft.propose(now, vec![2]), ok(anything()));
    let third = raft.propose(now, vec![3]);
    expect_that!(third, err(eq(ProposeError::Overloaded)));
}
