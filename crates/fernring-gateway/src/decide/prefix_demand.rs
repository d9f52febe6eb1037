//! Estimates how many engines the prompts of one prefix need.
//!
//! Load: a prefix becomes so popular that one engine can't prefill its prompts. All nodes see the
//! load of its home some tenths of a second late: they would send everything there until it is
//! overloaded, and then everything to the next one.
//!
//! Inputs: the tokens that this node itself sent for the prefix, and the number of nodes. Callers
//! are spread over the nodes, so that each has about its part of the prefix's demand; nothing here
//! is old.
//!
//! Limits: the homes of a prefix are used to `UTILIZATION`, so that a queue at one of them is
//! short. The number of prefixes that are tracked is bounded; the others have one home.

use std::{collections::HashMap, time::Duration};

/// Time in which the weight of a sent prompt halves: several prompts of a popular prefix at one of
/// many nodes, which send a few a second together.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Part of an engine's time that the prompts of one prefix may take.
const UTILIZATION: f64 = 0.6;
/// Fewest prompts, reduced by age, by which a node judges a prefix popular: a second one within
/// seconds at one of many nodes.
const PROMPTS_MIN: f64 = 1.1;
/// Most prefixes that are tracked.
const PREFIXES_MAX: usize = 4_096;

/// Demand of one prefix, reduced by age.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    prompts: f64,
    tokens: f64,
    at: Duration,
}

impl Demand {
    fn aged(self, now: Duration) -> Self {
        let age = now.saturating_sub(self.at);
        let left = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Self { prompts: self.prompts * left, tokens: self.tokens * left, at: now }
    }
}

/// The prompts that a node sent recently, by prefix.
#[derive(Debug, Default)]
pub struct PrefixDemands(HashMap<u64, Demand>);

impl PrefixDemands {
    /// Records a prompt with a number of tokens to prefill.
    pub fn record_prompt(&mut self, now: Duration, prefix: u64, tokens: f64) {
        if self.0.len() >= PREFIXES_MAX && !self.0.contains_key(&prefix) {
            self.0.retain(|_, demand| demand.aged(now).prompts >= 0.5);
            if self.0.len() >= PREFIXES_MAX {
                return;
            }
        }
        let demand = self.0.entry(prefix).or_default();
        *demand = demand.aged(now);
        demand.prompts += 1.0;
        demand.tokens += tokens;
    }

    /// Returns how many engines a prefix needs, if `nodes` nodes get about equal parts of its
    /// prompts and an engine prefills `tokens_per_s`.
    pub fn homes_needed(
        &self,
        now: Duration,
        prefix: u64,
        nodes: usize,
        tokens_per_s: f64,
    ) -> usize {
        let Some(demand) = self.0.get(&prefix).map(|demand| demand.aged(now)) else {
            return 1;
        };
        if demand.prompts < PROMPTS_MIN {
            return 1;
        }
        // The sum of what a constant demand leaves is its rate times this.
        let effective_time = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let fleet_tokens_per_s = demand.tokens / effective_time * nodes as f64;
        (fleet_tokens_per_s / (tokens_per_s * UTILIZATION)).ceil().max(1.0) as usize
    }
}
