//! Responses to callers.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::ids::RequestId;
use crate::openai::Refusal;
use crate::server;
use crate::server::Body;
use crate::server::Response;

/// Media type of JSON.
pub const JSON: &str = "application/json";

/// Media type of event streams.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Pieces of a body that wait for the caller to read them.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// Header that names the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Retry hint of a refusal that is expected to pass and says nothing more precise.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Headers of an endpoint's answer that are passed on.
const FORWARDED_HEADERS: &[&str] = &[
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-range",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
];

/// A response body that another task fills; an error aborts the connection.
pub struct ChannelBody(mpsc::Receiver<io::Result<Bytes>>);

impl ChannelBody {
    /// Creates a body of the pieces that arrive on a channel.
    pub fn new(receiver: mpsc::Receiver<io::Result<Bytes>>) -> Self {
        Self(receiver)
    }
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0
            .poll_recv(context)
            .map(|chunk| chunk.map(|c| c.map(Frame::data)))
    }
}

/// Creates a body with the sender that fills it.
pub fn channel() -> (mpsc::Sender<io::Result<Bytes>>, Body) {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    (sender, ChannelBody(receiver).boxed_unsync())
}

/// Returns a response with a whole body.
pub fn plain(status: u16, kind: &str, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(server::full(body));
    set_status(&mut response, status);
    if let Ok(kind) = HeaderValue::from_str(kind) {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    response
}

/// Returns a response that passes on an endpoint's status and headers.
pub fn forwarded(status: u16, headers: &HeaderMap, body: Body) -> Response {
    let mut response = http::Response::new(body);
    set_status(&mut response, status);
    for (name, value) in headers {
        if FORWARDED_HEADERS.contains(&name.as_str()) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}

/// Returns a response that streams events.
pub fn events(body: Body) -> Response {
    let mut response = http::Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    response
}

/// Returns the response to a request that was refused or failed.
pub fn refusal(id: RequestId, refusal: &Refusal) -> Response {
    let status = refusal.code.status();
    let refusal = &Refusal {
        retry: refusal
            .retry
            .or(matches!(status, 429 | 503).then_some(DEFAULT_RETRY_AFTER)),
        ..*refusal
    };
    let mut response = plain(status, JSON, refusal.body(id));
    let headers = response.headers_mut();
    if let Some(retry) = refusal.retry {
        let millis = retry.as_millis() as u64;
        headers.insert("retry-after-ms", millis.into());
        headers.insert(RETRY_AFTER, millis.div_ceil(1000).max(1).into());
    }
    let should_retry = if refusal.is_retryable() {
        "true"
    } else {
        "false"
    };
    headers.insert("x-should-retry", HeaderValue::from_static(should_retry));
    response
}

/// Adds the headers that every response carries.
pub fn finish(mut response: Response, id: RequestId, close: bool) -> Response {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn set_status(response: &mut Response, status: u16) {
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
}
