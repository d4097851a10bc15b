//! Evidence of endpoints that end under forwarded requests, and what follows for those.
//!
//! A call that broke makes the instance look whether the endpoint is still there; what this shows goes
//! through [`crate::culprits`] to the leader. A request that is to blame is refused before it is sent.

use std::sync::Arc;
use std::time::Duration;

use crate::control::Control;
use crate::crash_note::CrashNote;
use crate::crash_watch::AfterBreak;
use crate::culprits::Permit;
use crate::dialect::ListedEndpoint;
use crate::fingerprint::Fingerprint;
use crate::fleet::CallOutcome;
use crate::fleet::ListStatus;
use crate::forward::Forwarder;
use crate::suspect;
use crate::upstream;
use crate::upstream::Contact;

/// Time for which a quarantined request is withheld, which its callers are told.
pub(crate) const QUARANTINE_TIME: Duration = Duration::from_millis(suspect::KEEP_MS);

/// Time after a break before the first look: an ending process closes its connections one after the other.
const FIRST_LOOK: Duration = Duration::from_millis(20);

/// Time between further looks at an endpoint from which nothing comes back.
const NEXT_LOOK: Duration = Duration::from_millis(500);

/// What showed that an endpoint has ended.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display(rename_all = "lowercase")]
enum Evidence {
    Refused,
    Replaced,
    Unlisted,
}

impl Forwarder {
    /// Tells whether a request must not be sent to endpoints, because they end under it.
    pub(crate) fn is_withheld(&self, print: Fingerprint) -> bool {
        let now = self.settings.clock.now();
        let known = self.settings.control.suspicion(print.0);
        match self.culprits().permit(now, print, known) {
            Permit::Granted => false,
            Permit::Withheld(answer) => {
                self.tell(answer.as_slice());
                true
            }
        }
    }

    /// Records how a call of a request ended at an endpoint, which has been told to the fleet.
    pub(crate) fn note_end(
        self: &Arc<Self>,
        listed: &ListedEndpoint,
        print: Fingerprint,
        end: CallOutcome,
    ) {
        let now = self.settings.clock.now();
        match end {
            CallOutcome::Served | CallOutcome::Failed => {
                let note = self.culprits().answered(now, print);
                self.tell(note.as_slice());
            }
            CallOutcome::Broken => self.note_break(listed, print),
            CallOutcome::Replaced => self.note_ended(listed, Evidence::Replaced),
            CallOutcome::Refused | CallOutcome::Unreachable | CallOutcome::Cancelled => {}
        }
    }

    fn note_break(self: &Arc<Self>, listed: &ListedEndpoint, print: Fingerprint) {
        // An endpoint that was to stop ends without anybody to blame.
        if self.fleet().list_status(&listed.id) == ListStatus::Leaving {
            return;
        }
        let now = self.settings.clock.now();
        let after = self.culprits().broke(now, &listed.id, print);
        match after {
            AfterBreak::Look => {
                tokio::spawn(self.clone().look(listed.clone()));
            }
            AfterBreak::Wait => {}
            AfterBreak::Ended(note) => self.tell(&[note]),
        }
    }

    /// Looks whether an endpoint has ended, until it shows or the broken calls are forgotten.
    async fn look(self: Arc<Self>, listed: ListedEndpoint) {
        let mut pause = FIRST_LOOK;
        loop {
            tokio::time::sleep(pause).await;
            pause = NEXT_LOOK;
            if !self.culprits().waits(&listed.id) {
                return;
            }
            match self.fleet().list_status(&listed.id) {
                ListStatus::Listed => {}
                ListStatus::Leaving => return self.culprits().goes_on(&listed.id),
                ListStatus::Unlisted => return self.note_ended(&listed, Evidence::Unlisted),
            }
            match upstream::contact(listed.address).await {
                Contact::Accepted => return self.culprits().goes_on(&listed.id),
                Contact::Refused => return self.note_ended(&listed, Evidence::Refused),
                Contact::Unknown => {}
            }
        }
    }

    fn note_ended(&self, listed: &ListedEndpoint, evidence: Evidence) {
        let now = self.settings.clock.now();
        let notes = self.culprits().ended(now, &listed.id);
        if notes.is_empty() {
            return;
        }
        tracing::warn!(
            endpoint = %listed.id,
            service = %listed.service,
            %evidence,
            requests = notes.len(),
            "an endpoint ended under requests"
        );
        self.settings.metrics.crashed(&listed.service);
        self.tell(&notes);
    }

    fn tell(&self, notes: &[CrashNote]) {
        if !notes.is_empty() {
            let now = self.settings.clock.now();
            self.settings.control.note(now, notes);
        }
    }
}
