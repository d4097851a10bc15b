//! A baseline scaler that orders the cheapest endpoints in proportion to the current load.

use std::time::Instant;

use crate::scaler::Change;
use crate::scaler::Inputs;
use crate::scaler::Need;
use crate::scaler::Plan;
use crate::scaler::Scaler;

/// Share of slots that the current load occupies at the planned number of endpoints.
pub const TARGET_UTILIZATION: f64 = 0.8;

/// Scaler that considers only the current load and the price.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimpleScaler;

impl Scaler for SimpleScaler {
    fn plan(&mut self, _now: Instant, inputs: &Inputs<'_>) -> Plan {
        let busy: f64 = inputs.demand.iter().map(|d| d.busy_slots).sum();
        let slots = TARGET_UTILIZATION * f64::from(inputs.slots.max(1));
        let all = ((busy / slots).ceil() as u32).max(1);
        let mut by_price: Vec<_> = inputs.pools.iter().collect();
        by_price.sort_by(|a, b| a.price.total_cmp(&b.price));
        let mut remaining = all;
        let mut changes = Vec::new();
        for state in by_price {
            let to = remaining.min(state.limit);
            remaining -= to;
            if to != state.ordered {
                changes.push(Change {
                    pool: state.pool.clone(),
                    from: state.ordered,
                    to,
                    reason: "load",
                });
            }
        }
        let need = Need {
            top: 0,
            all,
            floor: 0,
        };
        Plan {
            kind: "scale",
            need,
            reserve: false,
            changes,
        }
    }
}
