//! Exchange of the limits that endpoints state, and of permits, between the leader, relays and instances.

use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::control_core::Core;
use crate::endpoint_limit::LimitTable;
use crate::endpoint_limit::PermitRow;
use crate::peer_message::PollRequest;
use crate::quota::MAX_QUORUM_AGE;
use crate::supervision;

impl Core {
    /// Locks the limits of endpoints.
    pub(crate) fn endpoint_limits(&self) -> MutexGuard<'_, LimitTable> {
        supervision::lock(&self.shared.endpoint_limits)
    }

    /// Records the limits that a poller reports, and tells the other pollers and the leader of changes.
    pub(crate) fn collect_limits(&self, request: &PollRequest) {
        let poller = &request.poll.poller.instance;
        let now = self.clock.now();
        let is_changed = self.endpoint_limits().collect(now, poller, &request.limits);
        if is_changed {
            self.notify_state_changed();
            self.shared.limits_changed.notify_one();
        }
    }

    /// Returns the limits and permits for a poller, and the revision of the limits.
    ///
    /// The leader gives its term and the age of its last confirmed heartbeat round. It makes permits only while no
    /// other leader can be making them. Otherwise, as at a relay, those that are held are passed on.
    pub(crate) fn answer_limits(
        &self,
        now: Instant,
        leader: Option<(u64, Duration)>,
        request: &PollRequest,
    ) -> (Vec<PermitRow>, u64) {
        let term = leader.filter(|(_, age)| *age < MAX_QUORUM_AGE);
        let term = term.map(|(term, _)| term);
        let poller = &request.poll.poller.instance;
        let mut limits = self.endpoint_limits();
        let rows = limits.answer(now, term, poller, &request.limits);
        (rows, limits.revision())
    }

    /// Applies the limits and permits of an answer to a poll that was sent at `sent`.
    pub(crate) fn install_limits(&self, sent: Instant, instance_count: u32, rows: &[PermitRow]) {
        let now = self.clock.now();
        let is_changed = self
            .endpoint_limits()
            .receive(now, sent, instance_count, rows);
        if is_changed {
            self.notify_state_changed();
        }
    }
}
