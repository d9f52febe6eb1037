//! What a node knows of the backlogs of all stage services: what their owners say in heartbeats, and
//! what the nodes have promised to requests that haven't come to a stage yet. No I/O.

use {
    crate::{
        backlog::{Backlog, PiecesByRank, RANKS},
        pools::MakerPool,
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

/// Age from which on what an owner said is of no use: more than two heartbeats were lost, and it may
/// be the owner no longer.
const SAID_AGE_MAX: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct Peer {
    said_at: Duration,
    /// Of the services that it owns.
    backlogs: HashMap<u32, Backlog>,
    promised_at: Duration,
    /// What it promised, or its whole failure domain.
    promised: HashMap<u32, PiecesByRank>,
    /// Whether `promised` is that of its domain.
    is_sum: bool,
}

impl Peer {
    fn promised(&self, now: Duration) -> impl Iterator<Item = (&u32, &PiecesByRank)> {
        let is_fresh = now <= self.promised_at + SAID_AGE_MAX;
        self.promised.iter().filter(move |_| is_fresh)
    }
}

/// The backlogs as one node knows them.
#[derive(Debug, Default)]
pub struct Backlogs {
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    /// Invariant: some rank of each entry has pieces.
    promised: RefCell<BTreeMap<MakerPool, PiecesByRank>>,
    /// What this node told its domain's delegates last, which the sums that they tell contain.
    told: RefCell<HashMap<u32, PiecesByRank>>,
}

/// Pieces of a stage that were promised to a request and haven't been asked for yet; given back
/// when dropped.
#[derive(Debug)]
pub struct Promise {
    backlogs: Rc<Backlogs>,
    pool: MakerPool,
    rank: usize,
    pieces: u32,
}

impl Drop for Promise {
    fn drop(&mut self) {
        let mut all = self.backlogs.promised.borrow_mut();
        if let Some(promised) = all.get_mut(&self.pool) {
            promised[self.rank] -= self.pieces;
            if *promised == PiecesByRank::default() {
                all.remove(&self.pool);
            }
        }
    }
}

impl Backlogs {
    /// Promises pieces of a stage to a request of a rank.
    pub fn promise(self: &Rc<Self>, pool: &MakerPool, rank: usize, pieces: u32) -> Promise {
        let mut all = self.promised.borrow_mut();
        all.entry(pool.clone()).or_default()[rank] += pieces;
        drop(all);
        Promise { backlogs: self.clone(), pool: pool.clone(), rank, pieces }
    }

    /// Returns what is ahead at some makers: what its owner has, or said last, and what all nodes have
    /// promised. `own` is set if this node owns it.
    pub fn of(&self, now: Duration, pool: &MakerPool, own: Option<Backlog>) -> Option<Backlog> {
        let hash = pool.hash();
        let peers = self.peers.borrow();
        let fresh = peers.values().filter(|peer| now <= peer.said_at + SAID_AGE_MAX);
        let said = || {
            let newest = fresh.clone().filter(|peer| peer.backlogs.contains_key(&hash));
            let newest = newest.max_by_key(|peer| peer.said_at)?;
            Some(newest.backlogs[&hash].after(now.saturating_sub(newest.said_at)))
        };
        let mut backlog = own.or_else(said)?;
        for (_, promised) in
            peers.values().flat_map(|peer| peer.promised(now)).filter(|(s, _)| **s == hash)
        {
            backlog.add(promised);
        }
        if let Some(promised) = self.promised.borrow().get(pool) {
            backlog.add(promised);
        }
        Some(backlog)
    }

    /// Returns what is to be said in heartbeats: the backlogs of own services and what was promised, by this node or
    /// by its failure domain.
    pub fn described(
        &self,
        now: Duration,
        own: Vec<(MakerPool, Backlog)>,
        loads_of: LoadScope,
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
        for (service, promised) in self.promised_by(now, loads_of) {
            loads.entry(service).or_default().reserved = promised.to_vec();
        }
        loads.into_iter().map(|(service, load)| StageLoad { service_hash: service, ..load }).collect()
    }

    fn promised_by(&self, now: Duration, loads_of: LoadScope) -> HashMap<u32, PiecesByRank> {
        let own = self.promised.borrow();
        let mut sums: HashMap<_, _> =
            own.iter().map(|(pool, promised)| (pool.hash(), *promised)).collect();
        match loads_of {
            LoadScope::Sender => *self.told.borrow_mut() = sums.clone(),
            LoadScope::Domain => {
                let peers = self.peers.borrow();
                let near = peers.values().filter(|peer| !peer.is_sum);
                for (service, promised) in near.flat_map(|peer| peer.promised(now)) {
                    let sum = sums.entry(*service).or_default();
                    sum.iter_mut().zip(promised).for_each(|(sum, more)| *sum += more);
                }
            }
            LoadScope::Omitted => sums.clear(),
        }
        sums
    }

    /// Takes in what a peer says. `contains_own` tells whether the sums of its domain contain what this node promised.
    pub fn heard(
        &self,
        now: Duration,
        peer: SocketAddr,
        loads: &[StageLoad],
        loads_of: LoadScope,
        contains_own: bool,
    ) {
        let mut peers = self.peers.borrow_mut();
        let said = peers.entry(peer).or_default();
        let owned = loads.iter().filter(|load| load.is_owner);
        said.said_at = now;
        said.backlogs = owned.map(|load| (load.service_hash, backlog_of(load))).collect();
        if loads_of == LoadScope::Omitted {
            return;
        }
        said.promised_at = now;
        said.is_sum = loads_of == LoadScope::Domain;
        said.promised = loads.iter().map(|load| (load.service_hash, by_rank(&load.reserved))).collect();
        if contains_own {
            for (service, own) in &*self.told.borrow() {
                let sum = said.promised.entry(*service).or_default();
                sum.iter_mut().zip(own).for_each(|(sum, own)| *sum = sum.saturating_sub(*own));
            }
        }
    }

    /// Forgets what a lost peer said.
    pub fn lost(&self, peer: SocketAddr) {
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

/// Returns what was said by rank; what wasn't is nothing.
fn by_rank<T: Copy + Default>(said: &[T]) -> [T; RANKS] {
    let mut ranks = [T::default(); RANKS];
    ranks.iter_mut().zip(said).for_each(|(rank, said)| *rank = *said);
    ranks
}
