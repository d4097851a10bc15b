//! Forwarding of callers' requests to the endpoints of a service.
//!
//! A request is read whole, gets an endpoint from [`crate::fleet`] and is passed on unchanged. What
//! may follow a failure is decided by [`after_failure`]; `docs/platform.md` tells the life of a
//! request.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use rand::Rng;
use tokio::time::timeout;

use crate::answer;
use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::code::ResultCode;
use crate::command::UsageRow;
use crate::control::Control;
use crate::dialect::Ask;
use crate::dialect::Dialect;
use crate::dialect::Onward;
use crate::event_cutter::EventCutter;
use crate::fleet::CallEnd;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::NoChoice;
use crate::fleet::Ticket;
use crate::fleet::Want;
use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::retry::RetryBudget;
use crate::route_table::Repeat;
use crate::route_table::Route;
use crate::route_table::RouteTable;
use crate::rules::Document;
use crate::server;
use crate::server::Request;
use crate::server::Response;
use crate::server::Service;
use crate::traffic_metrics::TrafficMetrics;
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

/// Patience of a caller that states none and whose route allows longer.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// Sends that reached no endpoint after which a request is given up.
const MAX_UNREACHED: u32 = 3;

/// Wait told to callers of an instance that holds no configuration yet.
const STARTING_RETRY: Duration = Duration::from_millis(500);

/// Shortest wait told to a caller whose endpoint had no room; others may have some.
const SHED_RETRY: Duration = Duration::from_millis(150);

/// Largest wait told to callers, so that they return while their deadline allows it.
const MAX_RETRY: Duration = Duration::from_secs(3);

/// Requests that share the class of usage rows, which the platform counts by workspace only.
const USAGE_CLASS: &str = "forwarded";

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What a forwarder is made of.
pub struct Settings {
    /// The control state.
    pub control: ClusterControl,
    /// The platform's wire.
    pub dialect: Arc<dyn Dialect>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Knowledge about endpoints.
    pub fleet: Arc<Mutex<Fleet>>,
    /// Repeats that a service allows over all instances, as a part of its requests.
    pub retry_ratio: f64,
    /// Repeats over all instances beyond that part.
    pub retry_slack: f64,
    /// Counters and histograms.
    pub metrics: TrafficMetrics,
}

/// Forwards requests as the newest configuration document says.
pub struct Forwarder {
    settings: Settings,
    table: RwLock<Option<(Arc<Document>, Arc<RouteTable>)>>,
    budgets: Mutex<std::collections::HashMap<ServiceId, RetryBudget>>,
    leaving: AtomicBool,
    open: AtomicUsize,
}

thread_local! {
    /// Connections to endpoints belong to the event loop that opened them.
    static CLIENT: Client = Client::default();
}

/// A refusal or failure of this instance's own.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    code: ResultCode,
    retry: Option<Duration>,
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

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            table: RwLock::default(),
            budgets: Mutex::default(),
            leaving: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        })
    }

    /// Returns the routes of the newest document, which is read when it has changed.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        let view = self.settings.control.held_view()?;
        let document = view.document()?;
        {
            let held = self.table.read().expect("table lock poisoned");
            if let Some((known, table)) = held.as_ref()
                && known.revision >= document.revision
            {
                return Some(table.clone());
            }
        }
        let mut held = self.table.write().expect("table lock poisoned");
        if let Some((known, table)) = held.as_ref()
            && known.revision >= document.revision
        {
            return Some(table.clone());
        }
        match self.settings.dialect.table(&document.text) {
            Ok(table) => {
                let table = Arc::new(table);
                tracing::info!(
                    revision = table.revision,
                    view = view.version().0,
                    "configuration in force"
                );
                self.take_services(&table);
                *held = Some((document.clone(), table.clone()));
                Some(table)
            }
            Err(error) => {
                // Every document is checked before it is accepted, so this is another release's.
                tracing::error!(%error, revision = document.revision, "cannot read the document");
                held.as_ref().map(|(_, table)| table.clone())
            }
        }
    }

    fn take_services(&self, table: &RouteTable) {
        let mut fleet = self.settings.fleet.lock().expect("fleet lock poisoned");
        for service in table.services() {
            if let Some(engine) = &service.engine {
                fleet.set_memory(&service.id, engine.memory);
            }
        }
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && self.table().is_some()
    }

    /// Takes the instance out of rotation; open and new requests are still served.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests that have no whole answer yet.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the counters and histograms.
    pub fn metrics(&self) -> &TrafficMetrics {
        &self.settings.metrics
    }

    async fn handle(self: &Arc<Self>, request: Request) -> Response {
        let place = Open::new(self);
        let mut response = match self.serve(request, place).await {
            Ok(response) => response,
            Err((id, refusal)) => self.refuse(&id, refusal),
        };
        if self.leaving.load(Ordering::Relaxed) {
            let headers = response.headers_mut();
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn refuse(&self, id: &str, refusal: Refusal) -> Response {
        let code = refusal.code;
        self.settings.metrics.refused(code);
        tracing::info!(
            request = id,
            code = code.number(),
            retry_ms = refusal.retry.map(|retry| retry.as_millis() as u64),
            "answered with an own failure"
        );
        let body = serde_json::json!({"error": {"code": code.number(), "message": code.text()}});
        let mut response = answer::plain(code.status(), answer::JSON, body.to_string());
        let headers = response.headers_mut();
        if let Some(retry) = refusal.retry {
            let seconds = format!("{:.3}", retry.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(self.settings.dialect.echo().as_bytes()),
            HeaderValue::from_str(id),
        ) {
            headers.insert(name, value);
        }
        response
    }

    async fn serve(
        self: &Arc<Self>,
        request: Request,
        place: Open,
    ) -> Result<Response, (String, Refusal)> {
        let arrived = self.settings.clock.now();
        let ask = self.settings.dialect.ask(request.headers());
        let ask = ask.map_err(|error| {
            tracing::info!(%error, "unreadable request");
            (String::new(), ResultCode::BadRequest.into())
        })?;
        let id = ask.id.clone();
        let failed = |refusal: Refusal| (id.clone(), refusal);
        let table = self.table().ok_or_else(|| {
            failed(Refusal {
                code: ResultCode::ViewExpired,
                retry: Some(STARTING_RETRY),
            })
        })?;
        let (route, workspace, rank) = self.route(&table, &request, &ask).map_err(|code| {
            tracing::info!(
                request = ask.id,
                code = code.number(),
                revision = table.revision,
                path = request.uri().path(),
                "not allowed by the configuration"
            );
            failed(code.into())
        })?;
        let patience = ask.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
        let (head, body) = request.into_parts();
        let body = read_body(body, table.limits.body, table.limits.arrival).await;
        let body = body.map_err(|code| failed(code.into()))?;
        let service = route.pick(&mut rand::rng()).clone();
        let is_engine = table.service(&service).is_some_and(|s| s.engine.is_some());
        self.earn(&service);
        let job = Job {
            forwarder: self.clone(),
            client: CLIENT.with(Client::clone),
            headers: forwarded(&head.headers),
            method: head.method,
            target: head.uri.path_and_query().map_or_else(
                || head.uri.path().to_owned(),
                |target| target.as_str().to_owned(),
            ),
            body,
            ask,
            route,
            service,
            is_engine,
            workspace,
            rank,
            arrived,
            end: arrived + patience,
            revision: table.revision,
            attempts: 0,
            unreached: 0,
            excluded: Vec::new(),
            counted: false,
            _place: place,
        };
        job.run().await.map_err(|refusal| (id, refusal))
    }

    fn route(
        &self,
        table: &RouteTable,
        request: &Request,
        ask: &Ask,
    ) -> Result<(Arc<Route>, Option<WorkspaceId>, u8), ResultCode> {
        let host = request
            .headers()
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let route = table.route(host, request.uri().path());
        let route = route.ok_or(ResultCode::UnknownRoute)?;
        if !table.needs_key(route) {
            return Ok((route.clone(), None, table.urgency(route, None)));
        }
        let caller = ask.key.as_deref().and_then(|key| table.caller(key));
        let caller = caller.ok_or(ResultCode::InvalidKey)?;
        let rank = table.urgency(route, Some(caller));
        Ok((route.clone(), Some(caller.workspace.clone()), rank))
    }

    fn earn(&self, service: &ServiceId) {
        self.with_budget(service, |budget| budget.earn());
    }

    fn spend(&self, service: &ServiceId) -> bool {
        self.with_budget(service, RetryBudget::spend)
    }

    fn with_budget<T>(&self, service: &ServiceId, run: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("budgets lock poisoned");
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let entries = self.settings.control.entries().max(1);
            // Half of what is allowed: the other half covers callers that change instances and
            // windows that fall between two buckets.
            RetryBudget::new(
                self.settings.retry_ratio / 2.0,
                self.settings.retry_slack / 2.0 / f64::from(entries),
            )
        });
        run(budget)
    }

    fn fleet(&self) -> std::sync::MutexGuard<'_, Fleet> {
        self.settings.fleet.lock().expect("fleet lock poisoned")
    }
}

/// Serves a forwarder over HTTP.
#[derive(Clone)]
pub struct ForwardFront(pub Arc<Forwarder>);

impl Service for ForwardFront {
    async fn call(&self, request: Request) -> io::Result<Response> {
        Ok(self.0.handle(request).await)
    }

    fn limits(&self) -> server::Limits {
        let defaults = server::Limits::default();
        let table = self.0.table();
        // hyper uses one limit for an idle connection and for a head on its way.
        let idle = table.map_or(defaults.head, |table| table.limits.idle);
        server::Limits {
            head: idle,
            ..defaults
        }
    }
}

/// Counts one open request.
struct Open(Arc<Forwarder>);

impl Open {
    fn new(forwarder: &Arc<Forwarder>) -> Self {
        forwarder.open.fetch_add(1, Ordering::Relaxed);
        Self(forwarder.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn read_body(
    body: hyper::body::Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, ResultCode> {
    // A large body may take longer than a head; the route's timeout bounds it as well.
    match timeout(patience * 2, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ResultCode::BodyTooLarge)
        }
        Ok(Err(_)) => Err(ResultCode::BadRequest),
        Err(_) => Err(ResultCode::BodyTimeout),
    }
}

/// Returns the headers without those that concern one connection only.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_HEADERS.contains(name)
            || named.iter().any(|n| n == name.as_str())
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT;
        if !is_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// A request on its way through endpoints.
struct Job {
    forwarder: Arc<Forwarder>,
    client: Client,
    method: http::Method,
    /// Path and query.
    target: String,
    headers: HeaderMap,
    body: Bytes,
    ask: Ask,
    route: Arc<Route>,
    service: ServiceId,
    is_engine: bool,
    workspace: Option<WorkspaceId>,
    rank: u8,
    arrived: Instant,
    /// Time by which the caller has its whole answer or a failure.
    end: Instant,
    /// Revision of the configuration that it was routed by.
    revision: u64,
    attempts: u32,
    unreached: u32,
    excluded: Vec<EndpointId>,
    /// Whether it was counted as usage.
    counted: bool,
    _place: Open,
}

/// A call at an endpoint, whose end is recorded once.
struct Flight {
    forwarder: Arc<Forwarder>,
    ticket: Ticket,
    choice: Choice,
    sent: Instant,
    ended: bool,
}

impl Flight {
    fn end(&mut self, end: CallEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.forwarder.settings.clock.now();
            self.forwarder.fleet().end(now, self.ticket, end);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(CallEnd::Cancelled);
    }
}

/// An answer whose first part has arrived.
struct Started {
    answer: upstream::Answer,
    flight: Flight,
    /// First part of the body, or nothing if the body is empty.
    first: Option<Bytes>,
}

/// An attempt without the start of a usable answer.
enum Failure {
    /// The endpoint's own answer, which the caller gets if nothing better follows.
    Answered(Box<Started>, CallEnd),
    /// No answer.
    Silent(CallEnd),
    /// The caller's time ran out.
    Late,
}

impl Job {
    fn now(&self) -> Instant {
        self.forwarder.settings.clock.now()
    }

    fn left(&self) -> Duration {
        self.end.saturating_duration_since(self.now())
    }

    async fn run(mut self) -> Result<Response, Refusal> {
        loop {
            let failure = match self.attempt(None).await? {
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

    fn tries_again(&mut self, end: CallEnd) -> bool {
        let reached = end != CallEnd::Unreachable;
        if !reached {
            self.unreached += 1;
        }
        after_failure(self.route.repeat, end, self.attempts, self.route.attempts) == Next::Again
            && self.unreached <= MAX_UNREACHED
            && self.left() > LEAST_OFFER
            && (!reached || self.forwarder.spend(&self.service))
    }

    fn choose(&self) -> Result<(Choice, Ticket), NoChoice> {
        let now = self.now();
        let control = &self.forwarder.settings.control;
        let total = control.total_work().get(&self.service).copied();
        let mut fleet = self.forwarder.fleet();
        let mut want = Want {
            service: &self.service,
            prompt: self.ask.prompt,
            parts: &self.ask.parts,
            excluded: &self.excluded,
            left: self.left(),
            total: total.unwrap_or_default(),
            urgency: self.rank,
        };
        let choice = match fleet.choose(now, &want) {
            Err(NoChoice::Nowhere) if !self.excluded.is_empty() => {
                want.excluded = &[];
                fleet.choose(now, &want)
            }
            other => other,
        };
        if let Err(NoChoice::Late { .. }) = choice {
            fleet.turned_away(now, &self.service, self.rank);
        }
        let choice = choice?;
        let ticket = fleet.start(now, &choice, &self.ask.parts);
        control.set_work(fleet.works(now));
        Ok((choice, ticket))
    }

    /// Sends the request to an endpoint and waits for the first part of the answer.
    async fn attempt(&mut self, last: Option<&str>) -> Result<Result<Started, Failure>, Refusal> {
        let left = self.left();
        if left < LEAST_OFFER {
            return Ok(Err(Failure::Late));
        }
        let (choice, ticket) = self.choose().map_err(|reason| {
            let retry = match reason {
                NoChoice::Nowhere => MAX_RETRY / 3,
                NoChoice::Late { expected } => (expected / 2).min(MAX_RETRY),
                NoChoice::Yields => MAX_RETRY / 2,
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
                    NoChoice::Late { .. } | NoChoice::Yields => ResultCode::Overloaded,
                },
                retry: Some(retry.mul_f64(jitter)),
            }
        })?;
        let mut flight = Flight {
            forwarder: self.forwarder.clone(),
            ticket,
            choice,
            sent: self.now(),
            ended: false,
        };
        let patience = self.silence_limit(&flight.choice).min(left);
        let result = match timeout(patience, self.exchange(&mut flight, last)).await {
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
            if end != CallEnd::Unreachable {
                self.attempts += 1;
            }
            self.excluded.push(flight.choice.listed.id.clone());
        } else {
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
    /// other one waits as long as its caller does.
    fn silence_limit(&self, choice: &Choice) -> Duration {
        let is_last = self.attempts + 1 >= self.route.attempts;
        if is_last || !self.route.repeat.is_repeatable() {
            return Duration::MAX;
        }
        let usual = choice.expected.max(self.route.objective);
        (usual * SILENCE_FACTOR).max(LEAST_SILENCE)
    }

    fn log_attempt(&self, flight: &Flight, end: Option<CallEnd>) {
        let took = self.now().saturating_duration_since(flight.sent);
        self.forwarder.settings.metrics.first(&self.service, took);
        tracing::info!(
            request = self.ask.id,
            route = %self.route.id,
            revision = self.revision,
            service = %self.service,
            endpoint = %flight.choice.listed.id,
            attempt = self.attempts,
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

    async fn exchange(
        &mut self,
        flight: &mut Flight,
        last: Option<&str>,
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
                engine: self.is_engine,
                last,
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
        fleet.answered(now, flight.ticket, facts.load);
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
        let (status, headers) = (answer.status, passed(&answer.headers));
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
                tracing::info!(request = self.ask.id, %error, "answer broke off");
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
        let headers = passed(&started.answer.headers);
        let (sender, body) = answer::channel();
        tokio::spawn(self.relay(started, sender));
        respond(status, headers, body)
    }

    async fn relay(
        mut self,
        mut started: Started,
        sender: tokio::sync::mpsc::Sender<io::Result<Bytes>>,
    ) {
        let resumable = self.route.repeat == Repeat::Stream { resumable: true };
        let mut cutter = EventCutter::default();
        loop {
            let outcome = self
                .relay_one(&mut started, &sender, &mut cutter, resumable)
                .await;
            let end = match outcome {
                RelayEnd::Whole => CallEnd::Served,
                RelayEnd::Broken => CallEnd::Broken,
                RelayEnd::Left | RelayEnd::Late => CallEnd::Cancelled,
            };
            started.flight.end(end);
            match outcome {
                RelayEnd::Whole => return self.finish(200),
                RelayEnd::Left => {
                    tracing::info!(request = self.ask.id, "the caller left");
                    return;
                }
                RelayEnd::Late => break,
                RelayEnd::Broken => {}
            }
            drop(started);
            match self.resume(&cutter, resumable).await {
                Some(next) => started = next,
                None => break,
            }
            cutter.restart();
        }
        tracing::info!(request = self.ask.id, "stream broken off");
        self.forwarder
            .settings
            .metrics
            .refused(ResultCode::StreamInterrupted);
        let error = io::Error::other("the stream broke off");
        // The caller may have left, in which case nobody is to be told.
        let _ = sender.send(Err(error)).await;
    }

    /// Passes pieces on until the answer ends or breaks.
    async fn relay_one(
        &mut self,
        started: &mut Started,
        sender: &tokio::sync::mpsc::Sender<io::Result<Bytes>>,
        cutter: &mut EventCutter,
        resumable: bool,
    ) -> RelayEnd {
        let mut piece = started.first.take();
        loop {
            if let Some(bytes) = piece {
                // Only whole events are passed on where another endpoint may have to go on.
                let bytes = if resumable { cutter.push(bytes) } else { bytes };
                if !bytes.is_empty() && sender.send(Ok(bytes)).await.is_err() {
                    return RelayEnd::Left;
                }
            }
            let left = self.left();
            let limit = match resumable {
                true => self.silence_limit(&started.flight.choice).min(left),
                false => left,
            };
            let next = tokio::select! {
                next = timeout(limit, started.answer.next()) => next,
                () = sender.closed() => return RelayEnd::Left,
            };
            piece = match next {
                Ok(Ok(Some(bytes))) => Some(bytes),
                Ok(Ok(None)) if resumable && cutter.is_partial() => return RelayEnd::Broken,
                Ok(Ok(None)) => return RelayEnd::Whole,
                Ok(Err(_)) => return RelayEnd::Broken,
                Err(_) if limit < left => return RelayEnd::Broken,
                Err(_) => return RelayEnd::Late,
            };
        }
    }

    /// Asks another endpoint to go on after the last whole event.
    async fn resume(&mut self, cutter: &EventCutter, resumable: bool) -> Option<Started> {
        if !resumable {
            return None;
        }
        let last = cutter.last().map(str::to_owned);
        let mut end = CallEnd::Broken;
        while self.tries_again(end) {
            end = match self.attempt(last.as_deref()).await {
                Ok(Ok(started)) => return Some(started),
                Ok(Err(Failure::Answered(_, end) | Failure::Silent(end))) => end,
                Ok(Err(Failure::Late)) | Err(_) => return None,
            };
        }
        None
    }

    fn finish(&self, status: u16) {
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

/// How the relay of one endpoint's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Whole,
    Broken,
    Left,
    Late,
}

impl Flight {
    /// Moves the duty to record the end to a new guard.
    fn split(&mut self) -> Self {
        let ended = std::mem::replace(&mut self.ended, true);
        Self {
            forwarder: self.forwarder.clone(),
            ticket: self.ticket,
            choice: self.choice.clone(),
            sent: self.sent,
            ended,
        }
    }
}

fn passed(headers: &HeaderMap) -> HeaderMap {
    forwarded(headers)
}

fn respond(status: u16, headers: HeaderMap, body: server::Body) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    *response.headers_mut() = headers;
    response
}
