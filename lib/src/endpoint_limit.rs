//! Limits that endpoints state for the requests of all instances together.
//!
//! An endpoint under strain states in its responses how many requests per second it accepts. Instances
//! share what they learn with their polls, through relays, and send requests to such an endpoint only with
//! a permit ([`crate::permit`]), which they request for the endpoints that they would otherwise have chosen.
//! See `docs/design.md`, section 6.2.
//!
//! The decisions do no I/O. They handle these load patterns:
//!
//! * Many instances, each of which sends the endpoint a small part of its requests: the sum is bounded
//!   without dividing the limit by the number of instances.
//! * Responses that overtake each other: a limit applies from the arrival of the response that states it, and
//!   its end from the sending of the request that proves it; the later one counts.
//! * No leader, or an instance that is cut off: permits expire. After [`CONTACT_TIMEOUT`] the instance uses
//!   its part of the limit, in random slots that do not accumulate.
//! * An endpoint that is cold ([`crate::cold`]): its limit is kept beside a stated one, under a key of its own, and the
//!   smaller one of both applies.
//! * A limit above the demand: permits that nobody asks for are held in reserve by the instances, so that a
//!   request does not have to wait for a poll.
//! * A limit without requests: a permit is made at least every 10 s, since only a response shows that the
//!   limit has ended.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::affinity;
use crate::dialect::RequestRate;
use crate::ids::InstanceId;
use crate::permit::PERMIT_LIFETIME;
use crate::permit::PermitBucket;
use crate::permit::PermitStock;

/// Time without contact to the leader after which an instance uses its own part of the limits.
///
/// The leases of the view last as long, so a move of the leader usually ends within it.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum length of the slots in which an instance without contact uses its part of a limit; the requests of
/// its callers are further apart than those that the endpoint accepts.
const MIN_SLOT: Duration = Duration::from_millis(500);

/// Lowest rate in permits per second; with less, the end of a limit would be noticed too late.
const MIN_RATE: f64 = 0.1;

/// Time for which a limit is remembered without a response that confirms it.
const RECORD_TTL: Duration = Duration::from_secs(60);

/// Time for which the end of a limit is remembered, so that all instances learn of it.
const LIFTED_TTL: Duration = Duration::from_secs(10);

/// Time before their end at which permits in reserve are replaced. That takes two polls through a relay, each
/// held for up to 250 ms.
const RENEW_TIME: Duration = Duration::from_millis(700);

/// Permits in reserve of an instance without demand: for a first request, and for the next one before a poll
/// brings more.
const MIN_RESERVE: u32 = 2;

/// Time over which requests for an endpoint are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of requests that are counted; more are not permitted at once.
const MAX_DEMAND: usize = 256;

/// Distinguishes the key of the limit that an endpoint has while it is cold from that of a stated one.
const COLD_SALT: u64 = 0x636f_6c64;

/// Maximum number of endpoints in a message, at about 30 bytes each.
const MAX_ROWS: usize = 128;

/// The newest observation of an endpoint's limit, as instances tell each other.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// The limit, or `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Identifies the observation, so that an instance recognizes its own when it returns.
    pub observation: u64,
    /// Time since the observation; a relative time, because the clocks of the instances differ.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// What an instance reports about the limit of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The limit.
    pub news: LimitNews,
    /// Number of permits that the instance could use.
    pub wanted: u32,
    /// Number of further permits that the instance would hold in reserve.
    pub reserve: u32,
}

/// Permits that an instance asks for.
#[derive(Clone, Copy, Debug, Default)]
struct Ask {
    /// Permits for the requests of its callers.
    wanted: u32,
    /// Permits for a first request and for an increase of the demand.
    reserve: u32,
}

impl Ask {
    fn saturating_add(self, other: Self) -> Self {
        Self {
            wanted: self.wanted.saturating_add(other.wanted),
            reserve: self.reserve.saturating_add(other.reserve),
        }
    }
}

impl LimitRow {
    fn ask(&self) -> Ask {
        Ask {
            wanted: self.wanted,
            reserve: self.reserve,
        }
    }
}

/// A limit, and permits for the instance that receives it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRow {
    /// The limit.
    pub news: LimitNews,
    /// Number of permits.
    pub permits: u32,
    /// Time for which the permits are valid, from the request for them.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

/// A response that states a limit, or none.
#[derive(Clone, Copy, Debug)]
pub struct LimitObservation {
    /// The stated limit, or `None` if the endpoint accepts requests without a limit.
    pub rate: Option<RequestRate>,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the response arrived.
    pub received: Instant,
    /// A random number that identifies the observation.
    pub id: u64,
}

/// Whether an endpoint accepts a request of this instance, as far as its limit is concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Admission {
    /// The endpoint has no limit.
    #[default]
    Unlimited,
    /// The instance holds a permit.
    Permitted(RequestRate),
    /// The instance holds no permit.
    Blocked(RequestRate),
}

impl Admission {
    /// Returns the admission under both of two limits, with the smaller rate.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unlimited, admission) | (admission, Self::Unlimited) => admission,
            (Self::Permitted(rate), Self::Permitted(other)) => Self::Permitted(rate.min(other)),
            (Self::Permitted(rate) | Self::Blocked(rate), Self::Blocked(other))
            | (Self::Blocked(rate), Self::Permitted(other)) => Self::Blocked(rate.min(other)),
        }
    }
}

/// The newest observation of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldObservation {
    /// The limit, or `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time from which it counts.
    pub at: Instant,
    /// The number that identifies the observation.
    pub id: u64,
}

/// The newest observation of an endpoint's limit.
#[derive(Clone, Copy, Debug)]
struct Record {
    rate: Option<RequestRate>,
    /// Arrival of the response that states the limit, or sending of the request that shows its end.
    at: Instant,
    observation: u64,
}

/// A period in which an instance without contact to the leader may send some requests.
#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    /// Number of requests that the instance may send in it.
    allowance: u32,
}

/// State of one endpoint.
#[derive(Debug)]
struct Endpoint {
    record: Record,
    /// Times of the requests for which the endpoint was or would have been chosen.
    demand: VecDeque<Instant>,
    stock: PermitStock,
    /// What the polling instances asked for, and when.
    downstream: BTreeMap<InstanceId, (Instant, Ask)>,
    bucket: Option<PermitBucket>,
    /// When there were fewer permits than wanted.
    short_at: Option<Instant>,
    /// The last slot in which requests were sent without contact to the leader, and their number.
    used_slot: (u64, u32),
}

impl Endpoint {
    fn new(record: Record) -> Self {
        Self {
            record,
            demand: VecDeque::new(),
            stock: PermitStock::default(),
            downstream: BTreeMap::new(),
            bucket: None,
            short_at: None,
            used_slot: (0, 0),
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let ttl = match self.record.rate {
            Some(_) => RECORD_TTL,
            None => LIFTED_TTL,
        };
        now.saturating_duration_since(self.record.at) >= ttl
    }

    /// Returns the number of requests that were sent in a slot.
    fn slot_use(&self, slot: Slot) -> u32 {
        let (number, count) = self.used_slot;
        if number == slot.number { count } else { 0 }
    }

    fn add_demand(&mut self, now: Instant) {
        if self.demand.len() == MAX_DEMAND {
            self.demand.pop_front();
        }
        self.demand.push_back(now);
    }

    /// Returns what this instance asks for besides the permits that it holds; `downstream` is what it is asked
    /// for. Only an instance that serves callers holds a reserve.
    fn ask(&mut self, now: Instant, serves_callers: bool, downstream: Ask) -> Ask {
        self.demand.retain(|at| is_recent(now, *at));
        let demand = u32::try_from(self.demand.len()).unwrap_or(u32::MAX);
        let own = Ask {
            wanted: demand,
            reserve: match serves_callers {
                true => demand.saturating_add(MIN_RESERVE),
                false => 0,
            },
        };
        let needed = downstream.saturating_add(own);
        let lasting = self.stock.count(now + RENEW_TIME);
        // Pollers have no use for permits that end before their next poll.
        let usable = match downstream.wanted {
            0 => self.stock.count(now),
            _ => lasting,
        };
        let wanted = needed.wanted.saturating_sub(usable);
        let covered = wanted.saturating_add(lasting);
        let most = needed.wanted.saturating_add(needed.reserve);
        Ask {
            wanted,
            reserve: most.saturating_sub(covered),
        }
    }

    /// Returns what the instances ask for that poll this one, other than `except`.
    fn downstream_ask(&mut self, now: Instant, except: Option<&InstanceId>) -> Ask {
        self.downstream.retain(|_, (at, _)| is_recent(now, *at));
        let others = self.downstream.iter().filter(|(id, _)| Some(*id) != except);
        let asks = others.map(|(_, (_, ask))| *ask);
        asks.fold(Ask::default(), Ask::saturating_add)
    }

    /// Takes permits from the bucket, as the leader. A reserve is given only while the requests of callers get
    /// all that they want.
    fn make_permits(&mut self, now: Instant, ask: Ask) -> u32 {
        let Some(rate) = self.record.rate else {
            self.bucket = None;
            return 0;
        };
        let rate = rate.per_second().max(MIN_RATE);
        let bucket = self
            .bucket
            .get_or_insert_with(|| PermitBucket::new(now, rate));
        bucket.set_rate(now, rate);
        let permits = bucket.take(now, ask.wanted);
        if permits < ask.wanted {
            self.short_at = Some(now);
        }
        match self.short_at.is_some_and(|at| is_recent(now, at)) {
            true => permits,
            false => permits + bucket.take(now, ask.reserve),
        }
    }

    /// Takes permits from the stock for a polling instance, as a relay; returns their number and lifetime.
    fn pass_permits(&mut self, now: Instant, poller: &InstanceId, ask: Ask) -> (u32, Duration) {
        let others = self.downstream_ask(now, Some(poller));
        let wanted = others.wanted.saturating_add(ask.wanted);
        let spare = self.stock.count(now).saturating_sub(wanted);
        let asked = ask.wanted.saturating_add(ask.reserve.min(spare));
        self.stock.split(now, asked).unwrap_or_default()
    }

    fn news(&self, now: Instant, endpoint: u64) -> LimitNews {
        LimitNews {
            endpoint,
            rate: self.record.rate,
            observation: self.record.observation,
            age: now.saturating_duration_since(self.record.at),
        }
    }
}

/// The limits of all endpoints as known to a process, with the permits that it holds.
#[derive(Debug)]
pub struct LimitTable {
    /// A random number by which the slots of this instance differ from those of others.
    seed: u64,
    started: Instant,
    endpoints: HashMap<u64, Endpoint>,
    /// Incremented with each change of a limit.
    revision: u64,
    /// The term in which the buckets were created.
    term: u64,
    /// Whether this instance serves callers.
    serves_callers: bool,
    /// Time of the last request that the leader or a relay answered.
    last_contact: Instant,
    /// Number of instances that serve callers.
    instance_count: u32,
}

impl LimitTable {
    /// Creates an empty table; `seed` is a random number.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            seed,
            started: now,
            endpoints: HashMap::new(),
            revision: 0,
            term: 0,
            serves_callers: false,
            last_contact: now,
            instance_count: 0,
        }
    }

    /// Declares that this instance serves callers.
    pub fn serve_callers(&mut self) {
        self.serves_callers = true;
    }

    /// Returns whether no endpoint has a limit, or had one a short time ago.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns a number that changes with the limits.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the key under which the limit of an endpoint is kept that it has while it is cold.
    pub fn cold_key(endpoint: u64) -> u64 {
        affinity::mix(endpoint, COLD_SALT)
    }

    /// Returns whether an endpoint is cold.
    pub fn is_cold(&self, endpoint: u64) -> bool {
        let held = self.observed(Self::cold_key(endpoint));
        held.is_some_and(|held| held.rate.is_some())
    }

    /// Returns the newest observation of a limit.
    pub fn observed(&self, key: u64) -> Option<HeldObservation> {
        let known = self.endpoints.get(&key)?;
        Some(HeldObservation {
            rate: known.record.rate,
            at: known.record.at,
            id: known.record.observation,
        })
    }

    /// Records what a response stated; returns whether the limit changed.
    pub fn observe(&mut self, endpoint: u64, observation: LimitObservation) -> bool {
        let known = self.endpoints.get(&endpoint).map(|known| known.record);
        let Some(known) = known else {
            return observation.rate.is_some() && self.merge(endpoint, observation.into());
        };
        // The response to a request that was sent before the known one arrived may be the older of the two,
        // so it may only lower the limit.
        let is_concurrent = observation.sent < known.at;
        let lowers = match (observation.rate, known.rate) {
            (Some(new), Some(known)) => new <= known,
            (rate, _) => rate.is_some(),
        };
        (!is_concurrent || lowers) && self.merge(endpoint, observation.into())
    }

    /// Applies a record if it is newer than the known one; returns whether the limit changed.
    fn merge(&mut self, endpoint: u64, record: Record) -> bool {
        let Some(known) = self.endpoints.get_mut(&endpoint) else {
            if record.rate.is_none() {
                return false;
            }
            self.endpoints.insert(endpoint, Endpoint::new(record));
            self.revision += 1;
            return true;
        };
        if record.at <= known.record.at || record.observation == known.record.observation {
            return false;
        }
        let old_rate = std::mem::replace(&mut known.record, record).rate;
        let is_changed = old_rate != record.rate;
        if is_changed {
            known.stock.clear();
            self.revision += 1;
        }
        is_changed
    }

    /// Returns whether an endpoint accepts a request of this instance now.
    ///
    /// A cold endpoint accepts requests with permits only, also without contact to the leader: the slots of instances
    /// are bounded on average and not in each second.
    pub fn admission(&self, now: Instant, endpoint: u64) -> Admission {
        let cold = self.admission_by(now, Self::cold_key(endpoint), |_, _| false);
        let stated = self.admission_by(now, endpoint, |known, rate| {
            let slot = self.slot(now, endpoint, rate);
            slot.is_some_and(|slot| known.slot_use(slot) < slot.allowance)
        });
        stated.and(cold)
    }

    /// Returns whether the limit with this key allows a request; `has_slot` is asked if there is no permit.
    fn admission_by(
        &self,
        now: Instant,
        key: u64,
        has_slot: impl FnOnce(&Endpoint, RequestRate) -> bool,
    ) -> Admission {
        let known = self.endpoints.get(&key);
        let Some((known, rate)) = known.and_then(|known| Some((known, known.record.rate?))) else {
            return Admission::Unlimited;
        };
        let is_permitted = known.stock.count(now) > 0 || has_slot(known, rate);
        match is_permitted {
            true => Admission::Permitted(rate),
            false => Admission::Blocked(rate),
        }
    }

    /// Records a request that would have been sent to an endpoint if its limit had allowed it.
    pub fn want(&mut self, now: Instant, endpoint: u64) {
        for key in [endpoint, Self::cold_key(endpoint)] {
            if let Some(known) = self.endpoints.get_mut(&key) {
                known.add_demand(now);
            }
        }
    }

    /// Takes a permit for a request to an endpoint, if that has a limit.
    pub fn take(&mut self, now: Instant, endpoint: u64) {
        let cold = self.endpoints.get_mut(&Self::cold_key(endpoint));
        if let Some(cold) = cold.filter(|cold| cold.record.rate.is_some()) {
            cold.add_demand(now);
            cold.stock.charge(now);
        }
        let known = self.endpoints.get(&endpoint);
        let Some(rate) = known.and_then(|known| known.record.rate) else {
            return;
        };
        let slot = self.slot(now, endpoint, rate);
        let Some(known) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        known.add_demand(now);
        match slot {
            Some(slot) if !known.stock.take(now) => {
                known.used_slot = (slot.number, known.slot_use(slot) + 1);
            }
            Some(_) => {}
            None => known.stock.charge(now),
        }
    }

    /// Returns the current slot of this instance, or `None` while it is in contact with the leader.
    ///
    /// The instance may use its part of the limit in each slot. A fraction of a request is drawn by a hash, so that
    /// the sum over all instances is near the limit and nothing accumulates that all could send at once.
    fn slot(&self, now: Instant, endpoint: u64, rate: RequestRate) -> Option<Slot> {
        if now.saturating_duration_since(self.last_contact) < CONTACT_TIMEOUT {
            return None;
        }
        let rate = rate.per_second().max(MIN_RATE);
        let length = MIN_SLOT.as_secs_f64().max(1.0 / rate);
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        let number = (elapsed / length) as u64;
        let draw =
            affinity::mix(affinity::mix(endpoint, self.seed), number) as f64 / u64::MAX as f64;
        let part = rate * length / f64::from(self.instance_count.max(1));
        Some(Slot {
            number,
            // The conversion saturates.
            allowance: (part + draw) as u32,
        })
    }

    /// Grants permits to the leader's own instance.
    pub fn grant_own(&mut self, now: Instant, term: u64, instance_count: u32) {
        self.set_term(term);
        self.last_contact = now;
        self.instance_count = instance_count;
        for known in self.endpoints.values_mut() {
            let ask = known.ask(now, self.serves_callers, Ask::default());
            let permits = known.make_permits(now, ask);
            known.stock.add(now + PERMIT_LIFETIME, permits);
        }
    }

    /// Returns what to report to the leader or a relay.
    pub fn report(&mut self, now: Instant) -> Vec<LimitRow> {
        self.endpoints.retain(|_, known| !known.is_expired(now));
        let rows = self.endpoints.iter_mut().map(|(endpoint, known)| {
            let downstream = known.downstream_ask(now, None);
            let ask = known.ask(now, self.serves_callers, downstream);
            LimitRow {
                news: known.news(now, *endpoint),
                wanted: ask.wanted,
                reserve: ask.reserve,
            }
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort_unstable_by_key(|row| std::cmp::Reverse(row.wanted));
        rows.truncate(MAX_ROWS);
        rows
    }

    /// Applies the report of a polling instance; returns whether a limit changed.
    pub fn collect(&mut self, now: Instant, poller: &InstanceId, rows: &[LimitRow]) -> bool {
        let mut is_changed = false;
        for row in rows.iter().take(MAX_ROWS) {
            is_changed |= self.merge(row.news.endpoint, record(now, &row.news));
            if let Some(known) = self.endpoints.get_mut(&row.news.endpoint) {
                known.downstream.insert(poller.clone(), (now, row.ask()));
            }
        }
        is_changed
    }

    /// Returns the limits and permits for a polling instance that sent this report.
    ///
    /// The leader gives its `term` and makes permits; without it, permits are passed on.
    pub fn answer(
        &mut self,
        now: Instant,
        term: Option<u64>,
        poller: &InstanceId,
        report: &[LimitRow],
    ) -> Vec<PermitRow> {
        if let Some(term) = term {
            self.set_term(term);
        }
        self.endpoints.retain(|_, known| !known.is_expired(now));
        let mut rows = Vec::new();
        for (endpoint, known) in &mut self.endpoints {
            let reported = report.iter().find(|row| row.news.endpoint == *endpoint);
            let ask = reported.map_or_else(Ask::default, LimitRow::ask);
            let (permits, lifetime) = match term {
                Some(_) => (known.make_permits(now, ask), PERMIT_LIFETIME),
                None => known.pass_permits(now, poller, ask),
            };
            if permits > 0 {
                // What the poller got, it does not ask for again.
                known.downstream.remove(poller);
            }
            let is_known =
                reported.is_some_and(|row| row.news.observation == known.record.observation);
            if permits > 0 || !is_known {
                rows.push(PermitRow {
                    news: known.news(now, *endpoint),
                    permits,
                    lifetime,
                });
            }
        }
        rows.sort_unstable_by_key(|row| std::cmp::Reverse(row.permits));
        rows.truncate(MAX_ROWS);
        rows
    }

    /// Starts with empty buckets if the term is new.
    fn set_term(&mut self, term: u64) {
        if std::mem::replace(&mut self.term, term) != term {
            for known in self.endpoints.values_mut() {
                known.bucket = None;
            }
        }
    }

    /// Applies the answer to a report that was sent at `sent`; returns whether a limit changed.
    pub fn receive(
        &mut self,
        now: Instant,
        sent: Instant,
        instance_count: u32,
        rows: &[PermitRow],
    ) -> bool {
        self.last_contact = sent;
        self.instance_count = instance_count;
        let mut is_changed = false;
        for row in rows {
            is_changed |= self.merge(row.news.endpoint, record(now, &row.news));
            let known = self.endpoints.get_mut(&row.news.endpoint);
            // Permits for another rate than the known one may exceed it.
            if let Some(known) = known.filter(|known| known.record.rate == row.news.rate) {
                let lifetime = row.lifetime.min(PERMIT_LIFETIME);
                known.stock.add(sent + lifetime, row.permits);
            }
        }
        is_changed
    }
}

impl From<LimitObservation> for Record {
    fn from(observation: LimitObservation) -> Self {
        Self {
            rate: observation.rate,
            at: match observation.rate {
                Some(_) => observation.received,
                None => observation.sent,
            },
            observation: observation.id,
        }
    }
}

/// Returns whether a request at this time counts as demand.
fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < DEMAND_WINDOW
}

/// Returns the record that another instance's news states.
fn record(now: Instant, news: &LimitNews) -> Record {
    Record {
        rate: news.rate,
        at: now.checked_sub(news.age).unwrap_or(now),
        observation: news.observation,
    }
}
