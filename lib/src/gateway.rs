//! HTTP interface for callers: authentication, validation and routing of requests.
//!
//! A valid request becomes a job, which waits in the queue of [`crate::dispatcher`] and then runs
//! on an endpoint. An invalid request is refused with a numbered result code before it reaches an
//! endpoint.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::Method;
use tokio::sync::watch;

use crate::answer;
use crate::at_most_once;
use crate::chart::ChartError;
use crate::chart::Charts;
use crate::clock::Clock;
use crate::code::ResultCode;
use crate::control::Control;
use crate::crash::CrashReporter;
use crate::decision_log::DecisionLog;
use crate::dispatcher::Dispatcher;
use crate::drain::Drain;
use crate::grant;
use crate::grant::Caller;
use crate::grant::Grant;
use crate::grant::ViewState;
use crate::ids::RequestId;
use crate::job::Job;
use crate::job::JobParts;
use crate::job::RequestBody;
use crate::job::RequestHead;
use crate::key::KeySecret;
use crate::metrics::Metrics;
use crate::openai;
use crate::openai::Refusal;
use crate::policy::Policy;
use crate::request;
use crate::request::BodyBudget;
use crate::request::EngineBody;
use crate::rules::Route;
use crate::rules::Scope;
use crate::rules::Target;
use crate::server::Request;
use crate::server::Response;
use crate::server::Service;
use crate::upstream::Client;
use crate::view;
use crate::view::View;

/// Interval between calls of [`Policy::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Request header that selects one of the classes that the caller's workspace has for a model.
pub const CLASS_HEADER: &str = "x-fulmarford-class";

/// Paths of the OpenAI-compatible API that are served by engines.
const ENGINE_PATHS: &[&str] = &["/v1/chat/completions", "/v1/completions"];

/// Path that lists the models.
const MODELS_PATH: &str = "/v1/models";

/// Timeouts of calls to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Maximum time from dispatch to the first token of a stream.
    pub first_token: Duration,
    /// Maximum time from dispatch to the headers of a response that is not streamed.
    pub headers: Duration,
    /// Maximum time between two tokens.
    pub idle: Duration,
    /// Maximum time from arrival to the end of the response, unless the class allows more.
    pub total: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            first_token: Duration::from_secs(60),
            headers: Duration::from_secs(300),
            idle: Duration::from_secs(20),
            total: Duration::from_secs(600),
        }
    }
}

/// Components and parameters of a gateway.
pub struct Settings {
    /// Source of the view and of the shared control state.
    pub control: Arc<dyn Control>,
    /// Scheduling policy.
    pub policy: Box<dyn Policy>,
    /// Version of the view that the policy was created with.
    pub view_version: view::Version,
    /// Secret for the keyed hash of callers' keys.
    pub key_secret: KeySecret,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Id of the first request of this process; later ids count up from it.
    pub first_request_id: u64,
    /// Timeouts of calls to endpoints.
    pub timeouts: Timeouts,
    /// Log of scheduling decisions.
    pub decision_log: DecisionLog,
    /// Metrics sink.
    pub metrics: Metrics,
}

/// Serves callers' requests under the rules of the current view.
pub struct Gateway {
    control: Arc<dyn Control>,
    dispatcher: Arc<Dispatcher>,
    crashes: CrashReporter,
    charts: Charts,
    drain: Drain,
    views: watch::Sender<ViewState>,
    key_secret: KeySecret,
    clock: Arc<dyn Clock>,
    timeouts: Timeouts,
    metrics: Metrics,
    body_budget: BodyBudget,
    next_request_id: AtomicU64,
    /// Number of instances last reported to the policy.
    instance_count: AtomicU32,
    stopped: Arc<AtomicBool>,
    timer_thread: Mutex<Option<thread::JoinHandle<()>>>,
}

thread_local! {
    /// HTTP client of this thread, as a connection is bound to the event loop that opened it.
    static CLIENT: Client = Client::default();
}

impl Gateway {
    /// Creates a gateway and starts its timer thread.
    pub fn start(settings: Settings) -> Result<Arc<Self>, StartError> {
        let charts = Charts::load().map_err(StartError::Chart)?;
        let (views, _) = watch::channel(settings.control.view(settings.clock.now()).ok());
        let dispatcher = Dispatcher::new(
            settings.policy,
            settings.view_version,
            settings.clock.clone(),
            settings.decision_log,
        );
        let gateway = Arc::new(Self {
            crashes: CrashReporter::new(settings.control.clone(), settings.clock.clone()),
            control: settings.control,
            dispatcher,
            drain: Drain::new(charts.drain.clone()),
            charts,
            views,
            key_secret: settings.key_secret,
            clock: settings.clock,
            timeouts: settings.timeouts,
            metrics: settings.metrics,
            body_budget: BodyBudget::default(),
            next_request_id: AtomicU64::new(settings.first_request_id),
            instance_count: AtomicU32::new(0),
            stopped: Arc::default(),
            timer_thread: Mutex::default(),
        });
        let weak = Arc::downgrade(&gateway);
        let stopped = gateway.stopped.clone();
        let timer_thread = thread::Builder::new()
            .name("ticker".to_owned())
            .spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    thread::sleep(TICK_INTERVAL);
                    let Some(gateway) = weak.upgrade() else {
                        return;
                    };
                    gateway.tick();
                }
            })
            .map_err(StartError::Thread)?;
        *gateway
            .timer_thread
            .lock()
            .expect("timer thread lock poisoned") = Some(timer_thread);
        Ok(gateway)
    }

    /// Advances the policy, and publishes a changed view to the policy and to open requests.
    fn tick(&self) {
        let view = self.control.view(self.now()).ok();
        let version = |v: &ViewState| v.as_ref().map(|v| v.version());
        if version(&self.views.borrow()) != version(&view) {
            if let Some(view) = &view {
                self.dispatcher.install(view);
            }
            self.views.send_replace(view);
        }
        let instance_count = self.control.instance_count();
        if instance_count > 0
            && self.instance_count.swap(instance_count, Ordering::Relaxed) != instance_count
        {
            self.dispatcher.set_instance_count(instance_count);
        }
        self.dispatcher.tick();
    }

    /// Returns the state of the graceful shutdown.
    pub fn drain(&self) -> &Drain {
        &self.drain
    }

    /// Returns the dispatcher, which holds the queue.
    pub fn dispatcher(&self) -> &Arc<Dispatcher> {
        &self.dispatcher
    }

    /// Returns the interface to the control state.
    pub fn control(&self) -> &Arc<dyn Control> {
        &self.control
    }

    /// Returns the state charts.
    pub fn charts(&self) -> &Charts {
        &self.charts
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn view(&self) -> Result<Arc<View>, ResultCode> {
        self.control
            .view(self.now())
            .map_err(|_| ResultCode::ViewExpired)
    }

    pub(crate) fn crashes(&self) -> &CrashReporter {
        &self.crashes
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    pub(crate) fn timeouts(&self) -> &Timeouts {
        &self.timeouts
    }

    /// Handles a request and returns its response or a refusal.
    pub async fn handle(self: &Arc<Self>, mut request: Request) -> Response {
        let id = RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let response = match self.serve(id, &mut request).await {
            Ok(response) => response,
            Err(refusal) => {
                // A caller that waits for `100 Continue` has not sent a body to discard.
                let expects_continue = request.headers().contains_key(http::header::EXPECT);
                if refusal.code != ResultCode::BodyTimeout && !expects_continue {
                    request::discard(request.body_mut()).await;
                }
                self.metrics.refused(refusal.code);
                answer::refusal(id, &refusal)
            }
        };
        let body_unread = matches!(response.status().as_u16(), 408 | 413);
        answer::finish(response, id, body_unread || !self.drain.is_serving())
    }

    async fn serve(
        self: &Arc<Self>,
        id: RequestId,
        request: &mut Request,
    ) -> Result<Response, Refusal> {
        if let Some(response) = self.probe(request.uri().path()) {
            return response.map_err(Refusal::from);
        }
        let arrived = self.now();
        let permit = self.drain.enter().ok_or(ResultCode::Draining)?;
        request::check_headers(request.headers())?;
        request::check_path(request.uri().path())?;
        let views = self.views.subscribe();
        let view = self.view()?;
        let caller = grant::authenticate(&view, &self.key_secret, request.headers())?;
        let path = request.uri().path().to_owned();
        if path == MODELS_PATH || path.starts_with("/v1/models/") {
            let method = request.method();
            return models(&view, &path, method, caller.as_ref()).map_err(Refusal::from);
        }
        let class = class_header(request.headers())?;
        let router = Router {
            view: &view,
            caller: caller.as_ref(),
            class: class.as_deref(),
        };
        let service = router.check(&path, request.method())?;
        let mut reservation = self.body_budget.reserve();
        let body = request::read_body(request.body_mut(), &mut reservation).await?;
        let (route, input) = match service {
            Some(route) => (route, RequestBody::Service(body.clone())),
            None => {
                let parsed = EngineBody::parse(&body)?;
                let route = router.model_route(parsed.model.as_str())?;
                (route, RequestBody::Engine(Box::new(parsed)))
            }
        };
        let class = view.class(route.class.as_str()).cloned();
        let class = class.ok_or(ResultCode::Internal)?;
        let grant = Grant::new(&route, caller.as_ref(), views)?;
        let head = RequestHead {
            method: request.method().clone(),
            target: request
                .uri()
                .path_and_query()
                .map_or(path, |p| p.as_str().to_owned()),
            headers: request::forwarded_headers(request.headers()),
        };
        let fingerprint =
            request::fingerprint(&grant.workspace, head.method.as_str(), &head.target, &body);
        let key = match class.idempotent {
            true => None,
            false => Some(at_most_once::key(request.headers())?),
        };
        let parts = JobParts {
            id,
            head,
            body: input,
            grant,
            class,
            route,
            fingerprint,
            arrived,
            permit,
            reservation,
        };
        let job = Job::new(self.clone(), CLIENT.with(Client::clone), parts);
        match key {
            None => job.run().await,
            Some(key) => at_most_once::run(job, key).await,
        }
    }

    /// Answers health and readiness probes, which need no key.
    fn probe(&self, path: &str) -> Option<Result<Response, ResultCode>> {
        let ok = || answer::plain(200, answer::JSON, "{\"ok\":true}");
        match path {
            "/health" => Some(Ok(ok())),
            "/ready" if !self.drain.is_serving() => Some(Err(ResultCode::Draining)),
            "/ready" => Some(self.view().map(|_| ok())),
            _ => None,
        }
    }

    /// Stops the timer thread and waits for its end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let timer_thread = self
            .timer_thread
            .lock()
            .expect("timer thread lock poisoned")
            .take();
        if let Some(timer_thread) = timer_thread {
            let _ = timer_thread.join();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Error that prevents a gateway from starting.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// A state chart is incomplete.
    #[display("{_0}")]
    Chart(ChartError),
    /// A thread could not be started.
    #[display("cannot start a thread: {_0}")]
    Thread(io::Error),
}

/// HTTP service that passes requests to a gateway.
#[derive(Clone)]
pub struct GatewayService(pub Arc<Gateway>);

impl Service for GatewayService {
    async fn call(&self, request: Request) -> io::Result<Response> {
        Ok(self.0.handle(request).await)
    }

    fn bad_request_body(&self) -> Vec<u8> {
        openai::malformed().into_bytes()
    }
}

/// Selects the route of a request.
struct Router<'a> {
    view: &'a View,
    caller: Option<&'a Caller>,
    class: Option<&'a str>,
}

impl Router<'_> {
    /// Checks path and method before the body is read.
    ///
    /// Returns the route of a service call; the route of an engine call depends on the model in its
    /// body.
    fn check(&self, path: &str, method: &Method) -> Result<Option<Arc<Route>>, ResultCode> {
        if !ENGINE_PATHS.contains(&path) {
            return self.path_route(path, method).map(Some);
        }
        if method != Method::POST {
            return Err(ResultCode::MethodNotAllowed);
        }
        let is_open =
            |r: &Route| matches!(r.scope, Scope::Open(_)) && matches!(r.target, Target::Model(_));
        if self.caller.is_none() && !self.view.routes().any(is_open) {
            return Err(ResultCode::InvalidKey);
        }
        Ok(None)
    }

    fn model_route(&self, model: &str) -> Result<Arc<Route>, ResultCode> {
        let workspace = self.caller.map(|c| &c.workspace);
        let mut error = match self.caller {
            Some(_) => ResultCode::UnknownModel,
            None => ResultCode::InvalidKey,
        };
        for route in self.view.model_routes(model, workspace) {
            if self.has_class(route) {
                return Ok(route.clone());
            }
            error = ResultCode::UnknownClass;
        }
        Err(error)
    }

    fn path_route(&self, path: &str, method: &Method) -> Result<Arc<Route>, ResultCode> {
        let workspace = self.caller.map(|c| &c.workspace);
        let mut error = ResultCode::UnknownRoute;
        for route in self.view.path_routes(path) {
            let Target::Path { methods, .. } = &route.target else {
                continue;
            };
            if !methods.is_empty() && !methods.iter().any(|m| m == method.as_str()) {
                error = ResultCode::MethodNotAllowed;
            } else if !view::scope_allows(&route.scope, workspace) {
                error = match self.caller {
                    Some(_) => ResultCode::Forbidden,
                    None => ResultCode::InvalidKey,
                };
            } else if !self.has_class(route) {
                error = ResultCode::UnknownClass;
            } else {
                return Ok(route.clone());
            }
        }
        Err(error)
    }

    fn has_class(&self, route: &Route) -> bool {
        self.class.is_none_or(|class| route.class.as_str() == class)
    }
}

fn class_header(headers: &HeaderMap) -> Result<Option<String>, ResultCode> {
    let Some(value) = headers.get(CLASS_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ResultCode::UnknownClass)?;
    Ok(Some(text.to_owned()))
}

fn models(
    view: &View,
    path: &str,
    method: &Method,
    caller: Option<&Caller>,
) -> Result<Response, ResultCode> {
    if method != Method::GET {
        return Err(ResultCode::MethodNotAllowed);
    }
    let ids = view.models(caller.map(|c| &c.workspace));
    if caller.is_none() && ids.is_empty() {
        return Err(ResultCode::InvalidKey);
    }
    let Some(name) = path.strip_prefix("/v1/models/") else {
        return Ok(answer::plain(200, answer::JSON, openai::models(&ids)));
    };
    let id = ids.iter().find(|id| id.as_str() == name);
    let id = id.ok_or(ResultCode::UnknownModel)?;
    let body = openai::model(id).to_string();
    Ok(answer::plain(200, answer::JSON, body))
}
