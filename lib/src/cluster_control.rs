//! The control interface of a process that belongs to a cluster.
//!
//! Reading the view takes no message; submitting a command waits for the control thread.

use std::sync::Arc;
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
use crate::ids::WorkspaceId;
use crate::prefix_hint::PrefixHint;
use crate::rule_state::CommittedChange;
use crate::shared_list::SharedList;
use crate::state::State;
use crate::view::Version;
use crate::view::View;
use crate::work::WorkReport;

/// Time by which the control thread answers before the caller gives up, so that a certain answer
/// is not lost to a race of two timers.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// Access of traffic threads and operators to the control thread.
#[derive(Clone)]
pub struct ClusterControl {
    me: Incarnation,
    shared: Arc<Shared>,
    clock: Arc<dyn Clock>,
}

impl ClusterControl {
    /// Creates the access to a control thread.
    pub fn new(me: Incarnation, shared: Arc<Shared>, clock: Arc<dyn Clock>) -> Self {
        Self { me, shared, clock }
    }

    /// Waits until a version is in force at every instance; returns whether it is.
    pub fn await_version(&self, version: Version, timeout: Duration) -> bool {
        let (reply, receiver) = bounded(1);
        let request = Request::AwaitVersion {
            version,
            deadline: Instant::now() + timeout,
            reply,
        };
        self.shared.send(request) && receiver.recv_timeout(timeout + REPLY_MARGIN) == Ok(true)
    }

    /// Returns the newest committed changes, the newest first, unless no leader answers.
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

    /// Returns the state of the process.
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

    /// Submits a command without waiting; the reply comes through the channel, which is closed
    /// without one if the control thread ends or has too many requests.
    pub fn submit_later(
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

    /// Calls a function with the replicated state on the control thread, if this process is an
    /// established leader; the result comes through the channel, which is closed otherwise.
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

    /// Notes the work that the callers of this instance ask of services.
    pub fn set_work(&self, told: WorkReport) {
        *self.shared.work.lock().expect("work lock poisoned") = told;
    }

    /// Returns the endpoint list that instances share.
    pub fn list(&self) -> &SharedList {
        &self.shared.list
    }

    /// Tells the other instances which prompt parts engines were sent.
    pub fn tell(&self, sightings: Vec<PrefixHint>) {
        self.shared.told.append(sightings);
    }

    /// Tells the leader what happened to requests at endpoints that ended.
    pub fn note(&self, now: Instant, notes: &[CrashNote]) {
        self.shared.note(now, notes);
    }

    /// Returns what the other instances told since the last call.
    pub fn heard(&self) -> Vec<PrefixHint> {
        self.shared.heard.take()
    }

    /// Returns the work of all instances, as far as this one knows.
    pub fn total_work(&self) -> Arc<WorkReport> {
        self.shared
            .total
            .read()
            .expect("work lock poisoned")
            .clone()
    }

    /// Returns the newest view, unless its lease ended more than `limit` ago.
    pub fn view_within(&self, now: Instant, limit: Duration) -> Option<Arc<View>> {
        let published = self.shared.published.read().expect("view lock poisoned");
        let end = published.end?;
        (now < end + limit).then(|| published.view.clone())?
    }

    /// Returns the newest view, whether or not its lease has expired; not for serving callers.
    pub fn held_view(&self) -> Option<Arc<View>> {
        let published = self.shared.published.read().expect("view lock poisoned");
        published.view.clone()
    }
}

impl Control for ClusterControl {
    fn incarnation(&self) -> &Incarnation {
        &self.me
    }

    fn view(&self, now: Instant) -> Result<Arc<View>, ViewExpired> {
        let published = self.shared.published.read().expect("view lock poisoned");
        let view = published.fresh(now, self.clock.wall());
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

    fn entries(&self) -> u32 {
        self.shared.entries()
    }
}
