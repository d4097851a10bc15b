//! A naive scaler: proportional to the current load, the cheapest endpoints first.

use std::time::Instant;

use crate::scaler::Change;
use crate::scaler::Inputs;
use crate::scaler::Need;
use crate::scaler::Plan;
use crate::scaler::Scaler;

/// Share of the slots that are busy at the planned number of endpoints.
pub const UTILIZATION: f64 = 0.8;

/// The naive scaler.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimpleScaler;

impl Scaler for SimpleScaler {
    fn plan(&mut self, _now: Instant, inputs: &Inputs<'_>) -> Plan {
        let busy: f64 = inputs.demand.iter().map(|d| d.busy_slots).sum();
        let slots = UTILIZATION * f64::from(inputs.slots.max(1));
        let all = ((busy / slots).ceil() as u32).max(1);
        let mut order: Vec<_> = inputs.pools.iter().collect();
        order.sort_by(|a, b| a.price.total_cmp(&b.price));
        let mut left = all;
        let mut changes = Vec::new();
        for state in order {
            let to = left.min(state.limit);
            left -= to;
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
