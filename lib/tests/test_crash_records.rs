//! Tests of the verdict about requests under which endpoints end, and of the notes that lead to it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::crash_note::CrashEvent;
use fulmarford_lib::crash_note::CrashNote;
use fulmarford_lib::crash_note::MAX_TOLD;
use fulmarford_lib::crash_note::NOTE_LIFE;
use fulmarford_lib::crash_note::NoteOutbox;
use fulmarford_lib::crash_note::Upstream;
use fulmarford_lib::crash_records::CrashRecords;
use fulmarford_lib::crash_records::MAX_PRINTS;
use fulmarford_lib::crash_records::SAME_END;
use fulmarford_lib::crash_records::Verdict;
use fulmarford_lib::fingerprint::Fingerprint;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MS: Duration = Duration::from_millis(1);

/// Time after which a second end convicts.
const SETTLED: Duration = Duration::from_millis(200);

fn crash(print: u64, endpoint: u64) -> CrashNote {
    CrashNote {
        print: Fingerprint(print),
        event: CrashEvent::Crash { endpoint },
        age: Duration::ZERO,
    }
}

fn answer(print: u64, age: Duration) -> CrashNote {
    CrashNote {
        print: Fingerprint(print),
        event: CrashEvent::Answer,
        age,
    }
}

fn quarantine(print: u64, ends: usize) -> Verdict {
    Verdict::Quarantine {
        print: Fingerprint(print),
        ends,
    }
}

fn upstream(port: u16, epoch: u64) -> Upstream {
    Upstream {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        epoch,
    }
}

/// Guards against a culprit that stays free, and against one end that several instances told as two.
#[gtest]
fn verdicts_second_end() {
    let start = Instant::now();
    let mut book = CrashRecords::default();
    book.add(start, &crash(1, 10));
    book.add(start + 5 * MS, &crash(1, 10));
    book.add(start, &crash(2, 10));
    expect_that!(book.verdicts(start + 10 * MS, |_| false), is_empty());
    // The same endpoint once more, after it came back.
    book.add(start + SAME_END, &crash(1, 10));
    expect_that!(book.verdicts(start + SAME_END, |_| false), is_empty());
    // Notes about other ends would have come by now.
    let now = start + SAME_END + SETTLED;
    expect_that!(
        book.verdicts(now, |_| false),
        elements_are![eq(&quarantine(1, 2))]
    );
    // It is proposed again only if it is not in force some time later.
    expect_that!(book.verdicts(now + 10 * MS, |_| false), is_empty());
    expect_that!(book.verdicts(now + 400 * MS, |_| false).len(), eq(1));
    expect_that!(book.verdicts(now + 800 * MS, |_| true), is_empty());
    expect_that!(book.verdicts(now + 1_200 * MS, |_| false), is_empty());
    expect_that!(book.ends(now + NOTE_LIFE, Fingerprint(1)), eq(0));
}

/// Guards against a popular request that is withheld because it was at two ends by chance, and against an
/// answer from before the ends that frees a culprit.
#[gtest]
fn verdicts_answered_between() {
    let start = Instant::now();
    let mut book = CrashRecords::default();
    book.add(start, &crash(1, 10));
    book.add(start + 100 * MS, &answer(1, Duration::ZERO));
    book.add(start + 200 * MS, &crash(1, 11));
    expect_that!(book.verdicts(start + 200 * MS, |_| false), is_empty());
    book.add(start + 300 * MS, &crash(1, 12));
    let now = start + 300 * MS + SETTLED;
    expect_that!(
        book.verdicts(now, |_| false),
        elements_are![eq(&quarantine(1, 2))]
    );
    expect_that!(book.verdicts(now, |_| true), is_empty());
    // Another instance remembers an answer that is older than both ends, and then a newer one.
    book.add(now + 100 * MS, &answer(1, 450 * MS));
    expect_that!(book.verdicts(now + 100 * MS, |_| true), is_empty());
    book.add(now + 200 * MS, &answer(1, 50 * MS));
    let acquit = Verdict::Release {
        print: Fingerprint(1),
    };
    expect_that!(
        book.verdicts(now + 200 * MS, |_| true),
        elements_are![eq(&acquit)]
    );
    // What nothing ended under needs no record.
    book.add(now, &answer(9, Duration::ZERO));
    expect_that!(book.len(), eq(1));
}

/// Guards against requests that are withheld because they were sent on from one endpoint to the next while
/// many ended for a reason of their own, and against a culprit that hides among them.
#[gtest]
fn verdicts_sent_on_during_mass_end() {
    let start = Instant::now();
    let mut book = CrashRecords::default();
    for endpoint in 10..22 {
        book.add(
            start + (endpoint - 10) as u32 * MS,
            &crash(100 + endpoint, endpoint),
        );
    }
    // One was sent on from the first to the last of them, and one has nothing to do with them.
    book.add(start, &crash(1, 10));
    book.add(start + 11 * MS, &crash(1, 21));
    book.add(start + 2_000 * MS, &crash(2, 30));
    book.add(start + 4_000 * MS, &crash(2, 31));
    let now = start + 4_000 * MS + SETTLED;
    expect_that!(
        book.verdicts(now, |_| false),
        elements_are![eq(&quarantine(2, 2))]
    );
    // The third end convicts at once.
    book.add(now, &crash(1, 32));
    expect_that!(
        book.verdicts(now, |print| print == Fingerprint(2)),
        elements_are![eq(&quarantine(1, 3))]
    );
}

/// Guards against thousands under suspicion when many endpoints end at once, and against a culprit that is
/// dropped from a full book for them.
#[gtest]
fn verdicts_mass_end() {
    let start = Instant::now();
    let mut book = CrashRecords::default();
    book.add(start, &crash(0, 1));
    book.add(start + 10 * MS, &crash(0, 2));
    book.add(start + 10 * MS, &crash(0, 3));
    for print in 1..2 * MAX_PRINTS as u64 {
        book.add(start + 20 * MS, &crash(print, 100 + print / 64));
    }
    expect_that!(book.len(), le(MAX_PRINTS));
    expect_that!(book.ends(start + 30 * MS, Fingerprint(0)), eq(3));
    expect_that!(
        book.verdicts(start + 30 * MS, |_| false),
        elements_are![eq(&quarantine(0, 3))]
    );
}

/// Guards against notes that are lost with the instance or the leader which took them, and against messages
/// without bound.
#[gtest]
fn due_by_upstream() {
    let start = Instant::now();
    let mut outbox = NoteOutbox::default();
    for print in 0..300 {
        expect_true!(outbox.push(start, &crash(print, 1)));
    }
    expect_false!(outbox.push(start, &crash(0, 1)));
    let first = upstream(1, 1);
    let (notes, next) = outbox.due(start + 7 * MS, first);
    expect_that!(notes.len(), eq(MAX_TOLD));
    expect_that!(notes[0].age, eq(7 * MS));
    // Until the poll is answered, they are told again.
    expect_that!(outbox.due(start, first).0.len(), eq(MAX_TOLD));
    outbox.accepted(first, next);
    let (notes, next) = outbox.due(start, first);
    expect_that!(notes.len(), eq(300 - MAX_TOLD));
    outbox.accepted(first, next);
    expect_that!(outbox.due(start, first).0, is_empty());
    for other in [upstream(2, 1), upstream(1, 2)] {
        expect_that!(outbox.due(start, other).0.len(), eq(MAX_TOLD));
    }
    outbox.forget_upstream();
    expect_that!(outbox.due(start, first).0.len(), eq(MAX_TOLD));
    outbox.push(start + NOTE_LIFE, &crash(999, 1));
    expect_that!(outbox.due(start + NOTE_LIFE, first).0.len(), eq(1));
}

/// Instances that poll relays, which poll a leader.
struct Fleet {
    entries: Vec<NoteOutbox>,
    relays: Vec<NoteOutbox>,
    book: CrashRecords,
    epoch: u64,
    held: bool,
    /// Innocent requests that were convicted.
    wronged: usize,
}

impl Fleet {
    fn relay_of(&self, entry: usize) -> usize {
        entry % self.relays.len()
    }

    /// One poll of everybody; `lost` is the share of messages without an answer, half of which arrived.
    fn poll(&mut self, now: Instant, rng: &mut StdRng, lost: f64) {
        for entry in 0..self.entries.len() {
            let relay = self.relay_of(entry);
            let to = upstream(relay as u16 + 1, self.epoch);
            let (notes, next) = self.entries[entry].due(now, to);
            let draw: f64 = rng.random();
            if draw >= lost / 2.0 {
                for note in &notes {
                    self.relays[relay].push(now, note);
                }
            }
            match draw < lost {
                true => self.entries[entry].forget_upstream(),
                false => self.entries[entry].accepted(to, next),
            }
        }
        for relay in &mut self.relays {
            let to = upstream(0, self.epoch);
            let (notes, next) = relay.due(now, to);
            let draw: f64 = rng.random();
            if draw >= lost / 2.0 {
                for note in &notes {
                    self.book.add(now, note);
                }
            }
            match draw < lost {
                true => relay.forget_upstream(),
                false => relay.accepted(to, next),
            }
        }
        let held = self.held;
        let verdicts = self.book.verdicts(now, |_| held);
        let is_culprit = |verdict: &Verdict| matches!(verdict, Verdict::Quarantine { print, .. } if print.0 == 7);
        self.held |= verdicts.iter().any(is_culprit);
        self.wronged += verdicts.iter().filter(|v| !is_culprit(v)).count();
    }
}

/// Guards against a culprit that goes from instance to instance in fleets of all sizes, while messages are
/// lost, leaders move, relays and instances start anew: at most 3 retries may reach endpoints later than
/// 3 s after its third crash.
#[gtest]
fn verdicts_wide_fleet() {
    const POLL: Duration = Duration::from_millis(250);
    const CONTACT: Duration = Duration::from_secs(3);
    for (entries, relays) in [(8, 1), (60, 8), (191, 8), (1_270, 8)] {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let start = Instant::now();
            let mut fleet = Fleet {
                entries: (0..entries).map(|_| NoteOutbox::default()).collect(),
                relays: (0..relays).map(|_| NoteOutbox::default()).collect(),
                book: CrashRecords::default(),
                epoch: 1,
                held: false,
                wronged: 0,
            };
            let mut crashes = Vec::new();
            for step in 0..80 {
                let now = start + POLL * step;
                if !fleet.held {
                    let entry = rng.random_range(0..entries);
                    fleet.entries[entry].push(now, &crash(7, u64::from(step)));
                    crashes.push(now);
                    // Now and then this instance starts anew before anybody was told.
                    if rng.random_range(0..9) == 0 {
                        fleet.entries[entry] = NoteOutbox::default();
                    }
                }
                // Innocent requests that were beside it.
                for print in 0..15 {
                    let entry = rng.random_range(0..entries);
                    let print = 1_000 + u64::from(step) * 15 + print;
                    fleet.entries[entry].push(now, &crash(print, u64::from(step)));
                }
                match rng.random_range(0..12) {
                    0 => {
                        fleet.book = CrashRecords::default();
                        fleet.epoch += 1;
                    }
                    1 => {
                        let relay = rng.random_range(0..relays);
                        fleet.relays[relay] = NoteOutbox::default();
                        // The connections of its pollers end with it.
                        for entry in (0..entries).filter(|e| e % relays == relay) {
                            fleet.entries[entry].forget_upstream();
                        }
                    }
                    _ => {}
                }
                fleet.poll(now, &mut rng, 0.1);
            }
            expect_true!(fleet.held, "{entries} entries, seed {seed}");
            expect_that!(fleet.wronged, eq(0), "{entries} entries, seed {seed}");
            let third = crashes.get(2).copied();
            let late = |at: &&Instant| third.is_some_and(|third| **at > third + CONTACT);
            let late = crashes.iter().filter(late).count();
            expect_that!(late, le(3), "{entries} entries, seed {seed}");
        }
    }
}
