//! Storage in memory whose writes take as long as a test demands.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::storage::DurableState;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::storage::StorageError;
use fulmarford_lib::storage::Write;

/// A store with a slow disk. Clones share the data and the time that a write takes.
#[derive(Clone, Debug, Default)]
pub struct SlowStorage {
    inner: SimpleStorage,
    millis: Arc<AtomicU64>,
}

impl SlowStorage {
    /// Sets the time that each later write takes.
    pub fn set_delay(&self, delay: Duration) {
        self.millis
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }
}

impl LogStore for SlowStorage {
    fn load(&mut self) -> Result<DurableState, StorageError> {
        self.inner.load()
    }

    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        thread::sleep(Duration::from_millis(self.millis.load(Ordering::Relaxed)));
        self.inner.write(writes)
    }
}
