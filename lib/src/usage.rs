//! Usage accounting: instances count usage, which is summed by window, frozen once and reported.
//!
//! [`UsageCounter`] and [`UsageSender`] run on each instance, [`UsageState`] is replicated. See
//! section 7 of `docs/design.md` and `docs/orders-and-usage.md`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::mem;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::code::ResultCode;
use crate::command::Incarnation;
use crate::command::Reply;
use crate::command::Timestamp;
use crate::command::UsageReport;
use crate::command::UsageRow;
use crate::command::UsageTerms;
use crate::command::Window;
use crate::ids::ClassId;
use crate::ids::WorkspaceId;

/// Length of a window in seconds.
pub const WINDOW_SECONDS: u64 = 60;

/// Time in seconds between the end of a window and its freeze.
pub const GRACE_SECONDS: u64 = 10;

/// Maximum number of open windows of [`WINDOW_SECONDS`]; beyond it, counts go to the newest one and
/// are marked as late.
pub const MAX_OPEN_WINDOWS: usize = 4;

/// Total size of frozen reports in bytes from which no further window is frozen.
pub const MAX_FROZEN_BYTES: usize = 16 << 20;

/// Maximum number of rows in one report of an instance.
pub const MAX_REPORT_ROWS: usize = 4_096;

/// Time in milliseconds after which the sequence number of a silent instance expires.
pub const SEQUENCE_TTL_MS: u64 = 24 * 3_600_000;

/// Minimum interval between the reports of an instance, which equals its poll interval.
///
/// A crash loses the usage that was not reported yet.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum reports per second of all instances, a tenth of the commit rate (`docs/CAPACITY.md`).
const MAX_REPORTS_PER_SECOND: f64 = 500.0;

/// Interval at which an idle instance sends an empty report, so that its sequence number is kept.
pub const IDLE_REPORT_INTERVAL: Duration = Duration::from_secs(3_600);

/// Maximum time in seconds that open windows cover, which permits more of them if they are short.
const MAX_OPEN_SECONDS: u64 = MAX_OPEN_WINDOWS as u64 * WINDOW_SECONDS;

/// Returns the interval between the reports of one instance, given the number of instances.
pub fn report_interval(instances: u32) -> Duration {
    MIN_REPORT_INTERVAL.max(Duration::from_secs_f64(
        f64::from(instances) / MAX_REPORTS_PER_SECOND,
    ))
}

impl Default for UsageTerms {
    fn default() -> Self {
        Self {
            length: WINDOW_SECONDS,
            grace: GRACE_SECONDS,
        }
    }
}

impl UsageTerms {
    /// Returns the window of a time in seconds since the Unix epoch.
    pub fn window_at(&self, seconds: u64) -> Window {
        Window(seconds - seconds % self.length.max(1))
    }

    /// Returns the window of a wall-clock time.
    pub fn window_of(&self, wall: SystemTime) -> Window {
        let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH);
        self.window_at(since_epoch.unwrap_or_default().as_secs())
    }

    /// Returns the window that follows `window`.
    pub fn next(&self, window: Window) -> Window {
        Window(window.0.saturating_add(self.length))
    }

    /// Returns whether a window may be frozen at `now`.
    pub fn is_due(&self, window: Window, now: Timestamp) -> bool {
        now.0 / 1_000 >= window.0.saturating_add(self.length + self.grace)
    }

    /// Returns the maximum number of open windows.
    fn max_open(&self) -> usize {
        usize::try_from(MAX_OPEN_SECONDS / self.length.max(1)).unwrap_or(MAX_OPEN_WINDOWS)
    }
}

/// Counts of one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of completed requests.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of output tokens.
    pub output: u64,
}

impl Counts {
    /// Adds the counts of a row.
    pub fn add(&mut self, row: &UsageRow) {
        self.requests = self.requests.saturating_add(row.requests);
        self.prompt = self.prompt.saturating_add(row.prompt);
        self.output = self.output.saturating_add(row.output);
    }
}

/// Key of a row in a window.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RowKey {
    workspace: WorkspaceId,
    class: ClassId,
    late: bool,
}

/// Row of a report to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRow {
    /// Workspace that the usage is charged to.
    pub workspace: WorkspaceId,
    /// The class.
    pub class: ClassId,
    /// Whether the usage belongs to an earlier window that accepted no more counts.
    pub late: bool,
    /// The counts.
    #[serde(flatten)]
    pub counts: Counts,
}

/// Report of a window to the platform, which is sent as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Start of the window in seconds since the Unix epoch.
    pub window: Window,
    /// Rows, sorted by workspace, class and lateness.
    pub rows: Vec<ReportRow>,
}

/// Last report of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Sequence {
    /// Sequence number of the report.
    last: u64,
    /// Time at which it was applied.
    at: Timestamp,
}

/// Replicated usage windows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageState {
    /// Last report of each instance.
    sequences: BTreeMap<Incarnation, Sequence>,
    open: BTreeMap<Window, BTreeMap<RowKey, Counts>>,
    /// Frozen reports that the platform has not accepted, as JSON.
    frozen: BTreeMap<Window, Vec<u8>>,
    /// Total size of the frozen reports in bytes.
    frozen_bytes: usize,
    /// Latest frozen window; it and all earlier windows accept no counts.
    closed: Option<Window>,
    /// Time of the last removal of expired sequence numbers.
    last_expiry: Timestamp,
    terms: UsageTerms,
}

impl UsageState {
    /// Returns the length and grace period of windows.
    pub fn terms(&self) -> UsageTerms {
        self.terms
    }

    /// Sets the length and grace period of windows; open windows keep their start.
    pub fn set_terms(&mut self, terms: UsageTerms) -> Reply {
        if terms.length == 0 {
            return refused(ResultCode::BadRequest, "a window has no length".to_owned());
        }
        self.terms = terms;
        Reply::Done
    }

    /// Returns the oldest open window if it may be frozen at `now`.
    pub fn due(&self, now: Timestamp) -> Option<Window> {
        let oldest = *self.open.keys().next()?;
        (self.terms.is_due(oldest, now) && self.frozen_bytes < MAX_FROZEN_BYTES).then_some(oldest)
    }

    /// Returns the frozen windows that the platform has not accepted, oldest first.
    pub fn frozen(&self) -> impl Iterator<Item = (Window, &[u8])> {
        self.frozen
            .iter()
            .map(|(window, bytes)| (*window, bytes.as_slice()))
    }

    /// Returns the total size in bytes of the frozen reports that the platform has not accepted.
    pub fn frozen_bytes(&self) -> usize {
        self.frozen_bytes
    }

    /// Returns the number of output tokens by class in open windows.
    pub fn output_tokens(&self) -> BTreeMap<ClassId, u64> {
        let mut output = BTreeMap::new();
        for (key, counts) in self.open.values().flatten() {
            let sum: &mut u64 = output.entry(key.class.clone()).or_default();
            *sum = sum.saturating_add(counts.output);
        }
        output
    }

    /// Returns the number of rows in open windows.
    pub fn open_rows(&self) -> usize {
        self.open.values().map(BTreeMap::len).sum()
    }

    /// Adds the counts of a report, unless they were added before.
    pub fn add(&mut self, now: Timestamp, report: &UsageReport) -> Reply {
        if report.rows.len() > MAX_REPORT_ROWS {
            return refused(ResultCode::BadRequest, "too many usage rows".to_owned());
        }
        let last = self.last_sequence(now, &report.entry);
        let next = last.saturating_add(1);
        if report.sequence > next {
            let message = format!("expected usage report {next}");
            return refused(ResultCode::BadRequest, message);
        }
        if report.sequence <= last {
            return Reply::Done;
        }
        let sequence = Sequence {
            last: report.sequence,
            at: now,
        };
        self.sequences.insert(report.entry.clone(), sequence);
        self.count(now, report);
        Reply::Done
    }

    /// Returns the sequence number of the last report of an instance, or 0 if there is none or it
    /// has expired.
    fn last_sequence(&self, now: Timestamp, instance: &Incarnation) -> u64 {
        self.sequences
            .get(instance)
            .filter(|s| s.at.0 + SEQUENCE_TTL_MS > now.0)
            .map_or(0, |s| s.last)
    }

    fn count(&mut self, now: Timestamp, report: &UsageReport) {
        if report.rows.is_empty() {
            return;
        }
        let requested_window = self.terms.window_at(report.window.0);
        let window = self.target_window(now, requested_window);
        let late = window > requested_window;
        let rows = self.open.entry(window).or_default();
        for row in &report.rows {
            let key = RowKey {
                workspace: row.workspace.clone(),
                class: row.class.clone(),
                late,
            };
            rows.entry(key).or_default().add(row);
        }
    }

    /// Returns the open window that the counts for `requested_window` are added to.
    fn target_window(&self, now: Timestamp, requested_window: Window) -> Window {
        // An instance whose clock is ahead must not open windows that are frozen much later.
        let requested_window = requested_window.min(self.terms.window_at(now.0 / 1_000));
        let oldest_open = self.closed.map_or(Window(0), |w| self.terms.next(w));
        let requested_window = requested_window.max(oldest_open);
        let newest = self.open.keys().next_back();
        match newest {
            Some(newest)
                if self.open.len() >= self.terms.max_open()
                    && !self.open.contains_key(&requested_window) =>
            {
                *newest
            }
            _ => requested_window,
        }
    }

    /// Freezes the report of a window; a repeated freeze returns the same bytes.
    pub fn freeze(&mut self, now: Timestamp, window: Window) -> Reply {
        if let Some(bytes) = self.frozen.get(&window) {
            let bytes = bytes.clone();
            return Reply::Frozen { bytes };
        }
        if self.closed.is_some_and(|closed| window <= closed) {
            return Reply::Done;
        }
        if self.due(now) != Some(window) {
            return refused(ResultCode::BadRequest, "the window is not due".to_owned());
        }
        let rows = self.open.remove(&window).unwrap_or_default();
        let bytes = report_bytes(window, rows);
        self.closed = Some(window);
        self.frozen_bytes += bytes.len();
        self.frozen.insert(window, bytes.clone());
        Reply::Frozen { bytes }
    }

    /// Records that the platform accepted the report of a window.
    pub fn reported(&mut self, window: Window) -> Reply {
        if let Some(bytes) = self.frozen.remove(&window) {
            self.frozen_bytes -= bytes.len();
        }
        Reply::Done
    }

    /// Removes the sequence numbers of instances that have been silent for [`SEQUENCE_TTL_MS`].
    pub fn expire(&mut self, now: Timestamp) {
        if now.0 < self.last_expiry.0.saturating_add(SEQUENCE_TTL_MS / 24) {
            return;
        }
        self.last_expiry = now;
        self.sequences
            .retain(|_, s| s.at.0 + SEQUENCE_TTL_MS > now.0);
    }
}

fn report_bytes(window: Window, rows: BTreeMap<RowKey, Counts>) -> Vec<u8> {
    let row = |(key, counts): (RowKey, Counts)| ReportRow {
        workspace: key.workspace,
        class: key.class,
        late: key.late,
        counts,
    };
    let rows = rows.into_iter().map(row).collect();
    serde_json::to_vec(&WindowReport { window, rows }).expect("a report has a JSON form")
}

fn refused(code: ResultCode, message: String) -> Reply {
    Reply::Refused { code, message }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    window: Window,
    workspace: WorkspaceId,
    class: ClassId,
}

/// Counter of the completed requests of an instance, shared by its traffic threads.
///
/// Refused and failed requests, and internal retries, are not recorded.
#[derive(Debug, Default)]
pub struct UsageCounter {
    terms: UsageTerms,
    counts: Mutex<BTreeMap<CounterKey, Counts>>,
}

impl UsageCounter {
    /// Creates a counter for windows with these terms.
    pub fn new(terms: UsageTerms) -> Self {
        Self {
            terms,
            counts: Mutex::default(),
        }
    }

    /// Records one or more completed requests at the time of their completion.
    pub fn record(&self, wall: SystemTime, row: &UsageRow) {
        let key = CounterKey {
            window: self.terms.window_of(wall),
            workspace: row.workspace.clone(),
            class: row.class.clone(),
        };
        let mut counts = self.counts.lock().expect("usage lock poisoned");
        counts.entry(key).or_default().add(row);
    }

    /// Returns the counts since the last call by window, and resets them.
    fn take(&self) -> BTreeMap<Window, Vec<UsageRow>> {
        let counts = mem::take(&mut *self.counts.lock().expect("usage lock poisoned"));
        let mut windows: BTreeMap<Window, Vec<UsageRow>> = BTreeMap::new();
        for (key, counts) in counts {
            windows.entry(key.window).or_default().push(UsageRow {
                workspace: key.workspace,
                class: key.class,
                requests: counts.requests,
                prompt: counts.prompt,
                output: counts.output,
            });
        }
        windows
    }
}

/// Turns the counts of an instance into numbered reports and resends each until it is accepted.
#[derive(Debug)]
pub struct UsageSender {
    instance: Incarnation,
    sequence: u64,
    pending: VecDeque<UsageReport>,
    last_fill: Option<Instant>,
}

impl UsageSender {
    /// Creates the sender of a process that has not sent a report yet.
    pub fn new(instance: Incarnation) -> Self {
        Self {
            instance,
            sequence: 0,
            pending: VecDeque::new(),
            last_fill: None,
        }
    }

    /// Returns the report to send, which is the same one until it is accepted.
    pub fn next(&mut self, now: Instant, counter: &UsageCounter) -> Option<&UsageReport> {
        if self.pending.is_empty() {
            self.fill(now, counter);
        }
        self.pending.front()
    }

    fn fill(&mut self, now: Instant, counter: &UsageCounter) {
        for (window, rows) in counter.take() {
            for rows in rows.chunks(MAX_REPORT_ROWS) {
                self.push(window, rows.to_vec());
            }
        }
        let is_idle = self
            .last_fill
            .is_some_and(|t| now - t >= IDLE_REPORT_INTERVAL);
        if self.pending.is_empty() && is_idle {
            self.push(Window(0), Vec::new());
        }
        if !self.pending.is_empty() {
            self.last_fill = Some(now);
        }
    }

    fn push(&mut self, window: Window, rows: Vec<UsageRow>) {
        self.sequence += 1;
        self.pending.push_back(UsageReport {
            entry: self.instance.clone(),
            sequence: self.sequence,
            window,
            rows,
        });
    }

    /// Records that the state machine accepted the report with this sequence number.
    pub fn accepted(&mut self, sequence: u64) {
        while self.pending.front().is_some_and(|r| r.sequence <= sequence) {
            self.pending.pop_front();
        }
    }

    /// Records that the state machine refused a report because the sequence number of this instance
    /// has expired.
    ///
    /// The report is dropped, because it may have been counted before the expiry and must not be
    /// charged twice. The following reports are numbered from 1.
    pub fn refused(&mut self, sequence: u64) {
        self.accepted(sequence);
        self.sequence = 0;
        for report in &mut self.pending {
            self.sequence += 1;
            report.sequence = self.sequence;
        }
    }

    /// Returns whether every report has been accepted.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
