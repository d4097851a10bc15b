//! Usage: counted at the entries, added up in windows, frozen once and reported once.
//!
//! [`UsageCounter`] and [`UsageSender`] run at an entry, [`UsageState`] is replicated. See section 7
//! of `docs/design.md` and `docs/orders-and-usage.md`.

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

/// Time in seconds after its end at which a window is frozen.
pub const GRACE_SECONDS: u64 = 10;

/// Most windows that take counts; above it counts go to the newest one, marked as late.
pub const MAX_OPEN_WINDOWS: usize = 4;

/// Size of frozen reports in bytes above which no further window is frozen.
pub const MAX_FROZEN_BYTES: usize = 16 << 20;

/// Most rows in one report of an entry.
pub const MAX_REPORT_ROWS: usize = 4_096;

/// How long the sequence number of a silent entry is kept, in milliseconds.
pub const SEQUENCE_TTL_MS: u64 = 24 * 3_600_000;

/// Shortest interval between the reports of an entry, that of its polls. What it has not reported is lost
/// when its machine is.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Reports a second of all entries together, a tenth of what a group commits (`docs/CAPACITY.md`).
const REPORT_RATE: f64 = 500.0;

/// Interval after which an entry reports even if nothing was used, so that its number is kept.
pub const IDLE_REPORT_INTERVAL: Duration = Duration::from_secs(3_600);

/// Time in seconds that open windows cover at most, so that short windows do not close early.
const OPEN_SECONDS: u64 = MAX_OPEN_WINDOWS as u64 * WINDOW_SECONDS;

/// Returns the interval between the reports of an entry that is one of so many.
pub fn report_interval(entries: u32) -> Duration {
    REPORT_PERIOD.max(Duration::from_secs_f64(f64::from(entries) / REPORT_RATE))
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
    /// Returns the window of a point in time.
    pub fn window_at(&self, seconds: u64) -> Window {
        Window(seconds - seconds % self.length.max(1))
    }

    /// Returns the window of the wall-clock time.
    pub fn window_of(&self, wall: SystemTime) -> Window {
        let since = wall.duration_since(SystemTime::UNIX_EPOCH);
        self.window_at(since.unwrap_or_default().as_secs())
    }

    /// Returns the window after this one.
    pub fn next(&self, window: Window) -> Window {
        Window(window.0.saturating_add(self.length))
    }

    /// Tells whether a window may be frozen at this time.
    pub fn is_due(&self, window: Window, now: Timestamp) -> bool {
        now.0 / 1_000 >= window.0.saturating_add(self.length + self.grace)
    }

    /// Returns how many windows take counts at most.
    fn max_open(&self) -> usize {
        usize::try_from(OPEN_SECONDS / self.length.max(1)).unwrap_or(MAX_OPEN_WINDOWS)
    }
}

/// What one row counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Completed requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens.
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

/// Identity of a row in a window.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RowKey {
    workspace: WorkspaceId,
    class: ClassId,
    late: bool,
}

/// One row of a report to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRow {
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// The class.
    pub class: ClassId,
    /// The use happened in an earlier window that was already frozen.
    pub late: bool,
    /// The counts.
    #[serde(flatten)]
    pub counts: Counts,
}

/// The report of a window to the platform, in its JSON form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Start of the window in seconds since the Unix epoch.
    pub window: Window,
    /// The rows, sorted by workspace and class.
    pub rows: Vec<ReportRow>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Sequence {
    last: u64,
    at: Timestamp,
}

/// The replicated usage windows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageState {
    sequences: BTreeMap<Incarnation, Sequence>,
    open: BTreeMap<Window, BTreeMap<RowKey, Counts>>,
    frozen: BTreeMap<Window, Vec<u8>>,
    frozen_bytes: usize,
    /// The newest frozen window; this and all earlier ones take no counts.
    closed: Option<Window>,
    /// Time of the last look for silent entries.
    swept: Timestamp,
    terms: UsageTerms,
}

impl UsageState {
    /// Returns the length of windows.
    pub fn terms(&self) -> UsageTerms {
        self.terms
    }

    /// Sets the length of windows; windows that are open already keep their start.
    pub fn set_terms(&mut self, terms: UsageTerms) -> Reply {
        if terms.length == 0 {
            return refused(ResultCode::BadRequest, "a window has no length".to_owned());
        }
        self.terms = terms;
        Reply::Done
    }

    /// Returns the oldest window that may be frozen at this time.
    pub fn due(&self, now: Timestamp) -> Option<Window> {
        let oldest = *self.open.keys().next()?;
        (self.terms.is_due(oldest, now) && self.frozen_bytes < MAX_FROZEN_BYTES).then_some(oldest)
    }

    /// Returns the frozen windows that the platform has not accepted, the oldest first.
    pub fn frozen(&self) -> impl Iterator<Item = (Window, &[u8])> {
        self.frozen.iter().map(|(w, bytes)| (*w, bytes.as_slice()))
    }

    /// Returns the bytes of all frozen reports that the platform has not accepted.
    pub fn frozen_bytes(&self) -> usize {
        self.frozen_bytes
    }

    /// Returns the output tokens by class in open windows.
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

    /// Adds the counts of a report, unless it was added before.
    pub fn add(&mut self, now: Timestamp, report: &UsageReport) -> Reply {
        if report.rows.len() > MAX_REPORT_ROWS {
            return refused(ResultCode::BadRequest, "too many usage rows".to_owned());
        }
        let last = self.last(now, &report.entry);
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

    /// Returns the number of the last report of an entry, 0 if there was none for a day.
    fn last(&self, now: Timestamp, entry: &Incarnation) -> u64 {
        self.sequences
            .get(entry)
            .filter(|s| s.at.0 + SEQUENCE_TTL_MS > now.0)
            .map_or(0, |s| s.last)
    }

    fn count(&mut self, now: Timestamp, report: &UsageReport) {
        if report.rows.is_empty() {
            return;
        }
        let wanted = self.terms.window_at(report.window.0);
        let window = self.target(now, wanted);
        let late = window > wanted;
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

    /// Returns the window that takes the counts of `wanted`.
    fn target(&self, now: Timestamp, wanted: Window) -> Window {
        // An entry whose clock is ahead must not open windows that are frozen much later.
        let wanted = wanted.min(self.terms.window_at(now.0 / 1_000));
        let first = self.closed.map_or(Window(0), |w| self.terms.next(w));
        let wanted = wanted.max(first);
        let newest = self.open.keys().next_back();
        match newest {
            Some(newest)
                if self.open.len() >= self.terms.max_open() && !self.open.contains_key(&wanted) =>
            {
                *newest
            }
            _ => wanted,
        }
    }

    /// Fixes the figures of a window; a repeated freeze returns the same bytes.
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

    /// Forgets entries that have been silent for [`SEQUENCE_TTL_MS`].
    pub fn expire(&mut self, now: Timestamp) {
        if now.0 < self.swept.0.saturating_add(SEQUENCE_TTL_MS / 24) {
            return;
        }
        self.swept = now;
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

/// Counts completed requests at an entry; traffic threads share it.
///
/// Only completed requests are recorded: a refused or failed request and a repeat that the router
/// caused never reach it.
#[derive(Debug, Default)]
pub struct UsageCounter {
    terms: UsageTerms,
    counts: Mutex<BTreeMap<CounterKey, Counts>>,
}

impl UsageCounter {
    /// Creates a counter for windows of a length.
    pub fn new(terms: UsageTerms) -> Self {
        Self {
            terms,
            counts: Mutex::default(),
        }
    }

    /// Counts one completed request, or several, at the time of completion.
    pub fn record(&self, wall: SystemTime, row: &UsageRow) {
        let key = CounterKey {
            window: self.terms.window_of(wall),
            workspace: row.workspace.clone(),
            class: row.class.clone(),
        };
        let mut counts = self.counts.lock().expect("usage lock poisoned");
        counts.entry(key).or_default().add(row);
    }

    /// Takes all counts since the last call, by window.
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

/// Turns the counts of an entry into numbered reports and repeats each until it is accepted.
#[derive(Debug)]
pub struct UsageSender {
    entry: Incarnation,
    sequence: u64,
    pending: VecDeque<UsageReport>,
    filled: Option<Instant>,
}

impl UsageSender {
    /// Creates the sender of a process that has not reported before.
    pub fn new(entry: Incarnation) -> Self {
        Self {
            entry,
            sequence: 0,
            pending: VecDeque::new(),
            filled: None,
        }
    }

    /// Returns the report to send now, the same one until it is accepted.
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
        let idle = self.filled.is_some_and(|t| now - t >= IDLE_REPORT_INTERVAL);
        if self.pending.is_empty() && idle {
            self.push(Window(0), Vec::new());
        }
        if !self.pending.is_empty() {
            self.filled = Some(now);
        }
    }

    fn push(&mut self, window: Window, rows: Vec<UsageRow>) {
        self.sequence += 1;
        self.pending.push_back(UsageReport {
            entry: self.entry.clone(),
            sequence: self.sequence,
            window,
            rows,
        });
    }

    /// Records that the state machine has taken the report with this number.
    pub fn accepted(&mut self, sequence: u64) {
        while self.pending.front().is_some_and(|r| r.sequence <= sequence) {
            self.pending.pop_front();
        }
    }

    /// Records that the state machine refused the report because it has forgotten this entry.
    ///
    /// Whether it took the report before is unknown, so the report is dropped: usage that may be
    /// counted twice is charged to nobody. The following reports start again at 1.
    pub fn refused(&mut self, sequence: u64) {
        self.accepted(sequence);
        self.sequence = 0;
        for report in &mut self.pending {
            self.sequence += 1;
            report.sequence = self.sequence;
        }
    }

    /// Tells whether everything taken from the counter has been accepted.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
