//! Detection of endpoints that crash under forwarded requests, and quarantine of these requests.
//!
//! After an interrupted call the instance probes whether the endpoint is still running. It records the result
//! in [`crate::crash_tracker`] and reports it to the leader. Requests that crash endpoints are refused before
//! they are sent.

use std::sync::Arc;
use std::time::Duration;

use crate::control::Control;
use crate::control::Suspicion;
use crate::crash_detector::InterruptionAction;
use crate::crash_note::CrashEvent;
use crate::crash_note::CrashNote;
use crate::crash_tracker::Permit;
use crate::dialect::ListedEndpoint;
use crate::fingerprint::Fingerprint;
use crate::fingerprint::RequestPrints;
use crate::fleet::CallOutcome;
use crate::fleet::ListStatus;
use crate::forward::Forwarder;
use crate::suspect;
use crate::upstream;
use crate::upstream::ConnectOutcome;

/// Time for which a request is quarantined, sent to its callers as `Retry-After`.
pub(crate) const QUARANTINE_TIME: Duration = Duration::from_millis(suspect::RETENTION_MS);

/// Delay of the first probe after an interrupted call, since a process that exits closes its connections one
/// after the other.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(20);

/// Interval between further probes of an endpoint that does not respond.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of prompt parts that the log names for a crash.
const MAX_LOGGED_PARTS: usize = 16;

/// Evidence that an endpoint has crashed.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display(rename_all = "lowercase")]
enum Evidence {
    /// The endpoint refuses connections.
    Refused,
    /// Another endpoint has its address.
    Replaced,
    /// The platform's list does not contain it any more.
    Unlisted,
}

impl Forwarder {
    /// Returns the fingerprint of the request, or of a part of its prompt, if that crashes endpoints so that the
    /// request must not be sent to any.
    pub(crate) fn quarantined_print(&self, prints: &RequestPrints) -> Option<Fingerprint> {
        let now = self.settings.clock.now();
        let suspects = self.settings.control.suspects();
        let suspicion = |fingerprint: Fingerprint| {
            let suspicion = suspects.get(&fingerprint.0).copied();
            suspicion.unwrap_or(Suspicion::None)
        };
        let mut tracker = self.crash_tracker();
        let mut notes = tracker.answers_to_suspects(now, &suspects);
        let request = prints.request;
        let permit = tracker.permit(now, request, suspicion(request));
        let parts = prints.parts.iter().map(|part| {
            let permit = tracker.part_permit(now, *part, suspicion(*part));
            (*part, permit)
        });
        let mut quarantined = None;
        for (print, permit) in std::iter::once((request, permit)).chain(parts) {
            if let Permit::Denied(note) = permit {
                quarantined = quarantined.or(Some(print));
                notes.extend(note);
            }
        }
        drop(tracker);
        self.share_notes(&notes);
        quarantined
    }

    /// Records the outcome of a call for crash detection; the outcome must already be recorded in the fleet.
    ///
    /// `is_success` is whether the endpoint executed the request: an error response says nothing about what the
    /// endpoint would have answered.
    pub(crate) fn record_outcome(
        self: &Arc<Self>,
        listed: &ListedEndpoint,
        prints: &RequestPrints,
        outcome: CallOutcome,
        is_success: bool,
    ) {
        let now = self.settings.clock.now();
        if outcome == CallOutcome::Served && is_success {
            self.record_part_answers(prints);
        }
        // A call that breaks off shows no restart, as links fail and endpoints abort single calls; the probe after it may.
        if outcome == CallOutcome::Unreachable {
            self.settings.cold.suspect(now, listed);
        }
        match outcome {
            CallOutcome::Served | CallOutcome::Failed => {
                let note = self.crash_tracker().answered(now, prints.request);
                self.share_notes(note.as_slice());
            }
            CallOutcome::Broken => self.record_interruption(listed, prints),
            CallOutcome::Replaced => self.record_crash(listed, Evidence::Replaced),
            CallOutcome::Refused | CallOutcome::Unreachable | CallOutcome::Cancelled => {}
        }
    }

    /// Records the complete response to a request for the parts of its prompt.
    fn record_part_answers(&self, prints: &RequestPrints) {
        let now = self.settings.clock.now();
        let control = &self.settings.control;
        let mut tracker = self.crash_tracker();
        let parts = prints.parts.iter();
        let notes: Vec<_> = parts
            .filter_map(|part| tracker.part_answered(now, *part, control.suspicion(part.0)))
            .collect();
        drop(tracker);
        self.share_notes(&notes);
    }

    /// Returns whether an endpoint whose connection ended in order is still running, or may end because it leaves.
    ///
    /// A process that crashes closes its connections in order as well.
    pub(crate) async fn is_running(&self, listed: &ListedEndpoint) -> bool {
        if self.fleet().list_status(&listed.id) == ListStatus::Leaving {
            return true;
        }
        tokio::time::sleep(FIRST_PROBE_DELAY).await;
        upstream::probe(listed.address).await != ConnectOutcome::Refused
    }

    /// Records an interrupted call, and starts to probe the endpoint if it is not known to have crashed.
    fn record_interruption(self: &Arc<Self>, listed: &ListedEndpoint, prints: &RequestPrints) {
        // The exit of an endpoint that was about to stop is not a crash.
        if self.fleet().list_status(&listed.id) == ListStatus::Leaving {
            return;
        }
        let now = self.settings.clock.now();
        let action = self
            .crash_tracker()
            .record_interruption(now, &listed.id, prints);
        match action {
            InterruptionAction::Probe => {
                tokio::spawn(self.clone().probe_until_known(listed.clone()));
            }
            InterruptionAction::Wait => {}
            InterruptionAction::Report(notes) => self.share_notes(&notes),
        }
    }

    /// Probes an endpoint until it is known to run or to have crashed, or until the interrupted calls expire.
    async fn probe_until_known(self: Arc<Self>, listed: ListedEndpoint) {
        let mut delay = FIRST_PROBE_DELAY;
        loop {
            tokio::time::sleep(delay).await;
            delay = PROBE_INTERVAL;
            if !self.crash_tracker().awaits_evidence(&listed.id) {
                return;
            }
            match self.fleet().list_status(&listed.id) {
                ListStatus::Listed => {}
                ListStatus::Leaving => return self.crash_tracker().record_alive(&listed.id),
                ListStatus::Unlisted => return self.record_crash(&listed, Evidence::Unlisted),
            }
            match upstream::probe(listed.address).await {
                ConnectOutcome::Accepted => return self.crash_tracker().record_alive(&listed.id),
                ConnectOutcome::Refused => return self.record_crash(&listed, Evidence::Refused),
                ConnectOutcome::Unknown => {}
            }
        }
    }

    /// Records the crash of an endpoint and reports it to the leader.
    fn record_crash(&self, listed: &ListedEndpoint, evidence: Evidence) {
        let now = self.settings.clock.now();
        if !matches!(evidence, Evidence::Replaced) {
            self.settings.cold.suspect(now, listed);
        }
        let notes = self.crash_tracker().record_crash(now, &listed.id);
        if notes.is_empty() {
            return;
        }
        let prints = |is_part: bool| {
            let is_kind = move |note: &&CrashNote| {
                is_part == matches!(note.event, CrashEvent::PartCrash { .. })
            };
            notes.iter().filter(is_kind).map(|note| note.fingerprint)
        };
        let parts = prints(true).take(MAX_LOGGED_PARTS);
        let parts: Vec<_> = parts.map(|part| part.to_string()).collect();
        tracing::warn!(
            endpoint = %listed.id,
            service = %listed.service,
            %evidence,
            requests = prints(false).count(),
            parts = parts.join(" "),
            "an endpoint ended under requests"
        );
        self.settings.metrics.crashed(&listed.service);
        self.share_notes(&notes);
    }

    /// Queues crash notes for the leader.
    fn share_notes(&self, notes: &[CrashNote]) {
        if !notes.is_empty() {
            let now = self.settings.clock.now();
            self.settings.control.report_crash_notes(now, notes);
        }
    }
}
