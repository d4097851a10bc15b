//! Relay of a started stream to its caller, possibly from several endpoints in succession.
//!
//! A stream continues at another endpoint when its endpoint is about to stop ([`crate::hand_over`]), or
//! when it was interrupted and its route is resumable.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng as _;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::answer::BodySender;
use crate::code::ResultCode;
use crate::control::Control as _;
use crate::dialect::RunCopy;
use crate::event_framer::EventFramer;
use crate::fair_timeout::fair_timeout;
use crate::fleet;
use crate::fleet::CallOutcome;
use crate::fleet::Choice;
use crate::fleet::EndpointQuery;
use crate::forward_call::CallGuard;
use crate::forward_call::Failure;
use crate::forward_call::MovedRun;
use crate::forward_call::StartPoint;
use crate::forward_call::StartedResponse;
use crate::forward_call::Target;
use crate::forward_job::Job;
use crate::forward_job::has_not_run;
use crate::forward_stall::SilenceTimer;
use crate::forward_stall::SilentCall;
use crate::hand_over::COPY_TIMEOUT;
use crate::hand_over::MoveOutcome;
use crate::hand_over::RunCopier;
use crate::retry::RetryChance;
use crate::route_table::RetryPolicy;
use crate::service_load::ServiceLoad;
use crate::upstream;
use crate::upstream::Delimiter;

/// Time for which a complete stream waits for the outcome of a pending move, which arrives on another
/// connection.
const MOVE_OUTCOME_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which the caller of a response that broke off may leave it unread before its connection is reset.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(500);

/// How the relay of the response of one endpoint ended.
enum RelayEnd {
    /// The response is complete.
    Complete,
    /// The response was interrupted.
    Broken,
    /// The endpoint is silent, and another one, where a call is reserved, may go on with the stream.
    Silent(Box<MovedRun>),
    /// The run was stopped and continues from its copy.
    Moved(Box<MovedRun>),
    /// The caller disconnected.
    Disconnected,
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Where a run continues after an attempt to move it.
enum MoveEnd {
    /// At its endpoint.
    InPlace,
    /// At its endpoint, unless that has stopped it.
    Unknown,
    /// Elsewhere, or at its endpoint from the copy of the stopped run.
    Moved(Box<MovedRun>),
}

impl MoveEnd {
    fn is_moved(&self) -> bool {
        matches!(self, Self::Moved(_))
    }

    /// Returns what is known after another attempt: once a run may have been stopped, a further attempt that did not
    /// move it tells nothing new.
    fn followed_by(self, next: Self) -> Self {
        match (self, next) {
            (Self::Unknown, Self::InPlace) => Self::Unknown,
            (_, next) => next,
        }
    }
}

/// Why a stream has to continue after its last complete event.
enum Interruption {
    /// Its endpoint broke off.
    Broken,
    /// Its endpoint is silent; a call is reserved at another one.
    Silent(SilentCall, Box<MovedRun>),
    /// The run was stopped for a move.
    Moved(Box<MovedRun>),
}

/// Where a stream continues.
enum Continuation {
    /// At its endpoint, as if it had not been interrupted.
    InPlace(StartedResponse),
    /// With a response that begins after its last complete event.
    Elsewhere(StartedResponse),
}

/// A move of a run to another endpoint that is in progress.
type PendingMove = Pin<Box<dyn Future<Output = MoveEnd> + Send>>;

impl Job {
    /// Relays a stream until it is complete or cannot be continued, which breaks the response off.
    pub(crate) async fn relay(mut self, mut started: StartedResponse, sender: BodySender) {
        let mut framer = EventFramer::default();
        let reason = loop {
            let outcome = self
                .relay_response(&mut started, &sender, &mut framer)
                .await;
            let (reason, interruption) = match outcome {
                RelayEnd::Complete => {
                    started.guard.end(CallOutcome::Served);
                    sender.complete();
                    let response_time = self.now().saturating_duration_since(started.guard.sent);
                    let answer = &started.answer;
                    return self.finish(answer.status, answer.delimiter, response_time);
                }
                RelayEnd::Disconnected => {
                    tracing::info!(request = self.info.id, "caller disconnected");
                    return;
                }
                RelayEnd::DeadlinePassed => {
                    drop(started);
                    break "the deadline has passed";
                }
                RelayEnd::Broken => {
                    started.guard.end(CallOutcome::Broken);
                    drop(started);
                    ("the endpoint broke off", Interruption::Broken)
                }
                RelayEnd::Silent(next) => {
                    let call = SilentCall::Started(Box::new(started));
                    ("the endpoint was silent", Interruption::Silent(call, next))
                }
                RelayEnd::Moved(run) => {
                    drop(started);
                    ("the run was stopped for a move", Interruption::Moved(run))
                }
            };
            let next = tokio::select! {
                next = self.resume(&framer, interruption) => next,
                () = sender.closed() => {
                    tracing::info!(request = self.info.id, "caller disconnected");
                    return;
                }
            };
            started = match next {
                Some(Continuation::InPlace(response)) => response,
                Some(Continuation::Elsewhere(response)) => {
                    framer.restart();
                    response
                }
                None => break reason,
            };
        };
        tracing::info!(
            request = self.info.id,
            reason,
            attempts = self.attempts,
            left_ms = self.time_left().as_millis() as u64,
            "stream broken off"
        );
        self.forwarder
            .settings
            .metrics
            .refused(ResultCode::StreamInterrupted);
        if timeout(UNREAD_TIMEOUT, sender.taken()).await.is_err()
            && let Some(hang_up) = &self.hang_up
        {
            tracing::info!(
                request = self.info.id,
                "caller does not read, connection reset"
            );
            hang_up.reset();
        }
    }

    /// Sends bytes to the caller, waiting until there is room in its buffer or the deadline has passed.
    async fn send_to_caller(&self, bytes: Bytes, sender: &BodySender) -> Result<(), RelayEnd> {
        match timeout(self.time_left(), sender.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RelayEnd::Disconnected),
            Err(_) => Err(RelayEnd::DeadlinePassed),
        }
    }

    /// Returns whether another endpoint may continue the response after an interruption.
    fn is_resumable(&self) -> bool {
        self.stream.is_some() && self.route.retry_policy == RetryPolicy::Stream { resumable: true }
    }

    /// Returns whether the run may move to another engine.
    fn is_movable(&self) -> bool {
        self.stream.is_some()
            && self.route.retry_policy.is_stream()
            && self.engine.as_ref().is_some_and(|e| e.moves)
    }

    /// Returns whether the response of an endpoint, which has ended in order, is complete.
    fn is_complete(&self, answer: &upstream::Answer, framer: &EventFramer) -> bool {
        let Some(head) = &self.stream else {
            return true;
        };
        // An endpoint that continues a stream sends whole events.
        let may_be_partial = !self.is_resumable() && !framer.is_restarted();
        head.is_complete(answer.delimiter, framer) && (may_be_partial || !framer.is_partial())
    }

    /// Relays the response of one endpoint until it ends, is interrupted or is moved.
    async fn relay_response(
        &mut self,
        started: &mut StartedResponse,
        sender: &BodySender,
        framer: &mut EventFramer,
    ) -> RelayEnd {
        let is_resumable = self.is_resumable();
        let is_movable = self.is_movable();
        let mut changes = self.forwarder.settings.changes.clone();
        let mut is_watching = is_movable;
        let mut pending_move: Option<PendingMove> = None;
        let mut last_move = match started.stop_unknown {
            true => MoveEnd::Unknown,
            false => MoveEnd::InPlace,
        };
        let mut chunk = started.first.take();
        let stall_timeout = match is_resumable {
            true => self.stall_timeout(&started.guard.choice, self.attempts),
            false => Duration::MAX,
        };
        // Only complete events end a silence, since a stalled endpoint may still send single bytes.
        let mut silence = SilenceTimer::new(Instant::now(), stall_timeout);
        loop {
            if let Some(bytes) = chunk.take() {
                // If another endpoint may have to continue the stream, only complete events are sent.
                let bytes = match is_resumable || is_movable {
                    true => match framer.push(bytes) {
                        Ok(bytes) => bytes,
                        Err(error) => {
                            tracing::info!(
                                request = self.info.id,
                                %error,
                                "cannot forward the stream"
                            );
                            return RelayEnd::Broken;
                        }
                    },
                    false => {
                        framer.observe(&bytes);
                        bytes
                    }
                };
                if !bytes.is_empty() {
                    if let Err(end) = self.send_to_caller(bytes, sender).await {
                        return end;
                    }
                    silence.restart(Instant::now());
                }
            }
            let left = self.time_left();
            if left.is_zero() {
                return RelayEnd::DeadlinePassed;
            }
            // The timer below never fires while the endpoint keeps sending.
            let is_moving = pending_move.is_some() || last_move.is_moved();
            if silence.is_due(Instant::now())
                && !is_moving
                && framer.is_resumable()
                && let Some(next) =
                    self.reserve_successor(&started.guard.choice, self.attempts, &mut silence)
            {
                started.stop_unknown = matches!(last_move, MoveEnd::Unknown);
                return RelayEnd::Silent(Box::new(next));
            }
            let deadline = silence.next_check(Instant::now() + left);
            let next = loop {
                tokio::select! {
                    next = timeout_at(deadline, started.answer.next()) => break next,
                    () = sender.closed() => return RelayEnd::Disconnected,
                    changed = changes.changed(), if is_watching => {
                        is_watching = changed.is_ok();
                        if framer.is_resumable()
                            && self.forwarder.fleet().is_leaving(started.guard.call_id)
                        {
                            pending_move = self.start_move(&started.guard);
                            is_watching &= pending_move.is_none();
                        }
                    }
                    outcome = wait_for_move(&mut pending_move), if pending_move.is_some() => {
                        pending_move = None;
                        last_move = last_move.followed_by(outcome);
                        is_watching = !last_move.is_moved();
                    }
                }
            };
            match next {
                Ok(Ok(Some(bytes))) => {
                    chunk = Some(bytes);
                    continue;
                }
                Err(_) if !last_move.is_moved() && !self.time_left().is_zero() => continue,
                _ => {}
            }
            if pending_move.is_some() {
                let is_marked = started.answer.delimiter != Delimiter::Close;
                let timeout = match next {
                    Ok(Ok(_)) if is_marked && !framer.is_partial() => MOVE_OUTCOME_TIMEOUT,
                    // The engine broke off, probably because it was told to stop the run. It still copies
                    // what has changed, and only the outcome tells where the stream continues.
                    _ => COPY_TIMEOUT,
                };
                let wait = fair_timeout(
                    timeout.min(self.time_left()),
                    wait_for_move(&mut pending_move),
                );
                let outcome = tokio::select! {
                    outcome = wait => outcome.unwrap_or_else(|_| {
                        tracing::info!(
                            request = self.info.id,
                            "timed out waiting for the outcome of a move"
                        );
                        MoveEnd::Unknown
                    }),
                    () = sender.closed() => return RelayEnd::Disconnected,
                };
                last_move = last_move.followed_by(outcome);
            }
            let may_be_stopped = match last_move {
                MoveEnd::Moved(run) => return RelayEnd::Moved(run),
                MoveEnd::Unknown => true,
                MoveEnd::InPlace => false,
            };
            return match next {
                Ok(Ok(_)) if !self.is_complete(&started.answer, framer) => {
                    self.log_interruption(&started.guard, &"the stream ended within an event");
                    RelayEnd::Broken
                }
                // An engine that stops a run closes its stream between two events.
                Ok(Ok(_)) if may_be_stopped && started.answer.delimiter == Delimiter::Close => {
                    self.log_interruption(&started.guard, &"the run may have been stopped");
                    RelayEnd::Broken
                }
                Ok(Ok(_))
                    if !self
                        .is_end_confirmed(started.answer.delimiter, &started.guard)
                        .await =>
                {
                    self.log_interruption(&started.guard, &"the endpoint has ended");
                    RelayEnd::Broken
                }
                Ok(Ok(_)) => {
                    let remainder = framer.take_partial();
                    match remainder.is_empty() {
                        true => RelayEnd::Complete,
                        false => match self.send_to_caller(remainder, sender).await {
                            Ok(()) => RelayEnd::Complete,
                            Err(end) => end,
                        },
                    }
                }
                Ok(Err(error)) => {
                    self.log_interruption(&started.guard, &error);
                    RelayEnd::Broken
                }
                Err(_) => RelayEnd::DeadlinePassed,
            };
        }
    }

    /// Starts to move a run to another endpoint, or returns `None` if none can take it.
    fn start_move(&self, guard: &CallGuard) -> Option<PendingMove> {
        let forwarder = self.forwarder.clone();
        let now = self.now();
        let source = guard.choice.clone();
        // An endpoint that lacked the copy of an earlier move is not asked again.
        let mut excluded = self.excluded.clone();
        excluded.push(source.listed.id.clone());
        let query = EndpointQuery {
            service: &self.service,
            prompt: self.info.prompt,
            parts: &[],
            excluded: &excluded,
            time_left: self.time_left(),
            // A moved run reads no prompt, so the division of engines by prompt length does not apply.
            total: ServiceLoad::default(),
            urgency: self.rank,
            is_started: true,
            draw: 0.0,
            tie_breaker: rand::rng().random(),
            is_large_cluster: fleet::is_large_cluster(forwarder.settings.control.instance_count()),
        };
        let guard = {
            let mut fleet = forwarder.fleet();
            let mut choice = forwarder
                .select_endpoint(&mut fleet, now, &query)
                .inspect_err(|reason| {
                    tracing::info!(
                        request = self.info.id,
                        ?reason,
                        "no endpoint can take over the run"
                    );
                })
                .ok()?;
            // The copy contains the state of the prompt, which is not read again.
            (choice.prefill_tokens, choice.unshared_tokens, choice.source) = (0, 0, None);
            let call_id = fleet.start(now, &choice, &self.info.parts);
            drop(fleet);
            CallGuard::new(&forwarder, &self.prints, choice, call_id)
        };
        let (client, id, prints) = (
            self.client.clone(),
            self.info.id.clone(),
            self.prints.clone(),
        );
        Some(Box::pin(async move {
            let dialect = forwarder.settings.dialect.clone();
            let copier = RunCopier {
                client: &client,
                dialect: dialect.as_ref(),
                source: source.listed.address,
                id: &id,
            };
            let (move_outcome, copy) = copier.hand_over(guard.choice.listed.address).await;
            forwarder.settings.metrics.moved(move_outcome);
            tracing::info!(
                request = id,
                from = %source.listed.id,
                to = %guard.choice.listed.id,
                outcome = %move_outcome,
                "endpoint leaves, run moved"
            );
            let (guard, origin) = match move_outcome {
                MoveOutcome::Elsewhere => (guard, Some(source)),
                // Nothing new is sent to the engine that stopped the run; the stream goes on as one that
                // broke off.
                MoveOutcome::Resumed if forwarder.is_evacuated(&source.listed.zone) => {
                    return MoveEnd::Unknown;
                }
                MoveOutcome::Resumed => (CallGuard::start(&forwarder, &prints, source), None),
                MoveOutcome::Unknown => return MoveEnd::Unknown,
                MoveOutcome::InPlace => return MoveEnd::InPlace,
            };
            MoveEnd::Moved(Box::new(MovedRun {
                guard,
                copy,
                origin,
            }))
        }))
    }

    /// Continues the stream after the last complete event: from the copy of the run, in a new attempt, or at its
    /// silent endpoint if the successor fails.
    async fn resume(
        &mut self,
        framer: &EventFramer,
        interruption: Interruption,
    ) -> Option<Continuation> {
        if !framer.is_resumable() {
            tracing::info!(
                request = self.info.id,
                "the last event has no ID after which the stream could continue"
            );
            return None;
        }
        let last_event_id = framer.last().map(str::to_owned);
        let mut outcome = CallOutcome::Broken;
        let (mut target, mut silent, mut origin) = match interruption {
            Interruption::Broken => (None, None, None),
            Interruption::Silent(call, next) => (Some(Target::Reserved(next)), Some(call), None),
            Interruption::Moved(mut run) => {
                let origin = run.origin.take().map(|origin| (origin, run.copy.clone()));
                (Some(Target::Reserved(run)), None, origin)
            }
        };
        while target.is_some() || (self.is_resumable() && self.take_retry(outcome)) {
            let start_point = StartPoint {
                is_started: true,
                last_event_id: last_event_id.clone(),
                target: target.take().unwrap_or_default(),
            };
            let left = silent.as_ref().map(|call| call.choice().clone());
            let (result, kept) = match silent.take() {
                Some(call) => self.attempt_beside(call, start_point).await,
                None => (self.attempt(start_point).await, None),
            };
            match kept {
                Some(SilentCall::Started(response)) => {
                    return Some(Continuation::InPlace(*response));
                }
                Some(SilentCall::Pending(call)) => {
                    target = Some(Target::Pending(call));
                    continue;
                }
                None => origin = origin.or(left.map(|choice| (choice, None))),
            }
            outcome = match result {
                Ok(Ok(started)) => return Some(Continuation::Elsewhere(started)),
                Ok(Err(Failure::Answered(_, outcome) | Failure::NoResponse(outcome))) => outcome,
                Ok(Err(Failure::Silent(call, next))) => {
                    silent = Some(SilentCall::Pending(call));
                    target = Some(Target::Reserved(next));
                    continue;
                }
                Ok(Err(Failure::DeadlinePassed)) | Err(_) => return None,
            };
            target = self.start_return(&mut origin, outcome);
        }
        None
    }

    /// Starts the return of a run to its endpoint after the one that was to continue it has not done so.
    ///
    /// The endpoint that stopped the run still holds it, and one that was silent may have been busy.
    fn start_return(
        &self,
        origin: &mut Option<(Choice, Option<RunCopy>)>,
        outcome: CallOutcome,
    ) -> Option<Target> {
        let (choice, copy) = origin.take_if(|(choice, copy)| {
            (has_not_run(outcome) || copy.is_none())
                && !self.forwarder.is_evacuated(&choice.listed.zone)
        })?;
        if copy.is_none() && !self.forwarder.spend_retry(&self.service, RetryChance::High) {
            return None;
        }
        tracing::info!(
            request = self.info.id,
            endpoint = %choice.listed.id,
            outcome = outcome.name(),
            "the run returns to its endpoint"
        );
        Some(Target::Reserved(Box::new(MovedRun {
            guard: CallGuard::start(&self.forwarder, &self.prints, choice),
            copy,
            origin: None,
        })))
    }
}

/// Waits for the outcome of a pending move.
async fn wait_for_move(pending_move: &mut Option<PendingMove>) -> MoveEnd {
    match pending_move {
        Some(pending_move) => pending_move.await,
        None => MoveEnd::InPlace,
    }
}
