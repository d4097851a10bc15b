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
use crate::dialect::ListedEndpoint;
use crate::dialect::PromptPart;
use crate::dialect::ResponseInfo;
use crate::fleet_endpoint::Endpoint;
use crate::fleet_endpoint::LocalCall;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::prompt_source::Holders;
use crate::prompt_source::likely;
use crate::prompt_source::shared;
use crate::route_table::EngineSpec;
use crate::sighting::NOTABLE_TOKENS;
use crate::sighting::Sighting;
use crate::work::AtEngine;
use crate::work::AtEngines;
use crate::work::LONG_PROMPT;
use crate::work::READ_RATE;
use crate::work::Rate;
use crate::work::Told;
use crate::work::Work;
use crate::work::Works;

pub use crate::fleet_endpoint::CallOutcome;

/// Bounds of an observed reading rate, against distortion by queues and by cached prompts.
const PREFILL_RATE_BOUNDS: std::ops::RangeInclusive<f64> = 5.0..=1_000.0;

/// Weight of an observation above the known reading rate.
const RATE_INCREASE_WEIGHT: f64 = 0.3;

/// Times the known rate that an observation counts at most; a prompt that the engine held already, such
/// as that of a caller who asks recomputed, seems to be read at any rate.
const MAX_RATE_INCREASE: f64 = 2.0;

/// Weight of an observation below the known reading rate: requests of other instances make most of them too
/// low, all the more under load, so each proves little.
const RATE_DECREASE_WEIGHT: f64 = 0.001;

/// Fewest unread tokens from which the reading rate is observed; below it the steps of the running
/// requests dominate.
const MIN_RATE_SAMPLE_TOKENS: u32 = 2_000;

/// Disadvantage in milliseconds of an engine that reads long prompts, for a short request: each
/// chunk that the engine reads delays all events there.
const LONG_PROMPT_ENDPOINT_PENALTY_MS: f64 = 250.0;

/// Disadvantage in milliseconds of an engine that is kept free of long prompts, for a long one.
const SHORT_PROMPT_ENDPOINT_PENALTY_MS: f64 = 1_000.0;

/// Use by short prompts up to which another engine is not needed for them.
const SHORT_PROMPT_UTILIZATION: f64 = 0.3;

/// Time for which long requests give way after a more urgent one was turned away.
const YIELD_TIME: Duration = Duration::from_secs(1);

/// Times the reading time of a shared part that reading it recomputed counts for besides, since it costs
/// the other requests of the engine as much.
const RECOMPUTE_WEIGHT: f64 = 2.0;

/// Times the copying time of a shared part that copying it counts for: the link carries one copy after
/// the other, and the copy takes memory from other prompts.
const COPY_WEIGHT: f64 = 3.0;

/// Part of an engine's time that reading may take while its streams still end in time; the other half is
/// for their steps.
const MAX_PREFILL_UTILIZATION: f64 = 0.5;

/// Part of the places that is taken before requests are turned away for lack of reading capacity.
const BUSY_SLOT_FRACTION: f64 = 0.5;

/// Largest part of the long requests that is turned away, so that no kind is without service.
const MAX_SHED_FRACTION: f64 = 0.6;

/// Use by long prompts up to which another engine is not needed for them. While an engine reads, each
/// token of its other requests takes a whole chunk's time, so half of the time must be left for them.
const LONG_PROMPT_UTILIZATION: f64 = 0.35;

/// Part of an engine's memory that is taken to hold shared prompts.
const CACHE_FRACTION: f64 = 0.5;

/// Memory of an engine in tokens, where none is stated.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;

/// Largest random disadvantage in milliseconds. Instances that know the same would all choose the same
/// endpoint among equal ones; the differences that this hides are below the steps of an engine.
const MAX_JITTER_MS: f64 = 10.0;

/// Instances from which one sees so few of the requests at an engine that what the others have there orders
/// engines, and that equal choices are spread; those of fewer see a tenth and more, and the order that
/// their own knowledge gives is worth more (`docs/measurements.md`).
const LARGE_CLUSTER_INSTANCES: u32 = 33;

/// Tells whether a fleet of so many instances is a wide one; 0 stands for an unknown number.
pub fn is_large_cluster(instances: u32) -> bool {
    instances >= LARGE_CLUSTER_INSTANCES
}

/// A request that asks for an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Prompt tokens.
    pub prompt: u32,
    /// Parts of the prompt in order.
    pub parts: &'a [PromptPart],
    /// Endpoints that failed it before.
    pub excluded: &'a [EndpointId],
    /// Time that is left for its first byte.
    pub time_left: Duration,
    /// Work that all callers ask of the service.
    pub total: Work,
    /// Place among all requests, 0 for the most urgent.
    pub urgency: u8,
    /// A random number below 1, by which it is among the requests that are turned away.
    pub draw: f64,
    /// A random number that orders endpoints which are equally good, in a wide fleet.
    pub tie_breaker: u64,
    /// Whether the fleet is wide ([`is_large_cluster`]).
    pub is_large_cluster: bool,
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
    pub unshared: u32,
    /// Another engine that likely holds shared parts which this one lacks.
    pub source: Option<SocketAddr>,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// Age of the list that it was chosen from.
    pub list_age: Duration,
}

/// Why a request has no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// The service has no endpoint that takes requests.
    Nowhere,
    /// Every endpoint that stays asked to be left alone for a time.
    Paused {
        /// Time until the first of them takes requests recomputed.
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
pub struct CallId(u64);

/// What this instance knows about all endpoints.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    /// When the list arrived.
    list_time: Option<Instant>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
    engines: HashMap<ServiceId, EngineSpec>,
    /// Reading rates in tokens a millisecond.
    prefill_rates: HashMap<ServiceId, f64>,
    demand: HashMap<ServiceId, Demand>,
    /// The most urgent request that was turned away lately, and when.
    rejected_urgency: HashMap<ServiceId, (Instant, u8)>,
    call_endpoints: HashMap<CallId, EndpointId>,
    /// Shared parts that were sent to engines which did not hold them.
    sightings: Vec<Sighting>,
    /// What this instance told last, which is in the sum that it hears.
    last_report: AtEngines,
    /// The newest sum over all instances.
    last_cluster_load: Option<Arc<Told>>,
    next: u64,
}

/// Unread prompt tokens of the own requests.
#[derive(Debug)]
struct Demand {
    long: Rate,
    short: Rate,
}

impl Demand {
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
            list_time: None,
            endpoints: BTreeMap::new(),
            services: HashMap::new(),
            engines: HashMap::new(),
            prefill_rates: HashMap::new(),
            demand: HashMap::new(),
            rejected_urgency: HashMap::new(),
            call_endpoints: HashMap::new(),
            sightings: Vec::new(),
            last_report: AtEngines::new(),
            last_cluster_load: None,
            next: 0,
        }
    }

    /// Takes over what the engines of a service are.
    pub fn set_engine_spec(&mut self, service: &ServiceId, engine: EngineSpec) {
        self.engines.insert(service.clone(), engine);
    }

    /// Takes over the platform's list; returns what changed, for the log.
    pub fn update_list(&mut self, now: Instant, list: Vec<ListedEndpoint>) -> Vec<ListChange> {
        self.list_time = Some(now);
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
                    known.update_listing(listed);
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
            let is_listed = known.contains(id);
            if !is_listed {
                changes.push(ListChange {
                    endpoint: id.clone(),
                    service: endpoint.listed.service.clone(),
                    state: "gone",
                });
            }
            is_listed
        });
        self.services = services;
        changes
    }

    /// Records that the platform's list was the same at a later time.
    pub fn confirm_list(&mut self, read: Instant) {
        self.list_time = Some(read);
    }

    fn service_endpoints(&self, service: &ServiceId) -> impl Iterator<Item = &Endpoint> + Clone {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Chooses the endpoint with the shortest expected time to the first byte.
    pub fn choose(
        &self,
        now: Instant,
        query: &EndpointQuery<'_>,
    ) -> Result<Choice, SelectionError> {
        if self.should_yield(now, query) {
            return Err(SelectionError::Yields);
        }
        let rate = self
            .prefill_rates
            .get(query.service)
            .copied()
            .unwrap_or(READ_RATE);
        if query.draw < self.shed_fraction(now, query, rate) {
            return Err(SelectionError::Full);
        }
        let long_prompt_endpoints = self.long_prompt_endpoints(now, query, rate);
        let is_long = query.prompt >= LONG_PROMPT;
        let is_preferred = |e: &Endpoint| {
            long_prompt_endpoints.is_empty() || is_long == long_prompt_endpoints.contains(&e.hash)
        };
        let copy_rate = self.engines.get(query.service).and_then(|e| e.copy_rate);
        let holders = Holders::find(
            now,
            query.parts,
            copy_rate,
            self.service_endpoints(query.service),
            is_preferred,
        );
        let mut best: Option<(f64, f64, &Endpoint, u32, Option<SocketAddr>)> = None;
        for endpoint in self
            .service_endpoints(query.service)
            .filter(|e| e.is_usable(now))
        {
            if query.excluded.contains(&endpoint.listed.id) {
                continue;
            }
            let known = endpoint.cache.cached(query.parts);
            let mut cached = known;
            if holders.home == Some(endpoint.hash) {
                // All instances send the part there, so it is likely held already.
                cached = cached.max(likely(query.parts));
            }
            let source = holders.source(endpoint, known.min(shared(query.parts)));
            let copied = source.map_or(0, |source| source.tokens.saturating_sub(cached));
            let unread = query.prompt.saturating_sub(cached + copied);
            let mut score = endpoint.expected_delay(now, unread, rate, &self.zone);
            let recomputed = shared(query.parts).saturating_sub(cached + copied);
            score += f64::from(recomputed) / rate * RECOMPUTE_WEIGHT;
            if copied > 0 {
                score += f64::from(copied) / holders.rate * COPY_WEIGHT;
            }
            if !is_preferred(endpoint) {
                score += if is_long {
                    SHORT_PROMPT_ENDPOINT_PENALTY_MS
                } else {
                    LONG_PROMPT_ENDPOINT_PENALTY_MS
                };
            }
            let mut place = score;
            if query.is_large_cluster {
                let draw = affinity::mix(query.tie_breaker, endpoint.hash) as f64 / u64::MAX as f64;
                score += draw * MAX_JITTER_MS;
                place = score + endpoint.remote_load_penalty(now, rate);
            }
            if best.is_none_or(|(least, ..)| place < least) {
                let source = source.map(|source| source.address);
                best = Some((place, score, endpoint, unread, source));
            }
        }
        let (_, score, endpoint, unread, source) =
            best.ok_or_else(|| self.selection_error(now, query))?;
        let expected = Duration::from_secs_f64(score / 1_000.0);
        if expected > query.time_left && !endpoint.is_uncertain(now) {
            return Err(SelectionError::Late { expected });
        }
        Ok(Choice {
            listed: endpoint.listed.clone(),
            prompt: query.prompt,
            unread,
            unshared: query.prompt.saturating_sub(shared(query.parts)),
            source,
            expected,
            list_age: self
                .list_time
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        })
    }

    /// Returns why no endpoint can be chosen at all.
    fn selection_error(&self, now: Instant, query: &EndpointQuery<'_>) -> SelectionError {
        let ends = self
            .service_endpoints(query.service)
            .filter_map(Endpoint::resume_time);
        let wait = ends.min().map(|end| end.saturating_duration_since(now));
        match wait.filter(|wait| !wait.is_zero()) {
            Some(wait) => SelectionError::Paused { wait },
            None => SelectionError::Nowhere,
        }
    }

    /// Records a request that was turned away for lack of room, before which less urgent ones with
    /// long prompts should have been.
    pub fn note_rejected(&mut self, now: Instant, service: &ServiceId, urgency: u8) {
        let recent = self
            .rejected_urgency
            .entry(service.clone())
            .or_insert((now, urgency));
        let is_over = now.saturating_duration_since(recent.0) >= YIELD_TIME;
        if is_over || urgency <= recent.1 {
            *recent = (now, urgency);
        }
    }

    /// Returns the part of the long requests that the endpoints have no capacity for.
    fn shed_fraction(&self, now: Instant, query: &EndpointQuery<'_>, rate: f64) -> f64 {
        if query.prompt < LONG_PROMPT || query.urgency == 0 || query.total.long <= 0.0 {
            return 0.0;
        }
        let usable = self
            .service_endpoints(query.service)
            .filter(|e| e.is_usable(now));
        let (count, slots) = usable.fold((0.0, 0.0), |(count, slots), e| {
            (count + 1.0, slots + f64::from(e.listed.slots))
        });
        // Nobody is turned away while the batches have room.
        if query.total.calls < slots * BUSY_SLOT_FRACTION {
            return 0.0;
        }
        let capacity = count * rate * 1_000.0 * MAX_PREFILL_UTILIZATION;
        let excess = query.total.long + query.total.short - capacity;
        (excess / query.total.long).clamp(0.0, MAX_SHED_FRACTION)
    }

    /// Records the tokens of a request that was turned away, which its service should have capacity for.
    pub fn note_shed(&mut self, now: Instant, query: &EndpointQuery<'_>) {
        let demand = self.demand.entry(query.service.clone());
        let demand = demand.or_insert_with(|| Demand::new(now));
        let unshared = query.prompt.saturating_sub(shared(query.parts));
        demand.long.add(now, f64::from(unshared));
    }

    /// Tells whether a long request gives way to more urgent ones that found no room.
    fn should_yield(&self, now: Instant, query: &EndpointQuery<'_>) -> bool {
        let rejected = self.rejected_urgency.get(query.service);
        let is_long = query.prompt >= LONG_PROMPT;
        rejected.is_some_and(|(at, urgency)| {
            let is_recent = now.saturating_duration_since(*at) < YIELD_TIME;
            is_long && is_recent && query.urgency > *urgency
        })
    }

    /// Returns the endpoints, by their hashes, that read long prompts, so that the others serve short
    /// requests without pauses; none if the service has too few endpoints or no such mix.
    ///
    /// All instances order the endpoints alike and know the same total, so they agree. Reclaimable
    /// endpoints come first, because long requests have the most time to be repeated.
    fn long_prompt_endpoints(
        &self,
        now: Instant,
        query: &EndpointQuery<'_>,
        rate: f64,
    ) -> Vec<u64> {
        let mut usable: Vec<_> = self
            .service_endpoints(query.service)
            .filter(|e| e.is_usable(now))
            .map(|e| (!e.listed.reclaimable, e.hash))
            .collect();
        if usable.len() < 2 || query.total.long <= 0.0 || query.total.short <= 0.0 {
            return Vec::new();
        }
        usable.sort_unstable();
        let long = query.total.long / (rate * 1_000.0 * LONG_PROMPT_UTILIZATION);
        let short = query.total.short / (rate * 1_000.0 * SHORT_PROMPT_UTILIZATION);
        // Under overload both sides give way in proportion.
        let scale_down = (usable.len() as f64 / (long.ceil() + short)).min(1.0);
        let count = (long.ceil() * scale_down).round() as usize;
        let count = count.clamp(1, usable.len() - 1);
        usable[..count].iter().map(|(_, hash)| *hash).collect()
    }

    /// Returns the work that the own callers ask of services.
    pub fn local_work(&self, now: Instant) -> Works {
        let work = |(service, demand): (&ServiceId, &Demand)| {
            let calls = self
                .service_endpoints(service)
                .map(|e| e.local_calls.len())
                .sum::<usize>();
            let work = Work {
                long: demand.long.get(now),
                short: demand.short.get(now),
                calls: calls as f64,
                rate: self.prefill_rates.get(service).copied().unwrap_or(0.0),
            };
            (service.clone(), work)
        };
        self.demand.iter().map(work).collect()
    }

    /// Returns what to tell other instances about the own requests.
    pub fn report_load(&mut self, now: Instant) -> Told {
        let busy = self
            .endpoints
            .values()
            .filter(|e| !e.local_calls.is_empty());
        self.last_report = busy.map(|e| (e.hash, e.local_load())).collect();
        Told {
            works: self.local_work(now),
            engines: self.last_report.clone(),
        }
    }

    /// Takes in what all instances told, this one included.
    pub fn apply_cluster_load(&mut self, now: Instant, sum: &Arc<Told>) {
        if self
            .last_cluster_load
            .as_ref()
            .is_some_and(|last| Arc::ptr_eq(last, sum))
        {
            return;
        }
        self.last_cluster_load = Some(sum.clone());
        for endpoint in self.endpoints.values_mut() {
            let all = sum.engines.get(&endpoint.hash).copied();
            let own = self.last_report.get(&endpoint.hash).copied();
            let (all, own) = (all.unwrap_or_default(), own.unwrap_or_default());
            let others = AtEngine {
                calls: all.calls.saturating_sub(own.calls),
                unread: all.unread.saturating_sub(own.unread),
            };
            endpoint.remote_load = Some((others, now));
        }
    }

    /// Records a call that is about to be sent.
    pub fn start(&mut self, now: Instant, choice: &Choice, parts: &[PromptPart]) -> CallId {
        self.next += 1;
        let demand = self
            .demand
            .entry(choice.listed.service.clone())
            .or_insert_with(|| Demand::new(now));
        let prompt: u32 = choice.prompt;
        let rate = match prompt >= LONG_PROMPT {
            true => &mut demand.long,
            false => &mut demand.short,
        };
        rate.add(now, f64::from(choice.unread));
        let call_id = CallId(self.next);
        let limit = self.cache_limit(&choice.listed.service);
        if let Some(endpoint) = self.endpoints.get_mut(&choice.listed.id) {
            endpoint.local_calls.push(LocalCall {
                call_id,
                started_at: now,
                unread: choice.unread,
                uncached: choice.unshared.min(choice.unread),
                expected: choice.expected,
                answered: false,
            });
            let shared_parts = &parts[..parts.len().saturating_sub(1)];
            let tokens = shared(parts);
            if tokens >= NOTABLE_TOKENS && endpoint.cache.cached(shared_parts) < tokens {
                self.sightings.push(Sighting {
                    endpoint: endpoint.hash,
                    parts: shared_parts.to_vec(),
                });
            }
            endpoint.cache.add(parts, limit);
            self.call_endpoints
                .insert(call_id, choice.listed.id.clone());
        }
        call_id
    }

    /// Returns how many tokens an engine of a service is taken to hold for later requests.
    fn cache_limit(&self, service: &ServiceId) -> u64 {
        let engine = self.engines.get(service);
        let memory = engine.map_or(DEFAULT_MEMORY_TOKENS, |engine| engine.memory);
        (memory as f64 * CACHE_FRACTION) as u64
    }

    /// Takes the shared parts that were sent to engines since the last call, for other instances.
    pub fn take_sightings(&mut self) -> Vec<Sighting> {
        std::mem::take(&mut self.sightings)
    }

    /// Takes in which parts other instances sent to engines.
    pub fn apply_sightings(&mut self, sightings: &[Sighting]) {
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
    pub fn answered(&mut self, now: Instant, call_id: CallId, facts: &ResponseInfo, ran: bool) {
        let Some(endpoint) = self.call_endpoints.get(&call_id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        endpoint.note_availability(now, facts.leaving, facts.pause);
        if let Some(load) = facts.load {
            endpoint.load = Some((load, now, endpoint.local_calls.len()));
        }
        let alone = endpoint.local_calls.iter().filter(|c| !c.answered).count() == 1;
        let Some(call) = endpoint
            .local_calls
            .iter_mut()
            .find(|c| c.call_id == call_id)
        else {
            return;
        };
        let first = !std::mem::replace(&mut call.answered, true);
        if ran && first && alone && call.uncached >= MIN_RATE_SAMPLE_TOKENS {
            let took = now.saturating_duration_since(call.started_at).as_secs_f64() * 1_000.0;
            // The engine read at least what no other request shares.
            let observed = f64::from(call.uncached) / took.max(1.0);
            let observed = observed.clamp(*PREFILL_RATE_BOUNDS.start(), *PREFILL_RATE_BOUNDS.end());
            let service = endpoint.listed.service.clone();
            let rate = self.prefill_rates.entry(service).or_insert(READ_RATE);
            let observed = observed.min(*rate * MAX_RATE_INCREASE);
            let weight = match observed > *rate {
                true => RATE_INCREASE_WEIGHT,
                false => RATE_DECREASE_WEIGHT,
            };
            *rate += (observed - *rate) * weight;
        }
    }

    /// Tells whether an endpoint is on the list, and whether it will stop soon.
    pub fn list_status(&self, endpoint: &EndpointId) -> ListStatus {
        match self.endpoints.get(endpoint) {
            None => ListStatus::Unlisted,
            Some(known) if known.is_leaving() => ListStatus::Leaving,
            Some(_) => ListStatus::Listed,
        }
    }

    /// Tells whether the endpoint of a call will stop soon.
    pub fn is_leaving(&self, call_id: CallId) -> bool {
        let endpoint = self.call_endpoints.get(&call_id);
        let endpoint = endpoint.and_then(|id| self.endpoints.get(id));
        endpoint.is_some_and(Endpoint::is_leaving)
    }

    /// Records that an endpoint closes the connection after an answer, as one that leaves does before
    /// the list tells.
    pub fn note_close(&mut self, now: Instant, call_id: CallId) {
        let endpoint = self.call_endpoints.get(&call_id);
        if let Some(endpoint) = endpoint.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.note_close(now);
        }
    }

    /// Records the end of a call; a second end of the same call changes nothing.
    pub fn end(&mut self, now: Instant, call_id: CallId, end: CallOutcome) {
        let Some(id) = self.call_endpoints.remove(&call_id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.local_calls.retain(|call| call.call_id != call_id);
        endpoint.end(now, end);
    }
}

/// Place of an endpoint on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
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
