//! Tests of the crash detection of one instance and of its decision whether a request may be sent.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::control::Suspicion;
use fulmarford_lib::crash_detector::CrashDetector;
use fulmarford_lib::crash_detector::EVIDENCE_TIMEOUT;
use fulmarford_lib::crash_detector::InterruptionAction;
use fulmarford_lib::crash_note::CrashEvent;
use fulmarford_lib::crash_note::CrashNote;
use fulmarford_lib::crash_tracker::ANSWER_TTL;
use fulmarford_lib::crash_tracker::CrashTracker;
use fulmarford_lib::crash_tracker::Permit;
use fulmarford_lib::dialect::PromptPart;
use fulmarford_lib::fingerprint::Fingerprint;
use fulmarford_lib::fingerprint::Fingerprinter;
use fulmarford_lib::fingerprint::RequestPrints;
use googletest::prelude::*;

const CRASHING: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
const MS: Duration = Duration::from_millis(1);

/// Guards against suspicion because of a failed link, a lost response or a frozen endpoint, and against calls
/// interrupted by one crash that are not attributed to it together.
#[gtest]
fn record_interruption_evidence() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    expect_that!(
        detector.record_interruption(now, &"a".into(), &CRASHING.into()),
        eq(&InterruptionAction::Probe)
    );
    expect_that!(
        detector.record_interruption(now, &"a".into(), &OTHER.into()),
        eq(&InterruptionAction::Wait)
    );
    expect_that!(
        detector.record_interruption(now, &"a".into(), &OTHER.into()),
        eq(&InterruptionAction::Wait)
    );
    let notes = detector.record_crash(now + 20 * MS, &"a".into());
    let fingerprints: Vec<_> = notes.iter().map(|note| note.fingerprint).collect();
    expect_that!(fingerprints, eq(&[CRASHING, OTHER]));
    expect_that!(notes[0].age, eq(20 * MS));
    // A call that is interrupted later belongs to the same crash.
    let late = detector.record_interruption(now + 30 * MS, &"a".into(), &Fingerprint(3).into());
    expect_true!(
        matches!(late, InterruptionAction::Report(late) if late[0].event == notes[0].event)
    );
    // The waiting calls of an endpoint that is still running are discarded.
    detector.record_interruption(now, &"b".into(), &CRASHING.into());
    detector.record_alive(&"b".into());
    expect_false!(detector.awaits_evidence(&"b".into()));
    expect_that!(detector.record_crash(now, &"b".into()), is_empty());
    // Without evidence an interrupted call expires.
    detector.record_interruption(now, &"c".into(), &CRASHING.into());
    detector.record_interruption(now + EVIDENCE_TIMEOUT, &"d".into(), &OTHER.into());
    expect_that!(
        detector.record_crash(now + EVIDENCE_TIMEOUT, &"c".into()),
        is_empty()
    );
}

/// Guards against an instance without contact to the others that keeps sending a request which crashes endpoints.
#[gtest]
fn permit_own_notes() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    for endpoint in ["a", "b", "c"] {
        now += 100 * MS;
        expect_that!(
            tracker.permit(now, CRASHING, Suspicion::None),
            eq(Permit::Granted)
        );
        for fingerprint in [CRASHING, OTHER] {
            tracker.record_interruption(now, &endpoint.into(), &fingerprint.into());
        }
        expect_that!(tracker.record_crash(now, &endpoint.into()).len(), eq(2));
        // The other request is answered at the next endpoint, and a note about this is shared.
        let note = tracker.answered(now + MS, OTHER);
        expect_that!(note.map(|note| note.event), some(eq(CrashEvent::Answer)));
    }
    let denied = Permit::Denied(None);
    expect_that!(tracker.permit(now, CRASHING, Suspicion::None), eq(denied));
    expect_that!(
        tracker.permit(now, OTHER, Suspicion::None),
        eq(Permit::Granted)
    );
}

/// Guards against a popular request that stays quarantined although this instance has seen responses to it, and
/// against notes about requests without crashes.
#[gtest]
fn permit_answered_recently() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    expect_that!(tracker.answered(now, OTHER), none());
    let later = now + 300 * MS;
    let permit = tracker.permit(later, OTHER, Suspicion::Quarantined);
    let Permit::Denied(Some(note)) = permit else {
        panic!("no note about the response: {permit:?}");
    };
    expect_that!(note.age, eq(300 * MS));
    let permit = tracker.permit(now + ANSWER_TTL, OTHER, Suspicion::Quarantined);
    expect_that!(permit, eq(Permit::Denied(None)));
    expect_that!(
        tracker.permit(now, OTHER, Suspicion::Suspect),
        eq(Permit::Granted)
    );
}

/// Guards against notes that name the last part of a prompt, which no other request has, and against shared parts
/// that are missing or named twice.
#[gtest]
fn record_crash_names_shared_parts() {
    let now = Instant::now();
    let fingerprinter = Fingerprinter::new(b"secret");
    let part = |id| PromptPart { id, tokens: 10 };
    let prints = |request, parts: &[PromptPart]| RequestPrints {
        request,
        parts: fingerprinter.shared_parts(parts),
    };
    let first = prints(CRASHING, &[part(1), part(2), part(1), part(3)]);
    let second = prints(OTHER, &[part(2), part(4)]);
    expect_that!(first.parts.len(), eq(2));
    expect_that!(fingerprinter.shared_parts(&[part(5)]).len(), eq(0));
    expect_that!(fingerprinter.shared_parts(&[]).len(), eq(0));
    let mut detector = CrashDetector::default();
    detector.record_interruption(now, &"a".into(), &first);
    detector.record_interruption(now, &"a".into(), &second);
    let notes = detector.record_crash(now, &"a".into());
    let is_part = |note: &&CrashNote| matches!(note.event, CrashEvent::PartCrash { .. });
    let parts: Vec<_> = notes
        .iter()
        .filter(is_part)
        .map(|note| note.fingerprint)
        .collect();
    expect_that!(parts, eq(&first.parts.to_vec()));
    expect_that!(notes.len(), eq(4));
}
