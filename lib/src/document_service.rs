//! HTTP service through which operators replace and read the configuration document, and evacuate zones.
//!
//! The adapter ([`Dialect`]) defines the paths and the format. A document is validated before it is
//! proposed, so only valid documents are replicated. A read goes through the replicated log and therefore
//! returns no document older than an acknowledged one; if that does not succeed in time, the response is
//! [`ResultCode::ControlUnavailable`].
//!
//! An acknowledgement starts the time within which callers expect the document to take effect. Therefore it
//! waits until all instances with a view lease hold the document, but not so long that operators give up
//! the call (`docs/platform.md`, "Life of a configuration"). Orders to evacuate a zone are acknowledged
//! likewise (`docs/design/evacuation.md`).

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt as _;
use http_body_util::Limited;

use crate::answer;
use crate::cluster_control::ClusterControl;
use crate::code::ResultCode;
use crate::command::Command;
use crate::command::EvacuationOrder;
use crate::command::Reply;
use crate::control::Control;
use crate::control_shared::remaining;
use crate::dialect::Dialect;
use crate::dialect::OperatorCall;
use crate::evacuation;
use crate::rules::Document;
use crate::server::Request;
use crate::server::Response;
use crate::server::Service;
use crate::view::Version;

/// Maximum size of a document in bytes; several times the largest that operators are known to send.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Timeout for receiving a document.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for applying a command. Operators abandon a request after one second and try another instance.
const APPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time from the receipt of a document or an order after which it is acknowledged although instances that hold a
/// view lease have not polled it; the rest of the second for which operators wait is for the way back.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(750);

/// Handles the operators' requests about the configuration document and the evacuation of zones.
pub struct DocumentService {
    /// The control state.
    pub control: ClusterControl,
    /// The platform's wire format.
    pub dialect: Arc<dyn Dialect>,
}

impl DocumentService {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path();
        let call = self.dialect.operator_call(request.method(), path);
        let result = match call.clone() {
            Some(Ok(OperatorCall::Replace)) => self.replace(request).await,
            Some(Ok(OperatorCall::Read)) => self.read().await,
            Some(Ok(OperatorCall::SetEvacuation { zone, is_active })) => {
                self.set_evacuation(&zone, is_active).await
            }
            Some(Err(error)) => Err((ResultCode::BadRequest, error.to_string())),
            None => Err((ResultCode::UnknownRoute, String::new())),
        };
        result.unwrap_or_else(|(code, message)| {
            tracing::info!(code = code.number(), message, ?call, "operator call failed");
            let error = serde_json::json!({"code": code.number(), "message": message});
            let body = serde_json::json!({ "error": error }).to_string();
            answer::plain(code.status(), answer::JSON, body)
        })
    }

    async fn replace(&self, request: Request) -> Result<Response, (ResultCode, String)> {
        let body = Limited::new(request.into_body(), MAX_DOCUMENT_BYTES).collect();
        let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err((ResultCode::BadRequest, error.to_string())),
            Err(error) => return Err((ResultCode::BodyTimeout, error.to_string())),
        };
        let invalid = |message: String| (ResultCode::BadRequest, message);
        let text = std::str::from_utf8(&body).map_err(|error| invalid(error.to_string()))?;
        let table = self
            .dialect
            .route_table(text)
            .map_err(|error| invalid(error.to_string()))?;
        let document = Document {
            revision: table.revision,
            text: text.into(),
        };
        let revision = document.revision;
        let received = Instant::now();
        match self.submit(Command::ReplaceDocument(document)).await? {
            Reply::Applied { version } => {
                let committed = received.elapsed();
                let is_in_force = self.settle(version, received + MAX_SETTLE_TIME).await;
                tracing::info!(
                    revision,
                    view = version.0,
                    is_in_force,
                    commit_ms = committed.as_millis() as u64,
                    ack_ms = received.elapsed().as_millis() as u64,
                    "acknowledged a configuration"
                );
                Ok(answer::plain(200, answer::JSON, "{}"))
            }
            Reply::Refused { code, message } => Err((code, message)),
            reply => Err((ResultCode::Internal, format!("unexpected reply {reply:?}"))),
        }
    }

    async fn set_evacuation(
        &self,
        zone: &str,
        is_active: bool,
    ) -> Result<Response, (ResultCode, String)> {
        let received = Instant::now();
        let zone = evacuation::check_zone(zone)
            .map_err(|error| (ResultCode::BadRequest, error.to_string()))?;
        let order = EvacuationOrder::new(zone.clone(), is_active);
        match self.submit(Command::SetEvacuation(order)).await? {
            Reply::Applied { version } => {
                let is_in_force = self.settle(version, received + MAX_SETTLE_TIME).await;
                let ack_ms = received.elapsed().as_millis() as u64;
                let message = match is_active {
                    true => "evacuation started",
                    false => "evacuation ended",
                };
                tracing::info!(%zone, view = version.0, is_in_force, ack_ms, message);
                Ok(answer::plain(200, answer::JSON, "{}"))
            }
            Reply::Refused { code, message } => Err((code, message)),
            reply => Err((ResultCode::Internal, format!("unexpected reply {reply:?}"))),
        }
    }

    async fn read(&self) -> Result<Response, (ResultCode, String)> {
        match self.submit(Command::ReadDocument).await? {
            Reply::Document(Some(document)) => {
                let text = document.text.as_bytes().to_vec();
                Ok(answer::plain(200, answer::JSON, text))
            }
            Reply::Document(None) => Err((
                ResultCode::ControlUnavailable,
                "there is no configuration yet".to_owned(),
            )),
            reply => Err((ResultCode::Internal, format!("unexpected reply {reply:?}"))),
        }
    }

    /// Waits until all instances with a view lease hold a version; returns whether they do by the deadline.
    async fn settle(&self, version: Version, deadline: Instant) -> bool {
        let control = self.control.clone();
        let timeout = remaining(deadline);
        let settled = tokio::task::spawn_blocking(move || control.await_version(version, timeout));
        settled.await.unwrap_or_else(|error| {
            tracing::warn!(%error, "cannot wait until a version is in force");
            false
        })
    }

    async fn submit(&self, command: Command) -> Result<Reply, (ResultCode, String)> {
        let control = self.control.clone();
        let submitted =
            tokio::task::spawn_blocking(move || control.submit(command, APPLY_TIMEOUT)).await;
        let unavailable = |message: String| (ResultCode::ControlUnavailable, message);
        submitted
            .map_err(|error| unavailable(error.to_string()))?
            .map_err(|error| unavailable(error.to_string()))
    }
}

impl Service for DocumentService {
    async fn call(&self, request: Request) -> io::Result<Response> {
        Ok(self.handle(request).await)
    }
}
