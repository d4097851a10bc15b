//! Calls to endpoints over HTTP.
//!
//! A [`Client`] belongs to one event loop. Connections are pooled for idempotent calls only: a call
//! that must not be repeated gets a connection of its own, so that no closed pooled connection can
//! raise the question whether it ran. Dropping an [`Answer`] closes its connection at once, which
//! cancels the call at the endpoint even when the endpoint is silent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
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
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time allowed to open a connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an unused connection is kept.
///
/// Common engine servers close idle connections after 5 s; a shorter time keeps a call from being
/// written to a connection that the endpoint is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Part of the idle time told by an endpoint that is not used, for a call on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Interval of the probes on a silent connection.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged; several times the round trip with two losses.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Unused connections kept per endpoint.
const IDLE_PER_ENDPOINT: usize = 64;

/// How a call to an endpoint failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No byte of the call was written, so nothing ran.
    #[display("the endpoint is unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The connection broke after bytes may have been sent.
    #[display("the call failed: {_0}")]
    Failed(#[error(not(source))] String),
    /// The answer on the connection belongs to another call.
    #[display("the answer belongs to another call")]
    Mismatched,
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
    /// Headers that may be forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the call may use a connection that has carried others.
    pub pooled: bool,
    /// Whether an answer must name the call it belongs to, and how.
    pub echo: Option<Echo<'a>>,
}

/// A header that an endpoint copies from a call to its answer.
///
/// An endpoint may send an answer twice or too late, where the answer to the next call on the
/// connection is due; only this header tells them apart.
#[derive(Clone, Copy, Debug)]
pub struct Echo<'a> {
    /// Name of the header in lower case.
    pub name: &'static str,
    /// Its value in the call.
    pub value: &'a str,
}

/// Sends calls to endpoints.
#[derive(Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has carried calls.
    reused: bool,
    /// Until when the endpoint keeps it open.
    until: Instant,
}

/// Aborts the task that owns the socket, which closes the connection.
struct AbortOnDrop(Option<AbortHandle>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

/// An answer whose body is still to be read; dropping it before its end cancels the call.
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// Time for which the endpoint keeps the connection when it is idle, less a margin.
    idle: Duration,
    /// Whether the connection has carried other calls.
    reused: bool,
    body: Incoming,
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortOnDrop,
    client: Option<Client>,
}

impl Client {
    /// Sends a call and returns when the headers of the answer have arrived.
    pub async fn send(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let answer = self.send_unchecked(&call).await?;
        match call.echo {
            Some(echo) if !belongs(&answer, echo) => Err(CallError::Mismatched),
            _ => Ok(answer),
        }
    }

    async fn send_unchecked(&self, call: &Call<'_>) -> Result<Answer, CallError> {
        let mut request = request(call)?;
        while let Some(connection) = call.pooled.then(|| self.take(call.address)).flatten() {
            match self.exchange(call, connection, request).await {
                Ok(answer) => return Ok(answer),
                // hyper hands the request back only when none of it was written.
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
        let idle = told_idle(&parts.headers);
        Ok(Answer {
            idle,
            reused: connection.reused,
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            address: call.address,
            sender: Some(sender),
            task,
            client: call.pooled.then(|| self.clone()),
        })
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let list = idle.get_mut(&address)?;
        while let Some(connection) = list.pop() {
            if !connection.sender.is_closed() && Instant::now() < connection.until {
                return Some(connection);
            }
            connection.task.abort();
        }
        idle.remove(&address);
        None
    }

    fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let list = idle.entry(address).or_default();
        list.retain(|c| !c.sender.is_closed() && Instant::now() < c.until);
        if list.len() < IDLE_PER_ENDPOINT && !connection.sender.is_closed() {
            list.push(connection);
        } else {
            connection.task.abort();
        }
    }
}

/// What a first contact with an address shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// Somebody listens there.
    Accepted,
    /// Nobody listens there.
    Refused,
    /// Nothing came back in time, or the connection was reset.
    Unknown,
}

/// Opens a connection to an endpoint and closes it again.
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
    bound_silence(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unreachable(&e))?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        reused: false,
        until: Instant::now() + IDLE_TIMEOUT,
    })
}

/// Tells whether an answer names the call that it is read for.
///
/// An answer without the header is taken only for a failure, which endpoints may send before they
/// know the call, and only on a connection that has carried no other call.
fn belongs(answer: &Answer, echo: Echo<'_>) -> bool {
    match answer.headers.get(echo.name) {
        Some(value) => value.as_bytes() == echo.value.as_bytes(),
        None => !answer.reused && !(200..300).contains(&answer.status),
    }
}

/// Returns how long a connection may be kept after an answer with these headers.
fn told_idle(headers: &HeaderMap) -> Duration {
    let told = headers.get("keep-alive").and_then(|value| {
        let fields = value.to_str().ok()?.split(',');
        let mut timeout = fields.filter_map(|field| field.trim().strip_prefix("timeout="));
        timeout.next()?.parse().ok().map(Duration::from_secs)
    });
    told.map_or(IDLE_TIMEOUT, |told| told.saturating_sub(IDLE_MARGIN))
}

/// Sets how long the system waits for a silent peer, which a cut link leaves without a reset.
fn bound_silence(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_TIME)
        .with_interval(PROBE_TIME)
        .with_retries(PROBES);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(SILENCE)));
    if let Err(error) = set {
        tracing::debug!(%error, "cannot bound the silence of a connection");
    }
}

fn request(call: &Call<'_>) -> Result<http::Request<Full<Bytes>>, CallError> {
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
    /// Tells whether the endpoint closes the connection after this answer.
    pub fn closes(&self) -> bool {
        let value = self.headers.get(http::header::CONNECTION);
        value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
    }

    /// Tells whether the body is not the endpoint's own bytes but an encoding of them.
    pub fn is_encoded(&self) -> bool {
        self.headers.contains_key(http::header::CONTENT_ENCODING)
    }

    /// Returns the next bytes of the body, or nothing at its end.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.recycle();
                return Ok(None);
            };
            let frame = frame.map_err(io::Error::other)?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the body to its end, or until it exceeds `limit` bytes.
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

    fn recycle(&mut self) {
        let (Some(client), Some(sender)) = (self.client.take(), self.sender.take()) else {
            return;
        };
        if let Some(task) = self.task.0.take() {
            let connection = Connection {
                sender,
                task,
                reused: true,
                until: Instant::now() + self.idle,
            };
            client.put(self.address, connection);
        }
    }
}

/// The start of a body, or all of it.
#[derive(Debug)]
pub struct CollectedBody {
    /// The bytes read.
    pub bytes: Vec<u8>,
    /// Whether the body ended.
    pub is_complete: bool,
}
