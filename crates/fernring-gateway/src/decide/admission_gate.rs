//! Applies the shares that the owners of stage services publish to the requests that arrive at one
//! node. No I/O.
//!
//! Handles crowds that reach all nodes at once, and services with so few requests that each node
//! gets one in several seconds. A carry admits exactly the share over time at any rate; it starts
//! at a random place, so that nodes that start together don't admit at the same moment.
//!
//! Inputs: the shares, up to a heartbeat and a half old, and a random number for each new carry. A
//! share whose owner went silent is kept for as long as it takes to find a new owner, then fades:
//! to admit all requests at once would fill the queues that the next owner takes over.

use {
    crate::{
        admission_shares::{Availability, SharesByRank},
        backlog::{RANKS, rank_index},
        demand::{RatesByRank, decode_rates},
        workspace_demands::WorkspaceRank,
        workspace_shares::{LISTED_MAX, listed_share},
    },
    fernring_protocol::gateway::{StageLoad, WorkspaceShare},
    std::{collections::HashMap, time::Duration},
};

/// Age up to which a share counts in full: the loss of a peer is noticed and another owner has
/// published after that.
const FULL_AGE: Duration = Duration::from_millis(1_500);
/// Age at which a share has faded.
const AGE_MAX: Duration = Duration::from_secs(3);
/// Largest number of carries, so that a configuration with thousands of routes doesn't exhaust
/// memory. All are dropped beyond it, which costs at most one request each.
const CARRIES_MAX: usize = 1_024;

/// The share that limits a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BindingShare {
    /// The worker pool with the smallest share.
    pub pool: u32,
    /// Its share, below 1.
    pub share: f64,
    /// Time since the share was received.
    pub age: Duration,
    /// Whether it is the share of the request's workspace, not of its rank.
    pub is_of_workspace: bool,
}

#[derive(Debug, Clone)]
struct KnownShares {
    shares: SharesByRank,
    available_per_s: RatesByRank,
    /// Shares of the workspaces that are listed.
    listed: Vec<WorkspaceShare>,
    received_at: Duration,
}

impl KnownShares {
    /// Returns a share as it counts now, raised towards 1 if it is old.
    fn fade(&self, now: Duration, share: f64) -> f64 {
        let beyond = self.age(now).saturating_sub(FULL_AGE);
        let faded = beyond.div_duration_f64(AGE_MAX - FULL_AGE).min(1.0);
        share + (1.0 - share) * faded
    }

    fn binding(
        &self,
        now: Duration,
        pool: u32,
        rank: usize,
        workspace_hash: Option<u32>,
    ) -> BindingShare {
        let workspace = workspace_hash.map(|workspace_hash| WorkspaceRank { workspace_hash, rank });
        let own = workspace.and_then(|workspace| listed_share(&self.listed, workspace));
        let share = self.fade(now, own.unwrap_or(self.shares[rank]));
        BindingShare { pool, share, age: self.age(now), is_of_workspace: own.is_some() }
    }

    fn is_short(&self, rank: usize) -> bool {
        let is_listed = |listed: &WorkspaceShare| rank_index(listed.rank) == rank;
        self.shares[rank] < 1.0 || self.listed.iter().any(is_listed)
    }

    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }
}

/// The shares that a node knows, and its carries.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    /// By the hash of the worker pool.
    known: HashMap<u32, KnownShares>,
    /// By the hash of the requests' group and the rank. Invariant: between 0 and 1.
    carries: HashMap<(u32, usize), f64>,
}

impl AdmissionGate {
    /// Records the shares that an owner has determined: those of the ranks, and those of listed
    /// workspaces.
    pub fn record_shares(
        &mut self,
        now: Duration,
        pool: u32,
        availability: Availability,
        listed: Vec<WorkspaceShare>,
    ) {
        let Availability { available_per_s, shares } = availability;
        let known = KnownShares { shares, available_per_s, listed, received_at: now };
        self.known.insert(pool, known);
    }

    /// Returns what is available to each rank at a pool; `None` if its owner hasn't reported it
    /// recently.
    pub fn available_per_s(&self, now: Duration, pool: u32) -> Option<RatesByRank> {
        let known = self.known.get(&pool).filter(|known| known.age(now) <= FULL_AGE);
        known.map(|known| known.available_per_s)
    }

    /// Returns whether a rank, or a workspace in it, is limited at a pool.
    pub fn is_short(&self, now: Duration, pool: u32, rank: usize) -> bool {
        let known = self.known.get(&pool).filter(|known| known.age(now) < AGE_MAX);
        known.is_some_and(|known| known.is_short(rank))
    }

    /// Records the shares in a peer's report. The newest report of a service counts, also if two
    /// nodes take themselves for its owner.
    pub fn handle_loads(&mut self, now: Duration, loads: &[StageLoad]) {
        self.known.retain(|_, known| known.age(now) < AGE_MAX);
        for load in loads.iter().filter(|load| !load.shares.is_empty()) {
            let availability = Availability {
                available_per_s: decode_rates(&load.available_per_s),
                shares: decode_shares(&load.shares),
            };
            let listed = load.workspace_shares.iter().take(LISTED_MAX * RANKS).copied().collect();
            self.record_shares(now, load.service_hash, availability, listed);
        }
    }

    /// Returns the smallest share of a rank among worker pools; `None` if none of them is short. A
    /// workspace that is listed at a pool has its own share there.
    pub fn binding_share(
        &self,
        now: Duration,
        pools: impl IntoIterator<Item = u32>,
        rank: usize,
        workspace_hash: Option<u32>,
    ) -> Option<BindingShare> {
        let known = pools.into_iter().filter_map(|pool| Some((pool, self.known.get(&pool)?)));
        let shares = known.map(|(pool, known)| known.binding(now, pool, rank, workspace_hash));
        let limiting = shares.filter(|binding| binding.share < 1.0);
        limiting.min_by(|a, b| a.share.total_cmp(&b.share))
    }

    /// Returns whether the next of those requests of a rank is admitted that have the same share:
    /// `group` is the hash of their route, or of their route and listed workspace. `draw` is between
    /// 0 and 1 and gives the first carry its place.
    pub fn admits(&mut self, group: u32, rank: usize, share: f64, draw: f64) -> bool {
        if self.carries.len() >= CARRIES_MAX && !self.carries.contains_key(&(group, rank)) {
            self.carries.clear();
        }
        let carry = self.carries.entry((group, rank)).or_insert(draw);
        *carry += share;
        let is_admitted = *carry >= 1.0;
        if is_admitted {
            *carry -= 1.0;
        }
        is_admitted
    }

    /// Returns the shares of a pool that count in full.
    pub fn recent_shares(&self, now: Duration, pool: u32) -> Option<SharesByRank> {
        let known = self.known.get(&pool).filter(|known| known.age(now) <= FULL_AGE)?;
        Some(known.shares)
    }
}

/// Encodes shares, without those at the end that are 1; at least one, since none means unknown.
pub fn encode_shares(shares: &SharesByRank) -> Vec<f32> {
    let used = shares.iter().rposition(|share| *share < 1.0).map_or(1, |last| last + 1);
    shares[..used].iter().map(|share| *share as f32).collect()
}

/// Decodes shares; missing and invalid ones are 1.
fn decode_shares(values: &[f32]) -> SharesByRank {
    let mut shares = [1.0; RANKS];
    for (share, value) in shares.iter_mut().zip(values).filter(|(_, value)| value.is_finite()) {
        *share = f64::from(value.clamp(0.0, 1.0));
    }
    shares
}
