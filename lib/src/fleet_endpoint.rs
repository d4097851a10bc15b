//! What this instance has seen of one endpoint, and how long a request is expected to wait there.

use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::dialect::ListedEndpoint;
use crate::dialect::StatedLoad;
use crate::fleet::Ticket;
use crate::ids::ZoneId;
use crate::prompt_cache::PromptCache;
use crate::work::EngineBacklog;

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

/// Age from which a stated load says nothing.
const STALE: Duration = Duration::from_secs(2);

/// Weight of the end of a call in the memory of failures: a refusal says little, an error of the endpoint
/// more, a broken connection most.
const REFUSED_WEIGHT: f64 = 0.3;
const FAILED_WEIGHT: f64 = 0.5;
const BROKEN_WEIGHT: f64 = 1.0;

/// Part of the memory of failures that an answer leaves.
const SERVED_KEEPS: f64 = 0.5;

/// Largest memory of failures, so that an endpoint that comes back is used again within some halvings.
const MAX_FAILURES: f64 = 4.0;

/// Memory of failures from which the expected delay is a guess.
const DOUBTFUL: f64 = 0.1;

/// Longest pause that an endpoint is granted; a longer one would take it out of use by a slip.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Reading time in milliseconds of other instances' prompts from which they count: less has been read since
/// they told, half a second ago, and a reaction to it would only move the requests of all at once.
const OTHERS_TIME: f64 = 500.0;

/// Part of the places from which the requests of other instances count, for the same reason.
const OTHERS_USE: f64 = 0.75;

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

/// A call of this instance at an endpoint.
#[derive(Debug)]
pub(crate) struct OwnCall {
    pub ticket: Ticket,
    pub since: Instant,
    pub unread: u32,
    /// Unread tokens that no other request shares.
    pub certain: u32,
    pub expected: Duration,
    pub answered: bool,
}

/// What this instance knows about an endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub listed: ListedEndpoint,
    pub hash: u64,
    pub own: Vec<OwnCall>,
    /// Stated load, when it arrived, and the own calls at that time.
    pub load: Option<(StatedLoad, Instant, usize)>,
    /// Requests of other instances, and when they were told.
    pub others: Option<(EngineBacklog, Instant)>,
    /// Weight of failures at the time of the newest one.
    pub failures: f64,
    pub failed: Instant,
    /// Recent answers after which it closed the connection.
    pub closed: Vec<Instant>,
    /// Cannot be used until the list names it again.
    pub gone: bool,
    /// Its answers say that it leaves, which the list tells later.
    leaving: bool,
    /// Until when it wants no requests.
    paused: Option<Instant>,
    pub cache: PromptCache,
}

impl Endpoint {
    pub(crate) fn new(now: Instant, listed: ListedEndpoint) -> Self {
        Self {
            hash: affinity::hash_name(listed.id.as_str()),
            listed,
            own: Vec::new(),
            load: None,
            others: None,
            failures: 0.0,
            failed: now,
            closed: Vec::new(),
            gone: false,
            leaving: false,
            paused: None,
            cache: PromptCache::default(),
        }
    }

    /// Tells whether it takes new requests.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.leaves() && !self.gone && self.paused.is_none_or(|until| now >= until)
    }

    /// Tells whether it will stop soon, by the list or by its own answers.
    pub(crate) fn leaves(&self) -> bool {
        self.listed.leaving || self.leaving
    }

    /// Returns when it takes requests again, if a pause is all that keeps them away.
    pub(crate) fn resumes(&self) -> Option<Instant> {
        self.paused.filter(|_| !self.leaves() && !self.gone)
    }

    /// Takes over its entry on a newer list.
    pub(crate) fn relist(&mut self, listed: ListedEndpoint) {
        // An engine may come back under the name that it had; the list shows both states.
        if self.listed.leaving && !listed.leaving {
            self.leaving = false;
        }
        self.listed = listed;
    }

    /// Records what the head of an answer says about further requests.
    pub(crate) fn note_wishes(&mut self, now: Instant, leaving: bool, pause: Option<Duration>) {
        self.leaving |= leaving;
        let until = pause.map(|pause| now + pause.min(MAX_PAUSE));
        self.paused = self.paused.max(until);
    }

    fn unread(&self) -> u64 {
        let waiting = self.own.iter().filter(|call| !call.answered);
        waiting.map(|call| u64::from(call.unread)).sum()
    }

    /// Returns the own requests as other instances are told.
    pub(crate) fn at_engine(&self) -> EngineBacklog {
        EngineBacklog {
            calls: u32::try_from(self.own.len()).unwrap_or(u32::MAX),
            unread: u32::try_from(self.unread()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the requests of other instances, unless it was told too long ago.
    fn others(&self, now: Instant) -> EngineBacklog {
        let known = self
            .others
            .filter(|(_, at)| now.saturating_duration_since(*at) < STALE);
        known.map_or_else(EngineBacklog::default, |(others, _)| others)
    }

    fn recent_failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failed).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_FADES.as_secs_f64())
    }

    /// Records the end of a call, which is no longer among the own ones.
    pub(crate) fn end(&mut self, now: Instant, end: CallEnd) {
        match end {
            CallEnd::Served => self.failures = self.recent_failures(now) * SERVED_KEEPS,
            CallEnd::Cancelled => return,
            CallEnd::Replaced => self.gone = true,
            CallEnd::Refused => self.fail(now, REFUSED_WEIGHT),
            CallEnd::Failed => self.fail(now, FAILED_WEIGHT),
            CallEnd::Broken | CallEnd::Unreachable => {
                // A crashed engine holds nothing any more.
                self.cache = PromptCache::default();
                self.fail(now, BROKEN_WEIGHT);
            }
        }
        self.failed = now;
    }

    /// Records an answer after which the endpoint closed the connection.
    pub(crate) fn note_close(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < LEAVING_FADES;
        self.closed.retain(is_recent);
        self.closed.push(now);
    }

    fn fail(&mut self, now: Instant, weight: f64) {
        self.failures = (self.recent_failures(now) + weight).min(MAX_FAILURES);
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.own.iter().any(|call| {
            let limit = call.expected.mul_f64(SILENT_FACTOR).max(SILENT);
            !call.answered && now.saturating_duration_since(call.since) > limit
        })
    }

    /// Tells whether the expected delay is a guess from failures rather than from load.
    pub(crate) fn is_doubtful(&self, now: Instant) -> bool {
        self.is_silent(now) || self.recent_failures(now) > DOUBTFUL
    }

    /// Returns how many requests it is taken to run and to queue, at least `all`.
    fn busy(&self, now: Instant, all: f64) -> (f64, f64) {
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
        let running = running.max(all);
        (running.min(slots), waiting + (running - slots).max(0.0))
    }

    /// Returns the disadvantage in milliseconds of an endpoint that other instances have crowded.
    ///
    /// It is no part of the expected time: half a second old, it may order endpoints but turn nobody away.
    pub(crate) fn crowding(&self, now: Instant, rate: f64) -> f64 {
        let others = self.others(now);
        let reading = (f64::from(others.unread) / rate - OTHERS_TIME).max(0.0);
        let slots = f64::from(self.listed.slots.max(1));
        let all = self.own.len() as f64 + f64::from(others.calls);
        if all <= slots * OTHERS_USE {
            return reading;
        }
        reading + self.load_delay(now, all) - self.load_delay(now, 0.0)
    }

    /// Returns the delay in milliseconds by the requests that run and wait, at least `all`.
    fn load_delay(&self, now: Instant, all: f64) -> f64 {
        let (running, waiting) = self.busy(now, all);
        let use_share = running / f64::from(self.listed.slots.max(1));
        FULL_DELAY * use_share * use_share + WAITING_DELAY * waiting
    }

    /// Returns the expected time to the first byte in milliseconds.
    pub(crate) fn delay(&self, now: Instant, unread: u32, rate: f64, zone: &ZoneId) -> f64 {
        let tokens = self.unread() as f64 + f64::from(unread);
        let mut delay = tokens / rate + self.load_delay(now, 0.0);
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
