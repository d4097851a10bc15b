//! Reports of the requests that were in flight when an endpoint crashed.
//!
//! A crash interrupts all calls of an endpoint at about the same time. They are grouped into one report, so
//! that one crash is not counted several times against the same requests. An endpoint that still reports
//! its load has not crashed: a failed connection alone must not make requests suspect, because a request
//! is quarantined after two crashes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::command::Command;
use crate::command::CrashReport;
use crate::control::Control;
use crate::ids::EndpointId;
use crate::upstream::Call;
use crate::upstream::Client;

/// Time during which interrupted calls of one endpoint are grouped into one crash.
const GROUPING_WINDOW: Duration = Duration::from_millis(50);

/// Time within which an endpoint that has not crashed reports its load.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for which the requests of a crash wait for its report.
const MAX_REPORT_WAIT: Duration = Duration::from_secs(1);

/// Timeout of a report: a failover of the leader with margin, and less than
/// [`crate::suspect::SAME_CRASH_WINDOW_MS`], within which the control state counts a repeated report once.
const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// Groups interrupted calls into crash reports and submits them.
#[derive(Clone)]
pub struct CrashReporter {
    control: Arc<dyn Control>,
    clock: Arc<dyn Clock>,
    groups: Arc<Mutex<HashMap<EndpointId, BrokenCalls>>>,
}

struct BrokenCalls {
    fingerprints: Vec<u64>,
    reported: watch::Receiver<bool>,
}

impl CrashReporter {
    /// Creates a reporter.
    pub fn new(control: Arc<dyn Control>, clock: Arc<dyn Clock>) -> Self {
        Self {
            control,
            clock,
            groups: Arc::default(),
        }
    }

    /// Records an interrupted call and waits until the crash is reported, at most for [`MAX_REPORT_WAIT`].
    pub async fn record(&self, endpoint: &EndpointId, fingerprint: u64) {
        let mut reported = self.join(endpoint, fingerprint);
        let done = reported.wait_for(|done| *done);
        // After a timeout the report continues in the background, and the request can still be retried at
        // another endpoint in time.
        let _ = tokio::time::timeout(MAX_REPORT_WAIT, done).await;
    }

    fn join(&self, endpoint: &EndpointId, fingerprint: u64) -> watch::Receiver<bool> {
        let mut groups = self.groups.lock().expect("crash lock poisoned");
        if let Some(group) = groups.get_mut(endpoint) {
            if !group.fingerprints.contains(&fingerprint) {
                group.fingerprints.push(fingerprint);
            }
            return group.reported.clone();
        }
        let (sender, reported) = watch::channel(false);
        let group = BrokenCalls {
            fingerprints: vec![fingerprint],
            reported: reported.clone(),
        };
        groups.insert(endpoint.clone(), group);
        tokio::spawn(self.clone().report(endpoint.clone(), sender));
        reported
    }

    async fn report(self, endpoint: EndpointId, sender: watch::Sender<bool>) {
        tokio::time::sleep(GROUPING_WINDOW).await;
        let group = self
            .groups
            .lock()
            .expect("crash lock poisoned")
            .remove(&endpoint);
        let Some(group) = group else {
            return;
        };
        if self.is_alive(&endpoint).await {
            sender.send_replace(true);
            return;
        }
        let command = Command::ReportCrash(CrashReport {
            endpoint,
            fingerprints: group.fingerprints,
            reporter: self.control.incarnation().clone(),
        });
        let control = self.control;
        let submitted =
            tokio::task::spawn_blocking(move || control.submit(command, REPORT_TIMEOUT)).await;
        if !matches!(submitted, Ok(Ok(_))) {
            tracing::warn!("crash report not accepted");
        }
        sender.send_replace(true);
    }

    /// Returns whether an endpoint still reports its load.
    async fn is_alive(&self, endpoint: &EndpointId) -> bool {
        let Ok(view) = self.control.view(self.clock.now()) else {
            return false;
        };
        let Some(endpoint) = view.endpoint(endpoint.as_str()) else {
            return false;
        };
        let call = Call {
            address: endpoint.address,
            method: Method::GET,
            path: "/load",
            headers: HeaderMap::new(),
            body: Bytes::new(),
            pooled: false,
            echo: None,
        };
        let answer = tokio::time::timeout(PROBE_TIMEOUT, Client::default().send(call)).await;
        matches!(answer, Ok(Ok(answer)) if answer.status == 200)
    }
}
