//! Driver of usage reports: holds the usage lease, freezes windows and reports them.
//!
//! [`Reporter::step`] is pure. The caller submits the commands, makes the calls with
//! [`run`] on a thread that may block, and hands the results back.

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

/// Shortest wait after a failed report.
pub const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest wait after a failed report.
pub const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Time after which a command without a reply is submitted again.
pub const RESUBMIT: Duration = Duration::from_secs(2);

/// What the caller must do after a step.
#[derive(Clone, Debug)]
pub enum Action {
    /// Submit a lease request and hand its reply to [`Reporter::handle_lease_reply`] with `requested_at`.
    Lease {
        /// When the request was made.
        requested_at: Instant,
        /// The request.
        command: Command,
    },
    /// Submit a command; its effect is seen in the state.
    Submit(Command),
    /// Report a window with [`run`] and hand the result to [`Reporter::handle_result`].
    Report(Report),
    /// Write one line to the decision log.
    Log(ReportRecord),
}

/// One call to the platform.
#[derive(Clone, Debug)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// The frozen bytes.
    pub bytes: Arc<[u8]>,
    /// Permission to send.
    pub guard: Guard,
}

/// What was decided about a window, for the decision log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportRecord {
    /// Kind of the record.
    pub kind: &'static str,
    /// Short name of the rule that decided.
    pub reason: &'static str,
    /// The window.
    pub window: Window,
    /// Fencing number of the usage lease.
    pub fence: u64,
    /// The error of the call, if it failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Makes the call of a [`Report`]. It blocks for at most the remaining time of the lease.
pub fn run(platform: &PlatformClient, report: &Report) -> Result<(), PlatformError> {
    platform.report(report.guard, report.window, &report.bytes)
}

/// Holds the usage lease and reports windows one at a time, the oldest first.
#[derive(Debug)]
pub struct Reporter {
    holder: LeaseHolder,
    in_flight: Option<Window>,
    submitted: Option<Instant>,
    /// Window that the platform accepted, until the state shows it.
    accepted: Option<Window>,
    retry: Option<Instant>,
    backoff: Duration,
    records: Vec<ReportRecord>,
    stopping: bool,
}

impl Reporter {
    /// Creates the driver of a process that does not hold the lease.
    pub fn new(me: Incarnation) -> Self {
        Self {
            holder: LeaseHolder::new(LeaseKind::Usage, me),
            in_flight: None,
            submitted: None,
            accepted: None,
            retry: None,
            backoff: MIN_BACKOFF,
            records: Vec::new(),
            stopping: false,
        }
    }

    /// Takes in the reply to a lease request.
    pub fn handle_lease_reply(&mut self, requested_at: Instant, reply: &Reply) {
        self.holder.handle_reply(requested_at, reply);
    }

    /// Stops starting calls; the lease is given up once none is in flight.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Tells whether the driver was stopped, has no call in flight and has given the lease up.
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.in_flight.is_none() && self.holder.is_released()
    }

    /// Decides what to do now; called several times a second.
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
            self.work(now, state, guard, &mut actions);
        }
        actions
    }

    fn work(&mut self, now: Instant, state: &State, guard: Guard, actions: &mut Vec<Action>) {
        let usage = state.usage();
        let is_frozen = |window| usage.frozen().any(|(w, _)| w == window);
        if self.accepted.is_some_and(|window| !is_frozen(window)) {
            self.accepted = None;
            self.submitted = None;
        }
        let due = usage.due(state.now());
        let quiet = self.submitted.is_none_or(|at| now - at >= RESUBMIT);
        let confirm = self
            .accepted
            .map(|window| Command::WindowReported { window });
        let freeze = due.map(|window| Command::FreezeWindow {
            window,
            fence: guard.fence(),
        });
        match confirm.or(freeze) {
            Some(command) if quiet => {
                self.submitted = Some(now);
                actions.push(Action::Submit(command));
            }
            Some(_) => {}
            None => self.submitted = None,
        }
        let waits = self.retry.is_some_and(|at| now < at);
        if self.in_flight.is_some() || waits {
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

    /// Takes in the result of a report.
    ///
    /// Every result but success leads to a resend of the same bytes, which the platform recognises
    /// by the window.
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
            self.submitted = None;
            self.retry = None;
            self.backoff = MIN_BACKOFF;
        } else {
            self.retry = Some(now + self.backoff);
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
