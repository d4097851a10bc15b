//! Replicated endpoint orders, which are recorded before they are sent to the platform.
//!
//! At most one order is open for each capacity pool, so the outcome of an order whose response was
//! lost is determined before the next order for that pool is recorded.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::code::ResultCode;
use crate::command::Order;
use crate::command::OrderState;
use crate::command::Reply;
use crate::command::Timestamp;
use crate::ids::ZoneId;

/// Maximum number of closed orders that are kept for operators.
pub const MAX_CLOSED_ORDERS: usize = 256;

/// Maximum number of capacity pools with an open order, and with an accepted one.
pub const MAX_POOLS: usize = 256;

/// Maximum length of the reason of an order in bytes.
pub const MAX_REASON_BYTES: usize = 256;

/// Capacity pool: the endpoints of one kind in one availability zone.
#[derive(
    Clone, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{zone} {}", if *reclaimable { "reclaimable" } else { "on-demand" })]
pub struct CapacityPool {
    /// The availability zone.
    pub zone: ZoneId,
    /// Whether the platform may reclaim the endpoints; otherwise they are on-demand.
    pub reclaimable: bool,
}

impl From<&Order> for CapacityPool {
    fn from(order: &Order) -> Self {
        Self {
            zone: order.zone.clone(),
            reclaimable: order.reclaimable,
        }
    }
}

/// A recorded order and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// Its state.
    pub state: OrderState,
    /// Time at which it was recorded.
    pub at: Timestamp,
}

/// Replicated record of all orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Id of the last recorded order.
    last_id: u64,
    /// Open order of each pool.
    open: BTreeMap<CapacityPool, OrderRecord>,
    /// Latest accepted order of each pool.
    accepted: BTreeMap<CapacityPool, OrderRecord>,
    /// Most recently closed orders, oldest first.
    closed: VecDeque<OrderRecord>,
}

impl Orders {
    /// Returns the id of the next order.
    pub fn next_id(&self) -> u64 {
        self.last_id + 1
    }

    /// Returns the open orders.
    pub fn open(&self) -> impl Iterator<Item = &OrderRecord> {
        self.open.values()
    }

    /// Returns the latest accepted order of each pool.
    pub fn accepted(&self) -> impl Iterator<Item = &OrderRecord> {
        self.accepted.values()
    }

    /// Returns the most recently closed orders, oldest first.
    pub fn closed(&self) -> impl Iterator<Item = &OrderRecord> {
        self.closed.iter()
    }

    /// Records an order; `fence` is the fencing number of the current lease holder.
    pub fn record(&mut self, now: Timestamp, fence: Option<u64>, order: &Order) -> Reply {
        if fence != Some(order.fence) {
            return Reply::LeaseDenied;
        }
        if self.is_recorded(order) {
            return Reply::Done;
        }
        if order.id <= self.last_id {
            return refused(format!("order {} is not new", order.id));
        }
        let pool = CapacityPool::from(order);
        if let Some(open) = self.open.get(&pool) {
            return refused(format!("order {} is open for {pool}", open.order.id));
        }
        if self.open.len() >= MAX_POOLS || order.reason.len() > MAX_REASON_BYTES {
            return refused("too many zones, or the reason is too long".to_owned());
        }
        self.last_id = order.id;
        let record = OrderRecord {
            order: order.clone(),
            state: OrderState::Open,
            at: now,
        };
        self.open.insert(pool, record);
        Reply::Done
    }

    fn is_recorded(&self, order: &Order) -> bool {
        let mut records = self.open.values().chain(&self.closed);
        records.any(|record| record.order == *order)
    }

    /// Closes an order with its final state; later calls for the same order have no effect.
    pub fn close(&mut self, id: u64, state: OrderState) -> Reply {
        let mut open = self.open.iter();
        let Some((pool, _)) = open.find(|(_, record)| record.order.id == id) else {
            return Reply::Done;
        };
        let pool = pool.clone();
        if state == OrderState::Open {
            return Reply::Done;
        }
        let Some(mut record) = self.open.remove(&pool) else {
            return Reply::Done;
        };
        record.state = state;
        if state == OrderState::Accepted && self.accepted.len() < MAX_POOLS {
            self.accepted.insert(pool, record.clone());
        }
        self.closed.push_back(record);
        if self.closed.len() > MAX_CLOSED_ORDERS {
            self.closed.pop_front();
        }
        Reply::Done
    }
}

fn refused(message: String) -> Reply {
    let code = ResultCode::BadRequest;
    Reply::Refused { code, message }
}
