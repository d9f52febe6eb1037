//! Which workspaces demand most of a stage service. No I/O.
//!
//! Handles a workspace that sends a multiple of its usual requests to a service that is short of
//! capacity. Thousands of workspaces exist, and only those that take much from others matter, so
//! each node keeps a sketch of fixed size per service (space-saving) and reports its top entries.
//! The inputs are the requests that arrive at this node, without delay. The rates decay over the
//! same window as those of the ranks, so that both can be compared.

use {
    crate::{backlog::rank_index, demand::RATE_WINDOW},
    fernring_protocol::gateway::WorkspaceDemand,
    std::{collections::BTreeMap, time::Duration},
};

/// Number of entries of a sketch: more than the requests that one small VM admits in a window.
const ENTRIES_MAX: usize = 32;
/// Number of workspaces that a node reports to the delegates of its domain, for each service.
const REPORTED_MAX: usize = 16;
/// Part of a node's highest demand below which a workspace is not reported.
const REPORTED_PART: f32 = 1.0 / 32.0;
/// Number of workspaces that a delegate reports for its domain, for each service. It is above that
/// of a node, since the nodes' top workspaces differ.
const MERGED_MAX: usize = 24;
/// Number of pieces below which a demand is forgotten.
const NEGLIGIBLE_PIECES: f64 = 0.01;

/// A workspace in one priority rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceRank {
    /// Short hash of the workspace's name; that of the empty name for requests without a workspace.
    pub workspace_hash: u32,
    /// Index of the rank.
    pub rank: usize,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    workspace: WorkspaceRank,
    /// Decayed number of pieces. Invariant: not below the true number.
    pieces: f64,
    /// Largest possible excess of `pieces`, taken over from the entry that this one replaced.
    excess: f64,
}

impl Entry {
    /// Returns the number of pieces that the workspace has certainly demanded. A workspace whose
    /// demand is overestimated would be refused without reason.
    fn certain_pieces(&self) -> f64 {
        self.pieces - self.excess
    }
}

/// Sketch of the workspaces' recent demand for one service at one node.
#[derive(Debug, Default)]
pub struct WorkspaceDemands {
    /// Invariant: at most [`ENTRIES_MAX`] entries, with distinct workspaces.
    entries: Vec<Entry>,
    decayed_at: Duration,
}

impl WorkspaceDemands {
    /// Counts the pieces of a request that has arrived, whether it is admitted or not.
    pub fn record(&mut self, now: Duration, workspace: WorkspaceRank, pieces: u32) {
        self.decay(now);
        let pieces = f64::from(pieces);
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.workspace == workspace) {
            entry.pieces += pieces;
            return;
        }
        let excess = self.evict_smallest();
        self.entries.push(Entry { workspace, pieces: pieces + excess, excess });
    }

    /// Returns the workspaces with the highest demand, the highest first, without those in ranks
    /// for which `is_short` is false.
    pub fn heaviest(
        &mut self,
        now: Duration,
        is_short: impl Fn(usize) -> bool,
    ) -> Vec<WorkspaceDemand> {
        self.decay(now);
        let short = self.entries.iter().filter(|entry| is_short(entry.workspace.rank));
        let demands = short.map(|entry| WorkspaceDemand {
            workspace_hash: entry.workspace.workspace_hash,
            rank: entry.workspace.rank as u32,
            offered_per_s: (entry.certain_pieces() / RATE_WINDOW.as_secs_f64()) as f32,
        });
        let mut heaviest = keep_heaviest(demands.collect(), REPORTED_MAX);
        let highest_per_s = heaviest.first().map_or(0.0, |demand| demand.offered_per_s);
        let limit_per_s = highest_per_s * REPORTED_PART;
        heaviest.retain(|demand| demand.offered_per_s >= limit_per_s);
        heaviest
    }

    /// Returns whether nothing is left of the demand.
    pub fn is_negligible(&mut self, now: Duration) -> bool {
        self.decay(now);
        self.entries.iter().all(|entry| entry.pieces < NEGLIGIBLE_PIECES)
    }

    /// Makes space for an entry, and returns the pieces of the entry that was removed.
    fn evict_smallest(&mut self) -> f64 {
        if self.entries.len() < ENTRIES_MAX {
            return 0.0;
        }
        let by_pieces =
            |(_, a): &(usize, &Entry), (_, b): &(usize, &Entry)| a.pieces.total_cmp(&b.pieces);
        let smallest = self.entries.iter().enumerate().min_by(by_pieces).map(|(index, _)| index);
        smallest.map_or(0.0, |index| self.entries.swap_remove(index).pieces)
    }

    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = (-age / RATE_WINDOW.as_secs_f64()).exp();
        for entry in &mut self.entries {
            entry.pieces *= factor;
            entry.excess *= factor;
        }
        self.decayed_at = now;
    }
}

/// Adds up the reports of several nodes or domains by workspace and rank.
pub fn sum_demands(reports: impl IntoIterator<Item = WorkspaceDemand>) -> Vec<WorkspaceDemand> {
    let mut sums: BTreeMap<WorkspaceRank, WorkspaceDemand> = BTreeMap::new();
    for demand in reports.into_iter().filter(|demand| demand.offered_per_s.is_finite()) {
        let workspace =
            WorkspaceRank { workspace_hash: demand.workspace_hash, rank: rank_index(demand.rank) };
        let empty = WorkspaceDemand { offered_per_s: 0.0, ..demand };
        sums.entry(workspace).or_insert(empty).offered_per_s += demand.offered_per_s.max(0.0);
    }
    sums.into_values().collect()
}

/// Adds up the reports of a domain's nodes, and returns the workspaces with the highest demand, the
/// highest first.
pub fn domain_demands(reports: impl IntoIterator<Item = WorkspaceDemand>) -> Vec<WorkspaceDemand> {
    keep_heaviest(sum_demands(reports), MERGED_MAX)
}

fn keep_heaviest(mut demands: Vec<WorkspaceDemand>, count_max: usize) -> Vec<WorkspaceDemand> {
    demands.sort_by(|a, b| b.offered_per_s.total_cmp(&a.offered_per_s));
    demands.truncate(count_max);
    demands
}
