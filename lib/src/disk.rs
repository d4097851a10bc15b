//! Interface for the file operations of durable storage.
//!
//! Storage accesses files only through this interface, so that tests can inject faults into every
//! operation. [`crate::simple_disk`] is the in-memory implementation.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// Name of the file that a process locks while it uses the folder.
const LOCK_FILE: &str = "lock";

/// The files of one folder.
pub trait Disk {
    /// Returns the names of all files in any order.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends bytes; after an error, any prefix of them may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the contents of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing an existing file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    handle: File,
    /// Open files by name.
    open: HashMap<String, File>,
    /// Holds the lock of the folder while it is open.
    _lock: File,
}

impl FolderDisk {
    /// Opens and locks a folder; creates it if it does not exist.
    ///
    /// Returns [`io::ErrorKind::WouldBlock`] if another process uses the folder.
    pub fn open(folder: &Path) -> io::Result<Self> {
        if !folder.exists() {
            fs::create_dir_all(folder)?;
            if let Some(parent) = folder.canonicalize()?.parent() {
                File::open(parent)?.sync_all()?;
            }
        }
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => io::Error::from(io::ErrorKind::WouldBlock),
            TryLockError::Error(error) => error,
        })?;
        Ok(Self {
            folder: folder.to_owned(),
            handle: File::open(folder)?,
            open: HashMap::new(),
            _lock: lock,
        })
    }

    fn writer(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new()
                .append(true)
                .open(self.folder.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        self.open.get_mut(name).ok_or_else(missing)
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(self.folder.join(name))?;
        // At most two files are written at a time. Closing the others bounds the number of open files; they
        // are opened again when needed.
        self.open.clear();
        self.open.insert(name.to_owned(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.writer(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.writer(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
