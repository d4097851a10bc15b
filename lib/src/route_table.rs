//! Routes, services and callers as a configuration document states them.
//!
//! The table is built once for each document and then only read. A route is found by host and
//! longest path prefix, without a look at the other routes of the host.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::ids::ZoneId;

/// Steps of urgency that engines tell apart.
pub const URGENCY_LEVELS: u8 = 10;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Never,
    /// Its answer is a stream of events.
    Stream {
        /// Another endpoint may go on after the last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Tells whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A part of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Where they go.
    pub service: ServiceId,
    /// How many, relative to the other shares.
    pub weight: u32,
}

/// A route from host and path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// Host that it belongs to.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub gap_objective: Option<Duration>,
    /// Rank of its requests, 0 for the most urgent.
    pub rank: u8,
    /// Where its requests go.
    pub targets: Vec<WeightedService>,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether it needs no key.
    pub open: bool,
}

impl Route {
    /// Draws the service of one request by the weights of the shares.
    pub fn pick_service(&self, rng: &mut impl Rng) -> &ServiceId {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut draw = rng.random_range(0..total.max(1));
        let last = self.targets.len() - 1;
        for target in &self.targets[..last] {
            if draw < target.weight {
                return &target.service;
            }
            draw -= target.weight;
        }
        &self.targets[last].service
    }
}

/// What engines of a service offer, if its endpoints are model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory: u64,
    /// Tokens whose memory an engine copies from another one in a millisecond, if it can.
    pub copy_rate: Option<f64>,
    /// Whether a run can go on at another engine from a copy of its memory.
    pub moves: bool,
}

/// How many endpoints of a service may be ordered, and at what price.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Least endpoints in each availability zone.
    pub min: u32,
    /// Most endpoints in each availability zone.
    pub max: u32,
    /// Time from an order until the endpoint serves.
    pub boot: Duration,
    /// Price of a reclaimable endpoint as a part of the price of another one, if there are any.
    pub reclaimable: Option<f64>,
    /// Price of an endpoint a second, by availability zone.
    pub prices: Vec<(ZoneId, f64)>,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// What its engines offer, if it has any.
    pub engine: Option<EngineSpec>,
    /// How its endpoints may be ordered, if they may.
    pub scaling: Option<Scaling>,
}

/// Whom a key belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Rank of its requests in place of the route's.
    pub rank: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// Time within which a head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle: Duration,
}

/// All that a configuration document states.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Revision of the document.
    pub revision: u64,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Whether callers need keys.
    requires_keys: bool,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<ServiceId, Arc<Service>>,
    keys: HashMap<String, Arc<Caller>>,
    /// All ranks of a caller and a route that occur together, in their order.
    ranks: Vec<(u8, u8)>,
}

/// Parts of a [`RouteTable`] as they stand in a document.
#[derive(Clone, Debug)]
pub struct RouteTableConfig {
    /// Revision of the document.
    pub revision: u64,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The keys with their holders, or nothing if callers need none.
    pub keys: Option<Vec<(String, Caller)>>,
}

/// A contradiction in a document.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
pub enum TableError {
    /// A route leads to a service that is not there.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same place.
    #[display("route {route} has the host and prefix of another one")]
    DuplicatePrefix {
        /// The second route.
        route: RouteId,
    },
    /// The shares of a route add up to nothing.
    #[display("the weights of route {route} add up to 0")]
    ZeroWeight {
        /// The route.
        route: RouteId,
    },
    /// A route leaves no time for an answer.
    #[display("route {route} has a timeout of 0")]
    ZeroTimeout {
        /// The route.
        route: RouteId,
    },
    /// A key has two holders.
    #[display("workspace {workspace} has a key of another one")]
    DuplicateKey {
        /// The second holder.
        workspace: WorkspaceId,
    },
}

impl RouteTable {
    /// Checks the parts as a whole and builds the table.
    pub fn new(config: RouteTableConfig) -> Result<Self, TableError> {
        let mut table = Self {
            revision: config.revision,
            limits: config.limits,
            requires_keys: config.keys.is_some(),
            hosts: HashMap::new(),
            services: HashMap::new(),
            keys: HashMap::new(),
            ranks: Vec::new(),
        };
        for service in config.services {
            table.services.insert(service.id.clone(), Arc::new(service));
        }
        for route in config.routes {
            table.add_route(route)?;
        }
        for (key, caller) in config.keys.into_iter().flatten() {
            table.add_key(key, caller)?;
        }
        table.index_ranks();
        Ok(table)
    }

    fn add_route(&mut self, route: Route) -> Result<(), TableError> {
        let name = || route.id.clone();
        if route.timeout.is_zero() {
            return Err(TableError::ZeroTimeout { route: name() });
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            return Err(TableError::ZeroWeight { route: name() });
        }
        let missing = |target: &&WeightedService| !self.services.contains_key(&target.service);
        if let Some(target) = route.targets.iter().find(missing) {
            return Err(TableError::UnknownService {
                route: name(),
                service: target.service.clone(),
            });
        }
        let by_prefix = self.hosts.entry(route.host.to_lowercase()).or_default();
        if by_prefix.contains_key(&route.prefix) {
            return Err(TableError::DuplicatePrefix { route: name() });
        }
        by_prefix.insert(route.prefix.clone(), Arc::new(route));
        Ok(())
    }

    fn index_ranks(&mut self) {
        let routes: BTreeSet<u8> = self.routes().map(|route| route.rank).collect();
        let callers: BTreeSet<u8> = self.keys.values().filter_map(|c| c.rank).collect();
        let own = routes.iter().map(|rank| (*rank, *rank));
        let both = callers.iter().flat_map(|c| routes.iter().map(|r| (*c, *r)));
        let ranks: BTreeSet<_> = own.chain(both).collect();
        self.ranks = ranks.into_iter().collect();
    }

    /// Returns the routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Returns the place of a request among all that engines run, 0 for the most urgent, below
    /// [`URGENCY_LEVELS`].
    ///
    /// The rank of the caller goes first. Where it leaves requests equal, the route decides, so that
    /// an engine that must set one aside takes the least urgent kind.
    pub fn urgency(&self, route: &Route, caller: Option<&Caller>) -> u8 {
        let rank = caller.and_then(|c| c.rank).unwrap_or(route.rank);
        let place = self.ranks.partition_point(|r| *r < (rank, route.rank));
        let count = self.ranks.len().max(1);
        let place = match count > usize::from(URGENCY_LEVELS) {
            true => place * usize::from(URGENCY_LEVELS) / count,
            false => place,
        };
        place.min(usize::from(URGENCY_LEVELS) - 1) as u8
    }

    fn add_key(&mut self, key: String, caller: Caller) -> Result<(), TableError> {
        let workspace = caller.workspace.clone();
        match self.keys.insert(key, Arc::new(caller)) {
            Some(other) if other.workspace != workspace => {
                Err(TableError::DuplicateKey { workspace })
            }
            _ => Ok(()),
        }
    }

    /// Returns the route of a host whose prefix is the longest that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower;
        let host = match host.bytes().any(|b| b.is_ascii_uppercase()) {
            true => {
                lower = host.to_lowercase();
                lower.as_str()
            }
            false => host,
        };
        let by_prefix = self
            .hosts
            .get(host)
            .or_else(|| self.hosts.get(host.split(':').next()?))?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| by_prefix.get(&path[..end])).next()
    }

    /// Returns whom a key belongs to.
    pub fn caller(&self, key: &str) -> Option<&Arc<Caller>> {
        self.keys.get(key)
    }

    /// Tells whether a request on a route needs a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.open
    }

    /// Returns a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// Returns the services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
