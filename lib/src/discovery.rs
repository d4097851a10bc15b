//! Keeps the list of endpoints of this instance: the shared one, or else the platform's.

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
use crate::dialect::Dialect;
use crate::dialect::ListedEndpoint;
use crate::fleet::Fleet;
use crate::platform::Platform;
use crate::shared_list::ListRevision;

/// Shortest interval between two readings; a leaving endpoint is then known well before the
/// platform's bound of some seconds.
const PERIOD: Duration = Duration::from_millis(900);

/// Interval at which the shared list is looked at, that of the polls that bring it.
const SHARED_PERIOD: Duration = Duration::from_millis(250);

/// Interval after a failed reading.
const RETRY: Duration = Duration::from_millis(300);

/// Part of the platform's rate of calls that readings of the list may take.
const RATE_SHARE: f64 = 0.6;

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

fn run(config: &Config, stopped: &AtomicBool) {
    let platform = Platform::new(config.platform, config.clock.clone());
    let mut available = true;
    let mut held = ListRevision::default();
    while !stopped.load(Ordering::Relaxed) {
        let now = config.clock.now();
        let pause = match config.control.list().fresh(now) {
            Some((read, revision, list)) => {
                if revision != held {
                    held = revision;
                    install(config, read, list);
                }
                let mut fleet = config.fleet.lock().expect("fleet lock poisoned");
                fleet.confirm(read);
                // Work fades although nobody asks.
                config.control.set_work(fleet.works(now));
                SHARED_PERIOD
            }
            None => {
                // What the others read after this counts as a change.
                held = ListRevision::default();
                read_own(config, &platform, &mut available)
            }
        };
        thread::park_timeout(pause.mul_f64(rand::rng().random_range(0.9..1.1)));
    }
}

/// Reads the platform's list, because no instance shares one; returns the pause until the next reading.
fn read_own(config: &Config, platform: &Platform, available: &mut bool) -> Duration {
    match read_list(config.dialect.as_ref(), platform) {
        Ok((list, pages)) => {
            if !std::mem::replace(available, true) {
                tracing::info!("the endpoint list can be read again");
            }
            install(config, config.clock.now(), list);
            pause(config, pages)
        }
        Err(error) => {
            if std::mem::replace(available, false) {
                tracing::warn!(%error, "cannot read the endpoint list");
            }
            RETRY
        }
    }
}

/// Returns the interval that keeps all instances together below the platform's rate.
fn pause(config: &Config, pages: usize) -> Duration {
    let entries = f64::from(config.control.entries().max(1));
    let least = entries * pages as f64 / (config.rate * RATE_SHARE).max(0.1);
    PERIOD.max(Duration::from_secs_f64(least))
}

fn install(config: &Config, now: Instant, list: Vec<ListedEndpoint>) {
    let mut fleet = config.fleet.lock().expect("fleet lock poisoned");
    let changes = fleet.install(now, list);
    config.control.set_work(fleet.works(now));
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

/// Reads all pages.
pub fn read_list(
    dialect: &dyn Dialect,
    platform: &Platform,
) -> Result<(Vec<ListedEndpoint>, usize), Box<dyn std::error::Error>> {
    let mut list = Vec::new();
    let mut next: Option<String> = None;
    for pages in 1..=MAX_PAGES {
        let call = dialect.list_call(next.as_deref());
        let page = dialect.list_page(&platform.read(&call)?)?;
        if page.skipped > 0 {
            tracing::debug!(skipped = page.skipped, "unreadable entries of the list");
        }
        list.extend(page.endpoints);
        next = page.next;
        if next.is_none() {
            return Ok((list, pages));
        }
    }
    Err("the list has no end".into())
}
