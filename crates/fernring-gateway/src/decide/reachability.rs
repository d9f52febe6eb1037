//! Decides which upstreams this node reaches by its own path, and whether it has lost that path to
//! all of them. No I/O.
//!
//! A single upstream that doesn't respond says nothing about the path: it may have crashed. Once
//! several can't be reached, or nothing arrives from any upstream while responses are awaited, the
//! path is suspected and further upstreams are probed. If none of them is reached, the path counts
//! as lost until one is.
//!
//! ```
//! use {
//!     fernring_gateway::reachability::{PathState, Reachability},
//!     std::time::Duration,
//! };
//!
//! let mut reachability = Reachability::default();
//! let now = Duration::ZERO;
//! reachability.record(now, "10.0.0.1:8080".parse().unwrap(), false);
//! reachability.record(now, "10.0.0.2:8080".parse().unwrap(), false);
//! assert_eq!(reachability.state(), PathState::Suspected);
//! reachability.finish_verification();
//! assert_eq!(reachability.state(), PathState::Lost);
//! ```

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// How long the result of a connection attempt counts.
const RESULT_LIFETIME: Duration = Duration::from_secs(5);
/// Number of unreached upstreams from which on the path is suspected.
const UNREACHED_MIN: usize = 2;
/// Time without any byte from an upstream, while responses are awaited, after which upstreams are
/// probed.
const SILENCE_MAX: Duration = Duration::from_millis(400);
/// Shortest interval between probes that are due to silence, so that slow upstreams cause few of
/// them.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a lost path is probed.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Upstreams that are probed at once while the path is lost.
const LOST_PROBES: usize = 3;
/// Time from a suspicion to its verification. Responses that arrive meanwhile need no probes.
const VERIFICATION_DELAY: Duration = Duration::from_millis(100);
/// Upstreams that are probed when a suspicion is verified.
const VERIFICATION_PROBES: usize = 32;

/// State of this node's own path to the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// It works, as far as is known.
    Direct,
    /// Several upstreams aren't reached.
    Suspected,
    /// No upstream is reached.
    Lost,
}

impl PathState {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Suspected => "suspected",
            Self::Lost => "lost",
        }
    }
}

/// Which upstreams to probe now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probes {
    /// None.
    None,
    /// As many as given.
    Sample(usize),
    /// As many as given, of those that haven't been reached since the suspicion, and those first that
    /// carry requests of this node. The verification of the suspicion ends with their results.
    Verification(usize),
}

#[derive(Debug, Clone, Copy)]
struct AttemptResult {
    at: Duration,
    is_reached: bool,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Duration,
    is_verified: bool,
}

/// What this node knows about its own path.
#[derive(Debug, Default)]
pub struct Reachability {
    /// The last result of reaching each upstream directly.
    results: HashMap<SocketAddr, AttemptResult>,
    suspicion: Option<Suspicion>,
    /// Invariant: only set while there is a suspicion.
    is_lost: bool,
    /// When anything was last received over a direct connection.
    received_at: Duration,
    probed_at: Duration,
    /// The exchanges on direct connections that await a response, and when they began.
    awaited: BTreeMap<u64, Duration>,
    exchange_count: u64,
}

impl Reachability {
    /// Returns the state of the path.
    pub fn state(&self) -> PathState {
        match (self.is_lost, self.suspicion) {
            (true, _) => PathState::Lost,
            (false, Some(_)) => PathState::Suspected,
            (false, None) => PathState::Direct,
        }
    }

    /// Returns whether an upstream isn't reached directly, as far as is known.
    pub fn is_unreached(&self, address: SocketAddr) -> bool {
        self.is_lost || self.results.get(&address).is_some_and(|result| !result.is_reached)
    }

    /// Returns whether this node's own path may be why upstreams aren't reached: it is lost, or a
    /// suspicion isn't verified yet. If it is verified that others are reached, those that aren't may
    /// as well have crashed.
    pub fn is_at_fault(&self) -> bool {
        self.is_lost || self.suspicion.is_some_and(|suspicion| !suspicion.is_verified)
    }

    /// Records whether an upstream was reached directly.
    pub fn record(&mut self, now: Duration, address: SocketAddr, is_reached: bool) {
        self.results.insert(address, AttemptResult { at: now, is_reached });
        if is_reached {
            self.received_at = now;
            self.is_lost = false;
        } else if self.suspicion.is_none() && self.unreached_count() >= UNREACHED_MIN {
            self.suspicion = Some(Suspicion { since: now, is_verified: false });
        }
    }

    fn unreached_count(&self) -> usize {
        self.results.values().filter(|result| !result.is_reached).count()
    }

    /// Records that a request was sent on a direct connection. Returns the number of the exchange.
    pub fn begin_exchange(&mut self, now: Duration) -> u64 {
        self.exchange_count += 1;
        self.awaited.insert(self.exchange_count, now);
        self.exchange_count
    }

    /// Records that an exchange awaits no response any more.
    pub fn end_exchange(&mut self, exchange: u64) {
        self.awaited.remove(&exchange);
    }

    /// Returns which upstreams to probe now.
    pub fn probes_due(&mut self, now: Duration) -> Probes {
        let since_probe = now.saturating_sub(self.probed_at);
        let is_unverified = |suspicion: Suspicion| {
            !suspicion.is_verified && now >= suspicion.since + VERIFICATION_DELAY
        };
        let due = match self.state() {
            PathState::Suspected if self.suspicion.is_some_and(is_unverified) => {
                Probes::Verification(VERIFICATION_PROBES)
            }
            PathState::Lost if since_probe >= LOST_PROBE_INTERVAL => Probes::Sample(LOST_PROBES),
            PathState::Direct if self.is_silence_due(now, since_probe) => Probes::Sample(1),
            _ => Probes::None,
        };
        if due != Probes::None {
            self.probed_at = now;
        }
        due
    }

    /// Returns whether one more upstream is to be probed because of silence: at intervals, and at once
    /// if the last probe failed.
    fn is_silence_due(&self, now: Duration, since_probe: Duration) -> bool {
        self.is_silent(now) && (since_probe >= SILENCE_PROBE_INTERVAL || self.unreached_count() > 0)
    }

    fn is_silent(&self, now: Duration) -> bool {
        // Exchanges are numbered in the order in which they began.
        let oldest = self.awaited.values().next();
        oldest.is_some_and(|began_at| now >= self.received_at.max(*began_at) + SILENCE_MAX)
    }

    /// Records that the results of all verification probes are recorded.
    pub fn finish_verification(&mut self) {
        let Some(suspicion) = &mut self.suspicion else {
            return;
        };
        suspicion.is_verified = true;
        self.is_lost = !self.any_reached_since_suspicion();
    }

    /// Returns whether any upstream was reached directly since the path is suspected.
    pub fn any_reached_since_suspicion(&self) -> bool {
        self.results.keys().any(|address| self.is_reached_since_suspicion(*address))
    }

    /// Returns whether an upstream was reached directly since the path is suspected.
    pub fn is_reached_since_suspicion(&self, address: SocketAddr) -> bool {
        let since = self.suspicion.map(|suspicion| suspicion.since).unwrap_or_default();
        self.results.get(&address).is_some_and(|result| result.is_reached && result.at >= since)
    }

    /// Lists the recent results: the address of an upstream, and whether it was reached.
    pub fn results(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        self.results.iter().map(|(address, result)| (*address, result.is_reached))
    }

    /// Forgets results that are older than `RESULT_LIFETIME`.
    pub fn expire(&mut self, now: Duration) {
        self.results.retain(|_, result| now < result.at + RESULT_LIFETIME);
        if !self.is_lost && self.unreached_count() < UNREACHED_MIN {
            self.suspicion = None;
        }
    }
}
