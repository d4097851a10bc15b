//! Relay of a started stream to its caller, over one endpoint after the other.
//!
//! A stream goes on elsewhere when its endpoint leaves ([`crate::hand_over`]), or when it broke off and
//! its route allows to resume it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng as _;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::code::ResultCode;
use crate::control::Control as _;
use crate::event_cutter::EventCutter;
use crate::fleet;
use crate::fleet::CallOutcome;
use crate::fleet::EndpointQuery;
use crate::forward_job::Failure;
use crate::forward_job::Flight;
use crate::forward_job::Job;
use crate::forward_job::Moved;
use crate::forward_job::Onset;
use crate::forward_job::Started;
use crate::hand_over::Copier;
use crate::hand_over::Place;
use crate::route_table::RetryPolicy;
use crate::work::Work;

/// Time for which a stream that ended waits for the outcome of its copy, which arrives on another
/// connection.
const OUTCOME_LIMIT: Duration = Duration::from_millis(500);

/// How the relay of one endpoint's answer ended.
enum RelayEnd {
    Whole,
    Broken,
    /// It was stopped and goes on elsewhere.
    Moved(Box<Moved>),
    Left,
    Late,
}

/// A run on its way to another endpoint.
type Moving = Pin<Box<dyn Future<Output = Option<Moved>> + Send>>;

impl Job {
    /// Passes a stream on until it ends for good.
    pub(crate) async fn relay(mut self, mut started: Started, sender: Sender<io::Result<Bytes>>) {
        let mut cutter = EventCutter::default();
        loop {
            let outcome = self.relay_one(&mut started, &sender, &mut cutter).await;
            started.flight.end(match outcome {
                RelayEnd::Whole => CallOutcome::Served,
                RelayEnd::Broken => CallOutcome::Broken,
                RelayEnd::Moved(_) | RelayEnd::Left | RelayEnd::Late => CallOutcome::Cancelled,
            });
            let moved = match outcome {
                RelayEnd::Whole => return self.finish(200),
                RelayEnd::Left => {
                    tracing::info!(request = self.ask.id, "the caller left");
                    return;
                }
                RelayEnd::Late => break,
                RelayEnd::Broken => None,
                RelayEnd::Moved(moved) => Some(*moved),
            };
            drop(started);
            match self.resume(&cutter, moved).await {
                Some(next) => started = next,
                None => break,
            }
            cutter.restart();
        }
        tracing::info!(request = self.ask.id, "stream broken off");
        self.forwarder
            .settings
            .metrics
            .refused(ResultCode::StreamInterrupted);
        let error = io::Error::other("the stream broke off");
        // The caller may have left, in which case nobody is to be told.
        let _ = sender.send(Err(error)).await;
    }

    fn is_resumable(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Stream { resumable: true }
    }

    /// Passes pieces on until the answer ends or breaks.
    async fn relay_one(
        &mut self,
        started: &mut Started,
        sender: &Sender<io::Result<Bytes>>,
        cutter: &mut EventCutter,
    ) -> RelayEnd {
        let resumable = self.is_resumable();
        let movable =
            self.route.retry_policy.is_stream() && self.engine.as_ref().is_some_and(|e| e.moves);
        let mut changes = self.forwarder.settings.changes.clone();
        let mut watches = movable;
        let mut moving: Option<Moving> = None;
        let mut moved = None;
        let mut piece = started.first.take();
        // Only whole events are progress: an endpoint may stall and still send a byte now and then.
        let mut progress = Instant::now();
        loop {
            if let Some(bytes) = piece {
                // Only whole events are passed on where another endpoint may have to go on.
                let bytes = match resumable || movable {
                    true => match cutter.push(bytes) {
                        Ok(bytes) => bytes,
                        Err(error) => {
                            tracing::info!(request = self.ask.id, %error, "stream given up");
                            return RelayEnd::Broken;
                        }
                    },
                    false => bytes,
                };
                if !bytes.is_empty() {
                    if sender.send(Ok(bytes)).await.is_err() {
                        return RelayEnd::Left;
                    }
                    progress = Instant::now();
                }
            }
            let left = self.left();
            let silence = match resumable {
                true => self.silence_limit(&started.flight.choice, self.attempts),
                false => Duration::MAX,
            };
            let limit = silence.saturating_sub(progress.elapsed()).min(left);
            if limit.is_zero() {
                // An endpoint that sends all the time never lets the timer below run out.
                return match left.is_zero() {
                    true => RelayEnd::Late,
                    false => RelayEnd::Broken,
                };
            }
            let until = Instant::now() + limit;
            let next = loop {
                tokio::select! {
                    next = timeout_at(until, started.answer.next()) => break next,
                    () = sender.closed() => return RelayEnd::Left,
                    seen = changes.changed(), if watches => {
                        watches = seen.is_ok();
                        if self.forwarder.fleet().is_leaving(started.flight.call_id) {
                            moving = self.start_move(&started.flight);
                            watches &= moving.is_none();
                        }
                    }
                    outcome = wait(&mut moving), if moving.is_some() => {
                        moving = None;
                        moved = outcome;
                        watches = moved.is_none();
                    }
                }
            };
            if let Ok(Ok(Some(bytes))) = next {
                piece = Some(bytes);
                continue;
            }
            if moving.is_some() {
                let outcome = timeout(OUTCOME_LIMIT, wait(&mut moving)).await;
                // Without an outcome in time the run is taken not to have been stopped.
                moved = outcome.unwrap_or_else(|_| {
                    tracing::info!(request = self.ask.id, "no outcome of a move in time");
                    None
                });
            }
            if let Some(moved) = moved {
                return RelayEnd::Moved(Box::new(moved));
            }
            return match next {
                Ok(Ok(_)) if resumable && cutter.is_partial() => RelayEnd::Broken,
                Ok(Ok(_)) => {
                    let rest = cutter.rest();
                    match rest.is_empty() || sender.send(Ok(rest)).await.is_ok() {
                        true => RelayEnd::Whole,
                        false => RelayEnd::Left,
                    }
                }
                Ok(Err(error)) => {
                    self.log_break(&started.flight, &error);
                    RelayEnd::Broken
                }
                Err(_) if limit < left => {
                    self.log_break(&started.flight, &"no whole event in time");
                    RelayEnd::Broken
                }
                Err(_) => RelayEnd::Late,
            };
        }
    }

    /// Starts to move a run to another endpoint, or returns nothing if none has room.
    fn start_move(&self, flight: &Flight) -> Option<Moving> {
        let forwarder = self.forwarder.clone();
        let now = self.now();
        let source = flight.choice.clone();
        let excluded = [source.listed.id.clone()];
        let want = EndpointQuery {
            service: &self.service,
            prompt: self.ask.prompt,
            parts: &[],
            excluded: &excluded,
            time_left: self.left(),
            // A run that goes on reads no prompt, so the division of engines by prompts does not concern it.
            total: Work::default(),
            urgency: self.rank,
            draw: 1.0,
            tie_breaker: rand::rng().random(),
            is_large_cluster: fleet::is_large_cluster(forwarder.settings.control.entries()),
        };
        let flight = {
            let mut fleet = forwarder.fleet();
            let mut choice = fleet
                .choose(now, &want)
                .inspect_err(|reason| {
                    tracing::info!(
                        request = self.ask.id,
                        ?reason,
                        "no endpoint to move a run to"
                    );
                })
                .ok()?;
            // The copy holds what the run has read.
            (choice.unread, choice.unshared, choice.source) = (0, 0, None);
            let call_id = fleet.start(now, &choice, &self.ask.parts);
            drop(fleet);
            Flight::new(&forwarder, self.print, choice, call_id)
        };
        let (client, id, print) = (self.client.clone(), self.ask.id.clone(), self.print);
        Some(Box::pin(async move {
            let dialect = forwarder.settings.dialect.clone();
            let copier = Copier {
                client: &client,
                dialect: dialect.as_ref(),
                source: source.listed.address,
                id: &id,
            };
            let (place, copy) = copier.hand_over(flight.choice.listed.address).await;
            forwarder.settings.metrics.moved(place);
            tracing::info!(
                request = id,
                from = %source.listed.id,
                to = %flight.choice.listed.id,
                outcome = %place,
                "endpoint leaves, run moved"
            );
            let copy = copy?;
            match place {
                Place::Elsewhere => Some(Moved { flight, copy }),
                Place::Resumed => Some(Moved {
                    flight: Flight::start(&forwarder, print, source),
                    copy,
                }),
                Place::InPlace => None,
            }
        }))
    }

    /// Goes on after the last whole event, from the copy of a run or by a new one.
    async fn resume(&mut self, cutter: &EventCutter, moved: Option<Moved>) -> Option<Started> {
        let last = cutter.last().map(str::to_owned);
        let mut end = CallOutcome::Broken;
        let mut moved = moved;
        while moved.is_some() || (self.is_resumable() && self.tries_again(end)) {
            let onset = Onset {
                last: last.clone(),
                moved: moved.take(),
            };
            end = match self.attempt(onset).await {
                Ok(Ok(started)) => return Some(started),
                Ok(Err(Failure::Answered(_, end) | Failure::Silent(end))) => end,
                Ok(Err(Failure::Late)) | Err(_) => return None,
            };
        }
        None
    }
}

async fn wait(moving: &mut Option<Moving>) -> Option<Moved> {
    match moving {
        Some(moving) => moving.await,
        None => None,
    }
}
