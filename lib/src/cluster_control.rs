//! The [`Control`] interface of a process that belongs to a cluster.
//!
//! The view is read from shared memory; commands are sent to the control thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::bounded;

use crate::clock::Clock;
use crate::command::Command;
use crate::command::Incarnation;
use crate::command::Reply;
use crate::command::UsageRow;
use crate::control::Control;
use crate::control::Denied;
use crate::control::SubmitError;
use crate::control::Suspicion;
use crate::control::ViewExpired;
use crate::control_shared::Claim;
use crate::control_shared::Inspect;
use crate::control_shared::Request;
use crate::control_shared::Shared;
use crate::control_shared::Status;
use crate::crash_note::CrashNote;
use crate::endpoint_limit::LimitObservation;
use crate::endpoint_limit::LimitTable;
use crate::ids::WorkspaceId;
use crate::prefix_hint::PrefixHint;
use crate::rule_state::CommittedChange;
use crate::service_load::LoadSummary;
use crate::shared_list::SharedList;
use crate::state::State;
use crate::supervision;
use crate::view::Version;
use crate::view::View;
use crate::view_lease::VIEW_LEASE;

/// Time between the deadline of the control thread and the timeout of the caller, so that a definite
/// reply is not lost in a race of the two timers.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// Handle of the control thread for traffic threads and operators.
#[derive(Clone)]
pub struct ClusterControl {
    incarnation: Incarnation,
    shared: Arc<Shared>,
    clock: Arc<dyn Clock>,
}

impl ClusterControl {
    /// Creates a handle of the control thread that uses `shared`.
    pub fn new(incarnation: Incarnation, shared: Arc<Shared>, clock: Arc<dyn Clock>) -> Self {
        Self {
            incarnation,
            shared,
            clock,
        }
    }

    /// Waits until a version is in force at all instances; returns whether it is within the timeout.
    pub fn await_version(&self, version: Version, timeout: Duration) -> bool {
        let (reply, receiver) = bounded(1);
        let request = Request::AwaitVersion {
            version,
            deadline: Instant::now() + timeout,
            reply,
        };
        self.shared.send(request) && receiver.recv_timeout(timeout + REPLY_MARGIN) == Ok(true)
    }

    /// Returns the newest committed changes, newest first, or `None` if no leader answers.
    pub fn history(&self, count: u32, timeout: Duration) -> Option<Vec<CommittedChange>> {
        let (reply, receiver) = bounded(1);
        let request = Request::History {
            count,
            deadline: Instant::now() + timeout,
            reply,
        };
        if !self.shared.send(request) {
            return None;
        }
        receiver.recv_timeout(timeout + REPLY_MARGIN).ok()?
    }

    /// Returns the status of the process; after a timeout, the previous one.
    pub fn status(&self, timeout: Duration) -> Status {
        let (reply, receiver) = bounded(1);
        if self.shared.send(Request::Status { reply }) {
            let _ = receiver.recv_timeout(timeout);
        }
        self.shared
            .status
            .lock()
            .expect("status lock poisoned")
            .clone()
    }

    /// Submits a command without waiting for the reply, which arrives through the channel.
    ///
    /// The channel is closed without a reply if the control thread ends or its queue is full.
    pub fn start_submit(
        &self,
        command: Command,
        timeout: Duration,
    ) -> Receiver<Result<Reply, SubmitError>> {
        let (reply, receiver) = bounded(1);
        self.shared.send(Request::Submit {
            command,
            deadline: Instant::now() + timeout,
            claim: Claim::default(),
            reply,
        });
        receiver
    }

    /// Calls a function with the replicated state on the control thread if this process is an
    /// established leader.
    ///
    /// The result arrives through the channel, which is closed without a result otherwise.
    pub fn inspect<T: Send + 'static>(
        &self,
        function: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Receiver<T> {
        let (sender, receiver) = bounded(1);
        let inspect = Inspect(Box::new(move |state| {
            let _ = sender.send(function(state));
        }));
        self.shared.send(Request::Inspect(inspect));
        receiver
    }

    /// Sets the work that callers of this instance request from services.
    pub fn set_work(&self, work: LoadSummary) {
        *self.shared.work.lock().expect("work lock poisoned") = work;
    }

    /// Returns the endpoint list of the cluster.
    pub fn endpoint_list(&self) -> &SharedList {
        &self.shared.endpoint_list
    }

    /// Sends to the other instances which prompt parts this instance sent to engines.
    pub fn share_sightings(&self, sightings: Vec<PrefixHint>) {
        self.shared.outgoing_sightings.append(sightings);
    }

    /// Returns the suspects and the quarantined requests and prompt parts, by fingerprint.
    pub fn suspects(&self) -> Arc<HashMap<u64, Suspicion>> {
        let suspects = self.shared.suspects.read();
        suspects.expect("suspects lock poisoned").clone()
    }

    /// Sends crash notes to the leader.
    pub fn report_crash_notes(&self, now: Instant, notes: &[CrashNote]) {
        self.shared.add_crash_notes(now, notes);
    }

    /// Locks the limits of endpoints.
    pub fn endpoint_limits(&self) -> MutexGuard<'_, LimitTable> {
        supervision::lock(&self.shared.endpoint_limits)
    }

    /// Records what an endpoint's response stated about its limit, and tells the other instances if the limit
    /// changed; returns whether it did.
    pub fn observe_limit(&self, endpoint: u64, observation: LimitObservation) -> bool {
        let is_changed = self.endpoint_limits().observe(endpoint, observation);
        if is_changed {
            self.tell_limits();
        }
        is_changed
    }

    /// Tells the other instances that limits of endpoints have changed.
    pub fn tell_limits(&self) {
        self.shared.limits_changed.notify_one();
    }

    /// Returns the sightings received from other instances since the last call.
    pub fn take_sightings(&self) -> Vec<PrefixHint> {
        self.shared.received_sightings.take()
    }

    /// Returns the work of all instances, as last received.
    pub fn total_work(&self) -> Arc<LoadSummary> {
        self.shared
            .total_work
            .read()
            .expect("work lock poisoned")
            .clone()
    }

    /// Returns the newest view, unless its lease ended at least `limit` ago.
    pub fn view_with_grace(&self, now: Instant, limit: Duration) -> Option<Arc<View>> {
        let published = self.shared.published.read().expect("view lock poisoned");
        let end = published.lease_end?;
        (now < end + limit).then(|| published.view.clone())?
    }

    /// Returns the time since the view was last known to be up to date, or `None` before the first poll.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        let published = self.shared.published.read().expect("view lock poisoned");
        let end = published.lease_end?;
        Some((now + VIEW_LEASE).saturating_duration_since(end))
    }

    /// Returns the number of times that the lease on the view has ended.
    pub fn lease_ends(&self) -> u64 {
        self.shared.lease_ends()
    }

    /// Returns the newest view even if its lease has expired; must not be used to serve callers.
    pub fn latest_view(&self) -> Option<Arc<View>> {
        let published = self.shared.published.read().expect("view lock poisoned");
        published.view.clone()
    }
}

impl Control for ClusterControl {
    fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn view(&self, now: Instant) -> Result<Arc<View>, ViewExpired> {
        let published = self.shared.published.read().expect("view lock poisoned");
        let view = published.valid_view(now, self.clock.wall());
        view.cloned().ok_or(ViewExpired)
    }

    fn submit(&self, command: Command, timeout: Duration) -> Result<Reply, SubmitError> {
        let (reply, receiver) = bounded(1);
        let claim = Claim::default();
        let request = Request::Submit {
            command,
            deadline: Instant::now() + timeout.saturating_sub(REPLY_MARGIN),
            claim: claim.clone(),
            reply,
        };
        if !self.shared.send(request) {
            return Err(SubmitError::NotProposed);
        }
        match receiver.recv_timeout(timeout) {
            Ok(answer) => answer,
            Err(_) if claim.withdraw() => Err(SubmitError::NotProposed),
            Err(_) => receiver.try_recv().unwrap_or(Err(SubmitError::Unknown)),
        }
    }

    fn record(&self, row: UsageRow) {
        self.shared.usage.record(self.clock.wall(), &row);
    }

    fn admit(&self, now: Instant, workspace: &WorkspaceId, tokens: u32) -> Result<(), Denied> {
        self.shared.shares.admit(now, workspace, tokens)
    }

    fn settle(&self, now: Instant, workspace: &WorkspaceId, estimated: u32, used: u32) {
        let shares = &self.shared.shares;
        shares.settle(now, workspace, estimated, used);
    }

    fn suspicion(&self, fingerprint: u64) -> Suspicion {
        let suspects = self.shared.suspects.read().expect("suspects lock poisoned");
        suspects
            .get(&fingerprint)
            .copied()
            .unwrap_or(Suspicion::None)
    }

    fn instance_count(&self) -> u32 {
        self.shared.instance_count()
    }
}
