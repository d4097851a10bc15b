//! What an adapter translates between a platform's wire and this project's terms.
//!
//! An implementation is pure translation: it keeps no state, makes no decision and performs no I/O.
//! [`crate::node`] runs the system with one (`docs/platform.md`).

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

/// Bytes that do not have the form of the platform.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}")]
pub struct Malformed {
    /// What is wrong.
    pub message: String,
}

impl Malformed {
    /// Describes what is wrong.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a caller's request states about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Identity of this attempt of the caller.
    pub id: String,
    /// Time for which the caller waits.
    pub time_limit: Option<Duration>,
    /// The key that came with it.
    pub key: Option<String>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Most output tokens.
    pub output: u32,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
}

/// What the system adds to a request on its way to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The only endpoint that may run it.
    pub endpoint: &'a EndpointId,
    /// Time after which the endpoint stops.
    pub time_left: Duration,
    /// The workspace that the key belongs to.
    pub workspace: Option<&'a WorkspaceId>,
    /// Rank among the requests at the endpoint, 0 for the most urgent.
    pub rank: u8,
    /// Whether the endpoint is a model engine.
    pub engine: bool,
    /// Last event that the caller has, for a stream that goes on.
    pub last: Option<&'a str>,
    /// An engine that likely holds parts of the prompt which this one lacks.
    pub source: Option<SocketAddr>,
    /// What a run that was stopped elsewhere goes on from.
    pub copy: Option<&'a RunCopy>,
}

/// What an engine answers to a call for a copy of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyAnswer {
    /// The copy is complete.
    Made {
        /// Names the copy.
        handle: String,
    },
    /// The other engine has no room. After a call that stops the run, the engine still holds it.
    NoRoom {
        /// Names what the engine holds.
        handle: Option<String>,
    },
    /// There is no such run, or a call for it is in progress.
    NoRun,
}

/// The memory of a run that another engine goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The engine that ran it.
    pub source: SocketAddr,
    /// Names the memory at that engine.
    pub handle: String,
}

/// Load that an endpoint states with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Requests that it processes at once.
    pub slots: u32,
}

/// What the head of an endpoint's answer states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The endpoint states that it did not run the request.
    pub refused: bool,
    /// The address belongs to another endpoint by now.
    pub misdirected: bool,
    /// The answer bears the endpoint's signature.
    pub signed: bool,
    /// The endpoint's load.
    pub load: Option<ReportedLoad>,
    /// The endpoint will stop soon and takes no new requests, whatever the list says.
    pub leaving: bool,
    /// Time for which an endpoint that turned a request away wants no further ones.
    pub pause: Option<Duration>,
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
    /// Requests that it processes at once.
    pub slots: u32,
    /// It will stop soon and takes no new requests.
    pub leaving: bool,
    /// The platform may take it back at short notice.
    pub reclaimable: bool,
}

/// A page of the platform's list of endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    /// Its endpoints.
    pub endpoints: Vec<ListedEndpoint>,
    /// Entries that could not be read.
    pub skipped: usize,
    /// Where the next page is, unless this is the last one.
    pub next: Option<String>,
}

/// An operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replaces the configuration document.
    Replace,
    /// Returns the newest configuration document.
    Read,
}

/// An order of endpoints of a service in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointOrder {
    /// The service.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// Wanted number of endpoints of the kind.
    pub count: u32,
    /// Whether the endpoints may be taken back at short notice.
    pub reclaimable: bool,
}

/// Who makes an exclusive call, and by which grant.
#[derive(Clone, Copy, Debug)]
pub struct FencedCaller<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Fencing number of its lease.
    pub fence: u64,
}

/// A call to the platform.
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

/// Translates between a platform's wire and this project's terms.
pub trait Dialect: Send + Sync {
    /// Name in lower case of the header by which answers name their request.
    fn request_id_header(&self) -> &'static str;

    /// Reads a configuration document.
    fn route_table(&self, text: &str) -> Result<RouteTable, Malformed>;

    /// Reads what a request states about itself.
    fn request_info(&self, headers: &HeaderMap) -> Result<RequestInfo, Malformed>;

    /// Replaces in the headers of a request what the system sets itself.
    fn set_forwarded_headers(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// Reads the head of an endpoint's answer.
    fn response_info(&self, status: u16, headers: &HeaderMap) -> ResponseInfo;

    /// Tells whether a path is that of the readiness probe.
    fn is_probe(&self, path: &str) -> bool;

    /// Reads the kind of an operator's request.
    fn operator_call(&self, method: &Method, path: &str) -> Option<OperatorCall>;

    /// Returns the call for a page of the list of endpoints.
    fn list_call(&self, page: Option<&str>) -> PlatformCall;

    /// Reads a page of the list of endpoints.
    fn list_page(&self, body: &[u8]) -> Result<ListPage, Malformed>;

    /// Returns the call that copies the memory of a run to an engine, and stops the run if asked to.
    fn copy_call(&self, id: &str, to: SocketAddr, stop: bool) -> PlatformCall;

    /// Reads the answer to a call for a copy.
    fn copy_answer(&self, status: u16, body: &[u8]) -> Result<CopyAnswer, Malformed>;

    /// Returns the call that frees a copy.
    fn release_copy_call(&self, handle: &str) -> PlatformCall;

    /// Returns the call that reports the requests of each workspace in a window.
    fn usage_call(
        &self,
        holder: FencedCaller<'_>,
        window: Window,
        counts: &BTreeMap<WorkspaceId, u64>,
    ) -> PlatformCall;

    /// Returns the call that orders endpoints.
    fn order_call(&self, holder: FencedCaller<'_>, order: &EndpointOrder) -> PlatformCall;
}
