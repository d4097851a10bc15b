//! Tests of the part of the log that is held in memory.

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
    for (i, term) in terms.iter().enumerate() {
        log.append(entry(i as u64 + 1, *term));
    }
    log
}

/// Guards against searching for the last matching entry one entry at a time.
#[gtest]
fn find_conflict_by_term_skips_terms() {
    let terms = [vec![1; 3], vec![3; 500], vec![4; 500]].concat();
    let log = log(&terms);
    expect_that!(
        log.find_conflict_by_term(Index(1003), Term(3)),
        eq(Index(503))
    );
    expect_that!(
        log.find_conflict_by_term(Index(1003), Term(2)),
        eq(Index(3))
    );
    expect_that!(
        log.find_conflict_by_term(Index(9999), Term(9)),
        eq(Index(1003))
    );
}

/// Guards against a probe that repeats at the base of the log without end: the result must be below
/// it, so that a snapshot is sent.
#[gtest]
fn find_conflict_by_term_before_base() {
    let mut log = log(&[3, 3, 3, 3]);
    log.compact(Index(3), Vec::new(), 1);
    expect_that!(log.base(), eq(Index(2)));
    expect_that!(log.find_conflict_by_term(Index(4), Term(2)), lt(Index(2)));
}

/// Guards against a delayed message that removes the entries after its own.
#[gtest]
fn merge_keeps_later_entries() {
    let mut log = log(&[1, 1, 1]);
    log.merge(vec![entry(1, 1), entry(2, 1)]);
    expect_that!(log.last(), eq(Index(3)));
    log.merge(vec![entry(2, 2)]);
    expect_that!(log.last(), eq(Index(2)));
    expect_that!(log.take_unwritten(), len(eq(2)));
}

/// Guards against messages of unlimited size, and against an entry above the limit that is never
/// sent.
#[gtest]
fn slice_bounds_bytes() {
    let log = log(&[1; 50]);
    expect_that!(log.slice(Index(1), Index(50), 1), len(eq(1)));
    expect_that!(log.slice(Index(1), Index(50), 1000), len(eq(7)));
    expect_that!(log.slice(Index(51), Index(50), 1000), len(eq(0)));
}
