//! Selection of endpoints within what applies to all instances: the limits that endpoints state, and the
//! evacuation of zones.

use std::time::Instant;

use crate::affinity;
use crate::dialect::ResponseInfo;
use crate::dialect::StatedLimit;
use crate::endpoint_limit::LimitObservation;
use crate::evacuation;
use crate::fleet::Choice;
use crate::fleet::EndpointQuery;
use crate::fleet::Fleet;
use crate::fleet::SelectionError;
use crate::forward::Forwarder;
use crate::ids::EndpointId;
use crate::ids::ZoneId;

impl Forwarder {
    /// Selects an endpoint outside evacuated zones whose limit allows the request, and takes a permit if there
    /// is a limit.
    ///
    /// If the limit of a better endpoint does not allow the request, this is recorded as demand for permits.
    pub(crate) fn select_endpoint(
        &self,
        fleet: &mut Fleet,
        now: Instant,
        query: &EndpointQuery<'_>,
    ) -> Result<Choice, SelectionError> {
        self.apply_evacuations(fleet, now);
        let mut limits = self.settings.control.endpoint_limits();
        fleet.apply_limits(now, &limits);
        let choice = fleet.choose(now, query);
        if limits.is_empty() {
            return choice;
        }
        let passed_over = match &choice {
            Ok(choice) => {
                limits.take(now, affinity::hash_name(choice.listed.id.as_str()));
                choice.passed_over
            }
            Err(SelectionError::Limited { passed_over, .. }) => *passed_over,
            Err(_) => None,
        };
        if let Some(endpoint) = passed_over {
            limits.want(now, endpoint);
            if limits.is_cold(endpoint) {
                self.settings.metrics.passed_over_cold(query.service);
            }
        }
        choice
    }

    /// Applies the evacuations of the newest view to the fleet; without contact to the group, the view that the
    /// instance holds goes on to apply.
    fn apply_evacuations(&self, fleet: &mut Fleet, now: Instant) {
        let Some(view) = self.settings.control.latest_view() else {
            return;
        };
        let changes = fleet.apply_evacuations(now, view.evacuated_zones());
        evacuation::log_changes(view.version(), &changes);
        self.settings.cold.refill(now, &changes);
    }

    /// Returns whether endpoints of a zone get no new requests, according to the newest view.
    pub(crate) fn is_evacuated(&self, zone: &ZoneId) -> bool {
        let view = self.settings.control.latest_view();
        view.is_some_and(|view| view.evacuated_zones().contains(zone))
    }

    /// Takes a permit for a request that continues at its endpoint whatever the limit is.
    pub(crate) fn charge_permit(&self, now: Instant, endpoint: &EndpointId) {
        let hash = affinity::hash_name(endpoint.as_str());
        self.settings.control.endpoint_limits().take(now, hash);
    }

    /// Records what a response to a request sent at `sent` stated about the endpoint's limit.
    ///
    /// Only a signed success shows that a limit has ended. Responses of another endpoint and unsigned ones state
    /// nothing.
    pub(crate) fn record_limit(
        &self,
        endpoint: &EndpointId,
        sent: Instant,
        info: &ResponseInfo,
        executed: bool,
    ) {
        if info.misdirected {
            return;
        }
        let rate = match info.limit {
            StatedLimit::Rate(rate) if info.signed || info.refused => Some(rate),
            StatedLimit::Absent if executed => None,
            _ => return,
        };
        let observation = LimitObservation {
            rate,
            sent,
            received: self.settings.clock.now(),
            id: rand::random(),
        };
        let hash = affinity::hash_name(endpoint.as_str());
        if self.settings.control.observe_limit(hash, observation) {
            tracing::info!(
                %endpoint,
                limit = rate.map(|rate| rate.per_second()),
                "limit of an endpoint changed"
            );
        }
    }
}
