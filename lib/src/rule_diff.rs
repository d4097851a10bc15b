//! Difference between the effective rules and a rules file.
//!
//! A change contains only the rules that differ, so that its size depends on the number of changed
//! rules and not on the number of rules (`docs/design.md`, section 7).

use derive_more::Display;

use crate::rules::Rule;
use crate::view::Edit;
use crate::view::View;

/// A line of a difference, as displayed to operators.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DiffLine {
    /// A new rule, or the new line of a changed rule.
    #[display("+ {_0}")]
    Added(String),
    /// A removed rule, or the old line of a changed rule.
    #[display("- {_0}")]
    Removed(String),
}

/// Returns the edits that transform `from` into `to`, without edits of unchanged rules.
///
/// Rules that are not written as lines are kept, since their absence from a file says nothing.
pub fn edits(from: &View, to: &View) -> Vec<Edit> {
    let removed = from
        .rules()
        .filter(|rule| rule.key.kind.has_lines() && to.rule(&rule.key).is_none())
        .map(|rule| Edit::Remove(rule.key.clone()));
    let set = to
        .rules()
        .filter(|rule| differs(from.rule(&rule.key), rule))
        .map(|rule| Edit::Set(rule.clone()));
    removed.chain(set).collect()
}

/// Returns the difference as lines, with the old line of a changed rule before the new one.
pub fn lines(from: &View, edits: &[Edit]) -> Vec<DiffLine> {
    let mut lines = Vec::new();
    for edit in edits {
        let key = match edit {
            Edit::Set(rule) => &rule.key,
            Edit::Remove(key) => key,
        };
        if let Some(old) = from.rule(key) {
            lines.push(DiffLine::Removed(old.line.clone()));
        }
        if let Edit::Set(rule) = edit {
            lines.push(DiffLine::Added(rule.line.clone()));
        }
    }
    lines
}

fn differs(old: Option<&Rule>, new: &Rule) -> bool {
    old.is_none_or(|old| old.line != new.line)
}
