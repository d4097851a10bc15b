//! Lifecycle of a request: admission, queueing, attempts, usage accounting.
//!
//! The states of a request are defined in `lib/charts/request.chart`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::attempt::Interrupt;
use crate::attempt::Opened;
use crate::attempt::within;
use crate::chart::RequestEvent;
use crate::chart::RequestState;
use crate::code::Execution;
use crate::code::ResultCode;
use crate::command::Command;
use crate::command::UsageRow;
use crate::control::Suspicion;
use crate::dispatcher::Attempt;
use crate::dispatcher::DispatchDecision;
use crate::drain::Permit;
use crate::gateway::Gateway;
use crate::grant::Grant;
use crate::ids::EndpointId;
use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::openai::Refusal;
use crate::policy::Arrival;
use crate::relay::Relay;
use crate::request::EngineBody;
use crate::request::Reservation;
use crate::rules::Class;
use crate::rules::Route;
use crate::server::Response;
use crate::upstream::Client;

/// Queueing deadline of a request whose class has no latency target.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Largest response that is buffered before it is forwarded; a longer one cannot be retried.
pub(crate) const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Shortest time to first token that an endpoint is allowed, however short the target of the class is.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Multiple of the class target after which a request times out.
const TARGET_TIMEOUT_FACTOR: u32 = 4;

/// Shortest time that a requeued request may wait, even if its deadline has passed.
const MIN_REQUEUE_WAIT: Duration = Duration::from_millis(100);

/// Timeout of the command that clears a suspected request in the control state.
const CLEAR_SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// A call of the language-model API.
    Engine(Box<EngineBody>),
    /// A call of any other service, with its raw body.
    Service(Bytes),
}

/// Method, target and headers of a request as the caller sent them.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The headers that may be forwarded to an endpoint.
    pub headers: HeaderMap,
}

/// A request that passed authentication and routing.
pub(crate) struct Job {
    pub gateway: Arc<Gateway>,
    pub client: Client,
    pub id: RequestId,
    pub head: RequestHead,
    pub body: RequestBody,
    pub grant: Grant,
    pub class: Arc<Class>,
    pub route: Arc<Route>,
    pub fingerprint: u64,
    pub arrived: Instant,
    pub progress: Progress,
    /// Estimated tokens charged to the workspace at admission, until they are settled.
    admitted_tokens: Option<u32>,
    /// Whether the request is suspected of crashing endpoints.
    pub is_suspect: bool,
    /// The current state in the request chart.
    pub state: String,
    _permit: Permit,
    _reservation: Reservation,
}

/// Progress of a request over its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    pub relay: Relay,
    /// Endpoints of the failed attempts since the last new token; they are not tried again.
    pub excluded: Vec<EndpointId>,
    pub attempts: u32,
    pub consecutive_failures: u32,
    /// Tokens relayed before the current attempt started.
    pub tokens_at_start: u32,
    /// Whether an endpoint may have run the request.
    pub ran: bool,
    /// The refusal of the last failed attempt.
    pub last: Option<Refusal>,
    /// Time to first token.
    pub first: Option<Duration>,
    /// Tokens charged to the workspace when the request ends.
    pub used_tokens: u32,
}

/// Arguments of [`Job::new`].
pub(crate) struct JobParts {
    pub id: RequestId,
    pub head: RequestHead,
    pub body: RequestBody,
    pub grant: Grant,
    pub class: Arc<Class>,
    pub route: Arc<Route>,
    pub fingerprint: u64,
    pub arrived: Instant,
    pub permit: Permit,
    pub reservation: Reservation,
}

impl Job {
    pub(crate) fn new(gateway: Arc<Gateway>, client: Client, parts: JobParts) -> Self {
        let choices = match &parts.body {
            RequestBody::Engine(body) => body.choices,
            RequestBody::Service(_) => 1,
        };
        let state = gateway.charts().request.initial().to_owned();
        gateway.metrics().offered(&parts.class.id);
        Self {
            client,
            id: parts.id,
            head: parts.head,
            body: parts.body,
            grant: parts.grant,
            class: parts.class,
            route: parts.route,
            fingerprint: parts.fingerprint,
            arrived: parts.arrived,
            progress: Progress {
                relay: Relay::new(choices),
                ..Progress::default()
            },
            admitted_tokens: None,
            is_suspect: false,
            state,
            _permit: parts.permit,
            _reservation: parts.reservation,
            gateway,
        }
    }

    /// Checks the quarantine and the limits of the workspace, and reports a refusal to the dispatcher.
    pub(crate) fn admit(&mut self) -> Result<(), Refusal> {
        let admitted = self.check_admission();
        if let Err(refusal) = &admitted {
            let reason = match refusal.code {
                ResultCode::Quarantined => "quarantine",
                _ => "limit",
            };
            let arrival = self.arrival(self.arrived + self.target());
            let dispatcher = self.gateway.dispatcher();
            dispatcher.log_refusal(&arrival, refusal.code, reason);
        }
        admitted
    }

    fn check_admission(&mut self) -> Result<(), Refusal> {
        let control = self.gateway.control();
        match control.suspicion(self.fingerprint) {
            Suspicion::None => {}
            Suspicion::Suspect => self.is_suspect = true,
            Suspicion::Quarantined => return Err(ResultCode::Quarantined.into()),
        }
        let estimate = match &self.body {
            RequestBody::Engine(body) => body
                .prompt
                .saturating_add(body.limit.unwrap_or(self.class.output)),
            RequestBody::Service(_) => 0,
        };
        control
            .admit(self.gateway.now(), &self.grant.workspace, estimate)
            .map_err(|denied| Refusal {
                code: denied.code,
                execution: Execution::NotRun,
                retry_after: Some(denied.retry),
            })?;
        self.admitted_tokens = Some(estimate);
        self.fire(RequestEvent::Admit);
        Ok(())
    }

    /// Runs an idempotent request.
    pub(crate) async fn run(mut self) -> Result<Response, Refusal> {
        let result = match self.admit() {
            Ok(()) => self.open().await,
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(Opened::Stream(stream)) => Ok(self.stream(stream)),
            Ok(Opened::Buffered(attempt, answer, collected)) => {
                Ok(self.deliver_buffered(attempt, answer, collected))
            }
            Err(refusal) => {
                self.fail(&refusal);
                Err(refusal)
            }
        }
    }

    /// Makes attempts until one of them yields the beginning of a response.
    pub(crate) async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let attempt = self.wait_for_attempt().await?;
            match self.execute(attempt).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => self.prepare_retry(&failure)?,
            }
        }
    }

    /// Waits in the queue until the policy starts the next attempt or refuses it.
    pub(crate) async fn wait_for_attempt(&mut self) -> Result<Attempt, Refusal> {
        let view = self.gateway.view()?;
        self.grant.check(Some(&view))?;
        let now = self.gateway.now();
        let target = self.target();
        let deadline = match self.progress.relay.tokens() {
            0 => self.arrived + target,
            _ => now + target,
        };
        let wait = deadline.max(now + MIN_REQUEUE_WAIT);
        let arrival = self.arrival(deadline);
        self.progress.attempts += 1;
        let suspicion = self.gateway.control().suspicion(self.fingerprint);
        let mut pending =
            self.gateway
                .dispatcher()
                .enqueue(&view, arrival, self.progress.attempts, suspicion);
        let verdict = within(&mut self.grant, now, wait, pending.decision()).await;
        drop(pending);
        let refusal = match verdict {
            Ok(DispatchDecision::Start(attempt)) => {
                self.fire(RequestEvent::Start);
                return Ok(attempt);
            }
            Ok(DispatchDecision::Refuse { code, retry_after }) => Refusal {
                code,
                execution: Execution::NotRun,
                retry_after,
            },
            Err(Interrupt::GrantEnded(code)) => code.into(),
            Err(Interrupt::Timeout) => ResultCode::QueueTimeout.into(),
        };
        Err(self.final_refusal(refusal))
    }

    /// Returns the refusal for the caller when the policy refuses a further attempt.
    ///
    /// If no endpoint is left, the failure of the last attempt says more than `NoEndpoint`.
    fn final_refusal(&self, refusal: Refusal) -> Refusal {
        if let (ResultCode::NoEndpoint, Some(last)) = (refusal.code, self.progress.last) {
            return last;
        }
        let execution = if self.progress.ran {
            Execution::Unknown
        } else {
            refusal.execution
        };
        Refusal {
            execution,
            ..refusal
        }
    }

    /// Describes the request to the scheduling policy.
    fn arrival(&self, deadline: Instant) -> Arrival {
        let (model, prompt, limit, prefixes) = match &self.body {
            RequestBody::Engine(body) => (
                Some(body.model.clone()),
                body.prompt,
                body.limit,
                body.prefix_hashes.clone(),
            ),
            RequestBody::Service(_) => (None, 0, None, Vec::new()),
        };
        Arrival {
            id: self.id,
            workspace: self.grant.workspace.clone(),
            class: self.class.id.clone(),
            route: self.route.id.clone(),
            model,
            prompt,
            limit,
            prefixes,
            fingerprint: self.fingerprint,
            deadline,
            excluded: self.progress.excluded.clone(),
            resumed: self.progress.relay.tokens(),
        }
    }

    /// Returns the latency target by which the queueing deadline is set.
    fn target(&self) -> Duration {
        let target = self.class.first.or(self.class.complete);
        target.unwrap_or(DEFAULT_DEADLINE)
    }

    /// Records usage and metrics of a completed request; later calls have no effect.
    pub(crate) fn complete(&mut self, prompt: u32, output: u32) {
        if !self.fire(RequestEvent::Finish) {
            return;
        }
        self.progress.used_tokens = prompt.saturating_add(output);
        let control = self.gateway.control();
        control.record(UsageRow {
            workspace: self.grant.workspace.clone(),
            class: self.class.id.clone(),
            requests: 1,
            prompt: u64::from(prompt),
            output: u64::from(output),
        });
        let total = self.gateway.now() - self.arrived;
        let first = self.progress.first.unwrap_or(total);
        let attained = self.class.first.is_none_or(|target| first <= target)
            && self.class.complete.is_none_or(|target| total <= target);
        self.gateway.metrics().completed(&self.class.id, attained);
        if self.is_suspect {
            let control = control.clone();
            let command = Command::ClearSuspect {
                fingerprint: self.fingerprint,
            };
            tokio::task::spawn_blocking(move || control.submit(command, CLEAR_SUSPECT_TIMEOUT));
        }
    }

    /// Records a request that ends with a refusal or an error.
    pub(crate) fn fail(&mut self, refusal: &Refusal) {
        let event = match (refusal.code, refusal.execution) {
            (ResultCode::KeyWithdrawn, _) => RequestEvent::Cancel,
            (_, Execution::NotRun) => RequestEvent::Refuse,
            _ => RequestEvent::Fail,
        };
        self.fire(event);
    }

    /// Applies an event to the request chart and returns whether it was accepted.
    pub(crate) fn fire(&mut self, event: RequestEvent) -> bool {
        let chart = &self.gateway.charts().request;
        match chart.next(&self.state, event.name()) {
            Some(next) => {
                next.clone_into(&mut self.state);
                true
            }
            None => {
                tracing::debug!(request = %self.id, state = self.state, %event, "ignored an event that the current request state does not accept");
                false
            }
        }
    }

    pub(crate) fn is_stream(&self) -> bool {
        matches!(&self.body, RequestBody::Engine(body) if body.stream)
    }

    /// Returns the time by which the request must end, attempts included.
    pub(crate) fn end(&self) -> Instant {
        let target = self.class.complete.map(|t| t * TARGET_TIMEOUT_FACTOR);
        let total = self.gateway.timeouts().total;
        self.arrived + target.map_or(total, |t| t.max(total))
    }

    /// Returns the timeout for the first token, or for the headers of a response that is not streamed.
    pub(crate) fn first_response_timeout(&self) -> Duration {
        let timeouts = self.gateway.timeouts();
        if !self.is_stream() {
            let rest = self.end().saturating_duration_since(self.gateway.now());
            return timeouts.headers.min(rest);
        }
        let target = self.class.first.map(|t| t * TARGET_TIMEOUT_FACTOR);
        target.map_or(timeouts.first_token, |t| {
            t.max(MIN_FIRST_TOKEN_TIMEOUT).min(timeouts.first_token)
        })
    }

    /// Returns the longest time between two reads of a response.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.gateway.timeouts().idle
    }

    pub(crate) fn workspace(&self) -> &WorkspaceId {
        &self.grant.workspace
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.cancel_if_unfinished();
        let delivered = self.progress.relay.tokens();
        if self.state != RequestState::Completed.name() {
            self.gateway.metrics().wasted(&self.class.id, delivered);
            self.progress.used_tokens = delivered;
        }
        if let Some(estimate) = self.admitted_tokens.take() {
            self.gateway.control().settle(
                self.gateway.now(),
                &self.grant.workspace,
                estimate,
                self.progress.used_tokens,
            );
        }
    }
}

impl Job {
    /// Cancels a request that is dropped before it reaches a final state.
    fn cancel_if_unfinished(&mut self) {
        if !self.gateway.charts().request.is_final(&self.state) {
            self.fire(RequestEvent::Cancel);
        }
    }
}
