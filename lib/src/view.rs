//! An immutable view of all rules at one version.
//!
//! Readers share it through an [`Arc`]. It changes only by a [`Transaction`], which is validated
//! and committed as a whole, so that no reader sees a partial change (`docs/design.md`, section 7).

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
use crate::ids::ZoneId;
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

/// Version of a view: the number of changes committed so far.
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

/// A single edit within a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Adds a rule, or replaces the rule with the same key.
    Set(Rule),
    /// Removes a rule.
    Remove(RuleKey),
}

/// All rules at one version, with the indexes for lookups by requests.
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
    evacuated: Arc<BTreeSet<ZoneId>>,
}

impl View {
    /// Returns the version of this view.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns all rules, ordered by key.
    pub fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.rules.values().map(Arc::as_ref)
    }

    /// Returns the rule with this key.
    pub fn rule(&self, key: &RuleKey) -> Option<&Rule> {
        self.rules.get(key).map(Arc::as_ref)
    }

    /// Returns the API key with this hash, unless it was revoked.
    pub fn key(&self, hash: &KeyHash) -> Option<&Key> {
        self.keys.get(hash)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, id: &str) -> Option<&Workspace> {
        self.workspaces.get(id)
    }

    /// Returns all workspaces in no particular order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Returns the class with this name.
    pub fn class(&self, id: &str) -> Option<&Arc<Class>> {
        self.classes.get(id)
    }

    /// Returns all classes in no particular order.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.values().map(Arc::as_ref)
    }

    /// Returns the route with this name.
    pub fn route(&self, id: &str) -> Option<&Arc<Route>> {
        self.routes.get(id)
    }

    /// Returns all routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().map(Arc::as_ref)
    }

    /// Returns the configuration document, if there is one.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the evacuated zones. Views between which they did not change share the set.
    pub fn evacuated_zones(&self) -> &Arc<BTreeSet<ZoneId>> {
        &self.evacuated
    }

    /// Returns the limit of a workspace.
    pub fn limit(&self, workspace: &str) -> Option<&Limit> {
        self.limits.get(workspace)
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints, ordered by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a route outside evacuated zones that serve the model, or all of them if `model` is
    /// `None`.
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

    /// Returns the service routes whose prefix matches a path, the longest prefix first, regardless
    /// of their scope.
    pub fn path_routes<'a>(&'a self, path: &'a str) -> impl Iterator<Item = &'a Arc<Route>> {
        self.paths
            .iter()
            .filter(move |(prefix, _)| matches_prefix(prefix, path))
            .map(|(_, route)| route)
    }

    /// Starts a transaction based on this view.
    pub fn transaction(&self) -> Transaction<'_> {
        Transaction {
            base: self,
            rules: self.rules.clone(),
            changed: BTreeSet::new(),
        }
    }
}

/// Returns whether a workspace, or a caller without a key if it is `None`, may use a route of this
/// scope.
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

/// An error in a change to the rules.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ViewError {
    /// A rule refers to a rule that does not exist.
    #[display("{rule} names {missing}, which does not exist")]
    Missing {
        /// The rule with the reference.
        rule: RuleKey,
        /// The rule that does not exist.
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
    /// The rule to remove does not exist.
    #[display("{rule} cannot be removed because it does not exist")]
    NotFound {
        /// The rule.
        rule: RuleKey,
    },
}

/// A set of edits that becomes visible only when it is committed.
#[derive(Debug)]
pub struct Transaction<'a> {
    base: &'a View,
    rules: OrdMap<RuleKey, Arc<Rule>>,
    changed: BTreeSet<RuleKey>,
}

impl Transaction<'_> {
    /// Adds an edit to the transaction.
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

    /// Validates the edits as a whole and returns the next view.
    pub fn commit(self) -> Result<Arc<View>, ViewError> {
        let version = Version(self.base.version.0 + 1);
        self.commit_with_version(version)
    }

    /// Validates the edits and returns the view with a version assigned by the replicated state.
    ///
    /// The maps share their unchanged parts with the base view, so that the cost depends on the
    /// size of the change and not on the number of rules: every instance applies 31,000 changes a
    /// day.
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

/// Returns whether rules of this kind determine which endpoints a request may use.
fn affects_routing(kind: RuleKind) -> bool {
    matches!(
        kind,
        RuleKind::Route | RuleKind::Endpoint | RuleKind::Evacuation
    )
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
            RuleBody::Evacuation(zone) => {
                Arc::make_mut(&mut self.evacuated).remove(zone);
            }
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
            RuleBody::Evacuation(zone) => {
                Arc::make_mut(&mut self.evacuated).insert(zone.clone());
            }
        }
        Ok(())
    }

    /// Checks the references of the changed rules, or of all rules if a change removed one that may
    /// be referenced.
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
                .filter(|e| !self.evacuated.contains(&e.zone))
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

/// Returns whether other rules may refer to rules of this kind.
fn is_referenced(kind: RuleKind) -> bool {
    matches!(kind, RuleKind::Workspace | RuleKind::Class)
}

/// Returns the keys of the rules that a rule refers to.
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
        | RuleBody::Document(_)
        | RuleBody::Evacuation(_) => Vec::new(),
    }
}

fn rule_key(kind: RuleKind, name: &str) -> RuleKey {
    RuleKey {
        kind,
        name: name.to_owned(),
    }
}

/// Returns whether a name matches a pattern, which may end in `*`.
pub(crate) fn matches_name(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => name == pattern,
    }
}
