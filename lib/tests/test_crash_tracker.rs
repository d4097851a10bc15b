//! Tests of what one instance concludes from calls that broke.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::control::Suspicion;
use fulmarford_lib::crash_detector::AfterBreak;
use fulmarford_lib::crash_detector::CrashDetector;
use fulmarford_lib::crash_detector::EVIDENCE_TIME;
use fulmarford_lib::crash_note::CrashEvent;
use fulmarford_lib::crash_tracker::ANSWER_LIFE;
use fulmarford_lib::crash_tracker::CrashTracker;
use fulmarford_lib::crash_tracker::Permit;
use fulmarford_lib::fingerprint::Fingerprint;
use googletest::prelude::*;

const CULPRIT: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
const MS: Duration = Duration::from_millis(1);

/// Guards against suspicion for a cut link, a lost answer or a frozen endpoint, and against calls of one end
/// that are not taken together.
#[gtest]
fn broke_evidence() {
    let now = Instant::now();
    let mut watch = CrashDetector::default();
    expect_that!(
        watch.broke(now, &"a".into(), CULPRIT),
        eq(&AfterBreak::Look)
    );
    expect_that!(watch.broke(now, &"a".into(), OTHER), eq(&AfterBreak::Wait));
    expect_that!(watch.broke(now, &"a".into(), OTHER), eq(&AfterBreak::Wait));
    let notes = watch.ended(now + 20 * MS, &"a".into());
    let prints: Vec<_> = notes.iter().map(|note| note.print).collect();
    expect_that!(prints, eq(&[CULPRIT, OTHER]));
    expect_that!(notes[0].age, eq(20 * MS));
    // One that breaks late belongs to the same end.
    let late = watch.broke(now + 30 * MS, &"a".into(), Fingerprint(3));
    expect_true!(matches!(late, AfterBreak::Ended(note) if note.event == notes[0].event));
    // An endpoint that goes on clears those that waited.
    watch.broke(now, &"b".into(), CULPRIT);
    watch.goes_on(&"b".into());
    expect_false!(watch.waits(&"b".into()));
    expect_that!(watch.ended(now, &"b".into()), is_empty());
    // Without evidence a break is forgotten.
    watch.broke(now, &"c".into(), CULPRIT);
    watch.broke(now + EVIDENCE_TIME, &"d".into(), OTHER);
    expect_that!(watch.ended(now + EVIDENCE_TIME, &"c".into()), is_empty());
}

/// Guards against a culprit that an instance without contact to the others sends on.
#[gtest]
fn permit_own_notes() {
    let mut now = Instant::now();
    let mut culprits = CrashTracker::default();
    for endpoint in ["a", "b", "c"] {
        now += 100 * MS;
        expect_that!(
            culprits.permit(now, CULPRIT, Suspicion::None),
            eq(Permit::Granted)
        );
        for print in [CULPRIT, OTHER] {
            culprits.broke(now, &endpoint.into(), print);
        }
        expect_that!(culprits.ended(now, &endpoint.into()).len(), eq(2));
        // The other one is answered at the next endpoint, and the others are told so.
        let note = culprits.answered(now + MS, OTHER);
        expect_that!(note.map(|note| note.event), some(eq(CrashEvent::Answer)));
    }
    let withheld = Permit::Withheld(None);
    expect_that!(culprits.permit(now, CULPRIT, Suspicion::None), eq(withheld));
    expect_that!(
        culprits.permit(now, OTHER, Suspicion::None),
        eq(Permit::Granted)
    );
}

/// Guards against a popular request that stays withheld although this instance has its answers, and against
/// chatter about requests under which nothing ended.
#[gtest]
fn permit_answered_lately() {
    let now = Instant::now();
    let mut culprits = CrashTracker::default();
    expect_that!(culprits.answered(now, OTHER), none());
    let later = now + 300 * MS;
    let permit = culprits.permit(later, OTHER, Suspicion::Quarantined);
    let Permit::Withheld(Some(note)) = permit else {
        panic!("no answer is told: {permit:?}");
    };
    expect_that!(note.age, eq(300 * MS));
    let permit = culprits.permit(now + ANSWER_LIFE, OTHER, Suspicion::Quarantined);
    expect_that!(permit, eq(Permit::Withheld(None)));
    expect_that!(
        culprits.permit(now, OTHER, Suspicion::Suspect),
        eq(Permit::Granted)
    );
}
