//! The lease under which an instance serves requests from its view.
//!
//! A view may be used only while it is certain to include every change that was acknowledged as
//! being in force. The rule and its proof are in section 7 of `docs/design.md` and in
//! `docs/control.md`.

use std::time::Duration;
use std::time::Instant;

/// Time for which a view may be used after it was known to be up to date.
pub const VIEW_LEASE: Duration = Duration::from_secs(2);

/// Time that a party waiting for a lease to expire adds to the lease.
///
/// Two clocks with an error of 1 % each, in opposite directions, differ by 40 ms over 2 s; the rest
/// covers the granularity of timers.
pub const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// The time until which an instance may use its view, measured by its own monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewLease {
    fresh: Option<Instant>,
}

impl ViewLease {
    /// Extends the lease after a response to a poll that was sent at `sent`.
    ///
    /// `age` is the time since the upstream's own view was known to be up to date. The lease counts
    /// from the sending of the poll and not from the arrival of the response, so that network
    /// delays shorten it. A response that proves less than an earlier one has no effect.
    pub fn renew(&mut self, sent: Instant, age: Duration) {
        let fresh = sent.checked_sub(age);
        self.fresh = self.fresh.max(fresh);
    }

    /// Returns the time from which the view must not be used, or `None` before the first poll.
    pub fn valid_until(&self) -> Option<Instant> {
        self.fresh.map(|fresh| fresh + VIEW_LEASE)
    }

    /// Returns whether the view may be used.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|end| now < end)
    }

    /// Returns the age that a relay reports to instances that poll it, or `None` if the lease has
    /// expired.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let fresh = self.fresh.filter(|_| self.is_valid(now))?;
        Some(now.saturating_duration_since(fresh))
    }
}
