//! Fair shares of workspaces within a priority rank. No I/O.
//!
//! Handles a workspace that sends a multiple of its usual requests to a service that is short of
//! capacity: with one share for the whole rank, all other workspaces would lose as much. The owner
//! of the service divides what is available to the rank by max-min fairness: a workspace that
//! demands less than a common level gets all, the others get the level. A workspace alone may so
//! use everything, and none falls below an equal part while another is above it.
//!
//! The inputs are the sums of the nodes' reports, some tenths of a second old. What the reports
//! leave out is treated as many light workspaces. Only workspaces above the level are published;
//! all others, and nodes without the list, use the share of the rank.

use {
    crate::{backlog::rank_index, workspace_demands::WorkspaceRank},
    fernring_protocol::gateway::{WorkspaceDemand, WorkspaceShare},
};

/// Largest number of workspaces whose shares are published for one rank of a service.
pub const LISTED_MAX: usize = 16;
/// Part of what is available below which a workspace counts as light. It can take little from
/// others, and its few requests don't determine a rate.
const LIGHT_PART: f64 = 1.0 / 32.0;
/// Smallest difference of a workspace's share to that of the others for which it is listed,
/// relative to the latter. The demand of a few requests a second varies by as much from one report
/// to the next.
const SHARE_DIFFERENCE_MIN: f64 = 0.2;

/// Demand of one workspace, or of several alike.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairDemand {
    /// Number of workspaces with this demand; may be fractional if it is an estimate.
    pub count: f64,
    /// Demand of each, in pieces per second.
    pub demand_per_s: f64,
    /// Weight of each. Invariant: above 0.
    pub weight: f64,
}

impl FairDemand {
    /// Returns the demand of a single workspace of weight 1.
    pub fn single(demand_per_s: f64) -> Self {
        Self { count: 1.0, demand_per_s, weight: 1.0 }
    }

    fn demand_per_weight(&self) -> f64 {
        self.demand_per_s / self.weight
    }
}

/// Returns the max-min level in pieces per second for each unit of weight: the sum of the demands,
/// each cut off at its weight times the level, is `available_per_s`. The level is infinite if all
/// demands fit.
pub fn fair_level(available_per_s: f64, demands: &[FairDemand]) -> f64 {
    let mut ascending = demands.to_vec();
    ascending.sort_by(|a, b| a.demand_per_weight().total_cmp(&b.demand_per_weight()));
    let mut weight_left: f64 = ascending.iter().map(|demand| demand.count * demand.weight).sum();
    let mut left_per_s = available_per_s.max(0.0);
    for demand in ascending {
        if demand.demand_per_weight() * weight_left > left_per_s {
            return left_per_s / weight_left;
        }
        left_per_s -= demand.count * demand.demand_per_s;
        weight_left -= demand.count * demand.weight;
    }
    f64::INFINITY
}

/// Shares of one rank's offered requests that nodes admit, from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct RankShares {
    /// Share of all workspaces that are not listed.
    pub others: f64,
    /// The workspaces above the level, the highest demand first.
    pub listed: Vec<WorkspaceShare>,
}

/// Divides what is available to a rank among its workspaces. `reported` holds the summed demands of
/// workspaces; those in other ranks are ignored.
pub fn divide(
    rank: usize,
    available_per_s: f64,
    offered_per_s: f64,
    reported: &[WorkspaceDemand],
) -> RankShares {
    if offered_per_s <= available_per_s || available_per_s <= 0.0 {
        let others = if offered_per_s <= available_per_s { 1.0 } else { 0.0 };
        return RankShares { others, listed: Vec::new() };
    }
    let light_per_s = available_per_s * LIGHT_PART;
    let heavy = heavy_demands(rank, light_per_s, reported);
    let rest_per_s = offered_per_s - sum_per_s(&heavy);
    let light = FairDemand::single(light_per_s);
    let rest = FairDemand { count: (rest_per_s / light_per_s).max(0.0), ..light };
    let singles = heavy.iter().map(|demand| FairDemand::single(demand.offered_per_s.into()));
    let level_per_s = fair_level(available_per_s, &singles.chain([rest]).collect::<Vec<_>>());
    let share_max = (level_per_s / light_per_s).min(1.0) * (1.0 - SHARE_DIFFERENCE_MIN);
    let shares = heavy.iter().map(|demand| WorkspaceShare {
        workspace_hash: demand.workspace_hash,
        rank: demand.rank,
        share: (level_per_s / f64::from(demand.offered_per_s)) as f32,
    });
    let is_listed = |listed: &WorkspaceShare| f64::from(listed.share) < share_max;
    let listed: Vec<_> = shares.take_while(is_listed).take(LISTED_MAX).collect();
    let listed_per_s = sum_per_s(&heavy[..listed.len()]);
    let others_available_per_s = available_per_s - level_per_s * listed.len() as f64;
    let others = share(others_available_per_s, offered_per_s - listed_per_s);
    RankShares { others, listed }
}

/// Returns the demands of a rank above `light_per_s`, the highest first.
fn heavy_demands(
    rank: usize,
    light_per_s: f64,
    reported: &[WorkspaceDemand],
) -> Vec<WorkspaceDemand> {
    let is_heavy = |demand: &&WorkspaceDemand| {
        rank_index(demand.rank) == rank && f64::from(demand.offered_per_s) > light_per_s
    };
    let mut heavy: Vec<_> = reported.iter().filter(is_heavy).copied().collect();
    heavy.sort_by(|a, b| b.offered_per_s.total_cmp(&a.offered_per_s));
    heavy
}

fn sum_per_s(demands: &[WorkspaceDemand]) -> f64 {
    demands.iter().map(|demand| f64::from(demand.offered_per_s)).sum()
}

fn share(available_per_s: f64, offered_per_s: f64) -> f64 {
    if offered_per_s <= available_per_s {
        return 1.0;
    }
    (available_per_s / offered_per_s).max(0.0)
}

/// Returns the share of a workspace if it is listed; else that of its rank applies. Malformed shares
/// of peers are limited to the range from 0 to 1.
pub fn listed_share(listed: &[WorkspaceShare], workspace: WorkspaceRank) -> Option<f64> {
    let is_own = |listed: &&WorkspaceShare| {
        listed.workspace_hash == workspace.workspace_hash
            && rank_index(listed.rank) == workspace.rank
            && listed.share.is_finite()
    };
    listed.iter().find(is_own).map(|listed| f64::from(listed.share).clamp(0.0, 1.0))
}
