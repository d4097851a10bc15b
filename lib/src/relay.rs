//! Relay of the event stream of an engine to the caller, which another engine can resume after a
//! failure.

use std::borrow::Cow;

use derive_more::Display;
use derive_more::Error;

use crate::openai::Chunk;
use crate::openai::DONE;
use crate::openai::Usage;
use crate::sse;
use crate::sse::ParseError;

/// Maximum size in bytes of the text that is kept to resume a stream.
const MAX_RESUME_BYTES: usize = 1 << 20;

/// The reason why a stream cannot be relayed any further.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RelayError {
    /// The bytes are not a valid event stream.
    #[display("the stream is malformed: {_0}")]
    Malformed(ParseError),
    /// An event is not a valid completion chunk.
    #[display("an event of the stream is not a valid chunk")]
    InvalidChunk,
    /// The engine reported an error in the stream.
    #[display("the engine reported an error")]
    Engine,
}

/// State of a stream: what has been relayed to the caller, and whether it can be resumed.
#[derive(Debug, Default)]
pub struct Relay {
    parser: sse::Parser,
    /// Stream id that the caller received first.
    stream: Option<String>,
    /// Relayed text, which another engine needs to resume the stream.
    text: String,
    /// Number of relayed chunks with text, each of which counts as one token.
    tokens: u32,
    /// Whether the current engine resumed the stream of an earlier one.
    resumed: bool,
    /// Whether the stream cannot be resumed, because it is not a single text or too long.
    opaque: bool,
    /// Whether a chunk had a finish reason.
    finished: bool,
    /// Whether the final event was relayed.
    done: bool,
    usage: Option<Usage>,
}

impl Relay {
    /// Creates a relay for a response with the given number of choices.
    pub fn new(choices: u32) -> Self {
        Self {
            opaque: choices != 1,
            ..Self::default()
        }
    }

    /// Processes bytes of the engine and appends the bytes for the caller to `output`.
    ///
    /// Bytes appended before an error count as delivered and must be sent to the caller.
    pub fn push(&mut self, bytes: &[u8], output: &mut Vec<u8>) -> Result<(), RelayError> {
        let mut parser = std::mem::take(&mut self.parser);
        let mut result = Ok(());
        let parsed = parser.push(bytes, |data| {
            if result.is_ok() && !self.done {
                result = self.event(data, output);
            }
        });
        self.parser = parser;
        result.and(parsed.map_err(RelayError::Malformed))
    }

    /// Processes the data of one event.
    fn event(&mut self, data: &str, output: &mut Vec<u8>) -> Result<(), RelayError> {
        if data == DONE {
            self.done = true;
            sse::write_event(output, DONE);
            return Ok(());
        }
        let chunk: Chunk<'_> = serde_json::from_str(data).map_err(|_| RelayError::InvalidChunk)?;
        if chunk.error.is_some() {
            return Err(RelayError::Engine);
        }
        let is_empty = chunk
            .choices
            .iter()
            .all(|c| c.text().is_empty() && c.finish_reason.is_none());
        if self.resumed && is_empty && chunk.usage.is_none() {
            return Ok(());
        }
        self.usage = chunk.usage.or(self.usage);
        for choice in &chunk.choices {
            self.opaque |= choice.has_non_text_content();
            self.finished |= choice.finish_reason.is_some();
            if !choice.text().is_empty() {
                self.tokens += 1;
                self.append_text(choice.text());
            }
        }
        sse::write_event(
            output,
            &self.with_first_stream_id(data, chunk.id.as_deref()),
        );
        Ok(())
    }

    /// Keeps text for a resumption, unless the stream cannot be resumed.
    fn append_text(&mut self, text: &str) {
        if self.text.len() + text.len() > MAX_RESUME_BYTES {
            self.opaque = true;
        }
        if !self.opaque {
            self.text.push_str(text);
        }
    }

    /// Replaces the stream id in an event of a later engine by the id that the caller received first.
    fn with_first_stream_id<'a>(&mut self, data: &'a str, id: Option<&str>) -> Cow<'a, str> {
        let Some(id) = id else {
            return data.into();
        };
        let first_id = self.stream.get_or_insert_with(|| id.to_owned());
        if first_id == id {
            return data.into();
        }
        let Ok(serde_json::Value::Object(mut fields)) = serde_json::from_str(data) else {
            return data.into();
        };
        fields.insert("id".to_owned(), first_id.as_str().into());
        serde_json::Value::Object(fields).to_string().into()
    }

    /// Prepares for the stream of another engine after that of the current one failed.
    pub fn reconnect(&mut self) {
        self.parser = sse::Parser::default();
        self.resumed = self.tokens > 0;
    }

    /// Returns whether another engine can resume the stream.
    pub fn is_resumable(&self) -> bool {
        !self.opaque
    }

    /// Returns whether the final event of the stream was relayed.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether all tokens were relayed, possibly without the final event.
    pub fn is_finished(&self) -> bool {
        self.finished && !self.opaque
    }

    /// Returns the number of relayed tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the relayed text; incomplete if the stream cannot be resumed.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the token counts that the engine reported, unless the stream was resumed.
    pub fn usage(&self) -> Option<Usage> {
        self.usage.filter(|_| !self.resumed)
    }
}
