//! Numbered result codes that callers and operators see.
//!
//! `docs/result-codes.md` lists every code; a test checks that the table and this list agree.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// States whether a refused or failed request ran on an endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of the request reached an endpoint.
    #[display("not run")]
    #[serde(rename = "not run")]
    NotRun,
    /// The request ran.
    #[display("ran")]
    Ran,
    /// The request may have run; it is not repeated by the router.
    #[display("unknown")]
    Unknown,
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $kind:literal, $text:literal;)*) => {
        /// A numbered outcome of a request or an operator command.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// Returns the HTTP status that carries this code.
            pub fn status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// Returns the `type` field of the error body, as common client libraries expect it.
            pub fn kind(self) -> &'static str {
                match self { $(ResultCode::$name => $kind,)* }
            }

            /// Returns the message shown to the caller.
            pub fn text(self) -> &'static str {
                match self { $(ResultCode::$name => $text,)* }
            }
        }
    };
}

result_codes! {
    /// The request completed.
    Ok = 0, 200, "ok", "completed";
    /// The request line, headers or body could not be parsed.
    BadRequest = 1001, 400, "invalid_request_error", "the request is malformed";
    /// The body exceeds the size limit.
    BodyTooLarge = 1002, 413, "invalid_request_error", "the body exceeds the size limit";
    /// The body did not arrive in time.
    BodyTimeout = 1003, 408, "invalid_request_error", "the body did not arrive in time";
    /// The path exists, but not for this method.
    MethodNotAllowed = 1004, 405, "invalid_request_error", "the method is not allowed on this path";
    /// No route matches.
    UnknownRoute = 1005, 404, "invalid_request_error", "no route matches this path";
    /// The model is unknown to the workspace.
    UnknownModel = 1006, 404, "invalid_request_error", "the model does not exist or is not available to this workspace";
    /// The class is unknown to the workspace.
    UnknownClass = 1007, 400, "invalid_request_error", "the request class does not exist or is not available to this workspace";
    /// A non-idempotent route needs the header `Idempotency-Key`.
    IdempotencyKeyRequired = 1008, 400, "invalid_request_error", "this route requires the header Idempotency-Key";
    /// The idempotency key was used before with another body.
    IdempotencyKeyReused = 1009, 422, "invalid_request_error", "the idempotency key was used with another request body";
    /// The API key is missing, unknown or revoked.
    InvalidKey = 1101, 401, "authentication_error", "the API key is missing, unknown or withdrawn";
    /// The API key does not allow this route.
    Forbidden = 1102, 403, "permission_error", "the API key does not allow this route";
    /// The API key was revoked while the response was being streamed.
    KeyWithdrawn = 1103, 401, "authentication_error", "the API key was withdrawn while the answer was streaming";
    /// The workspace exceeds its request rate.
    RequestLimit = 1201, 429, "rate_limit_error", "the workspace exceeds its request limit";
    /// The workspace exceeds its token rate.
    TokenLimit = 1202, 429, "rate_limit_error", "the workspace exceeds its token limit";
    /// The workspace exceeds its number of concurrent requests.
    ConcurrencyLimit = 1203, 429, "rate_limit_error", "the workspace exceeds its concurrency limit";
    /// The request was shed because its latency target cannot be met.
    Overloaded = 1301, 503, "overloaded_error", "the request was shed because its target cannot be met at the present load";
    /// No endpoint serves the route at the moment.
    NoEndpoint = 1302, 503, "overloaded_error", "no endpoint is available for this route";
    /// The deadline passed while the request was queued.
    QueueTimeout = 1303, 503, "overloaded_error", "the deadline passed while the request was queued";
    /// The request has crashed endpoints and is not run again.
    Quarantined = 1304, 422, "invalid_request_error", "the request is quarantined because it crashed endpoints";
    /// Endpoints stopped while they ran the request, so it is temporarily sent to none.
    Withheld = 1305, 503, "overloaded_error", "the request was not run because endpoints ended under it before";
    /// The instance is shutting down.
    Draining = 1401, 503, "overloaded_error", "this instance is shutting down";
    /// The instance's view of keys and rules is too old to serve.
    ViewExpired = 1402, 503, "overloaded_error", "this instance has lost contact with the control state";
    /// The control state did not accept a command in time.
    ControlUnavailable = 1403, 503, "overloaded_error", "the control state is not available";
    /// The endpoint failed before it answered.
    EndpointFailed = 1501, 502, "api_error", "the endpoint failed before it answered";
    /// The endpoint did not answer in time.
    EndpointTimeout = 1502, 504, "api_error", "the endpoint did not answer in time";
    /// The stream ended early and could not be resumed.
    StreamInterrupted = 1503, 502, "api_error", "the stream was interrupted and could not be resumed";
    /// The outcome of a non-idempotent call is unknown.
    OutcomeUnknown = 1504, 409, "api_error", "the outcome of this call is unknown and it will not be run again";
    /// The call ran before, and its response was too large to be stored or is stored no longer.
    OutcomeNotStored = 1505, 409, "api_error", "the call ran before and its answer is no longer stored";
    /// The change was based on a version other than the current one.
    VersionConflict = 1601, 409, "conflict_error", "the expected version is not the current version";
    /// The rules file has errors.
    InvalidRules = 1602, 422, "invalid_request_error", "the rules contain errors";
    /// The change ID was used before with other content.
    ChangeIdReused = 1603, 422, "invalid_request_error", "the change id was used with other content";
    /// The command was sent to an instance that is not the leader.
    NotLeader = 1604, 421, "api_error", "this instance is not the leader";
    /// An unexpected fault inside the router.
    Internal = 1901, 500, "api_error", "internal error";
}

impl ResultCode {
    /// Returns the number that callers and logs see.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}
