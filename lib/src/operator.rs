//! Operator API below `/control/`.
//!
//! `docs/control.md` describes its requests and responses.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use http_body_util::BodyExt;
use http_body_util::Limited;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::cluster_control::ClusterControl;
use crate::code::Execution;
use crate::code::ResultCode;
use crate::command::Change;
use crate::command::Command;
use crate::command::EvacuationOrder;
use crate::command::Reply;
use crate::control::Control;
use crate::control::SubmitError;
use crate::evacuation;
use crate::gateway::GatewayService;
use crate::rule_state::CommittedChange;
use crate::rules;
use crate::rules::RuleKey;
use crate::rules::RuleKind;
use crate::server;
use crate::server::Request;
use crate::server::Response;
use crate::server::Service;
use crate::view::Edit;
use crate::view::Version;

/// Path of the evacuation of a zone, whose name follows.
pub(crate) const EVACUATION_PATH: &str = "/control/evacuations/";

/// Maximum size of the body of a change.
pub const MAX_CHANGE_BYTES: usize = 1 << 20;

/// Timeout for the acceptance of a change.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a response is delayed until the change is in force.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout for reading the history or the status.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum length of an operator token.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Timeout for receiving the body of a change.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of concurrent operator requests; each may block a thread for several seconds.
pub const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Default number of changes in a response about the history.
pub const DEFAULT_HISTORY: u32 = 50;

/// Error in a file of operator tokens.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The file contains no token.
    #[display("the token file contains no token")]
    Empty,
    /// A token is too short to be safe against guessing.
    #[display("a token is shorter than {MIN_TOKEN_BYTES} bytes")]
    Short,
}

/// Hashes of the tokens that authorize requests to the operator API.
#[derive(Clone)]
pub struct Tokens(Vec<[u8; 32]>);

impl Tokens {
    /// Parses tokens from text with one per line, each of which is accepted.
    pub fn parse(text: &str) -> Result<Self, TokenError> {
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let tokens: Vec<_> = lines.collect();
        if tokens.is_empty() {
            return Err(TokenError::Empty);
        }
        if tokens.iter().any(|token| token.len() < MIN_TOKEN_BYTES) {
            return Err(TokenError::Short);
        }
        Ok(Self(tokens.into_iter().map(hash).collect()))
    }

    /// Returns whether the headers carry a known token, with a comparison in constant time.
    fn accepts(&self, headers: &HeaderMap) -> bool {
        let presented = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix("Bearer "));
        let Some(presented) = presented else {
            return false;
        };
        let presented = hash(presented);
        self.0.iter().fold(false, |found, known| {
            found | bool::from(known.ct_eq(&presented))
        })
    }
}

fn hash(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Operator API of an instance, which forwards to the leader what only the leader can do.
pub struct Operator {
    control: ClusterControl,
    tokens: Option<Tokens>,
    open_requests: Arc<AtomicUsize>,
}

/// Error response, to a request that had no effect or whose effect is unknown.
struct Failure {
    code: ResultCode,
    execution: Execution,
    message: String,
}

impl Failure {
    fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            message: message.into(),
        }
    }
}

impl From<ResultCode> for Failure {
    fn from(code: ResultCode) -> Self {
        Self::new(code, code.text())
    }
}

/// Body of a request that submits a change.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    id: String,
    expected: u64,
    author: String,
    #[serde(default)]
    set: Vec<String>,
    #[serde(default)]
    remove: Vec<String>,
}

/// Operation requested by an operator.
enum Operation {
    Change(Vec<u8>),
    History(Option<String>),
    Rules,
    Status,
    SetEvacuation { zone: String, is_active: bool },
}

/// Permit for a concurrent request, which is released on drop.
struct RequestPermit(Arc<AtomicUsize>);

impl RequestPermit {
    fn try_acquire(open_requests: &Arc<AtomicUsize>) -> Option<Self> {
        let permit = Self(open_requests.clone());
        (open_requests.fetch_add(1, Ordering::SeqCst) < MAX_CONCURRENT_REQUESTS).then_some(permit)
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Operator {
    /// Creates the API; without tokens it refuses every request.
    pub fn new(control: ClusterControl, tokens: Option<Tokens>) -> Arc<Self> {
        Arc::new(Self {
            control,
            tokens,
            open_requests: Arc::default(),
        })
    }

    /// Handles a request.
    pub async fn handle(self: &Arc<Self>, request: &mut Request) -> Response {
        match self.serve(request).await {
            Ok((status, body)) => respond(status, &body),
            Err(failure) => {
                let body = json!({"error": {
                    "message": failure.message,
                    "type": failure.code.kind(),
                    "code": failure.code.number(),
                    "execution": failure.execution,
                }});
                respond(failure.code.status(), &body)
            }
        }
    }

    async fn serve(self: &Arc<Self>, request: &mut Request) -> Result<(u16, Value), Failure> {
        let accepted = self
            .tokens
            .as_ref()
            .is_some_and(|tokens| tokens.accepts(request.headers()));
        if !accepted {
            let message = "the operator token is missing or unknown";
            return Err(Failure::new(ResultCode::InvalidKey, message));
        }
        let permit =
            RequestPermit::try_acquire(&self.open_requests).ok_or(ResultCode::Overloaded)?;
        let operation = parse_operation(request).await?;
        let operator = self.clone();
        let work = move || {
            let _permit = permit;
            operator.run(operation)
        };
        tokio::task::spawn_blocking(work)
            .await
            .map_err(|_| ResultCode::Internal)?
    }

    fn run(&self, operation: Operation) -> Result<(u16, Value), Failure> {
        match operation {
            Operation::Change(body) => self.change(&body),
            Operation::History(query) => self.history(query.as_deref()),
            Operation::Rules => self.rules(),
            Operation::Status => self.status(),
            Operation::SetEvacuation { zone, is_active } => self.set_evacuation(&zone, is_active),
        }
    }

    fn set_evacuation(&self, zone: &str, is_active: bool) -> Result<(u16, Value), Failure> {
        let zone = evacuation::check_zone(zone)
            .map_err(|error| Failure::new(ResultCode::BadRequest, error.to_string()))?;
        tracing::info!(%zone, is_active, "operator sets the evacuation of a zone");
        let order = EvacuationOrder::new(zone, is_active);
        self.submit(Command::SetEvacuation(order), "send the order again")
    }

    fn change(&self, body: &[u8]) -> Result<(u16, Value), Failure> {
        let submission: Submission = serde_json::from_slice(body)
            .map_err(|error| Failure::new(ResultCode::BadRequest, error.to_string()))?;
        let change = Change {
            edits: parse_edits(&submission)?,
            id: submission.id.into(),
            expected: Version(submission.expected),
            author: submission.author,
        };
        tracing::info!(id = %change.id, author = %change.author, "operator submits a change");
        self.submit(
            Command::Apply(change),
            "submit the change again under the same id",
        )
    }

    /// Submits a command that changes the view and waits until the change is in force; `advice` tells what to do
    /// if the outcome is unknown.
    fn submit(&self, command: Command, advice: &str) -> Result<(u16, Value), Failure> {
        match self.control.submit(command, ACCEPT_TIMEOUT) {
            Ok(Reply::Applied { version }) => Ok(self.await_in_force(version)),
            Ok(Reply::Refused { code, message }) => Err(Failure::new(code, message)),
            Ok(_) => Err(ResultCode::Internal.into()),
            Err(SubmitError::NotProposed) => Err(ResultCode::ControlUnavailable.into()),
            Err(SubmitError::Unknown) => Err(Failure {
                code: ResultCode::ControlUnavailable,
                execution: Execution::Unknown,
                message: format!("the change may be accepted; {advice}"),
            }),
        }
    }

    /// Waits until an accepted change is in force.
    ///
    /// Returns status 202 if the change is not known to be in force before the timeout.
    fn await_in_force(&self, version: Version) -> (u16, Value) {
        let in_force = self.control.await_version(version, IN_FORCE_TIMEOUT);
        let status = if in_force { 200 } else { 202 };
        (status, json!({"version": version, "in_force": in_force}))
    }

    fn history(&self, query: Option<&str>) -> Result<(u16, Value), Failure> {
        let count = match query.and_then(|query| query.strip_prefix("count=")) {
            Some(count) => count.parse().map_err(|_| ResultCode::BadRequest)?,
            None => DEFAULT_HISTORY,
        };
        let changes = self
            .control
            .history(count, READ_TIMEOUT)
            .ok_or(ResultCode::ControlUnavailable)?;
        let changes: Vec<_> = changes.iter().map(change_json).collect();
        Ok((200, json!({"changes": changes})))
    }

    fn rules(&self) -> Result<(u16, Value), Failure> {
        let view = self.control.latest_view().ok_or(ResultCode::ViewExpired)?;
        let lines: Vec<_> = view
            .rules()
            .filter(|rule| rule.key.kind.has_lines())
            .map(|rule| rule.line.as_str())
            .collect();
        Ok((
            200,
            json!({
                "version": view.version(),
                "rules": lines,
                "evacuated": view.evacuated_zones().as_ref(),
            }),
        ))
    }

    fn status(&self) -> Result<(u16, Value), Failure> {
        let status = self.control.status(READ_TIMEOUT);
        let mut status = serde_json::to_value(status).map_err(|_| ResultCode::Internal)?;
        let view = self.control.latest_view();
        status["evacuated"] = json!(view.as_ref().map(|view| view.evacuated_zones().as_ref()));
        Ok((200, status))
    }
}

fn change_json(change: &CommittedChange) -> Value {
    let edits: Vec<_> = change
        .edits
        .iter()
        .map(|edit| match edit {
            Edit::Set(rule) if rule.key.kind.has_lines() => json!({"set": rule.line}),
            Edit::Set(rule) => json!({"set": rule.key.to_string()}),
            Edit::Remove(key) => json!({"remove": key.to_string()}),
        })
        .collect();
    json!({
        "version": change.version,
        "id": change.id,
        "author": change.author,
        "at_ms": change.at,
        "edits": edits,
    })
}

fn parse_edits(submission: &Submission) -> Result<Vec<Edit>, Failure> {
    let mut edits = Vec::new();
    let mut errors = Vec::new();
    for text in &submission.remove {
        match parse_key(text) {
            Some(key) => edits.push(Edit::Remove(key)),
            None => errors.push(format!("remove {text:?}: expected a kind and a name")),
        }
    }
    for line in &submission.set {
        match rules::parse_line(line) {
            Ok(rule) => edits.push(Edit::Set(rule)),
            Err(error) => errors.push(format!("set {line:?}: {error}")),
        }
    }
    if !errors.is_empty() {
        return Err(Failure::new(ResultCode::InvalidRules, errors.join("\n")));
    }
    if edits.is_empty() {
        return Err(Failure::new(ResultCode::BadRequest, "the change is empty"));
    }
    Ok(edits)
}

fn parse_key(text: &str) -> Option<RuleKey> {
    let (kind, name) = text.split_once(' ')?;
    let kinds = [
        RuleKind::Workspace,
        RuleKind::Key,
        RuleKind::Class,
        RuleKind::Route,
        RuleKind::Limit,
        RuleKind::Endpoint,
    ];
    let kind = kinds.into_iter().find(|known| known.to_string() == kind)?;
    let name = name.trim().to_owned();
    (!name.is_empty()).then_some(RuleKey { kind, name })
}

async fn parse_operation(request: &mut Request) -> Result<Operation, Failure> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/control/changes") => read_body(request).await.map(Operation::Change),
        (&Method::GET, "/control/history") => {
            Ok(Operation::History(request.uri().query().map(str::to_owned)))
        }
        (&Method::GET, "/control/rules") => Ok(Operation::Rules),
        (&Method::GET, "/control/status") => Ok(Operation::Status),
        (method, path) if path.starts_with(EVACUATION_PATH) => parse_evacuation(method, path),
        (_, "/control/changes" | "/control/history" | "/control/rules" | "/control/status") => {
            Err(ResultCode::MethodNotAllowed.into())
        }
        _ => Err(ResultCode::UnknownRoute.into()),
    }
}

fn parse_evacuation(method: &Method, path: &str) -> Result<Operation, Failure> {
    let is_active = match *method {
        Method::POST => true,
        Method::DELETE => false,
        _ => return Err(ResultCode::MethodNotAllowed.into()),
    };
    let zone = percent_decode_str(&path[EVACUATION_PATH.len()..]);
    let zone = zone
        .decode_utf8()
        .map_err(|error| Failure::new(ResultCode::BadRequest, error.to_string()))?;
    Ok(Operation::SetEvacuation {
        zone: zone.into_owned(),
        is_active,
    })
}

async fn read_body(request: &mut Request) -> Result<Vec<u8>, Failure> {
    let body = Limited::new(request.body_mut(), MAX_CHANGE_BYTES);
    let collected = tokio::time::timeout(BODY_TIMEOUT, body.collect())
        .await
        .map_err(|_| ResultCode::BodyTimeout)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes().to_vec()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ResultCode::BodyTooLarge.into())
        }
        Err(_) => Err(ResultCode::BadRequest.into()),
    }
}

fn respond(status: u16, body: &Value) -> Response {
    http::Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(server::full(body.to_string()))
        .expect("the parts of the response are valid")
}

/// HTTP service for callers and operators on one address.
pub struct HttpService {
    /// Service for callers.
    pub callers: GatewayService,
    /// Operator API.
    pub operator: Arc<Operator>,
}

impl Service for HttpService {
    async fn call(&self, mut request: Request) -> io::Result<Response> {
        if request.uri().path().starts_with("/control/") {
            return Ok(self.operator.handle(&mut request).await);
        }
        self.callers.call(request).await
    }

    fn bad_request_body(&self) -> Vec<u8> {
        self.callers.bad_request_body()
    }
}
