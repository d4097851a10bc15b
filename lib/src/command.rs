//! Commands of the replicated state machine and their replies.
//!
//! Log entries carry commands, so applying one must be deterministic: the leader stamps it with a
//! wall-clock time that never decreases, and no random number is drawn when it is applied.

use serde::Deserialize;
use serde::Serialize;

use crate::code::ResultCode;
use crate::evacuation;
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

/// One run of an instance's process; a restarted process is another incarnation.
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
    /// Time at which the leader accepted the command.
    pub at: Timestamp,
    /// The command.
    pub command: Command,
}

/// A command of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the rules.
    Apply(Change),
    /// Records a non-idempotent call before its first byte is sent.
    BeginIntent(IntentStart),
    /// Records the outcome of a non-idempotent call.
    FinishIntent(IntentEnd),
    /// Withdraws the intent of a call of which no byte was sent.
    ReleaseIntent(IntentRelease),
    /// Reports the requests that were in flight when an endpoint crashed.
    ReportCrash(CrashReport),
    /// Clears a suspect request that completed.
    ClearSuspect {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Adds the usage counts of one entry.
    AddUsage(UsageReport),
    /// Freezes the usage figures of a window.
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
    /// Requests an exclusive lease, or renews it.
    HoldLease {
        /// Which lease.
        lease: LeaseKind,
        /// The incarnation that requests it.
        holder: Incarnation,
        /// Fencing number of the grant that this one may replace. Only the leader sets it, once the
        /// previous holder must have stopped ([`crate::lease::LeaseGate`]).
        replaces: Option<u64>,
    },
    /// Releases an exclusive lease.
    ReleaseLease {
        /// Which lease.
        lease: LeaseKind,
        /// The incarnation that releases it.
        holder: Incarnation,
        /// Fencing number of the released grant.
        fence: u64,
    },
    /// Records an order to the platform before it is sent.
    ///
    /// It is refused unless its fencing number is that of the current lease holder.
    PlaceOrder(Order),
    /// Records the final state of an order.
    CloseOrder {
        /// Number of the order.
        order: u64,
        /// Its final state.
        state: OrderState,
    },
    /// Replaces the configuration document, unless the current one has this or a higher revision.
    ReplaceDocument(Document),
    /// Returns the configuration document as of this log index, which is never older than an
    /// earlier read or a change that was acknowledged before.
    ReadDocument,
    /// Sets the length of usage windows.
    SetUsageTerms(UsageTerms),
    /// Quarantines a request that crashes endpoints according to the crash notes of all instances
    /// ([`crate::crash_records`]).
    Quarantine {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Lifts the quarantine of a request that has completed since the crashes that led to it.
    LiftQuarantine {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Makes prompt parts suspects, so that all instances tell answers to them ([`crate::part_records`]).
    SuspectParts {
        /// Fingerprints of the parts.
        fingerprints: Vec<u64>,
    },
    /// Clears prompt parts of suspicion.
    ClearParts {
        /// Fingerprints of the parts.
        fingerprints: Vec<u64>,
    },
    /// Starts or ends the evacuation of a zone, whatever the version of the rules is.
    SetEvacuation(EvacuationOrder),
}

impl Command {
    /// Returns the rule edits that this command makes if it is accepted.
    pub fn edits(&self) -> Vec<Edit> {
        match self {
            Self::Apply(change) => change.edits.clone(),
            Self::ReplaceDocument(document) => vec![document_edit(document)],
            Self::SetEvacuation(order) => vec![evacuation::edit(&order.zone, order.is_active)],
            _ => Vec::new(),
        }
    }
}

/// Returns the edit that replaces the configuration document.
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

/// Rule name of the configuration document, of which there is only one.
const DOCUMENT_NAME: &str = "configuration";

/// Length and grace time of usage windows, on which all replicas must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTerms {
    /// Length of a window, in seconds; at least 1.
    pub length: u64,
    /// Time after the end of a window until it may be frozen, in seconds.
    pub grace: u64,
}

/// An operator's order to evacuate a zone, or to end that (`docs/design/evacuation.md`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Id of this submission, so that a late duplicate of it undoes no newer order.
    pub id: ChangeId,
    /// The zone.
    pub zone: ZoneId,
    /// Whether endpoints of the zone get no new requests from now on.
    pub is_active: bool,
}

impl EvacuationOrder {
    /// Creates an order under a new id.
    pub fn new(zone: ZoneId, is_active: bool) -> Self {
        Self {
            id: format!("evacuation-{:032x}", rand::random::<u128>()).into(),
            zone,
            is_active,
        }
    }
}

/// A change of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Id of this submission, so that a resent change gets the same reply.
    pub id: ChangeId,
    /// Version of the rules that the change is based on.
    pub expected: Version,
    /// Name of the submitter.
    pub author: String,
    /// The edits, in order.
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
    /// Id of the request at that entry; a resent command of the same request gets the same reply.
    pub attempt: RequestId,
}

/// The end of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentEnd {
    /// Workspace and idempotency key.
    pub key: IntentKey,
    /// The entry that ran the call.
    pub entry: Incarnation,
    /// Id of the request at that entry; a resent command of the same request gets the same reply.
    pub attempt: RequestId,
    /// What the caller received.
    pub outcome: Outcome,
}

/// The withdrawal of the intent of a call of which no byte was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentRelease {
    /// Workspace and idempotency key.
    pub key: IntentKey,
    /// The entry that created the intent.
    pub entry: Incarnation,
    /// Id of the request at that entry; a resent command of the same request gets the same reply.
    pub attempt: RequestId,
}

/// The outcome of a non-idempotent call.
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
    /// The connection was lost after bytes had been sent.
    Unknown,
}

/// The requests that were in flight when an endpoint crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Fingerprints of the requests in flight.
    pub fingerprints: Vec<u64>,
    /// The incarnation that reports the crash.
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

/// The usage of one workspace and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The workspace that is billed.
    pub workspace: WorkspaceId,
    /// The class.
    pub class: ClassId,
    /// Number of completed requests.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of output tokens.
    pub output: u64,
}

/// The usage of one entry since its previous report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The entry.
    pub entry: Incarnation,
    /// Number of this report, from 1 without gaps.
    pub sequence: u64,
    /// The window to which the usage belongs.
    pub window: Window,
    /// The counts by workspace and class.
    pub rows: Vec<UsageRow>,
}

/// The exclusive leases.
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
    /// Lease for orders to the platform and to engines.
    Orders,
    /// Lease for usage reports.
    Usage,
}

/// An order to the platform for endpoints in one availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the order, by which the platform recognizes a resend.
    pub id: u64,
    /// Fencing number of the order lease.
    pub fence: u64,
    /// The availability zone.
    pub zone: ZoneId,
    /// Desired number of endpoints.
    pub count: u32,
    /// Whether the platform may reclaim them.
    pub reclaimable: bool,
    /// Reason for the order.
    pub reason: String,
}

/// The state of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// Recorded, and possibly sent.
    Open,
    /// Accepted by the platform.
    Accepted,
    /// Refused by the platform.
    Refused,
    /// Replaced by a newer order for the same zone.
    Superseded,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change was accepted as this version.
    Applied {
        /// The new version.
        version: Version,
    },
    /// The command was refused and changed nothing.
    Refused {
        /// The result code.
        code: ResultCode,
        /// Details of the refusal.
        message: String,
    },
    /// The receiver of this reply runs the call, and nobody else does.
    IntentGranted,
    /// The call ran before.
    IntentDone(Outcome),
    /// The call is open at another entry, or its outcome is unknown.
    IntentUnknown,
    /// The lease is held with this fencing number.
    LeaseHeld {
        /// The fencing number.
        fence: u64,
    },
    /// Another incarnation may hold the lease.
    LeaseDenied,
    /// The usage figures of a window are frozen.
    Frozen {
        /// The report, byte for byte as it is sent.
        bytes: Vec<u8>,
    },
    /// The command was applied.
    Done,
    /// The configuration document, if there is one.
    Document(Option<Document>),
}
