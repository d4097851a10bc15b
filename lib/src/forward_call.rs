//! A call of a forwarded request to an endpoint: where it starts, how its end is recorded, and what it gave.

use std::future::Future;
use std::io;
use std::pin::Pin;
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
use crate::upstream;
use crate::upstream::CallError;

/// Point from which an attempt continues the response; the default is the beginning.
#[derive(Default)]
pub(crate) struct StartPoint {
    /// Whether the caller has received the head of the response, which must then not end early.
    pub is_started: bool,
    /// ID of the last event that the caller received.
    pub last_event_id: Option<String>,
    /// Where the attempt is made.
    pub target: Target,
}

/// Where an attempt is made.
#[derive(Default)]
pub(crate) enum Target {
    /// At an endpoint that is yet to be selected.
    #[default]
    Any,
    /// At an endpoint that was selected already.
    Reserved(Box<MovedRun>),
    /// At the endpoint of a call that was set aside.
    Pending(Box<PendingCall>),
}

/// A run and the endpoint at which it continues.
pub(crate) struct MovedRun {
    pub guard: CallGuard,
    /// Copy of the stopped run, or `None` if it starts again after the last event.
    pub copy: Option<RunCopy>,
    /// The endpoint that stopped the run and still holds it, if it continues elsewhere.
    pub origin: Option<Choice>,
}

/// The head and the first body chunk of a response, or why there is none.
pub(crate) type FirstChunk = Result<(upstream::Answer, io::Result<Option<Bytes>>), CallError>;

/// A call that was sent and of whose response nothing has arrived yet.
///
/// It goes on while it is not polled, and ends when it is dropped.
pub(crate) struct PendingCall {
    pub guard: CallGuard,
    pub exchange: Pin<Box<dyn Future<Output = FirstChunk> + Send>>,
    /// Whether it continues a run from its copy, which belongs to the same attempt.
    pub is_copied: bool,
    /// Whether it was set aside, so that its attempt was counted already.
    pub is_counted: bool,
}

impl PendingCall {
    /// Returns whether the call is an attempt that has yet to be counted.
    pub(crate) fn is_new(&self) -> bool {
        !self.is_copied && !self.is_counted
    }
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
            self.forwarder.fleet().end(now, self.call_id, outcome);
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
    /// Whether a call that was to stop the run has no outcome, so that the endpoint may have stopped it.
    pub stop_unknown: bool,
}

/// Result of an attempt that gave no usable response.
pub(crate) enum Failure {
    /// The endpoint sent an error response, which is returned to the caller if there is no retry.
    Answered(Box<StartedResponse>, CallOutcome),
    /// The endpoint sent no usable response.
    NoResponse(CallOutcome),
    /// The endpoint is silent, and another one, where a call is reserved, may go on with the request.
    Silent(Box<PendingCall>, Box<MovedRun>),
    /// The deadline of the request has passed.
    DeadlinePassed,
}
