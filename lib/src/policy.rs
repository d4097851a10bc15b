//! Interface between traffic threads and the decisions of when and where a request runs.
//!
//! A policy is pure: it is told what happened and when, and appends its decisions to a buffer. The
//! naive version is [`crate::simple_policy`]; section 5 of `docs/design.md` explains the split.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::code::ResultCode;
use crate::control::Suspicion;
use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::RequestId;
use crate::ids::RouteId;
use crate::ids::WorkspaceId;
use crate::view::View;

/// A request that has passed authentication and asks to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub id: RequestId,
    /// The workspace whose key came with it, or the owner of an open route.
    pub workspace: WorkspaceId,
    /// The class that sets tier and targets.
    pub class: ClassId,
    /// The route that names the eligible endpoints.
    pub route: RouteId,
    /// The model, for engine calls.
    pub model: Option<ModelId>,
    /// Estimated number of prompt tokens.
    pub prompt: u32,
    /// Upper bound on output tokens stated by the caller.
    pub limit: Option<u32>,
    /// Hashes of growing prompt prefixes, the shortest first, for cache affinity.
    pub prefixes: Vec<u64>,
    /// Hash of workspace and body, by which requests that crash endpoints are recognised.
    pub fingerprint: u64,
    /// Time by which the first token, or the whole answer of a service call, is due.
    pub deadline: Instant,
    /// Endpoints that already failed this request and must not be chosen again.
    pub excluded: Vec<EndpointId>,
    /// Tokens already delivered to the caller by an earlier attempt.
    pub resumed: u32,
}

/// How one attempt on an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The whole answer was delivered.
    Finished,
    /// The caller left, or its key was withdrawn.
    Cancelled,
    /// No connection was made, so nothing ran.
    Unreachable,
    /// The endpoint refused the call as overloaded.
    Overloaded,
    /// The connection broke after the call was sent.
    Crashed,
    /// The endpoint exceeded a time limit.
    TimedOut,
    /// The endpoint answered with an error of the request itself.
    Rejected,
}

/// What an attempt consumed and how it ended.
#[derive(Clone, Debug)]
pub struct Completion {
    /// How the attempt ended.
    pub ending: Ending,
    /// Prompt tokens processed.
    pub prompt: u32,
    /// Output tokens received.
    pub output: u32,
    /// Time from dispatch to the first token.
    pub first: Option<Duration>,
    /// Time from dispatch to the end.
    pub total: Duration,
}

/// A load report of an endpoint, which describes a moment in the past.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// The reporting endpoint.
    pub endpoint: EndpointId,
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// Requests it can process at once.
    pub slots: u32,
    /// Share of KV cache in use, from 0 to 1.
    pub kv: f64,
    /// The endpoint will stop soon.
    pub leaving: bool,
    /// Models it has loaded.
    pub models: Vec<ModelId>,
    /// Number that grows with each report, so that a reordered one is dropped.
    pub sequence: u64,
}

/// Cache events of an endpoint in the order in which they were published.
#[derive(Clone, Debug, Default)]
pub struct CacheEvents {
    /// Number of the first event of this batch.
    pub first: u64,
    /// Hashes of prefixes that were stored.
    pub stored: Vec<u64>,
    /// Hashes of prefixes that were evicted.
    pub evicted: Vec<u64>,
}

impl CacheEvents {
    /// Returns the number of events.
    pub fn count(&self) -> u64 {
        (self.stored.len() + self.evicted.len()) as u64
    }
}

/// Why a decision was made, for the decision log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Decision {
    /// Short name of the rule that decided.
    pub reason: &'static str,
    /// Endpoints considered, with their score (lower is better).
    pub candidates: Vec<Candidate>,
    /// Predicted time to the first token in milliseconds.
    pub predicted: Option<u64>,
}

/// One endpoint considered in a decision.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its score in milliseconds of expected delay and penalties; lower is better.
    pub score: f64,
}

/// A decision about one request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run the request on the endpoint.
    Start {
        /// The request.
        request: RequestId,
        /// Where it runs.
        endpoint: EndpointId,
        /// Why.
        decision: Decision,
    },
    /// Refuse the request; it has not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// The code the caller sees.
        code: ResultCode,
        /// When a retry is worthwhile.
        retry: Option<Duration>,
        /// Why.
        decision: Decision,
    },
}

/// Decides when and where requests run.
pub trait Policy: Send {
    /// Replaces the view of rules and endpoints.
    fn install(&mut self, now: Instant, view: Arc<View>);

    /// Accepts a request, which is started, queued or refused.
    fn submit(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>);

    /// Records the end of a started attempt, which frees its place.
    fn complete(
        &mut self,
        now: Instant,
        request: RequestId,
        completion: &Completion,
        actions: &mut Vec<Action>,
    );

    /// Forgets a queued request whose caller left; it has not run.
    fn cancel(&mut self, now: Instant, request: RequestId, actions: &mut Vec<Action>);

    /// Takes in a load report.
    fn report(&mut self, now: Instant, report: &LoadReport, actions: &mut Vec<Action>);

    /// Takes in cache events of an endpoint.
    fn apply_cache_events(&mut self, _now: Instant, _endpoint: &EndpointId, _events: &CacheEvents) {
    }

    /// Takes over how many entries there are, this one included.
    ///
    /// Entries divide the endpoints among themselves; without this call the number is estimated
    /// from load reports, and an entry that fell behind regains its part only slowly.
    fn set_instance_count(&mut self, _now: Instant, _count: u32) {}

    /// Takes over what the control state knows about a fingerprint; called before `submit`.
    fn set_suspicion(&mut self, _now: Instant, _fingerprint: u64, _suspicion: Suspicion) {}

    /// Acts on the passing of time; called about every 10 ms.
    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>);

    /// Returns the number of queued requests.
    fn queued(&self) -> usize;
}
