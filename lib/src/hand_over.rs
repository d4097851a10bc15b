//! Moves a running stream from an engine that leaves to another one.
//!
//! The engine copies the memory of the run while it goes on, then stops it and copies what is new, so
//! that the stream pauses for the second, short copy only. It answers this load pattern: a zone of
//! reclaimable engines that is taken back while streams run there, most of which last longer than the
//! notice.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use tokio::time::timeout;

use crate::dialect::CopyAnswer;
use crate::dialect::Dialect;
use crate::dialect::PlatformCall;
use crate::dialect::RunCopy;
use crate::upstream::Call;
use crate::upstream::Client;

/// Time allowed for a copy; the notice of an engine that is taken back is a few seconds.
const COPY_LIMIT: Duration = Duration::from_secs(2);

/// Largest answer to a call for a copy that is read, in bytes.
const MAX_ANSWER: usize = 16 << 10;

/// Where a run goes on after the calls.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Place {
    /// At the engine that has the copy.
    #[display("elsewhere")]
    Elsewhere,
    /// Where it was, since it was not stopped or its outcome is unknown.
    #[display("in place")]
    InPlace,
    /// Where it was stopped, from what the engine still holds.
    #[display("resumed in place")]
    Resumed,
}

/// Decides where a run goes on, from the answers to the first call and to the one that stops it.
pub fn place(first: &CopyAnswer, stop: Option<&CopyAnswer>) -> Place {
    match (first, stop) {
        (CopyAnswer::Made { .. }, Some(CopyAnswer::Made { .. })) => Place::Elsewhere,
        (CopyAnswer::Made { .. }, Some(CopyAnswer::NoRoom { handle: Some(_) })) => Place::Resumed,
        _ => Place::InPlace,
    }
}

/// Calls an engine for copies of runs.
pub(crate) struct Copier<'a> {
    pub client: &'a Client,
    pub dialect: &'a dyn Dialect,
    /// The engine that runs the request.
    pub source: SocketAddr,
    /// Identity of the request.
    pub id: &'a str,
}

impl Copier<'_> {
    /// Copies a run to an engine and stops it; returns what it goes on from.
    pub(crate) async fn hand_over(&self, to: SocketAddr) -> (Place, Option<RunCopy>) {
        let first = self.copy(to, false).await;
        let stop = match &first {
            CopyAnswer::Made { .. } => Some(self.copy(to, true).await),
            _ => None,
        };
        let place = place(&first, stop.as_ref());
        let handle = match (place, stop) {
            (Place::InPlace, _) => {
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

    async fn copy(&self, to: SocketAddr, stops: bool) -> CopyAnswer {
        let call = self.dialect.copy_call(self.id, to, stops);
        let answer = timeout(COPY_LIMIT, self.send(call)).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let answer = answer.and_then(|(status, body)| {
            let answer = self.dialect.copy_answer(status, &body);
            answer.map_err(|error| error.to_string())
        });
        answer.unwrap_or_else(|error| {
            tracing::info!(request = self.id, engine = %self.source, %error, "no copy of a run");
            CopyAnswer::NoRun
        })
    }

    /// Frees a copy that nobody will use.
    async fn forget(&self, handle: &str) {
        let call = self.dialect.release_copy_call(handle);
        let sent = timeout(COPY_LIMIT, self.send(call)).await;
        if !matches!(sent, Ok(Ok(_))) {
            // The engine frees it by itself after some seconds.
            tracing::debug!(request = self.id, engine = %self.source, "cannot free a copy");
        }
    }

    async fn send(&self, call: PlatformCall) -> Result<(u16, Vec<u8>), String> {
        let call = Call {
            address: self.source,
            method: call.method,
            path: &call.path,
            headers: call.headers,
            body: call.body.into(),
            // These answers name no request, so that a late one of another call would be taken.
            pooled: false,
            echo: None,
        };
        let mut answer = self
            .client
            .send(call)
            .await
            .map_err(|error| error.to_string())?;
        let body = answer
            .collect(MAX_ANSWER)
            .await
            .map_err(|error| error.to_string())?;
        Ok((answer.status, body.bytes))
    }
}
