//! Streams whose endpoint is silent: when to look for a successor, and the attempt there.
//!
//! A silent endpoint may be working on a long step or may wait for a processor. Silence is therefore a
//! reason to continue elsewhere if the stream can, and never a reason to end it. The call to the silent endpoint
//! goes on while the successor may still turn the stream away (`docs/platform.md`, "Silent endpoints").

use std::time::Duration;

use bytes::Bytes;
use rand::Rng as _;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::control::Control as _;
use crate::fair_timeout::CATCH_UP_TIME;
use crate::fair_timeout::MAX_LATENESS;
use crate::fleet;
use crate::fleet::CallOutcome;
use crate::fleet::Choice;
use crate::fleet::EndpointQuery;
use crate::forward_call::CallGuard;
use crate::forward_call::Failure;
use crate::forward_call::MovedRun;
use crate::forward_call::PendingCall;
use crate::forward_call::StartPoint;
use crate::forward_call::StartedResponse;
use crate::forward_job::AttemptResult;
use crate::forward_job::Job;
use crate::upstream;

/// Maximum time for which a stream has calls at a silent endpoint and at its successor, since both may work on it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Tells when a silent stream looks for a successor.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimer {
    limit: Duration,
    /// Time of the next check, or `None` if it is too far away to be represented.
    check: Option<Instant>,
    was_reported: bool,
}

impl SilenceTimer {
    /// Creates a timer for a stream that may be silent for `limit`.
    pub fn new(now: Instant, limit: Duration) -> Self {
        Self {
            limit,
            check: now.checked_add(limit),
            was_reported: false,
        }
    }

    /// Returns the time of the next check, which is at `end` at the latest.
    pub fn next_check(&self, end: Instant) -> Instant {
        self.check.map_or(end, |check| check.min(end))
    }

    /// Restarts the timer after a whole event.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(now, self.limit);
    }

    /// Returns whether the stream should look for a successor now, and schedules the next check if so.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let Some(check) = self.check.filter(|check| now >= *check) else {
            return false;
        };
        self.check = Some(now + CATCH_UP_TIME);
        now.saturating_duration_since(check) < MAX_LATENESS
    }

    /// Returns whether the silence is to be logged, which it is once.
    fn should_report(&mut self) -> bool {
        !std::mem::replace(&mut self.was_reported, true)
    }
}

/// A call to an endpoint that is silent for longer than the stall timeout.
pub(crate) enum SilentCall {
    /// The caller has received a part of the response.
    Started(Box<StartedResponse>),
    /// Nothing of the response has arrived.
    Pending(Box<PendingCall>),
}

impl SilentCall {
    fn guard(&self) -> &CallGuard {
        match self {
            Self::Started(response) => &response.guard,
            Self::Pending(call) => &call.guard,
        }
    }

    /// Returns the choice of the endpoint.
    pub(crate) fn choice(&self) -> &Choice {
        &self.guard().choice
    }

    /// Ends the call, which cancels it at the endpoint.
    fn leave(self) -> LeftCall {
        let (mut guard, is_started) = match self {
            Self::Started(response) => (response.guard, true),
            Self::Pending(call) => (call.guard, false),
        };
        guard.end(CallOutcome::Broken);
        LeftCall { guard, is_started }
    }
}

/// A call to an endpoint that was left because of its silence.
struct LeftCall {
    guard: CallGuard,
    /// Whether the caller has received a part of the response.
    is_started: bool,
}

impl Job {
    /// Waits for the first chunk of the response to a call, unless the endpoint is silent for longer than the
    /// stall timeout and the request does not have to wait for it.
    ///
    /// If the caller has received the head of the response (`is_started`) and another endpoint may go on with
    /// it, the call reserved there is returned as the error.
    pub(crate) async fn exchange_in_time(
        &self,
        call: &mut PendingCall,
        is_started: bool,
    ) -> Result<Result<(upstream::Answer, Option<Bytes>), Failure>, MovedRun> {
        let attempt = self.attempts + u32::from(!call.is_counted);
        let limit = self.stall_timeout(&call.guard.choice, attempt);
        let mut silence = SilenceTimer::new(Instant::now(), limit);
        let left = || match is_started {
            true => self.time_left(),
            false => self.answer_time_left(),
        };
        loop {
            let check = silence.next_check(Instant::now() + left());
            match timeout_at(check, call.exchange.as_mut()).await {
                Ok(response) => return Ok(self.check_response(&mut call.guard, response)),
                Err(_) if left().is_zero() => return Ok(Err(Failure::DeadlinePassed)),
                Err(_) if !silence.is_due(Instant::now()) => {}
                Err(_) if !is_started => {
                    return Ok(Err(Failure::NoResponse(CallOutcome::Broken)));
                }
                Err(_) => {
                    let attempts = self.attempts + u32::from(call.is_new());
                    let choice = &call.guard.choice;
                    if let Some(next) = self.reserve_successor(choice, attempts, &mut silence) {
                        return Err(next);
                    }
                }
            }
        }
    }

    /// Reserves a call at another endpoint for a stream whose endpoint is silent.
    ///
    /// `attempts` is the number of attempts, including the one at that endpoint. Returns `None` if no retry
    /// is allowed or no other endpoint can take over; the stream then waits on.
    pub(crate) fn reserve_successor(
        &self,
        silent: &Choice,
        attempts: u32,
        timer: &mut SilenceTimer,
    ) -> Option<MovedRun> {
        let is_allowed = self.pay_retry(CallOutcome::Broken, attempts);
        let guard = match is_allowed {
            true => self.reserve_elsewhere(silent),
            false => None,
        };
        if is_allowed && guard.is_none() {
            self.forwarder.return_retry(&self.service);
        }
        if guard.is_none() && timer.should_report() {
            tracing::info!(
                request = self.info.id,
                endpoint = %silent.listed.id,
                is_retry_allowed = is_allowed,
                "endpoint is silent, the stream waits on"
            );
        }
        Some(MovedRun {
            guard: guard?,
            copy: None,
            origin: None,
        })
    }

    /// Makes an attempt at the successor of a silent endpoint, which is left once the successor has answered or
    /// after [`MAX_OVERLAP`].
    ///
    /// Returns the result and, if it is a failure and the silent endpoint was not left, the call there. A stream
    /// that comes back to an endpoint which it has left needs a further retry, for which the budget may have no
    /// room.
    pub(crate) async fn attempt_beside(
        &mut self,
        silent: SilentCall,
        start_point: StartPoint,
    ) -> (AttemptResult, Option<SilentCall>) {
        self.excluded.push(silent.choice().listed.id.clone());
        let mut silent = Some(silent);
        let mut left = None;
        let result = {
            let mut attempt = std::pin::pin!(self.attempt(start_point));
            match timeout(MAX_OVERLAP, attempt.as_mut()).await {
                Ok(result) => result,
                Err(_) => {
                    left = silent.take().map(SilentCall::leave);
                    attempt.await
                }
            }
        };
        if matches!(result, Ok(Ok(_))) {
            left = left.or_else(|| silent.take().map(SilentCall::leave));
        }
        if let Some(call) = &left {
            self.log_silence(call);
        }
        if let Some(call) = &silent {
            tracing::info!(
                request = self.info.id,
                endpoint = %call.choice().listed.id,
                "successor of a silent endpoint failed, the stream waits on"
            );
        }
        (result, silent)
    }

    /// Logs that an endpoint was left because of its silence.
    fn log_silence(&self, call: &LeftCall) {
        match call.is_started {
            true => self.log_interruption(&call.guard, &"no whole event in time"),
            false => self.log_attempt(&call.guard, Some(CallOutcome::Broken)),
        }
    }

    /// Selects an endpoint other than the silent one and registers the call.
    fn reserve_elsewhere(&self, silent: &Choice) -> Option<CallGuard> {
        let now = self.now();
        let control = &self.forwarder.settings.control;
        let total = control.total_work().by_service.get(&self.service).copied();
        let mut excluded = self.excluded.clone();
        excluded.push(silent.listed.id.clone());
        let query = EndpointQuery {
            service: &self.service,
            prompt: self.info.prompt,
            parts: &self.info.parts,
            excluded: &excluded,
            time_left: self.time_left(),
            total: total.unwrap_or_default(),
            urgency: self.rank,
            is_started: true,
            draw: 0.0,
            tie_breaker: rand::rng().random(),
            is_large_cluster: fleet::is_large_cluster(control.instance_count()),
        };
        let mut fleet = self.forwarder.fleet();
        let choice = self.forwarder.select_endpoint(&mut fleet, now, &query);
        let choice = choice.ok()?;
        let call_id = fleet.start(now, &choice, &self.info.parts);
        control.set_work(fleet.report_load(now));
        drop(fleet);
        Some(CallGuard::new(
            &self.forwarder,
            &self.prints,
            choice,
            call_id,
        ))
    }
}
