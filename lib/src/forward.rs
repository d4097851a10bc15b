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
use rand::Rng as _;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::answer;
use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::code::ResultCode;
use crate::control::Control;
use crate::culprits::Culprits;
use crate::dialect::Ask;
use crate::dialect::Dialect;
use crate::fingerprint::Fingerprinter;
use crate::fleet::Fleet;
use crate::forward_crash::QUARANTINE_TIME;
use crate::forward_job::Job;
use crate::forward_job::Refusal;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::retry::RetryChance;
use crate::retry::SharedBudget;
use crate::retry::SharedBudgetConfig;
use crate::route_table::Route;
use crate::route_table::RouteTable;
use crate::rules::Document;
use crate::server;
use crate::server::Request;
use crate::server::Response;
use crate::server::Service;
use crate::traffic_metrics::TrafficMetrics;
use crate::upstream::Client;

/// Patience of a caller that states none and whose route allows longer.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// Wait told to callers of an instance that holds no configuration yet.
const STARTING_RETRY: Duration = Duration::from_secs(1);

/// Time after the start in which a configuration is expected any moment; a group that starts as a whole
/// needs about a second for its election.
const STARTING: Duration = Duration::from_secs(3);

/// Time for which a request waits for the first configuration, at most. Callers take an instance that
/// is silent for longer for a lost one.
const STARTING_HOLD: Duration = Duration::from_secs(1);

/// Interval at which a waiting request looks for the first configuration.
const STARTING_STEP: Duration = Duration::from_millis(20);

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
    /// Tells of changes of the list of endpoints.
    pub changes: watch::Receiver<()>,
    /// Time for which a configuration is served without contact to the group.
    pub stale_limit: Duration,
    /// Recognises requests that come again.
    pub fingerprints: Fingerprinter,
    /// Repeats that each service bears.
    pub repeats: SharedBudgetConfig,
    /// Counters and histograms.
    pub metrics: TrafficMetrics,
}

/// Forwards requests as the newest configuration document says.
pub struct Forwarder {
    pub(crate) settings: Settings,
    table: RwLock<Option<(Arc<Document>, Arc<RouteTable>)>>,
    budgets: Mutex<std::collections::HashMap<ServiceId, SharedBudget>>,
    culprits: Mutex<Culprits>,
    started: Instant,
    /// Whether the configuration is too old to be served.
    cut: AtomicBool,
    leaving: AtomicBool,
    open: AtomicUsize,
}

thread_local! {
    /// Connections to endpoints belong to the event loop that opened them.
    static CLIENT: Client = Client::default();
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            started: settings.clock.now(),
            settings,
            table: RwLock::default(),
            budgets: Mutex::default(),
            culprits: Mutex::default(),
            cut: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        })
    }

    /// Returns the routes of the newest document, which is read when it has changed, unless the instance
    /// has been without contact to the group for too long.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        let now = self.settings.clock.now();
        let control = &self.settings.control;
        let view = control.view_within(now, self.settings.stale_limit);
        let is_cut = view.is_none() && control.held_view().is_some();
        if self.cut.swap(is_cut, Ordering::Relaxed) != is_cut {
            tracing::warn!(
                limit_s = self.settings.stale_limit.as_secs_f64(),
                is_cut,
                "contact to the group, by the limit for the configuration"
            );
        }
        let view = view?;
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

    /// Returns the routes, for which a request waits while the instance starts.
    async fn first_table(&self, arrived: Instant, ask: &Ask) -> Option<Arc<RouteTable>> {
        // Half of the caller's time is left for the endpoint.
        let patience = ask.patience.unwrap_or(DEFAULT_PATIENCE) / 2;
        let until = (self.started + STARTING).min(arrived + STARTING_HOLD.min(patience));
        loop {
            let table = self.table();
            if table.is_some() || self.settings.clock.now() >= until {
                return table;
            }
            tokio::time::sleep(STARTING_STEP).await;
        }
    }

    fn take_services(&self, table: &RouteTable) {
        let mut fleet = self.settings.fleet.lock().expect("fleet lock poisoned");
        for service in table.services() {
            if let Some(engine) = &service.engine {
                fleet.set_engine(&service.id, engine.clone());
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
        let table = self.first_table(arrived, &ask).await.ok_or_else(|| {
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
        let target = head.uri.path_and_query().map_or_else(
            || head.uri.path().to_owned(),
            |target| target.as_str().to_owned(),
        );
        let print =
            self.settings
                .fingerprints
                .of(workspace.as_ref(), head.method.as_str(), &target, &body);
        if self.is_withheld(print) {
            tracing::info!(request = ask.id, %print, "withheld, endpoints ended under it");
            return Err(failed(Refusal {
                code: ResultCode::Withheld,
                retry: Some(QUARANTINE_TIME),
            }));
        }
        let service = route.pick(&mut rand::rng()).clone();
        let engine = table.service(&service).and_then(|s| s.engine.clone());
        self.earn(&service);
        let job = Job {
            forwarder: self.clone(),
            client: CLIENT.with(Client::clone),
            headers: forwarded(&head.headers),
            method: head.method,
            target,
            print,
            body,
            ask,
            route,
            service,
            engine,
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
        self.with_budget(service, |budget, now, entries| budget.earn(now, entries));
    }

    /// Takes a repeat of the service, if there is one for such a failure.
    pub(crate) fn spend(&self, service: &ServiceId, mend: RetryChance) -> bool {
        let draw = rand::rng().random_range(0.0..1.0);
        let spend =
            |budget: &mut SharedBudget, now, entries| budget.spend(now, entries, mend, draw);
        self.with_budget(service, spend)
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        run: impl FnOnce(&mut SharedBudget, Instant, u32) -> T,
    ) -> T {
        let now = self.settings.clock.now();
        let entries = self.settings.control.entries();
        let mut budgets = self.budgets.lock().expect("budgets lock poisoned");
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| SharedBudget::new(now, self.settings.repeats, entries));
        run(budget, now, entries)
    }

    pub(crate) fn culprits(&self) -> std::sync::MutexGuard<'_, Culprits> {
        self.culprits.lock().expect("culprits lock poisoned")
    }

    pub(crate) fn fleet(&self) -> std::sync::MutexGuard<'_, Fleet> {
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
pub(crate) struct Open(Arc<Forwarder>);

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
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
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
