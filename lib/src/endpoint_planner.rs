//! How many endpoints of a service are ordered, of which kind and in which availability zone.
//!
//! The decision is pure. It answers these load patterns (`docs/platform.md`):
//!
//! * Waves and bursts: the stock follows the highest need of the last seconds with a reserve, since
//!   an endpoint serves only some seconds after its order.
//! * A zone of reclaimable endpoints that is taken back at once: they are spread over all zones, the
//!   reserve covers the loss of one, and other endpoints are ordered where none are to be had.
//! * Idle hours: what is not needed is given back, but not at the first quiet second.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::dialect::EndpointOrder;
use crate::dialect::ListedEndpoint;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::route_table::Scaling;
use crate::route_table::Service;
use crate::work::DEFAULT_READ_RATE;
use crate::work::Work;

/// Use of an engine by long prompts at which their callers still wait little.
const LONG_USE: f64 = 0.45;

/// Use of an engine by short prompts at which no caller notices the others.
const SHORT_USE: f64 = 0.35;

/// Part of an engine's slots that may be taken before steps become slow.
const SLOT_USE: f64 = 0.5;

/// Times the highest remembered need that is kept in stock, for a burst that is larger still; the
/// loss of a zone comes on top.
const RESERVE: f64 = 1.4;

/// Endpoints beyond the reserve, for the one that fails next.
const SPARE: f64 = 1.0;

/// Time for which the highest need is remembered; longer than the pauses between usual bursts.
const MEMORY: Duration = Duration::from_secs(15);

/// Time after the first request in which the need is not known yet.
const LEARNING: Duration = Duration::from_secs(5);

/// Time from the start of the process in which the list is complete, although it lags and fills one by
/// one at the first start of all.
const SETTLING: Duration = Duration::from_secs(6);

/// Time after which an availability zone without reclaimable endpoints is asked again.
const DRY: Duration = Duration::from_secs(4);

/// Time beyond that for a new endpoint to serve after which an order that shows no effect on the list
/// is repeated; a late execution of an older order may have undone it.
const REPEAT_MARGIN: Duration = Duration::from_secs(3);

/// Numbers of endpoints of one service.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Needed at whatever price.
    least: u32,
    /// Kept in reserve where they are cheap.
    stock: u32,
}

/// Kind of an order.
type Place = (ServiceId, ZoneId, bool);

#[derive(Debug)]
struct Sent {
    count: u32,
    at: Instant,
}

/// Plans the stock of all services.
#[derive(Debug)]
pub struct EndpointPlanner {
    /// When the process started.
    created: Instant,
    /// When callers were first seen.
    started: Option<Instant>,
    /// Most endpoints of each service that were there at once, before its need was known.
    first: BTreeMap<ServiceId, u32>,
    needs: BTreeMap<ServiceId, VecDeque<(Instant, f64)>>,
    sent: BTreeMap<Place, Sent>,
    dry: BTreeMap<(ServiceId, ZoneId), Instant>,
}

impl EndpointPlanner {
    /// Creates the plan of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            created: now,
            started: None,
            first: BTreeMap::new(),
            needs: BTreeMap::new(),
            sent: BTreeMap::new(),
            dry: BTreeMap::new(),
        }
    }

    /// Forgets what was ordered, because somebody else may have ordered since; the need is the same.
    pub fn forget_orders(&mut self) {
        self.sent.clear();
        self.dry.clear();
    }

    /// Remembers what a service needs, also while another process may order.
    pub fn observe(&mut self, now: Instant, service: &Service, work: &Work) {
        if service.scaling.is_none() {
            return;
        }
        let slots = service.engine.as_ref().map_or(1, |engine| engine.slots);
        let rate = match work.rate > 0.0 {
            true => work.rate,
            false => DEFAULT_READ_RATE,
        };
        let engine = rate * 1_000.0;
        let reading = work.long / (engine * LONG_USE) + work.short / (engine * SHORT_USE);
        let running = work.calls / (f64::from(slots.max(1)) * SLOT_USE);
        let need = reading.max(running);
        let needs = self.needs.entry(service.id.clone()).or_default();
        needs.push_back((now, need));
        while let Some((at, _)) = needs.front()
            && now.saturating_duration_since(*at) > MEMORY
        {
            needs.pop_front();
        }
        if self.started.is_none() && need > 0.0 {
            self.started = Some(now);
        }
    }

    /// Returns the orders to send now for one service.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &Service,
        work: &Work,
        list: &[ListedEndpoint],
    ) -> Vec<EndpointOrder> {
        let Some(scaling) = &service.scaling else {
            return Vec::new();
        };
        self.observe(now, service, work);
        let counts = Counts::of(service, list);
        let settles = now.saturating_duration_since(self.created) < SETTLING;
        let first = self.first.entry(service.id.clone()).or_insert(0);
        // What was ordered does not count as what was there.
        if settles || *first == 0 {
            let ordered = match self.sent.is_empty() {
                true => 0,
                false => counts.reclaimable(),
            };
            *first = (counts.total() - ordered).max(*first);
        }
        self.note_taken_back(now, service, list);
        let need = self.need(now, service);
        let targets = self.targets(now, service, scaling, need, &counts);
        let mut orders = Vec::new();
        for ((zone, reclaimable), count) in targets {
            let place = (service.id.clone(), zone.clone(), reclaimable);
            let present = counts.get(&zone, reclaimable);
            // A list that is not complete says what is there at least, but not what is too much.
            if settles && !(reclaimable && count > present) {
                continue;
            }
            let is_due = match self.sent.get(&place) {
                None => present != count,
                Some(sent) if sent.count != count => true,
                Some(sent) => {
                    present != count
                        && now.saturating_duration_since(sent.at) >= scaling.boot + REPEAT_MARGIN
                }
            };
            if is_due {
                self.sent.insert(place, Sent { count, at: now });
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

    /// Takes an availability zone whose reclaimable endpoints leave although they are wanted for one
    /// that has none, so that others are ordered before the platform refuses more.
    fn note_taken_back(&mut self, now: Instant, service: &Service, list: &[ListedEndpoint]) {
        let of = |l: &&ListedEndpoint| l.service == service.id && l.reclaimable;
        let mut zones: BTreeMap<&ZoneId, (u32, u32)> = BTreeMap::new();
        for listed in list.iter().filter(of) {
            let (ready, leaving) = zones.entry(&listed.zone).or_default();
            *(if listed.leaving { leaving } else { ready }) += 1;
        }
        for (zone, (ready, leaving)) in zones {
            let place = (service.id.clone(), zone.clone(), true);
            let wanted = self.sent.get(&place).map_or(0, |sent| sent.count);
            if ready == 0 && leaving > 1 && wanted > 0 {
                // Asked again as soon as it may have some.
                self.sent.remove(&place);
                let place = (service.id.clone(), zone.clone());
                self.dry.insert(place, now + DRY);
            }
        }
    }

    /// Records that the platform has none of the ordered endpoints, or did not take the order.
    pub fn refused(&mut self, now: Instant, order: &EndpointOrder) {
        let place = (order.service.clone(), order.zone.clone(), order.reclaimable);
        self.sent.remove(&place);
        if order.reclaimable {
            let place = (order.service.clone(), order.zone.clone());
            self.dry.insert(place, now + DRY);
        }
    }

    /// Records an order whose outcome is unknown, so that it is sent again.
    pub fn outcome_unknown(&mut self, order: &EndpointOrder) {
        let place = (order.service.clone(), order.zone.clone(), order.reclaimable);
        self.sent.remove(&place);
    }

    /// Returns how many endpoints of a service are needed; what is there, while that is not known.
    fn need(&self, now: Instant, service: &Service) -> Need {
        let needs = self.needs.get(&service.id).into_iter().flatten();
        let highest = needs.map(|(_, need)| *need).fold(0.0, f64::max);
        let first = self.first.get(&service.id).copied().unwrap_or(0);
        // With one zone taken back at once, the others still hold what is needed.
        let zones = service.scaling.as_ref().map_or(1, |s| s.prices.len());
        let zones = zones.max(2) as f64;
        let spread = zones / (zones - 1.0);
        let age = self.started.map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age < LEARNING) {
            return Need {
                least: first,
                stock: (f64::from(first) * spread).ceil() as u32,
            };
        }
        Need {
            least: (highest + SPARE).ceil() as u32,
            stock: (highest * RESERVE * spread + SPARE).ceil() as u32,
        }
    }

    fn targets(
        &self,
        now: Instant,
        service: &Service,
        scaling: &Scaling,
        need: Need,
        counts: &Counts,
    ) -> BTreeMap<(ZoneId, bool), u32> {
        let mut zones: Vec<_> = scaling.prices.clone();
        zones.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut targets = BTreeMap::new();
        if zones.is_empty() {
            return targets;
        }
        if scaling.reclaimable.is_some() {
            let each = need.stock.div_ceil(zones.len() as u32);
            // What a zone lacks is ordered in those that have their part, so that the next zone
            // that is lost finds the others complete again.
            let complete = zones
                .iter()
                .filter(|(zone, _)| counts.get(zone, true) >= each);
            let complete = complete.count() as u32;
            let lacking = need.stock.saturating_sub(counts.reclaimable());
            let more = match complete {
                0 => 0,
                _ => lacking.div_ceil(complete),
            };
            for (zone, _) in &zones {
                let place = (service.id.clone(), zone.clone());
                let is_dry = self.dry.get(&place).is_some_and(|until| now < *until);
                // Others stay until these are there, and the bound holds for both kinds together.
                let room = scaling.max.saturating_sub(counts.get(zone, false));
                let count = match is_dry {
                    true => counts.get(zone, true),
                    false if counts.get(zone, true) >= each => {
                        (each + more).clamp(scaling.min, scaling.max).min(room)
                    }
                    false => each.clamp(scaling.min, scaling.max).min(room),
                };
                targets.insert((zone.clone(), true), count);
            }
        }
        // Only endpoints that are there replace others.
        let mut missing = need.least.saturating_sub(counts.reclaimable());
        let mut others: BTreeMap<&ZoneId, u32> = zones.iter().map(|(zone, _)| (zone, 0)).collect();
        for (zone, count) in &mut others {
            let held = counts.get(zone, true);
            let least = scaling.min.saturating_sub(held);
            *count = least;
            missing = missing.saturating_sub(least);
        }
        'fill: while missing > 0 {
            let before = missing;
            for (zone, _) in &zones {
                let planned = targets.get(&(zone.clone(), true)).copied().unwrap_or(0);
                let count = others.entry(zone).or_default();
                if *count + planned < scaling.max {
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
        for (zone, count) in others {
            targets.insert((zone.clone(), false), count);
        }
        targets
    }
}

/// Endpoints of a service on the list that are not leaving, by zone and kind.
#[derive(Debug, Default)]
struct Counts(BTreeMap<(ZoneId, bool), u32>);

impl Counts {
    fn of(service: &Service, list: &[ListedEndpoint]) -> Self {
        let mut counts = Self::default();
        for listed in list
            .iter()
            .filter(|l| l.service == service.id && !l.leaving)
        {
            let place = (listed.zone.clone(), listed.reclaimable);
            *counts.0.entry(place).or_default() += 1;
        }
        counts
    }

    fn get(&self, zone: &ZoneId, reclaimable: bool) -> u32 {
        let place = (zone.clone(), reclaimable);
        self.0.get(&place).copied().unwrap_or(0)
    }

    fn total(&self) -> u32 {
        self.0.values().sum()
    }

    fn reclaimable(&self) -> u32 {
        let kinds = self.0.iter().filter(|((_, reclaimable), _)| *reclaimable);
        kinds.map(|(_, count)| *count).sum()
    }
}
