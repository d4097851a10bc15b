//! HTTP client for calls to endpoints.
//!
//! It takes calls with the addresses of their endpoints, and returns answers whose end counts only if it shows that
//! they are complete. Both the product's own interface and the platform's use it; it depends on
//! [`crate::shared_stream`] and [`crate::supervision`] only, and makes no decision on repeating a call.
//!
//! A [`Client`] belongs to one event loop. A call uses a pooled connection if its sender allows it
//! ([`Call::pooled`]). On a pooled connection that the endpoint is closing it can remain unknown whether
//! the call ran. Dropping an [`Answer`] closes its connection immediately, which cancels the call at the
//! endpoint even if the endpoint is silent.
//!
//! A faulty endpoint may repeat an earlier response where the response to a later call is expected. An
//! [`Echo`] tells them apart only if the two calls have different values, so no connection carries two
//! calls with the same value. Another attempt at the same endpoint therefore uses another connection.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::shared_stream::SharedStream;
use crate::shared_stream::WeakStream;
use crate::supervision;
use crate::upstream::upload::UploadState;
use crate::upstream::upload::UploadStream;

mod upload;

/// Maximum time for opening a connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection is kept.
///
/// Common engine servers close idle connections after 5 s. The shorter time avoids writing a call to a
/// connection that the endpoint is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which an idle connection is kept if the endpoint states a longer timeout.
///
/// A longer one saves no connections that are in use, and an instant that far ahead may not exist.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Margin subtracted from the idle timeout that an endpoint states, for the transit time of a call.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum time for which sent bytes may stay unacknowledged.
///
/// It is several times a round trip in which two packets are lost.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum size of a response head, and of the bytes that are read from a connection at a time.
///
/// Each call in progress may hold this much, whatever its endpoint sends.
const MAX_READ_BYTES: usize = 16 << 10;

/// Largest body of a call that is sent at once on any connection: TCP sends ten segments before it waits for an
/// acknowledgement (RFC 6928).
const MAX_INITIAL_BYTES: usize = 10 * 1_220;

/// Maximum number of idle connections kept per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// Interval between checks of the idle connections to all endpoints.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of identified calls after which a connection is not pooled again, which bounds the memory for
/// their IDs.
const MAX_CALLS_PER_CONNECTION: usize = 1_024;

/// Statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The error for a call to an endpoint that failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No byte of the call was sent, so the endpoint did not execute it.
    #[display("the endpoint is unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The connection failed after bytes may have been sent.
    #[display("the call failed: {_0}")]
    Failed(#[error(not(source))] String),
    /// The response on the connection belongs to another call.
    #[display("the answer belongs to another call")]
    Mismatched,
    /// The response has a status that ends no call, such as one of another protocol's.
    #[display("{_0} is not the status of an answer")]
    InvalidStatus(#[error(not(source))] u16),
}

/// A call to an endpoint.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the call may use a connection that earlier calls used.
    pub pooled: bool,
    /// The header by which a response must identify its call, if any.
    pub echo: Option<Echo<'a>>,
}

/// A header that an endpoint copies from a call to its response.
///
/// An endpoint may send a response twice or late, in place of the response to the next call on the
/// connection. Only this header tells them apart, provided that each call on the connection has another
/// value.
#[derive(Clone, Copy, Debug)]
pub struct Echo<'a> {
    /// The header's name in lower case.
    pub name: &'static str,
    /// The header's value in the call.
    pub value: &'a str,
}

/// How the end of a response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Delimiter {
    /// The head states the length, or the response has no body.
    Length,
    /// The last chunk is marked.
    Chunks,
    /// The body ends with its connection, so that one which broke off may look complete.
    Close,
}

/// A client with a connection pool, which clones share.
#[derive(Clone, Default)]
pub struct Client {
    pool: Arc<Mutex<Pool>>,
}

/// The idle connections of a client.
#[derive(Default)]
struct Pool {
    idle: HashMap<SocketAddr, Vec<Connection>>,
    /// Time from which the connections to all endpoints are checked again.
    sweep_at: Option<Instant>,
}

impl Pool {
    /// Closes the connections whose time has passed and forgets those that have ended, also to endpoints that
    /// are not called any more.
    fn sweep(&mut self, now: Instant) {
        if self.sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.sweep_at = Some(now + SWEEP_INTERVAL);
        self.idle.retain(|_, connections| {
            retain_usable(connections, now);
            !connections.is_empty()
        });
    }
}

/// Closes the connections of a list that cannot be used any more and removes them.
fn retain_usable(connections: &mut Vec<Connection>, now: Instant) {
    connections.retain(|connection| {
        let is_usable = connection.is_usable(now);
        if !is_usable {
            connection.task.abort();
        }
        is_usable
    });
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    stream: WeakStream,
    upload: UploadState,
    /// Whether the endpoint may have answered the last call before it was sent whole.
    may_be_uploading: bool,
    /// Whether earlier calls used the connection.
    reused: bool,
    /// The identified calls that the connection has carried.
    carried: Vec<CallHash>,
    /// Time until which the endpoint keeps the idle connection open.
    until: Instant,
}

impl Connection {
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.until
    }

    /// Returns whether a call would be sent at once, instead of after the rest of one that was answered early.
    fn is_free(&self) -> bool {
        !self.may_be_uploading || (self.upload.is_written() && self.stream.is_all_sent())
    }
}

/// Hash of the value that identifies a call.
///
/// Two calls with the same hash merely use different connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallHash(u64);

impl From<Echo<'_>> for CallHash {
    fn from(echo: Echo<'_>) -> Self {
        let mut hasher = DefaultHasher::new();
        echo.value.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Aborts the task that owns the socket when dropped, which closes the connection.
struct AbortOnDrop(Option<AbortHandle>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

/// A response whose body has not been read yet.
///
/// Dropping it before the end of the body cancels the call.
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// How the end of the body is marked.
    pub delimiter: Delimiter,
    /// Time for which the idle connection may be pooled.
    idle: Duration,
    /// Whether earlier calls used the connection.
    reused: bool,
    /// The identified calls that the connection has carried.
    carried: Vec<CallHash>,
    body: Incoming,
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortOnDrop,
    stream: WeakStream,
    upload: UploadState,
    /// Whether the endpoint may have answered before it was sent the whole call.
    is_large: bool,
    client: Option<Client>,
}

impl Client {
    /// Sends a call and returns when the head of the response has arrived.
    pub async fn send(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let answer = self.send_unchecked(&call).await?;
        // The parser accepts any three digits, and 101 for a connection that speaks another protocol from now on.
        if !FINAL_STATUSES.contains(&answer.status) {
            return Err(CallError::InvalidStatus(answer.status));
        }
        match call.echo {
            Some(echo) if !matches_echo(&answer, echo) => Err(CallError::Mismatched),
            _ => Ok(answer),
        }
    }

    async fn send_unchecked(&self, call: &Call<'_>) -> Result<Answer, CallError> {
        let mut request = build_request(call)?;
        while let Some(connection) = call.pooled.then(|| self.take_idle(call)).flatten() {
            match self.exchange(call, connection, request).await {
                Ok(answer) => return Ok(answer),
                // hyper returns the request only if no byte of it was written.
                Err((_, Some(unwritten))) => request = unwritten,
                Err((error, None)) => return Err(CallError::Failed(error)),
            }
        }
        let connection = connect(call.address).await?;
        self.exchange(call, connection, request)
            .await
            .map_err(|(error, unwritten)| match unwritten {
                Some(_) => CallError::Unreachable(error),
                None => CallError::Failed(error),
            })
    }

    async fn exchange(
        &self,
        call: &Call<'_>,
        connection: Connection,
        request: http::Request<Full<Bytes>>,
    ) -> Result<Answer, (String, Option<http::Request<Full<Bytes>>>)> {
        let mut sender = connection.sender;
        let task = AbortOnDrop(Some(connection.task));
        let mut carried = connection.carried;
        carried.extend(call.echo.map(CallHash::from));
        if let Err(error) = sender.ready().await {
            return Err((error.to_string(), Some(request)));
        }
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unwritten = error.take_message();
                return Err((error.into_error().to_string(), unwritten));
            }
        };
        let (parts, body) = response.into_parts();
        let idle = idle_timeout(&parts.headers);
        Ok(Answer {
            idle,
            reused: connection.reused,
            carried,
            status: parts.status.as_u16(),
            delimiter: delimiter(&call.method, parts.status, &parts.headers),
            headers: parts.headers,
            body,
            address: call.address,
            sender: Some(sender),
            task,
            stream: connection.stream,
            upload: connection.upload,
            is_large: call.body.len() > MAX_INITIAL_BYTES,
            client: call.pooled.then(|| self.clone()),
        })
    }

    /// Takes the newest idle connection that has not carried a call with the same ID.
    ///
    /// An endpoint may answer a call early and read the rest of it later. That is still sent, but no other call waits
    /// for it.
    ///
    /// Bytes that arrived while a connection was idle belong to no call, and would pass for the response to
    /// this one if it names none.
    fn take_idle(&self, call: &Call<'_>) -> Option<Connection> {
        let mut pool = supervision::lock(&self.pool);
        let connections = pool.idle.get_mut(&call.address)?;
        retain_usable(connections, Instant::now());
        if connections.is_empty() {
            pool.idle.remove(&call.address);
            return None;
        }
        let id = call.echo.map(CallHash::from);
        let is_new = |c: &Connection| id.is_none_or(|id| !c.carried.contains(&id));
        loop {
            let index = connections.iter().rposition(|c| is_new(c) && c.is_free())?;
            let connection = connections.remove(index);
            if connection.stream.is_quiet() {
                return Some(connection);
            }
            connection.task.abort();
        }
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let mut pool = supervision::lock(&self.pool);
        pool.sweep(now);
        let connections = pool.idle.entry(address).or_default();
        retain_usable(connections, now);
        let has_room = connections.len() < MAX_IDLE_PER_ENDPOINT
            && connection.carried.len() < MAX_CALLS_PER_CONNECTION;
        if has_room && !connection.sender.is_closed() {
            connections.push(connection);
        } else {
            connection.task.abort();
        }
    }
}

/// The outcome of opening a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// A process listens at the address.
    Accepted,
    /// No process listens at the address.
    Refused,
    /// The connection attempt timed out or failed in another way.
    Unknown,
}

/// Checks whether an endpoint accepts connections, by opening one and closing it again.
pub async fn probe(address: SocketAddr) -> ConnectOutcome {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ConnectOutcome::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ConnectOutcome::Refused
        }
        Ok(Err(_)) | Err(_) => ConnectOutcome::Unknown,
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let unreachable = |e: &dyn std::fmt::Display| CallError::Unreachable(e.to_string());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|e| unreachable(&e))?
        .map_err(|e| unreachable(&e))?;
    let _ = stream.set_nodelay(true);
    set_silence_timeouts(&stream);
    let stream = SharedStream::new(stream);
    let handle = stream.downgrade();
    let stream = UploadStream::new(stream);
    let upload = stream.state();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unreachable(&e))?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        stream: handle,
        upload,
        may_be_uploading: false,
        reused: false,
        carried: Vec::new(),
        until: Instant::now() + IDLE_TIMEOUT,
    })
}

/// Returns whether a response identifies the call for which it was read.
///
/// A response without the header is accepted only if it reports a failure, which endpoints may send
/// before they have parsed the call, and only on a connection that no earlier call used.
fn matches_echo(answer: &Answer, echo: Echo<'_>) -> bool {
    match answer.headers.get(echo.name) {
        Some(value) => value.as_bytes() == echo.value.as_bytes(),
        None => !answer.reused && !(200..300).contains(&answer.status),
    }
}

/// Returns how the end of a response body is marked.
fn delimiter(method: &Method, status: StatusCode, headers: &HeaderMap) -> Delimiter {
    let has_body = method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED;
    if !has_body {
        return Delimiter::Length;
    }
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    match codings.iter().next_back() {
        Some(codings) if is_chunked(codings) => Delimiter::Chunks,
        Some(_) => Delimiter::Close,
        None if headers.contains_key(header::CONTENT_LENGTH) => Delimiter::Length,
        None => Delimiter::Close,
    }
}

/// Returns whether the last of these transfer codings is `chunked`.
fn is_chunked(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Returns how long a connection may be kept idle after a response with these headers.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let stated = headers.get("keep-alive").and_then(|value| {
        let fields = value.to_str().ok()?.split(',');
        let mut timeout = fields.filter_map(|field| field.trim().strip_prefix("timeout="));
        timeout.next()?.parse().ok().map(Duration::from_secs)
    });
    stated.map_or(IDLE_TIMEOUT, |stated| {
        stated.min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN)
    })
}

/// Bounds the time for which the operating system waits for a silent peer.
///
/// A broken link leaves a connection open without a reset.
fn set_silence_timeouts(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        tracing::debug!(%error, "cannot set the timeouts of a connection");
    }
}

fn build_request(call: &Call<'_>) -> Result<http::Request<Full<Bytes>>, CallError> {
    let unreachable = |e: http::Error| CallError::Unreachable(e.to_string());
    let mut request = http::Request::builder()
        .method(call.method.clone())
        .uri(call.path)
        .body(Full::new(call.body.clone()))
        .map_err(unreachable)?;
    *request.headers_mut() = call.headers.clone();
    let host =
        HeaderValue::from_str(&call.address.to_string()).map_err(|e| unreachable(e.into()))?;
    let headers = request.headers_mut();
    headers.entry(http::header::HOST).or_insert(host);
    Ok(request)
}

impl Answer {
    /// Returns whether the endpoint closes the connection after this response.
    pub fn closes(&self) -> bool {
        let value = self.headers.get(http::header::CONNECTION);
        value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
    }

    /// Returns whether the body has a content encoding, such as compression.
    pub fn is_encoded(&self) -> bool {
        self.headers.contains_key(http::header::CONTENT_ENCODING)
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// The end of the connection is an error if it came before the call was sent whole, and else the end of a body
    /// that has no other mark.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                if self.delimiter == Delimiter::Close && !self.upload.ended_whole() {
                    return Err(io::Error::other(
                        "the connection failed, or ended before its call was sent",
                    ));
                }
                self.return_to_pool();
                return Ok(None);
            };
            let frame = frame.map_err(io::Error::other)?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the body to its end or until it exceeds `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> io::Result<CollectedBody> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.next().await? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() > limit {
                return Ok(CollectedBody {
                    bytes,
                    is_complete: false,
                });
            }
        }
        Ok(CollectedBody {
            bytes,
            is_complete: true,
        })
    }

    fn return_to_pool(&mut self) {
        let (Some(client), Some(sender)) = (self.client.take(), self.sender.take()) else {
            return;
        };
        if let Some(task) = self.task.0.take() {
            let connection = Connection {
                sender,
                task,
                stream: self.stream.clone(),
                upload: self.upload.clone(),
                may_be_uploading: self.is_large,
                reused: true,
                carried: std::mem::take(&mut self.carried),
                until: Instant::now() + self.idle,
            };
            client.put_idle(self.address, connection);
        }
    }
}

/// A body that was read completely or up to a limit.
#[derive(Debug)]
pub struct CollectedBody {
    /// The bytes read.
    pub bytes: Vec<u8>,
    /// Whether the bytes are the complete body.
    pub is_complete: bool,
}
