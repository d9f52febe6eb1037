//! Tracks which upstreams this node reaches. No I/O.
//!
//! ```
//! use {fernring_gateway::reachability::Reachability, std::time::Duration};
//!
//! let mut reachability = Reachability::default();
//! let upstream = "10.0.0.1:8080".parse().unwrap();
//! reachability.record(Duration::ZERO, upstream, false);
//! assert_eq!(reachability.results().collect::<Vec<_>>(), [(upstream, false)]);
//! ```

use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// How long the result of a connection attempt counts.
const RESULT_LIFETIME: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct AttemptResult {
    at: Duration,
    is_reached: bool,
}

/// The last result of connecting to each upstream.
#[derive(Debug, Default)]
pub struct Reachability {
    results: HashMap<SocketAddr, AttemptResult>,
}

impl Reachability {
    /// Records whether an upstream was reached.
    pub fn record(&mut self, now: Duration, address: SocketAddr, is_reached: bool) {
        self.results.insert(address, AttemptResult { at: now, is_reached });
    }

    /// Lists the recent results: the address of an upstream, and whether it was reached.
    pub fn results(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        self.results.iter().map(|(address, result)| (*address, result.is_reached))
    }

    /// Forgets results that are older than [`RESULT_LIFETIME`].
    pub fn expire(&mut self, now: Duration) {
        self.results.retain(|_, result| now < result.at + RESULT_LIFETIME);
    }
}
