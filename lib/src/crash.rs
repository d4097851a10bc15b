//! Reports of the requests that were in flight when an endpoint crashed.
//!
//! A crash breaks all calls of an endpoint at about the same time. They are gathered into one
//! report, so that one crash is not counted several times against the same requests. An endpoint
//! that still reports its load has not crashed: a cut connection alone must not bring requests under
//! suspicion, because two suspicions quarantine them.

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

/// Time in which broken calls of one endpoint are taken for one crash.
const GATHERING_TIME: Duration = Duration::from_millis(50);

/// Time in which an endpoint that has not crashed reports its load.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the requests of a crash wait for its report.
const REPORT_WAIT: Duration = Duration::from_secs(1);

/// Time for which a report is tried: a failover with margin, and less than
/// [`crate::suspect::SAME_CRASH_WINDOW_MS`], within which the
/// control state counts a report that it gets twice once.
const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// Gathers broken calls into crash reports.
#[derive(Clone)]
pub struct CrashReporter {
    control: Arc<dyn Control>,
    clock: Arc<dyn Clock>,
    groups: Arc<Mutex<HashMap<EndpointId, Group>>>,
}

struct Group {
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

    /// Records that a call broke, and waits until the crash has been reported, or for [`REPORT_WAIT`].
    pub async fn record(&self, endpoint: &EndpointId, fingerprint: u64) {
        let mut reported = self.join(endpoint, fingerprint);
        let done = reported.wait_for(|done| *done);
        // The report goes on without the request, which another endpoint may still answer in time.
        let _ = tokio::time::timeout(REPORT_WAIT, done).await;
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
        let group = Group {
            fingerprints: vec![fingerprint],
            reported: reported.clone(),
        };
        groups.insert(endpoint.clone(), group);
        tokio::spawn(self.clone().report(endpoint.clone(), sender));
        reported
    }

    async fn report(self, endpoint: EndpointId, sender: watch::Sender<bool>) {
        tokio::time::sleep(GATHERING_TIME).await;
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
            tracing::warn!("a crash report was not accepted");
        }
        sender.send_replace(true);
    }

    /// Tells whether an endpoint still reports its load.
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
