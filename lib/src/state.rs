//! The replicated state machine, which applies commands and returns replies.
//!
//! It is deterministic. Its time is the leader's timestamp, which the state machine never lets
//! decrease; no clock is read, no random number is drawn, and every collection is ordered. The same
//! commands therefore give the same replies and the same snapshot bytes at every replica.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Command;
use crate::command::LeaseKind;
use crate::command::Reply;
use crate::command::StampedCommand;
use crate::command::Timestamp;
use crate::command::Window;
use crate::intent::Intents;
use crate::lease::Leases;
use crate::order::Orders;
use crate::rule_state::CommittedChange;
use crate::rule_state::RuleSnapshot;
use crate::rule_state::RuleSnapshotRef;
use crate::rule_state::RuleState;
use crate::suspect::Suspects;
use crate::usage::UsageState;
use crate::view::Version;
use crate::view::View;
use crate::view::ViewError;

/// Version of the snapshot format, the first byte of each snapshot.
const SNAPSHOT_FORMAT: u8 = 1;

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {
    index: u64,
    now: Timestamp,
    rules: RuleState,
    parts: Parts,
}

/// The parts of the state other than the rules, which have a separate snapshot format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Parts {
    leases: Leases,
    intents: Intents,
    usage: UsageState,
    orders: Orders,
    suspects: Suspects,
}

/// The borrowed form of [`Snapshot`], with which a snapshot is encoded without copying the state.
#[derive(Serialize)]
struct SnapshotRef<'a> {
    index: u64,
    now: Timestamp,
    rules: RuleSnapshotRef<'a>,
    parts: &'a Parts,
}

#[derive(Deserialize)]
struct Snapshot {
    index: u64,
    now: Timestamp,
    rules: RuleSnapshot,
    parts: Parts,
}

/// The reason why a snapshot cannot be restored.
#[derive(Debug, Display, Error)]
pub enum RestoreError {
    /// The snapshot has an unknown format, for example that of another release.
    #[display("the snapshot has the unknown format {format}")]
    Format {
        /// The format version that was found.
        format: u8,
    },
    /// The snapshot has no bytes.
    #[display("the snapshot is empty")]
    Empty,
    /// The snapshot cannot be decoded.
    #[display("the snapshot cannot be read: {_0}")]
    Damaged(postcard::Error),
    /// The rules in the snapshot are invalid.
    #[display("the rules of the snapshot are invalid: {_0}")]
    Rules(ViewError),
}

impl State {
    /// Applies the committed command at a log index and returns its reply.
    ///
    /// Indexes start at 1. A command at or below the last applied index has no effect.
    pub fn apply(&mut self, index: u64, stamped: &StampedCommand) -> Reply {
        if index <= self.index {
            return Reply::Done;
        }
        self.index = index;
        self.now = self.now.max(stamped.at);
        self.expire();
        self.execute(&stamped.command)
    }

    fn execute(&mut self, command: &Command) -> Reply {
        let now = self.now;
        let parts = &mut self.parts;
        match command {
            Command::Apply(change) => self.rules.apply(now, change),
            Command::BeginIntent(start) => parts.intents.begin(now, start),
            Command::FinishIntent(end) => parts.intents.finish(end),
            Command::ReleaseIntent(release) => parts.intents.release(release),
            Command::ReportCrash(report) => {
                parts.suspects.report(now, report);
                Reply::Done
            }
            Command::ClearSuspect { fingerprint } => {
                parts.suspects.clear(*fingerprint);
                Reply::Done
            }
            Command::AddUsage(report) => parts.usage.add(now, report),
            Command::FreezeWindow { window, fence } => self.freeze(*window, *fence),
            Command::WindowReported { window } => parts.usage.reported(*window),
            Command::HoldLease {
                lease,
                holder,
                replaces,
            } => parts.leases.hold(*lease, holder, *replaces),
            Command::ReleaseLease {
                lease,
                holder,
                fence,
            } => parts.leases.release(*lease, holder, *fence),
            Command::PlaceOrder(order) => {
                let fence = parts.leases.held(LeaseKind::Orders);
                parts.orders.record(now, fence, order)
            }
            Command::CloseOrder { order, state } => parts.orders.close(*order, *state),
            Command::ReplaceDocument(document) => self.rules.replace_document(document),
            Command::SetEvacuation(order) => self.rules.set_evacuation(now, order),
            Command::ReadDocument => Reply::Document(self.rules.document()),
            Command::SetUsageTerms(terms) => parts.usage.set_terms(*terms),
            Command::Quarantine { fingerprint } => {
                parts.suspects.quarantine(now, *fingerprint);
                Reply::Done
            }
            Command::SuspectParts { fingerprints } => {
                parts.suspects.add_parts(now, fingerprints);
                Reply::Done
            }
            Command::ClearParts { fingerprints } => {
                for fingerprint in fingerprints {
                    parts.suspects.clear(*fingerprint);
                }
                Reply::Done
            }
            Command::LiftQuarantine { fingerprint } => {
                parts.suspects.release(*fingerprint);
                Reply::Done
            }
        }
    }

    fn freeze(&mut self, window: Window, fence: u64) -> Reply {
        if self.parts.leases.held(LeaseKind::Usage) != Some(fence) {
            return Reply::LeaseDenied;
        }
        self.parts.usage.freeze(self.now, window)
    }

    fn expire(&mut self) {
        self.parts.intents.expire(self.now);
        self.parts.suspects.expire(self.now);
        self.parts.usage.expire(self.now);
    }

    /// Returns the log index of the last applied command.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the latest timestamp, below which no leader may stamp a command.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the current rules.
    pub fn view(&self) -> &Arc<View> {
        self.rules.view()
    }

    /// Returns the changes after `version`, or `None` if they are not all retained any more.
    pub fn changes_since(&self, version: Version) -> Option<Vec<CommittedChange>> {
        self.rules.changes_since(version)
    }

    /// Returns the retained changes, the oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &CommittedChange> {
        self.rules.changes()
    }

    /// Returns the exclusive leases.
    pub fn leases(&self) -> &Leases {
        &self.parts.leases
    }

    /// Returns the intents of non-idempotent calls.
    pub fn intents(&self) -> &Intents {
        &self.parts.intents
    }

    /// Returns the usage windows.
    pub fn usage(&self) -> &UsageState {
        &self.parts.usage
    }

    /// Returns the orders to the platform.
    pub fn orders(&self) -> &Orders {
        &self.parts.orders
    }

    /// Returns the suspects and quarantined requests.
    pub fn suspects(&self) -> &Suspects {
        &self.parts.suspects
    }

    /// Returns the encoded state, whose bytes are the same at every replica.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = SnapshotRef {
            index: self.index,
            now: self.now,
            rules: self.rules.snapshot(),
            parts: &self.parts,
        };
        postcard::to_extend(&snapshot, vec![SNAPSHOT_FORMAT]).expect("the state has a serial form")
    }

    /// Restores the state from a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let (format, body) = bytes.split_first().ok_or(RestoreError::Empty)?;
        if *format != SNAPSHOT_FORMAT {
            return Err(RestoreError::Format { format: *format });
        }
        let snapshot: Snapshot = postcard::from_bytes(body).map_err(RestoreError::Damaged)?;
        Ok(Self {
            index: snapshot.index,
            now: snapshot.now,
            rules: RuleState::restore(snapshot.rules).map_err(RestoreError::Rules)?,
            parts: snapshot.parts,
        })
    }
}
