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
use crate::control_core::MAX_DIRECT_POLLERS;
use crate::dialect::Dialect;
use crate::dialect::ListedEndpoint;
use crate::fleet::Fleet;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::shared_list::ListRevision;

/// Shortest interval between two readings; a leaving endpoint is then known well before the
/// platform's bound of some seconds.
const PERIOD: Duration = Duration::from_millis(900);

/// Interval at which the shared list is looked at, that of the polls that bring it.
const SHARED_PERIOD: Duration = Duration::from_millis(250);

/// Interval after a failed reading; it doubles with each further one.
const RETRY: Duration = Duration::from_millis(300);

/// Longest interval after failed readings.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Time after the start in which the shared list is expected, where a leader was there before.
const START_PATIENCE: Duration = Duration::from_millis(300);

/// Time for which a large fleet waits for the leader's reading: a new election, and some seconds for a list
/// of thousands.
const FLEET_PATIENCE: Duration = Duration::from_secs(10);

/// Instances that are assumed until their number is known.
const UNKNOWN_ENTRIES: f64 = 30.0;

/// Time in which each instance may read the pages of its part of the rate.
const OWN_PERIOD: Duration = Duration::from_secs(10);

/// Times that the leader asks for a page which the platform has no calls left for.
const PAGE_TRIES: u32 = 100;

/// Part of the platform's rate of calls that readings of the list may take.
const RATE_SHARE: f64 = 0.6;

/// Pause before a page is asked for again; at the platform's usual rate two calls are accepted meanwhile.
const PAGE_PAUSE: Duration = Duration::from_millis(50);

/// Status by which the platform says that it accepts no more calls at present.
const TOO_MANY: u16 = 429;

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
    platform: PlatformClient,
    /// Failed readings in a row.
    failures: u32,
    held: ListRevision,
    /// When the shared list was missing first, and the part of the usual interval for which that is borne.
    missing: Option<(Instant, f64)>,
    /// Whether any list is known.
    known: bool,
}

fn run(config: &Config, stopped: &AtomicBool) {
    let mut reader = Reader {
        platform: PlatformClient::new(config.platform, config.clock.clone()),
        failures: 0,
        held: ListRevision::default(),
        missing: None,
        known: false,
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
        let Some((read, revision, list)) = config.control.endpoint_list().fresh(now) else {
            let draw = rand::rng().random_range(0.0..1.0);
            let (since, draw) = *self.missing.get_or_insert((now, draw));
            let patience = match (self.known, config.control.instance_count()) {
                // Others would take the calls from the leader, which reads for all.
                (_, MAX_DIRECT_POLLERS..) => FLEET_PATIENCE,
                (false, _) => START_PATIENCE,
                (true, _) => Duration::ZERO,
            };
            let wait = patience + own_pause(config, 1).mul_f64(draw);
            if now.saturating_duration_since(since) < wait {
                return SHARED_PERIOD;
            }
            // What the others read after this counts as a change.
            self.held = ListRevision::default();
            return self.read_own(config);
        };
        self.missing = None;
        self.known = true;
        if revision != self.held {
            self.held = revision;
            install(config, read, list);
        }
        let mut fleet = config.fleet.lock().expect("fleet lock poisoned");
        fleet.confirm_list(read);
        // Work fades although nobody asks.
        config.control.set_work(fleet.report_load(now));
        SHARED_PERIOD
    }

    /// Reads the platform's list, because no instance shares one.
    fn read_own(&mut self, config: &Config) -> Duration {
        let calls = config.rate * RATE_SHARE * OWN_PERIOD.as_secs_f64();
        let most = ((calls / entries(config)) as usize).clamp(1, MAX_PAGES);
        match read_pages(config.dialect.as_ref(), &self.platform, most, 1, |_| {}) {
            Ok(reading) => {
                if std::mem::take(&mut self.failures) > 0 {
                    tracing::info!("the endpoint list can be read again");
                }
                if reading.whole || !self.known {
                    self.known = true;
                    install(config, config.clock.now(), reading.list);
                }
                own_pause(config, reading.pages).max(PERIOD)
            }
            Err(error) => {
                if self.failures == 0 {
                    tracing::warn!(%error, "cannot read the endpoint list");
                }
                self.failures = self.failures.saturating_add(1);
                (RETRY * (1 << self.failures.min(5))).min(MAX_RETRY)
            }
        }
    }
}

/// Returns the number of instances that share the rate of calls.
fn entries(config: &Config) -> f64 {
    match config.control.instance_count() {
        0 => UNKNOWN_ENTRIES,
        entries => f64::from(entries),
    }
}

/// Returns the interval that keeps all instances together below the platform's rate.
fn own_pause(config: &Config, pages: usize) -> Duration {
    let least = entries(config) * pages as f64 / (config.rate * RATE_SHARE).max(0.1);
    Duration::from_secs_f64(least)
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
pub struct Reading {
    /// The endpoints.
    pub list: Vec<ListedEndpoint>,
    /// Pages that were read.
    pub pages: usize,
    /// Whether they are all pages.
    pub whole: bool,
}

/// Reads all pages, each of which `seen` gets as it comes.
pub fn read_list(
    dialect: &dyn Dialect,
    platform: &PlatformClient,
    seen: impl FnMut(&[ListedEndpoint]),
) -> Result<Reading, Box<dyn std::error::Error>> {
    let reading = read_pages(dialect, platform, MAX_PAGES, PAGE_TRIES, seen)?;
    match reading.whole {
        true => Ok(reading),
        false => Err("the list has no end".into()),
    }
}

/// Reads up to `most` pages; a page that the platform has no calls left for is asked for up to `tries`
/// times, so that a long list is not begun anew.
fn read_pages(
    dialect: &dyn Dialect,
    platform: &PlatformClient,
    most: usize,
    tries: u32,
    mut seen: impl FnMut(&[ListedEndpoint]),
) -> Result<Reading, Box<dyn std::error::Error>> {
    let mut reading = Reading {
        list: Vec::new(),
        pages: 0,
        whole: false,
    };
    let mut next: Option<String> = None;
    let mut left = tries;
    while reading.pages < most {
        let call = dialect.list_call(next.as_deref());
        let body = match platform.read(&call) {
            Err(PlatformError::Refused { status, .. }) if status == TOO_MANY && left > 1 => {
                left -= 1;
                thread::sleep(PAGE_PAUSE);
                continue;
            }
            body => body?,
        };
        left = tries;
        let page = dialect.list_page(&body)?;
        reading.pages += 1;
        if page.skipped > 0 {
            tracing::debug!(skipped = page.skipped, "unreadable entries of the list");
        }
        seen(&page.endpoints);
        reading.list.extend(page.endpoints);
        next = page.next;
        if next.is_none() {
            reading.whole = true;
            break;
        }
    }
    Ok(reading)
}
