//! Disks of simulated members.

use fulmarford_lib::file_storage::FileStorage;
use fulmarford_lib::raft_message::Entry;
use fulmarford_lib::simple_disk::Fault;
use fulmarford_lib::simple_disk::SimpleDisk;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::storage::Write;

/// A disk that survives crashes.
pub(crate) trait Disk {
    fn open(&self) -> Box<dyn LogStore>;
    /// Writes only a part, as a crash during the write does; the store is not used afterwards.
    fn tear(&self, store: &mut dyn LogStore, writes: &[Write], units: usize);
    /// Loses what was not synced.
    fn crash(&self);
}

impl Disk for SimpleStorage {
    fn open(&self) -> Box<dyn LogStore> {
        Box::new(self.clone())
    }

    fn tear(&self, store: &mut dyn LogStore, writes: &[Write], units: usize) {
        let split = |write: &Write| match write {
            Write::Entries(entries) => {
                let single = |e: &Entry| Write::Entries(vec![e.clone()]);
                entries.iter().map(single).collect()
            }
            write => vec![write.clone()],
        };
        let units: Vec<Write> = writes.iter().flat_map(split).take(units).collect();
        store.write(&units).expect("no fault is injected");
    }

    fn crash(&self) {}
}

impl Disk for SimpleDisk {
    fn open(&self) -> Box<dyn LogStore> {
        Box::new(FileStorage::new(self.clone()))
    }

    fn tear(&self, store: &mut dyn LogStore, writes: &[Write], units: usize) {
        let kinds = [Fault::ShortWrite, Fault::Sync, Fault::Full];
        self.inject(units as u64 / 3, kinds[units % 3]);
        // The crash follows in any case, also when the fault did not occur.
        let _ = store.write(writes);
    }

    fn crash(&self) {
        SimpleDisk::crash(self);
    }
}
