//! Relay of an engine's event stream, which can go on with another engine after a break.

use std::borrow::Cow;

use derive_more::Display;
use derive_more::Error;

use crate::openai::Chunk;
use crate::openai::DONE;
use crate::openai::Usage;
use crate::sse;
use crate::sse::ParseError;

/// Largest text that is kept to resume a stream, in bytes.
const MAX_RESUME_BYTES: usize = 1 << 20;

/// A stream that cannot be relayed further.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RelayError {
    /// The bytes are not an event stream.
    #[display("the stream is malformed: {_0}")]
    Malformed(ParseError),
    /// An event is not a chunk of an answer.
    #[display("an event of the stream is not a valid chunk")]
    NotChunk,
    /// The engine reported an error in the stream.
    #[display("the engine reported an error")]
    Engine,
}

/// What the caller has received of a stream.
#[derive(Debug, Default)]
pub struct Relay {
    parser: sse::Parser,
    stream: Option<String>,
    text: String,
    tokens: u32,
    resumed: bool,
    opaque: bool,
    finished: bool,
    done: bool,
    usage: Option<Usage>,
}

impl Relay {
    /// Creates a relay of an answer with this many alternatives.
    pub fn new(choices: u32) -> Self {
        Self {
            opaque: choices != 1,
            ..Self::default()
        }
    }

    /// Takes in bytes of the engine and appends the bytes for the caller to `output`.
    ///
    /// What was appended before an error counts as delivered and must be sent to the caller.
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

    fn event(&mut self, data: &str, output: &mut Vec<u8>) -> Result<(), RelayError> {
        if data == DONE {
            self.done = true;
            sse::write_event(output, DONE);
            return Ok(());
        }
        let chunk: Chunk<'_> = serde_json::from_str(data).map_err(|_| RelayError::NotChunk)?;
        if chunk.error.is_some() {
            return Err(RelayError::Engine);
        }
        let is_bare = chunk
            .choices
            .iter()
            .all(|c| c.text().is_empty() && c.finish_reason.is_none());
        if self.resumed && is_bare && chunk.usage.is_none() {
            return Ok(());
        }
        self.usage = chunk.usage.or(self.usage);
        for choice in &chunk.choices {
            self.opaque |= choice.has_non_text_content();
            self.finished |= choice.finish_reason.is_some();
            if !choice.text().is_empty() {
                self.tokens += 1;
                self.keep(choice.text());
            }
        }
        sse::write_event(output, &self.renamed(data, chunk.id.as_deref()));
        Ok(())
    }

    fn keep(&mut self, text: &str) {
        if self.text.len() + text.len() > MAX_RESUME_BYTES {
            self.opaque = true;
        }
        if !self.opaque {
            self.text.push_str(text);
        }
    }

    /// Gives an event of a later engine the stream id that the caller knows.
    fn renamed<'a>(&mut self, data: &'a str, id: Option<&str>) -> Cow<'a, str> {
        let Some(id) = id else {
            return data.into();
        };
        let known = self.stream.get_or_insert_with(|| id.to_owned());
        if known == id {
            return data.into();
        }
        let Ok(serde_json::Value::Object(mut fields)) = serde_json::from_str(data) else {
            return data.into();
        };
        fields.insert("id".to_owned(), known.as_str().into());
        serde_json::Value::Object(fields).to_string().into()
    }

    /// Ends the stream of one engine; the next bytes come from another one.
    pub fn reconnect(&mut self) {
        self.parser = sse::Parser::default();
        self.resumed = self.tokens > 0;
    }

    /// Tells whether another engine can go on where this stream broke.
    pub fn is_resumable(&self) -> bool {
        !self.opaque
    }

    /// Tells whether the last event of the stream has passed.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Tells whether all tokens have passed, though perhaps not the last event.
    pub fn is_finished(&self) -> bool {
        self.finished && !self.opaque
    }

    /// Returns the number of tokens that have passed.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the text that has passed.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the token counts that the engine reported.
    pub fn usage(&self) -> Option<Usage> {
        self.usage.filter(|_| !self.resumed)
    }
}
