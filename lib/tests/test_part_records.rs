//! Tests of the verdicts about prompt parts that crash endpoints.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::control::Suspicion;
use fulmarford_lib::crash_note::CrashEvent;
use fulmarford_lib::crash_note::CrashNote;
use fulmarford_lib::fingerprint::Fingerprint;
use fulmarford_lib::part_records::ANSWERED_CRASH_LIMIT;
use fulmarford_lib::part_records::CRASH_LIMIT;
use fulmarford_lib::part_records::MAX_PARTS;
use fulmarford_lib::part_records::MAX_SUSPECTS;
use fulmarford_lib::part_records::PartRecords;
use fulmarford_lib::part_records::PartVerdict;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MS: Duration = Duration::from_millis(1);

/// Time within which a part that crashes endpoints must be withheld after its fifth crash.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// The part that crashes endpoints.
const CULPRIT: u64 = 7;

/// Records with the suspicion that their verdicts led to, which is in force at once.
struct Group {
    now: Instant,
    start: Instant,
    records: PartRecords,
    suspicions: HashMap<u64, Suspicion>,
    /// Quarantined parts and the times of their quarantine.
    blamed: Vec<(u64, Duration)>,
}

impl Group {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            now: start,
            start,
            records: PartRecords::default(),
            suspicions: HashMap::new(),
            blamed: Vec::new(),
        }
    }

    /// Adds notes about a crash now, under these parts.
    fn crash(&mut self, endpoint: u64, parts: &[u64]) {
        for part in parts {
            let note = CrashNote {
                fingerprint: Fingerprint(*part),
                event: CrashEvent::PartCrash { endpoint },
                age: Duration::ZERO,
            };
            self.records.add(self.now, &note);
        }
    }

    /// Adds a note about an answer to a part some time ago.
    fn answer(&mut self, part: u64, age: Duration) {
        let note = CrashNote {
            fingerprint: Fingerprint(part),
            event: CrashEvent::PartAnswer,
            age,
        };
        self.records.add(self.now, &note);
    }

    fn suspicion(&self, part: u64) -> Suspicion {
        self.suspicions
            .get(&part)
            .copied()
            .unwrap_or(Suspicion::None)
    }

    /// Lets time pass and applies the verdicts.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += 50 * MS;
            let suspicions = &self.suspicions;
            let verdicts = self.records.verdicts(self.now, |part| {
                suspicions.get(&part.0).copied().unwrap_or(Suspicion::None)
            });
            for verdict in verdicts {
                self.apply(verdict);
            }
        }
    }

    fn apply(&mut self, verdict: PartVerdict) {
        match verdict {
            PartVerdict::Suspect { fingerprints } => {
                let parts = fingerprints.into_iter();
                self.suspicions
                    .extend(parts.map(|part| (part.0, Suspicion::Suspect)));
            }
            PartVerdict::Quarantine { fingerprint, .. } => {
                let part = fingerprint.0;
                self.blamed.push((part, self.now - self.start));
                self.suspicions.insert(part, Suspicion::Quarantined);
            }
            PartVerdict::Clear { fingerprints } => {
                for part in fingerprints {
                    self.suspicions.remove(&part.0);
                }
            }
            PartVerdict::Release { fingerprint } => {
                self.suspicions.remove(&fingerprint.0);
            }
        }
    }

    fn blamed_parts(&self) -> Vec<u64> {
        self.blamed.iter().map(|(part, _)| *part).collect()
    }
}

/// Guards against a part that crashes endpoints without being quarantined, and against blame for parts that were in
/// flight at some of its crashes.
#[gtest]
fn verdicts_crashing_part() {
    let mut group = Group::new();
    for endpoint in 0..CRASH_LIMIT as u64 {
        // One other part at each crash, and one at half of them.
        let mut parts = vec![CULPRIT, 100 + endpoint];
        parts.extend((endpoint % 2 == 0).then_some(50));
        group.crash(endpoint, &parts);
        group.advance(300 * MS);
    }
    group.advance(500 * MS);
    expect_that!(group.blamed_parts(), eq(&[CULPRIT]));
    expect_that!(group.suspicion(100), eq(Suspicion::None));
    expect_that!(group.suspicion(50), eq(Suspicion::Suspect));
    // Suspicion ends some time after the last crash, and blame does not.
    group.advance(Duration::from_secs(16));
    expect_that!(group.suspicion(50), eq(Suspicion::None));
    expect_that!(group.suspicion(CULPRIT), eq(Suspicion::Quarantined));
}

/// Guards against blame for a part that was in flight at every crash and is sound: one that is answered all the
/// time, and one that was answered before the crashes only.
#[gtest]
fn verdicts_part_in_use() {
    let mut group = Group::new();
    for endpoint in 0..20 {
        group.crash(endpoint, &[CULPRIT, 1, 2]);
        group.advance(100 * MS);
        group.answer(1, 20 * MS);
        if group.suspicion(2) == Suspicion::Suspect {
            group.answer(2, Duration::from_secs(20));
        }
    }
    group.advance(DETECTION_TIME);
    expect_that!(group.blamed_parts(), eq(&[CULPRIT]));
    let latest = 100 * MS * 5 + DETECTION_TIME;
    expect_that!(group.blamed[0].1, lt(latest));
}

/// Guards against blame for sound parts that meet the crashes of a culprit which is known already, because requests
/// with it were under way.
#[gtest]
fn verdicts_explained_crashes() {
    let mut group = Group::new();
    for endpoint in 0..12 {
        group.crash(endpoint, &[CULPRIT, 1 + endpoint % 2]);
        group.advance(200 * MS);
    }
    group.advance(Duration::from_secs(5));
    expect_that!(group.blamed_parts(), eq(&[CULPRIT]));
}

/// Guards against blame for anything if many endpoints crash at the same moment, even twice.
#[gtest]
fn verdicts_mass_crash() {
    let mut group = Group::new();
    for round in 0..2 {
        for endpoint in 0..30 {
            group.crash(100 * round + endpoint, &[1, 2, 1_000 + endpoint]);
        }
        group.advance(Duration::from_secs(2));
        for part in [1, 2] {
            group.answer(part, Duration::ZERO);
        }
        group.advance(Duration::from_secs(5));
    }
    expect_that!(group.blamed, is_empty());
}

/// Guards against a culprit that is never blamed because it cannot be told from a part that always goes with it, and
/// against a verdict before the time in which answers may tell them apart.
#[gtest]
fn verdicts_inseparable_parts() {
    let crash = |group: &mut Group| {
        for endpoint in 0..5 {
            group.crash(endpoint, &[CULPRIT, 8]);
            group.advance(200 * MS);
        }
    };
    let mut group = Group::new();
    crash(&mut group);
    expect_that!(group.blamed, is_empty());
    group.advance(DETECTION_TIME - 300 * MS);
    expect_that!(group.blamed_parts(), eq(&[CULPRIT, 8]));
    // With one answer to the other part, they are told apart at once.
    let mut group = Group::new();
    crash(&mut group);
    group.answer(8, Duration::ZERO);
    group.advance(400 * MS);
    expect_that!(group.blamed_parts(), eq(&[CULPRIT]));
}

/// Guards against a part that begins to crash endpoints after it was in use, such as under new weights.
#[gtest]
fn verdicts_answered_part_crashes() {
    let mut group = Group::new();
    group.crash(0, &[CULPRIT]);
    group.answer(CULPRIT, Duration::from_secs(5));
    for endpoint in 1..ANSWERED_CRASH_LIMIT as u64 {
        expect_that!(group.blamed, is_empty());
        group.crash(endpoint, &[CULPRIT, 50 + endpoint % 4]);
        group.advance(500 * MS);
    }
    group.advance(500 * MS);
    expect_that!(group.blamed_parts(), eq(&[CULPRIT]));
}

/// Guards against a part that stays quarantined although it was answered since its crashes.
#[gtest]
fn verdicts_release() {
    let mut group = Group::new();
    for endpoint in 0..5 {
        group.crash(endpoint, &[CULPRIT]);
        group.advance(300 * MS);
    }
    expect_that!(group.suspicion(CULPRIT), eq(Suspicion::Quarantined));
    group.answer(CULPRIT, Duration::from_secs(30));
    group.advance(500 * MS);
    expect_that!(group.suspicion(CULPRIT), eq(Suspicion::Quarantined));
    group.answer(CULPRIT, 100 * MS);
    group.advance(500 * MS);
    expect_that!(group.suspicion(CULPRIT), eq(Suspicion::None));
}

/// Guards against unbounded memory, messages and suspects, and against the eviction of the culprit.
#[gtest]
fn add_bounded() {
    let mut group = Group::new();
    for endpoint in 0..3 {
        group.crash(endpoint, &[CULPRIT]);
        group.now += 200 * MS;
    }
    for part in 1_000..1_000 + 2 * MAX_PARTS as u64 {
        group.crash(3 + part / 64, &[part]);
    }
    for part in 1_000..3_000 {
        group.crash(1_000_000 + part / 64, &[part]);
    }
    expect_that!(group.records.len(), le(MAX_PARTS));
    group.advance(Duration::from_secs(1));
    expect_that!(group.suspicions.len(), le(MAX_SUSPECTS));
    expect_that!(group.suspicion(CULPRIT), eq(Suspicion::Suspect));
}

/// A request in flight.
struct Run {
    endpoint: usize,
    parts: Vec<u64>,
    /// Time at which it is answered, or at which it crashes its endpoint.
    ends_at: Instant,
    is_crashing: bool,
}

/// A simulated service: endpoints that crash and come back, sound requests of several callers and sessions, and
/// requests with the crashing part.
struct Service {
    rng: StdRng,
    group: Group,
    runs: Vec<Run>,
    /// Time from which each endpoint runs, and the number of its starts.
    endpoints: Vec<(Instant, u64)>,
    /// Notes on their way to the leader.
    notes: VecDeque<(Instant, CrashNote)>,
    /// Times of the newest answers, of which instances tell those to suspects.
    answers: HashMap<u64, Instant>,
    crashes: Vec<Instant>,
    /// Sound requests that were refused.
    refused: usize,
    last_part: u64,
}

impl Service {
    fn new(seed: u64, endpoints: usize) -> Self {
        let group = Group::new();
        Self {
            rng: StdRng::seed_from_u64(seed),
            endpoints: vec![(group.now, 0); endpoints],
            group,
            runs: Vec::new(),
            notes: VecDeque::new(),
            answers: HashMap::new(),
            crashes: Vec::new(),
            refused: 0,
            last_part: 1 << 20,
        }
    }

    /// Sends a request unless one of its parts is quarantined; returns whether it was sent.
    fn send(&mut self, parts: Vec<u64>, is_crashing: bool) -> bool {
        let is_quarantined = |part: &u64| self.group.suspicion(*part) == Suspicion::Quarantined;
        if parts.iter().any(is_quarantined) {
            self.refused += usize::from(!is_crashing);
            return false;
        }
        let now = self.group.now;
        let up = self.endpoints.iter().enumerate();
        let up: Vec<_> = up
            .filter(|(_, (from, _))| *from <= now)
            .map(|(n, _)| n)
            .collect();
        if up.is_empty() {
            return false;
        }
        let endpoint = up[self.rng.random_range(0..up.len())];
        let duration = match is_crashing {
            true => self.rng.random_range(20..80),
            false => self.rng.random_range(200..2_500),
        };
        self.runs.push(Run {
            endpoint,
            parts,
            ends_at: now + duration * MS,
            is_crashing,
        });
        true
    }

    fn tell(&mut self, part: u64, event: CrashEvent, at: Instant) {
        let delay = self.rng.random_range(20..250) * MS;
        let arrival = self.group.now + delay;
        let note = CrashNote {
            fingerprint: Fingerprint(part),
            event,
            age: arrival - at,
        };
        self.notes.push_back((arrival, note));
    }

    /// Ends the runs that are due and delivers the notes that have arrived.
    fn step(&mut self) {
        let now = self.group.now;
        while let Some(index) = self.runs.iter().position(|run| run.ends_at <= now) {
            let run = self.runs.swap_remove(index);
            if !run.is_crashing {
                for part in run.parts {
                    self.answers.insert(part, now);
                    if self.group.suspicion(part) != Suspicion::None {
                        self.tell(part, CrashEvent::PartAnswer, now);
                    }
                }
                continue;
            }
            self.crash(run);
        }
        // Instances tell earlier answers to suspects.
        let suspects: Vec<_> = self.group.suspicions.keys().copied().collect();
        for part in suspects {
            if let Some(at) = self.answers.get(&part).copied() {
                self.tell(part, CrashEvent::PartAnswer, at);
            }
        }
        let (due, later) = std::mem::take(&mut self.notes)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.notes = later;
        let due: VecDeque<(Instant, CrashNote)> = due;
        for (at, note) in due {
            self.group.records.add(at, &note);
        }
        self.group.advance(50 * MS);
    }

    /// Crashes the endpoint of a run.
    fn crash(&mut self, run: Run) {
        let now = self.group.now;
        let (up_from, starts) = &mut self.endpoints[run.endpoint];
        let endpoint = run.endpoint as u64 * 1_000 + *starts;
        *up_from = now + Duration::from_millis(self.rng.random_range(800..4_000));
        *starts += 1;
        self.crashes.push(now);
        let runs = std::mem::take(&mut self.runs);
        let (interrupted, others) = runs
            .into_iter()
            .partition(|other| other.endpoint == run.endpoint);
        self.runs = others;
        let interrupted: Vec<Run> = interrupted;
        for part in interrupted
            .iter()
            .flat_map(|run| &run.parts)
            .chain(&run.parts)
        {
            self.tell(*part, CrashEvent::PartCrash { endpoint }, now);
        }
    }
}

/// Guards, at fleets and rates of several sizes, against a part that crashes endpoints without being withheld in time,
/// and against blame for sound parts: one that all requests share, those of callers, those of sessions, and a
/// system prompt that is used once in some seconds.
#[gtest]
fn verdicts_simulated_service() {
    for (endpoints, sound_rate, crashing_rate) in [
        (9, 40.0, 2.0),
        (9, 40.0, 15.0),
        (9, 40.0, 0.4),
        (60, 300.0, 10.0),
        (78, 400.0, 2.0),
    ] {
        for seed in 0..10 {
            let name = format!("{endpoints} endpoints, {crashing_rate} a second, seed {seed}");
            let mut service = Service::new(seed, endpoints);
            let begin = service.group.now + Duration::from_secs(10);
            let end = begin + Duration::from_secs(40);
            let mut sent_late = 0;
            while service.group.now < end {
                let step = 0.05_f64;
                let sound = service.rng.random_range(0.0..2.0 * sound_rate * step);
                for _ in 0..sound as usize {
                    service.last_part += 1;
                    let parts = match service.rng.random_range(0..200) {
                        0 => vec![2, 3],
                        1..=100 => vec![1, 10 + service.rng.random_range(0..10)],
                        _ => vec![
                            1,
                            10 + service.rng.random_range(0..10),
                            service.last_part / 5,
                        ],
                    };
                    service.send(parts, false);
                }
                let is_due = service.rng.random_bool((crashing_rate * step).min(1.0));
                if service.group.now >= begin && is_due {
                    let companion = 10 + service.rng.random_range(0..3);
                    let is_sent = service.send(vec![1, CULPRIT, companion], true);
                    let fifth = service.crashes.get(4).copied();
                    let is_late = fifth.is_some_and(|at| service.group.now > at + DETECTION_TIME);
                    sent_late += usize::from(is_sent && is_late);
                }
                service.step();
            }
            expect_that!(sent_late, le(3), "{name}");
            expect_that!(
                service.group.blamed_parts(),
                elements_are![eq(&CULPRIT)],
                "{name}"
            );
            expect_that!(service.refused, eq(0), "{name}");
        }
    }
}
