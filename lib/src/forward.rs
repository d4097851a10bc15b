//! Forwarding of callers' requests to the endpoints of a service.
//!
//! The forwarder buffers each request, selects an endpoint with [`crate::fleet`] and forwards the
//! request unchanged. [`crate::forward_job::decide_retry`] decides whether a failed attempt is retried;
//! `docs/platform.md` describes the life cycle of a request.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
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
use rand::Rng as _;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::answer;
use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::code::ResultCode;
use crate::control::Control;
use crate::control_core::POLL_TIMEOUT;
use crate::crash_tracker::CrashTracker;
use crate::dialect::Dialect;
use crate::dialect::RequestInfo;
use crate::fingerprint::Fingerprinter;
use crate::fingerprint::RequestPrints;
use crate::fleet::Fleet;
use crate::forward_crash::QUARANTINE_TIME;
use crate::forward_job::Job;
use crate::forward_job::Refusal;
use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::line::turn::Lines;
use crate::open_requests::OpenRequestGuard;
use crate::open_requests::OpenRequests;
use crate::retry::RetryChance;
use crate::retry::SharedBudget;
use crate::retry::SharedBudgetConfig;
use crate::route_table::Route;
use crate::route_table::RouteTable;
use crate::rules::Document;
use crate::server;
use crate::server::HangUp;
use crate::server::Request;
use crate::server::Response;
use crate::server::Service;
use crate::stop_window::ResponseTime;
use crate::stop_window::StopWindow;
use crate::supervision;
use crate::traffic_metrics::TrafficMetrics;
use crate::upstream::Client;

/// Timeout of a request that states none; the timeout of its route still applies.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// `Retry-After` of requests that are refused because the instance has no configuration yet; a group whose
/// members all start at once needs about as long to elect a leader.
const STARTUP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refusal of a request that a newer configuration might allow; an entry that is merely late polls again before
/// the caller comes back.
const EXPIRED_REFUSAL: Refusal = Refusal {
    code: ResultCode::ViewExpired,
    retry: Some(POLL_TIMEOUT),
};

/// Time after startup during which requests wait for the first configuration; a group whose members
/// all start at once needs about a second to elect a leader.
const STARTUP_WINDOW: Duration = Duration::from_secs(3);

/// Maximum time for which a request waits for the first configuration; callers consider an instance that
/// does not respond for longer to be down.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of routes whose response times are kept; routes come and go with configurations.
const MAX_TIMED_ROUTES: usize = 10_000;

/// Interval at which a waiting request checks for the first configuration.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Dependencies and configuration of a [`Forwarder`].
pub struct Settings {
    /// Access to the replicated control state.
    pub control: ClusterControl,
    /// Wire format of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Clock for all deadlines and measurements.
    pub clock: Arc<dyn Clock>,
    /// Load and availability of the endpoints, as known to this instance.
    pub fleet: Arc<Mutex<Fleet>>,
    /// Notifies of changes to the endpoint list.
    pub changes: watch::Receiver<()>,
    /// Maximum time for which the configuration is served without contact to the group.
    pub stale_limit: Duration,
    /// Computes the fingerprints by which repeated requests are recognized.
    pub fingerprinter: Fingerprinter,
    /// Configuration of the retry budget of each service.
    pub retry_config: SharedBudgetConfig,
    /// Request counters and latency histograms.
    pub metrics: TrafficMetrics,
    /// Whether requests for which engines have no room wait at this instance ([`crate::line`]).
    pub entry_queue: bool,
}

/// The route of a request, the workspace of its API key if the route needs one, and its rank by urgency.
type Access = (Arc<Route>, Option<WorkspaceId>, u8);

/// Forwards requests according to the newest configuration document.
pub struct Forwarder {
    pub(crate) settings: Settings,
    /// The newest valid document and the routing table built from it.
    table: RwLock<Option<(Arc<Document>, Arc<RouteTable>)>>,
    /// Retry budgets by service.
    budgets: Mutex<HashMap<ServiceId, SharedBudget>>,
    crash_tracker: Mutex<CrashTracker>,
    started: Instant,
    /// Whether the instance has been without contact to the group for longer than
    /// [`Settings::stale_limit`], as of the last call of [`Self::table`].
    stale: AtomicBool,
    /// When the instance is shutting down, the time that is left for it.
    stop_window: OnceLock<StopWindow>,
    /// Usual response times by route.
    response_times: Mutex<HashMap<RouteId, ResponseTime>>,
    open_requests: OpenRequests,
    /// Requests that wait for their turn, if they do at this instance.
    pub(crate) lines: Option<Lines>,
}

thread_local! {
    /// HTTP client of this thread; a connection can be used only on the event loop that opened it.
    static CLIENT: Client = Client::default();
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(settings: Settings) -> Arc<Self> {
        settings.control.endpoint_limits().serve_callers();
        if settings.entry_queue {
            supervision::lock(&settings.fleet).enable_line();
        }
        Arc::new(Self {
            started: settings.clock.now(),
            lines: settings.entry_queue.then(Lines::default),
            settings,
            table: RwLock::default(),
            budgets: Mutex::default(),
            crash_tracker: Mutex::default(),
            stale: AtomicBool::new(false),
            stop_window: OnceLock::new(),
            response_times: Mutex::default(),
            open_requests: OpenRequests::default(),
        })
    }

    /// Returns the routing table of the newest document, or `None` if the instance has no document or has
    /// been without contact to the group for longer than the limit.
    ///
    /// The table is rebuilt when the document has changed.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        let now = self.settings.clock.now();
        let control = &self.settings.control;
        let view = control.view_with_grace(now, self.settings.stale_limit);
        let is_stale = view.is_none() && control.latest_view().is_some();
        if self.stale.swap(is_stale, Ordering::Relaxed) != is_stale {
            tracing::warn!(
                limit_s = self.settings.stale_limit.as_secs_f64(),
                is_cut = is_stale,
                "staleness of the configuration changed"
            );
        }
        let view = view?;
        let document = view.document()?;
        {
            let cached = self.table.read().expect("table lock poisoned");
            if let Some((known, table)) = cached.as_ref()
                && known.revision >= document.revision
            {
                return Some(table.clone());
            }
        }
        let mut cached = self.table.write().expect("table lock poisoned");
        if let Some((known, table)) = cached.as_ref()
            && known.revision >= document.revision
        {
            return Some(table.clone());
        }
        match self.settings.dialect.route_table(&document.text) {
            Ok(table) => {
                let table = Arc::new(table);
                tracing::info!(
                    revision = table.revision,
                    view = view.version().0,
                    "configuration in force"
                );
                self.update_engines(&table);
                *cached = Some((document.clone(), table.clone()));
                Some(table)
            }
            Err(error) => {
                // Documents are validated before they are accepted, so another release wrote this one.
                tracing::error!(
                    %error,
                    revision = document.revision,
                    "cannot parse the configuration document"
                );
                cached.as_ref().map(|(_, table)| table.clone())
            }
        }
    }

    /// Returns the routing table, waiting for the first one while the instance starts.
    async fn wait_for_table(
        &self,
        arrived: Instant,
        info: &RequestInfo,
    ) -> Option<Arc<RouteTable>> {
        // Leaves half of the caller's time for the endpoint.
        let max_wait = info.time_limit.unwrap_or(DEFAULT_TIMEOUT) / 2;
        let deadline =
            (self.started + STARTUP_WINDOW).min(arrived + MAX_STARTUP_WAIT.min(max_wait));
        loop {
            let table = self.table();
            if table.is_some() || self.settings.clock.now() >= deadline {
                return table;
            }
            tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
        }
    }

    /// Passes the engine specifications of all services to the fleet.
    fn update_engines(&self, table: &RouteTable) {
        let mut fleet = supervision::lock(&self.settings.fleet);
        for service in table.services() {
            if let Some(engine) = &service.engine {
                fleet.set_engine_spec(&service.id, engine.clone());
            }
        }
    }

    /// Returns whether the instance should receive requests.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.table().is_some()
    }

    /// Marks the instance as not ready; it still serves open requests, and new ones as long as the window allows.
    pub fn leave(&self, window: StopWindow) {
        if self.stop_window.set(window).is_err() {
            tracing::warn!("the instance is shutting down already");
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.stop_window.get().is_some()
    }

    /// Returns whether a request of a route may be passed on to an endpoint now, which is a matter of the time that
    /// is left if the instance is shutting down.
    pub(crate) fn may_pass_on(&self, now: Instant, route: &RouteId) -> bool {
        let Some(window) = self.stop_window.get() else {
            return true;
        };
        window.allows(now, self.lock_response_times().get(route))
    }

    /// Returns the time by which new requests must be answered, if the instance is shutting down.
    pub(crate) fn answer_time(&self) -> Option<Instant> {
        self.stop_window.get().map(StopWindow::answer_time)
    }

    /// Records the time that a complete response took.
    pub(crate) fn record_response_time(&self, route: &RouteId, took: Duration) {
        let mut times = self.lock_response_times();
        match times.get_mut(route) {
            Some(time) => time.add(took),
            None => {
                if times.len() >= MAX_TIMED_ROUTES {
                    times.clear();
                }
                times.insert(route.clone(), ResponseTime::new(took));
            }
        }
    }

    fn lock_response_times(&self) -> MutexGuard<'_, HashMap<RouteId, ResponseTime>> {
        supervision::lock(&self.response_times)
    }

    /// Returns the requests whose response is not complete.
    pub fn open_requests(&self) -> &OpenRequests {
        &self.open_requests
    }

    /// Returns the request counters and latency histograms.
    pub fn metrics(&self) -> &TrafficMetrics {
        &self.settings.metrics
    }

    /// Returns the response to a request, with `Connection: close` while the instance shuts down.
    async fn handle(self: &Arc<Self>, request: Request) -> Response {
        let guard = self.open_requests.open(self.settings.clock.as_ref());
        let mut response = match self.serve(request, guard).await {
            Ok(response) => response,
            Err((id, refusal)) => self.refuse(&id, refusal),
        };
        if self.is_leaving() {
            let headers = response.headers_mut();
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Builds the error response for a refusal.
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
            HeaderName::from_bytes(self.settings.dialect.request_id_header().as_bytes()),
            HeaderValue::from_str(id),
        ) {
            headers.insert(name, value);
        }
        response
    }

    /// Forwards a request; a refusal is returned with the ID of the request.
    async fn serve(
        self: &Arc<Self>,
        request: Request,
        guard: OpenRequestGuard,
    ) -> Result<Response, (String, Refusal)> {
        let arrived = self.settings.clock.now();
        let info = self.settings.dialect.request_info(request.headers());
        let info = info.map_err(|error| {
            tracing::info!(%error, "invalid request headers");
            (String::new(), ResultCode::BadRequest.into())
        })?;
        let id = info.id.clone();
        guard.set_id(&id);
        let with_id = |refusal: Refusal| (id.clone(), refusal);
        let table = self.wait_for_table(arrived, &info).await.ok_or_else(|| {
            with_id(Refusal {
                code: ResultCode::ViewExpired,
                retry: Some(STARTUP_RETRY_AFTER),
            })
        })?;
        let (table, access) = match self.route(&table, &request, &info) {
            Ok(access) => (table, access),
            Err(_) => self.route_again(table, &request, &info).map_err(&with_id)?,
        };
        let (route, workspace, rank) = access;
        let request_timeout = info
            .time_limit
            .unwrap_or(DEFAULT_TIMEOUT)
            .min(route.timeout);
        let (head, body) = request.into_parts();
        let body = read_body(body, table.limits.body, table.limits.head_timeout).await;
        let body = body.map_err(|code| with_id(self.refuse_body(code, &table)))?;
        let target = head.uri.path_and_query().map_or_else(
            || head.uri.path().to_owned(),
            |target| target.as_str().to_owned(),
        );
        let fingerprinter = &self.settings.fingerprinter;
        let method = head.method.as_str();
        let prints = RequestPrints {
            request: fingerprinter.fingerprint(workspace.as_ref(), method, &target, &body),
            parts: fingerprinter.shared_parts(&info.parts),
        };
        if let Some(quarantined) = self.quarantined_print(&prints) {
            tracing::info!(
                request = info.id,
                print = %prints.request,
                %quarantined,
                "request is quarantined because endpoints crashed under it"
            );
            return Err(with_id(Refusal {
                code: ResultCode::Withheld,
                retry: Some(QUARANTINE_TIME),
            }));
        }
        let service = route.pick_service(&mut rand::rng()).clone();
        let engine = table.service(&service).and_then(|s| s.engine.clone());
        self.earn_retry(&service);
        let job = Job {
            forwarder: self.clone(),
            client: CLIENT.with(Client::clone),
            headers: end_to_end_headers(&head.headers),
            method: head.method,
            target,
            prints,
            body,
            info,
            route,
            service,
            engine,
            workspace,
            rank,
            arrived,
            deadline: arrived + request_timeout,
            revision: table.revision,
            attempts: 0,
            connect_failures: 0,
            may_have_run: false,
            excluded: Vec::new(),
            usage_recorded: AtomicBool::new(false),
            stream: None,
            hang_up: head.extensions.get::<HangUp>().cloned(),
            _guard: guard,
        };
        job.run().await.map_err(|refusal| (id, refusal))
    }

    /// Returns the newest routing table that allows a request which `table` does not allow, or the refusal.
    ///
    /// Without a valid view lease, a newer document may have been acknowledged that allows the request. The
    /// refusal then states that the request was not run, so that the caller tries another instance
    /// (`docs/platform.md`, "Old views").
    fn route_again(
        &self,
        table: Arc<RouteTable>,
        request: &Request,
        info: &RequestInfo,
    ) -> Result<(Arc<RouteTable>, Access), Refusal> {
        let now = self.settings.clock.now();
        let current = self.current_table();
        let is_current = current.is_some();
        let table = current.unwrap_or(table);
        let code = match self.route(&table, request, info) {
            Ok(access) => return Ok((table, access)),
            Err(code) => code,
        };
        let age = self.settings.control.view_age(now);
        tracing::info!(
            request = info.id,
            code = code.number(),
            revision = table.revision,
            path = request.uri().path(),
            view_age_ms = age.map(|age| age.as_millis() as u64),
            is_current,
            "no route or no access according to the configuration"
        );
        Err(match is_current {
            true => code.into(),
            false => EXPIRED_REFUSAL,
        })
    }

    /// Returns the refusal of a body that could not be read under the limits of `table`; as in
    /// [`Self::route_again`], a newer document may allow a larger one.
    fn refuse_body(&self, code: ResultCode, table: &RouteTable) -> Refusal {
        let is_final = code != ResultCode::BodyTooLarge
            || self
                .current_table()
                .is_some_and(|current| current.limits.body <= table.limits.body);
        match is_final {
            true => code.into(),
            false => EXPIRED_REFUSAL,
        }
    }

    /// Returns the routing table if it is certain to include every configuration in force.
    fn current_table(&self) -> Option<Arc<RouteTable>> {
        // The table is read after the lease, so it is at least as new as the view that the lease covers.
        let now = self.settings.clock.now();
        self.settings.control.view(now).ok()?;
        self.table()
    }

    /// Returns the access that a routing table grants to a request.
    fn route(
        &self,
        table: &RouteTable,
        request: &Request,
        info: &RequestInfo,
    ) -> Result<Access, ResultCode> {
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
        let caller = info.key.as_deref().and_then(|key| table.caller(key));
        let caller = caller.ok_or(ResultCode::InvalidKey)?;
        let rank = table.urgency(route, Some(caller));
        Ok((route.clone(), Some(caller.workspace.clone()), rank))
    }

    /// Credits the retry budget of the service for a new request.
    fn earn_retry(&self, service: &ServiceId) {
        self.with_budget(service, |budget, now, instances| {
            budget.earn(now, instances)
        });
    }

    /// Takes a retry from the budget of the service and returns whether the budget allowed it.
    pub(crate) fn spend_retry(&self, service: &ServiceId, chance: RetryChance) -> bool {
        let draw = rand::rng().random_range(0.0..1.0);
        let spend =
            |budget: &mut SharedBudget, now, instances| budget.spend(now, instances, chance, draw);
        self.with_budget(service, spend)
    }

    /// Returns a retry to the budget of the service that was taken and not sent.
    pub(crate) fn return_retry(&self, service: &ServiceId) {
        self.with_budget(service, |budget, now, instances| {
            budget.give_back(now, instances)
        });
    }

    /// Calls a function with the retry budget of the service, the time and the number of instances.
    fn with_budget<T>(
        &self,
        service: &ServiceId,
        run: impl FnOnce(&mut SharedBudget, Instant, u32) -> T,
    ) -> T {
        let now = self.settings.clock.now();
        let instances = self.settings.control.instance_count();
        let mut budgets = self.budgets.lock().expect("budgets lock poisoned");
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| SharedBudget::new(now, self.settings.retry_config, instances));
        run(budget, now, instances)
    }

    /// Locks the crash tracker.
    pub(crate) fn crash_tracker(&self) -> std::sync::MutexGuard<'_, CrashTracker> {
        self.crash_tracker
            .lock()
            .expect("crash tracker lock poisoned")
    }

    /// Locks the fleet.
    pub(crate) fn fleet(&self) -> std::sync::MutexGuard<'_, Fleet> {
        supervision::lock(&self.settings.fleet)
    }
}

/// HTTP service that passes requests to a [`Forwarder`].
#[derive(Clone)]
pub struct ForwardService(pub Arc<Forwarder>);

impl Service for ForwardService {
    async fn call(&self, request: Request) -> io::Result<Response> {
        Ok(self.0.handle(request).await)
    }

    fn limits(&self) -> server::Limits {
        let defaults = server::Limits::default();
        let table = self.0.table();
        // hyper uses one timeout both for idle connections and for reading a request head.
        let idle = table.map_or(defaults.head_timeout, |table| table.limits.idle);
        server::Limits {
            head_timeout: idle,
            ..defaults
        }
    }
}

/// Reads a request body of at most `limit` bytes.
async fn read_body(
    body: hyper::body::Incoming,
    limit: usize,
    head_timeout: Duration,
) -> Result<Bytes, ResultCode> {
    // A large body may take longer than a request head; the request's own timeout limits it as well.
    match timeout(head_timeout * 2, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ResultCode::BodyTooLarge)
        }
        Ok(Err(_)) => Err(ResultCode::BadRequest),
        Err(_) => Err(ResultCode::BodyTimeout),
    }
}

/// Returns the headers without hop-by-hop headers, `Content-Length` and `Expect`.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || named.iter().any(|n| n == name.as_str())
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT;
        if !is_hop_by_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
