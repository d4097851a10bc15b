//! When a refused caller is told to come back.
//!
//! The time is when room for its request is expected. Where that is not known, it is what leaves the
//! caller half of its time, so that the request can still be served after it has come back.

use std::time::Duration;

use crate::discovery::MIN_READ_INTERVAL;
use crate::fleet::SelectionError;

/// Shortest time after which a caller is told to come back; a request to another instance takes about as
/// long.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Longest time that is stated; limits close to zero would give any number.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Returns the time after which a caller with `time_left` should come back.
///
/// `instances` is the number of instances that share the limits of endpoints.
pub fn return_time(reason: SelectionError, time_left: Duration, instances: u32) -> Duration {
    let room = match reason {
        // Endpoints that start show when the list is read again.
        SelectionError::Nowhere => MIN_READ_INTERVAL.min(time_left / 2),
        SelectionError::Paused { wait } | SelectionError::Yields { wait } => wait,
        // An instance gets one permit in this time on average.
        SelectionError::Limited { rate, .. } => {
            let seconds = f64::from(instances.max(1)) / rate.per_second();
            Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)
        }
        // The time by which the work ahead has to become shorter.
        SelectionError::Late { expected } => expected.saturating_sub(time_left),
    };
    room.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
