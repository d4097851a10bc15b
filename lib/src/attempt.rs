//! One attempt to run a request on an endpoint, from sending it to the start of the response.
//!
//! An attempt of a streamed request ends here with its first token; `delivery` relays the rest.

use std::future::Future;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;

use crate::answer;
use crate::chart::RequestEvent;
use crate::chart::RequestState;
use crate::code::Execution;
use crate::code::ResultCode;
use crate::control::Suspicion;
use crate::dispatcher::Attempt;
use crate::grant::Grant;
use crate::job::Job;
use crate::job::MAX_BUFFERED_BYTES;
use crate::job::RequestBody;
use crate::openai::Refusal;
use crate::policy::Ending;
use crate::upstream::Answer;
use crate::upstream::Call;
use crate::upstream::CallError;
use crate::upstream::CollectedBody;

/// Number of consecutive attempts without a new token after which the request fails.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Total number of attempts that one request may make.
const MAX_ATTEMPTS: u32 = 8;

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct Failure {
    pub ending: Ending,
    /// Error reported to the caller if no further attempt succeeds.
    pub refusal: Refusal,
    /// Whether another endpoint may be tried.
    pub retry: bool,
}

/// Reason why a wait ended before its future was ready.
pub(crate) enum Interrupt {
    /// The key was revoked or the view expired.
    GrantEnded(ResultCode),
    /// The deadline passed.
    Timeout,
}

/// A response whose beginning has arrived.
pub(crate) enum Opened {
    /// An event stream.
    Stream(OpenStream),
    /// Any other response, read up to [`MAX_BUFFERED_BYTES`].
    Buffered(Attempt, Answer, CollectedBody),
}

/// A stream that has delivered its first token.
pub(crate) struct OpenStream {
    pub attempt: Attempt,
    pub answer: Answer,
    /// Bytes that are ready to be sent to the caller.
    pub output: Vec<u8>,
    /// The failure that ended the attempt right after these bytes.
    pub failed: Option<Failure>,
}

impl Job {
    /// Sends the request and waits for the beginning of the response.
    pub(crate) async fn execute(&mut self, mut attempt: Attempt) -> Result<Opened, Failure> {
        let deadline = self.gateway.now() + self.first_response_timeout();
        let mut answer = match self.send(&mut attempt, deadline, true).await {
            Ok(answer) => answer,
            Err(failure) => return Err(self.end_failed_attempt(attempt, failure).await),
        };
        if let Some(failure) = self.rejected(&answer) {
            return Err(self.end_failed_attempt(attempt, failure).await);
        }
        let opened = if self.is_stream() && answer.status == 200 && is_event_stream(&answer.headers)
        {
            let mut output = Vec::new();
            self.read_until_first_token(&mut attempt, &mut answer, deadline, &mut output)
                .await
                .map(|failed| (None, output, failed))
        } else {
            let end = self.end();
            let read = answer.collect(MAX_BUFFERED_BYTES);
            let read = within(&mut self.grant, self.gateway.now(), end, read).await;
            match read {
                Ok(Ok(collected)) => Ok((Some(collected), Vec::new(), None)),
                Ok(Err(_)) => Err(Failure::broken()),
                Err(interrupt) => Err(Failure::interrupted(&interrupt)),
            }
        };
        match opened {
            Ok((Some(collected), ..)) => Ok(Opened::Buffered(attempt, answer, collected)),
            Ok((None, output, failed)) => Ok(Opened::Stream(OpenStream {
                attempt,
                answer,
                output,
                failed,
            })),
            Err(failure) => {
                drop(answer);
                Err(self.end_failed_attempt(attempt, failure).await)
            }
        }
    }

    /// Sends the request to the endpoint of `attempt` and waits for the response headers.
    ///
    /// A stream that has already delivered tokens is sent as a request to resume after them. Only
    /// idempotent requests may use a `pooled` connection.
    pub(crate) async fn send(
        &mut self,
        attempt: &mut Attempt,
        deadline: Instant,
        pooled: bool,
    ) -> Result<Answer, Failure> {
        let view = self.gateway.view().map_err(Failure::not_run)?;
        let address = view
            .endpoint(attempt.endpoint.as_str())
            .map(|e| e.address)
            .ok_or_else(Failure::unreachable)?;
        let tokens = self.progress.relay.tokens();
        let mut headers = self.head.headers.clone();
        let body = match &self.body {
            RequestBody::Engine(body) if tokens > 0 => {
                headers.insert("x-resume-tokens", HeaderValue::from(tokens));
                body.encode(self.class.tier, Some(self.progress.relay.text()))
            }
            RequestBody::Engine(body) => body.encode(self.class.tier, None),
            RequestBody::Service(body) => body.clone(),
        };
        if let RequestBody::Engine(body) = &self.body {
            attempt.prompt = body.prompt;
        }
        self.progress.tokens_at_start = tokens;
        self.progress.relay.reconnect();
        let call = Call {
            address,
            method: self.head.method.clone(),
            path: &self.head.target,
            headers,
            body,
            pooled,
            echo: None,
        };
        let sent = self.client.send(call);
        let now = self.gateway.now();
        // A non-idempotent call is not cancelled when its key is revoked: cancelling it would lose
        // its outcome. The caller is denied the response instead.
        let sent = if self.class.idempotent {
            within(&mut self.grant, now, deadline, sent).await
        } else {
            let remaining = deadline.saturating_duration_since(now);
            let sent = tokio::time::timeout(remaining, sent).await;
            sent.map_err(|_| Interrupt::Timeout)
        };
        match sent {
            Ok(Ok(answer)) => {
                self.progress.ran = true;
                Ok(answer)
            }
            Ok(Err(CallError::Unreachable(_))) => Err(Failure::unreachable()),
            Ok(Err(CallError::Failed(_) | CallError::Mismatched | CallError::InvalidStatus(_))) => {
                Err(Failure::broken())
            }
            Err(interrupt) => Err(Failure::interrupted(&interrupt)),
        }
    }

    /// Returns a failure if the response shows that another endpoint should be tried.
    fn rejected(&self, answer: &Answer) -> Option<Failure> {
        let resumed = self.progress.relay.tokens() > 0;
        match answer.status {
            429 | 503 => Some(Failure {
                ending: Ending::Overloaded,
                refusal: Refusal {
                    code: ResultCode::Overloaded,
                    execution: Execution::Unknown,
                    retry_after: retry_after(&answer.headers),
                },
                retry: true,
            }),
            500.. => Some(Failure {
                ending: Ending::Rejected,
                refusal: Refusal::possibly_executed(ResultCode::EndpointFailed),
                retry: true,
            }),
            status if resumed && (status != 200 || !is_event_stream(&answer.headers)) => {
                Some(Failure {
                    ending: Ending::Rejected,
                    refusal: Refusal::possibly_executed(ResultCode::StreamInterrupted),
                    retry: true,
                })
            }
            _ => None,
        }
    }

    /// Reads events until the first token of this attempt arrives.
    ///
    /// A failure that follows tokens in the same read is returned as `Ok(Some(_))`, so that the
    /// tokens are delivered before the stream is resumed.
    async fn read_until_first_token(
        &mut self,
        attempt: &mut Attempt,
        answer: &mut Answer,
        deadline: Instant,
        output: &mut Vec<u8>,
    ) -> Result<Option<Failure>, Failure> {
        let base = self.progress.tokens_at_start;
        loop {
            let read = answer.next();
            let read = within(&mut self.grant, self.gateway.now(), deadline, read).await;
            let processed = self.process_read(read, output);
            let relay = &self.progress.relay;
            if relay.tokens() > base || relay.is_done() {
                self.record_first_token(attempt);
                return Ok(processed.err());
            }
            processed?;
        }
    }

    /// Feeds the result of one read to the relay, which appends the bytes for the caller to `output`.
    pub(crate) fn process_read(
        &mut self,
        read: Result<std::io::Result<Option<Bytes>>, Interrupt>,
        output: &mut Vec<u8>,
    ) -> Result<(), Failure> {
        let bytes = match read {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None) | Err(_)) => return Err(Failure::broken()),
            Err(interrupt) => return Err(Failure::interrupted(&interrupt)),
        };
        self.progress
            .relay
            .push(&bytes, output)
            .map_err(|_| Failure {
                ending: Ending::Rejected,
                refusal: Refusal::possibly_executed(ResultCode::EndpointFailed),
                retry: true,
            })
    }

    /// Records the first token of an attempt and, once per request, the time to first token.
    pub(crate) fn record_first_token(&mut self, attempt: &mut Attempt) {
        attempt.record_first_token();
        if self.state == RequestState::Running.name() {
            self.fire(RequestEvent::First);
        }
        if self.progress.first.is_none() {
            let elapsed = self.gateway.now() - self.arrived;
            self.progress.first = Some(elapsed);
            self.gateway.metrics().first(&self.class.id, elapsed);
        }
    }

    /// Ends a failed attempt and excludes its endpoint from the next ones.
    ///
    /// A crash is recorded before this returns, so that a request that crashes endpoints can be
    /// quarantined before it runs on another one.
    pub(crate) async fn end_failed_attempt(
        &mut self,
        mut attempt: Attempt,
        failure: Failure,
    ) -> Failure {
        let received = self.progress.relay.tokens() - self.progress.tokens_at_start;
        attempt.output = received;
        let endpoint = attempt.endpoint.clone();
        attempt.end(failure.ending);
        if failure.ending == Ending::Crashed {
            self.gateway
                .crashes()
                .record(&endpoint, self.fingerprint)
                .await;
        }
        // The attempt made progress: endpoints that failed before it may have recovered since.
        if received > 0 {
            self.progress.consecutive_failures = 0;
            self.progress.excluded.clear();
        }
        self.progress.excluded.push(endpoint);
        failure
    }

    /// Prepares the next attempt after a failed one, or returns the refusal if there is none.
    pub(crate) fn prepare_retry(&mut self, failure: &Failure) -> Result<(), Refusal> {
        let progress = &mut self.progress;
        progress.consecutive_failures += 1;
        progress.ran |= failure.refusal.execution != Execution::NotRun;
        let mut refusal = failure.refusal;
        if progress.ran {
            refusal.execution = Execution::Unknown;
        }
        progress.last = Some(refusal);
        let may_retry = failure.retry
            && progress.consecutive_failures < MAX_CONSECUTIVE_FAILURES
            && progress.attempts < MAX_ATTEMPTS
            && (progress.relay.tokens() == 0 || progress.relay.is_resumable());
        self.fire(RequestEvent::Break);
        if !may_retry {
            return Err(refusal);
        }
        if self.gateway.control().suspicion(self.fingerprint) == Suspicion::Quarantined {
            return Err(Refusal::possibly_executed(ResultCode::Quarantined));
        }
        self.is_suspect |= failure.ending == Ending::Crashed;
        self.fire(RequestEvent::Retry);
        Ok(())
    }
}

impl Failure {
    /// Returns the failure of a connection that was lost after bytes had been sent.
    pub(crate) fn broken() -> Self {
        Self {
            ending: Ending::Crashed,
            refusal: Refusal::possibly_executed(ResultCode::EndpointFailed),
            retry: true,
        }
    }

    /// Returns the failure of an endpoint to which no byte could be sent.
    fn unreachable() -> Self {
        Self {
            ending: Ending::Unreachable,
            refusal: ResultCode::NoEndpoint.into(),
            retry: true,
        }
    }

    /// Returns the failure of an attempt that the router gave up before sending anything.
    fn not_run(code: ResultCode) -> Self {
        Self {
            ending: Ending::Cancelled,
            refusal: code.into(),
            retry: false,
        }
    }

    /// Returns the failure of an attempt whose wait was interrupted.
    pub(crate) fn interrupted(interrupt: &Interrupt) -> Self {
        match interrupt {
            Interrupt::GrantEnded(code) => Self {
                ending: Ending::Cancelled,
                refusal: Refusal::possibly_executed(*code),
                retry: false,
            },
            Interrupt::Timeout => Self {
                ending: Ending::TimedOut,
                refusal: Refusal::possibly_executed(ResultCode::EndpointTimeout),
                retry: true,
            },
        }
    }
}

/// Waits for `future` until the deadline passes or the grant ends.
///
/// `now` is the time of the gateway's clock.
pub(crate) async fn within<T>(
    grant: &mut Grant,
    now: Instant,
    deadline: Instant,
    future: impl Future<Output = T>,
) -> Result<T, Interrupt> {
    let remaining = deadline.saturating_duration_since(now);
    if remaining.is_zero() {
        return Err(Interrupt::Timeout);
    }
    // The grant is polled first, so that a future that is always ready cannot outlive it.
    tokio::select! {
        biased;
        code = grant.ended() => Err(Interrupt::GrantEnded(code)),
        value = future => Ok(value),
        () = tokio::time::sleep(remaining) => Err(Interrupt::Timeout),
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.starts_with(answer::EVENT_STREAM))
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
