//! Response bodies and stream events in the format of the OpenAI API.

use std::borrow::Cow;
use std::time::Duration;

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::json;

use crate::code::Execution;
use crate::code::ResultCode;
use crate::ids::ModelId;
use crate::ids::RequestId;

/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// Error returned to a caller in place of an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Delay after which the caller may retry, or `None` if a retry is not useful.
    pub retry_after: Option<Duration>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            retry_after: None,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that may have been executed.
    pub fn possibly_executed(code: ResultCode) -> Self {
        Self {
            code,
            execution: Execution::Unknown,
            retry_after: None,
        }
    }

    /// Returns whether a client library should retry the request.
    ///
    /// A request that may have been executed or that would fail again is not retryable. Client
    /// libraries must be told so, because by default they retry after status 409 and every server
    /// error.
    pub fn is_retryable(&self) -> bool {
        let has_retryable_status = matches!(self.code.status(), 408 | 429 | 500 | 502..=504);
        has_retryable_status && self.execution == Execution::NotRun
    }

    /// Returns the JSON error body, which also serves as the data of an error event.
    pub fn body(&self, id: RequestId) -> String {
        json!({"error": {
            "message": self.code.text(),
            "type": self.code.kind(),
            "param": null,
            "code": self.code.number(),
            "execution": self.execution,
            "request_id": id.to_string(),
            "retry_after_ms": self.retry_after.map(|r| r.as_millis() as u64),
        }})
        .to_string()
    }
}

/// Returns the error body for a request whose head could not be parsed.
pub fn malformed() -> String {
    let code = ResultCode::BadRequest;
    json!({"error": {
        "message": code.text(),
        "type": code.kind(),
        "param": null,
        "code": code.number(),
        "execution": Execution::NotRun,
    }})
    .to_string()
}

/// Returns the JSON object that describes a model.
pub fn model(id: &ModelId) -> serde_json::Value {
    json!({"id": id, "object": "model", "created": 0, "owned_by": "fulmarford"})
}

/// Returns the JSON list of models.
pub fn models(ids: &[ModelId]) -> String {
    let data: Vec<_> = ids.iter().map(model).collect();
    json!({"object": "list", "data": data}).to_string()
}

/// Token counts reported by an engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// Number of tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Number of tokens in the response.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// Fields of a response without streaming that the router reads.
#[derive(Debug, Deserialize)]
pub struct CompletionResponse {
    /// Token counts of the request.
    pub usage: Option<Usage>,
}

/// Fields of a stream event that the router reads.
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    /// Id of the response, which is the same in all events of a stream.
    #[serde(borrow)]
    pub id: Option<Cow<'a, str>>,
    /// Alternative completions.
    #[serde(borrow, default)]
    pub choices: Vec<Choice<'a>>,
    /// Token counts, sent with the last event only.
    pub usage: Option<Usage>,
    /// Error reported by the engine.
    pub error: Option<IgnoredAny>,
}

/// Part of one alternative completion in a stream event.
#[derive(Debug, Deserialize)]
pub struct Choice<'a> {
    /// New content of a chat completion.
    #[serde(borrow)]
    pub delta: Option<Delta<'a>>,
    /// New text of a completion without chat.
    #[serde(borrow)]
    pub text: Option<Cow<'a, str>>,
    /// Reason why the alternative ended, set in its last event.
    pub finish_reason: Option<IgnoredAny>,
    /// Token probabilities, which a resumed stream cannot continue.
    pub logprobs: Option<IgnoredAny>,
}

/// New content of a chat completion.
#[derive(Debug, Deserialize)]
pub struct Delta<'a> {
    /// Text content.
    #[serde(borrow)]
    pub content: Option<Cow<'a, str>>,
    /// Tool calls, which a resumed stream cannot continue.
    pub tool_calls: Option<IgnoredAny>,
    /// Function call, which a resumed stream cannot continue.
    pub function_call: Option<IgnoredAny>,
    /// Reasoning text, which a resumed stream cannot continue.
    pub reasoning_content: Option<IgnoredAny>,
    /// Refusal by the model, which a resumed stream cannot continue.
    pub refusal: Option<IgnoredAny>,
}

impl Choice<'_> {
    /// Returns the new text of the alternative.
    pub fn text(&self) -> &str {
        let delta = self.delta.as_ref().and_then(|d| d.content.as_deref());
        delta.or(self.text.as_deref()).unwrap_or("")
    }

    /// Returns whether the event carries content other than text.
    pub fn has_non_text_content(&self) -> bool {
        self.logprobs.is_some()
            || self.delta.as_ref().is_some_and(|d| {
                d.tool_calls.is_some()
                    || d.function_call.is_some()
                    || d.reasoning_content.is_some()
                    || d.refusal.is_some()
            })
    }
}
