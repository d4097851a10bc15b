//! State shared by traffic threads and the control thread.
//!
//! Traffic threads read the published view under a lock that the control thread holds only to swap
//! pointers. They send requests to the control thread through a bounded channel.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use crossbeam::sync::ShardedLock;
use serde::Serialize;
use tokio::sync::Notify;

use crate::command::Command;
use crate::command::LeaseKind;
use crate::command::Reply;
use crate::command::UsageTerms;
use crate::command::Window;
use crate::control::SubmitError;
use crate::control::Suspicion;
use crate::crash_note::CrashNote;
use crate::crash_note::NoteOutbox;
use crate::endpoint_limit::LimitTable;
use crate::lease::CLOCK_JUMP;
use crate::lease::Leases;
use crate::prefix_hint::PrefixHintBuffer;
use crate::quota::QuotaShares;
use crate::rule_state::CommittedChange;
use crate::service_load::LoadSummary;
use crate::shared_list::SharedList;
use crate::state::State;
use crate::usage::UsageCounter;
use crate::view::Version;
use crate::view::View;

/// Maximum number of requests that wait for the control thread; further ones are rejected.
pub const MAX_QUEUED_REQUESTS: usize = 4_096;

/// The view and the time until which the instance may serve requests from it.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The newest view.
    pub view: Option<Arc<View>>,
    /// End of the lease on the monotonic clock.
    pub lease_end: Option<Instant>,
    /// End of the lease on the wall clock, because the monotonic clock of some machines stops during
    /// suspension.
    pub wall_lease_end: Option<SystemTime>,
}

impl Published {
    /// Returns the view, unless its lease has ended on one of the clocks.
    ///
    /// A jump of the wall clock to [`CLOCK_JUMP`] past the end of the lease ends it early, until the
    /// next poll; a jump back has no effect.
    pub fn valid_view(&self, now: Instant, wall: SystemTime) -> Option<&Arc<View>> {
        let is_expired = self.lease_end.is_none_or(|end| now >= end)
            || self
                .wall_lease_end
                .is_none_or(|end| wall >= end + CLOCK_JUMP);
        self.view.as_ref().filter(|_| !is_expired)
    }
}

/// State shared by all threads of a process.
#[derive(Debug)]
pub struct Shared {
    /// The published view.
    pub published: ShardedLock<Published>,
    /// Suspicions against requests, by fingerprint.
    pub suspects: ShardedLock<Arc<HashMap<u64, Suspicion>>>,
    /// Quota shares of this instance.
    pub shares: QuotaShares,
    /// Usage that has not been reported yet.
    pub usage: UsageCounter,
    /// Status for operators, written on request.
    pub status: Mutex<Status>,
    /// Work that callers of this instance request from services.
    pub work: Mutex<LoadSummary>,
    /// Work that callers of all instances request from services, as last received.
    pub total_work: ShardedLock<Arc<LoadSummary>>,
    /// The endpoint list of the cluster.
    pub endpoint_list: SharedList,
    /// Prompt parts that this instance sent to engines, to be sent with the next poll.
    pub outgoing_sightings: PrefixHintBuffer,
    /// Prompt parts that other instances sent to engines, as received since the last read.
    pub received_sightings: PrefixHintBuffer,
    /// Crash notes for the leader.
    pub crash_notes: Mutex<NoteOutbox>,
    /// Wakes the pending poll so that it sends new crash notes.
    pub crash_notes_added: Notify,
    /// Limits of endpoints, and permits to send requests to them.
    pub endpoint_limits: Mutex<LimitTable>,
    /// Wakes the pending poll so that it sends changed limits.
    pub limits_changed: Notify,
    /// Number of instances that serve callers; 0 if unknown.
    instance_count: AtomicU32,
    /// Number of times that the lease on the view has ended.
    lease_ends: AtomicU64,
    /// Requests to the control thread.
    queue: Sender<Request>,
    /// Wakes the control thread when requests are queued.
    wake: Notify,
}

impl Shared {
    /// Creates the state and the receiver of the requests for the control thread.
    pub fn new(terms: UsageTerms) -> (Arc<Self>, Receiver<Request>) {
        let (queue, requests) = bounded(MAX_QUEUED_REQUESTS);
        let shared = Self {
            published: ShardedLock::default(),
            suspects: ShardedLock::default(),
            shares: QuotaShares::default(),
            usage: UsageCounter::new(terms),
            status: Mutex::default(),
            work: Mutex::default(),
            total_work: ShardedLock::default(),
            endpoint_list: SharedList::default(),
            outgoing_sightings: PrefixHintBuffer::default(),
            received_sightings: PrefixHintBuffer::default(),
            crash_notes: Mutex::default(),
            crash_notes_added: Notify::new(),
            endpoint_limits: Mutex::new(LimitTable::new(Instant::now(), rand::random())),
            limits_changed: Notify::new(),
            instance_count: AtomicU32::new(0),
            lease_ends: AtomicU64::new(0),
            queue,
            wake: Notify::new(),
        };
        (Arc::new(shared), requests)
    }

    /// Returns the number of instances that serve callers; 0 if unknown.
    pub fn instance_count(&self) -> u32 {
        self.instance_count.load(Ordering::Relaxed)
    }

    /// Sets the number of instances that serve callers.
    pub fn set_instance_count(&self, count: u32) {
        self.instance_count.store(count, Ordering::Relaxed);
    }

    /// Returns the number of times that the lease on the view has ended.
    pub fn lease_ends(&self) -> u64 {
        self.lease_ends.load(Ordering::Relaxed)
    }

    /// Counts an end of the lease on the view.
    pub fn count_lease_end(&self) {
        self.lease_ends.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the work of all instances.
    pub fn set_total_work(&self, work: LoadSummary) {
        *self.total_work.write().expect("work lock poisoned") = Arc::new(work);
    }

    /// Queues crash notes, and triggers a poll that sends them to the leader if any of the new ones is urgent.
    pub fn add_crash_notes(&self, now: Instant, notes: &[CrashNote]) {
        let mut outbox = self.crash_notes.lock().expect("notes lock poisoned");
        let new = notes.iter().filter(|note| outbox.push(now, note));
        let urgent_count = new.filter(|note| note.event.is_urgent()).count();
        drop(outbox);
        if urgent_count > 0 {
            self.crash_notes_added.notify_one();
        }
    }

    /// Sends a request to the control thread; returns whether the queue had room for it.
    pub fn send(&self, request: Request) -> bool {
        let sent = self.queue.try_send(request).is_ok();
        self.wake.notify_one();
        sent
    }

    /// Waits until requests may have been queued since the last call.
    pub async fn wait_for_requests(&self) {
        self.wake.notified().await;
    }
}

/// A request to the control thread.
#[derive(Debug)]
pub enum Request {
    /// Submits a command.
    Submit {
        /// The command.
        command: Command,
        /// Time at which the caller stops waiting.
        deadline: Instant,
        /// Settles the race between the control thread and a caller that times out.
        claim: Claim,
        /// Receives the reply.
        reply: Sender<Result<Reply, SubmitError>>,
    },
    /// Waits until a version is in force at all instances.
    AwaitVersion {
        /// The version.
        version: Version,
        /// Time at which the caller stops waiting.
        deadline: Instant,
        /// Receives whether the version is in force.
        reply: Sender<bool>,
    },
    /// Requests the newest changes.
    History {
        /// Maximum number of changes to return.
        count: u32,
        /// Time at which the caller stops waiting.
        deadline: Instant,
        /// Receives the changes, or `None` if no leader answered.
        reply: Sender<Option<Vec<CommittedChange>>>,
    },
    /// Writes the status of the process to [`Shared::status`].
    Status {
        /// Receives a message once the status is written.
        reply: Sender<()>,
    },
    /// Calls a function with the replicated state if this process is an established leader.
    Inspect(Inspect),
    /// Transfers leadership, sends the last usage report and stops.
    Stop {
        /// Time at which the thread stops in any case.
        deadline: Instant,
    },
    /// Stops immediately, like a crash, for tests and measurements.
    Halt,
}

/// A function to call with the replicated state on the control thread; it must not block.
#[derive(derive_more::Debug)]
#[debug("Inspect")]
pub struct Inspect(pub Box<dyn FnOnce(&State) + Send>);

/// State of a request that either the control thread takes or the caller withdraws, but never both.
#[derive(Clone, Debug, Default)]
pub struct Claim(Arc<AtomicU8>);

impl Claim {
    const TAKEN: u8 = 1;
    const WITHDRAWN: u8 = 2;

    /// Sets the state and returns true, unless it was set before.
    fn set(&self, state: u8) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        self.0.compare_exchange(0, state, success, failure).is_ok()
    }

    /// Takes the request; returns false if the caller withdrew it.
    pub fn take(&self) -> bool {
        self.set(Self::TAKEN)
    }

    /// Withdraws the request; returns false if the control thread took it.
    pub fn withdraw(&self) -> bool {
        self.set(Self::WITHDRAWN)
    }
}

/// Status of a process for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Role in the Raft group, or `none`.
    pub role: String,
    /// Term of the Raft member, or, without one, of the leader that the view came from.
    pub term: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Version of the view.
    pub version: Option<Version>,
    /// Newest version that this instance knows to be in force at all instances.
    pub in_force: Version,
    /// Time until the lease on the view ends, in milliseconds.
    pub lease_ms: u64,
    /// Why the instance does not vote although it has a data folder.
    pub storage_error: Option<String>,
    /// Members of the Raft group; only on a voter.
    pub members: Vec<MemberStatus>,
    /// Instances that hold a view lease; only on the leader.
    pub instances: Vec<String>,
    /// Number of instances that poll relays; only on the leader.
    pub relayed: u32,
    /// Instances that may still serve an older version; only on the leader.
    pub lagging: Vec<String>,
    /// Exclusive leases as applied by this voter.
    pub leases: Vec<LeaseStatus>,
    /// Frozen usage windows that the platform has not accepted yet; only on a voter.
    pub unreported: Vec<Window>,
    /// Bytes received from peers.
    pub received_bytes: u64,
    /// Bytes sent to peers.
    pub sent_bytes: u64,
    /// Number of calls to and from peers.
    pub calls: u64,
}

/// Status of an exclusive lease.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseStatus {
    /// Kind of the lease.
    pub lease: String,
    /// Instance that holds the lease, unless it was released.
    pub holder: Option<String>,
    /// Fencing number of the newest grant; 0 if there was none.
    pub fence: u64,
}

impl LeaseStatus {
    /// Returns the status of each lease.
    pub fn of(leases: &Leases) -> Vec<Self> {
        [LeaseKind::Orders, LeaseKind::Usage]
            .into_iter()
            .map(|kind| Self {
                lease: kind.to_string(),
                holder: leases
                    .holder(kind)
                    .map(|holder| holder.instance.to_string()),
                fence: leases.fence(kind),
            })
            .collect()
    }
}

/// Status of a member of the Raft group.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Identity of the member, in hexadecimal.
    pub id: String,
    /// Name of its instance.
    pub instance: String,
    /// Its peer address.
    pub address: String,
    /// Whether it is a voter; otherwise it is a learner.
    pub voting: bool,
    /// Time since its last response, in milliseconds; only on the leader.
    pub silent_ms: Option<u64>,
}

/// Returns the time until a deadline, or zero if it has passed.
pub fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
