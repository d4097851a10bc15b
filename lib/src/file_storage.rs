//! Storage in a data folder that contains log segments of checksummed records, and snapshot files.
//!
//! A write is synced before [`LogStore::write`] returns. After the sync, a seal is appended, a frame that
//! states the synced length of the file. With it, [`LogStore::load`] distinguishes an incomplete write that
//! was never acknowledged, which it truncates, from damage to synced data, which it reports as an error.
//! `docs/replication.md` describes the format and all recovery cases.

use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::disk::Disk;
use crate::disk::FolderDisk;
use crate::raft_message::Entry;
use crate::raft_message::HardState;
use crate::raft_message::Index;
use crate::raft_message::MemberId;
use crate::raft_message::Snapshot;
use crate::storage::DurableState;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::storage::Write;
use crate::storage_frame;
use crate::storage_frame::Frame;
use crate::storage_frame::Record;
use crate::storage_frame::SegmentScan;

/// Length of a segment in bytes from which a new one is started.
const SEGMENT_BYTES: u64 = 8 << 20;

/// Size of the records in bytes from which a new frame is started.
const FRAME_BYTES: usize = 256 << 10;

/// Prefix of the names of log segments, followed by their number.
const SEGMENT_PREFIX: &str = "log-";

/// Prefix of the names of snapshot files, followed by their index.
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Suffix of the names of files that are not complete yet.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Storage in the data folder of a member.
#[derive(Debug)]
pub struct FileStorage<D> {
    disk: D,
    /// The segment that is being written; `None` before the folder is loaded and after an error.
    segment: Option<Segment>,
    /// Closed segments, oldest first: their number and the highest index of their entries.
    closed: Vec<(u64, Index)>,
    /// Member id of the data folder, repeated at the start of each segment.
    id: Option<MemberId>,
    /// Current term and vote, repeated at the start of each segment.
    hard: HardState,
}

/// A log segment.
#[derive(Clone, Copy, Debug)]
struct Segment {
    /// Number in the file name.
    number: u64,
    /// Length in bytes.
    length: u64,
    /// Offset up to which the segment is synced.
    synced: u64,
    /// Highest index of its entries.
    highest: Index,
}

impl Segment {
    fn name(&self) -> String {
        segment_name(self.number)
    }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

fn snapshot_name(index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{:016x}", index.0)
}

/// Returns the numbers in the names of the files with a prefix, in ascending order.
fn file_numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let number = |name: &String| u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok();
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}

/// Returns a function that converts an I/O error of an operation on a file.
fn io_error<'a>(
    action: &'static str,
    file: &'a str,
) -> impl FnOnce(io::Error) -> StorageError + 'a {
    move |source| match source.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StorageError::Full,
        _ => StorageError::Io {
            action,
            file: file.to_owned(),
            source,
        },
    }
}

fn corrupt(file: &str, offset: u64, reason: &str) -> StorageError {
    StorageError::Corrupt {
        file: file.to_owned(),
        offset,
        reason: reason.to_owned(),
    }
}

impl FileStorage<FolderDisk> {
    /// Opens and locks a data folder, which is created if it does not exist.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        match FolderDisk::open(folder) {
            Ok(disk) => Ok(Self::new(disk)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(StorageError::Locked),
            Err(error) => Err(io_error("opening", "the data folder")(error)),
        }
    }
}

impl<D: Disk> FileStorage<D> {
    /// Creates storage on a disk; it must be loaded before it is written.
    pub fn new(disk: D) -> Self {
        Self {
            disk,
            segment: None,
            closed: Vec::new(),
            id: None,
            hard: HardState::default(),
        }
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let appended = self.disk.append(file, bytes);
        appended.map_err(io_error("writing", file))
    }

    fn sync(&mut self, file: &str) -> Result<(), StorageError> {
        self.disk.sync(file).map_err(io_error("syncing", file))
    }

    fn remove(&mut self, file: &str) -> Result<(), StorageError> {
        self.disk.remove(file).map_err(io_error("removing", file))
    }

    fn read(&mut self, file: &str) -> Result<Vec<u8>, StorageError> {
        self.disk.read(file).map_err(io_error("reading", file))
    }

    fn sync_folder(&mut self) -> Result<(), StorageError> {
        let synced = self.disk.sync_folder();
        synced.map_err(io_error("syncing", "the data folder"))
    }

    /// Replaces a file atomically: after a crash, it has either its old or its new contents.
    fn replace_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = format!("{file}{TEMPORARY_SUFFIX}");
        let created = self.disk.create(&temporary);
        created.map_err(io_error("creating", &temporary))?;
        self.append(&temporary, bytes)?;
        self.sync(&temporary)?;
        let renamed = self.disk.rename(&temporary, file);
        renamed.map_err(io_error("renaming", &temporary))?;
        self.sync_folder()
    }

    /// Appends records to the current segment, syncs them and appends a seal.
    fn commit(&mut self, records: Vec<Record>) -> Result<(), StorageError> {
        let Some(mut segment) = self.segment.filter(|_| !records.is_empty()) else {
            return Ok(());
        };
        let name = segment.name();
        let mut bytes = Vec::new();
        let mut rest = records.into_iter().peekable();
        while rest.peek().is_some() {
            let mut size = 0;
            let mut group = Vec::new();
            while let Some(record) = rest.next_if(|_| size < FRAME_BYTES) {
                size += self.track(&mut segment, &record);
                group.push(record);
            }
            append_frame(&segment, group, &mut bytes)?;
        }
        self.append(&name, &bytes)?;
        self.sync(&name)?;
        segment.length += bytes.len() as u64;
        segment.synced = segment.length;
        self.seal(segment)
    }

    /// Appends a seal. It need not be synced: if a crash loses it, damage to the last write cannot be
    /// distinguished from an incomplete write, but no data is lost.
    fn seal(&mut self, mut segment: Segment) -> Result<(), StorageError> {
        let mut bytes = Vec::new();
        append_frame(&segment, Vec::new(), &mut bytes)?;
        self.append(&segment.name(), &bytes)?;
        segment.length += bytes.len() as u64;
        self.segment = Some(segment);
        Ok(())
    }

    /// Updates the segment and the state of this store by a record. Returns the approximate size of the
    /// record in bytes.
    fn track(&mut self, segment: &mut Segment, record: &Record) -> usize {
        match record {
            Record::Segment { id, hard, .. } => {
                self.id = *id;
                self.hard = *hard;
            }
            Record::Identity(id) => self.id = Some(*id),
            Record::Hard(hard) => self.hard = *hard,
            Record::Entry(entry) => {
                segment.highest = segment.highest.max(entry.index);
                return entry.size();
            }
            Record::Reset(_) => {}
        }
        size_of::<Record>()
    }

    /// Starts a new segment, whose first record repeats the state that must outlive older segments.
    fn start_segment(&mut self, number: u64, previous: u64) -> Result<(), StorageError> {
        let name = segment_name(number);
        let created = self.disk.create(&name);
        created.map_err(io_error("creating", &name))?;
        let segment = Segment {
            number,
            length: 0,
            synced: 0,
            highest: Index(0),
        };
        self.segment = Some(segment);
        let header = Record::Segment {
            id: self.id,
            hard: self.hard,
            previous,
        };
        self.commit(vec![header])?;
        self.sync_folder()
    }

    /// Closes the current segment and starts the next one.
    fn start_next_segment(&mut self) -> Result<(), StorageError> {
        let Some(segment) = self.segment else {
            return Ok(());
        };
        self.closed.push((segment.number, segment.highest));
        self.start_segment(segment.number + 1, segment.synced)
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let name = snapshot_name(snapshot.index);
        let mut bytes = Vec::new();
        let framed = storage_frame::encode_frame(snapshot, &mut bytes);
        framed.map_err(io_error("encoding", &name))?;
        self.replace_file(&name, &bytes)
    }

    /// Removes the snapshots and segments that a snapshot at `index` supersedes.
    fn remove_obsolete(&mut self, index: Index) -> Result<(), StorageError> {
        let names = self.list()?;
        for number in file_numbers(&names, SNAPSHOT_PREFIX) {
            if number < index.0 {
                self.remove(&snapshot_name(Index(number)))?;
            }
        }
        let count = self.closed.iter().take_while(|(_, h)| *h <= index).count();
        for (number, _) in self.closed.drain(..count).collect::<Vec<_>>() {
            // Syncing the folder after each removal ensures that a crash leaves no gap in the numbers.
            self.remove(&segment_name(number))?;
            self.sync_folder()?;
        }
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>, StorageError> {
        let names = self.disk.list();
        names.map_err(io_error("listing", "the data folder"))
    }

    fn write_all(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let mut records = Vec::new();
        for write in writes {
            match write {
                Write::Identity(id) => records.push(Record::Identity(*id)),
                Write::Hard(hard) => records.push(Record::Hard(*hard)),
                Write::Entries(entries) => {
                    records.extend(entries.iter().cloned().map(Record::Entry));
                }
                Write::Compact(snapshot) => {
                    self.commit(std::mem::take(&mut records))?;
                    self.save_snapshot(snapshot)?;
                    self.start_next_segment()?;
                    self.remove_obsolete(snapshot.index)?;
                }
                Write::Install(snapshot) => {
                    self.commit(std::mem::take(&mut records))?;
                    self.save_snapshot(snapshot)?;
                    self.commit(vec![Record::Reset(snapshot.index)])?;
                    self.start_next_segment()?;
                    self.remove_obsolete(snapshot.index)?;
                }
            }
        }
        self.commit(records)?;
        if self.segment.is_some_and(|s| s.length >= SEGMENT_BYTES) {
            self.start_next_segment()?;
        }
        Ok(())
    }

    fn load_snapshot(&mut self, names: &[String]) -> Result<Option<Snapshot>, StorageError> {
        let Some(number) = file_numbers(names, SNAPSHOT_PREFIX).pop() else {
            return Ok(None);
        };
        let name = snapshot_name(Index(number));
        let bytes = self.read(&name)?;
        let payload = storage_frame::decode_frame(&bytes, 0).map(|(payload, _)| payload);
        let snapshot = payload.and_then(|p| postcard::from_bytes::<Snapshot>(p).ok());
        let snapshot = snapshot.filter(|s| s.index.0 == number);
        let broken = || corrupt(&name, 0, "the snapshot does not match its checksum");
        snapshot.ok_or_else(broken).map(Some)
    }

    /// Reads all segments, and truncates an incomplete write at the end of the last one.
    fn load_segments(&mut self, names: &[String]) -> Result<Replay, StorageError> {
        let mut replay = Replay::default();
        let mut last: Option<(Segment, bool)> = None;
        let segments = file_numbers(names, SEGMENT_PREFIX);
        for (position, number) in segments.iter().copied().enumerate() {
            let name = segment_name(number);
            let scan = SegmentScan::new(number, &self.read(&name)?);
            if scan.is_corrupt() {
                let reason = "a synced record does not match its checksum";
                return Err(corrupt(&name, scan.end, reason));
            }
            let Some(Record::Segment { previous, .. }) = scan.records.first() else {
                let is_new = position + 1 == segments.len() && (last.is_some() || number == 0);
                if !is_new {
                    return Err(corrupt(&name, 0, "the segment has no first record"));
                }
                // A crash occurred before the first record was synced.
                self.remove(&name)?;
                break;
            };
            if let Some((before, _)) = last {
                check_sequence(&before, number, *previous)?;
                self.closed.push((before.number, before.highest));
            }
            let mut segment = Segment {
                number,
                length: scan.end,
                synced: scan.synced,
                highest: Index(0),
            };
            for record in &scan.records {
                self.track(&mut segment, record);
                replay.apply(record, &name)?;
            }
            last = Some((segment, scan.is_uncertain()));
        }
        match last {
            Some((segment, true)) => self.rewrite(segment)?,
            Some((segment, false)) => self.segment = Some(segment),
            None => self.start_segment(0, 0)?,
        }
        Ok(replay)
    }

    /// Rewrites the readable part of a segment to make it durable, and continues with it.
    ///
    /// After a failed sync, the file may contain bytes that exist only in the page cache. They must not be
    /// used before they are durable.
    fn rewrite(&mut self, mut segment: Segment) -> Result<(), StorageError> {
        let name = segment.name();
        let mut bytes = self.read(&name)?;
        bytes.truncate(segment.length as usize);
        self.replace_file(&name, &bytes)?;
        segment.synced = segment.length;
        self.seal(segment)
    }

    fn load_all(&mut self) -> Result<DurableState, StorageError> {
        // After a failed write, these may hold what is not durable.
        self.closed.clear();
        (self.id, self.hard) = (None, HardState::default());
        let names = self.list()?;
        for name in names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX)) {
            self.remove(name)?;
        }
        let snapshot = self.load_snapshot(&names)?;
        if snapshot.is_some() && file_numbers(&names, SEGMENT_PREFIX).is_empty() {
            return Err(corrupt(&segment_name(0), 0, "all log segments are missing"));
        }
        let replay = self.load_segments(&names)?;
        let base = snapshot.as_ref().map_or(Index(0), |s| s.index);
        let entries = match replay.entries_after(snapshot.as_ref()) {
            LogTail::Follows(entries) => entries,
            LogTail::Replaced => {
                // A crash occurred after a snapshot of the leader was stored, but before the log was reset.
                self.commit(vec![Record::Reset(base)])?;
                Vec::new()
            }
            LogTail::Gap(found) => {
                let reason = format!("entry {found} follows {base}, entries between are missing");
                return Err(corrupt(&segment_name(0), 0, &reason));
            }
        };
        self.remove_obsolete(base)?;
        Ok(DurableState {
            id: self.id,
            hard: self.hard,
            snapshot: snapshot.map(Arc::new),
            entries,
        })
    }
}

impl<D: Disk> LogStore for FileStorage<D> {
    fn load(&mut self) -> Result<DurableState, StorageError> {
        let loaded = self.load_all();
        if loaded.is_err() {
            self.segment = None;
        }
        loaded
    }

    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        if self.segment.is_none() {
            return Err(StorageError::Stopped);
        }
        let written = self.write_all(writes);
        if written.is_err() {
            self.segment = None;
        }
        written
    }
}

/// Checks that a segment with number `number` follows `before`, whose synced length was `previous`.
fn check_sequence(before: &Segment, number: u64, previous: u64) -> Result<(), StorageError> {
    let name = before.name();
    if before.number + 1 != number {
        return Err(corrupt(&name, before.length, "the next segment is missing"));
    }
    if before.length < previous {
        return Err(corrupt(&name, before.length, "the end is missing"));
    }
    Ok(())
}

/// Encodes records as the next frame of a segment and appends the frame to `bytes`.
fn append_frame(
    segment: &Segment,
    records: Vec<Record>,
    bytes: &mut Vec<u8>,
) -> Result<(), StorageError> {
    let frame = Frame {
        segment: segment.number,
        offset: segment.length + bytes.len() as u64,
        synced: segment.synced,
        records,
    };
    let framed = storage_frame::encode_frame(&frame, bytes);
    framed.map_err(io_error("encoding", &segment.name()))
}

/// The log entries that result from the records read so far.
#[derive(Debug, Default)]
struct Replay {
    entries: Vec<Entry>,
}

/// The log entries in relation to the latest snapshot.
enum LogTail {
    /// These entries follow the snapshot.
    Follows(Vec<Entry>),
    /// The log ends before the snapshot or conflicts with it, so the snapshot replaces it.
    Replaced,
    /// Entries between the snapshot and the first entry of the log, at this index, are missing.
    Gap(Index),
}

impl Replay {
    fn apply(&mut self, record: &Record, file: &str) -> Result<(), StorageError> {
        match record {
            Record::Entry(entry) => {
                while self.entries.last().is_some_and(|e| e.index >= entry.index) {
                    self.entries.pop();
                }
                let last = self.entries.last();
                if last.is_some_and(|e| e.index.next() != entry.index) {
                    return Err(corrupt(file, 0, "entries are missing in the log"));
                }
                self.entries.push(entry.clone());
            }
            Record::Reset(_) => self.entries.clear(),
            Record::Segment { .. } | Record::Identity(_) | Record::Hard(_) => {}
        }
        Ok(())
    }

    fn entries_after(self, snapshot: Option<&Snapshot>) -> LogTail {
        let base = snapshot.map_or(Index(0), |s| s.index);
        let (Some(first), Some(last)) = (self.entries.first(), self.entries.last()) else {
            return LogTail::Follows(Vec::new());
        };
        if first.index > base.next() {
            return LogTail::Gap(first.index);
        }
        let at_base = self.entries.iter().find(|e| e.index == base);
        let is_other = |e: &Entry| snapshot.is_some_and(|s| s.term != e.term);
        if last.index < base || at_base.is_some_and(is_other) {
            return LogTail::Replaced;
        }
        let is_after = |e: &Entry| e.index > base;
        LogTail::Follows(self.entries.into_iter().filter(is_after).collect())
    }
}
