//! The table of upstreams: what is known of each, and which one an attempt goes to.

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

/// An engine takes a prompt prefix it does not own least only up to this multiple of the mean
/// load (bounded-load rendezvous hashing).
const LOAD_BOUND: f64 = 1.25;
/// Load, relative to its concurrency, below which an upstream may be given a hedge.
const CALM_LOAD: f64 = 0.5;
/// Share of its limit that an upstream starts with when it returns.
const SLOW_START_SHARE: f64 = 0.2;
/// A node uses one part in this many of its even share of another failure domain's upstreams,
/// while its own domain has some: enough to even out pools that are not spread evenly.
const SPILL_PART: u64 = 4;
/// Longest ejection, in multiples of the first.
const EJECT_MULTIPLE_MAX: u32 = 16;

/// Load and state that an upstream reports of itself, late and now and then not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Name of the upstream.
    pub upstream: String,
    /// Attempts it has running or waiting, from all nodes.
    pub load: u32,
    /// Whether it is leaving and wants no new work.
    pub leaving: bool,
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is first in the order of the prompt prefix.
    Prefix,
    /// It is not first for the prefix, but those before it carry too much.
    PrefixBounded,
    /// It carries less than the other of two taken at random.
    LessLoaded,
    /// It is next in turn.
    RoundRobin,
    /// It is the only one that can take the attempt.
    OnlyOne,
    /// The own failure domain has none that can take it.
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
    /// Where the attempt goes.
    pub upstream: UpstreamId,
    /// Where it would have gone otherwise.
    pub runner_up: Option<UpstreamId>,
    /// Why.
    pub reason: ChoiceReason,
}

/// What is known of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// Its name.
    pub name: Arc<str>,
    /// Its declaration.
    pub spec: Arc<Upstream>,
    /// Attempts sent by this node that have not ended.
    pub in_flight: u32,
    reported_load: u32,
    reported_at: Option<Duration>,
    /// Leaving by its own report or answer.
    leaving: bool,
    /// Leaving or gone by the VM list.
    unlisted: bool,
    failures_in_row: u32,
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
            unlisted: false,
            failures_in_row: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            returned_at: None,
        }
    }

    /// Tells whether it may get new work at all, ejection aside.
    pub fn is_open(&self) -> bool {
        !self.leaving && !self.unlisted && !self.spec.draining
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
    /// Live nodes of the own failure domain, this one included, that share its upstreams.
    live_nodes: u32,
    turn: usize,
}

impl Upstreams {
    /// Creates the empty table of a node in a failure domain.
    pub fn new(domain: Arc<str>, settings: PolicySettings) -> Self {
        Self {
            domain,
            settings,
            states: SlotMap::with_key(),
            by_name: HashMap::new(),
            pools: BTreeMap::new(),
            live_nodes: 1,
            turn: 0,
        }
    }

    /// Follows a new catalog. What is known of an upstream whose address stays is kept.
    pub fn apply_catalog(&mut self, catalog: &Catalog) {
        let gone = |name: &Arc<str>, states: &SlotMap<UpstreamId, UpstreamState>, id| {
            let address = states.get(id).map(|state: &UpstreamState| state.spec.address);
            catalog.upstreams.get(name.as_ref()).map(|spec| spec.address) != address
        };
        let states = &mut self.states;
        self.by_name.retain(|name, id| {
            let keep = !gone(name, states, *id);
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

    /// Sets the number of live nodes that share the upstreams of the own failure domain.
    pub fn set_live_nodes(&mut self, live_nodes: u32) {
        self.live_nodes = live_nodes.max(1);
    }

    /// Returns what is known of an upstream.
    pub fn get(&self, id: UpstreamId) -> Option<&UpstreamState> {
        self.states.get(id)
    }

    /// Returns the names of the pools.
    pub fn pool_names(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Takes in a report.
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

    /// Takes in the VM list: names of upstreams that it shows as leaving. The list lags, so
    /// being absent from it proves nothing.
    pub fn set_leaving_vms(&mut self, leaving: &[String]) {
        for state in self.states.values_mut() {
            state.unlisted = leaving.iter().any(|name| name.as_str() == state.name.as_ref());
        }
    }

    /// Notes an upstream's own answer that it is leaving.
    pub fn mark_leaving(&mut self, id: UpstreamId) {
        if let Some(state) = self.states.get_mut(id) {
            state.leaving = true;
        }
    }

    /// Notes an attempt that was sent.
    pub fn record_sent(&mut self, id: UpstreamId) {
        if let Some(state) = self.states.get_mut(id) {
            state.in_flight += 1;
        }
    }

    /// Notes an attempt that ended without saying anything of the upstream's health.
    pub fn record_release(&mut self, id: UpstreamId) {
        if let Some(state) = self.states.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Notes an attempt that succeeded.
    pub fn record_success(&mut self, id: UpstreamId) {
        let Some(state) = self.states.get_mut(id) else {
            return;
        };
        state.failures_in_row = 0;
        state.ejections = 0;
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Notes an attempt that failed; `weight` failures in a row count towards ejection. Returns
    /// whether the upstream was ejected.
    pub fn record_failure(&mut self, now: Duration, id: UpstreamId, weight: u32) -> bool {
        let Some(state) = self.states.get_mut(id) else {
            return false;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.failures_in_row += weight;
        let over = state.failures_in_row >= self.settings.eject_after_failures;
        if !over || state.is_ejected(now) || !self.may_eject(now, id) {
            return false;
        }
        let state = &mut self.states[id];
        state.ejections += 1;
        state.failures_in_row = 0;
        let base = Duration::from_millis(self.settings.eject_base_ms);
        state.ejected_until = now + base * state.ejections.min(EJECT_MULTIPLE_MAX);
        state.returned_at = Some(state.ejected_until);
        true
    }

    /// Returns this node's share of the attempts that a pool can take now: of the own failure
    /// domain, or of the others if the own has none open.
    pub fn slots(&self, now: Duration, pool: &str) -> Slots {
        let Shares { own, foreign } = self.shares(now, pool);
        if own.total > 0 { own } else { foreign }
    }

    /// Splits what a pool can take over the nodes that use it. Nodes do not ask each other for
    /// slots; without a split each would count on all of them, and work would pile up at the
    /// upstreams, where neither deadlines nor workspaces order it.
    fn shares(&self, now: Duration, pool: &str) -> Shares {
        let mut own = Room::default();
        let mut foreign = Room::default();
        for id in self.pools.get(pool).into_iter().flatten() {
            let Some(state) = self.states.get(*id) else { continue };
            if !state.is_open() || state.is_ejected(now) {
                continue;
            }
            let is_own = state.spec.failure_domain == self.domain.as_ref();
            let room = if is_own { &mut own } else { &mut foreign };
            room.allowed += u64::from(self.allowed(now, state));
            room.in_flight += u64::from(state.in_flight);
        }
        let nodes = u64::from(self.live_nodes);
        let foreign_nodes = if own.allowed > 0 { nodes * SPILL_PART } else { nodes };
        let percent = u64::from(self.settings.share_headroom_percent);
        Shares { own: own.split(nodes, percent), foreign: foreign.split(foreign_nodes, percent) }
    }

    /// Chooses an upstream of a pool with room for one attempt, none of `tried` if another can
    /// take it.
    pub fn choose(
        &mut self,
        now: Duration,
        pool: &str,
        prefix: u64,
        tried: &[UpstreamId],
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        if !self.settings.is_full() {
            return self.next_in_turn(pool);
        }
        let shares = self.shares(now, pool);
        let open: Vec<_> = self
            .candidates(now, pool)
            .into_iter()
            .filter(
                |id| if self.is_own(*id) { shares.own.free > 0 } else { shares.foreign.free > 0 },
            )
            .collect();
        let fresh: Vec<_> = open.iter().copied().filter(|id| !tried.contains(id)).collect();
        let usable = if fresh.is_empty() { open } else { fresh };
        let own: Vec<_> = usable.iter().copied().filter(|id| self.is_own(*id)).collect();
        if own.is_empty() {
            let choice = self.choose_among(now, &usable, prefix, rng)?;
            return Some(Choice { reason: ChoiceReason::Spilled, ..choice });
        }
        self.choose_among(now, &own, prefix, rng)
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

    fn is_own(&self, id: UpstreamId) -> bool {
        self.states[id].spec.failure_domain == self.domain.as_ref()
    }

    /// Ejection is capped, so that a fault of this node's own network never empties a pool.
    fn may_eject(&self, now: Duration, id: UpstreamId) -> bool {
        let Some(pool) = self.pools.get(&self.states[id].spec.pool) else {
            return false;
        };
        let ejected = pool.iter().filter(|id| self.states[**id].is_ejected(now)).count();
        (ejected + 1) * 100 <= pool.len() * self.settings.eject_max_percent as usize
    }

    fn allowed(&self, now: Duration, state: &UpstreamState) -> u32 {
        let limit = state.spec.concurrency;
        let Some(returned_at) = state.returned_at else {
            return limit;
        };
        let since_ms = now.saturating_sub(returned_at).as_millis() as f64;
        let ramp = since_ms / self.settings.slow_start_ms.max(1) as f64;
        let share = (SLOW_START_SHARE + ramp * (1.0 - SLOW_START_SHARE)).min(1.0);
        ((f64::from(limit) * share) as u32).max(1)
    }

    fn has_room(&self, now: Duration, id: UpstreamId) -> bool {
        let state = &self.states[id];
        state.is_open() && !state.is_ejected(now) && state.in_flight < self.allowed(now, state)
    }

    fn candidates(&self, now: Duration, pool: &str) -> Vec<UpstreamId> {
        let members = self.pools.get(pool).into_iter().flatten().copied();
        members.filter(|id| self.has_room(now, *id)).collect()
    }

    fn next_in_turn(&mut self, pool: &str) -> Option<Choice> {
        let members = self.pools.get(pool)?;
        let own: Vec<_> = members.iter().copied().filter(|id| self.is_own(*id)).collect();
        let members = if own.is_empty() { members.clone() } else { own };
        for step in 0..members.len() {
            let id = members[(self.turn + step) % members.len()];
            let state = &self.states[id];
            if state.is_open() && state.in_flight < state.spec.concurrency {
                self.turn = self.turn.wrapping_add(step + 1);
                return Some(Choice { upstream: id, runner_up: None, reason: ChoiceReason::RoundRobin });
            }
        }
        None
    }

    fn choose_among(
        &self,
        now: Duration,
        usable: &[UpstreamId],
        prefix: u64,
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        let (&first, rest) = usable.split_first()?;
        if rest.is_empty() {
            return Some(Choice { upstream: first, runner_up: None, reason: ChoiceReason::OnlyOne });
        }
        let is_engine = self.states[first].spec.kind == UpstreamKind::Engine;
        if is_engine && self.settings.prefix_affinity {
            return self.by_prefix(now, usable, prefix);
        }
        let a = rng.random_range(0..usable.len());
        let b = (a + rng.random_range(1..usable.len())) % usable.len();
        let (a, b) = (usable[a], usable[b]);
        let (chosen, other) = if self.load(now, a) <= self.load(now, b) { (a, b) } else { (b, a) };
        Some(Choice { upstream: chosen, runner_up: Some(other), reason: ChoiceReason::LessLoaded })
    }

    /// Tells whether an upstream carries so little that a second attempt there delays nobody.
    pub fn may_take_hedge(&self, now: Duration, id: UpstreamId) -> bool {
        self.states.contains_key(id) && self.load(now, id) < CALM_LOAD
    }

    /// Own attempts under way plus what others have there by a fresh report, relative to size.
    fn load(&self, now: Duration, id: UpstreamId) -> f64 {
        f64::from(self.carried(now, id)) / f64::from(self.states[id].spec.concurrency)
    }

    fn carried(&self, now: Duration, id: UpstreamId) -> u32 {
        let state = &self.states[id];
        let stale = Duration::from_millis(self.settings.report_stale_ms);
        let fresh = state.reported_at.is_some_and(|at| now < at + stale);
        let reported = if fresh { state.reported_load } else { 0 };
        state.in_flight.max(reported)
    }

    fn by_prefix(&self, now: Duration, usable: &[UpstreamId], prefix: u64) -> Option<Choice> {
        let mut ranked = usable.to_vec();
        ranked.sort_by_key(|id| {
            std::cmp::Reverse(xxh3_64_with_seed(self.states[*id].name.as_bytes(), prefix))
        });
        let total: u32 = ranked.iter().map(|id| self.carried(now, *id)).sum();
        let mean = f64::from(total + 1) / ranked.len() as f64;
        let bound = (mean * LOAD_BOUND).ceil();
        let fits = |id: &&UpstreamId| f64::from(self.carried(now, **id) + 1) <= bound;
        let upstream = *ranked.iter().find(fits).unwrap_or(&ranked[0]);
        let why = if upstream == ranked[0] { ChoiceReason::Prefix } else { ChoiceReason::PrefixBounded };
        let runner_up = ranked.iter().copied().find(|id| *id != upstream);
        Some(Choice { upstream, runner_up, reason: why })
    }
}

/// Room for attempts at a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Slots {
    /// Attempts that can be sent now.
    pub free: u64,
    /// Attempts that can be under way at once.
    pub total: u64,
}

/// This node's shares of a pool.
#[derive(Debug, Clone, Copy)]
struct Shares {
    own: Slots,
    foreign: Slots,
}

/// What some upstreams can take, and what this node has there.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    allowed: u64,
    in_flight: u64,
}

impl Room {
    /// Returns `percent` of the share of one of `nodes` nodes, rounded up so that no slot is left
    /// to nobody.
    fn split(self, nodes: u64, percent: u64) -> Slots {
        let share = (self.allowed * percent).div_ceil(nodes.max(1) * 100);
        let total = share.min(self.allowed);
        Slots { free: total.saturating_sub(self.in_flight), total }
    }
}
