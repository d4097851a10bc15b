//! Log of routing decisions in JSON lines, without keys and request bodies.
//!
//! A separate thread writes the lines, so that a slow disk or pipe never delays a request. Lines
//! that do not fit into the buffer are dropped and counted.

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

/// Maximum number of lines that wait for the writer thread.
const MAX_BUFFERED_LINES: usize = 4096;

/// Log record of one decision.
#[derive(Debug, Serialize)]
pub struct DecisionRecord<'a> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub time: u64,
    /// Request id in hexadecimal digits.
    #[serde(serialize_with = "serialize_display")]
    pub request: RequestId,
    /// Workspace that the request is charged to.
    pub workspace: &'a WorkspaceId,
    /// Class of the request.
    pub class: &'a ClassId,
    /// Route of the request.
    pub route: &'a RouteId,
    /// Requested model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<&'a ModelId>,
    /// Number of the attempt from 1, or 0 if the request was not submitted to the policy.
    pub attempt: u32,
    /// Number of tokens delivered by earlier attempts.
    pub resumed: u32,
    /// Endpoints excluded because earlier attempts on them failed.
    #[serde(skip_serializing_if = "<[EndpointId]>::is_empty")]
    pub excluded: &'a [EndpointId],
    /// Endpoints considered.
    pub candidates: &'a [Candidate],
    /// Endpoint selected.
    pub choice: Option<&'a EndpointId>,
    /// Number of the result code, if the request was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// Rule that led to the decision.
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

/// Handle to the writer thread of the log; the default one discards all records.
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
                        tracing::warn!("cannot write to the decision log");
                    }
                }
            })?;
        Ok(Self {
            sender: Some(sender),
            dropped: Arc::default(),
        })
    }

    /// Appends a record to the log.
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
