//! Learns the speeds of the engines of a model service from the gaps between their events.
//!
//! Load: engines of one service that run on unequal hardware, or on machines that are slowed down
//! by others for seconds, while each of many nodes sends an engine less than one request per
//! second. No node sees enough streams of its own, so nodes exchange estimates.
//!
//! Inputs: the gaps between the events of this node's streams, and the estimates of other nodes,
//! which are up to some seconds old. Gaps serve better than the time to the first event, which
//! depends on the engine's queue and on what it has cached.
//!
//! Limits: estimates halve their weight within `HALF_LIFE`, so that a slow period of a machine is
//! noticed, and forgotten, within a few seconds. An engine without estimates counts as average.

use std::{collections::HashMap, time::Duration};

/// Time in which an estimate loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Gaps of one stream that are considered. More of them would hardly change the quartile.
const GAPS_MAX: usize = 15;
/// Fewest gaps of a stream with a usable quartile.
const GAPS_MIN: usize = 3;
/// Weight, in streams, below which an estimate is dropped.
const STREAMS_MIN: f64 = 0.05;
/// Weight, in streams, of the assumption that an engine is as fast as the average.
const PRIOR_STREAMS: f64 = 1.0;
/// Range of relative speeds. One beyond it is a disturbance, not a speed.
const RELATIVE_SPEED_MIN: f64 = 0.25;
const RELATIVE_SPEED_MAX: f64 = 4.0;
/// Ratio of the speeds of fast and slow engines from which on engines are chosen by speed. Smaller
/// differences show in their load, and a choice by speed costs shared parts that are read again.
const UNEQUAL_RATIO: f64 = 1.5;
/// Part of the engines that is left out at either end when fast and slow ones are compared: single
/// slow engines are avoided by their load.
const OUTLIER_DIVISOR: usize = 8;

/// The first gaps between the events of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventGaps {
    gaps: [Duration; GAPS_MAX],
    count: usize,
}

impl EventGaps {
    /// Records a gap between two events.
    pub fn record(&mut self, gap: Duration) {
        if let Some(slot) = self.gaps.get_mut(self.count) {
            *slot = gap;
            self.count += 1;
        }
    }

    /// Returns the lower quartile: the gap while no prompts are prefilled beside the stream. `None`
    /// if there are too few gaps, or if events arrived together.
    pub fn undisturbed(&self) -> Option<Duration> {
        let mut gaps = self.gaps;
        let gaps = &mut gaps[..self.count];
        gaps.sort_unstable();
        let quartile = *gaps.get(self.count / 4)?;
        (self.count >= GAPS_MIN && !quartile.is_zero()).then_some(quartile)
    }
}

/// The typical event gap of an engine, as the mean of logarithms over streams. Estimates of several
/// nodes add up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GapEstimate {
    /// Number of streams, reduced by age.
    streams: f64,
    /// Sum of the logarithms of the streams' gaps in microseconds, reduced by age like `streams`.
    log_gap_sum: f64,
}

impl GapEstimate {
    /// Creates the estimate of a number of streams with a typical gap.
    pub fn new(streams: f64, gap: Duration) -> Self {
        let gap_us = (gap.as_secs_f64() * 1e6).max(1.0);
        Self { streams, log_gap_sum: streams * gap_us.ln() }
    }

    /// Returns the number of streams, reduced by age.
    pub fn streams(self) -> f64 {
        self.streams
    }

    /// Returns the typical gap; zero if nothing is known.
    pub fn gap(self) -> Duration {
        self.log_gap()
            .map_or(Duration::ZERO, |log_gap| Duration::from_secs_f64(log_gap.exp() / 1e6))
    }

    /// Returns the estimate from the streams of both.
    pub fn merged(self, other: Self) -> Self {
        Self {
            streams: self.streams + other.streams,
            log_gap_sum: self.log_gap_sum + other.log_gap_sum,
        }
    }

    /// Returns the estimate with the weight that is left after some time.
    pub fn aged(self, age: Duration) -> Self {
        let left = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Self { streams: self.streams * left, log_gap_sum: self.log_gap_sum * left }
    }

    /// Returns whether too little weight is left.
    pub fn is_negligible(self) -> bool {
        self.streams < STREAMS_MIN
    }

    fn log_gap(self) -> Option<f64> {
        (!self.is_negligible()).then(|| self.log_gap_sum / self.streams)
    }
}

/// Estimates of engines by one source, with the time of their last change.
#[derive(Debug, Default)]
pub struct GapEstimates(HashMap<u32, (GapEstimate, Duration)>);

impl GapEstimates {
    /// Records the typical gap of a stream that ended at an engine, which is given by the short hash
    /// of its incarnation.
    pub fn record_stream(&mut self, now: Duration, engine: u32, gap: Duration) {
        let known = self.get(now, engine);
        self.set(now, engine, known.merged(GapEstimate::new(1.0, gap)));
    }

    /// Sets the estimate of an engine.
    pub fn set(&mut self, now: Duration, engine: u32, estimate: GapEstimate) {
        self.0.insert(engine, (estimate, now));
    }

    /// Returns the estimate of an engine.
    pub fn get(&self, now: Duration, engine: u32) -> GapEstimate {
        let known = self.0.get(&engine);
        known.map_or_else(GapEstimate::default, |(estimate, at)| {
            estimate.aged(now.saturating_sub(*at))
        })
    }

    /// Lists the engines with an estimate.
    pub fn engines(&self) -> impl Iterator<Item = u32> {
        self.0.keys().copied()
    }

    /// Drops what is too old, so that engines that are gone take no memory. Returns whether anything
    /// is left.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.0.retain(|_, (estimate, at)| !estimate.aged(now.saturating_sub(*at)).is_negligible());
        !self.0.is_empty()
    }
}

/// Returns the speeds of the engines of one service relative to their average, in the same order. An
/// engine of which little is known counts as almost average.
pub fn relative_speeds(estimates: &[GapEstimate]) -> Vec<f64> {
    let known = || estimates.iter().filter_map(|estimate| estimate.log_gap());
    let mean = known().sum::<f64>() / known().count().max(1) as f64;
    let relative_speed = |estimate: &GapEstimate| {
        let Some(log_gap) = estimate.log_gap() else {
            return 1.0;
        };
        let certainty = estimate.streams / (estimate.streams + PRIOR_STREAMS);
        let speed = ((mean - log_gap) * certainty).exp();
        speed.clamp(RELATIVE_SPEED_MIN, RELATIVE_SPEED_MAX)
    };
    estimates.iter().map(relative_speed).collect()
}

/// Returns whether the engines of one service, given by their relative speeds, differ enough to be
/// chosen by speed.
pub fn are_unequal(relative_speeds: &[f64]) -> bool {
    let mut speeds = relative_speeds.to_vec();
    speeds.sort_unstable_by(f64::total_cmp);
    let outliers = speeds.len() / OUTLIER_DIVISOR;
    match &speeds[outliers..speeds.len() - outliers] {
        [slow, .., fast] => *fast >= slow * UNEQUAL_RATIO,
        _ => false,
    }
}
