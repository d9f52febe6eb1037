//! Whether an upstream's process has ended under what it had in hand. No I/O.
//!
//! A connection that breaks says little: it may have been reset, an answer broken off by an upstream that lives on, or
//! the way cut. What tells them apart comes before or after: the address takes no connection any more, a later start is
//! known, or the record goes. An upstream that was leaving ends as it said it would.
//!
//! ```
//! use {
//!     fernring_gateway::{
//!         content::ContentKey,
//!         crash_detection::{CrashDetector, Disconnect, Incarnation, ProbeResult},
//!         model::UpstreamKey,
//!     },
//!     std::time::Duration,
//! };
//!
//! let (now, key) = (Duration::ZERO, UpstreamKey::default());
//! let incarnation = Incarnation { instance: "i-1".into(), started_ms: None };
//! let address = "10.0.0.1:8080".parse().unwrap();
//! let fingerprint = ContentKey::of(None, "/x", b"");
//! let mut detector = CrashDetector::default();
//! assert!(detector.record_disconnect(now, (key, address), &incarnation, Disconnect::Closed, Some(fingerprint)).is_none(), "not known yet");
//! let crash = detector.record_probe(key, ProbeResult::Refused).unwrap();
//! assert_eq!(crash.fingerprints, [fingerprint]);
//! ```

use {
    crate::{content::ContentKey, model::UpstreamKey},
    std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long after a break its cause may still be found out. A record goes three heartbeats of an upstream after its
/// end (3.6 s where these come every 1.2 s), and a start again takes some seconds.
pub const CRASH_EVIDENCE_TIME_MAX: Duration = Duration::from_secs(10);
/// How long it is kept that an upstream went, and how: longer than a request lasts that it served on with.
const FATE_MAX: Duration = Duration::from_secs(120);
/// Pause between two looks whether the same upstream takes connections.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// One start of an upstream's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// Its identity, which a process that starts again may keep.
    pub instance: Arc<str>,
    /// When it started, in Unix milliseconds, if that is known.
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

/// How a send broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disconnect {
    /// The other side closed or reset the connection.
    Closed,
    /// Nothing came any more.
    Silent,
}

/// What a look at an upstream's address found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// Nothing listens there.
    Refused,
    /// Somebody takes connections.
    Accepted,
    /// No answer.
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

/// A start that has ended, with what it had in hand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The start.
    pub incarnation: Incarnation,
    /// What ran or waited there, each once.
    pub fingerprints: Vec<ContentKey>,
}

/// What became of an upstream's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It said that it leaves.
    Leaving,
    /// Its record is gone.
    Removed,
    /// Its process has started again, or another has taken its address.
    Restarted,
}

/// An upstream at which sends broke off.
#[derive(Debug)]
struct Broken {
    run: Incarnation,
    address: SocketAddr,
    last_at: Duration,
    /// Whether any of the sends was closed by the other side.
    was_closed: bool,
    probe: Option<ProbeResult>,
    probed_at: Option<Duration>,
    fate: Option<Fate>,
    /// Those whose upstream isn't known to have ended.
    contents: Vec<ContentKey>,
}

impl Broken {
    fn has_ended(&self) -> bool {
        let is_restarted = self.fate == Some(Fate::Restarted);
        let is_removed = self.fate == Some(Fate::Removed);
        match self.probe {
            Some(ProbeResult::Refused) => true,
            Some(ProbeResult::Accepted) => is_restarted,
            Some(ProbeResult::Silent) => self.was_closed || is_restarted || is_removed,
            None => is_restarted,
        }
    }

    fn lives_on(&self) -> bool {
        self.probe == Some(ProbeResult::Accepted) && self.fate != Some(Fate::Restarted)
    }

    fn take_ended(&mut self) -> Option<Crash> {
        if self.contents.is_empty() || !self.has_ended() {
            return None;
        }
        let contents = std::mem::take(&mut self.contents);
        Some(Crash { incarnation: self.run.clone(), fingerprints: contents })
    }
}

/// The upstreams at which sends broke off of late.
#[derive(Debug, Default)]
pub struct CrashDetector {
    broken: HashMap<UpstreamKey, Broken>,
    /// Upstreams that went of late, and how.
    fates: HashMap<UpstreamKey, (Duration, Fate)>,
}

impl CrashDetector {
    /// Takes in that a send broke off; returns what is known to have ended with it. `content` is what is to be charged if
    /// the upstream has ended, if anything is.
    pub fn record_disconnect(
        &mut self,
        now: Duration,
        (key, address): (UpstreamKey, SocketAddr),
        run: &Incarnation,
        how: Disconnect,
        content: Option<ContentKey>,
    ) -> Option<Crash> {
        let fate = self.fates.get(&key).map(|(_, fate)| *fate);
        match fate {
            Some(Fate::Leaving) => return None,
            // Its record went while it served on: it left without saying so before.
            Some(Fate::Removed) if !self.broken.contains_key(&key) => return None,
            _ => {}
        }
        let broken = self.broken.entry(key).or_insert_with(|| Broken {
            run: run.clone(),
            address,
            last_at: now,
            was_closed: false,
            probe: None,
            probed_at: None,
            fate,
            contents: Vec::new(),
        });
        broken.last_at = now;
        broken.was_closed |= how == Disconnect::Closed;
        if let Some(content) = content
            && !broken.contents.contains(&content)
        {
            broken.contents.push(content);
        }
        broken.take_ended()
    }

    /// Tells whether to look now whether an upstream takes connections; if so, it is taken as being looked at.
    pub fn start_probe(&mut self, now: Duration, key: UpstreamKey) -> bool {
        let Some(broken) = self.broken.get_mut(&key) else {
            return false;
        };
        let is_due = broken.probed_at.is_none_or(|at| now >= at + PROBE_PAUSE);
        let is_in_doubt = broken.was_closed || broken.fate == Some(Fate::Removed);
        let shall = is_in_doubt && is_due && !broken.has_ended();
        if shall {
            broken.probed_at = Some(now);
        }
        shall
    }

    /// Takes in what a look at an upstream's address found.
    pub fn record_probe(&mut self, key: UpstreamKey, found: ProbeResult) -> Option<Crash> {
        let broken = self.broken.get_mut(&key)?;
        broken.probe = Some(found);
        broken.take_ended()
    }

    /// Tells whether an upstream at which a send broke off has ended; `None` if that isn't known yet.
    pub fn has_crashed(&self, key: UpstreamKey) -> Option<bool> {
        let broken = self.broken.get(&key)?;
        match broken.has_ended() {
            true => Some(true),
            false => broken.lives_on().then_some(false),
        }
    }

    /// Takes in that an upstream has said that it leaves.
    pub fn record_leaving(&mut self, now: Duration, key: UpstreamKey) {
        self.fates.insert(key, (now, Fate::Leaving));
    }

    /// Takes in that an upstream's record is gone.
    pub fn record_removal(&mut self, now: Duration, key: UpstreamKey) -> Option<Crash> {
        self.went(now, key, Fate::Removed)
    }

    /// Takes in that another upstream has appeared at an address: whoever had it before has ended, though it takes
    /// connections there.
    pub fn record_new_upstream(&mut self, now: Duration, key: UpstreamKey, address: SocketAddr) -> Vec<Crash> {
        let others = self.broken.iter().filter(|(other, broken)| {
            **other != key && broken.address == address && broken.fate != Some(Fate::Leaving)
        });
        let others: Vec<_> = others.map(|(other, _)| *other).collect();
        others.into_iter().filter_map(|other| self.record_restart(now, other)).collect()
    }

    /// Takes in that an upstream's process has started again.
    pub fn record_restart(&mut self, now: Duration, key: UpstreamKey) -> Option<Crash> {
        self.went(now, key, Fate::Restarted)
    }

    fn went(&mut self, now: Duration, key: UpstreamKey, fate: Fate) -> Option<Crash> {
        let before = self.fates.get(&key).map(|(_, fate)| *fate);
        if before != Some(Fate::Leaving) {
            self.fates.insert(key, (now, fate));
        }
        let broken = self.broken.get_mut(&key)?;
        broken.fate = Some(fate);
        broken.take_ended()
    }

    /// Forgets what is too old for its cause to be found out.
    pub fn expire(&mut self, now: Duration) {
        self.broken.retain(|_, broken| now < broken.last_at + CRASH_EVIDENCE_TIME_MAX);
        self.fates.retain(|_, (at, _)| now < *at + FATE_MAX);
    }
}
