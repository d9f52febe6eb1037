//! Finds the requests under which upstreams crash, and quarantines them. No I/O.
//!
//! Handles two loads: a request that crashes each upstream that starts to run it, with everything
//! else that runs there, and is sent again and again under new ids and at any node; and days on
//! which upstreams crash by themselves under harmless requests. A request is identified by its
//! fingerprint. A crash is attributed to all requests that were in flight at the upstream; a
//! request with three crashes is quarantined. Two rules protect harmless requests. A complete
//! answer clears a request, since one that crashes its upstreams never gets one. And crashes that
//! are explained by a quarantined request are no longer attributed to others. Two requests that
//! share the same three crashes are ambiguous for a moment: neither is sent, and retries wait for
//! an answer that clears one of them. An answer covers the crashes before it and those of the next
//! minute: a fingerprint that is requested many times per second is in flight at nearly every
//! crash, and three of these may come before its next answer.
//!
//! Inputs: crashes and complete answers that this node observed or that peers reported, with their
//! ages. They may come in any order and more than once: a crash is identified by its incarnation,
//! and a clearance covers the crashes before it.
//!
//! ```
//! use {
//!     fernring_gateway::{
//!         crash_detection::Incarnation, fingerprint::Fingerprint, quarantine::Quarantine,
//!     },
//!     std::time::Duration,
//! };
//!
//! let (now, fingerprint) = (Duration::from_secs(9), Fingerprint::of(None, "/x", b""));
//! let mut quarantine = Quarantine::default();
//! for instance in ["i-1", "i-2", "i-3"] {
//!     assert!(!quarantine.is_quarantined(fingerprint));
//!     let incarnation = Incarnation { instance: instance.into(), started_ms: None };
//!     quarantine.record_crash(now, &incarnation, now, &[fingerprint]);
//! }
//! assert!(quarantine.is_quarantined(fingerprint));
//! ```

use {
    crate::{crash_detection::Incarnation, fingerprint::Fingerprint},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// How long after its last crash a request is ambiguous that shares all its crashes with another
/// one: a complete answer to one of them that was in progress at the last crash arrives within
/// about this time.
const AMBIGUITY_TIME: Duration = Duration::from_millis(600);
/// Number of crashes at which a request is quarantined: the number that users allow one request to
/// cause.
pub const CRASHES_MAX: usize = 3;
/// How long a crash counts, and therefore how long a request is quarantined after its last crash:
/// longer than callers retry. A request may have become harmless through a new release of the
/// upstreams.
pub const ATTRIBUTION_LIFETIME: Duration = Duration::from_secs(15 * 60);
/// How long after a complete answer crashes aren't attributed. The cause that makes a harmless
/// request dangerous, a new release of the upstreams, takes longer to reach the third of them.
pub(crate) const ANSWER_COVERAGE_TIME: Duration = Duration::from_secs(60);
/// Number of complete answers that are remembered; beyond it, the older half is dropped. A request
/// that is sent less often than once in this many answers of a node isn't in flight at three crashes
/// in a row by chance.
pub(crate) const ANSWERS_MAX: usize = 4_096;
/// Maximum number of attributions. Beyond it, those with the fewest crashes are dropped first, and of
/// these the oldest: pushing out an attribution with two crashes takes thousands of requests that
/// crashed two upstreams each.
const ATTRIBUTIONS_MAX: usize = 4_096;

/// A crash of an upstream's incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Time of the crash.
    pub at: Duration,
    /// Fingerprints of the requests in flight there, to which the crash is attributed.
    pub fingerprints: Vec<Fingerprint>,
}

/// A complete answer to a request, which clears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClearanceRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time of the answer.
    pub at: Duration,
}

/// The change made by a record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Whether anything was new.
    pub is_new: bool,
    /// Requests that are quarantined from now on.
    pub newly_quarantined: Vec<Fingerprint>,
}

/// The crashes attributed to one request.
#[derive(Debug, Clone, Default)]
struct Attribution {
    /// Each incarnation once, in the order of the crashes; at most [`CRASHES_MAX`].
    crashes: Vec<(Duration, Incarnation)>,
    /// Time of the last complete answer since the first crash.
    cleared_at: Option<Duration>,
}

impl Attribution {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASHES_MAX
    }

    fn last_at(&self) -> Duration {
        let crashed_at = self.crashes.last().map(|(at, _)| *at);
        crashed_at.max(self.cleared_at).unwrap_or_default()
    }

    /// Attributes a crash; returns whether it is new.
    fn attribute(&mut self, incarnation: &Incarnation, at: Duration) -> bool {
        let is_known =
            self.crashes.iter().any(|(_, known_incarnation)| known_incarnation == incarnation);
        let is_covered =
            self.cleared_at.is_some_and(|cleared_at| at <= cleared_at + ANSWER_COVERAGE_TIME);
        if is_known || self.is_quarantined() || is_covered {
            return false;
        }
        let index = self.crashes.partition_point(|(known_at, _)| *known_at <= at);
        self.crashes.insert(index, (at, incarnation.clone()));
        true
    }

    /// Removes the crashes that a complete answer covers; returns whether that changed anything.
    fn clear(&mut self, at: Duration) -> bool {
        if self.cleared_at.is_some_and(|cleared_at| at <= cleared_at) {
            return false;
        }
        self.cleared_at = Some(at);
        self.crashes.retain(|(crashed_at, _)| *crashed_at > at + ANSWER_COVERAGE_TIME);
        true
    }
}

/// The attributions of all suspect requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    attributions: HashMap<Fingerprint, Attribution>,
    /// Incarnations that crashed under a quarantined request, with the time of the crash: these are
    /// attributed to no other request.
    explained: HashMap<Incarnation, Duration>,
    /// Time of the last complete answer to each request here.
    answers: HashMap<Fingerprint, Duration>,
}

impl Quarantine {
    /// Returns whether any crash is attributed to a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.attributions
            .get(&fingerprint)
            .is_some_and(|attribution| !attribution.crashes.is_empty())
    }

    /// Returns whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.attributions.get(&fingerprint).is_some_and(Attribution::is_quarantined)
    }

    /// Returns whether a request is quarantined though another one was in flight at the same
    /// crashes, the last of them just now: one of the two may be harmless. Neither is sent
    /// meanwhile, so the wait costs no upstream.
    pub fn is_ambiguous(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let Some(attribution) = self.attributions.get(&fingerprint).filter(|a| a.is_quarantined())
        else {
            return false;
        };
        let shares_crashes = |other: &Attribution| {
            attribution.crashes.iter().all(|(_, incarnation)| {
                other.crashes.iter().any(|(_, other_incarnation)| other_incarnation == incarnation)
            })
        };
        let mut others = self
            .attributions
            .iter()
            .filter(|(other_fingerprint, _)| **other_fingerprint != fingerprint);
        now < attribution.last_at() + AMBIGUITY_TIME
            && others.any(|(_, other)| shares_crashes(other))
    }

    /// Returns the time of the last crash or complete answer of a suspect request.
    pub fn last_at(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.attributions.get(&fingerprint).map(Attribution::last_at)
    }

    /// Lists the incarnations that crashed under a request.
    pub fn crashes_of(&self, fingerprint: Fingerprint) -> Vec<Incarnation> {
        let crashes = self
            .attributions
            .get(&fingerprint)
            .into_iter()
            .flat_map(|attribution| &attribution.crashes);
        crashes.map(|(_, incarnation)| incarnation.clone()).collect()
    }

    /// Lists the quarantined requests, with the times of their last crashes.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let attributions =
            self.attributions.iter().filter(|(_, attribution)| attribution.is_quarantined());
        attributions.map(|(fingerprint, attribution)| (*fingerprint, attribution.last_at()))
    }

    /// Records that an incarnation crashed at a time with requests in flight.
    pub fn record_crash(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        at: Duration,
        fingerprints: &[Fingerprint],
    ) -> QuarantineChange {
        if now >= at + ATTRIBUTION_LIFETIME {
            return QuarantineChange::default();
        }
        let culprits: Vec<_> = fingerprints
            .iter()
            .copied()
            .filter(|fingerprint| self.is_quarantined(*fingerprint))
            .collect();
        let mut change = QuarantineChange::default();
        if !culprits.is_empty() {
            change.is_new = self.explain(incarnation, at, &culprits);
        }
        if self.explained.contains_key(incarnation) {
            return change;
        }
        for fingerprint in fingerprints {
            if self.covering_answer(*fingerprint, at).is_some() {
                continue;
            }
            let attribution = self.attributions.entry(*fingerprint).or_default();
            if attribution.attribute(incarnation, at) {
                change.is_new = true;
                if attribution.is_quarantined() {
                    change.newly_quarantined.push(*fingerprint);
                }
            }
        }
        for fingerprint in &change.newly_quarantined {
            let crashes = self.attributions[fingerprint].crashes.clone();
            for (at, incarnation) in crashes {
                self.explain(&incarnation, at, &change.newly_quarantined);
            }
        }
        self.attributions.retain(|_, attribution| {
            !attribution.crashes.is_empty() || attribution.cleared_at.is_some()
        });
        self.evict_excess();
        change
    }

    /// Marks a crash as explained by `culprits`: it is no longer attributed to other requests that
    /// aren't quarantined. Returns whether that is new.
    fn explain(
        &mut self,
        incarnation: &Incarnation,
        at: Duration,
        culprits: &[Fingerprint],
    ) -> bool {
        if self.explained.insert(incarnation.clone(), at).is_some() {
            return false;
        }
        for (fingerprint, attribution) in &mut self.attributions {
            if !culprits.contains(fingerprint) && !attribution.is_quarantined() {
                attribution
                    .crashes
                    .retain(|(_, known_incarnation)| known_incarnation != incarnation);
            }
        }
        true
    }

    /// Records that a crash is explained by something else than a whole request: it no longer counts
    /// for any of them.
    pub fn record_explained(&mut self, incarnation: &Incarnation, at: Duration) {
        self.explained.insert(incarnation.clone(), at);
        for attribution in self.attributions.values_mut() {
            attribution.crashes.retain(|(_, known_incarnation)| known_incarnation != incarnation);
        }
    }

    /// Records a complete answer to a request; returns whether it removed any crash.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, at: Duration) -> bool {
        self.answers.insert(fingerprint, at);
        self.evict_old_answers();
        let Some(attribution) = self.attributions.get_mut(&fingerprint) else {
            return false;
        };
        !attribution.crashes.is_empty() && attribution.clear(at)
    }

    /// Returns the complete answer seen here that covers a crash at some time, if there is one.
    pub fn covering_answer(
        &self,
        fingerprint: Fingerprint,
        at: Duration,
    ) -> Option<ClearanceRecord> {
        let answered_at = self.answers.get(&fingerprint).copied()?;
        let is_covered = at <= answered_at + ANSWER_COVERAGE_TIME;
        is_covered.then_some(ClearanceRecord { fingerprint, at: answered_at })
    }

    /// Records a peer's report of a complete answer; returns whether it is new.
    pub fn record_clearance(&mut self, now: Duration, clearance: ClearanceRecord) -> bool {
        if now >= clearance.at + ATTRIBUTION_LIFETIME {
            return false;
        }
        let is_new =
            self.attributions.entry(clearance.fingerprint).or_default().clear(clearance.at);
        self.evict_excess();
        is_new
    }

    /// Lists the records of the `count_max` most important attributions: those with the most
    /// crashes, then the latest.
    pub fn records(&self, count_max: usize) -> (Vec<CrashRecord>, Vec<ClearanceRecord>) {
        let mut attributions: Vec<_> = self.attributions.iter().collect();
        attributions.sort_unstable_by_key(|(fingerprint, attribution)| {
            (std::cmp::Reverse((attribution.crashes.len(), attribution.last_at())), **fingerprint)
        });
        attributions.truncate(count_max);
        let mut crashes: HashMap<&Incarnation, CrashRecord> = HashMap::new();
        for (fingerprint, attribution) in &attributions {
            for (at, incarnation) in &attribution.crashes {
                let new = || CrashRecord {
                    incarnation: incarnation.clone(),
                    at: *at,
                    fingerprints: Vec::new(),
                };
                crashes.entry(incarnation).or_insert_with(new).fingerprints.push(**fingerprint);
            }
        }
        let clearances = attributions.iter().filter_map(|(fingerprint, attribution)| {
            Some(ClearanceRecord { fingerprint: **fingerprint, at: attribution.cleared_at? })
        });
        (crashes.into_values().collect(), clearances.collect())
    }

    /// Removes outdated attributions; returns the requests that are therefore no longer
    /// quarantined.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        let is_old = |at: Duration| now >= at + ATTRIBUTION_LIFETIME;
        let expired =
            self.attributions.iter().filter(|(_, attribution)| is_old(attribution.last_at()));
        let expired: HashMap<_, _> = expired
            .map(|(fingerprint, attribution)| (*fingerprint, attribution.is_quarantined()))
            .collect();
        self.attributions.retain(|fingerprint, _| !expired.contains_key(fingerprint));
        self.explained.retain(|_, at| !is_old(*at));
        expired
            .into_iter()
            .filter(|(_, was_quarantined)| *was_quarantined)
            .map(|(fingerprint, _)| fingerprint)
            .collect()
    }

    /// Keeps the number of answers bounded.
    fn evict_old_answers(&mut self) {
        if self.answers.len() <= ANSWERS_MAX {
            return;
        }
        drop_older_half(&mut self.answers);
    }

    /// Keeps the number of attributions bounded.
    fn evict_excess(&mut self) {
        let excess = self.attributions.len().saturating_sub(ATTRIBUTIONS_MAX);
        if excess == 0 {
            return;
        }
        let mut order: Vec<_> = self.attributions.iter().collect();
        order.sort_unstable_by_key(|(fingerprint, attribution)| {
            (attribution.crashes.len(), attribution.last_at(), **fingerprint)
        });
        let evicted: HashSet<_> =
            order[..excess].iter().map(|(fingerprint, _)| **fingerprint).collect();
        self.attributions.retain(|fingerprint, _| !evicted.contains(fingerprint));
    }
}

/// Drops the entries that are older than the median.
pub(crate) fn drop_older_half<K: std::hash::Hash + Eq>(times: &mut HashMap<K, Duration>) {
    let mut sorted: Vec<_> = times.values().copied().collect();
    let middle = sorted.len() / 2;
    let (_, median, _) = sorted.select_nth_unstable(middle);
    let median = *median;
    times.retain(|_, at| *at > median);
}
