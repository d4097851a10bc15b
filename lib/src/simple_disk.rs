//! A folder in memory that fails and crashes on request.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::disk::Disk;

/// A fault of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A part of an append is written.
    ShortWrite,
    /// A part of an append is written because the disk is full.
    Full,
    /// A sync fails, and the system drops the data although it can still be read.
    Sync,
}

/// A folder in memory; clones share it, as a process that restarts on the same disk does.
#[derive(Clone, Debug)]
pub struct SimpleDisk(Arc<Mutex<Folder>>);

type Names = BTreeMap<String, usize>;

#[derive(Debug)]
struct Folder {
    rng: StdRng,
    files: Vec<FileState>,
    names: Names,
    /// Names as of the last sync and after every change since.
    name_states: Vec<Names>,
    /// Number of operations of the fault's kind that still succeed.
    fault: Option<(u64, Fault)>,
}

#[derive(Debug, Default)]
struct FileState {
    bytes: Vec<u8>,
    durable: usize,
    /// Bytes from here on were dropped by a failed sync and never become durable.
    dropped: Option<usize>,
}

impl SimpleDisk {
    /// Returns an empty folder.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Folder {
            rng: StdRng::seed_from_u64(seed),
            files: Vec::new(),
            names: Names::new(),
            name_states: vec![Names::new()],
            fault: None,
        })))
    }

    /// Makes an operation fail after `count` operations of the same kind succeeded.
    pub fn inject(&self, count: u64, fault: Fault) {
        self.with_lock(|folder| folder.fault = Some((count, fault)));
    }

    /// Loses what was not synced: a random part of the unsynced bytes stays, perhaps damaged, and
    /// the names go back to any time since the folder was synced.
    pub fn crash(&self) {
        self.with_lock(Folder::crash);
    }

    /// Inverts one bit.
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
