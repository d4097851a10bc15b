//! Keeps the list of endpoints of this instance: the shared one, or else the platform's.
//!
//! In a large fleet no instance could read a long list at the platform's rate of calls if all did. An
//! instance without a shared list therefore waits the longer the more instances there are, reads no more
//! pages than its part of the rate allows, and uses a part of the list only if it knows none.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::control::Control;
use crate::control_core::DIRECT_POLLERS;
use crate::dialect::Dialect;
use crate::dialect::ListedEndpoint;
use crate::fleet::Fleet;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::shared_list::ListRevision;

/// Shortest interval between two readings; a leaving endpoint is then known well before the
/// platform's bound of some seconds.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(900);

/// Interval at which the shared list is looked at, that of the polls that bring it.
const SHARED_LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Interval after a failed reading; it doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest interval after failed readings.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Time after the start in which the shared list is expected, where a leader was there before.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

/// Time for which a large fleet waits for the leader's reading: a new election, and some seconds for a list
/// of thousands.
const LARGE_FLEET_WAIT: Duration = Duration::from_secs(10);

/// Instances that are assumed until their number is known.
const DEFAULT_INSTANCE_COUNT: f64 = 30.0;

/// Time in which each instance may read the pages of its part of the rate.
const PAGE_BUDGET_PERIOD: Duration = Duration::from_secs(10);

/// Times that the leader asks for a page which the platform has no calls left for.
const MAX_PAGE_ATTEMPTS: u32 = 100;

/// Part of the platform's rate of calls that readings of the list may take.
const RATE_SHARE: f64 = 0.6;

/// Pause before a page is asked for again; at the platform's usual rate two calls are accepted meanwhile.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Status by which the platform says that it accepts no more calls at present.
const TOO_MANY_REQUESTS: u16 = 429;

/// Pages that are read at most; it bounds a list whose pages lead in a circle.
const MAX_PAGES: usize = 1_000;

/// What the reader needs.
pub struct Config {
    /// Address of the platform interface.
    pub platform: SocketAddr,
    /// Calls a second that the platform accepts from all instances together.
    pub rate: f64,
    /// The platform's wire.
    pub dialect: Arc<dyn Dialect>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Tells how many instances share the rate.
    pub control: ClusterControl,
    /// Takes the list.
    pub fleet: Arc<Mutex<Fleet>>,
    /// Tells of changes of the list.
    pub changed: watch::Sender<()>,
}

/// A running reader.
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

    /// Ends the thread after the call in flight.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.thread().unpark();
        if self.thread.join().is_err() {
            tracing::error!("the reader of the endpoint list panicked");
        }
    }
}

/// State of the readings of this instance.
struct Reader {
    platform: Platform,
    /// Failed readings in a row.
    failures: u32,
    held: ListRevision,
    /// When the shared list was missing first, and the part of the usual interval for which that is borne.
    missing_since: Option<(Instant, f64)>,
    /// Whether any list is known.
    has_list: bool,
}

fn run(config: &Config, stopped: &AtomicBool) {
    let mut reader = Reader {
        platform: Platform::new(config.platform, config.clock.clone()),
        failures: 0,
        held: ListRevision::default(),
        missing_since: None,
        has_list: false,
    };
    while !stopped.load(Ordering::Relaxed) {
        let pause = reader.step(config);
        thread::park_timeout(pause.mul_f64(rand::rng().random_range(0.9..1.1)));
    }
}

impl Reader {
    /// Takes the shared list, or else reads the platform's; returns the pause until the next look.
    fn step(&mut self, config: &Config) -> Duration {
        let now = config.clock.now();
        let Some((read, revision, list)) = config.control.list().fresh(now) else {
            let interval_fraction = rand::rng().random_range(0.0..1.0);
            let (since, interval_fraction) =
                *self.missing_since.get_or_insert((now, interval_fraction));
            let grace = match (self.has_list, config.control.entries()) {
                // Others would take the calls from the leader, which reads for all.
                (_, DIRECT_POLLERS..) => LARGE_FLEET_WAIT,
                (false, _) => STARTUP_WAIT,
                (true, _) => Duration::ZERO,
            };
            let wait = grace + read_interval(config, 1).mul_f64(interval_fraction);
            if now.saturating_duration_since(since) < wait {
                return SHARED_LIST_INTERVAL;
            }
            // What the others read after this counts as a change.
            self.held = ListRevision::default();
            return self.read_platform_list(config);
        };
        self.missing_since = None;
        self.has_list = true;
        if revision != self.held {
            self.held = revision;
            install(config, read, list);
        }
        let mut fleet = config.fleet.lock().expect("fleet lock poisoned");
        fleet.confirm_list(read);
        // Work fades although nobody asks.
        config.control.set_work(fleet.report_load(now));
        SHARED_LIST_INTERVAL
    }

    /// Reads the platform's list, because no instance shares one.
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
                if std::mem::take(&mut self.failures) > 0 {
                    tracing::info!("the endpoint list can be read again");
                }
                if reading.is_complete || !self.has_list {
                    self.has_list = true;
                    install(config, config.clock.now(), reading.list);
                }
                read_interval(config, reading.pages).max(MIN_READ_INTERVAL)
            }
            Err(error) => {
                if self.failures == 0 {
                    tracing::warn!(%error, "cannot read the endpoint list");
                }
                self.failures = self.failures.saturating_add(1);
                (RETRY_DELAY * (1 << self.failures.min(5))).min(MAX_RETRY_DELAY)
            }
        }
    }
}

/// Returns the number of instances that share the rate of calls.
fn instance_count(config: &Config) -> f64 {
    match config.control.entries() {
        0 => DEFAULT_INSTANCE_COUNT,
        entries => f64::from(entries),
    }
}

/// Returns the interval that keeps all instances together below the platform's rate.
fn read_interval(config: &Config, pages: usize) -> Duration {
    let interval = instance_count(config) * pages as f64 / (config.rate * RATE_SHARE).max(0.1);
    Duration::from_secs_f64(interval)
}

fn install(config: &Config, now: Instant, list: Vec<ListedEndpoint>) {
    let mut fleet = config.fleet.lock().expect("fleet lock poisoned");
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

/// What a reading of the list brought.
#[derive(Debug)]
pub struct ListReading {
    /// The endpoints.
    pub list: Vec<ListedEndpoint>,
    /// Pages that were read.
    pub pages: usize,
    /// Whether they are all pages.
    pub is_complete: bool,
}

/// Reads all pages, each of which `seen` gets as it comes.
pub fn read_list(
    dialect: &dyn Dialect,
    platform: &Platform,
    on_page: impl FnMut(&[ListedEndpoint]),
) -> Result<ListReading, Box<dyn std::error::Error>> {
    let reading = read_pages(dialect, platform, MAX_PAGES, MAX_PAGE_ATTEMPTS, on_page)?;
    match reading.is_complete {
        true => Ok(reading),
        false => Err("the list has no end".into()),
    }
}

/// Reads up to `most` pages; a page that the platform has no calls left for is asked for up to `tries`
/// times, so that a long list is not begun anew.
fn read_pages(
    dialect: &dyn Dialect,
    platform: &Platform,
    max_pages: usize,
    max_attempts: u32,
    mut on_page: impl FnMut(&[ListedEndpoint]),
) -> Result<ListReading, Box<dyn std::error::Error>> {
    let mut reading = ListReading {
        list: Vec::new(),
        pages: 0,
        is_complete: false,
    };
    let mut next: Option<String> = None;
    let mut attempts_left = max_attempts;
    while reading.pages < max_pages {
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
        let page = dialect.list_page(&body)?;
        reading.pages += 1;
        if page.skipped > 0 {
            tracing::debug!(skipped = page.skipped, "unreadable entries of the list");
        }
        on_page(&page.endpoints);
        reading.list.extend(page.endpoints);
        next = page.next;
        if next.is_none() {
            reading.is_complete = true;
            break;
        }
    }
    Ok(reading)
}
