//! Storage in memory, with injected faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::storage::DurableState;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::storage::Write;

/// A store in memory; clones share the data, as a process that restarts on the same disk does.
#[derive(Clone, Debug, Default)]
pub struct SimpleStorage {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    durable: DurableState,
    /// Number of further writes that succeed, when the disk is to become full.
    remaining_writes: Option<u64>,
    stopped: bool,
}

impl SimpleStorage {
    /// Makes the store fail as a full disk does after `writes` further writes.
    pub fn fail_after(&self, writes: u64) {
        self.with_lock(|shared| shared.remaining_writes = Some(writes));
    }

    /// Makes a store that failed usable again, as a restart with a repaired disk does.
    pub fn reopen(&self) {
        self.with_lock(|shared| {
            shared.remaining_writes = None;
            shared.stopped = false;
        });
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
        Ok(self.with_lock(|shared| shared.durable.clone()))
    }

    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        self.with_lock(|shared| shared.write(writes))
    }
}
