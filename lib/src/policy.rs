//! Interface between traffic threads and the policy that decides when and where a request runs.
//!
//! A policy performs no I/O and reads no clock: it receives events with their time, and appends its
//! decisions to a buffer. The naive implementation is [`crate::simple_policy`], and section 5 of
//! `docs/design.md` explains the separation.

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

/// An authenticated request that is submitted to the policy.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Request identifier.
    pub id: RequestId,
    /// Workspace of the API key sent with the request, or the owner of an open route.
    pub workspace: WorkspaceId,
    /// Class that determines tier and latency targets.
    pub class: ClassId,
    /// Route that determines the eligible endpoints.
    pub route: RouteId,
    /// Requested model, for engine calls.
    pub model: Option<ModelId>,
    /// Estimated number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of output tokens requested by the caller.
    pub limit: Option<u32>,
    /// Hashes of prompt prefixes of increasing length, the shortest first, for cache affinity.
    pub prefixes: Vec<u64>,
    /// Hash of workspace and body that identifies requests that crash endpoints, or zero if no hash
    /// was computed.
    pub fingerprint: u64,
    /// Time by which the next token, or the complete response of a service call, is due.
    pub deadline: Instant,
    /// Endpoints that already failed this request and must not be selected again.
    pub excluded: Vec<EndpointId>,
    /// Number of tokens already delivered to the caller by earlier attempts.
    pub resumed: u32,
}

/// How one attempt on an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The complete response was delivered.
    Finished,
    /// The caller disconnected, or its API key was revoked.
    Cancelled,
    /// No connection was established, so the request was not executed.
    Unreachable,
    /// The endpoint rejected the call because of overload.
    Overloaded,
    /// The connection was lost after the call was sent.
    Crashed,
    /// The endpoint exceeded a time limit.
    TimedOut,
    /// The endpoint responded with an error caused by the request itself.
    Rejected,
}

/// Outcome and resource usage of an attempt on an endpoint.
#[derive(Clone, Debug)]
pub struct Completion {
    /// How the attempt ended.
    pub ending: Ending,
    /// Number of prompt tokens processed.
    pub prompt: u32,
    /// Number of output tokens received.
    pub output: u32,
    /// Time from dispatch to the first token.
    pub first: Option<Duration>,
    /// Time from dispatch to the end.
    pub total: Duration,
}

/// Load report of an endpoint, which describes its state at a time in the past.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Endpoint that sent the report.
    pub endpoint: EndpointId,
    /// Number of requests being processed.
    pub running: u32,
    /// Number of requests queued at the endpoint.
    pub waiting: u32,
    /// Number of requests that the endpoint can process concurrently.
    pub slots: u32,
    /// Fraction of the KV cache in use, from 0 to 1.
    pub kv: f64,
    /// Whether the endpoint is about to stop.
    pub leaving: bool,
    /// Models that the endpoint has loaded.
    pub models: Vec<ModelId>,
    /// Sequence number that increases with each report, so that reordered reports are dropped.
    pub sequence: u64,
}

/// Cache events of an endpoint in the order in which they were published.
#[derive(Clone, Debug, Default)]
pub struct CacheEvents {
    /// Sequence number of the first event of this batch.
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

/// Reason for a decision, written to the decision log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Decision {
    /// Short name of the rule that applied.
    pub reason: &'static str,
    /// Endpoints that were considered, with their scores.
    pub candidates: Vec<Candidate>,
    /// Predicted time to the first token in milliseconds.
    pub predicted: Option<u64>,
}

/// An endpoint considered in a decision.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// Endpoint identifier.
    pub endpoint: EndpointId,
    /// Expected delay and penalties in milliseconds; lower is better.
    pub score: f64,
}

/// A decision about one request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start the request on an endpoint.
    Start {
        /// Request to start.
        request: RequestId,
        /// Endpoint that is to run the request.
        endpoint: EndpointId,
        /// Reason for the selection.
        decision: Decision,
    },
    /// Refuse a request that has not been executed.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Result code returned to the caller.
        code: ResultCode,
        /// Delay after which the caller may retry, or `None` if a retry is not useful.
        retry: Option<Duration>,
        /// Reason for the refusal.
        decision: Decision,
    },
}

/// Decides when and where requests run.
pub trait Policy: Send {
    /// Replaces the view of rules and endpoints.
    fn install(&mut self, now: Instant, view: Arc<View>);

    /// Submits a request, which is started, queued or refused.
    fn submit(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>);

    /// Records the end of a started attempt, which releases its slot.
    fn complete(
        &mut self,
        now: Instant,
        request: RequestId,
        completion: &Completion,
        actions: &mut Vec<Action>,
    );

    /// Removes a queued request whose caller has disconnected.
    fn cancel(&mut self, now: Instant, request: RequestId, actions: &mut Vec<Action>);

    /// Processes a load report.
    fn report(&mut self, now: Instant, report: &LoadReport, actions: &mut Vec<Action>);

    /// Processes cache events of an endpoint.
    fn apply_cache_events(&mut self, _now: Instant, _endpoint: &EndpointId, _events: &CacheEvents) {
    }

    /// Sets the number of instances, including this one.
    ///
    /// Instances divide the slots of endpoints among themselves. Without this call, their number is
    /// estimated from load reports, and an instance that got too few slots regains them only
    /// slowly.
    fn set_instance_count(&mut self, _now: Instant, _count: u32) {}

    /// Sets the suspicion that the control state holds for a fingerprint; called before `submit`.
    fn set_suspicion(&mut self, _now: Instant, _fingerprint: u64, _suspicion: Suspicion) {}

    /// Processes timeouts and other time-dependent decisions; called about every 10 ms.
    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>);

    /// Returns the number of queued requests.
    fn queued(&self) -> usize;
}
