//! Explanation of one request from decision logs.
//!
//! Logs of several instances may be mixed; lines of the request are ordered by time, so that a
//! request that was tried on two endpoints reads from top to bottom (`docs/OPERATIONS.md`).

use std::io::BufRead;

use derive_more::Display;
use derive_more::Error;
use serde_json::Value;

/// Fields of a log line that are shown, in this order.
const FIELDS: &[&str] = &[
    "workspace",
    "class",
    "route",
    "model",
    "attempt",
    "resumed",
    "choice",
    "code",
    "reason",
    "predicted",
];

/// Why a request cannot be explained.
#[derive(Debug, Display, Error)]
pub enum ExplainError {
    /// A log cannot be read.
    #[display("cannot read the log: {_0}")]
    Read(std::io::Error),
    /// No log line mentions the request.
    #[display("no line mentions request {_0}")]
    NotFound(#[error(not(source))] String),
}

/// One log line of a request.
#[derive(Clone, Debug)]
pub struct Step {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub time: u64,
    /// The whole line.
    pub line: Value,
}

/// Collects the lines of a request in the order of time.
///
/// Lines that are not JSON are skipped, because logs of a crashed process may end in half a line.
pub fn explain(log: impl BufRead, request: &str) -> Result<Vec<Step>, ExplainError> {
    let mut steps = Vec::new();
    for line in log.lines() {
        let line = line.map_err(ExplainError::Read)?;
        if !line.contains(request) {
            continue;
        }
        let Ok(value) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if field(&value, "request").is_some_and(|id| id == request) {
            steps.push(Step {
                time: value["time"].as_u64().unwrap_or_default(),
                line: value,
            });
        }
    }
    if steps.is_empty() {
        return Err(ExplainError::NotFound(request.to_owned()));
    }
    steps.sort_by_key(|step| step.time);
    Ok(steps)
}

impl Step {
    /// Returns the step as text for an operator.
    pub fn describe(&self) -> String {
        let mut parts = vec![self.time.to_string()];
        for name in FIELDS {
            if let Some(value) = field(&self.line, name) {
                parts.push(format!("{name}={value}"));
            }
        }
        let mut described = parts.join(" ");
        for candidate in candidates(&self.line) {
            described.push_str("\n    ");
            described.push_str(&candidate);
        }
        described
    }
}

fn field(line: &Value, name: &str) -> Option<String> {
    match line.get(name)? {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    }
}

fn candidates(line: &Value) -> impl Iterator<Item = String> {
    let candidates = line["candidates"].as_array();
    candidates.into_iter().flatten().map(|c| {
        let endpoint = c["endpoint"].as_str().unwrap_or("?");
        let score = c["score"].as_f64().unwrap_or(f64::NAN);
        format!("candidate {endpoint} score {score:.1} ms")
    })
}
