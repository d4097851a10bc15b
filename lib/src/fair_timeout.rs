//! A timeout that a pause of this process does not shorten.
//!
//! When a process has waited for a processor, its timers fire before the connections are read that became
//! readable meanwhile. A timer that fires late therefore says nothing about the peer.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

/// Lateness of a timer from which on this process was not running itself, so that bytes of the peer may lie
/// unread in its sockets.
pub(crate) const MAX_LATENESS: Duration = Duration::from_millis(100);

/// Time in which a process reads its sockets after a pause.
pub(crate) const CATCH_UP_TIME: Duration = Duration::from_millis(300);

/// Waits for a future for at most `limit`, and a little longer if this process was paused at the end of it.
pub async fn fair_timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = std::pin::pin!(future);
    let mut end = Instant::now() + limit;
    loop {
        let elapsed = match timeout_at(end, future.as_mut()).await {
            Ok(output) => return Ok(output),
            Err(elapsed) => elapsed,
        };
        if end.elapsed() < MAX_LATENESS {
            return Err(elapsed);
        }
        end = Instant::now() + CATCH_UP_TIME;
    }
}
