//! Live migration of running streams from an engine that is about to stop to another engine.
//!
//! The engine first copies the memory of the run while the run continues, then stops the run and copies
//! what has changed, so that the stream pauses only for the second, short copy. This serves the following
//! load pattern: reclaimable engines of a whole availability zone are reclaimed while they serve streams,
//! most of which last longer than the notice.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use tokio::time::timeout;

use crate::dialect::CopyAnswer;
use crate::dialect::Dialect;
use crate::dialect::PlatformCall;
use crate::dialect::RunCopy;
use crate::fair_timeout::fair_timeout;
use crate::upstream::Call;
use crate::upstream::Client;

/// Timeout of a copy; a reclaimed engine has a few seconds of notice.
pub(crate) const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the response to a copy call.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Where a run continues after an attempt to move it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum MoveOutcome {
    /// At the engine that received the copy.
    #[display("elsewhere")]
    Elsewhere,
    /// At its engine, since it was not stopped.
    #[display("in place")]
    InPlace,
    /// At its engine, unless the engine has stopped it: the call that was to stop it got no answer.
    #[display("unknown")]
    Unknown,
    /// At its engine, where it was stopped, from the state that the engine still holds.
    #[display("resumed in place")]
    Resumed,
}

/// Decides where a run continues, from the responses to the first copy call and to the one that stops it.
pub fn place(first: &CopyAnswer, stop: Option<&CopyAnswer>) -> MoveOutcome {
    match (first, stop) {
        (CopyAnswer::Made { .. }, Some(CopyAnswer::Made { .. })) => MoveOutcome::Elsewhere,
        (CopyAnswer::Made { .. }, Some(CopyAnswer::NoRoom { handle: Some(_) })) => {
            MoveOutcome::Resumed
        }
        // The engine stops the run before it looks for room.
        (CopyAnswer::Made { .. }, Some(CopyAnswer::NoRoom { handle: None })) => {
            MoveOutcome::Unknown
        }
        _ => MoveOutcome::InPlace,
    }
}

/// Client for the copy calls of one engine about one request.
pub(crate) struct RunCopier<'a> {
    pub client: &'a Client,
    pub dialect: &'a dyn Dialect,
    /// The engine that runs the request.
    pub source: SocketAddr,
    /// ID of the request.
    pub id: &'a str,
}

impl RunCopier<'_> {
    /// Copies the run to another engine and stops it; returns where it continues, and from which copy.
    pub(crate) async fn hand_over(&self, to: SocketAddr) -> (MoveOutcome, Option<RunCopy>) {
        let Some(first) = self.copy(to, false).await else {
            return (MoveOutcome::InPlace, None);
        };
        let stop = match &first {
            CopyAnswer::Made { .. } => match self.copy(to, true).await {
                // The copy is kept, since the run may have been stopped.
                None => return (MoveOutcome::Unknown, None),
                stop => stop,
            },
            _ => None,
        };
        let place = place(&first, stop.as_ref());
        let handle = match (place, stop) {
            (MoveOutcome::InPlace, _) => {
                if let CopyAnswer::Made { handle } = &first {
                    self.forget(handle).await;
                }
                None
            }
            (_, Some(CopyAnswer::Made { handle })) => Some(handle),
            (_, Some(CopyAnswer::NoRoom { handle })) => handle,
            _ => None,
        };
        let copy = handle.map(|handle| RunCopy {
            source: self.source,
            handle,
        });
        (place, copy)
    }

    /// Calls the engine to copy the run; returns `None` if no readable answer arrives in time.
    async fn copy(&self, to: SocketAddr, stops: bool) -> Option<CopyAnswer> {
        let call = self.dialect.copy_call(self.id, to, stops);
        let answer = fair_timeout(COPY_TIMEOUT, self.send(call)).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let answer = answer.and_then(|(status, body)| {
            let answer = self.dialect.copy_answer(status, &body);
            answer.map_err(|error| error.to_string())
        });
        answer
            .inspect_err(|error| {
                tracing::info!(request = self.id, engine = %self.source, stops, %error, "cannot copy the run");
            })
            .ok()
    }

    /// Frees a copy that is not used.
    async fn forget(&self, handle: &str) {
        let call = self.dialect.release_copy_call(handle);
        let sent = timeout(COPY_TIMEOUT, self.send(call)).await;
        if !matches!(sent, Ok(Ok(_))) {
            // The engine frees unused copies by itself after some seconds.
            tracing::debug!(request = self.id, engine = %self.source, "cannot free the copy of the run");
        }
    }

    async fn send(&self, call: PlatformCall) -> Result<(u16, Vec<u8>), String> {
        let call = Call {
            address: self.source,
            method: call.method,
            path: &call.path,
            headers: call.headers,
            body: call.body.into(),
            // These responses name no request, so on a pooled connection a late response to another call
            // would be accepted.
            pooled: false,
            echo: None,
        };
        let mut answer = self
            .client
            .send(call)
            .await
            .map_err(|error| error.to_string())?;
        let body = answer
            .collect(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        Ok((answer.status, body.bytes))
    }
}
