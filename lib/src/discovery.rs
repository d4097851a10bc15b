//! Keeps the list of endpoints of this instance up to date, from the shared list or the platform.
//!
//! The platform limits the rate of calls of all instances together. If all instances of a large fleet read
//! a long list, none would finish. An instance without a shared list therefore waits longer the more
//! instances there are, reads no more pages than its share of the rate allows, and uses an incomplete list
//! only if it has none.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::cold::watch::ColdWatch;
use crate::control::Control;
use crate::control_core::MAX_DIRECT_POLLERS;
use crate::dialect::Dialect;
use crate::dialect::ListedEndpoint;
use crate::evacuation;
use crate::fleet::Fleet;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::shared_list::ListRevision;
use crate::supervision;

/// Minimum interval between two reads of the platform's list. A leaving endpoint is then noticed well
/// before the platform's deadline of some seconds.
pub(crate) const MIN_READ_INTERVAL: Duration = Duration::from_millis(900);

/// Interval at which the shared list is checked; the same as that of the polls that update it.
const SHARED_LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after a failed read; it doubles with each consecutive failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay after failed reads.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Time to wait for the shared list after the start, enough if there is already a leader.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

/// Time that the instances of a large fleet wait for the shared list: a new election, and some seconds for
/// the new leader to read a list of thousands of endpoints.
const LARGE_FLEET_WAIT: Duration = Duration::from_secs(10);

/// Number of instances that is assumed until it is known.
const DEFAULT_INSTANCE_COUNT: f64 = 30.0;

/// Period of the page budget: in one read, an instance may use its share of the calls of this time.
const PAGE_BUDGET_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of requests for a page while the platform rejects them because of its rate limit.
const MAX_PAGE_ATTEMPTS: u32 = 100;

/// Share of the platform's rate limit that reads of the list may use.
const RATE_SHARE: f64 = 0.6;

/// Delay before a rejected page request is repeated. At the platform's usual rate limit, it accepts two
/// calls in this time.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// HTTP status of a call that exceeds the platform's rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// Maximum number of pages to read, in case the list has no end.
const MAX_PAGES: usize = 1_000;

/// Maximum number of endpoints to read, which bounds the memory that a list takes.
const MAX_ENDPOINTS: usize = 100_000;

/// Configuration of [`Discovery`].
pub struct Config {
    /// Address of the platform interface.
    pub platform: SocketAddr,
    /// Calls per second that the platform accepts from all instances together.
    pub rate: f64,
    /// The platform's wire format.
    pub dialect: Arc<dyn Dialect>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Provides the shared list and the number of instances that share the rate.
    pub control: ClusterControl,
    /// Receives the list.
    pub fleet: Arc<Mutex<Fleet>>,
    /// Receives the list before the fleet does.
    pub cold: Arc<ColdWatch>,
    /// Notifies of changes of the list.
    pub changed: watch::Sender<()>,
}

/// The thread that keeps the list up to date.
#[derive(Debug)]
pub struct Discovery {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Discovery {
    /// Starts the thread.
    pub fn start(config: Config) -> std::io::Result<Self> {
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = stopped.clone();
        let thread = thread::Builder::new()
            .name("discovery".to_owned())
            .spawn(move || run(&config, &flag))?;
        Ok(Self { stopped, thread })
    }

    /// Stops the thread and waits for a call in flight to end.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.thread().unpark();
        if self.thread.join().is_err() {
            tracing::error!("the thread that reads the endpoint list panicked");
        }
    }
}

/// State of the discovery thread.
struct Reader {
    platform: PlatformClient,
    /// Number of consecutive failed reads.
    failures: u32,
    /// Revision of the shared list that the fleet uses.
    held: ListRevision,
    /// Since when the shared list has been missing, and the random fraction of the read interval to wait
    /// before the first read, which spreads the reads of the instances.
    missing_since: Option<(Instant, f64)>,
    /// Whether any list has been installed.
    has_list: bool,
    skip_log: SkipLog,
}

fn run(config: &Config, stopped: &AtomicBool) {
    let mut reader = Reader {
        platform: PlatformClient::new(config.platform, config.clock.clone()),
        failures: 0,
        held: ListRevision::default(),
        missing_since: None,
        has_list: false,
        skip_log: SkipLog::default(),
    };
    while !stopped.load(Ordering::Relaxed) {
        let step = supervision::contain(|| Ok::<_, String>(reader.step(config)));
        let delay = step.unwrap_or_else(|error| {
            tracing::error!(error, "failed to follow the endpoint list");
            MAX_RETRY_DELAY
        });
        thread::park_timeout(delay.mul_f64(rand::rng().random_range(0.9..1.1)));
    }
}

impl Reader {
    /// Installs the shared list, or reads the list of the platform if there is none. Returns the delay until
    /// the next step.
    fn step(&mut self, config: &Config) -> Duration {
        let now = config.clock.now();
        let Some((read_at, revision, list)) = config.control.endpoint_list().fresh(now) else {
            let interval_fraction = rand::rng().random_range(0.0..1.0);
            let (since, interval_fraction) =
                *self.missing_since.get_or_insert((now, interval_fraction));
            let grace = match (self.has_list, config.control.instance_count()) {
                // Reads of other instances would use up the rate limit that the leader needs to read for all.
                (_, MAX_DIRECT_POLLERS..) => LARGE_FLEET_WAIT,
                (false, _) => STARTUP_WAIT,
                (true, _) => Duration::ZERO,
            };
            let wait = grace + read_interval(config, 1).mul_f64(interval_fraction);
            if now.saturating_duration_since(since) < wait {
                return SHARED_LIST_INTERVAL;
            }
            // The platform's list replaces the shared one, so the next shared list is installed even if its
            // revision is the one that was used before.
            self.held = ListRevision::default();
            return self.read_platform_list(config);
        };
        self.missing_since = None;
        self.has_list = true;
        config.cold.update(now, read_at, revision, &list);
        if revision != self.held {
            self.held = revision;
            install(config, read_at, list);
        }
        let mut fleet = supervision::lock(&config.fleet);
        fleet.confirm_list(read_at);
        // An instance with few requests would otherwise miss a short evacuation.
        if let Some(view) = config.control.latest_view() {
            let changes = fleet.apply_evacuations(now, view.evacuated_zones());
            evacuation::log_changes(view.version(), &changes);
            config.cold.refill(now, &changes);
        }
        // The reported load decays over time, even without requests.
        config.control.set_work(fleet.report_load(now));
        SHARED_LIST_INTERVAL
    }

    /// Reads the list of the platform. Returns the delay until the next read.
    fn read_platform_list(&mut self, config: &Config) -> Duration {
        let calls = config.rate * RATE_SHARE * PAGE_BUDGET_PERIOD.as_secs_f64();
        let max_pages = ((calls / instance_count(config)) as usize).clamp(1, MAX_PAGES);
        match read_pages(
            config.dialect.as_ref(),
            &self.platform,
            max_pages,
            1,
            |_| {},
        ) {
            Ok(reading) => {
                self.skip_log.record(reading.skipped);
                if std::mem::take(&mut self.failures) > 0 {
                    tracing::info!("reading the endpoint list succeeds again");
                }
                if reading.is_complete || !self.has_list {
                    self.has_list = true;
                    let now = config.clock.now();
                    let revision = ListRevision::default();
                    config.cold.update(now, now, revision, &reading.list);
                    install(config, now, reading.list);
                }
                read_interval(config, reading.pages).max(MIN_READ_INTERVAL)
            }
            Err(error) => {
                if self.failures == 0 {
                    tracing::warn!(%error, "failed to read the endpoint list");
                }
                self.failures = self.failures.saturating_add(1);
                (RETRY_DELAY * (1 << self.failures.min(5))).min(MAX_RETRY_DELAY)
            }
        }
    }
}

/// Returns the number of instances that share the rate limit.
fn instance_count(config: &Config) -> f64 {
    match config.control.instance_count() {
        0 => DEFAULT_INSTANCE_COUNT,
        entries => f64::from(entries),
    }
}

/// Returns the interval between reads that keeps all instances together below the rate limit.
fn read_interval(config: &Config, pages: usize) -> Duration {
    let interval = instance_count(config) * pages as f64 / (config.rate * RATE_SHARE).max(0.1);
    Duration::from_secs_f64(interval)
}

/// Hands a list that was read at `now` to the fleet, and logs and announces the changes.
fn install(config: &Config, now: Instant, list: Vec<ListedEndpoint>) {
    let mut fleet = supervision::lock(&config.fleet);
    let changes = fleet.update_list(now, list);
    config.control.set_work(fleet.report_load(now));
    drop(fleet);
    if !changes.is_empty() {
        config.changed.send_replace(());
    }
    for change in changes {
        tracing::info!(
            endpoint = %change.endpoint,
            service = %change.service,
            state = change.state,
            "endpoint list changed"
        );
    }
}

/// Result of reading the list.
#[derive(Debug)]
pub struct ListReading {
    /// The endpoints of all pages that were read.
    pub list: Vec<ListedEndpoint>,
    /// Number of pages that were read.
    pub pages: usize,
    /// Number of entries that name no endpoint, or one that an earlier entry names.
    pub skipped: usize,
    /// Whether all pages were read.
    pub is_complete: bool,
}

/// Logs the number of skipped entries, once for each change, since every read skips the same ones.
#[derive(Debug, Default)]
pub struct SkipLog {
    logged: AtomicUsize,
}

impl SkipLog {
    /// Logs the number of entries that a read skipped, unless it is the same as after the last read.
    pub fn record(&self, skipped: usize) {
        let logged = self.logged.swap(skipped, Ordering::Relaxed);
        match skipped {
            _ if skipped == logged => {}
            0 => tracing::info!("all entries of the endpoint list name an endpoint again"),
            _ => tracing::warn!(
                skipped,
                "skipped entries of the endpoint list that name no endpoint or one named before"
            ),
        }
    }
}

/// Reads all pages and calls `on_page` with the endpoints of each as it arrives.
pub fn read_list(
    dialect: &dyn Dialect,
    platform: &PlatformClient,
    on_page: impl FnMut(&[ListedEndpoint]),
) -> Result<ListReading, Box<dyn std::error::Error>> {
    let reading = read_pages(dialect, platform, MAX_PAGES, MAX_PAGE_ATTEMPTS, on_page)?;
    match reading.is_complete {
        true => Ok(reading),
        false => Err("the list has no end".into()),
    }
}

/// Reads up to `max_pages` pages. A page request that exceeds the rate limit is sent up to `max_attempts`
/// times, so that reading a long list does not start over.
fn read_pages(
    dialect: &dyn Dialect,
    platform: &PlatformClient,
    max_pages: usize,
    max_attempts: u32,
    mut on_page: impl FnMut(&[ListedEndpoint]),
) -> Result<ListReading, Box<dyn std::error::Error>> {
    let mut reading = ListReading {
        list: Vec::new(),
        pages: 0,
        skipped: 0,
        is_complete: false,
    };
    let mut ids = HashSet::new();
    let mut tokens = HashSet::new();
    let mut next: Option<String> = None;
    let mut attempts_left = max_attempts;
    while reading.pages < max_pages && reading.list.len() < MAX_ENDPOINTS {
        let call = dialect.list_call(next.as_deref());
        let body = match platform.read(&call) {
            Err(PlatformError::Refused { status, .. })
                if status == TOO_MANY_REQUESTS && attempts_left > 1 =>
            {
                attempts_left -= 1;
                thread::sleep(PAGE_RETRY_DELAY);
                continue;
            }
            body => body?,
        };
        attempts_left = max_attempts;
        let mut page = dialect.list_page(&body)?;
        reading.pages += 1;
        reading.skipped += page.skipped;
        // With two entries for one endpoint, the shared list would change with every read.
        page.endpoints.retain(|listed| {
            let is_new = ids.insert(listed.id.clone());
            reading.skipped += usize::from(!is_new);
            is_new
        });
        on_page(&page.endpoints);
        reading.list.extend(page.endpoints);
        next = page.next;
        let Some(token) = &next else {
            reading.is_complete = true;
            break;
        };
        // Reading the same pages again would only use up the rate limit.
        if !tokens.insert(token.clone()) {
            break;
        }
    }
    Ok(reading)
}
