//! Carries out what [`crate::cold::tracker`] decides: states limits to all instances, and logs.

use std::sync::Mutex;
use std::time::Instant;

use crate::affinity;
use crate::cluster_control::ClusterControl;
use crate::cold::rate::ColdTerms;
use crate::cold::tracker::ColdChange;
use crate::cold::tracker::ColdTracker;
use crate::cold::tracker::ListState;
use crate::dialect::ListedEndpoint;
use crate::endpoint_limit::LimitTable;
use crate::evacuation::ZoneChange;
use crate::route_table::RouteTable;
use crate::shared_list::ListRevision;
use crate::supervision;

/// The cold endpoints as known to an instance that serves callers.
pub struct ColdWatch {
    tracker: Mutex<ColdTracker>,
    control: ClusterControl,
}

impl ColdWatch {
    /// Creates a watch; without `terms` it does nothing.
    pub fn new(control: ClusterControl, terms: Option<ColdTerms>) -> Self {
        Self {
            tracker: Mutex::new(ColdTracker::new(terms)),
            control,
        }
    }

    /// Applies the services of a routing table.
    pub fn set_services(&self, now: Instant, table: &RouteTable) {
        let services = table.services();
        let cold = services.filter_map(|service| Some((&service.id, service.cold.as_ref()?)));
        self.decide(now, |tracker, limits| {
            tracker.set_services(now, cold, limits);
            Vec::new()
        });
        // The list that is in use may have come first.
        if let Some((read_at, revision, list)) = self.control.endpoint_list().fresh(now) {
            self.update(now, read_at, revision, &list);
        }
    }

    /// Applies the endpoint list that was read at `read_at`, before requests are sent to its endpoints.
    pub fn update(
        &self,
        now: Instant,
        read_at: Instant,
        revision: ListRevision,
        endpoints: &[ListedEndpoint],
    ) {
        let version = match revision {
            revision if revision == ListRevision::default() => rand::random(),
            revision => affinity::mix(revision.epoch, revision.number),
        };
        let list = ListState {
            read_at,
            version,
            endpoints,
        };
        self.decide(now, |tracker, limits| tracker.update(now, list, limits));
    }

    /// Records that an endpoint accepted no connection.
    pub fn suspect(&self, now: Instant, endpoint: &ListedEndpoint) {
        self.decide(now, |tracker, limits| {
            let change = tracker.suspect(now, endpoint, rand::random(), limits);
            change.into_iter().collect()
        });
    }

    /// Records that evacuations ended, so that the endpoints of their zones are used again after a time without
    /// requests.
    pub fn refill(&self, now: Instant, changes: &[ZoneChange]) {
        for change in changes.iter().filter(|change| !change.is_evacuated) {
            let zone = &change.zone;
            self.decide(now, |tracker, limits| {
                tracker.suspect_zone(now, zone, rand::random(), limits)
            });
        }
    }

    /// Returns the number of listed endpoints that are cold.
    pub fn cold_count(&self) -> usize {
        supervision::lock(&self.tracker).cold_count()
    }

    /// Calls a decision, tells the other instances at once what they cannot know, and logs what it returns.
    fn decide(
        &self,
        now: Instant,
        decide: impl FnOnce(&mut ColdTracker, &mut LimitTable) -> Vec<ColdChange>,
    ) {
        let mut tracker = supervision::lock(&self.tracker);
        let changes = decide(&mut tracker, &mut self.control.endpoint_limits());
        let tells = tracker.should_tell(now, &changes);
        drop(tracker);
        if tells {
            self.control.tell_limits();
        }
        for change in changes {
            let (endpoint, service) = (&change.endpoint, &change.service);
            match change.cold {
                Some((reason, rate)) => {
                    let rate = rate.per_second();
                    tracing::info!(%endpoint, %service, %reason, rate, "endpoint cold");
                }
                None => tracing::info!(%endpoint, %service, "endpoint warm"),
            }
        }
    }
}
