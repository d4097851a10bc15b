//! The thread on which the writes of a member are performed.
//!
//! A sync may take seconds on a busy disk. The control thread must answer heartbeats, votes and polls
//! meanwhile, so it only hands the writes over and learns later that they are durable. One write is
//! under way at a time; the batches that arrive meanwhile are written together and synced once.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::TryRecvError;
use crossbeam::channel::unbounded;

use crate::raft_write::WriteBatch;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::storage::Write;

/// Maximum time for which a stop waits for the write that is under way.
const STOP_LIMIT: Duration = Duration::from_secs(1);

/// A write that is durable.
#[derive(Clone, Copy, Debug)]
pub struct FinishedWrite {
    /// Number of the last batch in it.
    pub number: u64,
    /// Time that the write and its sync took.
    pub took: Duration,
    /// Number of log entries.
    pub entries: usize,
    /// Estimate of the encoded size in bytes.
    pub bytes: usize,
}

/// The store of one member, which is used on one thread at a time.
pub(crate) type Store = Box<dyn LogStore + Send>;

/// A handle of the thread that performs the writes of one member.
///
/// When it is dropped, the write that is under way ends and those after it are discarded. The store,
/// and with it the lock of the data folder, is released at the end of that write.
#[derive(Debug)]
pub struct LogWriter {
    batches: Sender<WriteBatch>,
    results: Receiver<Result<FinishedWrite, StorageError>>,
    /// Receives the store when a write has failed.
    failed_store: Receiver<Store>,
    stopping: Arc<AtomicBool>,
    /// Numbers of the batches that are not durable, with the time at which each was handed over.
    pending: VecDeque<(u64, Instant)>,
}

impl LogWriter {
    /// Starts the thread, which calls `wake` after each write.
    pub fn start(store: Store, wake: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (batches, queue) = unbounded();
        let (done, results) = unbounded();
        let (return_store, failed_store) = unbounded();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        std::thread::Builder::new()
            .name("storage".to_owned())
            .spawn(move || {
                if let Some(store) = write_all(store, &queue, &done, &stop, wake) {
                    // Whoever drops the writer need not wait for the store.
                    let _ = return_store.send(store);
                }
            })?;
        Ok(Self {
            batches,
            results,
            failed_store,
            stopping,
            pending: VecDeque::new(),
        })
    }

    /// Returns the channel on which the store is returned after a failed write, so that it can be opened again.
    pub(crate) fn failed_store(&self) -> Receiver<Store> {
        self.failed_store.clone()
    }

    /// Starts a write after all earlier ones.
    pub fn write(&mut self, now: Instant, batch: WriteBatch) -> Result<(), StorageError> {
        self.pending.push_back((batch.number, now));
        if self.batches.send(batch).is_err() {
            // The thread has ended, and its last result states why.
            while self.next_finished()?.is_some() {}
            return Err(StorageError::Stopped);
        }
        Ok(())
    }

    /// Returns the next write that has become durable since the last call.
    ///
    /// After an error, nothing further is written.
    pub fn next_finished(&mut self) -> Result<Option<FinishedWrite>, StorageError> {
        let finished = match self.results.try_recv() {
            Ok(finished) => finished?,
            Err(TryRecvError::Empty) => return Ok(None),
            Err(TryRecvError::Disconnected) => return Err(StorageError::Stopped),
        };
        let is_done = |(number, _): &mut (u64, Instant)| *number <= finished.number;
        while self.pending.pop_front_if(is_done).is_some() {}
        Ok(Some(finished))
    }

    /// Returns the time since the oldest batch that is not durable was handed over.
    pub fn waiting(&self, now: Instant) -> Option<Duration> {
        let (_, start) = self.pending.front()?;
        Some(now.saturating_duration_since(*start))
    }

    /// Returns the number of batches that are not durable.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        let (closed, _) = unbounded();
        // Without a sender, the thread ends after its current write.
        drop(std::mem::replace(&mut self.batches, closed));
        let deadline = Instant::now() + STOP_LIMIT;
        loop {
            match self.results.recv_deadline(deadline) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    tracing::warn!("a write to the data folder is still under way at the stop");
                    return;
                }
            }
        }
    }
}

/// Performs the writes until the sender of batches is dropped, or until one fails; then it returns the store.
fn write_all(
    mut store: Store,
    queue: &Receiver<WriteBatch>,
    done: &Sender<Result<FinishedWrite, StorageError>>,
    stopping: &AtomicBool,
    wake: impl Fn(),
) -> Option<Store> {
    while let Ok(mut batch) = queue.recv() {
        for next in queue.try_iter() {
            batch.number = next.number;
            batch.writes.extend(next.writes);
        }
        if stopping.load(Ordering::Acquire) {
            return None;
        }
        let start = Instant::now();
        let result = store.write(&batch.writes).map(|()| FinishedWrite {
            number: batch.number,
            took: start.elapsed(),
            entries: batch.writes.iter().map(Write::entry_count).sum(),
            bytes: batch.writes.iter().map(Write::size).sum(),
        });
        let failed = result.is_err();
        let sent = done.send(result);
        wake();
        if failed {
            return Some(store);
        }
        if sent.is_err() {
            return None;
        }
    }
    None
}
