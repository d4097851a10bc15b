//! Parser of the operators' rules: one rule per line, each with a comment that names who requested it.
//!
//! `docs/configuration.md` describes the grammar.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::KeyId;
use crate::ids::ModelId;
use crate::ids::RouteId;
use crate::ids::WorkspaceId;
use crate::ids::ZoneId;

/// A tenant, which owns keys, limits and usage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Weight of its share relative to other workspaces when capacity is short.
    pub weight: u32,
}

/// An API key of a client, of which only a keyed hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Name of the key, which may be logged.
    pub id: KeyId,
    /// The workspace to which it gives access.
    pub workspace: WorkspaceId,
    /// HMAC-SHA256 of the key under the cluster secret.
    pub hash: KeyHash,
}

/// A keyed hash of an API key.
#[serde_with::serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 32]);

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl std::fmt::Display for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        // The text is not repeated, because a key that was written in place of its hash would be shown.
        let found = format!("{} characters", text.chars().count());
        let error = || ValueError::new("64 hexadecimal digits", &found);
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

/// A class of requests with their priority, latency targets and weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub id: ClassId,
    /// Priority from 1 (highest) to 5 (lowest).
    pub tier: u8,
    /// Target for the time to the first token.
    pub first: Option<Duration>,
    /// Target for the time between tokens.
    pub between: Option<Duration>,
    /// Target for the time to the complete response.
    pub complete: Option<Duration>,
    /// Whether the router may repeat a call.
    pub idempotent: bool,
    /// Weight of a completed request in the goodput.
    pub weight: u32,
    /// Expected output tokens of a request until an average has been observed.
    pub output: u32,
}

/// The clients that may use a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Clients with a key of one of these workspaces.
    Workspaces(Vec<WorkspaceId>),
    /// Clients with any valid key.
    AnyKey,
    /// All clients, without a key; usage is accounted to this workspace.
    Open(WorkspaceId),
}

/// The requests that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// Requests to the language-model API that name this model.
    Model(ModelId),
    /// Service calls with a path prefix.
    Path {
        /// The path prefix.
        prefix: String,
        /// Allowed HTTP methods; empty allows all.
        methods: Vec<String>,
    },
}

/// A route that assigns requests to a class and to endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// The clients that may use it.
    pub scope: Scope,
    /// Class of its requests.
    pub class: ClassId,
    /// The requests that it matches.
    pub target: Target,
    /// Names of its endpoints; a trailing `*` matches any suffix.
    pub endpoints: Vec<String>,
}

/// Limits of a workspace, which apply to all instances together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// The limited workspace.
    pub workspace: WorkspaceId,
    /// Maximum requests per second.
    pub requests: Option<f64>,
    /// Maximum tokens per second.
    pub tokens: Option<f64>,
    /// Maximum number of concurrent requests.
    pub concurrency: Option<u32>,
}

/// Whether an endpoint is a model engine or a plain service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointKind {
    /// Serves the language-model API.
    #[display("engine")]
    Engine,
    /// Serves any other HTTP API.
    #[display("service")]
    Service,
}

/// An endpoint that requests are routed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Whether it is a model engine or a service.
    pub kind: EndpointKind,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Models and adapters that it serves.
    pub models: Vec<ModelId>,
    /// Price per hour.
    pub price: f64,
    /// Whether the platform may reclaim it at short notice.
    pub reclaimable: bool,
    /// Whether it rejects requests with an outdated fencing token.
    pub fencing: bool,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
}

/// A configuration that is stored and replaced as one text, which an adapter interprets.
///
/// The author of the text assigns its revision, which only increases (`docs/platform.md`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Revision that the author assigned.
    pub revision: u64,
    /// Text as it was accepted.
    pub text: Arc<str>,
}

/// Content of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RuleBody {
    /// A workspace.
    Workspace(Workspace),
    /// A key.
    Key(Key),
    /// A class.
    Class(Class),
    /// A route.
    Route(Route),
    /// A limit.
    Limit(Limit),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A configuration document.
    Document(Document),
    /// The evacuation of a zone.
    Evacuation(ZoneId),
}

/// Kind of a rule, the first word of its line.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display(rename_all = "lowercase")]
pub enum RuleKind {
    /// A workspace.
    Workspace,
    /// A key.
    Key,
    /// A class.
    Class,
    /// A route.
    Route,
    /// A limit.
    Limit,
    /// An endpoint.
    Endpoint,
    /// A configuration document, which cannot be written as a line.
    Document,
    /// The evacuation of a zone, which is ordered and not written as a line, so that no rules file ends or
    /// repeats it.
    Evacuation,
}

impl RuleKind {
    /// Returns whether rules of this kind are written as lines, so that a rules file lists all of them.
    pub fn has_lines(self) -> bool {
        !matches!(self, Self::Document | Self::Evacuation)
    }
}

/// Identity of a rule. Setting a rule replaces an existing one with the same identity.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{kind} {name}")]
pub struct RuleKey {
    /// Kind of the rule.
    pub kind: RuleKind,
    /// Name, unique among the rules of the kind.
    pub name: String,
}

/// A rule with the line that it was parsed from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Identity of the rule.
    pub key: RuleKey,
    /// Content of the rule.
    pub body: RuleBody,
    /// Person or team that requested the rule.
    pub asker: String,
    /// The line as written, without surrounding whitespace.
    pub line: String,
}

/// A value that does not have the expected form.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("expected {expected}, found {found:?}")]
pub struct ValueError {
    expected: &'static str,
    found: String,
}

impl ValueError {
    fn new(expected: &'static str, found: &str) -> Self {
        Self {
            expected,
            found: found.to_owned(),
        }
    }
}

/// An error in a rules file, with its position and a suggestion for its correction.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}, column {column}: {message}; {suggestion}")]
pub struct RuleError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
    /// Suggestion for its correction.
    pub suggestion: String,
}

/// Parses a rules file. Returns all errors, not only the first.
pub fn parse_file(text: &str) -> Result<Vec<Rule>, Vec<RuleError>> {
    let mut rules = Vec::new();
    let mut errors = Vec::new();
    for (number, line) in rule_lines(text) {
        match parse_line(line) {
            Ok(rule) => rules.push(rule),
            Err(mut error) => {
                error.line = number;
                errors.push(error);
            }
        }
    }
    if errors.is_empty() {
        Ok(rules)
    } else {
        Err(errors)
    }
}

/// Returns the lines that contain a rule with their line numbers, starting at 1.
pub fn rule_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines()
        .enumerate()
        .map(|(i, line)| (i + 1, line))
        .filter(|(_, line)| !line.trim().is_empty() && !line.trim_start().starts_with('#'))
}

/// Parses one rule line.
pub fn parse_line(line: &str) -> Result<Rule, RuleError> {
    let (text, asker) = split_comment(line)?;
    let mut fields = RuleFields::split(text);
    let kind = fields.kind()?;
    let name = fields.name()?;
    let body = match kind {
        RuleKind::Workspace => RuleBody::Workspace(Workspace {
            id: name.as_str().into(),
            weight: fields
                .optional("weight", parse_positive_integer)?
                .unwrap_or(1),
        }),
        RuleKind::Key => RuleBody::Key(Key {
            id: name.as_str().into(),
            workspace: fields.required("workspace", parse_text)?.into(),
            hash: fields.required("hash", KeyHash::from_str)?,
        }),
        RuleKind::Class => RuleBody::Class(parse_class(&name, &mut fields)?),
        RuleKind::Route => RuleBody::Route(parse_route(&name, &mut fields)?),
        RuleKind::Limit => RuleBody::Limit(Limit {
            workspace: name.as_str().into(),
            requests: fields.optional("requests", parse_rate)?,
            tokens: fields.optional("tokens", parse_rate)?,
            concurrency: fields.optional("concurrency", parse_positive_integer)?,
        }),
        RuleKind::Endpoint => RuleBody::Endpoint(parse_endpoint(&name, &mut fields)?),
        // Not returned by `RuleFields::kind`, because these cannot be written as lines.
        RuleKind::Document | RuleKind::Evacuation => {
            return Err(error(
                1,
                format!("`{kind}` cannot be written as a rule"),
                "send it through the interface that it came from".to_owned(),
            ));
        }
    };
    fields.finish()?;
    Ok(Rule {
        key: RuleKey { kind, name },
        body,
        asker,
        line: line.trim().to_owned(),
    })
}

fn parse_class(name: &str, fields: &mut RuleFields<'_>) -> Result<Class, RuleError> {
    Ok(Class {
        id: name.into(),
        tier: fields.required("tier", parse_tier)?,
        first: fields.optional("first", parse_duration)?,
        between: fields.optional("between", parse_duration)?,
        complete: fields.optional("complete", parse_duration)?,
        idempotent: fields.required("idempotent", parse_flag)?,
        weight: fields
            .optional("weight", parse_positive_integer)?
            .unwrap_or(1),
        output: fields
            .optional("output", parse_positive_integer)?
            .unwrap_or(256),
    })
}

fn parse_route(name: &str, fields: &mut RuleFields<'_>) -> Result<Route, RuleError> {
    let workspace = fields.required("workspace", parse_text)?;
    let open = fields.optional("open", parse_flag)?.unwrap_or(false);
    let scope = match (open, workspace.as_str()) {
        (true, owner) => Scope::Open(owner.into()),
        (false, "*") => Scope::AnyKey,
        (false, list) => Scope::Workspaces(list.split(',').map(WorkspaceId::from).collect()),
    };
    let class = fields.required("class", parse_text)?.into();
    let model = fields.optional("model", parse_text)?;
    let target = match model {
        Some(model) => Target::Model(model.into()),
        None => Target::Path {
            prefix: fields.required("path", parse_path)?,
            methods: fields.optional("methods", parse_list)?.unwrap_or_default(),
        },
    };
    Ok(Route {
        id: name.into(),
        scope,
        class,
        target,
        endpoints: fields.required("endpoints", parse_list)?,
    })
}

fn parse_endpoint(name: &str, fields: &mut RuleFields<'_>) -> Result<Endpoint, RuleError> {
    let models = fields.optional("models", parse_list)?.unwrap_or_default();
    Ok(Endpoint {
        id: name.into(),
        kind: if models.is_empty() {
            EndpointKind::Service
        } else {
            EndpointKind::Engine
        },
        address: fields.required("address", parse_address)?,
        zone: fields.required("zone", parse_text)?.into(),
        models: models.into_iter().map(ModelId::from).collect(),
        price: fields.optional("price", parse_price)?.unwrap_or(0.0),
        reclaimable: fields.optional("reclaimable", parse_flag)?.unwrap_or(false),
        fencing: fields.optional("fencing", parse_flag)?.unwrap_or(false),
        slots: fields
            .optional("slots", parse_positive_integer)?
            .unwrap_or(8),
    })
}

fn split_comment(line: &str) -> Result<(&str, String), RuleError> {
    let missing = || RuleError {
        line: 1,
        column: line.chars().count() + 1,
        message: "the rule does not say who asked for it".to_owned(),
        suggestion: "end the line with `# name of who asked`".to_owned(),
    };
    let (text, comment) = line.split_once('#').ok_or_else(missing)?;
    let asker = comment.trim();
    if asker.is_empty() {
        return Err(missing());
    }
    Ok((text, asker.to_owned()))
}

fn parse_text(text: &str) -> Result<String, ValueError> {
    if text.is_empty() {
        return Err(ValueError::new("a name", text));
    }
    Ok(text.to_owned())
}

fn parse_positive_integer(text: &str) -> Result<u32, ValueError> {
    text.parse()
        .ok()
        .filter(|n| *n > 0)
        .ok_or_else(|| ValueError::new("a whole number above 0", text))
}

fn parse_tier(text: &str) -> Result<u8, ValueError> {
    text.parse()
        .ok()
        .filter(|n| (1..=5).contains(n))
        .ok_or_else(|| ValueError::new("a tier from 1 to 5", text))
}

fn parse_flag(text: &str) -> Result<bool, ValueError> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(ValueError::new("`yes` or `no`", text)),
    }
}

fn parse_list(text: &str) -> Result<Vec<String>, ValueError> {
    if text.is_empty() || text.split(',').any(str::is_empty) {
        return Err(ValueError::new("names separated by commas", text));
    }
    Ok(text.split(',').map(str::to_owned).collect())
}

fn parse_path(text: &str) -> Result<String, ValueError> {
    if !text.starts_with('/') {
        return Err(ValueError::new("a path that starts with `/`", text));
    }
    Ok(text.to_owned())
}

fn parse_address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse()
        .map_err(|_| ValueError::new("an IP address with a port, such as 127.0.0.1:9001", text))
}

fn parse_non_negative(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

fn parse_rate(text: &str) -> Result<f64, ValueError> {
    text.strip_suffix("/s")
        .and_then(parse_non_negative)
        .ok_or_else(|| ValueError::new("a rate such as 50/s", text))
}

fn parse_price(text: &str) -> Result<f64, ValueError> {
    text.strip_suffix("/h")
        .and_then(parse_non_negative)
        .ok_or_else(|| ValueError::new("a price such as 2.10/h", text))
}

fn parse_duration(text: &str) -> Result<Duration, ValueError> {
    let error = || ValueError::new("a duration such as 800ms, 3s, 5m or 8h", text);
    let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
    let number: u64 = text[..split].parse().map_err(|_| error())?;
    let scale = match &text[split..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(error()),
    };
    number
        .checked_mul(scale)
        .filter(|ms| *ms > 0)
        .map(Duration::from_millis)
        .ok_or_else(error)
}

/// The words of a line with their columns.
struct RuleFields<'a> {
    /// The kind, the name, and words that are unexpected.
    words: Vec<(usize, &'a str)>,
    /// Values by key that have not been parsed yet.
    values: BTreeMap<&'a str, (usize, &'a str)>,
    /// Column after the last character.
    end: usize,
    duplicate: Option<RuleError>,
    /// Keys that the kind of rule accepts, for suggestions.
    accepted_keys: Vec<&'static str>,
}

impl<'a> RuleFields<'a> {
    fn split(text: &'a str) -> Self {
        let mut words = Vec::new();
        let mut values = BTreeMap::new();
        let mut duplicate = None;
        for word in text.split_whitespace() {
            let offset = word.as_ptr().addr() - text.as_ptr().addr();
            let column = text[..offset].chars().count() + 1;
            match word.split_once('=') {
                Some((key, value)) if words.len() >= 2 => {
                    let start = column + key.chars().count() + 1;
                    if values.insert(key, (start, value)).is_some() {
                        duplicate = Some(error(
                            column,
                            format!("`{key}` is given twice"),
                            "keep one of them".to_owned(),
                        ));
                    }
                }
                _ => words.push((column, word)),
            }
        }
        Self {
            words,
            values,
            end: text.chars().count() + 1,
            duplicate,
            accepted_keys: Vec::new(),
        }
    }

    fn kind(&mut self) -> Result<RuleKind, RuleError> {
        let kinds = [
            RuleKind::Workspace,
            RuleKind::Key,
            RuleKind::Class,
            RuleKind::Route,
            RuleKind::Limit,
            RuleKind::Endpoint,
        ];
        let (column, word) = self.words.first().copied().unwrap_or((self.end, ""));
        if let Some(kind) = kinds.into_iter().find(|kind| kind.to_string() == word) {
            return Ok(kind);
        }
        let names = kinds.map(|kind| kind.to_string());
        let suggestion = match closest_name(word, names.iter().map(String::as_str)) {
            Some(name) => format!("did you mean `{name}`?"),
            None => format!("use one of {}", names.join(", ")),
        };
        Err(error(
            column,
            format!("unknown kind of rule {word:?}"),
            suggestion,
        ))
    }

    fn name(&mut self) -> Result<String, RuleError> {
        let (_, word) = self.words.get(1).ok_or_else(|| {
            error(
                self.end,
                "the rule has no name".to_owned(),
                "write a name after the kind".to_owned(),
            )
        })?;
        Ok((*word).to_owned())
    }

    fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Result<Option<T>, RuleError> {
        self.accepted_keys.push(key);
        let Some((column, value)) = self.values.remove(key) else {
            return Ok(None);
        };
        parse(value)
            .map(Some)
            .map_err(|cause| error(column, format!("bad value for `{key}`"), cause.to_string()))
    }

    fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Result<T, RuleError> {
        if let Some(value) = self.optional(key, parse)? {
            return Ok(value);
        }
        let misspelt = self
            .values
            .iter()
            .find(|(other, _)| closest_name(other, std::iter::once(key)).is_some());
        if let Some((other, (column, _))) = misspelt {
            return Err(error(
                column - other.chars().count() - 1,
                format!("unknown setting `{other}`"),
                format!("did you mean `{key}`?"),
            ));
        }
        Err(error(
            self.end,
            format!("`{key}` is missing"),
            format!("add `{key}=...` before the comment"),
        ))
    }

    /// Returns an error if a key is duplicate or unknown or there is an unexpected word.
    fn finish(self) -> Result<(), RuleError> {
        if let Some(duplicate) = self.duplicate {
            return Err(duplicate);
        }
        if let Some((column, word)) = self.words.get(2) {
            return Err(error(
                *column,
                format!("unexpected word {word:?}"),
                "settings have the form `key=value`".to_owned(),
            ));
        }
        if let Some((key, (column, _))) = self.values.first_key_value() {
            let suggestion = match closest_name(key, self.accepted_keys.iter().copied()) {
                Some(name) => format!("did you mean `{name}`?"),
                None => format!("use one of {}", self.accepted_keys.join(", ")),
            };
            return Err(error(
                column - key.chars().count() - 1,
                format!("unknown setting `{key}`"),
                suggestion,
            ));
        }
        Ok(())
    }
}

/// Returns the name with the smallest edit distance to a misspelt word, if it is close enough.
pub fn closest_name<'a>(word: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|name| (edit_distance(word, name), name))
        .filter(|(distance, name)| *distance <= 2 && *distance < name.chars().count())
        .min()
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (i, a) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in to.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[to.len()]
}

fn error(column: usize, message: String, suggestion: String) -> RuleError {
    RuleError {
        line: 1,
        column,
        message,
        suggestion,
    }
}
