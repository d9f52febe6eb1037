//! Which upstream a request is sent to.

use {crate::model::UpstreamKey, xxhash_rust::xxh3::xxh3_64_with_seed};

/// An upstream that could take a request, with what is known of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Identity that all nodes agree on.
    pub identity: u64,
    /// Work that it has in hand from all nodes: requests, or for a model engine tokens to read.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it lies in this node's failure domain.
    pub is_same_domain: bool,
    /// Whether others are to go first: it failed just now, or may be gone.
    pub is_avoided: bool,
    /// Whether it is cold; this node has a turn at it then.
    pub is_cold: bool,
    /// Whether it runs the version that is being rolled out.
    pub is_rollout_target: bool,
}

/// What a request needs of a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptDemand {
    /// Identity of the last part that its prompt shares with others.
    pub prefix: u64,
    /// Tokens to read where the shared parts are cached.
    pub uncached_tokens: f64,
    /// Tokens to read where nothing is.
    pub total_tokens: f64,
    /// Tokens that may be read before the first event without it being late.
    pub token_budget: f64,
    /// Upstream that its results were made for, if any.
    pub home: Option<UpstreamKey>,
}

/// A model engine that was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelChoice {
    /// The engine.
    pub key: UpstreamKey,
    /// Tokens that it should have to read until the request's first event: those of requests before it
    /// and its own.
    pub tokens: f64,
}

/// Chooses an upstream for a request that is like any other; `draw` is a random number that breaks
/// ties.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<UpstreamKey> {
    least_loaded(&sound(candidates), draw)
}

/// Chooses a model engine: the first in the order that all nodes agree on for the shared parts,
/// as long as the first event won't be late there. So requests that share parts meet where these
/// are cached, and a part that many ask for spreads over as many engines as it takes.
///
/// A `home` goes first for as long as the same holds for it. The shared parts are taken to be read there and at
/// the first of the order.
pub fn choose_model(candidates: &[Candidate], need: PromptDemand) -> Option<ModelChoice> {
    let mut pool = sound(candidates);
    let rank = |c: &Candidate| xxh3_64_with_seed(&c.identity.to_le_bytes(), need.prefix);
    pool.sort_by_cached_key(|c| std::cmp::Reverse(rank(c)));
    let usual = pool.first()?.key;
    pool.sort_by_key(|c| need.home != Some(c.key));
    let to_read = |c: &Candidate| {
        let has_shared = c.key == usual || need.home == Some(c.key);
        if has_shared { need.uncached_tokens } else { need.total_tokens }
    };
    let backlog = |c: &Candidate| c.load + to_read(c);
    let is_in_time = |c: &&Candidate| backlog(c) <= need.token_budget;
    let in_time = pool.iter().find(is_in_time);
    // The others don't suffice.
    let cold = || sound_cold(candidates).filter(is_in_time).min_by_key(|c| rank(c));
    let least = || pool.iter().min_by(|a, b| backlog(a).total_cmp(&backlog(b)));
    in_time.or_else(cold).or_else(least).map(|c| ModelChoice { key: c.key, tokens: backlog(c) })
}

/// Leaves out those that are to be avoided or cold, unless nothing else is there: then the cold ones go first, which
/// this node has turns at.
fn sound(candidates: &[Candidate]) -> Vec<Candidate> {
    let sound = candidates.iter().filter(|c| !c.is_avoided && !c.is_cold);
    let sound: Vec<_> = sound.copied().collect();
    if !sound.is_empty() {
        return sound;
    }
    let cold: Vec<_> = sound_cold(candidates).copied().collect();
    if cold.is_empty() { candidates.to_vec() } else { cold }
}

fn sound_cold(candidates: &[Candidate]) -> impl Iterator<Item = &Candidate> {
    candidates.iter().filter(|c| !c.is_avoided && c.is_cold)
}

fn least_loaded(pool: &[Candidate], draw: u64) -> Option<UpstreamKey> {
    let share = |c: &Candidate| c.load / f64::from(c.slots.max(1));
    let tie = |c: &Candidate| xxh3_64_with_seed(&c.identity.to_le_bytes(), draw);
    let order = |a: &&Candidate, b: &&Candidate| {
        let by_load = share(a).total_cmp(&share(b));
        by_load.then(b.is_same_domain.cmp(&a.is_same_domain)).then(tie(a).cmp(&tie(b)))
    };
    pool.iter().min_by(order).map(|c| c.key)
}
