//! Interface between the threads that serve requests and the control state.
//!
//! Only [`Control::submit`] waits for the control thread. [`crate::cluster_control`] implements the
//! interface for an instance of a cluster, [`crate::simple_control`] for a single process.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;

use crate::code::ResultCode;
use crate::command::Command;
use crate::command::Incarnation;
use crate::command::Reply;
use crate::command::UsageRow;
use crate::ids::WorkspaceId;
use crate::view::View;

/// The lease on the view has expired, so the instance must not serve requests from it.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the view of the control state has expired")]
pub struct ViewExpired;

/// The reason why a command has no reply.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// The command was not proposed and will never be applied.
    #[display("no leader accepted the command")]
    NotProposed,
    /// It is unknown whether the command was or will be applied.
    #[display("the reply to the command was lost")]
    Unknown,
}

/// A request was denied because its workspace exceeds one of its limits.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}")]
pub struct Denied {
    /// The result code of the exceeded limit.
    pub code: ResultCode,
    /// Time after which a retry may succeed.
    pub retry: Duration,
}

/// Whether a request is suspected of crashing endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The request is not suspected.
    None,
    /// The request was in flight at one crash; it runs isolated from other suspects.
    Suspect,
    /// The request was in flight at two crashes; it is not run again.
    Quarantined,
}

/// Access to the control state for the threads that serve requests.
pub trait Control: Send + Sync {
    /// Returns the instance name and incarnation number of this process.
    fn incarnation(&self) -> &Incarnation;

    /// Returns the newest view, or an error if its lease has expired.
    fn view(&self, now: Instant) -> Result<Arc<View>, ViewExpired>;

    /// Submits a command and waits for its reply.
    fn submit(&self, command: Command, timeout: Duration) -> Result<Reply, SubmitError>;

    /// Adds to the usage counters, which are reported in the background.
    fn record(&self, row: UsageRow);

    /// Charges one request and its estimated tokens to this instance's share of the workspace's
    /// limits.
    ///
    /// Each success must be followed by exactly one call of [`Control::settle`].
    fn admit(&self, now: Instant, workspace: &WorkspaceId, tokens: u32) -> Result<(), Denied>;

    /// Releases the concurrency slot of a request and replaces its token estimate by the actual use.
    fn settle(&self, now: Instant, workspace: &WorkspaceId, estimated: u32, used: u32);

    /// Returns whether the request with this fingerprint is suspected of crashing endpoints.
    fn suspicion(&self, fingerprint: u64) -> Suspicion;

    /// Returns the number of instances that serve callers, including this one; 0 if unknown.
    fn instance_count(&self) -> u32;
}
