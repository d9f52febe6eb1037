//! Demand for stage services, in pieces per second by rank: what all requests offer, and what nodes
//! admit. No I/O.
//!
//! Handles crowds that arrive at all nodes at once. No node sees the whole demand, so each reports
//! its own, the delegates of a failure domain add up their domain's, and every node can tell the
//! demand of all.
//!
//! Inputs: the requests that arrived here, and the heartbeats of peers. Its own demand is current,
//! that of other nodes up to three heartbeats old. Offered demand includes refused requests and
//! retries: if only admitted requests counted, fewer would be admitted the more are refused.

use {
    crate::backlog::RANKS,
    fernring_protocol::gateway::{LoadScope, StageLoad},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time over which arrivals are averaged: about as long as a report is under way, since a crowd is
/// only limited after both.
pub const RATE_WINDOW: Duration = Duration::from_millis(250);
/// Age beyond which a report is ignored: two sums of a domain were lost.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);
/// Rate, in pieces per second, below which a demand is forgotten.
const NEGLIGIBLE_PER_S: f64 = 0.01;

/// Rates in pieces per second, by rank.
pub type RatesByRank = [f64; RANKS];

/// Demand for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceDemand {
    /// Pieces per second of all requests, whether they are admitted or not.
    pub offered_per_s: RatesByRank,
    /// Pieces per second of the admitted requests.
    pub admitted_per_s: RatesByRank,
}

impl ServiceDemand {
    fn add(&mut self, other: &Self) {
        self.combine(other, |own, other| own + other);
    }

    fn subtract(&mut self, other: &Self) {
        self.combine(other, |own, other| (own - other).max(0.0));
    }

    fn combine(&mut self, other: &Self, combined: impl Fn(f64, f64) -> f64) {
        let offered = self.offered_per_s.iter_mut().zip(&other.offered_per_s);
        let admitted = self.admitted_per_s.iter_mut().zip(&other.admitted_per_s);
        for (own, other) in offered.chain(admitted) {
            *own = combined(*own, *other);
        }
    }

    fn is_negligible(&self) -> bool {
        self.offered_per_s.iter().all(|per_s| *per_s < NEGLIGIBLE_PER_S)
    }
}

/// Arrivals at this node over an exponentially decaying window.
#[derive(Debug, Default)]
struct RecentArrivals {
    demand: ServiceDemand,
    counted_at: Duration,
}

impl RecentArrivals {
    fn at(&self, now: Duration) -> ServiceDemand {
        let windows = now.saturating_sub(self.counted_at).div_duration_f64(RATE_WINDOW);
        let factor = (-windows).exp();
        let decayed = |rates: RatesByRank| rates.map(|per_s| per_s * factor);
        ServiceDemand {
            offered_per_s: decayed(self.demand.offered_per_s),
            admitted_per_s: decayed(self.demand.admitted_per_s),
        }
    }

    fn decay_to(&mut self, now: Duration) -> &mut ServiceDemand {
        self.demand = self.at(now);
        self.counted_at = now;
        &mut self.demand
    }
}

#[derive(Debug, Default)]
struct PeerDemand {
    reported_at: Duration,
    /// By the hash of the worker pool.
    services: HashMap<u32, ServiceDemand>,
    /// Whether these are the sums of the peer's domain.
    is_sum: bool,
}

/// The demand for all stage services as one node knows it. Worker pools are named by their hash.
///
/// Invariant: holds an entry for each pool with demand within the last seconds, and each peer.
#[derive(Debug, Default)]
pub struct Demands {
    own: BTreeMap<u32, RecentArrivals>,
    peers: HashMap<SocketAddr, PeerDemand>,
    /// The demand last reported to this domain's delegates, which their sums contain.
    sent: HashMap<u32, ServiceDemand>,
}

impl Demands {
    /// Counts pieces of a request that arrives.
    pub fn record_offered(&mut self, now: Duration, pool: u32, rank: usize, pieces: u32) {
        let demand = self.own.entry(pool).or_default().decay_to(now);
        demand.offered_per_s[rank] += f64::from(pieces) / RATE_WINDOW.as_secs_f64();
    }

    /// Counts pieces of a request that is admitted.
    pub fn record_admitted(&mut self, now: Duration, pool: u32, rank: usize, pieces: u32) {
        let demand = self.own.entry(pool).or_default().decay_to(now);
        demand.admitted_per_s[rank] += f64::from(pieces) / RATE_WINDOW.as_secs_f64();
    }

    /// Returns the demand at this node for a pool.
    pub fn own(&self, now: Duration, pool: u32) -> ServiceDemand {
        self.own.get(&pool).map(|own| own.at(now)).unwrap_or_default()
    }

    /// Returns the demand of all nodes for a pool.
    pub fn total(&self, now: Duration, pool: u32) -> ServiceDemand {
        let mut total = self.own(now, pool);
        for peer in self.fresh_peers(now) {
            if let Some(demand) = peer.services.get(&pool) {
                total.add(demand);
            }
        }
        total
    }

    /// Returns the demand to report in heartbeats: that of this node or of its failure domain.
    pub fn to_report(
        &mut self,
        now: Duration,
        load_scope: LoadScope,
    ) -> BTreeMap<u32, ServiceDemand> {
        self.own.retain(|_, arrivals| !arrivals.at(now).is_negligible());
        let own = self.own.iter().map(|(pool, arrivals)| (*pool, arrivals.at(now)));
        match load_scope {
            LoadScope::Omitted => BTreeMap::new(),
            LoadScope::Sender => {
                let own: BTreeMap<_, _> = own.collect();
                self.sent = own.iter().map(|(pool, demand)| (*pool, *demand)).collect();
                own
            }
            LoadScope::Domain => {
                let mut sums: BTreeMap<u32, ServiceDemand> = own.collect();
                for peer in self.fresh_peers(now).filter(|peer| !peer.is_sum) {
                    for (pool, demand) in &peer.services {
                        sums.entry(*pool).or_default().add(demand);
                    }
                }
                sums
            }
        }
    }

    /// Handles the loads that a peer reports. `contains_own` states whether the sums of the peer's
    /// domain contain this node's demand.
    pub fn handle_loads(
        &mut self,
        now: Duration,
        peer: SocketAddr,
        loads: &[StageLoad],
        load_scope: LoadScope,
        contains_own: bool,
    ) {
        if load_scope == LoadScope::Omitted {
            return;
        }
        let mut services: HashMap<_, _> =
            loads.iter().map(|load| (load.service_hash, demand_of(load))).collect();
        if contains_own {
            for (pool, own) in &self.sent {
                services.entry(*pool).or_default().subtract(own);
            }
        }
        let is_sum = load_scope == LoadScope::Domain;
        self.peers.insert(peer, PeerDemand { reported_at: now, services, is_sum });
    }

    /// Removes the reports of a lost peer.
    pub fn remove_peer(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    fn fresh_peers(&self, now: Duration) -> impl Iterator<Item = &PeerDemand> {
        self.peers.values().filter(move |peer| now <= peer.reported_at + REPORT_AGE_MAX)
    }
}

fn demand_of(load: &StageLoad) -> ServiceDemand {
    ServiceDemand {
        offered_per_s: decode_rates(&load.offered_per_s),
        admitted_per_s: decode_rates(&load.admitted_per_s),
    }
}

/// Decodes values by rank; missing and invalid ones are 0.
pub fn decode_rates(values: &[f32]) -> RatesByRank {
    let mut rates = RatesByRank::default();
    for (rate, value) in rates.iter_mut().zip(values) {
        *rate = if value.is_finite() { f64::from(value.max(0.0)) } else { 0.0 };
    }
    rates
}

/// Encodes values by rank, without the zeros at the end.
pub fn encode_rates(rates: &RatesByRank) -> Vec<f32> {
    let used = rates.iter().rposition(|rate| *rate > 0.0).map_or(0, |last| last + 1);
    rates[..used].iter().map(|rate| *rate as f32).collect()
}
