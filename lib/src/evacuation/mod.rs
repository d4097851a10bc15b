//! Evacuation of availability zones by operators: which zones get no new requests.
//!
//! Input are the operators' orders, which the replicated log decides ([`crate::rule_state`]), and the views in
//! which every instance learns them ([`crate::view::View::evacuated_zones`]). Output is what an instance asks
//! before it sends a request ([`ZoneStates`]). The modules depend on identifiers, rules and views only; the
//! selection of endpoints, the planner and the operators' interfaces depend on them
//! (`docs/design/evacuation.md`).

use crate::view::Version;

mod order;
mod zone_states;

pub use order::MAX_ZONE_BYTES;
pub use order::ZoneNameError;
pub use order::check_zone;
pub use order::edit;
pub use zone_states::ZoneChange;
pub use zone_states::ZoneStates;

/// Logs the changes that an instance learned with a version of the view.
pub(crate) fn log_changes(version: Version, changes: &[ZoneChange]) {
    for change in changes {
        tracing::info!(
            zone = %change.zone,
            view = version.0,
            is_evacuated = change.is_evacuated,
            "evacuation of a zone changed"
        );
    }
}
