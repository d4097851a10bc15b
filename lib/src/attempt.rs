//! Attempts of a request on endpoints, from the first byte sent to the first token received.

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
use crate::job::Input;
use crate::job::Job;
use crate::job::MAX_ANSWER_BYTES;
use crate::openai::Refusal;
use crate::policy::Ending;
use crate::upstream::Answer;
use crate::upstream::Call;
use crate::upstream::CallError;
use crate::upstream::Collected;

/// Attempts in a row that may end without a new token for the caller.
const MAX_FAILURES: u32 = 3;

/// Attempts of one request in all.
const MAX_ATTEMPTS: u32 = 8;

/// An attempt that failed.
#[derive(Debug)]
pub(crate) struct Failure {
    pub ending: Ending,
    pub refusal: Refusal,
    /// Whether another endpoint may be tried.
    pub retry: bool,
}

/// A wait that ended early.
pub(crate) enum Interrupt {
    Ended(ResultCode),
    Timeout,
}

/// An answer of which the first part has arrived.
pub(crate) enum Opened {
    /// An event stream.
    Stream(OpenStream),
    /// Any other answer.
    Whole(Attempt, Answer, Collected),
}

/// A stream that has delivered its first token.
pub(crate) struct OpenStream {
    pub attempt: Attempt,
    pub answer: Answer,
    /// Bytes for the caller.
    pub output: Vec<u8>,
    /// A failure that came with these bytes.
    pub failed: Option<Failure>,
}

impl Job {
    /// Sends the request and waits for the first part of the answer.
    pub(crate) async fn execute(&mut self, mut attempt: Attempt) -> Result<Opened, Failure> {
        let limit = self.gateway.now() + self.first_limit();
        let mut answer = match self.send(&mut attempt, limit, true).await {
            Ok(answer) => answer,
            Err(failure) => return Err(self.broke(attempt, failure).await),
        };
        if let Some(failure) = self.rejected(&answer) {
            return Err(self.broke(attempt, failure).await);
        }
        let opened = if self.is_stream() && answer.status == 200 && is_events(&answer.headers) {
            let mut output = Vec::new();
            self.first_events(&mut attempt, &mut answer, limit, &mut output)
                .await
                .map(|failed| (None, output, failed))
        } else {
            let end = self.end();
            let read = answer.collect(MAX_ANSWER_BYTES);
            let read = within(&mut self.grant, self.gateway.now(), end, read).await;
            match read {
                Ok(Ok(collected)) => Ok((Some(collected), Vec::new(), None)),
                Ok(Err(_)) => Err(Failure::broken()),
                Err(interrupt) => Err(Failure::interrupted(&interrupt)),
            }
        };
        match opened {
            Ok((Some(collected), ..)) => Ok(Opened::Whole(attempt, answer, collected)),
            Ok((None, output, failed)) => Ok(Opened::Stream(OpenStream {
                attempt,
                answer,
                output,
                failed,
            })),
            Err(failure) => {
                drop(answer);
                Err(self.broke(attempt, failure).await)
            }
        }
    }

    /// Sends the request to the endpoint of an attempt.
    pub(crate) async fn send(
        &mut self,
        attempt: &mut Attempt,
        limit: Instant,
        pooled: bool,
    ) -> Result<Answer, Failure> {
        let view = self.gateway.view().map_err(Failure::not_run)?;
        let address = view
            .endpoint(attempt.endpoint.as_str())
            .map(|e| e.address)
            .ok_or_else(Failure::unreachable)?;
        let tokens = self.progress.relay.tokens();
        let mut headers = self.head.headers.clone();
        let body = match &self.input {
            Input::Engine(body) if tokens > 0 => {
                headers.insert("x-resume-tokens", HeaderValue::from(tokens));
                body.encode(self.class.tier, Some(self.progress.relay.text()))
            }
            Input::Engine(body) => body.encode(self.class.tier, None),
            Input::Service(body) => body.clone(),
        };
        if let Input::Engine(body) = &self.input {
            attempt.prompt = body.prompt;
        }
        self.progress.base = tokens;
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
        // A call that must not be repeated is not cut when its key is withdrawn, because cutting it
        // would only lose its outcome; the caller is refused the answer instead.
        let sent = if self.class.idempotent {
            within(&mut self.grant, now, limit, sent).await
        } else {
            let rest = limit.saturating_duration_since(now);
            let sent = tokio::time::timeout(rest, sent).await;
            sent.map_err(|_| Interrupt::Timeout)
        };
        match sent {
            Ok(Ok(answer)) => {
                self.progress.ran = true;
                Ok(answer)
            }
            Ok(Err(CallError::Unreachable(_))) => Err(Failure::unreachable()),
            Ok(Err(CallError::Failed(_) | CallError::Crossed)) => Err(Failure::broken()),
            Err(interrupt) => Err(Failure::interrupted(&interrupt)),
        }
    }

    /// Returns a failure if the endpoint could not serve the request but another one might.
    fn rejected(&self, answer: &Answer) -> Option<Failure> {
        let resumed = self.progress.relay.tokens() > 0;
        match answer.status {
            429 | 503 => Some(Failure {
                ending: Ending::Overloaded,
                refusal: Refusal {
                    code: ResultCode::Overloaded,
                    execution: Execution::Unknown,
                    retry: retry_after(&answer.headers),
                },
                retry: true,
            }),
            500.. => Some(Failure {
                ending: Ending::Rejected,
                refusal: Refusal::unknown(ResultCode::EndpointFailed),
                retry: true,
            }),
            status if resumed && (status != 200 || !is_events(&answer.headers)) => Some(Failure {
                ending: Ending::Rejected,
                refusal: Refusal::unknown(ResultCode::StreamInterrupted),
                retry: true,
            }),
            _ => None,
        }
    }

    /// Reads events until the first token of this attempt.
    ///
    /// A failure that comes together with tokens is returned beside them, so that they are
    /// delivered before the stream is resumed.
    async fn first_events(
        &mut self,
        attempt: &mut Attempt,
        answer: &mut Answer,
        limit: Instant,
        output: &mut Vec<u8>,
    ) -> Result<Option<Failure>, Failure> {
        let base = self.progress.base;
        loop {
            let read = answer.next();
            let read = within(&mut self.grant, self.gateway.now(), limit, read).await;
            let taken = self.take(read, output);
            let relay = &self.progress.relay;
            if relay.tokens() > base || relay.is_done() {
                self.first_token(attempt);
                return Ok(taken.err());
            }
            taken?;
        }
    }

    /// Passes the result of one read through the relay.
    pub(crate) fn take(
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
                refusal: Refusal::unknown(ResultCode::EndpointFailed),
                retry: true,
            })
    }

    pub(crate) fn first_token(&mut self, attempt: &mut Attempt) {
        attempt.first_token();
        if self.state == RequestState::Running.name() {
            self.fire(RequestEvent::First);
        }
        if self.progress.first.is_none() {
            let elapsed = self.gateway.now() - self.arrived;
            self.progress.first = Some(elapsed);
            self.gateway.metrics().first(&self.class.id, elapsed);
        }
    }

    /// Ends a failed attempt: reports a crash before the request can run elsewhere.
    pub(crate) async fn broke(&mut self, mut attempt: Attempt, failure: Failure) -> Failure {
        let received = self.progress.relay.tokens() - self.progress.base;
        attempt.output = received;
        let endpoint = attempt.endpoint.clone();
        attempt.end(failure.ending);
        if failure.ending == Ending::Crashed {
            self.gateway
                .crashes()
                .record(&endpoint, self.fingerprint)
                .await;
        }
        // An endpoint that failed before the last token may have recovered since.
        if received > 0 {
            self.progress.failures = 0;
            self.progress.excluded.clear();
        }
        self.progress.excluded.push(endpoint);
        failure
    }

    /// Decides whether another attempt follows a failed one.
    pub(crate) fn recover(&mut self, failure: &Failure) -> Result<(), Refusal> {
        let progress = &mut self.progress;
        progress.failures += 1;
        progress.ran |= failure.refusal.execution != Execution::NotRun;
        let mut refusal = failure.refusal;
        if progress.ran {
            refusal.execution = Execution::Unknown;
        }
        progress.last = Some(refusal);
        let may_retry = failure.retry
            && progress.failures < MAX_FAILURES
            && progress.attempts < MAX_ATTEMPTS
            && (progress.relay.tokens() == 0 || progress.relay.is_resumable());
        self.fire(RequestEvent::Break);
        if !may_retry {
            return Err(refusal);
        }
        if self.gateway.control().suspicion(self.fingerprint) == Suspicion::Quarantined {
            return Err(Refusal::unknown(ResultCode::Quarantined));
        }
        self.suspect |= failure.ending == Ending::Crashed;
        self.fire(RequestEvent::Retry);
        Ok(())
    }
}

impl Failure {
    pub(crate) fn broken() -> Self {
        Self {
            ending: Ending::Crashed,
            refusal: Refusal::unknown(ResultCode::EndpointFailed),
            retry: true,
        }
    }

    fn unreachable() -> Self {
        Self {
            ending: Ending::Unreachable,
            refusal: ResultCode::NoEndpoint.into(),
            retry: true,
        }
    }

    fn not_run(code: ResultCode) -> Self {
        Self {
            ending: Ending::Cancelled,
            refusal: code.into(),
            retry: false,
        }
    }

    pub(crate) fn interrupted(interrupt: &Interrupt) -> Self {
        match interrupt {
            Interrupt::Ended(code) => Self {
                ending: Ending::Cancelled,
                refusal: Refusal::unknown(*code),
                retry: false,
            },
            Interrupt::Timeout => Self {
                ending: Ending::TimedOut,
                refusal: Refusal::unknown(ResultCode::EndpointTimeout),
                retry: true,
            },
        }
    }
}

/// Waits for `work`, but not beyond a time limit and not beyond the end of the grant.
pub(crate) async fn within<T>(
    grant: &mut Grant,
    now: Instant,
    limit: Instant,
    work: impl Future<Output = T>,
) -> Result<T, Interrupt> {
    let rest = limit.saturating_duration_since(now);
    if rest.is_zero() {
        return Err(Interrupt::Timeout);
    }
    // The grant comes first, so that work that is always ready cannot outlive it.
    tokio::select! {
        biased;
        code = grant.ended() => Err(Interrupt::Ended(code)),
        value = work => Ok(value),
        () = tokio::time::sleep(rest) => Err(Interrupt::Timeout),
    }
}

fn is_events(headers: &HeaderMap) -> bool {
    headers
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.starts_with(answer::EVENT_STREAM))
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
