//! Check of a rules file: its errors, and rules that have no effect or contradict each other.
//!
//! Load: rules files of thousands of lines that several teams edit, in which a route that is never chosen or a
//! limit that never binds looks like a working one until requests are counted.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_check::Finding;
use crate::config_check::Place;
use crate::config_check::Severity;
use crate::rule_check;
use crate::rule_check::Lines;
use crate::rule_check::NumberedRule;
use crate::rules::Class;
use crate::rules::Endpoint;
use crate::rules::Limit;
use crate::rules::Route;
use crate::rules::RuleBody;
use crate::rules::RuleError;
use crate::rules::Scope;
use crate::rules::Target;
use crate::view;
use crate::view::View;

/// Returns all errors and warnings of a rules file in the order of its lines, and its view if it has no errors.
///
/// What a line with an error of form defines or mentions counts as defined and used, so that one mistake is not
/// reported once more at each rule that refers to the line.
pub fn check_rules(text: &str) -> (Option<Arc<View>>, Vec<Finding>) {
    let (view, errors) = match rule_check::check(text) {
        Ok(view) => (Some(view), Vec::new()),
        Err(errors) => (None, errors),
    };
    let lines = rule_check::parse_lines(text);
    let mut checker = Checker::new(&lines);
    checker.run();
    let errors = errors.into_iter().map(|e| finding(Severity::Error, e));
    let warnings = checker.warnings.into_iter();
    let mut findings: Vec<_> = errors
        .chain(warnings.map(|w| finding(Severity::Warning, w)))
        .collect();
    findings.sort_by(|a, b| a.place.cmp(&b.place));
    (view, findings)
}

fn finding(severity: Severity, error: RuleError) -> Finding {
    Finding {
        severity,
        place: Place::Line {
            line: error.line,
            column: error.column,
        },
        message: error.message,
        suggestion: error.suggestion,
    }
}

/// A rule with its content.
struct Item<'a, T> {
    line: &'a NumberedRule<'a>,
    body: &'a T,
}

struct Checker<'a> {
    lines: &'a Lines<'a>,
    classes: Vec<Item<'a, Class>>,
    routes: Vec<Item<'a, Route>>,
    limits: Vec<Item<'a, Limit>>,
    endpoints: Vec<Item<'a, Endpoint>>,
    warnings: Vec<RuleError>,
}

impl<'a> Checker<'a> {
    fn new(lines: &'a Lines<'a>) -> Self {
        let mut checker = Self {
            lines,
            classes: Vec::new(),
            routes: Vec::new(),
            limits: Vec::new(),
            endpoints: Vec::new(),
            warnings: Vec::new(),
        };
        for line in &lines.rules {
            match &line.rule.body {
                RuleBody::Class(body) => checker.classes.push(Item { line, body }),
                RuleBody::Route(body) => checker.routes.push(Item { line, body }),
                RuleBody::Limit(body) => checker.limits.push(Item { line, body }),
                RuleBody::Endpoint(body) => checker.endpoints.push(Item { line, body }),
                _ => {}
            }
        }
        // Routes of equal targets are tried in the order of their names.
        checker.routes.sort_by(|a, b| a.body.id.cmp(&b.body.id));
        checker
    }

    fn run(&mut self) {
        self.check_classes();
        self.check_routes();
        self.check_hidden_routes();
        self.check_endpoints();
        self.check_workspaces();
        self.check_limits();
    }

    fn warn(&mut self, line: &NumberedRule<'_>, word: &str, message: String, suggestion: &str) {
        let warning = line.error(word, message, suggestion.to_owned());
        self.warnings.push(warning);
    }

    fn check_classes(&mut self) {
        let used: HashSet<&str> = self.routes.iter().map(|r| r.body.class.as_str()).collect();
        for Item { line, body } in std::mem::take(&mut self.classes) {
            let name = body.id.as_str();
            if !used.contains(name) && !self.lines.mentions(name) {
                let message = format!("no route has the class {name}");
                self.warn(line, name, message, "add a route or remove the class");
            }
            let targets = [("first=", body.first), ("between=", body.between)];
            for (word, target) in targets {
                if let (Some(target), Some(complete)) = (target, body.complete)
                    && target > complete
                {
                    let message = format!(
                        "the target `{word}{target:?}` is above that for the complete response, {complete:?}"
                    );
                    self.warn(line, word, message, "lower it or raise `complete`");
                }
            }
        }
    }

    fn check_routes(&mut self) {
        let mut found = Vec::new();
        for Item { line, body } in &self.routes {
            for (i, pattern) in body.endpoints.iter().enumerate() {
                let earlier = &body.endpoints[..i];
                if let Some(cover) = earlier.iter().find(|e| view::matches_name(e, pattern)) {
                    let message = format!("`{pattern}` is already covered by `{cover}`");
                    found.push((*line, pattern.as_str(), message, "remove it"));
                }
            }
            match &body.target {
                Target::Path { methods, .. } => {
                    for method in methods.iter().filter(|m| is_lowercase(m)) {
                        let message = format!("no request has the method `{method}`");
                        found.push((*line, method, message, "write it in upper case"));
                    }
                }
                Target::Model(model) => {
                    let mut named = self.endpoints.iter().filter(|e| names(body, e.body));
                    let serves = |e: &Item<'_, Endpoint>| e.body.models.contains(model);
                    // Without any endpoint the pattern is an error already.
                    let is_unserved = named.clone().count() > 0 && !named.any(serves);
                    if is_unserved && !self.lines.mentions(model.as_str()) {
                        let message = format!("no endpoint of the route serves the model {model}");
                        let suggestion = "correct the model or add it to the endpoints";
                        found.push((*line, model.as_str(), message, suggestion));
                    }
                }
            }
        }
        for (line, word, message, suggestion) in found {
            self.warn(line, word, message, suggestion);
        }
    }

    fn check_hidden_routes(&mut self) {
        let mut found = Vec::new();
        for (i, Item { line, body }) in self.routes.iter().enumerate() {
            let earlier = self.routes[..i].iter();
            let mut hiding = earlier.filter(|other| other.body.id != body.id);
            if let Some(other) = hiding.find(|other| hides(other.body, body)) {
                let message = format!(
                    "the route never matches: route {} on line {} has the same target and class and comes first by name",
                    other.body.id, other.line.number
                );
                found.push((*line, body.id.as_str(), message));
            }
        }
        for (line, word, message) in found {
            self.warn(
                line,
                word,
                message,
                "remove one of them or merge their endpoints",
            );
        }
    }

    fn check_endpoints(&mut self) {
        let mut addresses: HashMap<SocketAddr, usize> = HashMap::new();
        for Item { line, body } in std::mem::take(&mut self.endpoints) {
            let name = body.id.as_str();
            let is_used = self.routes.iter().any(|r| {
                let serves = match &r.body.target {
                    Target::Model(model) => body.models.contains(model),
                    Target::Path { .. } => true,
                };
                serves && names(r.body, body)
            });
            if !is_used && !self.lines.mentions(name) {
                let message = format!("no route uses the endpoint {name}");
                self.warn(line, name, message, "add it to a route or remove it");
            }
            if let Some(first) = addresses.insert(body.address, line.number) {
                let message = format!("the endpoint on line {first} has the same address");
                self.warn(line, "address=", message, "correct one of the addresses");
            }
        }
    }

    fn check_workspaces(&mut self) {
        let mut with_keys = HashSet::new();
        for line in &self.lines.rules {
            let RuleBody::Key(key) = &line.rule.body else {
                continue;
            };
            let workspace = &key.workspace;
            with_keys.insert(workspace.as_str());
            let admits = |r: &Item<'_, Route>| match &r.body.scope {
                Scope::Workspaces(list) => list.contains(workspace),
                Scope::AnyKey => true,
                Scope::Open(owner) => owner == workspace,
            };
            let is_admitted = self.routes.iter().any(admits);
            // A workspace that does not exist is an error already.
            let exists = self
                .lines
                .rules
                .iter()
                .any(|l| matches!(&l.rule.body, RuleBody::Workspace(w) if w.id == *workspace));
            if exists && !is_admitted && !self.lines.broken_route_admits(workspace.as_str()) {
                let message = format!("no route admits the workspace {workspace} of the key");
                let suggestion = "add the workspace to a route or remove the key";
                self.warn(line, workspace.as_str(), message, suggestion);
            }
        }
        for line in &self.lines.rules {
            let RuleBody::Workspace(workspace) = &line.rule.body else {
                continue;
            };
            let name = workspace.id.as_str();
            let owns =
                |r: &Item<'_, Route>| matches!(&r.body.scope, Scope::Open(o) if o.as_str() == name);
            let is_used = with_keys.contains(name) || self.routes.iter().any(owns);
            if !is_used && !self.lines.mentions(name) {
                let message = format!("the workspace {name} has neither a key nor an open route");
                self.warn(line, name, message, "create a key with `fulmarctl key new`");
            }
        }
    }

    fn check_limits(&mut self) {
        let endpoints = self.lines.rules.iter().filter_map(|l| match &l.rule.body {
            RuleBody::Endpoint(endpoint) => Some(u64::from(endpoint.slots)),
            _ => None,
        });
        let slots: u64 = endpoints.sum();
        let is_whole = !self.lines.has_broken_endpoint();
        for Item { line, body } in std::mem::take(&mut self.limits) {
            if body.requests.is_none() && body.tokens.is_none() && body.concurrency.is_none() {
                let message = "the limit limits nothing".to_owned();
                let suggestion = "add `requests`, `tokens` or `concurrency`, or remove the line";
                self.warn(line, body.workspace.as_str(), message, suggestion);
            }
            for (word, rate) in [("requests=", body.requests), ("tokens=", body.tokens)] {
                if rate == Some(0.0) {
                    let message = format!("`{word}0/s` refuses every request");
                    self.warn(
                        line,
                        word,
                        message,
                        "raise it, or remove the workspace's keys",
                    );
                }
            }
            if let Some(concurrency) = body.concurrency
                && is_whole
                && slots > 0
                && u64::from(concurrency) > slots
            {
                let message = format!(
                    "the workspace may run {concurrency} requests at once, all endpoints together only {slots}"
                );
                self.warn(line, "concurrency=", message, "lower it or remove it");
            }
        }
    }
}

/// Returns whether the method is one of HTTP's in lower case, which no request has.
fn is_lowercase(method: &str) -> bool {
    method.bytes().any(|b| b.is_ascii_lowercase())
}

/// Returns whether a pattern of the route matches the name of the endpoint.
fn names(route: &Route, endpoint: &Endpoint) -> bool {
    let name = endpoint.id.as_str();
    route.endpoints.iter().any(|p| view::matches_name(p, name))
}

/// Returns whether every request that matches `later` matches `earlier` as well.
///
/// Requests may name a class, so that routes of different classes do not hide each other.
fn hides(earlier: &Route, later: &Route) -> bool {
    let target = match (&earlier.target, &later.target) {
        (Target::Model(a), Target::Model(b)) => a == b,
        (
            Target::Path { prefix, methods },
            Target::Path {
                prefix: later_prefix,
                methods: later_methods,
            },
        ) => {
            let covers = |m: &String| methods.contains(m);
            let all_methods =
                methods.is_empty() || !later_methods.is_empty() && later_methods.iter().all(covers);
            prefix == later_prefix && all_methods
        }
        _ => false,
    };
    let scope = match (&earlier.scope, &later.scope) {
        (Scope::Open(_), _) => true,
        (Scope::AnyKey, scope) => !matches!(scope, Scope::Open(_)),
        (Scope::Workspaces(a), Scope::Workspaces(b)) => b.iter().all(|w| a.contains(w)),
        (Scope::Workspaces(_), _) => false,
    };
    target && scope && earlier.class == later.class
}
