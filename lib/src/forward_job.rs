//! Processing of one forwarded request: attempts at endpoints, retries and the response to the caller.
//!
//! [`decide_retry`] decides whether a failed attempt is retried; it is a pure function, separate from the
//! calls themselves.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use rand::Rng;

use crate::code::ResultCode;
use crate::command::UsageRow;
use crate::control::Control;
use crate::dialect::ForwardContext;
use crate::dialect::RequestInfo;
use crate::dialect::RequestRate;
use crate::dialect::RunCopy;
use crate::fingerprint::RequestPrints;
use crate::fleet;
use crate::fleet::CallId;
use crate::fleet::CallOutcome;
use crate::fleet::Choice;
use crate::fleet::EndpointQuery;
use crate::fleet::SelectionError;
use crate::forward::Forwarder;
use crate::forward_call::CallGuard;
use crate::forward_call::Failure;
use crate::forward_call::FirstChunk;
use crate::forward_call::PendingCall;
use crate::forward_call::StartPoint;
use crate::forward_call::StartedResponse;
use crate::forward_call::Target;
use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::open_requests::OpenRequestGuard;
use crate::refused_callers::Need;
use crate::retry::RetryChance;
use crate::return_time;
use crate::return_time::MIN_RETRY_AFTER;
use crate::route_table::EngineSpec;
use crate::route_table::RetryPolicy;
use crate::route_table::Route;
use crate::server::HangUp;
use crate::server::Response;
use crate::stream_head::StreamHead;
use crate::upstream;
use crate::upstream::Call;
use crate::upstream::CallError;
use crate::upstream::Client;
use crate::upstream::Delimiter;
use crate::upstream::Echo;

/// Time subtracted from the deadline sent to an endpoint, so that its response can still reach the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Minimum remaining time for an attempt; with less, the request would more likely end with an unknown
/// outcome than with a response.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// Multiple of the usual delay after which an endpoint that sends nothing is abandoned.
const STALL_TIMEOUT_FACTOR: u32 = 3;

/// Minimum stall timeout of an endpoint; callers disconnect after 2 s.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum number of failed connection attempts after which a request is still retried.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Largest factor on the time after which a caller is to come back, so that callers which were refused
/// together do not come back together.
const MAX_RETURN_SPREAD: f64 = 1.25;

/// Class in the usage rows of all forwarded requests, which the platform accounts by workspace only.
const USAGE_CLASS: &str = "forwarded";

/// An error response that this instance generates itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub code: ResultCode,
    /// `Retry-After` of the response.
    pub retry: Option<Duration>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, retry: None }
    }
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another endpoint.
    Retry,
    /// Return the failure to the caller.
    GiveUp,
}

/// Decides whether an attempt that failed before any part of a response was sent is retried.
///
/// A request that certainly has not run can always be retried; one that may have run only if its route
/// declares it repeatable. Failures to connect do not count as attempts.
pub fn decide_retry(
    policy: RetryPolicy,
    outcome: CallOutcome,
    attempts: u32,
    max_attempts: u32,
) -> RetryDecision {
    match (has_not_run(outcome) || policy.is_retryable()) && attempts < max_attempts {
        true => RetryDecision::Retry,
        false => RetryDecision::GiveUp,
    }
}

/// Returns whether a call with this outcome certainly did not run its request.
pub(crate) fn has_not_run(outcome: CallOutcome) -> bool {
    matches!(
        outcome,
        CallOutcome::Refused | CallOutcome::Unreachable | CallOutcome::Replaced
    )
}

/// Result of an attempt: a response, why the endpoint gave none, or the refusal if there was no endpoint.
pub(crate) type AttemptResult = Result<Result<StartedResponse, Failure>, Refusal>;

/// A request that is being forwarded.
pub(crate) struct Job {
    pub forwarder: Arc<Forwarder>,
    pub client: Client,
    pub method: http::Method,
    /// Path and query.
    pub target: String,
    /// Fingerprints, which are the same each time the caller sends the request.
    pub prints: RequestPrints,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub info: RequestInfo,
    pub route: Arc<Route>,
    pub service: ServiceId,
    /// Capabilities of the service's engines, if it is served by engines.
    pub engine: Option<EngineSpec>,
    pub workspace: Option<WorkspaceId>,
    /// Rank by urgency; 0 is the most urgent.
    pub rank: u8,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Deadline for the complete response or an error.
    pub deadline: Instant,
    /// Revision of the configuration by which the request was routed.
    pub revision: u64,
    /// Number of attempts that reached an endpoint.
    pub attempts: u32,
    /// Number of attempts that could not connect to an endpoint.
    pub connect_failures: u32,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Endpoints that failed in an earlier attempt.
    pub excluded: Vec<EndpointId>,
    /// Whether the request was recorded as usage.
    pub usage_recorded: AtomicBool,
    /// Head of the event stream that the caller is receiving, which all later attempts must continue.
    pub stream: Option<StreamHead>,
    /// Resets the connection of the caller.
    pub hang_up: Option<HangUp>,
    pub _guard: OpenRequestGuard,
}

impl Job {
    pub(crate) fn now(&self) -> Instant {
        self.forwarder.settings.clock.now()
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.now())
    }

    /// Returns the time in which the caller must get an answer or its beginning, which the end of a stop may
    /// shorten.
    pub(crate) fn answer_time_left(&self) -> Duration {
        let end = self.forwarder.answer_time();
        let end = end.map_or(self.deadline, |end| end.min(self.deadline));
        end.saturating_duration_since(self.now())
    }

    /// Makes attempts until one gives a response or no further attempt is allowed.
    pub(crate) async fn run(mut self) -> Result<Response, Refusal> {
        loop {
            let attempt = self.attempt(StartPoint::default()).await;
            let failure = match attempt.map_err(|refusal| self.true_refusal(refusal))? {
                Ok(started) => return self.send_response(started).await,
                Err(failure) => failure,
            };
            let outcome = match &failure {
                Failure::DeadlinePassed => return Err(ResultCode::EndpointTimeout.into()),
                Failure::Answered(_, outcome) | Failure::NoResponse(outcome) => *outcome,
                // Only started responses wait for a successor.
                Failure::Silent(..) => CallOutcome::Broken,
            };
            self.may_have_run |= !has_not_run(outcome);
            if self.take_retry(outcome) {
                continue;
            }
            return match failure {
                Failure::Answered(started, CallOutcome::Refused | CallOutcome::Replaced) => {
                    drop(started);
                    Err(self.true_refusal(self.shed()))
                }
                Failure::Answered(started, _) => self.send_response(*started).await,
                Failure::NoResponse(CallOutcome::Unreachable | CallOutcome::Refused) => {
                    Err(self.true_refusal(self.shed()))
                }
                _ => Err(ResultCode::EndpointFailed.into()),
            };
        }
    }

    /// Returns the refusal of a further attempt as it holds for the whole request: one that says "not run" is not
    /// true if an earlier attempt may have run.
    fn true_refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => ResultCode::EndpointFailed.into(),
            false => refusal,
        }
    }

    /// Returns the refusal of an attempt that certainly has not run, and reports it to the fleet.
    fn shed(&self) -> Refusal {
        let now = self.now();
        let retry = MIN_RETRY_AFTER.mul_f64(rand::rng().random_range(1.0..2.0));
        self.forwarder.fleet().record_refusal(
            now,
            &self.service,
            self.rank,
            Need::Place,
            now + retry,
        );
        Refusal {
            code: ResultCode::Overloaded,
            retry: Some(retry),
        }
    }

    /// Returns whether the request may be retried after `outcome`, and takes the retry from the budget.
    pub(crate) fn take_retry(&mut self, outcome: CallOutcome) -> bool {
        if outcome == CallOutcome::Unreachable {
            self.connect_failures += 1;
        }
        self.pay_retry(outcome, self.attempts)
    }

    /// Returns whether the request may be retried after `outcome` of this number of attempts, and takes the
    /// retry from the budget.
    pub(crate) fn pay_retry(&self, outcome: CallOutcome, attempts: u32) -> bool {
        let reached = outcome != CallOutcome::Unreachable;
        let chance = match outcome {
            CallOutcome::Failed => RetryChance::Low,
            _ => RetryChance::High,
        };
        decide_retry(
            self.route.retry_policy,
            outcome,
            attempts,
            self.route.attempts,
        ) == RetryDecision::Retry
            && self.connect_failures <= MAX_CONNECT_FAILURES
            && self.time_left() > MIN_ATTEMPT_TIME
            && self.forwarder.quarantined_print(&self.prints).is_none()
            && (!reached || self.forwarder.spend_retry(&self.service, chance))
    }

    /// Selects an endpoint and registers the call with the fleet, or returns why there is none and when the
    /// caller is to come back.
    fn choose(&self) -> Result<(Choice, CallId), (SelectionError, Duration)> {
        let now = self.now();
        let control = &self.forwarder.settings.control;
        let total_work = control.total_work();
        let total = total_work.by_service.get(&self.service).copied();
        let sightings = control.take_sightings();
        let mut fleet = self.forwarder.fleet();
        fleet.apply_prefix_hints(&sightings);
        fleet.apply_cluster_load(now, &total_work);
        let mut query = EndpointQuery {
            service: &self.service,
            prompt: self.info.prompt,
            parts: &self.info.parts,
            excluded: &self.excluded,
            time_left: self.time_left(),
            total: total.unwrap_or_default(),
            urgency: self.rank,
            is_started: self.stream.is_some(),
            draw: rand::rng().random_range(0.0..1.0),
            tie_breaker: rand::rng().random(),
            is_large_cluster: fleet::is_large_cluster(control.instance_count()),
        };
        let choice = match self.forwarder.select_endpoint(&mut fleet, now, &query) {
            Err(
                SelectionError::Nowhere
                | SelectionError::Paused { .. }
                | SelectionError::Limited { .. },
            ) if !self.excluded.is_empty() => {
                query.excluded = &[];
                self.forwarder.select_endpoint(&mut fleet, now, &query)
            }
            other => other,
        };
        let choice = match choice {
            Ok(choice) => choice,
            Err(reason) => {
                let retry = self.retry_after(reason);
                let need = match reason {
                    SelectionError::Late { .. } => {
                        fleet.record_unserved(now, &query);
                        control.set_work(fleet.report_load(now));
                        Some(Need::Start(fleet.latest_start(now, &query)))
                    }
                    SelectionError::Limited { .. } => Some(Need::Permit),
                    _ => None,
                };
                if let Some(need) = need {
                    fleet.record_refusal(now, &self.service, self.rank, need, now + retry);
                }
                return Err((reason, retry));
            }
        };
        let call_id = fleet.start(now, &choice, &self.info.parts);
        control.set_work(fleet.report_load(now));
        control.share_sightings(fleet.take_prefix_hints());
        Ok((choice, call_id))
    }

    /// Selects an endpoint and starts a call there, or returns the refusal for the caller.
    fn start_call(&self) -> Result<CallGuard, Refusal> {
        let left = self.time_left();
        let chosen = self.choose().map_err(|(reason, retry)| {
            tracing::info!(
                request = self.info.id,
                service = %self.service,
                ?reason,
                left_ms = left.as_millis() as u64,
                "no endpoint"
            );
            Refusal {
                code: match reason {
                    SelectionError::Nowhere => ResultCode::NoEndpoint,
                    SelectionError::Late { .. }
                    | SelectionError::Paused { .. }
                    | SelectionError::Limited { .. }
                    | SelectionError::Yields { .. } => ResultCode::Overloaded,
                },
                retry: Some(retry),
            }
        });
        chosen
            .map(|(choice, call_id)| CallGuard::new(&self.forwarder, &self.prints, choice, call_id))
    }

    /// Returns the time after which the caller is to come back if there is no endpoint.
    fn retry_after(&self, reason: SelectionError) -> Duration {
        let instances = self.forwarder.settings.control.instance_count();
        let room = return_time::return_time(reason, self.time_left(), instances);
        // A caller that came back earlier would be refused again.
        room.mul_f64(rand::rng().random_range(1.0..MAX_RETURN_SPREAD))
    }

    /// Sends the request to an endpoint and waits for the first chunk of the response.
    pub(crate) async fn attempt(&mut self, start_point: StartPoint) -> AttemptResult {
        let left = self.time_left();
        if left < MIN_ATTEMPT_TIME {
            return Ok(Err(Failure::DeadlinePassed));
        }
        let StartPoint {
            is_started,
            last_event_id,
            target,
        } = start_point;
        if !is_started {
            self.check_stop()?;
        }
        let mut call = match target {
            // The zone was evacuated after the endpoint was chosen; the call was not sent.
            Target::Reserved(run) if self.forwarder.is_evacuated(&run.guard.choice.listed.zone) => {
                return Ok(Err(Failure::NoResponse(CallOutcome::Refused)));
            }
            Target::Reserved(run) => {
                self.start_exchange(run.guard, last_event_id.as_deref(), run.copy.as_ref())
            }
            Target::Pending(call) => *call,
            Target::Any => self.start_exchange(self.start_call()?, last_event_id.as_deref(), None),
        };
        let is_new = call.is_new();
        let result = match self.exchange_in_time(&mut call, is_started).await {
            Ok(result) => result,
            Err(next) => {
                self.attempts += u32::from(is_new);
                call.is_counted = true;
                return Ok(Err(Failure::Silent(Box::new(call), Box::new(next))));
            }
        };
        let mut guard = call.guard;
        let outcome = match &result {
            Ok(_) => None,
            Err(Failure::Answered(_, outcome) | Failure::NoResponse(outcome)) => Some(*outcome),
            Err(Failure::Silent(..)) => Some(CallOutcome::Broken),
            Err(Failure::DeadlinePassed) => Some(CallOutcome::Cancelled),
        };
        if let Some(outcome) = outcome {
            guard.end(outcome);
            self.excluded.push(guard.choice.listed.id.clone());
        }
        if outcome != Some(CallOutcome::Unreachable) {
            self.attempts += u32::from(is_new);
        }
        self.log_attempt(&guard, outcome);
        Ok(result.map(|(answer, first)| StartedResponse {
            answer,
            guard,
            first,
            stop_unknown: false,
        }))
    }

    /// Refuses a request that would probably not be complete before this process ends.
    fn check_stop(&self) -> Result<(), Refusal> {
        let now = self.now();
        if self.forwarder.may_pass_on(now, &self.route.id) {
            return Ok(());
        }
        tracing::info!(
            request = self.info.id,
            route = %self.route.id,
            left_ms = self.answer_time_left().as_millis() as u64,
            "too late for a request before the stop"
        );
        Err(Refusal {
            code: ResultCode::Draining,
            retry: Some(MIN_RETRY_AFTER),
        })
    }

    /// Returns how long an endpoint may send nothing before the request is retried elsewhere.
    ///
    /// The timeout applies only to repeatable requests with attempts left; any other request waits until
    /// its deadline. `attempt` is the number of the attempt at this endpoint, starting with 1.
    pub(crate) fn stall_timeout(&self, choice: &Choice, attempt: u32) -> Duration {
        let is_last = attempt >= self.route.attempts;
        if is_last || !self.route.retry_policy.is_retryable() {
            return Duration::MAX;
        }
        let gap = self.route.gap_objective.unwrap_or_default();
        let usual_delay = choice.expected.max(self.route.objective).max(gap);
        (usual_delay * STALL_TIMEOUT_FACTOR).max(MIN_STALL_TIMEOUT)
    }

    /// Records an attempt in the metrics and the log; `outcome` is `None` if a response has started.
    pub(crate) fn log_attempt(&self, guard: &CallGuard, outcome: Option<CallOutcome>) {
        let took = self.now().saturating_duration_since(guard.sent);
        let metrics = &self.forwarder.settings.metrics;
        metrics.first(&self.service, took);
        if let Some(outcome) = outcome {
            metrics.ended(&self.service, outcome.name());
        }
        tracing::info!(
            request = self.info.id,
            print = %self.prints.request,
            route = %self.route.id,
            revision = self.revision,
            service = %self.service,
            endpoint = %guard.choice.listed.id,
            attempt = self.attempts,
            allowed = self.route.attempts,
            rank = self.rank,
            unread = guard.choice.prefill_tokens,
            expected_ms = guard.choice.expected.as_millis() as u64,
            took_ms = took.as_millis() as u64,
            waited_ms = self.now().saturating_duration_since(self.arrived).as_millis() as u64,
            list_age_ms = guard.choice.list_age.as_millis() as u64,
            limit = guard.stated_limit.map(RequestRate::per_second),
            confined = guard.choice.is_confined.then_some(true),
            outcome = outcome.map_or("started", CallOutcome::name),
            "attempt"
        );
    }

    /// Logs a response that was interrupted after its start, which the log line of the attempt does not
    /// show.
    pub(crate) fn log_interruption(&self, guard: &CallGuard, error: &dyn std::fmt::Display) {
        let metrics = &self.forwarder.settings.metrics;
        metrics.ended(&self.service, "broken off");
        tracing::info!(
            request = self.info.id,
            print = %self.prints.request,
            service = %self.service,
            endpoint = %guard.choice.listed.id,
            attempt = self.attempts,
            %error,
            "answer broke off"
        );
    }

    /// Starts to send the request to the endpoint of `guard` and to read the head and the first body chunk of
    /// the response.
    fn start_exchange(
        &self,
        guard: CallGuard,
        last_event_id: Option<&str>,
        copy: Option<&RunCopy>,
    ) -> PendingCall {
        let dialect = &self.forwarder.settings.dialect;
        let mut headers = self.headers.clone();
        let listed = &guard.choice.listed;
        dialect.set_forwarded_headers(
            &mut headers,
            &ForwardContext {
                endpoint: &listed.id,
                time_left: self.time_left().saturating_sub(RESPONSE_MARGIN),
                workspace: self.workspace.as_ref(),
                rank: self.rank,
                engine: self.engine.is_some(),
                last: last_event_id,
                source: guard.choice.source,
                copy,
            },
        );
        let (client, address) = (self.client.clone(), listed.address);
        let (method, target, body) = (self.method.clone(), self.target.clone(), self.body.clone());
        let (id_header, id) = (dialect.request_id_header(), self.info.id.clone());
        let exchange = Box::pin(async move {
            let call = Call {
                address,
                method,
                path: &target,
                headers,
                body,
                pooled: true,
                echo: Some(Echo {
                    name: id_header,
                    value: &id,
                }),
            };
            let mut answer = client.send(call).await?;
            let first = answer.next().await;
            Ok((answer, first))
        });
        PendingCall {
            guard,
            exchange,
            is_copied: copy.is_some(),
            is_counted: false,
        }
    }

    /// Decides whether what an endpoint sent is a usable response.
    pub(crate) fn check_response(
        &self,
        guard: &mut CallGuard,
        response: FirstChunk,
    ) -> Result<(upstream::Answer, Option<Bytes>), Failure> {
        let (answer, first) = match response {
            Ok(response) => response,
            Err(CallError::Unreachable(error)) => {
                tracing::info!(request = self.info.id, %error, "endpoint unreachable");
                return Err(Failure::NoResponse(CallOutcome::Unreachable));
            }
            Err(error) => {
                tracing::info!(request = self.info.id, %error, "call failed");
                return Err(Failure::NoResponse(CallOutcome::Broken));
            }
        };
        let dialect = &self.forwarder.settings.dialect;
        let response_info = dialect.response_info(answer.status, &answer.headers);
        let is_success = (200..300).contains(&answer.status);
        guard.stated_limit = response_info.limit.rate();
        if guard.stated_limit.is_some() {
            self.forwarder.settings.metrics.limited(&self.service);
        }
        let first = match first {
            Ok(first) => first,
            // The head states that the request was not executed, whatever becomes of the body.
            Err(_) if response_info.refused || response_info.misdirected => None,
            Err(error) => {
                tracing::info!(request = self.info.id, %error, "answer broke off");
                return Err(Failure::NoResponse(CallOutcome::Broken));
            }
        };
        let now = self.now();
        let mut fleet = self.forwarder.fleet();
        let ran = is_success && response_info.signed && !response_info.refused;
        fleet.record_response(now, guard.call_id, &response_info, ran);
        guard.is_success = ran;
        let endpoint = &guard.choice.listed.id;
        self.forwarder
            .record_limit(endpoint, guard.sent, &response_info, ran);
        // The end of the connection may also be the end of the body, which says nothing about the endpoint.
        if answer.closes() && answer.delimiter != Delimiter::Close {
            fleet.record_close(now, guard.call_id);
        }
        drop(fleet);
        let outcome = match () {
            () if response_info.misdirected => CallOutcome::Replaced,
            () if response_info.refused => CallOutcome::Refused,
            () if is_success && (!response_info.signed || answer.is_encoded()) => {
                return Err(Failure::NoResponse(CallOutcome::Broken));
            }
            () if first.is_none()
                && answer.delimiter == Delimiter::Close
                && StreamHead::of(&answer, self.route.retry_policy).is_some() =>
            {
                tracing::info!(
                    request = self.info.id,
                    "stream ended before its first event"
                );
                return Err(Failure::NoResponse(CallOutcome::Broken));
            }
            () if self
                .stream
                .as_ref()
                .is_some_and(|s| !s.is_continued_by(&answer)) =>
            {
                tracing::info!(
                    request = self.info.id,
                    endpoint = %guard.choice.listed.id,
                    status = answer.status,
                    "answer does not continue the stream"
                );
                return Err(Failure::NoResponse(CallOutcome::Failed));
            }
            // Callers would send again what may have run.
            () if response_info.promises && !self.route.retry_policy.is_retryable() => {
                tracing::info!(
                    request = self.info.id,
                    endpoint = %guard.choice.listed.id,
                    status = answer.status,
                    "endpoint does not state that it did not execute the request"
                );
                self.record_usage();
                return Err(Failure::NoResponse(CallOutcome::Failed));
            }
            () => {
                self.record_usage();
                match answer.status {
                    500.. => CallOutcome::Failed,
                    _ => return Ok((answer, first)),
                }
            }
        };
        let guard = guard.split();
        let started = StartedResponse {
            answer,
            guard,
            first,
            stop_unknown: false,
        };
        Err(Failure::Answered(Box::new(started), outcome))
    }

    /// Records the request as usage of its workspace, once for all attempts.
    fn record_usage(&self) {
        let Some(workspace) = self.workspace.clone() else {
            return;
        };
        if !self.usage_recorded.swap(true, Ordering::Relaxed) {
            self.forwarder.settings.control.record(UsageRow {
                workspace,
                class: ClassId::from(USAGE_CLASS),
                requests: 1,
                prompt: u64::from(self.info.prompt),
                output: 0,
            });
        }
    }
}
