//! Responses to callers of forwarded requests: buffered, or passed on as they arrive.

use std::io;
use std::time::Duration;

use http::HeaderMap;
use tokio::time::timeout;

use crate::answer;
use crate::code::ResultCode;
use crate::event_framer::EventFramer;
use crate::fleet::CallOutcome;
use crate::forward::end_to_end_headers;
use crate::forward_call::CallGuard;
use crate::forward_call::StartedResponse;
use crate::forward_job::Job;
use crate::forward_job::Refusal;
use crate::route_table::RetryPolicy;
use crate::server;
use crate::server::Response;
use crate::stream_head::StreamHead;
use crate::upstream;
use crate::upstream::Delimiter;

/// Size up to which a response is buffered completely before it is sent; a larger one is streamed.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

impl Job {
    /// Sends a started response to the caller: as a stream, or buffered if it is small enough.
    pub(crate) async fn send_response(
        mut self,
        started: StartedResponse,
    ) -> Result<Response, Refusal> {
        if self.route.retry_policy.is_stream() && started.answer.status < 300 {
            return Ok(self.stream(started));
        }
        let StartedResponse {
            mut answer,
            mut guard,
            first,
            stop_unknown,
        } = started;
        let (status, headers) = (answer.status, end_to_end_headers(&answer.headers));
        let mut buffered = first.map_or_else(Vec::new, Vec::from);
        let left = self.answer_time_left();
        let mut held = Vec::new();
        let read_all = timeout(left, async {
            while buffered.len() <= MAX_BUFFERED_BYTES {
                let Some(chunk) = answer.next().await? else {
                    return Ok::<_, io::Error>(true);
                };
                buffered.extend_from_slice(&chunk);
                match answer::try_hold(chunk.len()) {
                    Some(room) => held.push(room),
                    None => break,
                }
            }
            Ok(false)
        });
        let read_all = match read_all.await {
            Ok(Ok(true)) if is_cut_stream(&answer, self.route.retry_policy, &buffered) => {
                Ok(Err(io::Error::other("the stream ended within an event")))
            }
            Ok(Ok(true)) if !self.is_end_confirmed(answer.delimiter, &guard).await => {
                Ok(Err(io::Error::other("the endpoint has ended")))
            }
            other => other,
        };
        match read_all {
            Ok(Ok(true)) => {
                guard.end(if status < 500 {
                    CallOutcome::Served
                } else {
                    CallOutcome::Failed
                });
                let response_time = self.now().saturating_duration_since(guard.sent);
                self.finish(status, answer.delimiter, response_time);
                Ok(build_response(status, headers, server::full(buffered)))
            }
            Ok(Ok(false)) => {
                drop(held);
                let started = StartedResponse {
                    answer,
                    guard,
                    first: Some(buffered.into()),
                    stop_unknown,
                };
                Ok(self.stream(started))
            }
            Ok(Err(error)) => {
                self.log_interruption(&guard, &error);
                guard.end(CallOutcome::Broken);
                drop(guard);
                drop(answer);
                // Nothing was sent to the caller yet, so a repeatable request can start over.
                self.may_have_run = true;
                if self.take_retry(CallOutcome::Broken) {
                    return Box::pin(self.run()).await;
                }
                Err(ResultCode::EndpointFailed.into())
            }
            Err(_) => Err(ResultCode::EndpointTimeout.into()),
        }
    }

    /// Returns whether the endpoint of a body that ended in order confirms that it is complete.
    pub(crate) async fn is_end_confirmed(&self, end: Delimiter, guard: &CallGuard) -> bool {
        end != Delimiter::Close || self.forwarder.is_running(&guard.choice.listed).await
    }

    /// Streams a response to the caller.
    fn stream(mut self, started: StartedResponse) -> Response {
        self.stream = StreamHead::of(&started.answer, self.route.retry_policy);
        let status = started.answer.status;
        let headers = end_to_end_headers(&started.answer.headers);
        let (sender, body) = answer::channel();
        tokio::spawn(self.relay(started, sender));
        build_response(status, headers, body)
    }

    /// Records a complete response in the metrics and the log; `end` names the evidence that it is complete.
    ///
    /// The response took `response_time` from sending the request to the endpoint.
    pub(crate) fn finish(&self, status: u16, end: Delimiter, response_time: Duration) {
        self.forwarder
            .record_response_time(&self.route.id, response_time);
        let took = self.now().saturating_duration_since(self.arrived);
        self.forwarder
            .settings
            .metrics
            .served(&self.service, status, took);
        tracing::info!(
            request = self.info.id,
            status,
            attempts = self.attempts,
            took_ms = took.as_millis() as u64,
            %end,
            "answered"
        );
    }
}

/// Returns whether a body that was read to its end is an event stream that broke off.
fn is_cut_stream(answer: &upstream::Answer, route: RetryPolicy, body: &[u8]) -> bool {
    let Some(head) = StreamHead::of(answer, route) else {
        return false;
    };
    let mut events = EventFramer::default();
    events.observe(body);
    !head.is_complete(answer.delimiter, &events)
}

fn build_response(status: u16, headers: HeaderMap, body: server::Body) -> Response {
    let mut response = http::Response::new(body);
    // The status of a parsed response is valid; the fallback must not look like a success.
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
