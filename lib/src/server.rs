//! An HTTP/1 server with one event loop per worker thread.
//!
//! It serves callers and also runs the fake endpoints of the tests. Every state in which a connection
//! waits for its peer has a timeout, so that connections of slow peers do not accumulate.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Version;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Sleep;

use crate::shared_stream::SharedStream;

/// Timeouts of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which the complete head of a request must arrive; it also bounds idle connections.
    pub head_timeout: Duration,
    /// Time for which a peer may leave sent bytes unread before its connection is closed.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Common load balancers keep idle connections for 60 s. The longer timeout avoids requests
            // on a connection that is being closed.
            head_timeout: Duration::from_secs(65),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Maximum size of a request head in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of open connections of one server; further ones are closed immediately.
pub const MAX_CONNECTIONS: usize = 8192;

/// Delay after a failed accept, for example because no file descriptors are available.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Number of task polls between two polls of the sockets, which bounds the wait of a new request.
const EVENT_INTERVAL: u32 = 16;

/// Maximum number of threads per worker that wait for the control state; further commands are queued.
const BLOCKING_THREADS: usize = 16;

/// Time for which a closing server still accepts connections and reads idle ones.
///
/// Requests that arrived while the process waited for a processor lie unread in its sockets.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// A caller's request.
pub type Request = http::Request<Incoming>;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A response to a caller.
pub type Response = http::Response<Body>;

/// A handle with which a service resets the connection of a request.
///
/// A peer that does not read what was sent to it keeps its connection, and the bytes for it, until the write
/// timeout otherwise.
#[derive(Clone, Debug, Default)]
pub struct HangUp(Arc<Notify>);

impl HangUp {
    /// Resets the connection.
    pub fn reset(&self) {
        self.0.notify_one();
    }
}

/// Handles requests.
pub trait Service: Send + Sync + 'static {
    /// Handles a request; an error closes the connection without a response.
    ///
    /// The future is dropped when the peer closes the connection.
    fn call(&self, request: Request) -> impl Future<Output = io::Result<Response>> + Send;

    /// Returns the timeouts of connections.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Returns the body of the response to a request head that cannot be parsed.
    fn bad_request_body(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// Returns a body that consists of these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    Closing,
    Aborted,
}

/// A running server; it is aborted when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    open: Arc<AtomicUsize>,
    /// Number of workers that accept connections.
    accepting: Arc<AtomicUsize>,
    workers: Vec<thread::JoinHandle<()>>,
}

impl std::fmt::Debug for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Phase::Serving => "Serving",
            Phase::Closing => "Closing",
            Phase::Aborted => "Aborted",
        })
    }
}

impl Server {
    /// Starts a server on an address with this number of worker threads.
    pub fn start<S: Service>(
        address: SocketAddr,
        workers: usize,
        service: Arc<S>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (phase, _) = watch::channel(Phase::Serving);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = Arc::new(AtomicUsize::new(0));
        let mut threads = Vec::new();
        for number in 0..workers.max(1) {
            let listener = listener.try_clone()?;
            let worker = Worker {
                service: service.clone(),
                phase: phase.subscribe(),
                open: open.clone(),
                accepting: CountGuard::new(&accepting),
            };
            let runtime = tokio::runtime::Builder::new_current_thread()
                .event_interval(EVENT_INTERVAL)
                .max_blocking_threads(BLOCKING_THREADS)
                .enable_all()
                .build()?;
            let thread = thread::Builder::new()
                .name(format!("http-{number}"))
                .spawn(move || runtime.block_on(worker.run(listener)))?;
            threads.push(thread);
        }
        Ok(Self {
            address,
            phase,
            open,
            accepting,
            workers: threads,
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Stops accepting connections, waits for open responses, and closes the connections.
    ///
    /// Returns whether all connections ended within the limit; the others are aborted.
    pub fn close(mut self, limit: Duration) -> bool {
        let clean = self.drain(limit);
        self.end();
        clean
    }

    /// Stops accepting connections and waits for open responses; returns whether all connections ended
    /// within the limit.
    pub fn drain(&self, limit: Duration) -> bool {
        self.phase.send_replace(Phase::Closing);
        let end = Instant::now() + limit;
        let is_done = || self.accepting.load(Ordering::SeqCst) == 0 && self.connections() == 0;
        while !is_done() && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
        }
        is_done()
    }

    fn end(&mut self) {
        self.phase.send_replace(Phase::Aborted);
        for worker in self.workers.drain(..) {
            let _ = worker.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

struct Worker<S> {
    service: Arc<S>,
    phase: watch::Receiver<Phase>,
    open: Arc<AtomicUsize>,
    /// Held while the worker accepts connections.
    accepting: CountGuard,
}

impl<S: Service> Worker<S> {
    async fn run(mut self, listener: TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        let mut phase = self.phase.clone();
        tokio::select! {
            () = self.accept(&listener) => {}
            _ = phase.changed() => {}
        }
        // The time has passed only once the event loop has looked at the sockets.
        let _ = tokio::time::timeout(CATCH_UP_TIME, self.accept(&listener)).await;
        drop(listener);
        drop(self.accepting);
        let _ = self.phase.wait_for(|p| *p == Phase::Aborted).await;
    }

    async fn accept(&self, listener: &tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn(stream),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn spawn(&self, stream: TcpStream) {
        let guard = CountGuard::new(&self.open);
        if self.open.load(Ordering::Relaxed) > MAX_CONNECTIONS {
            return;
        }
        let _ = stream.set_nodelay(true);
        let service = self.service.clone();
        let phase = self.phase.clone();
        tokio::spawn(async move {
            serve(stream, service, phase).await;
            drop(guard);
        });
    }
}

/// Counts as one until it is dropped.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve<S: Service>(stream: TcpStream, service: Arc<S>, mut phase: watch::Receiver<Phase>) {
    let limits = service.limits();
    let stream = SharedStream::new(stream);
    let socket = Socket {
        stream: stream.clone(),
        stall_timer: None,
        limit: limits.write_timeout,
        bad_request_body: service.bad_request_body(),
        replacement: None,
    };
    let knows_chunks = Arc::new(AtomicBool::new(true));
    let knows_chunks_now = knows_chunks.clone();
    let hang_up = HangUp::default();
    let handle = hang_up.clone();
    let handler = service_fn(move |mut request: Request| {
        let service = service.clone();
        request.extensions_mut().insert(handle.clone());
        knows_chunks_now.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        async move { service.call(request).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), handler);
    let mut connection = std::pin::pin!(connection);
    let mut is_phase_open = true;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if result.is_err() {
                    break;
                }
                return;
            }
            () = hang_up.0.notified() => return stream.reset_on_close(),
            changed = phase.changed(), if is_phase_open => {
                is_phase_open = changed.is_ok();
                let now = *phase.borrow_and_update();
                match now {
                    Phase::Closing => {
                        let catch_up = tokio::time::sleep(CATCH_UP_TIME);
                        tokio::select! {
                            // After a pause both are due, and reading comes first.
                            biased;
                            _ = connection.as_mut() => return,
                            () = catch_up => connection.as_mut().graceful_shutdown(),
                        }
                    }
                    Phase::Serving => {}
                    Phase::Aborted => break,
                }
            }
        }
    }
    // Without chunks, only a reset tells the peer that the response is not complete.
    if !knows_chunks.load(Ordering::Relaxed) {
        stream.reset_on_close();
    }
}

/// A socket that bounds the time for which the peer leaves sent bytes unread.
///
/// hyper responds to a head that it cannot parse with an empty body. This socket replaces that response
/// with one that has the service's own body, so that it carries a result code like all others.
struct Socket {
    stream: SharedStream,
    limit: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
    bad_request_body: Vec<u8>,
    replacement: Option<Replacement>,
}

/// The response that is written instead of the one from hyper.
struct Replacement {
    bytes: Vec<u8>,
    written: usize,
    /// Length of the replaced response, which is reported to hyper as written.
    replaced_len: usize,
}

impl Socket {
    /// Starts the write timeout when the peer stalls, and fails when it has elapsed.
    fn check_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall_timer = None;
            return result;
        }
        let limit = self.limit;
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Sets the replacement if hyper starts to write its response to a malformed head.
    fn replace(&mut self, buffer: &[u8]) {
        if self.replacement.is_none() && !self.bad_request_body.is_empty() && is_bare_error(buffer)
        {
            let status = String::from_utf8_lossy(&buffer[..12]).into_owned();
            let head = format!(
                "{status} Error\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                self.bad_request_body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&self.bad_request_body);
            self.replacement = Some(Replacement {
                bytes,
                written: 0,
                replaced_len: buffer.len(),
            });
        }
    }
}

/// Returns whether these bytes are the complete response that hyper sends to a malformed head.
///
/// Responses of services never match, because they carry a request ID and a date.
fn is_bare_error(buffer: &[u8]) -> bool {
    let contains = |part: &[u8]| buffer.windows(part.len()).any(|w| w == part);
    buffer.len() < 256
        && buffer.starts_with(b"HTTP/1.1 4")
        && buffer.ends_with(b"\r\n\r\n")
        && contains(b"content-length: 0")
        && !contains(b"x-request-id")
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.replace(buffer);
        let this = &mut *self;
        let result = match &mut this.replacement {
            None => Pin::new(&mut this.stream).poll_write(context, buffer),
            Some(own) => loop {
                let rest = &own.bytes[own.written..];
                if rest.is_empty() {
                    break Poll::Ready(Ok(own.replaced_len.min(buffer.len())));
                }
                match Pin::new(&mut this.stream).poll_write(context, rest) {
                    Poll::Ready(Ok(0)) => break Poll::Ready(Ok(0)),
                    Poll::Ready(Ok(n)) => own.written += n,
                    other => break other,
                }
            },
        };
        this.check_stall(context, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.check_stall(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
