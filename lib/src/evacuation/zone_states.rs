//! What an instance knows of the zones: which are evacuated, and which were until recently.
//!
//! The load that this answers is a zone that operators empty while requests arrive, retry and move: every
//! choice of an endpoint asks here first. The second is the same zone when it comes back: its endpoints may
//! have turned cold shortly before, which an endpoint list that is older does not show.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use crate::ids::ZoneId;

/// A change of a zone's state, as this instance learned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the zone is evacuated now.
    pub is_evacuated: bool,
}

/// The zones that are evacuated, and when the evacuation of others ended.
#[derive(Clone, Debug, Default)]
pub struct ZoneStates {
    evacuated: Arc<BTreeSet<ZoneId>>,
    ended: BTreeMap<ZoneId, Instant>,
}

impl ZoneStates {
    /// Applies the evacuated zones of a newer view and returns the changes.
    pub fn apply(&mut self, now: Instant, evacuated: &Arc<BTreeSet<ZoneId>>) -> Vec<ZoneChange> {
        // Views without such a change share the set, and most requests see no change.
        if Arc::ptr_eq(&self.evacuated, evacuated) {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.evacuated, evacuated.clone());
        let mut changes = Vec::new();
        for zone in before.symmetric_difference(evacuated) {
            let is_evacuated = evacuated.contains(zone);
            match is_evacuated {
                true => self.ended.remove(zone),
                false => self.ended.insert(zone.clone(), now),
            };
            changes.push(ZoneChange {
                zone: zone.clone(),
                is_evacuated,
            });
        }
        changes
    }

    /// Returns whether endpoints of the zone get no new requests.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns when this instance learned that the evacuation of the zone ended, unless it was evacuated again.
    ///
    /// Endpoints of the zone may have turned cold before that, so what an endpoint list that was read earlier
    /// says of their warmth does not hold.
    pub fn returned_at(&self, zone: &ZoneId) -> Option<Instant> {
        self.ended.get(zone).copied()
    }
}
