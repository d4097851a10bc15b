//! Limits of all workspaces: the leader's pools, an entry's shares, and what polls carry between
//! them. The rules of one workspace are in [`crate::limit`].

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

/// A leader grants only while its last confirmed heartbeat round is younger than this, the
/// shortest election timeout, so that grants of two leaders do not add up.
pub const MAX_QUORUM_AGE: Duration = Duration::from_millis(400);

/// Up to this number of limited workspaces, an entry asks for all of them with each poll, so that
/// a first request finds quota; above it, only for those with requests in the last seconds.
pub const MAX_IDLE_WORKSPACES: usize = 64;

/// Time after the last request for which an entry asks on for a workspace.
pub const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// Demand of one entry for one workspace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRow {
    workspace: WorkspaceId,
    requests: f64,
    tokens: f64,
    running: u32,
    permits: u32,
    received: u64,
}

/// Grant to one entry for one workspace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkRow {
    workspace: WorkspaceId,
    number: u64,
    requests: Option<f64>,
    tokens: Option<f64>,
    permits: Option<u32>,
}

/// The leader's pools.
#[derive(Debug)]
pub struct QuotaPools {
    first: u64,
    version: Option<Version>,
    pools: HashMap<WorkspaceId, (Limit, QuotaPool)>,
}

impl QuotaPools {
    /// Creates the pools of the leader of a term.
    pub fn new(term: u64) -> Self {
        Self {
            first: term << 32,
            version: None,
            pools: HashMap::new(),
        }
    }

    /// Follows the limits of a view; a pool whose limit changes grants nothing for the lifetime of
    /// the chunks that it gave out.
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

    /// Answers the demand of an entry.
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
            let chunk = pool.grant(now, instance, demand, self.first);
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

#[derive(Debug)]
struct WorkspaceShare {
    limit: Limit,
    quota: QuotaShare,
    last_used: Option<Instant>,
}

/// An entry's shares, which traffic threads spend from.
#[derive(Debug, Default)]
pub struct QuotaShares {
    shares: ShardedLock<HashMap<WorkspaceId, Arc<Mutex<WorkspaceShare>>>>,
    version: Mutex<Option<Version>>,
}

impl QuotaShares {
    /// Follows the limits of a view.
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

    /// Takes one request with its expected tokens; a workspace without a limit may always run.
    pub fn admit(&self, now: Instant, workspace: &WorkspaceId, tokens: u32) -> Result<(), Denied> {
        let Some(share) = self.share(workspace) else {
            return Ok(());
        };
        let mut share = share.lock().expect("share lock poisoned");
        share.last_used = Some(now);
        share.quota.admit(now, tokens)
    }

    /// Returns the place of a request and corrects its tokens.
    pub fn settle(&self, now: Instant, workspace: &WorkspaceId, expected: u32, used: u32) {
        if let Some(share) = self.share(workspace) {
            let mut share = share.lock().expect("share lock poisoned");
            share.quota.settle(now, expected, used);
        }
    }

    /// Tells whether any workspace has limits.
    pub fn has_limits(&self) -> bool {
        !self.shares.read().expect("shares lock poisoned").is_empty()
    }

    /// Returns what to ask for in the next poll.
    pub fn demand(&self, now: Instant) -> Vec<DemandRow> {
        let shares = self.shares.read().expect("shares lock poisoned");
        let all = shares.len() <= MAX_IDLE_WORKSPACES;
        let mut rows = Vec::new();
        for (workspace, share) in shares.iter() {
            let mut share = share.lock().expect("share lock poisoned");
            let active = share
                .last_used
                .is_some_and(|used| now < used + ACTIVE_PERIOD);
            if !all && !active && share.quota.running() == 0 {
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

    /// Takes over chunks that were asked for at `requested_at`.
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
