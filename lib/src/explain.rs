//! Extracts the decisions about a request from decision logs.
//!
//! The logs of several instances may be concatenated: the records are sorted by time, so that the
//! attempts of a request on different endpoints appear in order. See `docs/OPERATIONS.md`.

use std::io::BufRead;

use derive_more::Display;
use derive_more::Error;
use serde_json::Value;

/// Fields of a log record that are displayed, in this order.
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

/// Error of [`explain`].
#[derive(Debug, Display, Error)]
pub enum ExplainError {
    /// A log cannot be read.
    #[display("cannot read the log: {_0}")]
    Read(std::io::Error),
    /// No log line mentions the request.
    #[display("no line mentions request {_0}")]
    NotFound(#[error(not(source))] String),
}

/// Log record of a decision about a request.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub time: u64,
    /// All fields of the record.
    pub fields: Value,
}

/// Returns the log records of a request in order of time.
///
/// Lines that are not JSON are skipped, because the log of a crashed process may end with an
/// incomplete line.
pub fn explain(log: impl BufRead, request: &str) -> Result<Vec<LogRecord>, ExplainError> {
    let mut records = Vec::new();
    for line in log.lines() {
        let line = line.map_err(ExplainError::Read)?;
        if !line.contains(request) {
            continue;
        }
        let Ok(value) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if field(&value, "request").is_some_and(|id| id == request) {
            records.push(LogRecord {
                time: value["time"].as_u64().unwrap_or_default(),
                fields: value,
            });
        }
    }
    if records.is_empty() {
        return Err(ExplainError::NotFound(request.to_owned()));
    }
    records.sort_by_key(|record| record.time);
    Ok(records)
}

impl LogRecord {
    /// Formats the record as text for an operator.
    pub fn describe(&self) -> String {
        let mut parts = vec![self.time.to_string()];
        for name in FIELDS {
            if let Some(value) = field(&self.fields, name) {
                parts.push(format!("{name}={value}"));
            }
        }
        let mut described = parts.join(" ");
        for candidate in candidates(&self.fields) {
            described.push_str("\n    ");
            described.push_str(&candidate);
        }
        described
    }
}

fn field(fields: &Value, name: &str) -> Option<String> {
    match fields.get(name)? {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    }
}

fn candidates(fields: &Value) -> impl Iterator<Item = String> {
    let candidates = fields["candidates"].as_array();
    candidates.into_iter().flatten().map(|c| {
        let endpoint = c["endpoint"].as_str().unwrap_or("?");
        let score = c["score"].as_f64().unwrap_or(f64::NAN);
        format!("candidate {endpoint} score {score:.1} ms")
    })
}
