//! A reference model of [`crate::state::State`] for differential tests.
//!
//! It keeps every record forever, checks the age of a record only when it is used, and scans lists.
//! It has no memory limits and no snapshots, so the tests stay below the limits.

use std::collections::BTreeMap;

use crate::code::ResultCode;
use crate::command::Change;
use crate::command::Command;
use crate::command::CrashReport;
use crate::command::EvacuationOrder;
use crate::command::Incarnation;
use crate::command::IntentKey;
use crate::command::IntentStart;
use crate::command::LeaseKind;
use crate::command::Order;
use crate::command::OrderState;
use crate::command::Outcome;
use crate::command::Reply;
use crate::command::StampedCommand;
use crate::command::UsageReport;
use crate::command::UsageTerms;
use crate::command::Window;
use crate::command::document_edit;
use crate::control::Suspicion;
use crate::evacuation;
use crate::ids::EndpointId;
use crate::ids::RequestId;
use crate::intent;
use crate::order::CapacityPool;
use crate::rules::Document;
use crate::rules::Rule;
use crate::rules::RuleBody;
use crate::rules::RuleKey;
use crate::suspect;
use crate::usage::Counts;
use crate::usage::GRACE_SECONDS;
use crate::usage::ReportRow;
use crate::usage::SEQUENCE_TTL_MS;
use crate::usage::WINDOW_SECONDS;
use crate::usage::WindowReport;
use crate::view::Edit;
use crate::view::Version;
use crate::view::View;

#[derive(Clone, Debug)]
struct IntentRecord {
    start: IntentStart,
    /// Time of the start, in milliseconds since the Unix epoch.
    at: u64,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    fingerprint: u64,
    endpoint: EndpointId,
    /// Time of the report, in milliseconds since the Unix epoch.
    at: u64,
    quarantined: bool,
}

/// The state of the reference model.
#[derive(Clone, Debug, Default)]
pub struct SimpleState {
    /// Latest timestamp, in milliseconds since the Unix epoch.
    now: u64,
    rules: BTreeMap<RuleKey, Rule>,
    version: u64,
    replies: Vec<(Change, Reply)>,
    evacuations: Vec<(EvacuationOrder, Reply)>,
    intents: Vec<IntentRecord>,
    crashes: Vec<CrashRecord>,
    /// Sequence number of the last usage report of each entry, and its time in milliseconds.
    sequences: BTreeMap<Incarnation, (u64, u64)>,
    windows: BTreeMap<Window, Vec<ReportRow>>,
    frozen: BTreeMap<Window, Vec<u8>>,
    reported: Vec<Window>,
    /// Fencing number of the last grant of each lease, and its holder if it was not released.
    grants: BTreeMap<LeaseKind, (u64, Option<Incarnation>)>,
    orders: Vec<(Order, OrderState)>,
}

impl SimpleState {
    /// Applies a command and returns its reply.
    pub fn apply(&mut self, stamped: &StampedCommand) -> Reply {
        self.now = self.now.max(stamped.at.0);
        match &stamped.command {
            Command::Apply(change) => self.apply_change(change),
            Command::BeginIntent(start) => self.begin_intent(start),
            Command::FinishIntent(end) => {
                self.finish_intent(&end.key, &end.entry, end.attempt, &end.outcome)
            }
            Command::ReleaseIntent(r) => self.release_intent(&r.key, &r.entry, r.attempt),
            Command::ReportCrash(report) => self.report_crash(report),
            Command::ClearSuspect { fingerprint } => self.clear_suspect(*fingerprint),
            Command::AddUsage(report) => self.add_usage(report),
            Command::FreezeWindow { window, fence } => self.freeze_window(*window, *fence),
            Command::WindowReported { window } => {
                if self.frozen.contains_key(window) {
                    self.reported.push(*window);
                }
                Reply::Done
            }
            Command::HoldLease {
                lease,
                holder,
                replaces,
            } => self.hold_lease(*lease, holder, *replaces),
            Command::ReleaseLease {
                lease,
                holder,
                fence,
            } => self.release_lease(*lease, holder, *fence),
            Command::PlaceOrder(order) => self.place_order(order),
            Command::CloseOrder { order, state } => self.close_order(*order, *state),
            Command::ReplaceDocument(document) => self.replace_document(document),
            Command::SetEvacuation(order) => self.set_evacuation(order),
            Command::ReadDocument => Reply::Document(self.document()),
            // The model supports only the default window length and grace time.
            Command::SetUsageTerms(_) => Reply::Done,
            Command::Quarantine { fingerprint } => self.quarantine(*fingerprint),
            Command::SuspectParts { fingerprints } => self.suspect_parts(fingerprints),
            Command::ClearParts { fingerprints } => {
                for fingerprint in fingerprints {
                    self.clear_suspect(*fingerprint);
                }
                Reply::Done
            }
            Command::LiftQuarantine { fingerprint } => {
                self.crashes.retain(|c| c.fingerprint != *fingerprint);
                Reply::Done
            }
        }
    }

    fn document(&self) -> Option<Document> {
        self.rules.values().find_map(|rule| match &rule.body {
            RuleBody::Document(document) => Some(document.clone()),
            _ => None,
        })
    }

    fn replace_document(&mut self, document: &Document) -> Reply {
        let held = self.document();
        if held.is_none_or(|held| held.revision < document.revision) {
            let Edit::Set(rule) = document_edit(document) else {
                return Reply::Done;
            };
            self.rules.insert(rule.key.clone(), rule);
            self.version += 1;
        }
        Reply::Applied {
            version: Version(self.version),
        }
    }

    /// The model supports only ids that no change has.
    fn set_evacuation(&mut self, order: &EvacuationOrder) -> Reply {
        let earlier = self.evacuations.iter().find(|(o, _)| o.id == order.id);
        if let Some((earlier, reply)) = earlier {
            if earlier == order {
                return reply.clone();
            }
            return refused(ResultCode::ChangeIdReused, order.id.as_str().to_owned());
        }
        let rules = self.rules.clone();
        match evacuation::edit(&order.zone, order.is_active) {
            Edit::Set(rule) => drop(self.rules.insert(rule.key.clone(), rule)),
            Edit::Remove(key) => drop(self.rules.remove(&key)),
        }
        self.version += u64::from(rules != self.rules);
        let reply = Reply::Applied {
            version: Version(self.version),
        };
        self.evacuations.push((order.clone(), reply.clone()));
        reply
    }

    /// Returns the rules in the order of their keys.
    pub fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.rules.values()
    }

    /// Returns whether a request is a suspect, quarantined, or neither.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        let live = |c: &&CrashRecord| {
            c.fingerprint == fingerprint && c.at + suspect::RETENTION_MS > self.now
        };
        match self.crashes.iter().find(live) {
            Some(crash) if crash.quarantined => Suspicion::Quarantined,
            Some(_) => Suspicion::Suspect,
            None => Suspicion::None,
        }
    }

    fn apply_change(&mut self, change: &Change) -> Reply {
        if let Some((earlier, reply)) = self.replies.iter().find(|(c, _)| c.id == change.id) {
            if earlier == change {
                return reply.clone();
            }
            return refused(ResultCode::ChangeIdReused, change.id.as_str().to_owned());
        }
        let reply = self.try_change(change);
        self.replies.push((change.clone(), reply.clone()));
        reply
    }

    fn try_change(&mut self, change: &Change) -> Reply {
        if change.expected.0 != self.version {
            let message = format!("expected {}, current {}", change.expected, self.version);
            return refused(ResultCode::VersionConflict, message);
        }
        let base = View::default();
        let mut transaction = base.transaction();
        let old = self.rules.values().cloned().map(Edit::Set);
        for edit in old.chain(change.edits.iter().cloned()) {
            if let Err(error) = transaction.edit(&edit) {
                return refused(ResultCode::InvalidRules, error.to_string());
            }
        }
        let view = match transaction.commit() {
            Ok(view) => view,
            Err(error) => return refused(ResultCode::InvalidRules, error.to_string()),
        };
        self.rules = view.rules().map(|r| (r.key.clone(), r.clone())).collect();
        self.version += 1;
        let version = Version(self.version);
        Reply::Applied { version }
    }

    fn begin_intent(&mut self, start: &IntentStart) -> Reply {
        let now = self.now;
        let record = self
            .intents
            .iter()
            .find(|c| c.start.key == start.key && c.at + intent::TOMBSTONE_RETENTION_MS > now);
        let Some(record) = record else {
            self.intents.push(IntentRecord {
                start: start.clone(),
                at: now,
                outcome: None,
            });
            return Reply::IntentGranted;
        };
        if record.start.fingerprint != start.fingerprint {
            return refused(ResultCode::IdempotencyKeyReused, String::new());
        }
        let is_expired = record.at + intent::OUTCOME_RETENTION_MS <= now;
        match &record.outcome {
            None if record.start == *start && !is_expired => Reply::IntentGranted,
            None | Some(Outcome::Unknown) => Reply::IntentUnknown,
            Some(Outcome::Answered { body: Some(b), .. })
                if !is_expired && b.len() <= intent::MAX_STORED_BODY_BYTES =>
            {
                Reply::IntentDone(record.outcome.clone().unwrap_or(Outcome::Unknown))
            }
            Some(_) => refused(ResultCode::OutcomeNotStored, String::new()),
        }
    }

    fn find_intent(
        &self,
        key: &IntentKey,
        entry: &Incarnation,
        attempt: RequestId,
    ) -> Option<usize> {
        self.intents.iter().position(|c| {
            c.start.key == *key
                && c.start.entry == *entry
                && c.start.attempt == attempt
                && c.at + intent::OUTCOME_RETENTION_MS > self.now
        })
    }

    fn finish_intent(
        &mut self,
        key: &IntentKey,
        entry: &Incarnation,
        attempt: RequestId,
        outcome: &Outcome,
    ) -> Reply {
        let Some(position) = self.find_intent(key, entry, attempt) else {
            let message = "the intent is not open here".to_owned();
            return refused(ResultCode::BadRequest, message);
        };
        let record = &mut self.intents[position];
        record.outcome.get_or_insert_with(|| outcome.clone());
        Reply::Done
    }

    fn release_intent(
        &mut self,
        key: &IntentKey,
        entry: &Incarnation,
        attempt: RequestId,
    ) -> Reply {
        if let Some(position) = self.find_intent(key, entry, attempt)
            && self.intents[position].outcome.is_none()
        {
            self.intents.remove(position);
        }
        Reply::Done
    }

    fn report_crash(&mut self, report: &CrashReport) -> Reply {
        let now = self.now;
        self.crashes.retain(|c| c.at + suspect::RETENTION_MS > now);
        for fingerprint in &report.fingerprints {
            let known = self
                .crashes
                .iter_mut()
                .find(|c| c.fingerprint == *fingerprint);
            match known {
                None => self.crashes.push(CrashRecord {
                    fingerprint: *fingerprint,
                    endpoint: report.endpoint.clone(),
                    at: now,
                    quarantined: false,
                }),
                Some(c)
                    if c.endpoint != report.endpoint
                        || now - c.at >= suspect::SAME_CRASH_WINDOW_MS =>
                {
                    c.quarantined = true;
                    c.endpoint = report.endpoint.clone();
                    c.at = now;
                }
                Some(_) => {}
            }
        }
        Reply::Done
    }

    fn quarantine(&mut self, fingerprint: u64) -> Reply {
        if self.suspicion(fingerprint) != Suspicion::Quarantined {
            self.put_crash(fingerprint, true);
        }
        Reply::Done
    }

    fn suspect_parts(&mut self, fingerprints: &[u64]) -> Reply {
        for fingerprint in fingerprints {
            if self.suspicion(*fingerprint) == Suspicion::None {
                self.put_crash(*fingerprint, false);
            }
        }
        Reply::Done
    }

    fn put_crash(&mut self, fingerprint: u64, quarantined: bool) {
        self.crashes.retain(|c| c.fingerprint != fingerprint);
        self.crashes.push(CrashRecord {
            fingerprint,
            endpoint: "".into(),
            at: self.now,
            quarantined,
        });
    }

    fn clear_suspect(&mut self, fingerprint: u64) -> Reply {
        if self.suspicion(fingerprint) == Suspicion::Suspect {
            self.crashes.retain(|c| c.fingerprint != fingerprint);
        }
        Reply::Done
    }

    fn add_usage(&mut self, report: &UsageReport) -> Reply {
        let last = match self.sequences.get(&report.entry) {
            Some((last, at)) if at + SEQUENCE_TTL_MS > self.now => *last,
            _ => 0,
        };
        if report.sequence > last + 1 {
            let message = format!("expected usage report {}", last + 1);
            return refused(ResultCode::BadRequest, message);
        }
        if report.sequence <= last {
            return Reply::Done;
        }
        let entry = report.entry.clone();
        self.sequences.insert(entry, (report.sequence, self.now));
        let terms = UsageTerms::default();
        let reported_window = terms.window_at(report.window.0);
        let mut window = reported_window.min(terms.window_at(self.now / 1_000));
        while self.frozen.keys().any(|closed| *closed >= window) {
            window = terms.next(window);
        }
        for row in &report.rows {
            let mut counts = Counts::default();
            counts.add(row);
            self.windows.entry(window).or_default().push(ReportRow {
                workspace: row.workspace.clone(),
                class: row.class.clone(),
                late: window > reported_window,
                counts,
            });
        }
        Reply::Done
    }

    fn freeze_window(&mut self, window: Window, fence: u64) -> Reply {
        if self.lease_fence(LeaseKind::Usage) != Some(fence) {
            return Reply::LeaseDenied;
        }
        if self.reported.contains(&window) {
            return Reply::Done;
        }
        if let Some(bytes) = self.frozen.get(&window) {
            let bytes = bytes.clone();
            return Reply::Frozen { bytes };
        }
        if self.frozen.keys().any(|closed| *closed >= window) {
            return Reply::Done;
        }
        let due = self.now / 1_000 >= window.0 + WINDOW_SECONDS + GRACE_SECONDS;
        if self.windows.keys().next() != Some(&window) || !due {
            let message = "the window is not due".to_owned();
            return refused(ResultCode::BadRequest, message);
        }
        let rows = self.windows.remove(&window).unwrap_or_default();
        let rows = sum(&rows);
        let bytes = serde_json::to_vec(&WindowReport { window, rows }).expect("valid JSON");
        self.frozen.insert(window, bytes.clone());
        Reply::Frozen { bytes }
    }

    fn lease_fence(&self, kind: LeaseKind) -> Option<u64> {
        match self.grants.get(&kind) {
            Some((fence, Some(_))) => Some(*fence),
            _ => None,
        }
    }

    fn hold_lease(
        &mut self,
        kind: LeaseKind,
        requester: &Incarnation,
        replaces: Option<u64>,
    ) -> Reply {
        let (fence, holder) = self.grants.entry(kind).or_default();
        if holder.as_ref() != Some(requester) {
            if replaces != Some(*fence) {
                return Reply::LeaseDenied;
            }
            *fence += 1;
            *holder = Some(requester.clone());
        }
        Reply::LeaseHeld { fence: *fence }
    }

    fn release_lease(&mut self, kind: LeaseKind, holder: &Incarnation, fence: u64) -> Reply {
        if self.grants.get(&kind) == Some(&(fence, Some(holder.clone()))) {
            self.grants.insert(kind, (fence, None));
        }
        Reply::Done
    }

    fn place_order(&mut self, order: &Order) -> Reply {
        if self.lease_fence(LeaseKind::Orders) != Some(order.fence) {
            return Reply::LeaseDenied;
        }
        if self.orders.iter().any(|(o, _)| o == order) {
            return Reply::Done;
        }
        if self.orders.iter().any(|(o, _)| o.id >= order.id) {
            let message = format!("order {} is not new", order.id);
            return refused(ResultCode::BadRequest, message);
        }
        let place = CapacityPool::from(order);
        let open = |(o, s): &&(Order, OrderState)| {
            *s == OrderState::Open && CapacityPool::from(o) == place
        };
        if let Some((o, _)) = self.orders.iter().find(open) {
            let message = format!("order {} is open for {place}", o.id);
            return refused(ResultCode::BadRequest, message);
        }
        self.orders.push((order.clone(), OrderState::Open));
        Reply::Done
    }

    fn close_order(&mut self, id: u64, state: OrderState) -> Reply {
        for (order, old) in &mut self.orders {
            if order.id == id && *old == OrderState::Open {
                *old = state;
            }
        }
        Reply::Done
    }
}

fn sum(rows: &[ReportRow]) -> Vec<ReportRow> {
    let mut sums: Vec<ReportRow> = Vec::new();
    for row in rows {
        let same = |s: &&mut ReportRow| {
            s.workspace == row.workspace && s.class == row.class && s.late == row.late
        };
        match sums.iter_mut().find(same) {
            Some(total) => {
                total.counts.requests += row.counts.requests;
                total.counts.prompt += row.counts.prompt;
                total.counts.output += row.counts.output;
            }
            None => sums.push(row.clone()),
        }
    }
    sums.sort_by(|a, b| {
        let key = |r: &ReportRow| (r.workspace.clone(), r.class.clone(), r.late);
        key(a).cmp(&key(b))
    });
    sums
}

fn refused(code: ResultCode, message: String) -> Reply {
    Reply::Refused { code, message }
}
