//! Daemon that runs on every instance.

mod adapter;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Context as _;
use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::cluster_control::ClusterControl;
use fulmarford_lib::command::UsageTerms;
use fulmarford_lib::control_core::MAX_DIRECT_POLLERS;
use fulmarford_lib::control_core::PeerAddress;
use fulmarford_lib::control_thread;
use fulmarford_lib::control_thread::ControlThread;
use fulmarford_lib::decision_log::DecisionLog;
use fulmarford_lib::duties;
use fulmarford_lib::duties::Duties;
use fulmarford_lib::file_storage::FileStorage;
use fulmarford_lib::gateway;
use fulmarford_lib::gateway::Gateway;
use fulmarford_lib::gateway::GatewayService;
use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::key::KeySecret;
use fulmarford_lib::load_poller::LoadPoller;
use fulmarford_lib::metrics::Metrics;
use fulmarford_lib::operator::HttpService;
use fulmarford_lib::operator::Operator;
use fulmarford_lib::operator::Tokens;
use fulmarford_lib::peer::Secrets;
use fulmarford_lib::rules;
use fulmarford_lib::scheduler;
use fulmarford_lib::scheduler::Scheduler;
use fulmarford_lib::server::Server;
use fulmarford_lib::settings::Flags;
use fulmarford_lib::settings::Settings;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::supervision;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::View;
use gumdrop::Options;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Peer address of a process without peers; no other instance connects to it.
const STANDALONE_PEER_ADDRESS: &str = "127.0.0.1:0";

/// Filter of the process log.
const LOG_FILTER: &str = "info";

/// Timeout for transferring leadership at shutdown.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout at shutdown for pending calls to the platform and for the release of leases.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum time for connections to close at shutdown, even if the drain used up its timeout.
const MIN_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

fn main() -> eyre::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    if let Some(name) = &flags.adapter {
        return adapter::run(name, &flags);
    }
    let settings = Settings::check(flags, |name| std::env::var(name).ok())?;
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(tracing_subscriber::EnvFilter::new(LOG_FILTER))
        .with_writer(io::stderr)
        .init();
    supervise();
    // Handlers are registered before startup, so that a signal during startup is not lost.
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("cannot register signals")?;
    let control = start_control(&settings)?;
    let log = start_log(&settings)?;
    let gateway = start_gateway(&settings, control.control(), log.clone())?;
    let poller = LoadPoller::start(&gateway).wrap_err("cannot poll endpoints")?;
    let duties = start_duties(&settings, &control, log, &poller)?;
    let service = HttpService {
        callers: GatewayService(gateway.clone()),
        operator: Operator::new(control.control(), read_tokens(&settings)?),
    };
    let server =
        Server::start(settings.listen, settings.workers, Arc::new(service)).wrap_err("--listen")?;
    tracing::info!(
        instance = %settings.instance,
        zone = %settings.zone,
        address = %server.address(),
        "serving"
    );
    let signal = signals.forever().next();
    tracing::info!(signal, "shutting down");
    let end = Instant::now() + settings.drain_timeout;
    gateway.drain().begin();
    let drained = gateway.drain().wait(settings.drain_timeout);
    let remaining = end.saturating_duration_since(Instant::now());
    let closed = server.close(remaining.max(MIN_CLOSE_TIMEOUT));
    gateway.drain().closed();
    gateway.stop();
    drop(poller);
    if let Some(duties) = duties {
        duties.stop(LEASE_RELEASE_TIMEOUT);
    }
    control.stop(LEADERSHIP_TRANSFER_TIMEOUT);
    eyre::ensure!(
        drained && closed,
        "open requests were aborted at the drain timeout"
    );
    tracing::info!("stopped");
    eyre::ensure!(!supervision::has_failed(), "a part of the process failed");
    Ok(())
}

/// Logs panics, and stops this process like a signal does if a vital part of it fails.
fn supervise() {
    supervision::log_panics();
    supervision::on_failure(|| {
        if let Err(error) = signal_hook::low_level::raise(SIGTERM) {
            tracing::error!(%error, "cannot stop the process");
        }
    });
}

fn read_file(file: &Path) -> eyre::Result<String> {
    fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}

fn read_tokens(settings: &Settings) -> eyre::Result<Option<Tokens>> {
    match &settings.operator_token_file {
        Some(file) => Ok(Some(Tokens::parse(&read_file(file)?)?)),
        None => Ok(None),
    }
}

fn start_log(settings: &Settings) -> eyre::Result<DecisionLog> {
    let log = match &settings.decision_log_file {
        Some(file) => {
            let options = fs::OpenOptions::new().create(true).append(true).open(file);
            DecisionLog::start(options.wrap_err("--log")?)
        }
        None => DecisionLog::start(io::stdout()),
    };
    log.wrap_err("cannot start the decision log")
}

/// Starts ordering of endpoints and usage reports on a voter with a platform.
fn start_duties(
    settings: &Settings,
    control: &ControlThread,
    log: DecisionLog,
    poller: &LoadPoller,
) -> eyre::Result<Option<Duties>> {
    let is_voter = settings.data_dir.is_some() || settings.peers.is_empty();
    let Some(platform) = settings.platform.filter(|_| is_voter) else {
        return Ok(None);
    };
    let duties = Duties::start(duties::Config {
        platform,
        control: control.control(),
        clock: Arc::new(SystemClock),
        log,
        reports: poller.reports(),
    });
    duties.map(Some).wrap_err("cannot start the duties")
}

fn start_gateway(
    settings: &Settings,
    control: ClusterControl,
    log: DecisionLog,
) -> eyre::Result<Arc<Gateway>> {
    let metrics = match settings.statsd {
        Some(address) => Metrics::statsd(address).wrap_err("--statsd")?,
        None => Metrics::default(),
    };
    let view = Arc::new(View::default());
    let scheduler = scheduler::Settings {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        zone_latencies: BTreeMap::new(),
        seed: rand::random(),
    };
    Gateway::start(gateway::Settings {
        control: Arc::new(control),
        view_version: view.version(),
        policy: Box::new(Scheduler::new(scheduler, view)),
        key_secret: KeySecret::parse(&read_file(&settings.key_secret_file)?)
            .wrap_err("--key-secret-file")?,
        clock: Arc::new(SystemClock),
        first_request_id: rand::random(),
        timeouts: Timeouts::default(),
        decision_log: log,
        metrics,
    })
    .wrap_err("cannot start the gateway")
}

fn start_control(settings: &Settings) -> eyre::Result<ControlThread> {
    let address: SocketAddr = match settings.peer_listen {
        Some(address) => address,
        None => STANDALONE_PEER_ADDRESS.parse()?,
    };
    let listener = control_thread::listen(address).wrap_err("--peer-listen")?;
    let address = listener.local_addr()?;
    let secrets = match &settings.peer_secret_file {
        Some(file) => Secrets::parse(&read_file(file)?).wrap_err("--peer-secret-file")?,
        // A single process accepts no peers, so nobody needs to know the secret.
        None => Secrets::parse(&format!("{:032x}", rand::random::<u128>()))?,
    };
    let rules = match &settings.rules_file {
        Some(file) => parse_rules(&read_file(file)?).wrap_err("--rules")?,
        None => Vec::new(),
    };
    let mut peers = settings.peers.clone();
    if peers.is_empty() {
        let name = settings.instance.clone();
        peers.push(PeerAddress { name, address });
    }
    ControlThread::start(control_thread::Config {
        instance: settings.instance.clone(),
        listener,
        address,
        peers,
        discover: false,
        max_direct_pollers: MAX_DIRECT_POLLERS,
        terms: UsageTerms::default(),
        store: open_store(settings)?,
        bootstrap: settings.bootstrap,
        rules,
        secrets,
        secret_file: settings.peer_secret_file.clone(),
        clock: Arc::new(SystemClock),
    })
}

fn open_store(settings: &Settings) -> eyre::Result<Option<Box<dyn LogStore + Send>>> {
    match &settings.data_dir {
        Some(folder) => Ok(Some(Box::new(FileStorage::open(folder)?))),
        None if settings.peers.is_empty() => Ok(Some(Box::new(SimpleStorage::default()))),
        None => Ok(None),
    }
}

/// Parses and validates the initial rules, and returns them as the edits of a change.
fn parse_rules(text: &str) -> eyre::Result<Vec<Edit>> {
    let rules = rules::parse_file(text).map_err(|errors| {
        let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
        eyre::eyre!("{}", lines.join("\n"))
    })?;
    let edits: Vec<_> = rules.into_iter().map(Edit::Set).collect();
    let view = View::default();
    let mut transaction = view.transaction();
    for edit in &edits {
        transaction.edit(edit)?;
    }
    transaction.commit()?;
    Ok(edits)
}
