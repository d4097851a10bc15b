//! Durable state of a Raft member, and the interface of its storage.
//!
//! [`crate::file_storage`] stores it in files, [`crate::simple_storage`] in memory.

use std::io;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;

use crate::raft_member::Membership;
use crate::raft_message::Entry;
use crate::raft_message::HardState;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Snapshot;
use crate::raft_message::Term;

/// State of a member that survives a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Member id of the data folder; `None` if the folder is new.
    pub id: Option<MemberId>,
    /// Current term and vote.
    pub hard: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Contiguous log entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Applies a write, with the same result as writing it to a store and loading the store.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Identity(id) => self.id = Some(*id),
            Write::Hard(hard) => self.hard = *hard,
            Write::Entries(entries) => {
                for entry in entries {
                    self.append_entry(entry);
                }
            }
            Write::Compact(snapshot) => {
                self.entries.retain(|e| e.index > snapshot.index);
                self.snapshot = Some(Arc::clone(snapshot));
            }
            Write::Install(snapshot) => {
                self.entries.clear();
                self.snapshot = Some(Arc::clone(snapshot));
            }
        }
    }

    fn append_entry(&mut self, entry: &Entry) {
        while self.entries.last().is_some_and(|e| e.index >= entry.index) {
            self.entries.pop();
        }
        self.entries.push(entry.clone());
    }
}

/// A change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Assigns a member id to the data folder; written once, before all other writes.
    Identity(MemberId),
    /// Replaces the term and the vote.
    Hard(HardState),
    /// Appends entries, after removing existing ones from the index of the first on.
    Entries(Vec<Entry>),
    /// Replaces the entries up to the snapshot's index by the snapshot and keeps later entries.
    Compact(Arc<Snapshot>),
    /// Replaces the whole log by a snapshot that was received from the leader.
    Install(Arc<Snapshot>),
}

impl Write {
    /// Returns the number of log entries in the write.
    pub fn entry_count(&self) -> usize {
        match self {
            Self::Entries(entries) => entries.len(),
            Self::Identity(_) | Self::Hard(_) | Self::Compact(_) | Self::Install(_) => 0,
        }
    }

    /// Returns the index up to which the log is durable after the write, if it concerns the log.
    pub fn last_index(&self) -> Option<Index> {
        match self {
            Self::Entries(entries) => entries.last().map(|entry| entry.index),
            Self::Compact(snapshot) | Self::Install(snapshot) => Some(snapshot.index),
            Self::Identity(_) | Self::Hard(_) => None,
        }
    }

    /// Returns an estimate of the encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Entries(entries) => entries.iter().map(Entry::size).sum(),
            Self::Compact(snapshot) | Self::Install(snapshot) => snapshot.data.len(),
            Self::Identity(_) | Self::Hard(_) => size_of::<Self>(),
        }
    }
}

/// Returns the writes that initialize the data folder of an initial voter.
///
/// All initial voters must write the same membership and state. The group starts with a snapshot
/// instead of an empty log, so that a later learner cannot receive the log without the initial
/// membership.
pub fn bootstrap(id: MemberId, members: Membership, state: Vec<u8>) -> Vec<Write> {
    let term = Term(1);
    let hard = HardState { term, vote: None };
    let snapshot = Snapshot {
        index: Index(1),
        term,
        members,
        data: state,
    };
    vec![
        Write::Identity(id),
        Write::Hard(hard),
        Write::Install(Arc::new(snapshot)),
    ]
}

/// An error that makes a store unusable until it is opened again.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// Another process uses the data folder.
    #[display("the data folder is in use by another process")]
    Locked,
    /// The disk has no space left.
    #[display("the disk of the data folder is full")]
    Full,
    /// An operation on a file failed.
    #[display("{action} {file} failed: {source}")]
    Io {
        /// The operation that failed.
        action: &'static str,
        /// Name of the file in the data folder.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// Data that had been synced is unreadable.
    #[display(
        "{file} is corrupt at byte {offset}: {reason}; the member must rejoin as a learner with an empty data folder"
    )]
    Corrupt {
        /// Name of the file in the data folder.
        file: String,
        /// Offset of the first unreadable record.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// An earlier write failed, so the durable state is unknown until the folder is opened again.
    #[display("an earlier write failed; the store accepts no writes until it is opened again")]
    Stopped,
}

impl StorageError {
    /// Returns whether the store may be usable again later, without a repair.
    ///
    /// After any other failed operation, such as a sync that reports an error, the disk itself is in doubt.
    pub fn is_temporary(&self) -> bool {
        matches!(self, Self::Full)
    }
}

/// Durable storage of one member.
pub trait LogStore {
    /// Loads the durable state.
    fn load(&mut self) -> Result<DurableState, StorageError>;

    /// Performs writes in order. They are synced to the disk when this returns.
    ///
    /// After an error, all further writes fail. The caller must then drop the member without sending
    /// the messages that depend on the write. A call may take seconds on a slow disk.
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError>;
}
