//! Client of the operators' interface, as the operator tool uses it.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::ids::ChangeId;
use crate::view::Edit;
use crate::view::Version;

/// Time for one request; an instance waits up to 6 s until a change is in force.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a request of an operator failed.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// The instance did not answer; a change may have been accepted.
    #[display("no answer from {address}: {cause}")]
    Unreachable {
        /// The instance.
        address: String,
        /// The cause as text.
        cause: String,
    },
    /// The instance refused the request.
    #[display("{code}: {message} ({execution})")]
    Refused {
        /// Number of the result code.
        code: u64,
        /// What is wrong.
        message: String,
        /// Whether the request took effect.
        execution: String,
    },
    /// The answer does not have the expected form.
    #[display("unexpected answer: {_0}")]
    Unexpected(serde_json::Error),
}

/// Rules that an instance holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RuleList {
    /// Their version.
    pub version: Version,
    /// Their lines.
    pub rules: Vec<String>,
}

/// Answer to an accepted change.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AcceptedChange {
    /// The version that the change led to.
    pub version: Version,
    /// Whether it is known to be in force at every instance.
    pub in_force: bool,
}

/// A change in the history.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// The version that it led to.
    pub version: Version,
    /// Its id.
    pub id: ChangeId,
    /// Who submitted it.
    pub author: String,
    /// Wall-clock time of acceptance in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Its steps.
    pub edits: Vec<Value>,
}

/// Speaks to one instance.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    agent: ureq::Agent,
    address: String,
    token: String,
}

impl OperatorClient {
    /// Creates a client for an instance.
    pub fn new(address: &str, token: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build()
            .new_agent();
        Self {
            agent,
            address: address.to_owned(),
            token: token.trim().to_owned(),
        }
    }

    /// Returns the rules that the instance holds.
    pub fn rules(&self) -> Result<RuleList, ClientError> {
        self.get("/control/rules").and_then(decode)
    }

    /// Returns the newest changes, at most `count`.
    pub fn history(&self, count: u32) -> Result<Vec<HistoryEntry>, ClientError> {
        let mut answer = self.get(&format!("/control/history?count={count}"))?;
        decode(answer["changes"].take())
    }

    /// Returns the state of the instance.
    pub fn status(&self) -> Result<Value, ClientError> {
        self.get("/control/status")
    }

    /// Submits a change.
    pub fn apply(
        &self,
        id: &ChangeId,
        expected: Version,
        author: &str,
        edits: &[Edit],
    ) -> Result<AcceptedChange, ClientError> {
        let mut set = Vec::new();
        let mut remove = Vec::new();
        for edit in edits {
            match edit {
                Edit::Set(rule) => set.push(rule.line.as_str()),
                Edit::Remove(key) => remove.push(key.to_string()),
            }
        }
        let body = json!({
            "id": id,
            "expected": expected,
            "author": author,
            "set": set,
            "remove": remove,
        });
        let request = self.agent.post(self.url("/control/changes"));
        let response = request
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json")
            .send(body.to_string());
        self.read(response).and_then(decode)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn get(&self, path: &str) -> Result<Value, ClientError> {
        let request = self.agent.get(self.url(path));
        let response = request
            .header("authorization", format!("Bearer {}", self.token))
            .call();
        self.read(response)
    }

    fn read(
        &self,
        response: Result<http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Value, ClientError> {
        let unreachable = |error: ureq::Error| ClientError::Unreachable {
            address: self.address.clone(),
            cause: error.to_string(),
        };
        let mut response = response.map_err(unreachable)?;
        let text = response
            .body_mut()
            .with_config()
            .limit(u64::MAX)
            .read_to_string()
            .map_err(unreachable)?;
        let value: Value = serde_json::from_str(&text).map_err(ClientError::Unexpected)?;
        let error = &value["error"];
        if error.is_null() {
            return Ok(value);
        }
        Err(ClientError::Refused {
            code: error["code"].as_u64().unwrap_or_default(),
            message: error["message"].as_str().unwrap_or_default().to_owned(),
            execution: error["execution"].as_str().unwrap_or("unknown").to_owned(),
        })
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, ClientError> {
    serde_json::from_value(value).map_err(ClientError::Unexpected)
}
