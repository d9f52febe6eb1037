//! Rate limits of workspaces, divided among the nodes of a failure domain without a coordinator.
//!
//! Each node reports the demand that it sees in its heartbeats. A node's share of a limit is
//! proportional to its share of the demand that the live nodes of the domain report, so the shares
//! add up to the limit as soon as all nodes have received the reports.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Length of the windows over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Burst that a workspace may send, as the time in seconds in which its rate allows that many
/// requests.
const BURST_S: f64 = 0.5;
/// Part of its even share that a node keeps regardless of the reported demand, for callers that
/// move to it from another node.
const EVEN_SHARE_FLOOR: f64 = 0.1;

/// Demand of one workspace at one node.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceDemand {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Arrival rate, in requests per second.
    pub per_s: f64,
}

/// Token bucket and measured demand of one workspace.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Duration,
    arrived: u32,
    window_started_at: Duration,
    demand_per_s: f64,
    peer_demand_per_s: f64,
    is_first_window: bool,
}

/// Token buckets of the workspaces that have a limit.
#[derive(Debug, Default)]
pub struct WorkspaceLimits {
    buckets: HashMap<Arc<str>, TokenBucket>,
    live_nodes: u32,
}

impl WorkspaceLimits {
    /// Updates the number of live nodes and the demand that the other live nodes of the domain
    /// report.
    pub fn set_peer_demand(&mut self, live_nodes: u32, peers: &[WorkspaceDemand]) {
        self.live_nodes = live_nodes;
        for bucket in self.buckets.values_mut() {
            bucket.peer_demand_per_s = 0.0;
        }
        for demand in peers {
            if let Some(bucket) = self.buckets.get_mut(&demand.workspace) {
                bucket.peer_demand_per_s += demand.per_s;
            }
        }
    }

    /// Admits one request of a workspace whose limit is `per_s` requests per second; 0 means no
    /// limit.
    ///
    /// # Errors
    /// Returns the retry-after time in milliseconds if the workspace is over its share.
    pub fn admit(&mut self, now: Duration, workspace: &Arc<str>, per_s: u64) -> Result<(), u64> {
        if per_s == 0 {
            return Ok(());
        }
        let nodes = f64::from(self.live_nodes.max(1));
        let limit = per_s as f64;
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(|| TokenBucket {
            tokens: (limit / nodes * BURST_S).max(1.0),
            filled_at: now,
            arrived: 0,
            window_started_at: now,
            demand_per_s: 0.0,
            peer_demand_per_s: 0.0,
            is_first_window: true,
        });
        bucket.arrived += 1;
        bucket.roll_window(now);
        let rate = bucket.share(limit, nodes);
        let elapsed_s = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.filled_at = now;
        bucket.tokens = (bucket.tokens + elapsed_s * rate).min((rate * BURST_S).max(1.0));
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        Err(((1.0 - bucket.tokens) / rate * 1_000.0).ceil() as u64)
    }

    /// Returns the demand seen by this node, for its heartbeat.
    pub fn demand(&mut self, now: Duration) -> Vec<WorkspaceDemand> {
        let mut demands = Vec::new();
        for (workspace, bucket) in &mut self.buckets {
            bucket.roll_window(now);
            if bucket.demand_per_s > 0.0 {
                demands.push(WorkspaceDemand {
                    workspace: workspace.clone(),
                    per_s: bucket.demand_per_s,
                });
            }
        }
        demands
    }
}

impl TokenBucket {
    /// Ends the current window if it is over, and averages its demand with the previous value.
    fn roll_window(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_started_at);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let measured = f64::from(self.arrived) / elapsed.as_secs_f64();
        self.demand_per_s =
            if self.is_first_window { measured } else { (self.demand_per_s + measured) / 2.0 };
        self.is_first_window = false;
        self.arrived = 0;
        self.window_started_at = now;
    }

    /// Returns this node's share of a limit, in requests per second.
    fn share(&self, limit: f64, nodes: f64) -> f64 {
        let even_share = limit / nodes;
        let total = self.demand_per_s + self.peer_demand_per_s;
        let demand_share = if total > 0.0 { limit * self.demand_per_s / total } else { even_share };
        // The floor is deducted from the demand shares of all nodes, so that the shares still add
        // up to the limit.
        demand_share * (1.0 - EVEN_SHARE_FLOOR) + even_share * EVEN_SHARE_FLOOR
    }
}
