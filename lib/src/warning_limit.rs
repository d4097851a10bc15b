//! Bound on the rate of a repeated warning.

use std::time::Duration;
use std::time::Instant;

/// Shortest time between two warnings of one kind.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Lets one warning pass per second and counts the others.
#[derive(Debug, Default)]
pub struct WarningLimit {
    last: Option<Instant>,
    suppressed: u64,
}

impl WarningLimit {
    /// Returns the number of warnings suppressed since the last one that passed, or `None` if this
    /// one is to be suppressed too.
    pub fn pass(&mut self, now: Instant) -> Option<u64> {
        if self.last.is_some_and(|last| now < last + WARNING_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
