//! Sources of the current time.
//!
//! Code that makes decisions takes `now` as an argument. Threads that perform I/O read it from a
//! [`Clock`], so that tests can control the time. See section 5 of `docs/design.md`.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which leases and deadlines use.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which only logs and usage windows use.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that advances only when told to.
#[derive(Debug)]
pub struct ManualClock {
    base: Instant,
    wall: SystemTime,
    offset: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            base: Instant::now(),
            wall: SystemTime::UNIX_EPOCH,
            offset: Mutex::new(Duration::ZERO),
        }
    }
}

impl ManualClock {
    /// Advances the monotonic and the wall-clock time by `step`.
    pub fn advance(&self, step: Duration) {
        *self.offset.lock().expect("clock lock poisoned") += step;
    }

    fn offset(&self) -> Duration {
        *self.offset.lock().expect("clock lock poisoned")
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + self.offset()
    }

    fn wall(&self) -> SystemTime {
        self.wall + self.offset()
    }
}
