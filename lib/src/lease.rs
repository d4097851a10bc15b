//! Exclusive leases: the replicated grants, the leader's side and the holder's side.
//!
//! Three parts prevent two processes from writing concurrently, even to targets that ignore fencing
//! numbers (`docs/design.md`, section 7):
//!
//! * [`Leases`] is replicated. It replaces a grant only if the command names its fencing number.
//! * [`LeaseGate`] runs on the leader. It permits a replacement only when the old holder must have
//!   stopped and its calls have ended.
//! * [`LeaseHolder`] runs on the holder. It issues a [`Guard`] that is checked before each write.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Command;
use crate::command::Incarnation;
use crate::command::LeaseKind;
use crate::command::Reply;

/// Duration of a grant, counted from the time of the request for it.
pub const LEASE_DURATION: Duration = Duration::from_secs(5);

/// Interval at which the holder renews its lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time before the end of the lease at which the holder stops writing.
pub const STOP_MARGIN: Duration = Duration::from_secs(1);

/// Time after the end of a lease within which calls in flight must have ended.
pub const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time between two steps of the holder; after a longer gap it must renew before it writes.
pub const MAX_STEP_GAP: Duration = Duration::from_millis(1_500);

/// Difference between the elapsed wall-clock and monotonic time that counts as a pause.
///
/// On some systems the monotonic clock stops while the machine is suspended.
pub const CLOCK_JUMP: Duration = Duration::from_millis(500);

/// Maximum number of pending requests; the reply to an older one could not extend the lease.
const MAX_PENDING_REQUESTS: usize = 5;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Grant {
    fence: u64,
    holder: Option<Incarnation>,
}

/// Replicated grants of all leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Leases {
    grants: BTreeMap<LeaseKind, Grant>,
}

impl Leases {
    /// Returns the fencing number of the latest grant, or 0 if there was none.
    pub fn fence(&self, kind: LeaseKind) -> u64 {
        self.grants.get(&kind).map_or(0, |g| g.fence)
    }

    /// Returns the process of the latest grant, unless it released the lease.
    pub fn holder(&self, kind: LeaseKind) -> Option<&Incarnation> {
        self.grants.get(&kind)?.holder.as_ref()
    }

    /// Returns the fencing number of the latest grant, unless the lease was released.
    pub fn held(&self, kind: LeaseKind) -> Option<u64> {
        self.holder(kind).map(|_| self.fence(kind))
    }

    /// Renews the grant of its holder, or replaces the grant whose fencing number is `replaces`.
    pub fn hold(&mut self, kind: LeaseKind, holder: &Incarnation, replaces: Option<u64>) -> Reply {
        let grant = self.grants.entry(kind).or_default();
        if grant.holder.as_ref() == Some(holder) {
            return Reply::LeaseHeld { fence: grant.fence };
        }
        if replaces != Some(grant.fence) {
            return Reply::LeaseDenied;
        }
        grant.fence += 1;
        grant.holder = Some(holder.clone());
        Reply::LeaseHeld { fence: grant.fence }
    }

    /// Ends a grant on behalf of its holder.
    pub fn release(&mut self, kind: LeaseKind, holder: &Incarnation, fence: u64) -> Reply {
        if let Some(grant) = self.grants.get_mut(&kind)
            && grant.fence == fence
            && grant.holder.as_ref() == Some(holder)
        {
            grant.holder = None;
        }
        Reply::Done
    }
}

/// Decides on the leader when a grant may be replaced.
///
/// Each election creates a new gate, because the renewals that an earlier leader saw are unknown.
#[derive(Clone, Debug)]
pub struct LeaseGate {
    elected: Instant,
    /// Time of the last request of each process; old entries are removed.
    last_requests: BTreeMap<(LeaseKind, Incarnation), Instant>,
}

impl LeaseGate {
    /// Creates the gate of a leader that was elected at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            elected: now,
            last_requests: BTreeMap::new(),
        }
    }

    /// Prepares a command for the log; the leader passes every command through it before proposing.
    ///
    /// Overwrites the `replaces` of the sender. Every request counts as a renewal, even before its
    /// grant is applied, because the reply to it extends the lease.
    pub fn prepare(&mut self, now: Instant, leases: &Leases, command: Command) -> Command {
        let Command::HoldLease { lease, holder, .. } = command else {
            return command;
        };
        let replaces = self
            .is_free(now, leases, lease)
            .then(|| leases.fence(lease));
        self.last_requests.retain(|_, at| {
            now.saturating_duration_since(*at) < LEASE_DURATION + IN_FLIGHT_TIMEOUT
        });
        self.last_requests.insert((lease, holder.clone()), now);
        Command::HoldLease {
            lease,
            holder,
            replaces,
        }
    }

    /// Returns whether the latest grant and all calls under it have ended.
    pub fn is_free(&self, now: Instant, leases: &Leases, lease: LeaseKind) -> bool {
        let Some(holder) = leases.holder(lease) else {
            return true;
        };
        let last_request = self.last_requests.get(&(lease, holder.clone()));
        let last = last_request.map_or(self.elected, |at| (*at).max(self.elected));
        now.saturating_duration_since(last) >= LEASE_DURATION + IN_FLIGHT_TIMEOUT
    }
}

/// The lease is not held, or may have expired.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the lease is not held any more")]
pub struct LeaseLost;

/// Permission to write until a fixed time, which is checked immediately before each write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard {
    fence: u64,
    requested_at: Instant,
    wall: SystemTime,
}

impl Guard {
    /// Returns the fencing number of the lease.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the time that remains for a call, or an error if no write may start.
    pub fn remaining(&self, now: Instant, wall: SystemTime) -> Result<Duration, LeaseLost> {
        let elapsed = now.saturating_duration_since(self.requested_at);
        if is_clock_jump(elapsed, self.wall, wall) {
            return Err(LeaseLost);
        }
        let remaining = (LEASE_DURATION - STOP_MARGIN).saturating_sub(elapsed);
        if remaining.is_zero() {
            Err(LeaseLost)
        } else {
            Ok(remaining)
        }
    }
}

fn is_clock_jump(elapsed: Duration, before: SystemTime, after: SystemTime) -> bool {
    let wall_elapsed = after.duration_since(before).unwrap_or_default();
    wall_elapsed.abs_diff(elapsed) > CLOCK_JUMP
}

#[derive(Clone, Copy, Debug)]
struct Request {
    at: Instant,
    wall: SystemTime,
}

/// Holder's side of one lease; it does no I/O, and the caller submits the commands that it returns.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    kind: LeaseKind,
    incarnation: Incarnation,
    last_request: Option<Request>,
    /// Requests without a reply, oldest first.
    pending: VecDeque<Request>,
    guard: Option<Guard>,
    last_step: Option<Instant>,
    /// Time until which a call whose outcome is unknown may still arrive.
    in_flight_until: Option<Instant>,
}

impl LeaseHolder {
    /// Creates the state of a process that does not hold the lease.
    pub fn new(kind: LeaseKind, incarnation: Incarnation) -> Self {
        Self {
            kind,
            incarnation,
            last_request: None,
            pending: VecDeque::new(),
            guard: None,
            last_step: None,
            in_flight_until: None,
        }
    }

    /// Returns the command to submit if a request or renewal is due.
    pub fn step(&mut self, now: Instant, wall: SystemTime) -> Option<Command> {
        let paused = self
            .last_step
            .is_some_and(|last| now.saturating_duration_since(last) > MAX_STEP_GAP);
        if paused {
            self.guard = None;
            self.pending.clear();
            self.last_request = None;
        }
        self.last_step = Some(now);
        let recent = |r: Request| now.saturating_duration_since(r.at) < RENEW_INTERVAL;
        if self.last_request.is_some_and(recent) {
            return None;
        }
        let request = Request { at: now, wall };
        self.last_request = Some(request);
        self.pending.push_back(request);
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        Some(Command::HoldLease {
            lease: self.kind,
            holder: self.incarnation.clone(),
            replaces: None,
        })
    }

    /// Handles the reply to the request that was made at `requested_at`.
    ///
    /// A lease starts at the time of its request, so a late reply to an older request does not
    /// replace the reply to a newer one.
    pub fn handle_reply(&mut self, requested_at: Instant, reply: &Reply) {
        let Some(position) = self.pending.iter().position(|r| r.at == requested_at) else {
            return;
        };
        let Some(pending) = self.pending.drain(..=position).next_back() else {
            return;
        };
        self.guard = match reply {
            Reply::LeaseHeld { fence } => Some(Guard {
                fence: *fence,
                requested_at: pending.at,
                wall: pending.wall,
            }),
            _ => None,
        };
    }

    /// Returns the permission to write, if the lease is held.
    pub fn guard(&self, now: Instant, wall: SystemTime) -> Option<Guard> {
        self.guard.filter(|g| g.remaining(now, wall).is_ok())
    }

    /// Records a call whose outcome is unknown, which delays the release of the lease.
    pub fn record_unknown_outcome(&mut self, now: Instant) {
        self.in_flight_until = Some(now + IN_FLIGHT_TIMEOUT);
    }

    /// Returns whether there is no lease to release.
    pub fn is_released(&self) -> bool {
        self.guard.is_none()
    }

    /// Releases the lease and returns the command to submit, once no call can be in flight.
    ///
    /// The caller starts no write after the first call, and calls again until it gets a command or
    /// [`LeaseHolder::is_released`] returns true.
    pub fn release(&mut self, now: Instant) -> Option<Command> {
        if self.in_flight_until.is_some_and(|until| now < until) {
            return None;
        }
        let guard = self.guard.take()?;
        self.pending.clear();
        Some(Command::ReleaseLease {
            lease: self.kind,
            holder: self.incarnation.clone(),
            fence: guard.fence,
        })
    }
}
