//! Records that instances exchange inside the calls of [`crate::peer`].

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
use crate::ids::InstanceId;
use crate::prefix_hint::PrefixHint;
use crate::quota::ChunkRow;
use crate::quota::DemandRow;
use crate::raft_member::Membership;
use crate::raft_message::MemberId;
use crate::raft_message::Message;
use crate::rule_state::CommittedChange;
use crate::shared_list::ListDelta;
use crate::shared_list::ListRevision;
use crate::view::Version;
use crate::work::WorkReport;

/// A poll with everything that travels with it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollRequest {
    /// The question for news.
    pub poll: Poll,
    /// Version whose being in force is waited for, so that it counts as news.
    pub awaited_version: Option<Version>,
    /// Revision of the suspects that the poller holds.
    pub suspects_revision: u64,
    /// Usage since the last accepted report, also that of the instances which the poller answers.
    pub usage: Vec<UsageReport>,
    /// How many instances the poller answers for the leader, if it is a voter that may do so.
    pub downstream_count: Option<u32>,
    /// Demand for quota.
    pub demand: Vec<DemandRow>,
    /// Work that the callers of this instance, and of those which it answers, ask of services.
    pub work: WorkReport,
    /// Prompt parts that this instance sent to engines.
    pub sightings: Vec<PrefixHint>,
    /// State of its copy of the endpoint list.
    pub list_revision: ListRevision,
    /// What happened to requests at endpoints that ended, also at the instances below the poller.
    pub crash_notes: Vec<CrashNote>,
}

/// Answer to a poll.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PollResponse {
    /// News, or the proof that there are none.
    Update(Box<PollUpdate>),
    /// This instance cannot answer; perhaps the leader can.
    Redirect {
        /// The leader, if it is known.
        leader: Option<MemberLocation>,
    },
}

/// Where a member can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLocation {
    /// Name of the instance; a configured address for this name goes before the one below.
    pub instance: InstanceId,
    /// Its peer address.
    pub address: String,
}

/// What an upstream knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollUpdate {
    /// Edits and freshness of the view.
    pub update: Update,
    /// Suspected and quarantined requests, if they changed.
    pub suspects: Option<Suspects>,
    /// Outcomes of usage reports of this poll, as far as they are known.
    pub usage: Vec<UsageOutcome>,
    /// Quota that the poller may spend.
    pub chunks: Vec<ChunkRow>,
    /// Instances that hold a view lease, the answering one included.
    pub instance_count: u32,
    /// Peer addresses of the members of the group.
    pub members: Vec<String>,
    /// The leader, which commands go to.
    pub leader: Option<MemberLocation>,
    /// Work that the callers of all instances ask of services.
    pub work: WorkReport,
    /// Prompt parts that other instances sent to engines.
    pub sightings: Vec<PrefixHint>,
    /// Changes of the endpoint list, unless the answering instance knows none.
    pub list_delta: Option<ListDelta>,
}

/// Fingerprints of requests that were in flight at crashes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Suspects {
    /// Number of changes of the list so far.
    pub revision: u64,
    /// Each fingerprint, and whether it is quarantined.
    pub list: Vec<(u64, bool)>,
}

impl Suspects {
    /// Copies the suspects that an instance was told.
    pub fn new(revision: u64, suspects: &HashMap<u64, Suspicion>) -> Self {
        let is_held = |held: &Suspicion| *held == Suspicion::Quarantined;
        let list = suspects.iter().map(|(print, held)| (*print, is_held(held)));
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
                .map(|(fingerprint, held)| (fingerprint, held == Suspicion::Quarantined))
                .collect(),
        }
    }
}

/// What became of a usage report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageOutcome {
    /// The life of the instance that made it.
    pub incarnation: Incarnation,
    /// Number of the report.
    pub sequence: u64,
    /// Whether it was taken; otherwise it was refused for good.
    pub accepted: bool,
}

/// A call that only the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Submits a command.
    Submit {
        /// The command.
        command: Command,
        /// Time to wait for the reply.
        timeout: Duration,
    },
    /// Asks for the newest committed changes.
    History {
        /// Most changes to return.
        count: u32,
    },
}

/// Answer to a call that only the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// The command was applied.
    Applied(Reply),
    /// The command was not proposed, or its proposal was replaced by another one.
    NotProposed,
    /// The command may be applied.
    Unknown,
    /// The newest changes, the newest first.
    History(Vec<CommittedChange>),
}

/// Introduces an instance with a data folder that holds no group yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the data folder.
    pub id: MemberId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its peer address.
    pub address: String,
}

/// Answer to an introduction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JoinResponse {
    /// This instance has an unused data folder, too.
    Unused {
        /// Identity of the data folder.
        id: MemberId,
        /// Name of the instance.
        instance: InstanceId,
    },
    /// This instance belongs to a group; only its leader adds members.
    Grouped {
        /// Whether the joining identity is a member already.
        member: bool,
        /// The leader, if it is known.
        leader: Option<MemberLocation>,
        /// The first voters of a group that has had no leader yet, so that another of them can take
        /// part in the first election.
        initial_voters: Option<Membership>,
    },
    /// This instance has no data folder.
    NotVoter,
}

/// A message of the replication core.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delivery {
    /// The sender.
    pub from: MemberId,
    /// The receiver; a member that lost its data is not addressed by its old identity.
    pub to: MemberId,
    /// Peer address of the sender, for a receiver that does not know the members yet.
    pub address: String,
    /// The message.
    pub message: Message,
}

/// Encodes a record.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).expect("records of this module can be encoded")
}

/// Decodes a record, unless it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
