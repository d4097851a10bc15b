//! An incremental parser and a writer for server-sent events.

/// Maximum size of an accepted event in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

use derive_more::Display;
use derive_more::Error;

/// The error for a malformed event stream.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ParseError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[display("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An event is not UTF-8.
    #[display("an event is not UTF-8")]
    NotUtf8,
}

/// Parses a byte stream, in chunks of any size, into the data of its events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: Vec<u8>,
    /// Position in `buffer` up to which no end of an event was found.
    scanned: usize,
}

impl Parser {
    /// Adds bytes to the stream and calls `emit` with the data of each event that is complete now.
    pub fn push(&mut self, bytes: &[u8], mut emit: impl FnMut(&str)) -> Result<(), ParseError> {
        if memchr::memchr(b'\r', bytes).is_some() {
            self.buffer
                .extend(bytes.iter().copied().filter(|b| *b != b'\r'));
        } else {
            self.buffer.extend_from_slice(bytes);
        }
        let mut start = 0;
        let mut scan = self.scanned;
        while let Some(offset) = memchr::memchr(b'\n', &self.buffer[scan..]) {
            let end = scan + offset;
            match self.buffer.get(end + 1) {
                Some(b'\n') => {
                    emit_event(&self.buffer[start..end], &mut emit)?;
                    start = end + 2;
                    scan = start;
                }
                Some(_) => scan = end + 1,
                // The next byte determines whether the event ends here.
                None => break,
            }
        }
        self.buffer.drain(..start);
        self.scanned = scan - start;
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(ParseError::TooLarge);
        }
        Ok(())
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        self.buffer.iter().any(|b| *b != b'\n')
    }
}

fn emit_event(bytes: &[u8], emit: &mut impl FnMut(&str)) -> Result<(), ParseError> {
    let text = std::str::from_utf8(bytes).map_err(|_| ParseError::NotUtf8)?;
    let mut data = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|line| line.strip_prefix(' ').unwrap_or(line));
    let Some(first) = data.next() else {
        return Ok(());
    };
    match data.next() {
        None => emit(first),
        Some(second) => {
            let mut joined = format!("{first}\n{second}");
            for line in data {
                joined.push('\n');
                joined.push_str(line);
            }
            emit(&joined);
        }
    }
    Ok(())
}

/// Appends an event with this data to the buffer.
pub fn write_event(buffer: &mut Vec<u8>, data: &str) {
    for line in data.split('\n') {
        buffer.extend_from_slice(b"data: ");
        buffer.extend_from_slice(line.as_bytes());
        buffer.push(b'\n');
    }
    buffer.push(b'\n');
}
