//! Driver of usage reports, which freezes usage windows and reports them to the platform.
//!
//! [`Reporter::step`] does no I/O. The caller submits the commands, makes the calls with [`run`] on
//! a thread that may block, and passes the results back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde::Serialize;

use crate::command::Command;
use crate::command::Incarnation;
use crate::command::LeaseKind;
use crate::command::Reply;
use crate::command::Window;
use crate::lease::Guard;
use crate::lease::LeaseHolder;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::state::State;

/// Initial delay before a failed report is retried.
pub const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum delay before a failed report is retried.
pub const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Time after which a command is submitted again if the state does not show its effect.
pub const RESUBMIT_INTERVAL: Duration = Duration::from_secs(2);

/// Action that the caller must take after a step.
#[derive(Clone, Debug)]
pub enum Action {
    /// Submits a lease request, whose reply is passed to [`Reporter::handle_lease_reply`].
    Lease {
        /// Time of the request, which identifies it.
        requested_at: Instant,
        /// The lease request.
        command: Command,
    },
    /// Submits a command, whose effect the replicated state shows.
    Submit(Command),
    /// Reports a window with [`run`], whose result is passed to [`Reporter::handle_result`].
    Report(Report),
    /// Writes a record to the decision log.
    Log(ReportRecord),
}

/// Call that reports a frozen window to the platform.
#[derive(Clone, Debug)]
pub struct Report {
    /// Window to report.
    pub window: Window,
    /// Frozen report.
    pub bytes: Arc<[u8]>,
    /// Permission to write under the usage lease.
    pub guard: Guard,
}

/// Record of the decision log about one attempt to report a window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportRecord {
    /// Kind of the record.
    pub kind: &'static str,
    /// Short name of the result.
    pub reason: &'static str,
    /// Reported window.
    pub window: Window,
    /// Fencing number of the usage lease.
    pub fence: u64,
    /// Error of the call, if it failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Sends a report; the call blocks for no longer than the lease lasts.
pub fn run(platform: &PlatformClient, report: &Report) -> Result<(), PlatformError> {
    platform.report(report.guard, report.window, &report.bytes)
}

/// Holds the usage lease and reports windows one at a time, oldest first.
#[derive(Debug)]
pub struct Reporter {
    holder: LeaseHolder,
    in_flight: Option<Window>,
    last_submit: Option<Instant>,
    /// Window that the platform accepted, kept until the state shows it.
    accepted: Option<Window>,
    retry_at: Option<Instant>,
    backoff: Duration,
    records: Vec<ReportRecord>,
    stopping: bool,
}

impl Reporter {
    /// Creates a driver that does not hold the lease yet.
    pub fn new(me: Incarnation) -> Self {
        Self {
            holder: LeaseHolder::new(LeaseKind::Usage, me),
            in_flight: None,
            last_submit: None,
            accepted: None,
            retry_at: None,
            backoff: MIN_BACKOFF,
            records: Vec::new(),
            stopping: false,
        }
    }

    /// Handles the reply to the lease request that was made at `requested_at`.
    pub fn handle_lease_reply(&mut self, requested_at: Instant, reply: &Reply) {
        self.holder.handle_reply(requested_at, reply);
    }

    /// Stops starting calls; the lease is released once none is in flight.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether the driver was stopped, has no call in flight and has released the lease.
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.in_flight.is_none() && self.holder.is_released()
    }

    /// Returns the actions that are due; called several times a second.
    pub fn step(&mut self, now: Instant, wall: SystemTime, state: &State) -> Vec<Action> {
        let mut actions: Vec<_> = self.records.drain(..).map(Action::Log).collect();
        if self.stopping {
            if self.in_flight.is_none() {
                actions.extend(self.holder.release(now).map(Action::Submit));
            }
            return actions;
        }
        if let Some(command) = self.holder.step(now, wall) {
            actions.push(Action::Lease {
                requested_at: now,
                command,
            });
        }
        if let Some(guard) = self.holder.guard(now, wall) {
            self.drive(now, state, guard, &mut actions);
        }
        actions
    }

    fn drive(&mut self, now: Instant, state: &State, guard: Guard, actions: &mut Vec<Action>) {
        let usage = state.usage();
        let is_frozen = |window| usage.frozen().any(|(w, _)| w == window);
        if self.accepted.is_some_and(|window| !is_frozen(window)) {
            self.accepted = None;
            self.last_submit = None;
        }
        let due = usage.due(state.now());
        let may_submit = self
            .last_submit
            .is_none_or(|at| now - at >= RESUBMIT_INTERVAL);
        let confirm = self
            .accepted
            .map(|window| Command::WindowReported { window });
        let freeze = due.map(|window| Command::FreezeWindow {
            window,
            fence: guard.fence(),
        });
        match confirm.or(freeze) {
            Some(command) if may_submit => {
                self.last_submit = Some(now);
                actions.push(Action::Submit(command));
            }
            Some(_) => {}
            None => self.last_submit = None,
        }
        let is_backing_off = self.retry_at.is_some_and(|at| now < at);
        if self.in_flight.is_some() || is_backing_off {
            return;
        }
        let next = usage.frozen().find(|(w, _)| Some(*w) != self.accepted);
        if let Some((window, bytes)) = next {
            self.in_flight = Some(window);
            let bytes = bytes.into();
            actions.push(Action::Report(Report {
                window,
                bytes,
                guard,
            }));
        }
    }

    /// Handles the result of a report.
    ///
    /// After every failure the same bytes are sent again; the platform recognises duplicates by the
    /// window.
    pub fn handle_result(
        &mut self,
        now: Instant,
        report: &Report,
        result: &Result<(), PlatformError>,
    ) {
        self.in_flight = None;
        let reason = match result {
            Ok(()) => "accepted",
            Err(PlatformError::Refused { .. }) => "refused",
            Err(PlatformError::Unknown(_)) => "outcome_unknown",
            Err(PlatformError::Unreachable(_)) => "unreachable",
            Err(PlatformError::LeaseLost) => "lease_lost",
        };
        if result.is_ok() {
            self.accepted = Some(report.window);
            self.last_submit = None;
            self.retry_at = None;
            self.backoff = MIN_BACKOFF;
        } else {
            self.retry_at = Some(now + self.backoff);
            self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
        }
        if matches!(result, Err(PlatformError::Unknown(_))) {
            self.holder.record_unknown_outcome(now);
        }
        self.records.push(ReportRecord {
            kind: "usage_report",
            reason,
            window: report.window,
            fence: report.guard.fence(),
            error: result.as_ref().err().map(ToString::to_string),
        });
    }
}
