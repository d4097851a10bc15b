//! Terms, indexes, log entries and the messages between members.
//!
//! Every type here is encoded with postcard, with the same bytes on the wire and on disk. The
//! protocol is explained in `docs/replication.md`.

use std::sync::Arc;

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::raft_member::MemberChange;
use crate::raft_member::Membership;

macro_rules! u64_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Display,
            From,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

u64_newtype!(
    /// Names one life of one data folder; it is drawn at random when the folder is first used.
    ///
    /// A member that lost its data gets another id, so that it cannot vote twice in one term.
    MemberId
);
u64_newtype!(
    /// Number of an election; a term has at most one leader.
    Term
);
u64_newtype!(
    /// Position in the log, counted from 1.
    Index
);

impl Term {
    /// Returns the term that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// Returns the position that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the position before, or zero, which is before the first entry.
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader appends one, because only entries of its own term are committed by
    /// counting members.
    Noop,
    /// A command of the state machine.
    Data(Arc<[u8]>),
    /// A change of the membership, in effect from the moment it is appended.
    Change(MemberChange),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Returns an estimate of the encoded size in bytes, for bounding messages.
    pub fn size(&self) -> usize {
        // Term, index, payload tag and lengths take at most 32 bytes; a member change holds two
        // short names.
        const OVERHEAD: usize = 32;
        match &self.payload {
            Payload::Noop => OVERHEAD,
            Payload::Data(data) => OVERHEAD + data.len(),
            Payload::Change(_) => 4 * OVERHEAD,
        }
    }
}

/// State of the state machine and the membership after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that is included.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership after that entry.
    pub members: Membership,
    /// Encoded state machine.
    pub data: Vec<u8>,
}

/// What a member must not forget besides its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that the member has seen.
    pub term: Term,
    /// Candidate that the member voted for in that term.
    pub vote: Option<MemberId>,
}

/// A message with the sender's term; a vote request carries the term that is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The term.
    pub term: Term,
    /// What is said.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted.
    PreVote(VoteRequest),
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a vote request.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append(Append),
    /// Answers [`Body::Append`] or the last chunk of a snapshot.
    AppendReply(AppendReply),
    /// Transfers one chunk of a snapshot.
    Chunk(Chunk),
    /// Answers [`Body::Chunk`].
    ChunkReply(ChunkReply),
    /// Asks the receiver to start an election at once; the sender has stopped leading.
    TimeoutNow,
}

/// How new a candidate's log is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Last entry.
    pub last: Index,
    /// Term of the last entry.
    pub last_term: Term,
    /// Whether the former leader asked for this election, so that voters need not wait until they
    /// have missed its heartbeats.
    pub transfer: bool,
}

/// Entries that follow a position on which both sides must agree.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Append {
    /// Position before the first entry.
    pub prev: Index,
    /// Term of the entry at that position.
    pub prev_term: Term,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// Heartbeat round in which the message was made.
    pub round: u64,
}

/// Answer of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendReply {
    /// Heartbeat round of the message that is answered.
    pub round: u64,
    /// The result.
    pub result: AppendResult,
}

/// Whether the logs agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendResult {
    /// The logs agree and are durable up to this position.
    Matched(Index),
    /// The logs do not agree at `prev`.
    Conflict {
        /// Position that was refused.
        prev: Index,
        /// Newest position at which the logs may agree.
        hint: Index,
        /// The follower's term at that position.
        hint_term: Term,
    },
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chunk {
    /// Last entry that the snapshot includes.
    pub index: Index,
    /// Term of that entry.
    pub index_term: Term,
    /// Membership after that entry.
    pub members: Membership,
    /// Length of the whole snapshot in bytes.
    pub total: u64,
    /// Offset of this part.
    pub offset: u64,
    /// The bytes; none when the message is only a heartbeat.
    pub data: Vec<u8>,
    /// Heartbeat round in which the message was made.
    pub round: u64,
}

/// How much of a snapshot was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkReply {
    /// Last entry that the snapshot includes.
    pub index: Index,
    /// Offset of the next part.
    pub offset: u64,
    /// Heartbeat round of the message that is answered.
    pub round: u64,
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// The receiver.
    pub to: MemberId,
    /// The message.
    pub message: Message,
}
