//! Construction of responses to callers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderValue;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::mpsc;

use crate::ids::RequestId;
use crate::openai::Refusal;
use crate::server;
use crate::server::Body;
use crate::server::Response;

/// The media type of JSON.
pub const JSON: &str = "application/json";

/// The media type of event streams.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Number of body chunks that are buffered until the caller reads them.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// Maximum size of the bodies that all calls of the process buffer together, beyond one chunk of each.
///
/// It is a small part of the memory of an entry, and more than the bodies of many callers that read slowly. Calls that
/// find no room send chunk by chunk.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Bytes that may still be buffered.
static FREE_BYTES: Semaphore = Semaphore::const_new(MAX_BUFFERED_BYTES);

/// Bytes of the common buffer, which are free again when this is dropped.
pub(crate) type HeldBytes = SemaphorePermit<'static>;

/// Takes room in the common buffer, if there is enough.
pub(crate) fn try_hold(bytes: usize) -> Option<HeldBytes> {
    FREE_BYTES.try_acquire_many(bytes.try_into().ok()?).ok()
}

/// A buffered chunk, and the room that it takes.
type BufferedChunk = (Bytes, Option<HeldBytes>);

/// Header that carries the request ID.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Retry delay sent with a refusal for a temporary reason that has none of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Headers of an endpoint's response that are forwarded to the caller.
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

/// A response body whose chunks arrive on a channel.
///
/// It ends complete only if its sender says so. Otherwise it ends with an error, which aborts the connection,
/// so that a body whose writer panicked or was cancelled never looks complete.
struct ChannelBody {
    chunks: mpsc::Receiver<BufferedChunk>,
    is_complete: Arc<AtomicBool>,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let chunk = ready!(self.chunks.poll_recv(context));
        Poll::Ready(match chunk {
            Some((chunk, _)) => Some(Ok(Frame::data(chunk))),
            // The flag was set before the sender was dropped, which closed the channel.
            None if self.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(io::ErrorKind::UnexpectedEof.into())),
        })
    }
}

/// The error for a body whose caller has disconnected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the caller has disconnected")]
pub struct Disconnected;

/// The writing half of a response body.
///
/// Dropping it without [`BodySender::complete`] breaks the body off after the chunks sent so far.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<BufferedChunk>,
    is_complete: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk, waiting until there is room in the buffer.
    ///
    /// If the common buffer is full, the chunk waits until the connection has taken all earlier ones, so that
    /// callers which do not read hold up nobody else.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        let held = try_hold(chunk.len());
        let room = if held.is_some() {
            1
        } else {
            MAX_BUFFERED_CHUNKS
        };
        let permits = self.chunks.reserve_many(room).await;
        let mut permits = permits.map_err(|_| Disconnected)?;
        if let Some(permit) = permits.next() {
            permit.send((chunk, held));
        }
        Ok(())
    }

    /// Waits until the connection of the caller has taken all chunks, or has ended.
    pub async fn taken(&self) {
        let _ = self.chunks.reserve_many(MAX_BUFFERED_CHUNKS).await;
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body as complete.
    pub fn complete(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// Creates a body together with the sender of its chunks.
pub fn channel() -> (BodySender, Body) {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let is_complete = Arc::<AtomicBool>::default();
    let body = ChannelBody {
        chunks: receiver,
        is_complete: is_complete.clone(),
    };
    let sender = BodySender {
        chunks: sender,
        is_complete,
    };
    (sender, body.boxed_unsync())
}

/// Returns a response with a complete body.
pub fn plain(status: u16, kind: &str, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(server::full(body));
    set_status(&mut response, status);
    if let Ok(kind) = HeaderValue::from_str(kind) {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    response
}

/// Returns a response with an endpoint's status and the headers that may be forwarded.
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

/// Returns a response that streams server-sent events.
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
        retry_after: refusal
            .retry_after
            .or(matches!(status, 429 | 503).then_some(DEFAULT_RETRY_AFTER)),
        ..*refusal
    };
    let mut response = plain(status, JSON, refusal.body(id));
    let headers = response.headers_mut();
    if let Some(retry) = refusal.retry_after {
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

/// Adds the headers that every response carries, and `Connection: close` if `close` is set.
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
