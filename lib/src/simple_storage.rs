//! Storage in memory with fault injection, for tests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::storage::DurableState;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::storage::Write;

/// A store in memory. Clones share the data, so a clone simulates a restart on the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimpleStorage {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    durable: DurableState,
    /// Number of writes that succeed until the disk is full; `None` for unlimited space.
    remaining_writes: Option<u64>,
    /// Whether a write has failed, so that further writes are rejected.
    stopped: bool,
}

impl SimpleStorage {
    /// Simulates a disk that is full after `writes` further writes.
    pub fn fail_after(&self, writes: u64) {
        self.with_lock(|shared| shared.remaining_writes = Some(writes));
    }

    /// Simulates that the disk has room again. A store whose write has failed must be loaded before it is
    /// written.
    pub fn free(&self) {
        self.with_lock(|shared| shared.remaining_writes = None);
    }

    fn with_lock<T>(&self, f: impl FnOnce(&mut Shared) -> T) -> T {
        f(&mut self.shared.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Shared {
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped);
        }
        if self.remaining_writes == Some(0) {
            self.stopped = true;
            return Err(StorageError::Full);
        }
        self.remaining_writes = self.remaining_writes.map(|count| count - 1);
        writes.iter().for_each(|write| self.durable.apply(write));
        Ok(())
    }
}

impl LogStore for SimpleStorage {
    fn load(&mut self) -> Result<DurableState, StorageError> {
        Ok(self.with_lock(|shared| {
            shared.stopped = false;
            shared.durable.clone()
        }))
    }

    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        self.with_lock(|shared| shared.write(writes))
    }
}
