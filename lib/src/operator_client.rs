//! HTTP client of the operator API.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::ids::ChangeId;
use crate::ids::ZoneId;
use crate::operator::EVACUATION_PATH;
use crate::view::Edit;
use crate::view::Version;

/// Timeout of a request; an instance waits up to 6 s for a change to come into force.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of a request to the operator API.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// The instance did not respond; a submitted change may have been accepted.
    #[display("no response from {address}: {cause}")]
    Unreachable {
        /// Address of the instance.
        address: String,
        /// Text of the underlying error.
        cause: String,
    },
    /// The instance refused the request.
    #[display("{code}: {message} ({execution})")]
    Refused {
        /// Number of the result code.
        code: u64,
        /// Reason for the refusal.
        message: String,
        /// Whether the request was executed.
        execution: String,
    },
    /// The response does not have the expected format.
    #[display("unexpected response: {_0}")]
    Unexpected(serde_json::Error),
}

/// Rules held by an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RuleList {
    /// Version of the rules.
    pub version: Version,
    /// Rules, one line each.
    pub rules: Vec<String>,
    /// Evacuated zones, which are not part of the rules.
    #[serde(default)]
    pub evacuated: Vec<ZoneId>,
}

/// Response to an accepted change.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AcceptedChange {
    /// Version that the change created.
    pub version: Version,
    /// Whether the change is known to be in force at every instance.
    pub in_force: bool,
}

/// Change in the history.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Version that the change created.
    pub version: Version,
    /// Id of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: String,
    /// Wall-clock time of acceptance in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Edits of the change, as JSON objects with `set` or `remove`.
    pub edits: Vec<Value>,
}

/// Client of the operator API of an instance.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    agent: ureq::Agent,
    address: String,
    token: String,
}

impl OperatorClient {
    /// Creates a client for the instance at an address.
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

    /// Returns the rules held by the instance.
    pub fn rules(&self) -> Result<RuleList, ClientError> {
        self.get("/control/rules").and_then(decode)
    }

    /// Returns the newest changes, at most `count`.
    pub fn history(&self, count: u32) -> Result<Vec<HistoryEntry>, ClientError> {
        let mut answer = self.get(&format!("/control/history?count={count}"))?;
        decode(answer["changes"].take())
    }

    /// Returns the status of the instance.
    pub fn status(&self) -> Result<Value, ClientError> {
        self.get("/control/status")
    }

    /// Submits a change against the version `expected`.
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

    /// Starts or ends the evacuation of a zone. An order may be sent again at any time.
    pub fn set_evacuation(
        &self,
        zone: &str,
        is_active: bool,
    ) -> Result<AcceptedChange, ClientError> {
        let zone = utf8_percent_encode(zone, NON_ALPHANUMERIC);
        let url = self.url(&format!("{EVACUATION_PATH}{zone}"));
        let token = format!("Bearer {}", self.token);
        let response = match is_active {
            true => {
                let request = self.agent.post(url).header("authorization", token);
                request.send_empty()
            }
            false => self.agent.delete(url).header("authorization", token).call(),
        };
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
