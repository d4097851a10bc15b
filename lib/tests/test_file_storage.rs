//! Tests of the file storage with injected faults and in a real folder.

use std::sync::Arc;

use fulmarford_lib::disk::Disk;
use fulmarford_lib::file_storage::FileStorage;
use fulmarford_lib::raft_member::Membership;
use fulmarford_lib::raft_message::Entry;
use fulmarford_lib::raft_message::HardState;
use fulmarford_lib::raft_message::Index;
use fulmarford_lib::raft_message::MemberId;
use fulmarford_lib::raft_message::Payload;
use fulmarford_lib::raft_message::Snapshot;
use fulmarford_lib::raft_message::Term;
use fulmarford_lib::simple_disk::Fault;
use fulmarford_lib::simple_disk::SimpleDisk;
use fulmarford_lib::storage::DurableState;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::storage::StorageError;
use fulmarford_lib::storage::Write;
use googletest::prelude::*;
use proptest::prelude::*;

fn entry(index: u64, term: u64, size: usize) -> Entry {
    Entry {
        term: Term(term),
        index: Index(index),
        payload: Payload::Data(vec![index as u8; size].into()),
    }
}

fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        index: Index(index),
        term: Term(term),
        members: Membership::default(),
        data: vec![7; 100],
    })
}

fn hard(term: u64) -> Write {
    let vote = Some(MemberId(term));
    let term = Term(term);
    Write::Hard(HardState { term, vote })
}

/// A step of a write history. Indexes are relative to the durable state.
#[derive(Clone, Debug)]
enum Step {
    /// Writes the next term.
    Hard,
    /// Replaces a number of entries from the end, appends a number of entries, with a size in bytes.
    Entries(u8, u8, u16),
    /// Compacts the log at an index.
    Compact(u8),
    /// Installs a snapshot beyond the end of the log.
    Install(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Hard),
        5 => (0..4_u8, 1..6_u8, 0..600_u16).prop_map(|(b, n, s)| Step::Entries(b, n, s)),
        1 => any::<u8>().prop_map(Step::Compact),
        1 => any::<u8>().prop_map(Step::Install),
    ]
}

fn last(durable: &DurableState) -> u64 {
    let base = durable.snapshot.as_ref().map_or(0, |s| s.index.0);
    durable.entries.last().map_or(base, |e| e.index.0)
}

fn write(step: &Step, durable: &DurableState) -> Write {
    let base = durable.snapshot.as_ref().map_or(0, |s| s.index.0);
    let last = last(durable);
    let term = durable.hard.term.0;
    match step {
        Step::Hard => hard(term + 1),
        Step::Entries(back, count, size) => {
            let first = (last + 1 - u64::from(*back).min(last - base)).max(base + 1);
            let new = |i| entry(first + u64::from(i), term, usize::from(*size));
            Write::Entries((0..*count).map(new).collect())
        }
        Step::Compact(n) if last > base => {
            let index = base + 1 + u64::from(*n) % (last - base);
            let at = durable.entries.iter().find(|e| e.index.0 == index);
            Write::Compact(snapshot(index, at.expect("an entry").term.0))
        }
        Step::Compact(_) => hard(term + 1),
        Step::Install(n) => Write::Install(snapshot(last + 1 + u64::from(*n) % 5, term + 1)),
    }
}

/// Returns the states that may remain after a crash during the writes: the state before them, and the state
/// after each record.
fn possible_states(before: &DurableState, writes: &[Write]) -> Vec<DurableState> {
    let mut state = before.clone();
    let mut states = vec![state.clone()];
    for write in writes {
        let single = |e: &Entry| Write::Entries(vec![e.clone()]);
        let parts = match write {
            Write::Entries(entries) => entries.iter().map(single).collect(),
            write => vec![write.clone()],
        };
        for part in parts {
            state.apply(&part);
            states.push(state.clone());
        }
    }
    states
}

/// Groups of steps that are written together, each with an optional fault and its delay in operations.
type Plan = Vec<(Vec<Step>, Option<(u8, u64)>)>;

fn plan() -> impl Strategy<Value = Plan> {
    let fault = prop::option::weighted(0.3, (0..4_u8, 0..6_u64));
    prop::collection::vec((prop::collection::vec(step(), 1..4), fault), 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against the loss of synced writes, and against folders that fail to load after a crash, a
    /// short write, a full disk or a failed sync.
    #[test]
    fn file_storage_faults(seed in any::<u64>(), plan in plan()) {
        let disk = SimpleDisk::new(seed);
        let mut store = FileStorage::new(disk.clone());
        let mut state = store.load().expect("an empty folder");
        for (steps, fault) in plan {
            let mut after = state.clone();
            let mut writes = Vec::new();
            for step in &steps {
                let write = write(step, &after);
                after.apply(&write);
                writes.push(write);
            }
            let faults = [Fault::ShortWrite, Fault::Full, Fault::Sync];
            let fault_kind = fault.map(|(index, count)| (faults.get(usize::from(index)), count));
            if let Some((Some(fault_kind), count)) = fault_kind {
                disk.inject(count, *fault_kind);
            }
            let written = store.write(&writes);
            if written.is_ok() && fault_kind.is_none() {
                state = after;
                continue;
            }
            let possible = if written.is_ok() { vec![after] } else { possible_states(&state, &writes) };
            if written.is_err() {
                prop_assert!(matches!(store.write(&[]), Err(StorageError::Stopped)));
            }
            disk.inject(u64::MAX, Fault::Full);
            // Without a crash, the process restarts and reads still return unsynced data.
            if seed % 2 == 0 {
                disk.crash();
            }
            // The process may also go on and load the folder again.
            let is_restarted = seed % 4 != 3;
            if is_restarted {
                store = FileStorage::new(disk.clone());
            }
            // A fault may interrupt the recovery, which is then repeated.
            disk.inject(seed % 3, faults[(seed / 3 % 3) as usize]);
            let _ = store.load();
            disk.inject(u64::MAX, Fault::Full);
            if is_restarted {
                store = FileStorage::new(disk.clone());
            }
            state = store.load().expect("a crash leaves a readable folder");
            prop_assert!(possible.contains(&state), "{state:?}\nis none of {possible:#?}");
            // The loaded state is used, so it must survive an immediate second crash.
            disk.crash();
            store = FileStorage::new(disk.clone());
            let again = store.load().expect("a crash leaves a readable folder");
            prop_assert_eq!(&again, &state);
        }
    }

    /// Guards against damage to synced data that is treated as an incomplete write or goes unnoticed.
    #[test]
    fn file_storage_flipped_bit(seed in any::<u64>(), steps in prop::collection::vec(step(), 2..12), place in any::<prop::sample::Index>()) {
        let mut disk = SimpleDisk::new(seed);
        let mut store = FileStorage::new(disk.clone());
        let mut state = store.load().expect("an empty folder");
        for step in &steps {
            let write = write(step, &state);
            store.write(std::slice::from_ref(&write)).expect("no fault is injected");
            state.apply(&write);
        }
        drop(store);
        let names = disk.list().expect("a list");
        let sizes: Vec<usize> = names.iter().map(|n| disk.read(n).expect("a file").len()).collect();
        let mut bit = place.index(8 * sizes.iter().sum::<usize>());
        for (name, size) in names.iter().zip(&sizes) {
            if bit < 8 * size {
                disk.flip_bit(name, bit);
                break;
            }
            bit -= 8 * size;
        }
        match FileStorage::new(disk).load() {
            // Damage to the last seal is harmless, because no write follows it.
            Ok(loaded) => prop_assert_eq!(loaded, state),
            Err(error) => prop_assert!(matches!(error, StorageError::Corrupt { .. }), "{}", error),
        }
    }
}

/// Guards against data loss in real files, across restarts and segments.
#[gtest]
fn file_storage_folder() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let mut state = DurableState::default();
    for round in 0..3 {
        let mut store = FileStorage::open(folder.path())?;
        expect_that!(store.load()?, eq(&state));
        let first = last(&state) + 1;
        let entries = (first..first + 10).map(|i| entry(i, 1, 1 << 20)).collect();
        let compact = Write::Compact(snapshot(first + 5, 1));
        for write in [hard(round + 1), Write::Entries(entries), compact] {
            store.write(std::slice::from_ref(&write))?;
            state.apply(&write);
        }
    }
    let names = std::fs::read_dir(folder.path())?.count();
    // The lock file, one snapshot, and the segments of at most one round.
    expect_that!(names, le(5));
    Ok(())
}

/// Guards against two processes that write to the same folder.
#[gtest]
fn file_storage_locked() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let first = FileStorage::open(folder.path())?;
    let second = FileStorage::open(folder.path());
    expect_that!(second, err(pat!(StorageError::Locked)));
    drop(first);
    expect_that!(FileStorage::open(folder.path()), ok(anything()));
    Ok(())
}

/// Guards against a full disk that is not reported as [`StorageError::Full`].
#[gtest]
fn file_storage_full_disk() -> Result<()> {
    let disk = SimpleDisk::new(1);
    let mut store = FileStorage::new(disk.clone());
    store.load()?;
    disk.inject(0, Fault::Full);
    expect_that!(store.write(&[hard(1)]), err(pat!(StorageError::Full)));
    expect_that!(store.write(&[hard(1)]), err(pat!(StorageError::Stopped)));
    // The same store can be used again when it has been loaded and there is room.
    let state = store.load()?;
    expect_that!(state.hard, eq(HardState::default()));
    store.write(&[hard(2)])?;
    expect_that!(FileStorage::new(disk).load()?.hard.term, eq(Term(2)));
    Ok(())
}

/// Guards against a folder with missing segments that is treated as a new folder.
#[gtest]
fn file_storage_missing_segment() -> Result<()> {
    let mut disk = SimpleDisk::new(1);
    let mut store = FileStorage::new(disk.clone());
    store.load()?;
    store.write(&[Write::Entries(vec![entry(1, 1, 9)])])?;
    store.write(&[Write::Compact(snapshot(1, 1))])?;
    for name in disk.list()?.iter().filter(|n| n.starts_with("log-")) {
        disk.remove(name)?;
    }
    let loaded = FileStorage::new(disk).load();
    expect_that!(loaded, err(pat!(StorageError::Corrupt { .. })));
    Ok(())
}
