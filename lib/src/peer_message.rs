//! Requests and responses of the calls between instances ([`crate::peer`]), encoded with postcard.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command::Command;
use crate::command::Incarnation;
use crate::command::Reply;
use crate::command::UsageReport;
use crate::control::Suspicion;
use crate::crash_note::CrashNote;
use crate::dissemination::Poll;
use crate::dissemination::Update;
use crate::endpoint_limit::LimitRow;
use crate::endpoint_limit::PermitRow;
use crate::ids::InstanceId;
use crate::prefix_hint::PrefixHint;
use crate::quota::ChunkRow;
use crate::quota::DemandRow;
use crate::raft_member::Membership;
use crate::raft_message::MemberId;
use crate::raft_message::Message;
use crate::rule_state::CommittedChange;
use crate::service_load::LoadSummary;
use crate::shared_list::ListDelta;
use crate::shared_list::ListRevision;
use crate::view::Version;

/// A poll for changes of the view, together with the reports of the poller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollRequest {
    /// The position of the poller in the view history.
    pub poll: Poll,
    /// Version that the poller waits to become effective on all instances; the poll is answered as soon
    /// as it is.
    pub awaited_version: Option<Version>,
    /// Revision of the list of suspect requests that the poller holds.
    pub suspects_revision: u64,
    /// Usage since the last accepted report, including that of the instances that poll this one.
    pub usage: Vec<UsageReport>,
    /// Number of instances that poll this one instead of the leader; `None` if it is not a relay.
    pub downstream_count: Option<u32>,
    /// Demand of this instance for quota.
    pub demand: Vec<DemandRow>,
    /// Load that clients request from services through this instance and the instances that poll it.
    pub work: LoadSummary,
    /// Prompt prefixes that this instance sent to engines, as hints for prefix-aware routing.
    pub sightings: Vec<PrefixHint>,
    /// Revision of the poller's copy of the endpoint list.
    pub list_revision: ListRevision,
    /// Crashes and answers of requests that may crash endpoints, including those of the instances that
    /// poll this one.
    pub crash_notes: Vec<CrashNote>,
    /// Limits of endpoints as known to this instance, and its demand for permits.
    pub limits: Vec<LimitRow>,
    /// Revision of the limits that the previous upstream answered with.
    pub limits_revision: u64,
}

/// Response to a poll.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PollResponse {
    /// Changes since the poll, or a confirmation that there are none.
    Update(Box<PollUpdate>),
    /// This instance cannot answer polls; the poller should try the leader.
    Redirect {
        /// The leader, if it is known.
        leader: Option<MemberLocation>,
    },
}

/// Name and address of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLocation {
    /// Name of the instance. A configured address for this name takes precedence over `address`.
    pub instance: InstanceId,
    /// Its peer address.
    pub address: String,
}

/// State changes that an upstream sends in response to a poll.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollUpdate {
    /// Edits and age of the view.
    pub update: Update,
    /// Suspect and quarantined requests, if they changed.
    pub suspects: Option<Suspects>,
    /// Known outcomes of the usage reports of this poll.
    pub usage: Vec<UsageOutcome>,
    /// Quota granted to the poller.
    pub chunks: Vec<ChunkRow>,
    /// Number of instances that hold a view lease, including the upstream.
    pub instance_count: u32,
    /// Peer addresses of the members of the Raft group.
    pub members: Vec<String>,
    /// The leader, to which commands are submitted.
    pub leader: Option<MemberLocation>,
    /// Load that clients request from services through all instances.
    pub work: LoadSummary,
    /// Prompt prefixes that other instances sent to engines.
    pub sightings: Vec<PrefixHint>,
    /// Changes of the endpoint list; `None` if the upstream has no current list.
    pub list_delta: Option<ListDelta>,
    /// Limits of endpoints that the poller does not know, and permits.
    pub permits: Vec<PermitRow>,
    /// Revision of the limits.
    pub limits_revision: u64,
}

/// Fingerprints of requests that were in flight when endpoints crashed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Suspects {
    /// Revision, which is incremented with each change of the list.
    pub revision: u64,
    /// Fingerprints, each with whether it is quarantined.
    pub list: Vec<(u64, bool)>,
}

impl Suspects {
    /// Copies the suspects that an instance received from its upstream.
    pub fn new(revision: u64, suspects: &HashMap<u64, Suspicion>) -> Self {
        let is_quarantined = |suspicion: &Suspicion| *suspicion == Suspicion::Quarantined;
        let list = suspects
            .iter()
            .map(|(fingerprint, suspicion)| (*fingerprint, is_quarantined(suspicion)));
        Self {
            revision,
            list: list.collect(),
        }
    }

    /// Copies the suspects of the replicated state.
    pub fn from_state(suspects: &crate::suspect::Suspects) -> Self {
        Self {
            revision: suspects.revision(),
            list: suspects
                .iter()
                .map(|(fingerprint, suspicion)| (fingerprint, suspicion == Suspicion::Quarantined))
                .collect(),
        }
    }
}

/// Outcome of a usage report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageOutcome {
    /// Incarnation of the instance that sent the report.
    pub incarnation: Incarnation,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Whether the report was accepted; if not, it is rejected permanently.
    pub accepted: bool,
}

/// A call that only the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Submits a command.
    Submit {
        /// The command.
        command: Command,
        /// Maximum time to wait for the reply.
        timeout: Duration,
    },
    /// Requests the most recent committed changes.
    History {
        /// Maximum number of changes to return.
        count: u32,
    },
}

/// Response to a call that only the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// The command was applied.
    Applied(Reply),
    /// The command was not proposed, or its log entry was replaced by another one.
    NotProposed,
    /// The command may or may not be applied.
    Unknown,
    /// The most recent changes, newest first.
    History(Vec<CommittedChange>),
}

/// Request to join the Raft group, sent by an instance whose data folder is new.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the data folder.
    pub id: MemberId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its peer address.
    pub address: String,
}

/// Response to a join request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JoinResponse {
    /// The responding instance has a new data folder, too.
    Unused {
        /// Identity of the data folder.
        id: MemberId,
        /// Name of the instance.
        instance: InstanceId,
    },
    /// The responding instance belongs to a group; only its leader adds members.
    Grouped {
        /// Whether the joining member id is a member already.
        member: bool,
        /// The leader, if it is known.
        leader: Option<MemberLocation>,
        /// The initial voters of a group that has not had a leader yet, so that a joining initial voter
        /// can take part in the first election.
        initial_voters: Option<Membership>,
    },
    /// The responding instance has no data folder and therefore no vote.
    NotVoter,
}

/// A Raft message with its envelope.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delivery {
    /// Sender.
    pub from: MemberId,
    /// Receiver. A member that lost its data has a new id, so messages to its old id do not reach it.
    pub to: MemberId,
    /// Peer address of the sender, for a receiver that does not know the membership yet.
    pub address: String,
    /// The message.
    pub message: Message,
}

/// Encodes a request or response.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).expect("peer messages can be encoded")
}

/// Decodes a request or response; returns `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
