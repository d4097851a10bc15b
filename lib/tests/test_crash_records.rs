//! Tests of the verdicts about requests that crash endpoints, and of the notes on which they are based.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::crash_history::SAME_CRASH_WINDOW;
use fulmarford_lib::crash_note::CrashEvent;
use fulmarford_lib::crash_note::CrashNote;
use fulmarford_lib::crash_note::MAX_NOTES_PER_MESSAGE;
use fulmarford_lib::crash_note::NOTE_TTL;
use fulmarford_lib::crash_note::NoteOutbox;
use fulmarford_lib::crash_note::Upstream;
use fulmarford_lib::crash_records::CrashRecords;
use fulmarford_lib::crash_records::MAX_REQUESTS;
use fulmarford_lib::crash_records::Verdict;
use fulmarford_lib::fingerprint::Fingerprint;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MS: Duration = Duration::from_millis(1);

/// Time after a second crash at which a request is to blame.
const SETTLE_TIME: Duration = Duration::from_millis(200);

fn crash(fingerprint: u64, endpoint: u64) -> CrashNote {
    CrashNote {
        fingerprint: Fingerprint(fingerprint),
        event: CrashEvent::Crash { endpoint },
        age: Duration::ZERO,
    }
}

fn answer(fingerprint: u64, age: Duration) -> CrashNote {
    CrashNote {
        fingerprint: Fingerprint(fingerprint),
        event: CrashEvent::Answer,
        age,
    }
}

fn quarantine(fingerprint: u64, crash_count: usize) -> Verdict {
    Verdict::Quarantine {
        fingerprint: Fingerprint(fingerprint),
        crash_count,
    }
}

fn upstream(port: u16, epoch: u64) -> Upstream {
    Upstream {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        epoch,
    }
}

/// Guards against a request that crashes endpoints without being quarantined, and against one crash that counts
/// twice because several instances reported it.
#[gtest]
fn verdicts_second_crash() {
    let start = Instant::now();
    let mut records = CrashRecords::default();
    records.add(start, &crash(1, 10));
    records.add(start + 5 * MS, &crash(1, 10));
    records.add(start, &crash(2, 10));
    expect_that!(records.verdicts(start + 10 * MS, |_| false), is_empty());
    // The same endpoint crashes again after its restart.
    records.add(start + SAME_CRASH_WINDOW, &crash(1, 10));
    expect_that!(
        records.verdicts(start + SAME_CRASH_WINDOW, |_| false),
        is_empty()
    );
    // By now notes about other crashes would have arrived.
    let now = start + SAME_CRASH_WINDOW + SETTLE_TIME;
    expect_that!(
        records.verdicts(now, |_| false),
        elements_are![eq(&quarantine(1, 2))]
    );
    // The verdict is proposed again only if it is still not in force after some time.
    expect_that!(records.verdicts(now + 10 * MS, |_| false), is_empty());
    expect_that!(records.verdicts(now + 400 * MS, |_| false).len(), eq(1));
    expect_that!(records.verdicts(now + 800 * MS, |_| true), is_empty());
    expect_that!(records.verdicts(now + 1_200 * MS, |_| false), is_empty());
    expect_that!(records.crash_count(now + NOTE_TTL, Fingerprint(1)), eq(0));
}

/// Guards against a popular request that is quarantined because it was at two crashing endpoints by chance, and
/// against the release of a request because of a response from before the crashes.
#[gtest]
fn verdicts_answered_between() {
    let start = Instant::now();
    let mut records = CrashRecords::default();
    records.add(start, &crash(1, 10));
    records.add(start + 100 * MS, &answer(1, Duration::ZERO));
    records.add(start + 200 * MS, &crash(1, 11));
    expect_that!(records.verdicts(start + 200 * MS, |_| false), is_empty());
    records.add(start + 300 * MS, &crash(1, 12));
    let now = start + 300 * MS + SETTLE_TIME;
    expect_that!(
        records.verdicts(now, |_| false),
        elements_are![eq(&quarantine(1, 2))]
    );
    expect_that!(records.verdicts(now, |_| true), is_empty());
    // Another instance reports a response that is older than both crashes, and then a newer one.
    records.add(now + 100 * MS, &answer(1, 450 * MS));
    expect_that!(records.verdicts(now + 100 * MS, |_| true), is_empty());
    records.add(now + 200 * MS, &answer(1, 50 * MS));
    let release = Verdict::Release {
        fingerprint: Fingerprint(1),
    };
    expect_that!(
        records.verdicts(now + 200 * MS, |_| true),
        elements_are![eq(&release)]
    );
    // A request without crashes needs no record.
    records.add(now, &answer(9, Duration::ZERO));
    expect_that!(records.len(), eq(1));
}

/// Guards against requests that are quarantined because they were retried from one endpoint to the next during
/// a mass crash with another cause, and against a request that stays free because its crashes coincide with
/// it.
#[gtest]
fn verdicts_retried_during_mass_crash() {
    let start = Instant::now();
    let mut records = CrashRecords::default();
    for endpoint in 10..22 {
        records.add(
            start + (endpoint - 10) as u32 * MS,
            &crash(100 + endpoint, endpoint),
        );
    }
    // Request 1 was retried from the first to the last of them; request 2 crashes other endpoints later.
    records.add(start, &crash(1, 10));
    records.add(start + 11 * MS, &crash(1, 21));
    records.add(start + 2_000 * MS, &crash(2, 30));
    records.add(start + 4_000 * MS, &crash(2, 31));
    let now = start + 4_000 * MS + SETTLE_TIME;
    expect_that!(
        records.verdicts(now, |_| false),
        elements_are![eq(&quarantine(2, 2))]
    );
    // After the third crash the request is to blame at once.
    records.add(now, &crash(1, 32));
    expect_that!(
        records.verdicts(now, |fingerprint| fingerprint == Fingerprint(2)),
        elements_are![eq(&quarantine(1, 3))]
    );
}

/// Guards against thousands of suspects after a mass crash, and against the eviction of the request that crashes
/// endpoints in favor of them.
#[gtest]
fn verdicts_mass_crash() {
    let start = Instant::now();
    let mut records = CrashRecords::default();
    records.add(start, &crash(0, 1));
    records.add(start + 10 * MS, &crash(0, 2));
    records.add(start + 10 * MS, &crash(0, 3));
    for fingerprint in 1..2 * MAX_REQUESTS as u64 {
        records.add(start + 20 * MS, &crash(fingerprint, 100 + fingerprint / 64));
    }
    expect_that!(records.len(), le(MAX_REQUESTS));
    expect_that!(records.crash_count(start + 30 * MS, Fingerprint(0)), eq(3));
    expect_that!(
        records.verdicts(start + 30 * MS, |_| false),
        elements_are![eq(&quarantine(0, 3))]
    );
}

/// Guards against the loss of notes with the instance or the leader that received them, and against messages of
/// unbounded size.
#[gtest]
fn due_by_upstream() {
    let start = Instant::now();
    let mut outbox = NoteOutbox::default();
    for fingerprint in 0..300 {
        expect_true!(outbox.push(start, &crash(fingerprint, 1)));
    }
    expect_false!(outbox.push(start, &crash(0, 1)));
    let first = upstream(1, 1);
    let (notes, next) = outbox.due(start + 7 * MS, first);
    expect_that!(notes.len(), eq(MAX_NOTES_PER_MESSAGE));
    expect_that!(notes[0].age, eq(7 * MS));
    // They are sent again until the poll is answered.
    expect_that!(outbox.due(start, first).0.len(), eq(MAX_NOTES_PER_MESSAGE));
    outbox.accepted(first, next);
    let (notes, next) = outbox.due(start, first);
    expect_that!(notes.len(), eq(300 - MAX_NOTES_PER_MESSAGE));
    outbox.accepted(first, next);
    expect_that!(outbox.due(start, first).0, is_empty());
    for other in [upstream(2, 1), upstream(1, 2)] {
        expect_that!(outbox.due(start, other).0.len(), eq(MAX_NOTES_PER_MESSAGE));
    }
    outbox.forget_upstream();
    expect_that!(outbox.due(start, first).0.len(), eq(MAX_NOTES_PER_MESSAGE));
    outbox.push(start + NOTE_TTL, &crash(999, 1));
    expect_that!(outbox.due(start + NOTE_TTL, first).0.len(), eq(1));
}

/// Guards against a popular request that is quarantined although it was answered since its crashes, because an
/// earlier answer to it has been told already.
#[gtest]
fn due_newer_answer() {
    let start = Instant::now();
    let to = upstream(1, 1);
    let mut outbox = NoteOutbox::default();
    expect_true!(outbox.push(start, &answer(1, Duration::ZERO)));
    let (_, next) = outbox.due(start, to);
    outbox.accepted(to, next);
    // Answers in quick succession are told once.
    expect_false!(outbox.push(start + 100 * MS, &answer(1, Duration::ZERO)));
    expect_true!(outbox.push(start + 2_000 * MS, &answer(1, 500 * MS)));
    let (notes, next) = outbox.due(start + 2_000 * MS, to);
    expect_that!(notes, elements_are![eq(&answer(1, 500 * MS))]);
    outbox.accepted(to, next);
    // The one that was told first expires first and must not make the other one new.
    let later = start + NOTE_TTL;
    outbox.push(later, &crash(2, 1));
    expect_false!(outbox.push(later, &answer(1, NOTE_TTL - 1_500 * MS)));
}

/// Simulated instances that poll relays, which poll a leader.
struct Fleet {
    instances: Vec<NoteOutbox>,
    relays: Vec<NoteOutbox>,
    records: CrashRecords,
    epoch: u64,
    is_quarantined: bool,
    /// Number of innocent requests that were quarantined.
    false_positives: usize,
}

impl Fleet {
    fn relay_of(&self, instance: usize) -> usize {
        instance % self.relays.len()
    }

    /// Polls once from every instance and relay; `loss_rate` is the fraction of polls without a response, half of
    /// which arrived.
    fn poll(&mut self, now: Instant, rng: &mut StdRng, loss_rate: f64) {
        for instance in 0..self.instances.len() {
            let relay = self.relay_of(instance);
            let to = upstream(relay as u16 + 1, self.epoch);
            let (notes, next) = self.instances[instance].due(now, to);
            let draw: f64 = rng.random();
            if draw >= loss_rate / 2.0 {
                for note in &notes {
                    self.relays[relay].push(now, note);
                }
            }
            match draw < loss_rate {
                true => self.instances[instance].forget_upstream(),
                false => self.instances[instance].accepted(to, next),
            }
        }
        for relay in &mut self.relays {
            let to = upstream(0, self.epoch);
            let (notes, next) = relay.due(now, to);
            let draw: f64 = rng.random();
            if draw >= loss_rate / 2.0 {
                for note in &notes {
                    self.records.add(now, note);
                }
            }
            match draw < loss_rate {
                true => relay.forget_upstream(),
                false => relay.accepted(to, next),
            }
        }
        let is_quarantined = self.is_quarantined;
        let verdicts = self.records.verdicts(now, |_| is_quarantined);
        let is_culprit = |verdict: &Verdict| matches!(verdict, Verdict::Quarantine { fingerprint, .. } if fingerprint.0 == 7);
        self.is_quarantined |= verdicts.iter().any(is_culprit);
        self.false_positives += verdicts.iter().filter(|v| !is_culprit(v)).count();
    }
}

/// Guards against a request that crashes endpoints through changing instances, in fleets of all sizes, while
/// messages are lost, the leader changes, and relays and instances restart: at most 3 retries may reach
/// endpoints later than 3 s after its third crash.
#[gtest]
fn verdicts_wide_fleet() {
    const POLL_INTERVAL: Duration = Duration::from_millis(250);
    const QUARANTINE_DELAY: Duration = Duration::from_secs(3);
    for (instances, relays) in [(8, 1), (60, 8), (191, 8), (1_270, 8)] {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let start = Instant::now();
            let mut fleet = Fleet {
                instances: (0..instances).map(|_| NoteOutbox::default()).collect(),
                relays: (0..relays).map(|_| NoteOutbox::default()).collect(),
                records: CrashRecords::default(),
                epoch: 1,
                is_quarantined: false,
                false_positives: 0,
            };
            let mut crashes = Vec::new();
            for step in 0..80 {
                let now = start + POLL_INTERVAL * step;
                if !fleet.is_quarantined {
                    let instance = rng.random_range(0..instances);
                    fleet.instances[instance].push(now, &crash(7, u64::from(step)));
                    crashes.push(now);
                    // Sometimes this instance restarts before it has sent its notes.
                    if rng.random_range(0..9) == 0 {
                        fleet.instances[instance] = NoteOutbox::default();
                    }
                }
                // Innocent requests that were in flight at the same endpoint.
                for fingerprint in 0..15 {
                    let instance = rng.random_range(0..instances);
                    let fingerprint = 1_000 + u64::from(step) * 15 + fingerprint;
                    fleet.instances[instance].push(now, &crash(fingerprint, u64::from(step)));
                }
                match rng.random_range(0..12) {
                    0 => {
                        fleet.records = CrashRecords::default();
                        fleet.epoch += 1;
                    }
                    1 => {
                        let relay = rng.random_range(0..relays);
                        fleet.relays[relay] = NoteOutbox::default();
                        // The connections of the instances that poll it are closed.
                        for instance in (0..instances).filter(|i| i % relays == relay) {
                            fleet.instances[instance].forget_upstream();
                        }
                    }
                    _ => {}
                }
                fleet.poll(now, &mut rng, 0.1);
            }
            expect_true!(fleet.is_quarantined, "{instances} instances, seed {seed}");
            expect_that!(
                fleet.false_positives,
                eq(0),
                "{instances} instances, seed {seed}"
            );
            let third = crashes.get(2).copied();
            let late = |at: &&Instant| third.is_some_and(|third| **at > third + QUARANTINE_DELAY);
            let late = crashes.iter().filter(late).count();
            expect_that!(late, le(3), "{instances} instances, seed {seed}");
        }
    }
}
