//! Check of a configuration before it is sent: errors, entries without effect, limits that contradict each other,
//! and what differs from another version.
//!
//! Input are the text of a rules file, or the parsed entries of a configuration document with their positions.
//! Output are findings with their line or field and a summary of differences by subject, from which operators'
//! tools print their reports (`docs/OPERATIONS.md`). The modules are pure and depend on the rules, the view and the
//! route table only; no instance runs them, so that a warning never keeps a configuration from taking effect.

use derive_more::Display;
use serde::Serialize;

mod difference;
mod entries;
mod rules;

pub use difference::Difference;
pub use difference::rule_differences;
pub use difference::table_differences;
pub use entries::Entries;
pub use entries::Indexed;
pub use entries::LimitField;
pub use entries::RouteField;
pub use entries::ServiceField;
pub use entries::Subject;
pub use entries::SubjectFinding;
pub use entries::WorkspaceEntry;
pub use entries::check_entries;
pub use rules::check_rules;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The configuration is valid, but the entry has no effect or contradicts another one.
    Warning,
    /// The configuration would be rejected.
    Error,
}

/// Position of a finding.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(untagged)]
pub enum Place {
    /// Position in a rules file; both numbers start at 1, and columns count characters.
    #[display("line {line}, column {column}")]
    Line {
        /// Line number.
        line: usize,
        /// Column.
        column: usize,
    },
    /// Path of a field in a document, such as `routes[3].timeout`.
    #[display("{field}")]
    Field {
        /// The path.
        field: String,
    },
}

/// An error or a warning about an entry of a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{place}: {severity}: {message}; {suggestion}")]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Position of the entry.
    #[serde(flatten)]
    pub place: Place,
    /// Description. It never contains a key.
    pub message: String,
    /// Suggestion for its correction.
    pub suggestion: String,
}

/// Returns the most serious severity, or `None` if there are no findings.
pub fn worst(findings: &[Finding]) -> Option<Severity> {
    findings.iter().map(|finding| finding.severity).max()
}
