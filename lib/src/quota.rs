//! Limits of all workspaces: the pools of the leader, the shares of an instance, and the rows that
//! polls exchange between them.
//!
//! [`crate::limit`] implements the limits of one workspace.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crossbeam::sync::ShardedLock;
use serde::Deserialize;
use serde::Serialize;

use crate::control::Denied;
use crate::ids::InstanceId;
use crate::ids::WorkspaceId;
use crate::limit::Chunk;
use crate::limit::Demand;
use crate::limit::QuotaPool;
use crate::limit::QuotaShare;
use crate::rules::Limit;
use crate::view::Version;
use crate::view::View;

/// Maximum age of the last confirmed heartbeat round at which a leader grants quota.
///
/// It equals the shortest election timeout, so that the grants of two leaders do not add up.
pub const MAX_QUORUM_AGE: Duration = Duration::from_millis(400);

/// Maximum number of limited workspaces for which an instance polls regardless of activity.
///
/// Polling for all workspaces provides quota for a first request. With more workspaces, an instance
/// polls only for those with running requests or requests within [`ACTIVE_PERIOD`].
pub const MAX_IDLE_WORKSPACES: usize = 64;

/// Time after the last request for which an instance keeps polling for a workspace.
pub const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// Demand of an instance for one workspace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRow {
    workspace: WorkspaceId,
    requests: f64,
    tokens: f64,
    running: u32,
    permits: u32,
    received: u64,
}

/// Chunk granted to an instance for one workspace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkRow {
    workspace: WorkspaceId,
    number: u64,
    requests: Option<f64>,
    tokens: Option<f64>,
    permits: Option<u32>,
}

/// Quota pools of the leader.
#[derive(Debug)]
pub struct QuotaPools {
    /// Number above which chunks of this leader are numbered.
    first_number: u64,
    version: Option<Version>,
    pools: HashMap<WorkspaceId, (Limit, QuotaPool)>,
}

impl QuotaPools {
    /// Creates the pools of the leader of a term.
    ///
    /// The term forms the upper half of chunk numbers, so that they grow from leader to leader.
    pub fn new(term: u64) -> Self {
        Self {
            first_number: term << 32,
            version: None,
            pools: HashMap::new(),
        }
    }

    /// Applies the limits of a view.
    ///
    /// A pool whose limit changes grants nothing until the chunks that it granted have expired.
    pub fn install(&mut self, now: Instant, view: &View) {
        if self.version == Some(view.version()) {
            return;
        }
        self.version = Some(view.version());
        self.pools
            .retain(|workspace, (limit, _)| view.limit(workspace.as_str()) == Some(limit));
        for workspace in view.workspaces() {
            if let Some(limit) = view.limit(workspace.id.as_str()) {
                self.pools
                    .entry(workspace.id.clone())
                    .or_insert_with(|| (limit.clone(), QuotaPool::new(now, limit.clone())));
            }
        }
    }

    /// Grants chunks in response to the demand of an instance.
    pub fn grant(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        demand: &[DemandRow],
    ) -> Vec<ChunkRow> {
        let mut rows = Vec::new();
        for row in demand {
            let Some((_, pool)) = self.pools.get_mut(&row.workspace) else {
                continue;
            };
            let demand = Demand {
                requests: row.requests,
                tokens: row.tokens,
                running: row.running,
                permits: row.permits,
                received: row.received,
            };
            let chunk = pool.grant(now, instance, demand, self.first_number);
            rows.push(ChunkRow {
                workspace: row.workspace.clone(),
                number: chunk.number,
                requests: chunk.requests,
                tokens: chunk.tokens,
                permits: chunk.permits,
            });
        }
        rows
    }
}

/// Share of one workspace with its current limit.
#[derive(Debug)]
struct WorkspaceShare {
    limit: Limit,
    quota: QuotaShare,
    last_used: Option<Instant>,
}

/// Quota shares of an instance, from which its traffic threads spend.
#[derive(Debug, Default)]
pub struct QuotaShares {
    shares: ShardedLock<HashMap<WorkspaceId, Arc<Mutex<WorkspaceShare>>>>,
    version: Mutex<Option<Version>>,
}

impl QuotaShares {
    /// Applies the limits of a view.
    pub fn install(&self, view: &View) {
        let mut version = self.version.lock().expect("version lock poisoned");
        if *version == Some(view.version()) {
            return;
        }
        *version = Some(view.version());
        let mut shares = self.shares.write().expect("shares lock poisoned");
        shares.retain(|workspace, _| view.limit(workspace.as_str()).is_some());
        for workspace in view.workspaces() {
            let Some(limit) = view.limit(workspace.id.as_str()) else {
                continue;
            };
            let share = shares.entry(workspace.id.clone()).or_insert_with(|| {
                Arc::new(Mutex::new(WorkspaceShare {
                    limit: limit.clone(),
                    quota: QuotaShare::new(limit.clone()),
                    last_used: None,
                }))
            });
            let mut share = share.lock().expect("share lock poisoned");
            if share.limit != *limit {
                share.limit = limit.clone();
                share.quota.set_limit(limit.clone());
            }
        }
    }

    /// Admits a request and takes its expected tokens; requests of a workspace without limits are
    /// always admitted.
    pub fn admit(&self, now: Instant, workspace: &WorkspaceId, tokens: u32) -> Result<(), Denied> {
        let Some(share) = self.share(workspace) else {
            return Ok(());
        };
        let mut share = share.lock().expect("share lock poisoned");
        share.last_used = Some(now);
        share.quota.admit(now, tokens)
    }

    /// Releases the permit of a request that ended, and charges its used instead of its expected
    /// tokens.
    pub fn settle(&self, now: Instant, workspace: &WorkspaceId, expected: u32, used: u32) {
        if let Some(share) = self.share(workspace) {
            let mut share = share.lock().expect("share lock poisoned");
            share.quota.settle(now, expected, used);
        }
    }

    /// Returns whether any workspace has limits.
    pub fn has_limits(&self) -> bool {
        !self.shares.read().expect("shares lock poisoned").is_empty()
    }

    /// Returns the demand to send with the next poll.
    pub fn demand(&self, now: Instant) -> Vec<DemandRow> {
        let shares = self.shares.read().expect("shares lock poisoned");
        let polls_all = shares.len() <= MAX_IDLE_WORKSPACES;
        let mut rows = Vec::new();
        for (workspace, share) in shares.iter() {
            let mut share = share.lock().expect("share lock poisoned");
            let is_active = share
                .last_used
                .is_some_and(|used_at| now < used_at + ACTIVE_PERIOD);
            if !polls_all && !is_active && share.quota.running() == 0 {
                continue;
            }
            let demand = share.quota.demand(now);
            rows.push(DemandRow {
                workspace: workspace.clone(),
                requests: demand.requests,
                tokens: demand.tokens,
                running: demand.running,
                permits: demand.permits,
                received: demand.received,
            });
        }
        rows
    }

    /// Adds chunks from a poll that was sent at `requested_at`.
    pub fn receive(&self, requested_at: Instant, chunks: &[ChunkRow]) {
        for row in chunks {
            if let Some(share) = self.share(&row.workspace) {
                let chunk = Chunk {
                    number: row.number,
                    requests: row.requests,
                    tokens: row.tokens,
                    permits: row.permits,
                };
                let mut share = share.lock().expect("share lock poisoned");
                share.quota.receive(requested_at, &chunk);
            }
        }
    }

    fn share(&self, workspace: &WorkspaceId) -> Option<Arc<Mutex<WorkspaceShare>>> {
        let shares = self.shares.read().expect("shares lock poisoned");
        shares.get(workspace).cloned()
    }
}
