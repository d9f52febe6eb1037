//! Whether an upstream's process has ended under what it had in hand. No I/O.
//!
//! A connection that breaks says little: it may have been reset, an answer broken off by an upstream that lives on, or
//! the way cut. What tells them apart comes before or after: the address takes no connection any more, a later start is
//! known, or the record goes. An upstream that was leaving ends as it said it would.
//!
//! ```
//! use {
//!     fernring_gateway::{
//!         fingerprint::Fingerprint,
//!         endings::{Break, Endings, Probe, Run},
//!         model::UpstreamKey,
//!     },
//!     std::time::Duration,
//! };
//!
//! let (now, key) = (Duration::ZERO, UpstreamKey::default());
//! let run = Run { instance: "i-1".into(), started_ms: None };
//! let address = "10.0.0.1:8080".parse().unwrap();
//! let asked = Fingerprint::of(None, "/x", b"");
//! let mut endings = Endings::default();
//! assert!(endings.broke(now, (key, address), &run, Break::Closed, Some(asked)).is_none(), "not known yet");
//! let ended = endings.probed(key, Probe::Refused).unwrap();
//! assert_eq!(ended.contents, [asked]);
//! ```

use {
    crate::{fingerprint::Fingerprint, model::UpstreamKey},
    std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long after a break its cause may still be found out. A record goes three heartbeats of an upstream after its
/// end (3.6 s where these come every 1.2 s), and a start again takes some seconds.
pub const CAUSE_MAX: Duration = Duration::from_secs(10);
/// How long it is kept that an upstream went, and how: longer than a request lasts that it served on with.
const FATE_MAX: Duration = Duration::from_secs(120);
/// Pause between two looks whether the same upstream takes connections.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// One start of an upstream's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Run {
    /// Its identity, which a process that starts again may keep.
    pub instance: Arc<str>,
    /// When it started, in Unix milliseconds, if that is known.
    pub started_ms: Option<u64>,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started_ms) => write!(f, "{}@{started_ms}", self.instance),
            None => write!(f, "{}", self.instance),
        }
    }
}

/// How a send broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// The other side closed or reset the connection.
    Closed,
    /// Nothing came any more.
    Silent,
}

/// What a look at an upstream's address found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// Nothing listens there.
    Refused,
    /// Somebody takes connections.
    Accepted,
    /// No answer.
    Silent,
}

impl Probe {
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
pub struct Ended {
    /// The start.
    pub run: Run,
    /// What ran or waited there, each once.
    pub contents: Vec<Fingerprint>,
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
    run: Run,
    address: SocketAddr,
    last_at: Duration,
    /// Whether any of the sends was closed by the other side.
    was_closed: bool,
    probe: Option<Probe>,
    probed_at: Option<Duration>,
    fate: Option<Fate>,
    /// Those whose upstream isn't known to have ended.
    contents: Vec<Fingerprint>,
}

impl Broken {
    fn has_ended(&self) -> bool {
        let is_restarted = self.fate == Some(Fate::Restarted);
        let is_removed = self.fate == Some(Fate::Removed);
        match self.probe {
            Some(Probe::Refused) => true,
            Some(Probe::Accepted) => is_restarted,
            Some(Probe::Silent) => self.was_closed || is_restarted || is_removed,
            None => is_restarted,
        }
    }

    fn lives_on(&self) -> bool {
        self.probe == Some(Probe::Accepted) && self.fate != Some(Fate::Restarted)
    }

    fn take_ended(&mut self) -> Option<Ended> {
        if self.contents.is_empty() || !self.has_ended() {
            return None;
        }
        let contents = std::mem::take(&mut self.contents);
        Some(Ended { run: self.run.clone(), contents })
    }
}

/// The upstreams at which sends broke off of late.
#[derive(Debug, Default)]
pub struct Endings {
    broken: HashMap<UpstreamKey, Broken>,
    /// Upstreams that went of late, and how.
    fates: HashMap<UpstreamKey, (Duration, Fate)>,
}

impl Endings {
    /// Takes in that a send broke off; returns what is known to have ended with it. `content` is what is to be charged if
    /// the upstream has ended, if anything is.
    pub fn broke(
        &mut self,
        now: Duration,
        (key, address): (UpstreamKey, SocketAddr),
        run: &Run,
        how: Break,
        content: Option<Fingerprint>,
    ) -> Option<Ended> {
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
        broken.was_closed |= how == Break::Closed;
        if let Some(content) = content
            && !broken.contents.contains(&content)
        {
            broken.contents.push(content);
        }
        broken.take_ended()
    }

    /// Tells whether to look now whether an upstream takes connections; if so, it is taken as being looked at.
    pub fn shall_probe(&mut self, now: Duration, key: UpstreamKey) -> bool {
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
    pub fn probed(&mut self, key: UpstreamKey, found: Probe) -> Option<Ended> {
        let broken = self.broken.get_mut(&key)?;
        broken.probe = Some(found);
        broken.take_ended()
    }

    /// Tells whether an upstream at which a send broke off has ended; `None` if that isn't known yet.
    pub fn verdict(&self, key: UpstreamKey) -> Option<bool> {
        let broken = self.broken.get(&key)?;
        match broken.has_ended() {
            true => Some(true),
            false => broken.lives_on().then_some(false),
        }
    }

    /// Takes in that an upstream has said that it leaves.
    pub fn leaving(&mut self, now: Duration, key: UpstreamKey) {
        self.fates.insert(key, (now, Fate::Leaving));
    }

    /// Takes in that an upstream's record is gone.
    pub fn removed(&mut self, now: Duration, key: UpstreamKey) -> Option<Ended> {
        self.went(now, key, Fate::Removed)
    }

    /// Takes in that another upstream has appeared at an address: whoever had it before has ended, though it takes
    /// connections there.
    pub fn appeared(&mut self, now: Duration, key: UpstreamKey, address: SocketAddr) -> Vec<Ended> {
        let others = self.broken.iter().filter(|(other, broken)| {
            **other != key && broken.address == address && broken.fate != Some(Fate::Leaving)
        });
        let others: Vec<_> = others.map(|(other, _)| *other).collect();
        others.into_iter().filter_map(|other| self.restarted(now, other)).collect()
    }

    /// Takes in that an upstream's process has started again.
    pub fn restarted(&mut self, now: Duration, key: UpstreamKey) -> Option<Ended> {
        self.went(now, key, Fate::Restarted)
    }

    fn went(&mut self, now: Duration, key: UpstreamKey, fate: Fate) -> Option<Ended> {
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
        self.broken.retain(|_, broken| now < broken.last_at + CAUSE_MAX);
        self.fates.retain(|_, (at, _)| now < *at + FATE_MAX);
    }
}
