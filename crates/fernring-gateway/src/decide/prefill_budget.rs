//! Chooses a model engine by time, and limits the prefill beside streams that run there.
//!
//! Load: long prompts arrive from many nodes at engines of unequal speed that generate other answers
//! meanwhile. Engines prefill between the tokens of running streams, so each
//! prompt delays the events of all streams there, most on slow engines.
//!
//! Inputs: the work in flight at each engine from all nodes, that of other nodes as of their last
//! heartbeats, and the learned speeds. Most prompts are prefilled before the others hear of them, so the
//! order in which engines are considered has to divide the load by itself: a faster engine is the
//! first choice for more of the prefixes.
//!
//! Limits: streams that run at an engine may pause no longer than their callers accept, by the time
//! of what is prefilled there or, if that is less, by the pauses that such engines are known for. The
//! first event has to be in time as well. Shared parts that are read again cost the time of an
//! engine, so a request leaves the engines where they are cached only if callers lose less time
//! elsewhere.

use {
    super::{
        prefill_speed::PrefillSpeed,
        selection::{Candidate, PromptDemand, healthy, healthy_cold},
    },
    crate::model::UpstreamKey,
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Next engines in the order of a prefix that are compared with its first: second homes, of which
/// even a popular prefix needs only a few.
const NEXT_COMPARED: usize = 3;
/// Engines at random that are compared if none of the former is within the limits. Nodes with
/// equally old loads would all choose the same one if they compared all engines.
const RANDOM_COMPARED: usize = 4;
/// Most streams that are assumed to run at an engine. Most of a higher load is prefill.
const STREAMS_MAX: f64 = 4.0;
/// Ratio of neighbouring classes of speed. Estimates of engines of one class differ by less.
const SPEED_STEP: f64 = 1.3;
/// Load of one running stream, in prefill tokens.
pub const STREAM_TOKENS: f64 = 200.0;

/// What a request needs of a model engine, and what limits the choice.
#[derive(Debug, Clone, Copy)]
pub struct EngineDemand {
    /// The request's prompt.
    pub prompt: PromptDemand,
    /// Time that prefill may take for the first event to be in time.
    pub time_left: Duration,
    /// Longest pause between two events that callers of the service accept; `None` if any.
    pub pause_max: Option<Duration>,
    /// Longest pause of nearly all streams at an average engine, whatever is prefilled there.
    pub usual_pause: Duration,
    /// Prefill speed of an average engine.
    pub speed: PrefillSpeed,
    /// Number of engines that the prefix's prompts need. Invariant: at least 1.
    pub homes: usize,
}

/// How an engine was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is the request's home or the first choice for its prefix.
    First,
    /// The first choices would have been over a limit.
    Moved,
    /// All were over a limit; it is the least harmful of those compared.
    LeastHarm,
}

impl ChoiceReason {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Moved => "moved",
            Self::LeastHarm => "least_harm",
        }
    }
}

/// The chosen engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineChoice {
    /// The engine.
    pub key: UpstreamKey,
    /// Tokens in flight there before the request.
    pub tokens_ahead: f64,
    /// Tokens to prefill for the request.
    pub own_tokens: f64,
    /// Expected time until the request is prefilled.
    pub time: Duration,
    /// How the engine was chosen.
    pub reason: ChoiceReason,
}

/// What it would mean to send the request to an engine.
#[derive(Debug, Clone, Copy)]
struct Placement {
    key: UpstreamKey,
    tokens_ahead: f64,
    own_tokens: f64,
    /// Time to prefill shared parts of the prompt that are cached elsewhere.
    repeated_time: Duration,
    /// Time to prefill what is in flight, then the request.
    time: Duration,
    /// Longest pause that streams there may have.
    pause: Duration,
}

impl Placement {
    fn new(candidate: &Candidate, demand: &EngineDemand, is_cached: bool) -> Self {
        let PromptDemand { uncached_tokens, total_tokens, .. } = demand.prompt;
        let own_tokens = if is_cached { uncached_tokens } else { total_tokens };
        let time_for =
            |tokens: f64| demand.speed.time_for(tokens).div_f64(candidate.relative_speed);
        let time = time_for(candidate.load.max(0.0) + own_tokens);
        let usual_pause = demand.usual_pause.div_f64(candidate.relative_speed);
        let is_idle = candidate.load < STREAM_TOKENS;
        Self {
            key: candidate.key,
            tokens_ahead: candidate.load,
            own_tokens,
            repeated_time: time_for((own_tokens - uncached_tokens).max(0.0)),
            time,
            pause: if is_idle { Duration::ZERO } else { time.min(usual_pause) },
        }
    }

    fn is_in_time(&self, demand: &EngineDemand) -> bool {
        self.time <= demand.time_left
    }

    fn is_within_limits(&self, demand: &EngineDemand) -> bool {
        self.is_in_time(demand) && demand.pause_max.is_none_or(|pause_max| self.pause <= pause_max)
    }

    /// Returns the time that callers lose: of this request until it is prefilled, of others by shared
    /// parts that are read again, and of each stream there beyond the pause that its caller accepts.
    fn harm(&self, demand: &EngineDemand) -> Duration {
        let pause_max = demand.pause_max.unwrap_or(Duration::MAX);
        let excess = self.pause.saturating_sub(pause_max);
        let streams = (self.tokens_ahead / STREAM_TOKENS).clamp(0.0, STREAMS_MAX);
        self.time + self.repeated_time + excess.mul_f64(streams)
    }

    fn into_choice(self, reason: ChoiceReason) -> EngineChoice {
        let Self { key, tokens_ahead, own_tokens, time, .. } = self;
        EngineChoice { key, tokens_ahead, own_tokens, time, reason }
    }
}

/// Chooses a model engine. The first choice is the request's own `home`, or else one of the homes of
/// its prefix: the first engines in an order that nodes agree on as far as they agree on speeds.
/// Requests that share parts thereby meet where these are cached. While all homes are over a limit,
/// the next engines of the order are compared with them.
///
/// If all of these are over a limit, some others are compared as well; `draw` is a random number
/// that selects them and one of several homes.
pub fn choose_engine(
    candidates: &[Candidate],
    demand: EngineDemand,
    draw: u64,
) -> Option<EngineChoice> {
    let mut ordered = healthy(candidates);
    sort_by_weighted_hash(&mut ordered, demand.prompt.prefix);
    let homes: Vec<_> = ordered.iter().take(demand.homes.max(1)).copied().collect();
    let preferred = draw_less_loaded(&homes, draw)?;
    let home = demand.prompt.home;
    let has_shared_parts =
        |key| home == Some(key) || homes.iter().any(|candidate| candidate.key == key);
    let preference = |candidate: &Candidate| {
        let key = candidate.key;
        (home != Some(key), preferred != key, !has_shared_parts(key))
    };
    ordered.sort_by_key(preference);
    let placement =
        |candidate: &Candidate| Placement::new(candidate, &demand, has_shared_parts(candidate.key));
    let is_within_limits = |placement: &Placement| placement.is_within_limits(&demand);

    let cached_count = ordered.iter().take_while(|c| has_shared_parts(c.key)).count();
    let (near, far) = ordered.split_at(ordered.len().min(cached_count + NEXT_COMPARED));
    let near: Vec<_> = near.iter().map(placement).collect();
    let cached = near[..cached_count].iter().copied();
    if let Some(found) = cached.clone().find(is_within_limits) {
        return Some(found.into_choice(ChoiceReason::First));
    }
    let reason = |placement: &Placement| {
        if has_shared_parts(placement.key) { ChoiceReason::First } else { ChoiceReason::Moved }
    };
    let least_harm = |placements: &mut dyn Iterator<Item = Placement>| {
        placements.min_by_key(|placement| (!placement.is_in_time(&demand), placement.harm(&demand)))
    };
    if near.iter().any(is_within_limits) {
        let found = least_harm(&mut near.iter().copied())?;
        return Some(found.into_choice(reason(&found)));
    }
    // The warm ones don't suffice.
    let mut cold: Vec<_> = healthy_cold(candidates).copied().collect();
    sort_by_weighted_hash(&mut cold, demand.prompt.prefix);
    if let Some(found) = cold.iter().map(placement).find(is_within_limits) {
        return Some(found.into_choice(ChoiceReason::Moved));
    }
    let mut random = far.to_vec();
    random
        .sort_by_cached_key(|candidate| xxh3_64_with_seed(&candidate.identity.to_le_bytes(), draw));
    let random = random.iter().take(RANDOM_COMPARED).map(placement);
    let found = least_harm(&mut near.into_iter().chain(random))?;
    Some(found.into_choice(ChoiceReason::LeastHarm))
}

/// Rounds a relative speed, so that engines of equal speed have equal weights though estimates differ
/// a little.
fn speed_class(relative_speed: f64) -> f64 {
    SPEED_STEP.powf((relative_speed.ln() / SPEED_STEP.ln()).round())
}

/// Draws two engines, and returns the one with less work.
fn draw_less_loaded(engines: &[Candidate], draw: u64) -> Option<UpstreamKey> {
    let count = engines.len().max(1) as u64;
    let drawn = [draw % count, (draw / count) % count];
    let drawn = drawn.iter().filter_map(|index| engines.get(*index as usize));
    let time = |engine: &&Candidate| engine.load / engine.relative_speed;
    drawn.min_by(|a, b| time(a).total_cmp(&time(b))).map(|engine| engine.key)
}

/// Sorts engines by rendezvous hashing, weighted by the square of their speed: while engines are
/// partly idle, the shortest waits result if slow ones get less than their share by speed. A change
/// of an engine's speed moves only prefixes to it or from it.
fn sort_by_weighted_hash(engines: &mut [Candidate], prefix: u64) {
    let score = |engine: &Candidate| {
        let hash = xxh3_64_with_seed(&engine.identity.to_le_bytes(), prefix);
        // Uniform in (0, 1).
        let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -uniform.ln() / speed_class(engine.relative_speed).powi(2)
    };
    engines.sort_by(|a, b| score(a).total_cmp(&score(b)));
}
