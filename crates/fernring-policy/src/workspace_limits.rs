//! Limits of workspaces, split over the nodes of a failure domain without a coordinator.
//!
//! Each node sends the demand it sees with its heartbeat. A node's share of a limit is its part
//! of the demand that the domain's live nodes report, so the shares add up to the limit as soon
//! as the reports have gone round.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Demand is measured over windows of this length.
const WINDOW: Duration = Duration::from_millis(500);
/// Requests that a workspace may send at once above its rate, as a part of a second.
const BURST_S: f64 = 0.5;
/// Part of an even split that a node keeps whatever the others report, for callers that move.
const FLOOR_OF_EVEN: f64 = 0.1;

/// The demand of one workspace at one node, in requests a second.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceDemand {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Requests a second that arrived.
    pub per_s: f64,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Duration,
    arrived: u32,
    window_began: Duration,
    demand_per_s: f64,
    peers_per_s: f64,
    fresh: bool,
}

/// Token buckets of the workspaces that have a limit.
#[derive(Debug, Default)]
pub struct WorkspaceLimits {
    buckets: HashMap<Arc<str>, Bucket>,
    live_nodes: u32,
}

impl WorkspaceLimits {
    /// Takes in what the other live nodes of the domain report.
    pub fn set_peer_demand(&mut self, live_nodes: u32, peers: &[WorkspaceDemand]) {
        self.live_nodes = live_nodes;
        for bucket in self.buckets.values_mut() {
            bucket.peers_per_s = 0.0;
        }
        for demand in peers {
            if let Some(bucket) = self.buckets.get_mut(&demand.workspace) {
                bucket.peers_per_s += demand.per_s;
            }
        }
    }

    /// Asks for one request of a workspace.
    ///
    /// # Errors
    /// Returns when to come back, in milliseconds, if the workspace is over its share.
    pub fn admit(&mut self, now: Duration, workspace: &Arc<str>, per_s: u64) -> Result<(), u64> {
        if per_s == 0 {
            return Ok(());
        }
        let nodes = f64::from(self.live_nodes.max(1));
        let limit = per_s as f64;
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(|| Bucket {
            tokens: (limit / nodes * BURST_S).max(1.0),
            filled_at: now,
            arrived: 0,
            window_began: now,
            demand_per_s: 0.0,
            peers_per_s: 0.0,
            fresh: true,
        });
        bucket.arrived += 1;
        bucket.roll(now);
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

    /// Returns the demand seen here, for the heartbeat.
    pub fn demand(&mut self, now: Duration) -> Vec<WorkspaceDemand> {
        let mut list = Vec::new();
        for (workspace, bucket) in &mut self.buckets {
            bucket.roll(now);
            if bucket.demand_per_s > 0.0 {
                list.push(WorkspaceDemand { workspace: workspace.clone(), per_s: bucket.demand_per_s });
            }
        }
        list
    }
}

impl Bucket {
    fn roll(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_began);
        if elapsed < WINDOW {
            return;
        }
        let measured = f64::from(self.arrived) / elapsed.as_secs_f64();
        self.demand_per_s =
            if self.fresh { measured } else { (self.demand_per_s + measured) / 2.0 };
        self.fresh = false;
        self.arrived = 0;
        self.window_began = now;
    }

    fn share(&self, limit: f64, nodes: f64) -> f64 {
        let even = limit / nodes;
        let total = self.demand_per_s + self.peers_per_s;
        let by_demand = if total > 0.0 { limit * self.demand_per_s / total } else { even };
        // The floor is taken out of everybody's share, so that the sum stays at the limit.
        by_demand * (1.0 - FLOOR_OF_EVEN) + even * FLOOR_OF_EVEN
    }
}
