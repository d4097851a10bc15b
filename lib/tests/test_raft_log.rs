//! Tests of the log in memory.

use fulmarford_lib::raft_log::RaftLog;
use fulmarford_lib::raft_message::Entry;
use fulmarford_lib::raft_message::Index;
use fulmarford_lib::raft_message::Payload;
use fulmarford_lib::raft_message::Term;
use fulmarford_lib::storage::DurableState;
use googletest::prelude::*;

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term: Term(term),
        index: Index(index),
        payload: Payload::Data(vec![0; 100].into()),
    }
}

fn log(terms: &[u64]) -> RaftLog {
    let mut log = RaftLog::new(DurableState::default());
    for (place, term) in terms.iter().enumerate() {
        log.append(entry(place as u64 + 1, *term));
    }
    log
}

/// Guards against finding the point of agreement one entry at a time.
#[gtest]
fn candidate_skips_terms() {
    let terms = [vec![1; 3], vec![3; 500], vec![4; 500]].concat();
    let log = log(&terms);
    expect_that!(log.candidate(Index(1003), Term(3)), eq(Index(503)));
    expect_that!(log.candidate(Index(1003), Term(2)), eq(Index(3)));
    expect_that!(log.candidate(Index(9999), Term(9)), eq(Index(1003)));
}

/// Guards against a probe that repeats at the compaction point: the result must be before it.
#[gtest]
fn candidate_before_base() {
    let mut log = log(&[3, 3, 3, 3]);
    log.compact(Index(3), Vec::new(), 1);
    expect_that!(log.base(), eq(Index(2)));
    expect_that!(log.candidate(Index(4), Term(2)), lt(Index(2)));
}

/// Guards against a late message that removes the entries after it.
#[gtest]
fn merge_keeps_later_entries() {
    let mut log = log(&[1, 1, 1]);
    log.merge(vec![entry(1, 1), entry(2, 1)]);
    expect_that!(log.last(), eq(Index(3)));
    log.merge(vec![entry(2, 2)]);
    expect_that!(log.last(), eq(Index(2)));
    expect_that!(log.take_unwritten(), len(eq(2)));
}

/// Guards against messages without a bound, and against none at all for a large entry.
#[gtest]
fn slice_bounds_bytes() {
    let log = log(&[1; 50]);
    expect_that!(log.slice(Index(1), Index(50), 1), len(eq(1)));
    expect_that!(log.slice(Index(1), Index(50), 1000), len(eq(7)));
    expect_that!(log.slice(Index(51), Index(50), 1000), len(eq(0)));
}
