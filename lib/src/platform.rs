//! HTTP client of the platform and of engine orders.
//!
//! Every write carries a [`Guard`], which is checked before each part of the body is sent. A call
//! whose lease expires is therefore never sent completely, and an incomplete call is not executed.
//! The client does not retry: each call uses its own connection, and a missing response is reported
//! as [`PlatformError::Unknown`].

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

/// Timeout of a call, which the remaining time of the lease can shorten.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Header that carries the fencing number of a write.
pub const FENCE_HEADER: &str = "x-fencing-number";

/// Maximum number of characters of an error response that are kept for logs.
const MAX_MESSAGE_CHARS: usize = 200;

/// Error of a call to the platform or to an engine.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The lease ended before the call was sent completely, so it was not executed.
    #[display("the lease ended before the call was sent")]
    LeaseLost,
    /// No connection was made, so the call was not executed.
    #[display("unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The server refused the call and did not execute it.
    #[display("refused with status {status}: {message}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Start of the response body.
        message: String,
    },
    /// The call may have been executed.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// State of an endpoint instance in the platform's list.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Ordered but not ready yet.
    #[display("starting")]
    Starting,
    /// Ready to serve.
    #[display("live")]
    Live,
    /// Stopping soon, because of an order or a reclaim.
    #[display("leaving")]
    Leaving,
}

/// Endpoint instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the endpoint, as in the rules.
    pub id: EndpointId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// State of the instance.
    pub state: InstanceState,
    /// Time in milliseconds until a leaving instance stops.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub notice_ms: Option<u64>,
}

/// Offer of the platform for one kind of endpoint in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the platform may reclaim the endpoints.
    pub reclaimable: bool,
    /// Price per hour and endpoint.
    pub price: f64,
    /// Maximum number of endpoints in total; 0 if none are available.
    pub limit: u32,
}

/// The platform's instance list, which describes a time in the past.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Age of the list in milliseconds when it was sent.
    pub age_ms: u64,
    /// Starting, live and leaving instances.
    pub instances: Vec<Instance>,
    /// Offers by zone and kind, with prices and limits.
    pub offers: Vec<Offer>,
}

/// Action that an engine is ordered to take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum EngineAction {
    /// Loads a model, an adapter or a version of either.
    Load {
        /// The model.
        model: ModelId,
    },
    /// Unloads a model.
    Unload {
        /// The model.
        model: ModelId,
    },
    /// Changes the role of the engine, for example to `prefill`, `decode` or `mixed`.
    Role {
        /// The role.
        role: String,
    },
}

/// Request body of an order to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the order lease; engines that check it refuse smaller ones.
    pub fence: u64,
    /// Action to take.
    #[serde(flatten)]
    pub action: EngineAction,
}

/// Request body of an order to the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// Id of the order; a resend with the same id has no effect.
    pub id: u64,
    /// Fencing number of the order lease.
    pub fence: u64,
    /// The zone.
    pub zone: ZoneId,
    /// Desired number of endpoints.
    pub count: u32,
    /// Whether the platform may reclaim the endpoints.
    pub reclaimable: bool,
}

/// HTTP client of the platform and of engine orders.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    agent: ureq::Agent,
    clock: Arc<dyn Clock>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            // The agent could resend a write if the server closes a reused connection.
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

    /// Sends a recorded order with the fencing number of the guard.
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

    /// Fetches the instance list.
    pub fn list_instances(&self) -> Result<InstanceList, PlatformError> {
        let request = http::Request::builder()
            .uri(format!("http://{}/v1/instances", self.address))
            .body(());
        let request = request.map_err(|e| PlatformError::Unreachable(e.to_string()))?;
        parse(&read_response(self.agent.run(request))?)
    }

    /// Sends an order to an engine.
    pub fn order_engine(
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

    /// Moves the KV cache of a leaving engine to another engine.
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

    /// Makes a call that needs no lease, in the format of an adapter.
    pub fn read(&self, call: &PlatformCall) -> Result<Vec<u8>, PlatformError> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .body(())
            .map_err(|e| PlatformError::Unreachable(e.to_string()))?;
        *request.headers_mut() = call.headers.clone();
        read_response(self.agent.run(request))
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
        self.guarded_call(guard, address, &Method::POST, path, &headers, body)
    }

    /// Makes a call that needs the lease, in the format of an adapter.
    pub fn exclusive(&self, guard: Guard, call: &PlatformCall) -> Result<Vec<u8>, PlatformError> {
        let PlatformCall {
            method,
            path,
            headers,
            body,
        } = call;
        self.guarded_call(guard, self.address, method, path, headers, body)
    }

    fn guarded_call(
        &self,
        guard: Guard,
        address: SocketAddr,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<Vec<u8>, PlatformError> {
        let remaining = guard
            .remaining(self.clock.now(), self.clock.wall())
            .map_err(|_| PlatformError::LeaseLost)?;
        let lease_lost = AtomicBool::new(false);
        let mut reader = GuardedBody {
            guard,
            clock: self.clock.as_ref(),
            body,
            lease_lost: &lease_lost,
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
            .timeout_global(Some(remaining.min(CALL_TIMEOUT)))
            .build();
        let result = read_response(self.agent.run(request));
        if lease_lost.load(Ordering::Relaxed) {
            return Err(PlatformError::LeaseLost);
        }
        result
    }
}

/// Request body that fails to read once the lease has ended.
struct GuardedBody<'a> {
    guard: Guard,
    clock: &'a dyn Clock,
    body: &'a [u8],
    lease_lost: &'a AtomicBool,
}

impl Read for GuardedBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.body.is_empty() {
            return Ok(0);
        }
        let (now, wall) = (self.clock.now(), self.clock.wall());
        if let Err(error) = self.guard.remaining(now, wall) {
            self.lease_lost.store(true, Ordering::Relaxed);
            return Err(io::Error::other(error));
        }
        self.body.read(buffer)
    }
}

fn read_response(
    result: Result<http::Response<ureq::Body>, ureq::Error>,
) -> Result<Vec<u8>, PlatformError> {
    let mut response = result.map_err(|e| classify(&e))?;
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec();
    if status.is_success() {
        return body.map_err(|e| PlatformError::Unknown(e.to_string()));
    }
    let body = body.unwrap_or_default();
    let message: String = String::from_utf8_lossy(&body)
        .chars()
        .take(MAX_MESSAGE_CHARS)
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
    serde_json::to_vec(value).expect("the message serializes to JSON")
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|e| PlatformError::Unknown(e.to_string()))
}
