//! Client of the platform interface, and of orders to engines.
//!
//! Every write carries a [`Guard`]. The body of the call is handed out piece by piece and the guard
//! is checked before each piece, so a call whose lease has run out never becomes complete, and an
//! incomplete call is not executed. No call is repeated here: each uses a connection of its own, and
//! an answer that does not arrive is reported as [`PlatformError::Unknown`].

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::SendBody;

use crate::clock::Clock;
use crate::command::Order;
use crate::command::Window;
use crate::dialect::PlatformCall;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::ZoneId;
use crate::lease::Guard;

/// Time allowed for one call; the lease may allow less.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Header with the fencing number of a write.
pub const FENCE_HEADER: &str = "x-fencing-number";

/// Longest part of an error answer that is kept for logs, in characters.
const MAX_MESSAGE: usize = 200;

/// Why a call had no good answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The lease ended before the call was complete, so it was not executed.
    #[display("the lease ended before the call was sent")]
    LeaseLost,
    /// No connection was made, so the call was not executed.
    #[display("unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The other side refused the call and did not execute it.
    #[display("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Start of the answer.
        message: String,
    },
    /// The call may have been executed.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Ordered, and not ready yet.
    #[display("starting")]
    Starting,
    /// Ready.
    #[display("live")]
    Live,
    /// Stops soon, by order or because it is reclaimed.
    #[display("leaving")]
    Leaving,
}

/// One endpoint instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name, the same as that of the endpoint in the rules.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether the platform may take it back.
    pub reclaimable: bool,
    /// Its state.
    pub state: InstanceState,
    /// Time until it stops, if it is leaving, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub notice_ms: Option<u64>,
}

/// What the platform offers in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the endpoints may be taken back.
    pub reclaimable: bool,
    /// Price per hour and endpoint.
    pub price: f64,
    /// Most endpoints that can be had in all; 0 if there are none.
    pub limit: u32,
}

/// The platform's list, which describes a moment in the past.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Age of the list when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Live and leaving instances.
    pub instances: Vec<Instance>,
    /// Prices and limits.
    pub offers: Vec<Offer>,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum EngineAction {
    /// Load a model, an adapter or a version of it.
    Load {
        /// The model.
        model: ModelId,
    },
    /// Unload a model.
    Unload {
        /// The model.
        model: ModelId,
    },
    /// Change the role of the engine, such as `prefill`, `decode` or `mixed`.
    Role {
        /// The role.
        role: String,
    },
}

/// Body of an order to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the order lease; engines that check it refuse a smaller one.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: EngineAction,
}

/// Body of an order to the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// Number of the order; a resend under the same number has no further effect.
    pub id: u64,
    /// Fencing number of the sender.
    pub fence: u64,
    /// The zone.
    pub zone: ZoneId,
    /// Wanted number of endpoints.
    pub count: u32,
    /// Whether they may be reclaimed.
    pub reclaimable: bool,
}

/// Client of the platform and of engine orders.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    agent: ureq::Agent,
    clock: Arc<dyn Clock>,
}

impl PlatformClient {
    /// Creates the client of the platform at an address.
    pub fn new(address: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            // A write on a connection that the other side closes meanwhile could be repeated.
            .max_idle_connections(0)
            .max_redirects(0)
            .proxy(None)
            .build();
        Self {
            address,
            agent: config.new_agent(),
            clock,
        }
    }

    /// Sends a recorded order under the fencing number of the guard.
    pub fn order(&self, guard: Guard, order: &Order) -> Result<(), PlatformError> {
        let body = PlatformOrder {
            id: order.id,
            fence: guard.fence(),
            zone: order.zone.clone(),
            count: order.count,
            reclaimable: order.reclaimable,
        };
        self.write(guard, self.address, "/v1/orders", &to_json(&body))
            .map(drop)
    }

    /// Sends the frozen report of a window.
    pub fn report(&self, guard: Guard, window: Window, bytes: &[u8]) -> Result<(), PlatformError> {
        let path = format!("/v1/usage/{window}");
        self.write(guard, self.address, &path, bytes).map(drop)
    }

    /// Fetches the list of live and leaving instances.
    pub fn instances(&self) -> Result<InstanceList, PlatformError> {
        let request = http::Request::builder()
            .uri(format!("http://{}/v1/instances", self.address))
            .body(());
        let request = request.map_err(|e| PlatformError::Unreachable(e.to_string()))?;
        parse(&answer(self.agent.run(request))?)
    }

    /// Sends an order to an engine.
    pub fn engine(
        &self,
        guard: Guard,
        engine: SocketAddr,
        action: &EngineAction,
    ) -> Result<(), PlatformError> {
        let order = EngineOrder {
            fence: guard.fence(),
            action: action.clone(),
        };
        self.write(guard, engine, "/admin/orders", &to_json(&order))
            .map(drop)
    }

    /// Moves the KV cache of a leaving engine to another one.
    pub fn move_kv(
        &self,
        guard: Guard,
        from: SocketAddr,
        to: SocketAddr,
    ) -> Result<(), PlatformError> {
        let target = serde_json::json!({"to": to.to_string()});
        let cache = self.write(guard, from, "/kv/export", target.to_string().as_bytes())?;
        self.write(guard, to, "/kv/import", &cache).map(drop)
    }

    /// Makes a call that anybody may make at any time, in the form of an adapter.
    pub fn read(&self, call: &PlatformCall) -> Result<Vec<u8>, PlatformError> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .body(())
            .map_err(|e| PlatformError::Unreachable(e.to_string()))?;
        *request.headers_mut() = call.headers.clone();
        answer(self.agent.run(request))
    }

    fn write(
        &self,
        guard: Guard,
        address: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, PlatformError> {
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        headers.insert(FENCE_HEADER, HeaderValue::from(guard.fence()));
        self.guarded(guard, address, &Method::POST, path, &headers, body)
    }

    /// Makes an exclusive call in the form of an adapter, while the lease is held.
    pub fn exclusive(&self, guard: Guard, call: &PlatformCall) -> Result<Vec<u8>, PlatformError> {
        let PlatformCall {
            method,
            path,
            headers,
            body,
        } = call;
        self.guarded(guard, self.address, method, path, headers, body)
    }

    fn guarded(
        &self,
        guard: Guard,
        address: SocketAddr,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<Vec<u8>, PlatformError> {
        let left = guard
            .remaining(self.clock.now(), self.clock.wall())
            .map_err(|_| PlatformError::LeaseLost)?;
        let lost = AtomicBool::new(false);
        let mut reader = GuardedBody {
            guard,
            clock: self.clock.as_ref(),
            body,
            lost: &lost,
        };
        let mut request = http::Request::builder()
            .method(method.clone())
            .uri(format!("http://{address}{path}"))
            .body(SendBody::from_reader(&mut reader))
            .map_err(|e| PlatformError::Unreachable(e.to_string()))?;
        *request.headers_mut() = headers.clone();
        let length = HeaderValue::from(body.len());
        request
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length);
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(left.min(CALL_TIMEOUT)))
            .build();
        let result = answer(self.agent.run(request));
        if lost.load(Ordering::Relaxed) {
            return Err(PlatformError::LeaseLost);
        }
        result
    }
}

/// Hands out a body while the lease is held.
struct GuardedBody<'a> {
    guard: Guard,
    clock: &'a dyn Clock,
    body: &'a [u8],
    lost: &'a AtomicBool,
}

impl Read for GuardedBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.body.is_empty() {
            return Ok(0);
        }
        let (now, wall) = (self.clock.now(), self.clock.wall());
        if let Err(error) = self.guard.remaining(now, wall) {
            self.lost.store(true, Ordering::Relaxed);
            return Err(io::Error::other(error));
        }
        self.body.read(buffer)
    }
}

fn answer(
    result: Result<http::Response<ureq::Body>, ureq::Error>,
) -> Result<Vec<u8>, PlatformError> {
    let mut response = result.map_err(|e| classify(&e))?;
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec();
    if status.is_success() {
        return body.map_err(|e| PlatformError::Unknown(e.to_string()));
    }
    let body = body.unwrap_or_default();
    let message: String = String::from_utf8_lossy(&body)
        .chars()
        .take(MAX_MESSAGE)
        .collect();
    if status.is_client_error() && status != http::StatusCode::REQUEST_TIMEOUT {
        return Err(PlatformError::Refused {
            status: status.as_u16(),
            message,
        });
    }
    Err(PlatformError::Unknown(format!(
        "status {status}: {message}"
    )))
}

fn classify(error: &ureq::Error) -> PlatformError {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => {
            PlatformError::Unreachable(error.to_string())
        }
        ureq::Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            PlatformError::Unreachable(e.to_string())
        }
        other => PlatformError::Unknown(other.to_string()),
    }
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("the message has a JSON form")
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|e| PlatformError::Unknown(e.to_string()))
}
