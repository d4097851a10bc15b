//! Reading and parsing of callers' requests within bounds of time and memory.

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

/// Largest request body that is accepted, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Largest sum of header names and values, in bytes.
pub const MAX_HEADER_BYTES: usize = 32 << 10;

/// Deepest nesting of a JSON body.
pub const MAX_JSON_DEPTH: usize = 64;

/// Bytes of request bodies held at once by one process.
pub const BODY_BUDGET_BYTES: usize = 256 << 20;

/// Time in which the whole body must arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the rest of a refused request is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of a refused request that are read and dropped.
const MAX_DISCARD_BYTES: usize = 8 << 20;

/// Prompt bytes covered by the first prefix hash; each further one covers twice as much.
const FIRST_PREFIX_BYTES: usize = 256;

/// Largest number of prefix hashes of a prompt.
const MAX_PREFIX_HASHES: usize = 12;

/// Bytes of JSON that are counted as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Body fields that only the router may set.
const RESERVED_FIELDS: &[&str] = &["priority", "resume_text"];

/// Headers of a request that are forwarded to an endpoint; all others are dropped.
///
/// In particular the caller's key, cookies, forwarding and identity headers never pass.
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

/// Limits the bytes of request bodies that are held at once.
#[derive(Clone, Debug, Default)]
pub struct BodyBudget(Arc<AtomicUsize>);

/// Bytes taken from a [`BodyBudget`]; they are returned when this is dropped.
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

    /// Returns the bytes taken.
    pub fn reserved(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Reservation {
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

/// Checks the size of the headers.
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

/// Checks that a path names one place, however an endpoint reads it.
///
/// Routes match path prefixes, and an endpoint that resolves `..` or decodes separators could be led
/// out of the prefix that the caller may use.
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

/// Reads a body within its limits of size and time.
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

/// Reads and drops the rest of a refused request, within limits.
///
/// Closing a connection with unread bytes resets it, and the caller loses the answer.
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

/// Tells whether a JSON text is nested deeper than [`MAX_JSON_DEPTH`].
///
/// The fields that the router does not interpret are skipped by the parser without a bound on their
/// nesting, and an endpoint may parse them recursively.
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

/// A parsed call of the language-model interface.
#[derive(Debug)]
pub struct EngineBody {
    fields: BTreeMap<String, Box<RawValue>>,
    /// The model that the caller names.
    pub model: ModelId,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Upper bound on output tokens.
    pub limit: Option<u32>,
    /// Number of alternatives asked for.
    pub choices: u32,
    /// Estimated number of prompt tokens.
    pub prompt: u32,
    /// Hashes of growing prompt prefixes, the shortest first.
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

    /// Returns the body for an endpoint.
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

fn parse_field<'a, T: Deserialize<'a>>(
    fields: &'a BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<Option<T>, ResultCode> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    // Client libraries send `null` for a parameter that is not set.
    serde_json::from_str::<Option<T>>(value.get()).map_err(|_| ResultCode::BadRequest)
}

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

/// Returns a hash that recognises a request of a workspace when it is sent again.
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
