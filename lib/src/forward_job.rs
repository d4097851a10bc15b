//! A forwarded request on its way through endpoints and back to the caller.
//!
//! What may follow a failure is decided by [`after_failure`], apart from the calls themselves.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use rand::Rng;
use tokio::time::timeout;

use crate::answer;
use crate::code::ResultCode;
use crate::command::UsageRow;
use crate::control::Control;
use crate::dialect::Ask;
use crate::dialect::Onward;
use crate::dialect::RunCopy;
use crate::fingerprint::Fingerprint;
use crate::fleet;
use crate::fleet::CallEnd;
use crate::fleet::Choice;
use crate::fleet::NoChoice;
use crate::fleet::Ticket;
use crate::fleet::Want;
use crate::forward::Forwarder;
use crate::forward::Open;
use crate::forward::forwarded;
use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::retry::Mend;
use crate::route_table::EngineKind;
use crate::route_table::Repeat;
use crate::route_table::Route;
use crate::server;
use crate::server::Response;
use crate::upstream;
use crate::upstream::Call;
use crate::upstream::CallError;
use crate::upstream::Client;
use crate::upstream::Echo;

/// Largest answer that is held whole before it is passed on; a longer one is passed on in pieces.
const MAX_HELD_BYTES: usize = 256 << 10;

/// Time kept from an endpoint's deadline for the way back of its answer.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// Least time for which an endpoint is asked; less would end in doubt rather than in an answer.
const LEAST_OFFER: Duration = Duration::from_millis(30);

/// Times the usual delay after which a silent endpoint is given up.
const SILENCE_FACTOR: u32 = 3;

/// Least silence after which an endpoint is given up; callers are known to leave after 2 s.
const LEAST_SILENCE: Duration = Duration::from_millis(1_200);

/// Sends that reached no endpoint after which a request is given up.
const MAX_UNREACHED: u32 = 3;

/// Shortest wait told to a caller whose endpoint had no room; others may have some.
const SHED_RETRY: Duration = Duration::from_millis(150);

/// Largest wait told to callers, so that they return while their deadline allows it.
const MAX_RETRY: Duration = Duration::from_secs(3);

/// Requests that share the class of usage rows, which the platform counts by workspace only.
const USAGE_CLASS: &str = "forwarded";

/// A refusal or failure of this instance's own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub code: ResultCode,
    pub retry: Option<Duration>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, retry: None }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another endpoint is asked.
    Again,
    /// The caller gets the failure.
    GiveUp,
}

/// Decides what follows an attempt that failed before any part of an answer was passed on.
///
/// A request that has certainly not run may always be sent again; one that may have run only if it
/// is repeatable. Endpoints that were never reached do not count as attempts.
pub fn after_failure(repeat: Repeat, end: CallEnd, attempts: u32, allowed: u32) -> Next {
    let is_certain = matches!(
        end,
        CallEnd::Refused | CallEnd::Unreachable | CallEnd::Replaced
    );
    match (is_certain || repeat.is_repeatable()) && attempts < allowed {
        true => Next::Again,
        false => Next::GiveUp,
    }
}

/// A request on its way through endpoints.
pub(crate) struct Job {
    pub forwarder: Arc<Forwarder>,
    pub client: Client,
    pub method: http::Method,
    /// Path and query.
    pub target: String,
    /// Recognises the request in other attempts of its caller.
    pub print: Fingerprint,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub ask: Ask,
    pub route: Arc<Route>,
    pub service: ServiceId,
    /// What the engines of the service offer, if it has engines.
    pub engine: Option<EngineKind>,
    pub workspace: Option<WorkspaceId>,
    pub rank: u8,
    pub arrived: Instant,
    /// Time by which the caller has its whole answer or a failure.
    pub end: Instant,
    /// Revision of the configuration that it was routed by.
    pub revision: u64,
    pub attempts: u32,
    pub unreached: u32,
    pub excluded: Vec<EndpointId>,
    /// Whether it was counted as usage.
    pub counted: bool,
    pub _place: Open,
}

/// Where an attempt begins.
#[derive(Default)]
pub(crate) struct Onset {
    /// Last event that the caller has.
    pub last: Option<String>,
    /// A stopped run that goes on.
    pub moved: Option<Moved>,
}

/// A stopped run and the endpoint at which it goes on.
pub(crate) struct Moved {
    pub flight: Flight,
    pub copy: RunCopy,
}

/// A call at an endpoint, whose end is recorded once.
pub(crate) struct Flight {
    forwarder: Arc<Forwarder>,
    print: Fingerprint,
    pub ticket: Ticket,
    pub choice: Choice,
    sent: Instant,
    ended: bool,
}

impl Flight {
    /// Creates the guard of a call that is about to be sent.
    pub(crate) fn new(
        forwarder: &Arc<Forwarder>,
        print: Fingerprint,
        choice: Choice,
        ticket: Ticket,
    ) -> Self {
        Self {
            forwarder: forwarder.clone(),
            print,
            ticket,
            choice,
            sent: forwarder.settings.clock.now(),
            ended: false,
        }
    }

    /// Records a run that goes on at an endpoint.
    pub(crate) fn start(forwarder: &Arc<Forwarder>, print: Fingerprint, choice: Choice) -> Self {
        let now = forwarder.settings.clock.now();
        let ticket = forwarder.fleet().start(now, &choice, &[]);
        Self::new(forwarder, print, choice, ticket)
    }

    pub(crate) fn end(&mut self, end: CallEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.forwarder.settings.clock.now();
            self.forwarder.fleet().end(now, self.ticket, end);
            self.forwarder
                .note_end(&self.choice.listed, self.print, end);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(CallEnd::Cancelled);
    }
}

/// An answer whose first part has arrived.
pub(crate) struct Started {
    pub answer: upstream::Answer,
    pub flight: Flight,
    /// First part of the body, or nothing if the body is empty.
    pub first: Option<Bytes>,
}

/// An attempt without the start of a usable answer.
pub(crate) enum Failure {
    /// The endpoint's own answer, which the caller gets if nothing better follows.
    Answered(Box<Started>, CallEnd),
    /// No answer.
    Silent(CallEnd),
    /// The caller's time ran out.
    Late,
}

impl Job {
    pub(crate) fn now(&self) -> Instant {
        self.forwarder.settings.clock.now()
    }

    pub(crate) fn left(&self) -> Duration {
        self.end.saturating_duration_since(self.now())
    }

    /// Makes attempts until the caller has an answer or none can follow.
    pub(crate) async fn run(mut self) -> Result<Response, Refusal> {
        loop {
            let failure = match self.attempt(Onset::default()).await? {
                Ok(started) => return self.pass_on(started).await,
                Err(failure) => failure,
            };
            let end = match &failure {
                Failure::Late => return Err(ResultCode::EndpointTimeout.into()),
                Failure::Answered(_, end) | Failure::Silent(end) => *end,
            };
            if self.tries_again(end) {
                continue;
            }
            return match failure {
                Failure::Answered(started, CallEnd::Refused | CallEnd::Replaced) => {
                    drop(started);
                    Err(self.shed())
                }
                Failure::Answered(started, _) => self.pass_on(*started).await,
                Failure::Silent(CallEnd::Unreachable | CallEnd::Refused) => Err(self.shed()),
                _ => Err(ResultCode::EndpointFailed.into()),
            };
        }
    }

    /// Returns the refusal of a request that certainly has not run.
    fn shed(&self) -> Refusal {
        let now = self.now();
        self.forwarder
            .fleet()
            .turned_away(now, &self.service, self.rank);
        let jitter = rand::rng().random_range(1.0..2.0);
        Refusal {
            code: ResultCode::Overloaded,
            retry: Some(SHED_RETRY.mul_f64(jitter)),
        }
    }

    pub(crate) fn tries_again(&mut self, end: CallEnd) -> bool {
        let reached = end != CallEnd::Unreachable;
        if !reached {
            self.unreached += 1;
        }
        let mend = match end {
            CallEnd::Failed => Mend::Seldom,
            _ => Mend::Likely,
        };
        after_failure(self.route.repeat, end, self.attempts, self.route.attempts) == Next::Again
            && self.unreached <= MAX_UNREACHED
            && self.left() > LEAST_OFFER
            && !self.forwarder.is_withheld(self.print)
            && (!reached || self.forwarder.spend(&self.service, mend))
    }

    fn choose(&self) -> Result<(Choice, Ticket), NoChoice> {
        let now = self.now();
        let control = &self.forwarder.settings.control;
        let told = control.total_work();
        let total = told.by_service.get(&self.service).copied();
        let heard = control.heard();
        let mut fleet = self.forwarder.fleet();
        fleet.learn(&heard);
        fleet.hear(now, &told);
        let mut want = Want {
            service: &self.service,
            prompt: self.ask.prompt,
            parts: &self.ask.parts,
            excluded: &self.excluded,
            left: self.left(),
            total: total.unwrap_or_default(),
            urgency: self.rank,
            draw: match self.attempts {
                0 => rand::rng().random_range(0.0..1.0),
                // What was accepted once is not turned away.
                _ => 1.0,
            },
            spread: rand::rng().random(),
            is_wide: fleet::is_wide(control.entries()),
        };
        let choice = match fleet.choose(now, &want) {
            Err(NoChoice::Nowhere | NoChoice::Paused { .. }) if !self.excluded.is_empty() => {
                want.excluded = &[];
                fleet.choose(now, &want)
            }
            other => other,
        };
        match choice {
            Err(NoChoice::Late { .. }) => fleet.turned_away(now, &self.service, self.rank),
            Err(NoChoice::Full) => {
                fleet.missed(now, &want);
                control.set_work(fleet.tell(now));
            }
            _ => {}
        }
        let choice = choice?;
        let ticket = fleet.start(now, &choice, &self.ask.parts);
        control.set_work(fleet.tell(now));
        control.tell(fleet.take_sightings());
        Ok((choice, ticket))
    }

    /// Chooses an endpoint for the request, or returns the refusal that its caller gets.
    fn place(&self) -> Result<Flight, Refusal> {
        let left = self.left();
        let placed = self.choose().map_err(|reason| {
            let retry = match reason {
                NoChoice::Nowhere => MAX_RETRY / 3,
                NoChoice::Paused { wait } => wait.clamp(SHED_RETRY, MAX_RETRY),
                NoChoice::Late { expected } => (expected / 2).min(MAX_RETRY),
                NoChoice::Yields => MAX_RETRY / 2,
                // Until then ordered endpoints serve.
                NoChoice::Full => MAX_RETRY,
            };
            tracing::info!(
                request = self.ask.id,
                service = %self.service,
                ?reason,
                left_ms = left.as_millis() as u64,
                "no endpoint"
            );
            let jitter = rand::rng().random_range(0.75..1.25);
            Refusal {
                code: match reason {
                    NoChoice::Nowhere => ResultCode::NoEndpoint,
                    NoChoice::Late { .. }
                    | NoChoice::Paused { .. }
                    | NoChoice::Yields
                    | NoChoice::Full => ResultCode::Overloaded,
                },
                retry: Some(retry.mul_f64(jitter)),
            }
        });
        placed.map(|(choice, ticket)| Flight::new(&self.forwarder, self.print, choice, ticket))
    }

    /// Sends the request to an endpoint and waits for the first part of the answer.
    pub(crate) async fn attempt(
        &mut self,
        onset: Onset,
    ) -> Result<Result<Started, Failure>, Refusal> {
        let left = self.left();
        if left < LEAST_OFFER {
            return Ok(Err(Failure::Late));
        }
        let Onset { last, moved } = onset;
        let (mut flight, copy) = match moved {
            Some(moved) => (moved.flight, Some(moved.copy)),
            None => (self.place()?, None),
        };
        let patience = self
            .silence_limit(&flight.choice, self.attempts + 1)
            .min(left);
        let exchange = self.exchange(&mut flight, last.as_deref(), copy.as_ref());
        let result = match timeout(patience, exchange).await {
            Ok(result) => result,
            Err(_) if patience < left => Err(Failure::Silent(CallEnd::Broken)),
            Err(_) => Err(Failure::Late),
        };
        let end = match &result {
            Ok(_) => None,
            Err(Failure::Answered(_, end) | Failure::Silent(end)) => Some(*end),
            Err(Failure::Late) => Some(CallEnd::Cancelled),
        };
        if let Some(end) = end {
            flight.end(end);
            self.excluded.push(flight.choice.listed.id.clone());
        }
        // A run that goes on from its copy is the same one.
        if end != Some(CallEnd::Unreachable) && copy.is_none() {
            self.attempts += 1;
        }
        self.log_attempt(&flight, end);
        Ok(result.map(|(answer, first)| Started {
            answer,
            flight,
            first,
        }))
    }

    /// Returns how long an endpoint may be silent before another one is asked instead.
    ///
    /// Only a request that may be repeated, at endpoints that it has not been to, is taken away; any
    /// other one waits as long as its caller does. `attempt` counts the one at this endpoint.
    pub(crate) fn silence_limit(&self, choice: &Choice, attempt: u32) -> Duration {
        let is_last = attempt >= self.route.attempts;
        if is_last || !self.route.repeat.is_repeatable() {
            return Duration::MAX;
        }
        let gap = self.route.gap.unwrap_or_default();
        let usual = choice.expected.max(self.route.objective).max(gap);
        (usual * SILENCE_FACTOR).max(LEAST_SILENCE)
    }

    fn log_attempt(&self, flight: &Flight, end: Option<CallEnd>) {
        let took = self.now().saturating_duration_since(flight.sent);
        let metrics = &self.forwarder.settings.metrics;
        metrics.first(&self.service, took);
        if let Some(end) = end {
            metrics.ended(&self.service, end.name());
        }
        tracing::info!(
            request = self.ask.id,
            print = %self.print,
            route = %self.route.id,
            revision = self.revision,
            service = %self.service,
            endpoint = %flight.choice.listed.id,
            attempt = self.attempts,
            allowed = self.route.attempts,
            rank = self.rank,
            unread = flight.choice.unread,
            expected_ms = flight.choice.expected.as_millis() as u64,
            took_ms = took.as_millis() as u64,
            waited_ms = self.now().saturating_duration_since(self.arrived).as_millis() as u64,
            list_age_ms = flight.choice.age.as_millis() as u64,
            outcome = end.map_or("started", CallEnd::name),
            "attempt"
        );
    }

    /// Logs that an answer broke off after its start, of which the line of the attempt says nothing.
    pub(crate) fn log_break(&self, flight: &Flight, error: &dyn std::fmt::Display) {
        let metrics = &self.forwarder.settings.metrics;
        metrics.ended(&self.service, "broken off");
        tracing::info!(
            request = self.ask.id,
            print = %self.print,
            service = %self.service,
            endpoint = %flight.choice.listed.id,
            attempt = self.attempts,
            %error,
            "answer broke off"
        );
    }

    async fn exchange(
        &mut self,
        flight: &mut Flight,
        last: Option<&str>,
        copy: Option<&RunCopy>,
    ) -> Result<(upstream::Answer, Option<Bytes>), Failure> {
        let dialect = self.forwarder.settings.dialect.clone();
        let mut headers = self.headers.clone();
        let listed = &flight.choice.listed;
        dialect.onward(
            &mut headers,
            &Onward {
                endpoint: &listed.id,
                left: self.left().saturating_sub(RETURN_MARGIN),
                workspace: self.workspace.as_ref(),
                rank: self.rank,
                engine: self.engine.is_some(),
                last,
                source: flight.choice.source,
                copy,
            },
        );
        let call = Call {
            address: listed.address,
            method: self.method.clone(),
            path: &self.target,
            headers,
            body: self.body.clone(),
            pooled: true,
            echo: Some(Echo {
                name: dialect.echo(),
                value: &self.ask.id,
            }),
        };
        let mut answer = match self.client.send(call).await {
            Ok(answer) => answer,
            Err(CallError::Unreachable(error)) => {
                tracing::info!(request = self.ask.id, %error, "endpoint unreachable");
                return Err(Failure::Silent(CallEnd::Unreachable));
            }
            Err(error) => {
                tracing::info!(request = self.ask.id, %error, "call failed");
                return Err(Failure::Silent(CallEnd::Broken));
            }
        };
        let facts = dialect.facts(answer.status, &answer.headers);
        let is_success = (200..300).contains(&answer.status);
        let first = match answer.next().await {
            Ok(first) => first,
            Err(error) => {
                tracing::info!(request = self.ask.id, %error, "answer broke off");
                return Err(Failure::Silent(CallEnd::Broken));
            }
        };
        let now = self.now();
        let mut fleet = self.forwarder.fleet();
        let ran = is_success && facts.signed && !facts.refused;
        fleet.answered(now, flight.ticket, &facts, ran);
        if answer.closes() {
            fleet.closes(now, flight.ticket);
        }
        drop(fleet);
        let end = match () {
            () if facts.misdirected => CallEnd::Replaced,
            () if facts.refused => CallEnd::Refused,
            () if is_success && (!facts.signed || answer.is_encoded()) => {
                return Err(Failure::Silent(CallEnd::Broken));
            }
            () => {
                self.count();
                match answer.status {
                    500.. => CallEnd::Failed,
                    _ => return Ok((answer, first)),
                }
            }
        };
        let flight = flight.split();
        let started = Started {
            answer,
            flight,
            first,
        };
        Err(Failure::Answered(Box::new(started), end))
    }

    /// Counts the request as usage of its workspace, once.
    fn count(&mut self) {
        let Some(workspace) = self.workspace.clone() else {
            return;
        };
        if !std::mem::replace(&mut self.counted, true) {
            self.forwarder.settings.control.record(UsageRow {
                workspace,
                class: ClassId::from(USAGE_CLASS),
                requests: 1,
                prompt: u64::from(self.ask.prompt),
                output: 0,
            });
        }
    }

    /// Passes a started answer on to the caller.
    async fn pass_on(mut self, started: Started) -> Result<Response, Refusal> {
        if self.route.repeat.is_stream() && started.answer.status < 300 {
            return Ok(self.stream(started));
        }
        let Started {
            mut answer,
            mut flight,
            first,
        } = started;
        let (status, headers) = (answer.status, forwarded(&answer.headers));
        let mut held = first.map_or_else(Vec::new, Vec::from);
        let left = self.left();
        let whole = timeout(left, async {
            while held.len() <= MAX_HELD_BYTES {
                match answer.next().await? {
                    Some(piece) => held.extend_from_slice(&piece),
                    None => return Ok::<_, io::Error>(true),
                }
            }
            Ok(false)
        });
        match whole.await {
            Ok(Ok(true)) => {
                flight.end(if status < 500 {
                    CallEnd::Served
                } else {
                    CallEnd::Failed
                });
                self.finish(status);
                Ok(respond(status, headers, server::full(held)))
            }
            Ok(Ok(false)) => {
                let started = Started {
                    answer,
                    flight,
                    first: Some(held.into()),
                };
                Ok(self.stream(started))
            }
            Ok(Err(error)) => {
                self.log_break(&flight, &error);
                flight.end(CallEnd::Broken);
                drop(flight);
                drop(answer);
                // The part that came is not passed on, so a repeatable request may start over.
                if self.tries_again(CallEnd::Broken) {
                    return Box::pin(self.run()).await;
                }
                Err(ResultCode::EndpointFailed.into())
            }
            Err(_) => Err(ResultCode::EndpointTimeout.into()),
        }
    }

    /// Passes a long answer on piece by piece.
    fn stream(self, started: Started) -> Response {
        let status = started.answer.status;
        let headers = forwarded(&started.answer.headers);
        let (sender, body) = answer::channel();
        tokio::spawn(self.relay(started, sender));
        respond(status, headers, body)
    }

    pub(crate) fn finish(&self, status: u16) {
        let took = self.now().saturating_duration_since(self.arrived);
        self.forwarder
            .settings
            .metrics
            .served(&self.service, status, took);
        tracing::info!(
            request = self.ask.id,
            status,
            attempts = self.attempts,
            took_ms = took.as_millis() as u64,
            "answered"
        );
    }
}

impl Flight {
    /// Moves the duty to record the end to a new guard.
    fn split(&mut self) -> Self {
        let ended = std::mem::replace(&mut self.ended, true);
        Self {
            forwarder: self.forwarder.clone(),
            print: self.print,
            ticket: self.ticket,
            choice: self.choice.clone(),
            sent: self.sent,
            ended,
        }
    }
}

fn respond(status: u16, headers: HeaderMap, body: server::Body) -> Response {
    let mut response = http::Response::new(body);
    // An answer that was read has a valid number; anything else must not look like a success.
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
