//! [`Control`] of a single process: rules, intents and crash suspects in memory, without replication.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::code::ResultCode;
use crate::command::Change;
use crate::command::Command;
use crate::command::CrashReport;
use crate::command::Incarnation;
use crate::command::IntentKey;
use crate::command::IntentStart;
use crate::command::Outcome;
use crate::command::Reply;
use crate::command::UsageRow;
use crate::control::Control;
use crate::control::Denied;
use crate::control::SubmitError;
use crate::control::Suspicion;
use crate::control::ViewExpired;
use crate::ids::ClassId;
use crate::ids::WorkspaceId;
use crate::view::View;

/// Suggested retry delay of a request that exceeds the concurrency limit.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(250);

/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: u32 = 2;

/// Control state of a single process.
#[derive(Debug)]
pub struct SimpleControl {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    view: Arc<View>,
    expired: bool,
    intents: HashMap<IntentKey, Intent>,
    crashes: HashMap<u64, u32>,
    changes: HashSet<String>,
    usage: BTreeMap<(WorkspaceId, ClassId), UsageRow>,
    running: HashMap<WorkspaceId, u32>,
    instance_count: u32,
    admitted: u64,
    settled: u64,
}

#[derive(Debug)]
struct Intent {
    fingerprint: u64,
    entry: Incarnation,
    outcome: Option<Outcome>,
}

impl SimpleControl {
    /// Creates the control state with a view that does not expire.
    pub fn new(view: Arc<View>, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            inner: Mutex::new(Inner {
                view,
                expired: false,
                intents: HashMap::new(),
                crashes: HashMap::new(),
                changes: HashSet::new(),
                usage: BTreeMap::new(),
                running: HashMap::new(),
                instance_count: 1,
                admitted: 0,
                settled: 0,
            }),
        }
    }

    /// Replaces the view.
    pub fn install(&self, view: Arc<View>) {
        self.lock().view = view;
    }

    /// Sets the number of gateways that share this control.
    pub fn set_instance_count(&self, count: u32) {
        self.lock().instance_count = count;
    }

    /// Sets whether the view counts as expired, as after a loss of contact with the leader.
    pub fn set_expired(&self, expired: bool) {
        self.lock().expired = expired;
    }

    /// Returns all recorded usage, one row per workspace and class.
    pub fn usage(&self) -> Vec<UsageRow> {
        self.lock().usage.values().cloned().collect()
    }

    /// Returns the numbers of admitted and of settled requests.
    pub fn admissions(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.admitted, inner.settled)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("control lock poisoned")
    }
}

impl Inner {
    fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Apply(change) => self.change(&change),
            Command::BeginIntent(start) => self.begin(start),
            Command::FinishIntent(end) => {
                if let Some(intent) = self.intents.get_mut(&end.key)
                    && intent.entry == end.entry
                {
                    intent.outcome.get_or_insert(end.outcome);
                }
                Reply::Done
            }
            Command::ReleaseIntent(release) => {
                if self
                    .intents
                    .get(&release.key)
                    .is_some_and(|i| i.entry == release.entry && i.outcome.is_none())
                {
                    self.intents.remove(&release.key);
                }
                Reply::Done
            }
            Command::ReportCrash(report) => self.crash(&report),
            Command::ClearSuspect { fingerprint } => {
                self.crashes
                    .retain(|f, n| *f != fingerprint || *n >= QUARANTINE_CRASHES);
                Reply::Done
            }
            _ => Reply::Done,
        }
    }

    fn change(&mut self, change: &Change) -> Reply {
        let refused = |code, message: String| Reply::Refused { code, message };
        if self.changes.contains(change.id.as_str()) {
            return refused(ResultCode::ChangeIdReused, "already applied".to_owned());
        }
        if change.expected != self.view.version() {
            let message = format!("the version is {}", self.view.version());
            return refused(ResultCode::VersionConflict, message);
        }
        let base = self.view.clone();
        let mut transaction = base.transaction();
        let edited = change.edits.iter().try_for_each(|e| transaction.edit(e));
        match edited.and_then(|()| transaction.commit()) {
            Ok(view) => {
                self.changes.insert(change.id.to_string());
                self.view = view;
                Reply::Applied {
                    version: self.view.version(),
                }
            }
            Err(error) => refused(ResultCode::InvalidRules, error.to_string()),
        }
    }

    fn begin(&mut self, start: IntentStart) -> Reply {
        let Some(intent) = self.intents.get(&start.key) else {
            let intent = Intent {
                fingerprint: start.fingerprint,
                entry: start.entry,
                outcome: None,
            };
            self.intents.insert(start.key, intent);
            return Reply::IntentGranted;
        };
        if intent.fingerprint != start.fingerprint {
            return Reply::Refused {
                code: ResultCode::IdempotencyKeyReused,
                message: ResultCode::IdempotencyKeyReused.text().to_owned(),
            };
        }
        match &intent.outcome {
            Some(Outcome::Unknown) | None => Reply::IntentUnknown,
            Some(outcome) => Reply::IntentDone(outcome.clone()),
        }
    }

    fn crash(&mut self, report: &CrashReport) -> Reply {
        for fingerprint in &report.fingerprints {
            *self.crashes.entry(*fingerprint).or_default() += 1;
        }
        Reply::Done
    }
}

impl Control for SimpleControl {
    fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn view(&self, _now: Instant) -> Result<Arc<View>, ViewExpired> {
        let inner = self.lock();
        if inner.expired {
            return Err(ViewExpired);
        }
        Ok(inner.view.clone())
    }

    fn submit(&self, command: Command, _timeout: Duration) -> Result<Reply, SubmitError> {
        Ok(self.lock().apply(command))
    }

    fn record(&self, row: UsageRow) {
        let key = (row.workspace.clone(), row.class.clone());
        let mut inner = self.lock();
        let Some(sum) = inner.usage.get_mut(&key) else {
            inner.usage.insert(key, row);
            return;
        };
        sum.requests += row.requests;
        sum.prompt += row.prompt;
        sum.output += row.output;
    }

    fn admit(&self, _now: Instant, workspace: &WorkspaceId, _tokens: u32) -> Result<(), Denied> {
        let mut inner = self.lock();
        let limit = inner
            .view
            .limit(workspace.as_str())
            .and_then(|l| l.concurrency);
        let running = inner.running.entry(workspace.clone()).or_default();
        if limit.is_some_and(|limit| *running >= limit) {
            return Err(Denied {
                code: ResultCode::ConcurrencyLimit,
                retry: CONCURRENCY_RETRY,
            });
        }
        *running += 1;
        inner.admitted += 1;
        Ok(())
    }

    fn settle(&self, _now: Instant, workspace: &WorkspaceId, _estimated: u32, _used: u32) {
        let mut inner = self.lock();
        inner.settled += 1;
        if let Some(running) = inner.running.get_mut(workspace) {
            *running = running.saturating_sub(1);
        }
    }

    fn suspicion(&self, fingerprint: u64) -> Suspicion {
        match self.lock().crashes.get(&fingerprint) {
            None => Suspicion::None,
            Some(n) if *n >= QUARANTINE_CRASHES => Suspicion::Quarantined,
            Some(_) => Suspicion::Suspect,
        }
    }

    fn instance_count(&self) -> u32 {
        self.lock().instance_count
    }
}
