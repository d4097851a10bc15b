//! Planning of the number of endpoints per service, availability zone and kind.
//!
//! An endpoint is either reclaimable, that is cheap but revocable by the platform at any time, or
//! on-demand. The planner performs no I/O. It handles these load patterns (`docs/platform.md`):
//!
//! * Waves and bursts: the planned count follows the peak need of the last seconds plus a reserve,
//!   because a new endpoint takes some seconds to boot.
//! * Loss of all reclaimable endpoints of a zone at once: they are spread over all zones, the
//!   reserve covers the loss of one zone, and on-demand endpoints replace those that the platform
//!   cannot provide.
//! * A zone that operators evacuate: its endpoints take no requests, so they are no capacity, and the other zones
//!   are ordered for. It gets no orders at all, since operators decide what becomes of it.
//! * Idle hours: surplus endpoints are released, but only after the peak has left the window.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::dialect::EndpointOrder;
use crate::dialect::ListedEndpoint;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::route_table::Scaling;
use crate::route_table::Service;
use crate::service_load::DEFAULT_PREFILL_RATE;
use crate::service_load::ServiceLoad;

/// Target fraction of an engine's prefill rate used by long prompts, which keeps their queueing
/// delay low.
const LONG_PROMPT_UTILIZATION: f64 = 0.45;

/// Target fraction of an engine's prefill rate used by short prompts, at which they do not delay
/// each other noticeably.
const SHORT_PROMPT_UTILIZATION: f64 = 0.35;

/// Target fraction of an engine's slots in use; above it, decode steps become slow.
const SLOT_UTILIZATION: f64 = 0.5;

/// Factor on the peak need, as a reserve for larger bursts; the reserve for the loss of a zone is
/// added to it.
const RESERVE_FACTOR: f64 = 1.4;

/// Endpoints beyond the reserve, to cover the failure of one.
const SPARE_ENDPOINTS: f64 = 1.0;

/// Window over which the peak need is taken; longer than the usual pause between bursts.
const NEED_WINDOW: Duration = Duration::from_secs(15);

/// Time after the first request during which the need is not known yet.
const WARM_UP: Duration = Duration::from_secs(5);

/// Time after the start of the process within which the endpoint list becomes complete; at the first
/// start of the whole system it lags and fills one endpoint at a time.
const LIST_FILL_TIME: Duration = Duration::from_secs(6);

/// Time for which no reclaimable endpoints are ordered in a zone that has none available.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(4);

/// Time beyond the boot time of an endpoint after which an order that the list does not reflect is
/// repeated; an older order that was executed late may have overridden it.
const REPEAT_MARGIN: Duration = Duration::from_secs(3);

/// Largest number of endpoints that a service is considered to need, which bounds the time to plan them.
const MAX_NEED: u32 = 10_000;

/// Number of endpoints that one service needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Endpoints needed at any price.
    required: u32,
    /// Endpoints including the reserve, which is held as reclaimable endpoints only.
    with_reserve: u32,
}

/// Service, zone and kind that an order sets the count of; true stands for reclaimable endpoints.
type OrderKey = (ServiceId, ZoneId, bool);

#[derive(Debug)]
struct SentOrder {
    count: u32,
    at: Instant,
}

/// Plans the endpoints of all services.
#[derive(Debug)]
pub struct EndpointPlanner {
    created_at: Instant,
    /// When a service first had load.
    first_load_at: Option<Instant>,
    /// Largest number of endpoints of each service seen before its need was known.
    initial_counts: BTreeMap<ServiceId, u32>,
    needs: BTreeMap<ServiceId, VecDeque<(Instant, f64)>>,
    sent_orders: BTreeMap<OrderKey, SentOrder>,
    unavailable_until: BTreeMap<(ServiceId, ZoneId), Instant>,
    evacuated: Arc<BTreeSet<ZoneId>>,
}

impl EndpointPlanner {
    /// Creates the planner of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            first_load_at: None,
            initial_counts: BTreeMap::new(),
            needs: BTreeMap::new(),
            sent_orders: BTreeMap::new(),
            unavailable_until: BTreeMap::new(),
            evacuated: Arc::default(),
        }
    }

    /// Forgets the sent orders, because another process may have sent others since; the observed
    /// need is kept.
    pub fn forget_orders(&mut self) {
        self.sent_orders.clear();
        self.unavailable_until.clear();
    }

    /// Sets the evacuated zones, which get no orders and whose endpoints are no capacity.
    pub fn set_evacuated(&mut self, zones: Arc<BTreeSet<ZoneId>>) {
        self.evacuated = zones;
    }

    /// Records the need of a service; also called while another process holds the right to order.
    pub fn observe(&mut self, now: Instant, service: &Service, load: &ServiceLoad) {
        if service.scaling.is_none() {
            return;
        }
        let slots = service.engine.as_ref().map_or(1, |engine| engine.slots);
        let rate = match load.rate > 0.0 {
            true => load.rate,
            false => DEFAULT_PREFILL_RATE,
        };
        let engine_rate = rate * 1_000.0;
        let prefill_need = load.long / (engine_rate * LONG_PROMPT_UTILIZATION)
            + load.short / (engine_rate * SHORT_PROMPT_UTILIZATION);
        let slot_need = load.calls / (f64::from(slots.max(1)) * SLOT_UTILIZATION);
        let need = prefill_need.max(slot_need);
        let needs = self.needs.entry(service.id.clone()).or_default();
        needs.push_back((now, need));
        while let Some((at, _)) = needs.front()
            && now.saturating_duration_since(*at) > NEED_WINDOW
        {
            needs.pop_front();
        }
        if self.first_load_at.is_none() && need > 0.0 {
            self.first_load_at = Some(now);
        }
    }

    /// Returns the orders to send now for one service, none of them for an evacuated zone.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &Service,
        load: &ServiceLoad,
        list: &[ListedEndpoint],
    ) -> Vec<EndpointOrder> {
        let Some(scaling) = &service.scaling else {
            return Vec::new();
        };
        self.observe(now, service, load);
        let all = Counts::of(service, list);
        let is_filling = now.saturating_duration_since(self.created_at) < LIST_FILL_TIME;
        let initial_count = self.initial_counts.entry(service.id.clone()).or_insert(0);
        // Endpoints that this process ordered are not part of the initial count.
        if is_filling || *initial_count == 0 {
            let ordered = match self.sent_orders.is_empty() {
                true => 0,
                false => all.reclaimable(),
            };
            *initial_count = (all.total() - ordered).max(*initial_count);
        }
        let counts = all.outside(&self.evacuated);
        self.record_reclaimed_zones(now, service, list);
        let need = self.need(now, service);
        let mut zones = scaling.prices.clone();
        zones.retain(|(zone, _)| !self.evacuated.contains(zone));
        let targets = self.targets(now, service, scaling, zones, need, &counts);
        let mut orders = Vec::new();
        for ((zone, reclaimable), count) in targets {
            let key = (service.id.clone(), zone.clone(), reclaimable);
            let present = counts.get(&zone, reclaimable);
            // An incomplete list gives a lower bound of what exists, so it justifies additional
            // reclaimable endpoints but no reduction.
            if is_filling && !(reclaimable && count > present) {
                continue;
            }
            let is_due = match self.sent_orders.get(&key) {
                None => present != count,
                Some(sent) if sent.count != count => true,
                Some(sent) => {
                    present != count
                        && now.saturating_duration_since(sent.at)
                            >= scaling.boot.saturating_add(REPEAT_MARGIN)
                }
            };
            if is_due {
                self.sent_orders.insert(key, SentOrder { count, at: now });
                orders.push(EndpointOrder {
                    service: service.id.clone(),
                    zone,
                    count,
                    reclaimable,
                });
            }
        }
        orders
    }

    /// Marks a zone as unavailable when all its reclaimable endpoints shut down although they are
    /// still ordered, so that on-demand ones are ordered before the platform refuses an order.
    fn record_reclaimed_zones(&mut self, now: Instant, service: &Service, list: &[ListedEndpoint]) {
        let is_reclaimable = |l: &&ListedEndpoint| l.service == service.id && l.reclaimable;
        let mut zones: BTreeMap<&ZoneId, (u32, u32)> = BTreeMap::new();
        for listed in list.iter().filter(is_reclaimable) {
            let (ready, leaving) = zones.entry(&listed.zone).or_default();
            *(if listed.leaving { leaving } else { ready }) += 1;
        }
        for (zone, (ready, leaving)) in zones {
            let key = (service.id.clone(), zone.clone(), true);
            let wanted = self.sent_orders.get(&key).map_or(0, |sent| sent.count);
            if ready == 0 && leaving > 1 && wanted > 0 {
                // Without the sent order, the zone gets a new one as soon as it may have capacity.
                self.sent_orders.remove(&key);
                let key = (service.id.clone(), zone.clone());
                self.unavailable_until.insert(key, now + UNAVAILABLE_TIME);
            }
        }
    }

    /// Records that the platform has no capacity for an order or rejected it.
    pub fn record_refusal(&mut self, now: Instant, order: &EndpointOrder) {
        let key = (order.service.clone(), order.zone.clone(), order.reclaimable);
        self.sent_orders.remove(&key);
        if order.reclaimable {
            let key = (order.service.clone(), order.zone.clone());
            self.unavailable_until.insert(key, now + UNAVAILABLE_TIME);
        }
    }

    /// Records an order whose outcome is unknown, so that it is sent again.
    pub fn record_unknown_outcome(&mut self, order: &EndpointOrder) {
        let key = (order.service.clone(), order.zone.clone(), order.reclaimable);
        self.sent_orders.remove(&key);
    }

    /// Returns the number of endpoints that a service needs, which is the initial count until the need
    /// is known.
    fn need(&self, now: Instant, service: &Service) -> Need {
        let needs = self.needs.get(&service.id).into_iter().flatten();
        let peak = needs.map(|(_, need)| *need).fold(0.0, f64::max);
        let initial_count = self.initial_counts.get(&service.id).copied().unwrap_or(0);
        // The endpoints left after the loss of one zone cover the need. An evacuated zone is such a loss.
        let zones = service.scaling.as_ref().map_or(1, |s| s.prices.len());
        let zones = zones.max(2) as f64;
        let zone_loss_factor = zones / (zones - 1.0);
        let age = self
            .first_load_at
            .map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age < WARM_UP) {
            return Need {
                required: initial_count,
                with_reserve: (f64::from(initial_count) * zone_loss_factor).ceil() as u32,
            };
        }
        let with_reserve = peak * RESERVE_FACTOR * zone_loss_factor + SPARE_ENDPOINTS;
        // The conversions saturate.
        Need {
            required: ((peak + SPARE_ENDPOINTS).ceil() as u32).min(MAX_NEED),
            with_reserve: (with_reserve.ceil() as u32).min(MAX_NEED),
        }
    }

    /// Returns the wanted number of endpoints for each of the zones, which are given with their prices, and kind.
    fn targets(
        &self,
        now: Instant,
        service: &Service,
        scaling: &Scaling,
        mut zones: Vec<(ZoneId, f64)>,
        need: Need,
        counts: &Counts,
    ) -> BTreeMap<(ZoneId, bool), u32> {
        // The maximum takes precedence over the minimum if they contradict each other.
        let (min, max) = (scaling.min.min(scaling.max), scaling.max);
        zones.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut targets = BTreeMap::new();
        if zones.is_empty() {
            return targets;
        }
        if scaling.reclaimable.is_some() {
            let per_zone = need.with_reserve.div_ceil(zones.len() as u32);
            // The shortfall of a zone is ordered in the zones that have their share, so that the
            // loss of a second zone can be covered as well.
            let complete_zones = zones
                .iter()
                .filter(|(zone, _)| counts.get(zone, true) >= per_zone);
            let complete_zones = complete_zones.count() as u32;
            let shortfall = need.with_reserve.saturating_sub(counts.reclaimable());
            let extra = match complete_zones {
                0 => 0,
                _ => shortfall.div_ceil(complete_zones),
            };
            for (zone, _) in &zones {
                let key = (service.id.clone(), zone.clone());
                let is_unavailable = self
                    .unavailable_until
                    .get(&key)
                    .is_some_and(|until| now < *until);
                // On-demand endpoints stay until reclaimable ones replace them, and the limit per
                // zone holds for both kinds together.
                let room = max.saturating_sub(counts.get(zone, false));
                let bounded = |count: u32| count.clamp(min, max).min(room);
                let count = match is_unavailable {
                    true => counts.get(zone, true),
                    false if counts.get(zone, true) >= per_zone => {
                        bounded(per_zone.saturating_add(extra))
                    }
                    false => bounded(per_zone),
                };
                targets.insert((zone.clone(), true), count);
            }
        }
        // Only reclaimable endpoints that are on the list replace on-demand ones.
        let mut missing = need.required.saturating_sub(counts.reclaimable());
        let mut on_demand: BTreeMap<&ZoneId, u32> =
            zones.iter().map(|(zone, _)| (zone, 0)).collect();
        for (zone, count) in &mut on_demand {
            let reclaimable = counts.get(zone, true);
            let minimum = min.saturating_sub(reclaimable);
            *count = minimum;
            missing = missing.saturating_sub(minimum);
        }
        'fill: while missing > 0 {
            let before = missing;
            for (zone, _) in &zones {
                let planned = targets.get(&(zone.clone(), true)).copied().unwrap_or(0);
                let count = on_demand.entry(zone).or_default();
                if *count + planned < max {
                    *count += 1;
                    missing -= 1;
                }
                if missing == 0 {
                    break 'fill;
                }
            }
            if missing == before {
                break;
            }
        }
        for (zone, count) in on_demand {
            targets.insert((zone.clone(), false), count);
        }
        targets
    }
}

/// Listed endpoints of a service that are not shutting down, by zone and whether they are
/// reclaimable.
#[derive(Debug, Default)]
struct Counts(BTreeMap<(ZoneId, bool), u32>);

impl Counts {
    fn of(service: &Service, list: &[ListedEndpoint]) -> Self {
        let mut counts = Self::default();
        for listed in list
            .iter()
            .filter(|l| l.service == service.id && !l.leaving)
        {
            let key = (listed.zone.clone(), listed.reclaimable);
            *counts.0.entry(key).or_default() += 1;
        }
        counts
    }

    /// Returns the counts without those of these zones.
    fn outside(mut self, zones: &BTreeSet<ZoneId>) -> Self {
        self.0.retain(|(zone, _), _| !zones.contains(zone));
        self
    }

    fn get(&self, zone: &ZoneId, reclaimable: bool) -> u32 {
        let key = (zone.clone(), reclaimable);
        self.0.get(&key).copied().unwrap_or(0)
    }

    fn total(&self) -> u32 {
        self.0.values().sum()
    }

    fn reclaimable(&self) -> u32 {
        let kinds = self.0.iter().filter(|((_, reclaimable), _)| *reclaimable);
        kinds.map(|(_, count)| *count).sum()
    }
}
