//! Terms, indexes, log entries and the messages between members.
//!
//! All types of this module that are sent or stored are encoded with postcard, with the same bytes
//! on the wire and on disk. The protocol is explained in `docs/replication.md`.

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
    /// Random id of a member, which is bound to its data folder when the folder is first used.
    ///
    /// A member that lost its data gets another id, so that it cannot vote twice in one term.
    MemberId
);
u64_newtype!(
    /// Number of an election; a term has at most one leader.
    Term
);
u64_newtype!(
    /// Index of a log entry, starting at 1.
    Index
);

impl Term {
    /// Returns the term that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// Returns the index that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before, or zero, which is before the first entry.
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader appends such an entry, because only entries of its own term are
    /// committed by counting the members that hold them.
    Noop,
    /// An encoded command of the state machine.
    Data(Arc<[u8]>),
    /// A membership change, which takes effect when it is appended.
    Change(MemberChange),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its position in the log.
    pub index: Index,
    /// Its content.
    pub payload: Payload,
}

impl Entry {
    /// Returns an estimate of the encoded size in bytes, which is used to limit messages.
    pub fn size(&self) -> usize {
        // Term, index, payload tag and lengths take at most 32 bytes. A membership change also
        // holds an instance name and an address, which are short.
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

/// The state besides the log that a member must keep through a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that the member has seen.
    pub term: Term,
    /// Candidate that the member voted for in that term.
    pub vote: Option<MemberId>,
}

/// A message with its term: the sender's, or in pre-vote requests and granted pre-votes the term of
/// the election in question.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The term.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted.
    PreVote(VoteRequest),
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote(VoteRequest),
    /// Answers [`Body::Vote`].
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
    /// Asks the receiver to start an election at once, because the sender has stepped down.
    TimeoutNow,
}

/// A request for a vote or a pre-vote, which states how up to date the candidate's log is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Index of the last entry.
    pub last: Index,
    /// Term of the last entry.
    pub last_term: Term,
    /// Whether the former leader requested this election, so that voters grant a vote although they
    /// heard from it within the check-quorum window.
    pub transfer: bool,
}

/// Entries to append after `prev`, up to which both logs must match.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Append {
    /// Index before the first entry.
    pub prev: Index,
    /// Term of the entry at `prev`.
    pub prev_term: Term,
    /// The entries; none in a heartbeat.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// Heartbeat round in which the message was created.
    pub round: u64,
}

/// A follower's response to [`Append`], or to the last [`Chunk`] of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendReply {
    /// Heartbeat round of the message that is answered.
    pub round: u64,
    /// Whether the logs matched.
    pub result: AppendResult,
}

/// The result of the consistency check between the logs of leader and follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendResult {
    /// The logs match up to this index, up to which the follower's log is durable.
    Matched(Index),
    /// The logs do not match at `prev`.
    Conflict {
        /// Index at which the entries differ or the follower has none.
        prev: Index,
        /// Highest index at which the logs may match.
        hint: Index,
        /// Term of the follower's entry at `hint`.
        hint_term: Term,
    },
}

/// A chunk of a snapshot.
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
    /// Offset of this chunk, in bytes.
    pub offset: u64,
    /// Bytes of the chunk; none when the message is only a heartbeat.
    pub data: Vec<u8>,
    /// Heartbeat round in which the message was created.
    pub round: u64,
}

/// The progress of a snapshot transfer, as reported by the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkReply {
    /// Last entry that the snapshot includes.
    pub index: Index,
    /// Offset of the next chunk, in bytes.
    pub offset: u64,
    /// Heartbeat round of the message that is answered.
    pub round: u64,
}

/// A message and the member to which it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// The receiving member.
    pub to: MemberId,
    /// The message.
    pub message: Message,
}
