//! A folder in memory with injected faults and simulated crashes, for tests.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::disk::Disk;

/// A fault that is injected into an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An append writes only a part of its bytes.
    ShortWrite,
    /// An append writes only a part of its bytes because the disk is full.
    Full,
    /// A sync fails, and the operating system discards the unsynced data, although it can still be read.
    Sync,
}

/// A folder in memory. Clones share it, so a clone simulates a restart on the same disk.
#[derive(Clone, Debug)]
pub struct SimpleDisk(Arc<Mutex<Folder>>);

/// File names with the indexes of their files.
type Names = BTreeMap<String, usize>;

#[derive(Debug)]
struct Folder {
    rng: StdRng,
    files: Vec<FileState>,
    names: Names,
    /// The names at the last sync of the folder and after each change since.
    name_states: Vec<Names>,
    /// The next fault, with the number of operations of its kind that succeed before it.
    fault: Option<(u64, Fault)>,
}

#[derive(Debug, Default)]
struct FileState {
    bytes: Vec<u8>,
    /// Length of the synced part in bytes.
    durable: usize,
    /// Offset of the bytes that a failed sync discarded; they never become durable.
    dropped: Option<usize>,
}

impl SimpleDisk {
    /// Creates an empty folder; `seed` determines the results of faults and crashes.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Folder {
            rng: StdRng::seed_from_u64(seed),
            files: Vec::new(),
            names: Names::new(),
            name_states: vec![Names::new()],
            fault: None,
        })))
    }

    /// Injects a fault after `count` further operations of the same kind.
    pub fn inject(&self, count: u64, fault: Fault) {
        self.with_lock(|folder| folder.fault = Some((count, fault)));
    }

    /// Simulates a crash: of the unsynced bytes of each file, a random prefix remains, possibly damaged,
    /// and the file names revert to a random state since the last sync of the folder.
    pub fn crash(&self) {
        self.with_lock(Folder::crash);
    }

    /// Flips one bit of a file.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        self.with_lock(|folder| {
            if let Some(file) = folder.file(name)
                && let Some(byte) = file.bytes.get_mut(bit / 8)
            {
                *byte ^= 1 << (bit % 8);
            }
        });
    }

    fn with_lock<T>(&self, f: impl FnOnce(&mut Folder) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Folder {
    fn file(&mut self, name: &str) -> Option<&mut FileState> {
        let index = *self.names.get(name)?;
        self.files.get_mut(index)
    }

    fn find(&mut self, name: &str) -> io::Result<&mut FileState> {
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        self.file(name).ok_or_else(missing)
    }

    /// Counts down to the injected fault if its kind matches, and returns it when it occurs.
    fn take_fault(&mut self, matches: impl Fn(Fault) -> bool) -> Option<Fault> {
        let (count, fault) = self.fault.as_mut().filter(|(_, f)| matches(*f))?;
        if *count > 0 {
            *count -= 1;
            return None;
        }
        let fault = *fault;
        self.fault = None;
        Some(fault)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let Some(fault) = self.take_fault(|f| f != Fault::Sync) else {
            self.find(name)?.bytes.extend_from_slice(bytes);
            return Ok(());
        };
        let part = self.rng.random_range(0..=bytes.len());
        self.find(name)?.bytes.extend_from_slice(&bytes[..part]);
        Err(match fault {
            Fault::Full => io::Error::from(io::ErrorKind::StorageFull),
            _ => io::Error::from(io::ErrorKind::WriteZero),
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let is_failing = self.take_fault(|f| f == Fault::Sync).is_some();
        let file = self.find(name)?;
        if is_failing {
            file.dropped = Some(file.durable);
            return Err(io::Error::other("input/output error"));
        }
        file.durable = file.dropped.unwrap_or(file.bytes.len());
        Ok(())
    }

    fn change_names(&mut self, change: impl FnOnce(&mut Names)) {
        change(&mut self.names);
        self.name_states.push(self.names.clone());
    }

    fn crash(&mut self) {
        let index = self.rng.random_range(0..self.name_states.len());
        self.names = self.name_states.swap_remove(index);
        self.name_states = vec![self.names.clone()];
        self.fault = None;
        for file in &mut self.files {
            let length = self.rng.random_range(file.durable..=file.bytes.len());
            file.bytes.truncate(length);
            if length > file.durable && self.rng.random() {
                let index = self.rng.random_range(file.durable..length);
                file.bytes[index] ^= self.rng.random_range(1..=u8::MAX);
            }
            file.durable = length;
            file.dropped = None;
        }
    }
}

impl Disk for SimpleDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.with_lock(|folder| Ok(folder.names.keys().cloned().collect()))
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.with_lock(|folder| folder.find(name).map(|file| file.bytes.clone()))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.with_lock(|folder| {
            let index = folder.files.len();
            folder.files.push(FileState::default());
            folder.change_names(|names| {
                names.insert(name.to_owned(), index);
            });
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with_lock(|folder| folder.append(name, bytes))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.with_lock(|folder| folder.sync(name))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.with_lock(|folder| {
            folder.find(from)?;
            folder.change_names(|names| {
                if let Some(index) = names.remove(from) {
                    names.insert(to.to_owned(), index);
                }
            });
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.with_lock(|folder| {
            folder.find(name)?;
            folder.change_names(|names| {
                names.remove(name);
            });
            Ok(())
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.with_lock(|folder| {
            folder.name_states = vec![folder.names.clone()];
            Ok(())
        })
    }
}
