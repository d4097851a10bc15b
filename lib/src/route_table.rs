//! Routes, services and callers of a configuration document.
//!
//! The table is built once for each document and is then read-only. A route is found by its host
//! and the longest matching path prefix, without a scan of the other routes of the host.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::dialect::RequestRate;
use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::ids::ZoneId;

/// Number of urgency levels that engines distinguish.
pub const URGENCY_LEVELS: u8 = 10;

/// Whether and how a failed request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Never,
    /// The response is a stream of events.
    Stream {
        /// Another endpoint may resume the stream after the last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns whether a request that may already have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A service that receives a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// The host that it belongs to.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Longest time that a caller waits for its response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest gap between two events of a stream that is on time.
    pub gap_objective: Option<Duration>,
    /// Rank of its requests, 0 for the most urgent.
    pub rank: u8,
    /// The services that receive its requests.
    pub targets: Vec<WeightedService>,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether its requests need no key.
    pub open: bool,
}

impl Route {
    /// Picks the service for one request at random, by the weights of the targets.
    pub fn pick_service(&self, rng: &mut impl Rng) -> &ServiceId {
        let weights = self.targets.iter().map(|target| u64::from(target.weight));
        let mut draw = rng.random_range(0..weights.sum::<u64>().max(1));
        let last = self.targets.len() - 1;
        for target in &self.targets[..last] {
            let weight = u64::from(target.weight);
            if draw < weight {
                return &target.service;
            }
            draw -= weight;
        }
        &self.targets[last].service
    }
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's memory in tokens.
    pub memory: u64,
    /// Tokens per millisecond that an engine copies from the memory of another engine, if it can.
    pub copy_rate: Option<f64>,
    /// Whether a run can continue on another engine from a copy of its memory.
    pub moves: bool,
}

/// What a service's endpoints accept for some time after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Requests per second that a cold endpoint accepts from all instances together.
    pub rate: RequestRate,
    /// Time from its start for which an endpoint is cold.
    pub time: Duration,
}

/// Limits and prices for ordering endpoints of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of endpoints in each availability zone.
    pub min: u32,
    /// Maximum number of endpoints in each availability zone.
    pub max: u32,
    /// Time from an order until the endpoint accepts requests.
    pub boot: Duration,
    /// Price of a reclaimable endpoint as a fraction of the price of one that is not, if the
    /// platform offers them.
    pub reclaimable: Option<f64>,
    /// Price of an endpoint per second in each availability zone.
    pub prices: Vec<(ZoneId, f64)>,
}

/// A service that handles the requests of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Properties of its engines, if its endpoints are model engines.
    pub engine: Option<EngineSpec>,
    /// What its endpoints accept after their start, if they are to be spared then.
    pub cold: Option<ColdSpec>,
    /// Limits and prices for ordering endpoints, if they can be ordered.
    pub scaling: Option<Scaling>,
}

/// The owner of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Rank of its requests, which overrides that of the route.
    pub rank: Option<u8>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle: Duration,
}

/// The routes, services and keys of a configuration document, indexed for lookup.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Revision of the document.
    pub revision: u64,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Whether callers need keys.
    requires_keys: bool,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<ServiceId, Arc<Service>>,
    keys: HashMap<String, Arc<Caller>>,
    /// The sorted pairs of caller rank and route rank that can occur.
    ranks: Vec<(u8, u8)>,
}

/// The content of a configuration document from which a [`RouteTable`] is built.
#[derive(Clone, Debug)]
pub struct RouteTableConfig {
    /// Revision of the document.
    pub revision: u64,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The keys and their owners, or `None` if callers need no keys.
    pub keys: Option<Vec<(String, Caller)>>,
}

/// An inconsistency in a configuration document.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
pub enum TableError {
    /// A route names a service that does not exist.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same host and path prefix.
    #[display("route {route} has the host and prefix of another one")]
    DuplicatePrefix {
        /// The second route.
        route: RouteId,
    },
    /// The weights of a route's targets add up to zero.
    #[display("the weights of route {route} add up to 0")]
    ZeroWeight {
        /// The route.
        route: RouteId,
    },
    /// A route has a timeout of zero.
    #[display("route {route} has a timeout of 0")]
    ZeroTimeout {
        /// The route.
        route: RouteId,
    },
    /// Two workspaces have the same key.
    #[display("workspace {workspace} has a key of another one")]
    DuplicateKey {
        /// The second workspace.
        workspace: WorkspaceId,
    },
}

impl RouteTable {
    /// Validates the configuration and builds the table.
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

    /// Returns the urgency of a request at an engine: 0 for the most urgent, always below
    /// [`URGENCY_LEVELS`].
    ///
    /// The caller's rank takes precedence. Among requests with equal caller ranks the route
    /// decides, so that an engine that must preempt a request takes the least urgent kind.
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

    /// Returns the route of a host with the longest prefix that matches the path.
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

    /// Returns the owner of a key.
    pub fn caller(&self, key: &str) -> Option<&Arc<Caller>> {
        self.keys.get(key)
    }

    /// Returns the keys with their owners in no particular order.
    pub(crate) fn keys(&self) -> impl Iterator<Item = (&str, &Caller)> {
        let keys = self.keys.iter();
        keys.map(|(key, caller)| (key.as_str(), caller.as_ref()))
    }

    /// Returns whether requests on a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.open
    }

    /// Returns the service with this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// Returns the services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
