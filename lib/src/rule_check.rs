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
    let mut errors = Vec::new();
    let mut numbered = Vec::new();
    for (number, line) in rules::rule_lines(text) {
        match rules::parse_line(line) {
            Ok(rule) => numbered.push(NumberedRule { number, line, rule }),
            Err(mut error) => {
                error.line = number;
                errors.push(error);
            }
        }
    }
    find_duplicates(&numbered, &mut errors);
    // References are not checked after a syntax error, because every reference to the invalid line would
    // be reported as an error, too.
    if errors.is_empty() {
        find_missing_references(&numbered, &mut errors);
        find_unmatched_patterns(&numbered, &mut errors);
    }
    errors.sort_by_key(|e| (e.line, e.column));
    if !errors.is_empty() {
        return Err(errors);
    }
    build(numbered).map_err(|error| vec![error])
}

/// A rule with its line and line number.
struct NumberedRule<'a> {
    number: usize,
    line: &'a str,
    rule: Rule,
}

impl NumberedRule<'_> {
    /// Returns an error at the position of `word` in the line.
    fn error(&self, word: &str, message: String, suggestion: String) -> RuleError {
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
fn find_missing_references(numbered: &[NumberedRule<'_>], errors: &mut Vec<RuleError>) {
    let names: BTreeMap<&RuleKey, ()> = numbered.iter().map(|p| (&p.rule.key, ())).collect();
    for item in numbered {
        for missing in view::references(&item.rule.body) {
            if names.contains_key(&missing) {
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
fn find_unmatched_patterns(numbered: &[NumberedRule<'_>], errors: &mut Vec<RuleError>) {
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
