//! The table of upstreams: the state of each, and the choice of the upstream for an attempt.

use {
    crate::settings::PolicySettings,
    fernring_core::{
        catalog::{Catalog, Upstream, UpstreamKind},
        ids::UpstreamId,
    },
    rand::{RngExt, rngs::SmallRng},
    slotmap::SlotMap,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Largest load of an engine that prompt prefixes still go to, as a multiple of the mean load
/// (bounded-load rendezvous hashing).
const LOAD_BOUND: f64 = 1.25;
/// Load of an upstream, relative to its concurrency, below which it may get a hedge.
const HEDGE_LOAD_MAX: f64 = 0.5;
/// Share of its concurrency limit that an upstream starts with when it returns to service.
const SLOW_START_SHARE: f64 = 0.2;
/// Divisor of a node's even share of the upstreams in other failure domains, applied while its own
/// domain has some. The remaining share is enough to balance pools that are not spread evenly over
/// the domains.
const SPILL_DIVISOR: u64 = 4;
/// Longest ejection, as a multiple of the first one.
const EJECTION_MULTIPLE_MAX: u32 = 16;

/// Load and state that an upstream reports about itself. Reports may be late or missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Name of the upstream.
    pub upstream: String,
    /// Attempts that run or wait at the upstream, from all nodes.
    pub load: u32,
    /// Whether the upstream is leaving and accepts no new work.
    pub leaving: bool,
}

/// The reason for which an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The upstream ranks first for the prompt prefix.
    Prefix,
    /// The upstreams that rank higher for the prompt prefix are over the load bound.
    PrefixBounded,
    /// The upstream has the lower load of two that were picked at random.
    LessLoaded,
    /// The upstream is next in round-robin order.
    RoundRobin,
    /// No other upstream can take the attempt.
    OnlyOne,
    /// No upstream of the node's own failure domain can take the attempt.
    Spilled,
}

impl ChoiceReason {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::PrefixBounded => "prefix_bounded",
            Self::LessLoaded => "less_loaded",
            Self::RoundRobin => "round_robin",
            Self::OnlyOne => "only_one",
            Self::Spilled => "spilled",
        }
    }
}

/// The upstream chosen for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The upstream that the attempt goes to.
    pub upstream: UpstreamId,
    /// The upstream that would have been chosen otherwise.
    pub runner_up: Option<UpstreamId>,
    /// The reason for the choice.
    pub reason: ChoiceReason,
}

/// State of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Declaration of the upstream in the catalog.
    pub spec: Arc<Upstream>,
    /// Attempts sent by this node that have not ended.
    pub in_flight: u32,
    reported_load: u32,
    reported_at: Option<Duration>,
    /// Whether the upstream announced, in a report or a response, that it is leaving.
    leaving: bool,
    /// Whether the VM list shows the upstream as leaving.
    leaving_by_vm_list: bool,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Duration,
    returned_at: Option<Duration>,
}

impl UpstreamState {
    fn new(name: &str, spec: Arc<Upstream>) -> Self {
        Self {
            name: name.into(),
            spec,
            in_flight: 0,
            reported_load: 0,
            reported_at: None,
            leaving: false,
            leaving_by_vm_list: false,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            returned_at: None,
        }
    }

    /// Returns whether the upstream accepts new work, regardless of ejection.
    pub fn is_open(&self) -> bool {
        !self.leaving && !self.leaving_by_vm_list && !self.spec.draining
    }

    fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }
}

/// The upstreams of the catalog in force.
#[derive(Debug)]
pub struct Upstreams {
    domain: Arc<str>,
    settings: PolicySettings,
    states: SlotMap<UpstreamId, UpstreamState>,
    by_name: HashMap<Arc<str>, UpstreamId>,
    pools: BTreeMap<String, Vec<UpstreamId>>,
    /// Live nodes of the node's own failure domain, including this one, that share its upstreams.
    live_nodes: u32,
    round_robin_next: usize,
}

impl Upstreams {
    /// Creates an empty table for a node in the given failure domain.
    pub fn new(domain: Arc<str>, settings: PolicySettings) -> Self {
        Self {
            domain,
            settings,
            states: SlotMap::with_key(),
            by_name: HashMap::new(),
            pools: BTreeMap::new(),
            live_nodes: 1,
            round_robin_next: 0,
        }
    }

    /// Applies a new catalog. The state of an upstream is kept if its address stays the same.
    pub fn apply_catalog(&mut self, catalog: &Catalog) {
        let is_outdated = |name: &Arc<str>, states: &SlotMap<UpstreamId, UpstreamState>, id| {
            let address = states.get(id).map(|state: &UpstreamState| state.spec.address);
            catalog.upstreams.get(name.as_ref()).map(|spec| spec.address) != address
        };
        let states = &mut self.states;
        self.by_name.retain(|name, id| {
            let keep = !is_outdated(name, states, *id);
            if !keep {
                states.remove(*id);
            }
            keep
        });
        self.pools.clear();
        for (name, spec) in &catalog.upstreams {
            let id = self.upsert(name, spec);
            self.pools.entry(spec.pool.clone()).or_default().push(id);
        }
    }

    /// Sets the number of live nodes that share the upstreams of the node's own failure domain.
    pub fn set_live_nodes(&mut self, live_nodes: u32) {
        self.live_nodes = live_nodes.max(1);
    }

    /// Returns the state of an upstream.
    pub fn get(&self, id: UpstreamId) -> Option<&UpstreamState> {
        self.states.get(id)
    }

    /// Returns the names of the pools.
    pub fn pool_names(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Records the report of an upstream. Reports of unknown upstreams are ignored.
    pub fn record_report(&mut self, now: Duration, report: &UpstreamReport) {
        let Some(state) = self.by_name.get(report.upstream.as_str()) else {
            return;
        };
        let state = &mut self.states[*state];
        let returned = state.leaving && !report.leaving;
        state.reported_load = report.load;
        state.reported_at = Some(now);
        state.leaving = report.leaving;
        if returned {
            state.returned_at = Some(now);
        }
    }

    /// Records the names of the upstreams that the VM list shows as leaving. The list lags behind,
    /// so an upstream that is absent from it may still be running.
    pub fn set_leaving_vms(&mut self, leaving: &[String]) {
        for state in self.states.values_mut() {
            state.leaving_by_vm_list =
                leaving.iter().any(|name| name.as_str() == state.name.as_ref());
        }
    }

    /// Records that an upstream announced in a response that it is leaving.
    pub fn mark_leaving(&mut self, id: UpstreamId) {
        if let Some(state) = self.states.get_mut(id) {
            state.leaving = true;
        }
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, id: UpstreamId) {
        if let Some(state) = self.states.get_mut(id) {
            state.in_flight += 1;
        }
    }

    /// Records that an attempt ended in a way that shows nothing about the upstream's health.
    pub fn record_release(&mut self, id: UpstreamId) {
        if let Some(state) = self.states.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records that an attempt succeeded.
    pub fn record_success(&mut self, id: UpstreamId) {
        let Some(state) = self.states.get_mut(id) else {
            return;
        };
        state.consecutive_failures = 0;
        state.ejections = 0;
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Records that an attempt failed. It counts as `weight` consecutive failures towards ejection.
    /// Returns whether the upstream was ejected.
    pub fn record_failure(&mut self, now: Duration, id: UpstreamId, weight: u32) -> bool {
        let Some(state) = self.states.get_mut(id) else {
            return false;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.consecutive_failures += weight;
        let is_over_limit = state.consecutive_failures >= self.settings.eject_after_failures;
        if !is_over_limit || state.is_ejected(now) || !self.may_eject(now, id) {
            return false;
        }
        let state = &mut self.states[id];
        state.ejections += 1;
        state.consecutive_failures = 0;
        let base = Duration::from_millis(self.settings.eject_base_ms);
        state.ejected_until = now + base * state.ejections.min(EJECTION_MULTIPLE_MAX);
        state.returned_at = Some(state.ejected_until);
        true
    }

    /// Returns this node's share of the attempts that a pool can take now: from the node's own
    /// failure domain, or from the others if its own has no open upstream.
    pub fn slots(&self, now: Duration, pool: &str) -> Slots {
        let PoolShares { local, remote } = self.shares(now, pool);
        if local.total > 0 { local } else { remote }
    }

    /// Divides the capacity of a pool among the nodes that use it. Nodes do not negotiate slots.
    /// Without the division each node would count on the whole capacity, and work would queue up
    /// at the upstreams, which order it neither by deadline nor by workspace.
    fn shares(&self, now: Duration, pool: &str) -> PoolShares {
        let mut local = PoolCapacity::default();
        let mut remote = PoolCapacity::default();
        for id in self.pools.get(pool).into_iter().flatten() {
            let Some(state) = self.states.get(*id) else { continue };
            if !state.is_open() || state.is_ejected(now) {
                continue;
            }
            let is_local = state.spec.failure_domain == self.domain.as_ref();
            let capacity = if is_local { &mut local } else { &mut remote };
            capacity.concurrency_limit += u64::from(self.concurrency_limit(now, state));
            capacity.in_flight += u64::from(state.in_flight);
        }
        let nodes = u64::from(self.live_nodes);
        let remote_nodes = if local.concurrency_limit > 0 { nodes * SPILL_DIVISOR } else { nodes };
        let percent = u64::from(self.settings.share_headroom_percent);
        PoolShares {
            local: local.share_of(nodes, percent),
            remote: remote.share_of(remote_nodes, percent),
        }
    }

    /// Chooses an upstream of a pool that has a free slot for one attempt. The upstreams in
    /// `tried` are chosen only if no other can take it.
    pub fn choose(
        &mut self,
        now: Duration,
        pool: &str,
        prefix: u64,
        tried: &[UpstreamId],
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        if !self.settings.is_full() {
            return self.choose_round_robin(pool);
        }
        let shares = self.shares(now, pool);
        let open: Vec<_> =
            self.candidates(now, pool)
                .into_iter()
                .filter(|id| {
                    if self.is_local(*id) { shares.local.free > 0 } else { shares.remote.free > 0 }
                })
                .collect();
        let untried: Vec<_> = open.iter().copied().filter(|id| !tried.contains(id)).collect();
        let usable = if untried.is_empty() { open } else { untried };
        let local: Vec<_> = usable.iter().copied().filter(|id| self.is_local(*id)).collect();
        if local.is_empty() {
            let choice = self.choose_from(now, &usable, prefix, rng)?;
            return Some(Choice { reason: ChoiceReason::Spilled, ..choice });
        }
        self.choose_from(now, &local, prefix, rng)
    }

    fn upsert(&mut self, name: &str, spec: &Arc<Upstream>) -> UpstreamId {
        if let Some(id) = self.by_name.get(name) {
            self.states[*id].spec = spec.clone();
            return *id;
        }
        let id = self.states.insert(UpstreamState::new(name, spec.clone()));
        self.by_name.insert(name.into(), id);
        id
    }

    fn is_local(&self, id: UpstreamId) -> bool {
        self.states[id].spec.failure_domain == self.domain.as_ref()
    }

    /// Returns whether one more upstream of this one's pool may be ejected. Ejections are capped,
    /// so that a fault of this node's own network never empties a pool.
    fn may_eject(&self, now: Duration, id: UpstreamId) -> bool {
        let Some(pool) = self.pools.get(&self.states[id].spec.pool) else {
            return false;
        };
        let ejected = pool.iter().filter(|id| self.states[**id].is_ejected(now)).count();
        (ejected + 1) * 100 <= pool.len() * self.settings.eject_max_percent as usize
    }

    fn concurrency_limit(&self, now: Duration, state: &UpstreamState) -> u32 {
        let limit = state.spec.concurrency;
        let Some(returned_at) = state.returned_at else {
            return limit;
        };
        let since_ms = now.saturating_sub(returned_at).as_millis() as f64;
        let ramp = since_ms / self.settings.slow_start_ms.max(1) as f64;
        let share = (SLOW_START_SHARE + ramp * (1.0 - SLOW_START_SHARE)).min(1.0);
        ((f64::from(limit) * share) as u32).max(1)
    }

    fn has_free_slot(&self, now: Duration, id: UpstreamId) -> bool {
        let state = &self.states[id];
        state.is_open()
            && !state.is_ejected(now)
            && state.in_flight < self.concurrency_limit(now, state)
    }

    fn candidates(&self, now: Duration, pool: &str) -> Vec<UpstreamId> {
        let members = self.pools.get(pool).into_iter().flatten().copied();
        members.filter(|id| self.has_free_slot(now, *id)).collect()
    }

    fn choose_round_robin(&mut self, pool: &str) -> Option<Choice> {
        let members = self.pools.get(pool)?;
        let local: Vec<_> = members.iter().copied().filter(|id| self.is_local(*id)).collect();
        let members = if local.is_empty() { members.clone() } else { local };
        for step in 0..members.len() {
            let id = members[(self.round_robin_next + step) % members.len()];
            let state = &self.states[id];
            if state.is_open() && state.in_flight < state.spec.concurrency {
                self.round_robin_next = self.round_robin_next.wrapping_add(step + 1);
                return Some(Choice {
                    upstream: id,
                    runner_up: None,
                    reason: ChoiceReason::RoundRobin,
                });
            }
        }
        None
    }

    fn choose_from(
        &self,
        now: Duration,
        usable: &[UpstreamId],
        prefix: u64,
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        let (&first, rest) = usable.split_first()?;
        if rest.is_empty() {
            return Some(Choice {
                upstream: first,
                runner_up: None,
                reason: ChoiceReason::OnlyOne,
            });
        }
        let is_engine = self.states[first].spec.kind == UpstreamKind::Engine;
        if is_engine && self.settings.prefix_affinity {
            return self.choose_by_prefix(now, usable, prefix);
        }
        let a = rng.random_range(0..usable.len());
        let b = (a + rng.random_range(1..usable.len())) % usable.len();
        let (a, b) = (usable[a], usable[b]);
        let (chosen, other) = if self.load(now, a) <= self.load(now, b) { (a, b) } else { (b, a) };
        Some(Choice { upstream: chosen, runner_up: Some(other), reason: ChoiceReason::LessLoaded })
    }

    /// Returns whether the load of an upstream is so low that a hedge there delays no other
    /// attempt.
    pub fn may_take_hedge(&self, now: Duration, id: UpstreamId) -> bool {
        self.states.contains_key(id) && self.load(now, id) < HEDGE_LOAD_MAX
    }

    /// Returns the load of an upstream relative to its concurrency: the attempts of this node in
    /// flight or, if it is higher, the load of all nodes by a recent report.
    fn load(&self, now: Duration, id: UpstreamId) -> f64 {
        f64::from(self.current_load(now, id)) / f64::from(self.states[id].spec.concurrency)
    }

    fn current_load(&self, now: Duration, id: UpstreamId) -> u32 {
        let state = &self.states[id];
        let max_age = Duration::from_millis(self.settings.report_stale_ms);
        let is_recent = state.reported_at.is_some_and(|at| now < at + max_age);
        let reported = if is_recent { state.reported_load } else { 0 };
        state.in_flight.max(reported)
    }

    fn choose_by_prefix(
        &self,
        now: Duration,
        usable: &[UpstreamId],
        prefix: u64,
    ) -> Option<Choice> {
        let mut ranked = usable.to_vec();
        ranked.sort_by_key(|id| {
            std::cmp::Reverse(xxh3_64_with_seed(self.states[*id].name.as_bytes(), prefix))
        });
        let total: u32 = ranked.iter().map(|id| self.current_load(now, *id)).sum();
        let mean = f64::from(total + 1) / ranked.len() as f64;
        let bound = (mean * LOAD_BOUND).ceil();
        let fits = |id: &&UpstreamId| f64::from(self.current_load(now, **id) + 1) <= bound;
        let upstream = *ranked.iter().find(fits).unwrap_or(&ranked[0]);
        let reason =
            if upstream == ranked[0] { ChoiceReason::Prefix } else { ChoiceReason::PrefixBounded };
        let runner_up = ranked.iter().copied().find(|id| *id != upstream);
        Some(Choice { upstream, runner_up, reason })
    }
}

/// This node's slots for attempts at a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Slots {
    /// Attempts that can be sent now.
    pub free: u64,
    /// Attempts that can be in flight at once.
    pub total: u64,
}

/// This node's shares of a pool, in its own failure domain and in the others.
#[derive(Debug, Clone, Copy)]
struct PoolShares {
    local: Slots,
    remote: Slots,
}

/// Concurrency of a set of upstreams, and the attempts that this node has in flight there.
#[derive(Debug, Clone, Copy, Default)]
struct PoolCapacity {
    concurrency_limit: u64,
    in_flight: u64,
}

impl PoolCapacity {
    /// Returns `percent` of one node's share among `nodes` nodes, rounded up so that every slot
    /// belongs to some node.
    fn share_of(self, nodes: u64, percent: u64) -> Slots {
        let share = (self.concurrency_limit * percent).div_ceil(nodes.max(1) * 100);
        let total = share.min(self.concurrency_limit);
        Slots { free: total.saturating_sub(self.in_flight), total }
    }
}
