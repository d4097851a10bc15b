//! Authenticated sessions between instances.
//!
//! A connection starts with a handshake of four small frames in which both sides prove that they
//! know a secret of the cluster. The RPC system of the schema `peer.capnp` reads from the connection
//! only after that, so an unauthenticated peer reaches nothing but a parser of bounded input. The
//! frames are:
//!
//! 1. client: its name and a nonce;
//! 2. server: a nonce;
//! 3. client: HMAC-SHA256 over `client`, both nonces and its name;
//! 4. server: its name, and HMAC-SHA256 over `server`, both nonces and both names.
//!
//! The client proves its knowledge first, so that an unauthenticated client cannot collect proofs of
//! a server for an offline guessing attack on the secret. `docs/control.md` describes the rotation
//! of secrets.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use derive_more::Display;
use derive_more::Error;
use futures::future::LocalBoxFuture;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::handshake::Activity;
use crate::handshake::CountedStream;
use crate::handshake::HandshakeError;
use crate::handshake::accept;
use crate::handshake::connect;
use crate::ids::InstanceId;
use crate::peer_capnp::peer;

/// Timeout for establishing a connection, including its handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without any byte from the peer after which the server closes a session.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a handshake frame in bytes.
pub const MAX_FRAME_BYTES: usize = 512;

/// Maximum size of a session message in bytes; a full view at the target size fits.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Maximum number of concurrent sessions that a process serves.
pub const MAX_SESSIONS: usize = 512;

/// Maximum number of concurrent handshakes.
pub const MAX_HANDSHAKES: usize = 64;

/// Maximum number of concurrent sessions per peer name; sessions of lost connections count until they
/// time out.
pub const MAX_SESSIONS_PER_PEER: usize = 8;

/// Minimum length of a secret in bytes. Whoever observes a handshake sees the proofs and can try to
/// guess the secret from them.
pub const MIN_SECRET_BYTES: usize = 16;

/// Maximum number of deliveries without a response on one link; further ones are dropped.
const MAX_PENDING_DELIVERIES: u32 = 64;

/// Number of consecutive call timeouts after which a link closes its session and reconnects.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 4;

/// Initial delay before a link reconnects; it doubles with each failed attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum delay before a link reconnects.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Interval at which a session checks whether it must close.
const SESSION_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// An error in a secret file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SecretError {
    /// The file contains no secret.
    #[display("the file holds no secret")]
    Empty,
    /// A secret is shorter than [`MIN_SECRET_BYTES`].
    #[display("the secret in line {line} is shorter than {MIN_SECRET_BYTES} bytes")]
    Short {
        /// Line number, starting at 1.
        line: usize,
    },
}

/// The secrets of the cluster: clients try the first one first, servers accept any of them.
///
/// Clones share the secrets, so a replacement takes effect in all of them.
#[derive(Clone)]
pub struct Secrets(Arc<Mutex<Vec<Vec<u8>>>>);

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secrets(..)")
    }
}

impl Secrets {
    /// Parses secrets from text with one secret per line; empty lines are ignored.
    pub fn parse(text: &str) -> Result<Self, SecretError> {
        Ok(Self(Arc::new(Mutex::new(parse_secrets(text)?))))
    }

    /// Replaces the secrets. Sessions that were authenticated with a removed secret are closed.
    pub fn replace(&self, text: &str) -> Result<(), SecretError> {
        *self.0.lock().expect("secrets lock poisoned") = parse_secrets(text)?;
        Ok(())
    }

    pub(crate) fn all(&self) -> Vec<Vec<u8>> {
        self.0.lock().expect("secrets lock poisoned").clone()
    }

    fn contains(&self, secret: &[u8]) -> bool {
        let secrets = self.0.lock().expect("secrets lock poisoned");
        secrets.iter().any(|held| held == secret)
    }

    /// Returns the secret for the next connection attempt; each refused handshake advances to the next
    /// secret.
    fn select(&self, refusals: usize) -> Vec<u8> {
        let secrets = self.0.lock().expect("secrets lock poisoned");
        secrets[refusals % secrets.len()].clone()
    }
}

fn parse_secrets(text: &str) -> Result<Vec<Vec<u8>>, SecretError> {
    let mut secrets = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() {
            continue;
        }
        if line.len() < MIN_SECRET_BYTES {
            return Err(SecretError::Short { line: index + 1 });
        }
        secrets.push(line.as_bytes().to_vec());
    }
    if secrets.is_empty() {
        return Err(SecretError::Empty);
    }
    Ok(secrets)
}

/// Traffic counters of all sessions of a process.
#[derive(Debug, Default)]
pub struct SessionCounters {
    /// Number of received bytes.
    pub received: Cell<u64>,
    /// Number of sent bytes.
    pub sent: Cell<u64>,
    /// Number of outgoing and incoming calls.
    pub calls: Cell<u64>,
}

/// A call without a response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// There is no session with the peer, so the call was not sent.
    #[display("there is no session with the peer")]
    NotConnected,
    /// The call was sent but no response arrived, so it may have been executed.
    #[display("the answer of the peer was lost")]
    Lost,
}

/// Handler of calls from authenticated peers. Requests and responses are the postcard records of
/// [`crate::peer_message`].
pub trait Service: 'static {
    /// Answers a poll.
    fn poll(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture;

    /// Handles a Raft message.
    fn deliver(&self, peer: &InstanceId, message: &[u8]);

    /// Submits a command.
    fn submit(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture;

    /// Handles the request of an instance to become a voter.
    fn join(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture;
}

/// A future response; `None` rejects the request as malformed.
pub type ResponseFuture = LocalBoxFuture<'static, Option<Vec<u8>>>;

/// Identity and counters that all sessions of a process share.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of this instance.
    pub name: InstanceId,
    /// The secrets of the cluster.
    pub secrets: Secrets,
    /// The traffic counters.
    pub counters: Rc<SessionCounters>,
}

/// Accepts and serves sessions until the future is dropped.
pub async fn serve(listener: TcpListener, identity: Identity, service: Rc<impl Service>) {
    let handshakes = Rc::new(Cell::new(0));
    let sessions: Rc<RefCell<Vec<InstanceId>>> = Rc::default();
    // Dropping the set aborts the sessions when this future is dropped.
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // `accept` fails, for example, while the process has no free file descriptor. The delay
                // prevents a busy loop.
                tracing::warn!(%error, "cannot accept a peer connection");
                tokio::time::sleep(MIN_BACKOFF).await;
                continue;
            }
        };
        if handshakes.get() >= MAX_HANDSHAKES || sessions.borrow().len() >= MAX_SESSIONS {
            tracing::warn!("refused a peer connection: too many sessions or handshakes");
            continue;
        }
        let _ = stream.set_nodelay(true);
        let pending = PendingHandshake::new(handshakes.clone());
        let (identity, service, sessions) = (identity.clone(), service.clone(), sessions.clone());
        tasks.spawn_local(async move {
            let activity = Activity::new();
            let stream = CountedStream::new(stream, identity.counters.clone(), activity.clone());
            let accepted = timeout(HANDSHAKE_TIMEOUT, accept(stream, &identity)).await;
            drop(pending);
            let Ok(Ok((stream, name, secret))) = accepted else {
                tracing::debug!("refused a peer connection: authentication failed");
                return;
            };
            let Some(_slot) = SessionSlot::acquire(&sessions, &name) else {
                tracing::warn!(peer = %name, "refused a peer session: too many sessions");
                return;
            };
            serve_session(stream, name, service, identity, secret, activity).await;
        });
    }
}

/// Serves a session until the connection fails or is idle, or its secret is removed.
async fn serve_session(
    stream: CountedStream,
    name: InstanceId,
    service: Rc<impl Service>,
    identity: Identity,
    secret: Vec<u8>,
    activity: Activity,
) {
    let (reader, writer) = tokio::io::split(stream);
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Server,
        reader_options(),
    );
    let client: peer::Client = capnp_rpc::new_client(PeerServer {
        name,
        service,
        counters: identity.counters.clone(),
    });
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let session_end = async {
        while activity.idle_time() < IDLE_TIMEOUT && identity.secrets.contains(&secret) {
            tokio::time::sleep(SESSION_CHECK_PERIOD).await;
        }
    };
    tokio::select! {
        _ = system => {}
        () = session_end => {}
    }
}

/// Counts a connection as being in the handshake until it is dropped.
struct PendingHandshake(Rc<Cell<usize>>);

impl PendingHandshake {
    fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for PendingHandshake {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Holds one of the limited sessions of a peer until it is dropped.
struct SessionSlot {
    sessions: Rc<RefCell<Vec<InstanceId>>>,
    name: InstanceId,
}

impl SessionSlot {
    fn acquire(sessions: &Rc<RefCell<Vec<InstanceId>>>, name: &InstanceId) -> Option<Self> {
        let mut open = sessions.borrow_mut();
        let peer_sessions = open.iter().filter(|open| *open == name).count();
        if open.len() >= MAX_SESSIONS || peer_sessions >= MAX_SESSIONS_PER_PEER {
            return None;
        }
        open.push(name.clone());
        Some(Self {
            sessions: sessions.clone(),
            name: name.clone(),
        })
    }
}

impl Drop for SessionSlot {
    fn drop(&mut self) {
        let mut open = self.sessions.borrow_mut();
        if let Some(index) = open.iter().position(|open| *open == self.name) {
            open.swap_remove(index);
        }
    }
}

/// RPC server of one session, which forwards calls to the [`Service`].
struct PeerServer<S> {
    name: InstanceId,
    service: Rc<S>,
    counters: Rc<SessionCounters>,
}

impl<S> PeerServer<S> {
    fn count_call(&self) {
        self.counters.calls.set(self.counters.calls.get() + 1);
    }
}

fn malformed() -> capnp::Error {
    capnp::Error::failed("the request is malformed".to_owned())
}

impl<S: Service> peer::Server for PeerServer<S> {
    async fn poll(
        self: Rc<Self>,
        params: peer::PollParams,
        mut results: peer::PollResults,
    ) -> Result<(), capnp::Error> {
        self.count_call();
        let request = params.get()?.get_request()?.to_vec();
        let response = self.service.clone().poll(self.name.clone(), request).await;
        results.get().set_response(&response.ok_or_else(malformed)?);
        Ok(())
    }

    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        self.count_call();
        self.service
            .deliver(&self.name, params.get()?.get_message()?);
        Ok(())
    }

    async fn submit(
        self: Rc<Self>,
        params: peer::SubmitParams,
        mut results: peer::SubmitResults,
    ) -> Result<(), capnp::Error> {
        self.count_call();
        let request = params.get()?.get_request()?.to_vec();
        let response = self.service.clone().submit(self.name.clone(), request);
        results
            .get()
            .set_response(&response.await.ok_or_else(malformed)?);
        Ok(())
    }

    async fn join(
        self: Rc<Self>,
        params: peer::JoinParams,
        mut results: peer::JoinResults,
    ) -> Result<(), capnp::Error> {
        self.count_call();
        let request = params.get()?.get_request()?.to_vec();
        let response = self.service.clone().join(self.name.clone(), request);
        results
            .get()
            .set_response(&response.await.ok_or_else(malformed)?);
        Ok(())
    }
}

/// A connection to one peer, which reconnects in the background.
pub struct Link {
    address: SocketAddr,
    identity: Identity,
    session: RefCell<Option<peer::Client>>,
    /// Authenticated name of the peer, once there has been a session.
    peer: RefCell<Option<InstanceId>>,
    /// Notifies waiting callers of a new session.
    session_opened: Notify,
    /// Makes the background task close the session and reconnect.
    close_requested: Notify,
    consecutive_timeouts: Cell<u32>,
    pending_deliveries: Cell<u32>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Link({})", self.address)
    }
}

impl Link {
    /// Creates a link and connects it in the background until the last reference is dropped.
    pub fn start(address: SocketAddr, identity: Identity) -> Rc<Self> {
        let link = Rc::new(Self {
            address,
            identity,
            session: RefCell::default(),
            peer: RefCell::default(),
            session_opened: Notify::new(),
            close_requested: Notify::new(),
            consecutive_timeouts: Cell::new(0),
            pending_deliveries: Cell::new(0),
        });
        spawn_local(Self::maintain(Rc::downgrade(&link)));
        link
    }

    /// Returns the configured address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the authenticated name of the peer, or `None` before the first session.
    pub fn peer(&self) -> Option<InstanceId> {
        self.peer.borrow().clone()
    }

    /// Returns whether a session is open.
    pub fn is_connected(&self) -> bool {
        self.session.borrow().is_some()
    }

    /// Waits up to `limit` for a session and returns whether one is open.
    pub async fn connected(&self, limit: Duration) -> bool {
        let wait = async {
            loop {
                let opened = self.session_opened.notified();
                if self.is_connected() {
                    return;
                }
                opened.await;
            }
        };
        timeout(limit, wait).await.is_ok()
    }

    /// Calls `poll` on the peer.
    pub async fn poll(&self, request: &[u8], limit: Duration) -> Result<Vec<u8>, CallError> {
        let mut call = self.client()?.poll_request();
        call.get().set_request(request);
        let call = call.send().promise;
        let response = async { Ok(call.await?.get()?.get_response()?.to_vec()) };
        self.await_response(response, limit).await
    }

    /// Calls `submit` on the peer.
    pub async fn submit(&self, request: &[u8], limit: Duration) -> Result<Vec<u8>, CallError> {
        let mut call = self.client()?.submit_request();
        call.get().set_request(request);
        let call = call.send().promise;
        let response = async { Ok(call.await?.get()?.get_response()?.to_vec()) };
        self.await_response(response, limit).await
    }

    /// Calls `join` on the peer.
    pub async fn join(&self, request: &[u8], limit: Duration) -> Result<Vec<u8>, CallError> {
        let mut call = self.client()?.join_request();
        call.get().set_request(request);
        let call = call.send().promise;
        let response = async { Ok(call.await?.get()?.get_response()?.to_vec()) };
        self.await_response(response, limit).await
    }

    /// Sends a Raft message without delivery guarantee.
    ///
    /// Messages are dropped while too many await a response, so that an unresponsive peer does not
    /// exhaust memory.
    pub fn deliver(self: &Rc<Self>, message: &[u8], limit: Duration) {
        let Ok(client) = self.client() else {
            return;
        };
        if self.pending_deliveries.get() >= MAX_PENDING_DELIVERIES {
            return;
        }
        let mut call = client.deliver_request();
        call.get().set_message(message);
        let call = call.send().promise;
        self.pending_deliveries
            .set(self.pending_deliveries.get() + 1);
        let link = self.clone();
        spawn_local(async move {
            let response = async { call.await?.get().map(|_| ()) };
            let _ = link.await_response(response, limit).await;
            link.pending_deliveries
                .set(link.pending_deliveries.get() - 1);
        });
    }

    fn client(&self) -> Result<peer::Client, CallError> {
        let session = self.session.borrow();
        session.clone().ok_or(CallError::NotConnected)
    }

    async fn await_response<T>(
        &self,
        response: impl Future<Output = Result<T, capnp::Error>>,
        limit: Duration,
    ) -> Result<T, CallError> {
        let calls = &self.identity.counters.calls;
        calls.set(calls.get() + 1);
        match timeout(limit, response).await {
            Ok(response) => {
                self.consecutive_timeouts.set(0);
                response.map_err(|error| {
                    tracing::debug!(%error, address = %self.address, "call to a peer failed");
                    CallError::Lost
                })
            }
            Err(_) => {
                self.consecutive_timeouts
                    .set(self.consecutive_timeouts.get() + 1);
                if self.consecutive_timeouts.get() >= MAX_CONSECUTIVE_TIMEOUTS {
                    self.close_requested.notify_one();
                }
                Err(CallError::Lost)
            }
        }
    }

    /// Connects, runs the session until it ends, and reconnects with exponential backoff, until the link
    /// is dropped.
    async fn maintain(link: std::rc::Weak<Self>) {
        let mut backoff = MIN_BACKOFF;
        let mut refusals = 0;
        loop {
            let Some(this) = link.upgrade() else { return };
            let (address, identity) = (this.address, this.identity.clone());
            drop(this);
            let secret = identity.secrets.select(refusals);
            match timeout(HANDSHAKE_TIMEOUT, connect(address, &identity, &secret)).await {
                Ok(Ok((stream, name))) => {
                    backoff = MIN_BACKOFF;
                    Self::run_session(&link, stream, name, &identity, &secret).await;
                }
                Ok(Err(HandshakeError::Refused)) => refusals = refusals.wrapping_add(1),
                Ok(Err(HandshakeError::Io(_))) | Err(_) => {}
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::time::sleep(backoff.mul_f64(jitter)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Runs a session until the connection fails, calls time out repeatedly or its secret is removed.
    async fn run_session(
        link: &std::rc::Weak<Self>,
        stream: CountedStream,
        name: InstanceId,
        identity: &Identity,
        secret: &[u8],
    ) {
        let (reader, writer) = tokio::io::split(stream);
        let network = VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let Some(this) = link.upgrade() else { return };
        tracing::debug!(peer = %name, "connected to a peer");
        this.consecutive_timeouts.set(0);
        *this.peer.borrow_mut() = Some(name);
        *this.session.borrow_mut() = Some(client);
        this.session_opened.notify_waiters();
        drop(this);
        let session_end = async {
            loop {
                let Some(this) = link.upgrade() else { return };
                let close = timeout(SESSION_CHECK_PERIOD, this.close_requested.notified()).await;
                if close.is_ok() || !identity.secrets.contains(secret) {
                    return;
                }
                drop(this);
            }
        };
        tokio::select! {
            _ = &mut system => {}
            () = session_end => {}
        }
        if let Some(this) = link.upgrade() {
            this.session.borrow_mut().take();
        }
    }
}

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / 8));
    options
}
