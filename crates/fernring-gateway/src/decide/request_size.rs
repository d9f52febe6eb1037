//! Size of a request: the time that it needs on idle upstreams, relative to its objective. No I/O.
//!
//! Metrics by size show whether a load is served at the expense of the large requests of a
//! pipeline, which the totals of the pipeline hide.

use std::time::Duration;

/// Upper limits of the bands but the last, and their names in metrics.
const LIMITS: [(f64, &str); 5] =
    [(0.2, "0.2"), (0.4, "0.4"), (0.6, "0.6"), (0.8, "0.8"), (1.0, "1.0")];
/// Name of the band of requests that can't meet their objective even on idle upstreams.
const ABOVE_OBJECTIVE: &str = "+Inf";

/// Band of request sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeBand(&'static str);

impl SizeBand {
    /// Returns the band of a request that needs `processing_time` on idle upstreams.
    pub fn new(processing_time: Duration, objective: Duration) -> Self {
        let size = processing_time.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
        let band = LIMITS.iter().find(|(limit, _)| size <= *limit);
        Self(band.map_or(ABOVE_OBJECTIVE, |(_, name)| name))
    }

    /// Returns the name used in metrics: the upper limit of the size.
    pub fn name(self) -> &'static str {
        self.0
    }
}
