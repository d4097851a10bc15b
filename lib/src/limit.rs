//! Limits of one workspace across all instances, enforced by leased quota chunks.
//!
//! The leader owns one [`QuotaPool`] per limited workspace and grants a chunk with each poll. An
//! instance spends its chunks without further communication ([`QuotaShare`]). A chunk is valid for
//! [`CHUNK_LIFETIME`]. The instance counts this time from before it sent the poll, so a chunk
//! expires at the instance before it expires at the pool.
//!
//! Bounds, which `lib/tests/test_limit.rs` checks:
//!
//! * Requests: in any time `T`, all instances together admit at most
//!   `limit * (T + 2 * CHUNK_LIFETIME)`, and one request more if the limit is below one per second.
//! * Tokens: the same, plus one request for each instance, and the tokens that requests admitted
//!   earlier return. An instance may exceed its tokens by one request, because the size of a
//!   request is known only at its end; the excess is deducted from the next chunks.
//! * Concurrency: the sum of permits never exceeds the limit, even while permits move between
//!   instances. Requests of an instance that lost contact count for [`DISCONNECT_HOLD`], after
//!   which the view lease has ended them.
//!
//! A new leader grants nothing for one chunk lifetime. This suffices if a leader grants only while
//! its last confirmed heartbeat round is younger than the shortest election timeout.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::code::ResultCode;
use crate::control::Denied;
use crate::ids::InstanceId;
use crate::rules::Limit;

/// Time for which a chunk is valid.
pub const CHUNK_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which the permits of an instance that lost contact are kept.
///
/// It is the view lease of 2 s, after which the instance ends its streams, plus a margin.
pub const DISCONNECT_HOLD: Duration = Duration::from_millis(2500);

/// Poll interval, which is also the retry delay of a refused caller.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Fraction of its part of a limit that an instance without demand is granted.
///
/// With it, a first request does not have to wait for a poll. Once this fraction of all permits is
/// taken, an instance without demand is no longer guaranteed a permit.
const IDLE_SHARE: f64 = 0.5;

/// Age at which the chunk of an instance without demand is replaced.
const RENEW_AGE: Duration = Duration::from_millis(500);

/// Demand of one instance for one workspace, sent with each poll.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests attempted within the last [`CHUNK_LIFETIME`].
    pub requests: f64,
    /// Tokens attempted within the last [`CHUNK_LIFETIME`], plus debt.
    pub tokens: f64,
    /// Number of running requests.
    pub running: u32,
    /// Number of concurrency permits wanted, including those of running requests.
    pub permits: u32,
    /// Sequence number of the newest chunk received.
    pub received: u64,
}

/// Quota that a pool grants to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Chunk {
    /// Sequence number of the chunk.
    pub number: u64,
    /// Number of requests, or `None` without a limit.
    pub requests: Option<f64>,
    /// Number of tokens, or `None` without a limit.
    pub tokens: Option<f64>,
    /// Number of concurrency permits, or `None` without a limit.
    pub permits: Option<u32>,
}

/// Grants of requests or tokens in a sliding window.
#[derive(Clone, Debug)]
struct Window {
    /// Maximum amount granted within the window.
    amount: f64,
    length: Duration,
    grants: VecDeque<(Instant, InstanceId, f64)>,
}

impl Window {
    /// Creates a window for a rate per second.
    ///
    /// If `whole_units` is set, the window is long enough for one unit.
    fn new(rate: f64, whole_units: bool) -> Self {
        if whole_units && rate < 1.0 {
            let seconds = (1.0 / rate.max(1e-6)).min(1e6);
            return Self {
                amount: 1.0,
                length: Duration::from_secs_f64(seconds).max(CHUNK_LIFETIME),
                grants: VecDeque::new(),
            };
        }
        Self {
            amount: rate * CHUNK_LIFETIME.as_secs_f64(),
            length: CHUNK_LIFETIME,
            grants: VecDeque::new(),
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        demand_part: &DemandPart,
        whole_units: bool,
    ) -> f64 {
        while self
            .grants
            .front()
            .is_some_and(|(at, ..)| now.saturating_duration_since(*at) >= self.length)
        {
            self.grants.pop_front();
        }
        let outstanding: f64 = self.grants.iter().map(|(.., amount)| amount).sum();
        let own: f64 = self
            .grants
            .iter()
            .filter(|(_, holder, _)| holder == instance)
            .map(|(.., amount)| amount)
            .sum();
        let left = (self.amount - outstanding).max(0.0);
        let target = demand_part.target(self.amount);
        let wanted = if demand_part.own > 0.0 {
            // Rounding up lets an instance with a small part of a small limit get a whole request.
            (target - own).max(0.0).ceil()
        } else if target > 0.0 {
            // Each idle instance gets enough for a first request; the rest is left to instances
            // with demand. Grants that expire before the next but one poll do not count, so that
            // there is no gap between two chunks.
            let remaining: f64 = self
                .grants
                .iter()
                .filter(|(at, holder, _)| {
                    holder == instance && now.saturating_duration_since(*at) < RENEW_AGE
                })
                .map(|(.., amount)| amount)
                .sum();
            ((target * IDLE_SHARE).floor().max(1.0) - remaining).max(0.0)
        } else {
            0.0
        };
        let mut granted = wanted.min(left);
        if whole_units {
            // The sum of fractions may be just below a whole number because of rounding errors.
            granted = (granted + 1e-9).floor();
        }
        if granted > 0.0 {
            self.grants.push_back((now, instance.clone(), granted));
        }
        granted
    }
}

/// Demand of one instance in relation to that of all instances.
struct DemandPart {
    own: f64,
    total: f64,
    instance_count: f64,
}

impl DemandPart {
    /// Returns the part of an amount that the instance is to get.
    ///
    /// The amount is divided by demand. The remainder is divided evenly, so that first requests do
    /// not have to wait for a poll.
    fn target(&self, amount: f64) -> f64 {
        if self.total > amount {
            return amount * self.own / self.total;
        }
        self.own + (amount - self.total) / self.instance_count.max(1.0)
    }
}

/// State of one instance at the pool.
#[derive(Clone, Copy, Debug)]
struct Member {
    demand: Demand,
    last_contact: Instant,
    /// Number of the last chunk granted to the instance.
    last_number: u64,
    granted_permits: u32,
    /// Largest earlier number of permits that the instance may still use, until it confirms the
    /// receipt of a newer chunk.
    unconfirmed_permits: u32,
}

impl Member {
    /// Returns the permits that the instance may be using.
    fn permits(&self) -> u32 {
        self.granted_permits
            .max(self.unconfirmed_permits)
            .max(self.demand.running)
    }
}

/// Quota of one workspace, from which the leader grants chunks to instances.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    limit: Limit,
    requests: Option<Window>,
    tokens: Option<Window>,
    members: HashMap<InstanceId, Member>,
    /// Time from which chunks are granted.
    grants_at: Instant,
    /// Time until which instances that have not polled this leader may still run requests.
    full_grants_at: Instant,
    /// Number of the last chunk, or 1 before the first.
    last_number: u64,
}

impl QuotaPool {
    /// Creates the pool of a new leader.
    ///
    /// The pool grants nothing for one chunk lifetime. Until all other instances have polled or
    /// ended their requests, it grants an instance no more permits than its running requests use.
    pub fn new(now: Instant, limit: Limit) -> Self {
        Self {
            requests: limit.requests.map(|r| Window::new(r, true)),
            tokens: limit.tokens.map(|t| Window::new(t, false)),
            limit,
            members: HashMap::new(),
            grants_at: now + CHUNK_LIFETIME,
            full_grants_at: now + DISCONNECT_HOLD,
            last_number: 1,
        }
    }

    /// Grants a chunk in response to the poll of an instance.
    ///
    /// Chunks are numbered above `first_number`, which exceeds the chunk numbers of all earlier
    /// leaders.
    pub fn grant(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        demand: Demand,
        first_number: u64,
    ) -> Chunk {
        self.last_number = self.last_number.max(first_number) + 1;
        self.members
            .retain(|_, m| now.saturating_duration_since(m.last_contact) < DISCONNECT_HOLD);
        let member = self.members.entry(instance.clone()).or_insert(Member {
            demand,
            last_contact: now,
            last_number: 0,
            granted_permits: 0,
            unconfirmed_permits: 0,
        });
        member.demand = demand;
        member.last_contact = now;
        if demand.received >= member.last_number {
            member.unconfirmed_permits = 0;
        }
        let is_ready = now >= self.grants_at;
        let requests = self.demand_part(now, instance, |d| d.requests);
        let tokens = self.demand_part(now, instance, |d| d.tokens);
        let permits = self.limit.concurrency.map(|limit| match is_ready {
            true if now >= self.full_grants_at => self.permits(now, instance, limit),
            true => self.permits(now, instance, limit).min(demand.running),
            false => 0,
        });
        let grant = |window: Option<&mut Window>, demand_part: &DemandPart, whole_units| {
            window.map(|w| {
                if is_ready {
                    w.grant(now, instance, demand_part, whole_units)
                } else {
                    0.0
                }
            })
        };
        let chunk = Chunk {
            number: self.last_number,
            requests: grant(self.requests.as_mut(), &requests, true),
            tokens: grant(self.tokens.as_mut(), &tokens, false),
            permits,
        };
        if let Some(member) = self.members.get_mut(instance) {
            member.unconfirmed_permits = member.unconfirmed_permits.max(member.granted_permits);
            member.granted_permits = permits.unwrap_or(0);
            member.last_number = chunk.number;
        }
        chunk
    }

    fn demand_part(
        &self,
        now: Instant,
        instance: &InstanceId,
        value: impl Fn(&Demand) -> f64,
    ) -> DemandPart {
        let is_active =
            |m: &&Member| now.saturating_duration_since(m.last_contact) < CHUNK_LIFETIME;
        let members = self.members.values().filter(is_active);
        DemandPart {
            own: self.members.get(instance).map_or(0.0, |m| value(&m.demand)),
            total: members.clone().map(|m| value(&m.demand)).sum(),
            instance_count: members.count() as f64,
        }
    }

    /// Returns the permits of an instance, divided by demand.
    ///
    /// Permits that other instances may still use are not granted again.
    fn permits(&self, now: Instant, instance: &InstanceId, limit: u32) -> u32 {
        let others = self.members.iter().filter(|(id, _)| *id != instance);
        let taken = others
            .map(|(_, m)| m.permits())
            .fold(0, u32::saturating_add);
        let left = limit.saturating_sub(taken);
        let demand_part = self.demand_part(now, instance, |d| f64::from(d.permits.max(d.running)));
        let limit = f64::from(limit);
        let is_contended = f64::from(taken) >= limit * IDLE_SHARE;
        let target = demand_part.target(limit);
        let target = if demand_part.own == 0.0 && (is_contended || target <= 0.0) {
            target.floor()
        } else {
            target.max(1.0)
        };
        (target as u32).min(left)
    }
}

/// Unspent quota from one chunk or from tokens that a request returned.
#[derive(Clone, Copy, Debug)]
struct HeldQuota {
    expires: Instant,
    requests: f64,
    tokens: f64,
}

/// Part of the quota of one workspace that an instance holds.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    limit: Limit,
    held_quota: VecDeque<HeldQuota>,
    permits: u32,
    permits_until: Option<Instant>,
    received: u64,
    running: u32,
    /// Tokens used beyond the quota held.
    debt: f64,
    /// Requests attempted since the last poll.
    attempts: u32,
    /// Expected tokens of requests attempted since the last poll.
    attempted_tokens: f64,
    /// Requests refused by the concurrency limit since the last poll.
    refused: u32,
    /// Attempted requests and tokens by time of the poll that reported them.
    recent_attempts: VecDeque<(Instant, u32, f64)>,
}

impl QuotaShare {
    /// Creates an empty share of a workspace with this limit.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            held_quota: VecDeque::new(),
            permits: 0,
            permits_until: None,
            received: 0,
            running: 0,
            debt: 0.0,
            attempts: 0,
            attempted_tokens: 0.0,
            refused: 0,
            recent_attempts: VecDeque::new(),
        }
    }

    /// Replaces the limit.
    ///
    /// Quota held under the old limit is dropped. Running requests still count.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        self.held_quota.clear();
        self.permits = 0;
        self.permits_until = None;
    }

    /// Returns the demand to send with the next poll.
    pub fn demand(&mut self, now: Instant) -> Demand {
        self.expire(now);
        self.recent_attempts.push_back((
            now,
            std::mem::take(&mut self.attempts),
            self.attempted_tokens,
        ));
        self.attempted_tokens = 0.0;
        while self
            .recent_attempts
            .front()
            .is_some_and(|(at, ..)| now.saturating_duration_since(*at) >= CHUNK_LIFETIME)
        {
            self.recent_attempts.pop_front();
        }
        let requests: u32 = self
            .recent_attempts
            .iter()
            .map(|(_, requests, _)| requests)
            .sum();
        let tokens: f64 = self.recent_attempts.iter().map(|(.., tokens)| tokens).sum();
        Demand {
            requests: f64::from(requests),
            tokens: tokens + self.debt,
            running: self.running,
            permits: self.running + std::mem::take(&mut self.refused),
            received: self.received,
        }
    }

    /// Adds a chunk from a poll that was sent at `requested_at`; older chunks are ignored.
    pub fn receive(&mut self, requested_at: Instant, chunk: &Chunk) {
        if chunk.number <= self.received {
            return;
        }
        self.received = chunk.number;
        self.permits = chunk.permits.unwrap_or(u32::MAX);
        self.permits_until = Some(requested_at + CHUNK_LIFETIME);
        let tokens = chunk.tokens.unwrap_or(0.0);
        let paid = tokens.min(self.debt);
        self.debt -= paid;
        self.held_quota.push_back(HeldQuota {
            expires: requested_at + CHUNK_LIFETIME,
            requests: chunk.requests.unwrap_or(0.0),
            tokens: tokens - paid,
        });
    }

    /// Admits a request and takes its expected tokens, or returns the limit that it exceeds.
    pub fn admit(&mut self, now: Instant, tokens: u32) -> Result<(), Denied> {
        self.expire(now);
        self.attempts += 1;
        self.attempted_tokens += f64::from(tokens);
        if let Some(code) = self.exceeded(now) {
            self.refused += u32::from(code == ResultCode::ConcurrencyLimit);
            return Err(Denied {
                code,
                retry: POLL_INTERVAL,
            });
        }
        self.take_request();
        self.take_tokens(f64::from(tokens));
        self.running += 1;
        Ok(())
    }

    /// Returns the code of the limit that one more request would exceed.
    fn exceeded(&self, now: Instant) -> Option<ResultCode> {
        let requests: f64 = self.held_quota.iter().map(|h| h.requests).sum();
        let tokens: f64 = self.held_quota.iter().map(|h| h.tokens).sum();
        if self.limit.requests.is_some() && requests < 1.0 {
            return Some(ResultCode::RequestLimit);
        }
        if self.limit.tokens.is_some() && tokens <= 0.0 {
            return Some(ResultCode::TokenLimit);
        }
        let is_full = self.limit.concurrency.is_some() && self.running >= self.usable_permits(now);
        is_full.then_some(ResultCode::ConcurrencyLimit)
    }

    /// Releases the permit of a request that ended, and charges its used instead of its expected
    /// tokens.
    pub fn settle(&mut self, now: Instant, expected: u32, used: u32) {
        self.expire(now);
        self.running = self.running.saturating_sub(1);
        let excess = f64::from(used) - f64::from(expected);
        if excess > 0.0 {
            self.take_tokens(excess);
            return;
        }
        let paid = self.debt.min(-excess);
        self.debt -= paid;
        self.held_quota.push_back(HeldQuota {
            expires: now + CHUNK_LIFETIME,
            requests: 0.0,
            tokens: -excess - paid,
        });
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn usable_permits(&self, now: Instant) -> u32 {
        let is_valid = self.permits_until.is_some_and(|until| now < until);
        if is_valid { self.permits } else { 0 }
    }

    fn expire(&mut self, now: Instant) {
        self.held_quota.retain(|h| h.expires > now);
    }

    fn take_request(&mut self) {
        let mut needed = 1.0;
        for held in &mut self.held_quota {
            let taken = held.requests.min(needed);
            held.requests -= taken;
            needed -= taken;
        }
    }

    fn take_tokens(&mut self, mut needed: f64) {
        if self.limit.tokens.is_none() {
            return;
        }
        for held in &mut self.held_quota {
            let taken = held.tokens.min(needed);
            held.tokens -= taken;
            needed -= taken;
        }
        self.debt += needed;
    }
}
