//! Execution of non-idempotent calls, such as cut orders and payments, at most once.
//!
//! An intent is committed before the first byte is sent to an endpoint, and the outcome once the
//! response has arrived (`docs/design.md`, section 7). Each call runs in a task of its own, so that
//! its outcome is recorded even if the caller disconnects.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use tokio::sync::oneshot;

use crate::answer;
use crate::answer::BodySender;
use crate::attempt::Failure;
use crate::chart::RequestEvent;
use crate::code::Execution;
use crate::code::ResultCode;
use crate::command::Command;
use crate::command::IntentEnd;
use crate::command::IntentKey;
use crate::command::IntentRelease;
use crate::command::IntentStart;
use crate::command::Outcome;
use crate::command::Reply;
use crate::control::Control;
use crate::control::SubmitError;
use crate::dispatcher::Attempt;
use crate::job::Job;
use crate::job::MAX_BUFFERED_BYTES;
use crate::openai::Refusal;
use crate::policy::Ending;
use crate::server;
use crate::server::Response;
use crate::upstream::Answer;
use crate::upstream::CollectedBody;

/// Largest response body that is stored with an outcome, in bytes.
pub const MAX_STORED_BYTES: usize = 64 << 10;

/// Largest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Timeout for the control state to accept an intent.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for the control state to accept an outcome or a release, per attempt.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of attempts to record an outcome; one that is not recorded is reported as unknown.
const MAX_FINISH_ATTEMPTS: u32 = 3;

/// Number of endpoints that are tried as long as no byte of the call was sent.
const MAX_ENDPOINTS_TRIED: u32 = 3;

/// Header that marks a response stored when the call first ran.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Returns the idempotency key that the caller sent.
pub(crate) fn key(headers: &HeaderMap) -> Result<String, ResultCode> {
    let mut values = headers.get_all("idempotency-key").iter();
    let value = values.next().ok_or(ResultCode::IdempotencyKeyRequired)?;
    if values.next().is_some() {
        return Err(ResultCode::BadRequest);
    }
    let key = value.to_str().map_err(|_| ResultCode::BadRequest)?.trim();
    match key.len() {
        0 => Err(ResultCode::IdempotencyKeyRequired),
        1..=MAX_KEY_BYTES => Ok(key.to_owned()),
        _ => Err(ResultCode::BadRequest),
    }
}

/// Runs a non-idempotent call at most once, or returns the stored outcome of an earlier run.
pub(crate) async fn run(job: Job, key: String) -> Result<Response, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let call = AtMostOnceCall {
        key: IntentKey {
            workspace: job.workspace().clone(),
            key,
        },
        control: job.gateway.control().clone(),
        job,
    };
    tokio::spawn(call.run(sender));
    receiver
        .await
        .unwrap_or(Err(Refusal::possibly_executed(ResultCode::OutcomeUnknown)))
}

/// A non-idempotent call and the key of its intent.
struct AtMostOnceCall {
    job: Job,
    key: IntentKey,
    control: Arc<dyn Control>,
}

type ResultSender = oneshot::Sender<Result<Response, Refusal>>;

impl AtMostOnceCall {
    async fn run(mut self, sender: ResultSender) {
        let result = match self.begin().await {
            Ok(None) => self.execute(&sender).await,
            Ok(Some(response)) => {
                self.job.fire(RequestEvent::Cancel);
                Ok(response)
            }
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = &result {
            self.job.fail(refusal);
        }
        let _ = sender.send(result);
    }

    /// Commits the intent, or returns the stored response if the call ran before.
    async fn begin(&self) -> Result<Option<Response>, Refusal> {
        let command = Command::BeginIntent(IntentStart {
            key: self.key.clone(),
            fingerprint: self.job.fingerprint,
            entry: self.control.incarnation().clone(),
            attempt: self.job.id,
        });
        // An intent whose reply was lost is left open: releasing it could cancel the one that was
        // granted to a resend in the meantime.
        let reply = submit(&self.control, command, BEGIN_TIMEOUT)
            .await
            .map_err(|_| ResultCode::ControlUnavailable)?;
        match reply {
            Reply::IntentGranted => Ok(None),
            Reply::IntentDone(outcome) => replay_outcome(outcome).map(Some),
            Reply::IntentUnknown => Err(Refusal::possibly_executed(ResultCode::OutcomeUnknown)),
            Reply::Refused { code, .. } => Err(code.into()),
            _ => Err(ResultCode::Internal.into()),
        }
    }

    /// Runs the call and settles its intent: records the outcome, or releases it if nothing was sent.
    async fn execute(&mut self, sender: &ResultSender) -> Result<Response, Refusal> {
        match self.call(sender).await {
            Ok((attempt, answer)) => self.finish_call(attempt, answer).await,
            Err(refusal) if refusal.execution == Execution::NotRun => {
                self.release_intent().await;
                Err(refusal)
            }
            Err(_) => {
                self.store_outcome(Outcome::Unknown).await;
                Err(Refusal::possibly_executed(ResultCode::OutcomeUnknown))
            }
        }
    }

    /// Tries endpoints until one of them has been sent a byte of the call.
    async fn call(&mut self, sender: &ResultSender) -> Result<(Attempt, Answer), Refusal> {
        self.job.admit()?;
        let mut tries = 0;
        loop {
            let mut attempt = self.job.wait_for_attempt().await?;
            if sender.is_closed() {
                // The caller disconnected and does not see this code, but it releases the intent.
                return Err(ResultCode::KeyWithdrawn.into());
            }
            let view = self.job.gateway.view()?;
            self.job.grant.check(Some(&view))?;
            let end = self.job.end();
            match self.job.send(&mut attempt, end, false).await {
                Ok(answer) => return Ok((attempt, answer)),
                Err(failure) => {
                    tries += 1;
                    self.failed(attempt, failure, tries).await?;
                }
            }
        }
    }

    /// Ends a failed attempt and returns an error unless another endpoint may be tried.
    async fn failed(
        &mut self,
        attempt: Attempt,
        failure: Failure,
        tries: u32,
    ) -> Result<(), Refusal> {
        let failure = self.job.end_failed_attempt(attempt, failure).await;
        let refusal = failure.refusal;
        if refusal.execution != Execution::NotRun || !failure.retry || tries >= MAX_ENDPOINTS_TRIED
        {
            return Err(refusal);
        }
        self.job.prepare_retry(&failure)
    }

    /// Reads the response and records the outcome before the caller gets it.
    async fn finish_call(
        &mut self,
        mut attempt: Attempt,
        mut answer: Answer,
    ) -> Result<Response, Refusal> {
        let rest = self.job.end() - self.job.gateway.now();
        let read = tokio::time::timeout(rest, answer.collect(MAX_BUFFERED_BYTES)).await;
        let collected = match read {
            Ok(Ok(collected)) => collected,
            Ok(Err(_)) | Err(_) => {
                let broken = Failure::broken();
                drop(answer);
                self.job.end_failed_attempt(attempt, broken).await;
                self.store_outcome(Outcome::Unknown).await;
                return Err(Refusal::possibly_executed(ResultCode::OutcomeUnknown));
            }
        };
        attempt.record_first_token();
        self.store_outcome(outcome(&answer, &collected)).await;
        if answer.status < 400 {
            self.job.complete(0, 0);
        } else {
            self.job.fire(RequestEvent::Fail);
        }
        let view = self.job.gateway.view();
        if self.job.grant.check(view.as_deref().ok()).is_err() {
            return Err(Refusal {
                code: ResultCode::KeyWithdrawn,
                execution: Execution::Ran,
                retry_after: None,
            });
        }
        Ok(respond(attempt, answer, collected))
    }

    /// Records the outcome in the control state.
    async fn store_outcome(&self, outcome: Outcome) {
        for _ in 0..MAX_FINISH_ATTEMPTS {
            let command = Command::FinishIntent(IntentEnd {
                key: self.key.clone(),
                entry: self.control.incarnation().clone(),
                attempt: self.job.id,
                outcome: outcome.clone(),
            });
            if submit(&self.control, command, FINISH_TIMEOUT).await.is_ok() {
                return;
            }
        }
        tracing::warn!(request = %self.job.id, "failed to record the outcome of a non-idempotent call; resends get an unknown outcome");
    }

    /// Releases the intent of a call of which no byte was sent, so that a resend may run.
    async fn release_intent(&self) {
        let command = Command::ReleaseIntent(IntentRelease {
            key: self.key.clone(),
            entry: self.control.incarnation().clone(),
            attempt: self.job.id,
        });
        if submit(&self.control, command, FINISH_TIMEOUT)
            .await
            .is_err()
        {
            tracing::warn!(request = %self.job.id, "failed to release the intent of a call that did not run; resends get an unknown outcome");
        }
    }
}

/// Submits a command without blocking the event loop.
async fn submit(
    control: &Arc<dyn Control>,
    command: Command,
    timeout: Duration,
) -> Result<Reply, SubmitError> {
    let control = control.clone();
    tokio::task::spawn_blocking(move || control.submit(command, timeout))
        .await
        .unwrap_or(Err(SubmitError::Unknown))
}

/// Returns the outcome to record, without the body if that is too large.
fn outcome(answer: &Answer, collected: &CollectedBody) -> Outcome {
    let kind = answer.headers.get("content-type");
    let is_short = collected.is_complete && collected.bytes.len() <= MAX_STORED_BYTES;
    Outcome::Answered {
        status: answer.status,
        kind: kind
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        body: is_short.then(|| collected.bytes.clone()),
    }
}

/// Returns the response to a resend of a call with this outcome.
fn replay_outcome(outcome: Outcome) -> Result<Response, Refusal> {
    match outcome {
        Outcome::Answered {
            status,
            kind,
            body: Some(body),
        } => {
            let mut response = answer::plain(status, &kind, body);
            let headers = response.headers_mut();
            headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
            Ok(response)
        }
        Outcome::Answered { body: None, .. } => Err(Refusal {
            code: ResultCode::OutcomeNotStored,
            execution: Execution::Ran,
            retry_after: None,
        }),
        Outcome::Unknown => Err(Refusal::possibly_executed(ResultCode::OutcomeUnknown)),
    }
}

/// Forwards the response; if it is too long to buffer, the rest is streamed as it arrives.
fn respond(attempt: Attempt, mut answer: Answer, collected: CollectedBody) -> Response {
    if collected.is_complete {
        attempt.end(Ending::Finished);
        return answer::forwarded(
            answer.status,
            &answer.headers,
            server::full(collected.bytes),
        );
    }
    let (sender, body) = answer::channel();
    let response = answer::forwarded(answer.status, &answer.headers, body);
    tokio::spawn(async move {
        if send_rest(&mut answer, collected.bytes.into(), &sender).await {
            sender.complete();
        }
        attempt.end(Ending::Finished);
    });
    response
}

/// Sends the buffered bytes and then the rest of the response to the caller; returns whether it is
/// complete.
async fn send_rest(answer: &mut Answer, first: Bytes, sender: &BodySender) -> bool {
    let mut chunk = first;
    while sender.send(chunk).await.is_ok() {
        chunk = match answer.next().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return true,
            Err(error) => {
                tracing::info!(%error, "answer broke off");
                return false;
            }
        };
    }
    false
}
