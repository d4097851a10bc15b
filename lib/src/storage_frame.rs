//! Frames, the checksummed and length-prefixed units of log segments and snapshot files.
//!
//! A frame consists of a magic number, the payload length and a CRC-32 of length and payload (both as
//! little-endian 32-bit integers), and the payload encoded with postcard. See `docs/replication.md`.

use std::io;

use serde::Deserialize;
use serde::Serialize;

use crate::raft_message::Entry;
use crate::raft_message::HardState;
use crate::raft_message::Index;
use crate::raft_message::MemberId;

/// Magic number at the start of each frame.
const MAGIC: [u8; 4] = *b"FMR1";
/// Length in bytes of magic number, payload length and checksum.
const HEADER_BYTES: usize = 12;

/// A change of the durable state, as stored in a log segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// First record of a segment. It repeats the state of older segments, so that they can be removed.
    Segment {
        /// Member id of the data folder.
        id: Option<MemberId>,
        /// Current term and vote.
        hard: HardState,
        /// Synced length in bytes of the preceding segment.
        previous: u64,
    },
    /// Assigns a member id to the data folder.
    Identity(MemberId),
    /// Replaces the term and the vote.
    Hard(HardState),
    /// Appends an entry, after removing existing ones from its index on.
    Entry(Entry),
    /// Removes all entries; the next entry follows this index.
    Reset(Index),
}

/// A group of records with its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Frame {
    /// Number of the segment. It distinguishes frames of this file from those of an earlier file in the
    /// same disk blocks.
    pub(crate) segment: u64,
    /// Offset in bytes of the frame in the segment.
    pub(crate) offset: u64,
    /// Offset up to which the segment had been synced when the frame was encoded.
    pub(crate) synced: u64,
    /// The records. A frame without records is a seal, which only states the synced offset.
    pub(crate) records: Vec<Record>,
}

/// Result of reading a segment.
#[derive(Debug, Default)]
pub(crate) struct SegmentScan {
    /// All records before the first unreadable byte.
    pub(crate) records: Vec<Record>,
    /// Offset after the last readable frame.
    pub(crate) end: u64,
    /// Offset after the last readable frame with records.
    pub(crate) data_end: u64,
    /// Highest synced offset that any frame states, including frames after unreadable bytes.
    pub(crate) synced: u64,
    /// Length of the file in bytes.
    pub(crate) length: u64,
}

impl SegmentScan {
    /// Reads a segment.
    pub(crate) fn new(segment: u64, bytes: &[u8]) -> Self {
        let length = bytes.len() as u64;
        let mut scan = Self {
            length,
            ..Self::default()
        };
        while let Some((frame, end)) = read_frame(segment, bytes, scan.end as usize) {
            scan.end = end as u64;
            scan.synced = scan.synced.max(frame.synced);
            if !frame.records.is_empty() {
                scan.data_end = scan.end;
                scan.records.extend(frame.records);
            }
        }
        scan.scan_unreadable_tail(segment, bytes);
        scan
    }

    /// Returns whether synced data is unreadable.
    pub(crate) fn is_corrupt(&self) -> bool {
        self.synced > self.end
    }

    /// Returns whether the file ends in bytes that are unreadable or may not be durable.
    pub(crate) fn is_uncertain(&self) -> bool {
        self.data_end > self.synced || self.length > self.end
    }

    /// Searches for frames after unreadable bytes. If one states that those bytes had been synced, they
    /// are corrupt and not the remains of an interrupted write.
    fn scan_unreadable_tail(&mut self, segment: u64, bytes: &[u8]) {
        let start = self.end as usize;
        for offset in start..bytes.len().saturating_sub(HEADER_BYTES) {
            if bytes[offset..].starts_with(&MAGIC)
                && let Some((frame, _)) = read_frame(segment, bytes, offset)
            {
                self.synced = self.synced.max(frame.synced);
            }
        }
    }
}

/// Decodes the frame at an offset, unless it belongs to another segment or offset.
fn read_frame(segment: u64, bytes: &[u8], offset: usize) -> Option<(Frame, usize)> {
    let (payload, end) = decode_frame(bytes, offset)?;
    let frame: Frame = postcard::from_bytes(payload).ok()?;
    let is_in_place = frame.segment == segment && frame.offset == offset as u64;
    is_in_place.then_some((frame, end))
}

/// Encodes a value and appends it to `bytes` as a frame.
pub(crate) fn encode_frame(value: &impl Serialize, bytes: &mut Vec<u8>) -> io::Result<()> {
    let payload = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let length = u32::try_from(payload.len()).map_err(io::Error::other)?;
    let length = length.to_le_bytes();
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(length, &payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(())
}

/// Returns the payload of the frame at an offset and the offset after the frame.
pub(crate) fn decode_frame(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length: [u8; 4] = header[4..8].try_into().ok()?;
    let expected = u32::from_le_bytes(header[8..].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let end = start + u32::from_le_bytes(length) as usize;
    let payload = bytes.get(start..end)?;
    let is_valid = header[..4] == MAGIC && checksum(length, payload) == expected;
    is_valid.then_some((payload, end))
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}
