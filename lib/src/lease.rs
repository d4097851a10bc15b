//! Exclusive leases: the replicated grants, the granting side and the holder's side.
//!
//! Three parts keep two processes from writing at once, also to endpoints that ignore fencing
//! numbers (`docs/design.md`, section 7):
//!
//! * [`Leases`] is replicated. It replaces a grant only if the command names its fencing number.
//! * [`LeaseGate`] runs at the leader. It allows a replacement only when the old holder must have
//!   stopped and its calls have ended.
//! * [`LeaseHolder`] runs at the holder. It hands out a [`Guard`] that is checked before each write.

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

/// How long a grant lasts from the moment its holder asked for it.
pub const LEASE_DURATION: Duration = Duration::from_secs(5);

/// Interval at which the holder renews.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// How long before the end of the lease the holder stops itself.
pub const STOP_MARGIN: Duration = Duration::from_secs(1);

/// Time allowed for calls in flight after the end of a lease.
pub const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(2);

/// Gap between two steps of the holder after which it stops until it has renewed.
pub const MAX_STEP_GAP: Duration = Duration::from_millis(1_500);

/// Difference between wall clock and monotonic clock that counts as a pause of the machine.
///
/// The monotonic clock of some systems stands still while the machine is suspended.
pub const CLOCK_JUMP: Duration = Duration::from_millis(500);

/// Most requests that wait for a reply; an older one could not extend the lease any more.
const MAX_WAITING: usize = 5;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Grant {
    fence: u64,
    holder: Option<Incarnation>,
}

/// The replicated grants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Leases {
    grants: BTreeMap<LeaseKind, Grant>,
}

impl Leases {
    /// Returns the fencing number of the newest grant; 0 means that there was none.
    pub fn fence(&self, kind: LeaseKind) -> u64 {
        self.grants.get(&kind).map_or(0, |g| g.fence)
    }

    /// Returns the process that holds the lease, unless it gave it up.
    pub fn holder(&self, kind: LeaseKind) -> Option<&Incarnation> {
        self.grants.get(&kind)?.holder.as_ref()
    }

    /// Returns the fencing number of the lease if it is held.
    pub fn held(&self, kind: LeaseKind) -> Option<u64> {
        self.holder(kind).map(|_| self.fence(kind))
    }

    /// Renews the grant of its holder, or replaces it if the command allows that.
    pub fn hold(&mut self, kind: LeaseKind, who: &Incarnation, replaces: Option<u64>) -> Reply {
        let grant = self.grants.entry(kind).or_default();
        if grant.holder.as_ref() == Some(who) {
            return Reply::LeaseHeld { fence: grant.fence };
        }
        if replaces != Some(grant.fence) {
            return Reply::LeaseDenied;
        }
        grant.fence += 1;
        grant.holder = Some(who.clone());
        Reply::LeaseHeld { fence: grant.fence }
    }

    /// Ends a grant at the wish of its holder.
    pub fn release(&mut self, kind: LeaseKind, who: &Incarnation, fence: u64) -> Reply {
        if let Some(grant) = self.grants.get_mut(&kind)
            && grant.fence == fence
            && grant.holder.as_ref() == Some(who)
        {
            grant.holder = None;
        }
        Reply::Done
    }
}

/// Decides at the leader when a grant may be replaced.
///
/// A new one is made at each election, because the renewals that an earlier leader saw are unknown.
#[derive(Clone, Debug)]
pub struct LeaseGate {
    elected: Instant,
    /// When each process last asked, of those that asked recently.
    last_requests: BTreeMap<(LeaseKind, Incarnation), Instant>,
}

impl LeaseGate {
    /// Creates the gate of a leader that was elected now.
    pub fn new(now: Instant) -> Self {
        Self {
            elected: now,
            last_requests: BTreeMap::new(),
        }
    }

    /// Prepares a command for the log; every command passes through here before it is proposed.
    ///
    /// It overwrites what the sender put into `replaces`. Every request of a process counts as a
    /// renewal, also before its grant is applied, because the reply to it extends its lease.
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

    /// Tells whether the newest grant has ended and its calls with it.
    pub fn is_free(&self, now: Instant, leases: &Leases, lease: LeaseKind) -> bool {
        let Some(holder) = leases.holder(lease) else {
            return true;
        };
        let last_request = self.last_requests.get(&(lease, holder.clone()));
        let last = last_request.map_or(self.elected, |at| (*at).max(self.elected));
        now.saturating_duration_since(last) >= LEASE_DURATION + IN_FLIGHT_TIMEOUT
    }
}

/// The lease is not held, or may no longer be.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the lease is not held any more")]
pub struct LeaseLost;

/// Permission to write until a fixed time; checked as the last step before each write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard {
    fence: u64,
    requested_at: Instant,
    wall: SystemTime,
}

impl Guard {
    /// Returns the fencing number.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the time left for a call, or an error if no write may start.
    pub fn remaining(&self, now: Instant, wall: SystemTime) -> Result<Duration, LeaseLost> {
        let passed = now.saturating_duration_since(self.requested_at);
        if is_clock_jump(passed, self.wall, wall) {
            return Err(LeaseLost);
        }
        let left = (LEASE_DURATION - STOP_MARGIN).saturating_sub(passed);
        if left.is_zero() {
            Err(LeaseLost)
        } else {
            Ok(left)
        }
    }
}

fn is_clock_jump(passed: Duration, before: SystemTime, after: SystemTime) -> bool {
    let wall_passed = after.duration_since(before).unwrap_or_default();
    wall_passed.abs_diff(passed) > CLOCK_JUMP
}

#[derive(Clone, Copy, Debug)]
struct Request {
    at: Instant,
    wall: SystemTime,
}

/// The holder's side of one lease. It is pure: the caller submits the commands it returns.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    kind: LeaseKind,
    me: Incarnation,
    last_request: Option<Request>,
    /// Requests without a reply, the oldest first.
    waiting: VecDeque<Request>,
    guard: Option<Guard>,
    stepped: Option<Instant>,
    /// Until when a call whose outcome is unknown may still arrive.
    in_flight: Option<Instant>,
}

impl LeaseHolder {
    /// Creates the side of a process that does not hold the lease.
    pub fn new(kind: LeaseKind, me: Incarnation) -> Self {
        Self {
            kind,
            me,
            last_request: None,
            waiting: VecDeque::new(),
            guard: None,
            stepped: None,
            in_flight: None,
        }
    }

    /// Returns the command to submit now, if a renewal is due.
    pub fn step(&mut self, now: Instant, wall: SystemTime) -> Option<Command> {
        let paused = self
            .stepped
            .is_some_and(|last| now.saturating_duration_since(last) > MAX_STEP_GAP);
        if paused {
            self.guard = None;
            self.waiting.clear();
            self.last_request = None;
        }
        self.stepped = Some(now);
        let recent = |r: Request| now.saturating_duration_since(r.at) < RENEW_INTERVAL;
        if self.last_request.is_some_and(recent) {
            return None;
        }
        let request = Request { at: now, wall };
        self.last_request = Some(request);
        self.waiting.push_back(request);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
        }
        Some(Command::HoldLease {
            lease: self.kind,
            holder: self.me.clone(),
            replaces: None,
        })
    }

    /// Takes in the reply to the request that was made at `requested_at`.
    ///
    /// The lease counts from the request, so a slow reply to an older request proves less than the
    /// reply to a newer one and does not replace it.
    pub fn handle_reply(&mut self, requested_at: Instant, reply: &Reply) {
        let Some(position) = self.waiting.iter().position(|w| w.at == requested_at) else {
            return;
        };
        let Some(waiting) = self.waiting.drain(..=position).next_back() else {
            return;
        };
        self.guard = match reply {
            Reply::LeaseHeld { fence } => Some(Guard {
                fence: *fence,
                requested_at: waiting.at,
                wall: waiting.wall,
            }),
            _ => None,
        };
    }

    /// Returns the permission to write, if there is one now.
    pub fn guard(&self, now: Instant, wall: SystemTime) -> Option<Guard> {
        self.guard.filter(|g| g.remaining(now, wall).is_ok())
    }

    /// Records a call whose outcome is unknown, so that the lease is not given up under it.
    pub fn record_unknown_outcome(&mut self, now: Instant) {
        self.in_flight = Some(now + IN_FLIGHT_TIMEOUT);
    }

    /// Tells whether there is no lease to give up.
    pub fn is_released(&self) -> bool {
        self.guard.is_none()
    }

    /// Stops writing and returns the command that gives the lease up, once no call is in flight.
    ///
    /// The caller makes no call after this and keeps calling until it gets a command.
    pub fn release(&mut self, now: Instant) -> Option<Command> {
        if self.in_flight.is_some_and(|until| now < until) {
            return None;
        }
        let guard = self.guard.take()?;
        self.waiting.clear();
        Some(Command::ReleaseLease {
            lease: self.kind,
            holder: self.me.clone(),
            fence: guard.fence,
        })
    }
}
