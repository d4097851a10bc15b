//! Validation of a rules file: syntax, duplicates, references and endpoint patterns.
//!
//! Before a file is submitted, operators see all errors at once, each with its position and a
//! suggestion. `docs/configuration.md` describes the grammar.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::rules;
use crate::rules::KeyHash;
use crate::rules::Rule;
use crate::rules::RuleBody;
use crate::rules::RuleError;
use crate::rules::RuleKey;
use crate::view;
use crate::view::Edit;
use crate::view::View;

/// Parses and validates a rules file. Returns its view, or all errors in the order of the lines.
pub fn check(text: &str) -> Result<Arc<View>, Vec<RuleError>> {
    let mut lines = parse_lines(text);
    let mut errors = std::mem::take(&mut lines.errors);
    find_duplicates(&lines.rules, &mut errors);
    find_missing_references(&lines, &mut errors);
    find_unmatched_patterns(&lines, &mut errors);
    errors.sort_by_key(|e| (e.line, e.column));
    if !errors.is_empty() {
        return Err(errors);
    }
    build(lines.rules).map_err(|error| vec![error])
}

/// The lines of a rules file, parsed one by one.
pub(crate) struct Lines<'a> {
    /// The rules of the lines without errors of form.
    pub(crate) rules: Vec<NumberedRule<'a>>,
    /// The lines with an error of form.
    pub(crate) broken: Vec<&'a str>,
    /// The errors of form.
    pub(crate) errors: Vec<RuleError>,
}

/// Parses each line of a rules file.
pub(crate) fn parse_lines(text: &str) -> Lines<'_> {
    let mut lines = Lines {
        rules: Vec::new(),
        broken: Vec::new(),
        errors: Vec::new(),
    };
    for (number, line) in rules::rule_lines(text) {
        match rules::parse_line(line) {
            Ok(rule) => lines.rules.push(NumberedRule { number, line, rule }),
            Err(mut error) => {
                error.line = number;
                lines.errors.push(error);
                lines.broken.push(line);
            }
        }
    }
    lines
}

impl Lines<'_> {
    /// Returns the names of the rules on lines with an error of form, whose kinds may be misspelt.
    fn broken_names(&self) -> impl Iterator<Item = &str> {
        let names = self
            .broken
            .iter()
            .map(|line| line.split_whitespace().nth(1));
        names.flatten()
    }

    /// Returns whether a line with an error of form mentions a name, also by a pattern.
    pub(crate) fn mentions(&self, name: &str) -> bool {
        let is_separator = |c: char| c.is_whitespace() || c == '=' || c == ',';
        let lines = self.broken.iter().map(|line| match line.split_once('#') {
            Some((rule, _)) => rule,
            None => line,
        });
        lines
            .flat_map(|line| line.split(is_separator))
            .any(|word| word != "*" && view::matches_name(word, name))
    }

    /// Returns whether a line with an error of form may define an endpoint.
    pub(crate) fn has_broken_endpoint(&self) -> bool {
        let others = ["workspace", "key", "class", "route", "limit"];
        let mut kinds = self
            .broken
            .iter()
            .filter_map(|line| line.split_whitespace().next());
        kinds.any(|kind| rules::closest_name(kind, others.into_iter()).is_none())
    }

    /// Returns whether a route line with an error of form may admit the workspace.
    pub(crate) fn broken_route_admits(&self, workspace: &str) -> bool {
        self.mentions(workspace) || self.broken.iter().any(|line| line.contains("workspace=*"))
    }
}

/// A rule with its line and line number.
pub(crate) struct NumberedRule<'a> {
    /// Line number, starting at 1.
    pub(crate) number: usize,
    line: &'a str,
    /// The rule.
    pub(crate) rule: Rule,
}

impl NumberedRule<'_> {
    /// Returns an error at the position of `word` in the line.
    pub(crate) fn error(&self, word: &str, message: String, suggestion: String) -> RuleError {
        let offset = word_offset(self.line, word);
        RuleError {
            line: self.number,
            column: self.line[..offset].chars().count() + 1,
            message,
            suggestion,
        }
    }
}

/// Returns the offset of `word` as a separate word, so that `w` does not match the start of `workspace`.
fn word_offset(line: &str, word: &str) -> usize {
    let is_separator = |c: char| c.is_whitespace() || c == '=' || c == ',';
    line.match_indices(word)
        .find(|(start, _)| {
            let before = line[..*start].chars().next_back();
            let after = line[start + word.len()..].chars().next();
            before.is_none_or(is_separator)
                && (word.ends_with('=') || after.is_none_or(is_separator))
        })
        .map_or(0, |(start, _)| start)
}

/// Reports rules with the same identity and keys with the same hash.
fn find_duplicates(numbered: &[NumberedRule<'_>], errors: &mut Vec<RuleError>) {
    let mut names: HashMap<&RuleKey, usize> = HashMap::new();
    let mut hashes: HashMap<KeyHash, usize> = HashMap::new();
    for item in numbered {
        if let Some(first) = names.insert(&item.rule.key, item.number) {
            errors.push(item.error(
                &item.rule.key.name,
                format!("{} is already defined on line {first}", item.rule.key),
                "remove one of the lines or choose another name".to_owned(),
            ));
        }
        if let RuleBody::Key(key) = &item.rule.body
            && let Some(first) = hashes.insert(key.hash, item.number)
        {
            errors.push(item.error(
                "hash=",
                format!("the key on line {first} has the same hash"),
                "create a new key with `fulmarctl key new`".to_owned(),
            ));
        }
    }
}

/// Reports references to rules that do not exist.
///
/// A reference to a line with an error of form is no second error.
fn find_missing_references(lines: &Lines<'_>, errors: &mut Vec<RuleError>) {
    let numbered = &lines.rules;
    let names: BTreeMap<&RuleKey, ()> = numbered.iter().map(|p| (&p.rule.key, ())).collect();
    for item in numbered {
        for missing in view::references(&item.rule.body) {
            let is_broken = || lines.broken_names().any(|name| name == missing.name);
            if names.contains_key(&missing) || is_broken() {
                continue;
            }
            let same_kind = names
                .keys()
                .filter(|k| k.kind == missing.kind)
                .map(|k| k.name.as_str());
            let suggestion = match rules::closest_name(&missing.name, same_kind) {
                Some(name) => format!("did you mean `{name}`?"),
                None => format!("add a line `{missing} ...`"),
            };
            let message = format!("{missing} does not exist");
            errors.push(item.error(&missing.name, message, suggestion));
        }
    }
}

/// Reports endpoint patterns of routes that match no endpoint.
fn find_unmatched_patterns(lines: &Lines<'_>, errors: &mut Vec<RuleError>) {
    let numbered = &lines.rules;
    let endpoints: Vec<&str> = numbered
        .iter()
        .filter(|p| matches!(p.rule.body, RuleBody::Endpoint(_)))
        .map(|p| p.rule.key.name.as_str())
        .collect();
    for item in numbered {
        let RuleBody::Route(route) = &item.rule.body else {
            continue;
        };
        for pattern in &route.endpoints {
            if endpoints
                .iter()
                .copied()
                .chain(lines.broken_names())
                .any(|name| view::matches_name(pattern, name))
            {
                continue;
            }
            errors.push(item.error(
                pattern,
                format!("no endpoint matches `{pattern}`"),
                match rules::closest_name(pattern, endpoints.iter().copied()) {
                    Some(name) => format!("did you mean `{name}`?"),
                    None => "add the endpoint or correct the pattern".to_owned(),
                },
            ));
        }
    }
}

fn build(numbered: Vec<NumberedRule<'_>>) -> Result<Arc<View>, RuleError> {
    let base = View::default();
    let mut transaction = base.transaction();
    let file_error = |cause: view::ViewError| RuleError {
        line: 1,
        column: 1,
        message: cause.to_string(),
        suggestion: "correct the rule that is named".to_owned(),
    };
    for item in numbered {
        transaction
            .edit(&Edit::Set(item.rule))
            .map_err(file_error)?;
    }
    transaction.commit().map_err(file_error)
}
