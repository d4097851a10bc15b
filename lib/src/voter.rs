//! One member of the replication group: core, storage and state machine together.
//!
//! It performs no network I/O: messages to send are returned, and replies go through one-shot
//! channels. After a storage error it accepts nothing any more, and the instance goes on as one
//! that does not vote.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

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
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::storage::Write;
use crate::storage::bootstrap;

/// Entries after which a snapshot replaces the log.
pub const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Bytes of entries after which a snapshot replaces the log.
pub const SNAPSHOT_BYTES: usize = 8 << 20;

/// A voter whose storage or state cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum VoterError {
    /// Storage failed.
    #[display("{_0}")]
    Storage(StorageError),
    /// A snapshot cannot be restored.
    #[display("{_0}")]
    Restore(RestoreError),
}

/// A command that waits to be applied.
struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<Result<Reply, SubmitError>>,
}

/// What only a leader that is established has.
struct Leadership {
    term: Term,
    gate: LeaseGate,
    publisher: Publisher,
}

/// One member of the replication group.
pub struct Voter {
    raft: Raft,
    store: Box<dyn LogStore>,
    state: State,
    leadership: Option<Leadership>,
    pending: BTreeMap<u64, PendingProposal>,
    applied: Index,
    snapshot_index: Index,
    bytes_since_snapshot: usize,
}

/// A data folder that was opened.
pub struct DataFolder {
    /// Its identity.
    pub id: MemberId,
    /// Whether it belongs to a group.
    pub grouped: bool,
    store: Box<dyn LogStore>,
}

impl DataFolder {
    /// Opens storage; a new one is bound to `new_id` before anything else.
    pub fn new(mut store: Box<dyn LogStore>, new_id: MemberId) -> Result<Self, StorageError> {
        let durable = store.load()?;
        let id = match durable.id {
            Some(id) => id,
            None => {
                store.write(&[Write::Identity(new_id)])?;
                new_id
            }
        };
        Ok(Self {
            id,
            // A vote or an entry binds the folder to a group even before a snapshot arrives.
            grouped: durable.snapshot.is_some()
                || durable.hard != HardState::default()
                || !durable.entries.is_empty(),
            store,
        })
    }

    /// Makes the data folder an initial voter of a new group.
    pub fn bootstrap(&mut self, members: Membership) -> Result<(), StorageError> {
        let state = State::default().snapshot();
        self.store.write(&bootstrap(self.id, members, state))?;
        self.grouped = true;
        Ok(())
    }

    /// Starts the member.
    pub fn start(mut self, config: Config, seed: u64, now: Instant) -> Result<Voter, VoterError> {
        let durable = self.store.load()?;
        Ok(Voter {
            raft: Raft::new(self.id, config, durable, seed, now),
            store: self.store,
            state: State::default(),
            leadership: None,
            pending: BTreeMap::new(),
            applied: Index(0),
            snapshot_index: Index(0),
            bytes_since_snapshot: 0,
        })
    }
}

impl Voter {
    /// Returns the own identity.
    pub fn id(&self) -> MemberId {
        self.raft.id()
    }

    /// Returns the replication core.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the publisher, if this member is an established leader.
    pub fn publisher(&mut self) -> Option<&mut Publisher> {
        self.leadership.as_mut().map(|l| &mut l.publisher)
    }

    /// Tells whether this member is an established leader.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns when [`Voter::tick`] has something to do.
    pub fn wake_at(&self) -> Instant {
        self.raft.wake_at()
    }

    /// Follows the passage of time.
    pub fn tick(&mut self, now: Instant) {
        self.raft.tick(now);
        self.pending.retain(|_, pending| !pending.reply.is_closed());
        if let Some(leadership) = &mut self.leadership {
            leadership.publisher.purge(now);
        }
    }

    /// Follows a message.
    pub fn step(&mut self, now: Instant, from: MemberId, message: Message) {
        self.raft.step(now, from, message);
    }

    /// Proposes a command; the reply follows when it is applied.
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

    /// Proposes a change of the membership.
    pub fn propose_change(
        &mut self,
        now: Instant,
        change: MemberChange,
    ) -> Result<Index, ProposeError> {
        self.raft.propose_change(now, change)
    }

    /// Hands leadership over.
    pub fn transfer_leadership(&mut self, now: Instant) -> Result<MemberId, ProposeError> {
        self.raft.transfer_leadership(now)
    }

    /// Carries out what the core asks for and returns the messages to send.
    ///
    /// After an error the member must be dropped.
    pub fn advance(&mut self, now: Instant) -> Result<Vec<Outgoing>, VoterError> {
        let mut messages = Vec::new();
        loop {
            let ready = self.raft.ready();
            if ready.is_empty() {
                if self.compact() {
                    continue;
                }
                break;
            }
            self.handle_ready(ready, &mut messages)?;
            self.update_leadership(now);
        }
        self.update_leadership(now);
        Ok(messages)
    }

    fn handle_ready(
        &mut self,
        ready: Ready,
        messages: &mut Vec<Outgoing>,
    ) -> Result<(), VoterError> {
        if !ready.writes.is_empty() {
            self.store.write(&ready.writes)?;
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
        // The replies of what the snapshot covers are lost.
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
        let answer = match reply {
            Some(reply) if proposal.term == entry.term => Ok(reply),
            // Another entry was committed in this place, so the proposal never will be.
            _ if proposal.term != entry.term => Err(SubmitError::NotProposed),
            _ => Err(SubmitError::Unknown),
        };
        let _ = proposal.reply.send(answer);
    }

    fn apply_command(&mut self, index: Index, data: &[u8]) -> Option<Reply> {
        let Ok(stamped) = postcard::from_bytes::<StampedCommand>(data) else {
            // Every replica skips it alike.
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

    /// Starts to lead once an entry of the own term is applied, and stops with the core.
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

    /// Replaces the log by a snapshot if it has grown; returns whether it did.
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

    /// Returns the age of the leader's view, unless it is not certain that it leads.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        self.leadership.as_ref()?;
        self.raft.quorum_age(now)
    }

    /// Returns the first voters, as long as no leader has been heard of and nothing was applied.
    pub fn initial_voters(&self) -> Option<Membership> {
        let members = self.raft.members();
        let is_unused = self.raft.leader().is_none() && self.state.index() == 0;
        let all_vote = members.iter().all(|(_, member)| member.voting);
        (is_unused && all_vote).then(|| members.clone())
    }

    /// Removes a voter that has been silent for long, as long as a working majority remains.
    ///
    /// For groups whose members come and go under new names, where no learner tells which voter it
    /// replaces. A removed voter that returns joins again as a learner.
    pub fn remove_failed_voter(&mut self, now: Instant) {
        if !self.is_leader() {
            return;
        }
        let health = self.raft.health(now);
        let Some(change) = ReplacementPolicy::default().plan_removal(&health) else {
            return;
        };
        match self.raft.propose_change(now, change.clone()) {
            Ok(_) => tracing::info!(?change, "removes a failed voter"),
            Err(error) => tracing::debug!(?change, %error, "cannot change the membership yet"),
        }
    }

    /// Replaces a lost voter, or adds a new one, when a learner has caught up.
    ///
    /// The lost identity is removed first: with it among the voters, the majority would need the
    /// new one before it has proved itself.
    pub fn promote_learners(&mut self, now: Instant) {
        if !self.is_leader() {
            return;
        }
        let health = self.raft.health(now);
        let slack = Config::default().max_learner_lag;
        let window = Config::default().check_quorum_window;
        let ready = health
            .iter()
            .find(|m| !m.voting && m.behind <= slack && m.silent < window);
        let Some(learner) = ready else { return };
        let lost = health
            .iter()
            .find(|m| m.instance == learner.instance && m.id != learner.id);
        let change = match lost {
            Some(member) => MemberChange::Remove(member.id),
            None => MemberChange::Promote(learner.id),
        };
        match self.raft.propose_change(now, change.clone()) {
            Ok(_) => tracing::info!(?change, "changes the membership"),
            Err(error) => tracing::debug!(?change, %error, "cannot change the membership yet"),
        }
    }
}
