//! Splits a stream of server-sent events at event boundaries and records the ID of the last event.
//!
//! A stream that another endpoint resumes must continue after a complete event, but an endpoint may fail
//! within an event. Lines end with LF, CR or CRLF, and an event ends with an empty line
//! (<https://html.spec.whatwg.org/multipage/server-sent-events.html>).

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

/// Maximum size of an event in bytes.
///
/// The events of model engines hold a few tokens, so only a faulty endpoint sends this many bytes
/// without the end of an event.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// The error for bytes that cannot be forwarded as events of the stream.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FramingError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[display("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The resumed stream does not continue after the last event that was forwarded.
    #[display("the resumed stream is not the continuation")]
    NotContinued,
}

/// Recognizes the ends of lines and events.
#[derive(Clone, Copy, Debug, Default)]
struct EventScanner {
    /// Whether the current line has a byte.
    in_line: bool,
    /// Whether the current line is a comment, as far as it has a byte.
    in_comment: bool,
    /// Whether the current event has a complete line that is not empty.
    has_line: bool,
    /// Whether the current event has a complete line that is not a comment.
    has_field: bool,
    /// Whether the last byte was a CR, to which an LF belongs.
    after_cr: bool,
    /// Whether an event other than a comment has ended.
    has_event: bool,
}

impl EventScanner {
    /// Scans up to the end of the first event in `bytes` and returns the position after it, or scans all
    /// bytes if no event ends there.
    fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut position = 0;
        let first = bytes.first()?;
        if std::mem::take(&mut self.after_cr) && *first == b'\n' {
            position = 1;
            if !self.has_line {
                return Some(position);
            }
        }
        while let Some(byte) = bytes.get(position) {
            let Some(length) = memchr::memchr2(b'\n', b'\r', &bytes[position..]) else {
                self.start_line(*byte);
                return None;
            };
            if length > 0 {
                self.start_line(*byte);
            }
            position += length;
            let is_cr = bytes[position] == b'\r';
            position += 1;
            if is_cr {
                match bytes.get(position) {
                    Some(b'\n') => position += 1,
                    Some(_) => {}
                    None => self.after_cr = true,
                }
            }
            if self.end_line() {
                return Some(position);
            }
        }
        None
    }

    /// Scans all bytes and returns the position after the last event that ends in them.
    fn last_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last = None;
        let mut start = 0;
        while let Some(end) = self.next_end(&bytes[start..]) {
            start += end;
            last = Some(start);
        }
        last
    }

    fn start_line(&mut self, first_byte: u8) {
        if !std::mem::replace(&mut self.in_line, true) {
            self.in_comment = first_byte == b':';
        }
    }

    /// Ends the current line and returns whether it was empty, which ends the event.
    fn end_line(&mut self) -> bool {
        if std::mem::take(&mut self.in_line) {
            self.has_line = true;
            self.has_field |= !self.in_comment;
            return false;
        }
        self.has_event |= self.has_field;
        (self.has_line, self.has_field) = (false, false);
        true
    }

    /// Returns whether the bytes so far end within a line or an event; comments are not part of an event.
    fn is_inside_event(&self) -> bool {
        self.in_line || self.has_field
    }
}

/// Buffers the last event of a stream until it has arrived completely.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    /// Scans the bytes of the current endpoint.
    scanner: EventScanner,
    last: Option<String>,
    /// Whether the last event that was forwarded has no ID, so that the position after it has no name.
    is_unnumbered: bool,
    /// Whether the first event after the stream was resumed has yet to arrive.
    is_resuming: bool,
    /// Whether another endpoint continues the stream.
    is_restarted: bool,
}

impl EventFramer {
    /// Adds bytes to the stream and returns all events that are complete now.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, FramingError> {
        let end = self.scanner.last_end(&bytes);
        let start = self.partial.len();
        self.partial.extend_from_slice(&bytes);
        let Some(end) = end else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(FramingError::TooLong),
                false => Ok(Bytes::new()),
            };
        };
        let events = self.partial.split_to(start + end).freeze();
        let events = match self.is_resuming {
            true => self.drop_repeated(events)?,
            false => events,
        };
        if let Some(id) = last_id(&events) {
            self.last = Some(id.to_owned());
        }
        let last_event = events_of(&events).filter(|event| !is_comment(event)).last();
        if let Some(event) = last_event {
            self.is_unnumbered = last_id(event).is_none();
        }
        Ok(events)
    }

    /// Follows bytes that are forwarded as they arrive.
    pub fn observe(&mut self, bytes: &[u8]) {
        self.scanner.last_end(bytes);
    }

    /// Removes the leading events that the caller already received before the stream was resumed.
    ///
    /// The first event that remains must have an ID, and a higher one if IDs are numbers. Anything else,
    /// such as the text of an error, is not part of the stream.
    fn drop_repeated(&mut self, events: Bytes) -> Result<Bytes, FramingError> {
        let last = self.last.as_deref().unwrap_or_default();
        let last_number = last.parse::<u64>().ok();
        let mut start = 0;
        for event in events_of(&events) {
            if !is_comment(event) {
                let id = last_id(event).ok_or(FramingError::NotContinued)?;
                let is_new = match last_number {
                    Some(last) => {
                        let number: Option<u64> = id.parse().ok();
                        number.ok_or(FramingError::NotContinued)? > last
                    }
                    None => id != last,
                };
                if is_new {
                    self.is_resuming = false;
                    break;
                }
            }
            start += event.len();
        }
        Ok(events.slice(start..))
    }

    /// Takes the last event of a stream that ended without its terminating empty line.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanner = EventScanner::default();
        self.partial.split().freeze()
    }

    /// Discards the incomplete event before another endpoint resumes the stream.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
        self.is_resuming = self.last.is_some();
        self.is_restarted = true;
    }

    /// Returns the ID of the last complete event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns whether another endpoint can be asked to continue exactly after the forwarded events.
    pub fn is_resumable(&self) -> bool {
        !self.is_unnumbered
    }

    /// Returns whether another endpoint continues the stream.
    pub fn is_restarted(&self) -> bool {
        self.is_restarted
    }

    /// Returns whether the bytes of the current endpoint end within an event.
    pub fn is_partial(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns whether the current endpoint has sent a whole event.
    pub fn has_event(&self) -> bool {
        self.scanner.has_event
    }
}

/// Returns the events, each with the empty line that ends it.
fn events_of(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let end = EventScanner::default().next_end(rest).unwrap_or(rest.len());
        let (event, tail) = rest.split_at(end);
        rest = tail;
        (!event.is_empty()).then_some(event)
    })
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the ID of the last event that has one.
fn last_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(is_line_end);
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(is_line_end);
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}
