//! Authenticated sessions between instances.
//!
//! A connection starts with four small frames in which both sides prove that they know a secret of
//! the cluster; only then does the RPC system of the schema `peer.capnp` read from it, so an unknown
//! peer reaches no more than a bounded parser. The frames are:
//!
//! 1. client: its name and a nonce;
//! 2. server: a nonce;
//! 3. client: HMAC-SHA256 over `client`, both nonces and its name;
//! 4. server: its name, and HMAC-SHA256 over `server`, both nonces and both names.
//!
//! The client proves first, so that a stranger cannot collect proofs of a server to guess secrets
//! from. `docs/control.md` describes the rotation of secrets.

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

/// Time for a connection and its handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without any byte from the peer after which a served session ends.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest frame of a handshake in bytes.
pub const MAX_FRAME_BYTES: usize = 512;

/// Largest message of a session in bytes; it holds a whole view at the target size.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Sessions that are served at once.
pub const MAX_SESSIONS: usize = 512;

/// Connections that may be in the handshake at once.
pub const MAX_HANDSHAKES: usize = 64;

/// Sessions that one peer name may have at once, such as those of its earlier connections.
pub const MAX_SESSIONS_PER_PEER: usize = 8;

/// Smallest secret in bytes; handshakes show proofs to whoever listens, so it must not be guessable.
pub const MIN_SECRET_BYTES: usize = 16;

const MAX_PENDING_DELIVERIES: u32 = 64;
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 4;
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const SESSION_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// A secret file that cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SecretError {
    /// There is no line with a secret.
    #[display("the file holds no secret")]
    Empty,
    /// A secret is too easy to guess.
    #[display("the secret in line {line} is shorter than {MIN_SECRET_BYTES} bytes")]
    Short {
        /// Line, counted from 1.
        line: usize,
    },
}

/// The secrets of the cluster: the first is used, all are accepted.
///
/// Clones share the secrets, so a replacement takes effect everywhere at once.
#[derive(Clone)]
pub struct Secrets(Arc<Mutex<Vec<Vec<u8>>>>);

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secrets(..)")
    }
}

impl Secrets {
    /// Reads secrets from text with one per line.
    pub fn parse(text: &str) -> Result<Self, SecretError> {
        Ok(Self(Arc::new(Mutex::new(parse_secrets(text)?))))
    }

    /// Replaces the secrets; sessions under one that is gone end.
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

    /// Returns the secret to use for an attempt; each refusal moves on to the next one.
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

/// Traffic of the sessions of one process.
#[derive(Debug, Default)]
pub struct SessionCounters {
    /// Bytes received.
    pub received: Cell<u64>,
    /// Bytes sent.
    pub sent: Cell<u64>,
    /// Calls made and served.
    pub calls: Cell<u64>,
}

/// A call that has no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// There is no session, so nothing was sent.
    #[display("there is no session with the peer")]
    NotConnected,
    /// The call may have been carried out.
    #[display("the answer of the peer was lost")]
    Lost,
}

/// What an instance does for its authenticated peers; requests and responses are postcard records.
pub trait Service: 'static {
    /// Answers a poll.
    fn poll(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture;

    /// Takes in a message of the replication core.
    fn deliver(&self, peer: &InstanceId, message: &[u8]);

    /// Submits a command.
    fn submit(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture;

    /// Adds an instance to the voters.
    fn join(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture;
}

/// A response in the making; `None` refuses the request as malformed.
pub type ResponseFuture = LocalBoxFuture<'static, Option<Vec<u8>>>;

/// What all sessions of a process share.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this instance.
    pub name: InstanceId,
    /// Secrets of the cluster.
    pub secrets: Secrets,
    /// Counts traffic.
    pub counters: Rc<SessionCounters>,
}

/// Accepts sessions until the task is dropped.
pub async fn serve(listener: TcpListener, identity: Identity, service: Rc<impl Service>) {
    let handshakes = Rc::new(Cell::new(0));
    let sessions: Rc<RefCell<Vec<InstanceId>>> = Rc::default();
    // Dropping the set ends the sessions together with this task.
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Accepting fails while the process has no free file descriptor.
                tracing::warn!(%error, "cannot accept a peer connection");
                tokio::time::sleep(MIN_BACKOFF).await;
                continue;
            }
        };
        if handshakes.get() >= MAX_HANDSHAKES || sessions.borrow().len() >= MAX_SESSIONS {
            tracing::warn!("refused a peer connection because there are too many");
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
                tracing::debug!("refused a peer that did not authenticate");
                return;
            };
            let Some(_slot) = SessionSlot::acquire(&sessions, &name) else {
                tracing::warn!(peer = %name, "refused a session because the peer has too many");
                return;
            };
            serve_session(stream, name, service, identity, secret, activity).await;
        });
    }
}

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

/// Counts a connection in the handshake.
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

/// Counts a session of a peer.
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

/// A connection to one peer that is kept up in the background.
pub struct Link {
    address: SocketAddr,
    identity: Identity,
    session: RefCell<Option<peer::Client>>,
    peer: RefCell<Option<InstanceId>>,
    session_opened: Notify,
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
    /// Creates a link and starts to connect it; it stops when the last reference is dropped.
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

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name that the peer proved, once there has been a session.
    pub fn peer(&self) -> Option<InstanceId> {
        self.peer.borrow().clone()
    }

    /// Tells whether there is a session.
    pub fn is_connected(&self) -> bool {
        self.session.borrow().is_some()
    }

    /// Waits until there is a session, at most for `limit`.
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

    /// Calls `poll`.
    pub async fn poll(&self, request: &[u8], limit: Duration) -> Result<Vec<u8>, CallError> {
        let mut call = self.client()?.poll_request();
        call.get().set_request(request);
        let call = call.send().promise;
        let response = async { Ok(call.await?.get()?.get_response()?.to_vec()) };
        self.await_response(response, limit).await
    }

    /// Calls `submit`.
    pub async fn submit(&self, request: &[u8], limit: Duration) -> Result<Vec<u8>, CallError> {
        let mut call = self.client()?.submit_request();
        call.get().set_request(request);
        let call = call.send().promise;
        let response = async { Ok(call.await?.get()?.get_response()?.to_vec()) };
        self.await_response(response, limit).await
    }

    /// Calls `join`.
    pub async fn join(&self, request: &[u8], limit: Duration) -> Result<Vec<u8>, CallError> {
        let mut call = self.client()?.join_request();
        call.get().set_request(request);
        let call = call.send().promise;
        let response = async { Ok(call.await?.get()?.get_response()?.to_vec()) };
        self.await_response(response, limit).await
    }

    /// Sends a message of the replication core, which may be lost.
    ///
    /// Messages are dropped while too many are unanswered, so that a peer that has stopped does not
    /// fill the memory.
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
                    tracing::debug!(%error, address = %self.address, "a call to a peer failed");
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
