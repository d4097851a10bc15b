//! Opens the storage of a voter again after its disk was full.
//!
//! A failed write leaves it open what is durable, so the member that made it is dropped
//! ([`crate::log_writer`]). Reading the folder again tells, as it does after a crash, and the member goes on from
//! there. Until then the instance does not vote, so nothing is acknowledged that is not durable.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use tokio::sync::oneshot;

use crate::log_writer::Store;
use crate::raft_message::MemberId;
use crate::storage::StorageError;
use crate::voter::DataFolder;

/// Pause before the first attempt.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two attempts, each of which reads the folder.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which a pause checks whether the instance stops.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Result of opening the storage: the folder, or the error for which it cannot be used any more.
pub(crate) type Reopened = Result<DataFolder, StorageError>;

/// Opens the storage that arrives on a channel, again and again until it can be written.
///
/// This happens on a thread of its own, since reading a folder takes time. It ends without a result if the
/// returned receiver is dropped.
pub(crate) fn reopen(store: Receiver<Store>, new_id: MemberId) -> oneshot::Receiver<Reopened> {
    let (sender, receiver) = oneshot::channel();
    let spawned = thread::Builder::new()
        .name("storage-retry".to_owned())
        .spawn(move || {
            if let Ok(store) = store.recv()
                && let Some(result) = open_repeatedly(store, new_id, || sender.is_closed())
            {
                // Nobody waits for the result if the instance stops.
                let _ = sender.send(result);
            }
        });
    if let Err(error) = spawned {
        tracing::error!(%error, "cannot start the thread that opens the storage again");
    }
    receiver
}

fn open_repeatedly(
    mut store: Store,
    new_id: MemberId,
    is_stopped: impl Fn() -> bool,
) -> Option<Reopened> {
    let mut pause = MIN_PAUSE;
    loop {
        let end = Instant::now() + pause;
        while Instant::now() < end {
            if is_stopped() {
                return None;
            }
            thread::sleep(STOP_CHECK_INTERVAL.min(end.saturating_duration_since(Instant::now())));
        }
        match DataFolder::reopen(store, new_id) {
            Ok(folder) => return Some(Ok(folder)),
            Err((returned, error)) if error.is_temporary() => {
                tracing::debug!(%error, "the storage cannot be used yet");
                store = returned;
            }
            Err((_, error)) => return Some(Err(error)),
        }
        pause = (pause * 2).min(MAX_PAUSE);
    }
}
