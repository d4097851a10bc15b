//! The immutable view of all rules at one version.
//!
//! Readers share an [`Arc`] of it. It changes only by a [`Transaction`] that is validated and
//! committed whole, so that no reader sees half a change (`docs/design.md`, section 7).

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use imbl::HashMap;
use imbl::OrdMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelId;
use crate::ids::WorkspaceId;
use crate::rules::Class;
use crate::rules::Document;
use crate::rules::Endpoint;
use crate::rules::Key;
use crate::rules::KeyHash;
use crate::rules::Limit;
use crate::rules::Route;
use crate::rules::Rule;
use crate::rules::RuleBody;
use crate::rules::RuleKey;
use crate::rules::RuleKind;
use crate::rules::Scope;
use crate::rules::Target;
use crate::rules::Workspace;

/// Number of committed changes that led to a view.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Adds a rule or replaces the one of the same identity.
    Set(Rule),
    /// Removes a rule.
    Remove(RuleKey),
}

/// All rules at one version, with the indexes that a request needs.
#[derive(Clone, Debug, Default)]
pub struct View {
    version: Version,
    rules: OrdMap<RuleKey, Arc<Rule>>,
    keys: HashMap<KeyHash, Key>,
    workspaces: HashMap<WorkspaceId, Workspace>,
    classes: HashMap<String, Arc<Class>>,
    routes: HashMap<String, Arc<Route>>,
    limits: HashMap<WorkspaceId, Limit>,
    endpoints: OrdMap<String, Arc<Endpoint>>,
    candidates: HashMap<String, Vec<Arc<Endpoint>>>,
    models: HashMap<ModelId, Vec<Arc<Route>>>,
    paths: Vec<(String, Arc<Route>)>,
    document: Option<Arc<Document>>,
}

impl View {
    /// Returns the version of this view.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns every rule in the order of its identity.
    pub fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.rules.values().map(Arc::as_ref)
    }

    /// Returns the rule with this identity.
    pub fn rule(&self, key: &RuleKey) -> Option<&Rule> {
        self.rules.get(key).map(Arc::as_ref)
    }

    /// Returns the key with this hash, unless it was withdrawn.
    pub fn key(&self, hash: &KeyHash) -> Option<&Key> {
        self.keys.get(hash)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, id: &str) -> Option<&Workspace> {
        self.workspaces.get(id)
    }

    /// Returns every workspace in no particular order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Returns the class with this name.
    pub fn class(&self, id: &str) -> Option<&Arc<Class>> {
        self.classes.get(id)
    }

    /// Returns every class in no particular order.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.values().map(Arc::as_ref)
    }

    /// Returns the route with this name.
    pub fn route(&self, id: &str) -> Option<&Arc<Route>> {
        self.routes.get(id)
    }

    /// Returns every route in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().map(Arc::as_ref)
    }

    /// Returns the configuration document, unless there is none yet.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the limit of a workspace.
    pub fn limit(&self, workspace: &str) -> Option<&Limit> {
        self.limits.get(workspace)
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Returns every endpoint in the order of its name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a route that can serve the model.
    pub fn candidates<'a>(
        &'a self,
        route: &Route,
        model: Option<&'a ModelId>,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.candidates
            .get(route.id.as_str())
            .into_iter()
            .flatten()
            .filter(move |e| model.is_none_or(|m| e.models.contains(m)))
    }

    /// Returns the routes for a model that the workspace may use.
    pub fn model_routes<'a>(
        &'a self,
        model: &str,
        workspace: Option<&'a WorkspaceId>,
    ) -> impl Iterator<Item = &'a Arc<Route>> {
        self.models
            .get(model)
            .into_iter()
            .flatten()
            .filter(move |r| scope_allows(&r.scope, workspace))
    }

    /// Returns the models that the workspace may use, sorted by name.
    pub fn models(&self, workspace: Option<&WorkspaceId>) -> Vec<ModelId> {
        let mut models: Vec<_> = self
            .models
            .iter()
            .filter(|(_, routes)| routes.iter().any(|r| scope_allows(&r.scope, workspace)))
            .map(|(model, _)| model.clone())
            .collect();
        models.sort();
        models
    }

    /// Returns the service routes for a path, the longest prefix first, whoever may use them.
    pub fn path_routes<'a>(&'a self, path: &'a str) -> impl Iterator<Item = &'a Arc<Route>> {
        self.paths
            .iter()
            .filter(move |(prefix, _)| matches_prefix(prefix, path))
            .map(|(_, route)| route)
    }

    /// Starts a change of this view.
    pub fn transaction(&self) -> Transaction<'_> {
        Transaction {
            base: self,
            rules: self.rules.clone(),
            changed: BTreeSet::new(),
        }
    }
}

/// Tells whether the workspace, or a caller without a key, may use a route of this scope.
pub fn scope_allows(scope: &Scope, workspace: Option<&WorkspaceId>) -> bool {
    match (scope, workspace) {
        (Scope::Open(_), _) => true,
        (Scope::AnyKey, workspace) => workspace.is_some(),
        (Scope::Workspaces(list), Some(workspace)) => list.contains(workspace),
        (Scope::Workspaces(_), None) => false,
    }
}

fn matches_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| {
        rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
    })
}

/// A reference in the rules that leads nowhere, or a clash between rules.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ViewError {
    /// A rule names another rule that does not exist.
    #[display("{rule} names {missing}, which does not exist")]
    Missing {
        /// The rule that refers.
        rule: RuleKey,
        /// What it refers to.
        missing: RuleKey,
    },
    /// Two keys have the same hash.
    #[display("{rule} has the same hash as {other}")]
    DuplicateHash {
        /// The second key.
        rule: RuleKey,
        /// The first key.
        other: RuleKey,
    },
    /// A removed rule does not exist.
    #[display("{rule} cannot be removed because it does not exist")]
    NotFound {
        /// The rule.
        rule: RuleKey,
    },
}

/// A change under construction; nothing is visible until it is committed.
#[derive(Debug)]
pub struct Transaction<'a> {
    base: &'a View,
    rules: OrdMap<RuleKey, Arc<Rule>>,
    changed: BTreeSet<RuleKey>,
}

impl Transaction<'_> {
    /// Applies one edit to the change.
    pub fn edit(&mut self, edit: &Edit) -> Result<(), ViewError> {
        let key = match edit {
            Edit::Set(rule) => {
                self.rules.insert(rule.key.clone(), Arc::new(rule.clone()));
                &rule.key
            }
            Edit::Remove(key) => {
                self.rules
                    .remove(key)
                    .ok_or_else(|| ViewError::NotFound { rule: key.clone() })?;
                key
            }
        };
        self.changed.insert(key.clone());
        Ok(())
    }

    /// Validates the change as a whole and returns the next view.
    pub fn commit(self) -> Result<Arc<View>, ViewError> {
        let version = Version(self.base.version.0 + 1);
        self.commit_with_version(version)
    }

    /// Validates the change and returns the view under a version that the replicated state assigned.
    ///
    /// The maps share their unchanged parts with the base, so that the cost follows the change and
    /// not the number of rules: 31,000 changes a day reach every instance.
    pub fn commit_with_version(self, version: Version) -> Result<Arc<View>, ViewError> {
        let mut view = self.base.clone();
        view.version = version;
        view.rules = self.rules;
        for key in &self.changed {
            if let Some(old) = self.base.rules.get(key) {
                view.unindex(old);
            }
        }
        for key in &self.changed {
            if let Some(new) = view.rules.get(key).cloned() {
                view.index(&new)?;
            }
        }
        view.validate(&self.changed)?;
        if self.changed.iter().any(|key| affects_routing(key.kind)) {
            view.rebuild_routing();
        }
        Ok(Arc::new(view))
    }
}

/// Tells whether rules of this kind decide which endpoints a request may use.
fn affects_routing(kind: RuleKind) -> bool {
    matches!(kind, RuleKind::Route | RuleKind::Endpoint)
}

impl View {
    fn unindex(&mut self, rule: &Rule) {
        match &rule.body {
            RuleBody::Workspace(w) => {
                self.workspaces.remove(&w.id);
            }
            RuleBody::Key(k) => {
                self.keys.remove(&k.hash);
            }
            RuleBody::Class(_) => {
                self.classes.remove(&rule.key.name);
            }
            RuleBody::Route(_) => {
                self.routes.remove(&rule.key.name);
            }
            RuleBody::Limit(l) => {
                self.limits.remove(&l.workspace);
            }
            RuleBody::Endpoint(_) => {
                self.endpoints.remove(&rule.key.name);
            }
            RuleBody::Document(_) => self.document = None,
        }
    }

    fn index(&mut self, rule: &Rule) -> Result<(), ViewError> {
        let name = rule.key.name.clone();
        match &rule.body {
            RuleBody::Workspace(w) => {
                self.workspaces.insert(w.id.clone(), w.clone());
            }
            RuleBody::Key(k) => {
                if let Some(other) = self.keys.insert(k.hash, k.clone()) {
                    return Err(ViewError::DuplicateHash {
                        rule: rule.key.clone(),
                        other: rule_key(RuleKind::Key, other.id.as_str()),
                    });
                }
            }
            RuleBody::Class(c) => {
                self.classes.insert(name, Arc::new(c.clone()));
            }
            RuleBody::Route(r) => {
                self.routes.insert(name, Arc::new(r.clone()));
            }
            RuleBody::Limit(l) => {
                self.limits.insert(l.workspace.clone(), l.clone());
            }
            RuleBody::Endpoint(e) => {
                self.endpoints.insert(name, Arc::new(e.clone()));
            }
            RuleBody::Document(d) => self.document = Some(Arc::new(d.clone())),
        }
        Ok(())
    }

    /// Checks the references of changed rules, and of all rules if one that they may name is gone.
    fn validate(&self, changed: &BTreeSet<RuleKey>) -> Result<(), ViewError> {
        let is_missing = |key: &RuleKey| is_referenced(key.kind) && !self.rules.contains_key(key);
        if changed.iter().any(is_missing) {
            return self.rules.values().try_for_each(|rule| self.check(rule));
        }
        changed
            .iter()
            .filter_map(|key| self.rules.get(key))
            .try_for_each(|rule| self.check(rule))
    }

    fn check(&self, rule: &Rule) -> Result<(), ViewError> {
        for missing in references(&rule.body) {
            if !self.rules.contains_key(&missing) {
                return Err(ViewError::Missing {
                    rule: rule.key.clone(),
                    missing,
                });
            }
        }
        Ok(())
    }

    fn rebuild_routing(&mut self) {
        self.candidates.clear();
        self.models.clear();
        self.paths.clear();
        let mut routes: Vec<_> = self.routes.values().cloned().collect();
        routes.sort_by(|a, b| a.id.cmp(&b.id));
        for route in routes {
            let candidates = self
                .endpoints
                .values()
                .filter(|e| {
                    let name = e.id.as_str();
                    route.endpoints.iter().any(|p| matches_name(p, name))
                })
                .cloned()
                .collect();
            self.candidates.insert(route.id.to_string(), candidates);
            match &route.target {
                Target::Model(model) => {
                    self.models.entry(model.clone()).or_default().push(route);
                }
                Target::Path { prefix, .. } => self.paths.push((prefix.clone(), route)),
            }
        }
        self.paths
            .sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
    }
}

/// Tells whether other rules name rules of this kind.
fn is_referenced(kind: RuleKind) -> bool {
    matches!(kind, RuleKind::Workspace | RuleKind::Class)
}

/// Returns the rules that a rule names.
pub(crate) fn references(body: &RuleBody) -> Vec<RuleKey> {
    let workspace = |id: &WorkspaceId| rule_key(RuleKind::Workspace, id.as_str());
    match body {
        RuleBody::Key(k) => vec![workspace(&k.workspace)],
        RuleBody::Limit(l) => vec![workspace(&l.workspace)],
        RuleBody::Route(r) => {
            let mut keys = match &r.scope {
                Scope::Workspaces(list) => list.iter().map(workspace).collect(),
                Scope::Open(owner) => vec![workspace(owner)],
                Scope::AnyKey => Vec::new(),
            };
            keys.push(rule_key(RuleKind::Class, r.class.as_str()));
            keys
        }
        RuleBody::Workspace(_)
        | RuleBody::Class(_)
        | RuleBody::Endpoint(_)
        | RuleBody::Document(_) => Vec::new(),
    }
}

fn rule_key(kind: RuleKind, name: &str) -> RuleKey {
    RuleKey {
        kind,
        name: name.to_owned(),
    }
}

/// Tells whether a name matches a pattern, which may end in `*`.
pub(crate) fn matches_name(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => name == pattern,
    }
}
