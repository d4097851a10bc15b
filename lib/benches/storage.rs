//! Measures the file storage: synced appends, recovery, and memory usage of the log.
//!
//! The data folder is a temporary folder. `FULMARFORD_BENCH_DATA` names the folder in which it is
//! created, which selects the disk to measure.

use std::fs;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::file_storage::FileStorage;
use fulmarford_lib::raft_log::RaftLog;
use fulmarford_lib::raft_message::Entry;
use fulmarford_lib::raft_message::Index;
use fulmarford_lib::raft_message::Payload;
use fulmarford_lib::raft_message::Term;
use fulmarford_lib::storage::DurableState;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::storage::Write;
use tempfile::TempDir;

/// Size of the payload of a log entry.
const ENTRY_BYTES: usize = 128;
/// Number of appends for each batch size.
const APPENDS: u64 = 2000;
const RECOVERY_RUNS: usize = 5;

fn entry(index: u64) -> Entry {
    Entry {
        term: Term(1),
        index: Index(index),
        payload: Payload::Data(vec![index as u8; ENTRY_BYTES].into()),
    }
}

fn folder() -> TempDir {
    let created = match std::env::var_os("FULMARFORD_BENCH_DATA") {
        Some(parent) => tempfile::tempdir_in(parent),
        None => tempfile::tempdir(),
    };
    created.expect("the temporary folder can be created")
}

fn open(path: &Path) -> (FileStorage<fulmarford_lib::disk::FolderDisk>, DurableState) {
    let mut store = FileStorage::open(path).expect("the data folder can be locked");
    let durable = store.load().expect("the data folder can be read");
    (store, durable)
}

fn append(store: &mut impl LogStore, first: u64, count: u64) {
    let entries = (first..first + count).map(entry).collect();
    store
        .write(&[Write::Entries(entries)])
        .expect("the write succeeds");
}

/// Returns a quantile of sorted times in microseconds.
fn quantile(times: &[Duration], share: f64) -> f64 {
    let index = ((times.len() - 1) as f64 * share) as usize;
    times[index].as_secs_f64() * 1e6
}

fn measure_append(batch: u64) {
    let folder = folder();
    let (mut store, _) = open(folder.path());
    let mut times = Vec::new();
    let start = Instant::now();
    for number in 0..APPENDS {
        let begin = Instant::now();
        append(&mut store, number * batch + 1, batch);
        times.push(begin.elapsed());
    }
    let rate = (APPENDS * batch) as f64 / start.elapsed().as_secs_f64();
    times.sort_unstable();
    let (median, p99) = (quantile(&times, 0.5), quantile(&times, 0.99));
    println!("append batch={batch} median_us={median:.0} p99_us={p99:.0} entries_per_s={rate:.0}");
}

fn measure_recovery(count: u64) {
    let folder = folder();
    let (mut store, _) = open(folder.path());
    for first in (1..=count).step_by(100) {
        append(&mut store, first, 100);
    }
    drop(store);
    let mut times = Vec::new();
    for _ in 0..RECOVERY_RUNS {
        let begin = Instant::now();
        let (_, durable) = open(folder.path());
        times.push(begin.elapsed());
        assert_eq!(durable.entries.len() as u64, count);
    }
    times.sort_unstable();
    let median = quantile(&times, 0.5) / 1e3;
    println!("recovery entries={count} median_ms={median:.2}");
}

/// Returns the resident memory of this process in bytes, or `None` where it cannot be read.
fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

fn measure_memory(count: u64) {
    let before = resident_bytes();
    let mut log = RaftLog::new(DurableState::default());
    (1..=count).for_each(|index| log.append(entry(index)));
    if let (Some(before), Some(after)) = (before, resident_bytes()) {
        let bytes = after.saturating_sub(before) / count;
        println!("memory entries={count} payload_bytes={ENTRY_BYTES} bytes_per_entry={bytes}");
    }
    assert_eq!(log.last(), Index(count));
}

fn main() {
    // Memory is measured first, because the log would otherwise reuse memory that the other parts
    // freed, without any growth of the resident size.
    measure_memory(1_000_000);
    [1, 16, 256].into_iter().for_each(measure_append);
    [1_000, 10_000, 100_000]
        .into_iter()
        .for_each(measure_recovery);
}
