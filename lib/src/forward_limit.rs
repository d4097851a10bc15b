//! Use of the limits that endpoints state: observations from responses, and permits for requests.

use std::time::Instant;

use crate::affinity;
use crate::dialect::ResponseInfo;
use crate::dialect::StatedLimit;
use crate::endpoint_limit::LimitObservation;
use crate::fleet::Choice;
use crate::fleet::EndpointQuery;
use crate::fleet::Fleet;
use crate::fleet::SelectionError;
use crate::forward::Forwarder;
use crate::ids::EndpointId;

impl Forwarder {
    /// Selects an endpoint whose limit allows the request, and takes a permit if there is a limit.
    ///
    /// If the limit of a better endpoint does not allow the request, this is recorded as demand for permits.
    pub(crate) fn select_endpoint(
        &self,
        fleet: &mut Fleet,
        now: Instant,
        query: &EndpointQuery<'_>,
    ) -> Result<Choice, SelectionError> {
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
