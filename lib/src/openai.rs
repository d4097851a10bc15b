//! Bodies and events of the language-model interface as the usual client libraries expect them.

use std::borrow::Cow;
use std::time::Duration;

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::json;

use crate::code::Execution;
use crate::code::ResultCode;
use crate::ids::ModelId;
use crate::ids::RequestId;

/// Last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// Why a request got no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What happened.
    pub code: ResultCode,
    /// Whether the request ran.
    pub execution: Execution,
    /// When a retry is worthwhile.
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
    /// Creates a refusal of a request that may have run.
    pub fn possibly_executed(code: ResultCode) -> Self {
        Self {
            code,
            execution: Execution::Unknown,
            retry_after: None,
        }
    }

    /// Tells whether a client library should send the request again.
    ///
    /// It says no after a failure that may have run or that would come again; client libraries
    /// otherwise repeat every request answered with 409 or a server error.
    pub fn is_retryable(&self) -> bool {
        let has_retryable_status = matches!(self.code.status(), 408 | 429 | 500 | 502..=504);
        has_retryable_status && self.execution == Execution::NotRun
    }

    /// Returns the JSON body, which is also the data of an error event.
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

/// Returns the body of an answer to a head that could not be parsed.
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

/// Returns the description of one model.
pub fn model(id: &ModelId) -> serde_json::Value {
    json!({"id": id, "object": "model", "created": 0, "owned_by": "fulmarford"})
}

/// Returns the list of models.
pub fn models(ids: &[ModelId]) -> String {
    let data: Vec<_> = ids.iter().map(model).collect();
    json!({"object": "list", "data": data}).to_string()
}

/// Token counts that an engine reports.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// Parts of a plain answer that the router reads.
#[derive(Debug, Deserialize)]
pub struct CompletionResponse {
    /// Token counts.
    pub usage: Option<Usage>,
}

/// Parts of a stream event that the router reads.
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    /// Id of the stream.
    #[serde(borrow)]
    pub id: Option<Cow<'a, str>>,
    /// One entry per alternative.
    #[serde(borrow, default)]
    pub choices: Vec<Choice<'a>>,
    /// Token counts, in the last event only.
    pub usage: Option<Usage>,
    /// Set if the engine failed.
    pub error: Option<IgnoredAny>,
}

/// One alternative of a stream event.
#[derive(Debug, Deserialize)]
pub struct Choice<'a> {
    /// New text of a chat.
    #[serde(borrow)]
    pub delta: Option<Delta<'a>>,
    /// New text of a plain completion.
    #[serde(borrow)]
    pub text: Option<Cow<'a, str>>,
    /// Set when the alternative ends.
    pub finish_reason: Option<IgnoredAny>,
    /// Probabilities, which a resumed stream does not continue.
    pub logprobs: Option<IgnoredAny>,
}

/// New content of a chat.
#[derive(Debug, Deserialize)]
pub struct Delta<'a> {
    /// Text.
    #[serde(borrow)]
    pub content: Option<Cow<'a, str>>,
    /// Tool calls, which a resumed stream does not continue.
    pub tool_calls: Option<IgnoredAny>,
    /// A function call, which a resumed stream does not continue.
    pub function_call: Option<IgnoredAny>,
    /// Reasoning, which a resumed stream does not continue.
    pub reasoning_content: Option<IgnoredAny>,
    /// A refusal by the model, which a resumed stream does not continue.
    pub refusal: Option<IgnoredAny>,
}

impl Choice<'_> {
    /// Returns the new text.
    pub fn text(&self) -> &str {
        let delta = self.delta.as_ref().and_then(|d| d.content.as_deref());
        delta.or(self.text.as_deref()).unwrap_or("")
    }

    /// Tells whether the event carries content besides text.
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
