//! What a process does after a panic.
//!
//! A panic must neither be silent nor leave a process that looks alive but does not work:
//!
//! * Each panic is logged with its location ([`log_panics`]).
//! * A panic in a request ends that request only.
//! * A panic while the platform's bytes are read ends that read; the thread goes on with the next one.
//!   Otherwise a single odd entry of a list that all instances read would end all of them.
//! * Locks of observations, which the next responses and lists correct, stay usable after a panic
//!   ([`lock`]). Other locks end whoever takes them after a panic.
//! * A panic of a part that takes part in the control state, without which the process would serve an old
//!   configuration, stops the process in an orderly way ([`on_failure`]), so that it is started again.

use std::any::Any;
use std::future::Future;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use futures::FutureExt as _;

use crate::platform::PlatformError;

/// Error of a call that ended by a panic.
const PANICKED: &str = "the call ended by a panic";

static FAILED: AtomicBool = AtomicBool::new(false);
static FAILURE_HANDLER: OnceLock<fn()> = OnceLock::new();

/// Logs each panic of this process with its location, instead of printing it.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let thread = std::thread::current();
        tracing::error!(
            thread = thread.name(),
            location = info.location().map(tracing::field::display),
            reason = reason(info.payload()),
            "panic"
        );
    }));
}

/// Returns the message of a panic.
fn reason(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("unknown")
}

/// Sets the function that requests an orderly stop of this process after the failure of a vital part.
///
/// Only the first function that is set counts.
pub fn on_failure(stop: fn()) {
    if FAILURE_HANDLER.set(stop).is_err() {
        tracing::error!("the handler of failures is already set");
    }
}

/// Returns whether a vital part of this process ended by a panic.
pub fn has_failed() -> bool {
    FAILED.load(Ordering::Relaxed)
}

fn fail(part: &'static str) {
    tracing::error!(part, "a vital part ended by a panic; the process stops");
    FAILED.store(true, Ordering::Relaxed);
    if let Some(stop) = FAILURE_HANDLER.get() {
        stop();
    }
}

/// Runs a vital part of this process.
pub fn run_vital(part: &'static str, work: impl FnOnce()) {
    if panic::catch_unwind(AssertUnwindSafe(work)).is_err() {
        fail(part);
    }
}

/// Runs a vital part of this process as a task.
pub async fn run_vital_task(part: &'static str, task: impl Future<Output = ()>) {
    if AssertUnwindSafe(task).catch_unwind().await.is_err() {
        fail(part);
    }
}

/// The result of a call that may end by a panic.
pub trait FromPanic {
    /// Returns the result of a call that ended by a panic, so that its outcome is unknown.
    fn from_panic() -> Self;
}

impl<T> FromPanic for Result<T, PlatformError> {
    fn from_panic() -> Self {
        Err(PlatformError::Unknown(PANICKED.to_owned()))
    }
}

impl<T> FromPanic for Result<T, String> {
    fn from_panic() -> Self {
        Err(PANICKED.to_owned())
    }
}

/// Makes a call that handles bytes of others.
pub fn contain<R: FromPanic>(call: impl FnOnce() -> R) -> R {
    panic::catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|_| R::from_panic())
}

/// Locks observations, which may be incomplete if a panic interrupted a change.
pub fn lock<T>(observations: &Mutex<T>) -> MutexGuard<'_, T> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}
