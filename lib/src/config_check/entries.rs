//! Check of the entries of a configuration document across each other, before a route table is built.
//!
//! Load: documents of hundreds of routes that are generated and edited by several teams, of which
//! [`crate::route_table::RouteTable::new`] names the first inconsistency only.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::config_check::Severity;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::route_table::Limits;
use crate::route_table::Route;
use crate::route_table::Service;

/// An entry with its index in its list of the document, of which entries with errors of form are left out.
#[derive(Clone, Debug)]
pub struct Indexed<T> {
    /// The index, starting at 0.
    pub index: usize,
    /// The entry.
    pub entry: T,
}

/// A workspace with its keys.
#[derive(Clone, Debug)]
pub struct WorkspaceEntry {
    /// Its name.
    pub id: WorkspaceId,
    /// Its keys, which no finding contains.
    pub keys: Vec<String>,
}

/// The entries of a document that have the proper form.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    /// The routes.
    pub routes: Vec<Indexed<Route>>,
    /// The services, with the limits of their scaling as written.
    pub services: Vec<Indexed<Service>>,
    /// The workspaces, or `None` if callers need no keys.
    pub workspaces: Option<Vec<Indexed<WorkspaceEntry>>>,
    /// The limits, if they are stated without errors of form.
    pub limits: Option<Limits>,
    /// Names of services whose entries have errors of form, which routes may refer to.
    pub broken_services: HashSet<String>,
    /// Whether a route has errors of form, so that others cannot be said to be the only ones.
    pub has_broken_routes: bool,
}

/// A property of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteField {
    /// Its name.
    Name,
    /// Its path prefix.
    Prefix,
    /// Its timeout.
    Timeout,
    /// Its objective.
    Objective,
    /// Its objective for gaps.
    GapObjective,
    /// Its number of attempts.
    Attempts,
    /// The service of a target, by the target's index.
    TargetService(usize),
    /// The weight of a target, by the target's index.
    TargetWeight(usize),
    /// All its targets.
    Targets,
}

/// A property of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceField {
    /// Its name.
    Name,
    /// Number of requests that an engine runs concurrently.
    Slots,
    /// Capacity of an engine's memory.
    Memory,
    /// Minimum number of endpoints.
    Min,
    /// Maximum number of endpoints.
    Max,
    /// Price of a reclaimable endpoint.
    Reclaimable,
    /// Prices by zone.
    Prices,
}

/// A limit on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitField {
    /// Maximum size of a request head.
    Head,
    /// Maximum size of a body.
    Body,
    /// Time within which a request head must arrive.
    HeadTimeout,
}

/// What a finding is about; the adapter translates it into the path of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A property of a route, by its index.
    Route(usize, RouteField),
    /// A property of a service, by its index.
    Service(usize, ServiceField),
    /// A key, by the indexes of its workspace and of the key.
    Key(usize, usize),
    /// All workspaces.
    Workspaces,
    /// A limit.
    Limit(LimitField),
}

/// A finding about a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubjectFinding {
    /// How serious it is.
    pub severity: Severity,
    /// What it is about.
    pub subject: Subject,
    /// Description.
    pub message: String,
    /// Suggestion for its correction.
    pub suggestion: &'static str,
}

/// Returns all errors and warnings across the entries of a document.
///
/// The errors are those for which [`crate::route_table::RouteTable::new`] rejects the entries.
pub fn check_entries(entries: &Entries) -> Vec<SubjectFinding> {
    let mut checker = Checker {
        entries,
        findings: Vec::new(),
    };
    checker.check_routes();
    checker.check_prefixes();
    checker.check_services();
    checker.check_workspaces();
    checker.check_limits();
    checker.findings
}

struct Checker<'a> {
    entries: &'a Entries,
    findings: Vec<SubjectFinding>,
}

impl Checker<'_> {
    fn add(&mut self, severity: Severity, subject: Subject, message: String, fix: &'static str) {
        self.findings.push(SubjectFinding {
            severity,
            subject,
            message,
            suggestion: fix,
        });
    }

    fn error(&mut self, subject: Subject, message: String, fix: &'static str) {
        self.add(Severity::Error, subject, message, fix);
    }

    fn warn(&mut self, subject: Subject, message: String, fix: &'static str) {
        self.add(Severity::Warning, subject, message, fix);
    }

    fn check_routes(&mut self) {
        let services: HashSet<&str> = self
            .entries
            .services
            .iter()
            .map(|s| s.entry.id.as_str())
            .chain(self.entries.broken_services.iter().map(String::as_str))
            .collect();
        for Indexed { index, entry } in &self.entries.routes {
            let at = |field| Subject::Route(*index, field);
            let name = &entry.id;
            self.check_times(*index, entry);
            if entry.attempts == 0 {
                let message = format!("route {name} has 0 attempts and is tried once all the same");
                self.warn(at(RouteField::Attempts), message, "write 1 or more");
            }
            if entry.targets.iter().all(|target| target.weight == 0) {
                let message = format!("the weights of route {name} add up to 0");
                let fix = "name a service, or raise a weight above 0";
                self.error(at(RouteField::Targets), message, fix);
                continue;
            }
            for (number, target) in entry.targets.iter().enumerate() {
                let service = &target.service;
                if !services.contains(service.as_str()) {
                    let message = format!("route {name} names the unknown service {service}");
                    let subject = at(RouteField::TargetService(number));
                    self.error(subject, message, "correct the name or add the service");
                }
                if target.weight == 0 {
                    let message = format!("route {name} sends nothing to the service {service}");
                    let subject = at(RouteField::TargetWeight(number));
                    self.warn(subject, message, "raise the weight or remove the target");
                }
                let earlier = &entry.targets[..number];
                if earlier.iter().any(|other| other.service == *service) {
                    let message = format!("route {name} names the service {service} twice");
                    let subject = at(RouteField::TargetService(number));
                    self.warn(subject, message, "add the weights in one target");
                }
            }
        }
    }

    fn check_times(&mut self, index: usize, route: &Route) {
        let at = |field| Subject::Route(index, field);
        let name = &route.id;
        if route.timeout.is_zero() {
            let message = format!("route {name} has a timeout of 0");
            self.error(at(RouteField::Timeout), message, "raise it");
            return;
        }
        if route.objective > route.timeout {
            let message = format!(
                "the timeout of route {name}, {:?}, is shorter than its objective, {:?}",
                route.timeout, route.objective
            );
            self.warn(
                at(RouteField::Objective),
                message,
                "lower it or raise the timeout",
            );
        }
        if route.objective.is_zero() {
            let message = format!("no answer of route {name} is within an objective of 0");
            self.warn(at(RouteField::Objective), message, "raise it");
        }
        match route.gap_objective {
            Some(_) if !route.retry_policy.is_stream() => {
                let message = format!("route {name} has an objective for gaps but no streams");
                let fix = "remove it or make the route a streaming one";
                self.warn(at(RouteField::GapObjective), message, fix);
            }
            Some(gap) if gap > route.timeout => {
                let message = format!(
                    "the timeout of route {name}, {:?}, is shorter than its objective for gaps, {gap:?}",
                    route.timeout
                );
                self.warn(
                    at(RouteField::GapObjective),
                    message,
                    "lower it or raise the timeout",
                );
            }
            _ => {}
        }
    }

    /// Reports routes with the same name or prefix, and prefixes that match no path.
    fn check_prefixes(&mut self) {
        let mut prefixes: HashMap<(String, &str), &str> = HashMap::new();
        let mut names: HashSet<&str> = HashSet::new();
        for Indexed { index, entry } in &self.entries.routes {
            let at = |field| Subject::Route(*index, field);
            let name = entry.id.as_str();
            if !names.insert(name) {
                let message = format!("another route has the name {name}");
                let fix = "choose another name, by which logs tell them apart";
                self.warn(at(RouteField::Name), message, fix);
            }
            let place = (entry.host.to_lowercase(), entry.prefix.as_str());
            if let Some(first) = prefixes.insert(place, name) {
                let message = format!(
                    "the route never matches: route {first} has the same host and path prefix"
                );
                self.error(
                    at(RouteField::Prefix),
                    message,
                    "remove one or change its prefix",
                );
            }
            if !entry.prefix.starts_with('/') || !entry.prefix.ends_with('/') {
                let message = format!("no path matches the prefix `{}`", entry.prefix);
                let fix = "begin and end it with a slash";
                self.warn(at(RouteField::Prefix), message, fix);
            }
        }
    }

    fn check_services(&mut self) {
        let targets = self.entries.routes.iter().flat_map(|r| &r.entry.targets);
        let used: HashSet<&ServiceId> = targets
            .filter(|target| target.weight > 0)
            .map(|target| &target.service)
            .collect();
        let mut names = HashSet::new();
        for Indexed { index, entry } in &self.entries.services {
            let at = |field| Subject::Service(*index, field);
            let name = &entry.id;
            if !names.insert(name) {
                let message = format!("the service {name} replaces an earlier one of its name");
                self.warn(at(ServiceField::Name), message, "remove one of them");
            } else if !used.contains(name) && !self.entries.has_broken_routes {
                let message = format!("no route sends requests to the service {name}");
                self.warn(
                    at(ServiceField::Name),
                    message,
                    "add a route or remove the service",
                );
            }
            if let Some(engine) = &entry.engine {
                if engine.slots == 0 {
                    let message = format!("the engines of service {name} have no slots");
                    self.warn(at(ServiceField::Slots), message, "write 1 or more");
                }
                if engine.memory == 0 {
                    let message = format!("the engines of service {name} have no memory");
                    self.warn(
                        at(ServiceField::Memory),
                        message,
                        "write the number of tokens",
                    );
                }
            }
            self.check_scaling(*index, entry);
        }
    }

    fn check_scaling(&mut self, index: usize, service: &Service) {
        let at = |field| Subject::Service(index, field);
        let Some(scaling) = &service.scaling else {
            return;
        };
        let name = &service.id;
        if scaling.max == 0 {
            let message = format!("no endpoint of service {name} can be ordered");
            self.warn(at(ServiceField::Max), message, "raise the maximum above 0");
        } else if scaling.min > scaling.max {
            let message = format!(
                "service {name} has a minimum of {} endpoints and a maximum of {}",
                scaling.min, scaling.max
            );
            self.warn(
                at(ServiceField::Min),
                message,
                "lower the minimum; the maximum holds",
            );
        }
        if scaling
            .reclaimable
            .is_some_and(|price| !(0.0..1.0).contains(&price))
        {
            let message = format!("reclaimable endpoints of service {name} are not cheaper");
            let fix = "write a fraction of the price of the others, below 1";
            self.warn(at(ServiceField::Reclaimable), message, fix);
        }
        if let Some((zone, _)) = scaling.prices.iter().find(|(_, price)| *price < 0.0) {
            let message = format!("service {name} has a negative price in zone {zone}");
            self.warn(at(ServiceField::Prices), message, "correct the price");
        }
    }

    fn check_workspaces(&mut self) {
        let Some(workspaces) = &self.entries.workspaces else {
            return;
        };
        let mut owners: HashMap<&str, &WorkspaceId> = HashMap::new();
        for Indexed { index, entry } in workspaces {
            for (number, key) in entry.keys.iter().enumerate() {
                let subject = Subject::Key(*index, number);
                match owners.insert(key, &entry.id) {
                    Some(other) if *other != entry.id => {
                        let message = format!("{} has a key of {other}", entry.id);
                        self.error(subject, message, "create another key");
                    }
                    Some(_) => {
                        let message = format!("{} has this key twice", entry.id);
                        self.warn(subject, message, "remove one of them");
                    }
                    None => {}
                }
            }
        }
        if self.entries.has_broken_routes {
            return;
        }
        let mut routes = self.entries.routes.iter();
        match (owners.is_empty(), routes.clone().all(|r| r.entry.open)) {
            (true, false) => {
                if let Some(route) = routes.find(|r| !r.entry.open) {
                    let message = format!("no key admits requests on route {}", route.entry.id);
                    self.warn(Subject::Workspaces, message, "add a key");
                }
            }
            (false, true) => {
                let message = "no route needs a key".to_owned();
                self.warn(
                    Subject::Workspaces,
                    message,
                    "remove the keys or close a route",
                );
            }
            _ => {}
        }
    }

    fn check_limits(&mut self) {
        let Some(limits) = self.entries.limits else {
            return;
        };
        if limits.max_head_bytes == 0 {
            let message = "every request is refused by a head limit of 0".to_owned();
            self.warn(Subject::Limit(LimitField::Head), message, "raise it");
        }
        if limits.max_head_bytes > limits.body {
            let message = format!(
                "the limit of heads, {} bytes, is above that of bodies, {}",
                limits.max_head_bytes, limits.body
            );
            let fix = "lower it or raise the limit of bodies";
            self.warn(Subject::Limit(LimitField::Body), message, fix);
        }
        if limits.head_timeout.is_zero() {
            let message = "every request is refused by a head timeout of 0".to_owned();
            self.warn(Subject::Limit(LimitField::HeadTimeout), message, "raise it");
        }
        let longest = self.entries.routes.iter().map(|r| r.entry.timeout).max();
        if let Some(longest) = longest
            && limits.head_timeout > longest
            && !self.entries.has_broken_routes
        {
            let message = format!(
                "heads may take {:?}, longer than the timeout of any route, {longest:?}",
                limits.head_timeout
            );
            let fix = "lower it";
            self.warn(Subject::Limit(LimitField::HeadTimeout), message, fix);
        }
    }
}
