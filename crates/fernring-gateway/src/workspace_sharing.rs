//! Divides the shares of ranks among workspaces at the owner of a stage service, and collects the
//! demand that this needs.

use {
    crate::{
        admission_shares::Availability, backlog::RANKS, demand::RatesByRank, log, telemetry,
        worker_pools::WorkerPool, workspace_demands::WorkspaceRank,
        workspace_reports::WorkspaceReports, workspace_shares::divide,
    },
    fernring_core::text::LogLine,
    fernring_protocol::gateway::{LoadScope, StageLoad, WorkspaceDemand, WorkspaceShare},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Shortest time between log lines on the listed workspaces of one pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The demand of workspaces that this node knows, and what it has logged of their shares.
#[derive(Debug, Default)]
pub struct WorkspaceSharing {
    reports: RefCell<WorkspaceReports>,
    /// Number of workspaces that were logged as listed, and when, by the hash of the pool.
    logged: RefCell<HashMap<u32, (usize, Duration)>>,
}

impl WorkspaceSharing {
    /// Counts pieces of a request that arrives.
    pub fn record(&self, now: Duration, pool: u32, workspace: WorkspaceRank, pieces: u32) {
        self.reports.borrow_mut().record(now, pool, workspace, pieces);
    }

    /// Divides the shares of the limited ranks of a pool that this node owns. Returns the listed
    /// workspaces; `availability` then holds the shares of all others.
    pub fn divide_owned(
        &self,
        now: Duration,
        pool: &WorkerPool,
        offered_per_s: &RatesByRank,
        availability: &mut Availability,
    ) -> Vec<WorkspaceShare> {
        let reported = self.reports.borrow_mut().total(now, pool.hash());
        let mut listed = Vec::new();
        let limited = availability.shares.map(|share| share < 1.0);
        for rank in (0..RANKS).filter(|rank| limited[*rank]) {
            let available_per_s = availability.available_per_s[rank];
            let shares = divide(rank, available_per_s, offered_per_s[rank], &reported);
            availability.shares[rank] = shares.others;
            listed.extend(shares.listed);
        }
        self.log_listed(now, pool, &listed);
        telemetry::set_limited_workspaces(&pool.service, listed.len());
        listed
    }

    /// Returns the demands to report in heartbeats, by the hash of the pool.
    pub fn to_report(
        &self,
        now: Duration,
        load_scope: LoadScope,
        is_short: impl Fn(u32, usize) -> bool,
    ) -> BTreeMap<u32, Vec<WorkspaceDemand>> {
        self.reports.borrow_mut().to_report(now, load_scope, is_short)
    }

    /// Handles the loads that a peer reports.
    pub fn handle_loads(
        &self,
        now: Duration,
        peer: SocketAddr,
        loads: &[StageLoad],
        load_scope: LoadScope,
        contains_own: bool,
    ) {
        let mut reports = self.reports.borrow_mut();
        reports.handle_loads(now, peer, loads, load_scope, contains_own);
    }

    /// Removes the reports of a lost peer.
    pub fn remove_peer(&self, peer: SocketAddr) {
        self.reports.borrow_mut().remove_peer(peer);
    }

    fn log_listed(&self, now: Duration, pool: &WorkerPool, listed: &[WorkspaceShare]) {
        let mut logged = self.logged.borrow_mut();
        let (count, at) = logged.get(&pool.hash()).copied().unwrap_or_default();
        let has_started_or_ended = listed.is_empty() != (count == 0);
        if !has_started_or_ended && (listed.is_empty() || now < at + LOG_INTERVAL) {
            return;
        }
        logged.insert(pool.hash(), (listed.len(), now));
        let smallest = listed.iter().min_by(|a, b| a.share.total_cmp(&b.share));
        let line = LogLine::event("workspaces_limited")
            .with("service", pool)
            .with("workspaces", listed.len())
            .with_some("workspace_hash", smallest.map(|listed| listed.workspace_hash))
            .with_some("rank", smallest.map(|listed| listed.rank))
            .with_some("share", smallest.map(|listed| format!("{:.3}", listed.share)));
        log::info(line);
    }
}
