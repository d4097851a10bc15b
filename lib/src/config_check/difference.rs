//! Summary of the differences between two versions of a configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde::Serialize;

use crate::route_table::RouteTable;
use crate::rules::RuleKind;
use crate::view::View;

/// The entries of one subject that differ, by name. Keys are counted and never named.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display(
    "{subject}:{}{}{}",
    list(" added", added),
    list(" removed", removed),
    list(" changed", changed)
)]
pub struct Difference {
    /// The subject, such as `routes`.
    pub subject: String,
    /// Entries that only the new version has.
    pub added: Vec<String>,
    /// Entries that only the old version has.
    pub removed: Vec<String>,
    /// Entries whose content differs.
    pub changed: Vec<String>,
}

fn list(title: &str, names: &[String]) -> String {
    match names {
        [] => String::new(),
        _ => format!("{title} {} ({})", names.len(), names.join(", ")),
    }
}

/// Returns the differences between two sets of rules; subjects without any are left out.
pub fn rule_differences(from: &View, to: &View) -> Vec<Difference> {
    let by_kind = |view: &View, kind: RuleKind| -> BTreeMap<String, String> {
        view.rules()
            .filter(|rule| rule.key.kind == kind)
            .map(|rule| (rule.key.name.clone(), rule.line.clone()))
            .collect()
    };
    let subjects = [
        ("routes", RuleKind::Route),
        ("endpoints", RuleKind::Endpoint),
        ("classes", RuleKind::Class),
        ("workspaces", RuleKind::Workspace),
        ("keys", RuleKind::Key),
        ("limits", RuleKind::Limit),
    ];
    let compared = subjects
        .into_iter()
        .map(|(subject, kind)| compare(subject, &by_kind(from, kind), &by_kind(to, kind)));
    compared.flatten().collect()
}

/// Returns the differences between two configuration documents; subjects without any are left out.
pub fn table_differences(from: &RouteTable, to: &RouteTable) -> Vec<Difference> {
    let routes = |table: &RouteTable| -> BTreeMap<_, _> {
        let named = table.routes().map(|r| (r.id.to_string(), r.clone()));
        named.collect()
    };
    let services = |table: &RouteTable| -> BTreeMap<_, _> {
        let named = table.services().map(|s| (s.id.to_string(), s.clone()));
        named.collect()
    };
    let limits = |table: &RouteTable| {
        let limits = &table.limits;
        BTreeMap::from([
            ("head size".to_owned(), format!("{}", limits.max_head_bytes)),
            ("body size".to_owned(), format!("{}", limits.body)),
            (
                "head timeout".to_owned(),
                format!("{:?}", limits.head_timeout),
            ),
            ("idle timeout".to_owned(), format!("{:?}", limits.idle)),
        ])
    };
    let compared = [
        compare("routes", &routes(from), &routes(to)),
        compare("services", &services(from), &services(to)),
        compare("workspaces", &ranks(from), &ranks(to)),
        key_difference(from, to),
        compare("limits", &limits(from), &limits(to)),
    ];
    compared.into_iter().flatten().collect()
}

/// Returns the rank of each workspace with keys.
fn ranks(table: &RouteTable) -> BTreeMap<String, Option<u8>> {
    let owners = table
        .keys()
        .map(|(_, caller)| (caller.workspace.to_string(), caller.rank));
    owners.collect()
}

/// Returns the keys of each workspace.
fn keys(table: &RouteTable) -> BTreeMap<String, BTreeSet<&str>> {
    let mut keys: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for (key, caller) in table.keys() {
        keys.entry(caller.workspace.to_string())
            .or_default()
            .insert(key);
    }
    keys
}

/// Returns the numbers of added and removed keys by workspace.
fn key_difference(from: &RouteTable, to: &RouteTable) -> Option<Difference> {
    let (old, new) = (keys(from), keys(to));
    let difference = Difference {
        subject: "keys".to_owned(),
        added: count_new(&old, &new),
        removed: count_new(&new, &old),
        changed: Vec::new(),
    };
    let is_empty = difference.added.is_empty() && difference.removed.is_empty();
    (!is_empty).then_some(difference)
}

/// Returns the number of keys of each workspace that only the second version has.
fn count_new(
    from: &BTreeMap<String, BTreeSet<&str>>,
    to: &BTreeMap<String, BTreeSet<&str>>,
) -> Vec<String> {
    let counts = to.iter().map(|(name, keys)| {
        let known = from.get(name);
        let is_new = |key: &&&str| known.is_none_or(|known| !known.contains(**key));
        (keys.iter().filter(is_new).count(), name)
    });
    let counts = counts.filter(|(count, _)| *count > 0);
    counts
        .map(|(count, name)| format!("{count} of {name}"))
        .collect()
}

fn compare<T: PartialEq>(
    subject: &str,
    from: &BTreeMap<String, T>,
    to: &BTreeMap<String, T>,
) -> Option<Difference> {
    let missing_in = |other: &BTreeMap<String, T>, of: &BTreeMap<String, T>| {
        let names = of.keys().filter(|name| !other.contains_key(*name));
        names.cloned().collect::<Vec<_>>()
    };
    let differs = |(name, old): &(&String, &T)| to.get(*name).is_some_and(|new| new != *old);
    let difference = Difference {
        subject: subject.to_owned(),
        added: missing_in(from, to),
        removed: missing_in(to, from),
        changed: from
            .iter()
            .filter(differs)
            .map(|(name, _)| name.clone())
            .collect(),
    };
    let lists = [&difference.added, &difference.removed, &difference.changed];
    let is_empty = lists.iter().all(|list| list.is_empty());
    (!is_empty).then_some(difference)
}
