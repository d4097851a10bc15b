//! Commands of the replicated state machine and their replies.
//!
//! A command is what the log carries, so it is deterministic: the leader stamps it with a wall-clock
//! time that never decreases, and no random number is drawn when it is applied.

use serde::Deserialize;
use serde::Serialize;

use crate::code::ResultCode;
use crate::ids::ChangeId;
use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::InstanceId;
use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::ids::ZoneId;
use crate::rules::Document;
use crate::rules::Rule;
use crate::rules::RuleBody;
use crate::rules::RuleKey;
use crate::rules::RuleKind;
use crate::view::Edit;
use crate::view::Version;

/// Wall-clock time in milliseconds since the Unix epoch, as stamped by the leader.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

/// One life of one instance; a restarted process has another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The instance.
    pub instance: InstanceId,
    /// Random number drawn when the process started.
    pub number: u64,
}

/// A command with the time at which the leader accepted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Time of acceptance.
    pub at: Timestamp,
    /// The command.
    pub command: Command,
}

/// A step of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the rules.
    Apply(Change),
    /// Records a non-idempotent call before its first byte is sent.
    BeginIntent(IntentStart),
    /// Records the outcome of a non-idempotent call.
    FinishIntent(IntentEnd),
    /// Withdraws an intent of which no byte was sent.
    ReleaseIntent(IntentRelease),
    /// Reports the requests that were in flight when an endpoint crashed.
    ReportCrash(CrashReport),
    /// Clears a suspect that completed.
    ClearSuspect {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Adds usage counts of one entry.
    AddUsage(UsageReport),
    /// Fixes the figures of a window.
    FreezeWindow {
        /// The window.
        window: Window,
        /// Fencing number of the usage lease.
        fence: u64,
    },
    /// Records that the platform accepted the report of a window.
    WindowReported {
        /// The window.
        window: Window,
    },
    /// Asks for an exclusive lease, or renews it.
    HoldLease {
        /// Which lease.
        lease: LeaseKind,
        /// Who asks.
        holder: Incarnation,
        /// Fencing number of the grant that this one may replace. Only the leader sets it, when the
        /// wait for the old holder is over ([`crate::lease::LeaseGate`]).
        replaces: Option<u64>,
    },
    /// Gives up an exclusive lease.
    ReleaseLease {
        /// Which lease.
        lease: LeaseKind,
        /// Who gives it up.
        holder: Incarnation,
        /// Fencing number of the grant that is given up.
        fence: u64,
    },
    /// Records an order to the platform before it is sent.
    ///
    /// Refused unless the fencing number is that of the present holder.
    PlaceOrder(Order),
    /// Records how an order ended.
    CloseOrder {
        /// The order.
        order: u64,
        /// How it ended.
        state: OrderState,
    },
    /// Replaces the configuration document, unless the held one has this revision or a higher one.
    ReplaceDocument(Document),
    /// Returns the configuration document as of this place in the log, which no earlier read and no
    /// acknowledged change can be newer than.
    ReadDocument,
    /// Sets the length of usage windows.
    SetUsageTerms(UsageTerms),
    /// Quarantines a request that the notes of all instances convict ([`crate::crash_records`]).
    Quarantine {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Clears a request that was answered since the crashes it was quarantined for.
    LiftQuarantine {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

impl Command {
    /// Returns the edits of the rules that this command makes when it is accepted.
    pub fn edits(&self) -> Vec<Edit> {
        match self {
            Self::Apply(change) => change.edits.clone(),
            Self::ReplaceDocument(document) => vec![document_edit(document)],
            _ => Vec::new(),
        }
    }
}

/// Returns the edit that puts a document in place of the one before.
pub fn document_edit(document: &Document) -> Edit {
    Edit::Set(Rule {
        key: RuleKey {
            kind: RuleKind::Document,
            name: DOCUMENT_NAME.to_owned(),
        },
        body: RuleBody::Document(document.clone()),
        asker: String::new(),
        line: String::new(),
    })
}

/// Name of the only document.
const DOCUMENT_NAME: &str = "configuration";

/// Length of usage windows, which all replicas must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTerms {
    /// Length of a window in seconds, at least 1.
    pub length: u64,
    /// Time in seconds after its end at which a window is frozen.
    pub grace: u64,
}

/// A change of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Names this submission, so that a resend gets the same answer.
    pub id: ChangeId,
    /// Version that the change was made against.
    pub expected: Version,
    /// Who submitted it.
    pub author: String,
    /// The steps.
    pub edits: Vec<Edit>,
}

/// Key of an intent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IntentKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The caller's idempotency key.
    pub key: String,
}

/// The start of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentStart {
    /// Workspace and idempotency key.
    pub key: IntentKey,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// The entry that will run the call.
    pub entry: Incarnation,
    /// The request at that entry; a resent command of the same request gets the same reply.
    pub attempt: RequestId,
}

/// The end of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentEnd {
    /// Workspace and idempotency key.
    pub key: IntentKey,
    /// The entry that ran the call.
    pub entry: Incarnation,
    /// The request at that entry; a resent command of the same request gets the same reply.
    pub attempt: RequestId,
    /// What the caller received.
    pub outcome: Outcome,
}

/// The withdrawal of an intent of which no byte was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentRelease {
    /// Workspace and idempotency key.
    pub key: IntentKey,
    /// The entry that had the intent.
    pub entry: Incarnation,
    /// The request at that entry; a resent command of the same request gets the same reply.
    pub attempt: RequestId,
}

/// Outcome of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        kind: String,
        /// Body, unless it is larger than what is stored.
        body: Option<Vec<u8>>,
    },
    /// The connection broke after bytes were sent.
    Unknown,
}

/// Requests in flight when an endpoint crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Fingerprints of requests in flight.
    pub fingerprints: Vec<u64>,
    /// Who reports.
    pub reporter: Incarnation,
}

/// Start of a usage window, in seconds since the Unix epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    derive_more::Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

/// Usage of one workspace and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// The class.
    pub class: ClassId,
    /// Completed requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
}

/// New usage of one entry since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The entry.
    pub entry: Incarnation,
    /// Number of this report, from 1 without gaps.
    pub sequence: u64,
    /// The window in which the use happened.
    pub window: Window,
    /// The counts.
    pub rows: Vec<UsageRow>,
}

/// Which exclusive lease.
#[derive(
    Clone,
    Copy,
    Debug,
    derive_more::Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display(rename_all = "lowercase")]
pub enum LeaseKind {
    /// Orders to the platform and to engines.
    Orders,
    /// Usage reports.
    Usage,
}

/// An order to the platform for endpoints in one availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the order, by which the platform recognises a resend.
    pub id: u64,
    /// Fencing number of the order lease.
    pub fence: u64,
    /// The zone.
    pub zone: ZoneId,
    /// Wanted number of endpoints.
    pub count: u32,
    /// Whether they may be reclaimed.
    pub reclaimable: bool,
    /// Why the order was made.
    pub reason: String,
}

/// State of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// Recorded, and perhaps sent.
    Open,
    /// Accepted by the platform.
    Accepted,
    /// Refused by the platform.
    Refused,
    /// Replaced by a newer order for the same zone.
    Superseded,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change was accepted as this version.
    Applied {
        /// The new version.
        version: Version,
    },
    /// The command was refused and changed nothing.
    Refused {
        /// Why.
        code: ResultCode,
        /// What exactly.
        message: String,
    },
    /// The caller of this reply runs the call; nobody else does.
    IntentGranted,
    /// The call ran before.
    IntentDone(Outcome),
    /// The call is open at another entry or its outcome is lost.
    IntentUnknown,
    /// The lease is held with this fencing number.
    LeaseHeld {
        /// The fencing number.
        fence: u64,
    },
    /// Somebody else may hold the lease.
    LeaseDenied,
    /// The frozen figures of a window, byte for byte what is reported.
    Frozen {
        /// The report.
        bytes: Vec<u8>,
    },
    /// The command was applied.
    Done,
    /// The configuration document, if there is one.
    Document(Option<Document>),
}
