//! Interface between traffic threads and the control state.
//!
//! Traffic threads never wait for the control thread except in [`Control::submit`]. The
//! single-process version is [`crate::simple_control`].

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

/// The view is older than its lease allows, so it must not be served from.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the view of the control state has expired")]
pub struct ViewExpired;

/// Why a command has no reply.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// The command was not proposed and will not be applied.
    #[display("no leader accepted the command")]
    NotProposed,
    /// The command may or may not be applied.
    #[display("the reply to the command was lost")]
    Unknown,
}

/// A workspace is over one of its limits.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}")]
pub struct Denied {
    /// Which limit.
    pub code: ResultCode,
    /// When a retry is worthwhile.
    pub retry: Duration,
}

/// What is known about a request that may crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing is held against it.
    None,
    /// It was in flight at one crash; it runs apart from other suspects.
    Suspect,
    /// It was in flight at two crashes; it is not run again.
    Quarantined,
}

/// Access of traffic threads to the control state.
pub trait Control: Send + Sync {
    /// Returns the identity of this process.
    fn incarnation(&self) -> &Incarnation;

    /// Returns the newest view, unless its lease has expired.
    fn view(&self, now: Instant) -> Result<Arc<View>, ViewExpired>;

    /// Submits a command and waits for its reply.
    fn submit(&self, command: Command, timeout: Duration) -> Result<Reply, SubmitError>;

    /// Counts usage, which is reported in the background.
    fn record(&self, row: UsageRow);

    /// Takes one request and its estimated tokens from the workspace's share of its limits.
    ///
    /// Each success must be matched by one [`Control::settle`].
    fn admit(&self, now: Instant, workspace: &WorkspaceId, tokens: u32) -> Result<(), Denied>;

    /// Returns the concurrency place and corrects the token estimate by what was really used.
    fn settle(&self, now: Instant, workspace: &WorkspaceId, estimated: u32, used: u32);

    /// Tells what is known about a request by its fingerprint.
    fn suspicion(&self, fingerprint: u64) -> Suspicion;

    /// Returns how many instances serve callers, this one included; 0 if it is not known.
    fn instance_count(&self) -> u32;
}
