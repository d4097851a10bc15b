//! Splits a stream of server-sent events at event boundaries and records the ID of the last event.
//!
//! A stream that another endpoint resumes must continue after a complete event, but an endpoint may fail
//! within an event.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

/// Maximum size of an event in bytes.
///
/// The events of model engines hold a few tokens, so only a faulty endpoint sends this many bytes
/// without the end of an event.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// The error for an event that exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the last event of a stream until it has arrived completely.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last: Option<String>,
    /// Number of the last event that was forwarded before the stream was resumed.
    resumed_after: Option<u64>,
}

impl EventFramer {
    /// Adds bytes to the stream and returns all events that are complete now.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        // The delimiter may begin with the last byte that was buffered before.
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(&bytes);
        let Some(end) = memchr::memmem::rfind(&self.partial[searched..], b"\n\n") else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(Bytes::new()),
            };
        };
        let end = searched + end;
        let events = self.partial.split_to(end + 2).freeze();
        let events = self.drop_repeated(events);
        if let Some(id) = last_id(&events) {
            self.last = Some(id.to_owned());
        }
        Ok(events)
    }

    /// Removes the leading events that the caller has already received from the stream before it was
    /// resumed.
    fn drop_repeated(&self, mut events: Bytes) -> Bytes {
        let Some(resumed_after) = self.resumed_after else {
            return events;
        };
        while let Some(end) = memchr::memmem::find(&events, b"\n\n") {
            let number = last_id(&events[..end + 2]).and_then(|id| id.parse::<u64>().ok());
            if number.is_none_or(|number| number > resumed_after) {
                break;
            }
            let _ = events.split_to(end + 2);
        }
        events
    }

    /// Takes the last event of a stream that ended without its terminating empty line.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the incomplete event before another endpoint resumes the stream.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.resumed_after = self.last.as_deref().and_then(|id| id.parse().ok());
    }

    /// Returns the ID of the last complete event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Returns the ID of the last event that has one.
fn last_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}
