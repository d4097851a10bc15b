//! Cuts a stream of server-sent events into whole events and remembers the last one.
//!
//! A stream that goes on at another endpoint must continue after a whole event, but an endpoint may
//! break off in the middle of one.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

/// Largest event in bytes; the events of model engines hold a few tokens, so this many bytes without the
/// end of an event come from an endpoint that has gone wrong.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// More bytes without the end of an event than an event may have.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Holds the part of an event that has not arrived whole.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last: Option<String>,
    /// Events up to this number were passed on before the stream went on elsewhere.
    passed: Option<u64>,
}

impl EventFramer {
    /// Takes in bytes and returns those that complete events.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        // The end of an event may begin with the last byte that was held before.
        let seen = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(&bytes);
        let Some(end) = memchr::memmem::rfind(&self.partial[seen..], b"\n\n") else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(Bytes::new()),
            };
        };
        let end = seen + end;
        let whole = self.partial.split_to(end + 2).freeze();
        let whole = self.drop_repeated(whole);
        if let Some(id) = last_id(&whole) {
            self.last = Some(id.to_owned());
        }
        Ok(whole)
    }

    /// Removes events that the caller has already, which a repeated stream may begin with.
    fn drop_repeated(&self, mut events: Bytes) -> Bytes {
        let Some(passed) = self.passed else {
            return events;
        };
        while let Some(end) = memchr::memmem::find(&events, b"\n\n") {
            let number = last_id(&events[..end + 2]).and_then(|id| id.parse::<u64>().ok());
            if number.is_none_or(|number| number > passed) {
                break;
            }
            let _ = events.split_to(end + 2);
        }
        events
    }

    /// Returns the rest of a stream that ended, which no empty line closed.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets the part of an event that broke off, before the stream goes on elsewhere.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.passed = self.last.as_deref().and_then(|id| id.parse().ok());
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Tells whether a part of an event is held.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}
