//! A call of a forwarded request to an endpoint: where it starts, how its end is recorded, and what it gave.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;

use crate::dialect::RequestRate;
use crate::dialect::RunCopy;
use crate::fingerprint::RequestPrints;
use crate::fleet::CallId;
use crate::fleet::CallOutcome;
use crate::fleet::Choice;
use crate::forward::Forwarder;
use crate::line::portion::Kind;
use crate::upstream;

/// Point from which an attempt continues the response; the default is the beginning.
#[derive(Default)]
pub(crate) struct StartPoint {
    /// Whether the caller has received the head of the response, which must then not end early.
    pub is_started: bool,
    /// ID of the last event that the caller received.
    pub last_event_id: Option<String>,
    /// Run that the attempt continues at an endpoint which was selected already.
    pub moved: Option<MovedRun>,
}

/// A run and the endpoint at which it continues.
pub(crate) struct MovedRun {
    pub guard: CallGuard,
    /// Copy of the stopped run, or `None` if it starts again after the last event.
    pub copy: Option<RunCopy>,
    /// The endpoint that had the run before, if it continues elsewhere: one that stopped it and still holds
    /// it, or one that was silent.
    pub origin: Option<Choice>,
}

/// Guard of a call to an endpoint, which records the end of the call exactly once.
pub(crate) struct CallGuard {
    forwarder: Arc<Forwarder>,
    prints: RequestPrints,
    pub call_id: CallId,
    pub choice: Choice,
    /// Time at which the call was started.
    pub sent: Instant,
    /// The limit that the endpoint stated in its response.
    pub stated_limit: Option<RequestRate>,
    /// Time at which the response head arrived.
    pub responded: Option<Instant>,
    /// Whether the endpoint executed the request, according to its response.
    pub is_success: bool,
    /// Whether the end of the call was recorded.
    ended: bool,
}

impl CallGuard {
    /// Creates the guard of a call that the fleet has registered as `call_id`.
    pub(crate) fn new(
        forwarder: &Arc<Forwarder>,
        prints: &RequestPrints,
        choice: Choice,
        call_id: CallId,
    ) -> Self {
        Self {
            forwarder: forwarder.clone(),
            prints: prints.clone(),
            call_id,
            choice,
            sent: forwarder.settings.clock.now(),
            stated_limit: None,
            responded: None,
            is_success: false,
            ended: false,
        }
    }

    /// Registers a run that continues at an endpoint with the fleet and returns its guard.
    pub(crate) fn start(
        forwarder: &Arc<Forwarder>,
        prints: &RequestPrints,
        choice: Choice,
    ) -> Self {
        let now = forwarder.settings.clock.now();
        let call_id = forwarder.fleet().start(now, &choice, &[]);
        forwarder.charge_permit(now, &choice.listed.id);
        Self::new(forwarder, prints, choice, call_id)
    }

    /// Records the outcome of the call; later calls have no effect.
    pub(crate) fn end(&mut self, outcome: CallOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.forwarder.settings.clock.now();
            let mut fleet = self.forwarder.fleet();
            fleet.end(now, self.call_id, outcome);
            if let (CallOutcome::Served, Some(responded)) = (outcome, self.responded)
                && let Some(demands) = fleet.demands_mut()
            {
                let kind = Kind::of(self.choice.urgency, self.choice.prompt);
                let time = now.saturating_duration_since(responded);
                demands.record_run(now, &self.choice.listed.service, kind, time);
            }
            drop(fleet);
            self.forwarder.record_outcome(
                &self.choice.listed,
                &self.prints,
                outcome,
                self.is_success,
            );
        }
    }

    /// Returns a new guard that records the end of the call in place of this one.
    pub(crate) fn split(&mut self) -> Self {
        let ended = std::mem::replace(&mut self.ended, true);
        Self {
            forwarder: self.forwarder.clone(),
            prints: self.prints.clone(),
            call_id: self.call_id,
            choice: self.choice.clone(),
            sent: self.sent,
            stated_limit: self.stated_limit,
            responded: self.responded,
            is_success: self.is_success,
            ended,
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.end(CallOutcome::Cancelled);
    }
}

/// A response whose head and first body chunk have arrived.
pub(crate) struct StartedResponse {
    pub answer: upstream::Answer,
    pub guard: CallGuard,
    /// First chunk of the body, or `None` if the body is empty.
    pub first: Option<Bytes>,
}

/// Result of an attempt that gave no usable response.
pub(crate) enum Failure {
    /// The endpoint sent an error response, which is returned to the caller if there is no retry.
    Answered(Box<StartedResponse>, CallOutcome),
    /// The endpoint sent no usable response.
    NoResponse(CallOutcome),
    /// The endpoint is silent, and the request continues at another one, where the call is reserved.
    Silent(Box<MovedRun>),
    /// The deadline of the request has passed.
    DeadlinePassed,
}
