//! The interface between the system and the adapter for a platform's protocol.
//!
//! An implementation only translates: it keeps no state, makes no decisions and does no I/O.
//! [`crate::node`] runs the system with an implementation (`docs/platform.md`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Window;
use crate::ids::EndpointId;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::ids::ZoneId;
use crate::route_table::RouteTable;

/// The error for input that does not conform to the platform's protocol.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}")]
pub struct Malformed {
    /// A description of the error.
    pub message: String,
}

impl Malformed {
    /// Creates an error with this description.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The properties that a caller's request states in its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Identifies this attempt of the caller.
    pub id: String,
    /// Time for which the caller waits for the response.
    pub time_limit: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub output: u32,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
}

/// The properties that the system adds to a request when it forwards it to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The only endpoint that may execute the request.
    pub endpoint: &'a EndpointId,
    /// Time after which the endpoint stops executing the request.
    pub time_left: Duration,
    /// The workspace that the caller's key belongs to.
    pub workspace: Option<&'a WorkspaceId>,
    /// Rank among the requests at the endpoint, 0 for the most urgent.
    pub rank: u8,
    /// Whether the endpoint is a model engine.
    pub engine: bool,
    /// The last event that the caller received, if a stream is resumed.
    pub last: Option<&'a str>,
    /// An engine that likely caches parts of the prompt which this one lacks.
    pub source: Option<SocketAddr>,
    /// The copy from which a run that was stopped on another engine continues.
    pub copy: Option<&'a RunCopy>,
}

/// An engine's response to a call that copies a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyAnswer {
    /// The copy is complete.
    Made {
        /// Identifies the copy.
        handle: String,
    },
    /// The other engine has no capacity. If the call was to stop the run, this engine keeps the
    /// run's memory.
    NoRoom {
        /// Identifies the memory that the engine keeps.
        handle: Option<String>,
    },
    /// There is no such run, or another call for it is in progress.
    NoRun,
}

/// A copy of a run's memory from which another engine continues the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The engine that executed the run.
    pub source: SocketAddr,
    /// Identifies the memory on that engine.
    pub handle: String,
}

/// The load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
}

/// A number of requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Returns the rate of this many requests per second, or `None` if it is no number or negative.
    ///
    /// Rates beyond the range of the type become its largest value, which no endpoint reaches.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_valid = per_second >= 0.0;
        // The conversion saturates.
        is_valid.then(|| Self((per_second * 1_000.0).round() as u32))
    }

    /// Adds two rates; the sum is at most the largest value of the type.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// What a response head states about the requests that the endpoint accepts from all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// The endpoint states no limit.
    #[default]
    Absent,
    /// The endpoint states a limit that cannot be parsed.
    Unreadable,
    /// The endpoint accepts this rate, from all instances together.
    Rate(RequestRate),
}

impl StatedLimit {
    /// Returns the stated rate.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Rate(rate) => Some(rate),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

/// The properties that an endpoint's response head states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The endpoint states that it did not execute the request.
    pub refused: bool,
    /// Callers take the status as a promise that the request was not executed.
    pub promises: bool,
    /// The address now belongs to another endpoint.
    pub misdirected: bool,
    /// The response carries the endpoint's signature.
    pub signed: bool,
    /// The endpoint's load, if stated.
    pub load: Option<ReportedLoad>,
    /// The endpoint is shutting down and accepts no new requests, whatever the endpoint list says.
    pub leaving: bool,
    /// Time for which an endpoint that refused a request wants no further ones.
    pub pause: Option<Duration>,
    /// The rate of requests that the endpoint accepts from all instances.
    pub limit: StatedLimit,
}

/// An endpoint on the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, which a restarted endpoint may keep.
    pub id: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Whether the platform may reclaim the endpoint at short notice.
    pub reclaimable: bool,
    /// Whether the endpoint has started a short time ago and accepts few requests. Shared lists tell this only in
    /// deployments that bound the requests to such endpoints.
    pub cold: bool,
}

/// A page of the platform's list of endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    /// The endpoints on the page.
    pub endpoints: Vec<ListedEndpoint>,
    /// Number of entries that could not be parsed.
    pub skipped: usize,
    /// The token of the next page, or `None` on the last page.
    pub next: Option<String>,
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replaces the configuration document.
    Replace,
    /// Returns the latest configuration document.
    Read,
    /// Starts or ends the evacuation of a zone ([`crate::evacuation`]).
    SetEvacuation {
        /// Name of the zone as the operator wrote it.
        zone: String,
        /// Whether the evacuation starts.
        is_active: bool,
    },
}

/// An order for endpoints of a service in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointOrder {
    /// The service.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// Desired number of endpoints of this kind.
    pub count: u32,
    /// Whether the platform may reclaim the endpoints at short notice.
    pub reclaimable: bool,
}

/// The holder of a lease that makes an exclusive call, and its fencing token.
#[derive(Clone, Copy, Debug)]
pub struct FencedCaller<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Fencing token of its lease.
    pub fence: u64,
}

/// An HTTP request to the platform.
#[derive(Clone, Debug)]
pub struct PlatformCall {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

/// Translates between a platform's protocol and the types of this library.
pub trait Dialect: Send + Sync {
    /// Returns the name, in lower case, of the header in which responses repeat the request's id.
    fn request_id_header(&self) -> &'static str;

    /// Parses a configuration document.
    fn route_table(&self, text: &str) -> Result<RouteTable, Malformed>;

    /// Parses the headers of a caller's request.
    fn request_info(&self, headers: &HeaderMap) -> Result<RequestInfo, Malformed>;

    /// Replaces the request headers that the system sets itself.
    fn set_forwarded_headers(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// Parses the head of an endpoint's response.
    fn response_info(&self, status: u16, headers: &HeaderMap) -> ResponseInfo;

    /// Returns whether the path is that of the readiness probe.
    fn is_probe(&self, path: &str) -> bool;

    /// Returns the operator's request that a method and path stand for, if any, or why its path cannot be
    /// parsed.
    fn operator_call(&self, method: &Method, path: &str)
    -> Option<Result<OperatorCall, Malformed>>;

    /// Returns the call that fetches a page of the list of endpoints; without `page` the first one.
    fn list_call(&self, page: Option<&str>) -> PlatformCall;

    /// Parses a page of the list of endpoints.
    fn list_page(&self, body: &[u8]) -> Result<ListPage, Malformed>;

    /// Returns the call that copies the memory of a run to another engine, and stops the run if
    /// `stop` is set.
    fn copy_call(&self, id: &str, to: SocketAddr, stop: bool) -> PlatformCall;

    /// Parses the response to a call that copies a run.
    fn copy_answer(&self, status: u16, body: &[u8]) -> Result<CopyAnswer, Malformed>;

    /// Returns the call that releases a copy.
    fn release_copy_call(&self, handle: &str) -> PlatformCall;

    /// Returns the call that reports the number of requests of each workspace in a window.
    fn usage_call(
        &self,
        holder: FencedCaller<'_>,
        window: Window,
        counts: &BTreeMap<WorkspaceId, u64>,
    ) -> PlatformCall;

    /// Returns the call that orders endpoints.
    fn order_call(&self, holder: FencedCaller<'_>, order: &EndpointOrder) -> PlatformCall;
}
