//! Decides which endpoints are cold.
//!
//! The decisions do no I/O. They handle these load patterns:
//!
//! * An endpoint that starts while requests come: it is idle, so all instances would prefer it at once. It is cold
//!   from its first appearance on the list until a later state of the list says otherwise.
//! * An endpoint, or all those of an availability zone, that end and return under the same name before the list
//!   shows it: a connection that fails makes the endpoint suspect, for all instances within a poll.
//! * An availability zone that is used again after it was empty: its endpoints are suspect from that moment.
//!
//! The list describes the past. What it says counts from the time that it describes, as do the statements of
//! responses about limits, so that instances with copies of different age agree. A suspicion after a failure also
//! lasts as long as the endpoint could be cold, since the list shows an endpoint that ended as it was for some time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::affinity;
use crate::cold::rate::ColdTerms;
use crate::dialect::ListedEndpoint;
use crate::dialect::RequestRate;
use crate::endpoint_limit::LimitObservation;
use crate::endpoint_limit::LimitTable;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::route_table::ColdSpec;

/// Time that the reading of a list takes per endpoint, as an upper bound: the first entries of a long list are
/// older than the last ones.
const READ_TIME_PER_ENDPOINT: Duration = Duration::from_micros(700);

/// Age from which what a list says about a cold endpoint is stated again, before it would be forgotten.
const RESTATE_AGE: Duration = Duration::from_secs(20);

/// Interval at which failures of the same endpoint are stated again.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest interval at which what this instance noticed interrupts polls. What comes in between is told with the next
/// one, while a poll that is interrupted again and again would never be answered.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// Marks the observations that are suspicions after a failure, in the number that identifies them.
const SUSPICION_BIT: u64 = 1;

/// Why an endpoint counts as cold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Reason {
    /// The list says so.
    Listed,
    /// The endpoint is new on the list.
    Appeared,
    /// The endpoint was leaving and no longer is, or it has another address.
    Returned,
    /// It accepted no connection, so it may have started again since.
    Failed,
    /// Its availability zone is used again.
    Refilled,
    /// Another instance said so.
    Told,
}

/// An endpoint that became cold or warm, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// Why it is cold and the rate of permits for it; `None` if it is warm.
    pub cold: Option<(Reason, RequestRate)>,
}

impl ColdChange {
    /// Returns whether only this instance may know of the change; all read the same list.
    fn is_noticed(&self) -> bool {
        let reason = self.cold.map(|(reason, _)| reason);
        matches!(reason, Some(Reason::Failed | Reason::Refilled))
    }
}

/// A list of endpoints and when it was read.
#[derive(Clone, Copy, Debug)]
pub struct ListState<'a> {
    /// When the list was read from the platform.
    pub read_at: Instant,
    /// Identifies the content of the list; the same at all instances that hold it.
    pub version: u64,
    /// The endpoints.
    pub endpoints: &'a [ListedEndpoint],
}

/// A service with endpoints that may be cold.
#[derive(Clone, Copy, Debug)]
struct Service {
    /// Rate of permits for a cold endpoint.
    rate: RequestRate,
    /// Time for which an endpoint stays cold.
    time: Duration,
    /// Whether a list has shown its endpoints; those of the first list are not new.
    has_list: bool,
}

/// An endpoint of the last list.
#[derive(Debug)]
struct Known {
    service: ServiceId,
    zone: ZoneId,
    address: SocketAddr,
    /// Key of its limit while it is cold.
    key: u64,
    is_leaving: bool,
    /// Whether it was cold when that was last reported.
    was_cold: bool,
    reason: Reason,
}

/// What this instance knows of the endpoints that may be cold.
#[derive(Debug)]
pub struct ColdTracker {
    /// The bounds; without them no endpoint counts as cold.
    terms: Option<ColdTerms>,
    services: HashMap<ServiceId, Service>,
    endpoints: HashMap<EndpointId, Known>,
    /// When a change last was to be told at once.
    told_at: Option<Instant>,
}

impl ColdTracker {
    /// Creates a tracker without services.
    pub fn new(terms: Option<ColdTerms>) -> Self {
        Self {
            terms,
            services: HashMap::new(),
            endpoints: HashMap::new(),
            told_at: None,
        }
    }

    /// Returns whether any service has endpoints that may be cold.
    pub fn is_enabled(&self) -> bool {
        !self.services.is_empty()
    }

    /// Returns the number of listed endpoints that are cold.
    pub fn cold_count(&self) -> usize {
        let is_cold = |known: &&Known| known.was_cold;
        self.endpoints.values().filter(is_cold).count()
    }

    /// Returns whether the other instances are to be told of the changes at once.
    pub fn should_tell(&mut self, now: Instant, changes: &[ColdChange]) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < TELL_INTERVAL;
        let tells =
            changes.iter().any(ColdChange::is_noticed) && !self.told_at.is_some_and(is_recent);
        if tells {
            self.told_at = Some(now);
        }
        tells
    }

    /// Sets the services with endpoints that may be cold, and lifts the limits of the others.
    pub fn set_services<'a>(
        &mut self,
        now: Instant,
        services: impl Iterator<Item = (&'a ServiceId, &'a ColdSpec)>,
        limits: &mut LimitTable,
    ) {
        let Some(terms) = self.terms else {
            return;
        };
        let service = |(id, cold): (&ServiceId, &ColdSpec)| {
            let known = self.services.get(id);
            let service = Service {
                rate: terms.permit_rate(cold)?,
                time: cold.time,
                has_list: known.is_some_and(|known| known.has_list),
            };
            Some((id.clone(), service))
        };
        self.services = services.filter_map(service).collect();
        for known in self.endpoints.values() {
            if !self.services.contains_key(&known.service) {
                limits.observe(
                    known.key,
                    statement(None, now, now, affinity::mix(known.key, 3)),
                );
            }
        }
    }

    /// Applies a list, or the same one again as time passes; returns what became cold or warm.
    pub fn update(
        &mut self,
        now: Instant,
        list: ListState<'_>,
        limits: &mut LimitTable,
    ) -> Vec<ColdChange> {
        let Some(terms) = self.terms.filter(|_| self.is_enabled()) else {
            return Vec::new();
        };
        let length = u32::try_from(list.endpoints.len()).unwrap_or(u32::MAX);
        let lag = terms.list_lag + READ_TIME_PER_ENDPOINT * length;
        let shown_at = list.read_at.checked_sub(lag).unwrap_or(list.read_at);
        let mut changes = Vec::new();
        let mut last = std::mem::take(&mut self.endpoints);
        for listed in list.endpoints {
            let Some(service) = self.services.get(&listed.service) else {
                continue;
            };
            let before = last.remove(&listed.id);
            let reason = match &before {
                _ if listed.cold => Some(Reason::Listed),
                None if service.has_list => Some(Reason::Appeared),
                Some(before) if before.has_returned(listed) => Some(Reason::Returned),
                _ => None,
            };
            let mut known = before.unwrap_or_else(|| Known::new(listed));
            (known.address, known.is_leaving) = (listed.address, listed.leaving);
            known.reason = reason.unwrap_or(known.reason);
            let number = affinity::mix(list.version, known.key) & !SUSPICION_BIT;
            match reason {
                Some(Reason::Listed) => {
                    let at = shown_at.max(now.checked_sub(RESTATE_AGE).unwrap_or(now));
                    if limits.observed(known.key).is_none_or(|held| {
                        held.rate.is_none_or(|rate| rate > service.rate)
                            || now.saturating_duration_since(held.at) > RESTATE_AGE
                    }) {
                        let cold = statement(Some(service.rate), at, at, number);
                        limits.observe(known.key, cold);
                    }
                }
                Some(_) => {
                    let at = list.read_at;
                    limits.observe(known.key, statement(Some(service.rate), at, at, number));
                }
                None => known.lift(service, shown_at, number, limits),
            }
            changes.extend(known.report(&listed.id, limits));
            self.endpoints.insert(listed.id.clone(), known);
        }
        for service in self.services.values_mut() {
            service.has_list = true;
        }
        changes
    }

    /// Records that an endpoint accepted no connection, so that it may have started again since; `number` is a random number.
    /// Returns the statement for all instances, if there is a new one.
    pub fn suspect(
        &mut self,
        now: Instant,
        endpoint: &ListedEndpoint,
        number: u64,
        limits: &mut LimitTable,
    ) -> Option<ColdChange> {
        let service = self.services.get(&endpoint.service)?;
        let known = self.endpoints.get_mut(&endpoint.id)?;
        known.suspect(now, service, Reason::Failed, number, limits);
        known.report(&endpoint.id, limits)
    }

    /// Records that the endpoints of an availability zone are used again after a time without requests; `number` is
    /// a random number. Returns what became cold.
    pub fn suspect_zone(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        number: u64,
        limits: &mut LimitTable,
    ) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (id, known) in &mut self.endpoints {
            let Some(service) = self.services.get(&known.service) else {
                continue;
            };
            if known.zone == *zone {
                let number = affinity::mix(number, known.key);
                known.suspect(now, service, Reason::Refilled, number, limits);
                changes.extend(known.report(id, limits));
            }
        }
        changes
    }
}

impl Known {
    fn new(listed: &ListedEndpoint) -> Self {
        Self {
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            address: listed.address,
            key: LimitTable::cold_key(affinity::hash_name(listed.id.as_str())),
            is_leaving: listed.leaving,
            was_cold: false,
            reason: Reason::Told,
        }
    }

    /// Returns whether the list shows an endpoint that has come back under its name.
    fn has_returned(&self, listed: &ListedEndpoint) -> bool {
        self.is_leaving && !listed.leaving || self.address != listed.address
    }

    /// Lifts the limit if a list that shows the endpoint warm describes a later time than what is known.
    fn lift(&self, service: &Service, shown_at: Instant, number: u64, limits: &mut LimitTable) {
        let Some(held) = limits.observed(self.key).filter(|held| held.rate.is_some()) else {
            return;
        };
        let hold = match held.id & SUSPICION_BIT {
            0 => Duration::ZERO,
            _ => service.time,
        };
        if shown_at > held.at + hold {
            let number = affinity::mix(number, 1) & !SUSPICION_BIT;
            limits.observe(self.key, statement(None, shown_at, shown_at, number));
        }
    }

    fn suspect(
        &mut self,
        now: Instant,
        service: &Service,
        reason: Reason,
        number: u64,
        limits: &mut LimitTable,
    ) {
        let held = limits.observed(self.key);
        let is_recent = held.is_some_and(|held| {
            let age = now.saturating_duration_since(held.at);
            held.rate.is_some() && held.id & SUSPICION_BIT != 0 && age < SUSPICION_INTERVAL
        });
        if !is_recent {
            self.reason = reason;
            let number = number | SUSPICION_BIT;
            limits.observe(self.key, statement(Some(service.rate), now, now, number));
        }
    }

    /// Returns whether the endpoint is cold, if that has changed since the last call.
    fn report(&mut self, endpoint: &EndpointId, limits: &LimitTable) -> Option<ColdChange> {
        let rate = limits.observed(self.key).and_then(|held| held.rate);
        if std::mem::replace(&mut self.was_cold, rate.is_some()) == rate.is_some() {
            return None;
        }
        let reason = self.reason;
        if rate.is_none() {
            // Unless this instance learns of it otherwise, it is told the next time.
            self.reason = Reason::Told;
        }
        Some(ColdChange {
            endpoint: endpoint.clone(),
            service: self.service.clone(),
            cold: rate.map(|rate| (reason, rate)),
        })
    }
}

fn statement(
    rate: Option<RequestRate>,
    sent: Instant,
    received: Instant,
    id: u64,
) -> LimitObservation {
    LimitObservation {
        rate,
        sent,
        received,
        id,
    }
}
