//! Selection of an endpoint for a request, based on what this instance has observed of each
//! endpoint.
//!
//! The decision does no I/O. It handles these load patterns (`docs/platform.md`):
//!
//! * A burst of long prompts: prompts that an engine has yet to prefill delay every request on it,
//!   so their tokens count as waiting time and short requests go to other engines.
//! * Many instances, each of which sends an engine only a small part of its requests: the load that
//!   other instances report counts as well, so that no engine is overloaded while others are idle.
//!   In a small cluster an instance sees enough itself, and the reported load is older than the
//!   load that engines state in their responses.
//! * Sessions that share a prompt prefix: an engine that has the shared part cached responds
//!   sooner, as long as its queue is short. A part that is not known to be cached is assigned an
//!   engine by rendezvous hashing, on which all instances agree without communication.
//! * Engines of a zone that are reclaimed during a burst: a request for which the remaining engines
//!   have no time left is rejected immediately, and still counts as demand for capacity.
//! * Load beyond capacity: a request yields if it would take what a more urgent caller needs that was
//!   refused and has not come back yet ([`crate::refused_callers`]), so that no class is rejected in
//!   favour of a less urgent one.
//! * Endpoints that limit the requests of all instances: a request goes there only with a permit
//!   ([`crate::endpoint_limit`]), and otherwise to the best of the others. If all endpoints have limits, a
//!   request yields its permit to more urgent ones that were rejected.
//! * Endpoints that shut down or have no free capacity for a time: what their responses say applies
//!   immediately, before the endpoint list reflects it, and requests go to the other endpoints.
//! * Endpoints that fail, refuse requests or do not respond: recent failures and unanswered calls
//!   count as waiting time that decays, so that an endpoint is neither reused immediately nor
//!   excluded permanently.

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
use crate::dialect::RequestRate;
use crate::dialect::ResponseInfo;
use crate::endpoint_limit::Admission;
use crate::endpoint_limit::LimitTable;
use crate::fleet_endpoint::Endpoint;
use crate::fleet_endpoint::LocalCall;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::line::demand::Demands;
use crate::line::portion::EngineCapacity;
use crate::line::portion::Kind;
use crate::prefix_hint::MIN_HINT_TOKENS;
use crate::prefix_hint::PrefixHint;
use crate::prompt_source::PromptHolders;
use crate::prompt_source::expected_held_tokens;
use crate::prompt_source::shared_tokens;
use crate::refused_callers::Need;
use crate::refused_callers::RefusedCaller;
use crate::refused_callers::RefusedCallers;
use crate::route_table::EngineSpec;
use crate::service_load::DEFAULT_PREFILL_RATE;
use crate::service_load::EngineBacklog;
use crate::service_load::EngineBacklogs;
use crate::service_load::LONG_PROMPT_TOKENS;
use crate::service_load::LoadByService;
use crate::service_load::LoadSummary;
use crate::service_load::Rate;
use crate::service_load::ServiceLoad;

pub use crate::fleet_endpoint::CallOutcome;

/// Bounds of an observed prefill rate in tokens per millisecond; queueing and cached prompts
/// distort single observations.
const PREFILL_RATE_BOUNDS: std::ops::RangeInclusive<f64> = 5.0..=1_000.0;

/// Weight of an observation above the current prefill rate.
const RATE_INCREASE_WEIGHT: f64 = 0.3;

/// Largest ratio of an observation to the current rate. A prompt that the engine has cached, such
/// as that of a retried request, appears to be prefilled at any rate.
const MAX_RATE_INCREASE: f64 = 2.0;

/// Weight of an observation below the current prefill rate. Concurrent requests of other instances
/// make most observations too low, especially under load.
const RATE_DECREASE_WEIGHT: f64 = 0.001;

/// Smallest number of prefilled tokens for which the rate is observed; with fewer, the decode steps
/// of running requests dominate the time.
const MIN_RATE_SAMPLE_TOKENS: u32 = 2_000;

/// Penalty of an engine that takes long prompts, for a short request: every prefill chunk delays
/// all streams on the engine.
const LONG_PROMPT_ENDPOINT_PENALTY_MS: f64 = 250.0;

/// Penalty of an engine that is reserved for short prompts, for a long request.
const SHORT_PROMPT_ENDPOINT_PENALTY_MS: f64 = 1_000.0;

/// Prefill utilization by short prompts above which they get another engine.
const SHORT_PROMPT_UTILIZATION: f64 = 0.3;

/// Fraction of the permits for limited endpoints that requests use although a more urgent caller lacks
/// one, so that no class is without service.
const YIELDED_PERMIT_SHARE: f64 = 0.2;

/// Weight of the time to recompute a shared part, in addition to its prefill time: it costs the
/// other requests on the engine as much.
const RECOMPUTE_WEIGHT: f64 = 2.0;

/// Weight of the time to copy a shared part: the link carries one copy at a time, and the copy
/// takes cache memory from other prompts.
const COPY_WEIGHT: f64 = 3.0;

/// Prefill utilization by long prompts above which they get another engine. During prefill each
/// token of the other requests takes as long as a whole chunk, so half of the time must be left for
/// them.
const LONG_PROMPT_UTILIZATION: f64 = 0.35;

/// Fraction of an engine's memory that is assumed to hold cached prompts.
const CACHE_FRACTION: f64 = 0.5;

/// Memory of an engine, in tokens, if the configuration states none.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;

/// Largest random penalty in a large cluster. Instances with the same information would all choose
/// the same of several equal endpoints; the differences that the jitter hides are shorter than one
/// decode step.
const MAX_JITTER_MS: f64 = 10.0;

/// Largest expected time to the first byte; no caller waits this long.
const MAX_EXPECTED_DELAY: Duration = Duration::from_secs(24 * 3_600);

/// Number of instances from which a cluster is large. Each instance then sees so few of the
/// requests at an engine that the load reported by the others orders the endpoints and jitter
/// breaks ties. In a smaller cluster an instance sees a tenth of the requests or more, and its own
/// information gives the better order (`docs/measurements.md`).
const LARGE_CLUSTER_INSTANCES: u32 = 33;

/// Returns whether a cluster of this many instances is large; 0 stands for an unknown number.
pub fn is_large_cluster(instances: u32) -> bool {
    instances >= LARGE_CLUSTER_INSTANCES
}

/// The properties of a request by which its endpoint is chosen.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'a> {
    /// The service that handles the request.
    pub service: &'a ServiceId,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// The parts of the prompt in order; the last one is not shared.
    pub parts: &'a [PromptPart],
    /// Endpoints at which an earlier attempt failed.
    pub excluded: &'a [EndpointId],
    /// Time left until the first byte is due.
    pub time_left: Duration,
    /// Load that callers of all instances put on the service.
    pub total: ServiceLoad,
    /// Urgency among all requests, 0 for the most urgent.
    pub urgency: u8,
    /// Whether the caller has received the beginning of the response, which it would lose if the request
    /// yielded to others.
    pub is_started: bool,
    /// A random number in `0.0..1.0` that decides whether a request yields its permit.
    pub draw: f64,
    /// A random number that orders equally good endpoints in a large cluster.
    pub tie_breaker: u64,
    /// Whether the cluster is large ([`is_large_cluster`]).
    pub is_large_cluster: bool,
}

/// The endpoint that was chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint as listed by the platform.
    pub listed: ListedEndpoint,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Prompt tokens that the endpoint is expected to prefill.
    pub prefill_tokens: u32,
    /// Prompt tokens that no other request shares, so that they are certainly prefilled.
    pub unshared_tokens: u32,
    /// Urgency of the request, 0 for the most urgent.
    pub urgency: u8,
    /// Another engine that likely caches shared parts which this one lacks.
    pub source: Option<SocketAddr>,
    /// The expected time to the first byte.
    pub expected: Duration,
    /// Age of the endpoint list at the time of the choice.
    pub list_age: Duration,
    /// Hash of a better endpoint whose limit did not allow the request; one of them if there are several.
    pub passed_over: Option<u64>,
}

/// The reason why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// The service has no endpoint that accepts requests.
    Nowhere,
    /// Every endpoint that is not shutting down asked for a pause.
    Paused {
        /// Time until the first of them accepts requests again.
        wait: Duration,
    },
    /// Every endpoint that accepts requests limits them, and this instance holds no permit.
    Limited {
        /// Hash of one of the endpoints whose limits did not allow the request.
        passed_over: Option<u64>,
        /// Sum of the limits.
        rate: RequestRate,
    },
    /// No endpoint is expected to respond in time.
    Late {
        /// Expected time to the first byte at the best endpoint.
        expected: Duration,
    },
    /// The request would take what more urgent callers need that were refused.
    Yields {
        /// Time until they have come back.
        wait: Duration,
    },
}

/// Identifies a call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallId(u64);

/// The endpoints of all services and what this instance has observed of them.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    /// When the endpoint list was last read.
    list_time: Option<Instant>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
    engines: HashMap<ServiceId, EngineSpec>,
    /// Prefill rates in tokens per millisecond.
    prefill_rates: HashMap<ServiceId, f64>,
    demand: HashMap<ServiceId, Demand>,
    /// Demand by kind of request, if requests wait at this instance.
    demands: Option<Demands>,
    refused_callers: RefusedCallers,
    call_endpoints: HashMap<CallId, EndpointId>,
    /// Shared parts sent to engines that did not have them cached, not yet reported to other
    /// instances.
    prefix_hints: Vec<PrefixHint>,
    /// The load that this instance reported last; the cluster total includes it.
    last_report: EngineBacklogs,
    /// The latest total over all instances.
    last_cluster_load: Option<Arc<LoadSummary>>,
    /// Whether any endpoint has a limit.
    has_limits: bool,
    last_call_id: u64,
}

/// Rates of prompt tokens to prefill for the callers of this instance.
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
    /// Creates a fleet without endpoints for an instance in this zone.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            list_time: None,
            endpoints: BTreeMap::new(),
            services: HashMap::new(),
            engines: HashMap::new(),
            prefill_rates: HashMap::new(),
            demand: HashMap::new(),
            demands: None,
            refused_callers: RefusedCallers::default(),
            call_endpoints: HashMap::new(),
            prefix_hints: Vec::new(),
            last_report: EngineBacklogs::new(),
            last_cluster_load: None,
            has_limits: false,
            last_call_id: 0,
        }
    }

    /// Keeps account of the demand for each kind of request, by which they wait for their turn
    /// ([`crate::line`]).
    pub fn enable_line(&mut self) {
        self.demands.get_or_insert_default();
    }

    /// Returns the demand by kind of request, if requests wait at this instance.
    pub fn demands(&self) -> Option<&Demands> {
        self.demands.as_ref()
    }

    /// Returns the demand by kind of request, to update it.
    pub fn demands_mut(&mut self) -> Option<&mut Demands> {
        self.demands.as_mut()
    }

    /// Returns the number of engines of a service that accept requests and the capacity of one of them, or
    /// `None` if there are none. `rate` is the prefill rate that all instances have observed, or 0.
    pub fn capacity(
        &self,
        now: Instant,
        service: &ServiceId,
        rate: f64,
    ) -> Option<(usize, EngineCapacity)> {
        let usable = self
            .service_endpoints(service)
            .filter(|e| e.is_unlimited(now));
        let (engines, slots) = usable.fold((0, 0.0), |(count, slots), e| {
            (count + 1, slots + f64::from(e.listed.slots.max(1)))
        });
        let rate = match rate > 0.0 {
            true => rate,
            false => self.prefill_rate(service),
        };
        let slots = slots / f64::from(engines);
        (engines > 0).then_some((engines as usize, EngineCapacity { rate, slots }))
    }

    /// Sets the properties of a service's engines.
    pub fn set_engine_spec(&mut self, service: &ServiceId, engine: EngineSpec) {
        self.engines.insert(service.clone(), engine);
    }

    /// Replaces the endpoint list and returns the changes, for the log.
    pub fn update_list(&mut self, now: Instant, list: Vec<ListedEndpoint>) -> Vec<ListChange> {
        self.list_time = Some(now);
        let mut changes = Vec::new();
        let mut services: HashMap<ServiceId, Vec<EndpointId>> = HashMap::new();
        let mut seen: HashSet<EndpointId> = HashSet::new();
        for listed in list {
            // The first of several entries for an endpoint counts, whatever their services.
            if !seen.insert(listed.id.clone()) {
                continue;
            }
            let ids = services.entry(listed.service.clone()).or_default();
            ids.push(listed.id.clone());
            match self.endpoints.get_mut(&listed.id) {
                Some(known) if known.listed.address == listed.address => {
                    if known.listed.leaving != listed.leaving {
                        changes.push(ListChange::new(&listed));
                    }
                    // An endpoint whose address was reused stays unusable until the list has its
                    // new address.
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

    /// Records that the list was unchanged when it was read again.
    pub fn confirm_list(&mut self, read_at: Instant) {
        self.list_time = Some(read_at);
    }

    /// Applies the limits and permits to the endpoints.
    pub fn apply_limits(&mut self, now: Instant, limits: &LimitTable) {
        let has_limits = !limits.is_empty();
        if !has_limits && !self.has_limits {
            return;
        }
        self.has_limits = has_limits;
        for endpoint in self.endpoints.values_mut() {
            endpoint.admission = limits.admission(now, endpoint.hash);
        }
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
        let rate = self.prefill_rate(query.service);
        let long_prompt_endpoints = self.long_prompt_endpoints(now, query, rate);
        let is_long = query.prompt >= LONG_PROMPT_TOKENS;
        let is_preferred = |e: &Endpoint| {
            long_prompt_endpoints.is_empty() || is_long == long_prompt_endpoints.contains(&e.hash)
        };
        let copy_rate = self.engines.get(query.service).and_then(|e| e.copy_rate);
        let holders = PromptHolders::find(
            now,
            query.parts,
            copy_rate,
            self.service_endpoints(query.service),
            is_preferred,
        );
        let yields_permit = self.yields_permit(now, query);
        let keeps_apart = is_long
            && !query.is_started
            && self.keeps_long_prompts_apart(now, query, &long_prompt_endpoints);
        let mut best: Option<Candidate<'_>> = None;
        let mut fastest: Option<Candidate<'_>> = None;
        // Ranks of the endpoints for which only a permit is missing.
        let mut blocked: Vec<(f64, u64)> = Vec::new();
        for endpoint in self
            .service_endpoints(query.service)
            .filter(|e| e.is_usable(now))
        {
            if query.excluded.contains(&endpoint.listed.id) {
                continue;
            }
            if keeps_apart && !is_preferred(endpoint) {
                continue;
            }
            let known = endpoint.cache.cached(query.parts);
            let mut cached = known;
            if holders.home == Some(endpoint.hash) {
                // All instances send the part there, so it is likely cached.
                cached = cached.max(expected_held_tokens(query.parts));
            }
            let source = holders.source(endpoint, known.min(shared_tokens(query.parts)));
            let copied = source.map_or(0, |source| source.tokens.saturating_sub(cached));
            let prefill_tokens = query.prompt.saturating_sub(cached + copied);
            let own = u64::from(prefill_tokens);
            let before = endpoint.prefill_tokens_before(query.urgency);
            let mut delay = endpoint.expected_delay(now, before + own, rate, &self.zone);
            // Less urgent prompts do not delay the request, but the request delays them.
            let delayed = endpoint.pending_prefill_tokens() - before;
            let mut score = delay + delayed as f64 / rate;
            let recomputed = shared_tokens(query.parts).saturating_sub(cached + copied);
            score += f64::from(recomputed) / rate * RECOMPUTE_WEIGHT;
            if copied > 0 {
                let copy_time = f64::from(copied) / holders.copy_rate;
                delay += copy_time;
                score += copy_time * COPY_WEIGHT;
            }
            if !is_preferred(endpoint) {
                score += if is_long {
                    SHORT_PROMPT_ENDPOINT_PENALTY_MS
                } else {
                    LONG_PROMPT_ENDPOINT_PENALTY_MS
                };
            }
            let mut rank = score + endpoint.close_penalty(now);
            if query.is_large_cluster {
                let draw = affinity::mix(query.tie_breaker, endpoint.hash) as f64 / u64::MAX as f64;
                rank += draw * MAX_JITTER_MS + endpoint.remote_load_penalty(now, rate);
            }
            let is_available = match endpoint.admission {
                Admission::Unlimited => true,
                Admission::Permitted(_) => !yields_permit,
                Admission::Blocked(_) => {
                    blocked.push((rank, endpoint.hash));
                    false
                }
            };
            if !is_available {
                continue;
            }
            let candidate = Candidate {
                rank,
                score,
                delay,
                endpoint,
                prefill_tokens,
                source: source.map(|source| source.address),
            };
            if best.is_none_or(|best| rank < best.rank) {
                best = Some(candidate);
            }
            if fastest.is_none_or(|fastest| delay < fastest.delay) {
                fastest = Some(candidate);
            }
        }
        let best_rank = best.as_ref().map_or(f64::INFINITY, |best| best.rank);
        blocked.retain(|(rank, _)| *rank < best_rank);
        // One of them at random, so that the demand for permits is spread and equals the demand of callers.
        let passed_over = blocked
            .iter()
            .map(|(_, hash)| *hash)
            .min_by_key(|hash| affinity::mix(query.tie_breaker, *hash));
        let (Some(best), Some(fastest)) = (best, fastest) else {
            return Err(self.selection_error(now, query, passed_over));
        };
        let is_late = |candidate: &Candidate<'_>| {
            expected_time(candidate.delay) > query.time_left
                && !candidate.endpoint.is_uncertain(now)
        };
        // A preference among endpoints makes no request late.
        let best = match is_late(&best) {
            true => fastest,
            false => best,
        };
        let delay = expected_time(best.delay);
        if is_late(&best) {
            return Err(SelectionError::Late { expected: delay });
        }
        if let Some(wait) = self.yield_time(now, query, best.endpoint, now + delay) {
            return Err(SelectionError::Yields { wait });
        }
        Ok(Choice {
            listed: best.endpoint.listed.clone(),
            prompt: query.prompt,
            prefill_tokens: best.prefill_tokens,
            unshared_tokens: query.prompt.saturating_sub(shared_tokens(query.parts)),
            urgency: query.urgency,
            source: best.source,
            expected: expected_time(best.score),
            list_age: self
                .list_time
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
            passed_over,
        })
    }

    /// Returns whether a request leaves the permits of this instance to more urgent callers.
    fn yields_permit(&self, now: Instant, query: &EndpointQuery<'_>) -> bool {
        let may_yield = !query.is_started && query.draw >= YIELDED_PERMIT_SHARE;
        let wait = |need| {
            self.refused_callers
                .wait(now, query.service, query.urgency, |n| n == need)
        };
        self.has_limits && may_yield && wait(Need::Permit).is_some()
    }

    /// Returns the time for which a request yields to more urgent callers that were refused, or `None` if
    /// it takes nothing from them at the best endpoint, which would be ready for them at `ready`.
    fn yield_time(
        &self,
        now: Instant,
        query: &EndpointQuery<'_>,
        best: &Endpoint,
        ready: Instant,
    ) -> Option<Duration> {
        if query.is_started {
            return None;
        }
        let is_taken = |need| match need {
            Need::Start(latest) => ready > latest,
            // One place for each of them.
            Need::Place => !best.has_places(now, 2.0),
            Need::Permit => false,
        };
        self.refused_callers
            .wait(now, query.service, query.urgency, is_taken)
    }

    fn prefill_rate(&self, service: &ServiceId) -> f64 {
        let rate = self.prefill_rates.get(service);
        rate.copied().unwrap_or(DEFAULT_PREFILL_RATE)
    }

    /// Returns the sum of the limits of the service's endpoints, or `None` if none of them has a limit.
    fn total_limit(&self, now: Instant, service: &ServiceId) -> Option<RequestRate> {
        let usable = self
            .service_endpoints(service)
            .filter(|endpoint| endpoint.is_usable(now));
        let limits = usable.filter_map(|endpoint| match endpoint.admission {
            Admission::Permitted(rate) | Admission::Blocked(rate) => Some(rate),
            Admission::Unlimited => None,
        });
        limits.reduce(RequestRate::saturating_add)
    }

    /// Returns the reason why no endpoint accepts the request.
    fn selection_error(
        &self,
        now: Instant,
        query: &EndpointQuery<'_>,
        passed_over: Option<u64>,
    ) -> SelectionError {
        if let Some(rate) = self.total_limit(now, query.service) {
            return SelectionError::Limited { passed_over, rate };
        }
        let resume_times = self
            .service_endpoints(query.service)
            .filter_map(Endpoint::resume_time);
        let wait = resume_times
            .min()
            .map(|time| time.saturating_duration_since(now));
        match wait.filter(|wait| !wait.is_zero()) {
            Some(wait) => SelectionError::Paused { wait },
            None => SelectionError::Nowhere,
        }
    }

    /// Records that a caller was refused and comes back at `returns`. Less urgent requests leave it what it
    /// needs until then.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        service: &ServiceId,
        urgency: u8,
        need: Need,
        returns: Instant,
    ) {
        let caller = RefusedCaller {
            urgency,
            need,
            returns,
        };
        self.refused_callers.record(now, service, caller);
    }

    /// Returns the time by which an endpoint must begin to prefill the prompt, so that the first byte is in
    /// time.
    pub fn latest_start(&self, now: Instant, query: &EndpointQuery<'_>) -> Instant {
        let unshared_tokens = query.prompt.saturating_sub(shared_tokens(query.parts));
        let work = expected_time(f64::from(unshared_tokens) / self.prefill_rate(query.service));
        now + query.time_left.saturating_sub(work)
    }

    /// Records the prompt tokens of a request that no endpoint had time for, so that they count as demand
    /// for capacity.
    pub fn record_unserved(&mut self, now: Instant, query: &EndpointQuery<'_>) {
        self.record_unserved_prompt(now, query.service, query.prompt, query.parts);
    }

    /// As [`Self::record_unserved`], for a request that was refused before an endpoint was chosen.
    pub fn record_unserved_prompt(
        &mut self,
        now: Instant,
        service: &ServiceId,
        prompt: u32,
        parts: &[PromptPart],
    ) {
        let unshared_tokens = prompt.saturating_sub(shared_tokens(parts));
        self.record_demand(now, service, prompt, unshared_tokens);
    }

    /// Records prompt tokens to prefill as demand for a service.
    fn record_demand(&mut self, now: Instant, service: &ServiceId, prompt: u32, tokens: u32) {
        let demand = self.demand.entry(service.clone());
        let demand = demand.or_insert_with(|| Demand::new(now));
        let rate = match prompt >= LONG_PROMPT_TOKENS {
            true => &mut demand.long,
            false => &mut demand.short,
        };
        rate.add(now, f64::from(tokens));
    }

    /// Returns the hashes of the endpoints that take long prompts, so that the others serve short
    /// requests without interruption. Empty if the service has too few endpoints or does not have
    /// both kinds of requests.
    ///
    /// All instances order the endpoints alike and use the same totals, so they agree. Reclaimable
    /// endpoints come first, because long requests have the most time to be retried.
    fn long_prompt_endpoints(
        &self,
        now: Instant,
        query: &EndpointQuery<'_>,
        rate: f64,
    ) -> Vec<u64> {
        let mut usable: Vec<_> = self
            .service_endpoints(query.service)
            .filter(|e| e.is_unlimited(now))
            .map(|e| (!e.listed.reclaimable, e.hash))
            .collect();
        if usable.len() < 2 || query.total.long <= 0.0 || query.total.short <= 0.0 {
            return Vec::new();
        }
        usable.sort_unstable();
        let long = query.total.long / (rate * 1_000.0 * LONG_PROMPT_UTILIZATION);
        let short = query.total.short / (rate * 1_000.0 * SHORT_PROMPT_UTILIZATION);
        // Under overload both groups shrink in proportion.
        let scale_down = (usable.len() as f64 / (long.ceil() + short)).min(1.0);
        let mut count = (long.ceil() * scale_down).round() as usize;
        let division = self
            .demands
            .as_ref()
            .and_then(|d| d.division(query.service));
        if let Some(engines) = division.and_then(|division| division.long_engines)
            && scale_down < 1.0
        {
            // Instead, the more urgent group gets what it needs.
            count = engines;
        }
        let count = count.clamp(1, usable.len() - 1);
        usable[..count].iter().map(|(_, hash)| *hash).collect()
    }

    /// Returns whether long prompts must not go to other endpoints than those for long prompts, as the
    /// engines lack time for all requests and the others are left to more urgent ones.
    fn keeps_long_prompts_apart(
        &self,
        now: Instant,
        query: &EndpointQuery<'_>,
        long_prompt_endpoints: &[u64],
    ) -> bool {
        let division = self
            .demands
            .as_ref()
            .and_then(|d| d.division(query.service));
        let is_allowed = |e: &Endpoint| {
            long_prompt_endpoints.contains(&e.hash)
                && e.is_usable(now)
                && !query.excluded.contains(&e.listed.id)
        };
        division.is_some_and(|division| division.is_short)
            && self.service_endpoints(query.service).any(is_allowed)
    }

    /// Returns the load that the callers of this instance put on each service.
    pub fn service_loads(&self, now: Instant) -> LoadByService {
        let load = |(service, demand): (&ServiceId, &Demand)| {
            let calls = self
                .service_endpoints(service)
                .map(|e| e.local_calls.len())
                .sum::<usize>();
            let service_load = ServiceLoad {
                long: demand.long.get(now),
                short: demand.short.get(now),
                calls: calls as f64,
                rate: self.prefill_rates.get(service).copied().unwrap_or(0.0),
            };
            (service.clone(), service_load)
        };
        self.demand.iter().map(load).collect()
    }

    /// Returns the load of this instance to report to the others, and remembers it as reported.
    pub fn report_load(&mut self, now: Instant) -> LoadSummary {
        let busy = self
            .endpoints
            .values()
            .filter(|e| !e.local_calls.is_empty());
        self.last_report = busy.map(|e| (e.hash, e.local_load())).collect();
        let mut by_service = self.service_loads(now);
        let demands = self.demands.as_ref();
        // What waits is not at an endpoint yet.
        for (service, long, short) in demands.into_iter().flat_map(|d| d.arriving_tokens(now)) {
            let load = by_service.entry(service.clone()).or_default();
            load.long = load.long.max(long);
            load.short = load.short.max(short);
        }
        LoadSummary {
            by_service,
            engines: self.last_report.clone(),
            kinds: demands.map_or_else(BTreeMap::new, |demands| demands.loads(now)),
        }
    }

    /// Applies the total load of all instances, which includes this one.
    pub fn apply_cluster_load(&mut self, now: Instant, total: &Arc<LoadSummary>) {
        if self
            .last_cluster_load
            .as_ref()
            .is_some_and(|last| Arc::ptr_eq(last, total))
        {
            return;
        }
        self.last_cluster_load = Some(total.clone());
        for endpoint in self.endpoints.values_mut() {
            let all = total.engines.get(&endpoint.hash).copied();
            let own = self.last_report.get(&endpoint.hash).copied();
            let (all, own) = (all.unwrap_or_default(), own.unwrap_or_default());
            let others = EngineBacklog {
                calls: all.calls.saturating_sub(own.calls),
                prefill_tokens: all.prefill_tokens.saturating_sub(own.prefill_tokens),
            };
            endpoint.remote_load = Some((others, now));
        }
    }

    /// Records the start of a call.
    pub fn start(&mut self, now: Instant, choice: &Choice, parts: &[PromptPart]) -> CallId {
        self.last_call_id += 1;
        let service = &choice.listed.service;
        self.record_demand(now, service, choice.prompt, choice.prefill_tokens);
        if let Some(demands) = &mut self.demands {
            let fraction = f64::from(choice.prefill_tokens) / f64::from(choice.prompt.max(1));
            demands.record_read(
                now,
                service,
                Kind::of(choice.urgency, choice.prompt),
                fraction,
            );
        }
        let call_id = CallId(self.last_call_id);
        let limit = self.cache_limit(&choice.listed.service);
        if let Some(endpoint) = self.endpoints.get_mut(&choice.listed.id) {
            endpoint.local_calls.push(LocalCall {
                call_id,
                started_at: now,
                prefill_tokens: choice.prefill_tokens,
                uncached_tokens: choice.unshared_tokens.min(choice.prefill_tokens),
                urgency: choice.urgency,
                expected: choice.expected,
                responded: false,
            });
            let shared_parts = &parts[..parts.len().saturating_sub(1)];
            let tokens = shared_tokens(parts);
            if tokens >= MIN_HINT_TOKENS && endpoint.cache.cached(shared_parts) < tokens {
                self.prefix_hints.push(PrefixHint {
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

    /// Returns how many prompt tokens an engine of the service is assumed to cache.
    fn cache_limit(&self, service: &ServiceId) -> u64 {
        let engine = self.engines.get(service);
        let memory = engine.map_or(DEFAULT_MEMORY_TOKENS, |engine| engine.memory);
        (memory as f64 * CACHE_FRACTION) as u64
    }

    /// Takes the prefix hints recorded since the last call, to report them to other instances.
    pub fn take_prefix_hints(&mut self) -> Vec<PrefixHint> {
        std::mem::take(&mut self.prefix_hints)
    }

    /// Records the prompt parts that other instances sent to engines.
    pub fn apply_prefix_hints(&mut self, prefix_hints: &[PrefixHint]) {
        for hint in prefix_hints {
            let mut endpoints = self.endpoints.values();
            let Some(known) = endpoints.find(|e| e.hash == hint.endpoint) else {
                continue;
            };
            let limit = self.cache_limit(&known.listed.service);
            let id = known.listed.id.clone();
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.cache.add(&hint.parts, limit);
            }
        }
    }

    /// Records a response head, and whether the endpoint executed the request.
    pub fn record_response(
        &mut self,
        now: Instant,
        call_id: CallId,
        info: &ResponseInfo,
        executed: bool,
    ) {
        let Some(endpoint) = self.call_endpoints.get(&call_id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        endpoint.record_availability(now, info.leaving, info.pause);
        if let Some(load) = info.load {
            endpoint.load = Some((load, now, endpoint.local_calls.len()));
        }
        let is_only_pending = endpoint.local_calls.iter().filter(|c| !c.responded).count() == 1;
        let Some(call) = endpoint
            .local_calls
            .iter_mut()
            .find(|c| c.call_id == call_id)
        else {
            return;
        };
        let is_first = !std::mem::replace(&mut call.responded, true);
        if executed && is_first && is_only_pending && call.uncached_tokens >= MIN_RATE_SAMPLE_TOKENS
        {
            let elapsed_ms = now.saturating_duration_since(call.started_at).as_secs_f64() * 1_000.0;
            // The engine prefilled at least the tokens that no other request shares.
            let observed = f64::from(call.uncached_tokens) / elapsed_ms.max(1.0);
            let observed = observed.clamp(*PREFILL_RATE_BOUNDS.start(), *PREFILL_RATE_BOUNDS.end());
            let service = endpoint.listed.service.clone();
            let rate = self
                .prefill_rates
                .entry(service)
                .or_insert(DEFAULT_PREFILL_RATE);
            let observed = observed.min(*rate * MAX_RATE_INCREASE);
            let weight = match observed > *rate {
                true => RATE_INCREASE_WEIGHT,
                false => RATE_DECREASE_WEIGHT,
            };
            *rate += (observed - *rate) * weight;
        }
    }

    /// Returns whether an endpoint is listed, and whether it is shutting down.
    pub fn list_status(&self, endpoint: &EndpointId) -> ListStatus {
        match self.endpoints.get(endpoint) {
            None => ListStatus::Unlisted,
            Some(known) if known.is_leaving() => ListStatus::Leaving,
            Some(_) => ListStatus::Listed,
        }
    }

    /// Returns whether the endpoint of a call is shutting down.
    pub fn is_leaving(&self, call_id: CallId) -> bool {
        let endpoint = self.call_endpoints.get(&call_id);
        let endpoint = endpoint.and_then(|id| self.endpoints.get(id));
        endpoint.is_some_and(Endpoint::is_leaving)
    }

    /// Records that an endpoint closed the connection after a response. Endpoints that shut down do
    /// so before the list shows it.
    pub fn record_close(&mut self, now: Instant, call_id: CallId) {
        let endpoint = self.call_endpoints.get(&call_id);
        if let Some(endpoint) = endpoint.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.record_close(now);
        }
    }

    /// Records the end of a call. Ending the same call again has no effect.
    pub fn end(&mut self, now: Instant, call_id: CallId, outcome: CallOutcome) {
        let Some(id) = self.call_endpoints.remove(&call_id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.local_calls.retain(|call| call.call_id != call_id);
        endpoint.end(now, outcome);
    }
}

/// An endpoint that may be chosen.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    /// Orders the endpoints, in milliseconds: the score and what else speaks against the endpoint.
    rank: f64,
    /// Expected time to the first byte and its costs for other requests, in milliseconds.
    score: f64,
    /// Expected time to the first byte in milliseconds. Only this may lead to a refusal, since a preference
    /// among endpoints does not make any of them late.
    delay: f64,
    endpoint: &'a Endpoint,
    prefill_tokens: u32,
    source: Option<SocketAddr>,
}

/// Returns a time of this many milliseconds, which a specification of the engines may put out of range.
fn expected_time(ms: f64) -> Duration {
    let time = Duration::try_from_secs_f64(ms / 1_000.0);
    time.map_or(MAX_EXPECTED_DELAY, |time| time.min(MAX_EXPECTED_DELAY))
}

/// The status of an endpoint on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    /// The endpoint accepts requests.
    Listed,
    /// The endpoint is shutting down.
    Leaving,
    /// The endpoint is not listed.
    Unlisted,
}

/// A change to the platform's list of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// The new state: `ready`, `leaving` or `gone`.
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
