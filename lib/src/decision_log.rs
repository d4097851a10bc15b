//! Log of routing decisions, one JSON line each, without keys and without bodies.
//!
//! Lines are written by a thread of their own, so that a slow disk or pipe never delays a request;
//! lines that do not fit into the buffer are counted and dropped.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use crossbeam::channel::Sender;
use crossbeam::channel::TrySendError;
use crossbeam::channel::bounded;
use serde::Serialize;

use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::RequestId;
use crate::ids::RouteId;
use crate::ids::WorkspaceId;
use crate::policy::Candidate;

/// Lines held for the writer thread.
const MAX_BUFFERED_LINES: usize = 4096;

/// One decision.
#[derive(Debug, Serialize)]
pub struct DecisionRecord<'a> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub time: u64,
    /// The request in hexadecimal digits.
    #[serde(serialize_with = "serialize_display")]
    pub request: RequestId,
    /// The workspace that it is served for.
    pub workspace: &'a WorkspaceId,
    /// Its class.
    pub class: &'a ClassId,
    /// Its route.
    pub route: &'a RouteId,
    /// Its model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<&'a ModelId>,
    /// Number of the attempt, from 1; 0 if the request did not come to the policy.
    pub attempt: u32,
    /// Tokens that earlier attempts delivered.
    pub resumed: u32,
    /// Endpoints that failed the request before.
    #[serde(skip_serializing_if = "<[EndpointId]>::is_empty")]
    pub excluded: &'a [EndpointId],
    /// Endpoints that were considered.
    pub candidates: &'a [Candidate],
    /// The endpoint chosen.
    pub choice: Option<&'a EndpointId>,
    /// Number of the result code, if the request was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// The rule that decided.
    pub reason: &'a str,
    /// Predicted time to the first token in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub predicted: Option<u64>,
}

fn serialize_display<T: std::fmt::Display, S: serde::Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Where decisions are logged.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    sender: Option<Sender<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
}

impl DecisionLog {
    /// Starts a thread that writes lines to `writer`.
    pub fn start(mut writer: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = bounded::<Vec<u8>>(MAX_BUFFERED_LINES);
        thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || {
                while let Ok(line) = receiver.recv() {
                    let mut failed = writer.write_all(&line).is_err();
                    for line in receiver.try_iter() {
                        failed |= writer.write_all(&line).is_err();
                    }
                    failed |= writer.flush().is_err();
                    if failed {
                        tracing::warn!("a decision line could not be written");
                    }
                }
            })?;
        Ok(Self {
            sender: Some(sender),
            dropped: Arc::default(),
        })
    }

    /// Logs a decision.
    pub fn write(&self, record: &impl Serialize) {
        let Some(sender) = &self.sender else {
            return;
        };
        let Ok(mut bytes) = serde_json::to_vec(record) else {
            return;
        };
        bytes.push(b'\n');
        if let Err(TrySendError::Full(_)) = sender.try_send(bytes) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
