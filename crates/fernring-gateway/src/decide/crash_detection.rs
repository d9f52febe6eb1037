//! Detects that an upstream's process has crashed while it had requests in flight. No I/O.
//!
//! A broken connection alone proves little: it may have been reset, a live upstream may have cut
//! off a response, or the network may be partitioned. Evidence that comes before or after it
//! decides: the address refuses connections, a later start is known, or the upstream's record
//! disappears. An upstream that had announced that it was leaving has not crashed.
//!
//! ```
//! use {
//!     fernring_gateway::{
//!         crash_detection::{CrashDetector, Disconnect, Incarnation, ProbeResult},
//!         fingerprint::{Fingerprint, RequestTraits},
//!         model::UpstreamKey,
//!     },
//!     std::time::Duration,
//! };
//!
//! let (now, key) = (Duration::ZERO, UpstreamKey::default());
//! let incarnation = Incarnation { instance: "i-1".into(), started_ms: None };
//! let address = "10.0.0.1:8080".parse().unwrap();
//! let request = RequestTraits::without_parts(Fingerprint::of(None, "/x", b""));
//! let mut detector = CrashDetector::default();
//! assert!(
//!     detector
//!         .record_disconnect(now, (key, address), &incarnation, Disconnect::Closed, Some(&request))
//!         .is_none(),
//!     "not known yet"
//! );
//! let crash = detector.record_probe(key, ProbeResult::Refused).unwrap();
//! assert_eq!(crash.requests, [request]);
//! ```

use {
    crate::{fingerprint::RequestTraits, model::UpstreamKey},
    std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long after a disconnect its cause may still be found. A record disappears three heartbeats
/// after the upstream's crash, and a restart takes some seconds.
pub const CRASH_EVIDENCE_TIME_MAX: Duration = Duration::from_secs(10);
/// How long a departure is remembered: longer than the requests that a departing upstream still
/// serves.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(120);
/// Pause between two probes of the same upstream.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// One incarnation of an upstream's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// Identity of the instance, which a restarted process may keep.
    pub instance: Arc<str>,
    /// Start time in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started_ms) => write!(f, "{}@{started_ms}", self.instance),
            None => write!(f, "{}", self.instance),
        }
    }
}

/// How the connection of a send broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disconnect {
    /// The upstream closed or reset the connection.
    Closed,
    /// The upstream sent nothing more.
    Silent,
}

/// Result of a probe of an upstream's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused.
    Refused,
    /// The connection was accepted.
    Accepted,
    /// There was no response.
    Silent,
}

impl ProbeResult {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Accepted => "accepted",
            Self::Silent => "silent",
        }
    }
}

/// A crashed incarnation, with the requests that it had in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The requests that ran or waited there, without duplicates.
    pub requests: Vec<RequestTraits>,
}

/// What happened to an upstream's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// The upstream announced that it is leaving.
    Leaving,
    /// The record was removed.
    Removed,
    /// The process has restarted, or another one has taken its address.
    Restarted,
}

/// An upstream with broken sends.
#[derive(Debug)]
struct BrokenUpstream {
    incarnation: Incarnation,
    address: SocketAddr,
    last_broken_at: Duration,
    /// Whether the upstream closed the connection of any of the sends.
    was_closed: bool,
    probe: Option<ProbeResult>,
    probed_at: Option<Duration>,
    departure: Option<Departure>,
    /// Requests whose upstream isn't known to have crashed.
    requests: Vec<RequestTraits>,
}

impl BrokenUpstream {
    fn has_crashed(&self) -> bool {
        let is_restarted = self.departure == Some(Departure::Restarted);
        let is_removed = self.departure == Some(Departure::Removed);
        match self.probe {
            Some(ProbeResult::Refused) => true,
            Some(ProbeResult::Accepted) => is_restarted,
            Some(ProbeResult::Silent) => self.was_closed || is_restarted || is_removed,
            None => is_restarted,
        }
    }

    fn is_alive(&self) -> bool {
        self.probe == Some(ProbeResult::Accepted) && self.departure != Some(Departure::Restarted)
    }

    fn take_crash(&mut self) -> Option<Crash> {
        if self.requests.is_empty() || !self.has_crashed() {
            return None;
        }
        let requests = std::mem::take(&mut self.requests);
        Some(Crash { incarnation: self.incarnation.clone(), requests })
    }
}

/// Recently broken upstreams.
#[derive(Debug, Default)]
pub struct CrashDetector {
    broken: HashMap<UpstreamKey, BrokenUpstream>,
    /// Recent departures of upstreams.
    departures: HashMap<UpstreamKey, (Duration, Departure)>,
}

impl CrashDetector {
    /// Records that the connection of a send broke; returns a crash if one is known now.
    /// `request` is the one to attribute a crash to, if any.
    pub fn record_disconnect(
        &mut self,
        now: Duration,
        (key, address): (UpstreamKey, SocketAddr),
        incarnation: &Incarnation,
        disconnect: Disconnect,
        request: Option<&RequestTraits>,
    ) -> Option<Crash> {
        let departure = self.departures.get(&key).map(|(_, departure)| *departure);
        match departure {
            Some(Departure::Leaving) => return None,
            // Its record was removed while it still served: it left without announcing it.
            Some(Departure::Removed) if !self.broken.contains_key(&key) => return None,
            _ => {}
        }
        let broken = self.broken.entry(key).or_insert_with(|| BrokenUpstream {
            incarnation: incarnation.clone(),
            address,
            last_broken_at: now,
            was_closed: false,
            probe: None,
            probed_at: None,
            departure,
            requests: Vec::new(),
        });
        broken.last_broken_at = now;
        broken.was_closed |= disconnect == Disconnect::Closed;
        if let Some(request) = request
            && !broken.requests.contains(request)
        {
            broken.requests.push(request.clone());
        }
        broken.take_crash()
    }

    /// Returns whether to probe an upstream now; if so, the probe counts as started.
    pub fn start_probe(&mut self, now: Duration, key: UpstreamKey) -> bool {
        let Some(broken) = self.broken.get_mut(&key) else {
            return false;
        };
        let is_due = broken.probed_at.is_none_or(|at| now >= at + PROBE_PAUSE);
        let is_unclear = broken.was_closed || broken.departure == Some(Departure::Removed);
        let should_probe = is_unclear && is_due && !broken.has_crashed();
        if should_probe {
            broken.probed_at = Some(now);
        }
        should_probe
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, key: UpstreamKey, result: ProbeResult) -> Option<Crash> {
        let broken = self.broken.get_mut(&key)?;
        broken.probe = Some(result);
        broken.take_crash()
    }

    /// Returns whether an upstream with a broken send has crashed; `None` if that isn't known yet.
    pub fn has_crashed(&self, key: UpstreamKey) -> Option<bool> {
        let broken = self.broken.get(&key)?;
        match broken.has_crashed() {
            true => Some(true),
            false => broken.is_alive().then_some(false),
        }
    }

    /// Records that an upstream announced that it is leaving.
    pub fn record_leaving(&mut self, now: Duration, key: UpstreamKey) {
        self.departures.insert(key, (now, Departure::Leaving));
    }

    /// Records that an upstream's record was removed.
    pub fn record_removal(&mut self, now: Duration, key: UpstreamKey) -> Option<Crash> {
        self.record_departure(now, key, Departure::Removed)
    }

    /// Records that another upstream has appeared at an address: the previous one there has
    /// crashed, even though the address accepts connections.
    pub fn record_new_upstream(
        &mut self,
        now: Duration,
        key: UpstreamKey,
        address: SocketAddr,
    ) -> Vec<Crash> {
        let previous = self.broken.iter().filter(|(previous_key, broken)| {
            **previous_key != key
                && broken.address == address
                && broken.departure != Some(Departure::Leaving)
        });
        let previous: Vec<_> = previous.map(|(previous_key, _)| *previous_key).collect();
        previous
            .into_iter()
            .filter_map(|previous_key| self.record_restart(now, previous_key))
            .collect()
    }

    /// Records that an upstream's process has restarted.
    pub fn record_restart(&mut self, now: Duration, key: UpstreamKey) -> Option<Crash> {
        self.record_departure(now, key, Departure::Restarted)
    }

    fn record_departure(
        &mut self,
        now: Duration,
        key: UpstreamKey,
        departure: Departure,
    ) -> Option<Crash> {
        let before = self.departures.get(&key).map(|(_, departure)| *departure);
        if before != Some(Departure::Leaving) {
            self.departures.insert(key, (now, departure));
        }
        let broken = self.broken.get_mut(&key)?;
        broken.departure = Some(departure);
        broken.take_crash()
    }

    /// Removes disconnects and departures that are too old to matter.
    pub fn expire(&mut self, now: Duration) {
        self.broken.retain(|_, broken| now < broken.last_broken_at + CRASH_EVIDENCE_TIME_MAX);
        self.departures.retain(|_, (at, _)| now < *at + DEPARTURE_LIFETIME);
    }
}
