//! What traffic threads and the control thread share.
//!
//! Traffic threads read the published view under a lock that the control thread holds only to swap
//! pointers, and send requests through a channel.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
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
use crate::lease::CLOCK_JUMP;
use crate::lease::Leases;
use crate::prefix_hint::PrefixHintBuffer;
use crate::quota::Shares;
use crate::rule_state::CommittedChange;
use crate::shared_list::SharedList;
use crate::state::State;
use crate::usage::UsageCounter;
use crate::view::Version;
use crate::view::View;
use crate::work::WorkReport;

/// Requests of traffic threads that wait for the control thread; more are refused.
pub const MAX_REQUESTS: usize = 4_096;

/// The view and the time until which it may be served from.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The newest view.
    pub view: Option<Arc<View>>,
    /// End of the lease.
    pub end: Option<Instant>,
    /// Wall-clock time of that end, for machines whose monotonic clock stands still while they are
    /// suspended.
    pub wall_end: Option<SystemTime>,
}

impl Published {
    /// Returns the view, unless its lease has ended on either clock.
    ///
    /// A wall clock that is set forward ends the lease early, until the next poll; one that is set
    /// back has no effect.
    pub fn fresh(&self, now: Instant, wall: SystemTime) -> Option<&Arc<View>> {
        let late = self.end.is_none_or(|end| now >= end)
            || self.wall_end.is_none_or(|end| wall >= end + CLOCK_JUMP);
        self.view.as_ref().filter(|_| !late)
    }
}

/// State shared by all threads of a process.
#[derive(Debug)]
pub struct Shared {
    /// The view.
    pub published: ShardedLock<Published>,
    /// What is held against requests, by fingerprint.
    pub suspects: ShardedLock<Arc<HashMap<u64, Suspicion>>>,
    /// Quota of this instance.
    pub shares: Shares,
    /// Usage that is not reported yet.
    pub usage: UsageCounter,
    /// State of the process for operators.
    pub status: Mutex<Status>,
    /// Work that the callers of this instance ask of services.
    pub work: Mutex<WorkReport>,
    /// Work that the callers of all instances ask of services, as far as this one knows.
    pub total: ShardedLock<Arc<WorkReport>>,
    /// The endpoint list.
    pub list: SharedList,
    /// Prompt parts that this instance sent to engines, for the next poll.
    pub told: PrefixHintBuffer,
    /// Prompt parts that other instances sent to engines.
    pub heard: PrefixHintBuffer,
    /// What happened to requests at endpoints that ended, for the leader.
    pub crashes: Mutex<NoteOutbox>,
    /// Wakes the poll that takes new ones along.
    pub noted: Notify,
    /// Instances that serve callers; 0 until it is known.
    entries: AtomicU32,
    queue: Sender<Request>,
    wake: Notify,
}

impl Shared {
    /// Creates the state, and the end of the channel that the control thread reads.
    pub fn new(terms: UsageTerms) -> (Arc<Self>, Receiver<Request>) {
        let (queue, requests) = bounded(MAX_REQUESTS);
        let shared = Self {
            published: ShardedLock::default(),
            suspects: ShardedLock::default(),
            shares: Shares::default(),
            usage: UsageCounter::new(terms),
            status: Mutex::default(),
            work: Mutex::default(),
            total: ShardedLock::default(),
            list: SharedList::default(),
            told: PrefixHintBuffer::default(),
            heard: PrefixHintBuffer::default(),
            crashes: Mutex::default(),
            noted: Notify::new(),
            entries: AtomicU32::new(0),
            queue,
            wake: Notify::new(),
        };
        (Arc::new(shared), requests)
    }

    /// Returns how many instances serve callers; 0 until it is known.
    pub fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    /// Notes how many instances serve callers.
    pub fn set_entries(&self, count: u32) {
        self.entries.store(count, Ordering::Relaxed);
    }

    /// Notes the work of all instances.
    pub fn set_total(&self, told: WorkReport) {
        *self.total.write().expect("work lock poisoned") = Arc::new(told);
    }

    /// Keeps notes for the leader, which are told at once.
    pub fn note(&self, now: Instant, notes: &[CrashNote]) {
        let mut outbox = self.crashes.lock().expect("notes lock poisoned");
        let count = notes.iter().filter(|note| outbox.push(now, note)).count();
        drop(outbox);
        if count > 0 {
            self.noted.notify_one();
        }
    }

    /// Hands a request to the control thread; returns whether it was accepted.
    pub fn send(&self, request: Request) -> bool {
        let sent = self.queue.try_send(request).is_ok();
        self.wake.notify_one();
        sent
    }

    /// Waits until there may be requests.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }
}

/// A request of a traffic thread.
#[derive(Debug)]
pub enum Request {
    /// Submits a command.
    Submit {
        /// The command.
        command: Command,
        /// Time by which the caller gives up.
        deadline: Instant,
        /// Decides between the control thread and a caller that gives up.
        claim: Claim,
        /// Takes the reply.
        reply: Sender<Result<Reply, SubmitError>>,
    },
    /// Waits until a version is in force everywhere.
    AwaitVersion {
        /// The version.
        version: Version,
        /// Time by which the caller gives up.
        deadline: Instant,
        /// Takes whether it is in force.
        reply: Sender<bool>,
    },
    /// Asks for the newest changes.
    History {
        /// Most changes to return.
        count: u32,
        /// Time by which the caller gives up.
        deadline: Instant,
        /// Takes the changes, unless no leader answered.
        reply: Sender<Option<Vec<CommittedChange>>>,
    },
    /// Asks for the state of the process to be written to [`Shared::status`].
    Status {
        /// Takes the notice that it was written.
        reply: Sender<()>,
    },
    /// Calls a function with the replicated state, if this process is an established leader.
    Inspect(Inspect),
    /// Hands leadership over, sends the last usage report and stops.
    Stop {
        /// Time by which the thread stops in any case.
        deadline: Instant,
    },
    /// Stops at once, as a crash does, for tests and measurements.
    Halt,
}

/// A function that is called with the replicated state on the control thread; it must not block.
#[derive(derive_more::Debug)]
#[debug("Inspect")]
pub struct Inspect(pub Box<dyn FnOnce(&State) + Send>);

/// A request that exactly one side ends: the control thread by taking it, or the caller by
/// withdrawing it.
#[derive(Clone, Debug, Default)]
pub struct Claim(Arc<AtomicU8>);

impl Claim {
    const TAKEN: u8 = 1;
    const WITHDRAWN: u8 = 2;

    fn set(&self, state: u8) -> bool {
        let (done, failed) = (Ordering::AcqRel, Ordering::Acquire);
        self.0.compare_exchange(0, state, done, failed).is_ok()
    }

    /// Takes the request, unless it was withdrawn.
    pub fn take(&self) -> bool {
        self.set(Self::TAKEN)
    }

    /// Withdraws the request, unless it was taken.
    pub fn withdraw(&self) -> bool {
        self.set(Self::WITHDRAWN)
    }
}

/// State of a process for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Role in the replication group, or `none`.
    pub role: String,
    /// Term of the leader that the view came from.
    pub term: u64,
    /// Name of the leader, if it is known.
    pub leader: Option<String>,
    /// Version of the view.
    pub version: Option<Version>,
    /// Version that is in force at every instance, as far as this one knows.
    pub in_force: Version,
    /// Time until the view expires, in milliseconds.
    pub lease_ms: u64,
    /// Why the instance does not vote although it has a data folder.
    pub storage_error: Option<String>,
    /// Members of the group, on a voter.
    pub members: Vec<MemberStatus>,
    /// Instances that hold a lease, on the leader.
    pub instances: Vec<String>,
    /// Instances that the voters answer for the leader, on the leader.
    pub relayed: u32,
    /// Instances that may still serve an older version, on the leader.
    pub lagging: Vec<String>,
    /// Exclusive leases as this voter has applied them.
    pub leases: Vec<LeaseStatus>,
    /// Frozen usage windows that the platform has not accepted, on a voter.
    pub unreported: Vec<Window>,
    /// Bytes received from peers.
    pub received_bytes: u64,
    /// Bytes sent to peers.
    pub sent_bytes: u64,
    /// Calls made to peers and served for them.
    pub calls: u64,
}

/// State of an exclusive lease.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseStatus {
    /// What the lease is for.
    pub lease: String,
    /// Instance that holds it, unless it was given up.
    pub holder: Option<String>,
    /// Fencing number of the newest grant; 0 means that there was none.
    pub fence: u64,
}

impl LeaseStatus {
    /// Returns the state of both leases.
    pub fn of(leases: &Leases) -> Vec<Self> {
        [LeaseKind::Orders, LeaseKind::Usage]
            .into_iter()
            .map(|kind| Self {
                lease: kind.to_string(),
                holder: leases.holder(kind).map(|life| life.instance.to_string()),
                fence: leases.fence(kind),
            })
            .collect()
    }
}

/// State of a member of the replication group.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its identity.
    pub id: String,
    /// Its instance.
    pub instance: String,
    /// Its peer address.
    pub address: String,
    /// Whether it votes.
    pub voting: bool,
    /// Time since it last answered in milliseconds, on the leader.
    pub silent_ms: Option<u64>,
}

/// Returns the time until a deadline.
pub fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
