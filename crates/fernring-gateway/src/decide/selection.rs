//! Selects the upstream that a request is sent to.

use {crate::model::UpstreamKey, xxhash_rust::xxh3::xxh3_64_with_seed};

/// An eligible upstream and its known state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Identity that is the same on all nodes.
    pub identity: u64,
    /// Work in flight there from all nodes: requests, or for a model engine tokens to prefill.
    pub load: f64,
    /// Speed of a model engine relative to the average of its service; 1 if unknown.
    pub relative_speed: f64,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this node's failure domain.
    pub is_same_domain: bool,
    /// Whether others are preferred: it failed recently, or may be gone.
    pub is_avoided: bool,
    /// Whether it is cold; this node then has a permit for it.
    pub is_cold: bool,
    /// Whether it runs the version that is being rolled out.
    pub is_rollout_target: bool,
}

/// What a request needs of a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptDemand {
    /// Identity of the last part that its prompt shares with others.
    pub prefix: u64,
    /// Tokens to prefill where the shared parts are cached.
    pub uncached_tokens: f64,
    /// Tokens to prefill where nothing is cached.
    pub total_tokens: f64,
    /// Tokens that may be prefilled before the first event without making the event late.
    pub token_budget: f64,
    /// Upstream for which its stage results were produced, if any.
    pub home: Option<UpstreamKey>,
}

/// The chosen model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelChoice {
    /// The engine.
    pub key: UpstreamKey,
    /// Expected tokens to prefill there until the request's first event: those of earlier requests
    /// and its own.
    pub tokens: f64,
}

/// Chooses an upstream for a request without special needs; `draw` is a random number that breaks
/// ties.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<UpstreamKey> {
    least_loaded(&healthy(candidates), draw)
}

/// Chooses a model engine: the first one in an order that all nodes agree on for the shared parts,
/// as long as the first event won't be late there. Requests that share parts thereby meet where
/// these are cached, and a popular part spreads over as many engines as it needs.
///
/// A `home` goes first on the same condition. The shared parts are assumed to be cached there and
/// at the first engine of the order.
pub fn choose_model(candidates: &[Candidate], demand: PromptDemand) -> Option<ModelChoice> {
    let mut ordered = healthy(candidates);
    let rank = |c: &Candidate| xxh3_64_with_seed(&c.identity.to_le_bytes(), demand.prefix);
    ordered.sort_by_cached_key(|c| std::cmp::Reverse(rank(c)));
    let preferred = ordered.first()?.key;
    ordered.sort_by_key(|c| demand.home != Some(c.key));
    let to_prefill = |c: &Candidate| {
        let has_shared_parts = c.key == preferred || demand.home == Some(c.key);
        if has_shared_parts { demand.uncached_tokens } else { demand.total_tokens }
    };
    let backlog = |c: &Candidate| c.load + to_prefill(c);
    let is_in_time = |c: &&Candidate| backlog(c) <= demand.token_budget;
    let in_time = ordered.iter().find(is_in_time);
    // The warm ones don't suffice.
    let cold = || healthy_cold(candidates).filter(is_in_time).min_by_key(|c| rank(c));
    let least = || ordered.iter().min_by(|a, b| backlog(a).total_cmp(&backlog(b)));
    in_time.or_else(cold).or_else(least).map(|c| ModelChoice { key: c.key, tokens: backlog(c) })
}

/// Leaves out avoided and cold upstreams unless nothing else is available; then the cold ones for
/// which this node has permits go first.
pub(super) fn healthy(candidates: &[Candidate]) -> Vec<Candidate> {
    let healthy = candidates.iter().filter(|c| !c.is_avoided && !c.is_cold);
    let healthy: Vec<_> = healthy.copied().collect();
    if !healthy.is_empty() {
        return healthy;
    }
    let cold: Vec<_> = healthy_cold(candidates).copied().collect();
    if cold.is_empty() { candidates.to_vec() } else { cold }
}

pub(super) fn healthy_cold(candidates: &[Candidate]) -> impl Iterator<Item = &Candidate> {
    candidates.iter().filter(|c| !c.is_avoided && c.is_cold)
}

fn least_loaded(candidates: &[Candidate], draw: u64) -> Option<UpstreamKey> {
    let share = |c: &Candidate| c.load / f64::from(c.slots.max(1));
    let tie = |c: &Candidate| xxh3_64_with_seed(&c.identity.to_le_bytes(), draw);
    let order = |a: &&Candidate, b: &&Candidate| {
        let by_load = share(a).total_cmp(&share(b));
        by_load.then(b.is_same_domain.cmp(&a.is_same_domain)).then(tie(a).cmp(&tie(b)))
    };
    candidates.iter().min_by(order).map(|c| c.key)
}
