//! One process on a platform that an adapter translates for: its parts, their start and their stop.

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
use crate::command::UsageTerms;
use crate::control_core::DIRECT_POLLERS;
use crate::control_core::PeerAddress;
use crate::control_thread;
use crate::control_thread::ControlThread;
use crate::dialect::Dialect;
use crate::discovery;
use crate::discovery::Discovery;
use crate::document_desk::DocumentDesk;
use crate::file_storage::FileStorage;
use crate::fingerprint::Fingerprinter;
use crate::fleet::Fleet;
use crate::forward;
use crate::forward::ForwardService;
use crate::forward::Forwarder;
use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::peer::Secrets;
use crate::retry::SharedBudgetConfig;
use crate::server::Request;
use crate::server::Response;
use crate::server::Server;
use crate::server::Service;
use crate::site_duties;
use crate::site_duties::SiteDuties;
use crate::storage::LogStore;
use crate::traffic_metrics::TrafficMetrics;

/// Threads that serve callers; the instances have one core.
const WORKERS: usize = 1;

/// Time for which a stopping instance still takes requests, while balancers notice that it is not
/// ready: two probes a second apart and the way back.
const LEAVING: Duration = Duration::from_millis(2_600);

/// Time kept at the end of a stop for closing connections.
const CLOSING: Duration = Duration::from_millis(400);

/// Time for handing leadership over and for giving leases up at a stop.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Checked settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers, if it serves them.
    pub front: Option<SocketAddr>,
    /// Address for readiness probes.
    pub ready: Option<SocketAddr>,
    /// Address for operators, if it serves them.
    pub control: Option<SocketAddr>,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Peer addresses through which the group is found.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds form a new group.
    pub bootstrap: bool,
    /// Data folder; makes the instance a voter.
    pub data: Option<PathBuf>,
    /// Address of the metrics.
    pub metrics: Option<SocketAddr>,
    /// Secrets between instances, one per line.
    pub secrets: String,
    /// Address of the platform interface.
    pub platform: Option<SocketAddr>,
    /// Calls a second that the platform accepts from all instances for its list.
    pub list_rate: f64,
    /// Whether usage is reported to the platform.
    pub reports: bool,
    /// Whether endpoints are ordered from the platform.
    pub orders: bool,
    /// Length of usage windows.
    pub terms: UsageTerms,
    /// Repeats that each service bears from all instances.
    pub retry_budget: SharedBudgetConfig,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Time for which a configuration is served without contact to the group.
    pub stale_limit: Duration,
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
    /// Starts all parts that the settings name.
    pub fn start(settings: NodeSettings, dialect: Arc<dyn Dialect>) -> eyre::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let control = start_control(&settings, clock.clone())?;
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
            let desk = DocumentDesk {
                control: node.control.control(),
                dialect: dialect.clone(),
            };
            let server = Server::start(address, WORKERS, Arc::new(desk));
            node.others.push(server.wrap_err("cannot serve operators")?);
        }
        if let Some(address) = node.settings.front {
            node.start_front(address, &dialect, &clock, metrics.clone())?;
        }
        if let Some(address) = node.settings.metrics {
            let server = Server::start(address, WORKERS, Arc::new(MetricsPage(metrics)));
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
        let (changed, changes) = watch::channel(());
        let forwarder = Forwarder::new(forward::Settings {
            control: self.control.control(),
            dialect: dialect.clone(),
            clock: clock.clone(),
            fleet: fleet.clone(),
            changes,
            stale_limit: self.settings.stale_limit,
            fingerprinter: fingerprinter(&self.settings.secrets)?,
            retry_terms: self.settings.retry_budget,
            metrics,
        });
        if let Some(platform) = self.settings.platform {
            self.discovery = Some(Discovery::start(discovery::Config {
                platform,
                rate: self.settings.list_rate,
                dialect: dialect.clone(),
                clock: clock.clone(),
                control: self.control.control(),
                fleet,
                changed,
            })?);
        }
        let front = Arc::new(ForwardService(forwarder.clone()));
        self.front = Some(Server::start(address, WORKERS, front).wrap_err("cannot serve callers")?);
        if let Some(address) = self.settings.ready {
            let probe = Probe {
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

    /// Stops gracefully: out of rotation first, then no new requests, then no open ones.
    pub fn stop(mut self) {
        let end = Instant::now() + self.settings.grace.saturating_sub(CLOSING);
        if let Some(forwarder) = &self.forwarder {
            forwarder.leave();
            thread::sleep(LEAVING.min(self.settings.grace / 2));
            tracing::info!(open = forwarder.open(), "takes no new requests");
        }
        // A request that came later could not be finished within the grace time.
        if let Some(front) = self.front.take() {
            let clean = front.close(end.saturating_duration_since(Instant::now()));
            tracing::info!(clean, "closed the connections of callers");
        }
        if let Some(duties) = self.duties.take() {
            duties.stop(HAND_OVER);
        }
        if let Some(discovery) = self.discovery.take() {
            discovery.stop();
        }
        drop(self.others);
        self.control.stop(HAND_OVER);
        tracing::info!("stopped");
    }
}

/// Returns the common recognition of requests, by the secret that all instances use first.
fn fingerprinter(secrets: &str) -> eyre::Result<Fingerprinter> {
    let secrets = Secrets::parse(secrets).wrap_err("peer secrets")?.all();
    let first = secrets.first().ok_or_eyre("no peer secret")?;
    Ok(Fingerprinter::new(first))
}

fn start_control(settings: &NodeSettings, clock: Arc<dyn Clock>) -> eyre::Result<ControlThread> {
    let store = match &settings.data {
        Some(folder) => {
            let store: Box<dyn LogStore + Send> = Box::new(FileStorage::open(folder)?);
            Some(store)
        }
        None => None,
    };
    let peers = settings.seeds.iter().map(|address| PeerAddress {
        // Seeds are known by address only; the name matches no instance.
        name: InstanceId::from(format!("seed {address}")),
        address: *address,
    });
    ControlThread::start(control_thread::Config {
        instance: settings.instance.clone(),
        listener: control_thread::listen(settings.peer).wrap_err("cannot listen for peers")?,
        address: settings.peer,
        peers: peers.collect(),
        discover: true,
        direct: DIRECT_POLLERS,
        terms: settings.terms,
        store,
        bootstrap: settings.bootstrap,
        rules: Vec::new(),
        secrets: Secrets::parse(&settings.secrets).wrap_err("peer secrets")?,
        secret_file: None,
        clock,
    })
}

/// Answers readiness probes.
struct Probe {
    forwarder: Arc<Forwarder>,
    dialect: Arc<dyn Dialect>,
}

impl Service for Probe {
    async fn call(&self, request: Request) -> std::io::Result<Response> {
        let status = match self.dialect.is_probe(request.uri().path()) {
            false => 404,
            true if self.forwarder.is_ready() => 200,
            true => 503,
        };
        Ok(answer::plain(status, answer::JSON, "{}"))
    }
}

/// Serves the metrics as text.
struct MetricsPage(TrafficMetrics);

impl Service for MetricsPage {
    async fn call(&self, request: Request) -> std::io::Result<Response> {
        Ok(match request.uri().path() == METRICS_PATH {
            true => answer::plain(200, "text/plain; version=0.0.4", self.0.text()),
            false => answer::plain(404, answer::JSON, "{}"),
        })
    }
}
