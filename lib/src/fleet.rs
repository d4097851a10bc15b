//! Choice of an endpoint for a request, from what this instance has seen of each endpoint.
//!
//! The decision is pure. It answers these load patterns (`docs/platform.md`):
//!
//! * A burst of long prompts: prompts that an engine has still to read delay everybody on it, so the
//!   unread tokens sent there count as waiting time, and short requests pass to other engines.
//! * Sessions that share a prompt: an engine that read the shared part answers sooner, as long as
//!   its queue is short; an unknown part is given a home by rendezvous hashing, on which all
//!   instances agree without a message.
//! * A zone of engines that is taken back during a burst: what the remaining ones cannot read is turned
//!   away at once, by long requests, since engines that read all the time finish no stream.
//! * Load beyond capacity: long requests give way while more urgent ones find no room, so that no
//!   kind is turned away for one that is less urgent.
//! * Endpoints that fail, refuse or fall silent: recent failures and unanswered calls count as
//!   waiting time, which fades, so that an endpoint is neither used at once nor lost for good.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::dialect::ListedEndpoint;
use crate::dialect::PromptPart;
use crate::dialect::StatedLoad;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::prompt_cache::PromptCache;
use crate::route_table::EngineKind;
use crate::sighting::NOTABLE_TOKENS;
use crate::sighting::Sighting;
use crate::work::LONG_PROMPT;
use crate::work::Rate;
use crate::work::Work;
use crate::work::Works;

/// Prompt tokens that an engine reads in a millisecond, until it was observed; a usual figure for
/// large models.
const READ_RATE: f64 = 50.0;

/// Bounds of an observed reading rate, against distortion by queues and by cached prompts.
const READ_RATES: std::ops::RangeInclusive<f64> = 5.0..=1_000.0;

/// Weight of an observation above the known reading rate.
const FASTER_WEIGHT: f64 = 0.3;

/// Times the known rate that an observation counts at most; a prompt that the engine held already, such
/// as that of a caller who asks again, seems to be read at any rate.
const MOST_FASTER: f64 = 2.0;

/// Part of the known rate that is forgotten with an observation below it: requests of other
/// instances make most observations too low, so they prove little.
const RATE_FADES: f64 = 0.001;

/// Fewest unread tokens from which the reading rate is observed; below it the steps of the running
/// requests dominate.
const OBSERVED_TOKENS: u32 = 2_000;

/// Delay in milliseconds that a full endpoint adds to a request; it grows with the square of the use,
/// since an engine with many requests is mostly one that reads all the time.
const FULL_DELAY: f64 = 400.0;

/// Delay in milliseconds of each request that waits for a slot.
const WAITING_DELAY: f64 = 25.0;

/// Disadvantage in milliseconds of an endpoint in another zone, for the distance both ways and the
/// price of bytes between zones.
const ZONE_DELAY: f64 = 6.0;

/// Delay in milliseconds that a recent failure counts for.
const FAILURE_DELAY: f64 = 1_500.0;

/// Time in which the memory of a failure halves.
const FAILURE_FADES: Duration = Duration::from_secs(2);

/// Time for which a closed connection counts as a sign that an endpoint leaves; the list tells it
/// by then.
const LEAVING_FADES: Duration = Duration::from_millis(1_500);

/// Delay in milliseconds that one closed connection counts for.
const CLOSING_DELAY: f64 = 150.0;

/// Delay in milliseconds that several closed connections count for.
const LEAVING_DELAY: f64 = 3_000.0;

/// Time without a first byte after which an endpoint counts as silent, at least.
const SILENT: Duration = Duration::from_millis(800);

/// Times the expected delay after which an endpoint counts as silent.
const SILENT_FACTOR: f64 = 3.0;

/// Delay in milliseconds that a silent endpoint counts for.
const SILENT_DELAY: f64 = 8_000.0;

/// Disadvantage in milliseconds of an engine that reads long prompts, for a short request: each
/// chunk that the engine reads delays all events there.
const READER_DELAY: f64 = 250.0;

/// Disadvantage in milliseconds of an engine that is kept free of long prompts, for a long one.
const KEPT_DELAY: f64 = 1_000.0;

/// Use by short prompts up to which another engine is not needed for them.
const KEPT_USE: f64 = 0.3;

/// Time for which long requests give way after a more urgent one was turned away.
const YIELD_TIME: Duration = Duration::from_secs(1);

/// Part of a shared prompt that its home is taken to hold.
const HOME_HELD: f64 = 0.8;

/// Times the reading time of a shared part that reading it again counts for besides, since it costs
/// the other requests of the engine as much.
const AGAIN_WEIGHT: f64 = 2.0;

/// Times the copying time of a shared part that copying it counts for: the link carries one copy after
/// the other, and the copy takes memory from other prompts.
const COPY_WEIGHT: f64 = 3.0;

/// Part of an engine's time that reading may take while its streams still end in time; the other half is
/// for their steps.
const FULL_USE: f64 = 0.5;

/// Part of the places that is taken before requests are turned away for lack of reading capacity.
const BUSY_PLACES: f64 = 0.5;

/// Largest part of the long requests that is turned away, so that no kind is without service.
const MAX_EXCESS: f64 = 0.6;

/// Use by long prompts up to which another engine is not needed for them. While an engine reads, each
/// token of its other requests takes a whole chunk's time, so half of the time must be left for them.
const READER_USE: f64 = 0.35;

/// Age from which a stated load says nothing.
const STALE: Duration = Duration::from_secs(2);

/// Part of an engine's memory that is taken to hold shared prompts.
const CACHE_SHARE: f64 = 0.5;

/// Memory of an engine in tokens, where none is stated.
const DEFAULT_MEMORY: u64 = 200_000;

/// A request that asks for an endpoint.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Prompt tokens.
    pub prompt: u32,
    /// Parts of the prompt in order.
    pub parts: &'a [PromptPart],
    /// Endpoints that failed it before.
    pub excluded: &'a [EndpointId],
    /// Time that is left for its first byte.
    pub left: Duration,
    /// Work that all callers ask of the service.
    pub total: Work,
    /// Place among all requests, 0 for the most urgent.
    pub urgency: u8,
    /// A random number below 1, by which it is among the requests that are turned away.
    pub draw: f64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub listed: ListedEndpoint,
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens that it has still to read.
    pub unread: u32,
    /// Prompt tokens that no other request shares, so that they are certainly read.
    pub own: u32,
    /// Another engine that likely holds shared parts which this one lacks.
    pub source: Option<SocketAddr>,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// Age of the list that it was chosen from.
    pub age: Duration,
}

/// Why a request has no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// The service has no endpoint that takes requests.
    Nowhere,
    /// Every endpoint would answer too late.
    Late {
        /// Expected time to the first byte at the best one.
        expected: Duration,
    },
    /// More urgent requests were turned away just before.
    Yields,
    /// All callers together ask for more than the endpoints can read.
    Full,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer came.
    Served,
    /// The endpoint refused and did not run it.
    Refused,
    /// The endpoint answered with an error of its own.
    Failed,
    /// The connection broke, or the answer was not one.
    Broken,
    /// No connection was made.
    Unreachable,
    /// Another endpoint has the address.
    Replaced,
    /// The caller left or its time ran out.
    Cancelled,
}

impl CallEnd {
    /// Returns the name that logs show.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Unreachable => "unreachable",
            Self::Replaced => "replaced",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

#[derive(Debug)]
struct OwnCall {
    ticket: Ticket,
    since: Instant,
    unread: u32,
    /// Unread tokens that no other request shares.
    certain: u32,
    expected: Duration,
    answered: bool,
}

#[derive(Debug)]
struct Endpoint {
    listed: ListedEndpoint,
    hash: u64,
    own: Vec<OwnCall>,
    /// Stated load, when it arrived, and the own calls at that time.
    load: Option<(StatedLoad, Instant, usize)>,
    /// Weight of failures at the time of the newest one.
    failures: f64,
    failed: Instant,
    /// Recent answers after which it closed the connection.
    closed: Vec<Instant>,
    /// Cannot be used until the list names it again.
    gone: bool,
    cache: PromptCache,
}

/// What this instance knows about all endpoints.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    /// When the list arrived.
    installed: Option<Instant>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
    engines: HashMap<ServiceId, EngineKind>,
    rates: HashMap<ServiceId, f64>,
    flows: HashMap<ServiceId, Flows>,
    /// The most urgent request that was turned away lately, and when.
    turned: HashMap<ServiceId, (Instant, u8)>,
    places: HashMap<Ticket, EndpointId>,
    /// Shared parts that were sent to engines which did not hold them.
    sightings: Vec<Sighting>,
    next: u64,
}

/// Unread prompt tokens of the own requests.
#[derive(Debug)]
struct Flows {
    long: Rate,
    short: Rate,
}

impl Flows {
    fn new(now: Instant) -> Self {
        Self {
            long: Rate::new(now),
            short: Rate::new(now),
        }
    }
}

impl Fleet {
    /// Creates the knowledge of an instance in a zone.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            installed: None,
            endpoints: BTreeMap::new(),
            services: HashMap::new(),
            engines: HashMap::new(),
            rates: HashMap::new(),
            flows: HashMap::new(),
            turned: HashMap::new(),
            places: HashMap::new(),
            sightings: Vec::new(),
            next: 0,
        }
    }

    /// Takes over what the engines of a service are.
    pub fn set_engine(&mut self, service: &ServiceId, engine: EngineKind) {
        self.engines.insert(service.clone(), engine);
    }

    /// Takes over the platform's list; returns what changed, for the log.
    pub fn install(&mut self, now: Instant, list: Vec<ListedEndpoint>) -> Vec<ListChange> {
        self.installed = Some(now);
        let mut changes = Vec::new();
        let mut services: HashMap<ServiceId, Vec<EndpointId>> = HashMap::new();
        for listed in list {
            let ids = services.entry(listed.service.clone()).or_default();
            if ids.contains(&listed.id) {
                continue;
            }
            ids.push(listed.id.clone());
            match self.endpoints.get_mut(&listed.id) {
                Some(known) if known.listed.address == listed.address => {
                    if known.listed.leaving != listed.leaving {
                        changes.push(ListChange::new(&listed));
                    }
                    // An endpoint that turned out to be replaced stays unused while the list lags.
                    known.listed = listed;
                }
                _ => {
                    changes.push(ListChange::new(&listed));
                    let id = listed.id.clone();
                    self.endpoints.insert(id, Endpoint::new(now, listed));
                }
            }
        }
        let known: std::collections::HashSet<_> = services.values().flatten().collect();
        self.endpoints.retain(|id, endpoint| {
            let keeps = known.contains(id);
            if !keeps {
                changes.push(ListChange {
                    endpoint: id.clone(),
                    service: endpoint.listed.service.clone(),
                    state: "gone",
                });
            }
            keeps
        });
        self.services = services;
        changes
    }

    /// Records that the platform's list was the same at a later time.
    pub fn confirm(&mut self, read: Instant) {
        self.installed = Some(read);
    }

    fn of(&self, service: &ServiceId) -> impl Iterator<Item = &Endpoint> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Chooses the endpoint with the shortest expected time to the first byte.
    pub fn choose(&self, now: Instant, want: &Want<'_>) -> Result<Choice, NoChoice> {
        if self.yields(now, want) {
            return Err(NoChoice::Yields);
        }
        let rate = self.rates.get(want.service).copied().unwrap_or(READ_RATE);
        if want.draw < self.excess(want, rate) {
            return Err(NoChoice::Full);
        }
        let readers = self.readers(want, rate);
        let is_long = want.prompt >= LONG_PROMPT;
        let suits = |e: &Endpoint| readers.is_empty() || is_long == readers.contains(&e.hash);
        let holders = self.holders(want, suits);
        let mut best: Option<(f64, &Endpoint, u32, Option<SocketAddr>)> = None;
        for endpoint in self.of(want.service).filter(|e| e.is_usable()) {
            if want.excluded.contains(&endpoint.listed.id) {
                continue;
            }
            let known = endpoint.cache.cached(want.parts);
            let mut cached = known;
            if holders.home == Some(endpoint.hash) {
                // All instances send the part there, so it is likely held already.
                cached = cached.max(likely(want.parts));
            }
            let source = holders.source(endpoint, known.min(shared(want.parts)));
            let copied = source.map_or(0, |source| source.tokens.saturating_sub(cached));
            let unread = want.prompt.saturating_sub(cached + copied);
            let mut score = endpoint.delay(now, unread, rate, &self.zone);
            let again = shared(want.parts).saturating_sub(cached + copied);
            score += f64::from(again) / rate * AGAIN_WEIGHT;
            if copied > 0 {
                score += f64::from(copied) / holders.rate * COPY_WEIGHT;
            }
            if !suits(endpoint) {
                score += if is_long { KEPT_DELAY } else { READER_DELAY };
            }
            if best.is_none_or(|(least, ..)| score < least) {
                let source = source.map(|source| source.address);
                best = Some((score, endpoint, unread, source));
            }
        }
        let (score, endpoint, unread, source) = best.ok_or(NoChoice::Nowhere)?;
        let expected = Duration::from_secs_f64(score / 1_000.0);
        if expected > want.left && !endpoint.is_doubtful(now) {
            return Err(NoChoice::Late { expected });
        }
        Ok(Choice {
            listed: endpoint.listed.clone(),
            prompt: want.prompt,
            unread,
            own: want.prompt.saturating_sub(shared(want.parts)),
            source,
            expected,
            age: self
                .installed
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        })
    }

    /// Records a request that was turned away for lack of room, before which less urgent ones with
    /// long prompts should have been.
    pub fn turned_away(&mut self, now: Instant, service: &ServiceId, urgency: u8) {
        let recent = self.turned.entry(service.clone()).or_insert((now, urgency));
        let is_over = now.saturating_duration_since(recent.0) >= YIELD_TIME;
        if is_over || urgency <= recent.1 {
            *recent = (now, urgency);
        }
    }

    /// Returns the part of the long requests that the endpoints have no capacity for.
    fn excess(&self, want: &Want<'_>, rate: f64) -> f64 {
        if want.prompt < LONG_PROMPT || want.urgency == 0 || want.total.long <= 0.0 {
            return 0.0;
        }
        let usable = self.of(want.service).filter(|e| e.is_usable());
        let (count, slots) = usable.fold((0.0, 0.0), |(count, slots), e| {
            (count + 1.0, slots + f64::from(e.listed.slots))
        });
        // Nobody is turned away while the batches have room.
        if want.total.calls < slots * BUSY_PLACES {
            return 0.0;
        }
        let capacity = count * rate * 1_000.0 * FULL_USE;
        let excess = want.total.long + want.total.short - capacity;
        (excess / want.total.long).clamp(0.0, MAX_EXCESS)
    }

    /// Records the tokens of a request that was turned away, which its service should have capacity for.
    pub fn missed(&mut self, now: Instant, want: &Want<'_>) {
        let flows = self.flows.entry(want.service.clone());
        let flows = flows.or_insert_with(|| Flows::new(now));
        let own = want.prompt.saturating_sub(shared(want.parts));
        flows.long.add(now, f64::from(own));
    }

    /// Tells whether a long request gives way to more urgent ones that found no room.
    fn yields(&self, now: Instant, want: &Want<'_>) -> bool {
        let turned = self.turned.get(want.service);
        let is_long = want.prompt >= LONG_PROMPT;
        turned.is_some_and(|(at, urgency)| {
            let is_recent = now.saturating_duration_since(*at) < YIELD_TIME;
            is_long && is_recent && want.urgency > *urgency
        })
    }

    /// Returns the endpoints, by their hashes, that read long prompts, so that the others serve short
    /// requests without pauses; none if the service has too few endpoints or no such mix.
    ///
    /// All instances order the endpoints alike and know the same total, so they agree. Reclaimable
    /// endpoints come first, because long requests have the most time to be repeated.
    fn readers(&self, want: &Want<'_>, rate: f64) -> Vec<u64> {
        let mut usable: Vec<_> = self
            .of(want.service)
            .filter(|e| e.is_usable())
            .map(|e| (!e.listed.reclaimable, e.hash))
            .collect();
        if usable.len() < 2 || want.total.long <= 0.0 || want.total.short <= 0.0 {
            return Vec::new();
        }
        usable.sort_unstable();
        let long = want.total.long / (rate * 1_000.0 * READER_USE);
        let short = want.total.short / (rate * 1_000.0 * KEPT_USE);
        // Under overload both sides give way in proportion.
        let squeeze = (usable.len() as f64 / (long.ceil() + short)).min(1.0);
        let count = (long.ceil() * squeeze).round() as usize;
        let count = count.clamp(1, usable.len() - 1);
        usable[..count].iter().map(|(_, hash)| *hash).collect()
    }

    /// Returns the work that the own callers ask of services.
    pub fn works(&self, now: Instant) -> Works {
        let work = |(service, flows): (&ServiceId, &Flows)| {
            let calls = self.of(service).map(|e| e.own.len()).sum::<usize>();
            let work = Work {
                long: flows.long.get(now),
                short: flows.short.get(now),
                calls: calls as f64,
                rate: self.rates.get(service).copied().unwrap_or(READ_RATE),
            };
            (service.clone(), work)
        };
        self.flows.iter().map(work).collect()
    }

    /// Returns where the shared parts of a prompt are taken to be.
    ///
    /// Each instance sees a session too rarely to know from its own requests where it is held, so the
    /// endpoint that wins the hash is its home on all of them. The runner-up was the home before the
    /// winner came, and likely still holds the parts.
    fn holders(&self, want: &Want<'_>, suits: impl Fn(&Endpoint) -> bool) -> Holders {
        let mut holders = Holders::default();
        let shared_parts = &want.parts[..want.parts.len().saturating_sub(1)];
        let Some(part) = shared_parts.last() else {
            return holders;
        };
        let usable = self.of(want.service).filter(|e| e.is_usable());
        let mut homes: Vec<&Endpoint> = usable.filter(|e| suits(e)).collect();
        affinity::rank(part.id, &mut homes, |endpoint| endpoint.hash);
        homes.truncate(2);
        holders.home = homes.first().map(|endpoint| endpoint.hash);
        let engine = self.engines.get(want.service);
        let Some(rate) = engine.and_then(|engine| engine.copied) else {
            return holders;
        };
        holders.rate = rate;
        // An endpoint that leaves can still be copied from.
        let others = self.of(want.service).filter(|e| !e.gone);
        let mut sources: Vec<Source> = others
            .map(|endpoint| Source::new(endpoint, endpoint.cache.cached(shared_parts)))
            .filter(|source| source.tokens > 0)
            .collect();
        let guessed = homes.iter();
        sources.extend(guessed.map(|endpoint| Source::new(endpoint, likely(want.parts))));
        holders.sources = sources;
        holders
    }

    /// Records a call that is about to be sent.
    pub fn start(&mut self, now: Instant, choice: &Choice, parts: &[PromptPart]) -> Ticket {
        self.next += 1;
        let flows = self
            .flows
            .entry(choice.listed.service.clone())
            .or_insert_with(|| Flows::new(now));
        let prompt: u32 = choice.prompt;
        let flow = match prompt >= LONG_PROMPT {
            true => &mut flows.long,
            false => &mut flows.short,
        };
        flow.add(now, f64::from(choice.unread));
        let ticket = Ticket(self.next);
        let limit = self.cache_limit(&choice.listed.service);
        if let Some(endpoint) = self.endpoints.get_mut(&choice.listed.id) {
            endpoint.own.push(OwnCall {
                ticket,
                since: now,
                unread: choice.unread,
                certain: choice.own.min(choice.unread),
                expected: choice.expected,
                answered: false,
            });
            let common = &parts[..parts.len().saturating_sub(1)];
            let tokens = shared(parts);
            if tokens >= NOTABLE_TOKENS && endpoint.cache.cached(common) < tokens {
                self.sightings.push(Sighting {
                    endpoint: endpoint.hash,
                    parts: common.to_vec(),
                });
            }
            endpoint.cache.add(parts, limit);
            self.places.insert(ticket, choice.listed.id.clone());
        }
        ticket
    }

    /// Returns how many tokens an engine of a service is taken to hold for later requests.
    fn cache_limit(&self, service: &ServiceId) -> u64 {
        let engine = self.engines.get(service);
        let memory = engine.map_or(DEFAULT_MEMORY, |engine| engine.memory);
        (memory as f64 * CACHE_SHARE) as u64
    }

    /// Takes the shared parts that were sent to engines since the last call, for other instances.
    pub fn take_sightings(&mut self) -> Vec<Sighting> {
        std::mem::take(&mut self.sightings)
    }

    /// Takes in which parts other instances sent to engines.
    pub fn learn(&mut self, sightings: &[Sighting]) {
        for sighting in sightings {
            let mut endpoints = self.endpoints.values();
            let Some(known) = endpoints.find(|e| e.hash == sighting.endpoint) else {
                continue;
            };
            let limit = self.cache_limit(&known.listed.service);
            let id = known.listed.id.clone();
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.cache.add(&sighting.parts, limit);
            }
        }
    }

    /// Records the first byte of an answer, and whether the endpoint ran the request for it.
    pub fn answered(&mut self, now: Instant, ticket: Ticket, load: Option<StatedLoad>, ran: bool) {
        let Some(endpoint) = self.places.get(&ticket) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if let Some(load) = load {
            endpoint.load = Some((load, now, endpoint.own.len()));
        }
        let alone = endpoint.own.iter().filter(|c| !c.answered).count() == 1;
        let Some(call) = endpoint.own.iter_mut().find(|c| c.ticket == ticket) else {
            return;
        };
        let first = !std::mem::replace(&mut call.answered, true);
        if ran && first && alone && call.certain >= OBSERVED_TOKENS {
            let took = now.saturating_duration_since(call.since).as_secs_f64() * 1_000.0;
            // The engine read at least what no other request shares.
            let seen = f64::from(call.certain) / took.max(1.0);
            let seen = seen.clamp(*READ_RATES.start(), *READ_RATES.end());
            let service = endpoint.listed.service.clone();
            let rate = self.rates.entry(service).or_insert(READ_RATE);
            let seen = seen.min(*rate * MOST_FASTER);
            *rate += match seen > *rate {
                true => (seen - *rate) * FASTER_WEIGHT,
                false => (seen - *rate) * RATE_FADES,
            };
        }
    }

    /// Tells whether the endpoint of a call is on the list as leaving.
    pub fn leaves(&self, ticket: Ticket) -> bool {
        let endpoint = self.places.get(&ticket);
        let endpoint = endpoint.and_then(|id| self.endpoints.get(id));
        endpoint.is_some_and(|endpoint| endpoint.listed.leaving)
    }

    /// Records that an endpoint closes the connection after an answer, as one that leaves does before
    /// the list tells.
    pub fn closes(&mut self, now: Instant, ticket: Ticket) {
        let endpoint = self.places.get(&ticket);
        if let Some(endpoint) = endpoint.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint
                .closed
                .retain(|at| now.saturating_duration_since(*at) < LEAVING_FADES);
            endpoint.closed.push(now);
        }
    }

    /// Records the end of a call; a second end of the same call changes nothing.
    pub fn end(&mut self, now: Instant, ticket: Ticket, end: CallEnd) {
        let Some(id) = self.places.remove(&ticket) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.own.retain(|call| call.ticket != ticket);
        match end {
            CallEnd::Served => endpoint.failures = endpoint.recent_failures(now) * 0.5,
            CallEnd::Cancelled => return,
            CallEnd::Replaced => endpoint.gone = true,
            CallEnd::Refused => endpoint.fail(now, 0.3),
            CallEnd::Failed => endpoint.fail(now, 0.5),
            CallEnd::Broken | CallEnd::Unreachable => {
                // A crashed engine holds nothing any more.
                endpoint.cache = PromptCache::default();
                endpoint.fail(now, 1.0);
            }
        }
        endpoint.failed = now;
    }
}

/// A change on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// What it is now.
    pub state: &'static str,
}

impl ListChange {
    fn new(listed: &ListedEndpoint) -> Self {
        Self {
            endpoint: listed.id.clone(),
            service: listed.service.clone(),
            state: if listed.leaving { "leaving" } else { "ready" },
        }
    }
}

/// Where shared parts of a prompt are taken to be.
#[derive(Debug, Default)]
struct Holders {
    /// The endpoint, by its hash, where they belong.
    home: Option<u64>,
    /// Tokens that are copied between engines in a millisecond.
    rate: f64,
    /// Endpoints to copy from: known ones first, then guessed ones.
    sources: Vec<Source>,
}

/// An engine from which parts can be copied.
#[derive(Clone, Copy, Debug)]
struct Source {
    hash: u64,
    address: SocketAddr,
    /// Tokens that it is taken to hold.
    tokens: u32,
}

impl Source {
    fn new(endpoint: &Endpoint, tokens: u32) -> Self {
        Self {
            hash: endpoint.hash,
            address: endpoint.listed.address,
            tokens,
        }
    }
}

impl Holders {
    /// Returns the best source for an endpoint that is known to hold some tokens itself.
    fn source(&self, endpoint: &Endpoint, held: u32) -> Option<&Source> {
        let others = self.sources.iter().filter(|s| s.hash != endpoint.hash);
        // The first of equal ones is a known one.
        others
            .filter(|s| s.tokens > held)
            .reduce(|best, s| if s.tokens > best.tokens { s } else { best })
    }
}

/// Returns the tokens that the home of a prompt's shared parts is taken to hold.
fn likely(parts: &[PromptPart]) -> u32 {
    (f64::from(shared(parts)) * HOME_HELD) as u32
}

/// Returns the tokens of the parts that other requests may share.
fn shared(parts: &[PromptPart]) -> u32 {
    let count = parts.len().saturating_sub(1);
    parts[..count].iter().map(|part| part.tokens).sum()
}

impl Endpoint {
    fn new(now: Instant, listed: ListedEndpoint) -> Self {
        Self {
            hash: affinity::hash_name(listed.id.as_str()),
            listed,
            own: Vec::new(),
            load: None,
            failures: 0.0,
            failed: now,
            closed: Vec::new(),
            gone: false,
            cache: PromptCache::default(),
        }
    }

    fn is_usable(&self) -> bool {
        !self.listed.leaving && !self.gone
    }

    fn unread(&self) -> u64 {
        let waiting = self.own.iter().filter(|call| !call.answered);
        waiting.map(|call| u64::from(call.unread)).sum()
    }

    fn recent_failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failed).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_FADES.as_secs_f64())
    }

    fn fail(&mut self, now: Instant, weight: f64) {
        self.failures = (self.recent_failures(now) + weight).min(4.0);
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.own.iter().any(|call| {
            let limit = call.expected.mul_f64(SILENT_FACTOR).max(SILENT);
            !call.answered && now.saturating_duration_since(call.since) > limit
        })
    }

    /// Tells whether the expected delay is a guess from failures rather than from load.
    fn is_doubtful(&self, now: Instant) -> bool {
        self.is_silent(now) || self.recent_failures(now) > 0.1
    }

    /// Returns how many requests it is taken to run and to queue.
    fn busy(&self, now: Instant) -> (f64, f64) {
        let own = self.own.len() as f64;
        let (running, waiting) = match self.load {
            Some((load, at, then)) if now.saturating_duration_since(at) < STALE => {
                let since = own - then as f64;
                let running = f64::from(load.running) + since;
                (running.max(own), f64::from(load.waiting))
            }
            _ => (own, 0.0),
        };
        let slots = f64::from(self.listed.slots.max(1));
        (running.min(slots), waiting + (running - slots).max(0.0))
    }

    /// Returns the expected time to the first byte in milliseconds.
    fn delay(&self, now: Instant, unread: u32, rate: f64, zone: &ZoneId) -> f64 {
        let (running, waiting) = self.busy(now);
        let tokens = self.unread() as f64 + f64::from(unread);
        let use_share = running / f64::from(self.listed.slots.max(1));
        let mut delay =
            tokens / rate + FULL_DELAY * use_share * use_share + WAITING_DELAY * waiting;
        if self.listed.zone != *zone {
            delay += ZONE_DELAY;
        }
        delay += FAILURE_DELAY * self.recent_failures(now);
        let recent = |at: &&Instant| now.saturating_duration_since(**at) < LEAVING_FADES;
        delay += match self.closed.iter().filter(recent).count() {
            0 => 0.0,
            // A single one happens at sound endpoints, too.
            1 => CLOSING_DELAY,
            _ => LEAVING_DELAY,
        };
        if self.is_silent(now) {
            delay += SILENT_DELAY;
        }
        delay
    }
}
