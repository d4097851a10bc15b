//! Reading and parsing of callers' requests within limits on time and memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::Digest as _;
use sha2::Sha256;

use crate::code::ResultCode;
use crate::ids::ModelId;
use crate::ids::WorkspaceId;

/// Largest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Largest total size of header names and values, in bytes.
pub const MAX_HEADER_BYTES: usize = 32 << 10;

/// Deepest accepted nesting of a JSON body.
pub const MAX_JSON_DEPTH: usize = 64;

/// Largest total size of request bodies that one process holds at once, in bytes.
pub const BODY_BUDGET_BYTES: usize = 256 << 20;

/// Time within which the whole body must arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which the rest of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of bytes of a refused request that are read and discarded at most.
const MAX_DISCARD_BYTES: usize = 8 << 20;

/// Number of prompt bytes covered by the first prefix hash; each further hash covers twice as many.
const FIRST_PREFIX_BYTES: usize = 256;

/// Largest number of prefix hashes of a prompt.
const MAX_PREFIX_HASHES: usize = 12;

/// Number of JSON bytes that are estimated as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Body fields that only the router may set; callers' values are removed.
const RESERVED_FIELDS: &[&str] = &["priority", "resume_text"];

/// Request headers that are forwarded to an endpoint; all others are dropped.
///
/// In particular, the caller's key, cookies, forwarding and identity headers are never forwarded.
const FORWARDED_HEADERS: &[&str] = &[
    "accept",
    "accept-language",
    "content-encoding",
    "content-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "range",
];

/// A limit on the bytes of request bodies that are held at once.
#[derive(Clone, Debug, Default)]
pub struct BodyBudget(Arc<AtomicUsize>);

/// Bytes reserved in a [`BodyBudget`]; they are returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    reserved: usize,
}

impl BodyBudget {
    /// Starts a reservation of no bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            reserved: 0,
        }
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Reserves further bytes, or fails if that exceeds [`BODY_BUDGET_BYTES`].
    fn grow(&mut self, bytes: usize) -> Result<(), ResultCode> {
        self.reserved += bytes;
        let total = self.budget.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total > BODY_BUDGET_BYTES {
            return Err(ResultCode::Overloaded);
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}

/// Checks the total size of the headers.
pub fn check_headers(headers: &HeaderMap) -> Result<(), ResultCode> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size > MAX_HEADER_BYTES {
        return Err(ResultCode::BadRequest);
    }
    Ok(())
}

/// Rejects a path that an endpoint might resolve to another one.
///
/// Routes match path prefixes. With an endpoint that resolves `..` or decodes separators, such a path
/// could leave the prefix that the caller may use.
pub fn check_path(path: &str) -> Result<(), ResultCode> {
    let normalized = path.to_ascii_lowercase().replace("%2e", ".");
    let is_ambiguous = normalized.contains('\\')
        || normalized.contains("%2f")
        || normalized.contains("%5c")
        || normalized
            .split('/')
            .any(|segment| matches!(segment, "." | ".."));
    if is_ambiguous {
        return Err(ResultCode::BadRequest);
    }
    Ok(())
}

/// Reads a body within the limits on size and time.
pub async fn read_body(
    body: &mut Incoming,
    reservation: &mut Reservation,
) -> Result<Bytes, ResultCode> {
    let declared_size = body.size_hint().lower();
    if declared_size > MAX_BODY_BYTES as u64 {
        return Err(ResultCode::BodyTooLarge);
    }
    tokio::time::timeout(BODY_TIMEOUT, read_frames(body, reservation))
        .await
        .map_err(|_| ResultCode::BodyTimeout)?
}

async fn read_frames(
    body: &mut Incoming,
    reservation: &mut Reservation,
) -> Result<Bytes, ResultCode> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResultCode::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        reservation.grow(data.len())?;
        bytes.extend_from_slice(&data);
        if bytes.len() > MAX_BODY_BYTES {
            return Err(ResultCode::BodyTooLarge);
        }
    }
    Ok(bytes.into())
}

/// Reads and discards the rest of a refused request, within limits.
///
/// Closing a connection with unread bytes resets it, and the caller would lose the response.
pub async fn discard(body: &mut Incoming) {
    let read = async {
        let mut remaining = MAX_DISCARD_BYTES;
        while remaining > 0 {
            let Some(Ok(frame)) = body.frame().await else {
                return;
            };
            let size = frame.data_ref().map_or(0, Bytes::len);
            remaining = remaining.saturating_sub(size);
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Returns the headers that may be forwarded to an endpoint.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| FORWARDED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns whether a JSON text is nested deeper than [`MAX_JSON_DEPTH`].
///
/// The parser skips fields that the router does not interpret without a limit on their nesting, and
/// an endpoint may parse them recursively.
pub fn exceeds_max_depth(json: &[u8]) -> bool {
    let mut depth = 0_usize;
    let mut quoted = false;
    let mut escaped = false;
    for byte in json {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_JSON_DEPTH {
            return true;
        }
    }
    false
}

/// The parsed body of a call of the language-model API.
#[derive(Debug)]
pub struct EngineBody {
    fields: BTreeMap<String, Box<RawValue>>,
    /// The model that the caller names.
    pub model: ModelId,
    /// Whether the response is streamed.
    pub stream: bool,
    /// The limit on output tokens, if the caller set one.
    pub limit: Option<u32>,
    /// The number of alternative completions requested.
    pub choices: u32,
    /// The estimated number of prompt tokens.
    pub prompt: u32,
    /// Hashes of prompt prefixes of increasing length.
    pub prefix_hashes: Vec<u64>,
}

impl EngineBody {
    /// Parses a body.
    pub fn parse(body: &[u8]) -> Result<Self, ResultCode> {
        if exceeds_max_depth(body) {
            return Err(ResultCode::BadRequest);
        }
        let mut fields: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(body).map_err(|_| ResultCode::BadRequest)?;
        for name in RESERVED_FIELDS {
            fields.remove(*name);
        }
        let model: String = parse_field(&fields, "model")?.ok_or(ResultCode::BadRequest)?;
        let prompt = fields
            .get("messages")
            .or_else(|| fields.get("prompt"))
            .ok_or(ResultCode::BadRequest)?
            .get();
        let limit = match parse_field(&fields, "max_completion_tokens")? {
            Some(limit) => Some(limit),
            None => parse_field(&fields, "max_tokens")?,
        };
        Ok(Self {
            stream: parse_field(&fields, "stream")?.unwrap_or(false),
            limit,
            choices: parse_field(&fields, "n")?.unwrap_or(1),
            prompt: u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
            prefix_hashes: prefix_hashes(&model, prompt.as_bytes()),
            model: model.into(),
            fields,
        })
    }

    /// Encodes the body for an endpoint.
    ///
    /// `tier` becomes the priority. `resume` is the text that the caller already has, after which the
    /// endpoint continues.
    pub fn encode(&self, tier: u8, resume: Option<&str>) -> Bytes {
        let mut fields: BTreeMap<&str, &RawValue> = self
            .fields
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_ref()))
            .collect();
        let priority = to_raw_value(&tier);
        fields.insert("priority", &priority);
        let text = resume.map(|text| to_raw_value(&text));
        if let Some(text) = &text {
            fields.insert("resume_text", text);
        }
        serde_json::to_vec(&fields)
            .expect("raw fields are valid JSON")
            .into()
    }
}

fn to_raw_value(value: &impl serde::Serialize) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).expect("numbers and strings are valid JSON")
}

/// Parses an optional field; `null` counts as absent.
fn parse_field<'a, T: Deserialize<'a>>(
    fields: &'a BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<Option<T>, ResultCode> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    // Client libraries send `null` for an unset parameter.
    serde_json::from_str::<Option<T>>(value.get()).map_err(|_| ResultCode::BadRequest)
}

/// Returns hashes of prompt prefixes, each twice as long as the one before.
///
/// The model is part of each hash.
fn prefix_hashes(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut hash = Sha256::new();
    hash.update(model.as_bytes());
    hash.update([0]);
    let mut hashes = Vec::new();
    let mut start = 0;
    let mut end = FIRST_PREFIX_BYTES;
    while end <= prompt.len() && hashes.len() < MAX_PREFIX_HASHES {
        hash.update(&prompt[start..end]);
        hashes.push(first_u64(&hash.clone().finalize()));
        start = end;
        end *= 2;
    }
    hashes
}

/// Returns a hash that identifies a request of a workspace when it is sent again.
pub fn fingerprint(workspace: &WorkspaceId, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    for part in [workspace.as_str(), method, path] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    hash.update(body);
    first_u64(&hash.finalize())
}

fn first_u64(hash: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(bytes)
}
