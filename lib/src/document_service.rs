//! HTTP service through which operators replace and read the configuration document.
//!
//! The adapter ([`Dialect`]) defines the paths and the format. A document is validated before it is
//! proposed, so only valid documents are replicated. A read goes through the replicated log and therefore
//! returns no document older than an acknowledged one; if that does not succeed in time, the response is
//! [`ResultCode::ControlUnavailable`].

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt as _;
use http_body_util::Limited;

use crate::answer;
use crate::cluster_control::ClusterControl;
use crate::code::ResultCode;
use crate::command::Command;
use crate::command::Reply;
use crate::control::Control;
use crate::dialect::Dialect;
use crate::dialect::OperatorCall;
use crate::rules::Document;
use crate::server::Request;
use crate::server::Response;
use crate::server::Service;

/// Maximum size of a document in bytes; several times the largest that operators are known to send.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Timeout for receiving a document.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for applying a command. Operators abandon a request after one second and try another instance.
const APPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Handles the operators' requests to replace and read the configuration document.
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
        let result = match call {
            Some(OperatorCall::Replace) => self.replace(request).await,
            Some(OperatorCall::Read) => self.read().await,
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
        match self.submit(Command::ReplaceDocument(document)).await? {
            Reply::Applied { version } => {
                tracing::info!(revision, view = version.0, "acknowledged a configuration");
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
