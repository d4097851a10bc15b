//! Choice of an endpoint for a request, from what this instance has seen of each endpoint.
//!
//! The decision is pure. It answers these load patterns (`docs/platform.md`):
//!
//! * A burst of long prompts: prompts that an engine has still to read delay everybody on it, so the
//!   unread tokens sent there count as waiting time, and short requests pass to other engines.
//! * Many instances, each of which sees few of the requests at an engine: what the others have there counts
//!   like the own requests, so that no engine is crowded while others are free. Few instances see enough
//!   themselves, and what they are told is older than what engines state in answers.
//! * Sessions that share a prompt: an engine that read the shared part answers sooner, as long as
//!   its queue is short; an unknown part is given a home by rendezvous hashing, on which all
//!   instances agree without a message.
//! * A zone of engines that is taken back during a burst: what the remaining ones cannot read is turned
//!   away at once, by long requests, since engines that read all the time finish no stream.
//! * Load beyond capacity: long requests give way while more urgent ones find no room, so that no
//!   kind is turned away for one that is less urgent.
//! * Endpoints that leave or have no room for a while: what their answers say counts at once, before the
//!   list tells it; nothing is sent there, and the other endpoints get the requests.
//! * Endpoints that fail, refuse or fall silent: recent failures and unanswered calls count as
//!   waiting time, which fades, so that an endpoint is neither used at once nor lost for good.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::dialect::AnswerFacts;
use crate::dialect::ListedEndpoint;
use crate::dialect::PromptPart;
use crate::fleet_endpoint::Endpoint;
use crate::fleet_endpoint::OwnCall;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::prefix_hint::MIN_HINT_TOKENS;
use crate::prefix_hint::PrefixHint;
use crate::prompt_source::PromptHolders;
use crate::prompt_source::expected_held_tokens;
use crate::prompt_source::shared_tokens;
use crate::route_table::EngineKind;
use crate::work::DEFAULT_READ_RATE;
use crate::work::EngineBacklog;
use crate::work::EngineBacklogs;
use crate::work::LONG_PROMPT_TOKENS;
use crate::work::Rate;
use crate::work::Work;
use crate::work::WorkByService;
use crate::work::WorkReport;

pub use crate::fleet_endpoint::CallEnd;

/// Bounds of an observed reading rate, against distortion by queues and by cached prompts.
const READ_RATES: std::ops::RangeInclusive<f64> = 5.0..=1_000.0;

/// Weight of an observation above the known reading rate.
const FASTER_WEIGHT: f64 = 0.3;

/// Times the known rate that an observation counts at most; a prompt that the engine held already, such
/// as that of a caller who asks again, seems to be read at any rate.
const MOST_FASTER: f64 = 2.0;

/// Weight of an observation below the known reading rate: requests of other instances make most of them too
/// low, all the more under load, so each proves little.
const SLOWER_WEIGHT: f64 = 0.001;

/// Fewest unread tokens from which the reading rate is observed; below it the steps of the running
/// requests dominate.
const OBSERVED_TOKENS: u32 = 2_000;

/// Disadvantage in milliseconds of an engine that reads long prompts, for a short request: each
/// chunk that the engine reads delays all events there.
const READER_DELAY: f64 = 250.0;

/// Disadvantage in milliseconds of an engine that is kept free of long prompts, for a long one.
const KEPT_DELAY: f64 = 1_000.0;

/// Use by short prompts up to which another engine is not needed for them.
const KEPT_USE: f64 = 0.3;

/// Time for which long requests give way after a more urgent one was turned away.
const YIELD_TIME: Duration = Duration::from_secs(1);

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

/// Part of an engine's memory that is taken to hold shared prompts.
const CACHE_SHARE: f64 = 0.5;

/// Memory of an engine in tokens, where none is stated.
const DEFAULT_MEMORY: u64 = 200_000;

/// Largest random disadvantage in milliseconds. Instances that know the same would all choose the same
/// endpoint among equal ones; the differences that this hides are below the steps of an engine.
const SPREAD_DELAY: f64 = 10.0;

/// Instances from which one sees so few of the requests at an engine that what the others have there orders
/// engines, and that equal choices are spread; those of fewer see a tenth and more, and the order that
/// their own knowledge gives is worth more (`docs/measurements.md`).
const WIDE_FLEET: u32 = 33;

/// Tells whether a fleet of so many instances is a wide one; 0 stands for an unknown number.
pub fn is_wide(entries: u32) -> bool {
    entries >= WIDE_FLEET
}

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
    /// A random number that orders endpoints which are equally good, in a wide fleet.
    pub spread: u64,
    /// Whether the fleet is wide ([`is_wide`]).
    pub is_wide: bool,
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
    /// Every endpoint that stays asked to be left alone for a time.
    Paused {
        /// Time until the first of them takes requests again.
        wait: Duration,
    },
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

/// A call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// What this instance knows about all endpoints.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    /// When the list arrived.
    installed: Option<Instant>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
    engines: HashMap<ServiceId, EngineKind>,
    /// Reading rates in tokens a millisecond.
    rates: HashMap<ServiceId, f64>,
    flows: HashMap<ServiceId, Flows>,
    /// The most urgent request that was turned away lately, and when.
    turned: HashMap<ServiceId, (Instant, u8)>,
    places: HashMap<Ticket, EndpointId>,
    /// Shared parts that were sent to engines which did not hold them.
    sightings: Vec<PrefixHint>,
    /// What this instance told last, which is in the sum that it hears.
    told: EngineBacklogs,
    /// The newest sum over all instances.
    heard: Option<Arc<WorkReport>>,
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
            told: EngineBacklogs::new(),
            heard: None,
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
        let mut seen: HashSet<(ServiceId, EndpointId)> = HashSet::new();
        for listed in list {
            if !seen.insert((listed.service.clone(), listed.id.clone())) {
                continue;
            }
            let ids = services.entry(listed.service.clone()).or_default();
            ids.push(listed.id.clone());
            match self.endpoints.get_mut(&listed.id) {
                Some(known) if known.listed.address == listed.address => {
                    if known.listed.leaving != listed.leaving {
                        changes.push(ListChange::new(&listed));
                    }
                    // An endpoint that turned out to be replaced stays unused while the list lags.
                    known.relist(listed);
                }
                _ => {
                    changes.push(ListChange::new(&listed));
                    let id = listed.id.clone();
                    self.endpoints.insert(id, Endpoint::new(now, listed));
                }
            }
        }
        let known: HashSet<_> = services.values().flatten().collect();
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

    fn of(&self, service: &ServiceId) -> impl Iterator<Item = &Endpoint> + Clone {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Chooses the endpoint with the shortest expected time to the first byte.
    pub fn choose(&self, now: Instant, want: &Want<'_>) -> Result<Choice, NoChoice> {
        if self.yields(now, want) {
            return Err(NoChoice::Yields);
        }
        let rate = self
            .rates
            .get(want.service)
            .copied()
            .unwrap_or(DEFAULT_READ_RATE);
        if want.draw < self.excess(now, want, rate) {
            return Err(NoChoice::Full);
        }
        let readers = self.readers(now, want, rate);
        let is_long = want.prompt >= LONG_PROMPT_TOKENS;
        let suits = |e: &Endpoint| readers.is_empty() || is_long == readers.contains(&e.hash);
        let copied = self.engines.get(want.service).and_then(|e| e.copied);
        let holders = PromptHolders::find(now, want.parts, copied, self.of(want.service), suits);
        let mut best: Option<(f64, f64, &Endpoint, u32, Option<SocketAddr>)> = None;
        for endpoint in self.of(want.service).filter(|e| e.is_usable(now)) {
            if want.excluded.contains(&endpoint.listed.id) {
                continue;
            }
            let known = endpoint.cache.cached(want.parts);
            let mut cached = known;
            if holders.home == Some(endpoint.hash) {
                // All instances send the part there, so it is likely held already.
                cached = cached.max(expected_held_tokens(want.parts));
            }
            let source = holders.source(endpoint, known.min(shared_tokens(want.parts)));
            let copied = source.map_or(0, |source| source.tokens.saturating_sub(cached));
            let unread = want.prompt.saturating_sub(cached + copied);
            let mut score = endpoint.delay(now, unread, rate, &self.zone);
            let again = shared_tokens(want.parts).saturating_sub(cached + copied);
            score += f64::from(again) / rate * AGAIN_WEIGHT;
            if copied > 0 {
                score += f64::from(copied) / holders.copy_rate * COPY_WEIGHT;
            }
            if !suits(endpoint) {
                score += if is_long { KEPT_DELAY } else { READER_DELAY };
            }
            let mut place = score;
            if want.is_wide {
                let draw = affinity::mix(want.spread, endpoint.hash) as f64 / u64::MAX as f64;
                score += draw * SPREAD_DELAY;
                place = score + endpoint.crowding(now, rate);
            }
            if best.is_none_or(|(least, ..)| place < least) {
                let source = source.map(|source| source.address);
                best = Some((place, score, endpoint, unread, source));
            }
        }
        let (_, score, endpoint, unread, source) = best.ok_or_else(|| self.nowhere(now, want))?;
        let expected = Duration::from_secs_f64(score / 1_000.0);
        if expected > want.left && !endpoint.is_doubtful(now) {
            return Err(NoChoice::Late { expected });
        }
        Ok(Choice {
            listed: endpoint.listed.clone(),
            prompt: want.prompt,
            unread,
            own: want.prompt.saturating_sub(shared_tokens(want.parts)),
            source,
            expected,
            age: self
                .installed
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        })
    }

    /// Returns why no endpoint can be chosen at all.
    fn nowhere(&self, now: Instant, want: &Want<'_>) -> NoChoice {
        let ends = self.of(want.service).filter_map(Endpoint::resumes);
        let wait = ends.min().map(|end| end.saturating_duration_since(now));
        match wait.filter(|wait| !wait.is_zero()) {
            Some(wait) => NoChoice::Paused { wait },
            None => NoChoice::Nowhere,
        }
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
    fn excess(&self, now: Instant, want: &Want<'_>, rate: f64) -> f64 {
        if want.prompt < LONG_PROMPT_TOKENS || want.urgency == 0 || want.total.long <= 0.0 {
            return 0.0;
        }
        let usable = self.of(want.service).filter(|e| e.is_usable(now));
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
        let own = want.prompt.saturating_sub(shared_tokens(want.parts));
        flows.long.add(now, f64::from(own));
    }

    /// Tells whether a long request gives way to more urgent ones that found no room.
    fn yields(&self, now: Instant, want: &Want<'_>) -> bool {
        let turned = self.turned.get(want.service);
        let is_long = want.prompt >= LONG_PROMPT_TOKENS;
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
    fn readers(&self, now: Instant, want: &Want<'_>, rate: f64) -> Vec<u64> {
        let mut usable: Vec<_> = self
            .of(want.service)
            .filter(|e| e.is_usable(now))
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
    pub fn works(&self, now: Instant) -> WorkByService {
        let work = |(service, flows): (&ServiceId, &Flows)| {
            let calls = self.of(service).map(|e| e.own.len()).sum::<usize>();
            let work = Work {
                long: flows.long.get(now),
                short: flows.short.get(now),
                calls: calls as f64,
                rate: self.rates.get(service).copied().unwrap_or(0.0),
            };
            (service.clone(), work)
        };
        self.flows.iter().map(work).collect()
    }

    /// Returns what to tell other instances about the own requests.
    pub fn tell(&mut self, now: Instant) -> WorkReport {
        let busy = self.endpoints.values().filter(|e| !e.own.is_empty());
        self.told = busy.map(|e| (e.hash, e.at_engine())).collect();
        WorkReport {
            by_service: self.works(now),
            engines: self.told.clone(),
        }
    }

    /// Takes in what all instances told, this one included.
    pub fn hear(&mut self, now: Instant, sum: &Arc<WorkReport>) {
        if self
            .heard
            .as_ref()
            .is_some_and(|heard| Arc::ptr_eq(heard, sum))
        {
            return;
        }
        self.heard = Some(sum.clone());
        for endpoint in self.endpoints.values_mut() {
            let all = sum.engines.get(&endpoint.hash).copied();
            let own = self.told.get(&endpoint.hash).copied();
            let (all, own) = (all.unwrap_or_default(), own.unwrap_or_default());
            let others = EngineBacklog {
                calls: all.calls.saturating_sub(own.calls),
                unread: all.unread.saturating_sub(own.unread),
            };
            endpoint.others = Some((others, now));
        }
    }

    /// Records a call that is about to be sent.
    pub fn start(&mut self, now: Instant, choice: &Choice, parts: &[PromptPart]) -> Ticket {
        self.next += 1;
        let flows = self
            .flows
            .entry(choice.listed.service.clone())
            .or_insert_with(|| Flows::new(now));
        let prompt: u32 = choice.prompt;
        let flow = match prompt >= LONG_PROMPT_TOKENS {
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
            let tokens = shared_tokens(parts);
            if tokens >= MIN_HINT_TOKENS && endpoint.cache.cached(common) < tokens {
                self.sightings.push(PrefixHint {
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
    pub fn take_sightings(&mut self) -> Vec<PrefixHint> {
        std::mem::take(&mut self.sightings)
    }

    /// Takes in which parts other instances sent to engines.
    pub fn learn(&mut self, sightings: &[PrefixHint]) {
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

    /// Records the head of an answer, and whether the endpoint ran the request for it.
    pub fn answered(&mut self, now: Instant, ticket: Ticket, facts: &AnswerFacts, ran: bool) {
        let Some(endpoint) = self.places.get(&ticket) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        endpoint.note_wishes(now, facts.leaving, facts.pause);
        if let Some(load) = facts.load {
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
            let rate = self.rates.entry(service).or_insert(DEFAULT_READ_RATE);
            let seen = seen.min(*rate * MOST_FASTER);
            let weight = match seen > *rate {
                true => FASTER_WEIGHT,
                false => SLOWER_WEIGHT,
            };
            *rate += (seen - *rate) * weight;
        }
    }

    /// Tells whether an endpoint is on the list, and whether it will stop soon.
    pub fn presence(&self, endpoint: &EndpointId) -> Presence {
        match self.endpoints.get(endpoint) {
            None => Presence::Unlisted,
            Some(known) if known.leaves() => Presence::Leaving,
            Some(_) => Presence::Listed,
        }
    }

    /// Tells whether the endpoint of a call will stop soon.
    pub fn leaves(&self, ticket: Ticket) -> bool {
        let endpoint = self.places.get(&ticket);
        let endpoint = endpoint.and_then(|id| self.endpoints.get(id));
        endpoint.is_some_and(Endpoint::leaves)
    }

    /// Records that an endpoint closes the connection after an answer, as one that leaves does before
    /// the list tells.
    pub fn closes(&mut self, now: Instant, ticket: Ticket) {
        let endpoint = self.places.get(&ticket);
        if let Some(endpoint) = endpoint.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.note_close(now);
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
        endpoint.end(now, end);
    }
}

/// Place of an endpoint on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It takes requests.
    Listed,
    /// It will stop soon.
    Leaving,
    /// It is not on the list.
    Unlisted,
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
