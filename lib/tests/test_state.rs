//! Tests of the replicated state machine, also against its reference model.

use std::collections::BTreeSet;

use fulmarford_lib::code::ResultCode;
use fulmarford_lib::command::*;
use fulmarford_lib::control::Suspicion;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::intent;
use fulmarford_lib::lease::LeaseGate;
use fulmarford_lib::rule_state;
use fulmarford_lib::rules;
use fulmarford_lib::simple_state::SimpleState;
use fulmarford_lib::state::State;
use fulmarford_lib::usage::WindowReport;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::Version;
use fulmarford_lib::view::View;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;

const START_MS: u64 = 1_800_000_000_000;
const HOUR_MS: u64 = 3_600_000;

fn incarnation(n: u64) -> Incarnation {
    Incarnation {
        instance: format!("i{n}").into(),
        number: n,
    }
}

fn set(line: &str) -> Edit {
    Edit::Set(rules::parse_line(line).expect("the line is not a rule"))
}

fn change(id: &str, expected: u64, edits: Vec<Edit>) -> Command {
    Command::Apply(Change {
        id: id.into(),
        expected: Version(expected),
        author: "tester".to_owned(),
        edits,
    })
}

fn key(n: u64) -> IntentKey {
    IntentKey {
        workspace: "w".into(),
        key: format!("k{n}"),
    }
}

fn begin(n: u64, body: u64, attempt: u64) -> Command {
    Command::BeginIntent(IntentStart {
        key: key(n),
        fingerprint: body,
        entry: incarnation(1),
        attempt: RequestId(attempt),
    })
}

fn finish(n: u64, attempt: u64, outcome: Outcome) -> Command {
    Command::FinishIntent(IntentEnd {
        key: key(n),
        entry: incarnation(1),
        attempt: RequestId(attempt),
        outcome,
    })
}

fn answered(size: usize) -> Outcome {
    Outcome::Answered {
        status: 200,
        kind: "text/plain".to_owned(),
        body: Some(vec![7; size]),
    }
}

fn usage(entry: u64, sequence: u64, seconds: u64, requests: u64) -> Command {
    Command::AddUsage(UsageReport {
        entry: incarnation(entry),
        sequence,
        window: Window(seconds),
        rows: vec![UsageRow {
            workspace: "w".into(),
            class: "c".into(),
            requests,
            prompt: 2 * requests,
            output: 3 * requests,
        }],
    })
}

fn hold(lease: LeaseKind, holder: u64, replaces: Option<u64>) -> Command {
    Command::HoldLease {
        lease,
        holder: incarnation(holder),
        replaces,
    }
}

fn code(reply: &Reply) -> Option<ResultCode> {
    match reply {
        Reply::Refused { code, .. } => Some(*code),
        _ => None,
    }
}

fn document(revision: u64, text: u8) -> Command {
    Command::ReplaceDocument(rules::Document {
        revision,
        text: text.to_string().into(),
    })
}

fn evacuation(id: &str, zone: &str, is_active: bool) -> Command {
    Command::SetEvacuation(EvacuationOrder {
        id: id.into(),
        zone: zone.into(),
        is_active,
    })
}

/// A state machine with the index of the last command and the time of the next one.
struct Fixture {
    state: State,
    index: u64,
    at: u64,
}

impl Fixture {
    fn new() -> Self {
        Self {
            state: State::default(),
            index: 0,
            at: START_MS,
        }
    }

    fn run(&mut self, command: Command) -> Reply {
        self.index += 1;
        let at = Timestamp(self.at);
        self.state
            .apply(self.index, &StampedCommand { at, command })
    }

    fn restart(&mut self) {
        self.state = State::restore(&self.state.snapshot()).expect("cannot restore the snapshot");
    }
}

/// Guards against a document that takes effect although its revision is not above the current one,
/// and against a resend that is not acknowledged.
#[gtest]
fn replace_document_highest_revision() {
    let mut f = Fixture::new();
    let held = |f: &mut Fixture| match f.run(Command::ReadDocument) {
        Reply::Document(held) => held.map(|d| (d.revision, d.text.to_string())),
        other => panic!("unexpected reply {other:?}"),
    };
    expect_that!(held(&mut f), none());
    let first = f.run(document(5, 1));
    expect_that!(
        first,
        eq(&Reply::Applied {
            version: Version(1)
        })
    );
    for (revision, text) in [(5, 1), (5, 2), (4, 3)] {
        expect_that!(f.run(document(revision, text)), eq(&first));
    }
    expect_that!(held(&mut f), some(eq(&(5, "1".to_owned()))));
    f.restart();
    f.run(document(9, 4));
    f.run(change("a", 2, vec![set("workspace w # t")]));
    expect_that!(held(&mut f), some(eq(&(9, "4".to_owned()))));
    // Deltas go back only to the last document, because documents are large.
    expect_that!(f.state.changes_since(Version(0)), none());
    expect_that!(
        f.state.changes_since(Version(2)).map(|c| c.len()),
        some(eq(1))
    );
}

/// Guards against an order that is not acknowledged because it changes nothing, and against orders that cross whose
/// later one in the log does not hold.
#[gtest]
fn set_evacuation_log_order() {
    let mut f = Fixture::new();
    let orders = [
        ("a", true, 1),
        ("b", true, 1),
        ("c", false, 2),
        ("d", false, 2),
        ("e", true, 3),
    ];
    for (id, is_active, version) in orders {
        let reply = f.run(evacuation(id, "y", is_active));
        let expected = Reply::Applied {
            version: Version(version),
        };
        expect_that!(reply, eq(&expected), "{id}");
        let is_evacuated = f.state.view().evacuated_zones().contains("y");
        expect_that!(is_evacuated, eq(is_active), "{id}");
    }
    let changes = f.state.changes_since(Version(1));
    expect_that!(changes.map(|c| c.len()), some(eq(2)));
}

/// Guards against a duplicate of an order that undoes a newer one when it arrives late.
#[gtest]
fn set_evacuation_late_duplicate() {
    let mut f = Fixture::new();
    let first = f.run(evacuation("a", "y", true));
    f.run(evacuation("b", "y", false));
    f.restart();
    expect_that!(f.run(evacuation("a", "y", true)), eq(&first));
    expect_that!(f.state.view().evacuated_zones().as_ref(), is_empty());
    let reused = f.run(evacuation("a", "z", true));
    expect_that!(code(&reused), some(eq(ResultCode::ChangeIdReused)));
}

/// Guards against an evacuation that a new document, a change of the rules or a snapshot ends, and against
/// instances that do not learn it since the document discarded the changes before it.
#[gtest]
fn set_evacuation_survives_other_changes() {
    let mut f = Fixture::new();
    f.run(evacuation("a", "y", true));
    f.run(document(1, 1));
    f.run(change("b", 2, vec![set("workspace w # t")]));
    f.run(evacuation("c", "z", true));
    f.restart();
    let zones = BTreeSet::from(["y".into(), "z".into()]);
    expect_that!(f.state.view().evacuated_zones().as_ref(), eq(&zones));
    expect_that!(f.state.changes_since(Version(1)), none());
    let last = f.state.changes_since(Version(3)).expect("kept");
    let earlier = View::default();
    let view = last[0].apply(&earlier).expect("applies");
    expect_true!(view.evacuated_zones().contains("z"));
}

/// Guards against windows that do not have the agreed length, against counts that move from an open
/// window to another one when the terms change, and against terms that are lost in a snapshot.
#[gtest]
fn usage_terms_short_windows() {
    let mut f = Fixture::new();
    let terms = UsageTerms {
        length: 5,
        grace: 4,
    };
    f.run(Command::SetUsageTerms(UsageTerms {
        length: 0,
        grace: 1,
    }));
    expect_that!(f.state.usage().terms(), eq(UsageTerms::default()));
    f.run(Command::SetUsageTerms(terms));
    f.run(hold(LeaseKind::Usage, 1, Some(0)));
    let start = START_MS / 1_000;
    f.at += 12_000;
    for n in 0..6 {
        f.run(usage(1, n + 1, start + 2 * n, 1));
    }
    f.at += 5_000;
    let window = Window(start);
    let Reply::Frozen { bytes } = f.run(Command::FreezeWindow { window, fence: 1 }) else {
        panic!("the window was not frozen");
    };
    let report: WindowReport = serde_json::from_slice(&bytes).expect("the report is not JSON");
    let total: u64 = report.rows.iter().map(|row| row.counts.requests).sum();
    // The reports of seconds 0, 2 and 4.
    expect_that!(total, eq(3));
    f.restart();
    expect_that!(f.state.usage().terms(), eq(terms));
}

/// Guards against accepting two changes that expect the same version, and against a different reply
/// to a resent change after a snapshot.
#[gtest]
fn apply_resent_change() {
    let mut f = Fixture::new();
    let first = f.run(change("a", 0, vec![set("workspace w # t")]));
    let second = f.run(change("b", 0, vec![set("workspace v # t")]));
    expect_that!(
        first,
        eq(&Reply::Applied {
            version: Version(1)
        })
    );
    expect_that!(code(&second), some(eq(ResultCode::VersionConflict)));
    f.run(change("c", 1, vec![set("workspace u # t")]));
    f.restart();
    expect_that!(
        f.run(change("a", 0, vec![set("workspace w # t")])),
        eq(&first)
    );
    expect_that!(
        f.run(change("b", 0, vec![set("workspace v # t")])),
        eq(&second)
    );
    let reused = f.run(change("a", 0, vec![set("workspace x # t")]));
    expect_that!(code(&reused), some(eq(ResultCode::ChangeIdReused)));
    expect_that!(f.state.view().version(), eq(Version(2)));
}

/// Guards against deltas that do not lead to the current view, and against a history that grows
/// without limit.
#[gtest]
fn changes_since_bounded() {
    let mut f = Fixture::new();
    let total = rule_state::MAX_CHANGES as u64 + 10;
    let mut copy = f.state.view().clone();
    for n in 0..total {
        f.run(change(
            &format!("c{n}"),
            n,
            vec![set(&format!("workspace w{} # t", n % 5))],
        ));
        if n == 100 {
            copy = f.state.view().clone();
        }
    }
    expect_that!(f.state.changes_since(Version(9)), none());
    expect_that!(f.state.changes_since(Version(total + 1)), none());
    f.restart();
    let delta = f
        .state
        .changes_since(copy.version())
        .expect("the changes are not retained");
    for change in &delta {
        copy = change.apply(&copy).expect("the delta does not apply");
    }
    expect_that!(copy.version(), eq(f.state.view().version()));
    expect_that!(copy.rules().eq(f.state.view().rules()), eq(true));
}

/// Guards against running a non-idempotent call twice.
#[gtest]
fn begin_intent_second_caller() {
    let mut f = Fixture::new();
    expect_that!(f.run(begin(1, 5, 10)), eq(&Reply::IntentGranted));
    expect_that!(f.run(begin(1, 5, 10)), eq(&Reply::IntentGranted));
    expect_that!(f.run(begin(1, 5, 11)), eq(&Reply::IntentUnknown));
    let other = f.run(begin(1, 6, 12));
    expect_that!(code(&other), some(eq(ResultCode::IdempotencyKeyReused)));
    f.run(finish(1, 10, answered(3)));
    f.restart();
    expect_that!(f.run(begin(1, 5, 13)), eq(&Reply::IntentDone(answered(3))));
}

/// Guards against running a call again when it is resent after its outcome was dropped.
#[gtest]
fn begin_intent_after_expiry() {
    let mut f = Fixture::new();
    f.run(begin(1, 5, 10));
    f.run(finish(1, 10, answered(3)));
    f.run(begin(2, 5, 11));
    f.run(begin(3, 5, 12));
    f.run(finish(3, 12, answered(intent::MAX_STORED_BODY_BYTES + 1)));
    let large = f.run(begin(3, 5, 13));
    expect_that!(code(&large), some(eq(ResultCode::OutcomeNotStored)));
    f.at += intent::OUTCOME_RETENTION_MS;
    let late = f.run(begin(1, 5, 14));
    expect_that!(code(&late), some(eq(ResultCode::OutcomeNotStored)));
    expect_that!(f.run(begin(2, 5, 11)), eq(&Reply::IntentUnknown));
    expect_that!(f.state.intents().body_bytes(), eq(0));
    f.at += intent::TOMBSTONE_RETENTION_MS - intent::OUTCOME_RETENTION_MS;
    expect_that!(f.run(begin(1, 5, 15)), eq(&Reply::IntentGranted));
    expect_that!(f.state.intents().len(), eq(1));
}

/// Guards against stored bodies that exhaust memory; a call whose body was dropped must not run
/// again.
#[gtest]
fn finish_intent_body_bound() {
    let mut f = Fixture::new();
    let count = (intent::MAX_STORED_TOTAL_BYTES / intent::MAX_STORED_BODY_BYTES) as u64 + 5;
    for n in 0..count {
        f.run(begin(n, 1, n));
        f.run(finish(n, n, answered(intent::MAX_STORED_BODY_BYTES)));
    }
    expect_that!(
        f.state.intents().body_bytes(),
        le(intent::MAX_STORED_TOTAL_BYTES)
    );
    let dropped = f.run(begin(0, 1, count));
    expect_that!(code(&dropped), some(eq(ResultCode::OutcomeNotStored)));
    let kept = f.run(begin(count - 1, 1, count));
    expect_that!(kept, matches_pattern!(Reply::IntentDone(_)));
}

/// Guards against an intent that expires too early because its key was used and withdrawn before.
#[gtest]
fn begin_intent_again_after_release() {
    let mut f = Fixture::new();
    f.run(begin(1, 5, 10));
    f.run(Command::ReleaseIntent(IntentRelease {
        key: key(1),
        entry: incarnation(1),
        attempt: RequestId(10),
    }));
    f.at += HOUR_MS;
    f.run(begin(1, 5, 11));
    f.run(finish(1, 11, answered(3)));
    f.at += intent::OUTCOME_RETENTION_MS - HOUR_MS;
    expect_that!(f.run(begin(1, 5, 12)), eq(&Reply::IntentDone(answered(3))));
}

/// Guards against time that decreases when the wall clock of a new leader is behind.
#[gtest]
fn apply_older_timestamp() {
    let mut f = Fixture::new();
    f.run(begin(1, 5, 10));
    let newest = f.state.now();
    f.at -= HOUR_MS;
    f.run(begin(2, 5, 11));
    expect_that!(f.state.now(), eq(newest));
}

/// Guards against memory use that grows with intents that are withdrawn.
#[gtest]
fn release_intent_bound() {
    let mut f = Fixture::new();
    for n in 0..20_000 {
        f.run(begin(n % 3, 1, n));
        f.run(Command::ReleaseIntent(IntentRelease {
            key: key(n % 3),
            entry: incarnation(1),
            attempt: RequestId(n),
        }));
    }
    expect_that!(f.state.intents().is_empty(), eq(true));
    expect_that!(f.state.snapshot().len(), le(50_000));
}

/// Guards against a workspace whose calls use up the records of all workspaces.
#[gtest]
fn begin_intent_workspace_bound() {
    let mut f = Fixture::new();
    for n in 0..u64::from(intent::MAX_LIVE_PER_WORKSPACE) {
        expect_that!(f.run(begin(n, 1, n)), eq(&Reply::IntentGranted));
    }
    let surplus = f.run(begin(1_000_000, 1, 1));
    expect_that!(code(&surplus), some(eq(ResultCode::RequestLimit)));
    f.run(Command::ReleaseIntent(IntentRelease {
        key: key(0),
        entry: incarnation(1),
        attempt: RequestId(0),
    }));
    expect_that!(f.run(begin(1_000_000, 1, 1)), eq(&Reply::IntentGranted));
    f.at += intent::OUTCOME_RETENTION_MS;
    expect_that!(f.run(begin(1_000_001, 1, 1)), eq(&Reply::IntentGranted));
}

/// Guards against usage that is counted twice when a report is resent, and against frozen figures
/// that change. Restoring a snapshot stands for a change of leader.
#[gtest]
fn freeze_window_once() {
    let mut f = Fixture::new();
    let window = START_MS / 1_000;
    f.run(hold(LeaseKind::Usage, 9, Some(0)));
    f.run(usage(1, 1, window, 4));
    f.restart();
    expect_that!(f.run(usage(1, 1, window, 4)), eq(&Reply::Done));
    expect_that!(
        code(&f.run(usage(1, 3, window, 4))),
        some(eq(ResultCode::BadRequest))
    );
    let freeze = |fence| Command::FreezeWindow {
        window: Window(window),
        fence,
    };
    f.at += 69_000;
    expect_that!(code(&f.run(freeze(1))), some(eq(ResultCode::BadRequest)));
    f.at += 1_000;
    expect_that!(f.run(freeze(2)), eq(&Reply::LeaseDenied));
    let Reply::Frozen { bytes } = f.run(freeze(1)) else {
        panic!("the window was not frozen");
    };
    let golden = format!(
        r#"{{"window":{window},"rows":[{{"workspace":"w","class":"c","late":false,"requests":4,"prompt":8,"output":12}}]}}"#
    );
    expect_that!(String::from_utf8_lossy(&bytes), eq(&golden));
    f.run(usage(1, 2, window, 1));
    f.restart();
    expect_that!(f.run(freeze(1)), eq(&Reply::Frozen { bytes }));
    f.run(Command::WindowReported {
        window: Window(window),
    });
    expect_that!(f.run(freeze(1)), eq(&Reply::Done));
    f.at += 60_000;
    let next = Command::FreezeWindow {
        window: Window(window + 60),
        fence: 1,
    };
    let Reply::Frozen { bytes } = f.run(next) else {
        panic!("the next window was not frozen");
    };
    let report: WindowReport = serde_json::from_slice(&bytes).expect("the report is not JSON");
    expect_that!(report.rows[0].late, eq(true));
    expect_that!(report.rows[0].counts.requests, eq(1));
}

/// Guards against lost counts, and against rows without limit, when windows cannot be frozen for a
/// long time.
#[gtest]
fn add_usage_many_windows() {
    let mut f = Fixture::new();
    f.run(hold(LeaseKind::Usage, 9, Some(0)));
    for n in 1..=50 {
        f.run(usage(1, n, f.at / 1_000, 1));
        f.at += 60_000;
    }
    expect_that!(f.state.usage().open_rows(), le(8));
    let mut total = 0;
    while let Some(window) = f.state.usage().due(Timestamp(f.at + HOUR_MS)) {
        f.at += HOUR_MS;
        let Reply::Frozen { bytes } = f.run(Command::FreezeWindow { window, fence: 1 }) else {
            panic!("the window was not frozen");
        };
        let report: WindowReport = serde_json::from_slice(&bytes).expect("the report is not JSON");
        total += report.rows.iter().map(|r| r.counts.requests).sum::<u64>();
    }
    expect_that!(total, eq(50));
}

/// Guards against a request that crashes one endpoint after another, and against a quarantine for a
/// single crash that several entries report.
#[gtest]
fn report_crash_second_endpoint() {
    let mut f = Fixture::new();
    let crash = |endpoint: &str, fingerprints: &[u64]| {
        Command::ReportCrash(CrashReport {
            endpoint: endpoint.into(),
            fingerprints: fingerprints.to_vec(),
            reporter: incarnation(1),
        })
    };
    f.run(crash("a", &[1, 2, 3]));
    f.run(crash("a", &[1, 2]));
    expect_that!(f.state.suspects().suspicion(1), eq(Suspicion::Suspect));
    f.run(Command::ClearSuspect { fingerprint: 2 });
    f.run(crash("b", &[1, 2]));
    expect_that!(f.state.suspects().suspicion(1), eq(Suspicion::Quarantined));
    expect_that!(f.state.suspects().suspicion(2), eq(Suspicion::Suspect));
    f.at += 20_000;
    f.run(crash("a", &[3]));
    expect_that!(f.state.suspects().suspicion(3), eq(Suspicion::Quarantined));
    f.restart();
    f.at += HOUR_MS;
    f.run(Command::ClearSuspect { fingerprint: 9 });
    expect_that!(f.state.suspects().suspicion(1), eq(Suspicion::None));
}

/// Guards against a quarantine that a resent command or a clearance changes, and one that cannot be
/// lifted.
#[gtest]
fn quarantine_until_lifted() {
    let mut f = Fixture::new();
    let quarantine = Command::Quarantine { fingerprint: 1 };
    f.run(quarantine.clone());
    let revision = f.state.suspects().revision();
    f.run(quarantine);
    f.run(Command::ClearSuspect { fingerprint: 1 });
    expect_that!(f.state.suspects().suspicion(1), eq(Suspicion::Quarantined));
    expect_that!(f.state.suspects().revision(), eq(revision));
    f.run(Command::LiftQuarantine { fingerprint: 1 });
    expect_that!(f.state.suspects().suspicion(1), eq(Suspicion::None));
    expect_that!(f.state.suspects().revision(), gt(revision));
}

/// Guards against recording an order of a process that lost the lease, and against two open orders
/// for one zone.
#[gtest]
fn place_order_fenced() {
    let mut f = Fixture::new();
    let order = |id, fence| {
        Command::PlaceOrder(Order {
            id,
            fence,
            zone: "z1".into(),
            count: 3,
            reclaimable: false,
            reason: "demand".to_owned(),
        })
    };
    expect_that!(f.run(order(1, 0)), eq(&Reply::LeaseDenied));
    f.run(hold(LeaseKind::Orders, 1, Some(0)));
    expect_that!(f.run(order(1, 1)), eq(&Reply::Done));
    expect_that!(f.run(order(1, 1)), eq(&Reply::Done));
    expect_that!(code(&f.run(order(2, 1))), some(eq(ResultCode::BadRequest)));
    f.run(hold(LeaseKind::Orders, 2, Some(1)));
    expect_that!(f.run(order(2, 1)), eq(&Reply::LeaseDenied));
    f.run(Command::CloseOrder {
        order: 1,
        state: OrderState::Accepted,
    });
    f.restart();
    expect_that!(f.run(order(2, 2)), eq(&Reply::Done));
    expect_that!(f.state.orders().open().count(), eq(1));
}

/// Guards against applying a grant that the leader prepared before the holder changed.
#[gtest]
fn hold_lease_stale_gate() {
    let mut f = Fixture::new();
    let now = std::time::Instant::now();
    let mut gate = LeaseGate::new(now);
    let first = gate.prepare(now, f.state.leases(), hold(LeaseKind::Orders, 1, Some(77)));
    let second = gate.prepare(now, f.state.leases(), hold(LeaseKind::Orders, 2, None));
    expect_that!(f.run(first), eq(&Reply::LeaseHeld { fence: 1 }));
    expect_that!(f.run(second), eq(&Reply::LeaseDenied));
}

fn arbitrary_edit() -> impl Strategy<Value = Edit> {
    let lines = vec![
        "workspace w # t",
        "workspace v weight=2 # t",
        "class c tier=1 idempotent=yes # t",
        "route r workspace=w class=c model=m endpoints=e* # t",
        "limit v requests=5/s # t",
    ];
    (select(lines), any::<bool>()).prop_map(|(line, remove)| {
        let rule = rules::parse_line(line).expect("the line is not a rule");
        if remove {
            Edit::Remove(rule.key)
        } else {
            Edit::Set(rule)
        }
    })
}

fn arbitrary_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        (0..100_usize).prop_map(answered),
        Just(answered(intent::MAX_STORED_BODY_BYTES + 1)),
        Just(Outcome::Unknown),
    ]
}

fn arbitrary_command() -> impl Strategy<Value = Command> {
    let lease = || select(vec![LeaseKind::Orders, LeaseKind::Usage]);
    prop_oneof![
        4 => (0..9_u64, 0..5_u64, vec(arbitrary_edit(), 0..3))
            .prop_map(|(id, expected, edits)| change(&format!("c{id}"), expected, edits)),
        4 => (0..4_u64, 0..2_u64, 0..3_u64).prop_map(|(n, body, attempt)| begin(n, body, attempt)),
        3 => (0..4_u64, 0..3_u64, arbitrary_outcome()).prop_map(|(n, a, o)| finish(n, a, o)),
        1 => (0..4_u64, 0..3_u64).prop_map(|(n, attempt)| Command::ReleaseIntent(IntentRelease {
            key: key(n), entry: incarnation(1), attempt: RequestId(attempt),
        })),
        2 => (select(vec!["a", "b"]), vec(0..6_u64, 0..4)).prop_map(|(endpoint, fingerprints)| {
            Command::ReportCrash(CrashReport {
                endpoint: endpoint.into(), fingerprints, reporter: incarnation(1),
            })
        }),
        1 => (0..6_u64).prop_map(|fingerprint| Command::ClearSuspect { fingerprint }),
        1 => (0..6_u64).prop_map(|fingerprint| Command::Quarantine { fingerprint }),
        1 => (0..6_u64).prop_map(|fingerprint| Command::LiftQuarantine { fingerprint }),
        1 => proptest::collection::vec(0..6_u64, 0..3)
            .prop_map(|fingerprints| Command::SuspectParts { fingerprints }),
        1 => proptest::collection::vec(0..6_u64, 0..3)
            .prop_map(|fingerprints| Command::ClearParts { fingerprints }),
        5 => (1..3_u64, 1..9_u64, 0..5_u64, 0..9_u64).prop_map(|(entry, sequence, w, n)| {
            usage(entry, sequence, START_MS / 1_000 + 45 * w, n)
        }),
        4 => (0..5_u64, 0..3_u64).prop_map(|(w, fence)| Command::FreezeWindow {
            window: Window(START_MS / 1_000 + 60 * w), fence,
        }),
        1 => (0..5_u64).prop_map(|w| Command::WindowReported {
            window: Window(START_MS / 1_000 + 60 * w),
        }),
        4 => (lease(), 1..4_u64, proptest::option::of(0..3_u64))
            .prop_map(|(kind, who, replaces)| hold(kind, who, replaces)),
        1 => (lease(), 1..4_u64, 0..3_u64).prop_map(|(lease, who, fence)| Command::ReleaseLease {
            lease, holder: incarnation(who), fence,
        }),
        3 => (1..6_u64, 0..3_u64, select(vec!["y", "z"]), 0..3_u32).prop_map(
            |(id, fence, zone, count)| Command::PlaceOrder(Order {
                id, fence, zone: zone.into(), count, reclaimable: count == 0,
                reason: String::new(),
            })),
        2 => (0..5_u64, 0..2_u8).prop_map(|(revision, text)| document(revision, text)),
        1 => Just(Command::ReadDocument),
        2 => (0..6_u64, select(vec!["y", "z"]), any::<bool>())
            .prop_map(|(id, zone, is_active)| evacuation(&format!("e{id}"), zone, is_active)),
        2 => (1..6_u64, any::<bool>()).prop_map(|(order, accepted)| Command::CloseOrder {
            order,
            state: if accepted { OrderState::Accepted } else { OrderState::Refused },
        }),
    ]
}

fn arbitrary_step() -> impl Strategy<Value = u64> {
    prop_oneof![
        20 => Just(0),
        20 => 0..30_000_u64,
        2 => Just(HOUR_MS),
        1 => Just(intent::OUTCOME_RETENTION_MS - 1_000),
    ]
}

proptest! {
    /// Guards against a reply that differs from the reference model, a snapshot that loses state,
    /// and replicas whose snapshot bytes differ.
    #[test]
    fn apply_matches_simple_state(
        steps in vec((arbitrary_step(), arbitrary_command()), 1..120),
        cut in 0..120_usize,
    ) {
        let mut f = Fixture::new();
        let mut simple = SimpleState::default();
        let mut restored = State::default();
        for (n, (step, command)) in steps.into_iter().enumerate() {
            f.at += step;
            let stamped = StampedCommand { at: Timestamp(f.at), command };
            let reply = f.run(stamped.command.clone());
            proptest::prop_assert_eq!(&reply, &simple.apply(&stamped), "step {}: {:?}", n, stamped);
            proptest::prop_assert_eq!(&reply, &restored.apply(f.index, &stamped));
            for fingerprint in 0..6 {
                let expected = simple.suspicion(fingerprint);
                proptest::prop_assert_eq!(f.state.suspects().suspicion(fingerprint), expected);
            }
            if n == cut {
                restored = State::restore(&f.state.snapshot()).expect("cannot restore the snapshot");
            }
        }
        proptest::prop_assert!(f.state.view().rules().eq(simple.rules()));
        proptest::prop_assert_eq!(f.state.snapshot(), restored.snapshot());
    }

    /// Guards against a panic on a corrupt snapshot.
    #[test]
    fn restore_damaged(bytes in vec(any::<u8>(), 0..200)) {
        let _ = State::restore(&bytes);
    }
}
