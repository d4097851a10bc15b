//! The operators' orders to evacuate a zone, and to end that, as edits of the rules.
//!
//! Orders cross on their way, are resent, and come from several operators at once. Therefore an order states
//! the state that it asks for and names no version, so that it is never refused for another one's sake.

use derive_more::Display;
use derive_more::Error;

use crate::ids::ZoneId;
use crate::rules::Rule;
use crate::rules::RuleBody;
use crate::rules::RuleKey;
use crate::rules::RuleKind;
use crate::view::Edit;

/// Maximum length of a zone's name in an order, in bytes.
pub const MAX_ZONE_BYTES: usize = 256;

/// The reason why no zone can have a name.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ZoneNameError {
    /// The name is empty.
    #[display("the order names no zone")]
    Empty,
    /// The name is longer than [`MAX_ZONE_BYTES`].
    #[display("the name of the zone is longer than {MAX_ZONE_BYTES} bytes")]
    TooLong,
}

/// Returns the zone with a name that an operator wrote.
///
/// The zone need not have endpoints: they may start after the order, and must get no requests then.
pub fn check_zone(name: &str) -> Result<ZoneId, ZoneNameError> {
    match name.len() {
        0 => Err(ZoneNameError::Empty),
        1..=MAX_ZONE_BYTES => Ok(name.into()),
        _ => Err(ZoneNameError::TooLong),
    }
}

/// Returns the edit that makes an order effective.
pub fn edit(zone: &ZoneId, is_active: bool) -> Edit {
    let key = RuleKey {
        kind: RuleKind::Evacuation,
        name: zone.to_string(),
    };
    match is_active {
        true => Edit::Set(Rule {
            key,
            body: RuleBody::Evacuation(zone.clone()),
            asker: String::new(),
            line: String::new(),
        }),
        false => Edit::Remove(key),
    }
}
