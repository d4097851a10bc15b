//! State of one endpoint as observed by this instance, and the expected time to the first byte
//! there.

use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::dialect::ListedEndpoint;
use crate::dialect::ReportedLoad;
use crate::endpoint_limit::Admission;
use crate::fleet::CallId;
use crate::ids::ZoneId;
use crate::prompt_cache::PromptCache;
use crate::service_load::EngineBacklog;

/// Delay that a fully used endpoint adds to a request. It grows with the square of the utilization,
/// since an engine with many requests is usually one that prefills without pause.
const FULL_LOAD_DELAY_MS: f64 = 400.0;

/// Delay that each queued request adds.
const QUEUED_REQUEST_DELAY_MS: f64 = 25.0;

/// Penalty of an endpoint in another zone, for the round trip and the price of traffic between
/// zones.
const CROSS_ZONE_PENALTY_MS: f64 = 6.0;

/// Penalty of one recent failure.
const FAILURE_PENALTY_MS: f64 = 1_500.0;

/// Half-life of the failure score.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time for which a closed connection counts as a sign that an endpoint shuts down; after that, the
/// list shows it.
const CLOSE_WINDOW: Duration = Duration::from_millis(1_500);

/// Penalty of a single closed connection.
const SINGLE_CLOSE_PENALTY_MS: f64 = 150.0;

/// Penalty of several closed connections.
const REPEATED_CLOSE_PENALTY_MS: f64 = 3_000.0;

/// Shortest time without a first byte after which an endpoint counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// Multiple of the expected time to the first byte after which an endpoint counts as silent.
const SILENCE_FACTOR: f64 = 3.0;

/// Penalty of a silent endpoint.
const SILENCE_PENALTY_MS: f64 = 8_000.0;

/// Age from which a reported load is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Increase of the failure score by the end of a call: a refusal says little about the endpoint, an
/// error response more, a broken connection most.
const REFUSED_WEIGHT: f64 = 0.3;
const FAILED_WEIGHT: f64 = 0.5;
const BROKEN_WEIGHT: f64 = 1.0;

/// Factor by which a successful response reduces the failure score.
const SUCCESS_DECAY: f64 = 0.5;

/// Largest failure score, so that a recovered endpoint is used again after a few half-lives.
const MAX_FAILURE_SCORE: f64 = 4.0;

/// Failure score above which the expected time is uncertain.
const UNCERTAIN_FAILURE_SCORE: f64 = 0.1;

/// Longest pause that is honoured; a longer one, stated by mistake, would take the endpoint out of
/// use.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Prefill time of other instances' prompts that is ignored. Reports are half a second old: this
/// much has been prefilled since, and reacting to it would only make all instances move their
/// requests at the same time.
const IGNORED_REMOTE_PREFILL_MS: f64 = 500.0;

/// Fraction of the slots up to which requests of other instances are ignored, for the same reason.
const IGNORED_REMOTE_SLOT_FRACTION: f64 = 0.75;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response arrived.
    Served,
    /// The endpoint refused the request and did not execute it.
    Refused,
    /// The endpoint responded with an error of its own.
    Failed,
    /// The connection broke, or the response was invalid.
    Broken,
    /// No connection could be established.
    Unreachable,
    /// The address now belongs to another endpoint.
    Replaced,
    /// The caller disconnected or its deadline passed.
    Cancelled,
}

impl CallOutcome {
    /// Returns the name used in logs and metrics.
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

/// A call of this instance to an endpoint.
#[derive(Debug)]
pub(crate) struct LocalCall {
    pub call_id: CallId,
    pub started_at: Instant,
    /// Prompt tokens that the endpoint is expected to prefill.
    pub prefill_tokens: u32,
    /// Prompt tokens that no other request shares, so that they cannot be cached.
    pub uncached_tokens: u32,
    /// Urgency of the request, 0 for the most urgent.
    pub urgency: u8,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// Whether a response head has arrived.
    pub responded: bool,
}

/// The state of an endpoint as observed by this instance.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub listed: ListedEndpoint,
    pub hash: u64,
    pub local_calls: Vec<LocalCall>,
    /// The reported load, when it arrived, and the number of local calls at that time.
    pub load: Option<(ReportedLoad, Instant, usize)>,
    /// Load of other instances, and when it was received.
    pub remote_load: Option<(EngineBacklog, Instant)>,
    /// Failure score at the time in `failure_score_at`; it decays with [`FAILURE_HALF_LIFE`].
    pub failure_score: f64,
    pub failure_score_at: Instant,
    /// Times of recent responses after which the endpoint closed the connection.
    pub close_times: Vec<Instant>,
    /// The address belongs to another endpoint; unusable until the endpoint leaves the list or is
    /// listed with another address.
    pub is_replaced: bool,
    /// The endpoint announced its shutdown in a response, possibly before the list shows it.
    leaving: bool,
    /// Operators have evacuated the endpoint's zone ([`crate::evacuation`]).
    pub is_evacuated: bool,
    /// The endpoint asked for no requests until this time.
    paused_until: Option<Instant>,
    /// Whether the limit that the endpoint states allows a request of this instance.
    pub admission: Admission,
    pub cache: PromptCache,
}

impl Endpoint {
    pub(crate) fn new(now: Instant, listed: ListedEndpoint) -> Self {
        Self {
            hash: affinity::hash_name(listed.id.as_str()),
            listed,
            local_calls: Vec::new(),
            load: None,
            remote_load: None,
            failure_score: 0.0,
            failure_score_at: now,
            close_times: Vec::new(),
            is_replaced: false,
            leaving: false,
            is_evacuated: false,
            paused_until: None,
            admission: Admission::Unlimited,
            cache: PromptCache::default(),
        }
    }

    /// Returns whether the endpoint accepts new requests.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.is_leaving()
            && !self.is_replaced
            && !self.is_evacuated
            && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the endpoint accepts new requests and states no limit.
    pub(crate) fn is_unlimited(&self, now: Instant) -> bool {
        self.is_usable(now) && self.admission == Admission::Unlimited
    }

    /// Returns whether the endpoint is shutting down, according to the list or to its responses.
    pub(crate) fn is_leaving(&self) -> bool {
        self.listed.leaving || self.leaving
    }

    /// Returns when the endpoint accepts requests again, if only a pause prevents it.
    pub(crate) fn resume_time(&self) -> Option<Instant> {
        self.paused_until
            .filter(|_| !self.is_leaving() && !self.is_replaced && !self.is_evacuated)
    }

    /// Applies the endpoint's entry in a newer list.
    pub(crate) fn update_listing(&mut self, listed: ListedEndpoint) {
        // A restarted engine may reuse the name; the list then shows first one state, then the
        // other.
        if self.listed.leaving && !listed.leaving {
            self.leaving = false;
        }
        self.listed = listed;
    }

    /// Records whether the endpoint announced its shutdown or asked for a pause in a response head.
    pub(crate) fn record_availability(
        &mut self,
        now: Instant,
        leaving: bool,
        pause: Option<Duration>,
    ) {
        self.leaving |= leaving;
        let until = pause.map(|pause| now + pause.min(MAX_PAUSE));
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns the tokens of local calls that the endpoint has yet to prefill.
    pub(crate) fn pending_prefill_tokens(&self) -> u64 {
        self.prefill_tokens_before(u8::MAX)
    }

    /// Returns the tokens of local calls that the endpoint prefills before a new request of this urgency,
    /// as it takes more urgent ones first.
    pub(crate) fn prefill_tokens_before(&self, urgency: u8) -> u64 {
        let before = |call: &&LocalCall| !call.responded && call.urgency <= urgency;
        let waiting = self.local_calls.iter().filter(before);
        waiting.map(|call| u64::from(call.prefill_tokens)).sum()
    }

    /// Returns the local calls as load to report to other instances.
    pub(crate) fn local_load(&self) -> EngineBacklog {
        EngineBacklog {
            calls: u32::try_from(self.local_calls.len()).unwrap_or(u32::MAX),
            prefill_tokens: u32::try_from(self.pending_prefill_tokens()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the load of other instances, or an empty one if the report is too old.
    fn recent_remote_load(&self, now: Instant) -> EngineBacklog {
        let known = self
            .remote_load
            .filter(|(_, at)| now.saturating_duration_since(*at) < MAX_LOAD_AGE);
        known.map_or_else(EngineBacklog::default, |(remote, _)| remote)
    }

    fn current_failure_score(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.failure_score_at)
            .as_secs_f64();
        self.failure_score * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Records the end of a call, which the caller has removed from the local calls.
    pub(crate) fn end(&mut self, now: Instant, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Served => {
                self.failure_score = self.current_failure_score(now) * SUCCESS_DECAY
            }
            CallOutcome::Cancelled => return,
            CallOutcome::Replaced => self.is_replaced = true,
            CallOutcome::Refused => self.fail(now, REFUSED_WEIGHT),
            CallOutcome::Failed => self.fail(now, FAILED_WEIGHT),
            CallOutcome::Broken | CallOutcome::Unreachable => {
                // A crashed engine has lost its cache.
                self.cache = PromptCache::default();
                self.fail(now, BROKEN_WEIGHT);
            }
        }
        self.failure_score_at = now;
    }

    /// Records a response after which the endpoint closed the connection.
    pub(crate) fn record_close(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CLOSE_WINDOW;
        self.close_times.retain(is_recent);
        self.close_times.push(now);
    }

    fn fail(&mut self, now: Instant, weight: f64) {
        self.failure_score = (self.current_failure_score(now) + weight).min(MAX_FAILURE_SCORE);
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.local_calls.iter().any(|call| {
            let limit = call.expected.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
            !call.responded && now.saturating_duration_since(call.started_at) > limit
        })
    }

    /// Returns whether the expected time derives from failures rather than from load.
    pub(crate) fn is_uncertain(&self, now: Instant) -> bool {
        self.is_silent(now) || self.current_failure_score(now) > UNCERTAIN_FAILURE_SCORE
    }

    /// Returns the estimated numbers of running and of queued requests; `min_requests` is a lower
    /// bound on their sum.
    fn occupancy(&self, now: Instant, min_requests: f64) -> (f64, f64) {
        let own = self.local_calls.len() as f64;
        let (running, waiting) = match self.load {
            Some((load, at, calls_then)) if now.saturating_duration_since(at) < MAX_LOAD_AGE => {
                let calls_since = own - calls_then as f64;
                let running = f64::from(load.running) + calls_since;
                (running.max(own), f64::from(load.waiting))
            }
            _ => (own, 0.0),
        };
        let slots = f64::from(self.listed.slots.max(1));
        let running = running.max(min_requests);
        (running.min(slots), waiting + (running - slots).max(0.0))
    }

    /// Returns whether the endpoint is known to have places for this many further requests, from a load that
    /// it stated recently and from what other instances have sent there.
    pub(crate) fn has_places(&self, now: Instant, count: f64) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_LOAD_AGE;
        let is_known = self.load.is_some_and(|(_, at, _)| is_recent(at));
        let sent = self.local_calls.len() as f64 + f64::from(self.recent_remote_load(now).calls);
        let (running, waiting) = self.occupancy(now, sent);
        is_known && running + waiting + count <= f64::from(self.listed.slots.max(1))
    }

    /// Returns the penalty, in milliseconds, for load that other instances put on the endpoint.
    ///
    /// It is not part of the expected time: with information that is half a second old, endpoints
    /// may be ordered, but no request may be rejected.
    pub(crate) fn remote_load_penalty(&self, now: Instant, rate: f64) -> f64 {
        let remote = self.recent_remote_load(now);
        let prefill_ms =
            (f64::from(remote.prefill_tokens) / rate - IGNORED_REMOTE_PREFILL_MS).max(0.0);
        let slots = f64::from(self.listed.slots.max(1));
        let all = self.local_calls.len() as f64 + f64::from(remote.calls);
        if all <= slots * IGNORED_REMOTE_SLOT_FRACTION {
            return prefill_ms;
        }
        prefill_ms + self.load_delay(now, all) - self.load_delay(now, 0.0)
    }

    /// Returns the delay, in milliseconds, caused by running and queued requests; `min_requests` is
    /// a lower bound on their number.
    fn load_delay(&self, now: Instant, min_requests: f64) -> f64 {
        let (running, waiting) = self.occupancy(now, min_requests);
        let utilization = running / f64::from(self.listed.slots.max(1));
        FULL_LOAD_DELAY_MS * utilization * utilization + QUEUED_REQUEST_DELAY_MS * waiting
    }

    /// Returns the expected time to the first byte in milliseconds, if the endpoint prefills this number of
    /// tokens until then.
    pub(crate) fn expected_delay(
        &self,
        now: Instant,
        prefill_tokens: u64,
        rate: f64,
        zone: &ZoneId,
    ) -> f64 {
        let mut delay = prefill_tokens as f64 / rate + self.load_delay(now, 0.0);
        if self.listed.zone != *zone {
            delay += CROSS_ZONE_PENALTY_MS;
        }
        delay += FAILURE_PENALTY_MS * self.current_failure_score(now);
        if self.is_silent(now) {
            delay += SILENCE_PENALTY_MS;
        }
        delay
    }

    /// Returns the penalty, in milliseconds, for connections that the endpoint closed recently.
    ///
    /// It orders endpoints and is not part of the expected time: an endpoint that closes its connections answers
    /// as soon as any other.
    pub(crate) fn close_penalty(&self, now: Instant) -> f64 {
        let recent = |at: &&Instant| now.saturating_duration_since(**at) < CLOSE_WINDOW;
        match self.close_times.iter().filter(recent).count() {
            0 => 0.0,
            // A single closed connection also occurs at healthy endpoints.
            1 => SINGLE_CLOSE_PENALTY_MS,
            _ => REPEATED_CLOSE_PENALTY_MS,
        }
    }
}
