//! A member of the replication group: the Raft core with its storage and state machine.
//!
//! Writes are performed on a thread of their own, so no call waits for the disk once the member runs.
//! It performs no network I/O: messages to send are returned, and replies go through one-shot
//! channels. After a storage error the caller drops it, and the instance continues as a non-voter.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crossbeam::channel::Receiver;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use tokio::sync::oneshot;

use crate::command::Command;
use crate::command::Reply;
use crate::command::StampedCommand;
use crate::command::Timestamp;
use crate::control::SubmitError;
use crate::dissemination::Publisher;
use crate::lease::LeaseGate;
use crate::log_writer::FinishedWrite;
use crate::log_writer::LogWriter;
use crate::log_writer::Store;
use crate::raft::Config;
use crate::raft::ProposeError;
use crate::raft::Raft;
use crate::raft::Ready;
use crate::raft::Role;
use crate::raft_member::MemberChange;
use crate::raft_member::Membership;
use crate::raft_member::ReplacementPolicy;
use crate::raft_message::Entry;
use crate::raft_message::HardState;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Message;
use crate::raft_message::Outgoing;
use crate::raft_message::Payload;
use crate::raft_message::Snapshot;
use crate::raft_message::Term;
use crate::state::RestoreError;
use crate::state::State;
use crate::storage::StorageError;
use crate::storage::Write;
use crate::storage::bootstrap;
use crate::warning_limit::WarningLimit;

/// Number of applied entries after which the log is compacted.
pub const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Size in bytes of the applied entries after which the log is compacted.
pub const SNAPSHOT_BYTES: usize = 8 << 20;

/// Time from which a write counts as slow: one heartbeat interval.
pub const SLOW_WRITE: Duration = Duration::from_millis(100);

/// Time from which a write that has not ended yet is logged.
pub const STALLED_WRITE: Duration = Duration::from_secs(1);

/// The reason why a member cannot use its storage or state.
#[derive(Debug, Display, Error, From)]
pub enum VoterError {
    /// The storage failed.
    #[display("{_0}")]
    Storage(StorageError),
    /// A snapshot could not be restored.
    #[display("{_0}")]
    Restore(RestoreError),
}

/// A proposed command that is not applied yet.
struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<Result<Reply, SubmitError>>,
}

/// The state that only an established leader has.
struct Leadership {
    term: Term,
    gate: LeaseGate,
    publisher: Publisher,
}

/// A member of the replication group.
pub struct Voter {
    raft: Raft,
    writer: LogWriter,
    state: State,
    leadership: Option<Leadership>,
    pending: BTreeMap<u64, PendingProposal>,
    applied: Index,
    snapshot_index: Index,
    bytes_since_snapshot: usize,
    slow_writes: WarningLimit,
}

/// An open data folder.
pub struct DataFolder {
    /// Id of the member to which it belongs.
    pub id: MemberId,
    /// Whether the member belongs to a group.
    pub grouped: bool,
    store: Store,
}

impl DataFolder {
    /// Opens the folder; an unused one is bound to `new_id` before anything else is written.
    ///
    /// After an error, the store is returned with it.
    pub(crate) fn open(mut store: Store, new_id: MemberId) -> Result<Self, (Store, StorageError)> {
        match load(&mut store, new_id) {
            Ok((id, grouped, _)) => Ok(Self { id, grouped, store }),
            Err(error) => Err((store, error)),
        }
    }

    /// Opens the folder again after a failed write, if it can be written now.
    pub(crate) fn reopen(
        mut store: Store,
        new_id: MemberId,
    ) -> Result<Self, (Store, StorageError)> {
        let loaded = load(&mut store, new_id).and_then(|(id, grouped, hard)| {
            // The term and the vote stay as they are; the write shows that there is room.
            store.write(&[Write::Hard(hard)])?;
            Ok((id, grouped))
        });
        match loaded {
            Ok((id, grouped)) => Ok(Self { id, grouped, store }),
            Err(error) => Err((store, error)),
        }
    }

    /// Makes the data folder an initial voter of a new group.
    pub fn bootstrap(&mut self, members: Membership) -> Result<(), StorageError> {
        let state = State::default().snapshot();
        self.store.write(&bootstrap(self.id, members, state))?;
        self.grouped = true;
        Ok(())
    }

    /// Starts the member that the folder belongs to.
    ///
    /// `wake` is called, on another thread, when [`Voter::advance`] has to be called because a write
    /// has ended.
    pub fn start(
        mut self,
        config: Config,
        seed: u64,
        now: Instant,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Voter, VoterError> {
        let durable = self.store.load()?;
        let writer = LogWriter::start(self.store, wake).map_err(|source| StorageError::Io {
            action: "starting",
            file: "the storage thread".to_owned(),
            source,
        })?;
        Ok(Voter {
            raft: Raft::new(self.id, config, durable, seed, now),
            writer,
            state: State::default(),
            leadership: None,
            pending: BTreeMap::new(),
            applied: Index(0),
            snapshot_index: Index(0),
            bytes_since_snapshot: 0,
            slow_writes: WarningLimit::default(),
        })
    }
}

/// Loads a folder, which is bound to `new_id` if it is unused; returns the id of its member, whether that belongs to
/// a group, and its term and vote.
fn load(store: &mut Store, new_id: MemberId) -> Result<(MemberId, bool, HardState), StorageError> {
    let durable = store.load()?;
    let id = match durable.id {
        Some(id) => id,
        None => {
            store.write(&[Write::Identity(new_id)])?;
            new_id
        }
    };
    // A member with a vote or an entry belongs to a group even before it has a snapshot.
    let grouped = durable.snapshot.is_some()
        || durable.hard != HardState::default()
        || !durable.entries.is_empty();
    Ok((id, grouped, durable.hard))
}

impl Voter {
    /// Returns the channel on which the store is returned after a failed write.
    pub(crate) fn failed_store(&self) -> Receiver<Store> {
        self.writer.failed_store()
    }

    /// Returns the id of this member.
    pub fn id(&self) -> MemberId {
        self.raft.id()
    }

    /// Returns the Raft core.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the replicated state machine.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the publisher, if this member is an established leader.
    pub fn publisher(&mut self) -> Option<&mut Publisher> {
        self.leadership.as_mut().map(|l| &mut l.publisher)
    }

    /// Returns whether this member is an established leader.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns the time of the next timeout, at which [`Voter::tick`] must be called.
    pub fn wake_at(&self) -> Instant {
        self.raft.wake_at()
    }

    /// Processes the timeouts that have expired at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.raft.tick(now);
        self.warn_if_stalled(now);
        self.pending.retain(|_, pending| !pending.reply.is_closed());
        if let Some(leadership) = &mut self.leadership {
            leadership.publisher.purge(now);
        }
    }

    /// Processes a message from another member.
    pub fn step(&mut self, now: Instant, from: MemberId, message: Message) {
        self.raft.step(now, from, message);
    }

    /// Proposes a command; the receiver gets the reply when the command is applied.
    pub fn propose(
        &mut self,
        now: Instant,
        wall: SystemTime,
        command: Command,
    ) -> Result<oneshot::Receiver<Result<Reply, SubmitError>>, ProposeError> {
        let leadership = self
            .leadership
            .as_mut()
            .ok_or(ProposeError::NotEstablished)?;
        let since = wall.duration_since(SystemTime::UNIX_EPOCH);
        let at = Timestamp(since.unwrap_or_default().as_millis() as u64);
        let command = leadership.gate.prepare(now, self.state.leases(), command);
        let stamped = StampedCommand {
            at: at.max(self.state.now()),
            command,
        };
        let data = postcard::to_stdvec(&stamped).expect("commands can be encoded");
        let index = self.raft.propose(now, data)?;
        let (reply, receiver) = oneshot::channel();
        let term = self.raft.term();
        self.pending
            .insert(index.0, PendingProposal { term, reply });
        Ok(receiver)
    }

    /// Proposes a membership change.
    pub fn propose_change(
        &mut self,
        now: Instant,
        change: MemberChange,
    ) -> Result<Index, ProposeError> {
        self.raft.propose_change(now, change)
    }

    /// Starts a leadership transfer and returns the member that is to become the leader.
    pub fn transfer_leadership(&mut self, now: Instant) -> Result<MemberId, ProposeError> {
        self.raft.transfer_leadership(now)
    }

    /// Handles all outstanding work of the core and returns the messages to send.
    ///
    /// It starts the writes and does not wait for them.
    /// After an error the member must be dropped.
    pub fn advance(&mut self, now: Instant) -> Result<Vec<Outgoing>, VoterError> {
        let mut messages = Vec::new();
        while let Some(write) = self.writer.next_finished()? {
            self.warn_if_slow(now, &write);
            self.raft.finish_write(now, write.number);
        }
        loop {
            let ready = self.raft.ready();
            if ready.is_empty() {
                if self.compact() {
                    continue;
                }
                break;
            }
            self.handle_ready(now, ready, &mut messages)?;
            self.update_leadership(now);
        }
        self.update_leadership(now);
        Ok(messages)
    }

    fn handle_ready(
        &mut self,
        now: Instant,
        ready: Ready,
        messages: &mut Vec<Outgoing>,
    ) -> Result<(), VoterError> {
        if let Some(write) = ready.write {
            self.writer.write(now, write)?;
        }
        messages.extend(ready.messages);
        if let Some(snapshot) = ready.snapshot {
            self.restore(&snapshot)?;
        }
        for entry in ready.committed {
            self.apply(entry);
        }
        Ok(())
    }

    /// Logs a slow write, on which acknowledgements and own votes had to wait.
    fn warn_if_slow(&mut self, now: Instant, write: &FinishedWrite) {
        if write.took >= SLOW_WRITE
            && let Some(suppressed) = self.slow_writes.pass(now)
        {
            tracing::warn!(
                took_ms = write.took.as_millis() as u64,
                entries = write.entries,
                bytes = write.bytes,
                waiting_writes = self.writer.pending(),
                waiting_messages = self.raft.held_messages(),
                waiting_proposals = self.pending.len(),
                suppressed,
                "slow write to the data folder"
            );
        }
    }

    /// Logs a write that has not ended for long, as on a disk that hangs.
    fn warn_if_stalled(&mut self, now: Instant) {
        if let Some(waiting) = self.writer.waiting(now).filter(|w| *w >= STALLED_WRITE)
            && let Some(suppressed) = self.slow_writes.pass(now)
        {
            tracing::warn!(
                waiting_ms = waiting.as_millis() as u64,
                waiting_writes = self.writer.pending(),
                waiting_messages = self.raft.held_messages(),
                waiting_proposals = self.pending.len(),
                suppressed,
                "a write to the data folder does not end"
            );
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), VoterError> {
        self.state = if snapshot.data.is_empty() {
            State::default()
        } else {
            State::restore(&snapshot.data)?
        };
        self.applied = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.bytes_since_snapshot = 0;
        let later = self.pending.split_off(&(snapshot.index.0 + 1));
        // The replies to the commands that the snapshot covers are not known.
        for (_, proposal) in std::mem::replace(&mut self.pending, later) {
            let _ = proposal.reply.send(Err(SubmitError::Unknown));
        }
        Ok(())
    }

    fn apply(&mut self, entry: Entry) {
        self.bytes_since_snapshot += entry.size();
        self.applied = entry.index;
        let proposal = self.pending.remove(&entry.index.0);
        let reply = match &entry.payload {
            Payload::Data(data) => self.apply_command(entry.index, data),
            Payload::Noop | Payload::Change(_) => None,
        };
        let Some(proposal) = proposal else { return };
        let result = match reply {
            Some(reply) if proposal.term == entry.term => Ok(reply),
            // Another entry was committed at this index, so the proposal never will be.
            _ if proposal.term != entry.term => Err(SubmitError::NotProposed),
            _ => Err(SubmitError::Unknown),
        };
        let _ = proposal.reply.send(result);
    }

    fn apply_command(&mut self, index: Index, data: &[u8]) -> Option<Reply> {
        let Ok(stamped) = postcard::from_bytes::<StampedCommand>(data) else {
            // Every replica skips the same entry, so their states stay equal.
            tracing::error!(%index, "skipped an entry that cannot be decoded");
            return None;
        };
        let before = self.state.view().version();
        let reply = self.state.apply(index.0, &stamped);
        let view = self.state.view();
        if view.version() > before
            && let Some(leadership) = &mut self.leadership
        {
            leadership
                .publisher
                .publish(view.clone(), stamped.command.edits());
        }
        Some(reply)
    }

    /// Creates the leader's state once an entry of its term is committed, and drops it when the
    /// core is not the leader any more.
    fn update_leadership(&mut self, now: Instant) {
        let is_leading = self.raft.role() == Role::Leader && self.raft.is_established();
        let term = self.raft.term();
        if !is_leading {
            self.leadership = None;
        } else if self.leadership.as_ref().is_none_or(|l| l.term != term) {
            self.leadership = Some(Leadership {
                term,
                gate: LeaseGate::new(now),
                publisher: Publisher::leader(term.0, self.state.view().clone(), now),
            });
            tracing::info!(%term, "leads the group");
        }
    }

    /// Compacts the log if it has grown beyond [`SNAPSHOT_ENTRIES`] or [`SNAPSHOT_BYTES`], and
    /// returns whether it did.
    fn compact(&mut self) -> bool {
        let entries = self.applied.0 - self.snapshot_index.0;
        if entries < SNAPSHOT_ENTRIES && self.bytes_since_snapshot < SNAPSHOT_BYTES {
            return false;
        }
        self.raft.compact(self.applied, self.state.snapshot());
        self.snapshot_index = self.applied;
        self.bytes_since_snapshot = 0;
        true
    }

    /// Returns the age of the leader's view, or `None` unless this member is certain to be the
    /// leader.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        self.leadership.as_ref()?;
        self.raft.quorum_age(now)
    }

    /// Returns the initial voters, as long as no leader is known and no command was applied.
    pub fn initial_voters(&self) -> Option<Membership> {
        let members = self.raft.members();
        let is_unused = self.raft.leader().is_none() && self.state.index() == 0;
        let all_vote = members.iter().all(|(_, member)| member.voting);
        (is_unused && all_vote).then(|| members.clone())
    }

    /// Proposes the membership change that `policy` plans, if this member is the leader.
    ///
    /// A removed member that returns joins again as a learner.
    pub fn replace_members(&mut self, now: Instant, policy: &ReplacementPolicy) {
        if !self.is_leader() {
            return;
        }
        let health = self.raft.health(now);
        let Some(change) = policy.plan(&health) else {
            return;
        };
        match self.raft.propose_change(now, change.clone()) {
            Ok(_) => {
                let silent = health
                    .iter()
                    .filter(|m| m.silent >= policy.responsive_within);
                let silent: Vec<_> = silent.map(ToString::to_string).collect();
                let silent = silent.join(", ");
                tracing::info!(?change, %silent, "changes the membership");
            }
            Err(error) => tracing::debug!(?change, %error, "cannot change the membership yet"),
        }
    }
}
