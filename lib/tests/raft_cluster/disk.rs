//! Simulated disks of the cluster's nodes.

use fulmarford_lib::file_storage::FileStorage;
use fulmarford_lib::raft_message::Entry;
use fulmarford_lib::simple_disk::Fault;
use fulmarford_lib::simple_disk::SimpleDisk;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::storage::Write;

/// A disk whose durable contents survive a crash of the node.
pub(crate) trait Disk {
    /// Opens a store on the disk.
    fn open(&self) -> Box<dyn LogStore>;
    /// Makes only the first `units` of the writes durable, as a crash during a write does; the
    /// store must not be used afterwards.
    fn write_torn(&self, store: &mut dyn LogStore, writes: &[Write], units: usize);
    /// Discards everything that was not synced.
    fn crash(&self);
}

impl Disk for SimpleStorage {
    fn open(&self) -> Box<dyn LogStore> {
        Box::new(self.clone())
    }

    fn write_torn(&self, store: &mut dyn LogStore, writes: &[Write], units: usize) {
        let split = |write: &Write| match write {
            Write::Entries(entries) => {
                let single = |e: &Entry| Write::Entries(vec![e.clone()]);
                entries.iter().map(single).collect()
            }
            write => vec![write.clone()],
        };
        let units: Vec<Write> = writes.iter().flat_map(split).take(units).collect();
        store
            .write(&units)
            .expect("write failed without an injected fault");
    }

    fn crash(&self) {}
}

impl Disk for SimpleDisk {
    fn open(&self) -> Box<dyn LogStore> {
        Box::new(FileStorage::new(self.clone()))
    }

    fn write_torn(&self, store: &mut dyn LogStore, writes: &[Write], units: usize) {
        let kinds = [Fault::ShortWrite, Fault::Sync, Fault::Full];
        self.inject(units as u64 / 3, kinds[units % 3]);
        // The caller crashes the node in any case, so a write without a fault is no problem.
        let _ = store.write(writes);
    }

    fn crash(&self) {
        SimpleDisk::crash(self);
    }
}
