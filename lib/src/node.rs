//! A process that runs on a platform for which an adapter translates, and its start and stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::Context as _;
use eyre::OptionExt as _;

use crate::answer;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::cluster_control::ClusterControl;
use crate::cold::rate::ColdTerms;
use crate::cold::watch::ColdWatch;
use crate::command::UsageTerms;
use crate::control_core::MAX_DIRECT_POLLERS;
use crate::control_core::PeerAddress;
use crate::control_thread;
use crate::control_thread::ControlThread;
use crate::dialect::Dialect;
use crate::discovery;
use crate::discovery::Discovery;
use crate::document_service::DocumentService;
use crate::file_storage::FileStorage;
use crate::fingerprint::Fingerprinter;
use crate::fleet::Fleet;
use crate::forward;
use crate::forward::ForwardService;
use crate::forward::Forwarder;
use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::open_requests::OpenRequest;
use crate::peer::Secrets;
use crate::retry::SharedBudgetConfig;
use crate::server::Request;
use crate::server::Response;
use crate::server::Server;
use crate::server::Service;
use crate::site_duties;
use crate::site_duties::SiteDuties;
use crate::stop_window::StopWindow;
use crate::storage::LogStore;
use crate::traffic_metrics::TrafficMetrics;

/// Number of worker threads of each server; the instances have one core.
const WORKERS: usize = 1;

/// Time for which a stopping instance still accepts requests until load balancers have noticed that it
/// is not ready: two probes one second apart, and the round trip.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);

/// Part of the grace time that is reserved for closing connections.
const CLOSE_RESERVE: Duration = Duration::from_millis(400);

/// Maximum time for releasing leases at a stop, and again for transferring leadership.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Validated settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers, if the instance serves them.
    pub front: Option<SocketAddr>,
    /// Address for readiness probes, if the instance serves callers.
    pub ready: Option<SocketAddr>,
    /// Address for operators, if the instance serves them.
    pub control: Option<SocketAddr>,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Peer addresses through which the instance finds the group.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds form a new group.
    pub bootstrap: bool,
    /// Data directory; an instance with one is a voter.
    pub data: Option<PathBuf>,
    /// Address at which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Shared secrets of the instances, one per line.
    pub secrets: String,
    /// Address of the platform's API.
    pub platform: Option<SocketAddr>,
    /// Calls per second for the endpoint list that the platform accepts from all instances together.
    pub list_rate: f64,
    /// Whether this instance may report usage to the platform.
    pub reports: bool,
    /// Whether this instance may order endpoints from the platform.
    pub orders: bool,
    /// Length of usage windows and the time after which they are frozen.
    pub terms: UsageTerms,
    /// Budget of retries that all instances together may send to each service.
    pub retry_budget: SharedBudgetConfig,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Maximum time for which a configuration is served without contact to the group.
    pub stale_limit: Duration,
    /// Whether the more urgent group of requests gets the engines that it needs first.
    pub urgent_first: bool,
    /// Bounds for the requests to cold endpoints; without them, endpoints are not treated as cold.
    pub cold: Option<ColdTerms>,
}

/// A running process.
pub struct Node {
    settings: NodeSettings,
    control: ControlThread,
    duties: Option<SiteDuties>,
    discovery: Option<Discovery>,
    forwarder: Option<Arc<Forwarder>>,
    front: Option<Server>,
    others: Vec<Server>,
}

impl Node {
    /// Starts all components that the settings enable.
    pub fn start(settings: NodeSettings, dialect: Arc<dyn Dialect>) -> eyre::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let control = start_control(&settings, clock.clone())?;
        if settings.cold.is_some() {
            control.control().endpoint_list().tell_cold();
        }
        let metrics = TrafficMetrics::new()?;
        let mut node = Self {
            control,
            duties: None,
            discovery: None,
            forwarder: None,
            front: None,
            others: Vec::new(),
            settings,
        };
        if let Some(address) = node.settings.control {
            let document_desk = DocumentService {
                control: node.control.control(),
                dialect: dialect.clone(),
            };
            let server = Server::start(address, WORKERS, Arc::new(document_desk));
            node.others.push(server.wrap_err("cannot serve operators")?);
        }
        if let Some(address) = node.settings.front {
            node.start_front(address, &dialect, &clock, metrics.clone())?;
        }
        if let Some(address) = node.settings.metrics {
            let service = MetricsService {
                metrics,
                control: node.control.control(),
                clock: clock.clone(),
                cold: node.forwarder.as_ref().map(|forwarder| forwarder.cold()),
            };
            let server = Server::start(address, WORKERS, Arc::new(service));
            node.others.push(server.wrap_err("cannot serve metrics")?);
        }
        node.start_duties(&dialect, &clock)?;
        tracing::info!(
            instance = %node.settings.instance,
            zone = %node.settings.zone,
            front = ?node.settings.front,
            control = ?node.settings.control,
            bootstrap = node.settings.bootstrap,
            "started"
        );
        Ok(node)
    }

    fn start_front(
        &mut self,
        address: SocketAddr,
        dialect: &Arc<dyn Dialect>,
        clock: &Arc<dyn Clock>,
        metrics: TrafficMetrics,
    ) -> eyre::Result<()> {
        let fleet = Arc::new(Mutex::new(Fleet::new(self.settings.zone.clone())));
        let cold = Arc::new(ColdWatch::new(self.control.control(), self.settings.cold));
        let (changed, changes) = watch::channel(());
        let forwarder = Forwarder::new(forward::Settings {
            control: self.control.control(),
            dialect: dialect.clone(),
            clock: clock.clone(),
            fleet: fleet.clone(),
            cold: cold.clone(),
            changes,
            stale_limit: self.settings.stale_limit,
            fingerprinter: fingerprinter(&self.settings.secrets)?,
            retry_config: self.settings.retry_budget,
            metrics,
            urgent_first: self.settings.urgent_first,
        });
        if let Some(platform) = self.settings.platform {
            self.discovery = Some(Discovery::start(discovery::Config {
                platform,
                rate: self.settings.list_rate,
                dialect: dialect.clone(),
                clock: clock.clone(),
                control: self.control.control(),
                fleet,
                cold,
                changed,
            })?);
        }
        let front = Arc::new(ForwardService(forwarder.clone()));
        self.front = Some(Server::start(address, WORKERS, front).wrap_err("cannot serve callers")?);
        if let Some(address) = self.settings.ready {
            let probe = ReadinessService {
                forwarder: forwarder.clone(),
                dialect: dialect.clone(),
            };
            let server = Server::start(address, WORKERS, Arc::new(probe));
            self.others.push(server.wrap_err("cannot serve probes")?);
        }
        self.forwarder = Some(forwarder);
        Ok(())
    }

    fn start_duties(
        &mut self,
        dialect: &Arc<dyn Dialect>,
        clock: &Arc<dyn Clock>,
    ) -> eyre::Result<()> {
        let settings = &self.settings;
        let has_duties = settings.data.is_some() && (settings.reports || settings.orders);
        let Some(platform) = settings.platform.filter(|_| has_duties) else {
            return Ok(());
        };
        self.duties = Some(SiteDuties::start(site_duties::Config {
            platform,
            dialect: dialect.clone(),
            control: self.control.control(),
            clock: clock.clone(),
            terms: settings.terms,
            reports: settings.reports,
            orders: settings.orders,
        })?);
        Ok(())
    }

    /// Stops gracefully: first reports not ready, then refuses new requests, then waits for open ones.
    ///
    /// `signalled` is the time of the request to stop, from which the grace time counts.
    pub fn stop(mut self, signalled: Instant) {
        let window = StopWindow {
            deregistered: signalled + DEREGISTRATION_DELAY.min(self.settings.grace / 2),
            end: signalled + self.settings.grace.saturating_sub(CLOSE_RESERVE),
        };
        if let Some(forwarder) = &self.forwarder {
            forwarder.leave(window);
            tracing::info!(open = forwarder.open_requests().count(), "not ready");
            thread::sleep(
                window
                    .deregistered
                    .saturating_duration_since(Instant::now()),
            );
            tracing::info!(
                open = forwarder.open_requests().count(),
                "no longer accepting requests"
            );
        }
        // Connections with a request stay open, so a request may still arrive late (`stop_window`).
        if let Some(front) = self.front.take() {
            let clean = front.drain(window.end.saturating_duration_since(Instant::now()));
            if let Some(forwarder) = self.forwarder.as_ref().filter(|_| !clean) {
                log_cut_requests(&forwarder.open_requests().list(), signalled);
            }
            drop(front);
            tracing::info!(clean, "closed callers' connections");
        }
        if let Some(duties) = self.duties.take() {
            duties.stop(HANDOVER_TIMEOUT);
        }
        if let Some(discovery) = self.discovery.take() {
            discovery.stop();
        }
        drop(self.others);
        self.control.stop(HANDOVER_TIMEOUT);
        tracing::info!("stopped");
    }
}

/// Logs the requests that a stop ends before their response is complete.
fn log_cut_requests(open: &[OpenRequest], signalled: Instant) {
    for request in open {
        tracing::warn!(
            request = request.id,
            open_ms = request.arrived.elapsed().as_millis() as u64,
            signal_ms = signalled.elapsed().as_millis() as u64,
            "request cut by the end of the grace time"
        );
    }
}

/// Returns the fingerprinter of requests, keyed with the first peer secret, which all instances share.
fn fingerprinter(secrets: &str) -> eyre::Result<Fingerprinter> {
    let secrets = Secrets::parse(secrets).wrap_err("peer secrets")?.all();
    let first = secrets.first().ok_or_eyre("no peer secret")?;
    Ok(Fingerprinter::new(first))
}

fn start_control(settings: &NodeSettings, clock: Arc<dyn Clock>) -> eyre::Result<ControlThread> {
    let store = match &settings.data {
        Some(directory) => {
            let store: Box<dyn LogStore + Send> = Box::new(FileStorage::open(directory)?);
            Some(store)
        }
        None => None,
    };
    let peers = settings.seeds.iter().map(|address| PeerAddress {
        // Only the addresses of seeds are known; this name matches no instance.
        name: InstanceId::from(format!("seed {address}")),
        address: *address,
    });
    ControlThread::start(control_thread::Config {
        instance: settings.instance.clone(),
        listener: control_thread::listen(settings.peer).wrap_err("cannot listen for peers")?,
        address: settings.peer,
        peers: peers.collect(),
        discover: true,
        max_direct_pollers: MAX_DIRECT_POLLERS,
        terms: settings.terms,
        store,
        bootstrap: settings.bootstrap,
        rules: Vec::new(),
        secrets: Secrets::parse(&settings.secrets).wrap_err("peer secrets")?,
        secret_file: None,
        clock,
    })
}

/// Serves readiness probes.
struct ReadinessService {
    forwarder: Arc<Forwarder>,
    dialect: Arc<dyn Dialect>,
}

impl Service for ReadinessService {
    async fn call(&self, request: Request) -> std::io::Result<Response> {
        let status = match self.dialect.is_probe(request.uri().path()) {
            false => 404,
            true if self.forwarder.is_ready() => 200,
            true => 503,
        };
        Ok(answer::plain(status, answer::JSON, "{}"))
    }
}

/// Serves metrics in the Prometheus text format.
struct MetricsService {
    metrics: TrafficMetrics,
    control: ClusterControl,
    clock: Arc<dyn Clock>,
    cold: Option<Arc<ColdWatch>>,
}

impl Service for MetricsService {
    async fn call(&self, request: Request) -> std::io::Result<Response> {
        let age = self.control.view_age(self.clock.now());
        self.metrics.view(age, self.control.lease_ends());
        let view = self.control.latest_view();
        let zones = view.map_or(0, |view| view.evacuated_zones().len());
        self.metrics.evacuated(zones);
        let cold = self.cold.as_ref().map_or(0, |cold| cold.cold_count());
        self.metrics.cold(cold);
        Ok(match request.uri().path() == METRICS_PATH {
            true => answer::plain(200, "text/plain; version=0.0.4", self.metrics.text()),
            false => answer::plain(404, answer::JSON, "{}"),
        })
    }
}
