//! The backlogs of all stage services as one node knows them: those that the owners report in
//! heartbeats, and the pieces that nodes have reserved for requests that haven't reached a stage
//! yet. No I/O.

use {
    crate::{
        backlog::{Backlog, PiecesByRank, RANKS},
        worker_pools::WorkerPool,
    },
    fernring_protocol::gateway::{LoadScope, StageLoad},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Age beyond which an owner's report is ignored: more than two heartbeats were lost, and the peer
/// may no longer be the owner.
const REPORT_AGE_MAX: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct Peer {
    reported_at: Duration,
    /// Backlogs of the services that it owns.
    backlogs: HashMap<u32, Backlog>,
    reserved_at: Duration,
    /// Pieces reserved by the peer, or by its whole failure domain.
    reserved: HashMap<u32, PiecesByRank>,
    /// Whether `reserved` is the sum of its domain.
    is_sum: bool,
}

impl Peer {
    fn reserved(&self, now: Duration) -> impl Iterator<Item = (&u32, &PiecesByRank)> {
        let is_fresh = now <= self.reserved_at + REPORT_AGE_MAX;
        self.reserved.iter().filter(move |_| is_fresh)
    }
}

/// All backlogs known to one node.
#[derive(Debug, Default)]
pub struct Backlogs {
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    /// Invariant: each entry has a nonzero count.
    reserved: RefCell<BTreeMap<WorkerPool, PiecesByRank>>,
    /// The reservations last sent to this domain's delegates, which the sums published by the
    /// delegates contain.
    sent: RefCell<HashMap<u32, PiecesByRank>>,
}

/// Pieces of a stage that are reserved for a request and not requested yet; dropping it releases
/// them.
#[derive(Debug)]
pub struct Reservation {
    backlogs: Rc<Backlogs>,
    pool: WorkerPool,
    rank: usize,
    pieces: u32,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut all = self.backlogs.reserved.borrow_mut();
        if let Some(reserved) = all.get_mut(&self.pool) {
            reserved[self.rank] -= self.pieces;
            if *reserved == PiecesByRank::default() {
                all.remove(&self.pool);
            }
        }
    }
}

impl Backlogs {
    /// Reserves pieces of a stage for a request of a rank.
    pub fn reserve(self: &Rc<Self>, pool: &WorkerPool, rank: usize, pieces: u32) -> Reservation {
        let mut all = self.reserved.borrow_mut();
        all.entry(pool.clone()).or_default()[rank] += pieces;
        drop(all);
        Reservation { backlogs: self.clone(), pool: pool.clone(), rank, pieces }
    }

    /// Returns the backlog of a pool of workers: the one that its owner has or last reported, plus
    /// the reservations of all nodes. `own` is the backlog if this node is the owner.
    pub fn estimate(
        &self,
        now: Duration,
        pool: &WorkerPool,
        own: Option<Backlog>,
    ) -> Option<Backlog> {
        let hash = pool.hash();
        let peers = self.peers.borrow();
        let fresh = peers.values().filter(|peer| now <= peer.reported_at + REPORT_AGE_MAX);
        let reported = || {
            let newest = fresh.clone().filter(|peer| peer.backlogs.contains_key(&hash));
            let newest = newest.max_by_key(|peer| peer.reported_at)?;
            Some(newest.backlogs[&hash].extrapolate(now.saturating_sub(newest.reported_at)))
        };
        let mut backlog = own.or_else(reported)?;
        for (_, reserved) in peers
            .values()
            .flat_map(|peer| peer.reserved(now))
            .filter(|(service_hash, _)| **service_hash == hash)
        {
            backlog.add_reserved(reserved);
        }
        if let Some(reserved) = self.reserved.borrow().get(pool) {
            backlog.add_reserved(reserved);
        }
        Some(backlog)
    }

    /// Returns the loads to publish in heartbeats: the backlogs of own services, and the
    /// reservations of this node or of its failure domain.
    pub fn stage_loads(
        &self,
        now: Duration,
        own: Vec<(WorkerPool, Backlog)>,
        load_scope: LoadScope,
    ) -> Vec<StageLoad> {
        let mut loads: BTreeMap<u32, StageLoad> = BTreeMap::new();
        for (pool, backlog) in own {
            let load = loads.entry(pool.hash()).or_default();
            load.is_owner = true;
            load.rate_per_s = backlog.rate_per_s as f32;
            load.arrivals_per_s = backlog.arrivals_per_s.map(|per_s| per_s as f32).to_vec();
            load.waiting = backlog.waiting.to_vec();
            load.late = backlog.late;
        }
        for (service_hash, reserved) in self.reservations_of(now, load_scope) {
            loads.entry(service_hash).or_default().reserved = reserved.to_vec();
        }
        loads.into_iter().map(|(service_hash, load)| StageLoad { service_hash, ..load }).collect()
    }

    fn reservations_of(&self, now: Duration, load_scope: LoadScope) -> HashMap<u32, PiecesByRank> {
        let own = self.reserved.borrow();
        let mut sums: HashMap<_, _> =
            own.iter().map(|(pool, reserved)| (pool.hash(), *reserved)).collect();
        match load_scope {
            LoadScope::Sender => *self.sent.borrow_mut() = sums.clone(),
            LoadScope::Domain => {
                let peers = self.peers.borrow();
                let in_domain = peers.values().filter(|peer| !peer.is_sum);
                for (service_hash, reserved) in in_domain.flat_map(|peer| peer.reserved(now)) {
                    let sum = sums.entry(*service_hash).or_default();
                    sum.iter_mut().zip(reserved).for_each(|(sum, more)| *sum += more);
                }
            }
            LoadScope::Omitted => sums.clear(),
        }
        sums
    }

    /// Handles the loads that a peer reports. `contains_own` states whether the sums of the peer's
    /// domain contain this node's reservations.
    pub fn handle_loads(
        &self,
        now: Duration,
        peer: SocketAddr,
        loads: &[StageLoad],
        load_scope: LoadScope,
        contains_own: bool,
    ) {
        let mut peers = self.peers.borrow_mut();
        let report = peers.entry(peer).or_default();
        let owned = loads.iter().filter(|load| load.is_owner);
        report.reported_at = now;
        report.backlogs = owned.map(|load| (load.service_hash, backlog_of(load))).collect();
        if load_scope == LoadScope::Omitted {
            return;
        }
        report.reserved_at = now;
        report.is_sum = load_scope == LoadScope::Domain;
        report.reserved =
            loads.iter().map(|load| (load.service_hash, by_rank(&load.reserved))).collect();
        if contains_own {
            for (service_hash, own) in &*self.sent.borrow() {
                let sum = report.reserved.entry(*service_hash).or_default();
                sum.iter_mut().zip(own).for_each(|(sum, own)| *sum = sum.saturating_sub(*own));
            }
        }
    }

    /// Removes the reports of a lost peer.
    pub fn remove_peer(&self, peer: SocketAddr) {
        self.peers.borrow_mut().remove(&peer);
    }
}

fn backlog_of(load: &StageLoad) -> Backlog {
    Backlog {
        rate_per_s: load.rate_per_s.into(),
        arrivals_per_s: by_rank(&load.arrivals_per_s).map(f64::from),
        waiting: by_rank(&load.waiting),
        late: load.late,
    }
}

/// Returns the values by rank; missing ones are the default.
fn by_rank<T: Copy + Default>(values: &[T]) -> [T; RANKS] {
    let mut ranks = [T::default(); RANKS];
    ranks.iter_mut().zip(values).for_each(|(rank, value)| *rank = *value);
    ranks
}
