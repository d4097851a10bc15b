//! What a member keeps through a crash, and the interface to keep it.
//!
//! The file version is [`crate::file_storage`], the in-memory version [`crate::simple_storage`].

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

/// Everything that was written before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Identity of the data folder; none when it was never used.
    pub id: Option<MemberId>,
    /// Term and vote.
    pub hard: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Applies a write, as a store does.
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

/// One step that must be durable before the messages of the same [`crate::raft::Ready`] are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Binds the data folder to a member id; written once, before everything else.
    Identity(MemberId),
    /// Replaces term and vote.
    Hard(HardState),
    /// Appends entries and removes those at and after the first of them.
    Entries(Vec<Entry>),
    /// Replaces the entries up to the snapshot's index and keeps later ones.
    Compact(Arc<Snapshot>),
    /// Replaces the whole log.
    Install(Arc<Snapshot>),
}

/// Returns the writes that make a new data folder an initial voter.
///
/// Every initial voter must write the same membership and state. The group starts with a snapshot
/// instead of an empty log, so that a later learner cannot receive the log without the first
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

/// Why a store cannot be used.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// Another process uses the data folder.
    #[display("the data folder is in use by another process")]
    Locked,
    /// The disk has no space left.
    #[display("the disk of the data folder is full")]
    Full,
    /// Reading, writing or syncing failed.
    #[display("{action} {file} failed: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// Name of the file in the data folder.
        file: String,
        /// The reason.
        source: io::Error,
    },
    /// Data that had been synced cannot be read back.
    #[display(
        "{file} is corrupt at byte {offset}: {reason}; the member must rejoin as a learner with an empty data folder"
    )]
    Corrupt {
        /// Name of the file in the data folder.
        file: String,
        /// Offset of the first unreadable record.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// An earlier write failed, so what is durable is unknown until the folder is opened again.
    #[display("an earlier write failed; the store accepts no writes until it is opened again")]
    Stopped,
}

/// Durable storage of one member.
pub trait LogStore {
    /// Reads everything that was written before.
    fn load(&mut self) -> Result<DurableState, StorageError>;

    /// Makes writes durable, in order; they are synced when this returns.
    ///
    /// After an error every further write fails. The caller then drops the member without sending
    /// the messages that depended on the write.
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError>;
}
